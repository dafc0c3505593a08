"""The program in a process of its own, and stand-ins for its peers: discovery, workers and clients."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from eiderpin.net.gearman import RESPONSE, Kind, Packet, Reader, pack

ROOT = Path(__file__).parent.parent
TIMEOUT_SECONDS = 20.0  # no wait takes as long unless something is broken

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "time-lookup", "aim": 250.0, "hard_limit": 7500.0, "importance": 5, "repeat": "free"},
        {"name": "result-post", "aim": 1000.0, "hard_limit": 20000.0, "importance": 8,
         "repeat": "single_shot"},
    ],
    "family_info": {"class_stretch": [20, 20], "tells_start": True, "progress": 1000.0},
    "limits": {"conn_idle": 5000.0, "connect_timeout": 250.0, "max_retry_after": 2000.0, "may_cancel": True,
               "parallel_tries": True, "retry_after": True, "try_limit": 5},
    "rules": {"cold_share": 1.0, "drain_grace": 500.0, "fall": 2000.0, "fall_multiple": 100.0,
              "grace_to_answer": 16.0, "warm_up": 1.0},
    "tick": 4.0,
    "weights": "silent",
    "zone": "a",
}  # fmt: skip


def platform_run() -> str:
    """Return the platform's `run` line with this interpreter in place of that in `.venv`, which CI lacks."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        line = str(tomllib.load(file)["run"])
    return line.replace(".venv/bin/python", sys.executable)


def wait_for(condition: Callable[[], Any], awaited: str, within: float = TIMEOUT_SECONDS) -> Any:
    """Return the value of `condition` once it is true.

    Raises `AssertionError` if that takes longer than `within` seconds; `awaited` is named in its text.
    """
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.005)
    raise AssertionError(f"waited in vain for {awaited}")


class _Server(ThreadingHTTPServer):
    """An HTTP server with a thread per connection."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print nothing: broken connections are part of the tests."""


class _Handler(BaseHTTPRequestHandler):
    """What the HTTP stand-ins' handlers share."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Print nothing."""

    def read_body(self) -> bytes:
        """Read the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def say(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a response. A client that has left is ignored: the job it sent still runs."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        with contextlib.suppress(OSError):
            self.end_headers()
            self.wfile.write(body)


class Discovery:
    """A stand-in for discovery: serves the list of workers, and watches on it."""

    def __init__(self) -> None:
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.served_generation = 0  # the generation of the last answer
        self.silent = False  # whether it accepts requests without answering
        self.delay_seconds = 0.0  # by which each answer comes later
        self.request_count = 0
        self.changed = threading.Condition()
        discovery = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                discovery.request_count += 1
                if discovery.silent:
                    time.sleep(TIMEOUT_SECONDS)
                    return
                query = dict(pair.split("=") for pair in self.path.partition("?")[2].split("&") if pair)
                after = int(query.get("after", -1))
                with discovery.changed:
                    discovery.changed.wait_for(
                        lambda: discovery.generation > after, int(query.get("wait_ms", 0)) / 1000
                    )
                    complete = after < 0
                    rows = (
                        list(discovery.entries.values())
                        if complete
                        else [entry for generation, entry in discovery.changes if generation > after]
                    )
                    answer = {"generation": discovery.generation, "reset": complete, "instances": rows}
                time.sleep(discovery.delay_seconds)
                with contextlib.suppress(OSError):
                    self.say(200, json.dumps(answer).encode())
                    discovery.served_generation = answer["generation"]

        self.server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def list(self, name: str, port: int, lifecycle: str = "Ready", started: float = 0) -> None:
        """Add a worker to the list, or change its entry; `started` is Unix time in ms."""
        with self.changed:
            self.generation += 1
            entry = {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "m",
                     "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started}  # fmt: skip
            self.entries[name] = entry
            self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()


class HttpWorker:
    """A stand-in for a worker on HTTP, which records its requests.

    `on_job` is called with each job instead of `serve`, and answers it.
    """

    def __init__(self, name: str, on_job: Callable[[HttpWorker, str, Any], None] | None = None) -> None:
        self.name = name
        self.ran: Counter[str] = Counter()  # runs by request id
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []  # method, path, headers, body
        self.connections = 0
        self.callback_address = ""  # "host:port" that takes its call-backs
        self.load = b""  # the body of its answers to probes
        self.on_job = on_job or (lambda worker, request_id, handler: worker.serve(request_id, handler))
        worker = self

        class Handler(_Handler):
            def setup(self) -> None:
                worker.connections += 1
                super().setup()

            def do_POST(self) -> None:
                body = self.read_body()
                worker.requests.append(
                    ("POST", self.path, {name.lower(): value for name, value in self.headers.items()}, body)
                )
                worker.on_job(worker, self.headers["Req-Id"], self)

            def do_DELETE(self) -> None:
                worker.requests.append(("DELETE", self.path, {}, b""))
                self.say(204)

            def do_GET(self) -> None:
                worker.requests.append(("GET", self.path, {}, b""))
                self.say(200, worker.load)

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = int(self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, request_id: str, handler: Any) -> None:
        """Accept a job with a 202 and report its success at once."""
        self.ran[request_id] += 1
        handler.say(202)
        self.send_callback(request_id, "done", result=f"{self.name} ran {request_id}")

    def send_callback(self, request_id: str, state: str, **more: Any) -> int:
        """Report the state of a request; return the HTTP status of the answer."""
        body = json.dumps({"id": request_id, "from": self.name, "state": state, **more}).encode()
        return http_call(self.callback_address, "POST", "/_jobs/news", body)[0]

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()


def http_call(
    address: str, method: str, path: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes, dict[str, str]]:
    """Send one request on a connection of its own; return status, body and headers by lower-case name.

    An underscore in the name of a header argument stands for a hyphen.
    """
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
    try:
        connection.request(
            method, path, body, {name.replace("_", "-"): value for name, value in headers.items()}
        )
        response = connection.getresponse()
        return (
            response.status,
            response.read(),
            {name.lower(): value for name, value in response.getheaders()},
        )
    finally:
        connection.close()


def read_to_end(sock: socket.socket) -> bytes:
    """Return all that is received until the connection ends or is reset."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while more := sock.recv(65536):
            received += more
    return received


class GearmanPeer:
    """The end of a Gearman connection that a client or a worker has."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)
        self.reader = Reader(RESPONSE)
        self.received: list[Packet] = []  # and not yet returned

    def put(self, kind: Kind, *args: bytes) -> None:
        """Send a packet."""
        self.sock.sendall(pack(kind, *args, magic=b"\0REQ"))

    def get(self) -> Packet:
        """Return the next packet. Raises `EOFError` where the connection ends."""
        while not self.received:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self.received += [packet for packet in self.reader.feed(data) if isinstance(packet, Packet)]
        return self.received.pop(0)

    def ask(self, kind: Kind, *args: bytes) -> Packet:
        """Send a packet and return the next one received."""
        self.put(kind, *args)
        return self.get()

    def wait_for_packet(self, *kinds: Kind) -> Packet:
        """Return the next packet of one of these kinds; others are dropped."""
        while True:
            packet = self.get()
            if packet.kind in kinds:
                return packet

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class GearmanWorker:
    """Grabs jobs in a thread of its own and counts them.

    `on_job` is called with each job and returns whether to go on; without it each job succeeds at once.
    """

    def __init__(
        self,
        address: str,
        functions: list[str],
        on_job: Callable[[GearmanWorker, Packet], bool] | None = None,
    ) -> None:
        self.peer = GearmanPeer(address)
        self.ran: Counter[bytes] = Counter()  # by unique id
        self.on_job = on_job
        self.jobs: queue.Queue[Packet] = queue.Queue()
        for function in functions:
            self.peer.put(Kind.CAN_DO, function.encode())
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        """Grab jobs until `on_job` says to stop or the connection ends."""
        try:
            while True:
                self.peer.put(Kind.GRAB_JOB_UNIQ)
                packet = self.peer.wait_for_packet(Kind.NO_JOB, Kind.JOB_ASSIGN_UNIQ)
                if packet.kind is Kind.NO_JOB:
                    self.peer.put(Kind.PRE_SLEEP)
                    self.peer.wait_for_packet(Kind.NOOP)
                    continue
                self.ran[packet.args[2]] += 1
                self.jobs.put(packet)
                if self.on_job is not None:
                    if not self.on_job(self, packet):
                        return
                else:
                    self.peer.put(Kind.WORK_COMPLETE, packet.args[0], b"gearman ran " + packet.args[2])
        except (OSError, EOFError):
            pass

    def close(self) -> None:
        """Close the connection and wait for the thread to end."""
        with contextlib.suppress(OSError):
            self.peer.sock.shutdown(socket.SHUT_RDWR)
        self.thread.join(TIMEOUT_SECONDS)
        self.peer.close()


class InheritedSocket:
    """The listening socket that the platform passes on, and the directory that both processes
    of an upgrade share.

    `depth` lengthens the name of the directory by so many characters.
    """

    def __init__(self, depth: int = 0) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.folder = tempfile.TemporaryDirectory(prefix="x" * depth)

    def close(self) -> None:
        """Close the socket and remove the directory."""
        self.sock.close()
        self.folder.cleanup()


class Program:
    """The program in a process of its own, with the given fronts, on which it listens at free ports.

    `prelude`: Python code that runs in the process before the program, to break it at a point of the test's
    choice. `platform`: start it by the platform's own command and with the repository's fronts file.
    """

    def __init__(
        self, discovery: Discovery, optimized: bool = True, fronts: tuple[str, ...] | dict[str, str] = (),
        inherits: InheritedSocket | None = None, durable: dict[str, Any] | None = None, prelude: str = "",
        store: dict[str, Any] | None = None, platform: bool = False,
        **config: Any,
    ) -> None:  # fmt: skip
        self.folder = tempfile.TemporaryDirectory()
        directory = Path(self.folder.name)
        said = {
            "name": "t1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
            "limits": {"sockets": 1024}, "settings": SETTINGS, **config,
        }  # fmt: skip
        self.said, self.config = said, directory / "config.json"
        self.config.write_text(json.dumps(said))
        listen = fronts if isinstance(fronts, dict) else dict.fromkeys(fronts, "127.0.0.1:0")
        features: dict[str, Any] = {front: {"listen": address} for front, address in listen.items()}
        if durable is not None:
            features["durable"] = durable
        if store is not None:
            features["store"] = store
        (directory / "fronts.json").write_text(json.dumps(features))
        env = {**os.environ, "GW_CONFIG": str(directory / "config.json"), "EIDERPIN_LOG_FORMAT": "logfmt",
               "EIDERPIN_FRONTS": str(directory / "fronts.json")}  # fmt: skip
        if platform:
            del env["EIDERPIN_FRONTS"]
        pass_fds: tuple[int, ...] = ()
        if inherits is not None:
            env |= {"GW_FD": str(inherits.sock.fileno()), "TMPDIR": inherits.folder.name}
            pass_fds = (inherits.sock.fileno(),)
        arguments = ["-c", f"{prelude}\nimport sys, eiderpin.service\nsys.exit(eiderpin.service.main())"]
        arguments = arguments if prelude else ["-m", "eiderpin"]
        command = [sys.executable, *(["-O"] if optimized else []), *arguments]
        if platform:
            command = ["/bin/sh", "-c", platform_run()]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True, pass_fds=pass_fds
        )
        self.lines: list[str] = []  # of its log, after the first
        assert self.process.stderr is not None
        first = self.process.stderr.readline()
        if first.startswith("Traceback"):
            first += self.process.stderr.read()
        # The first line gives the address of each front as NAME=HOST:PORT.
        self.at = dict(part.split("=") for part in first.split() if part.count("=") == 1)
        assert "edge" in self.at, first
        self.http_address = self.at["edge"]
        self.reader_thread = threading.Thread(target=self._read, daemon=True)
        self.reader_thread.start()

    def _read(self) -> None:
        """Collect the lines of the log until the process ends."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())

    def ready(self) -> None:
        """Wait until the program is ready for requests."""
        wait_for(lambda: http_call(self.http_address, "GET", "/_health")[0] == 200, "the program to be ready")

    def reload_config(self, text: str | None = None, **config: Any) -> None:
        """Replace these entries of the configuration, or the file by `text`, and have it read again."""
        self.said = {**self.said, **config}
        self.config.write_text(json.dumps(self.said) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def counters(self) -> dict[str, int]:
        """Return the counters, which the program prints on SIGUSR1."""
        start = len(self.lines)
        self.process.send_signal(signal.SIGUSR1)
        wait_for(lambda: "end of counters" in self.lines[start:], "counters")
        printed = [line.rsplit(" ", 1) for line in self.lines[start:]]
        return {pair[0]: int(pair[1]) for pair in printed if len(pair) == 2 and pair[1].isdigit()}

    def stop(self) -> int:
        """Send SIGTERM, wait for the process to end and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            code = self.process.wait(TIMEOUT_SECONDS)
        finally:
            self.process.kill()
        self.reader_thread.join(TIMEOUT_SECONDS)
        assert self.process.stderr is not None
        self.process.stderr.close()
        self.folder.cleanup()
        return code


@contextlib.contextmanager
def running_program(
    workers: list[HttpWorker],
    optimized: bool = True,
    fronts: tuple[str, ...] = (),
    silent: bool = False,
    **config: Any,
) -> Iterator[tuple[Program, Discovery]]:
    """Run the program with discovery and these workers; it is ready where there are workers.

    At the end all are stopped, and it is checked that the program ended cleanly and logged no fault.
    """
    discovery = Discovery()
    discovery.silent = silent
    for worker in workers:
        discovery.list(worker.name, worker.port)
    program = Program(discovery, optimized, fronts, **config)
    try:
        for worker in workers:
            worker.callback_address = program.http_address
        if workers:
            program.ready()
        yield program, discovery
        faults = [line for line in program.lines if "Traceback" in line or "invariant" in line]
        assert not faults, program.lines
    finally:
        code = program.stop()
        discovery.stop()
        for worker in workers:
            worker.stop()
    assert code == 0, program.lines
    assert not [line for line in program.lines if "invariant" in line], program.lines
