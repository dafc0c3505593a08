"""What durability costs: posts a second with and without, added latency, records a sync, recovery.

    python -m benchmarks.durable [--posts 6000] [--clients 64] [--seed N] [--recover 10000,100000,1000000]

Times are given as ratios within one run. Exit code 1 where a post was not served.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from benchmarks.rig import ROOT, HttpWorker, Program, RunLog, http_on

WORKERS, CLIENT_PROCESSES = 3, 3


def worker_process(pipe: Connection, number: int, seed: int) -> None:
    async def serve() -> None:
        worker = HttpWorker(f"w{number}", RunLog(Path(os.devnull)), 0, random.Random(seed), (0.0, 0.0))
        await worker.start()
        pipe.send(worker.port)
        while True:
            worker.back = await asyncio.to_thread(pipe.recv)
            worker.calls.clear()

    with contextlib.suppress(EOFError, KeyboardInterrupt):
        asyncio.run(serve())


def client_process(pipe: Connection, port: int, clients: int, posts: int, mark: str) -> None:
    """Sends its posts over kept connections; tells how long each took (ms) and how many failed."""

    async def client(numbers: list[int], times: list[float]) -> int:
        failed = 0
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in numbers:
            begun = time.perf_counter()
            name = f"{mark}-{number}"
            status, _, _ = await http_on(
                reader, writer, "POST", "/result-post", b"x" * 200, Idempotency_Key=f'"{name}"', Req_Id=name
            )
            times.append((time.perf_counter() - begun) * 1000)
            failed += status != 200
        writer.close()
        return failed

    async def play() -> tuple[list[float], int]:
        times: list[float] = []
        lots = [list(range(i, posts, clients)) for i in range(clients)]
        return times, sum(await asyncio.gather(*(client(lot, times) for lot in lots)))

    pipe.send(asyncio.run(play()))


def start_workers(seed: int) -> tuple[list[Connection], list[int], list[multiprocessing.Process]]:
    pipes, ports, workers = [], [], []
    for i in range(WORKERS):
        mine, theirs = multiprocessing.Pipe()
        workers.append(multiprocessing.Process(target=worker_process, args=(theirs, i, seed + i)))
        workers[-1].start()
        pipes.append(mine)
        ports.append(int(mine.recv()))
    return pipes, ports, workers


def serve_posts(
    folder: Path, pipes: list[Connection], ports: list[int], args: Any, durable: bool, mark: str,
    store: dict[str, Any] | None = None,
) -> dict[str, float]:  # fmt: skip
    """One run of the program; the figures of it."""
    folder.mkdir()
    part = {"directory": str(folder / "ledger"), "classes": ["result-post"]} if durable else None
    # Slots enough for all clients: it is the dispatcher that is measured, not its workers' room.
    program = Program(folder, [(f"w{i}", port) for i, port in enumerate(ports)], part, args.clients, store)
    for pipe in pipes:
        pipe.send(program.edge)
    program.start()
    asyncio.run(program.ready())
    assert program.process is not None
    before = cpu(program.process.pid)
    begun = time.perf_counter()
    processes, ours = [], []
    for i in range(CLIENT_PROCESSES):
        mine, theirs = multiprocessing.Pipe()
        clients, posts = args.clients // CLIENT_PROCESSES, args.posts // CLIENT_PROCESSES
        each = (theirs, program.edge, clients, posts, f"{mark}{i}")
        processes.append(multiprocessing.Process(target=client_process, args=each))
        processes[-1].start()
        ours.append(mine)
    times: list[float] = []
    failed = 0
    for mine in ours:
        got, bad = mine.recv()
        times += got
        failed += bad
    took = time.perf_counter() - begun
    used = cpu(program.process.pid) - before
    program.kill(signal.SIGTERM)
    for process in processes:
        process.join()
    cuts = statistics.quantiles(times, n=100)
    counts = counters(program.errors)
    return {
        "posts_per_s": len(times) / took, "p50_ms": cuts[49], "p99_ms": cuts[98], "failed": failed,
        "cpu_ms_per_post": used * 1000 / len(times), "records": counts.get("ledger.records", 0),
        "commits": counts.get("ledger.commits", 0), "bytes": counts.get("ledger.bytes", 0),
    }  # fmt: skip


def cpu(pid: int) -> float:
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def counters(path: Path) -> dict[str, int]:
    got = [line.rsplit(" ", 1) for line in path.read_text().splitlines()]
    return {x[0]: int(x[1]) for x in got if len(x) == 2 and x[1].isdigit()}


def bare_loop(folder: Path, size: int, count: int) -> float:
    """Writes of so many bytes, each with its own fdatasync: how many a second."""
    fd = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT)
    data, begun = b"x" * size, time.perf_counter()
    for _ in range(count):
        os.write(fd, data)
        os.fdatasync(fd)
    took = time.perf_counter() - begun
    os.close(fd)
    return count / took


RECOVER = """
import json, resource, sys, time
from eiderpin import configuration, service
from eiderpin.parts.durable import DurableOptions
config = configuration.load(sys.argv[1], "")
begun = time.perf_counter()
config.durable = DurableOptions(sys.argv[2], frozenset(["result-post"]))
s = service.Service(config)
opened = time.perf_counter() - begun
s.ledger.turn()
took = time.perf_counter() - begun
ledger = s.ledger.job_manager.ledger
print(json.dumps({"open_s": round(opened, 2), "recover_s": round(took, 2), "jobs": len(ledger.jobs),
                  "open_jobs": ledger.open_jobs,
                  "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)}))
s.ledger.close()
"""


def recovery(folder: Path, records_wanted: int, open_jobs: int = 1000) -> dict[str, Any]:
    """Write a ledger of so many records, none checkpointed, and take it up in a process of its own."""
    from eiderpin.durable.files import Files
    from eiderpin.durable.log import Log
    from eiderpin.jobs import records
    from eiderpin.jobs.records import Accepted, Ended, Leased

    folder.mkdir()
    log = Log(Files(str(folder / "ledger")), lambda record: None)
    now, total = time.time() * 1000, records_wanted // 3
    done: list[bool] = []
    for job in range(1, total + 1):
        name = f"club-{job}"
        said: list[Any] = [
            Accepted(now, job, "result-post", name, name, b"/result-post", b"x" * 200, now + 600_000),
            Leased(now, job, 0, "w0", 1, "http", "127.0.0.1:9"),
        ]
        if job <= total - min(open_jobs, total // 2):
            said.append(Ended(now, job, "succeeded", b"ran it"))
        for record in said:
            packed = records.pack(record)
            log.append(packed.kind, packed.version, packed.body, done.append)
        if job % 2000 == 0:
            log.push()
            log.settle()
    log.close()
    program = Program(folder, [("w0", 9)], None)
    out = subprocess.run(
        [sys.executable, "-O", "-c", RECOVER, str(program.config), str(folder / "ledger")], cwd=ROOT,
        capture_output=True, text=True, check=True, env={**os.environ, "EIDERPIN_LOG_LEVEL": "error"},
    )  # fmt: skip
    return {"records": records_wanted, **json.loads(out.stdout.splitlines()[-1])}


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.durable")
    parser.add_argument("--posts", type=int, default=6000)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--recover", default="10000,100000")
    parser.add_argument("--folder", default=None, help="on the disk that is to be measured")
    args = parser.parse_args()
    result: dict[str, Any] = {"seed": args.seed, "clients": args.clients, "posts": args.posts}
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        folder = Path(name)
        pipes, ports, workers = start_workers(args.seed)
        runs: dict[bool, list[dict[str, float]]] = {False: [], True: []}
        for turn in range(args.rounds):
            for durable in (False, True):
                mark = f"t{turn}{'d' if durable else 'n'}"
                runs[durable].append(serve_posts(folder / mark, pipes, ports, args, durable, mark))
        for process in workers:
            process.terminate()
        plain, kept = runs[False], runs[True]

        def median(of: list[dict[str, float]], key: str) -> float:
            return statistics.median(x[key] for x in of)

        pairs = [k["posts_per_s"] / p["posts_per_s"] for p, k in zip(plain, kept, strict=True)]
        records, commits = median(kept, "records"), median(kept, "commits")
        size = int(median(kept, "bytes") / records)
        single = bare_loop(folder, size, 500)
        result |= {
            "posts_per_s_off": round(median(plain, "posts_per_s")),
            "posts_per_s_on": round(median(kept, "posts_per_s")),
            "ratio": round(statistics.median(pairs), 3),
            "cpu_ms_per_post_off": round(median(plain, "cpu_ms_per_post"), 3),
            "cpu_ms_per_post_on": round(median(kept, "cpu_ms_per_post"), 3),
            "p50_ms_off": round(median(plain, "p50_ms"), 1), "p50_ms_on": round(median(kept, "p50_ms"), 1),
            "p99_ms_off": round(median(plain, "p99_ms"), 1), "p99_ms_on": round(median(kept, "p99_ms"), 1),
            "records_per_sync": round(records / commits, 1), "bytes_per_record": size,
            "bare_syncs_per_s": round(single),
            "records_per_s_over_bare": round(median(kept, "posts_per_s") * records / args.posts / single, 2),
            "failed": sum(x["failed"] for x in plain + kept),
        }  # fmt: skip
        result["recovery"] = [
            recovery(folder / f"r{count}", int(count)) for count in args.recover.split(",") if count
        ]
    print(json.dumps(result))
    return 1 if result["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
