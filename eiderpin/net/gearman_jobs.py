"""The memory that jobs of the Gearman front take, from their submission until their request is freed.

A client need not stay for a job that it has submitted, so a job's memory is not that of a connection.
"""

from __future__ import annotations

from eiderpin.core.requests import Request
from eiderpin.policy.memory_budget import HoldingKind, MemoryBudget

REQUEST_OVERHEAD_BYTES = 2048  # of memory for a request, beside its body and its id
JOBS_SHARE = 7 / 8  # of the budget, for all jobs of this front together; other clients need the rest


class JobMemory:
    """Counts the jobs of this front in the budget that it shares with others."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Begin without jobs."""
        self._budget = budget
        self._sizes: dict[Request, int] = {}
        self.held_bytes = 0

    @staticmethod
    def size_of(body: bytes, unique: str) -> int:
        """Return the memory that a job with this body and id takes."""
        return len(body) + len(unique) + REQUEST_OVERHEAD_BYTES

    def has_room_for(self, size: int) -> bool:
        """Return whether a job of this size can be accepted."""
        if self.held_bytes + size > JOBS_SHARE * self._budget.limit_bytes:
            return False
        return self._budget.has_room_for(size)

    def add(self, request: Request, size: int) -> None:
        """Count a job that has been accepted; one that is counted already changes nothing."""
        if request.id < 0 or request in self._sizes:
            return
        self._sizes[request] = size
        self._set_held(self.held_bytes + size)

    def remove(self, request: Request) -> None:
        """Count a job no longer: its request is freed."""
        size = self._sizes.pop(request, None)
        if size is not None:
            self._set_held(self.held_bytes - size)

    def _set_held(self, held_bytes: int) -> None:
        self.held_bytes = held_bytes
        self._budget.update(self, held_bytes, None)

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Do nothing: jobs that have been accepted are never dropped."""
