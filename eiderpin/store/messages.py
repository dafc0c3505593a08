"""What members tell each other, and what the log is made of. Array-like records: fields are only ever added
at the end, with a default."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec


class EntryKind(IntEnum):
    """What an entry of the log is for."""

    EMPTY = 0  # a leader's first of its term
    COMMAND = 1  # for the state machine
    CONFIG = 2  # a `Config`, packed


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One entry of the log."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class Config(msgspec.Struct, array_like=True, frozen=True):
    """Who the members are: names to addresses. Learners get the log and have no vote.

    A member is its name on its disk: who speaks from another disk than `disks` names has none of what that
    one promised, and counts for nothing. `retired` are disks that have been replaced, the newest last.
    `standbys` are learners that stay learners until an operator promotes them.
    """

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}
    disks: dict[str, str] = {}
    retired: list[str] = []
    standbys: list[str] = []

    def all(self) -> dict[str, str]:
        """Voters and learners: names to addresses."""
        return {**self.voters, **self.learners}

    def pack(self) -> bytes:
        """The configuration as an entry holds it."""
        return msgspec.msgpack.encode(self)


class HardState(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What must be on disk before anybody hears of it."""

    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state after entry `index`, as its bytes; `config` as of then."""

    index: int = 0
    term: int = 0
    config: Config = Config()
    data: bytes = b""


class _Base(msgspec.Struct, array_like=True, frozen=True, kw_only=False):
    frm: str
    to: str
    term: int


class VoteRequest(_Base, tag=1, frozen=True, array_like=True):
    """Asks for a vote; `pre`: whether it would be given, before the term is raised (dissertation, 9.6).
    `force`: a leader has told us to take over, so its being alive is no reason to refuse (4.2.3)."""

    last_index: int
    last_term: int
    pre: bool = False
    force: bool = False


class VoteResponse(_Base, tag=2, frozen=True, array_like=True):
    """The answer to `VoteRequest`."""

    granted: bool
    pre: bool = False
    disk: str = ""


class Append(_Base, tag=3, frozen=True, array_like=True):
    """Entries after `prev`; the receiver has to hold `prev` with its term."""

    prev: int
    prev_term: int
    entries: list[Entry]
    commit: int


class AppendResponse(_Base, tag=4, frozen=True, array_like=True):
    """`ok`: the log holds the leader's up to `index`. Else `index` is the refused `prev`, and `hint` the last
    place that can match, with the term there."""

    ok: bool
    index: int
    hint: int = 0
    hint_term: int = 0
    disk: str = ""


class Heartbeat(_Base, tag=5, frozen=True, array_like=True):
    """`round` counts the times that the leader has asked whether it still leads (6.4). `commit` is of what
    the member on `disk` has; on another it says nothing."""

    commit: int
    round: int
    disk: str = ""


class HeartbeatResponse(_Base, tag=6, frozen=True, array_like=True):
    """The answer to `Heartbeat`."""

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
    """`offset`: how much of the snapshot of `index` is here; `total` of it, once it is installed."""

    index: int
    offset: int
    disk: str = ""


class TimeoutNow(_Base, tag=9, frozen=True, array_like=True):
    """The leader hands its place over: campaign now."""


class Forward(_Base, tag=10, frozen=True, array_like=True):
    """Proposals that came to a follower."""

    data: list[bytes]


class ReadIndexRequest(_Base, tag=11, frozen=True, array_like=True):
    """A follower asks what a read has to cover."""

    context: int


class ReadIndexResponse(_Base, tag=12, frozen=True, array_like=True):
    """A read that `context` names may be served once `index` has been applied."""

    context: int
    index: int


class NotAMember(_Base, tag=13, frozen=True, array_like=True):
    """Whoever asked is no member any more, by the configuration of entry `index`; `disk`: only who is on
    that one is meant."""

    index: int
    disk: str = ""


class MembershipRequest(_Base, tag=14, frozen=True, array_like=True):
    """An operator's word, passed on to the leader: `what` is `add`, `add-standby`, `promote`,
    `remove` or `transfer`."""

    context: int
    what: str
    name: str
    address: str = ""


class MembershipResponse(_Base, tag=15, frozen=True, array_like=True):
    """What the leader says to it; an empty `error`: it has begun."""

    context: int
    error: str = ""


Message: TypeAlias = (
    VoteRequest | VoteResponse | Append | AppendResponse | Heartbeat | HeartbeatResponse | SnapshotChunk
    | SnapshotChunkResponse | TimeoutNow | Forward | ReadIndexRequest | ReadIndexResponse | NotAMember
    | MembershipRequest | MembershipResponse
)  # fmt: skip

_CONFIG = msgspec.msgpack.Decoder(Config)


def read_config(data: bytes) -> Config:
    """Raises `msgspec.MsgspecError`."""
    return _CONFIG.decode(data)
