"""The client of the discovery service: fetches the list of workers and watches it for changes.

A log event reports when calls begin to fail and when the list is up to date again; `list_age_ms` says how old
the list is.
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
from eiderpin.net.connection import Connection
from eiderpin.net.list_document import MAX_LIST_BYTES, Entries, check_shape, read_list
from eiderpin.net.loop import Loop

logger = logging.getLogger("eiderpin")

# A change of the list counts as known 6 s after discovery had it and could be reached, whether we received it
# or not. The worst case must stay below that: a call that gets no answer from its beginning on (WATCH_WAIT_MS
# + SILENCE_TIMEOUT_MS), then one that is answered immediately. Where the decisions say when to call again,
# they count from the beginning of the failed call (`ListWatch`).
WATCH_WAIT_MS = 2000  # discovery answers a watch after this time if nothing has changed
SILENCE_TIMEOUT_MS = 700.0  # a call without an answer so long after that is repeated on a new connection
RETRY_MS = 50.0  # before the next call after a failure; a watch must be renewed within 200 ms
# An answer with an older generation than we have is rejected, and the call is repeated after this time.
OUTDATED_RETRY_MS = 250.0
# Once discovery has given only such answers for this long, it was restarted and counts generations anew.
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
        self.conn: Connection | None = None
        self.reader = http.ResponseReader()
        self.timer: Deadline | None = None  # timeout of the call, or time of the next one
        self.has_answered = False  # discovery has answered since the start
        self.verified = False  # discovery has answered since the last failure
        self.began_at = loop.clock.now()
        self.answered_at: float | None = None  # when the list was last known to be up to date
        self.failures = 0  # consecutive failed calls
        self.newest_generation: int | None = None  # the latest one received
        self.outdated_since: float | None = None  # since when only older generations are received
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
        self.newest_generation = self.outdated_since = None
        self.verified = False
        self.loop.deadlines.drop(self.timer)
        if self.conn is not None:
            self.conn.close()
        self.conn = None
        self.call()

    @property
    def list_age_ms(self) -> float:
        """Time in ms since the list was last known to be up to date, or since the start if it never was."""
        last = self.began_at if self.answered_at is None else self.answered_at
        return self.loop.clock.now() - last

    def note_failure(self, reason: str) -> None:
        """Count a failed call; the first one in a row is logged."""
        self.core.counters.add(f"in.discovery_{reason}")
        self.failures += 1
        if self.failures == 1:
            fields = {"reason": reason, "generation": self.generation,
                      "list_age_ms": round(self.list_age_ms),
                      "held_back": len(self.core.module.list_validity.held_back)}  # fmt: skip
            logger.warning("discovery does not tell the list", extra=fields)

    def note_answer(self, generation: int) -> None:
        """Note that the list is up to date; this is logged after failed calls."""
        if self.failures:
            fields = {"generation": generation, "failed_calls": self.failures,
                      "list_age_ms": round(self.list_age_ms)}  # fmt: skip
            logger.info("discovery tells the list", extra=fields)
        self.answered_at, self.failures = self.loop.clock.now(), 0

    def watch(self) -> None:
        """Begin a watch now, as the decisions want; a call that is in progress goes on."""
        if self.conn is None:
            self.call()

    def call(self) -> None:
        """Send the next call: a watch if the list is up to date, else one that is answered immediately."""
        self.wall.sample()
        target = b"/catalog/members"
        wait_ms = 0.0
        if self.generation is not None:
            # A call that does not wait shows soonest whether discovery answers; the stored list is not used
            # before. On request each call costs the service capacity: there, calls after that are watches.
            is_watch = self.verified or (self.on_request and self.has_answered)
            wait_ms = float(WATCH_WAIT_MS) if is_watch else 0.0
            target += b"?after=%d&wait_ms=%d" % (self.generation, wait_ms)
        if self.conn is None:
            self.conn = self.loop.connect(self.server_address)
            if self.conn is None:
                self.note_failure("not_connected")
                self.handle_failure()
                return
            self.reader = http.ResponseReader(MAX_LIST_BYTES)
            self.conn.on_data, self.conn.on_end = self.on_data, self.on_end
        # A busy service on request may take long for any call.
        timeout_ms = (WATCH_WAIT_MS if self.on_request else wait_ms) + SILENCE_TIMEOUT_MS
        self.timer = self.loop.deadlines.set(self.loop.clock.now() + timeout_ms, self.on_timeout)
        host = f"Host: {self.server_address[0]}:{self.server_address[1]}"
        self.conn.write(http.request("GET", target, (host,)))

    def on_timeout(self) -> None:
        """The call was not answered in time."""
        self.note_failure("silent")
        self.handle_failure()

    def on_end(self) -> None:
        """The connection was closed or lost; this completes an answer without Content-Length."""
        last = self.reader.message_at_eof()
        if last is not None:
            self.handle_answers([last])
            return
        self.note_failure("closed")
        self.handle_failure()

    def handle_failure(self, retry_ms: float = RETRY_MS) -> None:
        """Call again after a failure, on a new connection; on request the decisions say when."""
        self.verified = False
        self.loop.deadlines.drop(self.timer)
        if self.conn is not None:
            self.conn.close()
            self.reader.release()
        self.conn = None
        if self.on_request:
            self.core.apply_worker_list(self.link, api.ListKind.FAILED, (), by_discovery=True)
            return
        self.timer = self.loop.deadlines.set(self.loop.clock.now() + retry_ms, self.call)

    def on_data(self, data: bytes) -> None:
        """Handle the answers that received data completes."""
        try:
            messages = self.reader.feed(data)
        except http.BadMessage:
            self.reject_answer()
            return
        self.handle_answers(messages)

    def reject_answer(self) -> None:
        """The answer is not valid HTTP, not JSON or not a list: fetch the whole list next."""
        self.note_failure("bad")
        self.generation = None
        self.handle_failure()

    def handle_answers(self, messages: list[http.Message]) -> None:
        """Handle answers in order, until one of them ends their connection."""
        conn = self.conn
        try:
            for message in messages:
                if self.conn is conn:  # else an earlier answer has closed it
                    self.handle_answer(message)
        except (ValueError, TypeError):  # not JSON, or not a list
            self.reject_answer()

    def handle_answer(self, message: http.Message) -> None:
        """Apply one answer and call again. Raises `ValueError` or `TypeError` if it is not a list."""
        if message.status != 200:
            if message.status < 500:
                # It may not accept our generation (5xx means overload): fetch the whole list.
                self.generation = None
            self.note_failure("refused")
            self.handle_failure()
            return
        check_shape(message.body)
        generation, whole, entries = read_list(orjson.loads(message.body))
        if self.is_outdated(generation):
            self.note_failure("older")
            self.handle_failure(OUTDATED_RETRY_MS)
            return
        if self.generation is None and not whole:
            self.note_failure("incomplete")
            self.handle_failure()
            return
        if generation < (self.newest_generation or 0) and not whole:
            # Discovery was restarted and counts from a lower generation: its changes alone are not enough.
            self.generation = None
            self.handle_failure()
            return
        self.core.counters.add("in.lists")
        self.note_answer(generation)
        self.generation = self.newest_generation = generation
        self.outdated_since = None
        self.has_answered = self.verified = True
        if whole or entries or self.on_request:  # on request an empty answer shows that the watch is active
            kind = api.ListKind.COMPLETE if whole else api.ListKind.CHANGES
            self.core.apply_worker_list(
                self.link, kind, self.with_local_start_times(entries, whole), by_discovery=True
            )
        self.loop.deadlines.drop(self.timer)
        if not message.keep_alive and self.conn is not None:
            self.conn.close()
            self.conn = None
        self.call()

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

    def is_outdated(self, generation: int) -> bool:
        """Return whether an answer of this generation is older than our list and must not be applied.

        Applied, it could put a draining worker back in service. Older generations are accepted only when
        discovery has sent nothing else for OUTDATED_REJECT_MS.
        """
        if self.newest_generation is None or generation >= self.newest_generation:
            return False
        now = self.loop.clock.now()
        if self.outdated_since is None:
            self.outdated_since = now
        return now - self.outdated_since < OUTDATED_REJECT_MS
