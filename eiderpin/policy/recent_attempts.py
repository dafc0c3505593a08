"""Attempts at a worker that have ended a moment ago: a load report may be older than their end."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

REPORT_AGE_MS = 150.0  # assumed age of a report on arrival; what we have sent since then is added to it


@dataclass(slots=True, frozen=True)
class EndedAttempt:
    """An attempt that has ended. Times are in ms."""

    sent_at: float
    ended_at: float
    slots: float  # that it took up


class RecentAttempts:
    """Our attempts at one worker that ended within the last `REPORT_AGE_MS`; no report is older than that."""

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        """Begin without any."""
        self._ended: deque[EndedAttempt] = deque()  # oldest end first

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._ended)

    def add(self, sent_at: float, now: float, slots: float) -> None:
        """Note an attempt that ends now."""
        self._drop_old(now)
        self._ended.append(EndedAttempt(sent_at, now, slots))

    def slots_held_at(self, observed_at: float, now: float) -> float:
        """Return the slots that attempts took up at a time of observation, and have freed since."""
        self._drop_old(now)
        return sum(a.slots for a in self._ended if a.sent_at <= observed_at < a.ended_at)

    def _drop_old(self, now: float) -> None:
        while self._ended and self._ended[0].ended_at <= now - REPORT_AGE_MS:
            self._ended.popleft()
