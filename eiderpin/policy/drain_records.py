"""Which workers were told to drain or are gone, so that an older list does not bring them back. Pure; ms."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from eiderpin import interface as api

# A list that follows another one may be behind it for so long; what it says after that holds.
MAX_LIST_LAG_MS = 60_000.0


@dataclass(slots=True, frozen=True)
class DrainRecord:
    """The end of a worker's service, as a list told it."""

    state: api.WorkerState  # DRAINING or GONE
    born: float | None  # the start of the process that ends, as listed; None: long ago
    source: int  # the source that told it
    at: float  # when


class DrainRecords:
    """Keeps workers out of service that a former source of lists has told to drain, or to be gone.

    A worker is in service again only by a new start. A source that still lists it as in service with the same
    start is behind the former one: after a reload that names another discovery, or where discovery has
    answered with an older generation, as it was restarted or its replicas differ. What one source tells of a
    worker, it may take back itself.
    """

    def __init__(self) -> None:
        """Begin with one source, which has told nothing."""
        self._source = 0
        self._valid_until = math.inf  # of the records of former sources
        self._has_withheld = False  # an entry of the present source, by them
        self._listed: dict[str, float | None] = {}  # workers of the list, with their starts
        self._draining: dict[str, DrainRecord] = {}  # of listed workers
        self._gone: dict[str, DrainRecord] = {}  # of others, the oldest first

    def change_source(self, now: float) -> None:
        """Note that the next list comes from another source, which may be behind."""
        self._source += 1
        self._valid_until = now + MAX_LIST_LAG_MS

    def apply(self, entries: Iterable[api.WorkerEntry], whole: bool, now: float) -> list[api.WorkerEntry]:
        """Record a list, or changes of it, and return its entries with the states that hold.

        Workers that are gone by a former source are left out. `whole`: there are no other workers.
        """
        entries = list(entries)
        if whole:
            for name in self._listed.keys() - {entry.name for entry in entries}:
                self._record_gone(name, None, now)
        applied = [self._apply_entry(entry, now) for entry in entries]
        self._forget_gone(now)
        return [entry for entry in applied if entry is not None]

    def expire(self, now: float) -> bool:
        """Forget the records of former sources once the present one may no longer be behind.

        Returns whether they have withheld an entry, so that the whole list has to be read again.
        """
        if now < self._valid_until:
            return False
        self._valid_until = math.inf
        for records in (self._draining, self._gone):
            for name in [name for name, record in records.items() if record.source != self._source]:
                del records[name]
        had_withheld, self._has_withheld = self._has_withheld, False
        return had_withheld

    def _apply_entry(self, entry: api.WorkerEntry, now: float) -> api.WorkerEntry | None:
        """Record one entry; return it with the state that holds, or None if the worker stays gone."""
        if entry.state is api.WorkerState.GONE:
            self._record_gone(entry.name, entry.born, now)
            return entry
        record = self._draining.get(entry.name) or self._gone.get(entry.name)
        is_behind = record is not None and record.source != self._source and record.born == entry.born
        if is_behind and entry.name in self._gone:
            self._has_withheld = True
            return None
        self._gone.pop(entry.name, None)
        self._listed[entry.name] = entry.born
        if entry.state is api.WorkerState.DRAINING:
            self._draining[entry.name] = DrainRecord(entry.state, entry.born, self._source, now)
        elif is_behind:
            self._has_withheld = True
            return replace(entry, state=api.WorkerState.DRAINING)
        else:
            self._draining.pop(entry.name, None)
        return entry

    def _record_gone(self, name: str, born: float | None, now: float) -> None:
        self._draining.pop(name, None)
        self._gone.pop(name, None)
        born = self._listed.pop(name, born)
        self._gone[name] = DrainRecord(api.WorkerState.GONE, born, self._source, now)

    def _forget_gone(self, now: float) -> None:
        """Forget workers that are gone for so long that no list is behind that: names may never return."""
        for name, record in list(self._gone.items()):
            if record.at > now - MAX_LIST_LAG_MS:
                return
            del self._gone[name]
