"""The one loop: selectors, connections in numbered slots, and the deadlines."""

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
CHUNK = 65536
LINGER_MS = 2500.0  # ms for which input is still read and dropped once we have shut our side ...
LINGER_BYTES = 128 << 20  # ... and how much of it
LAST_WORDS = 5000.0  # ms in which a peer must have taken the last that we say
SUSPEND_MS = 20.0  # ms for which a listener that has no room lets connections wait in its backlog
LISTEN_AGAIN = 20.0  # ms until an address that could not be bound again after a pause is tried once more
SCRATCH = bytearray(256 * 1024)  # where input that nobody wants is read into
MOST_UNSENT = 1 << 20  # a peer that leaves more than this unread is cut off
READS = 4  # reads in one turn from a peer that waits for something here
RETRY_AFTER = 5.0  # ms until a call that the system had no memory for is made again
# What this machine lacks for a while: nothing has happened to the peer or to the connection.
SHORTAGES = frozenset({errno.ENOBUFS, errno.ENOMEM})
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
NOT_ACCEPTED = SHORTAGES | NO_DESCRIPTORS  # the connection stays in the backlog
# A connect that was interrupted goes on by itself, as one in progress does.
CONNECTING = frozenset({0, errno.EINPROGRESS, errno.EINTR})
# Why a connect could not be begun for want of something of our own, rather than of its address.
OWN_FAULTS = NOT_ACCEPTED | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EACCES, errno.EPERM}


class ConnectError(Exception):
    """A connection could not even be begun. `own`: for want of something of ours, not for its address."""

    def __init__(self, number: int) -> None:
        super().__init__(errno.errorcode.get(number, str(number)))
        self.own = number in OWN_FAULTS


class Connection:
    """One non-blocking stream. Users set the hooks; after `close` none of them is called."""

    __slots__ = (
        "loop", "sock", "number", "connecting", "closed", "unsent", "closing", "on_open",
        "on_data", "on_end", "on_flushed", "on_closed", "bytes_sent", "mask", "dropped", "end_at", "receive",
        "peer_is_waiting", "retry", "backlog_wait_ms", "on_writable",
    )  # fmt: skip

    def __init__(self, loop: Loop, sock: socket.socket, connecting: bool) -> None:
        self.loop = loop
        self.sock = sock
        self.connecting = connecting
        self.closed = False
        self.closing = False  # to be closed once all is written
        self.unsent = bytearray()
        self.bytes_sent = 0  # bytes that the kernel has taken
        self.on_open: Callable[[], None] = _nothing
        self.on_data: Callable[[bytes], None] = _nothing_of
        self.on_end: Callable[[], None] = _nothing  # the peer has closed, or the stream broke
        self.on_writable: Callable[[], None] = _nothing  # the rest of what was written may go out now
        self.on_flushed: Callable[[], None] = _nothing
        self.on_closed: Callable[[], None] = _nothing  # the descriptor is free again, whoever closed
        self.dropped = 0  # bytes read and dropped since we began to close
        self.end_at: Deadline | None = None
        self.backlog_wait_ms = 0.0  # ms for which it may have waited to be accepted, while we accepted none
        self.peer_is_waiting = False  # its peer waits for something here, until it ends
        self.receive: Callable[[int], bytes] = sock.recv
        self.retry: Deadline | None = None  # when a call that the system had no memory for is made again
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            with contextlib.suppress(OSError):  # it serves without, too
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.mask = WRITE if connecting else READ
        loop.selector.register(sock, self.mask, self.ready)
        self.number = loop.connections.add(self)

    def ready(self, mask: int) -> None:
        if self.connecting:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._broke()
                return
            self.connecting = False
            self.on_open()
            if not self.closed:
                self._want()
            return
        if mask & WRITE and not self.closed:
            self.on_writable()
            self._flush()
        if mask & READ and not self.closed:
            # While it waits here, its end may stand right behind what it sends, and more must not be done for
            # it then: so its end is looked for in this turn.
            for _ in range(READS):
                if not self._read() or not self.peer_is_waiting:
                    return

    def _read(self) -> bool:
        """Whether something came, and more may follow."""
        if self.closed:
            return False
        if self.closing:
            self._drop_input()
            return False
        try:
            data = self.receive(CHUNK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in SHORTAGES:
                self._try_again_later()
            else:
                self._broke()
            return False
        if not data:
            self._broke()
            return False
        self.on_data(data)
        return True

    def _drop_input(self) -> None:
        try:
            count = self.sock.recv_into(SCRATCH)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in SHORTAGES:
                self._try_again_later()
                return
            count = 0
        self.dropped += count
        if not count or self.dropped > LINGER_BYTES:
            self._broke()

    def write(self, data: bytes) -> None:
        if self.closed:
            return
        self.unsent += data
        if not self.connecting:
            self._flush()

    def has_input(self) -> bool:
        """Whether something has come that has not been read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def has_ended(self) -> bool:
        """Whether the peer's end of stream, or a reset, has come that has not been read yet."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            return error.errno not in SHORTAGES

    def _flush(self) -> None:
        if self.closed:
            return
        try:
            while self.unsent:
                sent = self.sock.send(self.unsent)
                self.bytes_sent += sent
                del self.unsent[:sent]
        except (BlockingIOError, InterruptedError):
            if len(self.unsent) > MOST_UNSENT:
                self._broke()
                return
        except OSError as error:
            if error.errno in SHORTAGES:
                self._try_again_later()
            else:
                self._broke()
            return
        if not self.unsent:
            self.on_flushed()
            if self.closing:
                self._shut()
        self._want()

    def _try_again_later(self) -> None:
        """The system has no memory for a call now. The socket counts as ready all the same, and to look at it
        would be a busy loop."""
        self.loop.counters.add("net.no_memory")
        if self._is_watched():
            self.loop.selector.unregister(self.sock)
        self.loop.deadlines.drop(self.retry)
        self.retry = self.loop.deadlines.set(self.loop.clock.now() + RETRY_AFTER, self._try_again)

    def _try_again(self) -> None:
        self.loop.selector.register(self.sock, self.mask, self.ready)
        if self.unsent:
            self.on_writable()
            self._flush()

    def _shut(self) -> None:
        """Closed with input unread, or with some that is just coming, the kernel would send a reset, and our
        peer might lose our last words. So we end our side, and drop what comes until it ends its own."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.on_end = _nothing
        self._end_within(LINGER_MS)

    def _end_within(self, ms: float) -> None:
        self.loop.deadlines.drop(self.end_at)
        self.end_at = self.loop.deadlines.set(self.loop.clock.now() + ms, self._broke)

    def _want(self) -> None:
        if self.closed:
            return
        mask = READ | WRITE if self.unsent else READ
        if mask != self.mask:
            self.mask = mask
            if self._is_watched():
                self.loop.selector.modify(self.sock, mask, self.ready)

    def _is_watched(self) -> bool:
        """Whether the loop looks at the socket: not while a call is put off."""
        return self.sock.fileno() in self.loop.selector.get_map()

    def _broke(self) -> None:
        if not self.closed:
            self.close()
            self.on_end()

    def close_when_sent(self) -> None:
        """The orderly end: nothing that comes from now on is taken, and all that was said arrives."""
        if self.closed or self.closing:
            return
        self.closing = True
        if self.unsent:
            self._end_within(LAST_WORDS)
        else:
            self._shut()

    def close(self) -> None:
        """At once: for peers that have gone, have said nothing that counts, or take nothing."""
        if not self.closed:
            self.detach().close()

    def detach(self) -> socket.socket:
        """Leave the socket to somebody else, as it is."""
        self.closed = True
        self.loop.connections.remove(self.number)
        if self._is_watched():
            self.loop.selector.unregister(self.sock)
        self.loop.deadlines.drop(self.end_at)
        self.loop.deadlines.drop(self.retry)
        self.on_closed()
        return self.sock


def _nothing() -> None:
    return None


def _nothing_of(data: bytes) -> None:
    return None


class Listener:
    """Accepts connections while it is `accepting` and `make_room` says that there is room for them.

    `where` is an address, or a socket that listens already and may be others' too: that one is neither bound
    nor shut down here. `shared`: an old and a new process may both bind the address for a while.
    """

    def __init__(
        self, loop: Loop, where: tuple[str, int] | socket.socket, taken: Callable[[Connection], None],
        make_room: Callable[[], bool] = lambda: True, accepting: bool = True, shared: bool = False,
    ) -> None:  # fmt: skip
        self.loop = loop
        self.taken = taken
        self.make_room = make_room
        self.accepting = self.resting = self._registered = False
        self._has_listened = False
        self._again: Deadline | None = None  # when it tries to listen again
        self._full_since: float | None = None  # when it first had to rest with connections in its backlog
        self._inherited, self._shared = isinstance(where, socket.socket), shared
        self.sock = where if isinstance(where, socket.socket) else self._bound(where)
        self.sock.setblocking(False)
        self._where = self.sock.getsockname()
        if accepting:
            self.start()

    def _bound(self, where: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(where)
        return sock

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._where[:2]
        return str(host), int(port)

    def start(self) -> None:
        """Accept from now on; where that cannot be at once after a pause, as soon as it can. The first time
        it raises `OSError`."""
        self.loop.deadlines.drop(self._again)
        if not self.accepting and not self._inherited:
            try:
                if self.sock.fileno() < 0:
                    self.sock = self._bound(self.address)
                    self.sock.setblocking(False)
                self.sock.listen(1024)
            except OSError:
                if not self._has_listened:
                    raise
                self.loop.counters.add("in.not_listening")
                self._again = self.loop.deadlines.set(self.loop.clock.now() + LISTEN_AGAIN, self.start)
                return
        self.accepting = self._has_listened = True
        self._watch()

    def stop(self) -> None:
        """Accept no more. What waits is for whoever else listens: on the same socket, or on the same address,
        where a socket that goes on listening would keep its part of the callers waiting."""
        self.accepting = False
        self.loop.deadlines.drop(self._again)
        self._watch()
        if not self._inherited:
            self.sock.close()

    def _watch(self) -> None:
        wanted = self.accepting and not self.resting and self.sock.fileno() >= 0
        if wanted and not self._registered:
            self.loop.selector.register(self.sock, READ, self.ready)
        elif not wanted and self._registered:
            with contextlib.suppress(KeyError, ValueError):
                self.loop.selector.unregister(self.sock)
        self._registered = wanted

    def ready(self, mask: int) -> None:
        for _ in range(64):
            if self.resting or not self.accepting:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self._full_since = None
                return
            except OSError as error:
                if error.errno in NOT_ACCEPTED:
                    # The connection stays in the backlog and the listener readable: without a rest the
                    # loop would spin on it.
                    lack = "no_descriptor" if error.errno in NO_DESCRIPTORS else "no_memory"
                    self.loop.counters.add(f"in.{lack}")
                    self.make_room()
                    self.suspend()
                    return
                continue  # the peer went away while it waited, or its network did: there may be more
            try:
                connection = Connection(self.loop, sock, False)
            except OSError:
                sock.close()
                continue
            if self._full_since is not None:
                connection.backlog_wait_ms = self.loop.clock.now() - self._full_since
            self.taken(connection)

    def suspend(self, ms: float = SUSPEND_MS) -> None:
        if not self.resting:
            self.resting = True
            if self._full_since is None:
                self._full_since = self.loop.clock.now()
            self._watch()
            self.loop.deadlines.set(self.loop.clock.now() + ms, self._wake)

    def _wake(self) -> None:
        self.resting = False
        if self.accepting and not self.make_room():
            self.suspend()
            return
        self._watch()

    def close(self) -> None:
        """Our own descriptor alone: a socket that others hold too goes on listening."""
        self.stop()
        self.sock.close()


class Loop:
    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self.clock = clock
        self.deadlines = deadlines
        self.counters = counters
        self.selector = selectors.DefaultSelector()
        self.connections: SlotTable[Connection] = SlotTable()

    def connect(self, address: tuple[str, int] | str) -> Connection | None:
        """As `open_connection`; None where it cannot be begun, whatever the reason."""
        try:
            return self.open_connection(address)
        except ConnectError:
            return None

    def open_connection(self, address: tuple[str, int] | str) -> Connection:
        """A connection on its way up, by TCP or to a path. Raises `ConnectError` where it cannot be begun."""
        family = socket.AF_UNIX if isinstance(address, str) else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            self.counters.add("out.no_descriptor")
            raise ConnectError(error.errno or 0) from None
        try:
            sock.setblocking(False)
            number = sock.connect_ex(address)
            if number not in CONNECTING:
                raise ConnectError(number)
            return Connection(self, sock, True)
        except OSError as error:
            sock.close()
            raise ConnectError(error.errno or 0) from None
        except ConnectError as error:
            sock.close()
            self.counters.add(f"out.connect.{error}")
            raise

    def run_once(self, after: Callable[[], None], longest: float = 1000.0) -> None:
        """Wait for sockets or the next deadline, serve what is ready, then call `after`."""
        wait = min(self.deadlines.next_at() - self.clock.now(), longest)
        for key, mask in self.selector.select(max(0.0, wait if wait < math.inf else longest) / 1000.0):
            # An earlier one of this turn may have closed it, and its number may even be another's by now. (To
            # ask the map for a closed socket raises ValueError.)
            current = self.selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj:
                guarded(lambda key=key, mask=mask: key.data(mask), key.data)  # type: ignore[misc]
        guarded(lambda: self.deadlines.run_due(self.clock.now()))
        guarded(after)


def guarded(call: Callable[[], object], hook: object = None) -> None:
    """A fault of ours on one connection must not end the service of all: in a release build it is told and
    counted, the connection is closed, and each request still has its deadline."""
    try:
        call()
    except Exception as error:
        logging.getLogger("eiderpin").exception("a fault in a handler")
        owner = getattr(hook, "__self__", None)
        if isinstance(owner, Connection) and not owner.closed:
            owner.close()
            owner.on_end()
        must(False, f"no fault in a handler: {type(error).__name__}")
