"""One member of the replicated store: its Raft state, its documents, and the calls that wait for either.

The member decides in which order things are written to disk, sent to other members and answered to clients.
It reaches the disk through `Disk` and the other members through a callback; the caller passes in the time.
"""

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
from eiderpin.store.deferred_changes import DeferredChanges
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
from eiderpin.store.raft import MAX_LEARNER_LAG_ENTRIES, NotLeader, NotSafeYet, Raft, Refused, Role
from eiderpin.store.records import MemberIdentity, RestoredState
from eiderpin.store.state import Answer, Command, Compacted, Event, Expire, Operation, Store, pack, unpack

TICK_MS = 50.0
SNAPSHOT_EVERY_ENTRIES = 10_000  # applied since the last snapshot, after which the next one is made
SNAPSHOT_EVERY_BYTES = 16 << 20  # the same in bytes of entries; whichever limit is reached first
TRAILING_ENTRIES = 1_000  # kept from before a snapshot, for members that are slightly behind
MAX_PENDING_CALLS = 10_000  # of commands, and of reads, that wait at this member
MAX_WATCHES = 1_000
LEASE_CLOCK_INTERVAL_MS = 200.0  # at which a leader advances the store's clock while leases exist
MAX_CATCH_UP_TICKS = 4  # made up for at once; a process that was suspended must not campaign because of it


class Disk(Protocol):
    """A log on disk."""

    def append(self, new_records: list[Record], on_done: Callable[[bool], None]) -> None:
        """Write records in order; `on_done` is called later, in order, with whether they are on disk."""
        ...

    def checkpoint(self, all_records: Iterable[Record]) -> None:
        """Replace everything that was appended so far by these records; later appends follow them."""
        ...


class OutcomeUnknown(Exception):
    """No answer is known, so the command may or may not have been carried out.

    The client may retry it with the same number.
    """


OnAnswer = Callable[[Answer | Exception], None]


@dataclass(slots=True)
class Watch:
    """A subscription to the events of documents whose names begin with `prefix`, from revision `next` on.

    `notify` gets None if the watch has to start anew, because the events that it needs are compacted.
    """

    prefix: str
    next: int
    notify: Callable[[list[Event] | None], None]


@dataclass(slots=True)
class _Batch:
    messages: list[Message]
    is_persisted: bool
    last_entry: tuple[int, int] | None = None  # index and term of the last entry in it


@dataclass(slots=True)
class _PendingRead:
    on_done: Callable[[Exception | None], None]
    deadline_ms: float
    index: int | None = None


@dataclass(slots=True)
class _PendingChange:
    what: str
    name: str
    on_done: Callable[[Exception | None], None]
    deadline_ms: float
    accepted: bool = False  # the leader has accepted it


@dataclass(slots=True)
class _PendingCommand:
    on_done: OnAnswer
    deadline_ms: float
    duplicates: list[OnAnswer] = field(default_factory=list)

    def complete(self, answer: Answer | Exception) -> None:
        for on_done in (self.on_done, *self.duplicates):
            on_done(answer)


class Member:
    """One member of the store. All times are monotonic, in ms."""

    def __init__(
        self, member_identity: MemberIdentity, restored: RestoredState, disk: Disk,
        send: Callable[[Message], None], rng: random.Random, now: float, raft: type[Raft] = Raft,
        snapshot_every: int = SNAPSHOT_EVERY_ENTRIES, trailing: int = TRAILING_ENTRIES, history: int = 10_000,
    ) -> None:  # fmt: skip
        """Start with the state that was read from disk.

        Args:
            member_identity: Which member this is, and on which disk.
            restored: The state on disk.
            disk: Where the log is written.
            send: Sends a message to another member; it may be lost.
            rng: Draws election timeouts and command numbers.
            now: The current time.
            raft: The class of the Raft state; tests pass faulty ones.
            snapshot_every: Entries between two snapshots.
            trailing: Entries that are kept from before a snapshot.
            history: Events that are kept for watches.
        """
        self.identity, self.disk, self.send, self.rng = member_identity, disk, send, rng
        self.snapshot_every, self.trailing, self.history = snapshot_every, trailing, history
        snapshot = restored.snapshot
        self.raft = raft(
            member_identity.name, restored.hard, snapshot, restored.entries, rng, member_identity.disk
        )
        self.store = Store.from_image(_decompress(snapshot.data), history)
        self.applied = snapshot.index
        self.disk_failed = False  # the disk does not accept writes
        self.bytes_since_snapshot = 0  # of the entries that were applied
        self.watches: list[Watch] = []
        self.on_config: Callable[[Config], None] = lambda config: None
        self._config: Config | None = None
        self._batches: deque[_Batch] = deque()
        self._pending_commands: dict[tuple[str, int], _PendingCommand] = {}
        self._pending_reads: dict[int, _PendingRead] = {}
        self._pending_changes: dict[int, _PendingChange] = {}
        self._deferred_changes = DeferredChanges()
        self._confirmed_reads: list[tuple[int, int]] = []
        self._last_context = rng.getrandbits(40)
        self._last_tick_ms, self._lease_clock_ms = now, now
        self._had_leases = False
        self.last_leader_contact_ms = now
        self._flushing = False
        self.flush(now)

    # -- creating a cluster

    @staticmethod
    def initial_state(
        member_identity: MemberIdentity, voters: dict[str, str], disks: dict[str, str] | None = None
    ) -> RestoredState:
        """Return the state that every initial member of a new cluster starts with."""
        config = Config(voters, {}, disks or {})
        return RestoredState(
            member_identity, HardState(), [Entry(1, 0, int(EntryKind.CONFIG), config.pack())]
        )

    def bootstrap(self, config: Config, now: float) -> None:
        """Create a new cluster with these members, all of which have empty logs."""
        self.raft.bootstrap(config)
        self.flush(now)

    def all_records(self) -> list[Record]:
        """Return the complete state of this member as records for the disk."""
        log = self.raft.log
        hard = HardState(self.raft.term, self.raft.vote)
        entries = [e for e in log.entries if e.index > log.snapshot.index]
        return list(records.checkpoint_records(self.identity, hard, log.snapshot, entries))

    def write_checkpoint(self) -> None:
        """Write the complete state to disk as a checkpoint."""
        self.disk.checkpoint(self.all_records())

    # -- time and messages

    def tick(self, now: float) -> None:
        """Advance the member to the current time; to be called about every `TICK_MS`."""
        ticks = int((now - self._last_tick_ms) / TICK_MS)
        self._last_tick_ms = now if ticks > MAX_CATCH_UP_TICKS else self._last_tick_ms + ticks * TICK_MS
        if not self.disk_failed:
            for _ in range(min(ticks, MAX_CATCH_UP_TICKS)):
                self.raft.tick()
            self._advance_lease_clock(now)
            self._admit_unknown_disks()
            self._promote_learners()
            for deferred in self._deferred_changes.take():
                self._handle_change_request(deferred.request, now, deferred.until)
        if self.raft.leader:
            self.last_leader_contact_ms = now
        self._expire_pending(now)
        self.flush(now)

    def receive(self, message: Message, now: float) -> None:
        """Handle a message from another member."""
        if self.disk_failed:
            return  # nothing of it could be persisted
        if isinstance(message, MembershipRequest):
            self._handle_change_request(message, now)
        elif isinstance(message, MembershipResponse):
            self._handle_change_response(message)
        else:
            self.raft.step(message)
        self.flush(now)

    # -- membership

    def change_membership(
        self, what: str, name: str, address: str, on_done: Callable[[Exception | None], None], now: float,
        timeout_ms: float,
    ) -> None:  # fmt: skip
        """Change the membership, or forward the change to the leader.

        Args:
            what: `add` (a learner that becomes a voter once it has caught up), `add-standby` (a learner that
                stays one), `promote` (a standby to a voter), `remove`, or `transfer` (leadership).
            name: The member.
            address: Its address, where one is added.
            on_done: Called with None when the change is in effect, or with the error.
            now: The current time.
            timeout_ms: After this, `on_done` is called with `OutcomeUnknown`.
        """
        self._last_context += 1
        context, own_name = self._last_context, self.identity.name
        self._pending_changes[context] = _PendingChange(what, name, on_done, now + timeout_ms)
        leader = own_name if self.raft.role is Role.LEADER else self.raft.leader
        request = MembershipRequest(own_name, leader, self.raft.term, context, what, name, address)
        if leader == own_name:
            self._handle_change_request(request, now)
        elif leader:
            self.send(request)
        else:
            del self._pending_changes[context]
            on_done(NotLeader(""))
        self.flush(now)

    def _handle_change_request(
        self, request: MembershipRequest, now: float, deferred_until: float | None = None
    ) -> None:
        """Carry out a membership change, or defer it while it is not safe yet, and respond to who asked."""
        try:
            error = self._execute_change(request.what, request.name, request.address)
        except NotSafeYet as not_yet:
            error = str(not_yet)
            if self._deferred_changes.add(request, error, now, deferred_until):
                return
        own_name = self.identity.name
        if request.frm == own_name and self.raft.role is not Role.LEADER:  # it lost the lead meanwhile
            change = self._pending_changes.pop(request.context, None)
            if change is not None:
                change.on_done(NotLeader(self.raft.leader))
            return
        response = MembershipResponse(own_name, request.frm, self.raft.term, request.context, error)
        if request.frm == own_name:
            self._handle_change_response(response)
        else:
            self.send(response)

    def _handle_change_response(self, response: MembershipResponse) -> None:
        """Note that the leader has begun a change that was requested here, or refuses it."""
        change = self._pending_changes.get(response.context)
        if change is None:
            return
        change.accepted = True
        if response.error:
            del self._pending_changes[response.context]
            change.on_done(Refused(response.error))

    def _execute_change(self, what: str, name: str, address: str) -> str:
        """Carry out a membership change as the leader; return why it is refused, or an empty string.

        Raises `NotSafeYet`.
        """
        config = self.raft.log.config
        try:
            if what == "transfer":
                self.raft.transfer_leadership(name)
            elif what == "remove":
                if name not in config.all():
                    return f"{name!r} is no member; there are {', '.join(sorted(config.all()))}"
                voters = {n: a for n, a in config.voters.items() if n != name}
                learners = {n: a for n, a in config.learners.items() if n != name}
                self.raft.change_config(identity.with_members(config, voters, learners))
            elif what == "promote":
                if name not in config.standbys:
                    return f"{name!r} is no standby; there are {', '.join(config.standbys) or 'none'}"
                remaining = [standby for standby in config.standbys if standby != name]
                self.raft.change_config(replace(config, standbys=remaining))
            elif name in config.all():
                return f"{name!r} is a member already, at {config.all()[name]}"
            elif address in config.all().values():
                return f"{address} is the address of another member"
            else:
                learners = {**config.learners, name: address}
                changed = identity.with_members(config, config.voters, learners)
                if what == "add-standby":
                    changed = replace(changed, standbys=[*changed.standbys, name])
                self.raft.change_config(changed)
        except NotSafeYet:
            raise
        except (NotLeader, Refused) as error:
            return str(error)
        return ""

    def _promote_learners(self) -> None:
        """Make a voter of a learner that has caught up, unless it is a standby."""
        config, raft = self.raft.log.config, self.raft
        if raft.role is not Role.LEADER or not config.learners or raft.log.config_index > raft.commit:
            return
        for name in sorted(config.learners.keys() - set(config.standbys)):
            peer = raft.peers[name]
            if peer.match and peer.active and peer.match + MAX_LEARNER_LAG_ENTRIES >= raft.log.last:
                learners = {n: a for n, a in config.learners.items() if n != name}
                with contextlib.suppress(Refused):
                    voters = {**config.voters, name: config.learners[name]}
                    raft.change_config(identity.with_members(config, voters, learners))
                return

    def _admit_unknown_disks(self) -> None:
        """Add the disks of members whose disk is not known, and readmit a member that lost its disk."""
        raft = self.raft
        if raft.role is not Role.LEADER or not raft.unknown_disks or raft.log.config_index > raft.commit:
            return
        config = identity.admit_unknown_disk(raft.log.config, raft.unknown_disks, raft.last_heard, raft.ticks)
        if config is not None:
            with contextlib.suppress(Refused):
                raft.change_config(config)

    def _complete_changes(self) -> None:
        """Complete the membership changes that are in effect."""
        raft = self.raft
        config = raft.log.config_as_of(max(raft.commit, raft.log.base))
        for context, change in list(self._pending_changes.items()):
            was_removed = raft.is_removed and (change.what, change.name) == ("remove", raft.name)
            if not change.accepted and not was_removed:
                continue  # the condition may have held before the request
            if change.what == "transfer":
                is_done = raft.leader == change.name and raft.role is not Role.CANDIDATE
            elif change.what == "add-standby":
                is_done = change.name in config.standbys
            elif change.what == "remove":
                is_done = change.name not in config.all()
            else:
                is_done = change.name in config.voters
            if is_done or was_removed:
                del self._pending_changes[context]
                change.on_done(None)

    def _advance_lease_clock(self, now: float) -> None:
        """As leader, advance the store's clock by the elapsed time while there are leases."""
        has_leases = bool(self.store.leases)
        if not has_leases or not self._had_leases or self.raft.role is not Role.LEADER:
            self._lease_clock_ms = now
        elif now >= self._lease_clock_ms + LEASE_CLOCK_INTERVAL_MS:
            elapsed_ms, self._lease_clock_ms = now - self._lease_clock_ms, now
            at = self.store.now + elapsed_ms
            self._propose(Command("", self.rng.getrandbits(53), Expire(at)))
        self._had_leases = has_leases and self.raft.role is Role.LEADER

    def _propose(self, command: Command) -> bool:
        try:
            self.raft.propose([pack(command)])
        except (NotLeader, Refused):
            return False
        return True

    # -- clients

    def submit(
        self, client: str, number: int, op: Operation, on_done: OnAnswer, now: float, timeout_ms: float
    ) -> None:
        """Submit a command of a client session; repeating one that is pending adds another callback.

        Args:
            client: The client session; empty if the command belongs to none.
            number: The number of the command in the session.
            op: What to do.
            on_done: Called with the answer, with `NotLeader` or `Refused` if the command was not accepted, or
                with `OutcomeUnknown`.
            now: The current time.
            timeout_ms: After this, `on_done` is called with `OutcomeUnknown`.
        """
        key = (client, number)
        pending = self._pending_commands.get(key)
        if pending is not None:
            pending.duplicates.append(on_done)
            return
        try:
            self._check_accepting(len(self._pending_commands))
            self.raft.propose([pack(Command(client, number, op))])
        except (NotLeader, Refused) as error:
            on_done(error)
            return
        self._pending_commands[key] = _PendingCommand(on_done, now + timeout_ms)
        self.flush(now)

    def _check_accepting(self, waiting: int) -> None:
        """Check that this member accepts another call.

        Raises:
            NotLeader: Another member has to be asked, as this one has been removed or its disk fails.
            Refused: Too many calls wait already.
        """
        if self.disk_failed:
            raise NotLeader("", "the disk of this member fails")
        if self.raft.is_removed:
            raise NotLeader("")
        if waiting >= MAX_PENDING_CALLS:
            raise Refused(f"{waiting} calls wait already")

    def read(self, on_done: Callable[[Exception | None], None], now: float, timeout_ms: float) -> None:
        """Wait until the local state includes everything that was committed before this call.

        `on_done` is then called with None, or with `NotLeader`, `Refused` or `OutcomeUnknown`.
        """
        try:
            self._check_accepting(len(self._pending_reads))
            self.raft.read(self._last_context + 1)  # answered in `flush` at the earliest
        except (NotLeader, Refused) as error:
            on_done(error)
            return
        self._last_context += 1
        self._pending_reads[self._last_context] = _PendingRead(on_done, now + timeout_ms)
        self.flush(now)

    def watch(self, prefix: str, after: int, notify: Callable[[list[Event] | None], None]) -> Watch:
        """Notify of all events after revision `after`, past ones at once and later ones as they occur.

        A client that continues at another member, from the last revision it was notified of, neither misses
        an event nor gets one twice.

        Raises:
            Compacted: Some of these events are no longer kept.
            Refused: There are too many watches.
        """
        if len(self.watches) >= MAX_WATCHES:
            raise Refused(f"{MAX_WATCHES} watch already")
        watch = Watch(prefix, after + 1, notify)
        if after + 1 < self.store.oldest:
            raise Compacted(self.store.oldest)
        self.watches.append(watch)
        self._notify(watch)
        return watch

    def unwatch(self, watch: Watch) -> None:
        """End a watch."""
        if watch in self.watches:
            self.watches.remove(watch)

    def _notify(self, watch: Watch) -> None:
        if self.store.revision < watch.next:
            return
        try:
            events = self.store.events_since(watch.next, watch.prefix)
        except Compacted:
            self.unwatch(watch)
            watch.notify(None)
            return
        watch.next = self.store.revision + 1
        if events:
            watch.notify(events)

    def _expire_pending(self, now: float) -> None:
        """Fail the calls that have waited until their deadline."""
        for key in [k for k, p in self._pending_commands.items() if p.deadline_ms <= now]:
            self._pending_commands.pop(key).complete(OutcomeUnknown("no word of it in time"))
        for context in [c for c, p in self._pending_changes.items() if p.deadline_ms <= now]:
            self._pending_changes.pop(context).on_done(
                OutcomeUnknown("it has not come to be in time, but may yet")
            )
        for context in [c for c, p in self._pending_reads.items() if p.deadline_ms <= now]:
            self._pending_reads.pop(context).on_done(
                OutcomeUnknown("no leader has confirmed the read in time")
            )

    # -- carrying out the output of Raft

    def flush(self, now: float) -> None:
        """Carry out the output of Raft; to be called after anything that may have produced some."""
        if self._flushing or self.disk_failed:
            return  # called from a callback: the outer call handles the new output
        self._flushing = True
        try:
            self._process_output()
        finally:
            self._flushing = False

    def _process_output(self) -> None:
        while not self.disk_failed:
            output = self.raft.take_output()
            if output.snapshot is not None:
                self._install_snapshot(output.snapshot)
            if output.needs_persisting:
                self._persist(
                    output.snapshot, output.hard_state, output.entries, output.messages_after_persist
                )
            elif output.messages_after_persist:
                self._batches.append(_Batch(output.messages_after_persist, True))
                self._send_persisted_messages()
            for message in output.messages:
                self.send(message)
            for entry in output.committed:
                self._apply(entry)
            self._confirmed_reads += output.reads
            self._serve_reads()
            if output.committed or output.snapshot is not None:
                for watch in list(self.watches):
                    self._notify(watch)
                self._compact()
            if self._pending_changes:
                self._complete_changes()
            if self.raft.log.config is not self._config:
                self._config = self.raft.log.config
                self.on_config(self._config)
            if not (
                output.needs_persisting
                or output.messages_after_persist
                or output.messages
                or output.committed
                or output.reads
            ):
                return

    def _persist(
        self, snapshot: Snapshot | None, hard: HardState | None, entries: list[Entry], messages: list[Message]
    ) -> None:
        if snapshot is not None:
            self.write_checkpoint()
        new_records = [records.encode_record(hard)] if hard is not None else []
        new_records += [records.encode_record(e) for e in entries]
        if not new_records:
            new_records = [records.encode_record(HardState(self.raft.term, self.raft.vote))]
        last_entry = (entries[-1].index, entries[-1].term) if entries else None
        batch = _Batch(messages, False, last_entry)
        self._batches.append(batch)
        self.disk.append(new_records, lambda ok: self._handle_persisted(batch, ok))

    def _handle_persisted(self, batch: _Batch, ok: bool) -> None:
        if not ok:
            self.handle_disk_failure()
            return
        if batch not in self._batches:
            return  # from before a disk failure
        batch.is_persisted = True
        if batch.last_entry is not None:
            self.raft.record_persisted(*batch.last_entry)
        self._send_persisted_messages()

    def _send_persisted_messages(self) -> None:
        while self._batches and self._batches[0].is_persisted:
            for message in self._batches.popleft().messages:
                self.send(message)

    def handle_disk_failure(self) -> None:
        """Stop taking part until `handle_disk_recovery`.

        Messages that wait for the disk are dropped: nothing that is not on disk has been acknowledged.
        """
        if not self.disk_failed:
            self.disk_failed = True
            self._batches.clear()
            self.raft.stop_leading()
            # Pending output is dropped, but entries that are committed and on our disk are still applied.
            for entry in self.raft.take_output().committed:
                self._apply(entry)

    def handle_disk_recovery(self, now: float) -> None:
        """Take part again: the complete state is on disk."""
        self.disk_failed, self.raft.may_lead = False, True
        self._last_tick_ms = now
        self.raft.record_persisted(self.raft.log.last, self.raft.log.last_term)
        self.flush(now)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot from the leader, and answer the commands that it includes."""
        self.store = Store.from_image(_decompress(snapshot.data), self.history)
        self.applied, self.bytes_since_snapshot = snapshot.index, 0
        for (client, number), waiting in list(self._pending_commands.items()):
            session = self.store.sessions.get(client)
            if client and session is not None and session.number == number:
                del self._pending_commands[client, number]
                waiting.complete(session.answer)

    def _apply(self, entry: Entry) -> None:
        self.applied = entry.index
        self.bytes_since_snapshot += len(entry.data)
        if entry.kind != EntryKind.COMMAND:
            return
        try:
            command = unpack(entry.data)
        except msgspec.MsgspecError:
            return  # every member ignores it in the same way
        answer = self.store.apply(command)
        waiting = self._pending_commands.pop((command.client, command.number), None)
        if waiting is not None:
            waiting.complete(answer)

    def _serve_reads(self) -> None:
        unserved = []
        for context, index in self._confirmed_reads:
            if index > self.applied:
                unserved.append((context, index))
                continue
            read = self._pending_reads.pop(context, None)
            if read is not None:
                read.on_done(None)
        self._confirmed_reads = unserved

    def _compact(self) -> None:
        entries_since_snapshot = self.applied - self.raft.log.snapshot.index
        if entries_since_snapshot < self.snapshot_every and self.bytes_since_snapshot < SNAPSHOT_EVERY_BYTES:
            return
        term = self.raft.log.term(self.applied)
        assert term is not None, "the last applied entry is in the log"
        self.bytes_since_snapshot = 0
        config = self.raft.log.config_as_of(self.applied)
        data = zstandard.ZstdCompressor(level=3).compress(self.store.image())
        self.raft.compact(Snapshot(self.applied, term, config, data), self.trailing)
        self.write_checkpoint()


def _decompress(data: bytes) -> bytes:
    return zstandard.ZstdDecompressor().decompress(data) if data else b""
