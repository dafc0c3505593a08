"""Answers that are retained for a while after their request has ended, for resubmissions of the same job."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from eiderpin.core.requests import Answer

RETENTION_MS = 60_000.0
# Further limits of what is retained; past them the oldest answers go first.
MAX_RETAINED_ANSWERS = 8192
MAX_RETAINED_BYTES = 16 * 1024 * 1024

JobKey = tuple[str, str]  # class, and the id that the client gave the job


@dataclass(slots=True, frozen=True)
class RetainedAnswer:
    """The answer to a request that has ended."""

    answer: Answer
    until: float  # ms on the dispatcher's clock
    single_use_id: bool  # the id belonged to that request only: a second request with it is refused


class RetainedAnswers:
    """Retained answers by job, oldest first."""

    def __init__(self) -> None:
        self._by_job: OrderedDict[JobKey, RetainedAnswer] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._by_job)

    @property
    def size(self) -> int:
        """Bytes of all results that are retained."""
        return self._bytes

    def get(self, job: JobKey, now: float) -> RetainedAnswer | None:
        """Return what is retained of a job, or None if there is nothing or its time is over."""
        retained = self.find(job)
        return retained if retained is not None and retained.until > now else None

    def find(self, job: JobKey) -> RetainedAnswer | None:
        """Return what was retained of a job and has not been dropped, even if its time is over."""
        return self._by_job.get(job)

    def jobs(self) -> list[JobKey]:
        """Return the jobs of which something is retained, oldest first."""
        return list(self._by_job)

    def add(self, job: JobKey, retained: RetainedAnswer, now: float) -> None:
        """Retain an answer in place of any earlier one of the job, and drop what is beyond the limits."""
        self._remove(job)
        self._by_job[job] = retained
        self._bytes += len(retained.answer.result)
        while self._by_job:
            oldest = next(iter(self._by_job))
            if self._by_job[oldest].until > now and self._is_within_limits():
                break
            self._remove(oldest)

    def _is_within_limits(self) -> bool:
        return len(self._by_job) <= MAX_RETAINED_ANSWERS and self._bytes <= MAX_RETAINED_BYTES

    def _remove(self, job: JobKey) -> None:
        """Remove what is retained of a job, if anything is."""
        removed = self._by_job.pop(job, None)
        if removed is not None:
            self._bytes -= len(removed.answer.result)
