"""A stopping dispatcher with durable jobs under way: who waits for one is answered before the earliest
SIGKILL, also while the disk takes nothing, and the job itself goes on after the restart and never runs
twice."""

from __future__ import annotations

import resource
import signal
import threading
import time
import unittest

from eiderpin.net.gearman import Kind
from tests.standins import PATIENCE, SETTINGS, GearmanPeer, Program, http_call, wait_for
from tests.test_crash import Installation, installation, post
from tests.test_shutdown_deadline import earliest_kill


class Waiting:
    """Clients that each wait for one durable job, and what they were told."""

    def __init__(self, it: Installation, program: Program) -> None:
        self.it, self.program = it, program
        self.statuses: dict[str, int] = {}
        self.threads: list[threading.Thread] = []

    def post(self, name: str, named: bool = True) -> None:
        """Ask for a job, by a name that may be given again or by an id that is given once."""

        def ask() -> None:
            if named:
                self.statuses[name] = post(self.program, name)[0]
            else:
                self.statuses[name] = http_call(self.program.edge, "POST", "/result-post", b"x", Req_Id=name)[
                    0
                ]

        self.threads.append(threading.Thread(target=ask, daemon=True))
        self.threads[-1].start()
        wait_for(lambda: self.it.ran[name], "the job to be out")

    def end(self) -> None:
        """SIGTERM, and SIGKILL at its earliest."""
        at = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        time.sleep(max(0.0, at + earliest_kill(SETTINGS) - time.monotonic()))
        self.program.process.kill()
        for thread in self.threads:
            thread.join(PATIENCE)


class DurableJobs(unittest.TestCase):
    def test_who_waits_is_told_and_the_job_goes_on(self) -> None:
        with installation() as it:
            program = it.start()
            waiting = Waiting(it, program)
            waiting.post("a1")
            waiting.post("a2", named=False)
            gearman = GearmanPeer(program.at["gearman"])
            gearman.put(Kind.SUBMIT_JOB, b"result-post", b"g1", b"x")
            wait_for(lambda: it.ran["g1"], "the Gearman job to be out")
            waiting.end()
            # By its name the first may be asked for again; the second could run once more by another id.
            self.assertEqual(waiting.statuses, {"a1": 503, "a2": 500})
            self.assertIs(gearman.until(Kind.WORK_FAIL, Kind.WORK_COMPLETE).kind, Kind.WORK_FAIL)
            gearman.close()
            second = it.start()
            it.keeps.go.set()
            self.assertEqual(post(second, "a1"), (200, b"ran a1"))
            self.assertEqual({name: it.ran[name] for name in ("a1", "a2", "g1")}, {"a1": 1, "a2": 1, "g1": 1})

    def test_while_the_disk_takes_nothing(self) -> None:
        """The job has ended, and its end waits for the disk; so does what another client is to be told."""
        with installation() as it:
            program = it.start()
            waiting = Waiting(it, program)
            waiting.post("a1")
            limits = resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (1, -1))
            it.keeps.go.set()
            wait_for(lambda: it.keeps.statuses, "its worker's call-back to be answered")
            waiting.end()
            del limits
            self.assertIn(waiting.statuses["a1"], (500, 503))
            second = it.start()
            status, _ = post(second, "a1")
            self.assertIn(status, (200, 500))
            self.assertEqual(it.ran["a1"], 1)


if __name__ == "__main__":
    unittest.main()
