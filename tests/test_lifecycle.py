"""The table of repeat classes against outcomes, and one final answer in time."""

from __future__ import annotations

import pytest

from eiderpin import interface as api
from eiderpin.decide import Dispatcher
from tests.conftest import finals, fleet, listed, make_settings, sends

NEVER_RAN = [api.Outcome.REJECTED, api.Outcome.NOT_CONNECTED]
MAY_HAVE_RUN = [api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.CANCELLED]


class Play:
    """A clock around one dispatcher that lets its timers fire."""

    def __init__(self, settings: api.Settings, entries: list[api.WorkerEntry], seed: int = 1) -> None:
        self.d = Dispatcher(settings, seed)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.do(listed(entries))

    def do(self, *events: api.Event) -> list[api.Action]:
        actions = self.d.handle(self.now, list(events))
        self.timers += [(a.at, a.handle) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def run(self, ms: float) -> list[api.Action]:
        """Let time pass; returns all actions of the timers that come due."""
        until, got = self.now + ms, []
        while self.timers and min(self.timers)[0] <= until:
            at, handle = min(self.timers)
            self.timers.remove((at, handle))
            self.now = max(self.now + self.d.settings.tick, at)
            got += self.do(api.TimerFired(handle))
        self.now = max(self.now, until)
        return got


def first_send(cls: str, **changes: object) -> tuple[Play, api.Send]:
    play = Play(make_settings(**changes), fleet(12))
    play.do(api.Request(7, cls, 4000))
    (sent,) = sends(play.run(50))
    play.now += 20
    return play, sent


def ended(sent: api.Send, outcome: api.Outcome, attempt: int = 0, final: bool = False) -> api.AttemptEnded:
    return api.AttemptEnded(7, attempt, sent.worker, outcome, 20.0, final)


@pytest.mark.parametrize("cls", ["read", "keyed", "pay"])
@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_attempt_that_never_ran_is_sent_again_by_every_class(cls: str, outcome: api.Outcome) -> None:
    play, sent = first_send(cls)
    again = play.do(ended(sent, outcome)) + play.run(100)
    assert len(sends(again)) == 1
    assert sends(again)[0].worker != sent.worker
    assert not finals(again)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_free_request_is_sent_again_whatever_happened(outcome: api.Outcome) -> None:
    play, sent = first_send("read")
    assert len(sends(play.do(ended(sent, outcome)) + play.run(100))) == 1


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_single_shot_that_may_have_run_fails_at_once(outcome: api.Outcome) -> None:
    play, sent = first_send("pay")
    actions = play.do(ended(sent, outcome)) + play.run(5000)
    assert [type(a) for a in finals(actions)] == [api.Fail]
    assert not sends(actions)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_guarded_repeat_stays_within_its_scope(outcome: api.Outcome) -> None:
    for seed in range(10):
        play = Play(make_settings(), fleet(12), seed)
        play.do(api.Request(7, "keyed", 4000))
        (sent,) = sends(play.run(50))
        zone = play.d.workers[sent.worker].zone
        (again,) = sends(play.do(ended(sent, outcome)) + play.run(100))
        assert play.d.workers[again.worker].zone == zone


def test_a_guarded_repeat_ends_with_the_memory_span() -> None:
    play, sent = first_send("keyed")
    play.now += 2100
    actions = play.do(ended(sent, api.Outcome.RESET)) + play.run(3000)
    assert [type(a) for a in finals(actions)] == [api.Fail]
    assert not sends(actions)


def test_a_guarded_request_held_past_its_span_is_not_sent() -> None:
    play, sent = first_send("keyed")
    zone = play.d.workers[sent.worker].zone
    gone = [e for e in fleet(12) if e.zone == zone]
    for e in gone:
        e.state = api.WorkerState.DRAINING
    play.do(listed(gone, api.ListKind.CHANGES))
    assert not sends(play.do(ended(sent, api.Outcome.RESET)) + play.run(2500))
    for e in gone:
        e.state = api.WorkerState.IN_SERVICE
    late = play.do(listed(gone, api.ListKind.CHANGES)) + play.run(3000)
    assert not sends(late)


def test_attempts_are_limited() -> None:
    play, sent = first_send("read", max_attempts=3)
    got: list[api.Action] = []
    for attempt in range(3):
        got = play.do(ended(sent, api.Outcome.REJECTED, attempt)) + play.run(60)
        if sends(got):
            (sent,) = sends(got)
    assert not sends(got)
    assert [type(a) for a in finals(got)] == [api.Refuse]


@pytest.mark.parametrize("cls", ["read", "keyed", "pay"])
def test_with_no_worker_at_all_it_is_refused_in_time(cls: str) -> None:
    play = Play(make_settings(), [])
    start = play.now
    play.do(api.Request(7, cls, 4000))
    actions = play.run(3990)
    assert not sends(actions)
    actions += play.run(30)
    assert [type(a) for a in finals(actions)] == [api.Refuse]
    assert play.now - start < 4000 + 21


@pytest.mark.parametrize(("cls", "answer"), [("read", api.Refuse), ("keyed", api.Fail), ("pay", api.Fail)])
def test_an_attempt_still_out_at_the_deadline_is_answered_then(cls: str, answer: type) -> None:
    play, _ = first_send(cls)
    actions = play.run(4100)
    assert [type(a) for a in finals(actions)] == [answer]
    assert sum(isinstance(a, api.Cancel) for a in actions) >= 1


def test_nothing_is_sent_after_the_end() -> None:
    play, sent = first_send("read")
    play.do(ended(sent, api.Outcome.DONE, final=True))
    play.do(ended(sent, api.Outcome.ERROR))  # repeated, and late
    play.do(api.RequestGone(7))
    actions = play.run(5000)
    assert not sends(actions)
    assert not finals(actions)


def test_a_started_stream_has_no_deadline() -> None:
    play, sent = first_send("read")
    play.do(api.StreamStarted(7, 0, sent.worker))
    assert not finals(play.run(9000))
    assert not finals(play.do(ended(sent, api.Outcome.DONE, final=True)))


def test_a_worker_that_fails_now_and_then_gets_no_job_that_must_not_run_twice() -> None:
    """Its rests are short, for some of its jobs go well; a job that may go elsewhere still finds it out."""
    settings = make_settings(instances=1)
    for cls, there in (("pay", False), ("read", True)):
        play = Play(settings, fleet(8))
        worker = play.d.workers["w3"]
        play.d.record_result(worker, True)
        assert not play.d.is_faulty(worker)  # once is chance
        play.d.record_result(worker, True)
        got = [a for n in range(25) for a in play.do(api.Request(n, cls, 4000, hint=1.0)) + play.run(40)]
        sent = {a.worker for a in sends(got)}
        assert (worker.name in sent) is there, cls
        assert len(sent) >= 6
        for _ in range(8):
            play.d.record_result(worker, False)
        assert not play.d.is_faulty(worker)
        for name in ("w1", "w1", "w2", "w2", "w3", "w3"):  # over a quarter of them: it is not the workers
            play.d.record_result(play.d.workers[name], True)
        assert not play.d.is_faulty(worker)
