"""The job manager that a process uses while another process owns the ledger.

It rejects all durable jobs. Jobs of other classes are served as usual.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderpin.core.requests import Answer, Attempt, Request
from eiderpin.interface import Outcome
from eiderpin.parts.durable import DurableOptions


class UnavailableJobManager:
    """Implements `core.durability.DurableJobManager`; accepts no job."""

    def __init__(self, options: DurableOptions) -> None:
        """`options.classes` are the classes whose jobs are rejected."""
        self.options = options

    def covers_class(self, cls: str) -> bool:
        """Return whether jobs of this class are durable."""
        return cls in self.options.classes

    def stored_answer(self, request: Request) -> Answer | None:
        """Return None: only the owner has the stored answers, and a rejection promises nothing."""
        return None

    def deliver_stored_answer(
        self, request: Request, answer: Answer, deliver: Callable[[Answer], None]
    ) -> None:
        """Deliver the answer at once."""
        deliver(answer)

    def accept(self, request: Request) -> bool:
        """Accept no job."""
        return False

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        """Call `call` with False: nothing is written here."""
        call(False)

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Raise `AssertionError`: without a job there is no attempt."""
        raise AssertionError("a lease is asked for, and no durable job is accepted here")

    def renew(self, attempt: Attempt) -> None:
        """Do nothing: there are no leases."""

    def released(self, attempt: Attempt, outcome: Outcome) -> None:
        """Do nothing: there are no leases."""

    def end(
        self, request: Request, answer: Answer, is_answered: bool, deliver: Callable[[Answer], None]
    ) -> None:
        """Deliver the answer at once."""
        deliver(answer)

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        """Return False: no job is known here."""
        return False
