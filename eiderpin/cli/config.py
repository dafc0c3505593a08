"""`eiderpin config`: commands for the versioned configuration that the dispatchers of a store share."""

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

from eiderpin.cli.store import door_option, load_fleet_view, store_client
from eiderpin.configuration import ConfigError, read_shared_config
from eiderpin.store.client import StoreClient, StoreRequestError
from eiderpin.store.names import CONFIG_VERSIONS, CURRENT_CONFIG, IN_FORCE, LIVE_MEMBERS, OBSERVERS

# Stands for the settings that each dispatcher's own file has, so that a shared text can be checked alone.
PLACEHOLDER_OWN_SETTINGS = {"name": "x", "listen": "127.0.0.1:0", "workers": []}


@click.group()
def config() -> None:
    """The configuration that dispatchers share: settings and workers. What differs between dispatchers (name,
    listen, management, limits, seed) stays in each one's own file."""


def find_config_error(text: bytes) -> str:
    """Return what is wrong with the text of a shared configuration, or an empty string if it is valid."""
    try:
        read_shared_config(PLACEHOLDER_OWN_SETTINGS, text)
    except ConfigError as error:
        return str(error)
    return ""


def read_current_config(store: StoreClient) -> tuple[int, bytes, int]:
    """Return the version, the text and the document's revision; 0, b"" and 0 if no configuration is shared.
    Raises `StoreRequestError`."""
    try:
        value, document = store.get(CURRENT_CONFIG)
    except StoreRequestError as error:
        if error.kind != "absent":
            raise
        return 0, b"", 0
    version, _, text = value.partition(b"\n")
    return int(version), text, document["revision"]


def read_config_version(store: StoreClient, number: int) -> bytes:
    """Return the text of one version. Raises `StoreRequestError`, of kind `absent` if there is none of this
    number."""
    return store.get(f"{CONFIG_VERSIONS}{number:08d}")[0]


def publish_config(store: StoreClient, text: bytes) -> int:
    """Store `text` as the next version and return its number. Raises `StoreRequestError`, of kind `differs`
    if another version was published in the meantime."""
    current_number, _, revision = read_current_config(store)
    number = current_number + 1

    def document(name: str, value: bytes) -> dict[str, str]:
        return {"name": name, "value": base64.b64encode(value).decode()}

    store.change(
        "txn",
        puts=[
            document(CURRENT_CONFIG, b"%d\n" % number + text),
            document(f"{CONFIG_VERSIONS}{number:08d}", text),
        ],
        compares=[{"name": CURRENT_CONFIG, "revision": revision}],
    )  # fmt: skip
    return number


@config.command()
@click.argument("file", type=click.Path(exists=True))
def check(file: str) -> None:
    """Check whether FILE is valid as the shared configuration. Exit code 2 if it is not."""
    error = find_config_error(Path(file).read_bytes())
    if error:
        click.echo(f"eiderpin: {file}: {error}", err=True)
        sys.exit(2)
    click.echo(f"{file}: good")


@config.command("set")
@door_option
@click.argument("file", type=click.Path(exists=True))
def set_config(doors: str, file: str) -> None:
    """Publish FILE as the next version for all dispatchers. Exit code 2 if it is not valid."""
    text = Path(file).read_bytes()
    error = find_config_error(text)
    if error:
        click.echo(f"eiderpin: {file}: {error}", err=True)
        sys.exit(2)
    with store_client(doors) as client:
        click.echo(f"version {publish_config(client, text)}")


@config.command()
@door_option
@click.option("--version", "number", type=int, help="Print this version instead.")
def show(doors: str, number: int | None) -> None:
    """Print the configuration and, on standard error, which version each dispatcher has in force."""
    with store_client(doors) as client:
        if number is not None:
            sys.stdout.buffer.write(read_config_version(client, number))
            return
        current_number, text, _ = read_current_config(client)
        fleet_view = load_fleet_view()
        members = fleet_view.list_documents(client, LIVE_MEMBERS)
        observers = fleet_view.live_observers(fleet_view.list_documents(client, OBSERVERS), OBSERVERS)
        view = fleet_view.config_view(
            current_number, members, observers, fleet_view.list_documents(client, IN_FORCE)
        )
    sys.stdout.buffer.write(text)
    sys.stdout.flush()
    click.echo(f"version {current_number}" if current_number else "no configuration is shared", err=True)
    for document in members:
        config = json.loads(document.value)["config"]
        click.echo(f"{document.name.removeprefix(LIVE_MEMBERS)}: {config or 'none taken'}", err=True)
    if observers:
        _print_rollout(view)


def _print_rollout(view: ConfigView) -> None:
    """Print at how many dispatchers the version is in force, and those that lack it."""
    line = f"in force at {view.in_force} of {view.dispatchers} dispatchers"
    if view.everywhere_ms is not None:
        line += f", everywhere after {view.everywhere_ms / 1000:.1f} s"
        line += f", last at {view.slowest}" if view.slowest else ""
    click.echo(line, err=True)
    for lagging in view.lagging:
        click.echo(f"  {load_fleet_view().lagging_line(lagging)}", err=True)


@config.command()
@door_option
@click.argument("one", type=int)
@click.argument("other", type=int, required=False)
def diff(doors: str, one: int, other: int | None) -> None:
    """Show the changes from version ONE to version OTHER, or to the current one. Exit code 1 if they
    differ."""
    with store_client(doors) as client:
        before = read_config_version(client, one)
        current_number, text, _ = read_current_config(client)
        after = read_config_version(client, other) if other is not None else text
    lines = list(
        difflib.unified_diff(
            before.decode().splitlines(), after.decode().splitlines(), f"version {one}",
            f"version {other if other is not None else current_number}", lineterm="",
        )
    )  # fmt: skip
    click.echo("\n".join(lines))
    sys.exit(1 if lines else 0)


@config.command()
@door_option
@click.argument("number", type=int, required=False)
def rollback(doors: str, number: int | None) -> None:
    """Publish the text of version NUMBER, or of the one before the current, as a new version."""
    with store_client(doors) as client:
        current_number, _, _ = read_current_config(client)
        restored = number if number is not None else current_number - 1
        if restored < 1:
            raise StoreRequestError("refused", "there is no earlier version")
        click.echo(
            f"version {publish_config(client, read_config_version(client, restored))}, "
            f"which is version {restored} again"
        )
