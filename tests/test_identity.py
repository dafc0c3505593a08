"""Which disk a member speaks from: the rules, the machine, and three real processes that lose their disks."""

from __future__ import annotations

import random
import shutil
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from benchmarks.rig import free_port
from benchmarks.store_rig import Cluster, Process
from eiderpin.store import identity
from eiderpin.store.client import Failed, StoreClient
from eiderpin.store.messages import (
    AppendResponse,
    Config,
    Entry,
    EntryKind,
    HardState,
    Heartbeat,
    NotAMember,
    Snapshot,
    VoteRequest,
    VoteResponse,
)
from eiderpin.store.raft import HEARD, Raft, Refused, Role
from eiderpin.store.records import MemberIdentity
from tests.standins import wait_for
from tests.test_command import eiderpin
from tests.test_store import cluster

VOTERS = {n: n for n in "abc"}
DISKS = {n: f"disk-{n}" for n in "abc"}


def raft(name: str, disk: str = "", config: Config | None = None) -> Raft:
    """A member with this disk, whose log begins with this configuration."""
    said = config if config is not None else Config(VOTERS, {}, DISKS)
    entries = [Entry(1, 0, int(EntryKind.CONFIG), said.pack())]
    return Raft(name, HardState(), Snapshot(), entries, random.Random(name), disk or f"disk-{name}")


def asks(member: Raft) -> None:
    """It campaigns, past the pre-vote of one other."""
    member.campaign()
    member.out()


# ---- rules ---------------------------------------------------------------------------------------------


def test_a_cluster_begins_once_all_its_first_members_have_been_met_and_by_one_of_them() -> None:
    first, second = (identity.Founding(n, DISKS[n], VOTERS) for n in "ab")
    first.hear("b", "disk-b", False)
    assert first.missing() == ["c"] and first.config() is None
    first.hear("x", "disk-x", False)  # nobody that we know of
    first.hear("c", "disk-c", False)
    assert first.config() == Config(VOTERS, {}, DISKS)
    for name in "ac":
        second.hear(name, DISKS[name], False)
    assert second.config() is None  # it is the first one's to do


def test_whoever_has_a_log_keeps_the_others_from_beginning_a_second_cluster() -> None:
    founding = identity.Founding("a", "disk-new", VOTERS)
    founding.hear("b", "disk-b", False)
    founding.hear("c", "disk-c", True)
    assert founding.config() is None


def test_a_lost_disk_is_taken_in_as_a_learner_once_the_old_one_is_silent() -> None:
    config, now = Config(VOTERS, {}, DISKS), 100
    said = {"b": "disk-new"}
    assert identity.taken_in(config, said, {"b": now - 1}, now) is None  # two processes by one name
    got = identity.taken_in(config, said, {"b": now - identity.SILENT}, now)
    assert got is not None
    assert (set(got.voters), got.learners, got.disks["b"]) == ({"a", "c"}, {"b": "b"}, "disk-new")
    assert got.retired == ["disk-b"]
    assert identity.taken_in(got, {"b": "disk-b"}, {}, now) is None  # it comes back no more


def test_a_disk_that_nothing_is_known_of_is_noted_and_the_last_voter_is_never_let_go() -> None:
    old = Config({"a": "a", "b": "b"}, {}, {"a": "disk-a"})
    got = identity.taken_in(old, {"b": "disk-b", "x": "disk-x", "a": ""}, {}, 100)
    assert got == Config({"a": "a", "b": "b"}, {}, {"a": "disk-a", "b": "disk-b"})
    assert identity.taken_in(Config({"a": "a"}, {}, {"a": "1"}), {"a": "2"}, {}, 100) is None


def test_members_come_and_go_with_what_is_known_of_their_disks() -> None:
    config = Config(VOTERS, {}, DISKS, ["disk-old"])
    got = identity.members(config, {"a": "a", "b": "b"}, {"d": "d"})
    assert (got.disks, got.retired) == ({"a": "disk-a", "b": "disk-b"}, ["disk-old", "disk-c"])


def test_a_copy_is_told_from_the_directory_itself() -> None:
    born = MemberIdentity("c", "a", "disk-a", "11:22")
    assert identity.copied(born, "11:23") and identity.copied(born, "12:22")
    assert not identity.copied(born, "11:22") and not identity.copied(MemberIdentity("c", "a"), "1:1")


# ---- the machine ---------------------------------------------------------------------------------------


def test_a_vote_from_another_disk_is_none() -> None:
    a = raft("a")
    asks(a)
    a.step(VoteResponse("b", "a", 1, True, True, "disk-new"))
    assert a.role is Role.ASKING
    a.step(VoteResponse("b", "a", 1, True, True, "disk-b"))
    assert a.role is Role.CANDIDATE
    a.step(VoteResponse("b", "a", 1, True, False, "disk-new"))
    assert a.role is Role.CANDIDATE
    a.step(VoteResponse("b", "a", 1, True, False, "disk-b"))
    assert a.role is Role.LEADER


def test_one_on_a_copy_does_not_campaign() -> None:
    copy = raft("a", "disk-copy")
    for _ in range(100):
        copy.tick()
    assert copy.role is Role.FOLLOWER and copy.term == 0
    assert not [m for m in copy.out().after if isinstance(m, VoteRequest)]


def test_a_copy_applies_nothing_by_what_its_leader_knows_of_the_lost_disk() -> None:
    """Its log may hold others' entries where the lost disk's had the leader's."""
    config = Config(VOTERS, {}, DISKS)
    entries = [Entry(1, 0, int(EntryKind.CONFIG), config.pack()), Entry(2, 1, int(EntryKind.COMMAND), b"old")]
    copy = Raft("b", HardState(1, ""), Snapshot(), entries, random.Random(1), "disk-copy")
    copy.step(Heartbeat("a", "b", 3, 2, 1, "disk-b"))
    assert copy.commit == 0
    copy.step(Heartbeat("a", "b", 3, 2, 2, "disk-copy"))
    assert copy.commit == 2


def test_a_disk_that_was_replaced_is_told_so_and_nobody_else() -> None:
    a = raft("a", config=Config(VOTERS, {}, {**DISKS, "b": "disk-new"}, ["disk-b"]))
    a.step(VoteResponse("b", "a", 0, False, True, "disk-b"))
    (gone,) = [m for m in a.out().now if isinstance(m, NotAMember)]
    assert gone.disk == "disk-b"
    for disk, meant in (("disk-b", True), ("disk-new", False)):
        b = raft("b", disk)
        b.step(NotAMember("a", "b", 0, 9, "disk-b"))
        assert b.gone is meant


def test_nobody_is_let_go_where_too_few_of_the_rest_are_there() -> None:
    """Else a change that nobody can commit would need the disk that was lost."""
    a = raft("a")
    a.campaign(force=True)
    a.step(VoteResponse("b", "a", 1, True, False, "disk-b"))
    a.persisted(2, 1)
    a.step(AppendResponse("b", "a", 1, True, 2, disk="disk-b"))
    assert a.role is Role.LEADER and a.commit == 2
    a.ticks += HEARD
    a.step(AppendResponse("b", "a", 1, True, 2, disk="disk-b"))
    with pytest.raises(Refused, match="only a is there"):
        a.change(identity.members(a.log.config, {"a": "a", "c": "c"}, {}))
    a.change(identity.members(a.log.config, {"a": "a", "b": "b"}, {}))


# ---- three processes -----------------------------------------------------------------------------------


@pytest.fixture
def three() -> Iterator[Cluster]:
    with cluster() as it:
        wait_for(lambda: len(it.statuses()) == 3, "all three to answer")
        it.together()
        yield it


def alone_with_a_lost_disk(it: Cluster) -> tuple[str, str, str]:
    """A document is acknowledged while one member is down; then the leader dies, and another comes back with
    an empty disk. Returns the leader, the one that was down and the emptied one."""
    leader = it.leader()
    behind, lost = sorted(set(it.all) - {leader})
    it.all[behind].kill()
    it.store_client().put("kept", b"acknowledged")
    it.all[leader].kill()
    it.all[lost].kill()
    shutil.rmtree(it.all[lost].directory)
    it.all[lost].start()
    it.all[behind].start()
    wait_for(lambda: len(it.statuses()) == 2, "the two that are left to answer")
    return leader, behind, lost


def test_two_that_are_left_with_one_empty_disk_wait_for_the_third(three: Cluster) -> None:
    leader, behind, lost = alone_with_a_lost_disk(three)
    with pytest.raises(Failed) as failed:
        StoreClient([three.all[n].door for n in (behind, lost)], 4.0).put("new", b"1")
    assert failed.value.kind == "no-leader"
    three.all[leader].start()
    assert three.store_client(20.0).get("kept")[0] == b"acknowledged"

    def voter_again() -> bool:
        config = three.all[leader].status()
        return lost in config["voters"] and config["disks"][lost] == three.all[lost].status()["disk"]

    wait_for(voter_again, "the emptied one to be a voter again, by itself")
    three.together()
    assert three.store_client(20.0, lost).get("kept")[0] == b"acknowledged"


def test_a_copy_of_last_weeks_disk_has_no_vote_until_it_is_taken_in_again(three: Cluster) -> None:
    leader = three.leader()
    behind, old = sorted(set(three.all) - {leader})
    three.all[old].kill()
    saved = three.folder / "saved"
    shutil.copytree(three.all[old].directory, saved, copy_function=shutil.copy2)
    three.all[old].start()
    three.together()
    three.all[behind].kill()
    three.store_client().put("kept", b"acknowledged")  # by the leader and the one whose disk is put back
    three.all[leader].kill()
    three.all[old].kill()
    shutil.rmtree(three.all[old].directory)
    shutil.copytree(saved, three.all[old].directory, copy_function=shutil.copy2)
    three.all[old].start()
    three.all[behind].start()
    wait_for(lambda: "it is a copy of member" in three.all[old].log(), "the copy to be noticed")
    with pytest.raises(Failed) as failed:
        StoreClient([three.all[n].door for n in (behind, old)], 3.0).put("new", b"1")
    assert failed.value.kind == "no-leader"
    three.all[leader].start()
    assert three.store_client(20.0).get("kept")[0] == b"acknowledged"
    wait_for(lambda: three.all[leader].status()["retired"], "the copy to be taken in")
    three.together()
    assert three.store_client(20.0, old).get("kept")[0] == b"acknowledged"


def test_with_a_majority_lost_one_serves_on_and_a_new_generation_begins_with_what_it_has(
    three: Cluster,
) -> None:
    store = three.store_client()
    revision = store.put("kept", b"acknowledged")["revision"]
    watch = store.watch("", revision - 1)
    assert next(watch)["name"] == "kept"  # somebody follows, and will ask for more after this revision
    old, away, emptied = sorted(three.all)
    three.together()
    for name in (away, emptied):
        three.all[name].kill()
    shutil.rmtree(three.all[emptied].directory)
    three.all[emptied].start()
    only = StoreClient([three.all[old].door], 2.0)
    assert only.get("kept", stale=True)[0] == b"acknowledged"
    with pytest.raises(Failed) as failed:
        only.put("new", b"1")
    assert failed.value.kind in ("no-leader", "unknown")  # it led perhaps, and has yet to find out

    # An operator decides to go on with what is left, while the others are still there.
    one = three.all[old]
    one.kill()
    saved = one.directory.rename(one.folder / "old")
    args = ("store", "restore", str(saved), str(one.directory), "--name", old, "--cluster", "c1")
    done = eiderpin(*args, "--member", f"{old}={one.listen}")
    assert done.returncode == 0, done.stderr
    one.start()
    client = StoreClient([one.door], 15.0)
    assert client.get("kept")[0] == b"acknowledged"
    assert (one.status()["generation"], one.status()["voters"]) == (2, {old: one.listen})
    client.put("new", b"2")
    other = three.all[away]
    other.start()  # as after a cut, on whose other side it was
    wait_for(lambda: "generation 1 of the cluster; here is 2" in other.log(), "the old one to be refused")
    assert one.status()["voters"] == {old: one.listen}

    # Who followed the old one's revisions is told to begin anew, and does not wait for them to come again.
    store.doors = [one.door]
    with pytest.raises(Failed) as begun:
        for _ in zip(range(200), watch, strict=False):
            pass  # what was told of the old generation before it ended
    assert begun.value.kind == "compacted"

    # One without anything comes in again as a new member.
    fresh = three.all[emptied]
    client.ask("add", 20.0, name=emptied, address=fresh.listen)
    assert StoreClient([fresh.door], 15.0).get("new")[0] == b"2"
    assert fresh.status()["generation"] == 2


def test_a_store_of_one_may_be_moved() -> None:
    with tempfile.TemporaryDirectory() as folder:
        one = Process(Path(folder), "solo", {}, "")
        one.parts["store"] = {"directory": str(one.directory)}
        one.start()
        try:
            StoreClient([one.door], 15.0).put("kept", b"1")
            one.kill()
            moved = shutil.copytree(one.directory, one.folder / "moved", copy_function=shutil.copy2)
            one.parts["store"] = {"directory": str(moved)}
            one.start()
            assert StoreClient([one.door], 15.0).get("kept")[0] == b"1"
        finally:
            one.kill()


def test_two_processes_by_one_name_leave_the_member_its_place(three: Cluster) -> None:
    leader = three.leader()
    name = sorted(set(three.all) - {leader})[0]
    folder = three.folder / "second"
    folder.mkdir()
    twin = Process(folder, name, three.members, f"127.0.0.1:{free_port()}")
    twin.start()
    try:
        wait_for(lambda: "others have a log" in twin.log(), "the second one to find out")
        before = three.all[leader].status()["disks"]
        time.sleep(1.5)
        assert three.all[leader].status()["disks"] == before
        assert name in three.all[leader].status()["voters"]
    finally:
        twin.kill()
