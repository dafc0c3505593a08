"""Kept outcomes of jobs that must not run twice, in the store: a resubmission to another dispatcher is not
run again.

A job is claimed by its name before its first byte goes to a worker, and its outcome is put there when it
ends. Who asks for a name that another dispatcher has under way is turned down; one whose dispatcher has gone
hears that the job failed, for it may have run. That costs two commits a job. Without a leader such jobs are
turned down.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.requests import FAILED, Answer, Attempt, Request, Verdict
from eiderpin.fleet import incarnation
from eiderpin.fleet.incarnation import Incarnation
from eiderpin.interface import Outcome
from eiderpin.jobs.ledger import fingerprint
from eiderpin.store import state
from eiderpin.store.host import StoreHost
from eiderpin.store.names import LIVE_MEMBERS

PREFIX = "outcomes/"
BUCKET = 30_000.0  # ms for which outcomes go under one lease
CLAIM_WITHIN = 2000.0  # ms that a claim may take
END_WITHIN = 1000.0  # ms that a result waits at most for its place in the store
MOST_UNSENT = 10_000
AGAIN = 200.0  # ms between tries to get a lease


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """What the store holds of a job: who has it under way, or what came of it."""

    by: str  # dispatcher and its incarnation
    print: bytes  # of target and body
    verdict: str = ""  # empty: under way
    result: bytes = b""


class OutcomeStore:
    """Implements `core.durability.DurableJobManager`. `keep`: ms for which an outcome is kept after a job's
    claim, or a little longer."""

    def __init__(
        self, host: StoreHost, core: Dispatcher, classes: frozenset[str], keep: float, life: Incarnation
    ) -> None:
        """Begin without a lease; no job of `classes` is claimed before there is one."""
        self.host, self.core, self.classes, self.keep, self.life = host, core, classes, keep, life
        self.number = 0
        self.claimed: set[int] = set()  # jobs of ours
        self.unsent: OrderedDict[str, None] = OrderedDict()  # claimed perhaps, and nothing of them was sent
        self.lease_number = 0
        self.renew_lease()

    # -- the lease that outcomes go under

    def renew_lease(self) -> None:
        """Get the lease that the outcomes of the next while go under, and do so again after that."""

        def done(answer: state.Answer | Exception) -> None:
            good = isinstance(answer, state.Answer) and bool(answer.lease)
            if isinstance(answer, state.Answer) and answer.lease:
                self.lease_number = answer.lease
            at = self.core.clock.now() + (BUCKET if good else AGAIN)
            self.core.deadlines.set(at, self.renew_lease)

        self.submit(state.Grant(self.keep + BUCKET), done, CLAIM_WITHIN)

    def submit(
        self, op: state.Operation, done: Callable[[state.Answer | Exception], None], within: float
    ) -> None:
        """Have a command carried out; `done` gets its answer, or why nobody knows one."""
        member = self.host.member
        member.submit("", member.rng.getrandbits(53), op, done, self.core.clock.now(), within)

    @property
    def me(self) -> str:
        """How our claims name us: name and incarnation."""
        return f"{self.life.name}/{self.life}"

    def submit_guarded(
        self, change: state.Transaction, done: Callable[[state.Answer | Exception], None], within: float
    ) -> None:
        """Carried out only while we are the latest process by our name."""
        try:
            change = self.life.guarded(change)
        except ValueError as error:
            done(error)
            return
        self.submit(change, done, within)

    # -- what the core asks

    def covers_class(self, cls: str) -> bool:
        """Whether the outcomes of this class are kept."""
        return cls in self.classes

    def name_of(self, request: Request) -> str:
        """The name of a job's document."""
        return f"{PREFIX}{request.cls}/{request.unique}"

    def claim_of(self, request: Request) -> Claim | None:
        """What the store holds of a job; None: nothing."""
        document = self.host.member.store.get(self.name_of(request))
        try:
            return msgspec.msgpack.decode(document.value, type=Claim) if document is not None else None
        except msgspec.MsgspecError:
            return Claim("", b"")  # somebody else's writing: nobody knows

    def is_mine(self, request: Request) -> bool:
        """Whether it is claimed by us, and has no outcome."""
        claim = self.claim_of(request)
        return claim is not None and claim.by == self.me and not claim.verdict

    def revision(self, name: str) -> int:
        """A document's revision as our member has it; 0: there is none."""
        document = self.host.member.store.get(name)
        return document.revision if document is not None else 0

    def alive(self, by: str) -> bool:
        """Whether the process that a claim names is still the one of its name, and live."""
        name, store = by.rpartition("/")[0], self.host.member.store
        document = store.get(incarnation.PREFIX + name)
        latest = document is not None and incarnation.holds(by, self.life.generation, document.revision)
        return latest and store.get(LIVE_MEMBERS + name) is not None

    def stored_answer(self, request: Request) -> Answer | None:
        """A job's kept answer; None: there is none."""
        claim = self.claim_of(request)
        if claim is None:
            return None
        if claim.print and claim.print != fingerprint(request.target, request.body):
            raise JobMismatchError
        if claim.verdict:
            served = claim.verdict == Verdict.SERVED.value
            return Answer(Verdict.SERVED, claim.result) if served else FAILED
        if claim.by == self.me:
            return None if self.name_of(request) in self.unsent else FAILED
        return None if self.alive(claim.by) else FAILED

    def deliver_stored_answer(self, request: Request, answer: Answer, tell: Callable[[Answer], None]) -> None:
        """Give a kept answer; it is in the store already."""
        tell(answer)

    def accept(self, request: Request) -> bool:
        """Take a job on; whether it is one whose outcome is kept."""
        claim = self.claim_of(request)
        if self.host.member.disk_failed or (claim is not None and claim.by != self.me):
            return False
        self.number += 1
        request.job = self.number
        return True

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        """Call once the job is claimed (True), or cannot be (False)."""
        call(True)

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Claim the job's name before its first byte."""
        request = attempt.request
        if request.job in self.claimed:
            send()
            return
        if not self.lease_number or self.life.claim_state is not incarnation.ClaimState.HELD:
            self.give_up(attempt)
            return
        name = self.name_of(request)
        value = msgspec.msgpack.encode(Claim(self.me, fingerprint(request.target, request.body)))

        # One of ours that may have been left, with nothing sent: it is written anew, so that a removal of it
        # that is still on its way finds another revision.
        left_over = self.revision(name) if name in self.unsent and self.is_mine(request) else 0

        def done(answer: state.Answer | Exception) -> None:
            if not isinstance(answer, state.Answer) or answer.error or not answer.ok:
                self.note_unsent(name)
                if not attempt.ended:
                    self.give_up(attempt)
                return
            if attempt.ended or request.ended:
                self.note_unsent(name)
                return
            self.unsent.pop(name, None)
            self.claimed.add(request.job)
            send()

        put = state.Put(name, value, self.lease_number)
        left = max(50.0, request.deadline - self.core.clock.now())
        claim = state.Transaction([put], [state.Compare(name, left_over)])
        self.submit_guarded(claim, done, min(CLAIM_WITHIN, left))

    def give_up(self, attempt: Attempt) -> None:
        """It can't be claimed, and nothing of it has been sent."""
        self.core.counters.add("outcomes.not_claimed")
        self.core.ended(attempt, Outcome.NOT_SENT)
        self.core.reject(attempt.request)

    def note_unsent(self, name: str) -> None:
        """Nothing of this job went out: its claim may be given back."""
        self.unsent[name] = None
        while len(self.unsent) > MOST_UNSENT:
            self.unsent.popitem(last=False)

    def renew(self, attempt: Attempt) -> None:
        """A claim stands until its end."""

    def released(self, attempt: Attempt, outcome: Outcome) -> None:
        """A claim stands until its job's end."""

    def end(self, request: Request, answer: Answer, told: bool, tell: Callable[[Answer], None]) -> None:
        """Keep a job's outcome, then tell its client."""
        if request.job not in self.claimed:
            tell(answer)
            return
        self.claimed.discard(request.job)
        name = self.name_of(request)
        if answer.verdict is not Verdict.SERVED and not request.may_have_run():
            # It has not run: whoever asks again may have it run, here or elsewhere.
            self.note_unsent(name)
            gone = state.Transaction([state.Delete(name)], [state.Compare(name, self.revision(name))])
            self.submit_guarded(gone, _nobody, CLAIM_WITHIN)
            tell(answer)
            return
        claim = Claim(
            self.me, fingerprint(request.target, request.body), answer.verdict.value, answer.result
        )  # fmt: skip
        put = state.Put(name, msgspec.msgpack.encode(claim), self.lease_number)
        if answer.verdict is not Verdict.SERVED:
            self.submit(state.Transaction([put]), _nobody, CLAIM_WITHIN)
            tell(answer)  # a job that was given up on is answered at once
            return
        guard: Deadline | None = None

        def once(said: state.Answer | Exception | None = None) -> None:
            nonlocal tell
            self.core.deadlines.drop(guard)
            call, tell = tell, _nobody
            call(answer)

        now = self.core.clock.now()
        at = min(now + END_WITHIN, max(now, request.deadline - 5.0))
        guard = self.core.deadlines.set(at, once)
        self.submit(state.Transaction([put]), once, CLAIM_WITHIN)

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        """A result for a job that has ended here; whether it was kept."""
        return False


def _nobody(said: object) -> None:
    """Nobody waits for it."""
