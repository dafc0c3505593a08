"""The configuration of a dispatcher: the platform's file, the environment, the file of optional features."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from eiderpin import interface as api
from eiderpin import wire
from eiderpin.net import list_document

if TYPE_CHECKING:
    from eiderpin.net.static_list import ListedWorkers
    from eiderpin.parts.durable import DurableOptions
    from eiderpin.parts.observer import FollowOptions
    from eiderpin.parts.store import StoreOptions

# Which optional features are on, with their settings; a path relative to the working directory.
OPTIONAL_FEATURES_FILE = "deploy/fronts.json"
# Connections of the HTTP front past those that wait for jobs: at most so many, and this share of all sockets.
MAX_EXTRA_CONNECTIONS, EXTRA_CONNECTIONS_SHARE = 48, 1 / 6
MIN_SOCKETS = 96  # fewer can't be divided among the kinds of connections
# Keys that each dispatcher reads from its own file, never from the shared configuration.
PER_DISPATCHER_KEYS = ("name", "listen", "management", "seed", "limits", "known")
# For standard streams, signals, listeners and two calls to discovery, with a few to spare.
RESERVED_DESCRIPTORS = 16
MAX_MANAGEMENT_CALLERS = 12  # connections to the management API at once; their descriptors are reserved
MAX_AGENT_CHECK_CALLERS = 16  # agent-check connections of load balancers open at once


class ConfigError(ValueError):
    """The configuration can't be used; the message is one line."""


@dataclass(slots=True)
class Config:
    """What a dispatcher runs by; addresses are pairs of host and port."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None: `workers` is the only source of workers
    seed: int
    sockets: int
    memory_mb: float
    known: Any
    settings: api.Settings
    gearman: tuple[str, int] | None = None  # None: off
    agent_check: tuple[str, int] | None = None  # None: off
    management: tuple[str, int] | None = None  # of the management API; None: off
    durable: DurableOptions | None = None  # jobs that outlive the process; None: off
    store: StoreOptions | None = None  # this process is a member of the replicated store; None: it is not
    follow: FollowOptions | None = None  # this process is an observer of the store; None: it is not
    workers: ListedWorkers | None = None  # workers listed in the configuration itself
    inherited: int | None = None  # descriptor of the inherited listening socket; None: `listen` is bound


SHARED_FIELDS = ("discovery", "workers", "settings")  # that the shared configuration may set


def allocate_descriptors(config: Config, used_by_predecessor: int = 0) -> tuple[int, int, int]:
    """Divide the descriptors, less those `used_by_predecessor`, among the kinds of connections.

    Returns the limits for connections to workers, for each front (in the HTTP front: connections that wait
    for jobs), and for further connections of the HTTP front.
    """
    reserved = RESERVED_DESCRIPTORS
    reserved += MAX_AGENT_CHECK_CALLERS if config.agent_check is not None else 0
    reserved += MAX_MANAGEMENT_CALLERS if config.management is not None else 0
    if config.inherited is not None and not used_by_predecessor:
        reserved += RESERVED_DESCRIPTORS + MAX_MANAGEMENT_CALLERS  # so that a successor can start
    sockets = config.sockets - used_by_predecessor
    extra_connections = min(MAX_EXTRA_CONNECTIONS, max(8, int(EXTRA_CONNECTIONS_SHARE * sockets)))
    # A worker has a few slots, so connections to workers need few descriptors, but must never run out: a
    # quarter is reserved for them, and each front is limited to its share of the rest.
    shareable = max(16, sockets - reserved - extra_connections)
    workers = max(shareable // 4, min(24, shareable // 2))
    return workers, (shareable - workers) // (1 if config.gearman is None else 2), extra_connections


def read_optional_features(config: Config, text: bytes) -> None:
    """Add the optional features of the JSON in `text` to `config`; a front without `listen` stays off.

    Raises `ConfigError`.
    """
    try:
        document: Any = orjson.loads(text)
        for name in document:
            if name == "durable":
                from eiderpin.parts import durable as durable_options  # imported only where it is on

                config.durable = durable_options.read_options(
                    document[name], [request_class.name for request_class in config.settings.classes]
                )
                continue
            if name == "store" and isinstance(document[name], dict) and "follow" in document[name]:
                from eiderpin.parts import observer as follow_options

                config.follow = follow_options.read_options(document[name], config.name)
                continue
            if name == "store":
                from eiderpin.parts import store as store_options

                run_once_classes = [
                    request_class.name
                    for request_class in config.settings.classes
                    if request_class.repeat is not api.Repeat.FREE
                ]
                config.store = store_options.read_options(document[name], config.name, run_once_classes)
                continue
            if name not in ("gearman", "agent_check"):
                raise ConfigError(f"there is no optional feature {name!r}")
            listen = document[name].get("listen")
            setattr(config, name, _parse_listen_address(listen) if listen else None)
        if config.durable is not None and config.store is not None and config.store.outcomes:
            raise ConfigError(
                "store.outcomes and durable exclude each other: only one of them may keep a job"
            )
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"fronts: {error}".replace("\n", " ")) from None


def load(path: str | None, features_path: str | None = None) -> Config:
    """Load the configuration from the file `path`, and apply the environment and the optional features.

    The optional features come from the file `features_path`; empty means none. Where it is None they come
    from the file that EIDERPIN_FRONTS names, or from `OPTIONAL_FEATURES_FILE`, if that exists.

    Raises `ConfigError` and `OSError`.
    """
    if not path:
        raise ConfigError(
            "no configuration: name a file, JSON or TOML, by GW_CONFIG or by `eiderpin run --config FILE` "
            "(deploy/example.toml explains each setting; `eiderpin try` needs none)"
        )
    with open(path, "rb") as file:
        own_document = parse_document(file.read(), toml=path.endswith(".toml"))
    config = read_document(own_document)
    apply_environment(config)
    optional_path = (
        os.environ.get("EIDERPIN_FRONTS", OPTIONAL_FEATURES_FILE) if features_path is None else features_path
    )
    if features_path or (optional_path and os.path.exists(optional_path)):
        with open(optional_path, "rb") as file:
            read_optional_features(config, file.read())
    return config if config.store is None else apply_last_shared(config, own_document)


def last_shared_path(config: Config) -> str:
    """The file that keeps the last shared configuration in force, for the next start."""
    assert config.store is not None
    return os.path.join(config.store.folder, "shared-configuration")


def replace_file(path: str, data: bytes) -> None:
    """Replace a file atomically: after a crash it holds either the old or the new data. Raises `OSError`."""
    with open(f"{path}.new", "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(f"{path}.new", path)


def apply_last_shared(config: Config, own_document: Any) -> Config:
    """Apply the shared configuration that was last in force, as kept by `last_shared_path`. A file that is
    missing or invalid is ignored."""
    try:
        with open(last_shared_path(config), "rb") as file:
            new = read_shared_config(own_document, file.read())
    except (OSError, ConfigError):
        return config
    for name in SHARED_FIELDS:
        setattr(config, name, getattr(new, name))
    return config


def parse_document(text: bytes, toml: bool = False) -> Any:
    """Parse JSON, or TOML of the same structure, without validation. Raises `ConfigError`."""
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
    """Parse and validate a configuration. Raises `ConfigError`."""
    return read_document(parse_document(text, toml))


def read_shared_config(own_document: Any, text: bytes) -> Config:
    """Read the shared configuration for the dispatcher whose own file holds `own_document`, which still sets
    `PER_DISPATCHER_KEYS`, and the source of workers where `text` sets none. Raises `ConfigError`."""
    shared = parse_document(text, toml=not text.lstrip().startswith(b"{"))
    if not isinstance(shared, dict):
        raise ConfigError("the configuration must be an object")
    for name in PER_DISPATCHER_KEYS:
        shared.pop(name, None)
        if name in own_document:
            shared[name] = own_document[name]
    if "discovery" not in shared and "workers" not in shared:
        shared |= {name: own_document[name] for name in ("discovery", "workers") if name in own_document}
    return read_document(shared)


def read_document(document: Any) -> Config:
    """Validate a parsed configuration. Raises `ConfigError`."""
    if not isinstance(document, dict):
        raise ConfigError("the configuration must be an object")
    try:
        settings, _ = wire.decode_settings(document.get("settings"))
        workers: ListedWorkers | None = None
        if "workers" in document:
            from eiderpin.net.static_list import read_workers

            workers = read_workers(document["workers"], [c.name for c in settings.classes])
        discovery_address = None
        if document.get("discovery") or workers is None:
            discovery_address = list_document.parse_address(document.get("discovery"))
        listen = _parse_listen_address(document.get("listen"))
        management_text = document.get("management")
        management = _parse_listen_address(management_text) if management_text else None
        seed = int(str(document.get("seed") or "0"), 16)
        limits = document.get("limits") or {}
        sockets = int(limits.get("sockets") or 1024)
        memory_mb = float(limits.get("memory_mb") or 128)
        known = document.get("known")
        if known:
            list_document.read_list(known)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{error}".replace("\n", " ")) from None
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: {sockets} are too few")
    if not memory_mb >= 16:
        raise ConfigError(f"limits.memory_mb: {memory_mb} is too little")
    name = str(document.get("name") or "eiderpin")
    return Config(
        name,
        listen,
        discovery_address,
        seed,
        sockets,
        memory_mb,
        known,
        settings,
        management=management,
        workers=workers,
    )


def apply_environment(config: Config) -> None:
    """Apply GW_MANAGEMENT and GW_FD, which take precedence over the file, so that each process can have a
    management address of its own. Raises `ConfigError`."""
    management, descriptor = os.environ.get("GW_MANAGEMENT"), os.environ.get("GW_FD")
    try:
        config.management = _parse_listen_address(management) if management else config.management
    except ValueError as error:
        raise ConfigError(f"GW_MANAGEMENT: {error}") from None
    if descriptor:
        try:
            config.inherited = int(descriptor)
            with socket.socket(fileno=os.dup(config.inherited)) as sock:
                listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except (ValueError, OSError, OverflowError) as error:
            raise ConfigError(f"GW_FD: {error}") from None
        if not listens:
            raise ConfigError(f"GW_FD: descriptor {descriptor} does not listen")


def _parse_listen_address(text: Any) -> tuple[str, int]:
    """Like `list_document.parse_address`, but accepts port 0, for which the system chooses a port."""
    host, _, port = str(text).rpartition(":")
    return (host, 0) if port == "0" and host else list_document.parse_address(text)
