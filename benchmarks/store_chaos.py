"""Three real processes on loopback, killed and stopped at random, under writes, reads, watches, changes of
leader and of the shared configuration.

    python -m benchmarks.store_chaos --minutes 10 --seed N

Nothing that was acknowledged is lost, no two members ever say different things, a watch neither misses nor
repeats, and a counter that is only ever raised by compare-and-set shows each raise once. Exit code 1 where
that broke.
"""

from __future__ import annotations

import argparse
import json
import random
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks.rig import settings
from benchmarks.store_rig import Cluster
from eiderpin.cli.config import find_config_error, publish_config, read_config_version, read_current_config
from eiderpin.store.client import Failed, StoreClient

WRITERS, RAISERS, WATCHERS = 4, 3, 2


class Chaos:
    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self.cluster, self.rng = cluster, random.Random(seed)
        self.until = time.monotonic() + seconds
        self.stop = threading.Event()
        self.broken: list[str] = []
        self.acked: dict[str, tuple[int, int]] = {}  # name to the number and revision last acknowledged
        self.raised = [0] * RAISERS
        self.unknown = self.writes = self.reads = self.kills = self.pauses = self.transfers = 0
        self.seen: list[list[tuple[int, str, str | None]]] = [[] for _ in range(WATCHERS)]
        self.watched: list[str] = [""] * WATCHERS
        self.lock = threading.Lock()
        self.installed = self.maybe_installed = self.versions = 0

    def store_client(self, within: float = 30.0) -> StoreClient:
        with self.lock:
            doors = [p.door for p in self.cluster.all.values()]
            self.rng.shuffle(doors)
        return StoreClient(doors, within)

    def write(self, number: int) -> None:
        """Raises the number in documents of its own; each read must show the last acknowledged one."""
        store, count = self.store_client(), 0
        rng = random.Random(f"{number} {self.rng.random()}")
        while not self.stop.is_set():
            name, count = f"w/{number}/{rng.randrange(20)}", count + 1
            try:
                revision = int(store.put(name, b"%d" % count)["revision"])
                self.acked[name] = (count, revision)
                self.writes += 1
                if rng.random() < 0.3:
                    value, said = store.get(name)
                    self.reads += 1
                    if (int(value), said["revision"]) != (count, revision):
                        now = f"{value!r} at {said['revision']}"
                        self.broken.append(f"{name}: {now} after {count} at {revision}")
            except Failed as error:
                self.unknown += 1
                if error.kind in ("bad", "refused", "differs", "absent"):
                    self.broken.append(f"{name}: {error}")
                store = self.store_client()

    def raise_counter(self, number: int) -> None:
        """Many raise one counter by compare-and-set: an acknowledged raise counts once."""
        store = self.store_client()
        while not self.stop.is_set():
            try:
                try:
                    value, said = store.get("counter")
                    now, revision = int(value), int(said["revision"])
                except Failed as error:
                    if error.kind != "absent":
                        raise
                    now, revision = 0, 0
                store.put("counter", b"%d" % (now + 1), revision)
                self.raised[number] += 1
            except Failed as error:
                if error.kind == "differs":
                    continue
                self.unknown += error.kind == "unknown"
                if error.kind in ("bad", "refused"):
                    self.broken.append(f"counter: {error}")
                store = self.store_client()

    def configure(self) -> None:
        """Makes one version of the shared configuration after the other; each is whole, and counted once."""
        store, number = self.store_client(), 0
        while not self.stop.is_set():
            number += 1
            text = json.dumps({"settings": settings(), "workers": [], "mark": number}).encode()
            try:
                self.versions = max(self.versions, publish_config(store, text))
                self.installed += 1
            except Failed as error:
                self.maybe_installed += error.kind == "unknown"
                if error.kind in ("bad", "refused"):
                    self.broken.append(f"configuration: {error}")
                store = self.store_client()
            self.stop.wait(0.5)

    def watch(self, number: int) -> None:
        try:
            for event in self.store_client().watch("w/", 0):
                self.seen[number].append((event["revision"], event["name"], event["value"]))
        except Failed as error:
            self.watched[number] = error.kind

    def trouble(self) -> None:
        while time.monotonic() < self.until:
            time.sleep(self.rng.uniform(0.2, 2.0))
            process = self.rng.choice(list(self.cluster.all.values()))
            what = self.rng.random()
            if what < 0.55:
                process.kill()
                self.kills += 1
                time.sleep(self.rng.uniform(0.0, 1.5))
                process.start()
            elif what < 0.75 and process.process is not None:
                process.process.send_signal(signal.SIGSTOP)
                self.pauses += 1
                time.sleep(self.rng.uniform(0.1, 2.0))
                process.process.send_signal(signal.SIGCONT)
            else:
                try:
                    self.store_client(1.0).ask("transfer", name=process.name)
                    self.transfers += 1
                except Failed:
                    continue

    def play(self) -> dict[str, Any]:
        threads = [threading.Thread(target=self.write, args=(i,), daemon=True) for i in range(WRITERS)]
        threads += [
            threading.Thread(target=self.raise_counter, args=(i,), daemon=True) for i in range(RAISERS)
        ]
        threads.append(threading.Thread(target=self.configure, daemon=True))
        watchers = [threading.Thread(target=self.watch, args=(i,), daemon=True) for i in range(WATCHERS)]
        for thread in [*threads, *watchers]:
            thread.start()
        begun = time.monotonic()
        self.trouble()
        self.stop.set()
        for thread in threads:
            thread.join(60)
            if thread.is_alive():
                self.broken.append("a client hangs")
        took = time.monotonic() - begun
        self.judge()
        return {
            "seconds": round(took, 1), "kills": self.kills, "pauses": self.pauses,
            "transfers": self.transfers, "writes": self.writes, "reads": self.reads,
            "raises": sum(self.raised), "configurations": self.installed, "unknown": self.unknown,
            "watched": [len(s) for s in self.seen], "broken": self.broken[:20],
        }  # fmt: skip

    def judge(self) -> None:
        say = self.broken.append
        try:
            said = self.cluster.together(60.0)
        except TimeoutError as error:
            say(str(error))
            return
        store = self.store_client()
        for name, (count, revision) in sorted(self.acked.items()):
            value, document = store.get(name)
            if int(value) < count or document["revision"] < revision:
                say(f"{name}: {count} at {revision} was acknowledged, {value!r} is there")
        counter = int(store.get("counter")[0])
        known, most = sum(self.raised), sum(self.raised) + self.unknown
        if not known <= counter <= most:
            say(f"the counter is {counter}; {known} raises were told, {most - known} are not known")
        version, text, _ = read_current_config(store)
        if version < self.versions or version > self.installed + self.maybe_installed:
            say(f"configuration: version {version}; {self.versions} was told, {self.installed} were made")
        for number in range(1, version + 1):
            if find_config_error(read_config_version(store, number)):
                say(f"configuration: version {number} is not whole")
        if version and read_config_version(store, version) != text:
            say(f"configuration: what holds is not version {version}")
        for process in self.cluster.all.values():
            taken = f"configuration version {version} taken"
            end = time.monotonic() + 10
            while taken not in process.log() and time.monotonic() < end:
                time.sleep(0.05)
            if version and taken not in process.log():
                say(f"{process.name} has not taken version {version}")
        images = {}
        for process in self.cluster.all.values():
            rows = StoreClient([process.door], 10.0).ask("range", prefix="w/", most=1000, stale=True)
            images[process.name] = json.dumps(rows["documents"])
        if len(set(images.values())) != 1:
            say("the members hold different documents")
        last = next(iter(said.values()))["revision"]
        end = time.monotonic() + 20
        final = store.put("w/end", b"0")["revision"]
        while time.monotonic() < end and not all(s and s[-1][0] == final or w for s, w in
                                                 zip(self.seen, self.watched, strict=True)):  # fmt: skip
            time.sleep(0.05)
        for seen, why in zip(self.seen, self.watched, strict=True):
            revisions = [r for r, _, _ in seen]
            if revisions != sorted(set(revisions)):
                say("a watch was told of a revision twice, or out of order")
            if not why and (not revisions or revisions[-1] != final):
                say(f"a watch ends with {revisions[-1:]}, not with {final} (the store was at {last})")
        whole = [s for s, why in zip(self.seen, self.watched, strict=True) if not why]
        if len({json.dumps(s) for s in whole}) > 1:
            say("two watches were told different things")
        names: dict[str, int] = {}
        for seen in whole[:1]:
            for revision, name, _ in seen:
                names[name] = revision
            for name, (_, revision) in self.acked.items():
                if names.get(name, 0) < revision:
                    say(f"a watch was never told of {name} at {revision}")


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.store_chaos")
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            cluster.start()
            result = Chaos(cluster, args.seed, args.minutes * 60).play()
            logs = "".join(p.log() for p in cluster.all.values())
            if "a fault in a handler" in logs or "invariant" in logs:
                result["broken"].append(logs[-2000:])
        finally:
            cluster.stop()
    print(json.dumps({"seed": args.seed, **result}))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
