"""Counters of what the program receives, sends and answers."""

from __future__ import annotations

from collections import Counter

from eiderpin.core import invariants


class Counters:
    """Counters by name.

    Names start with `in.` for what is received, `out.` for what is sent and `answer.` for answers.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Add to the counter of this name."""
        self.counts[name] += by

    def lines(self) -> list[str]:
        """Return a line `NAME COUNT` for each counter, then one for each invariant that was violated."""
        lines = [f"{name} {count}" for name, count in sorted(self.counts.items())]
        return lines + [f"invariant.broken {n} {what}" for what, n in sorted(invariants.broken.items())]
