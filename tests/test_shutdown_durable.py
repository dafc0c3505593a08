"""Tests of the shutdown of a dispatcher with running durable jobs.

Clients that wait for a durable job are answered before the earliest SIGKILL, even while the disk cannot be
written. The job itself continues after the restart and never runs twice.
"""

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


class WaitingClients:
    """Clients that each wait for one durable job, and the status that each got."""

    def __init__(self, deployment: Installation, program: Program) -> None:
        self.deployment, self.program = deployment, program
        self.statuses: dict[str, int] = {}
        self.threads: list[threading.Thread] = []

    def post(self, name: str, is_resubmittable: bool = True) -> None:
        """Submit a job and wait until it runs.

        Its name is an idempotency key if the job is resubmittable, else a request id that is given once.
        """

        def ask() -> None:
            if is_resubmittable:
                self.statuses[name] = post(self.program, name)[0]
            else:
                self.statuses[name] = http_call(self.program.edge, "POST", "/result-post", b"x", Req_Id=name)[
                    0
                ]

        self.threads.append(threading.Thread(target=ask, daemon=True))
        self.threads[-1].start()
        wait_for(lambda: self.deployment.ran[name], "the job to run")

    def stop_dispatcher(self) -> None:
        """Send SIGTERM, then SIGKILL at the earliest time, and wait for the clients."""
        sigterm_at = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        time.sleep(max(0.0, sigterm_at + earliest_kill(SETTINGS) - time.monotonic()))
        self.program.process.kill()
        for thread in self.threads:
            thread.join(PATIENCE)


class DurableJobsAtShutdown(unittest.TestCase):
    """Durable jobs that run at SIGTERM."""

    def test_waiting_clients_are_answered_and_the_jobs_continue(self) -> None:
        """A job that continues after the restart has no answer yet, so its clients would get none before
        SIGKILL."""
        with installation() as deployment:
            program = deployment.start()
            clients = WaitingClients(deployment, program)
            clients.post("a1")
            clients.post("a2", is_resubmittable=False)
            gearman = GearmanPeer(program.at["gearman"])
            gearman.put(Kind.SUBMIT_JOB, b"result-post", b"g1", b"x")
            wait_for(lambda: deployment.ran["g1"], "the Gearman job to run")
            clients.stop_dispatcher()
            # The first can be resubmitted by its key; the second, under a new id, could run a second time.
            self.assertEqual(clients.statuses, {"a1": 503, "a2": 500})
            self.assertIs(gearman.until(Kind.WORK_FAIL, Kind.WORK_COMPLETE).kind, Kind.WORK_FAIL)
            gearman.close()
            second = deployment.start()
            deployment.keeps.go.set()
            self.assertEqual(post(second, "a1"), (200, b"ran a1"))
            self.assertEqual(
                {name: deployment.ran[name] for name in ("a1", "a2", "g1")}, {"a1": 1, "a2": 1, "g1": 1}
            )

    def test_waiting_clients_are_answered_while_the_disk_cannot_be_written(self) -> None:
        """The end of a job has to be on disk before its client is answered. Where that write fails, the
        client must still get an answer before SIGKILL."""
        with installation() as deployment:
            program = deployment.start()
            clients = WaitingClients(deployment, program)
            clients.post("a1")
            limits = resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (1, -1))
            deployment.keeps.go.set()
            wait_for(lambda: deployment.keeps.statuses, "its worker's call-back to be answered")
            clients.stop_dispatcher()
            del limits
            self.assertIn(clients.statuses["a1"], (500, 503))
            second = deployment.start()
            status, _ = post(second, "a1")
            self.assertIn(status, (200, 500))
            self.assertEqual(deployment.ran["a1"], 1)


if __name__ == "__main__":
    unittest.main()
