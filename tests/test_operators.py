"""What staff do with a running program, over its door: calls, figures, drains."""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
import unittest
from typing import Any
from unittest import mock

import orjson

from eiderpin import configuration
from eiderpin.net.gearman import Kind
from tests.standins import SETTINGS, GearmanPeer, HttpWorker, Program, http_call, rest, running, wait_for

DOOR = "127.0.0.1:0"


def caller(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=20)


def call(address: str, *pieces: bytes) -> str:
    with caller(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in pieces:
            sock.sendall(piece)
        return rest(sock).decode()


class Door(unittest.TestCase):
    def test_each_line_gets_one_reply(self) -> None:
        cases: list[tuple[list[bytes], str]] = [
            ([b"ready\n"], "ok up 100%"),
            ([b"ready\r\n"], "ok up 100%"),
            ([b"re", b"ad", b"y", b"\r", b"\n"], "ok up 100%"),
            ([b"ready\nready\n"], "ok up 100%"),
            ([b"\n"], "fail which call?"),
            ([b"READY\n"], "fail no such call"),
            ([b"\xff\0\n"], "fail no such call"),
            ([b"x" * 300], "fail a call is one line"),
            ([b"x" * 200, b"y" * 90 + b"\n"], "fail a call is one line"),
        ]
        with running([HttpWorker("h1")], management=DOOR) as (program, _):
            for pieces, reply in cases:
                with self.subTest(pieces=pieces):
                    got = call(program.at["management"], *pieces)
                    self.assertTrue(got.startswith(reply) and got.count("\n") == 1, got)

    def test_it_is_not_ready_without_workers(self) -> None:
        with running([], management=DOOR) as (program, _):
            self.assertEqual(call(program.at["management"], b"ready\n"), "fail down\n")

    def test_silent_callers_are_dropped_and_keep_nobody_out(self) -> None:
        with running([HttpWorker("h1")], management=DOOR) as (program, _):
            silent = [caller(program.at["management"]) for _ in range(40)]
            silent[-1].sendall(b"rea")
            self.assertEqual(call(program.at["management"], b"ready\n"), "ok up 100%\n")
            self.assertEqual([rest(sock) for sock in silent], [b""] * 40)
            self.assertTrue(program.counters()["in.calls_silent"])
            for sock in silent:
                sock.close()

    def test_it_is_served_while_the_edge_has_no_room(self) -> None:
        with running([HttpWorker("h1")], management=DOOR, limits={"sockets": 96}) as (program, _):
            crowd = []
            for _ in range(200):
                crowd.append(caller(program.edge))
                crowd[-1].sendall(b"POST /time-lookup HTTP/1.1\r\nReq-Id: ")
            self.assertTrue(call(program.at["management"], b"ready\n").startswith("ok"))
            for sock in crowd:
                sock.close()

    def test_the_environment_names_it_too(self) -> None:
        said: dict[str, Any] = {
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS,
            "limits": {"sockets": 96},
        }  # fmt: skip
        config = configuration.read_config(orjson.dumps({**said, "management": "127.0.0.1:3"}))
        configuration.apply_environment(config)
        self.assertEqual(config.management, ("127.0.0.1", 3))
        with mock.patch.dict(os.environ, GW_MANAGEMENT="127.0.0.1:4"):
            configuration.apply_environment(config)
        self.assertEqual(config.management, ("127.0.0.1", 4))
        bad = mock.patch.dict(os.environ, GW_MANAGEMENT="nowhere")
        with bad, self.assertRaises(configuration.ConfigError):
            configuration.apply_environment(config)
        # The fewest descriptors that may be named still leave each side some.
        shares = configuration.shares(config)
        self.assertTrue(all(share >= 8 for share in shares), shares)


def figures(address: str) -> dict[str, Any]:
    line, eof, end = call(address, b"show-stat\n").split("\n")
    assert (eof, end) == ("eof", "")
    said: dict[str, Any] = json.loads(line)
    return said


def act(worker: HttpWorker, rid: str, handler: Any) -> None:
    """By the first letter of the id: run it, fail it, or take it and tell nothing."""
    if rid[0] == "s":
        worker.serve(rid, handler)
        return
    handler.say(202)
    if rid[0] == "f":
        worker.tell(rid, "failed")


class Numbers(unittest.TestCase):
    def test_each_job_counts_once_under_its_class_and_end(self) -> None:
        with running([HttpWorker("h1", act)], management=DOOR, limits={"sockets": 96}) as (program, _):
            door = program.at["management"]

            def ask(cls: str, rid: str, **headers: str) -> int:
                return http_call(program.edge, "POST", f"/{cls}", Req_Id=rid, **headers)[0]

            asked = [ask("time-lookup", f"s{i}") for i in range(3)]
            asked += [ask("result-post", "s9"), ask("result-post", "f1")]
            asked += [ask("time-lookup", "n1", Req_Deadline_Ms="1"), ask("time-lookup", "", Req_Cost="x")]
            self.assertEqual(asked, [200, 200, 200, 200, 500, 503, 400])
            got = figures(door)
            self.assertEqual(got["results"], {
                "time-lookup": {"succeeded": 3, "declined": 1, "aborted": 0},
                "result-post": {"succeeded": 1, "declined": 0, "aborted": 1},
            })  # fmt: skip
            self.assertEqual([got[k] for k in ("forwards", "outstanding", "discovered")], [5, 0, 1])
            # Jobs that wait fill the room; those past it are turned down before there is a request for them.
            most = configuration.shares(configuration.read_config(json.dumps(program.said).encode()))[1]
            held = [caller(program.edge) for _ in range(most)]
            for i, sock in enumerate(held):
                sock.sendall(b"POST /result-post HTTP/1.1\r\nReq-Id: w%d\r\nContent-Length: 0\r\n\r\n" % i)
            wait_for(lambda: figures(door)["outstanding"] == most, "the room to be taken")
            self.assertEqual(ask("time-lookup", "n2"), 503)
            self.assertEqual(figures(door)["results"]["time-lookup"]["declined"], 2)
            counters = program.counters()
            self.assertEqual(counters["answer.time-lookup.declined"], 2)
            for sock in held:
                sock.close()
            wait_for(lambda: figures(door)["outstanding"] == 0, "the jobs of clients that left to be dropped")

    def test_a_worker_that_fails_is_ejected_and_one_that_is_gone_not_discovered(self) -> None:
        workers = [HttpWorker(f"h{i}") for i in range(4)]
        with running(workers, management=DOOR) as (program, discovery):
            door = program.at["management"]
            self.assertEqual([figures(door)[k] for k in ("discovered", "ejected")], [4, 0])
            discovery.list("dead", 1)  # nobody listens there
            wait_for(lambda: figures(door)["discovered"] == 5, "the list to come")
            rids = iter(range(1000))

            def ejected() -> bool:
                http_call(program.edge, "POST", "/time-lookup", Req_Id=f"s{next(rids)}")
                return bool(figures(door)["ejected"] == 1)

            wait_for(ejected, "the dead worker to be avoided")
            discovery.list("dead", 1, "Gone")
            wait_for(lambda: figures(door)["discovered"] == 4, "it to leave the list")
            self.assertEqual(figures(door)["ejected"], 0)


ASK = b"POST /time-lookup HTTP/1.1\r\nReq-Id: %b\r\nContent-Length: 0\r\n\r\n"


def answer(sock: socket.socket) -> bytes:
    """One whole answer, of a connection that may stay open."""
    got, length = b"", 0
    while b"\r\n\r\n" not in got or len(got.partition(b"\r\n\r\n")[2]) < length:
        got += sock.recv(65536)
        length = int(got.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
    return got


def health(program: Program) -> bytes:
    return http_call(program.edge, "GET", "/_health")[1]


class Drains(unittest.TestCase):
    def test_a_drain_sends_clients_away_and_resume_undoes_it(self) -> None:
        go = threading.Event()

        def later(worker: HttpWorker, rid: str, handler: Any) -> None:
            if rid.startswith("q"):
                worker.serve(rid, handler)
                return
            handler.say(202)
            threading.Thread(target=lambda: (go.wait(20), worker.tell(rid, "done", result="r"))).start()

        worker = HttpWorker("h1", later)
        with running([worker], management=DOOR, fronts=("agent_check",)) as (program, _):
            door = program.at["management"]
            kept, fresh, half, busy, calls = (caller(program.edge) for _ in range(5))
            kept.sendall(ASK % b"q1")
            self.assertNotIn(b"Connection: close", answer(kept))
            half.sendall(ASK[:30])
            busy.sendall(ASK % b"slow1")
            news = b'{"id":"nobody","from":"h1","state":"started"}'
            callback = b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(news) + news
            calls.sendall(callback)
            answer(calls)
            wait_for(lambda: len(worker.seen) == 2, "the slow job to be out")
            for _ in range(2):
                self.assertTrue(call(door, b"drain\n").startswith("ok"))
            self.assertEqual((health(program), rest(caller(program.at["agent-check"]))), (b"drain\n",) * 2)
            self.assertTrue(call(door, b"ready\n").startswith("ok"))
            status, _, headers = http_call(program.edge, "POST", "/time-lookup", Req_Id="q2")
            self.assertEqual((status, headers.get("connection")), (200, "close"))
            # Used or never used, an idle connection ends; a job that is half sent is turned down.
            self.assertEqual((rest(kept), rest(fresh)), (b"", b""))
            self.assertTrue(rest(half).startswith(b"HTTP/1.1 503 "))
            calls.sendall(callback)
            self.assertNotIn(b"Connection: close", answer(calls))
            go.set()
            self.assertRegex(rest(busy), rb"(?s)HTTP/1.1 200 .*Connection: close.*\r\n\r\nr$")
            for _ in range(2):
                self.assertTrue(call(door, b"resume\n").startswith("ok"))
            self.assertRegex(health(program), rb"^up ")
            again = caller(program.edge)
            for rid in (b"q3", b"q4"):
                again.sendall(ASK % rid)
                self.assertNotIn(b"Connection: close", answer(again))
            for sock in (kept, fresh, half, busy, calls, again):
                sock.close()

    def test_sighup_leaves_a_drain_and_after_sigterm_there_is_no_way_back(self) -> None:
        with running([HttpWorker("h1")], management=DOOR) as (program, _):
            door = program.at["management"]
            call(door, b"drain\n")
            program.hang_up()
            wait_for(lambda: program.counters().get("in.reloads"), "the configuration to be read again")
            self.assertEqual(health(program), b"drain\n")
            call(door, b"resume\n")
            program.process.send_signal(signal.SIGTERM)
            wait_for(lambda: health(program) == b"drain\n", "the end to begin")
            self.assertEqual([call(door, line)[:4] for line in (b"drain\n", b"resume\n", b"ready\n")],
                             ["ok d", "fail", "fail"])  # fmt: skip
            self.assertEqual(health(program), b"drain\n")

    def test_idle_gearman_clients_are_sent_away_and_workers_stay(self) -> None:
        with running([], management=DOOR, fronts=("gearman",)) as (program, _):
            client, waiting, worker = (GearmanPeer(program.at["gearman"]) for _ in range(3))
            worker.put(Kind.CAN_DO, b"time-lookup")
            self.assertEqual(client.ask(Kind.ECHO_REQ, b"x").kind, Kind.ECHO_RES)
            self.assertEqual(waiting.ask(Kind.SUBMIT_JOB, b"time-lookup", b"u", b"").kind, Kind.JOB_CREATED)
            call(program.at["management"], b"drain\n")
            with self.assertRaises(EOFError):
                client.get()
            job = worker.ask(Kind.GRAB_JOB)
            while job.kind is Kind.NO_JOB:
                job = worker.ask(Kind.GRAB_JOB)
            worker.put(Kind.WORK_COMPLETE, job.args[0], b"done")
            self.assertEqual(waiting.until(Kind.WORK_COMPLETE).args[1], b"done")
            for peer in (client, waiting, worker):
                peer.close()
