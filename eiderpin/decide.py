"""Every decision of a dispatcher. Its types, events and actions are in `eiderpin/interface.py`.

The ordinary path is Park's (k,d)-choice: requests gather into rounds of K, a round draws D_PER_JOB * K ready
workers uniformly with replacement and fills the K least loaded, at most m jobs on a worker drawn m times,
ties at random. docs/design.md says what is kept, what is changed and when each exception acts.

Reading order: constants, workers and membership, load estimate, rounds, requests, admission, health.
"""

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

K = 4  # jobs in a full round
D_PER_JOB = 2  # workers drawn for each job of a round; Park's heavy-load bound holds from 2 on
GATHER = 0.03  # how long a round gathers, as a share of the shortest aim ...
GATHER_TICKS = 2  # ... and at least this many ticks
REPORT_AGE = 150.0  # ms; how old a report is taken to be when it comes: our own sends since then count on top
REPORT_EVERY = 200.0  # ms between probes of a worker that a round has drawn, where they bring reports ...
REPORT_FROM = 0.5  # ... and where what we hold there, with one more job, is over this share of its slots
FADE = 1.0  # an observation of others' load fades with this many mean run times
GUESS_LIMIT = 0.15  # others are not taken to hold more than this share of a worker that was not seen lately
SPEED_GAIN = 0.25  # weight of a new run in a worker's own speed
SHAPE_GAIN = 0.05  # and in that of its shape and in a class's mean
SPEED_MEMORY = 8.0  # a worker's own slowness fades with this many mean run times, so it is tried again
BOUND = 4.0  # a shape hears no more of one run than this many times what was to be expected of it
OVERDUE = 2.5  # an attempt out this many times longer than expected makes its worker look worse
REST = 1.0  # first rest of a failing worker, in mean run times; doubles with each failure in a row ...
REST_LIMIT = 4  # ... up to this many doublings
TRIAL = 2000.0  # ms for which a worker back from a rest, on trial, is sent nothing beside an attempt
SHUN = 2.0  # mean run times for which a worker is first not sent a class that it did not tell of
KEEP_SHARE = 0.25  # never let failing workers' rests leave less than this share of the fleet to draw from
RUN_MARGIN = 1.2  # a job is taken to run this many times longer than expected when its latest start is set
HOPE = 0.7  # a job is given up when even this share of its expected run would end after its aim
BARREN_TURNS = 4  # turns that place nothing come rarer, down to this many gathering times more apart
LATE_RESERVE = 0.25  # share of a worker's slots that jobs past their latest start leave free
FULL_ROUNDS = 2  # this many rounds in a row that place nothing end the turn: there is no room to be found
DEFAULT_SLOTS = 4.0  # slots of a worker where neither ratings nor reports tell ...
START_LATE = 100.0  # ms; ... a start that comes later than this shows a worker that was full ...
QUEUED = 60.0  # ms; ... and an attempt whose start was not told by then, one that is full
WAITING = 2.0  # jobs that wait for their start at a worker, from all dispatchers together: in each zone ...
WAITING_LEAST = 2  # ... each may have its part of them, at least so many ...
WAITING_SHARE = 0.25  # ... and, as one that is busier than others, this share of those that it has running
SILENT = 600.0  # ms without a start, where starts are told, after which an attempt is taken to be lost ...
STARTS = 8.0  # ... or this many times what half of all starts take, lately, if that is longer
APART = 100.0  # ms; sends further apart than this reach their worker in their order
SETTLED = 100.0  # ms; how long a start must lie back before it counts as running beside others: the end that
# made room for it may be told on another connection, and after it
TRIAL_MISSES = 3  # ... and so many such starts, or turn-downs, end the trials of one slot more
COLD_MARGIN = 0.6  # share of a cold worker's budget that is used; the rest is for chance and misjudged work
FAULT_GAIN, SOUND_GAIN = 0.3, 0.1  # weight of a new failure, and of a new success, in a worker's fault ...
FAULTY = 0.35  # ... from which on, so after two failures, it is not sent a job that must not run twice ...
FAULT_MEMORY = 20.0  # ... until the fault has faded, with this many mean run times
SPAN_MARGIN = 0.9  # share of a memory span in which a guarded repeat is still sent, less at least ...
HELD_UP = 150.0  # ms ... for which a process may be held up between reading its clock and writing
CLASS_LEAST = 0.75  # a class that earns less than this share of what the best one does has its jobs go first
TENANT_BURST = 2000.0  # ms; a tenant may send this long a part of its share at once
WAIT_STAKE = 0.5  # least share of its worth that a job may lose by waiting: room that is idle meanwhile is
# lost to all, also where late answers earn as much
CROSS_STAKE = 2.0  # what a job may lose by waiting counts so often against the price of crossing zones: in
# the whole, and again in a bad stretch and for the class that fares worst, which are made of such losses
PICKY = 0.2  # share of its aim in which a job that must not run twice, once failures are about, waits for ...
TRUSTED = 0.1  # ... a worker that has served us within the fault memory and whose fault is below this


# ---- workers and membership ----------------------------------------------------------------------------


class Pace:
    """Run time over work, as the ratio of their fading sums.

    Hints are rough. The mean of each run's own ratio would be ruled by jobs whose hint was far too low, and
    show workers to be two or three times slower than they are.
    """

    __slots__ = ("run", "work")

    def __init__(self) -> None:
        self.run = self.work = 0.0

    def hear(self, run: float, work: float, usual: float, gain: float) -> float:
        """Take in one run; `usual` is a mean job's work, of which one at pace 1 is there to begin with."""
        if self.work <= 0:
            self.run = self.work = usual
        self.run += run - gain * self.run
        self.work += work - gain * self.work
        return self.run / max(self.work, 1.0)


class Shape:
    """What is learned of one kind of machine."""

    __slots__ = ("slots", "slowdown", "run_ratio", "step", "steps", "failed_slot_trials")

    def __init__(self) -> None:
        self.slots = 0.0  # slots of one worker, 0 until a report shows it
        self.slowdown = 1.0  # run time over expected work
        self.run_ratio = Pace()
        self.step = 0.0  # requests per core of a worker that holds one: 1 / cores
        self.steps = 0
        self.failed_slot_trials = 0  # trials of one slot more that found the worker full

    def hear_live(self, per_core: float) -> None:
        """Live ratings tell requests per core: their smallest step is one request, and so tells the cores."""
        if per_core < 0.02:
            return  # idle, but for noise
        if not self.steps or per_core < 0.7 * self.step:
            self.step, self.steps = per_core, 1
        elif per_core < 1.4 * self.step:
            self.steps += 1
            self.step += (per_core - self.step) / self.steps
        else:
            return
        self.slots = max(1.0, float(round(1.0 / self.step)))


class Worker:
    """One worker as this instance sees it."""

    __slots__ = (
        "name", "zone", "shape", "shape_name", "cell", "rating", "size", "born", "state", "ready", "out",
        "ours", "others", "others_at", "slowdown", "slowdown_at", "run_ratio", "failures", "trial",
        "rest_until", "cold_until", "cold_spent", "pools", "ended", "classes", "known_slots", "heard",
        "shuns", "beside", "beside_cold", "failure_rate", "failure_rate_at", "served_at", "asked_at",
        "confirmed",
    )  # fmt: skip

    def __init__(self, entry: api.WorkerEntry, shape: Shape) -> None:
        self.name, self.zone, self.cell = entry.name, entry.zone, entry.cell
        self.shape_name = entry.shape
        self.shape = shape
        self.rating = self.size = entry.rating
        self.born = entry.born
        self.state = entry.state
        self.ready = False  # in the pools that rounds draw from
        self.confirmed = True  # not known by a stored list alone, which may be out of date
        self.out: dict[tuple[int, int], Attempt] = {}  # attempts not seen finished, oldest first
        self.ours = 0.0  # slots they need
        self.others = -1.0  # slots held by others when last observed, -1: never
        self.others_at = 0.0
        self.slowdown = 1.0  # own run time over its shape's
        self.run_ratio = Pace()
        self.slowdown_at = 0.0
        self.failures = 0  # in a row
        self.failure_rate = self.failure_rate_at = 0.0  # how often attempts have failed here, lately
        self.served_at = -math.inf  # when an attempt of ours last succeeded here
        self.trial = False  # back from a rest: one attempt at a time until one succeeds
        self.rest_until = 0.0
        self.asked_at = -math.inf  # for a report
        self.cold_until = 0.0
        self.cold_spent: list[tuple[float, float]] = []  # (when, slot time) sent while cold, newest window
        self.pools: list[Pool] = []
        self.classes = entry.classes
        self.known_slots = entry.slots
        self.heard = -math.inf  # when it last told of anything
        self.shuns: dict[str, tuple[float, int]] = {}  # classes not sent to it: until when, times in a row
        self.ended: list[tuple[float, float, float]] = []  # (sent, ended, slots) of ours, lately
        self.beside = self.beside_cold = 0.0  # slots, and cold slot time, of the process beside us


class Pool:
    """The ready workers that one kind of round draws from; a uniform draw is one index."""

    __slots__ = ("items", "place", "members")

    def __init__(self) -> None:
        self.items: list[Worker] = []
        self.place: dict[str, int] = {}
        self.members = 0  # in service, ready or not

    def add(self, worker: Worker) -> None:
        self.place[worker.name] = len(self.items)
        self.items.append(worker)

    def remove(self, worker: Worker) -> None:
        at = self.place.pop(worker.name)
        last = self.items.pop()
        if last is not worker:
            self.items[at] = last
            self.place[last.name] = at


# A round's kind: the shape its class runs on (None: any), for a guarded repeat its zone or cell, and its
# class where some workers run certain classes only (None: no such worker has been listed).
Kind = tuple[str | None, str | None, int | None, str | None]


# ---- requests ------------------------------------------------------------------------------------------


class Attempt:
    __slots__ = ("job", "number", "worker", "sent", "started", "expected", "usual", "over", "lost")

    def __init__(self, job: Job, number: int, worker: Worker, now: float, expected: float) -> None:
        self.job, self.number, self.worker = job, number, worker
        self.sent = now
        self.started = -1.0
        self.expected = expected  # run time foreseen on this worker
        self.usual = expected  # or that of a mean job, if it is longer
        self.lost = False  # its worker lives and has not heard of it
        self.over = False  # sent past the slots that are known, to see whether it starts at once


class Job:
    """A request from its arrival to its final answer."""

    __slots__ = (
        "id", "spec", "deadline", "need", "work", "aim_at", "sends", "out", "risky", "streaming",
        "avoid", "over", "hinted", "priority", "came", "slack", "home", "scale", "wait",
    )  # fmt: skip

    def __init__(self, request: api.Request, spec: api.RequestClass, now: float, work: float) -> None:
        self.id = request.id
        self.spec = spec
        self.hinted = bool(request.hint)
        self.priority = request.priority
        self.deadline = now + request.expires_in
        self.came = now
        self.need = max(request.slots, request.memory)
        self.work = work
        self.aim_at = now + min(spec.aim + spec.aim_stretch * work, request.expires_in)
        self.sends = 0
        self.out: list[Attempt] = []
        self.risky: list[Attempt] = []  # ended, but may have run
        self.avoid: set[str] = set()
        self.streaming = False
        self.over = False
        self.home = True  # placed in our own zone alone, where crossing has a price
        self.wait = 0  # number of the wait that it is in now, 0: none; what else is held of it is void
        self.slack = 0.0  # ms for which it could wait when it came, and still be in time
        self.scale = 1.0  # what is left of its worth: less where its tenant is beyond its share

    def anchor(self, beside: Attempt | None = None) -> Attempt | None:
        """The earliest attempt (but for one) that may have run or is still out; it binds what may be done."""
        bound = [a for a in self.risky + self.out if a is not beside]
        return min(bound, key=lambda a: a.sent) if bound else None


def may_send(job: Job, settings: api.Settings, now: float) -> bool:
    """Whether the rules let another attempt go out now, somewhere."""
    if job.over or job.streaming or job.sends >= settings.max_attempts:
        return False
    if job.out and not settings.parallel_attempts:
        return False
    return may_repeat(job, now)


def may_repeat(job: Job, now: float, attempt: Attempt | None = None) -> bool:
    """Whether its class lets a job that may have run, or may yet, go out again now, as this attempt: one that
    must not run twice never, a guarded one within its scope and memory span."""
    anchor = job.anchor(attempt)
    if anchor is None or job.spec.repeat is api.Repeat.FREE:
        return True
    guarded, span = job.spec.repeat is api.Repeat.GUARDED, job.spec.memory_span
    return guarded and now <= anchor.sent + min(SPAN_MARGIN * span, span - HELD_UP)


def may_refuse(job: Job) -> bool:
    """Whether trying again is harmless: nothing may have run, or may run again, or all drop a repeat."""
    guarded_by_all = job.spec.repeat is api.Repeat.GUARDED and job.spec.scope is api.Scope.ALL
    return job.anchor() is None or job.spec.repeat is api.Repeat.FREE or guarded_by_all


def round_kind(job: Job, by_class: bool, home: str | None) -> Kind:
    """Which workers a job's round may draw from; `home` is the zone that it is not to leave yet."""
    anchor, cls = job.anchor(), job.spec.name if by_class else None
    if anchor is None or job.spec.repeat is not api.Repeat.GUARDED or job.spec.scope is api.Scope.ALL:
        return (job.spec.shape, home, None, cls)
    if job.spec.scope is api.Scope.ZONE:
        return (job.spec.shape, anchor.worker.zone, None, cls)
    return (job.spec.shape, None, anchor.worker.cell, cls)


# ---- rounds --------------------------------------------------------------------------------------------


def draw_count(jobs: int) -> int:
    """How many workers a round of this many jobs draws."""
    return max(D_PER_JOB * jobs, jobs + 1)


def draw(rng: random.Random, ready: list[Worker], count: int) -> list[Worker]:
    """Uniformly, with replacement."""
    n = len(ready)
    return [ready[int(rng.random() * n)] for _ in range(count)]


def fill(
    rng: random.Random, drawn: list[Worker], load: dict[str, tuple[float, float]], jobs: int
) -> list[tuple[float, float, Worker]]:
    """The places of the `jobs` least loaded of a draw, lowest first, as (height, tie, worker).

    `load` gives each worker's height for a first job and the step for each further one. A worker drawn m
    times offers m places, one step apart: of the d places those d - k with the greatest height go unused,
    which is the paper's own wording of its cap.
    """
    times: dict[str, int] = {}
    places = []
    for worker in drawn:
        m = times.get(worker.name, 0)
        times[worker.name] = m + 1
        first, step = load[worker.name]
        places.append((first + m * step, rng.random(), worker))
    places.sort(key=lambda p: p[:2])
    return places[:jobs]


Held = tuple[int, bool, float, float, int, int, Job]


class Gathering:
    """Jobs of one kind that wait for their round: first tries, retries and those that found no room.

    They wait in two heaps, in the order in which they leave: those that can still be in time, then the rest.
    """

    __slots__ = ("fresh", "in_time", "late", "due", "barren")

    def __init__(self) -> None:
        self.fresh = 0  # joined since the last round
        self.in_time: list[Held] = []
        self.late: list[Held] = []
        self.due = math.inf
        self.barren = 0  # turns in a row that placed nothing


# ---- the dispatcher ------------------------------------------------------------------------------------


class Dispatcher:
    """One dispatcher. `handle` takes the events of one batch and returns the actions that answer them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        settings.check()
        self.s = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.actions: list[api.Action] = []
        self.classes = {c.name: c for c in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.unconfirmed: list[Worker] = []
        self.shapes: dict[str, Shape] = {}
        # By tenant: requests that are left of its share, when that was so, and how many come back each ms.
        limited = [t for t in settings.tenants if t.allowance_per_s > 0]
        self.shares = {t.name: (0.0, 0.0, t.allowance_per_s / 1000.0 / settings.instances) for t in limited}
        self.pools: dict[Kind, Pool] = {}
        self.everyone = self.pools[None, None, None, None] = Pool()
        self.by_class = False  # some worker runs certain classes only, so rounds gather by class
        self.in_service = 0
        self.slots_in_service = 0.0
        self.ours = 0.0  # slots committed by us, everywhere
        self.jobs: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.expiry: list[tuple[float, int]] = []
        self.unstarted: deque[Attempt] = deque()  # in the order of their sends
        self.resting: list[tuple[float, str]] = []
        self.gathering: dict[Kind, Gathering] = {}
        self.waiting: Counter[str] = Counter()  # attempts of ours that wait for their start, by zone ...
        self.most_waiting = 0  # ... and how many may
        self.waits = 0  # so many waits have begun
        self.leaving: list[tuple[float, int, int, Job]] = []  # when a job that waits may leave its zone
        self.gather = max(GATHER * min(c.aim for c in settings.classes), GATHER_TICKS * settings.tick)
        self.work: dict[str, float] = {}  # mean run or hint of a class
        self.fares: dict[str, float] = {}  # share of its worth that a class's requests earned, lately
        self.worth_mean = 0.0  # what a request is worth, in time
        self.starts = [0.0, 0.0]  # ms from a send to its start, lately: elsewhere, and in our own zone
        self.start = SILENT / STARTS  # ms that half of all starts take at most, lately
        self.mean_slowdown = 1.0  # run time over work, fleet-wide
        self.failed_at = -math.inf  # when an attempt last failed, anywhere
        self.trusted = Pool()  # ready workers where attempts of ours succeeded lately and none failed since
        self.trust_ends: deque[tuple[float, str]] = deque()  # (success, worker) in their order
        self.run_ratio = Pace()
        self.mean_run_ms = max(min(c.aim for c in settings.classes), 1.0)  # mean run time, learned
        self.timer_at = math.inf
        self.timer_handle = 0
        self.list_watch = ListWatch(settings, self.rng)
        self.handlers = {
            api.Request: self.on_request, api.AttemptEnded: self.on_ended, api.Progress: self.on_progress,
            api.Membership: self.on_membership, api.RequestGone: self.on_gone, api.Beside: self.on_beside,
            api.StreamStarted: self.on_stream, api.ProbeEnded: self.on_probed, api.Adopted: self.on_adopted,
            api.TimerFired: self.on_timer, api.DeadlineMoved: self.on_deadline_moved,
            api.PeerMessage: lambda event: None,  # nothing is asked of peers: each decides alone
        }  # fmt: skip

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Decide on one batch. `now` is the batch clock; it must not run backwards."""
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
        self.watch_list()
        self.expire()
        self.find_silent()
        self.run_rounds()
        self.set_timer()
        return self.actions

    # -- membership

    def on_membership(self, event: api.Membership) -> None:
        if event.by_discovery:
            self.list_watch.take(event, self.now)
        if event.kind is api.ListKind.FAILED:
            return
        held = event.kind is api.ListKind.STORED and self.list_watch.holds(self.now)
        for entry in event.entries:
            self.learn_entry(entry, held)
        if event.kind is not api.ListKind.CHANGES:
            named = {e.name for e in event.entries}
            for worker in list(self.workers.values()):
                if worker.name not in named:
                    self.set_state(worker, api.WorkerState.GONE)
                    self.forget(worker)

    def learn_entry(self, entry: api.WorkerEntry, held: bool) -> None:
        worker = self.workers.get(entry.name)
        if worker is None:
            shape = self.shapes.setdefault(entry.shape, Shape())
            worker = self.workers[entry.name] = Worker(entry, shape)
            worker.state = api.WorkerState.GONE
            if held:
                worker.confirmed = False
                self.unconfirmed.append(worker)
            if entry.classes is not None and not self.by_class:
                self.gather_by_class()
            self.place(worker)
        elif entry.classes != worker.classes:
            worker.classes = entry.classes
            self.place(worker)
        if entry.slots != worker.known_slots:
            before, worker.known_slots = self.slots(worker), entry.slots
            if worker.state is api.WorkerState.IN_SERVICE:
                self.slots_in_service += self.slots(worker) - before
        if entry.born and entry.born != worker.born:
            # A new process: what was learned of the old one is void, and it starts cold.
            worker.failures, worker.trial, worker.rest_until = 0, False, 0.0
            worker.others, worker.slowdown, worker.run_ratio, worker.failure_rate = -1.0, 1.0, Pace(), 0.0
        worker.born = entry.born
        if entry.born and entry.born + self.s.warm_up > self.now:
            worker.cold_until = entry.born + self.s.warm_up
        self.learn_rating(worker, entry.rating)
        self.set_state(worker, entry.state)
        self.forget(worker)

    def place(self, worker: Worker) -> None:
        """Put a worker into the pools of what it runs: those of its class are drawn from once some worker
        runs certain classes only."""
        ready, serving = worker.ready, worker.state is api.WorkerState.IN_SERVICE
        classes: list[str | None] = [None]
        if self.by_class:
            classes += [c for c in self.classes if worker.classes is None or c in worker.classes]
        keys = {(s, z, c, k) for s in (None, worker.shape_name) for z, c in
                ((None, None), (worker.zone, None), (None, worker.cell)) for k in classes}  # fmt: skip
        for pool in worker.pools:
            pool.members -= serving
            if ready:
                pool.remove(worker)
        worker.pools = [self.pools.setdefault(key, Pool()) for key in sorted(keys, key=str)]
        for pool in worker.pools:
            pool.members += serving
            if ready:
                pool.add(worker)

    def gather_by_class(self) -> None:
        """From now on rounds hold jobs of one class; those that wait move over."""
        self.by_class = True
        for worker in self.workers.values():
            self.place(worker)
        waiting, self.gathering = self.gathering, {}
        for gathering in waiting.values():
            for held in gathering.in_time + gathering.late:
                self.gather_job(held[-1])

    def forget(self, worker: Worker) -> None:
        """A worker that named its classes is one connection of a front: it never comes back by that name, and
        kept for good such names would pile up."""
        gone = worker.state is api.WorkerState.GONE and worker.classes is not None
        if gone and not worker.out and self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def learn_rating(self, worker: Worker, rating: float) -> None:
        worker.rating = rating
        worker.size = max(worker.size, rating) if self.s.live_ratings else rating
        if self.s.live_ratings and rating > 0:
            per_core = worker.size / rating - 1
            worker.shape.hear_live(per_core)
            self.observe(worker, per_core * self.slots(worker), REPORT_AGE)

    def set_state(self, worker: Worker, state: api.WorkerState) -> None:
        if worker.state is not state:
            change = (state is api.WorkerState.IN_SERVICE) - (worker.state is api.WorkerState.IN_SERVICE)
            worker.state = state
            self.in_service += change
            self.slots_in_service += change * self.slots(worker)
            for pool in worker.pools:
                pool.members += change
        self.set_ready(worker)

    def set_ready(self, worker: Worker) -> None:
        """Put a worker into the pools that rounds draw from, or take it out."""
        ready = (
            worker.state is api.WorkerState.IN_SERVICE
            and worker.confirmed
            and worker.rest_until <= self.now
            and not (worker.trial and any(a.sent > self.now - TRIAL for a in worker.out.values()))
        )
        if ready is not worker.ready:
            worker.ready = ready
            for pool in worker.pools:
                (pool.add if ready else pool.remove)(worker)
            self.trust(worker)

    def watch_list(self) -> None:
        """Ask for the list where that is due, and use a stored one once it may be."""
        if self.list_watch.asks(self.now):
            self.actions.append(api.Watch(True))
        if self.unconfirmed and not self.list_watch.holds(self.now):
            confirmed, self.unconfirmed = self.unconfirmed, []
            for worker in confirmed:
                worker.confirmed = True
                self.set_ready(worker)
            for waiting in self.gathering.values():
                waiting.due = self.now

    # -- load estimate

    def slots(self, worker: Worker) -> float:
        """Slots of a worker: as reports or starts show for its shape, or else as it is rated.

        Where ratings are constantly 1 they tell nothing: taken for sizes they would leave every worker one
        slot, and a job of two slots would never find room anywhere.
        """
        if worker.known_slots or worker.shape.slots:
            return worker.known_slots or worker.shape.slots
        return max(1.0, round(worker.size)) if self.s.ratings else DEFAULT_SLOTS

    def learns_slots(self) -> bool:
        """Whether starts are all that tells how many slots a worker has."""
        return self.s.tells_start and not self.s.ratings

    def queued(self, worker: Worker) -> bool:
        """Whether an attempt of ours waits there for a slot. Past the silence, and beside none that runs, it
        may as well be lost."""
        out = worker.out.values() if self.s.tells_start else ()
        since = -math.inf if any(a.started >= 0 for a in out) else self.now - self.silence()
        return any(a.started < 0 and since < a.sent < self.now - QUEUED and not a.lost for a in out)

    def on_trial(self, worker: Worker, need: float) -> bool:
        """Whether a job may go one slot over what is known, to see whether it starts at once."""
        return (
            self.learns_slots()
            and not worker.known_slots
            and worker.shape.failed_slot_trials < TRIAL_MISSES
            and self.elsewhere(worker) < 1.0
            and worker.cold_until <= self.now
            and worker.ours + worker.beside + need <= self.slots(worker) + 1.0
        )

    def count_running(self, worker: Worker) -> None:
        """Jobs of ours that run at once are slots that the shape has."""
        if worker.known_slots or not self.learns_slots():
            return
        settled = self.now - SETTLED
        running = sum(a.job.need for a in worker.out.values() if 0 <= a.started <= settled)
        if running > self.slots(worker):
            self.set_slots(worker.shape, running)

    def set_slots(self, shape: Shape, slots: float) -> None:
        serving = [w for w in self.workers.values() if w.state is api.WorkerState.IN_SERVICE]
        of_shape = [w for w in serving if w.shape is shape]
        before = sum(self.slots(w) for w in of_shape)
        shape.slots, shape.failed_slot_trials = slots, 0
        self.slots_in_service += sum(self.slots(w) for w in of_shape) - before

    def warmth(self, worker: Worker) -> float:
        """The share of its capacity that a worker has at least: it warms no slower than evenly."""
        if self.now >= worker.cold_until or not worker.born:
            return 1.0
        done = max(0.0, self.now - worker.born) / self.s.warm_up
        return self.s.cold_share + (1 - self.s.cold_share) * done

    def slowness(self, worker: Worker) -> float:
        """Run time over work on this worker now: its shape's, its own (fading), and what is overdue."""
        slowdown = worker.shape.slowdown
        if worker.slowdown != 1.0:
            age = (self.now - worker.slowdown_at) / (SPEED_MEMORY * self.mean_run_ms)
            slowdown *= 1.0 + (worker.slowdown - 1.0) * math.exp(-age)
        for attempt in worker.out.values():
            # Silence must make a worker look worse, never emptier: its oldest attempt tells. But one that got
            # lost on its way would do so for all of its client's patience.
            if attempt.lost:
                continue
            late = (self.now - attempt.sent) / (OVERDUE * max(attempt.usual, 1.0))
            if late > 1.0:
                slowdown *= late
            break
        return slowdown

    def others(self, worker: Worker) -> float:
        """Slots that others hold there: what the process beside us told, and what other dispatchers hold."""
        return worker.beside + self.elsewhere(worker)

    def elsewhere(self, worker: Worker) -> float:
        """What other dispatchers hold there: last seen, fading into the fleet's mean."""
        slots = self.slots(worker)
        mean = min((self.s.instances - 1) * self.ours / max(self.slots_in_service, 1.0), 1.0) * slots
        # What the rest of the fleet bears must never close a worker by itself: it leaves a slot free.
        mean = max(0.0, min(mean, GUESS_LIMIT * slots, slots - 1.0))
        if worker.others < 0:
            return mean
        age = (self.now - worker.others_at) / (FADE * self.mean_run_ms)
        return mean + (worker.others - mean) * math.exp(-age)

    def observe(self, worker: Worker, held: float, age: float) -> None:
        """It was seen to hold so many slots `age` ms ago.

        Of these ours were the attempts out at that time: what we sent since then counts on top, and what
        has ended since then must not be taken for others' (it would hide the very slot it freed).
        """
        then = self.now - age
        ours = sum(a.job.need for a in worker.out.values() if a.sent <= then)
        if worker.ended:
            worker.ended = [x for x in worker.ended if x[1] > self.now - REPORT_AGE]
            ours += sum(need for sent, ended, need in worker.ended if sent <= then < ended)
        worker.others = max(0.0, held - ours - worker.beside)
        worker.others_at = then

    def ask_report(self, worker: Worker, need: float) -> None:
        """Where only probes bring reports, ask a worker that fills up how much others hold there."""
        only_probes = self.s.may_probe and self.s.reports_in_probes and not self.s.reports_in_answers
        if not only_probes or self.now < worker.asked_at + REPORT_EVERY:
            return
        if worker.ours + need > REPORT_FROM * self.slots(worker):
            worker.asked_at = self.now
            self.actions.append(api.Probe(worker.name))

    def learn_report(self, worker: Worker, report: api.Report) -> None:
        shape, queued = worker.shape, report.queued
        if not self.learns_slots():  # reports are noisy: where starts tell, those do
            if report.free_slots is not None:
                shape.slots = max(shape.slots, float(round(report.free_slots)))
            if report.in_flight is not None and queued is not None and queued >= 0.9:
                shape.slots = max(1.0, float(round(report.in_flight - queued)))
        if report.in_flight is not None:
            self.observe(worker, report.in_flight, REPORT_AGE)
        elif report.free_slots is not None:
            self.observe(worker, self.slots(worker) - report.free_slots + (queued or 0.0), REPORT_AGE)
        elif queued is not None and queued >= 0.9:
            self.observe(worker, self.slots(worker) + queued, REPORT_AGE)

    def learn_run(self, attempt: Attempt, run: float) -> None:
        """A finished run tells of its class, its worker and its worker's shape."""
        worker, shape, job = attempt.worker, attempt.worker.shape, attempt.job
        if not job.hinted:
            mean = self.work.setdefault(job.spec.name, run)
            self.work[job.spec.name] = mean + SHAPE_GAIN * (run - mean)
        self.mean_run_ms += SHAPE_GAIN * (run - self.mean_run_ms)
        if worker.cold_until > self.now:
            return
        usual = self.work.get(job.spec.name, job.work)
        self.mean_slowdown = self.run_ratio.hear(run, job.work, usual, SHAPE_GAIN)
        # A slow worker must not make its whole shape look slow: the shape hears a bounded share of it.
        heard = min(run, BOUND * shape.slowdown * max(job.work, usual))
        shape.slowdown = shape.run_ratio.hear(heard, job.work, usual, SHAPE_GAIN)
        worker.slowdown = worker.run_ratio.hear(
            run, job.work * shape.slowdown, usual * shape.slowdown, SPEED_GAIN
        )
        worker.slowdown_at = self.now

    def load(self, worker: Worker, need: float) -> tuple[float, float]:
        """A worker's height with one more job, and the step for each further one: work over capacity."""
        capacity = self.slots(worker) * self.warmth(worker) / self.slowness(worker)
        return (worker.ours + self.others(worker) + need) / capacity, need / capacity

    def room(self, worker: Worker, need: float, late: bool) -> bool:
        """Whether a job of this size would find a free slot, as far as we can tell.

        A job that will be late anyway leaves some slots free: under overload it would take the place of jobs
        that are still in time at other dispatchers, which its own queue does not show.
        """
        slots = self.slots(worker)
        spare = LATE_RESERVE * slots if late else 0.0
        if worker.ours + self.others(worker) + need <= slots + 0.5 - spare:
            return True
        return not late and self.on_trial(worker, need)

    # -- cold workers

    def cold_allows(self, worker: Worker, job: Job) -> bool:
        """Whether this instance alone may add a job to a cold worker, beside what it sent it lately."""
        if worker.cold_until <= self.now:
            return True
        cost = self.cold_cost(worker, job)
        since = self.now - self.s.cold_window
        spent = worker.cold_spent = [x for x in worker.cold_spent if x[0] > since]
        return sum(c for _, c in spent) + worker.beside_cold + cost <= self.cold_part(worker, cost)

    def cold_cost(self, worker: Worker, job: Job) -> float:
        """What a job takes of the budget, in slot time. Calls count too: a small one as half a mean one."""
        return max(self.expected_run(worker, job), self.mean_run_ms / 2) * job.need

    def cold_part(self, worker: Worker, cost: float) -> float:
        """Slot time that we alone may send a cold worker within the window, for a job of this cost; 0: none.

        The budget over any window is multiple x present capacity x window for all dispatchers together. Where
        an even share is less than a job, some of them, chosen by hash, hold it all between them. One that
        holds a part seldom has as many jobs for it: by what it holds open, over the ready workers and the
        draw's favour, it uses `used` of it. So many more hold one, and the expected sum is the same. Where
        all use theirs at once, as after a zone's return, the sum is over the whole budget of N calls by no
        more than half of what is put down to chance: by root of N, and one.
        """
        window = self.s.cold_window
        whole = self.s.cold_multiple * self.warmth(worker) * self.slots(worker) * window
        calls = whole / max(cost, self.mean_run_ms)
        calls += math.sqrt(calls) + 1.0
        budget = COLD_MARGIN * whole
        holders = min(self.s.instances, max(1, int(min(budget / cost, calls))))
        demand = len(self.jobs) * window * D_PER_JOB / max(len(self.everyone.items), 1)
        used = min(1.0, max(holders / calls, demand / cost))
        rank = (crc32(worker.name.encode()) + self.s.instance) % self.s.instances
        return budget / holders if rank < int(holders / used) else 0.0

    def expected_run(self, worker: Worker, job: Job) -> float:
        """Run time of a job on this worker when warm."""
        return job.work * worker.shape.slowdown

    # -- rounds

    def run_rounds(self) -> None:
        """Close the rounds that are full or due."""
        while self.resting and self.resting[0][0] <= self.now:
            rested = self.workers.get(heapq.heappop(self.resting)[1])
            if rested is not None:
                self.set_ready(rested)
                if rested.trial and not rested.ready:
                    heapq.heappush(self.resting, (self.now + TRIAL, rested.name))
        memory = FAULT_MEMORY * self.mean_run_ms
        while self.trust_ends and self.trust_ends[0][0] < self.now - memory:
            trusted = self.workers.get(self.trust_ends.popleft()[1])
            if trusted is not None:
                self.trust(trusted)
        while self.leaving and self.leaving[0][0] <= self.now:
            _, _, number, job = heapq.heappop(self.leaving)
            if number == job.wait and not job.over:
                self.gather_job(job)
        due = [k for k, g in self.gathering.items() if g.fresh >= K or self.now >= g.due]
        # Those who left their zone for want of room come first: waiting costs them most.
        wider = dict.fromkeys((k[0], None, None, k[3]) for k in due)
        for kind in [k for k in wider if k in self.gathering] + [k for k in due if k not in wider]:
            self.turn(kind, self.gathering[kind])

    def turn(self, kind: Kind, waiting: Gathering) -> None:
        """Rounds of one kind, until no job waits or several rounds in a row find no room.

        What a turn costs must not grow with the backlog: under overload thousands of jobs may be held.
        """
        left: list[Job] = []
        placed, barren = 0, 0
        self.count_waiting()
        while barren < FULL_ROUNDS:
            jobs = self.next_jobs(waiting)
            if not jobs:
                break
            held = self.round(kind, jobs)
            left.extend(held)
            placed += len(jobs) - len(held)
            barren = barren + 1 if len(held) == len(jobs) else 0
        for job in left:
            if kind[1] is not None and round_kind(job, self.by_class, self.home_of(job)) != kind:
                self.gather_job(job)  # it may leave its zone now
            else:
                self.wait(waiting, job)
        if not (waiting.in_time or waiting.late):
            del self.gathering[kind]
            return
        waiting.fresh = 0
        waiting.barren = 0 if placed else min(waiting.barren + 1, BARREN_TURNS)
        waiting.due = self.now + self.gather * (1 + waiting.barren)

    def count_waiting(self) -> None:
        """How many jobs of ours wait for their start, by zone, and may. What waits at a worker waits before
        jobs of all dispatchers, and cannot be moved; here it leaves by worth, to who is free first. Among
        many dispatchers each sees too little of a worker to know of its queue, but its own starts tell."""
        self.waiting = Counter()
        if self.s.tells_start:
            since = self.now - self.silence()
            open_ = (a for a in self.unstarted if a.sent > since and not (a.lost or self.settled(a)))
            self.waiting.update(a.worker.zone for a in open_)
        running = sum(a.started >= 0 for a in self.attempts.values())
        part = WAITING * len(self.everyone.items) / self.s.instances
        self.most_waiting = int(max(WAITING_LEAST, part, WAITING_SHARE * running))

    def next_jobs(self, waiting: Gathering) -> list[Job]:
        """The up to K jobs that leave first."""
        jobs: list[Job] = []
        while len(jobs) < K and (heap := waiting.in_time or waiting.late):
            *_, number, job = heapq.heappop(heap)
            if number != job.wait:
                continue  # it has left for another kind of round
            if heap is waiting.in_time and self.latest_start(job) < self.now:
                self.wait(waiting, job)  # its time has passed while it waited
            elif heap is waiting.late and self.now > self.hopeless_from(job):
                if not job.over and not job.out:
                    self.answer(job)
            elif self.still_waits(job):
                jobs.append(job)
        return jobs

    def wait(self, waiting: Gathering, job: Job) -> None:
        """Held jobs leave by worth for the work, but those of a class that fares far worse than others first;
        then most slack first. Tightest first would serve every job at the edge of its aim under overload, and
        lose most of them to the first small delay."""
        first = self.fares.get(job.spec.name, 1.0) < CLASS_LEAST * max(self.fares.values(), default=1.0)
        latest = self.latest_start(job)
        heap = waiting.late if latest < self.now or job.scale < 1.0 else waiting.in_time
        heapq.heappush(heap, (-job.priority, not first, -self.worth(job), -latest, job.id, job.wait, job))

    def hear_fare(self, job: Job, earned: float) -> None:
        """A request of a class has ended, with this share of its worth. One beyond its tenant's share, or of
        which an attempt failed, is no measure of the room that its class gets."""
        if job.scale == 1.0 and not job.avoid:
            fare = self.fares.setdefault(job.spec.name, 1.0)
            self.fares[job.spec.name] = fare + SHAPE_GAIN * (earned - fare)

    def gives_way(self, job: Job, zone: str) -> bool:
        """Whether a job, late at typical speed or beyond its tenant's share, is to wait for room to show in
        our own starts: at a worker it would stand before jobs of other dispatchers that are in time. With
        nothing of ours out, one may look."""
        last = job.scale < 1.0 or self.now + self.mean_slowdown * job.work > job.aim_at
        return last and bool(self.waiting[zone] or (self.start > START_LATE and self.attempts))

    def still_waits(self, job: Job) -> bool:
        """Recheck at the round what held when the job joined it: a memory span may have run out since."""
        if job.over or may_send(job, self.s, self.now):
            return not job.over
        if not job.out:
            self.answer(job)
        return False

    def hopeless_from(self, job: Job) -> float:
        """From when on no worker could end the job while its answer is still worth something."""
        fastest = min((s.slowdown for s in self.shapes.values()), default=self.mean_slowdown)
        by = job.deadline if job.spec.late_worth > 0 else job.aim_at
        return by - HOPE * fastest * job.work

    def latest_start(self, job: Job) -> float:
        """When a job must start at typical speed to end within its aim."""
        return job.aim_at - RUN_MARGIN * self.mean_slowdown * job.work

    def round(self, kind: Kind, jobs: list[Job]) -> list[Job]:
        """One round of the paper's process; returns the jobs that it could not place.

        Jobs that must not run twice and found no worker that has served us lately, while failures are about,
        have a round of their own among those of the kind's workers.
        """
        pool = self.pools.get(kind)
        if pool is None or not pool.items:
            return jobs
        left = self.fill_round(pool.items, jobs)
        picky = [j for j in left if j.spec.repeat is api.Repeat.SINGLE_SHOT and self.picky(j)]
        trusted = [w for w in self.trusted.items if w.name in pool.place] if picky else []
        if trusted:
            held = set(map(id, self.fill_round(trusted, picky)))
            left = [j for j in left if j not in picky or id(j) in held]
        return left

    def fill_round(self, items: list[Worker], jobs: list[Job]) -> list[Job]:
        need = max(j.need for j in jobs)
        drawn = draw(self.rng, items, draw_count(len(jobs)))
        load = {w.name: self.load(w, need) for w in drawn}
        for worker in drawn:
            self.ask_report(worker, need)
        places = fill(self.rng, drawn, load, len(jobs))
        left = []
        for job in jobs:
            for i, (_, _, worker) in enumerate(places):
                if self.suits(worker, job):
                    self.send(job, worker)
                    del places[i]
                    break
            else:
                left.append(job)
        return left

    def suits(self, worker: Worker, job: Job) -> bool:
        return (
            worker.ready
            and worker.name not in job.avoid
            and worker.shuns.get(job.spec.name, (0.0, 0))[0] <= self.now
            and self.room(worker, job.need, self.latest_start(job) < self.now)
            and not self.queued(worker)
            and self.waiting[worker.zone] < self.most_waiting
            and not self.gives_way(job, worker.zone)
            and self.in_time(worker, job)
            and self.cold_allows(worker, job)
            and (job.spec.repeat is not api.Repeat.SINGLE_SHOT or self.sound(worker, job))
        )

    def sound(self, worker: Worker, job: Job) -> bool:
        """Whether a job that must not run twice may go here: not where attempts fail often, and while it is
        picky only where attempts of ours have succeeded lately."""
        if self.faulty(worker):
            return False
        return worker.name in self.trusted.place or not self.picky(job)

    def picky(self, job: Job) -> bool:
        """Meeting each worker seldom, we learn too late that one is bad; but a failure anywhere shows that
        bad ones are about. Then a job that must not run twice goes for a while only where attempts of ours
        have succeeded lately, as a bad one's do less often; where there is no such worker, waiting finds
        none. Seldom is less than twice in the fault memory, by Little's law from what we hold."""
        return (
            self.now - self.failed_at <= FAULT_MEMORY * self.mean_run_ms
            and self.ours * FAULT_MEMORY < 2.0 * self.in_service
            and bool(self.trusted.items)
            and self.now < job.came + PICKY * job.spec.aim
        )

    def trust(self, worker: Worker) -> None:
        """Keep the pool of workers that have served us lately, are ready and have not failed since."""
        memory = FAULT_MEMORY * self.mean_run_ms
        trusted = worker.ready and self.now - worker.served_at <= memory and self.fault_of(worker) < TRUSTED
        if trusted is not (worker.name in self.trusted.place):
            (self.trusted.add if trusted else self.trusted.remove)(worker)

    def faulty(self, worker: Worker) -> bool:
        """Whether attempts fail here so often that a job which cannot go elsewhere afterwards is kept away.
        Jobs that can find out when it is sound. Where many workers fail, it is not them: all are used."""
        if self.fault_of(worker) < FAULTY:
            return False
        items = self.everyone.items
        return sum(self.fault_of(w) >= FAULTY for w in items) <= KEEP_SHARE * len(items)

    def fault_of(self, worker: Worker) -> float:
        if not worker.failure_rate:
            return 0.0
        return worker.failure_rate * math.exp(
            -(self.now - worker.failure_rate_at) / (FAULT_MEMORY * self.mean_run_ms)
        )

    def hear_fault(self, worker: Worker, failed: bool) -> None:
        rate = self.fault_of(worker)
        if failed:
            self.failed_at = self.now
        else:
            worker.served_at = self.now
            self.trust_ends.append((self.now, worker.name))
        worker.failure_rate = rate + FAULT_GAIN * (1.0 - rate) if failed else rate - SOUND_GAIN * rate
        worker.failure_rate_at = self.now
        self.trust(worker)

    def in_time(self, worker: Worker, job: Job) -> bool:
        """Whether the job would end within its aim here, or would not at typical speed either.

        A free slot on a worker gone slow looks as good as any other: the job is held for a better draw
        while one may still come.
        """
        left = job.aim_at - self.now
        here = job.work * self.slowness(worker) / self.warmth(worker)
        if here > job.deadline - self.now:
            return False
        return here <= left or job.work * self.mean_slowdown > left

    # -- zones

    def home_of(self, job: Job) -> str | None:
        """The zone whose workers alone a job is placed on for now; None: any, for good.

        It leaves once waiting there costs more than crossing, or no worker is there.
        """
        if not self.s.price_cross_zone or not job.home:
            return None
        pool = self.pools.get((job.spec.shape, self.s.zone, None, job.spec.name if self.by_class else None))
        job.home = pool is not None and pool.members > 0 and self.now < self.leaves_at(job)
        return self.s.zone if job.home else None

    def leaves_at(self, job: Job) -> float:
        """From when on waiting in our own zone costs a job more than crossing.

        What is left of its slack, less what starts take longer at home, is the chance of starting there in
        time; else it loses what that is worth. Late, it loses what it still earns, until its deadline.
        """
        latest, late_worth = self.latest_start(job), job.spec.late_worth
        share = max(1.0 - late_worth, WAIT_STAKE)
        stake = max(CROSS_STAKE * self.worth(job) * max(job.work, 1.0), 1e-9)
        price = self.s.price_cross_zone * self.worth_mean
        if self.now < latest and price < stake * share:
            longer = max(0.0, self.starts[True] - self.starts[False])
            return latest - (1.0 - price / (stake * share)) * max(job.slack, 1.0) - longer
        if price < stake * late_worth:
            return latest + price / (stake * late_worth) * (job.deadline - job.aim_at)
        return math.inf

    def share_scale(self, tenant: str | None) -> float:
        """What is left of the worth of a request by this tenant: less beyond its share, of which ours is an
        even part. It is counted as a bucket of what the tenant may still send."""
        bucket = self.shares.get(tenant or "")
        if bucket is None:
            return 1.0
        left, at, rate = bucket
        left = min(left + (self.now - at) * rate, max(TENANT_BURST * rate, 1.0))
        over = left < 1.0
        self.shares[tenant or ""] = (left if over else left - 1.0, self.now, rate)
        return self.s.over_share_worth if over else 1.0

    def worth(self, job: Job) -> float:
        """What the work of a job is worth for each ms, in time."""
        worth = job.spec.worth if self.s.worth_by_work else job.spec.worth / max(job.work, 1.0)
        return worth * job.scale

    # -- requests

    def on_request(self, event: api.Request) -> None:
        spec = self.classes.get(event.cls)
        if spec is None:
            raise ValueError(f"request {event.id} is of class {event.cls!r}, which the settings do not name")
        if event.hint:
            mean = self.work.setdefault(spec.name, event.hint)
            self.work[spec.name] = mean + SHAPE_GAIN * (event.hint - mean)
            work = event.hint
        else:
            work = self.work.get(spec.name, spec.aim)
        job = Job(event, spec, self.now, work)
        if event.expires_in <= 0:
            self.actions.append(api.Refuse(job.id))
            return
        self.jobs[job.id] = job
        job.slack = self.latest_start(job) - self.now
        job.scale = self.share_scale(event.tenant)
        value = self.worth(job) * max(job.work, 1.0)
        self.worth_mean += (value - self.worth_mean) * (SHAPE_GAIN if self.worth_mean else 1.0)
        heapq.heappush(self.expiry, (min(job.deadline, self.hopeless_from(job)), job.id))
        self.gather_job(job)

    def gather_job(self, job: Job) -> None:
        """Let a job wait for the next round of its kind: first tries and retries alike."""
        home = self.home_of(job)
        kind = round_kind(job, self.by_class, home)
        waiting = self.gathering.setdefault(kind, Gathering())
        waiting.fresh += 1
        self.waits += 1
        job.wait = self.waits
        self.wait(waiting, job)
        if home is not None and (leaves := self.leaves_at(job)) < job.deadline:
            heapq.heappush(self.leaving, (leaves, job.id, job.wait, job))
        waiting.due = min(waiting.due, self.now + self.gather)

    def send(self, job: Job, worker: Worker) -> None:
        attempt = self.commit(job, job.sends, worker, self.now)
        job.sends += 1
        self.waiting[worker.zone] += self.s.tells_start
        attempt.over = worker.ours + worker.beside > self.slots(worker)
        if worker.cold_until > self.now:
            worker.cold_spent.append((self.now, self.cold_cost(worker, job)))
        if worker.trial:
            self.set_ready(worker)
        self.actions.append(api.Send(job.id, worker.name))

    def may_begin(self, request: int, number: int, now: float) -> bool:
        """Asked just before an attempt's first byte, which a connection that came up late may have held back:
        whether what let it go out still holds."""
        attempt = self.attempts.get((request, number))
        if attempt is None or attempt.job.over or now >= attempt.job.deadline:
            return False
        return may_repeat(attempt.job, now, attempt)

    def commit(self, job: Job, number: int, worker: Worker, sent: float) -> Attempt:
        """An attempt is out, and takes up its worker's slots."""
        attempt = Attempt(job, number, worker, sent, self.expected_run(worker, job))
        attempt.usual = max(attempt.expected, self.work.get(job.spec.name, 0.0) * worker.shape.slowdown)
        job.out.append(attempt)
        job.wait = 0
        self.attempts[job.id, number] = attempt
        worker.out[job.id, number] = attempt
        if self.s.tells_start:
            self.unstarted.append(attempt)
        worker.ours += job.need
        self.ours += job.need
        return attempt

    def end(self, job: Job) -> None:
        """The request is over, by whoever's word; what is still out for it is called off."""
        job.over = True
        self.jobs.pop(job.id, None)
        if self.s.may_cancel:
            self.actions.extend(api.Cancel(job.id, a.number) for a in job.out)

    def answer(self, job: Job) -> None:
        """Give the final answer ourselves: a refusal where that is true, or else a failure."""
        self.hear_fare(job, 0.0)
        self.actions.append(api.Refuse(job.id, self.advice()) if may_refuse(job) else api.Fail(job.id))
        self.end(job)

    def advice(self) -> float | None:
        """When a refused client may come back: by then about one run time's worth of slots is free."""
        return min(self.mean_run_ms, self.s.max_wait_advice) if self.s.may_advise_wait else None

    def on_deadline_moved(self, event: api.DeadlineMoved) -> None:
        job = self.jobs.get(event.request)
        if job is not None and self.now + event.expires_in < job.deadline:
            job.deadline = self.now + event.expires_in
            job.aim_at = min(job.aim_at, job.deadline)
            heapq.heappush(self.expiry, (min(job.deadline, self.hopeless_from(job)), job.id))

    def on_gone(self, event: api.RequestGone) -> None:
        if (job := self.jobs.get(event.request)) is not None:
            self.end(job)

    def on_stream(self, event: api.StreamStarted) -> None:
        if (job := self.jobs.get(event.request)) is not None:
            job.streaming = True

    def on_ended(self, event: api.AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        job, worker = attempt.job, attempt.worker
        self.count_running(worker)
        del worker.out[job.id, attempt.number]
        if event.outcome in (api.Outcome.DONE, api.Outcome.ERROR, api.Outcome.REJECTED):
            self.hear(attempt, event.outcome is api.Outcome.DONE)
        worker.ended.append((attempt.sent, self.now, job.need))
        if not attempt.lost:
            worker.ours -= job.need
            self.ours -= job.need
        job.out.remove(attempt)
        if not event.outcome.never_ran:
            job.risky.append(attempt)
        self.judge(attempt, event)
        self.forget(worker)
        if event.final or job.over:
            if not job.over:
                if event.outcome is api.Outcome.DONE:
                    self.hear_fare(job, 1.0 if self.now <= job.aim_at else job.spec.late_worth)
                self.end(job)
            return
        if not event.stale:
            job.avoid.add(worker.name)
        if self.now < job.deadline and may_send(job, self.s, self.now):
            self.gather_job(job)
        elif not job.out:
            self.answer(job)

    def on_progress(self, event: api.Progress) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        self.count_running(attempt.worker)
        self.hear(attempt, True)
        if event.started:
            attempt.started = self.now
            late = self.now - attempt.sent
            home = attempt.worker.zone == self.s.zone
            self.starts[home] += SHAPE_GAIN * (late - self.starts[home])
            self.hear_start(late)
            if self.learns_slots() and attempt.over and late > START_LATE:
                # started once another had ended: there is no slot more
                attempt.worker.shape.failed_slot_trials += 1
        elif event.share > 0:
            # Bad news early: a worker gone slow shows in a job's progress long before it ends.
            since = attempt.started if attempt.started >= 0 else attempt.sent
            ratio = (self.now - since) / event.share / max(attempt.usual, 1.0)
            if ratio > OVERDUE:
                worker = attempt.worker
                worker.slowdown += SPEED_GAIN * (min(ratio, 20.0) - worker.slowdown)
                worker.slowdown_at = self.now

    def on_probed(self, event: api.ProbeEnded) -> None:
        worker = self.workers.get(event.worker)
        if worker is None or not event.ok:
            return
        worker.heard = self.now
        if event.report is not None:
            self.learn_report(worker, event.report)

    def on_timer(self, event: api.TimerFired) -> None:
        if event.handle == self.timer_handle:
            self.timer_at = math.inf

    def expire(self) -> None:
        """One final answer in time: whatever is still open at its deadline is answered now, and what waits
        here at once when there is no hope for it any more."""
        while self.expiry and (self.expiry[0][0] <= self.now or self.expiry[0][1] not in self.jobs):
            job = self.jobs.get(heapq.heappop(self.expiry)[1])
            if job is None or job.streaming:
                continue
            if self.now < job.deadline and (job.out or self.now < self.hopeless_from(job)):
                heapq.heappush(self.expiry, (job.deadline, job.id))
            else:
                self.answer(job)

    # -- an old version and a new one, side by side

    def on_beside(self, event: api.Beside) -> None:
        """Both act as one instance: what the other has committed takes room here as our own does. What it
        held at its end runs on, and fades as others' load does."""
        for worker in self.workers.values():
            if event.gone and worker.beside > 0:
                worker.others, worker.others_at = self.others(worker), self.now
            worker.beside, worker.beside_cold = event.holds.get(worker.name, (0.0, 0.0))

    def describe_commitments(self) -> api.Beside:
        """What the process beside us has to know."""
        holds, since = {}, self.now - self.s.cold_window
        for worker in self.workers.values():
            cold = sum(c for at, c in worker.cold_spent if at > since) if worker.cold_spent else 0.0
            if worker.ours > 0 or cold > 0:
                holds[worker.name] = (worker.ours, cold)
        return api.Beside(holds)

    def transfer_request(self, request: int, now: float) -> api.Standing | None:
        """Forget a request that goes on in the process beside us; None where it has to stay."""
        job = self.jobs.get(request)
        bound = job is not None and job.risky and job.spec.repeat is not api.Repeat.FREE
        if job is None or bound or job.streaming or any(a.lost for a in job.out):
            return None
        del self.jobs[job.id]
        job.over = True
        standing = api.Standing(job.aim_at - now, job.work, job.sends, [], [], sorted(job.avoid))
        for a in job.out:
            started = now - a.started if a.started >= 0 else -1.0
            standing.out.append((a.number, now - a.sent, started))
            standing.at.append(a.worker.name)
            del self.attempts[job.id, a.number], a.worker.out[job.id, a.number]
            a.worker.ours -= job.need
            self.ours -= job.need
        return standing

    def on_adopted(self, event: api.Adopted) -> None:
        """A request with a past: its attempts are out, and hold their places here from now on."""
        request, standing = event.request, event.standing
        job = Job(request, self.classes[request.cls], self.now, standing.work)
        job.aim_at, job.sends, job.avoid = self.now + standing.aim_in, standing.sends, set(standing.avoid)
        self.jobs[job.id] = job
        heapq.heappush(self.expiry, (job.deadline, job.id))
        for (number, sent, started), name in zip(standing.out, standing.at, strict=True):
            attempt = self.commit(job, number, self.workers[name], self.now - sent)
            if started >= 0:
                attempt.started = self.now - started
        if not job.out:
            self.gather_job(job)

    # -- health

    def judge(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What an outcome says of its worker."""
        worker = attempt.worker
        if event.report is not None:
            self.learn_report(worker, event.report)
        if event.outcome in (api.Outcome.DONE, api.Outcome.ERROR):
            self.hear_fault(worker, event.outcome is api.Outcome.ERROR)
        if event.outcome is api.Outcome.DONE:
            if worker.trial or worker.failures:
                worker.failures, worker.trial = 0, False
                self.set_ready(worker)
            run = event.elapsed if attempt.started < 0 else self.now - attempt.started
            self.learn_run(attempt, run)
            return
        if event.outcome is api.Outcome.REJECTED:
            held = worker.ours + worker.beside + attempt.job.need
            if self.learns_slots() and held > self.slots(worker):
                worker.shape.failed_slot_trials += 1
            self.observe(worker, self.slots(worker) + 1.0, 0.0)
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) and not event.stale:
            self.rest(worker)
        if worker.trial:
            self.set_ready(worker)

    def hear(self, attempt: Attempt, ran: bool) -> None:
        """A worker has told of an attempt, and that it runs or ran, or not so.

        Of a job that was sent well before and should have started first, it knows nothing: a connection fell
        silent, and the slot is free. Where not all start in their order, that is so of those of its class
        that need no more room.
        """
        worker = attempt.worker
        worker.heard = self.now
        if ran:
            worker.shuns.pop(attempt.job.spec.name, None)
        if attempt.lost:
            attempt.lost = False
            worker.ours += attempt.job.need
            self.ours += attempt.job.need
        for other in worker.out.values():
            if not ran or other.sent + APART >= attempt.sent:
                break
            first = other.job.spec is attempt.job.spec and other.job.need <= attempt.job.need
            if not (first or self.s.starts_in_order):
                continue
            if other.started < 0 and not other.lost and other.sent + self.silence() <= self.now:
                other.lost = True
                worker.ours -= other.job.need
                self.ours -= other.job.need

    def find_silent(self) -> None:
        """Where starts are told, look at the attempts of which none was told in time. A worker that has told
        of nothing since may be cut off. A job that may run again goes elsewhere from there, and from a
        connection that fell silent; one that waits its turn stays."""
        while self.unstarted:
            attempt = self.unstarted[0]
            if not self.settled(attempt) and self.now < attempt.sent + self.silence():
                break
            self.unstarted.popleft()
            if self.settled(attempt):
                continue
            job, worker = attempt.job, attempt.worker
            self.hear_start(math.inf)
            mute = worker.heard <= attempt.sent
            if mute:
                self.rest(worker)
            else:
                # It may lose jobs of one class alone, and go on with the others.
                _, times = worker.shuns.get(job.spec.name, (0.0, 0))
                until = self.now + SHUN * self.mean_run_ms * 2 ** min(times, REST_LIMIT)
                worker.shuns[job.spec.name] = (until, times + 1)
            again = self.s.may_cancel and job.sends < self.s.max_attempts and may_repeat(job, self.now)
            if again and (mute or attempt.lost):
                self.actions.append(api.Cancel(job.id, attempt.number))

    def hear_start(self, took: float) -> None:
        """The median of what starts take: a fifth of the workers gone silent hardly moves it."""
        step = 1.0 + SHAPE_GAIN
        self.start = max(1.0, self.start * step if took > self.start else self.start / step)

    def silence(self) -> float:
        """How long without a told start shows that an attempt is lost: far longer than starts take here.
        Where queues are long, called off sooner it would have waited in vain, and wait again elsewhere."""
        return max(SILENT, STARTS * self.start)

    def settled(self, attempt: Attempt) -> bool:
        """Whether there is nothing to find out of an attempt: it has started or ended."""
        return attempt.started >= 0 or (attempt.job.id, attempt.number) not in self.attempts

    def rest(self, worker: Worker) -> None:
        """A failing worker leaves the draw for a while, longer each time in a row, and returns on trial."""
        if worker.rest_until > self.now:
            return
        pool = self.everyone
        if len(pool.items) < KEEP_SHARE * pool.members:
            return  # nearly all look bad: it is our own view that is at fault, so keep serving
        worker.rest_until = self.now + REST * self.mean_run_ms * 2 ** min(worker.failures, REST_LIMIT)
        worker.failures += 1
        worker.trial = True
        self.set_ready(worker)
        heapq.heappush(self.resting, (worker.rest_until, worker.name))

    # -- timers

    def set_timer(self) -> None:
        due = min((g.due for g in self.gathering.values()), default=math.inf)
        if self.expiry:
            due = min(due, self.expiry[0][0])
        if self.unstarted:
            due = min(due, self.unstarted[0].sent + self.silence())
        due = max(min(due, self.list_watch.next_at(self.now)), self.now)
        if due < self.timer_at:
            self.timer_at = due
            self.timer_handle += 1
            self.actions.append(api.SetTimer(due, self.timer_handle))

    # -- what on-call staff may ask

    def list_ejected_workers(self, now: float) -> set[str]:
        """The workers that are sent nothing now because attempts there failed."""
        resting = (self.workers.get(name) for _, name in self.resting)
        return {w.name for w in resting if w is not None and w.rest_until > now}
