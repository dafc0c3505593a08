"""The `eiderpin` command. Each group of commands is in a module of its own and is imported when it is
used."""

from __future__ import annotations

import sys
from importlib import import_module, metadata
from typing import Any

import click

from eiderpin.logs import FORMATS, LEVELS

# name: module and attribute
COMMANDS = {
    "check": "eiderpin.cli.check:check",
    "config": "eiderpin.cli.config:config",
    "dispatchers": "eiderpin.cli.workers:dispatchers",
    "jobs": "eiderpin.cli.jobs:jobs",
    "run": "eiderpin.cli:run",
    "store": "eiderpin.cli.store:store",
    "try": "eiderpin.cli.try_it:try_it",
    "workers": "eiderpin.cli.workers:workers",
}


class Lazy(click.Group):
    """Imports a command when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name].partition(":")
        command: Any = getattr(import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command


def version() -> str:
    try:
        return metadata.version("eiderpin")
    except metadata.PackageNotFoundError:  # from a checkout
        from eiderpin import VERSION

        return VERSION


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(version(), prog_name="eiderpin")
def main() -> None:
    """A dispatcher that hands jobs to workers. To see it at work: eiderpin try"""


@click.command()
@click.option(
    "--config", envvar="GW_CONFIG", type=click.Path(), help="The configuration, JSON or TOML. [GW_CONFIG]"
)
@click.option(
    "--parts",
    envvar="EIDERPIN_FRONTS",
    type=click.Path(),
    help="Further fronts and parts, JSON. [EIDERPIN_FRONTS]",
)
@click.option("--log-format", type=click.Choice(FORMATS), help="[EIDERPIN_LOG_FORMAT]")
@click.option("--log-level", type=click.Choice(LEVELS), help="[EIDERPIN_LOG_LEVEL]")
def run(config: str | None, parts: str | None, log_format: str | None, log_level: str | None) -> None:
    """Serve, until SIGTERM."""
    from eiderpin import service

    sys.exit(service.main(config, parts, log_format or "", log_level or ""))
