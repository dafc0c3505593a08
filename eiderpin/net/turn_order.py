"""In which order the ready connections of one turn of the event loop are served, and how many of them.

Many peers that send at full speed must not make others wait: those that are needed or have behaved are served
first, and the rest take turns within a time limit. What is not served stays ready for the next turn.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from enum import IntEnum
from typing import Protocol, TypeVar


class TurnClass(IntEnum):
    """How urgently a connection is served; the lowest first."""

    ESSENTIAL = 0  # made by this process, or of a trusted peer
    KEPT = 1  # has carried work and is used again
    NEW = 2  # accepted, and not served before
    OTHER = 3


# Time for the connections of a class in one turn; classes that are not named have no limit.
TURN_LIMITS_MS = {TurnClass.NEW: 10.0, TurnClass.OTHER: 5.0}
MAX_DEBT_MS = 5.0  # a connection with more counts as one of the others
DEBT_REPAID_PER_MS = 0.05  # share of the loop's time that each connection may use for good


class ServiceRecord:
    """How a connection has been served so far. Times are ms on the loop's clock."""

    __slots__ = ("turn_class", "served_at", "_debt_ms")

    def __init__(self, turn_class: TurnClass, now: float) -> None:
        self.turn_class = turn_class
        self.served_at = now  # or when it was accepted
        self._debt_ms = 0.0  # time that it used beyond its share, when it was served last

    def class_at(self, now: float) -> TurnClass:
        """Return its class at a time: one that uses much time is not served before others."""
        if self.turn_class is TurnClass.KEPT and self._debt_at(now) > MAX_DEBT_MS:
            return TurnClass.OTHER
        return self.turn_class

    def _debt_at(self, now: float) -> float:
        return max(0.0, self._debt_ms - (now - self.served_at) * DEBT_REPAID_PER_MS)

    def note_service(self, began: float, ended: float) -> None:
        """Note that it was served from `began` to `ended`."""
        self._debt_ms = self._debt_at(began) + ended - began
        self.served_at = ended
        if self.turn_class is TurnClass.NEW:
            self.turn_class = TurnClass.OTHER


class Served(Protocol):
    """What `TurnOrder` needs of a connection."""

    service: ServiceRecord


ServedT = TypeVar("ServedT", bound=Served)


class TurnOrder:
    """The order of one turn, and the time that each class has used in it."""

    def __init__(self, now: float) -> None:
        self._now = now
        self._used_ms = dict.fromkeys(TurnClass, 0.0)

    def arrange(self, ready: Sequence[ServedT]) -> Iterator[ServedT]:
        """Yield the ready connections to serve, by class, those first that have waited for longest.

        Each must be passed to `note_service` before the next one is asked for.
        """
        classes: dict[TurnClass, list[ServedT]] = {turn_class: [] for turn_class in TurnClass}
        for connection in ready:
            classes[connection.service.class_at(self._now)].append(connection)
        for turn_class, connections in classes.items():
            limit_ms = TURN_LIMITS_MS.get(turn_class)
            if limit_ms is not None:
                connections.sort(key=lambda connection: connection.service.served_at)
            for connection in connections:
                if limit_ms is not None and self._used_ms[turn_class] >= limit_ms:
                    break
                yield connection

    def note_service(self, connection: Served, began: float, ended: float) -> None:
        """Note how long a connection was served."""
        self._used_ms[connection.service.class_at(self._now)] += ended - began
        connection.service.note_service(began, ended)
