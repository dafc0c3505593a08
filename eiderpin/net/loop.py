"""The event loop of the process: serves ready sockets and due deadlines on one selector."""

from __future__ import annotations

import errno
import logging
import math
import selectors
import socket
from collections.abc import Callable

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadlines
from eiderpin.core.invariants import must
from eiderpin.core.slot_table import SlotTable
from eiderpin.net.connection import Connection
from eiderpin.net.listener import SHORTAGE_ERRNOS
from eiderpin.net.turn_order import TurnOrder

# An interrupted connect(2) continues in the background, as one in progress does.
CONNECT_PENDING_ERRNOS = frozenset({0, errno.EINPROGRESS, errno.EINTR})
# Errors of connect(2) whose cause is this host and not the address that is connected to.
LOCAL_CONNECT_ERRNOS = SHORTAGE_ERRNOS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EACCES, errno.EPERM}


class ConnectError(Exception):
    """A connection attempt failed immediately. The message is the name of the errno.

    `is_local` is True if the cause is a shortage or restriction of this host, and not the remote address.
    """

    def __init__(self, error_number: int) -> None:
        super().__init__(errno.errorcode.get(error_number, str(error_number)))
        self.is_local = error_number in LOCAL_CONNECT_ERRNOS


class Loop:
    """The event loop: serves ready sockets and due deadlines, one turn at a time."""

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self.clock = clock
        self.deadlines = deadlines
        self.counters = counters
        self.selector: selectors.BaseSelector = selectors.DefaultSelector()
        self.connections: SlotTable[Connection] = SlotTable()
        self.continued: dict[Connection, None] = {}

    def connect(self, address: tuple[str, int] | str) -> Connection | None:
        """Like `open_connection`, but return None if the attempt fails immediately."""
        try:
            return self.open_connection(address)
        except ConnectError:
            return None

    def open_connection(self, address: tuple[str, int] | str) -> Connection:
        """Begin to connect, by TCP to (host, port) or to a Unix socket's path.

        Returns a connection that is still connecting. Raises `ConnectError` if the attempt fails immediately.
        """
        family = socket.AF_UNIX if isinstance(address, str) else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            self.counters.add("out.no_descriptor")
            raise ConnectError(error.errno or 0) from None
        try:
            sock.setblocking(False)
            error_number = sock.connect_ex(address)
            if error_number not in CONNECT_PENDING_ERRNOS:
                raise ConnectError(error_number)
            return Connection(self, sock, True)
        except OSError as error:
            sock.close()
            raise ConnectError(error.errno or 0) from None
        except ConnectError as error:
            sock.close()
            self.counters.add(f"out.connect.{error}")
            raise

    def run_once(self, after_turn: Callable[[], None], max_wait_ms: float = 1000.0) -> None:
        """Wait at most `max_wait_ms` for sockets or a deadline, handle them, then call `after_turn`."""
        wait_ms = min(self.deadlines.next_at() - self.clock.now(), max_wait_ms)
        wait_ms = 0.0 if self.continued else wait_ms
        events = self.selector.select(max(0.0, wait_ms if wait_ms < math.inf else max_wait_ms) / 1000.0)
        ready: dict[Connection, int] = {}
        for key, mask in events:
            owner = getattr(key.data, "__self__", None)
            if isinstance(owner, Connection):
                ready[owner] = mask
            else:
                self._serve_other(key, mask)
        for connection in self.continued:
            ready.setdefault(connection, 0)
        self._serve_connections(ready)
        run_guarded(lambda: self.deadlines.run_due(self.clock.now()))
        run_guarded(after_turn)

    def _serve_other(self, key: selectors.SelectorKey, mask: int) -> None:
        """Call the handler of a listener, or of a descriptor that is no connection."""
        # An earlier handler of this turn may have closed this socket, and another one may have got its
        # descriptor. So look it up by number: looking up a closed socket object raises ValueError.
        current = self.selector.get_map().get(key.fd)
        if current is not None and current.fileobj is key.fileobj:
            run_guarded(lambda: key.data(mask), key.data)

    def _serve_connections(self, ready: dict[Connection, int]) -> None:
        """Serve the connections with events, in their order and within the time limits of a turn."""
        order = TurnOrder(self.clock.now())
        for connection in order.arrange(list(ready)):
            began = self.clock.now()
            if not connection.closed:  # an earlier handler of this turn may have closed it
                run_guarded(lambda conn=connection: conn.ready(ready[conn]), connection.ready)  # type: ignore[misc]
            order.note_service(connection, began, self.clock.now())


def run_guarded(handler: Callable[[], object], hook: object = None) -> None:
    """Call `handler`; an exception that it raises must not end the service for all connections.

    In a release build it is logged and counted, and the connection whose method `hook` is gets closed; the
    requests concerned still have their deadlines. In a debug build it fails as a broken invariant.
    """
    try:
        handler()
    except Exception as error:
        logging.getLogger("eiderpin").exception("a fault in a handler")
        owner = getattr(hook, "__self__", None)
        if isinstance(owner, Connection) and not owner.closed:
            owner.close_and_notify()
        must(False, f"no fault in a handler: {type(error).__name__}")
