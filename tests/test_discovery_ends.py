"""Failing calls to discovery: however they fail, a change of the list is known within 6 s of when discovery
could be reached again. The agent is scripted, and the test moves the clock."""

from __future__ import annotations

import itertools
import json
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from eiderpin.net import discovery
from eiderpin.net.discovery import MAX_OPEN_CALLS
from tests.crossing import (
    Harness,
    Peer,
    Worker,
    http_response,
    job_request,
    leads_to_worker,
    running_harness,
)

KNOWN_WITHIN_MS = 6000.0  # required by the operators of the platform
STEP_MS = 20.0  # between two turns of the agent
ON_REQUEST = {"discovery": "on_request", "rules": {"ask_within": 10_000.0, "drain_grace": 500.0}}


class Agent(Worker):
    """A scripted discovery agent: it serves a list and watches on it, or fails as `failure` says."""

    def __init__(self) -> None:
        super().__init__("agent")
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}  # by worker: the generation of its last change
        self.failure: Callable[[Peer], None] | None = None  # handles a call instead of an answer
        self.answered_requests: dict[int, int] = {}  # by number of the peer: how many are handled
        self.calls = 0  # handled so far
        self.indent: int | None = None  # of the JSON

    def list_worker(self, worker: Worker, lifecycle: str = "Ready") -> None:
        """Add a worker to the list or change it there; this makes a new generation."""
        self.generation += 1
        self.rows[worker.name] = {
            "instanceId": worker.name, "hostPort": worker.address, "zone": "a", "machineType": "m", "cell": 0,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip
        self.changed_in[worker.name] = self.generation

    def answer(self, target: str) -> bytes | None:
        """Return the answer to a call; None: the call is a watch, and nothing has changed."""
        query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
        after = int(query.get("after", -1))
        rows = [r for n, r in self.rows.items() if self.changed_in[n] > after]
        if after >= 0 and not rows and int(query["wait_ms"]):
            return None
        document = {"generation": self.generation, "reset": after < 0, "instances": rows}
        return json.dumps(document, indent=self.indent).encode()

    def serve(self) -> None:
        """Answer the calls that can be answered now, or let them fail."""
        for number, peer in enumerate(self.accept_pending()):
            calls = peer.requests()
            for call in calls[self.answered_requests.get(number, 0) :]:
                if peer.ended:
                    break
                if self.failure is None:
                    body = self.answer(call.split(b" ", 2)[1].decode())
                    if body is None:
                        break
                    peer.send(http_response(200, body=body))
                else:
                    self.failure(peer)
                self.calls += 1
                self.answered_requests[number] = self.answered_requests.get(number, 0) + 1


def trickle(peer: Peer) -> None:
    """Send the beginning of an answer only."""
    peer.send(b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{")


def cut_off(peer: Peer) -> None:
    """Close the connection in the middle of an answer."""
    trickle(peer)
    peer.close()


def send_outdated(peer: Peer) -> None:
    """Answer with an older generation than was sent before."""
    document: dict[str, Any] = {"generation": 1, "reset": False, "instances": []}
    peer.send(http_response(200, body=json.dumps(document).encode()))


FAILURES: dict[str, Callable[[Peer], None]] = {
    "silent": lambda peer: None,
    "refused": lambda peer: peer.send(http_response(503)),
    "not understood": lambda peer: peer.send(http_response(400)),
    "closed": Peer.close,
    "reset": Peer.reset,
    "cut": cut_off,
    "trickled": trickle,
    "no JSON": lambda peer: peer.send(http_response(200, body=b"<html>")),
    "no list": lambda peer: peer.send(http_response(200, body=b"[1]")),
    "older": send_outdated,
}


@contextmanager
def watched_agent(**settings: Any) -> Iterator[tuple[Harness, Agent]]:
    """A dispatcher that knows the list of two workers and has a watch open, and its agent."""
    agent = Agent()
    with running_harness(discovery=agent.address, settings=settings) as harness:
        for worker in harness.workers:
            agent.list_worker(worker)
        run_agent(harness, agent, until=lambda: len(harness.core.endpoints) == 2)
        run_agent(harness, agent, ms=100)
        yield harness, agent
    agent.close()


def run_agent(
    harness: Harness, agent: Agent, ms: float = 20_000, until: Callable[[], bool] = lambda: False
) -> float:
    """Move the clock by `ms`, or until the condition is true, with the agent serving at each step.

    Returns by how many ms the clock was moved.
    """
    passed = 0.0
    while passed < ms and not until():
        agent.serve()
        harness.run_turns(wait=0.0)
        harness.advance_clock(STEP_MS)
        passed += STEP_MS
    return passed


def is_draining(harness: Harness) -> bool:
    """Return whether the dispatcher knows that the worker w0 has left the service."""
    return not harness.core.endpoints["w0"].in_service


class FailedCalls(unittest.TestCase):
    """Calls that fail, in all the ways of FAILURES."""

    def test_a_change_is_known_within_the_limit_after_discovery_recovers(self) -> None:
        """The list changes during an outage of `outage_ms`. The outage ends at the worst moment, directly
        after another call has begun that fails."""
        modes = ({}, ON_REQUEST)
        for settings, (name, failure), outage_ms in itertools.product(
            modes, FAILURES.items(), (0.0, 12_000.0)
        ):
            with (
                self.subTest(on_request=bool(settings), failure=name, outage_ms=outage_ms),
                watched_agent(**settings) as (harness, agent),
            ):
                agent.failure = failure
                run_agent(harness, agent, ms=outage_ms)
                agent.list_worker(harness.workers[0], "Terminating")
                before = agent.calls
                run_agent(harness, agent, until=lambda a=agent, n=before: a.calls > n)
                agent.failure = None
                took = run_agent(harness, agent, until=lambda s=harness: is_draining(s))
                self.assertLess(took, KNOWN_WITHIN_MS - 200)

    def test_a_change_is_known_within_the_limit_though_a_watch_gets_no_answer(self) -> None:
        """A watch gets no answer any more, `age_ms` after it began, and in half of the cases the next call
        gets none either. Where lists are pushed, the limit counts from the change through both calls; on
        request the second unanswered call means that discovery could not be reached until then."""
        for settings, age_ms, second_fails in itertools.product(
            ({}, ON_REQUEST), (10.0, 700.0, 1900.0), (0, 1)
        ):
            with (
                self.subTest(on_request=bool(settings), age_ms=age_ms, second_fails=second_fails),
                watched_agent(**settings) as (harness, agent),
            ):
                agent.list_worker(harness.workers[1])  # a new watch begins
                run_agent(harness, agent, ms=age_ms)
                calls = agent.calls
                agent.failure = lambda peer: None
                agent.list_worker(harness.workers[0], "Terminating")
                took = run_agent(harness, agent, until=lambda a=agent, n=calls + second_fails: a.calls > n)
                agent.failure = None
                took = 0.0 if second_fails and settings else took
                took += run_agent(harness, agent, until=lambda s=harness: is_draining(s))
                self.assertLess(took, KNOWN_WITHIN_MS - 200)

    def test_each_failure_is_counted_by_kind_and_calls_are_not_repeated_too_often(self) -> None:
        """A failing agent must not be called in a busy loop, and a failure must not change the list."""
        kinds = {"silent": "silent", "refused": "refused", "not understood": "refused", "closed": "closed",
                 "reset": "closed", "cut": "closed", "trickled": "silent", "no JSON": "bad", "no list": "bad",
                 "older": "older"}  # fmt: skip
        for name, failure in FAILURES.items():
            with self.subTest(failure=name), watched_agent() as (harness, agent):
                before, known = agent.calls, len(harness.core.endpoints)
                agent.list_worker(harness.workers[1])  # the open watch is answered, the calls after it fail
                run_agent(harness, agent, ms=20)
                agent.failure = failure
                run_agent(harness, agent, ms=3000)
                self.assertGreaterEqual(harness.counter_value(f"in.discovery_{kinds[name]}"), 1)
                self.assertLess(agent.calls - before, 3000 / discovery.RETRY_MS + 2)
                self.assertEqual(len(harness.core.endpoints), known)
                is_answered = kinds[name] != "silent"
                self.assertLessEqual(len(harness.loop.connections), 1 if is_answered else MAX_OPEN_CALLS)


class LogEvents(unittest.TestCase):
    """What is logged of an outage of discovery."""

    def test_an_outage_is_logged_at_its_beginning_and_at_its_end(self) -> None:
        """The events hold the reason, the known generation and the age of the list. Of the failed calls
        between them one is logged: the first after which the list is old."""
        for settings in ({}, ON_REQUEST):
            with (
                self.subTest(on_request=bool(settings)),
                watched_agent(**settings) as (harness, agent),
                self.assertLogs("eiderpin", "INFO") as logged,
            ):
                agent.failure = FAILURES["silent"]
                agent.list_worker(harness.workers[1])
                known = agent.generation - 1
                run_agent(harness, agent, ms=9000)
                agent.failure = None
                watch = harness.service.discovery
                assert watch is not None
                run_agent(harness, agent, until=lambda w=watch: w.failures == 0)
                began, old, ended = logged.records
                self.assertEqual(began.getMessage(), "discovery does not tell the list")
                self.assertEqual((began.__dict__["reason"], began.levelname), ("silent", "WARNING"))
                self.assertIn(began.__dict__["generation"], (known, known + 1))
                self.assertEqual(old.getMessage(), "the list of workers is old")
                self.assertEqual((old.__dict__["reason"], old.levelname), ("silent", "WARNING"))
                self.assertGreaterEqual(old.__dict__["list_age_ms"], KNOWN_WITHIN_MS)
                self.assertEqual(ended.getMessage(), "discovery tells the list")
                self.assertGreaterEqual(ended.__dict__["failed_calls"], 2)
                self.assertGreater(ended.__dict__["list_age_ms"], 6000)
                self.assertLess(watch.list_age_ms, 100)


def serve_requests(harness: Harness, agent: Agent, ms: float) -> tuple[list[str], list[str]]:
    """Send requests for `ms`, and return which have begun at each worker meanwhile."""
    before = [len(worker.begun()) for worker in harness.workers]
    for _ in range(int(ms / 100)):
        harness.client().send(job_request("time-lookup", f"r{len(harness.clients)}", wait=7000))
        run_agent(harness, agent, ms=100)
    first, second = (w.begun()[n:] for w, n in zip(harness.workers, before, strict=True))
    return first, second


class AnotherDiscovery(unittest.TestCase):
    """A reload that names another discovery, which has news that the present one does not have."""

    def move(self, harness: Harness, other: Agent) -> None:
        """Reload with the other agent as discovery; it lists the worker w0 as draining."""
        other.list_worker(harness.workers[0], "Terminating")
        other.list_worker(harness.workers[1])
        assert harness.service.discovery is not None
        host, port = other.address.split(":")
        harness.service.discovery.change_address((host, int(port)))

    def test_a_list_that_it_does_not_confirm_in_time_is_not_used(self) -> None:
        """What it lists counts as known 4 s after the reload, whether it answers or not."""
        for settings, (name, failure) in itertools.product(({}, ON_REQUEST), FAILURES.items()):
            with (
                self.subTest(on_request=bool(settings), failure=name),
                watched_agent(**settings) as (harness, _),
            ):
                other = Agent()
                other.failure = failure
                self.move(harness, other)
                self.assertTrue(serve_requests(harness, other, 3500)[0])  # the present list is still in use
                serve_requests(harness, other, 800)
                self.assertEqual(serve_requests(harness, other, 8000), ([], []))
                self.assertEqual(harness.service.readiness(), "down")
                other.failure = None
                first, second = serve_requests(harness, other, KNOWN_WITHIN_MS)
                self.assertEqual((first, bool(second)), ([], True))
                self.assertTrue(is_draining(harness))
                other.close()

    def test_a_list_that_it_confirms_in_time_stays_in_use(self) -> None:
        """Though its first answers are late, requests are sent all the time."""
        with watched_agent() as (harness, _):
            other = Agent()
            other.failure = FAILURES["silent"]
            self.move(harness, other)
            serve_requests(harness, other, 2500)
            other.failure = None
            self.assertTrue(serve_requests(harness, other, 1400)[1])
            for _ in range(6):
                self.assertTrue(serve_requests(harness, other, 1000)[1])
            other.close()

    def test_a_connection_that_comes_up_after_the_list_has_become_void_is_not_used(self) -> None:
        """The attempt was decided before, but its first byte would be written after that."""
        with watched_agent(limits={"connect_timeout": 1500.0}) as (harness, _):
            other = Agent()
            other.failure = FAILURES["silent"]
            self.move(harness, other)
            run_agent(harness, other, ms=3900)
            harness.hold_back(leads_to_worker)
            harness.client().send(job_request("time-lookup", "late", wait=7000))
            run_agent(harness, other, ms=700)
            harness.release_held()
            run_agent(harness, other, ms=500)
            self.assertEqual(harness.begun(), [])
            other.close()


class OutdatedLists(unittest.TestCase):
    """Answers with a generation below one that was received before."""

    def test_an_answer_with_an_older_generation_brings_no_worker_back(self) -> None:
        """Applied, the outdated answer would put a draining worker back in service."""
        with watched_agent() as (harness, agent):
            agent.list_worker(harness.workers[0], "Terminating")
            run_agent(harness, agent, until=lambda: is_draining(harness))
            newest, agent.generation = agent.generation, 1
            agent.list_worker(harness.workers[0], "Ready")
            self.assertLess(agent.generation, newest)
            agent.failure = lambda peer: peer.send(
                http_response(200, body=agent.answer("/catalog/members") or b"")
            )
            run_agent(harness, agent, ms=discovery.OUTDATED_REJECT_MS - 600)
            self.assertTrue(is_draining(harness))
            agent.failure, agent.generation = None, newest
            agent.list_worker(harness.workers[1], "Terminating")
            took = run_agent(harness, agent, until=lambda: not harness.core.endpoints["w1"].in_service)
            self.assertLess(took, 1000)
            self.assertTrue(is_draining(harness))

    def test_a_restarted_discovery_with_lower_generations_is_accepted_in_time(self) -> None:
        """After a restart discovery counts from 1 again: its lists are not outdated."""
        with watched_agent() as (harness, agent):
            for _ in range(20):
                agent.list_worker(harness.workers[1])
            run_agent(harness, agent, ms=100)
            agent.generation, agent.changed_in = 1, {}
            agent.list_worker(harness.workers[1])
            agent.list_worker(harness.workers[0], "Terminating")
            for peer in agent.peers:
                if not peer.ended:
                    peer.close()
            self.assertLess(
                run_agent(harness, agent, until=lambda: is_draining(harness)), KNOWN_WITHIN_MS - 200
            )


class Lists(unittest.TestCase):
    """Answers and connections out of the ordinary."""

    def test_a_list_of_over_100_kb_is_accepted(self) -> None:
        """Lists may be indented, and grow with the fleet."""
        agent = Agent()
        agent.indent = 8
        with running_harness(workers=0, discovery=agent.address) as harness:
            many = [Worker(f"worker-with-a-rather-long-name-{i}") for i in range(3)]
            for i in range(400):
                agent.list_worker(many[i % 3])
                agent.rows[f"w{i}"] = {**agent.rows[many[i % 3].name], "instanceId": f"w{i}"}
                agent.changed_in[f"w{i}"] = agent.generation
            self.assertGreater(len(agent.answer("/catalog/members") or b""), 100_000)
            run_agent(harness, agent, ms=500)
            self.assertEqual(len(harness.core.endpoints), 403)
            for worker in many:
                worker.close()
        agent.close()

    def test_an_answer_without_content_length_ends_with_its_connection(self) -> None:
        """Such an answer is complete when discovery closes the connection, and must not count as cut off."""
        with watched_agent() as (harness, agent):
            agent.list_worker(harness.workers[0], "Terminating")

            def answer_without_length(peer: Peer) -> None:
                peer.send(b"HTTP/1.1 200 X\r\n\r\n" + (agent.answer("/?after=1&wait_ms=0") or b""))
                peer.close()

            agent.failure = answer_without_length
            self.assertLess(run_agent(harness, agent, until=lambda: is_draining(harness)), 1000)

    def test_changes_alone_are_not_taken_for_the_whole_list(self) -> None:
        """They say nothing of the other workers, which would count as confirmed."""
        for settings in ({}, ON_REQUEST):
            with self.subTest(on_request=bool(settings)), watched_agent(**settings) as (harness, agent):
                agent.failure = FAILURES["not understood"]  # the whole list is fetched after that
                agent.list_worker(harness.workers[1])
                run_agent(harness, agent, ms=3000)
                document = {"generation": 99, "reset": False, "instances": []}
                agent.failure = lambda peer, d=document: peer.send(
                    http_response(200, body=json.dumps(d).encode())
                )
                run_agent(harness, agent, ms=6000)
                self.assertGreater(harness.counter_value("in.discovery_incomplete"), 0)
                agent.list_worker(harness.workers[0], "Terminating")
                agent.failure = None
                run_agent(harness, agent, ms=KNOWN_WITHIN_MS - 200)
                self.assertTrue(is_draining(harness))

    def test_a_change_of_address_during_an_answer_from_the_old_one(self) -> None:
        """A reload races an answer of the old address, in both orders: the list of the new address counts."""
        for answer_first in (True, False):
            with self.subTest(answer_first=answer_first), watched_agent() as (harness, agent):
                other = Agent()
                other.list_worker(harness.workers[0], "Terminating")
                other.list_worker(harness.workers[1])
                agent.list_worker(harness.workers[0], "Ready")
                agent.serve()  # the answer of the old address is on its way
                if answer_first:
                    harness.run_turns(5)
                assert harness.service.discovery is not None
                host, port = other.address.split(":")
                harness.service.discovery.change_address((host, int(port)))
                took = run_agent(harness, other, until=lambda s=harness: is_draining(s))
                self.assertLess(took, 4000)
                agent.list_worker(harness.workers[0], "Ready")
                agent.serve()
                run_agent(harness, other, ms=2000)
                self.assertTrue(is_draining(harness))
                other.close()

    def test_calls_without_a_descriptor_are_repeated_at_intervals(self) -> None:
        """While no connection can be opened, the retries must not pile up deadlines; then it recovers."""
        with watched_agent() as (harness, agent):
            for peer in agent.peers:
                if not peer.ended:
                    peer.close()
            agent.list_worker(harness.workers[0], "Terminating")
            with mock.patch.object(type(harness.loop), "connect", lambda self, address: None):
                passed = run_agent(harness, agent, ms=2000)
                self.assertEqual(passed, 2000)
                self.assertLess(len(harness.loop.deadlines), 50)
            self.assertLess(run_agent(harness, agent, until=lambda: is_draining(harness)), 1000)


class DescriptorLimit(unittest.TestCase):
    """Discovery while descriptors run short."""

    def test_idle_clients_fill_the_descriptors_while_discovery_is_down(self) -> None:
        """Idle clients must not use up the descriptors that discovery, workers and call-backs need, nor keep
        out a new client."""
        agent = Agent()
        with running_harness(discovery=agent.address, limits={"sockets": 96}) as harness:
            agent.list_worker(harness.workers[0])
            run_agent(harness, agent, until=lambda: len(harness.core.endpoints) == 1)
            agent.failure = Peer.close
            for peer in agent.peers:
                if not peer.ended:
                    peer.close()
            idle = [harness.client() for _ in range(200)]
            for client in idle[:40]:
                client.send(b"GET /_health HTTP/1.1\r\n\r\n")
            run_agent(harness, agent, ms=1000)
            room = harness.service.http_front.max_connections + harness.service.http_front.extra_connections
            self.assertLessEqual(len(harness.service.http_front.connections), room)
            self.assertLessEqual(len(harness.loop.connections), 96 - 16 + 1)
            client = harness.client()
            client.send(job_request("result-post", "a"))
            run_agent(harness, agent, until=lambda: bool(harness.begun()), ms=5000)
            self.assertEqual(harness.begun(), ["a"])
            agent.failure = None
            agent.list_worker(harness.workers[0], "Terminating")
            self.assertLess(run_agent(harness, agent, until=lambda: is_draining(harness)), 1000)


if __name__ == "__main__":
    unittest.main()
