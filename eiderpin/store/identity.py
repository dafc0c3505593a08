"""Which disk a member speaks from: rules without I/O.

What a member has promised (its vote, the entries that it has acknowledged) is on its disk. One that comes
back without that disk, or with an older copy of it, knows nothing of its promises, and with it two of three
can elect a leader without what was acknowledged. So a member is its name on its disk: a directory gets an
identity when it is first written, the members' configuration names it, and answers from another one count
for nothing (`Raft._is_itself`). A leader takes such a one in again: as a learner, then as a voter.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from msgspec.structs import replace

from eiderpin.store.messages import Config
from eiderpin.store.records import MemberIdentity

MOST_RETIRED = 64
SILENT = 20  # ticks without a word from a member's own disk after which another may take its place


def copied(born: MemberIdentity, anchor: str) -> bool:
    """Whether a directory is a copy of the one that `born` was written to: a file that is made once, and
    never touched again, has another number or time there."""
    return bool(born.anchor) and born.anchor != anchor


def taken_in(
    config: Config, strangers: Mapping[str, str], heard: Mapping[str, int], now: int
) -> Config | None:
    """The configuration with one more disk known, or with the disk of one member replaced; None: as it is.
    `strangers` are those who speak from a disk that it does not know; `heard`: when, in ticks, a member was
    last heard from the disk that it does know.

    Whose disk is replaced has no vote until it has caught up. One that is still heard of keeps its place: two
    processes by one name are somebody's mistake, and not a lost disk.
    """
    for name, disk in sorted(strangers.items()):
        if not disk or name not in config.all() or disk in config.retired:
            continue
        known = config.disks.get(name)
        disks = {**config.disks, name: disk}
        if known is None:
            return replace(config, disks=disks)
        if known == disk or heard.get(name, 0) + SILENT > now:
            continue
        address = config.all()[name]
        voters = {n: a for n, a in config.voters.items() if n != name}
        if not voters:
            continue
        retired = [*config.retired, known][-MOST_RETIRED:]
        return replace(
            config, voters=voters, learners={**config.learners, name: address}, disks=disks, retired=retired
        )
    return None


def members(config: Config, voters: dict[str, str], learners: dict[str, str]) -> Config:
    """The configuration with these members; what is known of their disks stays, and the disk of one who goes
    is retired: whoever comes by that name later is another."""
    there = {**voters, **learners}
    disks = {n: d for n, d in config.disks.items() if n in there}
    gone = [d for n, d in config.disks.items() if n not in there]
    standbys = [n for n in config.standbys if n in learners]
    return Config(voters, learners, disks, [*config.retired, *gone][-MOST_RETIRED:], standbys)


@dataclass(slots=True)
class Founding:
    """How a cluster begins: once all of its first members have been met, each with its disk and nothing on
    it, the first of them by name writes down who they are. So nobody whose disk was lost begins a second
    cluster beside the first: whoever has a log says so."""

    name: str
    disk: str
    members: dict[str, str]
    met: dict[str, str] = field(default_factory=dict)
    there_is_one: bool = False  # somebody has a log: wait for its leader

    def hear(self, name: str, disk: str, has_log: bool) -> None:
        """Another member has told of its disk."""
        if name in self.members and name != self.name:
            self.met[name] = disk
            self.there_is_one = self.there_is_one or has_log

    def missing(self) -> list[str]:
        """First members that have not been met yet."""
        return sorted(set(self.members) - set(self.met) - {self.name})

    def config(self) -> Config | None:
        """What to begin with; None: it is not ours to begin, or not yet."""
        if self.there_is_one or self.missing() or self.name != min(self.members):
            return None
        return Config(self.members, {}, {**self.met, self.name: self.disk})
