"""Rules that matter for one dispatcher of two hundred, where each sends a worker only a few jobs.

A worker that is full with other dispatchers' jobs, or bad for all of them, shows it to each dispatcher once
or twice. These tests create such a fleet from one dispatcher's point of view, and fail without the rules for
it (docs/fleet.md).
"""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.decide import COLD_BUDGET_SHARE, TRUSTED_ONLY_AIM_SHARE
from tests.conftest import fleet, make_settings, sends
from tests.test_lifecycle import DispatcherHarness


def send_one(harness: DispatcherHarness, number: int, cls: str, ms: float = 40.0) -> api.Send:
    """Request one job and return its only send within `ms`."""
    (sent,) = sends(harness.handle(api.Request(number, cls, 4000, hint=50.0)) + harness.advance(ms))
    return sent


def harness_with_trusted_workers(
    seed: int, failure: bool = True, served: tuple[str, ...] = ("w5", "w9")
) -> DispatcherHarness:
    """Two hundred workers; attempts of ours succeeded at `served`, and one failed at w1 if `failure`."""
    harness = DispatcherHarness(make_settings(instances=200), fleet(200), seed)
    for name in served:
        harness.dispatcher.record_result(harness.dispatcher.workers[name], False)
    if failure:
        harness.dispatcher.record_result(harness.dispatcher.workers["w1"], True)
    return harness


def test_after_a_failure_single_shots_go_to_trusted_workers() -> None:
    """A worker that fails every other attempt is met by each dispatcher too rarely to be noticed. A worker
    that has served this dispatcher lately is less often a bad one."""
    workers = {send_one(harness_with_trusted_workers(seed), 1, "pay").worker for seed in range(30)}
    assert workers <= {"w5", "w9"}


def test_without_a_failure_single_shots_go_to_any_worker() -> None:
    """Restricting the draw while nothing fails would load the trusted workers for nothing."""
    workers = {
        send_one(harness_with_trusted_workers(seed, failure=False), 1, "pay").worker for seed in range(30)
    }
    assert len(workers - {"w5", "w9"}) >= 20


def test_a_dispatcher_with_many_jobs_per_worker_needs_no_trusted_workers() -> None:
    """Such a dispatcher learns of bad workers from its own attempts."""
    harnesses = [harness_with_trusted_workers(seed) for seed in range(30)]
    for harness in harnesses:
        harness.dispatcher.our_slots = 10.0 * len(harness.dispatcher.workers)
    assert len({send_one(harness, 1, "pay").worker for harness in harnesses} - {"w5", "w9"}) >= 20


def test_without_trusted_workers_a_single_shot_does_not_wait() -> None:
    """Waiting would not find a trusted worker."""
    harness = harness_with_trusted_workers(1, served=())
    harness.handle(api.Request(1, "pay", 4000, hint=50.0))
    assert len(sends(harness.advance(3 * harness.dispatcher.settings.tick))) == 1


def test_a_single_shot_goes_elsewhere_when_trusted_workers_stay_full() -> None:
    """It waits for them only for a share of its aim; otherwise it would miss it."""
    harness = harness_with_trusted_workers(1)
    for name in ("w5", "w9"):
        # full with jobs of others
        harness.dispatcher.note_others(harness.dispatcher.workers[name], 10.0, 0.0)
    harness.handle(api.Request(1, "pay", 4000, hint=50.0))
    aim = harness.dispatcher.classes["pay"].aim
    assert sends(harness.advance(TRUSTED_ONLY_AIM_SHARE * aim - 10)) == []
    # The next turn comes late, as those that placed nothing have become rare.
    (sent,) = sends(harness.advance(5 * harness.dispatcher.round_ms))
    assert sent.worker not in ("w5", "w9", "w1")


def test_a_worker_is_not_trusted_after_a_failure() -> None:
    """An earlier success must not outweigh a later failure."""
    harness = harness_with_trusted_workers(1)
    harness.dispatcher.record_result(harness.dispatcher.workers["w5"], True)
    workers = {send_one(harness_with_trusted_workers(seed), 1, "pay").worker for seed in range(5)}
    assert (
        "w5" in {w.name for w in harness.dispatcher.whole_pool.items}
        and "w5" not in harness.dispatcher.trusted_pool.positions
    )
    assert workers <= {"w5", "w9"}
    later = {send_one(h, 1, "pay").worker for h in [harness]}
    assert later == {"w9"}


def cold_fleet(open_jobs: int, instances: int = 40) -> list[DispatcherHarness]:
    """The dispatchers of one fleet with so many open jobs each, and forty workers that are all cold."""
    harnesses = []
    for i in range(instances):
        settings = make_settings(tells_start=True, instances=instances, instance=i, cold_window=2000.0)
        harness = DispatcherHarness(settings, fleet(40, born=900.0))
        for number in range(open_jobs):
            harness.handle(api.Request(number, "read", 4000, hint=400.0))
        harnesses.append(harness)
    return harnesses


def count_budget_holders(harnesses: list[DispatcherHarness], name: str) -> int:
    """How many dispatchers may send the worker something."""
    return sum(h.dispatcher.cold_budget(h.dispatcher.workers[name], 400.0) > 0 for h in harnesses)


def test_more_dispatchers_share_a_cold_budget_when_each_has_few_jobs() -> None:
    """A share is at least one job, of which a dispatcher with few jobs uses little. If only as many held one
    as fill the budget between them, most of it would be left idle."""
    few, many = cold_fleet(open_jobs=1), cold_fleet(open_jobs=200)
    for name in ("w0", "w7", "w23"):
        dispatcher, settings = many[0].dispatcher, many[0].dispatcher.settings
        budget = max(h.dispatcher.cold_budget(h.dispatcher.workers[name], 400.0) for h in many)
        capacity = dispatcher.warmth(dispatcher.workers[name]) * dispatcher.slots(dispatcher.workers[name])
        whole = COLD_BUDGET_SHARE * settings.cold_multiple * capacity * settings.cold_window
        assert count_budget_holders(many, name) * budget <= whole + 1e-6
        # If all are used at once, they exceed the whole by no more than half of what is allowed for chance.
        calls = whole / COLD_BUDGET_SHARE / 400.0
        assert count_budget_holders(few, name) * budget / 400.0 <= calls + calls**0.5 + 1
        assert count_budget_holders(few, name) >= 2 * count_budget_holders(many, name)


def test_both_of_two_dispatchers_share_a_cold_budget() -> None:
    """Where an even share is more than a job, every dispatcher holds one, however many jobs it has."""
    for open_jobs in (1, 200):
        harnesses = cold_fleet(open_jobs, instances=2)
        assert count_budget_holders(harnesses, "w3") == 2
