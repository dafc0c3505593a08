"""CPU time and memory of a dispatcher's decisions and of the worker list, measured in a process of their own.

    python -m benchmarks.scale.decisions WHAT WORKERS INSTANCES TENANTS RUNNING BURST

The decisions are real, time is virtual: requests arrive by a Poisson process, and the run time of each
attempt is drawn from an exponential distribution. The last line of the output is one JSON object.
"""

from __future__ import annotations

import heapq
import itertools
import json
import os
import random
import subprocess
import sys
import time
from dataclasses import replace
from typing import Any

import orjson

from benchmarks.store import memory_mb
from eiderpin import interface as api
from eiderpin.decide import Dispatcher
from eiderpin.net import list_document

STARTS_PER_SECOND = 570.0  # of the whole fleet, at the peak
RUN_MS = 22_800.0  # mean run time of an attempt: 13,000 run at once at 570 starts per second
SLOTS_PER_WORKER = 16.0
CONNECTION_IDLE_MS = 5_000.0  # for which a worker keeps an idle connection open
AIM_MS = 90_000.0  # long, as an answer comes only once the task has run
DEADLINE_MS = 120_000.0
TICK_MS = 5.0
ZONE_COUNT = 10


def measure_point(measurement: str, workers: int, instances: int = 200, tenants: int = 0, running: int = 0,
          burst: int = 1) -> dict[str, float]:  # fmt: skip
    """Measure one point (`starts` or `membership`) in a new process, and return its figures."""
    sizes = [str(n) for n in (workers, instances, tenants, running, burst)]
    command = [sys.executable, "-O", "-m", "benchmarks.scale.decisions", measurement, *sizes]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    found: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return found


def worker_rows(count: int, began: float = 0.0) -> list[dict[str, Any]]:
    """Build a list of workers as discovery reports it; `began` is when all of them started."""
    return [
        {
            "instanceId": f"worker-{number:05d}",
            "hostPort": f"10.{number % 3}.{number // 250 % 250}.{number % 250 + 1}:7000",
            "zone": f"region-{number % 3}-zone-{number % ZONE_COUNT}",
            "machineType": f"type-{number % 4}",
            "lifecycle": "Ready",
            "startedAtMs": began,
        }
        for number in range(count)
    ]


def build_settings(instances: int, tenants: int) -> api.Settings:
    """Build settings of the planned size, with one class that must not run twice and one that may."""
    classes = [
        api.RequestClass("task", repeat=api.Repeat.SINGLE_SHOT, aim=AIM_MS, deadline=DEADLINE_MS),
        api.RequestClass("read", repeat=api.Repeat.FREE, aim=AIM_MS, deadline=DEADLINE_MS),
    ]
    names = [api.Tenant(f"team-{number}", 10.0) for number in range(tenants)]
    return api.Settings(classes=classes, tick=TICK_MS, instances=instances, tenants=names)


class SimulatedDispatcher:
    """One of `instances` dispatchers that share the work evenly, in virtual time (ms).

    Attributes:
        attempt_ends: A heap of when attempts end, with their request, number, worker and run time.
        attempts: By request, how many attempts have begun.
        cpu_seconds: CPU time of the decisions.
        starts: How many attempts have begun.
        connections_opened: How many starts were at a worker without an idle connection.
        last_start_at: By worker, when the last attempt began.
    """

    def __init__(self, workers: int, instances: int, tenants: int, running: int) -> None:
        """List the workers, and begin with `running` attempts."""
        self.rng = random.Random(1)
        self.tenants = tenants
        self.settings = build_settings(instances, tenants)
        self.dispatcher = Dispatcher(self.settings, seed=1)
        self.now = 1_000_000.0
        self.request_ids = itertools.count(1)
        self.attempt_ends: list[tuple[float, int, int, str, float]] = []
        self.attempts: dict[int, int] = {}
        self.timers: list[tuple[float, int]] = []
        self.cpu_seconds = 0.0
        self.starts = 0
        self.connections_opened = 0
        self.last_start_at: dict[str, float] = {}
        document = {"generation": 1, "reset": True, "instances": worker_rows(workers)}
        entries = list_document.read_list(document)[2]
        listed = [replace(entry, slots=SLOTS_PER_WORKER) for entry, _ in entries]
        self.handle_events([api.Membership(api.ListKind.COMPLETE, listed)])
        for _ in range(running):
            self.add_requests()
        self.advance(self.now + 50.0)
        self.cpu_seconds, self.starts, self.connections_opened = 0.0, 0, 0

    def handle_events(self, events: list[Any]) -> None:
        """Pass events to the decisions, and schedule the attempts and timers that they ask for."""
        started_at = time.process_time()
        actions = self.dispatcher.handle(self.now, events)
        self.cpu_seconds += time.process_time() - started_at
        for action in actions:
            if isinstance(action, api.Send):
                self.starts += 1
                last = self.last_start_at.get(action.worker, 0.0)
                self.connections_opened += self.now - last > CONNECTION_IDLE_MS
                self.last_start_at[action.worker] = self.now
                run_ms = self.rng.expovariate(1.0 / RUN_MS)
                attempt = self.attempts.get(action.request, 0)
                self.attempts[action.request] = attempt + 1
                heapq.heappush(
                    self.attempt_ends, (self.now + run_ms, action.request, attempt, action.worker, run_ms)
                )
            elif isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (action.at, action.handle))

    def add_requests(self, count: int = 1) -> None:
        """Let `count` requests arrive at once."""
        events = []
        for _ in range(count):
            tenant = f"team-{self.rng.randrange(self.tenants)}" if self.tenants else None
            cls = "task" if self.rng.random() < 0.5 else "read"
            events.append(api.Request(next(self.request_ids), cls, DEADLINE_MS, tenant=tenant))
        self.handle_events(events)

    def advance(self, until: float) -> None:
        """Advance the time, with all timers and ends of attempts that are due until then."""
        while True:
            timer = self.timers[0][0] if self.timers else float("inf")
            end = self.attempt_ends[0][0] if self.attempt_ends else float("inf")
            if min(timer, end) > until:
                break
            self.now = max(self.now, min(timer, end))
            if timer <= end:
                self.handle_events([api.TimerFired(heapq.heappop(self.timers)[1])])
                continue
            _, request, attempt, worker, run_ms = heapq.heappop(self.attempt_ends)
            self.handle_events([api.AttemptEnded(request, attempt, worker, api.Outcome.DONE, run_ms, True)])
        self.now = until


def measure_starts(workers: int, instances: int, tenants: int, running: int, burst: int) -> dict[str, float]:
    """Measure the CPU time per start and the memory that the decisions use."""
    before = memory_mb(os.getpid())
    simulation = SimulatedDispatcher(workers, instances, tenants, running)
    interval_ms = 1000.0 * instances / STARTS_PER_SECOND * burst
    for _ in range(max(60, 600 // burst)):
        simulation.advance(simulation.now + simulation.rng.expovariate(1.0 / interval_ms))
        simulation.add_requests(burst)
    simulation.advance(simulation.now + 200.0)
    start_count = max(1, simulation.starts)
    return {
        "start_ms": simulation.cpu_seconds * 1000.0 / start_count,
        "starts": float(simulation.starts),
        "opened": simulation.connections_opened / start_count,
        "memory_mb": memory_mb(os.getpid()) - before,
    }


def measure_membership(workers: int, instances: int) -> dict[str, float]:
    """Measure the CPU time of a complete worker list, of one changed worker and of 100 rejoining at once."""
    simulation = SimulatedDispatcher(workers, instances, 0, 0)
    text = orjson.dumps({"generation": 2, "reset": True, "instances": worker_rows(workers)})

    def measure_list(rows: list[dict[str, Any]], kind: api.ListKind) -> float:
        data = orjson.dumps({"generation": 3, "reset": False, "instances": rows})
        started_at = time.process_time()
        entries = list_document.read_list(orjson.loads(data))[2]
        simulation.dispatcher.handle(simulation.now, [api.Membership(kind, [entry for entry, _ in entries])])
        return (time.process_time() - started_at) * 1000.0

    whole = measure_list(worker_rows(workers), api.ListKind.COMPLETE)
    one = measure_list(worker_rows(1, simulation.now), api.ListKind.CHANGES)
    zone = measure_list(worker_rows(100, simulation.now), api.ListKind.CHANGES)
    return {"list_ms": whole, "list_bytes": float(len(text)), "change_ms": one, "zone_ms": zone}


def main() -> None:
    """Measure one point, and print its figures."""
    measurement, *sizes = sys.argv[1:]
    workers, instances, tenants, running, burst = (int(size) for size in sizes)
    if measurement == "starts":
        found = measure_starts(workers, instances, tenants, running, burst)
    else:
        found = measure_membership(workers, instances)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
