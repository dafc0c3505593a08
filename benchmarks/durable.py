"""Measures the cost of durability: posts per second with and without it, latency, records per sync, recovery.

    python -m benchmarks.durable [--posts 6000] [--clients 64] [--seed N] [--recover 10000,100000,1000000]

Throughput with and without is compared within one run, as a ratio. Exit code 1 where a post was not served.
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

from benchmarks.rig import ROOT, HttpWorker, Program, RunLog, http_request_on

WORKER_COUNT, CLIENT_PROCESS_COUNT = 3, 3


def worker_process(pipe: Connection, number: int, seed: int) -> None:
    """Run one worker. Sends its port; receives, for each run, the port that takes its call-backs."""

    async def serve() -> None:
        worker = HttpWorker(f"w{number}", RunLog(Path(os.devnull)), 0, random.Random(seed), (0.0, 0.0))
        await worker.start()
        pipe.send(worker.port)
        while True:
            worker.callback_port = await asyncio.to_thread(pipe.recv)
            worker.idle.clear()

    with contextlib.suppress(EOFError, KeyboardInterrupt):
        asyncio.run(serve())


def client_process(pipe: Connection, port: int, clients: int, posts: int, prefix: str) -> None:
    """Submit jobs over persistent connections; send how long each took (ms) and how many failed.

    The names of the jobs begin with `prefix`.
    """

    async def client(numbers: list[int], times: list[float]) -> int:
        failed = 0
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in numbers:
            begun = time.perf_counter()
            name = f"{prefix}-{number}"
            status, _, _ = await http_request_on(
                reader, writer, "POST", "/result-post", b"x" * 200, Idempotency_Key=f'"{name}"', Req_Id=name
            )
            times.append((time.perf_counter() - begun) * 1000)
            failed += status != 200
        writer.close()
        return failed

    async def run_clients() -> tuple[list[float], int]:
        times: list[float] = []
        shares = [list(range(i, posts, clients)) for i in range(clients)]
        return times, sum(await asyncio.gather(*(client(share, times) for share in shares)))

    pipe.send(asyncio.run(run_clients()))


def start_workers(seed: int) -> tuple[list[Connection], list[int], list[multiprocessing.Process]]:
    """Start the workers; return the pipes to them, their ports and their processes."""
    pipes, ports, workers = [], [], []
    for i in range(WORKER_COUNT):
        own_end, other_end = multiprocessing.Pipe()
        workers.append(multiprocessing.Process(target=worker_process, args=(other_end, i, seed + i)))
        workers[-1].start()
        pipes.append(own_end)
        ports.append(int(own_end.recv()))
    return pipes, ports, workers


def measure_posts(
    folder: Path, pipes: list[Connection], ports: list[int], args: Any, durable: bool, prefix: str,
    store: dict[str, Any] | None = None,
) -> dict[str, float]:  # fmt: skip
    """Run the program under posts by `args.clients` clients, `args.posts` in all; return the figures."""
    folder.mkdir()
    options = {"directory": str(folder / "ledger"), "classes": ["result-post"]} if durable else None
    # Slots for all clients: the dispatcher is measured, not the capacity of its workers.
    program = Program(folder, [(f"w{i}", port) for i, port in enumerate(ports)], options, args.clients, store)
    for pipe in pipes:
        pipe.send(program.http_port)
    program.start()
    asyncio.run(program.ready())
    assert program.process is not None
    cpu_before = cpu_seconds(program.process.pid)
    begun = time.perf_counter()
    processes, results = [], []
    for i in range(CLIENT_PROCESS_COUNT):
        own_end, other_end = multiprocessing.Pipe()
        clients, posts = args.clients // CLIENT_PROCESS_COUNT, args.posts // CLIENT_PROCESS_COUNT
        client_args = (other_end, program.http_port, clients, posts, f"{prefix}{i}")
        processes.append(multiprocessing.Process(target=client_process, args=client_args))
        processes[-1].start()
        results.append(own_end)
    times: list[float] = []
    failed = 0
    for own_end in results:
        process_times, process_failed = own_end.recv()
        times += process_times
        failed += process_failed
    elapsed = time.perf_counter() - begun
    cpu_used = cpu_seconds(program.process.pid) - cpu_before
    program.kill(signal.SIGTERM)
    for process in processes:
        process.join()
    percentiles = statistics.quantiles(times, n=100)
    counts = read_counters(program.errors)
    return {
        "posts_per_s": len(times) / elapsed, "p50_ms": percentiles[49], "p99_ms": percentiles[98],
        "failed": failed, "cpu_ms_per_post": cpu_used * 1000 / len(times),
        "records": counts.get("ledger.records", 0),
        "commits": counts.get("ledger.commits", 0), "bytes": counts.get("ledger.bytes", 0),
    }  # fmt: skip


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_counters(path: Path) -> dict[str, int]:
    """Return the counters that a dispatcher printed to its log at its end."""
    printed = [line.rsplit(" ", 1) for line in path.read_text().splitlines()]
    return {pair[0]: int(pair[1]) for pair in printed if len(pair) == 2 and pair[1].isdigit()}


def synced_writes_per_second(folder: Path, size: int, count: int) -> float:
    """Write `size` bytes `count` times, each with an fdatasync; return how many writes a second."""
    fd = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT)
    data, begun = b"x" * size, time.perf_counter()
    for _ in range(count):
        os.write(fd, data)
        os.fdatasync(fd)
    elapsed = time.perf_counter() - begun
    os.close(fd)
    return count / elapsed


# The program that recovers a ledger: CONFIG DIRECTORY. It prints times (s), counts and peak memory as JSON.
RECOVERY_PROGRAM = """
import json, resource, sys, time
from eiderpin import configuration, service
from eiderpin.parts.durable import DurableOptions
config = configuration.load(sys.argv[1], "")
begun = time.perf_counter()
config.durable = DurableOptions(sys.argv[2], frozenset(["result-post"]))
recovered = service.Service(config)
opened = time.perf_counter() - begun
recovered.ledger.run_turn()
took = time.perf_counter() - begun
ledger = recovered.ledger.job_manager.ledger
print(json.dumps({"open_s": round(opened, 2), "recover_s": round(took, 2), "jobs": len(ledger.jobs),
                  "open_jobs": ledger.open_jobs,
                  "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)}))
recovered.ledger.close()
"""


def measure_recovery(folder: Path, record_count: int, open_jobs: int = 1000) -> dict[str, Any]:
    """Write a ledger of so many records without a checkpoint, and recover it in a process of its own.

    `open_jobs`: how many jobs have not ended.
    """
    from eiderpin.durable.files import Files
    from eiderpin.durable.log import Log
    from eiderpin.jobs import records
    from eiderpin.jobs.records import Accepted, Ended, Leased

    folder.mkdir()
    log = Log(Files(str(folder / "ledger")), lambda record: None)
    now, total = time.time() * 1000, record_count // 3
    written: list[bool] = []
    for job in range(1, total + 1):
        name = f"club-{job}"
        job_records: list[Any] = [
            Accepted(now, job, "result-post", name, name, b"/result-post", b"x" * 200, now + 600_000),
            Leased(now, job, 0, "w0", 1, "http", "127.0.0.1:9"),
        ]
        if job <= total - min(open_jobs, total // 2):
            job_records.append(Ended(now, job, "succeeded", b"ran it"))
        for record in job_records:
            packed = records.pack(record)
            log.append(packed.kind, packed.version, packed.body, written.append)
        if job % 2000 == 0:
            log.push()
            log.settle()
    log.close()
    program = Program(folder, [("w0", 9)], None)
    done = subprocess.run(
        [sys.executable, "-O", "-c", RECOVERY_PROGRAM, str(program.config), str(folder / "ledger")], cwd=ROOT,
        capture_output=True, text=True, check=True, env={**os.environ, "EIDERPIN_LOG_LEVEL": "error"},
    )  # fmt: skip
    return {"records": record_count, **json.loads(done.stdout.splitlines()[-1])}


def main() -> int:
    """Run the measurement; return its exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.durable")
    parser.add_argument("--posts", type=int, default=6000)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--recover", default="10000,100000")
    parser.add_argument("--folder", default=None, help="directory on the disk to be measured")
    args = parser.parse_args()
    result: dict[str, Any] = {"seed": args.seed, "clients": args.clients, "posts": args.posts}
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        folder = Path(name)
        pipes, ports, workers = start_workers(args.seed)
        runs: dict[bool, list[dict[str, float]]] = {False: [], True: []}
        for round_number in range(args.rounds):
            for durable in (False, True):
                prefix = f"t{round_number}{'d' if durable else 'n'}"
                runs[durable].append(measure_posts(folder / prefix, pipes, ports, args, durable, prefix))
        for process in workers:
            process.terminate()
        without, with_ledger = runs[False], runs[True]

        def median(figures: list[dict[str, float]], key: str) -> float:
            return statistics.median(run[key] for run in figures)

        ratios = [
            on["posts_per_s"] / off["posts_per_s"] for off, on in zip(without, with_ledger, strict=True)
        ]
        records, commits = median(with_ledger, "records"), median(with_ledger, "commits")
        size = int(median(with_ledger, "bytes") / records)
        syncs_per_second = synced_writes_per_second(folder, size, 500)
        result |= {
            "posts_per_s_off": round(median(without, "posts_per_s")),
            "posts_per_s_on": round(median(with_ledger, "posts_per_s")),
            "ratio": round(statistics.median(ratios), 3),
            "cpu_ms_per_post_off": round(median(without, "cpu_ms_per_post"), 3),
            "cpu_ms_per_post_on": round(median(with_ledger, "cpu_ms_per_post"), 3),
            "p50_ms_off": round(median(without, "p50_ms"), 1),
            "p50_ms_on": round(median(with_ledger, "p50_ms"), 1),
            "p99_ms_off": round(median(without, "p99_ms"), 1),
            "p99_ms_on": round(median(with_ledger, "p99_ms"), 1),
            "records_per_sync": round(records / commits, 1), "bytes_per_record": size,
            "bare_syncs_per_s": round(syncs_per_second),
            "records_per_s_over_bare": round(
                median(with_ledger, "posts_per_s") * records / args.posts / syncs_per_second, 2
            ),
            "failed": sum(run["failed"] for run in without + with_ledger),
        }  # fmt: skip
        result["recovery"] = [
            measure_recovery(folder / f"r{count}", int(count)) for count in args.recover.split(",") if count
        ]
    print(json.dumps(result))
    return 1 if result["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
