"""The records of durable jobs, as MessagePack arrays; each kind has a version of its own.

Fields are only ever added at the end, with a default. Any other change needs a new version.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from eiderpin.durable.frames import FormatError, Record


class Opened(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A process has become the owner of the ledger."""

    at: float  # ms of Unix time, as in all records
    term: int  # one more than the previous owner's
    name: str
    single: tuple[str, ...] = ()  # classes whose jobs may not run twice, from here on
    boot: str = ""  # the id of its machine's boot; empty if not known
    since_boot: float = 0.0  # ms on the machine's monotonic clock at `at`


class Accepted(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A job has been accepted."""

    at: float
    job: int
    cls: str
    unique: str  # the name that its client gave; empty if none
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
    ended_print: bytes = b""  # of an ended job in a checkpoint: the hash that replaces its target and body
    idempotency_key: str | None = None  # as its client spelt it


class Leased(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """From now on an attempt of the job may be sent to this worker."""

    at: float
    job: int
    attempt: int
    worker: str
    term: int
    link: str  # the kind of link to the worker: `http` or `gearman`
    address: str = ""


class Released(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A lease has ended without a result."""

    at: float
    job: int
    attempt: int
    ran: bool  # whether the job may have run there
    why: str


class Ended(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A job has its final answer."""

    at: float
    job: int
    verdict: str
    result: bytes = b""
    told: bool = True  # a client waited for the answer; False: no client has received it


AnyRecord: TypeAlias = Opened | Accepted | Leased | Released | Ended

KINDS: dict[int, type[AnyRecord]] = {1: Opened, 2: Accepted, 3: Leased, 4: Released, 5: Ended}
_KIND_NUMBERS = {kind: number for number, kind in KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()}
VERSION = 1


def pack(record: AnyRecord) -> Record:
    """Encode a record for the log."""
    return Record(_KIND_NUMBERS[type(record)], VERSION, _ENCODER.encode(record))


def pack_all(job_records: Iterable[AnyRecord]) -> Iterator[Record]:
    """Encode records one after the other, in the thread that iterates: it has an encoder of its own."""
    encoder = msgspec.msgpack.Encoder()
    for record in job_records:
        yield Record(_KIND_NUMBERS[type(record)], VERSION, encoder.encode(record))


def unpack(record: Record) -> AnyRecord:
    """Decode a record of the log. Raises `FormatError` for an unknown kind or version, or a bad body."""
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
