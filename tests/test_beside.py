"""The decisions of two processes that stand in for one instance while a new version takes over."""

from __future__ import annotations

import pytest

from eiderpin import explain
from eiderpin import interface as api
from eiderpin.core import learned
from eiderpin.decide import Dispatcher
from tests.conftest import fleet, listed, make_settings, sends


def started(settings: api.Settings, count: int = 4, **changes: object) -> Dispatcher:
    d = Dispatcher(settings, 1)
    d.handle(1000.0, [listed(fleet(count, **changes))])
    return d


def asked(d: Dispatcher, jobs: int, at: float = 1010.0) -> list[str]:
    """The workers that so many jobs are sent to."""
    got = d.handle(at, [api.Request(i + int(at), "read", 4000.0, hint=100.0) for i in range(jobs)])
    for step in range(1, 40):
        got += d.handle(at + 10 * step, [])
    return [a.worker for a in sends(got)]


@pytest.mark.parametrize("tells_start", [False, True])
def test_what_the_other_holds_takes_room(tells_start: bool) -> None:
    """Also where slots are learned by trials of one more: what the other holds is no free slot."""
    settings = make_settings(tells_start=tells_start, ratings=False, instances=1)
    d = started(settings)
    full = {f"w{i}": (5.0, 0.0) for i in range(3)}
    d.handle(1005.0, [api.Beside(full)])
    assert set(asked(d, 3)) == {"w3"}
    d.handle(2000.0, [api.Beside()])
    assert set(asked(d, 8, 2010.0)) & set(full)


def test_what_it_held_at_its_end_fades() -> None:
    d = started(make_settings(instances=1))
    d.handle(1005.0, [api.Beside({"w0": (4.0, 0.0)})])
    d.handle(1006.0, [api.Beside(gone=True)])
    assert explain.worker(d, "w0")["others"] == pytest.approx(4.0)
    d.handle(1006.0 + 10 * d.mean_run_ms, [])
    assert explain.worker(d, "w0")["others"] < 0.1


def test_a_cold_worker_s_budget_is_one_for_both() -> None:
    settings = make_settings(instances=1)
    d = started(settings, 1, born=990.0)
    assert asked(d, 1)
    (told,) = [d.describe_commitments().holds["w0"]]
    assert told[1] > 0
    other = started(settings, 1, born=990.0)
    other.handle(1005.0, [api.Beside({"w0": (0.0, 1e6)})])
    assert not asked(other, 1)


def test_what_was_learned_is_taken_over_before_the_first_run_only() -> None:
    settings = make_settings(tells_start=True, ratings=False, instances=1)
    old, new = started(settings), started(settings)
    assert learned.collect(old) == {}
    learned.apply_to(old, {"shapes": {"std": (7.0, 3.0, 1.5, 900.0, 600.0)},
                       "workers": {"w1": (2.0, 4.0, 2.0, 0.5)},
                       "fleet": {"": (800.0, 900.0, 600.0)}})  # fmt: skip
    learned.apply_to(new, learned.collect(old))
    for d in (old, new):
        facts = explain.worker(d, "w1")
        assert (facts["slots"], facts["slowness"]) == (7.0, pytest.approx(3.0))
        assert d.faulty(d.workers["w1"])
        assert (d.mean_run_ms, d.mean_slowdown, d.shapes["std"].failed_slot_trials) == (800.0, 1.5, 3)
    learned.apply_to(new, {"shapes": {"std": (2.0, 0.0, 9.0, 9.0, 1.0)}})
    assert explain.worker(new, "w0")["slots"] == 7.0
