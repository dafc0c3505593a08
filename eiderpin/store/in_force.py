"""Which version of the shared configuration observers have in force, counted by members. No I/O; times in ms.

Each member counts the reports of its observers and stores a summary as document `in_force/MEMBER`, under the
lease of its announcement. Operators' commands add up the summaries.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from eiderpin.store.observer_protocol import ConfigOutcome, Report

MAX_NAMED_LAGGING = 16  # observers that a summary lists


class Lagging(msgspec.Struct, array_like=True, frozen=True):
    """An observer that does not have the current version in force, for `behind_ms` by now."""

    name: str
    version: int
    outcome: str
    detail: str
    behind_ms: int


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """What the observers of one member have in force.

    Attributes:
        version: The version that the member holds as current.
        observers: How many it serves.
        in_force: How many of them have that version in force.
        everywhere_ms: Time from when the member had the version until the last of its observers had it in
            force; -1 while any does not.
        slowest: The last observer to have it in force.
        lagging: Up to `MAX_NAMED_LAGGING` of those that do not, longest first.
    """

    version: int
    observers: int
    in_force: int
    everywhere_ms: int
    slowest: str
    lagging: list[Lagging]


_SUMMARY_DECODER = msgspec.msgpack.Decoder(Summary)


def pack(summary: Summary) -> bytes:
    """Serialize a member's summary as the value of its document."""
    return msgspec.msgpack.encode(summary)


def read(value: bytes) -> Summary:
    """Deserialize a member's summary. Raises `msgspec.MsgspecError`."""
    return _SUMMARY_DECODER.decode(value)


@dataclass(slots=True)
class _ObserverState:
    """What one observer has reported."""

    version: int = 0
    outcome: str = ConfigOutcome.NONE.value
    detail: str = ""
    behind_since: float = 0.0  # since when it does not have the current version in force


class InForceCounts:
    """Counts which of one member's observers have the current version in force."""

    def __init__(self) -> None:
        """Start without observers or a version."""
        self.version = 0
        self.changed = False  # since the last call of `summary`
        self._current_at = 0.0  # when the member got the version
        self._states: dict[str, _ObserverState] = {}
        self._everywhere_ms = -1.0
        self._slowest = ""

    def set_current_version(self, version: int, now: float) -> None:
        """Record that the member has this version as current."""
        if version == self.version:
            return
        self.version, self._current_at = version, now
        self._everywhere_ms, self._slowest = -1.0, ""
        for state in self._states.values():
            state.behind_since = now
        self._update_completion(now, "")

    def add_observer(self, name: str, now: float) -> None:
        """Add an observer that is served from now on; what it has in force is not known yet."""
        self._states[name] = _ObserverState(behind_since=now)
        self.changed = True

    def record_report(self, name: str, report: Report, now: float) -> None:
        """Record what an observer reports to have in force."""
        state = self._states.get(name)
        if state is None:
            return
        state.version, state.outcome = report.config_version, report.outcome
        state.detail = report.detail
        self._update_completion(now, name)

    def remove_observer(self, name: str, now: float) -> None:
        """Remove an observer that is no longer served here."""
        if self._states.pop(name, None) is not None:
            self._update_completion(now, "")

    def summary(self, now: float) -> Summary:
        """Return the current summary and reset `changed`."""
        self.changed = False
        behind = [
            (name, state) for name, state in self._states.items() if not self._has_current_version(state)
        ]
        behind.sort(key=lambda pair: (pair[1].behind_since, pair[0]))
        lagging = [
            Lagging(name, state.version, state.outcome, state.detail, int(now - state.behind_since))
            for name, state in behind[:MAX_NAMED_LAGGING]
        ]
        count = len(self._states)
        return Summary(
            self.version, count, count - len(behind), int(self._everywhere_ms), self._slowest, lagging
        )

    def _has_current_version(self, state: _ObserverState) -> bool:
        if state.version != self.version:
            return False
        return not self.version or state.outcome == ConfigOutcome.IN_FORCE.value

    def _update_completion(self, now: float, name: str) -> None:
        """Note when all observers first have the version in force, and `name` as the last one."""
        self.changed = True
        if self._everywhere_ms < 0 and all(
            self._has_current_version(state) for state in self._states.values()
        ):
            self._everywhere_ms, self._slowest = now - self._current_at, name
