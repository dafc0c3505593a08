"""What one seed plays: a pure draw, the same for the same seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

KILL_AFTER_LONGEST = 0.7  # s past the longest deadline, after SIGTERM, at which SIGKILL comes ...
LONGEST_COUNTED = 3.0  # ... and of that deadline so much counts at most
SERVERS = 6


class Behaviour(Enum):
    """What a server does with an attempt."""

    SERVES = "serves"
    HANGS_SILENT = "hangs_silent"  # takes the bytes, and says nothing
    HANGS_ACCEPTED = "hangs_accepted"  # says 202, and nothing more
    HANGS_STARTED = "hangs_started"  # tells of the start, and nothing more
    DECLINES = "declines"  # turns it away unstarted
    FAILS = "fails"
    RESETS = "resets"  # closes the connection once the request has come


@dataclass(slots=True, frozen=True)
class CallFaults:
    """How often system calls of a dispatcher fail, and when: seconds from its start."""

    rate: float = 0.0
    begins: float = 0.0
    ends: float = 0.0
    short: bool = False  # reads and writes take a few bytes at a time
    steps: bool = False  # the wall clock steps by seconds or an hour, either way


@dataclass(slots=True, frozen=True)
class Scenario:
    """One run: all times are seconds from its begin, on the steady clock."""

    seed: int
    deadlines: dict[str, float]  # ms by class
    term_at: float
    restarts: bool  # killed, it is started again and ended once more
    clients: int
    crowd: int  # idle connections to each dispatcher
    weights: dict[Behaviour, float]  # of servers' behaviours in the bad time, which begins before SIGTERM
    bad_from: float
    leave_share: float  # of requests whose client leaves early
    signals: list[tuple[float, str]] = field(default_factory=list)  # further signals, by name
    holds: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP at, and for how long
    faults: CallFaults = CallFaults()

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to SIGKILL."""
        return min(max(self.deadlines.values()) / 1000.0, LONGEST_COUNTED) + KILL_AFTER_LONGEST

    def settings(self) -> dict[str, Any]:
        """The deployment's settings, in the configuration's form."""
        return {
            "classes": [
                {"name": "time-lookup", "aim": 250.0, "hard_limit": self.deadlines["time-lookup"],
                 "late_worth": 0.5, "importance": 5, "repeat": "free"},
                {"name": "result-post", "aim": 500.0, "hard_limit": self.deadlines["result-post"],
                 "late_worth": 0.5, "importance": 8, "repeat": "single_shot"},
            ],
            "family_info": {"tells_start": True, "progress": 1000.0},
            "limits": {"conn_idle": 5000.0, "connect_timeout": 250.0, "may_cancel": True, "retry_after": True,
                       "max_retry_after": 500.0, "try_limit": 5},
            "rules": {"cold_share": 1.0, "drain_grace": 500.0, "fall": 2000.0, "fall_multiple": 100.0,
                      "grace_to_answer": 16.0, "warm_up": 1.0},
            "tick": 4.0, "weights": "silent", "zone": "a",
        }  # fmt: skip


def draw(seed: int) -> Scenario:
    """The scenario of this seed."""
    rng = random.Random(f"soak {seed}")
    deadlines = rng.choice(
        [
            {"time-lookup": 7500.0, "result-post": 25_000.0},
            {"time-lookup": 2000.0, "result-post": 2500.0},
            {"time-lookup": 800.0, "result-post": 600.0},
        ]
    )
    term_at = rng.uniform(1.0, 1.8)
    end = term_at + min(max(deadlines.values()) / 1000.0, LONGEST_COUNTED) + KILL_AFTER_LONGEST
    hangs = rng.choice([Behaviour.HANGS_SILENT, Behaviour.HANGS_ACCEPTED, Behaviour.HANGS_STARTED])
    weights = dict.fromkeys(Behaviour, 0.05)
    weights[Behaviour.SERVES] = 0.4
    weights[hangs] = rng.choice([0.1, 0.5, 1.5])
    names = ("SIGHUP", "SIGUSR1", "SIGTERM", "SIGINT")
    after = [(rng.uniform(term_at + 0.01, end - 0.1), rng.choice(names)) for _ in range(rng.randrange(6))]
    before = [(rng.uniform(0.2, term_at), rng.choice(names[:2])) for _ in range(rng.randrange(3))]
    holds = [(rng.uniform(0.3, end - 0.5), rng.uniform(0.03, 0.12)) for _ in range(rng.choice([0, 0, 2, 4]))]
    faults = CallFaults(
        rate=rng.choice([0.0, 0.02, 0.1, 0.3]),
        begins=rng.uniform(0.2, 1.0),
        ends=rng.uniform(1.5, end),
        short=rng.random() < 0.3,
        steps=rng.random() < 0.5,
    )
    return Scenario(
        seed=seed,
        deadlines=deadlines,
        term_at=term_at,
        restarts=rng.random() < 0.5,
        clients=rng.choice([6, 12, 24]),
        crowd=rng.choice([0, 0, 0, 250]),
        weights=weights,
        bad_from=max(0.3, term_at - rng.uniform(0.0, 0.6)),
        leave_share=rng.choice([0.0, 0.05, 0.2]),
        signals=sorted(before + after),
        holds=sorted(holds),
        faults=faults,
    )
