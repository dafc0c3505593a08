"""Who a member's observers are and what they have in force, without I/O: what the member announces in the
store, and what each observer is told of the others. Times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from eiderpin.store import in_force, presence
from eiderpin.store.in_force import InForceCounts
from eiderpin.store.names import CURRENT_CONFIG, IN_FORCE, LIVE_MEMBERS, OBSERVERS
from eiderpin.store.observer_protocol import Announced, Fenced, Fleet, Report, Subscribe
from eiderpin.store.observer_sessions import Effect, Send
from eiderpin.store.presence import FoldedPresence, LiveDispatchers, ObserverEntry, ServedObservers
from eiderpin.store.state import Event, Put

FENCE_AFTER_MS = 4_000.0  # longer than a member takes to know, and to announce, that a connection is dead


@dataclass(slots=True)
class _Connected:
    """An observer with a connection here."""

    key: int
    name: str
    token: str
    epoch: int
    fleet: tuple[int, int] | None = None  # as it was told last
    fenced: bool = False
    contested_at: float | None = None  # since when a later process with the name is announced, and connected

    @property
    def rank(self) -> float:
        """A process that was not announced yet began after all that were."""
        return self.epoch or float("inf")


class ObserverRegistry:
    """The observers of one member.

    Args:
        member: The member's name.
    """

    def __init__(self, member: str) -> None:
        """Begin without observers."""
        self.member = member
        self.served = ServedObservers()
        self.counts = InForceCounts()
        self.folded = FoldedPresence()
        self.live = LiveDispatchers()
        self._connected: dict[int, _Connected] = {}
        self._by_name: dict[str, _Connected] = {}

    # -- observers

    def joined(self, key: int, asked: Subscribe, now: float) -> list[Effect]:
        """An observer is served from now on. Of two processes with one name, the earlier one is fenced."""
        new = _Connected(key, asked.name, asked.token, asked.epoch or self._epoch_of(asked))
        self._connected[key] = new
        old = self._by_name.get(asked.name)
        effects: list[Effect] = []
        if old is not None and old.token != new.token:
            if new.rank < old.rank:
                return self._fence(new)
            effects = self._fence(old)
        self._by_name[asked.name] = new
        self.served.connect(ObserverEntry(asked.name, asked.token, asked.session, new.epoch, asked.region))
        self.counts.connect(asked.name, now)
        if new.epoch:
            effects += self._compare(new, now)
        if new.epoch and not asked.epoch and not new.fenced:
            effects.append(Send([key], Announced(new.epoch)))
        return effects

    def _epoch_of(self, asked: Subscribe) -> int:
        """The epoch of a process that was announced without hearing of it; 0: it was not."""
        live = self.folded.observers.get(asked.name)
        return live.epoch if live is not None and live.entry.token == asked.token else 0

    def reported(self, key: int, report: Report, now: float) -> None:
        """An observer says what it has in force."""
        observer = self._connected.get(key)
        if observer is not None and self._by_name.get(observer.name) is observer:
            self.counts.report(observer.name, report, now)
            self.served.describe(observer.name, observer.token, report.about)

    def left(self, key: int, now: float, planned: bool) -> None:
        """A connection has ended; `planned`: the process said that it ends."""
        observer = self._connected.pop(key, None)
        if observer is None or self._by_name.get(observer.name) is not observer:
            return
        del self._by_name[observer.name]
        self.counts.disconnect(observer.name, now)
        if planned:
            self.served.remove(observer.name, observer.token)
        else:
            self.served.lose(observer.name, observer.token, now)

    # -- the store

    def applied(self, events: list[Event], now: float) -> list[Effect]:
        """The member's state has changed by these events, of all names."""
        effects: list[Effect] = []
        for event in events:
            if event.name.startswith(LIVE_MEMBERS):
                self.live.set_member(event.name.removeprefix(LIVE_MEMBERS), event.value is not None)
            elif event.name.startswith(OBSERVERS):
                self._announced(event.name.removeprefix(OBSERVERS), event.value, event.revision)
            elif event.name == CURRENT_CONFIG:
                self.counts.current(parse_config_version(event.value), now)
        if any(event.name.startswith(OBSERVERS) for event in events):
            for observer in list(self._connected.values()):
                effects += self._compare(observer, now)
        return effects

    def replaced(self, events: list[Event], now: float) -> list[Effect]:
        """The member's state is what these events make it, whatever was known before."""
        there = {event.name for event in events}
        known = [OBSERVERS + member for member in self.folded.members()]
        known += [LIVE_MEMBERS + name for name in self.live.members]
        gone = [Event(0, name, None) for name in known if name not in there]
        return self.applied(gone + events, now)

    def _announced(self, member: str, value: bytes | None, revision: int) -> None:
        try:
            entries = presence.read(value) if value is not None else None
        except msgspec.MsgspecError:
            return  # as it was
        if member == self.member:  # also of those whose connection is lost, who are announced for a while yet
            for entry in entries or ():
                self.served.announce(entry.name, entry.token, entry.epoch or revision)
        self.folded.take(member, entries, revision)
        self.live.set_announced(member, entries)

    def _compare(self, observer: _Connected, now: float) -> list[Effect]:
        """See what the store says of one of our observers."""
        live = self.folded.observers.get(observer.name)
        if live is None or observer.fenced:
            return []
        if live.entry.token == observer.token:
            observer.contested_at = None
            if observer.epoch == live.epoch:
                return []
            observer.epoch = live.epoch
            return [Send([observer.key], Announced(live.epoch))]
        if not observer.epoch or live.epoch < observer.epoch or not live.entry.connected:
            observer.contested_at = None
        elif observer.contested_at is None:
            observer.contested_at = now
        return []

    def _fence(self, observer: _Connected) -> list[Effect]:
        observer.fenced = True
        if self._by_name.get(observer.name) is observer:
            del self._by_name[observer.name]
        self.served.remove(observer.name, observer.token)
        return [Send([observer.key], Fenced())]

    # -- time

    def tick(self, now: float) -> list[Effect]:
        """Tell each observer its place among the dispatchers, where that has changed, and fence those whose
        name a later process has held for long enough."""
        self.served.expire(now)
        effects: list[Effect] = []
        for observer in self._connected.values():
            contested = observer.contested_at
            if contested is not None and not observer.fenced and now >= contested + FENCE_AFTER_MS:
                effects += self._fence(observer)
            place = None if observer.fenced else self.live.placement(observer.name)
            if place is not None and place != observer.fleet:
                observer.fleet = place
                effects.append(Send([observer.key], Fleet(*place)))
        return effects

    def announcement(self, lease: int, now: float, whole: bool) -> list[Put]:
        """What is to be put in the store now; `whole`: also what has not changed since the last time."""
        puts = []
        if self.served.changed or whole:
            value = presence.pack(self.served.entries())
            puts.append(Put(OBSERVERS + self.member, value, lease))
        if self.counts.changed or whole:
            value = in_force.pack(self.counts.summary(now))
            puts.append(Put(IN_FORCE + self.member, value, lease))
        return puts


def parse_config_version(value: bytes | None) -> int:
    """The version that the value of `CURRENT_CONFIG` begins with; 0 if it has none."""
    number = (value or b"").partition(b"\n")[0]
    return int(number) if number.isdigit() else 0
