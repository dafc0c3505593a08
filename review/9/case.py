"""A dispatcher starts while discovery is down: does it tell a balancer's agent-check that it is ready?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.standins import (  # noqa: E402
    Broken,
    Clients,
    Discovery,
    Dispatcher,
    Record,
    Worker,
    free_port,
    main,
)

DOWN_S = 20.0  # for which discovery is silent, from the start of the dispatcher on
STALE_MS = 6000.0  # the list is not confirmed for longer: all that changed may be unknown


async def ask(address: str) -> str:
    """The line that agent-check answers; empty if there is none."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (TimeoutError, OSError):
        return ""
    return line.decode().strip()


async def play(record: Record, trouble: bool) -> None:
    """Poll agent-check through an outage; jobs are sent where it says that they may be."""
    discovery = Discovery(record)
    await discovery.start()
    old = [Worker(record, number) for number in range(6)]
    new = [Worker(record, number) for number in range(6, 12)]
    for worker in old + new:
        await worker.start()
    for worker in old:
        await discovery.list(worker)
    known = {"generation": discovery.generation, "reset": True, "instances": list(discovery.entries.values())}
    for worker in old[:5]:
        await discovery.list(worker, "Gone")
        await worker.stop()
    for worker in new:
        await discovery.list(worker)
    discovery.silent = trouble
    agent = f"127.0.0.1:{free_port()}"
    dispatcher = Dispatcher(record, discovery, {"agent_check": {"listen": agent}}, known=known)
    try:
        for worker in old + new:
            worker.callback_address = dispatcher.address
        began, clients, answers = record.now(), Clients(record, dispatcher.address), []
        while (age := record.now() - began) < DOWN_S * 1000.0:
            answer = await ask(agent)
            answers.append((age, answer))
            record.add(f"agent-check answers {answer!r}")
            if answer.startswith("up") and age > STALE_MS and age < DOWN_S * 1000.0 - 9000.0:
                task = asyncio.ensure_future(clients.send("time-lookup"))
                clients.tasks.add(task)
            await asyncio.sleep(0.2)
        await asyncio.wait(clients.tasks or {asyncio.ensure_future(asyncio.sleep(0))}, timeout=9.0)
        discovery.silent = False
        for _ in range(50):
            if (answer := await ask(agent)).startswith("up"):
                break
            await asyncio.sleep(0.1)
        record.add(f"after the outage agent-check answers {answer!r}")
        record.add(f"answers to the jobs that were sent meanwhile: {clients.statuses}")
        ready = [age for age, answer in answers if answer.startswith("up") and age > STALE_MS]
        if not answer.startswith("up") or not any(answer for _, answer in answers):
            raise RuntimeError("agent-check does not answer, or not 'up' after the outage")
        if not trouble and clients.statuses.get(200, 0) == 0:
            raise RuntimeError("nothing was served without an outage")
        if ready and not clients.statuses.get(200):
            raise Broken(
                f"'up' was told {len(ready)} times with a list unconfirmed for 6 s and more; "
                f"the jobs sent meanwhile got {clients.statuses}"
            )
    finally:
        dispatcher.end()


main(str(Path(__file__).parent), play)
