"""Durable posts on both fronts while the dispatcher is killed, and its disk fails, at random times.

    python -m benchmarks.crash_jobs --posts 5000 --kills 30 --seed N [--disk-faults]

Every post runs at most once; every client gets exactly one final answer, and the same one when it asks again;
what the ledger says agrees with the workers' own logs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import resource
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.rig import Answer, HttpWorker, Program, RunLog, ask_gearman, ask_http, gearman_worker
from eiderpin.cli.jobs import LedgerReport

RUN = (0.002, 0.06)  # s that a job takes


class Run:
    def __init__(self, folder: Path, args: argparse.Namespace) -> None:
        self.folder, self.args = folder, args
        self.rng = random.Random(args.seed)
        self.answers: dict[str, list[Answer]] = {}
        self.left = args.posts
        self.kills = self.faults = 0
        self.logs: list[RunLog] = []
        self.broken: list[str] = []

    async def run(self) -> dict[str, Any]:
        args, tasks = self.args, []
        workers = []
        for i in range(4):
            self.logs.append(RunLog(self.folder / f"http-{i}.ran"))
            worker = HttpWorker(f"h{i}", self.logs[-1], 0, random.Random(self.rng.random()), RUN)
            await worker.start()
            workers.append(worker)
        ledger = self.folder / "ledger"
        durable = {"directory": str(ledger), "classes": ["result-post"], "silence_ms": 4000}
        program = Program(self.folder, [(w.name, w.port) for w in workers], durable)
        for worker in workers:
            worker.back = program.edge
        for i in range(4):
            self.logs.append(RunLog(self.folder / f"gearman-{i}.ran"))
            rng = random.Random(self.rng.random())
            tasks.append(asyncio.create_task(gearman_worker(program.gearman, self.logs[-1], rng, RUN)))
        program.start()
        await program.ready()
        begun = time.monotonic()
        clients = [asyncio.create_task(self.client(i, program)) for i in range(args.clients)]
        killer = asyncio.create_task(self.trouble(program))
        await asyncio.gather(*clients)
        took = time.monotonic() - begun
        killer.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await killer
        await program.ready()  # whatever the last kill left is recovered
        await asyncio.sleep(0.2)
        program.kill(signal.SIGTERM)
        for task in tasks:
            task.cancel()
        for worker in workers:
            await worker.stop()
        return self.judge(str(ledger), took)

    async def client(self, number: int, program: Program) -> None:
        rng = random.Random(f"{self.args.seed} {number}")
        while self.left > 0:
            self.left -= 1
            name = f"p{self.left}"
            body = b"%d" % rng.randrange(10**6) * rng.randint(1, 50)
            gearman = rng.random() < 0.5
            asks = 2 if rng.random() < 0.1 else 1  # some ask again after their answer, by either front
            for _ in range(asks):
                ask, port = (ask_gearman, program.gearman) if gearman else (ask_http, program.edge)
                # By either front the same job has the same target and body.
                try:
                    self.answers.setdefault(name, []).append(await ask(port, name, body))
                except AssertionError as error:
                    self.broken.append(str(error))

    async def trouble(self, program: Program) -> None:
        """Kills, and times in which the disk takes nothing (by the limit on the size of files)."""
        assert program.process is not None
        share = max(1.0, self.args.posts / max(1, self.args.kills))
        for kill in range(1, self.args.kills + 1):
            while self.args.posts - self.left < kill * share * 0.9:
                await asyncio.sleep(0.01)
            await asyncio.sleep(self.rng.uniform(0, 0.2))
            if self.args.disk_faults and self.rng.random() < 0.7:
                self.faults += 1
                limits = resource.getrlimit(resource.RLIMIT_FSIZE)
                resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (1, limits[1]))
                await asyncio.sleep(self.rng.uniform(0.05, 1.0))
                if self.rng.random() < 0.5:  # else it is killed while its disk fails
                    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, limits)
                    await asyncio.sleep(self.rng.uniform(0.05, 1.0))
            program.kill()
            self.kills += 1
            await asyncio.sleep(self.rng.uniform(0, 0.3))
            program.start()
            await program.ready()

    def judge(self, ledger: str, took: float) -> dict[str, Any]:
        ran = Counter(job for log in self.logs for job in log.jobs())
        say = self.broken.append
        for name, count in ran.items():
            if count > 1:
                say(f"{name} ran {count} times")
        for number in range(self.args.posts):
            name = f"p{number}"
            got = self.answers.get(name, [])
            if not got:
                say(f"{name} has no final answer")
                continue
            if len({(a.served, a.result) for a in got}) > 1:
                say(f"{name} was told {got}")
            if got[0].served and ran[name] != 1:
                say(f"{name} was told a result and ran {ran[name]} times")
        said = LedgerReport(ledger)
        if said.read_error:
            say(f"the ledger: {said.read_error}")
        for job in said.ledger.jobs.values():
            name, state = job.accepted.unique, job.state()
            if state in ("waiting", "leased"):
                say(f"{name} is still {state}")
            if state == "succeeded" and ran[name] != 1:
                say(f"{name}: the ledger says that it succeeded, it ran {ran[name]} times")
            if ran[name] and not job.may_have_run and state != "succeeded":
                say(f"{name}: the ledger says that it never ran, a worker says that it did")
            mine = self.answers.get(name, [])
            if mine and mine[0].served != (state == "succeeded"):
                say(f"{name}: the ledger says {state}, its client was told served={mine[0].served}")
        firsts = [got[0] for got in self.answers.values() if got]
        return {
            "posts": self.args.posts, "kills": self.kills, "disk_faults": self.faults, "seed": self.args.seed,
            "seconds": round(took, 1), "ran": sum(ran.values()), "served": sum(a.served for a in firsts),
            "failed": sum(not a.served for a in firsts), "asked_again": sum(a.asked > 1 for a in firsts),
            "most_runs_of_one": max(ran.values(), default=0), "broken": self.broken[:20],
        }  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.crash_jobs")
    parser.add_argument("--posts", type=int, default=5000)
    parser.add_argument("--kills", type=int, default=30)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--disk-faults", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), args)
        result = asyncio.run(run.run())
        lines = (Path(folder) / "stderr").read_text().splitlines()
        errors = [x for x in lines if "a fault" in x or "invariant" in x]
        if errors:
            result["broken"] += errors[:5]
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
