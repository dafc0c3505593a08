"""Runs a store member in a dispatcher: its log on disk, its transport, and its ticks on the event loop."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from msgspec.structs import replace

from eiderpin.core.counters import Counters
from eiderpin.durable.files import DirectoryLockedError, Files
from eiderpin.durable.frames import FormatError, Record
from eiderpin.durable.log import Log, LogNotWritableError
from eiderpin.durable.reading import LogDamagedError
from eiderpin.net.connection import READ
from eiderpin.net.loop import Loop
from eiderpin.parts.store import StoreOptions
from eiderpin.store import identity
from eiderpin.store.anchor import Anchor
from eiderpin.store.log import EntryLog
from eiderpin.store.member import TICK_MS, Member
from eiderpin.store.messages import Config, Message
from eiderpin.store.raft import Role
from eiderpin.store.records import MemberIdentity, RestoredState, checkpoint_records
from eiderpin.store.transport import Transport

if TYPE_CHECKING:
    from eiderpin.store.observer_server import ObserverServer

# Raised where the directory of a member cannot be used.
UNREADABLE = (DirectoryLockedError, FormatError, LogDamagedError, OSError)
DISK_RETRY_MS = 500.0  # between two attempts to write to a disk that has failed
CUT_OFF_MS = 3000.0  # a member without a leader for this long counts as cut off


class LogDisk:
    """Implements `member.Disk` with a log of `eiderpin.durable`."""

    def __init__(self, log: Log) -> None:
        """Write to `log`."""
        self.log = log

    def append(self, new_records: list[Record], on_done: Callable[[bool], None]) -> None:
        """See `member.Disk`."""
        try:
            for record in new_records[:-1]:
                self.log.append(record.kind, record.version, record.body)
            last = new_records[-1]
            self.log.append(last.kind, last.version, last.body, on_done)
        except LogNotWritableError:
            on_done(False)

    def checkpoint(self, all_records: Iterable[Record]) -> None:
        """See `member.Disk`."""
        # Encoded at once, because the state that the records are made from keeps changing.
        self.log.checkpoint(list(all_records))


class StoreHost:
    """The store member of this dispatcher."""

    def __init__(
        self, loop: Loop, counters: Counters, options: StoreOptions, rng: random.Random,
        log_info: Callable[[str], None], log_warning: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Read the member's directory, listen for other members, and start the member.

        Args:
            loop: The event loop.
            counters: Counts failures.
            options: The settings of the store.
            rng: Draws timeouts and ids.
            log_info, log_warning: Write log lines for operators.

        Raises:
            UNREADABLE: The directory cannot be used; one of the errors of that tuple.
            ValueError: The directory belongs to another member.
        """
        self.loop, self.counters, self.options, self.log_info, self.log_warning = (
            loop,
            counters,
            options,
            log_info,
            log_warning,
        )
        restored = RestoredState()
        self.log = Log(Files(options.folder), restored.apply)
        try:
            anchor = Anchor(options.folder)
            own_identity = restored.identity or MemberIdentity(
                options.cluster, options.name, anchor.new_disk_id(), anchor.fingerprint()
            )
            if (own_identity.cluster, own_identity.name) != (options.cluster, options.name):
                raise ValueError(
                    f"store.directory {options.folder}: it is that of member {own_identity.name} of cluster "
                    f"{own_identity.cluster}, and not of {options.name} of {options.cluster}"
                )
            stored_identity = restored.identity
            is_new, is_single = stored_identity is None, len(options.members) < 2 and not options.join
            if is_new and is_single:
                own_address = f"{options.listen[0]}:{options.listen[1]}" if options.listen is not None else ""
                voters = options.members or {options.name: own_address}
                restored = Member.initial_state(own_identity, voters, {options.name: own_identity.disk})
            elif is_new:
                restored = RestoredState(own_identity)
            elif not own_identity.disk:  # written before disks had ids
                own_identity = replace(own_identity, disk=anchor.new_disk_id(), anchor=anchor.fingerprint())
            elif identity.is_copy(own_identity, anchor.fingerprint()) and self.is_only_voter(restored):
                # The only voter has acknowledged nothing to other members, so it keeps its disk id.
                own_identity = replace(own_identity, anchor=anchor.fingerprint())
            elif identity.is_copy(own_identity, anchor.fingerprint()):
                own_identity = replace(own_identity, disk=anchor.new_disk_id(), anchor=anchor.recreate())
                log_warning(
                    f"store.directory {options.folder}: it is a copy of member {own_identity.name}'s, "
                    "perhaps an old one: it has no vote until a leader has readmitted it"
                )
            if own_identity != stored_identity:
                restored.identity = own_identity
                checkpoint = checkpoint_records(
                    own_identity, restored.hard, restored.snapshot, restored.entries
                )
                self.log.checkpoint(list(checkpoint))
                self.log.push()
            self.cluster_bootstrap: identity.ClusterBootstrap | None = None
            if not restored.entries and not restored.snapshot_head.index and not options.join:
                self.cluster_bootstrap = identity.ClusterBootstrap(
                    own_identity.name, own_identity.disk, options.members
                )
            self.transport: Transport | None = None
            if options.listen is not None:
                self.transport = Transport(
                    loop, counters, options.cluster, options.name, options.listen, self.receive, rng,
                    log_warning, own_identity.disk, own_identity.generation,
                )  # fmt: skip
        except BaseException:
            self.log.close()
            raise
        self.member = Member(own_identity, restored, LogDisk(self.log), self.send, rng, loop.clock.now())
        self.member.on_config = self.update_addresses
        self.started_at, self.missing_reported = loop.clock.now(), False
        self.replaced = False  # other members know another disk by our name
        self.observers: ObserverServer | None = None  # if this member serves observers
        if self.transport is not None:
            self.transport.has_log = lambda: self.member.raft.log.last > 0
            self.transport.adopt_generation, self.transport.is_retired = (
                self.adopt_generation,
                self.is_retired,
            )
            self.transport.on_replaced = self.mark_replaced
            if self.cluster_bootstrap is not None:
                self.transport.on_peer_hello = self.cluster_bootstrap.record_member
        self.update_addresses(self.member.raft.log.config)
        self.reported_leader, self.removal_reported = "", False
        loop.selector.register(self.log, READ, lambda mask: self.handle_log_events())
        self.tick()

    @staticmethod
    def is_only_voter(restored: RestoredState) -> bool:
        """Return whether a directory belongs to the only voter of its cluster."""
        return len(EntryLog(restored.snapshot, restored.entries).config.voters) == 1

    def send(self, message: Message) -> None:
        """Send a message to another member; it may be lost."""
        if self.transport is not None:
            self.transport.send(message)

    def receive(self, message: Message) -> None:
        """Handle a message from another member."""
        self.member.receive(message, self.loop.clock.now())

    def update_addresses(self, config: Config) -> None:
        """Update the members' addresses; without a configuration, those in the settings are used as well."""
        if self.transport is not None:
            self.transport.set_addresses({**self.options.members, **config.all()} if not config.voters
                                         else config.all())  # fmt: skip

    def is_retired(self, name: str, disk: str) -> bool:
        """Return whether this disk of a member has been replaced by another."""
        config = self.member.raft.log.config
        return disk in config.retired and name in config.all()

    def mark_replaced(self) -> None:
        """Note that other members know another disk by our name."""
        self.replaced = True

    def adopt_generation(self, generation: int) -> None:
        """Join the cluster's generation, as a member with an empty log."""
        self.member.identity = replace(self.member.identity, generation=generation)
        self.member.write_checkpoint()
        if self.transport is not None:
            self.transport.generation = generation

    def try_bootstrap(self, now: float) -> None:
        """Create a new cluster, once all of its initial members have been discovered."""
        bootstrap = self.cluster_bootstrap
        if bootstrap is None:
            return
        if self.member.raft.log.last:
            self.cluster_bootstrap = None  # another member created it, and its leader has sent us the log
            return
        config = bootstrap.initial_config()
        if config is not None:
            self.log_info(
                f"store: begins cluster {self.options.cluster} with {', '.join(sorted(config.voters))}"
            )
            self.member.bootstrap(config, now)
        elif not self.missing_reported and now > self.started_at + CUT_OFF_MS:
            self.missing_reported = True
            if bootstrap.log_exists:
                self.log_warning("store: nothing is here, and others have a log: waits for their leader")
            else:
                missing = ", ".join(bootstrap.missing_members()) or min(bootstrap.members)
                self.log_warning(
                    "store: the cluster is created once all initial members are connected; "
                    f"waits for {missing}"
                )

    def tick(self) -> None:
        """Advance the member, and schedule the next tick."""
        now = self.loop.clock.now()
        self.try_bootstrap(now)
        self.member.tick(now)
        self.loop.deadlines.set(now + TICK_MS, self.tick)
        leader, is_removed = self.member.raft.leader, self.member.raft.is_removed
        if is_removed and not self.removal_reported:
            self.log_warning("store: this member has been removed; it keeps its data, and accepts no changes")
        self.removal_reported = is_removed
        if leader != self.reported_leader:
            self.reported_leader = leader
            if leader:
                self.log_info(f"store: {leader} leads in term {self.member.raft.term}")

    def handle_log_events(self) -> None:
        """Handle completed and failed writes; called by the loop when the log's flusher reports any."""
        earlier_failure = self.log.failed
        self.log.settle()
        if earlier_failure is None and self.log.failed is not None:
            self.counters.add("store.disk_failed")
            self.log_warning(f"the store's disk takes nothing; this member only reads: {self.log.failed}")
            self.member.handle_disk_failure()
            self.retry_disk()
        self.member.flush(self.loop.clock.now())

    def retry_disk(self) -> None:
        """Check whether a disk that has failed accepts writes again."""
        if self.log.finish_rewrite():
            self.log_info("the store's disk is back")
            self.member.handle_disk_recovery(self.loop.clock.now())
            return
        self.log.start_rewrite(self.member.all_records())
        self.loop.deadlines.set(self.loop.clock.now() + DISK_RETRY_MS, self.retry_disk)

    def push(self) -> None:
        """Start to write the records that were appended since the last turn of the loop."""
        self.log.push()

    @property
    def cut_off(self) -> bool:
        """Whether there has been no leader for a while, so that changes fail and reads may be stale."""
        return self.loop.clock.now() > self.member.last_leader_contact_ms + CUT_OFF_MS

    def status(self) -> dict[str, object]:
        """Return the state of the member, for operators."""
        raft, store = self.member.raft, self.member.store
        peers = {
            name: {"match": peer.match, "mode": peer.mode.value, "active": peer.active}
            for name, peer in raft.peers.items()
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
            "waits_for":
                self.cluster_bootstrap.missing_members() if self.cluster_bootstrap is not None else [],
            "peers": peers if raft.role is Role.LEADER else {}, "removed": raft.is_removed,
            "observers": self.observers.status() if self.observers is not None else None,
        }  # fmt: skip

    def close(self) -> None:
        """Close the connections and the directory."""
        if self.observers is not None:
            self.observers.close()
        if self.transport is not None:
            self.transport.close()
        self.log.close()
