"""The commands of `python -m benchmarks.scale`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TextIO

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


@main.command()
@click.option("--dispatchers", default=20)
@click.option("--repeats", default=3, help="Windows of measurement.")
def compare(dispatchers: int, repeats: int) -> None:
    """Real dispatchers beside hollow ones; ends with 1 where hollow ones do not stand for real ones."""
    from benchmarks.scale import compare as comparison

    result = comparison.play(dispatchers, repeats)
    print(json.dumps(result))
    sys.exit(1 if result["broken"] else 0)


@main.command()
@click.option("--from", "source", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--into", type=click.Path(exists=True, path_type=Path), help="A page to be brought up to date.")
@click.option(
    "--add", "results", multiple=True, type=click.File(), help="Results of `run` to keep; - is stdin."
)
def page(source: Path, into: Path | None, results: tuple[TextIO, ...]) -> None:
    """Print the figures of the page from a kept run, or put them into it."""
    from benchmarks.scale import measurement
    from benchmarks.scale import page as pages

    kept = measurement.read_run(source)
    for file in results:
        kept.scale += [json.loads(line) for line in file if line.startswith("{")]
    if results:
        measurement.write_run(source, kept)
    if into is None:
        click.echo(pages.render(kept))
    else:
        into.write_text(pages.replaced(into.read_text(), kept))


if __name__ == "__main__":
    main()
