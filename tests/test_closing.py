"""Our own closes: what arrives in that very moment is answered or left for its sender to send again, never
taken and lost; an answer that is out arrives whole. Both orders of each crossing."""

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


def rested(stage: Stage) -> Peer:
    """A client that has had an answer, and rests."""
    client = stage.client()
    client.say(HEALTH)
    stage.until(client.look, "an answer")
    client.got = b""
    return client


def served(stage: Stage, client: Peer, rid: str, answer: bool = True) -> None:
    """See that its job begins, and tell that it is done."""
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
    stage.service.stop()
    stage.pass_time(edges.DRAIN_INTERVAL_MS)


def drain(stage: Stage) -> None:
    stage.service.drain()
    stage.pass_time(services.SETTLE + edges.DRAIN_INTERVAL_MS)


def long_idle(stage: Stage) -> None:
    stage.pass_time(edges.IDLE_TIMEOUT_MS + 2 * edges.SWEEP_INTERVAL_MS)


CLOSES: dict[str, Callable[[Stage], None]] = {"SIGTERM": sigterm, "drain": drain, "long idle": long_idle}


class RestingClients(unittest.TestCase):
    def test_a_request_that_is_there_before_the_close_is_answered(self) -> None:
        for name, close in CLOSES.items():
            with self.subTest(close=name), staged() as stage:
                client = rested(stage)
                front = stage.loop.connections.all()
                stage.hold(lambda conn, front=front: conn in front)
                client.say(job("time-lookup", "a"))
                close(stage)
                stage.let()
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                served(stage, client, "a")
                self.assertEqual(client.look().count(b"HTTP/1.1 "), 1)

    def test_one_that_comes_after_it_is_not_taken(self) -> None:
        """The client sees an orderly end and no answer, and sends it again elsewhere; nothing is sent on."""
        for name, close in CLOSES.items():
            with self.subTest(close=name), staged() as stage:
                client = rested(stage)
                close(stage)
                self.assertEqual(client.look(), b"")
                self.assertEqual(client.ended, "closed")
                client.say(job("time-lookup", "a"))
                stage.turn(5)
                stage.pass_time(500)
                self.assertEqual((stage.begun(), client.ended), ([], "closed"))
                client.close()
                stage.until(lambda s=stage: not len(s.service.edge.connections), "its end")

    def test_one_that_never_ends_its_side_is_closed_all_the_same(self) -> None:
        with staged() as stage:
            client = rested(stage)
            sigterm(stage)
            for _ in range(5):
                client.say(b"x" * 1000)
                stage.turn(2)
            stage.pass_time(loops.LINGER + 100)
            self.assertEqual(len(stage.service.edge.connections), 0)

    def test_gearman_clients_that_rest_are_closed_as_carefully(self) -> None:
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

    def test_who_says_nothing_is_closed_in_order_within_3_s(self) -> None:
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


class LastWords(unittest.TestCase):
    def test_what_is_unread_behind_a_request_takes_no_answer_with_it(self) -> None:
        """The last answer on a connection crosses more that its client sends: a reset would destroy it."""
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
                if why == "asked" and read:  # after Connection: close nothing may come
                    stage.until(lambda c=client: c.look() and c.ended, "its end")
                    self.assertEqual((client.ended, client.got[:13]), ("closed", b"HTTP/1.1 400 "))
                    continue
                served(stage, client, "a")
                stage.let()
                stage.turn(5)
                # A whole request that was read behind another is owed its answer as well.
                taken = ["a", "b"] if read and more.endswith(b"\r\n\r\n") else ["a"]
                if "b" in taken:
                    client.got = b""
                    served(stage, client, "b")
                stage.until(lambda c=client: c.look() and c.ended, "its end")
                self.assertEqual((client.ended, client.got.count(b"HTTP/1.1 200")), ("closed", 1))
                self.assertEqual(sorted(stage.begun()), taken)

    def test_an_error_reaches_a_client_that_goes_on_sending(self) -> None:
        with staged() as stage:
            client = stage.client()
            client.say(b"GET /nothing-here HTTP/1.1\r\n\r\n" + b"x" * 200_000)
            stage.until(lambda: client.look() and client.ended, "its end")
            self.assertEqual(client.ended, "closed")
            self.assertIn(b"HTTP/1.1 4", client.got)

    def test_small_writes_are_not_held_back(self) -> None:
        """TCP_NODELAY on what is accepted and on what is connected."""
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


class Ending(unittest.TestCase):
    """From SIGTERM to the exit: `over` is what the program asks after each turn."""

    def until_over(self, stage: Stage, most: float = 20_000) -> float:
        passed = 0.0
        while not stage.service.over():
            stage.pass_time(20)
            passed += 20
            self.assertLess(passed, most)
        return passed

    def test_input_that_waits_in_the_last_turn_is_answered_first(self) -> None:
        """All is answered and its time has come; a request lies unread on a connection that it never saw."""
        for new in (False, True):
            with self.subTest(new=new), staged() as stage:
                client = rested(stage)
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
                served(stage, client, "a")
                self.until_over(stage)

    def test_resting_clients_are_closed_in_order_and_then_it_ends(self) -> None:
        with staged() as stage:
            clients = [rested(stage) for _ in range(5)] + [stage.client() for _ in range(5)]
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

    def test_a_job_that_comes_at_the_very_end_by_the_other_front_is_served(self) -> None:
        """The HTTP listener has gone already; the job's worker can call back all the same."""
        with staged(gearman=True) as stage:
            resting, late = rested(stage), stage.client("gearman")
            stage.turn(3)
            late.say(pack(Kind.CAN_DO, b"no-class-of-ours", magic=b"\0REQ"))  # a worker's, so it stays
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
            self.until_over(stage)
            resting.look()
            self.assertEqual(resting.ended, "closed")

    def test_those_who_never_end_do_not_keep_it(self) -> None:
        """Who rests after our end, who sends half a request and stays, workers that hang."""
        with staged() as stage:
            resting, half, busy = rested(stage), stage.client(), stage.client()
            half.say(job("time-lookup", "h")[:30])
            busy.say(job("result-post", "a", wait=1500))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            stage.service.stop()
            took = self.until_over(stage, 5000)
            self.assertGreater(took, 1000)  # the job's answer was waited for
            self.assertEqual(busy.look().count(b"HTTP/1.1 500"), 1)
            self.assertEqual(half.look().count(b"HTTP/1.1 "), 1)  # an error, or that it was turned down
            resting.look()
            self.assertEqual(resting.ended, "closed")

    def test_clients_that_send_on_every_open_connection_lose_nothing(self) -> None:
        """Each either gets its answer or an orderly end without one, and what was not answered never ran."""
        with staged() as stage:
            clients = [rested(stage) for _ in range(12)]
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
                        if rid not in self.told:
                            self.told.add(rid)
                            stage.client().say(told(rid, worker.name, "done", result=rid))
            self.until_over(stage)
            for rid, client in sent.items():
                client.look()
                answered = rid.encode() in client.got and b"200 OK" in client.got
                self.assertEqual(answered, rid in stage.begun(), rid)

    def setUp(self) -> None:
        self.told: set[str] = set()


class Floods(unittest.TestCase):
    def test_a_flood_is_refused_and_leaves_nothing_behind(self) -> None:
        """Many requests at once, much at once, half a request: then gone, or staying. Others are served."""
        floods = [
            job("time-lookup", "f") * 2000, b"A" * 300_000, job("result-post", "f", body=bytes(60_000)) * 8,
            b"POST /time-lookup HTTP/1.1\r\nContent-Length: 9999\r\n\r\n" + b"x" * 100, b"\r\n" * 50_000,
        ]  # fmt: skip
        for flood, way in itertools.product(floods, ("close", "reset", "stay")):
            with self.subTest(flood=flood[:12], way=way), staged(workers=6) as stage:
                floody = [stage.client() for _ in range(10)]
                for peer in floody:
                    with contextlib.suppress(BlockingIOError):
                        peer.sock.send(flood)
                    stage.turn()
                    if way != "stay":
                        (peer.reset if way == "reset" else peer.close)()
                other = stage.client()
                other.say(job("time-lookup", "other"))
                stage.until(lambda s=stage: s.core.request_of("other"), "the other's job")
                served(stage, other, "other")
                for _ in range(60):
                    stage.pass_time(100)
                    for peer in floody:
                        peer.look()
                edge = stage.service.edge
                if way == "stay":
                    ended = [p for p in floody if p.ended or b"HTTP/1.1 " in p.got]
                    self.assertEqual(len(ended), 10)
                    continue
                self.assertLessEqual(len(edge.connections), 2)
                self.assertEqual(edge.held_bytes, sum(c.held_bytes for c in edge.connections.all()))

    def test_no_descriptors_for_a_while_is_no_busy_loop_and_no_end(self) -> None:
        """The kernel refuses each accept: the listener rests between two tries, and wakes."""
        import errno

        with staged() as stage:
            listener = stage.service.edge.listener
            tries: list[float] = []

            class Full:
                def accept(self) -> object:
                    tries.append(stage.clock.at)
                    raise OSError(errno.EMFILE, "none left")

                def __getattr__(self, name: str) -> object:
                    return getattr(sock, name)

            sock = listener.sock
            client = stage.client()
            client.say(HEALTH)
            with mock.patch.object(listener, "sock", Full()):
                for _ in range(50):
                    stage.pass_time(10)
                    stage.turn(3, wait=0.0)
            self.assertLess(len(tries), 500 / loops.REST + 2)
            self.assertGreater(len(tries), 10)
            stage.pass_time(loops.REST)
            self.assertIn(b"HTTP/1.1 ", stage.until(client.look, "an answer"))


if __name__ == "__main__":
    unittest.main()
