"""Membership changes that the leader cannot make yet, such as one that comes before an earlier one is
committed. Pure; times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from eiderpin.store.messages import MembershipRequest

MAX_DEFERRED = 16  # further requests are refused at once
DEFER_MS = 5_000.0  # after this a request is refused with the reason why it could not be made


@dataclass(slots=True, frozen=True)
class DeferredChange:
    """A request that is tried again until `until`; `reason` says why it could not be made."""

    request: MembershipRequest
    reason: str
    until: float


class DeferredChanges:
    """The requests that are to be tried again, in their order."""

    def __init__(self) -> None:
        """Begin without any."""
        self._changes: list[DeferredChange] = []

    def add(self, request: MembershipRequest, reason: str, now: float, until: float | None = None) -> bool:
        """Defer a request; return whether it was deferred.

        `until`: the time from an earlier deferral of the same request.
        """
        until = now + DEFER_MS if until is None else until
        if len(self._changes) >= MAX_DEFERRED or now >= until:
            return False
        self._changes.append(DeferredChange(request, reason, until))
        return True

    def take(self) -> list[DeferredChange]:
        """Return all deferred requests, which are then no longer deferred."""
        changes, self._changes = self._changes, []
        return changes
