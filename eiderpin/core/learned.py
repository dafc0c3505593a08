"""What another dispatcher process tells as learned of workers: checked before the decisions see it."""

from __future__ import annotations

from typing import Any, TypeAlias

FIGURES = {"shapes": 5, "workers": 4, "fleet": 3}  # of each kind that the decisions tell as learned

Learned: TypeAlias = dict[str, dict[str, tuple[float, ...]]]


def check(said: Any) -> Learned:
    """Raises `ValueError`, `KeyError`, `TypeError` or `AttributeError` where it makes no sense."""
    found: Learned = {}
    for kind, of in said.items():
        count = FIGURES[kind]
        found[kind] = {str(name): _floats(figures, count) for name, figures in of.items()}
    return found


def _floats(figures: Any, count: int) -> tuple[float, ...]:
    got = tuple(float(x) for x in figures)
    if len(got) != count or not all(0 <= x < 1e12 for x in got):
        raise ValueError("no such figures")
    return got
