"""How long dispatchers take to come back, many at once beside one alone, by the store's word.

    python -m benchmarks.comeback --dispatchers N --seed S [--tree DIR]

Real processes, each with a member of the store. In turn: one is killed and started again (the floor), then
70% of them, all but one, all, and as many as may lose them without their disks. Printed are the times from
the first start to the moment when the last one is there again under a new life, in ms; last one JSON object.
Exit 1 where one never came back, or something that was acknowledged is gone. It measures the start of
dispatchers, not their service to clients.
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

WITHIN = 60.0  # s for all to be there again


def lives(it: Cluster) -> dict[str, str]:
    """Who is there, by the store: name to what tells one life from the next."""
    rows = it.store_client(10.0).ask("range", 0.3, prefix=LIVE_MEMBERS, most=1000)["documents"]
    found = {}
    for row in rows:
        said = orjson.loads(base64.b64decode(row["value"]))
        found[row["name"].removeprefix(LIVE_MEMBERS)] = str(said.get("incarnation") or said["began"])
    return found


def come_back(it: Cluster, names: list[str], lost: list[str]) -> float | None:
    """Kill these, take some of their disks, start them again; ms until all are there, None: never."""
    before = lives(it)
    for name in names:
        it.all[name].kill()
    for name in lost:
        shutil.rmtree(it.all[name].directory)
    begun = time.monotonic()
    for name in names:
        it.all[name].start()
    while time.monotonic() < begun + WITHIN:
        try:
            now = lives(it)
            if set(now) >= set(it.all) and all(now[n] != before[n] for n in names):
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
    """Measure how long dispatchers take to come back."""
    if tree is not None:
        vars(store_rig)["ROOT"] = Path(tree).resolve()
    rng = random.Random(seed)
    took: dict[str, int] = {}
    broken: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        it = Cluster(Path(folder), dispatchers)
        try:
            it.start()
            it.store_client(30.0).put("kept", b"acknowledged")
            while set(lives(it)) < set(it.all):
                time.sleep(0.1)
            names, may_lose = sorted(it.all), (dispatchers - 1) // 2
            for what, count, lose in (
                ("one", 1, False), ("70%", round(0.7 * dispatchers), False),
                ("all but one", dispatchers - 1, False), ("all", dispatchers, False),
                ("without disks", may_lose, True),
            ):  # fmt: skip
                some = rng.sample(names, count)
                ms = come_back(it, some, some if lose else [])
                shown = f"{ms:.0f} ms" if ms is not None else "never"
                print(f"{what:14} {count:3} of {dispatchers}: {shown}", flush=True)
                if ms is None:
                    broken.append(f"{what}: not all came back within {WITHIN:g} s")
                    break
                took[what] = round(ms)
            if it.store_client(30.0).get("kept")[0] != b"acknowledged":
                broken.append("a document that was acknowledged is gone")
        finally:
            it.stop()
    floor = took.get("one", 0)
    print(json.dumps({
        "dispatchers": dispatchers, "seed": seed, "ms": took, "broken": broken,
        "over_floor": {what: round(ms / floor, 2) for what, ms in took.items()} if floor else {},
    }))  # fmt: skip
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
