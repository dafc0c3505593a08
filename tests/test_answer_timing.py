"""The limits of calls to discovery: what they follow, what bounds them, and when they shrink again."""

from __future__ import annotations

import math
import random

import pytest

from eiderpin import interface as api
from eiderpin.policy.answer_timing import (
    HOLD_MS,
    LONG_HOLD_CALL_MS,
    MAX_HOLD_MS,
    MAX_LIMIT_MS,
    MIN_LIMIT_MS,
    AnswerTiming,
)
from eiderpin.policy.list_watch import ListWatch

WATCH_MS = 2000.0
KNOWN_WITHIN_MS = 6000.0  # for a change of the list; required by the operators of the platform
SLOW_ANSWER_MS = 2000.0  # the slowest for which that must hold


def answered(*took_ms: float | None) -> AnswerTiming:
    """Limits after these answers."""
    timing = AnswerTiming()
    for took in took_ms:
        timing.record_answer(took)
    return timing


@pytest.mark.parametrize(
    ("took_ms", "limit_ms"),
    [((), 700.0), ((5.0,), 700.0), ((1000.0,), 1500.0), ((600.0,), 900.0), ((9000.0,), 1500.0),
     ((1000.0, None, None), 1500.0), ((1000.0, 0.0), 1125.0), ((1000.0, *[0.0] * 3), 700.0),
     ((0.0, 1000.0, 600.0), 1125.0)],
)  # fmt: skip
def test_the_limit_follows_the_slowest_recent_answer_within_its_bounds(
    took_ms: tuple[float | None, ...], limit_ms: float
) -> None:
    """An answer whose time is not known, as it came before the wait was over, changes nothing."""
    assert answered(*took_ms).limit_ms == limit_ms


def test_a_silent_watch_and_a_slow_answer_after_it_fit_into_the_time_for_a_change() -> None:
    """Guards against a limit that grows until a watch that is silent for good goes unnoticed."""
    for took in (0.0, 700.0, 1000.0, SLOW_ANSWER_MS, 60_000.0):
        limit_ms = answered(took).call_limit_ms(WATCH_MS)
        assert limit_ms >= WATCH_MS + MIN_LIMIT_MS
        assert limit_ms + SLOW_ANSWER_MS < KNOWN_WITHIN_MS


def test_holds_grow_without_answers_up_to_their_bound_and_shrink_with_the_next_answer() -> None:
    """Guards against limits that only answers raise, so that one which takes longer is never received."""
    timing = AnswerTiming()
    holds = []
    for _ in range(300):
        holds.append(timing.hold_ms)
        timing.record_unanswered()
    assert holds[0] == 2 * MIN_LIMIT_MS
    assert max(holds) == MAX_HOLD_MS
    assert all(2 * max(holds[:n]) >= max(holds[: n + 1]) for n in range(2, 300))
    assert sum(hold > HOLD_MS for hold in holds[1:]) == 6  # rare: other calls get less time meanwhile
    timing.record_answer(0.0)
    assert timing.hold_ms == holds[0]


def test_other_calls_get_time_for_a_slow_answer_during_a_long_hold() -> None:
    """Guards against a dead call that is held while each other one is closed before its answer comes."""
    timing = AnswerTiming()
    for _ in range(300):
        timing.record_unanswered()
        if timing.hold_ms > HOLD_MS:
            assert SLOW_ANSWER_MS < timing.call_limit_ms(0.0) == LONG_HOLD_CALL_MS
        else:
            assert timing.call_limit_ms(0.0) == MIN_LIMIT_MS
            assert timing.hold_ms >= SLOW_ANSWER_MS + MIN_LIMIT_MS


@pytest.mark.parametrize("limit_ms", [MIN_LIMIT_MS, MAX_LIMIT_MS])
def test_the_call_beside_a_late_one_begins_so_soon_that_a_slow_answer_is_in_time(limit_ms: float) -> None:
    """Lists are asked for, and the back-off has grown: an answer of 2 s still comes within 6 s."""
    settings = api.Settings([api.RequestClass("look", aim=1000, deadline=2000, repeat=api.Repeat.FREE)])
    settings.must_ask, settings.ask_within = True, 10_000.0
    for seed in range(200):
        watch, late_after = ListWatch(settings, random.Random(seed)), WATCH_MS + limit_ms
        for number in range(5):
            watch.record_failure(1000.0 * number, late_after)
            next_call_ms = watch.next_at() - 1000.0 * number
            assert 0 < next_call_ms < math.inf
            assert late_after + next_call_ms + SLOW_ANSWER_MS < KNOWN_WITHIN_MS
