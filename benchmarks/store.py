"""What the store costs and how soon it is back: real processes with fsync, on loopback.

    python -m benchmarks.store [--puts 3000] [--clients 16] [--seed N] [--entries 100000] [--folder DIR]

Commits a second and their times with three members, as ratios to one member and to a bare loop of write and
fdatasync of the same bytes on the same disk; time without a leader after a kill, in election time-outs;
restart and catch-up with a long log; what an idle member costs; what a dispatcher's jobs a second lose with
the store on.
Exit code 1 where a command failed or a document was lost.
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

from benchmarks.durable import bare_loop, cpu, serve_posts, start_workers
from benchmarks.rig import free_port
from benchmarks.store_rig import Cluster, Process
from eiderpin.store.client import Failed, StoreClient
from eiderpin.store.member import TICK_MS
from eiderpin.store.raft import ELECTION_TICKS

VALUE = b"x" * 200
ENTRY_BYTES = 280  # on disk, for a put of `VALUE`
TIME_OUT = ELECTION_TICKS * TICK_MS / 1000  # s


def puts(cluster: Cluster, total: int, clients: int, lead: str) -> dict[str, float]:
    """Clients at the leader, one put after the other each."""
    times: list[float] = []
    failed: list[str] = []

    def client(number: int) -> None:
        store = StoreClient([cluster.all[lead].door], 20.0)
        try:
            for i in range(total // clients):
                begun = time.perf_counter()
                store.put(f"c{number}/{i % 50}", VALUE)
                times.append((time.perf_counter() - begun) * 1000)
        except Failed as error:
            failed.append(str(error))

    threads = [threading.Thread(target=client, args=(n,)) for n in range(clients)]
    begun = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    took = time.perf_counter() - begun
    cuts = statistics.quantiles(times, n=100)
    return {"per_s": len(times) / took, "p50_ms": cuts[49], "p99_ms": cuts[98], "failed": len(failed)}


def outages(cluster: Cluster, kills: int) -> list[float]:
    """How long nobody leads after the leader's kill, in election time-outs."""
    found = []
    for _ in range(kills):
        lead = cluster.leader()
        cluster.all[lead].kill()
        begun = time.monotonic()
        cluster.leader(other_than=lead)
        found.append((time.monotonic() - begun) / TIME_OUT)
        cluster.all[lead].start()
        cluster.together()
    return found


def memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def idle(cluster: Cluster, seconds: float) -> dict[str, float]:
    """What a follower costs where nothing happens."""
    lead = cluster.leader()
    process = next(p for n, p in cluster.all.items() if n != lead).process
    assert process is not None
    before = cpu(process.pid)
    time.sleep(seconds)
    used = cpu(process.pid) - before
    return {"cpu_share": round(used / seconds, 4), "memory_mb": round(memory_mb(process.pid), 1)}


def catch_up(cluster: Cluster, entries: int) -> dict[str, Any]:
    """A member that was away for `entries` puts comes back; then all restart."""
    lead = cluster.leader()
    away = next(n for n in cluster.all if n != lead)
    cluster.all[away].kill()
    doors = cluster.all[lead].door

    def client(number: int) -> None:
        store = StoreClient([doors], 30.0)
        for i in range(entries // 800):
            rows = [{"name": f"e{number}/{i % 40}/{k}", "value": "eHh4"} for k in range(100)]
            store.change("txn", puts=rows)

    threads = [threading.Thread(target=client, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    begun = time.monotonic()
    cluster.all[away].start()
    cluster.together(120.0)
    caught = time.monotonic() - begun
    said = cluster.statuses()[lead]
    for process in cluster.all.values():
        process.kill()
    begun = time.monotonic()
    for process in cluster.all.values():
        process.start()
    cluster.leader(60.0)
    return {"events": entries, "documents": said["documents"], "caught_up_s": round(caught, 2),
            "all_restarted_s": round(time.monotonic() - begun, 2)}  # fmt: skip


def jobs(folder: Path, rounds: int, posts: int, seed: int) -> dict[str, Any]:
    """Jobs a second at a dispatcher that carries a member of three, as a share of those without a store."""
    folder.mkdir()
    asked = argparse.Namespace(clients=64, posts=posts)
    pipes, ports, workers = start_workers(seed)
    shares, failed = [], 0
    try:
        for turn in range(rounds):
            off = serve_posts(folder / f"off{turn}", pipes, ports, asked, False, f"f{turn}")
            members = {f"m{i}": f"127.0.0.1:{free_port()}" for i in range(3)}
            others = [Process(folder, name, members, members[name]) for name in ("m1", "m2")]
            for process in others:
                process.directory = process.folder / f"store{turn}"
                process.parts["store"]["directory"] = str(process.directory)
                process.start()
            part = {"directory": str(folder / f"store{turn}"), "name": "m0", "cluster": "c1",
                    "listen": members["m0"], "members": members}  # fmt: skip
            on = serve_posts(folder / f"on{turn}", pipes, ports, asked, False, f"n{turn}", part)
            for process in others:
                process.kill()
            shares.append(on["posts_per_s"] / off["posts_per_s"])
            failed += int(off["failed"] + on["failed"])
    finally:
        for worker in workers:
            worker.terminate()
    middle = statistics.median(shares)
    return {"share": round(middle, 3), "shares": [round(s, 3) for s in shares], "failed": failed}


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.store")
    parser.add_argument("--puts", type=int, default=3000)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--kills", type=int, default=8)
    parser.add_argument("--entries", type=int, default=100_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", default=None, help="on the disk that is to be measured")
    args = parser.parse_args()
    result: dict[str, Any] = {"seed": args.seed, "puts": args.puts, "clients": args.clients}
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        folder = Path(name)
        runs: dict[int, list[dict[str, float]]] = {1: [], 3: []}
        bare = []
        three = one = None
        try:
            for size in (1, 3):
                (folder / str(size)).mkdir()
            one, three = Cluster(folder / "1", 1), Cluster(folder / "3", 3)
            one.start()
            three.start()
            for _ in range(args.rounds):
                bare.append(bare_loop(folder, ENTRY_BYTES, 500))
                for size, cluster in ((1, one), (3, three)):
                    runs[size].append(puts(cluster, args.puts, args.clients, cluster.leader()))
            for size in (1, 3):
                for key in ("per_s", "p50_ms", "p99_ms"):
                    middle = statistics.median(r[key] for r in runs[size])
                    result[f"{key}_{size}"] = round(middle, 1)
            result["ratio_to_one"] = round(result["per_s_3"] / result["per_s_1"], 2)
            result["ratio_to_bare"] = round(result["per_s_3"] / statistics.median(bare), 2)
            result["failed"] = sum(int(r["failed"]) for rs in runs.values() for r in rs)
            result["idle"] = idle(three, 5.0)
            gaps = outages(three, args.kills)
            result["without_leader_in_time_outs"] = {
                "median": round(statistics.median(gaps), 2), "most": round(max(gaps), 2)
            }  # fmt: skip
            result["long"] = catch_up(three, args.entries)
            one.stop()
            three.stop()
            result["jobs_with_the_store_on"] = jobs(folder / "jobs", args.rounds + 2, 9000, args.seed)
            result["failed"] += result["jobs_with_the_store_on"]["failed"]
        finally:
            for each in (one, three):
                if each is not None:
                    each.stop()
        result["cores"] = os.cpu_count()
    print(json.dumps(result))
    return 1 if result["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
