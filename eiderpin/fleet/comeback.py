"""The stages of a start: what a dispatcher that comes back knows, how old that is at the most, and what share
of the traffic it asks for meanwhile. Rules without I/O or a clock of their own; times in ms.

Serving never waits for the store. While it has yet to be heard, what the member's own disk says of orders and
configuration is followed as it was, and the dispatcher asks for less; after `ALONE` it goes on without.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

ALONE = 10_000.0  # for which a start defers to a store that is not heard
STEPS = ("listed", "caught_up", "known")  # what a start comes to, each once


class Stage(Enum):
    """How far a start has come."""

    BLANK = "blank"  # no list of workers has come: what is known is of a former life
    LISTED = "listed"  # the workers are known; orders and configuration are of the member's own disk
    ALONE = "alone"  # so still, and the store has not been heard for long: it is served all the same
    CAUGHT_UP = "caught up"  # both are current; others do not know yet that we are there
    WHOLE = "whole"


SHARES = {Stage.BLANK: 25, Stage.LISTED: 50, Stage.ALONE: 100, Stage.CAUGHT_UP: 75, Stage.WHOLE: 100}


@dataclass(slots=True)
class RejoinProgress:
    """One start. `note` what has been reached; each step counts from its first time, and a step may be gone
    back on only by a new process."""

    begun: float
    at: dict[str, float] = field(default_factory=dict)

    def note(self, now: float, listed: bool, caught_up: bool, known: bool) -> bool:
        """What holds now: the list of workers has been told since we began; the store has confirmed that what
        our member holds is current; the others have been told that we are there. Whether we are whole just
        now, for the first time."""
        before = self.stage(now)
        for step, reached in zip(STEPS, (listed, caught_up, known), strict=True):
            if reached:
                self.at.setdefault(step, now)
        return before is not Stage.WHOLE and self.stage(now) is Stage.WHOLE

    def stage(self, now: float) -> Stage:
        """How far the start has come by now."""
        if "listed" not in self.at:
            return Stage.BLANK
        if "caught_up" not in self.at:
            return Stage.LISTED if now < self.begun + ALONE else Stage.ALONE
        return Stage.WHOLE if "known" in self.at else Stage.CAUGHT_UP

    def traffic_percent(self, now: float) -> int:
        """Per cent of the traffic that it would take when whole."""
        return SHARES[self.stage(now)]

    def age(self, step: str, now: float) -> float:
        """How old at the most what depends on this step is: of a former life, it may be of any age."""
        return now - self.at[step] if step in self.at else float("inf")

    def took(self) -> dict[str, int]:
        """ms from our beginning to each step that has been reached."""
        return {step: int(self.at[step] - self.begun) for step in STEPS if step in self.at}
