"""A table of numbered slots, which requests and connections live in."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")

SLOT_BITS = 15
GENERATIONS = 1 << (32 - SLOT_BITS)


class TableFull(Exception):
    """All slots are taken."""


class SlotTable(Generic[T]):
    """Numbered slots. An id is slot and generation, below 2^32: an old id never finds a slot's next holder
    until the generation has come round."""

    def __init__(self, limit: int = 1 << SLOT_BITS) -> None:
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._limit = min(limit, 1 << SLOT_BITS)
        self.held = 0

    def __len__(self) -> int:
        return self.held

    def add(self, item: T) -> int:
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

    def get(self, number: int) -> T | None:
        slot, generation = number & ((1 << SLOT_BITS) - 1), number >> SLOT_BITS
        if slot >= len(self._items) or self._generations[slot] != generation:
            return None
        return self._items[slot]

    def remove(self, number: int) -> T | None:
        item = self.get(number)
        if item is not None:
            slot = number & ((1 << SLOT_BITS) - 1)
            self._items[slot] = None
            self._generations[slot] = (self._generations[slot] + 1) % GENERATIONS
            self._free.append(slot)
            self.held -= 1
        return item

    def all(self) -> list[T]:
        return [item for item in self._items if item is not None]
