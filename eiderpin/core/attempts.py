"""Attempts at requests, and service entries (the workers that discovery or a front lists)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from eiderpin.core.deadlines import Deadline
from eiderpin.core.flows import Flow
from eiderpin.interface import WorkerEntry, WorkerState


class WorkerLink(Protocol):
    """A way to reach workers. What becomes of an attempt goes back through `Dispatcher.ended`."""

    def send(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...

    def probe(self, entry: ServiceEntry) -> None: ...

    def entry_changed(self, entry: ServiceEntry) -> None: ...

    def may_move(self, attempt: Attempt) -> bool:
        """Whether it goes on, and its end can be told, without the connection that it was sent on."""
        ...


@dataclass(slots=True, eq=False)
class ServiceEntry:
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
    flow: Flow
    number: int
    entry: ServiceEntry
    made_at: float
    timeout: float  # ms after which the dispatcher stops waiting for it
    accepted: bool = False  # the worker has said that it took the job
    may_have_run: bool = False  # written to its worker, and not known to be unrun
    ended: bool = False
    leased: bool = False  # a durable job's, with its lease written
    expiry: Deadline | None = None
    handle: Any = None  # the link's own
