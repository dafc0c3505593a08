"""Flows (requests) and the table of numbered slots that they, and connections, live in."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from eiderpin.core.attempts import Attempt
    from eiderpin.core.deadlines import Deadline

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


class Verdict(Enum):
    """What a final answer says; by these names it is counted."""

    SERVED = "succeeded"
    TURNED_DOWN = "declined"
    FAILED = "aborted"


@dataclass(slots=True, frozen=True)
class Answer:
    verdict: Verdict
    result: bytes = b""
    wait: float | None = None  # ms after which a turned-down client may come back


FAILED = Answer(Verdict.FAILED)


class EdgeSide(Protocol):
    """Whoever waits for a flow's answer: one connection's request at some front."""

    def answer(self, flow: Flow, answer: Answer) -> None: ...

    def progress(self, flow: Flow, share: float) -> None: ...

    def data_part(self, flow: Flow, data: bytes, warning: bool) -> None: ...


@dataclass(slots=True, eq=False)
class Flow:
    """A request from when it is taken in to its final answer."""

    cls: str
    unique: str  # the client's own id of the job; resubmissions bear it again
    target: bytes  # where it was addressed, passed on unchanged
    body: bytes
    deadline: float  # when its answer must be out
    slots: float = 1.0
    memory: float = 0.0
    tenant: str | None = None
    key: str | None = None
    hint: float | None = None
    client_retry: bool = False
    priority: int = 0
    background: bool = False  # goes on though nobody waits
    abandoned: bool = False  # nobody waits any more; what has begun runs on, and nothing else begins
    once: bool = False  # its front gives each request an id of its own: another `once` with it is refused
    id: int = -1
    job: int = 0  # its number among the durable ones; 0: it is not durable
    backstop: Deadline | None = None
    wire_id: str = ""  # what workers know it by
    waiters: list[EdgeSide] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)  # all that were made, by number
    ended: bool = False
    share: float = 0.0  # done of it, as last told
    idempotency_key: str | None = None  # as the client spelt it; workers see it so on every attempt

    @property
    def size(self) -> int:
        """Bytes that a client sent for it, and that are held while it lasts."""
        return len(self.body) + len(self.idempotency_key or "")

    @property
    def wanted(self) -> bool:
        """Whether an attempt may still begin: somebody waits for the answer, or it was to go on anyway."""
        return not self.ended and (bool(self.waiters) or self.background or bool(self.job))

    def may_have_run(self) -> bool:
        return any(s.may_have_run for s in self.attempts)
