"""The store in real processes, on loopback."""

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
from eiderpin.store.client import Failed, StoreClient
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.messages import Heartbeat
from eiderpin.store.transport import MAGIC, VERSION, Hello, Welcome
from tests.standins import HttpWorker, http_call, wait_for
from tests.test_command import eiderpin
from tests.test_upgrade import TOOK, said, side


@contextmanager
def cluster(size: int = 3, **parts: Any) -> Iterator[Cluster]:
    with tempfile.TemporaryDirectory() as folder:
        it = Cluster(Path(folder), size, **parts)
        try:
            it.start()
            yield it
            faults = [p.log() for p in it.all.values() if "Traceback" in p.log() or "invariant" in p.log()]
            assert not faults, faults
        finally:
            it.stop()


class Alone(unittest.TestCase):
    def test_a_store_of_one_finds_its_state_after_a_kill(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            one = Process(Path(folder), "solo", {}, "")
            one.parts["store"] = {"directory": str(one.directory)}
            one.start()
            store = StoreClient([one.door], 15.0)
            first = store.put("a", b"1")
            self.assertGreater(store.put("b", b"\0\xff", 0)["revision"], first["revision"])
            with self.assertRaisesRegex(Failed, "revision") as failed:
                store.put("b", b"x", 0)
            self.assertEqual(failed.exception.kind, "differs")
            one.kill()
            last = sorted(one.directory.glob("*.seg"))[-1]
            with last.open("ab") as file:
                file.write(b"\xe1\xd7\3\1\x20\0\0\0torn")  # a change that was half written
            one.start()
            self.assertEqual(store.get("b")[0], b"\0\xff")
            self.assertEqual(store.ask("status")["role"], "leader")
            one.kill(signal.SIGTERM)
            self.assertNotIn("Traceback", one.log())

    def test_what_cannot_be_had_is_one_line_and_exit_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            one = Process(Path(folder), "solo", {}, "")
            for said, why in (
                ({"directory": str(one.directory), "names": 1}, "there is no such setting"),
                ({"directory": str(one.directory), "listen": "nowhere"}, "HOST:PORT is expected"),
                ({"directory": str(one.directory), "members": {"x": "127.0.0.1:1"}}, "is not among them"),
                ({"directory": str(one.directory), "join": True}, "an address is needed"),
                ({"directory": str(one.directory), "name": "a b"}, "letters, digits"),
                ({"directory": "/proc/nowhere"}, "store.directory"),
                ({"directory": str(one.directory), "outcomes": ["time-lookup"]}, "must not run twice"),
                ({"directory": str(one.directory), "keep_s": 1}, "60 to 80000"),
            ):
                one.parts["store"] = said
                one.errors.unlink(missing_ok=True)
                one.start()
                assert one.process is not None
                self.assertEqual(one.process.wait(20), 2, said)
                self.assertIn(why, one.log())
                self.assertEqual(len(one.log().splitlines()), 1)
            one.parts["store"] = {"directory": str(one.directory)}
            one.start()
            StoreClient([one.door], 15.0).put("a", b"1")
            other = Process(Path(folder), "other", {}, "")
            for name, why in (("solo", "another process owns it"), ("other", "another process owns it")):
                other.parts["store"] = {"directory": str(one.directory), "name": name}
                other.start()
                assert other.process is not None
                self.assertEqual(other.process.wait(20), 2)
                self.assertIn(why, other.log())
            one.kill()
            other.start()
            assert other.process is not None
            self.assertEqual(other.process.wait(20), 2)
            self.assertIn("that of member solo", other.log())

    def test_a_full_disk_stops_changes_and_comes_back_without_a_restart(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            one = Process(Path(folder), "solo", {}, "")
            one.parts["store"] = {"directory": str(one.directory)}
            one.start()
            store = StoreClient([one.door], 15.0)
            store.put("a", b"1")
            assert one.process is not None
            limits = resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, (1, -1))
            quick = StoreClient([one.door], 0.3)
            with self.assertRaises(Failed):
                quick.change("txn", puts=[{"name": "b", "value": "eA=="}])
            wait_for(lambda: one.status()["disk_fails"], "the disk to be found out")
            self.assertEqual(quick.get("a", stale=True)[0], b"1")
            with self.assertRaises(Failed):
                quick.get("a")
            resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, limits)
            wait_for(lambda: not one.status()["disk_fails"], "the disk to come back")
            store.put("c", b"3")
            one.kill()
            one.start()
            self.assertEqual((store.get("a")[0], store.get("c")[0]), (b"1", b"3"))
            one.kill()


class Upgrade(unittest.TestCase):
    def test_the_member_changes_hands_with_the_directory(self) -> None:
        with side() as it, tempfile.TemporaryDirectory() as folder:
            store = {"directory": folder, "name": "d1"}
            old = it.serving(store=store)
            client = StoreClient([old.at["management"]], 15.0)
            client.put("a", b"1")
            client.put("orders/workers/h1", orders.Order(cordon=True).pack())
            new = it.serving(store=store)
            said(old, TOOK)
            client.put("b", b"2")  # the old one is the member still
            quick = StoreClient([new.at["management"]], 0.3)
            with self.assertRaisesRegex(Failed, "ask at its door"):
                quick.get("a")
            old.process.send_signal(signal.SIGTERM)
            self.assertEqual(old.process.wait(20), 0)
            client = StoreClient([new.at["management"]], 15.0)
            self.assertEqual((client.get("a")[0], client.get("b")[0]), (b"1", b"2"))
            said(new, "order for worker h1")


class Together(unittest.TestCase):
    def test_it_outlives_its_leader_and_misses_nothing(self) -> None:
        with cluster() as it:
            store = it.store_client()
            seen: list[tuple[int, str]] = []

            def look() -> None:
                for event in it.store_client().watch("w/", 0):
                    seen.append((event["revision"], event["name"]))

            threading.Thread(target=look, daemon=True).start()
            put = [(store.put(f"w/{i}", b"x")["revision"], f"w/{i}") for i in range(20)]
            lead = it.leader()
            it.all[lead].kill()
            put += [(store.put(f"w/{i}", b"y")["revision"], f"w/{i}") for i in range(20, 40)]
            it.all[lead].start()
            it.together()
            other = it.leader()
            self.assertNotEqual(lead, other)
            store.ask("transfer", name=lead)
            self.assertEqual(it.leader(), lead)
            put += [(store.put(f"w/{i}", b"z")["revision"], f"w/{i}") for i in range(40, 50)]
            wait_for(lambda: len(seen) >= 50, "the watch")
            self.assertEqual(seen, put)
            self.assertEqual(store.get("w/3")[0], b"x")

    def test_without_a_majority_it_says_so_and_old_reads_go_on(self) -> None:
        with cluster() as it:
            store = it.store_client()
            store.put("a", b"1")
            it.together()
            lead = it.leader()
            for name in it.all:
                if name != lead:
                    it.all[name].kill()
            left = it.store_client(0.5, lead)
            wait_for(lambda: it.all[lead].status()["role"] != "leader", "it to step down")
            for call in (lambda: left.put("a", b"2"), lambda: left.get("a")):
                with self.assertRaises(Failed) as failed:
                    call()
                self.assertIn(failed.exception.kind, ("no-leader", "unknown"))
            self.assertEqual(left.get("a", stale=True)[0], b"1")
            wait_for(lambda: it.all[lead].status()["cut_off"], "it to say that it is cut off")
            for name in it.all:
                if name != lead:
                    it.all[name].start()
            it.leader()
            self.assertEqual(store.get("a")[0], b"1")

    def test_it_grows_from_one_to_three_under_load_and_lets_the_first_go(self) -> None:
        with cluster(1) as it:
            store, stop, done = it.store_client(), threading.Event(), []

            def load() -> None:
                mine = it.store_client(20.0, "m0")
                while not stop.is_set():
                    mine.doors = [p.door for p in list(it.all.values()) if p.alive]
                    done.append(mine.put(f"k{len(done)}", b"v")["revision"])

            thread = threading.Thread(target=load, daemon=True)
            thread.start()
            for name in ("n1", "n2"):
                process = it.join(name)
                said = store.ask("add", 20.0, name=name, address=process.listen)
                self.assertIn(name, said["voters"])
            store.doors = [p.door for p in it.all.values()]
            self.assertEqual(set(store.ask("remove", name="m0")["voters"]), {"n1", "n2"})
            wait_for(lambda: it.all["m0"].status()["removed"], "the removed member to hear of it")
            before = len(done)
            it.all["m0"].kill()
            store.doors = [it.all[n].door for n in ("n1", "n2")]
            wait_for(lambda: len(done) > before + 5, "writes to go on")
            stop.set()
            thread.join(20)
            self.assertEqual(sorted(set(done)), done)  # each once, in order
            self.assertEqual(store.get(f"k{len(done) - 1}")[0], b"v")
            with self.assertRaisesRegex(Failed, "no member"):
                store.ask("remove", name="m0")

    def test_a_snapshot_begins_a_new_cluster_without_the_old_ones_votes(self) -> None:
        with cluster() as it, tempfile.TemporaryDirectory() as folder:
            for i in range(30):
                it.store_client().put(f"k{i}", b"%d" % i)
            path, door = f"{folder}/saved", it.all["m0"].door
            self.assertEqual(eiderpin("store", "snapshot", "--door", door, path).returncode, 0)
            at = f"127.0.0.1:{free_port()}"
            new = Process(Path(folder), "fresh", {"fresh": at}, at, cluster="c2")
            args = ("store", "restore", path, str(new.directory), "--name", "fresh", "--cluster", "c2")
            done = eiderpin(*args, "--member", f"fresh={at}")
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("is not empty", eiderpin(*args, "--member", f"fresh={at}").stderr)
            new.start()
            store = StoreClient([new.door], 15.0)
            self.assertEqual(store.get("k29")[0], b"29")
            store.put("k30", b"new")
            with self.assertRaises(Failed):
                it.store_client().get("k30")
            # A member of the old cluster at that address is refused, with the reason.
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
        quick = ("from eiderpin.store import member\nmember.SNAPSHOT_EVERY = 50\n"
                 "member.Member.__init__.__defaults__ = (member.Raft, 50, 5, 10_000)")  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            it = Cluster(Path(folder))
            try:
                for process in it.all.values():
                    process.start(quick)
                lead = it.leader()
                away = next(n for n in it.all if n != lead)
                store = it.store_client()
                store.put("first", b"1")
                it.all[away].kill()
                for i in range(200):
                    store.put(f"k{i % 20}", b"x" * 1000 + b"%d" % i)
                self.assertGreater(it.all[lead].status()["snapshot"], 100)
                it.all[away].start(quick)
                said = it.together()
                self.assertGreater(said[away]["snapshot"], 100)
                self.assertEqual(it.store_client(15.0, away).get("k19", stale=True)[0][-3:], b"199")
                it.all[away].kill()
                it.all[away].start(quick)  # from its own disk
                it.together()
                found = it.store_client(15.0, away).ask("range", prefix="k", most=100, stale=True)[
                    "documents"
                ]
                self.assertEqual(len(found), 20)
            finally:
                it.stop()

    def test_a_follower_whose_disk_fails_falls_behind_and_comes_back(self) -> None:
        with cluster() as it:
            store = it.store_client()
            store.put("a", b"1")
            lead = it.leader()
            limits = resource.prlimit(it.all[lead].process.pid, resource.RLIMIT_FSIZE, (1, -1))  # type: ignore[union-attr]
            store.put("a", b"2")  # another leads
            self.assertNotEqual(it.leader(other_than=lead), lead)
            wait_for(lambda: it.all[lead].status()["disk_fails"], "the disk to be found out")
            first = it.store_client(15.0, lead, *(n for n in it.all if n != lead))
            self.assertEqual(first.get("a")[0], b"2")  # it is asked first, and those behind it answer
            first.doors.sort(key=lambda door: door != it.all[lead].door)
            first.put("a", b"3")
            self.assertTrue(it.all[lead].status()["disk_fails"])
            resource.prlimit(it.all[lead].process.pid, resource.RLIMIT_FSIZE, limits)  # type: ignore[union-attr]
            it.together()
            self.assertEqual(it.store_client(15.0, lead).get("a", stale=True)[0], b"3")

    def test_leases_end_and_take_their_documents_along(self) -> None:
        with cluster() as it:
            store = it.store_client()
            lease = store.change("grant", ttl_ms=1000)["lease"]
            store.put("here", b"m0", lease=lease)
            for _ in range(3):
                threading.Event().wait(0.5)
                store.change("keep", lease=lease)
            self.assertEqual(store.get("here")[0], b"m0")
            wait_for(lambda: not store.ask("range", prefix="here")["documents"], "the lease to end")
            with self.assertRaisesRegex(Failed, "no lease"):
                store.change("keep", lease=lease)

    def test_chaos_for_a_while(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.store_chaos", "--minutes", "0.3", "--seed", "3"],
            cwd=ROOT, capture_output=True, text=True, timeout=150,
        )  # fmt: skip
        self.assertEqual(done.returncode, 0, done.stdout[-3000:] + done.stderr[-3000:])


def answers(edge: str) -> bool:
    try:
        return http_call(edge, "GET", "/_health")[0] in (200, 503)
    except OSError:
        return False


def refusal(sock: socket.socket) -> str:
    frames, found = FrameDecoder(b""), []
    while not found:
        data = sock.recv(65536)
        if not data:
            return "closed"
        found = frames.feed(data)
    return msgspec.msgpack.decode(found[0], type=Welcome).refused


class Wire(unittest.TestCase):
    def test_who_is_refused_or_closed(self) -> None:
        with cluster(1) as it:
            host, port = it.all["m0"].listen.split(":")
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
                        self.assertEqual(sock.recv(100), b"")  # what makes no sense ends it
            self.assertGreater(it.store_client().put("a", b"1")["revision"], 0)

    def test_frames_cut_anywhere(self) -> None:
        data = MAGIC + encode_frame(Hello(1, "c", "a", "b")) + encode_frame(Welcome(1, "no"))
        for cut in range(len(data)):
            frames = FrameDecoder(MAGIC)
            self.assertEqual(len(frames.feed(data[:cut]) + frames.feed(data[cut:])), 2)


class OrdersAndPresence(unittest.TestCase):
    def test_every_dispatcher_follows_an_order_and_knows_the_others(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            it, worker = Cluster(Path(folder)), HttpWorker("w1")
            try:
                for process in it.all.values():
                    path = process.folder / "config.json"
                    said = json.loads(path.read_text())
                    said["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}", "slots": 4}]
                    path.write_text(json.dumps(said))
                it.start()
                edges = {n: f"127.0.0.1:{p.edge}" for n, p in it.all.items()}
                doors = ",".join(p.door for p in it.all.values())

                def run(*args: str, code: int = 0) -> str:
                    done = eiderpin(args[0], *args[1:2], "--door", doors, *args[2:])
                    self.assertEqual(done.returncode, code, done.stderr)
                    return done.stdout + done.stderr

                def health(name: str) -> int:
                    return http_call(edges[name], "GET", "/_health")[0]

                for name in it.all:
                    wait_for(lambda name=name: health(name) == 200, f"{name} to be ready")
                wait_for(lambda: run("dispatchers").count(" up ") == 3, "all to be seen")
                processes = list(it.all.values())
                wait_for(lambda: all("3 dispatchers share" in p.log() for p in processes), "the shares")
                run("workers", "cordon", "w1", "--why", "its fan")
                for name in it.all:
                    wait_for(lambda name=name: health(name) == 503, f"{name} to follow")
                self.assertIn("w1  cordoned  (its fan)", run("workers", "orders"))
                # It holds over a kill, also of all.
                for process in it.all.values():
                    process.kill()
                for process in it.all.values():
                    process.start()
                it.leader()
                wait_for(lambda: all(p.log().count("order for worker w1") == 2 for p in processes), "it")
                self.assertEqual([health(name) for name in it.all], [503] * 3)
                run("workers", "cap", "w1", "2")
                run("workers", "release", "w1")
                self.assertIn("w1  2 slots", run("workers", "orders"))
                for name in it.all:
                    wait_for(lambda name=name: health(name) == 200, f"{name} to follow")
                run("workers", "cap", "w1", "0")
                self.assertEqual(run("workers", "orders"), "")
                self.assertIn("slots: 0.5", run("workers", "cap", "w1", "0.5", code=2))
                # A dead one is no longer counted.
                gone = next(n for n in it.all if n != it.leader())
                it.all[gone].kill()
                alive = [p for n, p in it.all.items() if n != gone]
                wait_for(lambda: all("2 dispatchers share" in p.log() for p in alive), "the new shares")
                # A document that makes no sense is told of, and the order that stood is kept.
                it.store_client().put("orders/workers/w1", b"{")
                wait_for(lambda: all("w1 is not followed" in p.log() for p in alive), "the warning")
            finally:
                it.stop()
                worker.stop()

    def test_a_shared_configuration_by_versions(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            it, worker = Cluster(Path(folder)), HttpWorker("w1")
            try:
                it.start()
                processes, doors = list(it.all.values()), ",".join(p.door for p in it.all.values())
                for process in processes:
                    worker.back = f"127.0.0.1:{process.edge}"

                def run(*args: str, code: int = 0) -> str:
                    done = eiderpin("config", args[0], "--door", doors, *args[1:])
                    self.assertEqual(done.returncode, code, done.stderr)
                    return done.stdout + done.stderr

                def all_say(text: str) -> None:
                    wait_for(lambda: all(text in p.log() for p in processes), text)

                path, plain = Path(folder, "shared.json"), settings()
                rows = [{"name": "w1", "address": f"127.0.0.1:{worker.port}"}]
                path.write_text(json.dumps({"settings": plain, "workers": rows}))
                self.assertIn("no configuration", run("show"))
                self.assertEqual(run("set", str(path)), "version 1\n")
                all_say("configuration version 1 taken")
                edge = f"127.0.0.1:{processes[-1].edge}"
                self.assertEqual(http_call(edge, "POST", "/time-lookup", Req_Id="q1")[1], b"w1 ran q1")
                more = {**plain["classes"][1], "name": "photo"}
                grown = {**plain, "classes": [*plain["classes"], more]}
                path.write_text(json.dumps({"settings": grown, "workers": rows}))
                self.assertEqual(run("set", str(path)), "version 2\n")
                all_say("version 2 taken; a restart is needed for: settings")
                self.assertEqual(http_call(edge, "POST", "/photo", Req_Id="q2")[0], 404)
                path.write_text("{")
                self.assertIn("not JSON", run("set", str(path), code=2))
                self.assertEqual(eiderpin("config", "check", str(path)).returncode, 2)
                it.store_client().put("config/current", b"3\n{}")  # by hand, past all checks
                all_say("configuration version 3 not taken")
                wait_for(lambda: run("show").count("version 3 not taken") == 3, "all to tell of it")
                self.assertEqual(http_call(edge, "POST", "/time-lookup", Req_Id="q3")[0], 200)
                self.assertIn("photo", run("diff", "1", "2", code=1))
                self.assertEqual(run("diff", "2", "2"), "\n")
                self.assertIn("version 4, which is version 2", run("rollback", "2"))
                all_say("configuration version 4 taken")
                for process in processes:
                    process.kill()
                    process.start()
                it.leader()
                wait_for(lambda: answers(edge), "it to serve again")
                wait_for(lambda: http_call(edge, "GET", "/_health")[0] == 200, "the worker")
                self.assertEqual(http_call(edge, "POST", "/photo", Req_Id="q4")[1], b"w1 ran q4")
                self.assertIn("version 5, which is version 1", run("rollback", "1"))
                all_say("version 5 taken; a restart is needed for: settings")
            finally:
                it.stop()
                worker.stop()

    def test_orders_take_away_and_never_add(self) -> None:
        entry = api.WorkerEntry("w1", "", "", -1, api.WorkerState.IN_SERVICE, slots=4.0)
        unknown = replace(entry, slots=None)
        drains = replace(entry, state=api.WorkerState.DRAINING)
        for text, before, state, slots in (
            (b"{}", entry, "IN_SERVICE", 4.0), (b'{"cordon":true}', entry, "DRAINING", 4.0),
            (b'{"slots":2}', entry, "IN_SERVICE", 2.0), (b'{"slots":9}', entry, "IN_SERVICE", 4.0),
            (b'{"slots":2}', unknown, "IN_SERVICE", 2.0), (b'{"cordon":false}', drains, "DRAINING", 4.0),
        ):  # fmt: skip
            it = orders.Orders()
            it.take("w1", orders.read(text))
            got = it.apply(before)
            self.assertEqual((got.state.name, got.slots), (state, slots), text)
        for text, why in (
            (b"", "JSON"), (b"1", "an object"), (b'{"cordon":1}', "true or false"), (b'{"x":1}', "no such"),
            (b'{"slots":0}', "a number from 1"), (b'{"slots":true}', "a number"), (b'{"why":1}', "text"),
        ):  # fmt: skip
            with self.assertRaisesRegex(ValueError, why):
                orders.read(text)

    def test_a_cap_is_kept_to_at_once(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            held, answers, go = [], [], threading.Event()

            def act(worker: HttpWorker, rid: str, handler: Any) -> None:
                def work() -> None:  # the connection is free for the next job meanwhile
                    worker.tell(rid, "started")
                    while not go.wait(0.3):
                        worker.tell(rid, "running", share=0.1)
                    worker.tell(rid, "done", result="x")

                held.append(rid)
                handler.say(202)
                threading.Thread(target=work, daemon=True).start()

            def ask(*numbers: int) -> None:
                for i in numbers:
                    args = (worker.back, "POST", "/time-lookup")
                    threading.Thread(
                        target=lambda a=args, i=i: answers.append(http_call(*a, Req_Id=f"q{i}")[0]),
                        daemon=True,
                    ).start()

            worker, one = HttpWorker("w1", act), Process(Path(folder), "solo", {}, "")
            one.parts["store"] = {"directory": str(one.directory)}
            path = one.folder / "config.json"
            said = json.loads(path.read_text())
            said["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}", "slots": 4}]
            path.write_text(json.dumps(said))
            worker.back = f"127.0.0.1:{one.edge}"
            one.start()
            try:
                store = StoreClient([one.door], 15.0)
                store.ask("status")
                wait_for(lambda: http_call(worker.back, "GET", "/_health")[0] == 200, "it to be ready")
                store.put("orders/workers/w1", orders.Order(slots=2).pack())
                wait_for(lambda: "order for worker w1" in one.log(), "the order")
                ask(*range(6))
                wait_for(lambda: len(held) == 2, "two to be out")
                self.assertFalse(threading.Event().wait(0.3) or len(held) > 2)
                store.change("txn", deletes=["orders/workers/w1"])
                wait_for(lambda: "taken back" in one.log(), "the order to go")
                go.set()
                wait_for(lambda: len(answers) == 6, "all answers")
                go.clear()
                ask(*range(6, 12))
                wait_for(lambda: len(held) > 8, "more than two to be out")
                go.set()
                wait_for(lambda: len(answers) == 12, "all answers")
            finally:
                go.set()
                one.kill()
                worker.stop()


class Hints(unittest.TestCase):
    def test_what_was_learned_is_there_after_a_restart(self) -> None:
        quick = "from eiderpin.fleet import shared_state\nshared_state.PUBLISH_HINT_INTERVAL_MS = 300.0"
        with tempfile.TemporaryDirectory() as folder:
            worker, one = HttpWorker("w1"), Process(Path(folder), "solo", {}, "")
            one.parts["store"] = {"directory": str(one.directory)}
            path = one.folder / "config.json"
            plain = json.loads(path.read_text())
            plain["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}"}]
            path.write_text(json.dumps(plain))
            worker.back = f"127.0.0.1:{one.edge}"
            store = StoreClient([one.door], 15.0)

            def told() -> bool:
                assert one.process is not None
                one.process.send_signal(signal.SIGUSR1)
                return "store.hints 1" in one.log()

            try:
                one.start(quick)
                store.ask("status")
                wait_for(lambda: http_call(worker.back, "GET", "/_health")[0] == 200, "it to be ready")
                for i in range(20):
                    self.assertEqual(http_call(worker.back, "POST", "/time-lookup", Req_Id=f"q{i}")[0], 200)
                wait_for(lambda: store.ask("range", prefix="learned/")["documents"], "what it has learned")
                one.kill()
                one.start()
                store.ask("status")
                wait_for(told, "the hint to be taken")
            finally:
                one.kill()
                worker.stop()

    def test_what_is_too_old_or_makes_no_sense_is_no_hint(self) -> None:
        learned: Learned = {"fleet": {"": (1.0, 2.0, 3.0)}, "workers": {"w1": (1.0, 2.0, 3.0, 4.0)}}
        value = hints.pack(learned, 1e12)
        assert value is not None
        self.assertEqual(hints.read(value, 1e12 + hints.OLDEST), learned)
        self.assertIsNone(hints.read(value, 1e12 + hints.OLDEST + 1))
        self.assertIsNone(hints.read(value, 1e12 - hints.AHEAD - 1))  # a clock that has jumped
        self.assertIsNone(hints.pack({}, 1e12))
        self.assertIsNone(hints.pack({"workers": {f"w{i}": (1.0,) * 4 for i in range(20_000)}}, 1e12))
        for bad in (b"", b"1", b"{}", b'{"at":1,"learned":{"fleet":{"":[1]}}}',
                    b'{"at":1,"learned":{"x":{}}}', b'{"at":1,"learned":{"fleet":{"":[1,2,-3]}}}',
                    b'{"at":null,"learned":{}}'):  # fmt: skip
            with self.assertRaises(ValueError):
                hints.read(bad, 1e12)


class KeptOutcomes(unittest.TestCase):
    def test_a_resubmission_to_another_dispatcher_is_not_run_again(self) -> None:
        tellers = []

        def act(worker: HttpWorker, rid: str, handler: Any) -> None:
            worker.ran[rid] += 1
            handler.say(202)
            if rid.startswith("held"):
                tellers.append(rid)
                return  # it is never told of
            worker.tell(rid, "done", result=f"ran {rid}")

        with tempfile.TemporaryDirectory() as folder:
            it, worker = Cluster(Path(folder)), HttpWorker("w1", act)
            try:
                for process in it.all.values():
                    path = process.folder / "config.json"
                    plain = json.loads(path.read_text())
                    plain["workers"] = [{"name": "w1", "address": f"127.0.0.1:{worker.port}", "slots": 9}]
                    path.write_text(json.dumps(plain))
                    process.parts["store"]["outcomes"] = ["result-post"]
                it.start()
                edges = [f"127.0.0.1:{p.edge}" for p in it.all.values()]
                for edge in edges:
                    wait_for(lambda edge=edge: http_call(edge, "GET", "/_health")[0] == 200, "its readiness")
                wait_for(lambda: all("3 dispatchers share" in p.log() for p in it.all.values()), "the shares")

                def post(edge: str, name: str, body: bytes = b"x", **more: str) -> tuple[int, bytes]:
                    worker.back = edge
                    key = f'"{name}"'
                    return http_call(edge, "POST", "/result-post", body, Idempotency_Key=key, **more)[:2]

                wait_for(lambda: post(edges[0], "a1") == (200, b"ran a1"), "a lease to be there")

                def kept(edge: str) -> bool:
                    """Its member may hear a moment later than the first one's that the job has ended: until
                    then the job is another's, under way, and a client is told to come back."""
                    answer = post(edge, "a1")
                    self.assertIn(answer, ((200, b"ran a1"), (503, b"turned down\n")))
                    return answer[0] == 200

                for edge in edges:
                    wait_for(lambda edge=edge: kept(edge), "the kept answer")
                    self.assertEqual(post(edge, "a1"), (200, b"ran a1"))  # from then on each time
                    self.assertEqual(post(edge, "a1", b"other")[0], 422)
                self.assertEqual(worker.ran["a1"], 1)
                # Under way at one, it is turned down at the others; its dispatcher gone, it has failed.
                threading.Thread(target=quietly, args=(post, edges[0], "held"), daemon=True).start()
                wait_for(lambda: worker.ran["held"], "the job to be out")
                self.assertEqual(post(edges[1], "held")[0], 503)
                it.all["m0"].kill()
                wait_for(lambda: post(edges[1], "held")[0] == 500, "the dispatcher to be missed")
                it.all["m0"].start()
                wait_for(lambda: answers(edges[0]), "it to serve again")
                wait_for(lambda: post(edges[0], "held")[0] == 500, "its own word")
                self.assertEqual(worker.ran["held"], 1)
                # Without a majority such jobs are turned down, others go on.
                self.assertEqual(post(edges[2], "a2"), (200, b"ran a2"))
                it.all["m0"].kill()
                it.all["m1"].kill()
                wait_for(lambda: post(edges[2], "a3", Req_Deadline_Ms="4000")[0] == 503, "a turn-down")
                self.assertEqual(worker.ran["a3"], 0)
                self.assertEqual(post(edges[2], "a2"), (200, b"ran a2"))  # what is kept is told
                self.assertEqual(http_call(edges[2], "POST", "/time-lookup", Req_Id="q1")[0], 200)
                it.all["m0"].start()
                wait_for(lambda: post(edges[2], "a3") == (200, b"ran a3"), "the job to run at last")
                self.assertEqual(max(worker.ran.values()), 1)
            finally:
                it.stop()
                worker.stop()


def quietly(call: Any, *args: Any) -> None:
    with suppress(OSError):
        call(*args)


class Commands(unittest.TestCase):
    def test_each_against_a_store(self) -> None:
        with cluster(1) as it, tempfile.TemporaryDirectory() as folder:
            door = it.all["m0"].door

            def run(*args: str, code: int = 0) -> str:
                done = eiderpin("store", args[0], "--door", door, *args[1:])
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

    def test_bad_calls_at_the_door(self) -> None:
        with cluster(1) as it:
            host, port = it.all["m0"].door.split(":")
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
