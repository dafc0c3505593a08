"""Lines for standard error that never hold up whoever writes them.

A pipe whose reader stands still, a terminal that was stopped or a disk that is full takes no line, for a
while or for good. Lines wait in bounded memory meanwhile; where that is full the least important go first,
and how many were lost is told once there is room again.
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

MOST_WAITING = 256 * 1024  # bytes of lines that wait for room
PIECE = select.PIPE_BUF  # bytes that a pipe with room takes whole
NO_ROOM = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC, errno.EDQUOT})

Write = Callable[[bytes], int]  # returns how many bytes were taken; raises OSError


def without_waiting(descriptor: int) -> Write:
    """A way to write to this descriptor that does not wait, without a change for others that share it."""
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return lambda data: os.write(descriptor, data)  # a full disk says so at once
    if stat.S_ISSOCK(mode):
        peer = socket.socket(fileno=descriptor)
        return lambda data: peer.send(data, socket.MSG_DONTWAIT)
    try:
        own = os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
    except OSError:  # another user's, or no such file system
        return lambda data: _write_where_there_is_room(descriptor, data)
    os.dup2(own, descriptor)  # in its place: no descriptor more, and nobody else's flags have changed
    os.close(own)
    return lambda data: os.write(descriptor, data)


def nowhere(data: bytes) -> int:
    """A way to write where standard error was closed before we began."""
    raise OSError(errno.EBADF, "standard error is closed")


def _write_where_there_is_room(descriptor: int, data: bytes) -> int:
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    if not poll.poll(0):
        raise BlockingIOError(errno.EAGAIN, "no room")
    return os.write(descriptor, data[:PIECE])


class LogStream:
    """Takes lines with their levels, and writes them in their order as there is room."""

    def __init__(self, write: Write, most_waiting: int = MOST_WAITING) -> None:
        self._write = write
        self._most_waiting = most_waiting
        self._waiting: dict[int, deque[tuple[int, bytes]]] = {}  # by level: numbers in order, and lines
        self._number = 0
        self._bytes = 0
        self._rest = b""  # of the line that is being written ...
        self._rest_level = 0  # ... its level; 0: it tells of lost lines, ...
        self._told: Counter[int] = Counter()  # ... of these
        self.lost: Counter[int] = Counter()  # lines by level, since the last time that this was told
        self.tell_lost: Callable[[Counter[int]], bytes] | None = None  # makes a line of it

    def add(self, line: bytes, level: int) -> None:
        """Write a line, now or as soon as there is room."""
        if not (self._rest or self._bytes or self.lost):
            self._rest, self._rest_level = line, level
            self.push()
            return
        self._number += 1
        self._waiting.setdefault(level, deque()).append((self._number, line))
        self._bytes += len(line)
        self.push()
        while self._bytes > self._most_waiting:
            self._lose_one()

    def push(self) -> None:
        """Write what waits, as far as there is room."""
        while self._rest or self._bytes:
            if not self._rest:
                self._rest = self._next_line()
            try:
                taken = self._write(self._rest)
            except OSError as error:
                if error.errno not in NO_ROOM:  # nobody reads, or the device fails
                    self._lose_all()
                return
            self._rest = self._rest[taken:]

    def _next_line(self) -> bytes:
        """The line that comes next: of those that were lost, or the first that waits."""
        if self.lost and self.tell_lost is not None:
            self._told, self.lost, self._rest_level = self.lost, Counter(), 0
            return self.tell_lost(self._told)
        level = min(self._levels(), key=lambda lev: self._waiting[lev][0])
        line = self._waiting[level].popleft()[1]
        self._bytes -= len(line)
        self._rest_level = level
        return line

    def _levels(self) -> list[int]:
        return [level for level, lines in self._waiting.items() if lines]

    def _lose_one(self) -> None:
        level = min(self._levels())
        line = self._waiting[level].popleft()[1]
        self._bytes -= len(line)
        self.lost[level] += 1

    def _lose_all(self) -> None:
        """Nobody takes lines now; whoever comes back is told how many there were."""
        self._rest = b""
        self.lost += Counter({self._rest_level: 1}) if self._rest_level else self._told
        while self._bytes:
            self._lose_one()


class LogHandler(logging.Handler):
    """Formats events into a `LogStream`. A fault in formatting loses the event, and is counted as lost."""

    def __init__(self, stream: LogStream) -> None:
        super().__init__()
        self.stream = stream
        stream.tell_lost = self._lost_line

    def emit(self, record: logging.LogRecord) -> None:
        """Write one event."""
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
        except Exception:
            self.stream.lost[record.levelno] += 1
            return
        self.stream.add(line, record.levelno)

    def _lost_line(self, lost: Counter[int]) -> bytes:
        fields = {f"lost_{logging.getLevelName(level).lower()}": count for level, count in lost.items()}
        record = logging.makeLogRecord(
            {"name": "eiderpin", "levelno": logging.WARNING, "levelname": "WARNING",
             "msg": "log events were lost", **fields}
        )  # fmt: skip
        self.filter(record)
        return self.format(record).encode(errors="replace") + b"\n"
