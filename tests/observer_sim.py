"""Members of the store and observers in one process and in virtual time: the program's own server and client
of observers on a simulated network, beside the simulated cluster of `store_sim`. All follows from one seed.

A truth is kept beside them: one store that applies the committed commands in order. At each change, an
observer's copy is compared with it, document by document, at the copy's own revision.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.fleet.observer import Observer, PresenceState
from eiderpin.fleet.subscription import Subscription
from eiderpin.net.loop import Connection, Loop
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.store import observer_server
from eiderpin.store.names import CURRENT, WORKER_ORDERS
from eiderpin.store.observer_protocol import Report
from eiderpin.store.observer_server import ObserverServer
from eiderpin.store.observer_sessions import observed
from eiderpin.store.raft import Role
from eiderpin.store.state import Answer, Delete, Event, Put, Store, Transaction, unpack
from tests.store_sim import FaultInjector, InvariantViolated, SimulatedCluster

HISTORY = 20  # events that members keep: one that is away for a second or two is behind them
WORKERS = 6  # that orders are given for
BIG = 40_000  # bytes of some documents, so that a snapshot has pages


class Process:
    """A process that may be killed or stop for a while; nothing of it happens then."""

    def __init__(self, world: ObserverWorld, name: str) -> None:
        self.world, self.name = world, name
        self.alive = True
        self.frozen_until = 0.0
        self.connections: list[SimConnection] = []

    def later(self, ms: float, call: Callable[[], None]) -> None:
        """Call after so long, if it still lives; once it is awake."""
        self.world.schedule(ms, lambda: self.run(call))

    def run(self, call: Callable[[], None]) -> None:
        if not self.alive:
            return
        if self.world.now < self.frozen_until:
            self.later(self.frozen_until - self.world.now + 0.1, call)
            return
        call()

    def die(self) -> None:
        self.alive = False
        for connection in list(self.connections):
            connection.closed = True
            connection.send_end()


class SimDeadline:
    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call


class SimDeadlines:
    def __init__(self, process: Process) -> None:
        self.process = process

    def set(self, at: float, call: Callable[[], None]) -> SimDeadline:
        deadline = SimDeadline(call)

        def run() -> None:
            due, deadline.call = deadline.call, None
            if due is not None:
                due()

        self.process.later(max(0.0, at - self.process.world.now), run)
        return deadline

    def drop(self, deadline: SimDeadline | None) -> None:
        if deadline is not None:
            deadline.call = None


class SimClock:
    def __init__(self, world: ObserverWorld) -> None:
        self.world = world

    def now(self) -> float:
        return self.world.now


class SimLoop:
    """What the server and the client of observers need of `net.loop.Loop`."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.clock, self.deadlines = SimClock(process.world), SimDeadlines(process)

    def connect(self, address: tuple[str, int]) -> SimConnection:
        world = self.process.world
        near = SimConnection(self.process)
        near.remote = address[0]
        world.schedule(world.latency(), lambda: world.arrive_connection(near))
        return near


class SimConnection:
    """One end of a stream. What is sent arrives in order and whole, or the stream ends."""

    def __init__(self, process: Process) -> None:
        self.process, self.world = process, process.world
        self.world.numbers += 1
        self.number = self.world.numbers
        self.peer: SimConnection | None = None
        self.remote = ""
        self.closed = self.closing = False
        self.unsent = bytearray()
        self.outbox: list[bytes | None] = []  # None: the end
        self.inbox: list[bytes | None] = []  # in order, however long the process was stopped
        self.on_open = self.on_end = self.on_flushed = self.on_closed = lambda: None
        self.on_data: Callable[[bytes], None] = lambda data: None
        process.connections.append(self)

    def write(self, data: bytes) -> None:
        if self.closed or self.closing:
            return
        self.outbox.append(data)
        self.world.schedule(self.world.latency(), self.pump)
        self.on_flushed()

    def pump(self) -> None:
        """Let what was sent arrive, unless the network is cut; an end of ours arrives after all before it."""
        peer = self.peer
        if peer is None or not self.outbox:
            return
        if (self.process.name, peer.process.name) in self.world.cuts:
            self.world.schedule(100.0, self.pump)
            return
        peer.inbox += self.outbox
        self.outbox.clear()
        peer.process.run(peer.arrive)

    def arrive(self) -> None:
        while self.inbox and not self.closed:
            data = self.inbox.pop(0)
            if data is None:
                self.broke()
            elif not self.closing:
                self.on_data(data)

    def broke(self) -> None:
        if not self.closed:
            self.close()
            self.on_end()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.send_end()
        if self in self.process.connections:
            self.process.connections.remove(self)
        self.on_closed()

    def close_when_sent(self) -> None:
        self.closing = True
        self.on_end = lambda: None
        self.send_end()
        self.process.later(2500.0, self.close)

    def send_end(self) -> None:
        self.outbox.append(None)
        self.world.schedule(self.world.latency(), self.pump)


class SimListener:
    """Stands in for `net.loop.Listener` in a member's server."""

    def __init__(self, loop: SimLoop, where: tuple[str, int], taken: Callable[[SimConnection], None]) -> None:
        self.process, self.taken = loop.process, taken
        loop.process.world.listeners[loop.process.name] = self

    def close(self) -> None:
        self.process.world.listeners.pop(self.process.name, None)


class Follower:
    """An observer's process: its copy is compared with the truth whenever it changes. An `ObserverSink`."""

    def __init__(self, world: ObserverWorld, name: str, token: str) -> None:
        self.world, self.name = world, name
        self.process = Process(world, name)
        self.highest = (0, 0)
        self.place: tuple[int, int] | None = None
        self.copy = world.subscription("sim", name, token, f"r{len(name) % 2}")
        self.observer = Observer(
            SimLoop(self.process),  # type: ignore[arg-type]
            Counters(), self.copy,
            [MemberEndpoint(m, (m, 0), f"r{i % 2}") for i, m in enumerate(world.names)],
            self, random.Random(world.rng.random()), lambda text: None, lambda text: None,
        )  # fmt: skip

    def apply_events(self, events: list[Event]) -> None:
        if self.copy.position < self.highest:
            raise InvariantViolated(f"{self.name} goes back from {self.highest} to {self.copy.position}")
        self.highest = self.copy.position
        self.world.compare(self.name, self.copy)

    def set_placement(self, instances: int, instance: int) -> None:
        self.place = (instances, instance)

    def handle_fenced(self) -> None:
        pass

    def build_report(self, revision: int) -> Report:
        return Report(revision, 0, "none", "", b"{}")


@dataclass
class ObserverWorld(SimulatedCluster):
    """The simulated cluster, with observers."""

    observers: int = 5
    subscription: type[Subscription] = Subscription
    server: type[ObserverServer] = ObserverServer
    followers: dict[str, Follower] = field(default_factory=dict)
    doomed: list[Follower] = field(default_factory=list)  # whose names others have taken
    processes: dict[str, Process] = field(default_factory=dict)
    listeners: dict[str, SimListener] = field(default_factory=dict)
    servers: dict[str, ObserverServer] = field(default_factory=dict)
    numbers: int = 0
    resets: float = 0.0  # chance that a cut ends with a reset

    def __post_init__(self) -> None:
        self.names = [f"m{i}" for i in range(self.size)]
        self.truth = Store(1 << 30)
        self.truth_index = 0
        self.images: list[tuple[int, dict[str, tuple[bytes, int]]]] = [(0, {})]
        self.tokens = 0
        super().__post_init__()
        for number in range(self.observers):
            self.follow(f"o{'x' * (number % 2)}{number}")

    # -- processes

    def start(self, name: str) -> None:
        super().start(name)
        member = self.running_member(name)
        member.history = member.store.history = HISTORY
        process = self.processes[name] = Process(self, name)
        with mock.patch.object(observer_server, "Listener", SimListener):
            self.servers[name] = self.server(
                SimLoop(process), Counters(), member, (name, 0)  # type: ignore[arg-type]
            )  # fmt: skip

    def kill(self, name: str) -> None:
        super().kill(name)
        self.listeners.pop(name, None)
        self.processes[name].die()

    def follow(self, name: str) -> Follower:
        """A new process by this name; an earlier one may still be there."""
        self.tokens += 1
        self.followers[name] = Follower(self, name, f"token{self.tokens}")
        return self.followers[name]

    # -- the network

    def latency(self) -> float:
        return self.rng.uniform(0.3, 5.0)

    def arrive_connection(self, near: SimConnection) -> None:
        """A connection reaches its listener, is refused, or waits for the end of a cut."""
        listener = self.listeners.get(near.remote)
        if near.closed or not near.process.alive:
            return
        if (near.process.name, near.remote) in self.cuts:
            self.schedule(100.0, lambda: self.arrive_connection(near))
            return
        if listener is None:
            near.process.run(near.broke)
            return
        far = SimConnection(listener.process)
        near.peer, far.peer = far, near
        near.process.run(near.on_open)
        process = listener.process
        node = self.nodes[process.name]
        process.frozen_until = max(process.frozen_until, node.frozen_until)
        process.run(lambda: listener.taken(far))

    def reset_some(self) -> None:
        """Some connections of observers are reset."""
        for follower in self.followers.values():
            for connection in list(follower.process.connections):
                if self.rng.random() < 0.5:
                    connection.process.run(connection.broke)

    # -- the truth

    def check_applied(self, name: str, index: int, term: int, data: bytes) -> None:
        super().check_applied(name, index, term, data)
        while self.truth_index + 1 in self.applied:
            self.truth_index += 1
            try:
                command = unpack(self.applied[self.truth_index][1])
            except msgspec.MsgspecError:
                continue  # no command, but a change of members or a leader's first entry
            before = self.truth.revision
            self.truth.apply(command)
            if self.truth.revision != before:
                self.images.append((self.truth.revision, self.image()))

    def image(self) -> dict[str, tuple[bytes, int]]:
        found = {}
        for document in self.truth.documents.values():
            if observed(document.name):
                found[document.name] = (document.value, document.revision)
        return found

    def compare(self, name: str, copy: Subscription) -> None:
        """An observer's copy is the truth at its own revision."""
        if copy.revision > self.truth.revision:
            raise InvariantViolated(
                f"{name} is at revision {copy.revision}; {self.truth.revision} is the last"
            )
        wanted: dict[str, tuple[bytes, int]] = {}
        for revision, image in reversed(self.images):
            if revision <= copy.revision:
                wanted = image
                break
        held = {d.name: (d.value, d.revision) for d in copy.documents.values()}
        if held != wanted:
            differs = sorted(n for n in held.keys() | wanted.keys() if held.get(n) != wanted.get(n))
            raise InvariantViolated(f"{name} at revision {copy.revision} differs in {', '.join(differs)}")

    # -- the end

    def come_together(self) -> None:
        """All observers have all of it, and everybody knows just those that are live."""
        for process in self.processes.values():
            process.frozen_until = 0.0
        self.run(self.now + 25_000.0)
        for _ in range(20):  # one may be about to return to its first choice just now
            if all(f.observer.subscribed for f in self.followers.values()):
                break
            self.run(self.now + 100.0)
        for name, follower in self.followers.items():
            self.compare(name, follower.copy)
            last = self.images[-1]
            newest = next(r for r, image in self.images if image == last[1])
            if follower.copy.revision < newest or not follower.observer.subscribed:
                raise InvariantViolated(f"{name} is at {follower.copy.revision}; {newest} is the last change")
            if follower.observer.presence_state is not PresenceState.KNOWN:
                raise InvariantViolated(f"{name} is {follower.observer.presence_state.value}")
        for follower in self.doomed:
            if follower.process.alive and follower.observer.presence_state is not PresenceState.FENCED:
                raise InvariantViolated(
                    f"the earlier {follower.name} is {follower.observer.presence_state.value}"
                )
        ranked = sorted(self.followers)
        for place, name in enumerate(ranked):
            if self.followers[name].place != (len(ranked), place):
                raise InvariantViolated(f"{name} believes it is {self.followers[name].place} of {ranked}")
        for member in self.live():
            folded = self.servers[member].registry.folded.observers
            tokens = {name: live.entry.token for name, live in folded.items()}
            if tokens != {name: f.copy.token for name, f in self.followers.items()}:
                raise InvariantViolated(f"{member} knows {tokens}")


class Writer:
    """Changes what observers follow, at whichever member takes it."""

    def __init__(self, world: ObserverWorld, gap: tuple[float, float]) -> None:
        self.world, self.gap = world, gap
        self.version = 0
        self.stopped = False
        self.next()

    def next(self) -> None:
        if not self.stopped:
            self.world.schedule(self.world.rng.uniform(*self.gap), self.write)

    def write(self) -> None:
        rng, world = self.world.rng, self.world
        live = world.live()
        if live:
            self.version += 1
            name = f"{WORKER_ORDERS}w{rng.randrange(WORKERS)}"
            value = b"%d" % self.version + b"x" * (BIG if rng.random() < 0.2 else 0)
            change: Put | Delete = Put(name, value) if rng.random() < 0.8 else Delete(name)
            if rng.random() < 0.3:
                change = Put(CURRENT, b"%d\n{}" % self.version)
            elif rng.random() < 0.3:
                change = Put(f"other{rng.randrange(3)}", b"%d" % self.version)
            member = world.running_member(rng.choice(live))
            member.submit("", rng.getrandbits(50), Transaction([change]), _ignore, world.now, 300.0)
        self.next()


def _ignore(answer: Answer | Exception) -> None:
    """Whether it was taken shows in the truth."""


class ObserverTrouble:
    """Cuts, resets, frozen and killed observers, two by one name."""

    def __init__(self, world: ObserverWorld) -> None:
        self.world = world
        self.stopped = False
        self.next()

    def next(self) -> None:
        if not self.stopped:
            self.world.schedule(self.world.rng.uniform(200.0, 900.0), self.inject_fault)

    def inject_fault(self) -> None:
        if self.stopped:
            return
        rng, world = self.world.rng, self.world
        name = rng.choice(sorted(world.followers))
        kind = rng.choice(["cut", "cut", "reset", "freeze", "kill", "twin"])
        if kind == "cut":
            member = rng.choice(world.names)
            pairs = [(name, member), (member, name)][: rng.choice([1, 2])]
            world.cuts |= set(pairs)
            world.schedule(rng.uniform(100.0, 5000.0), lambda: world.cuts.difference_update(pairs))
        elif kind == "reset":
            world.reset_some()
        elif kind == "freeze":
            world.followers[name].process.frozen_until = world.now + rng.uniform(500.0, 9000.0)
        elif kind == "kill":
            world.followers[name].process.die()
            world.follow(name)
        elif not world.doomed:
            self.twin(name)
        self.next()

    def twin(self, name: str) -> None:
        """A process is frozen, and another begins by its name; then the first one wakes. It is only looked
        at if it was known to all, for one that was never announced may come to be the later one."""
        world = self.world
        old = world.followers[name]
        if old.observer.presence_state is not PresenceState.KNOWN or world.now < old.process.frozen_until:
            return
        old.process.frozen_until = world.now + 4000.0
        world.doomed.append(old)
        world.schedule(500.0, lambda: world.follow(name) if old is world.followers[name] else None)


def play(
    seed: int,
    ms: float = 9000.0,
    observers: int = 5,
    subscription: type[Subscription] = Subscription,
    server: type[ObserverServer] = ObserverServer,
) -> ObserverWorld:
    """One run. Raises `InvariantViolated` where a promise did not hold."""
    world = ObserverWorld(seed, observers=observers, subscription=subscription, server=server)
    troubles: list[Any] = [ObserverTrouble(world), FaultInjector(world, False)]
    writer = Writer(world, (10.0, 200.0))
    for step in range(1, 7):
        world.run(ms * step / 6)
        for name in world.live():
            if world.running_member(name).raft.role is Role.LEADER:
                world.check_leader(name)
    for trouble in (*troubles, writer):
        trouble.stopped = True
    world.heal_and_converge()
    world.come_together()
    return world


_LOOP: type[Loop] = Loop  # what `SimLoop` stands in for, and `SimConnection`:
_CONNECTION: type[Connection] = Connection
