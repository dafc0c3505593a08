"""A member in a running dispatcher: its log on disk, its transport and its ticks on the loop."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from msgspec.structs import replace

from eiderpin.core.counters import Counters
from eiderpin.durable.files import Files, Locked
from eiderpin.durable.frames import BadFormat, Record
from eiderpin.durable.log import Log, NotWritable
from eiderpin.durable.reading import Damaged
from eiderpin.net.loop import READ, Loop
from eiderpin.parts.store import StoreOptions
from eiderpin.store import identity
from eiderpin.store.anchor import Anchor
from eiderpin.store.log import EntryLog
from eiderpin.store.member import TICK_MS, Member
from eiderpin.store.messages import Config, Message
from eiderpin.store.raft import Role
from eiderpin.store.records import MemberIdentity, Restored, whole
from eiderpin.store.transport import Transport

if TYPE_CHECKING:
    from eiderpin.store.observer_server import ObserverServer

UNREADABLE = (Locked, BadFormat, Damaged, OSError)
TRY_AGAIN = 500.0  # ms between looks whether a failed disk has come back
CUT_OFF = 3000.0  # ms without a leader after which a member says that it is cut off


class LogDisk:
    """Implements `member.Disk` on `eiderpin.durable`."""

    def __init__(self, log: Log) -> None:
        """Write to this log."""
        self.log = log

    def append(self, said: list[Record], told: Callable[[bool], None]) -> None:
        """See `member.Disk`."""
        try:
            for record in said[:-1]:
                self.log.append(record.kind, record.version, record.body)
            last = said[-1]
            self.log.append(last.kind, last.version, last.body, told)
        except NotWritable:
            told(False)

    def checkpoint(self, all_of_it: Iterable[Record]) -> None:
        """See `member.Disk`."""
        # Packed here and now: what it is made from goes on changing.
        self.log.checkpoint(list(all_of_it))


class StoreHost:
    """Raises one of `UNREADABLE` where its directory cannot be had, and `ValueError` where it is
    another's."""

    def __init__(
        self, loop: Loop, counters: Counters, options: StoreOptions, rng: random.Random,
        say: Callable[[str], None], warn: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Read the directory, listen, and begin as its member."""
        self.loop, self.counters, self.options, self.say, self.warn = loop, counters, options, say, warn
        restored = Restored()
        self.log = Log(Files(options.folder), restored.apply)
        try:
            anchor = Anchor(options.folder)
            born = restored.born or MemberIdentity(
                options.cluster, options.name, anchor.new_disk(), anchor.read()
            )
            if (born.cluster, born.name) != (options.cluster, options.name):
                raise ValueError(
                    f"store.directory {options.folder}: it is that of member {born.name} of cluster "
                    f"{born.cluster}, and not of {options.name} of {options.cluster}"
                )
            written = restored.born
            new, alone = written is None, len(options.members) < 2 and not options.join
            if new and alone:
                mine = f"{options.listen[0]}:{options.listen[1]}" if options.listen is not None else ""
                voters = options.members or {options.name: mine}
                restored = Member.first(born, voters, {options.name: born.disk})
            elif new:
                restored = Restored(born)
            elif not born.disk:  # written before disks had identities
                born = replace(born, disk=anchor.new_disk(), anchor=anchor.read())
            elif identity.copied(born, anchor.read()) and self.alone(restored):
                born = replace(born, anchor=anchor.read())  # it has promised nobody anything
            elif identity.copied(born, anchor.read()):
                born = replace(born, disk=anchor.new_disk(), anchor=anchor.make())
                warn(
                    f"store.directory {options.folder}: it is a copy of member {born.name}'s, perhaps an old "
                    "one: it has no vote until a leader has taken it in again"
                )
            if born != written:
                restored.born = born
                rows = whole(born, restored.hard, restored.snapshot, restored.entries)
                self.log.checkpoint(list(rows))
                self.log.push()
            self.founding: identity.Founding | None = None
            if not restored.entries and not restored.head.index and not options.join:
                self.founding = identity.Founding(born.name, born.disk, options.members)
            self.transport: Transport | None = None
            if options.listen is not None:
                self.transport = Transport(
                    loop, counters, options.cluster, options.name, options.listen, self.hear, rng, warn,
                    born.disk, born.generation,
                )  # fmt: skip
        except BaseException:
            self.log.close()
            raise
        self.member = Member(born, restored, LogDisk(self.log), self.send, rng, loop.clock.now())
        self.member.on_config = self.met
        self.begun_at, self.told_missing = loop.clock.now(), False
        self.replaced = False  # another disk has our name, the others say
        self.observers: ObserverServer | None = None  # where observers are served here
        if self.transport is not None:
            self.transport.has_log = lambda: self.member.raft.log.last > 0
            self.transport.adopt, self.transport.is_retired = self.adopt, self.is_retired
            self.transport.on_replaced = self.note_replaced
            if self.founding is not None:
                self.transport.met_disk = self.founding.hear
        self.met(self.member.raft.log.config)
        self.led_by, self.removed = "", False
        loop.selector.register(self.log, READ, lambda mask: self.settle())
        self.tick()

    @staticmethod
    def alone(restored: Restored) -> bool:
        """Whether a directory is that of the only voter there is."""
        return len(EntryLog(restored.snapshot, restored.entries).config.voters) == 1

    def send(self, message: Message) -> None:
        """Give a message to the transport; it may be lost."""
        if self.transport is not None:
            self.transport.send(message)

    def hear(self, message: Message) -> None:
        """A message has come."""
        self.member.hear(message, self.loop.clock.now())

    def met(self, config: Config) -> None:
        """Learn the members' addresses; those that our own file names help until the log is here."""
        if self.transport is not None:
            self.transport.members({**self.options.members, **config.all()} if not config.voters
                                   else config.all())  # fmt: skip

    def is_retired(self, name: str, disk: str) -> bool:
        """Whether another disk has taken the place of this one."""
        config = self.member.raft.log.config
        return disk in config.retired and name in config.all()

    def note_replaced(self) -> None:
        """The others say that another disk has our name."""
        self.replaced = True

    def adopt(self, generation: int) -> None:
        """With an empty log we come into whatever generation the cluster is in."""
        self.member.identity = replace(self.member.identity, generation=generation)
        self.member.write_all()
        if self.transport is not None:
            self.transport.generation = generation

    def found(self, now: float) -> None:
        """Begin a new cluster, once all of its first members have been met."""
        founding = self.founding
        if founding is None:
            return
        if self.member.raft.log.last:
            self.founding = None  # somebody else did, and a leader has told us
            return
        config = founding.config()
        if config is not None:
            self.say(f"store: begins cluster {self.options.cluster} with {', '.join(sorted(config.voters))}")
            self.member.found(config, now)
        elif not self.told_missing and now > self.begun_at + CUT_OFF:
            self.told_missing = True
            if founding.there_is_one:
                self.warn("store: nothing is here, and others have a log: waits for their leader")
            else:
                missing = ", ".join(founding.missing()) or min(founding.members)
                self.warn(f"store: a cluster begins once all first members are there; waits for {missing}")

    def tick(self) -> None:
        """Let time pass for the member, and do so again."""
        now = self.loop.clock.now()
        self.found(now)
        self.member.tick(now)
        self.loop.deadlines.set(now + TICK_MS, self.tick)
        leader, removed = self.member.raft.leader, self.member.raft.removed
        if removed and not self.removed:
            self.warn("store: this member has been removed; it keeps what it knew, and takes no changes")
        self.removed = removed
        if leader != self.led_by:
            self.led_by = leader
            if leader:
                self.say(f"store: {leader} leads in term {self.member.raft.term}")

    def settle(self) -> None:
        """Called by the loop when the log's flusher has something to tell."""
        failed = self.log.failed
        self.log.settle()
        if failed is None and self.log.failed is not None:
            self.counters.add("store.disk_failed")
            self.warn(f"the store's disk takes nothing; this member only reads: {self.log.failed}")
            self.member.handle_disk_failure()
            self.look_again()
        self.member.flush(self.loop.clock.now())

    def look_again(self) -> None:
        """See whether a disk that failed takes writes again."""
        if self.log.came_back():
            self.say("the store's disk is back")
            self.member.disk_is_back(self.loop.clock.now())
            return
        self.log.try_again(self.member.all_records())
        self.loop.deadlines.set(self.loop.clock.now() + TRY_AGAIN, self.look_again)

    def push(self) -> None:
        """Write what has been appended since the last turn."""
        self.log.push()

    @property
    def cut_off(self) -> bool:
        """Whether no leader has been heard of for a while: changes fail here, and reads are old."""
        return self.loop.clock.now() > self.member.last_leader_contact_ms + CUT_OFF

    def status(self) -> dict[str, object]:
        """How the member stands, for operators."""
        raft, store = self.member.raft, self.member.store
        peers = {
            name: {"match": p.match, "mode": p.mode.value, "active": p.active}
            for name, p in raft.peers.items()
        }
        return {
            "name": raft.name, "cluster": self.options.cluster, "role": raft.role.value,
            "leader": raft.leader, "term": raft.term, "last": raft.log.last, "commit": raft.commit,
            "applied": self.member.applied, "snapshot": raft.log.snapshot.index, "revision": store.revision,
            "documents": len(store.documents), "bytes": store.bytes, "leases": len(store.leases),
            "watches": len(self.member.watches), "disk_fails": self.member.disk_failed,
            "cut_off": self.cut_off,
            "voters": raft.log.config.voters, "learners": raft.log.config.learners,
            "standbys": raft.log.config.standbys,
            "disk": raft.disk, "disks": raft.log.config.disks, "retired": raft.log.config.retired,
            "generation": self.member.identity.generation,
            "waits_for": self.founding.missing() if self.founding is not None else [],
            "peers": peers if raft.role is Role.LEADER else {}, "removed": raft.removed,
            "observers": self.observers.status() if self.observers is not None else None,
        }  # fmt: skip

    def close(self) -> None:
        """Give the directory up; a leader hands its place over as far as that goes without waiting."""
        if self.observers is not None:
            self.observers.close()
        if self.transport is not None:
            self.transport.close()
        self.log.close()
