"""Whether hollow dispatchers stand for real ones, and what the control plane costs a real one."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.durable import cpu
from benchmarks.scale.fleet import OBSERVER_LIMIT, ScaleFleet
from benchmarks.scale.run import BYTES_LIMIT, CPU_LIMIT, MEMORY_LIMIT
from benchmarks.store import memory_mb
from benchmarks.store_rig import Cluster, Process
from eiderpin.cli.config import publish_config
from eiderpin.store.client import Failed

LIKE = 0.15  # by which hollow ones may differ from real ones, in what members use and send
WINDOW = 20.0  # s
SETTLE = 6.0  # s after all are known
WITHIN = 60.0  # s
MEMBERS = 3
CHANGE = b'{"workers": []}'


def traffic(cluster: Cluster) -> float:
    """Bytes between members and observers so far."""
    found = 0.0
    for said in cluster.statuses().values():
        found += said["observers"]["bytes_sent"] + said["observers"]["bytes_received"]
    return found


def window(cluster: Cluster, others: list[Process]) -> dict[str, float]:
    """Over one window with a change in its midst: the members' share of a core together, bytes between
    members and observers a second, and the share of a core of each of the others."""
    members = [p.process.pid for p in cluster.all.values() if p.process is not None]
    pids = [p.process.pid for p in others if p.process is not None]
    used, own = sum(map(cpu, members)), sum(map(cpu, pids))
    moved, begun = traffic(cluster), time.monotonic()
    time.sleep(WINDOW / 2)
    store = cluster.store_client(10.0)
    publish_config(store, CHANGE)
    store.close()
    time.sleep(WINDOW / 2)
    took = time.monotonic() - begun
    return {
        "members_share": (sum(map(cpu, members)) - used) / took,
        "bytes_per_s": (traffic(cluster) - moved) / took,
        "each_share": (sum(map(cpu, pids)) - own) / took / max(1, len(pids)),
    }


def medians(rows: list[dict[str, float]]) -> dict[str, float]:
    """The median of each figure."""
    return {key: statistics.median(row[key] for row in rows) for key in rows[0]}


def wait_known(processes: list[Process]) -> None:
    """Wait until all others know of these observers. Raises `TimeoutError`."""
    end = time.monotonic() + WITHIN
    waiting = list(processes)
    while waiting:
        if time.monotonic() > end:
            raise TimeoutError(f"{len(waiting)} observers are not known")
        try:
            if waiting[-1].status()["observer"]["standing"] == "known":
                waiting.pop()
                continue
        except Failed:
            pass
        time.sleep(0.05)


def real(count: int, repeats: int) -> dict[str, float]:
    """Real dispatchers that follow the store."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), MEMBERS, OBSERVER_LIMIT)
        observers = [cluster.observer(f"d{number:04d}") for number in range(count)]
        try:
            cluster.start()
            for process in observers:
                process.start()
            wait_known(observers)
            time.sleep(SETTLE)
            found = medians([window(cluster, observers) for _ in range(repeats)])
            pids = [p.process.pid for p in observers if p.process is not None]
            found["memory_mb"] = max(memory_mb(pid) for pid in pids)
            return found
        finally:
            for process in observers:
                process.kill()
            cluster.stop()


def hollow(count: int, repeats: int) -> dict[str, float]:
    """Hollow dispatchers."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ScaleFleet(Path(folder), count, MEMBERS, 1)
        try:
            fleet.start()
            fleet.wait_current(instances=count + MEMBERS)
            time.sleep(SETTLE)
            return medians([window(fleet.cluster, []) for _ in range(repeats)])
        finally:
            fleet.end()


def alone(count: int, repeats: int) -> dict[str, float]:
    """The same dispatchers without any control plane."""
    with tempfile.TemporaryDirectory() as folder:
        processes = [Process(Path(folder), f"d{number:04d}", {}, "") for number in range(count)]
        try:
            for process in processes:
                process.parts = {}
                process.start()
            time.sleep(SETTLE)
            pids = [p.process.pid for p in processes if p.process is not None]
            shares = []
            for _ in range(repeats):
                used, begun = sum(map(cpu, pids)), time.monotonic()
                time.sleep(WINDOW)
                shares.append((sum(map(cpu, pids)) - used) / (time.monotonic() - begun) / count)
            return {"each_share": statistics.median(shares), "memory_mb": max(map(memory_mb, pids))}
        finally:
            for process in processes:
                process.kill()


def play(count: int, repeats: int) -> dict[str, Any]:
    """All three, one after the other."""
    ours, theirs, without = real(count, repeats), hollow(count, repeats), alone(count, repeats)
    broken = []
    for key in ("members_share", "bytes_per_s"):
        if abs(theirs[key] / ours[key] - 1.0) > LIKE:
            broken.append(f"{key}: {theirs[key]:.4g} with hollow ones, {ours[key]:.4g} with real ones")
    control = ours["each_share"] - without["each_share"]
    if control > CPU_LIMIT:
        broken.append(f"control takes {100 * control:.2f}% of a core at a real dispatcher")
    if ours["bytes_per_s"] / count > BYTES_LIMIT:
        broken.append(f"{ours['bytes_per_s'] / count:.0f} bytes a second at a real dispatcher")
    if ours["memory_mb"] > MEMORY_LIMIT:
        broken.append(f"{ours['memory_mb']:.0f} MB at a real dispatcher")
    return {
        "dispatchers": count,
        "real": ours,
        "hollow": theirs,
        "without_control": without,
        "control_share": control,
        "control_memory_mb": ours["memory_mb"] - without["memory_mb"],
        "broken": broken,
    }
