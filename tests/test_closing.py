"""Connections that the dispatcher closes.

A request that arrives at the same moment is either answered, or not accepted, so that its sender can send it
again elsewhere; none is accepted and lost. An answer that has been sent arrives completely. Each test has the
loop see the two events in either order."""

from __future__ import annotations

import contextlib
import itertools
import unittest
from collections.abc import Callable
from unittest import mock

from eiderpin import service as services
from eiderpin import shutdown
from eiderpin.net import edge as edges
from eiderpin.net import loop as loops
from eiderpin.net.gearman import Kind, pack
from eiderpin.net.loop import Connection
from tests.crossing import Peer, Stage, http, job, staged, to_worker, told

HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"


def idle_client(stage: Stage) -> Peer:
    """A client that has had an answer, and is idle."""
    client = stage.client()
    client.say(HEALTH)
    stage.until(client.look, "an answer")
    client.got = b""
    return client


def complete_job(stage: Stage, client: Peer, rid: str, answer: bool = True) -> None:
    """Wait until a client's job begins, and call back that it is done; with `answer` wait for the answer."""
    stage.pass_time(40)
    name = stage.until(lambda: [w.name for w in stage.workers if rid in w.begun()], "the job to begin")[0]
    for worker in stage.workers:
        for peer in worker.peers:
            if not peer.ended and f"Req-Id: {rid}".encode() in peer.got:
                peer.say(http(202))
    stage.turn(3)
    stage.client().say(told(rid, name, "done", result="ok"))
    if answer:
        stage.until(lambda: b"200 OK" in client.look(), "the answer")


def sigterm(stage: Stage) -> None:
    """Begin the shutdown, and pass the first check for idle connections."""
    stage.service.stop()
    stage.pass_time(edges.DRAIN_INTERVAL_MS)


def drain(stage: Stage) -> None:
    """Drain the dispatcher, and pass the first check for idle connections."""
    stage.service.drain()
    stage.pass_time(services.SETTLE + edges.DRAIN_INTERVAL_MS)


def long_idle(stage: Stage) -> None:
    """Let the idle timeout pass."""
    stage.pass_time(edges.IDLE_TIMEOUT_MS + 2 * edges.SWEEP_INTERVAL_MS)


CLOSES: dict[str, Callable[[Stage], None]] = {"SIGTERM": sigterm, "drain": drain, "long idle": long_idle}


class IdleClients(unittest.TestCase):
    def test_a_request_that_arrives_before_the_close_is_answered(self) -> None:
        """The request is unread while the loop decides which connections are idle."""
        for name, close in CLOSES.items():
            with self.subTest(close=name), staged() as stage:
                client = idle_client(stage)
                front = stage.loop.connections.all()
                stage.hold(lambda conn, front=front: conn in front)
                client.say(job("time-lookup", "a"))
                close(stage)
                stage.let()
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                complete_job(stage, client, "a")
                self.assertEqual(client.look().count(b"HTTP/1.1 "), 1)

    def test_a_request_that_arrives_after_the_close_is_not_accepted(self) -> None:
        """The client sees an orderly close and no answer, so it can send the request again elsewhere. Nothing
        of it may be sent to a worker."""
        for name, close in CLOSES.items():
            with self.subTest(close=name), staged() as stage:
                client = idle_client(stage)
                close(stage)
                self.assertEqual(client.look(), b"")
                self.assertEqual(client.ended, "closed")
                client.say(job("time-lookup", "a"))
                stage.turn(5)
                stage.pass_time(500)
                self.assertEqual((stage.begun(), client.ended), ([], "closed"))
                client.close()
                stage.until(lambda s=stage: not len(s.service.edge.connections), "its end")

    def test_a_client_that_never_closes_its_side_is_closed_after_some_time(self) -> None:
        with staged() as stage:
            client = idle_client(stage)
            sigterm(stage)
            for _ in range(5):
                client.say(b"x" * 1000)
                stage.turn(2)
            stage.pass_time(loops.LINGER + 100)
            self.assertEqual(len(stage.service.edge.connections), 0)

    def test_idle_gearman_clients_are_closed_only_if_they_have_sent_nothing(self) -> None:
        """A packet that arrives before the close is answered; one that arrives after it is not."""
        echo = pack(Kind.ECHO_REQ, b"there?", magic=b"\0REQ")
        for asks_first in (True, False):
            with self.subTest(asks_first=asks_first), staged(gearman=True) as stage:
                client = stage.client("gearman")
                stage.turn(3)
                front = stage.loop.connections.all()
                stage.hold(lambda conn, front=front: conn in front)
                if asks_first:
                    client.say(echo)
                stage.service.stop()
                stage.pass_time(services.SETTLE + 50)
                if not asks_first:
                    client.say(echo)
                stage.let()
                stage.turn(5)
                self.assertEqual(b"there?" in client.look(), asks_first)
                self.assertEqual(client.ended, "" if asks_first else "closed")

    def test_a_client_that_sends_nothing_is_closed_within_3_s_without_a_reset(self) -> None:
        """A job that it sends after that is not accepted."""
        for late in (False, True):
            with self.subTest(late=late), staged() as stage:
                client = stage.client()
                stage.turn(3)
                stage.pass_time(3000)
                client.look()
                self.assertEqual(client.ended, "closed")
                if late:
                    client.say(job("time-lookup", "a"))
                    stage.turn(3)
                    stage.pass_time(300)
                    self.assertEqual(stage.begun(), [])


class LastAnswers(unittest.TestCase):
    def test_unread_input_behind_a_request_does_not_destroy_its_answer(self) -> None:
        """The client sends more while the last answer on its connection is on its way. If the connection were
        closed with input unread, the kernel would send a reset, and the client could lose the answer."""
        for why, more, read in itertools.product(
            ("asked", "SIGTERM"), (b"P", job("time-lookup", "b")[:40], job("time-lookup", "b")), (False, True)
        ):
            with self.subTest(why=why, more=more[:10], read=read), staged() as stage:
                client = stage.client()
                asks = job("time-lookup", "a")
                if why == "asked":
                    asks = asks.replace(b"Req-Id", b"Connection: close\r\nReq-Id")
                client.say(asks)
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                if why == "SIGTERM":
                    sigterm(stage)
                front = [c for c in stage.loop.connections.all() if not to_worker(c)]
                if not read:
                    stage.hold(lambda conn, front=front: conn in front)
                client.say(more)
                stage.turn(3)
                if why == "asked" and read:  # nothing may follow a request with `Connection: close`
                    stage.until(lambda c=client: c.look() and c.ended, "its end")
                    self.assertEqual((client.ended, client.got[:13]), ("closed", b"HTTP/1.1 400 "))
                    continue
                complete_job(stage, client, "a")
                stage.let()
                stage.turn(5)
                # A complete request that was read behind another must be answered as well.
                accepted = ["a", "b"] if read and more.endswith(b"\r\n\r\n") else ["a"]
                if "b" in accepted:
                    client.got = b""
                    complete_job(stage, client, "b")
                stage.until(lambda c=client: c.look() and c.ended, "its end")
                self.assertEqual((client.ended, client.got.count(b"HTTP/1.1 200")), ("closed", 1))
                self.assertEqual(sorted(stage.begun()), accepted)

    def test_an_error_reaches_a_client_that_goes_on_sending(self) -> None:
        """A reset because of its unread input could destroy the error."""
        with staged() as stage:
            client = stage.client()
            client.say(b"GET /nothing-here HTTP/1.1\r\n\r\n" + b"x" * 200_000)
            stage.until(lambda: client.look() and client.ended, "its end")
            self.assertEqual(client.ended, "closed")
            self.assertIn(b"HTTP/1.1 4", client.got)

    def test_small_writes_are_not_delayed(self) -> None:
        """TCP_NODELAY is set on accepted connections and on those to workers."""
        import socket

        with staged() as stage:
            client = stage.client()
            client.say(job("time-lookup", "a"))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            conns = stage.loop.connections.all()
            self.assertEqual(sorted(to_worker(c) for c in conns), [False, True])
            for conn in conns:
                self.assertTrue(conn.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


class Exiting(unittest.TestCase):
    """From SIGTERM to the exit: the program asks `over` after each turn of the loop."""

    def run_to_exit(self, stage: Stage, max_ms: float = 20_000) -> float:
        """Run until the process may exit, and return how long that took, in ms; at most `max_ms`."""
        passed = 0.0
        while not stage.service.over():
            stage.pass_time(20)
            passed += 20
            self.assertLess(passed, max_ms)
        return passed

    def test_unread_input_is_answered_before_the_exit(self) -> None:
        """All jobs are answered and the time to exit has come, but a request is unread, on a known connection
        or on one that has not been accepted yet."""
        for new in (False, True):
            with self.subTest(new=new), staged() as stage:
                client = idle_client(stage)
                stage.hold(lambda conn: isinstance(conn, Connection))
                if not new:
                    client.say(job("time-lookup", "a"))
                stage.service.stop()
                if new:
                    stage.pass_time(150)
                    client = stage.client()
                    client.say(job("time-lookup", "a"))
                stage.pass_time(shutdown.LINGER + 20)
                self.assertFalse(stage.service.over())
                stage.let()
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                self.assertFalse(stage.service.over())
                complete_job(stage, client, "a")
                self.run_to_exit(stage)

    def test_idle_clients_are_closed_without_a_reset_before_the_exit(self) -> None:
        with staged() as stage:
            clients = [idle_client(stage) for _ in range(5)] + [stage.client() for _ in range(5)]
            stage.service.stop()
            passed = 0.0
            while not stage.service.over():
                stage.pass_time(20)
                passed += 20
                for client in clients:
                    client.look()
                    if client.ended == "closed":
                        client.close()
            self.assertLess(passed, shutdown.LINGER + shutdown.CLOSING_FOR)
            self.assertEqual({c.ended for c in clients}, {"closed"})
            self.assertEqual(len(stage.service.edge.connections), 0)

    def test_a_job_that_arrives_late_at_the_gearman_front_end_is_served(self) -> None:
        """The HTTP listener has been closed by then. It must be opened again, or the job's worker could not
        call back."""
        with staged(gearman=True) as stage:
            idle, late = idle_client(stage), stage.client("gearman")
            stage.turn(3)
            # With a function it counts as a worker, whose connection stays open.
            late.say(pack(Kind.CAN_DO, b"no-class-of-ours", magic=b"\0REQ"))
            stage.turn(3)
            stage.service.stop()
            stage.pass_time(shutdown.LINGER + 50)
            while stage.service.edge.listener.on:
                self.assertFalse(stage.service.over())
                stage.pass_time(20)
            late.say(pack(Kind.SUBMIT_JOB, b"time-lookup", b"g", b"", magic=b"\0REQ"))
            stage.until(lambda: stage.core.outstanding, "the job")
            self.assertFalse(stage.service.over())
            stage.pass_time(40)
            name = stage.until(lambda: [w.name for w in stage.workers if "g" in w.begun()], "it to begin")[0]
            stage.client().say(told("g", name, "done", result="ok"))
            stage.until(lambda: b"ok" in late.look(), "its result")
            self.run_to_exit(stage)
            idle.look()
            self.assertEqual(idle.ended, "closed")

    def test_peers_that_never_finish_do_not_prevent_the_exit(self) -> None:
        """A client that does not close its side, one that sends a part of a request and stays, and a worker
        that never answers."""
        with staged() as stage:
            idle, partial, busy = idle_client(stage), stage.client(), stage.client()
            partial.say(job("time-lookup", "h")[:30])
            busy.say(job("result-post", "a", wait=1500))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            stage.service.stop()
            took = self.run_to_exit(stage, 5000)
            self.assertGreater(took, 1000)  # the job's answer was waited for
            self.assertEqual(busy.look().count(b"HTTP/1.1 500"), 1)
            self.assertEqual(partial.look().count(b"HTTP/1.1 "), 1)  # an error, or a rejection
            idle.look()
            self.assertEqual(idle.ended, "closed")

    def test_jobs_sent_on_open_connections_during_the_exit_are_not_lost(self) -> None:
        """Each client gets its answer, or an orderly close without one if no worker was sent its job."""
        with staged() as stage:
            clients = [idle_client(stage) for _ in range(12)]
            stage.service.stop()
            sent: dict[str, Peer] = {}
            for step in range(90):
                stage.pass_time(10)
                for i, client in enumerate(clients):
                    client.look()
                    if not client.ended and step % 12 == i:
                        rid = f"r{step}"
                        client.got = b""
                        client.say(job("time-lookup", rid))
                        sent[rid] = client
                for worker in stage.workers:
                    for rid in worker.begun():
                        if rid not in self.called_back:
                            self.called_back.add(rid)
                            stage.client().say(told(rid, worker.name, "done", result=rid))
            self.run_to_exit(stage)
            for rid, client in sent.items():
                client.look()
                answered = rid.encode() in client.got and b"200 OK" in client.got
                self.assertEqual(answered, rid in stage.begun(), rid)

    def setUp(self) -> None:
        self.called_back: set[str] = set()  # ids of the jobs that were reported as done


class Floods(unittest.TestCase):
    def test_a_flood_is_rejected_and_leaves_nothing_behind(self) -> None:
        """Clients send many requests, much data or a part of a request at once, and then leave or stay.
        Others are still served, and no connection or memory stays in use."""
        floods = [
            job("time-lookup", "f") * 2000, b"A" * 300_000, job("result-post", "f", body=bytes(60_000)) * 8,
            b"POST /time-lookup HTTP/1.1\r\nContent-Length: 9999\r\n\r\n" + b"x" * 100, b"\r\n" * 50_000,
        ]  # fmt: skip
        for flood, way in itertools.product(floods, ("close", "reset", "stay")):
            with self.subTest(flood=flood[:12], way=way), staged(workers=6) as stage:
                flooding = [stage.client() for _ in range(10)]
                for peer in flooding:
                    with contextlib.suppress(BlockingIOError):
                        peer.sock.send(flood)
                    stage.turn()
                    if way != "stay":
                        (peer.reset if way == "reset" else peer.close)()
                other = stage.client()
                other.say(job("time-lookup", "other"))
                stage.until(lambda s=stage: s.core.request_of("other"), "the other's job")
                complete_job(stage, other, "other")
                for _ in range(60):
                    stage.pass_time(100)
                    for peer in flooding:
                        peer.look()
                front = stage.service.edge
                if way == "stay":
                    ended = [peer for peer in flooding if peer.ended or b"HTTP/1.1 " in peer.got]
                    self.assertEqual(len(ended), 10)
                    continue
                self.assertLessEqual(len(front.connections), 2)
                self.assertEqual(front.held_bytes, sum(c.held_bytes for c in front.connections.all()))

    def test_a_lack_of_descriptors_causes_no_busy_loop_and_passes(self) -> None:
        """Each accept fails while a connection waits in the backlog, so the listener stays readable. It must
        pause between two attempts, and accept again once it can."""
        import errno

        with staged() as stage:
            listener = stage.service.edge.listener
            attempts: list[float] = []  # times in ms

            class FailingSocket:
                def accept(self) -> object:
                    attempts.append(stage.clock.at)
                    raise OSError(errno.EMFILE, "none left")

                def __getattr__(self, name: str) -> object:
                    return getattr(sock, name)

            sock = listener.sock
            client = stage.client()
            client.say(HEALTH)
            with mock.patch.object(listener, "sock", FailingSocket()):
                for _ in range(50):
                    stage.pass_time(10)
                    stage.turn(3, wait=0.0)
            self.assertLess(len(attempts), 500 / loops.REST + 2)
            self.assertGreater(len(attempts), 10)
            stage.pass_time(loops.REST)
            self.assertIn(b"HTTP/1.1 ", stage.until(client.look, "an answer"))


if __name__ == "__main__":
    unittest.main()
