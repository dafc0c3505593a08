"""Decisions of two processes that act as one dispatcher instance while a new version takes over."""

from __future__ import annotations

import pytest

from eiderpin import explain
from eiderpin import interface as api
from eiderpin.core import learned
from eiderpin.decide import Dispatcher
from tests.conftest import fleet, listed, make_settings, sends


def started_dispatcher(settings: api.Settings, count: int = 4, **changes: object) -> Dispatcher:
    """A dispatcher that knows `count` workers."""
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(count, **changes))])
    return dispatcher


def send_jobs(dispatcher: Dispatcher, jobs: int, at: float = 1010.0) -> list[str]:
    """Request so many jobs and return the workers that they are sent to."""
    actions = dispatcher.handle(
        at, [api.Request(i + int(at), "read", 4000.0, hint=100.0) for i in range(jobs)]
    )
    for step in range(1, 40):
        actions += dispatcher.handle(at + 10 * step, [])
    return [a.worker for a in sends(actions)]


@pytest.mark.parametrize("tells_start", [False, True])
def test_slots_held_by_the_peer_process_are_not_free(tells_start: bool) -> None:
    """Without counting what the peer process holds, both processes would fill the same slots. That goes as
    well where slots are learned by trials of one slot more."""
    settings = make_settings(tells_start=tells_start, ratings=False, instances=1)
    dispatcher = started_dispatcher(settings)
    full = {f"w{i}": (5.0, 0.0) for i in range(3)}
    dispatcher.handle(1005.0, [api.Beside(full)])
    assert set(send_jobs(dispatcher, 3)) == {"w3"}
    dispatcher.handle(2000.0, [api.Beside()])
    assert set(send_jobs(dispatcher, 8, 2010.0)) & set(full)


def test_slots_held_by_an_ended_peer_process_decay() -> None:
    """The jobs of an ended peer process run on without any further report of their end."""
    dispatcher = started_dispatcher(make_settings(instances=1))
    dispatcher.handle(1005.0, [api.Beside({"w0": (4.0, 0.0)})])
    dispatcher.handle(1006.0, [api.Beside(gone=True)])
    assert explain.worker(dispatcher, "w0")["others"] == pytest.approx(4.0)
    dispatcher.handle(1006.0 + 10 * dispatcher.mean_run_ms, [])
    assert explain.worker(dispatcher, "w0")["others"] < 0.1


def test_both_processes_share_one_budget_for_a_cold_worker() -> None:
    """If each process had a budget of its own, a cold worker would be sent twice what it may be."""
    settings = make_settings(instances=1)
    dispatcher = started_dispatcher(settings, 1, born=990.0)
    assert send_jobs(dispatcher, 1)
    (held,) = [dispatcher.describe_commitments().holds["w0"]]
    assert held[1] > 0
    other = started_dispatcher(settings, 1, born=990.0)
    other.handle(1005.0, [api.Beside({"w0": (0.0, 1e6)})])
    assert not send_jobs(other, 1)


def test_learned_values_are_accepted_only_before_the_first_run() -> None:
    """Values of an older process must not replace what this one has learned itself."""
    settings = make_settings(tells_start=True, ratings=False, instances=1)
    old, new = started_dispatcher(settings), started_dispatcher(settings)
    assert learned.collect(old) == {}
    learned.apply_to(old, {"shapes": {"std": (7.0, 3.0, 1.5, 900.0, 600.0)},
                       "workers": {"w1": (2.0, 4.0, 2.0, 0.5)},
                       "fleet": {"": (800.0, 900.0, 600.0)}})  # fmt: skip
    learned.apply_to(new, learned.collect(old))
    for dispatcher in (old, new):
        facts = explain.worker(dispatcher, "w1")
        assert (facts["slots"], facts["slowness"]) == (7.0, pytest.approx(3.0))
        assert dispatcher.is_faulty(dispatcher.workers["w1"])
        assert (
            dispatcher.mean_run_ms,
            dispatcher.mean_slowdown,
            dispatcher.shapes["std"].failed_slot_trials,
        ) == (800.0, 1.5, 3)
    learned.apply_to(new, {"shapes": {"std": (2.0, 0.0, 9.0, 9.0, 1.0)}})
    assert explain.worker(new, "w0")["slots"] == 7.0
