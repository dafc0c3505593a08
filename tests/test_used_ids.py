"""An id of an HTTP client that comes again after its client has left: its job, which may have run, must not
run again, whichever process of an upgrade it comes to."""

from __future__ import annotations

import gc
import signal
import tracemalloc
from collections.abc import Callable

import pytest

from eiderpin.core import retained_answers
from eiderpin.core.requests import FAILED, Answer, Verdict
from eiderpin.core.retained_answers import RetainedAnswer, RetainedAnswers
from tests.standins import Program, http_call, read_to_end, wait_for
from tests.test_operators import ASK, figures
from tests.test_upgrade import TOOK, UpgradeSite, said, side

USED_ID = "used-7"


def leave(site: UpgradeSite, at: Program, begins: Callable[[], None]) -> None:
    """Begin a job at a worker, run `begins`, and have its client leave; it may have run by then."""
    client = site.start_job(USED_ID.encode())
    begins()
    client.close()
    wait_for(lambda: figures(at.at["management"])["outstanding"] == 0, "the client's leaving")


def assert_not_run_again(site: UpgradeSite, program: Program) -> None:
    """Submit the id again; it must be refused as used, and not run."""
    status, _, _ = http_call(
        program.http_address, "POST", "/result-post", b"", Req_Id=USED_ID, Req_Deadline_Ms="1500"
    )
    assert (status, site.held.worker.ran[USED_ID]) == (409, 1)


@pytest.mark.parametrize(
    "moment", ["before the new process", "after it has the clients", "after the old one"]
)
def test_an_id_does_not_run_again_at_the_other_process_after_its_client_has_left(moment: str) -> None:
    """Incident of 2026-12-05, picture (c)."""
    with side() as site:
        old = site.serving()
        started: list[Program] = []

        def start_new() -> None:
            started.append(site.serving())
            said(old, TOOK)

        if moment == "before the new process":
            leave(site, old, lambda: None)
            start_new()
        else:
            leave(site, old, start_new)
        if moment == "after the old one":
            old.process.send_signal(signal.SIGTERM)
            assert old.process.wait(20) == 0
        assert_not_run_again(site, started[0])


def test_an_id_does_not_run_again_at_the_same_process_after_its_client_has_left() -> None:
    """Incident of 2026-12-05, picture (c)."""
    with side() as site:
        only = site.serving()
        leave(site, only, lambda: None)
        assert_not_run_again(site, only)


def test_an_id_does_not_run_again_at_the_old_process_after_its_job_has_gone_over() -> None:
    """Another client sends it there behind a request of its own, so that its connection has to stay."""
    with side() as site:
        old = site.serving()
        moving = site.start_job(USED_ID.encode())
        staying = site.start_job(b"stays")
        staying.sendall(ASK.replace(b"time-lookup", b"result-post") % USED_ID.encode())
        new = site.serving()
        said(old, TOOK)
        old.process.send_signal(signal.SIGTERM)
        wait_for(lambda: figures(new.at["management"])["outstanding"] == 1, "the job to go over")
        site.held.worker.send_callback("stays", "done", result="ran stays")
        first, _, second = read_to_end(staying).partition(b"ran stays")
        assert first.startswith(b"HTTP/1.1 200") and second.startswith(b"HTTP/1.1 409")
        assert site.held.worker.ran[USED_ID] == 1
        moving.close()
        staying.close()


def test_answers_that_guard_against_a_second_run_outlast_a_flood_of_others() -> None:
    """Thousands of served lookups pushed out the ids of posts that may have run, which then ran again."""
    retained, guarded = RetainedAnswers(), ("post", "guarded")
    retained.add(guarded, RetainedAnswer(FAILED, 60_000.0, True), 0.0, must_not_rerun=True)
    served = Answer(Verdict.SERVED, b"result")
    for number in range(2 * retained_answers.MAX_RETAINED_ANSWERS):
        retained.add(("look", str(number)), RetainedAnswer(served, 60_000.0, True), 1.0, must_not_rerun=False)
    assert retained.get(guarded, 2.0) is not None
    assert len(retained) == retained_answers.MAX_RETAINED_ANSWERS


def test_retained_answers_keep_to_their_bytes_with_long_ids() -> None:
    """Ids of 2 KB were kept by the thousand, and not counted."""
    gc.collect()
    tracemalloc.start()
    try:
        retained = RetainedAnswers()
        retained.max_bytes = 1_000_000
        before = tracemalloc.get_traced_memory()[0]
        for number in range(4000):
            job = ("look", f"{number}-".ljust(2000, "i"))
            retained.add(job, RetainedAnswer(FAILED, 60_000.0, False), 0.0, must_not_rerun=bool(number % 2))
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used <= retained.max_bytes
    assert 900 <= len(retained) < 2000  # of those that may run again
    assert len(retained.ids) == 2000  # and all that must not
