"""When each step of a shutdown is due. Pure functions of the dispatcher's clock, in ms."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# SIGKILL may follow SIGTERM after the longest deadline of the deployment and this delay.
KILL_DELAY_MS = 700.0
MAX_COUNTED_DEADLINE_MS = 3000.0  # no more than this counts of the longest deadline

MAX_STALL_MS = 150.0  # for which the process may stall between reading its clock and acting on it
# Answers are complete this long before SIGKILL: SIGTERM may be noticed late, answers may be written late, and
# they need time to reach the clients.
ANSWER_RESERVE_MS = 2 * MAX_STALL_MS + 50.0
# The exit comes this long before SIGKILL. Between the answers and the exit, clients can see the close.
EXIT_RESERVE_MS = MAX_STALL_MS


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The steps that follow SIGTERM, each a time on the dispatcher's clock."""

    begun_at: float
    answers_by: float  # by then every accepted request has its final answer
    exits_by: float
    earliest_kill_at: float  # when SIGKILL may come at the earliest

    @classmethod
    def starting_at(cls, now: float, class_deadlines: Iterable[float]) -> ShutdownSchedule:
        """Return the schedule of a shutdown that begins at `now`; the classes' deadlines are in ms."""
        longest = min(max(class_deadlines), MAX_COUNTED_DEADLINE_MS)
        earliest_kill_at = now + longest + KILL_DELAY_MS
        return cls(
            now, earliest_kill_at - ANSWER_RESERVE_MS, earliest_kill_at - EXIT_RESERVE_MS, earliest_kill_at
        )
