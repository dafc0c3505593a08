"""Measures the cost of the store and how fast it recovers: dispatcher processes with fsync, on loopback.

    python -m benchmarks.store [--puts 3000] [--clients 16] [--seed N] [--entries 100000] [--folder DIR]

Measured are commits per second and their latency with three members, as ratios to one member and to a loop
of write and fdatasync of the same size on the same disk; the time without a leader after a kill, in election
time-outs; restart and catch-up with a long log; the cost of an idle member; and the jobs per second of a
dispatcher with a member, as a share of those without. Exit code 1 where a command failed.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks.durable import cpu_seconds, measure_posts, start_workers, synced_writes_per_second
from benchmarks.rig import free_port
from benchmarks.store_rig import Cluster, Process
from eiderpin.store.client import StoreClient, StoreRequestError
from eiderpin.store.member import TICK_MS
from eiderpin.store.raft import ELECTION_TICKS

VALUE = b"x" * 200
ENTRY_BYTES = 280  # on disk, for a put of `VALUE`
ELECTION_TIMEOUT_SECONDS = ELECTION_TICKS * TICK_MS / 1000


def measure_puts(cluster: Cluster, total: int, clients: int, leader: str) -> dict[str, float]:
    """Have clients put documents at the leader, each one after the other; return the figures."""
    times: list[float] = []
    failed: list[str] = []

    def client(number: int) -> None:
        store = StoreClient([cluster.all[leader].management_address], 20.0)
        try:
            for i in range(total // clients):
                begun = time.perf_counter()
                store.put(f"c{number}/{i % 50}", VALUE)
                times.append((time.perf_counter() - begun) * 1000)
        except StoreRequestError as error:
            failed.append(str(error))

    threads = [threading.Thread(target=client, args=(number,)) for number in range(clients)]
    begun = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.perf_counter() - begun
    percentiles = statistics.quantiles(times, n=100)
    return {
        "per_s": len(times) / elapsed,
        "p50_ms": percentiles[49],
        "p99_ms": percentiles[98],
        "failed": len(failed),
    }


def measure_leaderless_times(cluster: Cluster, kills: int) -> list[float]:
    """Return how long there is no leader after each kill of the leader, in election time-outs."""
    leaderless = []
    for _ in range(kills):
        leader = cluster.leader()
        cluster.all[leader].kill()
        begun = time.monotonic()
        cluster.leader(other_than=leader)
        leaderless.append((time.monotonic() - begun) / ELECTION_TIMEOUT_SECONDS)
        cluster.all[leader].start()
        cluster.wait_until_in_sync()
    return leaderless


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_idle_follower(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Return the cost of a follower without load: its share of a core, and its memory."""
    leader = cluster.leader()
    process = next(member for name, member in cluster.all.items() if name != leader).process
    assert process is not None
    cpu_before = cpu_seconds(process.pid)
    time.sleep(seconds)
    cpu_used = cpu_seconds(process.pid) - cpu_before
    return {"cpu_share": round(cpu_used / seconds, 4), "memory_mb": round(memory_mb(process.pid), 1)}


def measure_catch_up(cluster: Cluster, entries: int) -> dict[str, Any]:
    """Return how long a member takes to catch up that was down for `entries` puts, and a restart of all."""
    leader = cluster.leader()
    absent = next(name for name in cluster.all if name != leader)
    cluster.all[absent].kill()
    leader_address = cluster.all[leader].management_address

    def client(number: int) -> None:
        store = StoreClient([leader_address], 30.0)
        for i in range(entries // 800):
            rows = [{"name": f"e{number}/{i % 40}/{k}", "value": "eHh4"} for k in range(100)]
            store.change("txn", puts=rows)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    begun = time.monotonic()
    cluster.all[absent].start()
    cluster.wait_until_in_sync(120.0)
    caught_up_seconds = time.monotonic() - begun
    status = cluster.statuses()[leader]
    for process in cluster.all.values():
        process.kill()
    begun = time.monotonic()
    for process in cluster.all.values():
        process.start()
    cluster.leader(60.0)
    return {"events": entries, "documents": status["documents"], "caught_up_s": round(caught_up_seconds, 2),
            "all_restarted_s": round(time.monotonic() - begun, 2)}  # fmt: skip


def measure_jobs(folder: Path, rounds: int, posts: int, seed: int) -> dict[str, Any]:
    """Return the jobs per second of a dispatcher with one of three members, as a share of those without."""
    folder.mkdir()
    load = argparse.Namespace(clients=64, posts=posts)
    pipes, ports, workers = start_workers(seed)
    shares, failed = [], 0
    try:
        for round_number in range(rounds):
            off = measure_posts(folder / f"off{round_number}", pipes, ports, load, False, f"f{round_number}")
            members = {f"m{i}": f"127.0.0.1:{free_port()}" for i in range(3)}
            others = [Process(folder, name, members, members[name]) for name in ("m1", "m2")]
            for process in others:
                process.directory = process.folder / f"store{round_number}"
                process.parts["store"]["directory"] = str(process.directory)
                process.start()
            options = {"directory": str(folder / f"store{round_number}"), "name": "m0", "cluster": "c1",
                       "listen": members["m0"], "members": members}  # fmt: skip
            on = measure_posts(
                folder / f"on{round_number}", pipes, ports, load, False, f"n{round_number}", options
            )
            for process in others:
                process.kill()
            shares.append(on["posts_per_s"] / off["posts_per_s"])
            failed += int(off["failed"] + on["failed"])
    finally:
        for worker in workers:
            worker.terminate()
    median_share = statistics.median(shares)
    return {
        "share": round(median_share, 3),
        "shares": [round(share, 3) for share in shares],
        "failed": failed,
    }


def main() -> int:
    """Run the measurement; return its exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.store")
    parser.add_argument("--puts", type=int, default=3000)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--kills", type=int, default=8)
    parser.add_argument("--entries", type=int, default=100_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", default=None, help="directory on the disk to be measured")
    args = parser.parse_args()
    result: dict[str, Any] = {"seed": args.seed, "puts": args.puts, "clients": args.clients}
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        folder = Path(name)
        runs: dict[int, list[dict[str, float]]] = {1: [], 3: []}
        bare_rates = []
        three = one = None
        try:
            for size in (1, 3):
                (folder / str(size)).mkdir()
            one, three = Cluster(folder / "1", 1), Cluster(folder / "3", 3)
            one.start()
            three.start()
            for _ in range(args.rounds):
                bare_rates.append(synced_writes_per_second(folder, ENTRY_BYTES, 500))
                for size, cluster in ((1, one), (3, three)):
                    runs[size].append(measure_puts(cluster, args.puts, args.clients, cluster.leader()))
            for size in (1, 3):
                for key in ("per_s", "p50_ms", "p99_ms"):
                    median = statistics.median(run[key] for run in runs[size])
                    result[f"{key}_{size}"] = round(median, 1)
            result["ratio_to_one"] = round(result["per_s_3"] / result["per_s_1"], 2)
            result["ratio_to_bare"] = round(result["per_s_3"] / statistics.median(bare_rates), 2)
            result["failed"] = sum(int(run["failed"]) for of_size in runs.values() for run in of_size)
            result["idle"] = measure_idle_follower(three, 5.0)
            leaderless = measure_leaderless_times(three, args.kills)
            result["without_leader_in_time_outs"] = {
                "median": round(statistics.median(leaderless), 2), "most": round(max(leaderless), 2)
            }  # fmt: skip
            result["long"] = measure_catch_up(three, args.entries)
            one.stop()
            three.stop()
            result["jobs_with_the_store_on"] = measure_jobs(folder / "jobs", args.rounds + 2, 9000, args.seed)
            result["failed"] += result["jobs_with_the_store_on"]["failed"]
        finally:
            for cluster_or_none in (one, three):
                if cluster_or_none is not None:
                    cluster_or_none.stop()
        result["cores"] = os.cpu_count()
    print(json.dumps(result))
    return 1 if result["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
