"""Stand-ins of our own for what the program meets (discovery, workers, clients), and the program itself."""

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
TIMEOUT_SECONDS = 20.0  # s; no test waits as long unless something is broken

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
    """The platform's `run` line, with this interpreter for the one in `.venv`, which CI does not make."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        line = str(tomllib.load(file)["run"])
    return line.replace(".venv/bin/python", sys.executable)


def wait_for(what: Callable[[], Any], text: str, within: float = TIMEOUT_SECONDS) -> Any:
    """What `what` gives once it is true; `within` so many seconds."""
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        got = what()
        if got:
            return got
        time.sleep(0.005)
    raise AssertionError(f"waited in vain for {text}")


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Broken connections are part of the tests."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        pass

    def body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def say(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Whoever asked may have gone: what was taken runs all the same."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        with contextlib.suppress(OSError):
            self.end_headers()
            self.wfile.write(body)


class Discovery:
    """Serves a list and watches on it."""

    def __init__(self) -> None:
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.served_generation = 0  # the generation that the last answer held
        self.silent = False
        self.request_count = 0
        self.changed = threading.Condition()
        me = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                me.request_count += 1
                if me.silent:
                    time.sleep(TIMEOUT_SECONDS)
                    return
                query = dict(p.split("=") for p in self.path.partition("?")[2].split("&") if p)
                after = int(query.get("after", -1))
                with me.changed:
                    me.changed.wait_for(lambda: me.generation > after, int(query.get("wait_ms", 0)) / 1000)
                    whole = after < 0
                    rows = list(me.entries.values()) if whole else [e for g, e in me.changes if g > after]
                    said = {"generation": me.generation, "reset": whole, "instances": rows}
                    self.say(200, json.dumps(said).encode())
                    me.served_generation = me.generation

        self.server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def list(self, name: str, port: int, lifecycle: str = "Ready", started: float = 0) -> None:
        with self.changed:
            self.generation += 1
            entry = {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "m",
                     "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started}  # fmt: skip
            self.entries[name] = entry
            self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class HttpWorker:
    """Counts what it is sent. `on_job` says what becomes of a job: a state for the call-back, or more."""

    def __init__(self, name: str, on_job: Callable[[HttpWorker, str, Any], None] | None = None) -> None:
        self.name = name
        self.ran: Counter[str] = Counter()
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []  # method, path, headers, body
        self.connections = 0
        self.callback_address = ""  # where to call back
        self.load = b""  # what probes are told
        self.on_job = on_job or (lambda worker, rid, handler: worker.serve(rid, handler))
        me = self

        class Handler(_Handler):
            def setup(self) -> None:
                me.connections += 1
                super().setup()

            def do_POST(self) -> None:
                body = self.body()
                me.requests.append(("POST", self.path, {k.lower(): v for k, v in self.headers.items()}, body))
                me.on_job(me, self.headers["Req-Id"], self)

            def do_DELETE(self) -> None:
                me.requests.append(("DELETE", self.path, {}, b""))
                self.say(204)

            def do_GET(self) -> None:
                me.requests.append(("GET", self.path, {}, b""))
                self.say(200, me.load)

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = int(self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, rid: str, handler: Any) -> None:
        self.ran[rid] += 1
        handler.say(202)
        self.send_callback(rid, "done", result=f"{self.name} ran {rid}")

    def send_callback(self, rid: str, state: str, **more: Any) -> int:
        body = json.dumps({"id": rid, "from": self.name, "state": state, **more}).encode()
        return http_call(self.callback_address, "POST", "/_jobs/news", body)[0]

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()


def http_call(
    address: str, method: str, path: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes, dict[str, str]]:
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
    try:
        conn.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
        response = conn.getresponse()
        return response.status, response.read(), {k.lower(): v for k, v in response.getheaders()}
    finally:
        conn.close()


def read_to_end(sock: socket.socket) -> bytes:
    """What still comes, until the connection ends."""
    got = b""
    with contextlib.suppress(ConnectionResetError):
        while more := sock.recv(65536):
            got += more
    return got


class GearmanPeer:
    """A client's or a worker's end of the Gearman protocol."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)
        self.reader = Reader(RESPONSE)
        self.waiting: list[Packet] = []

    def put(self, kind: Kind, *args: bytes) -> None:
        self.sock.sendall(pack(kind, *args, magic=b"\0REQ"))

    def get(self) -> Packet:
        while not self.waiting:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self.waiting += [p for p in self.reader.feed(data) if isinstance(p, Packet)]
        return self.waiting.pop(0)

    def ask(self, kind: Kind, *args: bytes) -> Packet:
        self.put(kind, *args)
        return self.get()

    def wait_for_packet(self, *kinds: Kind) -> Packet:
        while True:
            packet = self.get()
            if packet.kind in kinds:
                return packet

    def close(self) -> None:
        self.sock.close()


class GearmanWorker:
    """Grabs jobs in a thread of its own, counts them and acts on them."""

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
        with contextlib.suppress(OSError):
            self.peer.sock.shutdown(socket.SHUT_RDWR)
        self.thread.join(TIMEOUT_SECONDS)
        self.peer.close()


class InheritedSocket:
    """The listening socket that the platform holds, and the folder that an old and a new process share."""

    def __init__(self, depth: int = 0) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.folder = tempfile.TemporaryDirectory(prefix="x" * depth)

    def close(self) -> None:
        self.sock.close()
        self.folder.cleanup()


class Program:
    """The program itself, in a process of its own, with the fronts that are asked for."""

    def __init__(
        self, discovery: Discovery, optimized: bool = True, fronts: tuple[str, ...] | dict[str, str] = (),
        inherits: InheritedSocket | None = None, durable: dict[str, Any] | None = None, prelude: str = "",
        store: dict[str, Any] | None = None, platform: bool = False,
        **config: Any,
    ) -> None:  # fmt: skip
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name)
        said = {
            "name": "t1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
            "limits": {"sockets": 1024}, "settings": SETTINGS, **config,
        }  # fmt: skip
        self.said, self.config = said, path / "config.json"
        self.config.write_text(json.dumps(said))
        listen = fronts if isinstance(fronts, dict) else dict.fromkeys(fronts, "127.0.0.1:0")
        parts: dict[str, Any] = {f: {"listen": at} for f, at in listen.items()}
        if durable is not None:
            parts["durable"] = durable
        if store is not None:
            parts["store"] = store
        (path / "fronts.json").write_text(json.dumps(parts))
        env = {**os.environ, "GW_CONFIG": str(path / "config.json"), "EIDERPIN_LOG_FORMAT": "logfmt",
               "EIDERPIN_FRONTS": str(path / "fronts.json")}  # fmt: skip
        if platform:  # as the platform starts it: its own line, the repository's fronts file
            del env["EIDERPIN_FRONTS"]
        pass_fds: tuple[int, ...] = ()
        if inherits is not None:
            env |= {"GW_FD": str(inherits.sock.fileno()), "TMPDIR": inherits.folder.name}
            pass_fds = (inherits.sock.fileno(),)
        # A prelude breaks the program in a place of the test's choice.
        what = ["-c", f"{prelude}\nimport sys, eiderpin.service\nsys.exit(eiderpin.service.main())"]
        what = what if prelude else ["-m", "eiderpin"]
        command = [sys.executable, *(["-O"] if optimized else []), *what]
        if platform:
            command = ["/bin/sh", "-c", platform_run()]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True, pass_fds=pass_fds
        )
        self.lines: list[str] = []
        assert self.process.stderr is not None
        first = self.process.stderr.readline()
        if first.startswith("Traceback"):
            first += self.process.stderr.read()
        self.at = dict(part.split("=") for part in first.split() if part.count("=") == 1)
        assert "edge" in self.at, first
        self.http_address = self.at["edge"]
        self.reader_thread = threading.Thread(target=self._read, daemon=True)
        self.reader_thread.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())

    def ready(self) -> None:
        wait_for(lambda: http_call(self.http_address, "GET", "/_health")[0] == 200, "the program to be ready")

    def reload_config(self, text: str | None = None, **config: Any) -> None:
        """Replace the configuration and have it read again."""
        self.said = {**self.said, **config}
        self.config.write_text(json.dumps(self.said) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def counters(self) -> dict[str, int]:
        """What it prints on SIGUSR1."""
        start = len(self.lines)
        self.process.send_signal(signal.SIGUSR1)
        wait_for(lambda: "end of counters" in self.lines[start:], "counters")
        got = [line.rsplit(" ", 1) for line in self.lines[start:]]
        return {x[0]: int(x[1]) for x in got if len(x) == 2 and x[1].isdigit()}

    def stop(self) -> int:
        """SIGTERM and the exit code."""
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
    """The program, ready, with discovery and these workers; ends all of them, and checks its end."""
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
        broken = [line for line in program.lines if "Traceback" in line or "invariant" in line]
        assert not broken, program.lines
    finally:
        code = program.stop()
        discovery.stop()
        for worker in workers:
            worker.stop()
    assert code == 0, program.lines
    assert not [line for line in program.lines if "invariant" in line], program.lines
