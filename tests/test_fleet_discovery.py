"""Forty dispatchers and one list service that cannot answer them all at once.

Each is the real watch and the real core, on one clock moved by hand; the service answers a fixed number of
calls a second, in their turn, and says 503 to what has waited too long. All start in the same instant, as
after a release, with the list that they held last.
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
from eiderpin.net.discovery import WATCH_WAIT_MS, Discovery
from eiderpin.net.loop import Loop
from tests.test_core import Client, HandClock, Link

OLD, NEW = 7, 8  # generations: what all know, and what the service has
ROWS = {
    OLD: '{"instanceId":"w1","hostPort":"127.0.0.1:1","lifecycle":"Ready"}',
    NEW: '{"instanceId":"w2","hostPort":"127.0.0.1:2","lifecycle":"Ready"}',
}
KNOWN = {
    "generation": OLD,
    "instances": [{"instanceId": "w1", "hostPort": "127.0.0.1:1", "lifecycle": "Ready"}],
}
STEP = 10.0  # ms by which the clock goes on


class Service:
    """Answers `rate` calls a second in their turn; one that would wait longer than `patience` ms is refused.
    A call for the whole list takes as long as five others."""

    def __init__(self, world: World, rate: float, patience: float = 500.0) -> None:
        self.world, self.work, self.patience = world, 1000.0 / rate, patience
        self.free_at = 0.0
        self.calls: list[tuple[float, bytes]] = []
        self.silent = False

    def call(self, target: bytes, answer: Callable[[int, str], None]) -> None:
        now = self.world.clock.now()
        self.calls.append((now, target))
        if self.silent:
            return
        whole = b"after=" not in target
        if not whole and b"after=%d&" % NEW in target:
            at = now + float(target.rpartition(b"wait_ms=")[2])  # the watch stands, and nothing is newer
            body = f'{{"generation":{NEW},"reset":false,"instances":[]}}'
            self.world.deadlines.set(at, lambda: answer(200, body))
            return
        if self.free_at > now + self.patience:
            self.free_at += self.work / 5  # a refusal is work as well
            answer(503, "")
            return
        self.free_at = max(self.free_at, now) + self.work * (5 if whole else 1)
        rows = ",".join(ROWS.values()) if whole else ROWS[NEW]
        body = f'{{"generation":{NEW},"reset":{str(whole).lower()},"instances":[{rows}]}}'
        self.world.deadlines.set(self.free_at, lambda: answer(200, body))


class Line:
    """A dispatcher's connection to the service."""

    def __init__(self, world: World) -> None:
        self.world, self.closed = world, False
        self.on_data: Callable[[bytes], None]
        self.on_end: Callable[[], None]

    def write(self, request: bytes) -> None:
        def answer(status: int, body: str) -> None:
            text = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            later = self.world.clock.now() + STEP
            self.world.deadlines.set(later, lambda: None if self.closed else self.on_data(text.encode()))

        self.world.service.call(request.split()[1], answer)

    def close(self) -> None:
        self.closed = True


class World:
    """So many dispatchers that started in the same instant; also the loop that each of them sees."""

    def __init__(self, dispatchers: int, rate: float, on_request: bool = True, known: Any = KNOWN) -> None:
        self.clock, self.deadlines = HandClock(), Deadlines()
        self.service = Service(self, rate)
        self.cores: list[core.Dispatcher] = []
        self.watches: list[Discovery] = []
        classes = [api.RequestClass("look", aim=2000, deadline=7000, repeat=api.Repeat.FREE)]
        for number in range(dispatchers):
            settings = api.Settings(
                classes, tick=4, must_ask=on_request, ask_within=10_000.0,
                instances=dispatchers, instance=number,
            )  # fmt: skip
            made = core.Dispatcher(settings, number, self.clock, self.deadlines, Counters())
            link = Link()
            self.cores.append(made)
            self.watches.append(Discovery(cast(Loop, self), made, link, ("127.0.0.1", 9), known))

    def connect(self, where: tuple[str, int]) -> Line:
        return Line(self)

    def run(self, ms: float) -> None:
        until = self.clock.at + ms
        while self.clock.at < until:
            self.clock.at += STEP
            self.deadlines.run_due(self.clock.at)
            for each in self.cores:
                each.decide()

    def know_the_new_worker(self) -> int:
        return sum("w2" in c.entries for c in self.cores)


class ManyAskAtOnce(unittest.TestCase):
    def test_all_hear_the_list_though_the_service_cannot_answer_all_at_once(self) -> None:
        world = World(40, rate=10.0)
        world.run(15_000)
        self.assertEqual(world.know_the_new_worker(), 40)
        refused = sum(c.counters.counts["in.discovery_refused"] for c in world.cores)
        self.assertLess(refused, 80)

    def test_they_do_not_ask_in_step(self) -> None:
        world = World(40, rate=1000.0)
        world.run(3000)
        at = [when for when, target in world.service.calls if b"after=%d&" % OLD in target]
        self.assertEqual(len(at), 40)
        busiest = max(sum(t <= a < t + 250 for a in at) for t in at)
        self.assertLess(busiest, 10)  # in a quarter of a second; even would be 4

    def test_only_what_is_new_is_asked_for(self) -> None:
        world = World(3, rate=100.0)
        world.run(4000)
        self.assertEqual([t for _, t in world.service.calls if b"after=" not in t], [])
        self.assertEqual(world.know_the_new_worker(), 3)

    def test_a_service_that_comes_back_after_an_outage_is_not_stormed(self) -> None:
        world = World(40, rate=20.0)
        world.run(6000)
        world.service.silent = True
        world.run(12_000)
        world.service.silent, before = False, len(world.service.calls)
        world.run(1000)
        self.assertLess(len(world.service.calls) - before, 40)

    def test_two_hundred_ask_no_more_in_an_outage_and_after_it_than_twice_what_they_do_at_rest(self) -> None:
        """At rest each renews its watch every 2 s: a hundred calls a second in the mean."""
        world = World(200, rate=60.0)
        at_rest = 200 / (WATCH_WAIT_MS / 1000)
        world.run(10_000)
        self.assertEqual(world.know_the_new_worker(), 200)
        for silent in (False, True, False):
            world.service.silent, begins = silent, world.clock.now()
            world.run(8000)
            seconds = Counter(int(at - begins) // 1000 for at, _ in world.service.calls if at >= begins)
            self.assertLess(max(seconds.values()), 2 * at_rest)

    def test_one_without_any_list_asks_at_once_for_the_whole(self) -> None:
        world = World(1, rate=100.0, known=None)
        world.run(200)
        self.assertEqual([t for _, t in world.service.calls][0], b"/catalog/members")
        self.assertEqual(set(world.cores[0].entries), {"w1", "w2"})

    def test_the_last_list_serves_where_no_answer_comes_and_not_before(self) -> None:
        """Discovery says nothing: jobs go to the workers of the list that was held last, once it was asked
        in vain. Before that its servers may be gone, and what has changed counts as told."""
        world = World(1, rate=10.0)
        world.service.silent = True
        only = world.cores[0]
        only.submit(Request("look", "j1", b"/look", b"", deadline=world.clock.now() + 3000), Client())
        link = cast(Link, only.entries["w1"].link)
        world.run(300)
        self.assertEqual(link.sent, [])
        world.run(200)
        self.assertEqual([s.entry.name for s in link.sent], ["w1"])

    def test_where_lists_come_unasked_the_watch_begins_at_once(self) -> None:
        world = World(2, rate=100.0, on_request=False)
        self.assertEqual(len(world.service.calls), 2)
        world.run(300)
        self.assertEqual(world.know_the_new_worker(), 2)


if __name__ == "__main__":
    unittest.main()
