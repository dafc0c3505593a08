"""Processor time and memory of the decisions, and of the list of workers, in a process of their own.

    python -m benchmarks.scale.decisions WHAT WORKERS INSTANCES TENANTS RUNNING BURST

Virtual time, real decisions: requests come by a Poisson process, each attempt ends after a drawn time. The
last line is one JSON object.
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
from eiderpin.net import discovery

STARTS_PER_SECOND = 570.0  # over the fleet, at the peak
RUN_MS = 22_800.0  # mean time of a task: 13,000 running at 570 starts a second
SLOTS = 16.0  # of a worker
CONNECTION_IDLE = 5_000.0  # ms for which a worker keeps a connection that rests
AIM = 90_000.0  # ms; an answer comes once the task has run
DEADLINE = 120_000.0  # ms
TICK = 5.0
ZONES = 10


def point(what: str, workers: int, instances: int = 200, tenants: int = 0, running: int = 0,
          burst: int = 1) -> dict[str, float]:  # fmt: skip
    """Measure one point in a fresh process."""
    sizes = [str(n) for n in (workers, instances, tenants, running, burst)]
    command = [sys.executable, "-O", "-m", "benchmarks.scale.decisions", what, *sizes]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    found: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return found


def worker_rows(count: int, began: float = 0.0) -> list[dict[str, Any]]:
    """A list of workers as discovery tells it."""
    return [
        {
            "instanceId": f"worker-{number:05d}",
            "hostPort": f"10.{number % 3}.{number // 250 % 250}.{number % 250 + 1}:7000",
            "zone": f"region-{number % 3}-zone-{number % ZONES}",
            "machineType": f"type-{number % 4}",
            "lifecycle": "Ready",
            "startedAtMs": began,
        }
        for number in range(count)
    ]


def settings(instances: int, tenants: int) -> api.Settings:
    """Settings of the plan's size: one class that must not run twice and one that may."""
    classes = [
        api.RequestClass("task", repeat=api.Repeat.SINGLE_SHOT, aim=AIM, deadline=DEADLINE),
        api.RequestClass("read", repeat=api.Repeat.FREE, aim=AIM, deadline=DEADLINE),
    ]
    names = [api.Tenant(f"team-{number}", 10.0) for number in range(tenants)]
    return api.Settings(classes=classes, tick=TICK, instances=instances, tenants=names)


class World:
    """One dispatcher of `instances` that share the work evenly."""

    def __init__(self, workers: int, instances: int, tenants: int, running: int) -> None:
        """List the workers, and begin with so many running."""
        self.rng = random.Random(1)
        self.tenants = tenants
        self.settings = settings(instances, tenants)
        self.dispatcher = Dispatcher(self.settings, seed=1)
        self.now = 1_000_000.0
        self.numbers = itertools.count(1)
        self.ends: list[tuple[float, int, int, str, float]] = []
        self.attempts: dict[int, int] = {}  # of a request, begun so far
        self.timers: list[tuple[float, int]] = []
        self.used = 0.0
        self.starts = 0
        self.opened = 0  # connections, for a start at a worker that had none that rests
        self.last_used: dict[str, float] = {}  # of a worker, by a start
        entries = discovery.read_list({"generation": 1, "reset": True, "instances": worker_rows(workers)})[2]
        listed = [replace(entry, slots=SLOTS) for entry, _ in entries]
        self.handle([api.Membership(api.ListKind.COMPLETE, listed)])
        for _ in range(running):
            self.request()
        self.advance(self.now + 50.0)
        self.used, self.starts, self.opened = 0.0, 0, 0

    def handle(self, events: list[Any]) -> None:
        """Have the decisions take events, and note what they send."""
        begun = time.process_time()
        actions = self.dispatcher.handle(self.now, events)
        self.used += time.process_time() - begun
        for action in actions:
            if isinstance(action, api.Send):
                self.starts += 1
                last = self.last_used.get(action.worker, 0.0)
                self.opened += self.now - last > CONNECTION_IDLE
                self.last_used[action.worker] = self.now
                runs = self.rng.expovariate(1.0 / RUN_MS)
                attempt = self.attempts.get(action.request, 0)
                self.attempts[action.request] = attempt + 1
                heapq.heappush(self.ends, (self.now + runs, action.request, attempt, action.worker, runs))
            elif isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (action.at, action.handle))

    def request(self, count: int = 1) -> None:
        """So many requests come at once."""
        events = []
        for _ in range(count):
            tenant = f"team-{self.rng.randrange(self.tenants)}" if self.tenants else None
            cls = "task" if self.rng.random() < 0.5 else "read"
            events.append(api.Request(next(self.numbers), cls, DEADLINE, tenant=tenant))
        self.handle(events)

    def advance(self, until: float) -> None:
        """Let timers and ends come to pass."""
        while True:
            timer = self.timers[0][0] if self.timers else float("inf")
            end = self.ends[0][0] if self.ends else float("inf")
            if min(timer, end) > until:
                break
            self.now = max(self.now, min(timer, end))
            if timer <= end:
                self.handle([api.TimerFired(heapq.heappop(self.timers)[1])])
                continue
            _, request, attempt, worker, runs = heapq.heappop(self.ends)
            self.handle([api.AttemptEnded(request, attempt, worker, api.Outcome.DONE, runs, True)])
        self.now = until


def starts(workers: int, instances: int, tenants: int, running: int, burst: int) -> dict[str, float]:
    """Processor time a start, and the memory that the decisions have taken."""
    before = memory_mb(os.getpid())
    world = World(workers, instances, tenants, running)
    gap = 1000.0 * instances / STARTS_PER_SECOND * burst
    for _ in range(max(60, 600 // burst)):
        world.advance(world.now + world.rng.expovariate(1.0 / gap))
        world.request(burst)
    world.advance(world.now + 200.0)
    made = max(1, world.starts)
    return {
        "start_ms": world.used * 1000.0 / made,
        "starts": float(world.starts),
        "opened": world.opened / made,
        "memory_mb": memory_mb(os.getpid()) - before,
    }


def membership(workers: int, instances: int) -> dict[str, float]:
    """A whole list, a change of one worker, and 100 that come back at once: bytes and processor time."""
    world = World(workers, instances, 0, 0)
    text = orjson.dumps({"generation": 2, "reset": True, "instances": worker_rows(workers)})

    def taken(rows: list[dict[str, Any]], kind: api.ListKind) -> float:
        data = orjson.dumps({"generation": 3, "reset": False, "instances": rows})
        begun = time.process_time()
        entries = discovery.read_list(orjson.loads(data))[2]
        world.dispatcher.handle(world.now, [api.Membership(kind, [entry for entry, _ in entries])])
        return (time.process_time() - begun) * 1000.0

    whole = taken(worker_rows(workers), api.ListKind.COMPLETE)
    one = taken(worker_rows(1, world.now), api.ListKind.CHANGES)
    zone = taken(worker_rows(100, world.now), api.ListKind.CHANGES)
    return {"list_ms": whole, "list_bytes": float(len(text)), "change_ms": one, "zone_ms": zone}


def main() -> None:
    """One point."""
    what, *sizes = sys.argv[1:]
    workers, instances, tenants, running, burst = (int(size) for size in sizes)
    if what == "starts":
        found = starts(workers, instances, tenants, running, burst)
    else:
        found = membership(workers, instances)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
