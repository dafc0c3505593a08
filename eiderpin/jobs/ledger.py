"""The rules of durable jobs. Pure: records in, state out; no clock, no disk, no wire.

What is promised of a job whose class may not run twice: a lease that has not been released as unrun
forbids every further one, in this process and in any that reads the ledger after it.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from eiderpin.jobs.records import Accepted, AnyRecord, Ended, Leased, Opened, Released


class LedgerRuleError(Exception):
    """A record that the rules do not allow after those before it."""


class MayNotRun(Exception):
    """The job may have run, and must not run twice; or it has ended."""


class NameTaken(Exception):
    """The name is another job's: what it asks for differs."""


class Step(Enum):
    """What recovery has to do with a job."""

    PLACE = "place"  # never leased, or every lease proved unrun: it is placed anew
    WAIT = "wait"  # leased: its worker may still call back
    LATE = "late"  # never run, and its deadline has passed


@dataclass(slots=True)
class Lease:
    leased: Leased
    released: Released | None = None

    @property
    def out(self) -> bool:
        return self.released is None

    @property
    def may_have_run(self) -> bool:
        return self.released is None or self.released.ran


@dataclass(slots=True)
class Job:
    accepted: Accepted
    leases: list[Lease] = field(default_factory=list)
    ended: Ended | None = None

    @property
    def name(self) -> tuple[str, str]:
        return self.accepted.cls, self.accepted.unique

    @property
    def may_have_run(self) -> bool:
        return any(lease.may_have_run for lease in self.leases)

    @property
    def out(self) -> list[Lease]:
        return [lease for lease in self.leases if lease.out]

    def state(self) -> str:
        """One word for people."""
        if self.ended is not None:
            return self.ended.verdict
        return "leased" if self.out else "waiting"


class Ledger:
    """All jobs that are open, and those whose answers are kept. `single` holds the classes that may not run
    twice; `keep` (ms), `most` and `most_bytes` bound what is kept of ended ones."""

    def __init__(
        self, single: frozenset[str] = frozenset(), keep: float = 3_600_000.0, most: int = 100_000,
        most_bytes: int = 64 << 20,
    ) -> None:  # fmt: skip
        self.single, self.keep, self.most, self.most_bytes = single, keep, most, most_bytes
        self.jobs: dict[int, Job] = {}
        self.term = 0
        self.owner = ""
        self.last_at = 0.0  # of all records: time never goes back behind it
        self._opened: Opened | None = None  # the last: it ties the records' time to the steady clock
        self.last_job = 0
        self._names: dict[tuple[str, str], int] = {}
        self._wires: dict[str, int] = {}  # of each id that workers know, the last job that had it
        self._ended: OrderedDict[int, float] = OrderedDict()  # job to when it ended, oldest first
        self._kept_bytes = 0

    # -- what may be done; each gives the record that says so, which is to be applied and written

    def accept(self, record: Accepted) -> Accepted:
        """Raises `NameTaken`."""
        known = self.find(record.cls, record.unique) if record.unique else None
        if known is not None and known.ended is None:
            raise NameTaken(f"{record.cls}/{record.unique} is the name of job {known.accepted.job}")
        return record

    def lease(self, job: int, attempt: int, worker: str, at: float, link: str, address: str) -> Leased:
        """Raises `MayNotRun`."""
        known = self.jobs.get(job)
        if known is None or known.ended is not None:
            raise MayNotRun(f"job {job} has ended")
        if known.accepted.cls in self.single and known.may_have_run:
            raise MayNotRun(f"job {job} may have run, and {known.accepted.cls} must not run twice")
        return Leased(at, job, attempt, worker, self.term, link, address)

    def find(self, cls: str, unique: str) -> Job | None:
        number = self._names.get((cls, unique))
        return self.jobs.get(number) if number is not None else None

    def by_wire(self, wire_id: str) -> Job | None:
        number = self._wires.get(wire_id)
        return self.jobs.get(number) if number is not None else None

    def next_job(self) -> int:
        return self.last_job + 1

    # -- records

    def apply(self, record: AnyRecord) -> None:
        """Take a record in. Raises `LedgerRuleError`, and has then changed nothing."""
        if isinstance(record, Opened):
            if record.term < self.term:
                raise LedgerRuleError(f"term {record.term} after term {self.term}")
            self.term, self.owner, self.single = record.term, record.name, frozenset(record.single)
            self._opened = record
        elif isinstance(record, Accepted):
            self._accepted(record)
        else:
            job = self.jobs.get(record.job)
            if job is None:
                raise LedgerRuleError(
                    f"{type(record).__name__} of job {record.job}, which was never taken on"
                )
            if isinstance(record, Leased):
                self._leased(job, record)
            elif isinstance(record, Released):
                self._released(job, record)
            else:
                self._over(job, record)
        self.last_at = max(self.last_at, record.at)

    def _accepted(self, record: Accepted) -> None:
        if record.job in self.jobs:
            raise LedgerRuleError(f"job {record.job} is taken on twice")
        if record.unique:
            try:
                self.accept(record)
            except NameTaken as error:
                raise LedgerRuleError(str(error)) from None
            self._names[record.cls, record.unique] = record.job
        self._wires[record.wire_id] = record.job
        self.jobs[record.job] = Job(record)
        self.last_job = max(self.last_job, record.job)

    def _leased(self, job: Job, record: Leased) -> None:
        if job.ended is not None:
            raise LedgerRuleError(f"job {record.job} is leased after its end")
        if job.accepted.cls in self.single and job.may_have_run:
            raise LedgerRuleError(f"job {record.job} must not run twice, and is leased again")
        if any(lease.leased.attempt == record.attempt for lease in job.leases):
            raise LedgerRuleError(f"job {record.job}: attempt {record.attempt} is leased twice")
        job.leases.append(Lease(record))

    def _released(self, job: Job, record: Released) -> None:
        lease = next((x for x in job.leases if x.leased.attempt == record.attempt), None)
        if lease is None:
            raise LedgerRuleError(f"job {record.job}: attempt {record.attempt} was never leased")
        if lease.released is None or (lease.released.ran and not record.ran):
            lease.released = record

    def _over(self, job: Job, record: Ended) -> None:
        before = job.ended
        again = before is not None and (before.verdict, before.result) == (record.verdict, record.result)
        if before is not None and (before.told or (before.verdict == "succeeded" and not again)):
            raise LedgerRuleError(f"job {record.job} ends twice, and its first end was told")
        job.ended = record
        if not self.keeps(job):
            self._forget(record.job)
            return
        self._kept_bytes += _size(job) - (_size(job, before) if before is not None else 0)
        self._ended[record.job] = record.at
        # What is kept of it is the answer; nobody sends it again.
        job.accepted = _without_body(job.accepted)

    # -- retention

    def keeps(self, job: Job) -> bool:
        """Whether its end has to be known to a resubmission: it has a result, or it has failed and must not
        run twice. A client that was told of a failure hears of it again, whether the job began or not; a
        turn-down leaves the name free."""
        if job.ended is None or job.ended.verdict == "succeeded":
            return True
        return job.accepted.cls in self.single and job.ended.verdict == "aborted"

    def _forget(self, number: int) -> None:
        job = self.jobs.pop(number)
        if self._names.get(job.name) == number:
            del self._names[job.name]
        if self._wires.get(job.accepted.wire_id) == number:
            del self._wires[job.accepted.wire_id]

    def expire(self, now: float) -> int:
        """Forget answers that need not be kept any longer; returns how many."""
        gone = 0
        while self._ended:
            number, at = next(iter(self._ended.items()))
            over = len(self._ended) > self.most or self._kept_bytes > self.most_bytes
            if not over and at + self.keep > now:
                break
            del self._ended[number]
            self._kept_bytes -= _size(self.jobs[number])
            self._forget(number)
            gone += 1
        return gone

    def since_boot_at(self, at: float) -> float:
        """The machine's steady clock at a time of the records, by the last owner's; 0 where that is not
        known."""
        opened = self._opened
        return opened.since_boot + at - opened.at if opened is not None and opened.boot else 0.0

    def time_at(self, boot: str, since_boot: float) -> float:
        """The records' time when the machine's steady clock stands so; at least that of the last record,
        which it is where the machine has booted since."""
        opened = self._opened
        if opened is None or not opened.boot or opened.boot != boot:
            return self.last_at
        return max(self.last_at, opened.at + since_boot - opened.since_boot)

    @property
    def open_jobs(self) -> int:
        return len(self.jobs) - len(self._ended)

    def snapshot(self) -> Iterator[AnyRecord]:
        """Records that say all that is known now."""
        boot = self._opened.boot if self._opened is not None else ""
        steady = self.since_boot_at(self.last_at)
        yield Opened(self.last_at, self.term, self.owner, tuple(sorted(self.single)), boot, steady)
        for job in self.jobs.values():
            yield job.accepted
            for lease in job.leases:
                yield lease.leased
                if lease.released is not None:
                    yield lease.released
            if job.ended is not None:
                yield job.ended

    # -- recovery

    def plan(self, now: float) -> list[tuple[Step, Job]]:
        """What is to be done with each open job, oldest first."""
        steps = []
        for job in self.jobs.values():
            if job.ended is not None:
                continue
            if job.out:
                step = Step.WAIT
            elif now >= job.accepted.deadline or (job.accepted.cls in self.single and job.may_have_run):
                step = Step.LATE
            else:
                step = Step.PLACE
            steps.append((step, job))
        return steps


def _size(job: Job, ended: Ended | None = None) -> int:
    ended = ended or job.ended
    return 300 + len(job.accepted.unique) + (len(ended.result) if ended is not None else 0)


def fingerprint(target: bytes, body: bytes) -> bytes:
    """What a resubmission by the same name must share with the first."""
    return b"#" + hashlib.blake2b(target + b"\0" + body, digest_size=16).digest()


def asks_same(accepted: Accepted, target: bytes, body: bytes) -> bool:
    if accepted.ended_print:
        return accepted.ended_print == fingerprint(target, body)
    return accepted.body == body and accepted.target == target


def _without_body(accepted: Accepted) -> Accepted:
    """The body goes, its fingerprint stays."""
    if accepted.ended_print:
        return accepted
    print_ = fingerprint(accepted.target, accepted.body)
    return msgspec.structs.replace(accepted, target=b"", body=b"", ended_print=print_)
