"""Held memory does not grow with the jobs that have ended, however workers report their load."""

from __future__ import annotations

import pytest

from benchmarks.growth.decisions import Reporting, Scenario, measure
from benchmarks.growth.trend import Sample, find_trend
from eiderpin import interface as api
from eiderpin.core import dispatcher
from eiderpin.decide import Dispatcher
from eiderpin.policy.departed_workers import DEPARTED_RETENTION_MS
from eiderpin.policy.recent_attempts import REPORT_AGE_MS, RecentAttempts
from tests.conftest import entry, listed, make_settings
from tests.crossing import running_harness
from tests.test_core import worker_entry
from tests.test_run_once_records import Core


@pytest.mark.parametrize("rejects", [True, False], ids=["with rejections", "without rejections"])
@pytest.mark.parametrize("reporting", Reporting, ids=lambda reporting: str(reporting.value))
def test_decisions_hold_no_more_memory_after_more_jobs(reporting: Reporting, rejects: bool) -> None:
    """Each attempt at a worker that reports nothing and turns nothing away was remembered for good."""
    trend = find_trend(measure(Scenario(reporting, rejects, False, seed=1), 9000))
    assert not trend.grows, trend


def test_decisions_forget_workers_whose_names_do_not_return() -> None:
    """Each worker that left the list was remembered for the life of the process, some 3 KB each."""
    trend = find_trend(measure(Scenario(Reporting.NONE, True, True, seed=1), 9000))
    assert not trend.grows, trend


def list_workers(decisions: Dispatcher, now: float, *names: str) -> None:
    """Report a complete list of these workers to the decisions."""
    decisions.handle(now, [listed([entry(name) for name in names])])


def test_a_worker_that_comes_back_soon_is_the_one_that_left() -> None:
    """A list that lacks a worker for a moment must not make all forget what was learned of it."""
    decisions = Dispatcher(make_settings(), 1)
    list_workers(decisions, 1000.0, "w1", "w2")
    known = decisions.workers["w1"]
    list_workers(decisions, 2000.0, "w2")
    list_workers(decisions, 2000.0 + DEPARTED_RETENTION_MS - 5.0, "w1", "w2")
    list_workers(decisions, 2000.0 + DEPARTED_RETENTION_MS + 5.0, "w1", "w2")
    assert decisions.workers["w1"] is known
    left_at = 3000.0 + DEPARTED_RETENTION_MS
    list_workers(decisions, left_at, "w2")
    list_workers(decisions, left_at + DEPARTED_RETENTION_MS + 5.0, "w2")
    assert list(decisions.workers) == ["w2"]


def test_a_worker_that_left_is_remembered_while_it_has_an_attempt() -> None:
    """What it reports later must still find its worker."""
    decisions = Dispatcher(make_settings(), 1)
    list_workers(decisions, 1000.0, "w1")
    decisions.handle(1010.0, [api.Request(1, "pay", 500_000.0)])
    sent = [action for action in decisions.handle(1100.0, []) if isinstance(action, api.Send)]
    assert sent or decisions.workers["w1"].open_attempts
    for minute in range(1, 4):
        list_workers(decisions, 2000.0 + minute * (DEPARTED_RETENTION_MS + 5.0), "w2")
        assert "w1" in decisions.workers
    ended = api.AttemptEnded(1, 0, "w1", api.Outcome.DONE, 100.0, True)
    decisions.handle(300_000.0, [ended])
    list_workers(decisions, 300_000.0 + 2 * DEPARTED_RETENTION_MS, "w2")
    assert "w1" not in decisions.workers


def test_the_dispatcher_forgets_endpoints_whose_names_do_not_return() -> None:
    """They were kept for the life of the process; a discovery that invents names filled the memory."""
    running = Core(1 << 20)
    for number in range(400):
        running.advance_clock(1000.0)
        names = [f"new-{number}", f"new-{number + 1}"]
        workers = [(worker_entry(name), name) for name in names]
        running.core.apply_worker_list(running.link, api.ListKind.COMPLETE, workers)
        running.core.decide()
    most = (DEPARTED_RETENTION_MS + 2 * dispatcher.DEPARTED_CHECK_INTERVAL_MS) / 1000.0
    assert len(running.core.endpoints) <= most + 2
    running.run("still served", b"r")


def test_start_times_of_workers_that_a_whole_list_lacks_are_forgotten() -> None:
    """Only an entry that said so made one go; names that whole lists no longer had stayed for good."""
    with running_harness(discovery="127.0.0.1:9") as harness:
        source = harness.service.discovery
        assert source is not None
        for number in range(100):
            pairs = [(entry(name, born=5.0), ("127.0.0.1", 9)) for name in ("stays", f"new-{number}")]
            source.with_local_start_times(pairs, whole=True)
        source.with_local_start_times([(entry("changed", born=5.0), ("127.0.0.1", 9))])
        assert sorted(source.start_times) == ["changed", "new-99", "stays"]


def test_ended_attempts_are_remembered_for_no_longer_than_a_report_may_be_old() -> None:
    """They are dropped at the next end, and not only when a load is observed."""
    recent = RecentAttempts()
    for number in range(1000):
        recent.add(number - 10.0, float(number), 1.0)
        assert len(recent) <= REPORT_AGE_MS + 1
    assert recent.slots_held_at(999.0 - 5.0, 999.0) == 5.0
    assert recent.slots_held_at(999.0, 999.0 + REPORT_AGE_MS) == 0.0
    assert len(recent) == 0


def test_growth_of_a_byte_for_each_job_is_found_and_noise_is_not() -> None:
    """A check that finds nothing would pass whatever grows."""
    noise = [Sample(jobs, 100_000 + 900 * (-1) ** (jobs // 100)) for jobs in range(100, 2500, 100)]
    assert not find_trend(noise).grows
    growing = [Sample(sample.jobs, sample.held_bytes + 2 * sample.jobs) for sample in noise]
    assert find_trend(growing).grows
    assert find_trend(growing).bytes_per_job == pytest.approx(2.0)
