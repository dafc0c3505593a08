"""Measures how each cost grows with size.

Each point is a real run on this machine, repeated; a plain loop is measured as a baseline.
"""

from __future__ import annotations

import argparse
import base64
import multiprocessing
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.durable import cpu, serve_posts, start_workers
from benchmarks.scale import decisions
from benchmarks.scale.fleet import ScaleFleet
from benchmarks.scale.measurement import Collector, Run, bare_loop, describe_machine
from benchmarks.store import memory_mb
from benchmarks.store_rig import Cluster
from eiderpin.store.client import StoreClient

RUNNING_ATTEMPTS = 13_000  # of the whole fleet, in the operators' plan
JOIN_TIMEOUT_SECONDS = 90.0  # for a cluster to elect its first leader
WINDOW_SECONDS = 5.0  # over which a share of a core is measured
DOCUMENT_VALUE = b"x" * 200
DOCUMENTS_PER_BATCH = 100  # written in one transaction
POST_COUNT, CLIENT_COUNT = 3_000, 48


def measure_all(repeats: int, parts: list[str]) -> Run:
    """Measure these parts, or all if none is named."""
    collector = Collector(Run(describe_machine(), repeats))
    for name, part in PARTS.items():
        if not parts or name in parts:
            part(collector)
    return collector.run


def measure_baseline(collector: Collector) -> None:
    """Measure a plain loop, which shows how fast the machine is."""
    collector.measure("baseline", "ms", "loops", [1.0], lambda size: {"loop_ms": bare_loop()})


def measure_decisions(collector: Collector) -> None:
    """Measure the CPU time per start and the memory of one dispatcher's decisions."""

    def measure_point(workers: float = 1000, instances: float = 200, tenants: float = 0,
                      running: float | None = None, burst: float = 1) -> dict[str, float]:  # fmt: skip
        attempts = RUNNING_ATTEMPTS / instances if running is None else running
        sizes = [int(size) for size in (workers, instances, tenants, attempts, burst)]
        found = decisions.measure_point("starts", *sizes)
        return {key: found[key] for key in ("start_ms", "opened", "memory_mb")}

    collector.measure("decisions.workers", "", "workers", [15, 100, 500, 1000, 2000], measure_point)
    collector.measure("decisions.instances", "", "dispatchers", [4, 50, 200, 1000],
                      lambda size: measure_point(instances=size))  # fmt: skip
    collector.measure(
        "decisions.tenants", "", "tenants", [0, 63, 500], lambda size: measure_point(tenants=size)
    )
    collector.measure("decisions.running", "", "running attempts", [0, 1000, 4000, 13000],
                      lambda size: measure_point(running=size))  # fmt: skip
    collector.measure("decisions.burst", "", "requests at once", [1, 16, 64],
                      lambda size: measure_point(burst=size))  # fmt: skip


def measure_membership(collector: Collector) -> None:
    """Measure a complete worker list, one change of it, and a zone of 100 workers that rejoins."""
    collector.measure("membership", "", "workers", [100, 500, 1000, 2000],
                      lambda size: decisions.measure_point("membership", int(size)))  # fmt: skip


def measure_network(collector: Collector) -> None:
    """Measure the CPU time of one dispatcher for a job by HTTP, from the request to the answer."""
    pipes, ports, workers = start_workers(1)
    with tempfile.TemporaryDirectory() as folder:
        args = argparse.Namespace(clients=CLIENT_COUNT, posts=POST_COUNT)

        def measure_once(size: float) -> dict[str, float]:
            run_number = len(list(Path(folder).iterdir()))
            found = serve_posts(Path(folder) / f"t{run_number}", pipes, ports, args, False, f"t{run_number}")
            return {"job_ms": found["cpu_ms_per_post"]}

        try:
            collector.measure("network", "", "jobs", [1.0], measure_once)
        finally:
            terminate_workers(workers)


def terminate_workers(workers: list[multiprocessing.Process]) -> None:
    """Terminate the processes of simulated workers."""
    for worker in workers:
        worker.terminate()
        worker.join()


def repeat_sample(collector: Collector, sample: Callable[[], dict[str, float]]) -> dict[str, list[float]]:
    """Take a sample per repeat; return for each key one value per repeat."""
    found: dict[str, list[float]] = {}
    for _ in range(collector.run.repeats):
        for key, value in sample().items():
            found.setdefault(key, []).append(value)
    return found


def measure_shares(cluster: Cluster) -> dict[str, float]:
    """Measure the leader's and the busiest follower's share of a core, and the most memory of a member."""
    leader = cluster.leader()
    pids = {n: p.process.pid for n, p in cluster.all.items() if p.process is not None}
    before = {n: cpu(pid) for n, pid in pids.items()}
    started_at = time.monotonic()
    time.sleep(WINDOW_SECONDS)
    took = time.monotonic() - started_at
    used = {n: (cpu(pid) - before[n]) / took for n, pid in pids.items()}
    others = [share for n, share in used.items() if n != leader]
    return {
        "leader_share": used[leader],
        "follower_share": max(others, default=used[leader]),
        "memory_mb": max(memory_mb(pid) for pid in pids.values()),
    }


def measure_peers(collector: Collector) -> None:
    """Measure idle members against their number."""

    def measure_point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), int(size))
            try:
                for process in cluster.all.values():
                    process.start()
                cluster.leader(JOIN_TIMEOUT_SECONDS)
                time.sleep(3.0)
                return repeat_sample(collector, lambda: measure_shares(cluster))
            finally:
                cluster.stop()

    collector.measure_rows("peers", "", "members", [1, 3, 5, 7, 15], measure_point)


def measure_commits(collector: Collector) -> None:
    """Measure the CPU time of a commit of 200 bytes with three members, and the size of the log."""

    def put_many(cluster: Cluster, count: int) -> None:
        def client(number: int) -> None:
            store = StoreClient([cluster.all[leader].door], 30.0)
            for index in range(count // 8):
                store.put(f"c{number}/{index % 20}", DOCUMENT_VALUE)
            store.close()

        leader = cluster.leader()
        threads = [threading.Thread(target=client, args=(number,)) for number in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def measure_point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), 3)
            try:
                cluster.start()

                def measure_once() -> dict[str, float]:
                    leader = cluster.leader()
                    pids = {n: p.process.pid for n, p in cluster.all.items() if p.process is not None}
                    before = {n: cpu(pid) for n, pid in pids.items()}
                    put_many(cluster, int(size))
                    used = {n: (cpu(pid) - before[n]) * 1000.0 / size for n, pid in pids.items()}
                    directory = cluster.all[leader].directory
                    log_bytes = sum(file.stat().st_size for file in directory.iterdir())
                    return {"leader_ms": used[leader], "follower_ms": min(used.values()),
                            "log_bytes": float(log_bytes)}  # fmt: skip

                return repeat_sample(collector, measure_once)
            finally:
                cluster.stop()

    collector.measure_rows("commits", "", "changes", [400, 1600, 6400], measure_point)


def measure_documents(collector: Collector) -> None:
    """Measure idle members against the number of documents of 200 bytes."""

    def measure_point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), 3)
            try:
                cluster.start()
                store = cluster.store_client(30.0, cluster.leader())
                value = base64.b64encode(DOCUMENT_VALUE).decode()
                for first in range(0, int(size), DOCUMENTS_PER_BATCH):
                    puts = [{"name": f"d{first + n:06d}", "value": value} for n in range(DOCUMENTS_PER_BATCH)]
                    store.change("txn", puts=puts)
                store.close()
                time.sleep(3.0)
                return repeat_sample(collector, lambda: measure_shares(cluster))
            finally:
                cluster.stop()

    collector.measure_rows("documents", "", "documents", [100, 5_000, 20_000], measure_point)


def measure_observers(collector: Collector) -> None:
    """Measure idle members and observers against the number of observers.

    Also measures how long all observers take to be current again when they restart at once.
    """

    def measure_point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            fleet = ScaleFleet(Path(folder), max(1, int(size)), 3, 1)
            try:
                fleet.start()
                fleet.wait_until_current()
                time.sleep(6.0)

                def measure_once() -> dict[str, float]:
                    first, started_at = fleet.figures(), time.monotonic()
                    found = measure_shares(fleet.cluster)
                    last, took = fleet.figures(), time.monotonic() - started_at
                    byte_count = sum(last[k] - first[k] for k in ("received", "sent"))
                    observer_count = max(1.0, size)
                    found["client_share"] = (last["cpu_s"] - first["cpu_s"]) / took / observer_count
                    found["client_bytes_per_s"] = byte_count / took / observer_count
                    return found

                found = repeat_sample(collector, measure_once)
                found |= repeat_sample(collector, lambda: {"restart_s": fleet.restart()})
                return found
            finally:
                fleet.stop()

    collector.measure_rows("observers", "", "dispatchers", [1, 100, 200, 500, 1000], measure_point)


PARTS: dict[str, Callable[[Collector], None]] = {
    "baseline": measure_baseline, "decisions": measure_decisions, "membership": measure_membership,
    "network": measure_network, "peers": measure_peers, "commits": measure_commits,
    "documents": measure_documents, "observers": measure_observers,
}  # fmt: skip
