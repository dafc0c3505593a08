"""The proof of one pool behind two fronts: Gearman and HTTP clients, Gearman and HTTP workers."""

from __future__ import annotations

import threading
import unittest
from collections import Counter

from eiderpin.net.gearman import Kind, Packet
from tests.standins import GearmanPeer, GearmanWorker, HttpWorker, http_call, running, wait_for


def submit(peer: GearmanPeer, cls: str, unique: str, kind: Kind = Kind.SUBMIT_JOB) -> Packet:
    """The final packet of a job, past JOB_CREATED and progress."""
    peer.put(kind, cls.encode(), unique.encode(), b"work")
    return peer.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.ERROR)


class MixedRun(unittest.TestCase):
    def test_jobs_of_both_fronts_run_on_both_kinds_of_workers(self) -> None:
        for optimized in (True, False):
            http_workers = [HttpWorker("h1"), HttpWorker("h2")]
            with running(http_workers, optimized, ("gearman",)) as (program, _):
                at = program.at["gearman"]
                workers = [GearmanWorker(at, ["time-lookup", "result-post"]) for _ in range(3)]
                wait_for(lambda at=at: admin_workers(at, "result-post") == 5, "all workers to be listed")
                failed: list[object] = []

                def client(number: int, at: str = at, edge: str = program.edge,
                           failed: list[object] = failed) -> None:  # fmt: skip
                    peer = GearmanPeer(at) if number % 2 else None
                    for i in range(12):
                        cls = ("time-lookup", "result-post")[i % 2]
                        unique = f"job-{number}-{i}"
                        if peer is not None:
                            got = submit(peer, cls, unique)
                            ok = got.kind is Kind.WORK_COMPLETE and got.args[1].endswith(unique.encode())
                        else:
                            status, body, _ = http_call(edge, "POST", f"/{cls}", b"work", Req_Id=unique)
                            ok = status == 200 and body.endswith(unique.encode())
                        if not ok:
                            failed.append((unique, got if peer is not None else status))

                clients = [threading.Thread(target=client, args=(n,)) for n in range(8)]
                for thread in clients:
                    thread.start()
                for thread in clients:
                    thread.join()
                ran: Counter[str] = Counter()
                for w in http_workers:
                    ran.update(w.ran)
                for g in workers:
                    ran.update({unique.decode(): n for unique, n in g.ran.items()})
                    g.close()
                self.assertEqual(failed, [])
                self.assertEqual(len(ran), 96)
                posts = {k: n for k, n in ran.items() if int(k.rsplit("-", 1)[1]) % 2}
                self.assertEqual(set(posts.values()), {1})
                for front in (0, 1):  # jobs that came by HTTP, by Gearman
                    mine = {k for k in ran if int(k.split("-")[1]) % 2 == front}
                    self.assertTrue(mine & set().union(*(w.ran for w in http_workers)))
                    by_gearman = {u.decode() for g in workers for u in g.ran}
                    self.assertTrue(mine & by_gearman)

    def test_a_drop_mid_job_is_a_reset(self) -> None:
        """A time-lookup goes again, to another worker; a result-post fails, and nothing runs it again."""
        with running([], fronts=("gearman",)) as (program, _):
            at = program.at["gearman"]

            def drop(worker: GearmanWorker, packet: Packet) -> bool:
                worker.peer.close()
                return False

            for cls, ends, runs in (
                ("time-lookup", Kind.WORK_COMPLETE, 2), ("result-post", Kind.WORK_FAIL, 1),
            ):  # fmt: skip
                first = GearmanWorker(at, [cls], drop)
                wait_for(lambda cls=cls: admin_workers(at, cls) == 1, "the worker")
                client = GearmanPeer(at)
                client.put(Kind.SUBMIT_JOB, cls.encode(), b"drop-" + cls.encode(), b"x")
                first.jobs.get()
                second = GearmanWorker(at, [cls])
                self.assertIs(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).kind, ends)
                if cls == "result-post":  # asked again it is told the same, and does not run
                    wait_for(lambda cls=cls: admin_workers(at, cls) == 1, "the second worker")
                    self.assertIs(submit(client, cls, "drop-" + cls).kind, Kind.WORK_FAIL)
                self.assertEqual(sum(first.ran.values()) + sum(second.ran.values()), runs)
                client.close()
                second.close()
                wait_for(lambda cls=cls: admin_workers(at, cls) == 0, "the worker to be gone")

    def test_a_worker_that_withdraws_is_given_nothing(self) -> None:
        http_worker = HttpWorker("h1")
        with running([http_worker], fronts=("gearman",)) as (program, _):
            at = program.at["gearman"]
            worker = GearmanPeer(at)
            worker.put(Kind.CAN_DO, b"time-lookup")
            wait_for(lambda: admin_workers(at, "time-lookup") == 2, "the worker")
            worker.put(Kind.RESET_ABILITIES)
            wait_for(lambda: admin_workers(at, "time-lookup") == 1, "the drain")
            client = GearmanPeer(at)
            for i in range(12):
                self.assertIs(submit(client, "time-lookup", f"drain-{i}").kind, Kind.WORK_COMPLETE)
                self.assertIs(worker.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            self.assertEqual(sum(http_worker.ran.values()), 12)
            client.close()
            worker.close()

    def test_what_was_placed_on_a_worker_that_withdraws_runs_elsewhere(self) -> None:
        """It was woken for the job and has not grabbed it yet when it withdraws."""
        with running([], fronts=("gearman",)) as (program, _):
            at = program.at["gearman"]
            worker, client = GearmanPeer(at), GearmanPeer(at)
            worker.put(Kind.CAN_DO, b"result-post")
            worker.put(Kind.PRE_SLEEP)
            client.put(Kind.SUBMIT_JOB, b"result-post", b"moved", b"x")
            worker.until(Kind.NOOP)
            worker.put(Kind.CANT_DO, b"result-post")
            self.assertIs(worker.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            other = GearmanWorker(at, ["result-post"])
            self.assertEqual(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).kind, Kind.WORK_COMPLETE)
            self.assertIs(worker.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            self.assertEqual(other.ran, {b"moved": 1})
            for peer in (worker, client, other):
                peer.close()

    def test_a_resubmission_joins_or_gets_the_kept_result(self) -> None:
        go = threading.Event()

        def wait(worker: HttpWorker, rid: str, handler: object) -> None:
            go.wait(20)
            worker.serve(rid, handler)

        http_worker = HttpWorker("h1", wait)
        with running([http_worker], fronts=("gearman",)) as (program, _):
            at = program.at["gearman"]
            first, second = GearmanPeer(at), GearmanPeer(at)
            handles = [p.ask(Kind.SUBMIT_JOB, b"result-post", b"same", b"x").args[0] for p in (first, second)]
            self.assertEqual(handles[0], handles[1])
            statuses: list[tuple[int, bytes]] = []
            other = threading.Thread(
                target=lambda: statuses.append(
                    http_call(program.edge, "POST", "/result-post", b"x", Req_Id="same")[:2]
                )
            )
            other.start()
            wait_for(lambda: program.counters().get("in.joined") == 2, "both to join")
            first.close()  # and the job goes on
            go.set()
            self.assertEqual(second.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).args[1], b"h1 ran same")
            other.join()
            self.assertEqual(statuses, [(200, b"h1 ran same")])
            self.assertEqual(submit(second, "result-post", "same").args[1], b"h1 ran same")
            again = http_call(program.edge, "POST", "/result-post", b"x", Req_Id="same")
            self.assertEqual(again[:2], (200, b"h1 ran same"))
            self.assertEqual(http_worker.ran, {"same": 1})
            second.close()

    def test_a_single_shot_job_outlives_its_client(self) -> None:
        with running([], fronts=("gearman",)) as (program, _):
            at = program.at["gearman"]
            go = threading.Event()

            def wait(worker: GearmanWorker, packet: Packet) -> bool:
                go.wait(20)
                worker.peer.put(Kind.WORK_COMPLETE, packet.args[0], b"ranked")
                return True

            worker = GearmanWorker(at, ["result-post"], wait)
            wait_for(lambda: admin_workers(at, "result-post") == 1, "the worker")
            client = GearmanPeer(at)
            client.put(Kind.SUBMIT_JOB, b"result-post", b"club-9", b"x")
            worker.jobs.get()
            client.close()
            client = GearmanPeer(at)
            client.put(Kind.SUBMIT_JOB, b"result-post", b"club-9", b"x")
            client.until(Kind.JOB_CREATED)
            go.set()
            self.assertEqual(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).args[1], b"ranked")
            self.assertEqual(worker.ran, {b"club-9": 1})
            client.close()
            worker.close()


def admin(address: str, line: str) -> str:
    peer = GearmanPeer(address)
    peer.sock.sendall(line.encode() + b"\n")
    got = b""
    while not (got.endswith(b".\n") or (b"\n" in got and not line.startswith(("status", "workers")))):
        got += peer.sock.recv(65536)
    peer.close()
    return got.decode()


def admin_workers(address: str, cls: str) -> int:
    """How many workers `status` shows for a function."""
    rows = [line.split("\t") for line in admin(address, "status").splitlines()]
    return next(int(r[3]) for r in rows if r[0] == cls)
