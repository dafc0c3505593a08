"""Messages between an observer (a dispatcher that follows the store without a disk or a vote) and a member.

An observer connects and writes `MAGIC` and a `Subscribe`. The member answers `Accepted` or `Rejected`. After
`Accepted` it sends either the changes since the observer's revision or a snapshot in pages, and from then on
`Changes` as they are committed, with a `Ping` every second. Frames are those of `framing`. Records are
encoded as arrays, so new fields may only be added at the end, with a default.

A position in the store is a pair (generation, revision), in this order of significance: a store that was
restored starts the next generation, in which revisions may be lower.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from eiderpin.store.state import Document, Event

MAGIC = b"EIDOBSV\n"
VERSION = 1
MAX_OBSERVER_FRAME_BYTES = 8 << 10  # largest message that a member accepts from an observer


class Rejection(Enum):
    """Why a member does not serve an observer, or stops serving it."""

    MALFORMED = "malformed"  # not this protocol, or a message that is not allowed at this point
    VERSION = "version"  # the observer uses a newer protocol
    CLUSTER = "cluster"  # the observer follows another cluster
    GENERATION_AHEAD = "generation_ahead"  # the observer has seen a later generation of the cluster
    REVISION_AHEAD = "revision_ahead"  # the observer has seen a later revision than the member
    FULL = "full"  # the member serves its maximum of observers
    SILENT = "silent"  # the observer has not subscribed in time
    UNRESPONSIVE = "unresponsive"  # the observer does not answer pings
    SLOW = "slow"  # the observer does not read what it is sent
    CLOSING = "closing"  # the member shuts down


class ConfigOutcome(Enum):
    """The outcome of a version of the shared configuration at one dispatcher."""

    NONE = "none"  # there is no shared configuration
    IN_FORCE = "in_force"
    RESTART_NEEDED = "restart_needed"  # some of it takes effect at the next start
    REJECTED = "rejected"  # it cannot be used there; the previous version stays in force


class _Message(msgspec.Struct, array_like=True, frozen=True):
    pass


# -- from an observer


class Subscribe(_Message, tag=1, array_like=True, frozen=True):
    """The first message from an observer.

    Attributes:
        version: The protocol version that the observer uses.
        cluster: The cluster that it follows.
        name: The observer's name.
        token: Drawn anew by each process, so that two with the same name can be told apart.
        session: Counts the subscriptions of this process; the highest one is the connection in use.
        epoch: The revision at which this process was first announced in the store; 0 if it was not.
        region: Where the observer runs, for operators and for its choice of member.
        generation, revision: The position from which to resume; (0, 0) asks for a snapshot.
        floor_generation, floor_revision: The latest position that the observer has ever applied. It does not
            accept an older state.
    """

    version: int
    cluster: str
    name: str
    token: str
    session: int
    epoch: int = 0
    region: str = ""
    generation: int = 0
    revision: int = 0
    floor_generation: int = 0
    floor_revision: int = 0


class Report(_Message, tag=2, array_like=True, frozen=True):
    """What the observer has applied, not merely received. Sent whenever any of it changes.

    Attributes:
        revision: Everything up to this revision has been applied.
        config_version: The last version of the shared configuration that was received; 0: there is none.
        outcome: The outcome of that version, a value of `ConfigOutcome`.
        detail: Why it was rejected, or what needs a restart.
        about: JSON for operators (address, state, stage), as dispatchers that are members store it.
    """

    revision: int
    config_version: int
    outcome: str
    detail: str = ""
    about: bytes = b""


class Pong(_Message, tag=3, array_like=True, frozen=True):
    """The answer to the ping of this number."""

    number: int


class Leave(_Message, tag=4, array_like=True, frozen=True):
    """The process shuts down as planned, so its announcement is removed at once."""


# -- from a member


class Accepted(_Message, tag=11, array_like=True, frozen=True):
    """The subscription is accepted. If `resumes`, changes since its revision follow, else a snapshot."""

    version: int
    member: str
    generation: int
    resumes: bool


class Rejected(_Message, tag=12, array_like=True, frozen=True):
    """The observer is not served. `kind` is a value of `Rejection`. The connection is closed after it."""

    kind: str
    reason: str


class SnapshotPage(_Message, tag=13, array_like=True, frozen=True):
    """Some documents at `revision`, ordered by name. `first` starts a snapshot, `last` completes it."""

    revision: int
    documents: list[Document]
    first: bool
    last: bool


class Changes(_Message, tag=14, array_like=True, frozen=True):
    """All changes after revision `base`, up to and including `revision`."""

    base: int
    revision: int
    events: list[Event]


class Ping(_Message, tag=15, array_like=True, frozen=True):
    """Sent every second, to be answered with a `Pong` of the same number.

    Attributes:
        number: Number of the ping.
        revision: The observer has been sent all changes up to this revision; -1 while it is not caught up.
        stale_ms: How long the member has had no message from a leader.
        digest: Digest of the documents at `revision`, see `document_digest`; 0: not included.
    """

    number: int
    revision: int
    stale_ms: float
    digest: int = 0


class Fleet(_Message, tag=16, array_like=True, frozen=True):
    """The number of live dispatchers, and the observer's position among them, from 0."""

    instances: int
    instance: int


class Announced(_Message, tag=17, array_like=True, frozen=True):
    """The observer is announced in the store. It gives `epoch` in its later subscriptions."""

    epoch: int


class Fenced(_Message, tag=18, array_like=True, frozen=True):
    """A later process owns the observer's name."""


FromObserver: TypeAlias = Subscribe | Report | Pong | Leave
FromMember: TypeAlias = Accepted | Rejected | SnapshotPage | Changes | Ping | Fleet | Announced | Fenced

FROM_OBSERVER: msgspec.msgpack.Decoder[FromObserver] = msgspec.msgpack.Decoder(FromObserver)
FROM_MEMBER: msgspec.msgpack.Decoder[FromMember] = msgspec.msgpack.Decoder(FromMember)
