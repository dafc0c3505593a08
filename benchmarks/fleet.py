"""Many dispatcher processes in front of the same stand-in workers, with one injected fault.

    python -m benchmarks.fleet --dispatchers N --workers M --seed S --trouble kill|zone|bad|cold|none

Each dispatcher is the program as the platform starts it, one process with a configuration of its own; the
processes share only the workers and discovery. Clients send at their own rate (open loop), through a front
that favours some dispatchers several times over others and is slow to notice a dead one. The faults:

- `kill`: 70% of the dispatchers are killed at once and started again cold
- `zone`: half of the workers are cut off for 5 s, listed as gone late, and then restarted, cold
- `bad`: one worker in eight fails nearly half its jobs, for every dispatcher
- `cold`: all workers and dispatchers start together, the workers cold

Printed are what the fleet costs each worker (probes and new connections a second, connections held open,
load relative to present capacity while cold), the answers in time by class, and the rules that were broken.
The last line is one JSON object. The exit code is 1 where a rule of PROTOCOL was broken: an answer after its
deadline, a 200 that no worker returned, a result-post that ran twice or was refused after it ran, a worker
that fell over, a request sent after a drain's grace.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.fleet_world import TOLERANCE_SECONDS, Discovery, Rules, Worker, clock
from benchmarks.rig import CONNECTION_ERRORS, ROOT, IdleConnections, free_port, http_request_on

CLASSES = {  # name: (share of requests, aim ms, deadline ms, mean work s, repeat)
    "time-lookup": (0.6, 250.0, 7500.0, 0.12, "free"),
    "result-post": (0.4, 1000.0, 25000.0, 0.4, "single_shot"),
}
WORK_STRETCH = 1.75  # a job is in time within its class's aim plus this many times its own work
KILL_EFFECT_SECONDS = 2.0  # for so long after a kill a broken connection counts as caused by it
FRONT_SKEW = (
    0.8  # the front's weights are 1 / rank ** FRONT_SKEW: some dispatchers get several times the mean
)


def settings(dispatchers: int, number: int, rules: Rules) -> dict[str, Any]:
    """Return the settings in the platform's form (WIRE, "Settings"), with the values of site recife-main."""
    classes = [
        {"name": name, "aim": aim, "hard_limit": deadline, "importance": 5.0, "late_worth": 0.0,
         "memory_span": 5000.0, "repeat": repeat, "key_scope": "all"}
        for name, (_, aim, deadline, _, repeat) in CLASSES.items()
    ]  # fmt: skip
    return {
        "classes": classes, "n_instances": dispatchers, "slot_no": number, "tick": 4.0, "zone": "a",
        "family_info": {"class_stretch": [WORK_STRETCH, WORK_STRETCH], "tells_start": True,
                        "progress": 1000.0},
        "limits": {"conn_idle": 5000.0, "connect_timeout": 250.0, "max_retry_after": 2000.0,
                   "may_cancel": True, "parallel_tries": True, "probes": True, "retry_after": True,
                   "try_limit": 5},
        "rules": {"cold_share": rules.cold_share, "drain_grace": rules.drain_grace * 1000,
                  "fall": rules.fall * 1000, "fall_multiple": rules.fall_multiple, "grace_to_answer": 16.0,
                  "warm_up": rules.warm_up * 1000},
        "weights": "silent", "failure_domains": ["a", "b"], "discovery": "pushed",
    }  # fmt: skip


class Dispatcher:
    """One dispatcher process, which is started again at the same port after a kill."""

    def __init__(self, number: int, tree: Path, folder: Path, config: dict[str, Any]) -> None:
        self.number, self.tree, self.port = number, tree, free_port()
        self.config_path = folder / f"d{number}.json"
        self.config = {**config, "name": f"d{number}", "listen": f"127.0.0.1:{self.port}"}
        self.errors = folder / f"d{number}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.died_at: float | None = None  # by a kill

    def start(self, seed: str) -> None:
        """Start the process with this seed; its log is appended to the file `errors`."""
        self.config_path.write_text(json.dumps({**self.config, "seed": seed}))
        env = {name: value for name, value in os.environ.items() if name != "EIDERPIN_FRONTS"}
        env |= {"GW_CONFIG": str(self.config_path), "EIDERPIN_LOG_FORMAT": "json"}
        with self.errors.open("ab") as errors:
            command = [sys.executable, "-O", "-m", "eiderpin"]
            self.process = subprocess.Popen(command, cwd=self.tree, env=env, stdout=errors, stderr=errors)

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.died_at = clock()

    def end(self) -> int | None:
        """Ask the process to end; return its exit code, None where it did not run."""
        if self.process is None or self.process.poll() is not None:
            return None
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(30)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return -9


@dataclass(slots=True)
class ClientRequest:
    """A client's request and its answer; times in seconds."""

    request_id: str
    cls: str
    work: float
    sent_at: float
    deadline: float
    status: int = 0  # 0: no answer, -1: its connection broke
    body: bytes = b""
    elapsed: float = 0.0  # since the client was to arrive
    dispatcher: int = 0
    lost_to_kill: bool = False  # its dispatcher was killed while it waited, or shortly before it was sent


@dataclass
class Fleet:
    """One run: the workers, the dispatchers, the front with its clients, and the account of it."""

    args: argparse.Namespace
    rng: random.Random
    folder: Path
    rules: Rules = field(default_factory=Rules)
    workers: list[Worker] = field(default_factory=list)
    dispatchers: list[Dispatcher] = field(default_factory=list)
    requests: list[ClientRequest] = field(default_factory=list)
    samples: list[list[tuple[int, int]]] = field(
        default_factory=list
    )  # per second and worker: connections, probes
    idle: dict[int, IdleConnections] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    began: float = 0.0
    weights: list[float] = field(default_factory=list)
    lags: list[float] = field(default_factory=list)  # s by which clients arrived late

    async def run(self) -> dict[str, Any]:
        """Play the run; return the report."""
        args = self.args
        self.discovery = Discovery()
        await self.discovery.start()
        callback_ports: dict[int, int] = {}
        cold = args.trouble == "cold"
        for i in range(args.workers):
            failing_share = 0.45 if args.trouble == "bad" and i % 8 == 3 else 0.0
            rng = random.Random(self.rng.random())
            born = clock() if cold else 0.0
            worker = Worker(
                f"s-{i:04d}", "ab"[i % 2], args.slots, self.rules, callback_ports, rng,
                failing_share=failing_share, born=born,
            )  # fmt: skip
            await worker.start()
            self.workers.append(worker)
        await self.discovery.publish(self.workers)
        known = self.discovery.complete_list()
        for i in range(args.dispatchers):
            config = {"discovery": f"127.0.0.1:{self.discovery.port}", "known": known,
                      "limits": {"cores": 1.0, "memory_mb": 88, "sockets": 544},
                      "settings": settings(args.dispatchers, i, self.rules)}  # fmt: skip
            dispatcher = Dispatcher(i, Path(args.tree), self.folder, config)
            callback_ports[i] = dispatcher.port
            self.dispatchers.append(dispatcher)
        for dispatcher in self.dispatchers:
            dispatcher.start(f"{self.rng.getrandbits(64):016x}")
        await self.wait_all_ready()
        if cold:
            for worker in self.workers:
                worker.born = clock()
            await self.discovery.publish(self.workers)
        ranks = list(range(1, args.dispatchers + 1))
        self.rng.shuffle(ranks)
        self.weights = [1.0 / rank**FRONT_SKEW for rank in ranks]
        self.began = clock()
        tasks = [asyncio.create_task(self.sample_workers()), asyncio.create_task(self.inject_fault())]
        await self.send_clients()
        for task in tasks:
            task.cancel()
        return self.report()

    async def wait_all_ready(self) -> None:
        """Wait until all dispatchers are ready; one that is not within a minute counts as a violation."""
        give_up_at = clock() + 60.0
        for dispatcher in self.dispatchers:
            while clock() < give_up_at:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    status, _ = await self.call(dispatcher.number, "GET", "/_health", {}, b"", 2.0)
                    if status == 200:
                        break
                await asyncio.sleep(0.05)
            else:
                self.violations.append(f"dispatcher d{dispatcher.number} did not become ready")

    # -- the front and its clients

    def choose_dispatcher(self, avoid: int = -1) -> int:
        """Return the dispatcher to which the front sends a client, drawn by weight.

        The front would notice a dead dispatcher only after seconds, when it runs again. So the weights stay
        the same, and a client whose connection broke asks another dispatcher than `avoid`.
        """
        candidates = [d.number for d in self.dispatchers if d.number != avoid] or [avoid]
        return self.rng.choices(candidates, [self.weights[number] for number in candidates])[0]

    async def send_clients(self) -> None:
        """Send clients in an open loop: each at its time, whether or not earlier ones are answered."""
        args, pending, arrival, number = self.args, set(), self.began, 0
        names = list(CLASSES)
        shares = [CLASSES[name][0] for name in names]
        while arrival < self.began + args.seconds:
            arrival += self.rng.expovariate(args.rate)
            await asyncio.sleep(max(0.0, arrival - clock()))
            self.lags.append(clock() - arrival)  # lateness of this process, not of the program
            cls = self.rng.choices(names, shares)[0]
            number += 1
            task = asyncio.create_task(self.run_client(number, cls, arrival))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)

    async def run_client(self, number: int, cls: str, arrival: float) -> None:
        """Send one job: one request, and another one elsewhere if its connection breaks before the answer."""
        _, aim, deadline, work, _ = CLASSES[cls]
        work = self.rng.expovariate(1.0 / work)
        body = json.dumps({"work": work, "need": 1}).encode()
        avoid = -1
        for attempt in range(2):
            now = clock()
            target = self.choose_dispatcher(avoid)
            request_id = f"d{target}-{number:x}{attempt}{self.rng.getrandbits(24):06x}"
            request = ClientRequest(request_id, cls, work, now, now + deadline / 1000, dispatcher=target)
            self.requests.append(request)
            headers = {"Req-Id": request_id, "Req-Deadline-Ms": str(int(deadline))}
            try:
                request.status, request.body = await self.call(
                    target, "POST", f"/{cls}", headers, body, deadline / 1000 + 2.0
                )
            except CONNECTION_ERRORS:
                request.status = -1
            except TimeoutError:
                request.status = 0
            request.elapsed = clock() - arrival
            # The dispatcher was killed while the request waited, or was dead when it was sent.
            died = self.dispatchers[target].died_at
            request.lost_to_kill = died is not None and (
                died >= now or (request.status == -1 and now - died < KILL_EFFECT_SECONDS)
            )
            if request.status != -1:
                return
            avoid = target
            await asyncio.sleep(0.05)

    async def call(
        self, target: int, method: str, path: str, headers: dict[str, str], body: bytes, within: float
    ) -> tuple[int, bytes]:
        """Send one request to a dispatcher; return status and body.

        Raises `CONNECTION_ERRORS`, and `TimeoutError` after `within` seconds.
        """
        pool = self.idle.setdefault(target, [])
        reader, writer = pool.pop() if pool else await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.dispatchers[target].port), 1.0
        )  # fmt: skip
        try:
            status, response_body, response_headers = await asyncio.wait_for(
                http_request_on(reader, writer, method, path, body, **headers), within
            )
        except BaseException:
            writer.close()
            raise
        if response_headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            pool.append((reader, writer))
        return status, response_body

    # -- the injected fault

    async def inject_fault(self) -> None:
        """Inject the fault of this run after a third of its time."""
        args = self.args
        await asyncio.sleep(args.seconds / 3)
        now = clock()
        if args.trouble == "kill":
            killed = self.rng.sample(self.dispatchers, int(0.7 * len(self.dispatchers)))
            for dispatcher in killed:
                dispatcher.kill()
            self.events.append(f"{now - self.began:.1f} s: {len(killed)} dispatchers killed")
            await asyncio.sleep(0.1)
            for dispatcher in killed:
                dispatcher.start(f"{self.rng.getrandbits(64):016x}")
        elif args.trouble == "zone":
            cut_off = [worker for worker in self.workers if worker.zone == "b"]
            for worker in cut_off:
                worker.cut_off = True
            self.events.append(f"{now - self.began:.1f} s: zone b cut off ({len(cut_off)} workers)")
            await asyncio.sleep(3.0)  # the list is late
            for worker in cut_off:
                worker.lifecycle, worker.leaving_at = "Gone", clock()
            await self.discovery.publish(cut_off)
            await asyncio.sleep(2.0)
            for worker in cut_off:
                worker.restart(clock())
            await asyncio.sleep(1.0)
            for worker in cut_off:
                worker.lifecycle, worker.leaving_at = "Ready", None
            await self.discovery.publish(cut_off)
            self.events.append(f"{clock() - self.began:.1f} s: zone b back, cold")

    async def sample_workers(self) -> None:
        """Sample the workers' costs and load each second."""
        while True:
            await asyncio.sleep(1.0)
            self.samples.append([(worker.costs.connections, worker.costs.probes) for worker in self.workers])
            now = clock()
            for worker in self.workers:
                worker.check_load(now)

    # -- the report

    def report(self) -> dict[str, Any]:
        """End the dispatchers, check the rules and return the figures of the run."""
        exit_codes = [d.end() for d in self.dispatchers]
        crashed = [
            f"d{d.number}" for d, c in zip(self.dispatchers, exit_codes, strict=True) if c not in (0, None)
        ]
        if crashed:
            self.violations.append(f"dispatchers that did not end cleanly: {', '.join(crashed)}")
        results = {result for worker in self.workers for result in worker.results}
        ran: Counter[str] = Counter()
        for worker in self.workers:
            ran.update(worker.ran)
        by_class: dict[str, Counter[str]] = {cls: Counter() for cls in CLASSES}
        for request in self.requests:
            _, aim, _, _, repeat = CLASSES[request.cls]
            tally = by_class[request.cls]
            tally["asked"] += 1
            if request.status in (0, -1):
                tally["lost_to_kills" if request.lost_to_kill else "unanswered"] += 1
                if not request.lost_to_kill:
                    how = "its connection broke" if request.status else "none came by its deadline"
                    self.violations.append(
                        f"{request.request_id}: no answer, {how}, {request.sent_at - self.began:.2f} s in"
                    )
                continue
            if request.sent_at + request.elapsed > request.deadline + TOLERANCE_SECONDS * 2:
                self.violations.append(
                    f"{request.request_id}: answered after {request.elapsed:.3f} s, past its deadline"
                )
            if request.status == 200:
                if request.body.decode("latin-1") not in results:
                    self.violations.append(
                        f"{request.request_id}: 200 with {request.body[:40]!r}, which no worker made"
                    )
                in_time = request.elapsed <= aim / 1000 + WORK_STRETCH * request.work
                tally["in_time" if in_time else "late"] += 1
            elif request.status in (429, 503):
                tally["refused"] += 1
                if repeat == "single_shot" and ran[request.request_id]:
                    self.violations.append(f"{request.request_id}: refused, though it ran")
            else:
                tally["failed"] += 1
            if repeat == "single_shot" and ran[request.request_id] > 1:
                self.violations.append(
                    f"{request.request_id}: a result-post that ran {ran[request.request_id]} times"
                )
        seconds = max(1.0, clock() - self.began)
        rates = self.per_second()
        for worker in self.workers:
            if worker.costs.falls:
                self.violations.append(
                    f"{worker.name} fell over: {worker.costs.max_cold_load:.1f} times capacity"
                )
            for request_id in worker.costs.late_sends:
                self.violations.append(f"{request_id}: sent to {worker.name} past the drain's grace")
        served = {c: (t["in_time"] + t["late"]) / max(1, t["asked"] - t["lost_to_kills"])
                  for c, t in by_class.items()}  # fmt: skip
        return {
            "dispatchers": len(self.dispatchers), "workers": len(self.workers), "trouble": self.args.trouble,
            "seed": self.args.seed, "seconds": round(seconds, 1), "events": self.events,
            "classes": {c: dict(t) for c, t in by_class.items()},
            "in_time": {c: round(t["in_time"] / max(1, t["asked"] - t["lost_to_kills"]), 4)
                        for c, t in by_class.items()},  # fmt: skip
            "served": {c: round(v, 4) for c, v in served.items()},
            **rates,
            "connections_held_most": max(w.costs.max_open for w in self.workers),
            "cold_load_most": round(max(w.costs.max_cold_load for w in self.workers), 2),
            "list_calls_per_s": round(self.discovery.request_count / seconds, 1),
            "rig_lag_ms_p99": round(1000 * sorted(self.lags or [0.0])[int(0.99 * len(self.lags))], 1),
            "broken": self.violations[:20], "broken_count": len(self.violations),
        }  # fmt: skip

    def per_second(self) -> dict[str, Any]:
        """Return a worker's new connections and probes per second: their mean, and the most in any second."""
        if len(self.samples) < 2:
            return {}
        steps = [[(now[0] - before[0], now[1] - before[1]) for before, now in zip(old, new, strict=True)]
                 for old, new in zip(self.samples, self.samples[1:], strict=False)]  # fmt: skip
        deltas = [delta for step in steps for delta in step]
        return {
            "connections_per_worker_s": round(sum(delta[0] for delta in deltas) / len(deltas), 2),
            "connections_per_worker_s_most": max(delta[0] for delta in deltas),
            "probes_per_worker_s": round(sum(delta[1] for delta in deltas) / len(deltas), 2),
            "probes_per_worker_s_most": max(delta[1] for delta in deltas),
        }


def main(argv: list[str] | None = None) -> int:
    """Run the measurement; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--dispatchers", type=int, default=10)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trouble", choices=["none", "kill", "zone", "bad", "cold"], default="none")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--rate", type=float, default=0.0, help="requests per second; 0: half of the workers' capacity"
    )
    parser.add_argument(
        "--tree", default=str(ROOT), help="directory of the program, for measuring another version"
    )
    args = parser.parse_args(argv)
    if not args.rate:
        capacity = args.workers * args.slots / sum(share * work for share, _, _, work, _ in CLASSES.values())
        args.rate = 0.5 * capacity
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(args, random.Random(args.seed), Path(folder))
        began = time.monotonic()
        report = asyncio.run(fleet.run())
        report["wall_s"] = round(time.monotonic() - began, 1)
        for line in report["broken"]:
            print(f"broken: {line}", file=sys.stderr)
    print(json.dumps(report))
    return 1 if report["broken_count"] else 0


if __name__ == "__main__":
    sys.exit(main())
