"""The queue of all timed calls of the program, and the clock that they go by."""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable


class Clock:
    """Unix time in ms, read once at the start and then advanced by the monotonic clock.

    It never runs backwards, and steps of the wall clock do not affect it.
    """

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Return the time in ms."""
        return self._offset + time.monotonic() * 1000.0

    def since_boot(self) -> float:
        """Return the machine's monotonic time in ms, which all its processes share until the next boot."""
        return time.monotonic() * 1000.0


class Deadline:
    """A call that is due at a time; `call` is None once it was made or cancelled."""

    __slots__ = ("at", "call")

    def __init__(self, at: float, call: Callable[[], None]) -> None:
        self.at = at
        self.call: Callable[[], None] | None = call


class Deadlines:
    """Calls that are due at given times; those of one time run in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Deadline]] = []
        self._last_number = 0
        self._cancelled = 0

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def set(self, at: float, call: Callable[[], None]) -> Deadline:
        """Schedule a call for `at`, in ms on the program's clock."""
        deadline = Deadline(at, call)
        self._last_number += 1
        heapq.heappush(self._heap, (at, self._last_number, deadline))
        return deadline

    def drop(self, deadline: Deadline | None) -> None:
        """Cancel a deadline. None, and one that was cancelled or has run before, are ignored."""
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self._cancelled += 1
        # Most deadlines are cancelled: without this the heap would hold every request of the last 25 s.
        if self._cancelled > 256 and self._cancelled > len(self._heap) // 2:
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_at(self) -> float:
        """Return when the next call is due; infinity if there is none."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self, now: float) -> int:
        """Make the calls that are due and return their number."""
        made = 0
        while self.next_at() <= now:
            deadline = heapq.heappop(self._heap)[2]
            call, deadline.call = deadline.call, None
            if call is not None:
                made += 1
                call()
        return made
