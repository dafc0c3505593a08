"""The shutdown of a dispatcher, from SIGTERM to the exit.

New requests are served as before, but none may be unanswered when SIGKILL comes, which may be soon. So each
request's deadline is bounded by the schedule's `answers_by`, and the decision module ends it in time by its
usual rules. What a front has read and not answered by then is answered there, and after that nothing is
accepted.
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

LINGER_MS = 600.0  # after SIGTERM new connections may still arrive for this long
PARTIAL_REQUEST_WAIT_MS = 3000.0  # after SIGTERM partially received requests are waited for this long
CLOSING_NOTICE_MS = 1000.0  # at the very end, remaining clients can see the close for this long
SUCCESSOR_WAIT_MS = 3000.0  # after SIGTERM a successor that is not yet able to serve is waited for this long
HANDOVER_DELAY_MS = 1000.0  # after SIGTERM jobs may end here for this long, before a successor takes them


class Shutdown:
    """Tracks how far the shutdown has come and whether the process may exit."""

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
        self.handover: Handover | None = None  # set where a predecessor and a successor can run together
        self.schedule: ShutdownSchedule | None = None  # set from SIGTERM on
        self.handed_over_at: float | None = None  # when a successor took the client connections
        self._closing_since: float | None = None  # when all was answered, at the end

    @property
    def begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self.schedule is not None

    def begin(self) -> bool:
        """Begin the shutdown; return False if it has begun before."""
        if self.schedule is not None:
            return False
        now = self.core.clock.now()
        deadlines = [request_class.deadline for request_class in self.core.settings.classes]
        self.schedule = ShutdownSchedule.starting_at(now, deadlines)
        within = round(self.schedule.answers_by - now)
        logs.event("told to end", logging.INFO, answers_within_ms=within, **self._open_counts())
        self.core.deadlines.set(self.schedule.answers_by, self._answer_remaining)
        return True

    def cut_deadlines(self) -> None:
        """Bound the deadlines of all requests by the schedule, unless a successor is about to take them."""
        if self.schedule is not None and self.handed_over_at is None:
            self.core.limit_deadlines(self.schedule.answers_by)

    def may_hand_over(self) -> bool:
        """Return whether running jobs are to be transferred to a successor.

        This process may be killed before they end.
        """
        schedule, now = self.schedule, self.core.clock.now()
        return schedule is not None and now > schedule.begun_at + HANDOVER_DELAY_MS

    def _open_counts(self) -> dict[str, int]:
        """Return the numbers of open requests, attempts and connections, for the log."""
        attempts = [attempt for request in self.core.requests.all() for attempt in request.attempts]
        return {
            "outstanding": self.core.outstanding,
            "attempts": sum(not attempt.ended for attempt in attempts),
            "clients": len(self.http_front.connections),
            "server_connections": len(self.workers.open),
        }

    def _answer_remaining(self) -> None:
        """Answer all clients that are still waiting when the last answers are due.

        The decision module has answered what it decides by then. Durable jobs continue without their waiting
        clients, and requests that wait for a disk or for the peer process wait no longer.
        """
        assert self.schedule is not None
        self.core.limit_deadlines(self.schedule.answers_by)
        self.core.decide()
        answered = self.http_front.answer_all()
        if self.gearman is not None:
            answered += self.gearman.answer_all()
        logs.event("all is answered or given up", logging.INFO, by_fronts=answered, **self._open_counts())

    # -- the exit

    def is_over(self) -> bool:
        """Return whether the process may exit now. To be called in every turn of the event loop.

        Once nothing is open, this closes the remaining client connections.
        """
        if not self._may_exit_once_answered() or (self.ledger is not None and not self.ledger.is_idle()):
            return False
        if self._has_open_work():
            self._resume_listening()
            return False
        now = self.core.clock.now()
        if self._closing_since is None:
            self._closing_since = now
        return self.http_front.close_remaining(
            self._is_past_answer_time()
        ) or now > self._closing_notice_ends_at(self._closing_since)

    def _may_exit_once_answered(self) -> bool:
        """Return whether the process may exit once all requests are answered."""
        now, successor = self.core.clock.now(), self.handover.successor if self.handover is not None else None
        if successor is not None and not successor.is_idle() and not self._must_exit():
            return False  # requests in transfer, which the successor may still refuse, or retained answers
        if self.handed_over_at is not None and not len(self.http_front.connections):
            return now > self.handed_over_at + LINGER_MS
        schedule = self.schedule
        if schedule is None or now < min(schedule.begun_at + LINGER_MS, schedule.answers_by):
            return False
        wait = min(schedule.begun_at + SUCCESSOR_WAIT_MS, schedule.exits_by)
        return successor is None or successor.serving or now > wait

    def _has_open_work(self) -> bool:
        """Return whether requests or bytes are outstanding for which the process has to stay."""
        if any(not request.ended for request in self.core.requests.all()):
            return True
        # A partially received job is waited for, but clients that never complete one must not delay the exit.
        schedule, now = self.schedule, self.core.clock.now()
        waits_for_partial = schedule is not None and now < min(
            schedule.begun_at + PARTIAL_REQUEST_WAIT_MS, schedule.answers_by
        )
        if not self.http_front.is_idle(waits_for_partial):
            return True
        return self.gearman is not None and any(
            client.conn.unsent for client in self.gearman.connections.all()
        )

    def _is_past_answer_time(self) -> bool:
        """Return whether the time for the last answers is over."""
        return self.schedule is not None and self.core.clock.now() >= self.schedule.answers_by

    def _must_exit(self) -> bool:
        """Return whether the time for the exit has come, whatever is still open."""
        return self.schedule is not None and self.core.clock.now() >= self.schedule.exits_by

    def _resume_listening(self) -> None:
        """Accept connections again because another request has arrived: its worker must be able to call back.

        Not at the very end: a request that arrives then was refused on arrival.
        """
        if self._closing_since is None or self.handed_over_at is not None or self._is_past_answer_time():
            return
        self._closing_since = None
        self.http_front.listener.start()

    def _closing_notice_ends_at(self, since: float) -> float:
        """Return until when remaining clients are given time to see that the process closes."""
        until = since + CLOSING_NOTICE_MS
        if self.schedule is None or since >= self.schedule.exits_by:
            return until
        return min(until, self.schedule.exits_by)
