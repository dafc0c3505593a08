"""Stand-ins for the surroundings of a fleet of dispatchers, on loopback: workers with slots, and discovery.

A worker runs at most `slots` jobs at once and starts the others in their order (PROTOCOL, "Dispatchers to
workers"): it answers 202, reports `started` when a slot takes the job, and `done` or `failed` at its end. A
cold worker runs at a part of its speed, which rises from `cold_share` to 1 within `warm_up`. If its load
stays above `fall_multiple` times its present capacity for longer than `fall`, it falls over; the
measurement counts that as a violation of the protocol.

Each worker counts what the fleet costs it: new connections (handshakes), probes, connections held open, and
the load that all dispatchers together put on it while it is cold. A job's `Req-Id` begins with the number of
its dispatcher, so that the worker knows where to send call-backs.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks import rig

SERVING_ENDED = (*rig.CONNECTION_ERRORS, asyncio.CancelledError)  # how a server's connection may end
CALLBACK_DELAYS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.5, 0.5, 0.5)  # after each failed try
TOLERANCE_SECONDS = 0.05  # time limits of the protocol count as exceeded only by more than this


def clock() -> float:
    """Return Unix time in seconds, which discovery uses for a worker's start (`startedAtMs`)."""
    return time.time()


@dataclass(slots=True)
class Rules:
    """The part of the settings that the workers apply; times in seconds."""

    warm_up: float = 8.9
    cold_share: float = 0.34
    fall_multiple: float = 4.0
    fall: float = 2.0
    drain_grace: float = 0.5


@dataclass(slots=True)
class Job:
    """A job that a worker holds. Times are Unix time in seconds."""

    request_id: str
    cls: str
    work: float  # s at full speed
    need: int
    received_at: float
    started_at: float = -1.0
    cancelled: bool = False


@dataclass(slots=True)
class Costs:
    """What the fleet has cost one worker, and where it broke the protocol."""

    connections: int = 0  # accepted
    probes: int = 0
    max_open: int = 0  # connections at once
    jobs: int = 0
    max_cold_load: float = 0.0  # load relative to present capacity, while cold
    overloaded_since: float | None = None
    falls: int = 0
    late_sends: list[str] = field(default_factory=list)  # requests that came after a drain's grace


def response(status: int, body: bytes = b"", reason: str = "OK") -> bytes:
    """Return a complete HTTP response."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n" % (status, reason.encode(), len(body)) + body


class Worker(rig.Server):
    """One stand-in worker.

    `failing_share`: the share of its jobs that fail at once. `slowdown`: factor of its run times. `born`:
    when its process started, 0 for a warm one. `callback_ports`: by the number of the dispatcher.
    """

    def __init__(
        self, name: str, zone: str, slots: int, rules: Rules, callback_ports: dict[int, int],
        rng: random.Random, failing_share: float = 0.0, slowdown: float = 1.0, born: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__()
        self.name, self.zone, self.slots, self.rules, self.callback_ports = (
            name, zone, slots, rules, callback_ports,
        )  # fmt: skip
        self.rng, self.failing_share, self.slowdown, self.born = rng, failing_share, slowdown, born
        self.lifecycle = "Ready"
        self.leaving_at: float | None = None  # when the list said that it drains or is gone
        self.cut_off = False  # from the network: it sends nothing and accepts no connection
        self.queue: deque[Job] = deque()
        self.running: dict[str, Job] = {}
        self.used_slots = 0
        self.costs = Costs()
        self.ran: Counter[str] = Counter()  # runs begun, by request id
        self.results: set[str] = set()  # that it returned
        self.idle: dict[int, rig.IdleConnections] = {}  # connections for call-backs, by port
        self.tasks: set[asyncio.Task[None]] = set()

    def restart(self, now: float) -> None:
        """Restart the process: all its jobs are lost, and it is cold."""
        self.born, self.cut_off = now, False
        self.queue.clear()
        self.running.clear()
        self.used_slots = 0
        self.close_connections()

    # -- load

    def warmth(self, now: float) -> float:
        """Return its present speed as a share of full speed."""
        warmed_share = min(1.0, max(0.0, now - self.born) / self.rules.warm_up) if self.born else 1.0
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * warmed_share

    def check_load(self, now: float) -> None:
        """Record the load of all dispatchers relative to present capacity, and whether it falls over."""
        warmth = self.warmth(now)
        held = self.used_slots + sum(job.need for job in self.queue)
        if warmth >= 1.0:
            self.costs.overloaded_since = None
            return
        ratio = held / (self.slots * warmth)
        self.costs.max_cold_load = max(self.costs.max_cold_load, ratio)
        if ratio <= self.rules.fall_multiple:
            self.costs.overloaded_since = None
        elif self.costs.overloaded_since is None:
            self.costs.overloaded_since = now
        elif now - self.costs.overloaded_since > self.rules.fall + TOLERANCE_SECONDS:
            self.costs.falls += 1
            self.costs.overloaded_since = None

    # -- serving

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a dispatcher."""
        if self.cut_off:
            writer.close()  # for the dispatcher the same as a connection that never comes up
            return
        self.costs.connections += 1
        self.open.add(writer)
        self.costs.max_open = max(self.costs.max_open, len(self.open))
        with contextlib.suppress(*SERVING_ENDED):
            while True:
                first, headers, body = await rig.read_message(reader)
                method, target, _ = first.split(" ", 2)
                received_at = clock()
                while self.cut_off:
                    await asyncio.sleep(0.05)  # open connections stay open, but nothing is sent
                writer.write(self.answer(method, target, headers, body, received_at))
        writer.close()
        self.open.discard(writer)

    def answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes, received_at: float
    ) -> bytes:
        """Handle one request; return the response."""
        now = clock()
        if method == "GET":
            self.costs.probes += 1
            return response(200) if target in ("/ping", "/_load") else response(404, reason="Not Found")
        if method == "DELETE":
            self.drop(target.rsplit("/", 1)[-1])
            return response(204, reason="No Content")
        request_id = headers.get("req-id", "")
        if not request_id:
            return response(404, reason="Not Found")
        if (
            self.leaving_at is not None
            and received_at > self.leaving_at + self.rules.drain_grace + TOLERANCE_SECONDS
        ):
            self.costs.late_sends.append(request_id)
        fields: dict[str, Any] = json.loads(body or b"{}")
        cls = target.strip("/").split("?")[0]
        job = Job(request_id, cls, float(fields.get("work", 0.1)), int(fields.get("need", 1)), now)
        self.costs.jobs += 1
        self.queue.append(job)
        self.check_load(now)
        self.start_what_fits(now)
        return response(202, reason="Accepted")

    def drop(self, request_id: str) -> None:
        """Cancel a job. If it runs, it goes on, but its end is not reported."""
        for job in self.queue:
            if job.request_id == request_id:
                self.queue.remove(job)
                return
        running = self.running.get(request_id)
        if running is not None:
            running.cancelled = True

    def start_what_fits(self, now: float) -> None:
        """Start queued jobs in their order, as long as the first one fits."""
        while self.queue and self.used_slots + self.queue[0].need <= self.slots:
            job = self.queue.popleft()
            job.started_at = now
            self.used_slots += job.need
            self.running[job.request_id] = job
            self.ran[job.request_id] += 1
            self.spawn(self.run(job))

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, job: Job) -> None:
        """Run a job and report its start and end."""
        born = self.born
        self.spawn(self.send_callback(job.request_id, {"state": "started"}))
        fails = self.rng.random() < self.failing_share
        run_seconds = 0.005 if fails else job.work * self.slowdown / self.warmth(clock())
        await asyncio.sleep(run_seconds)
        if self.born != born or self.running.pop(job.request_id, None) is None:
            return  # it has restarted, and the job is lost
        self.used_slots -= job.need
        if not job.cancelled:
            result = f"{self.name} ran {job.request_id}"
            if not fails:
                self.results.add(result)
            callback = {"state": "failed"} if fails else {"state": "done", "result": result}
            self.spawn(self.send_callback(job.request_id, callback))
        now = clock()
        self.start_what_fits(now)
        self.check_load(now)

    async def send_callback(self, request_id: str, state: dict[str, Any]) -> None:
        """Send a call-back to the dispatcher of a request; tried at most ten times."""
        callback_port = self.callback_ports.get(int(request_id.split("-", 1)[0][1:]))
        if callback_port is None:
            return
        callback = {"id": request_id, "from": self.name, **state}
        await rig.send_callback(
            callback_port,
            self.idle.setdefault(callback_port, []),
            callback,
            CALLBACK_DELAYS_SECONDS,
            lambda: self.cut_off,
        )


class Discovery(rig.Server):
    """A stand-in for discovery: one list with watches on it (PROTOCOL, "Discovery")."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.request_count = 0

    def entry(self, worker: Worker) -> dict[str, Any]:
        """Return a worker's entry as it is now."""
        return {
            "instanceId": worker.name, "hostPort": f"127.0.0.1:{worker.port}", "zone": worker.zone,
            "machineType": "m", "cell": 0, "lifecycle": worker.lifecycle, "weight": 1.0,
            "startedAtMs": int(worker.born * 1000) if worker.born else 0,
        }  # fmt: skip

    async def publish(self, workers: list[Worker]) -> None:
        """Publish the present entries of these workers as one change of the list."""
        async with self.changed:
            self.generation += 1
            for worker in workers:
                entry = self.entry(worker)
                self.entries[worker.name] = entry
                self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def complete_list(self) -> dict[str, Any]:
        """Return the complete list in the form of an answer."""
        rows = [entry for entry in self.entries.values() if entry["lifecycle"] != "Gone"]
        return {"generation": self.generation, "reset": True, "instances": rows}

    def has_passed(self, generation: int) -> Callable[[], bool]:
        """Return a predicate: whether the list is newer than this generation."""
        return lambda: self.generation > generation

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a dispatcher."""
        with contextlib.suppress(*SERVING_ENDED):
            while True:
                first, _, _ = await rig.read_message(reader)
                target = first.split(" ", 2)[1]
                self.request_count += 1
                query = dict(
                    pair.split("=", 1) for pair in target.partition("?")[2].split("&") if "=" in pair
                )
                after, wait_seconds = int(query.get("after", -1)), int(query.get("wait_ms", 0)) / 1000
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait_for(self.has_passed(after)), wait_seconds)
                    if after < 0 or after < self.generation - len(self.changes):
                        answer = self.complete_list()
                    else:
                        rows = [entry for generation, entry in self.changes if generation > after]
                        answer = {"generation": self.generation, "reset": False, "instances": rows}
                writer.write(response(200, json.dumps(answer).encode()))
        writer.close()
