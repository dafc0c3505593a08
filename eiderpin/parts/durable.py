"""The options of durable jobs, which are kept in a ledger on disk and survive a restart."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class DurableOptions:
    """Where durable jobs are kept and for how long."""

    folder: str
    classes: frozenset[str]
    keep_ms: float = 3_600_000.0  # answers are kept so long for clients that submit a job again
    max_answers: int = 100_000  # that are kept
    max_results_mb: float = 64.0  # that are kept, in MiB
    silence_ms: float = 10_000.0  # a lease expires when its worker has sent nothing for so long


# By key: the field of `DurableOptions`, the factor to its unit, and the smallest and largest value.
NUMBERS = {
    "keep_s": ("keep_ms", 1000.0, 1.0, 30 * 86400.0),
    "keep_most": ("max_answers", 1.0, 1.0, 10_000_000.0),
    "keep_mb": ("max_results_mb", 1.0, 1.0, 65536.0),
    "silence_ms": ("silence_ms", 1.0, 1500.0, 600_000.0),
}


def read_options(section: Any, classes: Collection[str]) -> DurableOptions | None:
    """Read the section `durable`; None where it names no directory. Raises `ValueError`."""
    if not isinstance(section, dict):
        raise ValueError("durable: an object is needed")
    keys = {"directory", "classes", *NUMBERS}
    for name in section:
        if name not in keys:
            key_list = ", ".join(sorted(keys))
            raise ValueError(f"durable.{name}: there is no such setting; there are {key_list}")
    folder, class_names = section.get("directory") or "", section.get("classes") or []
    if not isinstance(folder, str):
        raise ValueError(f"durable.directory: {folder!r} is no path")
    if not folder:
        return None
    if not isinstance(class_names, list) or not class_names:
        raise ValueError("durable.classes: a list of classes is needed")
    for name in class_names:
        if name not in classes:
            raise ValueError(f"durable.classes: there is no class {name!r}; there are {', '.join(classes)}")
    options = DurableOptions(folder, frozenset(class_names))
    for name, (field, factor, minimum, maximum) in NUMBERS.items():
        value = section.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise ValueError(
                f"durable.{name}: {value!r}; a number from {minimum:g} to {maximum:g} is expected"
            )
        setattr(options, field, int(value) if field == "max_answers" else value * factor)
    return options
