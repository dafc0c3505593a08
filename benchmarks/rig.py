"""What the measurements share: the real program, workers that log what they ran, clients. On loopback."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from eiderpin.net.gearman import RESPONSE, Kind, Packet, Reader, pack

ROOT = Path(__file__).parent.parent
CONNECTION_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError)
Idle = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]  # connections to one address, kept open


BLOCK = 100  # ports that one process hands out; no other one hands out any of these meanwhile
_block: list[int] = []  # that are left of ours
_locks: list[int] = []  # that make our blocks ours, until we end


def free_port() -> int:
    """One that a process to come can have again and again: below those that the system gives to whoever asks
    for any, and of a block that no other test or measurement draws from, which might take it while that
    process is down."""
    while True:
        if not _block:
            _block.extend(_own_block())
        port = _block.pop()
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def _own_block() -> list[int]:
    starts = list(range(10_000, 30_000, BLOCK))
    random.SystemRandom().shuffle(starts)
    for start in starts:
        path = os.path.join(tempfile.gettempdir(), f"eiderpin-ports-{start}.lock")
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            continue
        _locks.append(fd)
        return list(range(start, start + BLOCK))
    raise OSError("every block of ports is taken")


def settings(deadline: float = 30_000.0) -> dict[str, Any]:
    return {
        "classes": [
            {"name": "result-post", "aim": 500.0, "hard_limit": deadline, "late_worth": 0.9,
             "repeat": "single_shot"},
            {"name": "time-lookup", "aim": 500.0, "hard_limit": deadline, "late_worth": 0.9,
             "repeat": "free"},
        ],
        "family_info": {"tells_start": True, "progress": 1000.0},
        "limits": {"may_cancel": True, "retry_after": True, "max_retry_after": 200.0, "try_limit": 5},
        "rules": {"drain_grace": 500.0, "grace_to_answer": 16.0, "cold_share": 1.0, "warm_up": 1.0,
                  "fall_multiple": 100.0},
        "tick": 1.0,
    }  # fmt: skip


class Program:
    """The dispatcher in a process of its own, at the same addresses each time that it is started."""

    def __init__(
        self, folder: Path, workers: list[tuple[str, int]], durable: dict[str, Any] | None, slots: int = 8,
        store: dict[str, Any] | None = None,
    ) -> None:  # fmt: skip
        self.http_port, self.gearman = free_port(), free_port()
        self.config, self.parts = folder / "config.json", folder / "parts.json"
        rows = [{"name": name, "address": f"127.0.0.1:{port}", "slots": slots} for name, port in workers]
        said = {"name": "bench", "listen": f"127.0.0.1:{self.http_port}", "workers": rows,
                "settings": settings(), "limits": {"sockets": 4096, "memory_mb": 256}}  # fmt: skip
        self.config.write_text(json.dumps(said))
        parts: dict[str, Any] = {"gearman": {"listen": f"127.0.0.1:{self.gearman}"}}
        if durable is not None:
            parts["durable"] = durable
        if store is not None:
            parts["store"] = store
        self.parts.write_text(json.dumps(parts))
        self.errors = folder / "stderr"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        command = [sys.executable, "-O", "-m", "eiderpin", "run", "--config", str(self.config), "--parts",
                   str(self.parts), "--log-format", "json"]  # fmt: skip
        with self.errors.open("ab") as errors:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=errors)

    async def ready(self, within: float = 20.0) -> None:
        """Raises `TimeoutError`."""
        async with asyncio.timeout(within):
            while True:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    status, _, _ = await http_request(self.http_port, "GET", "/_health")
                    if status == 200:
                        return
                await asyncio.sleep(0.01)

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.process.wait()


async def http_request(
    port: int, method: str, path: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes, dict[str, str]]:
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await http_request_on(reader, writer, method, path, body, **headers)
    finally:
        writer.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """A request's or an answer's first line, headers by lower-case name, and body."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines if line)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def http_request_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, method: str, path: str, body: bytes = b"",
    **headers: str,
) -> tuple[int, bytes, dict[str, str]]:  # fmt: skip
    lines = [f"{method} {path} HTTP/1.1", "Host: bench", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    first, got, said = await read_message(reader)
    return int(first.split()[1]), said, got


async def tell(
    callback_port: int, idle: Idle, news: dict[str, Any], waits: tuple[float, ...], silent: Callable[[], bool]
) -> None:
    """A worker's call-back, tried until it is answered, at most once for each of `waits` (s between tries);
    not while the worker is `silent`."""
    body = json.dumps(news).encode()
    for wait in waits:
        while silent():
            await asyncio.sleep(0.05)
        with contextlib.suppress(*CONNECTION_ERRORS):
            reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", callback_port)
            status, _, _ = await http_request_on(reader, writer, "POST", "/_jobs/news", body)
            if status in (200, 204):
                idle.append((reader, writer))
                return
            writer.close()
        await asyncio.sleep(wait)


class Server:
    """A stand-in that listens, and knows the connections that it has open."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close_connections(self) -> None:
        for writer in list(self.open):
            writer.close()


class RunLog:
    """What a worker ran, in a file of its own, written before the worker answers."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def note(self, job: str) -> None:
        os.write(self.fd, job.encode() + b"\n")

    def jobs(self) -> list[str]:
        return self.path.read_text().split()


class HttpWorker(Server):
    """Takes a job with a 202, and tells of its end at most ten times, until it is answered."""

    def __init__(
        self, name: str, log: RunLog, callback_port: int, rng: random.Random, run: tuple[float, float]
    ) -> None:
        super().__init__()
        self.name, self.log, self.callback_port, self.rng, self.run = name, log, callback_port, rng, run
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls: Idle = []

    async def stop(self) -> None:
        """Close what is open, and wait for it: a task that is cancelled at the end makes asyncio complain."""
        if self.server is not None:
            self.server.close()
        self.close_connections()
        while self.open:
            await asyncio.sleep(0.01)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                first, got, _ = await read_message(reader)
                if first.startswith("POST"):
                    job = got["req-id"]
                    self.log.note(job)
                    task = asyncio.create_task(self.work(job))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()
        self.open.discard(writer)

    async def work(self, job: str) -> None:
        if self.run[1]:
            await asyncio.sleep(self.rng.uniform(*self.run))
        news = {"id": job, "from": self.name, "state": "done", "result": f"ran {job}"}
        waits = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.5, 0.5, 0.5, 0.5)
        await tell(self.callback_port, self.calls, news, waits, lambda: False)


class Gearman:
    """One connection, as a client or as a worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.packets = Reader(RESPONSE)
        self.waiting: list[Packet] = []

    @classmethod
    async def connect(cls, port: int) -> Gearman:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def put(self, kind: Kind, *args: bytes) -> None:
        self.writer.write(pack(kind, *args, magic=b"\0REQ"))

    async def get(self) -> Packet:
        while not self.waiting:
            data = await self.reader.read(65536)
            if not data:
                raise EOFError
            self.waiting += [p for p in self.packets.feed(data) if isinstance(p, Packet)]
        return self.waiting.pop(0)

    async def wait_for_packet(self, *kinds: Kind) -> Packet:
        while True:
            packet = await self.get()
            if packet.kind in kinds:
                return packet

    def close(self) -> None:
        self.writer.close()


async def gearman_worker(port: int, log: RunLog, rng: random.Random, run: tuple[float, float]) -> None:
    """Grabs and runs for ever; what it ran when its connection broke is lost with that, as usual there."""
    while True:
        with contextlib.suppress(*CONNECTION_ERRORS):
            peer = await Gearman.connect(port)
            peer.put(Kind.CAN_DO, b"result-post")
            while True:
                peer.put(Kind.GRAB_JOB_UNIQ)
                packet = await peer.wait_for_packet(Kind.NO_JOB, Kind.JOB_ASSIGN_UNIQ)
                if packet.kind is Kind.NO_JOB:
                    peer.put(Kind.PRE_SLEEP)
                    await peer.wait_for_packet(Kind.NOOP)
                    continue
                job = packet.args[2]
                log.note(job.decode())
                await asyncio.sleep(rng.uniform(*run))
                peer.put(Kind.WORK_COMPLETE, packet.args[0], b"ran " + job)
        await asyncio.sleep(0.05)


@dataclass(slots=True)
class Answer:
    """A client's final answer: served with a result, or failed; `asked`: how often it had to ask."""

    served: bool
    result: bytes
    asked: int


async def ask_http(port: int, name: str, body: bytes) -> Answer:
    """Ask, and by the same name again where the connection dies or the job is turned down."""
    for asked in range(1, 10_000):
        try:
            status, result, got = await http_request(
                port, "POST", "/result-post", body, Idempotency_Key=f'"{name}"'
            )
        except CONNECTION_ERRORS:
            await asyncio.sleep(0.05)
            continue
        if status == 503:
            await asyncio.sleep(float(got.get("retry-after", 0.1)))
            continue
        if status not in (200, 500):
            raise AssertionError(f"{name}: {status} {result!r}")
        return Answer(status == 200, result, asked)
    raise AssertionError(f"{name}: no final answer")


async def ask_gearman(port: int, name: str, body: bytes) -> Answer:
    for asked in range(1, 10_000):
        try:
            peer = await Gearman.connect(port)
            peer.put(Kind.OPTION_REQ, b"exceptions")
            peer.put(Kind.SUBMIT_JOB, b"result-post", name.encode(), body)
            packet = await peer.wait_for_packet(
                Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.WORK_EXCEPTION, Kind.ERROR
            )
            peer.close()
        except CONNECTION_ERRORS:
            await asyncio.sleep(0.05)
            continue
        if packet.kind is Kind.ERROR:
            raise AssertionError(f"{name}: {packet.args!r}")
        if packet.kind is Kind.WORK_EXCEPTION:  # turned down
            await asyncio.sleep(0.1)
            continue
        served = packet.kind is Kind.WORK_COMPLETE
        return Answer(served, packet.args[1] if served else b"", asked)
    raise AssertionError(f"{name}: no final answer")
