"""A client that has gone: no attempt at its job, first or further, begins any more. Both orders of each
crossing, judged by the workers' own books of what began."""

from __future__ import annotations

import itertools
import unittest

from eiderpin.net.gearman import Kind, pack
from tests.crossing import Peer, Stage, http, job, staged, to_worker
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
        client.say(job("time-lookup", "ahead"))
    elif way.startswith("half"):
        client.say(job("time-lookup", "ahead")[:30])
    (client.reset if way == "reset" else client.close)()


def gone(stage: Stage) -> bool:
    return stage.core.outstanding == 0


class ClientLeaves(unittest.TestCase):
    def test_while_the_connection_to_a_worker_comes_up(self) -> None:
        """Both orders: the loop sees first that the connection is up, or first that the client has gone."""
        for cls, way, cancels, later in itertools.product(CLASSES, WAYS, (True, False), (True, False)):
            with (
                self.subTest(cls=cls, way=way, may_cancel=cancels, seen="later" if later else "at once"),
                staged(settings=settings(cancels)) as stage,
            ):
                client = stage.client()
                client.say(job(cls, "a"))
                stage.hold(lambda conn: conn.connecting)
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                self.assertTrue(stage.loop.connections.all())
                leave(client, way)
                if later:
                    stage.until(lambda s=stage: gone(s), "the client's end")
                else:
                    stage.first(lambda conn: not conn.connecting)
                stage.let()
                stage.until(lambda s=stage: gone(s), "the client's end")
                stage.turn(5)
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), [])

    def test_while_it_waits_for_room(self) -> None:
        """No worker is there: once one is, it is sent nothing of a client that has gone."""
        for cls, way, cancels in itertools.product(CLASSES, WAYS, (True, False)):
            with (
                self.subTest(cls=cls, way=way, may_cancel=cancels),
                staged(settings=settings(cancels)) as stage,
            ):
                rows = stage.service.config.workers
                assert rows is not None and stage.service.listed is not None
                stage.service.listed.tell([])
                client = stage.client()
                client.say(job(cls, "a"))
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                leave(client, way)
                stage.service.listed.tell(rows)  # in the very turn in which its end is seen
                stage.until(lambda s=stage: gone(s), "the client's end")
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), [])

    def test_as_an_attempt_is_turned_away(self) -> None:
        """Both orders: what the worker says is read first, or the client's end; and with time between."""
        for cls, cancels, worker_first, between in itertools.product(
            CLASSES, (True, False), (True, False), (0.0, 12.0, 40.0)
        ):
            with (
                self.subTest(cls=cls, may_cancel=cancels, worker_first=worker_first, between=between),
                staged(settings=settings(cancels)) as stage,
            ):
                client = stage.client()
                client.say(job(cls, "a"))
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                stage.until(lambda s=stage: s.begun(), "the first attempt")
                (peer,) = [p for w in stage.workers for p in w.peers]
                stage.first(to_worker if worker_first else lambda conn: not to_worker(conn))
                peer.say(http(503, "Srv-Declined: 1"))
                if between:
                    stage.turn(5)
                    stage.hold(lambda conn: conn.connecting)
                    stage.pass_time(between)  # at 40 ms the next attempt's connection comes up
                client.close()
                stage.until(lambda s=stage: gone(s), "the client's end")
                stage.let()
                stage.turn(5)
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), ["a"])

    def test_a_burst_of_leavers_in_one_turn(self) -> None:
        with staged(settings=settings(False)) as stage:
            clients = [stage.client() for _ in range(60)]
            for i, client in enumerate(clients):
                client.say(job(CLASSES[i % 3], f"b{i}"))
            stage.hold(lambda conn: conn.connecting)
            stage.until(lambda: stage.core.outstanding == 60, "the jobs")
            stage.pass_time(40)
            for client in clients:
                client.close()
            stage.let()
            stage.first(lambda conn: not conn.connecting)
            stage.until(lambda: gone(stage), "their ends")
            stage.pass_time(1000)
            self.assertEqual(stage.begun(), [])
            self.assertEqual(len(stage.service.edge.connections), 0)

    def test_with_most_of_a_request_out_the_rest_is_not_sent(self) -> None:
        """A worker begins at the last byte: what its socket would not take yet is not sent after all, also
        where it takes it in the very turn in which the client's end is seen."""
        for held_up in (False, True):
            with self.subTest(held_up=held_up):
                self.rest_is_not_sent(held_up)

    def rest_is_not_sent(self, held_up: bool) -> None:
        with staged(settings=settings(False)) as stage:
            client = stage.client()
            client.say(job("result-post", "a", body=bytes(60_000)))
            stage.hold(lambda conn: conn.connecting)
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            (conn,) = [c for c in stage.loop.connections.all() if c.connecting]

            class Narrow:
                """A socket that takes 10,000 bytes and then no more."""

                left = 10_000

                def send(self, data: bytes) -> int:
                    if not self.left:
                        raise BlockingIOError
                    taken = conn_sock.send(bytes(data[: self.left]))
                    type(self).left -= taken
                    return taken

                def __getattr__(self, name: str) -> object:
                    return getattr(conn_sock, name)

            conn_sock = conn.sock
            stage.let()
            conn.sock = Narrow()  # type: ignore[assignment]
            stage.until(lambda: conn.taken == 10_000, "a part of the request")
            if held_up:
                stage.first(lambda found: found is conn)
                Narrow.left = 100_000
            client.close()
            stage.until(lambda: gone(stage), "the client's end")
            stage.pass_time(100)
            self.assertEqual(stage.begun(), [])
            self.assertIs(conn.closed, True)

    def test_a_gearman_client_that_has_gone(self) -> None:
        """What has begun of its job runs on for a resubmission; turned away, it is not sent again."""
        for cls in CLASSES:
            with self.subTest(cls=cls), staged(gearman=True, settings=settings(True)) as stage:
                client = stage.client("gearman")
                client.say(pack(Kind.SUBMIT_JOB, cls.encode(), b"g", b"", magic=b"\0REQ"))
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                stage.until(lambda s=stage: s.begun(), "the first attempt")
                client.close()
                stage.until(lambda s=stage: not len(s.service.gearman.connections), "its end")
                peer = next(p for w in stage.workers for p in w.peers)
                if cls != "time-lookup":  # that one was called off
                    self.assertEqual(stage.core.outstanding, 1)
                    peer.say(http(503, "Srv-Declined: 1"))
                stage.until(lambda s=stage: gone(s), "the job's end")
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), ["g"])

    def test_a_gearman_client_that_comes_again_finds_its_job(self) -> None:
        with staged(gearman=True, settings=settings(True)) as stage:
            client = stage.client("gearman")
            submit = pack(Kind.SUBMIT_JOB, b"result-post", b"g", b"", magic=b"\0REQ")
            client.say(submit)
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            stage.until(lambda: stage.begun(), "the first attempt")
            client.close()
            stage.until(lambda: not len(stage.service.gearman.connections), "its end")
            again = stage.client("gearman")
            again.say(submit)
            stage.until(lambda: again.look(), "its handle")
            peer = next(p for w in stage.workers for p in w.peers)
            peer.say(http(503, "Srv-Declined: 1"))  # wanted again, it may be sent again
            stage.turn(5)
            stage.pass_time(40)
            stage.until(lambda: stage.begun() == ["g", "g"], "the second attempt")


class HeldUp(unittest.TestCase):
    """The process is stopped for a while, so that a client's end and what would begin an attempt for it lie
    ready in one turn of the loop: whatever comes first there, the attempt must not begin."""

    def test_as_the_connection_to_a_worker_comes_up(self) -> None:
        for cls, way in itertools.product(CLASSES, ("close", "reset")):
            with self.subTest(cls=cls, way=way), staged(settings=settings(True)) as stage:
                client = stage.client()
                client.say(job(cls, "a"))
                stage.hold(lambda conn: conn.connecting)
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                leave(client, way)
                stage.first(lambda conn: conn.connecting)
                stage.let()
                stage.turn(5)
                stage.pass_time(1000)
                self.assertEqual((stage.begun(), gone(stage)), ([], True))

    def test_as_a_connection_that_rests_is_used(self) -> None:
        """A repeat that is placed at once, on a connection that is up."""
        with staged(settings=settings(True)) as stage:
            first, second = stage.client(), stage.client()
            first.say(job("time-lookup", "a"))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            stage.until(lambda: stage.begun(), "the first attempt")
            (peer,) = [p for w in stage.workers for p in w.peers]
            peer.say(http(202))
            stage.turn(3)
            second.say(job("time-lookup", "b"))
            stage.until(lambda: stage.core.outstanding == 2, "the job")
            edges = [c for c in stage.loop.connections.all() if not to_worker(c)]
            stage.hold(lambda conn: conn in edges)
            second.close()
            stage.pass_time(40)
            self.assertEqual(stage.begun(), ["a"])
            stage.let()
            stage.until(lambda: stage.core.outstanding == 1, "its end")

    def test_a_full_round_of_clients_that_have_sent_and_gone(self) -> None:
        for way in ("close", "reset"):
            with self.subTest(way=way), staged(settings=settings(True)) as stage:
                clients = [stage.client() for _ in range(8)]
                for number, client in enumerate(clients):
                    client.say(job("result-post", f"r{number}"))
                    leave(client, way)
                stage.first(lambda conn: conn.connecting or to_worker(conn))
                stage.turn(10)
                stage.pass_time(500)
                self.assertEqual((stage.begun(), gone(stage)), ([], True))

    def test_a_gearman_client_while_a_worker_grabs(self) -> None:
        with staged(workers=0, gearman=True, settings=settings(True)) as stage:
            worker, client = stage.client("gearman"), stage.client("gearman")
            worker.say(pack(Kind.CAN_DO, b"time-lookup", magic=b"\0REQ"))
            stage.turn(5)
            client.say(pack(Kind.SUBMIT_JOB, b"time-lookup", b"g", b"", magic=b"\0REQ"))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            client.close()
            grabs = next(
                c.conn for c in stage.service.gearman.connections.all() if c.abilities
            )  # the worker's packet is seen first
            stage.first(lambda conn: conn is grabs)
            worker.say(pack(Kind.GRAB_JOB, magic=b"\0REQ"))
            stage.turn(5)
            self.assertNotIn(pack(Kind.JOB_ASSIGN, b"")[:8], worker.look())
            self.assertTrue(gone(stage))


if __name__ == "__main__":
    unittest.main()
