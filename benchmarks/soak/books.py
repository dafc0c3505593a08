"""What clients and workers observed during a run, and the rules that are checked against it.

There is no I/O here. All times are seconds on the monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

ATTEMPT_AFTER_LEAVE_SECONDS = 0.1  # an attempt must not begin later than this after its client has closed
LATE_ANSWER_SECONDS = 0.5  # a request that is answered later than this past its deadline counts as lost
DEADLINE_SLACK_SECONDS = 0.15  # by which a worker's deadline may exceed the time that its client has left
DRAIN_GRACE_SECONDS = 0.55  # a withdrawn worker must get no new attempt later than this
# A connection that closes so soon after a request was sent may have been closed before the request was read.
CROSSING_SECONDS = 0.05
REFUSAL_STATUSES = (429, 503)  # answers after which the client may retry, as the request has not run


@dataclass(slots=True)
class RequestRecord:
    """One request as its client observed it."""

    request_id: str
    cls: str
    dispatcher: str
    sent_at: float
    timeout_seconds: float
    left_at: float | None = None  # when its client closed the connection without waiting for the answer
    status: int = 0  # HTTP status of the complete answer; 0 if there was none
    answered_at: float = 0.0
    ended_at: float | None = None  # when the connection ended without a complete answer
    reset: bool = False  # the connection ended with an error instead of an orderly close


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its worker observed it; it begins when its last byte has been received."""

    request_id: str
    worker: str
    dispatcher: str
    began_at: float
    announced_timeout: float  # seconds that the dispatcher says it will wait
    ran: bool  # False if the worker rejected it without starting


@dataclass(slots=True)
class ProcessRecord:
    """One process of a dispatcher, from SIGTERM to its end."""

    dispatcher: str
    sigterm_at: float
    exit_code: int | None = None
    killed_at: float | None = None  # when SIGKILL was sent, if it was still running then
    log: list[str] = field(default_factory=list)
    peak_mb: float = 0.0  # of its resident memory, from its start
    memory_limit_mb: float = math.inf


@dataclass(slots=True)
class Observations:
    """Everything that was observed during a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    # By dispatcher and worker: when the dispatcher was notified that the worker is no longer listed.
    withdrawn: dict[tuple[str, str], float] = field(default_factory=dict)
    max_lag_seconds: float = 0.0  # the longest delay of the event loop of the soak test itself
    answers: dict[int, int] = field(default_factory=dict)  # count by HTTP status


def find_violations(observations: Observations) -> list[str]:
    """Return one line for each violation of a rule; it starts with the name of the rule."""
    violations = [
        *_find_lost_requests(observations),
        *_find_duplicate_runs(observations),
        *_find_late_attempts(observations),
        *_find_excess_timeouts(observations),
    ]
    return violations + _find_attempts_at_withdrawn(observations) + _find_bad_exits(observations)


def count_crossed_requests(observations: Observations) -> int:
    """Count the requests that were sent while the dispatcher closed their connection, and were not read.

    Their clients can safely send them again.
    """
    return sum(not r.status and r.left_at is None for r in observations.requests.values())


def _find_lost_requests(observations: Observations) -> list[str]:
    forwarded = {a.request_id for a in observations.attempts}
    lost = []
    for request in observations.requests.values():
        if request.left_at is not None:
            continue
        if request.status:
            late = request.answered_at - request.sent_at - request.timeout_seconds
            if late > LATE_ANSWER_SECONDS + observations.max_lag_seconds:
                lost.append(f"lost: {request.request_id} was answered {late:.3f} s late")
            continue
        waited = (request.ended_at or request.sent_at) - request.sent_at
        unread = request.reset or waited <= CROSSING_SECONDS + observations.max_lag_seconds
        if request.request_id in forwarded or request.ended_at is None or not unread:
            how = "a reset" if request.reset else "an end"
            lost.append(f"lost: {request.request_id} got {how} after {waited:.3f} s, and no answer")
    return lost


def _find_duplicate_runs(observations: Observations) -> list[str]:
    run_counts: dict[str, int] = {}
    for attempt in observations.attempts:
        run_counts[attempt.request_id] = run_counts.get(attempt.request_id, 0) + attempt.ran
    violations = []
    for request in observations.requests.values():
        if request.cls != "result-post":
            continue
        run_count = run_counts.get(request.request_id, 0)
        if run_count > 1:
            violations.append(f"duplicate: {request.request_id} ran {run_count} times")
        if run_count and request.status in REFUSAL_STATUSES:
            violations.append(
                f"duplicate: {request.request_id} ran, and trying again was said to be harmless"
            )
    return violations


def _find_late_attempts(observations: Observations) -> list[str]:
    violations = []
    for attempt in observations.attempts:
        request = observations.requests.get(attempt.request_id)
        if request is None or request.left_at is None:  # None: of a hostile client
            continue
        late = attempt.began_at - request.left_at
        if late > ATTEMPT_AFTER_LEAVE_SECONDS + observations.max_lag_seconds:
            violations.append(f"lost: {request.request_id} began {late:.3f} s after its client had gone")
    return violations


def _find_excess_timeouts(observations: Observations) -> list[str]:
    violations = []
    for attempt in observations.attempts:
        request = observations.requests.get(attempt.request_id)
        if request is None:  # of a hostile client
            continue
        over = attempt.began_at + attempt.announced_timeout - (request.sent_at + request.timeout_seconds)
        if over > DEADLINE_SLACK_SECONDS + observations.max_lag_seconds:
            violations.append(f"deadline: {request.request_id} told {attempt.worker} {over:.3f} s too much")
    return violations


def _find_attempts_at_withdrawn(observations: Observations) -> list[str]:
    violations = []
    for attempt in observations.attempts:
        withdrawn_at = observations.withdrawn.get((attempt.dispatcher, attempt.worker))
        if (
            withdrawn_at is not None
            and attempt.began_at - withdrawn_at > DRAIN_GRACE_SECONDS + observations.max_lag_seconds
        ):
            late = attempt.began_at - withdrawn_at
            violations.append(f"drain: {attempt.request_id} began at {attempt.worker}, gone for {late:.3f} s")
    return violations


def _find_bad_exits(observations: Observations) -> list[str]:
    violations = []
    for process in observations.processes:
        if process.killed_at is None and process.exit_code != 0:
            violations.append(
                f"crash: {process.dispatcher} ended with {process.exit_code}: {process.log[-3:]}"
            )
        faults = [x for x in process.log if "Traceback" in x or "a fault in" in x or "invariant.broken" in x]
        violations += [f"crash: {process.dispatcher}: {line}" for line in faults[:3]]
        if process.peak_mb >= process.memory_limit_mb:
            violations.append(
                f"memory: {process.dispatcher} had {process.peak_mb} MB of {process.memory_limit_mb} MB"
            )
    return violations
