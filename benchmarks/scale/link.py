"""A TCP forwarder between the dispatchers of a region and one member, which can be cut.

    python -m benchmarks.scale.link LISTEN-PORT TARGET-PORT

While it is cut nothing passes, as on a network that drops packets: connections stay open, and what is sent
waits. Healing resets them all, as a firewall does that has forgotten them. Commands are the lines `cut` and
`heal` on standard input; its end ends the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

CHUNK = 1 << 16


class Link:
    """Forwards connections while it is whole."""

    def __init__(self, target: int) -> None:
        """Forward to this port."""
        self.target = target
        self.whole = asyncio.Event()
        self.whole.set()
        self.open: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, both ways."""
        self.open.add(writer)
        try:
            await self.whole.wait()
            there, back = await asyncio.open_connection("127.0.0.1", self.target)
            self.open.add(back)
            await asyncio.gather(self.pass_on(reader, back), self.pass_on(there, writer))
            self.open.discard(back)
        except OSError:
            pass
        finally:
            writer.close()
            self.open.discard(writer)

    async def pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One way, until its end."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    def heal(self) -> None:
        """Let connections pass again; those of before are reset."""
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()
        self.whole.set()


async def main() -> None:
    """Serve until standard input ends."""
    listen, target = int(sys.argv[1]), int(sys.argv[2])
    link = Link(target)
    server = await asyncio.start_server(link.serve, "127.0.0.1", listen, backlog=1024)
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.strip() == "cut":
            link.whole.clear()
        else:
            link.heal()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
