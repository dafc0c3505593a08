"""Which workers of the list may be sent requests, by what discovery has confirmed."""

from __future__ import annotations

from collections.abc import Iterable


class ListValidity:
    """Holds back the workers that are known only from a list which discovery has not confirmed.

    A process begins with the list that the previous process stored. What has changed since then counts as
    delivered from its first moment, whether discovery answers or not. So a worker of that list may drain or
    be gone, and is sent nothing until discovery has answered, however long that takes.
    """

    def __init__(self) -> None:
        """Hold back nobody."""
        self.held_back: set[str] = set()  # names of the workers that must be sent nothing

    def hold_back(self, names: Iterable[str]) -> None:
        """Hold back workers that only an unconfirmed list names."""
        self.held_back.update(names)

    def confirm(self) -> set[str]:
        """Note an answer of discovery, and return the names of the workers that it releases."""
        released, self.held_back = self.held_back, set()
        return released
