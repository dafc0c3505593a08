"""The scenario of a seed: drawn at random, and always the same for the same seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from benchmarks.hostile.attacks import ATTACKS

# SIGKILL follows SIGTERM after the longest deadline of a class, of which at most MAX_COUNTED_DEADLINE_SECONDS
# count, and this margin.
KILL_MARGIN_SECONDS = 0.7
MAX_COUNTED_DEADLINE_SECONDS = 3.0
WORKER_COUNT = 6
PEACEFUL_SHARE = 0.2  # of the seeds, those without hostile clients
MANY_HOSTILE_CONNECTIONS = 150  # more than a dispatcher of this test may serve at once
HTTP_ATTACKS = sorted(name for name, attack in ATTACKS.items() if attack.front == "edge")


class Behaviour(Enum):
    """What a worker does with an attempt."""

    SERVES = "serves"
    HANGS_SILENT = "hangs_silent"  # reads the request and never answers
    HANGS_ACCEPTED = "hangs_accepted"  # answers 202 and sends nothing after that
    HANGS_STARTED = "hangs_started"  # reports the start and sends nothing after that
    DECLINES = "declines"  # rejects the attempt without starting it
    FAILS = "fails"  # answers 500
    RESETS = "resets"  # closes the connection once the request has been received


@dataclass(slots=True, frozen=True)
class CallFaults:
    """How often system calls of a dispatcher fail, and when (in seconds from the start of its process)."""

    rate: float = 0.0  # share of the calls that fail, from `begins` to `ends`
    begins: float = 0.0
    ends: float = 0.0
    short: bool = False  # reads and writes transfer only a few bytes at a time
    steps: bool = False  # the wall clock steps forwards and backwards by seconds or by an hour


@dataclass(slots=True, frozen=True)
class HostileClients:
    """Clients that attack each dispatcher from the start of the run until its last process is stopped."""

    attack: str  # a name in `benchmarks.hostile.attacks.ATTACKS`
    connections: int


@dataclass(slots=True, frozen=True)
class Scenario:
    """One run. Times are seconds since its start, on the monotonic clock, unless named otherwise."""

    seed: int
    deadlines_ms: dict[str, float]  # by class
    sigterm_at: float
    restarts: bool  # each dispatcher is started again after its end, and stopped once more
    clients: int  # of each dispatcher
    idle_connections: int  # to each dispatcher
    # How likely workers are to treat an attempt so, from `misbehaves_from` on.
    behaviour_weights: dict[Behaviour, float]
    misbehaves_from: float  # before SIGTERM; until then workers serve every attempt
    leave_share: float  # of the requests, those whose client closes without waiting for the answer
    signals: list[tuple[float, str]] = field(default_factory=list)  # further signals: when, and the name
    pauses: list[tuple[float, float]] = field(default_factory=list)  # by SIGSTOP: when, and for how long
    faults: CallFaults = CallFaults()
    hostile: HostileClients | None = None
    memory_mb: int = 64  # limit of each dispatcher

    @property
    def kill_after(self) -> float:
        """Return the seconds from SIGTERM to SIGKILL."""
        return (
            min(max(self.deadlines_ms.values()) / 1000.0, MAX_COUNTED_DEADLINE_SECONDS) + KILL_MARGIN_SECONDS
        )

    def settings(self) -> dict[str, Any]:
        """Return the settings of the deployment as in the configuration file."""
        return {
            "classes": [
                {"name": "time-lookup", "aim": 250.0, "hard_limit": self.deadlines_ms["time-lookup"],
                 "late_worth": 0.5, "importance": 5, "repeat": "free"},
                {"name": "result-post", "aim": 500.0, "hard_limit": self.deadlines_ms["result-post"],
                 "late_worth": 0.5, "importance": 8, "repeat": "single_shot"},
            ],
            "family_info": {"tells_start": True, "progress": 1000.0},
            "limits": {"conn_idle": 5000.0, "connect_timeout": 250.0, "may_cancel": True, "retry_after": True,
                       "max_retry_after": 500.0, "try_limit": 5},
            "rules": {"cold_share": 1.0, "drain_grace": 500.0, "fall": 2000.0, "fall_multiple": 100.0,
                      "grace_to_answer": 16.0, "warm_up": 1.0},
            "tick": 4.0, "weights": "silent", "zone": "a",
        }  # fmt: skip


def draw_scenario(seed: int) -> Scenario:
    """Draw the scenario of this seed."""
    rng = random.Random(f"soak {seed}")
    deadlines_ms = rng.choice(
        [
            {"time-lookup": 7500.0, "result-post": 25_000.0},
            {"time-lookup": 2000.0, "result-post": 2500.0},
            {"time-lookup": 800.0, "result-post": 600.0},
        ]
    )
    sigterm_at = rng.uniform(1.0, 1.8)
    end = (
        sigterm_at
        + min(max(deadlines_ms.values()) / 1000.0, MAX_COUNTED_DEADLINE_SECONDS)
        + KILL_MARGIN_SECONDS
    )
    hangs = rng.choice([Behaviour.HANGS_SILENT, Behaviour.HANGS_ACCEPTED, Behaviour.HANGS_STARTED])
    behaviour_weights = dict.fromkeys(Behaviour, 0.05)
    behaviour_weights[Behaviour.SERVES] = 0.4
    behaviour_weights[hangs] = rng.choice([0.1, 0.5, 1.5])
    names = ("SIGHUP", "SIGUSR1", "SIGTERM", "SIGINT")
    after = [(rng.uniform(sigterm_at + 0.01, end - 0.1), rng.choice(names)) for _ in range(rng.randrange(6))]
    before = [(rng.uniform(0.2, sigterm_at), rng.choice(names[:2])) for _ in range(rng.randrange(3))]
    pauses = [(rng.uniform(0.3, end - 0.5), rng.uniform(0.03, 0.12)) for _ in range(rng.choice([0, 0, 2, 4]))]
    faults = CallFaults(
        rate=rng.choice([0.0, 0.02, 0.1, 0.3]),
        begins=rng.uniform(0.2, 1.0),
        ends=rng.uniform(1.5, end),
        short=rng.random() < 0.3,
        steps=rng.random() < 0.5,
    )
    return Scenario(
        seed=seed,
        deadlines_ms=deadlines_ms,
        sigterm_at=sigterm_at,
        restarts=rng.random() < 0.5,
        clients=rng.choice([6, 12, 24]),
        idle_connections=rng.choice([0, 0, 0, 250]),
        behaviour_weights=behaviour_weights,
        misbehaves_from=max(0.3, sigterm_at - rng.uniform(0.0, 0.6)),
        leave_share=rng.choice([0.0, 0.05, 0.2]),
        signals=sorted(before + after),
        pauses=sorted(pauses),
        faults=faults,
        hostile=_draw_hostile_clients(seed),
        memory_mb=random.Random(f"soak memory {seed}").choice([32, 64, 192]),
    )


def _draw_hostile_clients(seed: int) -> HostileClients | None:
    """Draw the attack of this seed; the rest of its scenario does not depend on it."""
    rng = random.Random(f"soak hostile {seed}")
    if rng.random() < PEACEFUL_SHARE:
        return None
    return HostileClients(rng.choice(HTTP_ATTACKS), rng.choice([1, 20, MANY_HOSTILE_CONNECTIONS]))
