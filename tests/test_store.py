"""The store in real processes on loopback: members, client API, overrides, shared configuration, outcomes."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.rig import ROOT, free_port, settings
from benchmarks.store_rig import Cluster, Process
from eiderpin import interface as api
from eiderpin.core.learned import Learned
from eiderpin.store import hints, orders
from eiderpin.store.client import StoreClient, StoreRequestError
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.messages import Heartbeat
from eiderpin.store.transport import MAGIC, VERSION, Hello, Welcome
from tests.standins import HttpWorker, http_call, wait_for
from tests.test_command import eiderpin
from tests.test_upgrade import TOOK, said, side


@contextmanager
def cluster(size: int = 3, **parts: Any) -> Iterator[Cluster]:
    """Run a cluster of members. At its end no log may contain a traceback or a violated invariant."""
    with tempfile.TemporaryDirectory() as folder:
        running = Cluster(Path(folder), size, **parts)
        try:
            running.start()
            yield running
            faults = [
                p.log() for p in running.all.values() if "Traceback" in p.log() or "invariant" in p.log()
            ]
            assert not faults, faults
        finally:
            running.stop()


class TestSingleMember(unittest.TestCase):
    def test_a_single_member_recovers_its_state_after_a_kill(self) -> None:
        """Guards against losing committed changes at a kill, and against a record written in part that stops
        the recovery."""
        with tempfile.TemporaryDirectory() as folder:
            member = Process(Path(folder), "solo", {}, "")
            member.parts["store"] = {"directory": str(member.directory)}
            member.start()
            store = StoreClient([member.management_address], 15.0)
            first = store.put("a", b"1")
            self.assertGreater(store.put("b", b"\0\xff", 0)["revision"], first["revision"])
            with self.assertRaisesRegex(StoreRequestError, "revision") as failed:
                store.put("b", b"x", 0)
            self.assertEqual(failed.exception.kind, "differs")
            member.kill()
            last = sorted(member.directory.glob("*.seg"))[-1]
            with last.open("ab") as file:
                file.write(b"\xe1\xd7\3\1\x20\0\0\0torn")  # a change that was written in part
            member.start()
            self.assertEqual(store.get("b")[0], b"\0\xff")
            self.assertEqual(store.ask("status")["role"], "leader")
            member.kill(signal.SIGTERM)
            self.assertNotIn("Traceback", member.log())

    def test_invalid_settings_give_one_line_and_exit_code_2(self) -> None:
        """Guards against tracebacks, and against a process that starts with another member's directory."""
        with tempfile.TemporaryDirectory() as folder:
            member = Process(Path(folder), "solo", {}, "")
            for said, why in (
                ({"directory": str(member.directory), "names": 1}, "there is no such setting"),
                ({"directory": str(member.directory), "listen": "nowhere"}, "HOST:PORT is expected"),
                ({"directory": str(member.directory), "members": {"x": "127.0.0.1:1"}}, "is not among them"),
                ({"directory": str(member.directory), "join": True}, "an address is needed"),
                ({"directory": str(member.directory), "name": "a b"}, "letters, digits"),
                ({"directory": "/proc/nowhere"}, "store.directory"),
                ({"directory": str(member.directory), "outcomes": ["time-lookup"]}, "must not run twice"),
                ({"directory": str(member.directory), "keep_s": 1}, "60 to 80000"),
            ):
                member.parts["store"] = said
                member.errors.unlink(missing_ok=True)
                member.start()
                assert member.process is not None
                self.assertEqual(member.process.wait(20), 2, said)
                self.assertIn(why, member.log())
                self.assertEqual(len(member.log().splitlines()), 1)
            member.parts["store"] = {"directory": str(member.directory)}
            member.start()
            StoreClient([member.management_address], 15.0).put("a", b"1")
            other = Process(Path(folder), "other", {}, "")
            for name, why in (("solo", "another process owns it"), ("other", "another process owns it")):
                other.parts["store"] = {"directory": str(member.directory), "name": name}
                other.start()
                assert other.process is not None
                self.assertEqual(other.process.wait(20), 2)
                self.assertIn(why, other.log())
            member.kill()
            other.start()
            assert other.process is not None
            self.assertEqual(other.process.wait(20), 2)
            self.assertIn("that of member solo", other.log())

    def test_writes_stop_on_a_full_disk_and_resume_without_a_restart(self) -> None:
        """A limit on file sizes stands in for a full disk. Guards against changes that are confirmed without
        being written, and against a member that stays without its disk once there is room."""
        with tempfile.TemporaryDirectory() as folder:
            member = Process(Path(folder), "solo", {}, "")
            member.parts["store"] = {"directory": str(member.directory)}
            member.start()
            store = StoreClient([member.management_address], 15.0)
            store.put("a", b"1")
            assert member.process is not None
            limits = resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, (1, -1))
            short_timeout_client = StoreClient([member.management_address], 0.3)
            with self.assertRaises(StoreRequestError):
                short_timeout_client.change("txn", puts=[{"name": "b", "value": "eA=="}])
            wait_for(lambda: member.status()["disk_fails"], "the disk to be found out")
            self.assertEqual(short_timeout_client.get("a", stale=True)[0], b"1")
            with self.assertRaises(StoreRequestError):
                short_timeout_client.get("a")
            resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, limits)
            wait_for(lambda: not member.status()["disk_fails"], "the disk to be usable again")
            store.put("c", b"3")
            member.kill()
            member.start()
            self.assertEqual((store.get("a")[0], store.get("c")[0]), (b"1", b"3"))
            member.kill()


class TestUpgrade(unittest.TestCase):
    def test_an_upgrade_hands_the_member_and_its_directory_over(self) -> None:
        """Guards against two processes that write to one directory during an upgrade, and against changes
        lost at the handover."""
        with side() as processes, tempfile.TemporaryDirectory() as folder:
            store = {"directory": folder, "name": "d1"}
            old = processes.serving(store=store)
            client = StoreClient([old.at["management"]], 15.0)
            client.put("a", b"1")
            client.put("orders/workers/h1", orders.WorkerOverride(cordon=True).pack())
            new = processes.serving(store=store)
            said(old, TOOK)
            client.put("b", b"2")  # the old process is still the member
            short_timeout_client = StoreClient([new.at["management"]], 0.3)
            with self.assertRaisesRegex(StoreRequestError, "ask at its door"):
                short_timeout_client.get("a")
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            client = StoreClient([new.at["management"]], 15.0)
            self.assertEqual((client.get("a")[0], client.get("b")[0]), (b"1", b"2"))
            said(new, "order for worker h1")


class TestCluster(unittest.TestCase):
    def test_a_watch_misses_nothing_when_the_leader_is_killed(self) -> None:
        """Guards against events that are lost or repeated when a watch continues at another member."""
        with cluster() as members:
            store = members.store_client()
            seen: list[tuple[int, str]] = []

            def collect_events() -> None:
                for event in members.store_client().watch("w/", 0):
                    seen.append((event["revision"], event["name"]))

            threading.Thread(target=collect_events, daemon=True).start()
            put = [(store.put(f"w/{i}", b"x")["revision"], f"w/{i}") for i in range(20)]
            leader = members.leader()
            members.all[leader].kill()
            put += [(store.put(f"w/{i}", b"y")["revision"], f"w/{i}") for i in range(20, 40)]
            members.all[leader].start()
            members.wait_until_in_sync()
            other = members.leader()
            self.assertNotEqual(leader, other)
            store.ask("transfer", name=leader)
            self.assertEqual(members.leader(), leader)
            put += [(store.put(f"w/{i}", b"z")["revision"], f"w/{i}") for i in range(40, 50)]
            wait_for(lambda: len(seen) >= 50, "the watch")
            self.assertEqual(seen, put)
            self.assertEqual(store.get("w/3")[0], b"x")

    def test_without_a_majority_only_stale_reads_succeed(self) -> None:
        """Guards against changes or reads that a leader without a majority answers from an outdated state."""
        with cluster() as members:
            store = members.store_client()
            store.put("a", b"1")
            members.wait_until_in_sync()
            leader = members.leader()
            for name in members.all:
                if name != leader:
                    members.all[name].kill()
            left = members.store_client(0.5, leader)
            wait_for(lambda: members.all[leader].status()["role"] != "leader", "it to step down")
            for call in (lambda: left.put("a", b"2"), lambda: left.get("a")):
                with self.assertRaises(StoreRequestError) as failed:
                    call()
                self.assertIn(failed.exception.kind, ("no-leader", "unknown"))
            self.assertEqual(left.get("a", stale=True)[0], b"1")
            wait_for(lambda: members.all[leader].status()["cut_off"], "it to say that it is cut off")
            for name in members.all:
                if name != leader:
                    members.all[name].start()
            members.leader()
            self.assertEqual(store.get("a")[0], b"1")

    def test_members_are_added_and_the_first_one_removed_under_load(self) -> None:
        """Guards against writes that are lost or applied twice while the members change."""
        with cluster(1) as members:
            store, stop, done = members.store_client(), threading.Event(), []

            def write_continuously() -> None:
                client = members.store_client(20.0, "m0")
                while not stop.is_set():
                    client.addresses = [p.management_address for p in list(members.all.values()) if p.alive]
                    done.append(client.put(f"k{len(done)}", b"v")["revision"])

            thread = threading.Thread(target=write_continuously, daemon=True)
            thread.start()
            for name in ("n1", "n2"):
                process = members.join(name)
                said = store.ask("add", 20.0, name=name, address=process.listen)
                self.assertIn(name, said["voters"])
            store.addresses = [p.management_address for p in members.all.values()]
            self.assertEqual(set(store.ask("remove", name="m0")["voters"]), {"n1", "n2"})
            wait_for(lambda: members.all["m0"].status()["removed"], "the removed member to be notified")
            before = len(done)
            members.all["m0"].kill()
            store.addresses = [members.all[n].management_address for n in ("n1", "n2")]
            wait_for(lambda: len(done) > before + 5, "writes to go on")
            stop.set()
            thread.join(20)
            self.assertEqual(sorted(set(done)), done)  # each once, in order
            self.assertEqual(store.get(f"k{len(done) - 1}")[0], b"v")
            with self.assertRaisesRegex(StoreRequestError, "no member"):
                store.ask("remove", name="m0")

    def test_a_restored_snapshot_forms_a_separate_cluster(self) -> None:
        """Guards against a damaged snapshot that is accepted, and against members of the old cluster that
        join the restored one."""
        with cluster() as members, tempfile.TemporaryDirectory() as folder:
            for i in range(30):
                members.store_client().put(f"k{i}", b"%d" % i)
            path, management_address = f"{folder}/saved", members.all["m0"].management_address
            self.assertEqual(eiderpin("store", "snapshot", "--door", management_address, path).returncode, 0)
            at = f"127.0.0.1:{free_port()}"
            new = Process(Path(folder), "fresh", {"fresh": at}, at, cluster="c2")
            args = ("store", "restore", path, str(new.directory), "--name", "fresh", "--cluster", "c2")
            done = eiderpin(*args, "--member", f"fresh={at}")
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("is not empty", eiderpin(*args, "--member", f"fresh={at}").stderr)
            new.start()
            store = StoreClient([new.management_address], 15.0)
            self.assertEqual(store.get("k29")[0], b"29")
            store.put("k30", b"new")
            with self.assertRaises(StoreRequestError):
                members.store_client().get("k30")
            # A member of the old cluster is refused at this address, with the reason.
            host, port = at.split(":")
            with socket.create_connection((host, int(port)), 5) as sock:
                sock.sendall(MAGIC + encode_frame(Hello(VERSION, "c1", "m0", "fresh")))
                self.assertIn("cluster c1", refusal(sock))
            new.kill()
            data = bytearray(Path(path).read_bytes())
            data[60] ^= 1
            Path(path).write_bytes(data)
            again = eiderpin("store", "restore", path, f"{folder}/x", "--name", "a", "--cluster", "c3")
            self.assertEqual(again.returncode, 5)
            self.assertIn("damaged", again.stderr)

    def test_a_replica_that_was_away_catches_up_by_a_snapshot(self) -> None:
        """Guards against a replica that cannot catch up once the log it lacks has been compacted."""
        prelude = ("from eiderpin.store import member\nmember.SNAPSHOT_EVERY_ENTRIES = 50\n"
                   "member.Member.__init__.__defaults__ = (member.Raft, 50, 5, 10_000)")  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            members = Cluster(Path(folder))
            try:
                for process in members.all.values():
                    process.start(prelude)
                leader = members.leader()
                away = next(n for n in members.all if n != leader)
                store = members.store_client()
                store.put("first", b"1")
                members.all[away].kill()
                for i in range(200):
                    store.put(f"k{i % 20}", b"x" * 1000 + b"%d" % i)
                self.assertGreater(members.all[leader].status()["snapshot"], 100)
                members.all[away].start(prelude)
                said = members.wait_until_in_sync()
                self.assertGreater(said[away]["snapshot"], 100)
                self.assertEqual(members.store_client(15.0, away).get("k19", stale=True)[0][-3:], b"199")
                members.all[away].kill()
                members.all[away].start(prelude)  # from its own disk
                members.wait_until_in_sync()
                found = members.store_client(15.0, away).ask("range", prefix="k", most=100, stale=True)[
                    "documents"
                ]
                self.assertEqual(len(found), 20)
            finally:
                members.stop()

    def test_a_member_with_a_failed_disk_recovers(self) -> None:
        """A limit on file sizes makes writes of the leader fail. Guards against a cluster that stops because
        of one disk, and against a member that answers reads without being up to date."""
        with cluster() as members:
            store = members.store_client()
            store.put("a", b"1")
            leader = members.leader()
            limits = resource.prlimit(members.all[leader].process.pid, resource.RLIMIT_FSIZE, (1, -1))  # type: ignore[union-attr]
            store.put("a", b"2")  # another member becomes the leader
            self.assertNotEqual(members.leader(other_than=leader), leader)
            wait_for(lambda: members.all[leader].status()["disk_fails"], "the disk to be found out")
            first = members.store_client(15.0, leader, *(n for n in members.all if n != leader))
            self.assertEqual(first.get("a")[0], b"2")  # it is tried first, then the others answer
            first.addresses.sort(
                key=lambda management_address: management_address != members.all[leader].management_address
            )
            first.put("a", b"3")
            self.assertTrue(members.all[leader].status()["disk_fails"])
            resource.prlimit(members.all[leader].process.pid, resource.RLIMIT_FSIZE, limits)  # type: ignore[union-attr]
            members.wait_until_in_sync()
            self.assertEqual(members.store_client(15.0, leader).get("a", stale=True)[0], b"3")

    def test_documents_are_deleted_when_their_lease_ends(self) -> None:
        """A lease that is renewed keeps its documents, and its end deletes them."""
        with cluster() as members:
            store = members.store_client()
            lease = store.change("grant", ttl_ms=1000)["lease"]
            store.put("here", b"m0", lease=lease)
            for _ in range(3):
                threading.Event().wait(0.5)
                store.change("keep", lease=lease)
            self.assertEqual(store.get("here")[0], b"m0")
            wait_for(lambda: not store.ask("range", prefix="here")["documents"], "the lease to end")
            with self.assertRaisesRegex(StoreRequestError, "no lease"):
                store.change("keep", lease=lease)

    def test_a_short_chaos_run_succeeds(self) -> None:
        """Runs `benchmarks.store_chaos` for a short time, as a check of the tool and of the store."""
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.store_chaos", "--minutes", "0.3", "--seed", "3"],
            cwd=ROOT, capture_output=True, text=True, timeout=150,
        )  # fmt: skip
        self.assertEqual(done.returncode, 0, done.stdout[-3000:] + done.stderr[-3000:])


def answers(edge: str) -> bool:
    """Whether the dispatcher's HTTP front answers."""
    try:
        return http_call(edge, "GET", "/_health")[0] in (200, 503)
    except OSError:
        return False


def refusal(sock: socket.socket) -> str:
    """Return the reason for which a member refuses the connection, or "closed"."""
    frames, found = FrameDecoder(b""), []
    while not found:
        data = sock.recv(65536)
        if not data:
            return "closed"
        found = frames.feed(data)
    return msgspec.msgpack.decode(found[0], type=Welcome).refused


class TestTransport(unittest.TestCase):
    def test_invalid_peers_are_refused_or_disconnected(self) -> None:
        """Guards against members that accept another version, cluster or name, or stop because of malformed
        data."""
        with cluster(1) as members:
            host, port = members.all["m0"].listen.split(":")
            for said, why in (
                (MAGIC + encode_frame(Hello(VERSION + 1, "c1", "x", "m0")), "version"),
                (MAGIC + encode_frame(Hello(VERSION, "c2", "x", "m0")), "cluster c2"),
                (MAGIC + encode_frame(Hello(VERSION, "c1", "x", "m9")), "looks for m9"),
                (MAGIC + encode_frame(Hello(VERSION, "c1", "x", "m0")), ""),
                (b"GET / HTTP/1.1\r\n\r\n", "closed"),
                (MAGIC + b"\xff\xff\xff\xff", "closed"),
                (MAGIC + b"\0\0\0\4junk", "closed"),
            ):
                with socket.create_connection((host, int(port)), 5) as sock:
                    sock.settimeout(10)
                    sock.sendall(said)
                    got = refusal(sock)
                    self.assertTrue(why in got if why else got == "", (said, got))
                    if not why:
                        sock.sendall(encode_frame(Heartbeat("x", "m0", 0, 0, 0)) + b"\0\0\0\1\xc1")
                        self.assertEqual(sock.recv(100), b"")  # a malformed message closes the connection
            self.assertGreater(members.store_client().put("a", b"1")["revision"], 0)

    def test_frames_are_decoded_wherever_the_data_is_cut(self) -> None:
        """Guards against frames that are lost when the data arrives in parts."""
        data = MAGIC + encode_frame(Hello(1, "c", "a", "b")) + encode_frame(Welcome(1, "no"))
        for cut in range(len(data)):
            frames = FrameDecoder(MAGIC)
            self.assertEqual(len(frames.feed(data[:cut]) + frames.feed(data[cut:])), 2)


class TestOverridesAndSharedConfiguration(unittest.TestCase):
    def test_all_dispatchers_apply_overrides_and_know_each_other(self) -> None:
        """Guards against overrides that only some dispatchers apply, that are lost at a kill, or that a
        malformed document removes."""
        with tempfile.TemporaryDirectory() as folder:
            members, worker = Cluster(Path(folder)), HttpWorker("w1")
            try:
                for process in members.all.values():
                    path = process.folder / "config.json"
                    said = json.loads(path.read_text())
                    said["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}", "slots": 4}]
                    path.write_text(json.dumps(said))
                members.start()
                edges = {n: f"127.0.0.1:{p.http_port}" for n, p in members.all.items()}
                doors = ",".join(p.management_address for p in members.all.values())

                def run(*args: str, code: int = 0) -> str:
                    done = eiderpin(args[0], *args[1:2], "--door", doors, *args[2:])
                    self.assertEqual(done.returncode, code, done.stderr)
                    return done.stdout + done.stderr

                def health(name: str) -> int:
                    return http_call(edges[name], "GET", "/_health")[0]

                for name in members.all:
                    wait_for(lambda name=name: health(name) == 200, f"{name} to be ready")
                wait_for(lambda: run("dispatchers").count(" up ") == 3, "all to be seen")
                processes = list(members.all.values())
                wait_for(lambda: all("3 dispatchers share" in p.log() for p in processes), "the shares")
                run("workers", "cordon", "w1", "--why", "its fan")
                for name in members.all:
                    wait_for(lambda name=name: health(name) == 503, f"{name} to follow")
                self.assertIn("w1  cordoned  (its fan)", run("workers", "orders"))
                # The override outlives a kill of all members.
                for process in members.all.values():
                    process.kill()
                for process in members.all.values():
                    process.start()
                members.leader()
                wait_for(lambda: all(p.log().count("order for worker w1") == 2 for p in processes), "it")
                self.assertEqual([health(name) for name in members.all], [503] * 3)
                run("workers", "cap", "w1", "2")
                run("workers", "release", "w1")
                self.assertIn("w1  2 slots", run("workers", "orders"))
                for name in members.all:
                    wait_for(lambda name=name: health(name) == 200, f"{name} to follow")
                run("workers", "cap", "w1", "0")
                self.assertEqual(run("workers", "orders"), "")
                self.assertIn("slots: 0.5", run("workers", "cap", "w1", "0.5", code=2))
                # A dead dispatcher is no longer counted.
                gone = next(n for n in members.all if n != members.leader())
                members.all[gone].kill()
                alive = [p for n, p in members.all.items() if n != gone]
                wait_for(lambda: all("2 dispatchers share" in p.log() for p in alive), "the new shares")
                # A malformed document is logged, and the previous override stays in force.
                members.store_client().put("orders/workers/w1", b"{")
                wait_for(lambda: all("w1 is not followed" in p.log() for p in alive), "the warning")
            finally:
                members.stop()
                worker.stop()

    def test_versions_of_the_shared_configuration_are_published_and_rolled_back(self) -> None:
        """Guards against a shared configuration that some dispatchers miss, that an invalid version replaces,
        or that is lost at a kill."""
        with tempfile.TemporaryDirectory() as folder:
            members, worker = Cluster(Path(folder)), HttpWorker("w1")
            try:
                members.start()
                processes, doors = (
                    list(members.all.values()),
                    ",".join(p.management_address for p in members.all.values()),
                )
                for process in processes:
                    worker.callback_address = f"127.0.0.1:{process.http_port}"

                def run(*args: str, code: int = 0) -> str:
                    done = eiderpin("config", args[0], "--door", doors, *args[1:])
                    self.assertEqual(done.returncode, code, done.stderr)
                    return done.stdout + done.stderr

                def expect_in_all_logs(text: str) -> None:
                    wait_for(lambda: all(text in p.log() for p in processes), text)

                path, plain = Path(folder, "shared.json"), settings()
                rows = [{"name": "w1", "address": f"127.0.0.1:{worker.port}"}]
                path.write_text(json.dumps({"settings": plain, "workers": rows}))
                self.assertIn("no configuration", run("show"))
                self.assertEqual(run("set", str(path)), "version 1\n")
                expect_in_all_logs("configuration version 1 taken")
                edge = f"127.0.0.1:{processes[-1].http_port}"
                self.assertEqual(http_call(edge, "POST", "/time-lookup", Req_Id="q1")[1], b"w1 ran q1")
                more = {**plain["classes"][1], "name": "photo"}
                grown = {**plain, "classes": [*plain["classes"], more]}
                path.write_text(json.dumps({"settings": grown, "workers": rows}))
                self.assertEqual(run("set", str(path)), "version 2\n")
                expect_in_all_logs("version 2 taken; a restart is needed for: settings")
                self.assertEqual(http_call(edge, "POST", "/photo", Req_Id="q2")[0], 404)
                path.write_text("{")
                self.assertIn("not JSON", run("set", str(path), code=2))
                self.assertEqual(eiderpin("config", "check", str(path)).returncode, 2)
                members.store_client().put("config/current", b"3\n{}")  # written directly, without any checks
                expect_in_all_logs("configuration version 3 not taken")
                wait_for(lambda: run("show").count("version 3 not taken") == 3, "all to tell of it")
                self.assertEqual(http_call(edge, "POST", "/time-lookup", Req_Id="q3")[0], 200)
                self.assertIn("photo", run("diff", "1", "2", code=1))
                self.assertEqual(run("diff", "2", "2"), "\n")
                self.assertIn("version 4, which is version 2", run("rollback", "2"))
                expect_in_all_logs("configuration version 4 taken")
                for process in processes:
                    process.kill()
                    process.start()
                members.leader()
                wait_for(lambda: answers(edge), "it to serve again")
                wait_for(lambda: http_call(edge, "GET", "/_health")[0] == 200, "the worker")
                self.assertEqual(http_call(edge, "POST", "/photo", Req_Id="q4")[1], b"w1 ran q4")
                self.assertIn("version 5, which is version 1", run("rollback", "1"))
                expect_in_all_logs("version 5 taken; a restart is needed for: settings")
            finally:
                members.stop()
                worker.stop()

    def test_overrides_only_restrict_a_worker(self) -> None:
        """Guards against an override that puts a draining worker back in service or raises its number of
        slots."""
        worker = api.WorkerEntry("w1", "", "", -1, api.WorkerState.IN_SERVICE, slots=4.0)
        unknown = replace(worker, slots=None)
        draining = replace(worker, state=api.WorkerState.DRAINING)
        for text, before, state, slots in (
            (b"{}", worker, "IN_SERVICE", 4.0), (b'{"cordon":true}', worker, "DRAINING", 4.0),
            (b'{"slots":2}', worker, "IN_SERVICE", 2.0), (b'{"slots":9}', worker, "IN_SERVICE", 4.0),
            (b'{"slots":2}', unknown, "IN_SERVICE", 2.0), (b'{"cordon":false}', draining, "DRAINING", 4.0),
        ):  # fmt: skip
            overrides = orders.StoredOverrides()
            overrides.set_override("w1", orders.read(text))
            restricted = overrides.apply(before)
            self.assertEqual((restricted.state.name, restricted.slots), (state, slots), text)
        for text, why in (
            (b"", "JSON"), (b"1", "an object"), (b'{"cordon":1}', "true or false"), (b'{"x":1}', "no such"),
            (b'{"slots":0}', "a number from 1"), (b'{"slots":true}', "a number"), (b'{"why":1}', "text"),
        ):  # fmt: skip
            with self.assertRaisesRegex(ValueError, why):
                orders.read(text)

    def test_a_cap_applies_at_once(self) -> None:
        """Guards against jobs that are sent to a worker beyond its cap, and against a cap that outlasts its
        override."""
        with tempfile.TemporaryDirectory() as folder:
            held, answers, go = [], [], threading.Event()

            def act(worker: HttpWorker, rid: str, handler: Any) -> None:
                def work() -> None:  # in a thread, so that the connection is free for the next job
                    worker.send_callback(rid, "started")
                    while not go.wait(0.3):
                        worker.send_callback(rid, "running", share=0.1)
                    worker.send_callback(rid, "done", result="x")

                held.append(rid)
                handler.say(202)
                threading.Thread(target=work, daemon=True).start()

            def ask(*numbers: int) -> None:
                for i in numbers:
                    args = (worker.callback_address, "POST", "/time-lookup")
                    threading.Thread(
                        target=lambda a=args, i=i: answers.append(http_call(*a, Req_Id=f"q{i}")[0]),
                        daemon=True,
                    ).start()

            worker, member = HttpWorker("w1", act), Process(Path(folder), "solo", {}, "")
            member.parts["store"] = {"directory": str(member.directory)}
            path = member.folder / "config.json"
            said = json.loads(path.read_text())
            said["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}", "slots": 4}]
            path.write_text(json.dumps(said))
            worker.callback_address = f"127.0.0.1:{member.http_port}"
            member.start()
            try:
                store = StoreClient([member.management_address], 15.0)
                store.ask("status")
                wait_for(
                    lambda: http_call(worker.callback_address, "GET", "/_health")[0] == 200, "it to be ready"
                )
                store.put("orders/workers/w1", orders.WorkerOverride(slots=2).pack())
                wait_for(lambda: "order for worker w1" in member.log(), "the override")
                ask(*range(6))
                wait_for(lambda: len(held) == 2, "two to be out")
                self.assertFalse(threading.Event().wait(0.3) or len(held) > 2)
                store.change("txn", deletes=["orders/workers/w1"])
                wait_for(lambda: "taken back" in member.log(), "the override to be removed")
                go.set()
                wait_for(lambda: len(answers) == 6, "all answers")
                go.clear()
                ask(*range(6, 12))
                wait_for(lambda: len(held) > 8, "more than two to be out")
                go.set()
                wait_for(lambda: len(answers) == 12, "all answers")
            finally:
                go.set()
                member.kill()
                worker.stop()


class TestHints(unittest.TestCase):
    def test_a_stored_hint_is_used_after_a_restart(self) -> None:
        """Guards against a dispatcher that starts without the hint it stored before."""
        prelude = "from eiderpin.fleet import shared_state\nshared_state.PUBLISH_HINT_INTERVAL_MS = 300.0"
        with tempfile.TemporaryDirectory() as folder:
            worker, member = HttpWorker("w1"), Process(Path(folder), "solo", {}, "")
            member.parts["store"] = {"directory": str(member.directory)}
            path = member.folder / "config.json"
            plain = json.loads(path.read_text())
            plain["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}"}]
            path.write_text(json.dumps(plain))
            worker.callback_address = f"127.0.0.1:{member.http_port}"
            store = StoreClient([member.management_address], 15.0)

            def hint_used() -> bool:
                assert member.process is not None
                member.process.send_signal(signal.SIGUSR1)
                return "store.hints 1" in member.log()

            try:
                member.start(prelude)
                store.ask("status")
                wait_for(
                    lambda: http_call(worker.callback_address, "GET", "/_health")[0] == 200, "it to be ready"
                )
                for i in range(20):
                    self.assertEqual(
                        http_call(worker.callback_address, "POST", "/time-lookup", Req_Id=f"q{i}")[0], 200
                    )
                wait_for(lambda: store.ask("range", prefix="learned/")["documents"], "what it has learned")
                member.kill()
                member.start()
                store.ask("status")
                wait_for(hint_used, "the hint to be used")
            finally:
                member.kill()
                worker.stop()

    def test_old_future_oversized_and_malformed_hints_are_not_used(self) -> None:
        """Guards against decisions that start from outdated or damaged data."""
        learned: Learned = {"fleet": {"": (1.0, 2.0, 3.0)}, "workers": {"w1": (1.0, 2.0, 3.0, 4.0)}}
        value = hints.pack(learned, 1e12)
        assert value is not None
        self.assertEqual(hints.read(value, 1e12 + hints.MAX_AGE_MS), learned)
        self.assertIsNone(hints.read(value, 1e12 + hints.MAX_AGE_MS + 1))
        self.assertIsNone(hints.read(value, 1e12 - hints.MAX_CLOCK_AHEAD_MS - 1))  # a clock ahead of ours
        self.assertIsNone(hints.pack({}, 1e12))
        self.assertIsNone(hints.pack({"workers": {f"w{i}": (1.0,) * 4 for i in range(20_000)}}, 1e12))
        for bad in (b"", b"1", b"{}", b'{"at":1,"learned":{"fleet":{"":[1]}}}',
                    b'{"at":1,"learned":{"x":{}}}', b'{"at":1,"learned":{"fleet":{"":[1,2,-3]}}}',
                    b'{"at":null,"learned":{}}'):  # fmt: skip
            with self.assertRaises(ValueError):
                hints.read(bad, 1e12)


class TestOutcomes(unittest.TestCase):
    def test_a_job_resubmitted_to_another_dispatcher_does_not_run_again(self) -> None:
        """A client that lost its dispatcher submits its job again elsewhere. Guards against running it twice,
        and against rejecting it for good."""
        held_jobs = []

        def act(worker: HttpWorker, rid: str, handler: Any) -> None:
            worker.ran[rid] += 1
            handler.say(202)
            if rid.startswith("held"):
                held_jobs.append(rid)
                return  # its end is never reported
            worker.send_callback(rid, "done", result=f"ran {rid}")

        with tempfile.TemporaryDirectory() as folder:
            members, worker = Cluster(Path(folder)), HttpWorker("w1", act)
            try:
                for process in members.all.values():
                    path = process.folder / "config.json"
                    plain = json.loads(path.read_text())
                    plain["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}", "slots": 9}]
                    path.write_text(json.dumps(plain))
                    process.parts["store"]["outcomes"] = ["result-post"]
                members.start()
                edges = [f"127.0.0.1:{p.http_port}" for p in members.all.values()]
                for edge in edges:
                    wait_for(lambda edge=edge: http_call(edge, "GET", "/_health")[0] == 200, "its readiness")
                wait_for(
                    lambda: all("3 dispatchers share" in p.log() for p in members.all.values()), "the shares"
                )

                def post(edge: str, name: str, body: bytes = b"x", **more: str) -> tuple[int, bytes]:
                    worker.callback_address = edge
                    key = f'"{name}"'
                    return http_call(edge, "POST", "/result-post", body, Idempotency_Key=key, **more)[:2]

                wait_for(lambda: post(edges[0], "a1") == (200, b"ran a1"), "a lease to be there")

                def returns_stored_answer(edge: str) -> bool:
                    """Whether the stored answer is returned.

                    The member may learn a moment later than the first one that the job has ended. Until then
                    the job is under way at another dispatcher, and it is rejected."""
                    answer = post(edge, "a1")
                    self.assertIn(answer, ((200, b"ran a1"), (503, b"turned down\n")))
                    return answer[0] == 200

                for edge in edges:
                    wait_for(lambda edge=edge: returns_stored_answer(edge), "the stored answer")
                    self.assertEqual(post(edge, "a1"), (200, b"ran a1"))  # from then on every time
                    self.assertEqual(post(edge, "a1", b"other")[0], 422)
                self.assertEqual(worker.ran["a1"], 1)
                # A job under way at one dispatcher is rejected at others. It fails if its dispatcher is gone.
                threading.Thread(target=ignore_os_errors, args=(post, edges[0], "held"), daemon=True).start()
                wait_for(lambda: worker.ran["held"], "the job to be out")
                self.assertEqual(post(edges[1], "held")[0], 503)
                members.all["m0"].kill()
                wait_for(lambda: post(edges[1], "held")[0] == 500, "the dispatcher to be considered gone")
                members.all["m0"].start()
                wait_for(lambda: answers(edges[0]), "it to serve again")
                wait_for(lambda: post(edges[0], "held")[0] == 500, "its own answer")
                self.assertEqual(worker.ran["held"], 1)
                # Without a majority, jobs with stored outcomes are rejected; others run.
                self.assertEqual(post(edges[2], "a2"), (200, b"ran a2"))
                members.all["m0"].kill()
                members.all["m1"].kill()
                wait_for(lambda: post(edges[2], "a3", Req_Deadline_Ms="4000")[0] == 503, "a rejection")
                self.assertEqual(worker.ran["a3"], 0)
                self.assertEqual(post(edges[2], "a2"), (200, b"ran a2"))  # a stored answer is still returned
                self.assertEqual(http_call(edges[2], "POST", "/time-lookup", Req_Id="q1")[0], 200)
                members.all["m0"].start()
                wait_for(lambda: post(edges[2], "a3") == (200, b"ran a3"), "the job to run")
                self.assertEqual(max(worker.ran.values()), 1)
            finally:
                members.stop()
                worker.stop()


def ignore_os_errors(call: Any, *args: Any) -> None:
    """Call, and ignore a lost connection."""
    with suppress(OSError):
        call(*args)


class TestCommands(unittest.TestCase):
    def test_each_command_against_a_store(self) -> None:
        """The commands of `eiderpin store`, with their output and exit codes."""
        with cluster(1) as members, tempfile.TemporaryDirectory() as folder:
            management_address = members.all["m0"].management_address

            def run(*args: str, code: int = 0) -> str:
                done = eiderpin("store", args[0], "--door", management_address, *args[1:])
                self.assertEqual(done.returncode, code, (args, done.stdout, done.stderr))
                return done.stdout + done.stderr

            revision = run("put", "a/1", "one").strip()
            Path(folder, "v").write_bytes(b"\x00\x01")
            run("put", "a/2", "--file", f"{folder}/v")
            self.assertEqual(run("get", "a/1"), "one")
            self.assertEqual(json.loads(run("get", "a/2", "--json"))["value"], "AAE=")
            run("get", "a/3", code=1)
            run("cas", "a/1", revision, "uno")
            run("cas", "a/1", revision, "eins", code=1)
            self.assertIn("a/2", run("list", "a/"))
            self.assertIn("2 bytes", run("history", "a/2"))
            self.assertIn('"a/1"', run("watch", "a/", "--after", "0", "--most", "3"))
            run("delete", "a/1", "a/2")
            self.assertIn("deleted", run("history", "a/1"))
            self.assertIn("leader", run("status"))
            self.assertIn("m0", run("members"))
            self.assertIn("already", run("add", "m0", "127.0.0.1:1", code=5))
            self.assertIn("last voter", run("remove", "m0", code=5))
            self.assertIn("no other voter", run("transfer", "m0", code=5))
            self.assertIn("HOST:PORT", run("add", "m1", "nowhere", code=2))
            self.assertEqual(eiderpin("store", "get", "--door", "127.0.0.1:1", "x").returncode, 6)
            env = {k: v for k, v in os.environ.items() if k not in ("EIDERPIN_DOOR", "GW_MANAGEMENT")}
            bare = subprocess.run(
                [sys.executable, "-m", "eiderpin", "store", "status"], cwd=ROOT, env=env, capture_output=True
            )
            self.assertEqual(bare.returncode, 2)

    def test_invalid_calls_of_the_client_api_are_rejected(self) -> None:
        """Guards against malformed calls that get no reply or a reply without the reason."""
        with cluster(1) as members:
            host, port = members.all["m0"].management_address.split(":")
            for said, why in (
                (b"store {}", "op: None"), (b"store [1]", "an object"), (b"store {", "bad"),
                (b'store {"op":"get"}', "name: None"), (b'store {"op":"get","name":1}', "text is expected"),
                (b'store {"op":"txn","puts":[{"name":"a","value":"*"}]}', "value:"),
                (b'store {"op":"txn","puts":1}', "a list of objects"),
                (b'store {"op":"txn"}', "1 to 128"), (b'store {"op":"grant","ttl_ms":5}', "a lease of 5"),
                (b'store {"op":"get","name":"a","within_ms":0}', "within_ms"),
                (b'store {"op":"watch","after":-1}', "whole number"),
                (b"stora {}", "no such call"), (b"store " + b"x" * (1 << 20), "fail"),
            ):  # fmt: skip
                with socket.create_connection((host, int(port)), 5) as sock:
                    sock.settimeout(10)
                    sock.sendall(said + b"\n")
                    got = sock.makefile().readline()
                    self.assertIn(why, got)


if __name__ == "__main__":
    unittest.main()
