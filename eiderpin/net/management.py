"""The operators' door: one line in on each connection, one reply out. The calls are the service's."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from eiderpin.core.counters import Counters
from eiderpin.net.loop import Connection, Listener, Loop

MOST_CALLERS = 12  # open at once; their descriptors are kept back from all else
MOST_LINE = 256  # bytes of a call
PATIENCE = 2000.0  # ms, from the connection on, in which a call must have come whole and its reply be taken


class Call:
    """One caller's connection."""

    __slots__ = ("door", "conn", "line", "limit")

    def __init__(self, door: Management, conn: Connection) -> None:
        self.door, self.conn = door, conn
        self.line = b""
        self.limit = door.loop.deadlines.set(door.loop.clock.now() + PATIENCE, self.too_slow)
        conn.on_data, conn.on_end, conn.on_closed = self.data, self.end, self.closed

    def data(self, data: bytes) -> None:
        line, ended, _ = (self.line + data[: MOST_LINE + 1]).partition(b"\n")
        if ended or len(line) > MOST_LINE:
            self.reply(self.door.answer(line if ended else None))
        else:
            self.line = line

    def reply(self, text: str) -> None:
        self.conn.on_data = _ignore
        self.conn.write(text.encode() + b"\n")
        self.conn.close_when_sent(linger=True)

    def end(self) -> None:
        """The caller has gone; with its line unended there is nobody left to tell."""

    def too_slow(self) -> None:
        self.door.counters.add("in.calls_silent")
        self.conn.close()

    def closed(self) -> None:
        self.door.loop.deadlines.drop(self.limit)
        self.door.open.pop(self, None)


class Management:
    def __init__(
        self, loop: Loop, counters: Counters, address: tuple[str, int], calls: Mapping[str, Callable[[], str]]
    ) -> None:
        self.loop, self.counters, self.calls = loop, counters, calls
        self.open: dict[Call, None] = {}  # in the order of their coming
        self.listener = Listener(loop, address, self.taken)

    def taken(self, conn: Connection) -> None:
        if len(self.open) >= MOST_CALLERS:
            # Who is here longest has had the most time: those who say nothing must not keep others out.
            next(iter(self.open)).conn.close()
            self.counters.add("in.calls_crowded")
        self.open[Call(self, conn)] = None

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


def _ignore(data: bytes) -> None:
    """One line is all that a connection carries."""
