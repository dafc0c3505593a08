"""The Gearman codec, as tables of cases, and the Gearman front end over real sockets."""

from __future__ import annotations

import copy
import time
import unittest
from typing import Any

from eiderpin.net.gearman import (
    ARGUMENT_COUNTS,
    MAX_ARGUMENT_BYTES,
    MAX_DATA_BYTES,
    MAX_LINE_BYTES,
    BadPacket,
    Kind,
    Line,
    Packet,
    Reader,
    pack,
)
from tests.standins import SETTINGS, GearmanPeer, GearmanWorker, HttpWorker, http_call, running, wait_for
from tests.test_mixed import count_workers, send_admin_command, submit_and_wait

REQ = b"\0REQ"


def header(kind: int, size: int) -> bytes:
    """A packet's header."""
    return REQ + kind.to_bytes(4, "big") + size.to_bytes(4, "big")


class Codec(unittest.TestCase):
    def test_packets_of_every_type_are_decoded_from_pieces_of_any_size(self) -> None:
        packets = [
            Packet(kind, tuple(b"arg%d" % i if i < count - 1 else b"da\0ta" for i in range(count)))
            for kind, count in ARGUMENT_COUNTS.items()
        ]
        stream = b"".join(pack(p.kind, *p.args, magic=REQ) for p in packets)
        for size in (1, 2, 11, 12, 13, len(stream)):
            reader, decoded = Reader(), []
            for start in range(0, len(stream), size):
                decoded += reader.feed(stream[start : start + size])
            self.assertEqual(decoded, packets)

    def test_input_is_decoded_to_packets_lines_and_errors(self) -> None:
        """An error is shown by its code, with an exclamation mark if it is fatal."""
        cases: list[tuple[bytes, list[Any]]] = [
            (b"", []),
            (b"\0RE", []),
            (b"status\r\nwork", [Line("status")]),
            (b"version\n" + header(9, 0), [Line("version"), Packet(Kind.GRAB_JOB)]),
            (header(1, 3) + b"abc", [Packet(Kind.CAN_DO, (b"abc",))]),
            (header(1, 0), [Packet(Kind.CAN_DO, (b"",))]),
            (header(7, 5) + b"f\0u\0d", [Packet(Kind.SUBMIT_JOB, (b"f", b"u", b"d"))]),
            (header(7, 4) + b"f\0\0\0", [Packet(Kind.SUBMIT_JOB, (b"f", b"", b"\0"))]),
            (header(7, 3) + b"f\0u", ["BAD_ARGUMENTS"]),
            (header(9, 1) + b"x", ["BAD_ARGUMENTS"]),
            (header(999, 2) + b"xx" + header(9, 0), ["UNKNOWN_COMMAND", Packet(Kind.GRAB_JOB)]),
            (header(1, MAX_ARGUMENT_BYTES + MAX_DATA_BYTES + 1), ["TOO_LARGE!"]),
            (header(7, MAX_ARGUMENT_BYTES + 4) + b"f" * (MAX_ARGUMENT_BYTES + 1) + b"\0u\0", ["TOO_LARGE"]),
            (header(16, MAX_DATA_BYTES + 1) + b"x" * (MAX_DATA_BYTES + 1), ["TOO_LARGE"]),
            (b"\0RES" + header(9, 0)[4:] + header(9, 0), ["BAD_MAGIC!"]),
            (b"\0\0\0\0", ["BAD_MAGIC!"]),
            (b"x" * MAX_LINE_BYTES, ["TOO_LARGE!"]),
        ]
        for data, expected in cases:
            with self.subTest(data=data[:40]):
                decoded = [
                    item.code + "!" * item.fatal if isinstance(item, BadPacket) else item
                    for item in Reader().feed(data)
                ]
                self.assertEqual(decoded, expected)


class Front(unittest.TestCase):
    def test_an_invalid_packet_gets_an_error_and_the_connection_stays_usable_if_possible(self) -> None:
        with running([HttpWorker("h1")], fronts=("gearman",)) as (program, _):
            peer = GearmanPeer(program.at["gearman"])
            cases = [
                (header(999, 0), b"UNKNOWN_COMMAND"),
                (header(7, 1) + b"x", b"BAD_ARGUMENTS"),
                (pack(Kind.SUBMIT_JOB, b"no-such", b"u", b"", magic=REQ), b"UNKNOWN_FUNCTION"),
                (pack(Kind.OPTION_REQ, b"fly", magic=REQ), b"UNKNOWN_OPTION"),
                (pack(Kind.CAN_DO_TIMEOUT, b"time-lookup", b"soon", magic=REQ), b"BAD_ARGUMENTS"),
                (pack(Kind.JOB_CREATED, b"H", magic=REQ), b"UNEXPECTED"),
            ]
            for data, code in cases:
                peer.sock.sendall(data)
                reply = peer.get()
                self.assertEqual((reply.kind, reply.args[0]), (Kind.ERROR, code))
            self.assertEqual(peer.ask(Kind.ECHO_REQ, b"a\0b"), Packet(Kind.ECHO_RES, (b"a\0b",)))
            for data in (header(7, 1 << 30), b"\0XYZ", b"x" * 2000):
                broken = GearmanPeer(program.at["gearman"])
                broken.sock.sendall(data)
                self.assertIs(broken.get().kind, Kind.ERROR)
                self.assertRaises(EOFError, broken.get)
                broken.close()
            peer.close()

    def test_status_of_a_background_job_and_the_text_protocol(self) -> None:
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]
            client, worker = GearmanPeer(address), GearmanPeer(address)
            handle = client.ask(Kind.SUBMIT_JOB_BG, b"result-post", b"bg", b"x").args[0]
            status = client.ask(Kind.GET_STATUS, handle)
            self.assertEqual(status.args, (handle, b"1", b"0", b"0", b"100"))
            worker.put(Kind.SET_CLIENT_ID, b"timing 7")
            worker.put(Kind.CAN_DO, b"result-post")
            worker.put(Kind.CAN_DO, b"something-else")
            worker.put(Kind.PRE_SLEEP)
            self.assertIs(worker.get().kind, Kind.NOOP)
            job = worker.ask(Kind.GRAB_JOB)
            self.assertEqual((job.kind, job.args[1:]), (Kind.JOB_ASSIGN, (b"result-post", b"x")))
            worker.put(Kind.WORK_STATUS, job.args[0], b"1", b"4")
            expected = (handle, b"1", b"1", b"25", b"100")
            wait_for(lambda: client.ask(Kind.GET_STATUS, handle).args == expected, "progress")
            status = client.ask(Kind.GET_STATUS_UNIQUE, b"bg")
            self.assertEqual(status.args, (b"bg", b"1", b"1", b"25", b"100", b"0"))
            self.assertIn("result-post\t1\t1\t1\n", send_admin_command(address, "status"))
            self.assertIn("timing_7 : result-post something-else\n", send_admin_command(address, "workers"))
            self.assertRegex(send_admin_command(address, "version"), r"^OK \d")
            self.assertRegex(send_admin_command(address, "shutdown"), "^ERR ")
            worker.put(Kind.WORK_COMPLETE, job.args[0], b"done")
            wait_for(lambda: client.ask(Kind.GET_STATUS, handle).args[1] == b"0", "the end")
            # A resubmission in the foreground gets the stored result.
            result = submit_and_wait(client, "result-post", "bg")
            self.assertEqual((result.kind, result.args[1]), (Kind.WORK_COMPLETE, b"done"))
            client.close()
            worker.close()

    def test_partial_data_and_progress_reach_the_client(self) -> None:
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]

            def act(worker: GearmanWorker, job: Packet) -> bool:
                worker.peer.put(Kind.WORK_DATA, job.args[0], b"part")
                worker.peer.put(Kind.WORK_WARNING, job.args[0], b"odd")
                worker.peer.put(Kind.WORK_STATUS, job.args[0], b"1", b"2")
                worker.peer.put(Kind.WORK_COMPLETE, job.args[0], b"all")
                return True

            worker = GearmanWorker(address, ["time-lookup"], act)
            client = GearmanPeer(address)
            client.put(Kind.SUBMIT_JOB_HIGH, b"time-lookup", b"-", b"x")
            packets = [client.get() for _ in range(5)]
            self.assertEqual(
                [(p.kind, p.args[1:]) for p in packets[1:]],
                [(Kind.WORK_DATA, (b"part",)), (Kind.WORK_WARNING, (b"odd",)),
                 (Kind.WORK_STATUS, (b"50", b"100")), (Kind.WORK_COMPLETE, (b"all",))],
            )  # fmt: skip
            self.assertEqual({p.args[0] for p in packets}, {packets[0].args[0]})
            client.close()
            worker.close()

    def test_a_worker_gets_only_jobs_of_its_functions(self) -> None:
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]
            workers = {cls: GearmanWorker(address, [cls]) for cls in ("time-lookup", "result-post")}
            wait_for(lambda: all(count_workers(address, cls) == 1 for cls in workers), "the workers")
            client = GearmanPeer(address)
            for i in range(16):
                cls = list(workers)[i % 2]
                self.assertIs(submit_and_wait(client, cls, f"{cls}-{i}").kind, Kind.WORK_COMPLETE)
                self.assertEqual(http_call(program.edge, "POST", f"/{cls}", Req_Id=f"{cls}-h{i}")[0], 200)
            for cls, worker in workers.items():
                self.assertEqual(len(worker.ran), 16)
                self.assertTrue(all(unique.startswith(cls.encode()) for unique in worker.ran))
                worker.close()
            client.close()

    def test_rejections_and_missed_deadlines_become_work_fail(self) -> None:
        """There is no worker, so each job is rejected before its deadline. A client that asked for exceptions
        is also told when to retry."""
        settings = copy.deepcopy(SETTINGS)
        for spec in settings["classes"]:
            spec["hard_limit"] = 600.0
        with running([], fronts=("gearman",), settings=settings) as (program, _):
            address = program.at["gearman"]
            client = GearmanPeer(address)
            start = time.monotonic()
            self.assertIs(submit_and_wait(client, "time-lookup", "a").kind, Kind.WORK_FAIL)
            self.assertLess(time.monotonic() - start, 0.6)
            self.assertIs(client.ask(Kind.OPTION_REQ, b"exceptions").kind, Kind.OPTION_RES)
            client.put(Kind.SUBMIT_JOB, b"time-lookup", b"b", b"")
            exception = client.until(Kind.WORK_EXCEPTION)
            self.assertRegex(exception.args[1], rb"^turned down, come back after \d\.\d+ s$")
            self.assertIs(client.get().kind, Kind.WORK_FAIL)
            client.close()

    def test_a_worker_that_fails_a_job_or_never_grabs_it(self) -> None:
        """WORK_FAIL is an error: a result-post may have run, and is not run again. A job that is not grabbed
        in time is given to another worker."""
        with running([], fronts=("gearman",)) as (program, _):
            address = program.at["gearman"]

            def fail(worker: GearmanWorker, job: Packet) -> bool:
                worker.peer.put(Kind.WORK_EXCEPTION, job.args[0], b"no")
                worker.peer.put(Kind.WORK_FAIL, job.args[0])
                return True

            failing = GearmanWorker(address, ["result-post"], fail)
            client = GearmanPeer(address)
            self.assertIs(submit_and_wait(client, "result-post", "f").kind, Kind.WORK_FAIL)
            failing.close()
            wait_for(lambda: count_workers(address, "result-post") == 0, "it to be gone")
            unresponsive = GearmanPeer(address)
            unresponsive.put(Kind.CAN_DO, b"result-post")
            wait_for(lambda: count_workers(address, "result-post") == 1, "the unresponsive worker")
            client.put(Kind.SUBMIT_JOB, b"result-post", b"g", b"")
            wait_for(lambda: program.counters().get("out.ended.rejected"), "the job to be taken back")
            good = GearmanWorker(address, ["result-post"])
            self.assertIs(client.until(Kind.WORK_COMPLETE, Kind.WORK_FAIL).kind, Kind.WORK_COMPLETE)
            self.assertIs(unresponsive.ask(Kind.GRAB_JOB).kind, Kind.NO_JOB)
            self.assertEqual(good.ran, {b"g": 1})
            for peer in (client, unresponsive, good):
                peer.close()


if __name__ == "__main__":
    unittest.main()
