"""`eiderpin jobs`: commands that read a ledger of durable jobs, whether or not its dispatcher is running.
They never write to it."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter

import click

from eiderpin.durable import reading
from eiderpin.durable.files import Files
from eiderpin.durable.frames import FormatError, Record
from eiderpin.jobs import records
from eiderpin.jobs.ledger import Job, Ledger, LedgerRuleError

# A running dispatcher may replace its files by a checkpoint while they are read; reading then starts again.
MAX_READ_ATTEMPTS = 5


class LedgerReport:
    """What could be read of a ledger's directory.

    Attributes:
        ledger: The jobs, as of the last record that could be read.
        scan_result: What was found in the files; empty values if not all of them could be read.
        read_error: Why not all of it could be read; empty if all of it was.
        record_counts: How many records were read, by kind.
    """

    def __init__(self, directory: str) -> None:
        """Read all records of the directory, as far as possible; raises nothing for what cannot be read."""
        self.ledger = Ledger()
        self.scan_result = reading.LogSummary()
        self.read_error = ""
        self.record_counts: Counter[str] = Counter()
        for attempts_left in reversed(range(MAX_READ_ATTEMPTS)):
            self.ledger, self.record_counts = Ledger(), Counter()
            try:
                self.scan_result = reading.read(Files(directory), self.apply)
            except FileNotFoundError as error:
                if attempts_left:
                    time.sleep(0.05)
                    continue
                self.read_error = f"{error.filename or error}: no such file or directory"
            except (reading.LogDamagedError, FormatError, LedgerRuleError, OSError) as error:
                self.read_error = str(error)
            return

    def apply(self, record: Record) -> None:
        """Count a record and apply it to the ledger. Raises `FormatError` and `LedgerRuleError`."""
        unpacked = records.unpack(record)
        self.record_counts[type(unpacked).__name__] += 1
        self.ledger.apply(unpacked)


def read_ledger(directory: str) -> LedgerReport:
    """Read a ledger. If an error keeps even the first record from being read, print it and end the command
    with exit code 2."""
    report = LedgerReport(directory)
    if report.read_error and not report.record_counts:
        click.echo(f"eiderpin: {directory}: {report.read_error}", err=True)
        sys.exit(2)
    return report


def exit_if_incomplete(report: LedgerReport) -> None:
    """If not all of a ledger could be read, print the reason and end the command with exit code 1."""
    if report.read_error:
        click.echo(f"eiderpin: the ledger was read only in part: {report.read_error}", err=True)
        sys.exit(1)


def format_time(unix_ms: float) -> str:
    """Return a time in ISO 8601, in UTC with milliseconds."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(unix_ms / 1000)) + f".{int(unix_ms) % 1000:03d}Z"


def describe_job(job: Job) -> dict[str, object]:
    """Return what is shown of a job in JSON."""
    accepted = job.accepted
    return {
        "job": accepted.job, "class": accepted.cls, "name": accepted.unique, "id": accepted.wire_id,
        "state": job.state(), "accepted": format_time(accepted.at),
        "deadline": format_time(accepted.deadline),
        "workers": [lease.leased.worker for lease in job.leases], "may_have_run": job.may_have_run,
    }  # fmt: skip


@click.group()
def jobs() -> None:
    """Durable jobs, read from their dispatcher's ledger."""


@jobs.command("list")
@click.argument("directory", type=click.Path())
@click.option("--state", help="Only jobs in this state: waiting, leased, succeeded, aborted.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def list_jobs(directory: str, state: str | None, as_json: bool) -> None:
    """List the jobs, one per line, oldest first."""
    report = read_ledger(directory)
    for job in report.ledger.jobs.values():
        if state is not None and job.state() != state:
            continue
        if as_json:
            click.echo(json.dumps(describe_job(job)))
        else:
            accepted = job.accepted
            workers = ",".join(lease.leased.worker for lease in job.leases) or "-"
            names = f"{accepted.cls} {accepted.unique or '-'} {accepted.wire_id}"
            click.echo(f"{accepted.job:>8} {job.state():<9} {names} at {workers} {format_time(accepted.at)}")
    exit_if_incomplete(report)


@jobs.command()
@click.argument("directory", type=click.Path())
@click.argument("job")
def show(directory: str, job: str) -> None:
    """Show all that is recorded of a job. JOB is its number, its name or the id that workers know it by."""
    report = read_ledger(directory)
    matching_jobs = [
        candidate for candidate in report.ledger.jobs.values()
        if job in (str(candidate.accepted.job), candidate.accepted.unique, candidate.accepted.wire_id)
    ]  # fmt: skip
    if not matching_jobs:
        reason = "it was never accepted, was rejected or is no longer kept"
        click.echo(f"eiderpin: no job {job!r} in {directory}: {reason}", err=True)
        sys.exit(1)
    for matching_job in matching_jobs:
        click.echo(json.dumps(describe_job(matching_job), indent=2))
        for lease in matching_job.leases:
            leased, released = lease.leased, lease.released
            worker = f"{leased.worker} {leased.address} in term {leased.term}"
            click.echo(f"  {format_time(leased.at)} attempt {leased.attempt} leased to {worker}")
            if released is not None:
                ran = "it may have run" if released.ran else "it did not run"
                click.echo(
                    f"  {format_time(released.at)} attempt {leased.attempt} released: {released.why}, {ran}"
                )
        if matching_job.ended is not None:
            told = "told" if matching_job.ended.told else "nobody has been told"
            click.echo(
                f"  {format_time(matching_job.ended.at)} {matching_job.ended.verdict}, "
                f"{len(matching_job.ended.result)} bytes, {told}"
            )
    exit_if_incomplete(report)


@jobs.command()
@click.argument("directory", type=click.Path())
def check(directory: str) -> None:
    """Read the whole ledger and check that it is intact. Exit code 1 if part of it is not, 2 if nothing can
    be read."""
    report = read_ledger(directory)
    states = Counter(job.state() for job in report.ledger.jobs.values())
    scan_result = report.scan_result
    click.echo(f"{directory}: {sum(report.record_counts.values())} records: "
               + ", ".join(f"{n} {kind}" for kind, n in sorted(report.record_counts.items())))  # fmt: skip
    click.echo(
        f"  jobs: {', '.join(f'{count} {state}' for state, count in sorted(states.items())) or 'none'}"
    )
    click.echo(f"  owner: {report.ledger.owner or '-'}, term {report.ledger.term}")
    if scan_result.torn:
        click.echo(f"  {scan_result.torn} bytes at the end were never acknowledged: nobody was told of them")
    exit_if_incomplete(report)
    click.echo("  good")
