"""A call to discovery on a connection of its own."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from eiderpin.core.deadlines import Deadline
from eiderpin.net import http
from eiderpin.net.connection import Connection, EventLoop
from eiderpin.net.list_document import MAX_LIST_BYTES


class CallFailure(StrEnum):
    """Why a call has brought no list; the values are parts of the names of counters."""

    NOT_CONNECTED = "not_connected"  # no connection could be opened
    CLOSED = "closed"  # the connection ended before the answer did
    SILENT = "silent"  # no answer within the limit; it may still come
    REFUSED = "refused"  # an HTTP status other than 200
    BAD = "bad"  # not HTTP, not JSON or not a list
    INCOMPLETE = "incomplete"  # changes, where the whole list was asked for
    OLDER = "older"  # of an older generation than one that was received before


class CallOwner(Protocol):
    """Who makes calls and handles what becomes of them."""

    def handle_answer(self, call: DiscoveryCall, message: http.Message) -> None:
        """Handle an answer. Raises `ValueError` or `TypeError` if it is not a list."""

    def handle_failure(self, call: DiscoveryCall, reason: CallFailure) -> None:
        """Handle a call that will get no answer, for any reason but silence."""

    def handle_late(self, call: DiscoveryCall) -> None:
        """Handle a call without an answer within its limit, which may still be answered."""

    def reject_answer(self, call: DiscoveryCall) -> None:
        """Handle an answer that is not valid HTTP, not JSON or not a list."""


class DiscoveryCall:
    """The call in progress on one connection. Once it is answered, the connection can carry the next one."""

    def __init__(self, loop: EventLoop, connection: Connection, owner: CallOwner) -> None:
        """Take over a connection, on which nothing was sent yet."""
        self.loop, self.connection, self.owner = loop, connection, owner
        self.reader = http.ResponseReader(MAX_LIST_BYTES)
        self.began_at = loop.clock.now()
        self.wait_ms = 0.0  # for which discovery may wait for a change
        self.is_late = False  # there was no answer within the limit
        self.is_open = True
        self._limit: Deadline | None = None
        connection.on_data, connection.on_end = self._on_data, self._on_end

    def send(self, request: bytes, wait_ms: float, limit_ms: float) -> None:
        """Begin a call, which discovery answers after at most `wait_ms`; it is late after `limit_ms`."""
        self.began_at, self.wait_ms, self.is_late = self.loop.clock.now(), wait_ms, False
        self.loop.deadlines.drop(self._limit)
        self._limit = self.loop.deadlines.set(self.began_at + limit_ms, self._on_limit)
        self.connection.write(request)

    @property
    def age_ms(self) -> float:
        """Time since the beginning of the call."""
        return self.loop.clock.now() - self.began_at

    @property
    def overtime_ms(self) -> float:
        """Time since discovery's wait for a change was over, or since the beginning of a call without one.

        Negative while discovery may still wait.
        """
        return self.age_ms - self.wait_ms

    def close(self) -> None:
        """Close the connection. Nothing more is received on it."""
        self.is_open = False
        self.loop.deadlines.drop(self._limit)
        self.connection.close()
        self.reader.release()

    def _on_limit(self) -> None:
        self.is_late = True
        self.owner.handle_late(self)

    def _on_data(self, data: bytes) -> None:
        """Pass on the answers that received data completes."""
        try:
            messages = self.reader.feed(data)
        except http.BadMessage:
            self.owner.reject_answer(self)
            return
        self._handle_answers(messages)

    def _on_end(self) -> None:
        """The connection was closed or lost; this completes an answer without Content-Length."""
        last = self.reader.message_at_eof()
        if last is not None:
            self._handle_answers([last])
            return
        self.owner.handle_failure(self, CallFailure.CLOSED)

    def _handle_answers(self, messages: list[http.Message]) -> None:
        """Pass on answers in order, until one of them ends their connection."""
        try:
            for message in messages:
                if self.is_open:
                    self.owner.handle_answer(self, message)
        except (ValueError, TypeError):  # not JSON, or not a list
            self.owner.reject_answer(self)
