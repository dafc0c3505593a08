"""A table of numbered slots that holds requests and connections."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")

SLOT_BITS = 15
GENERATIONS = 1 << (32 - SLOT_BITS)


class TableFull(Exception):
    """All slots are taken."""


class SlotTable(Generic[T]):
    """A table of items by id.

    An id combines the slot with a generation and is below 2^32. After an item is removed, its id does not
    find the next item in that slot until the generation has wrapped around.
    """

    def __init__(self, limit: int = 1 << SLOT_BITS) -> None:
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._limit = min(limit, 1 << SLOT_BITS)
        self.held = 0

    def __len__(self) -> int:
        return self.held

    def add(self, item: T) -> int:
        """Store an item and return its id. Raises `TableFull`."""
        if self._free:
            slot = self._free.pop()
        elif len(self._items) < self._limit:
            slot = len(self._items)
            self._items.append(None)
            self._generations.append(0)
        else:
            raise TableFull
        self._items[slot] = item
        self.held += 1
        return self._generations[slot] << SLOT_BITS | slot

    def get(self, item_id: int) -> T | None:
        """Return the item with this id, or None if it has been removed."""
        slot, generation = item_id & ((1 << SLOT_BITS) - 1), item_id >> SLOT_BITS
        if slot >= len(self._items) or self._generations[slot] != generation:
            return None
        return self._items[slot]

    def remove(self, item_id: int) -> T | None:
        """Remove and return the item with this id; None if it has been removed before."""
        item = self.get(item_id)
        if item is not None:
            slot = item_id & ((1 << SLOT_BITS) - 1)
            self._items[slot] = None
            self._generations[slot] = (self._generations[slot] + 1) % GENERATIONS
            self._free.append(slot)
            self.held -= 1
        return item

    def all(self) -> list[T]:
        """Return all items, in the order of their slots."""
        return [item for item in self._items if item is not None]
