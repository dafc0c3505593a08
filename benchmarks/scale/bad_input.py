"""Malformed and hostile clients at a member's port for observers, and how soon they are disconnected."""

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

END_TIMEOUT_SECONDS = 8.0  # for which a client waits for the end of its connection
SILENT_CLIENTS = 2_000
OVERSIZED_FRAME_BYTES = 1 << 30


class ConnectionEnd(msgspec.Struct):
    """How a client's connection end."""

    ended_s: float | None  # seconds until its end; None if it did not end within `END_TIMEOUT_SECONDS`
    kind: str = ""  # of the `Rejected` message, if there was one


def encode_subscribe(name: str, **changes: Any) -> bytes:
    """Encode the first bytes of a valid observer, with some fields of its `Subscribe` replaced."""
    message = Subscribe(VERSION, "c1", name, "0123456789abcdef", 1)
    return MAGIC + encode_frame(msgspec.structs.replace(message, **changes))


def run_client(host: str, port: int, data: bytes, reads: bool = True) -> ConnectionEnd:
    """Send these bytes and wait for the end of the connection; read from it only if `reads`."""
    with socket.create_connection((host, port), 5.0) as sock:
        started_at = time.monotonic()
        sock.sendall(data)
        frames, kind = FrameDecoder(b""), ""
        while (remaining := started_at + END_TIMEOUT_SECONDS - time.monotonic()) > 0:
            if not reads:  # detect the end by polling
                poll = select.poll()
                poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
                if poll.poll(remaining * 1000.0):
                    return ConnectionEnd(time.monotonic() - started_at, kind)
                continue
            sock.settimeout(remaining)
            try:
                received = sock.recv(1 << 16)
            except TimeoutError:
                break
            except ConnectionError:
                received = b""
            for body in frames.feed(received):
                message = FROM_MEMBER.decode(body)
                if isinstance(message, Rejected):
                    kind = message.kind
            if not received:
                return ConnectionEnd(time.monotonic() - started_at, kind)
    return ConnectionEnd(None, kind)


def run_silent_clients(host: str, port: int) -> ConnectionEnd:
    """Open `SILENT_CLIENTS` connections that send nothing, and wait until the last of them has end."""
    socks: list[socket.socket] = []
    try:
        for _ in range(SILENT_CLIENTS):
            socks.append(socket.create_connection((host, port), 5.0))
        remaining = {sock.fileno() for sock in socks}
        poll = select.poll()
        for number in remaining:
            poll.register(number, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        opened_at = time.monotonic()
        while remaining and time.monotonic() < opened_at + END_TIMEOUT_SECONDS:
            for number, _ in poll.poll(100.0):
                poll.unregister(number)
                remaining.discard(number)
        return ConnectionEnd(time.monotonic() - opened_at if not remaining else None)
    finally:
        for sock in socks:
            sock.close()


CASES: dict[str, Callable[[str, int], ConnectionEnd]] = {
    "garbage": lambda host, port: run_client(host, port, b"GET / HTTP/1.1\r\n\r\n"),
    "oversized frame": lambda host, port: run_client(
        host, port, MAGIC + struct.pack(">I", OVERSIZED_FRAME_BYTES)
    ),
    "no message": lambda host, port: run_client(host, port, MAGIC + struct.pack(">I", 3) + b"\xc1\xc1\xc1"),
    "no Subscribe": lambda host, port: run_client(host, port, MAGIC + encode_frame(Pong(1))),
    "a revision from the future": lambda host, port: run_client(
        host, port, encode_subscribe("bad-1", floor_generation=1, floor_revision=1 << 40)
    ),
    "another cluster": lambda host, port: run_client(host, port, encode_subscribe("bad-2", cluster="other")),
    "a later generation than the member's": lambda host, port: run_client(
        host, port, encode_subscribe("bad-3", floor_generation=9, floor_revision=1)
    ),
    "half a message": lambda host, port: run_client(host, port, encode_subscribe("bad-4")[:-5]),
    "subscribes and never reads": lambda host, port: run_client(
        host, port, encode_subscribe("bad-5"), reads=False
    ),
    "2,000 that say nothing": run_silent_clients,
}


def run_cases(host: str, port: int) -> dict[str, dict[str, Any]]:
    """Run all cases, one after another, against one member."""
    found = {}
    for what, case in CASES.items():
        end = case(host, port)
        seconds = round(end.ended_s, 2) if end.ended_s is not None else None
        found[what] = {"ended_s": seconds, "kind": end.kind}
    return found
