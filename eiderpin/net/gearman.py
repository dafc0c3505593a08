"""Encodes and decodes the Gearman protocol: binary packets, and the lines of its text protocol."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MAX_DATA_BYTES = 64 * 1024  # of a packet's last argument
MAX_ARGUMENT_BYTES = 2 * 1024  # of each other argument; in a packet's total size, of all of them together
MAX_LINE_BYTES = 1024

REQUEST, RESPONSE = b"\0REQ", b"\0RES"  # the magic bytes of packets to and from a job server
HEADER = struct.Struct(">4sII")  # magic, packet type, size of what follows


class Kind(IntEnum):
    """The packet types of the protocol that are known here."""

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


# How many arguments each packet type has. All but the last end with a NUL byte; the last may contain some.
ARGUMENT_COUNTS = {
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
    """The input is not a packet that is accepted here. If `fatal`, nothing after it can be parsed."""

    def __init__(self, code: str, text: str, fatal: bool = False) -> None:
        super().__init__(text)
        self.code, self.fatal = code, fatal


@dataclass(slots=True, frozen=True)
class Packet:
    """A binary packet."""

    kind: Kind
    args: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class Line:
    """A line of the text protocol."""

    text: str


def pack(kind: Kind, *args: bytes, magic: bytes = RESPONSE) -> bytes:
    """A packet as bytes."""
    body = b"\0".join(args)
    return HEADER.pack(magic, kind, len(body)) + body


def unpack(kind: int, body: bytes) -> Packet:
    """The packet of type `kind` with this body, which must be complete. Raises `BadPacket`."""
    try:
        packet_type = Kind(kind)
    except ValueError:
        raise BadPacket("UNKNOWN_COMMAND", f"packet type {kind} is not known here") from None
    count = ARGUMENT_COUNTS[packet_type]
    if count == 0:
        if body:
            raise BadPacket("BAD_ARGUMENTS", f"{packet_type.name} has no arguments")
        return Packet(packet_type)
    args = tuple(body.split(b"\0", count - 1))
    if len(args) != count:
        raise BadPacket("BAD_ARGUMENTS", f"{packet_type.name} has {count} arguments, not {len(args)}")
    if any(len(a) > MAX_ARGUMENT_BYTES for a in args[:-1]) or len(args[-1]) > MAX_DATA_BYTES:
        raise BadPacket("TOO_LARGE", f"an argument of {packet_type.name} is too long")
    return Packet(packet_type, args)


class Reader:
    """Splits a stream into packets and text lines, which may alternate."""

    def __init__(self, magic: bytes = REQUEST) -> None:
        self._magic = magic
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """What has been received and not been taken."""
        return len(self._buffer)

    def receive(self, data: bytes) -> None:
        """Add received bytes, of which `take` returns the packets and lines."""
        self._buffer += data

    def take(self) -> Packet | Line | BadPacket | None:
        """Return the next packet or line; None if there is no complete one. An invalid packet is represented
        by a `BadPacket`; after a fatal one the rest of the input is dropped."""
        if not self._buffer:
            return None
        try:
            return self._read_line() if self._buffer[0] else self._read_packet()
        except BadPacket as error:
            if error.fatal:
                self._buffer.clear()
            return error

    def feed(self, data: bytes) -> list[Packet | Line | BadPacket]:
        """The packets and lines that these bytes complete, as `take` returns them."""
        self.receive(data)
        completed: list[Packet | Line | BadPacket] = []
        while (item := self.take()) is not None:
            completed.append(item)
        return completed

    def release(self) -> None:
        """Drop what has been received."""
        self._buffer = bytearray()

    def _read_line(self) -> Line | None:
        """Take a text line from the buffer; None if it is not complete. Raises `BadPacket`."""
        end = self._buffer.find(b"\n", 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise BadPacket("TOO_LARGE", "a line is too long", fatal=True)
            return None
        text = bytes(self._buffer[:end]).decode("latin-1").strip()
        del self._buffer[: end + 1]
        return Line(text)

    def _read_packet(self) -> Packet | None:
        """Take a packet from the buffer; None if it is not complete. Raises `BadPacket`."""
        if not self._magic.startswith(bytes(self._buffer[:4])):
            raise BadPacket("BAD_MAGIC", "a packet begins with its magic bytes", fatal=True)
        if len(self._buffer) < HEADER.size:
            return None
        _, kind, size = HEADER.unpack_from(self._buffer)
        if size > MAX_DATA_BYTES + MAX_ARGUMENT_BYTES:
            raise BadPacket("TOO_LARGE", f"a packet of {size} bytes is too large", fatal=True)
        if len(self._buffer) < HEADER.size + size:
            return None
        body = bytes(self._buffer[HEADER.size : HEADER.size + size])
        del self._buffer[: HEADER.size + size]
        return unpack(kind, body)
