"""Tests of the core without a network.

They cover the slot table, deadlines, retained answers, drains, and how the slots of a worker are learned.
"""

from __future__ import annotations

import socket
import unittest

from eiderpin import explain
from eiderpin import interface as api
from eiderpin.core import dispatcher as core
from eiderpin.core import invariants, retained_answers
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadlines
from eiderpin.core.requests import Answer, Attempt, Endpoint, Request, Verdict
from eiderpin.core.run_once_ids import GROUP_SPAN_MS
from eiderpin.core.slot_table import SlotTable, TableFull
from eiderpin.decide import DEFAULT_SLOTS
from eiderpin.decide import Dispatcher as Module
from eiderpin.net.connection import Connection
from eiderpin.net.loop import Loop
from eiderpin.policy.run_once_records import RETENTION_MS


class ManualClock(Clock):
    """A clock that stands still until the test sets it."""

    def __init__(self) -> None:
        self.at = 1_000_000.0

    def now(self) -> float:
        return self.at

    def since_boot(self) -> float:
        return self.at


class Link:
    """A worker link that records what it is asked to do."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def probe(self, endpoint: Endpoint) -> None: ...

    def endpoint_changed(self, endpoint: Endpoint) -> None: ...


def advance(clock: ManualClock, deadlines: Deadlines, dispatcher: core.Dispatcher, ms: float) -> None:
    """Advance the clock, running the deadlines and decisions that become due."""
    until = clock.at + ms
    while deadlines.next_at() <= until:
        clock.at = max(clock.at, deadlines.next_at())
        deadlines.run_due(clock.at)
        dispatcher.decide()
    clock.at = until


class Client:
    """A waiting client that records its answers."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def answer(self, request: Request, answer: Answer) -> None:
        self.answers.append(answer)

    def progress(self, request: Request, share: float) -> None: ...

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None: ...

    def has_left(self) -> bool:
        return False


def worker_entry(name: str, state: api.WorkerState = api.WorkerState.IN_SERVICE) -> api.WorkerEntry:
    return api.WorkerEntry(name, "a", "m", 0, state)


class DispatcherCore(unittest.TestCase):
    """The dispatcher with two workers, a clock in the test's hands and links that only record."""

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
        self.list(worker_entry("w1"), worker_entry("w2"))

    def list(self, *workers: api.WorkerEntry, link: Link | None = None) -> None:
        """Report a complete list of these workers."""
        kind = api.ListKind.COMPLETE
        self.core.apply_worker_list(link or self.link, kind, [(worker, worker.name) for worker in workers])
        self.core.decide()

    def advance_clock(self, ms: float) -> None:
        """Advance the clock, running the deadlines and decisions that become due."""
        advance(self.clock, self.deadlines, self.core, ms)

    def submit(self, cls: str, unique: str, wait: float = 5000.0) -> tuple[Request, Client]:
        """Submit a request that is due in `wait` ms; return it and the client that waits for it."""
        client = Client()
        request = self.core.submit(Request(cls, unique, b"/", b"", self.clock.at + wait), client)
        self.core.decide()
        return request, client

    def test_shutdown_cuts_deadlines_of_taken_over_requests_but_not_of_durable_jobs(self) -> None:
        """A request that is returned by the peer process or recovered after the shutdown has begun would
        otherwise keep its deadline and be unanswered at the end of the process."""
        ends_at = self.clock.at + 500
        self.core.limit_deadlines(ends_at)
        for number, (job, deadline) in enumerate(((0, ends_at), (7, self.clock.at + 5000))):
            request = Request(
                "look", f"t{number}", b"/", b"", self.clock.at + 5000, job=job, wire_id=f"t{number}"
            )
            self.core.take_over(request, Client())
            self.assertEqual((request.deadline, request.cut_short), (deadline, not job))

    def test_a_job_whose_client_has_left_ends_once_at_its_deadline(self) -> None:
        """The decisions end it, and then cancel its attempt; the end of that one ended it a second time."""
        request, client = self.submit("post", "a")
        self.advance_clock(100)
        self.core.written(self.link.sent[0])
        self.core.detach(request, client)
        self.advance_clock(5000)
        self.assertTrue(request.ended)
        self.assertEqual(self.counters.counts["end.failed"], 1)

    def test_drain_grace_is_checked_again_just_before_the_write(self) -> None:
        """A worker may begin to drain between the decision and the write; an attempt that is written after
        the grace would be refused."""
        self.submit("look", "a")
        self.advance_clock(100)
        (sent,) = self.link.sent
        gone = worker_entry(sent.endpoint.name, api.WorkerState.DRAINING)
        self.list(gone, worker_entry("w3"))
        # Of the 500 ms of grace 200 go unused, since the process may stall for 150 before the write.
        for after, may in ((0, True), (290, True), (20, False), (150, False), (100, False)):
            self.advance_clock(after)
            self.assertIs(self.core.may_begin(sent), may)

    def test_a_request_that_was_queued_for_decisions_is_answered_by_its_deadline(self) -> None:
        """After a long turn of the loop the decisions held it for as much longer, past its deadline."""
        request = self.core.submit(Request("look", "a", b"/", b"", self.clock.at + 5000), Client())
        self.clock.at += 100  # the turn, before the decisions are asked
        self.core.decide()
        job = self.core.module.jobs[request.id]
        self.assertLessEqual(job.deadline, request.deadline)

    def test_results_are_retained_up_to_a_time_and_a_number(self) -> None:
        """A resubmission gets the retained result, but without limits the results would use up the memory."""
        self.submit("post", "a")
        self.advance_clock(100)
        self.core.ended(self.link.sent[0], api.Outcome.DONE, b"ranked")
        self.assertEqual(self.submit("post", "a")[1].answers, [Answer(Verdict.SERVED, b"ranked")])
        self.assertEqual(self.submit("look", "a")[1].answers, [])  # another class, another job
        self.advance_clock(7000 + RETENTION_MS - 1)
        self.assertEqual(self.submit("post", "a")[1].answers, [Answer(Verdict.SERVED, b"ranked")])
        self.advance_clock(7000 + RETENTION_MS + GROUP_SPAN_MS)
        self.assertEqual(self.submit("post", "a")[1].answers, [])
        for number in range(retained_answers.MAX_RETAINED_ANSWERS + 10):
            request = Request("look", f"n{number}", b"/", b"", 0.0)
            self.core.records.retain(request, Answer(Verdict.SERVED, b"xy"))
        self.assertEqual(len(self.core.records.retained), retained_answers.MAX_RETAINED_ANSWERS)
        self.assertEqual(self.core.records.retained.size, 2 * retained_answers.MAX_RETAINED_ANSWERS)

    def test_rejected_jobs_can_be_resubmitted_but_jobs_that_may_have_run_are_not_run_again(self) -> None:
        """If a rejection were retained, a resubmission would never run. If the failure of a job that may have
        run were not, a resubmission would run a single-shot job twice."""
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
                self.assertEqual([answer.verdict for answer in client.answers], [verdict])
                self.list(worker_entry("w1"), worker_entry("w2"))
                self.advance_clock(20_000)  # past the ejection of the worker that failed
                self.submit("post", name)
                self.advance_clock(100)
                self.assertEqual(len(self.link.sent), before + 1 + again)
                self.core.ended(self.link.sent[-1], api.Outcome.DONE)
                self.core.decide()

    def test_joining_client_is_answered_by_its_own_deadline(self) -> None:
        """A resubmission may have an earlier deadline than the request that it joins; without one of its own
        it would be answered too late."""
        _, first = self.submit("post", "a", 5000)
        self.advance_clock(100)
        _, joined = self.submit("post", "a", 300)
        self.advance_clock(300)
        self.assertEqual([answer.verdict for answer in joined.answers], [Verdict.FAILED])
        self.assertEqual(first.answers, [])
        self.core.ended(self.link.sent[0], api.Outcome.DONE, b"r")
        self.assertEqual((len(first.answers), len(joined.answers)), (1, 1))

    def test_late_result_of_a_failed_attempt_is_used(self) -> None:
        """A worker's result may arrive after its connection was reset; it answers the request, and the
        attempt that was sent instead is cancelled."""
        request, client = self.submit("look", "a")
        self.advance_clock(100)
        self.core.ended(self.link.sent[0], api.Outcome.RESET)
        self.core.decide()
        self.advance_clock(100)
        self.core.late_result(request, b"there after all")
        self.core.decide()
        self.assertEqual(client.answers, [Answer(Verdict.SERVED, b"there after all")])
        self.assertEqual(self.link.cancelled, self.link.sent[1:])
        self.assertEqual(len(self.core.requests), 0)

    def test_every_request_gets_one_answer_in_time_and_is_forgotten(self) -> None:
        """No worker answers here. A request must neither stay unanswered, nor be answered twice, nor leave an
        entry in a table."""
        clients = [self.submit(("look", "post")[i % 2], f"u{i}", 900)[1] for i in range(40)]
        self.advance_clock(899)
        self.assertEqual({len(client.answers) for client in clients}, {1})
        self.advance_clock(30_000)
        self.assertEqual(
            (len(self.core.requests), len(self.core._by_wire_id), len(self.deadlines)), (0, 0, 0)
        )

    def test_complete_list_of_one_source_does_not_remove_workers_of_another(self) -> None:
        """A complete list says nothing of workers that other sources have reported, such as those that
        connect to the Gearman front."""
        other = Link()
        self.core.apply_worker_list(other, api.ListKind.CHANGES, [(worker_entry("g1"), None)])
        self.list(worker_entry("w2"))
        states = {name: endpoint.listed.state.value for name, endpoint in self.core.endpoints.items()}
        self.assertEqual(states, {"w1": "gone", "w2": "in_service", "g1": "in_service"})
        self.assertTrue(self.core.module.workers["g1"].ready)

    def test_violated_invariants_are_asserted_or_counted(self) -> None:
        """Under `python -O`, where assertions are off, violations must still be counted."""
        if __debug__:
            self.assertRaises(AssertionError, invariants.must, False, "test")
        else:
            self.assertFalse(invariants.must(False, "test"))
        self.assertEqual(invariants.broken.pop("test"), 1)


class SlotTablesAndDeadlines(unittest.TestCase):
    """The table of numbered slots and the queue of deadlines."""

    def test_id_of_a_removed_item_does_not_find_the_next_one_in_its_slot(self) -> None:
        """A late report with an old id must not reach the request that now uses the slot. The generation in
        the id wraps around, so that ids stay below 2^32."""
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

    def test_deadlines_run_in_order_and_cancelled_ones_do_not_run(self) -> None:
        """Cancelled deadlines are also removed from the heap, which would otherwise hold those of every
        request of the last 25 s."""
        deadlines, ran = Deadlines(), []
        remaining = [deadlines.set(at, lambda at=at: ran.append(at)) for at in (3.0, 1.0, 2.0, 9.0)]  # type: ignore[misc]
        cancelled = [deadlines.set(5.0, lambda: ran.append(5.0)) for _ in range(1000)]
        for deadline in cancelled:
            deadlines.drop(deadline)
            deadlines.drop(deadline)
        deadlines.drop(remaining[2])
        self.assertEqual(len(deadlines), 3)
        self.assertLess(len(deadlines._heap), 520)
        self.assertEqual(deadlines.run_due(8.0), 2)
        self.assertEqual((ran, deadlines.next_at()), ([1.0, 3.0], 9.0))


class SlotEstimates(unittest.TestCase):
    """Ratings that are always 1 say nothing of sizes, so the number of a worker's slots has to be learned."""

    def module(self, tells_start: bool = True) -> Module:
        """Return a decision module with one worker."""
        spec = api.RequestClass("look", aim=5000, deadline=9000, repeat=api.Repeat.FREE)
        module = Module(api.Settings([spec], tick=4, ratings=False, tells_start=tells_start), 1)
        module.handle(1000.0, [api.Membership(api.ListKind.COMPLETE, [worker_entry("w1")])])
        return module

    def sends(self, module: Module, now: float, events: list[api.Event]) -> list[api.Send]:
        """Return the attempts that are sent within 200 ms of these events."""
        actions = module.handle(now, events) + module.handle(now + 200, [])
        return [action for action in actions if isinstance(action, api.Send)]

    def test_job_that_needs_two_slots_is_sent(self) -> None:
        """If a rating of 1 were read as one slot, such a job would never fit."""
        requests: list[api.Event] = [api.Request(1, "look", 9000.0, slots=2.0, hint=100.0)]
        self.assertEqual(len(self.sends(self.module(), 1000.0, requests)), 1)

    def test_prompt_starts_raise_the_slot_estimate_and_late_starts_stop_the_trials(self) -> None:
        """A worker is tried with one job more than its estimated slots; a start that waits until another job
        has ended shows that it was full, and must not raise the estimate."""
        for prompt in (True, False):
            with self.subTest(prompt=prompt):
                module, now, running, ends = self.module(), 1000.0, 0, 0
                for number in range(12):
                    requests: list[api.Event] = [api.Request(number, "look", 9000.0, hint=100.0)]
                    now += 300
                    for sent in self.sends(module, now, requests):
                        running += 1
                        late = not prompt and running > DEFAULT_SLOTS
                        now += 400 if late else 201
                        if late:  # it waited until another job ended
                            done = api.AttemptEnded(ends, 0, "w1", api.Outcome.DONE, 900.0, True)
                            module.handle(now - 1, [done])
                            ends, running = ends + 1, running - 1
                        module.handle(now, [api.Progress(sent.request, 0, "w1", True)])
                        now += 150
                        module.handle(now, [api.Progress(sent.request, 0, "w1", False, 0.9)])
                slots = module.slots(module.workers["w1"])
                self.assertEqual(slots > DEFAULT_SLOTS, prompt)
                self.assertLessEqual(running, slots + 1)
                self.assertEqual(module.workers["w1"].shape.failed_slot_trials > 0, not prompt)

    def test_end_reported_after_the_start_that_it_allowed_does_not_raise_the_estimate(self) -> None:
        """When reports arrive in that order, one job more than there are slots seems to run for a moment."""
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

    def test_no_trials_where_workers_do_not_report_starts(self) -> None:
        """Without reports of starts it cannot be seen whether an additional job runs or waits."""
        module = self.module(tells_start=False)
        requests: list[api.Event] = [api.Request(i, "look", 9000.0, hint=100.0) for i in range(20)]
        self.assertEqual(len(self.sends(module, 1000.0, requests)), DEFAULT_SLOTS)

    def test_worker_stays_usable_although_other_dispatchers_are_not_seen(self) -> None:
        """The second dispatcher may be down: three of a worker's four slots can still be filled by this
        one."""
        spec = api.RequestClass("look", aim=5000, deadline=9000, repeat=api.Repeat.FREE)
        module = Module(api.Settings([spec], instances=2, tick=4, ratings=False), 1)
        module.handle(
            1000.0, [api.Membership(api.ListKind.COMPLETE, [worker_entry("w1"), worker_entry("w2")])]
        )
        requests: list[api.Event] = [api.Request(i, "look", 9000.0, hint=100.0) for i in range(20)]
        self.assertGreaterEqual(len(self.sends(module, 1000.0, requests)), 6)

    def test_waiting_jobs_of_higher_priority_are_sent_first(self) -> None:
        """The priority of a job must take precedence over the order of arrival."""
        module = self.module(tells_start=False)
        requests: list[api.Event] = [
            api.Request(i, "look", 9000.0, hint=100.0, priority=(i == 9) - (i < 3)) for i in range(10)
        ]
        sent = [send.request for send in self.sends(module, 1000.0, requests)]
        self.assertEqual((sent[0], set(sent) & {0, 1, 2}), (9, set()))

    def test_job_that_cannot_be_in_time_is_rejected_at_once_with_a_wait(self) -> None:
        """Otherwise its client would wait until the deadline for a job that could never succeed."""
        module = self.module()
        module.settings.may_advise_wait, module.settings.max_wait_advice = True, 2000.0
        requests: list[api.Event] = [api.Request(1, "look", 900.0, hint=4000.0)]
        actions = module.handle(1000.0, requests) + module.handle(1200.0, [])
        (refused,) = [action for action in actions if isinstance(action, api.Refuse)]
        self.assertTrue(refused.wait and 0 < refused.wait <= 2000.0)

    def test_workers_with_their_own_classes_are_forgotten_when_gone(self) -> None:
        """Such workers never return under the same name, so their state would grow without bound."""
        module = self.module()
        for i in range(50):
            for state in (api.WorkerState.IN_SERVICE, api.WorkerState.GONE):
                worker = worker_entry(f"g{i}", state)
                worker.classes = frozenset(["look"])
                module.handle(2000.0, [api.Membership(api.ListKind.CHANGES, [worker])])
        self.assertEqual(list(module.workers), ["w1"])
        self.assertEqual({len(pool.items) for pool in module.pools.values()}, {1})


class MissingStartReports(unittest.TestCase):
    """Workers report each start; an attempt without such a report in time may never have reached its
    worker."""

    def setUp(self) -> None:
        classes = [api.RequestClass("look", 500, 80, 9000, repeat=api.Repeat.FREE),
                   api.RequestClass("post", 500, 80, 9000)]  # fmt: skip
        self.now = 1000.0
        settings = api.Settings(classes, tick=4, ratings=False, tells_start=True, may_cancel=True,
                                starts_in_order=True)  # fmt: skip
        self.module = Module(settings, 1)
        self.module.handle(
            1000.0, [api.Membership(api.ListKind.COMPLETE, [worker_entry("w1"), worker_entry("w2")])]
        )

    def advance_clock(self, ms: float, *events: api.Event) -> list[api.Action]:
        """Handle these events, advance the clock in steps of 50 ms, and return all actions."""
        actions = self.module.handle(self.now, events)
        for _ in range(int(ms // 50)):
            self.now += 50
            actions += self.module.handle(self.now, [])
        return actions

    def send(self, number: int, cls: str) -> str:
        """Submit a request, whose attempt is sent at once, and return the name of its worker."""
        actions = self.advance_clock(50, api.Request(number, cls, 9000.0, hint=100.0))
        (sent,) = [action for action in actions if isinstance(action, api.Send)]
        return sent.worker

    def test_repeatable_job_without_start_report_is_retried_elsewhere_and_its_worker_ejected(self) -> None:
        """The job would otherwise wait for its deadline, and further jobs would go to the same worker."""
        first = self.send(1, "look")
        actions = self.advance_clock(700)
        self.assertIn(api.Cancel(1, 0), actions)
        self.assertGreater(explain.worker(self.module, first)["rests_for"], 0)
        ended = api.AttemptEnded(1, 0, first, api.Outcome.CANCELLED, 600.0, False)
        again = [action for action in self.advance_clock(100, ended) if isinstance(action, api.Send)]
        self.assertEqual([send.request for send in again], [1])
        self.assertNotEqual(again[0].worker, first)

    def test_lost_single_shot_job_does_not_count_against_its_worker(self) -> None:
        """Its connection fell silent, but the worker runs the jobs that follow. The lost job cannot be
        repeated, but must neither occupy a slot nor make the worker look slow."""
        self.module.handle(self.now, [api.Membership(api.ListKind.COMPLETE, [worker_entry("w1")])])
        lost, number = self.send(1, "post"), 2
        self.send(2, "look")
        # Until the second job starts, the first may be waiting for a slot.
        self.advance_clock(650, api.Progress(2, 0, lost, True))
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

    def test_worker_that_loses_jobs_of_one_class_still_gets_the_others(self) -> None:
        """A single-shot job without a start report must not hold up jobs of other classes. Those of its own
        class wait until its start is reported after all."""
        self.module.handle(self.now, [api.Membership(api.ListKind.COMPLETE, [worker_entry("w1")])])
        self.send(1, "post")
        self.send(2, "look")
        self.advance_clock(700, api.Progress(2, 0, "w1", True))
        self.advance_clock(50, api.AttemptEnded(2, 0, "w1", api.Outcome.DONE, 700.0, True))
        actions = self.advance_clock(150, api.Request(3, "post", 9000.0, hint=100.0))
        self.assertEqual([action for action in actions if isinstance(action, api.Send)], [])
        self.assertEqual(self.send(4, "look"), "w1")
        actions = self.advance_clock(100, api.Progress(1, 0, "w1", True))  # it was only late
        self.assertEqual([action.request for action in actions if isinstance(action, api.Send)], [3])

    def test_attempt_with_a_start_report_is_not_cancelled(self) -> None:
        """A long run must not be mistaken for a lost attempt."""
        worker = self.send(1, "look")
        self.advance_clock(50, api.Progress(1, 0, worker, True))
        self.assertEqual([action for action in self.advance_clock(700) if isinstance(action, api.Cancel)], [])


class InaccurateHints(unittest.TestCase):
    """Hints of the expected work may be far off for single jobs."""

    def test_hints_that_are_far_too_low_do_not_make_a_worker_look_slow(self) -> None:
        """Run times and hints have the same sums here, but the mean of the ratios of single runs would be
        over 5 and make every worker look slow."""
        spec = api.RequestClass("look", 500, 80, 9000, repeat=api.Repeat.FREE)
        module, now = Module(api.Settings([spec], tick=4, ratings=False), 1), 1000.0
        module.handle(now, [api.Membership(api.ListKind.COMPLETE, [worker_entry("w1")])])
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


class ConnectionsInOneTurn(unittest.TestCase):
    """Connections that are ready in the same turn of the event loop."""

    def test_connection_may_be_closed_by_the_handler_of_another(self) -> None:
        """Both are ready in one turn. The second must be skipped: to look it up by its closed socket would
        fail."""
        loop = Loop(Clock(), Deadlines(), Counters())
        pairs = [tcp_pair() for _ in "ab"]
        ends = [Connection(loop, ours, False) for ours, _ in pairs]
        received: list[bytes] = []
        for end, other in ((ends[0], ends[1]), (ends[1], ends[0])):
            end.on_data = lambda data, other=other: (received.append(data), other.close())  # type: ignore[misc]
        for _, theirs in pairs:
            theirs.sendall(b"x")
        while not received:
            loop.run_once(lambda: None, 1000.0)
        self.assertEqual((received, sum(end.closed for end in ends)), ([b"x"], 1))
        for end, (_, theirs) in zip(ends, pairs, strict=True):
            end.close()
            theirs.close()


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of a TCP connection on the loopback interface."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname())
        return server.accept()[0], theirs


if __name__ == "__main__":
    unittest.main()
