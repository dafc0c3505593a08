"""What the core asks of whoever keeps durable jobs. Where the feature is off there is no such object."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderpin.core.requests import Answer, Attempt, Request
from eiderpin.interface import Outcome


class JobMismatchError(Exception):
    """The name is that of a job that asked for something else."""


class DurableJobManager(Protocol):
    def covers_class(self, cls: str) -> bool:
        """Whether jobs of this class have to outlive the process."""
        ...

    def stored_answer(self, request: Request) -> Answer | None:
        """The answer of an ended job by this name. Raises `JobMismatchError`."""
        ...

    def deliver_stored_answer(self, request: Request, answer: Answer, tell: Callable[[Answer], None]) -> None:
        """Tell a kept answer, once it is on disk that somebody has been told."""
        ...

    def accept(self, request: Request) -> bool:
        """Take it on; False: the disk takes nothing now."""
        ...

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        """Call once all that has been said of it is on disk (True), or cannot be put there (False)."""
        ...

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Write the lease; `send` is called once it is on disk, and never where it cannot be written."""
        ...

    def renew(self, attempt: Attempt) -> None:
        """Its worker has told of it."""
        ...

    def released(self, attempt: Attempt, outcome: Outcome) -> None:
        """The attempt has ended."""
        ...

    def end(self, request: Request, answer: Answer, told: bool, tell: Callable[[Answer], None]) -> None:
        """Write its end; `tell` is called once that is on disk, or at its deadline with a failure."""
        ...

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        """A worker tells of a job that is under way no more; whether it was one of ours."""
        ...
