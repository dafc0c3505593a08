"""Rules about which disk a member may run on, without I/O.

A member's vote and the entries that it has acknowledged are on its disk. A member that restarts with an
empty disk, or with an older copy, has lost them, and together with one other member of three it could elect
a leader that lacks acknowledged entries. So a member is identified by its name and its disk: a directory gets
an id when it is first written, the cluster's configuration names the id, and responses from another disk are
ignored (`Raft._is_known_disk`). A leader admits such a member again, first as a learner and then as a voter.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from msgspec.structs import replace

from eiderpin.store.messages import Config
from eiderpin.store.records import MemberIdentity

MAX_RETIRED_DISKS = 64  # remembered in the configuration
SILENCE_TICKS = 20  # without a message from a member's disk, after which another disk may replace it


def is_copy(identity: MemberIdentity, anchor: str) -> bool:
    """Return whether a directory is a copy of the one that `identity` was written to.

    The anchor file is created once and never changed, so a copy has another inode number or change time.
    """
    return bool(identity.anchor) and identity.anchor != anchor


def admit_unknown_disk(
    config: Config, unknown_disks: Mapping[str, str], last_heard: Mapping[str, int], now_ticks: int
) -> Config | None:
    """Add one unknown disk to the configuration, or replace the disk of one member.

    A member whose disk is replaced becomes a learner, and has no vote until it has caught up. A disk that
    still sends messages keeps its place: two processes with one name are an operator's mistake, not a lost
    disk.

    Args:
        config: The current configuration.
        unknown_disks: Members that answer from a disk that `config` does not name, and that disk.
        last_heard: The tick of each member's last message from the disk that `config` names.
        now_ticks: The current tick.

    Returns:
        The new configuration, or None if there is nothing to change.
    """
    for name, disk in sorted(unknown_disks.items()):
        if not disk or name not in config.all() or disk in config.retired:
            continue
        known = config.disks.get(name)
        disks = {**config.disks, name: disk}
        if known is None:
            return replace(config, disks=disks)
        if known == disk or last_heard.get(name, 0) + SILENCE_TICKS > now_ticks:
            continue
        address = config.all()[name]
        voters = {n: a for n, a in config.voters.items() if n != name}
        if not voters:
            continue
        retired = [*config.retired, known][-MAX_RETIRED_DISKS:]
        return replace(
            config, voters=voters, learners={**config.learners, name: address}, disks=disks, retired=retired
        )
    return None


def with_members(config: Config, voters: dict[str, str], learners: dict[str, str]) -> Config:
    """Return the configuration with these members.

    The disks of those who stay are kept. The disk of a removed member is retired, because a member that joins
    under its name later is a different one.
    """
    remaining = {**voters, **learners}
    disks = {n: d for n, d in config.disks.items() if n in remaining}
    removed = [d for n, d in config.disks.items() if n not in remaining]
    standbys = [n for n in config.standbys if n in learners]
    return Config(voters, learners, disks, [*config.retired, *removed][-MAX_RETIRED_DISKS:], standbys)


@dataclass(slots=True)
class ClusterBootstrap:
    """Decides when a new cluster is created, and by which member.

    Once all initial members have been discovered, each with an empty disk, the first of them by name writes
    the initial configuration. A member that has lost its disk cannot create a second cluster this way,
    because any member that has a log reports it.
    """

    name: str
    disk: str
    members: dict[str, str]
    discovered: dict[str, str] = field(default_factory=dict)
    log_exists: bool = False  # some member has a log, so wait for its leader

    def record_member(self, name: str, disk: str, has_log: bool) -> None:
        """Note the disk that another member has reported, and whether it has a log."""
        if name in self.members and name != self.name:
            self.discovered[name] = disk
            self.log_exists = self.log_exists or has_log

    def missing_members(self) -> list[str]:
        """Return the initial members that have not been discovered yet, sorted."""
        return sorted(set(self.members) - set(self.discovered) - {self.name})

    def initial_config(self) -> Config | None:
        """Return the initial configuration, or None if this member must not write it, or not yet."""
        if self.log_exists or self.missing_members() or self.name != min(self.members):
            return None
        return Config(self.members, {}, {**self.discovered, self.name: self.disk})
