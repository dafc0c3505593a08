"""Log events of requests and attempts, with the same fields everywhere, so that one request can be traced.

`request` is the id that workers and clients see, `attempt` its number from 0; times are in milliseconds.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import Any

from eiderpin.core.requests import Attempt, Request

logger = logging.getLogger("eiderpin")


class EndReason(Enum):
    """Why a request ended; counted as `end.REASON`."""

    RESULT = "result"
    LATE_RESULT = "late_result"  # the result of an attempt that had been counted as ended
    REFUSED = "refused"  # by the decision module; a retry is harmless
    FAILED = "failed"  # by the decision module; the request may have run
    OVERDUE = "overdue"  # the decision module gave no answer by its deadline
    CLIENT_LEFT = "client_left"
    AT_PEER = "at_peer"  # a peer process had the job
    OVERDUE_AT_PEER = "overdue_at_peer"  # no answer of the peer process came by its deadline
    NO_ROOM = "no_room"  # the table of requests is full
    NO_RECORD_ROOM = "no_record_room"  # there is no memory for the record that it must not run again
    NOT_DURABLE = "not_durable"  # it could not be stored as a durable job


class AttemptState(Enum):
    """How far an attempt has come, as log events name it."""

    UNSENT = "unsent"  # it has not been written in full
    SENT = "sent"
    ACCEPTED = "accepted"  # its worker has confirmed that it has the request
    ENDED = "ended"


def state_of(attempt: Attempt) -> AttemptState:
    """Return how far an attempt has come."""
    if attempt.ended:
        return AttemptState.ENDED
    if attempt.accepted:
        return AttemptState.ACCEPTED
    return AttemptState.SENT if attempt.may_have_run else AttemptState.UNSENT


def request_fields(request: Request) -> dict[str, Any]:
    """Return the log fields that identify a request."""
    return {"request": request.wire_id or request.unique, "class": request.cls}


def attempt_fields(attempt: Attempt) -> dict[str, Any]:
    """Return the log fields that identify an attempt."""
    return {
        **request_fields(attempt.request),
        "attempt": attempt.number,
        "worker": attempt.endpoint.name,
    }


def attempts_summary(request: Request) -> str:
    """Return all attempts of a request as `worker:state`, in the order of their numbers."""
    return ",".join(f"{a.endpoint.name}:{state_of(a).value}" for a in request.attempts) or "none"


def attempt_event(text: str, attempt: Attempt, **fields: Any) -> None:
    """Log one step of an attempt at debug level."""
    if logger.isEnabledFor(logging.DEBUG):
        logger.debug(text, extra={**attempt_fields(attempt), **fields})


def request_event(text: str, request: Request, level: int = logging.DEBUG, **fields: Any) -> None:
    """Log one step of a request, with its attempts."""
    if logger.isEnabledFor(level):
        extra = {**request_fields(request), "attempts": attempts_summary(request), **fields}
        logger.log(level, text, extra=extra)
