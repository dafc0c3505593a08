"""Logging must not block or end the service when standard error accepts no data.

The fault: the event loop wrote events to standard error with blocking writes. With a pipe that nobody read,
the dispatcher hung for good in a write once the pipe was full. At level debug, 300 requests to hanging
servers were enough: 19 of the answers due before the earliest SIGKILL were lost, and the process didn't exit.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import json
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from eiderpin import logs
from eiderpin.log_stream import LogHandler, LogStream, non_blocking_writer
from tests.crossing import job_request
from tests.standins import ROOT, TIMEOUT_SECONDS, Discovery, http_call, wait_for
from tests.test_shutdown_deadline import HangingWorker, earliest_kill, with_deadlines

SHORT_DEADLINES = with_deadlines(2500.0, 2500.0)
DEBUG, INFO, ERROR = logging.DEBUG, logging.INFO, logging.ERROR


class ScriptedReader:
    """A standard error that accepts as many bytes as the test allows, or fails with an error."""

    def __init__(self) -> None:
        self.writable_bytes = 0
        self.received = b""
        self.error: OSError | None = None

    def write(self, data: bytes) -> int:
        if self.error is not None:
            raise self.error
        if not self.writable_bytes:
            raise BlockingIOError(errno.EAGAIN, "full")
        accepted = data[: self.writable_bytes]
        self.writable_bytes -= len(accepted)
        self.received += accepted
        return len(accepted)


@pytest.fixture
def reader_and_stream() -> Iterator[tuple[ScriptedReader, LogStream]]:
    reader = ScriptedReader()
    stream = LogStream(reader.write, max_pending_bytes=1000)
    stream.format_lost = lambda lost: f"lost {sorted(lost.items())}\n".encode()
    yield reader, stream


def numbered_line(number: int, size: int = 100) -> bytes:
    return f"{number:03} ".encode().ljust(size - 1, b".") + b"\n"


def test_lines_stay_whole_and_in_order_when_written_in_small_pieces(
    reader_and_stream: tuple[ScriptedReader, LogStream],
) -> None:
    """A write may end within a line, and lines of different levels are buffered apart."""
    reader, stream = reader_and_stream
    rng = random.Random(4)
    for number in range(200):
        stream.add(numbered_line(number), rng.choice((DEBUG, INFO, ERROR)))
        while stream._pending_bytes or stream._unwritten:
            reader.writable_bytes = rng.randrange(1, 60)
            stream.write_pending()
    assert reader.received == b"".join(numbered_line(number) for number in range(200))
    assert not stream.lost


def test_lines_of_the_lowest_level_are_dropped_first_and_reported_once(
    reader_and_stream: tuple[ScriptedReader, LogStream],
) -> None:
    """A burst of debug lines must not displace errors, and the loss must be visible in the log."""
    reader, stream = reader_and_stream
    for number in range(30):
        stream.add(numbered_line(number), ERROR if number % 6 == 0 else DEBUG)
    assert stream._pending_bytes <= 1000
    reader.writable_bytes = 1 << 20
    stream.write_pending()
    lines = reader.received.decode().splitlines()
    assert [int(x[:3]) for x in lines if x[:3] in ("000", "006", "012", "018", "024")] == [0, 6, 12, 18, 24]
    assert lines[1] == f"lost [({DEBUG}, 19)]"  # after the line that was being written
    assert [x for x in lines if x.startswith("lost")] == lines[1:2]


@pytest.mark.parametrize("number", [errno.EPIPE, errno.EIO, errno.EBADF])
def test_lines_are_dropped_without_a_reader_and_reported_once_it_returns(
    reader_and_stream: tuple[ScriptedReader, LogStream], number: int
) -> None:
    """Without a reader, lines must not pile up in memory; a reader that returns learns how many were lost."""
    reader, stream = reader_and_stream
    reader.error = OSError(number, "gone")
    for line_number in range(100):
        stream.add(numbered_line(line_number), INFO)
    assert stream._pending_bytes == 0
    reader.error, reader.writable_bytes = None, 1 << 20
    stream.add(numbered_line(100), INFO)
    assert reader.received == f"lost [({INFO}, 100)]\n".encode() + numbered_line(100)


def test_a_full_disk_drops_no_buffered_lines(reader_and_stream: tuple[ScriptedReader, LogStream]) -> None:
    """After ENOSPC in the middle of a line, its rest must follow once there is space, not be dropped."""
    reader, stream = reader_and_stream
    reader.writable_bytes = 150
    stream.add(numbered_line(0), INFO)
    stream.add(numbered_line(1), INFO)  # half of it is written
    reader.error = OSError(errno.ENOSPC, "full")
    stream.add(numbered_line(2), INFO)
    reader.error, reader.writable_bytes = None, 1 << 20
    stream.write_pending()
    assert reader.received == numbered_line(0) + numbered_line(1) + numbered_line(2)


def test_a_shared_pipe_keeps_its_flags() -> None:
    """O_NONBLOCK set on the open file would affect other processes that write to the same pipe."""
    read_end, write_end = os.pipe()
    shared = os.dup(write_end)
    write = non_blocking_writer(write_end)
    assert not fcntl.fcntl(shared, fcntl.F_GETFL) & os.O_NONBLOCK
    with pytest.raises(BlockingIOError):
        while True:
            write(b"x" * 4096)
    for descriptor in (read_end, write_end, shared):
        os.close(descriptor)


def test_an_event_that_cannot_be_formatted_is_reported_as_lost() -> None:
    """An error in formatting must neither reach the caller nor hide that an event is missing."""
    reader = ScriptedReader()
    reader.writable_bytes = 1 << 20
    handler = LogHandler(LogStream(reader.write))
    handler.setFormatter(logs._json_formatter())
    logger = logging.Logger("test")
    logger.addHandler(handler)
    logger.info("%d", "no number")
    logger.error("next")
    first, second = (json.loads(line) for line in reader.received.splitlines())
    assert (first["msg"], first["lost_info"], second["msg"]) == ("log events were lost", 1, "next")


class Dispatcher:
    """The program, logging into a small pipe of which only the first event is read."""

    def __init__(self, discovery: Discovery, level: str) -> None:
        self.folder = tempfile.TemporaryDirectory()
        config = Path(self.folder.name) / "config.json"
        document = {"name": "t1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
                    "limits": {"sockets": 1024}, "settings": SHORT_DEADLINES}  # fmt: skip
        config.write_text(json.dumps(document))
        environment = {**os.environ, "GW_CONFIG": str(config), "EIDERPIN_LOG_LEVEL": level}
        environment["EIDERPIN_LOG_FORMAT"] = "json"
        environment.pop("EIDERPIN_FRONTS", None)
        self.events, write_end = os.pipe()
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
        command = [sys.executable, "-O", "-m", "eiderpin"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=write_end)
        os.close(write_end)
        first = b""
        while not first.endswith(b"\n"):
            first += os.read(self.events, 1)
        self.edge = json.loads(first)["edge"]
        wait_for(lambda: http_call(self.edge, "GET", "/_health")[0] == 200, "the program to be ready")

    def send_requests(self, count: int) -> list[socket.socket]:
        """Open `count` client connections, each with one request."""
        host, _, port = self.edge.rpartition(":")
        clients = []
        for number in range(count):
            client = socket.create_connection((host, int(port)))
            client.sendall(job_request("time-lookup", f"accepted.{number}", wait=7000))
            clients.append(client)
        return clients

    def stop(self) -> None:
        self.process.kill()
        self.process.wait(TIMEOUT_SECONDS)
        os.close(self.events)
        self.folder.cleanup()


def count_answers(clients: list[socket.socket], until: float) -> int:
    """How many clients are answered before `until`, a time of the monotonic clock."""
    count = 0
    for client in clients:
        client.settimeout(max(until - time.monotonic(), 0.001))
        with contextlib.suppress(OSError):
            count += client.recv(64).startswith(b"HTTP/1.1 ")
        client.close()
    return count


@contextlib.contextmanager
def running_with_log_pipe(level: str) -> Iterator[Dispatcher]:
    """A dispatcher that logs into a pipe, and whose only worker hangs."""
    released = threading.Event()
    worker, discovery = HangingWorker("h1", released), Discovery()
    discovery.list(worker.name, worker.port)
    program = Dispatcher(discovery, level)
    try:
        yield program
    finally:
        program.stop()
        released.set()
        discovery.stop()
        worker.stop()


@pytest.mark.parametrize("reads", ["nobody", "slowly"])
def test_all_requests_are_answered_while_the_log_pipe_is_full(reads: str) -> None:
    """A blocking write to the full pipe would stop the event loop: answers would be lost under load at level
    debug, or between SIGTERM and the earliest SIGKILL."""
    with running_with_log_pipe("debug") as program:
        done = threading.Event()

        def read_slowly() -> None:
            while not done.wait(0.05):
                os.read(program.events, 200)

        reader = threading.Thread(target=read_slowly, daemon=True)
        if reads == "slowly":
            reader.start()
        clients = program.send_requests(150)
        http_call(program.edge, "GET", "/_health")
        program.process.send_signal(signal.SIGTERM)
        killed_at = time.monotonic() + earliest_kill(SHORT_DEADLINES)
        assert count_answers(clients, killed_at) == len(clients)
        assert program.process.wait(max(killed_at - time.monotonic(), 0.001)) == 0
        done.set()


def test_a_full_disk_under_the_log_does_not_stop_the_service() -> None:
    """Every write to the log fails with ENOSPC; that must not stop the start, the service or the exit."""
    released = threading.Event()
    worker, discovery = HangingWorker("h1", released), Discovery()
    discovery.list(worker.name, worker.port)
    worker.hang = lambda rid, handler: handler.say(200)  # type: ignore[method-assign]
    with open("/dev/full", "wb") as full, tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        document = {"name": "t1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
                    "limits": {"sockets": 1024}, "settings": SHORT_DEADLINES}  # fmt: skip
        config.write_text(json.dumps(document))
        environment = {**os.environ, "GW_CONFIG": str(config), "EIDERPIN_LOG_LEVEL": "debug"}
        process = subprocess.Popen([sys.executable, "-m", "eiderpin"], cwd=ROOT, env=environment, stderr=full)
        try:
            port = wait_for(lambda: listening_port(process.pid), "the program to listen")
            wait_for(lambda: health(f"127.0.0.1:{port}") == 200, "the program to be ready")
            process.send_signal(signal.SIGTERM)
            assert process.wait(TIMEOUT_SECONDS) == 0
        finally:
            process.kill()
            released.set()
            discovery.stop()
            worker.stop()


def health(address: str) -> int:
    """The status of `/_health`; 0 if there is no connection."""
    with contextlib.suppress(OSError):
        return http_call(address, "GET", "/_health")[0]
    return 0


def listening_port(pid: int) -> int:
    """The port of the process's listening TCP socket; 0 while there is none."""
    sockets = set()
    for descriptor in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            sockets.add(os.readlink(f"/proc/{pid}/fd/{descriptor}"))
    for row in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        columns = row.split()
        if columns[3] == "0A" and f"socket:[{columns[9]}]" in sockets:
            return int(columns[1].partition(":")[2], 16)
    return 0
