"""Requests that go from an old process to the new one beside it, with the attempts that are out for them."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from eiderpin import interface as api
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, EdgeSide, Request
from eiderpin.core.slot_table import TableFull


@dataclass(slots=True)
class TransferredRequest:
    """A request on its way. Times are in ms from now, or ago: the processes' clocks may differ."""

    cls: str
    unique: str
    target: str
    body: str
    left: float
    slots: float
    memory: float
    tenant: str | None
    key: str | None
    hint: float | None
    client_retry: bool
    priority: int
    wire_id: str
    share: float
    attempts: list[list[Any]]  # worker, ms ago, time-out, whether it may have run, whether it has ended
    standing: dict[str, Any]  # what the decisions know of it: an `api.Standing`
    idempotency_key: str | None = None


@dataclass(slots=True)
class WaitingClient:
    """A client that waits for a durable job, on its way to the ledger's next owner."""

    cls: str
    unique: str
    target: str
    body: str
    left: float  # ms until its answer is due
    idempotency_key: str | None = None


def transfer_durable_request(core: Dispatcher, request: Request) -> list[tuple[WaitingClient, EdgeSide]]:
    """Take a durable request out of here: the ledger says all that there is to say of it. Returns those who
    wait for it."""
    now = core.clock.now()
    waits = WaitingClient(
        request.cls, request.unique, request.target.decode("latin-1"), request.body.decode("latin-1"),
        request.deadline - now, request.idempotency_key,
    )  # fmt: skip
    waiters = list(request.waiters)
    core.let_go(request)
    core.add_event(api.RequestGone(request.id))
    return [(waits, waiter) for waiter in waiters]


def rebuild_request(core: Dispatcher, waits: WaitingClient) -> Request:
    """The request by which it asks again at the next owner. Raises `ValueError`."""
    if waits.cls not in core.classes or not waits.unique:
        raise ValueError("no such job")
    return Request(
        waits.cls, waits.unique, waits.target.encode("latin-1"), waits.body.encode("latin-1"),
        core.clock.now() + float(waits.left), idempotency_key=waits.idempotency_key,
    )  # fmt: skip


def transfer_request(core: Dispatcher, request: Request) -> TransferredRequest | None:
    """Take a request out of here, and out of the decisions; None where it has to stay. Nothing is called
    off."""
    core.decide()  # what has come in for it must not be lost
    out = [s for s in request.attempts if not s.ended]
    if request.ended or request.background or not request.single_use_id or request.job:
        return None  # a durable one belongs to the ledger, and goes with that
    if not all(s.endpoint.link.may_transfer(s) for s in out):
        return None
    standing = core.module.transfer_request(request.id, core.clock.now())
    if standing is None:
        return None
    now = core.clock.now()
    moved = TransferredRequest(
        request.cls, request.unique, request.target.decode("latin-1"), request.body.decode("latin-1"),
        request.deadline - now, request.slots, request.memory, request.tenant, request.key, request.hint,
        request.client_retry, request.priority, request.wire_id, request.share,
        [[s.endpoint.name, now - s.made_at, s.timeout, s.may_have_run, s.ended] for s in request.attempts],
        asdict(standing), request.idempotency_key,
    )  # fmt: skip
    core.let_go(request)
    return moved


def adopt(core: Dispatcher, moved: TransferredRequest, waiter: EdgeSide) -> Request:
    """Take a request in as it stands elsewhere. Raises `ValueError` where it cannot be."""
    now = core.clock.now()
    if moved.cls not in core.classes or any(s[0] not in core.endpoints for s in moved.attempts):
        raise ValueError("its class or a worker of its is not known here")
    standing = api.Standing(**moved.standing)
    if not all(0 <= number < len(moved.attempts) for number, _, _ in standing.out):
        raise ValueError("an attempt that was never made")
    request = Request(
        moved.cls, moved.unique, moved.target.encode("latin-1"), moved.body.encode("latin-1"),
        now + moved.left, moved.slots, moved.memory, moved.tenant, moved.key, moved.hint,
        moved.client_retry, moved.priority, single_use_id=True, wire_id=moved.wire_id, share=moved.share,
        idempotency_key=moved.idempotency_key,
    )  # fmt: skip
    for number, (name, ago, timeout, may_have_run, ended) in enumerate(moved.attempts):
        endpoint = core.endpoints[name]
        request.attempts.append(
            Attempt(request, number, endpoint, now - ago, timeout, True, may_have_run, ended)
        )
    try:
        core.take_over(request, waiter)
    except TableFull:
        raise ValueError("there is no room") from None
    core.add_event(api.Adopted(core.decision_request(request), standing))
    return request
