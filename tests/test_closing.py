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
from tests.crossing import (
    Harness,
    Peer,
    callback_request,
    http_response,
    job_request,
    leads_to_worker,
    running_harness,
)

HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"


def rested(harness: Harness) -> Peer:
    """A client that has had an answer, and rests."""
    client = harness.client()
    client.send(HEALTH)
    harness.run_until(client.read_available, "an answer")
    client.received = b""
    return client


def served(harness: Harness, client: Peer, rid: str, answer: bool = True) -> None:
    """See that its job begins, and tell that it is done."""
    harness.advance_clock(40)
    name = harness.run_until(
        lambda: [w.name for w in harness.workers if rid in w.begun()], "the job to begin"
    )[0]
    for worker in harness.workers:
        for peer in worker.peers:
            if not peer.ended and f"Req-Id: {rid}".encode() in peer.received:
                peer.send(http_response(202))
    harness.run_turns(3)
    harness.client().send(callback_request(rid, name, "done", result="ok"))
    if answer:
        harness.run_until(lambda: b"200 OK" in client.read_available(), "the answer")


def sigterm(harness: Harness) -> None:
    harness.service.stop()
    harness.advance_clock(edges.AWAY_EVERY)


def drain(harness: Harness) -> None:
    harness.service.drain()
    harness.advance_clock(services.SETTLE + edges.AWAY_EVERY)


def long_idle(harness: Harness) -> None:
    harness.advance_clock(edges.IDLE_LIMIT + 2 * edges.SWEEP)


CLOSES: dict[str, Callable[[Harness], None]] = {"SIGTERM": sigterm, "drain": drain, "long idle": long_idle}


class RestingClients(unittest.TestCase):
    def test_a_request_that_is_there_before_the_close_is_answered(self) -> None:
        for name, close in CLOSES.items():
            with self.subTest(close=name), running_harness() as harness:
                client = rested(harness)
                front = harness.loop.connections.all()
                harness.hold_back(lambda conn, front=front: conn in front)
                client.send(job_request("time-lookup", "a"))
                close(harness)
                harness.release_held()
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                served(harness, client, "a")
                self.assertEqual(client.read_available().count(b"HTTP/1.1 "), 1)

    def test_one_that_comes_after_it_is_not_taken(self) -> None:
        """The client sees an orderly end and no answer, and sends it again elsewhere; nothing is sent on."""
        for name, close in CLOSES.items():
            with self.subTest(close=name), running_harness() as harness:
                client = rested(harness)
                close(harness)
                self.assertEqual(client.read_available(), b"")
                self.assertEqual(client.ended, "closed")
                client.send(job_request("time-lookup", "a"))
                harness.run_turns(5)
                harness.advance_clock(500)
                self.assertEqual((harness.begun(), client.ended), ([], "closed"))
                client.close()
                harness.run_until(lambda s=harness: not len(s.service.http_front.connections), "its end")

    def test_one_that_never_ends_its_side_is_closed_all_the_same(self) -> None:
        with running_harness() as harness:
            client = rested(harness)
            sigterm(harness)
            for _ in range(5):
                client.send(b"x" * 1000)
                harness.run_turns(2)
            harness.advance_clock(loops.LINGER_MS + 100)
            self.assertEqual(len(harness.service.http_front.connections), 0)

    def test_gearman_clients_that_rest_are_closed_as_carefully(self) -> None:
        echo = pack(Kind.ECHO_REQ, b"there?", magic=b"\0REQ")
        for asks_first in (True, False):
            with self.subTest(asks_first=asks_first), running_harness(gearman=True) as harness:
                client = harness.client("gearman")
                harness.run_turns(3)
                front = harness.loop.connections.all()
                harness.hold_back(lambda conn, front=front: conn in front)
                if asks_first:
                    client.send(echo)
                harness.service.stop()
                harness.advance_clock(services.SETTLE + 50)
                if not asks_first:
                    client.send(echo)
                harness.release_held()
                harness.run_turns(5)
                self.assertEqual(b"there?" in client.read_available(), asks_first)
                self.assertEqual(client.ended, "" if asks_first else "closed")

    def test_who_says_nothing_is_closed_in_order_within_3_s(self) -> None:
        for late in (False, True):
            with self.subTest(late=late), running_harness() as harness:
                client = harness.client()
                harness.run_turns(3)
                harness.advance_clock(3000)
                client.read_available()
                self.assertEqual(client.ended, "closed")
                if late:
                    client.send(job_request("time-lookup", "a"))
                    harness.run_turns(3)
                    harness.advance_clock(300)
                    self.assertEqual(harness.begun(), [])


class LastWords(unittest.TestCase):
    def test_what_is_unread_behind_a_request_takes_no_answer_with_it(self) -> None:
        """The last answer on a connection crosses more that its client sends: a reset would destroy it."""
        for why, more, read in itertools.product(
            ("asked", "SIGTERM"),
            (b"P", job_request("time-lookup", "b")[:40], job_request("time-lookup", "b")),
            (False, True),
        ):
            with self.subTest(why=why, more=more[:10], read=read), running_harness() as harness:
                client = harness.client()
                asks = job_request("time-lookup", "a")
                if why == "asked":
                    asks = asks.replace(b"Req-Id", b"Connection: close\r\nReq-Id")
                client.send(asks)
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                if why == "SIGTERM":
                    sigterm(harness)
                front = [c for c in harness.loop.connections.all() if not leads_to_worker(c)]
                if not read:
                    harness.hold_back(lambda conn, front=front: conn in front)
                client.send(more)
                harness.run_turns(3)
                if why == "asked" and read:  # after Connection: close nothing may come
                    harness.run_until(lambda c=client: c.read_available() and c.ended, "its end")
                    self.assertEqual((client.ended, client.received[:13]), ("closed", b"HTTP/1.1 400 "))
                    continue
                served(harness, client, "a")
                harness.release_held()
                harness.run_turns(5)
                # A whole request that was read behind another is owed its answer as well.
                taken = ["a", "b"] if read and more.endswith(b"\r\n\r\n") else ["a"]
                if "b" in taken:
                    client.received = b""
                    served(harness, client, "b")
                harness.run_until(lambda c=client: c.read_available() and c.ended, "its end")
                self.assertEqual((client.ended, client.received.count(b"HTTP/1.1 200")), ("closed", 1))
                self.assertEqual(sorted(harness.begun()), taken)

    def test_an_error_reaches_a_client_that_goes_on_sending(self) -> None:
        with running_harness() as harness:
            client = harness.client()
            client.send(b"GET /nothing-here HTTP/1.1\r\n\r\n" + b"x" * 200_000)
            harness.run_until(lambda: client.read_available() and client.ended, "its end")
            self.assertEqual(client.ended, "closed")
            self.assertIn(b"HTTP/1.1 4", client.received)

    def test_small_writes_are_not_held_back(self) -> None:
        """TCP_NODELAY on what is accepted and on what is connected."""
        import socket

        with running_harness() as harness:
            client = harness.client()
            client.send(job_request("time-lookup", "a"))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            conns = harness.loop.connections.all()
            self.assertEqual(sorted(leads_to_worker(c) for c in conns), [False, True])
            for conn in conns:
                self.assertTrue(conn.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


class Ending(unittest.TestCase):
    """From SIGTERM to the exit: `over` is what the program asks after each turn."""

    def until_over(self, harness: Harness, most: float = 20_000) -> float:
        passed = 0.0
        while not harness.service.over():
            harness.advance_clock(20)
            passed += 20
            self.assertLess(passed, most)
        return passed

    def test_input_that_waits_in_the_last_turn_is_answered_first(self) -> None:
        """All is answered and its time has come; a request lies unread on a connection that it never saw."""
        for new in (False, True):
            with self.subTest(new=new), running_harness() as harness:
                client = rested(harness)
                harness.hold_back(lambda conn: isinstance(conn, Connection))
                if not new:
                    client.send(job_request("time-lookup", "a"))
                harness.service.stop()
                if new:
                    harness.advance_clock(150)
                    client = harness.client()
                    client.send(job_request("time-lookup", "a"))
                harness.advance_clock(shutdown.LINGER_MS + 20)
                self.assertFalse(harness.service.over())
                harness.release_held()
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                self.assertFalse(harness.service.over())
                served(harness, client, "a")
                self.until_over(harness)

    def test_resting_clients_are_closed_in_order_and_then_it_ends(self) -> None:
        with running_harness() as harness:
            clients = [rested(harness) for _ in range(5)] + [harness.client() for _ in range(5)]
            harness.service.stop()
            passed = 0.0
            while not harness.service.over():
                harness.advance_clock(20)
                passed += 20
                for client in clients:
                    client.read_available()
                    if client.ended == "closed":
                        client.close()
            self.assertLess(passed, shutdown.LINGER_MS + shutdown.CLOSING_NOTICE_MS)
            self.assertEqual({c.ended for c in clients}, {"closed"})
            self.assertEqual(len(harness.service.http_front.connections), 0)

    def test_a_job_that_comes_at_the_very_end_by_the_other_front_is_served(self) -> None:
        """The HTTP listener has gone already; the job's worker can call back all the same."""
        with running_harness(gearman=True) as harness:
            resting, late = rested(harness), harness.client("gearman")
            harness.run_turns(3)
            late.send(pack(Kind.CAN_DO, b"no-class-of-ours", magic=b"\0REQ"))  # a worker's, so it stays
            harness.run_turns(3)
            harness.service.stop()
            harness.advance_clock(shutdown.LINGER_MS + 50)
            while harness.service.http_front.listener.accepting:
                self.assertFalse(harness.service.over())
                harness.advance_clock(20)
            late.send(pack(Kind.SUBMIT_JOB, b"time-lookup", b"g", b"", magic=b"\0REQ"))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            self.assertFalse(harness.service.over())
            harness.advance_clock(40)
            name = harness.run_until(
                lambda: [w.name for w in harness.workers if "g" in w.begun()], "it to begin"
            )[0]
            harness.client().send(callback_request("g", name, "done", result="ok"))
            harness.run_until(lambda: b"ok" in late.read_available(), "its result")
            self.until_over(harness)
            resting.read_available()
            self.assertEqual(resting.ended, "closed")

    def test_those_who_never_end_do_not_keep_it(self) -> None:
        """Who rests after our end, who sends half a request and stays, workers that hang."""
        with running_harness() as harness:
            resting, half, busy = rested(harness), harness.client(), harness.client()
            half.send(job_request("time-lookup", "h")[:30])
            busy.send(job_request("result-post", "a", wait=1500))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            harness.service.stop()
            took = self.until_over(harness, 5000)
            self.assertGreater(took, 1000)  # the job's answer was waited for
            self.assertEqual(busy.read_available().count(b"HTTP/1.1 500"), 1)
            self.assertEqual(
                half.read_available().count(b"HTTP/1.1 "), 1
            )  # an error, or that it was turned down
            resting.read_available()
            self.assertEqual(resting.ended, "closed")

    def test_clients_that_send_on_every_open_connection_lose_nothing(self) -> None:
        """Each either gets its answer or an orderly end without one, and what was not answered never ran."""
        with running_harness() as harness:
            clients = [rested(harness) for _ in range(12)]
            harness.service.stop()
            sent: dict[str, Peer] = {}
            for step in range(90):
                harness.advance_clock(10)
                for i, client in enumerate(clients):
                    client.read_available()
                    if not client.ended and step % 12 == i:
                        rid = f"r{step}"
                        client.received = b""
                        client.send(job_request("time-lookup", rid))
                        sent[rid] = client
                for worker in harness.workers:
                    for rid in worker.begun():
                        if rid not in self.told:
                            self.told.add(rid)
                            harness.client().send(callback_request(rid, worker.name, "done", result=rid))
            self.until_over(harness)
            for rid, client in sent.items():
                client.read_available()
                answered = rid.encode() in client.received and b"200 OK" in client.received
                self.assertEqual(answered, rid in harness.begun(), rid)

    def setUp(self) -> None:
        self.told: set[str] = set()


class Floods(unittest.TestCase):
    def test_a_flood_is_refused_and_leaves_nothing_behind(self) -> None:
        """Many requests at once, much at once, half a request: then gone, or staying. Others are served."""
        floods = [
            job_request("time-lookup", "f") * 2000, b"A" * 300_000,
            job_request("result-post", "f", body=bytes(60_000)) * 8,
            b"POST /time-lookup HTTP/1.1\r\nContent-Length: 9999\r\n\r\n" + b"x" * 100, b"\r\n" * 50_000,
        ]  # fmt: skip
        for flood, way in itertools.product(floods, ("close", "reset", "stay")):
            with self.subTest(flood=flood[:12], way=way), running_harness(workers=6) as harness:
                floody = [harness.client() for _ in range(10)]
                for peer in floody:
                    with contextlib.suppress(BlockingIOError):
                        peer.sock.send(flood)
                    harness.run_turns()
                    if way != "stay":
                        (peer.reset if way == "reset" else peer.close)()
                other = harness.client()
                other.send(job_request("time-lookup", "other"))
                harness.run_until(lambda s=harness: s.core.request_of("other"), "the other's job")
                served(harness, other, "other")
                for _ in range(60):
                    harness.advance_clock(100)
                    for peer in floody:
                        peer.read_available()
                edge = harness.service.http_front
                if way == "stay":
                    ended = [p for p in floody if p.ended or b"HTTP/1.1 " in p.received]
                    self.assertEqual(len(ended), 10)
                    continue
                self.assertLessEqual(len(edge.connections), 2)
                self.assertEqual(edge.held, sum(e.held for e in edge.connections.all()))

    def test_no_descriptors_for_a_while_is_no_busy_loop_and_no_end(self) -> None:
        """The kernel refuses each accept: the listener rests between two tries, and wakes."""
        import errno

        with running_harness() as harness:
            listener = harness.service.http_front.listener
            tries: list[float] = []

            class Full:
                def accept(self) -> object:
                    tries.append(harness.clock.at)
                    raise OSError(errno.EMFILE, "none left")

                def __getattr__(self, name: str) -> object:
                    return getattr(sock, name)

            sock = listener.sock
            client = harness.client()
            client.send(HEALTH)
            with mock.patch.object(listener, "sock", Full()):
                for _ in range(50):
                    harness.advance_clock(10)
                    harness.run_turns(3, wait=0.0)
            self.assertLess(len(tries), 500 / loops.SUSPEND_MS + 2)
            self.assertGreater(len(tries), 10)
            harness.advance_clock(loops.SUSPEND_MS)
            self.assertIn(b"HTTP/1.1 ", harness.run_until(client.read_available, "an answer"))


if __name__ == "__main__":
    unittest.main()
