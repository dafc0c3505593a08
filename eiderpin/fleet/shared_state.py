"""What the dispatcher of a store member does with the store: it applies the operators' overrides and the
shared configuration, claims its name, publishes that it is live, shares the workers with the other live
dispatchers, and exchanges warm-start hints with them. Times in ms.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import orjson

from eiderpin.core import learned as learned_state
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.growing_timeout import GrowingTimeout
from eiderpin.core.learned import Learned
from eiderpin.fleet.comeback import RejoinProgress
from eiderpin.fleet.followed_documents import FollowedDocuments
from eiderpin.fleet.incarnation import ClaimState, Incarnation
from eiderpin.store import hints, presence
from eiderpin.store.host import StoreHost
from eiderpin.store.member import OutcomeUnknown
from eiderpin.store.names import CURRENT_CONFIG, LIVE_MEMBERS, OBSERVERS, WORKER_OVERRIDES
from eiderpin.store.presence import LiveDispatchers
from eiderpin.store.raft import Refused
from eiderpin.store.state import Answer, Compacted, Event, Grant, Keep, Operation, Put, Transaction

LEASE_MS = 5000.0  # a dispatcher that does not renew its lease for this long is no longer counted as live
HEARTBEAT_INTERVAL_MS = 1000.0
START_INTERVAL_RANGE_MS = (50.0, 150.0)  # during a start; random, so that many dispatchers are not in step
COMMAND_TIMEOUT_MS = 900.0  # of a command or a read, at first; it grows while the store is slower
MAX_COMMAND_TIMEOUT_MS = 10_000.0
ACCEPT_HINTS_MS = 10_000.0  # for this long after the start, hints from other dispatchers are accepted
PUBLISH_HINT_INTERVAL_MS = 30_000.0
MAX_LOGGED_NAMES = 8  # of dispatchers in one log line


class SharedState:
    """The shared state of the fleet, as seen and kept by one store member's dispatcher.

    Args:
        host: Runs the store's member.
        core: The dispatcher.
        name: The dispatcher's name.
        describe: What other dispatchers may know of this one; a change of it is published within
            `HEARTBEAT_INTERVAL_MS`.
        apply_shared_config: Applies a shared configuration, see `FollowedDocuments`.
        log_info, log_warning: Write log lines for operators.
    """

    def __init__(
        self, host: StoreHost, core: Dispatcher, name: str, describe: Callable[[], dict[str, Any]],
        apply_shared_config: Callable[[bytes], list[str]],
        log_info: Callable[[str], None], log_warning: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Follow the documents, and start to claim the dispatcher's name."""
        self.host, self.core, self.name, self.describe, self.log_info, self.log_warning = (
            host, core, name, describe, log_info, log_warning
        )  # fmt: skip
        self.documents = FollowedDocuments(core, host.counters, apply_shared_config, log_info, log_warning)
        self.live_dispatchers = LiveDispatchers()
        self.pending_hint: tuple[float, Learned] | None = None  # newest hint, until the workers are known
        self.hints_until = core.clock.now() + ACCEPT_HINTS_MS
        self.publish_hint_at = core.clock.now() + PUBLISH_HINT_INTERVAL_MS
        token = f"{host.member.rng.getrandbits(64):016x}"
        self.incarnation = Incarnation(name, token, host.member.identity.generation)
        self.on_fenced: Callable[[], None] = lambda: None
        self.rejoin = RejoinProgress(core.clock.now())
        self.has_worker_list: Callable[[], bool] = lambda: False
        self.lease = 0  # id of our lease; 0: none
        self.published: dict[str, Any] = {}  # our description as the store has it; empty: it has none
        self.command_pending = False
        self.command_timeout = GrowingTimeout(COMMAND_TIMEOUT_MS, MAX_COMMAND_TIMEOUT_MS)
        self.follow(
            self.incarnation.document_name, lambda suffix, value: None if suffix else self.update_claim()
        )
        self.follow(WORKER_OVERRIDES, self.documents.apply_override)
        # Only `CURRENT_CONFIG` itself is the configuration in force; documents whose names extend it are
        # ignored.
        self.follow(
            CURRENT_CONFIG, lambda suffix, value: None if suffix else self.documents.apply_config(value)
        )
        self.follow(hints.PREFIX, self.receive_hint)
        if host.options.listen is not None:
            self.follow(LIVE_MEMBERS, self.update_member)
            self.follow(OBSERVERS, self.update_observers)
        self.run_heartbeat()

    def follow(self, prefix: str, apply: Callable[[str, bytes | None], None]) -> None:
        """Call `apply` for each document with this prefix, now and whenever it changes.

        `apply` gets the rest of the document's name and its value (None: deleted). Where the events needed
        have been compacted, all documents are read anew.
        """
        store = self.host.member.store
        known = set()
        for document in store.range(prefix, "", 1 << 30):
            known.add(document.name)
            apply(document.name.removeprefix(prefix), document.value)

        def on_events(events: list[Event] | None) -> None:
            if events is None:
                now = {d.name for d in self.host.member.store.range(prefix, "", 1 << 30)}
                for name in known - now:
                    apply(name.removeprefix(prefix), None)
                self.follow(prefix, apply)
                return
            for event in events:
                (known.discard if event.value is None else known.add)(event.name)
                apply(event.name.removeprefix(prefix), event.value)

        try:
            self.host.member.watch(prefix, store.revision, on_events)
        except (Compacted, Refused) as error:
            self.log_warning(f"store: {prefix} is not followed: {error}")

    # -- claim of the name

    @property
    def is_fenced(self) -> bool:
        """Whether another process holds our name."""
        return self.incarnation.claim_state is ClaimState.FENCED

    def read_claim_document(self) -> tuple[bytes | None, int]:
        """Value and revision, at our member, of the document that identifies our name's latest incarnation;
        (None, 0): there is none."""
        document = self.host.member.store.get(self.incarnation.document_name)
        return (document.value, document.revision) if document is not None else (None, 0)

    def update_claim(self, claim_refused: bool = False) -> None:
        """Update the claim state after our name's document has changed or our claim of it was refused."""
        value, revision = self.read_claim_document()
        if self.incarnation.apply_document(value, revision, claim_refused):
            self.report_fenced()

    def report_fenced(self) -> None:
        """Log, count and signal that another process holds our name."""
        self.host.counters.add("store.fenced")
        self.log_warning(f"store: fenced: another process has begun as {self.name}; this one is to be ended")
        self.on_fenced()

    def claim_name(self) -> None:
        """Do the next step of claiming our name: read its document, then write it."""
        member, now = self.host.member, self.core.clock.now()

        def on_read(error: Exception | None) -> None:
            self.note_command_end(error, now)
            if error is None:
                self.incarnation.record_initial_revision(self.read_claim_document()[1])
                self.send_next_command()

        def on_claimed(answer: Answer) -> None:
            self.update_claim(claim_refused=not answer.ok)
            if self.incarnation.claim_state is ClaimState.HELD:
                self.log_info(f"store: this is {self.name}/{self.incarnation}")
                self.send_next_command()  # during a start, each command follows the previous one at once

        if self.incarnation.initial_revision is None:
            self.command_pending = True
            member.read(on_read, now, self.command_timeout.limit_ms)
        else:
            self.submit(self.incarnation.build_claim(), on_claimed)

    # -- warm-start hints

    def receive_hint(self, name: str, value: bytes | None) -> None:
        """Keep a hint of what other dispatchers, or an earlier incarnation of this one, learned of the
        workers. After a start it is better than default estimates."""
        now = self.core.clock.now()
        if value is None or now > self.hints_until:
            return
        try:
            learned = hints.read(value, now)
        except ValueError as error:
            self.log_warning(f"store: {hints.PREFIX}{name}: {error}")
            return
        if learned is not None:
            self.pending_hint = now, learned

    def exchange_hints(self) -> None:
        """Apply a hint received once the workers are known, and publish what this dispatcher has learned."""
        now = self.core.clock.now()
        if self.pending_hint is not None and self.core.listed:
            self.core.apply_learned(self.pending_hint[1])
            self.pending_hint = None
            self.host.counters.add("store.hints")
        if (
            now < self.publish_hint_at
            or self.command_pending
            or self.incarnation.claim_state is not ClaimState.HELD
        ):
            return
        self.publish_hint_at = now + PUBLISH_HINT_INTERVAL_MS
        value = hints.pack(learned_state.collect(self.core.module), now)
        if value is not None:
            put = Put(f"{hints.PREFIX}{self.name}", value)
            self.submit(self.incarnation.guard(Transaction([put])), lambda answer: None)

    # -- presence

    def update_member(self, name: str, value: bytes | None) -> None:
        """Note that a member's dispatcher is live, or no longer live (`value` is None)."""
        self.live_dispatchers.set_member(name, value is not None)
        self.update_placement()

    def update_observers(self, member: str, value: bytes | None) -> None:
        """Note that the observers which a member serves have changed."""
        try:
            entries = presence.read(value) if value is not None else None
        except msgspec.MsgspecError as error:
            self.log_warning(f"store: {OBSERVERS}{member} is not followed: {error}")
            return
        self.live_dispatchers.set_announced(member, entries)
        self.update_placement()

    def update_placement(self) -> None:
        """Share the workers with all live dispatchers."""
        place = self.live_dispatchers.placement(self.name)
        if place is None or not self.core.share(*place):
            return
        names = self.live_dispatchers.names()
        shown = ", ".join(names[:MAX_LOGGED_NAMES]) + (", ..." if len(names) > MAX_LOGGED_NAMES else "")
        self.log_info(f"store: {len(names)} dispatchers share the workers: {shown}")

    def run_heartbeat(self) -> None:
        """Renew our lease and keep our published description current; schedules itself again."""
        wait = (
            HEARTBEAT_INTERVAL_MS
            if self.published or self.is_fenced
            else self.host.member.rng.uniform(*START_INTERVAL_RANGE_MS)
        )
        self.core.deadlines.set(self.core.clock.now() + wait, self.run_heartbeat)
        if self.host.replaced and self.incarnation.mark_replaced():
            self.report_fenced()
        self.exchange_hints()
        self.send_next_command()

    def send_next_command(self) -> None:
        """Send the next command that the store needs from us, unless one is pending already."""
        self.record_progress()
        if self.command_pending or self.host.member.disk_failed or self.is_fenced:
            return
        if self.incarnation.claim_state is ClaimState.UNKNOWN:
            self.claim_name()
            return
        description = self.build_description()
        if not self.lease:
            self.submit(Grant(LEASE_MS), self.on_lease_granted)
        elif description != self.published:
            self.publish(description)
        else:
            self.submit(Keep(self.lease), self.on_lease_renewed)

    def stage(self) -> str:
        """How far our start has come."""
        return self.rejoin.stage(self.core.clock.now()).value

    def record_progress(self) -> None:
        """Record how far our start has come; log and count its steps when it is complete."""
        now, caught_up = self.core.clock.now(), self.incarnation.initial_revision is not None
        if self.rejoin.record(now, self.has_worker_list(), caught_up, bool(self.published)):
            step_times = self.rejoin.step_times_ms()
            for step, ms in step_times.items():
                self.host.counters.add(f"comeback.{step}_ms", ms)
            steps = ", ".join(f"{step} after {ms} ms" for step, ms in step_times.items())
            self.log_info(f"store: {self.name}/{self.incarnation} is whole: {steps}")

    def build_description(self) -> dict[str, Any]:
        """The description of this dispatcher for other dispatchers and operators."""
        description = {
            **self.describe(),
            "config": str(self.documents.applied_config),
            "incarnation": str(self.incarnation),
        }
        return description | {"stage": self.stage(), "took": self.rejoin.step_times_ms()}

    def submit(self, op: Operation, done: Callable[[Answer], None]) -> None:
        """Submit one command to the store. `done` gets its answer, and is not called where none is known."""
        member, began_at = self.host.member, self.core.clock.now()

        def on_answer(answer: Answer | Exception) -> None:
            if isinstance(answer, Answer):
                self.note_command_end(None, began_at)
                done(answer)
            else:
                self.note_command_end(answer, began_at)

        self.command_pending = True
        member.submit("", member.rng.getrandbits(53), op, on_answer, began_at, self.command_timeout.limit_ms)

    def note_command_end(self, error: Exception | None, began_at: float) -> None:
        """Note that the pending command or read has an answer, or has failed."""
        self.command_pending = False
        if error is None:
            self.command_timeout.record_answer(self.core.clock.now() - began_at)
        elif isinstance(error, OutcomeUnknown):
            self.host.counters.add("store.command_timeouts")
            self.command_timeout.record_timeout()

    def on_lease_granted(self, answer: Answer) -> None:
        """Publish our description under the lease just granted."""
        if answer.lease:
            self.lease = answer.lease
            self.publish(self.build_description())

    def publish(self, description: dict[str, Any]) -> None:
        """Write our description to the store."""

        def on_written(answer: Answer) -> None:
            if answer.error:
                self.lease = 0  # it has expired while we were cut off
            elif answer.ok:
                self.published = description

        put = Put(f"{LIVE_MEMBERS}{self.name}", orjson.dumps(description), self.lease)
        if not self.is_fenced:
            self.submit(self.incarnation.guard(Transaction([put])), on_written)

    def on_lease_renewed(self, answer: Answer) -> None:
        """Start over with a new lease if ours has expired."""
        if answer.error:
            self.lease, self.published = 0, {}
