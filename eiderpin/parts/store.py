"""The options of a member of the replicated store."""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

DEFAULT_MAX_OBSERVERS = 1_000  # that a member serves at once
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@dataclass(slots=True)
class StoreOptions:
    """A member's place in the cluster, and what it does for other dispatchers."""

    folder: str
    name: str
    cluster: str = "eiderpin"
    listen: tuple[str, int] | None = None  # for the other members; None: it is the only member
    members: dict[str, str] = field(
        default_factory=dict
    )  # names and addresses of the members that found a new cluster
    outcomes: frozenset[str] = frozenset()  # classes whose jobs' outcomes are kept for all dispatchers
    keep_ms: float = 600_000.0  # outcomes are kept so long
    join: bool = False  # with an empty directory, wait to be added to a cluster instead of founding one
    observers: tuple[str, int] | None = None  # where it serves observers; None: it doesn't
    max_observers: int = DEFAULT_MAX_OBSERVERS


def read_options(
    section: Any, default_name: str, run_once_classes: Collection[str] = ()
) -> StoreOptions | None:
    """Read the section `store`; None where it names no directory. Raises `ValueError`.

    `run_once_classes` are the classes whose jobs must not run twice; only these may be in `outcomes`.
    """
    if not isinstance(section, dict):
        raise ValueError("store: an object is needed")
    keys = ("directory", "name", "cluster", "listen", "members", "join", "outcomes", "keep_s", "observers")
    for name in section:
        if name not in keys:
            raise ValueError(f"store.{name}: there is no such setting; there are {', '.join(keys)}")
    folder = section.get("directory") or ""
    if not isinstance(folder, str):
        raise ValueError(f"store.directory: {folder!r} is no path")
    if not folder:
        return None
    options = StoreOptions(folder, section.get("name") or default_name, section.get("cluster") or "eiderpin")
    for key, value in (("name", options.name), ("cluster", options.cluster)):
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            raise ValueError(f"store.{key}: {value!r}; up to 64 letters, digits and ._- are expected")
    if section.get("listen"):
        options.listen = parse_address(section["listen"], "store.listen")
    members = section.get("members") or {}
    if not isinstance(members, dict):
        raise ValueError("store.members: an object of names and addresses is needed")
    for name, member_address in members.items():
        if not NAME_PATTERN.fullmatch(name):
            raise ValueError(f"store.members: {name!r} is no name")
        parse_address(member_address, f"store.members.{name}")
    options.members, options.join = dict(members), section.get("join") is True
    if options.members and options.name not in options.members:
        raise ValueError(f"store.members: {options.name!r}, our own name, is not among them")
    options.outcomes = frozenset(section.get("outcomes") or ())
    for name in sorted(options.outcomes - set(run_once_classes)):
        raise ValueError(f"store.outcomes: {name!r} is not a class whose jobs must not run twice")
    keep = section.get("keep_s", 600)
    if isinstance(keep, bool) or not isinstance(keep, int | float) or not 60 <= keep <= 80_000:
        raise ValueError(f"store.keep_s: {keep!r}; 60 to 80000 is expected")
    options.keep_ms = keep * 1000.0
    if options.listen is None and (options.join or len(options.members) > 1):
        raise ValueError("store.listen: an address is needed where there are other members")
    _read_observers(section.get("observers"), options)
    return options


def _read_observers(section: Any, options: StoreOptions) -> None:
    """Read the section `store.observers` into `options`. Raises `ValueError`."""
    if not section:
        return
    if not isinstance(section, dict):
        raise ValueError("store.observers: an object is needed")
    for name in section:
        if name not in ("listen", "limit"):
            raise ValueError(f"store.observers.{name}: there is no such setting; there are listen, limit")
    options.observers = parse_address(section.get("listen"), "store.observers.listen")
    limit = section.get("limit", DEFAULT_MAX_OBSERVERS)
    if isinstance(limit, bool) or not isinstance(limit, int) or not 1 <= limit <= 10_000:
        raise ValueError(f"store.observers.limit: {limit!r}; 1 to 10000 is expected")
    options.max_observers = limit


def parse_address(text: Any, path: str) -> tuple[str, int]:
    """Parse HOST:PORT. Raises `ValueError`, in which `path` says where the address was found."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ValueError(f"{path}: {text!r}; HOST:PORT is expected")
    return host, int(port)
