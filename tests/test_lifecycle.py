"""The rules of the repeat classes for each outcome of an attempt, and one final answer in time."""

from __future__ import annotations

import pytest

from eiderpin import interface as api
from eiderpin.decide import Dispatcher
from tests.conftest import finals, fleet, listed, make_settings, sends

NEVER_RAN = [api.Outcome.REJECTED, api.Outcome.NOT_CONNECTED]
MAY_HAVE_RUN = [api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.CANCELLED]


class DispatcherHarness:
    """One dispatcher with a virtual clock that lets its timers fire."""

    def __init__(self, settings: api.Settings, entries: list[api.WorkerEntry], seed: int = 1) -> None:
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.handle(listed(entries))

    def handle(self, *events: api.Event) -> list[api.Action]:
        """Have the dispatcher handle events now."""
        actions = self.dispatcher.handle(self.now, list(events))
        self.timers += [(a.at, a.handle) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def advance(self, ms: float) -> list[api.Action]:
        """Let `ms` pass; returns all actions of the timers that come due."""
        until, actions = self.now + ms, []
        while self.timers and min(self.timers)[0] <= until:
            at, handle = min(self.timers)
            self.timers.remove((at, handle))
            self.now = max(self.now + self.dispatcher.settings.tick, at)
            actions += self.handle(api.TimerFired(handle))
        self.now = max(self.now, until)
        return actions


def harness_with_one_send(cls: str, **changes: object) -> tuple[DispatcherHarness, api.Send]:
    """A harness with one request (number 7) of this class, and its only send, 20 ms ago."""
    harness = DispatcherHarness(make_settings(**changes), fleet(12))
    harness.handle(api.Request(7, cls, 4000))
    (sent,) = sends(harness.advance(50))
    harness.now += 20
    return harness, sent


def ended(sent: api.Send, outcome: api.Outcome, attempt: int = 0, final: bool = False) -> api.AttemptEnded:
    """The event that an attempt of request 7 has ended."""
    return api.AttemptEnded(7, attempt, sent.worker, outcome, 20.0, final)


@pytest.mark.parametrize("cls", ["read", "keyed", "pay"])
@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_every_class_retries_an_attempt_that_never_ran(cls: str, outcome: api.Outcome) -> None:
    """A rejected or failed connection has had no effect, so even a single-shot job may go to another
    worker."""
    harness, sent = harness_with_one_send(cls)
    retry = harness.handle(ended(sent, outcome)) + harness.advance(100)
    assert len(sends(retry)) == 1
    assert sends(retry)[0].worker != sent.worker
    assert not finals(retry)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_freely_repeatable_request_is_retried_after_any_outcome(outcome: api.Outcome) -> None:
    """Its class allows it to run twice."""
    harness, sent = harness_with_one_send("read")
    assert len(sends(harness.handle(ended(sent, outcome)) + harness.advance(100))) == 1


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_single_shot_fails_once_an_attempt_may_have_run(outcome: api.Outcome) -> None:
    """A retry, or a refusal that invites the client to retry, could make it run twice."""
    harness, sent = harness_with_one_send("pay")
    actions = harness.handle(ended(sent, outcome)) + harness.advance(5000)
    assert [type(a) for a in finals(actions)] == [api.Fail]
    assert not sends(actions)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_guarded_retry_stays_within_its_scope(outcome: api.Outcome) -> None:
    """Only workers in the zone of the first attempt detect a repeat."""
    for seed in range(10):
        harness = DispatcherHarness(make_settings(), fleet(12), seed)
        harness.handle(api.Request(7, "keyed", 4000))
        (sent,) = sends(harness.advance(50))
        zone = harness.dispatcher.workers[sent.worker].zone
        (retry,) = sends(harness.handle(ended(sent, outcome)) + harness.advance(100))
        assert harness.dispatcher.workers[retry.worker].zone == zone


def test_a_guarded_request_fails_after_its_memory_span() -> None:
    """Workers detect repeats only for that long, so that a later retry could run twice."""
    harness, sent = harness_with_one_send("keyed")
    harness.now += 2100
    actions = harness.handle(ended(sent, api.Outcome.RESET)) + harness.advance(3000)
    assert [type(a) for a in finals(actions)] == [api.Fail]
    assert not sends(actions)


def test_a_guarded_retry_held_past_its_memory_span_is_not_sent() -> None:
    """The retry waits for workers of its zone, and they come back after the memory span has run out."""
    harness, sent = harness_with_one_send("keyed")
    zone = harness.dispatcher.workers[sent.worker].zone
    in_zone = [e for e in fleet(12) if e.zone == zone]
    for worker_entry in in_zone:
        worker_entry.state = api.WorkerState.DRAINING
    harness.handle(listed(in_zone, api.ListKind.CHANGES))
    assert not sends(harness.handle(ended(sent, api.Outcome.RESET)) + harness.advance(2500))
    for worker_entry in in_zone:
        worker_entry.state = api.WorkerState.IN_SERVICE
    late = harness.handle(listed(in_zone, api.ListKind.CHANGES)) + harness.advance(3000)
    assert not sends(late)


def test_a_request_is_refused_after_max_attempts() -> None:
    """Rejections alone must not keep a request going for ever."""
    harness, sent = harness_with_one_send("read", max_attempts=3)
    actions: list[api.Action] = []
    for attempt in range(3):
        actions = harness.handle(ended(sent, api.Outcome.REJECTED, attempt)) + harness.advance(60)
        if sends(actions):
            (sent,) = sends(actions)
    assert not sends(actions)
    assert [type(a) for a in finals(actions)] == [api.Refuse]


@pytest.mark.parametrize("cls", ["read", "keyed", "pay"])
def test_without_workers_a_request_is_refused_by_its_deadline(cls: str) -> None:
    """A request that never finds a worker still needs an answer in time."""
    harness = DispatcherHarness(make_settings(), [])
    start = harness.now
    harness.handle(api.Request(7, cls, 4000))
    actions = harness.advance(3990)
    assert not sends(actions)
    actions += harness.advance(30)
    assert [type(a) for a in finals(actions)] == [api.Refuse]
    assert harness.now - start < 4000 + 21


@pytest.mark.parametrize(("cls", "answer"), [("read", api.Refuse), ("keyed", api.Fail), ("pay", api.Fail)])
def test_a_request_with_an_open_attempt_is_answered_at_its_deadline(cls: str, answer: type) -> None:
    """A silent worker must not hold back the answer. What may have run and must not run twice fails, the rest
    is refused; the open attempt is cancelled."""
    harness, _ = harness_with_one_send(cls)
    actions = harness.advance(4100)
    assert [type(a) for a in finals(actions)] == [answer]
    assert sum(isinstance(a, api.Cancel) for a in actions) >= 1


def test_an_ended_request_causes_no_more_actions() -> None:
    """A late or repeated end of an attempt must not start a retry or a second answer."""
    harness, sent = harness_with_one_send("read")
    harness.handle(ended(sent, api.Outcome.DONE, final=True))
    harness.handle(ended(sent, api.Outcome.ERROR))  # a second end, and late
    harness.handle(api.RequestGone(7))
    actions = harness.advance(5000)
    assert not sends(actions)
    assert not finals(actions)


def test_a_started_stream_has_no_deadline() -> None:
    """The client is receiving the answer already, so neither a failure nor a retry may follow."""
    harness, sent = harness_with_one_send("read")
    harness.handle(api.StreamStarted(7, 0, sent.worker))
    assert not finals(harness.advance(9000))
    assert not finals(harness.handle(ended(sent, api.Outcome.DONE, final=True)))


def test_a_worker_with_frequent_failures_gets_no_single_shots() -> None:
    """Some of its jobs succeed, so it is ejected only for short times. Jobs that may be repeated still go
    there and show when it has recovered."""
    settings = make_settings(instances=1)
    for cls, expected in (("pay", False), ("read", True)):
        harness = DispatcherHarness(settings, fleet(8))
        worker = harness.dispatcher.workers["w3"]
        harness.dispatcher.record_result(worker, True)
        assert not harness.dispatcher.is_faulty(worker)  # one failure may be chance
        harness.dispatcher.record_result(worker, True)
        actions = [
            a
            for n in range(25)
            for a in harness.handle(api.Request(n, cls, 4000, hint=1.0)) + harness.advance(40)
        ]
        sent = {a.worker for a in sends(actions)}
        assert (worker.name in sent) is expected, cls
        assert len(sent) >= 6
        for _ in range(8):
            harness.dispatcher.record_result(worker, False)
        assert not harness.dispatcher.is_faulty(worker)
        # More than a quarter of the workers fail, so the workers are not the cause.
        for name in ("w1", "w1", "w2", "w2", "w3", "w3"):
            harness.dispatcher.record_result(harness.dispatcher.workers[name], True)
        assert not harness.dispatcher.is_faulty(worker)
