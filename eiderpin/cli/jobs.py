"""`eiderpin jobs`: reads a ledger of durable jobs, of a live or a dead dispatcher. It never writes."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter

import click

from eiderpin.durable import reading
from eiderpin.durable.files import Files
from eiderpin.durable.frames import BadFormat, Record
from eiderpin.jobs import records
from eiderpin.jobs.ledger import BrokenRule, Job, Ledger

TRIES = 5  # a live owner may replace its files by a checkpoint while we read


class LedgerReport:
    """What a directory says, and what cannot be vouched for."""

    def __init__(self, folder: str) -> None:
        self.ledger = Ledger()
        self.found = reading.Found()
        self.read_error = ""
        self.counts: Counter[str] = Counter()
        for left in reversed(range(TRIES)):
            self.ledger, self.counts = Ledger(), Counter()
            try:
                self.found = reading.read(Files(folder), self.take)
            except FileNotFoundError as error:
                if left:
                    time.sleep(0.05)
                    continue
                self.read_error = f"{error.filename or error}: it is not there"
            except (reading.Damaged, BadFormat, BrokenRule, OSError) as error:
                self.read_error = str(error)
            return

    def take(self, record: Record) -> None:
        said = records.unpack(record)
        self.counts[type(said).__name__] += 1
        self.ledger.apply(said)


def account(folder: str) -> LedgerReport:
    """Ends the command where nothing at all can be read."""
    said = LedgerReport(folder)
    if said.read_error and not said.counts:
        click.echo(f"eiderpin: {folder}: {said.read_error}", err=True)
        sys.exit(2)
    return said


def warn(said: LedgerReport) -> None:
    if said.read_error:
        click.echo(f"eiderpin: not vouched for: {said.read_error}", err=True)
        sys.exit(1)


def when(at: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at / 1000)) + f".{int(at) % 1000:03d}Z"


def row(job: Job) -> dict[str, object]:
    a = job.accepted
    return {
        "job": a.job, "class": a.cls, "name": a.unique, "id": a.wire_id, "state": job.state(),
        "accepted": when(a.at), "deadline": when(a.deadline),
        "workers": [x.leased.worker for x in job.leases], "may_have_run": job.may_have_run,
    }  # fmt: skip


@click.group()
def jobs() -> None:
    """Durable jobs, as their ledger tells of them."""


@jobs.command("list")
@click.argument("directory", type=click.Path())
@click.option("--state", help="Only these: waiting, leased, succeeded, aborted.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def list_jobs(directory: str, state: str | None, as_json: bool) -> None:
    """One line a job, oldest first."""
    said = account(directory)
    for job in said.ledger.jobs.values():
        if state is not None and job.state() != state:
            continue
        if as_json:
            click.echo(json.dumps(row(job)))
        else:
            a = job.accepted
            at = ",".join(x.leased.worker for x in job.leases) or "-"
            names = f"{a.cls} {a.unique or '-'} {a.wire_id}"
            click.echo(f"{a.job:>8} {job.state():<9} {names} at {at} {when(a.at)}")
    warn(said)


@jobs.command()
@click.argument("directory", type=click.Path())
@click.argument("job")
def show(directory: str, job: str) -> None:
    """All that is known of one job: JOB is its number, its name or its id at workers."""
    said = account(directory)
    found = [
        j for j in said.ledger.jobs.values()
        if job in (str(j.accepted.job), j.accepted.unique, j.accepted.wire_id)
    ]  # fmt: skip
    if not found:
        text = "never taken on, turned down, or kept no longer"
        click.echo(f"eiderpin: no job {job!r} in {directory}: {text}", err=True)
        sys.exit(1)
    for one in found:
        click.echo(json.dumps(row(one), indent=2))
        for lease in one.leases:
            x, over = lease.leased, lease.released
            to = f"{x.worker} {x.address} in term {x.term}"
            click.echo(f"  {when(x.at)} attempt {x.attempt} leased to {to}")
            if over is not None:
                ran = "it may have run" if over.ran else "it did not run"
                click.echo(f"  {when(over.at)} attempt {x.attempt} released: {over.why}, {ran}")
        if one.ended is not None:
            told = "told" if one.ended.told else "nobody has been told"
            click.echo(f"  {when(one.ended.at)} {one.ended.verdict}, {len(one.ended.result)} bytes, {told}")
    warn(said)


@jobs.command()
@click.argument("directory", type=click.Path())
def check(directory: str) -> None:
    """Read the whole ledger and say whether it can be vouched for. Exit code 1 where it cannot."""
    said = account(directory)
    states = Counter(job.state() for job in said.ledger.jobs.values())
    found = said.found
    click.echo(f"{directory}: {sum(said.counts.values())} records: "
               + ", ".join(f"{n} {name}" for name, n in sorted(said.counts.items())))  # fmt: skip
    click.echo(f"  jobs: {', '.join(f'{n} {s}' for s, n in sorted(states.items())) or 'none'}")
    click.echo(f"  owner: {said.ledger.owner or '-'}, term {said.ledger.term}")
    if found.torn:
        click.echo(f"  {found.torn} bytes at the end were never acknowledged: nobody was told of them")
    warn(said)
    click.echo("  good")
