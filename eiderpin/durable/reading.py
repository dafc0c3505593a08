"""Reads a directory of segments and checkpoints, with or without a running owner. Nothing here writes."""

from __future__ import annotations

import re
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import zstandard
from crc32c import crc32c

from eiderpin.durable import frames
from eiderpin.durable.files import Files
from eiderpin.durable.frames import FormatError, Record, Tail

SEGMENT_NAME = re.compile(r"(\d{16})\.seg")
CHECKPOINT_NAME = re.compile(r"(\d{16})\.ckp")
# magic, format, 0, segment number, bytes when unpacked, CRC of the packed records, CRC of this header
_CHECKPOINT_HEADER = struct.Struct("<8sHHQQII")
CHECKPOINT_MAGIC = b"EIDERCKP"
MAX_CHECKPOINT_BYTES = 4 << 30  # when unpacked


class LogDamagedError(Exception):
    """Acknowledged data cannot be read; the message names the file, the byte and what is in doubt."""


@dataclass(slots=True)
class LogSummary:
    """What was read from a directory."""

    last_segment: int = 0
    last_segment_end: int = 0  # bytes of the last segment that count
    checkpoint: int = 0  # the segment that follows the last checkpoint; 0 if there is none
    segment_count: int = 0
    record_count: int = 0
    read_bytes: int = 0  # of all segments that were read
    torn: int = 0  # bytes at the end that were never acknowledged


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:016d}.seg"


def checkpoint_name(number: int) -> str:
    """Return the file name of the checkpoint before segment `number`."""
    return f"{number:016d}.ckp"


def pack_checkpoint(number: int, records: Iterable[Record]) -> bytes:
    """Return a checkpoint whose records replace all segments before segment `number`."""
    packer = zstandard.ZstdCompressor(level=3).compressobj()
    parts, size = [], 0
    for record in records:
        data = frames.pack_frame(record.kind, record.version, record.body, 0)
        size += len(data)
        parts.append(packer.compress(data))
    parts.append(packer.flush())
    packed = b"".join(parts)
    head = _CHECKPOINT_HEADER.pack(CHECKPOINT_MAGIC, frames.FORMAT, 0, number, size, crc32c(packed), 0)[:-4]
    return head + struct.pack("<I", crc32c(head)) + packed


def unpack_checkpoint(name: str, data: bytes) -> list[Record]:
    """Return the records of a checkpoint; `name` is for the error messages.

    Raises `FormatError` for a newer format, and `LogDamagedError` for anything incomplete: a checkpoint gets
    its name only once all of it is on disk.
    """
    if (
        len(data) >= 10
        and data[:8] == CHECKPOINT_MAGIC
        and struct.unpack_from("<H", data, 8)[0] > frames.FORMAT
    ):
        raise FormatError(f"{name}: its format is newer than {frames.FORMAT}, which this version reads")
    doubt = "no job of this ledger can be vouched for"
    if len(data) < _CHECKPOINT_HEADER.size:
        raise LogDamagedError(f"{name}: damaged at byte {len(data)}: {doubt}")
    magic, _, _, _, size, packed_crc, header_crc = _CHECKPOINT_HEADER.unpack_from(data)
    packed = data[_CHECKPOINT_HEADER.size :]
    if (
        magic != CHECKPOINT_MAGIC
        or header_crc != crc32c(data[: _CHECKPOINT_HEADER.size - 4])
        or packed_crc != crc32c(packed)
    ):
        raise LogDamagedError(f"{name}: damaged: {doubt}")
    if size > MAX_CHECKPOINT_BYTES:
        raise LogDamagedError(f"{name}: its header states a size of {size} bytes: {doubt}")
    unpacked = zstandard.ZstdDecompressor().decompressobj().decompress(packed)
    # A checkpoint's frames have no segment header before them: zeros stand in for it.
    scan = frames.scan_segment(bytes(frames.HEADER_BYTES) + unpacked)
    if len(unpacked) != size or scan.tail is not Tail.WHOLE:
        raise LogDamagedError(f"{name}: damaged: {doubt}")
    return scan.records


def read(files: Files, apply: Callable[[Record], None]) -> LogSummary:
    """Pass all records to `apply` in order, those of the last checkpoint first.

    One segment and its successor are in memory at a time. Raises `FormatError`, `LogDamagedError` and
    `OSError`; the records that were passed to `apply` by then are valid.
    """
    names = files.names()
    numbers = sorted(int(match[1]) for name in names if (match := SEGMENT_NAME.fullmatch(name)))
    checkpoints = sorted(int(match[1]) for name in names if (match := CHECKPOINT_NAME.fullmatch(name)))
    summary = LogSummary()
    if checkpoints:
        summary.checkpoint = checkpoints[-1]
        name = checkpoint_name(summary.checkpoint)
        for record in unpack_checkpoint(name, files.read(name)):
            apply(record)
            summary.record_count += 1
    numbers = [number for number in numbers if number >= summary.checkpoint]
    data, next_data = b"", None
    for index, number in enumerate(numbers):
        data = next_data if next_data is not None else files.read(segment_name(number))
        next_data, limit = None, None
        if index + 1 < len(numbers):
            next_number = numbers[index + 1]
            next_data = files.read(segment_name(next_number))
            limit = _previous_end(next_number, next_data, index + 2 == len(numbers))
            if next_number != number + 1:
                raise _missing_segment(number + 1)
        if index == 0 and summary.checkpoint and number != summary.checkpoint:
            raise _missing_segment(summary.checkpoint)
        if index == 0 and not summary.checkpoint and number != 1:
            raise _missing_segment(1)
        if not _has_header(number, data, index + 1 == len(numbers)):
            summary.torn = len(data)  # the next owner begins this segment anew under its number
            break
        _read_segment(summary, number, data, limit, apply)
    if not summary.last_segment:
        summary.last_segment = max(summary.checkpoint - 1, 0)
    return summary


def _missing_segment(number: int) -> LogDamagedError:
    text = "it is missing: what it held, and what followed, cannot be vouched for"
    return LogDamagedError(f"{segment_name(number)}: {text}")


def _read_segment(
    summary: LogSummary, number: int, data: bytes, limit: int | None, apply: Callable[[Record], None]
) -> None:
    """Apply a segment's records and add it to the summary. Raises `LogDamagedError`."""
    scan = frames.scan_segment(data, limit)
    for record in scan.records:
        apply(record)
    summary.record_count += len(scan.records)
    summary.segment_count += 1
    summary.read_bytes += len(data)
    summary.last_segment, summary.last_segment_end = number, scan.end
    summary.torn = len(data) - scan.end if limit is None else 0
    if scan.tail is Tail.DAMAGED:
        raise LogDamagedError(
            f"{segment_name(number)}: damaged at byte {scan.end}: the {summary.record_count} records before "
            f"it are good; what followed had been acknowledged and cannot be vouched for"
        )


def _has_header(number: int, data: bytes, is_last: bool) -> bool:
    """Return whether the segment has its header; only a last one may lack it, after a crash at its creation.

    Raises `FormatError` for any other bad header.
    """
    try:
        stated_number, _ = frames.read_header(data)
    except FormatError as error:
        # The message distinguishes a newer format from a torn header.
        if is_last and len(data) <= frames.HEADER_BYTES and "format" not in str(error):
            return False
        raise FormatError(f"{segment_name(number)}: {error}") from None
    if stated_number != number:
        raise FormatError(f"{segment_name(number)}: its header says that it is segment {stated_number}")
    return True


def _previous_end(number: int, data: bytes, is_last: bool) -> int | None:
    """Return how many bytes of the previous segment count; None if this one has no header."""
    return frames.read_header(data)[1] if _has_header(number, data, is_last) else None
