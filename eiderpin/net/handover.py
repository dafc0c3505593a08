"""Handover from an old process, the predecessor, to a new one, its successor (upgrade without downtime).

The two processes are linked by a Unix socket; see `handover_link` and `handover_messages`.
"""

from __future__ import annotations

import contextlib
import functools
import os
import socket
from collections.abc import Callable
from dataclasses import asdict
from typing import Protocol

from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.moves import TransferredRequest, WaitingClient, adopt, rebuild_request, transfer_request
from eiderpin.core.peer_jobs import PeerJobs
from eiderpin.core.requests import Request
from eiderpin.net import handover_messages as messages
from eiderpin.net.connection import Connection
from eiderpin.net.edge import ClientConnection, HttpFront
from eiderpin.net.handover_link import Link, Reply
from eiderpin.net.handover_messages import Document, FileIdentity, State
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop

MAX_UNIDENTIFIED_LINKS = 4  # links that have not sent a hello
# A starting process looks for its predecessor so often, at this interval.
LOOKUPS, LOOKUP_RETRY_MS = 4, 50.0


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

    def defer_callback(self, callback: Document, reply: Reply) -> bool:
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
        apply_callback: Callable[[Document], bool], get_state: Callable[[], State],
        on_change: Callable[[], None], may_transfer: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.loop, self.core, self.http_front, self.path = loop, core, http_front, path
        self.peer_jobs = core.peer_jobs = PeerJobs(core)
        self.may_transfer = may_transfer
        self.kept_ids: set[str] = set()  # wire ids of jobs that were not adopted and stay here
        self.apply_callback = apply_callback
        self.get_state, self.on_change = get_state, on_change
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.unidentified_links: list[Link] = []
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
            self.predecessor.send(self.get_state())  # it reports our readiness as its own from now on
            self.predecessor.send(messages.Serving(self.published))

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

    def on_hello(self, link: Link) -> bool:
        """Accept a peer that has said hello, or close its link; only one successor is accepted."""
        if link in self.unidentified_links:
            self.unidentified_links.remove(link)
            if self.successor is not None:
                link.close()
                return False
            self.successor = link
        return True

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
            sock, number = client.conn.detach(), self.peer_jobs.next_number()
            if not self.successor.send_socket(messages.AdoptJob(number, asdict(moved)), sock):
                self.adopt_job(asdict(moved), sock)  # the link is busy: try again next time
                return
            self.successor.pending_transfers[number] = (moved, sock)
            if self.successor.claims is not None:
                self.peer_jobs.on_handed_over(self.successor.claims.peer, (moved.cls, moved.unique))
        if self.successor.claims is not None:
            self.successor.claims.move_jobs()
        self.transfer_ledger()

    def transfer_ledger(self) -> None:
        """Release the ledger to our successor once that is possible; then send the clients of its jobs."""
        assert self.successor is not None
        if self.ledger is not None and not self.ledger.released:
            waiting = self.ledger.release()
            if waiting is None:
                return
            self.successor.send(messages.LedgerReleased())
            self.unsent_clients += waiting
        while self.unsent_clients:
            waits, client = self.unsent_clients[0]
            if client.conn.closed:
                self.unsent_clients.pop(0)
                continue
            number = self.peer_jobs.next_number()
            message = messages.AdoptClient(number, asdict(waits))
            if not self.successor.send_socket(message, client.conn.sock):
                return  # the link is busy: try again next time
            client.set_request(None)
            self.successor.pending_transfers[number] = (waits, client.conn.detach())
            self.unsent_clients.pop(0)

    def adopt_waiting_client(self, document: Document, sock: socket.socket) -> bool:
        """Adopt a client of a durable job from the peer process, or take our own back."""
        client = self.http_front.adopt(sock)
        try:
            if self.ledger is None:
                raise ValueError("no ledger of durable jobs here")
            self.ledger.attach_client(rebuild_request(self.core, WaitingClient(**document)), client)
        except (ValueError, TypeError, AttributeError):
            client.conn.close()
            return False
        return True

    def adopt_job(self, document: Document, sock: socket.socket) -> bool:
        """Adopt a job from the peer process, or take our own back; return whether that was possible."""
        client = self.http_front.adopt(sock)
        try:
            request = adopt(self.core, TransferredRequest(**document), client)
        except (ValueError, TypeError, AttributeError):
            client.conn.close()  # only our descriptor: the peer process still has its own
            return False
        client.set_request(request)
        self.http_front.account_memory(client)
        return True

    def forward_callback(self, callback: Document, reply: Reply) -> None:
        """Forward a callback for an id that we do not know: a peer process may. It is always answered."""
        links = [
            link for link in (self.predecessor, self.successor) if link is not None and link.hello_received
        ]
        self._forward(links, callback, reply)

    def on_forwarded_callback(self, link: Link, callback: Document, reply: Reply) -> None:
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

    def _forward(self, links: list[Link], callback: Document, reply: Reply) -> None:
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
            link.send_callback(self.peer_jobs.next_number(), callback, on_reply)


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
