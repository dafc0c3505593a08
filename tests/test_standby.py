"""Tests of standbys: learners that stay learners until an operator promotes them."""

from __future__ import annotations

import unittest

from msgspec.structs import replace

from eiderpin.store import identity
from eiderpin.store.client import StoreRequestError
from eiderpin.store.messages import Config
from tests.standins import wait_for
from tests.test_command import eiderpin
from tests.test_store import cluster

VOTERS = {name: name for name in "abc"}


class Rules(unittest.TestCase):
    def test_membership_changes_keep_the_remaining_standbys(self) -> None:
        """A standby that is dropped from the list would become a voter by itself."""
        config = Config(VOTERS, {"s": "s"}, {"s": "disk-s"}, [], ["s"])
        cases = [
            ("a voter is removed", {"a": "a", "b": "b"}, {"s": "s"}, ["s"]),
            ("the standby is removed", VOTERS, {}, []),
            ("the standby has become a voter", {**VOTERS, "s": "s"}, {}, []),
        ]
        for case, voters, learners, standbys in cases:
            with self.subTest(case):
                self.assertEqual(identity.with_members(config, voters, learners).standbys, standbys)

    def test_a_standby_that_lost_its_disk_stays_a_standby(self) -> None:
        """Readmitting it on the new disk must not make it a voter."""
        config = Config(VOTERS, {"s": "s"}, {**VOTERS, "s": "disk-s"}, [], ["s"])
        changed = identity.admit_unknown_disk(config, {"s": "disk-new"}, {}, 100)
        assert changed is not None
        expected = replace(config, disks={**VOTERS, "s": "disk-new"}, retired=["disk-s"])
        self.assertEqual(changed, expected)


class Processes(unittest.TestCase):
    def test_a_standby_has_no_vote_until_it_is_promoted(self) -> None:
        """A standby that has caught up must not become a voter by itself.

        After its promotion, the cluster must be able to commit with its vote.
        """
        with cluster(3) as members:
            store = members.store_client()
            process = members.join("s1")
            answer = store.ask("add-standby", 20.0, name="s1", address=process.listen)
            self.assertEqual((answer["standbys"], sorted(answer["voters"])), (["s1"], ["m0", "m1", "m2"]))
            for number in range(30):
                store.put(f"k{number}", b"v")
            wait_for(
                lambda: members.statuses().get("s1", {}).get("documents", 0) >= 30, "the standby to follow"
            )
            wait_for(
                lambda: members.statuses()[members.leader()]["peers"]["s1"]["match"] > 30,
                "the leader to know",
            )
            store.put("one more", b"v")  # an unwanted promotion would be committed before it
            status = store.ask("status")
            self.assertEqual(
                (list(status["learners"]), sorted(status["voters"])), (["s1"], ["m0", "m1", "m2"])
            )
            shown = eiderpin("store", "members", "--door", members.all["m0"].management_address).stdout
            self.assertIn("standby    s1", shown)
            with self.assertRaisesRegex(StoreRequestError, "no standby"):
                store.ask("promote", 20.0, name="m0")
            lost = next(name for name in ("m1", "m2") if name != members.leader())
            members.all.pop(lost).kill()
            store.addresses = [p.management_address for p in members.all.values()]
            done = eiderpin("store", "promote", "s1", "--door", members.all["m0"].management_address)
            self.assertIn("voter      s1", done.stdout + done.stderr)
            store.ask("remove", 20.0, name=lost)
            self.assertEqual(sorted(store.ask("status")["voters"]), sorted(members.all))
            other = next(name for name in members.all if name not in (members.leader(), "s1"))
            members.all[other].kill()
            store.addresses = [p.management_address for p in members.all.values() if p.alive]
            store.put("by the vote of the one that was promoted", b"v")


if __name__ == "__main__":
    unittest.main()
