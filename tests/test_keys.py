"""An Idempotency-Key reaches workers as its client spelt it, whatever becomes of the job on its way."""

from __future__ import annotations

import signal
import unittest
from typing import Any

import msgspec

from eiderpin.jobs import records
from tests.standins import HttpWorker, http_call, running_program, wait_for
from tests.test_crash import post_in_background, run_installation
from tests.test_edge import raw
from tests.test_operators import answer, caller
from tests.test_upgrade import TOOK, said, side

SPELT = [
    '"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"', "bare", '"', 'a "b" c', "tab\there", "caf\xe9\xa0",
    "'\\;,=%0d%0a", "k" * 30_000,
]  # fmt: skip


def keys(worker: HttpWorker) -> list[str | None]:
    return [headers.get("idempotency-key") for method, _, headers, _ in worker.requests if method == "POST"]


KEYED = b'POST /result-post HTTP/1.1\r\nIdempotency-Key: "k 1"\r\nReq-Id: %b\r\nContent-Length: 0\r\n\r\n'


def takes_and_is_silent(worker: HttpWorker, rid: str, handler: Any) -> None:
    worker.ran[rid] += 1
    handler.say(202)


def turns_away_first(worker: HttpWorker, rid: str, handler: Any) -> None:
    handler.say(503, Srv_Declined="1")


class Keys(unittest.TestCase):
    def test_every_spelling_and_none_pass_on_unchanged(self) -> None:
        worker = HttpWorker("h1")
        with running_program([worker]) as (program, _):
            for i, key in enumerate([*SPELT, None]):
                given = {} if key is None else {"Idempotency_Key": key}
                got = http_call(program.http_address, "POST", "/result-post", b"x", Req_Id=f"a{i}", **given)
                self.assertEqual(got[0], 200, key)
            self.assertEqual(keys(worker), [*SPELT, None])
            twice = KEYED.replace(b"Req-Id", b"Idempotency-Key: 2\r\nReq-Id") % b"b"
            self.assertIn(b" 400 ", raw(program.http_address, twice))

    def test_the_same_key_at_two_dispatchers_and_with_another_body_is_the_workers_to_judge(self) -> None:
        worker = HttpWorker("h1")
        with running_program([worker]) as (one, _), running_program([worker]) as (two, _):
            for at, rid, body in ((one, "a1", b"x"), (two, "a2", b"x"), (one, "a3", b"y")):
                worker.callback_address = at.http_address
                got = http_call(
                    at.http_address, "POST", "/result-post", body, Req_Id=rid, Idempotency_Key='"k"'
                )
                self.assertEqual(got[:2], (200, b"h1 ran " + rid.encode()))
            self.assertEqual(keys(worker), ['"k"'] * 3)

    def test_a_retry_bears_it_too(self) -> None:
        workers = [HttpWorker("h1", turns_away_first), HttpWorker("h2")]
        with running_program(workers) as (program, _):
            for i in range(20):
                key = f'"{i}"'
                http_call(
                    program.http_address, "POST", "/result-post", b"x", Req_Id=f"a{i}", Idempotency_Key=key
                )
            self.assertTrue(keys(workers[0]))
            self.assertEqual(keys(workers[1]), [f'"{i}"' for i in range(20)])

    def test_a_job_that_goes_over_to_a_new_process_bears_it_there(self) -> None:
        other = HttpWorker("h2")
        with side() as it:
            it.held.worker.on_job = takes_and_is_silent
            old = it.serving()
            sock = caller(old.http_address)
            sock.sendall(KEYED % b"s1")
            wait_for(lambda: it.held.worker.ran["s1"], "the job to be out")
            new = it.serving()
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            other.callback_address = it.held.worker.callback_address = new.http_address
            it.discovery.list("h2", other.port)
            self.assertEqual(it.held.worker.send_callback("s1", "returned"), 204)
            self.assertIn(b"h2 ran s1", answer(sock))
            self.assertEqual(keys(other), ['"k 1"'])
            sock.close()
        other.stop()

    def test_a_durable_job_bears_it_after_a_crash(self) -> None:
        with run_installation() as it:
            first = it.start()
            it.discovery.list("h1", it.held_worker.worker.port, lifecycle="Terminating")
            wait_for(lambda: http_call(first.http_address, "GET", "/_health")[0] == 503, "the worker's drain")
            post_in_background(first, "d1")
            wait_for(lambda: first.counters().get("in.requests"), "the job to be taken")
            it.kill()
            it.discovery.list("h1", it.held_worker.worker.port)
            it.start()
            wait_for(lambda: it.ran["d1"], "the job to be out")
            self.assertEqual(keys(it.held_worker.worker), ['"d1"'])

    def test_a_ledger_of_before_is_read(self) -> None:
        new = records.Accepted(1.0, 1, "c", "n", "w", b"/c", b"", 9.0, idempotency_key='"n"')
        packed = records.pack(new)
        self.assertEqual(records.unpack(packed), new)
        body = msgspec.msgpack.encode(msgspec.msgpack.decode(packed.body)[:-1])
        old = records.unpack(type(packed)(packed.kind, packed.version, body))
        self.assertEqual(old, records.Accepted(1.0, 1, "c", "n", "w", b"/c", b"", 9.0))
