"""Held memory does not grow with the jobs that have ended, however workers report their load."""

from __future__ import annotations

import pytest

from benchmarks.growth.decisions import Reporting, Scenario, measure
from benchmarks.growth.trend import Sample, find_trend
from eiderpin.policy.recent_attempts import REPORT_AGE_MS, RecentAttempts


@pytest.mark.parametrize("rejects", [True, False], ids=["with rejections", "without rejections"])
@pytest.mark.parametrize("reporting", Reporting, ids=lambda reporting: str(reporting.value))
def test_decisions_hold_no_more_memory_after_more_jobs(reporting: Reporting, rejects: bool) -> None:
    """Each attempt at a worker that reports nothing and turns nothing away was remembered for good."""
    trend = find_trend(measure(Scenario(reporting, rejects, False, seed=1), 9000))
    assert not trend.grows, trend


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
