"""A job that must not run twice and has ended: whatever fills the memory, it does not run again.

The fault: results were retained up to a number and a size, and the id of a job went with its result. The
posts of others filled the memory, and a post that was submitted again ran twice (review/7).
"""

from __future__ import annotations

import gc
import tracemalloc

import pytest

from eiderpin import interface as api
from eiderpin.core import dispatcher as core
from eiderpin.core import retained_answers
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadlines
from eiderpin.core.peer_jobs import JobsOfPeer, PeerJobs
from eiderpin.core.requests import FAILED, Answer, Attempt, Request, Verdict
from eiderpin.core.retained_answers import RetainedAnswer
from eiderpin.core.run_once_ids import GROUP_SPAN_MS, RunOnceIds
from eiderpin.net.gearman import Kind, pack
from eiderpin.net.handover_claims import ClaimChannel
from eiderpin.policy.run_once_records import RETENTION_MS, ResultPriority, result_priority, retention_ms
from tests.crossing import running_harness
from tests.standins import GearmanPeer, HttpWorker, Program, http_call, running_program, wait_for
from tests.test_core import Client, Link, ManualClock, advance, worker_entry
from tests.test_gearman_limits import REQ, kinds
from tests.test_peer_jobs import SINGLE_SHOT, FakeLink, Site

DEADLINE_MS = 7000.0
POST = api.RequestClass("post", aim=2000, deadline=DEADLINE_MS)
LOOK = api.RequestClass("look", aim=2000, deadline=DEADLINE_MS, repeat=api.Repeat.FREE)
LARGE, SMALL = 60_000, 2  # bytes of a result


class Core:
    """A dispatcher's core with two workers that run what they are sent, at the test's word."""

    def __init__(self, max_bytes: int) -> None:
        self.clock, self.deadlines, self.counters = ManualClock(), Deadlines(), Counters()
        settings = api.Settings(
            [POST, LOOK], tick=4, drain_grace=500, may_cancel=True, may_advise_wait=True,
            max_wait_advice=2000, parallel_attempts=True,
        )  # fmt: skip
        self.core = core.Dispatcher(settings, 1, self.clock, self.deadlines, self.counters)
        self.core.records.retained.max_bytes = max_bytes
        self.link = Link()
        workers = [(worker_entry(name), name) for name in ("w1", "w2")]
        self.core.apply_worker_list(self.link, api.ListKind.COMPLETE, workers)
        self.core.decide()

    def submit(self, unique: str, cls: str = "post", by_http: bool = False) -> tuple[Request, Client]:
        """Submit a job; by HTTP its id belongs to this request only."""
        client = Client()
        deadline = self.clock.at + DEADLINE_MS
        request = Request(cls, unique, b"/", b"", deadline, single_use_id=by_http)
        request = self.core.submit(request, client)
        self.core.decide()
        return request, client

    def advance_clock(self, ms: float) -> None:
        """Advance the clock, running what becomes due."""
        advance(self.clock, self.deadlines, self.core, ms)

    def runs(self, unique: str) -> int:
        """Return how often a job of this id was sent to a worker."""
        return sum(attempt.request.unique == unique for attempt in self.link.sent)

    def begin(self, unique: str, cls: str = "post", by_http: bool = False) -> tuple[Attempt, Client]:
        """Submit a job and let a worker begin it."""
        request, client = self.submit(unique, cls, by_http)
        return self.await_attempt(request), client

    def await_attempt(self, request: Request) -> Attempt:
        """Return the attempt of a request, once a worker has begun it; a run takes 1 ms at least."""
        while not request.attempts:
            self.advance_clock(1.0)
        attempt = request.attempts[-1]
        self.core.written(attempt)
        self.advance_clock(1.0)
        return attempt

    def run(self, unique: str, result: bytes, cls: str = "post", by_http: bool = False) -> None:
        """Serve a job with this result."""
        attempt, _ = self.begin(unique, cls, by_http)
        self.core.ended(attempt, api.Outcome.DONE, result)
        self.core.decide()

    def end_directly(self, count: int, result_bytes: int, by_http: bool = True) -> None:
        """End so many posts of others, as the core does, without playing each of them at a worker."""
        for number in range(count):
            request = Request("post", f"other-{number}", b"/", b"", 0.0, single_use_id=by_http)
            self.core.records.retain(request, Answer(Verdict.SERVED, bytes(result_bytes)))


@pytest.mark.parametrize("by_http", [True, False], ids=["others by HTTP", "others by Gearman"])
@pytest.mark.parametrize(
    ("max_bytes", "others", "result_bytes"),
    [(1 << 20, 200, LARGE), (12 << 20, 800, LARGE), (2 << 20, 9000, SMALL), (12 << 20, 20_000, SMALL)],
)
def test_results_of_others_do_not_make_an_ended_post_run_again(
    max_bytes: int, others: int, result_bytes: int, by_http: bool
) -> None:
    """review/7: at small and large limits, with large results and with many small ones."""
    running = Core(max_bytes)
    attempt, client = running.begin("finish-17")
    running.core.detach(attempt.request, client)  # its connection is lost
    running.core.ended(attempt, api.Outcome.DONE, b"ranked")
    running.end_directly(others, result_bytes, by_http)
    running.advance_clock(20_000)
    _, again = running.submit("finish-17")
    running.advance_clock(1000)
    assert running.runs("finish-17") == 1
    assert again.answers == [Answer(Verdict.SERVED, b"ranked")]  # nobody had got it yet
    assert running.core.records.retained.size <= max_bytes


def test_results_of_background_posts_give_way_to_one_that_its_client_has_not_got() -> None:
    """Nobody waits for a background job, so its result is not what a lost client will ask for."""
    running = Core(1 << 20)
    attempt, client = running.begin("wanted")
    running.core.detach(attempt.request, client)
    running.core.ended(attempt, api.Outcome.DONE, bytes(LARGE))
    for number in range(40):
        request = Request("post", f"b{number}", b"/", b"", running.clock.at + DEADLINE_MS, background=True)
        running.core.submit(request, None)
        running.core.decide()
        running.core.ended(running.await_attempt(request), api.Outcome.DONE, bytes(LARGE))
        running.core.decide()
    assert running.submit("wanted")[1].answers == [Answer(Verdict.SERVED, bytes(LARGE))]


def test_a_post_whose_result_had_to_be_dropped_is_told_as_failed_and_counted() -> None:
    """Where not even such results have room, the id must stay all the same."""
    running = Core(1 << 20)
    running.run("first", bytes(LARGE))
    running.end_directly(40, LARGE, by_http=False)
    _, again = running.submit("first")
    assert (again.answers, running.runs("first")) == ([FAILED], 1)
    assert running.counters.counts["in.kept_failed"] == 1
    assert running.core.records.retained.drops_of_run_once > 20


@pytest.mark.parametrize("by_http", [True, False], ids=["HTTP", "Gearman"])
@pytest.mark.parametrize("end", ["failed", "given up", "client left"])
def test_a_post_that_ended_without_a_result_and_may_have_run_does_not_run_again(
    end: str, by_http: bool
) -> None:
    """Its record has no result, and was dropped with those of others."""
    running = Core(1 << 20)
    attempt, client = running.begin("unsure", by_http=by_http)
    if end == "failed":
        running.core.ended(attempt, api.Outcome.RESET)
    elif end == "client left":
        running.core.leave(attempt.request, client)
    running.advance_clock(DEADLINE_MS)
    assert attempt.request.ended
    running.end_directly(40, LARGE)
    if by_http:
        with pytest.raises(core.RequestIdInUseError):
            running.submit("unsure", by_http=True)
    else:
        assert running.submit("unsure")[1].answers == [FAILED]
    assert running.runs("unsure") == 1


def test_a_rejected_post_may_run_when_it_is_submitted_again() -> None:
    """A record of a job that never ran would keep it from ever running."""
    running = Core(1 << 20)
    attempt, _ = running.begin("refused")
    running.core.ended(attempt, api.Outcome.REJECTED)
    running.core.leave(attempt.request, attempt.request.waiters[0])
    running.advance_clock(1000)
    held = running.core.records.retained.ids.size_bytes, running.core.records.open_bytes
    running.run("refused", b"ran")
    assert (held, running.runs("refused")) == ((0, 0), 2)


def fill_with_records(running: Core) -> int:
    """Run posts until one is rejected for lack of room; return how many have run."""
    for number in range(10_000):
        request, client = running.submit(f"p{number}")
        if client.answers:
            assert client.answers[0].verdict is Verdict.REJECTED
            return number
        running.core.ended(running.await_attempt(request), api.Outcome.DONE, b"r")
        running.core.decide()
    raise AssertionError("no post was rejected")


def test_posts_are_rejected_before_they_run_while_there_is_no_room_for_their_records() -> None:
    """Dropping the oldest record for a new one lets the oldest post run twice."""
    running = Core(40_000)
    served = fill_with_records(running)
    assert 100 < served < 400
    for number in range(served):
        assert running.submit(f"p{number}")[1].answers != []
    assert len(running.link.sent) == served
    assert running.counters.counts["in.no_record_room"] == 1
    running.run("l", b"", "look")  # what may run again is served
    running.advance_clock(DEADLINE_MS + RETENTION_MS + GROUP_SPAN_MS)
    running.run("new", b"r")
    assert running.core.records.retained.ids.size_bytes <= 40_000


def test_posts_under_way_have_room_for_their_records() -> None:
    """Many that are accepted at once and end later would need more room than there is."""
    running = Core(40_000)
    answers = [running.submit(f"p{number}")[1].answers for number in range(1000)]
    accepted = sum(not answer for answer in answers)
    assert 100 < accepted < 400
    running.advance_clock(2 * DEADLINE_MS)
    assert running.core.records.open_bytes == 0


def test_records_take_no_more_memory_than_is_counted_even_with_long_ids() -> None:
    """Ids of 2 KB were kept by the thousand, and not counted."""
    gc.collect()
    tracemalloc.start()
    try:
        ids = RunOnceIds()
        before = tracemalloc.get_traced_memory()[0]
        for number in range(20_000):
            ids.add(("post", f"{number:06}".ljust(2000 if number % 2 else 30, "i")), number * 3.0)
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used <= ids.size_bytes <= 20_000 * 200
    assert ids.expire(60_000.0 + GROUP_SPAN_MS) == 20_000
    assert (len(ids), ids.size_bytes) == (0, 0)


def test_a_record_lasts_until_its_client_has_given_up_waiting_and_a_minute_longer() -> None:
    """A client that does not notice the loss of its connection comes again after its deadline."""
    running = Core(1 << 20)
    running.run("slow", b"r")
    for _ in range(3):  # each time its client shows that it may come once more
        running.advance_clock(DEADLINE_MS + RETENTION_MS - 1)
        assert running.submit("slow")[1].answers == [Answer(Verdict.SERVED, b"r")]
    running.advance_clock(DEADLINE_MS + RETENTION_MS + GROUP_SPAN_MS + 1)
    running.run("slow", b"r")
    assert running.runs("slow") == 2


def test_rules_of_records() -> None:
    """The rules by class, in one table."""
    hour_long = api.RequestClass("hour", deadline=3_600_000.0)
    assert retention_ms(POST, single_use_id=False) == DEADLINE_MS + RETENTION_MS
    assert retention_ms(POST, single_use_id=True) == retention_ms(LOOK, single_use_id=False) == RETENTION_MS
    assert retention_ms(hour_long, single_use_id=False) == 3_660_000.0
    assert retention_ms(api.RequestClass("endless", deadline=float("inf")), single_use_id=False) < 1e9
    assert result_priority(True, True, False) is ResultPriority.SINGLE_USE_ID
    assert result_priority(False, False, False) is ResultPriority.REPEATABLE
    assert result_priority(True, False, True) is ResultPriority.DELIVERED
    assert result_priority(True, False, False) is ResultPriority.UNDELIVERED


def link_to_new_process(site: Site) -> None:
    """Let the two processes of a site say hello to each other only now."""
    old, new = site.processes
    for process in site.processes:
        process.core.peer_jobs = process.peer_jobs = PeerJobs(process.core)
        process.links.clear()
    to_new, to_old = FakeLink(old, False), FakeLink(new, True)
    to_new.channel = ClaimChannel(to_new, set(), True)  # type: ignore[arg-type]
    to_old.channel = ClaimChannel(to_old, set(), True)  # type: ignore[arg-type]
    old.links.append(to_new)
    new.links.append(to_old)
    site.ends = [(old, to_new, new, to_old), (new, to_old, old, to_new)]
    site.deliver_all()


@pytest.mark.parametrize("old_lives", [True, False], ids=["both live", "the old one has ended"])
@pytest.mark.parametrize("by_http", [True, False], ids=["ids of HTTP", "ids of Gearman"])
def test_an_upgrade_forgets_no_post_however_many_have_ended(by_http: bool, old_lives: bool) -> None:
    """The new process remembered 8,192 ids of the old one, and forgot the oldest."""
    site = Site(0, 2)
    old, new = site.processes
    ids = ["z" * 1000, *(f"p{number}" for number in range(retained_answers.MAX_RETAINED_ANSWERS + 800))]
    for unique in ids:
        old.core.records.retain(
            Request(SINGLE_SHOT, unique, b"/", b"", 0.0, single_use_id=by_http),
            Answer(Verdict.SERVED, bytes(300)),
        )
    link_to_new_process(site)
    old.alive = old_lives
    site.deliver_all()
    for unique in ids[::100]:
        if by_http:
            request = Request(SINGLE_SHOT, unique, b"/", b"", site.clock.at + 5000, single_use_id=True)
            with pytest.raises(core.RequestIdInUseError):
                new.core.submit(request, Client())
        else:
            site.submit(new, SINGLE_SHOT, unique)
            site.deliver_all()
    site.advance_clock(30_000.0)
    assert site.runs == []


def test_records_of_the_old_process_take_room_at_the_new_one() -> None:
    """They are kept there for as long, and would come on top of its own."""
    site = Site(0, 2)
    old, new = site.processes
    for number in range(1000):
        request = Request(SINGLE_SHOT, f"p{number}", b"/", b"", 0.0)
        old.core.records.retain(request, Answer(Verdict.SERVED, b"r"))
    new.core.records.retained.max_bytes = old.core.records.retained.ids.size_bytes
    assert site.submit(new, SINGLE_SHOT, "before").client.answers == []
    link_to_new_process(site)
    assert site.submit(new, SINGLE_SHOT, "after").client.answers[0].verdict is Verdict.REJECTED


@pytest.mark.parametrize("result", [b"", b"r"], ids=["without a result", "with a result"])
def test_the_new_process_remembers_a_post_for_as_long_as_the_old_one_would(result: bytes) -> None:
    """Messages tell a minute at most of the time that is left, which is longer by the class's deadline."""
    site = Site(0, 2)
    old, new = site.processes
    answer = Answer(Verdict.SERVED, result) if result else FAILED
    old.core.records.retained.add(
        (SINGLE_SHOT, "a"), RetainedAnswer(answer, site.clock.at + 65_000.0, False), site.clock.at, True
    )
    link_to_new_process(site)
    site.move_jobs(old)
    site.deliver_all()
    old.alive = False
    site.deliver_all()
    site.advance_clock(64_000.0)
    assert site.submit(new, SINGLE_SHOT, "a").client.answers == [answer]


def test_a_resubmission_to_one_process_renews_the_record_of_the_other() -> None:
    """The other one would forget the post a minute after its end, though its client still comes again."""
    site = Site(0, 2)
    site.deliver_all()
    old, new = site.processes
    site.submit(old, SINGLE_SHOT, "a")
    site.deliver_all()
    site.advance_clock(100.0)
    site.end_run(site.runs[0], api.Outcome.DONE)
    site.move_jobs(old)
    site.deliver_all()
    for _ in range(2):
        site.advance_clock(60_000.0)
        site.submit(old, SINGLE_SHOT, "a")
        site.deliver_all()
    old.alive = False
    site.deliver_all()
    site.advance_clock(60_000.0)
    assert site.submit(new, SINGLE_SHOT, "a").client.answers[0].verdict is Verdict.SERVED
    assert len(site.runs) == 1


def test_a_background_post_without_room_for_its_record_is_not_confirmed() -> None:
    """A background job that is rejected after its confirmation is lost, and nobody is told."""
    with running_harness(workers=0, gearman=True) as harness:
        harness.core.records.retained.max_bytes = 0
        client = harness.client("gearman")
        for kind in (Kind.SUBMIT_JOB_BG, Kind.SUBMIT_JOB):
            client.send(pack(kind, b"result-post", b"id-%d" % kind, b"", magic=REQ))
        received: list[Kind] = []

        def all_received() -> bool:
            received.extend(kinds(client))
            return len(received) >= 3

        harness.run_until(all_received, "the replies")
        assert received == [Kind.ERROR, Kind.JOB_CREATED, Kind.WORK_FAIL]


def test_the_log_and_counters_tell_of_records_without_room(caplog: pytest.LogCaptureFixture) -> None:
    """Operators could not tell why jobs were forgotten, or are rejected."""
    with running_harness(gearman=True, limits={"sockets": 96, "memory_mb": 16}) as harness:
        running = harness.core
        for number in range(30):
            request = Request("result-post", f"p{number}", b"/", b"", 0.0)
            running.records.retain(request, Answer(Verdict.SERVED, bytes(LARGE)))
        running.records.retained.max_bytes = 0
        with caplog.at_level("WARNING"):
            for number in range(5):
                client = Request("result-post", f"n{number}", b"/", b"", running.clock.now() + 1000)
                running.submit(client, None)
                harness.run_turns(2)
        events = {record.message: record.__dict__ for record in caplog.records}
        assert len(caplog.records) == len(events) == 2
        rejected = events["jobs that must not run twice are rejected: no memory for their records"]
        assert (rejected["records"], rejected["limit_bytes"]) == (30, 0)
        assert events["results are dropped before clients can no longer ask for them again"]["dropped"] > 0


def results_of(request_id: str) -> str:
    """Return the result of a job: large, and different for each."""
    return request_id.ljust(LARGE, "r")


@pytest.mark.parametrize("memory_mb", [32, 192])
def test_no_front_runs_a_post_again_after_others_have_filled_the_memory(memory_mb: int) -> None:
    """review/7 on a real process: by Gearman it gets its result, by HTTP its id is refused."""
    worker = HttpWorker("h1")
    gates: list[str] = []

    def serve(worker: HttpWorker, request_id: str, handler: object) -> None:
        worker.ran[request_id] += 1
        handler.say(202)  # type: ignore[attr-defined]
        wait_for(lambda: request_id not in gates, "the test's word")
        worker.send_callback(request_id, "done", result=results_of(request_id))

    worker.on_job = serve
    limits = {"sockets": 1024, "memory_mb": memory_mb}
    with running_program([worker], fronts=("gearman",), limits=limits) as (program, _):
        gates.append("g-1")
        first = GearmanPeer(program.at["gearman"])
        first.put(Kind.SUBMIT_JOB, b"result-post", b"g-1", b"x")
        wait_for(lambda: worker.ran["g-1"], "the job to begin")
        first.close()
        gates.clear()
        post(program, "h-1")
        for number in range(memory_mb * (1 << 20) // 16 // LARGE + 20):
            assert post(program, f"other-{number}") == 200
        assert post(program, "h-1") == 409
        again = GearmanPeer(program.at["gearman"])
        again.put(Kind.SUBMIT_JOB, b"result-post", b"g-1", b"x")
        packet = again.wait_for_packet(Kind.WORK_COMPLETE, Kind.WORK_FAIL)
        again.close()
        assert (packet.kind, packet.args[1]) == (Kind.WORK_COMPLETE, results_of("g-1").encode())
        assert (worker.ran["g-1"], worker.ran["h-1"]) == (1, 1)
        counters = program.counters()
        assert counters["retained.result_bytes"] <= memory_mb * (1 << 20) // 16
        assert counters["retained.dropped.bytes"] >= 20


def post(program: Program, request_id: str) -> int:
    """Send a result-post by HTTP; return the status of its answer."""
    return http_call(program.http_address, "POST", "/result-post", b"x", Req_Id=request_id)[0]


def test_an_ended_job_that_is_told_again_adds_nothing_to_the_records_of_a_peer() -> None:
    """Guards against records that grow with each resubmission of a job that ended at the other process."""
    records = JobsOfPeer()
    for number in range(10_000):
        records.add_ended(("post", "j1"), until=60_000.0, now=float(number), must_not_rerun=True)
    assert sum(len(group.ids) for group in records._run_once._groups.values()) == 1
    records.add_ended(("post", "j1"), until=90_000.0, now=10_000.0, must_not_rerun=True)
    assert records.has(("post", "j1"), 89_000.0)
