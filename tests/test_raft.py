"""Raft by scripts of steps, the log, the progress of a member, and the change of members explored to its last
state."""

from __future__ import annotations

import random
import unittest
from itertools import combinations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from eiderpin.durable.frames import BadFormat, Record
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
from eiderpin.store.raft import ELECTION_TICKS, NotLeader, Out, Raft, Refused, Role

ABC = Config({n: n for n in "abc"})


def first(config: Config = ABC) -> list[Entry]:
    return [Entry(1, 0, int(EntryKind.CONFIG), config.pack())]


NEW = HardState()


def member(name: str, hard: HardState = NEW, entries: list[Entry] | None = None) -> Raft:
    return Raft(name, hard, Snapshot(), first() if entries is None else entries, random.Random(name))


def settled(raft: Raft, out: Out) -> list[Message]:
    """All it sends, once its disk has what it was to have."""
    if out.entries:
        raft.persisted(out.entries[-1].index, out.entries[-1].term)
    return out.now + out.after


class Net:
    """Members whose messages arrive at once, in order, but for those that are cut off."""

    def __init__(self, *names: str) -> None:
        self.members = {n: member(n) for n in names}
        self.cut: set[str] = set()

    def run(self) -> None:
        for _ in range(200):
            waiting = [m for r in self.members.values() for m in settled(r, r.out())]
            if not waiting:
                return
            for m in waiting:
                if m.to in self.members and not {m.frm, m.to} & self.cut:
                    self.members[m.to].step(m)
        raise AssertionError("they never fall silent")

    def elect(self, name: str) -> Raft:
        self.members[name].campaign(force=True)
        self.run()
        assert self.members[name].role is Role.LEADER
        return self.members[name]


class Elections(unittest.TestCase):
    def test_a_vote_is_told_after_it_is_on_disk(self) -> None:
        b = member("b")
        b.step(VoteRequest("a", "b", 1, 1, 0))
        out = b.out()
        self.assertEqual(out.hard, HardState(1, "a"))
        self.assertEqual((out.now, out.after), ([], [VoteResponse("b", "a", 1, True)]))

    def test_one_vote_a_term_also_after_a_restart(self) -> None:
        b = member("b", HardState(1, "a"))
        b.step(VoteRequest("c", "b", 1, 9, 0))
        self.assertEqual(b.out().after, [VoteResponse("b", "c", 1, False)])
        b.step(VoteRequest("a", "b", 1, 9, 0))
        self.assertEqual(b.out().after, [VoteResponse("b", "a", 1, True)])

    def test_no_vote_for_an_older_log(self) -> None:
        b = member("b", HardState(2, ""), [*first(), Entry(2, 2, 1, b"x")])
        for last, term, granted in ((1, 0, False), (9, 1, False), (2, 2, True)):
            b.step(VoteRequest("a", "b", 3, last, term))
            self.assertEqual(b.out().after[-1], VoteResponse("b", "a", 3, granted))

    def test_a_pre_vote_changes_nothing(self) -> None:
        b = member("b")
        b.step(VoteRequest("a", "b", 1, 1, 0, pre=True))
        out = b.out()
        self.assertEqual((out.hard, out.after), (None, [VoteResponse("b", "a", 1, True, True)]))

    def test_who_was_cut_off_does_not_unseat_a_leader(self) -> None:
        net = Net("a", "b", "c")
        net.elect("a")
        c, net.cut = net.members["c"], {"c"}
        for _ in range(5 * ELECTION_TICKS):
            c.tick()
            c.out()
        self.assertEqual((c.term, c.role), (1, Role.ASKING))
        net.cut = set()
        c.campaign()
        net.run()
        self.assertEqual([r.leader for r in net.members.values()], ["a", "a", ""])
        net.members["a"].propose([b"x"])
        net.run()
        self.assertEqual((c.leader, c.log.last), ("a", 3))

    def test_a_leader_without_a_quorum_steps_down(self) -> None:
        net = Net("a", "b", "c")
        a = net.elect("a")
        for _ in range(2 * ELECTION_TICKS):
            a.tick()
            a.out()
        self.assertIs(a.role, Role.FOLLOWER)
        with self.assertRaises(NotLeader):
            a.propose([b"x"])

    def test_a_transfer_goes_to_who_has_all(self) -> None:
        net = Net("a", "b", "c")
        a = net.elect("a")
        a.propose([b"x"])
        a.transfer("b")
        net.run()
        self.assertEqual([r.leader for r in net.members.values()], ["b"] * 3)
        with self.assertRaisesRegex(Refused, "no other voter"):
            net.members["b"].transfer("z")

    def test_a_transfer_to_a_dead_one_is_given_up(self) -> None:
        net = Net("a", "b", "c")
        a, net.cut = net.elect("a"), {"c"}
        a.transfer("c")
        with self.assertRaises(NotLeader):
            a.propose([b"x"])
        for _ in range(ELECTION_TICKS):
            a.tick()
            net.run()
        a.propose([b"x"])


class Replication(unittest.TestCase):
    def test_a_leader_counts_itself_once_it_is_on_its_own_disk(self) -> None:
        a = member("a", entries=first(Config({"a": "a"})))
        a.campaign()
        out = a.out()
        self.assertEqual((a.role, a.commit), (Role.LEADER, 0))
        a.persisted(out.entries[-1].index, out.entries[-1].term)
        self.assertEqual(a.commit, 2)
        self.assertEqual([e.index for e in a.out().committed], [1, 2])

    def test_an_old_append_does_not_shorten_the_log(self) -> None:
        b = member("b")
        rows = [Entry(i, 1, 1, b"%d" % i) for i in (2, 3, 4)]
        b.step(Append("a", "b", 1, 1, 0, rows, 0))
        b.step(Append("a", "b", 1, 1, 0, rows[:1], 0))
        self.assertEqual(b.log.last, 4)
        self.assertEqual([m.index for m in b.out().after if isinstance(m, AppendResponse)], [4, 2])

    def test_a_conflict_is_cut_and_what_follows_it_goes(self) -> None:
        b = member("b", HardState(1, ""), [*first(), Entry(2, 1, 1, b"x"), Entry(3, 1, 1, b"y")])
        b.step(Append("c", "b", 2, 1, 0, [Entry(2, 2, 1, b"z")], 2))
        out = b.out()
        self.assertEqual(([e.data for e in out.entries], b.log.last, b.commit), ([b"z"], 2, 2))
        self.assertEqual([e.index for e in out.committed], [1])  # its own disk has no more of it yet
        b.persisted(2, 1)  # of what was replaced
        self.assertEqual(b.out().committed, [])
        b.persisted(2, 2)
        self.assertEqual([e.data for e in b.out().committed], [b"z"])

    def test_a_mismatch_is_told_with_a_hint_that_skips_terms(self) -> None:
        rows = [Entry(i, 1, 1) for i in range(2, 50)]
        b = member("b", HardState(3, ""), [*first(), *rows])
        b.step(Append("a", "b", 3, 60, 3, [], 0))
        self.assertEqual(b.out().after, [AppendResponse("b", "a", 3, False, 60, 49, 1)])

    def test_a_stale_leader_hears_of_the_newer_term(self) -> None:
        b = member("b", HardState(5, ""))
        for m in (Append("a", "b", 2, 1, 0, [], 0), Heartbeat("a", "b", 2, 0, 1)):
            b.step(m)
            self.assertEqual(b.out().after, [AppendResponse("b", "a", 5, False, 0)])

    def test_a_snapshot_in_parts_lost_repeated_and_replaced(self) -> None:
        b = member("b", entries=[])
        parts = [
            SnapshotChunk("a", "b", 1, 9, 1, ABC, at, 6, data) for at, data in ((0, b"abc"), (3, b"def"))
        ]
        b.step(parts[1])
        self.assertEqual(b.out().after, [SnapshotChunkResponse("b", "a", 1, 9, 0)])
        for part in (parts[0], parts[0]):
            b.step(part)
        self.assertEqual([m.offset for m in b.out().after if isinstance(m, SnapshotChunkResponse)], [3, 3])
        b.step(parts[1])
        out = b.out()
        self.assertEqual(out.snapshot, Snapshot(9, 1, ABC, b"abcdef"))
        self.assertEqual((b.commit, b.log.base, b.log.config), (9, 9, ABC))
        b.step(parts[0])  # again: it has it
        self.assertIn(AppendResponse("b", "a", 1, True, 9), b.out().after)

    def test_one_whose_disk_fails_neither_leads_nor_campaigns_nor_votes(self) -> None:
        net = Net("a", "b", "c")
        a = net.elect("a")
        a.give_up()
        for _ in range(3 * ELECTION_TICKS):
            a.tick()
        self.assertIs(a.role, Role.FOLLOWER)
        a.step(TimeoutNow("b", "a", 1))
        self.assertIs(a.role, Role.FOLLOWER)
        a.out()
        a.step(VoteRequest("b", "a", 9, 99, 9))
        self.assertEqual(a.out().after, [VoteResponse("a", "b", 9, False)])


class Members(unittest.TestCase):
    def test_one_voter_at_a_time_and_only_when_it_has_caught_up(self) -> None:
        net = Net("a", "b", "c")
        a = net.elect("a")
        for config, why in (
            (Config({}), "one voter at a time"), (Config({"a": "a"}), "one voter at a time"),
            (Config({**ABC.voters, "d": "d"}), "catch up"),
        ):  # fmt: skip
            with self.assertRaisesRegex(Refused, why):
                a.change(config)
        a.change(Config(ABC.voters, {"d": "d"}))
        with self.assertRaisesRegex(Refused, "under way"):
            a.change(ABC)
        with self.assertRaises(NotLeader):
            net.members["b"].change(ABC)

    def test_a_leader_that_has_just_begun_changes_nobody(self) -> None:
        net = Net("a", "b", "c")
        a, net.cut = net.members["a"], {"c"}
        a.campaign(force=True)
        settled(a, a.out())
        net.members["b"].step(VoteRequest("a", "b", 1, 1, 0, force=True))
        for m in net.members["b"].out().after:
            a.step(m)
        self.assertIs(a.role, Role.LEADER)
        with self.assertRaisesRegex(Refused, "under way"):
            a.change(Config({"a": "a", "b": "b"}))
        a.commit = 1  # by an earlier leader
        with self.assertRaisesRegex(Refused, "has just begun"):
            a.change(Config({"a": "a", "b": "b"}))

    def test_a_leader_that_removes_itself_hands_over(self) -> None:
        net = Net("a", "b", "c")
        a = net.elect("a")
        a.change(Config({"b": "b", "c": "c"}))
        net.run()
        self.assertIs(a.role, Role.FOLLOWER)
        self.assertTrue(a.removed)
        self.assertIn(net.members["b"].leader, ("b", "c"))
        for _ in range(5 * ELECTION_TICKS):
            a.tick()
        self.assertEqual(a.out().after, [])  # it campaigns no more

    def test_a_removed_one_that_does_not_know_it_is_told(self) -> None:
        net = Net("a", "b", "c")
        a, net.cut = net.elect("a"), {"c"}
        a.change(Config({"a": "a", "b": "b"}))
        net.run()
        net.cut = set()
        c, term = net.members["c"], a.term
        c.campaign()
        net.run()
        self.assertTrue(c.removed)
        self.assertEqual((a.role, a.term), (Role.LEADER, term))
        c.campaign()
        self.assertEqual(c.out().after, [])

    def test_one_with_a_newer_log_than_ours_is_no_stranger(self) -> None:
        b = member("b")
        b.commit = 1
        b.step(VoteRequest("d", "b", 2, 9, 1))
        self.assertEqual(b.out().after, [VoteResponse("b", "d", 2, True)])
        b = member("b")
        b.commit = 1
        b.step(VoteRequest("d", "b", 2, 0, 0))
        self.assertEqual(b.out().after, [NotAMember("b", "d", 0, 1)])

    def test_every_change_of_members_is_safe(self) -> None:
        found = check_safety(membership(one_at_a_time=True))
        self.assertTrue(found["exhaustive"])
        for name, result in found["properties"].items():
            self.assertTrue(result["holds"], (name, result.get("counterexample")))

    def test_two_voters_at_once_would_not_be(self) -> None:
        found = check_safety(membership(one_at_a_time=False))
        self.assertFalse(found["properties"]["one leader a term"]["holds"])


FIELDS = ("logs", "terms", "leads", "commits")
NAMES = ("a", "b", "c", "d")


def membership(one_at_a_time: bool) -> Protocol:
    """Members a, b, c and d, of whom a, b and c begin; two terms, two changes. A log is the sequence of its
    configurations, each with its term; a leader's entries come to any other at any time, or never.

    `leads`: who was elected in each term. `commits`: configurations that were committed, with their place.
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
            # Elected, by some quorum of the configuration that is last in its own log.
            new = term + 1
            if new <= 2 and name in log[-1][0]:
                key = (log[-1][1], len(log))
                may = [j for j in range(4) if terms[j] < new and (logs[j][-1][1], len(logs[j])) <= key]
                for size in range(1, 5):
                    for voters in combinations(may, size):
                        if i in voters and quorum(frozenset(NAMES[j] for j in voters), log[-1][0]):
                            now = tuple(new if j in voters else t for j, t in enumerate(terms))
                            to = (logs, now, (*leads, (new, name)), commits)
                            steps.append((f"{name} leads in {new}", to))
            if (term, name) not in leads:
                continue
            last = log[-1][0]
            settled = log[-1] in commits or len(log) == 1
            mine = one_at_a_time is False or any(t == term for _, t in log) or term == 1
            if settled and mine and len(log) < 3:
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
            have = frozenset(NAMES[j] for j in range(4) if logs[j] == log and terms[j] == term)
            if log[-1][1] == term and len(log) > 1 and log[-1] not in commits and quorum(have, last):
                steps.append((f"{name} commits", (logs, terms, leads, (*commits, log[-1]))))
        return steps

    return Protocol(
        name="change of members", candidate=False, fields=FIELDS,
        initial=((start,) * 4, (0,) * 4, (), ()), transitions=transitions,
        invariants={
            "one leader a term": lambda d: len({t for t, _ in d["leads"]}) == len(set(d["leads"])),
        },
    )  # fmt: skip


class OnDisk(unittest.TestCase):
    def test_what_is_written_reads_again(self) -> None:
        snapshot = Snapshot(4, 2, ABC, b"x" * (records.PART + 5))
        entries = [Entry(5, 2, 1, b"a"), Entry(6, 3, 2, ABC.pack())]
        found = records.Restored()
        for record in records.whole(records.MemberIdentity("c", "a"), HardState(3, "b"), snapshot, entries):
            found.apply(record)
        self.assertEqual((found.snapshot, found.entries, found.hard), (snapshot, entries, HardState(3, "b")))
        found.apply(records.pack(Entry(6, 4, 1, b"new")))
        self.assertEqual([e.term for e in found.entries], [2, 4])
        for bad in (records.pack(Entry(9, 4, 1)), records.pack(Entry(4, 4, 1)), Record(99, 1, b""),
                    Record(2, 2, b"\x92\1\xa0"), Record(2, 1, b"\xc1")):  # fmt: skip
            with self.assertRaises(BadFormat):
                found.apply(bad)
        found.parts.pop()
        with self.assertRaises(BadFormat):
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
