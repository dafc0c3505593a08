"""Which edge connections may be closed to make room, and in what order; no look at them all for any one."""

from __future__ import annotations

from enum import IntEnum
from typing import Generic, Protocol, TypeVar


class Spare(IntEnum):
    """What a connection has shown, the first to go first."""

    REFUSED = 0  # it has been refused, and stays
    SILENT = 1  # nothing has come
    ASKED = 2  # it has had an answer, but brought neither job nor call-back
    HALF = 3  # some of a request has come
    KEPT = 4  # it has brought jobs or call-backs, and may bring more


# ms without a byte before it may be closed: a first request is on its way, and a slow client's next piece.
QUIET = {Spare.REFUSED: 150.0, Spare.SILENT: 150.0, Spare.ASKED: 150.0, Spare.HALF: 700.0, Spare.KEPT: 150.0}


class Filed(Protocol):
    last: float  # when something came or was answered
    spare: Spare | None  # the queue it stands in


E = TypeVar("E", bound=Filed)


class Room(Generic[E]):
    def __init__(self) -> None:
        self.queues: dict[Spare, dict[E, None]] = {spare: {} for spare in Spare}

    def file(self, edge: E, spare: Spare | None) -> None:
        """Put a connection at the end of a queue; None: it may not be closed."""
        if edge.spare is not None:
            self.queues[edge.spare].pop(edge, None)
        edge.spare = spare
        if spare is not None:
            self.queues[spare][edge] = None

    def next(self, now: float) -> E | None:
        """The one to close first, if there is one now. One that is kept alive goes only where there are no
        others: its client opens another when it needs one."""
        others = False
        for spare, queue in self.queues.items():
            first = next(iter(queue), None)
            if first is None or (spare is Spare.KEPT and others):
                continue
            others = True
            if now - first.last >= QUIET[spare]:
                return first
        return None
