"""Stages of a dispatcher's start: how current its knowledge is, and what share of its usual traffic it asks
for meanwhile. Rules without I/O or a clock of their own; times in ms.

A dispatcher serves without waiting for the store. Until it has reached the store, the overrides and the
configuration on the member's own disk apply, and it asks for less traffic. After `STORE_WAIT_MS` without the
store it asks for its full share again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

STORE_WAIT_MS = 10_000.0  # without the store, a start with a worker list asks for less at most this long
STEPS = ("listed", "caught_up", "known")  # the steps of a start, see `RejoinProgress.record`


class Stage(Enum):
    """How far a start has come."""

    BLANK = "blank"  # no worker list yet: what is known of the workers is from an earlier incarnation
    LISTED = "listed"  # the workers are known; overrides and configuration are those on the member's own disk
    ALONE = "alone"  # as LISTED, but the store has not been reached within STORE_WAIT_MS
    CAUGHT_UP = "caught up"  # both are current, but other dispatchers do not know yet that this one is live
    WHOLE = "whole"  # all steps are done


TRAFFIC_PERCENT = {
    Stage.BLANK: 25,
    Stage.LISTED: 50,
    Stage.ALONE: 100,
    Stage.CAUGHT_UP: 75,
    Stage.WHOLE: 100,
}


@dataclass(slots=True)
class RejoinProgress:
    """Progress of one start. A step counts from the first time that it is reached and is never undone; only a
    new process starts over."""

    started_at: float
    reached_at: dict[str, float] = field(default_factory=dict)

    def record(self, now: float, listed: bool, caught_up: bool, known: bool) -> bool:
        """Record which steps hold now.

        Args:
            now: The time, in ms.
            listed: The worker list has arrived since the start.
            caught_up: The store has confirmed that the local copy of its documents is current.
            known: Other dispatchers know that this one is live.

        Returns:
            Whether this call completed the start.
        """
        before = self.stage(now)
        for step, reached in zip(STEPS, (listed, caught_up, known), strict=True):
            if reached:
                self.reached_at.setdefault(step, now)
        return before is not Stage.WHOLE and self.stage(now) is Stage.WHOLE

    def stage(self, now: float) -> Stage:
        """How far the start has come by now."""
        if "listed" not in self.reached_at:
            return Stage.BLANK
        if "caught_up" not in self.reached_at:
            return Stage.LISTED if now < self.started_at + STORE_WAIT_MS else Stage.ALONE
        return Stage.WHOLE if "known" in self.reached_at else Stage.CAUGHT_UP

    def traffic_percent(self, now: float) -> int:
        """Share of its usual traffic that the dispatcher asks for now, in per cent."""
        return TRAFFIC_PERCENT[self.stage(now)]

    def max_age_ms(self, step: str, now: float) -> float:
        """Upper bound, in ms, on the age of what depends on this step. It is infinite until the step is
        reached, for the data may be from an earlier incarnation."""
        return now - self.reached_at[step] if step in self.reached_at else float("inf")

    def step_times_ms(self) -> dict[str, int]:
        """Time from the start to each step reached so far, in ms."""
        return {
            step: int(self.reached_at[step] - self.started_at) for step in STEPS if step in self.reached_at
        }
