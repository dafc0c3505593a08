"""How long ago the data that is about to be read from a connection arrived.

A client's deadline counts from when it sent its request. A process that was held up, or that accepts a
connection late, reads the request later. Without a correction it would grant a server time that the client no
longer has.
"""

from __future__ import annotations

import socket
import struct

# The part of `struct tcp_info` (linux/tcp.h) that ends with `tcpi_last_data_recv`.
TCP_INFO_BYTES = 56
# `tcpi_last_data_recv`, in ms: the last four bytes of that part.
LAST_DATA_RECV = struct.Struct("=52xI")
# A lower age counts as 0: the kernel counts in ticks of up to 10 ms, and the deadlines' margins cover it.
MIN_REPORTED_AGE_MS = 30.0
# A higher age is not that of a request that is just being read.
MAX_PLAUSIBLE_AGE_MS = 2000.0


def data_age(sock: socket.socket) -> float | None:
    """Time since data was last received on this TCP connection, in ms; 0 if it is negligible, None if it is
    not known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    (age,) = LAST_DATA_RECV.unpack(info[:TCP_INFO_BYTES])
    if age > MAX_PLAUSIBLE_AGE_MS:
        return None
    return float(age) if age > MIN_REPORTED_AGE_MS else 0.0
