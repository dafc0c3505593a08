"""A simulated site in virtual time: clients, dispatchers of any policy, and workers with queues.

It compares policies on sites of many kinds and checks the four rules by records of its own. It models no
real machine. A policy has `handle(now, events) -> actions`, as `decide.Dispatcher` does. Times are in ms.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from eiderpin import interface as api

TICK_MS = 4.0  # between a dispatcher's batches
ONE_WAY_MS = 0.5  # of network delay
LIST_DELAY_MS = 1500.0  # until the list shows that a worker is gone or back
REPORT_PERIOD_MS = 250.0  # between refreshes of a worker's report
START_MS = 1000.0  # when the day begins


class Policy(Protocol):
    """What a dispatcher decides by."""

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take events in their order; return what is to be done."""
        ...


@dataclass
class Site:
    """The properties of a site."""

    settings: api.Settings  # those of the dispatchers differ from it in `instance` and `zone`
    zones: list[str]
    workers: int
    load: float  # offered work relative to the capacity of all workers
    slots: int = 4
    queue_limit: int = 8  # of each worker
    warm_by_requests: bool = False  # whether work too, not only time, warms a worker
    home_share: float = 0.5  # of the traffic that comes to the first zone
    flooding_tenant: str | None = None  # sends five times its share in the middle third
    has_outage: bool = False  # a fifth of the workers are silent in the second quarter, and come back cold
    length: float = 8000.0  # of the day
    mean_work: dict[str, float] = field(default_factory=lambda: {"find": 150.0, "book": 350.0})  # by class


class Worker:
    """A worker with slots and a bounded queue."""

    def __init__(self, name: str, zone: str, site: Site, rng: random.Random) -> None:
        self.name, self.zone, self.site = name, zone, site
        self.speed = rng.uniform(0.85, 1.1)
        self.running: dict[tuple[int, int, int], float] = {}
        self.queue: list[tuple[tuple[int, int, int], float, float]] = []  # attempt, slots, work
        self.silent = False
        self.born = 0.0  # when it started; 0: it is warm
        self.work_done = 0.0  # since its start
        self.sent_cold: list[tuple[float, float]] = []  # what reached it while cold: when, and its slot time

    def warmth(self, now: float) -> float:
        """Return its present speed as a share of full speed."""
        settings = self.site.settings
        if not self.born:
            return 1.0
        warmed_share = (now - self.born) / settings.warm_up  # time alone warms it evenly
        if self.site.warm_by_requests:
            warmed_share = max(warmed_share, self.work_done / (0.5 * settings.warm_up * self.site.slots))
        return min(1.0, settings.cold_share + (1.0 - settings.cold_share) * warmed_share)

    def used_slots(self) -> float:
        """Return how many slots running jobs occupy."""
        return sum(self.running.values())


class World:
    """One day of a site. `make_policy` builds a dispatcher's policy from its settings and a seed.

    `violations` lists the rules that were broken.
    """

    def __init__(self, site: Site, seed: int, make_policy: Callable[[api.Settings, int], Policy]) -> None:
        self.site, self.rng = site, random.Random(seed)
        self.now, self.scheduled_count = START_MS, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.violations: list[str] = []
        settings = site.settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.workers = [
            Worker(f"w{i}", site.zones[i % len(site.zones)], site, self.rng) for i in range(site.workers)
        ]
        self.by_name = {worker.name: worker for worker in self.workers}
        self.zone_of = [site.zones[i % len(site.zones)] for i in range(settings.instances)]
        self.policies = []
        for i, zone in enumerate(self.zone_of):
            own = {name: getattr(settings, name) for name in settings.__dataclass_fields__} | {
                "instance": i, "zone": zone,
            }  # fmt: skip
            self.policies.append(make_policy(api.Settings(**own), seed * 1000 + i))
        self.inbox: dict[int, list[api.Event]] = defaultdict(list)
        self.scheduled_batches: set[int] = set()  # dispatchers whose next batch is scheduled
        self.jobs: dict[int, dict[str, Any]] = {}
        self.served_worth = self.offered_worth = self.zone_crossings = 0.0
        self.listed_gone_at: dict[str, float] = {}  # by worker
        self.buckets: dict[str, tuple[float, float]] = {}  # by tenant: allowance left, and when
        for i in range(settings.instances):
            self.notify(i, api.Membership(api.ListKind.COMPLETE, [self.entry(w) for w in self.workers]))

    def entry(self, worker: Worker, state: api.WorkerState = api.WorkerState.IN_SERVICE) -> api.WorkerEntry:
        """Return a worker's entry in the list."""
        return api.WorkerEntry(worker.name, worker.zone, "m", 0, state, 1.0, worker.born or None)

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call; calls at one time run in the order in which they were scheduled."""
        self.scheduled_count += 1
        heapq.heappush(self.heap, (when, self.scheduled_count, call))

    def notify(self, dispatcher: int, event: api.Event) -> None:
        """Put an event into the next batch of a dispatcher."""
        self.inbox[dispatcher].append(event)
        if dispatcher not in self.scheduled_batches:
            self.scheduled_batches.add(dispatcher)
            self.schedule(self.now + TICK_MS, lambda: self.run_batch(dispatcher))

    def play(self) -> float:
        """Play the day; return its score: served over offered worth, less the price of zone crossings."""
        end = START_MS + self.site.length
        self.schedule_arrivals(end)
        if self.site.has_outage:
            for worker in self.workers[:: max(5, 1)]:
                self.schedule(START_MS + 0.25 * self.site.length, lambda w=worker: self.silence(w))  # type: ignore[misc]
                self.schedule(START_MS + 0.5 * self.site.length, lambda w=worker: self.restart(w))  # type: ignore[misc]
        while self.heap:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        for number, job in self.jobs.items():
            if job["answered"] is None:
                self.violations.append(f"request {number} got no answer")
        price = self.site.settings.price_cross_zone * self.zone_crossings / max(len(self.jobs), 1)
        return self.served_worth / max(self.offered_worth, 1e-9) - price

    # -- clients

    def schedule_arrivals(self, end: float) -> None:
        """Schedule the requests of the day."""
        settings, rng = self.site.settings, self.rng
        names = list(self.classes)
        mean = sum(self.site.mean_work[name] for name in names) / len(names)
        rate = self.site.load * self.site.workers * self.site.slots / mean
        tenants = settings.tenants
        middle = (START_MS + self.site.length / 3, START_MS + 2 * self.site.length / 3)
        now, number = START_MS, 0
        while (now := now + rng.expovariate(rate)) < end:
            number += 1
            in_first = rng.random() < self.site.home_share
            candidates = [i for i, z in enumerate(self.zone_of) if (z == self.site.zones[0]) is in_first]
            dispatcher = rng.choice(candidates or range(settings.instances))
            tenant = rng.choices(tenants, [tenant.share for tenant in tenants])[0].name if tenants else None
            self.schedule(now, lambda n=number, i=dispatcher, t=tenant: self.submit(n, i, t))  # type: ignore[misc]
            if (
                self.site.flooding_tenant
                and middle[0] <= now < middle[1]
                and tenant == self.site.flooding_tenant
            ):
                for _ in range(4):
                    number += 1
                    self.schedule(now, lambda n=number, i=dispatcher, t=tenant: self.submit(n, i, t))  # type: ignore[misc]

    def submit(self, number: int, dispatcher: int, tenant: str | None) -> None:
        """Submit a request to a dispatcher."""
        cls = self.classes[self.rng.choice(list(self.classes))]
        work = self.site.mean_work[cls.name] * self.rng.lognormvariate(0.0, 0.4)
        value = cls.worth * (work if self.site.settings.worth_by_work else 1.0) * self.take_allowance(tenant)
        job = self.jobs[number] = {
            "dispatcher": dispatcher, "cls": cls, "work": work, "arrived_at": self.now, "answered": None,
            "attempts": [], "value": value,
        }  # fmt: skip
        self.offered_worth += job["value"]
        hint = work * self.rng.uniform(0.7, 1.4)
        self.notify(dispatcher, api.Request(number, cls.name, cls.deadline, 1.0, 0.5, tenant, None, hint))
        grace = self.site.settings.answer_grace + 2 * TICK_MS
        self.schedule(self.now + cls.deadline + grace, lambda: self.check_answered(number))

    def take_allowance(self, tenant: str | None) -> float:
        """Charge a request to its tenant; return the share of its worth that remains.

        One token bucket per tenant over the whole site holds two seconds' allowance. A request beyond it
        keeps `over_share_worth`.
        """
        found = next((t for t in self.site.settings.tenants if t.name == tenant), None)
        if found is None:
            return 1.0
        rate = found.allowance_per_s / 1000.0
        left, updated_at = self.buckets.get(found.name, (2000.0 * rate, self.now))
        left = min(left + (self.now - updated_at) * rate, 2000.0 * rate)
        is_over = left < 1.0
        self.buckets[found.name] = (left if is_over else left - 1.0, self.now)
        return self.site.settings.over_share_worth if is_over else 1.0

    def check_answered(self, number: int) -> None:
        """Count a request that has no answer after its deadline as a violation."""
        if self.jobs[number]["answered"] is None:
            self.violations.append(f"request {number} was not answered in time")
            self.jobs[number]["answered"] = "late"

    # -- dispatchers

    def run_batch(self, dispatcher: int) -> None:
        """Pass a dispatcher its events and carry out its actions."""
        self.scheduled_batches.discard(dispatcher)
        events, self.inbox[dispatcher] = self.inbox[dispatcher], []
        for action in self.policies[dispatcher].handle(self.now, events):
            if isinstance(action, api.Send):
                self.send(dispatcher, action)
            elif isinstance(action, api.SetTimer):
                timer = api.TimerFired(action.handle)
                self.schedule(max(action.at, self.now), lambda e=timer: self.notify(dispatcher, e))  # type: ignore[misc]
            elif isinstance(action, api.Refuse | api.Fail):
                self.refuse(action)
            elif isinstance(action, api.Cancel):
                self.end_attempt((dispatcher, action.request, action.attempt), api.Outcome.CANCELLED)
            elif isinstance(action, api.Probe):
                self.probe(dispatcher, self.by_name[action.worker])

    def refuse(self, action: api.Refuse | api.Fail) -> None:
        """Answer a request without a result; `Refuse` says that it has not run."""
        job = self.jobs[action.request]
        may_have_run = job["cls"].repeat is not api.Repeat.FREE and any(
            not a["never_ran"] for a in job["attempts"]
        )
        if isinstance(action, api.Refuse) and may_have_run:
            self.violations.append(f"request {action.request} may have run and was refused as harmless")
        job["answered"] = job["answered"] or "no"

    def send(self, dispatcher: int, action: api.Send) -> None:
        """Send a request to a worker, and check the rules on repeats and on workers that are gone."""
        job, worker = self.jobs[action.request], self.by_name[action.worker]
        cls, number = job["cls"], len(job["attempts"])
        possibly_run = [a for a in job["attempts"] if not a["never_ran"]]
        if job["answered"]:
            self.violations.append(f"request {action.request} was sent after its answer")
        if possibly_run and cls.repeat is api.Repeat.SINGLE_SHOT:
            self.violations.append(f"request {action.request} may run twice")
        if possibly_run and cls.repeat is api.Repeat.GUARDED:
            first = possibly_run[0]
            if first["worker"].zone != worker.zone or self.now > first["sent_at"] + cls.memory_span:
                self.violations.append(f"request {action.request} was repeated out of its zone or window")
        if self.now > self.listed_gone_at.get(worker.name, self.now) + self.site.settings.drain_grace:
            self.violations.append(f"{worker.name} was sent work after it was listed as gone")
        self.zone_crossings += worker.zone != self.zone_of[dispatcher]
        job["attempts"].append({"worker": worker, "sent_at": self.now, "never_ran": False, "ended": False})
        key = (dispatcher, action.request, number)
        self.schedule(self.now + ONE_WAY_MS, lambda: self.receive(key, worker))
        left = max(0.0, job["arrived_at"] + cls.deadline - self.now)
        self.schedule(self.now + left, lambda: self.end_attempt(key, api.Outcome.TIMED_OUT))

    def end_attempt(self, key: tuple[int, int, int], outcome: api.Outcome) -> None:
        """End an attempt, unless it has ended, and notify its dispatcher.

        `key`: dispatcher, request and attempt.
        """
        dispatcher, number, attempt = key
        job = self.jobs[number]
        record = job["attempts"][attempt]
        if record["ended"]:
            return
        record["ended"], record["never_ran"] = True, outcome.never_ran
        if outcome is api.Outcome.DONE and job["answered"] is None:
            job["answered"] = "served"
            cls: api.RequestClass = job["cls"]
            is_late = self.now - job["arrived_at"] > cls.aim + cls.aim_stretch * job["work"]
            self.served_worth += job["value"] * (cls.late_worth if is_late else 1.0)
        final = job["answered"] is not None
        name, elapsed = record["worker"].name, self.now - record["sent_at"]
        self.notify(dispatcher, api.AttemptEnded(number, attempt, name, outcome, elapsed, final))

    # -- workers

    def receive(self, key: tuple[int, int, int], worker: Worker) -> None:
        """Have a worker receive an attempt; check that a cold worker is not overloaded."""
        work, settings = self.jobs[key[1]]["work"], self.site.settings
        if worker.silent:
            return
        if worker.warmth(self.now) < 1.0:
            since = self.now - settings.cold_window
            worker.sent_cold = [sent for sent in worker.sent_cold if sent[0] > since] + [
                (self.now, work / worker.speed)
            ]
            allowed = (
                settings.cold_multiple * worker.warmth(self.now) * self.site.slots * settings.cold_window
            )
            mean = sum(self.site.mean_work.values()) / len(self.site.mean_work)
            slack = mean * (3.0 * (allowed / mean) ** 0.5 + 3.0)  # for chance: three deviations (Poisson)
            if sum(slot_time for _, slot_time in worker.sent_cold) > allowed + slack:
                self.violations.append(f"{worker.name} was overloaded while it was cold")
        if len(worker.queue) >= self.site.queue_limit:
            self.schedule(self.now + ONE_WAY_MS, lambda: self.end_attempt(key, api.Outcome.REJECTED))
            return
        worker.queue.append((key, 1.0, work))
        self.start_queued(worker)

    def start_queued(self, worker: Worker) -> None:
        """Start queued attempts in their order, as long as the first one fits."""
        while worker.queue and worker.used_slots() + worker.queue[0][1] <= self.site.slots:
            key, slots, work = worker.queue.pop(0)
            worker.running[key] = slots
            run_ms, born = work / worker.speed / worker.warmth(self.now), worker.born
            if self.site.settings.tells_start:
                dispatcher, number, attempt = key
                started = api.Progress(number, attempt, worker.name, True)
                self.schedule(self.now + ONE_WAY_MS, lambda i=dispatcher, e=started: self.notify(i, e))  # type: ignore[misc]
            self.schedule(self.now + run_ms, lambda k=key, c=work, b=born: self.finish(worker, k, c, b))  # type: ignore[misc]

    def finish(self, worker: Worker, key: tuple[int, int, int], work: float, born: float) -> None:
        """End a run, unless the worker has died since."""
        if worker.silent or worker.born != born:
            return  # lost with the process
        del worker.running[key]
        worker.work_done += work
        self.schedule(self.now + ONE_WAY_MS, lambda: self.end_attempt(key, api.Outcome.DONE))
        self.start_queued(worker)

    def probe(self, dispatcher: int, worker: Worker) -> None:
        """Answer a dispatcher's probe with a report that is up to one period old."""
        age = self.rng.uniform(0.0, REPORT_PERIOD_MS)
        free = (self.site.slots - worker.used_slots()) * self.rng.uniform(0.8, 1.2)
        report = api.Report(queued=float(len(worker.queue)), free_slots=max(0.0, free))
        if not self.site.settings.reports_in_probes:
            report = api.Report()
        ended = api.ProbeEnded(
            worker.name, not worker.silent, 2 * ONE_WAY_MS, None if worker.silent else report
        )
        self.schedule(
            self.now + (1000.0 if worker.silent else 2 * ONE_WAY_MS + 0.2 * age),
            lambda: self.notify(dispatcher, ended),
        )

    def silence(self, worker: Worker) -> None:
        """Have a worker die silently; the list shows it later."""
        worker.silent = True
        worker.running, worker.queue = {}, []
        self.schedule(self.now + LIST_DELAY_MS, lambda: self.publish(worker, api.WorkerState.GONE))

    def restart(self, worker: Worker) -> None:
        """Start a worker again, cold; the list shows it later."""
        worker.silent, worker.born, worker.work_done = False, self.now, 0.0
        self.schedule(self.now + LIST_DELAY_MS, lambda: self.publish(worker, api.WorkerState.IN_SERVICE))

    def publish(self, worker: Worker, state: api.WorkerState) -> None:
        """Notify all dispatchers of a worker's state in the list."""
        if state is api.WorkerState.GONE:
            self.listed_gone_at[worker.name] = self.now + TICK_MS
        else:
            self.listed_gone_at.pop(worker.name, None)
        for i in range(self.site.settings.instances):
            self.notify(i, api.Membership(api.ListKind.CHANGES, [self.entry(worker, state)]))
