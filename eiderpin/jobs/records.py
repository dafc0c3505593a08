"""What the ledger writes of durable jobs, and how: MessagePack arrays, each kind with a version of its own.

Fields are only ever added, at the end and with a default; what cannot be told so takes a new version.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from eiderpin.durable.frames import FormatError, Record


class Opened(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A process has taken the ledger over."""

    at: float  # ms of Unix time, as in all records
    term: int  # one more than that of the owner before
    name: str
    single: tuple[str, ...] = ()  # classes that may not run twice, from here on
    boot: str = ""  # the boot of its machine; empty: not known
    since_boot: float = 0.0  # ms on the machine's steady clock at `at`


class Accepted(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A job has been taken on."""

    at: float
    job: int
    cls: str
    unique: str  # the name that its client gave; empty: none
    wire_id: str
    target: bytes
    body: bytes
    deadline: float
    slots: float = 1.0
    memory: float = 0.0
    tenant: str | None = None
    key: str | None = None
    hint: float | None = None
    priority: int = 0
    background: bool = False
    ended_print: bytes = b""  # in checkpoints, of jobs that have ended: of target and body, which are gone
    idempotency_key: str | None = None  # as its client spelt it


class Leased(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """It may be sent to this worker from now on, and nobody else."""

    at: float
    job: int
    attempt: int
    worker: str
    term: int
    link: str  # by which kind of link: `http` or `gearman`
    address: str = ""


class Released(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A lease has ended without a result."""

    at: float
    job: int
    attempt: int
    ran: bool  # it may have run there
    why: str


class Ended(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Its final answer."""

    at: float
    job: int
    verdict: str
    result: bytes = b""
    told: bool = True  # somebody waited for it; False: nobody has heard


AnyRecord: TypeAlias = Opened | Accepted | Leased | Released | Ended

KINDS: dict[int, type[AnyRecord]] = {1: Opened, 2: Accepted, 3: Leased, 4: Released, 5: Ended}
_NUMBERS = {kind: number for number, kind in KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()}
VERSION = 1


def pack(record: AnyRecord) -> Record:
    return Record(_NUMBERS[type(record)], VERSION, _ENCODER.encode(record))


def pack_all(said: Iterable[AnyRecord]) -> Iterator[Record]:
    """As `pack`, one after the other, in whatever thread asks for them."""
    encoder = msgspec.msgpack.Encoder()
    for record in said:
        yield Record(_NUMBERS[type(record)], VERSION, encoder.encode(record))


def unpack(record: Record) -> AnyRecord:
    """Raises `FormatError` for a kind or version that this program does not know."""
    decoder = _DECODERS.get(record.kind)
    if decoder is None or record.version > VERSION:
        raise FormatError(
            f"a record of kind {record.kind}, version {record.version}; this version of eiderpin reads kinds "
            f"1 to {max(KINDS)}, version {VERSION}"
        )
    try:
        return decoder.decode(record.body)
    except msgspec.MsgspecError as error:
        raise FormatError(f"a record of kind {record.kind} that makes no sense: {error}") from None
