"""Tests that an Idempotency-Key reaches the workers exactly as its client spelt it."""

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

KEY_SPELLINGS = [
    '"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"', "bare", '"', 'a "b" c', "tab\there", "caf\xe9\xa0",
    "'\\;,=%0d%0a", "k" * 30_000,
]  # fmt: skip


def received_keys(worker: HttpWorker) -> list[str | None]:
    """The Idempotency-Key of each job that the worker has received."""
    return [headers.get("idempotency-key") for method, _, headers, _ in worker.requests if method == "POST"]


KEYED_POST = (
    b'POST /result-post HTTP/1.1\r\nIdempotency-Key: "k 1"\r\nReq-Id: %b\r\nContent-Length: 0\r\n\r\n'
)


def accept_silently(worker: HttpWorker, request_id: str, handler: Any) -> None:
    worker.ran[request_id] += 1
    handler.say(202)


def reject_job(worker: HttpWorker, request_id: str, handler: Any) -> None:
    handler.say(503, Srv_Declined="1")


class Keys(unittest.TestCase):
    def test_every_spelling_of_a_key_and_its_absence_pass_unchanged(self) -> None:
        """A key that the dispatcher normalises, cuts or adds is another key to the worker. Two keys in one
        request are an invalid request."""
        worker = HttpWorker("h1")
        with running_program([worker]) as (program, _):
            for number, key in enumerate([*KEY_SPELLINGS, None]):
                headers = {} if key is None else {"Idempotency_Key": key}
                response = http_call(
                    program.http_address, "POST", "/result-post", b"x", Req_Id=f"a{number}", **headers
                )
                self.assertEqual(response[0], 200, key)
            self.assertEqual(received_keys(worker), [*KEY_SPELLINGS, None])
            two_keys = KEYED_POST.replace(b"Req-Id", b"Idempotency-Key: 2\r\nReq-Id") % b"b"
            self.assertIn(b" 400 ", raw(program.http_address, two_keys))

    def test_the_dispatcher_does_not_judge_a_repeated_key_of_a_non_durable_job(self) -> None:
        """Only the worker sees a key that comes through two dispatchers, or with another body, so only it can
        tell a repetition."""
        worker = HttpWorker("h1")
        with running_program([worker]) as (first, _), running_program([worker]) as (second, _):
            for program, request_id, body in (
                (first, "a1", b"x"), (second, "a2", b"x"), (first, "a3", b"y"),
            ):  # fmt: skip
                worker.callback_address = program.http_address
                response = http_call(
                    program.http_address,
                    "POST",
                    "/result-post",
                    body,
                    Req_Id=request_id,
                    Idempotency_Key='"k"',
                )
                self.assertEqual(response[:2], (200, b"h1 ran " + request_id.encode()))
            self.assertEqual(received_keys(worker), ['"k"'] * 3)

    def test_a_retry_has_the_key(self) -> None:
        """A retry goes to another worker, which must get the same key."""
        workers = [HttpWorker("h1", reject_job), HttpWorker("h2")]
        with running_program(workers) as (program, _):
            for i in range(20):
                key = f'"{i}"'
                http_call(
                    program.http_address, "POST", "/result-post", b"x", Req_Id=f"a{i}", Idempotency_Key=key
                )
            self.assertTrue(received_keys(workers[0]))
            self.assertEqual(received_keys(workers[1]), [f'"{i}"' for i in range(20)])

    def test_a_job_transferred_to_a_new_process_keeps_its_key(self) -> None:
        """After an upgrade, the new process retries a job that the old one had accepted, with its key."""
        other = HttpWorker("h2")
        with side() as site:
            site.held.worker.on_job = accept_silently
            old = site.serving()
            sock = caller(old.http_address)
            sock.sendall(KEYED_POST % b"s1")
            wait_for(lambda: site.held.worker.ran["s1"], "the job to run")
            new = site.serving()
            said(old, TOOK)
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            other.callback_address = site.held.worker.callback_address = new.http_address
            site.discovery.list("h2", other.port)
            self.assertEqual(site.held.worker.send_callback("s1", "returned"), 204)
            self.assertIn(b"h2 ran s1", answer(sock))
            self.assertEqual(received_keys(other), ['"k 1"'])
            sock.close()
        other.stop()

    def test_a_durable_job_recovered_after_a_crash_keeps_its_key(self) -> None:
        """The ledger has to store the key, or the recovered job would be sent without it."""
        with run_installation() as installation:
            first = installation.start()
            installation.discovery.list("h1", installation.held_worker.worker.port, lifecycle="Terminating")
            wait_for(lambda: http_call(first.http_address, "GET", "/_health")[0] == 503, "the worker's drain")
            post_in_background(first, "d1")
            wait_for(lambda: first.counters().get("in.requests"), "the job to be accepted")
            installation.kill()
            installation.discovery.list("h1", installation.held_worker.worker.port)
            installation.start()
            wait_for(lambda: installation.ran["d1"], "the job to run")
            self.assertEqual(received_keys(installation.held_worker.worker), ['"d1"'])

    def test_a_record_without_the_key_field_is_read(self) -> None:
        """A ledger written before the field existed must stay readable."""
        new = records.Accepted(1.0, 1, "c", "n", "w", b"/c", b"", 9.0, idempotency_key='"n"')
        packed = records.pack(new)
        self.assertEqual(records.unpack(packed), new)
        body = msgspec.msgpack.encode(msgspec.msgpack.decode(packed.body)[:-1])
        old = records.unpack(type(packed)(packed.kind, packed.version, body))
        self.assertEqual(old, records.Accepted(1.0, 1, "c", "n", "w", b"/c", b"", 9.0))
