"""A dispatcher restarts while discovery is down: does it send to a worker that it counts as told drains?"""

from __future__ import annotations

import contextlib
import http.client
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.common.standins import (
    BROKEN,
    SETTINGS,
    TROUBLE,
    Agent,
    CouldNotRun,
    Dispatcher,
    Worker,
    call,
    free_port,
    playing,
    wait_for,
)

RUN_S, GAP_S = 1.5, 0.1
GRACE_S = 0.5 + 0.05 + 0.15  # the settings' grace, the slack on sockets, and a process that is held up
DOWN_S = 6.0  # how long discovery is down; the page's days know 8 s

with playing(Path(__file__).resolve().parent) as site:
    agent = Agent(site.record)
    workers = [Worker(site.record, f"w{n}", RUN_S, slots=16) for n in (1, 2, 3)]
    edge = f"127.0.0.1:{free_port()}"
    for worker in workers:
        worker.callback_address = edge
        agent.tell(worker)
    document = {
        "name": "d1", "listen": edge, "discovery": agent.address, "management": "127.0.0.1:0", "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 128}, "settings": SETTINGS,
    }  # fmt: skip
    fronts = site.write_json("fronts.json", {})

    def start(name: str) -> Dispatcher:
        """Start the dispatcher with the list that it had last."""
        known = {"generation": generation, "reset": True, "instances": entries}
        config = site.write_json("config.json", {**document, "known": known, "seed": name.encode().hex()})
        return Dispatcher(site, name, config, {"EIDERPIN_FRONTS": str(fronts)})

    answers: dict[str, int] = {}

    def post(job: str) -> None:
        """Send one result-post, and note its answer."""
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            headers = {"Req-Id": job, "Req-Deadline-Ms": "25000"}
            status, _ = call(edge, "POST", "/result-post", job.encode(), headers, within=27.0)
        answers[job] = status
        site.record.note("client", f"gets {status or 'no answer'} for {job}")

    generation, entries = agent.generation, [dict(entry) for entry in agent.entries.values()]
    dispatcher = start("before")
    wait_for(dispatcher.ready, "the dispatcher to be ready", 10.0)
    dispatcher.process.kill()
    dispatcher.process.wait()
    site.record.note("platform", "the dispatcher is killed")
    drained = workers[0]
    agent.tell(drained, "Terminating")
    time.sleep(7.0)  # long past the 6 s after which a change counts as told, with discovery up all the time
    if TROUBLE:
        agent.silent = True
        site.record.note("discovery", "is down: the agent is silent")
    dispatcher = start("again")
    began = time.monotonic()  # it listens; the process is some 0.2 s older
    threads = []
    for number in range(int(DOWN_S / GAP_S)):
        threads.append(threading.Thread(target=post, args=(f"post-{number:02d}",), daemon=True))
        threads[-1].start()
        time.sleep(GAP_S)
    agent.silent = False
    late = [(at - began, job) for at, job, _ in drained.begun if at - began > GRACE_S]
    # The worker has finished what it had before it drained; its process ends, with whatever it got since.
    drained.end(lambda: [job for _, job, _ in drained.begun if job not in answers])
    for thread in threads:
        thread.join(30.0)

    lost = [job for _, job in late if answers.get(job) != 200]
    for at, job in late:
        site.record.note("result", f"{job} began at w1 {at:.2f} s after it listened: {answers.get(job)}")
    site.record.note("result", f"{len(late)} posts went to w1 past its drain's grace, {len(lost)} were lost")
    if late:
        sys.exit(BROKEN)
    if not any(w.begun for w in workers[1:]):
        raise CouldNotRun("nothing was sent at all")
