"""Members that are kept learners until an operator promotes them."""

from __future__ import annotations

import unittest

from msgspec.structs import replace

from eiderpin.store import identity
from eiderpin.store.client import Failed
from eiderpin.store.messages import Config
from tests.standins import wait_for
from tests.test_command import eiderpin
from tests.test_store import cluster

VOTERS = {name: name for name in "abc"}


class Rules(unittest.TestCase):
    def test_changes_of_members_keep_standbys_that_are_there(self) -> None:
        config = Config(VOTERS, {"s": "s"}, {"s": "disk-s"}, [], ["s"])
        cases = [
            ("a voter goes", {"a": "a", "b": "b"}, {"s": "s"}, ["s"]),
            ("the standby goes", VOTERS, {}, []),
            ("it has become a voter", {**VOTERS, "s": "s"}, {}, []),
        ]
        for what, voters, learners, standbys in cases:
            with self.subTest(what):
                self.assertEqual(identity.with_members(config, voters, learners).standbys, standbys)

    def test_a_standby_that_lost_its_disk_stays_one(self) -> None:
        config = Config(VOTERS, {"s": "s"}, {**VOTERS, "s": "disk-s"}, [], ["s"])
        taken = identity.admit_unknown_disk(config, {"s": "disk-new"}, {}, 100)
        assert taken is not None
        wanted = replace(config, disks={**VOTERS, "s": "disk-new"}, retired=["disk-s"])
        self.assertEqual(taken, wanted)


class Processes(unittest.TestCase):
    def test_a_standby_follows_without_a_vote_until_it_is_promoted(self) -> None:
        with cluster(3) as it:
            store = it.store_client()
            process = it.join("s1")
            said = store.ask("add-standby", 20.0, name="s1", address=process.listen)
            self.assertEqual((said["standbys"], sorted(said["voters"])), (["s1"], ["m0", "m1", "m2"]))
            for number in range(30):
                store.put(f"k{number}", b"v")
            wait_for(lambda: it.statuses().get("s1", {}).get("documents", 0) >= 30, "it to follow")
            wait_for(lambda: it.statuses()[it.leader()]["peers"]["s1"]["match"] > 30, "the leader to know")
            store.put("one more", b"v")  # a change of members would have come before it
            status = store.ask("status")
            self.assertEqual(
                (list(status["learners"]), sorted(status["voters"])), (["s1"], ["m0", "m1", "m2"])
            )
            shown = eiderpin("store", "members", "--door", it.all["m0"].door).stdout
            self.assertIn("standby    s1", shown)
            with self.assertRaisesRegex(Failed, "no standby"):
                store.ask("promote", 20.0, name="m0")
            lost = next(name for name in ("m1", "m2") if name != it.leader())
            it.all.pop(lost).kill()
            store.doors = [p.door for p in it.all.values()]
            done = eiderpin("store", "promote", "s1", "--door", it.all["m0"].door)
            self.assertIn("voter      s1", done.stdout + done.stderr)
            store.ask("remove", 20.0, name=lost)
            self.assertEqual(sorted(store.ask("status")["voters"]), sorted(it.all))
            other = next(name for name in it.all if name not in (it.leader(), "s1"))
            it.all[other].kill()
            store.doors = [p.door for p in it.all.values() if p.alive]
            store.put("by the vote of the one that was promoted", b"v")


if __name__ == "__main__":
    unittest.main()
