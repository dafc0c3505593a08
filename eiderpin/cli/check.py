"""`eiderpin check`: is this configuration one to start with?"""

from __future__ import annotations

import sys

import click

from eiderpin import configuration


@click.command()
@click.argument("file", type=click.Path())
@click.option("--parts", type=click.Path(), help="The file of further fronts and parts.")
def check(file: str, parts: str | None) -> None:
    """Read FILE as `run` would, and say what it holds. Exit code 2 where it cannot be used."""
    try:
        config = configuration.load(file, parts)
    except (OSError, configuration.ConfigError) as error:
        click.echo(f"eiderpin: {file}: {error}".replace("\n", " "), err=True)
        sys.exit(2)
    click.echo(f"{file}: good")
    click.echo(f"  {config.name} listens at {config.listen[0]}:{config.listen[1]}")
    for cls in config.settings.classes:
        click.echo(f"  class {cls.name}: answered within {cls.deadline:g} ms, repeat {cls.repeat.value}")
    source = [f"discovery at {config.discovery[0]}:{config.discovery[1]}"] if config.discovery else []
    source += [f"{len(config.workers)} listed workers"] if config.workers is not None else []
    click.echo(f"  workers from {' and '.join(source)}")
    parts_ = ("gearman", "agent_check", "management", "durable", "store")
    on = [n for n in parts_ if getattr(config, n) is not None]
    click.echo(f"  on: {', '.join(on) or 'no further parts'}")
