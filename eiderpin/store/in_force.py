"""What observers have in force of the shared configuration, summed up by the members. Pure; times in ms.

Each member counts the reports of its observers and puts a summary as `in_force/MEMBER`, under the lease of
its presence. Operators' commands add the summaries up.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from eiderpin.store.observer_protocol import ConfigOutcome, Report

MOST_LAGGING = 16  # observers that a summary names


class Lagging(msgspec.Struct, array_like=True, frozen=True):
    """An observer that does not have the current version in force. `behind_ms`: for how long by now."""

    name: str
    version: int
    outcome: str
    detail: str
    behind_ms: int


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """One member's observers.

    Attributes:
        version: The version that the member holds as current.
        observers: How many it serves.
        in_force: How many of them have that version in force.
        everywhere_ms: From when the member had the version until the last of its observers had it in force;
            -1 while one has not.
        slowest: The last one to have it in force.
        lagging: Some of those that have not, longest first.
    """

    version: int
    observers: int
    in_force: int
    everywhere_ms: int
    slowest: str
    lagging: list[Lagging]


_SUMMARY = msgspec.msgpack.Decoder(Summary)


def pack(summary: Summary) -> bytes:
    """The value of a member's document."""
    return msgspec.msgpack.encode(summary)


def read(value: bytes) -> Summary:
    """Raises `msgspec.MsgspecError`."""
    return _SUMMARY.decode(value)


@dataclass(slots=True)
class _Reported:
    version: int = 0
    outcome: str = ConfigOutcome.NONE.value
    detail: str = ""
    since: float = 0.0  # it has not had the current version in force since then


class InForceCounts:
    """The reports of one member's observers."""

    def __init__(self) -> None:
        """Begin without observers or a version."""
        self.version = 0
        self.changed = False  # since `summary` was asked for last
        self._current_at = 0.0  # when the version became current here
        self._reports: dict[str, _Reported] = {}
        self._everywhere_ms = -1.0
        self._slowest = ""

    def current(self, version: int, now: float) -> None:
        """The member has a new version."""
        if version == self.version:
            return
        self.version, self._current_at = version, now
        self._everywhere_ms, self._slowest = -1.0, ""
        for reported in self._reports.values():
            reported.since = now
        self._settle(now, "")

    def connect(self, name: str, now: float) -> None:
        """An observer is served from now on; what it has in force is not known yet."""
        self._reports[name] = _Reported(since=now)
        self.changed = True

    def report(self, name: str, report: Report, now: float) -> None:
        """An observer says what it has in force."""
        reported = self._reports.get(name)
        if reported is None:
            return
        reported.version, reported.outcome = report.config_version, report.outcome
        reported.detail = report.detail
        self._settle(now, name)

    def disconnect(self, name: str, now: float) -> None:
        """An observer is no longer served here."""
        if self._reports.pop(name, None) is not None:
            self._settle(now, "")

    def summary(self, now: float) -> Summary:
        """What to put now."""
        self.changed = False
        behind = [(name, reported) for name, reported in self._reports.items() if not self._has(reported)]
        behind.sort(key=lambda pair: (pair[1].since, pair[0]))
        lagging = [
            Lagging(name, reported.version, reported.outcome, reported.detail, int(now - reported.since))
            for name, reported in behind[:MOST_LAGGING]
        ]
        count = len(self._reports)
        return Summary(
            self.version, count, count - len(behind), int(self._everywhere_ms), self._slowest, lagging
        )

    def _has(self, reported: _Reported) -> bool:
        if reported.version != self.version:
            return False
        return not self.version or reported.outcome == ConfigOutcome.IN_FORCE.value

    def _settle(self, now: float, name: str) -> None:
        """Note when all have the current version in force for the first time, and who was last."""
        self.changed = True
        if self._everywhere_ms < 0 and all(self._has(reported) for reported in self._reports.values()):
            self._everywhere_ms, self._slowest = now - self._current_at, name
