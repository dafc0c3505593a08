"""Answers that are retained for a while after their request has ended, for resubmissions of the same job."""

from __future__ import annotations

import logging
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

from eiderpin.core.requests import Answer

logger = logging.getLogger("eiderpin")

RETENTION_MS = 60_000.0
# Further limits of what is retained; past them the oldest answers go first, those of repeatable jobs before
# all others.
MAX_RETAINED_ANSWERS = 8192
MAX_RETAINED_BYTES = 16 * 1024 * 1024

JobKey = tuple[str, str]  # class, and the id that the client gave the job


class DropReason(Enum):
    """Why an answer is no longer retained; counted as `retained.dropped.REASON`."""

    TIME = "time"  # it was retained for as long as was promised
    COUNT = "count"  # there were too many
    BYTES = "bytes"  # ids and results took too much memory


@dataclass(slots=True, frozen=True)
class RetainedAnswer:
    """The answer to a request that has ended."""

    answer: Answer
    until: float  # ms on the dispatcher's clock
    single_use_id: bool  # the id belonged to that request only: a second request with it is refused


class RetainedAnswers:
    """Retained answers by job, oldest first."""

    def __init__(self) -> None:
        self.max_bytes = MAX_RETAINED_BYTES  # of ids and results
        self.drops: Counter[DropReason] = Counter()
        self._repeatable: OrderedDict[JobKey, RetainedAnswer] = OrderedDict()
        self._run_once: OrderedDict[JobKey, RetainedAnswer] = OrderedDict()  # must not run a second time
        self._bytes = self._result_bytes = 0

    def __len__(self) -> int:
        return len(self._repeatable) + len(self._run_once)

    @property
    def size(self) -> int:
        """Bytes of all results that are retained."""
        return self._result_bytes

    def get(self, job: JobKey, now: float) -> RetainedAnswer | None:
        """Return what is retained of a job, or None if there is nothing or its time is over."""
        retained = self.find(job)
        return retained if retained is not None and retained.until > now else None

    def find(self, job: JobKey) -> RetainedAnswer | None:
        """Return what was retained of a job and has not been dropped, even if its time is over."""
        return self._run_once.get(job) or self._repeatable.get(job)

    def jobs(self) -> list[JobKey]:
        """Return the jobs of which something is retained, those that must not run again last."""
        return [*self._repeatable, *self._run_once]

    def add(self, job: JobKey, retained: RetainedAnswer, now: float, must_not_rerun: bool) -> None:
        """Retain an answer in place of any earlier one of the job, and drop what is beyond the limits."""
        self._remove(job)
        (self._run_once if must_not_rerun else self._repeatable)[job] = retained
        self._count(job, retained, 1)
        for answers in (self._repeatable, self._run_once):
            self._drop_oldest(answers, now)

    def _drop_oldest(self, answers: OrderedDict[JobKey, RetainedAnswer], now: float) -> None:
        """Drop the oldest answers whose time is over, or that are beyond the limits."""
        while answers:
            oldest = next(iter(answers))
            reason = self._drop_reason(answers[oldest], now)
            if reason is None:
                return
            self._note_drop(oldest, answers[oldest], reason, now)
            self._remove(oldest)

    def _drop_reason(self, retained: RetainedAnswer, now: float) -> DropReason | None:
        """Return why the oldest answer has to go, or None if it may stay."""
        if retained.until <= now:
            return DropReason.TIME
        if len(self) > MAX_RETAINED_ANSWERS:
            return DropReason.COUNT
        return DropReason.BYTES if self._bytes > self.max_bytes else None

    def _note_drop(self, job: JobKey, retained: RetainedAnswer, reason: DropReason, now: float) -> None:
        """Count and log that an answer is dropped."""
        self.drops[reason] += 1
        if logger.isEnabledFor(logging.DEBUG):
            fields = {
                "class": job[0], "request": job[1], "reason": reason.value, "bytes": self._bytes,
                "answers": len(self), "ms_left": round(retained.until - now),
                "must_not_rerun": job in self._run_once,
            }  # fmt: skip
            logger.debug("an answer is no longer retained", extra=fields)

    def _remove(self, job: JobKey) -> None:
        """Remove what is retained of a job, if anything is."""
        for answers in (self._repeatable, self._run_once):
            removed = answers.pop(job, None)
            if removed is not None:
                self._count(job, removed, -1)

    def _count(self, job: JobKey, retained: RetainedAnswer, sign: int) -> None:
        """Add an answer to the sums, or with `sign` -1 subtract it."""
        result_bytes = len(retained.answer.result)
        self._result_bytes += sign * result_bytes
        self._bytes += sign * (result_bytes + len(job[1]))
