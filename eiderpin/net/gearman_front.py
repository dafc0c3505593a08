"""The Gearman front end: the jobs of Gearman clients become requests, and Gearman workers become endpoints.

A Gearman function is a class. What the protocol has no equivalent for is mapped as follows:

- A rejection is WORK_FAIL. Clients that asked for exceptions first get a WORK_EXCEPTION that says when to
  retry. A failure, or the deadline of the class, is WORK_FAIL alone.
- A worker's WORK_FAIL or WORK_EXCEPTION is an error. If its connection breaks, that is a reset for the jobs
  that it had grabbed, and a failed connect for the others. A job that was placed on it and not grabbed in
  time was rejected.
- A worker that withdraws all its functions is draining; one whose connection has ended is gone.
"""

from __future__ import annotations

from eiderpin import VERSION
from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Endpoint, Request
from eiderpin.core.slot_table import SlotTable
from eiderpin.net.connection import Connection
from eiderpin.net.gearman_connection import GearmanConnection
from eiderpin.net.gearman_jobs import JobMemory
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop
from eiderpin.policy.memory_budget import HoldingKind, MemoryBudget

DRAIN_INTERVAL_MS = 200.0  # between checks for idle clients while they are drained
IDLE_AFTER_MS = 150.0  # without a packet from a client


class GearmanFront:
    """Accepts the connections of Gearman clients and workers; also the `WorkerLink` to those workers."""

    def __init__(
        self, loop: Loop, core: Dispatcher, address: tuple[str, int], name: str, max_connections: int,
        memory: MemoryBudget, shared: bool = False,
    ) -> None:  # fmt: skip
        """`name` is the dispatcher's and is part of each handle. With `shared` an old and a new process may
        both bind the address, and nothing is accepted until the listener is started."""
        self.loop, self.core, self.name = loop, core, name
        self.memory, self.jobs = memory, JobMemory(memory)
        core.on_request_freed = self.jobs.remove
        self.max_connections = max_connections
        self.connections: SlotTable[GearmanConnection] = SlotTable()
        self._last_worker_number = 0
        self._drain_timer: Deadline | None = None  # the next check for idle clients, while they are drained
        self._stored_answer_handles = 0  # handles given to requests that were answered at once
        self.listener = Listener(loop, address, self.accept_connection, accepting=not shared, shared=shared)

    def accept_connection(self, conn: Connection) -> None:
        """Add a new connection, or close it and accept no more for a while if there are too many."""
        self.core.counters.add("in.gearman_connections")
        if len(self.connections) >= self.max_connections and not self.close_one_idle():
            conn.close()
            self.listener.suspend()
            return
        connection = GearmanConnection(self, conn)
        connection.number = self.connections.add(connection)

    def close_one_idle(self) -> bool:
        """Close the connection that has done nothing for longest, to make room; return whether there is one.

        One that works, waits for jobs or was active a moment ago stays.
        """
        idle = [connection for connection in self.connections.all() if self.is_idle_client(connection)]
        longest = min(idle, key=lambda connection: connection.last_activity, default=None)
        if longest is None:
            return False
        self.core.counters.add("in.made_room")
        longest.conn.close_and_notify()
        return True

    def is_idle_client(self, connection: GearmanConnection) -> bool:
        """Return whether a connection has no part in any job, and has been silent for a while."""
        is_worker = connection.endpoint is not None or connection.abilities or connection.running
        is_silent = self.loop.clock.now() - connection.last_activity > IDLE_AFTER_MS
        return not is_worker and not connection.open_submissions and is_silent

    def account_memory(self, connection: GearmanConnection) -> None:
        """Update how much memory a connection holds, and take memory from holders if there is too little."""
        if connection.conn.closed:
            return
        kind = HoldingKind.UNREAD if connection.conn.unsent else HoldingKind.PARTIAL
        if self.memory.update(connection, connection.held_bytes, kind):
            self.memory.make_room()

    def make_room_for_job(self, size: int, submitter: GearmanConnection) -> bool:
        """Return whether a job of this size can be accepted, having taken memory from others if necessary."""
        self.memory.make_room(size, exempt=submitter)
        return self.jobs.has_room_for(size)

    def drain_connections(self, draining: bool, after: float) -> None:
        """Start closing idle clients, `after` ms from now and then repeatedly, or stop it. Workers stay, and
        so do clients that wait for jobs: the protocol has no way to ask them to leave."""
        if not draining:
            self.loop.deadlines.drop(self._drain_timer)
            self._drain_timer = None
        elif self._drain_timer is None:
            self._drain_timer = self.loop.deadlines.set(self.loop.clock.now() + after, self.close_idle)

    def close_idle(self) -> None:
        """Close the connections of idle clients, and schedule the next check."""
        now = self.loop.clock.now()
        for connection in self.connections.all():
            is_idle = self.is_idle_client(connection) and not connection.conn.unsent
            if is_idle and not connection.conn.has_input():
                connection.handle_eof()
                connection.conn.close_when_sent()
        self._drain_timer = self.loop.deadlines.set(now + DRAIN_INTERVAL_MS, self.close_idle)

    def answer_all(self) -> int:
        """Answer every open submission, since the process exits; returns how many."""
        answered = 0
        for connection in self.connections.all():
            answered += connection.answer_all()
        return answered

    def next_worker_number(self) -> int:
        """A number for the next worker's name."""
        self._last_worker_number += 1
        return self._last_worker_number

    # The interface of a `WorkerLink`.

    def send(self, attempt: Attempt) -> None:
        """Offer a job to its worker."""
        connection = attempt.endpoint.address
        if isinstance(connection, GearmanConnection) and not connection.conn.closed:
            connection.place(attempt)
        else:
            self.core.ended(attempt, api.Outcome.NOT_CONNECTED)

    def cancel(self, attempt: Attempt) -> None:
        """Take back a job that was not grabbed; a worker that runs a job cannot be told to stop."""
        connection = attempt.endpoint.address
        if isinstance(connection, GearmanConnection) and attempt in connection.placed:
            connection.placed.remove(attempt)
            connection.cancel_timeout(attempt)

    def probe(self, endpoint: Endpoint) -> None:
        """Report at once whether the worker's connection is open."""
        connection = endpoint.address
        up = isinstance(connection, GearmanConnection) and not connection.conn.closed
        self.core.probed(endpoint, up, 0.0)

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """Do nothing: the connection itself is the worker's address."""

    def may_transfer(self, attempt: Attempt) -> bool:
        """False: the result can come only on this worker's connection."""
        return False

    # Handles, status and the text protocol.

    def handle_of(self, request: Request) -> bytes:
        """A request's handle. A request that was answered at once, with a stored result, has no id and gets a
        handle of its own."""
        if request.id < 0:
            return self.next_spare_handle()
        return f"H:{self.name}:{request.id}".encode()

    def next_spare_handle(self) -> bytes:
        """A handle for a job that has no request."""
        self._stored_answer_handles += 1
        return f"H:{self.name}:k{self._stored_answer_handles}".encode()

    def find_request(self, handle: bytes) -> Request | None:
        """The request with this handle, unless it is not known or has ended."""
        start = f"H:{self.name}:".encode()
        number = handle[len(start) :]
        request = None
        if handle.startswith(start) and number.isdigit() and len(number) < 11:
            request = self.core.requests.get(int(number))
        return request if request is not None and not request.ended else None

    def status_of(self, request: Request | None) -> tuple[bytes, bytes, bytes, bytes]:
        """Whether the job is known, whether it runs, and the share done as numerator and denominator: the
        arguments of STATUS_RES."""
        if request is None or request.ended:
            return b"0", b"0", b"0", b"0"
        running = any(a.accepted and not a.ended for a in request.attempts)
        return b"1", b"%d" % running, b"%d" % round(request.share * 100), b"100"

    def answer_line(self, line: str) -> bytes:
        """The reply to a command of the text protocol."""
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
        """A line for each class: its open jobs, how many of them run, and the workers that serve it."""
        lines = []
        requests = [r for r in self.core.requests.all() if not r.ended]
        for cls in self.core.classes:
            of_class = [r for r in requests if r.cls == cls]
            running = sum(any(a.accepted and not a.ended for a in r.attempts) for r in of_class)
            in_service = [e for e in self.core.endpoints.values() if e.in_service]
            workers = sum(e.listed.classes is None or cls in e.listed.classes for e in in_service)
            lines.append(f"{cls}\t{len(of_class)}\t{running}\t{workers}\n")
        return lines

    def _worker_lines(self) -> list[str]:
        """A line for each connection: its number, address, client id and functions."""
        lines = []
        for connection in self.connections.all():
            try:
                peer = str(connection.conn.sock.getpeername()[0])
            except OSError:
                peer = "-"
            names = "".join(f" {name}" for name in connection.abilities)
            lines.append(f"{connection.number} {peer} {connection.client_id} :{names}\n")
        return lines
