"""The HTTP link to workers: pools of connections, the exchanges on them, and workers' callbacks."""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from enum import Enum
from typing import Any

import orjson

from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Endpoint
from eiderpin.net import http, reports
from eiderpin.net.connection import Connection
from eiderpin.net.loop import ConnectError, Loop
from eiderpin.policy.memory_budget import HoldingKind, MemoryBudget

KEEP_IDLE_SHARE = 0.5  # of the setting conn_idle: we close idle connections well before the worker does
# A connection that was idle for no longer is taken to be usable, whatever is between us and the worker.
SAFE_IDLE_MS = 50.0
# A reset this soon after the request was written is attributed to a stale connection.
STALE_RESET_MS = 100.0
# A stale connection shortens the time for which idle ones are reused; the limit doubles again in this time.
IDLE_LIMIT_DOUBLING_MS = 10_000.0
CALL_TIMEOUT_MS = 1000.0  # for the answer to a cancel or a probe
MAX_DEFERRED_CALLBACKS = 256  # callbacks kept until a ledger is recovered
MAX_IDLE_PER_WORKER = 64  # idle connections kept to one worker
# Of a worker's response only its status, its headers and a load report are used; results come by callback.
KEPT_BODY_BYTES = 2048


class ExchangeState(Enum):
    """State of a connection to a worker.

    It may be closed in any state. CLOSED is final: events for a closed connection are ignored.
    """

    CONNECTING = "connecting"  # an exchange waits for the connection
    SENDING = "sending"  # part of the request has not been accepted by the kernel
    AWAITING = "awaiting"  # all of the request is sent: the worker may have begun
    IDLE = "idle"  # between exchanges; the worker must not send anything
    CLOSED = "closed"


class WorkerConnection:
    """A connection to a worker. It carries one exchange at a time: an attempt, a cancel or a probe."""

    __slots__ = ("workers", "endpoint", "address", "conn", "reader", "attempt", "payload", "timeout",
                 "probe_at", "state", "idle_since", "idle_ms", "started_at")  # fmt: skip

    def __init__(self, workers: HttpWorkers, endpoint: Endpoint, conn: Connection) -> None:
        self.workers, self.endpoint, self.address, self.conn = workers, endpoint, endpoint.address, conn
        self.reader = http.ResponseReader(kept_body_bytes=KEPT_BODY_BYTES)
        self.attempt: Attempt | None = None
        self.payload = b""
        self.probe_at: float | None = None
        self.state = ExchangeState.CONNECTING
        self.timeout: Deadline | None = None
        self.idle_since = self.started_at = 0.0
        self.idle_ms = 0.0  # for how long it was idle before this exchange
        conn.on_open, conn.on_data, conn.on_end = self.on_open, self.on_data, self.on_end
        conn.on_writable = self.on_writable

    def begin(self, payload: bytes, attempt: Attempt | None) -> None:
        """Begin an exchange: send `payload`, or the job of `attempt`, as soon as the connection is up."""
        self.started_at = self.workers.loop.clock.now()
        self.idle_ms = self.started_at - self.idle_since if self.idle_since else 0.0
        self.payload, self.attempt = payload, attempt
        if attempt is not None:
            attempt.handle = self
        if self.conn.connecting:
            self.set_timeout(self.workers.core.settings.connect_timeout)
        else:
            self.on_open()

    def on_open(self) -> None:
        """Send the request: the connection is up."""
        self.clear_timeout()
        self.state = ExchangeState.SENDING
        if self.attempt is None:
            self.set_timeout(CALL_TIMEOUT_MS)
        self.send_request()

    def set_timeout(self, ms: float) -> None:
        """Fail the exchange unless it is over in `ms`; replaces an earlier timeout."""
        self.clear_timeout()
        loop = self.workers.loop
        self.timeout = loop.deadlines.set(loop.clock.now() + ms, self.fail)

    def send_request(self) -> None:
        """Write the request, unless its attempt may not begin any more: connecting may have taken long."""
        attempt, core = self.attempt, self.workers.core
        if attempt is not None and not core.may_begin(attempt):
            core.ended(attempt, api.Outcome.NOT_SENT)
            self.finish(True)
            return
        if attempt is not None:
            self.payload = self.workers.job_request(attempt)
        self.conn.on_flushed = self.on_flushed
        payload, self.payload = self.payload, b""
        self.conn.write(payload)
        if self.conn.unsent:
            self.workers.account_memory(self)

    def on_writable(self) -> None:
        """Withhold the rest of the request if all of its clients have left meanwhile.

        A worker begins a job at the last byte of the request, so this job does not run.
        """
        attempt, core = self.attempt, self.workers.core
        if (
            self.state is ExchangeState.SENDING
            and attempt is not None
            and core.all_waiters_left(attempt.request)
        ):
            self.close()
            core.ended(attempt, api.Outcome.NOT_SENT)

    def on_flushed(self) -> None:
        """Note that the whole request has been sent."""
        if self.state is not ExchangeState.SENDING:
            return
        self.state = ExchangeState.AWAITING
        self.workers.account_memory(self)
        if self.attempt is not None:
            self.workers.core.written(self.attempt)

    def on_data(self, data: bytes) -> None:
        """Handle the responses that received data completes."""
        if self.state is ExchangeState.IDLE:
            self.close_unsolicited()
            return
        try:
            messages = self.reader.feed(data)
        except http.BadMessage:
            self.workers.core.counters.add("in.worker_bad")
            self.fail()
            return
        for message in messages:
            self.handle_response(message)
        if not self.workers.account_memory(self):
            self.fail()

    @property
    def held_bytes(self) -> int:
        """Memory that a request which the worker does not read, and its incomplete response, take."""
        return len(self.conn.unsent) + self.reader.buffered_bytes

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Fail the exchange: the worker does not complete its response, and the memory is needed."""
        self.workers.core.counters.add("out.shed")
        self.fail()

    def close_unsolicited(self) -> None:
        """Close the connection: the worker sent something that was not asked for.

        Whether it is complete or not, it could be mistaken for the answer to the next request.
        """
        self.workers.core.counters.add("in.worker_unasked")
        self.close()

    def handle_response(self, message: http.Message) -> None:
        """Take the response to the current exchange: a probe's report, or an attempt's first answer."""
        core, attempt = self.workers.core, self.attempt
        if self.state is ExchangeState.CLOSED:
            return
        if self.state is ExchangeState.IDLE:
            self.close_unsolicited()  # a second response directly after the first
            return
        if self.probe_at is not None:
            ok = message.status == 200
            names = core.settings.report_names
            report = reports.parse_body(message.body, names) if ok and message.body else None
            core.probed(self.endpoint, ok, core.clock.now() - self.probe_at, report)
        elif attempt is not None:
            if message.status == 202:
                attempt.accepted = True
            elif message.status in (503, 504) and message.headers.get("srv-declined") == "1":
                core.ended(attempt, api.Outcome.REJECTED, report=self.load_report(message))
            else:
                core.counters.add(f"out.status.{message.status}")
                core.ended(attempt, api.Outcome.ERROR, report=self.load_report(message))
        self.finish(message.keep_alive and self.state is ExchangeState.AWAITING and self.reader.idle)

    def load_report(self, message: http.Message) -> api.Report | None:
        """Return the load report in the header of a response, if there is one."""
        text = message.headers.get("srv-load")
        return None if text is None else reports.parse_text(text, self.workers.core.settings.report_names)

    def finish(self, keep: bool) -> None:
        """End the exchange; keep the connection for others if `keep` is set and it is still open."""
        self.clear_timeout()
        self.attempt, self.probe_at = None, None
        if keep and not self.conn.closed:
            self.state = ExchangeState.IDLE
            self.workers.keep_idle(self)
        else:
            self.close()

    def on_end(self) -> None:
        """The worker has closed the connection: this completes a response without Content-Length."""
        last = self.reader.message_at_eof() if self.state is ExchangeState.AWAITING else None
        if last is not None:
            self.handle_response(last)
        else:
            self.fail()

    def fail(self) -> None:
        """End the exchange: the connection was refused or lost, closed by the worker, or timed out.

        Nothing is sent again here. The decisions say whether to retry, by how much had been sent.
        """
        if self.state is ExchangeState.CLOSED:
            return
        attempt, core = self.attempt, self.workers.core
        if attempt is not None:
            stale = self.idle_ms > 0 and core.clock.now() < self.started_at + STALE_RESET_MS
            if stale:
                self.workers.note_stale(self.idle_ms)
            never_sent = self.state in (ExchangeState.CONNECTING, ExchangeState.SENDING)
            outcome = api.Outcome.NOT_CONNECTED if never_sent else api.Outcome.RESET
            core.ended(attempt, outcome, stale=stale)
        elif self.probe_at is not None:
            core.probed(self.endpoint, False, core.clock.now() - self.probe_at)
        self.close()

    def close(self) -> None:
        """Close the connection. The caller has reported the end of its exchange, if that is still wanted."""
        if self.state is ExchangeState.CLOSED:
            return
        self.state = ExchangeState.CLOSED
        self.clear_timeout()
        self.attempt, self.probe_at = None, None
        self.conn.close()
        self.reader.release()
        self.workers.forget(self)

    def limit_response_time(self) -> None:
        """Bound the wait for the response to an attempt that a callback has already ended."""
        self.set_timeout(CALL_TIMEOUT_MS)

    def clear_timeout(self) -> None:
        """Cancel the timeout of the exchange."""
        self.workers.loop.deadlines.drop(self.timeout)
        self.timeout = None


class HttpWorkers:
    """The link to the platform's HTTP workers: sends attempts, cancels and probes, takes callbacks.

    `host` is sent as the Host header; `max_connections` bounds the number of open connections.
    """

    def __init__(
        self, loop: Loop, core: Dispatcher, host: str, max_connections: int, memory: MemoryBudget
    ) -> None:
        self.loop, self.core, self.memory = loop, core, memory
        self.host = host
        self.probe_target = b"/_load" if core.settings.reports_in_probes else b"/ping"
        self.max_connections = max_connections
        self.open: set[WorkerConnection] = set()
        self.idle: dict[str, list[WorkerConnection]] = {}
        self._idle_limit_ms, self._stale_at = math.inf, 0.0
        # Callbacks received while a ledger is being recovered, with their replies; None: handled at once.
        self.deferred_callbacks: list[tuple[Any, Callable[[int], None]]] | None = None
        # Handles a callback for a request that is not known here.
        self.on_unknown_callback: Callable[[dict[str, Any], Callable[[int], None]], None] = (
            _acknowledge_unknown
        )

    # -- the link, as the core uses it

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its worker; its end is reported to the core."""
        # A middlebox may have forgotten an idle connection. The reset that follows a write to it would fail a
        # job that must not run twice; a new connection costs far less.
        not_repeatable = self.core.classes[attempt.request.cls].repeat is not api.Repeat.FREE
        try:
            connection = self._acquire(
                attempt.endpoint, SAFE_IDLE_MS if not_repeatable else self.idle_limit()
            )
        except ConnectError as error:
            # A shortage of this host says nothing about the worker; an address that cannot be reached does.
            self.core.ended(attempt, api.Outcome.NOT_SENT if error.is_local else api.Outcome.NOT_CONNECTED)
        else:
            connection.begin(b"", attempt)

    def job_request(self, attempt: Attempt) -> bytes:
        """Return the HTTP request for an attempt, with the time that is left to it now."""
        request = attempt.request
        left_ms = max(1, int(self.core.time_left(attempt)))
        headers: tuple[str, ...] = (
            f"Host: {self.host}", f"Req-Id: {request.wire_id}", f"Req-Deadline-Ms: {left_ms}",
        )  # fmt: skip
        if request.idempotency_key is not None:
            headers += (f"Idempotency-Key: {request.idempotency_key}",)
        return http.request("POST", request.target, headers, request.body)

    def cancel(self, attempt: Attempt) -> None:
        """Ask the worker to drop an attempt, or close the connection that it was not yet accepted on."""
        connection = attempt.handle
        if isinstance(connection, WorkerConnection) and connection.attempt is attempt:
            # Before the 202 closing the connection is the cancel; what was written can't be taken back.
            connection.close()
            return
        if connection is None and not attempt.accepted:
            return  # nothing of it has been sent
        target = b"/jobs/" + attempt.request.wire_id.encode()
        self._call(attempt.endpoint, http.request("DELETE", target, (f"Host: {self.host}",)), None)

    def probe(self, endpoint: Endpoint) -> None:
        """Ask a worker for its load or health; the result is reported to the core."""
        payload = http.request("GET", self.probe_target, (f"Host: {self.host}",))
        if not self._call(endpoint, payload, self.core.clock.now()):
            self.core.probed(endpoint, False, 0.0)

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """Close idle connections to a worker that is no longer listed or has another address now."""
        gone = endpoint.listed.state is api.WorkerState.GONE
        for connection in list(self.idle.get(endpoint.name, ())):
            if gone or connection.address != endpoint.address:
                connection.close()

    def may_transfer(self, attempt: Attempt) -> bool:
        """Return whether the attempt is accepted and its end will come by callback alone."""
        connection = attempt.handle
        tied = isinstance(connection, WorkerConnection) and connection.attempt is attempt
        return attempt.accepted and not tied

    # -- connections

    def _call(self, endpoint: Endpoint, payload: bytes, probe_at: float | None) -> bool:
        """Send a cancel, or a probe made at `probe_at`; return False if no connection could be had."""
        try:
            connection = self._acquire(endpoint, self.idle_limit())
        except ConnectError:
            return False
        connection.probe_at = probe_at
        connection.begin(payload, None)
        return True

    def idle_limit(self) -> float:
        """Return for how many ms a connection may have been idle to be used again."""
        full = KEEP_IDLE_SHARE * self.core.settings.conn_idle
        if math.isinf(self._idle_limit_ms):
            return full
        return min(
            full,
            self._idle_limit_ms * 2 ** ((self.loop.clock.now() - self._stale_at) / IDLE_LIMIT_DOUBLING_MS),
        )

    def note_stale(self, idle_ms: float) -> None:
        """A connection that had been idle for `idle_ms` was stale: lower the idle limit to half of that."""
        self.core.counters.add("out.stale")
        self._idle_limit_ms, self._stale_at = (
            max(SAFE_IDLE_MS, min(self.idle_limit(), idle_ms / 2)),
            self.loop.clock.now(),
        )

    def _acquire(self, endpoint: Endpoint, max_idle_ms: float) -> WorkerConnection:
        """Return an idle connection, or a new one that is connecting. Raises `ConnectError`."""
        idle = self.idle.get(endpoint.name, [])
        since = self.loop.clock.now() - max_idle_ms
        while idle and idle[-1].idle_since >= since:  # sorted: the last one became idle last
            connection = idle.pop()
            if connection.address == endpoint.address and _is_usable(connection.conn.sock):
                return connection
            connection.close()
        if len(self.open) >= self.max_connections:
            self._close_one_idle()
        if len(self.open) >= self.max_connections:
            raise ConnectError(errno.EMFILE)
        conn = self.loop.open_connection(endpoint.address)
        self.core.counters.add("out.worker_connections")
        connection = WorkerConnection(self, endpoint, conn)
        self.open.add(connection)
        return connection

    def _close_one_idle(self) -> None:
        """Close an idle connection to make room for a new one."""
        for idle in self.idle.values():
            if idle:
                idle[0].close()
                return

    def keep_idle(self, connection: WorkerConnection) -> None:
        """Keep a connection for later exchanges, unless it is surplus or its worker has moved."""
        idle = self.idle.setdefault(connection.endpoint.name, [])
        if connection.address != connection.endpoint.address or len(idle) >= MAX_IDLE_PER_WORKER:
            connection.close()
            return
        idle.append(connection)
        connection.idle_since = self.loop.clock.now()
        connection.timeout = self.loop.deadlines.set(
            connection.idle_since + self.idle_limit(), connection.fail
        )

    def account_memory(self, connection: WorkerConnection) -> bool:
        """Update how much memory a connection holds. Returns False if it has grown and there is too little.

        A request that is being written is not dropped: its client holds it as well.
        """
        if connection.state is ExchangeState.CLOSED:
            return True
        kind = None if connection.conn.unsent else HoldingKind.PARTIAL
        grown = self.memory.update(connection, connection.held_bytes, kind)
        return not grown or self.memory.make_room(exempt=connection)

    def forget(self, connection: WorkerConnection) -> None:
        """Drop a connection that has been closed."""
        self.memory.remove(connection)
        self.open.discard(connection)
        idle = self.idle.get(connection.endpoint.name, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.endpoint.name, None)  # the worker's name may never return

    # -- callbacks

    def parse_load(self, callback: dict[str, Any]) -> api.Report | None:
        """Return the load report in a callback, if there is one."""
        return reports.parse_fields(callback.get("load"), self.core.settings.report_names)

    def handle_callback(self, body: bytes, reply: Callable[[int], None]) -> None:
        """Handle one callback and reply with an HTTP status: 204, or 400 if it is malformed.

        Repeated and late ones are answered as well. The reply is deferred while a ledger is recovered.
        """
        try:
            callback: Any = orjson.loads(body)
            if self.defer_callback(callback, reply):
                return
            known = self.apply_callback(callback)
        except ValueError:
            reply(400)
            return
        self.reply_to_callback(callback, known, reply)

    def defer_callback(self, callback: Any, reply: Callable[[int], None]) -> bool:
        """Defer a callback while a ledger is being recovered; return whether it was deferred."""
        if self.deferred_callbacks is None or len(self.deferred_callbacks) >= MAX_DEFERRED_CALLBACKS:
            return False
        self.deferred_callbacks.append((callback, reply))
        return True

    def process_deferred_callbacks(self) -> None:
        """Handle the callbacks that were deferred while the ledger was recovered."""
        deferred, self.deferred_callbacks = self.deferred_callbacks or [], None
        for callback, reply in deferred:
            try:
                known = self.apply_callback(callback)
            except ValueError:
                reply(400)
                continue
            self.reply_to_callback(callback, known, reply)

    def reply_to_callback(self, callback: Any, known: bool, reply: Callable[[int], None]) -> None:
        """Count an applied callback and answer it, or pass it to `on_unknown_callback`."""
        state = callback["state"]
        self.core.counters.add(f"in.news.{state}" if state in CALLBACK_OUTCOMES else "in.news.other")
        if known:
            reply(204)
        else:
            self.on_unknown_callback(callback, reply)

    def apply_callback(self, callback: Any) -> bool:
        """Apply a callback to its attempt; return whether its request is known here.

        Raises `ValueError` if it is malformed.
        """
        if not isinstance(callback, dict) or not all(
            isinstance(callback.get(k), str) for k in ("id", "state")
        ):
            raise ValueError("a call-back needs an id and a state")
        state, request = callback["state"], self.core.request_of(callback["id"])
        if request is None:
            job_manager, sender = self.core.job_manager, str(callback.get("from"))
            return job_manager is not None and job_manager.handle_late_report(
                callback["id"], sender, state, _result_bytes(callback)
            )
        by_sender = [a for a in request.attempts if a.endpoint.name == callback.get("from")]
        attempt = next((a for a in reversed(by_sender) if not a.ended), None)
        if attempt is None:
            if state == "done" and by_sender:
                self.core.late_result(request, _result_bytes(callback))
        elif state == "started":
            self.core.progress(attempt, True)
        elif state == "running":
            share = callback.get("share")
            if isinstance(share, int | float) and 0 <= share <= 1:
                self.core.progress(attempt, False, float(share))
        elif state == "done":
            self.finish_attempt(attempt, api.Outcome.DONE, callback)
        elif state in CALLBACK_OUTCOMES:
            self.finish_attempt(attempt, CALLBACK_OUTCOMES[state], callback)
        return True

    def finish_attempt(self, attempt: Attempt, outcome: api.Outcome, callback: dict[str, Any]) -> None:
        """End an attempt by a callback, which may come before the 202 on its connection."""
        connection = attempt.handle
        if isinstance(connection, WorkerConnection) and connection.attempt is attempt:
            connection.limit_response_time()
        result = _result_bytes(callback) if outcome is api.Outcome.DONE else b""
        self.core.ended(attempt, outcome, result, report=self.parse_load(callback))


def _acknowledge_unknown(callback: dict[str, Any], reply: Callable[[int], None]) -> None:
    """Acknowledge a callback of an unknown request: there is no peer process that may know it."""
    reply(204)


CALLBACK_OUTCOMES = {
    "started": api.Outcome.DONE,  # this and the next two are handled separately by `apply_callback`
    "running": api.Outcome.DONE,
    "done": api.Outcome.DONE,
    "failed": api.Outcome.ERROR,
    "returned": api.Outcome.REJECTED,
    "lost": api.Outcome.RESET,
}


def _result_bytes(callback: dict[str, Any]) -> bytes:
    """Return the result in a callback: text as it is, anything else as JSON."""
    result = callback.get("result")
    if result is None:
        return b""
    return result.encode() if isinstance(result, str) else orjson.dumps(result)


def _is_usable(sock: socket.socket) -> bool:
    """Return whether an idle connection is still open and has received nothing."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False
