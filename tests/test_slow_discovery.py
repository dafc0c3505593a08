"""A discovery that answers slowly: its answers are received, and a watch that is silent for good is noticed.

The agent is scripted, and the test moves the clock. The failure: a call was closed after 0.7 s and made anew
under the same limit, so that no answer of a discovery that took 1 s was ever received.
"""

from __future__ import annotations

import contextlib
import itertools
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from eiderpin.net.discovery import MAX_OPEN_CALLS
from tests.crossing import Harness, Worker, job_request
from tests.slow_agent import SlowAgent
from tests.test_discovery_ends import KNOWN_WITHIN_MS, ON_REQUEST, STEP_MS, is_draining, run_agent

PUSHED: dict[str, Any] = {}
MODES = {"pushed": PUSHED, "on request": ON_REQUEST}
SLOW: dict[str, list[float]] = {
    "1 s": [1000.0],
    "2 s": [2000.0],
    "varying": [0.0, 1000.0, 300.0, 2000.0, 700.0, 0.0, 1500.0],
}
MOMENTS = 40  # of a change, spread over the time of two watches
MOMENTS_END_MS = 7000.0
MUCH_SLOWER_MS = 300_000.0  # within which an answer of 25 s is received, after all limits were shorter


@contextmanager
def slow_discovery(
    settings: dict[str, Any], delays: list[float], known: bool = False, rest_ms: float | None = 1000.0
) -> Iterator[tuple[Harness, SlowAgent]]:
    """A dispatcher with two workers whose discovery takes these delays.

    `rest_ms`: discovery becomes slow so long after the dispatcher has the list; None: it is slow from the
    start on. `known`: the dispatcher starts with a stored list.
    """
    agent, workers = SlowAgent(delays if rest_ms is None else [0.0]), [Worker("w0"), Worker("w1")]
    for worker in workers:
        agent.list_worker(worker)
    rows = [dict(row) for row in agent.rows.values()]
    config = {"known": {"generation": agent.generation, "reset": True, "instances": rows}} if known else {}
    harness = Harness(0, discovery=agent.address, settings=settings, **config)
    harness.workers = workers
    agent.now = harness.clock.now
    try:
        if rest_ms is not None:
            run_agent(harness, agent, until=lambda: len(harness.core.endpoints) == 2)
            run_agent(harness, agent, ms=rest_ms)
            agent.set_delays(delays)
        yield harness, agent
    finally:
        harness.close()
        agent.close()


def list_drain(harness: Harness, agent: SlowAgent) -> Callable[[], bool]:
    """List the worker w0 as draining; returns whether the dispatcher has received that."""
    agent.list_worker(harness.workers[0], "Terminating")
    return lambda: is_draining(harness)


def moments(seed: int) -> list[float]:
    """MOMENTS times in ms, one at random in each of as many equal spans."""
    rng = random.Random(seed)
    span = MOMENTS_END_MS / MOMENTS
    return [span * (number + rng.random()) for number in range(MOMENTS)]


@pytest.mark.parametrize("trickles", [False, True], ids=["whole", "trickled"])
@pytest.mark.parametrize("delays", SLOW.values(), ids=SLOW)
@pytest.mark.parametrize("settings", MODES.values(), ids=MODES)
def test_a_change_is_known_in_time_though_no_answer_comes_within_the_first_limit(
    settings: dict[str, Any], delays: list[float], trickles: bool
) -> None:
    """Guards against calls that are closed before a slow answer arrives, and made anew without end."""
    for moment in moments(seed=9):
        with slow_discovery(settings, delays) as (harness, agent):
            agent.trickles = trickles
            run_agent(harness, agent, ms=moment)
            took = run_agent(harness, agent, until=list_drain(harness, agent))
            assert took < KNOWN_WITHIN_MS, f"{moment:.0f} ms after discovery became slow"
            assert agent.most_open <= MAX_OPEN_CALLS


@pytest.mark.parametrize("known", [False, True], ids=["no list", "stored list"])
@pytest.mark.parametrize("delays", SLOW.values(), ids=SLOW)
@pytest.mark.parametrize("settings", MODES.values(), ids=MODES)
def test_a_dispatcher_that_starts_while_discovery_is_slow_gets_the_list(
    settings: dict[str, Any], delays: list[float], known: bool
) -> None:
    """Guards against a process that never has a list: it was not ready 30 s after its start."""
    with slow_discovery(settings, delays, known, rest_ms=None) as (harness, agent):
        watch = harness.service.discovery
        assert watch is not None
        assert run_agent(harness, agent, until=lambda: watch.has_answered) < KNOWN_WITHIN_MS
        assert harness.service.readiness().startswith("up")
        assert run_agent(harness, agent, until=list_drain(harness, agent)) < KNOWN_WITHIN_MS


@pytest.mark.parametrize("delays", SLOW.values(), ids=SLOW)
@pytest.mark.parametrize("settings", MODES.values(), ids=MODES)
def test_a_new_configuration_may_name_a_discovery_that_is_slow(
    settings: dict[str, Any], delays: list[float]
) -> None:
    """Guards against a reload after which no list is ever received and nothing can be sent."""
    with slow_discovery(settings, [0.0]) as (harness, agent):
        other = SlowAgent(delays)
        other.now = harness.clock.now
        for worker, state in zip(harness.workers, ("Terminating", "Ready"), strict=True):
            other.list_worker(worker, state)
        host, port = other.address.split(":")
        assert harness.service.discovery is not None
        harness.service.discovery.change_address((host, int(port)))
        assert run_agent(harness, other, until=lambda: is_draining(harness)) < 4000.0
        run_agent(harness, other, ms=6000)
        assert harness.service.readiness().startswith("up")
        assert run_agent(harness, agent, ms=STEP_MS) and all(peer.ended for peer in agent.peers)
        other.close()


@pytest.mark.parametrize("delays", [[0.0], [1000.0]], ids=["at once", "1 s"])
@pytest.mark.parametrize("settings", MODES.values(), ids=MODES)
def test_a_watch_that_falls_silent_for_good_is_noticed_though_other_answers_are_slow(
    settings: dict[str, Any], delays: list[float]
) -> None:
    """Guards against a limit that grows so long that changes are missed for over 6 s after the silence.

    The change comes with the silence or so long after it that the silent watch still misses it.
    """
    for moment, wait_ms in itertools.product(moments(seed=4)[::2], (0.0, 1500.0, 3500.0)):
        with slow_discovery(settings, delays) as (harness, agent):
            run_agent(harness, agent, ms=moment)
            agent.silence_open_connections()
            took = run_agent(harness, agent, ms=wait_ms)
            took += run_agent(harness, agent, until=list_drain(harness, agent))
            assert took < KNOWN_WITHIN_MS, f"{moment:.0f} ms, the change {wait_ms:.0f} ms after the silence"


@pytest.mark.parametrize("delays", [[0.0], *SLOW.values()], ids=["at once", *SLOW])
@pytest.mark.parametrize("settings", MODES.values(), ids=MODES)
def test_a_change_is_known_in_time_after_an_outage_of_any_length(
    settings: dict[str, Any], delays: list[float]
) -> None:
    """Guards against dead calls that keep their place so long that a slow answer finds none open for it."""
    for outage_ms in (200.0, 3000.0, 8000.0, 9700.0, 12_000.0, 20_000.0, 33_000.0, 47_000.0, 61_000.0):
        with slow_discovery(settings, [0.0]) as (harness, agent):
            agent.swallows_calls = True
            agent.silence_open_connections()
            run_agent(harness, agent, ms=outage_ms)
            agent.swallows_calls = False
            agent.set_delays(delays)
            took = run_agent(harness, agent, until=list_drain(harness, agent))
            assert took < KNOWN_WITHIN_MS, f"an outage of {outage_ms:.0f} ms"


@pytest.mark.parametrize("delay_ms", [4000.0, 10_000.0, 25_000.0])
@pytest.mark.parametrize("settings", MODES.values(), ids=MODES)
def test_an_answer_is_received_though_it_takes_longer_than_all_answers_before(
    settings: dict[str, Any], delay_ms: float
) -> None:
    """Guards against a limit that only answers can raise, and so stays where it is if none arrives."""
    with slow_discovery(settings, [delay_ms]) as (harness, agent):
        is_known = list_drain(harness, agent)
        run_agent(harness, agent, ms=MUCH_SLOWER_MS, until=is_known)
        assert is_known()
        agent.set_delays([0.0])
        agent.list_worker(harness.workers[1], "Terminating")
        took = run_agent(harness, agent, until=lambda: not harness.core.endpoints["w1"].in_service)
        assert took < KNOWN_WITHIN_MS  # long limits do not keep a fast answer waiting


def test_an_older_answer_on_another_connection_brings_no_worker_back() -> None:
    """Guards against an answer that is applied though one to a later call was, in which a worker drains."""
    with slow_discovery(PUSHED, [0.0]) as (harness, agent):
        agent.set_delays([4000.0, 0.0])
        run_agent(harness, agent, until=lambda: agent.pending[0].due_at is not None)
        old_answer = agent.pending[0].answer  # decided before the change, and not written yet
        assert run_agent(harness, agent, until=list_drain(harness, agent)) < 1000.0
        assert len(agent.peers) == 2
        with contextlib.suppress(OSError):  # the dispatcher may have closed that connection
            agent.peers[0].send(old_answer)
        run_agent(harness, agent, ms=KNOWN_WITHIN_MS)
        assert is_draining(harness)
        assert agent.peers[0].ended
        harness.client().send(job_request("time-lookup", "r1", wait=7000))
        run_agent(harness, agent, ms=200.0)
        assert [worker.begun() for worker in harness.workers] == [[], ["r1"]]


@pytest.mark.parametrize(
    ("settings", "delays"),
    [
        *((PUSHED, delays) for delays in ([0.0], *SLOW.values())),
        *((ON_REQUEST, delays) for delays in ([0.0], SLOW["1 s"], SLOW["varying"])),
    ],
)
def test_a_discovery_that_counts_generations_anew_is_accepted_in_time(
    settings: dict[str, Any], delays: list[float]
) -> None:
    """Guards against its lists being taken for outdated ones for longer, as each of them comes late."""
    check_new_generations_are_accepted(settings, delays)


def test_a_slow_service_that_counts_generations_anew_is_accepted_in_time() -> None:
    """The same where lists are asked for and each answer takes 2 s."""
    check_new_generations_are_accepted(ON_REQUEST, SLOW["2 s"])


def check_new_generations_are_accepted(settings: dict[str, Any], delays: list[float]) -> None:
    """Restart discovery, with a change and with generations from 1 on; check that the change is known."""
    with slow_discovery(settings, delays) as (harness, agent):
        for _ in range(20):
            agent.list_worker(harness.workers[1])
        run_agent(harness, agent, ms=8000)
        agent.generation, agent.changed_in = 1, {}
        agent.list_worker(harness.workers[1])
        is_known = list_drain(harness, agent)
        for peer in agent.peers:
            if not peer.ended:
                peer.close()
        agent.pending.clear()
        assert run_agent(harness, agent, until=is_known) < KNOWN_WITHIN_MS


def test_slow_and_silent_answers_are_told_apart(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against an outage of which counters and log do not say what discovery does."""
    with slow_discovery(PUSHED, [1000.0]) as (harness, agent), caplog.at_level("INFO", "eiderpin"):
        run_agent(harness, agent, ms=8000.0)
        assert harness.counter_value("in.discovery_slow") == 1  # later ones come within the limit learned
        assert harness.counter_value("in.discovery_given_up") == 0
        agent.swallows_calls = True
        agent.silence_open_connections()
        run_agent(harness, agent, ms=12_000.0)
        assert harness.counter_value("in.discovery_given_up") > 0
        assert harness.counter_value("in.discovery_slow") == 1
        agent.swallows_calls = False
        run_agent(harness, agent, ms=5000.0)
    late, slow, silent, old, back = [record for record in caplog.records if "list" in record.getMessage()]
    assert (late.getMessage(), late.__dict__["reason"]) == ("discovery does not tell the list", "silent")
    assert (slow.getMessage(), slow.__dict__["slow"]) == ("discovery tells the list", True)
    assert 1000 <= slow.__dict__["answer_ms"] <= 1100 < slow.__dict__["limit_ms"] <= 1650
    assert silent.getMessage() == late.getMessage()
    assert (old.getMessage(), old.levelname) == ("the list of workers is old", "WARNING")
    assert 6000 <= old.__dict__["list_age_ms"] <= 8000
    assert (back.getMessage(), back.__dict__["failed_calls"] > 3) == ("discovery tells the list", True)
