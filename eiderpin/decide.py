"""The scheduling decisions of one dispatcher; `eiderpin/interface.py` has its types, events and actions.

The algorithm is Park's (k,d)-choice. Requests gather into rounds of JOBS_PER_ROUND jobs; a round draws
DRAWS_PER_JOB workers per job, uniformly and with replacement, and places its jobs on the least loaded of
them: at most m on a worker drawn m times, ties at random. docs/design.md has the changes and exceptions.

Reading order: constants, workers and membership, load estimate, rounds, requests, health."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Iterable
from zlib import crc32

from eiderpin import interface as api
from eiderpin.policy.list_watch import ListWatch

# ---- constants -----------------------------------------------------------------------------------------

# _MS milliseconds, _RUNS mean run times, _SHARE a fraction, _GAIN the weight of a sample in a moving average

JOBS_PER_ROUND = 4
DRAWS_PER_JOB = 2  # Park's bound for heavy load holds from 2 on
GATHER_SHARE = 0.03  # time for which a round gathers jobs, as a share of the shortest aim
GATHER_TICKS = 2  # lower limit of that time
REPORT_AGE_MS = 150.0  # assumed age of a report on arrival; what we have sent since then is added to it
PROBE_INTERVAL_MS = 200.0  # least time between probes of a worker, where probes bring reports
PROBE_LOAD_SHARE = 0.5  # a worker is probed once our jobs there and one more exceed this share of its slots
OTHERS_DECAY_RUNS = 1.0  # decay time of an observation of the load by others
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
HOPELESS_RUN_SHARE = 0.7  # a job is given up when even this share of its expected run would end too late
MAX_FAILED_TURNS = 4  # each turn in a row that places nothing delays the next by a gathering time, up to this
LATE_RESERVE_SHARE = 0.25  # share of a worker's slots that jobs past their latest start leave free
MAX_EMPTY_ROUNDS = 2  # this many rounds in a row that place nothing end a turn: there is no room
DEFAULT_SLOTS = 4.0  # slots of a worker where neither ratings nor reports give a number
LATE_START_MS = 100.0  # a start later than this shows that the worker was full
QUEUED_MS = 60.0  # an attempt whose start is not reported by then shows that its worker is full
UNSTARTED_PER_WORKER = 2.0  # jobs of all dispatchers that may wait for their start, in each zone
MIN_UNSTARTED = 2  # least number of these that one dispatcher may have
UNSTARTED_RUNNING_SHARE = 0.25  # number that a busier dispatcher may have, as a share of its running jobs
MIN_START_TIMEOUT_MS = 600.0  # an attempt whose start is not reported by then is taken to be lost
START_TIMEOUT_FACTOR = 8.0  # the same as a multiple of the recent median start delay, if that is longer
SEND_ORDER_GAP_MS = 100.0  # attempts sent further apart than this reach their worker in their order
SETTLED_START_MS = (
    100.0  # age from which a start counts: the end before it may come later, on another connection
)
MAX_FAILED_SLOT_TRIALS = 3  # this many late starts or rejections end the trials of one slot more
COLD_BUDGET_SHARE = 0.6  # used share of a cold worker's budget; the rest is for chance and misjudged work
FAILURE_GAIN, SUCCESS_GAIN = 0.3, 0.1  # for a worker's failure rate, after a failure and after a success
FAULTY_RATE = 0.35  # reached by two failures; single-shot jobs are kept away from there on
FAILURE_DECAY_RUNS = 20.0  # decay time of a worker's failure rate
MEMORY_SPAN_SHARE = 0.9  # share of a memory span within which a guarded repeat is still sent
MAX_SEND_DELAY_MS = 150.0  # a process may be held up this long between reading its clock and writing
MIN_EARNINGS_SHARE = 0.75  # a class that earns less than this share of the best one goes first
TENANT_BURST_MS = 2000.0  # a tenant may use so much time's worth of its share at once
# Least share of its worth that a job loses by waiting, even where late answers earn as much: room that is
# idle meanwhile is lost to all.
MIN_WAIT_LOSS_SHARE = 0.5
# Weight of losses by waiting against the price of crossing zones: they count in the total, and again in bad
# stretches and for the class that fares worst, which consist of them.
CROSS_ZONE_LOSS_FACTOR = 2.0
TRUSTED_ONLY_AIM_SHARE = 0.2  # share of its aim for which a single-shot job waits for a trusted worker
TRUSTED_RATE = 0.1  # a trusted worker's failure rate is lower than this


# ---- workers and membership ----------------------------------------------------------------------------


class RunSums:
    """Decaying sums of run time and expected work (ms), for their ratio.

    Hints of work are rough. A mean of each run's own ratio would be ruled by jobs whose hint was far too low,
    and would show workers two or three times slower than they are."""

    __slots__ = ("run", "work")

    def __init__(self) -> None:
        self.run = self.work = 0.0

    def add(self, run: float, work: float, usual: float, gain: float) -> float:
        """Add a run and return the ratio. Both sums start from `usual`, the work of a mean job."""
        if self.work <= 0:
            self.run = self.work = usual
        self.run += run - gain * self.run
        self.work += work - gain * self.work
        return self.run / max(self.work, 1.0)


class Shape:
    """What is known of one machine shape."""

    __slots__ = ("slots", "slowdown", "run_ratio", "load_step", "load_steps_seen", "failed_slot_trials")

    def __init__(self) -> None:
        self.slots = 0.0  # of one worker; 0 until reports or starts show it
        self.slowdown = 1.0  # run time over expected work
        self.run_ratio = RunSums()
        self.load_step = 0.0  # requests per core of a worker that holds one request: 1 / cores
        self.load_steps_seen = 0
        self.failed_slot_trials = 0  # trials of one slot more that found the worker full

    def learn_live_load(self, per_core: float) -> None:
        """Learn from live ratings (requests per core): their smallest step is one request, or 1 / cores."""
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
    """One worker as this instance sees it."""

    __slots__ = (
        "name", "zone", "shape", "shape_name", "cell", "rating", "peak_rating", "born", "state", "ready",
        "open_attempts", "our_slots", "others", "others_at", "slowdown", "slowdown_at", "run_ratio",
        "failures_in_a_row", "on_probation", "ejected_until", "cold_until", "cold_spent", "pools",
        "recently_ended", "classes", "known_slots", "last_message_at", "class_backoffs", "peer_slots",
        "peer_cold_work", "failure_rate", "failure_rate_at", "last_success_at", "probed_at", "confirmed",
    )  # fmt: skip

    def __init__(self, entry: api.WorkerEntry, shape: Shape) -> None:
        self.name, self.zone, self.cell = entry.name, entry.zone, entry.cell
        self.shape_name = entry.shape
        self.shape = shape
        self.rating = self.peak_rating = entry.rating
        self.born = entry.born
        self.state = entry.state
        self.ready = False  # in the pools that rounds draw from
        self.confirmed = True  # False: known only from a stored list, which may be out of date
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # whose end was not reported, oldest first
        self.our_slots = 0.0  # needed by our attempts
        self.others = -1.0  # slots held by others when last observed; -1: never observed
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
        self.recently_ended: list[tuple[float, float, float]] = []  # (sent, ended, slots) of our attempts
        self.peer_slots = self.peer_cold_work = 0.0  # slots, and cold slot time, used by the peer process


class Pool:
    """The ready workers that one kind of round draws from; a uniform draw is one index into `items`."""

    __slots__ = ("items", "positions", "members")

    def __init__(self) -> None:
        self.items: list[Worker] = []
        self.positions: dict[str, int] = {}
        self.members = 0  # in service, ready or not

    def add(self, worker: Worker) -> None:
        self.positions[worker.name] = len(self.items)
        self.items.append(worker)

    def remove(self, worker: Worker) -> None:
        at = self.positions.pop(worker.name)
        last = self.items.pop()
        if last is not worker:
            self.items[at] = last
            self.positions[last.name] = at


# Which workers a round may draw from: the shape that its class runs on (None: any), the zone or cell that it
# is confined to, and its class where some workers run certain classes only (None: no such worker is listed).
RoundKind = tuple[str | None, str | None, int | None, str | None]


# ---- requests ------------------------------------------------------------------------------------------


class Attempt:
    """One attempt of a job at a worker. All times are in ms."""

    __slots__ = (
        "job", "number", "worker", "sent_at", "started_at", "expected", "usual", "beyond_slots", "lost",
    )  # fmt: skip

    def __init__(self, job: Job, number: int, worker: Worker, now: float, expected: float) -> None:
        self.job, self.number, self.worker = job, number, worker
        self.sent_at = now
        self.started_at = -1.0  # -1: no start was reported
        self.expected = expected  # expected run time on this worker
        self.usual = expected  # that of a mean job of the class, if it is longer
        self.lost = False  # its worker is live but does not know of it
        self.beyond_slots = False  # sent beyond the known slots, to see whether it starts at once


class Job:
    """A request from its arrival to its final answer. All times are in ms."""

    __slots__ = (
        "id", "spec", "deadline", "need", "work", "aim_at", "sends", "open_attempts", "possible_runs",
        "streaming", "excluded", "ended", "has_hint", "priority", "arrived_at", "slack",
        "home_zone_only", "worth_scale", "wait_id",
    )  # fmt: skip

    def __init__(self, request: api.Request, spec: api.RequestClass, now: float, work: float) -> None:
        self.id = request.id
        self.spec = spec
        self.has_hint = bool(request.hint)
        self.priority = request.priority
        self.deadline = now + request.expires_in
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
        """Return the earliest attempt (but for one) that is open or may have run: it restricts others."""
        bound = [a for a in self.possible_runs + self.open_attempts if a is not excluding]
        return min(bound, key=lambda a: a.sent_at) if bound else None


def may_send(job: Job, settings: api.Settings, now: float) -> bool:
    """Whether the rules allow another attempt of the job now, at some worker."""
    if job.ended or job.streaming or job.sends >= settings.max_attempts:
        return False
    if job.open_attempts and not settings.parallel_attempts:
        return False
    return may_repeat(job, now)


def may_repeat(job: Job, now: float, attempt: Attempt | None = None) -> bool:
    """Whether the job's class allows an attempt now (or `attempt`, if it is open) although others are open or
    may have run: never if single-shot, within the memory span if guarded."""
    binding = job.find_binding_attempt(attempt)
    if binding is None or job.spec.repeat is api.Repeat.FREE:
        return True
    guarded, span = job.spec.repeat is api.Repeat.GUARDED, job.spec.memory_span
    return guarded and now <= binding.sent_at + min(MEMORY_SPAN_SHARE * span, span - MAX_SEND_DELAY_MS)


def may_refuse(job: Job) -> bool:
    """Whether a client's retry is harmless: nothing may have run, or repeats may run or are detected."""
    guarded_by_all = job.spec.repeat is api.Repeat.GUARDED and job.spec.scope is api.Scope.ALL
    return job.find_binding_attempt() is None or job.spec.repeat is api.Repeat.FREE or guarded_by_all


def round_kind(job: Job, rounds_by_class: bool, home_zone: str | None) -> RoundKind:
    """Which workers the job's round may draw from; `home_zone` is the zone that it must not leave yet."""
    binding, cls = job.find_binding_attempt(), job.spec.name if rounds_by_class else None
    if binding is None or job.spec.repeat is not api.Repeat.GUARDED or job.spec.scope is api.Scope.ALL:
        return (job.spec.shape, home_zone, None, cls)
    if job.spec.scope is api.Scope.ZONE:
        return (job.spec.shape, binding.worker.zone, None, cls)
    return (job.spec.shape, None, binding.worker.cell, cls)


# ---- rounds --------------------------------------------------------------------------------------------


def draw_count(jobs: int) -> int:
    """How many workers a round of this many jobs draws."""
    return max(DRAWS_PER_JOB * jobs, jobs + 1)


def draw(rng: random.Random, ready: list[Worker], count: int) -> list[Worker]:
    """Draw workers uniformly, with replacement."""
    size = len(ready)
    return [ready[int(rng.random() * size)] for _ in range(count)]


def pick_places(
    rng: random.Random, drawn: list[Worker], load: dict[str, tuple[float, float]], jobs: int
) -> list[tuple[float, float, Worker]]:
    """Pick the `jobs` least loaded places of a draw, lowest first, as (load, tie-breaker, worker).

    `load` gives each worker's load with a first job and the step for each further one. A worker drawn m times
    offers m places. Of all d places the d - k most loaded go unused, as the paper words its cap."""
    times: dict[str, int] = {}
    places = []
    for worker in drawn:
        drawn_before = times.get(worker.name, 0)
        times[worker.name] = drawn_before + 1
        first, step = load[worker.name]
        places.append((first + drawn_before * step, rng.random(), worker))
    places.sort(key=lambda place: place[:2])
    return places[:jobs]


QueueEntry = tuple[int, bool, float, float, int, int, Job]


class RoundQueue:
    """Jobs of one kind that wait for a round: first attempts, retries, and jobs that found no room.

    Two heaps hold them in the order in which they leave: those that can still be in time, then the rest."""

    __slots__ = ("added", "in_time", "late", "due", "failed_turns")

    def __init__(self) -> None:
        self.added = 0  # since the last turn
        self.in_time: list[QueueEntry] = []
        self.late: list[QueueEntry] = []
        self.due = math.inf  # time of the next turn
        self.failed_turns = 0  # in a row


# ---- the dispatcher ------------------------------------------------------------------------------------


class Dispatcher:
    """The decisions of one dispatcher: `handle` takes a batch of events and returns the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.actions: list[api.Action] = []
        self.classes = {c.name: c for c in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.unconfirmed: list[Worker] = []
        self.shapes: dict[str, Shape] = {}
        # Token buckets of the tenants: (requests left, when that was so, requests regained per ms).
        limited = [t for t in settings.tenants if t.allowance_per_s > 0]
        self.buckets = {t.name: (0.0, 0.0, t.allowance_per_s / 1000.0 / settings.instances) for t in limited}
        self.pools: dict[RoundKind, Pool] = {}
        self.whole_pool = self.pools[None, None, None, None] = Pool()
        self.rounds_by_class = False  # some worker runs certain classes only, so each round is of one class
        self.in_service = 0
        self.total_slots = 0.0
        self.our_slots = 0.0  # that our attempts take up, at all workers
        self.jobs: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.expiries: list[tuple[float, int]] = []
        self.unstarted: deque[Attempt] = deque()  # in the order sent
        self.ejections: list[tuple[float, str]] = []
        self.round_queues: dict[RoundKind, RoundQueue] = {}
        self.unstarted_by_zone: Counter[str] = Counter()  # our attempts that wait for their start
        self.max_unstarted = 0  # limit of that, in each zone
        self.last_wait_id = 0
        self.zone_departures: list[tuple[float, int, int, Job]] = []  # when a waiting job may leave its zone
        self.round_ms = max(GATHER_SHARE * min(c.aim for c in settings.classes), GATHER_TICKS * settings.tick)
        self.class_work: dict[str, float] = {}  # mean run or hint of a class, in ms
        self.class_earnings: dict[str, float] = {}  # recent share of its worth that a class's requests earned
        self.mean_worth = 0.0  # of a request that is answered in time
        self.start_delay_ms = [0.0, 0.0]  # recent mean time from send to start: in other zones, in our own
        self.median_start_ms = MIN_START_TIMEOUT_MS / START_TIMEOUT_FACTOR  # recent median of that time
        self.mean_slowdown = 1.0  # run time over work, fleet-wide
        self.last_failure_at = -math.inf  # of an attempt at any worker
        self.trusted_pool = Pool()  # see `update_trusted`
        self.trust_expiry: deque[tuple[float, str]] = deque()  # (time of a success, worker), in that order
        self.run_ratio = RunSums()
        self.mean_run_ms = max(min(c.aim for c in settings.classes), 1.0)  # learned
        self.timer_at = math.inf
        self.timer_handle = 0
        self.list_watch = ListWatch(settings, self.rng)
        self.handlers = {
            api.Request: self.on_request, api.AttemptEnded: self.on_ended, api.Progress: self.on_progress,
            api.Membership: self.on_membership, api.RequestGone: self.on_gone, api.Beside: self.on_peer_load,
            api.StreamStarted: self.on_stream, api.ProbeEnded: self.on_probed, api.Adopted: self.on_adopted,
            api.TimerFired: self.on_timer, api.DeadlineMoved: self.on_deadline_moved,
            api.PeerMessage: lambda event: None,  # each dispatcher decides alone and asks nothing of others
        }  # fmt: skip

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Decide on a batch. Raises `ValueError` if `now` (ms) goes back, `TypeError` on an unknown event."""
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
        self.update_list_watch()
        self.end_expired_jobs()
        self.check_unstarted()
        self.run_rounds()
        self.set_timer()
        return self.actions

    # -- membership

    def on_membership(self, event: api.Membership) -> None:
        if event.by_discovery:
            self.list_watch.record_list(event, self.now)
        if event.kind is api.ListKind.FAILED:
            return
        stored_only = event.kind is api.ListKind.STORED and self.list_watch.holds_stored_list(self.now)
        for entry in event.entries:
            self.update_worker(entry, stored_only)
        if event.kind is not api.ListKind.CHANGES:
            named = {e.name for e in event.entries}
            for worker in list(self.workers.values()):
                if worker.name not in named:
                    self.set_state(worker, api.WorkerState.GONE)
                    self.drop_if_gone(worker)

    def update_worker(self, entry: api.WorkerEntry, stored_only: bool) -> None:
        """Apply an entry of the list. `stored_only`: it is from a stored list that may not be used yet."""
        worker = self.workers.get(entry.name)
        if worker is None:
            shape = self.shapes.setdefault(entry.shape, Shape())
            worker = self.workers[entry.name] = Worker(entry, shape)
            worker.state = api.WorkerState.GONE
            if stored_only:
                worker.confirmed = False
                self.unconfirmed.append(worker)
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
            # A new process: what was learned of the old one no longer holds, and it starts cold.
            worker.failures_in_a_row, worker.on_probation, worker.ejected_until = 0, False, 0.0
            worker.others, worker.slowdown, worker.run_ratio, worker.failure_rate = -1.0, 1.0, RunSums(), 0.0
        worker.born = entry.born
        if entry.born and entry.born + self.settings.warm_up > self.now:
            worker.cold_until = entry.born + self.settings.warm_up
        self.learn_rating(worker, entry.rating)
        self.set_state(worker, entry.state)
        self.drop_if_gone(worker)

    def assign_pools(self, worker: Worker) -> None:
        """Put a worker into the pools of all rounds that may draw it, by class once some need that."""
        ready, serving = worker.ready, worker.state is api.WorkerState.IN_SERVICE
        classes: list[str | None] = [None]
        if self.rounds_by_class:
            classes += [c for c in self.classes if worker.classes is None or c in worker.classes]
        keys = {(shape, zone, cell, cls) for shape in (None, worker.shape_name) for zone, cell in
                ((None, None), (worker.zone, None), (None, worker.cell)) for cls in classes}  # fmt: skip
        for pool in worker.pools:
            pool.members -= serving
            if ready:
                pool.remove(worker)
        worker.pools = [self.pools.setdefault(key, Pool()) for key in sorted(keys, key=str)]
        for pool in worker.pools:
            pool.members += serving
            if ready:
                pool.add(worker)

    def split_rounds_by_class(self) -> None:
        """From now on each round holds jobs of one class; waiting jobs move to the new queues."""
        self.rounds_by_class = True
        for worker in self.workers.values():
            self.assign_pools(worker)
        old_queues, self.round_queues = self.round_queues, {}
        for queue in old_queues.values():
            for queued in queue.in_time + queue.late:
                self.enqueue_job(queued[-1])

    def drop_if_gone(self, worker: Worker) -> None:
        """Delete a worker that is gone and had named its classes: it was one connection of a front, whose
        name does not come back, and such names would pile up."""
        gone = worker.state is api.WorkerState.GONE and worker.classes is not None
        if gone and not worker.open_attempts and self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def learn_rating(self, worker: Worker, rating: float) -> None:
        worker.rating = rating
        worker.peak_rating = max(worker.peak_rating, rating) if self.settings.live_ratings else rating
        if self.settings.live_ratings and rating > 0:
            per_core = worker.peak_rating / rating - 1
            worker.shape.learn_live_load(per_core)
            self.note_others(worker, per_core * self.slots(worker), REPORT_AGE_MS)

    def set_state(self, worker: Worker, state: api.WorkerState) -> None:
        if worker.state is not state:
            change = (state is api.WorkerState.IN_SERVICE) - (worker.state is api.WorkerState.IN_SERVICE)
            worker.state = state
            self.in_service += change
            self.total_slots += change * self.slots(worker)
            for pool in worker.pools:
                pool.members += change
        self.update_ready(worker)

    def update_ready(self, worker: Worker) -> None:
        """Put a worker into the pools that rounds draw from, or take it out."""
        ready = (
            worker.state is api.WorkerState.IN_SERVICE
            and worker.confirmed
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

    def update_list_watch(self) -> None:
        """Ask for the list when that is due, and start to use a stored one once that is allowed."""
        if self.list_watch.begin_call_if_due(self.now):
            self.actions.append(api.Watch(True))
        if self.unconfirmed and not self.list_watch.holds_stored_list(self.now):
            confirmed, self.unconfirmed = self.unconfirmed, []
            for worker in confirmed:
                worker.confirmed = True
                self.update_ready(worker)
            for queue in self.round_queues.values():
                queue.due = self.now

    # -- load estimate

    def slots(self, worker: Worker) -> float:
        """Slots of a worker: learned from reports or starts of its shape, or else its rating.

        Ratings that are always 1 tell nothing: as sizes they would leave no room for a job of two slots."""
        if worker.known_slots or worker.shape.slots:
            return worker.known_slots or worker.shape.slots
        return max(1.0, round(worker.peak_rating)) if self.settings.ratings else DEFAULT_SLOTS

    def learns_slots_from_starts(self) -> bool:
        """Whether reported starts are the only sign of how many slots a worker has."""
        return self.settings.tells_start and not self.settings.ratings

    def has_queued_attempt(self, worker: Worker) -> bool:
        """Whether an attempt of ours waits for a slot there; past the timeout, only while another runs."""
        ours = worker.open_attempts.values() if self.settings.tells_start else ()
        since = -math.inf if any(a.started_at >= 0 for a in ours) else self.now - self.start_timeout()
        return any(a.started_at < 0 and since < a.sent_at < self.now - QUEUED_MS and not a.lost for a in ours)

    def may_try_extra_slot(self, worker: Worker, need: float) -> bool:
        """Whether a job may take one slot more than is known, to see whether it starts at once."""
        return (
            self.learns_slots_from_starts()
            and not worker.known_slots
            and worker.shape.failed_slot_trials < MAX_FAILED_SLOT_TRIALS
            and self.slots_of_other_dispatchers(worker) < 1.0
            and worker.cold_until <= self.now
            and worker.our_slots + worker.peer_slots + need <= self.slots(worker) + 1.0
        )

    def learn_running_slots(self, worker: Worker) -> None:
        """Raise the shape's slots to the number in which jobs of ours run at once."""
        if worker.known_slots or not self.learns_slots_from_starts():
            return
        settled = self.now - SETTLED_START_MS
        running = sum(a.job.need for a in worker.open_attempts.values() if 0 <= a.started_at <= settled)
        if running > self.slots(worker):
            self.set_slots(worker.shape, running)

    def set_slots(self, shape: Shape, slots: float) -> None:
        serving = [w for w in self.workers.values() if w.state is api.WorkerState.IN_SERVICE]
        of_shape = [w for w in serving if w.shape is shape]
        before = sum(self.slots(w) for w in of_shape)
        shape.slots, shape.failed_slot_trials = slots, 0
        self.total_slots += sum(self.slots(w) for w in of_shape) - before

    def warmth(self, worker: Worker) -> float:
        """Least share of its capacity that a worker has: its warm-up is taken to be linear or faster."""
        if self.now >= worker.cold_until or not worker.born:
            return 1.0
        done = max(0.0, self.now - worker.born) / self.settings.warm_up
        return self.settings.cold_share + (1 - self.settings.cold_share) * done

    def slowness(self, worker: Worker) -> float:
        """Run time over work on this worker now: its shape's, its own (decaying) and of what is overdue."""
        slowdown = worker.shape.slowdown
        if worker.slowdown != 1.0:
            age = (self.now - worker.slowdown_at) / (SLOWDOWN_DECAY_RUNS * self.mean_run_ms)
            slowdown *= 1.0 + (worker.slowdown - 1.0) * math.exp(-age)
        for attempt in worker.open_attempts.values():
            # Silence must make a worker look worse, never emptier, so its oldest attempt counts; but a lost
            # one would make it look slow until the client gives up.
            if attempt.lost:
                continue
            late = (self.now - attempt.sent_at) / (OVERDUE_FACTOR * max(attempt.usual, 1.0))
            if late > 1.0:
                slowdown *= late
            break
        return slowdown

    def slots_of_others(self, worker: Worker) -> float:
        """Slots held there by the peer process, as it reported, and by other dispatchers, as estimated."""
        return worker.peer_slots + self.slots_of_other_dispatchers(worker)

    def slots_of_other_dispatchers(self, worker: Worker) -> float:
        """Slots held there by other dispatchers: the last observation, decaying into the mean."""
        slots = self.slots(worker)
        mean = min((self.settings.instances - 1) * self.our_slots / max(self.total_slots, 1.0), 1.0) * slots
        # A mere assumption must never close a worker: it leaves a slot free.
        mean = max(0.0, min(mean, MAX_ASSUMED_OTHERS_SHARE * slots, slots - 1.0))
        if worker.others < 0:
            return mean
        age = (self.now - worker.others_at) / (OTHERS_DECAY_RUNS * self.mean_run_ms)
        return mean + (worker.others - mean) * math.exp(-age)

    def note_others(self, worker: Worker, held: float, age: float) -> None:
        """Note that a worker held `held` slots `age` ms ago, less our attempts of that time. Later ones come
        on top, and one that ended must not count as others', or it would hide the slot that it freed."""
        then = self.now - age
        ours = sum(a.job.need for a in worker.open_attempts.values() if a.sent_at <= then)
        if worker.recently_ended:
            worker.recently_ended = [e for e in worker.recently_ended if e[1] > self.now - REPORT_AGE_MS]
            ours += sum(need for sent, ended, need in worker.recently_ended if sent <= then < ended)
        worker.others = max(0.0, held - ours - worker.peer_slots)
        worker.others_at = then

    def probe_if_filling(self, worker: Worker, need: float) -> None:
        """Where only probes bring reports, probe a worker that fills up, to learn what others hold there."""
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
        """Learn a worker's slots, and the load by others, from its report."""
        shape, queued = worker.shape, report.queued
        if not self.learns_slots_from_starts():  # reports are noisy, reported starts are not
            if report.free_slots is not None:
                shape.slots = max(shape.slots, float(round(report.free_slots)))
            if report.in_flight is not None and queued is not None and queued >= 0.9:
                shape.slots = max(1.0, float(round(report.in_flight - queued)))
        if report.in_flight is not None:
            self.note_others(worker, report.in_flight, REPORT_AGE_MS)
        elif report.free_slots is not None:
            self.note_others(worker, self.slots(worker) - report.free_slots + (queued or 0.0), REPORT_AGE_MS)
        elif queued is not None and queued >= 0.9:
            self.note_others(worker, self.slots(worker) + queued, REPORT_AGE_MS)

    def learn_run(self, attempt: Attempt, run: float) -> None:
        """Learn from a finished run (ms) about its class, its worker and the worker's shape."""
        worker, shape, job = attempt.worker, attempt.worker.shape, attempt.job
        if not job.has_hint:
            mean = self.class_work.setdefault(job.spec.name, run)
            self.class_work[job.spec.name] = mean + AVERAGE_GAIN * (run - mean)
        self.mean_run_ms += AVERAGE_GAIN * (run - self.mean_run_ms)
        if worker.cold_until > self.now:
            return
        usual = self.class_work.get(job.spec.name, job.work)
        self.mean_slowdown = self.run_ratio.add(run, job.work, usual, AVERAGE_GAIN)
        # The run is bounded, so that a slow worker does not make its whole shape look slow.
        bounded_run = min(run, MAX_SHAPE_RUN_FACTOR * shape.slowdown * max(job.work, usual))
        shape.slowdown = shape.run_ratio.add(bounded_run, job.work, usual, AVERAGE_GAIN)
        worker.slowdown = worker.run_ratio.add(
            run, job.work * shape.slowdown, usual * shape.slowdown, WORKER_GAIN
        )
        worker.slowdown_at = self.now

    def load(self, worker: Worker, need: float) -> tuple[float, float]:
        """A worker's load with one more job, and the step for each further one: slots over capacity."""
        capacity = self.slots(worker) * self.warmth(worker) / self.slowness(worker)
        return (worker.our_slots + self.slots_of_others(worker) + need) / capacity, need / capacity

    def has_room(self, worker: Worker, need: float, late: bool) -> bool:
        """Whether a job of this size is expected to find a free slot. A late one leaves some free: under
        overload it would displace jobs in time at other dispatchers, which our own queue does not show."""
        slots = self.slots(worker)
        spare = LATE_RESERVE_SHARE * slots if late else 0.0
        if worker.our_slots + self.slots_of_others(worker) + need <= slots + 0.5 - spare:
            return True
        return not late and self.may_try_extra_slot(worker, need)

    # -- cold workers

    def fits_cold_budget(self, worker: Worker, job: Job) -> bool:
        """Whether our share of a cold worker's budget has room for the job, after what we sent it lately."""
        if worker.cold_until <= self.now:
            return True
        cost = self.cold_cost(worker, job)
        since = self.now - self.settings.cold_window
        spent = worker.cold_spent = [sent for sent in worker.cold_spent if sent[0] > since]
        return sum(c for _, c in spent) + worker.peer_cold_work + cost <= self.cold_budget(worker, cost)

    def cold_cost(self, worker: Worker, job: Job) -> float:
        """Cost of a job in slot time (ms). Calls count too: a small job costs half a mean run."""
        return max(self.expected_run(worker, job), self.mean_run_ms / 2) * job.need

    def cold_budget(self, worker: Worker, cost: float) -> float:
        """Slot time (ms) that we may send a cold worker within the window, for a job of this cost; 0: none.

        All dispatchers together may send multiple x present capacity x window. Where an even share is less
        than a job, only some, chosen by hash, have one. Few have the jobs to use it up: `used` estimates the
        part used, by the open jobs, the ready workers and the draws per job. So many more have a share, and
        the expected sum is the same. If all use theirs at once, as after a zone's return, the sum exceeds the
        whole budget of N calls by at most half of what is allowed for chance: by sqrt(N) + 1."""
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
        """Run time (ms) of a job on this worker when warm."""
        return job.work * worker.shape.slowdown

    # -- rounds

    def run_rounds(self) -> None:
        """Apply what is due by time, then close the rounds that are full or due."""
        while self.ejections and self.ejections[0][0] <= self.now:
            worker = self.workers.get(heapq.heappop(self.ejections)[1])
            if worker is not None:
                self.update_ready(worker)
                if worker.on_probation and not worker.ready:
                    heapq.heappush(self.ejections, (self.now + PROBATION_MS, worker.name))
        memory = FAILURE_DECAY_RUNS * self.mean_run_ms
        while self.trust_expiry and self.trust_expiry[0][0] < self.now - memory:
            trusted = self.workers.get(self.trust_expiry.popleft()[1])
            if trusted is not None:
                self.update_trusted(trusted)
        while self.zone_departures and self.zone_departures[0][0] <= self.now:
            _, _, wait_id, job = heapq.heappop(self.zone_departures)
            if wait_id == job.wait_id and not job.ended:
                self.enqueue_job(job)
        due = [k for k, g in self.round_queues.items() if g.added >= JOBS_PER_ROUND or self.now >= g.due]
        # Jobs that left their zone for lack of room come first, as waiting costs them most.
        wider = dict.fromkeys((k[0], None, None, k[3]) for k in due)
        for kind in [k for k in wider if k in self.round_queues] + [k for k in due if k not in wider]:
            self.run_turn(kind, self.round_queues[kind])

    def run_turn(self, kind: RoundKind, queue: RoundQueue) -> None:
        """Run rounds of one kind until no job waits or several rounds in a row find no room.

        The cost of a turn must not grow with the backlog: under overload thousands of jobs may wait."""
        left: list[Job] = []
        placed, empty_rounds = 0, 0
        self.count_unstarted()
        while empty_rounds < MAX_EMPTY_ROUNDS:
            jobs = self.pop_jobs(queue)
            if not jobs:
                break
            not_placed = self.place_round(kind, jobs)
            left.extend(not_placed)
            placed += len(jobs) - len(not_placed)
            empty_rounds = empty_rounds + 1 if len(not_placed) == len(jobs) else 0
        for job in left:
            if kind[1] is not None and round_kind(job, self.rounds_by_class, self.home_zone_of(job)) != kind:
                self.enqueue_job(job)  # it has left its zone
            else:
                self.push_job(queue, job)
        if not (queue.in_time or queue.late):
            del self.round_queues[kind]
            return
        queue.added = 0
        queue.failed_turns = 0 if placed else min(queue.failed_turns + 1, MAX_FAILED_TURNS)
        queue.due = self.now + self.round_ms * (1 + queue.failed_turns)

    def count_unstarted(self) -> None:
        """Count our sent jobs that wait to start, by zone, and set the limit. A job queued at a worker delays
        jobs of all dispatchers and cannot be moved; held here, it leaves by worth, to the first free worker.
        Each of many dispatchers sees too little of a worker to know its queue, but its own starts show it."""
        self.unstarted_by_zone = Counter()
        if self.settings.tells_start:
            since = self.now - self.start_timeout()
            waiting = (a for a in self.unstarted if a.sent_at > since and not (a.lost or self.is_settled(a)))
            self.unstarted_by_zone.update(a.worker.zone for a in waiting)
        running = sum(a.started_at >= 0 for a in self.attempts.values())
        our_part = UNSTARTED_PER_WORKER * len(self.whole_pool.items) / self.settings.instances
        self.max_unstarted = int(max(MIN_UNSTARTED, our_part, UNSTARTED_RUNNING_SHARE * running))

    def pop_jobs(self, queue: RoundQueue) -> list[Job]:
        """Remove and return the jobs that leave first, up to a full round."""
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
        """Queue a job: by priority, low earnings of its class, worth for the work, then most slack. By least
        slack, overload would bring all jobs to the edge of their aims, and a small delay make most late."""
        first = self.class_earnings.get(job.spec.name, 1.0) < MIN_EARNINGS_SHARE * max(
            self.class_earnings.values(), default=1.0
        )
        latest = self.latest_start(job)
        heap = queue.late if latest < self.now or job.worth_scale < 1.0 else queue.in_time
        heapq.heappush(heap, (-job.priority, not first, -self.worth(job), -latest, job.id, job.wait_id, job))

    def record_earnings(self, job: Job, earned: float) -> None:
        """Record which share of its worth an ended request earned for its class. One beyond its tenant's
        share, or with a failed attempt, is no measure of the room that its class gets."""
        if job.worth_scale == 1.0 and not job.excluded:
            mean = self.class_earnings.setdefault(job.spec.name, 1.0)
            self.class_earnings[job.spec.name] = mean + AVERAGE_GAIN * (earned - mean)

    def must_yield(self, job: Job, zone: str) -> bool:
        """Whether a job, late at typical speed or beyond its tenant's share, waits for our own starts to show
        room: queued at a worker it would delay others' timely jobs. With nothing open, one may go."""
        low_priority = job.worth_scale < 1.0 or self.now + self.mean_slowdown * job.work > job.aim_at
        return low_priority and bool(
            self.unstarted_by_zone[zone] or (self.median_start_ms > LATE_START_MS and self.attempts)
        )

    def recheck_waiting(self, job: Job) -> bool:
        """Whether a waiting job may still be sent, as its memory span may have run out; answers it if not."""
        if job.ended or may_send(job, self.settings, self.now):
            return not job.ended
        if not job.open_attempts:
            self.answer_job(job)
        return False

    def hopeless_from(self, job: Job) -> float:
        """Time from which no worker could end the job while its answer is still worth something."""
        fastest = min((s.slowdown for s in self.shapes.values()), default=self.mean_slowdown)
        due = job.deadline if job.spec.late_worth > 0 else job.aim_at
        return due - HOPELESS_RUN_SHARE * fastest * job.work

    def latest_start(self, job: Job) -> float:
        """Time by which a job must start, at typical speed, to end within its aim."""
        return job.aim_at - RUN_MARGIN_FACTOR * self.mean_slowdown * job.work

    def place_round(self, kind: RoundKind, jobs: list[Job]) -> list[Job]:
        """Run one round of the paper's process and return the jobs that it could not place.

        Jobs that need a trusted worker and found none get a second round among the trusted ones."""
        pool = self.pools.get(kind)
        if pool is None or not pool.items:
            return jobs
        left = self.fill_round(pool.items, jobs)
        wary = [j for j in left if j.spec.repeat is api.Repeat.SINGLE_SHOT and self.needs_trusted_worker(j)]
        trusted = [w for w in self.trusted_pool.items if w.name in pool.positions] if wary else []
        if trusted:
            not_placed = set(map(id, self.fill_round(trusted, wary)))
            left = [j for j in left if j not in wary or id(j) in not_placed]
        return left

    def fill_round(self, items: list[Worker], jobs: list[Job]) -> list[Job]:
        need = max(j.need for j in jobs)
        drawn = draw(self.rng, items, draw_count(len(jobs)))
        load = {w.name: self.load(w, need) for w in drawn}
        for worker in drawn:
            self.probe_if_filling(worker, need)
        places = pick_places(self.rng, drawn, load, len(jobs))
        left = []
        for job in jobs:
            for i, (_, _, worker) in enumerate(places):
                if self.is_suitable(worker, job):
                    self.send_attempt(job, worker)
                    del places[i]
                    break
            else:
                left.append(job)
        return left

    def is_suitable(self, worker: Worker, job: Job) -> bool:
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
        """Whether a single-shot job may go there: the worker is not faulty, and trusted if need be."""
        if self.is_faulty(worker):
            return False
        return worker.name in self.trusted_pool.positions or not self.needs_trusted_worker(job)

    def needs_trusted_worker(self, job: Job) -> bool:
        """Whether a single-shot job waits for a trusted worker. Meeting each worker rarely, a dispatcher
        learns too late that one is bad, but a failure anywhere shows that there are bad ones. For a while the
        job then goes only where attempts of ours succeeded lately, which a bad worker's do less often; with
        no such worker, waiting finds none. Rarely: less than twice in the failure memory, by Little's law."""
        return (
            self.now - self.last_failure_at <= FAILURE_DECAY_RUNS * self.mean_run_ms
            and self.our_slots * FAILURE_DECAY_RUNS < 2.0 * self.in_service
            and bool(self.trusted_pool.items)
            and self.now < job.arrived_at + TRUSTED_ONLY_AIM_SHARE * job.spec.aim
        )

    def update_trusted(self, worker: Worker) -> None:
        """Keep the pool of ready workers with a recent success of ours and a low failure rate."""
        memory = FAILURE_DECAY_RUNS * self.mean_run_ms
        trusted = (
            worker.ready
            and self.now - worker.last_success_at <= memory
            and self.fault_of(worker) < TRUSTED_RATE
        )
        if trusted is not (worker.name in self.trusted_pool.positions):
            (self.trusted_pool.add if trusted else self.trusted_pool.remove)(worker)

    def is_faulty(self, worker: Worker) -> bool:
        """Whether attempts fail there so often that jobs that cannot be repeated are kept away. Others can
        find out when it has recovered. Where many workers fail, they are not the cause, and all are used."""
        if self.fault_of(worker) < FAULTY_RATE:
            return False
        items = self.whole_pool.items
        return sum(self.fault_of(w) >= FAULTY_RATE for w in items) <= MIN_READY_SHARE * len(items)

    def fault_of(self, worker: Worker) -> float:
        """A worker's failure rate now, after its decay."""
        if not worker.failure_rate:
            return 0.0
        return worker.failure_rate * math.exp(
            -(self.now - worker.failure_rate_at) / (FAILURE_DECAY_RUNS * self.mean_run_ms)
        )

    def record_result(self, worker: Worker, failed: bool) -> None:
        rate = self.fault_of(worker)
        if failed:
            self.last_failure_at = self.now
        else:
            worker.last_success_at = self.now
            self.trust_expiry.append((self.now, worker.name))
        worker.failure_rate = rate + FAILURE_GAIN * (1.0 - rate) if failed else rate - SUCCESS_GAIN * rate
        worker.failure_rate_at = self.now
        self.update_trusted(worker)

    def ends_in_time(self, worker: Worker, job: Job) -> bool:
        """Whether the job would end within its aim there, or would not at typical speed either.

        A free slot on a slow worker looks as good as any other: the job waits for a better draw."""
        time_left = job.aim_at - self.now
        run = job.work * self.slowness(worker) / self.warmth(worker)
        if run > job.deadline - self.now:
            return False
        return run <= time_left or job.work * self.mean_slowdown > time_left

    # -- zones

    def home_zone_of(self, job: Job) -> str | None:
        """The zone, if any, that a job stays in until crossing costs less than waiting, or it is empty."""
        if not self.settings.price_cross_zone or not job.home_zone_only:
            return None
        pool = self.pools.get(
            (job.spec.shape, self.settings.zone, None, job.spec.name if self.rounds_by_class else None)
        )
        job.home_zone_only = pool is not None and pool.members > 0 and self.now < self.leaves_zone_at(job)
        return self.settings.zone if job.home_zone_only else None

    def leaves_zone_at(self, job: Job) -> float:
        """Time from which waiting in our own zone costs a job more than crossing.

        Its remaining slack, less the extra start delay at home, gives the chance of a start in time; failing
        that, it loses what that is worth. Late, it loses what it can still earn, until its deadline."""
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
        """Factor on the worth of a tenant's request: below 1 beyond our even part of the tenant's share."""
        bucket = self.buckets.get(tenant or "")
        if bucket is None:
            return 1.0
        left, updated_at, rate = bucket
        left = min(left + (self.now - updated_at) * rate, max(TENANT_BURST_MS * rate, 1.0))
        exceeded = left < 1.0
        self.buckets[tenant or ""] = (left if exceeded else left - 1.0, self.now, rate)
        return self.settings.over_share_worth if exceeded else 1.0

    def worth(self, job: Job) -> float:
        """Worth of a job, if in time, for each ms of its work."""
        worth = job.spec.worth if self.settings.worth_by_work else job.spec.worth / max(job.work, 1.0)
        return worth * job.worth_scale

    # -- requests

    def on_request(self, event: api.Request) -> None:
        """Queue a new request. Raises `ValueError` if its class is unknown."""
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
        """Queue a job for the next round of its kind, for a first attempt or a retry."""
        home_zone = self.home_zone_of(job)
        kind = round_kind(job, self.rounds_by_class, home_zone)
        queue = self.round_queues.setdefault(kind, RoundQueue())
        queue.added += 1
        self.last_wait_id += 1
        job.wait_id = self.last_wait_id
        self.push_job(queue, job)
        if home_zone is not None and (leaves_at := self.leaves_zone_at(job)) < job.deadline:
            heapq.heappush(self.zone_departures, (leaves_at, job.id, job.wait_id, job))
        queue.due = min(queue.due, self.now + self.round_ms)

    def send_attempt(self, job: Job, worker: Worker) -> None:
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
        """Whether an attempt may still write its first byte, which a slow connection may have held back."""
        attempt = self.attempts.get((request, number))
        if attempt is None or attempt.job.ended or now >= attempt.job.deadline:
            return False
        return may_repeat(attempt.job, now, attempt)

    def open_attempt(self, job: Job, number: int, worker: Worker, sent_at: float) -> Attempt:
        """Register an attempt as sent; it takes up slots of its worker."""
        attempt = Attempt(job, number, worker, sent_at, self.expected_run(worker, job))
        attempt.usual = max(attempt.expected, self.class_work.get(job.spec.name, 0.0) * worker.shape.slowdown)
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
        """Give the final answer: a refusal where a retry is harmless, or else a failure."""
        self.record_earnings(job, 0.0)
        self.actions.append(api.Refuse(job.id, self.wait_advice()) if may_refuse(job) else api.Fail(job.id))
        self.end_job(job)

    def wait_advice(self) -> float | None:
        """Time (ms) after which a refused client may retry: by then about a run's worth of slots is free."""
        return min(self.mean_run_ms, self.settings.max_wait_advice) if self.settings.may_advise_wait else None

    def on_deadline_moved(self, event: api.DeadlineMoved) -> None:
        job = self.jobs.get(event.request)
        if job is not None and self.now + event.expires_in < job.deadline:
            job.deadline = self.now + event.expires_in
            job.aim_at = min(job.aim_at, job.deadline)
            heapq.heappush(self.expiries, (min(job.deadline, self.hopeless_from(job)), job.id))

    def on_gone(self, event: api.RequestGone) -> None:
        if (job := self.jobs.get(event.request)) is not None:
            self.end_job(job)

    def on_stream(self, event: api.StreamStarted) -> None:
        if (job := self.jobs.get(event.request)) is not None:
            job.streaming = True

    def on_ended(self, event: api.AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        job, worker = attempt.job, attempt.worker
        self.learn_running_slots(worker)
        del worker.open_attempts[job.id, attempt.number]
        if event.outcome in (api.Outcome.DONE, api.Outcome.ERROR, api.Outcome.REJECTED):
            self.note_message(attempt, event.outcome is api.Outcome.DONE)
        worker.recently_ended.append((attempt.sent_at, self.now, job.need))
        if not attempt.lost:
            worker.our_slots -= job.need
            self.our_slots -= job.need
        job.open_attempts.remove(attempt)
        if not event.outcome.never_ran:
            job.possible_runs.append(attempt)
        self.judge_outcome(attempt, event)
        self.drop_if_gone(worker)
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
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        self.learn_running_slots(attempt.worker)
        self.note_message(attempt, True)
        if event.started:
            attempt.started_at = self.now
            delay = self.now - attempt.sent_at
            home = attempt.worker.zone == self.settings.zone
            self.start_delay_ms[home] += AVERAGE_GAIN * (delay - self.start_delay_ms[home])
            self.record_start_delay(delay)
            if self.learns_slots_from_starts() and attempt.beyond_slots and delay > LATE_START_MS:
                attempt.worker.shape.failed_slot_trials += 1  # it had to wait for the end of another
        elif event.share > 0:
            # Progress shows that a worker has become slow long before the job ends.
            since = attempt.started_at if attempt.started_at >= 0 else attempt.sent_at
            ratio = (self.now - since) / event.share / max(attempt.usual, 1.0)
            if ratio > OVERDUE_FACTOR:
                worker = attempt.worker
                worker.slowdown += WORKER_GAIN * (min(ratio, 20.0) - worker.slowdown)
                worker.slowdown_at = self.now

    def on_probed(self, event: api.ProbeEnded) -> None:
        worker = self.workers.get(event.worker)
        if worker is None or not event.ok:
            return
        worker.last_message_at = self.now
        if event.report is not None:
            self.learn_report(worker, event.report)

    def on_timer(self, event: api.TimerFired) -> None:
        if event.handle == self.timer_handle:
            self.timer_at = math.inf

    def end_expired_jobs(self) -> None:
        """Answer each open job at its deadline, and a waiting one as soon as it is hopeless."""
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
        """Take in what the peer process holds: both act as one instance, so it takes up room as ours does.
        What it held at its end runs on, and decays like the load by others."""
        for worker in self.workers.values():
            if event.gone and worker.peer_slots > 0:
                worker.others, worker.others_at = self.slots_of_others(worker), self.now
            worker.peer_slots, worker.peer_cold_work = event.holds.get(worker.name, (0.0, 0.0))

    def describe_commitments(self) -> api.Beside:
        """Tell the peer process what this one holds at each worker."""
        holds, since = {}, self.now - self.settings.cold_window
        for worker in self.workers.values():
            cold = sum(cost for at, cost in worker.cold_spent if at > since) if worker.cold_spent else 0.0
            if worker.our_slots > 0 or cold > 0:
                holds[worker.name] = (worker.our_slots, cold)
        return api.Beside(holds)

    def transfer_request(self, request: int, now: float) -> api.Standing | None:
        """Remove a request that continues in the peer process, and return its state; None: it has to stay."""
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

    def on_adopted(self, event: api.Adopted) -> None:
        """Take over a request of the peer process; its open attempts take up slots here from now on."""
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

    def judge_outcome(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn about a worker from the outcome of an attempt."""
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
            self.note_others(worker, self.slots(worker) + 1.0, 0.0)
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) and not event.stale:
            self.eject(worker)
        if worker.on_probation:
            self.update_ready(worker)

    def note_message(self, attempt: Attempt, ran: bool) -> None:
        """Note that a worker reported on an attempt; `ran`: it runs or has run there.

        An attempt sent well before that should have started first is lost: a connection fell silent, its slot
        is free. Where not all start in order, that holds for the same class with no more slots."""
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
        """Where starts are reported, check attempts without one in time. A worker that reported nothing since
        may be cut off: a repeatable job goes elsewhere, as when its attempt is lost; a queued one stays."""
        while self.unstarted:
            attempt = self.unstarted[0]
            if not self.is_settled(attempt) and self.now < attempt.sent_at + self.start_timeout():
                break
            self.unstarted.popleft()
            if self.is_settled(attempt):
                continue
            job, worker = attempt.job, attempt.worker
            self.record_start_delay(math.inf)
            mute = worker.last_message_at <= attempt.sent_at
            if mute:
                self.eject(worker)
            else:
                # It may lose jobs of one class only, and serve the others.
                _, times = worker.class_backoffs.get(job.spec.name, (0.0, 0))
                until = self.now + CLASS_BACKOFF_RUNS * self.mean_run_ms * 2 ** min(times, MAX_DOUBLINGS)
                worker.class_backoffs[job.spec.name] = (until, times + 1)
            may_resend = (
                self.settings.may_cancel
                and job.sends < self.settings.max_attempts
                and may_repeat(job, self.now)
            )
            if may_resend and (mute or attempt.lost):
                self.actions.append(api.Cancel(job.id, attempt.number))

    def record_start_delay(self, delay: float) -> None:
        """Update the median start delay; a fifth of the workers falling silent hardly moves it."""
        step = 1.0 + AVERAGE_GAIN
        self.median_start_ms = max(
            1.0, self.median_start_ms * step if delay > self.median_start_ms else self.median_start_ms / step
        )

    def start_timeout(self) -> float:
        """Time (ms) without a reported start after which an attempt is lost: far longer than starts take now.
        Where queues are long, an earlier cancel would waste the wait so far, and begin another elsewhere."""
        return max(MIN_START_TIMEOUT_MS, START_TIMEOUT_FACTOR * self.median_start_ms)

    def is_settled(self, attempt: Attempt) -> bool:
        """Whether nothing is left to find out about an attempt: it has started or ended."""
        return attempt.started_at >= 0 or (attempt.job.id, attempt.number) not in self.attempts

    def eject(self, worker: Worker) -> None:
        """Eject a failing worker for a while, longer with each failure in a row; it returns on probation."""
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

    def set_timer(self) -> None:
        due = min((g.due for g in self.round_queues.values()), default=math.inf)
        if self.expiries:
            due = min(due, self.expiries[0][0])
        if self.unstarted:
            due = min(due, self.unstarted[0].sent_at + self.start_timeout())
        due = max(min(due, self.list_watch.next_at(self.now)), self.now)
        if due < self.timer_at:
            self.timer_at = due
            self.timer_handle += 1
            self.actions.append(api.SetTimer(due, self.timer_handle))

    def list_ejected_workers(self, now: float) -> set[str]:
        """Names of the workers that are sent nothing now because attempts there failed."""
        workers = (self.workers.get(name) for _, name in self.ejections)
        return {w.name for w in workers if w is not None and w.ejected_until > now}
