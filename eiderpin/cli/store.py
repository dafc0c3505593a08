"""`eiderpin store`: the replicated store, through the operators' door of any member."""

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

F = TypeVar("F", bound=Callable[..., Any])
CODES = {"absent": 1, "differs": 1, "compacted": 1, "bad": 2, "no-leader": 3, "unknown": 4, "refused": 5,
         "unreachable": 6}  # fmt: skip


@contextmanager
def store_client(doors: str, within: float = 10.0) -> Iterator[StoreClient]:
    """Ends the command with one line and a code where the store says no."""
    store = StoreClient([d.strip() for d in doors.split(",") if d.strip()], within)
    if not store.addresses:
        raise click.UsageError("which door? --door HOST:PORT, or EIDERPIN_DOOR")
    try:
        yield store
        store.close()
    except StoreRequestError as error:
        click.echo(f"eiderpin: {error}", err=True)
        sys.exit(CODES[error.kind])


def fleet_view() -> ModuleType:
    """What shows all dispatchers; it reads documents whose format needs a package of its own."""
    try:
        return import_module("eiderpin.store.fleet_view")
    except ModuleNotFoundError as error:
        text = f"{error.name} is not installed: pip install 'eiderpin[durable]'"
        raise click.ClickException(text) from None


def door(command: F) -> F:
    return click.option(
        "--door", "doors", envvar=["EIDERPIN_DOOR", "GW_MANAGEMENT"], default="", metavar="HOST:PORT[,...]",
        help="Operators' doors of members; the next is asked where one does not answer. [EIDERPIN_DOOR]",
    )(command)  # fmt: skip


@click.group()
def store() -> None:
    """The replicated store. Exit codes: 0 done; 1 absent, or not at the revision named; 2 a wrong call; 3 no
    leader, nothing changed; 4 nobody knows whether it was done; 5 refused; 6 no member answers."""


@store.command()
@door
@click.option("--json", "as_json", is_flag=True)
def status(doors: str, as_json: bool) -> None:
    """How the member behind the door stands, or the dispatcher that only follows the store."""
    with store_client(doors) as s:
        said = s.ask("status")
    if as_json:
        click.echo(json.dumps(said, indent=1))
        return
    if "observer" in said:
        for name, value in said["observer"].items():
            click.echo(f"{name:10} {value or '-'}")
        return
    for name in ("name", "cluster", "generation", "disk", "role", "leader", "term", "revision", "documents",
                 "bytes", "last", "commit", "applied", "snapshot"):  # fmt: skip
        click.echo(f"{name:10} {said[name] or '-'}")
    for name in ("disk_fails", "cut_off", "removed"):
        if said[name]:
            click.echo(f"{name:10} yes")
    if said["waits_for"]:
        click.echo(f"{'waits for':10} {', '.join(said['waits_for'])}")
    _members(said)


def _members(said: dict[str, Any]) -> None:
    for kind in ("voters", "learners"):
        for name, at in sorted(said[kind].items()):
            peer = said.get("peers", {}).get(name)
            more = f"  has up to {peer['match']}, {peer['mode']}" if peer else ""
            lead = "  leads" if said.get("leader") == name else ""
            role = "standby" if name in said.get("standbys", ()) else kind[:-1]
            click.echo(f"{role:10} {name:16} {at or '-'}{lead}{more}")


@store.command()
@door
def members(doors: str) -> None:
    """Who the members are."""
    with store_client(doors) as s:
        said = s.ask("status")
        if "observer" in said:
            raise StoreRequestError(
                "no-leader", "this dispatcher is no member of the store: ask at a member's door"
            )
        _members(said)


@store.command()
@door
@click.argument("name")
@click.option("--stale", is_flag=True, help="As the member has it, without asking the leader.")
@click.option("--json", "as_json", is_flag=True, help="With its revision; the value in base64.")
def get(doors: str, name: str, stale: bool, as_json: bool) -> None:
    """A document's value."""
    with store_client(doors) as s:
        value, said = s.get(name, stale)
    if as_json:
        click.echo(json.dumps(said))
    else:
        sys.stdout.buffer.write(value)


@store.command("list")
@door
@click.argument("prefix", default="")
def list_(doors: str, prefix: str) -> None:
    """Names that begin so, with revisions and sizes."""
    with store_client(doors) as s:
        after, more = "", True
        while more:
            said = s.ask("range", prefix=prefix, after=after, most=1000)
            for row in said["documents"]:
                click.echo(f"{row['revision']:>10} {_size(row['value']):>8} {row['name']}")
            more = said["more"]
            after = said["documents"][-1]["name"] if said["documents"] else ""


def _size(coded: str) -> int:
    return len(base64.b64decode(coded))


def _value(value: str | None, file: str | None) -> bytes:
    if (value is None) is (file is None):
        raise click.UsageError("a VALUE or --file FILE is needed, and not both")
    if file is not None:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    return (value or "").encode()


@store.command()
@door
@click.argument("name")
@click.argument("value", required=False)
@click.option("--file", help="Take the value from here; - is standard input.")
@click.option("--lease", default=0, help="Goes when this lease ends.")
def put(doors: str, name: str, value: str | None, file: str | None, lease: int) -> None:
    """Put a document; once, however often it has to be asked for."""
    with store_client(doors) as s:
        click.echo(s.put(name, _value(value, file), None, lease)["revision"])


@store.command()
@door
@click.argument("name")
@click.argument("revision", type=int)
@click.argument("value", required=False)
@click.option("--file", help="Take the value from here; - is standard input.")
def cas(doors: str, name: str, revision: int, value: str | None, file: str | None) -> None:
    """Put a document if it is at REVISION (0: if there is none); else exit code 1."""
    with store_client(doors) as s:
        click.echo(s.put(name, _value(value, file), revision)["revision"])


@store.command()
@door
@click.argument("names", nargs=-1, required=True)
def delete(doors: str, names: tuple[str, ...]) -> None:
    """Delete documents, all at once."""
    with store_client(doors) as s:
        click.echo(s.change("txn", deletes=list(names))["revision"])


@store.command()
@door
@click.argument("prefix", default="")
@click.option("--after", type=int, help="Begin with what changed after this revision.")
@click.option("--most", type=int, help="End after so many changes.")
def watch(doors: str, prefix: str, after: int | None, most: int | None) -> None:
    """A line of JSON for each change, for ever."""
    with store_client(doors) as s:
        for count, event in enumerate(s.watch(prefix, after), 1):
            click.echo(json.dumps(event))
            sys.stdout.flush()
            if count == most:
                return


@store.command()
@door
@click.argument("name")
def history(doors: str, name: str) -> None:
    """A document's changes that are still remembered."""
    with store_client(doors) as s:
        said = s.ask("history", name=name)
        for event in said["events"]:
            size = "deleted" if event["value"] is None else f"{_size(event['value'])} bytes"
            click.echo(f"{event['revision']:>10} {size}")
        click.echo(f"changes before revision {said['oldest']} are forgotten", err=True)


@store.command()
@door
@click.argument("name")
@click.argument("address")
@click.option("--within", default=30.0, help="s to wait until it votes.")
@click.option("--standby", is_flag=True, help="No vote until it is promoted.")
def add(doors: str, name: str, address: str, within: float, standby: bool) -> None:
    """Add a member; it votes once it has caught up. Start it with `join` set."""
    with store_client(doors, within) as s:
        what = "add-standby" if standby else "add"
        _members(s.ask(what, within, name=name, address=address))


@store.command()
@door
@click.argument("name")
@click.option("--within", default=30.0, help="s to wait until it votes.")
def promote(doors: str, name: str, within: float) -> None:
    """Make a standby a voter, once it has caught up: in place of a voter that is lost for good."""
    with store_client(doors, within) as s:
        _members(s.ask("promote", within, name=name))


@store.command()
@door
@click.argument("name")
def remove(doors: str, name: str) -> None:
    """Remove a member, dead or alive."""
    with store_client(doors) as s:
        _members(s.ask("remove", name=name))


@store.command()
@door
@click.argument("name")
def transfer(doors: str, name: str) -> None:
    """Have this member lead."""
    with store_client(doors) as s:
        s.ask("transfer", name=name)


@store.command()
@door
@click.argument("file", type=click.Path())
def snapshot(doors: str, file: str) -> None:
    """Save all of it to FILE, which is whole or not there."""
    from eiderpin.store import backup

    with store_client(doors) as s:
        image = s.snapshot()
    backup.save(file, image, s.generation)
    click.echo(f"{len(image)} bytes")


@store.command()
@click.argument("file", type=click.Path(exists=True))
@click.argument("directory", type=click.Path())
@click.option("--name", required=True, help="The member that the directory is for.")
@click.option("--cluster", required=True, help="The new cluster's name; it may be the old one's.")
@click.option("--member", "rows", multiple=True, metavar="NAME=HOST:PORT", help="Each first member of it.")
def restore(file: str, directory: str, name: str, cluster: str, rows: tuple[str, ...]) -> None:
    """Make DIRECTORY that of a member of a new cluster that begins with FILE; once for each of its
    members. FILE is a snapshot, or the directory of a member that has ended, where a majority is lost. The
    new cluster is of the next generation: members of the old one are refused."""
    from eiderpin.store import backup

    try:
        backup.restore(file, directory, name, cluster, dict(r.split("=", 1) for r in rows) or {name: ""})
    except (OSError, ValueError) as error:
        click.echo(f"eiderpin: {error}", err=True)
        sys.exit(5)
    click.echo(f"{os.path.abspath(directory)} is that of {name} of {cluster}")
