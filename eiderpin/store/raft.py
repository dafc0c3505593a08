"""The Raft consensus algorithm as a state machine without I/O.

Inputs are ticks, messages and proposals; the output says what to persist, send and apply, and in which order.
The module uses no clock, disk or network. Section numbers in comments refer to Ongaro's dissertation
"Consensus: Bridging Theory and Practice" (2014).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from eiderpin.store.log import EntryLog
from eiderpin.store.messages import (
    Append,
    AppendResponse,
    Config,
    Entry,
    EntryKind,
    Forward,
    HardState,
    Heartbeat,
    HeartbeatResponse,
    Message,
    NotAMember,
    ReadIndexRequest,
    ReadIndexResponse,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from eiderpin.store.progress import SNAPSHOT_CHUNK_BYTES, Mode, Progress

# Lower bound of the election timeout. Each timeout is drawn at random, from this to just below twice as much.
ELECTION_TICKS = 10
HEARTBEAT_TICKS = 2  # between two heartbeats of a leader
# After so many terms without a leader, election timeouts double with each further one. Where votes take
# longer to reach the disks than a timeout, each election would be cut off by the next one, without end.
PATIENT_AFTER_TERMS = 5
MAX_TIMEOUT_DOUBLINGS = 4
MAX_APPEND_BYTES = 128 << 10  # of entries in one Append message
MAX_UNCOMMITTED_BYTES = 16 << 20  # of proposals that a leader accepts before they are committed
MAX_PENDING_READS = 4096  # reads that wait for a heartbeat round; also the limit of deferred reads
PRESENCE_TICKS = 2 * ELECTION_TICKS  # after a member's last message, during which it counts as reachable
MAX_LEARNER_LAG_ENTRIES = 16  # entries that a learner may lack when it is made a voter


class Role(Enum):
    """The role of a member in its current term. The values appear in the status that operators read."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks for pre-votes, before it raises its term (9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeader(Exception):
    """This member is not the leader, or cannot act as one now."""

    def __init__(self, leader: str, why: str = "") -> None:
        """Name the member to ask instead.

        Args:
            leader: The member that may be the leader; empty if none is known.
            why: The reason, if there is a more specific one.
        """
        super().__init__(why or (f"the leader is {leader}" if leader else "there is no leader now"))
        self.leader = leader


class Refused(Exception):
    """The request cannot be carried out now, or not at all; the message says why."""


class NotSafeYet(Refused):
    """The request can be carried out once what was begun before it is committed."""


@dataclass(slots=True)
class RaftOutput:
    """What the caller has to do, in this order.

    1. Persist `snapshot`, `hard_state` and `entries`. The entries replace what the disk has from their first
       index on.
    2. Send `messages_after_persist` once this output and all earlier ones are on disk.
    3. Send `messages` at once.
    4. Apply `committed` in order.
    5. Serve each of `reads` (context, index) once the entry at its index is applied.
    """

    hard_state: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    messages: list[Message] = field(default_factory=list)
    messages_after_persist: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # context, index

    @property
    def needs_persisting(self) -> bool:
        """Whether anything has to be written to disk."""
        return self.hard_state is not None or bool(self.entries) or self.snapshot is not None


class Raft:
    """The Raft state of one member.

    The caller invokes `tick`, `step`, `propose` and the like, then carries out what `take_output` returns,
    and calls `record_persisted` when entries have reached the disk.
    """

    max_append_bytes = MAX_APPEND_BYTES  # the simulation lowers it in a subclass

    def __init__(
        self, name: str, hard: HardState, snapshot: Snapshot, entries: Sequence[Entry], rng: random.Random,
        disk: str = "",
    ) -> None:  # fmt: skip
        """Start as a follower with the state that was read from disk.

        Args:
            name: The name of this member.
            hard: The term and vote on disk.
            snapshot: The last snapshot on disk.
            entries: The log entries after it.
            rng: Draws the election timeouts.
            disk: The id of the disk that this member runs on.
        """
        self.name, self.rng, self.disk = name, rng, disk
        self.term, self.vote = hard.term, hard.vote
        self.log = EntryLog(snapshot, entries)
        self.stable_index = self.log.last  # the last entry of our log that is on our disk
        self.commit = self.delivered = snapshot.index  # last entry that was output to be applied
        self.role, self.leader = Role.FOLLOWER, ""
        self.may_lead = True  # False while our disk does not accept writes
        self.votes: dict[str, bool] = {}
        self.peers: dict[str, Progress] = {}
        self.peer_disks: dict[str, str] = {}  # the disk that the progress in `peers` refers to
        self.ticks = 0
        # As leader: the tick of the last message from each member on its configured disk.
        self.last_heard: dict[str, int] = {}
        # As leader: by member, the disk that it answered from and that the configuration does not name.
        self.unknown_disks: dict[str, str] = {}
        self.transfer_target = ""  # the voter that leadership is being transferred to
        self.transfer_ticks = 0
        self.heartbeat_round = 0
        self.pending_reads: list[tuple[int, str, int, int]] = []  # round, requester, context, index
        self.deferred_reads: list[tuple[str, int]] = []  # wait for a committed entry of our term
        self.uncommitted_bytes = 0
        self.incoming_snapshot: tuple[SnapshotChunk, bytearray] | None = None
        self.elapsed = self.heartbeat_elapsed = 0
        self.heartbeat_due = False
        self.terms_without_leader = 0  # since a leader was known last
        self.notified_removed = False  # a member has notified us that we were removed
        self._output = RaftOutput()
        self._reported_hard_state = hard
        self._reset_election_timer()

    # -- calls of the owner

    def tick(self) -> None:
        """Advance the clock by one tick."""
        self.ticks += 1
        self.elapsed += 1
        if self.role is Role.LEADER:
            self._tick_as_leader()
        elif self.elapsed >= self.election_timeout:
            self.campaign()

    @property
    def is_removed(self) -> bool:
        """Whether this member has been removed from the cluster, as far as it knows."""
        config = self.log.config
        left_out = (
            bool(config.voters) and self.name not in config.all() and self.log.config_index <= self.commit
        )
        return self.notified_removed or left_out

    def campaign(self, force: bool = False) -> None:
        """Start a pre-vote, or an election at once.

        Args:
            force: The leader has told this member to take over, so the pre-vote is skipped.
        """
        if not self._is_voter() or not self.may_lead or self.notified_removed:
            self.elapsed = 0
            return
        self._become_follower(self.term, "")
        if force:
            self._become_candidate(force=True)
            return
        self.role, self.votes = Role.PRE_CANDIDATE, {self.name: True}
        self._request_votes(self.term + 1, pre=True)
        self._tally_votes()

    def bootstrap(self, config: Config) -> None:
        """Start a new cluster with these members.

        Only one member does so; the others get the log from it.

        Raises:
            Refused: This member has a log already.
        """
        if self.log.last:
            raise Refused("there is a log already")
        entry = Entry(1, 0, int(EntryKind.CONFIG), config.pack())
        self.log.append([entry])
        self._output.entries.append(entry)
        self._reset_election_timer()

    def propose(self, data: Sequence[bytes]) -> None:
        """Append commands to the log, or forward them to the leader.

        They may be lost when the leader changes.

        Raises:
            NotLeader: No leader is known, or leadership is being transferred.
            Refused: Too many bytes are uncommitted.
        """
        if self.role is not Role.LEADER:
            if not self.leader:
                raise NotLeader("")
            self._send(Forward(self.name, self.leader, self.term, list(data)))
            return
        size = sum(len(d) + 32 for d in data)
        if self.transfer_target:
            raise NotLeader(self.transfer_target)  # it is about to take over
        if self.uncommitted_bytes + size > MAX_UNCOMMITTED_BYTES:
            raise Refused(f"{self.uncommitted_bytes} bytes wait to be committed")
        self.uncommitted_bytes += size
        self._append_entries([(EntryKind.COMMAND, d) for d in data])

    def change_config(self, config: Config) -> None:
        """Append a configuration with changed members, by one voter at most (4.1).

        Raises:
            NotLeader: This member does not lead.
            NotSafeYet: It becomes safe when an earlier entry is committed.
            Refused: The change is not safe.
        """
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        old = self.log.config
        if self.log.config_index > self.commit:
            raise NotSafeYet("an earlier change of members is under way")
        if self.log.term(self.commit) != self.term:
            # Before it has committed an entry of its own term, the quorums of its change and of an earlier
            # leader's change need not overlap.
            raise NotSafeYet("this leader has just begun; again in a moment")
        changed = set(old.voters) ^ set(config.voters)
        if len(changed) > 1:
            raise Refused("one voter at a time may come or go")
        if not config.voters:
            raise Refused("the last voter can't go")
        reachable = [
            n
            for n in config.voters
            if n == self.name or self.last_heard.get(n, 0) + PRESENCE_TICKS > self.ticks
        ]
        if changed & set(old.voters) and len(reachable) <= len(config.voters) // 2:
            # Committing this change, and everything after it, would need a member that is down or has lost
            # its disk.
            raise Refused(
                f"of those that would be left only {', '.join(sorted(reachable)) or 'none'} is there"
            )
        for name in changed & set(config.voters):
            peer = self.peers.get(name)
            if name != self.name and (peer is None or peer.match + MAX_LEARNER_LAG_ENTRIES < self.log.last):
                raise Refused(f"{name} has to catch up as a learner first")
        self._append_entries([(EntryKind.CONFIG, config.pack())])

    def read(self, context: int) -> None:
        """Request a linearizable read (6.4).

        `context` appears in `RaftOutput.reads` with the index that must be applied first, once a quorum has
        confirmed the leader. The request may be lost when the leader changes.

        Raises:
            NotLeader: No leader is known.
        """
        if self.role is Role.LEADER:
            self._start_read(self.name, context)
        elif self.leader:
            self._send(ReadIndexRequest(self.name, self.leader, self.term, context))
        else:
            raise NotLeader("")

    def transfer_leadership(self, target: str) -> None:
        """Transfer leadership to another voter (3.10).

        Raises:
            NotLeader: This member does not lead.
            Refused: `target` is not another voter.
        """
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if target not in self.log.config.voters or target == self.name:
            raise Refused(
                f"{target!r} is no other voter; there are {', '.join(sorted(self.log.config.voters))}"
            )
        self.transfer_target, self.transfer_ticks = target, 0
        if self.peers[target].match == self.log.last:
            self._send(TimeoutNow(self.name, target, self.term))
        else:
            self._replicate_to(target)

    def stop_leading(self) -> None:
        """Step down and do not campaign, because the disk does not accept writes.

        Setting `may_lead` undoes it.
        """
        self.may_lead = False
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.term, "")

    def record_persisted(self, index: int, term: int) -> None:
        """Note that all entries up to this one are on our disk."""
        if self.log.term(index) == term and index > self.stable_index:
            self.stable_index = index
            if self.role is Role.LEADER:
                self._advance_commit()

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Drop the entries that `snapshot` covers, except the last `keep` of them."""
        if snapshot.index > self.log.snapshot.index:
            self.log.compact(snapshot, keep)

    def take_output(self) -> RaftOutput:
        """Return what is to be done now, and clear it."""
        if self.heartbeat_due and self.role is Role.LEADER:
            self._broadcast_heartbeat()
        output, self._output = self._output, RaftOutput()
        hard = HardState(self.term, self.vote)
        if hard != self._reported_hard_state:
            output.hard_state = self._reported_hard_state = hard
        # Only entries on our own disk are applied, so that a restart finds everything that was applied.
        last = min(self.commit, self.stable_index)
        if last > self.delivered:
            output.committed = self.log.slice(self.delivered + 1, last)
            self.delivered = last
        return output

    # -- messages

    def step(self, message: Message) -> None:
        """Handle a message from another member.

        The sender may be missing from our configuration: a new leader can be a member by entries that we
        do not have yet.
        """
        if isinstance(message, NotAMember):
            if message.disk in ("", self.disk):
                self.notified_removed = self.notified_removed or message.index > self.log.config_index
            return
        if isinstance(message, VoteRequest) and self._is_removed_member(message):
            self._send_after_persist(NotAMember(self.name, message.frm, self.term, self.log.config_index))
            return
        if isinstance(
            message, VoteResponse | AppendResponse | HeartbeatResponse | SnapshotChunkResponse
        ) and not self._is_known_disk(message.frm, message.disk):
            return
        if message.term < self.term:
            self._handle_old_term(message)
            return
        if message.term > self.term and not self._accept_newer_term(message):
            return
        kind = type(message)
        if kind is VoteRequest:
            self._handle_vote_request(message)  # type: ignore[arg-type]
        elif kind is VoteResponse:
            self._handle_vote_response(message)  # type: ignore[arg-type]
        elif kind is Append or kind is Heartbeat or kind is SnapshotChunk:
            if self.role is not Role.FOLLOWER or self.leader != message.frm:
                self._become_follower(self.term, message.frm)
            self.elapsed, self.notified_removed = 0, False
            if isinstance(message, Append):
                self._handle_append(message)
            elif isinstance(message, Heartbeat):
                if message.disk in ("", self.disk):
                    self._commit_to(min(message.commit, self.log.last))
                # It acknowledges no entry and gives no vote, so it need not wait for the disk.
                self._send(HeartbeatResponse(self.name, message.frm, self.term, message.round, self.disk))
            elif isinstance(message, SnapshotChunk):
                self._handle_snapshot_chunk(message)
        elif kind is TimeoutNow:
            self.campaign(force=True)
        elif kind is ReadIndexResponse and isinstance(message, ReadIndexResponse):
            self._output.reads.append((message.context, message.index))
        elif self.role is Role.LEADER:
            self._step_as_leader(message)

    def _is_known_disk(self, name: str, disk: str) -> bool:
        """Return whether a response comes from the disk that the configuration names for this member.

        A process with an empty disk, or with an old copy of the disk, may answer under a member's name. A
        leader notes such disks in `unknown_disks`, so that they can be admitted again.
        """
        configured = self.log.config.disks.get(name, disk)
        if configured != disk and disk in self.log.config.retired:
            self._send(NotAMember(self.name, name, self.term, self.log.config_index, disk))
        elif self.role is Role.LEADER and name in self.peers:
            if configured == disk:
                self.last_heard[name] = self.ticks
            if configured != disk or name not in self.log.config.disks:
                self.unknown_disks[name] = disk
        return configured == disk

    def _is_removed_member(self, message: VoteRequest) -> bool:
        """Return whether the sender has been removed without knowing it.

        A sender whose log is at least as new as ours may be a member by an entry that we lack, so it is not
        counted as removed.
        """
        config, config_committed = self.log.config, self.log.config_index <= self.commit
        is_member = not config.voters or message.frm in config.all()
        return (
            config_committed
            and not is_member
            and not self.log.is_up_to_date(message.last_index, message.last_term)
        )

    def _handle_old_term(self, message: Message) -> None:
        """Answer a message of an earlier term: a stale leader or candidate learns the current term."""
        if isinstance(message, Append | Heartbeat | SnapshotChunk):
            self._respond_to_append(message, False, 0)
        elif isinstance(message, VoteRequest):
            self._send_after_persist(
                VoteResponse(self.name, message.frm, self.term, False, message.pre, self.disk)
            )

    def _accept_newer_term(self, message: Message) -> bool:
        """Enter the later term of a message where it calls for that; return whether to handle the message."""
        if isinstance(message, VoteRequest):
            has_leader = self.role is Role.LEADER or (self.leader != "" and self.elapsed < ELECTION_TICKS)
            if has_leader and not message.force:
                return False  # a member that was partitioned must not depose a live leader (4.2.3, 9.6)
            if not message.pre:
                self._become_follower(message.term, "")
        elif isinstance(message, VoteResponse) and message.pre and message.granted:
            pass  # the term is the one that we requested the pre-vote for
        elif isinstance(message, Append | Heartbeat | SnapshotChunk):
            self._become_follower(message.term, message.frm)
        else:
            self._become_follower(message.term, "")
        return True

    def _handle_vote_request(self, message: VoteRequest) -> None:
        can_grant = message.pre or self.vote in ("", message.frm)
        if self.role is not Role.FOLLOWER and not message.pre and message.term == self.term:
            can_grant = False
        if message.pre and message.term <= self.term:
            can_grant = False
        granted = (
            can_grant and self.log.is_up_to_date(message.last_index, message.last_term) and self.may_lead
        )
        if granted and not message.pre:
            self.vote, self.elapsed = message.frm, 0
        self._send_after_persist(
            VoteResponse(
                self.name,
                message.frm,
                message.term if granted else self.term,
                granted,
                message.pre,
                self.disk,
            )
        )

    def _handle_vote_response(self, message: VoteResponse) -> None:
        requested_term = self.term + 1 if self.role is Role.PRE_CANDIDATE else self.term
        if message.pre is not (self.role is Role.PRE_CANDIDATE) or self.role not in (
            Role.PRE_CANDIDATE,
            Role.CANDIDATE,
        ):
            return
        if message.granted and message.term != requested_term:
            return
        self.votes[message.frm] = message.granted
        self._tally_votes()

    def _handle_append(self, message: Append) -> None:
        if message.prev < self.log.base:
            # Everything up to our base is committed and so matches; only later entries can be new.
            newer = [e for e in message.entries if e.index > self.log.base]
            last = message.prev + len(message.entries)
            if not newer:
                matched = min(self.commit, max(last, message.prev))
                self._respond_to_append(message, True, matched)
                return
            message = Append(
                message.frm,
                message.to,
                message.term,
                self.log.base,
                self.log.base_term,
                newer,
                message.commit,
            )
        if not self.log.matches(message.prev, message.prev_term):
            hint, hint_term = self.log.conflict_hint(message.prev, message.prev_term)
            self._respond_to_append(message, False, message.prev, hint, hint_term)
            return
        first_new = self.log.merge(message.entries)
        if first_new is not None:
            assert first_new > self.commit, "committed entries are never replaced"
            self.stable_index = min(self.stable_index, first_new - 1)
            self._output.entries += self.log.slice(first_new, self.log.last)
        last = message.prev + len(message.entries)
        self._commit_to(min(message.commit, last))
        self._respond_to_append(message, True, last)

    def _respond_to_append(
        self, message: Message, ok: bool, index: int, hint: int = 0, hint_term: int = 0
    ) -> None:
        self._send_after_persist(
            AppendResponse(self.name, message.frm, self.term, ok, index, hint, hint_term, self.disk)
        )

    def _respond_to_chunk(self, message: SnapshotChunk, offset: int) -> None:
        self._send_after_persist(
            SnapshotChunkResponse(self.name, message.frm, self.term, message.index, offset, self.disk)
        )

    def _handle_snapshot_chunk(self, message: SnapshotChunk) -> None:
        if message.index <= self.commit:
            self._respond_to_chunk(message, message.total)
            self._respond_to_append(message, True, self.commit)
            return
        if message.offset == 0:
            self.incoming_snapshot = (message, bytearray())
        if self.incoming_snapshot is None:
            self._respond_to_chunk(message, 0)
            return
        first, data = self.incoming_snapshot
        is_same = (first.index, first.snap_term, first.total) == (
            message.index,
            message.snap_term,
            message.total,
        )
        if not is_same or message.offset != len(data):
            expected_offset = len(data) if is_same else 0
            self._respond_to_chunk(message, expected_offset)
            return
        data += message.data
        if len(data) < message.total:
            self._respond_to_chunk(message, len(data))
            return
        self.incoming_snapshot = None
        snapshot = Snapshot(message.index, message.snap_term, message.config, bytes(data))
        self.log.reset_to_snapshot(snapshot)
        self.commit = self.delivered = self.stable_index = message.index
        # Entries that wait to be persisted are covered by the snapshot, or belong to the log it replaces.
        self._output.entries.clear()
        self._output.snapshot = snapshot
        self._respond_to_chunk(message, message.total)
        self._respond_to_append(message, True, message.index)

    # -- as leader

    def _step_as_leader(self, message: Message) -> None:
        if isinstance(message, Forward):
            try:
                self.propose(message.data)
            except (NotLeader, Refused):
                return  # dropped like a lost message: the requester retries
        elif isinstance(message, ReadIndexRequest):
            self._start_read(message.frm, message.context)
        peer = self.peers.get(message.frm)
        if peer is None:
            return
        peer.active = True
        if isinstance(message, AppendResponse):
            if message.ok and message.index <= self.log.last:
                if peer.record_match(message.index):
                    self._advance_commit()
                    if min(self.commit, peer.match) > peer.sent_commit and not self.heartbeat_due:
                        self._send_heartbeat(message.frm)
                if message.frm == self.transfer_target and peer.match == self.log.last:
                    self._send(TimeoutNow(self.name, message.frm, self.term))
            elif not message.ok:
                hint = message.hint
                while hint > self.log.base and (self.log.term(hint) or 0) > message.hint_term:
                    hint -= 1
                peer.record_mismatch(message.index, hint)
        elif isinstance(message, HeartbeatResponse):
            peer.record_heartbeat_response(message.round)
            self._release_confirmed_reads()
        elif (
            isinstance(message, SnapshotChunkResponse)
            and peer.mode is Mode.SNAPSHOT
            and message.index == peer.snapshot_index
        ):
            peer.snapshot_offset, peer.paused = message.offset, False
            if message.offset >= len(self.log.snapshot.data) or message.index != self.log.snapshot.index:
                peer.start_probing(peer.snapshot_index + 1)
        if self.role is Role.LEADER:  # committing its own removal ends its leadership
            self._replicate_to(message.frm)

    def _tick_as_leader(self) -> None:
        self.heartbeat_elapsed += 1
        if self.transfer_target:
            self.transfer_ticks += 1
            if self.transfer_ticks >= ELECTION_TICKS:
                self.transfer_target = ""  # it did not take over in time, so this member goes on as leader
        if self.elapsed >= ELECTION_TICKS:
            self.elapsed = 0
            responding = {n for n, p in self.peers.items() if p.active} | {self.name}
            for peer in self.peers.values():
                peer.active = False
            if not self._is_quorum(responding):
                self._become_follower(self.term, "")  # without a quorum nothing can be committed (6.2)
                return
        if self.heartbeat_elapsed >= HEARTBEAT_TICKS:
            self._broadcast_heartbeat()

    def _broadcast_heartbeat(self) -> None:
        self.heartbeat_elapsed, self.heartbeat_due = 0, False
        self.heartbeat_round += 1
        for name in self.peers:
            self._send_heartbeat(name)

    def _send_heartbeat(self, name: str) -> None:
        peer = self.peers[name]
        peer.record_heartbeat(self.heartbeat_round)
        # Not beyond what it is known to have: past that its log may hold entries of another leader.
        peer.sent_commit = min(self.commit, peer.match)
        disk = self.log.config.disks.get(name, "")
        self._send(Heartbeat(self.name, name, self.term, peer.sent_commit, self.heartbeat_round, disk))

    def _replicate_to_all(self) -> None:
        for name in self.peers:
            self._replicate_to(name)

    def _replicate_to(self, name: str) -> None:
        peer = self.peers[name]
        while peer.may_send:
            if peer.mode is Mode.SNAPSHOT or peer.next <= self.log.base:
                self._send_snapshot_chunk(name, peer)
                return
            if peer.mode is Mode.STREAM and peer.next > self.log.last:
                return
            if peer.mode is Mode.PROBE and peer.match >= self.log.last and peer.next > self.log.last:
                return
            entries: list[Entry] = []
            if peer.next <= self.log.last:
                entries = self.log.slice(peer.next, self.log.last, self.max_append_bytes)
            prev = peer.next - 1
            term = self.log.term(prev)
            assert term is not None, "the entry before those that are sent is in the log"
            self._send(Append(self.name, name, self.term, prev, term, entries, self.commit))
            last = entries[-1].index if entries else prev
            peer.record_sent(last, sum(len(e.data) + 32 for e in entries))

    def _send_snapshot_chunk(self, name: str, peer: Progress) -> None:
        snapshot = self.log.snapshot
        peer.start_snapshot(snapshot.index)
        if peer.paused:
            return
        chunk = snapshot.data[peer.snapshot_offset : peer.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        self._send(
            SnapshotChunk(
                self.name,
                name,
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.config,
                peer.snapshot_offset,
                len(snapshot.data),
                chunk,
            )
        )
        peer.paused = True

    def _append_entries(self, items: Sequence[tuple[EntryKind, bytes]]) -> None:
        entries = [Entry(self.log.last + 1 + i, self.term, int(k), d) for i, (k, d) in enumerate(items)]
        self.log.append(entries)
        self._output.entries += entries
        if any(k is EntryKind.CONFIG for k, _ in items):
            self._update_peers()
        self._replicate_to_all()

    def _update_peers(self) -> None:
        """Keep progress for exactly the members that the configuration names."""
        config, previous_disks = self.log.config, self.peer_disks
        self.peer_disks = {n: config.disks.get(n, "") for n in sorted(config.all()) if n != self.name}
        self.peers = {
            # A replaced disk has nothing of what the previous one had, so its progress starts over.
            name: self.peers[name] if name in self.peers and previous_disks.get(name, "") in ("", disk)
            else Progress(next=self.log.last + 1, active=True)
            for name, disk in self.peer_disks.items()
        }  # fmt: skip
        self.unknown_disks = {n: d for n, d in self.unknown_disks.items() if self.peer_disks.get(n, d) != d}

    def _advance_commit(self) -> None:
        """Commit up to the highest entry that a quorum of the voters has on disk."""
        voters = self.log.config.voters
        stored = sorted(
            (self.stable_index if n == self.name else self.peers[n].match for n in voters), reverse=True
        )
        index = stored[len(voters) // 2]
        if index > self.commit and self._can_commit(index):
            self._commit_to(index)
            self.heartbeat_due = True  # tell the others about the new commit index
            deferred, self.deferred_reads = self.deferred_reads, []
            for requester, context in deferred:
                self._start_read(requester, context)

    def _can_commit(self, index: int) -> bool:
        """Return whether the entry is of our term; earlier ones are committed along with it only (3.6.2)."""
        return self.log.term(index) == self.term

    def _commit_to(self, index: int) -> None:
        if index <= self.commit:
            return
        if self.role is Role.LEADER:
            committed = self.log.slice(self.commit + 1, index)
            self.uncommitted_bytes -= sum(len(e.data) + 32 for e in committed if e.kind == EntryKind.COMMAND)
            self.uncommitted_bytes = max(0, self.uncommitted_bytes)
        previous, self.commit = self.commit, index
        if self.role is Role.LEADER and previous < self.log.config_index <= index and not self._is_voter():
            self._step_down_after_removal()

    def _step_down_after_removal(self) -> None:
        """Hand over to the most up-to-date voter after committing our own removal (4.2.2)."""
        self._broadcast_heartbeat()
        self._replicate_to_all()
        voters = {n: p for n, p in self.peers.items() if n in self.log.config.voters}
        successor = max(voters, key=lambda n: voters[n].match, default="")
        if successor:
            self._send(TimeoutNow(self.name, successor, self.term))
        self._become_follower(self.term, "")

    # -- reads

    def _start_read(self, requester: str, context: int) -> None:
        if self.log.term(self.commit) != self.term:
            if len(self.deferred_reads) < MAX_PENDING_READS:
                self.deferred_reads.append((requester, context))
            return
        if len(self.pending_reads) >= MAX_PENDING_READS:
            return  # dropped like a lost message
        self.pending_reads.append((self.heartbeat_round + 1, requester, context, self.commit))
        if self._is_quorum({self.name}) or not self._read_needs_quorum():
            self._release_confirmed_reads()
        else:
            self.heartbeat_due = True  # one round confirms all reads that were requested by then

    def _read_needs_quorum(self) -> bool:
        """Return whether a quorum must confirm the leader: one that was replaced would return stale data."""
        return True

    def _release_confirmed_reads(self) -> None:
        while self.pending_reads:
            round_number, requester, context, index = self.pending_reads[0]
            confirmed = {n for n, p in self.peers.items() if p.acknowledged_round >= round_number} | {
                self.name
            }
            if not self._is_quorum(confirmed) and self._read_needs_quorum():
                return
            self.pending_reads.pop(0)
            if requester == self.name:
                self._output.reads.append((context, index))
            else:
                self._send(ReadIndexResponse(self.name, requester, self.term, context, index))

    # -- roles

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self.terms_without_leader += 1
        if leader:
            self.terms_without_leader = 0
        if self.role is Role.LEADER:
            self.pending_reads.clear()
            self.deferred_reads.clear()
            self.transfer_target = ""
        if leader != self.leader or self.incoming_snapshot is not None and not leader:
            self.incoming_snapshot = None
        self.role, self.leader = Role.FOLLOWER, leader
        self._reset_election_timer()

    def _become_candidate(self, force: bool = False) -> None:
        self.term, self.vote = self.term + 1, self.name
        self.terms_without_leader += 1
        self.role, self.leader, self.votes = Role.CANDIDATE, "", {self.name: True}
        self._reset_election_timer()
        self._request_votes(self.term, pre=False, force=force)
        self._tally_votes()

    def _request_votes(self, term: int, pre: bool, force: bool = False) -> None:
        for name in sorted(self.log.config.voters):
            if name != self.name:
                self._send_after_persist(
                    VoteRequest(self.name, name, term, self.log.last, self.log.last_term, pre, force)
                )

    def _tally_votes(self) -> None:
        if self._is_quorum({n for n, yes in self.votes.items() if yes}):
            if self.role is Role.PRE_CANDIDATE:
                self._become_candidate()
            else:
                self._become_leader()
        elif self._is_quorum({n for n, yes in self.votes.items() if not yes}):
            self._become_follower(self.term, "")

    def _become_leader(self) -> None:
        self.role, self.leader, self.transfer_target = Role.LEADER, self.name, ""
        self.terms_without_leader = 0
        self.elapsed, self.uncommitted_bytes, self.peers = 0, 0, {}
        self.pending_reads, self.peer_disks, self.last_heard, self.unknown_disks = [], {}, {}, {}
        self._update_peers()
        self.last_heard = dict.fromkeys(self.peers, self.ticks)
        self._append_entries([(EntryKind.EMPTY, b"")])
        self._broadcast_heartbeat()

    def _is_quorum(self, names: set[str]) -> bool:
        voters = self.log.config.voters
        return len(names & set(voters)) > len(voters) // 2

    def _is_voter(self) -> bool:
        config = self.log.config
        return self.name in config.voters and config.disks.get(self.name, self.disk) == self.disk

    def _reset_election_timer(self) -> None:
        self.elapsed = 0
        doublings = min(max(self.terms_without_leader - PATIENT_AFTER_TERMS, 0), MAX_TIMEOUT_DOUBLINGS)
        self.election_timeout = self.rng.randint(ELECTION_TICKS, 2 * ELECTION_TICKS - 1) << doublings

    def _send(self, message: Message) -> None:
        self._output.messages.append(message)

    def _send_after_persist(self, message: Message) -> None:
        self._output.messages_after_persist.append(message)
