"""Events from fronts and worker links to the decision module, and its actions out to them."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from typing import Any, Protocol

from eiderpin import decide
from eiderpin import interface as api
from eiderpin.core import learned, request_log
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadline, Deadlines
from eiderpin.core.durability import DurableJobManager, JobMismatchError
from eiderpin.core.invariants import must
from eiderpin.core.learned import Learned
from eiderpin.core.request_log import EndReason
from eiderpin.core.requests import (
    FAILED,
    Answer,
    Attempt,
    EdgeSide,
    Endpoint,
    Request,
    Verdict,
    WorkerLink,
)
from eiderpin.core.shutdown import HELD_UP
from eiderpin.core.slot_table import SlotTable, TableFull

ANSWER_MARGIN = 15.0  # ms before a client's deadline at which its answer is due: it has to travel
GRACE_MARGIN = HELD_UP + 50.0  # ms of a drain's grace that are left unused: a send may be held up
WAIT_ADVICE = 500.0  # ms told to a turned-down client where the decisions name no figure
KEPT_FOR = 60_000.0  # ms for which a result is kept for a resubmission
KEPT_COUNT = 8192
KEPT_BYTES = 16 * 1024 * 1024


class RequestIdInUseError(Exception):
    """The id is another request's."""


class WorkerOverrides(Protocol):
    """Operators' orders for workers, whatever the sources say of them."""

    def apply(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        """The worker as it is to be used."""
        ...


class ListSource(Protocol):
    """A source of workers whose list has to be asked for."""

    def watch(self) -> None:
        """Begin a watch, unless one stands or is being asked for. Its answers, and its failure, come through
        `Dispatcher.apply_worker_list`."""
        ...


class Dispatcher:
    """Owns all requests and service entries; hands each batch of events to the decisions."""

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
        self.listed = False  # some list has come
        self._by_unique: dict[tuple[str, str], Request] = {}
        self._by_wire: dict[str, Request] = {}
        self.keeps_results = True  # False where no front's clients ask again: then ids are kept, no results
        self._kept: OrderedDict[tuple[str, str], tuple[float, Answer, bool]] = OrderedDict()
        self._kept_bytes = 0
        self._wire_number = 0
        self.peer_request_ids: set[str] = set()  # of jobs under way in the process beside us
        self.job_manager: DurableJobManager | None = None  # of durable jobs; None: there are none
        self.overrides: WorkerOverrides | None = None  # of the operators; None: there are none
        self.source: ListSource | None = None  # None: lists come unasked
        self.outstanding = 0  # jobs taken and not ended
        self.answers_by = math.inf  # when the last answer is due, where the process is about to end
        self._events: list[api.Event] = []
        self._timers: dict[int, Deadline] = {}

    # -- from the fronts

    def submit(self, request: Request, waiter: EdgeSide | None) -> Request:
        """Take a job in. One that is under way or whose outcome is kept is joined, never run again.

        Raises `RequestIdInUseError` where both jobs bear ids that are given once. Joining would hand a client
        the answer to another's request; running it would let a worker meet one id twice. Raises
        `JobMismatchError` where a durable job has the name and asks for something else.
        """
        now = self.clock.now()
        name = (request.cls, request.unique)
        self.counters.add("in.requests")
        # With no time left it is not taken on: the decisions refuse it at once.
        takes_on = self.is_durable(request.cls) and now < self.answers_by
        job_manager = self.job_manager if takes_on else None
        if job_manager is None:
            self._cut_short(request)
        if request.unique:
            open_request = self._by_unique.get(name)
            kept = self._kept.get(name)
            if kept is not None and kept[0] <= now:
                kept = None
            taken = open_request.single_use_id if open_request is not None else kept is not None and kept[2]
            elsewhere = (
                open_request is None
                and request.unique in self._by_wire
                or request.unique in self.peer_request_ids
            )
            if request.single_use_id and (taken or elsewhere):
                raise RequestIdInUseError
            if job_manager is not None and open_request is None:
                answer = job_manager.stored_answer(request)
                kept = (now, answer, False) if answer is not None else None
            if open_request is not None:
                same = open_request.body == request.body and open_request.target == request.target
                if job_manager is not None and not same:
                    raise JobMismatchError
                self.counters.add("in.joined")
                if waiter is not None:
                    self._join(open_request, request, waiter)
                open_request.background = open_request.background or request.background
                return open_request
            if kept is not None:
                self.counters.add("in.kept")
                request.ended = True
                if waiter is not None and job_manager is not None:
                    job_manager.deliver_stored_answer(
                        request, kept[1], lambda answer: waiter.answer(request, answer)
                    )
                elif waiter is not None:
                    waiter.answer(request, kept[1])
                return request
        if waiter is not None:
            request.waiters.append(waiter)
        try:
            request.id = self.requests.add(request)
        except TableFull:
            self._finish(request, self.rejection(math.inf), EndReason.NO_ROOM)
            return request
        self.outstanding += 1
        request.backstop = self._backstop(request)
        request.wire_id = self._wire_name(request.unique)
        self._by_wire[request.wire_id] = request
        if job_manager is not None and not job_manager.accept(request):
            self._not_taken(request)
            return request
        if request.unique:
            self._by_unique[name] = request
        self._events.append(self.decision_request(request))
        return request

    def is_durable(self, cls: str) -> bool:
        """Whether jobs of this class outlive the process."""
        return self.job_manager is not None and self.job_manager.covers_class(cls)

    def decision_request(self, request: Request) -> api.Request:
        """The request as the decisions are told of it."""
        return api.Request(
            request.id,
            request.cls,
            request.deadline - ANSWER_MARGIN - self.clock.now(),
            request.slots,
            request.memory,
            request.tenant,
            request.key,
            request.hint,
            request.client_retry,
            request.priority,
        )

    # -- the planned end

    def answer_by(self, at: float) -> None:
        """The process is about to end: no answer may be due later than `at`. Durable jobs go on after it."""
        self.answers_by = min(self.answers_by, at)
        now = self.clock.now()
        for request in self.requests.all():
            if request.ended or request.job or not self._cut_short(request):
                continue
            self.deadlines.drop(request.backstop)
            request.backstop = self._backstop(request)
            for attempt in request.attempts:
                self._cut_attempt(attempt)
            self._events.append(api.DeadlineMoved(request.id, request.deadline - ANSWER_MARGIN - now))

    def _cut_short(self, request: Request) -> bool:
        """Bound a request's deadline by the end of the process; whether that made it earlier."""
        if request.deadline <= self.answers_by:
            return False
        request.deadline = self.answers_by
        request.cut_short = True
        return True

    def _cut_attempt(self, attempt: Attempt) -> None:
        left = attempt.request.deadline - attempt.made_at
        if attempt.ended or attempt.timeout <= left:
            return
        attempt.timeout = left
        self.deadlines.drop(attempt.expiry)
        self._expire(attempt)

    def answer_waiter(self, request: Request, waiter: EdgeSide) -> None:
        """The process ends before the request does: this one is told so. One who named the job may ask for it
        again; anybody else is told that it failed, for it may have run."""
        if waiter in request.waiters:
            request.waiters.remove(waiter)
        request.background = request.background or bool(request.job)
        request_log.request_event("answered as the process ends", request, logging.INFO)
        waiter.answer(request, self.rejection() if request.named else FAILED)

    def _backstop(self, request: Request) -> Deadline:
        return self.deadlines.set(request.deadline, lambda: self._overdue(request))

    def _join(self, request: Request, asked: Request, waiter: EdgeSide) -> None:
        """One who joins may give up before the request's own deadline, and is owed an answer by then."""

        def overdue() -> None:
            if waiter in request.waiters:
                request.waiters.remove(waiter)
                self.counters.add("answer.joined_overdue")
                waiter.answer(request, self.rejection() if asked.cut_short and asked.named else FAILED)

        request.waiters.append(waiter)
        if asked.deadline < request.deadline:
            self.deadlines.set(asked.deadline - ANSWER_MARGIN, overdue)

    def _wire_name(self, unique: str) -> str:
        """The id that workers are given: the client's own where it fits a header and is free."""
        fits = 0 < len(unique) <= 128 and unique.isascii() and unique.isprintable() and " " not in unique
        if fits and "/" not in unique and unique not in self._by_wire:
            return unique
        self._wire_number += 1
        return f"e{self._wire_number:x}-{int(self.clock.now()):x}"

    def leave(self, request: Request, waiter: EdgeSide) -> None:
        """One who waited has gone. A request that nobody waits for is called off."""
        if waiter in request.waiters:
            request.waiters.remove(waiter)
        if request.ended or request.waiters or request.background or request.abandoned:
            return
        self.counters.add("in.clients_gone")
        self._events.append(api.RequestGone(request.id))
        self._finish(request, None, EndReason.CLIENT_LEFT)

    def reject(self, request: Request) -> None:
        """It could not be taken on after all, and nothing of it has been sent."""
        if not request.ended:
            self._events.append(api.RequestGone(request.id))
            self._not_taken(request)

    def _not_taken(self, request: Request) -> None:
        self.counters.add("in.not_durable")
        self._finish(request, self.rejection(), EndReason.NOT_DURABLE)

    def detach(self, request: Request, waiter: EdgeSide) -> None:
        """As `leave`, but what has begun of a job that must not run twice is waited for, so that a
        resubmission finds it. No further attempt begins meanwhile. A durable job goes on, as promised."""
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
        entries: Iterable[tuple[api.WorkerEntry, object]],
        by_discovery: bool = False,
    ) -> None:
        """What one source of workers tells. A complete list stands for that source's workers only; a stored
        one comes from whoever asks discovery for the present one next."""
        now = self.clock.now()
        listed: list[api.WorkerEntry] = []
        named = set()
        for told, address in entries:
            entry = self.overrides.apply(told) if self.overrides is not None else told
            known = self.endpoints.get(entry.name)
            if known is None:
                known = self.endpoints[entry.name] = Endpoint(entry, address, link)
            known.told = told
            self._tell(known, entry, address, now)
            named.add(entry.name)
            listed.append(entry)
        if kind in (api.ListKind.COMPLETE, api.ListKind.STORED):
            for known in self.endpoints.values():
                if known.link is link and known.name not in named:
                    if known.listed.state is not api.WorkerState.GONE:
                        gone = replace(known.listed, state=api.WorkerState.GONE)
                        self._tell(known, gone, known.address, now)
                elif known.link is not link:
                    listed.append(known.listed)
        self.listed = self.listed or kind is not api.ListKind.FAILED
        is_being_asked = kind is api.ListKind.STORED and self.source is None
        self._events.append(api.Membership(kind, listed, by_discovery, is_being_asked))

    def reapply_overrides(self, names: Iterable[str]) -> None:
        """The operators' orders for these workers have changed."""
        changed = []
        for name in names:
            known = self.endpoints.get(name)
            if known is None or known.told is None or not known.listed_now or self.overrides is None:
                continue
            entry = self.overrides.apply(known.told)
            if entry != known.listed:
                self._tell(known, entry, known.address, self.clock.now())
                changed.append(entry)
        if changed:
            self._events.append(api.Membership(api.ListKind.CHANGES, changed, by_discovery=False))

    def share(self, instances: int, instance: int) -> bool:
        """So many dispatchers share the workers now, and we are this one of them; whether that is news."""
        if (self.settings.instances, self.settings.instance) == (instances, instance):
            return False
        self.settings.instances, self.settings.instance = instances, instance
        return True

    def _tell(self, known: Endpoint, entry: api.WorkerEntry, address: object, now: float) -> None:
        known.listed, known.address = entry, address
        if entry.state is api.WorkerState.IN_SERVICE:
            known.left_at = None
        elif known.left_at is None:
            known.left_at = now
        known.link.endpoint_changed(known)

    def may_begin(self, attempt: Attempt) -> bool:
        """The one question that each link asks just before the first byte of an attempt, however long it took
        to get there: is somebody still waiting, does the worker still take new work, and do the decisions
        still stand by it (its window, its deadline, what else of the job may have run)?"""
        request, now = attempt.request, self.clock.now()
        if attempt.ended or not request.wanted or self.all_waiters_left(request):
            return False
        grace = self.settings.drain_grace - GRACE_MARGIN
        if not attempt.endpoint.may_be_sent(now, grace):
            self.counters.add("out.late.drained")
            return False
        if not self.module.may_begin(request.id, attempt.number, now):
            self.counters.add("out.late.overtaken")
            return False
        return True

    def time_left(self, attempt: Attempt) -> float:
        """ms for which a server may work at this attempt and its answer still reach the client in time."""
        until = min(attempt.made_at + attempt.timeout, attempt.request.deadline - ANSWER_MARGIN)
        return until - self.clock.now()

    def all_waiters_left(self, request: Request) -> bool:
        """Whether all who wait have gone by now: the process may have been held up, and what is ready first
        in a turn of the loop need not have come first."""
        if request.background or request.job or not all(w.has_left() for w in request.waiters):
            return False
        self.counters.add("out.late.deserted")
        return True

    def written(self, attempt: Attempt) -> None:
        """The whole of a send is out: from here on it may have run."""
        attempt.may_have_run = True
        self.counters.add("out.attempts")
        request_log.attempt_event("an attempt is out whole", attempt)

    def ended(
        self, attempt: Attempt, outcome: api.Outcome, result: bytes = b"", stale: bool = False,
        report: api.Report | None = None,
    ) -> None:  # fmt: skip
        """How an attempt ended; a first result goes to those who wait. `stale`: for a connection that had
        stood idle, which says nothing of the worker. `report`: the load that its worker told with it."""
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
        elif request.abandoned and not request.wanted and all(s.ended for s in request.attempts):
            self._finish(
                request, None, EndReason.CLIENT_LEFT
            )  # its client has gone: no further attempt begins
        self._events.append(
            api.AttemptEnded(
                request.id, attempt.number, attempt.endpoint.name, outcome,
                self.clock.now() - attempt.made_at, request.ended, report, stale,
            )
        )  # fmt: skip
        self._release(request)

    def progress(self, attempt: Attempt, started: bool, share: float = 0.0) -> None:
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
        """A worker's partial data, for those fronts that pass it on."""
        for waiter in attempt.request.waiters:
            waiter.forward_data(attempt.request, data, warning)

    def probed(self, endpoint: Endpoint, ok: bool, elapsed: float, report: api.Report | None = None) -> None:
        self.counters.add("out.probe.answered" if ok else "out.probe.failed")
        self._events.append(api.ProbeEnded(endpoint.name, ok, elapsed, report))

    # -- with an older or a newer process beside us

    def add_event(self, event: api.Beside | api.Adopted | api.Request | api.RequestGone) -> None:
        """What that process holds, or hands to us, is for the decisions to know; so is what a ledger
        brings."""
        self._events.append(event)

    def apply_learned(self, found: Learned) -> None:
        """What another process has learned, after all that has come in."""
        self.decide()
        learned.apply_to(self.module, found)

    def let_go(self, request: Request) -> None:
        """It lives on elsewhere: nobody is answered and nothing is called off here."""
        request.ended = True
        request.waiters.clear()
        self.outstanding -= 1
        self.deadlines.drop(request.backstop)
        for attempt in request.attempts:
            attempt.ended = True
            self.deadlines.drop(attempt.expiry)
        self.counters.add("out.requests_moved")
        self._by_unique.pop((request.cls, request.unique), None)
        self._release(request)

    def take_over(self, request: Request, waiter: EdgeSide | None) -> None:
        """It has lived elsewhere, and is ours from now on. Raises `ValueError` and `TableFull`."""
        name = (request.cls, request.unique)
        if (request.unique and name in self._by_unique) or request.wire_id in self._by_wire:
            raise ValueError("its id is another's here")
        request.id = self.requests.add(request)
        self.counters.add("in.requests_moved")
        self.outstanding += 1
        if waiter is not None:
            request.waiters.append(waiter)
        if not request.job:  # a durable one goes on after the end of the process
            self._cut_short(request)
        request.backstop = self._backstop(request)
        if request.unique:
            self._by_unique[name] = request
        self._by_wire[request.wire_id] = request
        for attempt in request.attempts:
            if not attempt.ended:
                self._expire(attempt)

    def _expire(self, attempt: Attempt) -> None:
        at = attempt.made_at + attempt.timeout
        attempt.expiry = self.deadlines.set(at, lambda: self._timed_out(attempt))

    def request_of(self, wire_id: str) -> Request | None:
        return self._by_wire.get(wire_id)

    def request_by_unique(self, unique: str) -> Request | None:
        return next((f for c in self.classes if (f := self._by_unique.get((c, unique)))), None)

    def late_result(self, request: Request, result: bytes) -> None:
        """A worker finished an attempt that had been counted as ended: its result is as good as any."""
        if not request.ended:
            self._events.append(api.RequestGone(request.id))
            self._finish(request, Answer(Verdict.SERVED, result), EndReason.LATE_RESULT)
        elif (
            request.unique and self._kept.get((request.cls, request.unique), (0.0, None, False))[1] == FAILED
        ):
            self._keep(
                request, Answer(Verdict.SERVED, result)
            )  # too late for an answer, not for a resubmission

    # -- the decisions

    def decide(self) -> None:
        """Hand over what has come in and carry out what is decided."""
        while self._events:
            events, self._events = self._events, []
            for action in self.module.handle(self.clock.now(), events):
                self._act(action)

    def rejection(self, wait: float | None = None) -> Answer:
        """The answer that asks a client to stay away for so many ms, where the settings let it be told."""
        if not self.settings.may_advise_wait:
            return Answer(Verdict.REJECTED)
        wait = min(self.settings.max_wait_advice, WAIT_ADVICE if wait is None else wait)
        return Answer(Verdict.REJECTED, wait=wait)

    def _act(self, action: api.Action) -> None:
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
            self._expire(attempt)
            if request.job and self.job_manager is not None:
                self.job_manager.lease(attempt, lambda: endpoint.link.send(attempt))
            else:
                endpoint.link.send(attempt)
        else:
            self.ended(attempt, api.Outcome.NOT_SENT)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.endpoint.link.cancel(attempt)
            self.ended(attempt, api.Outcome.TIMED_OUT)

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.counters.add("out.cancels")
            attempt.endpoint.link.cancel(attempt)
            self.ended(attempt, api.Outcome.CANCELLED)

    def _overdue(self, request: Request) -> None:
        """The decisions answer each request before this; should they not, the client still hears."""
        if not request.ended:
            self.decide()  # late as we are, theirs may be the word that comes in this very turn
        if not must(request.ended, "every request is answered by its deadline"):
            self._events.append(api.RequestGone(request.id))
            self._finish(request, FAILED, EndReason.OVERDUE)

    # -- the figures

    def count_answer(self, cls: str, verdict: Verdict) -> None:
        """Count one job's end. Fronts call it only for jobs that they refuse before there is a request."""
        self.counters.add(f"answer.{cls}.{verdict.value}")

    def figures(self) -> dict[str, Any]:
        """What on-call staff read: how the jobs of each class ended, and how things stand."""
        counts, listed = self.counters.counts, [e for e in self.endpoints.values() if e.listed_now]
        return {
            "results": {c: {v.value: counts[f"answer.{c}.{v.value}"] for v in Verdict} for c in self.classes},
            "forwards": counts["out.attempts"],
            "outstanding": self.outstanding,
            "discovered": len(listed),
            "ejected": len(self.module.list_ejected_workers(self.clock.now()) & {e.name for e in listed}),
        }

    # -- the end of a request

    def _finish(self, request: Request, answer: Answer | None, why: EndReason) -> None:
        """The request is over; without an answer, since nobody waits for one."""
        if not must(not request.ended, "one final answer per request"):
            return
        request.ended = True
        self.counters.add(f"end.{why.value}")
        self.deadlines.drop(request.backstop)
        self.outstanding -= request.id >= 0
        if answer is None:
            self.counters.add("answer.nobody")
        else:
            self.count_answer(request.cls, answer.verdict)
        self._withdraw(request)
        told, answer = answer is not None and bool(request.waiters), answer or FAILED
        self._tell_end(request, answer, why)
        if request.job and self.job_manager is not None:
            # Until its end is on disk it can be joined, and nobody hears of it.
            self.job_manager.end(request, answer, told, lambda answer: self._give(request, answer))
        else:
            self._give(request, answer)
        self._release(request)

    def _tell_end(self, request: Request, answer: Answer, why: EndReason) -> None:
        """The log event of a request's end; where the end of the process has caused it, operators see it."""
        cut = request.cut_short and self.clock.now() >= self.answers_by - ANSWER_MARGIN
        if cut:
            self.counters.add("end.cut_short")
        request_log.request_event(
            "a request has ended",
            request,
            logging.INFO if cut else logging.DEBUG,
            end=answer.verdict.value,
            why=why.value,
            cut_short=cut,
        )

    def _withdraw(self, request: Request) -> None:
        """Of a job that is over nothing more begins. What has not gone out whole is taken back here, at once:
        it never ran, and so that needs no leave to call off what workers have."""
        for attempt in request.attempts:
            if not attempt.ended and not attempt.may_have_run:
                attempt.endpoint.link.cancel(attempt)
                self.ended(attempt, api.Outcome.NOT_SENT)

    def _give(self, request: Request, answer: Answer) -> None:
        if request.unique and self._by_unique.get((request.cls, request.unique)) is request:
            del self._by_unique[request.cls, request.unique]
            if not request.job:
                self._keep(request, answer)
        waiters, request.waiters = request.waiters, []
        for waiter in waiters:
            waiter.answer(request, answer)

    def _release(self, request: Request) -> None:
        """Free the slot once nothing is owed or out. Workers' news of a finished request find no request."""
        if request.ended and request.id >= 0 and all(s.ended for s in request.attempts):
            self.requests.remove(request.id)
            if self._by_wire.get(request.wire_id) is request:
                del self._by_wire[request.wire_id]

    def _keep(self, request: Request, answer: Answer) -> None:
        """Keep what a resubmission must be told: a result, or that a job which may not run twice may have."""
        single = self.classes[request.cls].repeat is not api.Repeat.FREE
        if answer.verdict is Verdict.SERVED or (single and request.may_have_run()):
            if answer.verdict is not Verdict.SERVED or not self.keeps_results:
                answer = FAILED
            name = (request.cls, request.unique)
            old = self._kept.pop(name, None)
            self._kept_bytes += len(answer.result) - (len(old[1].result) if old else 0)
            now = self.clock.now()
            self._kept[name] = (now + KEPT_FOR, answer, request.single_use_id)
            while self._kept:
                first = next(iter(self._kept))
                until, oldest, _ = self._kept[first]
                if until > now and len(self._kept) <= KEPT_COUNT and self._kept_bytes <= KEPT_BYTES:
                    break
                del self._kept[first]
                self._kept_bytes -= len(oldest.result)
