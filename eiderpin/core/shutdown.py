"""When each step of a planned end is due: pure, in ms of the dispatcher's clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

KILL_AFTER_LONGEST = 700.0  # ms past the longest deadline, after SIGTERM, at which SIGKILL may come ...
LONGEST_COUNTED = 3000.0  # ... and of that deadline so much counts at most
HELD_UP = 150.0  # ms for which the process may be held up between reading its clock and acting
ANSWER_RESERVE = 2 * HELD_UP + 50.0  # before SIGKILL: SIGTERM noticed late, answers written late, their way
EXIT_RESERVE = HELD_UP  # before SIGKILL; between answers and exit clients see that we close


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The steps that follow SIGTERM, each a time on the dispatcher's clock."""

    begun_at: float
    answers_by: float  # every request that was taken has its final answer
    exits_by: float
    killed_at: float  # the earliest SIGKILL

    @classmethod
    def beginning(cls, now: float, class_deadlines: Iterable[float]) -> ShutdownSchedule:
        """The schedule of an end that begins now, in a deployment whose classes have these deadlines (ms)."""
        longest = min(max(class_deadlines), LONGEST_COUNTED)
        killed_at = now + longest + KILL_AFTER_LONGEST
        return cls(now, killed_at - ANSWER_RESERVE, killed_at - EXIT_RESERVE, killed_at)
