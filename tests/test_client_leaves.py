"""No attempt at a job, first or further, begins once the job's client has left.

The client leaves just as something else would begin an attempt. Each test has the loop see the two events in
either order, and checks by what the workers received."""

from __future__ import annotations

import itertools
import unittest

from eiderpin.net.gearman import Kind, pack
from tests.crossing import Peer, Stage, http, job, staged, to_worker
from tests.standins import SETTINGS

LEAVING_WAYS = ("close", "reset", "pipelined, then close", "half a request more, then close")
CLASSES = ("time-lookup", "result-post", "hold")
KEYED_CLASS = {"name": "hold", "aim": 500.0, "hard_limit": 7500.0, "repeat": "guarded", "key_scope": "zone",
         "memory_span": 2000.0}  # fmt: skip


def settings(may_cancel: bool) -> dict[str, object]:
    """Settings with a third class, of jobs with keys; `may_cancel`: whether running jobs may be cancelled."""
    return {
        "classes": [*SETTINGS["classes"], KEYED_CLASS],
        "limits": {**SETTINGS["limits"], "may_cancel": may_cancel},
    }


def leave(client: Peer, way: str) -> None:
    """Have a client leave in one of `LEAVING_WAYS`."""
    if way.startswith("pipelined"):
        client.say(job("time-lookup", "ahead"))
    elif way.startswith("half"):
        client.say(job("time-lookup", "ahead")[:30])
    (client.reset if way == "reset" else client.close)()


def all_ended(stage: Stage) -> bool:
    """Whether no job is outstanding."""
    return stage.core.outstanding == 0


class ClientLeaves(unittest.TestCase):
    def test_while_the_connection_to_a_worker_is_being_established(self) -> None:
        """The loop sees first that the connection is established, or first that the client has left."""
        for cls, way, cancels, later in itertools.product(
            CLASSES, LEAVING_WAYS, (True, False), (True, False)
        ):
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
                    stage.until(lambda s=stage: all_ended(s), "the client's end")
                else:
                    stage.first(lambda conn: not conn.connecting)
                stage.let()
                stage.until(lambda s=stage: all_ended(s), "the client's end")
                stage.turn(5)
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), [])

    def test_while_the_job_waits_for_a_worker(self) -> None:
        """There is no worker at first. The one that appears as the client leaves must not get the job."""
        for cls, way, cancels in itertools.product(CLASSES, LEAVING_WAYS, (True, False)):
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
                stage.service.listed.tell(rows)  # in the turn of the loop that sees the client leave
                stage.until(lambda s=stage: all_ended(s), "the client's end")
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), [])

    def test_as_a_worker_rejects_the_first_attempt(self) -> None:
        """The loop sees the rejection or the client's end first, with or without time in between. No second
        attempt may follow."""
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
                (peer,) = [peer for worker in stage.workers for peer in worker.peers]
                stage.first(to_worker if worker_first else lambda conn: not to_worker(conn))
                peer.say(http(503, "Srv-Declined: 1"))
                if between:
                    stage.turn(5)
                    stage.hold(lambda conn: conn.connecting)
                    stage.pass_time(between)  # after 40 ms the next attempt's connection is established
                client.close()
                stage.until(lambda s=stage: all_ended(s), "the client's end")
                stage.let()
                stage.turn(5)
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), ["a"])

    def test_many_clients_that_leave_in_one_turn_of_the_loop(self) -> None:
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
            stage.until(lambda: all_ended(stage), "their ends")
            stage.pass_time(1000)
            self.assertEqual(stage.begun(), [])
            self.assertEqual(len(stage.service.edge.connections), 0)

    def test_the_rest_of_a_partly_sent_request_is_not_sent(self) -> None:
        """A worker begins a job at its last byte. The worker's socket has taken only a part of the request,
        and would take the rest just as the loop sees the client leave."""
        for held_up in (False, True):
            with self.subTest(held_up=held_up):
                self.check_rest_is_not_sent(held_up)

    def check_rest_is_not_sent(self, held_up: bool) -> None:
        """With `held_up` the socket takes the rest in the turn of the loop that sees the client leave."""
        with staged(settings=settings(False)) as stage:
            client = stage.client()
            client.say(job("result-post", "a", body=bytes(60_000)))
            stage.hold(lambda conn: conn.connecting)
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            (conn,) = [c for c in stage.loop.connections.all() if c.connecting]

            class LimitedSocket:
                """A socket that takes 10,000 bytes and then no more."""

                remaining = 10_000

                def send(self, data: bytes) -> int:
                    if not self.remaining:
                        raise BlockingIOError
                    sent = conn_sock.send(bytes(data[: self.remaining]))
                    type(self).remaining -= sent
                    return sent

                def __getattr__(self, name: str) -> object:
                    return getattr(conn_sock, name)

            conn_sock = conn.sock
            stage.let()
            conn.sock = LimitedSocket()  # type: ignore[assignment]
            stage.until(lambda: conn.taken == 10_000, "a part of the request")
            if held_up:
                stage.first(lambda other: other is conn)
                LimitedSocket.remaining = 100_000
            client.close()
            stage.until(lambda: all_ended(stage), "the client's end")
            stage.pass_time(100)
            self.assertEqual(stage.begun(), [])
            self.assertIs(conn.closed, True)

    def test_a_gearman_client_that_leaves(self) -> None:
        """An attempt that has begun runs on for a resubmission. If the worker rejects it, the job is not sent
        again. The attempt at a time-lookup is cancelled."""
        for cls in CLASSES:
            with self.subTest(cls=cls), staged(gearman=True, settings=settings(True)) as stage:
                client = stage.client("gearman")
                client.say(pack(Kind.SUBMIT_JOB, cls.encode(), b"g", b"", magic=b"\0REQ"))
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                stage.pass_time(40)
                stage.until(lambda s=stage: s.begun(), "the first attempt")
                client.close()
                stage.until(lambda s=stage: not len(s.service.gearman.connections), "its end")
                peer = next(peer for worker in stage.workers for peer in worker.peers)
                if cls != "time-lookup":  # whose attempt was cancelled
                    self.assertEqual(stage.core.outstanding, 1)
                    peer.say(http(503, "Srv-Declined: 1"))
                stage.until(lambda s=stage: all_ended(s), "the job's end")
                stage.pass_time(1000)
                self.assertEqual(stage.begun(), ["g"])

    def test_a_gearman_client_that_submits_its_job_again_joins_it(self) -> None:
        """The client leaves and comes back while an attempt is under way. If the worker rejects that attempt,
        the job is sent again."""
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
            peer = next(peer for worker in stage.workers for peer in worker.peers)
            peer.say(http(503, "Srv-Declined: 1"))
            stage.turn(5)
            stage.pass_time(40)
            stage.until(lambda: stage.begun() == ["g", "g"], "the second attempt")


class HeldUpProcess(unittest.TestCase):
    """The process was stopped for a while, so that one turn of the loop finds both a client's end and the
    event that would begin an attempt for it. The attempt must not begin, whichever is handled first."""

    def test_as_the_connection_to_a_worker_is_established(self) -> None:
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
                self.assertEqual((stage.begun(), all_ended(stage)), ([], True))

    def test_as_an_idle_connection_to_a_worker_is_reused(self) -> None:
        """The attempt could begin at once, since no connection must be established for it."""
        with staged(settings=settings(True)) as stage:
            first, second = stage.client(), stage.client()
            first.say(job("time-lookup", "a"))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            stage.until(lambda: stage.begun(), "the first attempt")
            (peer,) = [peer for worker in stage.workers for peer in worker.peers]
            peer.say(http(202))
            stage.turn(3)
            second.say(job("time-lookup", "b"))
            stage.until(lambda: stage.core.outstanding == 2, "the job")
            client_connections = [c for c in stage.loop.connections.all() if not to_worker(c)]
            stage.hold(lambda conn: conn in client_connections)
            second.close()
            stage.pass_time(40)
            self.assertEqual(stage.begun(), ["a"])
            stage.let()
            stage.until(lambda: stage.core.outstanding == 1, "its end")

    def test_many_clients_that_have_sent_a_job_and_left(self) -> None:
        for way in ("close", "reset"):
            with self.subTest(way=way), staged(settings=settings(True)) as stage:
                clients = [stage.client() for _ in range(8)]
                for number, client in enumerate(clients):
                    client.say(job("result-post", f"r{number}"))
                    leave(client, way)
                stage.first(lambda conn: conn.connecting or to_worker(conn))
                stage.turn(10)
                stage.pass_time(500)
                self.assertEqual((stage.begun(), all_ended(stage)), ([], True))

    def test_a_gearman_client_that_leaves_as_a_worker_grabs_its_job(self) -> None:
        """The loop sees the worker's packet first."""
        with staged(workers=0, gearman=True, settings=settings(True)) as stage:
            worker, client = stage.client("gearman"), stage.client("gearman")
            worker.say(pack(Kind.CAN_DO, b"time-lookup", magic=b"\0REQ"))
            stage.turn(5)
            client.say(pack(Kind.SUBMIT_JOB, b"time-lookup", b"g", b"", magic=b"\0REQ"))
            stage.until(lambda: stage.core.outstanding, "the job")
            stage.pass_time(40)
            client.close()
            worker_connection = next(c.conn for c in stage.service.gearman.connections.all() if c.abilities)
            stage.first(lambda conn: conn is worker_connection)
            worker.say(pack(Kind.GRAB_JOB, magic=b"\0REQ"))
            stage.turn(5)
            self.assertNotIn(pack(Kind.JOB_ASSIGN, b"")[:8], worker.look())
            self.assertTrue(all_ended(stage))


if __name__ == "__main__":
    unittest.main()
