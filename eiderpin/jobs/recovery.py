"""Recovery at a start: the ledger's open jobs become requests again, and the decisions adopt them."""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Endpoint, Request, Verdict, WorkerLink
from eiderpin.core.slot_table import TableFull
from eiderpin.jobs.keeper import JobManager
from eiderpin.jobs.ledger import Job, Lease, RecoveryStep
from eiderpin.jobs.records import Ended, Released


def recover(job_manager: JobManager, core: Dispatcher, workers: WorkerLink) -> dict[RecoveryStep, int]:
    """Recover all open jobs; return how many took each step.

    To be called once, when the workers are known as far as they will be. `workers` is the link to the workers
    that are reached by HTTP.
    """
    now = job_manager.now()
    for job in list(job_manager.ledger.jobs.values()):
        for lease in job.active_leases:
            if lease.leased.link != "http" and job.ended is None:
                # Its result would have come on a connection that closed with the process that held the lease.
                job_manager.write_or_apply(
                    Released(now, job.accepted.job, lease.leased.attempt, True, "its connection is gone"),
                    job.accepted.job,
                )
    counts = dict.fromkeys(RecoveryStep, 0)
    for step, job in job_manager.ledger.plan_recovery(now):
        try:
            if step is RecoveryStep.LATE or job.accepted.cls not in core.classes:
                raise TableFull
            _restore_request(job_manager, core, workers, job)
        except TableFull:
            step = RecoveryStep.LATE
            ended = Ended(now, job.accepted.job, Verdict.FAILED.value, told=False)
            job_manager.write_or_apply(ended, job.accepted.job)
        counts[step] += 1
        core.counters.add(f"ledger.recovered.{step.value}")
    job_manager.recovered = True
    return counts


def _restore_request(job_manager: JobManager, core: Dispatcher, workers: WorkerLink, job: Job) -> None:
    """Rebuild a job's request with its attempts, and have the decisions adopt it. Raises `TableFull`."""
    accepted, now = job.accepted, core.clock.now()
    # The worker of a leased job retries its report for a while, so the job waits for it past its deadline.
    earliest_deadline = now + job_manager.options.silence_ms if job.active_leases else now
    request = Request(
        accepted.cls, accepted.unique, accepted.target, accepted.body,
        max(accepted.deadline - job_manager.clock_offset_ms, earliest_deadline), accepted.slots,
        accepted.memory, accepted.tenant, accepted.key, accepted.hint, priority=accepted.priority,
        background=True, job=accepted.job, wire_id=accepted.wire_id,
        idempotency_key=accepted.idempotency_key,
    )  # fmt: skip
    for lease in job.leases:
        endpoint = _endpoint_of_lease(core, workers, lease)
        while len(request.attempts) < lease.leased.attempt:  # attempts that were made and never leased
            request.attempts.append(Attempt(request, len(request.attempts), endpoint, now, 0.0, ended=True))
        request.attempts.append(
            Attempt(
                request,
                lease.leased.attempt,
                endpoint,
                now,
                request.deadline - now,
                lease.is_active,
                lease.may_have_run,
                not lease.is_active,
                True,
            )
        )
    try:
        core.take_over(request, None)
    except ValueError:
        raise TableFull from None
    decision_request = core.decision_request(request)
    running = [attempt for attempt in request.attempts if not attempt.ended]
    request_class = core.classes[request.cls]
    # An accepted job is worth running until its deadline: the time that the dispatcher was down must not
    # make it look hopeless.
    standing = api.Standing(
        request.deadline - now, request.hint or request_class.aim, len(request.attempts),
        [(attempt.number, 0.0, -1.0) for attempt in running], [attempt.endpoint.name for attempt in running],
        [],
    )  # fmt: skip
    core.add_event(api.Adopted(decision_request, standing))
    for attempt in running:
        job_manager.start_lease_timer(attempt)


def _endpoint_of_lease(core: Dispatcher, workers: WorkerLink, lease: Lease) -> Endpoint:
    """Return the endpoint of the worker that holds the lease.

    A worker that is not listed (any more) is added as draining: it gets no new jobs, but may still report.
    """
    leased = lease.leased
    known = core.endpoints.get(leased.worker)
    if known is not None and known.link is workers:
        return known
    host, _, port = leased.address.rpartition(":")
    draining = api.WorkerEntry(leased.worker, "", "", -1, api.WorkerState.DRAINING)
    address = (host, int(port)) if port.isdigit() else ("", 0)
    if not lease.is_active:
        # Its name may be another worker's by now: each process numbers its Gearman workers anew.
        return Endpoint(draining, address, workers, core.clock.now())
    if known is not None:
        return known  # listed by another source under the same name
    core.apply_worker_list(workers, api.ListKind.CHANGES, [(draining, address)])
    return core.endpoints[leased.worker]
