"""The Gearman front: Gearman clients' jobs become requests, Gearman workers become service entries.

A function is a class. Where it maps what Gearman has no word for:

- a turn-down is WORK_FAIL, after a WORK_EXCEPTION that says when to come back for clients that asked for
  exceptions; a failure, or the class's deadline, is WORK_FAIL alone;
- a worker's WORK_FAIL or WORK_EXCEPTION is an error, its drop a reset if it had grabbed the job and a failed
  connect if it had not; a job placed on it and not grabbed in time was turned away;
- a worker that withdraws all its functions drains, one whose connection ends is gone.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from typing import Any

from eiderpin import VERSION
from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.requests import Answer, Attempt, Endpoint, Request, Verdict
from eiderpin.core.slot_table import SlotTable
from eiderpin.net.gearman import Kind, Line, Packet, Reader, pack
from eiderpin.net.loop import Connection, Listener, Loop

GRAB_WAIT = 1000.0  # ms in which a worker must grab what was placed on it
MOST_OPEN = 1024  # jobs that one client connection may wait for
MOST_PLACED = 2  # jobs placed on one worker connection, running ones included: it runs one at a time
AWAY_EVERY = 200.0  # ms between looks for idle clients while they are sent away
QUIET = 150.0  # ms without a packet after which a client is idle

# priority, background
SUBMITS = {
    Kind.SUBMIT_JOB: (0, False),
    Kind.SUBMIT_JOB_BG: (0, True),
    Kind.SUBMIT_JOB_HIGH: (1, False),
    Kind.SUBMIT_JOB_HIGH_BG: (1, True),
    Kind.SUBMIT_JOB_LOW: (-1, False),
    Kind.SUBMIT_JOB_LOW_BG: (-1, True),
}


class Submission:
    """One client connection's wait for one request."""

    __slots__ = ("client", "request", "handle", "early")

    def __init__(self, client: GearmanConnection) -> None:
        self.client = client
        self.request: Request | None = None
        self.handle = b""
        self.early: Answer | None = None  # given before JOB_CREATED could be written

    def created(self, request: Request, handle: bytes) -> None:
        self.request, self.handle = request, handle
        self.client.put(Kind.JOB_CREATED, handle)
        if self.early is not None:
            self.answer(request, self.early)
        else:
            self.client.open.add(self)

    def answer(self, request: Request, answer: Answer) -> None:
        if not self.handle:
            self.early = answer
            return
        self.client.open.discard(self)
        if answer.verdict is Verdict.SERVED:
            self.client.put(Kind.WORK_COMPLETE, self.handle, answer.result)
            return
        if answer.verdict is Verdict.REJECTED and self.client.wants_exceptions:
            wait = "" if answer.wait is None else f", come back after {answer.wait / 1000:.3f} s"
            self.client.put(Kind.WORK_EXCEPTION, self.handle, f"turned down{wait}".encode())
        self.client.put(Kind.WORK_FAIL, self.handle)

    def progress(self, request: Request, share: float) -> None:
        if self.handle:
            self.client.put(Kind.WORK_STATUS, self.handle, b"%d" % round(share * 100), b"100")

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None:
        if self.handle:
            self.client.put(Kind.WORK_WARNING if warning else Kind.WORK_DATA, self.handle, data)

    def has_left(self) -> bool:
        return self.client.conn.closed or self.client.conn.has_ended()


class GearmanConnection:
    """One connection: a client, a worker or both."""

    def __init__(self, front: GearmanFront, conn: Connection) -> None:
        self.front, self.conn, self.core = front, conn, front.core
        self.number = -1
        self.last = front.loop.clock.now()
        self.reader = Reader()
        self.client_id = "-"
        self.wants_exceptions = False
        self.open: set[Submission] = set()
        self.unsaid: deque[list[Any]] = deque()  # answers to submissions, with whether they may be given
        # as a worker
        self.abilities: dict[str, float] = {}  # function to its time-out in ms, 0: none
        self.endpoint: Endpoint | None = None
        self.asleep = False
        self.placed: deque[Attempt] = deque()
        self.running: dict[bytes, Attempt] = {}
        self.waits: dict[Attempt, Deadline] = {}  # until a grab, then a function's own time-out
        conn.on_data, conn.on_end = self.data, self.end

    def put(self, kind: Kind, *args: bytes) -> None:
        self.conn.write(pack(kind, *args))

    def error(self, code: str, text: str) -> None:
        self.core.counters.add("in.gearman_bad")
        self.put(Kind.ERROR, code.encode(), text.encode())

    def data(self, data: bytes) -> None:
        self.last = self.front.loop.clock.now()
        for item in self.reader.feed(data):
            if self.conn.closed:
                return
            if isinstance(item, Packet):
                self.packet(item)
            elif isinstance(item, Line):
                self.conn.write(self.front.admin(item.text))
            else:
                self.error(item.code, str(item))
                if item.fatal:
                    self.end()
                    self.conn.close_when_sent()
                    return

    def end(self) -> None:
        """The peer has gone: what it waited for is left, what it had is lost."""
        self.conn.on_end = _nothing
        for submission in list(self.open):
            if submission.request is not None:
                self.core.detach(submission.request, submission)
        self.open.clear()
        for attempt in list(self.placed):
            self.drop_wait(attempt)
            self.core.ended(attempt, api.Outcome.NOT_CONNECTED)
        self.placed.clear()
        for attempt in list(self.running.values()):
            self.drop_wait(attempt)
            self.core.ended(attempt, api.Outcome.RESET)
        self.running.clear()
        if self.endpoint is not None:
            self.tell(api.WorkerState.GONE)
            del self.core.endpoints[self.endpoint.name]  # it never comes back by that name
            self.endpoint = None
        self.front.connections.remove(self.number)

    def packet(self, packet: Packet) -> None:
        kind, args = packet.kind, packet.args
        self.core.counters.add("in.gearman_packets")
        if kind in SUBMITS:
            self.submit(kind, *args)
        elif kind is Kind.ECHO_REQ:
            self.put(Kind.ECHO_RES, args[0])
        elif kind is Kind.GET_STATUS:
            self.put(Kind.STATUS_RES, args[0], *self.front.status_of(self.front.request_of(args[0])))
        elif kind is Kind.GET_STATUS_UNIQUE:
            request = self.core.request_by_unique(_text(args[0]))
            known, running, done, of = self.front.status_of(request)
            waiting = len(request.waiters) if request is not None else 0
            self.put(Kind.STATUS_RES_UNIQUE, args[0], known, running, done, of, b"%d" % waiting)
        elif kind is Kind.OPTION_REQ:
            if args[0] == b"exceptions":
                self.wants_exceptions = True
                self.put(Kind.OPTION_RES, args[0])
            else:
                self.error("UNKNOWN_OPTION", "the one option is exceptions")
        elif kind is Kind.SET_CLIENT_ID:
            self.client_id = "".join(c if c.isprintable() and c != " " else "_" for c in _text(args[0]))[:64]
        elif kind in (Kind.CAN_DO, Kind.CAN_DO_TIMEOUT):
            self.can_do(_text(args[0]), args[1] if len(args) > 1 else b"0")
        elif kind is Kind.CANT_DO:
            self.withdraw([_text(args[0])])
        elif kind is Kind.RESET_ABILITIES:
            self.withdraw(list(self.abilities))
        elif kind is Kind.PRE_SLEEP:
            self.asleep = True
            if self.placed:
                self.wake()
        elif kind in (Kind.GRAB_JOB, Kind.GRAB_JOB_UNIQ):
            self.grab(kind is Kind.GRAB_JOB_UNIQ)
        elif kind in (Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.WORK_EXCEPTION):
            self.work_ended(kind, args)
        elif kind in (Kind.WORK_STATUS, Kind.WORK_DATA, Kind.WORK_WARNING):
            self.work_goes_on(kind, args)
        elif kind is not Kind.ALL_YOURS:
            self.error("UNEXPECTED", f"{kind.name} is not for a job server")

    # -- as a client

    def submit(self, kind: Kind, function: bytes, unique: bytes, body: bytes) -> None:
        cls = _text(function)
        spec = self.core.classes.get(cls)
        if spec is None:
            self.error("UNKNOWN_FUNCTION", f"there is no class {cls!r}")
            return
        if len(self.open) >= MOST_OPEN:
            self.error("TOO_MANY", "this connection waits for too many jobs")
            return
        # By the protocol's custom a unique id of one dash stands for the data itself.
        name = _text(unique)
        if unique == b"-":
            name = "data-" + hashlib.sha1(function + b"\0" + body).hexdigest()
        priority, background = SUBMITS[kind]
        request = Request(
            cls, name, b"/" + function, body, self.core.clock.now() + spec.deadline,
            priority=priority, background=background,
        )  # fmt: skip
        submission = Submission(self)
        try:
            joined = self.core.submit(request, None if background else submission)
        except JobMismatchError:
            self.error("OTHER_JOB", f"the unique id {name!r} is that of a job that asked for something else")
            return
        handle = self.front.handle_of(joined)
        if not background:
            self.say_in_turn(lambda: submission.created(joined, handle))
        elif joined.job and self.core.job_manager is not None:
            # That a job has been taken on is said once it outlives us.
            self.core.job_manager.when_durable(
                joined, self.say_later(lambda: self.put(Kind.JOB_CREATED, handle))
            )
        elif self.core.is_durable(cls) and not joined.job and request is joined:
            self.say_in_turn(self.not_taken)
        else:
            self.say_in_turn(lambda: self.put(Kind.JOB_CREATED, handle))

    def not_taken(self) -> None:
        self.error("NOT_TAKEN", "the disk of durable jobs takes nothing now: come back later")

    def say_in_turn(self, say: Callable[[], None]) -> None:
        """Clients take answers to submissions in the order of these."""
        if self.unsaid:
            self.unsaid.append([say, True])
        else:
            say()

    def say_later(self, say: Callable[[], None]) -> Callable[[bool], None]:
        """The answer to this submission, which is given when the returned call is made."""
        waits: list[Any] = [say, False]
        self.unsaid.append(waits)

        def ready(ok: bool) -> None:
            waits[:] = [say if ok else self.not_taken, True]
            while self.unsaid and self.unsaid[0][1] and not self.conn.closed:
                self.unsaid.popleft()[0]()

        return ready

    def answer_all(self) -> int:
        """Answer all that is open here; how many answers that were."""
        answered = len(self.open) + len(self.unsaid)
        unsaid, self.unsaid = self.unsaid, deque()
        for say, may_be_said in unsaid:
            (say if may_be_said else self.not_taken)()
        for submission in list(self.open):
            if submission.request is not None:
                self.core.answer_waiter(submission.request, submission)
        return answered

    # -- as a worker

    def can_do(self, function: str, timeout: bytes) -> None:
        if not timeout.isdigit():
            self.error("BAD_ARGUMENTS", "a time-out is a number of seconds")
            return
        self.abilities[function] = min(int(timeout), 86400) * 1000.0
        if function in self.core.classes:
            self.tell(api.WorkerState.IN_SERVICE)

    def withdraw(self, functions: list[str]) -> None:
        """What was placed but not grabbed goes back at once: a drain's grace need not be used up."""
        for function in functions:
            self.abilities.pop(function, None)
        for attempt in [s for s in self.placed if s.request.cls not in self.abilities]:
            self.placed.remove(attempt)
            self.drop_wait(attempt)
            self.core.ended(attempt, api.Outcome.NOT_SENT)
        if self.endpoint is not None:
            serves = any(f in self.core.classes for f in self.abilities)
            self.tell(api.WorkerState.IN_SERVICE if serves else api.WorkerState.DRAINING)

    def tell(self, state: api.WorkerState) -> None:
        """Tell the core of this worker as it now stands."""
        now = self.core.clock.now()
        classes = frozenset(f for f in self.abilities if f in self.core.classes)
        name = self.endpoint.name if self.endpoint is not None else f"gearman-{self.front.next_worker()}"
        born = self.endpoint.listed.born if self.endpoint is not None else now
        listed = api.WorkerEntry(
            name, self.core.settings.zone, "gearman", -1, state, born=born, classes=classes, slots=1.0
        )
        self.core.apply_worker_list(self.front, api.ListKind.CHANGES, [(listed, self)])
        self.endpoint = self.core.endpoints[name]

    def place(self, attempt: Attempt) -> None:
        if len(self.placed) + len(self.running) >= MOST_PLACED:
            self.core.ended(attempt, api.Outcome.REJECTED)
            return
        self.placed.append(attempt)
        at = self.core.clock.now() + GRAB_WAIT
        self.waits[attempt] = self.core.deadlines.set(at, lambda: self.not_grabbed(attempt))
        if self.asleep:
            self.wake()

    def wake(self) -> None:
        self.asleep = False
        self.put(Kind.NOOP)

    def not_grabbed(self, attempt: Attempt) -> None:
        if attempt in self.placed:
            self.placed.remove(attempt)
            self.waits.pop(attempt, None)
            self.core.ended(attempt, api.Outcome.REJECTED)

    def grab(self, with_unique: bool) -> None:
        """Hand out what the decisions placed here, and nothing else."""
        self.asleep = False
        while self.placed:
            attempt = self.placed.popleft()
            self.drop_wait(attempt)
            if not self.core.may_begin(attempt):
                # The first byte counts for a drain: its grace has passed while the job waited here.
                self.core.ended(attempt, api.Outcome.NOT_SENT)
                continue
            request = attempt.request
            handle = b"%s.%d" % (self.front.handle_of(request), attempt.number)
            self.running[handle] = attempt
            if with_unique:
                unique = request.unique.encode("latin-1", "replace")
                self.put(Kind.JOB_ASSIGN_UNIQ, handle, request.cls.encode(), unique, request.body)
            else:
                self.put(Kind.JOB_ASSIGN, handle, request.cls.encode(), request.body)
            if not attempt.ended:  # else the connection broke under the write
                self.core.written(attempt)
                self.core.progress(attempt, True)
                self.limit_run(handle, attempt)
            return
        self.put(Kind.NO_JOB)

    def limit_run(self, handle: bytes, attempt: Attempt) -> None:
        """A worker may give a time-out with its function (CAN_DO_TIMEOUT)."""
        limit = self.abilities.get(attempt.request.cls, 0.0)
        if limit:
            at = self.core.clock.now() + limit
            self.waits[attempt] = self.core.deadlines.set(at, lambda: self.overran(handle))

    def overran(self, handle: bytes) -> None:
        attempt = self.running.pop(handle, None)
        if attempt is not None:
            self.waits.pop(attempt, None)
            self.core.ended(attempt, api.Outcome.TIMED_OUT)

    def work_ended(self, kind: Kind, args: tuple[bytes, ...]) -> None:
        attempt = self.running.pop(args[0], None)
        if attempt is None:
            self.core.counters.add("in.gearman_stray")
            return
        self.drop_wait(attempt)
        if kind is not Kind.WORK_COMPLETE:
            self.core.ended(attempt, api.Outcome.ERROR)
        elif attempt.ended:
            self.core.late_result(attempt.request, args[1])
        else:
            self.core.ended(attempt, api.Outcome.DONE, args[1])

    def work_goes_on(self, kind: Kind, args: tuple[bytes, ...]) -> None:
        attempt = self.running.get(args[0])
        if attempt is None or attempt.ended:
            return
        if kind is Kind.WORK_STATUS:
            if args[1].isdigit() and args[2].isdigit() and int(args[2]) > 0:
                self.core.progress(attempt, False, min(int(args[1]) / int(args[2]), 1.0))
        else:
            self.core.forward_data(attempt, args[1], kind is Kind.WORK_WARNING)

    def drop_wait(self, attempt: Attempt) -> None:
        self.core.deadlines.drop(self.waits.pop(attempt, None))


class GearmanFront:
    """The listener of Gearman clients and workers; also the link to those workers."""

    def __init__(
        self, loop: Loop, core: Dispatcher, address: tuple[str, int], name: str, most: int,
        shared: bool = False,
    ) -> None:  # fmt: skip
        self.loop, self.core, self.name = loop, core, name
        self.max_connections = most
        self.connections: SlotTable[GearmanConnection] = SlotTable()
        self._workers = 0
        self._away: Deadline | None = None  # the next look for idle clients, while they are sent away
        self._kept = 0
        self.listener = Listener(loop, address, self.taken, accepting=not shared, shared=shared)

    def taken(self, conn: Connection) -> None:
        self.core.counters.add("in.gearman_connections")
        if len(self.connections) >= self.max_connections:
            conn.close()
            self.listener.suspend()
            return
        connection = GearmanConnection(self, conn)
        connection.number = self.connections.add(connection)

    def drain_connections(self, away: bool, after: float) -> None:
        """Whether idle clients are closed, `after` ms from now and again and again. Workers stay, and so do
        clients whose jobs are under way: the protocol has no word for them."""
        if not away:
            self.loop.deadlines.drop(self._away)
            self._away = None
        elif self._away is None:
            self._away = self.loop.deadlines.set(self.loop.clock.now() + after, self.look_for_idle)

    def look_for_idle(self) -> None:
        now = self.loop.clock.now()
        for c in self.connections.all():
            works = c.endpoint is not None or c.abilities or c.running
            idle = not works and not c.open and not c.conn.unsent and now - c.last > QUIET
            if idle and not c.conn.has_input():
                c.end()
                c.conn.close_when_sent()
        self._away = self.loop.deadlines.set(now + AWAY_EVERY, self.look_for_idle)

    def answer_all(self) -> int:
        """Answer what clients wait for, for the process ends; how many answers that were."""
        answered = 0
        for connection in self.connections.all():
            answered += connection.answer_all()
        return answered

    def next_worker(self) -> int:
        self._workers += 1
        return self._workers

    # -- what the core asks of a worker link

    def send(self, attempt: Attempt) -> None:
        connection = attempt.endpoint.address
        if isinstance(connection, GearmanConnection) and not connection.conn.closed:
            connection.place(attempt)
        else:
            self.core.ended(attempt, api.Outcome.NOT_CONNECTED)

    def cancel(self, attempt: Attempt) -> None:
        """What was not grabbed is taken back; a worker that runs a job cannot be told to stop."""
        connection = attempt.endpoint.address
        if isinstance(connection, GearmanConnection) and attempt in connection.placed:
            connection.placed.remove(attempt)
            connection.drop_wait(attempt)

    def probe(self, endpoint: Endpoint) -> None:
        connection = endpoint.address
        up = isinstance(connection, GearmanConnection) and not connection.conn.closed
        self.core.probed(endpoint, up, 0.0)

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """Nothing to do: the connection itself is the entry."""

    def may_transfer(self, attempt: Attempt) -> bool:
        """Its end comes on this worker's connection, and nowhere else."""
        return False

    # -- handles, status and the text protocol

    def handle_of(self, request: Request) -> bytes:
        """A request's handle; one that ended at once, with a kept result, gets one of its own."""
        if request.id < 0:
            self._kept += 1
            return f"H:{self.name}:k{self._kept}".encode()
        return f"H:{self.name}:{request.id}".encode()

    def request_of(self, handle: bytes) -> Request | None:
        start = f"H:{self.name}:".encode()
        number = handle[len(start) :]
        request = None
        if handle.startswith(start) and number.isdigit() and len(number) < 11:
            request = self.core.requests.get(int(number))
        return request if request is not None and not request.ended else None

    def status_of(self, request: Request | None) -> tuple[bytes, bytes, bytes, bytes]:
        """Known, running, and the share done as a fraction."""
        if request is None or request.ended:
            return b"0", b"0", b"0", b"0"
        running = any(s.accepted and not s.ended for s in request.attempts)
        return b"1", b"%d" % running, b"%d" % round(request.share * 100), b"100"

    def admin(self, line: str) -> bytes:
        if line == "version":
            return f"OK {VERSION}\n".encode()
        if line == "status":
            return "".join([*self._status_lines(), ".\n"]).encode()
        if line == "workers":
            return "".join([*self._worker_lines(), ".\n"]).encode()
        if line == "":
            return b""
        return b"ERR UNKNOWN_COMMAND Unknown+server+command\n"

    def _status_lines(self) -> list[str]:
        lines = []
        requests = [f for f in self.core.requests.all() if not f.ended]
        for cls in self.core.classes:
            of_class = [f for f in requests if f.cls == cls]
            running = sum(any(s.accepted and not s.ended for s in f.attempts) for f in of_class)
            able = [e for e in self.core.endpoints.values() if e.in_service]
            workers = sum(e.listed.classes is None or cls in e.listed.classes for e in able)
            lines.append(f"{cls}\t{len(of_class)}\t{running}\t{workers}\n")
        return lines

    def _worker_lines(self) -> list[str]:
        lines = []
        for c in self.connections.all():
            try:
                peer = str(c.conn.sock.getpeername()[0])
            except OSError:
                peer = "-"
            names = "".join(f" {name}" for name in c.abilities)
            lines.append(f"{c.number} {peer} {c.client_id} :{names}\n")
        return lines


def _nothing() -> None:
    return None


def _text(data: bytes) -> str:
    """Names and ids as text, byte for byte."""
    return data.decode("latin-1")
