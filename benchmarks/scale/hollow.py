"""Hollow dispatchers: the real control-plane client on real sockets, without a request path.

A process runs many of them:

    python -m benchmarks.scale.hollow OPTIONS-AS-JSON

The process reads commands from standard input, one line of JSON each. To standard output it writes, one line
of JSON each, what its dispatchers applied and when (CLOCK_MONOTONIC, which all processes of a machine share),
how late its own loop ran, and once per second its figures.
"""

from __future__ import annotations

import os
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

import msgspec
import orjson

from eiderpin.cli.config import find_config_error
from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Clock, Deadlines
from eiderpin.fleet.observer import Observer
from eiderpin.fleet.subscription import Subscription
from eiderpin.net.connection import READ, Connection
from eiderpin.net.loop import Loop
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.store.names import CURRENT_CONFIG
from eiderpin.store.observer_protocol import ConfigOutcome, Report
from eiderpin.store.observer_registry import parse_config_version
from eiderpin.store.state import Event

LAG_INTERVAL_MS = 20.0  # between measurements of how late the loop runs
FIGURES_INTERVAL_MS = 1_000.0


class HollowOptions(msgspec.Struct):
    """The options of a hollow process, given as JSON on its command line."""

    cluster: str
    names: list[str]
    endpoints: list[tuple[str, str, int, str]]  # member, host, port, region
    regions: list[str]  # of the names, in order
    seed: int


class CountingLoop(Loop):
    """Counts the bytes of all connections that it opened."""

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        """Start both counts at 0."""
        super().__init__(clock, deadlines, counters)
        self.received = 0
        self._sent_before = 0  # bytes sent over connections that have been closed

    def connect(self, address: tuple[str, int] | str) -> Connection | None:
        """Open a connection as `Loop.connect` does, and count its bytes."""
        connection = super().connect(address)
        if connection is None:
            return None
        receive = connection.receive

        def count_received(size: int) -> bytes:
            data = receive(size)
            self.received += len(data)
            return data

        def add_sent() -> None:
            self._sent_before += connection.bytes_sent

        connection.receive, connection.on_closed = count_received, add_sent
        return connection

    @property
    def sent(self) -> int:
        """The bytes sent so far."""
        return self._sent_before + sum(connection.bytes_sent for connection in self.connections.all())


class HollowDispatcher:
    """One hollow dispatcher; implements `ObserverSink`."""

    def __init__(self, process: HollowProcess, name: str, region: str) -> None:
        """Start to follow the store."""
        self.process, self.name, self.region = process, name, region
        self.version = 0
        self.outcome = ConfigOutcome.NONE
        self.placement: tuple[int, int] | None = None
        self.highest = (0, 0)  # highest position so far
        self.fenced_at = 0.0  # 0: not fenced
        self.copied_at = 0.0  # when its first copy was complete; 0: not yet
        token = f"{process.rng.getrandbits(64):016x}"
        subscription = Subscription(process.options.cluster, name, token, region)
        self.observer = Observer(
            process.loop, process.counters, subscription, process.endpoints, self, process.rng,
            process.ignore_log, process.count_warning,
        )  # fmt: skip

    def apply_events(self, events: list[Event]) -> None:
        """Check the changes as a real dispatcher does, and record when each is in force.

        A position or version lower than before is reported as `went_back`.
        """
        self.copied_at = self.copied_at or time.monotonic()
        position = self.observer.subscription.position
        if position < self.highest:
            self.process.write_message(went_back=self.name, position=position, highest=self.highest)
        self.highest = max(self.highest, position)
        for event in events:
            if event.name != CURRENT_CONFIG or event.value is None:
                self.process.record_applied(f"{event.name}@{event.revision}")
                continue
            version = parse_config_version(event.value)
            config_error = find_config_error(event.value.partition(b"\n")[2])
            self.outcome = ConfigOutcome.REJECTED if config_error else ConfigOutcome.IN_FORCE
            if version < self.version:
                self.process.write_message(went_back=self.name, position=version, highest=self.version)
            self.version = version
            self.process.record_applied(f"version {version}")

    def set_placement(self, instances: int, instance: int) -> None:
        """Record the number of dispatchers and the place of this one."""
        self.placement = (instances, instance)

    def handle_fenced(self) -> None:
        """Record that another process has taken over the name."""
        self.fenced_at = time.monotonic()

    def build_report(self, revision: int) -> Report:
        """Build a report of what is in force, about as large as that of a real dispatcher."""
        about = {
            "edge": "127.0.0.1:65535", "management": "127.0.0.1:65535", "dispatcher": self.name,
            "state": "up",
            "began": 1_790_000_000_000, "version": "0.0", "config": f"version {self.version} taken",
            "incarnation": "", "stage": "whole", "took": {},
        }  # fmt: skip
        return Report(revision, self.version, self.outcome.value, "", orjson.dumps(about))

    def stop(self, planned: bool) -> None:
        """Leave as a process does that is stopped (`planned`) or killed."""
        observer = self.observer
        observer.close()
        if not planned and observer._connection is not None:
            observer._connection.close()


class HollowProcess:
    """Many hollow dispatchers on one loop."""

    def __init__(self, options: HollowOptions) -> None:
        """Start all dispatchers, and begin to write figures."""
        self.options = options
        self.rng = random.Random(options.seed)
        self.clock, self.deadlines, self.counters = Clock(), Deadlines(), Counters()
        self.loop = CountingLoop(self.clock, self.deadlines, self.counters)
        self.endpoints = [
            MemberEndpoint(m, (host, port), region) for m, host, port, region in options.endpoints
        ]
        self.applied: dict[str, list[float]] = {}  # times by change, since the last figures
        self.lags: list[float] = []
        self.ended = False
        self.pending_input = b""
        self.dispatchers = self._create_dispatchers(options.names, options.regions)
        os.set_blocking(0, False)
        self.loop.selector.register(0, READ, lambda mask: self.read_commands())
        self.next_lag_at = self.clock.now() + LAG_INTERVAL_MS
        self.deadlines.set(self.next_lag_at, self.measure_lag)
        self.write_figures()

    def _create_dispatchers(self, names: Sequence[str], regions: Sequence[str]) -> list[HollowDispatcher]:
        return [HollowDispatcher(self, name, region) for name, region in zip(names, regions, strict=True)]

    # -- output

    def write_message(self, **message: Any) -> None:
        """Write a message as one line of JSON to standard output; the keyword names are its keys."""
        sys.stdout.write(orjson.dumps(message).decode() + "\n")
        sys.stdout.flush()

    def ignore_log(self, text: str) -> None:
        """Discard a log line of an observer."""

    def count_warning(self, text: str) -> None:
        """Count a warning of an observer, and discard its text."""
        self.counters.add("warnings")

    def record_applied(self, change: str) -> None:
        """Record that a dispatcher has applied a change just now."""
        self.applied.setdefault(change, []).append(time.monotonic())

    def measure_lag(self) -> None:
        """Record how late the loop is."""
        now = self.clock.now()
        self.lags.append(now - self.next_lag_at)
        self.next_lag_at = now + LAG_INTERVAL_MS
        self.deadlines.set(self.next_lag_at, self.measure_lag)

    def write_figures(self) -> None:
        """Write what was applied since the last time and the current figures; called once per second."""
        self.deadlines.set(self.clock.now() + FIGURES_INTERVAL_MS, self.write_figures)
        applied, self.applied = self.applied, {}
        lags, self.lags = self.lags, []
        observers = [d.observer for d in self.dispatchers]
        places = {d.placement for d in self.dispatchers if d.placement is not None}
        self.write_message(
            at=time.monotonic(), applied=applied, lags=lags, cpu_s=time.process_time(),
            received=self.loop.received, sent=self.loop.sent, dispatchers=len(observers),
            subscribed=sum(o.subscribed for o in observers),
            current=sum(o.subscribed and o.current_at is not None and o.age_ms < 2500.0 for o in observers),
            copied_at=max((d.copied_at for d in self.dispatchers), default=0.0),
            oldest_ms=max((o.age_ms for o in observers), default=0.0),
            versions=sorted({d.version for d in self.dispatchers}),
            instances=sorted({n for n, _ in places}), fenced=sum(d.fenced_at > 0 for d in self.dispatchers),
            counters=dict(self.counters.counts),
        )  # fmt: skip

    # -- commands

    def read_commands(self) -> None:
        """Execute the commands that have arrived on standard input; its end ends the process."""
        try:
            data = os.read(0, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            self.ended = True
            return
        *lines, self.pending_input = (self.pending_input + data).split(b"\n")
        for line in lines:
            self.execute_command(orjson.loads(line))

    def execute_command(self, command: dict[str, Any]) -> None:
        """Execute a command.

        `restart` restarts all dispatchers, `replace` replaces those at the given indices by new ones with the
        given names, `end` ends the process. Restarted and replaced dispatchers end as if they were killed.
        """
        if command["do"] == "restart":
            names = [d.name for d in self.dispatchers]
            regions = [d.region for d in self.dispatchers]
            for dispatcher in self.dispatchers:
                dispatcher.stop(planned=False)
            self.dispatchers = self._create_dispatchers(names, regions)
        elif command["do"] == "replace":
            for index, name in command["names"].items():
                old = self.dispatchers[int(index)]
                old.stop(planned=False)
                self.dispatchers[int(index)] = HollowDispatcher(self, name, old.region)
        elif command["do"] == "end":
            self.ended = True

    def run(self) -> None:
        """Run until the end of standard input, or until the command `end`."""
        while not self.ended:
            self.loop.run_once(lambda: None, 100.0)


def main() -> None:
    """Run one hollow process."""
    HollowProcess(msgspec.json.decode(sys.argv[1], type=HollowOptions)).run()


if __name__ == "__main__":
    main()
