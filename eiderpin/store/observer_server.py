"""The port on which a member serves observers: connections and time for `ObserverSessions`, and the member's
announcement of them in the store. All rules are in `observer_sessions` and `observer_registry`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.net.loop import Connection, Listener, Loop
from eiderpin.parts.store import DEFAULT_MAX_OBSERVERS
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.member import Member, Watch
from eiderpin.store.names import OBSERVERS
from eiderpin.store.observer_protocol import (
    FROM_OBSERVER,
    MAGIC,
    MOST_OBSERVER_FRAME,
    FromObserver,
    Leave,
    Rejected,
    Rejection,
    Report,
)
from eiderpin.store.observer_registry import ObserverRegistry
from eiderpin.store.observer_sessions import Effect, End, ObserverSessions, Send
from eiderpin.store.state import Answer, Compare, Event, Grant, Keep, Operation, Transaction

TICK = 50.0  # ms
SUBSCRIBE_WITHIN = 2_000.0  # ms from the connection on
MOST_UNSUBSCRIBED = 64  # connections that have not subscribed yet; the oldest gives way
MOST_QUEUED = 768 << 10  # bytes that an observer may leave unread beside what the kernel holds
LEASE = 10_000.0  # ms for which the announcement outlives the member, so that observers may change to another
KEEP_EVERY = 2_500.0
PAGE_GAP = 1.0  # ms between two pages of a snapshot
ANNOUNCE_EVERY = 1_000.0
COMMAND_WITHIN = 2_000.0


@dataclass(slots=True)
class _Peer:
    """A connection, with its decoder, and the limit for its `Subscribe`."""

    connection: Connection
    frames: FrameDecoder
    limit: Deadline | None
    subscribed: bool = False


class ObserverServer:
    """Serves observers at one member.

    Args:
        listen: Where observers connect.
        most: How many observers are served at once.

    Raises:
        OSError: The address cannot be had.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        member: Member,
        listen: tuple[str, int],
        most: int = DEFAULT_MAX_OBSERVERS,
    ) -> None:
        """Listen, and begin to announce."""
        self.loop, self.counters, self.member = loop, counters, member
        now = loop.clock.now()
        born = member.identity
        self.sessions = ObserverSessions(
            born.cluster, lambda: member.identity.generation, born.name, lambda: member.store, now, most
        )
        self.registry = ObserverRegistry(born.name)
        self._peers: dict[int, _Peer] = {}
        self.sent = self.received = 0  # bytes, of all observers so far
        self._lease = 0
        self._whole = True  # the next announcement has all in it, whether it has changed or not
        self._busy = False  # a command of ours is under way
        self._announce_at = self._keep_at = now
        self._watch: Watch | None = None
        self._follow()
        self.listener = Listener(loop, listen, self._accept)
        self._tick()

    # -- the member's state

    def _follow(self) -> None:
        """Follow all changes from the present state on."""
        store = self.member.store
        now = self.loop.clock.now()
        events = [Event(d.revision, d.name, d.value, d.lease) for d in store.documents.values()]
        self._carry_out(self.registry.replaced(events, now))
        self._watch = self.member.watch("", store.revision, self._applied)

    def _applied(self, events: list[Event] | None) -> None:
        now = self.loop.clock.now()
        if events is None:
            self._carry_out(self.sessions.replaced(now))
            self._follow()
            return
        self._carry_out(self.sessions.applied(events, now))
        self._carry_out(self.registry.applied(events, now))

    # -- connections

    def _accept(self, connection: Connection) -> None:
        unsubscribed = [peer for peer in self._peers.values() if not peer.subscribed]
        if len(unsubscribed) >= MOST_UNSUBSCRIBED:
            self.counters.add("observers.rejected.crowded")
            unsubscribed[0].connection.close()
        key = connection.number
        limit = self.loop.deadlines.set(
            self.loop.clock.now() + SUBSCRIBE_WITHIN, lambda: self._end_silent(key)
        )
        self._peers[key] = _Peer(connection, FrameDecoder(MAGIC, MOST_OBSERVER_FRAME), limit)
        connection.on_data = lambda data: self._received(key, data)
        connection.on_flushed = lambda: self._flushed(key)
        connection.on_closed = lambda: self._closed(key)

    def _end_silent(self, key: int) -> None:
        text = f"it has not subscribed within {SUBSCRIBE_WITHIN:g} ms"
        self._carry_out([End(key, Rejection.SILENT, text)])

    def _received(self, key: int, data: bytes) -> None:
        peer = self._peers[key]
        self.received += len(data)
        try:
            messages = [FROM_OBSERVER.decode(body) for body in peer.frames.feed(data)]
        except (ValueError, msgspec.MsgspecError) as error:
            self._carry_out([End(key, Rejection.MALFORMED, str(error))])
            return
        for message in messages:
            if key not in self._peers:
                return
            self._take(key, peer, message)

    def _take(self, key: int, peer: _Peer, message: FromObserver) -> None:
        now = self.loop.clock.now()
        if isinstance(message, Leave):
            self.registry.left(key, now, planned=True)
        if not peer.subscribed:
            peer.subscribed = True
            self.loop.deadlines.drop(peer.limit)
        effects = self.sessions.received(key, message, now)
        if isinstance(message, Report) and not effects:
            self.registry.reported(key, message, now)
        self._carry_out(effects)

    def _flushed(self, key: int) -> None:
        """All that was written has been taken. Its next page goes in a later turn of the loop: we may be in
        the midst of sending what comes before it, and others are to have their turn."""
        if self.sessions.has_pages(key):
            self.loop.deadlines.set(self.loop.clock.now() + PAGE_GAP, lambda: self._send_next_page(key))

    def _send_next_page(self, key: int) -> None:
        peer = self._peers.get(key)
        if peer is not None and not peer.connection.unsent:
            self._carry_out(self.sessions.flushed(key))

    def _closed(self, key: int) -> None:
        peer = self._peers.pop(key, None)
        if peer is not None:
            self.loop.deadlines.drop(peer.limit)
        self.sessions.closed(key)
        self.registry.left(key, self.loop.clock.now(), planned=False)

    # -- effects

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, End):
                self._end(effect)
            elif effect.key in self.sessions.sessions:
                asked = self.sessions.sessions[effect.key].subscribe
                self._carry_out(self.registry.joined(effect.key, asked, self.loop.clock.now()))

    def _send(self, send: Send) -> None:
        data = encode_frame(send.message)
        for key in send.keys:
            peer = self._peers.get(key)
            if peer is None:
                continue
            if len(peer.connection.unsent) > MOST_QUEUED:
                self._end(End(key, Rejection.SLOW, f"{len(peer.connection.unsent)} bytes are not read"))
                continue
            peer.connection.write(data)
            self.sent += len(data)

    def _end(self, end: End) -> None:
        """Say why, and close; one that does not read would not hear it."""
        peer = self._peers.pop(end.key, None)
        if peer is None:
            return
        self.counters.add(f"observers.rejected.{end.kind.value}")
        self.loop.deadlines.drop(peer.limit)
        self.sessions.closed(end.key)
        self.registry.left(end.key, self.loop.clock.now(), planned=False)
        connection = peer.connection
        connection.on_data = _ignore
        connection.on_flushed = connection.on_closed = _nothing
        if end.kind in (Rejection.SLOW, Rejection.UNRESPONSIVE):
            connection.close()
            return
        connection.write(encode_frame(Rejected(end.kind.value, end.reason)))
        connection.close_when_sent()

    # -- time, and the announcement

    def _tick(self) -> None:
        now = self.loop.clock.now()
        self.loop.deadlines.set(now + TICK, self._tick)
        told = self._watch.next - 1 if self._watch is not None else 0
        self._carry_out(self.sessions.tick(now, told, self.stale_ms))
        if now >= self._announce_at:
            self._announce_at = now + ANNOUNCE_EVERY
            self._carry_out(self.registry.tick(now))
            self._announce(now)

    @property
    def stale_ms(self) -> float:
        """For how long the member has not heard of a leader."""
        return max(0.0, self.loop.clock.now() - self.member.last_leader_contact_ms)

    def _announce(self, now: float) -> None:
        """One command at a time: the lease first, then what has changed, else a sign of life."""
        if self._busy or self.member.disk_failed:
            return
        if not self._lease:
            self._submit(Grant(LEASE), self._granted)
            return
        if now >= self._keep_at:
            self._submit(Keep(self._lease), self._kept)
            return
        self._put_announcement(now)

    def _put_announcement(self, now: float) -> None:
        """Put what has changed. Only if our document is as we know it: a command of before, of which nobody
        has said what became of it, may have given entries of it their epochs."""
        name = OBSERVERS + self.member.identity.name
        document = self.member.store.get(name)
        puts = self.registry.announcement(self._lease, now, self._whole)
        if puts:
            revision = document.revision if document is not None else 0
            self._submit(Transaction(list(puts), [Compare(name, revision)]), self._put)

    def _submit(self, operation: Operation, done: Callable[[Answer], None]) -> None:
        def answered(answer: Answer | Exception) -> None:
            self._busy = False
            if isinstance(answer, Answer) and not answer.error:
                done(answer)
            else:
                self._lease = 0  # it may have ended: begin anew, with all of it

        self._busy = True
        now = self.loop.clock.now()
        number = self.member.rng.getrandbits(53)
        self.member.submit("", number, operation, answered, now, COMMAND_WITHIN)

    def _granted(self, answer: Answer) -> None:
        self._lease = answer.lease
        now = self.loop.clock.now()
        self._keep_at = now + KEEP_EVERY
        self._whole = True
        self._put_announcement(now)

    def _put(self, answer: Answer) -> None:
        self._whole = not answer.ok

    def _kept(self, answer: Answer) -> None:
        self._keep_at = self.loop.clock.now() + KEEP_EVERY

    def status(self) -> dict[str, object]:
        """Figures for operators."""
        phases: dict[str, int] = {}
        for session in self.sessions.sessions.values():
            phases[session.phase.value] = phases.get(session.phase.value, 0) + 1
        return {
            "observers": len(self.sessions.sessions),
            "most": self.sessions.most,
            "phases": phases,
            "snapshots": self.sessions.snapshots,
            "bytes_sent": self.sent,
            "bytes_received": self.received,
            "announced": len(self.registry.folded.observers),
        }

    def close(self) -> None:
        """Tell all observers that the member ends."""
        for key in list(self._peers):
            self._end(End(key, Rejection.CLOSING, "the member ends"))
        self.listener.close()


def _ignore(data: bytes) -> None:
    """It has been rejected."""


def _nothing() -> None:
    return None
