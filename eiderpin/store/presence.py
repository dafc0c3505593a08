"""Presence of observers, announced by the members that serve them. No I/O; times in ms.

A member stores one document, `observers/MEMBER`, for all of its observers, under one lease. Every member and
dispatcher merges these documents to find which observers are live. An observer that changes to another
member is in both documents for a while; its token and session tell which entry counts.

Two processes with the same name have different tokens. The one that was announced by the later commit owns
the name. The other is fenced once it is certain that the later one is live, because a member may announce
a process that has just ended.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

OBSERVER_LEASE_MS = 6_000.0  # how long an observer without a connection stays announced


class ObserverEntry(msgspec.Struct, array_like=True, frozen=True):
    """One observer as its member announces it.

    Attributes:
        token: Drawn anew by each process, so that two with the same name can be told apart.
        session: Counts the subscriptions of this process.
        epoch: The revision of the commit that first announced this process; 0: the revision of this document.
        about: JSON for operators, as in `observer_protocol.Report`.
        connected: Whether the member is connected to it now; without a connection it stays for the lease.
    """

    name: str
    token: str
    session: int
    epoch: int = 0
    region: str = ""
    about: bytes = b""
    connected: bool = True


_ENTRIES_DECODER = msgspec.msgpack.Decoder(list[ObserverEntry])


def pack(entries: list[ObserverEntry]) -> bytes:
    """Serialize the entries as the value of a member's document."""
    return msgspec.msgpack.encode(entries)


def read(value: bytes) -> list[ObserverEntry]:
    """Deserialize the entries of a member's document.

    Raises:
        msgspec.MsgspecError: The value is not such a document.
    """
    return _ENTRIES_DECODER.decode(value)


@dataclass(slots=True, frozen=True)
class LiveObserver:
    """An observer as all members see it: its entry, the member that announces it, and its epoch, never 0."""

    member: str
    entry: ObserverEntry
    epoch: int

    @property
    def rank(self) -> tuple[int, int, str]:
        """Sort key: of two entries with the same name, the higher one counts."""
        return (self.epoch, self.entry.session, self.member)


class MergedPresence:
    """All members' documents, merged into one entry for each name."""

    def __init__(self) -> None:
        """Start without documents."""
        self._documents: dict[str, list[LiveObserver]] = {}
        self.observers: dict[str, LiveObserver] = {}

    def members(self) -> list[str]:
        """Return the members that have a document."""
        return list(self._documents)

    def set_entries(self, member: str, entries: list[ObserverEntry] | None, revision: int) -> None:
        """Replace the entries of a member's document, which changed at `revision`; None: it was deleted."""
        if entries is None:
            self._documents.pop(member, None)
        else:
            announced = [LiveObserver(member, entry, entry.epoch or revision) for entry in entries]
            self._documents[member] = announced
        self.observers = {}
        for document in self._documents.values():
            for live in document:
                known = self.observers.get(live.entry.name)
                if known is None or live.rank > known.rank:
                    self.observers[live.entry.name] = live


@dataclass(slots=True)
class _Served:
    """An observer of this member; `disconnected_at` is set while it has no connection."""

    entry: ObserverEntry
    disconnected_at: float = 0.0


class ServedObservers:
    """What one member announces: the observers that it serves, and those that lost their connection recently.

    Args:
        lease: How many ms an observer without a connection stays announced.
    """

    def __init__(self, lease: float = OBSERVER_LEASE_MS) -> None:
        """Start without observers."""
        self.lease = lease
        self.changed = False  # since the last call of `entries`
        self._served: dict[str, _Served] = {}

    def add(self, entry: ObserverEntry) -> None:
        """Add an observer that has subscribed, in place of one with the same name."""
        self._served[entry.name] = _Served(entry)
        self.changed = True

    def set_about(self, name: str, token: str, about: bytes) -> None:
        """Record an observer's new description for operators."""
        served = self._find(name, token)
        if served is not None and served.entry.about != about:
            served.entry = msgspec.structs.replace(served.entry, about=about)
            self.changed = True

    def set_epoch(self, name: str, token: str, epoch: int) -> None:
        """Record the observer's epoch once it is known. This alone needs no new announcement."""
        served = self._find(name, token)
        if served is not None and not served.entry.epoch:
            served.entry = msgspec.structs.replace(served.entry, epoch=epoch)

    def mark_disconnected(self, name: str, token: str, now: float) -> None:
        """Record that an observer has lost its connection without leaving.

        An observer that was never announced is removed. Otherwise a process that ended at its start would be
        announced after its successor and seem to be the later one."""
        served = self._find(name, token)
        if served is None or not served.entry.connected:
            return
        self.changed = True
        if served.entry.epoch:
            served.entry = msgspec.structs.replace(served.entry, connected=False)
            served.disconnected_at = now
        else:
            del self._served[name]

    def remove(self, name: str, token: str) -> None:
        """Remove an observer that has left, is fenced, or is served by another member now."""
        if self._find(name, token) is not None:
            del self._served[name]
            self.changed = True

    def remove_expired(self, now: float) -> None:
        """Remove the observers that have been without a connection for the lease."""
        for name, served in list(self._served.items()):
            if not served.entry.connected and now >= served.disconnected_at + self.lease:
                del self._served[name]
                self.changed = True

    def entries(self) -> list[ObserverEntry]:
        """Return the entries to announce, ordered by name, and reset `changed`."""
        self.changed = False
        return [self._served[name].entry for name in sorted(self._served)]

    def _find(self, name: str, token: str) -> _Served | None:
        served = self._served.get(name)
        return served if served is not None and served.entry.token == token else None


class LiveDispatchers:
    """The live dispatchers, members and observers, numbered by their position among the sorted names."""

    def __init__(self) -> None:
        """Start without dispatchers."""
        self.members: set[str] = set()
        self._observers: dict[str, set[str]] = {}  # by the member that announces them
        self._position: dict[str, int] | None = None

    def set_member(self, name: str, live: bool) -> None:
        """Record whether a dispatcher that is a member is live."""
        (self.members.add if live else self.members.discard)(name)
        self._position = None

    def set_announced(self, member: str, entries: list[ObserverEntry] | None) -> None:
        """Replace the observers that a member announces; None: its document was deleted."""
        if entries is None:
            self._observers.pop(member, None)
        else:
            self._observers[member] = {entry.name for entry in entries}
        self._position = None

    def names(self) -> list[str]:
        """Return the names of all live dispatchers, sorted."""
        return list(self._positions())

    def placement(self, name: str) -> tuple[int, int] | None:
        """Return how many dispatchers are live and the position of this one, from 0; None: it is not live."""
        positions = self._positions()
        return (len(positions), positions[name]) if name in positions else None

    def _positions(self) -> dict[str, int]:
        if self._position is None:
            names = sorted(self.members.union(*self._observers.values()))
            self._position = {name: number for number, name in enumerate(names)}
        return self._position
