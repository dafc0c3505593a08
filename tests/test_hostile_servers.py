"""Answers of workers and of discovery, and an upgrade's link, that are too large or never end."""

from __future__ import annotations

import contextlib
import socket

import pytest

from benchmarks.hostile.trial import memory_mb
from eiderpin.net import http, list_document
from eiderpin.policy.memory_budget import SMALL_HOLDING_BYTES
from tests.crossing import Harness, Peer, job_request, running_harness
from tests.test_upgrade import TOOK, said, side

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def begin_jobs(harness: Harness, count: int) -> list[Peer]:
    """Begin jobs of as many clients; return the workers' ends of their connections."""
    for number in range(count):
        harness.client().send(job_request("time-lookup", f"a{number}"))
        harness.run_turns(2)
    harness.advance_clock(40)
    harness.run_until(lambda: harness.counter_value("out.attempts") >= count, "the attempts")
    for worker in harness.workers:
        worker.accept_pending()
    return [peer for worker in harness.workers for peer in worker.peers]


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 202 X\r\nContent-Length: 65536\r\n\r\n",
        b"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: ",
        b"HTTP/1.1 202 X\r\nx: ",
    ],
)
def test_answers_of_workers_that_do_not_end_keep_to_the_memory(head: bytes) -> None:
    """What workers send was not counted: 64 KB of a body, 512 KB of a trailer, on each connection."""
    with running_harness(workers=8, limits={"sockets": 1024, "memory_mb": 16}) as harness:
        peers = begin_jobs(harness, 8)
        for peer in peers:
            for start in range(0, 30_000, 1000):
                with contextlib.suppress(OSError):
                    peer.sock.send((head if not start else b"") + b"x" * 1000)
                harness.run_turns(wait=0.0)
        held = sum(connection.held_bytes for connection in harness.service.workers.open)
        memory = harness.service.memory
        assert held <= memory.limit_bytes + len(peers) * SMALL_HOLDING_BYTES
        assert held <= 8 * (30_000 + SMALL_HOLDING_BYTES)
        assert memory.held_bytes <= memory.limit_bytes


def test_interim_answers_without_end_fail_the_attempt() -> None:
    """Thousands of interim answers in one read held up everything else."""
    with running_harness() as harness:
        (peer,) = begin_jobs(harness, 1)
        with contextlib.suppress(BlockingIOError):
            peer.sock.send(INTERIM * 2000)
        harness.run_until(lambda: harness.counter_value("in.worker_bad"), "the answer to be refused")


def test_a_response_keeps_only_what_is_used_of_its_body() -> None:
    """A worker's body is of no use beyond its load report, and 64 KB of each were kept."""
    reader = http.ResponseReader(kept_body_bytes=100)
    (message,) = reader.feed(b"HTTP/1.1 200 X\r\nContent-Length: 60000\r\n\r\n" + b"y" * 60_000)
    assert message.body == b"y" * 100


@pytest.mark.parametrize(
    "document",
    [b"[" + b"[]," * 300_000 + b"[]]", b"[" + b'"ab",' * 200_000 + b"1]", b"[" + b"{}," * 300_000 + b"{}]"],
)
def test_a_list_that_would_fill_the_memory_is_not_parsed(document: bytes) -> None:
    """A document of 1 MB can take 30 times as much memory once it is parsed."""
    with pytest.raises(list_document.ListError):
        list_document.check_shape(document)


def test_a_list_of_the_largest_fleet_is_parsed() -> None:
    """3,200 workers, indented, are what the pages name."""
    entry = b'{\n "instanceId": "s-%06d", "hostPort": "10.1.0.1:7070", "zone": "a", "machineType": "m2",\n'
    entry += b' "cell": 3, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}'
    rows = b",\n".join(entry % number for number in range(3200))
    list_document.check_shape(b'{"generation": 41, "reset": true, "instances": [' + rows + b"]}")


def test_a_stranger_on_the_link_of_an_upgrade_does_not_fill_the_memory() -> None:
    """Whoever may open the socket could send a line of 4 MB on each of several connections."""
    with side() as site:
        old = site.serving(limits={"sockets": 1024, "memory_mb": 32})
        strangers = []
        for _ in range(8):
            stranger = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            stranger.settimeout(2)
            stranger.connect(site.link_path)
            strangers.append(stranger)
        for stranger in strangers:
            try:
                stranger.sendall(b"x" * (4 << 20))
            except OSError:
                continue
        assert memory_mb(old.process.pid, "VmHWM") < 32
        for stranger in strangers:
            stranger.close()
        site.serving(limits={"sockets": 1024, "memory_mb": 32})
        said(old, TOOK)


def test_incomplete_lines_on_the_link_are_not_copied_with_each_part_that_comes() -> None:
    """Guards against twice the memory that peers may hold, and more at times, while a line is received."""
    with side() as site, contextlib.ExitStack() as strangers:
        old = site.serving(limits={"sockets": 1024, "memory_mb": 32})
        before = memory_mb(old.process.pid, "VmHWM")
        for _ in range(8):
            stranger = strangers.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
            stranger.settimeout(2)
            stranger.connect(site.link_path)
            with contextlib.suppress(OSError):
                stranger.sendall(b"x" * (4 << 20))
        held_mb = 32 / 8  # by all peers together; half as much again for what is being read
        assert memory_mb(old.process.pid, "VmHWM") - before < 1.5 * held_mb
