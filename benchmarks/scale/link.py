"""A TCP forwarder between the dispatchers of a region and one member, which can be interrupted.

    python -m benchmarks.scale.link LISTEN-PORT TARGET-PORT

The commands are the lines `cut` and `heal` on standard input, whose end ends the process. After `cut` nothing
is forwarded, as on a network that drops packets: connections stay open and data waits. `heal` resets all
connections, as a firewall does that has lost its state, and forwards again.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

CHUNK_BYTES = 1 << 16


class Link:
    """Forwards connections while `passing` is set."""

    def __init__(self, target: int) -> None:
        """Forward to this port of the local host."""
        self.target = target
        self.passing = asyncio.Event()
        self.passing.set()
        self.open: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions."""
        self.open.add(writer)
        try:
            await self.passing.wait()
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.open.add(target_writer)
            await asyncio.gather(self.forward(reader, target_writer), self.forward(target_reader, writer))
            self.open.discard(target_writer)
        except OSError:
            pass
        finally:
            writer.close()
            self.open.discard(writer)

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one direction of a connection until its end."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    def heal(self) -> None:
        """Reset all open connections, and forward again."""
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()
        self.passing.set()


async def main() -> None:
    """Execute commands until the end of standard input."""
    listen, target = int(sys.argv[1]), int(sys.argv[2])
    link = Link(target)
    server = await asyncio.start_server(link.serve, "127.0.0.1", listen, backlog=1024)
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.strip() == "cut":
            link.passing.clear()
        else:
            link.heal()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
