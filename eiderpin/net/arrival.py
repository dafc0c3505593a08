"""How long ago the data that is about to be read had arrived.

A client's patience counts from when it sent its request. A process that was held up, or that accepts a
connection late, reads it later, and must not promise a server time that the client has not got.
"""

from __future__ import annotations

import socket
import struct

TCP_INFO_SIZE = 56  # bytes of struct tcp_info (linux/tcp.h) up to and with tcpi_last_data_recv ...
LAST_DATA_RECV = struct.Struct("=52xI")  # ... which is the last of them, in ms
NOTICEABLE = 30.0  # ms; the kernel counts in ticks of up to 10 ms, and so little is covered by margins
LONGEST = 2000.0  # ms; more than that is no figure of a request that is just being read


def data_age(sock: socket.socket) -> float | None:
    """ms since the last data came in on this TCP connection, 0 where that is little; None: not known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(info) < TCP_INFO_SIZE:
        return None
    (age,) = LAST_DATA_RECV.unpack(info[:TCP_INFO_SIZE])
    if age > LONGEST:
        return None
    return float(age) if age > NOTICEABLE else 0.0
