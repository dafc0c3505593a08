"""The management API of a running dispatcher: calls, figures and drains."""

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
from tests.standins import (
    SETTINGS,
    GearmanPeer,
    HttpWorker,
    Program,
    http_call,
    read_to_end,
    running_program,
    wait_for,
)

DOOR = "127.0.0.1:0"


def caller(address: str) -> socket.socket:
    """A connection to `address`."""
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=20)


def call(address: str, *pieces: bytes) -> str:
    """Send a call, piece by piece, and return all that is sent back until the connection is closed."""
    with caller(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in pieces:
            sock.sendall(piece)
        return read_to_end(sock).decode()


class ManagementCalls(unittest.TestCase):
    def test_each_call_gets_one_line_in_reply(self) -> None:
        """A call may come in pieces, with CR LF, with further lines, or malformed; each gets one reply."""
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
        with running_program([HttpWorker("h1")], management=DOOR) as (program, _):
            for pieces, reply in cases:
                with self.subTest(pieces=pieces):
                    got = call(program.at["management"], *pieces)
                    self.assertTrue(got.startswith(reply) and got.count("\n") == 1, got)

    def test_a_dispatcher_without_workers_is_not_ready(self) -> None:
        """A dispatcher that calls itself ready without workers would be sent requests that it must reject."""
        with running_program([], management=DOOR) as (program, _):
            self.assertEqual(call(program.at["management"], b"ready\n"), "fail down\n")

    def test_idle_callers_are_dropped_and_block_no_others(self) -> None:
        """Callers that send nothing, or half a call, must not use up the few connections of the API."""
        with running_program([HttpWorker("h1")], management=DOOR) as (program, _):
            silent = [caller(program.at["management"]) for _ in range(40)]
            silent[-1].sendall(b"rea")
            self.assertEqual(call(program.at["management"], b"ready\n"), "ok up 100%\n")
            self.assertEqual([read_to_end(sock) for sock in silent], [b""] * 40)
            self.assertTrue(program.counters()["in.calls_silent"])
            for sock in silent:
                sock.close()

    def test_management_is_served_while_the_http_front_is_full(self) -> None:
        """Clients that use up the descriptors must not lock the operators out."""
        with running_program([HttpWorker("h1")], management=DOOR, limits={"sockets": 96}) as (program, _):
            crowd = []
            for _ in range(200):
                crowd.append(caller(program.http_address))
                crowd[-1].sendall(b"POST /time-lookup HTTP/1.1\r\nReq-Id: ")
            self.assertTrue(call(program.at["management"], b"ready\n").startswith("ok"))
            for sock in crowd:
                sock.close()

    def test_the_environment_overrides_the_management_address(self) -> None:
        """Processes that share a file need different addresses; an invalid one must be an error."""
        document: dict[str, Any] = {
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS,
            "limits": {"sockets": 96},
        }  # fmt: skip
        config = configuration.read_config(orjson.dumps({**document, "management": "127.0.0.1:3"}))
        configuration.apply_environment(config)
        self.assertEqual(config.management, ("127.0.0.1", 3))
        with mock.patch.dict(os.environ, GW_MANAGEMENT="127.0.0.1:4"):
            configuration.apply_environment(config)
        self.assertEqual(config.management, ("127.0.0.1", 4))
        invalid = mock.patch.dict(os.environ, GW_MANAGEMENT="nowhere")
        with invalid, self.assertRaises(configuration.ConfigError):
            configuration.apply_environment(config)
        # With the smallest limit of descriptors, each kind of connection still gets some.
        limits = configuration.allocate_descriptors(config)
        self.assertTrue(all(limit >= 8 for limit in limits), limits)


def figures(address: str) -> dict[str, Any]:
    """The figures that `show-stat` replies."""
    line, eof, end = call(address, b"show-stat\n").split("\n")
    assert (eof, end) == ("eof", "")
    reply: dict[str, Any] = json.loads(line)
    return reply


def act_by_id(worker: HttpWorker, rid: str, handler: Any) -> None:
    """Handle a job by the first letter of its id: s succeeds, f fails, any other gets no result."""
    if rid[0] == "s":
        worker.serve(rid, handler)
        return
    handler.say(202)
    if rid[0] == "f":
        worker.send_callback(rid, "failed")


class Figures(unittest.TestCase):
    def test_each_job_counts_once_under_its_class_and_verdict(self) -> None:
        """Jobs that are rejected before there is a request for them must be counted too, and none twice."""
        with running_program([HttpWorker("h1", act_by_id)], management=DOOR, limits={"sockets": 96}) as (
            program,
            _,
        ):
            management = program.at["management"]

            def ask(cls: str, rid: str, **headers: str) -> int:
                return http_call(program.http_address, "POST", f"/{cls}", Req_Id=rid, **headers)[0]

            statuses = [ask("time-lookup", f"s{i}") for i in range(3)]
            statuses += [ask("result-post", "s9"), ask("result-post", "f1")]
            statuses += [ask("time-lookup", "n1", Req_Deadline_Ms="1"), ask("time-lookup", "", Req_Cost="x")]
            self.assertEqual(statuses, [200, 200, 200, 200, 500, 503, 400])
            got = figures(management)
            self.assertEqual(got["results"], {
                "time-lookup": {"succeeded": 3, "declined": 1, "aborted": 0},
                "result-post": {"succeeded": 1, "declined": 0, "aborted": 1},
            })  # fmt: skip
            self.assertEqual([got[k] for k in ("forwards", "outstanding", "discovered")], [5, 0, 1])
            # Waiting jobs use up the front's limit; further ones are rejected before a request is created.
            most = configuration.allocate_descriptors(
                configuration.read_config(json.dumps(program.said).encode())
            )[1]
            held = [caller(program.http_address) for _ in range(most)]
            for i, sock in enumerate(held):
                sock.sendall(b"POST /result-post HTTP/1.1\r\nReq-Id: w%d\r\nContent-Length: 0\r\n\r\n" % i)
            wait_for(lambda: figures(management)["outstanding"] == most, "the limit to be reached")
            self.assertEqual(ask("time-lookup", "n2"), 503)
            self.assertEqual(figures(management)["results"]["time-lookup"]["declined"], 2)
            counters = program.counters()
            self.assertEqual(counters["answer.time-lookup.declined"], 2)
            for sock in held:
                sock.close()
            wait_for(
                lambda: figures(management)["outstanding"] == 0, "the jobs of clients that left to be dropped"
            )

    def test_a_failing_worker_is_ejected_and_a_removed_one_is_not_discovered(self) -> None:
        """Operators see from the figures how many workers are out of use; a worker that has left the list
        must not be counted as ejected."""
        workers = [HttpWorker(f"h{i}") for i in range(4)]
        with running_program(workers, management=DOOR) as (program, discovery):
            management = program.at["management"]
            self.assertEqual([figures(management)[k] for k in ("discovered", "ejected")], [4, 0])
            discovery.list("dead", 1)  # nobody listens there
            wait_for(lambda: figures(management)["discovered"] == 5, "the list to come")
            rids = iter(range(1000))

            def ejected() -> bool:
                http_call(program.http_address, "POST", "/time-lookup", Req_Id=f"s{next(rids)}")
                return bool(figures(management)["ejected"] == 1)

            wait_for(ejected, "the dead worker to be ejected")
            discovery.list("dead", 1, "Gone")
            wait_for(lambda: figures(management)["discovered"] == 4, "it to leave the list")
            self.assertEqual(figures(management)["ejected"], 0)


ASK = b"POST /time-lookup HTTP/1.1\r\nReq-Id: %b\r\nContent-Length: 0\r\n\r\n"


def answer(sock: socket.socket) -> bytes:
    """Read one whole response from a connection that may stay open."""
    got, length = b"", 0
    while b"\r\n\r\n" not in got or len(got.partition(b"\r\n\r\n")[2]) < length:
        got += sock.recv(65536)
        length = int(got.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
    return got


def health(program: Program) -> bytes:
    """The body of `/_health`."""
    return http_call(program.http_address, "GET", "/_health")[1]


class Drains(unittest.TestCase):
    def test_a_drain_closes_client_connections_until_resume(self) -> None:
        """During a drain, idle and half-sent connections end and running jobs are answered, while workers'
        call-backs are served on connections that stay open. After `resume` all is as before."""
        go = threading.Event()

        def answer_later(worker: HttpWorker, rid: str, handler: Any) -> None:
            if rid.startswith("q"):
                worker.serve(rid, handler)
                return
            handler.say(202)
            threading.Thread(
                target=lambda: (go.wait(20), worker.send_callback(rid, "done", result="r"))
            ).start()

        worker = HttpWorker("h1", answer_later)
        with running_program([worker], management=DOOR, fronts=("agent_check",)) as (program, _):
            management = program.at["management"]
            used, fresh, half, busy, calls = (caller(program.http_address) for _ in range(5))
            used.sendall(ASK % b"q1")
            self.assertNotIn(b"Connection: close", answer(used))
            half.sendall(ASK[:30])
            busy.sendall(ASK % b"slow1")
            news = b'{"id":"nobody","from":"h1","state":"started"}'
            callback = b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(news) + news
            calls.sendall(callback)
            answer(calls)
            wait_for(lambda: len(worker.requests) == 2, "the slow job to be out")
            for _ in range(2):
                self.assertTrue(call(management, b"drain\n").startswith("ok"))
            self.assertEqual(
                (health(program), read_to_end(caller(program.at["agent-check"]))), (b"drain\n",) * 2
            )
            self.assertTrue(call(management, b"ready\n").startswith("ok"))
            status, _, headers = http_call(program.http_address, "POST", "/time-lookup", Req_Id="q2")
            self.assertEqual((status, headers.get("connection")), (200, "close"))
            # Idle connections end, whether used before or not; a job that is half sent is rejected.
            self.assertEqual((read_to_end(used), read_to_end(fresh)), (b"", b""))
            self.assertTrue(read_to_end(half).startswith(b"HTTP/1.1 503 "))
            calls.sendall(callback)
            self.assertNotIn(b"Connection: close", answer(calls))
            go.set()
            self.assertRegex(read_to_end(busy), rb"(?s)HTTP/1.1 200 .*Connection: close.*\r\n\r\nr$")
            for _ in range(2):
                self.assertTrue(call(management, b"resume\n").startswith("ok"))
            self.assertRegex(health(program), rb"^up ")
            again = caller(program.http_address)
            for rid in (b"q3", b"q4"):
                again.sendall(ASK % rid)
                self.assertNotIn(b"Connection: close", answer(again))
            for sock in (used, fresh, half, busy, calls, again):
                sock.close()

    def test_a_reload_keeps_the_drain_and_resume_fails_after_sigterm(self) -> None:
        """A reload must not put a drained dispatcher back into service, nor `resume` one that shuts down."""
        with running_program([HttpWorker("h1")], management=DOOR) as (program, _):
            management = program.at["management"]
            call(management, b"drain\n")
            program.reload_config()
            wait_for(lambda: program.counters().get("in.reloads"), "the configuration to be read again")
            self.assertEqual(health(program), b"drain\n")
            call(management, b"resume\n")
            program.process.send_signal(signal.SIGTERM)
            wait_for(lambda: health(program) == b"drain\n", "the shutdown to begin")
            self.assertEqual([call(management, line)[:4] for line in (b"drain\n", b"resume\n", b"ready\n")],
                             ["ok d", "fail", "fail"])  # fmt: skip
            self.assertEqual(health(program), b"drain\n")

    def test_a_drain_closes_idle_gearman_clients_and_keeps_workers(self) -> None:
        """Clients that wait for a job must be answered, so their worker's connection must stay open."""
        with running_program([], management=DOOR, fronts=("gearman",)) as (program, _):
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
            self.assertEqual(waiting.wait_for_packet(Kind.WORK_COMPLETE).args[1], b"done")
            for peer in (client, waiting, worker):
                peer.close()
