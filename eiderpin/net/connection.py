"""A non-blocking stream connection on the event loop, with an output buffer."""

from __future__ import annotations

import contextlib
import errno
import select
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadline, Deadlines
from eiderpin.core.slot_table import SlotTable
from eiderpin.net.turn_order import ServiceRecord, TurnClass

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
READ_BYTES = 65536  # most bytes of one read
# After we have shut down our sending side, input is read and discarded for at most this long and this much.
LINGER_MS = 2500.0
LINGER_MAX_BYTES = 128 << 20
FINAL_WRITE_MS = 5000.0  # time for a peer to take the pending output of a connection that is being closed
DISCARD_BUFFER = bytearray(256 * 1024)  # input that is not processed is read into it
MAX_UNSENT_BYTES = 1 << 20  # a peer that leaves more output unread is disconnected
READS_PER_TURN = 4  # most reads in one turn of the loop from a peer that is waiting for an answer
MEMORY_RETRY_MS = 5.0  # until a system call is repeated for which the kernel had no memory
# Temporary shortages of this machine: they say nothing about the peer or the connection.
MEMORY_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})


class EventLoop(Protocol):
    """What a connection or a listener needs of the event loop."""

    clock: Clock
    deadlines: Deadlines
    counters: Counters
    selector: selectors.BaseSelector
    connections: SlotTable[Connection]
    continued: dict[Connection, None]  # those that asked for a turn, though nothing is to be received


class Connection:
    """A non-blocking stream socket with an output buffer.

    Its user sets the `on_...` hooks; none of them is called any more once the user has closed or detached it.
    `number` is its slot in `Loop.connections`.
    """

    __slots__ = (
        "loop", "sock", "number", "connecting", "closed", "unsent", "closing", "on_open",
        "on_data", "on_end", "on_flushed", "on_closed", "bytes_sent", "mask", "discarded_bytes",
        "close_deadline", "receive", "peer_is_waiting", "retry_deadline", "backlog_wait_ms", "on_writable",
        "service", "reading", "on_turn",
    )  # fmt: skip

    def __init__(self, loop: EventLoop, sock: socket.socket, connecting: bool) -> None:
        self.loop = loop
        self.sock = sock
        self.connecting = connecting
        self.closed = False
        self.service = ServiceRecord(TurnClass.ESSENTIAL, loop.clock.now())
        self.closing = False  # closed as soon as `unsent` is written
        self.unsent = bytearray()
        self.bytes_sent = 0  # bytes accepted by the kernel
        self.on_open: Callable[[], None] = _ignore_event
        self.on_data: Callable[[bytes], None] = _ignore_data
        self.on_end: Callable[[], None] = _ignore_event  # the peer closed, or the stream failed
        self.on_turn: Callable[[], None] = _ignore_event  # the turn that `request_turn` asked for
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
        self.reading = True  # unset by `pause_reading`
        self.mask = WRITE if connecting else READ
        loop.selector.register(sock, self.mask, self.ready)
        self.number = loop.connections.add(self)

    def request_turn(self) -> None:
        """Have `on_turn` called in the next turn of the loop: there is more to do than one turn allows."""
        if not self.closed:
            self.loop.continued[self] = None

    def ready(self, mask: int) -> None:
        """Handle the events `mask` (READ, WRITE) of the selector, and a turn that was asked for."""
        if self in self.loop.continued:
            del self.loop.continued[self]
            self.on_turn()
            if self.closed:
                return
        if self.connecting:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close_and_notify()
                return
            self.connecting = False
            self.on_open()
            if not self.closed:
                self._update_interest()
            return
        if mask & WRITE and not self.closed:
            self.on_writable()
            self._flush()
        if mask & READ and self.reading and not self.closed:
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
                self.close_and_notify()
            return False
        if not data:
            self.close_and_notify()
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
            self.close_and_notify()

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
        """Return whether the peer has closed its side or reset the connection, also behind unread input."""
        if self.closed or _peer_has_closed(self.sock):
            return True
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
                self.close_and_notify()
                return
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self._retry_later()
            else:
                self.close_and_notify()
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
        if self.mask:
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
        self.close_deadline = self.loop.deadlines.set(self.loop.clock.now() + ms, self.close_and_notify)

    def pause_reading(self) -> None:
        """Leave further input to the kernel; the peer's end is not noticed either, until reading resumes."""
        self.reading = False
        self._update_interest()

    def resume_reading(self) -> None:
        """Read again."""
        self.reading = True
        self._update_interest()

    def _update_interest(self) -> None:
        """Have the selector watch for what is wanted now; a call that waits to be repeated comes first."""
        if self.closed or self.connecting:
            return
        mask = (READ if self.reading else 0) | (WRITE if self.unsent else 0)
        if mask == self.mask:
            return
        was_watched, self.mask = self.mask != 0, mask
        if self.retry_deadline is not None and self.retry_deadline.call is not None:
            return
        if not was_watched:
            self.loop.selector.register(self.sock, mask, self.ready)
        elif mask:
            self.loop.selector.modify(self.sock, mask, self.ready)
        else:
            self.loop.selector.unregister(self.sock)

    def _is_registered(self) -> bool:
        """Return whether the selector watches the socket: not while a call waits to be repeated."""
        return self.sock.fileno() in self.loop.selector.get_map()

    def close_and_notify(self) -> None:
        """Close immediately, and call `on_end` as if the peer had closed."""
        if not self.closed:
            on_end = self.on_end
            self.close()
            on_end()

    def close_when_sent(self) -> None:
        """Close in order: input is discarded from now on, and pending output still reaches the peer."""
        if self.closed or self.closing:
            return
        self.closing = True
        self.resume_reading()
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
        self.loop.continued.pop(self, None)
        if self._is_registered():
            self.loop.selector.unregister(self.sock)
        self.loop.deadlines.drop(self.close_deadline)
        self.loop.deadlines.drop(self.retry_deadline)
        self.on_closed()
        self._release()
        return self.sock

    def _release(self) -> None:
        """Drop the output and the hooks: they refer back to here, so only the garbage collector would."""
        self.unsent = bytearray()
        self.on_open = self.on_end = self.on_writable = self.on_flushed = self.on_closed = _ignore_event
        self.on_turn = _ignore_event
        self.on_data = _ignore_data
        self.receive = self.sock.recv


def _peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the kernel knows of the peer's end; reading would show it only after all input."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return any(events & select.POLLRDHUP for _, events in poll.poll(0))
    except (OSError, ValueError):
        return False


def _ignore_event() -> None:
    return None


def _ignore_data(data: bytes) -> None:
    return None
