"""The view of all dispatchers for operators: which are live, and what they have in force."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field

import msgspec
import orjson

from eiderpin.store import in_force, presence
from eiderpin.store.client import StoreClient
from eiderpin.store.in_force import Lagging
from eiderpin.store.observer_protocol import ConfigOutcome
from eiderpin.store.presence import LiveObserver, MergedPresence
from eiderpin.store.state import Document


@dataclass(slots=True)
class ConfigView:
    """The rollout of a version of the shared configuration.

    Attributes:
        dispatchers: How many dispatchers are live, members and observers.
        in_force: How many of them have the version in force.
        everywhere_ms: How long the slowest observer took; None while any lacks the version or there are no
            observers.
        slowest: The name of that observer.
        lagging: Dispatchers that lack the version, as far as summaries list them, longest first.
    """

    dispatchers: int = 0
    in_force: int = 0
    everywhere_ms: int | None = None
    slowest: str = ""
    lagging: list[Lagging] = field(default_factory=list)


def list_documents(store: StoreClient, prefix: str) -> list[Document]:
    """Return all documents whose names start with `prefix`. Raises `StoreRequestError`."""
    documents: list[Document] = []
    while True:
        after = documents[-1].name if documents else ""
        reply = store.ask("range", prefix=prefix, after=after, most=1000)
        for row in reply["documents"]:
            value = base64.b64decode(row["value"])
            documents.append(Document(row["name"], value, row["revision"], row["created"], row["lease"]))
        if not reply["more"]:
            return documents


def live_observers(documents: list[Document], prefix: str) -> dict[str, LiveObserver]:
    """Return the observers that members announce, by name. Documents that cannot be decoded are skipped."""
    merged = MergedPresence()
    for document in documents:
        try:
            entries = presence.read(document.value)
        except msgspec.MsgspecError:
            continue
        merged.set_entries(document.name.removeprefix(prefix), entries, document.revision)
    return dict(sorted(merged.observers.items()))


def config_view(
    version: int, members: list[Document], observers: dict[str, LiveObserver], summaries: list[Document]
) -> ConfigView:
    """Add up what members report about themselves and about their observers.

    Args:
        version: The current version; 0: there is none.
        members: The documents of dispatchers that are members.
        observers: See `live_observers`.
        summaries: The members' summaries of what their observers have in force.
    """
    view = ConfigView(len(members) + len(observers))
    for document in members:
        about = orjson.loads(document.value)
        if _has_in_force(str(about.get("config", "")), version):
            view.in_force += 1
        else:
            name = document.name.rpartition("/")[2]
            view.lagging.append(Lagging(name, 0, "", str(about.get("config", "")), 0))
    completions: list[tuple[int, str]] = []
    for document in summaries:
        try:
            summary = in_force.read(document.value)
        except msgspec.MsgspecError:
            continue
        if summary.version != version or not summary.observers:
            continue
        view.in_force += summary.in_force
        view.lagging += summary.lagging
        completions.append((summary.everywhere_ms, summary.slowest))
    if completions and all(ms >= 0 for ms, _ in completions) and view.in_force >= view.dispatchers:
        view.everywhere_ms, view.slowest = max(completions)
    view.lagging.sort(key=lambda lagging: (-lagging.behind_ms, lagging.name))
    return view


def _has_in_force(config: str, version: int) -> bool:
    """Whether a member's status text says that it has the version in force."""
    return config == f"version {version} taken" or (not version and not config)


def lagging_line(lagging: Lagging) -> str:
    """Describe a dispatcher that lacks the version, as a line for operators."""
    if not lagging.outcome:
        return f"{lagging.name}: {lagging.detail or 'none taken'}"
    status = f"version {lagging.version}" if lagging.version else "none taken"
    if lagging.outcome not in (ConfigOutcome.IN_FORCE.value, ConfigOutcome.NONE.value):
        status += f", {lagging.outcome.replace('_', ' ')}: {lagging.detail}"
    return f"{lagging.name}: {status}, behind for {lagging.behind_ms / 1000:.1f} s"
