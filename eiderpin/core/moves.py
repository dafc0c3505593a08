"""Flows that go from an old process to the new one beside it, with the attempts that are out for them."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from eiderpin import interface as api
from eiderpin.core.attempts import Attempt
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.flows import EdgeSide, Flow, TableFull


@dataclass(slots=True)
class Moved:
    """A flow on its way. Times are in ms from now, or ago: the processes' clocks may differ."""

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
class Waits:
    """A client that waits for a durable job, on its way to the ledger's next owner."""

    cls: str
    unique: str
    target: str
    body: str
    left: float  # ms until its answer is due
    idempotency_key: str | None = None


def let_durable_go(core: Dispatcher, flow: Flow) -> list[tuple[Waits, EdgeSide]]:
    """Take a durable flow out of here: the ledger says all that there is to say of it. Returns those who wait
    for it."""
    now = core.clock.now()
    waits = Waits(
        flow.cls, flow.unique, flow.target.decode("latin-1"), flow.body.decode("latin-1"),
        flow.deadline - now, flow.idempotency_key,
    )  # fmt: skip
    waiters = list(flow.waiters)
    core.let_go(flow)
    core.tell(api.RequestGone(flow.id))
    return [(waits, waiter) for waiter in waiters]


def asked_by(core: Dispatcher, waits: Waits) -> Flow:
    """The flow by which it asks again at the next owner. Raises `ValueError`."""
    if waits.cls not in core.classes or not waits.unique:
        raise ValueError("no such job")
    return Flow(
        waits.cls, waits.unique, waits.target.encode("latin-1"), waits.body.encode("latin-1"),
        core.clock.now() + float(waits.left), idempotency_key=waits.idempotency_key,
    )  # fmt: skip


def hand_out(core: Dispatcher, flow: Flow) -> Moved | None:
    """Take a flow out of here, and out of the decisions; None where it has to stay. Nothing is called off."""
    core.decide()  # what has come in for it must not be lost
    out = [s for s in flow.attempts if not s.ended]
    if flow.ended or flow.background or not flow.once or flow.job:
        return None  # a durable one belongs to the ledger, and goes with that
    if not all(s.entry.link.may_move(s) for s in out):
        return None
    standing = core.module.hand_out(flow.id, core.clock.now())
    if standing is None:
        return None
    now = core.clock.now()
    moved = Moved(
        flow.cls, flow.unique, flow.target.decode("latin-1"), flow.body.decode("latin-1"),
        flow.deadline - now, flow.slots, flow.memory, flow.tenant, flow.key, flow.hint,
        flow.client_retry, flow.priority, flow.wire_id, flow.share,
        [[s.entry.name, now - s.made_at, s.timeout, s.may_have_run, s.ended] for s in flow.attempts],
        asdict(standing), flow.idempotency_key,
    )  # fmt: skip
    core.let_go(flow)
    return moved


def adopt(core: Dispatcher, moved: Moved, waiter: EdgeSide) -> Flow:
    """Take a flow in as it stands elsewhere. Raises `ValueError` where it cannot be."""
    now = core.clock.now()
    if moved.cls not in core.classes or any(s[0] not in core.entries for s in moved.attempts):
        raise ValueError("its class or a worker of its is not known here")
    standing = api.Standing(**moved.standing)
    if not all(0 <= number < len(moved.attempts) for number, _, _ in standing.out):
        raise ValueError("an attempt that was never made")
    flow = Flow(
        moved.cls, moved.unique, moved.target.encode("latin-1"), moved.body.encode("latin-1"),
        now + moved.left, moved.slots, moved.memory, moved.tenant, moved.key, moved.hint,
        moved.client_retry, moved.priority, once=True, wire_id=moved.wire_id, share=moved.share,
        idempotency_key=moved.idempotency_key,
    )  # fmt: skip
    for number, (name, ago, timeout, may_have_run, ended) in enumerate(moved.attempts):
        entry = core.entries[name]
        flow.attempts.append(Attempt(flow, number, entry, now - ago, timeout, True, may_have_run, ended))
    try:
        core.take_over(flow, waiter)
    except TableFull:
        raise ValueError("there is no room") from None
    core.tell(api.Adopted(core.request_of(flow), standing))
    return flow
