"""Log events of requests and attempts: the same fields everywhere, so that one id can be followed through.

`request` is the id that servers and clients know, `attempt` its number from 0, times are in milliseconds.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import Any

from eiderpin.core.requests import Attempt, Request

logger = logging.getLogger("eiderpin")


class EndReason(Enum):
    """Why a request ended. Counted as `end.REASON`."""

    RESULT = "result"
    LATE_RESULT = "late_result"  # of an attempt that had been counted as ended
    REFUSED = "refused"  # by the decisions: trying again is harmless
    FAILED = "failed"  # by the decisions: it may have run
    OVERDUE = "overdue"  # the decisions gave no answer by its deadline
    CLIENT_LEFT = "client_left"
    NO_ROOM = "no_room"  # the table of requests is full
    NOT_DURABLE = "not_durable"  # the disk of durable jobs does not take it


class AttemptState(Enum):
    """How far an attempt has come, as logs tell it."""

    UNSENT = "unsent"  # its last byte has not been written
    SENT = "sent"
    ACCEPTED = "accepted"  # its server has said that it took the request
    ENDED = "ended"


def state_of(attempt: Attempt) -> AttemptState:
    """How far this attempt has come."""
    if attempt.ended:
        return AttemptState.ENDED
    if attempt.accepted:
        return AttemptState.ACCEPTED
    return AttemptState.SENT if attempt.may_have_run else AttemptState.UNSENT


def request_fields(request: Request) -> dict[str, Any]:
    """What identifies a request in a log event."""
    return {"request": request.wire_id or request.unique, "class": request.cls}


def attempt_fields(attempt: Attempt) -> dict[str, Any]:
    """What identifies an attempt in a log event."""
    return {
        **request_fields(attempt.request),
        "attempt": attempt.number,
        "worker": attempt.endpoint.name,
    }


def attempts_summary(request: Request) -> str:
    """All attempts at a request, as `worker:state` in the order of their numbers."""
    return ",".join(f"{a.endpoint.name}:{state_of(a).value}" for a in request.attempts) or "none"


def attempt_event(text: str, attempt: Attempt, **fields: Any) -> None:
    """One step of an attempt, told at debug level."""
    if logger.isEnabledFor(logging.DEBUG):
        logger.debug(text, extra={**attempt_fields(attempt), **fields})


def request_event(text: str, request: Request, level: int = logging.DEBUG, **fields: Any) -> None:
    """One step of a request, with its attempts."""
    if logger.isEnabledFor(level):
        extra = {**request_fields(request), "attempts": attempts_summary(request), **fields}
        logger.log(level, text, extra=extra)
