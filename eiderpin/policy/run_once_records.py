"""How long the record of a job that must not run twice is kept, and what happens without room for it.

The design page `docs/design/run_once_records.md` gives the promise and its limits.
"""

from __future__ import annotations

from enum import IntEnum

from eiderpin.interface import Repeat, RequestClass

RETENTION_MS = 60_000.0  # for a client to come again after it has given up waiting
MAX_DEADLINE_MS = 86_400_000.0  # a class's deadline counts as no longer than this: it may be infinite


class ResultPriority(IntEnum):
    """How much the result of an ended job may still be needed; the lowest is dropped first."""

    SINGLE_USE_ID = 0  # its client has a new id for each request, so it does not ask by this one again
    REPEATABLE = 1  # the job may run again
    DELIVERED = 2  # the job must not run again, and a client waited for the result, or none wanted to
    UNDELIVERED = 3  # the job must not run again, and its clients had left before the result came


def must_not_rerun(request_class: RequestClass) -> bool:
    """Return whether a job of this class must not run again once it may have run."""
    return request_class.repeat is not Repeat.FREE


def retention_ms(request_class: RequestClass, single_use_id: bool) -> float:
    """Return for how long the record of an ended job is kept, in ms from its end or its last resubmission.

    A client that has lost its connection without noticing waits until its own deadline, and comes again then:
    the record of a job that must not run again lasts `RETENTION_MS` longer than that.
    """
    if single_use_id or not must_not_rerun(request_class):
        return RETENTION_MS
    return min(request_class.deadline, MAX_DEADLINE_MS) + RETENTION_MS


def result_priority(run_once: bool, single_use_id: bool, is_delivered: bool) -> ResultPriority:
    """Return how much the result of an ended job may still be needed."""
    if single_use_id:
        return ResultPriority.SINGLE_USE_ID
    if not run_once:
        return ResultPriority.REPEATABLE
    return ResultPriority.DELIVERED if is_delivered else ResultPriority.UNDELIVERED


def may_accept_run_once(held_bytes: int, needed_bytes: int, limit_bytes: int) -> bool:
    """Return whether a job that must not run twice may be accepted: there has to be room for its record.

    A record that exists is never dropped before its time, so a new job is rejected instead, before it runs.

    Args:
        held_bytes: Of all records, of ended jobs and of those that are open.
        needed_bytes: Of the new job's record.
        limit_bytes: Of all records together.
    """
    return held_bytes + needed_bytes <= limit_bytes
