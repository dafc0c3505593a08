"""Stand-ins for the second review: platform, discovery, workers and clients, on loopback addresses.

One asyncio loop of the test plays all peers; the dispatcher under test is a process of its own, started by
the `run` line of the deploy file. Everything that is sent, answered and run is written to `record.txt`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONE, KINDS = "rec-1", ["large-fast", "medium", "small-slow"]
SPEEDS = {"large-fast": 2.0, "medium": 1.2, "small-slow": 0.8}  # of a core, as in the users' brief
WORK_MS = {"time-lookup": (400.0, 770.0), "result-post": (1600.0, 3100.0)}
DRAIN_GRACE_MS = 550.0  # 500 ms, and the 50 ms that every time limit is longer on sockets
TOLD_AT_THE_LATEST_MS = 6000.0
BROKEN_STATUS = 3  # a rule was broken; `run.sh` makes 1 of it, and 2 of whatever else went wrong


class Broken(Exception):
    """The rule was broken."""


def settings(instances: int = 1) -> dict[str, Any]:
    """The settings of recife-main, as the users' page of the wire gives them."""
    classes = [
        {"aim": 250.0, "hard_limit": 7500.0, "importance": 5.0, "key_scope": "all", "late_worth": 0.0,
         "memory_span": 5000.0, "name": "time-lookup", "repeat": "free", "streaming": False},
        {"aim": 1000.0, "hard_limit": 25000.0, "importance": 8.0, "key_scope": "all", "late_worth": 0.0,
         "memory_span": 5000.0, "name": "result-post", "repeat": "single_shot", "streaming": False},
    ]  # fmt: skip
    return {
        "classes": classes,
        "clients": {"marks_retry": False},
        "discovery": "pushed",
        "failure_domains": [ZONE],
        "family_info": {
            "class_kind": [-1, -1], "class_priority": [0, 1], "class_stretch": [1.75, 1.75],
            "progress": 1000.0, "queue_order": "fifo", "tells_start": True,
        },
        "layers": ["results-workers"],
        "limits": {
            "conn_idle": 5000.0, "connect_timeout": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
            "max_retry_after": 2000.0, "may_cancel": True, "most_held": 20000, "parallel_tries": True,
            "peers": False, "probes": True, "retry_after": True, "streams_per_conn": 1, "try_limit": 5,
        },
        "n_instances": instances,
        "over_share_worth": 0.1,
        "prices": {"late_fail": 0.03, "probe": 0.0022, "waste": 0.12},
        "realms": [],
        "report": {"names": [], "source": "silent"},
        "rules": {"ask_within": 10000.0, "cold_share": 0.34, "drain_grace": 500.0, "fall": 2000.0,
                  "fall_multiple": 4.0, "grace_to_answer": 16.0, "warm_up": 8900.0},
        "service_type": "jobs",
        "shapes": KINDS,
        "slot_no": 0,
        "tick": 4.0,
        "tier": 0,
        "weights": "silent",
        "worth_by": "work",
        "zone": ZONE,
    }  # fmt: skip


class Record:
    """The record of a run: what was sent, answered and run, with the ms since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """The ms since the start of the run."""
        return (time.monotonic() - self.began) * 1000.0

    def add(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{self.now():9.1f} {text}\n")
        self.file.flush()


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str], bytes] | None:
    """One HTTP message: the words of its first line, its headers and its body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in lines[1:] if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0].split(" ", 2), headers, body


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """An HTTP response."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server on a loopback address; `handle` is called with each message and its writer."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 18)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Its host:port."""
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.handle(message, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, message: tuple[list[str], dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Answer one message."""
        raise NotImplementedError

    async def stop(self, connections_after_s: float = 0.0) -> None:
        """Accept nothing more, and close the open connections after so many seconds."""
        if self.server is not None:
            self.server.close()
        await asyncio.sleep(connections_after_s)
        for writer in list(self.writers):
            writer.close()


class Discovery(Server):
    """The agent of discovery: the list of workers, and watches on it.

    `delay_s`: how much later than at once each answer comes. `told`: by worker, when its last change was
    written whole to a connection that the dispatcher still had open.
    """

    def __init__(self, record: Record, generation: int = 40) -> None:
        super().__init__()
        self.record, self.generation, self.delay_s = record, generation, 0.0
        self.silent = False  # calls that come while it is are answered when it is no longer
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.told: dict[str, float] = {}
        self.calls = self.answered = 0

    def copy_list(self, other: Discovery) -> None:
        """Take over the list that another one has now."""
        self.generation, self.changes = other.generation, list(other.changes)
        self.entries = {name: dict(entry) for name, entry in other.entries.items()}

    async def list(self, worker: Worker, lifecycle: str = "Ready") -> None:
        """List a worker, or change its entry."""
        async with self.changed:
            self.generation += 1
            entry = {
                "instanceId": worker.name, "hostPort": worker.address, "zone": ZONE,
                "machineType": worker.kind, "cell": 0, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": 0,
            }  # fmt: skip
            self.entries[worker.name] = entry
            self.changes.append((self.generation, entry))
            self.changed.notify_all()
        self.record.add(f"discovery {self.port} has: {worker.name} {lifecycle}, generation {self.generation}")

    async def handle(
        self, message: tuple[list[str], dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call: the whole list, or the changes after a generation once there are some."""
        self.calls += 1
        query = dict(pair.split("=") for pair in message[0][1].partition("?")[2].split("&") if "=" in pair)
        after, wait_s = int(query.get("after", -1)), int(query.get("wait_ms", 0)) / 1000.0
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.generation > after), max(wait_s, 0.001)
                )
            whole = after < 0
            rows = (
                [e for e in self.entries.values() if e["lifecycle"] != "Gone"]
                if whole
                else [entry for generation, entry in self.changes if generation > after]
            )
            answer = {"generation": self.generation, "reset": whole, "instances": rows}
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.silent and not writer.is_closing():
            await asyncio.sleep(0.02)
        states = [f"{row['instanceId']}={row['lifecycle']}" for row in rows]
        if writer.is_closing():
            return
        writer.write(response(200, json.dumps(answer).encode(), "Content-Type: application/json"))
        await writer.drain()
        self.answered += 1
        for row in rows:
            self.told[row["instanceId"]] = self.record.now()
        if states:
            self.record.add(f"discovery {self.port} tells generation {answer['generation']}: {states}")


class Worker(Server):
    """A worker on HTTP: slots, a queue in order, a 202 for each job that it takes, and call-backs.

    One that drains turns away what is new, as a sound worker does. `results` gives the result of a job.
    """

    def __init__(self, record: Record, number: int, slots: int = 4, queue: int = 4) -> None:
        super().__init__()
        self.record, self.name = record, f"s-{number:08x}"
        self.kind = KINDS[number % 3]
        self.slots, self.queue_limit, self.draining = slots, queue, False
        self.running = 0
        self.waiting: list[tuple[str, str, float]] = []
        self.ids: set[str] = set()  # taken and not ended
        self.arrivals: list[tuple[float, str]] = []  # (first byte's time at the latest, id)
        self.began: list[str] = []
        self.callback_address = ""
        self.result_of: Callable[[str], str] = lambda request_id: f"{self.name} ran {request_id}"
        self.run_ms: Callable[[str, float], float] = lambda cls, cost: cost / SPEEDS[self.kind]
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(
        self, message: tuple[list[str], dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Take a job or turn it away; answer a probe or a cancel."""
        (method, target, _), headers, _body = message
        if method != "POST":
            writer.write(response(200 if method == "GET" else 204))
            return
        request_id, cls = headers.get("req-id", ""), target.split("?")[0].split("/")[1]
        self.arrivals.append((self.record.now(), request_id))
        full = self.running >= self.slots and len(self.waiting) >= self.queue_limit
        if self.draining or full:
            self.record.add(f"{self.name} turns away {request_id}{' (it drains)' if self.draining else ''}")
            writer.write(response(503, b"", "Srv-Declined: 1"))
            return
        self.record.add(f"{self.name} takes {cls} {request_id}")
        writer.write(response(202))
        self.waiting.append((request_id, cls, float(headers.get("req-cost") or 0) / 1000.0))
        self.start_waiting()

    def start_waiting(self) -> None:
        """Begin the jobs that there is a slot for."""
        while self.waiting and self.running < self.slots:
            request_id, cls, cost = self.waiting.pop(0)
            self.running += 1
            task = asyncio.ensure_future(self.run(request_id, cls, cost or random.uniform(*WORK_MS[cls])))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run(self, request_id: str, cls: str, cost: float) -> None:
        """Run a job, and tell what becomes of it."""
        self.began.append(request_id)
        self.record.add(f"{self.name} begins {cls} {request_id}")
        started = {"id": request_id, "from": self.name, "state": "started"}
        telling = asyncio.ensure_future(self.tell(started))
        await asyncio.sleep(self.run_ms(cls, cost) / 1000.0)
        await telling
        self.running -= 1
        self.start_waiting()
        self.record.add(f"{self.name} has run {request_id}")
        await self.tell({**started, "state": "done", "result": self.result_of(request_id)})

    async def tell(self, news: dict[str, Any]) -> None:
        """Make a call-back; it is tried until it is answered, at most ten times."""
        body = json.dumps(news).encode()
        for _ in range(10):
            status, _, _ = await call(self.callback_address, "POST", "/_jobs/news", body, timeout_s=3.0)
            if status in (200, 204):
                return
            await asyncio.sleep(0.2)


async def call(
    address: str, method: str, target: str, body: bytes = b"", timeout_s: float = 30.0, **headers: str
) -> tuple[int, bytes, dict[str, str]]:
    """One call on a connection of its own: its status, body and headers. Status 0: no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 18)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        message = await asyncio.wait_for(read_message(reader), timeout_s)
    except (TimeoutError, OSError):
        return 0, b"", {}
    finally:
        if writer is not None:
            writer.close()
    return (0, b"", {}) if message is None else (int(message[0][1]), message[2], message[1])


class Clients:
    """Clients that send jobs at a steady rate, each on a connection of its own."""

    def __init__(self, record: Record, address: str, seed: int = 7) -> None:
        self.record, self.address, self.random = record, address, random.Random(seed)
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.statuses: dict[int, int] = {}

    async def send(self, cls: str, hint: bool = True) -> None:
        """Send one job, with a guess at its work or without, and record its answer."""
        request_id = f"{next(self.numbers):06x}{self.random.getrandbits(40):010x}"
        cost = self.random.uniform(*WORK_MS[cls])
        wait_ms = 7500 if cls == "time-lookup" else 25000
        self.record.add(f"client sends {cls} {request_id}")
        more = {"Req_Cost": str(int(cost * 1000))} if hint else {}
        status, _, _ = await call(
            self.address, "POST", f"/{cls}/x", b"{}", wait_ms / 1000.0 + 1.0,
            Req_Id=request_id, Req_Deadline_Ms=str(wait_ms), **more,
        )  # fmt: skip
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.add(f"client gets {status} for {request_id}")

    async def run(self, per_s: float, seconds: float, post_share: float = 0.48) -> None:
        """Send jobs at a steady rate for so long."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            cls = "result-post" if self.random.random() < post_share else "time-lookup"
            task = asyncio.ensure_future(self.send(cls))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due += 1.0 / per_s


class Inherited:
    """The listening socket that the platform holds, and the folder that all processes share."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    def close(self) -> None:
        """Close the socket, and remove the folder."""
        self.sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Dispatcher:
    """The program under test, started by the deploy file's `run` line."""

    def __init__(self, record: Record, discovery: Discovery, fronts: dict[str, Any] | None = None,
                 inherits: Inherited | None = None, **config: Any) -> None:  # fmt: skip
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.address = inherits.address if inherits is not None else f"127.0.0.1:{free_port()}"
        self.said: dict[str, Any] = {
            "name": "n1", "listen": self.address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(), **config,
        }  # fmt: skip
        self.config = self.folder / "config.json"
        self.write_config()
        (self.folder / "fronts.json").write_text(json.dumps(fronts or {}))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = str(tomllib.load(file)["run"])
        env = {**os.environ, "GW_CONFIG": str(self.config), "TMPDIR": str(self.folder),
               "EIDERPIN_LOG_FORMAT": "logfmt"}  # fmt: skip
        if fronts is not None:
            env["EIDERPIN_FRONTS"] = str(self.folder / "fronts.json")
        pass_fds: tuple[int, ...] = ()
        if inherits is not None:
            env |= {"GW_FD": str(inherits.sock.fileno()), "TMPDIR": str(inherits.folder)}
            pass_fds = (inherits.sock.fileno(),)
        self.log = (self.folder / "log.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            start_new_session=True, pass_fds=pass_fds,
        )  # fmt: skip

    def write_config(self) -> None:
        """Put the configuration in its place, whole."""
        new = self.folder / "config.json.new"
        new.write_text(json.dumps(self.said))
        new.rename(self.config)

    def reload(self, **config: Any) -> None:
        """Replace the configuration and send SIGHUP."""
        self.said |= config
        self.write_config()
        self.record.add(f"platform: SIGHUP, {config}")
        self.process.send_signal(signal.SIGHUP)

    async def wait_ready(self, within_s: float = 30.0) -> None:
        """Wait until `/_health` says yes. Raises `RuntimeError`."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError("the dispatcher has ended: " + self.log_text()[-500:])
            if (await call(self.address, "GET", "/_health", timeout_s=1.0))[0] == 200:
                self.record.add("the dispatcher is ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the dispatcher does not get ready: " + self.log_text()[-500:])

    async def wait_says_yes(self, within_s: float = 6.0) -> None:
        """Wait until the management call `ready` says yes. Raises `RuntimeError`."""
        host, _, port = str(self.said["management"]).rpartition(":")
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"ready\n")
                line = await reader.readline()
                writer.close()
                if line.startswith(b"ok"):
                    self.record.add(f"process {self.process.pid} says yes: {line!r}")
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError("the new process does not say yes: " + self.log_text()[-500:])

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.record.add(f"platform: SIGTERM to {self.process.pid}")
        self.process.send_signal(signal.SIGTERM)

    def log_text(self) -> str:
        """What it has logged."""
        return (self.folder / "log.txt").read_text(errors="replace")

    def end(self) -> None:
        """End the process, and keep its log in the record."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGUSR1)
            time.sleep(0.3)
            self.process.kill()
            self.process.wait()
        self.log.close()
        for line in self.log_text().splitlines()[-400:]:
            self.record.file.write(f"  log: {line}\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port() -> int:
    """A port of the loopback address that is free now, below those that the system gives to connections."""
    choose = random.SystemRandom()
    for _ in range(100):
        port = choose.randrange(12000, 30000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("no free port is found")


# The published binary protocol of Gearman, as far as a client needs it.
SUBMIT_JOB, JOB_CREATED, WORK_STATUS, WORK_COMPLETE, WORK_FAIL, SUBMIT_JOB_BG, ERROR = (
    7,
    8,
    12,
    13,
    14,
    18,
    19,
)


class GearmanClient:
    """A Gearman client with one connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 18)

    def submit(self, function: str, unique: str, body: bytes, background: bool = False) -> None:
        """Submit a job."""
        assert self.writer is not None
        kind = SUBMIT_JOB_BG if background else SUBMIT_JOB
        data = b"\0".join([function.encode(), unique.encode(), body])
        self.writer.write(b"\0REQ" + struct.pack(">II", kind, len(data)) + data)

    async def packet(self) -> tuple[int, bytes]:
        """The next packet: its type and data."""
        assert self.reader is not None
        head = await self.reader.readexactly(12)
        kind, size = struct.unpack(">II", head[4:])
        return int(kind), await self.reader.readexactly(size)

    async def wait_end(self) -> tuple[int, bytes]:
        """The packet that ends the job."""
        while True:
            kind, data = await self.packet()
            if kind in (WORK_COMPLETE, WORK_FAIL, ERROR):
                return kind, data

    def close(self) -> None:
        """Lose the connection."""
        if self.writer is not None:
            self.writer.close()


def main(folder: str, play: Callable[[Record, bool], Awaitable[None]]) -> None:
    """Run a case; the exit is BROKEN_STATUS for `Broken`, 0 if the rule held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder))
    record.add(f"trouble: {'yes' if trouble else 'no'}")
    try:
        asyncio.run(asyncio.wait_for(play(record, trouble), 112.0))
    except Broken as error:
        status, text = BROKEN_STATUS, f"broken: {error}"
    except BaseException as error:  # whatever else goes wrong, the case could not run
        status, text = 2, f"could not run: {type(error).__name__}: {error}"
    else:
        status, text = 0, "held"
    record.add(text)
    with contextlib.suppress(OSError):
        print(text, flush=True)
    os._exit(status)
