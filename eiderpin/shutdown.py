"""The planned end of a dispatcher, from SIGTERM to the exit.

What comes is served as before, but nothing may be left unanswered when SIGKILL comes, which may be soon: each
request's deadline is cut to the schedule's `answers_by`, so that the decisions end each in time by their own
rules. What a front has read and not answered by then is answered there, and after that nothing is taken.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from eiderpin import logs
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.shutdown import ShutdownSchedule
from eiderpin.net.edge import HttpFront
from eiderpin.net.workers import HttpWorkers

if TYPE_CHECKING:
    from eiderpin.fleet.ownership import LedgerOwnership
    from eiderpin.net.gearman_front import GearmanFront
    from eiderpin.net.handover import Handover

LINGER_MS = 600.0  # ms after SIGTERM in which new connections may still come
HALF_SENT_FOR = 3000.0  # ms after SIGTERM for which requests that are half sent are waited for
CLOSING_NOTICE_MS = (
    1000.0  # ms, at the very end, in which those who are still connected may see that we close
)
SUCCESSOR_WITHIN = 3000.0  # ms after SIGTERM for which a successor that cannot serve yet is waited for
HAND_OVER_AFTER = 1000.0  # ms after SIGTERM in which jobs may end here; then a successor has them


class Shutdown:
    """How far the planned end has come, and whether the process may exit."""

    def __init__(
        self,
        core: Dispatcher,
        http_front: HttpFront,
        gearman: GearmanFront | None,
        workers: HttpWorkers,
        ledger: LedgerOwnership | None,
    ) -> None:
        self.core, self.http_front, self.gearman, self.workers = core, http_front, gearman, workers
        self.ledger = ledger
        self.handover: Handover | None = None  # set where an old and a new process run side by side
        self.schedule: ShutdownSchedule | None = None  # since SIGTERM
        self.handed_over_at: float | None = None  # when a successor took the clients
        self._closing_since: float | None = None  # since all was answered, at the end

    @property
    def begun(self) -> bool:
        """Whether the process has been told to end."""
        return self.schedule is not None

    def begin(self) -> bool:
        """Begin the planned end; False where it has begun before."""
        if self.schedule is not None:
            return False
        now = self.core.clock.now()
        deadlines = [c.deadline for c in self.core.settings.classes]
        self.schedule = ShutdownSchedule.beginning(now, deadlines)
        within = round(self.schedule.answers_by - now)
        logs.event("told to end", logging.INFO, answers_within_ms=within, **self._what_is_open())
        self.core.deadlines.set(self.schedule.answers_by, self._answer_the_rest)
        return True

    def cut_deadlines(self) -> None:
        """Bound all requests by the schedule, unless a successor is about to take them."""
        if self.schedule is not None and self.handed_over_at is None:
            self.core.answer_by(self.schedule.answers_by)

    def may_hand_over(self) -> bool:
        """Whether a successor is to have our jobs: we may be killed before they end."""
        schedule, now = self.schedule, self.core.clock.now()
        return schedule is not None and now > schedule.begun_at + HAND_OVER_AFTER

    def _what_is_open(self) -> dict[str, int]:
        """What is still owed or connected, for the log."""
        attempts = [a for request in self.core.requests.all() for a in request.attempts]
        return {
            "outstanding": self.core.outstanding,
            "attempts": sum(not a.ended for a in attempts),
            "clients": len(self.http_front.connections),
            "server_connections": len(self.workers.open),
        }

    def _answer_the_rest(self) -> None:
        """The last moment for answers. The decisions have given theirs; durable jobs go on without those who
        wait for them, and what waits for a disk or for the process beside us waits no longer."""
        assert self.schedule is not None
        self.core.answer_by(self.schedule.answers_by)
        self.core.decide()
        answered = self.http_front.answer_all()
        if self.gearman is not None:
            answered += self.gearman.answer_all()
        logs.event("all is answered or given up", logging.INFO, by_fronts=answered, **self._what_is_open())

    # -- the exit

    def is_over(self) -> bool:
        """Whether the process may exit now. To be asked once a turn: clients are sent off on the way."""
        if not self._may_end() or (self.ledger is not None and not self.ledger.is_idle()):
            return False
        if self._is_anything_owed():
            self._stop_closing()
            return False
        now = self.core.clock.now()
        if self._closing_since is None:
            self._closing_since = now
        return self.http_front.close_remaining(self._past_answers()) or now > self._closes_until(
            self._closing_since
        )

    def _may_end(self) -> bool:
        """Whether we may exit once all is answered."""
        now, successor = self.core.clock.now(), self.handover.successor if self.handover is not None else None
        if successor is not None and successor.pending_transfers:
            return False  # jobs on their way to it, which may have to come back
        if self.handed_over_at is not None and not len(self.http_front.connections):
            return now > self.handed_over_at + LINGER_MS
        schedule = self.schedule
        if schedule is None or now < min(schedule.begun_at + LINGER_MS, schedule.answers_by):
            return False
        wait = min(schedule.begun_at + SUCCESSOR_WITHIN, schedule.exits_by)
        return successor is None or successor.serving or now > wait

    def _is_anything_owed(self) -> bool:
        if any(not request.ended for request in self.core.requests.all()):
            return True
        # A job that is half sent is worth the wait, but those who begin one and stay must not keep us.
        schedule, now = self.schedule, self.core.clock.now()
        halves = schedule is not None and now < min(schedule.begun_at + HALF_SENT_FOR, schedule.answers_by)
        if not self.http_front.is_idle(halves):
            return True
        return self.gearman is not None and any(c.conn.unsent for c in self.gearman.connections.all())

    def _past_answers(self) -> bool:
        return self.schedule is not None and self.core.clock.now() >= self.schedule.answers_by

    def _stop_closing(self) -> None:
        """One more has come: it is served, and workers must be able to call back. Not at the very end: what
        comes then has been refused as it came."""
        if self._closing_since is None or self.handed_over_at is not None or self._past_answers():
            return
        self._closing_since = None
        self.http_front.listener.start()

    def _closes_until(self, since: float) -> float:
        """Until when those who are still connected may see that we close."""
        until = since + CLOSING_NOTICE_MS
        if self.schedule is None or since >= self.schedule.exits_by:
            return until
        return min(until, self.schedule.exits_by)
