"""A member's log in memory: entries after the last snapshot, and the configurations in it."""

from __future__ import annotations

from collections.abc import Sequence

from eiderpin.store.messages import Config, Entry, EntryKind, Snapshot, read_config


class Compacted(Exception):
    """The entry is in the snapshot only."""


class EntryLog:
    """Indexes begin with 1; `base` is the last that is in the snapshot only, and `base_term` its term."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        """What a disk holds."""
        self.snapshot = snapshot
        self.base, self.base_term = snapshot.index, snapshot.term
        self.entries: list[Entry] = []
        self.configs: list[tuple[int, Config]] = [(snapshot.index, snapshot.config)]
        self.append(entries)

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def config(self) -> Config:
        """The latest in the log, committed or not: a change counts from its append on (dissertation, 4.1)."""
        return self.configs[-1][1]

    @property
    def config_at(self) -> int:
        """The index of the last change of members."""
        return self.configs[-1][0]

    def term(self, index: int) -> int | None:
        """None: it is not here, or not any more."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1].term
        return None

    def slice(self, first: int, last: int, most_bytes: int = 1 << 62) -> list[Entry]:
        """Entries `first` to `last`, one at least and no more bytes than that. Raises `Compacted`."""
        if first <= self.base:
            raise Compacted(f"entry {first}; the log begins with {self.base + 1}")
        found: list[Entry] = []
        size = 0
        for entry in self.entries[first - self.base - 1 : last - self.base]:
            size += len(entry.data) + 32
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    def append(self, entries: Sequence[Entry]) -> None:
        """They follow the last."""
        for entry in entries:
            assert entry.index == self.last + 1, "entries follow each other"
            self.entries.append(entry)
            if entry.kind == EntryKind.CONFIG:
                self.configs.append((entry.index, read_config(entry.data)))

    def cut(self, after: int) -> None:
        """Drop what follows `after`."""
        del self.entries[after - self.base :]
        while self.configs[-1][0] > after:
            self.configs.pop()

    def match(self, prev: int, prev_term: int) -> bool:
        """Whether there is an entry of this term at this index."""
        return self.term(prev) == prev_term

    def merge(self, entries: Sequence[Entry]) -> int | None:
        """Take in a leader's entries, whose first follows one that matches. Returns the first new index, None
        where there is nothing new. Only a conflict cuts: an old message must not shorten the log."""
        for at, entry in enumerate(entries):
            if entry.index <= self.base:
                continue
            have = self.term(entry.index)
            if have == entry.term:
                continue
            if have is not None:
                self.cut(entry.index - 1)
            self.append(entries[at:])
            return entry.index
        return None

    def hint(self, prev: int, term: int) -> tuple[int, int]:
        """The last place up to `prev` whose term is no more than `term`: a match can't lie beyond it."""
        index = min(prev, self.last)
        while index > self.base and (self.term(index) or 0) > term:
            index -= 1
        return index, self.term(index) or 0

    def up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log that ends there is at least as new as this one (dissertation, 3.6.1)."""
        return (last_term, last_index) >= (self.last_term, self.last)

    def config_as_of(self, index: int) -> Config:
        """Who the members are after the entry of this index."""
        return next(config for at, config in reversed(self.configs) if at <= index)

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """The state is in `snapshot` now; all entries but `keep` before it go."""
        self.snapshot = snapshot
        base = max(self.base, snapshot.index - keep)
        term = self.term(base)
        assert term is not None, "what goes is here"
        config = self.config_as_of(base)
        del self.entries[: base - self.base]
        self.base, self.base_term = base, term
        self.configs = [(base, config), *[c for c in self.configs if c[0] > base]]

    def restore(self, snapshot: Snapshot) -> None:
        """A leader's snapshot replaces all that is here."""
        self.__init__(snapshot)  # type: ignore[misc]
