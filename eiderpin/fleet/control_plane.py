"""A dispatcher that follows the store as an observer: what it is told, applied to the running dispatcher, and
what it tells of itself. It has no disk and no vote, and serves on with what it has while no member answers.
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

REFRESH_EVERY = 1_000.0  # ms between looks whether what is said of us has changed
TOKEN_BITS = 64


class ControlPlane:
    """The observer of a running dispatcher; implements `ObserverSink`.

    Args:
        about: What operators may know of this dispatcher.
        take_shared: Applies a shared configuration, see `FollowedDocuments`.
        has_worker_list: Whether the list of workers has come since the start.
        on_fenced: Is called once where another process has begun with our name.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        core: Dispatcher,
        options: FollowOptions,
        rng: random.Random,
        about: Callable[[], dict[str, Any]],
        take_shared: Callable[[bytes], list[str]],
        has_worker_list: Callable[[], bool],
        on_fenced: Callable[[], None],
        say: Callable[[str], None],
        warn: Callable[[str], None],
    ) -> None:
        """Begin to follow; nothing is known before the first copy."""
        self.loop, self.core, self.about, self.has_worker_list = loop, core, about, has_worker_list
        self.on_fenced, self.say = on_fenced, say
        self.documents = FollowedDocuments(core, counters, take_shared, say, warn)
        self.rejoin = RejoinProgress(loop.clock.now())
        token = f"{rng.getrandbits(TOKEN_BITS):016x}"
        subscription = Subscription(options.cluster, options.name, token, options.region)
        self.observer = Observer(loop, counters, subscription, options.endpoints, self, rng, say, warn)
        self._refresh()

    # -- what we are told

    def apply_events(self, events: list[Event]) -> None:
        """Apply what has changed."""
        for event in events:
            self.documents.take(event.name, event.value)

    def set_placement(self, instances: int, instance: int) -> None:
        """Share the workers with the other dispatchers."""
        if self.core.share(instances, instance):
            self.say(f"control plane: dispatcher {instance} of {instances}")

    def handle_fenced(self) -> None:
        """Another process has our name."""
        self.on_fenced()

    # -- what we tell

    def build_report(self, revision: int) -> Report:
        """What is in force here."""
        self._note_stage()
        config = self.documents.config
        about = {
            **self.about(),
            "config": str(config),
            "incarnation": str(self.observer.subscription.epoch or ""),
            "stage": self.stage(),
            "took": self.rejoin.took(),
        }
        return Report(revision, config.number, config.outcome.value, config.detail, orjson.dumps(about))

    def stage(self) -> str:
        """How far the start has come."""
        return self.rejoin.stage(self.loop.clock.now()).value

    def _note_stage(self) -> None:
        """Note how far the start has come; it is asked for after whatever the member says."""
        current = self.observer.current_at is not None
        known = self.observer.presence_state is not PresenceState.UNKNOWN
        if self.rejoin.note(self.loop.clock.now(), self.has_worker_list(), current, known):
            self.say(f"control plane: {self.observer.subscription.name} is whole")

    def _refresh(self) -> None:
        self.loop.deadlines.set(self.loop.clock.now() + REFRESH_EVERY, self._refresh)
        self._note_stage()
        self.observer.refresh()

    # -- what operators ask

    @property
    def is_fenced(self) -> bool:
        """Whether another process has our name."""
        return self.observer.presence_state is PresenceState.FENCED

    def readiness_detail(self) -> str:
        """What readiness is to say beside its state; empty where all is well."""
        if not self.observer.cut_off:
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
            "config": str(self.documents.config),
        }

    def close(self) -> None:
        """End as planned."""
        self.observer.close()


class ObserverCalls:
    """The store's calls at an observer's management address: its own status; all else is the members'."""

    max_line_bytes = 1 << 20

    def __init__(self, control_plane: ControlPlane) -> None:
        """Answer for this observer."""
        self.control_plane = control_plane

    def call(self, caller: ManagementConnection, said: bytes) -> None:
        """Answer one line of JSON."""
        try:
            asked = orjson.loads(said)
        except orjson.JSONDecodeError:
            asked = None
        if isinstance(asked, dict) and asked.get("op") == "status":
            answer: dict[str, Any] = {"ok": True, "observer": self.control_plane.status()}
        else:
            text = "this dispatcher follows the store and is no member of it: ask at a member's door"
            answer = {"ok": False, "kind": "no-leader", "error": text}
        caller.reply(orjson.dumps(answer).decode())
