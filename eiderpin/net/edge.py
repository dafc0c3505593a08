"""The HTTP front end: client connections, `/_health` and the workers' callbacks.

It passes requests to the dispatcher and answers back to the clients; it takes no scheduling decisions.
"""

from __future__ import annotations

import math
import socket
from collections import deque
from collections.abc import Callable
from enum import IntEnum

from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher, RequestIdInUseError
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.requests import Answer, Request, Verdict
from eiderpin.core.slot_table import SlotTable
from eiderpin.net import arrival, http
from eiderpin.net.connection import READ, Connection
from eiderpin.net.job_request import make_request
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop
from eiderpin.net.room import EvictionQueues, EvictionTier
from eiderpin.net.turn_order import TurnClass
from eiderpin.policy.memory_budget import HoldingKind, MemoryBudget

SWEEP_INTERVAL_MS = 5000.0  # between checks for connections that have been idle or unread for too long
IDLE_TIMEOUT_MS = 120_000.0  # for a connection without a request
UNREAD_ANSWER_TIMEOUT_MS = 15_000.0  # for a client that reads nothing of its answer
# A request must be received completely within this time, counted from the connection or from its first byte.
# Slow clients take over 2 s, and a client that never completes its request must get an error within 3 s.
REQUEST_TIMEOUT_MS = 2850.0
# After an error, clients that do not close are closed so much later while there are many connections.
CROWDED_CLOSE_DELAY_MS = 1000.0
NO_REQUEST = Request("", "", b"", b"", 0.0)
MAX_PIPELINED_REQUESTS = 8  # on one connection
DRAIN_INTERVAL_MS = 200.0  # between checks for idle connections while clients are drained
FIRST_REQUEST_GRACE_MS = 500.0  # for the first request of a new connection to begin while clients are drained
# While clients are drained, a request that is still incomplete after this time is rejected. The time counts
# from the first check for idle connections.
PARTIAL_REQUEST_GRACE_MS = 1400.0


class DrainScope(IntEnum):
    """Which connections are drained: their answers carry `Connection: close`, and idle ones are closed."""

    NONE = 0
    CLIENTS = 1
    ALL = 2  # also those that carry workers' callbacks


class ClientConnection:
    """A connection to the HTTP front end, of a client or of a worker that sends callbacks."""

    __slots__ = (
        "front", "conn", "reader", "pipelined", "request", "last_activity", "number", "keep_alive", "busy",
        "answered", "request_timeout", "carried_work", "last_was_callback", "eviction_tier",
        "is_parked", "parked_class",
    )  # fmt: skip

    def __init__(self, front: HttpFront, conn: Connection) -> None:
        self.front = front
        self.conn = conn
        self.number = -1
        self.answered = False  # it has had an answer, so it may be idle between requests
        self.carried_work = False  # it has carried a job or a callback, and may carry more
        self.last_was_callback = False  # rather than a job
        conn.service.turn_class = TurnClass.NEW
        self.reader = http.RequestReader()
        self.pipelined: deque[http.Message] = deque()  # requests that wait for the answer of the one before
        self.request: Request | None = None
        self.busy = False  # a request is being served
        self.is_parked = False  # nothing more is read, and it is closed at the request timeout
        self.parked_class: str | None = None  # of a request that is rejected before that
        self.keep_alive = True
        self.last_activity = front.loop.clock.now()
        # The timeout is not extended as parts of a request are received, so that a client cannot hold a
        # connection by sending slowly.
        self.request_timeout: Deadline | None = None
        self.start_request_timeout()
        conn.on_data, conn.on_end, conn.on_closed = self.handle_data, self.handle_eof, self.handle_close
        self.eviction_tier: EvictionTier | None = None
        conn.on_flushed = self.handle_flushed
        self.update_eviction_tier()

    def update_eviction_tier(self) -> None:
        """Record whether this connection may be closed to make room, and how early."""
        tier: EvictionTier | None = None
        if self.conn.closed or self.busy or self.pipelined:
            tier = None
        elif self.conn.closing or self.is_parked:
            tier = EvictionTier.REJECTED
        elif not self.conn.unsent:
            if not self.reader.idle:
                tier = EvictionTier.PARTIAL
            elif self.carried_work:
                tier = EvictionTier.KEPT_ALIVE
            else:
                tier = EvictionTier.ANSWERED if self.answered else EvictionTier.SILENT
        self.front.eviction_queues.move(self, tier)

    @property
    def idle(self) -> bool:
        """Whether no request is being received or served, and no answer is being sent."""
        return not self.busy and not self.pipelined and self.reader.idle and not self.conn.unsent

    @property
    def is_draining(self) -> bool:
        """Whether this connection belongs to those that are drained now."""
        return self.front.drain_scope > (DrainScope.CLIENTS if self.last_was_callback else DrainScope.NONE)

    @property
    def held_bytes(self) -> int:
        """Memory that its requests and unread answers take."""
        body = self.request.size if self.request is not None else 0
        ahead = sum(message.size for message in self.pipelined)
        return self.reader.buffered_bytes + body + ahead + len(self.conn.unsent)

    @property
    def holding_kind(self) -> HoldingKind | None:
        """Why its memory may be taken away; None if it is all needed for the request that is being served."""
        if self.conn.closing:
            return HoldingKind.CLOSING
        if self.conn.unsent:
            return HoldingKind.UNREAD
        if self.busy:
            return HoldingKind.WAITING_BEHIND if self.pipelined or not self.reader.idle else None
        return HoldingKind.PARTIAL

    def start_request_timeout(self, ms: float = REQUEST_TIMEOUT_MS) -> None:
        """Start, or restart, the timeout by which a request must be received completely."""
        deadlines = self.front.loop.deadlines
        deadlines.drop(self.request_timeout)
        self.request_timeout = deadlines.set(self.front.loop.clock.now() + ms, self.handle_request_timeout)

    def cancel_request_timeout(self) -> None:
        """Cancel the timeout for receiving a request."""
        self.front.loop.deadlines.drop(self.request_timeout)
        self.request_timeout = None

    def handle_request_timeout(self) -> None:
        """Reject a request that was not received in time. A client that sent nothing gets no answer."""
        if self.is_parked:
            if self.parked_class is not None:
                self.reject(self.parked_class)
            self.close()
        elif self.busy:  # an incomplete request was pipelined behind the one being served
            self.keep_alive = False
        elif self.reader.idle:
            self.front.counters.add("in.silent")
            self.close()
        else:
            self.reject_invalid(408, "the request did not come whole")

    def reject_invalid(self, status: int, text: str) -> None:
        """Answer invalid input with an error, ignore what follows it, and close."""
        self.front.counters.add(f"in.bad.{status}")
        self.abandon_request()
        self.stop_parsing()
        self.conn.write(http.response(status, text.encode() + b"\n", close=True))
        if self.front.is_crowded and not self.conn.unsent and not self.conn.closed:
            self.start_request_timeout(CROWDED_CLOSE_DELAY_MS)
            self.park(None)
        else:
            self.close()

    def handle_data(self, data: bytes) -> None:
        """Parse received bytes, and serve the requests that they complete."""
        self.last_activity = self.front.loop.clock.now()
        self.receive(data)
        self.conn.backlog_wait_ms = 0.0
        self.update_eviction_tier()

    def arrival_time(self) -> float:
        """When the bytes that were just read arrived, in ms on the loop's clock. The connection may not have
        been accepted yet at that time."""
        age = arrival.data_age(self.conn.sock)
        return self.last_activity - (self.conn.backlog_wait_ms if age is None else age)

    def receive(self, data: bytes) -> None:
        """Parse received bytes, check the limits, and serve the next request if none is being served."""
        try:
            completed = self.reader.feed(data)
        except http.BadMessage as error:
            self.reject_invalid(error.status, str(error))
            return
        if completed:
            received_at = self.arrival_time()
            for message in completed:
                message.received_at = received_at
            self.pipelined.extend(completed)
        if self.reader.idle:
            self.cancel_request_timeout()
        elif completed or self.request_timeout is None:
            self.start_request_timeout()
        if not self.front.account_memory(self):
            self.front.counters.add("in.over_memory")
            self.stop_receiving()
            return
        if self.conn.closed:
            return
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            if not self.pipelined and not self.busy:
                self.conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self.pipelined) > MAX_PIPELINED_REQUESTS:
            self.reject_invalid(400, "too much is sent ahead")
            return
        self.serve_next()

    def handle_flushed(self) -> None:
        """All answers so far have been taken by the client's side: serve what waits behind them."""
        self.front.account_memory(self)
        if not self.conn.closing:
            self.serve_next()
        self.update_eviction_tier()

    def serve_next(self) -> None:
        """Serve the pipelined requests in order, up to the first that must wait for its answer, or for the
        client to read the one before."""
        while self.pipelined and not self.busy and not self.conn.closed and not self.conn.unsent:
            message = self.pipelined.popleft()
            self.busy, self.keep_alive = True, message.keep_alive
            self.front.serve(self, message)

    def reply(self, status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> None:
        """Send the answer to the request that is being served, and then serve the next one or close."""
        self.busy, self.answered = False, True
        if self.carried_work:
            self.conn.service.turn_class = TurnClass.KEPT
        self.set_request(None)
        if self.conn.closed or self.conn.closing:
            return
        self.last_activity = self.front.loop.clock.now()
        # A client with a wrong request must not keep a descriptor.
        client_error = 400 <= status < 500
        # Requests that have been read behind this one must be answered, too.
        keep = self.keep_alive and not client_error and (not self.is_draining or bool(self.pipelined))
        if not keep:
            self.pipelined.clear()
        self.conn.write(http.response(status, body, headers, close=not keep))
        if not keep:
            self.close()
            return
        self.front.account_memory(self)
        self.update_eviction_tier()

    def set_request(self, request: Request | None) -> None:
        """Set the request whose answer this connection waits for; None if there is none."""
        self.front.jobs += (request is not None) - (self.request is not None)
        self.request = request
        self.conn.peer_is_waiting = request is not None

    def is_transferable(self, request: Request) -> bool:
        """Whether this connection waits for `request` and has nothing else received or unsent."""
        if self.request is not request or self.conn.closing:
            return False
        return self.reader.idle and not self.pipelined and not self.conn.unsent

    def stop_receiving(self) -> None:
        """Ignore further input, and drop the pipelined requests. A request that is being served is still
        answered, since its job may have run by now; if there is none, the next one is rejected."""
        target = self.received_target
        self.stop_parsing()
        self.keep_alive = False
        if not self.busy:
            self.reject(self.front.class_of(target))

    def stop_parsing(self) -> None:
        """Ignore further input, and drop what has been received and is not served yet."""
        self.conn.on_data = _discard
        self.pipelined.clear()
        self.reader.release()
        self.front.account_memory(self)

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Drop what takes memory here and is not needed for a request that is being served."""
        self.front.counters.add(f"in.shed.{kind.name.lower()}")
        if kind is HoldingKind.WAITING_BEHIND:
            self.stop_receiving()
            return
        if kind is HoldingKind.PARTIAL:
            self.park(self.front.class_of(self.received_target))
            return
        self.conn.close_and_notify()

    @property
    def received_target(self) -> bytes:
        """The target of the next request to serve, as far as it has been received."""
        return self.pipelined[0].target if self.pipelined else self.reader.target

    def park(self, cls: str | None) -> None:
        """Drop what has been received, and read no more until the request timeout.

        Then a request of the class `cls` is rejected, and the connection is closed. A client that learned of
        the end at once would connect again and send the same at once.
        """
        self.is_parked, self.parked_class = True, cls
        self.conn.pause_reading()
        self.stop_parsing()
        self.last_activity = self.front.loop.clock.now()
        self.update_eviction_tier()

    def reject(self, cls: str) -> None:
        """Reject a job for lack of capacity, before anything of it is sent to a worker."""
        if cls in self.front.core.classes:
            self.front.core.count_answer(cls, Verdict.REJECTED)
        self.keep_alive, self.busy = False, True
        self.answer(NO_REQUEST, self.front.core.rejection(math.inf))

    # What the dispatcher calls with the outcome of a request.

    def answer(self, request: Request, answer: Answer) -> None:
        """Send the final answer to a request."""
        if answer.verdict is Verdict.SERVED:
            self.reply(200, answer.result)
        elif answer.verdict is Verdict.REJECTED:
            retry_after = () if answer.wait is None else (f"Retry-After: {answer.wait / 1000:.3f}",)
            self.reply(503, b"turned down\n", retry_after)
        else:
            self.reply(500, b"failed\n")

    def progress(self, request: Request, share: float) -> None:
        """Do nothing: HTTP clients get only the final answer."""

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None:
        """Do nothing: an HTTP answer carries no partial data."""

    def has_left(self) -> bool:
        """Whether the client has closed its side, even if that has not been handled yet."""
        return self.conn.closed or self.conn.has_ended()

    # The end of the connection.

    def abandon_request(self) -> None:
        """Tell the dispatcher that the client no longer waits for its request."""
        request = self.request
        self.set_request(None)
        if request is not None and request.single_use_id:
            self.front.core.leave(request, self)
        elif request is not None:
            self.front.core.detach(request, self)

    def handle_eof(self) -> None:
        """The client has closed its side: abandon its request."""
        self.abandon_request()

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        self.cancel_request_timeout()
        self.conn.close_when_sent()
        if not self.conn.closed:
            self.stop_parsing()
        self.update_eviction_tier()

    def handle_close(self) -> None:
        """Release what belongs to the connection: its descriptor is closed, or another process has it."""
        self.cancel_request_timeout()
        self.pipelined.clear()
        self.reader.release()
        self.update_eviction_tier()
        self.front.remove_connection(self)


class HttpFront:
    """Accepts the connections of clients and of workers that send callbacks, and serves their requests."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        listen_on: tuple[str, int] | socket.socket,
        on_callback: Callable[[bytes, Callable[[int], None]], None],
        health: Callable[[], str],
        max_connections: int,
        extra_connections: int,
        memory: MemoryBudget,
        accepting: bool = True,
    ) -> None:
        """`listen_on` is an address or a listening socket. `on_callback` gets the body of a worker's
        callback and a function that answers it with a status; `health` returns the state that `/_health`
        reports. With `accepting` False nothing is accepted until the listener is started."""
        self.loop, self.core, self.counters = loop, core, core.counters
        self.on_callback, self.health = on_callback, health
        self.max_connections = max_connections  # that may wait for a job's answer
        self.extra_connections = (
            extra_connections  # beyond those, for callbacks and clients that have sent no job
        )
        self.memory = memory
        self.jobs = 0  # connections that wait for a request's answer
        self.eviction_queues: EvictionQueues[ClientConnection] = EvictionQueues()
        self.drain_scope = DrainScope.NONE
        self.drain_at = math.inf  # when the first check for idle connections is, or was
        self.drain_timer: Deadline | None = None
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.listener = Listener(loop, listen_on, self.accept_connection, self.make_room, accepting)
        loop.deadlines.set(loop.clock.now() + SWEEP_INTERVAL_MS, self.sweep)

    def accept_connection(self, conn: Connection) -> None:
        """Add a new connection. If there are too many, close others or accept no more for a while."""
        self.counters.add("in.edge_connections")
        if self.listener.is_flooded and conn.has_ended():
            # Its client has gone: nothing that it has sent may begin, and reading it would delay others.
            self.counters.add("in.left_unread")
            conn.close()
            return
        connection = ClientConnection(self, conn)
        connection.number = self.connections.add(connection)
        if len(self.connections) >= self.max_connections + self.extra_connections // 2:
            self.make_room()
        if len(self.connections) >= self.max_connections + self.extra_connections:
            # Further connections would take descriptors that the worker side needs; they wait in the backlog.
            self.listener.suspend()

    @property
    def is_crowded(self) -> bool:
        """Whether over half of the connections that may wait for jobs are open."""
        return len(self.connections) > self.max_connections // 2

    def make_room(self) -> bool:
        """Close connections in the order of their eviction tiers, no more than needed, and a kept-alive one
        only if the limit is reached. Returns whether a new connection can be accepted now."""
        now = self.loop.clock.now()
        is_full = len(self.connections) >= self.max_connections + self.extra_connections
        while len(self.connections) >= self.max_connections + self.extra_connections // 2:
            connection = self.eviction_queues.next_candidate(now)
            # Clients that send slowly, or go on after an error, may take all connections: then those that
            # wait to be accepted go first.
            is_slow = connection is None and is_full
            if is_slow:
                connection = self.eviction_queues.least_active(_has_sent_all)
            if connection is None or (
                connection.eviction_tier is EvictionTier.KEPT_ALIVE
                and len(self.connections) < self.max_connections + self.extra_connections
            ):
                break
            may_continue = connection.conn.reading and not connection.conn.closing and not is_slow
            if may_continue and connection.conn.has_input():
                connection.last_activity = now  # its input is about to be read
                connection.update_eviction_tier()
                continue
            self.counters.add("in.made_room")
            connection.conn.close()
        return len(self.connections) < self.max_connections + self.extra_connections

    def transferable_connection(self, request: Request) -> ClientConnection | None:
        """The connection that waits for `request`, if it can be transferred to another process with it."""
        waiter = request.waiters[0] if len(request.waiters) == 1 else None
        return waiter if isinstance(waiter, ClientConnection) and waiter.is_transferable(request) else None

    def adopt(self, sock: socket.socket) -> ClientConnection:
        """Add a client's connection that another process has transferred together with its request."""
        connection = ClientConnection(self, Connection(self.loop, sock, False))
        connection.number = self.connections.add(connection)
        connection.cancel_request_timeout()
        connection.busy = connection.answered = connection.carried_work = True
        connection.update_eviction_tier()
        return connection

    def remove_connection(self, connection: ClientConnection) -> None:
        """Forget a closed connection, and the memory that it held."""
        self.connections.remove(connection.number)
        self.memory.remove(connection)

    def account_memory(self, connection: ClientConnection) -> bool:
        """Update how much memory a connection holds, and take memory from others if there is too little.

        Returns False if the connection has grown and there is still too little.
        """
        if connection.conn.closed:
            return True
        grown = self.memory.update(connection, connection.held_bytes, connection.holding_kind)
        return not grown or self.memory.make_room(exempt=connection)

    def sweep(self) -> None:
        """Close connections that have been idle, or whose answer has been unread, for too long."""
        now = self.loop.clock.now()
        for connection in self.connections.all():
            if (
                connection.conn.unsent
                and not connection.conn.closing
                and now - connection.last_activity > UNREAD_ANSWER_TIMEOUT_MS
            ):
                connection.conn.close()
                connection.handle_eof()
            elif (
                connection.idle
                and now - connection.last_activity > IDLE_TIMEOUT_MS
                and not connection.conn.has_input()
            ):
                connection.close()
        self.loop.deadlines.set(now + SWEEP_INTERVAL_MS, self.sweep)

    def drain_connections(self, scope: DrainScope, after: float) -> None:
        """Stop keep-alive on the connections in `scope`, and from `after` ms on close the idle ones. The
        listener stays open, for callbacks and for what a balancer still sends."""
        if scope is self.drain_scope:
            return
        self.drain_scope = scope
        if scope is DrainScope.NONE:
            self.loop.deadlines.drop(self.drain_timer)
            self.drain_at = math.inf
        else:
            self.drain_at = min(self.drain_at, self.loop.clock.now() + after)
            self.close_idle()

    def close_idle(self, at_once: bool = False) -> None:
        """Close the idle connections among those that are drained, and reject requests that stay incomplete
        for too long. A request that arrives at the same moment is not accepted, so its sender can safely send
        it again elsewhere. `at_once`: also close new connections whose first request may be on its way."""
        now = self.loop.clock.now()
        self.loop.deadlines.drop(self.drain_timer)
        rejects_partial = (
            self.drain_scope is DrainScope.CLIENTS and now >= self.drain_at + PARTIAL_REQUEST_GRACE_MS
        )
        if now >= self.drain_at:
            for connection in self.connections.all():
                if not connection.is_draining or connection.conn.closing or connection.conn.has_input():
                    continue
                # The first request of a new connection may be on its way, and is answered.
                if connection.idle and (
                    at_once or connection.answered or now - connection.last_activity > FIRST_REQUEST_GRACE_MS
                ):
                    connection.close()
                elif rejects_partial and connection.eviction_tier is EvictionTier.PARTIAL:
                    connection.stop_receiving()
        self.drain_timer = self.loop.deadlines.set(
            max(now + DRAIN_INTERVAL_MS, self.drain_at), self.close_idle
        )

    def close_remaining(self, at_once: bool) -> bool:
        """Close the remaining connections once everything is answered, before the process exits. To be called
        until it returns True: none is left. Unread input is served first, and its jobs need the listener for
        their callbacks. With `at_once` nothing is served any more, and no client is waited for."""
        if at_once and self.listener.accepting:
            self.listener.ready(READ)  # clients that have connected by now get a rejection
        self.close_idle(at_once)
        for connection in self.connections.all():
            if connection.eviction_tier is EvictionTier.PARTIAL and not connection.conn.has_input():
                connection.stop_receiving()
        if at_once or all(connection.conn.closing for connection in self.connections.all()):
            self.listener.stop()
        return not len(self.connections)

    def answer_all(self) -> int:
        """Answer each request that is still being served, since the process exits; returns how many."""
        busy = [c for c in self.connections.all() if c.busy and not c.conn.closing]
        for connection in busy:
            request = connection.request
            if request is not None:
                self.core.answer_waiter(request, connection)
            else:
                connection.reply(503)
        return len(busy)

    def is_idle(self, include_partial: bool) -> bool:
        """Whether no connection waits for an answer or has one unsent; with `include_partial` also whether
        none has a request partly received."""
        return not any(
            (
                connection.busy
                or connection.pipelined
                or connection.conn.unsent
                or (include_partial and not connection.reader.idle and not connection.conn.closing)
            )
            and not connection.conn.closed
            for connection in self.connections.all()
        )

    # Requests.

    def serve(self, connection: ClientConnection, message: http.Message) -> None:
        """Answer a request, or submit its job to the dispatcher."""
        path, cls = message.path, self.class_of(message.target)
        if path == "/_health":
            if message.method not in ("GET", "HEAD"):
                connection.reply(405, headers=("Allow: GET, HEAD",))
            else:
                state = self.health()
                text = b"" if message.method == "HEAD" else state.encode() + b"\n"
                connection.reply(200 if state.startswith("up") else 503, text)
        elif path == "/_jobs/news":
            if message.method != "POST":
                connection.reply(405, headers=("Allow: POST",))
            else:
                connection.carried_work = connection.last_was_callback = True
                self.on_callback(message.body, connection.reply)
        elif cls in self.core.classes:
            if message.method != "POST":
                connection.reply(405, headers=("Allow: POST",))
            else:
                self.submit_job(connection, cls, message)
        else:
            connection.reply(404, b"no such path\n")

    @staticmethod
    def class_of(target: bytes) -> str:
        """The first segment of a path, which names a job's class; empty if there is none."""
        segments = target.split(b"?", 1)[0].decode("latin-1").split("/", 2)
        return segments[1] if len(segments) > 1 and not segments[0] else ""

    def submit_job(self, connection: ClientConnection, cls: str, message: http.Message) -> None:
        """Submit a job to the dispatcher, or answer at once why it is not accepted."""
        try:
            default = self.core.classes[cls].deadline
            request = make_request(cls, message, message.received_at, default, self.core.is_durable(cls))
            if self.jobs >= self.max_connections:
                self.counters.add("in.over_connections")
                connection.reject(cls)
                return
            joined = self.core.submit(request, connection)
        except ValueError as error:
            self.counters.add("in.bad.400")
            connection.reply(400, f"{error}\n".encode())
            return
        except RequestIdInUseError:
            self.counters.add("in.bad.409")
            connection.reply(409, b"this Req-Id is another request's\n")
            return
        except JobMismatchError:
            self.counters.add("in.bad.422")
            connection.reply(422, b"this Idempotency-Key is that of a job that asked for something else\n")
            return
        connection.carried_work, connection.last_was_callback = True, False
        if connection.busy and not joined.ended:
            connection.set_request(joined)
            self.account_memory(connection)


def _has_sent_all(connection: ClientConnection) -> bool:
    """Whether the kernel has every answer of a connection: one that is closed earlier would lose it."""
    return not connection.conn.unsent


def _discard(data: bytes) -> None:
    """Drop received bytes that are not to be parsed."""
