"""The in-memory log of a member: the entries after the last snapshot, and the configurations among them."""

from __future__ import annotations

from collections.abc import Sequence

from eiderpin.store.messages import Config, Entry, EntryKind, Snapshot, decode_config


class Compacted(Exception):
    """The requested entry is only contained in the snapshot."""


class EntryLog:
    """The log entries that are in memory.

    Indexes begin with 1. `base` is the last index that is only in the snapshot, and `base_term` its term.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        """Start with the snapshot and the entries from disk."""
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
        """The latest configuration, committed or not: it takes effect when appended (dissertation, 4.1)."""
        return self.configs[-1][1]

    @property
    def config_index(self) -> int:
        """The index of the latest configuration."""
        return self.configs[-1][0]

    def term(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1].term
        return None

    def slice(self, first: int, last: int, most_bytes: int = 1 << 62) -> list[Entry]:
        """Return the entries from `first` to `last`, at least one, and as many as fit in `most_bytes`.

        Raises:
            Compacted: `first` is only in the snapshot.
        """
        if first <= self.base:
            raise Compacted(f"entry {first}; the log begins with {self.base + 1}")
        selected: list[Entry] = []
        size = 0
        for entry in self.entries[first - self.base - 1 : last - self.base]:
            size += len(entry.data) + 32
            if selected and size > most_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries, which must continue the log without a gap."""
        for entry in entries:
            assert entry.index == self.last + 1, "entries are contiguous"
            self.entries.append(entry)
            if entry.kind == EntryKind.CONFIG:
                self.configs.append((entry.index, decode_config(entry.data)))

    def cut(self, after: int) -> None:
        """Remove all entries after index `after`."""
        del self.entries[after - self.base :]
        while self.configs[-1][0] > after:
            self.configs.pop()

    def matches(self, prev: int, prev_term: int) -> bool:
        """Return whether the entry at this index has this term."""
        return self.term(prev) == prev_term

    def merge(self, entries: Sequence[Entry]) -> int | None:
        """Add a leader's entries, the first of which follows an entry that matches.

        Only a conflicting entry removes what follows it, since a delayed message must not shorten the log.

        Returns:
            The first index that is new, or None if nothing is.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.base:
                continue
            existing_term = self.term(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                self.cut(entry.index - 1)
            self.append(entries[position:])
            return entry.index
        return None

    def conflict_hint(self, prev: int, term: int) -> tuple[int, int]:
        """Return the last entry up to `prev` whose term is not above `term`, as index and term.

        The logs cannot match beyond it.
        """
        index = min(prev, self.last)
        while index > self.base and (self.term(index) or 0) > term:
            index -= 1
        return index, self.term(index) or 0

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is at least as new as ours (dissertation, 3.6.1)."""
        return (last_term, last_index) >= (self.last_term, self.last)

    def config_as_of(self, index: int) -> Config:
        """Return the configuration in effect after the entry of this index."""
        return next(config for first_index, config in reversed(self.configs) if first_index <= index)

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Replace the snapshot, and drop all entries it covers except the last `keep`."""
        self.snapshot = snapshot
        base = max(self.base, snapshot.index - keep)
        term = self.term(base)
        assert term is not None, "dropped entries are in the log"
        config = self.config_as_of(base)
        del self.entries[: base - self.base]
        self.base, self.base_term = base, term
        self.configs = [(base, config), *[c for c in self.configs if c[0] > base]]

    def reset_to_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot from the leader."""
        self.__init__(snapshot)  # type: ignore[misc]
