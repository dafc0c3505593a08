"""The control-plane client of a dispatcher without a disk: one connection to one member of the store, on the
program's loop. What is taken from a member is decided in `subscription`, which member in `member_choice`, and
how long to wait in `backoff`; here are the connection and the deadlines. Times in ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.fleet.backoff import FullJitter
from eiderpin.fleet.member_choice import MemberChoice
from eiderpin.fleet.subscription import (
    DocumentsChanged,
    FencedOut,
    Placement,
    PresenceConfirmed,
    Refused,
    Reply,
    Subscription,
    SubscriptionError,
    Update,
    UpToDate,
    Violation,
)
from eiderpin.net.loop import Connection, Loop
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.observer_protocol import FROM_MEMBER, MAGIC, Leave, Rejection, Report
from eiderpin.store.state import Event

ACCEPT_WITHIN = 2_400.0  # from the beginning of a connection to the first message
SILENCE = 2_500.0  # without any message after which a member is given up; it sends a ping each second
STALE = 3_000.0  # for which a member may have heard of no leader before another one is tried
SPREAD = 500.0  # after a connection that worked has broken, all of its observers come back within this
START_SPREAD = 300.0
RETURN_AFTER = 40_000.0  # half of this to all of it at another than the first choice; then that is tried
RETURN_LONGEST = 320_000.0  # it doubles each time, up to this
WARN_AGE = 30_000.0  # of the copy, after which the log says so once


class ObserverSink(Protocol):
    """What a dispatcher does with what it is told."""

    def apply_events(self, events: list[Event]) -> None:
        """Documents have changed; apply them at once."""
        ...

    def set_placement(self, instances: int, instance: int) -> None:
        """So many dispatchers are live, and this is the one with that number, from 0."""
        ...

    def handle_fenced(self) -> None:
        """Another process has our name, for good."""
        ...

    def build_report(self, revision: int) -> Report:
        """What is in force, all up to this revision having been applied."""
        ...


class PresenceState(Enum):
    """Whether other dispatchers know of this one."""

    UNKNOWN = "unknown"
    KNOWN = "known"
    FENCED = "fenced"


class Observer:
    """Follows the store through one member after the other until it is closed.

    Args:
        subscription: The copy to keep.
        endpoints: The members that may be asked; at least one.
        sink: Is told of what changes.
        rng: Spreads the times of connecting.
        say, warn: Log lines for operators.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        subscription: Subscription,
        endpoints: Sequence[MemberEndpoint],
        sink: ObserverSink,
        rng: random.Random,
        say: Callable[[str], None],
        warn: Callable[[str], None],
    ) -> None:
        """Begin to connect, within a moment that differs between observers."""
        self.loop, self.counters, self.sink, self.say, self.warn = loop, counters, sink, say, warn
        self.subscription, self.rng = subscription, rng
        self.choice = MemberChoice(subscription.name, subscription.region, endpoints, rng)
        self.backoff = FullJitter(rng)
        self.endpoint: MemberEndpoint | None = None  # where we are, or try to be
        self.subscribed = False  # the member has accepted us
        self.presence_state = PresenceState.UNKNOWN
        self.current_at: float | None = None  # when the copy was certain to be up to date; None: never
        self._begun_at = loop.clock.now()
        self._connection: Connection | None = None
        self._silent_at: Deadline | None = None
        self._retry_at: Deadline | None = None
        self._return_at: Deadline | None = None
        self._return_bound = RETURN_AFTER
        self._reported: Report | None = None
        self._warned = False
        self._closed = False
        self._connect_after(rng.uniform(0.0, START_SPREAD))

    # -- figures

    @property
    def age_ms(self) -> float:
        """For how long the copy may have been out of date, in ms; before the first copy, since the start."""
        since = self.current_at if self.current_at is not None else self._begun_at
        return max(0.0, self.loop.clock.now() - since)

    @property
    def cut_off(self) -> bool:
        """Whether changes may have been missed for longer than a change of member takes."""
        return self.age_ms > 2 * STALE

    # -- connecting

    def _connect_after(self, wait: float) -> None:
        self.loop.deadlines.drop(self._retry_at)
        self._retry_at = self.loop.deadlines.set(self.loop.clock.now() + wait, self._connect)

    def _connect(self) -> None:
        now = self.loop.clock.now()
        self._look_at_age()
        self.endpoint = self.choice.next_member(now)
        connection = self.loop.connect(self.endpoint.address)
        if connection is None:
            self._failed()
            return
        self.counters.add("observer.connects")
        self._connection = connection
        frames = FrameDecoder(b"")
        connection.on_open = lambda: connection.write(MAGIC + encode_frame(self.subscription.subscribe()))
        connection.on_data = lambda data: self._received(connection, frames, data)
        connection.on_end = self._lost
        self._expect(ACCEPT_WITHIN)

    def _expect(self, within: float) -> None:
        """Give the member up unless it says something within this time."""
        self.loop.deadlines.drop(self._silent_at)
        self._silent_at = self.loop.deadlines.set(self.loop.clock.now() + within, self._silent)

    def _silent(self) -> None:
        self.counters.add("observer.silent")
        self._give_up()

    def _give_up(self) -> None:
        """End the connection ourselves, and go on as when it had ended."""
        self._disconnect()
        self._lost()

    def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _lost(self) -> None:
        """The connection has ended, whoever ended it."""
        worked, self.subscribed = self.subscribed, False
        self._connection = None
        self.loop.deadlines.drop(self._silent_at)
        self.loop.deadlines.drop(self._return_at)
        if self._closed:
            return
        if worked:
            self.counters.add("observer.lost")
            self._avoid()
            self._connect_after(self.rng.uniform(0.0, SPREAD))
        else:
            self._failed()

    def _failed(self) -> None:
        self.counters.add("observer.failed")
        self._avoid()
        if self.choice.best(self.loop.clock.now()) is not None:
            self._connect_after(self.rng.uniform(0.0, self.backoff.base))
        else:
            self._connect_after(self.backoff.next_wait_ms())

    def _avoid(self) -> None:
        if self.endpoint is not None:
            self.choice.avoid(self.endpoint.member, self.loop.clock.now())

    def _move(self) -> None:
        """Change to the member that is best now; the copy goes on from where it is."""
        self.counters.add("observer.moves")
        self._disconnect()
        self.subscribed = False
        self.loop.deadlines.drop(self._silent_at)
        self.loop.deadlines.drop(self._return_at)
        self._connect_after(0.0)

    # -- what the member says

    def _received(self, connection: Connection, frames: FrameDecoder, data: bytes) -> None:
        try:
            messages = [FROM_MEMBER.decode(body) for body in frames.feed(data)]
            for message in messages:
                for update in self.subscription.handle_message(message):
                    self._take(update)
                if self._connection is not connection:
                    return
                self._note_subscribed()
        except SubscriptionError as error:
            self._violated(error.violation, str(error))
            return
        except (ValueError, msgspec.MsgspecError) as error:
            self._violated(Violation.MALFORMED, str(error))
            return
        self._expect(SILENCE)
        self._report()

    def _violated(self, violation: Violation, text: str) -> None:
        member = self.endpoint.member if self.endpoint is not None else ""
        self.counters.add(f"observer.violation.{violation.value}")
        self.warn(f"control plane: member {member} is given up: {text}")
        self._give_up()

    def _note_subscribed(self) -> None:
        """The member has accepted us."""
        if self.subscribed or self.endpoint is None:
            return
        self.subscribed = True
        self._reported = None  # it knows nothing of us yet
        self.backoff.reset()
        if self.endpoint is not self.choice.first:
            wait = self.rng.uniform(self._return_bound / 2, self._return_bound)
            self._return_bound = min(RETURN_LONGEST, self._return_bound * 2)
            self._return_at = self.loop.deadlines.set(self.loop.clock.now() + wait, self._return)
        else:
            self._return_bound = RETURN_AFTER

    def _return(self) -> None:
        """Try the first choice again, so that load returns to a member that was away."""
        self._move()

    def _take(self, update: Update) -> None:
        if isinstance(update, Reply):
            self._send(update.message)
        elif isinstance(update, DocumentsChanged):
            self.counters.add("observer.changes", len(update.events))
            self.sink.apply_events(update.events)
        elif isinstance(update, UpToDate):
            self._note_current(update.stale_ms)
        elif isinstance(update, Placement):
            self.sink.set_placement(update.instances, update.instance)
        elif isinstance(update, PresenceConfirmed):
            self.presence_state = PresenceState.KNOWN
        elif isinstance(update, FencedOut):
            self._fenced()
        else:
            self._refused(update)

    def _refused(self, refused: Refused) -> None:
        self.counters.add(f"observer.refused.{refused.kind}")
        member = self.endpoint.member if self.endpoint is not None else ""
        if refused.kind != Rejection.CLOSING.value:
            self.warn(f"control plane: member {member} refuses: {refused.reason}")
        self._give_up()

    def _note_current(self, stale_ms: float) -> None:
        now = self.loop.clock.now()
        if stale_ms < STALE:
            self.current_at = now - stale_ms
            if self.endpoint is not None:
                self.choice.clear_avoidance(self.endpoint.member)
            self._look_at_age()
            return
        self._avoid()  # it hears of no leader: another one may
        self._look_at_age()
        if self.choice.best(now) is not None:
            self._move()

    def _look_at_age(self) -> None:
        """Tell operators once that the copy has grown old, and once that it is up to date again."""
        if self.age_ms > WARN_AGE and not self._warned:
            self._warned = True
            self.counters.add("observer.cut_off")
            self.warn(f"control plane: not heard for {self.age_ms / 1000:.0f} s; goes on with what it has")
        elif self._warned and self.age_ms < STALE:
            self._warned = False
            self.say("control plane: up to date again")

    def _fenced(self) -> None:
        if self.presence_state is not PresenceState.FENCED:
            self.presence_state = PresenceState.FENCED
            self.counters.add("observer.fenced")
            self.warn(f"control plane: fenced: another process has begun as {self.subscription.name}")
            self.sink.handle_fenced()

    # -- what the member is told

    def _send(self, message: msgspec.Struct) -> None:
        if self._connection is not None:
            self._connection.write(encode_frame(message))

    def _report(self) -> None:
        """Say what is in force, where that has changed since the last time."""
        if not self.subscribed or self._connection is None or self.current_at is None:
            return
        report = self.sink.build_report(self.subscription.revision)
        if self._reported is None or _matters(report, self._reported):
            self._reported = report
            self._send(report)

    def refresh(self) -> None:
        """What is said of us may have changed: tell it if so."""
        self._look_at_age()
        self._report()

    def close(self) -> None:
        """End as planned: the others need not wait for us."""
        self._closed = True
        for deadline in (self._retry_at, self._silent_at, self._return_at):
            self.loop.deadlines.drop(deadline)
        connection = self._connection
        if connection is not None:
            connection.write(encode_frame(Leave()))
            connection.close_when_sent()


def _matters(report: Report, before: Report) -> bool:
    """Whether a report says anything new; a revision without a change of ours does not."""
    return msgspec.structs.replace(report, revision=before.revision) != before
