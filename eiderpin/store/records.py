"""What a member writes to its `eiderpin.durable` log, and reading it again. Pure.

An `Entry` replaces whatever was written of its index and after it. A snapshot is a head and its parts; they
only stand at the beginning of a checkpoint, which is whole or not there.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from eiderpin.durable.frames import BadFormat, Record
from eiderpin.store.messages import Config, Entry, HardState, Snapshot

VERSION = 1
PART = 1 << 20


class MemberIdentity(msgspec.Struct, array_like=True, frozen=True):
    """Whose log it is. `disk` is made when the directory is first written; `anchor` tells a copy of the
    directory from itself (`identity.py`); `generation` counts how often the cluster was begun anew."""

    cluster: str
    name: str
    disk: str = ""
    anchor: str = ""
    generation: int = 1


class SnapHead(msgspec.Struct, array_like=True, frozen=True):
    """What a snapshot is of, and how many bytes follow."""

    index: int
    term: int
    config: Config
    total: int


class SnapPart(msgspec.Struct, array_like=True, frozen=True):
    """Some bytes of a snapshot."""

    data: bytes


KINDS: dict[int, type[MemberIdentity | HardState | Entry | SnapHead | SnapPart]] = {
    1: MemberIdentity, 2: HardState, 3: Entry, 4: SnapHead, 5: SnapPart,
}  # fmt: skip
_NUMBERS = {kind: number for number, kind in KINDS.items()}
_DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()}


def pack(said: MemberIdentity | HardState | Entry | SnapHead | SnapPart) -> Record:
    """A record as the log takes it."""
    return Record(_NUMBERS[type(said)], VERSION, msgspec.msgpack.encode(said))


def whole(
    born: MemberIdentity, hard: HardState, snapshot: Snapshot, entries: Iterable[Entry]
) -> Iterator[Record]:
    """All that a member holds, as a checkpoint."""
    yield pack(born)
    if snapshot.index:
        yield pack(SnapHead(snapshot.index, snapshot.term, snapshot.config, len(snapshot.data)))
        for at in range(0, len(snapshot.data), PART):
            yield pack(SnapPart(snapshot.data[at : at + PART]))
    yield pack(hard)
    for entry in entries:
        yield pack(entry)


@dataclass(slots=True)
class Restored:
    """What a log says. Feed it its records in order; then `snapshot` may be asked for."""

    born: MemberIdentity | None = None
    hard: HardState = HardState()
    entries: list[Entry] = field(default_factory=list)
    head: SnapHead = SnapHead(0, 0, Config(), 0)
    parts: list[bytes] = field(default_factory=list)

    def apply(self, record: Record) -> None:
        """Raises `BadFormat`."""
        decoder = _DECODERS.get(record.kind)
        if decoder is None or record.version > VERSION:
            raise BadFormat(
                f"a record of kind {record.kind}, version {record.version}; this version of eiderpin reads "
                f"kinds 1 to {max(KINDS)}, version {VERSION}"
            )
        try:
            said = decoder.decode(record.body)
        except msgspec.MsgspecError as error:
            raise BadFormat(f"a record of kind {record.kind} that makes no sense: {error}") from None
        if isinstance(said, Entry):
            self._entry(said)
        elif isinstance(said, HardState):
            self.hard = said
        elif isinstance(said, MemberIdentity):
            self.born = said
        elif isinstance(said, SnapHead):
            self.head, self.parts, self.entries = said, [], []
        else:
            self.parts.append(said.data)

    def _entry(self, entry: Entry) -> None:
        first = self.entries[0].index if self.entries else self.head.index + 1
        if entry.index < first or entry.index > first + len(self.entries):
            raise BadFormat(f"entry {entry.index} after {first + len(self.entries) - 1}")
        del self.entries[entry.index - first :]
        self.entries.append(entry)

    @property
    def snapshot(self) -> Snapshot:
        """Raises `BadFormat`."""
        data = b"".join(self.parts)
        if len(data) != self.head.total:
            raise BadFormat(f"a snapshot of {self.head.total} bytes, of which {len(data)} are there")
        return Snapshot(self.head.index, self.head.term, self.head.config, data)
