"""Waits between attempts to connect: exponential back-off with full jitter. Pure; times in ms.

Source: M. Brooker, "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015): each wait is drawn evenly
from zero to a bound that doubles, which spreads clients that failed together better than a jitter around it.
"""

from __future__ import annotations

import random

BASE = 200.0  # the bound of the first wait
CAP = 2_000.0  # the bound of the longest


class FullJitter:
    """The waits of one client.

    Args:
        rng: Draws the waits; seeded by the caller.
        base: The bound of the first wait.
        cap: The bound of any wait.
    """

    def __init__(self, rng: random.Random, base: float = BASE, cap: float = CAP) -> None:
        """Begin with no failure."""
        self.rng, self.base, self.cap = rng, base, cap
        self.failures = 0

    def next_wait_ms(self) -> float:
        """How long to wait after one more failure."""
        bound = min(self.cap, self.base * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.rng.uniform(0.0, bound)

    def reset(self) -> None:
        """It went well: the next failure is a first one."""
        self.failures = 0
