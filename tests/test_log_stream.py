"""Log events and whoever reads them.

What happens: with standard error a pipe that nobody reads, a dispatcher stood still for good in a write of
one event once the pipe was full, in the middle of its service. At level debug 300 requests at hung servers
filled it: of the answers due before the earliest SIGKILL 19 were lost, and the process was still there.

Why: events were written to standard error as it is, by the loop, and a write to a full pipe waits.
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
from tests.standins import PATIENCE, ROOT, Discovery, http_call, wait_for
from tests.test_shutdown_deadline import HangingWorker, earliest_kill, with_deadlines

SHORT = with_deadlines(2500.0, 2500.0)
DEBUG, INFO, ERROR = logging.DEBUG, logging.INFO, logging.ERROR


class Reader:
    """The other end of a standard error that takes what the test lets it take."""

    def __init__(self) -> None:
        self.room = 0
        self.got = b""
        self.fails: OSError | None = None

    def write(self, data: bytes) -> int:
        if self.fails is not None:
            raise self.fails
        if not self.room:
            raise BlockingIOError(errno.EAGAIN, "full")
        taken = data[: self.room]
        self.room -= len(taken)
        self.got += taken
        return len(taken)


@pytest.fixture
def pair() -> Iterator[tuple[Reader, LogStream]]:
    reader = Reader()
    stream = LogStream(reader.write, max_pending_bytes=1000)
    stream.format_lost = lambda lost: f"lost {sorted(lost.items())}\n".encode()
    yield reader, stream


def line(number: int, size: int = 100) -> bytes:
    return f"{number:03} ".encode().ljust(size - 1, b".") + b"\n"


def test_lines_come_whole_and_in_their_order_however_little_is_taken_at_a_time(
    pair: tuple[Reader, LogStream],
) -> None:
    reader, stream = pair
    rng = random.Random(4)
    for number in range(200):
        stream.add(line(number), rng.choice((DEBUG, INFO, ERROR)))
        while stream._pending_bytes or stream._unwritten:
            reader.room = rng.randrange(1, 60)
            stream.write_pending()
    assert reader.got == b"".join(line(number) for number in range(200))
    assert not stream.lost


def test_what_people_need_most_is_lost_last_and_the_loss_is_told_once(pair: tuple[Reader, LogStream]) -> None:
    reader, stream = pair
    for number in range(30):
        stream.add(line(number), ERROR if number % 6 == 0 else DEBUG)
    assert stream._pending_bytes <= 1000
    reader.room = 1 << 20
    stream.write_pending()
    said = reader.got.decode().splitlines()
    assert [int(x[:3]) for x in said if x[:3] in ("000", "006", "012", "018", "024")] == [0, 6, 12, 18, 24]
    assert said[1] == f"lost [({DEBUG}, 19)]"  # behind the one that was being written
    assert [x for x in said if x.startswith("lost")] == said[1:2]


@pytest.mark.parametrize("number", [errno.EPIPE, errno.EIO, errno.EBADF])
def test_a_reader_that_has_gone_costs_nothing_and_is_told_when_it_comes_back(
    pair: tuple[Reader, LogStream], number: int
) -> None:
    reader, stream = pair
    reader.fails = OSError(number, "gone")
    for at in range(100):
        stream.add(line(at), INFO)
    assert stream._pending_bytes == 0
    reader.fails, reader.room = None, 1 << 20
    stream.add(line(100), INFO)
    assert reader.got == f"lost [({INFO}, 100)]\n".encode() + line(100)


def test_a_full_disk_loses_nothing_that_still_waits(pair: tuple[Reader, LogStream]) -> None:
    reader, stream = pair
    reader.room = 150
    stream.add(line(0), INFO)
    stream.add(line(1), INFO)  # half of it is written
    reader.fails = OSError(errno.ENOSPC, "full")
    stream.add(line(2), INFO)
    reader.fails, reader.room = None, 1 << 20
    stream.write_pending()
    assert reader.got == line(0) + line(1) + line(2)


def test_a_pipe_that_others_hold_too_keeps_its_flags() -> None:
    ours, theirs = os.pipe()
    shared = os.dup(theirs)
    write = non_blocking_writer(theirs)
    assert not fcntl.fcntl(shared, fcntl.F_GETFL) & os.O_NONBLOCK
    with pytest.raises(BlockingIOError):
        while True:
            write(b"x" * 4096)
    for descriptor in (ours, theirs, shared):
        os.close(descriptor)


def test_an_event_that_cannot_be_formatted_is_lost_and_told() -> None:
    reader = Reader()
    reader.room = 1 << 20
    handler = LogHandler(LogStream(reader.write))
    handler.setFormatter(logs._json_formatter())
    logger = logging.Logger("test")
    logger.addHandler(handler)
    logger.info("%d", "no number")
    logger.error("next")
    first, second = (json.loads(said) for said in reader.got.splitlines())
    assert (first["msg"], first["lost_info"], second["msg"]) == ("log events were lost", 1, "next")


class Dispatcher:
    """The program with its events going into a small pipe, of which only the first is read."""

    def __init__(self, discovery: Discovery, level: str) -> None:
        self.folder = tempfile.TemporaryDirectory()
        config = Path(self.folder.name) / "config.json"
        said = {"name": "t1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
                "limits": {"sockets": 1024}, "settings": SHORT}  # fmt: skip
        config.write_text(json.dumps(said))
        env = {**os.environ, "GW_CONFIG": str(config), "EIDERPIN_LOG_LEVEL": level}
        env["EIDERPIN_LOG_FORMAT"] = "json"
        env.pop("EIDERPIN_FRONTS", None)
        self.events, theirs = os.pipe()
        fcntl.fcntl(theirs, fcntl.F_SETPIPE_SZ, 4096)
        command = [sys.executable, "-O", "-m", "eiderpin"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=theirs)
        os.close(theirs)
        first = b""
        while not first.endswith(b"\n"):
            first += os.read(self.events, 1)
        self.edge = json.loads(first)["edge"]
        wait_for(lambda: http_call(self.edge, "GET", "/_health")[0] == 200, "the program to be ready")

    def send(self, count: int) -> list[socket.socket]:
        """So many clients with a request each."""
        host, _, port = self.edge.rpartition(":")
        clients = []
        for number in range(count):
            client = socket.create_connection((host, int(port)))
            client.sendall(job_request("time-lookup", f"accepted.{number}", wait=7000))
            clients.append(client)
        return clients

    def stop(self) -> None:
        self.process.kill()
        self.process.wait(PATIENCE)
        os.close(self.events)
        self.folder.cleanup()


def answered(clients: list[socket.socket], until: float) -> int:
    """How many of them have their answer by this time of the steady clock."""
    count = 0
    for client in clients:
        client.settimeout(max(until - time.monotonic(), 0.001))
        with contextlib.suppress(OSError):
            count += client.recv(64).startswith(b"HTTP/1.1 ")
        client.close()
    return count


@contextlib.contextmanager
def logging_into_a_pipe(level: str) -> Iterator[Dispatcher]:
    """A dispatcher before a server that hangs."""
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
def test_all_is_answered_though_hardly_anybody_reads_the_log(reads: str) -> None:
    """Under load at level debug, and through a SIGTERM up to the earliest SIGKILL."""
    with logging_into_a_pipe("debug") as program:
        done = threading.Event()

        def read_slowly() -> None:
            while not done.wait(0.05):
                os.read(program.events, 200)

        reader = threading.Thread(target=read_slowly, daemon=True)
        if reads == "slowly":
            reader.start()
        clients = program.send(150)
        http_call(program.edge, "GET", "/_health")
        program.process.send_signal(signal.SIGTERM)
        killed_at = time.monotonic() + earliest_kill(SHORT)
        assert answered(clients, killed_at) == len(clients)
        assert program.process.wait(max(killed_at - time.monotonic(), 0.001)) == 0
        done.set()


def test_a_full_disk_under_the_log_does_not_end_the_service() -> None:
    """Every write fails, as on a disk without room."""
    released = threading.Event()
    worker, discovery = HangingWorker("h1", released), Discovery()
    discovery.list(worker.name, worker.port)
    worker.hang = lambda rid, handler: handler.say(200)  # type: ignore[method-assign]
    with open("/dev/full", "wb") as full, tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        said = {"name": "t1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
                "limits": {"sockets": 1024}, "settings": SHORT}  # fmt: skip
        config.write_text(json.dumps(said))
        env = {**os.environ, "GW_CONFIG": str(config), "EIDERPIN_LOG_LEVEL": "debug"}
        process = subprocess.Popen([sys.executable, "-m", "eiderpin"], cwd=ROOT, env=env, stderr=full)
        try:
            port = wait_for(lambda: listening_port(process.pid), "the program to listen")
            wait_for(lambda: health(f"127.0.0.1:{port}") == 200, "the program to be ready")
            process.send_signal(signal.SIGTERM)
            assert process.wait(PATIENCE) == 0
        finally:
            process.kill()
            released.set()
            discovery.stop()
            worker.stop()


def health(address: str) -> int:
    """The status of `/_health`, 0 where nobody listens."""
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
