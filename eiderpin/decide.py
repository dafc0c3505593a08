"""The scheduling decisions of one dispatcher; `eiderpin/interface.py` has its types, events and actions.

The module does no I/O. `Dispatcher.handle` takes the time and a batch of events, and returns the actions that
follow from them: sends, cancels, final answers, probes, calls for the worker list, and a timer.

How a request is placed: new requests, retries, and jobs that found no room before wait in queues, one for
each set of workers that a round may draw from. A queue has its turn once JOBS_PER_ROUND jobs have joined it
since the last one, or when its gathering time is over. In a turn, rounds follow each other until no job waits
or several rounds in a row place nothing. A round takes up to JOBS_PER_ROUND jobs, draws DRAWS_PER_JOB ready
workers for each of them, and gives each job the least loaded of the drawn places that is suitable for it.
Jobs without a place return to their queue until its next turn.

This is Park's (k,d)-choice: a round of k jobs draws d workers uniformly and with replacement, and fills the k
least loaded places. At most m jobs go to a worker that was drawn m times, and ties are broken at random.
docs/design.md says what is kept of it, what is changed, and when each exception applies.

Reading order: constants, workers and membership, load estimate, rounds, requests, health.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Iterable
from zlib import crc32

from eiderpin import interface as api
from eiderpin.policy.departed_workers import DepartedWorkers
from eiderpin.policy.list_validity import ListValidity
from eiderpin.policy.list_watch import ListWatch
from eiderpin.policy.recent_attempts import REPORT_AGE_MS, RecentAttempts

# ---- constants -----------------------------------------------------------------------------------------

# Units: _MS milliseconds, _RUNS mean run times, _SHARE a fraction of one, _FACTOR a multiple, _RATE failures
# per attempt, _GAIN the weight of a new sample in a moving average. Names without a unit are plain counts.

JOBS_PER_ROUND = 4
DRAWS_PER_JOB = 2  # Park's bound for heavy load holds from 2 on
GATHER_SHARE = 0.03  # time for which a round gathers jobs, as a share of the shortest aim
GATHER_TICKS = 2  # lower limit of that time
PROBE_INTERVAL_MS = 200.0  # least time between probes of a worker, where probes bring reports
PROBE_LOAD_SHARE = 0.5  # a worker is probed once our jobs there and one more exceed this share of its slots
OTHERS_DECAY_RUNS = 1.0  # decay time of an observation of the slots held by other dispatchers
MAX_ASSUMED_OTHERS_SHARE = 0.15  # most that others are assumed to hold of a worker not observed lately
WORKER_GAIN = 0.25  # for a worker's own slowdown
AVERAGE_GAIN = 0.05  # for averages over a shape, a class or the fleet
SLOWDOWN_DECAY_RUNS = 8.0  # decay time of a worker's own slowdown, so that it is tried again
MAX_SHAPE_RUN_FACTOR = 4.0  # one run counts for its shape as at most this many times the expected run
OVERDUE_FACTOR = 2.5  # an attempt open for this many times its expected run makes its worker look slower
FIRST_EJECTION_RUNS = 1.0  # first ejection of a failing worker; doubles with each failure in a row
MAX_DOUBLINGS = 4  # for ejections, and for back-offs of a class
PROBATION_MS = 2000.0  # on probation, a worker is sent nothing while it has an attempt younger than this
CLASS_BACKOFF_RUNS = 2.0  # first back-off of a class at a worker that did not report its start
MIN_READY_SHARE = 0.25  # ejections must not leave less than this share of the fleet to draw from
RUN_MARGIN_FACTOR = 1.2  # a job's latest start allows for a run this many times longer than expected
# A job is given up when even this share of its expected run would end after its answer is worth anything.
HOPELESS_RUN_SHARE = 0.7
# Each turn in a row that places nothing delays the next by one more gathering time, up to this many.
MAX_FAILED_TURNS = 4
LATE_RESERVE_SHARE = 0.25  # share of a worker's slots that jobs past their latest start leave free
MAX_EMPTY_ROUNDS = 2  # this many rounds in a row that place nothing end a turn: there is no room
DEFAULT_SLOTS = 4.0  # assumed slots of a worker where neither ratings nor reports give a number
LATE_START_MS = 100.0  # a start later than this shows that the worker was full
QUEUED_MS = 60.0  # an attempt whose start is not reported by then shows that its worker is full
# Jobs of all dispatchers that may wait for their start, for each worker of the fleet. One dispatcher may have
# an even part of them in each zone.
UNSTARTED_PER_WORKER = 2.0
MIN_UNSTARTED = 2  # least number of these that one dispatcher may have
UNSTARTED_RUNNING_SHARE = 0.25  # number that a busier dispatcher may have, as a share of its running jobs
MIN_START_TIMEOUT_MS = 600.0  # an attempt whose start is not reported by then is taken to be lost
START_TIMEOUT_FACTOR = 8.0  # the same as a multiple of the recent median start delay, if that is longer
SEND_ORDER_GAP_MS = 100.0  # attempts sent further apart than this reach their worker in their order
# Age from which a reported start shows that the job runs along with the others there. The end that made room
# for it may be reported on another connection, and later than the start.
SETTLED_START_MS = 100.0
MAX_FAILED_SLOT_TRIALS = 3  # this many late starts or rejections end the trials of one slot more
COLD_BUDGET_SHARE = 0.6  # used share of a cold worker's budget; the rest is for chance and misjudged work
FAILURE_GAIN, SUCCESS_GAIN = 0.3, 0.1  # for a worker's failure rate, after a failure and after a success
FAULTY_RATE = 0.35  # reached by two failures; single-shot jobs are kept away from there on
FAILURE_DECAY_RUNS = 20.0  # decay time of a worker's failure rate
MEMORY_SPAN_SHARE = 0.9  # share of a memory span within which a guarded repeat is still sent
# For which the process may stall between reading its clock and writing. At least so much of a memory span is
# left unused.
MAX_STALL_MS = 150.0
MIN_EARNINGS_SHARE = 0.75  # jobs of a class that earns less than this share of the best one go first
TENANT_BURST_MS = 2000.0  # a tenant may use so much time's worth of its share at once
# Least share of its worth that a job loses by waiting, even where late answers earn as much: room that is
# idle meanwhile is lost to all.
MIN_WAIT_LOSS_SHARE = 0.5
# Weight of losses by waiting against the price of crossing zones: they count in the total, and again in bad
# stretches and for the class that fares worst, which consist of them.
CROSS_ZONE_LOSS_FACTOR = 2.0
# Once attempts fail somewhere, a single-shot job waits for a trusted worker for this share of its aim.
TRUSTED_ONLY_AIM_SHARE = 0.2
TRUSTED_RATE = 0.1  # a trusted worker's failure rate is lower than this


# ---- workers and membership ----------------------------------------------------------------------------


class RunSums:
    """Decaying sums of run time and expected work (ms), for their ratio.

    Hints of work are rough. A mean of each run's own ratio would be ruled by jobs whose hint was far too low,
    and would show workers two or three times slower than they are.
    """

    __slots__ = ("run", "work")

    def __init__(self) -> None:
        """Start without any run."""
        self.run = self.work = 0.0

    def add(self, run: float, work: float, mean_work: float, gain: float) -> float:
        """Add a run to the sums and return their ratio, which is run time over work.

        `run` and `work` are in ms; `gain` is the share by which the sums decay with it. Both sums start from
        `mean_work`, the work of a mean job, as if one such job had run exactly as long as expected.
        """
        if self.work <= 0:
            self.run = self.work = mean_work
        self.run += run - gain * self.run
        self.work += work - gain * self.work
        return self.run / max(self.work, 1.0)


class Shape:
    """What is known of the workers of one machine shape."""

    __slots__ = ("slots", "slowdown", "run_ratio", "load_step", "load_steps_seen", "failed_slot_trials")

    def __init__(self) -> None:
        """Start with nothing learned."""
        self.slots = 0.0  # of one worker; 0 until reports or starts show it
        self.slowdown = 1.0  # run time over expected work
        self.run_ratio = RunSums()
        self.load_step = 0.0  # requests per core of a worker that holds one request: 1 / cores
        self.load_steps_seen = 0
        self.failed_slot_trials = 0  # trials of one slot more that found the worker full

    def learn_live_load(self, per_core: float) -> None:
        """Learn the slots of the shape from a worker's live load in requests per core.

        The smallest step of that load is one request, or 1 / cores. A load far below the smallest seen so far
        replaces it, one close to it refines it, and a larger one is ignored.
        """
        if per_core < 0.02:
            return  # idle, but for noise
        if not self.load_steps_seen or per_core < 0.7 * self.load_step:
            self.load_step, self.load_steps_seen = per_core, 1
        elif per_core < 1.4 * self.load_step:
            self.load_steps_seen += 1
            self.load_step += (per_core - self.load_step) / self.load_steps_seen
        else:
            return
        self.slots = max(1.0, float(round(1.0 / self.load_step)))


class Worker:
    """One worker as this instance sees it. All times are in ms."""

    __slots__ = (
        "name", "zone", "shape", "shape_name", "cell", "rating", "peak_rating", "born", "state", "ready",
        "open_attempts", "our_slots", "others", "others_at", "slowdown", "slowdown_at", "run_ratio",
        "failures_in_a_row", "on_probation", "ejected_until", "cold_until", "cold_spent", "pools",
        "recently_ended", "classes", "known_slots", "last_message_at", "class_backoffs", "peer_slots",
        "peer_cold_work", "failure_rate", "failure_rate_at", "last_success_at", "probed_at",
    )  # fmt: skip

    def __init__(self, entry: api.WorkerEntry, shape: Shape) -> None:
        """Create the worker of a list entry; nothing has been sent to it or learned about it yet."""
        self.name, self.zone, self.cell = entry.name, entry.zone, entry.cell
        self.shape_name = entry.shape
        self.shape = shape
        self.rating = self.peak_rating = entry.rating
        self.born = entry.born
        self.state = entry.state
        self.ready = False  # in the pools that rounds draw from
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # whose end was not reported, oldest first
        self.our_slots = 0.0  # needed by our attempts
        self.others = -1.0  # slots held by other dispatchers when last observed; -1: never observed
        self.others_at = 0.0
        self.slowdown = 1.0  # own run time over its shape's
        self.run_ratio = RunSums()
        self.slowdown_at = 0.0
        self.failures_in_a_row = 0
        self.failure_rate = self.failure_rate_at = 0.0  # rate of failed attempts
        self.last_success_at = -math.inf  # of an attempt of ours
        self.on_probation = False  # after an ejection: one attempt at a time until one succeeds
        self.ejected_until = 0.0
        self.probed_at = -math.inf
        self.cold_until = 0.0
        self.cold_spent: list[tuple[float, float]] = []  # (when, slot time) sent while cold, newest window
        self.pools: list[Pool] = []
        self.classes = entry.classes
        self.known_slots = entry.slots
        self.last_message_at = -math.inf  # of any report by it
        self.class_backoffs: dict[str, tuple[float, int]] = {}  # by class: (until when, times in a row)
        self.recently_ended = RecentAttempts()  # of ours
        self.peer_slots = self.peer_cold_work = 0.0  # slots, and cold slot time, used by the peer process


class Pool:
    """The ready workers that one kind of round draws from.

    They stand in a list without gaps, so that a uniform draw is one random index, and adding and removing a
    worker take constant time.
    """

    __slots__ = ("items", "positions", "members")

    def __init__(self) -> None:
        """Create an empty pool."""
        self.items: list[Worker] = []
        self.positions: dict[str, int] = {}  # by the worker's name, its index in `items`
        self.members = 0  # in service, ready or not

    def add(self, worker: Worker) -> None:
        """Add a worker that is not in the pool."""
        self.positions[worker.name] = len(self.items)
        self.items.append(worker)

    def remove(self, worker: Worker) -> None:
        """Remove a worker; the last one of the list takes its index.

        Raises `KeyError` if the worker is not in the pool.
        """
        position = self.positions.pop(worker.name)
        last = self.items.pop()
        if last is not worker:
            self.items[position] = last
            self.positions[last.name] = position


# Which workers a round may draw from: the shape that its class runs on (None: any), the zone or cell that it
# is confined to, and its class where some workers run certain classes only (None: no such worker is listed).
RoundKind = tuple[str | None, str | None, int | None, str | None]


# ---- requests ------------------------------------------------------------------------------------------


class Attempt:
    """One attempt of a job at a worker. All times are in ms."""

    __slots__ = (
        "job", "number", "worker", "sent_at", "started_at", "expected", "reference_run",
        "beyond_slots", "lost",
    )  # fmt: skip

    def __init__(self, job: Job, number: int, worker: Worker, now: float, expected: float) -> None:
        """Create the attempt `number` (from 0) of a job, sent now."""
        self.job, self.number, self.worker = job, number, worker
        self.sent_at = now
        self.started_at = -1.0  # -1: no start was reported
        self.expected = expected  # expected run time on this worker
        self.reference_run = expected  # that, or the run time of a mean job of its class if it is longer
        self.lost = False  # its worker is live but does not know of it
        self.beyond_slots = False  # sent beyond the known slots, to see whether it starts at once


class Job:
    """A request from its arrival to its final answer. All times are in ms."""

    __slots__ = (
        "id", "spec", "deadline", "need", "work", "aim_at", "sends", "open_attempts", "possible_runs",
        "streaming", "excluded", "ended", "has_hint", "priority", "arrived_at", "slack",
        "home_zone_only", "worth_scale", "wait_id", "nobody_waits",
    )  # fmt: skip

    def __init__(self, request: api.Request, spec: api.RequestClass, now: float, work: float) -> None:
        """Create the job of a request that arrives now.

        `work` is its expected run time in ms on a worker of slowness 1.
        """
        self.id = request.id
        self.spec = spec
        self.has_hint = bool(request.hint)
        self.priority = request.priority
        self.deadline = now + request.expires_in
        self.nobody_waits = request.nobody_waits
        self.arrived_at = now
        self.need = max(request.slots, request.memory)  # slots that it takes up
        self.work = work  # expected run time at a slowness of 1
        self.aim_at = now + min(spec.aim + spec.aim_stretch * work, request.expires_in)
        self.sends = 0
        self.open_attempts: list[Attempt] = []
        self.possible_runs: list[Attempt] = []  # attempts that ended but may have run
        self.excluded: set[str] = set()  # names of workers that it is not sent to again
        self.streaming = False
        self.ended = False
        self.home_zone_only = True  # confined to our own zone, where crossing has a price
        self.wait_id = 0  # of its present wait, 0: none; queue entries with another id are void
        self.slack = 0.0  # how long it could wait on arrival and still be in time
        self.worth_scale = 1.0  # below 1 where its tenant is beyond its share

    def find_binding_attempt(self, excluding: Attempt | None = None) -> Attempt | None:
        """Return the earliest attempt that is open or may have run, or None if there is none.

        It restricts where and when the job may be sent again. The attempt `excluding` is left out of account.
        """
        bound = [a for a in self.possible_runs + self.open_attempts if a is not excluding]
        return min(bound, key=lambda a: a.sent_at) if bound else None


def may_send(job: Job, settings: api.Settings, now: float) -> bool:
    """Whether the rules allow another attempt of the job now, at some worker.

    Not once it has ended or its answer streams to the client, after the most attempts that the settings
    allow, in parallel to an open attempt unless the settings allow it, or against its repeat class.
    """
    if job.ended or job.streaming or job.sends >= settings.max_attempts:
        return False
    if job.open_attempts and not settings.parallel_attempts:
        return False
    return may_repeat(job, now)


def may_repeat(job: Job, now: float, attempt: Attempt | None = None) -> bool:
    """Whether the job's repeat class allows an attempt now, given those that are open or may have run.

    With no such attempt, and for a freely repeatable job, it always does. It never does for a single-shot
    job. A guarded one may be sent within the memory span of the earliest such attempt. `attempt`, if given,
    is the attempt in question, already open, so it does not count against itself.
    """
    binding = job.find_binding_attempt(attempt)
    if binding is None or job.spec.repeat is api.Repeat.FREE:
        return True
    guarded, span = job.spec.repeat is api.Repeat.GUARDED, job.spec.memory_span
    return guarded and now <= binding.sent_at + min(MEMORY_SPAN_SHARE * span, span - MAX_STALL_MS)


def may_refuse(job: Job) -> bool:
    """Whether the job may be refused, which invites the client to retry.

    That is harmless where no attempt may have run, where the job may run repeatedly, or where all workers
    detect the repeat.
    """
    guarded_by_all = job.spec.repeat is api.Repeat.GUARDED and job.spec.scope is api.Scope.ALL
    return job.find_binding_attempt() is None or job.spec.repeat is api.Repeat.FREE or guarded_by_all


def round_kind(job: Job, rounds_by_class: bool, home_zone: str | None) -> RoundKind:
    """Return which workers the job's round may draw from; `home_zone` is the zone that it must not leave yet.

    A guarded repeat is confined to the zone or cell of the earlier attempt, where its repeat is detected.
    With `rounds_by_class`, jobs of different classes are of different kinds.
    """
    binding, cls = job.find_binding_attempt(), job.spec.name if rounds_by_class else None
    if binding is None or job.spec.repeat is not api.Repeat.GUARDED or job.spec.scope is api.Scope.ALL:
        return (job.spec.shape, home_zone, None, cls)
    if job.spec.scope is api.Scope.ZONE:
        return (job.spec.shape, binding.worker.zone, None, cls)
    return (job.spec.shape, None, binding.worker.cell, cls)


# ---- rounds --------------------------------------------------------------------------------------------


def draw_count(jobs: int) -> int:
    """Return how many workers a round of this many jobs draws; always more than it has jobs."""
    return max(DRAWS_PER_JOB * jobs, jobs + 1)


def draw(rng: random.Random, ready: list[Worker], count: int) -> list[Worker]:
    """Draw `count` of the ready workers, uniformly and with replacement."""
    size = len(ready)
    return [ready[int(rng.random() * size)] for _ in range(count)]


def pick_places(
    rng: random.Random, drawn: list[Worker], load: dict[str, tuple[float, float]], jobs: int
) -> list[tuple[float, float, Worker]]:
    """Pick the `jobs` least loaded places of a draw, lowest first, as (load, tie-breaker, worker).

    `load` gives each worker's load with a first job and the step for each further one. A worker drawn m times
    offers m places, one step apart, so it gets at most m jobs. Of all d places the d - k most loaded go
    unused, which is the paper's own wording of this cap.
    """
    times: dict[str, int] = {}
    places = []
    for worker in drawn:
        drawn_before = times.get(worker.name, 0)
        times[worker.name] = drawn_before + 1
        first, step = load[worker.name]
        places.append((first + drawn_before * step, rng.random(), worker))
    places.sort(key=lambda place: place[:2])
    return places[:jobs]


# (negated priority, False if the class earns too little, negated worth, negated latest start, job's id, wait
# id, job): the least entry leaves its queue first.
QueueEntry = tuple[int, bool, float, float, int, int, Job]


class RoundQueue:
    """Jobs of one kind that wait for a round: first attempts, retries, and jobs that found no room.

    Two heaps hold them in the order in which they leave: those that can still be in time, then the rest.
    """

    __slots__ = ("jobs_added", "in_time", "late", "due", "failed_turns")

    def __init__(self) -> None:
        """Create an empty queue whose turn is not due."""
        self.jobs_added = 0  # since the last turn
        self.in_time: list[QueueEntry] = []
        self.late: list[QueueEntry] = []
        self.due = math.inf  # time of the next turn, in ms
        self.failed_turns = 0  # turns in a row that placed nothing


# ---- the dispatcher ------------------------------------------------------------------------------------


class Dispatcher:
    """The decisions of one dispatcher: `handle` takes a batch of events and returns the actions.

    All times are in ms. It has no clock of its own: the time of the present batch is `now`.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a dispatcher that knows no worker and no request yet.

        Equal settings, seed and batches of events give equal actions. Raises `SettingsError` if a setting is
        not valid.
        """
        settings.check()
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.actions: list[api.Action] = []
        self.classes = {c.name: c for c in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.departed = DepartedWorkers(self.workers)
        self.list_validity = ListValidity()
        self.shapes: dict[str, Shape] = {}
        # Token buckets of the tenants: (requests left, when that was so, requests regained per ms).
        limited = [t for t in settings.tenants if t.allowance_per_s > 0]
        self.buckets = {t.name: (0.0, 0.0, t.allowance_per_s / 1000.0 / settings.instances) for t in limited}
        self.pools: dict[RoundKind, Pool] = {}
        self.whole_pool = self.pools[None, None, None, None] = Pool()  # all ready workers
        self.rounds_by_class = False  # some worker runs certain classes only, so each round is of one class
        self.in_service = 0  # number of workers in service, ready or not
        self.total_slots = 0.0  # of all workers in service
        self.our_slots = 0.0  # that our attempts take up, at all workers
        self.jobs: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # open ones, by (job's id, number)
        self.expiries: list[tuple[float, int]] = []  # heap of (when to look at it, job's id)
        self.unstarted: deque[Attempt] = deque()  # in the order sent
        self.ejections: list[tuple[float, str]] = []  # heap of (end of the ejection, worker's name)
        self.round_queues: dict[RoundKind, RoundQueue] = {}
        self.unstarted_by_zone: Counter[str] = Counter()  # our attempts that wait for their start
        self.max_unstarted = 0  # limit of their number in each zone
        self.last_wait_id = 0
        self.zone_departures: list[tuple[float, int, int, Job]] = []  # when a waiting job may leave its zone
        self.round_ms = max(GATHER_SHARE * min(c.aim for c in settings.classes), GATHER_TICKS * settings.tick)
        self.class_work: dict[str, float] = {}  # by class, mean of hints and of runs without a hint (ms)
        self.class_earnings: dict[str, float] = {}  # recent share of its worth that a class's requests earned
        self.mean_worth = 0.0  # of a request that is answered in time
        self.start_delay_ms = [0.0, 0.0]  # recent mean time from send to start: in other zones, in our own
        self.median_start_ms = MIN_START_TIMEOUT_MS / START_TIMEOUT_FACTOR  # recent median of that time
        self.mean_slowdown = 1.0  # run time over work, fleet-wide
        self.last_failure_at = -math.inf  # of an attempt at any worker
        self.trusted_pool = Pool()  # ready workers with a recent success of ours and a low failure rate
        self.trust_expiry: deque[tuple[float, str]] = deque()  # (time of a success, worker), in that order
        self.run_ratio = RunSums()
        self.mean_run_ms = max(min(c.aim for c in settings.classes), 1.0)  # learned, from the shortest aim on
        self.timer_at = math.inf  # when the pending timer is due; infinity: none is pending
        self.timer_handle = 0  # of the latest timer
        self.list_watch = ListWatch(settings, self.rng)
        self.handlers = {
            api.Request: self.on_request, api.AttemptEnded: self.on_attempt_ended,
            api.Progress: self.on_progress, api.Membership: self.on_membership,
            api.RequestGone: self.on_request_gone, api.Beside: self.on_peer_load,
            api.StreamStarted: self.on_stream_started, api.ProbeEnded: self.on_probe_ended,
            api.Adopted: self.on_request_adopted, api.TimerFired: self.on_timer_fired,
            api.DeadlineMoved: self.on_deadline_moved,
            api.PeerMessage: lambda event: None,  # each dispatcher decides alone and asks nothing of others
        }  # fmt: skip

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Decide on a batch of events and return the actions that follow, in their order.

        `now` is the time of the batch in ms. After the events, whatever else is due at that time is done:
        final answers at deadlines, checks of missing starts, and rounds.

        Raises `ValueError` if `now` is before the last batch, `TypeError` on an object that is not an event.
        """
        if not now >= self.now and self.now:
            raise ValueError(f"the clock ran backwards, from {self.now} to {now}")
        if self.now == 0.0:
            self.list_watch.start(now)
        self.now = now
        self.actions = []
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is None:
                raise TypeError(f"{type(event).__name__} is not an event of this module")
            handler(event)  # type: ignore[operator]
        if self.list_watch.begin_call_if_due(now):
            self.actions.append(api.Watch(True))
        self.update_ready_workers(self.list_validity.update(now))
        self.end_expired_jobs()
        self.check_unstarted()
        self.run_rounds()
        self.set_timer()
        return self.actions

    # -- membership

    def on_membership(self, event: api.Membership) -> None:
        """Apply a list of workers, or record that it could not be had.

        A complete list ends the membership of all workers that it does not name.
        """
        names = {e.name for e in event.entries}
        if event.kind is api.ListKind.FAILED:
            self.list_watch.record_failure(self.now, event.late_call_ms)
            return
        if event.kind is api.ListKind.UNCONFIRMED:
            self.list_validity.change_source(names, self.now)
            return
        if event.kind is api.ListKind.STORED and (event.is_to_be_confirmed or self.settings.must_ask):
            self.list_validity.hold_back(names - self.workers.keys())
        for entry in event.entries:
            self.update_worker(entry)
        if event.kind is not api.ListKind.CHANGES:
            for worker in list(self.workers.values()):
                if worker.name not in names:
                    self.set_state(worker, api.WorkerState.GONE)
                    self.departed.update(worker, self.now)
        self.departed.expire(self.now)
        if event.by_discovery and event.kind is not api.ListKind.STORED:
            self.list_watch.record_answer()
            self.update_ready_workers(self.list_validity.confirm())

    def update_ready_workers(self, names: Iterable[str]) -> None:
        """Update which of these workers are ready, after discovery has confirmed the list or has not."""
        for worker in filter(None, map(self.workers.get, names)):
            self.update_ready(worker)
            for queue in self.round_queues.values():
                queue.due = self.now

    def update_worker(self, entry: api.WorkerEntry) -> None:
        """Apply an entry of the list to its worker, which is created if it is new."""
        worker = self.workers.get(entry.name)
        if worker is None:
            shape = self.shapes.setdefault(entry.shape, Shape())
            worker = self.workers[entry.name] = Worker(entry, shape)
            worker.state = api.WorkerState.GONE
            if entry.classes is not None and not self.rounds_by_class:
                self.split_rounds_by_class()
            self.assign_pools(worker)
        elif entry.classes != worker.classes:
            worker.classes = entry.classes
            self.assign_pools(worker)
        if entry.slots != worker.known_slots:
            before, worker.known_slots = self.slots(worker), entry.slots
            if worker.state is api.WorkerState.IN_SERVICE:
                self.total_slots += self.slots(worker) - before
        if entry.born and entry.born != worker.born:
            # A new process: what was learned of the old one no longer holds, and this one starts cold.
            worker.failures_in_a_row, worker.on_probation, worker.ejected_until = 0, False, 0.0
            worker.others, worker.slowdown, worker.run_ratio, worker.failure_rate = -1.0, 1.0, RunSums(), 0.0
        worker.born = entry.born
        if entry.born and entry.born + self.settings.warm_up > self.now:
            worker.cold_until = entry.born + self.settings.warm_up
        self.learn_rating(worker, entry.rating)
        self.set_state(worker, entry.state)
        self.departed.update(worker, self.now)

    def assign_pools(self, worker: Worker) -> None:
        """Put a worker into the pools of all kinds of round that may draw it.

        These are the combinations of its shape or any, its zone or cell or any, and, once some worker runs
        certain classes only, each class that it runs.
        """
        ready, in_service = worker.ready, worker.state is api.WorkerState.IN_SERVICE
        classes: list[str | None] = [None]
        if self.rounds_by_class:
            classes += [c for c in self.classes if worker.classes is None or c in worker.classes]
        keys = {(shape, zone, cell, cls) for shape in (None, worker.shape_name) for zone, cell in
                ((None, None), (worker.zone, None), (None, worker.cell)) for cls in classes}  # fmt: skip
        for pool in worker.pools:
            pool.members -= in_service
            if ready:
                pool.remove(worker)
        worker.pools = [self.pools.setdefault(key, Pool()) for key in sorted(keys, key=str)]
        for pool in worker.pools:
            pool.members += in_service
            if ready:
                pool.add(worker)

    def split_rounds_by_class(self) -> None:
        """Have each round hold jobs of one class from now on; waiting jobs move to the new queues."""
        self.rounds_by_class = True
        for worker in self.workers.values():
            self.assign_pools(worker)
        old_queues, self.round_queues = self.round_queues, {}
        for queue in old_queues.values():
            for queued in queue.in_time + queue.late:
                self.enqueue_job(queued[-1])

    def learn_rating(self, worker: Worker, rating: float) -> None:
        """Learn a worker's size from its rating and, where ratings are live, its present load.

        A live rating drops as the worker is loaded: its peak over its present value, less one, is the number
        of requests per core.
        """
        worker.rating = rating
        worker.peak_rating = max(worker.peak_rating, rating) if self.settings.live_ratings else rating
        if self.settings.live_ratings and rating > 0:
            per_core = worker.peak_rating / rating - 1
            worker.shape.learn_live_load(per_core)
            self.record_slots_of_others(worker, per_core * self.slots(worker), REPORT_AGE_MS)

    def set_state(self, worker: Worker, state: api.WorkerState) -> None:
        """Set a worker's state, and count it and its slots where it enters or leaves service."""
        if worker.state is not state:
            change = (state is api.WorkerState.IN_SERVICE) - (worker.state is api.WorkerState.IN_SERVICE)
            worker.state = state
            self.in_service += change
            self.total_slots += change * self.slots(worker)
            for pool in worker.pools:
                pool.members += change
        self.update_ready(worker)

    def update_ready(self, worker: Worker) -> None:
        """Put a worker into the pools that rounds draw from, or take it out.

        It is ready while it is in service, not ejected, and not held back until discovery confirms the list.
        On probation, it must also have no attempt younger than PROBATION_MS.
        """
        ready = (
            worker.state is api.WorkerState.IN_SERVICE
            and worker.name not in self.list_validity.held_back
            and worker.ejected_until <= self.now
            and not (
                worker.on_probation
                and any(a.sent_at > self.now - PROBATION_MS for a in worker.open_attempts.values())
            )
        )
        if ready is not worker.ready:
            worker.ready = ready
            for pool in worker.pools:
                (pool.add if ready else pool.remove)(worker)
            self.update_trusted(worker)

    # -- load estimate

    def slots(self, worker: Worker) -> float:
        """Return the slots of a worker.

        Its list entry gives them, or else what reports and starts have shown of its shape, or else its
        rating.

        Ratings that are always 1 tell nothing. Taken for sizes they would leave every worker one slot, and a
        job of two slots would find room nowhere; DEFAULT_SLOTS is assumed instead.
        """
        if worker.known_slots or worker.shape.slots:
            return worker.known_slots or worker.shape.slots
        return max(1.0, round(worker.peak_rating)) if self.settings.ratings else DEFAULT_SLOTS

    def learns_slots_from_starts(self) -> bool:
        """Whether reported starts are the only sign of how many slots a worker has."""
        return self.settings.tells_start and not self.settings.ratings

    def has_queued_attempt(self, worker: Worker) -> bool:
        """Whether an attempt of ours waits for a slot at the worker.

        One whose start is overdue by the start timeout counts only while another of ours runs there: with
        none running, it may as well be lost.
        """
        ours = worker.open_attempts.values() if self.settings.tells_start else ()
        since = -math.inf if any(a.started_at >= 0 for a in ours) else self.now - self.start_timeout()
        return any(a.started_at < 0 and since < a.sent_at < self.now - QUEUED_MS and not a.lost for a in ours)

    def may_try_extra_slot(self, worker: Worker, need: float) -> bool:
        """Whether a job may take one slot more than is known, to see whether it starts at once.

        This is tried at a warm worker that others hardly use, until several trials have found the shape full.
        """
        return (
            self.learns_slots_from_starts()
            and not worker.known_slots
            and worker.shape.failed_slot_trials < MAX_FAILED_SLOT_TRIALS
            and self.slots_of_other_dispatchers(worker) < 1.0
            and worker.cold_until <= self.now
            and worker.our_slots + worker.peer_slots + need <= self.slots(worker) + 1.0
        )

    def learn_running_slots(self, worker: Worker) -> None:
        """Raise the slots of a worker's shape to those that jobs of ours take up there by running at once."""
        if worker.known_slots or not self.learns_slots_from_starts():
            return
        settled = self.now - SETTLED_START_MS
        running = sum(a.job.need for a in worker.open_attempts.values() if 0 <= a.started_at <= settled)
        if running > self.slots(worker):
            self.set_slots(worker.shape, running)

    def set_slots(self, shape: Shape, slots: float) -> None:
        """Set the slots of each worker of a shape, and allow new trials of one slot more."""
        in_service = [w for w in self.workers.values() if w.state is api.WorkerState.IN_SERVICE]
        of_shape = [w for w in in_service if w.shape is shape]
        before = sum(self.slots(w) for w in of_shape)
        shape.slots, shape.failed_slot_trials = slots, 0
        self.total_slots += sum(self.slots(w) for w in of_shape) - before

    def warmth(self, worker: Worker) -> float:
        """Return the least share of its full capacity that a worker has now, 1 once it is warm.

        Its warm-up is taken to be linear or faster.
        """
        if self.now >= worker.cold_until or not worker.born:
            return 1.0
        done = max(0.0, self.now - worker.born) / self.settings.warm_up
        return self.settings.cold_share + (1 - self.settings.cold_share) * done

    def slowness(self, worker: Worker) -> float:
        """Return the expected ratio of run time to work on this worker now.

        It is the product of its shape's slowdown, its own, which decays to 1, and by how much its oldest
        attempt is overdue.
        """
        slowdown = worker.shape.slowdown
        if worker.slowdown != 1.0:
            age = (self.now - worker.slowdown_at) / (SLOWDOWN_DECAY_RUNS * self.mean_run_ms)
            slowdown *= 1.0 + (worker.slowdown - 1.0) * math.exp(-age)
        for attempt in worker.open_attempts.values():
            # Silence must make a worker look worse, never emptier, so its oldest attempt counts. One that was
            # lost on its way does not: it would make the worker look slow until its client gives up.
            if attempt.lost:
                continue
            late = (self.now - attempt.sent_at) / (OVERDUE_FACTOR * max(attempt.reference_run, 1.0))
            if late > 1.0:
                slowdown *= late
            break
        return slowdown

    def slots_of_others(self, worker: Worker) -> float:
        """Return the slots held at a worker by the peer process, as reported, and others, as estimated."""
        return worker.peer_slots + self.slots_of_other_dispatchers(worker)

    def slots_of_other_dispatchers(self, worker: Worker) -> float:
        """Estimate the slots held at a worker by other dispatchers.

        That is the last observation, which decays into the mean over the fleet: the others are assumed to
        hold as much as we do, evenly spread, up to a limit.
        """
        slots = self.slots(worker)
        mean = min((self.settings.instances - 1) * self.our_slots / max(self.total_slots, 1.0), 1.0) * slots
        # A mere assumption must never close a worker: it leaves a slot free.
        mean = max(0.0, min(mean, MAX_ASSUMED_OTHERS_SHARE * slots, slots - 1.0))
        if worker.others < 0:
            return mean
        age = (self.now - worker.others_at) / (OTHERS_DECAY_RUNS * self.mean_run_ms)
        return mean + (worker.others - mean) * math.exp(-age)

    def record_slots_of_others(self, worker: Worker, held: float, age: float) -> None:
        """Record that a worker was seen to hold `held` slots `age` ms ago; those not ours are held by others.

        Ours are the attempts that were open then. Later ones come on top of the observation. One that has
        ended since must not count as others', or it would hide the very slot that it freed.
        """
        observed_at = self.now - age
        ours = sum(a.job.need for a in worker.open_attempts.values() if a.sent_at <= observed_at)
        ours += worker.recently_ended.slots_held_at(observed_at, self.now)
        worker.others = max(0.0, held - ours - worker.peer_slots)
        worker.others_at = observed_at

    def probe_if_filling(self, worker: Worker, need: float) -> None:
        """Where only probes bring reports, probe a worker that fills up, to learn what others hold there.

        `need` is the size in slots of the job that may be added to ours. A probe is sent at most once every
        PROBE_INTERVAL_MS.
        """
        only_probes = (
            self.settings.may_probe
            and self.settings.reports_in_probes
            and not self.settings.reports_in_answers
        )
        if not only_probes or self.now < worker.probed_at + PROBE_INTERVAL_MS:
            return
        if worker.our_slots + need > PROBE_LOAD_SHARE * self.slots(worker):
            worker.probed_at = self.now
            self.actions.append(api.Probe(worker.name))

    def learn_report(self, worker: Worker, report: api.Report) -> None:
        """Learn a worker's slots, and the load by others, from its report. Each field may be missing.

        Once about one job is queued, all slots are taken: their number is the jobs held less those queued.
        """
        shape, queued = worker.shape, report.queued
        if not self.learns_slots_from_starts():  # reports are noisy, reported starts are not
            if report.free_slots is not None:
                shape.slots = max(shape.slots, float(round(report.free_slots)))
            if report.in_flight is not None and queued is not None and queued >= 0.9:
                shape.slots = max(1.0, float(round(report.in_flight - queued)))
        if report.in_flight is not None:
            self.record_slots_of_others(worker, report.in_flight, REPORT_AGE_MS)
        elif report.free_slots is not None:
            self.record_slots_of_others(
                worker, self.slots(worker) - report.free_slots + (queued or 0.0), REPORT_AGE_MS
            )
        elif queued is not None and queued >= 0.9:
            self.record_slots_of_others(worker, self.slots(worker) + queued, REPORT_AGE_MS)

    def learn_run(self, attempt: Attempt, run: float) -> None:
        """Learn from a finished run (ms) about its class, its worker and the worker's shape.

        A run on a cold worker counts only for its class and the mean run time.
        """
        worker, shape, job = attempt.worker, attempt.worker.shape, attempt.job
        if not job.has_hint:
            mean = self.class_work.setdefault(job.spec.name, run)
            self.class_work[job.spec.name] = mean + AVERAGE_GAIN * (run - mean)
        self.mean_run_ms += AVERAGE_GAIN * (run - self.mean_run_ms)
        if worker.cold_until > self.now:
            return
        mean_work = self.class_work.get(job.spec.name, job.work)
        self.mean_slowdown = self.run_ratio.add(run, job.work, mean_work, AVERAGE_GAIN)
        # The run is bounded, so that a slow worker does not make its whole shape look slow.
        bounded_run = min(run, MAX_SHAPE_RUN_FACTOR * shape.slowdown * max(job.work, mean_work))
        shape.slowdown = shape.run_ratio.add(bounded_run, job.work, mean_work, AVERAGE_GAIN)
        worker.slowdown = worker.run_ratio.add(
            run, job.work * shape.slowdown, mean_work * shape.slowdown, WORKER_GAIN
        )
        worker.slowdown_at = self.now

    def load(self, worker: Worker, need: float) -> tuple[float, float]:
        """Return a worker's load with one more job of `need` slots, and the step for each further one.

        Load is slots taken over present capacity: 1 stands for all slots of a warm worker of slowness 1.
        """
        capacity = self.slots(worker) * self.warmth(worker) / self.slowness(worker)
        return (worker.our_slots + self.slots_of_others(worker) + need) / capacity, need / capacity

    def has_room(self, worker: Worker, need: float, late: bool) -> bool:
        """Whether a job of `need` slots is expected to find room at the worker.

        A job that is late anyway leaves some slots free: under overload it would take the place of other
        dispatchers' jobs that are still in time, which our own queue does not show.
        """
        slots = self.slots(worker)
        spare = LATE_RESERVE_SHARE * slots if late else 0.0
        if worker.our_slots + self.slots_of_others(worker) + need <= slots + 0.5 - spare:
            return True
        return not late and self.may_try_extra_slot(worker, need)

    # -- cold workers

    def fits_cold_budget(self, worker: Worker, job: Job) -> bool:
        """Whether our share of a cold worker's budget has room for the job, after what we sent it lately.

        What the peer process has sent counts too. A worker that is not cold has no limit.
        """
        if worker.cold_until <= self.now:
            return True
        cost = self.cold_cost(worker, job)
        since = self.now - self.settings.cold_window
        spent = worker.cold_spent = [sent for sent in worker.cold_spent if sent[0] > since]
        return sum(c for _, c in spent) + worker.peer_cold_work + cost <= self.cold_budget(worker, cost)

    def cold_cost(self, worker: Worker, job: Job) -> float:
        """Return what a job takes of a cold worker's budget, as slot time in ms.

        The number of calls counts as well as their work, so a small job costs as much as half a mean run.
        """
        return max(self.expected_run(worker, job), self.mean_run_ms / 2) * job.need

    def cold_budget(self, worker: Worker, cost: float) -> float:
        """Return the slot time (ms) that we may send a cold worker within the window.

        `cost` is the slot time (ms) of the next job.

        All dispatchers together may send the cold multiple x the worker's present capacity x the window, of
        which COLD_BUDGET_SHARE is given out. Where an even share would be less than one job, only some
        dispatchers, chosen by a hash of the worker's name, have a share; the others get 0.

        A dispatcher with a share seldom has enough jobs to use it up. `used` estimates the part that it uses,
        from its open jobs, the ready workers and the draws per job. Accordingly more dispatchers have a
        share, and the expected sum stays the same. If all use theirs at once, as after a zone's return, the
        sum exceeds the whole budget of N calls by at most sqrt(N) + 1, which is half of what is allowed for
        chance.
        """
        window = self.settings.cold_window
        whole = self.settings.cold_multiple * self.warmth(worker) * self.slots(worker) * window
        calls = whole / max(cost, self.mean_run_ms)
        calls += math.sqrt(calls) + 1.0
        budget = COLD_BUDGET_SHARE * whole
        holders = min(self.settings.instances, max(1, int(min(budget / cost, calls))))
        demand = len(self.jobs) * window * DRAWS_PER_JOB / max(len(self.whole_pool.items), 1)
        used = min(1.0, max(holders / calls, demand / cost))
        rank = (crc32(worker.name.encode()) + self.settings.instance) % self.settings.instances
        return budget / holders if rank < int(holders / used) else 0.0

    def expected_run(self, worker: Worker, job: Job) -> float:
        """Return the expected run time (ms) of a job on this worker when warm."""
        return job.work * worker.shape.slowdown

    # -- rounds

    def run_rounds(self) -> None:
        """Run a turn of each queue that has a full round or whose gathering time is over.

        Before that, workers whose ejection or trust has ended, and jobs that may leave their zone, are moved
        to where they belong now.
        """
        while self.ejections and self.ejections[0][0] <= self.now:
            worker = self.workers.get(heapq.heappop(self.ejections)[1])
            if worker is not None:
                self.update_ready(worker)
                if worker.on_probation and not worker.ready:
                    heapq.heappush(self.ejections, (self.now + PROBATION_MS, worker.name))
        decay_ms = FAILURE_DECAY_RUNS * self.mean_run_ms
        while self.trust_expiry and self.trust_expiry[0][0] < self.now - decay_ms:
            trusted = self.workers.get(self.trust_expiry.popleft()[1])
            if trusted is not None:
                self.update_trusted(trusted)
        while self.zone_departures and self.zone_departures[0][0] <= self.now:
            _, _, wait_id, job = heapq.heappop(self.zone_departures)
            if wait_id == job.wait_id and not job.ended:
                self.enqueue_job(job)
        due = [k for k, q in self.round_queues.items() if q.jobs_added >= JOBS_PER_ROUND or self.now >= q.due]
        # Jobs that left their zone for lack of room come first, as waiting costs them most.
        wider = dict.fromkeys((k[0], None, None, k[3]) for k in due)
        for kind in [k for k in wider if k in self.round_queues] + [k for k in due if k not in wider]:
            self.run_turn(kind, self.round_queues[kind])

    def run_turn(self, kind: RoundKind, queue: RoundQueue) -> None:
        """Run rounds of one kind until no job waits or several rounds in a row find no room.

        Jobs that found no place wait in the queue for its next turn, or in another one if they have left
        their zone. The cost of a turn must not grow with the backlog: under overload thousands of jobs may
        wait.
        """
        all_unplaced: list[Job] = []
        placed, empty_rounds = 0, 0
        self.count_unstarted()
        while empty_rounds < MAX_EMPTY_ROUNDS:
            jobs = self.pop_jobs(queue)
            if not jobs:
                break
            unplaced = self.place_round(kind, jobs)
            all_unplaced.extend(unplaced)
            placed += len(jobs) - len(unplaced)
            empty_rounds = empty_rounds + 1 if len(unplaced) == len(jobs) else 0
        for job in all_unplaced:
            if kind[1] is not None and round_kind(job, self.rounds_by_class, self.home_zone_of(job)) != kind:
                self.enqueue_job(job)  # it has left its zone
            else:
                self.push_job(queue, job)
        if not (queue.in_time or queue.late):
            del self.round_queues[kind]
            return
        queue.jobs_added = 0
        queue.failed_turns = 0 if placed else min(queue.failed_turns + 1, MAX_FAILED_TURNS)
        queue.due = self.now + self.round_ms * (1 + queue.failed_turns)

    def count_unstarted(self) -> None:
        """Count our sent jobs that wait for their start, by zone, and set the limit for each zone.

        A job queued at a worker delays jobs of all dispatchers there and cannot be moved. Held back here, it
        leaves by worth, to the worker that is free first. Each of many dispatchers sees too little of a
        worker to know of its queue, but how long its own jobs take to start shows it.
        """
        self.unstarted_by_zone = Counter()
        if self.settings.tells_start:
            since = self.now - self.start_timeout()
            waiting = (a for a in self.unstarted if a.sent_at > since and not (a.lost or self.is_settled(a)))
            self.unstarted_by_zone.update(a.worker.zone for a in waiting)
        running = sum(a.started_at >= 0 for a in self.attempts.values())
        our_part = UNSTARTED_PER_WORKER * len(self.whole_pool.items) / self.settings.instances
        self.max_unstarted = int(max(MIN_UNSTARTED, our_part, UNSTARTED_RUNNING_SHARE * running))

    def pop_jobs(self, queue: RoundQueue) -> list[Job]:
        """Remove and return the jobs that leave the queue first, up to a full round.

        On the way, void entries are dropped, jobs that have become late change to the late heap, and jobs
        that are hopeless or may not be sent any more are answered.
        """
        jobs: list[Job] = []
        while len(jobs) < JOBS_PER_ROUND and (heap := queue.in_time or queue.late):
            *_, wait_id, job = heapq.heappop(heap)
            if wait_id != job.wait_id:
                continue  # it has moved to another queue
            if heap is queue.in_time and self.latest_start(job) < self.now:
                self.push_job(queue, job)  # it has become late while it waited
            elif heap is queue.late and self.now > self.hopeless_from(job):
                if not job.ended and not job.open_attempts:
                    self.answer_job(job)
            elif self.recheck_waiting(job):
                jobs.append(job)
        return jobs

    def push_job(self, queue: RoundQueue, job: Job) -> None:
        """Put a job into a queue, by the order in which jobs leave it.

        Jobs that can be in time go first, unless their tenant is beyond its share. Among equals the order is:
        higher priority, classes that earn far less than the best one, more worth for the work, and then most
        slack. By least slack, overload would serve every job at the edge of its aim, and the first small
        delay would make most of them late.
        """
        earns_little = self.class_earnings.get(job.spec.name, 1.0) < MIN_EARNINGS_SHARE * max(
            self.class_earnings.values(), default=1.0
        )
        latest = self.latest_start(job)
        heap = queue.late if latest < self.now or job.worth_scale < 1.0 else queue.in_time
        heapq.heappush(
            heap, (-job.priority, not earns_little, -self.worth(job), -latest, job.id, job.wait_id, job)
        )

    def record_earnings(self, job: Job, earned: float) -> None:
        """Record for the job's class that the job has ended and earned this share of its worth.

        A job beyond its tenant's share, or with a failed attempt, is left out: it is no measure of the room
        that its class gets.
        """
        if job.worth_scale == 1.0 and not job.excluded:
            mean = self.class_earnings.setdefault(job.spec.name, 1.0)
            self.class_earnings[job.spec.name] = mean + AVERAGE_GAIN * (earned - mean)

    def must_yield(self, job: Job, zone: str) -> bool:
        """Whether a job has to wait until the starts of our other jobs show that there is room in the zone.

        That goes for a job that will be late at typical speed or is beyond its tenant's share: in a worker's
        queue it would delay other dispatchers' jobs that are in time. It may go while no job of ours waits
        for its start in the zone, provided that starts come at once lately or nothing of ours is open
        anywhere.
        """
        low_priority = job.worth_scale < 1.0 or self.now + self.mean_slowdown * job.work > job.aim_at
        return low_priority and bool(
            self.unstarted_by_zone[zone] or (self.median_start_ms > LATE_START_MS and self.attempts)
        )

    def recheck_waiting(self, job: Job) -> bool:
        """Check again, as its round begins, whether a waiting job may be sent, and return that.

        Its memory span may have run out while it waited. A job that may not be sent any more is answered,
        unless an attempt of it is open.
        """
        if job.ended or may_send(job, self.settings, self.now):
            return not job.ended
        if not job.open_attempts:
            self.answer_job(job)
        return False

    def hopeless_from(self, job: Job) -> float:
        """Return the time from which no worker could end the job while its answer is worth something.

        That is until its deadline, or its aim if a late answer of its class earns nothing. A job that nobody
        waits for was confirmed, and no client would hear that it was given up: its deadline counts.
        """
        fastest = min((s.slowdown for s in self.shapes.values()), default=self.mean_slowdown)
        due = job.deadline if job.spec.late_worth > 0 or job.nobody_waits else job.aim_at
        return due - HOPELESS_RUN_SHARE * fastest * job.work

    def latest_start(self, job: Job) -> float:
        """Return the time by which a job must start to end within its aim.

        It is taken to run at typical speed, RUN_MARGIN_FACTOR times as long as expected.
        """
        return job.aim_at - RUN_MARGIN_FACTOR * self.mean_slowdown * job.work

    def place_round(self, kind: RoundKind, jobs: list[Job]) -> list[Job]:
        """Run one round of the paper's process and return the jobs that it could not place.

        Single-shot jobs that need a trusted worker and found none get a second round, among the trusted
        workers of the same kind.
        """
        pool = self.pools.get(kind)
        if pool is None or not pool.items:
            return jobs
        unplaced = self.fill_round(pool.items, jobs)
        need_trusted = [
            j for j in unplaced if j.spec.repeat is api.Repeat.SINGLE_SHOT and self.needs_trusted_worker(j)
        ]
        trusted = [w for w in self.trusted_pool.items if w.name in pool.positions] if need_trusted else []
        if trusted:
            still_unplaced = set(map(id, self.fill_round(trusted, need_trusted)))
            unplaced = [j for j in unplaced if j not in need_trusted or id(j) in still_unplaced]
        return unplaced

    def fill_round(self, candidates: list[Worker], jobs: list[Job]) -> list[Job]:
        """Draw from the given workers, send jobs to the least loaded places, and return the other jobs.

        Places are compared for a job of the largest size in the round. Each job takes the first place that is
        suitable for it.
        """
        need = max(j.need for j in jobs)
        drawn = draw(self.rng, candidates, draw_count(len(jobs)))
        load = {w.name: self.load(w, need) for w in drawn}
        for worker in drawn:
            self.probe_if_filling(worker, need)
        places = pick_places(self.rng, drawn, load, len(jobs))
        unplaced = []
        for job in jobs:
            for i, (_, _, worker) in enumerate(places):
                if self.is_suitable(worker, job):
                    self.send_attempt(job, worker)
                    del places[i]
                    break
            else:
                unplaced.append(job)
        return unplaced

    def is_suitable(self, worker: Worker, job: Job) -> bool:
        """Whether the job may be sent now to a drawn worker, by all rules and limits."""
        return (
            worker.ready
            and worker.name not in job.excluded
            and worker.class_backoffs.get(job.spec.name, (0.0, 0))[0] <= self.now
            and self.has_room(worker, job.need, self.latest_start(job) < self.now)
            and not self.has_queued_attempt(worker)
            and self.unstarted_by_zone[worker.zone] < self.max_unstarted
            and not self.must_yield(job, worker.zone)
            and self.ends_in_time(worker, job)
            and self.fits_cold_budget(worker, job)
            and (job.spec.repeat is not api.Repeat.SINGLE_SHOT or self.is_reliable(worker, job))
        )

    def is_reliable(self, worker: Worker, job: Job) -> bool:
        """Whether a single-shot job may go to the worker: it is not faulty, and trusted if need be."""
        if self.is_faulty(worker):
            return False
        return worker.name in self.trusted_pool.positions or not self.needs_trusted_worker(job)

    def needs_trusted_worker(self, job: Job) -> bool:
        """Whether a single-shot job waits for a trusted worker.

        A dispatcher that sends to each worker rarely learns too late that one is bad, but a failure anywhere
        shows that there are bad ones. For a while the job then goes only where attempts of ours succeeded
        lately, as those at a bad worker do less often. Where there is no such worker, waiting would find
        none. Rarely means less than twice within the decay time of failures, by Little's law from the slots
        that we hold.
        """
        return (
            self.now - self.last_failure_at <= FAILURE_DECAY_RUNS * self.mean_run_ms
            and self.our_slots * FAILURE_DECAY_RUNS < 2.0 * self.in_service
            and bool(self.trusted_pool.items)
            and self.now < job.arrived_at + TRUSTED_ONLY_AIM_SHARE * job.spec.aim
        )

    def update_trusted(self, worker: Worker) -> None:
        """Put a worker into the pool of trusted workers, or take it out.

        Trusted is a ready worker with a recent success of ours and a low failure rate.
        """
        decay_ms = FAILURE_DECAY_RUNS * self.mean_run_ms
        trusted = (
            worker.ready
            and self.now - worker.last_success_at <= decay_ms
            and self.current_failure_rate(worker) < TRUSTED_RATE
        )
        if trusted is not (worker.name in self.trusted_pool.positions):
            (self.trusted_pool.add if trusted else self.trusted_pool.remove)(worker)

    def is_faulty(self, worker: Worker) -> bool:
        """Whether attempts fail at the worker so often that jobs that cannot be repeated are kept away.

        Repeatable jobs still go there and find out when it has recovered. Where many workers fail, they are
        not the cause, and all are used.
        """
        if self.current_failure_rate(worker) < FAULTY_RATE:
            return False
        ready = self.whole_pool.items
        return sum(self.current_failure_rate(w) >= FAULTY_RATE for w in ready) <= MIN_READY_SHARE * len(ready)

    def current_failure_rate(self, worker: Worker) -> float:
        """Return a worker's failure rate now, after its decay since the last result."""
        if not worker.failure_rate:
            return 0.0
        return worker.failure_rate * math.exp(
            -(self.now - worker.failure_rate_at) / (FAILURE_DECAY_RUNS * self.mean_run_ms)
        )

    def record_result(self, worker: Worker, failed: bool) -> None:
        """Record a failure or success of an attempt, in the worker's failure rate and in what is trusted."""
        rate = self.current_failure_rate(worker)
        if failed:
            self.last_failure_at = self.now
        else:
            worker.last_success_at = self.now
            self.trust_expiry.append((self.now, worker.name))
        worker.failure_rate = rate + FAILURE_GAIN * (1.0 - rate) if failed else rate - SUCCESS_GAIN * rate
        worker.failure_rate_at = self.now
        self.update_trusted(worker)

    def ends_in_time(self, worker: Worker, job: Job) -> bool:
        """Whether the job would end within its aim at the worker, or would not at typical speed either.

        A free slot on a worker that has become slow looks as good as any other, so the job is held for a
        better draw while one may still come. A worker where it would miss its deadline is never suitable.
        """
        time_left = job.aim_at - self.now
        run = job.work * self.slowness(worker) / self.warmth(worker)
        if run > job.deadline - self.now:
            return False
        return run <= time_left or job.work * self.mean_slowdown > time_left

    # -- zones

    def home_zone_of(self, job: Job) -> str | None:
        """Return the zone, our own, whose workers alone a job may be sent to for now, or None for any.

        It may leave once waiting there costs more than crossing, or no worker that it can use is there. From
        then on it is not confined again. Where crossing has no price, no job is confined.
        """
        if not self.settings.price_cross_zone or not job.home_zone_only:
            return None
        pool = self.pools.get(
            (job.spec.shape, self.settings.zone, None, job.spec.name if self.rounds_by_class else None)
        )
        job.home_zone_only = pool is not None and pool.members > 0 and self.now < self.leaves_zone_at(job)
        return self.settings.zone if job.home_zone_only else None

    def leaves_zone_at(self, job: Job) -> float:
        """Return the time from which waiting in our own zone costs a job more than crossing; infinity: never.

        While the job can be in time, its chance to start in time at home is taken to be the share of its
        slack that remains, where the extra delay of starts at home, against other zones, counts as used up.
        If it misses that, it loses what being in time is worth. Once it is late, it loses what a late answer
        still earns, evenly until its deadline.
        """
        latest, late_worth = self.latest_start(job), job.spec.late_worth
        loss_share = max(1.0 - late_worth, MIN_WAIT_LOSS_SHARE)
        stake = max(CROSS_ZONE_LOSS_FACTOR * self.worth(job) * max(job.work, 1.0), 1e-9)
        price = self.settings.price_cross_zone * self.mean_worth
        if self.now < latest and price < stake * loss_share:
            extra_delay = max(0.0, self.start_delay_ms[True] - self.start_delay_ms[False])
            return latest - (1.0 - price / (stake * loss_share)) * max(job.slack, 1.0) - extra_delay
        if price < stake * late_worth:
            return latest + price / (stake * late_worth) * (job.deadline - job.aim_at)
        return math.inf

    def tenant_worth_scale(self, tenant: str | None) -> float:
        """Count a request against its tenant's share, and return the factor on its worth.

        The factor is 1 for a tenant without a limit and within our even part of the tenant's share, and below
        1 beyond it. The share is kept as a token bucket.
        """
        bucket = self.buckets.get(tenant or "")
        if bucket is None:
            return 1.0
        tokens, updated_at, rate = bucket
        tokens = min(tokens + (self.now - updated_at) * rate, max(TENANT_BURST_MS * rate, 1.0))
        exceeded = tokens < 1.0
        self.buckets[tenant or ""] = (tokens if exceeded else tokens - 1.0, self.now, rate)
        return self.settings.over_share_worth if exceeded else 1.0

    def worth(self, job: Job) -> float:
        """Return the worth of a job, if in time, for each ms of its work."""
        worth = job.spec.worth if self.settings.worth_by_work else job.spec.worth / max(job.work, 1.0)
        return worth * job.worth_scale

    # -- requests

    def on_request(self, event: api.Request) -> None:
        """Queue a new request, or refuse it if it has expired already.

        Raises `ValueError` if its class is unknown.
        """
        spec = self.classes.get(event.cls)
        if spec is None:
            raise ValueError(f"request {event.id} is of class {event.cls!r}, which the settings do not name")
        if event.hint:
            mean = self.class_work.setdefault(spec.name, event.hint)
            self.class_work[spec.name] = mean + AVERAGE_GAIN * (event.hint - mean)
            work = event.hint
        else:
            work = self.class_work.get(spec.name, spec.aim)
        job = Job(event, spec, self.now, work)
        if event.expires_in <= 0:
            self.actions.append(api.Refuse(job.id))
            return
        self.jobs[job.id] = job
        job.slack = self.latest_start(job) - self.now
        job.worth_scale = self.tenant_worth_scale(event.tenant)
        value = self.worth(job) * max(job.work, 1.0)
        self.mean_worth += (value - self.mean_worth) * (AVERAGE_GAIN if self.mean_worth else 1.0)
        heapq.heappush(self.expiries, (min(job.deadline, self.hopeless_from(job)), job.id))
        self.enqueue_job(job)

    def enqueue_job(self, job: Job) -> None:
        """Queue a job for the next round of its kind, for a first attempt or a retry.

        Any earlier queue entry of it becomes void. If it is confined to its zone, the time at which it may
        leave is scheduled too.
        """
        home_zone = self.home_zone_of(job)
        kind = round_kind(job, self.rounds_by_class, home_zone)
        queue = self.round_queues.setdefault(kind, RoundQueue())
        queue.jobs_added += 1
        self.last_wait_id += 1
        job.wait_id = self.last_wait_id
        self.push_job(queue, job)
        if home_zone is not None and (leaves_at := self.leaves_zone_at(job)) < job.deadline:
            heapq.heappush(self.zone_departures, (leaves_at, job.id, job.wait_id, job))
        queue.due = min(queue.due, self.now + self.round_ms)

    def send_attempt(self, job: Job, worker: Worker) -> None:
        """Send a job to a worker, as its next attempt."""
        attempt = self.open_attempt(job, job.sends, worker, self.now)
        job.sends += 1
        self.unstarted_by_zone[worker.zone] += self.settings.tells_start
        attempt.beyond_slots = worker.our_slots + worker.peer_slots > self.slots(worker)
        if worker.cold_until > self.now:
            worker.cold_spent.append((self.now, self.cold_cost(worker, job)))
        if worker.on_probation:
            self.update_ready(worker)
        self.actions.append(api.Send(job.id, worker.name))

    def may_begin(self, request: int, number: int, now: float) -> bool:
        """Whether an attempt may still write its first byte, `now` being the time in ms.

        It is asked just before the write. A slow connection may have held that back until the request has
        ended, is past its deadline, or is past the memory span of an earlier attempt, or until the list is no
        longer confirmed.
        """
        attempt = self.attempts.get((request, number))
        if attempt is None or attempt.job.ended or now >= attempt.job.deadline:
            return False
        return self.list_validity.may_send(attempt.worker.name, now) and may_repeat(attempt.job, now, attempt)

    def open_attempt(self, job: Job, number: int, worker: Worker, sent_at: float) -> Attempt:
        """Register an attempt as sent at `sent_at`, and return it. It takes up slots of its worker."""
        attempt = Attempt(job, number, worker, sent_at, self.expected_run(worker, job))
        attempt.reference_run = max(
            attempt.expected, self.class_work.get(job.spec.name, 0.0) * worker.shape.slowdown
        )
        job.open_attempts.append(attempt)
        job.wait_id = 0
        self.attempts[job.id, number] = attempt
        worker.open_attempts[job.id, number] = attempt
        if self.settings.tells_start:
            self.unstarted.append(attempt)
        worker.our_slots += job.need
        self.our_slots += job.need
        return attempt

    def end_job(self, job: Job) -> None:
        """End a job, whoever answered it, and cancel its open attempts where possible."""
        job.ended = True
        self.jobs.pop(job.id, None)
        if self.settings.may_cancel:
            self.actions.extend(api.Cancel(job.id, a.number) for a in job.open_attempts)

    def answer_job(self, job: Job) -> None:
        """Give a job its final answer and end it: a refusal where a retry is harmless, or else a failure."""
        self.record_earnings(job, 0.0)
        self.actions.append(api.Refuse(job.id, self.wait_advice()) if may_refuse(job) else api.Fail(job.id))
        self.end_job(job)

    def wait_advice(self) -> float | None:
        """Return the time (ms) after which a refused client may retry, or None where none may be advised.

        It is the mean run time, after which about one run's worth of slots has become free, or the settings'
        limit if that is less.
        """
        return min(self.mean_run_ms, self.settings.max_wait_advice) if self.settings.may_advise_wait else None

    def on_deadline_moved(self, event: api.DeadlineMoved) -> None:
        """Move a request's deadline to an earlier time. A later one is ignored."""
        job = self.jobs.get(event.request)
        if job is not None and self.now + event.expires_in < job.deadline:
            job.deadline = self.now + event.expires_in
            job.aim_at = min(job.aim_at, job.deadline)
            heapq.heappush(self.expiries, (min(job.deadline, self.hopeless_from(job)), job.id))

    def on_request_gone(self, event: api.RequestGone) -> None:
        """End a request whose client has left."""
        if (job := self.jobs.get(event.request)) is not None:
            self.end_job(job)

    def on_stream_started(self, event: api.StreamStarted) -> None:
        """Note that a request's answer streams to the client: no retry or answer of ours may follow."""
        if (job := self.jobs.get(event.request)) is not None:
            job.streaming = True

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Free the slots of an ended attempt, learn from its outcome, and end, retry or answer its request.

        An attempt that is unknown, or whose end was reported before, is ignored.
        """
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        job, worker = attempt.job, attempt.worker
        self.learn_running_slots(worker)
        del worker.open_attempts[job.id, attempt.number]
        if event.outcome in (api.Outcome.DONE, api.Outcome.ERROR, api.Outcome.REJECTED):
            self.record_worker_message(attempt, event.outcome is api.Outcome.DONE)
        worker.recently_ended.add(attempt.sent_at, self.now, job.need)
        if not attempt.lost:
            worker.our_slots -= job.need
            self.our_slots -= job.need
        job.open_attempts.remove(attempt)
        if not event.outcome.never_ran:
            job.possible_runs.append(attempt)
        self.learn_outcome(attempt, event)
        self.departed.update(worker, self.now)
        if event.final or job.ended:
            if not job.ended:
                if event.outcome is api.Outcome.DONE:
                    self.record_earnings(job, 1.0 if self.now <= job.aim_at else job.spec.late_worth)
                self.end_job(job)
            return
        if not event.stale:
            job.excluded.add(worker.name)
        if self.now < job.deadline and may_send(job, self.settings, self.now):
            self.enqueue_job(job)
        elif not job.open_attempts:
            self.answer_job(job)

    def on_progress(self, event: api.Progress) -> None:
        """Learn from the start or progress of an attempt. An unknown attempt is ignored."""
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        self.learn_running_slots(attempt.worker)
        self.record_worker_message(attempt, True)
        if event.started:
            attempt.started_at = self.now
            delay = self.now - attempt.sent_at
            home = attempt.worker.zone == self.settings.zone
            self.start_delay_ms[home] += AVERAGE_GAIN * (delay - self.start_delay_ms[home])
            self.record_start_delay(delay)
            if self.learns_slots_from_starts() and attempt.beyond_slots and delay > LATE_START_MS:
                attempt.worker.shape.failed_slot_trials += 1  # it waited for another to end: no slot more
        elif event.share > 0:
            # Progress shows that a worker has become slow long before the job ends.
            since = attempt.started_at if attempt.started_at >= 0 else attempt.sent_at
            ratio = (self.now - since) / event.share / max(attempt.reference_run, 1.0)
            if ratio > OVERDUE_FACTOR:
                worker = attempt.worker
                worker.slowdown += WORKER_GAIN * (min(ratio, 20.0) - worker.slowdown)
                worker.slowdown_at = self.now

    def on_probe_ended(self, event: api.ProbeEnded) -> None:
        """Learn from an answered probe that its worker is live, and what it reports."""
        worker = self.workers.get(event.worker)
        if worker is None or not event.ok:
            return
        worker.last_message_at = self.now
        if event.report is not None:
            self.learn_report(worker, event.report)

    def on_timer_fired(self, event: api.TimerFired) -> None:
        """Note that the latest timer has fired, so that a new one will be set. Earlier ones are ignored."""
        if event.handle == self.timer_handle:
            self.timer_at = math.inf

    def end_expired_jobs(self) -> None:
        """Answer each open job at its deadline, and one without an open attempt as soon as it is hopeless.

        A job whose answer streams to the client has its answer already.
        """
        while self.expiries and (self.expiries[0][0] <= self.now or self.expiries[0][1] not in self.jobs):
            job = self.jobs.get(heapq.heappop(self.expiries)[1])
            if job is None or job.streaming:
                continue
            if self.now < job.deadline and (job.open_attempts or self.now < self.hopeless_from(job)):
                heapq.heappush(self.expiries, (job.deadline, job.id))
            else:
                self.answer_job(job)

    # -- the peer process, during an upgrade

    def on_peer_load(self, event: api.Beside) -> None:
        """Record what the peer process holds at each worker.

        Both processes act as one instance, so this takes up room as what we hold does. What the peer held
        when it ended runs on, and decays like the load by others.
        """
        for worker in self.workers.values():
            if event.gone and worker.peer_slots > 0:
                worker.others, worker.others_at = self.slots_of_others(worker), self.now
            worker.peer_slots, worker.peer_cold_work = event.holds.get(worker.name, (0.0, 0.0))

    def describe_commitments(self) -> api.Beside:
        """Return what this process holds at each worker, for the peer process.

        That is the slots of our open attempts, and the slot time (ms) that we sent while the worker was cold.
        """
        holds, since = {}, self.now - self.settings.cold_window
        for worker in self.workers.values():
            cold = sum(cost for at, cost in worker.cold_spent if at > since) if worker.cold_spent else 0.0
            if worker.our_slots > 0 or cold > 0:
                holds[worker.name] = (worker.our_slots, cold)
        return api.Beside(holds)

    def transfer_request(self, request: int, now: float) -> api.Standing | None:
        """Remove a request that continues in the peer process, and return its state.

        Returns None if it has to stay: it is unknown, its answer streams, an attempt of it is lost, or one
        that has ended may have run and restricts others. Times in the state are in ms from `now`, or ago.
        """
        job = self.jobs.get(request)
        confined = job is not None and job.possible_runs and job.spec.repeat is not api.Repeat.FREE
        if job is None or confined or job.streaming or any(a.lost for a in job.open_attempts):
            return None
        del self.jobs[job.id]
        job.ended = True
        standing = api.Standing(job.aim_at - now, job.work, job.sends, [], [], sorted(job.excluded))
        for attempt in job.open_attempts:
            started = now - attempt.started_at if attempt.started_at >= 0 else -1.0
            standing.out.append((attempt.number, now - attempt.sent_at, started))
            standing.at.append(attempt.worker.name)
            del self.attempts[job.id, attempt.number], attempt.worker.open_attempts[job.id, attempt.number]
            attempt.worker.our_slots -= job.need
            self.our_slots -= job.need
        return standing

    def on_request_adopted(self, event: api.Adopted) -> None:
        """Take over a request of the peer process, or one recovered, with its open attempts.

        These take up slots here from now on. Without any, the job is queued for an attempt.
        """
        request, standing = event.request, event.standing
        job = Job(request, self.classes[request.cls], self.now, standing.work)
        job.aim_at, job.sends, job.excluded = self.now + standing.aim_in, standing.sends, set(standing.avoid)
        self.jobs[job.id] = job
        heapq.heappush(self.expiries, (job.deadline, job.id))
        for (number, sent, started), name in zip(standing.out, standing.at, strict=True):
            attempt = self.open_attempt(job, number, self.workers[name], self.now - sent)
            if started >= 0:
                attempt.started_at = self.now - started
        if not job.open_attempts:
            self.enqueue_job(job)

    # -- health

    def learn_outcome(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn about a worker from the outcome of an attempt, and eject it if that is a fault of its own."""
        worker = attempt.worker
        if event.report is not None:
            self.learn_report(worker, event.report)
        if event.outcome in (api.Outcome.DONE, api.Outcome.ERROR):
            self.record_result(worker, event.outcome is api.Outcome.ERROR)
        if event.outcome is api.Outcome.DONE:
            if worker.on_probation or worker.failures_in_a_row:
                worker.failures_in_a_row, worker.on_probation = 0, False
                self.update_ready(worker)
            run = event.elapsed if attempt.started_at < 0 else self.now - attempt.started_at
            self.learn_run(attempt, run)
            return
        if event.outcome is api.Outcome.REJECTED:
            held = worker.our_slots + worker.peer_slots + attempt.job.need
            if self.learns_slots_from_starts() and held > self.slots(worker):
                worker.shape.failed_slot_trials += 1
            self.record_slots_of_others(worker, self.slots(worker) + 1.0, 0.0)
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) and not event.stale:
            self.eject(worker)
        if worker.on_probation:
            self.update_ready(worker)

    def record_worker_message(self, attempt: Attempt, ran: bool) -> None:
        """Record that a worker reported on an attempt; `ran`: the attempt runs or has run there.

        An attempt that was sent well before, should have started first and has not within the start timeout
        is lost: a connection stopped responding, and its slot is free. Where not all jobs start in the order
        sent, only those of the same class that need no more slots should have started first.
        """
        worker = attempt.worker
        worker.last_message_at = self.now
        if ran:
            worker.class_backoffs.pop(attempt.job.spec.name, None)
        if attempt.lost:
            attempt.lost = False
            worker.our_slots += attempt.job.need
            self.our_slots += attempt.job.need
        for other in worker.open_attempts.values():
            if not ran or other.sent_at + SEND_ORDER_GAP_MS >= attempt.sent_at:
                break
            goes_first = other.job.spec is attempt.job.spec and other.job.need <= attempt.job.need
            if not (goes_first or self.settings.starts_in_order):
                continue
            if other.started_at < 0 and not other.lost and other.sent_at + self.start_timeout() <= self.now:
                other.lost = True
                worker.our_slots -= other.job.need
                self.our_slots -= other.job.need

    def check_unstarted(self) -> None:
        """Where starts are reported, act on attempts whose start was not reported in time.

        A worker that has reported nothing since the attempt was sent may be cut off, and is ejected. One that
        has reported something else is not sent jobs of the same class for a while. A job that may be repeated
        is sent elsewhere, after a cancel, if its worker is silent or its attempt is lost; one that waits in
        the queue of a live worker stays there.
        """
        while self.unstarted:
            attempt = self.unstarted[0]
            if not self.is_settled(attempt) and self.now < attempt.sent_at + self.start_timeout():
                break
            self.unstarted.popleft()
            if self.is_settled(attempt):
                continue
            job, worker = attempt.job, attempt.worker
            self.record_start_delay(math.inf)
            is_silent = worker.last_message_at <= attempt.sent_at
            if is_silent:
                self.eject(worker)
            else:
                # It may lose jobs of one class only, and serve the others.
                _, backoffs = worker.class_backoffs.get(job.spec.name, (0.0, 0))
                until = self.now + CLASS_BACKOFF_RUNS * self.mean_run_ms * 2 ** min(backoffs, MAX_DOUBLINGS)
                worker.class_backoffs[job.spec.name] = (until, backoffs + 1)
            may_resend = (
                self.settings.may_cancel
                and job.sends < self.settings.max_attempts
                and may_repeat(job, self.now)
            )
            if may_resend and (is_silent or attempt.lost):
                self.actions.append(api.Cancel(job.id, attempt.number))

    def record_start_delay(self, delay: float) -> None:
        """Move the estimated median of the start delays by one step towards a new delay (ms).

        Infinity stands for a start that was not reported in time. The median is used because a fifth of the
        workers no longer responding hardly moves it.
        """
        step = 1.0 + AVERAGE_GAIN
        self.median_start_ms = max(
            1.0, self.median_start_ms * step if delay > self.median_start_ms else self.median_start_ms / step
        )

    def start_timeout(self) -> float:
        """Return the time (ms) without a reported start after which an attempt is taken to be lost.

        It is far longer than starts take at present. Where queues are long, an earlier cancel would waste the
        wait so far, and begin another one at the next worker.
        """
        return max(MIN_START_TIMEOUT_MS, START_TIMEOUT_FACTOR * self.median_start_ms)

    def is_settled(self, attempt: Attempt) -> bool:
        """Whether nothing is left to find out about an attempt: it has started or ended."""
        return attempt.started_at >= 0 or (attempt.job.id, attempt.number) not in self.attempts

    def eject(self, worker: Worker) -> None:
        """Eject a failing worker for a while, longer with each failure in a row; it returns on probation.

        It has no effect on a worker that is ejected already, or while less than MIN_READY_SHARE of the
        workers in service are ready.
        """
        if worker.ejected_until > self.now:
            return
        pool = self.whole_pool
        if len(pool.items) < MIN_READY_SHARE * pool.members:
            return  # nearly all look bad, so the cause is probably on our side: keep serving
        worker.ejected_until = self.now + FIRST_EJECTION_RUNS * self.mean_run_ms * 2 ** min(
            worker.failures_in_a_row, MAX_DOUBLINGS
        )
        worker.failures_in_a_row += 1
        worker.on_probation = True
        self.update_ready(worker)
        heapq.heappush(self.ejections, (worker.ejected_until, worker.name))

    # -- timer

    def set_timer(self) -> None:
        """Set a timer for the earliest time at which something is due, unless an earlier one is pending."""
        due = min((queue.due for queue in self.round_queues.values()), default=math.inf)
        if self.expiries:
            due = min(due, self.expiries[0][0])
        if self.unstarted:
            due = min(due, self.unstarted[0].sent_at + self.start_timeout())
        due = max(min(due, self.list_watch.next_at(), self.list_validity.next_at()), self.now)
        if due < self.timer_at:
            self.timer_at = due
            self.timer_handle += 1
            self.actions.append(api.SetTimer(due, self.timer_handle))

    # -- for operators

    def list_ejected_workers(self, now: float) -> set[str]:
        """Return the names of the workers that are sent nothing now because attempts there failed."""
        workers = (self.workers.get(name) for _, name in self.ejections)
        return {w.name for w in workers if w is not None and w.ejected_until > now}
