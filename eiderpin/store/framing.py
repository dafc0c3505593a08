"""Length-prefixed frames on a TCP stream: four bytes of length (big endian), then one MessagePack value.

Used between members (`transport`) and between members and observers (`observer_server`, `fleet.observer`).
"""

from __future__ import annotations

import struct

import msgspec

MOST_FRAME = 2 << 20  # bytes
_LENGTH = struct.Struct(">I")


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encode one message as a frame."""
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """A decoder for one direction of a connection: bytes in, bodies of whole frames out.

    Args:
        magic: The bytes that the stream has to begin with; empty for none.
        most_frame: The largest body that is accepted, in bytes.
    """

    def __init__(self, magic: bytes, most_frame: int = MOST_FRAME) -> None:
        """Begin with nothing received."""
        self.magic = magic
        self.most_frame = most_frame
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the bodies that are complete.

        Raises:
            ValueError: The stream begins with something else, or a frame is too long.
        """
        self.buffer += data
        if self.magic:
            have = bytes(self.buffer[: len(self.magic)])
            if have != self.magic[: len(have)]:
                raise ValueError(f"it begins with {have!r}, not with {self.magic!r}")
            if len(have) < len(self.magic):
                return []
            del self.buffer[: len(self.magic)]
            self.magic = b""
        found = []
        while len(self.buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self.buffer)
            if size > self.most_frame:
                raise ValueError(f"a frame of {size} bytes; up to {self.most_frame} are taken")
            if len(self.buffer) < _LENGTH.size + size:
                break
            found.append(bytes(self.buffer[_LENGTH.size : _LENGTH.size + size]))
            del self.buffer[: _LENGTH.size + size]
        return found
