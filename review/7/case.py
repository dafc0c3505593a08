"""A Gearman client loses its connection in the middle of a result-post and submits the same job again."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.standins import (  # noqa: E402
    WORK_COMPLETE,
    Broken,
    Clients,
    Discovery,
    Dispatcher,
    GearmanClient,
    Record,
    Worker,
    free_port,
    main,
)

RESULT_BYTES = 60_000  # of a result-post's result; the body of a call-back is 64 KiB at most
UNIQUE = "finish-fortaleza-17"
AGAIN_AFTER_S = 20.0  # from the loss to the same job again; within the 25 s for which its client waits


async def play(record: Record, trouble: bool) -> None:
    """Serve result-posts at the site's rate; count how often the one that is submitted again has run."""
    discovery = Discovery(record)
    await discovery.start()
    workers = [Worker(record, number) for number in range(14)]
    for worker in workers:
        worker.result_of = lambda request_id: (request_id + " ").ljust(RESULT_BYTES, "r")
        await worker.start()
        await discovery.list(worker)
    gearman = f"127.0.0.1:{free_port()}"
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher = Dispatcher(record, discovery, {"gearman": {"listen": gearman}}, limits=limits)
    try:
        for worker in workers:
            worker.callback_address = dispatcher.address
        await dispatcher.wait_ready()
        clients = Clients(record, dispatcher.address)
        sending = asyncio.ensure_future(clients.run(16.0, 24.0, post_share=1.0))
        await asyncio.sleep(1.0)
        body = json.dumps({"race": 17}).encode()
        client = GearmanClient(gearman)
        await client.connect()
        client.submit("result-post", UNIQUE, body)
        record.add(f"gearman client submits result-post {UNIQUE}")
        for _ in range(500):
            if runs(workers):
                break
            await asyncio.sleep(0.01)
        else:
            raise RuntimeError("the job did not begin")
        if trouble:
            client.close()
            record.add("gearman client loses its connection: the job is running")
            await asyncio.sleep(AGAIN_AFTER_S)
            client = GearmanClient(gearman)
            await client.connect()
            client.submit("result-post", UNIQUE, body)
            record.add(f"gearman client submits result-post {UNIQUE} again")
        kind, data = await asyncio.wait_for(client.wait_end(), 26.0)
        record.add(f"gearman client gets packet {kind}, {len(data)} bytes")
        await sending
        await asyncio.wait(clients.tasks, timeout=26.0)
        record.add(f"answers to clients by status: {clients.statuses}")
        ran = runs(workers)
        record.add(f"{UNIQUE} has been begun {len(ran)} times, at {ran}")
        if not trouble and kind != WORK_COMPLETE:
            raise RuntimeError(f"the job was not served: packet {kind}")
        if len(ran) > 1:
            raise Broken(f"the result-post {UNIQUE} was run {len(ran)} times, at {ran}")
    finally:
        dispatcher.end()


def runs(workers: list[Worker]) -> list[str]:
    """The workers that have begun the job, once for each time."""
    return [w.name for w in workers for request_id in w.began if request_id == UNIQUE]


main(str(Path(__file__).parent), play)
