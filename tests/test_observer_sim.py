"""The seeded simulation of observers: clean runs, and planted faults that it finds."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest import mock

from eiderpin.fleet.subscription import Subscription
from eiderpin.store import observer_registry
from eiderpin.store.observer_registry import ObserverRegistry
from eiderpin.store.observer_server import ObserverServer
from eiderpin.store.observer_sessions import Effect, Joined, ObserverSessions, Phase, Session, observed
from eiderpin.store.presence import ServedObservers
from eiderpin.store.state import Compacted, Event
from tests.observer_sim import play
from tests.store_sim import InvariantViolated

SEEDS = range(40)


def forgets_changes_during_a_snapshot(
    self: ObserverSessions, key: int, session: Session, revision: int
) -> list[Effect]:
    session.phase = Phase.CURRENT
    return []


def resumes_over_what_is_forgotten(self: ObserverSessions, generation: int, revision: int) -> bool:
    return generation == self.generation() and revision > 0


def gives_what_is_left(self: ObserverSessions, revision: int) -> list[Event]:
    try:
        return [e for e in self.store().since(revision + 1) if observed(e.name)]
    except Compacted:
        return [e for e in self.store().since(self.store().oldest) if observed(e.name)]


def resumes_only_those_that_are_behind(self: ObserverSessions, generation: int, revision: int) -> bool:
    return CAN_RESUME(self, generation, revision) and revision <= self.store().revision


CAN_RESUME = ObserverSessions._can_resume


def serves_those_that_are_ahead(self: ObserverSessions, key: int, asked: Any, now: float) -> list[Effect]:
    session = Session(asked, Phase.QUEUED, now, answered=self._ping)
    self.sessions[key] = session
    return self._begin(key, session, now)


class TakesOlder(Subscription):
    """Takes whatever snapshot it is given."""

    @property
    def position(self) -> tuple[int, int]:
        return (self.generation, self.revision) if self._pages is None else (0, 0)


def joins_before_it_is_accepted(
    self: ObserverSessions, key: int, session: Session, now: float
) -> list[Effect]:
    effects = BEGIN(self, key, session, now)
    joined = [e for e in effects if isinstance(e, Joined)]
    return [*joined, *(e for e in effects if not isinstance(e, Joined))]


BEGIN = ObserverSessions._begin


def sends_pages_at_once(self: ObserverServer, key: int) -> None:
    self._send_next_page(key)


def never_learns_an_epoch(self: ServedObservers, name: str, token: str, epoch: int) -> None:
    pass


def keeps_those_that_died(self: ServedObservers, name: str, token: str, now: float) -> None:
    served = self._of(name, token)
    if served is not None:
        served.lost_at = now


def fences_nobody(self: ObserverRegistry, observer: Any) -> list[Effect]:
    return []


FAULTS: list[tuple[str, int, list[tuple[Any, str, Any]], type[Subscription]]] = [
    ("changes during a snapshot are forgotten", 0,
     [(ObserverSessions, "_make_current", forgets_changes_during_a_snapshot)], Subscription),
    ("a resumption over changes that are forgotten", 2,
     [(ObserverSessions, "_can_resume", resumes_over_what_is_forgotten),
      (ObserverSessions, "_events_after", gives_what_is_left)], Subscription),
    ("an older state, where neither side looks", 0,
     [(ObserverSessions, "_subscribe", serves_those_that_are_ahead),
      (ObserverSessions, "_can_resume", resumes_only_those_that_are_behind)], TakesOlder),
    ("announced before it is accepted", 5,
     [(ObserverSessions, "_begin", joins_before_it_is_accepted)], Subscription),
    ("pages out of order", 31, [(ObserverServer, "_flushed", sends_pages_at_once)], Subscription),
    ("an epoch that grows with each announcement", 37,
     [(ServedObservers, "announce", never_learns_an_epoch)], Subscription),
    ("fenced by one that died", 97,
     [(observer_registry, "FENCE_AFTER", 0.0),
      (ServedObservers, "lose", keeps_those_that_died)], Subscription),
    ("nobody is fenced", 1, [(ObserverRegistry, "_fence", fences_nobody)], Subscription),
]  # fmt: skip


def planted(patches: list[tuple[Any, str, Any]], call: Callable[[], object]) -> None:
    """Call with some of the program replaced."""
    with ExitStack() as stack:
        for where, name, replacement in patches:
            stack.enter_context(mock.patch.object(where, name, replacement))
        call()


class ObserverSimulation(unittest.TestCase):
    def test_promises_hold_under_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                play(seed)

    def test_a_seed_replays_to_the_same_end(self) -> None:
        first, second = play(3), play(3)
        self.assertEqual(first.events, second.events)
        self.assertEqual(first.images, second.images)

    def test_planted_faults_are_found(self) -> None:
        for what, seed, patches, subscription in FAULTS:
            with self.subTest(what):
                play(seed)  # the seed itself is clean
                with self.assertRaises((InvariantViolated, AssertionError, KeyError)):
                    planted(patches, lambda seed=seed, kind=subscription: play(seed, subscription=kind))  # type: ignore[misc]


if __name__ == "__main__":
    unittest.main()
