"""Members of the store that answer slowly: an observer and the command-line client still hear them.

The failure: a connection was given up after a fixed time and made anew under the same limit, without end.
"""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import cast

import msgspec
import pytest

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadlines
from eiderpin.fleet.observer import ACCEPT_TIMEOUT_MS, MAX_ACCEPT_TIMEOUT_MS, Observer, ObserverSink
from eiderpin.fleet.subscription import Subscription
from eiderpin.net.loop import Loop
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.store import client as store_client
from eiderpin.store.client import StoreClient, StoreRequestError
from eiderpin.store.framing import encode_frame
from eiderpin.store.observer_protocol import VERSION, Accepted, Ping, Report, SnapshotPage
from tests.test_core import ManualClock

PING_INTERVAL_MS = 1000.0


class SlowConnection:
    """An observer's connection to a member that accepts it so long after the subscription."""

    def __init__(self, world: SlowMembers, accept_ms: float) -> None:
        self.world, self.accept_ms, self.closed = world, accept_ms, False
        self.on_open: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.has_subscribed = False
        world.deadlines.set(world.clock.now(), lambda: self.on_open())

    def write(self, data: bytes) -> None:
        """Take the subscription, or a later message."""
        if not self.has_subscribed:
            self.has_subscribed = True
            self.send_later(self.accept_ms, Accepted(VERSION, "m", 1, False))
            self.send_later(self.accept_ms, SnapshotPage(1, [], True, True))
            self.ping_later(self.accept_ms)

    def send_later(self, ms: float, message: msgspec.Struct) -> None:
        """Send a message after this time, unless the connection is closed before."""
        frame, at = encode_frame(message), self.world.clock.now() + ms
        self.world.deadlines.set(at, lambda: None if self.closed else self.on_data(frame))

    def ping_later(self, ms: float) -> None:
        """Send pings from then on."""
        self.send_later(ms, Ping(1, 1, 0.0))
        at = self.world.clock.now() + ms
        self.world.deadlines.set(at, lambda: None if self.closed else self.ping_later(PING_INTERVAL_MS))

    def close(self) -> None:
        """Receive nothing more."""
        self.closed = True


class SlowMembers:
    """An observer, and members that take `accept_ms` to accept it; it also stands in for the event loop."""

    def __init__(self, *accept_ms: float) -> None:
        self.clock, self.deadlines, self.accept_ms = ManualClock(), Deadlines(), accept_ms
        self.connections: list[SlowConnection] = []
        endpoints = [MemberEndpoint(f"m{i}", (f"m{i}", 0), "") for i in range(len(accept_ms))]
        sink = SimpleNamespace(
            build_report=lambda revision: Report(revision, 0, "none"), apply_events=lambda events: None
        )
        self.observer = Observer(
            cast(Loop, self), Counters(), Subscription("c", "o1", "t"), endpoints, cast(ObserverSink, sink),
            random.Random(3), lambda text: None, lambda text: None,
        )  # fmt: skip

    def connect(self, address: tuple[str, int]) -> SlowConnection:
        """Return a connection to a member."""
        self.connections.append(SlowConnection(self, self.accept_ms[int(address[0][1:])]))
        return self.connections[-1]

    def run(self, ms: float) -> None:
        """Move the clock."""
        end_at = self.clock.at + ms
        while self.deadlines.next_at() <= end_at:
            self.clock.at = max(self.clock.at, self.deadlines.next_at())
            self.deadlines.run_due(self.clock.at)
        self.clock.at = end_at


@pytest.mark.parametrize("accept_ms", [0.0, 2000.0, 3000.0, 8000.0, 15_000.0])
@pytest.mark.parametrize("members", [1, 3])
def test_an_observer_is_accepted_though_every_member_takes_long(members: int, accept_ms: float) -> None:
    """Guards against a connection that is given up before the member's first message, without end."""
    world = SlowMembers(*[accept_ms] * members)
    world.run(300_000.0)
    assert world.observer.subscribed
    assert sum(not connection.closed for connection in world.connections) == 1


def test_a_silent_member_does_not_hold_an_observer_up_while_others_answer() -> None:
    """Guards against a limit that grows though another member could be asked."""
    world = SlowMembers(1e9, 1e9, 5.0)
    world.run(2 * ACCEPT_TIMEOUT_MS + 2000.0)
    assert world.observer.subscribed
    assert world.observer.accept_timeout.limit_ms == ACCEPT_TIMEOUT_MS


def test_the_limit_of_an_observer_has_a_bound_and_shrinks_with_a_fast_member() -> None:
    """A member that answers again at once is not awaited for as long as slow ones were."""
    world = SlowMembers(1e9)
    world.run(600_000.0)
    assert world.observer.accept_timeout.limit_ms == MAX_ACCEPT_TIMEOUT_MS
    world.accept_ms = (5.0,)
    world.run(MAX_ACCEPT_TIMEOUT_MS + 5000.0)
    assert world.observer.subscribed
    assert world.observer.accept_timeout.limit_ms == ACCEPT_TIMEOUT_MS


@contextmanager
def slow_member(answer_seconds: float) -> Iterator[str]:
    """A member's management API that answers each call after this time; yields its address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer(connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as file:
            within_ms = json.loads(file.readline().partition(b" ")[2])["within_ms"]
            time.sleep(min(answer_seconds, within_ms / 1000))
            known = {"ok": True, "role": "leader"}
            unknown = {"ok": False, "kind": "unknown", "error": "no word of it in time"}
            is_late = answer_seconds > within_ms / 1000
            connection.sendall(json.dumps(unknown if is_late else known).encode() + b"\n")

    def accept() -> None:
        while True:
            try:
                connection = listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=answer, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield "{}:{}".format(*listener.getsockname())
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def test_a_command_hears_a_member_that_takes_longer_than_the_first_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against attempts that are all cut off after the same time, so that no answer is ever heard."""
    monkeypatch.setattr(store_client, "ATTEMPT_TIMEOUT_SECONDS", 0.3)
    with slow_member(0.9) as address:
        assert StoreClient([address], timeout=10.0).ask("status")["role"] == "leader"
        with pytest.raises(StoreRequestError, match="no word"):
            StoreClient([address], timeout=0.6).ask("status")  # the whole time of a request stays its limit
