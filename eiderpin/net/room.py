"""Which client connections may be closed to make room for others, and in what order.

The connections are kept in one queue per tier, so that the next one to close is found without a scan.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Generic, Protocol, TypeVar


class EvictionTier(IntEnum):
    """How much a connection has been used so far; the lowest tier is closed first."""

    REJECTED = 0  # its request was rejected, and the client has not closed yet
    SILENT = 1  # nothing has been received
    ANSWERED = 2  # it has had an answer, but carried neither a job nor a callback
    PARTIAL = 3  # part of a request has been received
    KEPT_ALIVE = 4  # it has carried jobs or callbacks, and may carry more


# How long a connection must have been inactive before it may be closed. The first request of a new connection
# may still be on its way, and so may the next part of a slow client's request.
MIN_SILENCE_MS = {
    EvictionTier.REJECTED: 150.0,
    EvictionTier.SILENT: 150.0,
    EvictionTier.ANSWERED: 150.0,
    EvictionTier.PARTIAL: 700.0,
    EvictionTier.KEPT_ALIVE: 150.0,
}


class Evictable(Protocol):
    """What `EvictionQueues` needs of a connection."""

    last_activity: float  # when something was received or answered, ms on the loop's clock
    eviction_tier: EvictionTier | None  # the queue that it is in


EvictableT = TypeVar("EvictableT", bound=Evictable)


class EvictionQueues(Generic[EvictableT]):
    """The connections that may be closed to make room: a queue for each tier, the oldest entry first."""

    def __init__(self) -> None:
        self.queues: dict[EvictionTier, dict[EvictableT, None]] = {tier: {} for tier in EvictionTier}

    def move(self, connection: EvictableT, tier: EvictionTier | None) -> None:
        """Move a connection to the end of a tier's queue; with None it may not be closed."""
        if connection.eviction_tier is not None:
            self.queues[connection.eviction_tier].pop(connection, None)
        connection.eviction_tier = tier
        if tier is not None:
            self.queues[tier][connection] = None

    def next_candidate(self, now: float) -> EvictableT | None:
        """The connection to close first, or None if none may be closed at `now` (ms on the loop's clock).

        A kept-alive connection is returned only if there are no others: its client opens another one when it
        needs it."""
        lower_tier_used = False
        for tier, queue in self.queues.items():
            first = next(iter(queue), None)
            if first is None or (tier is EvictionTier.KEPT_ALIVE and lower_tier_used):
                continue
            lower_tier_used = True
            if now - first.last_activity >= MIN_SILENCE_MS[tier]:
                return first
        return None

    def least_active(self, may_close: Callable[[EvictableT], bool]) -> EvictableT | None:
        """The connection to close where all are in use, however short its silence is: one that was rejected,
        else the one whose incomplete request has made no progress for longest. Only those are considered
        for which `may_close` is true."""
        for tier in (EvictionTier.REJECTED, EvictionTier.PARTIAL):
            for connection in self.queues[tier]:
                if may_close(connection):
                    return connection
        return None
