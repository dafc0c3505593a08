"""Measures how long dispatchers take to rejoin after a kill: many at once, compared with a single one.

    python -m benchmarks.comeback --dispatchers N --seed S [--tree DIR]

Each dispatcher is a process with a member of the store. In turn, one is killed and started again (the
floor), then 70% of them, all but one, and all; last, as many as the store tolerates lose their disks as well.
Printed are the times in ms from the first start until the store lists the last one as live, in a new
incarnation; the last line is one JSON object. Exit code 1 where a dispatcher did not rejoin or an
acknowledged document is lost. This measures the start of dispatchers, not their service to clients.
"""

from __future__ import annotations

import base64
import json
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import click
import orjson

from benchmarks import store_rig
from benchmarks.store_rig import Cluster
from eiderpin.store.client import StoreRequestError
from eiderpin.store.names import LIVE_MEMBERS

REJOIN_LIMIT_SECONDS = 60.0


def live_incarnations(cluster: Cluster) -> dict[str, str]:
    """Return the incarnation, or else the start time, of each dispatcher that the store lists as live.

    Raises `StoreRequestError`.
    """
    rows = cluster.store_client(10.0).ask("range", 0.3, prefix=LIVE_MEMBERS, most=1000)["documents"]
    incarnations = {}
    for row in rows:
        entry = orjson.loads(base64.b64decode(row["value"]))
        incarnations[row["name"].removeprefix(LIVE_MEMBERS)] = str(entry.get("incarnation") or entry["began"])
    return incarnations


def measure_rejoin(cluster: Cluster, names: list[str], without_disks: list[str]) -> float | None:
    """Kill these dispatchers, remove the disks of some and start all again.

    Returns the ms until all are live again; None if that takes over `REJOIN_LIMIT_SECONDS`.
    """
    before = live_incarnations(cluster)
    for name in names:
        cluster.all[name].kill()
    for name in without_disks:
        shutil.rmtree(cluster.all[name].directory)
    begun = time.monotonic()
    for name in names:
        cluster.all[name].start()
    while time.monotonic() < begun + REJOIN_LIMIT_SECONDS:
        try:
            now = live_incarnations(cluster)
            if set(now) >= set(cluster.all) and all(now[name] != before[name] for name in names):
                return (time.monotonic() - begun) * 1000.0
        except StoreRequestError:
            pass
        time.sleep(0.05)
    return None


@click.command()
@click.option("--dispatchers", default=5)
@click.option("--seed", default=1, help="Which of them are killed.")
@click.option("--tree", type=click.Path(exists=True, file_okay=False), help="Another checkout to measure.")
def main(dispatchers: int, seed: int, tree: str | None) -> None:
    """Measure how long dispatchers take to rejoin after a kill."""
    if tree is not None:
        vars(store_rig)["ROOT"] = Path(tree).resolve()
    rng = random.Random(seed)
    rejoin_ms: dict[str, int] = {}
    violations: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), dispatchers)
        try:
            cluster.start()
            cluster.store_client(30.0).put("kept", b"acknowledged")
            while set(live_incarnations(cluster)) < set(cluster.all):
                time.sleep(0.1)
            names, tolerated_losses = sorted(cluster.all), (dispatchers - 1) // 2
            for case, count, loses_disks in (
                ("one", 1, False), ("70%", round(0.7 * dispatchers), False),
                ("all but one", dispatchers - 1, False), ("all", dispatchers, False),
                ("without disks", tolerated_losses, True),
            ):  # fmt: skip
                killed = rng.sample(names, count)
                ms = measure_rejoin(cluster, killed, killed if loses_disks else [])
                shown = f"{ms:.0f} ms" if ms is not None else "never"
                print(f"{case:14} {count:3} of {dispatchers}: {shown}", flush=True)
                if ms is None:
                    violations.append(f"{case}: not all are live again after {REJOIN_LIMIT_SECONDS:g} s")
                    break
                rejoin_ms[case] = round(ms)
            if cluster.store_client(30.0).get("kept")[0] != b"acknowledged":
                violations.append("an acknowledged document is lost")
        finally:
            cluster.stop()
    floor = rejoin_ms.get("one", 0)
    print(json.dumps({
        "dispatchers": dispatchers, "seed": seed, "ms": rejoin_ms, "broken": violations,
        "over_floor": {case: round(ms / floor, 2) for case, ms in rejoin_ms.items()} if floor else {},
    }))  # fmt: skip
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
