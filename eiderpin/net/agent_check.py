"""HAProxy's agent-check: one line to whoever connects, the same that `/_health` goes by."""

from __future__ import annotations

from collections.abc import Callable

from eiderpin.net.loop import Connection, Listener, Loop


class AgentCheck:
    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        readiness: Callable[[], str],
        most: int,
        shared: bool = False,
    ) -> None:
        self.readiness, self.max_connections = readiness, most  # `most` callers at once
        self.open: list[Connection] = []
        self.listener = Listener(loop, address, self.taken, accepting=not shared, shared=shared)

    def taken(self, conn: Connection) -> None:
        """Some balancers send a line of their own first; it is not needed, and not waited for."""
        self.open = [c for c in self.open if not c.closed]
        if len(self.open) >= self.max_connections:
            conn.close()
            return
        self.open.append(conn)
        conn.write(self.readiness().encode() + b"\n")
        conn.close_when_sent()
