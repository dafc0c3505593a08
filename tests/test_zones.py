"""What the decisions do where crossing zones has a price, tenants have shares, and workers report their load.

Each test fails without the rule that it is about.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from eiderpin import explain, wire
from eiderpin import interface as api
from eiderpin.decide import (
    MIN_START_TIMEOUT_MS,
    PROBATION_MS,
    PROBE_INTERVAL_MS,
    QUEUED_MS,
    START_TIMEOUT_FACTOR,
    Dispatcher,
)
from tests.conftest import entry, finals, sends
from tests.test_lifecycle import DispatcherHarness

FIND = api.RequestClass(
    "find", aim=150, aim_stretch=2.5, deadline=5000, worth=5, late_worth=0.5, repeat=api.Repeat.FREE
)
BOOK = api.RequestClass(
    "book", aim=300, aim_stretch=1.75, deadline=30_000, worth=15, late_worth=0.3, repeat=api.Repeat.GUARDED,
    scope=api.Scope.ZONE, memory_span=12_000,
)  # fmt: skip


def make_site(
    zones: str = "aabb", settings: dict[str, Any] | None = None, **entries: Any
) -> DispatcherHarness:
    """One dispatcher of zone `a`, and workers of four slots in these zones."""
    given: dict[str, Any] = {
        "zone": "a", "price_cross_zone": 0.16, "worth_by_work": True, "tick": 4, "ratings": False,
        "tells_start": True, "may_cancel": True, "parallel_attempts": True, "max_attempts": 4,
        "over_share_worth": 0.1, "cold_share": 0.17, "warm_up": 24_000, "cold_multiple": 3,
        "cold_window": 3000,
    } | (settings or {})  # fmt: skip
    workers = [entry(f"{zone}{i}", zone=zone, rating=1.0, **entries) for i, zone in enumerate(zones)]
    return DispatcherHarness(api.Settings([FIND, BOOK], **given), workers)


def request_job(
    harness: DispatcherHarness, number: int, cls: str, ms: float = 20.0, **more: Any
) -> list[api.Action]:
    """Request a job, let `ms` pass, and return all actions."""
    more = {"hint": 400.0, "expires_in": harness.dispatcher.classes[cls].deadline} | more
    return harness.handle(api.Request(number, cls, **more)) + harness.advance(ms)


def placed_jobs(actions: list[api.Action]) -> dict[int, str]:
    """The worker of each job that was sent, by the job's number."""
    return {a.request: a.worker for a in sends(actions)}


def report_starts(harness: DispatcherHarness, workers: dict[int, str]) -> None:
    """Report that these first attempts have started."""
    for number, worker in workers.items():
        harness.handle(api.Progress(number, 0, worker, True))


def worker_of(harness: DispatcherHarness, number: int) -> str:
    """The worker of a job's open attempt."""
    return harness.dispatcher.jobs[number].open_attempts[0].worker.name


def request_and_start(
    harness: DispatcherHarness, number: int, cls: str, ms: float = 60.0, **more: Any
) -> dict[int, str]:
    """Request a job, and report its start at once if it is sent."""
    workers = placed_jobs(request_job(harness, number, cls, ms, **more))
    report_starts(harness, workers)
    return workers


def fill_home_zone(harness: DispatcherHarness, jobs: int = 40) -> dict[int, str]:
    """Fill all slots of the home zone with running `find` jobs; returns their workers."""
    workers: dict[int, str] = {}
    for number in range(100, 100 + jobs):
        placed = request_and_start(harness, number, "find")
        workers |= placed
        if not placed:
            break
    assert {w[0] for w in workers.values()} == {"a"} and len(workers) < jobs
    return workers


def test_jobs_stay_in_their_zone_while_it_has_room() -> None:
    """Crossing has a price, so a job must not cross for a less loaded worker."""
    harness = make_site()
    assert {w[0] for w in fill_home_zone(harness).values()} == {"a"}


def test_without_a_price_jobs_go_to_every_zone() -> None:
    """Where crossing costs nothing, keeping jobs at home would only waste room."""
    harness = make_site(settings={"price_cross_zone": 0.0})
    workers = [request_and_start(harness, n, "find")[n] for n in range(8)]
    assert {w[0] for w in workers} == {"a", "b"}


def test_a_job_leaves_its_zone_once_waiting_costs_more_than_crossing() -> None:
    """A job that stayed at home for ever would be late although another zone has room."""
    harness = make_site()
    fill_home_zone(harness)
    assert not placed_jobs(request_job(harness, 1, "book", 12.0))  # it may still find room here in time
    slack = harness.dispatcher.jobs[1].slack
    placed = placed_jobs(harness.advance(slack))
    assert placed[1][0] == "b"


def test_a_job_leaves_its_zone_in_time_behind_a_long_queue() -> None:
    """A turn looks only at the first few waiting jobs; those behind them must not starve at home."""
    harness = make_site("aabbbbbbbbb")
    fill_home_zone(harness)
    harness.handle(*(api.Request(n, "book", 7500.0, hint=400.0) for n in range(1, 41)))
    placed: dict[int, str] = {}
    for _ in range(10):
        newly_placed = placed_jobs(harness.advance(60))
        report_starts(harness, newly_placed)
        placed |= newly_placed
    assert len(placed) >= 36 and {w[0] for w in placed.values()} == {"b"}
    waiting = [
        harness.dispatcher.jobs[n] for n in range(1, 41) if not harness.dispatcher.jobs[n].open_attempts
    ]
    assert not any(job.home_zone_only for job in waiting) and not harness.dispatcher.zone_departures


def test_a_retried_job_that_left_its_zone_is_placed_once() -> None:
    """Its entry in the queue of its home zone is void, and must not send it a second time."""
    harness = make_site("ab")
    running = fill_home_zone(harness)
    harness.handle(api.Request(1, "book", 7500.0, hint=400.0))
    assert placed_jobs(harness.advance(300))[1] == "b1"
    harness.handle(api.AttemptEnded(1, 0, "b1", api.Outcome.REJECTED, 5.0, False))
    ended = [api.AttemptEnded(n, 0, w, api.Outcome.DONE, 400.0, True) for n, w in running.items()]
    assert placed_jobs(harness.handle(*ended) + harness.advance(300))[1] == "a0"
    assert harness.dispatcher.jobs[1].sends == 2 and 1 not in placed_jobs(harness.advance(400))


def test_a_job_leaves_before_it_is_late_even_if_late_answers_earn_as_much() -> None:
    """Computed from what it loses when late alone, waiting would cost nothing, and the other zone's room stay
    idle."""
    harness = make_site()
    harness.dispatcher.classes["find"] = replace(FIND, late_worth=1.0)
    fill_home_zone(harness)
    request_job(harness, 1, "find", 12.0)
    placed = placed_jobs(harness.advance(harness.dispatcher.jobs[1].slack))
    assert placed[1][0] == "b"


def test_a_job_worth_less_than_crossing_stays_and_is_served_late() -> None:
    """Crossing would cost more than it can still save."""
    harness = make_site()
    running = fill_home_zone(harness)
    request_job(harness, 1, "find", hint=30.0)  # of little worth, half of which it still earns when late
    assert 1 not in placed_jobs(harness.advance(1500))
    placed: dict[int, str] = {}
    for number in list(running)[:4]:
        done = api.AttemptEnded(number, 0, running[number], api.Outcome.DONE, 400.0, True)
        placed |= placed_jobs(harness.handle(done) + harness.advance(100))
    assert placed[1][0] == "a"


@pytest.mark.parametrize("zones", ["bb", "bc", "bcd"])
def test_without_workers_in_its_zone_a_job_crosses_at_once(zones: str) -> None:
    """There is nothing to wait for at home."""
    harness = make_site(zones)
    assert 1 in placed_jobs(request_job(harness, 1, "find"))


@pytest.mark.parametrize(("zones", "zone"), [("aaaa", "a"), ("    ", ""), ("aabbcc", "c"), ("aabb", "")])
def test_jobs_are_placed_with_one_zone_several_or_no_named_zone(zones: str, zone: str) -> None:
    """A dispatcher without a zone, or whose zone has no workers, must use all of them."""
    harness = make_site(zones, {"zone": zone})
    workers = [request_and_start(harness, n, "find")[n] for n in range(6)]
    used_zones = {w[0] for w in workers}
    assert used_zones == {zone} if zone and zone in zones else len(workers) == 6


def test_jobs_leave_a_zone_of_one_worker_for_a_zone_of_eight() -> None:
    """The small zone's jobs leave as its worker fills up, and none is refused."""
    harness = make_site("a" + "b" * 8)
    workers: dict[int, str] = {}
    for number in range(30):
        workers |= request_and_start(harness, number, "book")
    actions = harness.advance(1500)
    assert not finals(actions)
    workers |= placed_jobs(actions)
    assert len(workers) == 30 and {w[0] for w in workers.values()} == {"a", "b"}


def test_guarded_jobs_of_a_dead_zone_do_not_cross() -> None:
    """Workers of another zone would not detect the repeat, so the job fails."""
    harness = make_site()
    (worker,) = placed_jobs(request_job(harness, 1, "book")).values()
    gone = [entry(f"a{i}", zone="a", state=api.WorkerState.GONE) for i in (0, 1)]
    harness.handle(api.Membership(api.ListKind.CHANGES, gone))
    actions = harness.handle(
        api.AttemptEnded(1, 0, worker, api.Outcome.RESET, 100.0, False)
    ) + harness.advance(31_000)
    assert not sends(actions)
    assert [type(a) for a in finals(actions)] == [api.Fail]


@pytest.mark.parametrize(("after", "again"), [(200.0, True), (10_700.0, True), (12_100.0, False)])
def test_a_guarded_retry_stays_within_its_zone_and_memory_span(after: float, again: bool) -> None:
    """The span counts from the send of the first attempt; a tenth of it is left for a slow connection."""
    harness = make_site()
    (worker,) = placed_jobs(request_job(harness, 1, "book")).values()
    harness.handle(api.Progress(1, 0, worker, True))
    harness.advance(after - 20)
    actions = harness.handle(
        api.AttemptEnded(1, 0, worker, api.Outcome.RESET, after, False)
    ) + harness.advance(100)
    workers = placed_jobs(actions)
    assert (1 in workers) is again
    if again:
        assert workers[1][0] == "a" and workers[1] != worker
    else:
        assert [type(a) for a in finals(actions)] == [api.Fail]


def test_a_guarded_job_at_a_silent_worker_is_retried_in_its_zone() -> None:
    """Its worker reports nothing, so the attempt is cancelled after the start timeout."""
    harness = make_site()
    (worker,) = placed_jobs(request_job(harness, 1, "book")).values()
    assert api.Cancel(1, 0) in harness.advance(MIN_START_TIMEOUT_MS + 20)
    actions = harness.handle(
        api.AttemptEnded(1, 0, worker, api.Outcome.CANCELLED, MIN_START_TIMEOUT_MS, False)
    ) + harness.advance(100)
    assert placed_jobs(actions)[1] == next(w for w in ("a0", "a1") if w != worker)


def test_a_worker_with_a_queued_attempt_gets_no_job_until_it_starts() -> None:
    """An attempt whose start is not reported shows that the worker is full."""
    harness = make_site("a")
    (worker,) = placed_jobs(request_job(harness, 1, "book")).values()
    harness.advance(QUEUED_MS)
    assert not placed_jobs(request_job(harness, 2, "find", 60.0))
    report_starts(harness, {1: worker})
    assert 2 in placed_jobs(harness.advance(100))


def test_a_silent_worker_is_tried_again_with_its_lost_attempt_open() -> None:
    """An attempt that was lost on its way must not keep its only worker out of use until the client gives
    up."""
    harness = make_site("a", {"may_cancel": False})
    request_job(harness, 1, "book")
    harness.advance(MIN_START_TIMEOUT_MS)
    assert explain.worker(harness.dispatcher, "a0")["rests_for"] > 0
    assert 2 in placed_jobs(request_job(harness, 2, "find", 3 * PROBATION_MS))


def test_an_overtaken_attempt_is_lost_unless_it_needs_more_slots() -> None:
    """A job that needs more slots than those that started after it may still be waiting for room."""
    for slots, lost in ((1.0, True), (2.0, False)):
        harness = make_site("a", {"may_cancel": False})
        request_job(harness, 1, "book", slots=slots)
        request_job(harness, 2, "find")
        harness.advance(MIN_START_TIMEOUT_MS)
        # A late start, but it says nothing about a job sent just before.
        harness.handle(api.Progress(2, 0, "a0", True))
        harness.handle(api.AttemptEnded(2, 0, "a0", api.Outcome.DONE, MIN_START_TIMEOUT_MS, True))
        assert not harness.dispatcher.attempts[1, 0].lost
        request_job(harness, 3, "book", 2000.0)
        assert worker_of(harness, 3) == "a0"
        harness.handle(api.Progress(3, 0, "a0", True))
        assert harness.dispatcher.attempts[1, 0].lost is lost


# ---- shares --------------------------------------------------------------------------------------------

SHARES = {"tenants": [api.Tenant("big", 20.0, 0.5), api.Tenant("small", 20.0, 0.5)]}


def request_many(harness: DispatcherHarness, tenant: str, count: int, first: int) -> dict[int, str]:
    """Request so many `book` jobs one after the other, and return the workers of those that are sent."""
    actions: list[api.Action] = []
    for number in range(first, first + count):
        actions += harness.handle(api.Request(number, "book", 7500, hint=600.0, tenant=tenant))
    return placed_jobs(actions + harness.advance(30))


def test_a_tenant_beyond_its_share_is_served_while_there_is_room() -> None:
    """Starts are reported at once, as where there is room, so no job waits for the starts of others."""
    harness = make_site("aaaaaaaa", SHARES)
    placed = request_many(harness, "big", 20, 0)
    for _ in range(3):
        report_starts(harness, placed)
        placed |= placed_jobs(harness.advance(30))
    assert len(placed) == 20


def test_without_room_jobs_beyond_a_share_yield_to_the_others() -> None:
    """Otherwise a flood of one tenant would be served before the jobs of others, who are within their
    shares."""
    harness = make_site("aa", SHARES)
    running = request_many(harness, "big", 100, 0)  # 20 of them, a second's worth, are within its share
    request_job(harness, 500, "find", tenant="small")
    for number, worker in running.items():
        harness.handle(api.Progress(number, 0, worker, True))
    beyond = {n for n in range(100) if harness.dispatcher.jobs[n].worth_scale < 1.0}
    within = set(range(100)) - beyond - set(running)
    assert len(beyond) == 80 and within
    served: list[int] = []
    while running:
        number, worker = running.popitem()
        done = api.AttemptEnded(number, 0, worker, api.Outcome.DONE, 600.0, True)
        placed = placed_jobs(harness.handle(done) + harness.advance(60))
        report_starts(harness, placed)
        served += placed
        running |= {n: w for n, w in placed.items() if len(served) < 40}
    first = served[: len(within) + 1]  # a round is filled with others where too few of these wait
    assert 500 in first and len(within - set(first)) <= 2


def test_a_share_refills_and_tenants_without_one_have_no_limit() -> None:
    """A refill that came late would hold a tenant's allowed requests back."""
    harness = make_site("aa", SHARES)
    request_many(harness, "big", 100, 0)
    assert harness.dispatcher.tenant_worth_scale("big") == 0.1
    assert (
        harness.dispatcher.tenant_worth_scale("small")
        == harness.dispatcher.tenant_worth_scale("nobody")
        == harness.dispatcher.tenant_worth_scale(None)
        == 1.0
    )
    harness.advance(1000)
    assert [harness.dispatcher.tenant_worth_scale("big") for _ in range(25)].count(1.0) == 20


# ---- reports -------------------------------------------------------------------------------------------

PROBED = {"may_probe": True, "reports_in_probes": True}


def probes(actions: list[api.Action]) -> list[str]:
    """The workers that are probed."""
    return [a.worker for a in actions if isinstance(a, api.Probe)]


def test_a_filling_worker_is_probed_at_most_once_per_interval() -> None:
    """More probes than reports would be load without news."""
    harness = make_site("a", PROBED)
    probed = []
    for number in range(4):
        actions = request_job(harness, number, "find", 30.0)
        report_starts(harness, placed_jobs(actions))
        probed += probes(actions)
    assert probed == ["a0"]
    harness.advance(PROBE_INTERVAL_MS)
    assert probes(request_job(harness, 9, "find")) == ["a0"]
    assert not probes(request_job(make_site("a"), 1, "find"))  # no probe where probes bring no report


def test_load_in_a_report_keeps_jobs_away_until_it_decays() -> None:
    """A report is a single observation: it must not close a worker for good."""
    harness = make_site("a", PROBED)
    harness.handle(api.ProbeEnded("a0", True, 5.0, api.Report(free_slots=0.3, queued=14.0)))
    assert not placed_jobs(request_job(harness, 1, "find", 10.0))
    assert 1 in placed_jobs(harness.advance(1000))


@pytest.mark.parametrize("report", [None, api.Report(), api.Report(queued=3.0), api.Report(free_memory=1.0)])
def test_missing_and_partial_reports_are_accepted(report: api.Report | None) -> None:
    """Every field of a report is optional, and its worker may be unknown."""
    harness = make_site("a", PROBED)
    for name in ("a0", "unknown"):
        harness.handle(api.ProbeEnded(name, report is not None, 5.0, report))
    assert 1 in placed_jobs(request_job(harness, 1, "find", 2000.0))


def test_noisy_reports_add_no_slots_where_starts_are_reported() -> None:
    """The largest of several noisy figures would overstate a worker's slots."""
    harness = make_site("a", PROBED)
    for free in (4.2, 5.9, 3.1, 6.4):
        harness.handle(api.ProbeEnded("a0", True, 5.0, api.Report(free_slots=free)))
    assert harness.dispatcher.slots(harness.dispatcher.workers["a0"]) == 4.0


def test_an_answered_probe_shows_that_a_worker_is_live() -> None:
    """A full worker starts nothing for long; as long as it answers probes, it must not be ejected as
    silent."""
    harness = make_site("a", PROBED)
    placed_jobs(request_job(harness, 1, "find"))
    harness.advance(MIN_START_TIMEOUT_MS - 100)
    harness.handle(api.ProbeEnded("a0", True, 5.0, api.Report(free_slots=0.0, queued=4.0)))
    assert not [a for a in harness.advance(200) if isinstance(a, api.Cancel)]
    assert explain.worker(harness.dispatcher, "a0")["rests_for"] == 0.0


def cancels_after_a_missing_start(harness: DispatcherHarness) -> list[api.Action]:
    """Request a job whose start is not reported for a little longer than the least timeout."""
    request_job(harness, 900, "find", 40.0)
    return [a for a in harness.advance(MIN_START_TIMEOUT_MS + 40.0) if isinstance(a, api.Cancel)]


def test_the_start_timeout_grows_with_the_start_delays() -> None:
    """With a fixed timeout, jobs in long queues would be cancelled and have to wait again elsewhere."""
    # Starts come at once, so one not reported in 600 ms never will be.
    assert cancels_after_a_missing_start(make_site("aaaa"))
    harness = make_site("aaaa")
    for _ in range(100):
        harness.dispatcher.record_start_delay(400.0)  # queues are long, so it would wait again elsewhere
    assert not cancels_after_a_missing_start(harness)
    assert [a for a in harness.advance(START_TIMEOUT_FACTOR * 450.0) if isinstance(a, api.Cancel)]


def test_silent_workers_hardly_raise_the_start_timeout() -> None:
    """A mean would grow with the missing starts, and lost attempts would be noticed too late."""
    harness = make_site("aaaa")
    for n in range(2000):
        harness.dispatcher.record_start_delay(math.inf if n % 5 == 0 else 20.0 + n % 7)
    assert harness.dispatcher.start_timeout() == MIN_START_TIMEOUT_MS


def test_the_queue_order_on_the_wire_sets_starts_in_order() -> None:
    """Only `fifo` promises that jobs start in the order sent; an unknown order must not be taken for it."""
    classes = [{"name": "find", "aim": 150.0, "hard_limit": 5000.0}]
    for order, in_order in (("fifo", True), ("backfill", False), ("priority", False), (None, False)):
        conf = {"classes": classes, "family_info": {"queue_order": order}}
        assert wire.decode_settings(conf)[0].starts_in_order is in_order
    assert isinstance(Dispatcher(wire.decode_settings({"classes": classes})[0], 1), Dispatcher)


def test_jobs_leave_a_zone_whose_starts_are_later_than_elsewhere() -> None:
    """Dispatchers that each see few jobs of a worker find room at home and fill its queues together; only
    late starts show it. Where starts are as late elsewhere, no job leaves because of them."""
    for elsewhere, leaves in ((5.0, True), (2000.0, False)):
        harness = make_site("aabb")
        harness.handle(api.Request(1, "book", 7500, hint=400.0), api.Request(2, "book", 7500, hint=400.0))
        at = {1: harness.dispatcher.workers["a0"], 2: harness.dispatcher.workers["b2"]}
        attempts = [
            harness.dispatcher.open_attempt(harness.dispatcher.jobs[n], 0, worker, harness.now)
            for n, worker in at.items()
        ]
        harness.now += elsewhere
        harness.handle(api.Progress(2, 0, "b2", True))
        harness.now = attempts[0].sent_at + 2000.0
        harness.handle(api.Progress(1, 0, "a0", True))
        # as after many such starts
        harness.dispatcher.start_delay_ms = [delay * 20 for delay in harness.dispatcher.start_delay_ms]
        request_job(harness, 3, "book", 12.0, expires_in=7500.0)
        assert harness.dispatcher.jobs[3].home_zone_only is not leaves, elsewhere
