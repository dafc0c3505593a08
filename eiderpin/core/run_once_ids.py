"""Ids of jobs that must not run again, each kept until its time is over and never dropped before.

Ids are grouped by the time until which they are kept, so that an id costs little memory and expired ones are
found without a search. All times are in milliseconds.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field

JobKey = tuple[str, str]  # class, and the id that the client gave the job

GROUP_SPAN_MS = 5000.0  # ids whose times end within one such span are kept until its end
# Of memory for an id beside its string: entries of a dict and a list, and what the allocator rounds up.
ID_OVERHEAD_BYTES = 64
MAX_ID_LENGTH = 128  # a longer id is kept as its hash


@dataclass(slots=True, eq=False)
class IdGroup:
    """Ids of one class that are kept until the same time."""

    until: float
    single_use_id: bool  # each id belonged to one request only
    ids: list[str] = field(default_factory=list)  # some may have moved to a later group


def stored_key(job: JobKey) -> JobKey:
    """Return the key under which a job is kept: a long id is replaced by its hash, so that it costs no more
    memory than a short one."""
    cls, unique = job
    if len(unique) <= MAX_ID_LENGTH:
        return job
    import hashlib  # not at the top: it takes 3.6 MB, and only Gearman clients have such ids

    digest = hashlib.blake2b(unique.encode("utf-8", "surrogatepass"), digest_size=16)
    return cls, f"blake2b:{digest.hexdigest()}"


def id_bytes(job: JobKey) -> int:
    """Return the memory that the id of a job takes while it is kept."""
    return sys.getsizeof(stored_key(job)[1]) + ID_OVERHEAD_BYTES


class RunOnceIds:
    """Ids of jobs that must not run again, with the time until which each is kept."""

    def __init__(self) -> None:
        """Begin without ids."""
        self.size_bytes = 0
        self._ids: dict[str, dict[str, IdGroup]] = {}  # by class and id
        self._groups: dict[tuple[str, int, bool], IdGroup] = {}  # by class, number of the span, and kind
        self.next_expiry_at = math.inf  # when the next ids expire

    def __len__(self) -> int:
        """Return how many are kept."""
        return sum(len(ids) for ids in self._ids.values())

    def add(self, job: JobKey, until: float, single_use_id: bool = False) -> None:
        """Keep an id until this time at least; the time of one that is kept for longer stays."""
        cls, unique = stored_key(job)
        ids = self._ids.setdefault(cls, {})
        known = ids.get(unique)
        if known is None:
            self.size_bytes += id_bytes((cls, unique))
        elif known.until >= until:
            return
        group = self._group(cls, until, single_use_id)
        group.ids.append(unique)
        ids[unique] = group

    def _group(self, cls: str, until: float, single_use_id: bool) -> IdGroup:
        """Return the group of ids that are kept until the end of the span in which this time lies."""
        number = math.ceil(until / GROUP_SPAN_MS)
        key = cls, number, single_use_id
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = IdGroup(number * GROUP_SPAN_MS, single_use_id)
            self.next_expiry_at = min(self.next_expiry_at, group.until)
        return group

    def find(self, job: JobKey, now: float) -> IdGroup | None:
        """Return the group of an id, which has its time; None if the id is not kept or its time is over."""
        cls, unique = stored_key(job)
        group = self._ids.get(cls, {}).get(unique)
        return group if group is not None and group.until > now else None

    def remove(self, job: JobKey) -> None:
        """Keep an id no longer: its job may run."""
        cls, unique = stored_key(job)
        if self._ids.get(cls, {}).pop(unique, None) is not None:
            self.size_bytes -= id_bytes((cls, unique))

    def expire(self, now: float) -> int:
        """Remove the ids whose time is over; return how many."""
        if now < self.next_expiry_at:
            return 0
        expired = [key for key, group in self._groups.items() if group.until <= now]
        removed = 0
        for key in expired:
            group, ids = self._groups.pop(key), self._ids[key[0]]
            for unique in group.ids:
                if ids.get(unique) is group:
                    del ids[unique]
                    self.size_bytes -= id_bytes((key[0], unique))
                    removed += 1
        self.next_expiry_at = min((group.until for group in self._groups.values()), default=math.inf)
        return removed

    def items(self, now: float) -> Iterator[tuple[JobKey, IdGroup]]:
        """Return all ids whose time is not over, each with its group."""
        for cls, ids in self._ids.items():
            for unique, group in ids.items():
                if group.until > now:
                    yield (cls, unique), group
