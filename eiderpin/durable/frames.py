"""The format of a segment: a header, then frames. Pure: bytes in, records out.

A frame names how much of its segment was known to be on disk when it was written. So a reader can tell a
torn tail (nothing after the bad place was written by a process that trusted it) from damage to what had
been acknowledged.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum

from crc32c import crc32c

MAGIC = b"EIDERLOG"
FORMAT = 1
_HEADER = struct.Struct("<8sHHIQQI")  # magic, format, 0, 0, segment, bytes of the one before, crc
HEADER_SIZE = _HEADER.size
MARK = b"\xe1\xd7"
_FRAME = struct.Struct("<2sBBII")  # mark, kind, version, length of the body, bytes known to be on disk
_CRC = struct.Struct("<I")
FRAME_SIZE = _FRAME.size + _CRC.size
MOST_BODY = 16 << 20


class FormatError(ValueError):
    """It is no file of ours, or one of a newer format."""


class Tail(Enum):
    """How the reading of a segment ended."""

    WHOLE = "whole"  # with its last byte
    TORN = "torn"  # what follows was never acknowledged
    DAMAGED = "damaged"  # what follows had been acknowledged, or may have been


@dataclass(slots=True, frozen=True)
class Record:
    kind: int
    version: int
    body: bytes


@dataclass(slots=True)
class Scan:
    """What a segment holds. `end`: where the last good frame ends."""

    records: list[Record] = field(default_factory=list)
    end: int = HEADER_SIZE
    tail: Tail = Tail.WHOLE


def header(number: int, before: int) -> bytes:
    """A segment's first bytes. `before`: how much of the segment before it counts; what lies past that was
    never acknowledged."""
    bare = _HEADER.pack(MAGIC, FORMAT, 0, 0, number, before, 0)[: -_CRC.size]
    return bare + _CRC.pack(crc32c(bare))


def read_header(data: bytes) -> tuple[int, int]:
    """A segment's number and how much counts of the one before. Raises `FormatError`."""
    if len(data) < HEADER_SIZE:
        raise FormatError("it ends within its header")
    magic, form, _, _, number, before, crc = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FormatError(f"it begins with {magic!r}, not with {MAGIC!r}")
    if form > FORMAT:
        raise FormatError(f"its format is {form}; this version of eiderpin reads up to {FORMAT}")
    if crc != crc32c(data[: HEADER_SIZE - _CRC.size]):
        raise FormatError("its header is damaged")
    return number, before


def frame(kind: int, version: int, body: bytes, synced: int) -> bytes:
    """One record as it is written. `synced`: bytes of its segment that are on disk by now."""
    if len(body) > MOST_BODY:
        raise ValueError(f"a record of {len(body)} bytes; up to {MOST_BODY} fit")
    head = _FRAME.pack(MARK, kind, version, len(body), synced)
    return head + _CRC.pack(crc32c(body, crc32c(head))) + body


def scan(data: bytes, limit: int | None = None) -> Scan:
    """Read a segment's frames, up to `limit` bytes where its successor names that; it never guesses past a
    bad one. A segment with a successor was synced whole before that began, so a bad frame there is
    damage."""
    found = Scan()
    end = len(data) if limit is None else limit
    while found.end < end:
        got = _frame_at(data, found.end, end)
        if got is None:
            torn = limit is None and not _acknowledged_after(data, found.end)
            found.tail = Tail.TORN if torn else Tail.DAMAGED
            break
        record, _, found.end = got
        found.records.append(record)
    return found


def _frame_at(data: bytes, at: int, end: int) -> tuple[Record, int, int] | None:
    """The record there, what was on disk when it was written, and where the next begins; None: nothing
    good."""
    body_at = at + FRAME_SIZE
    if body_at > min(end, len(data)):
        return None
    mark, kind, version, length, synced = _FRAME.unpack_from(data, at)
    if mark != MARK or length > MOST_BODY or body_at + length > min(end, len(data)):
        return None
    body = data[body_at : body_at + length]
    (crc,) = _CRC.unpack_from(data, at + _FRAME.size)
    if crc != crc32c(body, crc32c(data[at : at + _FRAME.size])):
        return None
    return Record(kind, version, body), synced, body_at + length


def _acknowledged_after(data: bytes, bad: int) -> bool:
    """Whether a good frame further on was written when the bad place was known to be on disk."""
    at = data.find(MARK, bad + 1)
    while at >= 0:
        got = _frame_at(data, at, len(data))
        if got is not None and got[1] > bad:
            return True
        at = data.find(MARK, at + 1)
    return False
