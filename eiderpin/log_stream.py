"""Writes log lines to standard error without ever blocking.

A pipe whose reader has stalled, a stopped terminal or a full disk accepts no data, for a while or for good.
Lines are buffered in bounded memory meanwhile. When the buffer is full, lines of the lowest level are dropped
first, and the number of lost lines is logged once data is accepted again.
"""

from __future__ import annotations

import errno
import logging
import os
import select
import socket
import stat
from collections import Counter, deque
from collections.abc import Callable

MAX_PENDING_BYTES = 256 * 1024  # of buffered lines
ATOMIC_WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable accepts so many without blocking
# Errors after which the data is kept and written later; after any other error it is dropped.
RETRYABLE_ERRORS = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC, errno.EDQUOT}
)

Writer = Callable[[bytes], int]  # returns the number of bytes written; raises OSError


def non_blocking_writer(descriptor: int) -> Writer:
    """Return a function that writes to `descriptor` without blocking.

    Other processes may share the open file, so its flags stay as they are: O_NONBLOCK would affect them too.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return lambda data: os.write(descriptor, data)  # doesn't wait for space: a full disk is an error
    if stat.S_ISSOCK(mode):
        sock = socket.socket(fileno=descriptor)
        return lambda data: sock.send(data, socket.MSG_DONTWAIT)
    try:
        reopened = os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
    except OSError:  # it belongs to another user, or /proc isn't mounted
        return lambda data: _write_if_ready(descriptor, data)
    os.dup2(reopened, descriptor)  # replaces it, so that no further descriptor is used
    os.close(reopened)
    return lambda data: os.write(descriptor, data)


def closed_writer(data: bytes) -> int:
    """A `Writer` for when standard error was closed before the start: it always fails."""
    raise OSError(errno.EBADF, "standard error is closed")


def _write_if_ready(descriptor: int, data: bytes) -> int:
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    if not poll.poll(0):
        raise BlockingIOError(errno.EAGAIN, "no room")
    return os.write(descriptor, data[:ATOMIC_WRITE_BYTES])


class LogStream:
    """Writes lines in their order, and buffers them by their level while no data is accepted."""

    def __init__(self, write: Writer, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self._write = write
        self._max_pending_bytes = max_pending_bytes
        self._pending: dict[int, deque[tuple[int, bytes]]] = {}  # by level: (number in order, line)
        self._last_number = 0
        self._pending_bytes = 0
        self._unwritten = b""  # rest of the line that is being written
        self._unwritten_level = 0  # level of that line; 0 for the line that reports lost lines
        self._reported: Counter[int] = Counter()  # what the line that reports lost lines says
        self.lost: Counter[int] = Counter()  # lost lines by level that have not been reported yet
        self.format_lost: Callable[[Counter[int]], bytes] | None = None  # formats the line that reports them

    def add(self, line: bytes, level: int) -> None:
        """Write a line now, or buffer it until data is accepted."""
        if not (self._unwritten or self._pending_bytes or self.lost):
            self._unwritten, self._unwritten_level = line, level
            self.write_pending()
            return
        self._last_number += 1
        self._pending.setdefault(level, deque()).append((self._last_number, line))
        self._pending_bytes += len(line)
        self.write_pending()
        while self._pending_bytes > self._max_pending_bytes:
            self._drop_one()

    def write_pending(self) -> None:
        """Write buffered lines as far as data is accepted. Never blocks, and raises nothing."""
        while self._unwritten or self._pending_bytes:
            if not self._unwritten:
                self._unwritten = self._next_line()
            try:
                written = self._write(self._unwritten)
            except OSError as error:
                if error.errno not in RETRYABLE_ERRORS:  # the reader has closed its end, or the device fails
                    self._drop_all()
                return
            self._unwritten = self._unwritten[written:]

    def _next_line(self) -> bytes:
        """Take the next line to write: the report of lost lines, or the oldest buffered line."""
        if self.lost and self.format_lost is not None:
            self._reported, self.lost, self._unwritten_level = self.lost, Counter(), 0
            return self.format_lost(self._reported)
        level = min(self._pending_levels(), key=lambda lev: self._pending[lev][0])
        line = self._pending[level].popleft()[1]
        self._pending_bytes -= len(line)
        self._unwritten_level = level
        return line

    def _pending_levels(self) -> list[int]:
        return [level for level, lines in self._pending.items() if lines]

    def _drop_one(self) -> None:
        """Drop the oldest line of the lowest level."""
        level = min(self._pending_levels())
        line = self._pending[level].popleft()[1]
        self._pending_bytes -= len(line)
        self.lost[level] += 1

    def _drop_all(self) -> None:
        """Drop all lines, counted as lost, so that a reader that returns is told how many there were."""
        self._unwritten = b""
        self.lost += Counter({self._unwritten_level: 1}) if self._unwritten_level else self._reported
        while self._pending_bytes:
            self._drop_one()


class LogHandler(logging.Handler):
    """Formats events into a `LogStream`. An event that can't be formatted is counted as lost."""

    def __init__(self, stream: LogStream) -> None:
        super().__init__()
        self.stream = stream
        stream.format_lost = self._format_lost

    def emit(self, record: logging.LogRecord) -> None:
        """Format and write one event."""
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
        except Exception:
            self.stream.lost[record.levelno] += 1
            return
        self.stream.add(line, record.levelno)

    def _format_lost(self, lost: Counter[int]) -> bytes:
        fields = {f"lost_{logging.getLevelName(level).lower()}": count for level, count in lost.items()}
        record = logging.makeLogRecord(
            {"name": "eiderpin", "levelno": logging.WARNING, "levelname": "WARNING",
             "msg": "log events were lost", **fields}
        )  # fmt: skip
        self.filter(record)
        return self.format(record).encode(errors="replace") + b"\n"
