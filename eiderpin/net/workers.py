"""Pools of connections to the workers that discovery lists, and what workers tell by call-back."""

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
from eiderpin.core.requests import Attempt, ServiceEntry
from eiderpin.net import http, reports
from eiderpin.net.loop import ConnectError, Connection, Loop

IDLE_SHARE = 0.5  # of conn_idle: a connection is retired well before its worker closes it
SURE_IDLE = 50.0  # ms; a connection that has stood no longer is taken to be up, whatever lies between
STALE_WITHIN = 100.0  # ms after a write in which a reset is put down to a connection that had gone stale
FORGIVEN = 10_000.0  # ms in which the trust in idle connections that was lost doubles again
CALL_LIMIT = 1000.0  # ms for a cancel or a probe
MOST_EARLY = 256  # call-backs that may wait for a ledger's recovery
MOST_IDLE = 64  # connections kept to one worker


class Life(Enum):
    """Where a connection to a worker stands. From each but the last it may be closed; nothing leads back from
    there, and what still comes for a closed one is ignored."""

    CONNECTING = "connecting"  # an exchange waits for it to come up
    SENDING = "sending"  # some of the request has not been taken by the kernel
    AWAITING = "awaiting"  # all of it is out: the worker may have begun
    RESTING = "resting"  # between exchanges; nothing may come here
    CLOSED = "closed"


class WorkerConnection:
    """One connection to a worker; it carries one exchange at a time."""

    __slots__ = ("workers", "entry", "address", "conn", "reader", "attempt", "payload", "deadline",
                 "probe_at", "life", "rested_at", "stood", "begun_at")  # fmt: skip

    def __init__(self, workers: HttpWorkers, entry: ServiceEntry, conn: Connection) -> None:
        self.workers, self.entry, self.address, self.conn = workers, entry, entry.address, conn
        self.reader = http.ResponseReader()
        self.attempt: Attempt | None = None
        self.payload = b""
        self.probe_at: float | None = None
        self.life = Life.CONNECTING
        self.deadline: Deadline | None = None
        self.rested_at = self.begun_at = 0.0
        self.stood = 0.0  # ms for which it stood idle before this exchange
        conn.on_open, conn.on_data, conn.on_end = self.opened, self.data, self.ended
        conn.on_writable = self.writable

    def begin(self, payload: bytes, attempt: Attempt | None) -> None:
        """Take one exchange on, a call's request or an attempt; it is written once the connection is up."""
        self.begun_at = self.workers.loop.clock.now()
        self.stood = self.begun_at - self.rested_at if self.rested_at else 0.0
        self.payload, self.attempt = payload, attempt
        if attempt is not None:
            attempt.handle = self
        if self.conn.connecting:
            self.limit(self.workers.core.settings.connect_timeout)
        else:
            self.opened()

    def opened(self) -> None:
        self.drop_deadline()
        self.life = Life.SENDING
        if self.attempt is None:
            self.limit(CALL_LIMIT)
        self.put()

    def limit(self, ms: float) -> None:
        self.drop_deadline()
        loop = self.workers.loop
        self.deadline = loop.deadlines.set(loop.clock.now() + ms, self.end)

    def put(self) -> None:
        """Write the request, unless it may not begin any more: the connection may have come up late."""
        attempt, core = self.attempt, self.workers.core
        if attempt is not None and not core.may_begin(attempt):
            core.ended(attempt, api.Outcome.NOT_SENT)
            self.free(True)
            return
        if attempt is not None:
            self.payload = self.workers.job(attempt)
        self.conn.on_flushed = self.flushed
        self.conn.write(self.payload)

    def writable(self) -> None:
        """The rest of the request may go out: a worker begins at its last byte, so that is not sent any more
        for clients that have gone meanwhile."""
        attempt, core = self.attempt, self.workers.core
        if self.life is Life.SENDING and attempt is not None and core.is_deserted(attempt.request):
            self.close()
            core.ended(attempt, api.Outcome.NOT_SENT)

    def flushed(self) -> None:
        if self.life is not Life.SENDING:
            return
        self.life = Life.AWAITING
        if self.attempt is not None:
            self.workers.core.written(self.attempt)

    def data(self, data: bytes) -> None:
        if self.life is Life.RESTING:
            self.unasked()
            return
        try:
            messages = self.reader.feed(data)
        except http.BadMessage:
            self.workers.core.counters.add("in.worker_bad")
            self.end()
            return
        for message in messages:
            self.answered(message)

    def unasked(self) -> None:
        """It speaks while nothing is asked of it. Whole or not, what follows could pass for the answer to the
        next request."""
        self.workers.core.counters.add("in.worker_unasked")
        self.close()

    def answered(self, message: http.Message) -> None:
        core, attempt = self.workers.core, self.attempt
        if self.life is Life.CLOSED:
            return
        if self.life is Life.RESTING:
            self.unasked()  # a second answer, right behind the first
            return
        if self.probe_at is not None:
            ok = message.status == 200
            names = core.settings.report_names
            report = reports.of_body(message.body, names) if ok and message.body else None
            core.probed(self.entry, ok, core.clock.now() - self.probe_at, report)
        elif attempt is not None:
            if message.status == 202:
                attempt.accepted = True
            elif message.status in (503, 504) and message.headers.get("srv-declined") == "1":
                core.ended(attempt, api.Outcome.REJECTED, report=self.told(message))
            else:
                core.counters.add(f"out.status.{message.status}")
                core.ended(attempt, api.Outcome.ERROR, report=self.told(message))
        self.free(message.keep_alive and self.life is Life.AWAITING and self.reader.idle)

    def told(self, message: http.Message) -> api.Report | None:
        """The load that the worker tells with an answer."""
        text = message.headers.get("srv-load")
        return None if text is None else reports.of_text(text, self.workers.core.settings.report_names)

    def free(self, keep: bool) -> None:
        """The exchange is over."""
        self.drop_deadline()
        self.attempt, self.probe_at = None, None
        if keep and not self.conn.closed:
            self.life = Life.RESTING
            self.workers.rest(self)
        else:
            self.close()

    def ended(self) -> None:
        """The worker has ended it: with that the answer is whole, where it told no length."""
        last = self.reader.at_end() if self.life is Life.AWAITING else None
        if last is not None:
            self.answered(last)
        else:
            self.end()

    def end(self) -> None:
        """The connection was refused, broke or was closed by the worker, or its time is up. Nothing is sent
        again here: whether it may be is for the decisions to say, by what has gone out."""
        if self.life is Life.CLOSED:
            return
        attempt, core = self.attempt, self.workers.core
        if attempt is not None:
            stale = self.stood > 0 and core.clock.now() < self.begun_at + STALE_WITHIN
            if stale:
                self.workers.went_stale(self.stood)
            never = self.life in (Life.CONNECTING, Life.SENDING)
            outcome = api.Outcome.NOT_CONNECTED if never else api.Outcome.RESET
            core.ended(attempt, outcome, stale=stale)
        elif self.probe_at is not None:
            core.probed(self.entry, False, core.clock.now() - self.probe_at)
        self.close()

    def close(self) -> None:
        """The one way out; what was owed for its exchange has been settled, or is nobody's any more."""
        if self.life is Life.CLOSED:
            return
        self.life = Life.CLOSED
        self.drop_deadline()
        self.attempt, self.probe_at = None, None
        self.conn.close()
        self.workers.lost(self)

    def outlived(self) -> None:
        """What it carries has ended by a call-back. The answer that is still due may come for a while."""
        self.limit(CALL_LIMIT)

    def drop_deadline(self) -> None:
        self.workers.loop.deadlines.drop(self.deadline)
        self.deadline = None


class HttpWorkers:
    """The link to the workers of the platform."""

    def __init__(self, loop: Loop, core: Dispatcher, host: str, most: int) -> None:
        self.loop, self.core = loop, core
        self.host = host
        self.probes_at = b"/_load" if core.settings.reports_in_probes else b"/ping"
        self.most = most
        self.open: set[WorkerConnection] = set()
        self.idle: dict[str, list[WorkerConnection]] = {}
        self._trust, self._stale_at = math.inf, 0.0
        self.early: list[tuple[Any, Callable[[int], None]]] | None = None  # that wait for a ledger's recovery
        self.not_ours: Callable[[dict[str, Any], Callable[[int], None]], None] = _nobody

    # -- what the core asks

    def send(self, attempt: Attempt) -> None:
        # What lies between may have forgotten a connection that stood idle, and the reset that a write to it
        # brings would be the end of a job that must not run twice. A new connection costs far less.
        once = self.core.classes[attempt.request.cls].repeat is not api.Repeat.FREE
        try:
            connection = self._connection(attempt.entry, SURE_IDLE if once else self.trust())
        except ConnectError as error:
            # What we lack ourselves says nothing of the worker; that its address cannot be reached does.
            self.core.ended(attempt, api.Outcome.NOT_SENT if error.is_local else api.Outcome.NOT_CONNECTED)
        else:
            connection.begin(b"", attempt)

    def job(self, attempt: Attempt) -> bytes:
        """The request, as it is written now."""
        request = attempt.request
        left = max(1, int(self.core.time_left(attempt)))
        headers: tuple[str, ...] = (
            f"Host: {self.host}", f"Req-Id: {request.wire_id}", f"Req-Deadline-Ms: {left}",
        )  # fmt: skip
        if request.idempotency_key is not None:
            headers += (f"Idempotency-Key: {request.idempotency_key}",)
        return http.request("POST", request.target, headers, request.body)

    def cancel(self, attempt: Attempt) -> None:
        connection = attempt.handle
        if isinstance(connection, WorkerConnection) and connection.attempt is attempt:
            # Before the 202 a closed connection is the cancel; what has been written cannot be unsaid.
            connection.close()
            return
        if connection is None and not attempt.accepted:
            return  # nothing of it has gone out
        target = b"/jobs/" + attempt.request.wire_id.encode()
        self._call(attempt.entry, http.request("DELETE", target, (f"Host: {self.host}",)), None)

    def probe(self, entry: ServiceEntry) -> None:
        payload = http.request("GET", self.probes_at, (f"Host: {self.host}",))
        if not self._call(entry, payload, self.core.clock.now()):
            self.core.probed(entry, False, 0.0)

    def entry_changed(self, entry: ServiceEntry) -> None:
        """Connections to a process that is gone, or to an address that it has left, are of no use."""
        gone = entry.listed.state is api.WorkerState.GONE
        for connection in list(self.idle.get(entry.name, ())):
            if gone or connection.address != entry.address:
                connection.close()

    def may_move(self, attempt: Attempt) -> bool:
        connection = attempt.handle
        tied = isinstance(connection, WorkerConnection) and connection.attempt is attempt
        return attempt.accepted and not tied

    # -- connections

    def _call(self, entry: ServiceEntry, payload: bytes, probe_at: float | None) -> bool:
        try:
            connection = self._connection(entry, self.trust())
        except ConnectError:
            return False
        connection.probe_at = probe_at
        connection.begin(payload, None)
        return True

    def trust(self) -> float:
        """How long a connection may have stood idle and still be written to."""
        full = IDLE_SHARE * self.core.settings.conn_idle
        if math.isinf(self._trust):
            return full
        return min(full, self._trust * 2 ** ((self.loop.clock.now() - self._stale_at) / FORGIVEN))

    def went_stale(self, stood: float) -> None:
        self.core.counters.add("out.stale")
        self._trust, self._stale_at = max(SURE_IDLE, min(self.trust(), stood / 2)), self.loop.clock.now()

    def _connection(self, entry: ServiceEntry, most_idle: float) -> WorkerConnection:
        """One that rests, or a new one on its way up. Raises `ConnectError`."""
        waiting = self.idle.get(entry.name, [])
        since = self.loop.clock.now() - most_idle
        while waiting and waiting[-1].rested_at >= since:  # the one that came to rest last is the last
            connection = waiting.pop()
            if connection.address == entry.address and _alive(connection.conn.sock):
                return connection
            connection.close()
        if len(self.open) >= self.most:
            self._retire_one()
        if len(self.open) >= self.most:
            raise ConnectError(errno.EMFILE)
        conn = self.loop.open_connection(entry.address)
        self.core.counters.add("out.worker_connections")
        connection = WorkerConnection(self, entry, conn)
        self.open.add(connection)
        return connection

    def _retire_one(self) -> None:
        for waiting in self.idle.values():
            if waiting:
                waiting[0].close()
                return

    def rest(self, connection: WorkerConnection) -> None:
        waiting = self.idle.setdefault(connection.entry.name, [])
        if connection.address != connection.entry.address or len(waiting) >= MOST_IDLE:
            connection.close()
            return
        waiting.append(connection)
        connection.rested_at = self.loop.clock.now()
        connection.deadline = self.loop.deadlines.set(connection.rested_at + self.trust(), connection.end)

    def lost(self, connection: WorkerConnection) -> None:
        self.open.discard(connection)
        waiting = self.idle.get(connection.entry.name, [])
        if connection in waiting:
            waiting.remove(connection)

    # -- call-backs

    def load_of(self, said: dict[str, Any]) -> api.Report | None:
        return reports.of_fields(said.get("load"), self.core.settings.report_names)

    def news(self, body: bytes, reply: Callable[[int], None]) -> None:
        """Take one call-back and reply with a status. Repeated and late ones are answered as well."""
        try:
            said: Any = orjson.loads(body)
            if self.keep_early(said, reply):
                return
            known = self.take_news(said)
        except ValueError:
            reply(400)
            return
        self.count_news(said, known, reply)

    def keep_early(self, said: Any, reply: Callable[[int], None]) -> bool:
        """Whether it waits for a ledger's recovery."""
        if self.early is None or len(self.early) >= MOST_EARLY:
            return False
        self.early.append((said, reply))
        return True

    def take_early(self) -> None:
        """The ledger has been recovered: what workers told meanwhile is taken now."""
        early, self.early = self.early or [], None
        for said, reply in early:
            try:
                known = self.take_news(said)
            except ValueError:
                reply(400)
                continue
            self.count_news(said, known, reply)

    def count_news(self, said: Any, known: bool, reply: Callable[[int], None]) -> None:
        state = said["state"]
        self.core.counters.add(f"in.news.{state}" if state in STATES else "in.news.other")
        if known:
            reply(204)
        else:
            self.not_ours(said, reply)

    def take_news(self, said: Any) -> bool:
        """Whether it is of a request that we know. Raises `ValueError` where it makes no sense."""
        if not isinstance(said, dict) or not all(isinstance(said.get(k), str) for k in ("id", "state")):
            raise ValueError("a call-back names an id and a state")
        state, request = said["state"], self.core.request_of(said["id"])
        if request is None:
            keeper, sender = self.core.keeper, str(said.get("from"))
            return keeper is not None and keeper.late(said["id"], sender, state, _result(said))
        mine = [s for s in request.attempts if s.entry.name == said.get("from")]
        attempt = next((s for s in reversed(mine) if not s.ended), None)
        if attempt is None:
            if state == "done" and mine:
                self.core.late_result(request, _result(said))
        elif state == "started":
            self.core.progress(attempt, True)
        elif state == "running":
            share = said.get("share")
            if isinstance(share, int | float) and 0 <= share <= 1:
                self.core.progress(attempt, False, float(share))
        elif state == "done":
            self.ended(attempt, api.Outcome.DONE, said)
        elif state in STATES:
            self.ended(attempt, STATES[state], said)
        return True

    def ended(self, attempt: Attempt, outcome: api.Outcome, said: dict[str, Any]) -> None:
        """A call-back tells of an attempt's end, perhaps before its connection has brought the 202."""
        connection = attempt.handle
        if isinstance(connection, WorkerConnection) and connection.attempt is attempt:
            connection.outlived()
        result = _result(said) if outcome is api.Outcome.DONE else b""
        self.core.ended(attempt, outcome, result, report=self.load_of(said))


def _nobody(said: dict[str, Any], reply: Callable[[int], None]) -> None:
    """There is no process beside us that may know of it."""
    reply(204)


STATES = {
    "started": api.Outcome.DONE,  # this and the next two are told apart above
    "running": api.Outcome.DONE,
    "done": api.Outcome.DONE,
    "failed": api.Outcome.ERROR,
    "returned": api.Outcome.REJECTED,
    "lost": api.Outcome.RESET,
}


def _result(said: dict[str, Any]) -> bytes:
    result = said.get("result")
    if result is None:
        return b""
    return result.encode() if isinstance(result, str) else orjson.dumps(result)


def _alive(sock: socket.socket) -> bool:
    """Whether an idle connection has neither ended nor said anything unasked."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False
