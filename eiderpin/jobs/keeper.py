"""The job manager of a running dispatcher: connects the core, the ledger of durable jobs and its log.

All of it runs in the event loop's thread.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

import msgspec

from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.invariants import must
from eiderpin.core.requests import Answer, Attempt, Request, Verdict
from eiderpin.durable.files import Files
from eiderpin.durable.frames import Record
from eiderpin.durable.log import Log, LogNotWritableError
from eiderpin.jobs import records
from eiderpin.jobs.ledger import JobNotRunnableError, Ledger, is_same_job
from eiderpin.jobs.records import Accepted, AnyRecord, Ended, Opened, Released
from eiderpin.parts.durable import DurableOptions
from eiderpin.policy.run_once_records import retention_ms

log = logging.getLogger("eiderpin")

DISK_RETRY_MS = 500.0  # between attempts to write to a failed disk
ANSWER_MARGIN_MS = 2.0  # before a job's deadline, at which its client is answered even if the disk is stuck
RECORDS_PER_EXPIRY = 4096  # records read at a start between two expiries of stored answers
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
EXPIRY_INTERVAL_MS = 1000.0  # between expiries of stored answers


def read_boot_id() -> str:
    """Return the id of the machine's current boot; empty if it cannot be read."""
    try:
        with open(BOOT_ID_PATH) as file:
            return file.read().strip()
    except OSError:
        return ""


class JobManager:
    """Implements `core.durability.DurableJobManager`.

    Raises `DirectoryLockedError`, `FormatError`, `LogDamagedError`, `LedgerRuleError` and `OSError` where the
    ledger cannot be read or owned.
    """

    def __init__(
        self, core: Dispatcher, options: DurableOptions, name: str, files: Files | None = None
    ) -> None:
        """Lock the ledger's directory, read the ledger and write that this process owns it.

        `name` is the dispatcher's; `files` replaces the files of `options.folder`.
        """
        self.core, self.options, self.name = core, options, name
        not_repeatable = {c.name for c in core.settings.classes if c.repeat is not api.Repeat.FREE}
        self.single_run_classes = tuple(sorted(not_repeatable & options.classes))
        self.ledger = Ledger(
            frozenset(self.single_run_classes),
            self._keep_ms(),
            options.max_answers,
            int(options.max_results_mb * (1 << 20)),
        )
        files = files if files is not None else Files(options.folder)
        self._read_count = 0
        self.log = Log(files, self.apply_stored)
        self.boot_id = read_boot_id()
        self.clock_offset_ms = self._clock_offset()
        self.recovered = False
        self.incomplete_jobs: set[int] = set()  # jobs with records that a failed disk has not taken
        self._lease_timers: dict[Attempt, Deadline] = {}
        self._pending_records: dict[int, int] = {}  # by job: records not known to be on disk
        self._refused_jobs: set[int] = set()  # jobs whose acceptance could not be written
        self._callbacks: dict[int, list[Callable[[bool], None]]] = {}  # by job: run when it is on disk
        self.write_record(self.ownership_record(self.ledger.term + 1))
        self.expire_answers()

    def _keep_ms(self) -> float:
        """Return how long ended jobs are kept, in ms: never shorter than clients may come again."""
        classes = (self.core.classes[name] for name in self.single_run_classes)
        return max([self.options.keep_ms, *(retention_ms(c, single_use_id=False) for c in classes)])

    def _clock_offset(self) -> float:
        """Return how far (ms) the ledger's time is ahead of the core's clock.

        The ledger's time continues from the last owner's by the machine's monotonic clock, if the machine has
        not booted since, because the wall clock may have been set meanwhile. So a wall clock that was set
        back gives no job more time, and one that was set forward neither shortens a deadline nor expires a
        stored answer that a client may still ask for.
        """
        clock, ledger = self.core.clock, self.ledger
        continued = ledger.time_at(self.boot_id, clock.since_boot())
        is_known = ledger.since_boot_at(ledger.last_at) > 0 and continued > ledger.last_at
        return continued - clock.now() if is_known else max(0.0, ledger.last_at - clock.now())

    def ownership_record(self, term: int) -> Opened:
        """Return the record by which this process owns the ledger in this term."""
        return Opened(
            self.now(), term, self.name, self.single_run_classes, self.boot_id, self.core.clock.since_boot()
        )

    def now(self) -> float:
        """Return the ledger's time (ms of Unix time), which is never behind that of a stored record."""
        return self.core.clock.now() + self.clock_offset_ms

    def apply_stored(self, record: Record) -> None:
        """Apply one record of the stored ledger; they come in the order in which they were written."""
        self.ledger.apply(records.unpack(record))
        self._read_count += 1
        if self._read_count % RECORDS_PER_EXPIRY == 0:
            self.ledger.expire(self.ledger.last_at)  # a long ledger must not be held in memory whole

    # -- writing

    def write_record(self, record: AnyRecord, on_written: Callable[[bool], None] | None = None) -> None:
        """Apply a record and append it to the log; `on_written` learns whether it is on disk.

        Raises `LogNotWritableError` without any change if the disk has failed.
        """
        if self.log.failed is not None:
            raise LogNotWritableError(str(self.log.failed))
        self.ledger.apply(record)
        packed = records.pack(record)
        self.log.append(packed.kind, packed.version, packed.body, on_written)
        if self.log.needs_checkpoint:
            self.log.checkpoint(self.snapshot())

    def snapshot(self) -> Iterator[Record]:
        """Return the ledger's current state as log records.

        The records are collected here and packed by whoever writes them, so that a long ledger does not block
        the loop.
        """
        return records.pack_all(list(self.ledger.snapshot()))

    @property
    def failed(self) -> bool:
        """Whether the disk has failed and cannot be written now."""
        return self.log.failed is not None

    def settle(self) -> None:
        """Run the callbacks of written records; the loop calls this when the log is readable."""
        was_failed = self.log.failed
        self.log.settle()
        if was_failed is None and self.log.failed is not None:
            self.core.counters.add("ledger.failed")
            text = "the disk of durable jobs takes nothing, they are turned down: %s"
            log.error(text, self.log.failed)
            self.retry_disk()

    def retry_disk(self) -> None:
        """Try to rewrite the ledger to a failed disk, and again after `DISK_RETRY_MS` until that succeeds."""
        deadlines, clock = self.core.deadlines, self.core.clock
        if self.log.finish_rewrite():
            # The rewritten ledger lacks what has happened since its snapshot was taken.
            self.log.checkpoint(self.snapshot())
            self.write_record(self.ownership_record(self.ledger.term), self.on_disk_recovered)
            return
        self.log.start_rewrite(self.snapshot())
        deadlines.set(clock.now() + DISK_RETRY_MS, self.retry_disk)

    def on_disk_recovered(self, ok: bool) -> None:
        """Run the callbacks that waited for the disk, now that the whole ledger is on it."""
        if not ok:
            return  # it has failed again, and `settle` starts the next retry
        self.incomplete_jobs.clear()
        self.core.counters.add("ledger.came_back")
        log.info("the disk of durable jobs is back")
        by_job, self._callbacks = self._callbacks, {}
        for job, callbacks in by_job.items():
            if job in self._pending_records:
                self._callbacks[job] = callbacks
                continue
            for callback in callbacks:
                callback(True)

    def expire_answers(self) -> None:
        """Remove the stored answers that are too old or too many, and schedule the next expiry."""
        self.ledger.expire(self.now())
        self.core.counters.counts["ledger.results_dropped"] = self.ledger.results_dropped
        self.core.deadlines.set(self.core.clock.now() + EXPIRY_INTERVAL_MS, self.expire_answers)

    def is_idle(self) -> bool:
        """Return whether nothing waits for the disk."""
        return not self._callbacks and not self._pending_records

    # -- what the core asks

    def covers_class(self, cls: str) -> bool:
        """Return whether jobs of this class are durable."""
        return cls in self.options.classes

    def stored_answer(self, request: Request) -> Answer | None:
        """Return the stored answer of the ended job of this name, if there is one.

        Raises `JobMismatchError` if that job had another target or body.
        """
        job = self.ledger.find(request.cls, request.unique) if request.unique else None
        if job is None or job.ended is None:
            return None
        if job.ended.at + self.ledger.keep_ms <= self.now():
            return None
        if not is_same_job(job.accepted, request.target, request.body):
            raise JobMismatchError
        served = job.ended.verdict == Verdict.SERVED.value
        return Answer(Verdict.SERVED, job.ended.result) if served else Answer(Verdict.FAILED)

    def accept(self, request: Request) -> bool:
        """Store a new job; return False if the disk has failed, or if there is no room for a further name.

        If the write fails later, the request is rejected.
        """
        now = self.now()
        if not self.ledger.has_room(request.cls, request.unique):
            self.core.counters.add("ledger.no_room")
            return False
        job = self.ledger.next_job()
        record = Accepted(
            now,
            job,
            request.cls,
            request.unique,
            request.wire_id,
            request.target,
            request.body,
            request.deadline + self.clock_offset_ms,
            request.slots,
            request.memory,
            request.tenant,
            request.key,
            request.hint,
            request.priority,
            request.background,
            idempotency_key=request.idempotency_key,
        )
        if self.failed:
            return False
        on_record_written = self.track_record(job)

        def on_written(ok: bool) -> None:
            on_record_written(ok)
            if not ok:
                # The job was never acknowledged or sent, so it can be rejected at once.
                self._refused_jobs.add(job)
                for callback in self._callbacks.pop(job, ()):
                    callback(False)
                self.core.reject(request)

        self.write_record(record, on_written)
        request.job = job
        return True

    def track_record(self, job: int) -> Callable[[bool], None]:
        """Count a record of this job as pending; the returned function takes whether it was written."""
        self._pending_records[job] = self._pending_records.get(job, 0) + 1

        def on_written(ok: bool) -> None:
            if not ok:
                self.incomplete_jobs.add(job)
            pending = self._pending_records[job] - 1
            if pending:
                self._pending_records[job] = pending
                return
            del self._pending_records[job]
            if job not in self.incomplete_jobs:  # else the callbacks wait until the disk has recovered
                for callback in self._callbacks.pop(job, ()):
                    callback(True)

        return on_written

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        """Call `call` once all records of the job are on disk (True) or cannot be written (False)."""
        if request.job not in self._pending_records and request.job not in self.incomplete_jobs:
            call(True)
        else:
            self._callbacks.setdefault(request.job, []).append(call)

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        """Write an attempt's lease and call `send` once it is on disk; never if it cannot be written."""
        request, endpoint = attempt.request, attempt.endpoint
        link = "gearman" if endpoint.listed.shape == "gearman" else "http"
        address = f"{endpoint.address[0]}:{endpoint.address[1]}" if link == "http" else ""

        def on_written(ok: bool) -> None:
            on_record_written(ok)
            if attempt.ended:
                return  # cancelled while it waited for the disk; its release has been written
            if ok:
                self.start_lease_timer(attempt)
                send()
            else:
                self.core.ended(attempt, api.Outcome.NOT_SENT)

        try:
            record = self.ledger.lease(request.job, attempt.number, endpoint.name, self.now(), link, address)
        except JobNotRunnableError as error:
            must(False, f"the ledger allows what the decisions send: {error}")
            self.core.ended(attempt, api.Outcome.NOT_SENT)
            return
        if self.failed:
            self.core.ended(attempt, api.Outcome.NOT_SENT)
            return
        on_record_written = self.track_record(request.job)
        attempt.leased = True
        self.write_record(record, on_written)

    def start_lease_timer(self, attempt: Attempt) -> None:
        """Start or restart the lease's timeout: its worker must report within `silence_ms`."""
        deadlines = self.core.deadlines
        deadlines.drop(self._lease_timers.pop(attempt, None))
        at = self.core.clock.now() + self.options.silence_ms
        self._lease_timers[attempt] = deadlines.set(at, lambda: self.expire_lease(attempt))

    def expire_lease(self, attempt: Attempt) -> None:
        """End an attempt with the outcome RESET, because its worker has reported nothing for `silence_ms`.

        Whether the job is retried depends on its class.
        """
        self._lease_timers.pop(attempt, None)
        if not attempt.ended:
            self.core.counters.add("ledger.leases_expired")
            log.warning(
                "a worker has fallen silent: its lease is over",
                extra={"job": attempt.request.wire_id, "worker": attempt.endpoint.name},
            )
            attempt.may_have_run = True
            self.core.ended(attempt, api.Outcome.RESET)

    def renew(self, attempt: Attempt) -> None:
        """Renew an attempt's lease, since its worker has reported progress."""
        if attempt in self._lease_timers:
            self.start_lease_timer(attempt)

    def released(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Note that an attempt has ended without a result, which releases its lease."""
        request = attempt.request
        self.core.deadlines.drop(self._lease_timers.pop(attempt, None))
        if not attempt.leased or outcome is api.Outcome.DONE or request.job not in self.ledger.jobs:
            return  # a result ends the job, whose end record needs no release before it
        ran = attempt.may_have_run and not outcome.never_ran
        record = Released(self.now(), request.job, attempt.number, ran, outcome.value)
        self.write_or_apply(record, request.job)

    def write_or_apply(self, record: AnyRecord, job: int) -> None:
        """Write a record of something that has happened.

        While the disk has failed, it is only applied to the ledger; the rewrite after the recovery stores it.
        """
        if self.failed:
            self.ledger.apply(record)
            self.incomplete_jobs.add(job)
        else:
            self.write_record(record, self.track_record(job))

    def end(
        self, request: Request, answer: Answer, is_answered: bool, deliver: Callable[[Answer], None]
    ) -> None:
        """Write a job's end and then pass its answer to `deliver`, or a failure if its deadline comes first.

        `is_answered`: a client waits for this answer.
        """
        if request.job in self.ledger.jobs:
            record = Ended(self.now(), request.job, answer.verdict.value, answer.result, is_answered)
            self.write_or_apply(record, request.job)
        self.deliver_when_durable(request.job, request.deadline, answer, deliver)

    def deliver_stored_answer(
        self, request: Request, answer: Answer, deliver: Callable[[Answer], None]
    ) -> None:
        """Pass a stored answer to `deliver`, once it is on disk that a client has been answered."""
        job = self.ledger.find(request.cls, request.unique)
        if job is None or job.ended is None:
            deliver(answer)
            return
        number = job.accepted.job
        if not job.ended.told:
            # From here on no late result may replace this answer.
            self.write_or_apply(msgspec.structs.replace(job.ended, told=True), number)
        self.deliver_when_durable(number, request.deadline, answer, deliver)

    def deliver_when_durable(
        self, job: int, deadline: float, answer: Answer, deliver: Callable[[Answer], None]
    ) -> None:
        """Deliver an answer once all records of the job are on disk.

        At the deadline a failure is delivered instead: it promises nothing about what has happened.
        """
        if job in self._refused_jobs or not (job in self._pending_records or job in self.incomplete_jobs):
            self._refused_jobs.discard(job)
            deliver(answer)
            return
        timer: Deadline | None = None

        def deliver_once(answer: Answer) -> None:
            nonlocal deliver
            self.core.deadlines.drop(timer)
            callback, deliver = deliver, _ignore_answer
            callback(answer)

        at = max(deadline - ANSWER_MARGIN_MS, self.core.clock.now())
        timer = self.core.deadlines.set(at, lambda: deliver_once(Answer(Verdict.FAILED)))
        self._callbacks.setdefault(job, []).append(lambda ok: deliver_once(answer))

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        """Handle a worker's report on a job that is no longer running; return whether the job is known.

        A late result replaces a failure that no client has received.
        """
        job = self.ledger.find_by_wire_id(wire_id)
        if job is None or not any(lease.leased.worker == worker for lease in job.leases):
            return False
        ended = job.ended
        if state == "done" and ended is not None and not ended.told and ended.verdict != "succeeded":
            self.core.counters.add("ledger.late_results")
            log.info("a late result is kept", extra={"job": wire_id, "worker": worker})
            record = Ended(self.now(), job.accepted.job, Verdict.SERVED.value, result, False)
            self.write_or_apply(record, job.accepted.job)
        return True

    def close(self) -> None:
        """Write what was appended, release the ledger and add the log's totals to the counters."""
        self.log.close()
        flusher = self.log.flusher
        for name in ("records", "commits", "bytes", "checkpoints", "largest"):
            self.core.counters.add(f"ledger.{name}", getattr(flusher, name))


def _ignore_answer(answer: Answer) -> None:
    """Replaces the callback of an answer that has been delivered."""
