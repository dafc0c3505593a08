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
    """Measure how costs grow with the size of a deployment."""


@main.command()
@click.option("--dispatchers", default=200, help="Hollow dispatchers.")
@click.option("--members", default=3, help="Voting members of the store.")
@click.option("--seed", default=1, help="The same seed gives the same script.")
@click.option("--fault", type=click.Choice(runs.FAULTS), default="none")
@click.option("--minutes", default=0.5, help="Approximate duration of the script.")
@click.option("--untimed", is_flag=True, help="Check what happened, not how long it took.")
def run(dispatchers: int, members: int, seed: int, fault: str, minutes: float, untimed: bool) -> None:
    """Run with many dispatchers and print the result as JSON; exit 1 on a violation, 2 if the run is void."""
    result = runs.run_fault(dispatchers, seed, fault, minutes * 60.0, members, untimed)
    print(json.dumps(result))
    sys.exit(1 if result["broken"] else 2 if result["void"] else 0)


@main.command()
@click.option("--repeats", default=3, help="Repeats of each point; at least three.")
@click.option("--part", "parts", multiple=True, help="Measure only these parts.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="File for the run, as JSON.")
def slopes(repeats: int, parts: tuple[str, ...], out: Path) -> None:
    """Measure how each cost grows with size, and write the run to a file for `page`."""
    from benchmarks.scale import measurement
    from benchmarks.scale import slopes as slope_measurements

    result = slope_measurements.measure_all(max(3, repeats), list(parts))
    if out.exists():  # keep the series of other parts and the results of `run`
        kept = measurement.read_run(out)
        names = {series.name for series in result.series}
        result.series = [s for s in kept.series if s.name not in names] + result.series
        result.scale = kept.scale
    measurement.write_run(out, result)


@main.command()
@click.option("--dispatchers", default=20)
@click.option("--repeats", default=3, help="Number of measurement windows.")
def compare(dispatchers: int, repeats: int) -> None:
    """Compare hollow dispatchers with real ones; exit 1 if hollow ones do not represent real ones."""
    from benchmarks.scale import compare as comparison

    result = comparison.compare_dispatchers(dispatchers, repeats)
    print(json.dumps(result))
    sys.exit(1 if result["broken"] else 0)


@main.command()
@click.option("--from", "source", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--into", type=click.Path(exists=True, path_type=Path), help="Page whose figures are updated.")
@click.option(
    "--add", "results", multiple=True, type=click.File(), help="Results of `run` to add; - is stdin."
)
def page(source: Path, into: Path | None, results: tuple[TextIO, ...]) -> None:
    """Print the figures of the page from a stored run, or update them in the page."""
    from benchmarks.scale import measurement
    from benchmarks.scale import page as pages

    kept = measurement.read_run(source)
    for file in results:
        kept.scale += [json.loads(line) for line in file if line.startswith("{")]
    if results:
        measurement.write_run(source, kept)
    if into is None:
        click.echo(pages.render_figures(kept))
    else:
        into.write_text(pages.replace_figures(into.read_text(), kept))


if __name__ == "__main__":
    main()
