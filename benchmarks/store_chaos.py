"""Three dispatcher processes with a store, killed and paused at random under load.

    python -m benchmarks.store_chaos --minutes 10 --seed N

The load is writes, reads, watches, changes of leader and of the shared configuration. Checked is that nothing
acknowledged is lost, that members never hold different data, that a watch neither misses nor repeats an
event, and that a counter which is raised by compare-and-set counts each raise once. Exit code 1 where one of
these is violated.
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
from eiderpin.store.client import StoreClient, StoreRequestError

WRITER_COUNT, RAISER_COUNT, WATCHER_COUNT = 4, 3, 2


class Chaos:
    """One run: the clients, the faults and the checks. `violations` lists what was broken."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self.cluster, self.rng = cluster, random.Random(seed)
        self.fault_end = time.monotonic() + seconds
        self.stop = threading.Event()
        self.violations: list[str] = []
        self.acknowledged: dict[str, tuple[int, int]] = {}  # by name: number and revision
        self.raised = [0] * RAISER_COUNT  # acknowledged raises of the counter, by client
        self.unknown = self.writes = self.reads = self.kills = self.pauses = self.transfers = 0
        # Events of each watch: revision, name, value; and the error that ended it.
        self.watch_events: list[list[tuple[int, str, str | None]]] = [[] for _ in range(WATCHER_COUNT)]
        self.watch_errors: list[str] = [""] * WATCHER_COUNT
        self.lock = threading.Lock()
        # Shared configurations: acknowledged, with unknown outcome, and the highest version acknowledged.
        self.published = self.maybe_published = self.highest_version = 0

    def store_client(self, within: float = 30.0) -> StoreClient:
        """Return a client of all members, in random order; its calls fail after `within` seconds."""
        with self.lock:
            addresses = [process.management_address for process in self.cluster.all.values()]
            self.rng.shuffle(addresses)
        return StoreClient(addresses, within)

    def write(self, number: int) -> None:
        """Write rising numbers to documents of its own; each read must return the last acknowledged one."""
        store, count = self.store_client(), 0
        rng = random.Random(f"{number} {self.rng.random()}")
        while not self.stop.is_set():
            name, count = f"w/{number}/{rng.randrange(20)}", count + 1
            try:
                revision = int(store.put(name, b"%d" % count)["revision"])
                self.acknowledged[name] = (count, revision)
                self.writes += 1
                if rng.random() < 0.3:
                    value, document = store.get(name)
                    self.reads += 1
                    if (int(value), document["revision"]) != (count, revision):
                        read = f"{value!r} at {document['revision']}"
                        self.violations.append(f"{name}: {read} after {count} at {revision}")
            except StoreRequestError as error:
                self.unknown += 1
                if error.kind in ("bad", "refused", "differs", "absent"):
                    self.violations.append(f"{name}: {error}")
                store = self.store_client()

    def raise_counter(self, number: int) -> None:
        """Raise the counter by compare-and-set, as other clients do; an acknowledged raise counts once."""
        store = self.store_client()
        while not self.stop.is_set():
            try:
                try:
                    value, document = store.get("counter")
                    counter, revision = int(value), int(document["revision"])
                except StoreRequestError as error:
                    if error.kind != "absent":
                        raise
                    counter, revision = 0, 0
                store.put("counter", b"%d" % (counter + 1), revision)
                self.raised[number] += 1
            except StoreRequestError as error:
                if error.kind == "differs":
                    continue
                self.unknown += error.kind == "unknown"
                if error.kind in ("bad", "refused"):
                    self.violations.append(f"counter: {error}")
                store = self.store_client()

    def publish_configs(self) -> None:
        """Publish versions of the shared configuration; each must be complete and counted once."""
        store, number = self.store_client(), 0
        while not self.stop.is_set():
            number += 1
            text = json.dumps({"settings": settings(), "workers": [], "mark": number}).encode()
            try:
                self.highest_version = max(self.highest_version, publish_config(store, text))
                self.published += 1
            except StoreRequestError as error:
                self.maybe_published += error.kind == "unknown"
                if error.kind in ("bad", "refused"):
                    self.violations.append(f"configuration: {error}")
                store = self.store_client()
            self.stop.wait(0.5)

    def watch(self, number: int) -> None:
        """Watch all documents of the writers until the watch fails."""
        try:
            for event in self.store_client().watch("w/", 0):
                self.watch_events[number].append((event["revision"], event["name"], event["value"]))
        except StoreRequestError as error:
            self.watch_errors[number] = error.kind

    def inject_faults(self) -> None:
        """Kill, pause and restart members and transfer leadership, until the time is over."""
        while time.monotonic() < self.fault_end:
            time.sleep(self.rng.uniform(0.2, 2.0))
            process = self.rng.choice(list(self.cluster.all.values()))
            draw = self.rng.random()
            if draw < 0.55:
                process.kill()
                self.kills += 1
                time.sleep(self.rng.uniform(0.0, 1.5))
                process.start()
            elif draw < 0.75 and process.process is not None:
                process.process.send_signal(signal.SIGSTOP)
                self.pauses += 1
                time.sleep(self.rng.uniform(0.1, 2.0))
                process.process.send_signal(signal.SIGCONT)
            else:
                try:
                    self.store_client(1.0).ask("transfer", name=process.name)
                    self.transfers += 1
                except StoreRequestError:
                    continue

    def run(self) -> dict[str, Any]:
        """Run clients and faults, check the promises and return the figures."""
        threads = [threading.Thread(target=self.write, args=(i,), daemon=True) for i in range(WRITER_COUNT)]
        threads += [
            threading.Thread(target=self.raise_counter, args=(i,), daemon=True) for i in range(RAISER_COUNT)
        ]
        threads.append(threading.Thread(target=self.publish_configs, daemon=True))
        watchers = [threading.Thread(target=self.watch, args=(i,), daemon=True) for i in range(WATCHER_COUNT)]
        for thread in [*threads, *watchers]:
            thread.start()
        begun = time.monotonic()
        self.inject_faults()
        self.stop.set()
        for thread in threads:
            thread.join(60)
            if thread.is_alive():
                self.violations.append("a client hangs")
        elapsed = time.monotonic() - begun
        self.check()
        return {
            "seconds": round(elapsed, 1), "kills": self.kills, "pauses": self.pauses,
            "transfers": self.transfers, "writes": self.writes, "reads": self.reads,
            "raises": sum(self.raised), "configurations": self.published, "unknown": self.unknown,
            "watched": [len(events) for events in self.watch_events], "broken": self.violations[:20],
        }  # fmt: skip

    def check(self) -> None:
        """Check what the store holds against what was acknowledged and watched."""
        report = self.violations.append
        try:
            statuses = self.cluster.wait_until_in_sync(60.0)
        except TimeoutError as error:
            report(str(error))
            return
        store = self.store_client()
        for name, (count, revision) in sorted(self.acknowledged.items()):
            value, document = store.get(name)
            if int(value) < count or document["revision"] < revision:
                report(f"{name}: {count} at {revision} was acknowledged, {value!r} is stored")
        counter = int(store.get("counter")[0])
        least, most = sum(self.raised), sum(self.raised) + self.unknown
        if not least <= counter <= most:
            report(f"the counter is {counter}; {least} raises are acknowledged, {most - least} unknown")
        version, text, _ = read_current_config(store)
        if version < self.highest_version or version > self.published + self.maybe_published:
            report(
                f"configuration: version {version}; {self.highest_version} was acknowledged, "
                f"{self.published} were published"
            )
        for number in range(1, version + 1):
            if find_config_error(read_config_version(store, number)):
                report(f"configuration: version {number} is not complete")
        if version and read_config_version(store, version) != text:
            report(f"configuration: the current one is not version {version}")
        for process in self.cluster.all.values():
            log_text = f"configuration version {version} taken"
            give_up_at = time.monotonic() + 10
            while log_text not in process.log() and time.monotonic() < give_up_at:
                time.sleep(0.05)
            if version and log_text not in process.log():
                report(f"{process.name} has not applied version {version}")
        images = {}
        for process in self.cluster.all.values():
            rows = StoreClient([process.management_address], 10.0).ask(
                "range", prefix="w/", most=1000, stale=True
            )
            images[process.name] = json.dumps(rows["documents"])
        if len(set(images.values())) != 1:
            report("the members hold different documents")
        store_revision = next(iter(statuses.values()))["revision"]
        give_up_at = time.monotonic() + 20
        final = store.put("w/end", b"0")["revision"]
        while time.monotonic() < give_up_at and not all(
            events and events[-1][0] == final or error
            for events, error in zip(self.watch_events, self.watch_errors, strict=True)
        ):
            time.sleep(0.05)
        for events, watch_error in zip(self.watch_events, self.watch_errors, strict=True):
            revisions = [revision for revision, _, _ in events]
            if revisions != sorted(set(revisions)):
                report("a watch received a revision twice, or out of order")
            if not watch_error and (not revisions or revisions[-1] != final):
                report(
                    f"a watch ends with {revisions[-1:]}, not with {final} "
                    f"(the store was at {store_revision})"
                )
        complete = [
            events
            for events, watch_error in zip(self.watch_events, self.watch_errors, strict=True)
            if not watch_error
        ]
        if len({json.dumps(events) for events in complete}) > 1:
            report("two watches received different events")
        watched_revisions: dict[str, int] = {}
        for events in complete[:1]:
            for revision, name, _ in events:
                watched_revisions[name] = revision
            for name, (_, revision) in self.acknowledged.items():
                if watched_revisions.get(name, 0) < revision:
                    report(f"a watch never received {name} at {revision}")


def main() -> int:
    """Run the processes and the checks; return the exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.store_chaos")
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            cluster.start()
            result = Chaos(cluster, args.seed, args.minutes * 60).run()
            logs = "".join(process.log() for process in cluster.all.values())
            if "a fault in a handler" in logs or "invariant" in logs:
                result["broken"].append(logs[-2000:])
        finally:
            cluster.stop()
    print(json.dumps({"seed": args.seed, **result}))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
