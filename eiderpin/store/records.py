"""The records that a member writes to its `eiderpin.durable` log, and how they are read again, without I/O.

An `Entry` replaces all earlier records of its index and of later ones. A snapshot is a head and its parts.
They only occur at the start of a checkpoint, which is either complete or absent.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from eiderpin.durable.frames import FormatError, Record
from eiderpin.store.messages import Config, Entry, HardState, Snapshot

RECORD_VERSION = 1
SNAPSHOT_PART_BYTES = 1 << 20


class MemberIdentity(msgspec.Struct, array_like=True, frozen=True):
    """The member that a directory belongs to.

    `disk` is an id that is created when the directory is first written. `anchor` distinguishes the directory
    from a copy of it (`identity.py`). `generation` counts how often the cluster was started anew from a
    snapshot.
    """

    cluster: str
    name: str
    disk: str = ""
    anchor: str = ""
    generation: int = 1


class SnapshotHead(msgspec.Struct, array_like=True, frozen=True):
    """The start of a snapshot: what it covers, and how many bytes follow in its parts."""

    index: int
    term: int
    config: Config
    total: int


class SnapshotPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of the bytes of a snapshot."""

    data: bytes


KINDS: dict[int, type[MemberIdentity | HardState | Entry | SnapshotHead | SnapshotPart]] = {
    1: MemberIdentity, 2: HardState, 3: Entry, 4: SnapshotHead, 5: SnapshotPart,
}  # fmt: skip
_NUMBERS = {kind: number for number, kind in KINDS.items()}
_DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()}


def encode_record(value: MemberIdentity | HardState | Entry | SnapshotHead | SnapshotPart) -> Record:
    """Encode a record for the log."""
    return Record(_NUMBERS[type(value)], RECORD_VERSION, msgspec.msgpack.encode(value))


def checkpoint_records(
    identity: MemberIdentity, hard: HardState, snapshot: Snapshot, entries: Iterable[Entry]
) -> Iterator[Record]:
    """Return the complete state of a member as the records of a checkpoint."""
    yield encode_record(identity)
    if snapshot.index:
        yield encode_record(SnapshotHead(snapshot.index, snapshot.term, snapshot.config, len(snapshot.data)))
        for at in range(0, len(snapshot.data), SNAPSHOT_PART_BYTES):
            yield encode_record(SnapshotPart(snapshot.data[at : at + SNAPSHOT_PART_BYTES]))
    yield encode_record(hard)
    for entry in entries:
        yield encode_record(entry)


@dataclass(slots=True)
class RestoredState:
    """The state that is read from a log: pass its records to `apply` in order, then use `snapshot`."""

    identity: MemberIdentity | None = None
    hard: HardState = HardState()
    entries: list[Entry] = field(default_factory=list)
    snapshot_head: SnapshotHead = SnapshotHead(0, 0, Config(), 0)
    snapshot_parts: list[bytes] = field(default_factory=list)

    def apply(self, record: Record) -> None:
        """Apply one record. Raises `FormatError`."""
        decoder = _DECODERS.get(record.kind)
        if decoder is None or record.version > RECORD_VERSION:
            raise FormatError(
                f"a record of kind {record.kind}, version {record.version}; this version of eiderpin reads "
                f"kinds 1 to {max(KINDS)}, version {RECORD_VERSION}"
            )
        try:
            decoded = decoder.decode(record.body)
        except msgspec.MsgspecError as error:
            raise FormatError(f"a record of kind {record.kind} that makes no sense: {error}") from None
        if isinstance(decoded, Entry):
            self._apply_entry(decoded)
        elif isinstance(decoded, HardState):
            self.hard = decoded
        elif isinstance(decoded, MemberIdentity):
            self.identity = decoded
        elif isinstance(decoded, SnapshotHead):
            self.snapshot_head, self.snapshot_parts, self.entries = decoded, [], []
        else:
            self.snapshot_parts.append(decoded.data)

    def _apply_entry(self, entry: Entry) -> None:
        first = self.entries[0].index if self.entries else self.snapshot_head.index + 1
        if entry.index < first or entry.index > first + len(self.entries):
            raise FormatError(f"entry {entry.index} after {first + len(self.entries) - 1}")
        del self.entries[entry.index - first :]
        self.entries.append(entry)

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot, if all of its parts have been read. Raises `FormatError`."""
        data = b"".join(self.snapshot_parts)
        if len(data) != self.snapshot_head.total:
            raise FormatError(
                f"a snapshot of {self.snapshot_head.total} bytes, of which {len(data)} are there"
            )
        return Snapshot(self.snapshot_head.index, self.snapshot_head.term, self.snapshot_head.config, data)
