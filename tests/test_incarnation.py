"""Incarnations: the rules, and real processes of which one is frozen while another takes over its name."""

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
from eiderpin.fleet.incarnation import DOCUMENT_PREFIX, ClaimState, Incarnation, is_latest_incarnation
from eiderpin.store.state import Command, Put, Store, Transaction
from tests.standins import HttpWorker, http_call, wait_for


class Processes:
    """Several processes of one name that share one store."""

    def __init__(self) -> None:
        self.store, self.commands = Store(), 0

    def commit(self, change: Transaction) -> bool:
        self.commands += 1
        return self.store.apply(Command("", self.commands, change)).ok

    def start(self, token: str) -> Incarnation:
        """Start a process, which claims the name."""
        incarnation = Incarnation("d1", token, 1)
        incarnation.record_initial_revision(self.revision())
        self.notify(incarnation, self.commit(incarnation.build_claim()))
        return incarnation

    def notify(self, incarnation: Incarnation, ok: bool) -> bool:
        """Show a process the current document; `ok`: whether its own change was carried out."""
        document = self.store.get(DOCUMENT_PREFIX + "d1")
        value = document.value if document is not None else None
        return incarnation.apply_document(value, self.revision(), claim_refused=not ok)

    def revision(self) -> int:
        document = self.store.get(DOCUMENT_PREFIX + "d1")
        return document.revision if document is not None else 0


PUT = Transaction([Put("hint", b"x")])


def test_a_later_process_of_the_name_fences_the_earlier_one() -> None:
    """Two processes of one name must never both write. The earlier one's next write must fail even before it
    has learned of its successor, and it must be reported as fenced exactly once."""
    processes = Processes()
    first, second = processes.start("one"), processes.start("two")
    assert str(first) != str(second) and first.claim_state is second.claim_state is ClaimState.HELD
    assert processes.commit(second.guard(PUT))
    assert not processes.commit(first.guard(PUT))  # before it has learned of its successor
    assert processes.notify(first, True) and first.claim_state is ClaimState.FENCED
    assert not processes.notify(first, True)  # fencing is reported once
    with pytest.raises(ValueError, match="fenced"):
        first.guard(PUT)
    assert not processes.notify(second, True) and second.claim_state is ClaimState.HELD


def test_of_two_processes_started_at_once_one_is_fenced() -> None:
    """Both read the document before either of them writes it: only one claim may succeed."""
    processes = Processes()
    one, two = Incarnation("d1", "one", 1), Incarnation("d1", "two", 1)
    for incarnation in (one, two):
        incarnation.record_initial_revision(processes.revision())
    assert not processes.notify(one, processes.commit(one.build_claim()))
    assert processes.notify(two, processes.commit(two.build_claim()))
    assert (one.claim_state, two.claim_state) == (ClaimState.HELD, ClaimState.FENCED)


def test_a_claim_can_be_repeated_after_its_answer_was_lost() -> None:
    """The repeated claim is refused, because the first one was carried out. The process must recognise its
    own token rather than fence itself."""
    processes = Processes()
    incarnation = Incarnation("d1", "one", 1)
    incarnation.record_initial_revision(processes.revision())
    assert processes.commit(incarnation.build_claim())  # its answer is lost
    assert not processes.notify(incarnation, processes.commit(incarnation.build_claim()))
    assert incarnation.claim_state is ClaimState.HELD and processes.commit(incarnation.guard(PUT))


def test_a_process_frozen_before_its_claim_does_not_take_the_name_from_its_successor() -> None:
    """A process may be frozen between reading the document and writing it, while a successor claims the name.
    Its late claim must be refused."""
    processes = Processes()
    frozen = Incarnation("d1", "frozen", 1)
    frozen.record_initial_revision(processes.revision())
    successor = processes.start("successor")
    assert processes.notify(frozen, processes.commit(frozen.build_claim()))
    assert frozen.claim_state is ClaimState.FENCED
    assert processes.commit(successor.guard(PUT))


def test_a_delayed_document_of_an_earlier_incarnation_fences_nobody() -> None:
    """A member that lags behind may deliver the document as an earlier process left it. Only a later revision
    or a deletion may fence a process that holds its name."""
    incarnation = Incarnation("d1", "now", 1)
    incarnation.apply_document(orjson.dumps({"token": "before"}), 7)
    assert incarnation.claim_state is ClaimState.UNKNOWN
    incarnation.apply_document(orjson.dumps({"token": "now"}), 9)
    incarnation.apply_document(orjson.dumps({"token": "before"}), 7)
    assert incarnation.claim_state is ClaimState.HELD
    # Somebody has deleted the document: nobody holds the name.
    assert incarnation.apply_document(None, 0) or incarnation.claim_state is ClaimState.FENCED


def test_only_the_latest_incarnation_of_a_name_is_recognised_as_a_writer() -> None:
    """A claim in the store must not count as that of a live process if its writer was an earlier incarnation,
    or one from before the store was restored from a backup."""
    assert is_latest_incarnation("d1/1.9", 1, 9)
    assert not is_latest_incarnation("d1/1.9", 1, 10) and not is_latest_incarnation(
        "d1/1.9", 2, 9
    )  # a later one; a restored store
    assert not is_latest_incarnation("d1/123456", 1, 9) and not is_latest_incarnation("", 1, 0)


def test_a_frozen_process_that_resumes_after_its_successor_started_is_fenced() -> None:
    """A dispatcher is stopped by SIGSTOP, its member is removed, and a successor takes its name. When it
    resumes, it must not run a job that must not run twice, and must be fenced within seconds."""
    worker = HttpWorker("w1")
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 3)
        try:
            for process in cluster.all.values():
                process.parts["store"]["outcomes"] = ["result-post"]
                set_worker_list(process.folder / "config.json", worker)
            cluster.start()
            wait_for(
                lambda: all("store: this is" in p.log() for p in cluster.all.values()),
                "all to claim their names",
            )
            leader = cluster.leader()
            name = sorted(set(cluster.all) - {leader})[0]
            frozen = cluster.all[name]
            worker.callback_address = f"127.0.0.1:{frozen.http_port}"
            assert frozen.process is not None
            frozen.process.send_signal(signal.SIGSTOP)

            # Its member is removed, and a process on another machine takes over the name.
            client = cluster.store_client(20.0, leader)
            client.ask("remove", name=name)
            (cluster.folder / "other").mkdir()
            address = f"127.0.0.1:{free_port()}"
            successor = cluster.all["successor"] = Process(
                cluster.folder / "other", name, {}, address, join=True
            )
            successor.start()
            client.ask("add", 20.0, name=name, address=successor.listen)
            wait_for(lambda: f"store: this is {name}/" in successor.log(), "the successor to claim the name")
            frozen.process.send_signal(signal.SIGCONT)
            resumed_at = time.monotonic()
            status, *_ = http_call(
                f"127.0.0.1:{frozen.http_port}", "POST", "/result-post", b"x",
                **{"Req-Id": "0badcafe00000001", "Req-Deadline-Ms": "4000"},
            )  # fmt: skip
            assert status == 503 and not worker.ran  # it would have to claim the job first
            wait_for(lambda: "fenced: another process" in frozen.log(), "the frozen process to be fenced")
            assert time.monotonic() - resumed_at < 10.0
            assert "fail drain" in call_management(
                frozen.management_address, "ready"
            ) and "fenced" in call_management(frozen.management_address, "ready")
            assert "fenced" not in successor.log()
            tracebacks = [p.log() for p in cluster.all.values() if "Traceback" in p.log()]
            assert not tracebacks, tracebacks
        finally:
            cluster.stop()
            worker.stop()


def set_worker_list(path: Path, worker: HttpWorker) -> None:
    """Make the worker the only one in a configuration file."""
    config = orjson.loads(path.read_bytes())
    config["workers"] = [{"name": worker.name, "address": f"127.0.0.1:{worker.port}"}]
    path.write_bytes(orjson.dumps(config))


def call_management(address: str, line: str) -> str:
    """The answer of a management API to one line."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(line.encode() + b"\n")
        return sock.makefile().read()
