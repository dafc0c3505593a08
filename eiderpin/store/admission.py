"""Admission of snapshots that a member sends: limits their rate and concurrency. No I/O; times in ms."""

from __future__ import annotations

from collections import OrderedDict

SNAPSHOTS_PER_SECOND = 100.0
BURST_SNAPSHOTS = 10.0  # size of the token bucket
MAX_CONCURRENT_SNAPSHOTS = 32


class SnapshotAdmission:
    """A token bucket with a first-in, first-out queue and a limit on unfinished snapshots.

    Args:
        now: The current time.
        per_second: Tokens added per second; each snapshot takes one.
        burst: Capacity of the bucket.
        max_concurrent: How many admitted snapshots may be unfinished at the same time.
    """

    def __init__(
        self,
        now: float,
        per_second: float = SNAPSHOTS_PER_SECOND,
        burst: float = BURST_SNAPSHOTS,
        max_concurrent: int = MAX_CONCURRENT_SNAPSHOTS,
    ) -> None:
        """Start with a full bucket and an empty queue."""
        self.per_second, self.burst, self.max_concurrent = per_second, burst, max_concurrent
        self.waiting: OrderedDict[int, None] = OrderedDict()
        self.running: set[int] = set()
        self._tokens = burst
        self._filled_at = now

    def enqueue(self, key: int) -> None:
        """Queue the snapshot of `key`. If it is queued already, it keeps its place."""
        self.waiting.setdefault(key, None)

    def release(self, key: int) -> None:
        """Remove a snapshot that is finished or no longer wanted."""
        self.waiting.pop(key, None)
        self.running.discard(key)

    def admit(self, now: float) -> list[int]:
        """Return the keys whose snapshots may start now, in order of arrival, and count them as running."""
        refill = (now - self._filled_at) * self.per_second / 1000.0
        self._tokens = min(self.burst, self._tokens + refill)
        self._filled_at = now
        admitted = []
        while self.waiting and self._tokens >= 1.0 and len(self.running) < self.max_concurrent:
            key, _ = self.waiting.popitem(last=False)
            self._tokens -= 1.0
            self.running.add(key)
            admitted.append(key)
        return admitted
