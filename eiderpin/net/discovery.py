"""The client of the discovery service: fetches the list of workers and watches it for changes.

A log event reports when calls begin to fail, when the list is up to date again, and when it has become old
meanwhile; `list_age_ms` says how old it is.
"""

from __future__ import annotations

import logging
from typing import Any

import orjson

from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import WorkerLink
from eiderpin.core.wall_clock import WallClock
from eiderpin.net import http
from eiderpin.net.discovery_call import CallFailure, DiscoveryCall
from eiderpin.net.list_document import Entries, check_shape, read_list
from eiderpin.net.loop import Loop
from eiderpin.policy.answer_timing import AnswerTiming
from eiderpin.policy.drain_records import DrainRecords

logger = logging.getLogger("eiderpin")

# A change of the list counts as known 6 s after discovery had it and could be reached, whether we received it
# or not. The worst case must stay below that: a watch that gets no answer from its beginning on, for
# WATCH_WAIT_MS and the limit of `AnswerTiming`, then a call that is answered, slowly or at once. Where the
# decisions say when to call again, they count from the beginning of the late call (`ListWatch`).
WATCH_WAIT_MS = 2000  # discovery answers a watch after this time if nothing has changed
RETRY_MS = 50.0  # before the next call after a failure; a watch must be renewed within 200 ms
# One call, and one more while that one is late. `configuration.RESERVED_DESCRIPTORS` counts both.
MAX_OPEN_CALLS = 2
OLD_LIST_MS = 6000.0  # from this age on the list is reported as old
# An answer with an older generation than we have is rejected, and the call is repeated after this time.
OUTDATED_RETRY_MS = 250.0
# Once the list has not been confirmed for this long, discovery was restarted and counts generations anew.
OUTDATED_REJECT_MS = 4000.0


class Discovery:
    """Fetches the list, then watches it for changes, as long as the program runs.

    If the setting `discovery` is "on_request" (KEEP_INFORMED in the wire protocol), one service of fixed
    capacity answers all dispatchers. Then the decisions say when a watch begins: at the start and after each
    failure, which is reported to them. It begins from the known generation, so that only the changes are
    fetched. Many dispatchers that fetched the whole list again at the same time would overload the service so
    much that it answered none of them.

    Args:
        link: reaches the workers of the list.
        server_address: (host, port) of discovery or of its agent on this machine.
        known: the list that the previous process stored, if there is one.
    """

    def __init__(
        self, loop: Loop, core: Dispatcher, link: WorkerLink, server_address: tuple[str, int], known: Any
    ) -> None:
        self.loop, self.core, self.link, self.server_address = loop, core, link, server_address
        self.wall = WallClock(core.clock)
        # By worker: its start time as listed (wall clock) and on our clock. It is converted once only.
        self.start_times: dict[str, tuple[float, float]] = {}
        self.generation: int | None = None  # from which changes are asked for; None: fetch the whole list
        self.calls: list[DiscoveryCall] = []  # the open ones, the oldest first; at most MAX_OPEN_CALLS
        self.retry: Deadline | None = None  # time of the next call
        self.timing = AnswerTiming()
        self.has_answered = False  # discovery has answered since the start
        self.verified = False  # discovery has answered since the last failure
        self.began_at = loop.clock.now()
        self.answered_at: float | None = None  # when the list was last known to be up to date
        self.failures = 0  # consecutive failed or late calls
        self.reported_old = False  # it was logged that the list is old
        self.newest_generation: int | None = None  # the latest one received
        self.drain_records = DrainRecords()
        self.on_request = core.settings.must_ask
        if self.on_request:
            core.source = self
        if known:
            generation, _, entries = read_list(known)
            core.apply_worker_list(
                link, api.ListKind.STORED, self.with_local_start_times(entries), by_discovery=True
            )
            if self.on_request:
                self.generation = self.newest_generation = generation
        if not known or not self.on_request:
            self.call()

    def change_address(self, server_address: tuple[str, int]) -> None:
        """Watch at another address from now on.

        Generations of another server are not comparable, so the whole list is fetched; until it is received
        the present list stays in use, but not for long: see `ListValidity`.
        """
        if server_address == self.server_address:
            return
        self.core.list_source_changed(self.link)
        self.server_address, self.generation = server_address, None
        self.newest_generation = None
        self.drain_records.change_source(self.loop.clock.now())
        self.verified = False
        self.timing = AnswerTiming()
        self.close_calls()
        self.call()

    @property
    def list_age_ms(self) -> float:
        """Time in ms since the list was last known to be up to date, or since the start if it never was."""
        last = self.began_at if self.answered_at is None else self.answered_at
        return self.loop.clock.now() - last

    def note_failure(self, reason: CallFailure) -> None:
        """Count a failed or late call. The first one in a row is logged, and once that the list is old."""
        self.core.counters.add(f"in.discovery_{reason}")
        self.failures += 1
        if self.failures == 1:
            logger.warning("discovery does not tell the list", extra=self.describe_failure(reason))
        if self.list_age_ms >= OLD_LIST_MS and not self.reported_old:
            self.reported_old = True
            logger.warning("the list of workers is old", extra=self.describe_failure(reason))

    def describe_failure(self, reason: CallFailure) -> dict[str, Any]:
        """Return the fields of a log event on calls that bring no list."""
        return {"reason": reason.value, "generation": self.generation, "failed_calls": self.failures,
                "list_age_ms": round(self.list_age_ms), "limit_ms": round(self.timing.limit_ms),
                "held_back": len(self.core.module.list_validity.held_back)}  # fmt: skip

    def note_answer(self, call: DiscoveryCall, generation: int) -> None:
        """Note that the list is up to date; this is logged after failed or late calls."""
        took_ms = call.overtime_ms
        self.timing.record_answer(took_ms if took_ms >= 0 else None)
        if call.is_late:
            self.core.counters.add("in.discovery_slow")
        if self.failures:
            fields = {"generation": generation, "failed_calls": self.failures,
                      "list_age_ms": round(self.list_age_ms), "slow": call.is_late,
                      "answer_ms": round(max(took_ms, 0.0)),
                      "limit_ms": round(self.timing.limit_ms)}  # fmt: skip
            logger.info("discovery tells the list", extra=fields)
        self.answered_at = self.loop.clock.now() - max(took_ms, 0.0)  # it may be as old as that
        self.failures, self.reported_old = 0, False

    def watch(self) -> None:
        """Begin a watch now, as the decisions want; a call that is in progress and not late goes on."""
        if all(call.is_late for call in self.calls):
            self.call()

    def call(self) -> None:
        """Make the next call on a new connection, beside a late one."""
        self.loop.deadlines.drop(self.retry)
        self.make_room()
        connection = self.loop.connect(self.server_address)
        if connection is None:
            self.note_failure(CallFailure.NOT_CONNECTED)
            self.schedule_call()
            return
        call = DiscoveryCall(self.loop, connection, self)
        self.calls.append(call)
        self.send(call)

    def make_room(self) -> None:
        """Give up one of the late calls if there are too many for another one."""
        if len(self.calls) < MAX_OPEN_CALLS:
            return
        older, younger = self.calls
        self.core.counters.add("in.discovery_given_up")
        if older.overtime_ms < self.timing.hold_ms:
            self.close_call(younger)
            return
        self.timing.record_unanswered()
        self.close_call(older)

    def send(self, call: DiscoveryCall) -> None:
        """Ask for changes, or for the whole list where there is none that they could follow."""
        self.wall.sample()
        if self.drain_records.expire(self.loop.clock.now()):
            self.generation = None  # some entries were withheld: read them again
        target = b"/catalog/members"
        wait_ms = 0.0
        if self.generation is not None:
            # A call that does not wait shows soonest whether discovery answers; the stored list is not used
            # before. On request each call costs the service capacity: there, calls after that are watches.
            is_watch = self.verified or (self.on_request and self.has_answered)
            wait_ms = float(WATCH_WAIT_MS) if is_watch else 0.0
            target += b"?after=%d&wait_ms=%d" % (self.generation, wait_ms)
        # A busy service on request may take long for any call.
        limit_ms = self.timing.call_limit_ms(WATCH_WAIT_MS if self.on_request else wait_ms)
        host = f"Host: {self.server_address[0]}:{self.server_address[1]}"
        call.send(http.request("GET", target, (host,)), wait_ms, limit_ms)

    def close_call(self, call: DiscoveryCall) -> None:
        """Close one of the open calls. What discovery still answers to it is not received."""
        call.close()
        self.calls.remove(call)

    def close_calls(self, but: DiscoveryCall | None = None) -> None:
        """Close all open calls but one, and make no further call."""
        self.loop.deadlines.drop(self.retry)
        for call in [call for call in self.calls if call is not but]:
            self.close_call(call)

    def handle_late(self, call: DiscoveryCall) -> None:
        """The call was not answered in time: make another one, while its answer may still come."""
        self.note_failure(CallFailure.SILENT)
        self.schedule_call(late_call_ms=call.age_ms)

    def handle_failure(self, call: DiscoveryCall, reason: CallFailure, retry_ms: float = RETRY_MS) -> None:
        """Close a call that has failed, and make another one, unless that was done when it became late."""
        self.note_failure(reason)
        self.close_call(call)
        if not call.is_late:
            self.schedule_call(retry_ms)

    def schedule_call(self, retry_ms: float = RETRY_MS, late_call_ms: float | None = None) -> None:
        """Make another call after `retry_ms`; on request the decisions say when.

        `late_call_ms`: how long ago the call began that is late; None: it has failed.
        """
        self.verified = False
        self.loop.deadlines.drop(self.retry)
        if self.on_request:
            self.core.list_call_failed(late_call_ms)
            return
        self.retry = self.loop.deadlines.set(self.loop.clock.now() + retry_ms, self.call)

    def reject_outdated(self, call: DiscoveryCall) -> None:
        """The answer is older than our list, and is not applied.

        Discovery may have been restarted, and then answers no watch from our generation: fetch the whole list
        next. On request that is made once, when the answer would be accepted, as it costs the service more.
        Or some of its replicas are behind: whichever of them answers next must not bring workers back.
        """
        self.generation = None
        self.drain_records.change_source(self.loop.clock.now())
        if not self.on_request:
            self.handle_failure(call, CallFailure.OLDER, OUTDATED_RETRY_MS)
            return
        self.note_failure(CallFailure.OLDER)
        self.close_calls()
        self.verified = False
        retry_ms = max(OUTDATED_REJECT_MS - self.list_age_ms, OUTDATED_RETRY_MS)
        self.retry = self.loop.deadlines.set(self.loop.clock.now() + retry_ms, self.call)

    def reject_answer(self, call: DiscoveryCall) -> None:
        """The answer is not valid HTTP, not JSON or not a list: fetch the whole list next."""
        self.generation = None
        self.handle_failure(call, CallFailure.BAD)

    def handle_answer(self, call: DiscoveryCall, message: http.Message) -> None:
        """Apply one answer and call again. Raises `ValueError` or `TypeError` if it is not a list."""
        if message.status != 200:
            if message.status < 500:
                # It may not accept our generation (5xx means overload): fetch the whole list.
                self.generation = None
            self.handle_failure(call, CallFailure.REFUSED)
            return
        check_shape(message.body)
        generation, whole, entries = read_list(orjson.loads(message.body))
        is_older = generation < (self.newest_generation or 0)
        if is_older and self.list_age_ms < OUTDATED_REJECT_MS:
            self.reject_outdated(call)
            return
        if self.generation is None and not whole:
            self.handle_failure(call, CallFailure.INCOMPLETE)
            return
        if is_older and not whole:
            # Discovery was restarted and counts from a lower generation: its changes alone are not enough.
            self.generation = None
            self.call_again(call, message.keep_alive)
            return
        if is_older:
            self.drain_records.change_source(self.loop.clock.now())
        self.core.counters.add("in.lists")
        self.note_answer(call, generation)
        self.generation = self.newest_generation = generation
        self.has_answered = self.verified = True
        entries = self.with_drain_records(entries, whole)
        if whole or entries or self.on_request:  # on request an empty answer shows that the watch is active
            kind = api.ListKind.COMPLETE if whole else api.ListKind.CHANGES
            self.core.apply_worker_list(
                self.link, kind, self.with_local_start_times(entries, whole), by_discovery=True
            )
        self.call_again(call, message.keep_alive)

    def call_again(self, call: DiscoveryCall, keep_alive: bool) -> None:
        """Make the next call after an answer, on its connection if that is kept; other calls are closed.

        An answer to one of them could only be older than this one, or tell what the next call tells.
        """
        self.close_calls(but=call)
        if keep_alive:
            self.send(call)
            return
        self.close_call(call)
        self.call()

    def with_drain_records(self, entries: Entries, whole: bool) -> Entries:
        """Return the entries of a list with the states that hold: an older list brings no worker back."""
        applied = self.drain_records.apply((entry for entry, _ in entries), whole, self.loop.clock.now())
        addresses = {entry.name: address for entry, address in entries}
        return [(entry, addresses[entry.name]) for entry in applied]

    def with_local_start_times(self, entries: Entries, whole: bool = False) -> Entries:
        """Convert the workers' start times in these entries to the dispatcher's clock; returns them.

        `whole`: there are no other workers.
        """
        if whole:
            names = {entry.name for entry, _ in entries}
            self.start_times = {name: times for name, times in self.start_times.items() if name in names}
        for entry, _ in entries:
            if entry.born is None or entry.state is api.WorkerState.GONE:
                self.start_times.pop(entry.name, None)
                continue
            listed, start = self.start_times.get(entry.name, (0.0, 0.0))
            if listed != entry.born:
                listed, start = entry.born, self.wall.to_steady(entry.born)
                self.start_times[entry.name] = (listed, start)
            entry.born = start
        return entries
