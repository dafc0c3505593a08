"""The `eiderpin` command. Each group of subcommands is a module of its own, which is imported only when it
is used."""

from __future__ import annotations

import sys
from importlib import import_module, metadata
from typing import Any

import click

from eiderpin.logs import FORMATS, LEVELS

# Where each subcommand is defined, as MODULE:ATTRIBUTE.
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


class LazyGroup(click.Group):
    """A command group that imports a subcommand's module when the subcommand is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands, without importing them."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import and return the subcommand, or None if there is none of this name."""
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name].partition(":")
        command: Any = getattr(import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command


def read_version() -> str:
    """Return the version of the installed package, or that of the source tree if it is not installed."""
    try:
        return metadata.version("eiderpin")
    except metadata.PackageNotFoundError:
        from eiderpin import VERSION

        return VERSION


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(read_version(), prog_name="eiderpin")
def main() -> None:
    """A dispatcher that hands jobs to workers. For a demonstration, run: eiderpin try"""


@click.command()
@click.option(
    "--config", envvar="GW_CONFIG", type=click.Path(), help="The configuration, JSON or TOML. [GW_CONFIG]"
)
@click.option(
    "--parts",
    envvar="EIDERPIN_FRONTS",
    type=click.Path(),
    help="Optional features and their listeners, JSON. [EIDERPIN_FRONTS]",
)
@click.option("--log-format", type=click.Choice(FORMATS), help="[EIDERPIN_LOG_FORMAT]")
@click.option("--log-level", type=click.Choice(LEVELS), help="[EIDERPIN_LOG_LEVEL]")
def run(config: str | None, parts: str | None, log_format: str | None, log_level: str | None) -> None:
    """Run the dispatcher until it receives SIGTERM."""
    from eiderpin import service

    sys.exit(service.main(config, parts, log_format or "", log_level or ""))
