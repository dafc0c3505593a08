"""A listening socket on the event loop, which accepts connections while there is room for them."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable

from eiderpin.core.deadlines import Deadline
from eiderpin.net.connection import MEMORY_ERRNOS, READ, Connection, EventLoop

ACCEPTS_PER_TURN = 64
FLOOD_ACCEPTS = 16  # connections that wait to be accepted at once in a flood, at least
SUSPEND_MS = 20.0  # how long a listener without room leaves connections in the backlog
LISTEN_RETRY_MS = 20.0  # between attempts to bind an address again after listening on it was stopped
DESCRIPTOR_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE})
# With these errors of accept(2) the connection stays in the listen backlog.
SHORTAGE_ERRNOS = MEMORY_ERRNOS | DESCRIPTOR_ERRNOS


class Listener:
    """Accepts connections after `start` and until `stop`, while `make_room` returns True.

    Args:
        address_or_socket: (host, port), or an already listening socket that other processes may share. Such
            a socket is not bound here, and `stop` leaves it open.
        on_accept: called with each accepted connection.
        make_room: called when accepting resumes and when descriptors run out; frees resources if it can and
            returns whether there is room for a connection.
        accepting: whether to start now.
        shared: use SO_REUSEPORT, so that an old and a new process can both bind the address for a while.
    """

    def __init__(
        self, loop: EventLoop, address_or_socket: tuple[str, int] | socket.socket,
        on_accept: Callable[[Connection], None],
        make_room: Callable[[], bool] = lambda: True, accepting: bool = True, shared: bool = False,
    ) -> None:  # fmt: skip
        self.loop = loop
        self.on_accept = on_accept
        self.make_room = make_room
        self.accepting = self.suspended = self._registered = False
        self._has_listened = False
        self.is_flooded = False  # connections come faster than they are accepted
        self._listen_retry: Deadline | None = None
        self._backlog_since: float | None = None  # first suspension since the backlog was last empty
        self._inherited, self._shared = isinstance(address_or_socket, socket.socket), shared
        self.sock = (
            address_or_socket
            if isinstance(address_or_socket, socket.socket)
            else self._bind_socket(address_or_socket)
        )
        self.sock.setblocking(False)
        self._address = self.sock.getsockname()
        if accepting:
            self.start()

    def _bind_socket(self, address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        return sock

    @property
    def address(self) -> tuple[str, int]:
        """The (host, port) it is bound to; kept while it is stopped."""
        host, port = self._address[:2]
        return str(host), int(port)

    def start(self) -> None:
        """Accept connections from now on.

        If the address cannot be bound again after `stop`, binding is repeated until it succeeds. The first
        start raises `OSError` instead.
        """
        self.loop.deadlines.drop(self._listen_retry)
        if not self.accepting and not self._inherited:
            try:
                if self.sock.fileno() < 0:
                    self.sock = self._bind_socket(self.address)
                    self.sock.setblocking(False)
                self.sock.listen(1024)
            except OSError:
                if not self._has_listened:
                    raise
                self.loop.counters.add("in.not_listening")
                self._listen_retry = self.loop.deadlines.set(
                    self.loop.clock.now() + LISTEN_RETRY_MS, self.start
                )
                return
        self.accepting = self._has_listened = True
        self._update_registration()

    def stop(self) -> None:
        """Stop accepting, and close a socket of our own.

        Waiting callers are left to the other process that listens on the same socket or address. On a shared
        address (SO_REUSEPORT) a socket that stayed open would keep its part of the callers waiting.
        """
        self.accepting = False
        self.loop.deadlines.drop(self._listen_retry)
        self._update_registration()
        if not self._inherited:
            self.sock.close()

    def _update_registration(self) -> None:
        wanted = self.accepting and not self.suspended and self.sock.fileno() >= 0
        if wanted and not self._registered:
            self.loop.selector.register(self.sock, READ, self.ready)
        elif not wanted and self._registered:
            with contextlib.suppress(KeyError, ValueError):
                self.loop.selector.unregister(self.sock)
        self._registered = wanted

    def ready(self, mask: int) -> None:
        """Accept some of the waiting connections."""
        for number in range(ACCEPTS_PER_TURN):
            self.is_flooded = self.is_flooded or number >= FLOOD_ACCEPTS
            if self.suspended or not self.accepting:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self._backlog_since = None
                self.is_flooded = self.is_flooded and number >= FLOOD_ACCEPTS
                return
            except OSError as error:
                if error.errno in SHORTAGE_ERRNOS:
                    # The connection stays in the backlog and the listener readable: without a pause the
                    # loop would spin on it.
                    shortage = "no_descriptor" if error.errno in DESCRIPTOR_ERRNOS else "no_memory"
                    self.loop.counters.add(f"in.{shortage}")
                    self.make_room()
                    self.suspend()
                    return
                continue  # an error of this one peer or its network: others may be waiting
            try:
                connection = Connection(self.loop, sock, False)
            except OSError:
                sock.close()
                continue
            if self._backlog_since is not None:
                connection.backlog_wait_ms = self.loop.clock.now() - self._backlog_since
            self.on_accept(connection)

    def suspend(self, ms: float = SUSPEND_MS) -> None:
        """Accept nothing for `ms`, leaving new connections in the backlog."""
        if not self.suspended:
            self.suspended = True
            if self._backlog_since is None:
                self._backlog_since = self.loop.clock.now()
            self._update_registration()
            self.loop.deadlines.set(self.loop.clock.now() + ms, self._resume)

    def _resume(self) -> None:
        self.suspended = False
        if self.accepting and not self.make_room():
            self.suspend()
            return
        self._update_registration()

    def close(self) -> None:
        """Close our descriptor; a socket that other processes hold as well goes on listening."""
        self.stop()
        self.sock.close()
