"""Starts, monitors and stops real members and hollow dispatchers. It stops only processes that it started."""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
import orjson

from benchmarks.rig import ROOT
from benchmarks.scale.hollow import HollowOptions
from benchmarks.store_rig import Cluster
from eiderpin.parts.store import parse_address

REGION_COUNT = 3
MAX_OBSERVERS_PER_MEMBER = 2_000
MAX_HOLLOW_PROCESSES = 6  # hollow dispatchers share these processes
MAX_PROCESSES = 200  # of one run in total
SETTLE_TIMEOUT_SECONDS = 60.0  # within which all dispatchers must be current after a start


class HollowHost:
    """One process of hollow dispatchers, with a thread that reads its messages.

    Attributes:
        applied: By change, when its dispatchers applied it (monotonic clock, s).
        lags: How late the loop of the process ran, in ms.
        went_back: Messages of dispatchers that received an older revision or version than before.
        figures: One set per second, the newest last.
    """

    def __init__(self, options: HollowOptions) -> None:
        """Start the process."""
        self.options = options
        self.applied: dict[str, list[float]] = {}
        self.lags: list[float] = []
        self.went_back: list[dict[str, Any]] = []
        self.figures: list[dict[str, Any]] = []
        self._lock = threading.Lock()
        command = [sys.executable, "-O", "-m", "benchmarks.scale.hollow"]
        self.process = subprocess.Popen(
            [*command, msgspec.json.encode(options).decode()],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
        )  # fmt: skip
        threading.Thread(target=self._read_output, daemon=True).start()

    def _read_output(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            message = orjson.loads(line)
            with self._lock:
                if "went_back" in message:
                    self.went_back.append(message)
                    continue
                for change, applied_times in message.pop("applied").items():
                    self.applied.setdefault(change, []).extend(applied_times)
                self.lags += message.pop("lags")
                self.figures.append(message)

    def latest_figures(self) -> dict[str, Any]:
        """Return the newest figures; empty before the first."""
        with self._lock:
            return self.figures[-1] if self.figures else {}

    def applied_times(self, change: str) -> list[float]:
        """Return when dispatchers of this process applied a change."""
        with self._lock:
            return list(self.applied.get(change, ()))

    def send_command(self, **message: Any) -> None:
        """Send a command to the process; see `HollowProcess.execute_command`."""
        assert self.process.stdin is not None
        self.process.stdin.write(orjson.dumps(message) + b"\n")
        self.process.stdin.flush()

    def stop(self) -> None:
        """Close the standard input of the process, and kill it if it has not exited within 5 s."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            self.process.wait(5.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class ScaleFleet:
    """A cluster of real members that serve observers, and hollow dispatchers that follow it.

    Args:
        folder: For the members' files.
        dispatchers: The number of hollow dispatchers.
        members: The number of voting members.
        seed: For all random choices of the hollow dispatchers.
        parts: Passed on to `Cluster`.
    """

    def __init__(self, folder: Path, dispatchers: int, members: int, seed: int, **parts: Any) -> None:
        """Prepare the cluster; nothing is started yet."""
        self.cluster = Cluster(folder, members, MAX_OBSERVERS_PER_MEMBER, **parts)
        self.addresses = {
            name: parse_address(at, name) for name, at in self.cluster.observer_addresses.items()
        }
        self.regions = {name: f"region-{n % REGION_COUNT}" for n, name in enumerate(self.addresses)}
        self.dispatchers, self.seed = dispatchers, seed
        self.hosts: list[HollowHost] = []

    def start(self) -> None:
        """Start the members, wait for a leader, then start the dispatchers."""
        self.cluster.start()
        self.start_hollow()

    def start_hollow(self, routes: dict[str, dict[str, tuple[str, int]]] | None = None) -> None:
        """Start the dispatchers; `routes` gives other addresses of the members for some regions."""
        count = min(MAX_HOLLOW_PROCESSES, max(1, -(-self.dispatchers // 20)))
        names = [f"d{number:04d}" for number in range(self.dispatchers)]
        for number in range(count):
            host_names = names[number::count]
            region = f"region-{number % REGION_COUNT}"
            members = (routes or {}).get(region, self.addresses)
            endpoints = [(name, *members[name], self.regions[name]) for name in self.addresses]
            options = HollowOptions(
                "c1", host_names, endpoints, [region] * len(host_names), self.seed * 1000 + number
            )
            self.hosts.append(HollowHost(options))

    def figures(self) -> dict[str, Any]:
        """Return the newest figures of all hollow processes, combined; empty until each has sent some."""
        latest_figures = [host.latest_figures() for host in self.hosts]
        if not all(latest_figures):
            return {}
        total: dict[str, Any] = {
            key: sum(f[key] for f in latest_figures)
            for key in ("dispatchers", "subscribed", "current", "received", "sent", "cpu_s", "fenced")
        }
        total["copied_at"] = max(f["copied_at"] for f in latest_figures)
        total["oldest_ms"] = max(f["oldest_ms"] for f in latest_figures)
        total["versions"] = sorted({v for f in latest_figures for v in f["versions"]})
        total["instances"] = sorted({n for f in latest_figures for n in f["instances"]})
        return total

    def wait_until_current(
        self, timeout_seconds: float = SETTLE_TIMEOUT_SECONDS, instances: int | None = None
    ) -> float:
        """Wait until all dispatchers are current and, with `instances`, all count that many dispatchers.

        Returns the time that took, in seconds. Raises `TimeoutError`.
        """
        started_at = time.monotonic()
        while time.monotonic() < started_at + timeout_seconds:
            figures = self.figures()
            all_current = bool(figures) and figures["current"] == figures["dispatchers"]
            if all_current and (instances is None or figures["instances"] == [instances]):
                return time.monotonic() - started_at
            time.sleep(0.1)
        raise TimeoutError(f"not all dispatchers are current: {self.figures()}")

    def restart(self) -> float:
        """Restart all dispatchers at once; return the seconds until each has a copy of the documents.

        Raises `TimeoutError`.
        """
        started_at = time.monotonic()
        for host in self.hosts:
            host.send_command(do="restart")
        time.sleep(1.2)  # figures are sent once per second; wait for those after the restart
        self.wait_until_current()
        return float(self.figures()["copied_at"]) - started_at

    def pids(self) -> dict[str, int]:
        """Return the process ids of the members that are running."""
        found = {}
        for name, process in self.cluster.all.items():
            if process.alive and process.process is not None:
                found[name] = process.process.pid
        return found

    def applied_times(self, change: str) -> list[float]:
        """Return when dispatchers applied a change (monotonic clock, s)."""
        return [at for host in self.hosts for at in host.applied_times(change)]

    def stop(self) -> None:
        """Stop all processes that were started."""
        for host in self.hosts:
            host.stop()
        self.cluster.stop()


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share of the values lies; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
