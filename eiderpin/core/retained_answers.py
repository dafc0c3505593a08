"""What is retained of ended requests for resubmissions of the same job.

Of a job that must not run again the id is retained until its time is over, whatever else there is to retain.
Its result, and all that is retained of jobs that may run again, is dropped earlier where there is too much of
it. A resubmission of a job whose id is retained without its result is told that the job has failed. See
`docs/design/run_once_records.md`.
"""

from __future__ import annotations

import logging
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from eiderpin.core.requests import FAILED, Answer, Verdict
from eiderpin.core.run_once_ids import IdGroup, JobKey, RunOnceIds, stored_key
from eiderpin.policy.run_once_records import ResultPriority, result_priority

logger = logging.getLogger("eiderpin")

# Further limits of answers, which do not hold for the ids of jobs that must not run again.
MAX_RETAINED_ANSWERS = 8192
MAX_RETAINED_BYTES = 16 * 1024 * 1024
ANSWER_OVERHEAD_BYTES = 512  # of memory for an answer beside its result


class DropReason(Enum):
    """Why an answer is no longer retained; counted as `retained.dropped.REASON`."""

    TIME = "time"  # it was retained for as long as was promised
    COUNT = "count"  # there were too many
    BYTES = "bytes"  # ids and answers took too much memory


@dataclass(slots=True, frozen=True)
class RetainedAnswer:
    """The answer to a request that has ended."""

    answer: Answer
    until: float  # ms on the dispatcher's clock
    single_use_id: bool  # the id belonged to that request only: a second request with it is refused


class RetainedAnswers:
    """Retained answers, and ids of jobs that must not run again, by job."""

    def __init__(self) -> None:
        """Begin without any."""
        self.max_bytes = MAX_RETAINED_BYTES  # of ids and answers
        self.drops: Counter[DropReason] = Counter()
        self.drops_of_run_once = 0  # answers of jobs that must not run again, dropped before their time
        self.ids = RunOnceIds()
        self._answers: dict[ResultPriority, OrderedDict[JobKey, RetainedAnswer]] = {
            priority: OrderedDict() for priority in ResultPriority
        }
        self._answer_count = self._answer_bytes = self._result_bytes = 0

    def __len__(self) -> int:
        """Return the number of answers."""
        return self._answer_count

    @property
    def size(self) -> int:
        """Bytes of all results that are retained."""
        return self._result_bytes

    def get(self, job: JobKey, now: float) -> RetainedAnswer | None:
        """Return what is retained of a job, or None if there is nothing or its time is over.

        Without its answer, a job that must not run again counts as failed.
        """
        job = stored_key(job)
        retained = self._answer_of(job)
        if retained is not None and retained.until > now:
            return retained
        group = self.ids.find(job, now)
        return RetainedAnswer(FAILED, group.until, group.single_use_id) if group is not None else None

    def _answer_of(self, job: JobKey) -> RetainedAnswer | None:
        """Return the answer to a job, by its stored key, even if its time is over."""
        for answers in self._answers.values():
            retained = answers.get(job)
            if retained is not None:
                return retained
        return None

    def items(self, now: float) -> Iterator[tuple[JobKey, IdGroup | RetainedAnswer]]:
        """Return all jobs of which something is retained, each with its time and whose id it is.

        Jobs that must not run again come last.
        """
        for answers in self._answers.values():
            for job, retained in answers.items():
                if retained.until > now and self.ids.find(job, now) is None:
                    yield job, retained
        yield from self.ids.items(now)

    def jobs_with_answers(self) -> list[JobKey]:
        """Return the jobs whose answers are retained, those that may be needed most last."""
        return [job for answers in self._answers.values() for job in answers]

    def add(
        self,
        job: JobKey,
        retained: RetainedAnswer,
        now: float,
        must_not_rerun: bool,
        is_delivered: bool = True,
    ) -> None:
        """Retain an answer in place of any earlier one of the job, and drop what is beyond the limits.

        `is_delivered`: a client waited for it, or none wanted to.
        """
        job = stored_key(job)
        self._remove_answer(job)
        if must_not_rerun:
            self.ids.add(job, retained.until, retained.single_use_id)
        if retained.answer.verdict is Verdict.SERVED or not must_not_rerun:
            priority = result_priority(must_not_rerun, retained.single_use_id, is_delivered)
            self._answers[priority][job] = retained
            self._count(retained, 1)
        self.drop_excess(now)

    def renew(self, job: JobKey, until: float) -> None:
        """Retain what there is of a job that must not run again until a later time."""
        key = stored_key(job)
        for answers in self._answers.values():
            retained = answers.get(key)
            if retained is not None and retained.until < until:
                answers[key] = replace(retained, until=until)
                answers.move_to_end(key)
        self.ids.add(key, until)

    def drop_excess(self, now: float) -> None:
        """Drop ids and answers whose time is over, and the answers that are beyond the limits."""
        self.ids.expire(now)
        for priority, answers in self._answers.items():
            while answers:
                oldest = next(iter(answers))
                reason = self._drop_reason(answers[oldest], now)
                if reason is None:
                    break
                self._note_drop(oldest, answers[oldest], priority, reason, now)
                self._count(answers.pop(oldest), -1)

    def _drop_reason(self, retained: RetainedAnswer, now: float) -> DropReason | None:
        """Return why the oldest answer has to go, or None if it may stay."""
        if retained.until <= now:
            return DropReason.TIME
        if len(self) > MAX_RETAINED_ANSWERS:
            return DropReason.COUNT
        limit = min(MAX_RETAINED_BYTES, self.max_bytes - self.ids.size_bytes)
        return DropReason.BYTES if self._answer_bytes > limit else None

    def _note_drop(
        self, job: JobKey, retained: RetainedAnswer, priority: ResultPriority, reason: DropReason, now: float
    ) -> None:
        """Count and log that an answer is dropped."""
        self.drops[reason] += 1
        is_run_once = priority in (ResultPriority.DELIVERED, ResultPriority.UNDELIVERED)
        if is_run_once and reason is not DropReason.TIME:
            self.drops_of_run_once += 1
        if logger.isEnabledFor(logging.DEBUG):
            fields = {
                "class": job[0], "request": job[1], "reason": reason.value, "priority": priority.name.lower(),
                "bytes": self._answer_bytes, "answers": len(self), "ms_left": round(retained.until - now),
            }  # fmt: skip
            logger.debug("an answer is no longer retained", extra=fields)

    def _remove_answer(self, job: JobKey) -> None:
        """Remove the answer to a job, by its stored key, if it is retained."""
        for answers in self._answers.values():
            removed = answers.pop(job, None)
            if removed is not None:
                self._count(removed, -1)

    def _count(self, retained: RetainedAnswer, sign: int) -> None:
        """Add an answer to the sums, or with `sign` -1 subtract it."""
        result_bytes = len(retained.answer.result)
        self._answer_count += sign
        self._result_bytes += sign * result_bytes
        self._answer_bytes += sign * (result_bytes + ANSWER_OVERHEAD_BYTES)
