"""Operators' overrides for workers, which all dispatchers apply: documents `orders/workers/NAME`. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import orjson

from eiderpin.interface import WorkerEntry, WorkerState
from eiderpin.store.names import WORKER_OVERRIDES

PREFIX = WORKER_OVERRIDES
MAX_SLOTS = 10_000.0


@dataclass(slots=True, frozen=True)
class WorkerOverride:
    """An operator's override for one worker.

    Attributes:
        cordon: The worker gets no new jobs, as if it were draining.
        slots: Cap on the jobs that run there at the same time; None: no cap.
        why: The operator's reason.
    """

    cordon: bool = False
    slots: float | None = None
    why: str = ""

    def pack(self) -> bytes:
        """Serialize the override as the value of its document."""
        return orjson.dumps({"cordon": self.cordon, "slots": self.slots, "why": self.why})


def read(value: bytes) -> WorkerOverride:
    """Deserialize an override. Raises `ValueError` with the field, the value and what is expected."""
    try:
        decoded: Any = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"an override must be JSON: {error}") from None
    if not isinstance(decoded, dict):
        raise ValueError(f"an override must be an object, not {decoded!r}")
    for name in decoded:
        if name not in ("cordon", "slots", "why"):
            raise ValueError(f"{name}: no such field; there are cordon, slots, why")
    cordon, slots, why = decoded.get("cordon", False), decoded.get("slots"), decoded.get("why", "")
    if not isinstance(cordon, bool):
        raise ValueError(f"cordon: {cordon!r}; true or false is expected")
    if slots is not None:
        if isinstance(slots, bool) or not isinstance(slots, int | float) or not 1 <= slots <= MAX_SLOTS:
            raise ValueError(f"slots: {slots!r}; a number from 1 to {MAX_SLOTS:g} is expected")
        slots = float(slots)
    if not isinstance(why, str):
        raise ValueError(f"why: {why!r}; text is expected")
    return WorkerOverride(cordon, slots, why)


class StoredOverrides:
    """The overrides in the store, by worker. Implements `core.dispatcher.WorkerOverrides`."""

    def __init__(self) -> None:
        """Start without overrides."""
        self.overrides: dict[str, WorkerOverride] = {}

    def set_override(self, name: str, override: WorkerOverride | None) -> bool:
        """Set the override of a worker, or remove it (None). Return whether that changes anything."""
        if self.overrides.get(name) == override:
            return False
        if override is None:
            del self.overrides[name]
        else:
            self.overrides[name] = override
        return True

    def apply(self, entry: WorkerEntry) -> WorkerEntry:
        """Return the worker with its override applied.

        An override only restricts: a worker that its source reports as draining stays so, and a cap above the
        worker's slots has no effect."""
        override = self.overrides.get(entry.name)
        if override is None or entry.state is WorkerState.GONE:
            return entry
        slots = entry.slots
        if override.slots is not None:
            slots = override.slots if slots is None else min(slots, override.slots)
        return replace(entry, state=WorkerState.DRAINING if override.cordon else entry.state, slots=slots)
