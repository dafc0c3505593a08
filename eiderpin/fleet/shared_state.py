"""What a dispatcher does with the store: it follows the operators' orders for workers, says that it is there,
and knows who else is."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import orjson

from eiderpin.core import learned as carried
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.learned import Learned
from eiderpin.fleet.comeback import RejoinProgress
from eiderpin.fleet.followed_documents import FollowedDocuments
from eiderpin.fleet.incarnation import ClaimState, Incarnation
from eiderpin.store import hints, presence
from eiderpin.store.host import StoreHost
from eiderpin.store.names import CURRENT_CONFIG, LIVE_MEMBERS, OBSERVERS, WORKER_OVERRIDES
from eiderpin.store.presence import LiveDispatchers
from eiderpin.store.raft import Refused
from eiderpin.store.state import Answer, Compacted, Event, Grant, Keep, Operation, Put, Transaction

LEASE = 5000.0  # ms after which a dispatcher that says nothing is no longer counted
KEEP_EVERY = 1000.0
BEGIN_EVERY = (50.0, 150.0)  # ms between tries of a start, drawn from these so that many do not ask in step
WITHIN = 900.0
HINTS_WITHIN = 10_000.0  # ms after our start in which hints of what others have learned are taken
PUBLISH_HINT_INTERVAL_MS = 30_000.0  # ms between our own
MOST_NAMED = 8  # dispatchers that one log line names


class SharedState:
    """`about` tells what others may know of us; a change of it is told within `KEEP_EVERY`."""

    def __init__(
        self, host: StoreHost, core: Dispatcher, name: str, about: Callable[[], dict[str, Any]],
        take_shared: Callable[[bytes], list[str]], say: Callable[[str], None], warn: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Follow the documents, and begin to claim our name."""
        self.host, self.core, self.name, self.about, self.say, self.warn = host, core, name, about, say, warn
        self.documents = FollowedDocuments(core, host.counters, take_shared, say, warn)
        self.live = LiveDispatchers()
        self.hint: tuple[float, Learned] | None = None  # the newest, until the workers are known
        self.hints_until = core.clock.now() + HINTS_WITHIN
        self.learn_at = core.clock.now() + PUBLISH_HINT_INTERVAL_MS
        token = f"{host.member.rng.getrandbits(64):016x}"
        self.incarnation = Incarnation(name, token, host.member.identity.generation)
        self.on_fenced: Callable[[], None] = lambda: None
        self.rejoin = RejoinProgress(core.clock.now())
        self.has_worker_list: Callable[[], bool] = lambda: False
        self.lease = 0
        self.told: dict[str, Any] = {}
        self.busy = False  # a command of ours is on its way
        self.follow(self.incarnation.document, lambda rest, value: None if rest else self.named())
        self.follow(WORKER_OVERRIDES, self.documents.take_order)
        # `CURRENT_CONFIG` itself is what holds; what is named below it is nobody's.
        self.follow(CURRENT_CONFIG, lambda rest, value: None if rest else self.documents.take_config(value))
        self.follow(hints.PREFIX, self.hinted)
        if host.options.listen is not None:
            self.follow(LIVE_MEMBERS, self.met)
            self.follow(OBSERVERS, self.announced)
        self.beat()

    def follow(self, prefix: str, heard: Callable[[str, bytes | None], None]) -> None:
        """Have `heard` called for each document there is and each change; begun anew where events were
        forgotten."""
        store = self.host.member.store
        known = set()
        for document in store.range(prefix, "", 1 << 30):
            known.add(document.name)
            heard(document.name.removeprefix(prefix), document.value)

        def tell(events: list[Event] | None) -> None:
            if events is None:
                now = {d.name for d in self.host.member.store.range(prefix, "", 1 << 30)}
                for name in known - now:
                    heard(name.removeprefix(prefix), None)
                self.follow(prefix, heard)
                return
            for event in events:
                (known.discard if event.value is None else known.add)(event.name)
                heard(event.name.removeprefix(prefix), event.value)

        try:
            self.host.member.watch(prefix, store.revision, tell)
        except (Compacted, Refused) as error:
            self.warn(f"store: {prefix} is not followed: {error}")

    # -- which life of ours this is

    @property
    def is_fenced(self) -> bool:
        """Whether another process has our name."""
        return self.incarnation.claim_state is ClaimState.FENCED

    def our_document(self) -> tuple[bytes | None, int]:
        """What names the latest life by our name, and its revision, as our member has it."""
        document = self.host.member.store.get(self.incarnation.document)
        return (document.value, document.revision) if document is not None else (None, 0)

    def named(self, refused: bool = False) -> None:
        """The document of our name has changed, or our claim of it was `refused`."""
        value, revision = self.our_document()
        if self.incarnation.heard(value, revision, refused):
            self.tell_fenced()

    def tell_fenced(self) -> None:
        """Say once that another process has our name."""
        self.host.counters.add("store.fenced")
        self.warn(f"store: fenced: another process has begun as {self.name}; this one is to be ended")
        self.on_fenced()

    def begin(self) -> None:
        """Claim our incarnation."""
        member, now = self.host.member, self.core.clock.now()

        def read(error: Exception | None) -> None:
            self.busy = False
            if error is None:
                self.incarnation.read(self.our_document()[1])
                self.step()

        def claimed(answer: Answer) -> None:
            self.named(refused=not answer.ok)
            if self.incarnation.claim_state is ClaimState.HELD:
                self.say(f"store: this is {self.name}/{self.incarnation}")
                self.step()  # each step of a start follows the one before at once

        if self.incarnation.seen is None:
            self.busy = True
            member.read(read, now, WITHIN)
        else:
            self.submit(self.incarnation.claim(), claimed)

    # -- what has been learned

    def hinted(self, name: str, value: bytes | None) -> None:
        """What others, or we in an earlier life, knew of the workers: better than guesses, for a start."""
        now = self.core.clock.now()
        if value is None or now > self.hints_until:
            return
        try:
            learned = hints.read(value, now)
        except ValueError as error:
            self.warn(f"store: {hints.PREFIX}{name}: {error}")
            return
        if learned is not None:
            self.hint = now, learned

    def learn(self) -> None:
        """Give a hint that has come to the decisions, and others what we have learned."""
        now = self.core.clock.now()
        if self.hint is not None and self.core.listed:
            self.core.apply_learned(self.hint[1])
            self.hint = None
            self.host.counters.add("store.hints")
        if now < self.learn_at or self.busy or self.incarnation.claim_state is not ClaimState.HELD:
            return
        self.learn_at = now + PUBLISH_HINT_INTERVAL_MS
        value = hints.pack(carried.collect(self.core.module), now)
        if value is not None:
            put = Put(f"{hints.PREFIX}{self.name}", value)
            self.submit(self.incarnation.guarded(Transaction([put])), lambda answer: None)

    # -- who is there

    def met(self, name: str, value: bytes | None) -> None:
        """A dispatcher that is a member has come or gone."""
        self.live.set_member(name, value is not None)
        self.share()

    def announced(self, member: str, value: bytes | None) -> None:
        """A member's observers have changed."""
        try:
            entries = presence.read(value) if value is not None else None
        except msgspec.MsgspecError as error:
            self.warn(f"store: {OBSERVERS}{member} is not followed: {error}")
            return
        self.live.set_announced(member, entries)
        self.share()

    def share(self) -> None:
        """Share the workers with all dispatchers that are live."""
        place = self.live.placement(self.name)
        if place is None or not self.core.share(*place):
            return
        names = self.live.names()
        shown = ", ".join(names[:MOST_NAMED]) + (", ..." if len(names) > MOST_NAMED else "")
        self.say(f"store: {len(names)} dispatchers share the workers: {shown}")

    def beat(self) -> None:
        """Hold our lease, and keep what is said of us true."""
        wait = KEEP_EVERY if self.told or self.is_fenced else self.host.member.rng.uniform(*BEGIN_EVERY)
        self.core.deadlines.set(self.core.clock.now() + wait, self.beat)
        if self.host.replaced and self.incarnation.replaced():
            self.tell_fenced()
        self.learn()
        self.step()

    def step(self) -> None:
        """The next thing that is to be said to the store."""
        self.come_back()
        if self.busy or self.host.member.disk_failed or self.is_fenced:
            return
        if self.incarnation.claim_state is ClaimState.UNKNOWN:
            self.begin()
            return
        about = self.all_about()
        if not self.lease:
            self.submit(Grant(LEASE), self.granted)
        elif about != self.told:
            self.tell(about)
        else:
            self.submit(Keep(self.lease), self.kept)

    def stage(self) -> str:
        """How far our start has come."""
        return self.rejoin.stage(self.core.clock.now()).value

    def come_back(self) -> None:
        """Note how far our start has come, and tell of its end."""
        now, caught_up = self.core.clock.now(), self.incarnation.seen is not None
        if self.rejoin.note(now, self.has_worker_list(), caught_up, bool(self.told)):
            took = self.rejoin.took()
            for step, ms in took.items():
                self.host.counters.add(f"comeback.{step}_ms", ms)
            steps = ", ".join(f"{step} after {ms} ms" for step, ms in took.items())
            self.say(f"store: {self.name}/{self.incarnation} is whole: {steps}")

    def all_about(self) -> dict[str, Any]:
        """What others are told of us."""
        about = {**self.about(), "config": str(self.documents.config), "incarnation": str(self.incarnation)}
        return about | {"stage": self.stage(), "took": self.rejoin.took()}

    def submit(self, op: Operation, done: Callable[[Answer], None]) -> None:
        """Have one command of ours carried out; nothing follows where nobody knows its answer."""

        def answered(answer: Answer | Exception) -> None:
            self.busy = False
            if isinstance(answer, Answer):
                done(answer)

        self.busy = True
        member = self.host.member
        member.submit("", member.rng.getrandbits(53), op, answered, self.core.clock.now(), WITHIN)

    def granted(self, answer: Answer) -> None:
        """Our lease is there: say that we are live."""
        if answer.lease:
            self.lease = answer.lease
            self.tell(self.all_about())

    def tell(self, about: dict[str, Any]) -> None:
        """Put what others may know of us."""

        def done(answer: Answer) -> None:
            if answer.error:
                self.lease = 0  # it has ended while we were cut off
            elif answer.ok:
                self.told = about

        put = Put(f"{LIVE_MEMBERS}{self.name}", orjson.dumps(about), self.lease)
        if not self.is_fenced:
            self.submit(self.incarnation.guarded(Transaction([put])), done)

    def kept(self, answer: Answer) -> None:
        """Our lease was renewed, or has ended."""
        if answer.error:
            self.lease, self.told = 0, {}
