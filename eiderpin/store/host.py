"""A member in a running dispatcher: its log on disk, its transport and its ticks on the loop."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from eiderpin.core.counters import Counters
from eiderpin.durable.files import Files, Locked
from eiderpin.durable.frames import BadFormat, Record
from eiderpin.durable.log import Log, NotWritable
from eiderpin.durable.reading import Damaged
from eiderpin.net.loop import READ, Loop
from eiderpin.parts.store import Options
from eiderpin.store.member import TICK, Member
from eiderpin.store.messages import Config, Hard, Message, Snapshot
from eiderpin.store.raft import Role
from eiderpin.store.records import Born, Restored, whole
from eiderpin.store.transport import Transport

UNREADABLE = (Locked, BadFormat, Damaged, OSError)
TRY_AGAIN = 500.0  # ms between looks whether a failed disk has come back
CUT_OFF = 3000.0  # ms without a leader after which a member says that it is cut off


class LogDisk:
    """Implements `member.Disk` on `eiderpin.durable`."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def append(self, said: list[Record], told: Callable[[bool], None]) -> None:
        try:
            for record in said[:-1]:
                self.log.append(record.kind, record.version, record.body)
            last = said[-1]
            self.log.append(last.kind, last.version, last.body, told)
        except NotWritable:
            told(False)

    def checkpoint(self, all_of_it: Iterable[Record]) -> None:
        # Packed here and now: what it is made from goes on changing.
        self.log.checkpoint(list(all_of_it))


class StoreHost:
    """Raises one of `UNREADABLE` where its directory cannot be had, and `ValueError` where it is
    another's."""

    def __init__(
        self, loop: Loop, counters: Counters, options: Options, rng: random.Random,
        say: Callable[[str], None], warn: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.loop, self.counters, self.options, self.say, self.warn = loop, counters, options, say, warn
        restored = Restored()
        self.log = Log(Files(options.folder), restored.apply)
        try:
            born = restored.born or Born(options.cluster, options.name)
            if (born.cluster, born.name) != (options.cluster, options.name):
                raise ValueError(
                    f"store.directory {options.folder}: it is that of member {born.name} of cluster "
                    f"{born.cluster}, and not of {options.name} of {options.cluster}"
                )
            new = restored.born is None
            if new and not options.join:
                mine = f"{options.listen[0]}:{options.listen[1]}" if options.listen is not None else ""
                restored = Member.first(born, options.members or {options.name: mine})
            elif new:
                restored = Restored(born)
            if new:
                self.log.checkpoint(list(whole(born, Hard(), Snapshot(), restored.entries)))
                self.log.push()
            self.transport: Transport | None = None
            if options.listen is not None:
                self.transport = Transport(
                    loop, counters, options.cluster, options.name, options.listen, self.hear, rng, warn
                )
        except BaseException:
            self.log.close()
            raise
        self.member = Member(born, restored, LogDisk(self.log), self.send, rng, loop.clock.now())
        self.member.on_config = self.met
        self.met(self.member.raft.log.config)
        self.led_by, self.removed = "", False
        loop.selector.register(self.log, READ, lambda mask: self.settle())
        self.tick()

    def send(self, message: Message) -> None:
        if self.transport is not None:
            self.transport.send(message)

    def hear(self, message: Message) -> None:
        self.member.hear(message, self.loop.clock.now())

    def met(self, config: Config) -> None:
        """Learn the members' addresses; those that our own file names help until the log is here."""
        if self.transport is not None:
            self.transport.members({**self.options.members, **config.all()} if not config.voters
                                   else config.all())  # fmt: skip

    def tick(self) -> None:
        now = self.loop.clock.now()
        self.member.tick(now)
        self.loop.deadlines.set(now + TICK, self.tick)
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
            self.member.disk_failed()
            self.look_again()
        self.member.flush(self.loop.clock.now())

    def look_again(self) -> None:
        if self.log.came_back():
            self.say("the store's disk is back")
            self.member.disk_is_back(self.loop.clock.now())
            return
        self.log.try_again(self.member.all_records())
        self.loop.deadlines.set(self.loop.clock.now() + TRY_AGAIN, self.look_again)

    def push(self) -> None:
        self.log.push()

    @property
    def cut_off(self) -> bool:
        """Whether no leader has been heard of for a while: changes fail here, and reads are old."""
        return self.loop.clock.now() > self.member.heard_at + CUT_OFF

    def status(self) -> dict[str, object]:
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
            "watches": len(self.member.watches), "disk_fails": self.member.failed, "cut_off": self.cut_off,
            "voters": raft.log.config.voters, "learners": raft.log.config.learners,
            "peers": peers if raft.role is Role.LEADER else {}, "removed": raft.removed,
        }  # fmt: skip

    def close(self) -> None:
        """Give the directory up; a leader hands its place over as far as that goes without waiting."""
        if self.transport is not None:
            self.transport.close()
        self.log.close()
