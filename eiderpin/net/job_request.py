"""The job that a client's HTTP request asks for, from its target and headers."""

from __future__ import annotations

import re

from eiderpin.core.requests import Request
from eiderpin.net import http

MAX_DEADLINE_MS = 600_000.0
MAX_EXTRAS = 64  # numbers in one header
# An id is passed on to workers in a header and in the target of a cancel.
REQ_ID = re.compile(r"[A-Za-z0-9._~:@+=-]{1,128}")
WHOLE_NUMBER = re.compile(r"[0-9]{1,12}")
DECIMAL_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def _parse_number(headers: dict[str, str], name: str, pattern: re.Pattern[str]) -> float | None:
    """The number in a header, or None if the header is missing. Raises `ValueError` unless it matches."""
    text = headers.get(name)
    if text is None:
        return None
    if not pattern.fullmatch(text):
        raise ValueError(f"{name} is no number")
    return float(text)


def parse_extras(text: str) -> dict[str, float]:
    """The numbers in `name=value,name=value`. Values that are not numbers, or not in range, are skipped,
    and so are those beyond `MAX_EXTRAS`."""
    numbers: dict[str, float] = {}
    for item in text.split(",", MAX_EXTRAS)[:MAX_EXTRAS]:
        name, _, value = item.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < 1e9:
            numbers[name.strip()] = number
    return numbers


def parse_idempotency_key(text: str) -> str:
    """The value of an Idempotency-Key (draft-ietf-httpapi-idempotency-key-header, section 2.1): a string of
    RFC 8941, in double quotes; one without quotes is accepted, too. Raises `ValueError`."""
    name = text[1:-1] if len(text) > 1 and text[0] == text[-1] == '"' else text
    if not REQ_ID.fullmatch(name):
        raise ValueError("an Idempotency-Key has up to 128 letters, digits and ._~:@+=-")
    return name


def make_request(
    cls: str, message: http.Message, received_at: float, default_deadline: float, durable: bool = False
) -> Request:
    """The job that a client's HTTP request asks for. `received_at` and `default_deadline` are in ms. A job of
    a durable class may have an Idempotency-Key, by which its client can ask for it again. Raises
    `ValueError`, with a text for the client, if a header is missing or invalid."""
    headers = message.headers
    unique, key = headers.get("req-id", ""), headers.get("idempotency-key") if durable else None
    if key is not None:
        unique = parse_idempotency_key(key)
    elif not REQ_ID.fullmatch(unique):
        raise ValueError("a Req-Id is needed, of up to 128 letters, digits and ._~:@+=-")
    wait = _parse_number(headers, "req-deadline-ms", WHOLE_NUMBER)
    cost = _parse_number(headers, "req-cost", DECIMAL_NUMBER)
    extras = parse_extras(headers.get("req-extra", ""))
    return Request(
        cls,
        unique,
        message.target,
        message.body,
        received_at + min(default_deadline if wait is None else wait, MAX_DEADLINE_MS),
        slots=extras.get("slots") or 1.0,
        memory=extras.get("memory") or 0.0,
        tenant=headers.get("req-owner") or None,
        key=headers.get("req-key"),
        hint=cost / 1000.0 if cost else None,
        client_retry=headers.get("req-retry") == "1",
        single_use_id=key is None,
        idempotency_key=headers.get("idempotency-key"),
    )
