"""The format of a segment: a header, then frames of one record each. Pure: bytes in, records out.

Each frame states how much of its segment was known to be on disk when it was written. By this a reader
distinguishes a torn tail from damage: if a valid frame after a bad place states that the bad place was on
disk, then data was lost that had been acknowledged.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum

from crc32c import crc32c

MAGIC = b"EIDERLOG"
FORMAT = 1
# magic, format, 0, 0, segment number, bytes that count of the previous segment, CRC
_HEADER = struct.Struct("<8sHHIQQI")
HEADER_BYTES = _HEADER.size
FRAME_MARK = b"\xe1\xd7"
_FRAME_HEADER = struct.Struct("<2sBBII")  # mark, kind, version, body length, bytes known to be on disk
_CRC = struct.Struct("<I")
FRAME_HEADER_BYTES = _FRAME_HEADER.size + _CRC.size
MAX_BODY_BYTES = 16 << 20


class FormatError(ValueError):
    """The file is not one of eiderpin's, or it has a newer format."""


class Tail(Enum):
    """How the reading of a segment ended."""

    WHOLE = "whole"  # at its last byte
    TORN = "torn"  # at a bad frame; neither it nor what follows was acknowledged
    DAMAGED = "damaged"  # at a bad frame that was acknowledged, or may have been


@dataclass(slots=True, frozen=True)
class Record:
    """A record as the log stores it; `kind` and `version` tell its owner how to decode the body."""

    kind: int
    version: int
    body: bytes


@dataclass(slots=True)
class SegmentScan:
    """The content of a segment; `end` is the offset at which the last valid frame ends."""

    records: list[Record] = field(default_factory=list)
    end: int = HEADER_BYTES
    tail: Tail = Tail.WHOLE


def pack_header(number: int, previous_end: int) -> bytes:
    """Return the first bytes of a segment.

    `previous_end`: the bytes of the previous segment that count; what lies beyond was never acknowledged.
    """
    fields = _HEADER.pack(MAGIC, FORMAT, 0, 0, number, previous_end, 0)[: -_CRC.size]
    return fields + _CRC.pack(crc32c(fields))


def read_header(data: bytes) -> tuple[int, int]:
    """Return a segment's number and how many bytes of the previous one count. Raises `FormatError`."""
    if len(data) < HEADER_BYTES:
        raise FormatError("it ends within its header")
    magic, format_version, _, _, number, previous_end, crc = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FormatError(f"it begins with {magic!r}, not with {MAGIC!r}")
    if format_version > FORMAT:
        raise FormatError(f"its format is {format_version}; this version of eiderpin reads up to {FORMAT}")
    if crc != crc32c(data[: HEADER_BYTES - _CRC.size]):
        raise FormatError("its header is damaged")
    return number, previous_end


def pack_frame(kind: int, version: int, body: bytes, synced_bytes: int) -> bytes:
    """Return one record as it is written. Raises `ValueError` if it is too large.

    `synced_bytes`: how many bytes of its segment are known to be on disk.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a record of {len(body)} bytes; up to {MAX_BODY_BYTES} fit")
    head = _FRAME_HEADER.pack(FRAME_MARK, kind, version, len(body), synced_bytes)
    return head + _CRC.pack(crc32c(body, crc32c(head))) + body


def scan_segment(data: bytes, limit: int | None = None) -> SegmentScan:
    """Read a segment's frames up to the first bad one.

    `limit`: the bytes that count, as the next segment states them; None for the last segment. A segment that
    has a next one was synced before that began, so a bad frame in it is damage.
    """
    scan = SegmentScan()
    end = len(data) if limit is None else limit
    while scan.end < end:
        frame = _read_frame(data, scan.end, end)
        if frame is None:
            is_torn = limit is None and not _was_synced(data, scan.end)
            scan.tail = Tail.TORN if is_torn else Tail.DAMAGED
            break
        record, _, scan.end = frame
        scan.records.append(record)
    return scan


def _read_frame(data: bytes, offset: int, end: int) -> tuple[Record, int, int] | None:
    """Return the record at the offset, the synced bytes that it states, and the next frame's offset.

    None if there is no valid frame.
    """
    body_offset = offset + FRAME_HEADER_BYTES
    if body_offset > min(end, len(data)):
        return None
    mark, kind, version, length, synced_bytes = _FRAME_HEADER.unpack_from(data, offset)
    if mark != FRAME_MARK or length > MAX_BODY_BYTES or body_offset + length > min(end, len(data)):
        return None
    body = data[body_offset : body_offset + length]
    (crc,) = _CRC.unpack_from(data, offset + _FRAME_HEADER.size)
    if crc != crc32c(body, crc32c(data[offset : offset + _FRAME_HEADER.size])):
        return None
    return Record(kind, version, body), synced_bytes, body_offset + length


def _was_synced(data: bytes, bad_offset: int) -> bool:
    """Return whether a later valid frame states that the bad offset was on disk."""
    offset = data.find(FRAME_MARK, bad_offset + 1)
    while offset >= 0:
        frame = _read_frame(data, offset, len(data))
        if frame is not None and frame[1] > bad_offset:
            return True
        offset = data.find(FRAME_MARK, offset + 1)
    return False
