"""Transfer of requests, with their running attempts, from an old process to the new one during an upgrade."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from eiderpin import interface as api
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Request, ResponseSink
from eiderpin.core.slot_table import TableFull


@dataclass(slots=True)
class TransferredRequest:
    """A request in transfer.

    Times are in ms from now, or ago, because the clocks of the two processes may differ.
    """

    cls: str
    unique: str
    target: str
    body: str
    left: float  # ms until its deadline
    slots: float
    memory: float
    tenant: str | None
    key: str | None
    hint: float | None
    client_retry: bool
    priority: int
    wire_id: str
    share: float
    attempts: list[list[Any]]  # worker, ms since it was made, timeout, may have run, has ended
    standing: dict[str, Any]  # what the decision module knows of it: an `api.Standing`
    idempotency_key: str | None = None


@dataclass(slots=True)
class WaitingClient:
    """A client that waits for a durable job, in transfer to the next owner of the ledger."""

    cls: str
    unique: str
    target: str
    body: str
    left: float  # ms until its answer is due
    idempotency_key: str | None = None


def transfer_durable_request(core: Dispatcher, request: Request) -> list[tuple[WaitingClient, ResponseSink]]:
    """Drop a durable request here, since the ledger holds all that its next owner needs.

    Returns the clients that wait for it.
    """
    now = core.clock.now()
    client = WaitingClient(
        request.cls, request.unique, request.target.decode("latin-1"), request.body.decode("latin-1"),
        request.deadline - now, request.idempotency_key,
    )  # fmt: skip
    waiters = list(request.waiters)
    core.hand_off(request)
    core.add_event(api.RequestGone(request.id))
    return [(client, waiter) for waiter in waiters]


def rebuild_request(core: Dispatcher, client: WaitingClient) -> Request:
    """Return the request by which a waiting client resubmits its job to the ledger's next owner.

    Raises `ValueError` if its class is unknown here or the job has no name.
    """
    if client.cls not in core.classes or not client.unique:
        raise ValueError("the job's class is unknown or it has no name")
    return Request(
        client.cls, client.unique, client.target.encode("latin-1"), client.body.encode("latin-1"),
        core.clock.now() + float(client.left), idempotency_key=client.idempotency_key,
    )  # fmt: skip


def transfer_request(core: Dispatcher, request: Request) -> TransferredRequest | None:
    """Take a request of a client that can't resubmit it out of this process and its decision module.

    Nothing is cancelled. Returns None if the request has to stay: one that has ended, a background job, one
    whose client can resubmit it, a durable job, or one that its links or the decision module cannot transfer.
    """
    core.decide()  # events that are queued for the request must not be lost
    if request.ended or request.background or not request.single_use_id or request.job:
        return None  # a durable job is transferred with the ledger
    moved = _describe(core, request)
    if moved is not None:
        core.hand_off(request)
    return moved


def take_out_resubmittable(core: Dispatcher, request: Request) -> TransferredRequest | None:
    """Take a request whose job its client can resubmit, and which may have run, out of the decision module.

    Returns None if it has to stay, as with `transfer_request`, or since it has not been sent yet.
    """
    core.decide()
    if request.ended or request.waits_for_peer or not request.is_resubmittable or request.job:
        return None
    if not any(attempt.may_have_run and not attempt.ended for attempt in request.attempts):
        return None
    return _describe(core, request)


def _describe(core: Dispatcher, request: Request) -> TransferredRequest | None:
    """Return the state of a request that the decision module gives up, or None if it has to stay."""
    running = [attempt for attempt in request.attempts if not attempt.ended]
    if not all(attempt.endpoint.link.may_transfer(attempt) for attempt in running):
        return None
    standing = core.module.transfer_request(request.id, core.clock.now())
    if standing is None:
        return None
    now = core.clock.now()
    return TransferredRequest(
        request.cls, request.unique, request.target.decode("latin-1"), request.body.decode("latin-1"),
        request.deadline - now, request.slots, request.memory, request.tenant, request.key, request.hint,
        request.client_retry, request.priority, request.wire_id, request.share,
        [
            [
                attempt.endpoint.name, now - attempt.made_at, attempt.timeout, attempt.may_have_run,
                attempt.ended,
            ]
            for attempt in request.attempts
        ],
        asdict(standing), request.idempotency_key,
    )  # fmt: skip


def adopt(core: Dispatcher, moved: TransferredRequest, waiter: ResponseSink) -> Request:
    """Accept a request in the state that another process had it in; `waiter` is given its answer.

    Raises `ValueError` if this process cannot continue it.
    """
    standing = _check(core, moved)
    request = Request(moved.cls, moved.unique, b"", b"", 0.0, single_use_id=True)
    _resume(core, request, moved, standing, waiter)
    return request


def adopt_resubmittable(
    core: Dispatcher, moved: TransferredRequest, placeholder: Callable[[], Request | None], background: bool
) -> Request:
    """Accept a request whose job its client can resubmit.

    `placeholder` returns the request that has waited here for this one and now becomes it, if there is one;
    it is called only once nothing else keeps this process from continuing the request. Raises `ValueError` if
    something does.
    """
    standing = _check(core, moved)
    if core.request_of(moved.wire_id) is not None:
        raise ValueError("the request's id at workers is in use in this process")
    request = placeholder() or Request(moved.cls, moved.unique, b"", b"", 0.0)
    _resume(core, request, moved, standing, None)
    request.background = request.background or background
    return request


def _check(core: Dispatcher, moved: TransferredRequest) -> api.Standing:
    """Return the state of a request for the decision module. Raises `ValueError` if it can't go on here."""
    if moved.cls not in core.classes or any(attempt[0] not in core.endpoints for attempt in moved.attempts):
        raise ValueError("the request's class or one of its workers is unknown in this process")
    standing = api.Standing(**moved.standing)
    if not all(0 <= number < len(moved.attempts) for number, _, _ in standing.out):
        raise ValueError("the request's state names an attempt that does not exist")
    return standing


def _resume(
    core: Dispatcher, request: Request, moved: TransferredRequest, standing: api.Standing,
    waiter: ResponseSink | None,
) -> None:  # fmt: skip
    """Continue `request` here in the state of the one that was moved. Raises `ValueError`."""
    now = core.clock.now()
    request.target, request.body = moved.target.encode("latin-1"), moved.body.encode("latin-1")
    request.deadline, request.share, request.wire_id = now + moved.left, moved.share, moved.wire_id
    request.slots, request.memory, request.hint = moved.slots, moved.memory, moved.hint
    request.tenant, request.key = moved.tenant, moved.key
    request.client_retry, request.priority = moved.client_retry, moved.priority
    request.idempotency_key = moved.idempotency_key
    request.attempts = [
        Attempt(request, number, core.endpoints[name], now - age, timeout, True, may_have_run, ended)
        for number, (name, age, timeout, may_have_run, ended) in enumerate(moved.attempts)
    ]
    try:
        core.take_over(request, waiter)
    except TableFull:
        raise ValueError("there is no room") from None
    core.add_event(api.Adopted(core.decision_request(request), standing))
