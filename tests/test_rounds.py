"""The draw of workers and the placement of jobs, against the rule of the paper."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from eiderpin.decide import DRAWS_PER_JOB, JOBS_PER_ROUND, Worker, draw, draw_count, pick_places
from eiderpin.decide import Shape as WorkerShape
from eiderpin.interface import Request
from tests.conftest import entry, fleet, listed, make_settings, sends


def make_workers(loads: dict[str, int]) -> dict[str, Worker]:
    """Workers of these names."""
    return {name: Worker(entry(name), WorkerShape()) for name in loads}


@pytest.mark.parametrize(
    ("sampled", "expected"),
    [
        (["bin1", "bin2", "bin3", "bin4"], {"bin2": 1, "bin3": 1, "bin4": 1}),
        (["bin2", "bin3", "bin4", "bin4"], {"bin3": 1, "bin4": 2}),
        (["bin1", "bin1", "bin4", "bin4"], {"bin1": 1, "bin4": 2}),
    ],
)
def test_the_papers_example_of_three_jobs_and_four_draws(
    sampled: list[str], expected: dict[str, int]
) -> None:
    """Guards the cap of the paper: a worker gets at most as many jobs as it was drawn times."""
    jobs_held = {"bin1": 3, "bin2": 2, "bin3": 1, "bin4": 0}
    workers = make_workers(jobs_held)
    load = {name: (held + 1.0, 1.0) for name, held in jobs_held.items()}
    for seed in range(20):
        places = pick_places(random.Random(seed), [workers[s] for s in sampled], load, 3)
        counts = Counter(w.name for _, _, w in places)
        assert counts == expected
        assert all(counts[name] <= sampled.count(name) for name in counts)


def test_the_least_loaded_places_are_picked_from_any_draw() -> None:
    """Compares the places with a sort of all that the draw offers."""
    rng = random.Random(7)
    for _ in range(300):
        jobs_held = {f"b{i}": rng.randrange(6) for i in range(8)}
        workers = make_workers(jobs_held)
        drawn = draw(rng, list(workers.values()), 2 * JOBS_PER_ROUND)
        places = pick_places(
            rng, drawn, {name: (held + 1.0, 1.0) for name, held in jobs_held.items()}, JOBS_PER_ROUND
        )
        loads = []
        times = Counter(w.name for w in drawn)
        for name, count in times.items():
            loads += [jobs_held[name] + 1 + i for i in range(count)]
        assert [load for load, _, _ in places] == sorted(loads)[:JOBS_PER_ROUND]
        assert all(n <= times[name] for name, n in Counter(w.name for _, _, w in places).items())


def test_ties_are_broken_at_random() -> None:
    """A fixed order would send the jobs of all dispatchers to the same of two equal workers."""
    workers = make_workers({"a": 0, "b": 0})
    load = {"a": (1.0, 1.0), "b": (1.0, 1.0)}
    rng = random.Random(1)
    first = Counter(pick_places(rng, list(workers.values()), load, 1)[0][2].name for _ in range(2000))
    assert 900 < first["a"] < 1100


def test_draws_are_uniform_with_replacement() -> None:
    """Both the frequency of each worker and that of repeats within a draw are checked."""
    workers = list(make_workers({f"b{i}": 0 for i in range(10)}).values())
    rng = random.Random(3)
    seen: Counter[str] = Counter()
    repeats = 0
    for _ in range(5000):
        names = [w.name for w in draw(rng, workers, 8)]
        seen.update(names)
        repeats += len(set(names)) < 8
    # 40,000 draws from 10 workers: the statistic stays below the 0.1% point of chi-square with 9 degrees.
    chi_square = sum((n - 4000) ** 2 / 4000 for n in seen.values())
    assert chi_square < 27.9
    # Without replacement no draw would have a repeat; with it, 98.2% of draws of 8 from 10 have one.
    assert 0.97 < repeats / 5000 < 0.99


def test_short_rounds_draw_in_proportion_but_more_than_their_jobs() -> None:
    """A round of one job still compares two workers."""
    assert draw_count(JOBS_PER_ROUND) == DRAWS_PER_JOB * JOBS_PER_ROUND
    assert all(draw_count(j) >= j + 1 for j in range(1, JOBS_PER_ROUND + 1))
    assert [draw_count(j) for j in range(1, JOBS_PER_ROUND + 1)] == [
        max(2 * j, j + 1) for j in range(1, JOBS_PER_ROUND + 1)
    ]


def test_a_round_closes_when_full_or_when_its_time_is_up() -> None:
    """Sends before that would place jobs one by one instead of in rounds."""
    from eiderpin.decide import Dispatcher

    dispatcher = Dispatcher(make_settings(), 1)
    dispatcher.handle(1000.0, [listed(fleet(12))])
    assert not sends(dispatcher.handle(1005.0, [Request(1, "read", 4000)]))
    full = [Request(i, "read", 4000) for i in range(2, 1 + JOBS_PER_ROUND)]
    assert len(sends(dispatcher.handle(1006.0, full))) == JOBS_PER_ROUND
    assert not sends(dispatcher.handle(1010.0, [Request(99, "pay", 4000)]))
    assert len(sends(dispatcher.handle(1010.0 + dispatcher.round_ms, [Request(100, "pay", 4000)]))) == 2
