"""Well-behaved clients beside an attack, which record how soon they are answered."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.rig import CONNECTION_ERRORS, http_request_on

TIMEOUT_SECONDS = 10.0  # of a request
THINK_SECONDS = 0.02  # between an answer and the next request
NO_ANSWER = 0  # in place of a status


@dataclass(slots=True)
class Served:
    """Answers that clients got in one phase of a trial."""

    statuses: Counter[int] = field(default_factory=Counter)
    latencies_seconds: list[float] = field(default_factory=list)

    def quantile_ms(self, share: float) -> float:
        """Return the latency that this share of the answers did not exceed, in ms; 0 without answers."""
        ordered = sorted(self.latencies_seconds)
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000, 1) if ordered else 0.0


class Bystander:
    """A client that sends one request after another.

    Args:
        name: Part of the ids of its requests.
        port: Of the HTTP front.
        cls: The class of its requests.
        body: Of each request.
        keeps_connection: Whether it uses one connection, or a new one for each request.
    """

    def __init__(self, name: str, port: int, cls: str, body: bytes, keeps_connection: bool) -> None:
        """Prepare the client without connecting yet."""
        self.name, self.port, self.cls, self.body = name, port, cls, body
        self.keeps_connection = keeps_connection
        self.phase = Served()  # where answers are recorded now
        self.request_count = 0
        self.is_running = True

    async def run(self) -> None:
        """Send requests until `is_running` is unset."""
        while self.is_running:
            await self.use_connection()

    async def use_connection(self) -> None:
        """Open a connection and send one request on it, or as many as it stays open for."""
        writer: asyncio.StreamWriter | None = None
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            while self.is_running:
                headers = await self.send_request(reader, writer, began)
                await asyncio.sleep(THINK_SECONDS)
                if not self.keeps_connection or headers.get("connection") == "close":
                    return
                began = time.monotonic()
        except (*CONNECTION_ERRORS, TimeoutError):
            self.record(NO_ANSWER, began)
        finally:
            if writer is not None:
                writer.close()

    async def send_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, began: float
    ) -> dict[str, str]:
        """Send a request and record its answer; return the answer's headers."""
        self.request_count += 1
        identity = f"{self.name}-{self.request_count}"
        answer = http_request_on(
            reader, writer, "POST", f"/{self.cls}", self.body, Req_Id=identity, Req_Deadline_Ms="5000"
        )
        status, _, headers = await asyncio.wait_for(answer, TIMEOUT_SECONDS)
        self.record(status, began)
        return headers

    def record(self, status: int, began: float) -> None:
        """Record an answer, or that there was none."""
        self.phase.statuses[status] += 1
        self.phase.latencies_seconds.append(time.monotonic() - began)


async def stop_all(bystanders: list[Bystander], tasks: list[asyncio.Task[None]]) -> None:
    """Let all of them finish their requests."""
    for bystander in bystanders:
        bystander.is_running = False
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks)
