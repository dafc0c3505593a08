"""What the configuration says of the store."""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

DEFAULT_MAX_OBSERVERS = 1_000  # that a member serves at once, unless it is told otherwise
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@dataclass(slots=True)
class StoreOptions:
    """`listen` None: a store of one, which talks to nobody."""

    folder: str
    name: str
    cluster: str = "eiderpin"
    listen: tuple[str, int] | None = None
    members: dict[str, str] = field(default_factory=dict)  # that a new cluster begins with
    outcomes: frozenset[str] = frozenset()  # classes whose outcomes are kept for other dispatchers
    keep_ms: float = 600_000.0  # ms for which they are
    join: bool = False  # an empty directory waits to be added, and begins no cluster
    observers: tuple[str, int] | None = None  # where observers are served; None: nowhere
    max_observers: int = DEFAULT_MAX_OBSERVERS


def read_options(said: Any, default_name: str, single_shot: Collection[str] = ()) -> StoreOptions | None:
    """The `store` part of a configuration; None where it names no directory. Raises `ValueError`."""
    if not isinstance(said, dict):
        raise ValueError("store: an object is needed")
    known = ("directory", "name", "cluster", "listen", "members", "join", "outcomes", "keep_s", "observers")
    for name in said:
        if name not in known:
            raise ValueError(f"store.{name}: there is no such setting; there are {', '.join(known)}")
    folder = said.get("directory") or ""
    if not isinstance(folder, str):
        raise ValueError(f"store.directory: {folder!r} is no path")
    if not folder:
        return None
    options = StoreOptions(folder, said.get("name") or default_name, said.get("cluster") or "eiderpin")
    for what, value in (("name", options.name), ("cluster", options.cluster)):
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            raise ValueError(f"store.{what}: {value!r}; up to 64 letters, digits and ._- are expected")
    if said.get("listen"):
        options.listen = parse_address(said["listen"], "store.listen")
    members = said.get("members") or {}
    if not isinstance(members, dict):
        raise ValueError("store.members: an object of names and addresses is needed")
    for name, at in members.items():
        if not NAME_PATTERN.fullmatch(name):
            raise ValueError(f"store.members: {name!r} is no name")
        parse_address(at, f"store.members.{name}")
    options.members, options.join = dict(members), said.get("join") is True
    if options.members and options.name not in options.members:
        raise ValueError(f"store.members: {options.name!r}, our own name, is not among them")
    options.outcomes = frozenset(said.get("outcomes") or ())
    for name in sorted(options.outcomes - set(single_shot)):
        raise ValueError(f"store.outcomes: {name!r} is no class that must not run twice")
    keep = said.get("keep_s", 600)
    if isinstance(keep, bool) or not isinstance(keep, int | float) or not 60 <= keep <= 80_000:
        raise ValueError(f"store.keep_s: {keep!r}; 60 to 80000 is expected")
    options.keep_ms = keep * 1000.0
    if options.listen is None and (options.join or len(options.members) > 1):
        raise ValueError("store.listen: an address is needed where there are other members")
    _read_observers(said.get("observers"), options)
    return options


def _read_observers(said: Any, options: StoreOptions) -> None:
    """Where, and how many, observers are served. Raises `ValueError`."""
    if not said:
        return
    if not isinstance(said, dict):
        raise ValueError("store.observers: an object is needed")
    for name in said:
        if name not in ("listen", "limit"):
            raise ValueError(f"store.observers.{name}: there is no such setting; there are listen, limit")
    options.observers = parse_address(said.get("listen"), "store.observers.listen")
    limit = said.get("limit", DEFAULT_MAX_OBSERVERS)
    if isinstance(limit, bool) or not isinstance(limit, int) or not 1 <= limit <= 10_000:
        raise ValueError(f"store.observers.limit: {limit!r}; 1 to 10000 is expected")
    options.max_observers = limit


def parse_address(text: Any, where: str) -> tuple[str, int]:
    """Raises `ValueError`."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ValueError(f"{where}: {text!r}; HOST:PORT is expected")
    return host, int(port)
