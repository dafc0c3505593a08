"""Parser of workers' load reports: a JSON object, or `name=value,name=value` in a header or body."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import orjson

from eiderpin import interface as api

MAX_VALUE = 1e9  # larger values are invalid


def parse_fields(fields: Any, names: Mapping[str, str]) -> api.Report | None:
    """Return the report in these fields; `names` maps their names to the fields of `api.Report`.

    Returns None if no known field has a valid value. Unknown and invalid fields are ignored: reports are
    noisy and come from many versions of a worker, and the other fields of one are still useful.
    """
    if not isinstance(fields, Mapping):
        return None
    report, known = api.Report(), False
    for key, value in fields.items():
        name = names.get(key) if isinstance(key, str) else None
        if name is None or isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if math.isfinite(value) and abs(value) <= MAX_VALUE:
            setattr(report, name, max(0.0, float(value)))
            known = True
    return report if known else None


def parse_text(text: str, names: Mapping[str, str]) -> api.Report | None:
    """Parse the form of the header: `inflight=7,queue=2,util=0.61`."""
    fields: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            fields[name.strip()] = float(value)
        except ValueError:
            continue
    return parse_fields(fields, names)


def parse_body(body: bytes, names: Mapping[str, str]) -> api.Report | None:
    """Parse the body of an answer to `GET /_load`: JSON, with the fields maybe in `load`, or text."""
    try:
        document = orjson.loads(body)
    except ValueError:
        return parse_text(body.decode("latin-1"), names)
    if isinstance(document, Mapping) and isinstance(document.get("load"), Mapping):
        document = document["load"]
    return parse_fields(document, names)
