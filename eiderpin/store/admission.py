"""How many snapshots a member begins to send: at a bounded rate, and so many at once. Pure; times in ms."""

from __future__ import annotations

from collections import OrderedDict

SNAPSHOTS_PER_SECOND = 100.0
BURST = 10.0  # snapshots that may begin at once after a rest
CONCURRENT = 32  # snapshots that are under way at once


class SnapshotAdmission:
    """A token bucket with a queue in order of arrival.

    Args:
        now: The time of the start.
        per_second: Tokens a second.
        burst: The size of the bucket.
        concurrent: How many admitted snapshots may be unfinished at once.
    """

    def __init__(
        self,
        now: float,
        per_second: float = SNAPSHOTS_PER_SECOND,
        burst: float = BURST,
        concurrent: int = CONCURRENT,
    ) -> None:
        """Begin with a full bucket."""
        self.per_second, self.burst, self.concurrent = per_second, burst, concurrent
        self.waiting: OrderedDict[int, None] = OrderedDict()
        self.running: set[int] = set()
        self._tokens = burst
        self._filled_at = now

    def ask(self, key: int) -> None:
        """Queue one snapshot; one that already waits keeps its place."""
        self.waiting.setdefault(key, None)

    def forget(self, key: int) -> None:
        """The snapshot is finished, or no longer wanted."""
        self.waiting.pop(key, None)
        self.running.discard(key)

    def admit(self, now: float) -> list[int]:
        """The keys whose snapshot may begin now, in order of arrival."""
        refill = (now - self._filled_at) * self.per_second / 1000.0
        self._tokens = min(self.burst, self._tokens + refill)
        self._filled_at = now
        admitted = []
        while self.waiting and self._tokens >= 1.0 and len(self.running) < self.concurrent:
            key, _ = self.waiting.popitem(last=False)
            self._tokens -= 1.0
            self.running.add(key)
            admitted.append(key)
        return admitted
