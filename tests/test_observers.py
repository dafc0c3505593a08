"""Dispatchers that follow the store as observers: real processes on loopback, with faults of members and
observers."""

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
from eiderpin.store.client import StoreRequestError
from eiderpin.store.fleet_view import list_documents, live_observers
from eiderpin.store.names import OBSERVERS
from eiderpin.store.observer_registry import FENCE_AFTER_MS
from eiderpin.store.orders import WorkerOverride
from tests.standins import http_call, wait_for
from tests.test_command import eiderpin
from tests.test_upgrade import TOOK, said, side

LONG_WAIT_SECONDS = 60.0  # for what may take several time-outs on a busy machine
OVERRIDE_DOCUMENT = "orders/workers/w1"
MEMBER_MODULES = (
    "eiderpin.store.raft",
    "eiderpin.store.member",
    "eiderpin.store.host",
    "eiderpin.store.transport",
    "eiderpin.store.observer_server",
    "eiderpin.durable",
)
STORE_MODULES = ("eiderpin.fleet", "eiderpin.parts", "eiderpin.store", "msgspec")
RECORD_MODULES = """
import atexit, sys
atexit.register(lambda: open({path!r}, "w").write("\\n".join(sorted(sys.modules))))
"""


class Fleet:
    """Members that serve observers, and the observers."""

    def __init__(self, folder: Path, members: int, limit: int) -> None:
        self.cluster = Cluster(folder, members, limit)
        self.folder = folder
        self.observers: dict[str, Process] = {}

    def start_observer(self, name: str, region: str = "", prelude: str = "", **options: Any) -> Process:
        """Start a dispatcher that follows the store. `prelude`: code that runs before the program."""
        process = self.cluster.observer(name, region=region, **options)
        process.start(prelude)
        self.observers[name] = process
        return process

    def serving_member(self, process: Process) -> str:
        """The member that serves an observer; empty: none at present."""
        return str(self.status(process).get("member", ""))

    def status(self, process: Process) -> dict[str, Any]:
        """An observer's status; empty while it does not answer."""
        try:
            return dict(process.status()["observer"])
        except StoreRequestError:
            return {}

    def await_known(self, process: Process) -> None:
        """Wait until all other dispatchers know of an observer."""
        wait_for(lambda: self.status(process).get("standing") == "known", "an observer to be known")

    def set_override(self, slots: float) -> None:
        """Override the slots of a worker, as operators do."""
        store = self.cluster.store_client(20.0)
        store.put(OVERRIDE_DOCUMENT, WorkerOverride(slots=slots).pack())
        store.close()

    def is_override_applied(self, slots: float) -> bool:
        """Whether every observer has logged that it applies the override."""
        return all(f"slots={slots}" in p.log() for p in self.observers.values())

    def announced(self) -> dict[str, str]:
        """The announced observers, each with the member that announces it."""
        live = live_observers(list_documents(self.cluster.store_client(10.0), OBSERVERS), OBSERVERS)
        return {name: observer.member for name, observer in live.items()}

    def stop(self) -> None:
        for process in self.observers.values():
            if process.alive:
                process.kill()
        self.cluster.stop()


@contextmanager
def running_fleet(*names: str, members: int = 3, limit: int = 100) -> Iterator[Fleet]:
    """A fleet with these observers, known to all. At the end, no log may contain a traceback or a violated
    invariant."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), members, limit)
        try:
            fleet.cluster.start()
            for name in names:
                fleet.start_observer(name)
            for process in fleet.observers.values():
                fleet.await_known(process)
            yield fleet
            processes = [*fleet.cluster.all.values(), *fleet.observers.values()]
            faulty_logs = [p.log() for p in processes if "Traceback" in p.log() or "invariant" in p.log()]
            assert not faulty_logs, faulty_logs
        finally:
            fleet.stop()


def call_dispatcher(process: Process, call: str) -> str:
    """The first line that a dispatcher's management API answers."""
    return call_management(process.management_address, call)


def call_management(where: str, call: str) -> str:
    """The first line that the management API at an address answers."""
    with socket.create_connection(parse_address(where, "door"), 5.0) as sock:
        sock.sendall(call.encode() + b"\n")
        with sock.makefile() as file:
            return file.readline().strip()


def read_counters(process: Process) -> dict[str, int]:
    """A dispatcher's counters, which it prints on SIGUSR1."""
    assert process.process is not None
    before = process.log().count("end of counters")
    process.process.send_signal(signal.SIGUSR1)
    wait_for(lambda: process.log().count("end of counters") > before, "the counters")
    rows = [line.rsplit(" ", 1) for line in process.log().rpartition("counters\n")[0].splitlines()]
    return {row[0]: int(row[1]) for row in rows if len(row) == 2 and row[1].isdigit()}


class Following(unittest.TestCase):
    def test_overrides_configuration_and_placement_reach_observers(self) -> None:
        """Observers must apply what operators change and be counted among the dispatchers, and the commands
        must show how far a change has come. Otherwise part of the fleet runs on old settings unnoticed."""
        with running_fleet("d1", "d2") as fleet:
            fleet.set_override(3.0)
            wait_for(lambda: fleet.is_override_applied(3.0), "the override to be applied")
            wait_for(
                lambda: all("of 5" in p.log() for p in fleet.observers.values()),
                "all five dispatchers to be counted",
            )
            store = fleet.cluster.store_client(20.0)
            config = json.loads((fleet.observers["d1"].folder / "config.json").read_text())
            text = json.dumps({"settings": config["settings"], "workers": []}).encode()
            self.assertEqual(publish_config(store, text), 1)
            wait_for(
                lambda: all("version 1 taken" in p.log() for p in fleet.observers.values()),
                "version 1 to be applied",
            )

            def shown_config() -> str:
                completed = eiderpin("config", "show", "--door", fleet.cluster.all["m0"].management_address)
                return completed.stderr

            wait_for(
                lambda: "in force at 5 of 5 dispatchers, everywhere after" in shown_config(),
                "version 1 to be in force",
            )
            status = eiderpin("store", "status", "--door", fleet.observers["d1"].management_address).stdout
            self.assertRegex(status, r"(?m)^standing +known$")
            refused = eiderpin("store", "members", "--door", fleet.observers["d1"].management_address)
            self.assertEqual((refused.returncode, "no member" in refused.stderr), (3, True))
            listed = eiderpin("dispatchers", "--door", fleet.cluster.all["m1"].management_address).stdout
            self.assertEqual(
                [line.split()[0] for line in listed.splitlines()], ["m0", "m1", "m2", "d1", "d2"]
            )
            self.assertEqual(listed.count("observer of m"), 2)
            changed_settings = dict(config["settings"], tick=7.0)
            publish_config(store, json.dumps({"settings": changed_settings, "workers": []}).encode())
            lagging = "d1: version 2, restart needed: settings"
            wait_for(lambda: lagging in shown_config(), "the needed restart to be shown")
            self.assertIn("in force at 0 of 5 dispatchers\n", shown_config())
            store.close()

    def test_an_observer_writes_no_files_and_loads_no_consensus_code(self) -> None:
        """An observer is to work without a disk or a vote. An import or a file too many would go unnoticed,
        as it would run all the same."""
        with running_fleet(members=1) as fleet:
            path = fleet.folder / "modules"
            process = fleet.start_observer("d1", prelude=RECORD_MODULES.format(path=str(path)))
            wait_for(lambda: fleet.status(process).get("standing") == "known", "the observer to be known")
            files = sorted(p.name for p in process.folder.iterdir())
            self.assertEqual(files, ["config.json", "parts.json", "stderr"])
            process.kill(signal.SIGTERM)
            loaded = path.read_text().splitlines()
            self.assertEqual([m for m in loaded if m.startswith(MEMBER_MODULES)], [])
            wait_for(lambda: fleet.announced() == {}, "the planned end to be announced")

    def test_without_store_settings_none_of_the_store_is_loaded(self) -> None:
        """A dispatcher without a store must start where the optional packages are not installed."""
        with tempfile.TemporaryDirectory() as folder:
            process = Process(Path(folder), "alone", {}, "")
            process.parts = {}
            path = Path(folder) / "modules"
            process.start(RECORD_MODULES.format(path=str(path)))
            wait_for(lambda: "listens" in process.log(), "the dispatcher to listen")
            process.kill(signal.SIGTERM)
            loaded = path.read_text().splitlines()
            self.assertEqual([m for m in loaded if m.startswith(STORE_MODULES)], [])

    def test_wrong_store_settings_give_one_line_and_exit_status_2(self) -> None:
        """Operators must get one line that names the wrong setting, and no traceback."""
        with tempfile.TemporaryDirectory() as folder:
            process = Process(Path(folder), "d1", {}, "")
            for settings, error in (
                ({"follow": {}}, "an object of members"),
                ({"follow": {"m0": "nowhere"}}, "HOST:PORT is expected"),
                ({"follow": {"m0": "h:1"}, "directory": "/x"}, "has no place beside store.follow"),
                ({"directory": folder, "observers": {"listen": "x"}}, "HOST:PORT is expected"),
                ({"directory": folder, "observers": {"listen": "h:1", "limit": 0}}, "1 to 10000"),
                ({"directory": folder, "observers": {"port": 1}}, "there is no such setting"),
            ):
                process.parts["store"] = settings
                process.errors.unlink(missing_ok=True)
                process.start()
                assert process.process is not None
                self.assertEqual(process.process.wait(20), 2, settings)
                self.assertIn(error, process.log())
                self.assertEqual(len(process.log().splitlines()), 1)


class Faults(unittest.TestCase):
    def test_observers_of_a_killed_member_change_to_another_and_stay_announced(self) -> None:
        """When a member dies, another one must announce its observers before its own announcement expires. A
        gap would change the placement of all dispatchers."""
        with running_fleet("d1", "d2", "d3") as fleet:
            victim = fleet.serving_member(fleet.observers["d1"])
            announced: list[set[str]] = []
            fleet.cluster.all[victim].kill()
            killed_at = time.monotonic()
            fleet.set_override(4.0)
            wait_for(lambda: fleet.is_override_applied(4.0), "the override to be applied")
            while time.monotonic() < killed_at + 12.0:  # past the lease of the dead member's announcement
                announced.append(set(fleet.announced()))
                time.sleep(0.2)
            self.assertEqual(set(map(frozenset, announced)), {frozenset({"d1", "d2", "d3"})})
            self.assertNotIn(victim, fleet.announced().values())

    def test_observers_leave_a_frozen_member_and_it_can_serve_again_later(self) -> None:
        """A member stopped by SIGSTOP keeps its connections open but sends nothing. Its observers must notice
        the silence and change members, and its return must not lose any of them."""
        with running_fleet("d1", "d2", "d3") as fleet:
            victim = fleet.serving_member(fleet.observers["d1"])
            process = fleet.cluster.all[victim].process
            assert process is not None
            process.send_signal(signal.SIGSTOP)
            try:
                fleet.set_override(4.0)
                wait_for(lambda: fleet.is_override_applied(4.0), "the override to be applied")
            finally:
                process.send_signal(signal.SIGCONT)
            fleet.set_override(5.0)
            wait_for(lambda: fleet.is_override_applied(5.0), "the next override to be applied")
            wait_for(lambda: set(fleet.announced()) == {"d1", "d2", "d3"}, "all three to be announced")

    def test_an_observer_that_is_cut_off_keeps_serving_and_shows_the_age_of_its_copy(self) -> None:
        """Without any member an observer must keep its copy. Its readiness, health and counters must show how
        old the copy is, or operators would take old settings for current ones."""
        with running_fleet("d1", members=1) as fleet:
            fleet.set_override(3.0)
            wait_for(lambda: fleet.is_override_applied(3.0), "the override to be applied")
            process = fleet.observers["d1"]
            self.assertNotIn("control plane", call_dispatcher(process, "ready"))
            fleet.cluster.all["m0"].kill()
            wait_for(
                lambda: "control plane" in call_dispatcher(process, "ready"),
                "the age to be shown",
                LONG_WAIT_SECONDS,
            )
            self.assertRegex(call_dispatcher(process, "ready"), r"control plane \d+ s old")
            _, body, _ = http_call(f"127.0.0.1:{process.http_port}", "GET", "/_health")
            self.assertRegex(body.decode(), r"control plane \d+ s old")
            self.assertGreater(read_counters(process)["observer.age_ms"], 6000)
            self.assertEqual(fleet.status(process)["documents"], 1)
            fleet.cluster.all["m0"].start()
            wait_for(
                lambda: "control plane" not in call_dispatcher(process, "ready"),
                "the copy to be up to date",
                LONG_WAIT_SECONDS,
            )

    def test_the_later_of_two_observers_with_one_name_fences_the_earlier(self) -> None:
        """Two processes may be started under one name by mistake. The earlier one must be fenced for good,
        and the later one must keep the name after the contest."""
        with running_fleet("d1") as fleet:
            first = fleet.observers["d1"]
            folder = fleet.folder / "elsewhere"
            folder.mkdir()
            second = fleet.cluster.observer("d1", folder)
            second.start()
            fleet.observers["d1 again"] = second
            wait_for(
                lambda: fleet.status(first).get("standing") == "fenced",
                "the first to be fenced",
                LONG_WAIT_SECONDS,
            )
            self.assertIn("fenced", call_dispatcher(first, "ready"))
            self.assertTrue(call_dispatcher(first, "ready").startswith("fail drain"))
            wait_for(lambda: fleet.status(second).get("standing") == "known", "the second to be known")
            self.assertEqual(list(fleet.announced()), ["d1"])
            time.sleep(5.0)  # longer than a contest for the name takes
            self.assertEqual(fleet.status(second)["standing"], "known")

    def test_an_upgrade_transfers_the_name_and_fences_nobody(self) -> None:
        """During an upgrade two processes have one name. The new one must not follow the store before the old
        one has ended, for they would fence each other."""
        with running_fleet(members=1) as fleet, side() as peers:
            store = {"follow": fleet.cluster.observer_addresses, "name": "d1", "cluster": "c1"}
            old = peers.serving(store=store)
            wait_for(lambda: list(fleet.announced()) == ["d1"], "the old one to be known")
            new = peers.serving(store=store)
            said(old, TOOK)
            fleet.set_override(4.0)
            said(old, "slots=4.0")  # the old process still is the observer
            time.sleep(FENCE_AFTER_MS / 1000.0 + 1.0)  # by now two of one name would have been fenced
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            said(new, "slots=4.0")
            wait_for(lambda: list(fleet.announced()) == ["d1"], "the new one to be known")
            fenced = [line for line in (*old.lines, *new.lines) if "fenced" in line]
            self.assertEqual(fenced, [])

    def test_a_full_member_refuses_an_observer_until_there_is_room(self) -> None:
        """With a limit of one observer per member, a fourth must be refused by all of them, and must get in
        as soon as one of the others has gone."""
        with running_fleet("d1", "d2", "d3", limit=1) as fleet:
            self.assertEqual(sorted(fleet.announced().values()), ["m0", "m1", "m2"])
            fourth = fleet.start_observer("d4")
            wait_for(
                lambda: "1 observers are served here already" in fourth.log(),
                "the fourth observer to be refused",
            )
            fleet.observers["d1"].kill()
            wait_for(
                lambda: fleet.status(fourth).get("standing") == "known",
                "the fourth observer to be served",
                LONG_WAIT_SECONDS,
            )

    def test_invalid_clients_are_disconnected_without_effect_on_observers(self) -> None:
        """Connections that send garbage, claim an impossible position or do not read must be closed in time
        and counted by kind, and must not disturb the observers that the member serves."""
        with running_fleet("d1", members=1) as fleet:
            host, port = parse_address(fleet.cluster.observer_addresses["m0"], "")
            process = fleet.cluster.all["m0"]
            before = read_counters(process)
            for case, kind in (
                ("garbage", "malformed"), ("oversized frame", "malformed"), ("no message", "malformed"),
                ("no Subscribe", "malformed"), ("a revision from the future", "revision_ahead"),
                ("another cluster", "cluster"), ("a later generation than the member's", "generation_ahead"),
                ("half a message", "silent"), ("subscribes and never reads", ""),
            ):  # fmt: skip
                with self.subTest(case):
                    ended = bad_input.CASES[case](host, port)
                    self.assertEqual(ended.kind, kind)
                    assert ended.ended_s is not None, "the connection was not closed"
                    self.assertLess(ended.ended_s, 3.3)
            after = read_counters(process)
            increases = {k: after[k] - before.get(k, 0) for k in after if k.startswith("observers.rejected.")}
            expected = {"malformed": 4, "revision_ahead": 1, "cluster": 1, "generation_ahead": 1, "silent": 1,
                      "unresponsive": 1}  # fmt: skip
            self.assertEqual(increases, {f"observers.rejected.{kind}": n for kind, n in expected.items()})
            self.assertEqual(read_counters(fleet.observers["d1"]).get("observer.lost", 0), 0)
            fleet.set_override(6.0)
            wait_for(lambda: fleet.is_override_applied(6.0), "the override to be applied")

    def test_an_observer_follows_a_restored_store_in_its_new_generation(self) -> None:
        """Restoring a backup takes revisions back, which an observer refuses within a generation. It must
        accept the older documents because the generation is a later one."""
        with running_fleet("d1", members=1) as fleet:
            fleet.set_override(3.0)
            wait_for(lambda: fleet.is_override_applied(3.0), "the override to be applied")
            member, process = fleet.cluster.all["m0"], fleet.observers["d1"]
            first_status = fleet.status(process)
            saved = fleet.folder / "saved"
            eiderpin("store", "snapshot", str(saved), "--door", member.management_address)
            fleet.set_override(4.0)
            wait_for(lambda: fleet.is_override_applied(4.0), "the second override to be applied")
            member.kill()
            member.directory.rename(fleet.folder / "old")
            eiderpin("store", "restore", str(saved), str(member.directory), "--name", "m0", "--cluster", "c1",
                     "--member", f"m0={member.listen}")  # fmt: skip
            member.start()
            wait_for(
                lambda: fleet.status(process).get("generation") == 2, "the next generation", LONG_WAIT_SECONDS
            )
            self.assertEqual(first_status["generation"], 1)
            wait_for(
                lambda: process.log().count("slots=3.0") == 2, "the override of the snapshot to be applied"
            )


class Scale(unittest.TestCase):
    def test_a_small_scale_run_meets_its_conditions(self) -> None:
        """Runs the scale benchmark with few dispatchers, one fault and no timing limits, so that the tests
        already notice a change that breaks what it checks."""
        completed = subprocess.run(
            [sys.executable, "-m", "benchmarks.scale", "run", "--dispatchers", "20", "--fault",
             "leader-killed", "--minutes", "0.05", "--untimed"],
            cwd=ROOT, capture_output=True, text=True, timeout=120, env={**os.environ},
        )  # fmt: skip
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)
        result = json.loads(completed.stdout.splitlines()[-1])
        self.assertEqual((result["broken"], result["dispatchers"], result["changes"]), ([], 20, 8))


if __name__ == "__main__":
    unittest.main()
