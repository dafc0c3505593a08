"""What workers say cut, never end, say twice or say unasked, each crossing in both orders. Judged by the
workers' own books and by what clients get."""

from __future__ import annotations

import itertools
import unittest

from tests.crossing import Peer, Stage, http, job, staged, told

ACCEPTED = http(202)
DECLINED = http(503, "Srv-Declined: 1")


def ask(stage: Stage, cls: str, request_id: str) -> tuple[Peer, Peer]:
    """Send a job, and wait until it has begun; the client, and the worker's end of the connection."""
    before = len(stage.begun())
    client = stage.client()
    client.say(job(cls, request_id))
    stage.until(lambda: stage.service.edge.jobs, "the job")
    stage.pass_time(40)
    stage.until(lambda: len(stage.begun()) > before, "the job to begin")
    peers = [p for w in stage.workers for p in w.peers if f"Req-Id: {request_id}".encode() in p.got]
    return client, peers[-1]


def serve(stage: Stage, request_id: str, client: Peer) -> bytes:
    """Tell its end by a call-back, and return what the client gets."""
    name = next(w.name for w in stage.workers if request_id in w.begun())
    stage.client().say(told(request_id, name, "done", result="ok"))
    return bytes(stage.until(client.look, "the client's answer"))


def hold_old(stage: Stage) -> None:
    """The loop sees nothing of the connections to workers that there are now."""
    old = {c.conn for c in stage.service.workers.open}
    stage.hold(lambda conn: conn in old)


def worker_conns(stage: Stage) -> int:
    return len(stage.service.workers.open)


class RestingConnections(unittest.TestCase):
    def test_what_comes_unasked_ends_the_connection(self) -> None:
        """Half a line, a line, a whole answer: read while it rests, or still unread when it would be used."""
        for data, read_first, cls in itertools.product(
            (b"H", b"HTTP/1.1 50", b"HTTP/1.1 500 X\r\n", ACCEPTED, http(500), b"\r\n", b"\0nonsense"),
            (True, False),
            ("time-lookup", "result-post"),
        ):
            with self.subTest(data=data, read_first=read_first, cls=cls), staged(workers=1) as stage:
                client, peer = ask(stage, "time-lookup", "a")
                peer.say(ACCEPTED)
                stage.turn(5)
                self.assertIn(b"200 OK", serve(stage, "a", client))
                if not read_first:
                    hold_old(stage)
                peer.say(data)
                if read_first:
                    stage.until(lambda s=stage: not worker_conns(s), "the connection's end")
                    self.assertEqual(stage.counted("in.worker_unasked"), 1)
                client, new = ask(stage, cls, "b")
                stage.let()
                self.assertIsNot(new, peer)
                new.say(ACCEPTED)
                stage.turn(5)
                self.assertIn(b"200 OK", serve(stage, "b", client))
                self.assertEqual(stage.begun(), ["a", "b"])

    def test_a_second_answer_behind_the_first(self) -> None:
        for second in (ACCEPTED, http(500), b"HTTP/1.1 50", b"H"):
            with self.subTest(second=second), staged(workers=1) as stage:
                client, peer = ask(stage, "result-post", "a")
                peer.say(ACCEPTED + second)
                stage.until(lambda s=stage: not worker_conns(s), "the connection's end")
                self.assertIn(b"200 OK", serve(stage, "a", client))
                client, new = ask(stage, "result-post", "b")
                new.say(ACCEPTED)
                stage.turn(5)
                self.assertIn(b"200 OK", serve(stage, "b", client))

    def test_one_that_its_worker_closes_as_it_would_be_used(self) -> None:
        """Seen before the write, another is opened; seen only after it, the job may have run."""
        for seen, cls in itertools.product((True, False), ("time-lookup", "result-post")):
            with self.subTest(seen=seen, cls=cls), staged(workers=1) as stage:
                client, peer = ask(stage, "time-lookup", "a")
                peer.say(ACCEPTED)
                stage.turn(5)
                serve(stage, "a", client)
                hold_old(stage)
                if seen:
                    peer.close()
                client, _ = ask(stage, cls, "b")
                if not seen:
                    peer.reset()
                stage.let()
                stage.turn(5)
                if seen:
                    self.assertEqual((stage.begun(), client.look()), (["a", "b"], b""))
                elif cls == "result-post":
                    self.assertIn(b"500 ", stage.until(client.look, "the answer"))
                else:
                    stage.pass_time(400)
                    self.assertIn("b", stage.begun())  # free: it goes again, on another connection


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
            (http(500), "", 1, b"500 "), (b"nonsense\r\n\r\n", "", 1, b"500 "),
            (ACCEPTED, "close", 1, b""), (b"HTTP/1.1 202 X\r\n\r\n", "close", 1, b""),
        ]  # fmt: skip
        for said, end, begins, gets in cases:
            with self.subTest(said=said, end=end), staged() as stage:
                client, peer = ask(stage, "result-post", "a")
                if said:
                    peer.say(said)
                if end:
                    (peer.reset if end == "reset" else peer.close)()
                stage.turn(10)
                stage.pass_time(100)
                stage.turn(10)
                self.assertEqual(stage.begun().count("a"), begins)
                self.assertEqual(client.look()[9:13], gets)

    def test_an_answer_that_never_ends_holds_nothing_for_long(self) -> None:
        """The job's end is told by call-back, before the 202 or as half of it: the client hears at once, and
        the connection is given up soon after, whole requests or not."""
        for said, state in itertools.product(
            (b"", b"HTTP/1.1 202 Acc", b"HTTP/1.1 202 X\r\nContent-Length: 5\r\n\r\nab"), ("done", "failed")
        ):
            with self.subTest(said=said, state=state), staged(workers=1) as stage:
                client, peer = ask(stage, "result-post", "a")
                if said:
                    peer.say(said)
                stage.turn(5)
                stage.client().say(told("a", "w0", state, result="ok"))
                got = stage.until(client.look, "the client's answer")
                self.assertIn(b"200 OK" if state == "done" else b"500 ", got)
                self.assertEqual(worker_conns(stage), 1)
                stage.pass_time(900)
                if said:
                    peer.say(b" ")  # a trickle puts nothing off
                    stage.turn(5)
                stage.pass_time(200)
                self.assertEqual(worker_conns(stage), 0)

    def test_an_answer_that_is_given_up_is_none(self) -> None:
        """A probe's answer without a length: whole where its connection ends, and else never."""
        for ends, name in ((True, "answered"), (False, "failed")):
            with self.subTest(ends=ends), staged(workers=1) as stage:
                stage.service.workers.probe(stage.core.entries["w0"])
                (peer,) = stage.until(
                    lambda s=stage: [p for p in s.workers[0].accept_pending() if p.requests()], "it"
                )
                peer.say(b"HTTP/1.1 200 X\r\n\r\n")
                stage.turn(3)
                if ends:
                    peer.close()
                    stage.turn(5)
                stage.pass_time(1100)
                self.assertEqual(stage.counted(f"out.probe.{name}"), 1)
                self.assertEqual(worker_conns(stage), 0)

    def test_a_202_after_the_call_back_leaves_the_connection_in_use(self) -> None:
        with staged(workers=1) as stage:
            client, peer = ask(stage, "result-post", "a")
            self.assertIn(b"200 OK", serve(stage, "a", client))
            peer.say(ACCEPTED)
            stage.turn(5)
            self.assertEqual(worker_conns(stage), 1)
            _, again = ask(stage, "result-post", "b")
            self.assertIs(again, peer)

    def test_what_comes_for_an_attempt_that_has_ended_is_answered_and_changes_nothing(self) -> None:
        """Call-backs early, repeated and late: each is answered, the client gets one answer."""
        for first, second in itertools.product(("done", "failed", "returned", "lost"), repeat=2):
            with self.subTest(first=first, second=second), staged(workers=1) as stage:
                client, _ = ask(stage, "result-post", "a")
                backs = stage.client()
                backs.say(told("a", "w0", first, result="one"))
                stage.turn(5)
                backs.say(told("a", "w0", second, result="two"))
                stage.until(lambda b=backs: b.look().count(b"HTTP/1.1 204") == 2, "both to be answered")
                stage.pass_time(8000)
                got = client.look()
                self.assertEqual(got.count(b"HTTP/1.1 "), 1)
                if first == "done":
                    self.assertIn(b"one", got)


if __name__ == "__main__":
    unittest.main()
