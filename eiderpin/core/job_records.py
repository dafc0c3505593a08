"""What a process remembers of jobs after their end, and whether there is room for the record of one more.

The rules are those of `policy.run_once_records`; `docs/design/run_once_records.md` says what is promised.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from eiderpin import interface as api
from eiderpin.core.deadlines import Clock
from eiderpin.core.requests import FAILED, Answer, Request, Verdict
from eiderpin.core.retained_answers import RetainedAnswer, RetainedAnswers
from eiderpin.core.run_once_ids import JobKey, id_bytes
from eiderpin.policy import run_once_records


def _no_bytes(now: float) -> int:
    """Return 0: there is no peer process."""
    return 0


class JobRecords:
    """The records of a process's jobs, those of open ones counted ahead. All times are in milliseconds."""

    def __init__(self, classes: Mapping[str, api.RequestClass], clock: Clock) -> None:
        """Begin without records."""
        self.retained = RetainedAnswers()
        # Where no front has clients that resubmit, only the ids of jobs are retained and not their results.
        self.keeps_results = True
        self.open_bytes = 0  # that the ids of open jobs will need once these have ended
        self.peer_bytes: Callable[[float], int] = _no_bytes  # of what is remembered of peer processes' jobs
        self._classes, self._clock = classes, clock

    def must_not_rerun(self, cls: str) -> bool:
        """Return whether a job of this class must not run again once it may have run."""
        request_class = self._classes.get(cls)
        return request_class is not None and run_once_records.must_not_rerun(request_class)

    def retention_ms(self, cls: str, single_use_id: bool) -> float:
        """Return for how long the record of an ended job of a known class is retained."""
        return run_once_records.retention_ms(self._classes[cls], single_use_id)

    def _bytes_of(self, request: Request) -> int:
        """Return the memory that the record of a request will take; 0 if there will be none here."""
        if not request.unique or request.job or not self.must_not_rerun(request.cls):
            return 0
        return id_bytes((request.cls, request.unique))

    def has_room_for(self, request: Request) -> bool:
        """Return whether the record of a new request can be retained once that has ended."""
        needed = self._bytes_of(request)
        if not needed or request.is_relay:
            return True
        now = self._clock.now()
        self.retained.ids.expire(now)
        held = self.retained.ids.size_bytes + self.open_bytes + self.peer_bytes(now)
        return run_once_records.may_accept_run_once(held, needed, self.retained.max_bytes)

    def ms_until_room(self) -> float:
        """Return when the next records expire, in ms from now."""
        return self.retained.ids.next_expiry_at - self._clock.now()

    def count_open(self, request: Request) -> None:
        """Count the record of a request that has begun to be open here."""
        self.open_bytes += self._bytes_of(request)

    def count_closed(self, request: Request) -> None:
        """Count a request's record as open no longer."""
        self.open_bytes -= self._bytes_of(request)

    def retain(self, request: Request, answer: Answer, is_delivered: bool = True) -> None:
        """Retain the answer to an ended request for resubmissions, where it matters to them.

        That is a result, or the failure of a job that may have run and must not run again. `is_delivered`: a
        client waited for it, or none wanted to.
        """
        must_not_rerun = self.must_not_rerun(request.cls)
        if answer.verdict is Verdict.SERVED or (must_not_rerun and request.may_have_run()):
            if answer.verdict is not Verdict.SERVED or not self.keeps_results:
                answer = FAILED
            now = self._clock.now()
            until = now + self.retention_ms(request.cls, request.single_use_id)
            retained = RetainedAnswer(answer, until, request.single_use_id)
            job = (request.cls, request.unique)
            self.retained.add(job, retained, now, must_not_rerun, is_delivered)

    def renew(self, job: JobKey) -> bool:
        """Retain the record of a job that must not run again for as long as if it had ended now.

        Returns False if there is no such record.
        """
        now = self._clock.now()
        retained = self.retained.get(job, now)
        if retained is None or retained.single_use_id or not self.must_not_rerun(job[0]):
            return False
        self.retained.renew(job, now + self.retention_ms(job[0], False))
        return True
