"""Workers that were told to drain, or to be gone, stay out of service though an older list still names them.

The failure: after a reload that named a discovery whose list runs behind, workers that drain got jobs again
until that list had caught up.
"""

from __future__ import annotations

from typing import Any

import pytest

from eiderpin import interface as api
from eiderpin.policy.drain_records import MAX_LIST_LAG_MS, DrainRecords
from tests.test_discovery_ends import ON_REQUEST, is_draining, run_agent, serve_requests, watched_agent
from tests.test_discovery_ends import Agent as DiscoveryAgent

IN_SERVICE, DRAINING, GONE = api.WorkerState.IN_SERVICE, api.WorkerState.DRAINING, api.WorkerState.GONE
DRAIN_GRACE_MS = 500.0


def entry(state: api.WorkerState, born: float | None = None, name: str = "w1") -> api.WorkerEntry:
    """An entry of a list."""
    return api.WorkerEntry(name, "a", "m", 0, state, 1.0, born)


def states(entries: list[api.WorkerEntry]) -> dict[str, api.WorkerState]:
    """The states of entries by worker."""
    return {e.name: e.state for e in entries}


def test_an_entry_of_another_source_with_the_same_start_brings_no_worker_back() -> None:
    """Guards against older lists, whole ones and changes, for workers that drain and that are gone."""
    for whole in (True, False):
        for ended, kept in ((DRAINING, {"w1": DRAINING}), (GONE, {})):
            for born in (None, 1000.0):
                records = DrainRecords()
                records.apply([entry(IN_SERVICE, born)], True, 0.0)
                records.apply([entry(ended, born)], False, 1.0)
                records.change_source(2.0)
                assert states(records.apply([entry(IN_SERVICE, born)], whole, 3.0)) == kept


def test_a_worker_that_a_whole_list_lacks_is_not_brought_back_either() -> None:
    """It is gone by the former source, though no entry said so."""
    records = DrainRecords()
    records.apply([entry(IN_SERVICE), entry(IN_SERVICE, name="w2")], True, 0.0)
    records.apply([entry(IN_SERVICE, name="w2")], True, 1.0)
    records.change_source(2.0)
    applied = records.apply([entry(IN_SERVICE), entry(IN_SERVICE, name="w2")], True, 3.0)
    assert states(applied) == {"w2": IN_SERVICE}


def test_a_new_start_or_the_source_itself_brings_a_worker_back() -> None:
    """A worker must not be kept out of service for longer than the lists say."""
    records = DrainRecords()
    for state in (DRAINING, IN_SERVICE, GONE, IN_SERVICE):  # the source that told it
        assert states(records.apply([entry(state)], False, 0.0)) == {"w1": state}
    records.apply([entry(DRAINING)], False, 1.0)
    records.change_source(2.0)
    assert states(records.apply([entry(IN_SERVICE, 50.0)], False, 3.0)) == {"w1": IN_SERVICE}  # a new start
    records.apply([entry(DRAINING, 50.0)], False, 4.0)
    records.change_source(5.0)
    for state in (IN_SERVICE, DRAINING):  # the new source catches up with the drain ...
        assert states(records.apply([entry(state, 50.0)], False, 6.0)) == {"w1": DRAINING}
    assert states(records.apply([entry(IN_SERVICE, 50.0)], False, 7.0)) == {
        "w1": IN_SERVICE
    }  # ... and ends it


def test_records_of_a_former_source_end_and_the_list_is_read_again() -> None:
    """A source that goes on listing a worker as in service is not behind, and it is right in the end."""
    records = DrainRecords()
    records.apply([entry(DRAINING)], False, 0.0)
    records.change_source(0.0)
    records.apply([entry(IN_SERVICE)], True, 1.0)
    assert not records.expire(MAX_LIST_LAG_MS - 1.0)
    assert records.expire(MAX_LIST_LAG_MS)
    assert not records.expire(MAX_LIST_LAG_MS + 1.0)
    assert states(records.apply([entry(IN_SERVICE)], True, MAX_LIST_LAG_MS + 2.0)) == {"w1": IN_SERVICE}
    records.apply([entry(DRAINING)], False, MAX_LIST_LAG_MS + 3.0)
    records.change_source(MAX_LIST_LAG_MS + 4.0)
    assert not records.expire(3 * MAX_LIST_LAG_MS)  # nothing was withheld


def test_names_that_never_return_are_forgotten() -> None:
    """The records must not grow with each worker that ever was."""
    records = DrainRecords()
    for number in range(1000):
        now = 1000.0 * number
        records.apply([entry(IN_SERVICE, name=f"w{number}")], False, now)
        records.apply([entry(GONE, name=f"w{number}")], False, now)
    assert len(records._gone) <= MAX_LIST_LAG_MS / 1000 + 1
    assert not records._listed and not records._draining


@pytest.mark.parametrize("lifecycle", ["Terminating", "Gone"])
@pytest.mark.parametrize("settings", [{}, ON_REQUEST], ids=["pushed", "on request"])
def test_workers_that_drain_get_no_jobs_after_a_reload_that_names_a_discovery_which_is_behind(
    settings: dict[str, Any], lifecycle: str
) -> None:
    """Guards against jobs at workers that the former discovery told to drain, or to be gone."""
    with watched_agent(**settings) as (harness, agent):
        agent.list_worker(harness.workers[0], lifecycle)
        run_agent(harness, agent, until=lambda: is_draining(harness))
        run_agent(harness, agent, ms=DRAIN_GRACE_MS)
        other = DiscoveryAgent()
        for worker in harness.workers:
            other.list_worker(worker)
        assert other.generation < agent.generation
        assert harness.service.discovery is not None
        host, port = other.address.split(":")
        harness.service.discovery.change_address((host, int(port)))
        before = len(harness.workers[0].begun())
        assert serve_requests(harness, other, 5000)[1]
        other.list_worker(harness.workers[0], lifecycle)
        serve_requests(harness, other, 3000)
        assert len(harness.workers[0].begun()) == before
        other.close()
