"""`eiderpin config`: the configuration that the dispatchers of a store share, by versions."""

from __future__ import annotations

import base64
import difflib
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from eiderpin.store.fleet_view import ConfigView

from eiderpin.cli.store import door, fleet_view, store_client
from eiderpin.configuration import ConfigError, read_shared_config
from eiderpin.store.client import Failed, StoreClient
from eiderpin.store.names import CURRENT, IN_FORCE, OBSERVERS, PRESENT, VERSIONS

STAND_IN = {"name": "x", "listen": "127.0.0.1:0", "workers": []}  # for what is each dispatcher's own


@click.group()
def config() -> None:
    """The configuration that dispatchers share: settings and workers. What is each one's own (name, listen,
    management, limits, seed) stays in its own file."""


def find_config_error(text: bytes) -> str:
    """What is wrong with it; empty: nothing."""
    try:
        read_shared_config(STAND_IN, text)
    except ConfigError as error:
        return str(error)
    return ""


def read_current_config(store: StoreClient) -> tuple[int, bytes, int]:
    """Version, text and the document's revision; zeros where there is none. Raises `Failed`."""
    try:
        value, said = store.get(CURRENT)
    except Failed as error:
        if error.kind != "absent":
            raise
        return 0, b"", 0
    version, _, text = value.partition(b"\n")
    return int(version), text, said["revision"]


def read_config_version(store: StoreClient, number: int) -> bytes:
    return store.get(f"{VERSIONS}{number:08d}")[0]


def publish_config(store: StoreClient, text: bytes) -> int:
    """Make `text` the next version, if nobody else makes one meanwhile."""
    before, _, revision = read_current_config(store)
    number = before + 1

    def row(name: str, value: bytes) -> dict[str, str]:
        return {"name": name, "value": base64.b64encode(value).decode()}

    store.change(
        "txn", puts=[row(CURRENT, b"%d\n" % number + text), row(f"{VERSIONS}{number:08d}", text)],
        compares=[{"name": CURRENT, "revision": revision}],
    )  # fmt: skip
    return number


@config.command()
@click.argument("file", type=click.Path(exists=True))
def check(file: str) -> None:
    """Say whether dispatchers could take FILE."""
    wrong = find_config_error(Path(file).read_bytes())
    if wrong:
        click.echo(f"eiderpin: {file}: {wrong}", err=True)
        sys.exit(2)
    click.echo(f"{file}: good")


@config.command("set")
@door
@click.argument("file", type=click.Path(exists=True))
def set_(doors: str, file: str) -> None:
    """Make FILE, once checked, the configuration of all dispatchers."""
    text = Path(file).read_bytes()
    wrong = find_config_error(text)
    if wrong:
        click.echo(f"eiderpin: {file}: {wrong}", err=True)
        sys.exit(2)
    with store_client(doors) as s:
        click.echo(f"version {publish_config(s, text)}")


@config.command()
@door
@click.option("--version", "number", type=int, help="An earlier one.")
def show(doors: str, number: int | None) -> None:
    """The configuration, and what became of it at each dispatcher."""
    with store_client(doors) as s:
        if number is not None:
            sys.stdout.buffer.write(read_config_version(s, number))
            return
        now, text, _ = read_current_config(s)
        shown = fleet_view()
        members = shown.documents(s, PRESENT)
        observers = shown.live_observers(shown.documents(s, OBSERVERS), OBSERVERS)
        view = shown.config_view(now, members, observers, shown.documents(s, IN_FORCE))
    sys.stdout.buffer.write(text)
    sys.stdout.flush()
    click.echo(f"version {now}" if now else "no configuration is shared", err=True)
    for document in members:
        config = json.loads(document.value)["config"]
        click.echo(f"{document.name.removeprefix(PRESENT)}: {config or 'none taken'}", err=True)
    if observers:
        _show_in_force(view)


def _show_in_force(view: ConfigView) -> None:
    """Say at how many dispatchers the version is in force, and who lacks it."""
    line = f"in force at {view.in_force} of {view.dispatchers} dispatchers"
    if view.everywhere_ms is not None:
        line += f", everywhere after {view.everywhere_ms / 1000:.1f} s"
        line += f", last at {view.slowest}" if view.slowest else ""
    click.echo(line, err=True)
    for lagging in view.lagging:
        click.echo(f"  {fleet_view().lagging_line(lagging)}", err=True)


@config.command()
@door
@click.argument("one", type=int)
@click.argument("other", type=int, required=False)
def diff(doors: str, one: int, other: int | None) -> None:
    """What has changed from one version to another, or to the one that holds; exit code 1 where they
    differ."""
    with store_client(doors) as s:
        before = read_config_version(s, one)
        now, text, _ = read_current_config(s)
        after = read_config_version(s, other) if other is not None else text
    lines = list(
        difflib.unified_diff(
            before.decode().splitlines(), after.decode().splitlines(), f"version {one}",
            f"version {other if other is not None else now}", lineterm="",
        )
    )  # fmt: skip
    click.echo("\n".join(lines))
    sys.exit(1 if lines else 0)


@config.command()
@door
@click.argument("number", type=int, required=False)
def rollback(doors: str, number: int | None) -> None:
    """Go back to version NUMBER, or to the one before; as a new version."""
    with store_client(doors) as s:
        before, _, _ = read_current_config(s)
        back = number if number is not None else before - 1
        if back < 1:
            raise Failed("refused", "there is no earlier version")
        click.echo(
            f"version {publish_config(s, read_config_version(s, back))}, which is version {back} again"
        )
