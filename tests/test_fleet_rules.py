"""What a dispatcher does that matters once it is one of two hundred: each sees a few jobs of each worker.

A worker that is full with other dispatchers' jobs, or bad for all of them, shows it to each dispatcher once
or twice. These tests bring such a fleet about from one dispatcher's side and fail without the rules that
answer it (docs/fleet.md).
"""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.decide import COLD_BUDGET_SHARE, TRUSTED_ONLY_AIM_SHARE
from tests.conftest import fleet, make_settings, sends
from tests.test_lifecycle import Play


def sent_one(play: Play, number: int, cls: str, ms: float = 40.0) -> api.Send:
    (sent,) = sends(play.do(api.Request(number, cls, 4000, hint=50.0)) + play.run(ms))
    return sent


def trusted_play(seed: int, failure: bool = True, served: tuple[str, ...] = ("w5", "w9")) -> Play:
    """Two hundred workers; attempts of ours succeeded at `served`, and one failed at w1."""
    play = Play(make_settings(instances=200), fleet(200), seed)
    for name in served:
        play.d.record_result(play.d.workers[name], False)
    if failure:
        play.d.record_result(play.d.workers["w1"], True)
    return play


def test_once_failures_are_about_a_single_shot_goes_where_we_were_served() -> None:
    """A bad worker fails one in two: each dispatcher meets it too seldom to learn so, but a worker that has
    served it lately is less often bad."""
    where = {sent_one(trusted_play(seed), 1, "pay").worker for seed in range(30)}
    assert where <= {"w5", "w9"}


def test_without_failures_single_shots_go_anywhere() -> None:
    where = {sent_one(trusted_play(seed, failure=False), 1, "pay").worker for seed in range(30)}
    assert len(where - {"w5", "w9"}) >= 20


def test_a_dispatcher_that_meets_each_worker_often_learns_of_it_alone() -> None:
    plays = [trusted_play(seed) for seed in range(30)]
    for play in plays:
        play.d.our_slots = 10.0 * len(play.d.workers)
    assert len({sent_one(play, 1, "pay").worker for play in plays} - {"w5", "w9"}) >= 20


def test_with_nobody_to_trust_a_single_shot_waits_for_nothing() -> None:
    play = trusted_play(1, served=())
    play.do(api.Request(1, "pay", 4000, hint=50.0))
    assert len(sends(play.run(3 * play.d.settings.tick))) == 1


def test_a_single_shot_that_finds_its_trusted_workers_full_goes_elsewhere_after_a_while() -> None:
    play = trusted_play(1)
    for name in ("w5", "w9"):
        play.d.note_others(play.d.workers[name], 10.0, 0.0)  # full with others' jobs
    play.do(api.Request(1, "pay", 4000, hint=50.0))
    aim = play.d.classes["pay"].aim
    assert sends(play.run(TRUSTED_ONLY_AIM_SHARE * aim - 10)) == []
    (sent,) = sends(play.run(5 * play.d.round_ms))  # the next round, once those that placed nothing grew rare
    assert sent.worker not in ("w5", "w9", "w1")


def test_a_worker_that_fails_is_trusted_no_more() -> None:
    play = trusted_play(1)
    play.d.record_result(play.d.workers["w5"], True)
    where = {sent_one(trusted_play(seed), 1, "pay").worker for seed in range(5)}
    assert "w5" in {w.name for w in play.d.whole_pool.items} and "w5" not in play.d.trusted_pool.positions
    assert where <= {"w5", "w9"}
    again = {sent_one(p, 1, "pay").worker for p in [play]}
    assert again == {"w9"}


def cold_fleet(open_jobs: int, instances: int = 40) -> list[Play]:
    """The dispatchers of one fleet with so many open jobs each, before forty workers that are all cold."""
    plays = []
    for i in range(instances):
        settings = make_settings(tells_start=True, instances=instances, instance=i, cold_window=2000.0)
        play = Play(settings, fleet(40, born=900.0))
        for number in range(open_jobs):
            play.do(api.Request(number, "read", 4000, hint=400.0))
        plays.append(play)
    return plays


def holders(plays: list[Play], name: str) -> int:
    return sum(p.d.cold_budget(p.d.workers[name], 400.0) > 0 for p in plays)


def test_dispatchers_with_few_jobs_share_a_cold_workers_budget_more_widely() -> None:
    """Each uses little of a part that is at least a job: were the parts given to as many as fill the budget
    between them, most of it would stand idle."""
    few, many = cold_fleet(open_jobs=1), cold_fleet(open_jobs=200)
    for name in ("w0", "w7", "w23"):
        d, s = many[0].d, many[0].d.settings
        part = max(p.d.cold_budget(p.d.workers[name], 400.0) for p in many)
        capacity = d.warmth(d.workers[name]) * d.slots(d.workers[name])
        whole = COLD_BUDGET_SHARE * s.cold_multiple * capacity * s.cold_window
        assert holders(many, name) * part <= whole + 1e-6
        # Used all at once, they are over the whole by no more than half of what is put down to chance.
        n = whole / COLD_BUDGET_SHARE / 400.0
        assert holders(few, name) * part / 400.0 <= n + n**0.5 + 1
        assert holders(few, name) >= 2 * holders(many, name)


def test_two_dispatchers_hold_a_cold_workers_budget_as_ever() -> None:
    for open_jobs in (1, 200):
        plays = cold_fleet(open_jobs, instances=2)
        assert holders(plays, "w3") == 2
