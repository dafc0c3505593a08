"""The platform's front: edge connections, `/_health` and the workers' call-backs. It decides nothing."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.flows import Answer, Flow, SlotTable, Verdict
from eiderpin.net import http
from eiderpin.net.loop import Connection, Listener, Loop

SWEEP = 5000.0  # ms between looks for edge connections that have stood too long
IDLE_LIMIT = 120_000.0  # ms
HALF_LIMIT = 15_000.0  # ms in which a request must have come whole
EXTRA = 48  # connections past the limit, for call-backs; jobs on them are turned down
NO_FLOW = Flow("", "", b"", b"", 0.0)
FRESH = 100.0  # ms for which a connection is not closed to make room: its request is on its way
MOST_WAITING = 16  # requests sent ahead on one edge connection
MOST_DEADLINE = 600_000.0  # ms


class EdgeConnection:
    """The client's side of one connection; also workers call back over such a one."""

    __slots__ = (
        "front", "conn", "reader", "waiting", "flow", "last", "number", "keep", "busy", "over", "served",
    )  # fmt: skip

    def __init__(self, front: Edge, conn: Connection) -> None:
        self.front = front
        self.conn = conn
        self.number = -1
        self.served = False  # it has had an answer: now and then it stands between requests
        self.over = False  # beyond what may be held: for call-backs only
        self.reader = http.RequestReader()
        self.waiting: deque[http.Message] = deque()
        self.flow: Flow | None = None
        self.busy = False  # a request is being served
        self.keep = True
        self.last = front.loop.clock.now()
        conn.on_data, conn.on_end = self.data, self.end

    @property
    def idle(self) -> bool:
        return not self.busy and not self.waiting and self.reader.idle and not self.conn.unsent

    def data(self, data: bytes) -> None:
        self.last = self.front.loop.clock.now()
        try:
            self.waiting.extend(self.reader.feed(data))
        except http.BadMessage as error:
            self.front.counters.add(f"in.bad.{error.status}")
            self.leave()
            self.waiting.clear()
            text = str(error).encode() + b"\n"
            self.conn.write(http.response(error.status, text, close=True))
            self.close(linger=True)
            return
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            if not self.waiting and not self.busy:
                self.conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self.waiting) > MOST_WAITING:
            self.leave()
            self.close()
            return
        self.next()

    def next(self) -> None:
        while self.waiting and not self.busy and not self.conn.closed:
            message = self.waiting.popleft()
            self.busy, self.keep = True, message.keep_alive and not self.front.draining
            self.front.serve(self, message)

    def reply(self, status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> None:
        self.busy, self.served, self.flow = False, True, None
        self.last = self.front.loop.clock.now()
        keep = self.keep and not self.front.draining
        self.conn.write(http.response(status, body, headers, close=not keep))
        if not keep:
            self.close()
        elif self.waiting:
            self.next()

    # what a flow calls

    def answer(self, flow: Flow, answer: Answer) -> None:
        if answer.verdict is Verdict.SERVED:
            self.reply(200, answer.result)
        elif answer.verdict is Verdict.TURNED_DOWN:
            wait = () if answer.wait is None else (f"Retry-After: {answer.wait / 1000:.3f}",)
            self.reply(503, b"turned down\n", wait)
        else:
            self.reply(500, b"failed\n")

    def progress(self, flow: Flow, share: float) -> None:
        """Clients of this front hear only the end."""

    def data_part(self, flow: Flow, data: bytes, warning: bool) -> None:
        """Partial data has no place in an HTTP answer."""

    # the end

    def leave(self) -> None:
        flow, self.flow = self.flow, None
        if flow is not None:
            self.front.core.leave(flow, self)

    def end(self) -> None:
        """The client's end of stream: it has gone, and with it its flow."""
        self.leave()
        self.front.forget(self)

    def close(self, linger: bool = False) -> None:
        self.conn.close_when_sent(linger)
        self.front.forget(self)


class Edge:
    """The listener of clients and call-backs."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        address: tuple[str, int],
        news: Callable[[bytes], int],
        ready: Callable[[], str],
        most: int,
    ) -> None:
        self.loop, self.core, self.counters = loop, core, core.counters
        self.news, self.ready = news, ready
        self.most = most
        self.draining = False
        self.connections: SlotTable[EdgeConnection] = SlotTable()
        self.listener = Listener(loop, address, self.taken, self.make_room)
        loop.deadlines.set(loop.clock.now() + SWEEP, self.sweep)

    def taken(self, conn: Connection) -> None:
        self.counters.add("in.edge_connections")
        if len(self.connections) >= self.most:
            self.make_room()
        edge = EdgeConnection(self, conn)
        edge.over = len(self.connections) >= self.most
        if len(self.connections) >= self.most + EXTRA:
            # More would take descriptors that the workers' side needs; these wait in the backlog.
            self.listener.rest(20.0)
        edge.number = self.connections.add(edge)

    def make_room(self) -> None:
        """Close the edge connections that have been idle longest; a client opens another when it needs it."""
        old = self.loop.clock.now() - FRESH
        idle = sorted((e for e in self.connections.all() if e.idle and e.last < old), key=lambda e: e.last)
        for edge in idle[: max(1, len(idle) // 4)]:
            edge.close()

    def forget(self, edge: EdgeConnection) -> None:
        self.connections.remove(edge.number)

    def sweep(self) -> None:
        now = self.loop.clock.now()
        for edge in self.connections.all():
            if edge.idle and now - edge.last > IDLE_LIMIT:
                edge.close()
            elif not edge.busy and not edge.idle and now - edge.last > HALF_LIMIT:
                edge.keep = False
                edge.reply(408, b"the request did not come whole\n")
        self.loop.deadlines.set(now + SWEEP, self.sweep)

    def drain(self) -> None:
        """Stop keep-alive; the listener stays, for call-backs and for what the front still sends."""
        self.draining = True
        for edge in self.connections.all():
            if edge.idle and edge.served:  # else its first request is on its way, and is answered
                edge.close()

    @property
    def quiet(self) -> bool:
        return not any(e.busy or e.waiting or e.conn.unsent for e in self.connections.all())

    # -- requests

    def serve(self, edge: EdgeConnection, message: http.Message) -> None:
        path = message.path
        first = path.split("/", 2)[1] if path.startswith("/") else ""
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
                edge.reply(self.news(message.body))
        elif first in self.core.classes:
            if message.method != "POST":
                edge.reply(405, headers=("Allow: POST",))
            else:
                self.take(edge, first, message)
        else:
            edge.reply(404, b"no such path\n")

    def take(self, edge: EdgeConnection, cls: str, message: http.Message) -> None:
        if edge.over:
            # A job that was written must be answered, so the connection is not just closed.
            self.counters.add("in.over_connections")
            edge.keep = False
            edge.answer(NO_FLOW, Answer(Verdict.TURNED_DOWN, wait=self.core.settings.max_wait_advice))
            return
        try:
            flow = make_flow(cls, message, self.loop.clock.now(), self.core.classes[cls].deadline)
        except ValueError as error:
            edge.reply(400, f"{error}\n".encode())
            return
        joined = self.core.submit(flow, edge)
        if edge.busy and not joined.ended:
            edge.flow = joined


def _number(headers: dict[str, str], name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < 1e12:
        raise ValueError(f"{name} is no number")
    return value


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


def make_flow(cls: str, message: http.Message, now: float, default_deadline: float) -> Flow:
    """A flow from a client's request. Raises `ValueError` with what is wrong with it."""
    h = message.headers
    unique = h.get("req-id", "")
    if not unique or len(unique) > 256:
        raise ValueError("a Req-Id is needed")
    wait = _number(h, "req-deadline-ms")
    hint = _number(h, "req-cost")
    more = extras(h.get("req-extra", ""))
    return Flow(
        cls,
        unique,
        message.target,
        message.body,
        now + min(default_deadline if wait is None else wait, MOST_DEADLINE),
        slots=more.get("slots") or 1.0,
        memory=more.get("memory") or 0.0,
        tenant=h.get("req-owner") or None,
        key=h.get("req-key"),
        hint=hint / 1000.0 if hint else None,
        client_retry=h.get("req-retry") == "1",
    )
