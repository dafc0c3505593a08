"""Real members and hollow dispatchers, started, watched and ended. Ends only what it has started."""

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

REGIONS = 3
OBSERVER_LIMIT = 2_000  # that a member serves
HOLLOW_PROCESSES = 6  # at the most; more dispatchers share them
MOST_PROCESSES = 200  # of a run, all together
SETTLE_WITHIN = 60.0  # s for all to be current after a start


class HollowHost:
    """One process of hollow dispatchers, with a thread that reads what it tells."""

    def __init__(self, options: HollowOptions) -> None:
        """Start the process."""
        self.options = options
        self.applied: dict[str, list[float]] = {}
        self.lags: list[float] = []
        self.went_back: list[dict[str, Any]] = []
        self.figures: list[dict[str, Any]] = []  # one a second
        self._lock = threading.Lock()
        command = [sys.executable, "-O", "-m", "benchmarks.scale.hollow"]
        self.process = subprocess.Popen(
            [*command, msgspec.json.encode(options).decode()],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
        )  # fmt: skip
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            said = orjson.loads(line)
            with self._lock:
                if "went_back" in said:
                    self.went_back.append(said)
                    continue
                for change, times in said.pop("applied").items():
                    self.applied.setdefault(change, []).extend(times)
                self.lags += said.pop("lags")
                self.figures.append(said)

    def latest(self) -> dict[str, Any]:
        """The newest figures; empty before the first."""
        with self._lock:
            return self.figures[-1] if self.figures else {}

    def times(self, change: str) -> list[float]:
        """When its dispatchers applied a change."""
        with self._lock:
            return list(self.applied.get(change, ()))

    def command(self, **said: Any) -> None:
        """Have it do something."""
        assert self.process.stdin is not None
        self.process.stdin.write(orjson.dumps(said) + b"\n")
        self.process.stdin.flush()

    def end(self) -> None:
        """End the process."""
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
        dispatchers: How many hollow dispatchers there are.
        members: How many voters.
        seed: Of all that is drawn.
    """

    def __init__(self, folder: Path, dispatchers: int, members: int, seed: int, **parts: Any) -> None:
        """Nothing is started yet."""
        self.cluster = Cluster(folder, members, OBSERVER_LIMIT, **parts)
        self.addresses = {
            name: parse_address(at, name) for name, at in self.cluster.observer_addresses.items()
        }
        self.regions = {name: f"region-{n % REGIONS}" for n, name in enumerate(self.addresses)}
        self.dispatchers, self.seed = dispatchers, seed
        self.hosts: list[HollowHost] = []

    def start(self) -> None:
        """Start the members, wait for a leader, then start the dispatchers."""
        self.cluster.start()
        self.start_hollow()

    def start_hollow(self, routes: dict[str, dict[str, tuple[str, int]]] | None = None) -> None:
        """Start the dispatchers; `routes`: by region, other addresses of the members."""
        count = min(HOLLOW_PROCESSES, max(1, -(-self.dispatchers // 20)))
        names = [f"d{number:04d}" for number in range(self.dispatchers)]
        for number in range(count):
            mine = names[number::count]
            region = f"region-{number % REGIONS}"
            at = (routes or {}).get(region, self.addresses)
            endpoints = [(m, *at[m], self.regions[m]) for m in self.addresses]
            options = HollowOptions("c1", mine, endpoints, [region] * len(mine), self.seed * 1000 + number)
            self.hosts.append(HollowHost(options))

    def figures(self) -> dict[str, Any]:
        """The newest figures of all hollow processes, added up."""
        latest = [host.latest() for host in self.hosts]
        if not all(latest):
            return {}
        total: dict[str, Any] = {
            key: sum(f[key] for f in latest)
            for key in ("dispatchers", "subscribed", "current", "received", "sent", "cpu_s", "fenced")
        }
        total["copied_at"] = max(f["copied_at"] for f in latest)
        total["oldest_ms"] = max(f["oldest_ms"] for f in latest)
        total["versions"] = sorted({v for f in latest for v in f["versions"]})
        total["instances"] = sorted({n for f in latest for n in f["instances"]})
        return total

    def wait_current(self, within: float = SETTLE_WITHIN, instances: int | None = None) -> float:
        """Wait until all dispatchers are current (and, with `instances`, say that there are so many); how
        long that took, in s. Raises `TimeoutError`."""
        begun = time.monotonic()
        while time.monotonic() < begun + within:
            said = self.figures()
            whole = bool(said) and said["current"] == said["dispatchers"]
            if whole and (instances is None or said["instances"] == [instances]):
                return time.monotonic() - begun
            time.sleep(0.1)
        raise TimeoutError(f"not all dispatchers are current: {self.figures()}")

    def restart(self) -> float:
        """Have all dispatchers begin anew at once; the time until each has a copy, in s. Raises
        `TimeoutError`."""
        begun = time.monotonic()
        for host in self.hosts:
            host.command(do="restart")
        time.sleep(1.2)  # so that the figures are of after it
        self.wait_current()
        return float(self.figures()["copied_at"]) - begun

    def pids(self) -> dict[str, int]:
        """The process ids of the members that live."""
        found = {}
        for name, process in self.cluster.all.items():
            if process.alive and process.process is not None:
                found[name] = process.process.pid
        return found

    def times(self, change: str) -> list[float]:
        """When dispatchers applied a change."""
        return [at for host in self.hosts for at in host.times(change)]

    def end(self) -> None:
        """End all that was started."""
        for host in self.hosts:
            host.end()
        self.cluster.stop()


def percentile(values: Sequence[float], share: float) -> float:
    """The value below which this share of the values lies; 0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
