"""The seeded simulation of observers: runs of the program as it is, and with faults that must be found."""

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
from eiderpin.store.observer_sessions import Effect, Joined, ObserverSessions, Phase, Session, is_observed
from eiderpin.store.presence import ServedObservers
from eiderpin.store.state import Compacted, Event
from tests.observer_sim import run_simulation
from tests.store_sim import InvariantViolated

SEEDS = range(40)


def drops_changes_during_a_snapshot(
    self: ObserverSessions, key: int, session: Session, revision: int
) -> list[Effect]:
    session.phase = Phase.CURRENT
    return []


def resumes_without_kept_events(self: ObserverSessions, generation: int, revision: int) -> bool:
    return generation == self.generation() and revision > 0


def returns_only_kept_events(self: ObserverSessions, revision: int) -> list[Event]:
    try:
        return [e for e in self.store().events_since(revision + 1) if is_observed(e.name)]
    except Compacted:
        return [e for e in self.store().events_since(self.store().oldest) if is_observed(e.name)]


def resumes_only_if_not_ahead(self: ObserverSessions, generation: int, revision: int) -> bool:
    return ORIGINAL_CAN_RESUME(self, generation, revision) and revision <= self.store().revision


ORIGINAL_CAN_RESUME = ObserverSessions._can_resume


def serves_observers_that_are_ahead(
    self: ObserverSessions, key: int, subscribe: Any, now: float
) -> list[Effect]:
    session = Session(subscribe, Phase.QUEUED, now, last_answered_ping=self._ping_number)
    self.sessions[key] = session
    return self._start_serving(key, session, now)


class AcceptsOlderSnapshots(Subscription):
    """A faulty copy that accepts snapshots older than its own state."""

    @property
    def position(self) -> tuple[int, int]:
        return (self.generation, self.revision) if self._pages is None else (0, 0)


def joins_before_the_acceptance(
    self: ObserverSessions, key: int, session: Session, now: float
) -> list[Effect]:
    effects = ORIGINAL_START_SERVING(self, key, session, now)
    joined = [e for e in effects if isinstance(e, Joined)]
    return [*joined, *(e for e in effects if not isinstance(e, Joined))]


ORIGINAL_START_SERVING = ObserverSessions._start_serving


def sends_pages_at_once(self: ObserverServer, key: int) -> None:
    self._send_next_page(key)


def never_records_an_epoch(self: ServedObservers, name: str, token: str, epoch: int) -> None:
    pass


def keeps_disconnected_observers(self: ServedObservers, name: str, token: str, now: float) -> None:
    served = self._find(name, token)
    if served is not None:
        served.disconnected_at = now


def fences_nobody(self: ObserverRegistry, observer: Any) -> list[Effect]:
    return []


FAULTS: list[tuple[str, int, list[tuple[Any, str, Any]], type[Subscription]]] = [
    ("changes during a snapshot are forgotten", 0,
     [(ObserverSessions, "_make_current", drops_changes_during_a_snapshot)], Subscription),
    ("a resumption without all changes since", 3,
     [(ObserverSessions, "_can_resume", resumes_without_kept_events),
      (ObserverSessions, "_events_after", returns_only_kept_events)], Subscription),
    ("an older state that neither side checks", 0,
     [(ObserverSessions, "_subscribe", serves_observers_that_are_ahead),
      (ObserverSessions, "_can_resume", resumes_only_if_not_ahead)], AcceptsOlderSnapshots),
    ("announced before the acceptance", 11,
     [(ObserverSessions, "_start_serving", joins_before_the_acceptance)], Subscription),
    ("pages out of order", 2, [(ObserverServer, "_handle_flushed", sends_pages_at_once)], Subscription),
    ("an epoch that grows with each announcement", 25,
     [(ServedObservers, "set_epoch", never_records_an_epoch)], Subscription),
    ("fenced by a process that died", 5,
     [(observer_registry, "FENCE_AFTER_MS", 0.0),
      (ServedObservers, "mark_disconnected", keeps_disconnected_observers)], Subscription),
    ("nobody is fenced", 1, [(ObserverRegistry, "_fence", fences_nobody)], Subscription),
]  # fmt: skip


def run_with_patches(patches: list[tuple[Any, str, Any]], callback: Callable[[], object]) -> None:
    """Call back while parts of the program are replaced."""
    with ExitStack() as stack:
        for target, name, replacement in patches:
            stack.enter_context(mock.patch.object(target, name, replacement))
        callback()


class TestObserverSimulation(unittest.TestCase):
    def test_guarantees_hold_under_faults(self) -> None:
        """Guards against observers that miss changes, go back to an older state or disagree on who is live,
        after cuts, resets, frozen and killed processes."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_simulation(seed)

    def test_a_seed_always_gives_the_same_run(self) -> None:
        """Guards against sources of chance other than the seed: a failure could not be reproduced."""
        first, second = run_simulation(3), run_simulation(3)
        self.assertEqual(first.events, second.events)
        self.assertEqual(first.reference_images, second.reference_images)

    def test_planted_faults_are_found(self) -> None:
        """Guards against a simulation that no longer finds faults. Each fault is planted with a seed that
        finds it."""
        for what, seed, patches, subscription in FAULTS:
            with self.subTest(what):
                run_simulation(seed)  # without the fault, the seed passes
                with self.assertRaises((InvariantViolated, AssertionError, KeyError)):
                    run_with_patches(
                        patches,
                        lambda seed=seed, kind=subscription: run_simulation(seed, subscription=kind),  # type: ignore[misc]
                    )


if __name__ == "__main__":
    unittest.main()
