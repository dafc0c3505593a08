"""One connection to the Gearman front end: its packets, the jobs that it waits for and those that it runs."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.requests import Answer, Attempt, Endpoint, Request, Verdict
from eiderpin.net.connection import Connection
from eiderpin.net.gearman import BadPacket, Kind, Line, Packet, Reader, pack
from eiderpin.net.turn_order import TurnClass
from eiderpin.policy.memory_budget import HoldingKind

if TYPE_CHECKING:
    from eiderpin.net.gearman_front import GearmanFront

GRAB_TIMEOUT_MS = 1000.0  # for a worker to grab a job that was placed on it
MAX_OPEN_JOBS = 1024  # that one client connection may wait for
MAX_PLACED_JOBS = 2  # on one worker connection, the running one included: a worker runs one at a time
MAX_ABILITIES = 128  # functions that one connection may offer
MAX_FUNCTION_BYTES = 512  # of a function's name
# The work for one connection in one turn of the loop; a command of the text protocol may cost 1 ms.
MAX_ITEMS_PER_TURN = 64
MAX_TURN_MS = 2.0
MAX_UNREAD_BYTES = 64 * 1024  # of replies; with more, nothing further is done for the peer until it reads
PACKET_TIMEOUT_MS = 2850.0  # for a packet or line to be received completely, counted from its first byte
UNREAD_REPLY_TIMEOUT_MS = 15_000.0  # for a peer that reads nothing of its replies

# The packet types that submit a job, with its priority and whether it runs in the background.
SUBMIT_KINDS = {
    Kind.SUBMIT_JOB: (0, False),
    Kind.SUBMIT_JOB_BG: (0, True),
    Kind.SUBMIT_JOB_HIGH: (1, False),
    Kind.SUBMIT_JOB_HIGH_BG: (1, True),
    Kind.SUBMIT_JOB_LOW: (-1, False),
    Kind.SUBMIT_JOB_LOW_BG: (-1, True),
}


class Submission:
    """A job that a client connection has submitted and waits for."""

    __slots__ = ("client", "request", "handle", "early_answer")

    def __init__(self, client: GearmanConnection) -> None:
        self.client = client
        self.request: Request | None = None
        self.handle = b""
        self.early_answer: Answer | None = None  # received before JOB_CREATED could be sent

    def confirm(self, request: Request, handle: bytes) -> None:
        """Send JOB_CREATED, and the answer if there is one already."""
        self.request, self.handle = request, handle
        self.client.send_packet(Kind.JOB_CREATED, handle)
        if self.early_answer is not None:
            self.answer(request, self.early_answer)
        else:
            self.client.open_submissions.add(self)

    def answer(self, request: Request, answer: Answer) -> None:
        """Send the final answer, or keep it until the submission is confirmed."""
        if not self.handle:
            self.early_answer = answer
            return
        self.client.open_submissions.discard(self)
        if answer.verdict is Verdict.SERVED:
            self.client.send_packet(Kind.WORK_COMPLETE, self.handle, answer.result)
            return
        if answer.verdict is Verdict.REJECTED and self.client.wants_exceptions:
            wait = "" if answer.wait is None else f", come back after {answer.wait / 1000:.3f} s"
            self.client.send_packet(Kind.WORK_EXCEPTION, self.handle, f"turned down{wait}".encode())
        self.client.send_packet(Kind.WORK_FAIL, self.handle)

    def progress(self, request: Request, share: float) -> None:
        """Send which share of the job is done, from 0 to 1."""
        if self.handle:
            self.client.send_packet(Kind.WORK_STATUS, self.handle, b"%d" % round(share * 100), b"100")

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None:
        """Send partial data, or a warning, from the worker."""
        if self.handle:
            self.client.send_packet(Kind.WORK_WARNING if warning else Kind.WORK_DATA, self.handle, data)

    def has_left(self) -> bool:
        """Whether the client has closed its side, even if that has not been handled yet."""
        return self.client.conn.closed or self.client.conn.has_ended()


class GearmanConnection:
    """A connection to the Gearman front end, of a client, a worker or both."""

    def __init__(self, front: GearmanFront, conn: Connection) -> None:
        self.front, self.conn, self.core = front, conn, front.core
        self.number = -1
        conn.service.turn_class = TurnClass.NEW
        self.last_activity = front.loop.clock.now()
        self.reader = Reader()
        self.client_id = "-"
        self.wants_exceptions = False
        self.open_submissions: set[Submission] = set()
        # Replies to submissions, in their order: functions that send one, and whether it may be sent now.
        self.pending_replies: deque[list[Any]] = deque()
        # As a worker.
        self.abilities: dict[str, float] = {}  # functions, and their timeouts in ms; 0: none
        self.endpoint: Endpoint | None = None
        self.asleep = False
        self.placed: deque[Attempt] = deque()
        self.running: dict[bytes, Attempt] = {}
        self.timeouts: dict[Attempt, Deadline] = {}  # for its grab, then the function's own
        self.input_timeout: Deadline | None = None  # for a packet to be complete, or replies to be read
        conn.on_data, conn.on_end, conn.on_closed = self.handle_data, self.handle_eof, self.handle_close
        conn.on_turn, conn.on_flushed = self.process_input, self.handle_flushed

    @property
    def held_bytes(self) -> int:
        """Memory that received input, functions and unread replies take."""
        abilities = sum(len(name) for name in self.abilities)
        return self.reader.buffered_bytes + len(self.conn.unsent) + abilities

    def send_packet(self, kind: Kind, *args: bytes) -> None:
        """Send one packet."""
        self.conn.write(pack(kind, *args))
        if self.conn.unsent:
            self.front.account_memory(self)

    def send_error(self, code: str, text: str) -> None:
        """Count invalid input, and answer it with an ERROR packet."""
        self.core.counters.add("in.gearman_bad")
        self.send_packet(Kind.ERROR, code.encode(), text.encode())

    def handle_data(self, data: bytes) -> None:
        """Take received bytes, and handle what they complete."""
        self.last_activity = self.front.loop.clock.now()
        self.reader.receive(data)
        self.process_input()

    def handle_flushed(self) -> None:
        """All replies have been taken by the peer's side: go on with input that waited for that."""
        if not self.conn.reading:
            self.conn.request_turn()
        self.note_input_state()

    def process_input(self) -> None:
        """Handle packets and text lines that have been received, as many as one turn allows.

        No more is received while some are left, or while too many replies are unread.
        """
        clock = self.front.loop.clock
        end = clock.now() + MAX_TURN_MS
        for _ in range(MAX_ITEMS_PER_TURN):
            if self.conn.closed or self.conn.closing:
                return
            if len(self.conn.unsent) > MAX_UNREAD_BYTES or clock.now() > end:
                break
            item = self.reader.take()
            if item is None:
                self.conn.resume_reading()
                self.note_input_state()
                return
            self.handle_item(item)
        if self.conn.closed or self.conn.closing:
            return
        self.conn.pause_reading()
        if len(self.conn.unsent) <= MAX_UNREAD_BYTES:
            self.conn.request_turn()
        self.note_input_state()

    def note_input_state(self) -> None:
        """Count the memory that is held, and start or cancel the timeout for what is not complete."""
        self.front.account_memory(self)
        if self.conn.closed:
            return
        waits_for_peer = bool(self.conn.unsent) or bool(self.reader.buffered_bytes)
        if not waits_for_peer:
            self.cancel_input_timeout()
        elif self.input_timeout is None:
            ms = UNREAD_REPLY_TIMEOUT_MS if self.conn.unsent else PACKET_TIMEOUT_MS
            self.input_timeout = self.core.deadlines.set(
                self.core.clock.now() + ms, self.handle_input_timeout
            )

    def cancel_input_timeout(self) -> None:
        """Cancel the timeout for a packet to be complete or replies to be read."""
        self.core.deadlines.drop(self.input_timeout)
        self.input_timeout = None

    def handle_input_timeout(self) -> None:
        """Close the connection of a peer that neither completes its packet nor reads its replies."""
        self.input_timeout = None
        if not self.conn.reading and not self.conn.unsent:
            self.note_input_state()  # there is more to do here first
            return
        self.core.counters.add("in.gearman_stalled")
        self.conn.close_and_notify()

    def handle_item(self, item: Packet | Line | BadPacket) -> None:
        """Handle one packet, text line or piece of invalid input."""
        if isinstance(item, Packet):
            self.handle_packet(item)
        elif isinstance(item, Line):
            self.conn.write(self.front.answer_line(item.text))
        else:
            self.send_error(item.code, str(item))
            if item.fatal:
                self.handle_eof()
                self.conn.close_when_sent()

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Close the connection, since its memory is needed."""
        self.core.counters.add(f"in.shed.{kind.name.lower()}")
        self.conn.close_and_notify()

    def handle_close(self) -> None:
        """Release what belongs to the connection."""
        self.cancel_input_timeout()
        self.reader.release()
        self.front.memory.remove(self)

    def handle_eof(self) -> None:
        """The peer has disconnected: abandon the jobs that it waited for, and end its attempts."""
        self.conn.on_end = _do_nothing
        self.cancel_input_timeout()
        self.reader.release()
        for submission in list(self.open_submissions):
            if submission.request is not None:
                self.core.detach(submission.request, submission)
        self.open_submissions.clear()
        for attempt in list(self.placed):
            self.cancel_timeout(attempt)
            self.core.ended(attempt, api.Outcome.NOT_CONNECTED)
        self.placed.clear()
        for attempt in list(self.running.values()):
            self.cancel_timeout(attempt)
            self.core.ended(attempt, api.Outcome.RESET)
        self.running.clear()
        if self.endpoint is not None:
            self.publish_state(api.WorkerState.GONE)
            del self.core.endpoints[self.endpoint.name]  # the name is never used again
            self.endpoint = None
        self.front.connections.remove(self.number)

    def handle_packet(self, packet: Packet) -> None:
        """Handle one packet of a client or a worker."""
        kind, args = packet.kind, packet.args
        self.core.counters.add("in.gearman_packets")
        if kind in SUBMIT_KINDS:
            self.submit(kind, *args)
        elif kind is Kind.ECHO_REQ:
            self.send_packet(Kind.ECHO_RES, args[0])
        elif kind is Kind.GET_STATUS:
            self.send_packet(
                Kind.STATUS_RES, args[0], *self.front.status_of(self.front.find_request(args[0]))
            )
        elif kind is Kind.GET_STATUS_UNIQUE:
            request = self.core.request_by_unique(_decode_text(args[0]))
            known, running, numerator, denominator = self.front.status_of(request)
            waiting = len(request.waiters) if request is not None else 0
            self.send_packet(
                Kind.STATUS_RES_UNIQUE, args[0], known, running, numerator, denominator, b"%d" % waiting
            )
        elif kind is Kind.OPTION_REQ:
            if args[0] == b"exceptions":
                self.wants_exceptions = True
                self.send_packet(Kind.OPTION_RES, args[0])
            else:
                self.send_error("UNKNOWN_OPTION", "the one option is exceptions")
        elif kind is Kind.SET_CLIENT_ID:
            self.client_id = "".join(
                c if c.isprintable() and c != " " else "_" for c in _decode_text(args[0][:64])
            )
        elif kind in (Kind.CAN_DO, Kind.CAN_DO_TIMEOUT):
            self.add_ability(_decode_text(args[0]), args[1] if len(args) > 1 else b"0")
        elif kind is Kind.CANT_DO:
            self.remove_abilities([_decode_text(args[0])])
        elif kind is Kind.RESET_ABILITIES:
            self.remove_abilities(list(self.abilities))
        elif kind is Kind.PRE_SLEEP:
            self.asleep = True
            if self.placed:
                self.wake()
        elif kind in (Kind.GRAB_JOB, Kind.GRAB_JOB_UNIQ):
            self.assign_job(kind is Kind.GRAB_JOB_UNIQ)
        elif kind in (Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.WORK_EXCEPTION):
            self.handle_work_end(kind, args)
        elif kind in (Kind.WORK_STATUS, Kind.WORK_DATA, Kind.WORK_WARNING):
            self.handle_work_progress(kind, args)
        elif kind is not Kind.ALL_YOURS:
            self.send_error("UNEXPECTED", f"{kind.name} is not for a job server")

    # As a client.

    def submit(self, kind: Kind, function: bytes, unique: bytes, body: bytes) -> None:
        """Submit a job to the dispatcher, and reply with its handle or an error."""
        cls = _decode_text(function)
        spec = self.core.classes.get(cls)
        if spec is None:
            self.send_error("UNKNOWN_FUNCTION", f"there is no class {cls!r}")
            return
        if len(self.open_submissions) >= MAX_OPEN_JOBS:
            self.send_error("TOO_MANY", "this connection waits for too many jobs")
            return
        priority, background = SUBMIT_KINDS[kind]
        size = self.front.jobs.size_of(body, _decode_text(unique))
        if not self.front.make_room_for_job(size, self):
            self.refuse_job(cls, background)
            return
        # By convention of the protocol, a unique id of one dash stands for the data itself.
        unique_id = _decode_text(unique)
        if unique == b"-":
            unique_id = "data-" + hashlib.sha1(function + b"\0" + body).hexdigest()
        request = Request(
            cls, unique_id, b"/" + function, body, self.core.clock.now() + spec.deadline,
            priority=priority, background=background,
        )  # fmt: skip
        submission = Submission(self)
        try:
            joined = self.core.submit(request, None if background else submission)
            self.front.jobs.add(joined, size)
        except JobMismatchError:
            self.send_error(
                "OTHER_JOB", f"the unique id {unique_id!r} is that of a job that asked for something else"
            )
            return
        handle = self.front.handle_of(joined)
        if not background:
            self.reply_in_order(lambda: submission.confirm(joined, handle))
        elif joined.job and self.core.job_manager is not None:
            # The job is confirmed once it is on disk, so that it outlives this process.
            self.core.job_manager.when_durable(
                joined, self.defer_reply(lambda: self.send_packet(Kind.JOB_CREATED, handle))
            )
        elif request.not_accepted:
            self.reply_in_order(self.send_no_room)
        elif self.core.is_durable(cls) and not joined.job and request is joined:
            self.reply_in_order(self.send_not_taken)
        else:
            self.reply_in_order(lambda: self.send_packet(Kind.JOB_CREATED, handle))

    def refuse_job(self, cls: str, background: bool) -> None:
        """Reject a job since there is no memory for it; nobody would be told of a background job's end."""
        self.core.counters.add("in.over_memory")
        self.core.count_answer(cls, Verdict.REJECTED)
        if background:
            self.reply_in_order(self.send_no_room)
            return
        handle, answer = self.front.next_spare_handle(), self.core.rejection()
        rejected = Request(cls, "", b"", b"", 0.0)
        submission = Submission(self)
        submission.early_answer = answer
        self.reply_in_order(lambda: submission.confirm(rejected, handle))

    def send_no_room(self) -> None:
        """Reply that a background job was not accepted for lack of memory."""
        self.send_error("NO_ROOM", "no memory for the job: come back later")

    def send_not_taken(self) -> None:
        """Reply that a durable job could not be accepted: its disk or its ledger has no room for it."""
        self.send_error("NOT_TAKEN", "durable jobs are not taken now: come back later")

    def reply_in_order(self, send_reply: Callable[[], None]) -> None:
        """Send the reply to a submission after those to earlier ones: clients match them by their order."""
        if self.pending_replies:
            self.pending_replies.append([send_reply, True])
        else:
            send_reply()

    def defer_reply(self, send_reply: Callable[[], None]) -> Callable[[bool], None]:
        """Hold back the reply to a submission until the returned function is called, with whether the job was
        written to disk. Replies to later submissions wait, too."""
        pending: list[Any] = [send_reply, False]
        self.pending_replies.append(pending)

        def release(ok: bool) -> None:
            pending[:] = [send_reply if ok else self.send_not_taken, True]
            while self.pending_replies and self.pending_replies[0][1] and not self.conn.closed:
                self.pending_replies.popleft()[0]()

        return release

    def answer_all(self) -> int:
        """Answer every open submission, since the process exits; returns how many."""
        answered = len(self.open_submissions) + len(self.pending_replies)
        pending, self.pending_replies = self.pending_replies, deque()
        for send_reply, may_be_sent in pending:
            (send_reply if may_be_sent else self.send_not_taken)()
        for submission in list(self.open_submissions):
            if submission.request is not None:
                self.core.answer_waiter(submission.request, submission)
        return answered

    # As a worker.

    def add_ability(self, function: str, timeout: bytes) -> None:
        """Note a function that the worker offers; `timeout` is in whole seconds, as received."""
        if not timeout.isdigit():
            self.send_error("BAD_ARGUMENTS", "a time-out is a number of seconds")
            return
        if len(function) > MAX_FUNCTION_BYTES or len(self.abilities) >= MAX_ABILITIES:
            self.send_error(
                "TOO_MANY", "this connection offers too many functions, or one with too long a name"
            )
            return
        is_new = function not in self.abilities
        self.abilities[function] = min(int(timeout), 86400) * 1000.0
        if is_new and function in self.core.classes:
            self.publish_state(api.WorkerState.IN_SERVICE)

    def remove_abilities(self, functions: list[str]) -> None:
        """Remove functions that the worker no longer offers. Jobs of theirs that were placed and not grabbed
        are taken back at once, without waiting for the drain's grace."""
        for function in functions:
            self.abilities.pop(function, None)
        for attempt in [a for a in self.placed if a.request.cls not in self.abilities]:
            self.placed.remove(attempt)
            self.cancel_timeout(attempt)
            self.core.ended(attempt, api.Outcome.NOT_SENT)
        if self.endpoint is not None:
            serves = any(f in self.core.classes for f in self.abilities)
            self.publish_state(api.WorkerState.IN_SERVICE if serves else api.WorkerState.DRAINING)

    def publish_state(self, state: api.WorkerState) -> None:
        """Report this worker to the dispatcher, with its state and the classes that it serves now."""
        now = self.core.clock.now()
        classes = frozenset(f for f in self.abilities if f in self.core.classes)
        name = (
            self.endpoint.name if self.endpoint is not None else f"gearman-{self.front.next_worker_number()}"
        )
        born = self.endpoint.listed.born if self.endpoint is not None else now
        listed = api.WorkerEntry(
            name, self.core.settings.zone, "gearman", -1, state, born=born, classes=classes, slots=1.0
        )
        self.core.apply_worker_list(self.front, api.ListKind.CHANGES, [(listed, self)])
        self.endpoint = self.core.endpoints[name]

    def place(self, attempt: Attempt) -> None:
        """Offer a job to the worker, and wake it if it sleeps. It must grab the job within a time limit."""
        if len(self.placed) + len(self.running) >= MAX_PLACED_JOBS:
            self.core.ended(attempt, api.Outcome.REJECTED)
            return
        self.placed.append(attempt)
        at = self.core.clock.now() + GRAB_TIMEOUT_MS
        self.timeouts[attempt] = self.core.deadlines.set(at, lambda: self.handle_grab_timeout(attempt))
        if self.asleep:
            self.wake()

    def wake(self) -> None:
        """Tell a sleeping worker that it may grab a job."""
        self.asleep = False
        self.send_packet(Kind.NOOP)

    def handle_grab_timeout(self, attempt: Attempt) -> None:
        """Take back a job that the worker has not grabbed in time."""
        if attempt in self.placed:
            self.placed.remove(attempt)
            self.timeouts.pop(attempt, None)
            self.core.ended(attempt, api.Outcome.REJECTED)

    def assign_job(self, with_unique: bool) -> None:
        """Answer a worker that grabs a job with one that was placed on it, or with NO_JOB."""
        self.asleep = False
        while self.placed:
            attempt = self.placed.popleft()
            self.cancel_timeout(attempt)
            if not self.core.may_begin(attempt):
                # For example, its client has left, or the grace of a drain, which counts up to the first byte
                # sent, has passed while the job was placed here.
                self.core.ended(attempt, api.Outcome.NOT_SENT)
                continue
            request = attempt.request
            handle = b"%s.%d" % (self.front.handle_of(request), attempt.number)
            self.running[handle] = attempt
            if with_unique:
                unique = request.unique.encode("latin-1", "replace")
                self.send_packet(Kind.JOB_ASSIGN_UNIQ, handle, request.cls.encode(), unique, request.body)
            else:
                self.send_packet(Kind.JOB_ASSIGN, handle, request.cls.encode(), request.body)
            if not attempt.ended:  # otherwise the connection broke during the write
                self.core.written(attempt)
                self.core.progress(attempt, True)
                self.start_run_timeout(handle, attempt)
            return
        self.send_packet(Kind.NO_JOB)

    def start_run_timeout(self, handle: bytes, attempt: Attempt) -> None:
        """Start the timeout that the worker gave with the function (CAN_DO_TIMEOUT), if it gave one."""
        timeout_ms = self.abilities.get(attempt.request.cls, 0.0)
        if timeout_ms:
            at = self.core.clock.now() + timeout_ms
            self.timeouts[attempt] = self.core.deadlines.set(at, lambda: self.handle_run_timeout(handle))

    def handle_run_timeout(self, handle: bytes) -> None:
        """End an attempt that has run for longer than the worker's own timeout."""
        attempt = self.running.pop(handle, None)
        if attempt is not None:
            self.timeouts.pop(attempt, None)
            self.core.ended(attempt, api.Outcome.TIMED_OUT)

    def handle_work_end(self, kind: Kind, args: tuple[bytes, ...]) -> None:
        """Handle a worker's final report on a job: its result or a failure."""
        attempt = self.running.pop(args[0], None)
        if attempt is None:
            self.core.counters.add("in.gearman_stray")
            return
        self.cancel_timeout(attempt)
        if kind is not Kind.WORK_COMPLETE:
            self.core.ended(attempt, api.Outcome.ERROR)
        elif attempt.ended:
            self.core.late_result(attempt.request, args[1])
        else:
            self.core.ended(attempt, api.Outcome.DONE, args[1])

    def handle_work_progress(self, kind: Kind, args: tuple[bytes, ...]) -> None:
        """Pass a worker's progress or partial data on to whoever waits for the job."""
        attempt = self.running.get(args[0])
        if attempt is None or attempt.ended:
            return
        if kind is Kind.WORK_STATUS:
            if args[1].isdigit() and args[2].isdigit() and int(args[2]) > 0:
                self.core.progress(attempt, False, min(int(args[1]) / int(args[2]), 1.0))
        else:
            self.core.forward_data(attempt, args[1], kind is Kind.WORK_WARNING)

    def cancel_timeout(self, attempt: Attempt) -> None:
        """Cancel the timeout of an attempt, if one is set."""
        self.core.deadlines.drop(self.timeouts.pop(attempt, None))


def _do_nothing() -> None:
    return None


def _decode_text(data: bytes) -> str:
    """Bytes of a name or an id as text, one character for each byte."""
    return data.decode("latin-1")
