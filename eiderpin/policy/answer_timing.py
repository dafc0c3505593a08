"""How long discovery may take for an answer. All times are in ms.

A call whose answer is late is not closed: another call is made beside it, and the first sound answer of
either counts. So a slow answer is received, and a call that will never be answered does not keep the next
one waiting. Only two calls may be open, so a third one replaces one of them; see `AnswerTiming.hold_ms`.
"""

from __future__ import annotations

# Beyond its own wait, an answer is late after this time, or after the slowest recent answer with a margin.
MIN_LIMIT_MS = 700.0
# Upper limit: a watch of 2 s that falls silent, its limit, and an answer that takes 2 s end within 6 s.
MAX_LIMIT_MS = 1500.0
LIMIT_FACTOR = 1.5  # of the limit over the slowest recent answer
SLOWEST_DECAY = 0.75  # of the slowest recent answer, with each further answer
# The time for which the older of two late calls is kept, beyond its own wait.
FIRST_HOLD_LIMITS = 2.0  # in limits: the watch may be silent for good, and the call after it needs its turn
HOLD_MS = 3000.0
HOLD_FACTOR = 1.25  # of that time over the slowest recent answer
# After so many calls without an answer, and whenever their number has doubled, one is held for longer, each
# time for twice as long. In between, a discovery that comes back is noticed as soon as before.
FIRST_LONG_HOLD = 8
LONG_HOLD_FACTOR = 0.25  # of the long hold over HOLD_MS, for each of these calls
MAX_HOLD_MS = 60_000.0
# The time of each other call during a long hold, in which none is kept: answers that take 2 s still come.
LONG_HOLD_CALL_MS = 2500.0


class AnswerTiming:
    """The limits of calls to one discovery: they follow its recent answers, and grow while there are none."""

    def __init__(self) -> None:
        """Begin without an answer."""
        self._slowest_ms = 0.0  # of the recent answers, with a decay
        self._unanswered = 0  # calls that were held and given up since the last answer

    @property
    def limit_ms(self) -> float:
        """The time beyond a call's wait after which its answer is late."""
        return min(max(LIMIT_FACTOR * self._slowest_ms, MIN_LIMIT_MS), MAX_LIMIT_MS)

    def call_limit_ms(self, wait_ms: float) -> float:
        """The time from the beginning of a call to another one beside it; the call may wait for `wait_ms`."""
        limit_ms = wait_ms + self.limit_ms
        if self._unanswered and self.hold_ms > HOLD_MS:
            return max(limit_ms, LONG_HOLD_CALL_MS)
        return limit_ms

    @property
    def hold_ms(self) -> float:
        """The time beyond its wait for which the older of two late calls is kept.

        Until then a third call replaces the younger one; after it, the older one.
        """
        hold_ms = HOLD_MS
        if not self._unanswered:
            hold_ms = FIRST_HOLD_LIMITS * self.limit_ms
        elif self._is_long_hold():
            hold_ms = LONG_HOLD_FACTOR * HOLD_MS * self._unanswered
        return min(max(hold_ms, HOLD_FACTOR * self._slowest_ms), MAX_HOLD_MS)

    def _is_long_hold(self) -> bool:
        """Return whether the unanswered calls are FIRST_LONG_HOLD, a power of two, or have doubled since."""
        number = self._unanswered
        return number >= FIRST_LONG_HOLD and number & (number - 1) == 0

    def record_answer(self, took_ms: float | None) -> None:
        """Record a sound answer that took this time beyond the call's wait; None: the time is not known."""
        self._unanswered = 0
        if took_ms is not None:
            self._slowest_ms = max(took_ms, SLOWEST_DECAY * self._slowest_ms)

    def record_unanswered(self) -> None:
        """Record that a call was held for `hold_ms` and given up without an answer."""
        self._unanswered += 1
