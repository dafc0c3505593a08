"""Applies the store's documents that operators change: overrides for workers and the shared configuration.
They may come from the dispatcher's own member of the store or from a subscription.
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
    """What became of a version of the shared configuration here. Its text is what operators are shown."""

    version: str = ""
    outcome: ConfigOutcome = ConfigOutcome.NONE
    detail: str = ""  # why it was rejected, or which settings need a restart

    def __str__(self) -> str:
        """Text for operators; empty where there is no shared configuration."""
        if self.outcome is ConfigOutcome.NONE:
            return ""
        if self.outcome is ConfigOutcome.REJECTED:
            return f"version {self.version} not taken: {self.detail}"
        if self.outcome is ConfigOutcome.RESTART_NEEDED:
            return f"version {self.version} taken; a restart is needed for: {self.detail}"
        return f"version {self.version} taken"

    @property
    def version_number(self) -> int:
        """The version as a number; 0 where it is not one."""
        return int(self.version) if self.version.isdigit() else 0


class FollowedDocuments:
    """Applies documents as they change.

    Args:
        apply_shared_config: Applies the text of a shared configuration, and returns the names of the settings
            that take effect only after a restart. Raises `ValueError`, without changing anything, where the
            configuration cannot be used.
        log_info, log_warning: Write log lines for operators.
    """

    def __init__(
        self,
        core: Dispatcher,
        counters: Counters,
        apply_shared_config: Callable[[bytes], list[str]],
        log_info: Callable[[str], None],
        log_warning: Callable[[str], None],
    ) -> None:
        """Start without any override or shared configuration."""
        self.core, self.counters, self.apply_shared_config = core, counters, apply_shared_config
        self.log_info, self.log_warning = log_info, log_warning
        self.applied_config = AppliedConfig()
        self.overrides = orders.StoredOverrides()
        core.overrides = self.overrides

    def apply_document(self, name: str, value: bytes | None) -> None:
        """Apply a changed document; a value of None means that it was deleted."""
        if name.startswith(WORKER_OVERRIDES):
            self.apply_override(name.removeprefix(WORKER_OVERRIDES), value)
        elif name == CURRENT_CONFIG:
            self.apply_config(value)

    def apply_override(self, worker: str, value: bytes | None) -> None:
        """Apply a changed override for a worker. An unreadable one leaves the previous one in place."""
        override = None
        if value is not None:
            try:
                override = orders.read(value)
            except ValueError as error:
                self.log_warning(f"store: {WORKER_OVERRIDES}{worker} is not followed: {error}")
                return
        if self.overrides.set_override(worker, override):
            self.counters.add("store.orders")
            self.log_info(
                f"store: order for worker {worker}: {override if override is not None else 'taken back'}"
            )
            self.core.reapply_overrides([worker])

    def apply_config(self, value: bytes | None) -> None:
        """Apply a changed shared configuration; when it is deleted, the last one applied stays in force."""
        if value is None:
            return
        head, _, text = value.partition(b"\n")
        version = head.decode("ascii", "replace")
        try:
            restart_settings = self.apply_shared_config(text)
        except ValueError as error:
            detail = str(error).replace("\n", " ")
            self.applied_config = AppliedConfig(version, ConfigOutcome.REJECTED, detail)
            self.log_warning(f"store: configuration {self.applied_config}")
            return
        outcome = ConfigOutcome.RESTART_NEEDED if restart_settings else ConfigOutcome.IN_FORCE
        self.applied_config = AppliedConfig(version, outcome, ", ".join(restart_settings))
        self.log_info(f"store: configuration {self.applied_config}")
