"""Dispatchers that follow the store, as real processes on loopback, with faults between them."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks.rig import ROOT
from benchmarks.scale import bad_input
from benchmarks.store_rig import Cluster, Process
from eiderpin.cli.config import publish_config
from eiderpin.parts.store import parse_address
from eiderpin.store.client import Failed
from eiderpin.store.fleet_view import documents, live_observers
from eiderpin.store.names import OBSERVERS
from eiderpin.store.observer_registry import FENCE_AFTER
from eiderpin.store.orders import Order
from tests.standins import http_call, wait_for
from tests.test_command import eiderpin
from tests.test_upgrade import TOOK, said, side

LONG = 60.0  # s; what may take several time-outs, on a machine that does other things as well
WORKER_ORDER = "orders/workers/w1"
NOT_FOR_OBSERVERS = (
    "eiderpin.store.raft",
    "eiderpin.store.member",
    "eiderpin.store.host",
    "eiderpin.store.transport",
    "eiderpin.store.observer_server",
    "eiderpin.durable",
)
NOT_WITHOUT_FOLLOW = ("eiderpin.fleet", "eiderpin.parts", "eiderpin.store", "msgspec")
TELL_MODULES = """
import atexit, sys
atexit.register(lambda: open({path!r}, "w").write("\\n".join(sorted(sys.modules))))
"""


class Fleet:
    """Members that serve observers, and dispatchers that follow them."""

    def __init__(self, folder: Path, members: int, limit: int) -> None:
        self.cluster = Cluster(folder, members, limit)
        self.folder = folder
        self.observers: dict[str, Process] = {}

    def follow(self, name: str, region: str = "", prelude: str = "", **said: Any) -> Process:
        process = self.cluster.observer(name, region=region, **said)
        process.start(prelude)
        self.observers[name] = process
        return process

    def at(self, process: Process) -> str:
        """The member that an observer is served by; empty: by none just now."""
        return str(self.status(process).get("member", ""))

    def status(self, process: Process) -> dict[str, Any]:
        try:
            return dict(process.status()["observer"])
        except Failed:
            return {}

    def await_known(self, process: Process) -> None:
        """Wait until all others know of an observer."""
        wait_for(lambda: self.status(process).get("standing") == "known", "an observer to be known")

    def put_order(self, slots: float) -> None:
        store = self.cluster.store_client(20.0)
        store.put(WORKER_ORDER, Order(slots=slots).pack())
        store.close()

    def applied(self, slots: float) -> bool:
        """Whether every dispatcher says in its log that it follows the order."""
        return all(f"slots={slots}" in p.log() for p in self.observers.values())

    def announced(self) -> dict[str, str]:
        """Who is announced, and by which member."""
        live = live_observers(documents(self.cluster.store_client(10.0), OBSERVERS), OBSERVERS)
        return {name: one.member for name, one in live.items()}

    def stop(self) -> None:
        for process in self.observers.values():
            if process.alive:
                process.kill()
        self.cluster.stop()


@contextmanager
def fleet(*names: str, members: int = 3, limit: int = 100) -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        it = Fleet(Path(folder), members, limit)
        try:
            it.cluster.start()
            for name in names:
                it.follow(name)
            for process in it.observers.values():
                it.await_known(process)
            yield it
            every = [*it.cluster.all.values(), *it.observers.values()]
            faults = [p.log() for p in every if "Traceback" in p.log() or "invariant" in p.log()]
            assert not faults, faults
        finally:
            it.stop()


def ask(process: Process, call: str) -> str:
    """One call at a dispatcher's management address."""
    return ask_at(process.door, call)


def ask_at(where: str, call: str) -> str:
    """One call at a management address."""
    with socket.create_connection(parse_address(where, "door"), 5.0) as sock:
        sock.sendall(call.encode() + b"\n")
        with sock.makefile() as file:
            return file.readline().strip()


def counters(process: Process) -> dict[str, int]:
    """The counters, printed by SIGUSR1."""
    assert process.process is not None
    before = process.log().count("end of counters")
    process.process.send_signal(signal.SIGUSR1)
    wait_for(lambda: process.log().count("end of counters") > before, "the counters")
    rows = [line.rsplit(" ", 1) for line in process.log().rpartition("counters\n")[0].splitlines()]
    return {row[0]: int(row[1]) for row in rows if len(row) == 2 and row[1].isdigit()}


class Following(unittest.TestCase):
    def test_orders_configuration_and_places_reach_those_that_follow(self) -> None:
        with fleet("d1", "d2") as it:
            it.put_order(3.0)
            wait_for(lambda: it.applied(3.0), "the order to be followed")
            wait_for(lambda: all("of 5" in p.log() for p in it.observers.values()), "all five to be counted")
            store = it.cluster.store_client(20.0)
            said = json.loads((it.observers["d1"].folder / "config.json").read_text())
            text = json.dumps({"settings": said["settings"], "workers": []}).encode()
            self.assertEqual(publish_config(store, text), 1)
            wait_for(lambda: all("version 1 taken" in p.log() for p in it.observers.values()), "version 1")

            def shown() -> str:
                done = eiderpin("config", "show", "--door", it.cluster.all["m0"].door)
                return done.stderr

            wait_for(lambda: "in force at 5 of 5 dispatchers, everywhere after" in shown(), "it to be known")
            status = eiderpin("store", "status", "--door", it.observers["d1"].door).stdout
            self.assertRegex(status, r"(?m)^standing +known$")
            refused = eiderpin("store", "members", "--door", it.observers["d1"].door)
            self.assertEqual((refused.returncode, "no member" in refused.stderr), (3, True))
            listed = eiderpin("dispatchers", "--door", it.cluster.all["m1"].door).stdout
            self.assertEqual(
                [line.split()[0] for line in listed.splitlines()], ["m0", "m1", "m2", "d1", "d2"]
            )
            self.assertEqual(listed.count("observer of m"), 2)
            worse = dict(said["settings"], tick=7.0)
            publish_config(store, json.dumps({"settings": worse, "workers": []}).encode())
            lagging = "d1: version 2, restart needed: settings"
            wait_for(lambda: lagging in shown(), "the restart to be asked for")
            self.assertIn("in force at 0 of 5 dispatchers\n", shown())
            store.close()

    def test_one_that_follows_has_neither_disk_nor_consensus(self) -> None:
        with fleet(members=1) as it:
            path = it.folder / "modules"
            process = it.follow("d1", prelude=TELL_MODULES.format(path=str(path)))
            wait_for(lambda: it.status(process).get("standing") == "known", "it to be known")
            files = sorted(p.name for p in process.folder.iterdir())
            self.assertEqual(files, ["config.json", "parts.json", "stderr"])
            process.kill(signal.SIGTERM)
            loaded = path.read_text().splitlines()
            self.assertEqual([m for m in loaded if m.startswith(NOT_FOR_OBSERVERS)], [])
            wait_for(lambda: it.announced() == {}, "its planned end to be known")

    def test_without_follow_nothing_of_it_is_loaded(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            process = Process(Path(folder), "alone", {}, "")
            process.parts = {}
            path = Path(folder) / "modules"
            process.start(TELL_MODULES.format(path=str(path)))
            wait_for(lambda: "listens" in process.log(), "it to listen")
            process.kill(signal.SIGTERM)
            loaded = path.read_text().splitlines()
            self.assertEqual([m for m in loaded if m.startswith(NOT_WITHOUT_FOLLOW)], [])

    def test_what_cannot_be_had_is_one_line_and_exit_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            process = Process(Path(folder), "d1", {}, "")
            for said, why in (
                ({"follow": {}}, "an object of members"),
                ({"follow": {"m0": "nowhere"}}, "HOST:PORT is expected"),
                ({"follow": {"m0": "h:1"}, "directory": "/x"}, "has no place beside store.follow"),
                ({"directory": folder, "observers": {"listen": "x"}}, "HOST:PORT is expected"),
                ({"directory": folder, "observers": {"listen": "h:1", "limit": 0}}, "1 to 10000"),
                ({"directory": folder, "observers": {"port": 1}}, "there is no such setting"),
            ):
                process.parts["store"] = said
                process.errors.unlink(missing_ok=True)
                process.start()
                assert process.process is not None
                self.assertEqual(process.process.wait(20), 2, said)
                self.assertIn(why, process.log())
                self.assertEqual(len(process.log().splitlines()), 1)


class Faults(unittest.TestCase):
    def test_observers_of_a_member_that_dies_go_to_another_and_stay_present(self) -> None:
        with fleet("d1", "d2", "d3") as it:
            victim = it.at(it.observers["d1"])
            seen: list[set[str]] = []
            it.cluster.all[victim].kill()
            begun = time.monotonic()
            it.put_order(4.0)
            wait_for(lambda: it.applied(4.0), "the order to be followed")
            while time.monotonic() < begun + 12.0:  # past the lease of the dead member's announcement
                seen.append(set(it.announced()))
                time.sleep(0.2)
            self.assertEqual(set(map(frozenset, seen)), {frozenset({"d1", "d2", "d3"})})
            self.assertNotIn(victim, it.announced().values())

    def test_a_frozen_member_is_left_for_another_and_taken_again_later(self) -> None:
        with fleet("d1", "d2", "d3") as it:
            victim = it.at(it.observers["d1"])
            process = it.cluster.all[victim].process
            assert process is not None
            process.send_signal(signal.SIGSTOP)
            try:
                it.put_order(4.0)
                wait_for(lambda: it.applied(4.0), "the order to be followed")
            finally:
                process.send_signal(signal.SIGCONT)
            it.put_order(5.0)
            wait_for(lambda: it.applied(5.0), "the next order to be followed")
            wait_for(lambda: set(it.announced()) == {"d1", "d2", "d3"}, "all three to be present")

    def test_one_that_is_cut_off_serves_on_and_says_how_old_it_is(self) -> None:
        with fleet("d1", members=1) as it:
            it.put_order(3.0)
            wait_for(lambda: it.applied(3.0), "the order to be followed")
            process = it.observers["d1"]
            self.assertNotIn("control plane", ask(process, "ready"))
            it.cluster.all["m0"].kill()
            wait_for(lambda: "control plane" in ask(process, "ready"), "its age to be told", LONG)
            self.assertRegex(ask(process, "ready"), r"control plane \d+ s old")
            _, body, _ = http_call(f"127.0.0.1:{process.edge}", "GET", "/_health")
            self.assertRegex(body.decode(), r"control plane \d+ s old")
            self.assertGreater(counters(process)["observer.age_ms"], 6000)
            self.assertEqual(it.status(process)["documents"], 1)
            it.cluster.all["m0"].start()
            wait_for(lambda: "control plane" not in ask(process, "ready"), "it to be up to date", LONG)

    def test_of_two_with_one_name_the_later_one_has_it(self) -> None:
        with fleet("d1") as it:
            first = it.observers["d1"]
            other = it.folder / "elsewhere"
            other.mkdir()
            second = it.cluster.observer("d1", other)
            second.start()
            it.observers["d1 again"] = second
            wait_for(lambda: it.status(first).get("standing") == "fenced", "the first to be fenced", LONG)
            self.assertIn("fenced", ask(first, "ready"))
            self.assertTrue(ask(first, "ready").startswith("fail drain"))
            wait_for(lambda: it.status(second).get("standing") == "known", "the second to be known")
            self.assertEqual(list(it.announced()), ["d1"])
            time.sleep(5.0)  # longer than a contest takes
            self.assertEqual(it.status(second)["standing"], "known")

    def test_in_an_upgrade_the_name_changes_hands_and_nobody_is_fenced(self) -> None:
        with fleet(members=1) as it, side() as beside:
            store = {"follow": it.cluster.observer_addresses, "name": "d1", "cluster": "c1"}
            old = beside.serving(store=store)
            wait_for(lambda: list(it.announced()) == ["d1"], "the old one to be known")
            new = beside.serving(store=store)
            said(old, TOOK)
            it.put_order(4.0)
            said(old, "slots=4.0")  # it is the observer still
            time.sleep(FENCE_AFTER / 1000.0 + 1.0)  # two with one name would be told by now
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            said(new, "slots=4.0")
            wait_for(lambda: list(it.announced()) == ["d1"], "the new one to be known")
            fenced = [line for line in (*old.lines, *new.lines) if "fenced" in line]
            self.assertEqual(fenced, [])

    def test_a_member_that_is_full_refuses_and_others_serve(self) -> None:
        with fleet("d1", "d2", "d3", limit=1) as it:
            self.assertEqual(sorted(it.announced().values()), ["m0", "m1", "m2"])
            fourth = it.follow("d4")
            wait_for(lambda: "1 observers are served here already" in fourth.log(), "it to be refused")
            it.observers["d1"].kill()
            wait_for(lambda: it.status(fourth).get("standing") == "known", "a place to be free", LONG)

    def test_hostile_clients_are_ended_and_nobody_else_notices(self) -> None:
        with fleet("d1", members=1) as it:
            host, port = parse_address(it.cluster.observer_addresses["m0"], "")
            process = it.cluster.all["m0"]
            before = counters(process)
            for what, kind in (
                ("garbage", "malformed"), ("oversized frame", "malformed"), ("no message", "malformed"),
                ("no Subscribe", "malformed"), ("a revision from the future", "revision_ahead"),
                ("another cluster", "cluster"), ("a later generation than the member's", "generation_ahead"),
                ("half a message", "silent"), ("subscribes and never reads", ""),
            ):  # fmt: skip
                with self.subTest(what):
                    ended = bad_input.CASES[what](host, port)
                    self.assertEqual(ended.kind, kind)
                    assert ended.ended_s is not None, "it was not ended"
                    self.assertLess(ended.ended_s, 3.3)
            after = counters(process)
            grown = {k: after[k] - before.get(k, 0) for k in after if k.startswith("observers.rejected.")}
            wanted = {"malformed": 4, "revision_ahead": 1, "cluster": 1, "generation_ahead": 1, "silent": 1,
                      "unresponsive": 1}  # fmt: skip
            self.assertEqual(grown, {f"observers.rejected.{kind}": n for kind, n in wanted.items()})
            self.assertEqual(counters(it.observers["d1"]).get("observer.lost", 0), 0)
            it.put_order(6.0)
            wait_for(lambda: it.applied(6.0), "the order to be followed")

    def test_a_restored_store_is_taken_from_its_new_generation_on(self) -> None:
        with fleet("d1", members=1) as it:
            it.put_order(3.0)
            wait_for(lambda: it.applied(3.0), "the order to be followed")
            member, process = it.cluster.all["m0"], it.observers["d1"]
            first = it.status(process)
            saved = it.folder / "saved"
            eiderpin("store", "snapshot", str(saved), "--door", member.door)
            it.put_order(4.0)
            wait_for(lambda: it.applied(4.0), "the second order to be followed")
            member.kill()
            member.directory.rename(it.folder / "old")
            eiderpin("store", "restore", str(saved), str(member.directory), "--name", "m0", "--cluster", "c1",
                     "--member", f"m0={member.listen}")  # fmt: skip
            member.start()
            wait_for(lambda: it.status(process).get("generation") == 2, "the next generation", LONG)
            self.assertEqual(first["generation"], 1)
            wait_for(lambda: process.log().count("slots=3.0") == 2, "the order to be as it was")


class Scale(unittest.TestCase):
    def test_a_small_run_keeps_its_promises(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.scale", "run", "--dispatchers", "20", "--fault",
             "leader-killed", "--minutes", "0.05", "--untimed"],
            cwd=ROOT, capture_output=True, text=True, timeout=120, env={**os.environ},
        )  # fmt: skip
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        said = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual((said["broken"], said["dispatchers"], said["changes"]), ([], 20, 8))


if __name__ == "__main__":
    unittest.main()
