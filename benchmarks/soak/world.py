"""The stand-ins of the soak, in one asyncio loop: servers by their behaviours, and clients that use their
open connections until these end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable

from benchmarks.rig import CONNECTION_ERRORS, Server, http_request_on, read_message
from benchmarks.soak.books import AttemptRecord, Books, RequestRecord
from benchmarks.soak.scenario import Behaviour, Scenario

RUN = (0.02, 0.25)  # s that an attempt takes where it is served
CALL_BACK_WAITS = (0.05, 0.1, 0.2, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25)  # s between tries
THINK = (0.0, 0.12)  # s between an answer and the next request
STILL_ENDING = 5.0  # s past its patience for which a client waits for an end


def steady() -> float:
    """Seconds on the clock of all records."""
    return time.monotonic()


class SoakServer(Server):
    """Behaves by the scenario's weights in the bad time, and serves before it."""

    def __init__(
        self, name: str, scenario: Scenario, books: Books, is_bad: Callable[[], bool], back: dict[str, int]
    ) -> None:
        """Nothing is started yet."""
        super().__init__()
        self.name, self.scenario, self.books, self.is_bad, self.back = name, scenario, books, is_bad, back
        self.rng = random.Random(f"{scenario.seed} {name}")
        self.tasks: set[asyncio.Task[None]] = set()

    def behaviour(self) -> Behaviour:
        """What is done with the next attempt."""
        if not self.is_bad():
            return Behaviour.SERVES
        weights = self.scenario.weights
        return self.rng.choices(list(weights), list(weights.values()))[0]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection of a dispatcher's."""
        self.open.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                first, got, _ = await read_message(reader)
                if not first.startswith("POST"):
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif not await self.take(got, writer, reader):
                    break
        writer.close()
        self.open.discard(writer)

    async def take(
        self, got: dict[str, str], writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        """One attempt; whether its connection goes on."""
        behaviour, request_id = self.behaviour(), got["req-id"]
        dispatcher = request_id.split(".")[0]
        ran = behaviour is not Behaviour.DECLINES
        told = int(got["req-deadline-ms"]) / 1000.0
        self.books.attempts.append(AttemptRecord(request_id, self.name, dispatcher, steady(), told, ran))
        if behaviour is Behaviour.DECLINES:
            writer.write(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
        elif behaviour is Behaviour.FAILS:
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        elif behaviour is Behaviour.RESETS:
            return False
        elif behaviour is Behaviour.HANGS_SILENT:
            await reader.read()  # until the dispatcher ends it
            return False
        else:
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            task = asyncio.create_task(self.run(request_id, dispatcher, behaviour))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return True

    async def run(self, request_id: str, dispatcher: str, behaviour: Behaviour) -> None:
        """Run what was taken, and tell of it."""
        if behaviour is Behaviour.HANGS_ACCEPTED:
            return
        await self.tell(dispatcher, {"id": request_id, "from": self.name, "state": "started"})
        if behaviour is Behaviour.HANGS_STARTED:
            return
        await asyncio.sleep(self.rng.uniform(*RUN))
        await self.tell(dispatcher, {"id": request_id, "from": self.name, "state": "done", "result": "ok"})

    async def tell(self, dispatcher: str, said: dict[str, str]) -> None:
        """A call-back, tried until it is answered, at most ten times."""
        body = json.dumps(said).encode()
        for wait in CALL_BACK_WAITS:
            with contextlib.suppress(*CONNECTION_ERRORS, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.back[dispatcher])
                try:
                    answer = http_request_on(reader, writer, "POST", "/_jobs/news", body)
                    status, _, _ = await asyncio.wait_for(answer, 2.0)
                finally:
                    writer.close()
                if status in (200, 204):
                    return
            await asyncio.sleep(wait)


class SoakClient:
    """Sends one request after another, on its open connection for as long as that is open."""

    def __init__(self, number: int, dispatcher: str, scenario: Scenario, books: Books, port: int) -> None:
        """Nothing is started yet."""
        self.name = f"{dispatcher}.c{number}"
        self.dispatcher, self.scenario, self.books, self.port = dispatcher, scenario, books, port
        self.rng = random.Random(f"{scenario.seed} {self.name}")
        self.sent = 0
        self.going = True

    async def run(self) -> None:
        """Until `going` is unset, with a new connection after each end."""
        while self.going:
            await asyncio.sleep(self.rng.uniform(*THINK))
            with contextlib.suppress(*CONNECTION_ERRORS):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    await self.use(reader, writer)
                finally:
                    writer.close()

    async def use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Until the connection ends, or is left."""
        while self.going and not reader.at_eof():
            keep = await self.ask(reader, writer)
            if not keep:
                return
            await asyncio.sleep(self.rng.uniform(*THINK))

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request; whether the connection goes on."""
        rng, self.sent = self.rng, self.sent + 1
        cls = rng.choice(("time-lookup", "result-post"))
        longest = self.scenario.deadlines[cls]
        patience = rng.choice((1.0, 1.0, rng.uniform(0.1, 1.0))) * longest
        record = RequestRecord(f"{self.name}.{self.sent}", cls, self.dispatcher, steady(), patience / 1000.0)
        head = (
            f"POST /{cls} HTTP/1.1\r\nReq-Id: {record.request_id}\r\nReq-Cost: 80000\r\n"
            f"Req-Deadline-Ms: {int(patience)}\r\nContent-Length: 2\r\n\r\nhi"
        )
        if reader.at_eof():
            return False
        self.books.requests[record.request_id] = record
        writer.write(head.encode())
        if rng.random() < self.scenario.leave_share:
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.3))))
            record.left_at = steady()
            if rng.random() < 0.5:
                writer.transport.abort()
            return False
        try:
            wait = record.patience + STILL_ENDING
            first, got, _ = await asyncio.wait_for(read_message(reader), wait)
        except TimeoutError:
            record.left_at = None
            return False
        except CONNECTION_ERRORS as error:
            record.ended_at = steady()
            record.reset = isinstance(error, OSError)
            return False
        record.answered_at, record.status = steady(), int(first.split()[1])
        self.books.answers[record.status] = self.books.answers.get(record.status, 0) + 1
        return got.get("connection") != "close"


async def crowd(port: int, count: int) -> list[asyncio.StreamWriter]:
    """So many connections that say nothing."""
    opened = []
    for _ in range(count):
        with contextlib.suppress(*CONNECTION_ERRORS):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            opened.append(writer)
    return opened


async def watch_lag(books: Books) -> None:
    """Note the longest for which this loop was held up."""
    every = 0.005
    while True:
        before = steady()
        await asyncio.sleep(every)
        books.lag = max(books.lag, steady() - before - every)
