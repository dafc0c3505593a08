"""The platform's front: edge connections, `/_health` and the workers' call-backs. It decides nothing."""

from __future__ import annotations

import math
import re
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
from eiderpin.net.loop import READ, Connection, Listener, Loop
from eiderpin.net.room import Room, Spare

SWEEP = 5000.0  # ms between looks for edge connections that have stood too long
IDLE_LIMIT = 120_000.0  # ms
UNREAD_LIMIT = 15_000.0  # ms in which a client must take something of its answer
WHOLE_LIMIT = 2850.0  # ms, from the connection or a request's first byte, in which it must have come whole:
# slow clients take over 2 s, and who never ends one is owed an error within 3 s
NO_REQUEST = Request("", "", b"", b"", 0.0)
MOST_WAITING = 8  # requests sent ahead on one edge connection
MOST_DEADLINE = 600_000.0  # ms
# An id goes on to workers in a header and in the target of a cancel.
REQ_ID = re.compile(r"[A-Za-z0-9._~:@+=-]{1,128}")
WHOLE = re.compile(r"[0-9]{1,12}")
AWAY_EVERY = 200.0  # ms between looks for idle clients while they are sent away
ON_ITS_WAY = 500.0  # ms in which the first request of a new connection must begin while clients are sent away
HALF_SENT = 1400.0  # ms from the first such look, after which a request still half sent is turned down
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


class DrainScope(IntEnum):
    """Whom the edge sends away: their answers carry `Connection: close`, and idle they are closed."""

    NONE = 0
    CLIENTS = 1
    ALL = 2  # those who bring call-backs, too


class ClientConnection:
    """The client's side of one connection; also workers call back over such a one."""

    __slots__ = (
        "front", "conn", "reader", "waiting", "request", "last", "number", "keep", "busy", "served", "limit",
        "held", "worked", "calls_back", "spare",
    )  # fmt: skip

    def __init__(self, front: HttpFront, conn: Connection) -> None:
        self.front = front
        self.conn = conn
        self.number = -1
        self.served = False  # it has had an answer: now and then it stands between requests
        self.worked = False  # it has brought a job or a call-back, and may bring more
        self.calls_back = False  # the last that it brought was a call-back
        self.reader = http.RequestReader()
        self.waiting: deque[http.Message] = deque()
        self.request: Request | None = None
        self.busy = False  # a request is being served
        self.keep = True
        self.last = front.loop.clock.now()
        self.held = 0  # bytes of requests that wait here
        # One deadline, from the connection or a request's first byte: no trickle puts it off.
        self.limit: Deadline | None = None
        self.set_limit()
        conn.on_data, conn.on_end, conn.on_closed = self.data, self.end, self.closed
        self.spare: Spare | None = None
        conn.on_flushed = self.file
        self.file()

    def file(self) -> None:
        """Note whether it may be closed to make room, and how soon."""
        spare: Spare | None = None
        if self.conn.closed or self.busy or self.waiting:
            spare = None
        elif self.conn.closing:
            spare = Spare.REFUSED
        elif not self.conn.unsent:
            if not self.reader.idle:
                spare = Spare.HALF
            elif self.worked:
                spare = Spare.KEPT
            else:
                spare = Spare.ASKED if self.served else Spare.SILENT
        self.front.room.file(self, spare)

    @property
    def idle(self) -> bool:
        return not self.busy and not self.waiting and self.reader.idle and not self.conn.unsent

    @property
    def sent_away(self) -> bool:
        return self.front.away > (DrainScope.CLIENTS if self.calls_back else DrainScope.NONE)

    def set_limit(self) -> None:
        deadlines = self.front.loop.deadlines
        deadlines.drop(self.limit)
        self.limit = deadlines.set(self.front.loop.clock.now() + WHOLE_LIMIT, self.too_slow)

    def drop_limit(self) -> None:
        self.front.loop.deadlines.drop(self.limit)
        self.limit = None

    def too_slow(self) -> None:
        """The request has not come whole in time. To who said nothing at all nothing is said."""
        if self.busy:  # something was sent ahead of an answer, and never ended
            self.keep = False
        elif self.reader.idle:
            self.front.counters.add("in.silent")
            self.close()
        else:
            self.bad(408, "the request did not come whole")

    def bad(self, status: int, text: str) -> None:
        """What came cannot be used, and nothing after it is."""
        self.front.counters.add(f"in.bad.{status}")
        self.leave()
        self.waiting.clear()
        self.conn.write(http.response(status, text.encode() + b"\n", close=True))
        self.close()

    def data(self, data: bytes) -> None:
        self.last = self.front.loop.clock.now()
        self.take_in(data)
        self.conn.backlog_wait_ms = 0.0
        self.file()

    def came_at(self) -> float:
        """When what has just been read had come: maybe while the connection still waited to be accepted."""
        age = arrival.data_age(self.conn.sock)
        return self.last - (self.conn.backlog_wait_ms if age is None else age)

    def take_in(self, data: bytes) -> None:
        try:
            came = self.reader.feed(data)
        except http.BadMessage as error:
            self.bad(error.status, str(error))
            return
        if came:
            came_at = self.came_at()
            for message in came:
                message.came_at = came_at
            self.waiting.extend(came)
        if self.reader.idle:
            self.drop_limit()
        elif came or self.limit is None:
            self.set_limit()
        if not self.front.account_memory(self):
            self.front.counters.add("in.over_memory")
            self.refuse_more()
            return
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            if not self.waiting and not self.busy:
                self.conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self.waiting) > MOST_WAITING:
            self.bad(400, "too much is sent ahead")
            return
        self.next()

    def next(self) -> None:
        while self.waiting and not self.busy and not self.conn.closed:
            message = self.waiting.popleft()
            self.busy, self.keep = True, message.keep_alive
            self.front.serve(self, message)

    def reply(self, status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> None:
        self.busy, self.served = False, True
        self.set_request(None)
        if self.conn.closed or self.conn.closing:
            return
        self.last = self.front.loop.clock.now()
        # Who asks for what there is not is left no descriptor to stay on.
        wrong = 400 <= status < 500
        # What has been read behind this request is owed an answer, too.
        keep = self.keep and not wrong and (not self.sent_away or bool(self.waiting))
        self.conn.write(http.response(status, body, headers, close=not keep))
        if not keep:
            self.close()
            return
        self.front.account_memory(self)
        if self.waiting:
            self.next()
        self.file()

    def set_request(self, request: Request | None) -> None:
        """It waits for this request's answer; None: for none."""
        self.front.jobs += (request is not None) - (self.request is not None)
        self.request = request
        self.conn.peer_is_waiting = request is not None

    def is_transferable(self, request: Request) -> bool:
        """Whether it waits for this request, and nothing else has come or is going out here."""
        if self.request is not request or self.conn.closing:
            return False
        return self.reader.idle and not self.waiting and not self.conn.unsent

    def refuse_more(self) -> None:
        """Nothing more is taken here. A job under way is still answered; it may have run by now."""
        self.conn.on_data = _ignore
        target = self.waiting[0].target if self.waiting else self.reader.target
        self.waiting.clear()
        self.keep = False
        if not self.busy:
            self.reject(self.front.class_of(target))

    def reject(self, cls: str) -> None:
        """There is no room: what has been sent of a job is refused before anything is sent on for it."""
        if cls in self.front.core.classes:
            self.front.core.count_answer(cls, Verdict.REJECTED)
        self.keep, self.busy = False, True
        self.answer(NO_REQUEST, self.front.core.rejection(math.inf))

    # what a request calls

    def answer(self, request: Request, answer: Answer) -> None:
        if answer.verdict is Verdict.SERVED:
            self.reply(200, answer.result)
        elif answer.verdict is Verdict.REJECTED:
            wait = () if answer.wait is None else (f"Retry-After: {answer.wait / 1000:.3f}",)
            self.reply(503, b"turned down\n", wait)
        else:
            self.reply(500, b"failed\n")

    def progress(self, request: Request, share: float) -> None:
        """Clients of this front hear only the end."""

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None:
        """Partial data has no place in an HTTP answer."""

    def has_left(self) -> bool:
        return self.conn.closed or self.conn.has_ended()

    # the end

    def leave(self) -> None:
        request = self.request
        self.set_request(None)
        if request is not None and request.single_use_id:
            self.front.core.leave(request, self)
        elif request is not None:
            self.front.core.detach(request, self)

    def end(self) -> None:
        """The client's end of stream: it has gone, and with it its request."""
        self.leave()

    def close(self) -> None:
        self.drop_limit()
        self.conn.close_when_sent()
        self.file()

    def closed(self) -> None:
        """Its descriptor is free again, or another process's."""
        self.drop_limit()
        self.waiting.clear()
        self.file()
        self.front.forget(self)


class HttpFront:
    """The listener of clients and call-backs."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        where: tuple[str, int] | socket.socket,
        news: Callable[[bytes, Callable[[int], None]], None],
        ready: Callable[[], str],
        most: int,
        extra: int,
        memory: int,
        accepting: bool = True,
    ) -> None:
        self.loop, self.core, self.counters = loop, core, core.counters
        self.news, self.ready = news, ready
        self.max_connections = most  # jobs that may be waited for
        self.extra_connections = extra  # connections past those, for call-backs and for those who say nothing
        self.max_held_bytes, self.held = memory, 0  # bytes of requests that may be held, and are
        self.jobs = 0  # connections that wait for a request's answer
        self.room: Room[ClientConnection] = Room()
        self.away = DrainScope.NONE
        self.away_at = math.inf  # when the first look for idle connections is, or was
        self.away_look: Deadline | None = None
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.listener = Listener(loop, where, self.taken, self.make_room, accepting)
        loop.deadlines.set(loop.clock.now() + SWEEP, self.sweep)

    def taken(self, conn: Connection) -> None:
        self.counters.add("in.edge_connections")
        edge = ClientConnection(self, conn)
        edge.number = self.connections.add(edge)
        if len(self.connections) >= self.max_connections + self.extra_connections // 2:
            self.make_room()
        if len(self.connections) >= self.max_connections + self.extra_connections:
            # More would take descriptors that the workers' side needs; these wait in the backlog.
            self.listener.suspend()

    def make_room(self) -> bool:
        """Close those who can best be spared, no more than needed; a kept-alive one only at the very limit.
        Returns whether there is room now."""
        now = self.loop.clock.now()
        while len(self.connections) >= self.max_connections + self.extra_connections // 2:
            edge = self.room.next(now)
            if edge is None or (
                edge.spare is Spare.KEPT
                and len(self.connections) < self.max_connections + self.extra_connections
            ):
                break
            if not edge.conn.closing and edge.conn.has_input():
                edge.last = now  # it is about to be read
                edge.file()
                continue
            self.counters.add("in.made_room")
            edge.conn.close()
        return len(self.connections) < self.max_connections + self.extra_connections

    def transferable_connection(self, request: Request) -> ClientConnection | None:
        """The connection that waits for this request, where it can go to another process with it."""
        edge = request.waiters[0] if len(request.waiters) == 1 else None
        return edge if isinstance(edge, ClientConnection) and edge.is_transferable(request) else None

    def adopt(self, sock: socket.socket) -> ClientConnection:
        """A client's connection from another process; its request is on its way."""
        edge = ClientConnection(self, Connection(self.loop, sock, False))
        edge.number = self.connections.add(edge)
        edge.drop_limit()
        edge.busy = edge.served = edge.worked = True
        edge.file()
        return edge

    def forget(self, edge: ClientConnection) -> None:
        self.connections.remove(edge.number)
        self.held -= edge.held
        edge.held = 0

    def account_memory(self, edge: ClientConnection) -> bool:
        """Count what a connection holds of requests; whether all may hold as much together."""
        body = edge.request.size if edge.request is not None else 0
        held = edge.reader.held + body + sum(len(m.body) for m in edge.waiting)
        grown = held > edge.held
        self.held += held - edge.held
        edge.held = held
        return not grown or self.held <= self.max_held_bytes

    def sweep(self) -> None:
        now = self.loop.clock.now()
        for edge in self.connections.all():
            if edge.conn.unsent and not edge.conn.closing and now - edge.last > UNREAD_LIMIT:
                edge.conn.close()
                edge.end()
            elif edge.idle and now - edge.last > IDLE_LIMIT and not edge.conn.has_input():
                edge.close()
        self.loop.deadlines.set(now + SWEEP, self.sweep)

    def drain_connections(self, whom: DrainScope, after: float) -> None:
        """Stop keep-alive with these, and from `after` ms on close the idle ones. The listener stays, for
        call-backs and for what the front still sends."""
        if whom is self.away:
            return
        self.away = whom
        if whom is DrainScope.NONE:
            self.loop.deadlines.drop(self.away_look)
            self.away_at = math.inf
        else:
            self.away_at = min(self.away_at, self.loop.clock.now() + after)
            self.look_for_idle()

    def look_for_idle(self, at_once: bool = False) -> None:
        """Close those who rest. What arrives just then was not taken: its sender sends it again elsewhere.
        `at_once`: those whose first request is on its way, too."""
        now = self.loop.clock.now()
        self.loop.deadlines.drop(self.away_look)
        refuses = self.away is DrainScope.CLIENTS and now >= self.away_at + HALF_SENT
        if now >= self.away_at:
            for edge in self.connections.all():
                if not edge.sent_away or edge.conn.closing or edge.conn.has_input():
                    continue
                # The first request of a new connection is on its way, and is answered.
                if edge.idle and (at_once or edge.served or now - edge.last > ON_ITS_WAY):
                    edge.close()
                elif refuses and edge.spare is Spare.HALF:
                    edge.refuse_more()
        self.away_look = self.loop.deadlines.set(max(now + AWAY_EVERY, self.away_at), self.look_for_idle)

    def close_remaining(self, at_once: bool) -> bool:
        """All is answered, and we want to end: whether those who are still connected have been sent off. What
        of theirs lies unread comes first, and what it leads to needs the listener, for call-backs. `at_once`:
        nothing is taken any more, so that nobody is waited for."""
        if at_once and self.listener.accepting:
            self.listener.ready(READ)  # who has come by now is told so
        self.look_for_idle(at_once)
        for edge in self.connections.all():
            if edge.spare is Spare.HALF and not edge.conn.has_input():
                edge.refuse_more()
        if at_once or all(edge.conn.closing for edge in self.connections.all()):
            self.listener.stop()
        return not len(self.connections)

    def answer_all(self) -> int:
        """Answer whatever has been read here and is not answered yet, for the process ends; how many."""
        busy = [edge for edge in self.connections.all() if edge.busy and not edge.conn.closing]
        for edge in busy:
            request = edge.request
            if request is not None:
                self.core.answer_waiter(request, edge)
            else:
                edge.reply(503)
        return len(busy)

    def is_idle(self, halves: bool) -> bool:
        """Whether nobody is owed anything here; with `halves`, nor is a request still on its way."""
        return not any(
            (e.busy or e.waiting or e.conn.unsent or (halves and not e.reader.idle and not e.conn.closing))
            and not e.conn.closed
            for e in self.connections.all()
        )

    # -- requests

    def serve(self, edge: ClientConnection, message: http.Message) -> None:
        path, first = message.path, self.class_of(message.target)
        if path == "/_health":
            if message.method not in ("GET", "HEAD"):
                edge.reply(405, headers=("Allow: GET, HEAD",))
            else:
                state = self.ready()
                text = b"" if message.method == "HEAD" else state.encode() + b"\n"
                edge.reply(200 if state.startswith("up") else 503, text)
        elif path == "/_jobs/news":
            if message.method != "POST":
                edge.reply(405, headers=("Allow: POST",))
            else:
                edge.worked = edge.calls_back = True
                self.news(message.body, edge.reply)
        elif first in self.core.classes:
            if message.method != "POST":
                edge.reply(405, headers=("Allow: POST",))
            else:
                self.take(edge, first, message)
        else:
            edge.reply(404, b"no such path\n")

    @staticmethod
    def class_of(target: bytes) -> str:
        """The first part of a path, which names a job's class."""
        parts = target.split(b"?", 1)[0].decode("latin-1").split("/", 2)
        return parts[1] if len(parts) > 1 and not parts[0] else ""

    def take(self, edge: ClientConnection, cls: str, message: http.Message) -> None:
        try:
            default = self.core.classes[cls].deadline
            request = make_request(cls, message, message.came_at, default, self.core.is_durable(cls))
            if self.jobs >= self.max_connections:
                self.counters.add("in.over_connections")
                edge.reject(cls)
                return
            joined = self.core.submit(request, edge)
        except ValueError as error:
            self.counters.add("in.bad.400")
            edge.reply(400, f"{error}\n".encode())
            return
        except RequestIdInUseError:
            self.counters.add("in.bad.409")
            edge.reply(409, b"this Req-Id is another request's\n")
            return
        except JobMismatchError:
            self.counters.add("in.bad.422")
            edge.reply(422, b"this Idempotency-Key is that of a job that asked for something else\n")
            return
        edge.worked, edge.calls_back = True, False
        if edge.busy and not joined.ended:
            edge.set_request(joined)
            self.account_memory(edge)


def _ignore(data: bytes) -> None:
    """What is not taken is dropped as it comes."""


def _number(headers: dict[str, str], name: str, form: re.Pattern[str]) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    if not form.fullmatch(text):
        raise ValueError(f"{name} is no number")
    return float(text)


def extras(text: str) -> dict[str, float]:
    """The figures of `name=value,name=value`; what is no number is skipped, as unknown names are."""
    figures: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < 1e9:
            figures[name.strip()] = number
    return figures


def job_name(text: str) -> str:
    """The value of an Idempotency-Key (draft-ietf-httpapi-idempotency-key-header, section 2.1): a string
    of RFC 8941, in double quotes; a bare one is taken too. Raises `ValueError`."""
    name = text[1:-1] if len(text) > 1 and text[0] == text[-1] == '"' else text
    if not REQ_ID.fullmatch(name):
        raise ValueError("an Idempotency-Key has up to 128 letters, digits and ._~:@+=-")
    return name


def make_request(
    cls: str, message: http.Message, came_at: float, default_deadline: float, durable: bool = False
) -> Request:
    """A request from a client's request; that of a durable class may bear a name by which it can be asked for
    again. Raises `ValueError` with what is wrong with it."""
    h = message.headers
    unique, named = h.get("req-id", ""), h.get("idempotency-key") if durable else None
    if named is not None:
        unique = job_name(named)
    elif not REQ_ID.fullmatch(unique):
        raise ValueError("a Req-Id is needed, of up to 128 letters, digits and ._~:@+=-")
    wait = _number(h, "req-deadline-ms", WHOLE)
    hint = _number(h, "req-cost", DECIMAL)
    more = extras(h.get("req-extra", ""))
    return Request(
        cls,
        unique,
        message.target,
        message.body,
        came_at + min(default_deadline if wait is None else wait, MOST_DEADLINE),
        slots=more.get("slots") or 1.0,
        memory=more.get("memory") or 0.0,
        tenant=h.get("req-owner") or None,
        key=h.get("req-key"),
        hint=hint / 1000.0 if hint else None,
        client_retry=h.get("req-retry") == "1",
        single_use_id=named is None,
        idempotency_key=h.get("idempotency-key"),
    )
