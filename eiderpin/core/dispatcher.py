"""The dispatcher's state machine: requests, attempts and endpoints.

Fronts and worker links report what happens. Their reports are queued as events for the decision module, and
the actions that it returns are carried out through the worker links. All times are in milliseconds.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from eiderpin import decide
from eiderpin import interface as api
from eiderpin.core import learned, request_log
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadline, Deadlines
from eiderpin.core.durability import DurableJobManager, JobMismatchError
from eiderpin.core.invariants import must
from eiderpin.core.job_records import JobRecords
from eiderpin.core.learned import Learned
from eiderpin.core.request_log import EndReason
from eiderpin.core.requests import (
    FAILED,
    Answer,
    Attempt,
    Endpoint,
    Request,
    ResponseSink,
    Verdict,
    WorkerLink,
)
from eiderpin.core.retained_answers import RetainedAnswer
from eiderpin.core.run_once_ids import JobKey
from eiderpin.core.shutdown import MAX_STALL_MS
from eiderpin.core.slot_table import SlotTable, TableFull
from eiderpin.policy import departed_workers

if TYPE_CHECKING:
    from eiderpin.core.peer_jobs import PeerJobs

# Before a client's deadline its answer has to be on its way, so that it arrives in time.
ANSWER_MARGIN_MS = 15.0
# The last part of a worker's drain grace goes unused: the process may stall between the check and the write.
DRAIN_GRACE_MARGIN_MS = MAX_STALL_MS + 50.0
DEPARTED_CHECK_INTERVAL_MS = 10_000.0  # between checks for workers that left the list long ago
DEFAULT_RETRY_WAIT_MS = 500.0  # advised to a rejected client where the decision module names no wait


class RequestIdInUseError(Exception):
    """The request id is in use by another request whose id may be given only once."""


class WorkerOverrides(Protocol):
    """Operators' overrides for workers, which take precedence over what the sources of workers report."""

    def apply(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        """Return the worker's entry with the operators' overrides applied."""
        ...


class ListSource(Protocol):
    """A source of workers whose list has to be requested."""

    def watch(self) -> None:
        """Start a watch, unless one is active or being requested.

        Its lists, and its failure, are reported through `Dispatcher.apply_worker_list`.
        """
        ...


class Dispatcher:
    """Owns all requests and endpoints, and passes each batch of events to the decision module."""

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, deadlines: Deadlines, counters: Counters
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.deadlines = deadlines
        self.counters = counters
        self.module = decide.Dispatcher(settings, seed)
        self.classes = {c.name: c for c in settings.classes}
        self.requests: SlotTable[Request] = SlotTable()
        self.endpoints: dict[str, Endpoint] = {}
        self.listed = False  # whether any list of workers has been received
        self._by_unique: dict[tuple[str, str], Request] = {}
        self._by_wire_id: dict[str, Request] = {}
        self.records = JobRecords(self.classes, clock)
        self._next_departed_check_at = 0.0
        self._last_wire_number = 0
        self.peer_jobs: PeerJobs | None = None  # None: no other process can run beside this one
        self.job_manager: DurableJobManager | None = None  # None: no class of jobs is durable
        self.overrides: WorkerOverrides | None = None  # None: operators cannot override workers here
        self.source: ListSource | None = None  # None: lists arrive without being requested
        self.on_request_freed: Callable[[Request], None] = _ignore_request  # it and its attempts have ended
        self.outstanding = 0  # requests that were accepted and have not ended
        self.answers_by = math.inf  # when the last answer is due, once the process is shutting down
        self._events: list[api.Event] = []
        self._timers: dict[int, Deadline] = {}

    # -- from the fronts

    def submit(self, request: Request, waiter: ResponseSink | None) -> Request:
        """Accept a request; `waiter` is given its answer.

        A resubmission joins the job of the same class and id that is running, or gets its retained answer; it
        never runs the job again. Returns the request that will be answered, which is the running one for a
        resubmission.

        Raises `RequestIdInUseError` if the id is in use and the new request's id may be given only once:
        joining would give this client the answer to another client's request, and running it would show a
        worker one id for two requests. Raises `JobMismatchError` if a durable job of this id has another
        target or body.
        """
        now = self.clock.now()
        job_key = (request.cls, request.unique)
        self.counters.add("in.requests")
        # With no time left no durable job is begun: the decision module refuses the request at once.
        takes_on = self.is_durable(request.cls) and now < self.answers_by
        job_manager = self.job_manager if takes_on else None
        if job_manager is None:
            self._bound_deadline(request)
        if request.unique:
            open_request = self._by_unique.get(job_key)
            retained = self.records.retained.get(job_key, now)
            is_taken = (
                open_request.single_use_id
                if open_request is not None
                else retained is not None and retained.single_use_id
            )
            if request.single_use_id and (is_taken or self._is_id_used_elsewhere(request, open_request)):
                raise RequestIdInUseError
            if job_manager is not None and open_request is None:
                answer = job_manager.stored_answer(request)
                retained = RetainedAnswer(answer, now, False) if answer is not None else None
            if open_request is not None:
                is_same_job = open_request.body == request.body and open_request.target == request.target
                if job_manager is not None and not is_same_job:
                    raise JobMismatchError
                self.counters.add("in.joined")
                if waiter is not None:
                    self._join(open_request, request, waiter)
                open_request.background = open_request.background or request.background
                return open_request
            if retained is not None:
                self._note_resubmission(request, retained)
                request.ended = True
                if waiter is not None and job_manager is not None:
                    job_manager.deliver_stored_answer(
                        request, retained.answer, lambda answer: waiter.answer(request, answer)
                    )
                elif waiter is not None:
                    waiter.answer(request, retained.answer)
                return request
        if waiter is not None:
            request.waiters.append(waiter)
        if job_manager is None and not self.records.has_room_for(request):
            request.not_accepted = True
            self.counters.add("in.no_record_room")
            self._finish(request, self.rejection(self.records.ms_until_room()), EndReason.NO_RECORD_ROOM)
            return request
        try:
            request.id = self.requests.add(request)
        except TableFull:
            request.not_accepted = True
            self._finish(request, self.rejection(math.inf), EndReason.NO_ROOM)
            return request
        self.outstanding += 1
        request_log.request_event("a request is accepted", request, bytes=request.size)
        request.backstop = self._start_backstop(request)
        if job_manager is not None:
            self._register_wire_id(request)
            if not job_manager.accept(request):
                self._reject_not_durable(request)
                return request
        self._register_unique(request)
        if job_manager is not None or self.peer_jobs is None or not self.peer_jobs.claim(request):
            self.begin(request)
        return request

    def _note_resubmission(self, request: Request, retained: RetainedAnswer) -> None:
        """Note that a job was submitted again after its end: its client may come once more."""
        self.counters.add("in.kept")
        if retained.answer.verdict is not Verdict.SERVED:
            self.counters.add("in.kept_failed")
            request_log.request_event("submitted again, and not run again", request, logging.INFO)
        job = (request.cls, request.unique)
        if self.records.renew(job) and self.peer_jobs is not None:
            self.peer_jobs.tell_renewal(job)

    def _register_unique(self, request: Request) -> None:
        """Let resubmissions find an open request, if its client gave it an id."""
        if request.unique and self._by_unique.get((request.cls, request.unique)) is not request:
            self._by_unique[request.cls, request.unique] = request
            self.records.count_open(request)

    def _forget_unique(self, request: Request) -> bool:
        """Let resubmissions no longer find a request; return whether they did."""
        if not request.unique or self._by_unique.get((request.cls, request.unique)) is not request:
            return False
        del self._by_unique[request.cls, request.unique]
        self.records.count_closed(request)
        return True

    # -- how a request begins

    def _is_id_used_elsewhere(self, request: Request, open_request: Request | None) -> bool:
        """Return whether a request of another class, or of a peer process, has this request's id."""
        if open_request is None and request.unique in self._by_wire_id:
            return True
        return self.peer_jobs is not None and self.peer_jobs.has_id(request)

    def begin(self, request: Request) -> None:
        """Pass an accepted request on to the decision module."""
        if request.is_relay:
            self._finish(request, self.rejection(), EndReason.AT_PEER)
            return
        self._wait_for_peer(request, False)
        if not request.wire_id:  # a durable job's is registered before
            self._register_wire_id(request)
        self._events.append(self.decision_request(request))

    def _register_wire_id(self, request: Request) -> None:
        """Give a request the id that workers see, by which their callbacks find it."""
        request.wire_id = self._assign_wire_id(request.unique)
        self._by_wire_id[request.wire_id] = request

    def is_durable(self, cls: str) -> bool:
        """Return whether jobs of this class survive the end of the process."""
        return self.job_manager is not None and self.job_manager.covers_class(cls)

    def decision_request(self, request: Request) -> api.Request:
        """Return the event that describes the request to the decision module."""
        return api.Request(
            request.id,
            request.cls,
            request.deadline - ANSWER_MARGIN_MS - self.clock.now(),
            request.slots,
            request.memory,
            request.tenant,
            request.key,
            request.hint,
            request.client_retry,
            request.priority,
            nobody_waits=request.background and not request.waiters,
        )

    # -- shutdown

    def limit_deadlines(self, latest: float) -> None:
        """Bound the deadlines of all requests, present and future, by `latest`: the process is shutting down.

        Durable jobs keep their deadlines, because they continue after a restart.
        """
        self.answers_by = min(self.answers_by, latest)
        now = self.clock.now()
        for request in self.requests.all():
            if request.ended or request.job or not self._bound_deadline(request):
                continue
            self.deadlines.drop(request.backstop)
            request.backstop = self._start_backstop(request)
            for attempt in request.attempts:
                self._bound_attempt(attempt)
            self._events.append(api.DeadlineMoved(request.id, request.deadline - ANSWER_MARGIN_MS - now))

    def _bound_deadline(self, request: Request) -> bool:
        """Bound a request's deadline by the process's last answers; return whether that made it earlier."""
        if request.deadline <= self.answers_by:
            return False
        request.deadline = self.answers_by
        request.cut_short = True
        return True

    def _bound_attempt(self, attempt: Attempt) -> None:
        """Bound an attempt's timeout by its request's deadline."""
        left = attempt.request.deadline - attempt.made_at
        if attempt.ended or attempt.timeout <= left:
            return
        attempt.timeout = left
        self.deadlines.drop(attempt.expiry)
        self._start_timeout(attempt)

    def answer_waiter(self, request: Request, waiter: ResponseSink) -> None:
        """Answer one waiting client because the process ends before its request does.

        A client that can resubmit the job is rejected, so that it asks again. Any other is told that the
        request failed, since it may have run.
        """
        if waiter in request.waiters:
            request.waiters.remove(waiter)
        request.background = request.background or bool(request.job)
        request_log.request_event("answered as the process ends", request, logging.INFO)
        waiter.answer(request, self.rejection() if request.is_resubmittable else FAILED)

    def _start_backstop(self, request: Request) -> Deadline:
        """Schedule the answer that a request gets if nothing else answers it by its deadline."""
        if request.waits_for_peer:
            at = request.deadline - ANSWER_MARGIN_MS
            return self.deadlines.set(at, lambda: self._end_wait_for_peer(request))
        return self.deadlines.set(request.deadline, lambda: self._answer_overdue(request))

    def add_waiter(self, request: Request, waiter: ResponseSink, background: bool) -> None:
        """Let one more client wait for a request, or note that it continues in the background."""
        self.counters.add("in.joined")
        request.waiters.append(waiter)
        request.background = request.background or background

    def _join(self, request: Request, joining: Request, waiter: ResponseSink) -> None:
        """Let the client of a resubmission wait for the request that is already running.

        Its own deadline may be earlier than that request's, and it is answered by then.
        """

        def answer_overdue() -> None:
            if waiter in request.waiters:
                request.waiters.remove(waiter)
                self.counters.add("answer.joined_overdue")
                waiter.answer(
                    request, self.rejection() if joining.cut_short and joining.is_resubmittable else FAILED
                )

        request.waiters.append(waiter)
        if joining.deadline < request.deadline:
            self.deadlines.set(joining.deadline - ANSWER_MARGIN_MS, answer_overdue)

    def _assign_wire_id(self, unique: str) -> str:
        """Return the id that workers see: the client's own if it is unused and fits a header and a path."""
        fits = 0 < len(unique) <= 128 and unique.isascii() and unique.isprintable() and " " not in unique
        if fits and "/" not in unique and unique not in self._by_wire_id:
            return unique
        self._last_wire_number += 1
        return f"e{self._last_wire_number:x}-{int(self.clock.now()):x}"

    def leave(self, request: Request, waiter: ResponseSink) -> None:
        """Note that a waiting client has disconnected; a request that nobody waits for is cancelled."""
        if waiter in request.waiters:
            request.waiters.remove(waiter)
        if request.ended or request.waiters or request.background or request.abandoned:
            return
        self.counters.add("in.clients_gone")
        self._events.append(api.RequestGone(request.id))
        self._finish(request, None, EndReason.CLIENT_LEFT)

    def reject(self, request: Request) -> None:
        """Reject an accepted request that could not be stored durably; nothing of it has been sent yet."""
        if not request.ended:
            self._events.append(api.RequestGone(request.id))
            self._reject_not_durable(request)

    def _reject_not_durable(self, request: Request) -> None:
        """Answer with a rejection since the request could not be stored durably."""
        self.counters.add("in.not_durable")
        self._finish(request, self.rejection(), EndReason.NOT_DURABLE)

    def detach(self, request: Request, waiter: ResponseSink) -> None:
        """Note that a waiting client has disconnected but may resubmit the job.

        This does the same as `leave`, except that attempts of a job that must not run twice are left running,
        so that a resubmission can join them; no further attempt starts meanwhile. A durable job continues.
        """
        repeat = self.classes[request.cls].repeat
        begun = request.may_have_run() and repeat is not api.Repeat.FREE
        if request.unique and not request.ended:
            request.background = request.background or bool(request.job)
            request.abandoned = begun and not request.job
        self.leave(request, waiter)

    # -- from the worker links

    def apply_worker_list(
        self,
        link: WorkerLink,
        kind: api.ListKind,
        workers: Iterable[tuple[api.WorkerEntry, object]],
        by_discovery: bool = False,
    ) -> None:
        """Update the endpoints from a list by one source of workers, each with its address.

        A complete list covers the workers of its own source only. A stored list comes from the source that
        requests the current list from discovery next, and nothing is sent by it before discovery has
        answered.
        """
        now = self.clock.now()
        listed: list[api.WorkerEntry] = []
        names = set()
        for source_entry, address in workers:
            worker = self.overrides.apply(source_entry) if self.overrides is not None else source_entry
            endpoint = self.endpoints.get(worker.name)
            if endpoint is None:
                endpoint = self.endpoints[worker.name] = Endpoint(worker, address, link)
            endpoint.source_entry = source_entry
            self._update_endpoint(endpoint, worker, address, now)
            names.add(worker.name)
            listed.append(worker)
        if kind in (api.ListKind.COMPLETE, api.ListKind.STORED):
            for endpoint in self.endpoints.values():
                if endpoint.link is link and endpoint.name not in names:
                    if endpoint.listed.state is not api.WorkerState.GONE:
                        gone = replace(endpoint.listed, state=api.WorkerState.GONE)
                        self._update_endpoint(endpoint, gone, endpoint.address, now)
                elif endpoint.link is not link:
                    listed.append(endpoint.listed)
        self.listed = True
        is_stored = kind is api.ListKind.STORED
        self._events.append(api.Membership(kind, listed, by_discovery, is_to_be_confirmed=is_stored))
        self._forget_departed(now)

    def _forget_departed(self, now: float) -> None:
        """Forget the workers that have left the list and that the decision module has forgotten."""
        if now < self._next_departed_check_at:
            return
        self._next_departed_check_at = now + DEPARTED_CHECK_INTERVAL_MS
        departed = [e for e in self.endpoints.values() if self._is_departed(e, now)]
        for endpoint in departed:
            del self.endpoints[endpoint.name]

    def _is_departed(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a worker left the list long ago; a front forgets its own when they leave."""
        if endpoint.is_listed or endpoint.withdrawn_at is None or endpoint.listed.classes is not None:
            return False
        is_long_ago = endpoint.withdrawn_at <= now - departed_workers.DEPARTED_RETENTION_MS
        return is_long_ago and endpoint.name not in self.module.workers

    def list_call_failed(self, late_call_ms: float | None) -> None:
        """Note that a call to discovery has failed, or that it began so many ms ago and is late."""
        self._events.append(api.Membership(api.ListKind.FAILED, late_call_ms=late_call_ms))

    def list_source_changed(self, link: WorkerLink) -> None:
        """Note that another discovery is asked from now on, which has to confirm the workers of this link."""
        listed = [endpoint.listed for endpoint in self.endpoints.values() if endpoint.link is link]
        self._events.append(api.Membership(api.ListKind.UNCONFIRMED, listed))

    def reapply_overrides(self, names: Iterable[str]) -> None:
        """Update the workers of these names, whose overrides have changed."""
        changed = []
        for name in names:
            endpoint = self.endpoints.get(name)
            if (
                endpoint is None
                or endpoint.source_entry is None
                or not endpoint.is_listed
                or self.overrides is None
            ):
                continue
            worker = self.overrides.apply(endpoint.source_entry)
            if worker != endpoint.listed:
                self._update_endpoint(endpoint, worker, endpoint.address, self.clock.now())
                changed.append(worker)
        if changed:
            self._events.append(api.Membership(api.ListKind.CHANGES, changed, by_discovery=False))

    def share(self, instances: int, instance: int) -> bool:
        """Set the number of dispatchers that share the workers, and this one's number among them, from 0.

        Returns whether either has changed.
        """
        if (self.settings.instances, self.settings.instance) == (instances, instance):
            return False
        self.settings.instances, self.settings.instance = instances, instance
        return True

    def _update_endpoint(
        self, endpoint: Endpoint, worker: api.WorkerEntry, address: object, now: float
    ) -> None:
        """Set an endpoint's worker and address, and inform its link."""
        endpoint.listed, endpoint.address = worker, address
        if worker.state is api.WorkerState.IN_SERVICE:
            endpoint.withdrawn_at = None
        elif endpoint.withdrawn_at is None:
            endpoint.withdrawn_at = now
        endpoint.link.endpoint_changed(endpoint)

    def may_begin(self, attempt: Attempt) -> bool:
        """Return whether the first byte of an attempt may be written now.

        Every link asks this just before that byte, however long it took to get there. An attempt may begin if
        somebody still waits for the request, the worker still accepts new work, and the decision module still
        agrees: it checks the repeat window, the deadline, and which other attempts may have run.
        """
        request, now = attempt.request, self.clock.now()
        if attempt.ended or not request.may_start_attempt or self.all_waiters_left(request):
            return False
        grace = self.settings.drain_grace - DRAIN_GRACE_MARGIN_MS
        if not attempt.endpoint.accepts_sends(now, grace):
            self.counters.add("out.late.drained")
            return False
        if not self.module.may_begin(request.id, attempt.number, now):
            self.counters.add("out.late.overtaken")
            return False
        return True

    def time_left(self, attempt: Attempt) -> float:
        """Return for how long, in ms, a worker may run this attempt so that its answer is still in time."""
        until = min(attempt.made_at + attempt.timeout, attempt.request.deadline - ANSWER_MARGIN_MS)
        return until - self.clock.now()

    def all_waiters_left(self, request: Request) -> bool:
        """Return whether all waiting clients have disconnected, even if that has not been processed yet.

        After a stall of the process, the events that are ready in one turn of the event loop are not always
        processed in the order in which they occurred. Always false for a durable or background request, which
        needs no waiting client.
        """
        if request.background or request.job or not all(w.has_left() for w in request.waiters):
            return False
        self.counters.add("out.late.deserted")
        return True

    def written(self, attempt: Attempt) -> None:
        """Note that an attempt has been written in full: from now on it may have run."""
        attempt.may_have_run = True
        self.counters.add("out.attempts")
        request_log.attempt_event("an attempt is out whole", attempt)

    def ended(
        self, attempt: Attempt, outcome: api.Outcome, result: bytes = b"", stale: bool = False,
        report: api.Report | None = None,
    ) -> None:  # fmt: skip
        """Note how an attempt ended; the first result of a request goes to its waiting clients.

        `stale`: it failed on a stale idle connection, which does not count against the worker.
        `report`: the load that the worker reported with its answer.
        """
        if attempt.ended:
            return
        attempt.ended = True
        self.deadlines.drop(attempt.expiry)
        if outcome.never_ran:
            attempt.may_have_run = False
        self.counters.add(f"out.ended.{outcome.value}")
        request = attempt.request
        request_log.attempt_event(
            "an attempt has ended",
            attempt,
            outcome=outcome.value,
            ms=round(self.clock.now() - attempt.made_at, 1),
        )
        if request.job and self.job_manager is not None:
            self.job_manager.released(attempt, outcome)
        if outcome is api.Outcome.DONE and not request.ended:
            self._finish(request, Answer(Verdict.SERVED, result), EndReason.RESULT)
        elif request.is_deserted and all(attempt.ended for attempt in request.attempts):
            # Its client has disconnected, so no further attempt will start.
            self._finish(request, None, EndReason.CLIENT_LEFT)
        self._events.append(
            api.AttemptEnded(
                request.id, attempt.number, attempt.endpoint.name, outcome,
                self.clock.now() - attempt.made_at, request.ended, report, stale,
            )
        )  # fmt: skip
        self._free_slot(request)

    def progress(self, attempt: Attempt, started: bool, share: float = 0.0) -> None:
        """Note that a worker has started an attempt, or else that `share` of it (0 to 1) is done."""
        if attempt.ended:
            return
        attempt.accepted = True
        request = attempt.request
        if request.job and self.job_manager is not None:
            self.job_manager.renew(attempt)
        self._events.append(api.Progress(request.id, attempt.number, attempt.endpoint.name, started, share))
        if share > request.share and not request.ended:
            request.share = share
            for waiter in request.waiters:
                waiter.progress(request, share)

    def forward_data(self, attempt: Attempt, data: bytes, warning: bool) -> None:
        """Pass a worker's partial data to the fronts of the waiting clients."""
        for waiter in attempt.request.waiters:
            waiter.forward_data(attempt.request, data, warning)

    def probed(self, endpoint: Endpoint, ok: bool, elapsed: float, report: api.Report | None = None) -> None:
        """Note the result of a probe; `elapsed` is in ms."""
        self.counters.add("out.probe.answered" if ok else "out.probe.failed")
        self._events.append(api.ProbeEnded(endpoint.name, ok, elapsed, report))

    # -- the peer process during an upgrade

    def add_event(self, event: api.Beside | api.Adopted | api.Request | api.RequestGone) -> None:
        """Queue an event for the decision module.

        It tells what the peer process holds, or that a request moves between processes or is recovered from
        the ledger.
        """
        self._events.append(event)

    def apply_learned(self, estimates: Learned) -> None:
        """Pass on what another process has learned of workers, after all events queued so far."""
        self.decide()
        learned.apply_to(self.module, estimates)

    def wait_for_peer(self, request: Request) -> None:
        """Let an accepted request wait for the peer processes: one of them may have its job."""
        self._wait_for_peer(request, True)

    def _wait_for_peer(self, request: Request, waits: bool) -> None:
        if request.waits_for_peer is not waits:
            request.waits_for_peer = waits
            self.deadlines.drop(request.backstop)
            request.backstop = self._start_backstop(request)

    def _end_wait_for_peer(self, request: Request) -> None:
        """Answer a request whose deadline comes while it waits for a peer process.

        The job goes on there. Where only the end of this process has made the deadline so early, the client
        is to submit its job again.
        """
        may_resubmit = request.cut_short and request.is_resubmittable
        self._finish(request, self.rejection() if may_resubmit else FAILED, EndReason.OVERDUE_AT_PEER)

    def end_by_peer(self, request: Request, answer: Answer | None, may_have_run: bool) -> None:
        """End a request that waits for a peer process with the answer of that one, or without any."""
        request.may_have_run_at_peer = may_have_run
        self._finish(request, answer, EndReason.AT_PEER)

    def move_to_peer(self, request: Request) -> None:
        """Let a request wait for a peer process that continues it, with its attempts."""
        self._drop_attempts(request)
        request.attempts = []
        self._forget_wire_id(request)
        request.wire_id = ""
        self.wait_for_peer(request)
        self.counters.add("out.requests_moved")

    def _drop_attempts(self, request: Request) -> None:
        """Forget the attempts of a request that another process continues; they are not cancelled."""
        for attempt in request.attempts:
            attempt.ended = True
            self.deadlines.drop(attempt.expiry)

    def hand_off(self, request: Request) -> None:
        """Drop a request that another process continues.

        Its clients are not answered here, and its attempts are not cancelled.
        """
        request.ended = True
        request.waiters.clear()
        self.outstanding -= 1
        self.deadlines.drop(request.backstop)
        self._drop_attempts(request)
        if not request.waits_for_peer:  # else it was counted when it began to wait
            self.counters.add("out.requests_moved")
        self._forget_unique(request)
        self._free_slot(request)

    def take_over(self, request: Request, waiter: ResponseSink | None) -> None:
        """Accept a request that another process held, with its attempts; it may have waited for that here.

        Raises `ValueError` if its id is in use here, and `TableFull` if there is no room for it.
        """
        job_key = (request.cls, request.unique)
        if request.unique and self._by_unique.get(job_key, request) is not request:
            raise ValueError("the request's id is in use in this process")
        if request.wire_id in self._by_wire_id:
            raise ValueError("the request's id at workers is in use in this process")
        if request.id < 0:
            request.id = self.requests.add(request)
            self.outstanding += 1
        self.counters.add("in.requests_moved")
        request.waits_for_peer = False
        self.deadlines.drop(request.backstop)
        if waiter is not None:
            request.waiters.append(waiter)
        if not request.job:  # a durable job continues after the end of the process
            self._bound_deadline(request)
        request.backstop = self._start_backstop(request)
        self._register_unique(request)
        self._by_wire_id[request.wire_id] = request
        for attempt in request.attempts:
            if not attempt.ended:
                self._start_timeout(attempt)

    def _start_timeout(self, attempt: Attempt) -> None:
        """Schedule the timeout of an attempt."""
        at = attempt.made_at + attempt.timeout
        attempt.expiry = self.deadlines.set(at, lambda: self._time_out(attempt))

    def request_of(self, wire_id: str) -> Request | None:
        """Return the request that workers know by this id, until it has ended and so have its attempts."""
        return self._by_wire_id.get(wire_id)

    def open_request(self, job: JobKey) -> Request | None:
        """Return the open request of a job, by its class and the id that its client gave it."""
        return self._by_unique.get(job)

    def request_by_unique(self, unique: str) -> Request | None:
        """Return the running request that its client submitted with this id, in whichever class."""
        return next((found for cls in self.classes if (found := self._by_unique.get((cls, unique)))), None)

    def late_result(self, request: Request, result: bytes) -> None:
        """Use the result of an attempt that had been counted as ended."""
        if not request.ended:
            self._events.append(api.RequestGone(request.id))
            self._finish(request, Answer(Verdict.SERVED, result), EndReason.LATE_RESULT)
            return
        retained = self.records.retained.get((request.cls, request.unique), self.clock.now())
        if request.unique and retained is not None and retained.answer == FAILED:
            # The request has been answered as failed, but a resubmission can still get the result.
            self.records.retain(request, Answer(Verdict.SERVED, result), is_delivered=False)

    # -- the decision module

    def decide(self) -> None:
        """Pass the queued events to the decision module and perform the actions that it returns."""
        while self._events:
            events, self._events = [self._with_time_left(event) for event in self._events], []
            for action in self.module.handle(self.clock.now(), events):
                self._perform(action)

    def _with_time_left(self, event: api.Event) -> api.Event:
        """Return an event with the time that its request has left now: the event may be older."""
        if not isinstance(event, api.Request | api.DeadlineMoved):
            return event
        request = self.requests.get(event.id if isinstance(event, api.Request) else event.request)
        if request is None:
            return event
        return replace(event, expires_in=request.deadline - ANSWER_MARGIN_MS - self.clock.now())

    def rejection(self, wait: float | None = None) -> Answer:
        """Return the answer that rejects a request.

        Where the settings allow it, the answer advises a wait of at most `max_wait_advice` ms before a retry.
        """
        if not self.settings.may_advise_wait:
            return Answer(Verdict.REJECTED)
        wait = min(self.settings.max_wait_advice, DEFAULT_RETRY_WAIT_MS if wait is None else wait)
        return Answer(Verdict.REJECTED, wait=wait)

    def _perform(self, action: api.Action) -> None:
        """Carry out one action of the decision module."""
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Cancel):
            request = self.requests.get(action.request)
            if request is not None and must(action.attempt < len(request.attempts), "cancels what was sent"):
                self._cancel(request.attempts[action.attempt])
        elif isinstance(action, api.Refuse | api.Fail):
            request = self.requests.get(action.request)
            if request is not None and isinstance(action, api.Refuse):
                self._finish(request, self.rejection(action.wait), EndReason.REFUSED)
            elif request is not None:
                self._finish(request, FAILED, EndReason.FAILED)
        elif isinstance(action, api.SetTimer):
            handle = action.handle
            self.deadlines.set(action.at, lambda: self._events.append(api.TimerFired(handle)))
        elif isinstance(action, api.Probe):
            endpoint = self.endpoints.get(action.worker)
            if endpoint is not None:
                self.counters.add("out.probes")
                endpoint.link.probe(endpoint)
        elif isinstance(action, api.Watch) and action.on and self.source is not None:
            self.counters.add("out.watches")
            self.source.watch()

    def _send(self, action: api.Send) -> None:
        """Start an attempt; that of a durable job is sent once its lease is on disk."""
        request = self.requests.get(action.request)
        endpoint = self.endpoints.get(action.worker)
        if request is None or endpoint is None:
            must(False, "sends name a request and a service entry")
            return
        now = self.clock.now()
        left = max(0.0, request.deadline - now)
        timeout = left if action.timeout is None else min(left, action.timeout)
        attempt = Attempt(request, len(request.attempts), endpoint, now, timeout)
        request.attempts.append(attempt)
        request_log.attempt_event("an attempt is sent", attempt, time_out=round(timeout))
        if must(not request.ended, "no send after the end"):
            self._start_timeout(attempt)
            if request.job and self.job_manager is not None:
                self.job_manager.lease(attempt, lambda: endpoint.link.send(attempt))
            else:
                endpoint.link.send(attempt)
        else:
            self.ended(attempt, api.Outcome.NOT_SENT)

    def _time_out(self, attempt: Attempt) -> None:
        """End an attempt whose time is over."""
        if not attempt.ended:
            attempt.endpoint.link.cancel(attempt)
            self.ended(attempt, api.Outcome.TIMED_OUT)

    def _cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that has not ended."""
        if not attempt.ended:
            self.counters.add("out.cancels")
            attempt.endpoint.link.cancel(attempt)
            self.ended(attempt, api.Outcome.CANCELLED)

    def _answer_overdue(self, request: Request) -> None:
        """Answer a request that the decision module has left unanswered until its deadline.

        That should never happen; this makes sure that the client gets an answer even so.
        """
        if not request.ended:
            self.decide()  # if the process is late, the decision module may still answer in this very turn
        if not must(request.ended, "every request is answered by its deadline"):
            self._events.append(api.RequestGone(request.id))
            self._finish(request, FAILED, EndReason.OVERDUE)

    def has_usable_worker(self) -> bool:
        """Return whether some worker is in service and not held back until discovery confirms the list."""
        held_back = self.module.list_validity.held_back
        return any(e.in_service and e.name not in held_back for e in self.endpoints.values())

    # -- figures for operators

    def count_answer(self, cls: str, verdict: Verdict) -> None:
        """Count one answer. Fronts call this only for jobs that they reject before there is a request."""
        self.counters.add(f"answer.{cls}.{verdict.value}")

    def figures(self) -> dict[str, Any]:
        """Return the figures for operators: how the jobs of each class ended, and the present state."""
        counts, listed = (
            self.counters.counts,
            [endpoint for endpoint in self.endpoints.values() if endpoint.is_listed],
        )
        return {
            "results": {c: {v.value: counts[f"answer.{c}.{v.value}"] for v in Verdict} for c in self.classes},
            "forwards": counts["out.attempts"],
            "outstanding": self.outstanding,
            "discovered": len(listed),
            "ejected": len(self.module.list_ejected_workers(self.clock.now()) & {e.name for e in listed}),
        }

    # -- how a request ends

    def _finish(self, request: Request, answer: Answer | None, reason: EndReason) -> None:
        """End a request; `answer` is None if nobody waits for one."""
        if not must(not request.ended, "one final answer per request"):
            return
        request.ended = True
        self.counters.add(f"end.{reason.value}")
        self.deadlines.drop(request.backstop)
        self.outstanding -= request.id >= 0
        if answer is None:
            self.counters.add("answer.nobody")
        else:
            self.count_answer(request.cls, answer.verdict)
        self._cancel_unsent_attempts(request)
        if request.waits_for_peer and self.peer_jobs is not None:
            self.peer_jobs.withdraw(request)
        is_answered, answer = answer is not None and bool(request.waiters), answer or FAILED
        self._log_end(request, answer, reason)
        if request.job and self.job_manager is not None:
            # Nobody is answered until the end is on disk; until then a resubmission can join the job.
            self.job_manager.end(request, answer, is_answered, lambda answer: self._deliver(request, answer))
        else:
            self._deliver(request, answer)
        self._free_slot(request)

    def _log_end(self, request: Request, answer: Answer, reason: EndReason) -> None:
        """Log a request's end: at INFO level where the shutdown cut its deadline short, else at DEBUG."""
        cut = request.cut_short and self.clock.now() >= self.answers_by - ANSWER_MARGIN_MS
        if cut:
            self.counters.add("end.cut_short")
        request_log.request_event(
            "a request has ended",
            request,
            logging.INFO if cut else logging.DEBUG,
            end=answer.verdict.value,
            why=reason.value,
            cut_short=cut,
        )
        if answer.verdict is not Verdict.SERVED:
            self._log_unserved_background_job(request, answer, reason)

    def _log_unserved_background_job(self, request: Request, answer: Answer, reason: EndReason) -> None:
        """Log that a job has not been served whose client was told that it would be, and is not told now."""
        was_confirmed = not request.not_accepted and reason is not EndReason.NOT_DURABLE
        if not request.background or request.waiters or not was_confirmed:
            return
        self.counters.add("end.background_unserved")
        request_log.request_event(
            "a background job that was confirmed has not been served", request, logging.WARNING,
            end=answer.verdict.value, why=reason.value, may_have_run=request.may_have_run(),
        )  # fmt: skip

    def _cancel_unsent_attempts(self, request: Request) -> None:
        """Withdraw the attempts of an ended request that have not been written in full.

        They never ran, so this is allowed even where the settings forbid cancelling what workers received.
        """
        for attempt in request.attempts:
            if not attempt.ended and not attempt.may_have_run:
                attempt.endpoint.link.cancel(attempt)
                self.ended(attempt, api.Outcome.NOT_SENT)

    def _deliver(self, request: Request, answer: Answer) -> None:
        """Give the final answer to all waiting clients, and retain it for resubmissions."""
        if self._forget_unique(request) and not request.job:
            self.records.retain(request, answer, is_delivered=bool(request.waiters) or request.background)
            if self.peer_jobs is not None:
                self.peer_jobs.note_end(request)
        waiters, request.waiters = request.waiters, []
        for waiter in waiters:
            waiter.answer(request, answer)

    def _free_slot(self, request: Request) -> None:
        """Free the slot of an ended request once all its attempts have ended.

        What workers report of it afterwards no longer finds the request.
        """
        if request.ended and request.id >= 0 and all(s.ended for s in request.attempts):
            self.requests.remove(request.id)
            self._forget_wire_id(request)
            if self.job_manager is None:
                # A request and its attempts refer to each other: only the garbage collector would free it.
                request.body = b""
            self.on_request_freed(request)

    def _forget_wire_id(self, request: Request) -> None:
        """Forget by which id workers know a request."""
        if self._by_wire_id.get(request.wire_id) is request:
            del self._by_wire_id[request.wire_id]


def _ignore_request(request: Request) -> None:
    """Do nothing: nobody counts the memory of requests."""
