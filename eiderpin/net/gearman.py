"""The Gearman protocol's packets and text lines, as pure functions of bytes."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MOST_DATA = 64 * 1024  # the last argument
MOST_ARGS = 2 * 1024  # all the others together
MOST_LINE = 1024

REQUEST, RESPONSE = b"\0REQ", b"\0RES"
HEAD = struct.Struct(">4sII")


class Kind(IntEnum):
    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    NOOP = 6
    SUBMIT_JOB = 7
    JOB_CREATED = 8
    GRAB_JOB = 9
    NO_JOB = 10
    JOB_ASSIGN = 11
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    ECHO_RES = 17
    SUBMIT_JOB_BG = 18
    ERROR = 19
    STATUS_RES = 20
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    ALL_YOURS = 24
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    OPTION_RES = 27
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    JOB_ASSIGN_UNIQ = 31
    SUBMIT_JOB_HIGH_BG = 32
    SUBMIT_JOB_LOW = 33
    SUBMIT_JOB_LOW_BG = 34
    GET_STATUS_UNIQUE = 41
    STATUS_RES_UNIQUE = 42


# How many arguments each kind has; the last one may hold NUL bytes, the others end with one.
ARGUMENTS = {
    Kind.CAN_DO: 1, Kind.CANT_DO: 1, Kind.RESET_ABILITIES: 0, Kind.PRE_SLEEP: 0, Kind.NOOP: 0,
    Kind.SUBMIT_JOB: 3, Kind.JOB_CREATED: 1, Kind.GRAB_JOB: 0, Kind.NO_JOB: 0, Kind.JOB_ASSIGN: 3,
    Kind.WORK_STATUS: 3, Kind.WORK_COMPLETE: 2, Kind.WORK_FAIL: 1, Kind.GET_STATUS: 1, Kind.ECHO_REQ: 1,
    Kind.ECHO_RES: 1, Kind.SUBMIT_JOB_BG: 3, Kind.ERROR: 2, Kind.STATUS_RES: 5, Kind.SUBMIT_JOB_HIGH: 3,
    Kind.SET_CLIENT_ID: 1, Kind.CAN_DO_TIMEOUT: 2, Kind.ALL_YOURS: 0, Kind.WORK_EXCEPTION: 2,
    Kind.OPTION_REQ: 1, Kind.OPTION_RES: 1, Kind.WORK_DATA: 2, Kind.WORK_WARNING: 2, Kind.GRAB_JOB_UNIQ: 0,
    Kind.JOB_ASSIGN_UNIQ: 4, Kind.SUBMIT_JOB_HIGH_BG: 3, Kind.SUBMIT_JOB_LOW: 3, Kind.SUBMIT_JOB_LOW_BG: 3,
    Kind.GET_STATUS_UNIQUE: 1, Kind.STATUS_RES_UNIQUE: 6,
}  # fmt: skip


class BadPacket(Exception):
    """What came is no packet that we take. Where `fatal`, the stream cannot be followed any further."""

    def __init__(self, code: str, text: str, fatal: bool = False) -> None:
        super().__init__(text)
        self.code, self.fatal = code, fatal


@dataclass(slots=True, frozen=True)
class Packet:
    kind: Kind
    args: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class Line:
    """A line of the text protocol."""

    text: str


def pack(kind: Kind, *args: bytes, magic: bytes = RESPONSE) -> bytes:
    body = b"\0".join(args)
    return HEAD.pack(magic, kind, len(body)) + body


def unpack(kind: int, body: bytes) -> Packet:
    """The packet of a whole body. Raises `BadPacket`."""
    try:
        known = Kind(kind)
    except ValueError:
        raise BadPacket("UNKNOWN_COMMAND", f"packet type {kind} is not known here") from None
    count = ARGUMENTS[known]
    if count == 0:
        if body:
            raise BadPacket("BAD_ARGUMENTS", f"{known.name} has no arguments")
        return Packet(known)
    args = tuple(body.split(b"\0", count - 1))
    if len(args) != count:
        raise BadPacket("BAD_ARGUMENTS", f"{known.name} has {count} arguments, not {len(args)}")
    if any(len(a) > MOST_ARGS for a in args[:-1]) or len(args[-1]) > MOST_DATA:
        raise BadPacket("TOO_LARGE", f"an argument of {known.name} is too long")
    return Packet(known, args)


class Reader:
    """Cuts a stream into packets and lines; binary and text may take turns."""

    def __init__(self, magic: bytes = REQUEST) -> None:
        self._magic = magic
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Packet | Line | BadPacket]:
        """What these bytes complete. A `BadPacket` in the list stands where the bad packet stood; after a
        fatal one nothing more is read."""
        self._buffer += data
        done: list[Packet | Line | BadPacket] = []
        while self._buffer:
            try:
                item = self._text() if self._buffer[0] else self._binary()
            except BadPacket as bad:
                done.append(bad)
                if bad.fatal:
                    self._buffer.clear()
                    break
                continue
            if item is None:
                break
            done.append(item)
        return done

    def _text(self) -> Line | None:
        end = self._buffer.find(b"\n", 0, MOST_LINE)
        if end < 0:
            if len(self._buffer) >= MOST_LINE:
                raise BadPacket("TOO_LARGE", "a line is too long", fatal=True)
            return None
        text = bytes(self._buffer[:end]).decode("latin-1").strip()
        del self._buffer[: end + 1]
        return Line(text)

    def _binary(self) -> Packet | None:
        if not self._magic.startswith(bytes(self._buffer[:4])):
            raise BadPacket("BAD_MAGIC", "a packet begins with its magic bytes", fatal=True)
        if len(self._buffer) < HEAD.size:
            return None
        _, kind, size = HEAD.unpack_from(self._buffer)
        if size > MOST_DATA + MOST_ARGS:
            raise BadPacket("TOO_LARGE", f"a packet of {size} bytes is too large", fatal=True)
        if len(self._buffer) < HEAD.size + size:
            return None
        body = bytes(self._buffer[HEAD.size : HEAD.size + size])
        del self._buffer[: HEAD.size + size]
        return unpack(kind, body)
