"""Submits durable posts by HTTP and Gearman while the dispatcher is killed and its disk fails at random.

    python -m benchmarks.crash_jobs --posts 5000 --kills 30 --seed N [--disk-faults]

Checked is that each post runs at most once, that each client gets exactly one final answer and the same one
when it asks again, and that the ledger agrees with the workers' own logs. Exit code 1 where one of these is
violated.
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

RUN_SECONDS = (0.002, 0.06)  # range of a job's run time


class Run:
    """One run: the dispatcher, its workers and clients, the faults and the checks."""

    def __init__(self, folder: Path, args: argparse.Namespace) -> None:
        self.folder, self.args = folder, args
        self.rng = random.Random(args.seed)
        self.answers: dict[str, list[Answer]] = {}
        self.remaining_posts = args.posts
        self.kills = self.disk_faults = 0
        self.logs: list[RunLog] = []
        self.violations: list[str] = []

    async def run(self) -> dict[str, Any]:
        """Run all and return the figures."""
        args, tasks = self.args, []
        workers = []
        for i in range(4):
            self.logs.append(RunLog(self.folder / f"http-{i}.ran"))
            worker = HttpWorker(f"h{i}", self.logs[-1], 0, random.Random(self.rng.random()), RUN_SECONDS)
            await worker.start()
            workers.append(worker)
        ledger = self.folder / "ledger"
        durable = {"directory": str(ledger), "classes": ["result-post"], "silence_ms": 4000}
        program = Program(self.folder, [(worker.name, worker.port) for worker in workers], durable)
        for worker in workers:
            worker.callback_port = program.http_port
        for i in range(4):
            self.logs.append(RunLog(self.folder / f"gearman-{i}.ran"))
            rng = random.Random(self.rng.random())
            tasks.append(
                asyncio.create_task(gearman_worker(program.gearman_port, self.logs[-1], rng, RUN_SECONDS))
            )
        program.start()
        await program.ready()
        begun = time.monotonic()
        clients = [asyncio.create_task(self.run_client(i, program)) for i in range(args.clients)]
        killer = asyncio.create_task(self.inject_faults(program))
        await asyncio.gather(*clients)
        elapsed = time.monotonic() - begun
        killer.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await killer
        await program.ready()  # what the last kill left open is recovered
        await asyncio.sleep(0.2)
        program.kill(signal.SIGTERM)
        for task in tasks:
            task.cancel()
        for worker in workers:
            await worker.stop()
        return self.check(str(ledger), elapsed)

    async def run_client(self, number: int, program: Program) -> None:
        """Submit posts one after the other, each by HTTP or Gearman, until none are left."""
        rng = random.Random(f"{self.args.seed} {number}")
        while self.remaining_posts > 0:
            self.remaining_posts -= 1
            name = f"p{self.remaining_posts}"
            body = b"%d" % rng.randrange(10**6) * rng.randint(1, 50)
            gearman = rng.random() < 0.5
            submissions = 2 if rng.random() < 0.1 else 1  # some submit again after their answer
            for _ in range(submissions):
                ask, port = (ask_gearman, program.gearman_port) if gearman else (ask_http, program.http_port)
                # A job's target and body are the same by HTTP and by Gearman.
                try:
                    self.answers.setdefault(name, []).append(await ask(port, name, body))
                except AssertionError as error:
                    self.violations.append(str(error))

    async def inject_faults(self, program: Program) -> None:
        """Kill the dispatcher repeatedly; sometimes its disk fails first, by a limit on file sizes."""
        assert program.process is not None
        posts_per_kill = max(1.0, self.args.posts / max(1, self.args.kills))
        for kill in range(1, self.args.kills + 1):
            while self.args.posts - self.remaining_posts < kill * posts_per_kill * 0.9:
                await asyncio.sleep(0.01)
            await asyncio.sleep(self.rng.uniform(0, 0.2))
            if self.args.disk_faults and self.rng.random() < 0.7:
                self.disk_faults += 1
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

    def check(self, ledger: str, elapsed: float) -> dict[str, Any]:
        """Check answers, logs and ledger against each other; return the figures."""
        ran = Counter(job for log in self.logs for job in log.jobs())
        report = self.violations.append
        for name, count in ran.items():
            if count > 1:
                report(f"{name} ran {count} times")
        for number in range(self.args.posts):
            name = f"p{number}"
            answers = self.answers.get(name, [])
            if not answers:
                report(f"{name} has no final answer")
                continue
            if len({(answer.served, answer.result) for answer in answers}) > 1:
                report(f"{name} received {answers}")
            if answers[0].served and ran[name] != 1:
                report(f"{name} received a result and ran {ran[name]} times")
        ledger_report = LedgerReport(ledger)
        if ledger_report.read_error:
            report(f"the ledger: {ledger_report.read_error}")
        for job in ledger_report.ledger.jobs.values():
            name, state = job.accepted.unique, job.state()
            if state in ("waiting", "leased"):
                report(f"{name} is still {state}")
            if state == "succeeded" and ran[name] != 1:
                report(f"{name}: the ledger says that it succeeded, it ran {ran[name]} times")
            if ran[name] and not job.may_have_run and state != "succeeded":
                report(f"{name}: the ledger says that it never ran, a worker says that it did")
            answers = self.answers.get(name, [])
            if answers and answers[0].served != (state == "succeeded"):
                report(f"{name}: the ledger says {state}, its client received served={answers[0].served}")
        first_answers = [answers[0] for answers in self.answers.values() if answers]
        return {
            "posts": self.args.posts, "kills": self.kills, "disk_faults": self.disk_faults,
            "seed": self.args.seed, "seconds": round(elapsed, 1), "ran": sum(ran.values()),
            "served": sum(answer.served for answer in first_answers),
            "failed": sum(not answer.served for answer in first_answers),
            "asked_again": sum(answer.tries > 1 for answer in first_answers),
            "most_runs_of_one": max(ran.values(), default=0), "broken": self.violations[:20],
        }  # fmt: skip


def main() -> int:
    """Run the processes and the checks; return the exit code."""
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
        errors = [line for line in lines if "a fault" in line or "invariant" in line]
        if errors:
            result["broken"] += errors[:5]
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
