"""A store that answers slowly, because its disk or a member is slow: its answers are received.

The failure: a command was given up after 0.9 s or 2 s and made anew under the same limit. With a disk that
takes 1.2 s for a sync a dispatcher never came to be known to the others, and left a lease each second.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import pytest

from eiderpin import interface as api
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadlines
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.growing_timeout import GrowingTimeout
from eiderpin.fleet import shared_state
from eiderpin.fleet.incarnation import ClaimState, Incarnation
from eiderpin.fleet.outcomes import OutcomeStore
from eiderpin.fleet.shared_state import SharedState
from eiderpin.net.loop import Loop
from eiderpin.store import observer_server
from eiderpin.store.host import StoreHost
from eiderpin.store.member import Member, OnAnswer, OutcomeUnknown, Watch
from eiderpin.store.names import LIVE_MEMBERS
from eiderpin.store.observer_server import ObserverServer
from eiderpin.store.state import Command, Event, Operation, Store
from tests.test_core import ManualClock, advance

DELAYS_MS = [0.0, 850.0, 1200.0, 3000.0, 8000.0]
RUN_MS = 120_000.0
MAX_LEASES = 6  # before the limit has grown, commands whose answers are not awaited may have granted some


class SlowMember:
    """A member whose store applies each command, and confirms each read, `delay_ms` after the call."""

    def __init__(self, delay_ms: float) -> None:
        self.delay_ms, self.clock, self.deadlines = delay_ms, ManualClock(), Deadlines()
        self.rng, self.store, self.watches = random.Random(1), Store(), list[Watch]()
        self.identity = SimpleNamespace(cluster="c", name="d1", generation=1)
        self.disk_failed, self.last_leader_contact_ms = False, self.clock.at

    def submit(
        self, client: str, number: int, op: Operation, on_done: OnAnswer, now: float, timeout_ms: float
    ) -> None:
        """Apply a command later; the caller is told of it unless its time is over."""

        def apply() -> Any:
            answer = self.store.apply(Command(client, number, op))
            for watch in list(self.watches):
                self.notify(watch)
            return answer

        self.answer_later(apply, on_done, timeout_ms)

    def read(self, on_done: Callable[[Exception | None], None], now: float, timeout_ms: float) -> None:
        """Confirm a read later."""
        self.answer_later(lambda: None, on_done, timeout_ms)

    def answer_later(self, act: Callable[[], Any], on_done: Callable[[Any], None], timeout_ms: float) -> None:
        """Act after the delay; `on_done` gets the result, or after `timeout_ms` that none is known."""
        is_waiting = True

        def end(result: Any) -> None:
            nonlocal is_waiting
            was_waiting, is_waiting = is_waiting, False
            if was_waiting:
                on_done(result)

        now = self.clock.now()
        self.deadlines.set(now + timeout_ms, lambda: end(OutcomeUnknown("no word of it in time")))
        self.deadlines.set(now + self.delay_ms, lambda: end(act()))

    def watch(self, prefix: str, after: int, notify: Callable[[list[Event] | None], None]) -> Watch:
        """Notify of all events after a revision."""
        watch = Watch(prefix, after + 1, notify)
        self.watches.append(watch)
        self.notify(watch)
        return watch

    def notify(self, watch: Watch) -> None:
        """Notify a watch of what is new."""
        events = self.store.events_since(watch.next, watch.prefix)
        watch.next = self.store.revision + 1
        if events:
            watch.notify(events)


class SlowStore:
    """A dispatcher and the host of its member, whose store takes `delay_ms` for each command."""

    def __init__(self, delay_ms: float) -> None:
        self.member, self.counters = SlowMember(delay_ms), Counters()
        settings = api.Settings(
            [api.RequestClass("post", aim=1000, deadline=30_000, repeat=api.Repeat.SINGLE_SHOT)]
        )
        self.core = Dispatcher(settings, 1, self.member.clock, self.member.deadlines, self.counters)
        self.host = cast(
            StoreHost,
            SimpleNamespace(
                member=self.member, counters=self.counters, options=SimpleNamespace(listen=None),
                replaced=False,
            ),
        )  # fmt: skip

    def run(self, ms: float) -> None:
        """Move the clock."""
        advance(self.member.clock, self.member.deadlines, self.core, ms)


def ignore(*_: object) -> None:
    """Ignore a log line or an event."""


@pytest.mark.parametrize("delay_ms", DELAYS_MS)
def test_a_dispatcher_becomes_known_though_its_commands_take_long(delay_ms: float) -> None:
    """Guards against a start that is never complete, and against a lease for each command given up."""
    world = SlowStore(delay_ms)
    shared = SharedState(
        world.host, world.core, "d1", lambda: {"state": "up"}, lambda text: [], ignore, ignore
    )
    world.run(RUN_MS)
    assert shared.incarnation.claim_state is ClaimState.HELD
    assert shared.published
    assert world.member.store.get(LIVE_MEMBERS + "d1") is not None
    assert len(world.member.store.leases) <= MAX_LEASES
    assert world.counters.counts["store.command_timeouts"] <= 4


def test_the_limit_of_commands_shrinks_once_the_store_is_fast_again() -> None:
    """Guards against a command to a member that has ended, which is awaited for as long as a slow one."""
    world = SlowStore(3000.0)
    shared = SharedState(world.host, world.core, "d1", dict, lambda text: [], ignore, ignore)
    world.run(RUN_MS)
    assert shared.command_timeout.limit_ms > 3000.0
    world.member.delay_ms = 10.0
    world.run(8000.0)
    assert shared.command_timeout.limit_ms == shared_state.COMMAND_TIMEOUT_MS


@pytest.mark.parametrize("delay_ms", DELAYS_MS)
def test_outcomes_get_a_lease_though_granting_it_takes_long(delay_ms: float) -> None:
    """Guards against jobs that are all rejected, as no claim can be made without a lease."""
    world = SlowStore(delay_ms)
    outcomes = OutcomeStore(
        world.host, world.core, frozenset({"post"}), 600_000.0, Incarnation("d1", "token", 1)
    )
    world.run(25_000.0)  # less than after which the lease is replaced
    assert outcomes.lease_id
    assert len(world.member.store.leases) <= MAX_LEASES


@pytest.mark.parametrize("delay_ms", DELAYS_MS[:-1])
def test_a_member_announces_its_observers_though_commands_take_long(delay_ms: float) -> None:
    """Guards against a lease of the announcement that is granted anew, without end, and never used.

    A renewal that takes nearly as long as the lease of 10 s is beyond what an announcement can bear.
    """
    world = SlowStore(delay_ms)
    loop = cast(Loop, SimpleNamespace(clock=world.member.clock, deadlines=world.member.deadlines))
    member = cast(Member, world.member)
    with mock.patch.object(observer_server, "Listener"):
        server = ObserverServer(loop, world.counters, member, ("127.0.0.1", 0))
    world.run(RUN_MS)
    leases = world.member.store.leases
    assert server._lease in leases
    assert len(leases) <= MAX_LEASES


def test_a_growing_timeout_doubles_up_to_its_bound_and_follows_answers_down() -> None:
    """Its growth, its bound, and when it shrinks."""
    timeout = GrowingTimeout(900.0, 10_000.0)
    seen = []
    for _ in range(6):
        seen.append(timeout.limit_ms)
        timeout.record_timeout()
    assert seen == [900.0, 1800.0, 3600.0, 7200.0, 10_000.0, 10_000.0]
    for took_ms, limit_ms in ((8000.0, 10_000.0), (3000.0, 6000.0), (450.0, 900.0), (1.0, 900.0)):
        timeout.record_answer(took_ms)
        assert timeout.limit_ms == limit_ms
