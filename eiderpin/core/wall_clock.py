"""Times of the wall clock, such as a server's start, on the dispatcher's steady clock.

The wall clock may step, by seconds or an hour, either way. What is told in its terms means the moment at
which it showed that time, and that moment does not move: so each offset between the two clocks is kept with
the time in which it was seen, and a time is translated by the offset that was in force then. Where several
fit, the latest moment is taken: a server is rather held for younger, and colder, than for warm."""

from __future__ import annotations

import time
from dataclasses import dataclass

from eiderpin.core.deadlines import Clock

STEP = 200.0  # ms; a smaller change of the offset is no step
CLOSE_TOGETHER = 5.0  # ms; two readings further apart say nothing of the offset: we were held up between them
TRIES = 3
MOST_OFFSETS = 16  # the oldest goes
AHEAD = 1000.0  # ms by which a time may lie ahead of ours and still be meant as it stands


def read_wall() -> float:
    """The wall clock, as Unix time in ms."""
    return time.time() * 1000.0


@dataclass(slots=True)
class Offset:
    """Wall less steady time, in ms, and between which steady times it was seen."""

    value: float
    first_seen: float
    last_seen: float


class WallClock:
    """Translates times of the wall clock to those of `clock`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        now = clock.now()
        self.offsets = [Offset(0.0, now, now)]  # the oldest first; the clock began with the wall's own time

    def sample(self) -> None:
        """Note the offset that holds now; to be called every few seconds."""
        for _ in range(TRIES):
            before = self._clock.now()
            wall = read_wall()
            now = self._clock.now()
            if now - before <= CLOSE_TOGETHER:
                self._note(wall - before, now)
                return

    def _note(self, value: float, now: float) -> None:
        last = self.offsets[-1]
        if abs(value - last.value) < STEP:
            last.last_seen = now
        else:
            self.offsets = [*self.offsets[1 - MOST_OFFSETS :], Offset(value, now, now)]

    def to_steady(self, wall: float) -> float:
        """The moment at which the wall clock showed this time, on the steady clock; now, if it fits none."""
        self.sample()
        now = self._clock.now()
        fitting = [
            wall - o.value for i, o in enumerate(self.offsets) if self._was_in_force(i, wall - o.value)
        ]
        return max(fitting, default=now)

    def _was_in_force(self, index: int, at: float) -> bool:
        """Whether this offset may have held at this steady time: a step lies anywhere between two looks."""
        begins = self.offsets[index - 1].last_seen if index else float("-inf")
        is_last = index == len(self.offsets) - 1
        ends = self._clock.now() + AHEAD if is_last else self.offsets[index + 1].first_seen
        return begins <= at <= ends
