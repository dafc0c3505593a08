"""Durable jobs in a running dispatcher: between the core, the ledger and its log. All in the loop's
thread."""

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
from eiderpin.durable.log import Log, NotWritable
from eiderpin.jobs import records
from eiderpin.jobs.ledger import Ledger, MayNotRun, asks_same
from eiderpin.jobs.records import Accepted, AnyRecord, Ended, Opened, Released
from eiderpin.parts.durable import DurableOptions

log = logging.getLogger("eiderpin")

TRY_AGAIN = 500.0  # ms between looks whether a failed disk has come back
TELL_BEFORE = 2.0  # ms before a job's deadline at which a client hears, whatever the disk does
EXPIRE_RECORDS = 4096  # records read between looks at what need not be kept
BOOT_ID = "/proc/sys/kernel/random/boot_id"
EXPIRE_EVERY = 1000.0  # ms between looks for answers that need not be kept any longer


def boot_id() -> str:
    """What tells this boot of the machine from any other; empty where it does not say."""
    try:
        with open(BOOT_ID) as file:
            return file.read().strip()
    except OSError:
        return ""


class JobManager:
    """Implements `core.durability.DurableJobManager`. Raises `Locked`, `BadFormat`, `Damaged`, `BrokenRule`
    and `OSError` where the ledger cannot be read or owned."""

    def __init__(
        self, core: Dispatcher, options: DurableOptions, name: str, files: Files | None = None
    ) -> None:
        self.core, self.options, self.name = core, options, name
        single = {c.name for c in core.settings.classes if c.repeat is not api.Repeat.FREE}
        self.single = tuple(sorted(single & options.classes))
        self.ledger = Ledger(
            frozenset(self.single),
            options.keep_ms,
            options.max_answers,
            int(options.max_results_mb * (1 << 20)),
        )
        files = files if files is not None else Files(options.folder)
        self._read = 0
        self.log = Log(files, self.read)
        self.boot = boot_id()
        self.ahead = self._ahead()
        self.recovered = False
        self.behind: set[int] = set()  # jobs of which the disk does not hold all, since it had failed
        self._silences: dict[Attempt, Deadline] = {}
        self._held: dict[int, int] = {}  # job to how many of its records are not known to be on disk
        self._unwritten: set[int] = set()  # jobs whose taking on the disk has refused
        self._waits: dict[int, list[Callable[[bool], None]]] = {}
        self.put(self.opened(self.ledger.term + 1))
        self.expire()

    def _ahead(self) -> float:
        """ms by which the ledger's time is ahead of the core's, so that it goes on from where it was: by the
        machine's steady clock while that is the last owner's, for the wall clock may have stepped meanwhile.
        A step back gives no job more time than it had, a step forward takes none from it, nor a kept answer
        from one who asks again."""
        clock, ledger = self.core.clock, self.ledger
        continued = ledger.time_at(self.boot, clock.since_boot())
        is_known = ledger.since_boot_at(ledger.last_at) > 0 and continued > ledger.last_at
        return continued - clock.now() if is_known else max(0.0, ledger.last_at - clock.now())

    def opened(self, term: int) -> Opened:
        """The record by which we own the ledger in this term."""
        return Opened(self.now(), term, self.name, self.single, self.boot, self.core.clock.since_boot())

    def now(self) -> float:
        """The ledger's time: the core's, but never behind what has been written."""
        return self.core.clock.now() + self.ahead

    def read(self, record: Record) -> None:
        """Take one record of the ledger in, in the order in which they were written."""
        self.ledger.apply(records.unpack(record))
        self._read += 1
        if self._read % EXPIRE_RECORDS == 0:
            self.ledger.expire(self.ledger.last_at)  # a long ledger must not be held in memory whole

    # -- writing

    def put(self, record: AnyRecord, told: Callable[[bool], None] | None = None) -> None:
        """Apply a record and have it written. Raises `NotWritable`, and has then changed nothing."""
        if self.log.failed is not None:
            raise NotWritable(str(self.log.failed))
        self.ledger.apply(record)
        packed = records.pack(record)
        self.log.append(packed.kind, packed.version, packed.body, told)
        if self.log.wants_checkpoint:
            self.log.checkpoint(self.snapshot())

    def snapshot(self) -> Iterator[Record]:
        """All that holds now, as it is written. The records are gathered here; whoever writes them packs
        them, so that the loop does not stand still for a long ledger."""
        return records.pack_all(list(self.ledger.snapshot()))

    @property
    def failed(self) -> bool:
        """Whether the disk takes nothing at the moment."""
        return self.log.failed is not None

    def settle(self) -> None:
        """Called by the loop when the flusher has something to tell."""
        failed = self.log.failed
        self.log.settle()
        if failed is None and self.log.failed is not None:
            self.core.counters.add("ledger.failed")
            text = "the disk of durable jobs takes nothing, they are turned down: %s"
            log.error(text, self.log.failed)
            self.look_again()

    def look_again(self) -> None:
        """A failed disk is tried until it takes all that holds; what waits for it then is told."""
        deadlines, clock = self.core.deadlines, self.core.clock
        if self.log.came_back():
            # What has happened since the snapshot that brought it back is not in that one.
            self.log.checkpoint(self.snapshot())
            self.put(self.opened(self.ledger.term), self.back)
            return
        self.log.try_again(self.snapshot())
        deadlines.set(clock.now() + TRY_AGAIN, self.look_again)

    def back(self, ok: bool) -> None:
        if not ok:
            return  # it has failed again, and `settle` sees to that
        self.behind.clear()
        self.core.counters.add("ledger.came_back")
        log.info("the disk of durable jobs is back")
        waits, self._waits = self._waits, {}
        for number, calls in waits.items():
            if number in self._held:
                self._waits[number] = calls
                continue
            for call in calls:
                call(True)

    def expire(self) -> None:
        self.ledger.expire(self.now())
        self.core.deadlines.set(self.core.clock.now() + EXPIRE_EVERY, self.expire)

    def is_idle(self) -> bool:
        """Whether nobody waits for the disk."""
        return not self._waits and not self._held

    # -- what the core asks

    def covers_class(self, cls: str) -> bool:
        return cls in self.options.classes

    def stored_answer(self, request: Request) -> Answer | None:
        job = self.ledger.find(request.cls, request.unique) if request.unique else None
        if job is None or job.ended is None:
            return None
        if job.ended.at + self.options.keep_ms <= self.now():
            return None
        if not asks_same(job.accepted, request.target, request.body):
            raise JobMismatchError
        served = job.ended.verdict == Verdict.SERVED.value
        return Answer(Verdict.SERVED, job.ended.result) if served else Answer(Verdict.FAILED)

    def accept(self, request: Request) -> bool:
        now = self.now()
        number = self.ledger.next_job()
        record = Accepted(
            now,
            number,
            request.cls,
            request.unique,
            request.wire_id,
            request.target,
            request.body,
            request.deadline + self.ahead,
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
        held = self.hold(number)

        def told(ok: bool) -> None:
            held(ok)
            if not ok:
                # It never counted as taken on, and nothing of it was sent: this may be said at once.
                self._unwritten.add(number)
                for call in self._waits.pop(number, ()):
                    call(False)
                self.core.reject(request)

        self.put(record, told)
        request.job = number
        return True

    def hold(self, number: int) -> Callable[[bool], None]:
        """Note that a record of this job is on its way to the disk; the call notes that it is there."""
        self._held[number] = self._held.get(number, 0) + 1

        def told(ok: bool) -> None:
            if not ok:
                self.behind.add(number)
            left = self._held[number] - 1
            if left:
                self._held[number] = left
                return
            del self._held[number]
            if number not in self.behind:  # else they wait until the disk has come back
                for call in self._waits.pop(number, ()):
                    call(True)

        return told

    def when_durable(self, request: Request, call: Callable[[bool], None]) -> None:
        if request.job not in self._held and request.job not in self.behind:
            call(True)
        else:
            self._waits.setdefault(request.job, []).append(call)

    def lease(self, attempt: Attempt, send: Callable[[], None]) -> None:
        request, endpoint = attempt.request, attempt.endpoint
        link = "gearman" if endpoint.listed.shape == "gearman" else "http"
        address = f"{endpoint.address[0]}:{endpoint.address[1]}" if link == "http" else ""

        def told(ok: bool) -> None:
            held(ok)
            if attempt.ended:
                return  # called off while it waited; that has been written
            if ok:
                self.watch(attempt)
                send()
            else:
                self.core.ended(attempt, api.Outcome.NOT_SENT)

        try:
            record = self.ledger.lease(request.job, attempt.number, endpoint.name, self.now(), link, address)
        except MayNotRun as error:
            must(False, f"the ledger allows what the decisions send: {error}")
            self.core.ended(attempt, api.Outcome.NOT_SENT)
            return
        if self.failed:
            self.core.ended(attempt, api.Outcome.NOT_SENT)
            return
        held = self.hold(request.job)
        attempt.leased = True
        self.put(record, told)

    def watch(self, attempt: Attempt) -> None:
        """Its worker must tell of it within a while, again and again; else the lease is over."""
        deadlines = self.core.deadlines
        deadlines.drop(self._silences.pop(attempt, None))
        at = self.core.clock.now() + self.options.silence_ms
        self._silences[attempt] = deadlines.set(at, lambda: self.silent(attempt))

    def silent(self, attempt: Attempt) -> None:
        """What holds now follows from the class: the decisions are told of a reset."""
        self._silences.pop(attempt, None)
        if not attempt.ended:
            self.core.counters.add("ledger.leases_expired")
            log.warning(
                "a worker has fallen silent: its lease is over",
                extra={"job": attempt.request.wire_id, "worker": attempt.endpoint.name},
            )
            attempt.may_have_run = True
            self.core.ended(attempt, api.Outcome.RESET)

    def renew(self, attempt: Attempt) -> None:
        if attempt in self._silences:
            self.watch(attempt)

    def released(self, attempt: Attempt, outcome: api.Outcome) -> None:
        request = attempt.request
        self.core.deadlines.drop(self._silences.pop(attempt, None))
        if not attempt.leased or outcome is api.Outcome.DONE or request.job not in self.ledger.jobs:
            return  # a result is the job's end, and says all
        ran = attempt.may_have_run and not outcome.never_ran
        record = Released(self.now(), request.job, attempt.number, ran, outcome.value)
        self.write_or_remember(record, request.job)

    def write_or_remember(self, record: AnyRecord, job: int) -> None:
        """What has happened has happened: with the disk away, the ledger knows, and writes it when that is
        back."""
        if self.failed:
            self.ledger.apply(record)
            self.behind.add(job)
        else:
            self.put(record, self.hold(job))

    def end(self, request: Request, answer: Answer, told: bool, tell: Callable[[Answer], None]) -> None:
        if request.job in self.ledger.jobs:
            record = Ended(self.now(), request.job, answer.verdict.value, answer.result, told)
            self.write_or_remember(record, request.job)
        self.tell_when_kept(request.job, request.deadline, answer, tell)

    def deliver_stored_answer(self, request: Request, answer: Answer, tell: Callable[[Answer], None]) -> None:
        job = self.ledger.find(request.cls, request.unique)
        if job is None or job.ended is None:
            tell(answer)
            return
        number = job.accepted.job
        if not job.ended.told:
            # From here on no late result may say otherwise.
            self.write_or_remember(msgspec.structs.replace(job.ended, told=True), number)
        self.tell_when_kept(number, request.deadline, answer, tell)

    def tell_when_kept(
        self, number: int, deadline: float, answer: Answer, tell: Callable[[Answer], None]
    ) -> None:
        """Tell it once all that is known of the job is on disk. At the deadline a failure is told instead: it
        promises nothing of what has happened."""
        if number in self._unwritten or not (number in self._held or number in self.behind):
            self._unwritten.discard(number)
            tell(answer)
            return
        guard: Deadline | None = None

        def once(answer: Answer) -> None:
            nonlocal tell
            self.core.deadlines.drop(guard)
            call, tell = tell, _nobody
            call(answer)

        at = max(deadline - TELL_BEFORE, self.core.clock.now())
        guard = self.core.deadlines.set(at, lambda: once(Answer(Verdict.FAILED)))
        self._waits.setdefault(number, []).append(lambda ok: once(answer))

    def handle_late_report(self, wire_id: str, worker: str, state: str, result: bytes) -> bool:
        job = self.ledger.by_wire(wire_id)
        if job is None or not any(x.leased.worker == worker for x in job.leases):
            return False
        ended = job.ended
        if state == "done" and ended is not None and not ended.told and ended.verdict != "succeeded":
            self.core.counters.add("ledger.late_results")
            log.info("a late result is kept", extra={"job": wire_id, "worker": worker})
            record = Ended(self.now(), job.accepted.job, Verdict.SERVED.value, result, False)
            self.write_or_remember(record, job.accepted.job)
        return True

    def close(self) -> None:
        self.log.close()
        flusher = self.log.flusher
        for name in ("records", "commits", "bytes", "checkpoints", "largest"):
            self.core.counters.add(f"ledger.{name}", getattr(flusher, name))


def _nobody(answer: Answer) -> None:
    """It has been told already."""
