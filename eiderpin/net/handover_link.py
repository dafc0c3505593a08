"""A link between an old process and its successor, which carries the messages of `handover_messages`.

A link is closed when it breaks, times out or carries an invalid message. Each process then goes on alone.
"""

from __future__ import annotations

import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING

from eiderpin import interface as api
from eiderpin.core import learned
from eiderpin.core.deadlines import Deadline
from eiderpin.core.moves import TransferredRequest, WaitingClient
from eiderpin.net import handover_messages as messages
from eiderpin.net.connection import Connection
from eiderpin.net.handover_claims import ClaimChannel
from eiderpin.net.handover_messages import Document, FileIdentity, Holds, Message
from eiderpin.policy.memory_budget import HoldingKind

if TYPE_CHECKING:
    from eiderpin.net.handover import Handover

logger = logging.getLogger("eiderpin")

HELLO_TIMEOUT_MS = 1000.0  # a peer that sends nothing for so long after connecting is not a dispatcher
STATE_CHECK_MS = 50.0  # between checks whether the state has changed or jobs can be transferred
SILENCE_TIMEOUT_MS = 3000.0  # a peer process that sends nothing for so long is taken to be stuck
STATE_REPEAT_MS = 500.0  # an unchanged state is sent again after this time
# The peer process must handle a callback in this time; otherwise the worker is asked to send it again.
CALLBACK_TIMEOUT_MS = 500.0
MAX_PENDING_DESCRIPTORS = 16  # received descriptors whose messages have not arrived yet
MAX_LINE_BYTES = 4 << 20
MAX_IDS = 20_000  # sent in a hello

Reply = Callable[[int], None]  # answers a callback with an HTTP status


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
        self.holds: Holds = {}  # of the peer
        self.buffer = bytearray()
        self.last_state: messages.State | None = None
        self.state_sent_at = 0.0
        self.pending_callbacks: dict[int, tuple[Reply, Deadline]] = {}  # forwarded, by message number
        # Jobs and clients that were sent and are neither adopted nor refused yet, by message number.
        self.pending_transfers: dict[int, tuple[TransferredRequest | WaitingClient, socket.socket]] = {}
        self.received_descriptors: deque[int] = deque()  # whose messages have not been handled yet
        self.silence_timeout = self.loop.deadlines.set(self.loop.clock.now() + HELLO_TIMEOUT_MS, self.close)
        self.state_check: Deadline | None = None
        self.claims: ClaimChannel | None = None  # None before the peer's hello
        conn.on_data, conn.on_end, conn.receive = self.on_data, self.close, self.receive
        ids = [r.unique for r in handover.core.requests.all() if not r.ended]
        self.send(messages.Hello(ids[:MAX_IDS], claims=True, used_ids=True))

    def send(self, message: Message) -> None:
        """Send a message."""
        self.conn.write(messages.encode(message))

    def send_socket(self, message: Message, sock: socket.socket) -> bool:
        """Send a message with a socket attached; return whether it was sent."""
        if self.conn.unsent or self.conn.closed:
            return False
        line = messages.encode(message)
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
        lines: list[bytearray] = []
        if b"\n" in data:  # a line that is not complete yet must not be copied with each part of it
            *lines, self.buffer = self.buffer.split(b"\n")
        try:
            if len(self.buffer) > MAX_LINE_BYTES:
                raise ValueError("line is too long")
            self.account_memory()
            for line in lines:
                if not self.conn.closed:
                    self.handle_message(messages.decode(line))
            if len(self.received_descriptors) > MAX_PENDING_DESCRIPTORS:
                raise ValueError("too many descriptors without a message")
        except (*messages.DECODE_ERRORS, OSError) as error:
            self.handover.core.counters.add("in.link_bad")
            fields = {"reason": f"{type(error).__name__}: {error}"}
            logger.warning("the link to the peer process is ended: a message makes no sense", extra=fields)
            self.close()

    def account_memory(self) -> None:
        """Count an incomplete message; a peer that has not said hello may lose it, and its link."""
        if self.conn.closed:
            return
        memory = self.handover.http_front.memory
        kind = None if self.hello_received else HoldingKind.PARTIAL
        if memory.update(self, len(self.buffer), kind):
            memory.make_room()

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Close the link, since its memory is needed."""
        self.close()

    def handle_message(self, message: Message) -> None:
        """Handle one message. Raises `ValueError` or `KeyError` if it makes no sense now."""
        if isinstance(message, messages.Hello) is self.hello_received:
            raise ValueError("a hello comes first, and once")
        match message:
            case messages.Hello(ids, claims, used_ids):
                self.hello_received = True
                if self.handover.on_hello(self):
                    self.claims = ClaimChannel(self, set(ids), claims, used_ids)
                    self.handover.on_change()
                    self.send_state()
            case messages.State():
                self.holds, self.sockets, self.readiness = message.holds, message.sockets, message.readiness
                self.handover.core.add_event(api.Beside(message.holds))
                self.handover.on_change()
            case messages.LearnedEstimates(estimates):
                self.handover.core.apply_learned(estimates)
            case messages.Serving(published):
                self.serving, self.published = True, published
                self.send(messages.LearnedEstimates(learned.collect(self.handover.core.module)))
                self.handover.on_change()
            case messages.ForwardedCallback(number, callback):
                self.handover.on_forwarded_callback(
                    self, callback, lambda status: self.send(messages.CallbackHandled(number))
                )
            case messages.AdoptJob(number, job):
                self.confirm(number, self.handover.adopt_job(job, self.next_received_socket()))
            case messages.AdoptClient(number, client):
                self.confirm(number, self.handover.adopt_waiting_client(client, self.next_received_socket()))
            case messages.LedgerReleased():
                if self.handover.ledger is not None:
                    self.handover.ledger.on_ledger_released()
            case messages.Adopted(number) if number in self.pending_transfers:
                self.pending_transfers.pop(number)[1].close()
            case messages.Refused(number) if number in self.pending_transfers:
                self.take_back(number)
            case messages.CallbackHandled(number):
                reply, timeout = self.pending_callbacks.pop(number, (None, None))
                self.loop.deadlines.drop(timeout)
                if reply is not None:
                    reply(204)
            case _ if self.claims is not None:
                self.claims.handle_message(message)

    def next_received_socket(self) -> socket.socket:
        """Return the socket that came with the message. Raises `IndexError` if there is none."""
        return socket.socket(fileno=self.received_descriptors.popleft())

    def confirm(self, number: int, adopted: bool) -> None:
        """Reply to a transfer."""
        self.send(messages.Adopted(number) if adopted else messages.Refused(number))

    def take_back(self, number: int) -> None:
        """Continue here with a job or client that the peer refused or that it had not adopted."""
        moved, sock = self.pending_transfers.pop(number)
        if isinstance(moved, WaitingClient):
            self.handover.adopt_waiting_client(asdict(moved), sock)
            return
        if self.claims is not None:
            self.handover.peer_jobs.on_taken_back(self.claims.peer, (moved.cls, moved.unique))
        self.handover.kept_ids.add(moved.wire_id)
        self.handover.adopt_job(asdict(moved), sock)

    def send_callback(self, number: int, callback: Document, reply: Reply) -> None:
        """Forward a callback, and reply to its worker when the peer has handled it: 204, else 503."""

        def on_timeout() -> None:
            self.pending_callbacks.pop(number, None)
            reply(503)  # the worker will send it again

        timeout = self.loop.deadlines.set(self.loop.clock.now() + CALLBACK_TIMEOUT_MS, on_timeout)
        self.pending_callbacks[number] = (reply, timeout)
        self.send(messages.ForwardedCallback(number, callback))

    def send_state(self) -> None:
        """Send our state if it has changed or was sent long ago, and transfer what can go to a successor."""
        now, state = self.loop.clock.now(), self.handover.get_state()
        if state != self.last_state or now > self.state_sent_at + STATE_REPEAT_MS:
            self.last_state, self.state_sent_at = state, now
            self.send(state)
        if self.claims is not None:
            self.claims.copy_answers()
        if self is self.handover.successor:
            self.handover.transfer_jobs()
        self.state_check = self.loop.deadlines.set(now + STATE_CHECK_MS, self.send_state)

    def is_idle(self) -> bool:
        """Return whether nothing is left to send or to be answered before this process may exit."""
        return not self.pending_transfers and (self.claims is None or self.claims.is_idle())

    def close(self) -> None:
        """Close the link: take unadopted jobs back and reply 503 to callbacks in flight."""
        self.loop.deadlines.drop(self.silence_timeout)
        self.loop.deadlines.drop(self.state_check)
        self.conn.close()
        self.handover.http_front.memory.remove(self)
        for number in list(self.pending_transfers):
            self.take_back(number)
        if self.claims is not None:
            self.claims.close()
        while self.received_descriptors:
            os.close(self.received_descriptors.popleft())
        pending, self.pending_callbacks = self.pending_callbacks, {}
        for reply, timeout in pending.values():
            self.loop.deadlines.drop(timeout)
            reply(503)
        self.handover.on_link_closed(self)
