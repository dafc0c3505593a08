"""Load reports as workers write them: an object of JSON, or `name=value,name=value` in a header."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import orjson

from eiderpin import interface as api

MOST = 1e9  # a figure beyond it is no load


def of_fields(fields: Any, names: Mapping[str, str]) -> api.Report | None:
    """The fields that we know, by the names that the settings give them; None where there is none.

    A field that is missing or is no number of a load is left out, as an unknown one is: reports are noisy
    and come from many versions of a worker, and the rest of one is still good.
    """
    if not isinstance(fields, Mapping):
        return None
    report, known = api.Report(), False
    for key, value in fields.items():
        name = names.get(key) if isinstance(key, str) else None
        if name is None or isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if math.isfinite(value) and abs(value) <= MOST:
            setattr(report, name, max(0.0, float(value)))
            known = True
    return report if known else None


def of_text(text: str, names: Mapping[str, str]) -> api.Report | None:
    """A header's: `inflight=7,queue=2,util=0.61`."""
    fields: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            fields[name.strip()] = float(value)
        except ValueError:
            continue
    return of_fields(fields, names)


def of_body(body: bytes, names: Mapping[str, str]) -> api.Report | None:
    """That of an answer to `GET /_load`."""
    try:
        said = orjson.loads(body)
    except ValueError:
        return of_text(body.decode("latin-1"), names)
    if isinstance(said, Mapping) and isinstance(said.get("load"), Mapping):
        said = said["load"]
    return of_fields(said, names)
