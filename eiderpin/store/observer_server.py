"""The server on which a member serves observers. Times in ms.

It gives connections and timers to `ObserverSessions` and `ObserverRegistry`, which contain all rules, and
puts the member's announcement of its observers in the store.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.core.growing_timeout import GrowingTimeout
from eiderpin.net.connection import Connection
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop
from eiderpin.parts.store import DEFAULT_MAX_OBSERVERS
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.member import Member, OutcomeUnknown, Watch
from eiderpin.store.names import OBSERVERS
from eiderpin.store.observer_protocol import (
    FROM_OBSERVER,
    MAGIC,
    MAX_OBSERVER_FRAME_BYTES,
    FromObserver,
    Leave,
    Rejected,
    Rejection,
    Report,
)
from eiderpin.store.observer_registry import ObserverRegistry
from eiderpin.store.observer_sessions import Effect, End, ObserverSessions, Send
from eiderpin.store.state import Answer, Compare, Event, Grant, Keep, Operation, Transaction

TICK_MS = 50.0
SUBSCRIBE_TIMEOUT_MS = 2_000.0  # from connection to `Subscribe`
MAX_UNSUBSCRIBED_CONNECTIONS = 64  # beyond that, the oldest is closed
MAX_UNSENT_BYTES = 768 << 10  # per connection, not counting the kernel's send buffer
# The announcement outlives a failed member for this long, so that its observers can change to another member.
LEASE_MS = 10_000.0
RENEW_INTERVAL_MS = 2_500.0
PAGE_INTERVAL_MS = 1.0  # between two pages of a snapshot
ANNOUNCE_INTERVAL_MS = 1_000.0
COMMAND_TIMEOUT_MS = 2_000.0  # of a command to the store, at first; it grows while the store is slower
MAX_COMMAND_TIMEOUT_MS = 10_000.0


@dataclass(slots=True)
class _ObserverConnection:
    """A connection with its frame decoder and the deadline for its `Subscribe`."""

    connection: Connection
    frames: FrameDecoder
    subscribe_deadline: Deadline | None
    subscribed: bool = False


class ObserverServer:
    """Serves observers at one member.

    Args:
        loop: The event loop.
        counters: The process's counters.
        member: The member of the store.
        listen: The address on which observers connect.
        max_observers: How many observers are served at the same time.

    Raises:
        OSError: It cannot listen on the address.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        member: Member,
        listen: tuple[str, int],
        max_observers: int = DEFAULT_MAX_OBSERVERS,
    ) -> None:
        """Start to listen and to announce observers."""
        self.loop, self.counters, self.member = loop, counters, member
        now = loop.clock.now()
        identity = member.identity
        self.sessions = ObserverSessions(
            identity.cluster,
            lambda: member.identity.generation,
            identity.name,
            lambda: member.store,
            now,
            max_observers,
        )
        self.registry = ObserverRegistry(identity.name)
        self._peers: dict[int, _ObserverConnection] = {}
        self.bytes_sent = self.bytes_received = 0  # of all observers so far
        self._lease = 0
        self._announce_all = True  # the next announcement includes what has not changed
        self._command_pending = False  # a command to the store has no answer yet
        self._command_timeout = GrowingTimeout(COMMAND_TIMEOUT_MS, MAX_COMMAND_TIMEOUT_MS)
        self._announce_at = self._renew_at = now
        self._watch: Watch | None = None
        self._follow_store()
        self.listener = Listener(loop, listen, self._accept)
        self._tick()

    # -- the member's state

    def _follow_store(self) -> None:
        """Take over the current state and follow all changes from there."""
        store = self.member.store
        now = self.loop.clock.now()
        events = [Event(d.revision, d.name, d.value, d.lease) for d in store.documents.values()]
        self._run_effects(self.registry.replace_state(events, now))
        self._watch = self.member.watch("", store.revision, self._handle_events)

    def _handle_events(self, events: list[Event] | None) -> None:
        now = self.loop.clock.now()
        if events is None:
            self._run_effects(self.sessions.replace_state(now))
            self._follow_store()
            return
        self._run_effects(self.sessions.apply_events(events, now))
        self._run_effects(self.registry.apply_events(events, now))

    # -- connections

    def _accept(self, connection: Connection) -> None:
        unsubscribed = [peer for peer in self._peers.values() if not peer.subscribed]
        if len(unsubscribed) >= MAX_UNSUBSCRIBED_CONNECTIONS:
            self.counters.add("observers.rejected.crowded")
            unsubscribed[0].connection.close()
        key = connection.number
        subscribe_deadline = self.loop.deadlines.set(
            self.loop.clock.now() + SUBSCRIBE_TIMEOUT_MS, lambda: self._reject_silent(key)
        )
        self._peers[key] = _ObserverConnection(
            connection, FrameDecoder(MAGIC, MAX_OBSERVER_FRAME_BYTES), subscribe_deadline
        )
        connection.on_data = lambda data: self._handle_data(key, data)
        connection.on_flushed = lambda: self._handle_flushed(key)
        connection.on_closed = lambda: self._handle_closed(key)

    def _reject_silent(self, key: int) -> None:
        text = f"it has not subscribed within {SUBSCRIBE_TIMEOUT_MS:g} ms"
        self._run_effects([End(key, Rejection.SILENT, text)])

    def _handle_data(self, key: int, data: bytes) -> None:
        peer = self._peers[key]
        self.bytes_received += len(data)
        try:
            messages = [FROM_OBSERVER.decode(body) for body in peer.frames.feed(data)]
        except (ValueError, msgspec.MsgspecError) as error:
            self._run_effects([End(key, Rejection.MALFORMED, str(error))])
            return
        for message in messages:
            if key not in self._peers:
                return
            self._handle_message(key, peer, message)

    def _handle_message(self, key: int, peer: _ObserverConnection, message: FromObserver) -> None:
        now = self.loop.clock.now()
        if isinstance(message, Leave):
            self.registry.remove_connection(key, now, planned=True)
        if not peer.subscribed:
            peer.subscribed = True
            self.loop.deadlines.drop(peer.subscribe_deadline)
        effects = self.sessions.handle_message(key, message, now)
        if isinstance(message, Report) and not effects:
            self.registry.record_report(key, message, now)
        self._run_effects(effects)

    def _handle_flushed(self, key: int) -> None:
        """Schedule the next page of a snapshot now that all that was written has been taken.

        The page is sent in a later turn of the loop: the messages before it may just be being sent, and other
        connections must get their turn."""
        if self.sessions.has_pages(key):
            self.loop.deadlines.set(
                self.loop.clock.now() + PAGE_INTERVAL_MS, lambda: self._send_next_page(key)
            )

    def _send_next_page(self, key: int) -> None:
        peer = self._peers.get(key)
        if peer is not None and not peer.connection.unsent:
            self._run_effects(self.sessions.handle_flushed(key))

    def _handle_closed(self, key: int) -> None:
        peer = self._peers.pop(key, None)
        if peer is not None:
            self.loop.deadlines.drop(peer.subscribe_deadline)
        self.sessions.remove(key)
        self.registry.remove_connection(key, self.loop.clock.now(), planned=False)

    # -- effects

    def _run_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, End):
                self._end(effect)
            elif effect.key in self.sessions.sessions:
                subscribe = self.sessions.sessions[effect.key].subscribe
                self._run_effects(self.registry.add_connection(effect.key, subscribe, self.loop.clock.now()))

    def _send(self, send: Send) -> None:
        data = encode_frame(send.message)
        for key in send.keys:
            peer = self._peers.get(key)
            if peer is None:
                continue
            if len(peer.connection.unsent) > MAX_UNSENT_BYTES:
                self._end(End(key, Rejection.SLOW, f"{len(peer.connection.unsent)} bytes are not read"))
                continue
            peer.connection.write(data)
            self.bytes_sent += len(data)

    def _end(self, end: End) -> None:
        """Send the reason and close. The connection of an observer that does not read is closed at once."""
        peer = self._peers.pop(end.key, None)
        if peer is None:
            return
        self.counters.add(f"observers.rejected.{end.kind.value}")
        self.loop.deadlines.drop(peer.subscribe_deadline)
        self.sessions.remove(end.key)
        self.registry.remove_connection(end.key, self.loop.clock.now(), planned=False)
        connection = peer.connection
        connection.on_data = _discard
        connection.on_flushed = connection.on_closed = _do_nothing
        if end.kind in (Rejection.SLOW, Rejection.UNRESPONSIVE):
            connection.close()
            return
        connection.write(encode_frame(Rejected(end.kind.value, end.reason)))
        connection.close_when_sent()

    # -- timers and the announcement

    def _tick(self) -> None:
        now = self.loop.clock.now()
        self.loop.deadlines.set(now + TICK_MS, self._tick)
        delivered_revision = self._watch.next - 1 if self._watch is not None else 0
        self._run_effects(self.sessions.tick(now, delivered_revision, self.stale_ms))
        if now >= self._announce_at:
            self._announce_at = now + ANNOUNCE_INTERVAL_MS
            self._run_effects(self.registry.tick(now))
            self._announce(now)

    @property
    def stale_ms(self) -> float:
        """How long the member has had no message from a leader."""
        return max(0.0, self.loop.clock.now() - self.member.last_leader_contact_ms)

    def _announce(self, now: float) -> None:
        """Submit one command at a time: grant the lease, renew it if due, or put what has changed."""
        if self._command_pending or self.member.disk_failed:
            return
        if not self._lease:
            self._submit(Grant(LEASE_MS), self._handle_granted)
            return
        if now >= self._renew_at:
            self._submit(Keep(self._lease), self._handle_renewed)
            return
        self._put_announcement(now)

    def _put_announcement(self, now: float) -> None:
        """Put what has changed, on the condition that the member's document is at the known revision.

        An earlier command with an unknown result may have written the document and so set the epochs of its
        entries."""
        name = OBSERVERS + self.member.identity.name
        document = self.member.store.get(name)
        puts = self.registry.build_announcement(self._lease, now, self._announce_all)
        if puts:
            revision = document.revision if document is not None else 0
            self._submit(Transaction(list(puts), [Compare(name, revision)]), self._handle_announced)

    def _submit(self, operation: Operation, done: Callable[[Answer], None]) -> None:
        now = self.loop.clock.now()

        def answered(answer: Answer | Exception) -> None:
            self._command_pending = False
            if isinstance(answer, OutcomeUnknown):
                self._command_timeout.record_timeout()
            elif isinstance(answer, Answer):
                self._command_timeout.record_answer(self.loop.clock.now() - now)
            if isinstance(answer, Answer) and not answer.error:
                done(answer)
            else:
                self._lease = 0  # it may have expired: get a new lease and announce everything again

        self._command_pending = True
        number = self.member.rng.getrandbits(53)
        self.member.submit("", number, operation, answered, now, self._command_timeout.limit_ms)

    def _handle_granted(self, answer: Answer) -> None:
        self._lease = answer.lease
        now = self.loop.clock.now()
        self._renew_at = now + RENEW_INTERVAL_MS
        self._announce_all = True
        self._put_announcement(now)

    def _handle_announced(self, answer: Answer) -> None:
        self._announce_all = not answer.ok

    def _handle_renewed(self, answer: Answer) -> None:
        self._renew_at = self.loop.clock.now() + RENEW_INTERVAL_MS

    def status(self) -> dict[str, object]:
        """Return figures for operators."""
        phases: dict[str, int] = {}
        for session in self.sessions.sessions.values():
            phases[session.phase.value] = phases.get(session.phase.value, 0) + 1
        return {
            "observers": len(self.sessions.sessions),
            "most": self.sessions.max_observers,
            "phases": phases,
            "snapshots": self.sessions.snapshots_started,
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
            "announced": len(self.registry.merged.observers),
        }

    def close(self) -> None:
        """Tell all observers that the member shuts down, and stop listening."""
        for key in list(self._peers):
            self._end(End(key, Rejection.CLOSING, "the member ends"))
        self.listener.close()


def _discard(data: bytes) -> None:
    """Ignore data from a connection that has been rejected."""


def _do_nothing() -> None:
    return None
