"""After a start: the ledger's open jobs become requests again, and the decisions learn what they hold."""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Endpoint, Request, Verdict, WorkerLink
from eiderpin.core.slot_table import TableFull
from eiderpin.jobs.keeper import JobManager
from eiderpin.jobs.ledger import Job, Lease, Step
from eiderpin.jobs.records import Ended, Released


def recover(keeper: JobManager, core: Dispatcher, workers: WorkerLink) -> dict[Step, int]:
    """To be called once, when the workers are known as far as they will be; `workers` is the link of those
    that are reached by HTTP. Returns how many jobs took each way."""
    now = keeper.now()
    for job in list(keeper.ledger.jobs.values()):
        for lease in job.out:
            if lease.leased.link != "http" and job.ended is None:
                # Its end would have come on a connection that ended with the process that held the lease.
                keeper.write_or_remember(
                    Released(now, job.accepted.job, lease.leased.attempt, True, "its connection is gone"),
                    job.accepted.job,
                )
    done = dict.fromkeys(Step, 0)
    for step, job in keeper.ledger.plan(now):
        try:
            if step is Step.LATE or job.accepted.cls not in core.classes:
                raise TableFull
            _bring_back(keeper, core, workers, job)
        except TableFull:
            step = Step.LATE
            ended = Ended(now, job.accepted.job, Verdict.FAILED.value, told=False)
            keeper.write_or_remember(ended, job.accepted.job)
        done[step] += 1
        core.counters.add(f"ledger.recovered.{step.value}")
    keeper.recovered = True
    return done


def _bring_back(keeper: JobManager, core: Dispatcher, workers: WorkerLink, job: Job) -> None:
    a, now = job.accepted, core.clock.now()
    # A leased one whose deadline has passed may still be told of: its worker goes on trying for a while.
    soonest = now + keeper.options.silence_ms if job.out else now
    request = Request(
        a.cls, a.unique, a.target, a.body, max(a.deadline - keeper.ahead, soonest), a.slots, a.memory,
        a.tenant, a.key, a.hint, priority=a.priority, background=True, job=a.job, wire_id=a.wire_id,
        idempotency_key=a.idempotency_key,
    )  # fmt: skip
    for lease in job.leases:
        endpoint = _entry_of(core, workers, lease)
        while len(request.attempts) < lease.leased.attempt:  # made, and never leased
            request.attempts.append(Attempt(request, len(request.attempts), endpoint, now, 0.0, ended=True))
        request.attempts.append(
            Attempt(
                request,
                lease.leased.attempt,
                endpoint,
                now,
                request.deadline - now,
                lease.out,
                lease.may_have_run,
                not lease.out,
                True,
            )
        )
    try:
        core.take_over(request, None)
    except ValueError:
        raise TableFull from None
    asked = core.decision_request(request)
    out = [s for s in request.attempts if not s.ended]
    spec = core.classes[request.cls]
    # Taken on, it is wanted until its deadline: the time that we were down must not make it hopeless.
    standing = api.Standing(
        request.deadline - now, request.hint or spec.aim, len(request.attempts),
        [(s.number, 0.0, -1.0) for s in out], [s.endpoint.name for s in out], [],
    )  # fmt: skip
    core.add_event(api.Adopted(asked, standing))
    for attempt in out:
        keeper.watch(attempt)


def _entry_of(core: Dispatcher, workers: WorkerLink, lease: Lease) -> Endpoint:
    """The worker that holds the lease. One that is not listed (any more) gets nothing new, but may call
    back."""
    leased = lease.leased
    known = core.endpoints.get(leased.worker)
    if known is not None and known.link is workers:
        return known
    host, _, port = leased.address.rpartition(":")
    away = api.WorkerEntry(leased.worker, "", "", -1, api.WorkerState.DRAINING)
    address = (host, int(port)) if port.isdigit() else ("", 0)
    if not lease.out:
        # Its name may be another's by now: Gearman workers are numbered anew by each process.
        return Endpoint(away, address, workers, core.clock.now())
    if known is not None:
        return known  # listed by another source under the same name
    core.apply_worker_list(workers, api.ListKind.CHANGES, [(away, address)])
    return core.endpoints[leased.worker]
