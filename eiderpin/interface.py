"""The types of the decision module: its settings, the events it receives and the actions it returns.

This file and `decide.py` are all that an embedding dispatcher needs. Every time is in milliseconds of one
clock that never runs backwards; every amount of work is in milliseconds of one standard core.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias


class SettingsError(ValueError):
    """A setting is not valid; the message names its key."""


class Repeat(Enum):
    """Whether a request of a class may run more than once."""

    FREE = "free"  # may run any number of times
    GUARDED = "guarded"  # a group of workers drops repeats for some time
    SINGLE_SHOT = "single_shot"  # must never run twice


class Scope(Enum):
    """Which group of workers recognizes and drops repeats of a guarded request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    """Whether a worker takes new work."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a membership event holds."""

    CHANGES = "changes"  # only the entries that changed
    COMPLETE = "complete"  # all workers; one that is absent has been removed
    STORED = "stored"  # a complete list stored in an earlier run, perhaps out of date
    UNCONFIRMED = "unconfirmed"  # workers known so far, while another discovery is to confirm them
    FAILED = "failed"  # a call to discovery failed, or the watch was dropped; no entries


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    ERROR = "error"
    REJECTED = "rejected"  # refused without being started: no room, or draining
    TIMED_OUT = "timed_out"
    NOT_CONNECTED = "not_connected"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the worker did not begin the request."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT})


# ---- settings ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestClass:
    """The settings of one class of requests."""

    name: str
    aim: float = 1000.0  # base of the time within which an answer has its full worth
    aim_stretch: float = 0.0  # multiple of the request's own work by which that time is extended
    deadline: float = 10000.0
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that remains after the aim
    repeat: Repeat = Repeat.SINGLE_SHOT
    scope: Scope = Scope.CELL
    memory_span: float = 0.0  # how long the scope remembers an attempt after it was sent
    streaming: bool = False
    shape: str | None = None  # the only kind of machine that runs it; None: any
    priority: int = 0


@dataclass(slots=True)
class Tenant:
    """A tenant and its share of the capacity."""

    name: str
    allowance_per_s: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Settings:
    """All settings of a dispatcher; the defaults are cautious, for a site of which nothing is known."""

    classes: list[RequestClass]
    instances: int = 1
    instance: int = 0  # this instance's number among them, from 0
    zone: str = ""
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    tick: float = 1.0  # shortest time between batches of events
    # discovery
    must_ask: bool = False  # the list of workers arrives only after `Watch` or `FetchList`
    ask_within: float = 0.0
    # limits
    max_attempts: int = 3
    parallel_attempts: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    may_advise_wait: bool = False
    max_wait_advice: float = 0.0
    connect_timeout: float = 250.0
    conn_idle: float = 5000.0  # workers close a connection that has been idle for this time
    most_held: int = 20000  # requests that an instance may hold open
    # what workers report
    reports_in_answers: bool = False
    reports_in_probes: bool = False
    report_names: dict[str, str] = field(default_factory=dict)  # names of the `Report` fields at this site
    tells_start: bool = False
    progress_every: float = 0.0
    starts_in_order: bool = False  # a worker starts its jobs in the order in which they arrived
    live_ratings: bool = False  # the rating is the size divided by 1 + requests held per core
    ratings: bool = True  # whether ratings say anything about sizes
    # rules
    answer_grace: float = 0.0
    drain_grace: float = 0.0
    cold_share: float = 0.1
    warm_up: float = 30000.0
    cold_multiple: float = 1.0
    cold_window: float = 1000.0
    # prices, in points of the total result
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_waste: float = 0.0

    def check(self) -> None:
        """Raise `SettingsError`, naming the key, if a setting is not valid."""
        if not self.classes:
            raise SettingsError("classes: at least one request class is needed")
        seen: set[str] = set()
        for request_class in self.classes:
            if request_class.name in seen:
                raise SettingsError(f"classes[].name: {request_class.name!r} is given twice")
            seen.add(request_class.name)
            for key in ("aim", "aim_stretch", "deadline", "worth", "late_worth", "memory_span"):
                _not_negative(f"classes[{request_class.name}].{key}", getattr(request_class, key))
            if request_class.deadline <= 0:
                raise SettingsError(f"classes[{request_class.name}].deadline: must be above 0")
        if self.instances < 1:
            raise SettingsError("instances: must be at least 1")
        if not 0 <= self.instance < self.instances:
            raise SettingsError(f"instance: must lie between 0 and {self.instances - 1}")
        if self.max_attempts < 1:
            raise SettingsError("max_attempts: must be at least 1")
        for key in (
            "tick", "ask_within", "connect_timeout", "conn_idle", "progress_every", "answer_grace",
            "drain_grace", "warm_up", "cold_multiple", "cold_window", "max_wait_advice",
        ):  # fmt: skip
            _not_negative(key, getattr(self, key))
        if not 0 < self.cold_share <= 1:
            raise SettingsError("cold_share: must be above 0 and at most 1")


def _not_negative(key: str, value: float) -> None:
    """Raise `SettingsError` unless the value is a finite number of at least 0."""
    if not 0 <= value < float("inf"):
        raise SettingsError(f"{key}: must be a number that is not negative, not {value!r}")


# ---- events --------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Report:
    """A worker's report of its own load; a value that it does not give is None."""

    in_flight: float | None = None
    queued: float | None = None
    free_slots: float | None = None
    free_memory: float | None = None


@dataclass(slots=True)
class WorkerEntry:
    """A worker as its source lists it."""

    name: str
    zone: str
    shape: str
    cell: int
    state: WorkerState
    rating: float = 1.0
    born: float | None = None  # when it last started, if known
    classes: frozenset[str] | None = None  # the classes that it runs; None: all
    slots: float | None = None  # its number of slots, if known


@dataclass(slots=True)
class Membership:
    """A list of workers, or a failure to get one, from one source of workers."""

    kind: ListKind
    entries: list[WorkerEntry] = field(default_factory=list)
    by_discovery: bool = True  # False: by a front, a file or an operator, so no call to discovery is answered
    is_to_be_confirmed: bool = False  # a stored list: nothing is sent by it before discovery has answered
    late_call_ms: float | None = None  # a failure: the call began so long ago and may still be answered


@dataclass(slots=True)
class Request:
    """A new request."""

    id: int
    cls: str
    expires_in: float
    slots: float = 1.0
    memory: float = 0.0
    tenant: str | None = None
    key: str | None = None
    hint: float | None = None  # expected work
    client_retry: bool = False
    priority: int = 0  # among jobs that wait, those of higher priority are sent first
    nobody_waits: bool = False  # its client has left it to run until its deadline, and gets no answer


@dataclass(slots=True)
class Progress:
    """A worker reports that an attempt has started, or how much of it is done."""

    request: int
    attempt: int
    worker: str
    started: bool  # True: it has just started; False: `share` of it (0 to 1) is done
    share: float = 0.0


@dataclass(slots=True)
class StreamStarted:
    """The first data of a streaming answer has arrived."""

    request: int
    attempt: int
    worker: str


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request: int
    attempt: int
    worker: str
    outcome: Outcome
    elapsed: float
    final: bool  # the request has ended too
    report: Report | None = None
    stale: bool = False  # failed on a stale idle connection, which does not count against the worker


@dataclass(slots=True)
class RequestGone:
    """The client has left, so no answer is due any more."""

    request: int


@dataclass(slots=True)
class DeadlineMoved:
    """A request's answer is due earlier than announced, because the dispatcher is shutting down."""

    request: int
    expires_in: float


@dataclass(slots=True)
class ProbeEnded:
    """A probe of a worker has succeeded or failed."""

    worker: str
    ok: bool
    elapsed: float
    report: Report | None = None


@dataclass(slots=True)
class Beside:
    """What the peer process holds during an upgrade, when two processes act as the same instance.

    By worker: the slots that the peer has committed, and the slot time that it has sent there while the
    worker was cold and that still counts. Each such event replaces the one before. `gone`: the peer has
    ended, but its jobs may still run.
    """

    holds: dict[str, tuple[float, float]] = field(default_factory=dict)
    gone: bool = False


@dataclass(slots=True)
class Standing:
    """What the decision module knows of a running request, for that of another process.

    Times are in ms from now, or ago.
    """

    aim_in: float
    work: float
    sends: int
    out: list[tuple[int, float, float]]  # number, sent, and started or -1 if no start was reported
    at: list[str]  # the workers of the attempts in `out`
    avoid: list[str]  # workers that should not get another attempt


@dataclass(slots=True)
class Adopted:
    """A request is taken over from the peer process, or recovered, with its running attempts."""

    request: Request
    standing: Standing


@dataclass(slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` is due."""

    handle: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another dispatcher."""

    sender: int
    payload: bytes


Event: TypeAlias = (
    Membership | Request | Progress | StreamStarted | AttemptEnded | RequestGone | ProbeEnded | TimerFired
    | PeerMessage | Beside | Adopted | DeadlineMoved
)  # fmt: skip


# ---- actions -------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of their sending."""

    request: int
    worker: str
    timeout: float | None = None  # None: until the request's deadline


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: the request is rejected, and the client may retry it without harm."""

    request: int
    wait: float | None = None


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed; it may have run."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` with this handle at a time."""

    at: float
    handle: int


@dataclass(slots=True)
class Probe:
    """Probe a worker."""

    worker: str


@dataclass(slots=True)
class Watch:
    """Start or end a watch of the list of workers."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Request the complete list from discovery once."""


@dataclass(slots=True)
class Log:
    """Log a text."""

    text: str


Action: TypeAlias = Send | Cancel | Refuse | Fail | SetTimer | Probe | Watch | FetchList | Log

Facts: TypeAlias = Mapping[str, object]  # what `eiderpin.explain` returns
