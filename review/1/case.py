"""A Gearman client resubmits a result-post while a new version takes over: does it run once?"""

from __future__ import annotations

import signal
import socket
import sys
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
    Gearman,
    Worker,
    free_port,
    playing,
    wait_for,
)

UNIQUE, BODY = b"club-7-2026-11-29", b"rank the finishers of club 7"
RUN_S = 6.0  # how long the job runs

with playing(Path(__file__).resolve().parent) as site:
    agent = Agent(site.record)
    workers = [Worker(site.record, f"w{n}", RUN_S) for n in (1, 2)]
    for worker in workers:
        agent.tell(worker)

    # The platform holds the clients' listening socket; both versions inherit it, and share one $TMPDIR.
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    edge = f"127.0.0.1:{listener.getsockname()[1]}"
    gearman = f"127.0.0.1:{free_port()}"
    for worker in workers:
        worker.callback_address = edge
    config = site.write_json("config.json", {
        "name": "d1", "listen": edge, "discovery": agent.address, "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 128}, "settings": SETTINGS,
    })  # fmt: skip
    fronts = site.write_json("fronts.json", {"gearman": {"listen": gearman}})
    shared = site.folder / "tmp"
    shared.mkdir()

    def start(name: str) -> Dispatcher:
        """Start a version and wait until it says that it serves."""
        env = {"GW_FD": str(listener.fileno()), "GW_MANAGEMENT": "127.0.0.1:0", "TMPDIR": str(shared),
               "EIDERPIN_FRONTS": str(fronts)}  # fmt: skip
        dispatcher = Dispatcher(site, name, config, env, (listener.fileno(),))
        wait_for(dispatcher.ready, f"{name} to say that it is ready", 6.0)
        return dispatcher

    def submit(who: str) -> Gearman:
        """Submit the job on a new connection, and wait for its JOB_CREATED."""
        client = Gearman(gearman)
        client.put(Gearman.SUBMIT_JOB, b"result-post", UNIQUE, BODY)
        kind, args = client.get(5.0)
        site.record.note(who, f"has submitted {UNIQUE.decode()}, gets packet {kind} {args}")
        if kind != Gearman.JOB_CREATED:
            raise CouldNotRun("the job was not taken")
        return client

    def runs() -> list[tuple[float, str, bytes]]:
        """All runs that have begun at any worker."""
        return [run for worker in workers for run in worker.begun]

    old = start("old version")
    first = submit("client")
    wait_for(runs, "the job to run", 5.0)
    if TROUBLE:
        new = start("new version")
        wait_for(lambda: any("a newer process takes the clients" in line for line in old.lines),
                 "the old version to hand over", 5.0)  # fmt: skip
        # As the platform does; SIGKILL would come 3.7 s later, and the case has its answer before that.
        old.signal(signal.SIGTERM)
    time.sleep(0.5)
    first.close()
    site.record.note("client", "loses its connection")
    time.sleep(0.2)
    if old.process.poll() is not None:
        raise CouldNotRun("the old version has ended already")
    again = submit("client, again")
    kind = 0
    while kind not in (Gearman.WORK_COMPLETE, Gearman.WORK_FAIL):
        kind, args = again.get(30.0)
        site.record.note("client, again", f"gets packet {kind} {args}")
    time.sleep(1.0)

    begun = runs()
    for _, job, body in begun:
        site.record.note("result", f"a run of {job} with {body!r}")
    site.record.note("result", f"{len(begun)} runs of one result-post; the rule allows 1")
    if len(begun) > 1:
        sys.exit(BROKEN)
