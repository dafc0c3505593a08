"""Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) as a pure machine: ticks, messages and
proposals in; what to persist, what to send and what to apply out, in that order. No clock, no disk, no wire.

Sections named below are the dissertation's.
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
from eiderpin.store.progress import PART, Mode, Progress

# Ticks without a leader after which a member campaigns; the draw is below twice that.
ELECTION_TICKS = 10
BEAT = 2  # ticks between a leader's beats
APPEND_BYTES = 128 << 10  # entries in one message
MOST_OPEN_BYTES = 16 << 20  # proposals that are not committed
MOST_READS = 4096  # reads that wait for their round
HEARD = 2 * ELECTION_TICKS  # ticks for which one who was heard of counts as there
CHANGE_ROUND = 16  # entries that a learner may lack when it is made a voter


class Role(Enum):
    """What a member is in its term."""

    FOLLOWER = "follower"
    ASKING = "asking"  # a pre-vote is under way (9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeader(Exception):
    """It leads no more, never did or can't now (`why`); `leader` is the one to ask, empty: none is known."""

    def __init__(self, leader: str, why: str = "") -> None:
        """`leader`: who may know better; empty: nobody does."""
        super().__init__(why or (f"the leader is {leader}" if leader else "there is no leader now"))
        self.leader = leader


class Refused(Exception):
    """It can't be done now, or not at all; the message says why."""


@dataclass(slots=True)
class Out:
    """What is to be done, in this order: persist `snapshot`, `hard` and `entries` (these replace what the
    disk has from their first index on); send `after` once that, and all that was to be persisted earlier, is
    on disk; send `now` at once; apply `committed` in order; serve `reads` once their index is applied."""

    hard: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    now: list[Message] = field(default_factory=list)
    after: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # context, index

    @property
    def persists(self) -> bool:
        """Whether something has to be on disk before the rest."""
        return self.hard is not None or bool(self.entries) or self.snapshot is not None


class Raft:
    """One member. Call `tick`, `step`, `propose` and the like, then `out()` and do what it says; tell
    `persisted` what has come to disk."""

    append_bytes = APPEND_BYTES

    def __init__(
        self, name: str, hard: HardState, snapshot: Snapshot, entries: Sequence[Entry], rng: random.Random,
        disk: str = "",
    ) -> None:  # fmt: skip
        """Begin as a follower, from what the disk holds."""
        self.name, self.rng, self.disk = name, rng, disk
        self.term, self.vote = hard.term, hard.vote
        self.log = EntryLog(snapshot, entries)
        self.stable = self.log.last  # of our own log, on disk
        self.commit = self.handed = snapshot.index  # handed out to be applied
        self.role, self.leader = Role.FOLLOWER, ""
        self.may_lead = True  # False while our disk fails
        self.votes: dict[str, bool] = {}
        self.peers: dict[str, Progress] = {}
        self.known: dict[str, str] = {}  # the disks that `peers` is about
        self.ticks = 0
        self.heard: dict[str, int] = {}  # ticks at which a leader last heard a member on its disk ...
        self.strangers: dict[str, str] = {}  # ... and who speaks by a member's name from another disk
        self.heir = ""  # who is being handed our place
        self.heir_ticks = 0
        self.round = 0
        self.reads: list[tuple[int, str, int, int]] = []  # round, who asked, context, index
        self.early_reads: list[tuple[str, int]] = []  # asked before our term has a committed entry
        self.open_bytes = 0
        self.coming: tuple[SnapshotChunk, bytearray] | None = None
        self.elapsed = self.beat_elapsed = 0
        self.beat_due = False
        self.gone = False  # we have been told that we are no member any more
        self._out = Out()
        self._told = hard
        self._new_timeout()

    # -- what the caller says

    def tick(self) -> None:
        """Let one tick pass."""
        self.ticks += 1
        self.elapsed += 1
        if self.role is Role.LEADER:
            self._leader_tick()
        elif self.elapsed >= self.timeout:
            self.campaign()

    @property
    def removed(self) -> bool:
        """Whether we are no member any more, as far as we know."""
        config = self.log.config
        left = bool(config.voters) and self.name not in config.all() and self.log.config_at <= self.commit
        return self.gone or left

    def campaign(self, force: bool = False) -> None:
        """Ask whether we would be elected; `force`: a leader has told us to take over, so ask for real."""
        if not self._is_voter() or not self.may_lead or self.gone:
            self.elapsed = 0
            return
        self._follow(self.term, "")
        if force:
            self._be_candidate(force=True)
            return
        self.role, self.votes = Role.ASKING, {self.name: True}
        self._ask_all(self.term + 1, pre=True)
        self._count_votes()

    def found(self, config: Config) -> None:
        """Begin a new cluster: whoever founds it has the only log, and the others take it from there."""
        if self.log.last:
            raise Refused("there is a log already")
        entry = Entry(1, 0, int(EntryKind.CONFIG), config.pack())
        self.log.append([entry])
        self._out.entries.append(entry)
        self._new_timeout()

    def propose(self, data: Sequence[bytes]) -> None:
        """Have these commands committed; a follower passes them on. Nothing is promised: a change of leader
        may lose them. Raises `NotLeader` and `Refused`."""
        if self.role is not Role.LEADER:
            if not self.leader:
                raise NotLeader("")
            self._now(Forward(self.name, self.leader, self.term, list(data)))
            return
        size = sum(len(d) + 32 for d in data)
        if self.heir:
            raise NotLeader(self.heir)  # as good as
        if self.open_bytes + size > MOST_OPEN_BYTES:
            raise Refused(f"{self.open_bytes} bytes wait to be committed")
        self.open_bytes += size
        self._append([(EntryKind.COMMAND, d) for d in data])

    def change(self, config: Config) -> None:
        """Have the members changed, by one voter at most (4.1). Raises `NotLeader` and `Refused`."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        old = self.log.config
        if self.log.config_at > self.commit:
            raise Refused("an earlier change of members is under way")
        if self.log.term(self.commit) != self.term:
            # Without an entry of its own term committed, two leaders' changes may not overlap in a quorum.
            raise Refused("this leader has just begun; again in a moment")
        moved = set(old.voters) ^ set(config.voters)
        if len(moved) > 1:
            raise Refused("one voter at a time may come or go")
        if not config.voters:
            raise Refused("the last voter can't go")
        there = [n for n in config.voters if n == self.name or self.heard.get(n, 0) + HEARD > self.ticks]
        if moved & set(old.voters) and len(there) <= len(config.voters) // 2:
            # One that is gone, or has lost its disk, would be needed to have this committed, and all else.
            raise Refused(f"of those that would be left only {', '.join(sorted(there)) or 'none'} is there")
        for name in moved & set(config.voters):
            known = self.peers.get(name)
            if name != self.name and (known is None or known.match + CHANGE_ROUND < self.log.last):
                raise Refused(f"{name} has to catch up as a learner first")
        self._append([(EntryKind.CONFIG, config.pack())])

    def read(self, context: int) -> None:
        """Have `context` told with an index in `Out.reads`, once we know that all that was committed before
        this call is covered (6.4). May be lost with a change of leader. Raises `NotLeader` and `Refused`."""
        if self.role is Role.LEADER:
            self._read(self.name, context)
        elif self.leader:
            self._now(ReadIndexRequest(self.name, self.leader, self.term, context))
        else:
            raise NotLeader("")

    def transfer(self, to: str) -> None:
        """Hand our place over (3.10). Raises `NotLeader` and `Refused`."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if to not in self.log.config.voters or to == self.name:
            raise Refused(f"{to!r} is no other voter; there are {', '.join(sorted(self.log.config.voters))}")
        self.heir, self.heir_ticks = to, 0
        if self.peers[to].match == self.log.last:
            self._now(TimeoutNow(self.name, to, self.term))
        else:
            self._send_to(to)

    def give_up(self) -> None:
        """Lead no more, and do not campaign: our disk takes nothing. `may_lead` undoes it."""
        self.may_lead = False
        if self.role is not Role.FOLLOWER:
            self._follow(self.term, "")

    def persisted(self, index: int, term: int) -> None:
        """All up to this entry is on our disk."""
        if self.log.term(index) == term and index > self.stable:
            self.stable = index
            if self.role is Role.LEADER:
                self._count_commit()

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """`snapshot` holds all that was applied up to its index."""
        if snapshot.index > self.log.snapshot.index:
            self.log.compact(snapshot, keep)

    def out(self) -> Out:
        """What is to be done now; asked for once, it is not given again."""
        if self.beat_due and self.role is Role.LEADER:
            self._beat()
        found, self._out = self._out, Out()
        hard = HardState(self.term, self.vote)
        if hard != self._told:
            found.hard = self._told = hard
        # Our own disk comes first: what is applied can be read from it again.
        upto = min(self.commit, self.stable)
        if upto > self.handed:
            found.committed = self.log.slice(self.handed + 1, upto)
            self.handed = upto
        return found

    # -- messages

    def step(self, m: Message) -> None:
        """Take in what another member says. One that is unknown to us may be a new leader's."""
        if isinstance(m, NotAMember):
            if m.disk in ("", self.disk):
                self.gone = self.gone or m.index > self.log.config_at
            return
        if isinstance(m, VoteRequest) and self._has_left(m):
            self._after(NotAMember(self.name, m.frm, self.term, self.log.config_at))
            return
        if isinstance(
            m, VoteResponse | AppendResponse | HeartbeatResponse | SnapshotChunkResponse
        ) and not self._is_itself(m.frm, m.disk):
            return
        if m.term < self.term:
            self._step_old(m)
            return
        if m.term > self.term and not self._step_newer(m):
            return
        kind = type(m)
        if kind is VoteRequest:
            self._asked(m)  # type: ignore[arg-type]
        elif kind is VoteResponse:
            self._voted(m)  # type: ignore[arg-type]
        elif kind is Append or kind is Heartbeat or kind is SnapshotChunk:
            if self.role is not Role.FOLLOWER or self.leader != m.frm:
                self._follow(self.term, m.frm)
            self.elapsed, self.gone = 0, False
            if isinstance(m, Append):
                self._take(m)
            elif isinstance(m, Heartbeat):
                if m.disk in ("", self.disk):
                    self._commit_to(min(m.commit, self.log.last))
                self._after(HeartbeatResponse(self.name, m.frm, self.term, m.round, self.disk))
            elif isinstance(m, SnapshotChunk):
                self._take_snap(m)
        elif kind is TimeoutNow:
            self.campaign(force=True)
        elif kind is ReadIndexResponse and isinstance(m, ReadIndexResponse):
            self._out.reads.append((m.context, m.index))
        elif self.role is Role.LEADER:
            self._step_leader(m)

    def _is_itself(self, name: str, disk: str) -> bool:
        """Whether who answers is the member that the configuration means, and not one who begins anew, or
        goes on from an old copy, under its name. A leader remembers the others, to take them in again."""
        known = self.log.config.disks.get(name, disk)
        if known != disk and disk in self.log.config.retired:
            self._now(NotAMember(self.name, name, self.term, self.log.config_at, disk))
        elif self.role is Role.LEADER and name in self.peers:
            if known == disk:
                self.heard[name] = self.ticks
            if known != disk or name not in self.log.config.disks:
                self.strangers[name] = disk
        return known == disk

    def _has_left(self, m: VoteRequest) -> bool:
        """Whether it was removed and does not know it. One whose log is as new as ours may be a member by an
        entry that we lack, and gets its answer."""
        config, settled = self.log.config, self.log.config_at <= self.commit
        known = not config.voters or m.frm in config.all()
        return settled and not known and not self.log.up_to_date(m.last_index, m.last_term)

    def _step_old(self, m: Message) -> None:
        """Of a term that has passed. One who still thinks that it leads, or asks, has to hear of ours."""
        if isinstance(m, Append | Heartbeat | SnapshotChunk):
            self._appended(m, False, 0)
        elif isinstance(m, VoteRequest):
            self._after(VoteResponse(self.name, m.frm, self.term, False, m.pre, self.disk))

    def _step_newer(self, m: Message) -> bool:
        """Whether a message of a later term is to be looked at further."""
        if isinstance(m, VoteRequest):
            leads = self.role is Role.LEADER or (self.leader != "" and self.elapsed < ELECTION_TICKS)
            if leads and not m.force:
                return False  # we hear of a leader: one who was cut off must not unseat it (4.2.3, 9.6)
            if not m.pre:
                self._follow(m.term, "")
        elif isinstance(m, VoteResponse) and m.pre and m.granted:
            pass  # it speaks of the term that we asked about
        elif isinstance(m, Append | Heartbeat | SnapshotChunk):
            self._follow(m.term, m.frm)
        else:
            self._follow(m.term, "")
        return True

    def _asked(self, m: VoteRequest) -> None:
        free = m.pre or self.vote in ("", m.frm)
        if self.role is not Role.FOLLOWER and not m.pre and m.term == self.term:
            free = False
        if m.pre and m.term <= self.term:
            free = False
        granted = free and self.log.up_to_date(m.last_index, m.last_term) and self.may_lead
        if granted and not m.pre:
            self.vote, self.elapsed = m.frm, 0
        self._after(
            VoteResponse(self.name, m.frm, m.term if granted else self.term, granted, m.pre, self.disk)
        )

    def _voted(self, m: VoteResponse) -> None:
        asked = self.term + 1 if self.role is Role.ASKING else self.term
        if m.pre is not (self.role is Role.ASKING) or self.role not in (Role.ASKING, Role.CANDIDATE):
            return
        if m.granted and m.term != asked:
            return
        self.votes[m.frm] = m.granted
        self._count_votes()

    def _take(self, m: Append) -> None:
        if m.prev < self.log.base:
            # All up to our base is committed, so it matches: what follows it may be of use.
            left = [e for e in m.entries if e.index > self.log.base]
            last = m.prev + len(m.entries)
            if not left:
                have = min(self.commit, max(last, m.prev))
                self._appended(m, True, have)
                return
            m = Append(m.frm, m.to, m.term, self.log.base, self.log.base_term, left, m.commit)
        if not self.log.match(m.prev, m.prev_term):
            hint, hint_term = self.log.hint(m.prev, m.prev_term)
            self._appended(m, False, m.prev, hint, hint_term)
            return
        new = self.log.merge(m.entries)
        if new is not None:
            assert new > self.commit, "what is committed is never cut"
            self.stable = min(self.stable, new - 1)
            self._out.entries += self.log.slice(new, self.log.last)
        last = m.prev + len(m.entries)
        self._commit_to(min(m.commit, last))
        self._appended(m, True, last)

    def _appended(self, m: Message, ok: bool, index: int, hint: int = 0, hint_term: int = 0) -> None:
        self._after(AppendResponse(self.name, m.frm, self.term, ok, index, hint, hint_term, self.disk))

    def _snap_back(self, m: SnapshotChunk, offset: int) -> None:
        self._after(SnapshotChunkResponse(self.name, m.frm, self.term, m.index, offset, self.disk))

    def _take_snap(self, m: SnapshotChunk) -> None:
        if m.index <= self.commit:
            self._snap_back(m, m.total)
            self._appended(m, True, self.commit)
            return
        if m.offset == 0:
            self.coming = (m, bytearray())
        if self.coming is None:
            self._snap_back(m, 0)
            return
        first, data = self.coming
        same = (first.index, first.snap_term, first.total) == (m.index, m.snap_term, m.total)
        if not same or m.offset != len(data):
            at = len(data) if same else 0
            self._snap_back(m, at)
            return
        data += m.data
        if len(data) < m.total:
            self._snap_back(m, len(data))
            return
        self.coming = None
        snapshot = Snapshot(m.index, m.snap_term, m.config, bytes(data))
        self.log.restore(snapshot)
        self.commit = self.handed = self.stable = m.index
        # What was to be persisted or applied before is in it, or of a log that it replaces.
        self._out.entries.clear()
        self._out.snapshot = snapshot
        self._snap_back(m, m.total)
        self._appended(m, True, m.index)

    # -- a leader

    def _step_leader(self, m: Message) -> None:
        if isinstance(m, Forward):
            try:
                self.propose(m.data)
            except (NotLeader, Refused):
                return  # as if lost: who asked will ask again
        elif isinstance(m, ReadIndexRequest):
            self._read(m.frm, m.context)
        peer = self.peers.get(m.frm)
        if peer is None:
            return
        peer.active = True
        if isinstance(m, AppendResponse):
            if m.ok and m.index <= self.log.last:
                if peer.accepted(m.index):
                    self._count_commit()
                    if min(self.commit, peer.match) > peer.told and not self.beat_due:
                        self._beat_to(m.frm)
                if m.frm == self.heir and peer.match == self.log.last:
                    self._now(TimeoutNow(self.name, m.frm, self.term))
            elif not m.ok:
                hint = m.hint
                while hint > self.log.base and (self.log.term(hint) or 0) > m.hint_term:
                    hint -= 1
                peer.refused(m.index, hint)
        elif isinstance(m, HeartbeatResponse):
            peer.beat_back(m.round)
            self._release_reads()
        elif isinstance(m, SnapshotChunkResponse) and peer.mode is Mode.SNAPSHOT and m.index == peer.snapshot:
            peer.offset, peer.paused = m.offset, False
            if m.offset >= len(self.log.snapshot.data) or m.index != self.log.snapshot.index:
                peer.probe(peer.snapshot + 1)
        if self.role is Role.LEADER:  # it may have removed itself just now
            self._send_to(m.frm)

    def _leader_tick(self) -> None:
        self.beat_elapsed += 1
        if self.heir:
            self.heir_ticks += 1
            if self.heir_ticks >= ELECTION_TICKS:
                self.heir = ""  # it did not take over: we go on
        if self.elapsed >= ELECTION_TICKS:
            self.elapsed = 0
            heard = {n for n, p in self.peers.items() if p.active} | {self.name}
            for peer in self.peers.values():
                peer.active = False
            if not self._quorum(heard):
                self._follow(self.term, "")  # nobody would hear of what we commit (6.2)
                return
        if self.beat_elapsed >= BEAT:
            self._beat()

    def _beat(self) -> None:
        self.beat_elapsed, self.beat_due = 0, False
        self.round += 1
        for name in self.peers:
            self._beat_to(name)

    def _beat_to(self, name: str) -> None:
        peer = self.peers[name]
        peer.beat(self.round)
        # No more than it is known to have: its log may hold others' entries past that.
        peer.told = min(self.commit, peer.match)
        disk = self.log.config.disks.get(name, "")
        self._now(Heartbeat(self.name, name, self.term, peer.told, self.round, disk))

    def _send_all(self) -> None:
        for name in self.peers:
            self._send_to(name)

    def _send_to(self, name: str) -> None:
        peer = self.peers[name]
        while peer.may_send:
            if peer.mode is Mode.SNAPSHOT or peer.next <= self.log.base:
                self._send_snap(name, peer)
                return
            if peer.mode is Mode.STREAM and peer.next > self.log.last:
                return
            if peer.mode is Mode.PROBE and peer.match >= self.log.last and peer.next > self.log.last:
                return
            entries: list[Entry] = []
            if peer.next <= self.log.last:
                entries = self.log.slice(peer.next, self.log.last, self.append_bytes)
            prev = peer.next - 1
            term = self.log.term(prev)
            assert term is not None, "what is sent follows what is here"
            self._now(Append(self.name, name, self.term, prev, term, entries, self.commit))
            last = entries[-1].index if entries else prev
            peer.sent(last, sum(len(e.data) + 32 for e in entries))

    def _send_snap(self, name: str, peer: Progress) -> None:
        s = self.log.snapshot
        peer.need_snapshot(s.index)
        if peer.paused:
            return
        part = s.data[peer.offset : peer.offset + PART]
        self._now(
            SnapshotChunk(
                self.name, name, self.term, s.index, s.term, s.config, peer.offset, len(s.data), part
            )
        )
        peer.paused = True

    def _append(self, items: Sequence[tuple[EntryKind, bytes]]) -> None:
        entries = [Entry(self.log.last + 1 + i, self.term, int(k), d) for i, (k, d) in enumerate(items)]
        self.log.append(entries)
        self._out.entries += entries
        if any(k is EntryKind.CONFIG for k, _ in items):
            self._meet_peers()
        self._send_all()

    def _meet_peers(self) -> None:
        """Know just the members that the configuration names."""
        config, known = self.log.config, self.known
        self.known = {n: config.disks.get(n, "") for n in sorted(config.all()) if n != self.name}
        self.peers = {
            # Another disk has nothing of what the one before it had.
            n: self.peers[n] if n in self.peers and known.get(n, "") in ("", disk)
            else Progress(next=self.log.last + 1, active=True)
            for n, disk in self.known.items()
        }  # fmt: skip
        self.strangers = {n: d for n, d in self.strangers.items() if self.known.get(n, d) != d}

    def _count_commit(self) -> None:
        """The highest entry that a quorum has on disk."""
        voters = self.log.config.voters
        have = sorted((self.stable if n == self.name else self.peers[n].match for n in voters), reverse=True)
        index = have[len(voters) // 2]
        if index > self.commit and self._may_commit(index):
            self._commit_to(index)
            self.beat_due = True  # the others are to hear of it
            early, self.early_reads = self.early_reads, []
            for who, context in early:
                self._read(who, context)

    def _may_commit(self, index: int) -> bool:
        """An entry of an earlier term is committed only by one of ours after it (3.6.2)."""
        return self.log.term(index) == self.term

    def _commit_to(self, index: int) -> None:
        if index <= self.commit:
            return
        if self.role is Role.LEADER:
            done = self.log.slice(self.commit + 1, index)
            self.open_bytes -= sum(len(e.data) + 32 for e in done if e.kind == EntryKind.COMMAND)
            self.open_bytes = max(0, self.open_bytes)
        before, self.commit = self.commit, index
        if self.role is Role.LEADER and before < self.log.config_at <= index and not self._is_voter():
            self._retire()

    def _retire(self) -> None:
        """We have removed ourselves (4.2.2): the most advanced of the others is told to go on."""
        self._beat()
        self._send_all()
        voters = {n: p for n, p in self.peers.items() if n in self.log.config.voters}
        heir = max(voters, key=lambda n: voters[n].match, default="")
        if heir:
            self._now(TimeoutNow(self.name, heir, self.term))
        self._follow(self.term, "")

    # -- reads

    def _read(self, who: str, context: int) -> None:
        if self.log.term(self.commit) != self.term:
            if len(self.early_reads) < MOST_READS:
                self.early_reads.append((who, context))
            return
        if len(self.reads) >= MOST_READS:
            return  # as if lost
        self.reads.append((self.round + 1, who, context, self.commit))
        if self._quorum({self.name}) or not self._read_needs_round():
            self._release_reads()
        else:
            self.beat_due = True  # one for all that are asked in one turn

    def _read_needs_round(self) -> bool:
        """A leader that has been replaced must not answer from what it knows."""
        return True

    def _release_reads(self) -> None:
        while self.reads:
            number, who, context, index = self.reads[0]
            heard = {n for n, p in self.peers.items() if p.round >= number} | {self.name}
            if not self._quorum(heard) and self._read_needs_round():
                return
            self.reads.pop(0)
            if who == self.name:
                self._out.reads.append((context, index))
            else:
                self._now(ReadIndexResponse(self.name, who, self.term, context, index))

    # -- roles

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role is Role.LEADER:
            self.reads.clear()
            self.early_reads.clear()
            self.heir = ""
        if leader != self.leader or self.coming is not None and not leader:
            self.coming = None
        self.role, self.leader = Role.FOLLOWER, leader
        self._new_timeout()

    def _be_candidate(self, force: bool = False) -> None:
        self.term, self.vote = self.term + 1, self.name
        self.role, self.leader, self.votes = Role.CANDIDATE, "", {self.name: True}
        self._new_timeout()
        self._ask_all(self.term, pre=False, force=force)
        self._count_votes()

    def _ask_all(self, term: int, pre: bool, force: bool = False) -> None:
        for name in sorted(self.log.config.voters):
            if name != self.name:
                self._after(VoteRequest(self.name, name, term, self.log.last, self.log.last_term, pre, force))

    def _count_votes(self) -> None:
        if self._quorum({n for n, yes in self.votes.items() if yes}):
            if self.role is Role.ASKING:
                self._be_candidate()
            else:
                self._lead()
        elif self._quorum({n for n, yes in self.votes.items() if not yes}):
            self._follow(self.term, "")

    def _lead(self) -> None:
        self.role, self.leader, self.heir = Role.LEADER, self.name, ""
        self.elapsed, self.open_bytes, self.peers = 0, 0, {}
        self.reads, self.known, self.heard, self.strangers = [], {}, {}, {}
        self._meet_peers()
        self.heard = dict.fromkeys(self.peers, self.ticks)
        self._append([(EntryKind.EMPTY, b"")])
        self._beat()

    def _quorum(self, names: set[str]) -> bool:
        voters = self.log.config.voters
        return len(names & set(voters)) > len(voters) // 2

    def _is_voter(self) -> bool:
        config = self.log.config
        return self.name in config.voters and config.disks.get(self.name, self.disk) == self.disk

    def _new_timeout(self) -> None:
        self.elapsed = 0
        self.timeout = self.rng.randint(ELECTION_TICKS, 2 * ELECTION_TICKS - 1)

    def _now(self, message: Message) -> None:
        self._out.now.append(message)

    def _after(self, message: Message) -> None:
        self._out.after.append(message)
