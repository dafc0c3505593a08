"""When to ask discovery for the list of workers, and whether a stored list may be used yet."""

from __future__ import annotations

import math
import random

from eiderpin import interface as api

# Limit of the time from the start of a failed call to the next call: 6 s after discovery has a change and can
# be reached, that change counts as delivered, whether it was received or not.
MAX_CALL_INTERVAL_MS = 4500.0
FIRST_CALLS_SHARE = 0.15  # share of `ask_within` over which a fleet's first calls are spread
MAX_FIRST_CALL_GAP_MS = 50.0  # between first calls: an instance that starts alone need not wait for others
FIRST_BACKOFF_SHARE = 0.05  # of `ask_within`, after a first failure; doubles with each failure in a row
MAX_BACKOFF_SHARE = 0.5  # of `ask_within`
SERVICE_ANSWER_MS = 300.0  # a list service answers a first call within this time unless down or overloaded
AGENT_ANSWER_MS = 700.0  # the same for an agent on this host, which is silent only while discovery is down


class ListWatch:
    """Keeps one watch on the worker list where it has to be asked for, and holds back a stored list.

    A process begins with the list that the previous process stored. What has changed since then counts as
    delivered from its first moment, so nothing is sent by that list until discovery has answered. Where the
    first call fails or is not answered in time, discovery cannot be reached. The stored list is then used,
    as it is better than none. All times are in ms.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._call_began_at = -math.inf  # of the call that is not answered yet
        self._next_call_at = math.inf
        self._backoff_ms = 0.0
        self._held_until = -math.inf

    def start(self, now: float) -> None:
        """Schedule the first call. Instances that start together take turns, or they would overload the one
        list service."""
        settings = self._settings
        if settings.must_ask:
            spread = min(FIRST_CALLS_SHARE * settings.ask_within, MAX_FIRST_CALL_GAP_MS * settings.instances)
            self._next_call_at = now + spread * (settings.instance + self._rng.random()) / settings.instances

    def record_list(self, event: api.Membership, now: float) -> None:
        """Record that a list has come from discovery, or that a call for it has failed."""
        if event.kind is api.ListKind.STORED:
            self._hold_stored_list(event, now)
            return
        self._held_until = -math.inf
        if not self._settings.must_ask:
            return
        if event.kind is api.ListKind.FAILED:
            self._schedule_retry(now)
        else:
            self._next_call_at, self._backoff_ms = math.inf, 0.0
        self._call_began_at = -math.inf

    def _hold_stored_list(self, event: api.Membership, now: float) -> None:
        if event.is_being_asked:
            self._held_until = now + AGENT_ANSWER_MS
        elif self._settings.must_ask:
            self._held_until = math.inf  # `begin_call_if_due` sets the limit

    def _schedule_retry(self, now: float) -> None:
        ask_within = self._settings.ask_within
        wait = max(self._backoff_ms, FIRST_BACKOFF_SHARE * ask_within)
        self._backoff_ms = min(2 * wait, MAX_BACKOFF_SHARE * ask_within)
        lasted = (
            min(max(now - self._call_began_at, 0.0), MAX_CALL_INTERVAL_MS / 2)
            if self._call_began_at > 0
            else 0.0
        )
        self._next_call_at = now + min(wait, (MAX_CALL_INTERVAL_MS - lasted) / 1.5) * (
            0.5 + self._rng.random()
        )

    def begin_call_if_due(self, now: float) -> bool:
        """Whether a call for the list is to begin now; if so, it counts as begun."""
        if self._call_began_at > -math.inf and now - self._call_began_at > self._settings.ask_within:
            self._call_began_at, self._next_call_at = -math.inf, now  # the answer never came
        if now < self._next_call_at or self._call_began_at > -math.inf:
            return False
        self._call_began_at, self._next_call_at = now, math.inf
        self._held_until = min(self._held_until, now + SERVICE_ANSWER_MS)
        return True

    def holds_stored_list(self, now: float) -> bool:
        """Whether workers known only from a stored list are not to be used yet."""
        return now < self._held_until

    def next_at(self, now: float) -> float:
        """When this has to be looked at again without an event; infinity: never."""
        due = self._next_call_at
        if self._call_began_at > -math.inf:
            due = min(due, self._call_began_at + self._settings.ask_within + self._settings.tick)
        if self.holds_stored_list(now):
            due = min(due, self._held_until)
        return due
