"""How many jobs one dispatcher lets wait for their start at workers, where starts are reported."""

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


def make_dispatcher(instances: int, workers: int, **changes: object) -> Dispatcher:
    """A dispatcher that knows `workers` workers, which report their starts."""
    settings = make_settings(
        instances=instances, tells_start=True, starts_in_order=True, ratings=False, **changes
    )
    settings.classes[0].aim = 2000.0
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(workers))])
    return dispatcher


def send_requests(dispatcher: Dispatcher, count: int, at: float = 1001.0, first: int = 1) -> list[api.Send]:
    """Request so many jobs at once and return what is sent."""
    return sends(dispatcher.handle(at, [api.Request(first + i, "read", 4000.0) for i in range(count)]))


def zone_of(dispatcher: Dispatcher, sent: api.Send) -> str:
    """The zone of the worker that was sent a job."""
    return dispatcher.workers[sent.worker].zone


def run_batches(dispatcher: Dispatcher, start: float, ms: float, *events: api.Event) -> list[api.Send]:
    """Run a batch every 20 ms, the first one with `events`, and return what is sent."""
    sent, now, first = [], start, list(events)
    while now < start + ms:
        sent += sends(dispatcher.handle(now, [*first, api.TimerFired(dispatcher.timer_handle)]))
        first, now = [], now + 20.0
    return sent


@pytest.mark.parametrize(
    ("instances", "workers"), [(1, 12), (2, 12), (3, 8), (20, 30), (40, 60), (50, 20), (200, 200)]
)
def test_jobs_waiting_for_their_start_are_limited_in_each_zone(instances: int, workers: int) -> None:
    """Without the limit, a dispatcher would queue its jobs at workers, where they delay those of others. Each
    start lets one more job go to that zone, and no burst follows."""
    dispatcher = make_dispatcher(instances, workers)
    limit = max(MIN_UNSTARTED, int(UNSTARTED_PER_WORKER * workers / instances))
    out = send_requests(dispatcher, 500) + run_batches(dispatcher, 1010.0, 40.0)
    assert Counter(zone_of(dispatcher, s) for s in out) == {"a": limit, "b": limit}
    started = [s for s in out if zone_of(dispatcher, s) == "a"][:2]
    more = run_batches(
        dispatcher, 1054.0, 44.0, *(api.Progress(s.request, 0, s.worker, True) for s in started)
    )
    assert [zone_of(dispatcher, s) for s in more] == ["a"] * 2


def test_the_limit_grows_with_the_dispatchers_running_jobs() -> None:
    """A dispatcher with more traffic than others needs more than an even part of the limit."""
    dispatcher = make_dispatcher(100, 100)
    out, now, running = send_requests(dispatcher, 500), 1001.0, 0
    while running <= 40:
        now += 20.0
        dispatcher.handle(now, [api.Progress(s.request, 0, s.worker, True) for s in out])
        running = sum(a.started_at >= 0 for a in dispatcher.attempts.values())
        unstarted = Counter(a.worker.zone for a in dispatcher.attempts.values() if a.started_at < 0)
        assert unstarted["a"] <= max(MIN_UNSTARTED, UNSTARTED_RUNNING_SHARE * running)
        out = [api.Send(a.job.id, a.worker.name) for a in dispatcher.attempts.values() if a.started_at < 0]
    assert unstarted["a"] > MIN_UNSTARTED


def test_attempts_past_the_start_timeout_do_not_count_against_the_limit() -> None:
    """They are lost, and would otherwise block the dispatcher for good."""
    dispatcher = make_dispatcher(50, 50)
    assert (
        len(send_requests(dispatcher, 10) + run_batches(dispatcher, 1010.0, MIN_START_TIMEOUT_MS - 20))
        == 2 * MIN_UNSTARTED
    )
    assert run_batches(dispatcher, 1010.0 + MIN_START_TIMEOUT_MS + 20, 100.0)


def test_without_reported_starts_no_job_is_held_back() -> None:
    """No attempt would ever be seen to start, so the limit would never be lifted."""
    settings = make_settings(instances=50, tells_start=False)
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(50))])
    assert len(send_requests(dispatcher, 40) + run_batches(dispatcher, 1010.0, 400.0)) == 40


def test_jobs_held_back_are_refused_in_time() -> None:
    """A job that is held here can still be refused early; in a worker's queue it could not."""
    dispatcher = make_dispatcher(50, 50)
    send_requests(dispatcher, 30)
    run_batches(dispatcher, 1010.0, 100.0)
    refused = [
        a
        for a in dispatcher.handle(3700.0, [api.TimerFired(dispatcher.timer_handle)])
        if isinstance(a, api.Refuse)
    ]
    assert refused
    assert not dispatcher.round_queues or len(dispatcher.jobs) <= 30 - len(refused)


def test_reported_slots_are_ignored_where_starts_are_reported() -> None:
    """Reports are noisy: computed from jobs held and queued, a worker of four slots had between one and
    thirteen."""
    dispatcher = make_dispatcher(1, 4, reports_in_answers=True)
    for held, queued in ((20.0, 7.0), (9.0, 8.2), (30.0, 26.0)):
        (sent,) = send_requests(
            dispatcher, 1, at=dispatcher.now + 1, first=int(dispatcher.now)
        ) + run_batches(dispatcher, dispatcher.now + 20, 100.0)
        report = api.Report(in_flight=held, queued=queued)
        done = api.AttemptEnded(sent.request, 0, sent.worker, api.Outcome.DONE, 80.0, True, report)
        dispatcher.handle(dispatcher.now + 1, [done])
        assert all(not s.slots for s in dispatcher.shapes.values())


def test_a_hopeless_job_is_refused_at_once_behind_a_long_queue() -> None:
    """Twenty jobs of more worth, which earn something even when late, are ahead of one that does not, so that
    no round looks at it before its deadline."""
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


def serve_requests(
    dispatcher: Dispatcher, cls: str, at: float, *served: bool, outcome: api.Outcome = api.Outcome.DONE
) -> float:
    """Serve one request of a class after another, each in time or late. Returns when the last one ended."""
    for in_time in served:
        number = int(at * 10)
        out = sends(dispatcher.handle(at, [api.Request(number, cls, 4000.0, hint=50.0)])) or run_batches(
            dispatcher, at + 20, 60.0
        )
        at = dispatcher.now + (20.0 if in_time else 500.0)
        dispatcher.handle(at, [api.AttemptEnded(number, 0, out[0].worker, outcome, 20.0, True)])
        at += 20.0
    return at


def test_failed_attempts_do_not_lower_the_earnings_of_their_class() -> None:
    """Its jobs would go first under overload, take room from other classes, and fail again."""
    dispatcher = Dispatcher(make_settings(instances=1, zone=""), 1)
    dispatcher.handle(1000.0, [listed(fleet(8))])
    at = serve_requests(dispatcher, "pay", 1001.0, True)
    serve_requests(dispatcher, "read", at, *[True] * 8, outcome=api.Outcome.ERROR)
    assert dispatcher.class_earnings == {"pay": 1.0}


@pytest.mark.parametrize(("failed", "first"), [(0, "pay"), (2, "pay"), (8, "read")])
def test_queued_jobs_of_a_class_that_earns_far_less_leave_first(failed: int, first: str) -> None:
    """`pay` is worth nine times as much, so it goes first until too little of `read` is served."""
    settings = make_settings(instances=1, zone="")
    settings.classes[2].worth = 9.0
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(1000.0, [listed(fleet(8))])
    at = serve_requests(dispatcher, "pay", 1001.0, *[True] * 10)
    at = serve_requests(dispatcher, "read", at, *[True] * (8 - failed), *[False] * failed)
    assert (dispatcher.class_earnings["read"] < MIN_EARNINGS_SHARE * dispatcher.class_earnings["pay"]) is (
        first == "read"
    )
    dispatcher.handle(at, [listed([])])
    asked = ("read", "pay", "read", "pay")
    held = [api.Request(i, cls, 4000.0, hint=50.0) for i, cls in enumerate(asked)]
    assert not sends(dispatcher.handle(at + 1, held))
    (queue,) = dispatcher.round_queues.values()
    left = [j.spec.name for j in dispatcher.pop_jobs(queue)]
    assert left[:2] == [first] * 2 and sorted(left) == sorted(asked)


@pytest.mark.parametrize("start_delay", [20.0, 4 * LATE_START_MS])
@pytest.mark.parametrize("other_attempt", ["nothing", "one that runs", "one that waits"])
def test_a_late_job_waits_until_starts_show_room(start_delay: float, other_attempt: str) -> None:
    """It is sent while starts come at once and no job of ours waits for its start, or if we have none open.
    Otherwise it would delay other dispatchers' jobs that are in time."""
    dispatcher = make_dispatcher(50, 50)
    dispatcher.handle(1000.0, [listed(fleet(50)[::2])])  # all in one zone
    read = dispatcher.settings.classes[0]
    read.aim, read.aim_stretch, read.late_worth = 300.0, 0.0, 0.5
    if other_attempt != "nothing":
        (one,) = send_requests(dispatcher, 1) + run_batches(dispatcher, 1010.0, 40.0)
        started = [api.Progress(one.request, 0, one.worker, True)] if other_attempt == "one that runs" else []
        dispatcher.handle(1060.0, started)
    for _ in range(40):
        dispatcher.record_start_delay(start_delay)
    too_late = api.Request(900, "read", 4000.0, hint=1000.0)
    sent = sends(dispatcher.handle(1150.0, [too_late])) + run_batches(dispatcher, 1160.0, 60.0)
    assert bool(sent) is (
        other_attempt == "nothing" or (start_delay < LATE_START_MS and other_attempt == "one that runs")
    )
    in_time = api.Request(901, "read", 4000.0, hint=50.0)
    # A job that is in time is not held back.
    assert sends(dispatcher.handle(1230.0, [in_time])) + run_batches(dispatcher, 1240.0, 60.0)


def test_late_jobs_go_together_while_starts_come_at_once() -> None:
    """An attempt sent a moment ago is no sign that there is no room. If it counted as one, late jobs would
    leave one by one, and hardly at all while others keep coming. One that has waited for long is such a
    sign."""
    dispatcher = make_dispatcher(1, 8)
    dispatcher.handle(1000.0, [listed(fleet(8)[::2])])  # all in one zone
    read = dispatcher.settings.classes[0]
    read.aim, read.aim_stretch, read.late_worth = 300.0, 0.0, 0.5
    for _ in range(40):
        dispatcher.record_start_delay(20.0)
    late = [api.Request(n, "read", 4000.0, hint=1000.0) for n in range(4)]
    assert len(sends(dispatcher.handle(1010.0, late)) + run_batches(dispatcher, 1020.0, 60.0)) == len(late)
    one_more = api.Request(99, "read", 4000.0, hint=1000.0)
    assert not sends(dispatcher.handle(1010.0 + LATE_START_MS + 80.0, [one_more])) + run_batches(
        dispatcher, 1200.0, 60.0
    )
