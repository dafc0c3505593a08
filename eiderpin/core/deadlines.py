"""The one ordered structure that all deadlines of the program hang in, and its clock."""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable


class Clock:
    """Unix time in ms, read once and then advanced by the monotonic clock: it never runs backwards."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return self._offset + time.monotonic() * 1000.0

    def since_boot(self) -> float:
        """ms on the machine's own steady clock, which all processes have in common from one boot to the
        next."""
        return time.monotonic() * 1000.0


class Deadline:
    __slots__ = ("at", "call")

    def __init__(self, at: float, call: Callable[[], None]) -> None:
        self.at = at
        self.call: Callable[[], None] | None = call


class Deadlines:
    """Calls to make at given times, in order of time and then of setting."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Deadline]] = []
        self._number = 0
        self._dead = 0

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def set(self, at: float, call: Callable[[], None]) -> Deadline:
        deadline = Deadline(at, call)
        self._number += 1
        heapq.heappush(self._heap, (at, self._number, deadline))
        return deadline

    def drop(self, deadline: Deadline | None) -> None:
        """Call one off; None, one that was called off and one that has been run are all allowed."""
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self._dead += 1
        # Most deadlines are called off: without this the heap would hold every request of the last 25 s.
        if self._dead > 256 and self._dead > len(self._heap) // 2:
            self._heap = [x for x in self._heap if x[2].call is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def next_at(self) -> float:
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._dead -= 1
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self, now: float) -> int:
        """Make the calls that are due; returns how many."""
        made = 0
        while self.next_at() <= now:
            deadline = heapq.heappop(self._heap)[2]
            call, deadline.call = deadline.call, None
            if call is not None:
                made += 1
                call()
        return made
