"""Replication progress: what a leader knows about another member's log, and flow control towards it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

MAX_IN_FLIGHT_APPENDS = 32  # unacknowledged Append messages to one member
MAX_IN_FLIGHT_BYTES = 1 << 20  # of entries in them
SNAPSHOT_CHUNK_BYTES = 256 << 10  # of a snapshot in one message


class Mode(Enum):
    """How a leader sends to a member."""

    PROBE = "probe"  # the point up to which its log matches is unknown: one message at a time
    STREAM = "stream"  # its log matches: many messages at a time
    SNAPSHOT = "snapshot"  # the next entry that it needs is only in our snapshot


@dataclass(slots=True)
class Progress:
    """The replication state of one member, as its leader sees it."""

    match: int = 0  # highest entry known to match ours on its disk
    next: int = 1  # the entry to send next
    mode: Mode = Mode.PROBE
    paused: bool = False  # a probe or a snapshot chunk is unacknowledged
    sent_commit: int = 0  # the last commit index sent to it
    active: bool = False  # has sent a message since the last quorum check
    acknowledged_round: int = 0  # the last heartbeat round that it has answered
    in_flight: list[tuple[int, int]] = field(default_factory=list)  # last index and bytes of each Append
    snapshot_index: int = 0  # of the snapshot that is being sent
    snapshot_offset: int = 0  # bytes of it that the member has
    # The round of a heartbeat, and the last entry that was sent before it.
    heartbeat_mark: tuple[int, int] | None = None

    @property
    def may_send(self) -> bool:
        """Whether another message with entries may be sent."""
        if self.mode is Mode.STREAM:
            return (
                len(self.in_flight) < MAX_IN_FLIGHT_APPENDS
                and sum(b for _, b in self.in_flight) < MAX_IN_FLIGHT_BYTES
            )
        return not self.paused

    def record_sent(self, last: int, size: int) -> None:
        """Note that entries up to `last`, of `size` bytes, were sent."""
        if self.mode is Mode.STREAM:
            self.next = last + 1
            self.in_flight.append((last, size))
        else:
            self.paused = True

    def record_match(self, index: int) -> bool:
        """Note that the member has all entries up to `index`; return whether that is an advance."""
        advanced = index > self.match
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.in_flight = [f for f in self.in_flight if f[0] > index]
        if self.mode is Mode.PROBE or (self.mode is Mode.SNAPSHOT and self.match >= self.snapshot_index):
            self.mode = Mode.STREAM
        self.paused = False
        return advanced

    def record_mismatch(self, prev: int, hint: int) -> None:
        """Note that its log does not match at `prev`, nor anywhere beyond `hint`."""
        if prev <= self.match:
            return  # an outdated response
        self.start_probing(min(prev, hint + 1))

    def start_probing(self, index: int) -> None:
        """Send one message at a time from entry `index` on, until a match is found."""
        self.mode, self.next, self.paused = Mode.PROBE, max(index, self.match + 1), False
        self.in_flight.clear()

    def start_snapshot(self, index: int) -> None:
        """Start to send the snapshot of `index`: the log has dropped entries that the member lacks."""
        if self.mode is not Mode.SNAPSHOT or self.snapshot_index != index:
            self.mode, self.snapshot_index, self.snapshot_offset, self.paused = Mode.SNAPSHOT, index, 0, False
            self.in_flight.clear()

    def record_heartbeat(self, round_: int) -> None:
        """Note that a heartbeat of this round is sent.

        Its response is expected after the acknowledgements of all entries that were sent before it.
        """
        if self.heartbeat_mark is None and self.in_flight:
            self.heartbeat_mark = (round_, self.in_flight[-1][0])

    def record_heartbeat_response(self, round_: int) -> None:
        """Handle the response to a heartbeat.

        Entries that were sent before that heartbeat and are not acknowledged were lost, and are sent again.
        """
        self.acknowledged_round = max(self.acknowledged_round, round_)
        self.paused = False
        if self.heartbeat_mark is not None and round_ >= self.heartbeat_mark[0]:
            lost = (
                self.mode is Mode.STREAM and self.in_flight and self.in_flight[0][0] <= self.heartbeat_mark[1]
            )
            self.heartbeat_mark = None
            if lost:
                self.start_probing(self.match + 1)
