"""Presence of observers, announced by the members that serve them. Pure; times in ms.

A member puts one document, `observers/MEMBER`, for all of its observers at once, under one lease. Every
member and dispatcher folds these documents into who is live. An observer that changes its member stands in
both documents for a while; its token and session say which entry counts. Two processes by one name have
different tokens; the one that was announced by the later commit has the name, and the other is fenced, once
it is certain that the later one lives: a member may announce a process that has just died.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

OBSERVER_LEASE = 6_000.0  # ms for which an observer without a connection stays announced


class ObserverEntry(msgspec.Struct, array_like=True, frozen=True):
    """One observer, as its member announces it.

    Attributes:
        epoch: The revision of the commit that announced this process first; 0: the one of this document.
        about: JSON for operators, as in `observer_protocol.Report`.
        connected: Whether the member has a connection to it now; without one it stays for the lease.
    """

    name: str
    token: str
    session: int
    epoch: int = 0
    region: str = ""
    about: bytes = b""
    connected: bool = True


_ENTRIES = msgspec.msgpack.Decoder(list[ObserverEntry])


def pack(entries: list[ObserverEntry]) -> bytes:
    """The value of a member's document."""
    return msgspec.msgpack.encode(entries)


def read(value: bytes) -> list[ObserverEntry]:
    """The entries of a member's document.

    Raises:
        msgspec.MsgspecError: It is no such document.
    """
    return _ENTRIES.decode(value)


@dataclass(slots=True, frozen=True)
class LiveObserver:
    """An observer as all members see it. `epoch` is never 0 here."""

    member: str
    entry: ObserverEntry
    epoch: int

    @property
    def rank(self) -> tuple[int, int, str]:
        """Of two with one name, the one that ranks higher counts."""
        return (self.epoch, self.entry.session, self.member)


class FoldedPresence:
    """All members' documents, folded into one entry a name."""

    def __init__(self) -> None:
        """Begin without documents."""
        self._documents: dict[str, list[LiveObserver]] = {}
        self.observers: dict[str, LiveObserver] = {}

    def members(self) -> list[str]:
        """The members that have a document."""
        return list(self._documents)

    def take(self, member: str, entries: list[ObserverEntry] | None, revision: int) -> None:
        """A member's document has changed at `revision`; None: it is gone."""
        if entries is None:
            self._documents.pop(member, None)
        else:
            found = [LiveObserver(member, entry, entry.epoch or revision) for entry in entries]
            self._documents[member] = found
        self.observers = {}
        for announced in self._documents.values():
            for live in announced:
                known = self.observers.get(live.entry.name)
                if known is None or live.rank > known.rank:
                    self.observers[live.entry.name] = live


@dataclass(slots=True)
class _Served:
    """An observer of ours, from its subscription on."""

    entry: ObserverEntry
    lost_at: float = 0.0


class ServedObservers:
    """What one member announces: the observers it serves, and those that lost their connection lately.

    Args:
        lease: How long an observer without a connection stays announced, in ms.
    """

    def __init__(self, lease: float = OBSERVER_LEASE) -> None:
        """Begin without observers."""
        self.lease = lease
        self.changed = False  # since `entries` was asked for last
        self._served: dict[str, _Served] = {}

    def connect(self, entry: ObserverEntry) -> None:
        """An observer has subscribed; whoever had its name here gives way."""
        self._served[entry.name] = _Served(entry)
        self.changed = True

    def describe(self, name: str, token: str, about: bytes) -> None:
        """An observer has told operators more of itself."""
        served = self._of(name, token)
        if served is not None and served.entry.about != about:
            served.entry = msgspec.structs.replace(served.entry, about=about)
            self.changed = True

    def announce(self, name: str, token: str, epoch: int) -> None:
        """The observer's epoch has become known. It does not have to be put anew for that alone."""
        served = self._of(name, token)
        if served is not None and not served.entry.epoch:
            served.entry = msgspec.structs.replace(served.entry, epoch=epoch)

    def lose(self, name: str, token: str, now: float) -> None:
        """Its connection has ended without a word. One that was never announced is not announced after that:
        a process that has died at its start would seem to be later than its successor."""
        served = self._of(name, token)
        if served is None or not served.entry.connected:
            return
        self.changed = True
        if served.entry.epoch:
            served.entry = msgspec.structs.replace(served.entry, connected=False)
            served.lost_at = now
        else:
            del self._served[name]

    def remove(self, name: str, token: str) -> None:
        """It has left, is fenced, or is served by another member now."""
        if self._of(name, token) is not None:
            del self._served[name]
            self.changed = True

    def expire(self, now: float) -> None:
        """Remove those that have been without a connection for the lease."""
        for name, served in list(self._served.items()):
            if not served.entry.connected and now >= served.lost_at + self.lease:
                del self._served[name]
                self.changed = True

    def entries(self) -> list[ObserverEntry]:
        """What is to be announced now, in the order of names."""
        self.changed = False
        return [self._served[name].entry for name in sorted(self._served)]

    def _of(self, name: str, token: str) -> _Served | None:
        served = self._served.get(name)
        return served if served is not None and served.entry.token == token else None


class LiveDispatchers:
    """Who is live, of members and observers; each dispatcher is numbered by its place among the names."""

    def __init__(self) -> None:
        """Begin with nobody."""
        self.members: set[str] = set()
        self._observers: dict[str, set[str]] = {}  # by the member that announces them
        self._position: dict[str, int] | None = None

    def set_member(self, name: str, live: bool) -> None:
        """A dispatcher that is a member has come or gone."""
        (self.members.add if live else self.members.discard)(name)
        self._position = None

    def set_announced(self, member: str, entries: list[ObserverEntry] | None) -> None:
        """A member's document has changed; None: it is gone."""
        if entries is None:
            self._observers.pop(member, None)
        else:
            self._observers[member] = {entry.name for entry in entries}
        self._position = None

    def names(self) -> list[str]:
        """All names, in order."""
        return list(self._positions())

    def placement(self, name: str) -> tuple[int, int] | None:
        """How many dispatchers there are, and which of them this one is, from 0; None: it is not live."""
        positions = self._positions()
        return (len(positions), positions[name]) if name in positions else None

    def _positions(self) -> dict[str, int]:
        if self._position is None:
            names = sorted(self.members.union(*self._observers.values()))
            self._position = {name: number for number, name in enumerate(names)}
        return self._position
