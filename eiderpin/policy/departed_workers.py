"""When a worker that has left the list is forgotten: names may never return, and would accumulate."""

from __future__ import annotations

from collections.abc import Collection, MutableMapping
from typing import Generic, Protocol, TypeVar

from eiderpin.interface import WorkerState

# What was learned of a worker decays within some of its runs; its open attempts keep it for longer.
DEPARTED_RETENTION_MS = 60_000.0


class DepartingWorker(Protocol):
    """What this module reads of a worker."""

    name: str
    state: WorkerState
    classes: frozenset[str] | None

    @property
    def open_attempts(self) -> Collection[tuple[int, int]]:
        """Its attempts that have not ended."""
        ...


AnyWorker = TypeVar("AnyWorker", bound=DepartingWorker)


class DepartedWorkers(Generic[AnyWorker]):
    """Forgets workers that have left the list, once they have no open attempt.

    One that had named its classes is a connection of a front, whose name is not used again: it goes at once.
    Any other is forgotten `DEPARTED_RETENTION_MS` after it has left, since it may come back.
    """

    def __init__(self, workers: MutableMapping[str, AnyWorker]) -> None:
        """`workers`: all workers by name, from which those that are forgotten are removed."""
        self._workers = workers
        self._left_at: dict[str, float] = {}  # of workers that are not listed; oldest first

    def update(self, worker: AnyWorker, now: float) -> None:
        """Note whether a worker is listed, or that an attempt of it has ended."""
        if worker.state is not WorkerState.GONE:
            self._left_at.pop(worker.name, None)
            return
        self._left_at.setdefault(worker.name, now)
        if worker.classes is not None and not worker.open_attempts:
            self._forget(worker.name)

    def expire(self, now: float) -> None:
        """Forget the workers that left long ago; those with open attempts get as much time again."""
        while self._left_at:
            name, left_at = next(iter(self._left_at.items()))
            if left_at > now - DEPARTED_RETENTION_MS:
                return
            worker = self._workers.get(name)
            if worker is not None and worker.open_attempts:
                del self._left_at[name]
                self._left_at[name] = now
            else:
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self._left_at[name]
        self._workers.pop(name, None)
