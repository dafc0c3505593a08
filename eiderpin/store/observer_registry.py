"""The registry of a member's observers: who they are and what they have in force. No I/O; times in ms.

It builds the announcement that the member puts in the store, and the messages that tell each observer its
place among the dispatchers.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from eiderpin.store import in_force, presence
from eiderpin.store.in_force import InForceCounts
from eiderpin.store.names import CURRENT_CONFIG, IN_FORCE, LIVE_MEMBERS, OBSERVERS
from eiderpin.store.observer_protocol import Announced, Fenced, Fleet, Report, Subscribe
from eiderpin.store.observer_sessions import Effect, Send
from eiderpin.store.presence import LiveDispatchers, MergedPresence, ObserverEntry, ServedObservers
from eiderpin.store.state import Event, Put

FENCE_AFTER_MS = 4_000.0  # longer than a member takes to detect and announce a broken connection


@dataclass(slots=True)
class _ConnectedObserver:
    """An observer that is connected to this member.

    Its epoch is 0 while the process is not announced.
    """

    key: int
    name: str
    token: str
    epoch: int
    sent_placement: tuple[int, int] | None = None  # as last sent to it
    fenced: bool = False
    contested_at: float | None = None  # since when a later, connected process is announced by its name

    @property
    def rank(self) -> float:
        """The epoch. A process that is not announced yet started after all that are."""
        return self.epoch or float("inf")


class ObserverRegistry:
    """The observers that one member serves, and all that are announced.

    Args:
        member: The member's name.
    """

    def __init__(self, member: str) -> None:
        """Start without observers."""
        self.member = member
        self.served = ServedObservers()
        self.counts = InForceCounts()
        self.merged = MergedPresence()
        self.live = LiveDispatchers()
        self._connected: dict[int, _ConnectedObserver] = {}
        self._by_name: dict[str, _ConnectedObserver] = {}

    # -- observers

    def add_connection(self, key: int, subscribe: Subscribe, now: float) -> list[Effect]:
        """Add an observer that is now served. Of two processes with one name, the earlier is fenced."""
        new = _ConnectedObserver(
            key, subscribe.name, subscribe.token, subscribe.epoch or self._find_epoch(subscribe)
        )
        self._connected[key] = new
        old = self._by_name.get(subscribe.name)
        effects: list[Effect] = []
        if old is not None and old.token != new.token:
            if new.rank < old.rank:
                return self._fence(new)
            effects = self._fence(old)
        self._by_name[subscribe.name] = new
        self.served.add(
            ObserverEntry(subscribe.name, subscribe.token, subscribe.session, new.epoch, subscribe.region)
        )
        self.counts.add_observer(subscribe.name, now)
        if new.epoch:
            effects += self._check_ownership(new, now)
        if new.epoch and not subscribe.epoch and not new.fenced:
            effects.append(Send([key], Announced(new.epoch)))
        return effects

    def _find_epoch(self, subscribe: Subscribe) -> int:
        """Return the epoch of a process that was announced and not yet notified; 0: it was not announced."""
        live = self.merged.observers.get(subscribe.name)
        return live.epoch if live is not None and live.entry.token == subscribe.token else 0

    def record_report(self, key: int, report: Report, now: float) -> None:
        """Record what an observer has in force."""
        observer = self._connected.get(key)
        if observer is not None and self._by_name.get(observer.name) is observer:
            self.counts.record_report(observer.name, report, now)
            self.served.set_about(observer.name, observer.token, report.about)

    def remove_connection(self, key: int, now: float, planned: bool) -> None:
        """Remove a connection that has ended; `planned`: the process said that it shuts down."""
        observer = self._connected.pop(key, None)
        if observer is None or self._by_name.get(observer.name) is not observer:
            return
        del self._by_name[observer.name]
        self.counts.remove_observer(observer.name, now)
        if planned:
            self.served.remove(observer.name, observer.token)
        else:
            self.served.mark_disconnected(observer.name, observer.token, now)

    # -- the store

    def apply_events(self, events: list[Event], now: float) -> list[Effect]:
        """Apply the events of a change of the member's state, whatever documents they concern."""
        effects: list[Effect] = []
        for event in events:
            if event.name.startswith(LIVE_MEMBERS):
                self.live.set_member(event.name.removeprefix(LIVE_MEMBERS), event.value is not None)
            elif event.name.startswith(OBSERVERS):
                self._apply_announcement(event.name.removeprefix(OBSERVERS), event.value, event.revision)
            elif event.name == CURRENT_CONFIG:
                self.counts.set_current_version(parse_config_version(event.value), now)
        if any(event.name.startswith(OBSERVERS) for event in events):
            for observer in list(self._connected.values()):
                effects += self._check_ownership(observer, now)
        return effects

    def replace_state(self, events: list[Event], now: float) -> list[Effect]:
        """Replace everything known from the store by the state that consists of these events."""
        present = {event.name for event in events}
        known = [OBSERVERS + member for member in self.merged.members()]
        known += [LIVE_MEMBERS + name for name in self.live.members]
        gone = [Event(0, name, None) for name in known if name not in present]
        return self.apply_events(gone + events, now)

    def _apply_announcement(self, member: str, value: bytes | None, revision: int) -> None:
        try:
            entries = presence.read(value) if value is not None else None
        except msgspec.MsgspecError:
            return  # keep the previous entries
        if member == self.member:
            # Including observers that lost their connection: they stay announced for the lease.
            for entry in entries or ():
                self.served.set_epoch(entry.name, entry.token, entry.epoch or revision)
        self.merged.set_entries(member, entries, revision)
        self.live.set_announced(member, entries)

    def _check_ownership(self, observer: _ConnectedObserver, now: float) -> list[Effect]:
        """Check whether one of our observers, or a later process by its name, has been announced."""
        live = self.merged.observers.get(observer.name)
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

    def _fence(self, observer: _ConnectedObserver) -> list[Effect]:
        observer.fenced = True
        if self._by_name.get(observer.name) is observer:
            del self._by_name[observer.name]
        self.served.remove(observer.name, observer.token)
        return [Send([observer.key], Fenced())]

    # -- time

    def tick(self, now: float) -> list[Effect]:
        """Send observers their place among the dispatchers if it has changed, and fence those whose name a
        later process has owned for `FENCE_AFTER_MS`."""
        self.served.remove_expired(now)
        effects: list[Effect] = []
        for observer in self._connected.values():
            contested = observer.contested_at
            if contested is not None and not observer.fenced and now >= contested + FENCE_AFTER_MS:
                effects += self._fence(observer)
            placement = None if observer.fenced else self.live.placement(observer.name)
            if placement is not None and placement != observer.sent_placement:
                observer.sent_placement = placement
                effects.append(Send([observer.key], Fleet(*placement)))
        return effects

    def build_announcement(self, lease: int, now: float, include_unchanged: bool) -> list[Put]:
        """Return the documents to put now, by default only those that changed since the last call."""
        puts = []
        if self.served.changed or include_unchanged:
            value = presence.pack(self.served.entries())
            puts.append(Put(OBSERVERS + self.member, value, lease))
        if self.counts.changed or include_unchanged:
            value = in_force.pack(self.counts.summary(now))
            puts.append(Put(IN_FORCE + self.member, value, lease))
        return puts


def parse_config_version(value: bytes | None) -> int:
    """Return the version at the start of the value of `CURRENT_CONFIG`; 0 if there is none."""
    number = (value or b"").partition(b"\n")[0]
    return int(number) if number.isdigit() else 0
