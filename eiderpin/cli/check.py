"""`eiderpin check`: validates a configuration without starting a dispatcher."""

from __future__ import annotations

import sys

import click

from eiderpin import configuration


@click.command()
@click.argument("file", type=click.Path())
@click.option("--parts", type=click.Path(), help="The file of optional features and their listeners.")
def check(file: str, parts: str | None) -> None:
    """Read FILE as `run` would, and print what it configures. Exit code 2 if it is not valid."""
    try:
        config = configuration.load(file, parts)
    except (OSError, configuration.ConfigError) as error:
        click.echo(f"eiderpin: {file}: {error}".replace("\n", " "), err=True)
        sys.exit(2)
    click.echo(f"{file}: good")
    click.echo(f"  {config.name} listens at {config.listen[0]}:{config.listen[1]}")
    for cls in config.settings.classes:
        click.echo(f"  class {cls.name}: answered within {cls.deadline:g} ms, repeat {cls.repeat.value}")
    sources = [f"discovery at {config.discovery[0]}:{config.discovery[1]}"] if config.discovery else []
    sources += [f"{len(config.workers)} listed workers"] if config.workers is not None else []
    click.echo(f"  workers from {' and '.join(sources)}")
    optional_features = ("gearman", "agent_check", "management", "durable", "store")
    enabled = [feature for feature in optional_features if getattr(config, feature) is not None]
    click.echo(f"  on: {', '.join(enabled) or 'no optional features'}")
