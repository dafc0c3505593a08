"""The draw and the fill against the paper's rule."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from eiderpin.decide import DRAWS_PER_JOB, JOBS_PER_ROUND, Worker, draw, draw_count, pick_places
from eiderpin.decide import Shape as WorkerShape
from eiderpin.interface import Request
from tests.conftest import entry, fleet, listed, make_settings, sends


def bins(loads: dict[str, int]) -> dict[str, Worker]:
    return {name: Worker(entry(name), WorkerShape()) for name in loads}


@pytest.mark.parametrize(
    ("sampled", "expected"),
    [
        (["bin1", "bin2", "bin3", "bin4"], {"bin2": 1, "bin3": 1, "bin4": 1}),
        (["bin2", "bin3", "bin4", "bin4"], {"bin3": 1, "bin4": 2}),
        (["bin1", "bin1", "bin4", "bin4"], {"bin1": 1, "bin4": 2}),
    ],
)
def test_the_papers_own_three_of_four_example(sampled: list[str], expected: dict[str, int]) -> None:
    balls = {"bin1": 3, "bin2": 2, "bin3": 1, "bin4": 0}
    workers = bins(balls)
    load = {name: (n + 1.0, 1.0) for name, n in balls.items()}
    for seed in range(20):
        places = pick_places(random.Random(seed), [workers[s] for s in sampled], load, 3)
        got = Counter(w.name for _, _, w in places)
        assert got == expected
        assert all(got[name] <= sampled.count(name) for name in got)


def test_a_fill_takes_the_lowest_heights_whatever_the_draw() -> None:
    rng = random.Random(7)
    for _ in range(300):
        balls = {f"b{i}": rng.randrange(6) for i in range(8)}
        workers = bins(balls)
        drawn = draw(rng, list(workers.values()), 2 * JOBS_PER_ROUND)
        places = pick_places(rng, drawn, {n: (b + 1.0, 1.0) for n, b in balls.items()}, JOBS_PER_ROUND)
        heights = []
        times = Counter(w.name for w in drawn)
        for name, m in times.items():
            heights += [balls[name] + 1 + i for i in range(m)]
        assert [h for h, _, _ in places] == sorted(heights)[:JOBS_PER_ROUND]
        assert all(n <= times[name] for name, n in Counter(w.name for _, _, w in places).items())


def test_ties_break_at_random() -> None:
    workers = bins({"a": 0, "b": 0})
    load = {"a": (1.0, 1.0), "b": (1.0, 1.0)}
    rng = random.Random(1)
    first = Counter(pick_places(rng, list(workers.values()), load, 1)[0][2].name for _ in range(2000))
    assert 900 < first["a"] < 1100


def test_draws_are_uniform_with_replacement() -> None:
    workers = list(bins({f"b{i}": 0 for i in range(10)}).values())
    rng = random.Random(3)
    seen: Counter[str] = Counter()
    repeats = 0
    for _ in range(5000):
        names = [w.name for w in draw(rng, workers, 8)]
        seen.update(names)
        repeats += len(set(names)) < 8
    # 40,000 draws of 10: the chi-square of 9 degrees of freedom stays under its 0.1% point.
    chi = sum((n - 4000) ** 2 / 4000 for n in seen.values())
    assert chi < 27.9
    # Without replacement no draw would hold a repeat; with it, 98.2% of draws of 8 from 10 do.
    assert 0.97 < repeats / 5000 < 0.99


def test_short_rounds_draw_in_proportion_and_one_more_at_least() -> None:
    assert draw_count(JOBS_PER_ROUND) == DRAWS_PER_JOB * JOBS_PER_ROUND
    assert all(draw_count(j) >= j + 1 for j in range(1, JOBS_PER_ROUND + 1))
    assert [draw_count(j) for j in range(1, JOBS_PER_ROUND + 1)] == [
        max(2 * j, j + 1) for j in range(1, JOBS_PER_ROUND + 1)
    ]


def test_a_round_closes_when_it_is_full_or_when_the_tick_ends() -> None:
    from eiderpin.decide import Dispatcher

    d = Dispatcher(make_settings(), 1)
    d.handle(1000.0, [listed(fleet(12))])
    assert not sends(d.handle(1005.0, [Request(1, "read", 4000)]))
    full = [Request(i, "read", 4000) for i in range(2, 1 + JOBS_PER_ROUND)]
    assert len(sends(d.handle(1006.0, full))) == JOBS_PER_ROUND
    assert not sends(d.handle(1010.0, [Request(99, "pay", 4000)]))
    assert len(sends(d.handle(1010.0 + d.round_ms, [Request(100, "pay", 4000)]))) == 2
