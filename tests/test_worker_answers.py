"""What workers say cut, never end, say twice or say unasked, each crossing in both orders. Judged by the
workers' own books and by what clients get."""

from __future__ import annotations

import itertools
import unittest

from tests.crossing import Harness, Peer, callback_request, http_response, job_request, running_harness

ACCEPTED = http_response(202)
DECLINED = http_response(503, "Srv-Declined: 1")


def ask(harness: Harness, cls: str, rid: str) -> tuple[Peer, Peer]:
    """Send a job, and wait until it has begun; the client, and the worker's end of the connection."""
    before = len(harness.begun())
    client = harness.client()
    client.send(job_request(cls, rid))
    harness.run_until(lambda: harness.service.http_front.jobs, "the job")
    harness.advance_clock(40)
    harness.run_until(lambda: len(harness.begun()) > before, "the job to begin")
    peers = [p for w in harness.workers for p in w.peers if f"Req-Id: {rid}".encode() in p.received]
    return client, peers[-1]


def serve(harness: Harness, rid: str, client: Peer) -> bytes:
    """Tell its end by a call-back, and return what the client gets."""
    name = next(w.name for w in harness.workers if rid in w.begun())
    harness.client().send(callback_request(rid, name, "done", result="ok"))
    return bytes(harness.run_until(client.read_available, "the client's answer"))


def hold_old(harness: Harness) -> None:
    """The loop sees nothing of the connections to workers that there are now."""
    old = {c.conn for c in harness.service.workers.open}
    harness.hold_back(lambda conn: conn in old)


def worker_conns(harness: Harness) -> int:
    return len(harness.service.workers.open)


class RestingConnections(unittest.TestCase):
    def test_what_comes_unasked_ends_the_connection(self) -> None:
        """Half a line, a line, a whole answer: read while it rests, or still unread when it would be used."""
        for data, read_first, cls in itertools.product(
            (
                b"H",
                b"HTTP/1.1 50",
                b"HTTP/1.1 500 X\r\n",
                ACCEPTED,
                http_response(500),
                b"\r\n",
                b"\0nonsense",
            ),
            (True, False),
            ("time-lookup", "result-post"),
        ):
            with (
                self.subTest(data=data, read_first=read_first, cls=cls),
                running_harness(workers=1) as harness,
            ):
                client, peer = ask(harness, "time-lookup", "a")
                peer.send(ACCEPTED)
                harness.run_turns(5)
                self.assertIn(b"200 OK", serve(harness, "a", client))
                if not read_first:
                    hold_old(harness)
                peer.send(data)
                if read_first:
                    harness.run_until(lambda s=harness: not worker_conns(s), "the connection's end")
                    self.assertEqual(harness.counter_value("in.worker_unasked"), 1)
                client, new = ask(harness, cls, "b")
                harness.release_held()
                self.assertIsNot(new, peer)
                new.send(ACCEPTED)
                harness.run_turns(5)
                self.assertIn(b"200 OK", serve(harness, "b", client))
                self.assertEqual(harness.begun(), ["a", "b"])

    def test_a_second_answer_behind_the_first(self) -> None:
        for second in (ACCEPTED, http_response(500), b"HTTP/1.1 50", b"H"):
            with self.subTest(second=second), running_harness(workers=1) as harness:
                client, peer = ask(harness, "result-post", "a")
                peer.send(ACCEPTED + second)
                harness.run_until(lambda s=harness: not worker_conns(s), "the connection's end")
                self.assertIn(b"200 OK", serve(harness, "a", client))
                client, new = ask(harness, "result-post", "b")
                new.send(ACCEPTED)
                harness.run_turns(5)
                self.assertIn(b"200 OK", serve(harness, "b", client))

    def test_one_that_its_worker_closes_as_it_would_be_used(self) -> None:
        """Seen before the write, another is opened; seen only after it, the job may have run."""
        for seen, cls in itertools.product((True, False), ("time-lookup", "result-post")):
            with self.subTest(seen=seen, cls=cls), running_harness(workers=1) as harness:
                client, peer = ask(harness, "time-lookup", "a")
                peer.send(ACCEPTED)
                harness.run_turns(5)
                serve(harness, "a", client)
                hold_old(harness)
                if seen:
                    peer.close()
                client, _ = ask(harness, cls, "b")
                if not seen:
                    peer.reset()
                harness.release_held()
                harness.run_turns(5)
                if seen:
                    self.assertEqual((harness.begun(), client.read_available()), (["a", "b"], b""))
                elif cls == "result-post":
                    self.assertIn(b"500 ", harness.run_until(client.read_available, "the answer"))
                else:
                    harness.advance_clock(400)
                    self.assertIn("b", harness.begun())  # free: it goes again, on another connection


class Answers(unittest.TestCase):
    def test_cut_answers_are_resets_and_whole_ones_what_they_say(self) -> None:
        """By the protocol's table: the answer, how it ends, how often a result-post begins, what its client
        gets. Whole without a length, an answer ends with its connection."""
        cases: list[tuple[bytes, str, int, bytes]] = [
            (b"", "close", 1, b"500 "), (b"", "reset", 1, b"500 "),
            (b"HTTP/1.1 202 Acc", "close", 1, b"500 "), (b"HTTP/1.1 202 Acc", "reset", 1, b"500 "),
            (b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n", "close", 1, b"500 "),
            (b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 9\r\n\r\nno", "close", 1, b"500 "),
            (DECLINED, "close", 2, b""), (DECLINED, "", 2, b""),
            (b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\nno room", "close", 2, b""),
            (b"HTTP/1.1 504 X\r\nSrv-Declined: 1\r\n\r\n", "close", 2, b""),
            (b"HTTP/1.1 503 X\r\n\r\nbroken", "close", 1, b"500 "),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + DECLINED, "", 2, b""),
            (http_response(500), "", 1, b"500 "), (b"nonsense\r\n\r\n", "", 1, b"500 "),
            (ACCEPTED, "close", 1, b""), (b"HTTP/1.1 202 X\r\n\r\n", "close", 1, b""),
        ]  # fmt: skip
        for said, end, begins, gets in cases:
            with self.subTest(said=said, end=end), running_harness() as harness:
                client, peer = ask(harness, "result-post", "a")
                if said:
                    peer.send(said)
                if end:
                    (peer.reset if end == "reset" else peer.close)()
                harness.run_turns(10)
                harness.advance_clock(100)
                harness.run_turns(10)
                self.assertEqual(harness.begun().count("a"), begins)
                self.assertEqual(client.read_available()[9:13], gets)

    def test_an_answer_that_never_ends_holds_nothing_for_long(self) -> None:
        """The job's end is told by call-back, before the 202 or as half of it: the client hears at once, and
        the connection is given up soon after, whole requests or not."""
        for said, state in itertools.product(
            (b"", b"HTTP/1.1 202 Acc", b"HTTP/1.1 202 X\r\nContent-Length: 5\r\n\r\nab"), ("done", "failed")
        ):
            with self.subTest(said=said, state=state), running_harness(workers=1) as harness:
                client, peer = ask(harness, "result-post", "a")
                if said:
                    peer.send(said)
                harness.run_turns(5)
                harness.client().send(callback_request("a", "w0", state, result="ok"))
                got = harness.run_until(client.read_available, "the client's answer")
                self.assertIn(b"200 OK" if state == "done" else b"500 ", got)
                self.assertEqual(worker_conns(harness), 1)
                harness.advance_clock(900)
                if said:
                    peer.send(b" ")  # a trickle puts nothing off
                    harness.run_turns(5)
                harness.advance_clock(200)
                self.assertEqual(worker_conns(harness), 0)

    def test_an_answer_that_is_given_up_is_none(self) -> None:
        """A probe's answer without a length: whole where its connection ends, and else never."""
        for ends, name in ((True, "answered"), (False, "failed")):
            with self.subTest(ends=ends), running_harness(workers=1) as harness:
                harness.service.workers.probe(harness.core.endpoints["w0"])
                (peer,) = harness.run_until(
                    lambda s=harness: [p for p in s.workers[0].look() if p.requests()], "it"
                )
                peer.send(b"HTTP/1.1 200 X\r\n\r\n")
                harness.run_turns(3)
                if ends:
                    peer.close()
                    harness.run_turns(5)
                harness.advance_clock(1100)
                self.assertEqual(harness.counter_value(f"out.probe.{name}"), 1)
                self.assertEqual(worker_conns(harness), 0)

    def test_a_202_after_the_call_back_leaves_the_connection_in_use(self) -> None:
        with running_harness(workers=1) as harness:
            client, peer = ask(harness, "result-post", "a")
            self.assertIn(b"200 OK", serve(harness, "a", client))
            peer.send(ACCEPTED)
            harness.run_turns(5)
            self.assertEqual(worker_conns(harness), 1)
            _, again = ask(harness, "result-post", "b")
            self.assertIs(again, peer)

    def test_what_comes_for_an_attempt_that_has_ended_is_answered_and_changes_nothing(self) -> None:
        """Call-backs early, repeated and late: each is answered, the client gets one answer."""
        for first, second in itertools.product(("done", "failed", "returned", "lost"), repeat=2):
            with self.subTest(first=first, second=second), running_harness(workers=1) as harness:
                client, _ = ask(harness, "result-post", "a")
                backs = harness.client()
                backs.send(callback_request("a", "w0", first, result="one"))
                harness.run_turns(5)
                backs.send(callback_request("a", "w0", second, result="two"))
                harness.run_until(
                    lambda b=backs: b.read_available().count(b"HTTP/1.1 204") == 2, "both to be answered"
                )
                harness.advance_clock(8000)
                got = client.read_available()
                self.assertEqual(got.count(b"HTTP/1.1 "), 1)
                if first == "done":
                    self.assertIn(b"one", got)


if __name__ == "__main__":
    unittest.main()
