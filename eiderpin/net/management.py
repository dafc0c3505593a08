"""The management API for operators: a caller sends one line on a connection and gets one reply.

The calls themselves belong to the service. An optional feature may have calls of its own, such as
`store {...}`: their lines may be longer, and their replies may come later or in several lines.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.net.connection import Connection
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop
from eiderpin.policy.memory_budget import HoldingKind, MemoryBudget

MAX_LINE_BYTES = 256  # of a call, unless it is an extension's
# A call must be received completely, and its reply be read, within this time, counted from the connection.
CALL_TIMEOUT_MS = 2000.0


class Extension(Protocol):
    """The calls of an optional feature."""

    max_line_bytes: int

    def call(self, caller: ManagementConnection, arguments: bytes) -> None:
        """Handle one call: `arguments` is its line without the first word. `caller` must get a reply, at once
        or later."""
        ...


class ManagementConnection:
    """One caller's connection to the management API."""

    __slots__ = ("management", "conn", "received", "timeout", "on_disconnect")

    def __init__(self, management: Management, conn: Connection) -> None:
        self.management, self.conn = management, conn
        self.received = b""
        self.on_disconnect: Callable[[], None] = _do_nothing
        self.timeout: Deadline | None = management.loop.deadlines.set(
            management.loop.clock.now() + CALL_TIMEOUT_MS, self.handle_timeout
        )
        conn.on_data, conn.on_end, conn.on_closed = self.handle_data, self.handle_eof, self.handle_close

    def handle_data(self, data: bytes) -> None:
        """Collect the line, and handle the call once it is complete or too long."""
        extension = self.management.extension_for(self.received[:64] + data[:64])
        max_bytes = extension.max_line_bytes if extension is not None else MAX_LINE_BYTES
        line, newline, _ = (self.received + data[: max_bytes + 1]).partition(b"\n")
        if newline and extension is not None and len(line) <= max_bytes:
            self.conn.on_data = _discard
            extension.call(self, line.partition(b" ")[2])
        elif newline or len(line) > max_bytes:
            self.reply(self.management.answer(line if newline and len(line) <= max_bytes else None))
        else:
            self.received = line
            self.management.account_memory(self)

    @property
    def held_bytes(self) -> int:
        """Memory that its incomplete line and its unread reply take."""
        return len(self.received) + len(self.conn.unsent)

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Close the connection, since its memory is needed."""
        self.management.counters.add("in.calls_shed")
        self.conn.close()

    def reply(self, text: str) -> None:
        """Send the last line of the reply, and close."""
        self.conn.on_data = _discard
        self.received = b""
        self.conn.write(text.encode() + b"\n")
        self.conn.close_when_sent()
        self.management.account_memory(self)

    def write_line(self, text: str) -> None:
        """Send a line of the reply that is not the last."""
        self.conn.write(text.encode() + b"\n")
        self.management.account_memory(self)

    def set_timeout(self, ms: float | None) -> None:
        """Let the reply take up to `ms` from now on; None: without limit."""
        deadlines, now = self.management.loop.deadlines, self.management.loop.clock.now()
        deadlines.drop(self.timeout)
        self.timeout = deadlines.set(now + ms, self.handle_timeout) if ms is not None else None

    def handle_eof(self) -> None:
        """Do nothing: a caller that disconnects before the end of its line gets no reply."""

    def handle_timeout(self) -> None:
        """Close the connection of a caller that is too slow."""
        self.management.counters.add("in.calls_silent")
        self.conn.close()

    def handle_close(self) -> None:
        """Release what belongs to the connection, and notify whoever was going to reply."""
        self.management.loop.deadlines.drop(self.timeout)
        self.management.open_connections.pop(self, None)
        self.management.memory.remove(self)
        self.on_disconnect()


class Management:
    """The listener of the management API. `calls` maps the name of each call to the function that returns its
    reply; at most `max_connections` callers are connected at once."""

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        address: tuple[str, int],
        calls: Mapping[str, Callable[[], str]],
        max_connections: int,
        memory: MemoryBudget,
    ) -> None:
        self.loop, self.counters, self.calls, self.memory = loop, counters, calls, memory
        self.max_connections = max_connections
        self.extensions: dict[str, Extension] = {}  # by the first word of their calls
        self.open_connections: dict[ManagementConnection, None] = {}  # the oldest first
        self.listener = Listener(loop, address, self.accept_connection)

    def accept_connection(self, conn: Connection) -> None:
        """Add a new caller, and close the oldest connection if there are too many."""
        if len(self.open_connections) >= self.max_connections:
            # The oldest has had the most time; callers that send nothing must not keep others out.
            next(iter(self.open_connections)).conn.close()
            self.counters.add("in.calls_crowded")
        self.open_connections[ManagementConnection(self, conn)] = None

    def account_memory(self, connection: ManagementConnection) -> None:
        """Update how much memory a connection holds, and take memory from holders if there is too little."""
        if connection.conn.closed:
            return
        kind = HoldingKind.UNREAD if connection.conn.unsent else HoldingKind.PARTIAL
        if self.memory.update(connection, connection.held_bytes, kind):
            self.memory.make_room()

    def extension_for(self, line: bytes) -> Extension | None:
        """The extension whose call begins `line`, by its first word; None if it is none of theirs."""
        for name, extension in self.extensions.items():
            if line.startswith(name.encode() + b" "):
                return extension
        return None

    def answer(self, line: bytes | None) -> str:
        """The reply to one line; None stands for a line that was too long."""
        if line is None:
            return self.reject(f"a call is one line of up to {MAX_LINE_BYTES} bytes")
        name = line.decode("latin-1").strip()
        call = self.calls.get(name)
        if call is None:
            known = ", ".join(self.calls)
            return self.reject(f"no such call; there are: {known}" if name else f"which call? {known}")
        self.counters.add(f"in.calls.{name}")
        return call()

    def reject(self, text: str) -> str:
        """Count a call that is not valid, and return the reply to it."""
        self.counters.add("in.calls_bad")
        return f"fail {text}"


def _do_nothing() -> None:
    return None


def _discard(data: bytes) -> None:
    """Drop received bytes: a connection carries one line only."""
