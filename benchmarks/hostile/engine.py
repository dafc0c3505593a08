"""Carries out an attack on one address, with many connections at once, for a limited time."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.hostile.attacks import Attack

READ_BYTES = 65536
RECONNECT_SECONDS = 0.05  # before a connection that has ended is made again
MAX_WAIT_SECONDS = 0.02  # of one turn


@dataclass(slots=True)
class AttackResult:
    """What was done, and what came back."""

    opened: int = 0  # connections
    sent_bytes: int = 0
    received_bytes: int = 0
    ended_by_peer: int = 0  # connections


class HostileConnection:
    """One connection of an attack; it is opened again when the peer ends it."""

    def __init__(self, engine: Engine, number: int) -> None:
        self.engine, self.number = engine, number
        self.opened = 0
        self.sock: socket.socket | None = None
        self.pieces: Iterator[bytes] = iter(())
        self.unsent = b""
        self.next_at = 0.0  # when the next piece, or the next connection, is due
        self.is_done = False  # all pieces are sent

    def open(self) -> None:
        """Connect, and begin with the first piece."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if not self.engine.attack.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        sock.connect_ex(self.engine.address)
        self.sock, self.unsent, self.is_done = sock, b"", False
        self.pieces = self.engine.attack.payloads(self.number, self.opened)
        self.opened += 1
        self.engine.result.opened += 1
        self.next_at = 0.0
        self.update()

    def update(self) -> None:
        """Watch the socket for what is wanted now."""
        assert self.sock is not None
        reads = self.engine.attack.reads or self.is_done
        wants_write = not self.is_done and self.next_at <= time.monotonic()
        mask = (selectors.EVENT_READ if reads else 0) | (selectors.EVENT_WRITE if wants_write else 0)
        with contextlib.suppress(KeyError):
            self.engine.selector.unregister(self.sock)
        if mask:
            self.engine.selector.register(self.sock, mask, self)

    def close(self, by_peer: bool) -> None:
        """Close, to be opened again."""
        if self.sock is not None:
            with contextlib.suppress(KeyError):
                self.engine.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
            self.engine.result.ended_by_peer += by_peer
            self.next_at = time.monotonic() + (RECONNECT_SECONDS if by_peer else 0.0)

    def ready(self, mask: int) -> None:
        """Send and receive what is possible now."""
        try:
            if mask & selectors.EVENT_READ:
                self.receive()
            if self.sock is not None and mask & selectors.EVENT_WRITE:
                self.send()
        except BlockingIOError:
            return
        except OSError:
            self.close(by_peer=True)

    def receive(self) -> None:
        """Read once."""
        assert self.sock is not None
        if not self.engine.attack.reads:
            time.sleep(0)
            return
        data = self.sock.recv(READ_BYTES)
        self.engine.result.received_bytes += len(data)
        if not data:
            self.close(by_peer=True)

    def send(self) -> None:
        """Send once; after the last piece close or hold the connection."""
        assert self.sock is not None
        if not self.unsent:
            piece = next(self.pieces, None)
            if piece is None:
                self.is_done = True
                if self.engine.attack.closes:
                    self.close(by_peer=False)
                    return
                self.update()
                return
            self.unsent = piece
        sent = self.sock.send(self.unsent)
        self.unsent = self.unsent[sent:]
        self.engine.result.sent_bytes += sent
        if self.engine.attack.piece_seconds and not self.unsent:
            self.next_at = time.monotonic() + self.engine.attack.piece_seconds
            self.update()


class Engine:
    """An attack on one address by `connections` connections."""

    def __init__(self, attack: Attack, address: tuple[str, int], connections: int) -> None:
        self.attack, self.address = attack, address
        self.selector = selectors.DefaultSelector()
        self.result = AttackResult()
        self.connections = [HostileConnection(self, number) for number in range(connections)]

    def run(self, seconds: float) -> AttackResult:
        """Attack for this long, then close all connections."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            now = time.monotonic()
            for connection in self.connections:
                if connection.next_at <= now:
                    if connection.sock is None:
                        connection.open()
                    elif self.attack.piece_seconds and not connection.is_done:
                        connection.update()
            for key, mask in self.selector.select(MAX_WAIT_SECONDS):
                key.data.ready(mask)
        for connection in self.connections:
            connection.close(by_peer=False)
        return self.result
