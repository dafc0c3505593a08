"""Which life of a dispatcher is speaking: the rules, and real processes of which one is frozen while another
takes its name."""

from __future__ import annotations

import signal
import socket
import tempfile
import time
from pathlib import Path

import orjson
import pytest

from benchmarks.rig import free_port
from benchmarks.store_rig import Cluster, Process
from eiderpin.fleet.incarnation import PREFIX, ClaimState, Incarnation, holds
from eiderpin.store.state import Command, Put, Store, Transaction
from tests.standins import HttpWorker, http_call, wait_for


class Lives:
    """Several processes by one name before one store."""

    def __init__(self) -> None:
        self.store, self.number = Store(), 0

    def apply(self, change: Transaction) -> bool:
        self.number += 1
        return self.store.apply(Command("", self.number, change)).ok

    def begin(self, token: str) -> Incarnation:
        life = Incarnation("d1", token, 1)
        life.read(self.revision())
        self.settle(life, self.apply(life.claim()))
        return life

    def settle(self, life: Incarnation, ok: bool) -> bool:
        document = self.store.get(PREFIX + "d1")
        value = document.value if document is not None else None
        return life.heard(value, self.revision(), refused=not ok)

    def revision(self) -> int:
        document = self.store.get(PREFIX + "d1")
        return document.revision if document is not None else 0


PUT = Transaction([Put("hint", b"x")])


def test_each_life_has_an_incarnation_of_its_own_and_the_latest_counts() -> None:
    lives = Lives()
    first, second = lives.begin("one"), lives.begin("two")
    assert str(first) != str(second) and first.claim_state is second.claim_state is ClaimState.HELD
    assert lives.apply(second.guarded(PUT))
    assert not lives.apply(first.guarded(PUT))  # before it has heard of anything
    assert lives.settle(first, True) and first.claim_state is ClaimState.FENCED
    assert not lives.settle(first, True)  # once is enough
    with pytest.raises(ValueError, match="fenced"):
        first.guarded(PUT)
    assert not lives.settle(second, True) and second.claim_state is ClaimState.HELD


def test_of_two_that_begin_at_once_one_is_fenced() -> None:
    lives = Lives()
    one, two = Incarnation("d1", "one", 1), Incarnation("d1", "two", 1)
    for life in (one, two):
        life.read(lives.revision())
    assert not lives.settle(one, lives.apply(one.claim()))
    assert lives.settle(two, lives.apply(two.claim()))
    assert (one.claim_state, two.claim_state) == (ClaimState.HELD, ClaimState.FENCED)


def test_a_claim_whose_answer_was_lost_is_asked_for_again_without_harm() -> None:
    lives = Lives()
    life = Incarnation("d1", "one", 1)
    life.read(lives.revision())
    assert lives.apply(life.claim())  # nobody told us
    assert not lives.settle(life, lives.apply(life.claim()))
    assert life.claim_state is ClaimState.HELD and lives.apply(life.guarded(PUT))


def test_one_that_was_frozen_on_its_claim_does_not_take_the_name_from_its_successor() -> None:
    lives = Lives()
    frozen = Incarnation("d1", "frozen", 1)
    frozen.read(lives.revision())
    successor = lives.begin("successor")
    assert lives.settle(frozen, lives.apply(frozen.claim()))
    assert frozen.claim_state is ClaimState.FENCED
    assert lives.apply(successor.guarded(PUT))


def test_an_earlier_lifes_document_heard_late_fences_nobody() -> None:
    life = Incarnation("d1", "now", 1)
    life.heard(orjson.dumps({"token": "before"}), 7)
    assert life.claim_state is ClaimState.UNKNOWN
    life.heard(orjson.dumps({"token": "now"}), 9)
    life.heard(orjson.dumps({"token": "before"}), 7)
    assert life.claim_state is ClaimState.HELD
    assert (
        life.heard(None, 0) or life.claim_state is ClaimState.FENCED
    )  # somebody took it away: nothing holds


def test_what_names_its_writer_holds_for_its_latest_life_alone() -> None:
    assert holds("d1/1.9", 1, 9)
    assert not holds("d1/1.9", 1, 10) and not holds("d1/1.9", 2, 9)  # a later life; a restored store
    assert not holds("d1/123456", 1, 9) and not holds("", 1, 0)


def test_a_frozen_process_that_wakes_after_its_successor_began_is_fenced() -> None:
    worker = HttpWorker("w1")
    with tempfile.TemporaryDirectory() as folder:
        it = Cluster(Path(folder), 3)
        try:
            for process in it.all.values():
                process.parts["store"]["outcomes"] = ["result-post"]
                list_worker(process.folder / "config.json", worker)
            it.start()
            wait_for(lambda: all("store: this is" in p.log() for p in it.all.values()), "all to have begun")
            leader = it.leader()
            name = sorted(set(it.all) - {leader})[0]
            frozen = it.all[name]
            worker.back = f"127.0.0.1:{frozen.edge}"
            assert frozen.process is not None
            frozen.process.send_signal(signal.SIGSTOP)

            # Its machine is given up, and another one takes the name.
            client = it.store_client(20.0, leader)
            client.ask("remove", name=name)
            (it.folder / "other").mkdir()
            at = f"127.0.0.1:{free_port()}"
            successor = it.all["successor"] = Process(it.folder / "other", name, {}, at, join=True)
            successor.start()
            client.ask("add", 20.0, name=name, address=successor.listen)
            wait_for(lambda: f"store: this is {name}/" in successor.log(), "the successor to begin")
            frozen.process.send_signal(signal.SIGCONT)
            woken = time.monotonic()
            status, *_ = http_call(
                f"127.0.0.1:{frozen.edge}", "POST", "/result-post", b"x",
                **{"Req-Id": "0badcafe00000001", "Req-Deadline-Ms": "4000"},
            )  # fmt: skip
            assert status == 503 and not worker.ran  # nothing that it would have to write down first
            wait_for(lambda: "fenced: another process" in frozen.log(), "it to be fenced")
            assert time.monotonic() - woken < 10.0
            assert "fail drain" in door(frozen.door, "ready") and "fenced" in door(frozen.door, "ready")
            assert "fenced" not in successor.log()
            faults = [p.log() for p in it.all.values() if "Traceback" in p.log()]
            assert not faults, faults
        finally:
            it.stop()
            worker.stop()


def list_worker(path: Path, worker: HttpWorker) -> None:
    said = orjson.loads(path.read_bytes())
    said["workers"] = [{"name": worker.name, "address": f"127.0.0.1:{worker.port}"}]
    path.write_bytes(orjson.dumps(said))


def door(address: str, line: str) -> str:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(line.encode() + b"\n")
        return sock.makefile().read()
