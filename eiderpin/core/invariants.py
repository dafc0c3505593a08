"""Invariants: asserted in normal runs, and only counted under `python -O`."""

from __future__ import annotations

from collections import Counter

broken: Counter[str] = Counter()  # violations, by the name of the invariant


def must(condition: bool, invariant: str) -> bool:
    """Check the invariant named `invariant`, count a violation, and return whether it holds.

    Raises `AssertionError` if it does not, except under `python -O`.
    """
    if not condition:
        broken[invariant] += 1
        assert condition, invariant
    return condition
