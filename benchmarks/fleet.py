"""Many real dispatchers before the same stand-in workers, with one trouble from a small menu.

    python -m benchmarks.fleet --dispatchers N --workers M --seed S --trouble kill|zone|bad|cold|none

Each dispatcher is the program as the platform starts it, one process with a configuration of its own; they
share nothing but the workers and discovery. Clients come open-loop through a front that favours some
dispatchers several times over others and notices a dead one late. The troubles: `kill` (seven in ten
dispatchers killed at once and started again cold), `zone` (half of the workers cut off for 5 s, told gone
late, back cold), `bad` (one worker in eight fails nearly half its jobs, for every dispatcher), `cold` (all
workers and dispatchers start together, the workers cold). It prints what the fleet costs each worker (probes
and new connections a second, connections held, load over present capacity while cold), answers in time by
class, and the rules that broke; the last line is one JSON object, and the exit code is 1 where a rule of
PROTOCOL broke: an answer after its deadline, a 200 that no worker made, a result-post run twice or refused
after it ran, a worker fallen over, a send past a drain's grace.
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

from benchmarks.fleet_world import SLACK, Discovery, Rules, Worker, clock
from benchmarks.rig import CONNECTION_ERRORS, ROOT, Idle, free_port, http_request_on

CLASSES = {  # name: (share of requests, aim ms, deadline ms, mean work s, repeat)
    "time-lookup": (0.6, 250.0, 7500.0, 0.12, "free"),
    "result-post": (0.4, 1000.0, 25000.0, 0.4, "single_shot"),
}
STRETCH = 1.75  # a job is in time within its class's aim and this many times its own work
DOWN = 2.0  # s after a kill in which a broken connection is the kill's, not a dispatcher's doing
SKEW = 0.8  # the front's weights fall as 1 / rank ** SKEW: some dispatchers see several times the mean


def settings(dispatchers: int, number: int, rules: Rules) -> dict[str, Any]:
    """The settings in the platform's form (WIRE, "Settings"), as recife-main's days give them."""
    classes = [
        {"name": name, "aim": aim, "hard_limit": deadline, "importance": 5.0, "late_worth": 0.0,
         "memory_span": 5000.0, "repeat": repeat, "key_scope": "all"}
        for name, (_, aim, deadline, _, repeat) in CLASSES.items()
    ]  # fmt: skip
    return {
        "classes": classes, "n_instances": dispatchers, "slot_no": number, "tick": 4.0, "zone": "a",
        "family_info": {"class_stretch": [STRETCH, STRETCH], "tells_start": True, "progress": 1000.0},
        "limits": {"conn_idle": 5000.0, "connect_timeout": 250.0, "max_retry_after": 2000.0,
                   "may_cancel": True, "parallel_tries": True, "probes": True, "retry_after": True,
                   "try_limit": 5},
        "rules": {"cold_share": rules.cold_share, "drain_grace": rules.drain_grace * 1000,
                  "fall": rules.fall * 1000, "fall_multiple": rules.fall_multiple, "grace_to_answer": 16.0,
                  "warm_up": rules.warm_up * 1000},
        "weights": "silent", "failure_domains": ["a", "b"], "discovery": "pushed",
    }  # fmt: skip


class Dispatcher:
    """One real dispatcher process; started again at the same port after a kill."""

    def __init__(self, number: int, tree: Path, folder: Path, config: dict[str, Any]) -> None:
        self.number, self.tree, self.port = number, tree, free_port()
        self.path = folder / f"d{number}.json"
        self.config = {**config, "name": f"d{number}", "listen": f"127.0.0.1:{self.port}"}
        self.errors = folder / f"d{number}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.died_at: float | None = None  # when it was last killed

    def start(self, seed: str) -> None:
        self.path.write_text(json.dumps({**self.config, "seed": seed}))
        env = {k: v for k, v in os.environ.items() if k != "EIDERPIN_FRONTS"}
        env |= {"GW_CONFIG": str(self.path), "EIDERPIN_LOG_FORMAT": "json"}
        with self.errors.open("ab") as errors:
            command = [sys.executable, "-O", "-m", "eiderpin"]
            self.process = subprocess.Popen(command, cwd=self.tree, env=env, stdout=errors, stderr=errors)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.died_at = clock()

    def end(self) -> int | None:
        if self.process is None or self.process.poll() is not None:
            return None
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(30)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return -9


@dataclass(slots=True)
class Asked:
    rid: str
    cls: str
    work: float  # s
    at: float  # when it was meant to be sent
    deadline: float
    status: int = 0  # 0: no answer, -1: its connection broke
    body: bytes = b""
    took: float = 0.0
    dispatcher: int = 0
    killed: bool = False  # its dispatcher was killed while it waited


@dataclass
class Fleet:
    args: argparse.Namespace
    rng: random.Random
    folder: Path
    rules: Rules = field(default_factory=Rules)
    workers: list[Worker] = field(default_factory=list)
    dispatchers: list[Dispatcher] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    samples: list[list[tuple[int, int]]] = field(default_factory=list)  # each second, per worker
    idle: dict[int, Idle] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    began: float = 0.0
    weights: list[float] = field(default_factory=list)
    lags: list[float] = field(default_factory=list)

    async def run(self) -> dict[str, Any]:
        args = self.args
        self.discovery = Discovery()
        await self.discovery.start()
        backs: dict[int, int] = {}
        cold = args.trouble == "cold"
        for i in range(args.workers):
            bad = 0.45 if args.trouble == "bad" and i % 8 == 3 else 0.0
            rng = random.Random(self.rng.random())
            born = clock() if cold else 0.0
            worker = Worker(f"s-{i:04d}", "ab"[i % 2], args.slots, self.rules, backs, rng, bad=bad, born=born)
            await worker.start()
            self.workers.append(worker)
        await self.discovery.tell(self.workers)
        known = self.discovery.whole()
        for i in range(args.dispatchers):
            config = {"discovery": f"127.0.0.1:{self.discovery.port}", "known": known,
                      "limits": {"cores": 1.0, "memory_mb": 88, "sockets": 544},
                      "settings": settings(args.dispatchers, i, self.rules)}  # fmt: skip
            dispatcher = Dispatcher(i, Path(args.tree), self.folder, config)
            backs[i] = dispatcher.port
            self.dispatchers.append(dispatcher)
        for dispatcher in self.dispatchers:
            dispatcher.start(f"{self.rng.getrandbits(64):016x}")
        await self.all_ready()
        if cold:
            for worker in self.workers:
                worker.born = clock()
            await self.discovery.tell(self.workers)
        ranks = list(range(1, args.dispatchers + 1))
        self.rng.shuffle(ranks)
        self.weights = [1.0 / r**SKEW for r in ranks]
        self.began = clock()
        tasks = [asyncio.create_task(self.sample()), asyncio.create_task(self.trouble())]
        await self.clients()
        for task in tasks:
            task.cancel()
        return self.report()

    async def all_ready(self) -> None:
        until = clock() + 60.0
        for dispatcher in self.dispatchers:
            while clock() < until:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    status, _ = await self.call(dispatcher.number, "GET", "/_health", {}, b"", 2.0)
                    if status == 200:
                        break
                await asyncio.sleep(0.05)
            else:
                self.broken.append(f"dispatcher d{dispatcher.number} did not become ready")

    # -- the front and its clients

    def front(self, avoid: int = -1) -> int:
        """Where the front sends a client: by weight. A dead dispatcher is noticed only seconds later, and
        is started again sooner: the front goes on as before, and a client whose connection broke asks
        another."""
        among = [d.number for d in self.dispatchers if d.number != avoid] or [avoid]
        return self.rng.choices(among, [self.weights[n] for n in among])[0]

    async def clients(self) -> None:
        """Open loop: arrivals come at their times whether or not earlier ones are answered."""
        args, pending, at, number = self.args, set(), self.began, 0
        names = list(CLASSES)
        shares = [CLASSES[n][0] for n in names]
        while at < self.began + args.seconds:
            at += self.rng.expovariate(args.rate)
            await asyncio.sleep(max(0.0, at - clock()))
            self.lags.append(clock() - at)  # the rig's own lateness, which it must not blame on anyone
            cls = self.rng.choices(names, shares)[0]
            number += 1
            task = asyncio.create_task(self.client(number, cls, at))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)

    async def client(self, number: int, cls: str, at: float) -> None:
        """One job: one request, and once more elsewhere where its connection broke before an answer."""
        _, aim, deadline, work, _ = CLASSES[cls]
        work = self.rng.expovariate(1.0 / work)
        body = json.dumps({"work": work, "need": 1}).encode()
        avoid = -1
        for attempt in range(2):
            now = clock()
            target = self.front(avoid)
            rid = f"d{target}-{number:x}{attempt}{self.rng.getrandbits(24):06x}"
            asked = Asked(rid, cls, work, now, now + deadline / 1000, dispatcher=target)
            self.asked.append(asked)
            headers = {"Req-Id": rid, "Req-Deadline-Ms": str(int(deadline))}
            try:
                asked.status, asked.body = await self.call(target, "POST", f"/{cls}", headers, body,
                                                           deadline / 1000 + 2.0)  # fmt: skip
            except CONNECTION_ERRORS:
                asked.status = -1
            except TimeoutError:
                asked.status = 0
            asked.took = clock() - at
            # Killed while it waited, or dead when it came: the latter was never taken by anyone.
            died = self.dispatchers[target].died_at
            asked.killed = died is not None and (died >= now or (asked.status == -1 and now - died < DOWN))
            if asked.status != -1:
                return
            avoid = target
            await asyncio.sleep(0.05)

    async def call(
        self, target: int, method: str, path: str, headers: dict[str, str], body: bytes, within: float
    ) -> tuple[int, bytes]:
        pool = self.idle.setdefault(target, [])
        reader, writer = pool.pop() if pool else await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.dispatchers[target].port), 1.0
        )  # fmt: skip
        try:
            status, got, fields = await asyncio.wait_for(
                http_request_on(reader, writer, method, path, body, **headers), within
            )
        except BaseException:
            writer.close()
            raise
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            pool.append((reader, writer))
        return status, got

    # -- the troubles

    async def trouble(self) -> None:
        args = self.args
        await asyncio.sleep(args.seconds / 3)
        now = clock()
        if args.trouble == "kill":
            struck = self.rng.sample(self.dispatchers, int(0.7 * len(self.dispatchers)))
            for dispatcher in struck:
                dispatcher.kill()
            self.events.append(f"{now - self.began:.1f} s: {len(struck)} dispatchers killed")
            await asyncio.sleep(0.1)
            for dispatcher in struck:
                dispatcher.start(f"{self.rng.getrandbits(64):016x}")
        elif args.trouble == "zone":
            cut = [w for w in self.workers if w.zone == "b"]
            for worker in cut:
                worker.cut = True
            self.events.append(f"{now - self.began:.1f} s: zone b cut off ({len(cut)} workers)")
            await asyncio.sleep(3.0)  # lists come late
            for worker in cut:
                worker.lifecycle, worker.leaving_at = "Gone", clock()
            await self.discovery.tell(cut)
            await asyncio.sleep(2.0)
            for worker in cut:
                worker.restart(clock())
            await asyncio.sleep(1.0)
            for worker in cut:
                worker.lifecycle, worker.leaving_at = "Ready", None
            await self.discovery.tell(cut)
            self.events.append(f"{clock() - self.began:.1f} s: zone b back, cold")

    async def sample(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.samples.append([(w.costs.connections, w.costs.probes) for w in self.workers])
            now = clock()
            for worker in self.workers:
                worker.look(now)

    # -- the account

    def report(self) -> dict[str, Any]:
        codes = [d.end() for d in self.dispatchers]
        crashed = [f"d{d.number}" for d, c in zip(self.dispatchers, codes, strict=True) if c not in (0, None)]
        if crashed:
            self.broken.append(f"dispatchers that did not end cleanly: {', '.join(crashed)}")
        results = {r for w in self.workers for r in w.results}
        ran: Counter[str] = Counter()
        for worker in self.workers:
            ran.update(worker.ran)
        by_class: dict[str, Counter[str]] = {c: Counter() for c in CLASSES}
        for asked in self.asked:
            _, aim, _, _, repeat = CLASSES[asked.cls]
            tally = by_class[asked.cls]
            tally["asked"] += 1
            if asked.status in (0, -1):
                tally["lost_to_kills" if asked.killed else "unanswered"] += 1
                if not asked.killed:
                    how = "its connection broke" if asked.status else "none came by its deadline"
                    self.broken.append(f"{asked.rid}: no answer, {how}, {asked.at - self.began:.2f} s in")
                continue
            if asked.at + asked.took > asked.deadline + SLACK * 2:
                self.broken.append(f"{asked.rid}: answered after {asked.took:.3f} s, past its deadline")
            if asked.status == 200:
                if asked.body.decode("latin-1") not in results:
                    self.broken.append(f"{asked.rid}: 200 with {asked.body[:40]!r}, which no worker made")
                in_time = asked.took <= aim / 1000 + STRETCH * asked.work
                tally["in_time" if in_time else "late"] += 1
            elif asked.status in (429, 503):
                tally["refused"] += 1
                if repeat == "single_shot" and ran[asked.rid]:
                    self.broken.append(f"{asked.rid}: refused, though it ran")
            else:
                tally["failed"] += 1
            if repeat == "single_shot" and ran[asked.rid] > 1:
                self.broken.append(f"{asked.rid}: a result-post that ran {ran[asked.rid]} times")
        seconds = max(1.0, clock() - self.began)
        per_s = self.per_second()
        for worker in self.workers:
            if worker.costs.fell:
                self.broken.append(f"{worker.name} fell over: {worker.costs.cold_load:.1f} times capacity")
            for rid in worker.costs.late_sends:
                self.broken.append(f"{rid}: sent to {worker.name} past the drain's grace")
        served = {c: (t["in_time"] + t["late"]) / max(1, t["asked"] - t["lost_to_kills"])
                  for c, t in by_class.items()}  # fmt: skip
        return {
            "dispatchers": len(self.dispatchers), "workers": len(self.workers), "trouble": self.args.trouble,
            "seed": self.args.seed, "seconds": round(seconds, 1), "events": self.events,
            "classes": {c: dict(t) for c, t in by_class.items()},
            "in_time": {c: round(t["in_time"] / max(1, t["asked"] - t["lost_to_kills"]), 4)
                        for c, t in by_class.items()},  # fmt: skip
            "served": {c: round(v, 4) for c, v in served.items()},
            **per_s,
            "connections_held_most": max(w.costs.most_open for w in self.workers),
            "cold_load_most": round(max(w.costs.cold_load for w in self.workers), 2),
            "list_calls_per_s": round(self.discovery.asked / seconds, 1),
            "rig_lag_ms_p99": round(1000 * sorted(self.lags or [0.0])[int(0.99 * len(self.lags))], 1),
            "broken": self.broken[:20], "broken_count": len(self.broken),
        }  # fmt: skip

    def per_second(self) -> dict[str, Any]:
        """Probes and new connections a second at each worker: the mean over workers and seconds, and the
        worst worker in its worst second."""
        if len(self.samples) < 2:
            return {}
        steps = [[(b[0] - a[0], b[1] - a[1]) for a, b in zip(x, y, strict=True)]
                 for x, y in zip(self.samples, self.samples[1:], strict=False)]  # fmt: skip
        cells = [c for step in steps for c in step]
        return {
            "connections_per_worker_s": round(sum(c[0] for c in cells) / len(cells), 2),
            "connections_per_worker_s_most": max(c[0] for c in cells),
            "probes_per_worker_s": round(sum(c[1] for c in cells) / len(cells), 2),
            "probes_per_worker_s_most": max(c[1] for c in cells),
        }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--dispatchers", type=int, default=10)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trouble", choices=["none", "kill", "zone", "bad", "cold"], default="none")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0: half of what fits")
    parser.add_argument("--tree", default=str(ROOT), help="the program's folder: another version's")
    args = parser.parse_args(argv)
    if not args.rate:
        fits = args.workers * args.slots / sum(share * work for share, _, _, work, _ in CLASSES.values())
        args.rate = 0.5 * fits
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
