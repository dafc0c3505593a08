"""One member of the store: its Raft, its state, and the order in which disk, wire and clients hear of things.
It reaches disk and peers through two small protocols; time is given to it."""

from __future__ import annotations

import contextlib
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec
import zstandard
from msgspec.structs import replace

from eiderpin.durable.frames import Record
from eiderpin.store import identity, records
from eiderpin.store.messages import (
    Config,
    Entry,
    EntryKind,
    HardState,
    MembershipRequest,
    MembershipResponse,
    Message,
    Snapshot,
)
from eiderpin.store.raft import CHANGE_ROUND, NotLeader, Raft, Refused, Role
from eiderpin.store.records import MemberIdentity, Restored
from eiderpin.store.state import Answer, Command, Compacted, Event, Expire, Operation, Store, pack, unpack

TICK_MS = 50.0  # ms
SNAPSHOT_EVERY = 10_000  # entries applied since the last snapshot ...
SNAPSHOT_BYTES = 16 << 20  # ... or so many bytes of them, after which the next is made
TRAILING = 1_000  # entries kept before a snapshot, for members that are a little behind
MOST_WAITING = 10_000  # commands and reads that wait here
MOST_WATCHERS = 1_000
MARK_EVERY = 200.0  # ms between a leader's words on the store's time, while leases are out
MOST_TICKS = 4  # caught up with at once: a process that stood still must not campaign for it


class Disk(Protocol):
    """A log on disk. `told` is called later, in order, with whether it is there."""

    def append(self, said: list[Record], told: Callable[[bool], None]) -> None:
        """Write these records, in order, and tell whether they are there."""
        ...

    def checkpoint(self, all_of_it: Iterable[Record]) -> None:
        """What stands for all that was appended so far; what is appended later comes after it."""
        ...


class OutcomeUnknown(Exception):
    """No answer is known: it may or may not have been carried out. Ask again, with the same number."""


Done = Callable[[Answer | Exception], None]


@dataclass(slots=True)
class Watch:
    """Told of events with names that begin so, from revision `next` on; `tell` gets None where it has to
    begin anew, for what it asks of has been forgotten."""

    prefix: str
    next: int
    tell: Callable[[list[Event] | None], None]


@dataclass(slots=True)
class _Batch:
    after: list[Message]
    on_disk: bool
    last: tuple[int, int] | None = None  # index and term of the last entry in it


@dataclass(slots=True)
class _Read:
    done: Callable[[Exception | None], None]
    until: float
    index: int | None = None


@dataclass(slots=True)
class _Order:
    what: str
    name: str
    done: Callable[[Exception | None], None]
    until: float
    begun: bool = False  # the leader has said yes


@dataclass(slots=True)
class _Waiting:
    done: Done
    until: float
    more: list[Done] = field(default_factory=list)

    def tell(self, said: Answer | Exception) -> None:
        for done in (self.done, *self.more):
            done(said)


class Member:
    """`send` gives a message to the wire, which may lose it. `now` is monotonic, in ms."""

    def __init__(
        self, born: MemberIdentity, restored: Restored, disk: Disk, send: Callable[[Message], None],
        rng: random.Random, now: float, raft: type[Raft] = Raft, snapshot_every: int = SNAPSHOT_EVERY,
        trailing: int = TRAILING, history: int = 10_000,
    ) -> None:  # fmt: skip
        """Begin from what the disk holds."""
        self.identity, self.disk, self.send, self.rng = born, disk, send, rng
        self.snapshot_every, self.trailing, self.history = snapshot_every, trailing, history
        snapshot = restored.snapshot
        self.raft = raft(born.name, restored.hard, snapshot, restored.entries, rng, born.disk)
        self.store = Store.of(_plain(snapshot.data), history)
        self.applied = snapshot.index
        self.disk_failed = False  # our disk takes nothing
        self.bytes = 0  # applied since the last snapshot
        self.watches: list[Watch] = []
        self.on_config: Callable[[Config], None] = lambda config: None
        self._config: Config | None = None
        self._batches: deque[_Batch] = deque()
        self._commands: dict[tuple[str, int], _Waiting] = {}
        self._reads: dict[int, _Read] = {}
        self._orders: dict[int, _Order] = {}
        self._ready: list[tuple[int, int]] = []
        self._context = rng.getrandbits(40)
        self._ticked, self._marked = now, now
        self._leases_out = False
        self.last_leader_contact_ms = now  # of a leader, last
        self._flushing = False
        self.flush(now)

    # -- the start of a cluster

    @staticmethod
    def first(born: MemberIdentity, voters: dict[str, str], disks: dict[str, str] | None = None) -> Restored:
        """What every first member of a new cluster begins with."""
        config = Config(voters, {}, disks or {})
        return Restored(born, HardState(), [Entry(1, 0, int(EntryKind.CONFIG), config.pack())])

    def found(self, config: Config, now: float) -> None:
        """Begin a new cluster with these members, whose logs are as empty as ours."""
        self.raft.found(config)
        self.flush(now)

    def all_records(self) -> list[Record]:
        """All that we hold, as it is written."""
        log = self.raft.log
        hard = HardState(self.raft.term, self.raft.vote)
        entries = [e for e in log.entries if e.index > log.snapshot.index]
        return list(records.whole(self.identity, hard, log.snapshot, entries))

    def write_all(self) -> None:
        """Have the disk hold all that we hold."""
        self.disk.checkpoint(self.all_records())

    # -- time and messages

    def tick(self, now: float) -> None:
        """To be called every `TICK_MS` or so."""
        ticks = int((now - self._ticked) / TICK_MS)
        self._ticked = now if ticks > MOST_TICKS else self._ticked + ticks * TICK_MS
        if not self.disk_failed:
            for _ in range(min(ticks, MOST_TICKS)):
                self.raft.tick()
            self._mark(now)
            self._take_in()
            self._promote()
        if self.raft.leader:
            self.last_leader_contact_ms = now
        self._give_up(now)
        self.flush(now)

    def hear(self, message: Message, now: float) -> None:
        """A message from another member has come."""
        if self.disk_failed:
            return  # we could keep nothing of it
        if isinstance(message, MembershipRequest):
            error = self._order(message.what, message.name, message.address)
            self.send(
                MembershipResponse(self.identity.name, message.frm, self.raft.term, message.context, error)
            )
        elif isinstance(message, MembershipResponse):
            order = self._orders.get(message.context)
            if order is not None:
                order.begun = True
            if order is not None and message.error:
                del self._orders[message.context]
                order.done(Refused(message.error))
        else:
            self.raft.step(message)
        self.flush(now)

    # -- who the members are

    def change_membership(
        self, what: str, name: str, address: str, done: Callable[[Exception | None], None], now: float,
        within: float,
    ) -> None:  # fmt: skip
        """Change who the members are, at any member; `done` hears when it is so.

        Args:
            what: `add` (a member, which is a learner until it has caught up, and then a voter), `add-standby`
                (a learner that stays one), `promote` (a standby, to a voter), `remove`, or `transfer` (the
                leader's place).
        """
        self._context += 1
        self._orders[self._context] = _Order(what, name, done, now + within)
        if self.raft.role is Role.LEADER:
            error = self._order(what, name, address)
            self._orders[self._context].begun = True
            if error:
                del self._orders[self._context]
                done(Refused(error))
        elif self.raft.leader:
            to, term = self.raft.leader, self.raft.term
            self.send(MembershipRequest(self.identity.name, to, term, self._context, what, name, address))
        else:
            del self._orders[self._context]
            done(NotLeader(""))
        self.flush(now)

    def _order(self, what: str, name: str, address: str) -> str:
        """Carry one out as the leader; returns why it can't be."""
        config = self.raft.log.config
        try:
            if what == "transfer":
                self.raft.transfer(name)
            elif what == "remove":
                if name not in config.all():
                    return f"{name!r} is no member; there are {', '.join(sorted(config.all()))}"
                voters = {n: a for n, a in config.voters.items() if n != name}
                learners = {n: a for n, a in config.learners.items() if n != name}
                self.raft.change(identity.members(config, voters, learners))
            elif what == "promote":
                if name not in config.standbys:
                    return f"{name!r} is no standby; there are {', '.join(config.standbys) or 'none'}"
                left = [standby for standby in config.standbys if standby != name]
                self.raft.change(replace(config, standbys=left))
            elif name in config.all():
                return f"{name!r} is a member already, at {config.all()[name]}"
            elif address in config.all().values():
                return f"{address} is the address of another member"
            else:
                learners = {**config.learners, name: address}
                changed = identity.members(config, config.voters, learners)
                if what == "add-standby":
                    changed = replace(changed, standbys=[*changed.standbys, name])
                self.raft.change(changed)
        except NotLeader as error:
            return str(error)
        except Refused as error:
            return str(error)
        return ""

    def _promote(self) -> None:
        """A learner that has caught up becomes a voter, unless it is a standby."""
        config, raft = self.raft.log.config, self.raft
        if raft.role is not Role.LEADER or not config.learners or raft.log.config_at > raft.commit:
            return
        for name in sorted(config.learners.keys() - set(config.standbys)):
            peer = raft.peers[name]
            if peer.match and peer.active and peer.match + CHANGE_ROUND >= raft.log.last:
                learners = {n: a for n, a in config.learners.items() if n != name}
                with contextlib.suppress(Refused):
                    voters = {**config.voters, name: config.learners[name]}
                    raft.change(identity.members(config, voters, learners))
                return

    def _take_in(self) -> None:
        """Learn the disks of members that nothing is known of, and take in again, as a learner, one that has
        lost its own."""
        raft = self.raft
        if raft.role is not Role.LEADER or not raft.strangers or raft.log.config_at > raft.commit:
            return
        config = identity.taken_in(raft.log.config, raft.strangers, raft.heard, raft.ticks)
        if config is not None:
            with contextlib.suppress(Refused):
                raft.change(config)

    def _look_at_orders(self) -> None:
        """Tell those whose orders are carried out."""
        raft = self.raft
        config = raft.log.config_as_of(max(raft.commit, raft.log.base))
        for context, order in list(self._orders.items()):
            gone = raft.removed and (order.what, order.name) == ("remove", raft.name)
            if not order.begun and not gone:
                continue  # what seems done may have been so before
            if order.what == "transfer":
                done = raft.leader == order.name and raft.role is not Role.CANDIDATE
            elif order.what == "add-standby":
                done = order.name in config.standbys
            elif order.what == "remove":
                done = order.name not in config.all()
            else:
                done = order.name in config.voters
            if done or gone:
                del self._orders[context]
                order.done(None)

    def _mark(self, now: float) -> None:
        """A leader says how much time has passed, while that matters to a lease."""
        out = bool(self.store.leases)
        if not out or not self._leases_out or self.raft.role is not Role.LEADER:
            self._marked = now
        elif now >= self._marked + MARK_EVERY:
            passed, self._marked = now - self._marked, now
            at = self.store.now + passed
            self._propose(Command("", self.rng.getrandbits(53), Expire(at)))
        self._leases_out = out and self.raft.role is Role.LEADER

    def _propose(self, command: Command) -> bool:
        try:
            self.raft.propose([pack(command)])
        except (NotLeader, Refused):
            return False
        return True

    # -- clients

    def submit(self, client: str, number: int, op: Operation, done: Done, now: float, within: float) -> None:
        """Have a command committed; `done` gets its answer, or why there is none (`NotLeader`, `Refused`: it
        was not taken; `OutcomeUnknown`: nobody knows)."""
        key = (client, number)
        known = self._commands.get(key)
        if known is not None:
            known.more.append(done)
            return
        try:
            self._may_take(len(self._commands))
            self.raft.propose([pack(Command(client, number, op))])
        except (NotLeader, Refused) as error:
            done(error)
            return
        self._commands[key] = _Waiting(done, now + within)
        self.flush(now)

    def _may_take(self, waiting: int) -> None:
        """Raises `NotLeader` (another member may take it: one without a disk is no judge of the cluster) and
        `Refused`."""
        if self.disk_failed:
            raise NotLeader("", "the disk of this member fails")
        if self.raft.removed:
            raise NotLeader("")
        if waiting >= MOST_WAITING:
            raise Refused(f"{waiting} calls wait already")

    def read(self, done: Callable[[Exception | None], None], now: float, within: float) -> None:
        """Call `done` once what is here covers all that was committed before this call (or with why not)."""
        try:
            self._may_take(len(self._reads))
            self.raft.read(self._context + 1)  # it is answered at the flush, not before
        except (NotLeader, Refused) as error:
            done(error)
            return
        self._context += 1
        self._reads[self._context] = _Read(done, now + within)
        self.flush(now)

    def watch(self, prefix: str, after: int, tell: Callable[[list[Event] | None], None]) -> Watch:
        """Tell of what changes after revision `after`: at once what has, then what will. A watch that is
        taken up again at another member with the last revision it was told of neither misses nor repeats.
        Raises `Compacted` and `Refused`."""
        if len(self.watches) >= MOST_WATCHERS:
            raise Refused(f"{MOST_WATCHERS} watch already")
        watch = Watch(prefix, after + 1, tell)
        if after + 1 < self.store.oldest:
            raise Compacted(self.store.oldest)
        self.watches.append(watch)
        self._tell(watch)
        return watch

    def unwatch(self, watch: Watch) -> None:
        """Tell it nothing more."""
        if watch in self.watches:
            self.watches.remove(watch)

    def _tell(self, watch: Watch) -> None:
        if self.store.revision < watch.next:
            return
        try:
            events = self.store.since(watch.next, watch.prefix)
        except Compacted:
            self.unwatch(watch)
            watch.tell(None)
            return
        watch.next = self.store.revision + 1
        if events:
            watch.tell(events)

    def _give_up(self, now: float) -> None:
        """On those who have waited for long enough."""
        for key in [k for k, w in self._commands.items() if w.until <= now]:
            self._commands.pop(key).tell(OutcomeUnknown("no word of it in time"))
        for context in [c for c, o in self._orders.items() if o.until <= now]:
            self._orders.pop(context).done(OutcomeUnknown("it has not come to be in time, but may yet"))
        for context in [c for c, r in self._reads.items() if r.until <= now]:
            self._reads.pop(context).done(OutcomeUnknown("no leader has confirmed the read in time"))

    # -- what Raft says is to be done

    def flush(self, now: float) -> None:
        """To be called after whatever may have given Raft something to do."""
        if self._flushing or self.disk_failed:
            return  # a call-back's: what it brought is seen to by the loop below
        self._flushing = True
        try:
            self._flush()
        finally:
            self._flushing = False

    def _flush(self) -> None:
        while not self.disk_failed:
            out = self.raft.out()
            if out.snapshot is not None:
                self._install(out.snapshot)
            if out.persists:
                self._persist(out.snapshot, out.hard, out.entries, out.after)
            elif out.after:
                self._batches.append(_Batch(out.after, True))
                self._release()
            for message in out.now:
                self.send(message)
            for entry in out.committed:
                self._apply(entry)
            self._ready += out.reads
            self._serve_reads()
            if out.committed or out.snapshot is not None:
                for watch in list(self.watches):
                    self._tell(watch)
                self._compact()
            if self._orders:
                self._look_at_orders()
            if self.raft.log.config is not self._config:
                self._config = self.raft.log.config
                self.on_config(self._config)
            if not (out.persists or out.after or out.now or out.committed or out.reads):
                return

    def _persist(
        self, snapshot: Snapshot | None, hard: HardState | None, entries: list[Entry], after: list[Message]
    ) -> None:
        if snapshot is not None:
            self.write_all()
        said = [records.pack(hard)] if hard is not None else []
        said += [records.pack(e) for e in entries]
        if not said:
            said = [records.pack(HardState(self.raft.term, self.raft.vote))]
        last = (entries[-1].index, entries[-1].term) if entries else None
        batch = _Batch(after, False, last)
        self._batches.append(batch)
        self.disk.append(said, lambda ok: self._on_disk(batch, ok))

    def _on_disk(self, batch: _Batch, ok: bool) -> None:
        if not ok:
            self.handle_disk_failure()
            return
        if batch not in self._batches:
            return  # of before a failure
        batch.on_disk = True
        if batch.last is not None:
            self.raft.persisted(*batch.last)
        self._release()

    def _release(self) -> None:
        while self._batches and self._batches[0].on_disk:
            for message in self._batches.popleft().after:
                self.send(message)

    def handle_disk_failure(self) -> None:
        """What was not on disk has been told to nobody, and nothing more is until `disk_is_back`."""
        if not self.disk_failed:
            self.disk_failed = True
            self._batches.clear()
            self.raft.give_up()
            # What was to be persisted or sent goes; what is committed and on disk is applied all the same.
            for entry in self.raft.out().committed:
                self._apply(entry)

    def disk_is_back(self, now: float) -> None:
        """All that we hold is on disk again."""
        self.disk_failed, self.raft.may_lead = False, True
        self._ticked = now
        self.raft.persisted(self.raft.log.last, self.raft.log.last_term)
        self.flush(now)

    def _install(self, snapshot: Snapshot) -> None:
        """A leader's snapshot has replaced our log."""
        self.store = Store.of(_plain(snapshot.data), self.history)
        self.applied, self.bytes = snapshot.index, 0
        for (client, number), waiting in list(self._commands.items()):
            session = self.store.sessions.get(client)
            if client and session is not None and session.number == number:
                del self._commands[client, number]
                waiting.tell(session.answer)

    def _apply(self, entry: Entry) -> None:
        self.applied = entry.index
        self.bytes += len(entry.data)
        if entry.kind != EntryKind.COMMAND:
            return
        try:
            command = unpack(entry.data)
        except msgspec.MsgspecError:
            return  # alike on every member
        answer = self.store.apply(command)
        waiting = self._commands.pop((command.client, command.number), None)
        if waiting is not None:
            waiting.tell(answer)

    def _serve_reads(self) -> None:
        later = []
        for context, index in self._ready:
            if index > self.applied:
                later.append((context, index))
                continue
            read = self._reads.pop(context, None)
            if read is not None:
                read.done(None)
        self._ready = later

    def _compact(self) -> None:
        done = self.applied - self.raft.log.snapshot.index
        if done < self.snapshot_every and self.bytes < SNAPSHOT_BYTES:
            return
        term = self.raft.log.term(self.applied)
        assert term is not None, "what was applied last is here"
        self.bytes = 0
        config = self.raft.log.config_as_of(self.applied)
        data = zstandard.ZstdCompressor(level=3).compress(self.store.image())
        self.raft.compact(Snapshot(self.applied, term, config, data), self.trailing)
        self.write_all()


def _plain(data: bytes) -> bytes:
    return zstandard.ZstdDecompressor().decompress(data) if data else b""
