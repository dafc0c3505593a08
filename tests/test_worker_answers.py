"""Workers' answers that are cut off, never end, come twice or unsolicited; each race in both orders.

Judged by the jobs that began at the workers and by what clients receive.
"""

from __future__ import annotations

import itertools
import unittest

from tests.crossing import Harness, Peer, callback_request, http_response, job_request, running_harness

ACCEPTED = http_response(202)
DECLINED = http_response(503, "Srv-Declined: 1")


def begin_job(harness: Harness, cls: str, request_id: str) -> tuple[Peer, Peer]:
    """Send a job and wait until it has begun; return the client, and the worker's end of the connection."""
    before = len(harness.begun())
    client = harness.client()
    client.send(job_request(cls, request_id))
    harness.run_until(lambda: harness.service.http_front.jobs, "the job")
    harness.advance_clock(40)
    harness.run_until(lambda: len(harness.begun()) > before, "the job to begin")
    peers = [p for w in harness.workers for p in w.peers if f"Req-Id: {request_id}".encode() in p.received]
    return client, peers[-1]


def complete_job(harness: Harness, request_id: str, client: Peer) -> bytes:
    """Report the job done by a call-back; return what its client receives."""
    name = next(w.name for w in harness.workers if request_id in w.begun())
    harness.client().send(callback_request(request_id, name, "done", result="ok"))
    return bytes(harness.run_until(client.read_available, "the client's answer"))


def hold_back_open_connections(harness: Harness) -> None:
    """Withhold the events of the present connections to workers from the loop."""
    open_now = {c.conn for c in harness.service.workers.open}
    harness.hold_back(lambda conn: conn in open_now)


def count_worker_connections(harness: Harness) -> int:
    """Return the number of open connections to workers."""
    return len(harness.service.workers.open)


class IdleConnections(unittest.TestCase):
    """What happens on a connection between exchanges."""

    def test_unsolicited_data_ends_the_connection(self) -> None:
        """Data on an idle connection could be taken for the answer to the next request. It is read while the
        connection is idle, or still unread when the connection would be used."""
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
                client, peer = begin_job(harness, "time-lookup", "a")
                peer.send(ACCEPTED)
                harness.run_turns(5)
                self.assertIn(b"200 OK", complete_job(harness, "a", client))
                if not read_first:
                    hold_back_open_connections(harness)
                peer.send(data)
                if read_first:
                    harness.run_until(
                        lambda s=harness: not count_worker_connections(s), "the connection's end"
                    )
                    self.assertEqual(harness.counter_value("in.worker_unasked"), 1)
                client, new_peer = begin_job(harness, cls, "b")
                harness.release_held()
                self.assertIsNot(new_peer, peer)
                new_peer.send(ACCEPTED)
                harness.run_turns(5)
                self.assertIn(b"200 OK", complete_job(harness, "b", client))
                self.assertEqual(harness.begun(), ["a", "b"])

    def test_a_second_answer_directly_after_the_first_ends_the_connection(self) -> None:
        """It could be taken for the answer to the next request."""
        for second in (ACCEPTED, http_response(500), b"HTTP/1.1 50", b"H"):
            with self.subTest(second=second), running_harness(workers=1) as harness:
                client, peer = begin_job(harness, "result-post", "a")
                peer.send(ACCEPTED + second)
                harness.run_until(lambda s=harness: not count_worker_connections(s), "the connection's end")
                self.assertIn(b"200 OK", complete_job(harness, "a", client))
                client, new_peer = begin_job(harness, "result-post", "b")
                new_peer.send(ACCEPTED)
                harness.run_turns(5)
                self.assertIn(b"200 OK", complete_job(harness, "b", client))

    def test_an_idle_connection_that_its_worker_closes_as_it_is_used(self) -> None:
        """If the close is seen before the write, another connection is used. If it is seen only afterwards,
        the job may have run, and only a class that may run twice is sent again."""
        for closed_before_write, cls in itertools.product((True, False), ("time-lookup", "result-post")):
            with (
                self.subTest(closed_before_write=closed_before_write, cls=cls),
                running_harness(workers=1) as harness,
            ):
                client, peer = begin_job(harness, "time-lookup", "a")
                peer.send(ACCEPTED)
                harness.run_turns(5)
                complete_job(harness, "a", client)
                hold_back_open_connections(harness)
                if closed_before_write:
                    peer.close()
                client, _ = begin_job(harness, cls, "b")
                if not closed_before_write:
                    peer.reset()
                harness.release_held()
                harness.run_turns(5)
                if closed_before_write:
                    self.assertEqual((harness.begun(), client.read_available()), (["a", "b"], b""))
                elif cls == "result-post":
                    self.assertIn(b"500 ", harness.run_until(client.read_available, "the answer"))
                else:
                    harness.advance_clock(400)
                    self.assertIn("b", harness.begun())  # repeat is "free": sent again on another connection


class Answers(unittest.TestCase):
    """Answers to attempts and probes, and the call-backs that race them."""

    def test_cut_off_answers_count_as_resets_and_complete_ones_by_their_status(self) -> None:
        """The table of the protocol: the answer, how the connection ends, how often a result-post begins, and
        the status that its client gets. An answer without Content-Length is complete when the connection
        ends."""
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
        for answer, ending, begins, status in cases:
            with self.subTest(answer=answer, ending=ending), running_harness() as harness:
                client, peer = begin_job(harness, "result-post", "a")
                if answer:
                    peer.send(answer)
                if ending:
                    (peer.reset if ending == "reset" else peer.close)()
                harness.run_turns(10)
                harness.advance_clock(100)
                harness.run_turns(10)
                self.assertEqual(harness.begun().count("a"), begins)
                self.assertEqual(client.read_available()[9:13], status)

    def test_an_answer_that_never_ends_does_not_keep_its_connection(self) -> None:
        """The end of the job is reported by call-back before the 202 or in the middle of it: the client gets
        its answer at once, and the connection is closed soon after, though some bytes still arrive."""
        for answer, state in itertools.product(
            (b"", b"HTTP/1.1 202 Acc", b"HTTP/1.1 202 X\r\nContent-Length: 5\r\n\r\nab"), ("done", "failed")
        ):
            with self.subTest(answer=answer, state=state), running_harness(workers=1) as harness:
                client, peer = begin_job(harness, "result-post", "a")
                if answer:
                    peer.send(answer)
                harness.run_turns(5)
                harness.client().send(callback_request("a", "w0", state, result="ok"))
                got = harness.run_until(client.read_available, "the client's answer")
                self.assertIn(b"200 OK" if state == "done" else b"500 ", got)
                self.assertEqual(count_worker_connections(harness), 1)
                harness.advance_clock(900)
                if answer:
                    peer.send(b" ")  # single bytes must not extend the timeout
                    harness.run_turns(5)
                harness.advance_clock(200)
                self.assertEqual(count_worker_connections(harness), 0)

    def test_a_probe_answer_that_times_out_counts_as_failed(self) -> None:
        """A probe's answer without Content-Length is complete only when the connection ends."""
        for ends, name in ((True, "answered"), (False, "failed")):
            with self.subTest(ends=ends), running_harness(workers=1) as harness:
                harness.service.workers.probe(harness.core.endpoints["w0"])
                (peer,) = harness.run_until(
                    lambda s=harness: [p for p in s.workers[0].accept_pending() if p.requests()], "it"
                )
                peer.send(b"HTTP/1.1 200 X\r\n\r\n")
                harness.run_turns(3)
                if ends:
                    peer.close()
                    harness.run_turns(5)
                harness.advance_clock(1100)
                self.assertEqual(harness.counter_value(f"out.probe.{name}"), 1)
                self.assertEqual(count_worker_connections(harness), 0)

    def test_a_202_after_the_callback_leaves_the_connection_in_use(self) -> None:
        """It is the expected answer, though the job has ended by then, and not unsolicited data."""
        with running_harness(workers=1) as harness:
            client, peer = begin_job(harness, "result-post", "a")
            self.assertIn(b"200 OK", complete_job(harness, "a", client))
            peer.send(ACCEPTED)
            harness.run_turns(5)
            self.assertEqual(count_worker_connections(harness), 1)
            _, same_peer = begin_job(harness, "result-post", "b")
            self.assertIs(same_peer, peer)

    def test_callbacks_for_an_ended_attempt_are_answered_and_change_nothing(self) -> None:
        """Call-backs may come early, repeated and late: each is answered, and the client gets one answer."""
        for first, second in itertools.product(("done", "failed", "returned", "lost"), repeat=2):
            with self.subTest(first=first, second=second), running_harness(workers=1) as harness:
                client, _ = begin_job(harness, "result-post", "a")
                callback_client = harness.client()
                callback_client.send(callback_request("a", "w0", first, result="one"))
                harness.run_turns(5)
                callback_client.send(callback_request("a", "w0", second, result="two"))
                harness.run_until(
                    lambda c=callback_client: c.read_available().count(b"HTTP/1.1 204") == 2,
                    "both to be answered",
                )
                harness.advance_clock(8000)
                got = client.read_available()
                self.assertEqual(got.count(b"HTTP/1.1 "), 1)
                if first == "done":
                    self.assertIn(b"one", got)


if __name__ == "__main__":
    unittest.main()
