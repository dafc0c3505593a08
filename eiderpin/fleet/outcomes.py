"""Keeps the outcomes of jobs that must not run twice in the store, so that a job resubmitted to another
dispatcher is not run again. Times in ms.

A job's name is claimed in the store before the job's first byte goes to a worker, and its outcome is written
there when it ends. A submission under a name that another dispatcher has under way is rejected; if that
dispatcher is no longer live, the job is answered as failed, for it may have run. This costs two commits per
job. While the store has no leader, such jobs are rejected.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.growing_timeout import GrowingTimeout
from eiderpin.core.requests import FAILED, Answer, Attempt, Request, Verdict
from eiderpin.fleet import incarnation
from eiderpin.fleet.incarnation import Incarnation
from eiderpin.interface import Outcome
from eiderpin.jobs.ledger import fingerprint
from eiderpin.store import state
from eiderpin.store.host import StoreHost
from eiderpin.store.member import OutcomeUnknown
from eiderpin.store.names import LIVE_MEMBERS

DOCUMENT_PREFIX = "outcomes/"
LEASE_BUCKET_MS = 30_000.0  # outcomes of this long a time share one lease
COMMAND_TIMEOUT_MS = 2000.0  # of a command to the store, at first; it grows while the store is slower
MAX_COMMAND_TIMEOUT_MS = 10_000.0
MAX_ANSWER_DELAY_MS = 1000.0  # an answer waits at most this long for its outcome to be stored
MAX_UNSENT_JOBS = 10_000
LEASE_RETRY_MS = 200.0


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """What the store holds of a job: who has it under way, or its outcome."""

    by: str  # NAME/INCARNATION of the dispatcher
    print: bytes  # fingerprint of target and body
    verdict: str = ""  # empty: under way
    result: bytes = b""


class OutcomeStore:
    """Implements `core.durability.DurableJobManager` on the store.

    Args:
        host: Runs the store's member.
        core: The dispatcher.
        classes: The classes of jobs whose outcomes are kept.
        keep_ms: How long an outcome is kept after the job's claim, at least; up to `LEASE_BUCKET_MS` longer.
        own_incarnation: The incarnation of this dispatcher.
    """

    def __init__(
        self,
        host: StoreHost,
        core: Dispatcher,
        classes: frozenset[str],
        keep_ms: float,
        own_incarnation: Incarnation,
    ) -> None:
        """Start without a lease; no job of `classes` is claimed before there is one."""
        self.host, self.core, self.classes, self.keep_ms, self.own_incarnation = (
            host, core, classes, keep_ms, own_incarnation
        )  # fmt: skip
        self.last_job = 0  # number of the last job accepted
        self.claimed_jobs: set[int] = set()  # numbers of the jobs that this dispatcher has claimed
        self.unsent_names: OrderedDict[str, None] = OrderedDict()  # may be claimed, but nothing was sent
        self.lease_id = 0  # of the lease for new outcomes; 0: none yet
        self.command_timeout = GrowingTimeout(COMMAND_TIMEOUT_MS, MAX_COMMAND_TIMEOUT_MS)
        self.renew_lease()

    # -- the lease of the outcomes

    def renew_lease(self) -> None:
        """Get a new lease for the outcomes of the next `LEASE_BUCKET_MS`; schedules itself again."""

        def on_granted(answer: state.Answer | Exception) -> None:
            granted = isinstance(answer, state.Answer) and bool(answer.lease)
            if isinstance(answer, state.Answer) and answer.lease:
                self.lease_id = answer.lease
            at = self.core.clock.now() + (LEASE_BUCKET_MS if granted else LEASE_RETRY_MS)
            self.core.deadlines.set(at, self.renew_lease)

        self.submit(state.Grant(self.keep_ms + LEASE_BUCKET_MS), on_granted)

    def submit(
        self,
        op: state.Operation,
        done: Callable[[state.Answer | Exception], None],
        time_left_ms: float = math.inf,
    ) -> None:
        """Submit a command to the store. `done` gets its answer, or why none is known by the time limit or
        after `time_left_ms`, whichever comes first."""
        member, began_at = self.host.member, self.core.clock.now()
        timeout_ms = min(self.command_timeout.limit_ms, time_left_ms)

        def on_answer(answer: state.Answer | Exception) -> None:
            if isinstance(answer, state.Answer):
                self.command_timeout.record_answer(self.core.clock.now() - began_at)
            elif isinstance(answer, OutcomeUnknown) and timeout_ms == self.command_timeout.limit_ms:
                self.command_timeout.record_timeout()  # once for all calls that were made under this limit
            done(answer)

        member.submit("", member.rng.getrandbits(53), op, on_answer, began_at, timeout_ms)

    @property
    def claimant(self) -> str:
        """How claims name this process: NAME/INCARNATION."""
        return f"{self.own_incarnation.name}/{self.own_incarnation}"

    def submit_guarded(
        self,
        change: state.Transaction,
        done: Callable[[state.Answer | Exception], None],
        time_left_ms: float = math.inf,
    ) -> None:
        """Submit a change that is carried out only while we are the latest incarnation of our name."""
        try:
            change = self.own_incarnation.guard(change)
        except ValueError as error:
            done(error)
            return
        self.submit(change, done, time_left_ms)

    # -- DurableJobManager

    def covers_class(self, cls: str) -> bool:
        """Whether the outcomes of this class are kept."""
        return cls in self.classes

    def document_name(self, request: Request) -> str:
        """The name of a job's document in the store."""
        return f"{DOCUMENT_PREFIX}{request.cls}/{request.unique}"

    def read_claim(self, request: Request) -> Claim | None:
        """What the local member holds of a job; None: nothing."""
        document = self.host.member.store.get(self.document_name(request))
        try:
            return msgspec.msgpack.decode(document.value, type=Claim) if document is not None else None
        except msgspec.MsgspecError:
            return Claim("", b"")  # unreadable: the claimant is unknown

    def is_own_claim(self, request: Request) -> bool:
        """Whether this process has claimed the job, and the job has no outcome."""
        claim = self.read_claim(request)
        return claim is not None and claim.by == self.claimant and not claim.verdict

    def current_revision(self, name: str) -> int:
        """The revision of a document at the local member; 0: it does not exist."""
        document = self.host.member.store.get(name)
        return document.revision if document is not None else 0

    def is_live(self, claimant: str) -> bool:
        """Whether the process that a claim names is live and still the latest incarnation of its name."""
        name, store = claimant.rpartition("/")[0], self.host.member.store
        document = store.get(incarnation.DOCUMENT_PREFIX + name)
        latest = document is not None and incarnation.is_latest_incarnation(
            claimant, self.own_incarnation.generation, document.revision
        )
        return latest and store.get(LIVE_MEMBERS + name) is not None

    def stored_answer(self, request: Request) -> Answer | None:
        """The answer that follows from a job's claim; None: there is none.

        Raises:
            JobMismatchError: A job of this name asked for something else.
        """
        claim = self.read_claim(request)
        if claim is None:
            return None
        if claim.print and claim.print != fingerprint(request.target, request.body):
            raise JobMismatchError
        if claim.verdict:
            served = claim.verdict == Verdict.SERVED.value
            return Answer(Verdict.SERVED, claim.result) if served else FAILED
        if claim.by == self.claimant:
            return None if self.document_name(request) in self.unsent_names else FAILED
        return None if self.is_live(claim.by) else FAILED

    def deliver_stored_answer(self, request: Request, answer: Answer, tell: Callable[[Answer], None]) -> None:
        """Deliver a stored answer at once; nothing about its delivery needs to be written."""
        tell(answer)

    def accept(self, request: Request) -> bool:
        """Accept a job, unless the disk has failed or another process has claimed it. Returns whether it was
        accepted."""
        claim = self.read_claim(request)
        if self.host.member.disk_failed or (claim is not None and claim.by != self.claimant):
            return False
        self.last_job += 1
        request.job = self.last_job
        return True

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        """Call at once with True: accepting a job writes nothing that would have to be waited for."""
        call(True)

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Claim the job's name, then call `send`. If it cannot be claimed, end the attempt as not sent and
        reject the request."""
        request = attempt.request
        if request.job in self.claimed_jobs:
            send()
            return
        if not self.lease_id or self.own_incarnation.claim_state is not incarnation.ClaimState.HELD:
            self.reject_unclaimed(attempt)
            return
        name = self.document_name(request)
        value = msgspec.msgpack.encode(Claim(self.claimant, fingerprint(request.target, request.body)))

        # Our own earlier claim of this name may still stand, with nothing sent. Writing it anew changes its
        # revision, so that a delete of it that is still on its way has no effect.
        earlier_revision = (
            self.current_revision(name) if name in self.unsent_names and self.is_own_claim(request) else 0
        )

        def on_claimed(answer: state.Answer | Exception) -> None:
            if not isinstance(answer, state.Answer) or answer.error or not answer.ok:
                self.note_unsent(name)
                if not attempt.ended:
                    self.reject_unclaimed(attempt)
                return
            if attempt.ended or request.ended:
                self.note_unsent(name)
                return
            self.unsent_names.pop(name, None)
            self.claimed_jobs.add(request.job)
            send()

        put = state.Put(name, value, self.lease_id)
        time_left = max(50.0, request.deadline - self.core.clock.now())
        claim = state.Transaction([put], [state.Compare(name, earlier_revision)])
        self.submit_guarded(claim, on_claimed, time_left)

    def reject_unclaimed(self, attempt: Attempt) -> None:
        """Reject a job that cannot be claimed; nothing of it has been sent."""
        self.core.counters.add("outcomes.not_claimed")
        self.core.ended(attempt, Outcome.NOT_SENT)
        self.core.reject(attempt.request)

    def note_unsent(self, name: str) -> None:
        """Note that nothing of this job was sent, so that a resubmission may claim its name and run it."""
        self.unsent_names[name] = None
        while len(self.unsent_names) > MAX_UNSENT_JOBS:
            self.unsent_names.popitem(last=False)

    def renew(self, attempt: Attempt) -> None:
        """Do nothing: a claim needs no renewal by the worker's progress."""

    def released(self, attempt: Attempt, outcome: Outcome) -> None:
        """Do nothing: a claim stands until the job ends, not the attempt."""

    def end(self, request: Request, answer: Answer, told: bool, tell: Callable[[Answer], None]) -> None:
        """Store a job's outcome and deliver its answer: a result after it is stored, within
        `MAX_ANSWER_DELAY_MS`, anything else at once."""
        if request.job not in self.claimed_jobs:
            tell(answer)
            return
        self.claimed_jobs.discard(request.job)
        name = self.document_name(request)
        if answer.verdict is not Verdict.SERVED and not request.may_have_run():
            # The job has not run: the claim is deleted, so that a resubmission may run it here or elsewhere.
            self.note_unsent(name)
            delete = state.Transaction(
                [state.Delete(name)], [state.Compare(name, self.current_revision(name))]
            )
            self.submit_guarded(delete, _ignore_answer)
            tell(answer)
            return
        claim = Claim(
            self.claimant, fingerprint(request.target, request.body), answer.verdict.value, answer.result
        )  # fmt: skip
        put = state.Put(name, msgspec.msgpack.encode(claim), self.lease_id)
        if answer.verdict is not Verdict.SERVED:
            self.submit(state.Transaction([put]), _ignore_answer)
            tell(answer)  # a failed job is answered without waiting for the store
            return
        guard: Deadline | None = None

        def deliver_once(stored: state.Answer | Exception | None = None) -> None:
            nonlocal tell
            self.core.deadlines.drop(guard)
            call, tell = tell, _ignore_answer
            call(answer)

        now = self.core.clock.now()
        at = min(now + MAX_ANSWER_DELAY_MS, max(now, request.deadline - 5.0))
        guard = self.core.deadlines.set(at, deliver_once)
        self.submit(state.Transaction([put]), deliver_once)

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        """Ignore a worker's report on a job that has ended here. Returns False: it was not kept."""
        return False


def _ignore_answer(answer: object) -> None:
    """Ignore an answer that nothing waits for."""
