"""What the core requires of a manager of durable jobs. Without durable jobs there is no such object."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderpin.core.requests import Answer, Attempt, Request
from eiderpin.interface import Outcome


class JobMismatchError(Exception):
    """The job of this name was submitted with another target or body."""


class DurableJobManager(Protocol):
    """Stores durable jobs, their leases and their ends."""

    def covers_class(self, cls: str) -> bool:
        """Return whether jobs of this class are durable."""
        ...

    def stored_answer(self, request: Request) -> Answer | None:
        """Return the stored answer of the ended job of this name, if there is one.

        Raises `JobMismatchError` if that job had another target or body.
        """
        ...

    def deliver_stored_answer(
        self, request: Request, answer: Answer, deliver: Callable[[Answer], None]
    ) -> None:
        """Pass a stored answer to `deliver`, once it is on disk that a client has been answered."""
        ...

    def accept(self, request: Request) -> bool:
        """Store a new job; return False if the disk cannot be written now."""
        ...

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        """Call `call` once all records of the job are on disk (True) or cannot be written (False)."""
        ...

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Write an attempt's lease and call `send` once it is on disk; never if it cannot be written."""
        ...

    def renew(self, attempt: Attempt) -> None:
        """Renew an attempt's lease, since its worker has reported progress."""
        ...

    def released(self, attempt: Attempt, outcome: Outcome) -> None:
        """Note that an attempt has ended, which releases its lease."""
        ...

    def end(
        self, request: Request, answer: Answer, is_answered: bool, deliver: Callable[[Answer], None]
    ) -> None:
        """Write a job's end and then pass its answer to `deliver`, or a failure if its deadline comes first.

        `is_answered`: a client waits for this answer.
        """
        ...

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        """Handle a worker's report on a job that is no longer running.

        Returns whether the job is one of this manager's.
        """
        ...
