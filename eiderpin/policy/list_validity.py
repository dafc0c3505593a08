"""Which workers of the list may be sent requests, by what discovery has confirmed. All times are in ms."""

from __future__ import annotations

import math
from collections.abc import Iterable

# What another discovery lists counts as delivered so long after a reload that moves the watch to it.
NEW_SOURCE_COUNTS_AFTER_MS = 4000.0


class ListValidity:
    """Holds back the workers that are known only from a list which discovery has not confirmed.

    A process begins with the list that the previous process stored. What has changed since then counts as
    delivered from its first moment, whether discovery answers or not. So a worker of that list may drain or
    be gone, and is sent nothing until discovery has answered, however long that takes. After a reload that
    names another discovery, the same holds for the present list from NEW_SOURCE_COUNTS_AFTER_MS on.
    """

    def __init__(self) -> None:
        """Hold back nobody."""
        self.held_back: set[str] = set()  # names of the workers that must be sent nothing
        self._unconfirmed: set[str] = set()  # held back from `_valid_until` on
        self._valid_until = math.inf

    def hold_back(self, names: Iterable[str]) -> None:
        """Hold back workers that only a stored list names."""
        self.held_back.update(names)

    def change_source(self, names: Iterable[str], now: float) -> None:
        """Note that another discovery is asked from now on, which has not confirmed these workers."""
        self._unconfirmed.update(names)
        self._valid_until = min(self._valid_until, now + NEW_SOURCE_COUNTS_AFTER_MS)

    def update(self, now: float) -> set[str]:
        """Return the workers that are held back from now on."""
        if now < self._valid_until:
            return set()
        newly_held = self._unconfirmed - self.held_back
        self.held_back |= newly_held
        self._unconfirmed, self._valid_until = set(), math.inf
        return newly_held

    def may_send(self, name: str, now: float) -> bool:
        """Return whether a request may be written to the worker of this name now."""
        return name not in self.held_back and (name not in self._unconfirmed or now < self._valid_until)

    def confirm(self) -> set[str]:
        """Note an answer of discovery, and return the names of the workers that it releases."""
        released, self.held_back = self.held_back, set()
        self._unconfirmed, self._valid_until = set(), math.inf
        return released

    def next_at(self) -> float:
        """Return when workers are held back next; infinity: never."""
        return self._valid_until
