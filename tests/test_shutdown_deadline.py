"""Tests that a dispatcher answers every accepted request before the earliest SIGKILL.

The failure: during a restart with injected faults, clients' connections ended without an answer, 2.97 s after
they had sent their request. 0.78 s after SIGTERM a request still arrived on an open connection and was sent
to a worker that accepted it and then hung. SIGKILL came 3.75 s after SIGTERM, while the dispatcher was still
waiting for the client's deadline of 7.5 or 25 s, since nothing bounded a request by the end of the process.

All six cases failed: a worker that hangs before its 202, after it, or after it reported a start, each for
both classes. Call-backs and results that arrived after SIGTERM were processed, so the listener and the way
back to the client were not the cause.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.standins import PATIENCE, SETTINGS, Discovery, HttpWorker, Program

# SIGKILL follows SIGTERM after the deployment's longest deadline and this delay ...
KILL_DELAY_SECONDS = 0.7
MAX_COUNTED_DEADLINE_SECONDS = 3.0  # ... where no more than this counts of the deadline
HANG_POINTS = ("silent", "accepted", "started")


def earliest_kill(settings: dict[str, Any]) -> float:
    """Return the seconds from SIGTERM to the earliest SIGKILL in a deployment with these settings."""
    longest = max(cls["hard_limit"] for cls in settings["classes"]) / 1000.0
    return float(min(longest, MAX_COUNTED_DEADLINE_SECONDS)) + KILL_DELAY_SECONDS


def with_deadlines(lookup: float, post: float) -> dict[str, Any]:
    """Return the stand-ins' settings with these deadlines of the two classes, in ms."""
    classes = [{**cls, "hard_limit": ms} for cls, ms in zip(SETTINGS["classes"], (lookup, post), strict=True)]
    return {**SETTINGS, "classes": classes}


class HangingWorker(HttpWorker):
    """A worker that hangs at the point which the request's id names."""

    def __init__(self, name: str, released: threading.Event) -> None:
        self.released = released
        super().__init__(name, type(self).hang)

    def hang(self, rid: str, handler: Any) -> None:
        """Handle a request up to its hang point."""
        self.ran[rid] += 1
        hang_point = rid.partition(".")[0]
        if hang_point == "silent":
            self.released.wait(PATIENCE)
            handler.close_connection = True
            return
        handler.say(202)
        if hang_point == "started":
            with contextlib.suppress(OSError):
                self.tell(rid, "started")


@dataclass
class Client:
    """A client with a connection of its own. Times are in seconds after SIGTERM."""

    request_id: str
    cls: str
    connects_at: float
    sends_at: float
    deadline_ms: int
    status: int = 0  # of the complete answer; 0: there was none
    connected: bool = False
    thread: threading.Thread = field(init=False)

    def start(self, address: str, sigterm_at: float) -> None:
        """Run the client in a thread; `sigterm_at` is on the monotonic clock."""
        self.thread = threading.Thread(target=self._run, args=(address, sigterm_at), daemon=True)
        self.thread.start()

    def _run(self, address: str, sigterm_at: float) -> None:
        host, _, port = address.rpartition(":")
        _sleep_until(sigterm_at + self.connects_at)
        try:
            sock = socket.create_connection((host, int(port)), timeout=PATIENCE)
        except OSError:
            return  # refused: a client would go to another dispatcher
        self.connected = True
        with sock, contextlib.suppress(OSError):
            _sleep_until(sigterm_at + self.sends_at)
            head = f"POST /{self.cls} HTTP/1.1\r\nReq-Id: {self.request_id}\r\n"
            head += f"Req-Deadline-Ms: {self.deadline_ms}\r\nReq-Cost: 20000\r\nContent-Length: 0\r\n\r\n"
            sock.sendall(head.encode())
            received = b""
            while data := sock.recv(65536):
                received += data
                if self._is_complete(received):
                    self.status = int(received.split()[1])
                    return

    @staticmethod
    def _is_complete(received: bytes) -> bool:
        head, end, body = received.partition(b"\r\n\r\n")
        lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return bool(end) and len(body) >= int(lengths[0].partition(b":")[2])


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


@pytest.mark.parametrize(("lookup", "post"), [(7500.0, 25_000.0), (900.0, 600.0)])
def test_each_accepted_request_is_answered_before_the_earliest_sigkill(lookup: float, post: float) -> None:
    """Requests that hang at a worker must be answered by the dispatcher before it can be killed, whether they
    arrive before SIGTERM or after it. A single-shot job that may have run must not be answered as
    rejected."""
    settings = with_deadlines(lookup, post)
    kill_after = earliest_kill(settings)
    released = threading.Event()
    workers = [HangingWorker(f"w{i}", released) for i in range(6)]
    discovery = Discovery()
    for worker in workers:
        discovery.list(worker.name, worker.port)
    program = Program(discovery, settings=settings)
    for worker in workers:
        worker.back = program.edge
    # (connects, sends): before SIGTERM, on a connection that is open at SIGTERM, and on later connections.
    moments = [
        (-0.25, -0.2),
        (-0.05, 0.02),
        (0.35, min(0.78, kill_after - 0.6)),
        (kill_after - 0.5, kill_after - 0.5),
    ]
    clients = [
        Client(f"{hang_point}.{cls}.{number}", cls, connects, sends, int(deadline_ms))
        for number, (connects, sends) in enumerate(moments)
        for hang_point in HANG_POINTS
        for cls, deadline_ms in (("time-lookup", lookup), ("result-post", post))
    ]
    try:
        program.ready()
        sigterm_at = time.monotonic() + 0.4
        for client in clients:
            client.start(program.edge, sigterm_at)
        _sleep_until(sigterm_at)
        program.process.send_signal(signal.SIGTERM)
        _sleep_until(sigterm_at + kill_after)
        program.process.kill()
        for client in clients:
            client.thread.join(PATIENCE)
    finally:
        released.set()
        program.stop()
        discovery.stop()
        for worker in workers:
            worker.stop()
    ran = {rid for worker in workers for rid in worker.ran}
    unanswered = sorted(client.request_id for client in clients if client.connected and not client.status)
    assert unanswered == [], json.dumps(program.lines)
    rejected = [client for client in clients if client.status in (429, 503)]
    assert [c.request_id for c in rejected if c.cls == "result-post" and c.request_id in ran] == []
    assert any(c.cls == "result-post" and c.request_id in ran and c.sends_at > 0 for c in clients)
