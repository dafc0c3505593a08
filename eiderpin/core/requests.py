"""Requests, their attempts, and the endpoints (workers) that attempts are sent to."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from eiderpin.core.deadlines import Deadline
from eiderpin.interface import WorkerEntry, WorkerState


class Verdict(Enum):
    """What a final answer says; the values name the counters of answers."""

    SERVED = "succeeded"
    REJECTED = "declined"
    FAILED = "aborted"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request."""

    verdict: Verdict
    result: bytes = b""
    wait: float | None = None  # ms that a rejected client should wait before a retry


FAILED = Answer(Verdict.FAILED)


class ResponseSink(Protocol):
    """A waiting client: one request on one connection of some front."""

    def answer(self, request: Request, answer: Answer) -> None:
        """Give the client its final answer."""
        ...

    def progress(self, request: Request, share: float) -> None:
        """Tell the client that `share` (0 to 1) of the request is done, if its protocol can express that."""
        ...

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None:
        """Pass the client partial data, or a warning, if its protocol can express that."""
        ...

    def has_left(self) -> bool:
        """Return whether the client has disconnected, even if that has not been processed yet."""
        ...


@dataclass(slots=True, eq=False)
class Request:
    """A request, from its acceptance until its final answer is given and its attempts have ended.

    Times are in ms on the dispatcher's clock.
    """

    cls: str
    unique: str  # the client's id of the job, the same in resubmissions; empty if it gave none
    target: bytes  # the request target, passed on unchanged
    body: bytes
    deadline: float  # when the answer must be out
    slots: float = 1.0
    memory: float = 0.0
    tenant: str | None = None
    key: str | None = None
    hint: float | None = None
    client_retry: bool = False
    priority: int = 0
    background: bool = False  # continues even if nobody waits
    abandoned: bool = False  # all clients have left; running attempts continue, but no further one starts
    single_use_id: bool = False  # the id belongs to this request only: a second request with it is refused
    id: int = -1  # in the table of requests; -1: not in it
    job: int = 0  # number of the durable job in the ledger; 0: not durable
    backstop: Deadline | None = None  # answers the request if nothing else has by its deadline
    wire_id: str = ""  # the id that workers see
    waiters: list[ResponseSink] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)  # all attempts, by number
    ended: bool = False
    not_accepted: bool = False  # it was rejected for lack of room before anything was kept of it
    cut_short: bool = False  # the shutdown made the deadline earlier than the client's
    share: float = 0.0  # share that is done (0 to 1), as last reported
    idempotency_key: str | None = None  # passed to workers unchanged, with every attempt
    waits_for_peer: bool = False  # a peer process has the job, or has been asked whether it does
    may_have_run_at_peer: bool = False
    is_relay: bool = False  # stands for a request of one peer process that waits for a job of another

    @property
    def size(self) -> int:
        """Bytes from the client that are held while the request lasts."""
        return len(self.body) + len(self.idempotency_key or "")

    @property
    def is_resubmittable(self) -> bool:
        """Whether a resubmission by the same id joins this job, or gets its retained answer."""
        return bool(self.unique) and not self.single_use_id

    @property
    def may_start_attempt(self) -> bool:
        """Whether an attempt may still begin: somebody waits, or the job continues without that."""
        return not self.ended and (bool(self.waiters) or self.background or bool(self.job))

    @property
    def is_deserted(self) -> bool:
        """Whether it goes on only until its running attempts have ended, as all clients have left."""
        return self.abandoned and not self.ended and not self.may_start_attempt

    def may_have_run(self) -> bool:
        """Return whether some attempt may have run."""
        return self.may_have_run_at_peer or any(attempt.may_have_run for attempt in self.attempts)


class WorkerLink(Protocol):
    """A transport to workers. It reports how each attempt ended through `Dispatcher.ended`."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its worker."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt as far as the protocol allows."""
        ...

    def probe(self, endpoint: Endpoint) -> None:
        """Probe a worker; the result is reported through `Dispatcher.probed`."""
        ...

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """React to a change of a worker's state or address."""
        ...

    def may_transfer(self, attempt: Attempt) -> bool:
        """Return whether an attempt can continue, and its end be reported, without its present connection."""
        ...


@dataclass(slots=True, eq=False)
class Endpoint:
    """A worker as this dispatcher reaches it."""

    listed: WorkerEntry
    address: Any  # only the link interprets it
    link: WorkerLink
    withdrawn_at: float | None = None  # since when it is known to be draining or no longer listed
    source_entry: WorkerEntry | None = None  # as its source lists it, before the operators' overrides

    @property
    def name(self) -> str:
        """The worker's name."""
        return self.listed.name

    @property
    def in_service(self) -> bool:
        """Whether the worker takes new work."""
        return self.listed.state is WorkerState.IN_SERVICE

    @property
    def is_listed(self) -> bool:
        """Whether the worker is still listed, in service or draining."""
        return self.listed.state is not WorkerState.GONE

    def accepts_sends(self, now: float, grace: float) -> bool:
        """Return whether an attempt's first byte may be written to the worker now.

        A draining worker accepts new work for `grace` ms, measured to the write and not to the decision.
        """
        return self.withdrawn_at is None or now <= self.withdrawn_at + grace


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a worker."""

    request: Request
    number: int  # 0 for the first attempt of a request
    endpoint: Endpoint
    made_at: float  # ms on the dispatcher's clock
    timeout: float  # ms after which the dispatcher stops waiting for it
    accepted: bool = False  # the worker has confirmed that it has the job
    may_have_run: bool = False  # it was written in full, and nothing proves that it did not run
    ended: bool = False
    leased: bool = False  # of a durable job, with its lease on disk
    expiry: Deadline | None = None  # its timeout
    handle: Any = None  # used by the link only
