"""What must hold: asserted in debug builds, counted under `python -O`."""

from __future__ import annotations

from collections import Counter

broken: Counter[str] = Counter()


def must(condition: bool, what: str) -> bool:
    """Note that `what` should hold; returns whether it does."""
    if not condition:
        broken[what] += 1
        assert condition, what
    return condition
