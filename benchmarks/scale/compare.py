"""Checks that hollow dispatchers represent real ones, and measures the control plane's cost at a real one."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.durable import cpu
from benchmarks.scale.fleet import MAX_OBSERVERS_PER_MEMBER, ScaleFleet
from benchmarks.scale.run import BYTES_PER_SECOND_LIMIT, CPU_SHARE_LIMIT, MEMORY_LIMIT_MB
from benchmarks.store import memory_mb
from benchmarks.store_rig import Cluster, Process
from eiderpin.cli.config import publish_config
from eiderpin.store.client import StoreRequestError

MAX_RELATIVE_DIFFERENCE = 0.15  # between hollow and real dispatchers, in what members use and send
WINDOW_SECONDS = 20.0
SETTLE_SECONDS = 6.0  # between the start of all processes and the first window
KNOWN_TIMEOUT_SECONDS = 60.0  # within which all dispatchers must be announced after their start
MEMBER_COUNT = 3
CONFIG_TEXT = b'{"workers": []}'


def observer_traffic(cluster: Cluster) -> float:
    """Return the bytes that members and observers have exchanged so far."""
    found = 0.0
    for said in cluster.statuses().values():
        found += said["observers"]["bytes_sent"] + said["observers"]["bytes_received"]
    return found


def measure_window(cluster: Cluster, processes: list[Process]) -> dict[str, float]:
    """Measure over one window, with a change of the configuration in its middle.

    Returns the members' total share of a core, the bytes per second between members and observers, and the
    mean share of a core of the given processes.
    """
    members = [p.process.pid for p in cluster.all.values() if p.process is not None]
    pids = [p.process.pid for p in processes if p.process is not None]
    members_cpu, processes_cpu = sum(map(cpu, members)), sum(map(cpu, pids))
    byte_count, started_at = observer_traffic(cluster), time.monotonic()
    time.sleep(WINDOW_SECONDS / 2)
    store = cluster.store_client(10.0)
    publish_config(store, CONFIG_TEXT)
    store.close()
    time.sleep(WINDOW_SECONDS / 2)
    took = time.monotonic() - started_at
    return {
        "members_share": (sum(map(cpu, members)) - members_cpu) / took,
        "bytes_per_s": (observer_traffic(cluster) - byte_count) / took,
        "each_share": (sum(map(cpu, pids)) - processes_cpu) / took / max(1, len(pids)),
    }


def medians(rows: list[dict[str, float]]) -> dict[str, float]:
    """Return the median of each figure."""
    return {key: statistics.median(row[key] for row in rows) for key in rows[0]}


def wait_until_known(processes: list[Process]) -> None:
    """Wait until each of these observers is announced to all others. Raises `TimeoutError`."""
    end = time.monotonic() + KNOWN_TIMEOUT_SECONDS
    waiting = list(processes)
    while waiting:
        if time.monotonic() > end:
            raise TimeoutError(f"{len(waiting)} observers are not known")
        try:
            if waiting[-1].status()["observer"]["standing"] == "known":
                waiting.pop()
                continue
        except StoreRequestError:
            pass
        time.sleep(0.05)


def measure_real(count: int, repeats: int) -> dict[str, float]:
    """Measure real dispatchers that follow the store."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), MEMBER_COUNT, MAX_OBSERVERS_PER_MEMBER)
        observers = [cluster.observer(f"d{number:04d}") for number in range(count)]
        try:
            cluster.start()
            for process in observers:
                process.start()
            wait_until_known(observers)
            time.sleep(SETTLE_SECONDS)
            found = medians([measure_window(cluster, observers) for _ in range(repeats)])
            pids = [p.process.pid for p in observers if p.process is not None]
            found["memory_mb"] = max(memory_mb(pid) for pid in pids)
            return found
        finally:
            for process in observers:
                process.kill()
            cluster.stop()


def measure_hollow(count: int, repeats: int) -> dict[str, float]:
    """Measure hollow dispatchers that follow the store."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ScaleFleet(Path(folder), count, MEMBER_COUNT, 1)
        try:
            fleet.start()
            fleet.wait_until_current(instances=count + MEMBER_COUNT)
            time.sleep(SETTLE_SECONDS)
            return medians([measure_window(fleet.cluster, []) for _ in range(repeats)])
        finally:
            fleet.stop()


def measure_alone(count: int, repeats: int) -> dict[str, float]:
    """Measure real dispatchers without a control plane."""
    with tempfile.TemporaryDirectory() as folder:
        processes = [Process(Path(folder), f"d{number:04d}", {}, "") for number in range(count)]
        try:
            for process in processes:
                process.parts = {}
                process.start()
            time.sleep(SETTLE_SECONDS)
            pids = [p.process.pid for p in processes if p.process is not None]
            shares = []
            for _ in range(repeats):
                used, started_at = sum(map(cpu, pids)), time.monotonic()
                time.sleep(WINDOW_SECONDS)
                shares.append((sum(map(cpu, pids)) - used) / (time.monotonic() - started_at) / count)
            return {"each_share": statistics.median(shares), "memory_mb": max(map(memory_mb, pids))}
        finally:
            for process in processes:
                process.kill()


def compare_dispatchers(count: int, repeats: int) -> dict[str, Any]:
    """Measure real and hollow dispatchers and real ones without a control plane, and compare them."""
    real_figures, hollow_figures, alone_figures = (
        measure_real(count, repeats),
        measure_hollow(count, repeats),
        measure_alone(count, repeats),
    )
    violations = []
    for key in ("members_share", "bytes_per_s"):
        if abs(hollow_figures[key] / real_figures[key] - 1.0) > MAX_RELATIVE_DIFFERENCE:
            violations.append(
                f"{key}: {hollow_figures[key]:.4g} with hollow ones, {real_figures[key]:.4g} with real ones"
            )
    control_share = real_figures["each_share"] - alone_figures["each_share"]
    if control_share > CPU_SHARE_LIMIT:
        violations.append(f"control takes {100 * control_share:.2f}% of a core at a real dispatcher")
    if real_figures["bytes_per_s"] / count > BYTES_PER_SECOND_LIMIT:
        violations.append(f"{real_figures['bytes_per_s'] / count:.0f} bytes a second at a real dispatcher")
    if real_figures["memory_mb"] > MEMORY_LIMIT_MB:
        violations.append(f"{real_figures['memory_mb']:.0f} MB at a real dispatcher")
    return {
        "dispatchers": count,
        "real": real_figures,
        "hollow": hollow_figures,
        "without_control": alone_figures,
        "control_share": control_share,
        "control_memory_mb": real_figures["memory_mb"] - alone_figures["memory_mb"],
        "broken": violations,
    }
