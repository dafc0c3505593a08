"""Tests that an attempt's conditions are checked again just before its first byte is written.

The connection to the worker may come up long after the decision, and the process may stall in between.
"""

from __future__ import annotations

import contextlib
import select
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any

from eiderpin import interface as api
from eiderpin.net.arrival import data_age
from eiderpin.net.gearman import Kind, Reader, pack
from tests.crossing import (
    Harness,
    callback_request,
    http_response,
    job_request,
    leads_to_worker,
    running_harness,
)
from tests.standins import SETTINGS

REPEAT_WINDOW_MS = 400.0  # in which the workers of a zone drop a repeat
SETTINGS_WITH_GUARDED_CLASS: dict[str, Any] = {
    "classes": [*SETTINGS["classes"], {"name": "hold", "aim": 2000.0, "hard_limit": 5000.0,
                "repeat": "guarded", "key_scope": "zone", "memory_span": REPEAT_WINDOW_MS}],
    "limits": {**SETTINGS["limits"], "connect_timeout": 9000.0, "parallel_tries": False},
}  # fmt: skip


def submit_with_pending_connection(harness: Harness, cls: str, wait: int = 5000) -> None:
    """Submit a job whose connection to its worker does not come up until the test allows it."""
    harness.client().send(job_request(cls, "a", wait))
    harness.hold_back(lambda conn: conn.connecting)
    harness.run_until(lambda: harness.core.outstanding, "the job")
    harness.advance_clock(40)
    assert any(connection.connecting for connection in harness.loop.connections.all())


def submit_with_pending_retry(harness: Harness, cls: str, after: float) -> None:
    """Submit a job whose first attempt may have run, and let time pass to `after` ms from its sending.

    The connection for its second attempt does not come up until the test allows it.
    """
    harness.client().send(job_request(cls, "a"))
    harness.run_until(lambda: harness.core.outstanding, "the job")
    sent = harness.clock.at
    harness.advance_clock(40)
    harness.run_until(harness.begun, "the first attempt")
    (peer,) = [peer for worker in harness.workers for peer in worker.peers]
    harness.hold_back(lambda conn: conn.connecting)
    peer.close()
    harness.run_turns(5)
    harness.advance_clock(60)
    assert any(connection.connecting for connection in harness.loop.connections.all())
    harness.advance_clock(sent + after - harness.clock.at)


class AttemptMayBegin(unittest.TestCase):
    """Whether an attempt begins when its connection comes up late."""

    def test_repeat_begins_only_within_its_window(self) -> None:
        """Workers drop a repeat only within a window after the first attempt. A repeat whose connection comes
        up near or after its end could run the job twice."""
        for cls, after, begins in (
            ("hold", 0.5 * REPEAT_WINDOW_MS, 2), ("hold", REPEAT_WINDOW_MS - 140, 1),
            ("hold", 0.99 * REPEAT_WINDOW_MS, 1), ("hold", REPEAT_WINDOW_MS + 20, 1),
            ("time-lookup", REPEAT_WINDOW_MS + 20, 2),
        ):  # fmt: skip
            with (
                self.subTest(cls=cls, after=after),
                running_harness(settings=SETTINGS_WITH_GUARDED_CLASS) as harness,
            ):
                submit_with_pending_retry(harness, cls, after)
                harness.release_held()
                harness.run_turns(5)
                harness.advance_clock(50)
                self.assertEqual(len(harness.begun()), begins)
                if begins == 1:
                    # The client is told at once that the job failed.
                    self.assertIn(b" 500 ", harness.clients[0].read_available())
                    self.assertEqual(harness.counter_value("out.late.overtaken"), 1)

    def test_events_before_the_first_connection_comes_up(self) -> None:
        """While the connection comes up, the worker may begin to drain or the deadline may pass; an attempt
        that is sent all the same would be refused or run in vain."""

        def drain(harness: Harness, passes: float) -> None:
            listed = harness.service.static_list
            assert listed is not None
            for name in ("w0", "w1"):
                endpoint = harness.core.endpoints[name]
                drained = api.WorkerEntry(name, "", "", 0, api.WorkerState.DRAINING)
                harness.core.apply_worker_list(
                    harness.service.workers, api.ListKind.CHANGES, [(drained, endpoint.address)]
                )
            harness.advance_clock(passes)

        cases: list[tuple[str, Callable[[Harness], None], int]] = [
            ("nothing", lambda harness: None, 1),
            ("its worker drains, and the grace is over", lambda harness: drain(harness, 470), 0),
            ("its worker drains, and is within its grace", lambda harness: drain(harness, 250), 1),
            # 90 ms of the grace are left, and the process may stall for 150 before the write.
            ("its worker drains, and the grace is nearly over", lambda harness: drain(harness, 410), 0),
            ("its time is over", lambda harness: harness.advance_clock(3100), 0),
        ]
        for name, happens, begins in cases:
            with self.subTest(name=name), running_harness(settings=SETTINGS_WITH_GUARDED_CLASS) as harness:
                submit_with_pending_connection(harness, "result-post", 3000)
                happens(harness)
                harness.release_held()
                harness.run_turns(5)
                self.assertEqual(len(harness.begun()), begins)

    def test_repeat_is_given_to_a_gearman_worker_only_within_its_window(self) -> None:
        """A Gearman worker gets a job when it grabs one, which may be after the window in which repeats are
        dropped."""
        for after, given in ((0.5 * REPEAT_WINDOW_MS, True), (REPEAT_WINDOW_MS + 20, False)):
            with (
                self.subTest(after=after),
                running_harness(workers=1, gearman=True, settings=SETTINGS_WITH_GUARDED_CLASS) as harness,
            ):
                harness.client().send(job_request("hold", "a"))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                sent = harness.clock.at
                harness.advance_clock(40)
                harness.run_until(harness.begun, "the first attempt")
                worker = harness.client("gearman")
                worker.send(pack(Kind.CAN_DO, b"hold", magic=b"\0REQ"))
                harness.run_turns(5)
                zone = harness.core.settings.zone
                self.assertEqual(harness.core.endpoints["w0"].listed.zone or zone, zone)
                harness.core.module.workers["w0"].zone = zone
                harness.workers[0].peers[0].close()
                harness.run_turns(5)
                harness.advance_clock(60)
                harness.advance_clock(sent + after - harness.clock.at)
                worker.send(pack(Kind.GRAB_JOB_UNIQ, magic=b"\0REQ"))
                harness.run_turns(5)
                kinds = [packet.kind for packet in Reader(b"\0RES").feed(worker.read_available())]  # type: ignore[union-attr]
                self.assertEqual(Kind.JOB_ASSIGN_UNIQ in kinds, given, kinds)

    def test_connection_that_comes_up_too_late_is_reused(self) -> None:
        """A connection whose attempt may no longer begin is still good for the next job."""
        with running_harness(workers=1, settings=SETTINGS_WITH_GUARDED_CLASS) as harness:
            submit_with_pending_connection(harness, "time-lookup", 1500)
            harness.advance_clock(1600)
            harness.release_held()
            harness.run_turns(5)
            self.assertEqual(harness.begun(), [])
            harness.client().send(job_request("time-lookup", "b"))
            harness.run_until(lambda: harness.core.outstanding, "the next job")
            harness.advance_clock(40)
            harness.run_until(lambda: harness.begun() == ["b"], "it to begin")
            (peer,) = [peer for peer in harness.workers[0].peers if peer.requests()]
            peer.send(http_response(202))
            harness.run_turns(5)
            self.assertTrue(any(leads_to_worker(connection) for connection in harness.loop.connections.all()))


class DeadlineHeader(unittest.TestCase):
    """The time that a worker is given is at most what its client has left when the first byte is written,
    less the time that the answer needs to travel."""

    def deadline_sent(self, harness: Harness, rid: str = "a") -> int:
        """Return the time in ms that the last attempt of this request was given."""
        harness.run_until(lambda: rid in harness.begun(), "the attempt")
        requests = [
            request for worker in harness.workers for peer in worker.peers for request in peer.requests()
        ]
        head = [request for request in requests if f"Req-Id: {rid}\r\n".encode() in request][-1]
        return int(head.partition(b"Req-Deadline-Ms: ")[2].partition(b"\r\n")[0])

    def test_request_that_was_read_late(self) -> None:
        """A stalled process reads a request late, so its client has less time left than the request says. The
        kernel tells how old the data is, where it can."""
        for age, expected in ((0.0, 2945), (400.0, 2545), (None, 2945)):
            with self.subTest(age=age), running_harness(settings=SETTINGS_WITH_GUARDED_CLASS) as harness:
                harness.data_age = age
                harness.client().send(job_request("result-post", "a", 3000))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                self.assertAlmostEqual(self.deadline_sent(harness), expected, delta=31)
                self.assertLessEqual(self.deadline_sent(harness), expected + 40 - 15)

    def test_connection_that_waited_to_be_accepted(self) -> None:
        """A request may have waited in the listen backlog. Where the kernel does not tell its age, the
        longest wait that is possible is deducted."""
        for age, most in ((None, 2700), (300.0, 2700), (0.0, 3000)):
            with self.subTest(age=age), running_harness(settings=SETTINGS_WITH_GUARDED_CLASS) as harness:
                harness.data_age = age
                harness.run_turns()
                harness.service.http_front.listener.suspend(300.0)
                harness.client().send(job_request("result-post", "a", 3000))
                harness.advance_clock(300)
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                self.assertLessEqual(self.deadline_sent(harness), most - 15)
                self.assertGreater(self.deadline_sent(harness), most - 100)

    def test_request_that_waited_behind_another_on_its_connection(self) -> None:
        """The time that a pipelined request spends waiting for the one before it must be deducted."""
        with running_harness(settings=SETTINGS_WITH_GUARDED_CLASS) as harness:
            client = harness.client()
            client.send(job_request("time-lookup", "a", 3000) + job_request("time-lookup", "b", 3000))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            name = harness.run_until(
                lambda: [worker.name for worker in harness.workers if "a" in worker.begun()], "it to begin"
            )[0]
            harness.advance_clock(500)
            harness.client().send(callback_request("a", name, "done", result="ok"))
            harness.run_until(lambda: client.read_available(), "its answer")
            harness.advance_clock(40)
            self.assertLessEqual(self.deadline_sent(harness, "b"), 2500 - 15)

    def test_kernel_tells_how_old_received_data_is(self) -> None:
        """The age of data that waits to be read must be right on a real TCP connection, and unknown
        elsewhere."""
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            client = stack.enter_context(socket.create_connection(listener.getsockname()))
            served = stack.enter_context(listener.accept()[0])
            client.sendall(b"x")
            self.assertEqual(served.recv(1, socket.MSG_PEEK), b"x")
            begun = time.monotonic()
            time.sleep(0.1)
            age = data_age(served)
            assert age is not None
            self.assertLessEqual(age, (time.monotonic() - begun) * 1000 + 11)  # one timer tick of the kernel
            self.assertGreater(age, 60)
            client.sendall(b"y")
            select.select([served], [], [])
            self.assertLess(data_age(served) or 0.0, 60)
            ours, theirs = socket.socketpair()
            with ours, theirs:
                self.assertIsNone(data_age(ours))


if __name__ == "__main__":
    unittest.main()
