"""Counts of what the program takes in, sends and answers."""

from __future__ import annotations

from collections import Counter

from eiderpin.core import invariants


class Counters:
    """Named counts; `in.`, `out.` and `answer.` start the names of the three kinds."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def lines(self) -> list[str]:
        lines = [f"{name} {count}" for name, count in sorted(self.counts.items())]
        return lines + [f"invariant.broken {n} {what}" for what, n in sorted(invariants.broken.items())]
