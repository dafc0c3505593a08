"""Log events that tell operators, now and then, that a memory limit has cost somebody something."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from eiderpin import logs

EVENT_INTERVAL_MS = 5000.0  # between two events of one kind


class LimitEvent:
    """One kind of event, logged at level WARNING when its count has grown, at most each `EVENT_INTERVAL_MS`.

    Args:
        text: The event's text.
        count: Returns how often the limit has applied since the start.
        fields: Returns the event's fields; it is given how often the limit has applied since the last one.
    """

    def __init__(self, text: str, count: Callable[[], int], fields: Callable[[int], dict[str, Any]]) -> None:
        """Begin with what has been counted so far as logged."""
        self.text, self.count, self.fields = text, count, fields
        self.logged_count = count()
        self.next_at = 0.0

    def log_if_due(self, now: float) -> None:
        """Log the event if there is something new to tell; `now` in ms."""
        count = self.count()
        if count == self.logged_count or now < self.next_at:
            return
        logs.event(self.text, logging.WARNING, **self.fields(count - self.logged_count))
        self.logged_count = count
        self.next_at = now + EVENT_INTERVAL_MS
