"""Handover from an old process, the predecessor, to a new one, its successor (upgrade without downtime).

The two processes are linked by a Unix socket that carries one JSON object per line. The new process connects
to the socket of its predecessor. Messages; each is sent in both directions unless noted:

    {"hello": 1, "ids": [...]}      first message: protocol version, and the ids of jobs under way
    {"serving": true, "published": [...]}   new process only: it accepts clients from now on, and the old
                                    process stops accepting. `published` identifies the file of its socket
    {"learned": {...}}              old process only, once: what its decisions have learned
    {"state": {...}}                the sender's slots in use at workers, its descriptors and its readiness
    {"adopt": {...}, "ask": 7}      a job, with its client's socket attached; answered by
    {"adopted": 7}, {"refused": 7}  with `refused` the job stays with the sender
    {"ledger": true}                the sender has released the ledger of durable jobs to the receiver
    {"waits": {...}, "ask": 7}      a client of a job in that ledger, with its socket; answered like `adopt`
    {"news": {...}, "ask": 7}       a worker's callback for an id that the sender does not know
    {"told": 7}                     the callback has been handled, or the id is not known here either

A link is closed when it breaks, times out or carries an invalid message. Each process then goes on alone.
"""

from __future__ import annotations

import contextlib
import functools
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

import orjson

from eiderpin import interface as api
from eiderpin.core import learned
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.moves import TransferredRequest, WaitingClient, adopt, rebuild_request, transfer_request
from eiderpin.core.requests import Request
from eiderpin.net.edge import ClientConnection, HttpFront
from eiderpin.net.loop import Connection, Listener, Loop

HELLO_TIMEOUT_MS = 1000.0  # a peer that sends nothing for so long after connecting is not a dispatcher
STATE_CHECK_MS = 50.0  # between checks whether the state has changed or jobs can be transferred
SILENCE_TIMEOUT_MS = 3000.0  # a peer process that sends nothing for so long is taken to be stuck
STATE_REPEAT_MS = 500.0  # an unchanged state is sent again after this time
# The peer process must handle a callback in this time; otherwise the worker is asked to send it again.
CALLBACK_TIMEOUT_MS = 500.0
MAX_PENDING_DESCRIPTORS = 16  # received descriptors whose messages have not arrived yet
MAX_LINE_BYTES = 4 << 20
MAX_IDS = 20_000  # sent in a hello
MAX_UNIDENTIFIED_LINKS = 4  # links that have not sent a hello
# A starting process looks for its predecessor so often, at this interval.
LOOKUPS, LOOKUP_RETRY_MS = 4, 50.0

Reply = Callable[[int], None]  # answers a callback with an HTTP status
FileIdentity = tuple[int, int, int]  # device, inode and modification time (ns) of a file


class Link:
    """A connection to the peer process, our predecessor or our successor."""

    def __init__(self, handover: Handover, conn: Connection, is_predecessor: bool) -> None:
        self.handover, self.conn, self.loop = handover, conn, handover.loop
        self.is_predecessor = is_predecessor  # the peer is our predecessor
        self.hello_received = False
        self.serving = False  # the peer is our successor and accepts clients
        self.published: FileIdentity | None = None  # the socket file of a successor
        self.readiness = ""  # of the peer, as reported to load balancers
        self.sockets = 0  # descriptors that the peer uses
        self.holds: dict[str, tuple[float, float]] = {}  # of the peer, by worker: see `api.Beside`
        self.buffer = bytearray()
        self.last_state: dict[str, Any] = {}
        self.state_sent_at = 0.0
        self.pending_callbacks: dict[int, tuple[Reply, Deadline]] = {}  # forwarded, by message number
        # Jobs and clients that were sent and are neither adopted nor refused yet, by message number.
        self.pending_transfers: dict[int, tuple[TransferredRequest | WaitingClient, socket.socket]] = {}
        self.received_descriptors: deque[int] = deque()  # whose messages have not been handled yet
        self.silence_timeout = self.loop.deadlines.set(self.loop.clock.now() + HELLO_TIMEOUT_MS, self.close)
        self.state_check: Deadline | None = None
        conn.on_data, conn.on_end, conn.receive = self.on_data, self.close, self.receive
        self.send(
            {"hello": 1, "ids": [r.unique for r in handover.core.requests.all() if not r.ended][:MAX_IDS]}
        )

    def send(self, message: dict[str, Any]) -> None:
        """Send a message."""
        self.conn.write(orjson.dumps(message) + b"\n")

    def send_socket(self, message: dict[str, Any], sock: socket.socket) -> bool:
        """Send a message with a socket attached; return whether it was sent."""
        if self.conn.unsent or self.conn.closed:
            return False
        line = orjson.dumps(message) + b"\n"
        try:
            sent = socket.send_fds(self.conn.sock, [line], [sock.fileno()])
        except OSError:
            return False
        self.conn.write(line[sent:])
        return True

    def receive(self, size: int) -> bytes:
        """Receive at most `size` bytes, and keep the descriptors that come with them."""
        data, descriptors, _, _ = socket.recv_fds(self.conn.sock, size, MAX_PENDING_DESCRIPTORS)
        self.received_descriptors.extend(descriptors)
        return data

    def on_data(self, data: bytes) -> None:
        """Handle the messages that received data completes; an invalid one closes the link."""
        deadlines = self.loop.deadlines
        deadlines.drop(self.silence_timeout)
        self.silence_timeout = deadlines.set(self.loop.clock.now() + SILENCE_TIMEOUT_MS, self.close)
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        try:
            if len(rest) > MAX_LINE_BYTES:
                raise ValueError("line is too long")
            for line in lines:
                if not self.conn.closed:
                    self.handle_message(orjson.loads(line))
            if len(self.received_descriptors) > MAX_PENDING_DESCRIPTORS:
                raise ValueError("too many descriptors without a message")
        except (ValueError, TypeError, KeyError, AttributeError, IndexError, OSError):
            self.handover.core.counters.add("in.link_bad")
            self.close()

    def handle_message(self, message: dict[str, Any]) -> None:
        """Handle one message of the protocol above.

        An invalid one raises `ValueError`, or what its conversion raises.
        """
        if not self.hello_received:
            if message["hello"] != 1:
                raise ValueError("unknown protocol version")
            ids = {str(i) for i in message["ids"]}
            self.hello_received = True
            self.handover.on_hello(self, ids)
            self.send_state()
        elif "state" in message:
            state = message["state"]
            holds = {str(w): (float(a), float(b)) for w, (a, b) in state["holds"].items()}
            if not all(a >= 0 and b >= 0 for a, b in holds.values()):
                raise ValueError("a negative number of held slots")
            self.sockets, self.readiness = int(state["sockets"]), str(state["readiness"])
            self.holds = holds
            self.handover.core.add_event(api.Beside(holds))
            self.handover.on_change()
        elif "learned" in message:
            self.handover.core.apply_learned(learned.parse(message["learned"]))
        elif "serving" in message:
            self.serving = True
            published = message.get("published")
            self.published = _parse_identity(published) if published is not None else None
            self.send({"learned": learned.collect(self.handover.core.module)})
            self.handover.on_change()
        elif "news" in message:
            number = int(message["ask"])
            self.handover.on_forwarded_callback(
                self, message["news"], lambda status: self.send({"told": number})
            )
        elif "adopt" in message:
            sock = socket.socket(fileno=self.received_descriptors.popleft())
            adopted = self.handover.adopt_job(message["adopt"], sock)
            self.send({"adopted" if adopted else "refused": int(message["ask"])})
        elif "ledger" in message:
            if self.handover.ledger is not None:
                self.handover.ledger.on_ledger_released()
        elif "waits" in message:
            sock = socket.socket(fileno=self.received_descriptors.popleft())
            adopted = self.handover.adopt_waiting_client(message["waits"], sock)
            self.send({"adopted" if adopted else "refused": int(message["ask"])})
        elif "adopted" in message:
            self.pending_transfers.pop(int(message["adopted"]))[1].close()
        elif "refused" in message:
            self.take_back(int(message["refused"]))
        elif "told" in message:
            reply, timeout = self.pending_callbacks.pop(int(message["told"]), (None, None))
            self.loop.deadlines.drop(timeout)
            if reply is not None:
                reply(204)
        else:
            raise ValueError("unknown message")

    def take_back(self, number: int) -> None:
        """Continue here with a job or client that the peer refused or that it had not adopted."""
        moved, sock = self.pending_transfers.pop(number)
        if isinstance(moved, WaitingClient):
            self.handover.adopt_waiting_client(asdict(moved), sock)
            return
        self.handover.kept_ids.add(moved.wire_id)
        self.handover.adopt_job(asdict(moved), sock)

    def send_callback(self, number: int, callback: dict[str, Any], reply: Reply) -> None:
        """Forward a callback, and reply to its worker when the peer has handled it: 204, else 503."""

        def on_timeout() -> None:
            self.pending_callbacks.pop(number, None)
            reply(503)  # the worker will send it again

        timeout = self.loop.deadlines.set(self.loop.clock.now() + CALLBACK_TIMEOUT_MS, on_timeout)
        self.pending_callbacks[number] = (reply, timeout)
        self.send({"news": callback, "ask": number})

    def send_state(self) -> None:
        """Send our state if it has changed or was sent long ago, and transfer what can go to a successor."""
        now, state = self.loop.clock.now(), self.handover.get_state()
        if state != self.last_state or now > self.state_sent_at + STATE_REPEAT_MS:
            self.last_state, self.state_sent_at = state, now
            self.send({"state": state})
        if self is self.handover.successor:
            self.handover.transfer_jobs()
        self.state_check = self.loop.deadlines.set(now + STATE_CHECK_MS, self.send_state)

    def close(self) -> None:
        """Close the link: take unadopted jobs back and reply 503 to callbacks in flight."""
        self.loop.deadlines.drop(self.silence_timeout)
        self.loop.deadlines.drop(self.state_check)
        self.conn.close()
        for number in list(self.pending_transfers):
            self.take_back(number)
        while self.received_descriptors:
            os.close(self.received_descriptors.popleft())
        pending, self.pending_callbacks = self.pending_callbacks, {}
        for reply, timeout in pending.values():
            self.loop.deadlines.drop(timeout)
            reply(503)
        self.handover.on_link_closed(self)


class LedgerOwner(Protocol):
    """The side of the ledger of durable jobs that the handover uses."""

    def on_ledger_released(self) -> None:
        """The previous owner has released the ledger to us, or has ended."""
        ...

    def release(self) -> list[tuple[WaitingClient, ClientConnection]] | None:
        """Release the ledger. Returns the clients that wait for its jobs; None if it can't go yet."""
        ...

    def attach_client(self, request: Request, client: ClientConnection) -> None:
        """Let a client wait here for a job of the ledger."""
        ...

    def defer_callback(self, callback: dict[str, Any], reply: Reply) -> bool:
        """Defer a callback until the ledger's jobs are recovered; return whether it was deferred."""
        ...

    @property
    def released(self) -> bool:
        """Whether we have released the ledger to the peer process."""
        ...


class Handover:
    """Keeps the links to the predecessor and the successor, and transfers jobs to the successor.

    Args:
        path: where the socket of the process that serves is found.
        apply_callback: applies a callback; returns whether its request is known here.
        get_state: returns the state that is sent to the peer process.
        on_change: called when something about the peer processes has changed.
        may_transfer: whether jobs may be transferred to the successor now.
    """

    def __init__(
        self, loop: Loop, core: Dispatcher, http_front: HttpFront, path: str,
        apply_callback: Callable[[dict[str, Any]], bool], get_state: Callable[[], dict[str, Any]],
        on_change: Callable[[], None], may_transfer: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.loop, self.core, self.http_front, self.path = loop, core, http_front, path
        self.may_transfer = may_transfer
        self.kept_ids: set[str] = set()  # wire ids of jobs that were not adopted and stay here
        self.apply_callback = apply_callback
        self.get_state, self.on_change = get_state, on_change
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.unidentified_links: list[Link] = []
        self.last_number = 0  # of a message that is answered by its number
        self.ledger: LedgerOwner | None = None  # None: there are no durable jobs
        # Clients of the released ledger whose sockets are still to be sent to the successor.
        self.unsent_clients: list[tuple[WaitingClient, ClientConnection]] = []
        self.listener: Listener | None = None
        self.published: FileIdentity | None = None  # our own socket file
        self.lookups_left = LOOKUPS
        self.lookup_retry: Deadline | None = None  # of the next lookup of a predecessor
        self.find_predecessor()

    def find_predecessor(self) -> None:
        """Connect to our predecessor, if there is one.

        If its socket file exists but nobody answers, the owner may have been killed, or it is exiting and
        another process is about to publish its socket there. So the lookup is repeated a few times.
        """
        self.lookup_retry = None
        conn = self.loop.connect(_short_socket_path(self.path))
        if conn is not None:
            self.predecessor = Link(self, conn, is_predecessor=True)
        elif _file_identity(self.path) is not None:
            self.schedule_lookup()

    def schedule_lookup(self) -> None:
        """Look for a predecessor again later, unless that was done often enough."""
        self.lookups_left -= 1
        if self.lookups_left > 0:
            self.lookup_retry = self.loop.deadlines.set(
                self.loop.clock.now() + LOOKUP_RETRY_MS, self.find_predecessor
            )

    @property
    def handed_over(self) -> bool:
        """Whether a successor accepts the clients now."""
        return self.successor is not None and self.successor.serving

    def serve(self) -> None:
        """Publish our socket and tell our predecessor to stop accepting: we accept clients from now on."""
        self.publish()
        if self.predecessor is not None:
            self.predecessor.send(
                {"state": self.get_state()}
            )  # it reports our readiness as its own from now on
            self.predecessor.send({"serving": True, "published": self.published})

    def publish(self) -> None:
        """Put our socket where the next process looks for it.

        The file is renamed into place, so that there is a socket at any time. If that fails we still serve,
        but the next process won't find us.
        """
        own_path = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own_path)  # left by a killed process that had our process id
            sock.bind(_short_socket_path(own_path))
            os.chmod(own_path, 0o600)  # other users may have access to the directory
            sock.listen(8)
            self.published = _file_identity(own_path)
            os.rename(own_path, self.path)
        except OSError:
            sock.close()
            self.core.counters.add("out.link_unpublished")
            return
        if self.listener is not None:
            self.listener.close()
        self.listener = Listener(self.loop, sock, self.on_connection)

    def on_connection(self, conn: Connection) -> None:
        """Accept a link; whether it comes from a successor shows in its hello."""
        if len(self.unidentified_links) >= MAX_UNIDENTIFIED_LINKS:
            conn.close()
            return
        self.unidentified_links.append(Link(self, conn, is_predecessor=False))

    def on_hello(self, link: Link, ids: set[str]) -> None:
        """Take the peer's hello with the ids of its jobs; only one successor is accepted."""
        if link in self.unidentified_links:
            self.unidentified_links.remove(link)
            if self.successor is not None:
                link.close()
                return
            self.successor = link
        self.core.peer_request_ids |= ids
        self.on_change()

    def on_link_closed(self, link: Link) -> None:
        """Go on without the process at the other end of a closed link."""
        if link in self.unidentified_links:
            self.unidentified_links.remove(link)
            return
        if link is self.predecessor:
            self.predecessor = None
            if not link.hello_received and self.listener is None:
                self.schedule_lookup()  # it was exiting and sent no hello
        elif link is self.successor:
            self.successor = None
            unsent, self.unsent_clients = self.unsent_clients, []
            for waits, client in unsent:
                if self.ledger is not None and not client.conn.closed:
                    self.ledger.attach_client(rebuild_request(self.core, waits), client)
            # Publish our socket again, if the file there is still that of the successor. Whether somebody
            # answers there doesn't matter: an exiting process may close its listener last. The file of a
            # third process stays, because that process has the clients.
            if link.serving and (
                link.published is None or _file_identity(self.path) in (None, link.published)
            ):
                self.publish()
        else:
            return
        if self.predecessor is None and self.successor is None:
            self.core.peer_request_ids.clear()
        self.core.add_event(api.Beside(gone=True))
        self.on_change()

    def transfer_jobs(self) -> None:
        """Transfer the jobs that can go to our successor, with their clients' sockets."""
        if not self.handed_over or not self.may_transfer() or self.successor is None:
            return
        for request in self.core.requests.all():
            client = self.http_front.transferable_connection(request)
            if client is None or request.wire_id in self.kept_ids:
                continue
            moved = transfer_request(self.core, request)
            if moved is None:
                continue
            client.set_request(None)
            sock, self.last_number = client.conn.detach(), self.last_number + 1
            if not self.successor.send_socket({"adopt": asdict(moved), "ask": self.last_number}, sock):
                self.adopt_job(asdict(moved), sock)  # the link is busy: try again next time
                return
            self.successor.pending_transfers[self.last_number] = (moved, sock)
        self.transfer_ledger()

    def transfer_ledger(self) -> None:
        """Release the ledger to our successor once that is possible; then send the clients of its jobs."""
        assert self.successor is not None
        if self.ledger is not None and not self.ledger.released:
            waiting = self.ledger.release()
            if waiting is None:
                return
            self.successor.send({"ledger": True})
            self.unsent_clients += waiting
        while self.unsent_clients:
            waits, client = self.unsent_clients[0]
            if client.conn.closed:
                self.unsent_clients.pop(0)
                continue
            self.last_number += 1
            if not self.successor.send_socket(
                {"waits": asdict(waits), "ask": self.last_number}, client.conn.sock
            ):
                return  # the link is busy: try again next time
            client.set_request(None)
            self.successor.pending_transfers[self.last_number] = (waits, client.conn.detach())
            self.unsent_clients.pop(0)

    def adopt_waiting_client(self, fields: dict[str, Any], sock: socket.socket) -> bool:
        """Adopt a client of a durable job from the peer process, or take our own back."""
        client = self.http_front.adopt(sock)
        try:
            if self.ledger is None:
                raise ValueError("no ledger of durable jobs here")
            self.ledger.attach_client(rebuild_request(self.core, WaitingClient(**fields)), client)
        except (ValueError, TypeError, AttributeError):
            client.conn.close()
            return False
        return True

    def adopt_job(self, fields: dict[str, Any], sock: socket.socket) -> bool:
        """Adopt a job from the peer process, or take our own back; return whether that was possible."""
        client = self.http_front.adopt(sock)
        try:
            request = adopt(self.core, TransferredRequest(**fields), client)
        except (ValueError, TypeError, AttributeError):
            client.conn.close()  # only our descriptor: the peer process still has its own
            return False
        client.set_request(request)
        self.http_front.account_memory(client)
        return True

    def forward_callback(self, callback: dict[str, Any], reply: Reply) -> None:
        """Forward a callback for an id that we do not know: a peer process may. It is always answered."""
        links = [
            link for link in (self.predecessor, self.successor) if link is not None and link.hello_received
        ]
        self._forward(links, callback, reply)

    def on_forwarded_callback(self, link: Link, callback: dict[str, Any], reply: Reply) -> None:
        """Handle a callback that a peer process forwarded, or forward it to the peer on our other side."""
        beyond = self.successor if link.is_predecessor else self.predecessor
        if self.ledger is not None and self.ledger.defer_callback(callback, reply):
            return
        if (
            not link.is_predecessor
            and self.ledger is not None
            and self.ledger.released
            and not self.apply_callback(callback)
        ):
            # It may belong to the ledger that is on its way there. Without a reply the sender's timeout
            # makes the worker send it again.
            return
        if self.apply_callback(callback) or beyond is None or not beyond.hello_received:
            reply(204)
        else:
            self._forward([beyond], callback, reply)

    def _forward(self, links: list[Link], callback: dict[str, Any], reply: Reply) -> None:
        """Forward a callback to all these links, and reply with the worst of their statuses."""
        if not links:
            reply(204)
            return
        pending, worst_status = len(links), 204

        def on_reply(status: int) -> None:
            nonlocal pending, worst_status
            pending, worst_status = pending - 1, max(worst_status, status)
            if not pending:
                reply(worst_status)

        self.core.counters.add("out.news_passed_on")
        for link in links:
            self.last_number += 1
            link.send_callback(self.last_number, callback, on_reply)


def _short_socket_path(path: str) -> str:
    """Return an equivalent path that is short enough for the address of a Unix socket."""
    if len(os.fsencode(path)) < 100:
        return path
    directory, name = os.path.split(path)
    return f"/proc/self/fd/{_open_directory(directory)}/{name}"


@functools.cache
def _open_directory(directory: str) -> int:
    return os.open(directory, os.O_PATH)


def _file_identity(path: str) -> FileIdentity | None:
    """Return what identifies this file among others of the same name; None if there is none."""
    try:
        file_status = os.lstat(path)
    except OSError:
        return None
    return file_status.st_dev, file_status.st_ino, file_status.st_mtime_ns


def _parse_identity(fields: Any) -> FileIdentity:
    device, inode, modified_ns = (int(x) for x in fields)
    return device, inode, modified_ns
