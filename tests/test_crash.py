"""Durable jobs, with the program killed at the places that matter."""

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


class Keeps:
    """A worker that takes jobs and tells of their end when it is told to."""

    def __init__(self, name: str = "h1") -> None:
        self.go = threading.Event()
        self.answers: threading.Event | None = None  # where given, a 202 waits for it
        self.statuses: list[int] = []
        self.worker = HttpWorker(name, self.act)

    def act(self, worker: HttpWorker, rid: str, handler: Any) -> None:
        worker.ran[rid] += 1
        if self.answers is not None:
            self.answers.wait(20)
        handler.say(202)
        threading.Thread(target=self.later, args=(rid,), daemon=True).start()

    def later(self, rid: str) -> None:
        self.go.wait(20)
        for _ in range(100):  # as the platform's workers do, until it is answered
            with contextlib.suppress(OSError):
                status = self.worker.tell(rid, "done", result=f"ran {rid}")
                self.statuses.append(status)
                if status in (200, 204):
                    return
            threading.Event().wait(0.05)


class Installation:
    """A folder for the ledger, a worker, and programs one after the other at one address."""

    def __init__(self, **durable: Any) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.keeps = Keeps()
        self.discovery = Discovery()
        self.discovery.list("h1", self.keeps.worker.port)
        self.programs: list[Program] = []
        self.durable = {"directory": self.folder.name, "classes": ["result-post"], **durable}

    def start(self, prelude: str = "") -> Program:
        last = self.programs[-1] if self.programs else None
        listen = {"listen": last.edge} if last is not None else {}
        fronts: Any = {"gearman": last.at["gearman"]} if last is not None else ("gearman",)
        program = Program(self.discovery, fronts=fronts, durable=self.durable, prelude=prelude, **listen)
        self.programs.append(program)
        self.keeps.worker.back = program.edge
        program.ready()
        return program

    def kill(self) -> None:
        self.programs[-1].process.kill()
        self.programs[-1].process.wait()

    @property
    def ran(self) -> dict[str, int]:
        return self.keeps.worker.ran


@contextlib.contextmanager
def installation(**durable: Any) -> Iterator[Installation]:
    it = Installation(**durable)
    try:
        yield it
        lines = [line for program in it.programs for line in program.lines]
        assert not [line for line in lines if "Traceback" in line or "invariant" in line], lines
    finally:
        it.keeps.go.set()
        for program in it.programs:
            program.process.kill()
            program.stop()
        it.discovery.stop()
        it.keeps.worker.stop()
        it.folder.cleanup()


def post(program: Program, name: str, body: bytes = b"x") -> tuple[int, bytes]:
    return http_call(program.edge, "POST", "/result-post", body, Idempotency_Key=f'"{name}"')[:2]


def post_behind(program: Program, name: str) -> threading.Thread:
    """A client that goes down with the dispatcher."""

    def run() -> None:
        with contextlib.suppress(OSError):
            post(program, name)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


DIES = """
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

# where it is killed: by what, how often the job then runs in all, and what its client hears
PLACES: list[tuple[str, str, int, tuple[int, bytes]]] = [
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
    def test_killed_at_each_place_that_matters(self) -> None:
        for place, how, runs, answer in PLACES:
            with self.subTest(between=place), installation(silence_ms=2000) as it:
                it.keeps.go.set()
                first = it.start(DIES + how)
                it.keeps.answers = threading.Event()  # a 202 finds the dispatcher dead, or none was due yet
                if place.startswith(("result", "record")):
                    it.keeps.answers.set()
                post_behind(first, "a1")
                self.assertEqual(first.process.wait(20), -signal.SIGKILL)
                it.keeps.answers.set()
                second = it.start()
                self.assertEqual(post(second, "a1"), answer)
                self.assertEqual(post(second, "a1"), answer)
                self.assertEqual(it.ran["a1"], runs)

    def test_a_gearman_worker_that_drops_mid_job_while_we_are_down(self) -> None:
        with installation() as it:
            first = it.start()
            it.discovery.list("h1", it.keeps.worker.port, lifecycle="Terminating")
            wait_for(lambda: http_call(first.edge, "GET", "/_health")[0] == 503, "the worker's drain")
            worker = GearmanWorker(first.at["gearman"], ["result-post"], lambda worker, packet: False)
            wait_for(lambda: http_call(first.edge, "GET", "/_health")[0] == 200, "the Gearman worker")
            post_behind(first, "a1")
            wait_for(lambda: worker.ran[b"a1"], "the job to be out")
            it.kill()
            worker.close()
            it.discovery.list("h1", it.keeps.worker.port)
            second = it.start()
            self.assertEqual(post(second, "a1")[0], 500)  # it may have run, and nobody can tell
            self.assertEqual((it.ran["a1"], worker.ran[b"a1"]), (0, 1))

    def test_progress_keeps_a_lease_and_two_ledgers_share_a_worker(self) -> None:
        with installation(silence_ms=1500) as it, tempfile.TemporaryDirectory() as folder:
            first = it.start()
            other = Program(it.discovery, durable={**it.durable, "directory": folder})
            it.programs.append(other)
            other.ready()
            post_behind(first, "a1")
            post_behind(other, "b1")
            wait_for(lambda: it.ran["a1"] and it.ran["b1"], "both jobs to be out")
            it.kill()  # the other one
            again = Program(it.discovery, durable={**it.durable, "directory": folder}, listen=other.edge)
            it.programs.append(again)
            for _ in range(8):  # over twice the silence
                for program, name in ((first, "a1"), (again, "b1")):
                    it.keeps.worker.back = program.edge
                    self.assertEqual(it.keeps.worker.tell(name, "running", share=0.1), 204)
                threading.Event().wait(0.4)
            for program, name in ((first, "a1"), (again, "b1")):
                it.keeps.worker.back = program.edge
                self.assertEqual(it.keeps.worker.tell(name, "done", result=f"ran {name}"), 204)
                self.assertEqual(post(program, name), (200, f"ran {name}".encode()))
            self.assertEqual(it.ran, {"a1": 1, "b1": 1})

    def test_a_clock_that_has_stepped_back_gives_no_job_more_time(self) -> None:
        with installation() as it:
            hour, now, cls, target = 3_600_000.0, time.time() * 1000, "result-post", b"/result-post"
            log = Log(Files(it.folder.name), lambda record: None)
            for record in (
                Opened(now + hour, 1, "t1", ("result-post",)),
                Accepted(now + hour, 1, cls, "a1", "a1", target, b"x", now + hour + 1500),
                Accepted(now + hour, 2, cls, "a2", "a2", target, b"x", now + hour + 60_000),
            ):
                packed = records.pack(record)
                log.append(packed.kind, packed.version, packed.body)
            log.close()
            it.discovery.list("h1", it.keeps.worker.port, lifecycle="Terminating")
            program = Program(it.discovery, durable=it.durable, fronts=("gearman",))
            it.programs.append(program)
            wait_for(lambda: any("recovered jobs: 2 place" in x for x in program.lines), "the recovery")
            peer = GearmanPeer(program.at["gearman"])
            # The first ends by its deadline, 1.5 s and not an hour from now; the second does not.
            wait_for(lambda: peer.ask(Kind.GET_STATUS_UNIQUE, b"a1").args[1] == b"0", "the first to end")
            self.assertEqual(peer.ask(Kind.GET_STATUS_UNIQUE, b"a2").args[1], b"1")
            peer.close()

    def test_a_clock_that_has_stepped_forward_takes_no_time_and_no_kept_answer(self) -> None:
        """Each start finds the wall clock an hour ahead of where the last process left it."""
        ahead = "import time\nreal = time.time\ntime.time = lambda: real() + {hours} * 3600.0\n"
        with installation(keep_s=600) as it:
            first = it.start()
            held = post_behind(first, "b1")
            wait_for(lambda: it.ran["b1"], "the job to be out")
            it.keeps.go.set()
            self.assertEqual(post(first, "a1"), (200, b"ran a1"))
            held.join(20)
            it.keeps.go.clear()
            held = post_behind(first, "c1")
            wait_for(lambda: it.ran["c1"], "the job to be out")
            it.kill()
            for hours in (1, 2):
                again = it.start(ahead.format(hours=hours))
                self.assertEqual(post(again, "a1"), (200, b"ran a1"))  # kept, and not run once more
                if hours == 1:
                    it.kill()
            it.keeps.go.set()
            self.assertEqual(post(again, "c1"), (200, b"ran c1"))  # its time is not over
            self.assertEqual({name: it.ran[name] for name in ("a1", "b1", "c1")}, {"a1": 1, "b1": 1, "c1": 1})

    def test_a_job_that_runs_when_the_dispatcher_is_killed_ends_with_its_workers_word(self) -> None:
        with installation() as it:
            first = it.start()
            post_behind(first, "a1")
            wait_for(lambda: it.ran["a1"], "the job to be out")
            it.kill()
            second = it.start()
            threading.Timer(0.2, it.keeps.go.set).start()
            self.assertEqual(post(second, "a1"), (200, b"ran a1"))  # joins
            self.assertEqual(post(second, "a1"), (200, b"ran a1"))  # kept
            self.assertEqual(post(second, "a1", b"y")[0], 422)
            it.kill()
            third = it.start()
            self.assertEqual(post(third, "a1"), (200, b"ran a1"))  # kept on disk
            self.assertEqual(post(third, "a1", b"y")[0], 422)
            self.assertEqual(it.ran, {"a1": 1})

    def test_a_job_that_was_never_leased_is_placed_anew(self) -> None:
        with installation() as it:
            first = it.start()
            it.discovery.list("h1", it.keeps.worker.port, lifecycle="Terminating")
            wait_for(lambda: http_call(first.edge, "GET", "/_health")[0] == 503, "the worker's drain")
            peer = GearmanPeer(first.at["gearman"])
            handle = peer.ask(Kind.SUBMIT_JOB_BG, b"result-post", b"b1", b"x")
            self.assertIs(handle.kind, Kind.JOB_CREATED)
            it.kill()
            peer.close()
            it.discovery.list("h1", it.keeps.worker.port)
            second = it.start()
            wait_for(lambda: it.ran["b1"], "the job to be out")
            peer = GearmanPeer(second.at["gearman"])
            status = peer.ask(Kind.GET_STATUS_UNIQUE, b"b1")
            self.assertEqual(status.args[1], b"1")
            it.keeps.go.set()
            peer.put(Kind.SUBMIT_JOB, b"result-post", b"b1", b"x")
            self.assertEqual(peer.until(Kind.WORK_COMPLETE).args[1], b"ran b1")
            self.assertIs(peer.ask(Kind.SUBMIT_JOB, b"result-post", b"b1", b"other").kind, Kind.ERROR)
            peer.close()
            self.assertEqual(it.ran, {"b1": 1})

    def test_a_leased_job_whose_worker_stays_silent_fails_and_never_runs_again(self) -> None:
        with installation(silence_ms=1500) as it:
            first = it.start()
            post_behind(first, "a1")
            wait_for(lambda: it.ran["a1"], "the job to be out")
            it.kill()
            second = it.start()
            self.assertEqual(post(second, "a1")[0], 500)
            self.assertEqual(post(second, "a1")[0], 500)  # kept as failed
            it.keeps.go.set()
            wait_for(lambda: it.keeps.statuses, "the late report to be answered")
            self.assertEqual(it.keeps.statuses, [204])
            self.assertEqual(post(second, "a1")[0], 500)  # somebody has been told
            self.assertEqual(it.ran, {"a1": 1})

    def test_a_full_disk_turns_durable_jobs_down_and_comes_back_without_a_restart(self) -> None:
        with installation() as it:
            program, pid = it.start(), it.programs[-1].process.pid
            it.keeps.go.set()
            self.assertEqual(post(program, "a1")[0], 200)
            limits = resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, -1))  # no file may grow
            wait_for(lambda: post(program, "a2")[0] == 503, "a turn-down")
            path = "/result-post"
            status, _, headers = http_call(program.edge, "POST", path, b"x", Idempotency_Key="a3")
            self.assertEqual(status, 503)
            self.assertIn("retry-after", headers)
            self.assertEqual(http_call(program.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            self.assertEqual(post(program, "a1"), (200, b"ran a1"))  # what was kept is told
            resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)
            wait_for(lambda: post(program, "a4")[0] == 200, "the disk to come back")
            self.assertTrue(any("is back" in line for line in program.lines))
            it.kill()
            second = it.start()
            self.assertEqual(post(second, "a4"), (200, b"ran a4"))
            self.assertEqual(it.ran["a4"], 1)
            self.assertTrue(all(count == 1 for count in it.ran.values()), it.ran)

    def test_damage_and_a_newer_format_keep_it_from_starting(self) -> None:
        with installation() as it:
            program = it.start()
            it.keeps.go.set()
            for name in ("a1", "a2", "a3"):
                post(program, name)
            it.kill()
            path = Path(it.folder.name) / "0000000000000001.seg"
            good = path.read_bytes()
            for at, text in ((60, "damaged at byte"), (8, "its format is")):
                bad = bytearray(good)
                bad[at] ^= 8
                path.write_bytes(bad)
                with self.assertRaisesRegex(AssertionError, text):
                    Program(it.discovery, durable=it.durable)
                done = eiderpin("jobs", "check", it.folder.name)
                self.assertIn(done.returncode, (1, 2))
                self.assertIn(text, done.stderr)
            path.write_bytes(good)
            for args in (("list",), ("check",)):
                done = eiderpin("jobs", *args, it.folder.name)
                self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("3 succeeded", done.stdout)
            shown = eiderpin("jobs", "show", it.folder.name, "a2")
            self.assertIn("leased to h1", shown.stdout)
            self.assertEqual(eiderpin("jobs", "show", it.folder.name, "nobody").returncode, 1)

    def test_sigterm_ends_it_when_durable_jobs_have_ended_and_their_answers_stay(self) -> None:
        with installation() as it:
            program = it.start()
            asked: list[tuple[int, bytes]] = []
            thread = threading.Thread(target=lambda: asked.append(post(program, "a1")))
            thread.start()
            wait_for(lambda: it.ran["a1"], "the job to be out")
            program.process.send_signal(signal.SIGTERM)
            it.keeps.go.set()
            self.assertEqual(program.process.wait(20), 0)
            thread.join(20)
            self.assertEqual(asked, [(200, b"ran a1")])
            self.assertEqual(post(it.start(), "a1"), (200, b"ran a1"))

    def test_a_worker_that_restarts_and_tells_of_a_lost_job_ends_its_lease(self) -> None:
        with installation() as it:
            program = it.start()
            post_behind(program, "a1")
            wait_for(lambda: it.ran["a1"], "the job to be out")
            it.kill()
            second = it.start()
            self.assertEqual(it.keeps.worker.tell("a1", "lost"), 204)
            self.assertEqual(post(second, "a1")[0], 500)  # it may have run
            self.assertEqual(it.ran, {"a1": 1})

    def test_the_ledger_changes_hands_in_an_upgrade_with_its_leases_and_clients(self) -> None:
        with side() as it, tempfile.TemporaryDirectory() as folder:
            durable = {"directory": folder, "classes": ["result-post"]}
            old = it.serving(durable=durable)
            self.assertEqual(post(old, "q1"), (200, b"h1 ran q1"))
            asked: list[tuple[int, bytes]] = []
            threads = [threading.Thread(target=lambda: asked.append(post(old, "s1"))) for _ in range(2)]
            for thread in threads:
                thread.start()
            wait_for(lambda: it.held.worker.ran["s1"], "the job to be out")
            new = it.serving(durable=durable)
            said(old, TOOK)
            # The old one has the ledger until it is to end; here such jobs are turned down meanwhile.
            self.assertEqual(post(new, "q2")[0], 503)
            self.assertEqual(http_call(new.edge, "POST", "/time-lookup", Req_Id="q3")[0], 200)
            old.process.send_signal(signal.SIGTERM)
            said(new, "recovered jobs: 0 place, 1 wait, 0 late")
            self.assertEqual(old.process.wait(20), 0)  # with its job still out, and its clients waiting
            self.assertEqual(asked, [])
            self.assertEqual(post(new, "q2"), (200, b"h1 ran q2"))
            it.held.go.set()
            for thread in threads:
                thread.join(20)
            self.assertEqual(asked, [(200, b"ran s1")] * 2)
            self.assertEqual(post(new, "s1"), (200, b"ran s1"))
            self.assertEqual(post(new, "q1"), (200, b"h1 ran q1"))
            self.assertEqual(max(it.held.worker.ran.values()), 1)

    def test_an_old_process_takes_the_ledger_back_from_a_new_one_that_dies(self) -> None:
        with side() as it, tempfile.TemporaryDirectory() as folder:
            durable = {"directory": folder, "classes": ["result-post"]}
            old = it.serving(durable=durable, fronts=("gearman",))
            peer = GearmanPeer(old.at["gearman"])
            peer.put(Kind.SUBMIT_JOB, b"time-lookup", b"l1", b"x")  # keeps the old one up: it cannot move
            peer.until(Kind.JOB_CREATED)
            client = post_behind(old, "s1")
            wait_for(lambda: it.held.worker.ran["s1"] and it.held.worker.ran["l1"], "the jobs to be out")
            new = it.serving(durable=durable)
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            said(new, "recovered jobs: 0 place, 1 wait, 0 late")
            wait_for(lambda: new.counters().get("in.joined"), "the client's connection to go over")
            new.process.kill()
            client.join(20)
            said(old, "recovered jobs: 0 place, 1 wait, 0 late")
            it.held.go.set()
            self.assertEqual(post(old, "s1"), (200, b"ran s1"))
            self.assertEqual(peer.until(Kind.WORK_COMPLETE).args[1], b"ran l1")
            peer.close()
            self.assertEqual(old.process.wait(20), 0)
            self.assertEqual(it.held.worker.ran["s1"], 1)

    def test_an_old_process_that_is_killed_leaves_its_leases_to_the_new_one(self) -> None:
        with side() as it, tempfile.TemporaryDirectory() as folder:
            durable = {"directory": folder, "classes": ["result-post"]}
            old = it.serving(durable=durable)
            post_behind(old, "s1")
            wait_for(lambda: it.held.worker.ran["s1"], "the job to be out")
            new = it.serving(durable=durable)
            said(old, TOOK)
            old.process.kill()
            said(new, "recovered jobs: 0 place, 1 wait, 0 late")
            it.held.go.set()
            wait_for(lambda: post(new, "s1") == (200, b"ran s1"), "the answer")
            self.assertEqual(it.held.worker.ran["s1"], 1)

    def test_posts_through_kills_and_disk_faults(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.crash_jobs", "--posts", "240", "--kills", "3",
             "--clients", "32", "--seed", "5", "--disk-faults"],
            cwd=ROOT, capture_output=True, text=True, timeout=120,
        )  # fmt: skip
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def test_a_second_owner_of_the_directory_is_refused_in_one_line(self) -> None:
        with installation() as it:
            it.start()
            with self.assertRaisesRegex(AssertionError, "another process owns it"):
                Program(it.discovery, durable=it.durable)
