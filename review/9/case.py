"""Discovery answers slowly: does the dispatcher still learn within 6 s that workers drain?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.standins import (  # noqa: E402
    DRAIN_GRACE_MS,
    TOLD_AT_THE_LATEST_MS,
    Broken,
    Clients,
    Discovery,
    Dispatcher,
    Record,
    Worker,
    main,
)

SLOW_S = 1.0  # the time that each answer of discovery takes while it is slow
MARGIN_MS = 250.0  # between the dispatcher's write and the stand-in's clock


async def play(record: Record, trouble: bool) -> None:
    """Twelve workers; discovery becomes slow; two workers begin to drain; count what still comes to them."""
    discovery = Discovery(record)
    await discovery.start()
    workers = [Worker(record, number) for number in range(12)]
    for worker in workers:
        await worker.start()
        await discovery.list(worker)
    dispatcher = Dispatcher(record, discovery)
    try:
        for worker in workers:
            worker.callback_address = dispatcher.address
        await dispatcher.wait_ready()
        clients = Clients(record, dispatcher.address)
        sending = asyncio.ensure_future(clients.run(16.0, 28.0))
        await asyncio.sleep(3.0)
        if trouble:
            discovery.delay_s = SLOW_S
            record.add(f"discovery is slow from now on: each answer takes {SLOW_S} s")
        await asyncio.sleep(3.0)
        drains_at = record.now()
        for worker in workers[:2]:
            worker.draining = True
            await discovery.list(worker, "Terminating")
        await sending
        await asyncio.wait(clients.tasks, timeout=26.0)
        limit = drains_at + TOLD_AT_THE_LATEST_MS + DRAIN_GRACE_MS + MARGIN_MS
        late = [(w.name, at - drains_at, i) for w in workers[:2] for at, i in w.arrivals if at > limit]
        before = sum(at <= limit for w in workers[:2] for at, _ in w.arrivals)
        record.add(f"answers to clients by status: {clients.statuses}")
        record.add(f"calls to discovery: {discovery.calls}, answered {discovery.answered}")
        record.add(f"at the draining workers: {before} attempts by the limit, {len(late)} after it")
        if clients.statuses.get(200, 0) < 100:
            raise RuntimeError(f"too little was served to judge: {clients.statuses}")
        if late:
            last = max(ms for _, ms, _ in late)
            raise Broken(f"{len(late)} attempts at draining workers, the last {last:.0f} ms after the change")
    finally:
        dispatcher.end()


main(str(Path(__file__).parent), play)
