"""Reading a directory of segments and checkpoints, live or dead. Nothing here writes."""

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

SEGMENT = re.compile(r"(\d{16})\.seg")
CHECKPOINT = re.compile(r"(\d{16})\.ckp")
# magic, format, 0, segment, bytes when unpacked, crc of what follows, crc of this
_CKP = struct.Struct("<8sHHQQII")
CKP_MAGIC = b"EIDERCKP"
MOST_CHECKPOINT = 4 << 30


class LogDamagedError(Exception):
    """What had been acknowledged cannot be read; the message names the file, the byte and what is in
    doubt."""


@dataclass(slots=True)
class LogSummary:
    """What a directory holds: `segment` is the last, of which `end` bytes count."""

    segment: int = 0
    end: int = 0
    checkpoint: int = 0  # the segment that the last checkpoint stands before; 0: none
    segments: int = 0
    records: int = 0
    bytes: int = 0
    torn: int = 0  # bytes at the end that were never acknowledged


def segment_name(number: int) -> str:
    return f"{number:016d}.seg"


def checkpoint_name(number: int) -> str:
    return f"{number:016d}.ckp"


def pack_checkpoint(number: int, records: Iterable[Record]) -> bytes:
    """A checkpoint that stands for all before segment `number`."""
    packer = zstandard.ZstdCompressor(level=3).compressobj()
    parts, size = [], 0
    for record in records:
        data = frames.frame(record.kind, record.version, record.body, 0)
        size += len(data)
        parts.append(packer.compress(data))
    parts.append(packer.flush())
    packed = b"".join(parts)
    head = _CKP.pack(CKP_MAGIC, frames.FORMAT, 0, number, size, crc32c(packed), 0)[:-4]
    return head + struct.pack("<I", crc32c(head)) + packed


def unpack_checkpoint(name: str, data: bytes) -> list[Record]:
    """Raises `FormatError` for a newer format and `LogDamagedError`: a checkpoint has its name only when
    it is whole."""
    if len(data) >= 10 and data[:8] == CKP_MAGIC and struct.unpack_from("<H", data, 8)[0] > frames.FORMAT:
        raise FormatError(f"{name}: its format is newer than {frames.FORMAT}, which this version reads")
    doubt = "no job of this ledger can be vouched for"
    if len(data) < _CKP.size:
        raise LogDamagedError(f"{name}: damaged at byte {len(data)}: {doubt}")
    magic, _, _, _, size, crc, own = _CKP.unpack_from(data)
    packed = data[_CKP.size :]
    if magic != CKP_MAGIC or own != crc32c(data[: _CKP.size - 4]) or crc != crc32c(packed):
        raise LogDamagedError(f"{name}: damaged: {doubt}")
    if size > MOST_CHECKPOINT:
        raise LogDamagedError(f"{name}: it says that it holds {size} bytes: {doubt}")
    plain = zstandard.ZstdDecompressor().decompressobj().decompress(packed)
    found = frames.scan(bytes(frames.HEADER_SIZE) + plain)
    if len(plain) != size or found.tail is not Tail.WHOLE:
        raise LogDamagedError(f"{name}: damaged: {doubt}")
    return found.records


def read(files: Files, apply: Callable[[Record], None]) -> LogSummary:
    """Give all records to `apply`, in order, the last checkpoint's first. One segment at a time is in memory.

    Raises `FormatError`, `LogDamagedError`, `OSError`. What `apply` has had by then is what can be vouched
    for.
    """
    names = files.names()
    numbers = sorted(int(m[1]) for n in names if (m := SEGMENT.fullmatch(n)))
    checkpoints = sorted(int(m[1]) for n in names if (m := CHECKPOINT.fullmatch(n)))
    found = LogSummary()
    if checkpoints:
        found.checkpoint = checkpoints[-1]
        name = checkpoint_name(found.checkpoint)
        for record in unpack_checkpoint(name, files.read(name)):
            apply(record)
            found.records += 1
    numbers = [n for n in numbers if n >= found.checkpoint]
    data, coming = b"", None
    for at, number in enumerate(numbers):
        data = coming if coming is not None else files.read(segment_name(number))
        coming, limit = None, None
        if at + 1 < len(numbers):
            following = numbers[at + 1]
            coming = files.read(segment_name(following))
            limit = _limit(following, coming, at + 2 == len(numbers))
            if following != number + 1:
                raise _missing(number + 1)
        if at == 0 and found.checkpoint and number != found.checkpoint:
            raise _missing(found.checkpoint)
        if at == 0 and not found.checkpoint and number != 1:
            raise _missing(1)
        if not _begins(number, data, at + 1 == len(numbers)):
            found.torn = len(data)  # it is begun anew under its number
            break
        _read_segment(found, number, data, limit, apply)
    if not found.segment:
        found.segment = max(found.checkpoint - 1, 0)
    return found


def _missing(number: int) -> LogDamagedError:
    text = "it is missing: what it held, and what followed, cannot be vouched for"
    return LogDamagedError(f"{segment_name(number)}: {text}")


def _read_segment(
    found: LogSummary, number: int, data: bytes, limit: int | None, apply: Callable[[Record], None]
) -> None:
    scan = frames.scan(data, limit)
    for record in scan.records:
        apply(record)
    found.records += len(scan.records)
    found.segments += 1
    found.bytes += len(data)
    found.segment, found.end = number, scan.end
    found.torn = len(data) - scan.end if limit is None else 0
    if scan.tail is Tail.DAMAGED:
        raise LogDamagedError(
            f"{segment_name(number)}: damaged at byte {scan.end}: the {found.records} records before it are "
            f"good; what followed had been acknowledged and cannot be vouched for"
        )


def _begins(number: int, data: bytes, last: bool) -> bool:
    """Whether its header is good; a last segment may have been cut off while it was made."""
    try:
        said, _ = frames.read_header(data)
    except FormatError as error:
        if last and len(data) <= frames.HEADER_SIZE and "format" not in str(error):
            return False
        raise FormatError(f"{segment_name(number)}: {error}") from None
    if said != number:
        raise FormatError(f"{segment_name(number)}: its header says that it is segment {said}")
    return True


def _limit(number: int, data: bytes, last: bool) -> int | None:
    """How much of the segment before this one counts."""
    return frames.read_header(data)[1] if _begins(number, data, last) else None
