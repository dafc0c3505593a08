"""While the process before us still owns the ledger: durable jobs are turned down here, all others served."""

from __future__ import annotations

from collections.abc import Callable

from eiderpin.core.requests import Answer, Attempt, Request
from eiderpin.interface import Outcome
from eiderpin.parts.durable import DurableOptions


class Elsewhere:
    """Implements `core.durability.DurableJobManager` for jobs that it never takes."""

    def __init__(self, options: DurableOptions) -> None:
        self.options = options

    def covers_class(self, cls: str) -> bool:
        return cls in self.options.classes

    def stored_answer(self, request: Request) -> Answer | None:
        return None  # the owner knows, and a turn-down promises nothing

    def deliver_stored_answer(self, request: Request, answer: Answer, tell: Callable[[Answer], None]) -> None:
        tell(answer)

    def accept(self, request: Request) -> bool:
        return False

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        call(False)

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        raise AssertionError("no job is taken here")

    def renew(self, attempt: Attempt) -> None:
        """None is leased here."""

    def released(self, attempt: Attempt, outcome: Outcome) -> None:
        """None is leased here."""

    def end(self, request: Request, answer: Answer, told: bool, tell: Callable[[Answer], None]) -> None:
        tell(answer)

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        return False
