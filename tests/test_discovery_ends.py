"""A call to discovery that fails: by whatever way and however often, what discovery has is known within 6 s
of when it could be reached again. The agent is scripted, the clock is in the test's hands."""

from __future__ import annotations

import itertools
import json
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from eiderpin.net import discovery
from tests.crossing import Peer, Stage, Worker, http, job, staged

TOLD_WITHIN = 6000.0  # ms; the operators' term
STEP = 20.0  # ms between two looks of the agent
ON_REQUEST = {"discovery": "on_request", "rules": {"ask_within": 10_000.0, "drain_grace": 500.0}}


class Agent(Worker):
    """Serves a list and watches on it, or fails in the way that it is told to."""

    def __init__(self) -> None:
        super().__init__("agent")
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.fails: Callable[[Peer], None] | None = None
        self.answered: dict[int, int] = {}  # by number of a peer: requests that have been dealt with
        self.calls = 0
        self.indent: int | None = None

    def list(self, worker: Worker, lifecycle: str = "Ready") -> None:
        self.generation += 1
        self.rows[worker.name] = {
            "instanceId": worker.name, "hostPort": worker.address, "zone": "a", "machineType": "m", "cell": 0,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip
        self.changed[worker.name] = self.generation

    def answer(self, target: str) -> bytes | None:
        """What it says to a call; None: the call waits."""
        query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
        after = int(query.get("after", -1))
        rows = [r for n, r in self.rows.items() if self.changed[n] > after]
        if after >= 0 and not rows and int(query["wait_ms"]):
            return None
        said = {"generation": self.generation, "reset": after < 0, "instances": rows}
        return json.dumps(said, indent=self.indent).encode()

    def serve(self) -> None:
        for number, peer in enumerate(self.accept_pending()):
            calls = peer.requests()
            for call in calls[self.answered.get(number, 0) :]:
                if peer.ended:
                    break
                if self.fails is None:
                    body = self.answer(call.split(b" ", 2)[1].decode())
                    if body is None:
                        break
                    peer.say(http(200, body=body))
                else:
                    self.fails(peer)
                self.calls += 1
                self.answered[number] = self.answered.get(number, 0) + 1


def trickle(peer: Peer) -> None:
    peer.say(b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{")


def cut(peer: Peer) -> None:
    trickle(peer)
    peer.close()


def older(peer: Peer) -> None:
    """The list as it was before the last change."""
    said: dict[str, Any] = {"generation": 1, "reset": False, "instances": []}
    peer.say(http(200, body=json.dumps(said).encode()))


FAILURES: dict[str, Callable[[Peer], None]] = {
    "silent": lambda peer: None,
    "refused": lambda peer: peer.say(http(503)),
    "not understood": lambda peer: peer.say(http(400)),
    "closed": Peer.close,
    "reset": Peer.reset,
    "cut": cut,
    "trickled": trickle,
    "no JSON": lambda peer: peer.say(http(200, body=b"<html>")),
    "no list": lambda peer: peer.say(http(200, body=b"[1]")),
    "older": older,
}


@contextmanager
def watching(**settings: Any) -> Iterator[tuple[Stage, Agent]]:
    """A dispatcher that has the list of two workers, and a watch open."""
    agent = Agent()
    with staged(discovery=agent.address, settings=settings) as stage:
        for worker in stage.workers:
            agent.list(worker)
        run(stage, agent, until=lambda: len(stage.core.entries) == 2)
        run(stage, agent, ms=100)
        yield stage, agent
    agent.close()


def run(stage: Stage, agent: Agent, ms: float = 20_000, until: Callable[[], bool] = lambda: False) -> float:
    """Let time pass in steps, the agent serving at each; returns how much has."""
    passed = 0.0
    while passed < ms and not until():
        agent.serve()
        stage.turn(wait=0.0)
        stage.pass_time(STEP)
        passed += STEP
    return passed


def drains(stage: Stage) -> bool:
    return not stage.core.entries["w0"].in_service


class Failing(unittest.TestCase):
    def test_what_it_has_is_known_soon_after_it_can_be_reached(self) -> None:
        """Failing for so long, with a change from before it can be reached again; that comes right after a
        call that fails has begun, the worst moment."""
        modes = ({}, ON_REQUEST)
        for settings, (name, fails), lasts in itertools.product(modes, FAILURES.items(), (0.0, 12_000.0)):
            with (
                self.subTest(on_request=bool(settings), fails=name, lasts=lasts),
                watching(**settings) as (stage, agent),
            ):
                agent.fails = fails
                run(stage, agent, ms=lasts)
                agent.list(stage.workers[0], "Terminating")
                before = agent.calls
                run(stage, agent, until=lambda a=agent, n=before: a.calls > n)
                agent.fails = None
                took = run(stage, agent, until=lambda s=stage: drains(s))
                self.assertLess(took, TOLD_WITHIN - 200)

    def test_a_watch_that_falls_silent_at_any_moment(self) -> None:
        """And so may the call after it. Pushed, the clock runs from the change through both; asked for, the
        second silent call means that discovery could not be reached before."""
        for settings, at, again in itertools.product(({}, ON_REQUEST), (10.0, 700.0, 1900.0), (0, 1)):
            with (
                self.subTest(on_request=bool(settings), at=at, again=again),
                watching(**settings) as (stage, agent),
            ):
                agent.list(stage.workers[1])  # a watch begins anew
                run(stage, agent, ms=at)
                calls = agent.calls
                agent.fails = lambda peer: None
                agent.list(stage.workers[0], "Terminating")
                took = run(stage, agent, until=lambda a=agent, n=calls + again: a.calls > n)
                agent.fails = None
                took = 0.0 if again and settings else took
                took += run(stage, agent, until=lambda s=stage: drains(s))
                self.assertLess(took, TOLD_WITHIN - 200)

    def test_each_failure_is_counted_by_its_name_and_none_is_asked_in_a_hurry(self) -> None:
        names = {"silent": "silent", "refused": "refused", "not understood": "refused", "closed": "closed",
                 "reset": "closed", "cut": "closed", "trickled": "silent", "no JSON": "bad", "no list": "bad",
                 "older": "older"}  # fmt: skip
        for name, fails in FAILURES.items():
            with self.subTest(fails=name), watching() as (stage, agent):
                before, known = agent.calls, len(stage.core.entries)
                agent.list(stage.workers[1])  # the open watch ends, and the calls after it fail
                run(stage, agent, ms=20)
                agent.fails = fails
                run(stage, agent, ms=3000)
                self.assertGreaterEqual(stage.counted(f"in.discovery_{names[name]}"), 1)
                self.assertLess(agent.calls - before, 3000 / discovery.RETRY_MS + 2)
                self.assertEqual(len(stage.core.entries), known)
                self.assertLessEqual(len(stage.loop.connections), 1)


class Events(unittest.TestCase):
    def test_an_outage_is_told_at_its_beginning_and_at_its_end(self) -> None:
        """With the reason, the generation that is known and how old the list is; not at each call."""
        for settings in ({}, ON_REQUEST):
            with (
                self.subTest(on_request=bool(settings)),
                watching(**settings) as (stage, agent),
                self.assertLogs("eiderpin", "INFO") as logged,
            ):
                agent.fails = FAILURES["silent"]
                agent.list(stage.workers[1])
                known = agent.generation - 1
                run(stage, agent, ms=9000)
                agent.fails = None
                watch = stage.service.discovery
                assert watch is not None
                run(stage, agent, until=lambda w=watch: w.failures == 0)
                began, ended = logged.records
                self.assertEqual(began.getMessage(), "discovery does not tell the list")
                self.assertEqual((began.__dict__["reason"], began.levelname), ("silent", "WARNING"))
                self.assertIn(began.__dict__["generation"], (known, known + 1))
                self.assertEqual(ended.getMessage(), "discovery tells the list")
                self.assertGreaterEqual(ended.__dict__["failed_calls"], 2)
                self.assertGreater(ended.__dict__["list_age_ms"], 6000)
                self.assertLess(watch.list_age, 100)


class OlderLists(unittest.TestCase):
    def test_one_that_lies_before_what_was_told_brings_no_worker_back(self) -> None:
        with watching() as (stage, agent):
            agent.list(stage.workers[0], "Terminating")
            run(stage, agent, until=lambda: drains(stage))
            newest, agent.generation = agent.generation, 1
            agent.list(stage.workers[0], "Ready")
            self.assertLess(agent.generation, newest)
            agent.fails = lambda peer: peer.say(http(200, body=agent.answer("/catalog/members") or b""))
            run(stage, agent, ms=discovery.OUTDATED_REJECT_MS - 600)
            self.assertTrue(drains(stage))
            agent.fails, agent.generation = None, newest
            agent.list(stage.workers[1], "Terminating")
            took = run(stage, agent, until=lambda: not stage.core.entries["w1"].in_service)
            self.assertLess(took, 1000)
            self.assertTrue(drains(stage))

    def test_one_that_has_begun_anew_is_believed_in_time(self) -> None:
        with watching() as (stage, agent):
            for _ in range(20):
                agent.list(stage.workers[1])
            run(stage, agent, ms=100)
            agent.generation, agent.changed = 1, {}
            agent.list(stage.workers[1])
            agent.list(stage.workers[0], "Terminating")
            for peer in agent.peers:
                if not peer.ended:
                    peer.close()
            self.assertLess(run(stage, agent, until=lambda: drains(stage)), TOLD_WITHIN - 200)


class Lists(unittest.TestCase):
    def test_a_list_may_be_indented_and_long(self) -> None:
        agent = Agent()
        agent.indent = 8
        with staged(workers=0, discovery=agent.address) as stage:
            many = [Worker(f"worker-with-a-rather-long-name-{i}") for i in range(3)]
            for i in range(400):
                agent.list(many[i % 3])
                agent.rows[f"w{i}"] = {**agent.rows[many[i % 3].name], "instanceId": f"w{i}"}
                agent.changed[f"w{i}"] = agent.generation
            self.assertGreater(len(agent.answer("/catalog/members") or b""), 100_000)
            run(stage, agent, ms=500)
            self.assertEqual(len(stage.core.entries), 403)
            for worker in many:
                worker.close()
        agent.close()

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        with watching() as (stage, agent):
            agent.list(stage.workers[0], "Terminating")

            def plain(peer: Peer) -> None:
                peer.say(b"HTTP/1.1 200 X\r\n\r\n" + (agent.answer("/?after=1&wait_ms=0") or b""))
                peer.close()

            agent.fails = plain
            self.assertLess(run(stage, agent, until=lambda: drains(stage)), 1000)

    def test_a_watch_moves_as_the_old_one_answers(self) -> None:
        """SIGHUP crosses an answer of the old address, in both orders: what the new one tells holds."""
        for answer_first in (True, False):
            with self.subTest(answer_first=answer_first), watching() as (stage, agent):
                other = Agent()
                other.list(stage.workers[0], "Terminating")
                other.list(stage.workers[1])
                agent.list(stage.workers[0], "Ready")
                agent.serve()  # the old one's answer is on its way
                if answer_first:
                    stage.turn(5)
                assert stage.service.discovery is not None
                host, port = other.address.split(":")
                stage.service.discovery.move((host, int(port)))
                took = run(stage, other, until=lambda s=stage: drains(s))
                self.assertLess(took, 4000)
                agent.list(stage.workers[0], "Ready")
                agent.serve()
                run(stage, other, ms=2000)
                self.assertTrue(drains(stage))
                other.close()

    def test_without_a_descriptor_it_asks_again_without_hurry(self) -> None:
        with watching() as (stage, agent):
            for peer in agent.peers:
                if not peer.ended:
                    peer.close()
            agent.list(stage.workers[0], "Terminating")
            with mock.patch.object(type(stage.loop), "connect", lambda self, address: None):
                turns = run(stage, agent, ms=2000)
                self.assertEqual(turns, 2000)
                self.assertLess(len(stage.loop.deadlines), 50)
            self.assertLess(run(stage, agent, until=lambda: drains(stage)), 1000)


class Full(unittest.TestCase):
    def test_idle_clients_fill_the_descriptors_while_discovery_is_down(self) -> None:
        """Discovery, workers and call-backs get theirs all the same, and who waits outside is let in."""
        agent = Agent()
        with staged(discovery=agent.address, limits={"sockets": 96}) as stage:
            agent.list(stage.workers[0])
            run(stage, agent, until=lambda: len(stage.core.entries) == 1)
            agent.fails = Peer.close
            for peer in agent.peers:
                if not peer.ended:
                    peer.close()
            idle = [stage.client() for _ in range(200)]
            for client in idle[:40]:
                client.say(b"GET /_health HTTP/1.1\r\n\r\n")
            run(stage, agent, ms=1000)
            room = stage.service.edge.most + stage.service.edge.extra
            self.assertLessEqual(len(stage.service.edge.connections), room)
            self.assertLessEqual(len(stage.loop.connections), 96 - 16 + 1)
            client = stage.client()
            client.say(job("result-post", "a"))
            run(stage, agent, until=lambda: bool(stage.begun()), ms=5000)
            self.assertEqual(stage.begun(), ["a"])
            agent.fails = None
            agent.list(stage.workers[0], "Terminating")
            self.assertLess(run(stage, agent, until=lambda: drains(stage)), 1000)


if __name__ == "__main__":
    unittest.main()
