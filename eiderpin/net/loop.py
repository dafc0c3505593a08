"""The event loop of the process: non-blocking streams, listeners, and deadlines on one selector."""

from __future__ import annotations

import contextlib
import errno
import logging
import math
import selectors
import socket
from collections.abc import Callable

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadline, Deadlines
from eiderpin.core.invariants import must
from eiderpin.core.slot_table import SlotTable

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
READ_BYTES = 65536  # most bytes of one read
# After we have shut down our sending side, input is read and discarded for at most this long and this much.
LINGER_MS = 2500.0
LINGER_MAX_BYTES = 128 << 20
FINAL_WRITE_MS = 5000.0  # time for a peer to take the pending output of a connection that is being closed
SUSPEND_MS = 20.0  # how long a listener without room leaves connections in the backlog
LISTEN_RETRY_MS = 20.0  # between attempts to bind an address again after listening on it was stopped
DISCARD_BUFFER = bytearray(256 * 1024)  # input that is not processed is read into it
MAX_UNSENT_BYTES = 1 << 20  # a peer that leaves more output unread is disconnected
READS_PER_TURN = 4  # most reads in one turn of the loop from a peer that is waiting for an answer
MEMORY_RETRY_MS = 5.0  # until a system call is repeated for which the kernel had no memory
# Temporary shortages of this machine: they say nothing about the peer or the connection.
MEMORY_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
DESCRIPTOR_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE})
# With these errors of accept(2) the connection stays in the listen backlog.
SHORTAGE_ERRNOS = MEMORY_ERRNOS | DESCRIPTOR_ERRNOS
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


class Connection:
    """A non-blocking stream socket with an output buffer.

    Its user sets the `on_...` hooks; none of them is called any more once the user has closed or detached it.
    `number` is its slot in `Loop.connections`.
    """

    __slots__ = (
        "loop", "sock", "number", "connecting", "closed", "unsent", "closing", "on_open",
        "on_data", "on_end", "on_flushed", "on_closed", "bytes_sent", "mask", "discarded_bytes",
        "close_deadline", "receive", "peer_is_waiting", "retry_deadline", "backlog_wait_ms", "on_writable",
    )  # fmt: skip

    def __init__(self, loop: Loop, sock: socket.socket, connecting: bool) -> None:
        self.loop = loop
        self.sock = sock
        self.connecting = connecting
        self.closed = False
        self.closing = False  # closed as soon as `unsent` is written
        self.unsent = bytearray()
        self.bytes_sent = 0  # bytes accepted by the kernel
        self.on_open: Callable[[], None] = _ignore_event
        self.on_data: Callable[[bytes], None] = _ignore_data
        self.on_end: Callable[[], None] = _ignore_event  # the peer closed, or the stream failed
        self.on_writable: Callable[[], None] = _ignore_event  # before pending output is sent
        self.on_flushed: Callable[[], None] = _ignore_event  # all output has been sent
        self.on_closed: Callable[[], None] = _ignore_event  # the descriptor is released, whoever closed
        self.discarded_bytes = 0  # input discarded since the close began
        self.close_deadline: Deadline | None = None
        self.backlog_wait_ms = 0.0  # in the listen backlog, at most, while accepting was suspended
        self.peer_is_waiting = False  # the peer waits for an answer; its leaving must be noticed early
        self.receive: Callable[[int], bytes] = sock.recv
        self.retry_deadline: Deadline | None = None  # repeats a call for which the kernel had no memory
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            with contextlib.suppress(OSError):  # it works without TCP_NODELAY, too
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.mask = WRITE if connecting else READ
        loop.selector.register(sock, self.mask, self.ready)
        self.number = loop.connections.add(self)

    def ready(self, mask: int) -> None:
        """Handle the events `mask` (READ, WRITE) that the selector reported."""
        if self.connecting:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._close_and_notify()
                return
            self.connecting = False
            self.on_open()
            if not self.closed:
                self._update_interest()
            return
        if mask & WRITE and not self.closed:
            self.on_writable()
            self._flush()
        if mask & READ and not self.closed:
            # The end of stream of a peer that is waiting may follow its data directly. Nothing more must be
            # done for it then, so read on in this turn to find the end.
            for _ in range(READS_PER_TURN):
                if not self._read() or not self.peer_is_waiting:
                    return

    def _read(self) -> bool:
        """Read once; return whether data was received and more may be available."""
        if self.closed:
            return False
        if self.closing:
            self._discard_input()
            return False
        try:
            data = self.receive(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self._retry_later()
            else:
                self._close_and_notify()
            return False
        if not data:
            self._close_and_notify()
            return False
        self.on_data(data)
        return True

    def _discard_input(self) -> None:
        try:
            count = self.sock.recv_into(DISCARD_BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self._retry_later()
                return
            count = 0
        self.discarded_bytes += count
        if not count or self.discarded_bytes > LINGER_MAX_BYTES:
            self._close_and_notify()

    def write(self, data: bytes) -> None:
        """Send `data`, buffering what the kernel does not accept now. Ignored once closed."""
        if self.closed:
            return
        self.unsent += data
        if not self.connecting:
            self._flush()

    def has_input(self) -> bool:
        """Return whether received data is waiting to be read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def has_ended(self) -> bool:
        """Return whether the next read would find the peer's end of stream or a reset."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            return error.errno not in MEMORY_ERRNOS

    def _flush(self) -> None:
        if self.closed:
            return
        try:
            while self.unsent:
                sent = self.sock.send(self.unsent)
                self.bytes_sent += sent
                del self.unsent[:sent]
        except (BlockingIOError, InterruptedError):
            if len(self.unsent) > MAX_UNSENT_BYTES:
                self._close_and_notify()
                return
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self._retry_later()
            else:
                self._close_and_notify()
            return
        if not self.unsent:
            self.on_flushed()
            if self.closing:
                self._shut_down_writing()
        self._update_interest()

    def _retry_later(self) -> None:
        """Repeat a call later for which the kernel has no memory now.

        The selector still reports the socket as ready, so it is unregistered meanwhile to avoid a busy loop.
        """
        self.loop.counters.add("net.no_memory")
        if self._is_registered():
            self.loop.selector.unregister(self.sock)
        self.loop.deadlines.drop(self.retry_deadline)
        self.retry_deadline = self.loop.deadlines.set(self.loop.clock.now() + MEMORY_RETRY_MS, self._retry)

    def _retry(self) -> None:
        self.loop.selector.register(self.sock, self.mask, self.ready)
        if self.unsent:
            self.on_writable()
            self._flush()

    def _shut_down_writing(self) -> None:
        """Close the sending side and discard input until the peer closes its side, at most for LINGER_MS.

        If the socket were closed with unread or arriving input, the kernel would send a reset, and the peer
        might lose the last output.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.on_end = _ignore_event
        self._close_within(LINGER_MS)

    def _close_within(self, ms: float) -> None:
        self.loop.deadlines.drop(self.close_deadline)
        self.close_deadline = self.loop.deadlines.set(self.loop.clock.now() + ms, self._close_and_notify)

    def _update_interest(self) -> None:
        if self.closed:
            return
        mask = READ | WRITE if self.unsent else READ
        if mask != self.mask:
            self.mask = mask
            if self._is_registered():
                self.loop.selector.modify(self.sock, mask, self.ready)

    def _is_registered(self) -> bool:
        """Return whether the selector watches the socket: not while a call waits to be repeated."""
        return self.sock.fileno() in self.loop.selector.get_map()

    def _close_and_notify(self) -> None:
        if not self.closed:
            self.close()
            self.on_end()

    def close_when_sent(self) -> None:
        """Close in order: input is discarded from now on, and pending output still reaches the peer."""
        if self.closed or self.closing:
            return
        self.closing = True
        if self.unsent:
            self._close_within(FINAL_WRITE_MS)
        else:
            self._shut_down_writing()

    def close(self) -> None:
        """Close immediately, dropping pending output.

        For peers that have disconnected, have sent nothing that needs an answer, or do not read.
        """
        if not self.closed:
            self.detach().close()

    def detach(self) -> socket.socket:
        """Release the socket from the loop without closing it, and return it."""
        self.closed = True
        self.loop.connections.remove(self.number)
        if self._is_registered():
            self.loop.selector.unregister(self.sock)
        self.loop.deadlines.drop(self.close_deadline)
        self.loop.deadlines.drop(self.retry_deadline)
        self.on_closed()
        return self.sock


def _ignore_event() -> None:
    return None


def _ignore_data(data: bytes) -> None:
    return None


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
        self, loop: Loop, address_or_socket: tuple[str, int] | socket.socket,
        on_accept: Callable[[Connection], None],
        make_room: Callable[[], bool] = lambda: True, accepting: bool = True, shared: bool = False,
    ) -> None:  # fmt: skip
        self.loop = loop
        self.on_accept = on_accept
        self.make_room = make_room
        self.accepting = self.suspended = self._registered = False
        self._has_listened = False
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
        """Accept up to 64 of the waiting connections."""
        for _ in range(64):
            if self.suspended or not self.accepting:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self._backlog_since = None
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


class Loop:
    """The event loop: serves ready sockets and due deadlines, one turn at a time."""

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self.clock = clock
        self.deadlines = deadlines
        self.counters = counters
        self.selector = selectors.DefaultSelector()
        self.connections: SlotTable[Connection] = SlotTable()

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
        for key, mask in self.selector.select(
            max(0.0, wait_ms if wait_ms < math.inf else max_wait_ms) / 1000.0
        ):
            # An earlier handler of this turn may have closed this socket, and another one may have got its
            # descriptor. So look it up by number: looking up a closed socket object raises ValueError.
            current = self.selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj:
                run_guarded(lambda key=key, mask=mask: key.data(mask), key.data)  # type: ignore[misc]
        run_guarded(lambda: self.deadlines.run_due(self.clock.now()))
        run_guarded(after_turn)


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
            owner.close()
            owner.on_end()
        must(False, f"no fault in a handler: {type(error).__name__}")
