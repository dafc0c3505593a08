"""One pool of workers behind two front ends: Gearman and HTTP clients, Gearman and HTTP workers."""

from __future__ import annotations

import threading
import unittest
from collections import Counter

from eiderpin.net.gearman import Kind, Packet
from tests.standins import GearmanPeer, GearmanWorker, HttpWorker, http_call, running, wait_for


def submit_and_wait(peer: GearmanPeer, cls: str, unique: str, kind: Kind = Kind.SUBMIT_JOB) -> Packet:
    """Submit a job and return its final packet, skipping JOB_CREATED and progress."""
    peer.put(kind, cls.encode(), unique.encode(), b"work")
    return peer.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.ERROR)


class MixedRun(unittest.TestCase):
    def test_jobs_of_both_front_ends_run_on_both_kinds_of_workers(self) -> None:
        """A front end that could reach only its own workers would split the pool in two."""
        for optimized in (True, False):
            http_workers = [HttpWorker("h1"), HttpWorker("h2")]
            with running(http_workers, optimized, ("gearman",)) as (program, _):
                address = program.at["gearman"]
                workers = [GearmanWorker(address, ["time-lookup", "result-post"]) for _ in range(3)]
                wait_for(
                    lambda address=address: count_workers(address, "result-post") == 5,
                    "all workers to be listed",
                )
                failed: list[object] = []

                def client(number: int, address: str = address, http_address: str = program.edge,
                           failed: list[object] = failed) -> None:  # fmt: skip
                    peer = GearmanPeer(address) if number % 2 else None
                    for i in range(12):
                        cls = ("time-lookup", "result-post")[i % 2]
                        unique = f"job-{number}-{i}"
                        if peer is not None:
                            packet = submit_and_wait(peer, cls, unique)
                            ok = packet.kind is Kind.WORK_COMPLETE and packet.args[1].endswith(
                                unique.encode()
                            )
                        else:
                            status, body, _ = http_call(
                                http_address, "POST", f"/{cls}", b"work", Req_Id=unique
                            )
                            ok = status == 200 and body.endswith(unique.encode())
                        if not ok:
                            failed.append((unique, packet if peer is not None else status))

                clients = [threading.Thread(target=client, args=(n,)) for n in range(8)]
                for thread in clients:
                    thread.start()
                for thread in clients:
                    thread.join()
                run_counts: Counter[str] = Counter()
                for http_worker in http_workers:
                    run_counts.update(http_worker.ran)
                for worker in workers:
                    run_counts.update({unique.decode(): n for unique, n in worker.ran.items()})
                    worker.close()
                self.assertEqual(failed, [])
                self.assertEqual(len(run_counts), 96)
                posts = {unique: n for unique, n in run_counts.items() if int(unique.rsplit("-", 1)[1]) % 2}
                self.assertEqual(set(posts.values()), {1})
                for front in (0, 1):  # jobs submitted by HTTP, by Gearman
                    submitted = {unique for unique in run_counts if int(unique.split("-")[1]) % 2 == front}
                    self.assertTrue(submitted & set().union(*(w.ran for w in http_workers)))
                    by_gearman = {unique.decode() for w in workers for unique in w.ran}
                    self.assertTrue(submitted & by_gearman)

    def test_a_connection_that_breaks_during_a_job_is_a_reset(self) -> None:
        """A time-lookup is sent again, to another worker; a result-post may have run, so it fails and is not
        run again."""
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]

            def drop(worker: GearmanWorker, packet: Packet) -> bool:
                worker.peer.close()
                return False

            for cls, ends, runs in (
                ("time-lookup", Kind.WORK_COMPLETE, 2), ("result-post", Kind.WORK_FAIL, 1),
            ):  # fmt: skip
                first = GearmanWorker(address, [cls], drop)
                wait_for(lambda cls=cls: count_workers(address, cls) == 1, "the worker")
                client = GearmanPeer(address)
                client.put(Kind.SUBMIT_JOB, cls.encode(), b"drop-" + cls.encode(), b"x")
                first.jobs.get()
                second = GearmanWorker(address, [cls])
                self.assertIs(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).kind, ends)
                if cls == "result-post":  # a resubmission gets the same answer, and does not run
                    wait_for(lambda cls=cls: count_workers(address, cls) == 1, "the second worker")
                    self.assertIs(submit_and_wait(client, cls, "drop-" + cls).kind, Kind.WORK_FAIL)
                self.assertEqual(sum(first.ran.values()) + sum(second.ran.values()), runs)
                client.close()
                second.close()
                wait_for(lambda cls=cls: count_workers(address, cls) == 0, "the worker to be gone")

    def test_a_worker_that_withdraws_its_functions_gets_no_jobs(self) -> None:
        http_worker = HttpWorker("h1")
        with running([http_worker], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]
            worker = GearmanPeer(address)
            worker.put(Kind.CAN_DO, b"time-lookup")
            wait_for(lambda: count_workers(address, "time-lookup") == 2, "the worker")
            worker.put(Kind.RESET_ABILITIES)
            wait_for(lambda: count_workers(address, "time-lookup") == 1, "the drain")
            client = GearmanPeer(address)
            for i in range(12):
                self.assertIs(submit_and_wait(client, "time-lookup", f"drain-{i}").kind, Kind.WORK_COMPLETE)
                self.assertIs(worker.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            self.assertEqual(sum(http_worker.ran.values()), 12)
            client.close()
            worker.close()

    def test_a_job_placed_on_a_worker_that_withdraws_runs_elsewhere(self) -> None:
        """The worker was woken for the job, and withdraws its function before it has grabbed the job. The job
        must neither be lost nor be assigned to it."""
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]
            worker, client = GearmanPeer(address), GearmanPeer(address)
            worker.put(Kind.CAN_DO, b"result-post")
            worker.put(Kind.PRE_SLEEP)
            client.put(Kind.SUBMIT_JOB, b"result-post", b"moved", b"x")
            worker.until(Kind.NOOP)
            worker.put(Kind.CANT_DO, b"result-post")
            self.assertIs(worker.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            other = GearmanWorker(address, ["result-post"])
            self.assertEqual(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).kind, Kind.WORK_COMPLETE)
            self.assertIs(worker.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            self.assertEqual(other.ran, {b"moved": 1})
            for peer in (worker, client, other):
                peer.close()

    def test_a_resubmission_joins_the_job_or_gets_its_stored_result(self) -> None:
        """A job that is submitted again, by either front end, must run only once."""
        may_finish = threading.Event()

        def wait(worker: HttpWorker, rid: str, handler: object) -> None:
            may_finish.wait(20)
            worker.serve(rid, handler)

        http_worker = HttpWorker("h1", wait)
        with running([http_worker], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]
            first, second = GearmanPeer(address), GearmanPeer(address)
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
            first.close()  # the job goes on for the others
            may_finish.set()
            self.assertEqual(second.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).args[1], b"h1 ran same")
            other.join()
            self.assertEqual(statuses, [(200, b"h1 ran same")])
            self.assertEqual(submit_and_wait(second, "result-post", "same").args[1], b"h1 ran same")
            again = http_call(program.edge, "POST", "/result-post", b"x", Req_Id="same")
            self.assertEqual(again[:2], (200, b"h1 ran same"))
            self.assertEqual(http_worker.ran, {"same": 1})
            second.close()

    def test_a_single_shot_job_runs_on_when_its_client_has_left(self) -> None:
        """The client that submits it again gets the result of the first run; a second run is not allowed."""
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]
            may_finish = threading.Event()

            def wait(worker: GearmanWorker, packet: Packet) -> bool:
                may_finish.wait(20)
                worker.peer.put(Kind.WORK_COMPLETE, packet.args[0], b"ranked")
                return True

            worker = GearmanWorker(address, ["result-post"], wait)
            wait_for(lambda: count_workers(address, "result-post") == 1, "the worker")
            client = GearmanPeer(address)
            client.put(Kind.SUBMIT_JOB, b"result-post", b"club-9", b"x")
            worker.jobs.get()
            client.close()
            client = GearmanPeer(address)
            client.put(Kind.SUBMIT_JOB, b"result-post", b"club-9", b"x")
            client.until(Kind.JOB_CREATED)
            may_finish.set()
            self.assertEqual(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).args[1], b"ranked")
            self.assertEqual(worker.ran, {b"club-9": 1})
            client.close()
            worker.close()


def send_admin_command(address: str, line: str) -> str:
    """The reply to a command of the text protocol."""
    peer = GearmanPeer(address)
    peer.sock.sendall(line.encode() + b"\n")
    reply = b""
    while not (reply.endswith(b".\n") or (b"\n" in reply and not line.startswith(("status", "workers")))):
        reply += peer.sock.recv(65536)
    peer.close()
    return reply.decode()


def count_workers(address: str, cls: str) -> int:
    """How many workers `status` shows for a function."""
    rows = [line.split("\t") for line in send_admin_command(address, "status").splitlines()]
    return next(int(row[3]) for row in rows if row[0] == cls)
