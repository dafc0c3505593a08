"""What operators are shown of all dispatchers: who is live, and what they have in force. Pure."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field

import msgspec
import orjson

from eiderpin.store import in_force, presence
from eiderpin.store.client import StoreClient
from eiderpin.store.in_force import Lagging
from eiderpin.store.observer_protocol import ConfigOutcome
from eiderpin.store.presence import FoldedPresence, LiveObserver
from eiderpin.store.state import Document


@dataclass(slots=True)
class ConfigView:
    """How far a version of the shared configuration has come.

    Attributes:
        dispatchers: How many are live, members and observers.
        in_force: How many of them have the version in force.
        everywhere_ms: How long the last observer took; None while one lacks it, or there is none.
        slowest: That observer.
        lagging: Those that lack it, as far as they are named, longest first.
    """

    dispatchers: int = 0
    in_force: int = 0
    everywhere_ms: int | None = None
    slowest: str = ""
    lagging: list[Lagging] = field(default_factory=list)


def list_documents(store: StoreClient, prefix: str) -> list[Document]:
    """All documents whose names begin so. Raises `StoreRequestError`."""
    found: list[Document] = []
    while True:
        after = found[-1].name if found else ""
        said = store.ask("range", prefix=prefix, after=after, most=1000)
        for row in said["documents"]:
            value = base64.b64decode(row["value"])
            found.append(Document(row["name"], value, row["revision"], row["created"], row["lease"]))
        if not said["more"]:
            return found


def live_observers(documents: list[Document], prefix: str) -> dict[str, LiveObserver]:
    """The observers that members announce, by name; a document that cannot be read counts for none."""
    folded = FoldedPresence()
    for document in documents:
        try:
            entries = presence.read(document.value)
        except msgspec.MsgspecError:
            continue
        folded.take(document.name.removeprefix(prefix), entries, document.revision)
    return dict(sorted(folded.observers.items()))


def config_view(
    version: int, members: list[Document], observers: dict[str, LiveObserver], summaries: list[Document]
) -> ConfigView:
    """Add up what members say of themselves and of their observers.

    Args:
        version: The one that holds.
        members: The documents of dispatchers that are members.
        observers: See `live_observers`.
        summaries: The members' summaries of what their observers have in force.
    """
    view = ConfigView(len(members) + len(observers))
    for document in members:
        said = orjson.loads(document.value)
        if _has(str(said.get("config", "")), version):
            view.in_force += 1
        else:
            name = document.name.rpartition("/")[2]
            view.lagging.append(Lagging(name, 0, "", str(said.get("config", "")), 0))
    took: list[tuple[int, str]] = []
    for document in summaries:
        try:
            summary = in_force.read(document.value)
        except msgspec.MsgspecError:
            continue
        if summary.version != version or not summary.observers:
            continue
        view.in_force += summary.in_force
        view.lagging += summary.lagging
        took.append((summary.everywhere_ms, summary.slowest))
    if took and all(ms >= 0 for ms, _ in took) and view.in_force >= view.dispatchers:
        view.everywhere_ms, view.slowest = max(took)
    view.lagging.sort(key=lambda lagging: (-lagging.behind_ms, lagging.name))
    return view


def _has(config: str, version: int) -> bool:
    """Whether a member's text says that it has the version in force."""
    return config == f"version {version} taken" or (not version and not config)


def lagging_line(lagging: Lagging) -> str:
    """One dispatcher that lacks the version, for people."""
    if not lagging.outcome:
        return f"{lagging.name}: {lagging.detail or 'none taken'}"
    what = f"version {lagging.version}" if lagging.version else "none taken"
    if lagging.outcome not in (ConfigOutcome.IN_FORCE.value, ConfigOutcome.NONE.value):
        what += f", {lagging.outcome.replace('_', ' ')}: {lagging.detail}"
    return f"{lagging.name}: {what}, behind for {lagging.behind_ms / 1000:.1f} s"
