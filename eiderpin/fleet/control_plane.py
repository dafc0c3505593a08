"""A dispatcher that follows the store as an observer: it applies what the store's members send, and reports
its own state to them. It has no disk and no vote, and keeps serving with the copy it has while no member
answers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from eiderpin.core.counters import Counters
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.fleet.comeback import RejoinProgress
from eiderpin.fleet.followed_documents import FollowedDocuments
from eiderpin.fleet.observer import Observer, PresenceState
from eiderpin.fleet.subscription import Subscription
from eiderpin.net.loop import Loop
from eiderpin.net.management import ManagementConnection
from eiderpin.parts.observer import FollowOptions
from eiderpin.store.observer_protocol import Report
from eiderpin.store.state import Event

REFRESH_INTERVAL_MS = 1_000.0  # between checks whether the report about this dispatcher has changed
TOKEN_BITS = 64


class ControlPlane:
    """The observer of a running dispatcher; implements `ObserverSink`.

    Args:
        describe: What operators may know of this dispatcher.
        apply_shared_config: Applies a shared configuration, see `FollowedDocuments`.
        has_worker_list: Whether a worker list has arrived since the start.
        on_fenced: Called once when another process has started under our name.
        log_info, log_warning: Write log lines for operators.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        core: Dispatcher,
        options: FollowOptions,
        rng: random.Random,
        describe: Callable[[], dict[str, Any]],
        apply_shared_config: Callable[[bytes], list[str]],
        has_worker_list: Callable[[], bool],
        on_fenced: Callable[[], None],
        log_info: Callable[[str], None],
        log_warning: Callable[[str], None],
    ) -> None:
        """Start to follow the store; nothing is known before the first copy."""
        self.loop, self.core, self.describe, self.has_worker_list = loop, core, describe, has_worker_list
        self.on_fenced, self.log_info = on_fenced, log_info
        self.documents = FollowedDocuments(core, counters, apply_shared_config, log_info, log_warning)
        self.rejoin = RejoinProgress(loop.clock.now())
        token = f"{rng.getrandbits(TOKEN_BITS):016x}"
        subscription = Subscription(options.cluster, options.name, token, options.region)
        self.observer = Observer(
            loop, counters, subscription, options.endpoints, self, rng, log_info, log_warning
        )
        self._refresh()

    # -- ObserverSink: what the store's members send

    def apply_events(self, events: list[Event]) -> None:
        """Apply changed documents."""
        for event in events:
            self.documents.apply_document(event.name, event.value)

    def set_placement(self, instances: int, instance: int) -> None:
        """Share the workers with the other dispatchers."""
        if self.core.share(instances, instance):
            self.log_info(f"control plane: dispatcher {instance} of {instances}")

    def handle_fenced(self) -> None:
        """Pass on that another process holds our name."""
        self.on_fenced()

    # -- ObserverSink: what is reported to them

    def build_report(self, revision: int) -> Report:
        """Report the configuration in force here and the state of this dispatcher."""
        self._record_progress()
        config = self.documents.applied_config
        about = {
            **self.describe(),
            "config": str(config),
            "incarnation": str(self.observer.subscription.epoch or ""),
            "stage": self.stage(),
            "took": self.rejoin.step_times_ms(),
        }
        return Report(
            revision, config.version_number, config.outcome.value, config.detail, orjson.dumps(about)
        )

    def stage(self) -> str:
        """How far the start has come."""
        return self.rejoin.stage(self.loop.clock.now()).value

    def _record_progress(self) -> None:
        """Record how far the start has come. The report after each message of the member leads here, too."""
        current = self.observer.current_at is not None
        known = self.observer.presence_state is not PresenceState.UNKNOWN
        if self.rejoin.record(self.loop.clock.now(), self.has_worker_list(), current, known):
            self.log_info(f"control plane: {self.observer.subscription.name} is whole")

    def _refresh(self) -> None:
        self.loop.deadlines.set(self.loop.clock.now() + REFRESH_INTERVAL_MS, self._refresh)
        self._record_progress()
        self.observer.refresh()

    # -- status for operators

    @property
    def is_fenced(self) -> bool:
        """Whether another process holds our name."""
        return self.observer.presence_state is PresenceState.FENCED

    def readiness_detail(self) -> str:
        """Text that follows the readiness state while the store is out of reach; empty otherwise."""
        if not self.observer.is_cut_off:
            return ""
        return f", control plane {self.observer.age_ms / 1000:.0f} s old"

    def status(self) -> dict[str, Any]:
        """Figures for operators."""
        observer = self.observer
        subscription = observer.subscription
        return {
            "name": subscription.name,
            "cluster": subscription.cluster,
            "member": observer.endpoint.member if observer.subscribed and observer.endpoint else "",
            "generation": subscription.generation,
            "revision": subscription.revision,
            "documents": len(subscription.documents),
            "digest": f"{subscription.digest.value:016x}",
            "epoch": subscription.epoch,
            "age_ms": int(observer.age_ms),
            "standing": observer.presence_state.value,
            "config": str(self.documents.applied_config),
        }

    def close(self) -> None:
        """Stop following the store, as planned."""
        self.observer.close()


class ObserverCalls:
    """The store's calls at an observer's management API. It answers for its own status only; all other calls
    are for the members."""

    max_line_bytes = 1 << 20

    def __init__(self, control_plane: ControlPlane) -> None:
        """Answer calls about this observer."""
        self.control_plane = control_plane

    def call(self, caller: ManagementConnection, line: bytes) -> None:
        """Answer one call, a line of JSON."""
        try:
            call = orjson.loads(line)
        except orjson.JSONDecodeError:
            call = None
        if isinstance(call, dict) and call.get("op") == "status":
            answer: dict[str, Any] = {"ok": True, "observer": self.control_plane.status()}
        else:
            text = "this dispatcher follows the store and is no member of it: ask at a member's door"
            answer = {"ok": False, "kind": "no-leader", "error": text}
        caller.reply(orjson.dumps(answer).decode())
