"""Points, repeated, and the straight line through them."""

from __future__ import annotations

import os
import platform
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np


class Series(msgspec.Struct):
    """One cost against one size.

    Attributes:
        name: What was measured, as `part.cost`.
        unit: Of the values.
        against: What the sizes are.
        sizes: The sizes, in order.
        values: For each size one value a repeat.
        slope: The median over the repeats of the least-squares slope, in units a size.
        slope_low, slope_high: The lowest and the highest slope of a repeat.
        intercept: The median over the repeats.
    """

    name: str
    unit: str
    against: str
    sizes: list[float]
    values: list[list[float]]
    slope: float = 0.0
    slope_low: float = 0.0
    slope_high: float = 0.0
    intercept: float = 0.0

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.intercept + self.slope * size

    def fit(self) -> Series:
        """Set the slope and its spread from the values."""
        if len(self.sizes) < 2:
            self.intercept = float(np.median(self.values[0]))
            return self
        repeats = np.array(self.values, dtype=float).T
        lines = [np.polyfit(self.sizes, row, 1) for row in repeats]
        slopes = [float(line[0]) for line in lines]
        self.slope = float(np.median(slopes))
        self.slope_low, self.slope_high = min(slopes), max(slopes)
        self.intercept = float(np.median([line[1] for line in lines]))
        return self


class Machine(msgspec.Struct):
    """Where a run was made."""

    cores: int
    memory_gb: float
    python: str
    system: str


class Run(msgspec.Struct):
    """All that one run of `slopes` has measured."""

    machine: Machine
    repeats: int
    series: list[Series] = []
    scale: list[dict[str, object]] = []  # results of `run`

    def get(self, name: str) -> Series:
        """The series of this name. Raises `KeyError`."""
        for series in self.series:
            if series.name == name:
                return series
        raise KeyError(name)


def this_machine() -> Machine:
    """The machine that this runs on."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        os.cpu_count() or 1, round(pages / (1 << 30), 1), platform.python_version(), platform.system()
    )


def read_run(path: Path) -> Run:
    """Raises `OSError` and `msgspec.MsgspecError`."""
    return msgspec.json.decode(path.read_bytes(), type=Run)


def write_run(path: Path, run: Run) -> None:
    """Write a run, so that a person can read it."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")


@dataclass(slots=True)
class Collector:
    """Takes the points of one run as they are measured, and shows them."""

    run: Run

    def measure(
        self,
        name: str,
        unit: str,
        against: str,
        sizes: list[float],
        once: Callable[[float], dict[str, float]],
    ) -> None:
        """Measure `once` at each size, as often as the run repeats, see `measure_rows`."""

        def point(size: float) -> dict[str, list[float]]:
            row: dict[str, list[float]] = {}
            for _ in range(self.run.repeats):
                for key, value in once(size).items():
                    row.setdefault(key, []).append(value)
            return row

        self.measure_rows(name, unit, against, sizes, point)

    def measure_rows(
        self,
        name: str,
        unit: str,
        against: str,
        sizes: list[float],
        point: Callable[[float], dict[str, list[float]]],
    ) -> None:
        """Measure `point`, which gives one value a repeat, at each size. Each key of its result is a series
        `name.key`, in the unit that the key's name ends with, else in `unit`."""
        found: dict[str, list[list[float]]] = {}
        for size in sizes:
            row = point(size)
            for key, values in row.items():
                found.setdefault(key, []).append(values)
            shown = ", ".join(f"{key} {float(np.median(values)):.4g}" for key, values in row.items())
            print(f"{name} at {size:g} {against}: {shown}", file=sys.stderr, flush=True)
        for key, rows in found.items():
            series = Series(f"{name}.{key}", unit_of(key, unit), against, sizes, rows)
            self.run.series.append(series.fit())


def unit_of(key: str, default: str) -> str:
    """The unit that the name of a value ends with."""
    for ending, unit in (("_ms", "ms"), ("_us", "us"), ("_bytes", "bytes"), ("_mb", "MB"),
                         ("_share", "of a core"), ("_per_s", "a second"), ("_s", "s")):  # fmt: skip
        if key.endswith(ending):
            return unit
    return default


def bare_loop() -> float:
    """Processor time in ms of a fixed loop of dictionary and arithmetic work: what this machine does now."""
    begun = time.process_time()
    table: dict[int, int] = {}
    for number in range(400_000):
        key = number * 2_654_435_761 % 4096
        table[key] = table.get(key, 0) + number
    return (time.process_time() - begun) * 1000.0
