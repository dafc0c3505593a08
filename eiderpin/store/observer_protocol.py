"""Messages between an observer (a dispatcher that follows the store without a disk or a vote) and a member.

An observer connects, writes `MAGIC` and a `Subscribe`. The member answers `Accepted` or `Rejected`. After
`Accepted` it sends either the changes since the observer's revision or a snapshot in pages, and from then on
`Changes` as they are committed, with a `Ping` every second. Frames are those of `framing`; records are
arrays, so fields are only ever added at the end, with a default.

A position in the store is a pair (generation, revision), ordered as such: a store that was restored begins
the next generation, in which revisions may be lower.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from eiderpin.store.state import Document, Event

MAGIC = b"EIDOBSV\n"
VERSION = 1
MOST_OBSERVER_FRAME = 8 << 10  # bytes of a message that a member accepts from an observer


class Rejection(Enum):
    """Why a member does not serve an observer, or no longer does."""

    MALFORMED = "malformed"  # not this protocol, or a message that has no place at this point
    VERSION = "version"  # the observer speaks a newer protocol
    CLUSTER = "cluster"  # the observer follows another cluster
    GENERATION_AHEAD = "generation_ahead"  # the observer has seen a later generation of the cluster
    REVISION_AHEAD = "revision_ahead"  # the observer has seen a later revision than the member
    FULL = "full"  # the member serves as many observers as it may
    SILENT = "silent"  # it has not subscribed in time
    UNRESPONSIVE = "unresponsive"  # its answers to pings stay out
    SLOW = "slow"  # it does not read what it is sent
    CLOSING = "closing"  # the member ends


class ConfigOutcome(Enum):
    """What became of a version of the shared configuration at one dispatcher."""

    NONE = "none"  # there is no shared configuration
    IN_FORCE = "in_force"
    RESTART_NEEDED = "restart_needed"  # some of it counts from the next start on
    REJECTED = "rejected"  # it cannot be used there; the version before stays in force


class _Message(msgspec.Struct, array_like=True, frozen=True):
    pass


# -- from an observer


class Subscribe(_Message, tag=1, array_like=True, frozen=True):
    """The first message.

    Attributes:
        token: Drawn anew by each process, so that two with one name can be told apart.
        session: Counts the subscriptions of this process; the highest one is where it is connected now.
        epoch: The revision at which this process was first announced in the store; 0 if it was not.
        generation, revision: Where to resume; (0, 0) asks for a snapshot.
        floor_generation, floor_revision: The latest position that was ever taken. Nothing older is of use.
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
    """What the observer has in force: applied, not merely received. Sent when any of it changes.

    Attributes:
        revision: Everything up to this revision has been applied.
        config_version: The last version of the shared configuration that came; 0: there is none.
        outcome: A `ConfigOutcome` value, what became of that version.
        detail: Why it was rejected, or what needs a restart.
        about: JSON for operators (address, state, stage), as dispatchers that are members put it.
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
    """The process ends as planned: it need not be waited for."""


# -- from a member


class Accepted(_Message, tag=11, array_like=True, frozen=True):
    """`resumes`: changes follow from the revision that was asked for; otherwise a snapshot does."""

    version: int
    member: str
    generation: int
    resumes: bool


class Rejected(_Message, tag=12, array_like=True, frozen=True):
    """`kind` is a `Rejection` value; the connection is closed after it."""

    kind: str
    reason: str


class SnapshotPage(_Message, tag=13, array_like=True, frozen=True):
    """Some of the documents as of `revision`, in the order of names. `first` begins anew, `last` ends."""

    revision: int
    documents: list[Document]
    first: bool
    last: bool


class Changes(_Message, tag=14, array_like=True, frozen=True):
    """All that changed after revision `base`, up to and with `revision`."""

    base: int
    revision: int
    events: list[Event]


class Ping(_Message, tag=15, array_like=True, frozen=True):
    """Sent every second, to be answered with a `Pong` of the same number.

    Attributes:
        revision: Nothing that the observer lacks has changed up to here; -1 while it is not caught up.
        stale_ms: For how long the member has not heard of a leader.
        digest: Of the documents at `revision`, see `document_digest`; 0: not told this time.
    """

    number: int
    revision: int
    stale_ms: float
    digest: int = 0


class Fleet(_Message, tag=16, array_like=True, frozen=True):
    """How many dispatchers there are, and which one of them, from 0, the observer is."""

    instances: int
    instance: int


class Announced(_Message, tag=17, array_like=True, frozen=True):
    """The observer is known to all; `epoch` is to be given with later subscriptions."""

    epoch: int


class Fenced(_Message, tag=18, array_like=True, frozen=True):
    """A later process has the observer's name."""


FromObserver: TypeAlias = Subscribe | Report | Pong | Leave
FromMember: TypeAlias = Accepted | Rejected | SnapshotPage | Changes | Ping | Fleet | Announced | Fenced

FROM_OBSERVER: msgspec.msgpack.Decoder[FromObserver] = msgspec.msgpack.Decoder(FromObserver)
FROM_MEMBER: msgspec.msgpack.Decoder[FromMember] = msgspec.msgpack.Decoder(FromMember)
