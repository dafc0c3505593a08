"""The core without a wire: slots, deadlines, what is kept, drains, and how a worker's slots are learned."""

from __future__ import annotations

import socket
import unittest

from eiderpin import explain
from eiderpin import interface as api
from eiderpin.core import dispatcher as core
from eiderpin.core import invariants
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadlines
from eiderpin.core.requests import Answer, Attempt, Endpoint, Request, Verdict
from eiderpin.core.slot_table import SlotTable, TableFull
from eiderpin.decide import DEFAULT_SLOTS
from eiderpin.decide import Dispatcher as Module
from eiderpin.net.loop import Connection, Loop


class ManualClock(Clock):
    def __init__(self) -> None:
        self.at = 1_000_000.0

    def now(self) -> float:
        return self.at

    def since_boot(self) -> float:
        return self.at


class Link:
    """Notes what it is asked and does nothing of itself."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def probe(self, endpoint: Endpoint) -> None: ...

    def endpoint_changed(self, endpoint: Endpoint) -> None: ...


class Client:
    def __init__(self) -> None:
        self.got: list[Answer] = []

    def answer(self, request: Request, answer: Answer) -> None:
        self.got.append(answer)

    def progress(self, request: Request, share: float) -> None: ...

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None: ...

    def has_left(self) -> bool:
        return False


def entry(name: str, state: api.WorkerState = api.WorkerState.IN_SERVICE) -> api.WorkerEntry:
    return api.WorkerEntry(name, "a", "m", 0, state)


class Bench(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.deadlines, self.counters = ManualClock(), Deadlines(), Counters()
        classes = [
            api.RequestClass("look", aim=2000, deadline=7000, repeat=api.Repeat.FREE),
            api.RequestClass("post", aim=2000, deadline=7000),
        ]
        settings = api.Settings(
            classes, tick=4, drain_grace=500, may_cancel=True, may_advise_wait=True, max_wait_advice=2000,
            parallel_attempts=True,
        )  # fmt: skip
        self.core = core.Dispatcher(settings, 1, self.clock, self.deadlines, self.counters)
        self.link = Link()
        self.list(entry("w1"), entry("w2"))

    def list(self, *entries: api.WorkerEntry, link: Link | None = None) -> None:
        kind = api.ListKind.COMPLETE
        self.core.apply_worker_list(link or self.link, kind, [(e, e.name) for e in entries])
        self.core.decide()

    def advance_clock(self, ms: float) -> None:
        until = self.clock.at + ms
        while self.deadlines.next_at() <= until:
            self.clock.at = max(self.clock.at, self.deadlines.next_at())
            self.deadlines.run_due(self.clock.at)
            self.core.decide()
        self.clock.at = until

    def submit(self, cls: str, unique: str, wait: float = 5000.0) -> tuple[Request, Client]:
        client = Client()
        request = self.core.submit(Request(cls, unique, b"/", b"", self.clock.at + wait), client)
        self.core.decide()
        return request, client

    def test_the_end_of_the_process_cuts_what_is_taken_over_but_not_durable_jobs(self) -> None:
        """Also what comes back, or is recovered, once the end has begun."""
        ends_at = self.clock.at + 500
        self.core.answer_by(ends_at)
        for number, (job, deadline) in enumerate(((0, ends_at), (7, self.clock.at + 5000))):
            request = Request(
                "look", f"t{number}", b"/", b"", self.clock.at + 5000, job=job, wire_id=f"t{number}"
            )
            self.core.take_over(request, Client())
            self.assertEqual((request.deadline, request.cut_short), (deadline, not job))

    def test_a_drain_is_looked_at_again_just_before_the_write(self) -> None:
        self.submit("look", "a")
        self.advance_clock(100)
        (sent,) = self.link.sent
        gone = entry(sent.endpoint.name, api.WorkerState.DRAINING)
        self.list(gone, entry("w3"))
        # Of the 500 ms of grace 200 are kept: the write may be held up for 150.
        for after, may in ((0, True), (290, True), (20, False), (150, False), (100, False)):
            self.advance_clock(after)
            self.assertIs(self.core.may_begin(sent), may)

    def test_a_result_is_kept_for_a_bounded_time_and_number(self) -> None:
        self.submit("post", "a")
        self.advance_clock(100)
        self.core.ended(self.link.sent[0], api.Outcome.DONE, b"ranked")
        self.assertEqual(self.submit("post", "a")[1].got, [Answer(Verdict.SERVED, b"ranked")])
        self.assertEqual(self.submit("look", "a")[1].got, [])  # another class, another job
        self.advance_clock(core.KEPT_FOR + 1)
        self.assertEqual(self.submit("post", "a")[1].got, [])
        for i in range(core.KEPT_COUNT + 10):
            request = Request("look", f"n{i}", b"/", b"", 0.0)
            self.core._keep(request, Answer(Verdict.SERVED, b"xy"))
        self.assertEqual(len(self.core._kept), core.KEPT_COUNT)
        self.assertEqual(self.core._kept_bytes, 2 * core.KEPT_COUNT)

    def test_a_turn_down_is_kept_for_nobody_and_a_job_that_may_have_run_never_runs_again(self) -> None:
        for outcome, again in ((api.Outcome.REJECTED, 1), (api.Outcome.RESET, 0)):
            with self.subTest(outcome=outcome):
                name, before = f"p-{outcome.value}", len(self.link.sent)
                _, client = self.submit("post", name)
                self.advance_clock(100)
                sent = self.link.sent[before]
                self.core.written(sent)
                self.list()  # no worker is left to send it to
                self.core.ended(sent, outcome)
                self.core.decide()
                self.advance_clock(5000)
                verdict = Verdict.REJECTED if again else Verdict.FAILED
                self.assertEqual([a.verdict for a in client.got], [verdict])
                self.list(entry("w1"), entry("w2"))
                self.advance_clock(20_000)  # past the rest of the worker that failed
                self.submit("post", name)
                self.advance_clock(100)
                self.assertEqual(len(self.link.sent), before + 1 + again)
                self.core.ended(self.link.sent[-1], api.Outcome.DONE)
                self.core.decide()

    def test_one_who_joins_is_answered_by_its_own_deadline(self) -> None:
        _, first = self.submit("post", "a", 5000)
        self.advance_clock(100)
        _, joined = self.submit("post", "a", 300)
        self.advance_clock(300)
        self.assertEqual([a.verdict for a in joined.got], [Verdict.FAILED])
        self.assertEqual(first.got, [])
        self.core.ended(self.link.sent[0], api.Outcome.DONE, b"r")
        self.assertEqual((len(first.got), len(joined.got)), (1, 1))

    def test_a_result_of_a_attempt_that_was_counted_out_still_serves(self) -> None:
        request, client = self.submit("look", "a")
        self.advance_clock(100)
        self.core.ended(self.link.sent[0], api.Outcome.RESET)
        self.core.decide()
        self.advance_clock(100)
        self.core.late_result(request, b"there after all")
        self.core.decide()
        self.assertEqual(client.got, [Answer(Verdict.SERVED, b"there after all")])
        self.assertEqual(self.link.cancelled, self.link.sent[1:])
        self.assertEqual(len(self.core.requests), 0)

    def test_every_request_has_one_answer_in_time_and_leaves_no_trace(self) -> None:
        clients = [self.submit(("look", "post")[i % 2], f"u{i}", 900)[1] for i in range(40)]
        self.advance_clock(899)
        self.assertEqual({len(c.got) for c in clients}, {1})
        self.advance_clock(30_000)
        self.assertEqual((len(self.core.requests), len(self.core._by_wire), len(self.deadlines)), (0, 0, 0))

    def test_one_sources_complete_list_leaves_the_others_workers_alone(self) -> None:
        other = Link()
        self.core.apply_worker_list(other, api.ListKind.CHANGES, [(entry("g1"), None)])
        self.list(entry("w2"))
        states = {name: e.listed.state.value for name, e in self.core.endpoints.items()}
        self.assertEqual(states, {"w1": "gone", "w2": "in_service", "g1": "in_service"})
        self.assertTrue(self.core.module.workers["g1"].ready)

    def test_what_must_hold_is_asserted_or_counted(self) -> None:
        if __debug__:
            self.assertRaises(AssertionError, invariants.must, False, "test")
        else:
            self.assertFalse(invariants.must(False, "test"))
        self.assertEqual(invariants.broken.pop("test"), 1)


class Tables(unittest.TestCase):
    def test_an_id_outlives_its_slots_holder_but_finds_no_other(self) -> None:
        table: SlotTable[str] = SlotTable(2)
        first, second = table.add("a"), table.add("b")
        self.assertRaises(TableFull, table.add, "c")
        self.assertEqual((table.remove(first), table.remove(first)), ("a", None))
        third = table.add("c")
        self.assertEqual((table.get(first), table.get(second), table.get(third)), (None, "b", "c"))
        self.assertEqual(first & 0x7FFF, third & 0x7FFF)
        for _ in range(1 << 17):
            table.remove(third)
            third = table.add("c")
            self.assertLess(third, 1 << 32)

    def test_deadlines_run_in_order_and_dropped_ones_do_not(self) -> None:
        deadlines, ran = Deadlines(), []
        kept = [deadlines.set(t, lambda t=t: ran.append(t)) for t in (3.0, 1.0, 2.0, 9.0)]  # type: ignore[misc]
        many = [deadlines.set(5.0, lambda: ran.append(5.0)) for _ in range(1000)]
        for one in many:
            deadlines.drop(one)
            deadlines.drop(one)
        deadlines.drop(kept[2])
        self.assertEqual(len(deadlines), 3)
        self.assertLess(len(deadlines._heap), 520)
        self.assertEqual(deadlines.run_due(8.0), 2)
        self.assertEqual((ran, deadlines.next_at()), ([1.0, 3.0], 9.0))


class Slots(unittest.TestCase):
    """Where ratings are constantly 1 they say nothing of sizes: no worker may be taken to have one slot."""

    def module(self, tells_start: bool = True) -> Module:
        spec = api.RequestClass("look", aim=5000, deadline=9000, repeat=api.Repeat.FREE)
        module = Module(api.Settings([spec], tick=4, ratings=False, tells_start=tells_start), 1)
        module.handle(1000.0, [api.Membership(api.ListKind.COMPLETE, [entry("w1")])])
        return module

    def sends(self, module: Module, now: float, events: list[api.Event]) -> list[api.Send]:
        got = module.handle(now, events) + module.handle(now + 200, [])
        return [a for a in got if isinstance(a, api.Send)]

    def test_a_job_of_two_slots_finds_room(self) -> None:
        asked: list[api.Event] = [api.Request(1, "look", 9000.0, slots=2.0, hint=100.0)]
        self.assertEqual(len(self.sends(self.module(), 1000.0, asked)), 1)

    def test_starts_raise_the_figure_and_late_ones_end_the_trials(self) -> None:
        for prompt in (True, False):
            with self.subTest(prompt=prompt):
                module, now, out, ends = self.module(), 1000.0, 0, 0
                for number in range(12):
                    asked: list[api.Event] = [api.Request(number, "look", 9000.0, hint=100.0)]
                    now += 300
                    for sent in self.sends(module, now, asked):
                        out += 1
                        late = not prompt and out > DEFAULT_SLOTS
                        now += 400 if late else 201
                        if late:  # it waited until another ended
                            done = api.AttemptEnded(ends, 0, "w1", api.Outcome.DONE, 900.0, True)
                            module.handle(now - 1, [done])
                            ends, out = ends + 1, out - 1
                        module.handle(now, [api.Progress(sent.request, 0, "w1", True)])
                        now += 150
                        module.handle(now, [api.Progress(sent.request, 0, "w1", False, 0.9)])
                slots = module.slots(module.workers["w1"])
                self.assertEqual(slots > DEFAULT_SLOTS, prompt)
                self.assertLessEqual(out, slots + 1)
                self.assertEqual(module.workers["w1"].shape.failed_slot_trials > 0, not prompt)

    def test_an_end_that_is_told_after_the_start_it_made_room_for_raises_nothing(self) -> None:
        module, now, open_jobs = self.module(), 1000.0, []
        for number in range(40):
            now += 300
            for sent in self.sends(module, now, [api.Request(number, "look", 9000.0, hint=100.0)]):
                open_jobs.append(sent.request)
                now += 250
                module.handle(now, [api.Progress(sent.request, 0, "w1", True)])
                if len(open_jobs) > DEFAULT_SLOTS:
                    ended = api.AttemptEnded(open_jobs.pop(0), 0, "w1", api.Outcome.DONE, 900.0, True)
                    module.handle(now + 20, [ended])
        self.assertEqual(module.slots(module.workers["w1"]), DEFAULT_SLOTS)

    def test_without_starts_nothing_is_tried(self) -> None:
        module = self.module(tells_start=False)
        asked: list[api.Event] = [api.Request(i, "look", 9000.0, hint=100.0) for i in range(20)]
        self.assertEqual(len(self.sends(module, 1000.0, asked)), DEFAULT_SLOTS)

    def test_unseen_dispatchers_do_not_close_a_worker(self) -> None:
        """With a second dispatcher that may be down, three of four slots are still ours to fill."""
        spec = api.RequestClass("look", aim=5000, deadline=9000, repeat=api.Repeat.FREE)
        module = Module(api.Settings([spec], instances=2, tick=4, ratings=False), 1)
        module.handle(1000.0, [api.Membership(api.ListKind.COMPLETE, [entry("w1"), entry("w2")])])
        asked: list[api.Event] = [api.Request(i, "look", 9000.0, hint=100.0) for i in range(20)]
        self.assertGreaterEqual(len(self.sends(module, 1000.0, asked)), 6)

    def test_held_jobs_of_a_higher_priority_leave_first(self) -> None:
        module = self.module(tells_start=False)
        asked: list[api.Event] = [
            api.Request(i, "look", 9000.0, hint=100.0, priority=(i == 9) - (i < 3)) for i in range(10)
        ]
        sent = [s.request for s in self.sends(module, 1000.0, asked)]
        self.assertEqual((sent[0], set(sent) & {0, 1, 2}), (9, set()))

    def test_what_cannot_be_in_time_is_turned_down_at_once_with_advice(self) -> None:
        module = self.module()
        module.s.may_advise_wait, module.s.max_wait_advice = True, 2000.0
        asked: list[api.Event] = [api.Request(1, "look", 900.0, hint=4000.0)]
        got = module.handle(1000.0, asked) + module.handle(1200.0, [])
        (refused,) = [a for a in got if isinstance(a, api.Refuse)]
        self.assertTrue(refused.wait and 0 < refused.wait <= 2000.0)

    def test_workers_that_name_their_classes_are_forgotten_when_gone(self) -> None:
        module = self.module()
        for i in range(50):
            for state in (api.WorkerState.IN_SERVICE, api.WorkerState.GONE):
                named = entry(f"g{i}", state)
                named.classes = frozenset(["look"])
                module.handle(2000.0, [api.Membership(api.ListKind.CHANGES, [named])])
        self.assertEqual(list(module.workers), ["w1"])
        self.assertEqual({len(p.items) for p in module.pools.values()}, {1})


class Silence(unittest.TestCase):
    """A worker tells of each start; what it does not tell of in time may never have reached it."""

    def setUp(self) -> None:
        classes = [api.RequestClass("look", 500, 80, 9000, repeat=api.Repeat.FREE),
                   api.RequestClass("post", 500, 80, 9000)]  # fmt: skip
        self.now = 1000.0
        settings = api.Settings(classes, tick=4, ratings=False, tells_start=True, may_cancel=True,
                                starts_in_order=True)  # fmt: skip
        self.module = Module(settings, 1)
        self.module.handle(1000.0, [api.Membership(api.ListKind.COMPLETE, [entry("w1"), entry("w2")])])

    def advance_clock(self, ms: float, *events: api.Event) -> list[api.Action]:
        got = self.module.handle(self.now, events)
        for _ in range(int(ms // 50)):
            self.now += 50
            got += self.module.handle(self.now, [])
        return got

    def send(self, number: int, cls: str) -> str:
        got = self.advance_clock(50, api.Request(number, cls, 9000.0, hint=100.0))
        (sent,) = [a for a in got if isinstance(a, api.Send)]
        return sent.worker

    def test_a_job_that_may_run_again_goes_elsewhere_and_a_mute_worker_rests(self) -> None:
        first = self.send(1, "look")
        actions = self.advance_clock(700)
        self.assertIn(api.Cancel(1, 0), actions)
        self.assertGreater(explain.worker(self.module, first)["rests_for"], 0)
        ended = api.AttemptEnded(1, 0, first, api.Outcome.CANCELLED, 600.0, False)
        again = [a for a in self.advance_clock(100, ended) if isinstance(a, api.Send)]
        self.assertEqual([a.request for a in again], [1])
        self.assertNotEqual(again[0].worker, first)

    def test_a_lost_single_shot_does_not_spoil_its_worker(self) -> None:
        """Its connection fell silent; the worker goes on with what comes after it."""
        self.module.handle(self.now, [api.Membership(api.ListKind.COMPLETE, [entry("w1")])])
        lost, number = self.send(1, "post"), 2
        self.send(2, "look")
        self.advance_clock(650, api.Progress(2, 0, lost, True))  # until then the first may wait for a slot
        self.advance_clock(50, api.AttemptEnded(2, 0, lost, api.Outcome.DONE, 650.0, True))
        while number < 30:
            number += 1
            worker = self.send(number, "look")
            self.advance_clock(50, api.Progress(number, 0, worker, True))
            self.advance_clock(100, api.AttemptEnded(number, 0, worker, api.Outcome.DONE, 200.0, True))
        facts = explain.worker(self.module, lost)
        self.assertEqual((facts["ours"], facts["rests_for"]), (0.0, 0.0))
        self.assertLess(facts["slowness"], 2.0)
        late = api.AttemptEnded(1, 0, lost, api.Outcome.DONE, 6000.0, True)  # it was only very late
        self.advance_clock(50, late)
        self.assertEqual(explain.worker(self.module, lost)["ours"], 0.0)

    def test_a_worker_that_loses_one_class_is_sent_the_others(self) -> None:
        self.module.handle(self.now, [api.Membership(api.ListKind.COMPLETE, [entry("w1")])])
        self.send(1, "post")
        self.send(2, "look")
        self.advance_clock(700, api.Progress(2, 0, "w1", True))
        self.advance_clock(50, api.AttemptEnded(2, 0, "w1", api.Outcome.DONE, 700.0, True))
        held = self.advance_clock(150, api.Request(3, "post", 9000.0, hint=100.0))
        self.assertEqual([a for a in held if isinstance(a, api.Send)], [])
        self.assertEqual(self.send(4, "look"), "w1")
        told = self.advance_clock(100, api.Progress(1, 0, "w1", True))  # it was only late
        self.assertEqual([a.request for a in told if isinstance(a, api.Send)], [3])

    def test_a_start_that_is_told_leaves_all_as_it_is(self) -> None:
        worker = self.send(1, "look")
        self.advance_clock(50, api.Progress(1, 0, worker, True))
        self.assertEqual([a for a in self.advance_clock(700) if isinstance(a, api.Cancel)], [])


class RoughHints(unittest.TestCase):
    def test_hints_that_are_far_too_low_make_no_worker_slow(self) -> None:
        """Runs and hints have the same sums; the mean of each run's own ratio would be over 5."""
        spec = api.RequestClass("look", 500, 80, 9000, repeat=api.Repeat.FREE)
        module, now = Module(api.Settings([spec], tick=4, ratings=False), 1), 1000.0
        module.handle(now, [api.Membership(api.ListKind.COMPLETE, [entry("w1")])])
        for number in range(100):
            hint, run = ((10.0, 100.0), (300.0, 210.0))[number % 2]
            now += 50
            module.handle(now, [api.Request(number, "look", 9000.0, hint=hint)])
            now += 50
            module.handle(now, [])
            now += run
            module.handle(now, [api.AttemptEnded(number, 0, "w1", api.Outcome.DONE, run, True)])
            if number > 20:
                self.assertTrue(0.6 < module.mean_slowdown < 1.5 and 0.6 < module.shapes["m"].slowdown < 1.5)
                self.assertTrue(0.3 < module.slowness(module.workers["w1"]) < 2.5)


class OneTurn(unittest.TestCase):
    def test_a_connection_may_be_closed_by_another_ones_handler(self) -> None:
        """Both are ready in one turn; the second must be passed over, not looked up by its closed socket."""
        loop = Loop(Clock(), Deadlines(), Counters())
        pairs = [tcp_pair() for _ in "ab"]
        ends = [Connection(loop, ours, False) for ours, _ in pairs]
        got: list[bytes] = []
        for end, other in ((ends[0], ends[1]), (ends[1], ends[0])):
            end.on_data = lambda data, other=other: (got.append(data), other.close())  # type: ignore[misc]
        for _, theirs in pairs:
            theirs.sendall(b"x")
        while not got:
            loop.run_once(lambda: None, 1000.0)
        self.assertEqual((got, sum(e.closed for e in ends)), ([b"x"], 1))
        for end, (_, theirs) in zip(ends, pairs, strict=True):
            end.close()
            theirs.close()


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname())
        return server.accept()[0], theirs


if __name__ == "__main__":
    unittest.main()
