"""A dispatcher whose loop a test drives turn by turn, before peers that do one thing at a time.

Its clock stands still unless the test moves it, and the test says which sockets the loop may see and in what
order. So of two things that cross each other, each can be made to come first.
"""

from __future__ import annotations

import contextlib
import json
import selectors
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from eiderpin import service as services
from eiderpin.configuration import read_config
from eiderpin.core import wall_clock
from eiderpin.core.deadlines import Clock
from eiderpin.net import arrival
from eiderpin.net.loop import Connection
from tests.standins import SETTINGS

MOST_TURNS = 2000  # that a test waits for what a peer has done; each waits for 2 ms at most


class ManualClock(Clock):
    def __init__(self) -> None:
        self.at = 1_000_000.0

    def now(self) -> float:
        return self.at

    def since_boot(self) -> float:
        return self.at


class Gate(selectors.DefaultSelector):
    """Holds back what the test does not want seen yet, and gives the rest in the order that it wants."""

    def __init__(self) -> None:
        super().__init__()
        self.holds: Callable[[Any], bool] = lambda who: False
        self.order: Callable[[Any], int] = lambda who: 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        def who(event: tuple[selectors.SelectorKey, int]) -> Any:
            return getattr(event[0].data, "__self__", None)

        seen = [e for e in super().select(timeout) if not self.holds(who(e))]
        return sorted(seen, key=lambda e: self.order(who(e)))


class Peer:
    """One end of a connection, in the test's hands."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received = b""
        self.ended = ""  # how it ended: "closed" or "reset" by the other end, or "by us"
        sock.setblocking(False)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read_available(self) -> bytes:
        """All that has come by now."""
        with contextlib.suppress(BlockingIOError):
            while not self.ended:
                try:
                    data = self.sock.recv(65536)
                except ConnectionResetError:
                    self.ended = "reset"
                    break
                self.received += data
                if not data:
                    self.ended = "closed"
        return self.received

    def close(self) -> None:
        self.read_available()  # a close over unread bytes would be a reset
        self.ended = self.ended or "by us"
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def requests(self) -> list[bytes]:
        """The requests that have come whole: a worker begins a job at its last byte."""
        rest, whole = self.read_available(), []
        while b"\r\n\r\n" in rest:
            head, _, body = rest.partition(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            if len(body) < length:
                break
            whole.append(head + b"\r\n\r\n" + body[:length])
            rest = body[length:]
        return whole


class Worker:
    """A scripted worker: it accepts, and says what the test has it say."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.peers: list[Peer] = []

    def look(self) -> list[Peer]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.peers.append(Peer(self.sock.accept()[0]))
        return self.peers

    def begun(self) -> list[str]:
        """The ids of the jobs that have begun here, in their order."""
        said = [r for p in self.look() for r in p.requests() if r.startswith(b"POST ")]
        return [r.partition(b"Req-Id: ")[2].partition(b"\r\n")[0].decode() for r in said]

    def close(self) -> None:
        for peer in self.peers:
            peer.close()
        self.sock.close()


def http_response(status: int, *headers: str, body: bytes = b"") -> bytes:
    """A worker's or discovery's answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def job_request(cls: str, rid: str, wait: int = 5000, body: bytes = b"") -> bytes:
    head = f"POST /{cls} HTTP/1.1\r\nReq-Id: {rid}\r\nReq-Deadline-Ms: {wait}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def callback_request(rid: str, worker: str, state: str, **more: Any) -> bytes:
    """A worker's call-back."""
    body = json.dumps({"id": rid, "from": worker, "state": state, **more}).encode()
    return b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Harness:
    """The dispatcher and its peers."""

    def __init__(
        self, workers: int = 2, gearman: bool = False, settings: dict[str, Any] | None = None, **config: Any
    ) -> None:
        self.clock = ManualClock()
        self.gate = Gate()
        self.workers = [Worker(f"w{i}") for i in range(workers)]
        self.clients: list[Peer] = []
        self.wall_clock_ahead_ms = 0.0  # ms by which the wall clock shows more than ours
        self._wall = mock.patch.object(
            wall_clock, "read_wall", lambda: self.clock.at + self.wall_clock_ahead_ms
        )
        self._wall.start()
        said: dict[str, Any] = {"name": "t1", "listen": "127.0.0.1:0", "seed": "1f",
                                "settings": {**SETTINGS, **(settings or {})}}  # fmt: skip
        if "discovery" not in config:
            said["workers"] = [{"name": w.name, "address": w.address, "slots": 4} for w in self.workers]
        read = read_config(json.dumps({**said, **config}).encode())
        read.gearman = ("127.0.0.1", 0) if gearman else None
        with (
            mock.patch.object(services, "Clock", lambda: self.clock),
            mock.patch("selectors.DefaultSelector", lambda: self.gate),
        ):
            self.service = services.Service(read)
        self.core, self.loop = self.service.core, self.service.loop
        # The kernel counts real time, and time stands still here: a test says how old data is, 0 unless set.
        self.data_age: float | None = 0.0
        self._age = mock.patch.object(arrival, "data_age", lambda sock: self.data_age)
        self._age.start()

    def close(self) -> None:
        self._age.stop()
        self._wall.stop()
        for client in self.clients:
            client.close()
        for worker in self.workers:
            worker.close()
        for connection in self.loop.connections.all():
            connection.close()
        for front in (self.service.http_front, self.service.gearman):
            if front is not None:
                front.listener.sock.close()
        self.gate.close()

    def client(self, front: str = "edge") -> Peer:
        host, _, port = self.service.addresses()[front].rpartition(":")
        peer = Peer(socket.create_connection((host, int(port))))
        self.clients.append(peer)
        return peer

    def run_turns(self, times: int = 1, wait: float = 2.0) -> None:
        for _ in range(times):
            self.loop.run_once(self.service.after_turn, wait)

    def run_until(self, what: Callable[[], Any], text: str) -> Any:
        """Turn the loop until `what` is true; time stands still."""
        for _ in range(MOST_TURNS):
            if got := what():
                return got
            self.run_turns()
        raise AssertionError(f"waited in vain for {text}")

    def advance_clock(self, ms: float) -> None:
        """Let the clock run, from deadline to deadline, with a turn at each."""
        until = self.clock.at + ms
        while self.loop.deadlines.next_at() <= until:
            self.clock.at = max(self.clock.at, self.loop.deadlines.next_at())
            self.run_turns(wait=0.0)
        self.clock.at = until
        self.run_turns(wait=0.0)

    def hold_back(self, what: Callable[[Connection], bool]) -> None:
        """The loop sees nothing of these connections until `release_held`."""
        self.gate.holds = lambda who: isinstance(who, Connection) and what(who)

    def release_held(self) -> None:
        self.gate.holds = lambda who: False

    def first(self, what: Callable[[Connection], bool]) -> None:
        """Of what a turn finds ready, these connections come first."""
        self.gate.order = lambda who: 0 if isinstance(who, Connection) and what(who) else 1

    def begun(self) -> list[str]:
        return [rid for worker in self.workers for rid in worker.begun()]

    def counter_value(self, name: str) -> int:
        return self.service.counters.counts[name]


@contextlib.contextmanager
def running_harness(workers: int = 2, **more: Any) -> Iterator[Harness]:
    harness = Harness(workers, **more)
    try:
        yield harness
    finally:
        harness.close()


def leads_to_worker(conn: Connection) -> bool:
    """Whether it leads to a worker; for `Harness.hold_back` and `first`."""
    return getattr(conn.on_data, "__self__", None).__class__.__name__ == "WorkerConnection"
