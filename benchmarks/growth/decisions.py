"""The decisions alone, in virtual time: random jobs at workers that report in one way, and the memory held.

Workers run some jobs, and reject, fail, lose and start others; some clients leave. In some scenarios workers
leave the list all the time, and others come under names that never return.
"""

from __future__ import annotations

import gc
import heapq
import itertools
import random
import tracemalloc
from array import array
from dataclasses import dataclass, field
from enum import Enum

from benchmarks.growth.trend import Sample
from eiderpin import interface as api
from eiderpin.decide import Dispatcher

TICK_MS = 4.0
MEAN_GAP_MS = 20.0  # between arrivals
RUN_MS = (100.0, 400.0)
PROBE_MS = 2.0
REST_MS = 5000.0  # without jobs, before memory is measured
LIST_CHANGE_MS = 2000.0  # between two workers that leave, where the list changes
WORKERS = 16
SAMPLES = 24  # of the memory that is held
WARM_UP_SHARE = 0.4  # of the jobs, before the first sample


class Reporting(Enum):
    """How workers report their load."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"
    RATINGS = "ratings"


@dataclass(frozen=True)
class Scenario:
    """What a run plays."""

    reporting: Reporting
    rejects: bool  # workers reject some attempts; else they reject none
    list_changes: bool
    seed: int


def make_settings(scenario: Scenario) -> api.Settings:
    """Return the settings of a scenario."""
    classes = [
        api.RequestClass("look", aim=250, aim_stretch=1.75, deadline=7500, repeat=api.Repeat.FREE),
        api.RequestClass("post", aim=1000, aim_stretch=1.75, deadline=25000),
    ]
    return api.Settings(
        classes, tick=TICK_MS, drain_grace=500.0, may_cancel=True, parallel_attempts=True,
        may_advise_wait=True, max_wait_advice=2000.0, warm_up=8900.0, may_probe=True,
        reports_in_answers=scenario.reporting is Reporting.ANSWERS,
        reports_in_probes=scenario.reporting is Reporting.PROBES,
        ratings=scenario.reporting is Reporting.RATINGS,
    )  # fmt: skip


@dataclass(slots=True)
class OpenJob:
    """A job that has no answer yet, or has attempts that have not ended."""

    workers: list[str] = field(default_factory=list)  # of its attempts, by number
    attempts: set[int] = field(default_factory=set)  # that have not ended
    is_answered: bool = False


class Run:
    """One dispatcher's decisions, and the workers and clients that it meets."""

    def __init__(self, scenario: Scenario) -> None:
        """Begin with a list of workers and no job."""
        self.scenario, self.random = scenario, random.Random(scenario.seed)
        self.decisions = Dispatcher(make_settings(scenario), scenario.seed)
        self.now, self.jobs_ended = 10_000.0, 0
        self.accepts = True  # new jobs arrive
        self.due: list[tuple[float, int, api.Event | str]] = []
        self.order = itertools.count()
        self.next_request = itertools.count(1)
        self.next_worker = itertools.count()
        self.open: dict[int, OpenJob] = {}  # by request
        self.listed: list[str] = [self.new_name() for _ in range(WORKERS)]
        self.events: list[api.Event] = [
            api.Membership(api.ListKind.COMPLETE, [*map(self.entry, self.listed)])
        ]
        self.schedule(MEAN_GAP_MS, "arrival")
        if scenario.list_changes:
            self.schedule(LIST_CHANGE_MS, "list")

    def new_name(self) -> str:
        """Return the name of a worker that was never listed."""
        return f"worker-{next(self.next_worker):08d}"

    def entry(self, name: str, state: api.WorkerState = api.WorkerState.IN_SERVICE) -> api.WorkerEntry:
        """Return the entry of a worker in the list."""
        rating = 4.0 - 3.0 * self.random.random() if self.scenario.reporting is Reporting.RATINGS else 1.0
        return api.WorkerEntry(name, "a", "std", 0, state, rating, born=self.now)

    def schedule(self, after_ms: float, event: api.Event | str) -> None:
        """Let something happen later."""
        heapq.heappush(self.due, (self.now + after_ms, next(self.order), event))

    def run_until(self, jobs: int) -> None:
        """Run until so many jobs have ended, and on without new ones until none is open."""
        while self.jobs_ended < jobs or self.open:
            self.accepts = self.jobs_ended < jobs
            self.take_turn()
        end = self.now + REST_MS  # for what is remembered of jobs for a moment
        while self.now < end:
            self.take_turn()

    def take_turn(self) -> None:
        """Let all happen that is due next, and carry out what the decisions ask for then."""
        self.now = max(self.now + TICK_MS, self.due[0][0])
        while self.due and self.due[0][0] <= self.now:
            self.happen(heapq.heappop(self.due)[2])
        events, self.events = self.events, []
        for action in self.decisions.handle(self.now, events):
            self.carry_out(action)

    def happen(self, event: api.Event | str) -> None:
        """Let something happen now that was scheduled."""
        if event == "arrival":
            self.schedule(self.random.expovariate(1 / MEAN_GAP_MS), "arrival")
            if not self.accepts:
                return
            cls, wait = self.random.choice((("look", 7400.0), ("post", 24900.0)))
            hint = self.random.choice((None, self.random.uniform(*RUN_MS)))
            number = next(self.next_request)
            self.open[number] = OpenJob()
            self.events.append(api.Request(number, cls, wait, hint=hint))
            if self.random.random() < 0.02:
                self.schedule(self.random.uniform(1.0, 200.0), api.RequestGone(number))
        elif event == "list":
            self.change_list()
            self.schedule(LIST_CHANGE_MS, "list")
        elif isinstance(event, api.AttemptEnded):
            self.end_attempt(event)
        elif isinstance(event, api.RequestGone):
            job = self.open.get(event.request)
            if job is not None and not job.is_answered:
                self.events.append(event)
                self.end_job(event.request, job)
        elif not isinstance(event, str):
            self.events.append(event)

    def change_list(self) -> None:
        """Let the oldest worker leave the list, and another come under a new name."""
        gone, new = self.listed.pop(0), self.new_name()
        self.listed.append(new)
        changes = [self.entry(gone, api.WorkerState.GONE), self.entry(new)]
        self.events.append(api.Membership(api.ListKind.CHANGES, changes))

    def end_attempt(self, event: api.AttemptEnded) -> None:
        """End an attempt, unless it was cancelled before."""
        job = self.open.get(event.request)
        if job is None or event.attempt not in job.attempts:
            return
        job.attempts.discard(event.attempt)
        event.final = job.is_answered or event.outcome is api.Outcome.DONE
        self.events.append(event)
        if event.outcome is api.Outcome.DONE and not job.is_answered:
            self.end_job(event.request, job)
        self.forget_if_over(event.request, job)

    def end_job(self, number: int, job: OpenJob) -> None:
        """Note that a job has its answer, or that its client has left."""
        job.is_answered = True
        self.jobs_ended += 1
        self.forget_if_over(number, job)

    def forget_if_over(self, number: int, job: OpenJob) -> None:
        """Forget a job that has its answer and no attempt."""
        if job.is_answered and not job.attempts:
            self.open.pop(number, None)

    def report(self) -> api.Report | None:
        """Return what a worker reports of its load."""
        if self.scenario.reporting in (Reporting.ANSWERS, Reporting.PROBES):
            return api.Report(in_flight=float(self.random.randrange(4)), queued=0.0)
        return None

    def carry_out(self, action: api.Action) -> None:
        """Carry out what the decisions ask for."""
        if isinstance(action, api.Send):
            self.send(action)
        elif isinstance(action, api.Cancel):
            if action.request in self.open:
                outcome = api.Outcome.CANCELLED
                self.schedule(1.0, self.attempt_ended(action.request, action.attempt, outcome, 1.0))
        elif isinstance(action, api.Refuse | api.Fail):
            job = self.open.get(action.request)
            if job is not None and not job.is_answered:
                self.end_job(action.request, job)
        elif isinstance(action, api.SetTimer):
            self.schedule(action.at - self.now, api.TimerFired(action.handle))
        elif isinstance(action, api.Probe):
            self.schedule(PROBE_MS, api.ProbeEnded(action.worker, True, PROBE_MS, self.report()))

    def send(self, action: api.Send) -> None:
        """Let a worker run an attempt, or not."""
        job = self.open[action.request]
        number = len(job.workers)
        job.workers.append(action.worker)
        job.attempts.add(number)
        run = self.random.uniform(*RUN_MS)
        outcome = api.Outcome.DONE
        chance = self.random.random()
        if chance < 0.05 and self.scenario.rejects:
            run, outcome = 1.0, api.Outcome.REJECTED
        elif chance < 0.06:
            outcome = api.Outcome.RESET
        elif chance < 0.07:
            outcome = api.Outcome.ERROR
        else:
            self.schedule(1.0, api.Progress(action.request, number, action.worker, True))
        self.schedule(run, self.attempt_ended(action.request, number, outcome, run))

    def attempt_ended(self, request: int, number: int, outcome: api.Outcome, run: float) -> api.AttemptEnded:
        """Return the event that ends an attempt after a run of so many ms."""
        worker = self.open[request].workers[number]
        return api.AttemptEnded(request, number, worker, outcome, run, False, self.report())


def measure(scenario: Scenario, jobs: int) -> list[Sample]:
    """Play a scenario, and return what is held at moments of equal distance after the warm-up."""
    # Made before memory is traced, so that the samples do not count as held.
    ended, held = array("q", bytes(8 * SAMPLES)), array("q", bytes(8 * SAMPLES))
    gc.collect()
    tracemalloc.start()
    try:
        run = Run(scenario)
        for number in range(SAMPLES):
            run.run_until(round(jobs * (WARM_UP_SHARE + (1.0 - WARM_UP_SHARE) * (number + 1) / SAMPLES)))
            gc.collect()
            ended[number], held[number] = run.jobs_ended, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return [Sample(*values) for values in zip(ended, held, strict=True)]
