"""What this process knows of the jobs of its peer processes, while an upgrade lets several run at once.

A client may submit its job again to any of them. So that the job does not run twice, a process begins one
only when each peer process has granted its claim to it, and a process that has the job itself does not grant
it. From then on the peers know who has the job. The one that was refused waits for the answer of the one that
has it. When a peer process is gone, its jobs may still run at workers: those that must not run twice count as
failed from then on.

Jobs of a job manager are not covered: they have an owner by other means. All times are in milliseconds.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from eiderpin.core import request_log
from eiderpin.core.requests import FAILED, Answer, Request, ResponseSink, Verdict
from eiderpin.core.retained_answers import MAX_RETAINED_ANSWERS, RetainedAnswer
from eiderpin.core.run_once_ids import JobKey, RunOnceIds, stored_key
from eiderpin.policy.run_once_records import RETENTION_MS

if TYPE_CHECKING:
    from eiderpin.core.dispatcher import Dispatcher


class PeerChannel(Protocol):
    """The way to one peer process. Numbers are those of the claims of whoever made them."""

    def tell_jobs(self, jobs: list[tuple[JobKey, float]]) -> None:
        """Tell the peer of jobs that must not begin there.

        Each has the time in ms for which that holds, or infinity while it is open.
        """
        ...

    def claim(self, number: int, job: JobKey, background: bool) -> None:
        """Claim a job that was submitted here."""
        ...

    def withdraw(self, number: int) -> None:
        """Wait no longer for the answer to a claimed job."""
        ...

    def grant(self, number: int) -> None:
        """Tell the peer that we do not have the job that it claims."""
        ...

    def refuse_claim(self, number: int) -> None:
        """Tell the peer that we have the job that it claims; the answer follows."""
        ...

    def waiter(self, number: int) -> ResponseSink:
        """Return a waiter that passes the answer to the job of a refused claim on to the peer."""
        ...

    def release(self, job: JobKey, must_not_rerun: bool) -> None:
        """Tell the peer that a job has ended here, and whether it must still not run elsewhere."""
        ...

    def tell_used_ids(self, jobs: list[tuple[JobKey, float]]) -> None:
        """Tell the peer of jobs whose ids belong to one request only, and for how many ms their ids count as
        used: infinity while they are open, 0 if they may be used again."""
        ...


class JobsOfPeer:
    """The jobs that a peer process has, and those that ended there and must not run elsewhere for a while."""

    def __init__(self) -> None:
        self._open: set[JobKey] = set()
        self._run_once = RunOnceIds()  # ended there; they must never run again
        # Of the ended jobs that may run again, until when the peer's answer is to be used; oldest first.
        self._repeatable: OrderedDict[JobKey, float] = OrderedDict()

    def add(self, job: JobKey) -> None:
        """Note that the peer has a job."""
        self.remove(job)
        self._open.add(stored_key(job))

    def add_ended(self, job: JobKey, until: float, now: float, must_not_rerun: bool) -> None:
        """Note that a job has ended at the peer, and must not run elsewhere until this time."""
        key = stored_key(job)
        self._open.discard(key)
        self._repeatable.pop(key, None)
        if must_not_rerun:
            self._run_once.expire(now)
            self._run_once.add(job, until)
            return
        self._run_once.remove(key)
        self._repeatable[key] = until
        if len(self._repeatable) > MAX_RETAINED_ANSWERS:
            self._repeatable.popitem(last=False)

    def remove(self, job: JobKey) -> None:
        """Note that the peer does not have the job, and knows no answer to it."""
        key = stored_key(job)
        self._open.discard(key)
        self._repeatable.pop(key, None)
        self._run_once.remove(key)

    def has(self, job: JobKey, now: float) -> bool:
        """Return whether the job must not run elsewhere."""
        key = stored_key(job)
        if key in self._open or self._run_once.find(key, now) is not None:
            return True
        return self._repeatable.get(key, -math.inf) > now

    def items(self, now: float) -> list[tuple[JobKey, float]]:
        """Return all jobs, each with the time until which it must not run elsewhere; open ones last."""
        run_once = ((job, group.until) for job, group in self._run_once.items(now))
        repeatable = ((job, until) for job, until in self._repeatable.items() if until > now)
        return [*repeatable, *run_once, *((job, math.inf) for job in self._open)]

    def record_bytes(self, now: float) -> int:
        """Return the memory that the records of ended jobs take which must not run again."""
        self._run_once.expire(now)
        return self._run_once.size_bytes


@dataclass(slots=True, eq=False)
class Peer:
    """A peer process, and what it has."""

    channel: PeerChannel
    is_newer: bool  # it is our successor; else our predecessor
    takes_claims: bool  # False: its version knows of no claims
    ids: set[
        str
    ]  # of its requests whose id belongs to one request only; of all requests if it takes no claims
    jobs: JobsOfPeer = field(default_factory=JobsOfPeer)
    # Its jobs that must not run again, and whose ids belong to one request only.
    used_ids: JobsOfPeer = field(default_factory=JobsOfPeer)
    takes_used_ids: bool = True  # False: its version does not know of them
    # By the number of its claim, the request of ours that it waits for.
    waiters: dict[int, tuple[Request, ResponseSink]] = field(default_factory=dict)
    uncopied: deque[JobKey] = field(default_factory=deque)  # retained here, and not known there yet


@dataclass(slots=True, eq=False)
class Claim:
    """A claim to a request's job, until it is granted by all peers or the job's answer has come."""

    number: int
    request: Request
    asked: set[Peer] = field(default_factory=set)
    granted: set[Peer] = field(default_factory=set)
    holder: Peer | None = None  # the peer that has said that it has the job


@dataclass(slots=True, eq=False)
class Move:
    """A request on its way to a peer process, until the peer has adopted or refused it."""

    number: int  # of the claim by which clients here wait for its answer
    request: Request
    peer_waiters: dict[int, tuple[Request, ResponseSink]]  # clients of that peer that waited for it here
    waits: bool  # clients here waited for its answer when it was sent


def job_of(request: Request) -> JobKey:
    """Return the key of a request's job."""
    return request.cls, request.unique


class PeerJobs:
    """The jobs of all peer processes, and the claims that are made by them and by us."""

    def __init__(self, core: Dispatcher) -> None:
        self.core = core
        self._peers: list[Peer] = []
        self._claims: dict[int, Claim] = {}
        self._claims_by_request: dict[Request, Claim] = {}
        self._last_number = 0
        core.records.peer_bytes = self.record_bytes

    def next_number(self) -> int:
        """Return the number of the next message that a peer answers."""
        self._last_number += 1
        return self._last_number

    # -- peers

    def add(self, peer: Peer) -> None:
        """Note a peer process, and tell it of the jobs that must not begin there."""
        if peer.takes_claims:
            jobs = [*self._own_jobs(), *(job for other in self._peers for job in self._jobs_left(other))]
            peer.channel.tell_jobs(jobs)
            if self.core.records.keeps_results:
                peer.uncopied.extend(self.core.records.retained.jobs_with_answers())
        if peer.takes_used_ids:
            peer.channel.tell_used_ids(self._own_used_ids())
        self._peers.append(peer)

    def _own_used_ids(self) -> list[tuple[JobKey, float]]:
        """Return our jobs, and those of the other peers, as `PeerChannel.tell_used_ids` wants them."""
        now = self.core.clock.now()
        used = [
            (job, retained.until - now)
            for job, retained in self.core.records.retained.items(now)
            if retained.single_use_id and self._must_not_rerun(job)
        ]
        used += [
            (job_of(r), math.inf) for r in self.core.requests.all() if self._has_used_id(r) and not r.ended
        ]
        others = (entry for other in self._peers for entry in other.used_ids.items(now))
        return used + [(job, until - now) for job, until in others]

    def _has_used_id(self, request: Request) -> bool:
        """Return whether a request's job must not run again, and its id belongs to it only."""
        return bool(request.unique) and request.single_use_id and self._must_not_rerun(job_of(request))

    def _tell_used_id(self, request: Request, left: float) -> None:
        """Tell all peers that an id is used for so many ms."""
        for peer in self._peers:
            if peer.takes_used_ids:
                peer.channel.tell_used_ids([(job_of(request), left)])

    def on_used_ids(self, peer: Peer, jobs: list[tuple[JobKey, float]]) -> None:
        """Note ids that the peer or its other peer has used."""
        now = self.core.clock.now()
        for job, left in jobs:
            if left <= 0:
                peer.used_ids.remove(job)
            elif left < math.inf:
                until = self._record_until(job, now + left, single_use_id=True)
                peer.used_ids.add_ended(job, until, now, must_not_rerun=True)
            else:
                peer.used_ids.add(job)
            peer.ids.discard(job[1])
        for other in self._peers:
            if other is not peer and other.takes_used_ids:
                other.channel.tell_used_ids(jobs)

    def on_handed_over(self, peer: Peer, job: JobKey) -> None:
        """Note that a request whose id belongs to it only is on its way to the peer, or goes on there."""
        if self._must_not_rerun(job):
            peer.used_ids.add(job)

    def on_taken_back(self, peer: Peer, job: JobKey) -> None:
        """Note that such a request goes on here."""
        peer.used_ids.remove(job)

    def _own_jobs(self) -> Iterator[tuple[JobKey, float]]:
        """Return our jobs that must not begin elsewhere, as `PeerChannel.tell_jobs` wants them."""
        now = self.core.clock.now()
        for job, retained in self.core.records.retained.items(now):
            if not retained.single_use_id:
                yield job, retained.until - now
        for request in self.core.requests.all():
            if request.is_resubmittable and not request.ended and not request.job:
                yield job_of(request), math.inf

    def _jobs_left(self, peer: Peer) -> Iterator[tuple[JobKey, float]]:
        """Return the jobs of a peer, as `PeerChannel.tell_jobs` wants them."""
        now = self.core.clock.now()
        return ((job, until - now) for job, until in peer.jobs.items(now))

    def _others(self, peer: Peer) -> list[Peer]:
        """Return the other peers that take claims: they can't hear of this peer's jobs but from us."""
        return [other for other in self._peers if other is not peer and other.takes_claims]

    def _record_until(self, job: JobKey, told_until: float, single_use_id: bool) -> float:
        """Return until when to remember a job that has ended at a peer.

        A peer tells of at most the last `RETENTION_MS` of that time; what goes before depends on the class.
        """
        if job[0] not in self.core.classes:
            return told_until
        return told_until + self.core.records.retention_ms(job[0], single_use_id) - RETENTION_MS

    def on_jobs(self, peer: Peer, jobs: list[tuple[JobKey, float]]) -> None:
        """Note jobs that must not begin here, as the peer tells them."""
        now = self.core.clock.now()
        for job, left in jobs:
            if left < math.inf:
                until = self._record_until(job, now + left, single_use_id=False)
                peer.jobs.add_ended(job, until, now, self._must_not_rerun(job))
            else:
                peer.jobs.add(job)
            peer.ids.discard(job[1])
        for other in self._others(peer):
            other.channel.tell_jobs(jobs)

    def remove(self, peer: Peer) -> None:
        """Go on without a peer process: it has ended, or cannot be reached any more."""
        if peer not in self._peers:
            return
        self._peers.remove(peer)
        for request, waiter in list(peer.waiters.values()):
            self.core.detach(request, waiter)  # its client may submit the job again to us
        now = self.core.clock.now()
        for job, until in peer.jobs.items(now):
            self._retain_as_failed(job, until, single_use_id=False)
        for job, until in peer.used_ids.items(now):
            self._retain_as_failed(job, until, single_use_id=True)
        self.core.records.retained.drop_excess(now)
        for claim in list(self._claims.values()):
            self._forget_peer(claim, peer)

    def _retain_as_failed(self, job: JobKey, until: float, single_use_id: bool) -> None:
        """Keep a job of a peer that is gone from running here, if it must not run twice."""
        now = self.core.clock.now()
        if single_use_id and self.core.open_request(job) is not None:
            return  # it goes on here
        if not self._must_not_rerun(job):
            return
        if self.core.records.retained.ids.find(job, now) is None:
            self.core.counters.add("in.peer_jobs_lost")
        until = min(until, now + self.core.records.retention_ms(job[0], single_use_id))
        self.core.records.retained.ids.add(job, until, single_use_id)

    def _forget_peer(self, claim: Claim, peer: Peer) -> None:
        """Go on with a claim after a peer is gone, which may have had its job."""
        request = claim.request
        has_job = claim.holder is peer or peer.jobs.has(job_of(request), self.core.clock.now())
        claim.asked.discard(peer)
        claim.granted.discard(peer)
        if claim.holder is peer:
            claim.holder = None
        if has_job and self._must_not_rerun(job_of(request)):
            self._end(claim, FAILED, may_have_run=True)
        else:
            self._advance(claim)

    def _must_not_rerun(self, job: JobKey) -> bool:
        """Return whether a job of this class must not run again once it may have run."""
        return self.core.records.must_not_rerun(job[0])

    def _holder_of(self, job: JobKey, other_than: Peer | None = None) -> Peer | None:
        """Return the peer that has the job, or None."""
        now = self.core.clock.now()
        return next((p for p in self._peers if p is not other_than and p.jobs.has(job, now)), None)

    # -- our claims

    def has_id(self, request: Request) -> bool:
        """Return whether a peer has used this request's id, which belonged to the peer's request only."""
        now = self.core.clock.now()
        job = job_of(request)
        return any(request.unique in peer.ids or peer.used_ids.has(job, now) for peer in self._peers)

    def claim(self, request: Request) -> bool:
        """Claim the job of a request that was accepted here; return whether it has to wait for the peers.

        If not, it may begin at once, or it has been answered.
        """
        if not request.unique or not self._peers:
            return False
        if self._has_used_id(request):
            self._tell_used_id(request, math.inf)
        if not request.is_resubmittable and self._holder_of(job_of(request)) is None:
            return False
        if self._is_known_without_claims(request):
            self.core.wait_for_peer(request)
            self.core.end_by_peer(request, FAILED, may_have_run=True)
            return True
        if not any(peer.takes_claims for peer in self._peers):
            return False
        self.core.wait_for_peer(request)
        self._advance(self._add_claim(request))
        return True

    def _is_known_without_claims(self, request: Request) -> bool:
        """Return whether a peer that takes no claims has a job of this id, which must not run twice.

        Such a peer can't tell its answer, nor the class.
        """
        return self._must_not_rerun(job_of(request)) and any(
            not peer.takes_claims and request.unique in peer.ids for peer in self._peers
        )

    def _advance(self, claim: Claim) -> None:
        """Ask whoever is to be asked next for a claim; begin the request once all peers have granted it."""
        request = claim.request
        holder = claim.holder or self._holder_of(job_of(request))
        to_ask = [holder] if holder is not None else [p for p in self._peers if p.takes_claims]
        for peer in to_ask:
            if peer not in claim.asked:
                claim.asked.add(peer)
                self.core.counters.add("out.claims")
                peer.channel.claim(claim.number, job_of(request), request.background)
        if holder is None and claim.granted >= claim.asked:
            self._remove_claim(claim)
            self.core.begin(request)

    def on_granted(self, peer: Peer, number: int) -> None:
        """The peer does not have the job of this claim."""
        claim = self._claims.get(number)
        if claim is None or peer not in claim.asked:
            return
        claim.granted.add(peer)
        peer.jobs.remove(job_of(claim.request))
        if claim.holder is peer:
            claim.holder = None
        self._advance(claim)

    def on_refused(self, peer: Peer, number: int) -> None:
        """The peer has the job of this claim, and will tell its answer."""
        claim = self._claims.get(number)
        if claim is None or peer not in claim.asked:
            return
        claim.holder = peer
        peer.jobs.add(job_of(claim.request))
        self.core.counters.add("in.joined_at_peer")
        request_log.request_event("the peer process has this job", claim.request, logging.INFO)
        if not claim.request.waiters:  # in the background: the peer knows that now, and nobody waits here
            self._remove_claim(claim)
            self.core.end_by_peer(claim.request, None, may_have_run=False)

    def on_answer(self, peer: Peer, number: int, answer: Answer, may_have_run: bool) -> None:
        """The job of this claim has ended at the peer."""
        claim = self._claims.get(number)
        if claim is not None and peer is claim.holder:
            self._end(claim, answer, may_have_run)

    def waiting_request(self, peer: Peer, number: int) -> Request | None:
        """Return the request that waits for the answer to this claim from the peer."""
        claim = self._claims.get(number)
        return claim.request if claim is not None and claim.holder is peer else None

    def withdraw(self, request: Request) -> None:
        """Give up the claim of a request that ends without the peers' answer."""
        claim = self._claims_by_request.get(request)
        if claim is not None:
            self._remove_claim(claim)
            for peer in claim.asked:
                peer.channel.withdraw(claim.number)

    def _end(self, claim: Claim, answer: Answer, may_have_run: bool) -> None:
        self._remove_claim(claim)
        self.core.end_by_peer(claim.request, answer, may_have_run)

    def _add_claim(self, request: Request) -> Claim:
        claim = Claim(self.next_number(), request)
        self._claims[claim.number] = self._claims_by_request[request] = claim
        return claim

    def _remove_claim(self, claim: Claim) -> None:
        del self._claims[claim.number], self._claims_by_request[claim.request]

    # -- the peers' claims

    def on_claim(self, peer: Peer, number: int, job: JobKey, background: bool) -> None:
        """Grant or refuse a peer's claim."""
        self.core.counters.add("in.claims")
        request = self.core.open_request(job)
        if request is not None and self._yields_to(peer, request):
            request = None
        retained = self.core.records.retained.get(job, self.core.clock.now())
        if request is None and retained is None and self._holder_of(job, other_than=peer) is not None:
            request = self._relay(job, background)
        if request is None and retained is None:
            peer.jobs.add(job)
            for other in self._others(peer):
                other.channel.tell_jobs([(job, math.inf)])
            peer.channel.grant(number)
            return
        peer.channel.refuse_claim(number)
        waiter = peer.channel.waiter(number)
        if request is not None:
            peer.waiters[number] = request, waiter
            self.core.add_waiter(request, waiter, background)
        elif retained is not None:
            waiter.answer(Request(*job, b"", b"", 0.0, may_have_run_at_peer=True), retained.answer)
            if self.core.records.renew(job):
                self.tell_renewal(job)

    def _yields_to(self, peer: Peer, request: Request) -> bool:
        """Return whether the peer goes first where both of us claim a job at the same time.

        The newer process does, since it lives longer.
        """
        claim = self._claims_by_request.get(request)
        if claim is None or claim.holder not in (None, peer) or peer in claim.granted:
            return False
        return claim.holder is peer or (peer.is_newer and peer in claim.asked)

    def _relay(self, job: JobKey, background: bool) -> Request | None:
        """Return a request that stands here for one of a peer process which another peer has."""
        spec = self.core.classes.get(job[0])
        if spec is None:
            return None
        deadline = self.core.clock.now() + spec.deadline
        return self.core.submit(Request(*job, b"", b"", deadline, background=background, is_relay=True), None)

    def on_withdrawn(self, peer: Peer, number: int) -> None:
        """The peer waits no longer for the answer to its claim."""
        request, waiter = peer.waiters.pop(number, (None, None))
        if request is not None and waiter is not None:
            self.core.detach(request, waiter)

    def on_answered(self, peer: Peer, number: int) -> None:
        """The peer has been told the answer to its claim."""
        peer.waiters.pop(number, None)

    def on_released(self, peer: Peer, job: JobKey, must_not_rerun: bool) -> None:
        """A job has ended at the peer, or was submitted again there after its end."""
        now = self.core.clock.now()
        if must_not_rerun and peer.jobs.has(job, now) and job[0] in self.core.classes:
            until = now + self.core.records.retention_ms(job[0], False)
            peer.jobs.add_ended(job, until, now, self._must_not_rerun(job))
        else:
            peer.jobs.remove(job)
            if must_not_rerun:
                self.core.records.renew(job)
        for other in self._others(peer):
            other.channel.release(job, must_not_rerun)

    # -- ends, and their answers

    def tell_renewal(self, job: JobKey) -> None:
        """Tell the peers that a job which has ended here was submitted again: they remember it, too."""
        for peer in self._peers:
            if peer.takes_claims:
                peer.channel.release(job, True)

    def record_bytes(self, now: float) -> int:
        """Return the memory that the records of the peers' ended jobs take which must not run again."""
        return sum(p.jobs.record_bytes(now) + p.used_ids.record_bytes(now) for p in self._peers)

    def note_end(self, request: Request) -> None:
        """Tell the peers that a request has ended here, once its answer is retained."""
        job = job_of(request)
        now = self.core.clock.now()
        retained = self.core.records.retained.get(job, now)
        is_retained = retained is not None
        if self._has_used_id(request):
            self._tell_used_id(request, retained.until - now if retained is not None else 0.0)
        for peer in self._peers:
            if request.is_resubmittable and peer.takes_claims:
                peer.channel.release(job, is_retained)
            if (
                retained is not None
                and retained.answer.verdict is Verdict.SERVED
                and self.core.records.keeps_results
            ):
                peer.uncopied.append(job)

    def answers_to_copy(self, peer: Peer, max_bytes: int) -> Iterator[tuple[JobKey, RetainedAnswer]]:
        """Return retained answers that the peer does not know, about `max_bytes` of results at most."""
        now = self.core.clock.now()
        while peer.uncopied and max_bytes > 0:
            job = peer.uncopied.popleft()
            retained = self.core.records.retained.get(job, now)
            if retained is not None and retained.answer.verdict is Verdict.SERVED:
                max_bytes -= len(retained.answer.result)
                yield job, retained

    def on_copied(self, peer: Peer, answers: Iterable[tuple[JobKey, RetainedAnswer]]) -> None:
        """Retain answers of a peer here, too."""
        for job, retained in answers:
            peer.jobs.remove(job)
            until = self._record_until(job, retained.until, retained.single_use_id)
            retained = replace(retained, until=until)
            self.core.records.retained.add(
                job, retained, self.core.clock.now(), self._must_not_rerun(job), is_delivered=False
            )
            request = self.core.open_request(job)
            claim = self._claims_by_request.get(request) if request is not None else None
            if claim is not None:
                self._end(claim, retained.answer, may_have_run=True)

    # -- moves

    def begin_move(self, peer: Peer, request: Request) -> Move:
        """Let a request wait here for the peer that is to continue it.

        Clients of the peer that wait for it here will wait for it there.
        """
        peer_waiters = {n: entry for n, entry in peer.waiters.items() if entry[0] is request}
        for number, (_, waiter) in peer_waiters.items():
            request.waiters.remove(waiter)
            del peer.waiters[number]
        # Until the peer has adopted it, a client that leaves must not end a job that must not run twice.
        request.may_have_run_at_peer = request.may_have_run()
        self.core.move_to_peer(request)
        claim = self._add_claim(request)
        claim.asked.add(peer)
        claim.holder = peer
        return Move(claim.number, request, peer_waiters, bool(request.waiters))

    def on_moved(self, peer: Peer, move: Move) -> None:
        """The peer continues the request of a move."""
        request = move.request
        peer.jobs.add(job_of(request))
        claim = self._claims_by_request.get(request)
        if claim is None:
            return  # it has ended here meanwhile
        request.may_have_run_at_peer = False
        if not request.waiters:
            self._remove_claim(claim)
            self.core.hand_off(request)
            if move.waits:
                peer.channel.withdraw(move.number)
        elif not move.waits:
            claim.asked.clear()  # somebody has begun to wait since
            self._advance(claim)

    def take_back(self, peer: Peer, move: Move) -> bool:
        """Note that a move did not take place; return whether its request goes on here."""
        claim = self._claims_by_request.get(move.request)
        if claim is None:
            return False
        self._remove_claim(claim)
        move.request.may_have_run_at_peer = False
        if peer in self._peers:
            for number, (request, waiter) in move.peer_waiters.items():
                peer.waiters[number] = request, waiter
                request.waiters.append(waiter)
        return True

    def placeholder_of(self, peer: Peer, job: JobKey) -> Request | None:
        """Return our request that waits for a job which the peer moves to us, and let it wait no longer."""
        request = self.core.open_request(job)
        claim = self._claims_by_request.get(request) if request is not None else None
        if request is None or claim is None or claim.holder not in (None, peer) or request.single_use_id:
            return None
        self._remove_claim(claim)
        return request

    def on_adopted(self, peer: Peer, number: int, request: Request, waits: bool) -> None:
        """Note that a request of the peer goes on here; `waits`: clients there wait for its answer."""
        peer.jobs.remove(job_of(request))
        if waits:
            waiter = peer.channel.waiter(number)
            peer.waiters[number] = request, waiter
            self.core.add_waiter(request, waiter, background=False)
