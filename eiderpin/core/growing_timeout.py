"""A time limit for calls of which one is made at a time, and made again if it has no answer."""

from __future__ import annotations

ANSWER_FACTOR = 2.0  # of the limit over the time that the last answer took
TIMEOUT_FACTOR = 2.0  # by which the limit grows with each call without an answer


class GrowingTimeout:
    """The limit of the next call: it grows with each call that has no answer in time, up to a bound.

    Under a limit that stays the same, an answer that takes longer would never be received, however often the
    call is made. An answer sets the limit back to what such answers need.
    """

    def __init__(self, first_ms: float, max_ms: float) -> None:
        """Begin with `first_ms`, which is also the lower limit."""
        self._first_ms, self._max_ms = first_ms, max_ms
        self.limit_ms = first_ms

    def record_answer(self, took_ms: float) -> None:
        """Record that a call was answered after this time."""
        self.limit_ms = min(max(ANSWER_FACTOR * took_ms, self._first_ms), self._max_ms)

    def record_timeout(self) -> None:
        """Record that a call had no answer within the limit."""
        self.limit_ms = min(TIMEOUT_FACTOR * self.limit_ms, self._max_ms)
