"""What a dispatcher has learned of workers, as a hint to one that begins: documents `learned/NAME`. Pure.

The decisions take a hint only before their own first run; what is older than `OLDEST` is not given to them.
"""

from __future__ import annotations

from typing import Any

import orjson

from eiderpin.core.learned import Learned, parse

PREFIX = "learned/"
OLDEST = 600_000.0  # ms of wall-clock time
AHEAD = 60_000.0  # ms that its writer's clock may be ahead of ours
MOST = 200 << 10  # bytes; a larger one is not written


def pack(learned: Learned, at: float) -> bytes | None:
    """None: there is nothing to say, or too much."""
    data = orjson.dumps({"at": at, "learned": learned}) if learned else b""
    return data if 0 < len(data) <= MOST else None


def read(value: bytes, now: float) -> Learned | None:
    """None: it is too old, or its time makes no sense. Raises `ValueError`."""
    try:
        said: Any = orjson.loads(value)
        at, learned = float(said["at"]), parse(said["learned"])
    except (orjson.JSONDecodeError, TypeError, KeyError, AttributeError, ValueError) as error:
        raise ValueError(f"no hint: {error!r}") from None
    return learned if now - OLDEST <= at <= now + AHEAD else None
