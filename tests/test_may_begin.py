"""What let an attempt go out is asked again just before its first byte, however late that comes."""

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

SPAN = 400.0  # ms; the window in which the zone's workers drop a repeat
GIVEN: dict[str, Any] = {
    "classes": [*SETTINGS["classes"], {"name": "hold", "aim": 2000.0, "hard_limit": 5000.0,
                "repeat": "guarded", "key_scope": "zone", "memory_span": SPAN}],
    "limits": {**SETTINGS["limits"], "connect_timeout": 9000.0, "parallel_tries": False},
}  # fmt: skip


def sent_out(harness: Harness, cls: str, wait: int = 5000) -> None:
    """A job is placed, and the connection for it does not come up yet."""
    harness.client().send(job_request(cls, "a", wait))
    harness.hold_back(lambda conn: conn.connecting)
    harness.run_until(lambda: harness.core.outstanding, "the job")
    harness.advance_clock(40)
    assert any(c.connecting for c in harness.loop.connections.all())


def repeated(harness: Harness, cls: str, after: float) -> None:
    """Its first attempt may have run; the connection of the second does not come up until so long after the
    first was sent."""
    harness.client().send(job_request(cls, "a"))
    harness.run_until(lambda: harness.core.outstanding, "the job")
    sent = harness.clock.at
    harness.advance_clock(40)
    harness.run_until(harness.begun, "the first attempt")
    (peer,) = [p for w in harness.workers for p in w.peers]
    harness.hold_back(lambda conn: conn.connecting)
    peer.close()
    harness.run_turns(5)
    harness.advance_clock(60)
    assert any(c.connecting for c in harness.loop.connections.all())
    harness.advance_clock(sent + after - harness.clock.at)


class MayBegin(unittest.TestCase):
    def test_a_repeat_whose_window_ends_as_its_connection_comes_up(self) -> None:
        for cls, after, begins in (
            ("hold", 0.5 * SPAN, 2), ("hold", SPAN - 140, 1), ("hold", 0.99 * SPAN, 1),
            ("hold", SPAN + 20, 1), ("time-lookup", SPAN + 20, 2),
        ):  # fmt: skip
            with self.subTest(cls=cls, after=after), running_harness(settings=GIVEN) as harness:
                repeated(harness, cls, after)
                harness.release_held()
                harness.run_turns(5)
                harness.advance_clock(50)
                self.assertEqual(len(harness.begun()), begins)
                if begins == 1:
                    self.assertIn(
                        b" 500 ", harness.clients[0].read_available()
                    )  # given up, and told so at once
                    self.assertEqual(harness.counter_value("out.late.overtaken"), 1)

    def test_what_happens_while_the_first_connection_comes_up(self) -> None:
        def drain(harness: Harness, passes: float) -> None:
            listed = harness.service.listed
            assert listed is not None
            for name in ("w0", "w1"):
                entry = harness.core.endpoints[name]
                drained = api.WorkerEntry(name, "", "", 0, api.WorkerState.DRAINING)
                harness.core.apply_worker_list(
                    harness.service.workers, api.ListKind.CHANGES, [(drained, entry.address)]
                )
            harness.advance_clock(passes)

        cases: list[tuple[str, Callable[[Harness], None], int]] = [
            ("nothing", lambda harness: None, 1),
            ("its worker drains, and the grace is over", lambda harness: drain(harness, 470), 0),
            ("its worker drains, and is within its grace", lambda harness: drain(harness, 250), 1),
            # 90 ms are left, and the write may be held up for 150.
            ("its worker drains, and the grace is nearly over", lambda harness: drain(harness, 410), 0),
            ("its time is over", lambda harness: harness.advance_clock(3100), 0),
        ]
        for name, happens, begins in cases:
            with self.subTest(name=name), running_harness(settings=GIVEN) as harness:
                sent_out(harness, "result-post", 3000)
                happens(harness)
                harness.release_held()
                harness.run_turns(5)
                self.assertEqual(len(harness.begun()), begins)

    def test_a_gearman_worker_that_grabs_late(self) -> None:
        """The same question, where the first byte waits for a grab: in time, or once the window is over."""
        for after, given in ((0.5 * SPAN, True), (SPAN + 20, False)):
            with (
                self.subTest(after=after),
                running_harness(workers=1, gearman=True, settings=GIVEN) as harness,
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
                got = [p.kind for p in Reader(b"\0RES").feed(worker.read_available())]  # type: ignore[union-attr]
                self.assertEqual(Kind.JOB_ASSIGN_UNIQ in got, given, got)

    def test_a_connection_that_came_up_for_nothing_is_kept_for_the_next(self) -> None:
        with running_harness(workers=1, settings=GIVEN) as harness:
            sent_out(harness, "time-lookup", 1500)
            harness.advance_clock(1600)
            harness.release_held()
            harness.run_turns(5)
            self.assertEqual(harness.begun(), [])
            harness.client().send(job_request("time-lookup", "b"))
            harness.run_until(lambda: harness.core.outstanding, "the next job")
            harness.advance_clock(40)
            harness.run_until(lambda: harness.begun() == ["b"], "it to begin")
            (peer,) = [p for p in harness.workers[0].peers if p.requests()]
            peer.send(http_response(202))
            harness.run_turns(5)
            self.assertTrue(any(leads_to_worker(c) for c in harness.loop.connections.all()))


class TimeTold(unittest.TestCase):
    """What a server is told it has is no more than its client has left when the first byte goes out, less the
    time for the answer's way back."""

    def told(self, harness: Harness, rid: str = "a") -> int:
        """The time that the last attempt at this request bore, in ms."""
        harness.run_until(lambda: rid in harness.begun(), "the attempt")
        requests = [r for w in harness.workers for p in w.peers for r in p.requests()]
        head = [r for r in requests if f"Req-Id: {rid}\r\n".encode() in r][-1]
        return int(head.partition(b"Req-Deadline-Ms: ")[2].partition(b"\r\n")[0])

    def test_a_request_that_was_read_late(self) -> None:
        """The process was held up, or did not accept: by the kernel's figure, or else by our own."""
        for age, expected in ((0.0, 2945), (400.0, 2545), (None, 2945)):
            with self.subTest(age=age), running_harness(settings=GIVEN) as harness:
                harness.data_age = age
                harness.client().send(job_request("result-post", "a", 3000))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                self.assertAlmostEqual(self.told(harness), expected, delta=31)
                self.assertLessEqual(self.told(harness), expected + 40 - 15)

    def test_a_connection_that_waited_to_be_accepted(self) -> None:
        for age, most in ((None, 2700), (300.0, 2700), (0.0, 3000)):
            with self.subTest(age=age), running_harness(settings=GIVEN) as harness:
                harness.data_age = age
                harness.run_turns()
                harness.service.http_front.listener.suspend(300.0)
                harness.client().send(job_request("result-post", "a", 3000))
                harness.advance_clock(300)
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                self.assertLessEqual(self.told(harness), most - 15)
                self.assertGreater(self.told(harness), most - 100)

    def test_one_that_waited_behind_another_on_its_connection(self) -> None:
        with running_harness(settings=GIVEN) as harness:
            client = harness.client()
            client.send(job_request("time-lookup", "a", 3000) + job_request("time-lookup", "b", 3000))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            name = harness.run_until(
                lambda: [w.name for w in harness.workers if "a" in w.begun()], "it to begin"
            )[0]
            harness.advance_clock(500)
            harness.client().send(callback_request("a", name, "done", result="ok"))
            harness.run_until(lambda: client.read_available(), "its answer")
            harness.advance_clock(40)
            self.assertLessEqual(self.told(harness, "b"), 2500 - 15)

    def test_the_kernel_tells_how_old_data_is(self) -> None:
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
            self.assertLessEqual(age, (time.monotonic() - begun) * 1000 + 11)  # a tick of the kernel's
            self.assertGreater(age, 60)
            client.sendall(b"y")
            select.select([served], [], [])
            self.assertLess(data_age(served) or 0.0, 60)
            ours, theirs = socket.socketpair()
            with ours, theirs:
                self.assertIsNone(data_age(ours))


if __name__ == "__main__":
    unittest.main()
