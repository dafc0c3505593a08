"""Waits between attempts to connect: exponential back-off with full jitter. Pure; times in ms.

Source: M. Brooker, "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015): each wait is drawn evenly
from zero to a bound that doubles. This spreads clients that failed together better than a jitter around the
bound would.
"""

from __future__ import annotations

import random

FIRST_BOUND_MS = 200.0  # upper bound of the first wait
MAX_BOUND_MS = 2_000.0  # upper bound of any wait


class FullJitter:
    """The waits of one client.

    Args:
        rng: Draws the waits; seeded by the caller.
        base: Upper bound of the first wait, in ms.
        cap: Upper bound of any wait, in ms.
    """

    def __init__(self, rng: random.Random, base: float = FIRST_BOUND_MS, cap: float = MAX_BOUND_MS) -> None:
        """Start without any failure."""
        self.rng, self.base, self.cap = rng, base, cap
        self.failures = 0

    def next_wait_ms(self) -> float:
        """Count a failure, and return how long to wait after it, in ms."""
        bound = min(self.cap, self.base * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.rng.uniform(0.0, bound)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0
