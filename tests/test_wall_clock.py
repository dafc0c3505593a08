"""Tests that steps of the wall clock, by seconds or an hour in either direction, do no harm.

Deadlines, repeat windows and warm-ups must last their real time nevertheless.
"""

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
from eiderpin.net.list_document import Entries
from tests.crossing import Harness, ManualClock, running_harness
from tests.standins import HttpWorker, http_call, running_program

STEPS_MS = (-3_600_000.0, -5000.0, -1000.0, 1000.0, 5000.0, 3_600_000.0)
COLD_START_RULES = {"cold_share": 0.25, "drain_grace": 500.0, "fall": 2000.0, "fall_multiple": 2.0,
        "grace_to_answer": 16.0, "warm_up": 10_000.0}  # fmt: skip


class Wall:
    """A steady clock and a wall clock, both set by the test."""

    def __init__(self) -> None:
        self.steady_clock = ManualClock()
        self.ahead_ms = 0.0

    def read(self) -> float:
        """Return the wall clock's time in ms."""
        return self.steady_clock.at + self.ahead_ms


class WallClockTranslation(unittest.TestCase):
    """`WallClock.to_steady` for the start of a worker, by when the clock stepped and when it was sampled."""

    def translated_age(
        self, step: float, started_ago: float, stepped_ago: float, sampled_ago: tuple[float, ...]
    ) -> float:
        """Return the age in ms that is computed for a worker; all arguments are in ms."""
        wall = Wall()
        events = sorted(
            [(started_ago, "start"), (stepped_ago, "step"), *((ago, "sample") for ago in sampled_ago)],
            reverse=True,
        )
        with mock.patch.object(wall_clock, "read_wall", wall.read):
            clock = WallClock(wall.steady_clock)
            now = wall.steady_clock.at + 100_000.0
            started = 0.0
            for ago, event in events:
                wall.steady_clock.at = now - ago
                if event == "start":
                    started = wall.read()
                elif event == "step":
                    wall.ahead_ms += step
                else:
                    clock.sample()
            wall.steady_clock.at = now
            return now - clock.to_steady(started)

    def test_start_before_or_after_a_step(self) -> None:
        """A start on one side of a step, translated by the offset of the other side, would make a cold worker
        look warm."""
        sample_times = tuple(float(ms) for ms in range(500, 60_000, 2000))
        for step in STEPS_MS:
            for started, stepped in (
                (3000.0, 30_000.0),
                (30_000.0, 3000.0),
                (8000.0, 7000.0),
                (7000.0, 8000.0),
            ):
                with self.subTest(step=step, started=started, stepped=stepped):
                    age = self.translated_age(step, started, stepped, sample_times)
                    self.assertLessEqual(age, started + 1)  # never older than in reality
                    if abs(step) > 10_000:
                        self.assertAlmostEqual(age, started, delta=1)

    def test_without_a_sample_in_between_the_worker_is_not_taken_for_older(self) -> None:
        """If the clock was not sampled between the start and the step, their order is unknown. The worker
        must then count as the younger, and so the colder, of both."""
        for step in STEPS_MS:
            for started, stepped in ((3000.0, 4000.0), (4000.0, 3000.0)):
                with self.subTest(step=step, started=started, stepped=stepped):
                    self.assertLessEqual(
                        self.translated_age(step, started, stepped, (60_000.0,)), started + 1
                    )

    def test_without_a_step_the_time_is_unchanged(self) -> None:
        """An offset that changes by less than a step must not shift the time."""
        self.assertEqual(self.translated_age(0.0, 3000.0, 1.0, (9000.0, 2000.0)), 3000.0)
        self.assertEqual(self.translated_age(100.0, 3000.0, 1.0, (9000.0, 2000.0)), 3000.0)

    def test_readings_with_a_stall_in_between_are_ignored(self) -> None:
        """If the process stalls between its readings of the two clocks, their difference is no offset."""
        wall = Wall()

        def read_slowly() -> float:
            wall.steady_clock.at += 150
            return wall.read() + 500

        with mock.patch.object(wall_clock, "read_wall", read_slowly):
            clock = WallClock(wall.steady_clock)
            clock.sample()
            self.assertEqual([offset.value for offset in clock.offsets], [0.0])


class ColdWorkers(unittest.TestCase):
    """A worker that starts after a step is cold for as long as the settings say, in real time."""

    def list_worker(self, harness: Harness, name: str, started: float) -> None:
        """Have discovery list a worker that started at this wall-clock time."""
        source = harness.service.discovery
        assert source is not None
        entry = api.WorkerEntry(name, "", "m", 0, api.WorkerState.IN_SERVICE, 1.0, started)
        entries: Entries = [(entry, ("127.0.0.1", 9))]
        harness.core.apply_worker_list(
            source.link, api.ListKind.CHANGES, source.with_local_start_times(entries)
        )
        harness.core.decide()

    def test_worker_that_starts_after_a_step_is_cold_for_its_real_warm_up(self) -> None:
        """Without the translation, a step of the clock would lengthen the warm-up or skip it, and a second
        step would make the same process look restarted."""
        for step in STEPS_MS:
            with (
                self.subTest(step=step),
                running_harness(discovery="127.0.0.1:9", settings={"rules": COLD_START_RULES}) as harness,
            ):
                harness.advance_clock(20_000)
                harness.wall_clock_ahead_ms += step
                harness.advance_clock(20_000)
                started = harness.clock.at - 2000
                self.list_worker(harness, "w", started + harness.wall_clock_ahead_ms)
                worker = harness.core.module.workers["w"]
                self.assertAlmostEqual(worker.cold_until, started + 10_000, delta=1)
                # Listed again after another step, it is still the same process.
                harness.wall_clock_ahead_ms += step
                self.list_worker(harness, "w", started + harness.wall_clock_ahead_ms - step)
                self.assertAlmostEqual(worker.cold_until, started + 10_000, delta=1)


STEPPING_CLOCK_PRELUDE = """
import itertools, time
real, began, turns = time.time, time.monotonic(), itertools.count()
def stepping():
    return real() + (-3600.0, 5.0, 3600.0, -5.0)[int((time.monotonic() - began) * 20) % 4]
time.time = stepping
"""


class DispatcherProcess(unittest.TestCase):
    """A dispatcher process whose wall clock steps twenty times a second, by up to two hours."""

    def test_deadlines_and_shutdown_last_their_real_time(self) -> None:
        """A deadline measured by the wall clock would pass too early or too late."""

        def hang(worker: HttpWorker, rid: str, handler: Any) -> None:
            worker.ran[rid] += 1
            if rid.startswith("q"):
                worker.serve(rid, handler)
            else:
                handler.say(202)

        worker = HttpWorker("w1", hang)
        with running_program([worker], prelude=STEPPING_CLOCK_PRELUDE) as (program, _):
            self.assertEqual(http_call(program.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            for cls, wait in (("time-lookup", 600), ("result-post", 900)):
                begun_at = time.monotonic()
                status, _, _ = http_call(
                    program.http_address,
                    "POST",
                    f"/{cls}",
                    Req_Id=f"h-{cls}",
                    Req_Deadline_Ms=str(wait),
                    Req_Cost="9000",
                )
                took_ms = (time.monotonic() - begun_at) * 1000
                self.assertIn(status, (500, 503))
                self.assertLess(took_ms, wait + 150)
                if worker.ran[f"h-{cls}"] and cls == "result-post":
                    self.assertGreater(took_ms, wait - 150)
            deadlines_sent = [
                int(headers["req-deadline-ms"])
                for _, _, headers, _ in worker.requests
                if headers.get("req-id", "").startswith("h-")
            ]
            self.assertTrue(deadlines_sent and max(deadlines_sent) <= 900, json.dumps(deadlines_sent))
            begun_at = time.monotonic()
            program.process.send_signal(signal.SIGTERM)
            self.assertEqual(program.process.wait(10), 0)
            self.assertLess(time.monotonic() - begun_at, 3.7)


if __name__ == "__main__":
    unittest.main()
