"""The messages between members, and the records that the replicated log consists of.

All are encoded as MessagePack arrays, so fields may only be added at the end and with a default.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec


class EntryKind(IntEnum):
    """The purpose of a log entry."""

    EMPTY = 0  # the first entry of a leader in its term
    COMMAND = 1  # for the state machine
    CONFIG = 2  # a `Config`, packed


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class Config(msgspec.Struct, array_like=True, frozen=True):
    """The members of the cluster.

    Attributes:
        voters: Names to addresses.
        learners: Names to addresses. Learners receive the log and have no vote.
        disks: Names to the ids of their disks. A process that answers under a member's name from another
            disk does not have the votes and entries which that disk holds, so its responses are ignored.
        retired: Ids of disks that have been replaced, the newest last.
        standbys: Learners that stay learners until an operator promotes them.
    """

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}
    disks: dict[str, str] = {}
    retired: list[str] = []
    standbys: list[str] = []

    def all(self) -> dict[str, str]:
        """Return voters and learners: names to addresses."""
        return {**self.voters, **self.learners}

    def pack(self) -> bytes:
        """Encode the configuration as the data of a log entry."""
        return msgspec.msgpack.encode(self)


class HardState(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The state that must be on disk before any message that depends on it is sent."""

    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The encoded state after entry `index`, and the configuration at that point."""

    index: int = 0
    term: int = 0
    config: Config = Config()
    data: bytes = b""


class _Base(msgspec.Struct, array_like=True, frozen=True, kw_only=False):
    frm: str
    to: str
    term: int


class VoteRequest(_Base, tag=1, frozen=True, array_like=True):
    """A candidate requests a vote.

    `pre` marks a pre-vote, which asks whether the vote would be granted before the term is raised
    (dissertation, 9.6). `force` means that the leader itself initiated the election, so the vote is granted
    although the leader is live (4.2.3).
    """

    last_index: int
    last_term: int
    pre: bool = False
    force: bool = False


class VoteResponse(_Base, tag=2, frozen=True, array_like=True):
    """The response to `VoteRequest`."""

    granted: bool
    pre: bool = False
    disk: str = ""


class Append(_Base, tag=3, frozen=True, array_like=True):
    """Entries after `prev`; the receiver must have the entry `prev` with the same term."""

    prev: int
    prev_term: int
    entries: list[Entry]
    commit: int


class AppendResponse(_Base, tag=4, frozen=True, array_like=True):
    """The response to `Append`.

    With `ok`, the log matches the leader's up to `index`. Otherwise `index` is the `prev` that did not match,
    and `hint` is the last index that can match, with its term.
    """

    ok: bool
    index: int
    hint: int = 0
    hint_term: int = 0
    disk: str = ""


class Heartbeat(_Base, tag=5, frozen=True, array_like=True):
    """A leader's heartbeat.

    `round` numbers the heartbeats, so that a response confirms that the leader still led then (6.4). `commit`
    only refers to the log on `disk`; a member on another disk ignores it.
    """

    commit: int
    round: int
    disk: str = ""


class HeartbeatResponse(_Base, tag=6, frozen=True, array_like=True):
    """The response to `Heartbeat`."""

    round: int
    disk: str = ""


class SnapshotChunk(_Base, tag=7, frozen=True, array_like=True):
    """A part of a snapshot, from byte `offset` of `total`."""

    index: int
    snap_term: int
    config: Config
    offset: int
    total: int
    data: bytes


class SnapshotChunkResponse(_Base, tag=8, frozen=True, array_like=True):
    """The response to `SnapshotChunk`.

    `offset` is how many bytes of the snapshot of `index` have been received; all of them, once it is
    installed.
    """

    index: int
    offset: int
    disk: str = ""


class TimeoutNow(_Base, tag=9, frozen=True, array_like=True):
    """The leader transfers leadership: the receiver starts an election at once (3.10)."""


class Forward(_Base, tag=10, frozen=True, array_like=True):
    """Proposals that a follower received and forwards to the leader."""

    data: list[bytes]


class ReadIndexRequest(_Base, tag=11, frozen=True, array_like=True):
    """A follower asks which index a read must wait for (6.4)."""

    context: int


class ReadIndexResponse(_Base, tag=12, frozen=True, array_like=True):
    """The read named by `context` may be served once `index` has been applied."""

    context: int
    index: int


class NotAMember(_Base, tag=13, frozen=True, array_like=True):
    """The receiver is no longer a member, by the configuration of entry `index`.

    If `disk` is set, this applies only to a receiver on that disk.
    """

    index: int
    disk: str = ""


class MembershipRequest(_Base, tag=14, frozen=True, array_like=True):
    """A membership change that an operator requested, forwarded to the leader.

    `what` is `add`, `add-standby`, `promote`, `remove` or `transfer` (of leadership).
    """

    context: int
    what: str
    name: str
    address: str = ""


class MembershipResponse(_Base, tag=15, frozen=True, array_like=True):
    """The leader's response to `MembershipRequest`; an empty `error` means that the change has begun."""

    context: int
    error: str = ""


Message: TypeAlias = (
    VoteRequest | VoteResponse | Append | AppendResponse | Heartbeat | HeartbeatResponse | SnapshotChunk
    | SnapshotChunkResponse | TimeoutNow | Forward | ReadIndexRequest | ReadIndexResponse | NotAMember
    | MembershipRequest | MembershipResponse
)  # fmt: skip

_CONFIG = msgspec.msgpack.Decoder(Config)


def decode_config(data: bytes) -> Config:
    """Decode the data of a configuration entry. Raises `msgspec.MsgspecError`."""
    return _CONFIG.decode(data)
