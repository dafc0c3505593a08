"""Malformed and hostile clients at a member's port for observers, and how soon each is ended."""

from __future__ import annotations

import select
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import msgspec

from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.observer_protocol import FROM_MEMBER, MAGIC, VERSION, Pong, Rejected, Subscribe

WAIT = 8.0  # s for an end, before it is said that there was none
SILENT_CLIENTS = 2_000
GIGABYTE = 1 << 30


class Ended(msgspec.Struct):
    """How a client's connection ended. `ended_s` None: not within `WAIT`; `kind`: of a `Rejected`, or ''."""

    ended_s: float | None
    kind: str = ""


def subscribe(name: str, **changed: Any) -> bytes:
    """The beginning of a good observer, with some fields changed."""
    asked = Subscribe(VERSION, "c1", name, "0123456789abcdef", 1)
    return MAGIC + encode_frame(msgspec.structs.replace(asked, **changed))


def client(host: str, port: int, said: bytes, reads: bool = True) -> Ended:
    """Send these bytes, then wait for the connection to end."""
    with socket.create_connection((host, port), 5.0) as sock:
        begun = time.monotonic()
        sock.sendall(said)
        frames, kind = FrameDecoder(b""), ""
        while (left := begun + WAIT - time.monotonic()) > 0:
            if not reads:  # an end is seen without reading
                poll = select.poll()
                poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
                if poll.poll(left * 1000.0):
                    return Ended(time.monotonic() - begun, kind)
                continue
            sock.settimeout(left)
            try:
                data = sock.recv(1 << 16)
            except TimeoutError:
                break
            except ConnectionError:
                data = b""
            for body in frames.feed(data):
                message = FROM_MEMBER.decode(body)
                if isinstance(message, Rejected):
                    kind = message.kind
            if not data:
                return Ended(time.monotonic() - begun, kind)
    return Ended(None, kind)


def silent(host: str, port: int) -> Ended:
    """Very many connections that say nothing: when the last of them has ended."""
    socks: list[socket.socket] = []
    try:
        for _ in range(SILENT_CLIENTS):
            socks.append(socket.create_connection((host, port), 5.0))
        left = {sock.fileno() for sock in socks}
        poll = select.poll()
        for number in left:
            poll.register(number, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        opened = time.monotonic()
        while left and time.monotonic() < opened + WAIT:
            for number, _ in poll.poll(100.0):
                poll.unregister(number)
                left.discard(number)
        return Ended(time.monotonic() - opened if not left else None)
    finally:
        for sock in socks:
            sock.close()


CASES: dict[str, Callable[[str, int], Ended]] = {
    "garbage": lambda host, port: client(host, port, b"GET / HTTP/1.1\r\n\r\n"),
    "oversized frame": lambda host, port: client(host, port, MAGIC + struct.pack(">I", GIGABYTE)),
    "no message": lambda host, port: client(host, port, MAGIC + struct.pack(">I", 3) + b"\xc1\xc1\xc1"),
    "no Subscribe": lambda host, port: client(host, port, MAGIC + encode_frame(Pong(1))),
    "a revision from the future": lambda host, port: client(
        host, port, subscribe("bad-1", floor_generation=1, floor_revision=1 << 40)
    ),
    "another cluster": lambda host, port: client(host, port, subscribe("bad-2", cluster="other")),
    "a later generation than the member's": lambda host, port: client(
        host, port, subscribe("bad-3", floor_generation=9, floor_revision=1)
    ),
    "half a message": lambda host, port: client(host, port, subscribe("bad-4")[:-5]),
    "subscribes and never reads": lambda host, port: client(host, port, subscribe("bad-5"), reads=False),
    "2,000 that say nothing": silent,
}


def play(host: str, port: int) -> dict[str, dict[str, Any]]:
    """All cases, one after the other."""
    found = {}
    for what, case in CASES.items():
        ended = case(host, port)
        seconds = round(ended.ended_s, 2) if ended.ended_s is not None else None
        found[what] = {"ended_s": seconds, "kind": ended.kind}
    return found
