"""An old and a new process on one inherited socket, with stand-ins of the project's own."""

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
from tests.standins import Discovery, GearmanPeer, HttpWorker, Inherited, Program, http_call, rest, wait_for
from tests.test_operators import ASK, DOOR, answer, call, caller, figures


class Held:
    """A worker that takes jobs and ends them when it is told to."""

    def __init__(self) -> None:
        self.go = threading.Event()
        self.worker = HttpWorker("h1", self.act)
        self.statuses: list[int] = []
        self.ended = False  # the test is over, and its dispatchers are killed in the middle of what they do

    def act(self, worker: HttpWorker, request_id: str, handler: Any) -> None:
        if request_id.startswith("q"):
            worker.serve(request_id, handler)
            return
        worker.ran[request_id] += 1
        handler.say(202)
        worker.tell(request_id, "started")

        def later() -> None:
            self.go.wait(20)
            try:
                self.statuses.append(worker.tell(request_id, "done", result=f"ran {request_id}"))
            except OSError:
                if not self.ended:
                    raise

        threading.Thread(target=later, daemon=True).start()


class Side:
    """One address, and the processes that come to serve it."""

    def __init__(self, depth: int = 0) -> None:
        self.held = Held()
        self.discovery = Discovery()
        self.discovery.list("h1", self.held.worker.port)
        self.inherited = Inherited(depth)
        self.programs: list[Program] = []

    def start(self, **config: Any) -> Program:
        program = Program(self.discovery, inherits=self.inherited, management=DOOR, **config)
        self.programs.append(program)
        self.held.worker.back = program.edge
        return program

    def serving(self, **config: Any) -> Program:
        program = self.start(**config)
        wait_for(lambda: call(program.at["management"], b"ready\n").startswith("ok"), "it to serve")
        return program

    def ask(self, request_id: bytes) -> socket.socket:
        sock = caller(self.programs[0].edge)
        sock.sendall(ASK.replace(b"time-lookup", b"result-post") % request_id)
        wait_for(lambda: self.held.worker.ran[request_id.decode()], "the job to be out")
        return sock

    @property
    def link(self) -> str:
        name = self.programs[0].edge.replace(":", "-")
        return os.path.join(self.inherited.folder.name, f"eiderpin-{name}.link")


@contextlib.contextmanager
def side(depth: int = 0) -> Iterator[Side]:
    it = Side(depth)
    try:
        yield it
        lines = [line for program in it.programs for line in program.lines]
        assert not [line for line in lines if "Traceback" in line or "invariant" in line], lines
    finally:
        it.held.ended = True
        it.held.go.set()
        for program in it.programs:
            program.process.kill()
            program.stop()
        it.discovery.stop()
        it.held.worker.stop()
        it.inherited.close()


def said(program: Program, text: str, times: int = 1) -> None:
    wait_for(lambda: sum(text in line for line in program.lines) >= times, text)


def scripted_successor(path: str) -> tuple[socket.socket, socket.socket, int]:
    """A newer process that serves, as far as the link shows: its listener, its link and its file's number."""
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


class Upgrade(unittest.TestCase):
    def test_the_new_process_takes_the_clients_and_the_old_one_finishes_and_ends(self) -> None:
        for depth in (0, 120):  # a socket's name is short; the folder's need not be
            with self.subTest(depth=depth), side(depth) as it:
                old = it.serving()
                idle = caller(old.edge)
                idle.sendall(ASK % b"q1")
                self.assertIn(b"ran q1", answer(idle))
                slow = it.ask(b"s1")
                new = it.serving()
                said(old, TOOK)
                self.assertEqual(rest(idle), b"")
                asked = [http_call(new.edge, "POST", "/time-lookup", Req_Id=f"q{i}")[0] for i in range(2, 12)]
                self.assertEqual(asked, [200] * 10)
                self.assertEqual(figures(new.at["management"])["results"]["time-lookup"]["succeeded"], 10)
                for line in (b"drain\n", b"resume\n"):
                    self.assertTrue(call(old.at["management"], line).startswith("fail a newer process"))
                # Its worker calls back at the address that both have; the new process passes it on.
                it.held.go.set()
                self.assertTrue(rest(slow).endswith(b"ran s1"))
                self.assertEqual(old.process.wait(20), 0)
                self.assertEqual(it.held.statuses, [204])
                self.assertEqual(http_call(new.edge, "POST", "/time-lookup", Req_Id="q12")[0], 200)

    def test_jobs_that_outlast_the_old_process_go_over_with_their_clients(self) -> None:
        with side() as it:
            old = it.serving()
            slow = [it.ask(b"s%d" % i) for i in range(3)]
            gone = it.ask(b"s9")
            new = it.serving()
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)  # though its jobs have not ended
            self.assertEqual(figures(new.at["management"])["outstanding"], 4)
            gone.close()
            wait_for(lambda: figures(new.at["management"])["outstanding"] == 3, "one client's leaving")
            it.held.go.set()
            self.assertEqual([answer(sock)[-6:] for sock in slow], [b"ran s0", b"ran s1", b"ran s2"])
            self.assertEqual(set(it.held.worker.ran.values()), {1})
            for sock in slow:
                sock.close()

    def test_both_start_and_share_the_fewest_descriptors(self) -> None:
        least = {"sockets": 96, "memory_mb": 16}
        with side() as it:
            old = it.serving(limits=least)
            slow = [it.ask(b"s%d" % i) for i in range(4)]
            new = it.serving(limits=least)
            said(old, TOOK)
            more = [caller(new.edge) for _ in range(60)]
            for i, sock in enumerate(more):
                sock.sendall(ASK.replace(b"time-lookup", b"result-post") % b"m%d" % i)
            wait_for(lambda: figures(new.at["management"])["outstanding"] >= 10, "jobs to be taken")
            both = sum(len(os.listdir(f"/proc/{p.process.pid}/fd")) for p in (old, new))
            self.assertLessEqual(both, 96)
            it.held.go.set()
            self.assertEqual([answer(sock)[-6:] for sock in slow], [b"ran s%d" % i for i in range(4)])
            for sock in slow + more:
                sock.close()

    def test_further_fronts_go_over_too(self) -> None:
        with side() as it:
            old = it.serving(fronts=("gearman", "agent_check"))
            at = {"gearman": old.at["gearman"], "agent_check": old.at["agent-check"]}
            waiting = GearmanPeer(at["gearman"])
            waiting.ask(Kind.SUBMIT_JOB, b"result-post", b"s1", b"")
            wait_for(lambda: it.held.worker.ran, "the Gearman job to be out")
            new = it.serving(fronts=at)
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            for _ in range(5):
                self.assertRegex(rest(caller(at["agent_check"])), rb"^up ")
            client = GearmanPeer(at["gearman"])
            client.put(Kind.SUBMIT_JOB, b"time-lookup", b"q2", b"")
            self.assertEqual(client.until(Kind.WORK_COMPLETE).args[1][-6:], b"ran q2")
            self.assertEqual(figures(new.at["management"])["results"]["time-lookup"]["succeeded"], 1)
            # A Gearman client's job stays where it is, and is answered there.
            it.held.go.set()
            self.assertEqual(waiting.until(Kind.WORK_COMPLETE).args[1][-6:], b"ran s1")
            self.assertEqual(old.process.wait(20), 0)
            client.close()
            waiting.close()

    def test_the_old_process_serves_on_when_the_new_one_is_killed(self) -> None:
        with side() as it:
            old = it.serving()
            for times, number in enumerate((signal.SIGKILL, signal.SIGTERM), 1):
                slow = it.ask(b"s%d" % number)
                it.serving()
                said(old, TOOK, times)
                it.programs[-1].process.send_signal(number)
                said(old, "taking clients again", times)
                self.assertEqual(http_call(old.edge, "POST", "/time-lookup", Req_Id=f"q{number}")[0], 200)
                self.assertTrue(call(old.at["management"], b"resume\n").startswith("ok"))
                slow.close()
            # It can still be found by the next one.
            it.serving()
            wait_for(lambda: old.process.poll() == 0, "the old one to end")

    def test_a_dying_successor_is_replaced_in_whatever_order_it_closes(self) -> None:
        for order in ("link first", "listener first", "a third took its place"):
            with self.subTest(order=order), side() as it:
                old = it.serving()
                listener, link, published = scripted_successor(it.link)
                said(old, TOOK)
                ends = [link, listener] if order != "listener first" else [listener, link]
                if order == "a third took its place":
                    third = socket.socket(socket.AF_UNIX)
                    third.bind(it.link + ".third")
                    os.rename(it.link + ".third", it.link)
                    ends.append(third)
                    published = os.lstat(it.link).st_ino
                ends[0].close()
                if order == "listener first":
                    time.sleep(0.1)  # its file stands there, and nobody answers: the link is all that counts
                    self.assertEqual(os.lstat(it.link).st_ino, published)
                    ends[1].close()
                said(old, "taking clients again")
                if order == "a third took its place":
                    self.assertEqual(os.lstat(it.link).st_ino, published)
                else:
                    it.serving()
                    self.assertEqual(old.process.wait(20), 0)
                for end in ends:
                    end.close()

    def test_a_starting_process_looks_again_where_it_finds_a_dying_one(self) -> None:
        for closes in ("refuses", "ends without a word"):
            with self.subTest(closes=closes), side() as it:
                old = it.serving()
                os.rename(it.link, it.link + ".kept")
                dying = socket.socket(socket.AF_UNIX)
                dying.bind(it.link)
                if closes != "refuses":
                    dying.listen(1)
                new = it.start()
                if closes != "refuses":
                    dying.accept()[0].close()
                os.rename(it.link + ".kept", it.link)
                self.assertEqual(old.process.wait(20), 0)
                self.assertEqual(http_call(new.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
                dying.close()

    def test_a_new_process_serves_alone_where_the_old_one_was_killed(self) -> None:
        with side() as it:
            old = it.serving()
            old.process.kill()
            old.process.wait()
            self.assertTrue(os.path.exists(it.link))  # stale
            new = it.serving()
            self.assertEqual(http_call(new.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            last = it.serving()
            said(new, TOOK)
            new.process.kill()
            self.assertEqual(http_call(last.edge, "POST", "/time-lookup", Req_Id="q2")[0], 200)

    def test_a_new_process_that_cannot_serve_yet_takes_nothing(self) -> None:
        with side() as it:
            old = it.serving()
            it.discovery.silent = True
            new = it.start()
            self.assertTrue(call(new.at["management"], b"ready\n").startswith("fail"))
            self.assertEqual(http_call(new.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            self.assertFalse(any(TOOK in line for line in old.lines))
            new.process.send_signal(signal.SIGTERM)
            self.assertEqual(new.process.wait(20), 0)
            self.assertTrue(call(old.at["management"], b"ready\n").startswith("ok"))

    def test_an_old_process_told_to_end_serves_until_the_new_one_can(self) -> None:
        with side() as it:
            old = it.serving()
            it.discovery.silent = True
            new = it.start()
            old.process.send_signal(signal.SIGTERM)
            time.sleep(1.0)  # alone it would have ended by now
            self.assertEqual(http_call(old.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            it.discovery.silent = False
            self.assertEqual(old.process.wait(20), 0)
            wait_for(lambda: call(new.at["management"], b"ready\n").startswith("ok"), "it to serve")
            self.assertEqual(http_call(new.edge, "POST", "/time-lookup", Req_Id="q2")[0], 200)

    def test_nonsense_on_the_link_harms_nobody(self) -> None:
        hello = b'{"hello":1,"ids":[]}\n'
        cases = [
            b"nonsense\n", b"[]\n", b"{}\n", b"\xff\n", hello + b'{"adopt":{},"ask":1}\n',
            hello + b'{"state":{}}\n', hello + b'{"learned":{"x":{}}}\n', hello + b'{"adopted":7}\n',
            hello + b'{"news":[],"ask":1}\n',
            hello + b'{"serving":true}\n{"state":{"holds":{"h1":[-1,0]}}}\n',
        ]  # fmt: skip
        with side() as it:
            old = it.serving()
            for case in cases:
                with self.subTest(case=case), socket.socket(socket.AF_UNIX) as sock:
                    sock.settimeout(20)
                    sock.connect(it.link)
                    sock.sendall(case)
                    with contextlib.suppress(ConnectionResetError):
                        while sock.recv(65536):
                            pass
            self.assertEqual(http_call(old.edge, "POST", "/time-lookup", Req_Id="q1")[0], 200)
            # Cut at every byte, what makes sense is understood; a call-back of nobody's id is answered.
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(20)
                sock.connect(it.link)
                news = {"news": {"id": "x", "state": "done", "from": "h1"}, "ask": 5}
                for byte in hello + json.dumps(news).encode() + b"\n":
                    sock.send(bytes([byte]))
                got = b""
                while b'{"told":5}' not in got:
                    got += sock.recv(65536)

    def test_a_descriptor_that_does_not_listen_is_a_bad_configuration(self) -> None:
        config = configuration.Config("n", ("", 1), ("", 1), 0, 96, 16.0, None, api.Settings([]))
        with socket.socket() as sock:
            for number in (str(sock.fileno()), "9999", "-1", "three", "9" * 30):
                with mock.patch.dict(os.environ, GW_FD=number), self.assertRaises(configuration.ConfigError):
                    configuration.read_environment(config)
