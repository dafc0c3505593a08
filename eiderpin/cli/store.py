"""`eiderpin store`: commands for the replicated store, through the management address of any member."""

from __future__ import annotations

import base64
import json
import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from importlib import import_module
from pathlib import Path
from types import ModuleType
from typing import Any, TypeVar

import click

from eiderpin.store.client import StoreClient, StoreRequestError

Command = TypeVar("Command", bound=Callable[..., Any])
# The exit code for each kind of error that `StoreClient` raises.
EXIT_CODES = {"absent": 1, "differs": 1, "compacted": 1, "bad": 2, "no-leader": 3, "unknown": 4,
              "refused": 5, "unreachable": 6}  # fmt: skip


@contextmanager
def store_client(doors: str, timeout_s: float = 10.0) -> Iterator[StoreClient]:
    """Provide a client of the store, and end its session once the body has succeeded.

    If the store reports an error, the command ends with one line on standard error and the exit code for
    that kind of error.

    Args:
        doors: Management addresses of members, HOST:PORT, separated by commas.
        timeout_s: How long one call may take, including its retries at other members.
    """
    client = StoreClient([address.strip() for address in doors.split(",") if address.strip()], timeout_s)
    if not client.addresses:
        raise click.UsageError("no management address: give --door HOST:PORT or set EIDERPIN_DOOR")
    try:
        yield client
        client.close()
    except StoreRequestError as error:
        click.echo(f"eiderpin: {error}", err=True)
        sys.exit(EXIT_CODES[error.kind])


def load_fleet_view() -> ModuleType:
    """Import the module that summarizes all dispatchers. It needs packages that are optional, for the
    documents that it reads; raises `click.ClickException` if one is not installed."""
    try:
        return import_module("eiderpin.store.fleet_view")
    except ModuleNotFoundError as error:
        text = f"{error.name} is not installed: pip install 'eiderpin[durable]'"
        raise click.ClickException(text) from None


def door_option(command: Command) -> Command:
    """Add the option `--door` to a command, which receives it as `doors`."""
    return click.option(
        "--door", "doors", envvar=["EIDERPIN_DOOR", "GW_MANAGEMENT"], default="", metavar="HOST:PORT[,...]",
        help="Management addresses of members, tried in turn until one answers. [EIDERPIN_DOOR]",
    )(command)  # fmt: skip


@click.group()
def store() -> None:
    """The replicated store. Exit codes: 0 success; 1 the document does not exist or is at another revision,
    or the changes asked for are no longer kept; 2 invalid call; 3 no leader, nothing was changed; 4 unknown
    whether the change was made; 5 refused; 6 no member answered."""


@store.command()
@door_option
@click.option("--json", "as_json", is_flag=True)
def status(doors: str, as_json: bool) -> None:
    """Show the state of the member, or of the observer, at the management address."""
    with store_client(doors) as client:
        status = client.ask("status")
    if as_json:
        click.echo(json.dumps(status, indent=1))
        return
    if "observer" in status:
        for name, value in status["observer"].items():
            click.echo(f"{name:10} {value or '-'}")
        return
    for name in ("name", "cluster", "generation", "disk", "role", "leader", "term", "revision", "documents",
                 "bytes", "last", "commit", "applied", "snapshot"):  # fmt: skip
        click.echo(f"{name:10} {status[name] or '-'}")
    for name in ("disk_fails", "cut_off", "removed"):
        if status[name]:
            click.echo(f"{name:10} yes")
    if status["waits_for"]:
        click.echo(f"{'waits for':10} {', '.join(status['waits_for'])}")
    _print_members(status)


def _print_members(status: dict[str, Any]) -> None:
    """Print one line for each member: voters first, then learners and standbys."""
    for kind in ("voters", "learners"):
        for name, address in sorted(status[kind].items()):
            peer = status.get("peers", {}).get(name)
            progress = f"  has up to {peer['match']}, {peer['mode']}" if peer else ""
            leads = "  leads" if status.get("leader") == name else ""
            role = "standby" if name in status.get("standbys", ()) else kind[:-1]
            click.echo(f"{role:10} {name:16} {address or '-'}{leads}{progress}")


@store.command()
@door_option
def members(doors: str) -> None:
    """List the members of the store."""
    with store_client(doors) as client:
        status = client.ask("status")
        if "observer" in status:
            raise StoreRequestError(
                "no-leader", "this dispatcher is no member of the store: use a member's management address"
            )
        _print_members(status)


@store.command()
@door_option
@click.argument("name")
@click.option("--stale", is_flag=True, help="Read the member's own copy, without asking the leader.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print the document with its revision, the value in base64."
)
def get(doors: str, name: str, stale: bool, as_json: bool) -> None:
    """Print a document's value."""
    with store_client(doors) as client:
        value, document = client.get(name, stale)
    if as_json:
        click.echo(json.dumps(document))
    else:
        sys.stdout.buffer.write(value)


@store.command("list")
@door_option
@click.argument("prefix", default="")
def list_documents(doors: str, prefix: str) -> None:
    """List the documents whose names begin with PREFIX, with their revisions and sizes in bytes."""
    with store_client(doors) as client:
        after, more = "", True
        while more:
            page = client.ask("range", prefix=prefix, after=after, most=1000)
            for row in page["documents"]:
                click.echo(f"{row['revision']:>10} {_decoded_size(row['value']):>8} {row['name']}")
            more = page["more"]
            after = page["documents"][-1]["name"] if page["documents"] else ""


def _decoded_size(encoded: str) -> int:
    """Return the number of bytes that a base64 text stands for."""
    return len(base64.b64decode(encoded))


def _read_value(value: str | None, file: str | None) -> bytes:
    """Return the value given as an argument or in a file (`-`: standard input). Raises `click.UsageError`
    unless exactly one of them is given, and `OSError`."""
    if (value is None) is (file is None):
        raise click.UsageError("either VALUE or --file FILE is needed, not both")
    if file is not None:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    return (value or "").encode()


@store.command()
@door_option
@click.argument("name")
@click.argument("value", required=False)
@click.option("--file", help="Read the value from this file; - is standard input.")
@click.option("--lease", default=0, help="Delete the document when this lease ends.")
def put(doors: str, name: str, value: str | None, file: str | None, lease: int) -> None:
    """Write a document, and print the store's new revision. It is written once, even if the call had to be
    repeated."""
    with store_client(doors) as client:
        click.echo(client.put(name, _read_value(value, file), None, lease)["revision"])


@store.command()
@door_option
@click.argument("name")
@click.argument("revision", type=int)
@click.argument("value", required=False)
@click.option("--file", help="Read the value from this file; - is standard input.")
def cas(doors: str, name: str, revision: int, value: str | None, file: str | None) -> None:
    """Write a document if it is at REVISION (0: if it does not exist); exit code 1 if it is not."""
    with store_client(doors) as client:
        click.echo(client.put(name, _read_value(value, file), revision)["revision"])


@store.command()
@door_option
@click.argument("names", nargs=-1, required=True)
def delete(doors: str, names: tuple[str, ...]) -> None:
    """Delete documents, all in one transaction."""
    with store_client(doors) as client:
        click.echo(client.change("txn", deletes=list(names))["revision"])


@store.command()
@door_option
@click.argument("prefix", default="")
@click.option("--after", type=int, help="Begin with the changes after this revision.")
@click.option("--most", type=int, help="Exit after this many changes.")
def watch(doors: str, prefix: str, after: int | None, most: int | None) -> None:
    """Print each change as a line of JSON, until interrupted."""
    with store_client(doors) as client:
        for count, event in enumerate(client.watch(prefix, after), 1):
            click.echo(json.dumps(event))
            sys.stdout.flush()
            if count == most:
                return


@store.command()
@door_option
@click.argument("name")
def history(doors: str, name: str) -> None:
    """List the changes of a document that the store still keeps."""
    with store_client(doors) as client:
        reply = client.ask("history", name=name)
        for event in reply["events"]:
            size = "deleted" if event["value"] is None else f"{_decoded_size(event['value'])} bytes"
            click.echo(f"{event['revision']:>10} {size}")
        click.echo(f"changes before revision {reply['oldest']} are forgotten", err=True)


@store.command()
@door_option
@click.argument("name")
@click.argument("address")
@click.option("--within", default=30.0, help="How long to wait until it votes, in seconds.")
@click.option("--standby", is_flag=True, help="Add it as a standby, which has no vote until it is promoted.")
def add(doors: str, name: str, address: str, within: float, standby: bool) -> None:
    """Add a member, which votes once it has caught up. Start it with `join` set."""
    with store_client(doors, within) as client:
        op = "add-standby" if standby else "add"
        _print_members(client.ask(op, within, name=name, address=address))


@store.command()
@door_option
@click.argument("name")
@click.option("--within", default=30.0, help="How long to wait until it votes, in seconds.")
def promote(doors: str, name: str, within: float) -> None:
    """Make a standby a voter, once it has caught up, to replace a voter that is permanently lost."""
    with store_client(doors, within) as client:
        _print_members(client.ask("promote", within, name=name))


@store.command()
@door_option
@click.argument("name")
def remove(doors: str, name: str) -> None:
    """Remove a member, whether or not it is running."""
    with store_client(doors) as client:
        _print_members(client.ask("remove", name=name))


@store.command()
@door_option
@click.argument("name")
def transfer(doors: str, name: str) -> None:
    """Transfer leadership to this member."""
    with store_client(doors) as client:
        client.ask("transfer", name=name)


@store.command()
@door_option
@click.argument("file", type=click.Path())
def snapshot(doors: str, file: str) -> None:
    """Save all documents to FILE, which is replaced only once the snapshot is complete."""
    from eiderpin.store import backup

    with store_client(doors) as client:
        image = client.snapshot()
    backup.save(file, image, client.generation)
    click.echo(f"{len(image)} bytes")


@store.command()
@click.argument("file", type=click.Path(exists=True))
@click.argument("directory", type=click.Path())
@click.option("--name", required=True, help="The name of the member that gets the directory.")
@click.option("--cluster", required=True, help="The new cluster's name; the old one may be used again.")
@click.option(
    "--member", "rows", multiple=True, metavar="NAME=HOST:PORT", help="One for each initial member."
)
def restore(file: str, directory: str, name: str, cluster: str, rows: tuple[str, ...]) -> None:
    """Create a member's DIRECTORY for a new cluster that starts with the documents of FILE. Run it once for
    each initial member. FILE is a snapshot or, if a majority of the old cluster is lost, the directory of a
    member that has stopped. The new cluster has the next generation, and rejects members of the old one."""
    from eiderpin.store import backup

    try:
        backup.restore(file, directory, name, cluster, dict(row.split("=", 1) for row in rows) or {name: ""})
    except (OSError, ValueError) as error:
        click.echo(f"eiderpin: {error}", err=True)
        sys.exit(5)
    click.echo(f"{os.path.abspath(directory)} is that of {name} of {cluster}")
