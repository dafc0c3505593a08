"""The operators' door: one line in on each connection, one reply out. The calls are the service's. A further
part may have calls of its own, with more to say in a line (`store {...}`), answered later or bit by bit."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.net.loop import Connection, Listener, Loop

MOST_LINE = 256  # bytes of a call
PATIENCE = 2000.0  # ms, from the connection on, in which a call must have come whole and its reply be taken


class Part(Protocol):
    """A further part's calls."""

    max_line_bytes: int

    def call(self, caller: ManagementConnection, said: bytes) -> None:
        """One line, less its first word. `caller` is to be answered sooner or later."""
        ...


class ManagementConnection:
    """One caller's connection."""

    __slots__ = ("door", "conn", "line", "limit", "on_disconnect")

    def __init__(self, door: Management, conn: Connection) -> None:
        self.door, self.conn = door, conn
        self.line = b""
        self.on_disconnect: Callable[[], None] = _nothing
        self.limit: Deadline | None = door.loop.deadlines.set(door.loop.clock.now() + PATIENCE, self.too_slow)
        conn.on_data, conn.on_end, conn.on_closed = self.data, self.end, self.closed

    def data(self, data: bytes) -> None:
        part = self.door.part_of(self.line[:64] + data[:64])
        most = part.max_line_bytes if part is not None else MOST_LINE
        line, ended, _ = (self.line + data[: most + 1]).partition(b"\n")
        if ended and part is not None and len(line) <= most:
            self.conn.on_data = _ignore
            part.call(self, line.partition(b" ")[2])
        elif ended or len(line) > most:
            self.reply(self.door.answer(line if ended and len(line) <= most else None))
        else:
            self.line = line

    def reply(self, text: str) -> None:
        self.conn.on_data = _ignore
        self.conn.write(text.encode() + b"\n")
        self.conn.close_when_sent()

    def write_line(self, text: str) -> None:
        """A line that is not the last."""
        self.conn.write(text.encode() + b"\n")

    def set_timeout(self, ms: float | None) -> None:
        """The answer may take so long from now on; None: it has no end."""
        deadlines, now = self.door.loop.deadlines, self.door.loop.clock.now()
        deadlines.drop(self.limit)
        self.limit = deadlines.set(now + ms, self.too_slow) if ms is not None else None

    def end(self) -> None:
        """The caller has gone; with its line unended there is nobody left to tell."""

    def too_slow(self) -> None:
        self.door.counters.add("in.calls_silent")
        self.conn.close()

    def closed(self) -> None:
        self.door.loop.deadlines.drop(self.limit)
        self.door.open.pop(self, None)
        self.on_disconnect()


class Management:
    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        address: tuple[str, int],
        calls: Mapping[str, Callable[[], str]],
        most: int,
    ) -> None:
        self.loop, self.counters, self.calls = loop, counters, calls
        self.max_connections = most  # callers open at once
        self.extensions: dict[str, Part] = {}
        self.open: dict[ManagementConnection, None] = {}  # in the order of their coming
        self.listener = Listener(loop, address, self.taken)

    def taken(self, conn: Connection) -> None:
        if len(self.open) >= self.max_connections:
            # Who is here longest has had the most time: those who say nothing must not keep others out.
            next(iter(self.open)).conn.close()
            self.counters.add("in.calls_crowded")
        self.open[ManagementConnection(self, conn)] = None

    def part_of(self, line: bytes) -> Part | None:
        """Whose call it is, by its first word."""
        for name, part in self.extensions.items():
            if line.startswith(name.encode() + b" "):
                return part
        return None

    def answer(self, line: bytes | None) -> str:
        """The reply to one line; None: it was too long."""
        if line is None:
            return self.refused(f"a call is one line of up to {MOST_LINE} bytes")
        name = line.decode("latin-1").strip()
        call = self.calls.get(name)
        if call is None:
            known = ", ".join(self.calls)
            return self.refused(f"no such call; there are: {known}" if name else f"which call? {known}")
        self.counters.add(f"in.calls.{name}")
        return call()

    def refused(self, text: str) -> str:
        self.counters.add("in.calls_bad")
        return f"fail {text}"


def _nothing() -> None:
    return None


def _ignore(data: bytes) -> None:
    """One line is all that a connection carries."""
