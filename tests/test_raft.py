"""Tests of Raft by scripted messages, of the log and its records, and of membership changes in a model."""

from __future__ import annotations

import random
import unittest
from itertools import combinations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from eiderpin.durable.frames import FormatError, Record
from eiderpin.store import records
from eiderpin.store.log import Compacted, EntryLog
from eiderpin.store.messages import (
    Append,
    AppendResponse,
    Config,
    Entry,
    EntryKind,
    HardState,
    Heartbeat,
    Message,
    NotAMember,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from eiderpin.store.raft import ELECTION_TICKS, NotLeader, Raft, RaftOutput, Refused, Role

ABC = Config({n: n for n in "abc"})


def initial_entries(config: Config = ABC) -> list[Entry]:
    return [Entry(1, 0, int(EntryKind.CONFIG), config.pack())]


NEW = HardState()


def member(name: str, hard: HardState = NEW, entries: list[Entry] | None = None) -> Raft:
    return Raft(
        name, hard, Snapshot(), initial_entries() if entries is None else entries, random.Random(name)
    )


def persist_and_send(raft: Raft, out: RaftOutput) -> list[Message]:
    """Report the output as persisted, and return all messages that it sends."""
    if out.entries:
        raft.record_persisted(out.entries[-1].index, out.entries[-1].term)
    return out.messages + out.messages_after_persist


class InstantNetwork:
    """A network on which messages arrive at once and in order, except from or to members that are cut off."""

    def __init__(self, *names: str) -> None:
        self.members = {n: member(n) for n in names}
        self.cut: set[str] = set()

    def run(self) -> None:
        """Deliver messages until there are none."""
        for _ in range(200):
            waiting = [m for r in self.members.values() for m in persist_and_send(r, r.take_output())]
            if not waiting:
                return
            for m in waiting:
                if m.to in self.members and not {m.frm, m.to} & self.cut:
                    self.members[m.to].step(m)
        raise AssertionError("messages do not come to an end")

    def elect(self, name: str) -> Raft:
        """Make a member campaign, and return it as the leader."""
        self.members[name].campaign(force=True)
        self.run()
        assert self.members[name].role is Role.LEADER
        return self.members[name]


class Elections(unittest.TestCase):
    def test_a_vote_is_sent_only_after_it_is_on_disk(self) -> None:
        """A vote that is sent before it is on disk could be given twice after a crash."""
        b = member("b")
        b.step(VoteRequest("a", "b", 1, 1, 0))
        out = b.take_output()
        self.assertEqual(out.hard_state, HardState(1, "a"))
        self.assertEqual((out.messages, out.messages_after_persist), ([], [VoteResponse("b", "a", 1, True)]))

    def test_only_one_vote_is_given_per_term_even_after_a_restart(self) -> None:
        """Two votes of one member in a term could elect two leaders."""
        b = member("b", HardState(1, "a"))
        b.step(VoteRequest("c", "b", 1, 9, 0))
        self.assertEqual(b.take_output().messages_after_persist, [VoteResponse("b", "c", 1, False)])
        b.step(VoteRequest("a", "b", 1, 9, 0))
        self.assertEqual(b.take_output().messages_after_persist, [VoteResponse("b", "a", 1, True)])

    def test_a_candidate_with_an_older_log_gets_no_vote(self) -> None:
        """A leader with an older log would lack committed entries."""
        b = member("b", HardState(2, ""), [*initial_entries(), Entry(2, 2, 1, b"x")])
        for last, term, granted in ((1, 0, False), (9, 1, False), (2, 2, True)):
            b.step(VoteRequest("a", "b", 3, last, term))
            self.assertEqual(b.take_output().messages_after_persist[-1], VoteResponse("b", "a", 3, granted))

    def test_a_pre_vote_changes_neither_term_nor_vote(self) -> None:
        """Otherwise a partitioned member would raise the term of the others with its pre-votes."""
        b = member("b")
        b.step(VoteRequest("a", "b", 1, 1, 0, pre=True))
        out = b.take_output()
        self.assertEqual(
            (out.hard_state, out.messages_after_persist), (None, [VoteResponse("b", "a", 1, True, True)])
        )

    def test_a_member_that_was_partitioned_does_not_depose_the_leader(self) -> None:
        """A member that returns after many election timeouts must follow the leader, not unseat it."""
        network = InstantNetwork("a", "b", "c")
        network.elect("a")
        c, network.cut = network.members["c"], {"c"}
        for _ in range(5 * ELECTION_TICKS):
            c.tick()
            c.take_output()
        self.assertEqual((c.term, c.role), (1, Role.PRE_CANDIDATE))
        network.cut = set()
        c.campaign()
        network.run()
        self.assertEqual([r.leader for r in network.members.values()], ["a", "a", ""])
        network.members["a"].propose([b"x"])
        network.run()
        self.assertEqual((c.leader, c.log.last), ("a", 3))

    def test_a_leader_without_a_quorum_steps_down(self) -> None:
        """A partitioned leader would otherwise accept proposals that it cannot commit."""
        network = InstantNetwork("a", "b", "c")
        a = network.elect("a")
        for _ in range(2 * ELECTION_TICKS):
            a.tick()
            a.take_output()
        self.assertIs(a.role, Role.FOLLOWER)
        with self.assertRaises(NotLeader):
            a.propose([b"x"])

    def test_leadership_is_transferred_to_a_member_that_has_the_whole_log(self) -> None:
        """The target must have all entries before it takes over, and must be another voter."""
        network = InstantNetwork("a", "b", "c")
        a = network.elect("a")
        a.propose([b"x"])
        a.transfer_leadership("b")
        network.run()
        self.assertEqual([r.leader for r in network.members.values()], ["b"] * 3)
        with self.assertRaisesRegex(Refused, "no other voter"):
            network.members["b"].transfer_leadership("z")

    def test_a_transfer_to_an_unreachable_member_is_abandoned(self) -> None:
        """Otherwise the leader would reject proposals for ever."""
        network = InstantNetwork("a", "b", "c")
        a, network.cut = network.elect("a"), {"c"}
        a.transfer_leadership("c")
        with self.assertRaises(NotLeader):
            a.propose([b"x"])
        for _ in range(ELECTION_TICKS):
            a.tick()
            network.run()
        a.propose([b"x"])


class Replication(unittest.TestCase):
    def test_a_leader_counts_itself_once_the_entry_is_on_its_own_disk(self) -> None:
        """An entry that is not yet on the leader's disk could be lost after it was reported as committed."""
        a = member("a", entries=initial_entries(Config({"a": "a"})))
        a.campaign()
        out = a.take_output()
        self.assertEqual((a.role, a.commit), (Role.LEADER, 0))
        a.record_persisted(out.entries[-1].index, out.entries[-1].term)
        self.assertEqual(a.commit, 2)
        self.assertEqual([e.index for e in a.take_output().committed], [1, 2])

    def test_a_delayed_append_does_not_shorten_the_log(self) -> None:
        """Entries after a delayed message may have been acknowledged already."""
        b = member("b")
        rows = [Entry(i, 1, 1, b"%d" % i) for i in (2, 3, 4)]
        b.step(Append("a", "b", 1, 1, 0, rows, 0))
        b.step(Append("a", "b", 1, 1, 0, rows[:1], 0))
        self.assertEqual(b.log.last, 4)
        self.assertEqual(
            [m.index for m in b.take_output().messages_after_persist if isinstance(m, AppendResponse)], [4, 2]
        )

    def test_conflicting_entries_are_replaced_and_applied_once_persisted(self) -> None:
        """A late report that a replaced entry is on disk must not count for the entry that replaced it."""
        b = member("b", HardState(1, ""), [*initial_entries(), Entry(2, 1, 1, b"x"), Entry(3, 1, 1, b"y")])
        b.step(Append("c", "b", 2, 1, 0, [Entry(2, 2, 1, b"z")], 2))
        out = b.take_output()
        self.assertEqual(([e.data for e in out.entries], b.log.last, b.commit), ([b"z"], 2, 2))
        self.assertEqual([e.index for e in out.committed], [1])  # the rest is not on our disk yet
        b.record_persisted(2, 1)  # a late report about the replaced entry
        self.assertEqual(b.take_output().committed, [])
        b.record_persisted(2, 2)
        self.assertEqual([e.data for e in b.take_output().committed], [b"z"])

    def test_a_mismatch_is_answered_with_the_last_entry_that_can_match(self) -> None:
        """Without the hint, a leader would try one entry after the other."""
        rows = [Entry(i, 1, 1) for i in range(2, 50)]
        b = member("b", HardState(3, ""), [*initial_entries(), *rows])
        b.step(Append("a", "b", 3, 60, 3, [], 0))
        self.assertEqual(
            b.take_output().messages_after_persist, [AppendResponse("b", "a", 3, False, 60, 49, 1)]
        )

    def test_a_stale_leader_learns_the_newer_term(self) -> None:
        """Without an answer, a stale leader would go on to believe that it leads."""
        b = member("b", HardState(5, ""))
        for m in (Append("a", "b", 2, 1, 0, [], 0), Heartbeat("a", "b", 2, 0, 1)):
            b.step(m)
            self.assertEqual(b.take_output().messages_after_persist, [AppendResponse("b", "a", 5, False, 0)])

    def test_a_snapshot_arrives_in_chunks_that_are_lost_or_repeated(self) -> None:
        """Lost or repeated chunks must not corrupt the snapshot or stop the transfer."""
        b = member("b", entries=[])
        parts = [
            SnapshotChunk("a", "b", 1, 9, 1, ABC, at, 6, data) for at, data in ((0, b"abc"), (3, b"def"))
        ]
        b.step(parts[1])
        self.assertEqual(b.take_output().messages_after_persist, [SnapshotChunkResponse("b", "a", 1, 9, 0)])
        for part in (parts[0], parts[0]):
            b.step(part)
        self.assertEqual(
            [
                m.offset
                for m in b.take_output().messages_after_persist
                if isinstance(m, SnapshotChunkResponse)
            ],
            [3, 3],
        )
        b.step(parts[1])
        out = b.take_output()
        self.assertEqual(out.snapshot, Snapshot(9, 1, ABC, b"abcdef"))
        self.assertEqual((b.commit, b.log.base, b.log.config), (9, 9, ABC))
        b.step(parts[0])  # a repeated chunk of a snapshot that is installed
        self.assertIn(AppendResponse("b", "a", 1, True, 9), b.take_output().messages_after_persist)

    def test_a_member_whose_disk_fails_neither_leads_nor_campaigns_nor_votes(self) -> None:
        """It could not persist its vote, its term or its entries."""
        network = InstantNetwork("a", "b", "c")
        a = network.elect("a")
        a.stop_leading()
        for _ in range(3 * ELECTION_TICKS):
            a.tick()
        self.assertIs(a.role, Role.FOLLOWER)
        a.step(TimeoutNow("b", "a", 1))
        self.assertIs(a.role, Role.FOLLOWER)
        a.take_output()
        a.step(VoteRequest("b", "a", 9, 99, 9))
        self.assertEqual(a.take_output().messages_after_persist, [VoteResponse("a", "b", 9, False)])


class MembershipChanges(unittest.TestCase):
    def test_one_voter_is_changed_at_a_time_and_only_when_it_has_caught_up(self) -> None:
        """Larger changes allow two disjoint quorums; a new voter without the log would block commits."""
        network = InstantNetwork("a", "b", "c")
        a = network.elect("a")
        for config, why in (
            (Config({}), "one voter at a time"), (Config({"a": "a"}), "one voter at a time"),
            (Config({**ABC.voters, "d": "d"}), "catch up"),
        ):  # fmt: skip
            with self.assertRaisesRegex(Refused, why):
                a.change_config(config)
        a.change_config(Config(ABC.voters, {"d": "d"}))
        with self.assertRaisesRegex(Refused, "under way"):
            a.change_config(ABC)
        with self.assertRaises(NotLeader):
            network.members["b"].change_config(ABC)

    def test_a_leader_changes_members_only_after_committing_in_its_term(self) -> None:
        """Before that, its change and one of an earlier leader may be committed by disjoint quorums."""
        network = InstantNetwork("a", "b", "c")
        a, network.cut = network.members["a"], {"c"}
        a.campaign(force=True)
        persist_and_send(a, a.take_output())
        network.members["b"].step(VoteRequest("a", "b", 1, 1, 0, force=True))
        for m in network.members["b"].take_output().messages_after_persist:
            a.step(m)
        self.assertIs(a.role, Role.LEADER)
        with self.assertRaisesRegex(Refused, "under way"):
            a.change_config(Config({"a": "a", "b": "b"}))
        a.commit = 1  # as committed by an earlier leader
        with self.assertRaisesRegex(Refused, "has just begun"):
            a.change_config(Config({"a": "a", "b": "b"}))

    def test_a_leader_that_removes_itself_hands_over(self) -> None:
        """It must not go on to lead, nor campaign again, as a member that was removed."""
        network = InstantNetwork("a", "b", "c")
        a = network.elect("a")
        a.change_config(Config({"b": "b", "c": "c"}))
        network.run()
        self.assertIs(a.role, Role.FOLLOWER)
        self.assertTrue(a.is_removed)
        self.assertIn(network.members["b"].leader, ("b", "c"))
        for _ in range(5 * ELECTION_TICKS):
            a.tick()
        self.assertEqual(a.take_output().messages_after_persist, [])  # it does not campaign

    def test_a_removed_member_that_missed_its_removal_is_notified(self) -> None:
        """Otherwise it would campaign for ever and disturb the cluster."""
        network = InstantNetwork("a", "b", "c")
        a, network.cut = network.elect("a"), {"c"}
        a.change_config(Config({"a": "a", "b": "b"}))
        network.run()
        network.cut = set()
        c, term = network.members["c"], a.term
        c.campaign()
        network.run()
        self.assertTrue(c.is_removed)
        self.assertEqual((a.role, a.term), (Role.LEADER, term))
        c.campaign()
        self.assertEqual(c.take_output().messages_after_persist, [])

    def test_an_unknown_candidate_with_a_newer_log_is_answered(self) -> None:
        """It may be a member by an entry that we lack; without an answer it could not be elected."""
        b = member("b")
        b.commit = 1
        b.step(VoteRequest("d", "b", 2, 9, 1))
        self.assertEqual(b.take_output().messages_after_persist, [VoteResponse("b", "d", 2, True)])
        b = member("b")
        b.commit = 1
        b.step(VoteRequest("d", "b", 2, 0, 0))
        self.assertEqual(b.take_output().messages_after_persist, [NotAMember("b", "d", 0, 1)])

    def test_changes_of_one_voter_at_a_time_elect_one_leader_per_term(self) -> None:
        """Explores all states of a small model of membership changes."""
        found = check_safety(membership(one_at_a_time=True))
        self.assertTrue(found["exhaustive"])
        for name, result in found["properties"].items():
            self.assertTrue(result["holds"], (name, result.get("counterexample")))

    def test_changes_of_two_voters_at_once_can_elect_two_leaders(self) -> None:
        """Shows that the model finds the fault that the limit of one voter prevents."""
        found = check_safety(membership(one_at_a_time=False))
        self.assertFalse(found["properties"]["one leader a term"]["holds"])


FIELDS = ("logs", "terms", "leads", "commits")
NAMES = ("a", "b", "c", "d")


def membership(one_at_a_time: bool) -> Protocol:
    """Return a model of membership changes in two terms.

    Of the members a, b, c and d, the first three are voters at first, and there are up to two changes. A log
    is a sequence of configurations, each with its term. A leader's log may reach any other member at any
    time, or never. In the state, `leads` are the elected leaders with their terms, and `commits` are the
    committed configurations with theirs.
    """
    start = ((frozenset("abc"), 0),)

    def quorum(names: frozenset[str], config: frozenset[str]) -> bool:
        return 2 * len(names & config) > len(config)

    def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        logs, terms, leads, commits = state
        steps: list[tuple[str, tuple[Any, ...]]] = []

        def put(row: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
            return (*row[:at], value, *row[at + 1 :])

        for i, name in enumerate(NAMES):
            log, term = logs[i], terms[i]
            # The member is elected by a quorum of the last configuration in its own log.
            new = term + 1
            if new <= 2 and name in log[-1][0]:
                key = (log[-1][1], len(log))
                eligible = [j for j in range(4) if terms[j] < new and (logs[j][-1][1], len(logs[j])) <= key]
                for size in range(1, 5):
                    for voters in combinations(eligible, size):
                        if i in voters and quorum(frozenset(NAMES[j] for j in voters), log[-1][0]):
                            now = tuple(new if j in voters else t for j, t in enumerate(terms))
                            to = (logs, now, (*leads, (new, name)), commits)
                            steps.append((f"{name} leads in {new}", to))
            if (term, name) not in leads:
                continue
            last = log[-1][0]
            settled = log[-1] in commits or len(log) == 1
            term_committed = one_at_a_time is False or any(t == term for _, t in log) or term == 1
            if settled and term_committed and len(log) < 3:
                for count in (1, 2):
                    for moved in combinations(NAMES, count):
                        after = last ^ frozenset(moved)
                        if (count == 1 or not one_at_a_time) and after:
                            grown = put(logs, i, (*log, (after, term)))
                            steps.append((f"{name} proposes {''.join(sorted(after))}",
                                          (grown, terms, leads, commits)))  # fmt: skip
            for j in range(4):
                if j != i and terms[j] <= term and logs[j] != log:
                    told = put(terms, j, term)
                    steps.append((f"{name} sends to {NAMES[j]}", (put(logs, j, log), told, leads, commits)))
            holders = frozenset(NAMES[j] for j in range(4) if logs[j] == log and terms[j] == term)
            if log[-1][1] == term and len(log) > 1 and log[-1] not in commits and quorum(holders, last):
                steps.append((f"{name} commits", (logs, terms, leads, (*commits, log[-1]))))
        return steps

    return Protocol(
        name="change of members", candidate=False, fields=FIELDS,
        initial=((start,) * 4, (0,) * 4, (), ()), transitions=transitions,
        invariants={
            "one leader a term": lambda d: len({t for t, _ in d["leads"]}) == len(set(d["leads"])),
        },
    )  # fmt: skip


class Records(unittest.TestCase):
    def test_written_records_are_read_again_and_bad_ones_are_rejected(self) -> None:
        """A member must restart with exactly the state that it has written, or not at all."""
        snapshot = Snapshot(4, 2, ABC, b"x" * (records.SNAPSHOT_PART_BYTES + 5))
        entries = [Entry(5, 2, 1, b"a"), Entry(6, 3, 2, ABC.pack())]
        found = records.RestoredState()
        for record in records.checkpoint_records(
            records.MemberIdentity("c", "a"), HardState(3, "b"), snapshot, entries
        ):
            found.apply(record)
        self.assertEqual((found.snapshot, found.entries, found.hard), (snapshot, entries, HardState(3, "b")))
        found.apply(records.encode_record(Entry(6, 4, 1, b"new")))
        self.assertEqual([e.term for e in found.entries], [2, 4])
        for bad in (records.encode_record(Entry(9, 4, 1)), records.encode_record(Entry(4, 4, 1)),
                    Record(99, 1, b""), Record(2, 2, b"\x92\1\xa0"), Record(2, 1, b"\xc1")):  # fmt: skip
            with self.assertRaises(FormatError):
                found.apply(bad)
        found.snapshot_parts.pop()
        with self.assertRaises(FormatError):
            _ = found.snapshot


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 8), st.integers(0, 6)), max_size=25))
def test_the_log_against_a_list(steps: list[tuple[int, int, int]]) -> None:
    log, plain = EntryLog(Snapshot(0, 0, ABC)), [Entry(0, 0, 0)]
    for what, one, other in steps:
        if what == 0:
            entry = Entry(log.last + 1, max(log.last_term, one), 1, b"%d" % other)
            log.append([entry])
            plain.append(entry)
        elif what == 1 and log.base <= one <= log.last:
            log.cut(one)
            del plain[one + 1 :]
        elif what == 2 and log.base < one <= log.last:
            log.compact(Snapshot(one, log.term(one) or 0, ABC), other)
        assert log.last == plain[-1].index
        assert log.last_term == plain[-1].term
        for index in range(log.base + 1, log.last + 1):
            assert log.slice(index, log.last) == plain[index:]
            assert log.term(index) == plain[index].term
        with pytest.raises(Compacted):
            log.slice(log.base, log.last)


if __name__ == "__main__":
    unittest.main()
