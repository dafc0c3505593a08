"""Control-plane client of a dispatcher without a disk: one connection at a time to one member of the store,
on the program's event loop. `subscription` decides what is accepted from a member, `member_choice` which
member to use, and `backoff` how long to wait; this module handles the connection and the deadlines. Times in
ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.core.growing_timeout import GrowingTimeout
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
from eiderpin.net.connection import Connection
from eiderpin.net.loop import Loop
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.observer_protocol import FROM_MEMBER, MAGIC, Leave, Rejection, Report
from eiderpin.store.state import Event

# From the start of a connection to the member's first message; it grows while no member keeps it.
ACCEPT_TIMEOUT_MS = 2_400.0
MAX_ACCEPT_TIMEOUT_MS = 20_000.0
SILENCE_TIMEOUT_MS = 2_500.0  # between messages of a member, which sends a ping each second
MAX_STALE_MS = 3_000.0  # age of a member's state; beyond that another member is tried
RECONNECT_SPREAD_MS = 500.0  # the observers of a member that failed reconnect spread over this time
START_SPREAD_MS = 300.0  # processes started together connect spread over this time
RETURN_DELAY_MS = 40_000.0  # an observer not at its first choice tries that after half of this to all of it
MAX_RETURN_DELAY_MS = 320_000.0  # that delay doubles up to this while the first choice does not accept
WARN_AGE_MS = 30_000.0  # age of the copy beyond which operators are warned, once


class ObserverSink(Protocol):
    """What a dispatcher does with what the members send."""

    def apply_events(self, events: list[Event]) -> None:
        """Apply changed documents at once."""
        ...

    def set_placement(self, instances: int, instance: int) -> None:
        """Set how many dispatchers are live, and which of them this one is, from 0."""
        ...

    def handle_fenced(self) -> None:
        """React to another process holding our name, which is final."""
        ...

    def build_report(self, revision: int) -> Report:
        """Report what is in force after all changes up to this revision have been applied."""
        ...


class PresenceState(Enum):
    """Whether other dispatchers know of this one."""

    UNKNOWN = "unknown"
    KNOWN = "known"
    FENCED = "fenced"  # another process holds the name


class Observer:
    """Follows the store through one member after the other until it is closed.

    Args:
        subscription: Holds the copy of the documents.
        endpoints: The members to choose from; at least one.
        sink: Applies what changes.
        rng: Spreads the times of connecting.
        log_info, log_warning: Write log lines for operators.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        subscription: Subscription,
        endpoints: Sequence[MemberEndpoint],
        sink: ObserverSink,
        rng: random.Random,
        log_info: Callable[[str], None],
        log_warning: Callable[[str], None],
    ) -> None:
        """Schedule the first connection, at a time that differs between observers."""
        self.loop, self.counters, self.sink, self.log_info, self.log_warning = (
            loop, counters, sink, log_info, log_warning
        )  # fmt: skip
        self.subscription, self.rng = subscription, rng
        self.member_choice = MemberChoice(subscription.name, subscription.region, endpoints, rng)
        self.backoff = FullJitter(rng)
        self.accept_timeout = GrowingTimeout(ACCEPT_TIMEOUT_MS, MAX_ACCEPT_TIMEOUT_MS)
        self.endpoint: MemberEndpoint | None = None  # the member connected to, or tried last
        self.subscribed = False  # whether the member has accepted the subscription
        self.presence_state = PresenceState.UNKNOWN
        self.current_at: float | None = None  # when the copy was last known to be up to date; None: never
        self._started_at = loop.clock.now()
        self._connecting_at = self._started_at
        self._connection: Connection | None = None
        self._silence_deadline: Deadline | None = None
        self._retry_deadline: Deadline | None = None
        self._return_deadline: Deadline | None = None
        self._return_bound_ms = RETURN_DELAY_MS
        self._last_report: Report | None = None
        self._age_warned = False
        self._closed = False
        self._connect_after(rng.uniform(0.0, START_SPREAD_MS))

    # -- figures

    @property
    def age_ms(self) -> float:
        """How long the copy may have been out of date; before the first copy, the time since the start."""
        since = self.current_at if self.current_at is not None else self._started_at
        return max(0.0, self.loop.clock.now() - since)

    @property
    def is_cut_off(self) -> bool:
        """Whether changes may have been missed for longer than it takes to change to another member."""
        return self.age_ms > 2 * MAX_STALE_MS

    # -- connecting

    def _connect_after(self, wait_ms: float) -> None:
        self.loop.deadlines.drop(self._retry_deadline)
        self._retry_deadline = self.loop.deadlines.set(self.loop.clock.now() + wait_ms, self._connect)

    def _connect(self) -> None:
        now = self.loop.clock.now()
        self._check_age()
        self.endpoint = self.member_choice.next_member(now)
        connection = self.loop.connect(self.endpoint.address)
        if connection is None:
            self._handle_failure()
            return
        self.counters.add("observer.connects")
        self._connection, self._connecting_at = connection, now
        frames = FrameDecoder(b"")
        connection.on_open = lambda: connection.write(MAGIC + encode_frame(self.subscription.subscribe()))
        connection.on_data = lambda data: self._handle_data(connection, frames, data)
        connection.on_end = self._handle_end
        self._expect_message(self.accept_timeout.limit_ms)

    def _expect_message(self, within_ms: float) -> None:
        """Give the member up unless a message comes within this time."""
        self.loop.deadlines.drop(self._silence_deadline)
        self._silence_deadline = self.loop.deadlines.set(
            self.loop.clock.now() + within_ms, self._handle_silence
        )

    def _handle_silence(self) -> None:
        self.counters.add("observer.silent")
        was_accepted = self.subscribed
        self._give_up_member()
        if not was_accepted and self.member_choice.best(self.loop.clock.now()) is None:
            self.accept_timeout.record_timeout()  # no member is left that may be faster

    def _give_up_member(self) -> None:
        """Close the connection, and go on as after its end."""
        self._disconnect()
        self._handle_end()

    def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _handle_end(self) -> None:
        """Schedule the next connection after this one has ended on either side."""
        worked, self.subscribed = self.subscribed, False
        self._connection = None
        self.loop.deadlines.drop(self._silence_deadline)
        self.loop.deadlines.drop(self._return_deadline)
        if self._closed:
            return
        if worked:
            self.counters.add("observer.lost")
            self._avoid_member()
            self._connect_after(self.rng.uniform(0.0, RECONNECT_SPREAD_MS))
        else:
            self._handle_failure()

    def _handle_failure(self) -> None:
        self.counters.add("observer.failed")
        self._avoid_member()
        if self.member_choice.best(self.loop.clock.now()) is not None:
            self._connect_after(self.rng.uniform(0.0, self.backoff.base))
        else:
            self._connect_after(self.backoff.next_wait_ms())

    def _avoid_member(self) -> None:
        if self.endpoint is not None:
            self.member_choice.avoid(self.endpoint.member, self.loop.clock.now())

    def _change_member(self) -> None:
        """Change to the member that is best now; the copy keeps its position."""
        self.counters.add("observer.moves")
        self._disconnect()
        self.subscribed = False
        self.loop.deadlines.drop(self._silence_deadline)
        self.loop.deadlines.drop(self._return_deadline)
        self._connect_after(0.0)

    # -- messages of the member

    def _handle_data(self, connection: Connection, frames: FrameDecoder, data: bytes) -> None:
        try:
            messages = [FROM_MEMBER.decode(body) for body in frames.feed(data)]
            for message in messages:
                for update in self.subscription.handle_message(message):
                    self._apply_update(update)
                if self._connection is not connection:
                    return
                self._note_subscribed()
        except SubscriptionError as error:
            self._handle_violation(error.violation, str(error))
            return
        except (ValueError, msgspec.MsgspecError) as error:
            self._handle_violation(Violation.MALFORMED, str(error))
            return
        self._expect_message(SILENCE_TIMEOUT_MS)
        self._send_report()

    def _handle_violation(self, violation: Violation, text: str) -> None:
        member = self.endpoint.member if self.endpoint is not None else ""
        self.counters.add(f"observer.violation.{violation.value}")
        self.log_warning(f"control plane: member {member} is given up: {text}")
        self._give_up_member()

    def _note_subscribed(self) -> None:
        """Note that the member has accepted the subscription."""
        if self.subscribed or self.endpoint is None:
            return
        self.subscribed = True
        self.accept_timeout.record_answer(self.loop.clock.now() - self._connecting_at)
        self._last_report = None  # this member has no report of ours yet
        self.backoff.reset()
        if self.endpoint is not self.member_choice.first:
            wait_ms = self.rng.uniform(self._return_bound_ms / 2, self._return_bound_ms)
            self._return_bound_ms = min(MAX_RETURN_DELAY_MS, self._return_bound_ms * 2)
            self._return_deadline = self.loop.deadlines.set(
                self.loop.clock.now() + wait_ms, self._return_to_first
            )
        else:
            self._return_bound_ms = RETURN_DELAY_MS

    def _return_to_first(self) -> None:
        """Try the first choice again, so that a member that has recovered gets its load back."""
        self._change_member()

    def _apply_update(self, update: Update) -> None:
        if isinstance(update, Reply):
            self._send(update.message)
        elif isinstance(update, DocumentsChanged):
            self.counters.add("observer.changes", len(update.events))
            self.sink.apply_events(update.events)
        elif isinstance(update, UpToDate):
            self._handle_up_to_date(update.stale_ms)
        elif isinstance(update, Placement):
            self.sink.set_placement(update.instances, update.instance)
        elif isinstance(update, PresenceConfirmed):
            self.presence_state = PresenceState.KNOWN
        elif isinstance(update, FencedOut):
            self._handle_fenced()
        else:
            self._handle_refusal(update)

    def _handle_refusal(self, refusal: Refused) -> None:
        self.counters.add(f"observer.refused.{refusal.kind}")
        member = self.endpoint.member if self.endpoint is not None else ""
        if refusal.kind != Rejection.CLOSING.value:
            self.log_warning(f"control plane: member {member} refuses: {refusal.reason}")
        self._give_up_member()

    def _handle_up_to_date(self, stale_ms: float) -> None:
        now = self.loop.clock.now()
        if stale_ms < MAX_STALE_MS:
            self.current_at = now - stale_ms
            if self.endpoint is not None:
                self.member_choice.clear_avoidance(self.endpoint.member)
            self._check_age()
            return
        self._avoid_member()  # it has no contact with a leader, but another member may
        self._check_age()
        if self.member_choice.best(now) is not None:
            self._change_member()

    def _check_age(self) -> None:
        """Log once that the copy has grown old, and once that it is up to date again."""
        if self.age_ms > WARN_AGE_MS and not self._age_warned:
            self._age_warned = True
            self.counters.add("observer.cut_off")
            self.log_warning(
                f"control plane: not heard for {self.age_ms / 1000:.0f} s; goes on with what it has"
            )
        elif self._age_warned and self.age_ms < MAX_STALE_MS:
            self._age_warned = False
            self.log_info("control plane: up to date again")

    def _handle_fenced(self) -> None:
        if self.presence_state is not PresenceState.FENCED:
            self.presence_state = PresenceState.FENCED
            self.counters.add("observer.fenced")
            self.log_warning(f"control plane: fenced: another process has begun as {self.subscription.name}")
            self.sink.handle_fenced()

    # -- messages to the member

    def _send(self, message: msgspec.Struct) -> None:
        if self._connection is not None:
            self._connection.write(encode_frame(message))

    def _send_report(self) -> None:
        """Report what is in force if it has changed since the last report."""
        if not self.subscribed or self._connection is None or self.current_at is None:
            return
        report = self.sink.build_report(self.subscription.revision)
        if self._last_report is None or _is_news(report, self._last_report):
            self._last_report = report
            self._send(report)

    def refresh(self) -> None:
        """Check the copy's age, and report what is in force if that has changed."""
        self._check_age()
        self._send_report()

    def close(self) -> None:
        """Leave as planned: other dispatchers learn of it without waiting for a timeout."""
        self._closed = True
        for deadline in (self._retry_deadline, self._silence_deadline, self._return_deadline):
            self.loop.deadlines.drop(deadline)
        connection = self._connection
        if connection is not None:
            connection.write(encode_frame(Leave()))
            connection.close_when_sent()


def _is_news(report: Report, before: Report) -> bool:
    """Whether a report differs from the previous one in more than its revision."""
    return msgspec.structs.replace(report, revision=before.revision) != before
