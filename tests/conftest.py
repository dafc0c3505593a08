"""Shared helpers for tests of the decisions: settings and workers of a small site, and filters of actions."""

from __future__ import annotations

import pytest
from hypothesis import settings as hypothesis_settings

from eiderpin import interface as api
from tests import known_red

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, max_examples=40)
hypothesis_settings.load_profile("ci")


def make_settings(**changes: object) -> api.Settings:
    """Settings with three classes, one for each kind of repeat, for a site of four instances."""
    base = api.Settings(
        classes=[
            api.RequestClass("read", aim=400, aim_stretch=1, deadline=4000, repeat=api.Repeat.FREE),
            api.RequestClass(
                "keyed", aim=400, aim_stretch=1, deadline=4000, repeat=api.Repeat.GUARDED,
                scope=api.Scope.ZONE, memory_span=2000,
            ),
            api.RequestClass("pay", aim=400, aim_stretch=1, deadline=4000, repeat=api.Repeat.SINGLE_SHOT),
        ],
        instances=4,
        zone="a",
        tick=5,
        answer_grace=20,
        drain_grace=500,
        may_cancel=True,
        cold_share=0.25,
        warm_up=10000,
        cold_multiple=2,
        cold_window=1000,
    )  # fmt: skip
    for key, value in changes.items():
        setattr(base, key, value)
    return base


def entry(name: str, **changes: object) -> api.WorkerEntry:
    """A list entry of a worker in service in zone a, with the given fields changed."""
    worker_entry = api.WorkerEntry(name, "a", "std", 0, api.WorkerState.IN_SERVICE, rating=4.0)
    for key, value in changes.items():
        setattr(worker_entry, key, value)
    return worker_entry


def fleet(count: int, **changes: object) -> list[api.WorkerEntry]:
    """Workers spread over two zones, and over cells of three."""
    return [entry(f"w{i}", zone="ab"[i % 2], cell=i // 3, **changes) for i in range(count)]


def listed(entries: list[api.WorkerEntry], kind: api.ListKind = api.ListKind.COMPLETE) -> api.Membership:
    """The event for a list of workers."""
    return api.Membership(kind, entries)


def sends(actions: list[api.Action]) -> list[api.Send]:
    """The sends among the actions."""
    return [a for a in actions if isinstance(a, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Refuse | api.Fail]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


@pytest.fixture
def settings() -> api.Settings:
    """Settings of `make_settings`, unchanged."""
    return make_settings()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark tests of known faults as expected to fail; one that passes then counts as failed."""
    try:
        known = {red.test: red for red in known_red.load() if red.test is not None}
    except known_red.BadKnownRed as error:
        raise pytest.UsageError(str(error)) from None
    for item in items:
        red = known.get(item.nodeid.partition("[")[0])
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{red.issue}: {red.seen}", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known faults."""
    for red in known_red.load():
        terminalreporter.write_line(f"known red: {red.what} ({red.seed}): {red.seen} ({red.issue})")
