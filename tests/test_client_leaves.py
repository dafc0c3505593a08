"""A client that has gone: no attempt at its job, first or further, begins any more. Both orders of each
crossing, judged by the workers' own books of what began."""

from __future__ import annotations

import itertools
import unittest

from eiderpin.net.gearman import Kind, pack
from tests.crossing import Harness, Peer, http_response, job_request, leads_to_worker, running_harness
from tests.standins import SETTINGS

WAYS = ("close", "reset", "pipelined, then close", "half a request more, then close")
CLASSES = ("time-lookup", "result-post", "hold")
KEYED = {"name": "hold", "aim": 500.0, "hard_limit": 7500.0, "repeat": "guarded", "key_scope": "zone",
         "memory_span": 2000.0}  # fmt: skip


def settings(may_cancel: bool) -> dict[str, object]:
    return {
        "classes": [*SETTINGS["classes"], KEYED],
        "limits": {**SETTINGS["limits"], "may_cancel": may_cancel},
    }


def leave(client: Peer, way: str) -> None:
    if way.startswith("pipelined"):
        client.send(job_request("time-lookup", "ahead"))
    elif way.startswith("half"):
        client.send(job_request("time-lookup", "ahead")[:30])
    (client.reset if way == "reset" else client.close)()


def gone(harness: Harness) -> bool:
    return harness.core.outstanding == 0


class ClientLeaves(unittest.TestCase):
    def test_while_the_connection_to_a_worker_comes_up(self) -> None:
        """Both orders: the loop sees first that the connection is up, or first that the client has gone."""
        for cls, way, cancels, later in itertools.product(CLASSES, WAYS, (True, False), (True, False)):
            with (
                self.subTest(cls=cls, way=way, may_cancel=cancels, seen="later" if later else "at once"),
                running_harness(settings=settings(cancels)) as harness,
            ):
                client = harness.client()
                client.send(job_request(cls, "a"))
                harness.hold_back(lambda conn: conn.connecting)
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                self.assertTrue(harness.loop.connections.all())
                leave(client, way)
                if later:
                    harness.run_until(lambda s=harness: gone(s), "the client's end")
                else:
                    harness.first(lambda conn: not conn.connecting)
                harness.release_held()
                harness.run_until(lambda s=harness: gone(s), "the client's end")
                harness.run_turns(5)
                harness.advance_clock(1000)
                self.assertEqual(harness.begun(), [])

    def test_while_it_waits_for_room(self) -> None:
        """No worker is there: once one is, it is sent nothing of a client that has gone."""
        for cls, way, cancels in itertools.product(CLASSES, WAYS, (True, False)):
            with (
                self.subTest(cls=cls, way=way, may_cancel=cancels),
                running_harness(settings=settings(cancels)) as harness,
            ):
                rows = harness.service.config.workers
                assert rows is not None and harness.service.listed is not None
                harness.service.listed.update_workers([])
                client = harness.client()
                client.send(job_request(cls, "a"))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                leave(client, way)
                harness.service.listed.update_workers(rows)  # in the very turn in which its end is seen
                harness.run_until(lambda s=harness: gone(s), "the client's end")
                harness.advance_clock(1000)
                self.assertEqual(harness.begun(), [])

    def test_as_an_attempt_is_turned_away(self) -> None:
        """Both orders: what the worker says is read first, or the client's end; and with time between."""
        for cls, cancels, worker_first, between in itertools.product(
            CLASSES, (True, False), (True, False), (0.0, 12.0, 40.0)
        ):
            with (
                self.subTest(cls=cls, may_cancel=cancels, worker_first=worker_first, between=between),
                running_harness(settings=settings(cancels)) as harness,
            ):
                client = harness.client()
                client.send(job_request(cls, "a"))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                harness.run_until(lambda s=harness: s.begun(), "the first attempt")
                (peer,) = [p for w in harness.workers for p in w.peers]
                harness.first(leads_to_worker if worker_first else lambda conn: not leads_to_worker(conn))
                peer.send(http_response(503, "Srv-Declined: 1"))
                if between:
                    harness.run_turns(5)
                    harness.hold_back(lambda conn: conn.connecting)
                    harness.advance_clock(between)  # at 40 ms the next attempt's connection comes up
                client.close()
                harness.run_until(lambda s=harness: gone(s), "the client's end")
                harness.release_held()
                harness.run_turns(5)
                harness.advance_clock(1000)
                self.assertEqual(harness.begun(), ["a"])

    def test_a_burst_of_leavers_in_one_turn(self) -> None:
        with running_harness(settings=settings(False)) as harness:
            clients = [harness.client() for _ in range(60)]
            for i, client in enumerate(clients):
                client.send(job_request(CLASSES[i % 3], f"b{i}"))
            harness.hold_back(lambda conn: conn.connecting)
            harness.run_until(lambda: harness.core.outstanding == 60, "the jobs")
            harness.advance_clock(40)
            for client in clients:
                client.close()
            harness.release_held()
            harness.first(lambda conn: not conn.connecting)
            harness.run_until(lambda: gone(harness), "their ends")
            harness.advance_clock(1000)
            self.assertEqual(harness.begun(), [])
            self.assertEqual(len(harness.service.http_front.connections), 0)

    def test_with_most_of_a_request_out_the_rest_is_not_sent(self) -> None:
        """A worker begins at the last byte: what its socket would not take yet is not sent after all, also
        where it takes it in the very turn in which the client's end is seen."""
        for held_up in (False, True):
            with self.subTest(held_up=held_up):
                self.rest_is_not_sent(held_up)

    def rest_is_not_sent(self, held_up: bool) -> None:
        with running_harness(settings=settings(False)) as harness:
            client = harness.client()
            client.send(job_request("result-post", "a", body=bytes(60_000)))
            harness.hold_back(lambda conn: conn.connecting)
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            (conn,) = [c for c in harness.loop.connections.all() if c.connecting]

            class Narrow:
                """A socket that takes 10,000 bytes and then no more."""

                left = 10_000

                def send(self, data: bytes) -> int:
                    if not self.left:
                        raise BlockingIOError
                    bytes_sent = conn_sock.send(bytes(data[: self.left]))
                    type(self).left -= bytes_sent
                    return bytes_sent

                def __getattr__(self, name: str) -> object:
                    return getattr(conn_sock, name)

            conn_sock = conn.sock
            harness.release_held()
            conn.sock = Narrow()  # type: ignore[assignment]
            harness.run_until(lambda: conn.bytes_sent == 10_000, "a part of the request")
            if held_up:
                harness.first(lambda found: found is conn)
                Narrow.left = 100_000
            client.close()
            harness.run_until(lambda: gone(harness), "the client's end")
            harness.advance_clock(100)
            self.assertEqual(harness.begun(), [])
            self.assertIs(conn.closed, True)

    def test_a_gearman_client_that_has_gone(self) -> None:
        """What has begun of its job runs on for a resubmission; turned away, it is not sent again."""
        for cls in CLASSES:
            with self.subTest(cls=cls), running_harness(gearman=True, settings=settings(True)) as harness:
                client = harness.client("gearman")
                client.send(pack(Kind.SUBMIT_JOB, cls.encode(), b"g", b"", magic=b"\0REQ"))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                harness.run_until(lambda s=harness: s.begun(), "the first attempt")
                client.close()
                harness.run_until(lambda s=harness: not len(s.service.gearman.connections), "its end")
                peer = next(p for w in harness.workers for p in w.peers)
                if cls != "time-lookup":  # that one was called off
                    self.assertEqual(harness.core.outstanding, 1)
                    peer.send(http_response(503, "Srv-Declined: 1"))
                harness.run_until(lambda s=harness: gone(s), "the job's end")
                harness.advance_clock(1000)
                self.assertEqual(harness.begun(), ["g"])

    def test_a_gearman_client_that_comes_again_finds_its_job(self) -> None:
        with running_harness(gearman=True, settings=settings(True)) as harness:
            client = harness.client("gearman")
            submit = pack(Kind.SUBMIT_JOB, b"result-post", b"g", b"", magic=b"\0REQ")
            client.send(submit)
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            harness.run_until(lambda: harness.begun(), "the first attempt")
            client.close()
            harness.run_until(lambda: not len(harness.service.gearman.connections), "its end")
            again = harness.client("gearman")
            again.send(submit)
            harness.run_until(lambda: again.read_available(), "its handle")
            peer = next(p for w in harness.workers for p in w.peers)
            peer.send(http_response(503, "Srv-Declined: 1"))  # wanted again, it may be sent again
            harness.run_turns(5)
            harness.advance_clock(40)
            harness.run_until(lambda: harness.begun() == ["g", "g"], "the second attempt")


class HeldUp(unittest.TestCase):
    """The process is stopped for a while, so that a client's end and what would begin an attempt for it lie
    ready in one turn of the loop: whatever comes first there, the attempt must not begin."""

    def test_as_the_connection_to_a_worker_comes_up(self) -> None:
        for cls, way in itertools.product(CLASSES, ("close", "reset")):
            with self.subTest(cls=cls, way=way), running_harness(settings=settings(True)) as harness:
                client = harness.client()
                client.send(job_request(cls, "a"))
                harness.hold_back(lambda conn: conn.connecting)
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                leave(client, way)
                harness.first(lambda conn: conn.connecting)
                harness.release_held()
                harness.run_turns(5)
                harness.advance_clock(1000)
                self.assertEqual((harness.begun(), gone(harness)), ([], True))

    def test_as_a_connection_that_rests_is_used(self) -> None:
        """A repeat that is placed at once, on a connection that is up."""
        with running_harness(settings=settings(True)) as harness:
            first, second = harness.client(), harness.client()
            first.send(job_request("time-lookup", "a"))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            harness.run_until(lambda: harness.begun(), "the first attempt")
            (peer,) = [p for w in harness.workers for p in w.peers]
            peer.send(http_response(202))
            harness.run_turns(3)
            second.send(job_request("time-lookup", "b"))
            harness.run_until(lambda: harness.core.outstanding == 2, "the job")
            edges = [c for c in harness.loop.connections.all() if not leads_to_worker(c)]
            harness.hold_back(lambda conn: conn in edges)
            second.close()
            harness.advance_clock(40)
            self.assertEqual(harness.begun(), ["a"])
            harness.release_held()
            harness.run_until(lambda: harness.core.outstanding == 1, "its end")

    def test_a_full_round_of_clients_that_have_sent_and_gone(self) -> None:
        for way in ("close", "reset"):
            with self.subTest(way=way), running_harness(settings=settings(True)) as harness:
                clients = [harness.client() for _ in range(8)]
                for number, client in enumerate(clients):
                    client.send(job_request("result-post", f"r{number}"))
                    leave(client, way)
                harness.first(lambda conn: conn.connecting or leads_to_worker(conn))
                harness.run_turns(10)
                harness.advance_clock(500)
                self.assertEqual((harness.begun(), gone(harness)), ([], True))

    def test_a_gearman_client_while_a_worker_grabs(self) -> None:
        with running_harness(workers=0, gearman=True, settings=settings(True)) as harness:
            worker, client = harness.client("gearman"), harness.client("gearman")
            worker.send(pack(Kind.CAN_DO, b"time-lookup", magic=b"\0REQ"))
            harness.run_turns(5)
            client.send(pack(Kind.SUBMIT_JOB, b"time-lookup", b"g", b"", magic=b"\0REQ"))
            harness.run_until(lambda: harness.core.outstanding, "the job")
            harness.advance_clock(40)
            client.close()
            grabs = next(
                c.conn for c in harness.service.gearman.connections.all() if c.abilities
            )  # the worker's packet is seen first
            harness.first(lambda conn: conn is grabs)
            worker.send(pack(Kind.GRAB_JOB, magic=b"\0REQ"))
            harness.run_turns(5)
            self.assertNotIn(pack(Kind.JOB_ASSIGN, b"")[:8], worker.read_available())
            self.assertTrue(gone(harness))


if __name__ == "__main__":
    unittest.main()
