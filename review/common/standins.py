"""Stand-ins for clients, workers and the platform, as the users' pages describe them.

Each runs in threads of the test's own process, on loopback addresses. Everything that is sent, answered or
run goes into one `Record`.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
# Exit codes of a case's Python script; `run.sh` makes 1 of BROKEN, and 2 of anything else, an exception too.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began, self.lock = time.monotonic(), threading.Lock()

    def note(self, who: str, what: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {who:<14} {what}\n")
            self.file.flush()


class CouldNotRun(Exception):
    """The case could not be played as intended, so it says nothing about the rule."""


def wait_for(condition: Callable[[], Any], awaited: str, within: float = 15.0) -> Any:
    """Return the value of `condition` once it is true. Raises `CouldNotRun`."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise CouldNotRun(f"waited in vain for {awaited}")


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def call(
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None,
    within: float = 30.0,
) -> tuple[int, bytes]:  # fmt: skip
    """Send one HTTP request on a connection of its own; return status and body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=within)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print nothing: a connection that its peer resets is no fault of the stand-in."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Print nothing."""

    def say(self, status: int, body: bytes = b"") -> None:
        """Send a response. Raises `OSError` if the connection has gone."""
        head = f"HTTP/1.1 {status} Stand-in\r\nContent-Length: {len(body)}\r\n\r\n"
        self.wfile.write(head.encode() + body)


class Agent:
    """The agent of discovery on the dispatcher's machine: serves the list of workers and watches on it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.generation, self.changed = 1, threading.Condition()
        self.silent = False  # discovery is down: calls are accepted and not answered
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        agent = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                query = dict(pair.split("=") for pair in self.path.partition("?")[2].split("&") if pair)
                after, wait_ms = int(query.get("after", -1)), min(int(query.get("wait_ms", 0)), 60_000)
                with agent.changed:
                    agent.changed.wait_for(lambda: agent.generation > after, wait_ms / 1000)
                    rows = [e for g, e in agent.changes if g > after]
                    if after < 0:
                        rows = [e for e in agent.entries.values() if e["lifecycle"] != "Gone"]
                    document = {"generation": agent.generation, "reset": after < 0, "instances": rows}
                if agent.silent:
                    time.sleep(30.0)
                    return
                with contextlib.suppress(OSError):
                    self.say(200, json.dumps(document).encode())

        self.server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def tell(self, worker: Worker, lifecycle: str = "Ready") -> None:
        """List a worker, or change what is listed of it."""
        with self.changed:
            self.generation += 1
            entry = {"instanceId": worker.name, "hostPort": worker.address, "zone": "a", "machineType": "m",
                     "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}  # fmt: skip
            self.entries[worker.name] = entry
            self.changes.append((self.generation, entry))
            self.changed.notify_all()
        self.record.note("discovery", f"tells {worker.name} {lifecycle}")


class Worker:
    """A worker on HTTP with room for `slots` jobs at a time, each of which runs for `run_s` seconds.

    It answers 202, says when a job has started, tells progress each second and then the result. Each call is
    tried until it is answered, at most ten times. Past its slots it turns jobs away (503, Srv-Declined). With
    `classes` it runs these only, and answers 404 to the path of another, as any HTTP server would.
    """

    def __init__(self, record: Record, name: str, run_s: float, slots: int = 4) -> None:
        self.record, self.name, self.run_s, self.slots = record, name, run_s, slots
        self.callback_address = ""  # where the dispatcher listens
        self.begun: list[tuple[float, str, bytes]] = []  # (when, id, body) of each run that began
        self.classes: list[str] | None = None  # that it runs; None: all
        self.run_s_of: dict[str, float] = {}  # by class, where it differs from `run_s`
        self.unknown: list[str] = []  # ids of the jobs that came for other classes
        self.lock, self.running, self.down = threading.Lock(), 0, False
        worker = self

        class Handler(_Handler):
            timeout = 5.0  # idle connections are closed then, as the settings say

            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                cls, job = self.path.split("?")[0].split("/")[1], str(self.headers["Req-Id"])
                if worker.classes is not None and cls not in worker.classes:
                    worker.unknown.append(job)
                    worker.record.note(worker.name, f"answers 404 to POST {self.path} of {job}: not run here")
                    self.say(404)
                    return
                worker.take(self, job, body, worker.run_s_of.get(cls, worker.run_s))

            def do_DELETE(self) -> None:
                worker.record.note(worker.name, f"is asked to drop {self.path}: running work goes on")
                self.say(204)

            def do_GET(self) -> None:
                self.say(404)  # the settings allow no probes

        self.server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def take(self, handler: _Handler, job: str, body: bytes, run_s: float) -> None:
        """Begin a job whose last byte has come, or turn it away."""
        with self.lock:
            full = self.running >= self.slots
            if not full:
                self.running += 1
                self.begun.append((time.monotonic(), job, body))
        if full:
            self.record.note(self.name, f"turns {job} away: full")
            handler.wfile.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.record.note(self.name, f"BEGINS {job} ({body.decode('latin-1')[:60]})")
        with contextlib.suppress(OSError):
            handler.say(202)
        threading.Thread(target=self.run, args=(job, body, run_s), daemon=True).start()

    def run(self, job: str, body: bytes, run_s: float) -> None:
        """Run a job and tell how it goes."""
        began = time.monotonic()
        self.tell(job, "started")
        while (left := began + run_s - time.monotonic()) > 0 and not self.down:
            time.sleep(min(left, 1.0))
            if left > 1.0:
                self.tell(job, "running", share=round((time.monotonic() - began) / run_s, 3))
        with self.lock:
            self.running -= 1
        if not self.down:
            self.record.note(self.name, f"has run {job}")
            self.tell(job, "done", result=f"{job}: {body.decode('latin-1')} by {self.name}")

    def tell(self, job: str, state: str, **more: Any) -> None:
        """Call the dispatcher until it answers, at most ten times."""
        body = json.dumps({"id": job, "from": self.name, "state": state, **more}).encode()
        for _ in range(10):
            if self.down and state != "lost":
                return
            with contextlib.suppress(OSError, http.client.HTTPException):
                status, _ = call(self.callback_address, "POST", "/_jobs/news", body, within=2.0)
                if status in (200, 204):
                    return
            time.sleep(0.2)
        self.record.note(self.name, f"gives up telling {state} of {job}")

    def end(self, jobs: Callable[[], list[str]] = list) -> None:
        """End the worker's process: its port refuses, and the machine's agent tells that its jobs died."""
        self.down = True
        self.record.note(self.name, "its process ends")
        self.server.shutdown()
        self.server.server_close()
        for job in jobs():
            self.tell(job, "lost")


class Gearman:
    """A Gearman client's end of a connection, with blocking calls."""

    SUBMIT_JOB, JOB_CREATED, WORK_COMPLETE, WORK_FAIL = 7, 8, 13, 14

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=30)
        self.buffer = b""

    def put(self, kind: int, *args: bytes) -> None:
        """Send a packet."""
        body = b"\0".join(args)
        self.sock.sendall(struct.pack(">4sII", b"\0REQ", kind, len(body)) + body)

    def get(self, within: float = 30.0) -> tuple[int, list[bytes]]:
        """Return the type and the arguments of the next packet. Raises `OSError` or `EOFError`."""
        self.sock.settimeout(within)
        while len(self.buffer) < 12 or len(self.buffer) < 12 + struct.unpack(">I", self.buffer[8:12])[0]:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self.buffer += data
        _, kind, size = struct.unpack(">4sII", self.buffer[:12])
        body, self.buffer = self.buffer[12 : 12 + size], self.buffer[12 + size :]
        return kind, body.split(b"\0")

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class Dispatcher:
    """One dispatcher, started by the deploy file's `run` from the repository's root."""

    def __init__(
        self, site: Site, name: str, config: Path, env: dict[str, str], pass_fds: tuple[int, ...] = ()
    ) -> None:
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = str(tomllib.load(file)["run"])
        self.site, self.name = site, name
        self.lines: list[str] = []
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, stderr=subprocess.PIPE, text=True, pass_fds=pass_fds,
            env={**os.environ, "GW_CONFIG": str(config), "EIDERPIN_LOG_FORMAT": "logfmt", **env},
        )  # fmt: skip
        site.processes.append(self.process)
        site.record.note(name, f"is started, process {self.process.pid}")
        threading.Thread(target=self._read, daemon=True).start()
        wait_for(lambda: self.lines or self.process.poll() is not None, f"{name} to listen")
        self.at = dict(part.split("=", 1) for part in self.lines[0].split() if "=" in part)
        if "edge" not in self.at:
            raise CouldNotRun(f"{name} does not listen: {self.lines}")

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())
            self.site.record.note(self.name, f"log: {line.rstrip()}")

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.site.record.note(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def ready(self) -> bool:
        """Whether the management API's `ready` says that this process can serve."""
        host, port = self.at["management"].split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=2) as sock:
                sock.sendall(b"ready\n")
                return sock.recv(200).startswith(b"ok")
        except OSError:
            return False


class Site:
    """A small deployment: a temporary folder, the record, and the processes to end."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.processes: list[subprocess.Popen[str]] = []
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)

    def write_json(self, name: str, document: Any) -> Path:
        """Write a file as JSON, replacing it in one step."""
        path = self.folder / name
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(document, indent=1))
        fresh.rename(path)
        return path

    def end(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.temporary.cleanup()


@contextlib.contextmanager
def playing(folder: Path) -> Iterator[Site]:
    """A site whose processes are ended whatever happens; one that cannot be played ends the test with 2."""
    site = Site(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    site.record.note("case", f"{folder.name}, with{'' if TROUBLE else 'out'} the disruption")
    code = COULD_NOT_RUN
    try:
        yield site
        code = HELD
    except SystemExit as end:
        code = end.code if isinstance(end.code, int) else COULD_NOT_RUN
    except (CouldNotRun, OSError, EOFError) as error:
        site.record.note("case", f"could not run: {type(error).__name__} {error}")
    finally:
        site.end()
        words = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}
        site.record.note("case", words.get(code, "could not run"))
        print(words.get(code, "could not run"))
        sys.stdout.flush()
        os._exit(code)


SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "time-lookup", "aim": 1000.0, "aim_stretch": 1.75, "hard_limit": 7500.0, "importance": 5.0,
         "late_worth": 0.0, "repeat": "free"},
        {"name": "result-post", "aim": 1000.0, "aim_stretch": 1.75, "hard_limit": 25000.0, "importance": 8.0,
         "late_worth": 0.0, "repeat": "single_shot"},
    ],
    "discovery": "pushed",
    "family_info": {"class_stretch": [1.75, 1.75], "tells_start": True, "progress": 1000.0,
                    "queue_order": "fifo"},
    "limits": {"conn_idle": 5000.0, "connect_timeout": 250.0, "max_retry_after": 2000.0, "may_cancel": True,
               "parallel_tries": True, "probes": False, "retry_after": True, "try_limit": 5,
               "most_held": 20000},
    "n_instances": 1, "slot_no": 0, "tick": 4.0, "weights": "silent", "worth_by": "work", "zone": "a",
    "rules": {"cold_share": 0.34, "drain_grace": 500.0, "fall": 2000.0, "fall_multiple": 4.0,
              "grace_to_answer": 16.0, "warm_up": 8900.0},
}  # fmt: skip
