"""What a leader knows of one member, and how much it may send there unasked."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

MOST_FLYING = 32  # appends on their way to one member
MOST_FLYING_BYTES = 1 << 20
PART = 256 << 10  # bytes of a snapshot in one message


class Mode(Enum):
    """How a leader sends to a member."""

    PROBE = "probe"  # where its log matches ours is not known: one message at a time
    STREAM = "stream"  # it takes what we send: many at a time
    SNAPSHOT = "snapshot"  # what it needs next is in our snapshot only


@dataclass(slots=True)
class Progress:
    """What a leader knows of one member."""

    match: int = 0  # known to be on its disk
    next: int = 1  # to be sent
    mode: Mode = Mode.PROBE
    paused: bool = False  # a probe is on its way
    told: int = 0  # the commit that it has been told of
    active: bool = False  # has been heard of since the last check
    round: int = 0  # the last read round that it has answered
    flying: list[tuple[int, int]] = field(default_factory=list)  # last index and bytes of each append
    snapshot: int = 0  # index of that which is being sent
    offset: int = 0  # of it
    mark: tuple[int, int] | None = None  # a beat's round, and the last entry that was sent before it

    @property
    def may_send(self) -> bool:
        """Whether more entries may be on their way to it."""
        if self.mode is Mode.STREAM:
            return len(self.flying) < MOST_FLYING and sum(b for _, b in self.flying) < MOST_FLYING_BYTES
        return not self.paused

    def sent(self, last: int, size: int) -> None:
        """Entries up to `last`, of `size` bytes, are on their way."""
        if self.mode is Mode.STREAM:
            self.next = last + 1
            self.flying.append((last, size))
        else:
            self.paused = True

    def accepted(self, index: int) -> bool:
        """It has all up to `index`; whether that is news."""
        news = index > self.match
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.flying = [f for f in self.flying if f[0] > index]
        if self.mode is Mode.PROBE or (self.mode is Mode.SNAPSHOT and self.match >= self.snapshot):
            self.mode = Mode.STREAM
        self.paused = False
        return news

    def refused(self, prev: int, hint: int) -> None:
        """Its log does not match at `prev`; it can't match beyond `hint`."""
        if prev <= self.match:
            return  # an old answer
        self.probe(min(prev, hint + 1))

    def probe(self, at: int) -> None:
        """Try one message from entry `at` on, until it is known what matches."""
        self.mode, self.next, self.paused = Mode.PROBE, max(at, self.match + 1), False
        self.flying.clear()

    def need_snapshot(self, index: int) -> None:
        """It lacks what the log no longer has: send the snapshot of `index`."""
        if self.mode is not Mode.SNAPSHOT or self.snapshot != index:
            self.mode, self.snapshot, self.offset, self.paused = Mode.SNAPSHOT, index, 0, False
            self.flying.clear()

    def beat(self, round_: int) -> None:
        """A beat of this round goes out: its answer is to acknowledge what was sent before it."""
        if self.mark is None and self.flying:
            self.mark = (round_, self.flying[-1][0])

    def beat_back(self, round_: int) -> None:
        """What was sent before a beat that has been answered, and is not acknowledged, was lost."""
        self.round = max(self.round, round_)
        self.paused = False
        if self.mark is not None and round_ >= self.mark[0]:
            lost = self.mode is Mode.STREAM and self.flying and self.flying[0][0] <= self.mark[1]
            self.mark = None
            if lost:
                self.probe(self.match + 1)
