"""Translation of wall-clock times, such as a worker's start, to the dispatcher's steady clock.

The wall clock may step by seconds or by an hour, in either direction. A wall-clock time means the moment at
which the wall clock showed it, and a later step does not move that moment. So every offset between the two
clocks is stored with the period in which it was observed, and a time is translated by the offset that applied
then. Where several offsets fit, the latest moment is taken: it is safer to treat a worker as younger, and
therefore cold, than as warm.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from eiderpin.core.deadlines import Clock

MIN_STEP_MS = 200.0  # a smaller change of the offset is not counted as a step
# Two readings that are further apart do not give the offset: the process was stalled between them.
MAX_READING_GAP_MS = 5.0
MAX_SAMPLE_TRIES = 3
MAX_OFFSETS = 16  # when there are more, the oldest is dropped
MAX_FUTURE_MS = 1000.0  # by which a time may lie ahead of the dispatcher's clock and still be taken as it is


def read_wall() -> float:
    """Return the wall clock as Unix time in ms."""
    return time.time() * 1000.0


@dataclass(slots=True)
class Offset:
    """Wall-clock time minus steady time, in ms, and the steady times of its first and last observation."""

    value: float
    first_seen: float
    last_seen: float


class WallClock:
    """Translates wall-clock times to times of a steady clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        now = clock.now()
        self.offsets = [Offset(0.0, now, now)]  # oldest first; the clock starts at the wall clock's time

    def sample(self) -> None:
        """Record the present offset. To be called every few seconds."""
        for _ in range(MAX_SAMPLE_TRIES):
            before = self._clock.now()
            wall = read_wall()
            now = self._clock.now()
            if now - before <= MAX_READING_GAP_MS:
                self._note(wall - before, now)
                return

    def _note(self, value: float, now: float) -> None:
        """Extend the last offset's period, or begin a new one if the wall clock has stepped."""
        last = self.offsets[-1]
        if abs(value - last.value) < MIN_STEP_MS:
            last.last_seen = now
        else:
            self.offsets = [*self.offsets[1 - MAX_OFFSETS :], Offset(value, now, now)]

    def to_steady(self, wall: float) -> float:
        """Return when, on the steady clock, the wall clock showed this time; now if no offset fits."""
        self.sample()
        now = self._clock.now()
        fitting = [
            wall - offset.value
            for index, offset in enumerate(self.offsets)
            if self._was_in_force(index, wall - offset.value)
        ]
        return max(fitting, default=now)

    def _was_in_force(self, index: int, moment: float) -> bool:
        """Return whether an offset may have applied at a steady time.

        A step may have happened at any time between two samples.
        """
        begins = self.offsets[index - 1].last_seen if index else float("-inf")
        is_last = index == len(self.offsets) - 1
        ends = self._clock.now() + MAX_FUTURE_MS if is_last else self.offsets[index + 1].first_seen
        return begins <= moment <= ends
