"""A change of the list at any moment of an outage of discovery, however its calls fail.

It is known within 6 s of when discovery had it and could be reached.
"""

from __future__ import annotations

import random
from typing import Any

import pytest

from tests.test_discovery_ends import (
    FAILURES,
    KNOWN_WITHIN_MS,
    ON_REQUEST,
    is_draining,
    run_agent,
    watched_agent,
)

MOMENTS = 40
OUTAGE_MS = 5000.0
BEFORE_MS = 2500.0  # moments begin so long before the outage, and end so long after it
SEED = 43


def moments() -> list[float]:
    """MOMENTS times in ms from the beginning of an outage, one at random in each of as many equal spans."""
    rng = random.Random(SEED)
    span = (OUTAGE_MS + 2 * BEFORE_MS) / MOMENTS
    return [span * (number + rng.random()) - BEFORE_MS for number in range(MOMENTS)]


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("settings", [{}, ON_REQUEST], ids=["pushed", "on request"])
def test_a_change_at_any_moment_around_an_outage_is_known_in_time(
    settings: dict[str, Any], failure: str
) -> None:
    """Guards against waits between failed calls that add up to more than the time for a change."""
    for moment in moments():
        with watched_agent(**settings) as (harness, agent):
            began_at = harness.clock.now() + BEFORE_MS
            ended_at, change_at = began_at + OUTAGE_MS, began_at + moment
            reachable_at = ended_at if began_at <= change_at < ended_at else change_at
            while not is_draining(harness):
                now = harness.clock.now()
                assert now < reachable_at + KNOWN_WITHIN_MS, f"moment {moment:.0f}"
                agent.failure = FAILURES[failure] if began_at <= now < ended_at else None
                if change_at <= now and agent.rows["w0"]["lifecycle"] == "Ready":
                    agent.list_worker(harness.workers[0], "Terminating")
                run_agent(harness, agent, ms=20)
