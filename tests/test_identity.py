"""Tests of members that lose their disks: the rules, Raft, and clusters of three real processes."""

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
from eiderpin.store.client import StoreClient, StoreRequestError
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
from eiderpin.store.raft import PRESENCE_TICKS, Raft, Refused, Role
from eiderpin.store.records import MemberIdentity
from tests.standins import wait_for
from tests.test_command import eiderpin
from tests.test_store import cluster

VOTERS = {n: n for n in "abc"}
DISKS = {n: f"disk-{n}" for n in "abc"}


def raft(name: str, disk: str = "", config: Config | None = None) -> Raft:
    """Return a member on this disk, whose log starts with this configuration."""
    initial = config if config is not None else Config(VOTERS, {}, DISKS)
    entries = [Entry(1, 0, int(EntryKind.CONFIG), initial.pack())]
    return Raft(name, HardState(), Snapshot(), entries, random.Random(name), disk or f"disk-{name}")


def start_campaign(member: Raft) -> None:
    """Make a member campaign, and drop its output."""
    member.campaign()
    member.take_output()


# ---- rules ---------------------------------------------------------------------------------------------


def test_one_member_creates_the_cluster_once_all_initial_members_are_discovered() -> None:
    """Two members that each write the first configuration would create two clusters."""
    first, second = (identity.ClusterBootstrap(n, DISKS[n], VOTERS) for n in "ab")
    first.record_member("b", "disk-b", False)
    assert first.missing_members() == ["c"] and first.initial_config() is None
    first.record_member("x", "disk-x", False)  # not an initial member
    first.record_member("c", "disk-c", False)
    assert first.initial_config() == Config(VOTERS, {}, DISKS)
    for name in "ac":
        second.record_member(name, DISKS[name], False)
    assert second.initial_config() is None  # the first member by name writes it


def test_no_second_cluster_is_created_while_a_member_has_a_log() -> None:
    """A member that lost its disk must not create a new cluster next to the existing one."""
    founding = identity.ClusterBootstrap("a", "disk-new", VOTERS)
    founding.record_member("b", "disk-b", False)
    founding.record_member("c", "disk-c", True)
    assert founding.initial_config() is None


def test_a_member_on_a_new_disk_becomes_a_learner_once_the_old_disk_is_silent() -> None:
    """Two processes with one name must not replace each other, and a replaced disk must not return."""
    config, now = Config(VOTERS, {}, DISKS), 100
    unknown_disks = {"b": "disk-new"}
    # Two processes with one name.
    assert identity.admit_unknown_disk(config, unknown_disks, {"b": now - 1}, now) is None
    changed = identity.admit_unknown_disk(config, unknown_disks, {"b": now - identity.SILENCE_TICKS}, now)
    assert changed is not None
    assert (set(changed.voters), changed.learners, changed.disks["b"]) == ({"a", "c"}, {"b": "b"}, "disk-new")
    assert changed.retired == ["disk-b"]
    # A retired disk does not return.
    assert identity.admit_unknown_disk(changed, {"b": "disk-b"}, {}, now) is None


def test_an_unknown_disk_is_recorded_and_the_last_voter_is_never_replaced() -> None:
    """Configurations of earlier versions name no disks. Without its last voter a cluster has no log."""
    old = Config({"a": "a", "b": "b"}, {}, {"a": "disk-a"})
    changed = identity.admit_unknown_disk(old, {"b": "disk-b", "x": "disk-x", "a": ""}, {}, 100)
    assert changed == Config({"a": "a", "b": "b"}, {}, {"a": "disk-a", "b": "disk-b"})
    assert identity.admit_unknown_disk(Config({"a": "a"}, {}, {"a": "1"}), {"a": "2"}, {}, 100) is None


def test_disks_of_remaining_members_are_kept_and_those_of_removed_members_retired() -> None:
    """A removed member must not return under its name with its old disk."""
    config = Config(VOTERS, {}, DISKS, ["disk-old"])
    changed = identity.with_members(config, {"a": "a", "b": "b"}, {"d": "d"})
    assert (changed.disks, changed.retired) == ({"a": "disk-a", "b": "disk-b"}, ["disk-old", "disk-c"])


def test_a_copied_directory_is_detected() -> None:
    """A copy has an anchor file with another inode number or change time."""
    own = MemberIdentity("c", "a", "disk-a", "11:22")
    assert identity.is_copy(own, "11:23") and identity.is_copy(own, "12:22")
    assert not identity.is_copy(own, "11:22") and not identity.is_copy(MemberIdentity("c", "a"), "1:1")


# ---- Raft ----------------------------------------------------------------------------------------------


def test_a_vote_from_another_disk_is_ignored() -> None:
    """A member that lost its disk may have voted otherwise in this term."""
    a = raft("a")
    start_campaign(a)
    a.step(VoteResponse("b", "a", 1, True, True, "disk-new"))
    assert a.role is Role.PRE_CANDIDATE
    a.step(VoteResponse("b", "a", 1, True, True, "disk-b"))
    assert a.role is Role.CANDIDATE
    a.step(VoteResponse("b", "a", 1, True, False, "disk-new"))
    assert a.role is Role.CANDIDATE
    a.step(VoteResponse("b", "a", 1, True, False, "disk-b"))
    assert a.role is Role.LEADER


def test_a_member_on_a_copied_disk_does_not_campaign() -> None:
    """Its log may lack entries that the lost disk had acknowledged."""
    copy = raft("a", "disk-copy")
    for _ in range(100):
        copy.tick()
    assert copy.role is Role.FOLLOWER and copy.term == 0
    assert not [m for m in copy.take_output().messages_after_persist if isinstance(m, VoteRequest)]


def test_a_copied_disk_ignores_a_commit_index_that_refers_to_the_lost_disk() -> None:
    """The copy's log may hold other entries where the lost disk's log matched the leader's."""
    config = Config(VOTERS, {}, DISKS)
    entries = [Entry(1, 0, int(EntryKind.CONFIG), config.pack()), Entry(2, 1, int(EntryKind.COMMAND), b"old")]
    copy = Raft("b", HardState(1, ""), Snapshot(), entries, random.Random(1), "disk-copy")
    copy.step(Heartbeat("a", "b", 3, 2, 1, "disk-b"))
    assert copy.commit == 0
    copy.step(Heartbeat("a", "b", 3, 2, 2, "disk-copy"))
    assert copy.commit == 2


def test_only_the_replaced_disk_is_notified_of_its_removal() -> None:
    """The member on the new disk has the same name and must not regard itself as removed."""
    a = raft("a", config=Config(VOTERS, {}, {**DISKS, "b": "disk-new"}, ["disk-b"]))
    a.step(VoteResponse("b", "a", 0, False, True, "disk-b"))
    (gone,) = [m for m in a.take_output().messages if isinstance(m, NotAMember)]
    assert gone.disk == "disk-b"
    for disk, meant in (("disk-b", True), ("disk-new", False)):
        b = raft("b", disk)
        b.step(NotAMember("a", "b", 0, 9, "disk-b"))
        assert b.notified_removed is meant


def test_a_voter_is_not_removed_if_too_few_others_are_reachable() -> None:
    """Otherwise only the lost disk could help to commit the change, and everything after it."""
    a = raft("a")
    a.campaign(force=True)
    a.step(VoteResponse("b", "a", 1, True, False, "disk-b"))
    a.record_persisted(2, 1)
    a.step(AppendResponse("b", "a", 1, True, 2, disk="disk-b"))
    assert a.role is Role.LEADER and a.commit == 2
    a.ticks += PRESENCE_TICKS
    a.step(AppendResponse("b", "a", 1, True, 2, disk="disk-b"))
    with pytest.raises(Refused, match="only a is there"):
        a.change_config(identity.with_members(a.log.config, {"a": "a", "c": "c"}, {}))
    a.change_config(identity.with_members(a.log.config, {"a": "a", "b": "b"}, {}))


# ---- three processes -----------------------------------------------------------------------------------


@pytest.fixture
def three() -> Iterator[Cluster]:
    with cluster() as members:
        wait_for(lambda: len(members.statuses()) == 3, "all three to answer")
        members.wait_until_in_sync()
        yield members


def lose_a_disk_and_the_leader(members: Cluster) -> tuple[str, str, str]:
    """Acknowledge a document while one member is down, kill the leader, and empty the disk of the third.

    Returns:
        The leader, the member that was down, and the one with the empty disk.
    """
    leader = members.leader()
    behind, lost = sorted(set(members.all) - {leader})
    members.all[behind].kill()
    members.store_client().put("kept", b"acknowledged")
    members.all[leader].kill()
    members.all[lost].kill()
    shutil.rmtree(members.all[lost].directory)
    members.all[lost].start()
    members.all[behind].start()
    wait_for(lambda: len(members.statuses()) == 2, "the two that are left to answer")
    return leader, behind, lost


def test_two_members_of_which_one_lost_its_disk_wait_for_the_third(three: Cluster) -> None:
    """Together they could elect a leader without an entry that was acknowledged."""
    leader, behind, lost = lose_a_disk_and_the_leader(three)
    with pytest.raises(StoreRequestError) as failed:
        StoreClient([three.all[n].management_address for n in (behind, lost)], 4.0).put("new", b"1")
    assert failed.value.kind == "no-leader"
    three.all[leader].start()
    assert three.store_client(20.0).get("kept")[0] == b"acknowledged"

    def voter_again() -> bool:
        config = three.all[leader].status()
        return lost in config["voters"] and config["disks"][lost] == three.all[lost].status()["disk"]

    wait_for(voter_again, "the member with the empty disk to be a voter again")
    three.wait_until_in_sync()
    assert three.store_client(20.0, lost).get("kept")[0] == b"acknowledged"


def test_a_member_on_an_old_copy_of_its_disk_has_no_vote_until_it_is_readmitted(three: Cluster) -> None:
    """Its vote could elect a leader without an entry that its lost disk had acknowledged."""
    leader = three.leader()
    behind, old = sorted(set(three.all) - {leader})
    three.all[old].kill()
    saved = three.folder / "saved"
    shutil.copytree(three.all[old].directory, saved, copy_function=shutil.copy2)
    three.all[old].start()
    three.wait_until_in_sync()
    three.all[behind].kill()
    # Acknowledged by the leader and the member whose disk is replaced.
    three.store_client().put("kept", b"acknowledged")
    three.all[leader].kill()
    three.all[old].kill()
    shutil.rmtree(three.all[old].directory)
    shutil.copytree(saved, three.all[old].directory, copy_function=shutil.copy2)
    three.all[old].start()
    three.all[behind].start()
    wait_for(lambda: "it is a copy of member" in three.all[old].log(), "the copy to be noticed")
    with pytest.raises(StoreRequestError) as failed:
        StoreClient([three.all[n].management_address for n in (behind, old)], 3.0).put("new", b"1")
    assert failed.value.kind == "no-leader"
    three.all[leader].start()
    assert three.store_client(20.0).get("kept")[0] == b"acknowledged"
    wait_for(lambda: three.all[leader].status()["retired"], "the copy to be taken in")
    three.wait_until_in_sync()
    assert three.store_client(20.0, old).get("kept")[0] == b"acknowledged"


def test_after_loss_of_a_majority_a_new_generation_starts_from_the_survivor(
    three: Cluster,
) -> None:
    """The survivor of a lost majority serves stale reads only, until it is restored as a new cluster.

    Members and watches of the old generation must then be rejected, or they would mix both histories.
    """
    store = three.store_client()
    revision = store.put("kept", b"acknowledged")["revision"]
    watch = store.watch("", revision - 1)
    assert next(watch)["name"] == "kept"  # a client that continues after this revision later
    old, away, emptied = sorted(three.all)
    three.wait_until_in_sync()
    for name in (away, emptied):
        three.all[name].kill()
    shutil.rmtree(three.all[emptied].directory)
    three.all[emptied].start()
    only = StoreClient([three.all[old].management_address], 2.0)
    assert only.get("kept", stale=True)[0] == b"acknowledged"
    with pytest.raises(StoreRequestError) as failed:
        only.put("new", b"1")
    # It may not have noticed yet that it has lost the quorum.
    assert failed.value.kind in ("no-leader", "unknown")

    # An operator restores the cluster from the survivor, while the other members still exist.
    one = three.all[old]
    one.kill()
    saved = one.directory.rename(one.folder / "old")
    args = ("store", "restore", str(saved), str(one.directory), "--name", old, "--cluster", "c1")
    done = eiderpin(*args, "--member", f"{old}={one.listen}")
    assert done.returncode == 0, done.stderr
    one.start()
    client = StoreClient([one.management_address], 15.0)
    assert client.get("kept")[0] == b"acknowledged"
    assert (one.status()["generation"], one.status()["voters"]) == (2, {old: one.listen})
    client.put("new", b"2")
    other = three.all[away]
    other.start()  # as after a network partition
    wait_for(lambda: "generation 1 of the cluster; here is 2" in other.log(), "the old one to be refused")
    assert one.status()["voters"] == {old: one.listen}

    # A watch of the old generation has to start anew, and must not wait for its revisions to recur.
    store.addresses = [one.management_address]
    with pytest.raises(StoreRequestError) as begun:
        for _ in zip(range(200), watch, strict=False):
            pass  # events of the old generation that were sent before it ended
    assert begun.value.kind == "compacted"

    # A member with an empty disk joins as a new member.
    fresh = three.all[emptied]
    client.ask("add", 20.0, name=emptied, address=fresh.listen)
    assert StoreClient([fresh.management_address], 15.0).get("new")[0] == b"2"
    assert fresh.status()["generation"] == 2


def test_the_directory_of_a_single_member_may_be_moved() -> None:
    """A copy of the only voter's directory must not lose its vote."""
    with tempfile.TemporaryDirectory() as folder:
        one = Process(Path(folder), "solo", {}, "")
        one.parts["store"] = {"directory": str(one.directory)}
        one.start()
        try:
            StoreClient([one.management_address], 15.0).put("kept", b"1")
            one.kill()
            moved = shutil.copytree(one.directory, one.folder / "moved", copy_function=shutil.copy2)
            one.parts["store"] = {"directory": str(moved)}
            one.start()
            assert StoreClient([one.management_address], 15.0).get("kept")[0] == b"1"
        finally:
            one.kill()


def test_a_second_process_with_the_same_name_does_not_replace_the_member(three: Cluster) -> None:
    """Otherwise a mistake in a setting would retire the disk of a running member."""
    leader = three.leader()
    name = sorted(set(three.all) - {leader})[0]
    folder = three.folder / "second"
    folder.mkdir()
    second = Process(folder, name, three.members, f"127.0.0.1:{free_port()}")
    second.start()
    try:
        wait_for(lambda: "others have a log" in second.log(), "the second process to find the log")
        before = three.all[leader].status()["disks"]
        time.sleep(1.5)
        assert three.all[leader].status()["disks"] == before
        assert name in three.all[leader].status()["voters"]
    finally:
        second.kill()
