"""What a fleet of dispatchers meets, on loopback: stand-in workers with slots and warm-up, and discovery.

A worker runs at most `slots` jobs at once and starts the rest in their order (PROTOCOL, "Dispatchers to
workers"): it answers 202, tells `started` when a slot takes the job and `done` or `failed` at its end. While
cold it works at `warmth` of its speed, from `cold_share` up to 1 over `warm_up`; held above `fall_multiple`
times its present capacity for `fall_ms` it falls over, which the rig counts as a broken rule. Each worker
counts what the fleet costs it: new connections (handshakes), probes, connections held, and the load that all
dispatchers together put on it while cold. A job's `Req-Id` begins with its dispatcher's number, so that a
worker knows where to tell of it without a header of its own.
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

ENDED = (*rig.CONNECTION_ERRORS, asyncio.CancelledError)  # a server's connection at the end of the run
WAITS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.5, 0.5, 0.5)  # s between the tries of a call-back
SLACK = 0.05  # s: every time limit of the protocol is this much longer


def clock() -> float:
    """Unix time, s: a worker's start is told in it (`startedAtMs`), and all machines read one clock."""
    return time.time()


@dataclass(slots=True)
class Rules:
    """The figures of the settings that the world keeps to, in seconds."""

    warm_up: float = 8.9
    cold_share: float = 0.34
    fall_multiple: float = 4.0
    fall: float = 2.0
    drain_grace: float = 0.5


@dataclass(slots=True)
class Job:
    rid: str
    cls: str
    work: float  # s at full speed
    need: int
    came: float
    started: float = -1.0
    cancelled: bool = False


@dataclass(slots=True)
class Costs:
    """What the fleet has cost one worker."""

    connections: int = 0  # accepted, each a handshake
    probes: int = 0
    most_open: int = 0
    jobs: int = 0
    cold_load: float = 0.0  # most held over present capacity, while cold
    over_since: float | None = None
    fell: int = 0
    late_sends: list[str] = field(default_factory=list)  # jobs that came past a drain's grace


def response(status: int, body: bytes = b"", reason: str = "OK") -> bytes:
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n" % (status, reason.encode(), len(body)) + body


class Worker(rig.Server):
    """One stand-in worker. `bad`: the share of its jobs that fail at once; `slow`: its run time multiple."""

    def __init__(
        self, name: str, zone: str, slots: int, rules: Rules, backs: dict[int, int], rng: random.Random,
        bad: float = 0.0, slow: float = 1.0, born: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__()
        self.name, self.zone, self.slots, self.rules, self.backs = name, zone, slots, rules, backs
        self.rng, self.bad, self.slow, self.born = rng, bad, slow, born
        self.lifecycle = "Ready"
        self.leaving_at: float | None = None  # when the list said it drains or is gone
        self.cut = False  # its machine is cut off: it says nothing, and takes no new connection
        self.queue: deque[Job] = deque()
        self.running: dict[str, Job] = {}
        self.used = 0
        self.costs = Costs()
        self.ran: Counter[str] = Counter()  # runs begun, by request id
        self.results: set[str] = set()  # what it gave as results
        self.calls: dict[int, rig.Idle] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def restart(self, now: float) -> None:
        """A new process: what it held is lost, and it begins cold."""
        self.born, self.cut = now, False
        self.queue.clear()
        self.running.clear()
        self.used = 0
        self.close_connections()

    # -- load

    def warmth(self, now: float) -> float:
        done = min(1.0, max(0.0, now - self.born) / self.rules.warm_up) if self.born else 1.0
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * done

    def look(self, now: float) -> None:
        """What all dispatchers together hold here, over what it bears now; falling over is counted once."""
        warmth = self.warmth(now)
        held = self.used + sum(j.need for j in self.queue)
        if warmth >= 1.0:
            self.costs.over_since = None
            return
        ratio = held / (self.slots * warmth)
        self.costs.cold_load = max(self.costs.cold_load, ratio)
        if ratio <= self.rules.fall_multiple:
            self.costs.over_since = None
        elif self.costs.over_since is None:
            self.costs.over_since = now
        elif now - self.costs.over_since > self.rules.fall + SLACK:
            self.costs.fell += 1
            self.costs.over_since = None

    # -- serving

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.cut:
            writer.close()  # as good as never coming up: the dispatcher's connect times out or is reset
            return
        self.costs.connections += 1
        self.open.add(writer)
        self.costs.most_open = max(self.costs.most_open, len(self.open))
        with contextlib.suppress(*ENDED):
            while True:
                first, headers, body = await rig.read_message(reader)
                method, target, _ = first.split(" ", 2)
                came = clock()
                while self.cut:
                    await asyncio.sleep(0.05)  # silent: open connections stay open and say nothing
                writer.write(self.answer(method, target, headers, body, came))
        writer.close()
        self.open.discard(writer)

    def answer(self, method: str, target: str, headers: dict[str, str], body: bytes, came: float) -> bytes:
        now = clock()
        if method == "GET":
            self.costs.probes += 1
            return response(200) if target in ("/ping", "/_load") else response(404, reason="Not Found")
        if method == "DELETE":
            self.drop(target.rsplit("/", 1)[-1])
            return response(204, reason="No Content")
        rid = headers.get("req-id", "")
        if not rid:
            return response(404, reason="Not Found")
        if self.leaving_at is not None and came > self.leaving_at + self.rules.drain_grace + SLACK:
            self.costs.late_sends.append(rid)
        said: dict[str, Any] = json.loads(body or b"{}")
        cls = target.strip("/").split("?")[0]
        job = Job(rid, cls, float(said.get("work", 0.1)), int(said.get("need", 1)), now)
        self.costs.jobs += 1
        self.queue.append(job)
        self.look(now)
        self.start_what_fits(now)
        return response(202, reason="Accepted")

    def drop(self, rid: str) -> None:
        for job in self.queue:
            if job.rid == rid:
                self.queue.remove(job)
                return
        running = self.running.get(rid)
        if running is not None:
            running.cancelled = True

    def start_what_fits(self, now: float) -> None:
        """In their order: the first waits until it fits."""
        while self.queue and self.used + self.queue[0].need <= self.slots:
            job = self.queue.popleft()
            job.started = now
            self.used += job.need
            self.running[job.rid] = job
            self.ran[job.rid] += 1
            self.spawn(self.run(job))

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, job: Job) -> None:
        born = self.born
        self.spawn(self.tell(job.rid, {"state": "started"}))
        failed = self.rng.random() < self.bad
        took = 0.005 if failed else job.work * self.slow / self.warmth(clock())
        await asyncio.sleep(took)
        if self.born != born or self.running.pop(job.rid, None) is None:
            return  # it restarted meanwhile, and the job was lost with it
        self.used -= job.need
        if not job.cancelled:
            result = f"{self.name} ran {job.rid}"
            if not failed:
                self.results.add(result)
            news = {"state": "failed"} if failed else {"state": "done", "result": result}
            self.spawn(self.tell(job.rid, news))
        now = clock()
        self.start_what_fits(now)
        self.look(now)

    async def tell(self, rid: str, news: dict[str, Any]) -> None:
        """Each call is tried until it is answered, at most ten times."""
        back = self.backs.get(int(rid.split("-", 1)[0][1:]))
        if back is None:
            return
        news = {"id": rid, "from": self.name, **news}
        await rig.tell(back, self.calls.setdefault(back, []), news, WAITS, lambda: self.cut)


class Discovery(rig.Server):
    """The list at one address, with watches (PROTOCOL, "Discovery"); what it holds changes when told."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.asked = 0

    def entry(self, worker: Worker) -> dict[str, Any]:
        return {
            "instanceId": worker.name, "hostPort": f"127.0.0.1:{worker.port}", "zone": worker.zone,
            "machineType": "m", "cell": 0, "lifecycle": worker.lifecycle, "weight": 1.0,
            "startedAtMs": int(worker.born * 1000) if worker.born else 0,
        }  # fmt: skip

    async def tell(self, workers: list[Worker]) -> None:
        async with self.changed:
            self.generation += 1
            for worker in workers:
                entry = self.entry(worker)
                self.entries[worker.name] = entry
                self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def whole(self) -> dict[str, Any]:
        rows = [e for e in self.entries.values() if e["lifecycle"] != "Gone"]
        return {"generation": self.generation, "reset": True, "instances": rows}

    def newer(self, than: int) -> Callable[[], bool]:
        return lambda: self.generation > than

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                first, _, _ = await rig.read_message(reader)
                target = first.split(" ", 2)[1]
                self.asked += 1
                query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
                after, wait = int(query.get("after", -1)), int(query.get("wait_ms", 0)) / 1000
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait_for(self.newer(after)), wait)
                    if after < 0 or after < self.generation - len(self.changes):
                        said = self.whole()
                    else:
                        rows = [e for g, e in self.changes if g > after]
                        said = {"generation": self.generation, "reset": False, "instances": rows}
                writer.write(response(200, json.dumps(said).encode()))
        writer.close()
