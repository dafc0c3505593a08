"""How many jobs one dispatcher lets wait for their start at workers, where starts are told."""

from __future__ import annotations

from collections import Counter

import pytest

from eiderpin import interface as api
from eiderpin.decide import (
    LATE_START_MS,
    MIN_EARNINGS_SHARE,
    MIN_START_TIMEOUT_MS,
    MIN_UNSTARTED,
    UNSTARTED_PER_WORKER,
    UNSTARTED_RUNNING_SHARE,
    Dispatcher,
)
from tests.conftest import fleet, listed, make_settings, sends


def told(instances: int, workers: int, **changes: object) -> Dispatcher:
    settings = make_settings(
        instances=instances, tells_start=True, starts_in_order=True, ratings=False, **changes
    )
    settings.classes[0].aim = 2000.0
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(workers))])
    return dispatcher


def flood(dispatcher: Dispatcher, count: int, at: float = 1001.0, first: int = 1) -> list[api.Send]:
    return sends(dispatcher.handle(at, [api.Request(first + i, "read", 4000.0) for i in range(count)]))


def zone(dispatcher: Dispatcher, sent: api.Send) -> str:
    return dispatcher.workers[sent.worker].zone


def turns(dispatcher: Dispatcher, start: float, ms: float, *events: api.Event) -> list[api.Send]:
    """Turns every 20 ms; the events come with the first."""
    got, now, first = [], start, list(events)
    while now < start + ms:
        got += sends(dispatcher.handle(now, [*first, api.TimerFired(dispatcher.timer_handle)]))
        first, now = [], now + 20.0
    return got


@pytest.mark.parametrize(
    ("instances", "workers"), [(1, 12), (2, 12), (3, 8), (20, 30), (40, 60), (50, 20), (200, 200)]
)
def test_no_more_wait_than_are_our_part(instances: int, workers: int) -> None:
    """In each zone; each that starts lets one more go there, and no burst follows."""
    dispatcher = told(instances, workers)
    most = max(MIN_UNSTARTED, int(UNSTARTED_PER_WORKER * workers / instances))
    out = flood(dispatcher, 500) + turns(dispatcher, 1010.0, 40.0)
    assert Counter(zone(dispatcher, s) for s in out) == {"a": most, "b": most}
    begun = [s for s in out if zone(dispatcher, s) == "a"][:2]
    more = turns(dispatcher, 1054.0, 44.0, *(api.Progress(s.request, 0, s.worker, True) for s in begun))
    assert [zone(dispatcher, s) for s in more] == ["a"] * 2


def test_who_is_busier_than_others_may_have_a_share_of_what_runs() -> None:
    dispatcher = told(100, 100)
    out, now, running = flood(dispatcher, 500), 1001.0, 0
    while running <= 40:
        now += 20.0
        dispatcher.handle(now, [api.Progress(s.request, 0, s.worker, True) for s in out])
        running = sum(a.started_at >= 0 for a in dispatcher.attempts.values())
        waits = Counter(a.worker.zone for a in dispatcher.attempts.values() if a.started_at < 0)
        assert waits["a"] <= max(MIN_UNSTARTED, UNSTARTED_RUNNING_SHARE * running)
        out = [api.Send(a.job.id, a.worker.name) for a in dispatcher.attempts.values() if a.started_at < 0]
    assert waits["a"] > MIN_UNSTARTED


def test_what_has_been_silent_for_long_holds_nobody_back() -> None:
    dispatcher = told(50, 50)
    assert (
        len(flood(dispatcher, 10) + turns(dispatcher, 1010.0, MIN_START_TIMEOUT_MS - 20)) == 2 * MIN_UNSTARTED
    )
    assert turns(dispatcher, 1010.0 + MIN_START_TIMEOUT_MS + 20, 100.0)


def test_where_starts_are_not_told_nothing_is_held_back_for_them() -> None:
    settings = make_settings(instances=50, tells_start=False)
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(50))])
    assert len(flood(dispatcher, 40) + turns(dispatcher, 1010.0, 400.0)) == 40


def test_what_is_held_back_leaves_by_worth_and_is_given_up_in_time() -> None:
    """Held here it can still be told at once that it will not be served; in a worker's queue it could not."""
    dispatcher = told(50, 50)
    flood(dispatcher, 30)
    turns(dispatcher, 1010.0, 100.0)
    given_up = [
        a
        for a in dispatcher.handle(3700.0, [api.TimerFired(dispatcher.timer_handle)])
        if isinstance(a, api.Refuse)
    ]
    assert given_up
    assert not dispatcher.round_queues or len(dispatcher.jobs) <= 30 - len(given_up)


def test_reports_do_not_tell_slots_where_starts_do() -> None:
    """They are noisy: by what one held and how many waited, a worker of four slots had one to thirteen."""
    dispatcher = told(1, 4, reports_in_answers=True)
    for held, queued in ((20.0, 7.0), (9.0, 8.2), (30.0, 26.0)):
        (sent,) = flood(dispatcher, 1, at=dispatcher.now + 1, first=int(dispatcher.now)) + turns(
            dispatcher, dispatcher.now + 20, 100.0
        )
        report = api.Report(in_flight=held, queued=queued)
        done = api.AttemptEnded(sent.request, 0, sent.worker, api.Outcome.DONE, 80.0, True, report)
        dispatcher.handle(dispatcher.now + 1, [done])
        assert all(not s.slots for s in dispatcher.shapes.values())


def test_what_has_no_hope_is_given_up_at_once_though_no_round_would_reach_it() -> None:
    """Twenty jobs of more worth, which earn something late, stand before one that does not."""
    settings = make_settings(instances=50, tells_start=True)
    settings.classes[1].late_worth, settings.classes[1].worth = 0.5, 10.0
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed([])])
    ahead = [api.Request(i, "keyed", 4000.0, hint=100.0) for i in range(20)]
    dispatcher.handle(1001.0, [*ahead, api.Request(99, "read", 4000.0, hint=100.0)])
    until = dispatcher.hopeless_from(dispatcher.jobs[99])
    assert until < dispatcher.jobs[99].deadline - 2000
    for now, gone in ((until - 5.0, []), (until + 5.0, [99])):
        actions = dispatcher.handle(now, [api.TimerFired(dispatcher.timer_handle)])
        assert [a.request for a in actions if isinstance(a, api.Refuse)] == gone


def serve(
    dispatcher: Dispatcher, cls: str, at: float, *served: bool, outcome: api.Outcome = api.Outcome.DONE
) -> float:
    """One request of a class after another, each served in time or late. Returns when the last ended."""
    for well in served:
        number = int(at * 10)
        out = sends(dispatcher.handle(at, [api.Request(number, cls, 4000.0, hint=50.0)])) or turns(
            dispatcher, at + 20, 60.0
        )
        at = dispatcher.now + (20.0 if well else 500.0)
        dispatcher.handle(at, [api.AttemptEnded(number, 0, out[0].worker, outcome, 20.0, True)])
        at += 20.0
    return at


def test_a_class_whose_attempts_fail_is_not_put_first_for_it() -> None:
    """It would take room from others under overload, and fail with it."""
    dispatcher = Dispatcher(make_settings(instances=1, zone=""), 1)
    dispatcher.handle(1000.0, [listed(fleet(8))])
    at = serve(dispatcher, "pay", 1001.0, True)
    serve(dispatcher, "read", at, *[True] * 8, outcome=api.Outcome.ERROR)
    assert dispatcher.class_earnings == {"pay": 1.0}


@pytest.mark.parametrize(("failed", "first"), [(0, "pay"), (2, "pay"), (8, "read")])
def test_held_jobs_of_a_class_that_fares_far_worse_leave_first(failed: int, first: str) -> None:
    """`pay` is worth nine times as much, so it goes first, until too little of `read` is served."""
    settings = make_settings(instances=1, zone="")
    settings.classes[2].worth = 9.0
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(8))])
    at = serve(dispatcher, "pay", 1001.0, *[True] * 10)
    at = serve(dispatcher, "read", at, *[True] * (8 - failed), *[False] * failed)
    assert (dispatcher.class_earnings["read"] < MIN_EARNINGS_SHARE * dispatcher.class_earnings["pay"]) is (
        first == "read"
    )
    dispatcher.handle(at, [listed([])])
    asked = ("read", "pay", "read", "pay")
    held = [api.Request(i, cls, 4000.0, hint=50.0) for i, cls in enumerate(asked)]
    assert not sends(dispatcher.handle(at + 1, held))
    (round_queues,) = dispatcher.round_queues.values()
    left = [j.spec.name for j in dispatcher.pop_jobs(round_queues)]
    assert left[:2] == [first] * 2 and sorted(left) == sorted(asked)


@pytest.mark.parametrize("late", [20.0, 4 * LATE_START_MS])
@pytest.mark.parametrize("beside", ["nothing", "one that runs", "one that waits"])
def test_a_job_that_is_late_waits_for_room_to_show(late: float, beside: str) -> None:
    """It goes out while starts come at once and nothing of ours waits, or with nothing of ours out at all."""
    dispatcher = told(50, 50)
    dispatcher.handle(1000.0, [listed(fleet(50)[::2])])  # of one zone
    read = dispatcher.settings.classes[0]
    read.aim, read.aim_stretch, read.late_worth = 300.0, 0.0, 0.5
    if beside != "nothing":
        (one,) = flood(dispatcher, 1) + turns(dispatcher, 1010.0, 40.0)
        started = [api.Progress(one.request, 0, one.worker, True)] if beside == "one that runs" else []
        dispatcher.handle(1060.0, started)
    for _ in range(40):
        dispatcher.record_start_delay(late)
    too_late = api.Request(900, "read", 4000.0, hint=1000.0)
    got = sends(dispatcher.handle(1150.0, [too_late])) + turns(dispatcher, 1160.0, 60.0)
    assert bool(got) is (beside == "nothing" or (late < LATE_START_MS and beside == "one that runs"))
    in_time = api.Request(901, "read", 4000.0, hint=50.0)
    assert sends(dispatcher.handle(1230.0, [in_time])) + turns(
        dispatcher, 1240.0, 60.0
    )  # which is held back by none of it


def test_late_jobs_go_together_while_starts_come_at_once() -> None:
    """What was sent a moment ago is no sign that there is no room: else late jobs leave one by one, and as
    long as others keep coming hardly at all. What has waited for long is such a sign."""
    dispatcher = told(1, 8)
    dispatcher.handle(1000.0, [listed(fleet(8)[::2])])  # of one zone
    read = dispatcher.settings.classes[0]
    read.aim, read.aim_stretch, read.late_worth = 300.0, 0.0, 0.5
    for _ in range(40):
        dispatcher.record_start_delay(20.0)
    late = [api.Request(n, "read", 4000.0, hint=1000.0) for n in range(4)]
    assert len(sends(dispatcher.handle(1010.0, late)) + turns(dispatcher, 1020.0, 60.0)) == len(late)
    one_more = api.Request(99, "read", 4000.0, hint=1000.0)
    assert not sends(dispatcher.handle(1010.0 + LATE_START_MS + 80.0, [one_more])) + turns(
        dispatcher, 1200.0, 60.0
    )
