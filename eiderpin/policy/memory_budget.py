"""How much memory may be used for what peers have sent or left unread, and what is dropped when that is over.

Peers do not all need the memory that they hold: a request that stays incomplete, an answer that is not read
or requests that wait behind another one can be dropped without harm to a job that is under way. So when a
peer needs memory and there is none left, it is taken from such holders, and nobody else is rejected for them.

Small holdings are not counted: every connection may have one, so their sum is limited by the number of
connections.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

SMALL_HOLDING_BYTES = 4096


class HoldingKind(IntEnum):
    """Why a holder's memory may be taken away; the lowest kind goes first."""

    CLOSING = 0  # output of a connection that is being closed
    UNREAD = 1  # answers that the peer has not read
    PARTIAL = 2  # a request that has not been received completely
    WAITING_BEHIND = 3  # requests behind the one that is being served on the same connection


class Holder(Protocol):
    """Something that holds memory for a peer."""

    def give_up_memory(self, kind: HoldingKind) -> None:
        """Drop what is held of this kind; the budget must know of less afterwards."""
        ...


class MemoryBudget:
    """The bytes that holders have, within a limit that is shared by all of them.

    Args:
        limit_bytes: Of all holdings that are not small, together.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Begin without holders."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.drops = 0  # how often memory was taken from a holder
        self._sizes: dict[Holder, int] = {}
        self._droppable: dict[HoldingKind, dict[Holder, None]] = {kind: {} for kind in HoldingKind}
        self._kinds: dict[Holder, HoldingKind] = {}

    def update(self, holder: Holder, size: int, kind: HoldingKind | None) -> bool:
        """Note what a holder has now; `kind` is None if nothing of it can be dropped.

        Returns whether the holder has grown beyond a small holding, so that the limit is to be checked.
        """
        size = size if size > SMALL_HOLDING_BYTES else 0
        before = self._sizes.get(holder, 0)
        self.held_bytes += size - before
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)
        self._set_kind(holder, kind if size else None)
        return size > before

    def _set_kind(self, holder: Holder, kind: HoldingKind | None) -> None:
        """Move a holder to the end of the queue of its kind, unless it is in that queue already."""
        old = self._kinds.get(holder)
        if old is kind:
            return
        if old is not None:
            del self._droppable[old][holder]
            del self._kinds[holder]
        if kind is not None:
            self._droppable[kind][holder] = None
            self._kinds[holder] = kind

    def remove(self, holder: Holder) -> None:
        """Forget a holder that has released its memory."""
        self.update(holder, 0, None)

    def has_room_for(self, size: int) -> bool:
        """Return whether a further holding of this size is within the limit."""
        return self.held_bytes + size <= self.limit_bytes

    def make_room(self, further: int = 0, exempt: Holder | None = None) -> bool:
        """Take memory from holders until `further` bytes are within the limit, and return whether they are.

        It ends in vain at the holder `exempt`, or where nothing can be dropped any more.
        """
        while not self.has_room_for(further):
            candidate = self.next_to_drop()
            if candidate is None or candidate[0] is exempt:
                return False
            holder, kind = candidate
            self.drops += 1
            holder.give_up_memory(kind)
        return True

    def next_to_drop(self) -> tuple[Holder, HoldingKind] | None:
        """Return whose memory is to be taken away next: of the lowest kind, whoever has had it for longest.

        A request that comes whole is incomplete for a short time only, so the oldest is the least likely to
        be completed. None if nothing can be dropped.
        """
        for kind, holders in self._droppable.items():
            for holder in holders:
                return holder, kind
        return None
