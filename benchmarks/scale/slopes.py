"""How each cost grows with size: each point from a real run on this machine, repeated, beside a bare loop."""

from __future__ import annotations

import argparse
import base64
import multiprocessing
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.durable import cpu_seconds, measure_posts, start_workers
from benchmarks.scale import decisions
from benchmarks.scale.fleet import ScaleFleet
from benchmarks.scale.measurement import Collector, Run, bare_loop, this_machine
from benchmarks.store import memory_mb
from benchmarks.store_rig import Cluster
from eiderpin.store.client import StoreClient

FLEET_RUNNING = 13_000  # tasks of the plan
PEER_JOIN_WITHIN = 90.0  # s for a cluster to come together
WINDOW = 5.0  # s over which a share of a core is taken
VALUE = b"x" * 200  # of a document that is put
BATCH = 100  # documents that are put at once
POSTS, CLIENTS = 3_000, 48


def measure_all(repeats: int, parts: list[str]) -> Run:
    """Measure these parts, all where none is named."""
    collector = Collector(Run(this_machine(), repeats))
    for name, part in PARTS.items():
        if not parts or name in parts:
            part(collector)
    return collector.run


def baseline(collector: Collector) -> None:
    """What the machine does, before anything of ours."""
    collector.measure("baseline", "ms", "loops", [1.0], lambda size: {"loop_ms": bare_loop()})


def decide(collector: Collector) -> None:
    """Processor time a start, and memory, of one dispatcher's decisions."""

    def point(workers: float = 1000, instances: float = 200, tenants: float = 0, running: float | None = None,
              burst: float = 1) -> dict[str, float]:  # fmt: skip
        at = FLEET_RUNNING / instances if running is None else running
        sizes = [int(size) for size in (workers, instances, tenants, at, burst)]
        found = decisions.point("starts", *sizes)
        return {key: found[key] for key in ("start_ms", "opened", "memory_mb")}

    collector.measure("decisions.workers", "", "workers", [15, 100, 500, 1000, 2000], point)
    collector.measure("decisions.instances", "", "dispatchers", [4, 50, 200, 1000],
                      lambda size: point(instances=size))  # fmt: skip
    collector.measure("decisions.tenants", "", "tenants", [0, 63, 500], lambda size: point(tenants=size))
    collector.measure("decisions.running", "", "running attempts", [0, 1000, 4000, 13000],
                      lambda size: point(running=size))  # fmt: skip
    collector.measure("decisions.burst", "", "requests at once", [1, 16, 64],
                      lambda size: point(burst=size))  # fmt: skip


def membership(collector: Collector) -> None:
    """A whole list of workers, one change, and a zone of 100 that returns."""
    collector.measure("membership", "", "workers", [100, 500, 1000, 2000],
                      lambda size: decisions.point("membership", int(size)))  # fmt: skip


def network(collector: Collector) -> None:
    """Processor time of a job by HTTP, request to answer, at one dispatcher."""
    pipes, ports, workers = start_workers(1)
    with tempfile.TemporaryDirectory() as folder:
        args = argparse.Namespace(clients=CLIENTS, posts=POSTS)

        def once(size: float) -> dict[str, float]:
            turn = len(list(Path(folder).iterdir()))
            found = measure_posts(Path(folder) / f"t{turn}", pipes, ports, args, False, f"t{turn}")
            return {"job_ms": found["cpu_ms_per_post"]}

        try:
            collector.measure("network", "", "jobs", [1.0], once)
        finally:
            end_all(workers)


def end_all(workers: list[multiprocessing.Process]) -> None:
    """End stand-ins."""
    for worker in workers:
        worker.terminate()
        worker.join()


def windows(collector: Collector, sample: Callable[[], dict[str, float]]) -> dict[str, list[float]]:
    """One value a repeat of each of a sample's keys."""
    found: dict[str, list[float]] = {}
    for _ in range(collector.run.repeats):
        for key, value in sample().items():
            found.setdefault(key, []).append(value)
    return found


def shares(cluster: Cluster) -> dict[str, float]:
    """The share of a core of the leader and of the busiest follower, and their memory, over one window."""
    lead = cluster.leader()
    pids = {n: p.process.pid for n, p in cluster.all.items() if p.process is not None}
    before = {n: cpu_seconds(pid) for n, pid in pids.items()}
    begun = time.monotonic()
    time.sleep(WINDOW)
    took = time.monotonic() - begun
    used = {n: (cpu_seconds(pid) - before[n]) / took for n, pid in pids.items()}
    others = [share for n, share in used.items() if n != lead]
    return {
        "leader_share": used[lead],
        "follower_share": max(others, default=used[lead]),
        "memory_mb": max(memory_mb(pid) for pid in pids.values()),
    }


def peers(collector: Collector) -> None:
    """Members with nothing to do."""

    def point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), int(size))
            try:
                for process in cluster.all.values():
                    process.start()
                cluster.leader(PEER_JOIN_WITHIN)
                time.sleep(3.0)
                return windows(collector, lambda: shares(cluster))
            finally:
                cluster.stop()

    collector.measure_rows("peers", "", "members", [1, 3, 5, 7, 15], point)


def commits(collector: Collector) -> None:
    """Processor time of a commit, with three members and 200 bytes; bytes of the log a change."""

    def put_many(cluster: Cluster, count: int) -> None:
        def client(number: int) -> None:
            store = StoreClient([cluster.all[lead].management_address], 30.0)
            for place in range(count // 8):
                store.put(f"c{number}/{place % 20}", VALUE)
            store.close()

        lead = cluster.leader()
        threads = [threading.Thread(target=client, args=(number,)) for number in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), 3)
            try:
                cluster.start()

                def once() -> dict[str, float]:
                    lead = cluster.leader()
                    pids = {n: p.process.pid for n, p in cluster.all.items() if p.process is not None}
                    before = {n: cpu_seconds(pid) for n, pid in pids.items()}
                    put_many(cluster, int(size))
                    used = {n: (cpu_seconds(pid) - before[n]) * 1000.0 / size for n, pid in pids.items()}
                    directory = cluster.all[lead].directory
                    held = sum(file.stat().st_size for file in directory.iterdir())
                    return {"leader_ms": used[lead], "follower_ms": min(used.values()),
                            "log_bytes": float(held)}  # fmt: skip

                return windows(collector, once)
            finally:
                cluster.stop()

    collector.measure_rows("commits", "", "changes", [400, 1600, 6400], point)


def documents(collector: Collector) -> None:
    """What members use, with nothing to do, against the number of documents of 200 bytes."""

    def point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), 3)
            try:
                cluster.start()
                store = cluster.store_client(30.0, cluster.leader())
                value = base64.b64encode(VALUE).decode()
                for first in range(0, int(size), BATCH):
                    puts = [{"name": f"d{first + n:06d}", "value": value} for n in range(BATCH)]
                    store.change("txn", puts=puts)
                store.close()
                time.sleep(3.0)
                return windows(collector, lambda: shares(cluster))
            finally:
                cluster.stop()

    collector.measure_rows("documents", "", "documents", [100, 5_000, 20_000], point)


def observers(collector: Collector) -> None:
    """What members and observers use, with nothing to do, against the number of observers; and how long all
    of them take to be current again when they begin at once."""

    def point(size: float) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory() as folder:
            fleet = ScaleFleet(Path(folder), max(1, int(size)), 3, 1)
            try:
                fleet.start()
                fleet.wait_current()
                time.sleep(6.0)

                def once() -> dict[str, float]:
                    first, begun = fleet.figures(), time.monotonic()
                    found = shares(fleet.cluster)
                    last, took = fleet.figures(), time.monotonic() - begun
                    moved = sum(last[k] - first[k] for k in ("received", "sent"))
                    each = max(1.0, size)
                    found["client_share"] = (last["cpu_s"] - first["cpu_s"]) / took / each
                    found["client_bytes_per_s"] = moved / took / each
                    return found

                found = windows(collector, once)
                found |= windows(collector, lambda: {"restart_s": fleet.restart()})
                return found
            finally:
                fleet.end()

    collector.measure_rows("observers", "", "dispatchers", [1, 100, 200, 500, 1000], point)


PARTS: dict[str, Callable[[Collector], None]] = {
    "baseline": baseline, "decisions": decide, "membership": membership, "network": network, "peers": peers,
    "commits": commits, "documents": documents, "observers": observers,
}  # fmt: skip
