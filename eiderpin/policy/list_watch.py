"""When to ask discovery for the list of workers."""

from __future__ import annotations

import math
import random

from eiderpin import interface as api

# Upper limit of the time from the start of a failed call to the next call. 6 s after discovery has a change
# and can be reached, that change counts as delivered, whether it was received or not.
MAX_CALL_INTERVAL_MS = 4500.0
# The same after a late call: the answer to the next one may take 2 s, and must come within these 6 s, too.
MAX_LATE_CALL_INTERVAL_MS = 3900.0
MIN_RETRY_SPREAD_MS = 400.0  # over which the next calls of a fleet are spread at least, after late ones
FIRST_CALLS_SHARE = 0.18  # share of `ask_within` over which a fleet's first calls are spread
# Upper limit of the time between the first calls of two instances: one that starts alone need not wait for
# others.
MAX_FIRST_CALL_GAP_MS = 75.0
FIRST_BACKOFF_SHARE = 0.15  # of `ask_within`, after a first failure; doubles with each failure in a row
MAX_BACKOFF_SHARE = 0.5  # of `ask_within`, upper limit of the doubled back-off


class ListWatch:
    """Keeps one watch on the worker list where it has to be asked for. All times are in ms."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        """Create a watch that makes no call before `start`. `rng` spreads the calls of a fleet over time."""
        self._settings = settings
        self._rng = rng
        self._call_began_at = -math.inf  # of the call that is not answered yet
        self._next_call_at = math.inf
        self._backoff_ms = 0.0

    def start(self, now: float) -> None:
        """Schedule the first call, if the list has to be asked for.

        Instances that start together take turns, as they would overload the one list service.
        """
        settings = self._settings
        if settings.must_ask:
            spread = min(FIRST_CALLS_SHARE * settings.ask_within, MAX_FIRST_CALL_GAP_MS * settings.instances)
            self._next_call_at = now + spread * (settings.instance + self._rng.random()) / settings.instances

    def record_answer(self) -> None:
        """Record that discovery has answered: the watch is active."""
        self._next_call_at, self._backoff_ms = math.inf, 0.0
        self._call_began_at = -math.inf

    def record_failure(self, now: float, late_call_ms: float | None = None) -> None:
        """Record that a call has failed, or that the watch has ended, and schedule the next call.

        `late_call_ms`: the call began so long ago and is only late, so the next one is made beside it.
        """
        if not self._settings.must_ask:
            return
        if late_call_ms is None:
            self._schedule_retry(now)
        else:
            longest = max(MAX_LATE_CALL_INTERVAL_MS - late_call_ms, MIN_RETRY_SPREAD_MS)
            self._schedule_call(now, self._next_backoff(), longest)
        self._call_began_at = -math.inf

    def _schedule_retry(self, now: float) -> None:
        """Schedule the next call after a failed one.

        It begins within MAX_CALL_INTERVAL_MS of the start of the failed one, unless that took more than half
        of this time.
        """
        lasted = (
            min(max(now - self._call_began_at, 0.0), MAX_CALL_INTERVAL_MS / 2)
            if self._call_began_at > 0
            else 0.0
        )
        self._schedule_call(now, self._next_backoff(), MAX_CALL_INTERVAL_MS - lasted)

    def _next_backoff(self) -> float:
        """Return the mean time before the next call, which doubles with each failure in a row."""
        ask_within = self._settings.ask_within
        wait = max(self._backoff_ms, FIRST_BACKOFF_SHARE * ask_within)
        self._backoff_ms = min(2 * wait, MAX_BACKOFF_SHARE * ask_within)
        return wait

    def _schedule_call(self, now: float, mean: float, longest: float) -> None:
        """Schedule the next call after a random time between a half and one and a half of `mean`.

        It is at most `longest`.
        """
        self._next_call_at = now + min(mean, longest / 1.5) * (0.5 + self._rng.random())

    def begin_call_if_due(self, now: float) -> bool:
        """Begin a call for the list if one is due, and return whether it has to be made now.

        A call that is not answered within `ask_within` is given up, and the next one is due at once.
        """
        if self._call_began_at > -math.inf and now - self._call_began_at > self._settings.ask_within:
            self._call_began_at, self._next_call_at = -math.inf, now  # the answer never came
        if now < self._next_call_at or self._call_began_at > -math.inf:
            return False
        self._call_began_at, self._next_call_at = now, math.inf
        return True

    def next_at(self) -> float:
        """Return the time at which something is due here without an event; infinity: never."""
        due = self._next_call_at
        if self._call_began_at > -math.inf:
            due = min(due, self._call_began_at + self._settings.ask_within + self._settings.tick)
        return due
