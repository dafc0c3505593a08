"""Hollow dispatchers: the program's control-plane client on real sockets, with no request path, many to a
process.

    python -m benchmarks.scale.hollow OPTIONS-AS-JSON

A process takes commands, one line of JSON each, on standard input. On standard output it tells, one line of
JSON each, what its dispatchers applied and when (CLOCK_MONOTONIC, which all processes of a machine share),
how late its own loop ran, and once a second its figures.
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
from eiderpin.net.loop import READ, Connection, Loop
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.store.names import CURRENT
from eiderpin.store.observer_protocol import ConfigOutcome, Report
from eiderpin.store.observer_registry import version_of
from eiderpin.store.state import Event

LAG_EVERY = 20.0  # ms between looks at how late the loop runs
FIGURES_EVERY = 1_000.0


class HollowOptions(msgspec.Struct):
    """What a hollow process is told to be."""

    cluster: str
    names: list[str]
    endpoints: list[tuple[str, str, int, str]]  # member, host, port, region
    regions: list[str]  # of the names, in order
    seed: int


class CountingLoop(Loop):
    """Counts the bytes of all connections that it opened."""

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        """Begin at no bytes."""
        super().__init__(clock, deadlines, counters)
        self.received = 0
        self._sent = 0  # over connections that have ended

    def connect(self, address: tuple[str, int] | str) -> Connection | None:
        """As `Loop.connect`."""
        connection = super().connect(address)
        if connection is None:
            return None
        receive = connection.receive

        def counted(size: int) -> bytes:
            data = receive(size)
            self.received += len(data)
            return data

        def ended() -> None:
            self._sent += connection.bytes_sent

        connection.receive, connection.on_closed = counted, ended
        return connection

    @property
    def sent(self) -> int:
        """Bytes sent so far."""
        return self._sent + sum(connection.bytes_sent for connection in self.connections.all())


class HollowDispatcher:
    """One hollow dispatcher; implements `ObserverSink`."""

    def __init__(self, process: HollowProcess, name: str, region: str) -> None:
        """Begin to follow."""
        self.process, self.name, self.region = process, name, region
        self.version = 0
        self.outcome = ConfigOutcome.NONE
        self.place: tuple[int, int] | None = None
        self.highest = (0, 0)  # position ever seen
        self.fenced_at = 0.0
        self.copied_at = 0.0  # when its first copy was whole
        token = f"{process.rng.getrandbits(64):016x}"
        subscription = Subscription(process.options.cluster, name, token, region)
        self.observer = Observer(
            process.loop, process.counters, subscription, process.endpoints, self, process.rng,
            process.say, process.warn,
        )  # fmt: skip

    def apply_events(self, events: list[Event]) -> None:
        """Check what a dispatcher would check, and note the time at which it is in force."""
        self.copied_at = self.copied_at or time.monotonic()
        position = self.observer.subscription.position
        if position < self.highest:
            self.process.tell(went_back=self.name, position=position, highest=self.highest)
        self.highest = max(self.highest, position)
        for event in events:
            if event.name != CURRENT or event.value is None:
                self.process.note_applied(f"{event.name}@{event.revision}")
                continue
            version = version_of(event.value)
            wrong = find_config_error(event.value.partition(b"\n")[2])
            self.outcome = ConfigOutcome.REJECTED if wrong else ConfigOutcome.IN_FORCE
            if version < self.version:
                self.process.tell(went_back=self.name, position=version, highest=self.version)
            self.version = version
            self.process.note_applied(f"version {version}")

    def set_placement(self, instances: int, instance: int) -> None:
        """Note how many dispatchers there are said to be."""
        self.place = (instances, instance)

    def handle_fenced(self) -> None:
        """Another process has the name."""
        self.fenced_at = time.monotonic()

    def build_report(self, revision: int) -> Report:
        """What is in force; operators are told about as much as by a real one."""
        about = {
            "edge": "127.0.0.1:65535", "management": "127.0.0.1:65535", "dispatcher": self.name,
            "state": "up",
            "began": 1_790_000_000_000, "version": "0.0", "config": f"version {self.version} taken",
            "incarnation": "", "stage": "whole", "took": {},
        }  # fmt: skip
        return Report(revision, self.version, self.outcome.value, "", orjson.dumps(about))

    def end(self, planned: bool) -> None:
        """End as a process does that is stopped (`planned`), or killed."""
        observer = self.observer
        observer.close()
        if not planned and observer._connection is not None:
            observer._connection.close()


class HollowProcess:
    """Many hollow dispatchers on one loop."""

    def __init__(self, options: HollowOptions) -> None:
        """Start all dispatchers, and begin to tell figures."""
        self.options = options
        self.rng = random.Random(options.seed)
        self.clock, self.deadlines, self.counters = Clock(), Deadlines(), Counters()
        self.loop = CountingLoop(self.clock, self.deadlines, self.counters)
        self.endpoints = [
            MemberEndpoint(m, (host, port), region) for m, host, port, region in options.endpoints
        ]
        self.applied: dict[str, list[float]] = {}  # change -> times, since the last figures
        self.lags: list[float] = []
        self.ended = False
        self.input = b""
        self.dispatchers = self._start(options.names, options.regions)
        os.set_blocking(0, False)
        self.loop.selector.register(0, READ, lambda mask: self.read_commands())
        self.lag_due = self.clock.now() + LAG_EVERY
        self.deadlines.set(self.lag_due, self.look_at_lag)
        self.tell_figures()

    def _start(self, names: Sequence[str], regions: Sequence[str]) -> list[HollowDispatcher]:
        return [HollowDispatcher(self, name, region) for name, region in zip(names, regions, strict=True)]

    # -- what is told

    def tell(self, **said: Any) -> None:
        """A line on standard output."""
        sys.stdout.write(orjson.dumps(said).decode() + "\n")
        sys.stdout.flush()

    def say(self, text: str) -> None:
        """Log lines for operators are not kept."""

    def warn(self, text: str) -> None:
        """Warnings are counted."""
        self.counters.add("warnings")

    def note_applied(self, change: str) -> None:
        """One dispatcher has applied a change just now."""
        self.applied.setdefault(change, []).append(time.monotonic())

    def look_at_lag(self) -> None:
        """Note how late the loop is."""
        now = self.clock.now()
        self.lags.append(now - self.lag_due)
        self.lag_due = now + LAG_EVERY
        self.deadlines.set(self.lag_due, self.look_at_lag)

    def tell_figures(self) -> None:
        """Once a second: what was applied, and how things stand."""
        self.deadlines.set(self.clock.now() + FIGURES_EVERY, self.tell_figures)
        applied, self.applied = self.applied, {}
        lags, self.lags = self.lags, []
        observers = [d.observer for d in self.dispatchers]
        places = {d.place for d in self.dispatchers if d.place is not None}
        self.tell(
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
        """Carry out what has come on standard input; its end ends the process."""
        try:
            data = os.read(0, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            self.ended = True
            return
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            self.carry_out(orjson.loads(line))

    def carry_out(self, command: dict[str, Any]) -> None:
        """`restart` all; `replace` some, by their places, with the names given, new processes all of them."""
        if command["do"] == "restart":
            names = [d.name for d in self.dispatchers]
            regions = [d.region for d in self.dispatchers]
            for dispatcher in self.dispatchers:
                dispatcher.end(planned=False)
            self.dispatchers = self._start(names, regions)
        elif command["do"] == "replace":
            for place, name in command["names"].items():
                old = self.dispatchers[int(place)]
                old.end(planned=False)
                self.dispatchers[int(place)] = HollowDispatcher(self, name, old.region)
        elif command["do"] == "end":
            self.ended = True

    def run(self) -> None:
        """Until the end of standard input, or its word."""
        while not self.ended:
            self.loop.run_once(lambda: None, 100.0)


def main() -> None:
    """One hollow process."""
    HollowProcess(msgspec.json.decode(sys.argv[1], type=HollowOptions)).run()


if __name__ == "__main__":
    main()
