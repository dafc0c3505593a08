"""The wall clock steps, by seconds or an hour, either way: deadlines, windows and warm-ups are spans of
real time all the same."""

from __future__ import annotations

import json
import signal
import time
import unittest
from typing import Any
from unittest import mock

from eiderpin import interface as api
from eiderpin.core import wall_clock
from eiderpin.core.wall_clock import WallClock
from eiderpin.net.discovery import Entries
from tests.crossing import Harness, ManualClock, running_harness
from tests.standins import HttpWorker, http_call, running

STEPS = (-3_600_000.0, -5000.0, -1000.0, 1000.0, 5000.0, 3_600_000.0)
COLD = {"cold_share": 0.25, "drain_grace": 500.0, "fall": 2000.0, "fall_multiple": 2.0,
        "grace_to_answer": 16.0, "warm_up": 10_000.0}  # fmt: skip


class Wall:
    """A wall clock in the test's hands, beside a steady one."""

    def __init__(self) -> None:
        self.steady = ManualClock()
        self.ahead = 0.0

    def read(self) -> float:
        return self.steady.at + self.ahead


class Translating(unittest.TestCase):
    """`WallClock.to_steady` of a server's start, by when the clock stepped and when that was looked at."""

    def play(self, step: float, started_ago: float, stepped_ago: float, looked: tuple[float, ...]) -> float:
        """How old a server is taken to be that started so long ago, in ms; looks are told as ms ago."""
        wall = Wall()
        events = sorted(
            [(started_ago, "start"), (stepped_ago, "step"), *((ago, "look") for ago in looked)], reverse=True
        )
        with mock.patch.object(wall_clock, "read_wall", wall.read):
            clock = WallClock(wall.steady)
            now = wall.steady.at + 100_000.0
            started = 0.0
            for ago, what in events:
                wall.steady.at = now - ago
                if what == "start":
                    started = wall.read()
                elif what == "step":
                    wall.ahead += step
                else:
                    clock.sample()
            wall.steady.at = now
            return now - clock.to_steady(started)

    def test_a_start_before_or_after_a_step(self) -> None:
        looks = tuple(float(ms) for ms in range(500, 60_000, 2000))
        for step in STEPS:
            for started, stepped in (
                (3000.0, 30_000.0),
                (30_000.0, 3000.0),
                (8000.0, 7000.0),
                (7000.0, 8000.0),
            ):
                with self.subTest(step=step, started=started, stepped=stepped):
                    age = self.play(step, started, stepped, looks)
                    self.assertLessEqual(age, started + 1)  # never older than it is
                    if abs(step) > 10_000:
                        self.assertAlmostEqual(age, started, delta=1)

    def test_without_a_look_between_it_is_not_taken_for_older(self) -> None:
        for step in STEPS:
            for started, stepped in ((3000.0, 4000.0), (4000.0, 3000.0)):
                with self.subTest(step=step, started=started, stepped=stepped):
                    self.assertLessEqual(self.play(step, started, stepped, (60_000.0,)), started + 1)

    def test_without_a_step_it_is_told_as_it_stands(self) -> None:
        self.assertEqual(self.play(0.0, 3000.0, 1.0, (9000.0, 2000.0)), 3000.0)
        self.assertEqual(self.play(100.0, 3000.0, 1.0, (9000.0, 2000.0)), 3000.0)

    def test_readings_with_a_pause_between_say_nothing(self) -> None:
        wall = Wall()

        def slow() -> float:
            wall.steady.at += 150
            return wall.read() + 500

        with mock.patch.object(wall_clock, "read_wall", slow):
            clock = WallClock(wall.steady)
            clock.sample()
            self.assertEqual([o.value for o in clock.offsets], [0.0])


class Starts(unittest.TestCase):
    """A server that begins after a step is cold for as long as the settings say, by real time."""

    def listed(self, harness: Harness, name: str, started: float) -> None:
        source = harness.service.discovery
        assert source is not None
        entry = api.WorkerEntry(name, "", "m", 0, api.WorkerState.IN_SERVICE, 1.0, started)
        entries: Entries = [(entry, ("127.0.0.1", 9))]
        harness.core.apply_worker_list(
            source.link, api.ListKind.CHANGES, source.with_local_start_times(entries)
        )
        harness.core.decide()

    def test_a_cold_server_after_a_step(self) -> None:
        for step in STEPS:
            with (
                self.subTest(step=step),
                running_harness(discovery="127.0.0.1:9", settings={"rules": COLD}) as harness,
            ):
                harness.advance_clock(20_000)
                harness.wall_clock_ahead_ms += step
                harness.advance_clock(20_000)
                started = harness.clock.at - 2000
                self.listed(harness, "w", started + harness.wall_clock_ahead_ms)
                worker = harness.core.module.workers["w"]
                self.assertAlmostEqual(worker.cold_until, started + 10_000, delta=1)
                # Told again after another step, it is the same process.
                harness.wall_clock_ahead_ms += step
                self.listed(harness, "w", started + harness.wall_clock_ahead_ms - step)
                self.assertAlmostEqual(worker.cold_until, started + 10_000, delta=1)


STEPPING = """
import itertools, time
real, began, turns = time.time, time.monotonic(), itertools.count()
def stepping():
    return real() + (-3600.0, 5.0, 3600.0, -5.0)[int((time.monotonic() - began) * 20) % 4]
time.time = stepping
"""


class RealProcess(unittest.TestCase):
    def test_deadlines_and_the_end_keep_their_spans(self) -> None:
        """The clock steps twenty times a second, by up to two hours."""

        def hang(worker: HttpWorker, rid: str, handler: Any) -> None:
            worker.ran[rid] += 1
            if rid.startswith("q"):
                worker.serve(rid, handler)
            else:
                handler.say(202)

        worker = HttpWorker("w1", hang)
        with running([worker], prelude=STEPPING) as (program, _):
            self.assertEqual(http_call(program.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            for cls, wait in (("time-lookup", 600), ("result-post", 900)):
                begun = time.monotonic()
                status, _, _ = http_call(
                    program.edge,
                    "POST",
                    f"/{cls}",
                    Req_Id=f"h-{cls}",
                    Req_Deadline_Ms=str(wait),
                    Req_Cost="9000",
                )
                took = (time.monotonic() - begun) * 1000
                self.assertIn(status, (500, 503))
                self.assertLess(took, wait + 150)
                if worker.ran[f"h-{cls}"] and cls == "result-post":
                    self.assertGreater(took, wait - 150)
            told = [
                int(h["req-deadline-ms"])
                for _, _, h, _ in worker.seen
                if h.get("req-id", "").startswith("h-")
            ]
            self.assertTrue(told and max(told) <= 900, json.dumps(told))
            begun = time.monotonic()
            program.process.send_signal(signal.SIGTERM)
            self.assertEqual(program.process.wait(10), 0)
            self.assertLess(time.monotonic() - begun, 3.7)


if __name__ == "__main__":
    unittest.main()
