"""Simulated workers and clients of the soak test, which share one asyncio loop.

Workers treat attempts as the scenario says; clients use their open connections until these end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable

from benchmarks.rig import CONNECTION_ERRORS, Server, http_request_on, read_message
from benchmarks.soak.books import AttemptRecord, Observations, RequestRecord
from benchmarks.soak.scenario import Behaviour, Scenario

RUN_SECONDS = (0.02, 0.25)  # shortest and longest run time of an attempt that is served
CALLBACK_RETRY_SECONDS = (0.05, 0.1, 0.2, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25)  # after each failed try
THINK_SECONDS = (0.0, 0.12)  # shortest and longest time between an answer and the next request
ANSWER_MARGIN_SECONDS = 5.0  # for which a client waits for the end of its request past its timeout


def monotonic_seconds() -> float:
    """Return the time in seconds on the clock that all records use."""
    return time.monotonic()


class SoakWorker(Server):
    """A simulated worker.

    Args:
        name: As in the dispatchers' list of workers.
        scenario: Its weights decide how attempts are treated once workers misbehave.
        observations: Where attempts are recorded.
        workers_misbehave: Whether workers misbehave now; before that every attempt is served.
        callback_ports: By dispatcher, the port for reports.
    """

    def __init__(
        self,
        name: str,
        scenario: Scenario,
        observations: Observations,
        workers_misbehave: Callable[[], bool],
        callback_ports: dict[str, int],
    ) -> None:
        """Prepare the worker without listening yet."""
        super().__init__()
        self.name, self.scenario, self.observations, self.workers_misbehave, self.callback_ports = (
            name,
            scenario,
            observations,
            workers_misbehave,
            callback_ports,
        )
        self.rng = random.Random(f"{scenario.seed} {name}")
        self.tasks: set[asyncio.Task[None]] = set()

    def choose_behaviour(self) -> Behaviour:
        """Draw how the next attempt is treated."""
        if not self.workers_misbehave():
            return Behaviour.SERVES
        behaviour_weights = self.scenario.behaviour_weights
        return self.rng.choices(list(behaviour_weights), list(behaviour_weights.values()))[0]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a dispatcher."""
        self.open.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                first_line, headers, _ = await read_message(reader)
                if not first_line.startswith("POST"):
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif not await self.handle_attempt(headers, writer, reader):
                    break
        writer.close()
        self.open.discard(writer)

    async def handle_attempt(
        self, headers: dict[str, str], writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        """Handle one attempt; return whether its connection stays open."""
        behaviour, request_id = self.choose_behaviour(), headers["req-id"]
        dispatcher = request_id.split(".")[0]
        ran = behaviour is not Behaviour.DECLINES
        told_seconds = int(headers["req-deadline-ms"]) / 1000.0
        self.observations.attempts.append(
            AttemptRecord(request_id, self.name, dispatcher, monotonic_seconds(), told_seconds, ran)
        )
        if behaviour is Behaviour.DECLINES:
            writer.write(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
        elif behaviour is Behaviour.FAILS:
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        elif behaviour is Behaviour.RESETS:
            return False
        elif behaviour is Behaviour.HANGS_SILENT:
            await reader.read()  # until the dispatcher closes the connection
            return False
        else:
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            task = asyncio.create_task(self.run(request_id, dispatcher, behaviour))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return True

    async def run(self, request_id: str, dispatcher: str, behaviour: Behaviour) -> None:
        """Run an accepted attempt and report its start and its end, unless the worker hangs."""
        if behaviour is Behaviour.HANGS_ACCEPTED:
            return
        await self.call_back(dispatcher, {"id": request_id, "from": self.name, "state": "started"})
        if behaviour is Behaviour.HANGS_STARTED:
            return
        await asyncio.sleep(self.rng.uniform(*RUN_SECONDS))
        await self.call_back(
            dispatcher, {"id": request_id, "from": self.name, "state": "done", "result": "ok"}
        )

    async def call_back(self, dispatcher: str, report: dict[str, str]) -> None:
        """Send a report to a dispatcher, with up to ten tries until it is acknowledged.

        Jobs of hostile clients do not say which dispatcher has them; nothing is reported on them.
        """
        if dispatcher not in self.callback_ports:
            return
        body = json.dumps(report).encode()
        for wait_seconds in CALLBACK_RETRY_SECONDS:
            with contextlib.suppress(*CONNECTION_ERRORS, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.callback_ports[dispatcher])
                try:
                    answer = http_request_on(reader, writer, "POST", "/_jobs/news", body)
                    status, _, _ = await asyncio.wait_for(answer, 2.0)
                finally:
                    writer.close()
                if status in (200, 204):
                    return
            await asyncio.sleep(wait_seconds)


class SoakClient:
    """A simulated client that sends one request after another, on one connection while that is open."""

    def __init__(
        self, number: int, dispatcher: str, scenario: Scenario, observations: Observations, port: int
    ) -> None:
        """Prepare the client without connecting yet."""
        self.name = f"{dispatcher}.c{number}"
        self.dispatcher, self.scenario, self.observations, self.port = (
            dispatcher,
            scenario,
            observations,
            port,
        )
        self.rng = random.Random(f"{scenario.seed} {self.name}")
        self.request_count = 0
        self.is_running = True

    async def run(self) -> None:
        """Send requests until `is_running` is unset, with a new connection whenever one has ended."""
        while self.is_running:
            await asyncio.sleep(self.rng.uniform(*THINK_SECONDS))
            with contextlib.suppress(*CONNECTION_ERRORS):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    await self.use_connection(reader, writer)
                finally:
                    writer.close()

    async def use_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests until the connection ends or the client leaves it."""
        while self.is_running and not reader.at_eof():
            keep_connection = await self.send_request(reader, writer)
            if not keep_connection:
                return
            await asyncio.sleep(self.rng.uniform(*THINK_SECONDS))

    async def send_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request and record what happens; return whether the connection stays open."""
        rng, self.request_count = self.rng, self.request_count + 1
        cls = rng.choice(("time-lookup", "result-post"))
        max_timeout_ms = self.scenario.deadlines_ms[cls]
        timeout_ms = rng.choice((1.0, 1.0, rng.uniform(0.1, 1.0))) * max_timeout_ms
        record = RequestRecord(
            f"{self.name}.{self.request_count}",
            cls,
            self.dispatcher,
            monotonic_seconds(),
            timeout_ms / 1000.0,
        )
        head = (
            f"POST /{cls} HTTP/1.1\r\nReq-Id: {record.request_id}\r\nReq-Cost: 80000\r\n"
            f"Req-Deadline-Ms: {int(timeout_ms)}\r\nContent-Length: 2\r\n\r\nhi"
        )
        if reader.at_eof():
            return False
        self.observations.requests[record.request_id] = record
        writer.write(head.encode())
        if rng.random() < self.scenario.leave_share:
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.3))))
            record.left_at = monotonic_seconds()
            if rng.random() < 0.5:
                writer.transport.abort()
            return False
        try:
            wait_seconds = record.timeout_seconds + ANSWER_MARGIN_SECONDS
            first_line, headers, _ = await asyncio.wait_for(read_message(reader), wait_seconds)
        except TimeoutError:
            record.left_at = None
            return False
        except CONNECTION_ERRORS as error:
            record.ended_at = monotonic_seconds()
            record.reset = isinstance(error, OSError)
            return False
        record.answered_at, record.status = monotonic_seconds(), int(first_line.split()[1])
        self.observations.answers[record.status] = self.observations.answers.get(record.status, 0) + 1
        return headers.get("connection") != "close"


async def open_idle_connections(port: int, count: int) -> list[asyncio.StreamWriter]:
    """Open this many connections that send nothing; those that fail are left out."""
    opened = []
    for _ in range(count):
        with contextlib.suppress(*CONNECTION_ERRORS):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            opened.append(writer)
    return opened


async def watch_lag(observations: Observations) -> None:
    """Record the longest delay of this event loop, until cancelled."""
    interval_seconds = 0.005
    while True:
        before = monotonic_seconds()
        await asyncio.sleep(interval_seconds)
        observations.max_lag_seconds = max(
            observations.max_lag_seconds, monotonic_seconds() - before - interval_seconds
        )
