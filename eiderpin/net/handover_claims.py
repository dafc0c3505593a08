"""The claims to jobs that an old process and its successor exchange over their link; see `core.peer_jobs`."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from eiderpin.core.moves import TransferredRequest, adopt_resubmittable, take_out_resubmittable
from eiderpin.core.peer_jobs import Move, Peer
from eiderpin.core.requests import Answer, Request, ResponseSink
from eiderpin.core.retained_answers import RetainedAnswer
from eiderpin.core.run_once_ids import JobKey
from eiderpin.net import handover_messages as messages
from eiderpin.net.handover_messages import Document, Message
from eiderpin.policy.run_once_records import RETENTION_MS

if TYPE_CHECKING:
    from eiderpin.net.handover_link import Link

JOBS_PER_MESSAGE = 500
MAX_COPIED_BYTES = 256 * 1024  # of results in one message


def _bounded(jobs: list[tuple[JobKey, float]]) -> list[tuple[JobKey, float]]:
    """Return jobs with times that a message may tell: that of an open job, or a minute at most."""
    return [(job, left if math.isinf(left) else min(left, RETENTION_MS)) for job, left in jobs]


class PeerWaiter:
    """Passes the answer to a job of ours on to the peer process whose claim to it we refused."""

    def __init__(self, channel: ClaimChannel, number: int) -> None:
        self.channel, self.number = channel, number

    def answer(self, request: Request, answer: Answer) -> None:
        """Send the final answer."""
        self.channel.link.send(messages.ClaimAnswered(self.number, answer, request.may_have_run()))
        self.channel.jobs.on_answered(self.channel.peer, self.number)

    def progress(self, request: Request, share: float) -> None:
        """Send which share of the job is done, from 0 to 1."""
        self.channel.link.send(messages.ClaimProgress(self.number, share))

    def forward_data(self, request: Request, data: bytes, warning: bool) -> None:
        """Send partial data, or a warning, from the worker."""
        self.channel.link.send(messages.ClaimData(self.number, data, warning))

    def has_left(self) -> bool:
        """Whether the link is closed."""
        return self.channel.link.conn.closed


@dataclass(slots=True, frozen=True)
class PendingMove:
    """A job that was sent and is neither adopted nor refused yet."""

    move: Move
    document: Document  # a `TransferredRequest`


class ClaimChannel:
    """The claims and moves of jobs over one link, once both processes have said hello.

    Args:
        ids: ids of the peer's requests, from its hello.
        takes_claims: whether the peer's version knows of claims.
        takes_used_ids: whether it knows of ids that are used.
    """

    def __init__(self, link: Link, ids: set[str], takes_claims: bool, takes_used_ids: bool = True) -> None:
        self.link, self.core = link, link.handover.core
        self.jobs = link.handover.peer_jobs
        self.peer = Peer(self, not link.is_predecessor, takes_claims, ids, takes_used_ids=takes_used_ids)
        self.pending_moves: dict[int, PendingMove] = {}
        self.unmovable: set[Request] = set()  # the peer has refused them
        self.jobs.add(self.peer)

    # -- what `core.peer_jobs` sends

    def tell_jobs(self, jobs: list[tuple[JobKey, float]]) -> None:
        """Tell the peer of jobs that must not begin there."""
        for first in range(0, len(jobs), JOBS_PER_MESSAGE):
            self.link.send(messages.Jobs(_bounded(jobs[first : first + JOBS_PER_MESSAGE])))

    def tell_used_ids(self, jobs: list[tuple[JobKey, float]]) -> None:
        """Tell the peer of ids that are used here, or not any more."""
        for first in range(0, len(jobs), JOBS_PER_MESSAGE):
            self.link.send(messages.UsedIds(_bounded(jobs[first : first + JOBS_PER_MESSAGE])))

    def claim(self, number: int, job: JobKey, background: bool) -> None:
        """Claim a job that was submitted here."""
        self.link.send(messages.ClaimJob(number, job, background))

    def withdraw(self, number: int) -> None:
        """Wait no longer for the answer to a claimed job."""
        self.link.send(messages.ClaimWithdrawn(number))

    def grant(self, number: int) -> None:
        """Tell the peer that we do not have the job that it claims."""
        self.link.send(messages.ClaimGranted(number))

    def refuse_claim(self, number: int) -> None:
        """Tell the peer that we have the job that it claims; the answer follows."""
        self.link.send(messages.ClaimRefused(number))

    def waiter(self, number: int) -> ResponseSink:
        """Return a waiter that passes the answer to the job of a refused claim on to the peer."""
        return PeerWaiter(self, number)

    def release(self, job: JobKey, must_not_rerun: bool) -> None:
        """Tell the peer that a job has ended here, and whether it must still not run elsewhere."""
        self.link.send(messages.JobReleased(job, must_not_rerun))

    # -- what the peer sends

    def handle_message(self, message: Message) -> None:
        """Handle a message about claims, or an answer to a move. Raises `ValueError` or `KeyError`."""
        match message:
            case messages.Jobs(jobs):
                self.jobs.on_jobs(self.peer, jobs)
            case messages.UsedIds(jobs):
                self.jobs.on_used_ids(self.peer, jobs)
            case messages.ClaimJob(number, job, background):
                self.jobs.on_claim(self.peer, number, job, background)
            case messages.ClaimGranted(number):
                self.jobs.on_granted(self.peer, number)
            case messages.ClaimRefused(number):
                self.jobs.on_refused(self.peer, number)
            case messages.ClaimAnswered(number, answer, may_have_run):
                self.jobs.on_answer(self.peer, number, answer, may_have_run)
            case messages.ClaimProgress() | messages.ClaimData():
                self.pass_on_progress(message)
            case messages.ClaimWithdrawn(number):
                self.jobs.on_withdrawn(self.peer, number)
            case messages.JobReleased(job, must_not_rerun):
                self.jobs.on_released(self.peer, job, must_not_rerun)
            case messages.CopiedAnswers(answers):
                self.retain_copies(answers)
            case messages.MoveJob():
                self.link.confirm(message.number, self.adopt_job(message))
            case messages.Adopted(number):
                self.jobs.on_moved(self.peer, self.pending_moves.pop(number).move)
            case messages.Refused(number):
                self.take_back(number)
            case _:
                raise ValueError("unknown message")

    def pass_on_progress(self, message: messages.ClaimProgress | messages.ClaimData) -> None:
        """Pass what the peer tells of a running job on to the clients that wait for it here."""
        request = self.jobs.waiting_request(self.peer, message.number)
        if request is None:
            return
        for waiter in request.waiters:
            if isinstance(message, messages.ClaimData):
                waiter.forward_data(request, message.data, message.warning)
            else:
                waiter.progress(request, message.share)
        if isinstance(message, messages.ClaimProgress):
            request.share = max(request.share, message.share)

    # -- copies of retained answers

    def copy_answers(self) -> None:
        """Send retained answers that the peer does not know, unless the link is still busy."""
        if self.link.conn.unsent:
            return
        now = self.core.clock.now()
        copies = [
            messages.CopiedAnswer(
                job, retained.answer, min(retained.until - now, RETENTION_MS), retained.single_use_id
            )
            for job, retained in self.jobs.answers_to_copy(self.peer, MAX_COPIED_BYTES)
        ]
        if copies:
            self.link.send(messages.CopiedAnswers(copies))

    def retain_copies(self, copies: list[messages.CopiedAnswer]) -> None:
        """Retain answers that the peer retains."""
        now = self.core.clock.now()
        self.jobs.on_copied(
            self.peer,
            [(copy.job, RetainedAnswer(copy.answer, now + copy.left, copy.single_use_id)) for copy in copies],
        )

    # -- moves of jobs

    def move_jobs(self) -> None:
        """Move jobs to the peer, our successor, whose clients can submit them again."""
        if not self.peer.takes_claims:
            return
        for request in self.core.requests.all():
            if request in self.unmovable:
                continue
            moved = take_out_resubmittable(self.core, request)
            if moved is None:
                continue
            move, document = self.jobs.begin_move(self.peer, request), asdict(moved)
            self.pending_moves[move.number] = PendingMove(move, document)
            self.link.send(messages.MoveJob(move.number, document, move.waits, request.background))

    def adopt_job(self, message: messages.MoveJob) -> bool:
        """Continue a job of the peer here; return whether that is possible."""
        try:
            moved = TransferredRequest(**message.job)
            request = adopt_resubmittable(
                self.core, moved, lambda: self.jobs.placeholder_of(self.peer, (moved.cls, moved.unique)),
                message.background,
            )  # fmt: skip
        except (ValueError, TypeError, AttributeError):
            return False
        self.jobs.on_adopted(self.peer, message.number, request, message.waits)
        request.abandoned = not request.may_start_attempt
        return True

    def take_back(self, number: int) -> None:
        """Continue here with a job that the peer refused or has not adopted."""
        pending = self.pending_moves.pop(number)
        request = pending.move.request
        self.unmovable.add(request)
        if self.jobs.take_back(self.peer, pending.move):
            adopt_resubmittable(
                self.core, TransferredRequest(**pending.document), lambda: request, request.background
            )

    def is_idle(self) -> bool:
        """Return whether nothing is left to send or to be answered before this process may exit."""
        return not (self.pending_moves or self.peer.uncopied or self.link.conn.unsent)

    def close(self) -> None:
        """Go on without the peer."""
        for number in list(self.pending_moves):
            self.take_back(number)
        self.jobs.remove(self.peer)
