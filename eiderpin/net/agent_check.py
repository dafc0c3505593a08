"""HAProxy's agent-check: each caller is sent one line with the state that `/_health` reports."""

from __future__ import annotations

from collections.abc import Callable

from eiderpin.net.connection import Connection
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop


class AgentCheck:
    """The listener for agent-checks. `readiness` returns the line to send; at most `max_connections` callers
    are served at once. With `shared` an old and a new process may both bind the address, and nothing is
    accepted until the listener is started."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        readiness: Callable[[], str],
        max_connections: int,
        shared: bool = False,
    ) -> None:
        self.readiness, self.max_connections = readiness, max_connections
        self.open_connections: list[Connection] = []
        self.listener = Listener(loop, address, self.accept_connection, accepting=not shared, shared=shared)

    def accept_connection(self, conn: Connection) -> None:
        """Send the state and close. A line that some balancers send first is not needed, nor waited for."""
        self.open_connections = [c for c in self.open_connections if not c.closed]
        if len(self.open_connections) >= self.max_connections:
            # The oldest has its line; callers that stay must not keep others out.
            self.open_connections.pop(0).close()
        self.open_connections.append(conn)
        conn.write(self.readiness().encode() + b"\n")
        conn.close_when_sent()
