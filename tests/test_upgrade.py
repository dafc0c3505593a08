"""Upgrades: an old and a new process on one inherited socket, with stand-ins for discovery and a worker."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import threading
import time
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from eiderpin import configuration
from eiderpin import interface as api
from eiderpin.net.gearman import Kind
from tests.standins import (
    Discovery,
    GearmanPeer,
    HttpWorker,
    InheritedSocket,
    Program,
    http_call,
    read_to_end,
    wait_for,
)
from tests.test_operators import ASK, DOOR, answer, call, caller, figures

KNOWN_WITHIN_MS = 6000.0  # for a change of the list; required by the operators of the platform
DRAIN_GRACE_MS = 550.0  # the settings' grace, and 50 ms on sockets


class HoldingWorker:
    """A worker that accepts jobs, and completes those whose ids don't begin with "q" once `go` is set."""

    def __init__(self) -> None:
        self.go = threading.Event()
        self.worker = HttpWorker("h1", self.handle_job)
        self.statuses: list[int] = []  # answers to its final call-backs
        self.ended = False  # the test is over, and its dispatchers are being killed

    def handle_job(self, worker: HttpWorker, request_id: str, handler: Any) -> None:
        """Accept a job, and complete it at once or when `go` is set."""
        if request_id.startswith("q"):
            worker.serve(request_id, handler)
            return
        worker.ran[request_id] += 1
        handler.say(202)
        worker.send_callback(request_id, "started")

        def finish_later() -> None:
            self.go.wait(20)
            try:
                self.statuses.append(worker.send_callback(request_id, "done", result=f"ran {request_id}"))
            except OSError:
                if not self.ended:
                    raise

        threading.Thread(target=finish_later, daemon=True).start()


class UpgradeSite:
    """An address, discovery and a worker, and the processes that serve the address one after the other.

    `depth` is the number of characters by which the path of its directory is longer.
    """

    def __init__(self, depth: int = 0) -> None:
        self.held = HoldingWorker()
        self.discovery = Discovery()
        self.discovery.list("h1", self.held.worker.port)
        self.inherited = InheritedSocket(depth)
        self.programs: list[Program] = []

    def start(self, **config: Any) -> Program:
        """Start a process."""
        program = Program(self.discovery, inherits=self.inherited, management=DOOR, **config)
        self.programs.append(program)
        self.held.worker.callback_address = program.http_address
        return program

    def serving(self, **config: Any) -> Program:
        """Start a process, and wait until it is ready to serve."""
        program = self.start(**config)
        wait_for(lambda: call(program.at["management"], b"ready\n").startswith("ok"), "it to serve")
        return program

    def start_job(self, request_id: bytes) -> socket.socket:
        """Send a job, wait until it runs at the worker, and return the client's socket."""
        sock = caller(self.programs[0].http_address)
        sock.sendall(ASK.replace(b"time-lookup", b"result-post") % request_id)
        wait_for(lambda: self.held.worker.ran[request_id.decode()], "the job to be out")
        return sock

    @property
    def link_path(self) -> str:
        """The path of the Unix socket that links the old and the new process."""
        name = self.programs[0].http_address.replace(":", "-")
        return os.path.join(self.inherited.folder.name, f"eiderpin-{name}.link")


@contextlib.contextmanager
def side(depth: int = 0) -> Iterator[UpgradeSite]:
    """An `UpgradeSite`; in the end no process may have logged a traceback or a broken invariant."""
    site = UpgradeSite(depth)
    try:
        yield site
        lines = [line for program in site.programs for line in program.lines]
        assert not [line for line in lines if "Traceback" in line or "invariant" in line], lines
    finally:
        site.held.ended = True
        site.held.go.set()
        for program in site.programs:
            program.process.kill()
            program.stop()
        site.discovery.stop()
        site.held.worker.stop()
        site.inherited.close()


def said(program: Program, text: str, times: int = 1) -> None:
    """Wait until so many lines of the program's log contain `text`."""
    wait_for(lambda: sum(text in line for line in program.lines) >= times, text)


def start_scripted_successor(path: str) -> tuple[socket.socket, socket.socket, int]:
    """Act as a newer process that has begun to serve; return its listener, its link and its file's inode."""
    link, listener = socket.socket(socket.AF_UNIX), socket.socket(socket.AF_UNIX)
    link.connect(path)
    listener.bind(path + ".new")
    listener.listen(8)
    at = os.lstat(path + ".new")
    os.rename(path + ".new", path)
    link.sendall(
        b'{"hello":1,"ids":[]}\n{"state":{"holds":{},"sockets":9,"readiness":"up 99%%"}}\n'
        b'{"serving":true,"published":[%d,%d,%d]}\n' % (at.st_dev, at.st_ino, at.st_mtime_ns)
    )
    return listener, link, at.st_ino


TOOK = "a newer process takes the clients"


class UpgradeWhileDiscoveryIsSlow(unittest.TestCase):
    """Each answer of discovery takes 1 s."""

    def test_a_new_process_has_a_list_of_its_own_and_learns_of_drains(self) -> None:
        """Guards against a successor whose calls are all closed before their answers come."""
        with side() as processes:
            other = HttpWorker("h2")
            processes.discovery.list("h2", other.port)
            processes.serving()
            processes.discovery.delay_seconds = 1.0
            new = processes.serving()
            other.callback_address = new.http_address
            said(processes.programs[0], TOOK)
            processes.discovery.list("h1", processes.held.worker.port, "Terminating")
            time.sleep((KNOWN_WITHIN_MS + DRAIN_GRACE_MS) / 1000)
            held = len(processes.held.worker.requests)
            for number in range(10):
                headers = {"Req_Id": f"q{number}", "Req_Deadline_Ms": "3000"}
                self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", **headers)[0], 200)
            self.assertEqual(len(processes.held.worker.requests), held)
            self.assertGreater(new.counters()["in.lists"], 0)
            other.stop()


class Upgrade(unittest.TestCase):
    """Handover between processes, with each of them failing at some moment."""

    def test_the_new_process_takes_the_clients_and_the_old_one_finishes_and_ends(self) -> None:
        """During an upgrade no request may fail: idle clients are closed in order, new ones are served by the
        new process, and the old one answers its job before it exits."""
        for depth in (0, 120):  # the address of a Unix socket is limited to about 100 bytes
            with self.subTest(depth=depth), side(depth) as site:
                old = site.serving()
                idle = caller(old.http_address)
                idle.sendall(ASK % b"q1")
                self.assertIn(b"ran q1", answer(idle))
                waiting_client = site.start_job(b"s1")
                new = site.serving()
                said(old, TOOK)
                self.assertEqual(read_to_end(idle), b"")
                asked = [
                    http_call(new.http_address, "POST", "/time-lookup", Req_Id=f"q{i}")[0]
                    for i in range(2, 12)
                ]
                self.assertEqual(asked, [200] * 10)
                self.assertEqual(figures(new.at["management"])["results"]["time-lookup"]["succeeded"], 10)
                for line in (b"drain\n", b"resume\n"):
                    self.assertTrue(call(old.at["management"], line).startswith("fail a newer process"))
                # The worker calls back at the address that both share; the new process forwards it.
                site.held.go.set()
                self.assertTrue(read_to_end(waiting_client).endswith(b"ran s1"))
                self.assertEqual(old.process.wait(20), 0)
                self.assertEqual(site.held.statuses, [204])
                self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", Req_Id="q12")[0], 200)

    def test_jobs_that_outlast_the_old_process_are_transferred_with_their_clients(self) -> None:
        """The old process must exit in time though its jobs still run; none may be lost or run twice."""
        with side() as site:
            old = site.serving()
            waiting_clients = [site.start_job(b"s%d" % i) for i in range(3)]
            leaving_client = site.start_job(b"s9")
            new = site.serving()
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)  # though its jobs have not ended
            self.assertEqual(figures(new.at["management"])["outstanding"], 4)
            leaving_client.close()
            wait_for(lambda: figures(new.at["management"])["outstanding"] == 3, "the client's leaving")
            site.held.go.set()
            self.assertEqual(
                [answer(sock)[-6:] for sock in waiting_clients], [b"ran s0", b"ran s1", b"ran s2"]
            )
            self.assertEqual(set(site.held.worker.ran.values()), {1})
            for sock in waiting_clients:
                sock.close()

    def test_both_processes_together_stay_within_the_descriptor_limit(self) -> None:
        """Checked with the lowest limits that the settings allow, and with many clients."""
        least = {"sockets": 96, "memory_mb": 16}
        with side() as site:
            old = site.serving(limits=least)
            waiting_clients = [site.start_job(b"s%d" % i) for i in range(4)]
            new = site.serving(limits=least)
            said(old, TOOK)
            more = [caller(new.http_address) for _ in range(60)]
            for i, sock in enumerate(more):
                sock.sendall(ASK.replace(b"time-lookup", b"result-post") % b"m%d" % i)
            wait_for(lambda: figures(new.at["management"])["outstanding"] >= 10, "jobs to be taken")
            both = sum(len(os.listdir(f"/proc/{p.process.pid}/fd")) for p in (old, new))
            self.assertLessEqual(both, 96)
            site.held.go.set()
            self.assertEqual(
                [answer(sock)[-6:] for sock in waiting_clients], [b"ran s%d" % i for i in range(4)]
            )
            for sock in waiting_clients + more:
                sock.close()

    def test_the_gearman_front_and_the_agent_check_are_handed_over_too(self) -> None:
        """The new process must take over all listeners, and a Gearman job must not be lost."""
        with side() as site:
            old = site.serving(fronts=("gearman", "agent_check"))
            at = {"gearman": old.at["gearman"], "agent_check": old.at["agent-check"]}
            waiting = GearmanPeer(at["gearman"])
            waiting.ask(Kind.SUBMIT_JOB, b"result-post", b"s1", b"")
            wait_for(lambda: site.held.worker.ran, "the Gearman job to be out")
            new = site.serving(fronts=at)
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            for _ in range(5):
                self.assertRegex(read_to_end(caller(at["agent_check"])), rb"^up ")
            client = GearmanPeer(at["gearman"])
            client.put(Kind.SUBMIT_JOB, b"time-lookup", b"q2", b"")
            self.assertEqual(client.wait_for_packet(Kind.WORK_COMPLETE).args[1][-6:], b"ran q2")
            self.assertEqual(figures(new.at["management"])["results"]["time-lookup"]["succeeded"], 1)
            # The connection of a Gearman client is not transferred: the old process answers it.
            site.held.go.set()
            self.assertEqual(waiting.wait_for_packet(Kind.WORK_COMPLETE).args[1][-6:], b"ran s1")
            self.assertEqual(old.process.wait(20), 0)
            client.close()
            waiting.close()

    def test_the_old_process_serves_on_when_the_new_one_is_killed(self) -> None:
        """A new version that dies must not take the service down; the next one can still be started."""
        with side() as site:
            old = site.serving()
            for times, number in enumerate((signal.SIGKILL, signal.SIGTERM), 1):
                waiting_client = site.start_job(b"s%d" % number)
                site.serving()
                said(old, TOOK, times)
                site.programs[-1].process.send_signal(number)
                said(old, "taking clients again", times)
                self.assertEqual(
                    http_call(old.http_address, "POST", "/time-lookup", Req_Id=f"q{number}")[0], 200
                )
                self.assertTrue(call(old.at["management"], b"resume\n").startswith("ok"))
                waiting_client.close()
            # The next process still finds it.
            site.serving()
            wait_for(lambda: old.process.poll() == 0, "the old one to end")

    def test_the_old_process_takes_over_again_in_whatever_order_its_successor_closes(self) -> None:
        """A dying process closes its link and its listener in any order. Its socket file must be replaced by
        that of the old process, but not if a third process has published its own meanwhile."""
        for closing_order in ("link first", "listener first", "a third took its place"):
            with self.subTest(closing_order=closing_order), side() as site:
                old = site.serving()
                listener, link, published = start_scripted_successor(site.link_path)
                said(old, TOOK)
                ends = [link, listener] if closing_order != "listener first" else [listener, link]
                if closing_order == "a third took its place":
                    third = socket.socket(socket.AF_UNIX)
                    third.bind(site.link_path + ".third")
                    os.rename(site.link_path + ".third", site.link_path)
                    ends.append(third)
                    published = os.lstat(site.link_path).st_ino
                ends[0].close()
                if closing_order == "listener first":
                    time.sleep(0.1)  # nobody answers at its file any more, but the link is still open
                    self.assertEqual(os.lstat(site.link_path).st_ino, published)
                    ends[1].close()
                said(old, "taking clients again")
                if closing_order == "a third took its place":
                    self.assertEqual(os.lstat(site.link_path).st_ino, published)
                else:
                    site.serving()
                    self.assertEqual(old.process.wait(20), 0)
                for end in ends:
                    end.close()

    def test_a_starting_process_repeats_its_lookup_where_it_finds_a_dying_one(self) -> None:
        """The socket file may be that of a dying process, whose predecessor is about to publish its own."""
        for behaviour in ("refuses", "ends without a word"):
            with self.subTest(behaviour=behaviour), side() as site:
                old = site.serving()
                os.rename(site.link_path, site.link_path + ".kept")
                dying = socket.socket(socket.AF_UNIX)
                dying.bind(site.link_path)
                if behaviour != "refuses":
                    dying.listen(1)
                new = site.start()
                if behaviour != "refuses":
                    dying.accept()[0].close()
                os.rename(site.link_path + ".kept", site.link_path)
                self.assertEqual(old.process.wait(20), 0)
                self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
                dying.close()

    def test_a_new_process_serves_alone_where_the_old_one_was_killed(self) -> None:
        """The stale socket file of the killed process must not keep the new one from serving."""
        with side() as site:
            old = site.serving()
            old.process.kill()
            old.process.wait()
            self.assertTrue(os.path.exists(site.link_path))  # stale
            new = site.serving()
            self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            last = site.serving()
            said(new, TOOK)
            new.process.kill()
            self.assertEqual(http_call(last.http_address, "POST", "/time-lookup", Req_Id="q2")[0], 200)

    def test_a_new_process_that_cannot_serve_yet_takes_no_clients(self) -> None:
        """Without an answer from discovery it knows no workers: the old process must go on serving."""
        with side() as site:
            old = site.serving()
            site.discovery.silent = True
            new = site.start()
            self.assertTrue(call(new.at["management"], b"ready\n").startswith("fail"))
            self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            self.assertFalse(any(TOOK in line for line in old.lines))
            new.process.send_signal(signal.SIGTERM)
            self.assertEqual(new.process.wait(20), 0)
            self.assertTrue(call(old.at["management"], b"ready\n").startswith("ok"))

    def test_a_new_process_that_starts_in_an_outage_serves_by_the_list_of_the_old_one(self) -> None:
        """The old process knows the list, and is told to end: a new one that holds its stored list back would
        serve nobody. But it must not send to a worker that only its stored list has in service."""
        with side() as site:
            drained = HttpWorker("h0")
            site.discovery.list("h0", drained.port)
            known = {"generation": 1, "reset": True, "instances": list(site.discovery.entries.values())}
            site.discovery.list("h0", drained.port, "Terminating")
            old = site.serving()
            site.discovery.silent = True
            site.discovery.list("h1", site.held.worker.port)  # ends the watches that are under way
            new = site.serving(known=known)
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            statuses = [
                http_call(new.http_address, "POST", "/time-lookup", Req_Id=f"q{i}")[0] for i in range(10)
            ]
            self.assertEqual(statuses, [200] * 10)
            self.assertEqual(drained.ran, {})
            drained.stop()

    def test_an_old_process_that_is_terminated_serves_until_the_new_one_can(self) -> None:
        """Otherwise there would be a time in which nobody serves."""
        with side() as site:
            old = site.serving()
            site.discovery.silent = True
            new = site.start()
            old.process.send_signal(signal.SIGTERM)
            time.sleep(1.0)  # without a successor it would have exited by now
            self.assertEqual(http_call(old.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            site.discovery.silent = False
            self.assertEqual(old.process.wait(20), 0)
            wait_for(lambda: call(new.at["management"], b"ready\n").startswith("ok"), "it to serve")
            self.assertEqual(http_call(new.http_address, "POST", "/time-lookup", Req_Id="q2")[0], 200)

    def test_invalid_messages_on_the_link_only_close_it(self) -> None:
        """Whatever connects to the socket, the old process must serve on without an error."""
        hello = b'{"hello":1,"ids":[]}\n'
        cases = [
            b"nonsense\n", b"[]\n", b"{}\n", b"\xff\n", hello + b'{"adopt":{},"ask":1}\n',
            hello + b'{"state":{}}\n', hello + b'{"learned":{"x":{}}}\n', hello + b'{"adopted":7}\n',
            hello + b'{"news":[],"ask":1}\n',
            hello + b'{"serving":true}\n{"state":{"holds":{"h1":[-1,0]}}}\n',
        ]  # fmt: skip
        with side() as site:
            old = site.serving()
            for case in cases:
                with self.subTest(case=case), socket.socket(socket.AF_UNIX) as sock:
                    sock.settimeout(20)
                    sock.connect(site.link_path)
                    sock.sendall(case)
                    with contextlib.suppress(ConnectionResetError):
                        while sock.recv(65536):
                            pass
            self.assertEqual(http_call(old.http_address, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            # Valid messages are understood though they arrive byte by byte; a call-back is answered though
            # nobody knows its id.
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(20)
                sock.connect(site.link_path)
                forwarded = {"news": {"id": "x", "state": "done", "from": "h1"}, "ask": 5}
                for byte in hello + json.dumps(forwarded).encode() + b"\n":
                    sock.send(bytes([byte]))
                received = b""
                while b'{"told":5}' not in received:
                    received += sock.recv(65536)

    def test_a_descriptor_that_does_not_listen_is_a_configuration_error(self) -> None:
        """GW_FD must name a listening socket; anything else must be refused at the start."""
        config = configuration.Config("n", ("", 1), ("", 1), 0, 96, 16.0, None, api.Settings([]))
        with socket.socket() as sock:
            for number in (str(sock.fileno()), "9999", "-1", "three", "9" * 30):
                with mock.patch.dict(os.environ, GW_FD=number), self.assertRaises(configuration.ConfigError):
                    configuration.apply_environment(config)
