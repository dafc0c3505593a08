"""Zones, shares and reports: what the decisions do where crossing has a price, tenants have shares, and
workers tell of their load to who asks. Each case fails without the rule that it names."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from eiderpin import explain, wire
from eiderpin import interface as api
from eiderpin.decide import QUEUED, REPORT_EVERY, SILENT, STARTS, TRIAL, Dispatcher
from tests.conftest import entry, finals, sends
from tests.test_lifecycle import Play

FIND = api.RequestClass(
    "find", aim=150, aim_stretch=2.5, deadline=5000, worth=5, late_worth=0.5, repeat=api.Repeat.FREE
)
BOOK = api.RequestClass(
    "book", aim=300, aim_stretch=1.75, deadline=30_000, worth=15, late_worth=0.3, repeat=api.Repeat.GUARDED,
    scope=api.Scope.ZONE, memory_span=12_000,
)  # fmt: skip


def site(zones: str = "aabb", settings: dict[str, Any] | None = None, **entries: Any) -> Play:
    """One dispatcher of zone `a` before workers of four slots in these zones."""
    given: dict[str, Any] = {
        "zone": "a", "price_cross_zone": 0.16, "worth_by_work": True, "tick": 4, "ratings": False,
        "tells_start": True, "may_cancel": True, "parallel_attempts": True, "max_attempts": 4,
        "over_share_worth": 0.1, "cold_share": 0.17, "warm_up": 24_000, "cold_multiple": 3,
        "cold_window": 3000,
    } | (settings or {})  # fmt: skip
    workers = [entry(f"{zone}{i}", zone=zone, rating=1.0, **entries) for i, zone in enumerate(zones)]
    return Play(api.Settings([FIND, BOOK], **given), workers)


def ask(play: Play, number: int, cls: str, ms: float = 20.0, **more: Any) -> list[api.Action]:
    more = {"hint": 400.0, "expires_in": play.d.classes[cls].deadline} | more
    return play.do(api.Request(number, cls, **more)) + play.run(ms)


def placed(actions: list[api.Action]) -> dict[int, str]:
    return {a.request: a.worker for a in sends(actions)}


def started(play: Play, where: dict[int, str]) -> None:
    for number, worker in where.items():
        play.do(api.Progress(number, 0, worker, True))


def placed_at(play: Play, number: int) -> str:
    """Where a job's attempt is out."""
    return play.d.jobs[number].out[0].worker.name


def settle(play: Play, number: int, cls: str, ms: float = 60.0, **more: Any) -> dict[int, str]:
    """Ask, and let what is placed start at once."""
    where = placed(ask(play, number, cls, ms, **more))
    started(play, where)
    return where


def fill_home(play: Play, jobs: int = 40) -> dict[int, str]:
    """Searches that run and leave no slot free at home."""
    where: dict[int, str] = {}
    for number in range(100, 100 + jobs):
        got = settle(play, number, "find")
        where |= got
        if not got:
            break
    assert {w[0] for w in where.values()} == {"a"} and len(where) < jobs
    return where


def test_a_job_is_placed_in_its_own_zone_while_there_is_room() -> None:
    play = site()
    assert {w[0] for w in fill_home(play).values()} == {"a"}


def test_without_a_price_every_zone_is_drawn_from() -> None:
    play = site(settings={"price_cross_zone": 0.0})
    where = [settle(play, n, "find")[n] for n in range(8)]
    assert {w[0] for w in where} == {"a", "b"}


def test_a_job_leaves_its_zone_once_waiting_costs_more_than_crossing() -> None:
    play = site()
    fill_home(play)
    assert not placed(ask(play, 1, "book", 12.0))  # it may yet find room here in time
    slack = play.d.jobs[1].slack
    got = placed(play.run(slack))
    assert got[1][0] == "b"


def test_every_job_leaves_at_its_own_time_however_many_wait_before_it() -> None:
    """A turn looks at the first few that wait; those behind them are not to starve at home."""
    play = site("aabbbbbbbbb")
    fill_home(play)
    play.do(*(api.Request(n, "book", 7500.0, hint=400.0) for n in range(1, 41)))
    got: dict[int, str] = {}
    for _ in range(10):
        now = placed(play.run(60))
        started(play, now)
        got |= now
    assert len(got) >= 36 and {w[0] for w in got.values()} == {"b"}
    waiting = [play.d.jobs[n] for n in range(1, 41) if not play.d.jobs[n].out]
    assert not any(job.home for job in waiting) and not play.d.leaving


def test_a_job_that_comes_back_after_it_left_its_zone_is_placed_once() -> None:
    """What is held of it among those that wait at home is void."""
    play = site("ab")
    running = fill_home(play)
    play.do(api.Request(1, "book", 7500.0, hint=400.0))
    assert placed(play.run(300))[1] == "b1"
    play.do(api.AttemptEnded(1, 0, "b1", api.Outcome.REJECTED, 5.0, False))
    ended = [api.AttemptEnded(n, 0, w, api.Outcome.DONE, 400.0, True) for n, w in running.items()]
    assert placed(play.do(*ended) + play.run(300))[1] == "a0"
    assert play.d.jobs[1].sends == 2 and 1 not in placed(play.run(400))


def test_where_late_answers_earn_as_much_a_job_still_leaves_before_it_is_late() -> None:
    play = site()
    play.d.classes["find"] = replace(FIND, late_worth=1.0)
    fill_home(play)
    ask(play, 1, "find", 12.0)
    got = placed(play.run(play.d.jobs[1].slack))
    assert got[1][0] == "b"


def test_a_job_that_loses_less_than_crossing_costs_stays_and_is_served_late() -> None:
    play = site()
    running = fill_home(play)
    ask(play, 1, "find", hint=30.0)  # worth little: late, it still earns half of that
    assert 1 not in placed(play.run(1500))
    got: dict[int, str] = {}
    for number in list(running)[:4]:
        done = api.AttemptEnded(number, 0, running[number], api.Outcome.DONE, 400.0, True)
        got |= placed(play.do(done) + play.run(100))
    assert got[1][0] == "a"


@pytest.mark.parametrize("zones", ["bb", "bc", "bcd"])
def test_with_no_worker_in_its_zone_it_goes_elsewhere_at_once(zones: str) -> None:
    play = site(zones)
    assert 1 in placed(ask(play, 1, "find"))


@pytest.mark.parametrize(("zones", "zone"), [("aaaa", "a"), ("    ", ""), ("aabbcc", "c"), ("aabb", "")])
def test_sites_of_one_zone_of_three_and_of_none_named(zones: str, zone: str) -> None:
    play = site(zones, {"zone": zone})
    where = [settle(play, n, "find")[n] for n in range(6)]
    home = {w[0] for w in where}
    assert home == {zone} if zone and zone in zones else len(where) == 6


def test_zones_of_one_worker_and_of_eight_with_equal_traffic() -> None:
    """The small one's jobs leave as its worker fills up; none is turned down."""
    play = site("a" + "b" * 8)
    where: dict[int, str] = {}
    for number in range(30):
        where |= settle(play, number, "book")
    got = play.run(1500)
    assert not finals(got)
    where |= placed(got)
    assert len(where) == 30 and {w[0] for w in where.values()} == {"a", "b"}


def test_a_zone_that_dies_with_keyed_jobs_in_it_lets_none_of_them_cross() -> None:
    play = site()
    (worker,) = placed(ask(play, 1, "book")).values()
    gone = [entry(f"a{i}", zone="a", state=api.WorkerState.GONE) for i in (0, 1)]
    play.do(api.Membership(api.ListKind.CHANGES, gone))
    got = play.do(api.AttemptEnded(1, 0, worker, api.Outcome.RESET, 100.0, False)) + play.run(31_000)
    assert not sends(got)
    assert [type(a) for a in finals(got)] == [api.Fail]


@pytest.mark.parametrize(("after", "again"), [(200.0, True), (10_700.0, True), (12_100.0, False)])
def test_a_keyed_repeat_stays_within_its_zone_and_window(after: float, again: bool) -> None:
    """It counts from the send of the first attempt; a tenth of the window is left for a slow connection."""
    play = site()
    (worker,) = placed(ask(play, 1, "book")).values()
    play.do(api.Progress(1, 0, worker, True))
    play.run(after - 20)
    got = play.do(api.AttemptEnded(1, 0, worker, api.Outcome.RESET, after, False)) + play.run(100)
    where = placed(got)
    assert (1 in where) is again
    if again:
        assert where[1][0] == "a" and where[1] != worker
    else:
        assert [type(a) for a in finals(got)] == [api.Fail]


def test_a_keyed_job_of_which_a_mute_worker_tells_nothing_is_repeated_in_its_zone() -> None:
    play = site()
    (worker,) = placed(ask(play, 1, "book")).values()
    assert api.Cancel(1, 0) in play.run(SILENT + 20)
    got = play.do(api.AttemptEnded(1, 0, worker, api.Outcome.CANCELLED, SILENT, False)) + play.run(100)
    assert placed(got)[1] == next(w for w in ("a0", "a1") if w != worker)


def test_a_worker_where_ours_waits_is_full_and_open_again_once_it_has_started() -> None:
    play = site("a")
    (worker,) = placed(ask(play, 1, "book")).values()
    play.run(QUEUED)
    assert not placed(ask(play, 2, "find", 60.0))
    started(play, {1: worker})
    assert 2 in placed(play.run(100))


def test_a_mute_worker_is_tried_again_though_what_it_lost_is_still_out() -> None:
    """A post that was lost on its way must not keep its only worker out until the client gives up."""
    play = site("a", {"may_cancel": False})
    ask(play, 1, "book")
    play.run(SILENT)
    assert explain.worker(play.d, "a0")["rests_for"] > 0
    assert 2 in placed(ask(play, 2, "find", 3 * TRIAL))


def test_a_job_overtaken_by_larger_ones_is_lost_but_not_one_that_may_not_have_fitted() -> None:
    for slots, lost in ((1.0, True), (2.0, False)):
        play = site("a", {"may_cancel": False})
        ask(play, 1, "book", slots=slots)
        ask(play, 2, "find")
        play.run(SILENT)
        play.do(api.Progress(2, 0, "a0", True))  # told late: it says nothing of a job sent just before
        play.do(api.AttemptEnded(2, 0, "a0", api.Outcome.DONE, SILENT, True))
        assert not play.d.attempts[1, 0].lost
        ask(play, 3, "book", 2000.0)
        assert placed_at(play, 3) == "a0"
        play.do(api.Progress(3, 0, "a0", True))
        assert play.d.attempts[1, 0].lost is lost


# ---- shares --------------------------------------------------------------------------------------------

SHARES = {"tenants": [api.Tenant("big", 20.0, 0.5), api.Tenant("small", 20.0, 0.5)]}


def flood(play: Play, tenant: str, count: int, first: int) -> dict[int, str]:
    """So many books at once."""
    actions: list[api.Action] = []
    for number in range(first, first + count):
        actions += play.do(api.Request(number, "book", 7500, hint=600.0, tenant=tenant))
    return placed(actions + play.run(30))


def test_beyond_its_share_a_tenant_is_served_all_the_same_while_there_is_room() -> None:
    """Each is told to start at once, as where there is room: so none waits for the starts of others."""
    play = site("aaaaaaaa", SHARES)
    got = flood(play, "big", 20, 0)
    for _ in range(3):
        started(play, got)
        got |= placed(play.run(30))
    assert len(got) == 20


def test_where_there_is_not_room_for_all_a_flood_yields_to_who_is_within_its_share() -> None:
    play = site("aa", SHARES)
    running = flood(play, "big", 100, 0)  # 20 of them are within, a second's worth
    ask(play, 500, "find", tenant="small")
    for number, worker in running.items():
        play.do(api.Progress(number, 0, worker, True))
    over = {n for n in range(100) if play.d.jobs[n].scale < 1.0}
    within = set(range(100)) - over - set(running)
    assert len(over) == 80 and within
    served: list[int] = []
    while running:
        number, worker = running.popitem()
        done = api.AttemptEnded(number, 0, worker, api.Outcome.DONE, 600.0, True)
        got = placed(play.do(done) + play.run(60))
        started(play, got)
        served += got
        running |= {n: w for n, w in got.items() if len(served) < 40}
    first = served[: len(within) + 1]  # a round closes with others where too few of them wait
    assert 500 in first and len(within - set(first)) <= 2


def test_a_share_is_given_back_at_once_and_a_tenant_without_one_is_never_beyond_it() -> None:
    play = site("aa", SHARES)
    flood(play, "big", 100, 0)
    assert play.d.share_scale("big") == 0.1
    assert play.d.share_scale("small") == play.d.share_scale("nobody") == play.d.share_scale(None) == 1.0
    play.run(1000)
    assert [play.d.share_scale("big") for _ in range(25)].count(1.0) == 20


# ---- reports -------------------------------------------------------------------------------------------

PROBED = {"may_probe": True, "reports_in_probes": True}


def probes(actions: list[api.Action]) -> list[str]:
    return [a.worker for a in actions if isinstance(a, api.Probe)]


def test_a_worker_that_fills_up_is_asked_and_no_more_often_than_reports_are_made() -> None:
    play = site("a", PROBED)
    asked = []
    for number in range(4):
        actions = ask(play, number, "find", 30.0)
        started(play, placed(actions))
        asked += probes(actions)
    assert asked == ["a0"]
    play.run(REPORT_EVERY)
    assert probes(ask(play, 9, "find")) == ["a0"]
    assert not probes(ask(site("a"), 1, "find"))  # where no report comes, none is asked for


def test_what_others_hold_by_a_report_keeps_jobs_away_and_fades() -> None:
    play = site("a", PROBED)
    play.do(api.ProbeEnded("a0", True, 5.0, api.Report(free_slots=0.3, queued=14.0)))
    assert not placed(ask(play, 1, "find", 10.0))
    assert 1 in placed(play.run(1000))


@pytest.mark.parametrize("report", [None, api.Report(), api.Report(queued=3.0), api.Report(free_memory=1.0)])
def test_a_report_that_is_absent_or_partial_breaks_nothing(report: api.Report | None) -> None:
    play = site("a", PROBED)
    for name in ("a0", "unknown"):
        play.do(api.ProbeEnded(name, report is not None, 5.0, report))
    assert 1 in placed(ask(play, 1, "find", 2000.0))


def test_noise_in_reports_makes_no_worker_larger_where_starts_tell_its_slots() -> None:
    play = site("a", PROBED)
    for free in (4.2, 5.9, 3.1, 6.4):
        play.do(api.ProbeEnded("a0", True, 5.0, api.Report(free_slots=free)))
    assert play.d.slots(play.d.workers["a0"]) == 4.0


def test_an_answered_probe_shows_that_a_busy_worker_lives() -> None:
    play = site("a", PROBED)
    placed(ask(play, 1, "find"))
    play.run(SILENT - 100)
    play.do(api.ProbeEnded("a0", True, 5.0, api.Report(free_slots=0.0, queued=4.0)))
    assert not [a for a in play.run(200) if isinstance(a, api.Cancel)]
    assert explain.worker(play.d, "a0")["rests_for"] == 0.0


def mute(play: Play) -> list[api.Action]:
    """One job whose start is not told for a little longer than the least silence."""
    ask(play, 900, "find", 40.0)
    return [a for a in play.run(SILENT + 40.0) if isinstance(a, api.Cancel)]


def test_an_attempt_is_lost_after_far_longer_than_starts_take_here() -> None:
    assert mute(site("aaaa"))  # starts come at once: one that is not told in 600 ms never will be
    play = site("aaaa")
    for _ in range(100):
        play.d.hear_start(400.0)  # queues are long: it waits its turn, and elsewhere it would wait again
    assert not mute(play)
    assert [a for a in play.run(STARTS * 450.0) if isinstance(a, api.Cancel)]


def test_a_fifth_of_the_workers_gone_silent_hardly_moves_what_starts_take() -> None:
    play = site("aaaa")
    for n in range(2000):
        play.d.hear_start(math.inf if n % 5 == 0 else 20.0 + n % 7)
    assert play.d.silence() == SILENT


def test_the_wire_says_in_which_order_workers_start_their_jobs() -> None:
    classes = [{"name": "find", "aim": 150.0, "hard_limit": 5000.0}]
    for order, in_order in (("fifo", True), ("backfill", False), ("priority", False), (None, False)):
        conf = {"classes": classes, "family_info": {"queue_order": order}}
        assert wire.decode_settings(conf)[0].starts_in_order is in_order
    assert isinstance(Dispatcher(wire.decode_settings({"classes": classes})[0], 1), Dispatcher)


def test_jobs_leave_a_zone_where_starts_come_later_than_elsewhere() -> None:
    """Dispatchers that each see a few jobs of each worker find room at home and fill its queues between them:
    only the starts that are told late show it. Where they are as late elsewhere, nobody leaves for it."""
    for elsewhere, leaves in ((5.0, True), (2000.0, False)):
        play = site("aabb")
        play.do(api.Request(1, "book", 7500, hint=400.0), api.Request(2, "book", 7500, hint=400.0))
        at = {1: play.d.workers["a0"], 2: play.d.workers["b2"]}
        out = [play.d.commit(play.d.jobs[n], 0, worker, play.now) for n, worker in at.items()]
        play.now += elsewhere
        play.do(api.Progress(2, 0, "b2", True))
        play.now = out[0].sent + 2000.0
        play.do(api.Progress(1, 0, "a0", True))
        play.d.starts = [late * 20 for late in play.d.starts]  # as after many such
        ask(play, 3, "book", 12.0, expires_in=7500.0)
        assert play.d.jobs[3].home is not leaves, elsewhere
