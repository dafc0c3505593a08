"""Warm-start hints: what a dispatcher has learned about workers, for one that starts. No I/O.

Each dispatcher stores its hint as document `learned/NAME`. The decisions accept a hint only before their own
first run. Hints that are older than `MAX_AGE_MS` are not used.
"""

from __future__ import annotations

from typing import Any

import orjson

from eiderpin.core.learned import Learned, parse

PREFIX = "learned/"
MAX_AGE_MS = 600_000.0  # by the wall clock
MAX_CLOCK_AHEAD_MS = 60_000.0  # how far the writer's wall clock may be ahead of the reader's
MAX_HINT_BYTES = 200 << 10  # a larger hint is not written


def pack(learned: Learned, written_at: float) -> bytes | None:
    """Serialize a hint learned at wall-clock time `written_at`, in ms. None if it is empty or too large."""
    data = orjson.dumps({"at": written_at, "learned": learned}) if learned else b""
    return data if 0 < len(data) <= MAX_HINT_BYTES else None


def read(value: bytes, now: float) -> Learned | None:
    """Deserialize a hint at wall-clock time `now`, in ms. None if it is too old, or too far in the future.

    Raises:
        ValueError: It is not a hint.
    """
    try:
        decoded: Any = orjson.loads(value)
        written_at, learned = float(decoded["at"]), parse(decoded["learned"])
    except (orjson.JSONDecodeError, TypeError, KeyError, AttributeError, ValueError) as error:
        raise ValueError(f"not a hint: {error!r}") from None
    return learned if now - MAX_AGE_MS <= written_at <= now + MAX_CLOCK_AHEAD_MS else None
