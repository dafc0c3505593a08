"""The commands of `python -m benchmarks.scale`."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from benchmarks.scale import run as runs


@click.group()
def main() -> None:
    """Measure how the program bears size."""


@main.command()
@click.option("--dispatchers", default=200, help="Hollow dispatchers.")
@click.option("--members", default=3, help="Voters of the store.")
@click.option("--seed", default=1, help="A seed replays the same script.")
@click.option("--fault", type=click.Choice(runs.FAULTS), default="none")
@click.option("--minutes", default=0.5, help="About how long the script takes.")
@click.option("--untimed", is_flag=True, help="Judge what happened, not how long it took.")
def run(dispatchers: int, members: int, seed: int, fault: str, minutes: float, untimed: bool) -> None:
    """One run; prints one JSON object, and ends with 1 where a promise broke, 2 where it says nothing."""
    result = runs.play(dispatchers, seed, fault, minutes * 60.0, members, untimed)
    print(json.dumps(result))
    sys.exit(1 if result["broken"] else 2 if result["void"] else 0)


@main.command()
@click.option("--repeats", default=3, help="Of each point; three at the least.")
@click.option("--part", "parts", multiple=True, help="Only these parts.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Where the run is kept, as JSON.")
def slopes(repeats: int, parts: tuple[str, ...], out: Path) -> None:
    """Measure how each cost grows, and keep the run for `page`."""
    from benchmarks.scale import measurement
    from benchmarks.scale import slopes as measures

    result = measures.measure_all(max(3, repeats), list(parts))
    if out.exists():  # what other parts, and runs, have brought stays
        kept = measurement.read_run(out)
        names = {series.name for series in result.series}
        result.series = [s for s in kept.series if s.name not in names] + result.series
        result.scale = kept.scale
    measurement.write_run(out, result)


if __name__ == "__main__":
    main()
