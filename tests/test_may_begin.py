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
from tests.crossing import Stage, http, job, staged, to_worker, told
from tests.standins import SETTINGS

REPEAT_WINDOW_MS = 400.0  # in which the workers of a zone drop a repeat
SETTINGS_WITH_GUARDED_CLASS: dict[str, Any] = {
    "classes": [*SETTINGS["classes"], {"name": "hold", "aim": 2000.0, "hard_limit": 5000.0,
                "repeat": "guarded", "key_scope": "zone", "memory_span": REPEAT_WINDOW_MS}],
    "limits": {**SETTINGS["limits"], "connect_timeout": 9000.0, "parallel_tries": False},
}  # fmt: skip


def submit_with_pending_connection(stage: Stage, cls: str, wait: int = 5000) -> None:
    """Submit a job whose connection to its worker does not come up until the test allows it."""
    stage.client().say(job(cls, "a", wait))
    stage.hold(lambda conn: conn.connecting)
    stage.until(lambda: stage.core.outstanding, "the job")
    stage.pass_time(40)
    assert any(connection.connecting for connection in stage.loop.connections.all())


def submit_with_pending_retry(stage: Stage, cls: str, after: float) -> None:
    """Submit a job whose first attempt may have run, and let time pass to `after` ms from its sending.

    The connection for its second attempt does not come up until the test allows it.
    """
    stage.client().say(job(cls, "a"))
    stage.until(lambda: stage.core.outstanding, "the job")
    sent = stage.clock.at
    stage.pass_time(40)
    stage.until(stage.begun, "the first attempt")
    (peer,) = [peer for worker in stage.workers for peer in worker.peers]
    stage.hold(lambda conn: conn.connecting)
    peer.close()
    stage.turn(5)
    stage.pass_time(60)
    assert any(connection.connecting for connection in stage.loop.connections.all())
    stage.pass_time(sent + after - stage.clock.at)


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
            with self.subTest(cls=cls, after=after), staged(settings=SETTINGS_WITH_GUARDED_CLASS) as stage:
                submit_with_pending_retry(stage, cls, after)
                stage.let()
                stage.turn(5)
                stage.pass_time(50)
                self.assertEqual(len(stage.begun()), begins)
                if begins == 1:
                    # The client is told at once that the job failed.
                    self.assertIn(b" 500 ", stage.clients[0].look())
                    self.assertEqual(stage.counted("out.late.overtaken"), 1)

    def test_events_before_the_first_connection_comes_up(self) -> None:
        """While the connection comes up, the worker may begin to drain or the deadline may pass; an attempt
        that is sent all the same would be refused or run in vain."""

        def drain(stage: Stage, passes: float) -> None:
            listed = stage.service.listed
            assert listed is not None
            for name in ("w0", "w1"):
                entry = stage.core.entries[name]
                drained = api.WorkerEntry(name, "", "", 0, api.WorkerState.DRAINING)
                stage.core.list_told(stage.service.workers, api.ListKind.CHANGES, [(drained, entry.address)])
            stage.pass_time(passes)

        cases: list[tuple[str, Callable[[Stage], None], int]] = [
            ("nothing", lambda stage: None, 1),
            ("its worker drains, and the grace is over", lambda stage: drain(stage, 470), 0),
            ("its worker drains, and is within its grace", lambda stage: drain(stage, 250), 1),
            # 90 ms of the grace are left, and the process may stall for 150 before the write.
            ("its worker drains, and the grace is nearly over", lambda stage: drain(stage, 410), 0),
            ("its time is over", lambda stage: stage.pass_time(3100), 0),
        ]
        for name, happens, begins in cases:
            with self.subTest(name=name), staged(settings=SETTINGS_WITH_GUARDED_CLASS) as stage:
                submit_with_pending_connection(stage, "result-post", 3000)
                happens(stage)
                stage.let()
                stage.turn(5)
                self.assertEqual(len(stage.begun()), begins)

    def test_repeat_is_given_to_a_gearman_worker_only_within_its_window(self) -> None:
        """A Gearman worker gets a job when it grabs one, which may be after the window in which repeats are
        dropped."""
        for after, given in ((0.5 * REPEAT_WINDOW_MS, True), (REPEAT_WINDOW_MS + 20, False)):
            with (
                self.subTest(after=after),
                staged(workers=1, gearman=True, settings=SETTINGS_WITH_GUARDED_CLASS) as stage,
            ):
                stage.client().say(job("hold", "a"))
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                sent = stage.clock.at
                stage.pass_time(40)
                stage.until(stage.begun, "the first attempt")
                worker = stage.client("gearman")
                worker.say(pack(Kind.CAN_DO, b"hold", magic=b"\0REQ"))
                stage.turn(5)
                zone = stage.core.settings.zone
                self.assertEqual(stage.core.entries["w0"].listed.zone or zone, zone)
                stage.core.module.workers["w0"].zone = zone
                stage.workers[0].peers[0].close()
                stage.turn(5)
                stage.pass_time(60)
                stage.pass_time(sent + after - stage.clock.at)
                worker.say(pack(Kind.GRAB_JOB_UNIQ, magic=b"\0REQ"))
                stage.turn(5)
                kinds = [packet.kind for packet in Reader(b"\0RES").feed(worker.look())]  # type: ignore[union-attr]
                self.assertEqual(Kind.JOB_ASSIGN_UNIQ in kinds, given, kinds)

    def test_connection_that_comes_up_too_late_is_reused(self) -> None:
        """A connection whose attempt may no longer begin is still good for the next job."""
        with staged(workers=1, settings=SETTINGS_WITH_GUARDED_CLASS) as stage:
            submit_with_pending_connection(stage, "time-lookup", 1500)
            stage.pass_time(1600)
            stage.let()
            stage.turn(5)
            self.assertEqual(stage.begun(), [])
            stage.client().say(job("time-lookup", "b"))
            stage.until(lambda: stage.core.outstanding, "the next job")
            stage.pass_time(40)
            stage.until(lambda: stage.begun() == ["b"], "it to begin")
            (peer,) = [peer for peer in stage.workers[0].peers if peer.requests()]
            peer.say(http(202))
            stage.turn(5)
            self.assertTrue(any(to_worker(connection) for connection in stage.loop.connections.all()))


class DeadlineHeader(unittest.TestCase):
    """The time that a worker is given is at most what its client has left when the first byte is written,
    less the time that the answer needs to travel."""

    def deadline_sent(self, stage: Stage, rid: str = "a") -> int:
        """Return the time in ms that the last attempt of this request was given."""
        stage.until(lambda: rid in stage.begun(), "the attempt")
        requests = [
            request for worker in stage.workers for peer in worker.peers for request in peer.requests()
        ]
        head = [request for request in requests if f"Req-Id: {rid}\r\n".encode() in request][-1]
        return int(head.partition(b"Req-Deadline-Ms: ")[2].partition(b"\r\n")[0])

    def test_request_that_was_read_late(self) -> None:
        """A stalled process reads a request late, so its client has less time left than the request says. The
        kernel tells how old the data is, where it can."""
        for age, expected in ((0.0, 2945), (400.0, 2545), (None, 2945)):
            with self.subTest(age=age), staged(settings=SETTINGS_WITH_GUARDED_CLASS) as stage:
                stage.data_age = age
                stage.client().say(job("result-post", "a", 3000))
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                self.assertAlmostEqual(self.deadline_sent(stage), expected, delta=31)
                self.assertLessEqual(self.deadline_sent(stage), expected + 40 - 15)

    def test_connection_that_waited_to_be_accepted(self) -> None:
        """A request may have waited in the listen backlog. Where the kernel does not tell its age, the
        longest wait that is possible is deducted."""
        for age, most in ((None, 2700), (300.0, 2700), (0.0, 3000)):
            with self.subTest(age=age), staged(settings=SETTINGS_WITH_GUARDED_CLASS) as stage:
                stage.data_age = age
                stage.turn()
                stage.service.edge.listener.rest(300.0)
                stage.client().say(job("result-post", "a", 3000))
                stage.pass_time(300)
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                self.assertLessEqual(self.deadline_sent(stage), most - 15)
                self.assertGreater(self.deadline_sent(stage), most - 100)

    def test_request_that_waited_behind_another_on_its_connection(self) -> None:
        """The time that a pipelined request spends waiting for the one before it must be deducted."""
        with staged(settings=SETTINGS_WITH_GUARDED_CLASS) as stage:
            client = stage.client()
            client.say(job("time-lookup", "a", 3000) + job("time-lookup", "b", 3000))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            name = stage.until(
                lambda: [worker.name for worker in stage.workers if "a" in worker.begun()], "it to begin"
            )[0]
            stage.pass_time(500)
            stage.client().say(told("a", name, "done", result="ok"))
            stage.until(lambda: client.look(), "its answer")
            stage.pass_time(40)
            self.assertLessEqual(self.deadline_sent(stage, "b"), 2500 - 15)

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
