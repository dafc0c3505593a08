"""Requests, the attempts at them, and the service entries (workers) that attempts go to."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from eiderpin.core.deadlines import Deadline
from eiderpin.interface import WorkerEntry, WorkerState


class Verdict(Enum):
    """What a final answer says; by these names it is counted."""

    SERVED = "succeeded"
    REJECTED = "declined"
    FAILED = "aborted"


@dataclass(slots=True, frozen=True)
class Answer:
    verdict: Verdict
    result: bytes = b""
    wait: float | None = None  # ms after which a turned-down client may come back


FAILED = Answer(Verdict.FAILED)


class EdgeSide(Protocol):
    """Whoever waits for a request's answer: one connection's request at some front."""

    def answer(self, request: Request, answer: Answer) -> None: ...

    def progress(self, request: Request, share: float) -> None: ...

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None: ...

    def has_left(self) -> bool:
        """Whether it has gone, though that may not have been dealt with yet."""
        ...


@dataclass(slots=True, eq=False)
class Request:
    """A request from when it is taken in to its final answer."""

    cls: str
    unique: str  # the client's own id of the job; resubmissions bear it again
    target: bytes  # where it was addressed, passed on unchanged
    body: bytes
    deadline: float  # when its answer must be out
    slots: float = 1.0
    memory: float = 0.0
    tenant: str | None = None
    key: str | None = None
    hint: float | None = None
    client_retry: bool = False
    priority: int = 0
    background: bool = False  # goes on though nobody waits
    abandoned: bool = False  # nobody waits any more; what has begun runs on, and nothing else begins
    single_use_id: bool = (
        False  # its front gives each request an id of its own: another `single_use_id` with it is refused
    )
    id: int = -1
    job: int = 0  # its number among the durable ones; 0: it is not durable
    backstop: Deadline | None = None
    wire_id: str = ""  # what workers know it by
    waiters: list[EdgeSide] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)  # all that were made, by number
    ended: bool = False
    cut_short: bool = False  # its deadline is earlier than its client's, since the process ends before
    share: float = 0.0  # done of it, as last told
    idempotency_key: str | None = None  # as the client spelt it; workers see it so on every attempt

    @property
    def size(self) -> int:
        """Bytes that a client sent for it, and that are held while it lasts."""
        return len(self.body) + len(self.idempotency_key or "")

    @property
    def named(self) -> bool:
        """Whether its client can ask for it again by its name, and then joins it or gets its kept answer."""
        return bool(self.unique) and not self.single_use_id

    @property
    def wanted(self) -> bool:
        """Whether an attempt may still begin: somebody waits for the answer, or it was to go on anyway."""
        return not self.ended and (bool(self.waiters) or self.background or bool(self.job))

    def may_have_run(self) -> bool:
        return any(s.may_have_run for s in self.attempts)


class WorkerLink(Protocol):
    """A way to reach workers. What becomes of an attempt goes back through `Dispatcher.ended`."""

    def send(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...

    def probe(self, endpoint: Endpoint) -> None: ...

    def endpoint_changed(self, endpoint: Endpoint) -> None: ...

    def may_transfer(self, attempt: Attempt) -> bool:
        """Whether it goes on, and its end can be told, without the connection that it was sent on."""
        ...


@dataclass(slots=True, eq=False)
class Endpoint:
    listed: WorkerEntry
    address: Any  # means something to its link only
    link: WorkerLink
    left_at: float | None = None  # when we were told that it drains or is gone
    told: WorkerEntry | None = None  # as its source lists it, before the operators' orders

    @property
    def name(self) -> str:
        return self.listed.name

    @property
    def in_service(self) -> bool:
        return self.listed.state is WorkerState.IN_SERVICE

    @property
    def listed_now(self) -> bool:
        return self.listed.state is not WorkerState.GONE

    def may_be_sent(self, now: float, grace: float) -> bool:
        """Whether a first byte may go out now: a drain's grace counts at the write, not at the decision."""
        return self.left_at is None or now <= self.left_at + grace


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    number: int
    endpoint: Endpoint
    made_at: float
    timeout: float  # ms after which the dispatcher stops waiting for it
    accepted: bool = False  # the worker has said that it took the job
    may_have_run: bool = False  # written to its worker, and not known to be unrun
    ended: bool = False
    leased: bool = False  # a durable job's, with its lease written
    expiry: Deadline | None = None
    handle: Any = None  # the link's own
