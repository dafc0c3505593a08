"""What a dispatcher is configured by: the platform's file, the environment, and our own file of further
parts."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from eiderpin import interface as api
from eiderpin import wire
from eiderpin.net import discovery

if TYPE_CHECKING:
    from eiderpin.net.static_list import ListedWorkers
    from eiderpin.parts.durable import DurableOptions
    from eiderpin.parts.observer import FollowOptions
    from eiderpin.parts.store import StoreOptions

FRONTS = "deploy/fronts.json"  # beside the program: which further fronts listen, and where
EXTRA, EXTRA_SHARE = 48, 1 / 6  # edge connections past those that wait for jobs: so many, or this share
FEW_SOCKETS = 96  # fewer cannot be shared out
EACH_ITS_OWN = ("name", "listen", "management", "seed", "limits", "known")  # never shared by dispatchers
OWN = 16  # descriptors for standard streams, signals, listeners, discovery and chance
DOOR_CALLERS = 12  # callers of the operators' door at once; their descriptors are kept back from all else
AGENT_CALLERS = 16  # balancers' agent-checks open at once


class ConfigError(ValueError):
    """The configuration cannot be used; the message is one plain line."""


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None: the workers are listed here alone
    seed: int
    sockets: int
    memory_mb: float
    known: Any
    settings: api.Settings
    gearman: tuple[str, int] | None = None  # None: off
    agent_check: tuple[str, int] | None = None
    management: tuple[str, int] | None = None  # the operators' door; None: off
    durable: DurableOptions | None = None  # jobs that outlive the process; None: off
    store: StoreOptions | None = None  # our member of the replicated store; None: off
    follow: FollowOptions | None = None  # the members whose observer we are; None: off
    workers: ListedWorkers | None = None  # that the configuration lists itself
    inherited: int | None = None  # the descriptor that clients' connections come by; None: we bind `listen`


SHARED = ("discovery", "workers", "settings")  # what dispatchers may share


def shares(config: Config, beside: int = 0) -> tuple[int, int, int]:
    """How many descriptors the workers' side, each front and the edge's further connections may use, while a
    predecessor still uses `beside` of them."""
    spare = OWN
    spare += AGENT_CALLERS if config.agent_check is not None else 0
    spare += DOOR_CALLERS if config.management is not None else 0
    if config.inherited is not None and not beside:
        spare += OWN + DOOR_CALLERS  # for a successor to start on
    sockets = config.sockets - beside
    extra = min(EXTRA, max(8, int(EXTRA_SHARE * sockets)))
    # A worker has a few slots, so its side needs few descriptors, but must never be without: a quarter is its
    # own, and each front is held to its share of the rest.
    room = max(16, sockets - spare - extra)
    workers = max(room // 4, min(24, room // 2))
    return workers, (room - workers) // (1 if config.gearman is None else 2), extra


def read_fronts(config: Config, text: bytes) -> None:
    """Take over where the further fronts listen; an empty or missing `listen` leaves one off."""
    try:
        said: Any = orjson.loads(text)
        for name in said:
            if name == "durable":
                from eiderpin.parts import durable as options  # what is off is not imported

                config.durable = options.read_options(said[name], [c.name for c in config.settings.classes])
                continue
            if name == "store" and isinstance(said[name], dict) and "follow" in said[name]:
                from eiderpin.parts import observer as follow_options

                config.follow = follow_options.read_options(said[name], config.name)
                continue
            if name == "store":
                from eiderpin.parts import store as store_options

                once = [c.name for c in config.settings.classes if c.repeat is not api.Repeat.FREE]
                config.store = store_options.read_options(said[name], config.name, once)
                continue
            if name not in ("gearman", "agent_check"):
                raise ConfigError(f"there is no front or part {name!r}")
            listen = said[name].get("listen")
            setattr(config, name, _address(listen) if listen else None)
        if config.durable is not None and config.store is not None and config.store.outcomes:
            raise ConfigError("store.outcomes and durable exclude each other: a job has one keeper")
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"fronts: {error}".replace("\n", " ")) from None


def load(path: str | None, parts: str | None = None) -> Config:
    """The configuration at `path`, with the further parts: those of `parts`, or of our own file where that is
    there (empty: none). Raises `ConfigError` and `OSError`."""
    if not path:
        raise ConfigError(
            "no configuration: name a file, JSON or TOML, by GW_CONFIG or by `eiderpin run --config FILE` "
            "(deploy/example.toml explains each setting; `eiderpin try` needs none)"
        )
    with open(path, "rb") as file:
        own = parse(file.read(), toml=path.endswith(".toml"))
    config = read_said(own)
    apply_environment(config)
    named = os.environ.get("EIDERPIN_FRONTS", FRONTS) if parts is None else parts
    if parts or (named and os.path.exists(named)):
        with open(named, "rb") as file:
            read_fronts(config, file.read())
    return config if config.store is None else with_last_shared(config, own)


def last_shared(config: Config) -> str:
    """Where the shared configuration that was taken last is kept, so that it is there at a start."""
    assert config.store is not None
    return os.path.join(config.store.folder, "shared-configuration")


def replace_file(path: str, data: bytes) -> None:
    """It is whole, on disk, or as it was. Raises `OSError`."""
    with open(f"{path}.new", "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(f"{path}.new", path)


def with_last_shared(config: Config, own: Any) -> Config:
    """What the store's configuration said last counts from the start on. One that can't be used is left."""
    try:
        with open(last_shared(config), "rb") as file:
            new = read_shared_config(own, file.read())
    except (OSError, ConfigError):
        return config
    for name in SHARED:
        setattr(config, name, getattr(new, name))
    return config


def parse(text: bytes, toml: bool = False) -> Any:
    """The platform's JSON, or the same in TOML, not yet checked. Raises `ConfigError`."""
    if toml:
        import tomllib

        try:
            return tomllib.loads(text.decode())
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise ConfigError(f"the configuration is not TOML: {error}".replace("\n", " ")) from None
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"the configuration is not JSON: {error}") from None


def read_config(text: bytes, toml: bool = False) -> Config:
    """Raises `ConfigError`."""
    return read_said(parse(text, toml))


def read_shared_config(own: Any, text: bytes) -> Config:
    """The configuration that dispatchers share, as it holds for the one whose own file says `own`: what is
    each one's own stays that file's. Raises `ConfigError`."""
    shared = parse(text, toml=not text.lstrip().startswith(b"{"))
    if not isinstance(shared, dict):
        raise ConfigError("the configuration must be an object")
    for name in EACH_ITS_OWN:
        shared.pop(name, None)
        if name in own:
            shared[name] = own[name]
    if "discovery" not in shared and "workers" not in shared:
        shared |= {name: own[name] for name in ("discovery", "workers") if name in own}
    return read_said(shared)


def read_said(said: Any) -> Config:
    if not isinstance(said, dict):
        raise ConfigError("the configuration must be an object")
    try:
        settings, _ = wire.decode_settings(said.get("settings"))
        workers: ListedWorkers | None = None
        if "workers" in said:
            from eiderpin.net.static_list import read_workers

            workers = read_workers(said["workers"], [c.name for c in settings.classes])
        where = None
        if said.get("discovery") or workers is None:
            where = discovery.parse_address(said.get("discovery"))
        listen = _address(said.get("listen"))
        door = said.get("management")
        management = _address(door) if door else None
        seed = int(str(said.get("seed") or "0"), 16)
        limits = said.get("limits") or {}
        sockets = int(limits.get("sockets") or 1024)
        memory_mb = float(limits.get("memory_mb") or 128)
        known = said.get("known")
        if known:
            discovery.read_list(known)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{error}".replace("\n", " ")) from None
    if sockets < FEW_SOCKETS:
        raise ConfigError(f"limits.sockets: {sockets} are too few")
    if not memory_mb >= 16:
        raise ConfigError(f"limits.memory_mb: {memory_mb} is too little")
    name = str(said.get("name") or "eiderpin")
    return Config(
        name, listen, where, seed, sockets, memory_mb, known, settings, management=management, workers=workers
    )


def apply_environment(config: Config) -> None:
    """What the environment names counts before the file: each process may have a door of its own there."""
    door, number = os.environ.get("GW_MANAGEMENT"), os.environ.get("GW_FD")
    try:
        config.management = _address(door) if door else config.management
    except ValueError as error:
        raise ConfigError(f"GW_MANAGEMENT: {error}") from None
    if number:
        try:
            config.inherited = int(number)
            with socket.socket(fileno=os.dup(config.inherited)) as sock:
                listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except (ValueError, OSError, OverflowError) as error:
            raise ConfigError(f"GW_FD: {error}") from None
        if not listens:
            raise ConfigError(f"GW_FD: descriptor {number} does not listen")


def _address(text: Any) -> tuple[str, int]:
    """As in discovery, but port 0 lets the system choose one."""
    host, _, port = str(text).rpartition(":")
    return (host, 0) if port == "0" and host else discovery.parse_address(text)
