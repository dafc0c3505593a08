"""What the configuration says of durable jobs."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class DurableOptions:
    """Where they are kept and for how long; times in ms."""

    folder: str
    classes: frozenset[str]
    keep_ms: float = 3_600_000.0  # for which answers are kept for resubmissions
    max_answers: int = 100_000  # answers kept
    max_results_mb: float = 64.0  # of results kept
    silence_ms: float = 10_000.0  # without a word from its worker after which a lease is over


# name in the file: field, factor, least, most
FIGURES = {
    "keep_s": ("keep_ms", 1000.0, 1.0, 30 * 86400.0),
    "keep_most": ("max_answers", 1.0, 1.0, 10_000_000.0),
    "keep_mb": ("max_results_mb", 1.0, 1.0, 65536.0),
    "silence_ms": ("silence_ms", 1.0, 1500.0, 600_000.0),
}


def read_options(said: Any, classes: Collection[str]) -> DurableOptions | None:
    """The `durable` part of a configuration; None where it names no directory. Raises `ValueError`."""
    if not isinstance(said, dict):
        raise ValueError("durable: an object is needed")
    known = {"directory", "classes", *FIGURES}
    for name in said:
        if name not in known:
            there = ", ".join(sorted(known))
            raise ValueError(f"durable.{name}: there is no such setting; there are {there}")
    folder, named = said.get("directory") or "", said.get("classes") or []
    if not isinstance(folder, str):
        raise ValueError(f"durable.directory: {folder!r} is no path")
    if not folder:
        return None
    if not isinstance(named, list) or not named:
        raise ValueError("durable.classes: a list of classes is needed")
    for name in named:
        if name not in classes:
            raise ValueError(f"durable.classes: there is no class {name!r}; there are {', '.join(classes)}")
    options = DurableOptions(folder, frozenset(named))
    for name, (field, factor, least, most) in FIGURES.items():
        value = said.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ValueError(f"durable.{name}: {value!r}; a number from {least:g} to {most:g} is expected")
        setattr(options, field, int(value) if field == "max_answers" else value * factor)
    return options
