"""Many dispatchers and one list service that can't answer them all at the same time.

Each dispatcher is the real discovery client and the real core, on one clock that the test moves. The service
answers a fixed number of calls a second in order of arrival, and 503 to those that would wait too long. All
dispatchers start at the same time, as after a release, with the list that they stored.
"""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

from eiderpin import interface as api
from eiderpin.core import dispatcher as core
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadlines
from eiderpin.core.requests import Request
from eiderpin.net.discovery import MAX_OPEN_CALLS, RETRY_MS, WATCH_WAIT_MS, Discovery
from eiderpin.net.loop import Loop
from eiderpin.policy.answer_timing import MIN_LIMIT_MS
from tests.test_core import Client, Link, ManualClock

OLD_GENERATION, NEW_GENERATION = 7, 8  # of the stored list, and of the service's list
ROWS = {
    OLD_GENERATION: '{"instanceId":"w1","hostPort":"127.0.0.1:1","lifecycle":"Ready"}',
    NEW_GENERATION: '{"instanceId":"w2","hostPort":"127.0.0.1:2","lifecycle":"Ready"}',
}
KNOWN = {
    "generation": OLD_GENERATION,
    "instances": [{"instanceId": "w1", "hostPort": "127.0.0.1:1", "lifecycle": "Ready"}],
}
STEP_MS = 10.0  # by which the clock is moved


class ListService:
    """Answers `calls_per_s` calls a second in order; refuses one that would wait longer than `max_wait_ms`.

    A call for the whole list takes as long as five others.
    """

    def __init__(self, fleet: Fleet, calls_per_s: float, max_wait_ms: float = 500.0) -> None:
        self.fleet, self.call_ms, self.max_wait_ms = fleet, 1000.0 / calls_per_s, max_wait_ms
        self.free_at = 0.0
        self.calls: list[tuple[float, bytes]] = []
        self.silent = False
        self.delay_ms = 0.0  # by which each answer arrives later

    def call(self, target: bytes, answer: Callable[[int, str], None]) -> None:
        """Take a call; `answer` is called with its status and body when it is done."""
        now = self.fleet.clock.now()
        self.calls.append((now, target))
        if self.silent:
            return
        is_whole = b"after=" not in target
        if not is_whole and b"after=%d&" % NEW_GENERATION in target:
            at = now + float(target.rpartition(b"wait_ms=")[2])  # a watch without news ends after its wait
            body = f'{{"generation":{NEW_GENERATION},"reset":false,"instances":[]}}'
            self.fleet.deadlines.set(at, lambda: answer(200, body))
            return
        if self.free_at > now + self.max_wait_ms:
            self.free_at += self.call_ms / 5  # a refusal takes capacity as well
            answer(503, "")
            return
        self.free_at = max(self.free_at, now) + self.call_ms * (5 if is_whole else 1)
        rows = ",".join(ROWS.values()) if is_whole else ROWS[NEW_GENERATION]
        body = f'{{"generation":{NEW_GENERATION},"reset":{str(is_whole).lower()},"instances":[{rows}]}}'
        self.fleet.deadlines.set(self.free_at, lambda: answer(200, body))


class SimConnection:
    """A dispatcher's simulated connection to the service."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.closed = fleet, False
        fleet.open_connections += 1
        fleet.most_open = max(fleet.most_open, fleet.open_connections)
        self.on_data: Callable[[bytes], None]
        self.on_end: Callable[[], None]

    def write(self, request: bytes) -> None:
        """Pass a request on to the service; the answer takes STEP_MS to arrive."""

        def answer(status: int, body: str) -> None:
            text = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            later = self.fleet.clock.now() + STEP_MS + self.fleet.service.delay_ms
            self.fleet.deadlines.set(later, lambda: None if self.closed else self.on_data(text.encode()))

        self.fleet.service.call(request.split()[1], answer)

    def close(self) -> None:
        """Receive nothing any more."""
        self.fleet.open_connections -= not self.closed
        self.closed = True


class Fleet:
    """Dispatchers that started at the same time; it also stands in for the event loop of each."""

    def __init__(
        self, dispatchers: int, calls_per_s: float, on_request: bool = True, known: Any = KNOWN
    ) -> None:
        self.clock, self.deadlines = ManualClock(), Deadlines()
        self.open_connections = self.most_open = 0  # to the service
        self.service = ListService(self, calls_per_s)
        self.cores: list[core.Dispatcher] = []
        self.watches: list[Discovery] = []
        classes = [api.RequestClass("look", aim=2000, deadline=7000, repeat=api.Repeat.FREE)]
        for number in range(dispatchers):
            settings = api.Settings(
                classes, tick=4, must_ask=on_request, ask_within=10_000.0,
                instances=dispatchers, instance=number,
            )  # fmt: skip
            core_dispatcher = core.Dispatcher(settings, number, self.clock, self.deadlines, Counters())
            link = Link()
            self.cores.append(core_dispatcher)
            self.watches.append(Discovery(cast(Loop, self), core_dispatcher, link, ("127.0.0.1", 9), known))

    def connect(self, address: tuple[str, int]) -> SimConnection:
        """Return a connection to the service, like `Loop.connect`."""
        return SimConnection(self)

    def run(self, ms: float) -> None:
        """Move the clock by `ms`, with due deadlines and decisions at each step."""
        end_at = self.clock.at + ms
        while self.clock.at < end_at:
            self.clock.at += STEP_MS
            self.deadlines.run_due(self.clock.at)
            for dispatcher in self.cores:
                dispatcher.decide()

    def count_with_new_worker(self) -> int:
        """Return how many dispatchers know the worker that only the new list has."""
        return sum("w2" in c.endpoints for c in self.cores)


class ManyDispatchers(unittest.TestCase):
    """When the dispatchers of a fleet call the service, and what they fetch."""

    def test_all_get_the_list_though_the_service_cannot_answer_all_at_once(self) -> None:
        """Retries of refused calls must spread out, so that the service gets to answer each dispatcher."""
        fleet = Fleet(40, calls_per_s=10.0)
        fleet.run(15_000)
        self.assertEqual(fleet.count_with_new_worker(), 40)
        refused = sum(c.counters.counts["in.discovery_refused"] for c in fleet.cores)
        self.assertLess(refused, 80)

    def test_first_calls_are_spread_over_time(self) -> None:
        """Dispatchers that start at the same time must not all call at the same time."""
        fleet = Fleet(40, calls_per_s=1000.0)
        fleet.run(3000)
        at = [when for when, target in fleet.service.calls if b"after=%d&" % OLD_GENERATION in target]
        self.assertEqual(len(at), 40)
        busiest = max(sum(t <= a < t + 250 for a in at) for t in at)
        self.assertLess(busiest, 10)  # in a quarter of a second; even would be 4

    def test_only_changes_are_fetched_if_a_list_is_stored(self) -> None:
        """A call for the whole list costs the service five times as much."""
        fleet = Fleet(3, calls_per_s=100.0)
        fleet.run(4000)
        self.assertEqual([t for _, t in fleet.service.calls if b"after=" not in t], [])
        self.assertEqual(fleet.count_with_new_worker(), 3)

    def test_a_service_that_recovers_from_an_outage_is_not_flooded_with_calls(self) -> None:
        """Dispatchers that all retried at the end of the outage would overload the service again."""
        fleet = Fleet(40, calls_per_s=20.0)
        fleet.run(6000)
        fleet.service.silent = True
        fleet.run(12_000)
        fleet.service.silent, before = False, len(fleet.service.calls)
        fleet.run(1000)
        self.assertLess(len(fleet.service.calls) - before, 40)

    def test_calls_of_200_dispatchers_in_an_outage_and_after_it_stay_below_twice_the_normal_rate(
        self,
    ) -> None:
        """Normally each renews its watch every 2 s: on average 100 calls a second together."""
        fleet = Fleet(200, calls_per_s=60.0)
        calls_per_s_at_rest = 200 / (WATCH_WAIT_MS / 1000)
        fleet.run(10_000)
        self.assertEqual(fleet.count_with_new_worker(), 200)
        for silent in (False, True, False):
            fleet.service.silent, begins = silent, fleet.clock.now()
            fleet.run(8000)
            seconds = Counter(int(at - begins) // 1000 for at, _ in fleet.service.calls if at >= begins)
            self.assertLess(max(seconds.values()), 2 * calls_per_s_at_rest)

    def test_a_slow_or_silent_service_gets_no_more_calls_than_the_limits_allow(self) -> None:
        """A call beside each late one must not double the load on a service that is slow already."""
        calls_per_s_at_rest = 200 / (WATCH_WAIT_MS / 1000)
        # An agent serves one dispatcher only, and what it gets after an outage counts at once.
        silent_agents_per_s = 200 / ((MIN_LIMIT_MS + RETRY_MS) / 1000)
        phases = (("slow", False, 1000.0, 20_000.0), ("silent", True, 0.0, 40_000.0),
                  ("slow again", False, 1000.0, 20_000.0), ("at rest", False, 0.0, 10_000.0))  # fmt: skip
        for on_request in (True, False):
            fleet = Fleet(200, calls_per_s=60.0 if on_request else 10_000.0, on_request=on_request)
            fleet.run(10_000)
            for name, silent, delay_ms, duration_ms in phases:
                with self.subTest(on_request=on_request, phase=name):
                    fleet.service.silent, fleet.service.delay_ms = silent, delay_ms
                    before = len(fleet.service.calls)
                    fleet.run(duration_ms)
                    calls_per_s = (len(fleet.service.calls) - before) / (duration_ms / 1000)
                    most = silent_agents_per_s if silent and not on_request else calls_per_s_at_rest
                    self.assertLessEqual(calls_per_s, most + 1)
                    self.assertLessEqual(fleet.most_open, 200 * MAX_OPEN_CALLS)
            self.assertEqual(fleet.open_connections, 200)

    def test_a_dispatcher_without_a_stored_list_fetches_the_whole_list_at_once(self) -> None:
        """It has no workers until then."""
        fleet = Fleet(1, calls_per_s=100.0, known=None)
        fleet.run(200)
        self.assertEqual([t for _, t in fleet.service.calls][0], b"/catalog/members")
        self.assertEqual(set(fleet.cores[0].endpoints), {"w1", "w2"})

    def test_the_stored_list_is_not_used_though_calls_get_no_answer(self) -> None:
        """Its workers may be gone, and changes since then count as known: so nothing is sent before discovery
        has answered, and the request is sent to a worker of its list then."""
        fleet = Fleet(1, calls_per_s=10.0)
        fleet.service.silent = True
        dispatcher = fleet.cores[0]
        dispatcher.submit(Request("look", "j1", b"/look", b"", deadline=fleet.clock.now() + 30_000), Client())
        link = cast(Link, dispatcher.endpoints["w1"].link)
        fleet.run(9000)
        self.assertEqual(link.sent, [])
        fleet.service.silent = False
        fleet.run(6000)  # within which a change has to be known once discovery can be reached
        dispatcher.submit(Request("look", "j2", b"/look", b"", deadline=fleet.clock.now() + 30_000), Client())
        fleet.run(300)
        self.assertEqual([s.request.unique for s in link.sent], ["j2"])

    def test_the_watch_begins_at_once_where_lists_are_pushed(self) -> None:
        """Where lists are pushed by a local agent, first calls need no spreading."""
        fleet = Fleet(2, calls_per_s=100.0, on_request=False)
        self.assertEqual(len(fleet.service.calls), 2)
        fleet.run(300)
        self.assertEqual(fleet.count_with_new_worker(), 2)


if __name__ == "__main__":
    unittest.main()
