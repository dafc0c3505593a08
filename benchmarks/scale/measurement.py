"""Measured series of points, each point repeated, and the straight line fitted to them."""

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
    """One cost as a function of one size.

    Attributes:
        name: What was measured, as `part.cost`.
        unit: The unit of the values.
        against: What the sizes count.
        sizes: The sizes, in ascending order.
        values: For each size, one value per repeat.
        slope: The median over the repeats of the least-squares slope, in units per size.
        slope_low, slope_high: The lowest and the highest slope of a repeat.
        intercept: The median over the repeats of the intercept.
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
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size

    def fit(self) -> Series:
        """Set the slope, its range and the intercept from the values, and return the series."""
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
    """The machine on which a run was made."""

    cores: int
    memory_gb: float
    python: str
    system: str


class Run(msgspec.Struct):
    """Everything that one run of `slopes` has measured."""

    machine: Machine
    repeats: int
    series: list[Series] = []
    scale: list[dict[str, object]] = []  # results of `run`

    def get(self, name: str) -> Series:
        """Return the series of this name. Raises `KeyError`."""
        for series in self.series:
            if series.name == name:
                return series
        raise KeyError(name)


def describe_machine() -> Machine:
    """Describe the machine that this process runs on."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        os.cpu_count() or 1, round(pages / (1 << 30), 1), platform.python_version(), platform.system()
    )


def read_run(path: Path) -> Run:
    """Read a run from its file. Raises `OSError` and `msgspec.MsgspecError`."""
    return msgspec.json.decode(path.read_bytes(), type=Run)


def write_run(path: Path, run: Run) -> None:
    """Write a run to a file, as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")


@dataclass(slots=True)
class Collector:
    """Measures the points of one run and prints them to standard error as they come."""

    run: Run

    def measure(
        self,
        name: str,
        unit: str,
        against: str,
        sizes: list[float],
        measure_once: Callable[[float], dict[str, float]],
    ) -> None:
        """Call `measure_once` for each size, as often as the run repeats; otherwise like `measure_rows`."""

        def measure_point(size: float) -> dict[str, list[float]]:
            row: dict[str, list[float]] = {}
            for _ in range(self.run.repeats):
                for key, value in measure_once(size).items():
                    row.setdefault(key, []).append(value)
            return row

        self.measure_rows(name, unit, against, sizes, measure_point)

    def measure_rows(
        self,
        name: str,
        unit: str,
        against: str,
        sizes: list[float],
        measure_point: Callable[[float], dict[str, list[float]]],
    ) -> None:
        """Call `measure_point`, which returns one value per repeat, for each size.

        Each key of its result becomes a series `name.key`, in the unit of the key's ending, else in `unit`.
        """
        found: dict[str, list[list[float]]] = {}
        for size in sizes:
            row = measure_point(size)
            for key, values in row.items():
                found.setdefault(key, []).append(values)
            shown = ", ".join(f"{key} {float(np.median(values)):.4g}" for key, values in row.items())
            print(f"{name} at {size:g} {against}: {shown}", file=sys.stderr, flush=True)
        for key, rows in found.items():
            series = Series(f"{name}.{key}", find_unit(key, unit), against, sizes, rows)
            self.run.series.append(series.fit())


def find_unit(key: str, default: str) -> str:
    """Return the unit that the ending of a key stands for, or `default`."""
    for ending, unit in (("_ms", "ms"), ("_us", "us"), ("_bytes", "bytes"), ("_mb", "MB"),
                         ("_share", "of a core"), ("_per_s", "a second"), ("_s", "s")):  # fmt: skip
        if key.endswith(ending):
            return unit
    return default


def bare_loop() -> float:
    """Return the CPU time, in ms, of a fixed loop of dictionary and arithmetic work.

    It shows how fast the machine is at the moment.
    """
    started_at = time.process_time()
    table: dict[int, int] = {}
    for number in range(400_000):
        key = number * 2_654_435_761 % 4096
        table[key] = table.get(key, 0) + number
    return (time.process_time() - started_at) * 1000.0
