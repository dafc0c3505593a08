"""The soak: its judge finds each kind of broken rule, a seed is the same scenario each time, and a few
seeds pass."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable

import pytest

from benchmarks.rig import ROOT
from benchmarks.soak.books import AttemptRecord, Books, Process, RequestRecord, judge
from benchmarks.soak.scenario import draw

SEEDS = "3,4,6,15"  # all deadlines, a crowd, calls that fail, stops, steps of the clock, further signals


def books(cls: str = "result-post", **changes: float | int | bool | None) -> Books:
    """One request that was sent at 10.0 with 2 s of patience, and one attempt at it that began at 10.1."""
    request = RequestRecord("d0.c1.1", cls, "d0", 10.0, 2.0, status=200, answered_at=10.5)
    for name, value in changes.items():
        setattr(request, name, value)
    attempt = AttemptRecord("d0.c1.1", "s1", "d0", 10.1, 1.8, True)
    return Books({"d0.c1.1": request}, [attempt])


def unanswered(made: Books, ended_at: float | None, reset: bool = False) -> None:
    request = made.requests["d0.c1.1"]
    request.status, request.ended_at, request.reset = 0, ended_at, reset


def second_run(made: Books) -> None:
    made.attempts.append(AttemptRecord("d0.c1.1", "s2", "d0", 10.2, 1.7, True))


CASES: list[tuple[str, Callable[[Books], None], str]] = [
    ("nothing", lambda made: None, ""),
    ("no answer, and the connection has ended", lambda made: unanswered(made, 11.0), "lost"),
    ("a reset of what was sent on", lambda made: unanswered(made, 10.2, reset=True), "lost"),
    ("no answer, and no end", lambda made: unanswered(made, None), "lost"),
    ("an end that crossed it, and nothing was sent on",
     lambda made: (made.attempts.clear(), unanswered(made, 10.01))[0], ""),
    ("read and closed, and nothing was sent on",
     lambda made: (made.attempts.clear(), unanswered(made, 10.3))[0], "lost"),
    ("an answer too late", lambda made: setattr(made.requests["d0.c1.1"], "answered_at", 12.6), "lost"),
    ("run twice", second_run, "duplicate"),
    ("run, and refused", lambda made: setattr(made.requests["d0.c1.1"], "status", 503), "duplicate"),
    ("begun after its client left", lambda made: setattr(made.requests["d0.c1.1"], "left_at", 9.9), "lost"),
    ("told too much", lambda made: setattr(made.attempts[0], "told", 2.2), "deadline"),
    ("sent to one that is gone", lambda made: made.withdrawn.update({("d0", "s1"): 9.5}), "drain"),
    ("a crash", lambda made: made.processes.append(Process("d0", 1.0, exit_code=1)), "crash"),
    ("a fault in its log",
     lambda made: made.processes.append(Process("d0", 1.0, exit_code=0, log=["a fault in it"])), "crash"),
]  # fmt: skip


@pytest.mark.parametrize(("name", "change", "rule"), CASES, ids=[c[0] for c in CASES])
def test_the_judge_finds(name: str, change: Callable[[Books], None], rule: str) -> None:
    made = books()
    change(made)
    broken = judge(made)
    assert [line.partition(":")[0] for line in broken] == ([rule] if rule else []), name


def test_a_seed_is_the_same_scenario_each_time() -> None:
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


def test_some_seeds_break_no_rule() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.soak", "--seeds", SEEDS, "--at-once", "2"],
        cwd=ROOT, capture_output=True, text=True, timeout=150,
    )  # fmt: skip
    assert done.returncode == 0, done.stderr[-4000:]
    total = json.loads(done.stdout.splitlines()[-1])
    assert total["broken_seeds"] == []
    assert total["attempts"] > 100
