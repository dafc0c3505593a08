"""What a dispatcher does with the documents of the store that operators change: overrides for workers and the
shared configuration. It makes no difference whether they come through its own member or a subscription.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eiderpin.core.counters import Counters
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.store import orders
from eiderpin.store.names import CURRENT_CONFIG, WORKER_OVERRIDES
from eiderpin.store.observer_protocol import ConfigOutcome


@dataclass(slots=True, frozen=True)
class AppliedConfig:
    """What became of a version of the shared configuration here. As text it is what operators are shown."""

    version: str = ""
    outcome: ConfigOutcome = ConfigOutcome.NONE
    detail: str = ""

    def __str__(self) -> str:
        """What operators are shown; empty where there is no shared configuration."""
        if self.outcome is ConfigOutcome.NONE:
            return ""
        if self.outcome is ConfigOutcome.REJECTED:
            return f"version {self.version} not taken: {self.detail}"
        if self.outcome is ConfigOutcome.RESTART_NEEDED:
            return f"version {self.version} taken; a restart is needed for: {self.detail}"
        return f"version {self.version} taken"

    @property
    def number(self) -> int:
        """The version as a number; 0 where it is none."""
        return int(self.version) if self.version.isdigit() else 0


class FollowedDocuments:
    """Applies documents as they change.

    Args:
        take_shared: Applies the text of a shared configuration, and returns the names of the settings that
            count from the next start on. Raises `ValueError` where it cannot be used, and changes nothing.
        say, warn: Log lines for operators.
    """

    def __init__(
        self,
        core: Dispatcher,
        counters: Counters,
        take_shared: Callable[[bytes], list[str]],
        say: Callable[[str], None],
        warn: Callable[[str], None],
    ) -> None:
        """Begin without any override or shared configuration."""
        self.core, self.counters, self.take_shared = core, counters, take_shared
        self.say, self.warn = say, warn
        self.config = AppliedConfig()
        self.orders = orders.StoredOverrides()
        core.overrides = self.orders

    def take(self, name: str, value: bytes | None) -> None:
        """The document of this name has changed; None: it is gone."""
        if name.startswith(WORKER_OVERRIDES):
            self.take_order(name.removeprefix(WORKER_OVERRIDES), value)
        elif name == CURRENT_CONFIG:
            self.take_config(value)

    def take_order(self, worker: str, value: bytes | None) -> None:
        """The override for a worker has changed. One that cannot be read leaves it as it was."""
        order = None
        if value is not None:
            try:
                order = orders.read(value)
            except ValueError as error:
                self.warn(f"store: {WORKER_OVERRIDES}{worker} is not followed: {error}")
                return
        if self.orders.set_override(worker, order):
            self.counters.add("store.orders")
            self.say(f"store: order for worker {worker}: {order if order is not None else 'taken back'}")
            self.core.reapply_overrides([worker])

    def take_config(self, value: bytes | None) -> None:
        """The shared configuration has changed; without one, what was taken last stays in force."""
        if value is None:
            return
        head, _, text = value.partition(b"\n")
        version = head.decode("ascii", "replace")
        try:
            later = self.take_shared(text)
        except ValueError as error:
            detail = str(error).replace("\n", " ")
            self.config = AppliedConfig(version, ConfigOutcome.REJECTED, detail)
            self.warn(f"store: configuration {self.config}")
            return
        outcome = ConfigOutcome.RESTART_NEEDED if later else ConfigOutcome.IN_FORCE
        self.config = AppliedConfig(version, outcome, ", ".join(later))
        self.say(f"store: configuration {self.config}")
