"""What the measurements share, on loopback: the program as a process, workers that log runs, clients."""

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
IdleConnections = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]  # open connections to one address


DEFAULT_LIMITS = {"sockets": 4096, "memory_mb": 256}
PORTS_PER_BLOCK = 100  # a process reserves ports in blocks of this size
_free_ports: list[int] = []  # of the reserved blocks, not yet returned
_lock_fds: list[int] = []  # locked files that reserve the blocks until this process ends


def free_port() -> int:
    """Return a port of 127.0.0.1 that a server can bind again after each restart.

    The port lies below the range that the system assigns on its own, and in a block that no other test or
    measurement draws from; otherwise another process could take it while the server is down.
    """
    while True:
        if not _free_ports:
            _free_ports.extend(_reserve_block())
        port = _free_ports.pop()
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def _reserve_block() -> list[int]:
    """Reserve a block of ports until this process ends. Raises `OSError` where none is left."""
    starts = list(range(10_000, 30_000, PORTS_PER_BLOCK))
    random.SystemRandom().shuffle(starts)
    for start in starts:
        path = os.path.join(tempfile.gettempdir(), f"eiderpin-ports-{start}.lock")
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            continue
        _lock_fds.append(fd)
        return list(range(start, start + PORTS_PER_BLOCK))
    raise OSError("all blocks of ports are in use")


def settings(deadline: float = 30_000.0) -> dict[str, Any]:
    """Return settings with two classes, whose requests have `deadline` ms."""
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
    """The program in a process of its own. Its ports stay the same when it is started again."""

    def __init__(
        self, folder: Path, workers: list[tuple[str, int]], durable: dict[str, Any] | None, slots: int = 8,
        store: dict[str, Any] | None = None, limits: dict[str, int] | None = None,
        listeners: tuple[str, ...] = ("gearman",),
    ) -> None:  # fmt: skip
        """`listeners`: those beside the HTTP front end, by their names in the log's first event."""
        self.http_port, self.gearman_port = free_port(), free_port()
        self.management_port, self.agent_check_port = free_port(), free_port()
        self.config, self.features = folder / "config.json", folder / "parts.json"
        rows = [{"name": name, "address": f"127.0.0.1:{port}", "slots": slots} for name, port in workers]
        config = {"name": "bench", "listen": f"127.0.0.1:{self.http_port}", "workers": rows,
                  "settings": settings(), "limits": limits or DEFAULT_LIMITS}  # fmt: skip
        if "management" in listeners:
            config["management"] = f"127.0.0.1:{self.management_port}"
        self.config.write_text(json.dumps(config))
        features: dict[str, Any] = {}
        if "gearman" in listeners:
            features["gearman"] = {"listen": f"127.0.0.1:{self.gearman_port}"}
        if "agent-check" in listeners:
            features["agent_check"] = {"listen": f"127.0.0.1:{self.agent_check_port}"}
        if durable is not None:
            features["durable"] = durable
        if store is not None:
            features["store"] = store
        self.features.write_text(json.dumps(features))
        self.errors = folder / "stderr"
        self.process: subprocess.Popen[bytes] | None = None

    def port_of(self, front: str) -> int:
        """Return the port of a listener, by its name in the log's first event."""
        return {
            "edge": self.http_port, "gearman": self.gearman_port, "management": self.management_port,
            "agent-check": self.agent_check_port,
        }[front]  # fmt: skip

    def start(self) -> None:
        """Start the process; its log is appended to the file `errors`."""
        command = [sys.executable, "-O", "-m", "eiderpin"]
        env = {**os.environ, "GW_CONFIG": str(self.config), "EIDERPIN_FRONTS": str(self.features),
               "EIDERPIN_LOG_FORMAT": "json"}  # fmt: skip
        with self.errors.open("ab") as errors:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=subprocess.DEVNULL, stderr=errors
            )

    async def ready(self, within: float = 20.0) -> None:
        """Wait until the program is ready for requests. Raises `TimeoutError` after `within` seconds."""
        async with asyncio.timeout(within):
            while True:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    status, _, _ = await http_request(self.http_port, "GET", "/_health")
                    if status == 200:
                        return
                await asyncio.sleep(0.01)

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send the signal and wait for the process to end."""
        assert self.process is not None
        self.process.send_signal(number)
        self.process.wait()


async def http_request(
    port: int, method: str, path: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes, dict[str, str]]:
    """Send one request on a connection of its own; return status, body and headers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await http_request_on(reader, writer, method, path, body, **headers)
    finally:
        writer.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a request or a response: its first line, its headers by lower-case name, and its body."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)
    }
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def http_request_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, method: str, path: str, body: bytes = b"",
    **headers: str,
) -> tuple[int, bytes, dict[str, str]]:  # fmt: skip
    """Send one request on an open connection; return status, body and headers by lower-case name.

    An underscore in the name of a header argument stands for a hyphen.
    """
    lines = [f"{method} {path} HTTP/1.1", "Host: bench", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    first, response_headers, response_body = await read_message(reader)
    return int(first.split()[1]), response_body, response_headers


async def send_callback(
    callback_port: int,
    idle: IdleConnections,
    callback: dict[str, Any],
    delays: tuple[float, ...],
    is_silent: Callable[[], bool],
) -> None:
    """Send a worker's call-back, and retry until it is answered.

    There is one try for each of `delays`, the seconds to wait after a failed one, and none while the worker
    is silent.
    """
    body = json.dumps(callback).encode()
    for delay in delays:
        while is_silent():
            await asyncio.sleep(0.05)
        with contextlib.suppress(*CONNECTION_ERRORS):
            reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", callback_port)
            status, _, _ = await http_request_on(reader, writer, "POST", "/_jobs/news", body)
            if status in (200, 204):
                idle.append((reader, writer))
                return
            writer.close()
        await asyncio.sleep(delay)


class Server:
    """A stand-in that listens at a free port and keeps track of its open connections."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; sets `port`."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close_connections(self) -> None:
        """Close all open connections."""
        for writer in list(self.open):
            writer.close()


class RunLog:
    """A worker's runs, in a file of its own. Each is written before the worker answers."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def note(self, job: str) -> None:
        """Record that a job ran."""
        os.write(self.fd, job.encode() + b"\n")

    def jobs(self) -> list[str]:
        """Return the jobs that ran, one entry per run."""
        return self.path.read_text().split()


class HttpWorker(Server):
    """Accepts a job with a 202 and reports its end by a call-back, which is tried at most ten times.

    A job takes a random time in `run`, a range in seconds.
    """

    def __init__(
        self, name: str, log: RunLog, callback_port: int, rng: random.Random, run: tuple[float, float]
    ) -> None:
        super().__init__()
        self.name, self.log, self.callback_port, self.rng, self.run = name, log, callback_port, rng, run
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle: IdleConnections = []  # connections for call-backs

    async def stop(self) -> None:
        """Close all and wait for it: asyncio complains of a task that is cancelled at the end."""
        if self.server is not None:
            self.server.close()
        self.close_connections()
        for _, writer in self.idle:
            writer.close()
        while self.open:
            await asyncio.sleep(0.01)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a dispatcher."""
        self.open.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                first, headers, _ = await read_message(reader)
                if first.startswith("POST"):
                    job = headers["req-id"]
                    self.log.note(job)
                    task = asyncio.create_task(self.work(job))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()
        self.open.discard(writer)

    def result_of(self, job: str) -> str:
        """Return the result of a job."""
        return f"ran {job}"

    async def work(self, job: str) -> None:
        """Run a job and report its end."""
        if self.run[1]:
            await asyncio.sleep(self.rng.uniform(*self.run))
        callback = {"id": job, "from": self.name, "state": "done", "result": self.result_of(job)}
        delays = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.5, 0.5, 0.5, 0.5)
        await send_callback(self.callback_port, self.idle, callback, delays, lambda: False)


class Gearman:
    """One connection of the Gearman protocol, as a client or as a worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.packets = Reader(RESPONSE)
        self.received: list[Packet] = []  # and not yet returned

    @classmethod
    async def connect(cls, port: int) -> Gearman:
        """Connect to a dispatcher on loopback."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def put(self, kind: Kind, *args: bytes) -> None:
        """Send a packet."""
        self.writer.write(pack(kind, *args, magic=b"\0REQ"))

    async def get(self) -> Packet:
        """Return the next packet. Raises `EOFError` where the connection ends."""
        while not self.received:
            data = await self.reader.read(65536)
            if not data:
                raise EOFError
            self.received += [packet for packet in self.packets.feed(data) if isinstance(packet, Packet)]
        return self.received.pop(0)

    async def wait_for_packet(self, *kinds: Kind) -> Packet:
        """Return the next packet of one of these kinds; others are dropped."""
        while True:
            packet = await self.get()
            if packet.kind in kinds:
                return packet

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def gearman_worker(port: int, log: RunLog, rng: random.Random, run: tuple[float, float]) -> None:
    """Grab and run jobs for ever, each for a random time in `run`, a range in seconds.

    The result of a job whose connection broke meanwhile is lost, as is usual with Gearman.
    """
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
    """A client's final answer: served with a result, or failed."""

    served: bool
    result: bytes
    tries: int  # requests that the client had to send


async def ask_http(port: int, name: str, body: bytes) -> Answer:
    """Submit a job by HTTP until there is a final answer.

    The job is submitted again by the same name where the connection breaks or the job is rejected. Raises
    `AssertionError` on an unexpected answer.
    """
    for tries in range(1, 10_000):
        try:
            status, result, headers = await http_request(
                port, "POST", "/result-post", body, Idempotency_Key=f'"{name}"'
            )
        except CONNECTION_ERRORS:
            await asyncio.sleep(0.05)
            continue
        if status == 503:
            await asyncio.sleep(float(headers.get("retry-after", 0.1)))
            continue
        if status not in (200, 500):
            raise AssertionError(f"{name}: {status} {result!r}")
        return Answer(status == 200, result, tries)
    raise AssertionError(f"{name}: no final answer")


async def ask_gearman(port: int, name: str, body: bytes) -> Answer:
    """Submit a job by the Gearman protocol until there is a final answer, as `ask_http` does."""
    for tries in range(1, 10_000):
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
        if packet.kind is Kind.WORK_EXCEPTION:  # rejected
            await asyncio.sleep(0.1)
            continue
        served = packet.kind is Kind.WORK_COMPLETE
        return Answer(served, packet.args[1] if served else b"", tries)
    raise AssertionError(f"{name}: no final answer")
