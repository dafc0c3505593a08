"""The rules of durable jobs. Pure: records in, state out; no clock, no disk, no network.

The guarantee for a job whose class may not run twice: a lease that was not released as "did not run" forbids
every further lease, in this process and in any process that reads the ledger later.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from eiderpin.jobs.records import Accepted, AnyRecord, Ended, Leased, Opened, Released

JOB_OVERHEAD_BYTES = 300  # of memory for an ended job beside its name and its result


class LedgerRuleError(Exception):
    """A record contradicts those before it."""


class JobNotRunnableError(Exception):
    """The job has ended, or it may have run and must not run twice."""


class JobNameTakenError(Exception):
    """A job of this name is still open."""


class RecoveryStep(Enum):
    """What the recovery does with an open job."""

    PLACE = "place"  # no lease, or only leases that may be followed by another: it is placed anew
    WAIT = "wait"  # it has an active lease, and its worker may still report
    LATE = "late"  # it can't be placed: its deadline has passed, or it may have run and must not run twice


@dataclass(slots=True)
class Lease:
    """A lease of a job, and its release if there was one."""

    leased: Leased
    released: Released | None = None

    @property
    def is_active(self) -> bool:
        """Whether it has not been released."""
        return self.released is None

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that the job did not run under this lease."""
        return self.released is None or self.released.ran


@dataclass(slots=True)
class Job:
    """A job, with its leases in the order of their records, and its end if it has ended."""

    accepted: Accepted
    leases: list[Lease] = field(default_factory=list)
    ended: Ended | None = None
    result_dropped: bool = False  # it counts as failed since: there was no room for its result

    @property
    def name(self) -> tuple[str, str]:
        """Its class and the name that its client gave it."""
        return self.accepted.cls, self.accepted.unique

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
        return any(lease.may_have_run for lease in self.leases)

    @property
    def active_leases(self) -> list[Lease]:
        """The leases that have not been released."""
        return [lease for lease in self.leases if lease.is_active]

    def state(self) -> str:
        """Return its state in one word: its verdict, "leased" or "waiting"."""
        if self.ended is not None:
            return self.ended.verdict
        return "leased" if self.active_leases else "waiting"


class Ledger:
    """All open jobs, and the ended jobs whose answers are kept for resubmissions.

    An ended job that must not run again by its name is kept for `keep_ms` in any case. Beyond the bounds
    other ended jobs are removed, and then results of these are dropped; what is left may leave no room for a
    new job of their classes: see `has_room`.

    `single_run_classes`: classes whose jobs may not run twice. `max_answers` and `max_answer_bytes` bound the
    ended jobs that are kept.
    """

    def __init__(
        self, single_run_classes: frozenset[str] = frozenset(), keep_ms: float = 3_600_000.0,
        max_answers: int = 100_000, max_answer_bytes: int = 64 << 20,
    ) -> None:  # fmt: skip
        """Begin without any job."""
        self.single_run_classes, self.keep_ms, self.max_answers, self.max_answer_bytes = (
            single_run_classes, keep_ms, max_answers, max_answer_bytes
        )  # fmt: skip
        self.jobs: dict[int, Job] = {}
        self.term = 0
        self.owner = ""
        self.last_at = 0.0  # the latest time of any record; the ledger's time never goes back behind it
        self._last_opened: Opened | None = None  # relates the records' time to the machine's monotonic clock
        self.last_job = 0
        self._job_by_name: dict[tuple[str, str], int] = {}
        self._job_by_wire_id: dict[str, int] = {}  # the last job with each id that workers use
        self._ended_at: OrderedDict[int, float] = OrderedDict()  # by ended job, oldest end first
        self._removable: OrderedDict[int, None] = OrderedDict()  # ended jobs that may run again, likewise
        self._with_result: OrderedDict[int, None] = OrderedDict()  # other ended jobs with a result, likewise
        self._kept_bytes = 0  # of all ended jobs
        # Open and ended jobs whose names must be kept, and the bytes of these.
        self._kept_names = self._kept_name_bytes = 0
        self.results_dropped = 0  # of jobs whose names had to be kept

    # -- which records are allowed next; each method returns one that has yet to be applied and written

    def accept(self, record: Accepted) -> Accepted:
        """Return the record if the job may be accepted. Raises `JobNameTakenError`."""
        known = self.find(record.cls, record.unique) if record.unique else None
        if known is not None and known.ended is None:
            raise JobNameTakenError(f"{record.cls}/{record.unique} is the name of job {known.accepted.job}")
        return record

    def lease(self, job: int, attempt: int, worker: str, at: float, link: str, address: str) -> Leased:
        """Return the record that leases the job to this worker. Raises `JobNotRunnableError`."""
        known = self.jobs.get(job)
        if known is None or known.ended is not None:
            raise JobNotRunnableError(f"job {job} has ended")
        if known.accepted.cls in self.single_run_classes and known.may_have_run:
            raise JobNotRunnableError(f"job {job} may have run, and {known.accepted.cls} must not run twice")
        return Leased(at, job, attempt, worker, self.term, link, address)

    def find(self, cls: str, unique: str) -> Job | None:
        """Return the job that has this name in its class."""
        number = self._job_by_name.get((cls, unique))
        return self.jobs.get(number) if number is not None else None

    def find_by_wire_id(self, wire_id: str) -> Job | None:
        """Return the last job that workers know by this id."""
        number = self._job_by_wire_id.get(wire_id)
        return self.jobs.get(number) if number is not None else None

    def next_job(self) -> int:
        """Return the number of the next job to be accepted."""
        return self.last_job + 1

    # -- records

    def apply(self, record: AnyRecord) -> None:
        """Apply a record. Raises `LedgerRuleError`, without any change, if it contradicts those before it."""
        if isinstance(record, Opened):
            if record.term < self.term:
                raise LedgerRuleError(f"term {record.term} after term {self.term}")
            self.term, self.owner = record.term, record.name
            self._set_single_run_classes(frozenset(record.single))
            self._last_opened = record
        elif isinstance(record, Accepted):
            self._apply_accepted(record)
        else:
            job = self.jobs.get(record.job)
            if job is None and self._may_follow_removal(record):
                return
            if job is None:
                raise LedgerRuleError(
                    f"{type(record).__name__} of job {record.job}, which was never taken on"
                )
            if isinstance(record, Leased):
                self._apply_leased(job, record)
            elif isinstance(record, Released):
                self._apply_released(job, record)
            else:
                self._apply_ended(job, record)
        self.last_at = max(self.last_at, record.at)

    def _may_follow_removal(self, record: Leased | Released | Ended) -> bool:
        """Return whether a record may be of an ended job that was removed beyond the bounds.

        Whoever wrote it applied the bounds at other moments than whoever reads it.
        """
        return record.job <= self.last_job and not isinstance(record, Leased)

    def _set_single_run_classes(self, classes: frozenset[str]) -> None:
        """Change which classes may not run twice, and with them which names must be kept."""
        if classes == self.single_run_classes:
            return
        self.single_run_classes = classes
        self._kept_names = self._kept_name_bytes = 0
        self._removable.clear()
        self._with_result.clear()
        for number, job in self.jobs.items():
            self._count_name(job, 1)
            if job.ended is not None:
                self._sort_ended(number, job, job.ended)

    def _sort_ended(self, number: int, job: Job, ended: Ended) -> None:
        """Note which part of an ended job may be dropped where there are too many."""
        if not self._must_keep_name(job):
            self._removable[number] = None
        elif ended.verdict == "succeeded":
            self._with_result[number] = None

    def _apply_accepted(self, record: Accepted) -> None:
        if record.job in self.jobs:
            raise LedgerRuleError(f"job {record.job} is taken on twice")
        if record.unique:
            try:
                self.accept(record)
            except JobNameTakenError as error:
                raise LedgerRuleError(str(error)) from None
            self._job_by_name[record.cls, record.unique] = record.job
        self._job_by_wire_id[record.wire_id] = record.job
        self.jobs[record.job] = job = Job(record)
        self._count_name(job, 1)
        self.last_job = max(self.last_job, record.job)

    def _apply_leased(self, job: Job, record: Leased) -> None:
        if job.ended is not None:
            raise LedgerRuleError(f"job {record.job} is leased after its end")
        if job.accepted.cls in self.single_run_classes and job.may_have_run:
            raise LedgerRuleError(f"job {record.job} must not run twice, and is leased again")
        if any(lease.leased.attempt == record.attempt for lease in job.leases):
            raise LedgerRuleError(f"job {record.job}: attempt {record.attempt} is leased twice")
        job.leases.append(Lease(record))

    def _apply_released(self, job: Job, record: Released) -> None:
        lease = next((one for one in job.leases if one.leased.attempt == record.attempt), None)
        if lease is None:
            raise LedgerRuleError(f"job {record.job}: attempt {record.attempt} was never leased")
        if lease.released is None or (lease.released.ran and not record.ran):
            lease.released = record

    def _apply_ended(self, job: Job, record: Ended) -> None:
        if job.result_dropped:
            return
        before = job.ended
        is_repeated = before is not None and (before.verdict, before.result) == (
            record.verdict,
            record.result,
        )
        if before is not None and (before.told or (before.verdict == "succeeded" and not is_repeated)):
            raise LedgerRuleError(f"job {record.job} ends twice, and its first end was final")
        job.ended = record
        if not self.must_keep_answer(job):
            self._remove(record.job)
            return
        self._kept_bytes += _kept_size(job) - (_kept_size(job, before) if before is not None else 0)
        self._ended_at[record.job] = record.at
        self._sort_ended(record.job, job, record)
        # The job is not sent again: its answer is kept, and its body is replaced by a fingerprint.
        job.accepted = _without_body(job.accepted)

    # -- retention

    def must_keep_answer(self, job: Job) -> bool:
        """Return whether a resubmission has to get the same answer, so that the job is kept after its end.

        This holds for a result, and for the failure of a job that must not run twice, whether it began or
        not: a client that received the failure gets it again. A rejection leaves the name free.
        """
        if job.ended is None or job.ended.verdict == "succeeded":
            return True
        return job.accepted.cls in self.single_run_classes and job.ended.verdict == "aborted"

    def _must_keep_name(self, job: Job) -> bool:
        """Return whether a job may be submitted again by its name, and must not run then."""
        return bool(job.accepted.unique) and job.accepted.cls in self.single_run_classes

    def _count_name(self, job: Job, sign: int) -> None:
        """Count a job's name, if it must be kept, or with `sign` -1 count it no longer."""
        if self._must_keep_name(job):
            self._kept_names += sign
            self._kept_name_bytes += sign * _name_size(job.accepted.unique)

    def has_room(self, cls: str, unique: str) -> bool:
        """Return whether a new job may be accepted: its name may have to be kept, and no other is dropped."""
        if not unique or cls not in self.single_run_classes:
            return True
        has_bytes = self._kept_name_bytes + _name_size(unique) <= self.max_answer_bytes
        return has_bytes and self._kept_names < self.max_answers

    def _remove(self, number: int) -> None:
        job = self.jobs.pop(number)
        self._removable.pop(number, None)
        self._with_result.pop(number, None)
        self._count_name(job, -1)
        if self._job_by_name.get(job.name) == number:
            del self._job_by_name[job.name]
        if self._job_by_wire_id.get(job.accepted.wire_id) == number:
            del self._job_by_wire_id[job.accepted.wire_id]

    def expire(self, now: float) -> int:
        """Remove the ended jobs that are too old, and the answers beyond the bounds; return how many jobs."""
        removed = 0
        while self._ended_at:
            number, at = next(iter(self._ended_at.items()))
            if at + self.keep_ms > now:
                break
            self._remove_ended(number)
            removed += 1
        while self._removable and (
            len(self._ended_at) > self.max_answers or self._kept_bytes > self.max_answer_bytes
        ):
            self._remove_ended(next(iter(self._removable)))
            removed += 1
        while self._with_result and self._kept_bytes > self.max_answer_bytes:
            self._drop_result(next(iter(self._with_result)))
        return removed

    def _remove_ended(self, number: int) -> None:
        del self._ended_at[number]
        self._kept_bytes -= _kept_size(self.jobs[number])
        self._remove(number)

    def _drop_result(self, number: int) -> None:
        """Drop the result of a job whose name is kept: submitted again, it counts as failed."""
        job = self.jobs[number]
        assert job.ended is not None
        self._kept_bytes -= _kept_size(job)
        job.ended = Ended(job.ended.at, number, "aborted", told=True)
        job.result_dropped = True
        self._kept_bytes += _kept_size(job)
        del self._with_result[number]
        self.results_dropped += 1

    def since_boot_at(self, at: float) -> float:
        """Return the machine's monotonic clock (ms) at a time of the records, as its last owner related them.

        0 if that is not known.
        """
        opened = self._last_opened
        return opened.since_boot + at - opened.at if opened is not None and opened.boot else 0.0

    def time_at(self, boot: str, since_boot: float) -> float:
        """Return the records' time when the machine's monotonic clock shows `since_boot` ms in this boot.

        It is at least the time of the last record, and equal to it if the machine has booted since.
        """
        opened = self._last_opened
        if opened is None or not opened.boot or opened.boot != boot:
            return self.last_at
        return max(self.last_at, opened.at + since_boot - opened.since_boot)

    @property
    def open_jobs(self) -> int:
        """The number of jobs that have not ended."""
        return len(self.jobs) - len(self._ended_at)

    def snapshot(self) -> Iterator[AnyRecord]:
        """Yield records that, applied to an empty ledger, give the current state."""
        boot = self._last_opened.boot if self._last_opened is not None else ""
        since_boot = self.since_boot_at(self.last_at)
        yield Opened(
            self.last_at, self.term, self.owner, tuple(sorted(self.single_run_classes)), boot, since_boot
        )
        for job in self.jobs.values():
            yield job.accepted
            for lease in job.leases:
                yield lease.leased
                if lease.released is not None:
                    yield lease.released
            if job.ended is not None:
                yield job.ended

    # -- recovery

    def plan_recovery(self, now: float) -> list[tuple[RecoveryStep, Job]]:
        """Return what the recovery has to do with each open job, oldest first."""
        steps = []
        for job in self.jobs.values():
            if job.ended is not None:
                continue
            if job.active_leases:
                step = RecoveryStep.WAIT
            elif now >= job.accepted.deadline or (
                job.accepted.cls in self.single_run_classes and job.may_have_run
            ):
                step = RecoveryStep.LATE
            else:
                step = RecoveryStep.PLACE
            steps.append((step, job))
        return steps


def _kept_size(job: Job, ended: Ended | None = None) -> int:
    """Return the estimated memory of an ended job in bytes."""
    ended = ended or job.ended
    return _name_size(job.accepted.unique) + (len(ended.result) if ended is not None else 0)


def _name_size(unique: str) -> int:
    """Return the estimated memory of an ended job without its result, in bytes."""
    return JOB_OVERHEAD_BYTES + len(unique)


def fingerprint(target: bytes, body: bytes) -> bytes:
    """Return the hash by which a resubmission under the same name is compared with the first submission."""
    return b"#" + hashlib.blake2b(target + b"\0" + body, digest_size=16).digest()


def is_same_job(accepted: Accepted, target: bytes, body: bytes) -> bool:
    """Return whether the job was submitted with this target and body."""
    if accepted.ended_print:
        return accepted.ended_print == fingerprint(target, body)
    return accepted.body == body and accepted.target == target


def _without_body(accepted: Accepted) -> Accepted:
    """Replace the target and the body by their fingerprint."""
    if accepted.ended_print:
        return accepted
    ended_print = fingerprint(accepted.target, accepted.body)
    return msgspec.structs.replace(accepted, target=b"", body=b"", ended_print=ended_print)
