"""Length-prefixed frames on a TCP stream: four bytes of length (big endian), then one MessagePack value.

Used between members (`transport`) and between members and observers (`observer_server`, `fleet.observer`).
"""

from __future__ import annotations

import struct

import msgspec

MAX_FRAME_BYTES = 2 << 20
_LENGTH = struct.Struct(">I")


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encode one message as a frame."""
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """A decoder for one direction of a connection: bytes in, bodies of whole frames out.

    Args:
        magic: The bytes that the stream has to begin with; empty for none.
        max_frame_bytes: The largest body that is accepted, in bytes.
    """

    def __init__(self, magic: bytes, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Start with an empty buffer."""
        self.magic = magic
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the bodies that are complete.

        Raises:
            ValueError: The stream begins with something else, or a frame is too long.
        """
        self.buffer += data
        if self.magic:
            received = bytes(self.buffer[: len(self.magic)])
            if received != self.magic[: len(received)]:
                raise ValueError(f"it begins with {received!r}, not with {self.magic!r}")
            if len(received) < len(self.magic):
                return []
            del self.buffer[: len(self.magic)]
            self.magic = b""
        bodies = []
        while len(self.buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self.buffer)
            if size > self.max_frame_bytes:
                raise ValueError(f"a frame of {size} bytes; up to {self.max_frame_bytes} are taken")
            if len(self.buffer) < _LENGTH.size + size:
                break
            bodies.append(bytes(self.buffer[_LENGTH.size : _LENGTH.size + size]))
            del self.buffer[: _LENGTH.size + size]
        return bodies
