"""Jobs that nobody waits for: once confirmed they run, or their end is logged and counted.

The failure: such a job was given up once it could no longer end within its aim, so that its client might
come again. But the client had been told that the job was taken, and had gone.
"""

from __future__ import annotations

import pytest

from eiderpin import interface as api
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadlines
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Request, Verdict
from tests.test_core import Client, Link, ManualClock, advance

AIM_MS, DEADLINE_MS = 1000.0, 25_000.0


class BusyWorker:
    """A dispatcher with one worker of one slot, in which a job runs until the test ends it."""

    def __init__(self) -> None:
        self.clock, self.deadlines, self.link = ManualClock(), Deadlines(), Link()
        post = api.RequestClass("post", aim=AIM_MS, deadline=DEADLINE_MS, repeat=api.Repeat.SINGLE_SHOT)
        self.core = Dispatcher(api.Settings([post]), 1, self.clock, self.deadlines, Counters())
        worker = api.WorkerEntry("w1", "", "m", 0, api.WorkerState.IN_SERVICE, slots=1.0)
        self.core.apply_worker_list(self.link, api.ListKind.COMPLETE, [(worker, ("127.0.0.1", 1))], True)
        self.submit("first", Client())
        self.run(50.0)
        assert [attempt.request.unique for attempt in self.link.sent] == ["first"]
        self.core.written(self.link.sent[0])
        self.core.progress(self.link.sent[0], True)

    def submit(self, unique: str, client: Client | None) -> Request:
        """Submit a job, in the background without a client."""
        deadline = self.clock.now() + DEADLINE_MS
        request = Request("post", unique, b"/post", b"", deadline, background=client is None)
        return self.core.submit(request, client)

    def run(self, ms: float) -> None:
        """Move the clock."""
        self.core.decide()
        advance(self.clock, self.deadlines, self.core, ms)

    def end_first(self) -> None:
        """End the job that runs."""
        self.core.ended(self.link.sent[0], api.Outcome.DONE, b"done")
        self.run(500.0)


def test_a_background_job_waits_beyond_its_aim_and_runs_when_there_is_room() -> None:
    """Guards against confirmed jobs that are given up in a burst; a client that waits is told in time."""
    busy, client = BusyWorker(), Client()
    job, waiting = busy.submit("background", None), busy.submit("waiting", client)
    busy.run(15_000.0)
    assert [answer.verdict for answer in client.answers] == [Verdict.REJECTED]
    assert waiting.ended and not job.ended
    busy.end_first()
    assert [attempt.request.unique for attempt in busy.link.sent] == ["first", "background"]


def test_a_background_job_that_is_not_served_by_its_deadline_is_logged_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a job that ends without a trace; an answer that a client gets is no such case."""
    busy = BusyWorker()
    job = busy.submit("background", None)
    busy.submit("waiting", Client())
    with caplog.at_level("WARNING", "eiderpin"):
        busy.run(DEADLINE_MS + 1000.0)
    assert job.ended
    assert busy.core.counters.counts["end.background_unserved"] == 1
    (event,) = [record for record in caplog.records if "background job" in record.getMessage()]
    assert (event.levelname, event.__dict__["end"]) == ("WARNING", Verdict.REJECTED.value)
    assert "background" in str(event.__dict__.values())
