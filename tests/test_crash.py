"""Tests of durable jobs with the real program: it is killed, its disk fails, it is upgraded."""

from __future__ import annotations

import contextlib
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from eiderpin.durable.files import Files
from eiderpin.durable.log import Log
from eiderpin.jobs import records
from eiderpin.jobs.records import Accepted, Opened
from eiderpin.net.gearman import Kind
from tests.standins import (
    ROOT,
    Discovery,
    GearmanPeer,
    GearmanWorker,
    HttpWorker,
    Program,
    http_call,
    wait_for,
)
from tests.test_command import eiderpin
from tests.test_upgrade import TOOK, said, side


class HoldingWorker:
    """A worker that accepts jobs, and reports their results once `go` is set."""

    def __init__(self, name: str = "h1") -> None:
        self.go = threading.Event()
        self.answer_allowed: threading.Event | None = None  # if set, each 202 waits for it
        self.statuses: list[int] = []
        self.worker = HttpWorker(name, self.handle_job)

    def handle_job(self, worker: HttpWorker, request_id: str, handler: Any) -> None:
        worker.ran[request_id] += 1
        if self.answer_allowed is not None:
            self.answer_allowed.wait(20)
        handler.say(202)
        threading.Thread(target=self.report_result, args=(request_id,), daemon=True).start()

    def report_result(self, request_id: str) -> None:
        self.go.wait(20)
        for _ in range(100):  # the platform's workers retry until they get an answer
            with contextlib.suppress(OSError):
                status = self.worker.send_callback(request_id, "done", result=f"ran {request_id}")
                self.statuses.append(status)
                if status in (200, 204):
                    return
            threading.Event().wait(0.05)


class Installation:
    """A ledger's directory, a worker, and programs that run one after the other at one address."""

    def __init__(self, **durable: Any) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.held_worker = HoldingWorker()
        self.discovery = Discovery()
        self.discovery.list("h1", self.held_worker.worker.port)
        self.programs: list[Program] = []
        self.durable = {"directory": self.folder.name, "classes": ["result-post"], **durable}

    def start(self, prelude: str = "") -> Program:
        previous = self.programs[-1] if self.programs else None
        listen = {"listen": previous.http_address} if previous is not None else {}
        fronts: Any = {"gearman": previous.at["gearman"]} if previous is not None else ("gearman",)
        program = Program(self.discovery, fronts=fronts, durable=self.durable, prelude=prelude, **listen)
        self.programs.append(program)
        self.held_worker.worker.callback_address = program.http_address
        program.ready()
        return program

    def kill(self) -> None:
        self.programs[-1].process.kill()
        self.programs[-1].process.wait()

    @property
    def ran(self) -> dict[str, int]:
        return self.held_worker.worker.ran


@contextlib.contextmanager
def run_installation(**durable: Any) -> Iterator[Installation]:
    installation = Installation(**durable)
    try:
        yield installation
        lines = [line for program in installation.programs for line in program.lines]
        assert not [line for line in lines if "Traceback" in line or "invariant" in line], lines
    finally:
        installation.held_worker.go.set()
        for program in installation.programs:
            program.process.kill()
            program.stop()
        installation.discovery.stop()
        installation.held_worker.worker.stop()
        installation.folder.cleanup()


def post(program: Program, name: str, body: bytes = b"x") -> tuple[int, bytes]:
    return http_call(program.http_address, "POST", "/result-post", body, Idempotency_Key=f'"{name}"')[:2]


def post_in_background(program: Program, name: str) -> threading.Thread:
    """A client in a thread of its own, which ends when the dispatcher is killed."""

    def run() -> None:
        with contextlib.suppress(OSError):
            post(program, name)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


KILL_HELPERS = """
import os, signal
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.jobs.keeper import JobManager
from eiderpin.net.workers import HttpWorkers
def die(*_): os.kill(os.getpid(), signal.SIGKILL)
def after(cls, name):
    def call(*args, of=getattr(cls, name)):
        of(*args)
        die()
    setattr(cls, name, call)
"""

# Between which steps the program is killed, the patch that does it, how often the job then runs in all, and
# the answer to a resubmission.
KILL_PLACES: list[tuple[str, str, int, tuple[int, bytes]]] = [
    (
        "accept and lease",
        "JobManager.lease = lambda k, s, go: k.when_durable(s.request, die)",
        1,
        (200, b"ran a1"),
    ),
    ("lease and first byte", "HttpWorkers.send = die", 0, (500, b"failed\n")),
    ("last byte and 202", "after(Dispatcher, 'written')", 1, (200, b"ran a1")),
    ("result and its record", "JobManager.end = die", 1, (200, b"ran a1")),
    ("record and answer", "Dispatcher._deliver = die", 1, (200, b"ran a1")),
]


class Crashes(unittest.TestCase):
    def test_a_kill_between_any_two_steps_of_a_job_runs_it_at_most_once(self) -> None:
        """A kill between a record and its effect could lose the job, run it twice, or give different
        answers to resubmissions."""
        for place, patch, run_count, answer in KILL_PLACES:
            with self.subTest(between=place), run_installation(silence_ms=2000) as installation:
                installation.held_worker.go.set()
                first = installation.start(KILL_HELPERS + patch)
                # Holds back the 202 until the dispatcher has been killed.
                installation.held_worker.answer_allowed = threading.Event()
                if place.startswith(("result", "record")):  # these come after the 202
                    installation.held_worker.answer_allowed.set()
                post_in_background(first, "a1")
                self.assertEqual(first.process.wait(20), -signal.SIGKILL)
                installation.held_worker.answer_allowed.set()
                second = installation.start()
                self.assertEqual(post(second, "a1"), answer)
                self.assertEqual(post(second, "a1"), answer)
                self.assertEqual(installation.ran["a1"], run_count)

    def test_a_job_of_a_gearman_worker_that_leaves_during_a_restart_fails(self) -> None:
        """Its result could only have come on a connection that is gone, so nobody can tell whether it ran,
        and it must not run again."""
        with run_installation() as installation:
            first = installation.start()
            installation.discovery.list("h1", installation.held_worker.worker.port, lifecycle="Terminating")
            wait_for(lambda: http_call(first.http_address, "GET", "/_health")[0] == 503, "the worker's drain")
            worker = GearmanWorker(first.at["gearman"], ["result-post"], lambda worker, packet: False)
            wait_for(lambda: http_call(first.http_address, "GET", "/_health")[0] == 200, "the Gearman worker")
            post_in_background(first, "a1")
            wait_for(lambda: worker.ran[b"a1"], "the job to run")
            installation.kill()
            worker.close()
            installation.discovery.list("h1", installation.held_worker.worker.port)
            second = installation.start()
            self.assertEqual(post(second, "a1")[0], 500)
            self.assertEqual((installation.ran["a1"], worker.ran[b"a1"]), (0, 1))

    def test_progress_renews_leases_and_two_ledgers_can_share_a_worker(self) -> None:
        """A long job must not lose its lease while its worker reports progress, also after a restart; two
        dispatchers with one worker must not mix up their leases."""
        with run_installation(silence_ms=1500) as installation, tempfile.TemporaryDirectory() as folder:
            first = installation.start()
            other = Program(installation.discovery, durable={**installation.durable, "directory": folder})
            installation.programs.append(other)
            other.ready()
            post_in_background(first, "a1")
            post_in_background(other, "b1")
            wait_for(lambda: installation.ran["a1"] and installation.ran["b1"], "both jobs to run")
            installation.kill()  # the second dispatcher
            restarted = Program(
                installation.discovery,
                durable={**installation.durable, "directory": folder},
                listen=other.http_address,
            )
            installation.programs.append(restarted)
            for _ in range(8):  # for more than twice silence_ms
                for program, name in ((first, "a1"), (restarted, "b1")):
                    installation.held_worker.worker.callback_address = program.http_address
                    self.assertEqual(
                        installation.held_worker.worker.send_callback(name, "running", share=0.1), 204
                    )
                threading.Event().wait(0.4)
            for program, name in ((first, "a1"), (restarted, "b1")):
                installation.held_worker.worker.callback_address = program.http_address
                self.assertEqual(
                    installation.held_worker.worker.send_callback(name, "done", result=f"ran {name}"), 204
                )
                self.assertEqual(post(program, name), (200, f"ran {name}".encode()))
            self.assertEqual(installation.ran, {"a1": 1, "b1": 1})

    def test_a_wall_clock_that_was_set_back_gives_no_job_more_time(self) -> None:
        """After a restart the ledger's deadlines would otherwise lie further in the future by as much as the
        clock was set back."""
        with run_installation() as installation:
            hour, now, cls, target = 3_600_000.0, time.time() * 1000, "result-post", b"/result-post"
            log = Log(Files(installation.folder.name), lambda record: None)
            for record in (
                Opened(now + hour, 1, "t1", ("result-post",)),
                Accepted(now + hour, 1, cls, "a1", "a1", target, b"x", now + hour + 1500),
                Accepted(now + hour, 2, cls, "a2", "a2", target, b"x", now + hour + 60_000),
            ):
                packed = records.pack(record)
                log.append(packed.kind, packed.version, packed.body)
            log.close()
            installation.discovery.list("h1", installation.held_worker.worker.port, lifecycle="Terminating")
            program = Program(installation.discovery, durable=installation.durable, fronts=("gearman",))
            installation.programs.append(program)
            wait_for(lambda: any("recovered jobs: 2 place" in x for x in program.lines), "the recovery")
            peer = GearmanPeer(program.at["gearman"])
            # The first job ends at its deadline, in 1.5 s and not in an hour; the second does not.
            wait_for(lambda: peer.ask(Kind.GET_STATUS_UNIQUE, b"a1").args[1] == b"0", "the first to end")
            self.assertEqual(peer.ask(Kind.GET_STATUS_UNIQUE, b"a2").args[1], b"1")
            peer.close()

    def test_a_wall_clock_that_was_set_forward_ends_no_job_and_expires_no_answer(self) -> None:
        """Each start finds the wall clock an hour ahead of where the last process left it. Jobs would end
        early, and resubmissions of ended ones would run again."""
        ahead = "import time\nreal = time.time\ntime.time = lambda: real() + {hours} * 3600.0\n"
        with run_installation(keep_s=600) as installation:
            first = installation.start()
            client = post_in_background(first, "b1")
            wait_for(lambda: installation.ran["b1"], "the job to run")
            installation.held_worker.go.set()
            self.assertEqual(post(first, "a1"), (200, b"ran a1"))
            client.join(20)
            installation.held_worker.go.clear()
            client = post_in_background(first, "c1")
            wait_for(lambda: installation.ran["c1"], "the job to run")
            installation.kill()
            for hours in (1, 2):
                restarted = installation.start(ahead.format(hours=hours))
                self.assertEqual(post(restarted, "a1"), (200, b"ran a1"))  # stored, and not run again
                if hours == 1:
                    installation.kill()
            installation.held_worker.go.set()
            self.assertEqual(post(restarted, "c1"), (200, b"ran c1"))  # its deadline has not passed
            self.assertEqual(
                {name: installation.ran[name] for name in ("a1", "b1", "c1")}, {"a1": 1, "b1": 1, "c1": 1}
            )

    def test_a_job_that_runs_through_a_kill_ends_with_its_workers_report(self) -> None:
        """The restarted dispatcher must wait for the worker's report instead of running the job again, and
        must store the answer for resubmissions."""
        with run_installation() as installation:
            first = installation.start()
            post_in_background(first, "a1")
            wait_for(lambda: installation.ran["a1"], "the job to run")
            installation.kill()
            second = installation.start()
            threading.Timer(0.2, installation.held_worker.go.set).start()
            self.assertEqual(post(second, "a1"), (200, b"ran a1"))  # joins the running job
            self.assertEqual(post(second, "a1"), (200, b"ran a1"))  # stored
            self.assertEqual(post(second, "a1", b"y")[0], 422)
            installation.kill()
            third = installation.start()
            self.assertEqual(post(third, "a1"), (200, b"ran a1"))  # stored on disk
            self.assertEqual(post(third, "a1", b"y")[0], 422)
            self.assertEqual(installation.ran, {"a1": 1})

    def test_a_job_that_was_never_leased_is_placed_after_a_kill(self) -> None:
        """A background job is acknowledged once it is on disk, before any worker has it; a kill must not lose
        it."""
        with run_installation() as installation:
            first = installation.start()
            installation.discovery.list("h1", installation.held_worker.worker.port, lifecycle="Terminating")
            wait_for(lambda: http_call(first.http_address, "GET", "/_health")[0] == 503, "the worker's drain")
            peer = GearmanPeer(first.at["gearman"])
            handle = peer.ask(Kind.SUBMIT_JOB_BG, b"result-post", b"b1", b"x")
            self.assertIs(handle.kind, Kind.JOB_CREATED)
            installation.kill()
            peer.close()
            installation.discovery.list("h1", installation.held_worker.worker.port)
            second = installation.start()
            wait_for(lambda: installation.ran["b1"], "the job to run")
            peer = GearmanPeer(second.at["gearman"])
            status = peer.ask(Kind.GET_STATUS_UNIQUE, b"b1")
            self.assertEqual(status.args[1], b"1")
            installation.held_worker.go.set()
            peer.put(Kind.SUBMIT_JOB, b"result-post", b"b1", b"x")
            self.assertEqual(peer.wait_for_packet(Kind.WORK_COMPLETE).args[1], b"ran b1")
            self.assertIs(peer.ask(Kind.SUBMIT_JOB, b"result-post", b"b1", b"other").kind, Kind.ERROR)
            peer.close()
            self.assertEqual(installation.ran, {"b1": 1})

    def test_a_job_whose_worker_stays_silent_after_a_kill_fails_and_is_not_rerun(self) -> None:
        """It may have run, so it must not run again; a result that comes after its client has got the failure
        must not change the answer."""
        with run_installation(silence_ms=1500) as installation:
            first = installation.start()
            post_in_background(first, "a1")
            wait_for(lambda: installation.ran["a1"], "the job to run")
            installation.kill()
            second = installation.start()
            self.assertEqual(post(second, "a1")[0], 500)
            self.assertEqual(post(second, "a1")[0], 500)  # stored as failed
            installation.held_worker.go.set()
            wait_for(lambda: installation.held_worker.statuses, "the late report to be answered")
            self.assertEqual(installation.held_worker.statuses, [204])
            self.assertEqual(post(second, "a1")[0], 500)  # a client has received the failure
            self.assertEqual(installation.ran, {"a1": 1})

    def test_durable_jobs_are_rejected_while_the_disk_is_full_and_accepted_afterwards(self) -> None:
        """A job that can't be stored must not be accepted, other classes must still be served, and the
        recovery must need no restart."""
        with run_installation() as installation:
            program, pid = installation.start(), installation.programs[-1].process.pid
            installation.held_worker.go.set()
            self.assertEqual(post(program, "a1")[0], 200)
            limits = resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, -1))  # no file may grow
            wait_for(lambda: post(program, "a2")[0] == 503, "a rejection")
            path = "/result-post"
            status, _, headers = http_call(program.http_address, "POST", path, b"x", Idempotency_Key="a3")
            self.assertEqual(status, 503)
            self.assertIn("retry-after", headers)
            self.assertEqual(http_call(program.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            self.assertEqual(post(program, "a1"), (200, b"ran a1"))  # a stored answer is still served
            resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)
            wait_for(lambda: post(program, "a4")[0] == 200, "the disk to come back")
            self.assertTrue(any("is back" in line for line in program.lines))
            installation.kill()
            second = installation.start()
            self.assertEqual(post(second, "a4"), (200, b"ran a4"))
            self.assertEqual(installation.ran["a4"], 1)
            self.assertTrue(all(count == 1 for count in installation.ran.values()), installation.ran)

    def test_a_damaged_ledger_or_one_of_a_newer_format_prevents_the_start(self) -> None:
        """Starting with a part of the ledger would run jobs again. The command `eiderpin jobs` must name the
        problem as the program does."""
        with run_installation() as installation:
            program = installation.start()
            installation.held_worker.go.set()
            for name in ("a1", "a2", "a3"):
                post(program, name)
            installation.kill()
            path = Path(installation.folder.name) / "0000000000000001.seg"
            good = path.read_bytes()
            for at, text in ((60, "damaged at byte"), (8, "its format is")):
                bad = bytearray(good)
                bad[at] ^= 8
                path.write_bytes(bad)
                with self.assertRaisesRegex(AssertionError, text):
                    Program(installation.discovery, durable=installation.durable)
                done = eiderpin("jobs", "check", installation.folder.name)
                self.assertIn(done.returncode, (1, 2))
                self.assertIn(text, done.stderr)
            path.write_bytes(good)
            for args in (("list",), ("check",)):
                done = eiderpin("jobs", *args, installation.folder.name)
                self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("3 succeeded", done.stdout)
            shown = eiderpin("jobs", "show", installation.folder.name, "a2")
            self.assertIn("leased to h1", shown.stdout)
            self.assertEqual(eiderpin("jobs", "show", installation.folder.name, "nobody").returncode, 1)

    def test_sigterm_waits_for_running_durable_jobs_and_keeps_their_answers(self) -> None:
        """An exit before the job's end would leave its client without an answer."""
        with run_installation() as installation:
            program = installation.start()
            responses: list[tuple[int, bytes]] = []
            thread = threading.Thread(target=lambda: responses.append(post(program, "a1")))
            thread.start()
            wait_for(lambda: installation.ran["a1"], "the job to run")
            program.process.send_signal(signal.SIGTERM)
            installation.held_worker.go.set()
            self.assertEqual(program.process.wait(20), 0)
            thread.join(20)
            self.assertEqual(responses, [(200, b"ran a1")])
            self.assertEqual(post(installation.start(), "a1"), (200, b"ran a1"))

    def test_a_worker_that_reports_a_job_as_lost_ends_its_lease(self) -> None:
        """A worker that restarts reports the jobs that it has lost. Their leases must end at once, and since
        they may have run, they fail."""
        with run_installation() as installation:
            program = installation.start()
            post_in_background(program, "a1")
            wait_for(lambda: installation.ran["a1"], "the job to run")
            installation.kill()
            second = installation.start()
            self.assertEqual(installation.held_worker.worker.send_callback("a1", "lost"), 204)
            self.assertEqual(post(second, "a1")[0], 500)
            self.assertEqual(installation.ran, {"a1": 1})

    def test_an_upgrade_transfers_the_ledger_with_its_leases_and_clients(self) -> None:
        """A job that outlasts the old process must go on in the new one, answer its waiting clients and run
        once."""
        with side() as site, tempfile.TemporaryDirectory() as folder:
            durable = {"directory": folder, "classes": ["result-post"]}
            old = site.serving(durable=durable)
            self.assertEqual(post(old, "q1"), (200, b"h1 ran q1"))
            responses: list[tuple[int, bytes]] = []
            threads = [threading.Thread(target=lambda: responses.append(post(old, "s1"))) for _ in range(2)]
            for thread in threads:
                thread.start()
            wait_for(lambda: site.held.worker.ran["s1"], "the job to run")
            new = site.serving(durable=durable)
            said(old, TOOK)
            # The old process owns the ledger until it is told to end; the new one rejects durable jobs.
            self.assertEqual(post(new, "q2")[0], 503)
            self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", Req_Id="q3")[0], 200)
            old.process.send_signal(signal.SIGTERM)
            said(new, "recovered jobs: 0 place, 1 wait, 0 late")
            self.assertEqual(old.process.wait(20), 0)  # while its job runs and its clients wait
            self.assertEqual(responses, [])
            self.assertEqual(post(new, "q2"), (200, b"h1 ran q2"))
            site.held.go.set()
            for thread in threads:
                thread.join(20)
            self.assertEqual(responses, [(200, b"ran s1")] * 2)
            self.assertEqual(post(new, "s1"), (200, b"ran s1"))
            self.assertEqual(post(new, "q1"), (200, b"h1 ran q1"))
            self.assertEqual(max(site.held.worker.ran.values()), 1)

    def test_an_old_process_takes_the_ledger_back_from_a_killed_new_one(self) -> None:
        """The new process dies with the transferred ledger while the old one still runs; the job must go on
        there, and not run again."""
        with side() as site, tempfile.TemporaryDirectory() as folder:
            durable = {"directory": folder, "classes": ["result-post"]}
            old = site.serving(durable=durable, fronts=("gearman",))
            peer = GearmanPeer(old.at["gearman"])
            # A Gearman client's connection can't be transferred, so the old process stays.
            peer.put(Kind.SUBMIT_JOB, b"time-lookup", b"l1", b"x")
            peer.wait_for_packet(Kind.JOB_CREATED)
            client = post_in_background(old, "s1")
            wait_for(lambda: site.held.worker.ran["s1"] and site.held.worker.ran["l1"], "the jobs to run")
            new = site.serving(durable=durable)
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            said(new, "recovered jobs: 0 place, 1 wait, 0 late")
            wait_for(lambda: new.counters().get("in.joined"), "the client's connection to go over")
            new.process.kill()
            client.join(20)
            said(old, "recovered jobs: 0 place, 1 wait, 0 late")
            site.held.go.set()
            self.assertEqual(post(old, "s1"), (200, b"ran s1"))
            self.assertEqual(peer.wait_for_packet(Kind.WORK_COMPLETE).args[1], b"ran l1")
            peer.close()
            self.assertEqual(old.process.wait(20), 0)
            self.assertEqual(site.held.worker.ran["s1"], 1)

    def test_a_new_process_recovers_the_leases_of_a_killed_old_one(self) -> None:
        """The old process dies before it has transferred the ledger; the new one must take it over from the
        disk."""
        with side() as site, tempfile.TemporaryDirectory() as folder:
            durable = {"directory": folder, "classes": ["result-post"]}
            old = site.serving(durable=durable)
            post_in_background(old, "s1")
            wait_for(lambda: site.held.worker.ran["s1"], "the job to run")
            new = site.serving(durable=durable)
            said(old, TOOK)
            old.process.kill()
            said(new, "recovered jobs: 0 place, 1 wait, 0 late")
            site.held.go.set()
            wait_for(lambda: post(new, "s1") == (200, b"ran s1"), "the answer")
            self.assertEqual(site.held.worker.ran["s1"], 1)

    def test_many_posts_through_kills_and_disk_faults(self) -> None:
        """Under load, with random kills and disk failures: a post could get two answers, or run twice."""
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.crash_jobs", "--posts", "240", "--kills", "3",
             "--clients", "32", "--seed", "5", "--disk-faults"],
            cwd=ROOT, capture_output=True, text=True, timeout=120,
        )  # fmt: skip
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def test_a_durable_post_is_not_forgotten_when_there_are_too_many_names(self) -> None:
        """The oldest name made room for the newest, and its post ran again. A new post is rejected now."""
        with run_installation(keep_most=2) as installation:
            installation.held_worker.go.set()
            program = installation.start()
            self.assertEqual([post(program, name)[0] for name in ("a1", "a2", "a3")], [200, 200, 503])
            self.assertEqual(post(program, "a1"), (200, b"ran a1"))
            self.assertEqual(program.counters()["ledger.no_room"], 1)
            wait_for(lambda: any("no room for their names" in line for line in program.lines), "the event")
            installation.kill()
            restarted = installation.start()
            self.assertEqual([post(restarted, name)[0] for name in ("a1", "a2", "a3")], [200, 200, 503])
            self.assertEqual(installation.ran, {"a1": 1, "a2": 1})

    def test_a_second_program_with_the_same_ledger_does_not_start(self) -> None:
        """Two programs that write one ledger would damage it."""
        with run_installation() as installation:
            installation.start()
            with self.assertRaisesRegex(AssertionError, "another process owns it"):
                Program(installation.discovery, durable=installation.durable)
