"""Membership changes that come before the leader can make them: they wait instead of being refused.

The failure: a member leads as soon as it is elected, but the entry with which it begins is committed only
once it is on disk. A change that an operator asked for in between was refused at once with "an earlier change
of members is under way", though there was none.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from eiderpin.durable.frames import Record
from eiderpin.store.deferred_changes import DEFER_MS, MAX_DEFERRED, DeferredChanges
from eiderpin.store.member import TICK_MS, Member
from eiderpin.store.messages import MembershipRequest, MembershipResponse, Message
from eiderpin.store.raft import Refused, Role
from eiderpin.store.records import MemberIdentity


class HeldDisk:
    """A disk whose writes are complete once the test says so."""

    def __init__(self) -> None:
        self.is_held, self.waiting = True, list[Callable[[bool], None]]()

    def append(self, new_records: list[Record], on_done: Callable[[bool], None]) -> None:
        """Write records, at once unless the disk is held."""
        if self.is_held:
            self.waiting.append(on_done)
        else:
            on_done(True)

    def checkpoint(self, all_records: Iterable[Record]) -> None:
        """Write a checkpoint."""

    def release(self) -> None:
        """Complete all writes, and later ones at once."""
        self.is_held = False
        waiting, self.waiting = self.waiting, []
        for on_done in waiting:
            on_done(True)


class NewLeader:
    """The only voter of a cluster, elected, whose first entry is not on disk yet."""

    def __init__(self) -> None:
        self.disk, self.sent, self.now = HeldDisk(), list[Message](), 0.0
        own = MemberIdentity("c", "m0", "disk", "anchor")
        restored = Member.initial_state(own, {"m0": "127.0.0.1:1"}, {"m0": "disk"})
        self.member = Member(own, restored, self.disk, self.sent.append, random.Random(1), self.now)
        self.ended: list[Any] = []
        while self.member.raft.role is not Role.LEADER:
            self.tick()
            if self.member.raft.role is Role.CANDIDATE:
                self.disk.release()
                self.disk.is_held = True
        assert self.member.raft.commit < self.member.raft.log.config_index

    def tick(self, ms: float = TICK_MS) -> None:
        """Move the clock."""
        end_at = self.now + ms
        while self.now < end_at:
            self.now += TICK_MS
            self.member.tick(self.now)

    def add(self, name: str, timeout_ms: float = 20_000.0) -> None:
        """Ask for a standby to be added."""
        address = f"{name}:1"
        self.member.change_membership("add-standby", name, address, self.ended.append, self.now, timeout_ms)


def test_a_change_is_not_refused_because_the_leader_has_just_begun() -> None:
    """Guards against the refusal at once; the change is made when the leader's first entry is on disk."""
    leader = NewLeader()
    leader.add("n1")
    assert leader.ended == []
    leader.tick(1000.0)
    assert leader.ended == []
    leader.disk.release()
    leader.tick(200.0)
    assert leader.ended == [None]
    assert list(leader.member.raft.log.config.learners) == ["n1"]


def test_changes_that_come_at_once_are_made_one_after_the_other() -> None:
    """Guards against the refusal of a change that an operator asks for while another one is written."""
    leader = NewLeader()
    leader.disk.release()
    leader.tick(200.0)
    leader.disk.is_held = True
    for name in ("n1", "n2", "n3"):
        leader.add(name)
    assert leader.ended == []
    for _ in range(3):
        leader.disk.release()
        leader.tick(200.0)
    assert leader.ended == [None] * 3
    assert sorted(leader.member.raft.log.config.learners) == ["n1", "n2", "n3"]


def test_a_change_that_another_member_forwards_is_deferred_in_the_same_way() -> None:
    """The member that forwarded it gets the response once the change has begun."""
    leader = NewLeader()
    request = MembershipRequest("m9", "m0", leader.member.raft.term, 5, "add-standby", "n1", "n1:1")
    leader.member.receive(request, leader.now)
    assert not [m for m in leader.sent if isinstance(m, MembershipResponse)]
    leader.disk.release()
    leader.tick(200.0)
    responses = [m for m in leader.sent if isinstance(m, MembershipResponse)]
    assert [(r.to, r.context, r.error) for r in responses] == [("m9", 5, "")]


def test_a_change_that_stays_unsafe_is_refused_with_the_reason_in_the_end() -> None:
    """A deferral must not last for ever, nor hide why the change is not made."""
    leader = NewLeader()
    leader.add("n1")
    leader.tick(DEFER_MS + 200.0)
    (error,) = leader.ended
    assert isinstance(error, Refused)
    assert "under way" in str(error)


def test_a_leader_defers_a_bounded_number_of_changes() -> None:
    """A client that asks again and again must not fill the memory."""
    changes = DeferredChanges()
    request = MembershipRequest("m9", "m0", 1, 5, "remove", "n1")
    accepted = [changes.add(request, "not yet", 0.0) for _ in range(MAX_DEFERRED + 3)]
    assert accepted == [True] * MAX_DEFERRED + [False] * 3
    assert len(changes.take()) == MAX_DEFERRED
    assert changes.take() == []
