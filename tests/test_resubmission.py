"""A job that a client submits again during an upgrade, on real processes: it must run once.

The fault: the new process did not look at the ids of the jobs that the old one had under way. It took the
second submission for a new job, and a job that must not run twice ran twice.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from eiderpin.net.gearman import Kind, Packet
from tests.standins import GearmanPeer, Program, wait_for
from tests.test_operators import ASK, answer, caller, figures
from tests.test_upgrade import TOOK, UpgradeSite, said, side

JOB_ID, OTHER_ID = b"club-7", b"club-8"
JOB_ENDS = (Kind.WORK_COMPLETE, Kind.WORK_FAIL)


@dataclass
class Upgrade:
    """An old and a new process with Gearman fronts, and the clients of a job."""

    site: UpgradeSite
    old: Program
    new: Program = field(init=False)
    clients: list[GearmanPeer] = field(default_factory=list)

    def client(self) -> GearmanPeer:
        """Connect a client to the process that accepts connections now."""
        self.clients.append(GearmanPeer(self.old.at["gearman"]))
        return self.clients[-1]

    def submit(
        self, client: GearmanPeer | None = None, cls: bytes = b"result-post", job_id: bytes = JOB_ID
    ) -> GearmanPeer:
        """Submit the job, on a new connection unless one is given, and wait for its confirmation."""
        client = client or self.client()
        client.put(Kind.SUBMIT_JOB, cls, job_id, b"rank them")
        client.wait_for_packet(Kind.JOB_CREATED)
        return client

    def submit_and_wait_until_it_runs(self) -> GearmanPeer:
        """Submit the job and wait until a worker runs it."""
        client = self.submit()
        self.wait_until_run(JOB_ID)
        return client

    def stay_connected(self) -> GearmanPeer:
        """Connect a client that is not sent away by an upgrade, since it waits for a job of another id."""
        client = self.submit(job_id=OTHER_ID)
        self.wait_until_run(OTHER_ID)
        return client

    def wait_until_run(self, job_id: bytes) -> None:
        """Wait until a worker runs the job of this id."""
        wait_for(lambda: self.site.held.worker.ran[job_id.decode()], f"{job_id.decode()} to run")

    def start_new_process(self) -> None:
        """Start the new process and wait until it has the clients."""
        at = {"gearman": self.old.at["gearman"]}
        self.new = self.site.serving(fronts=at)
        said(self.old, TOOK)

    def terminate_old_process(self) -> None:
        """Send SIGTERM to the old process."""
        self.old.process.send_signal(signal.SIGTERM)

    def wait_until_moved(self) -> None:
        """Terminate the old process and wait until it has moved the job to the new one."""
        self.terminate_old_process()
        wait_for(lambda: figures(self.new.at["management"])["outstanding"] == 1, "the job to be moved")

    def wait_until_ended(self) -> None:
        """Terminate the old process and wait for its end."""
        self.terminate_old_process()
        assert self.old.process.wait(20) == 0

    def finish_job(self) -> None:
        """Let the job end at its worker."""
        self.site.held.go.set()

    def runs(self) -> int:
        """Return how often the job has begun, under whatever id."""
        return sum(self.site.held.worker.ran.values())


@pytest.fixture
def upgrade() -> Iterator[Upgrade]:
    """An upgrade whose old process serves; no process may have logged a traceback or a broken invariant."""
    with side() as site:
        running = Upgrade(site, site.serving(fronts=("gearman",)))
        yield running
        for client in running.clients:
            client.close()


def answer_to(client: GearmanPeer) -> Packet:
    """Wait for the end of a client's job."""
    return client.wait_for_packet(*JOB_ENDS)


def check_result(client: GearmanPeer) -> None:
    """Check that a client gets the result of the job."""
    packet = answer_to(client)
    assert (packet.kind, packet.args[1]) == (Kind.WORK_COMPLETE, b"ran club-7")


MOMENTS: dict[str, Callable[[Upgrade], Any]] = {
    "before SIGTERM": lambda upgrade: None,
    "after SIGTERM": Upgrade.terminate_old_process,
    "after the move": Upgrade.wait_until_moved,
    "after the end": Upgrade.wait_until_ended,
}


@pytest.mark.parametrize("leaves", [True, False], ids=["first client gone", "first client there"])
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_job_that_is_submitted_again_during_an_upgrade_runs_once(
    upgrade: Upgrade, moment: str, leaves: bool
) -> None:
    """The new process must let the second submission wait for the job that the old one has, or had."""
    first = upgrade.submit_and_wait_until_it_runs()
    upgrade.start_new_process()
    MOMENTS[moment](upgrade)
    if leaves:
        first.close()
    again = upgrade.submit()
    upgrade.finish_job()
    check_result(again)
    if not leaves and moment != "after the end":
        check_result(first)
    assert upgrade.runs() == 1


@pytest.mark.parametrize("moment", ["before SIGTERM", "after SIGTERM", "after the end"])
def test_a_job_that_has_ended_before_it_is_submitted_again_runs_once(upgrade: Upgrade, moment: str) -> None:
    """What the old process retains for resubmissions must be known to the new one, also after its end."""
    upgrade.finish_job()
    check_result(upgrade.submit())
    upgrade.start_new_process()
    MOMENTS[moment](upgrade)
    check_result(upgrade.submit())
    assert upgrade.runs() == 1


@pytest.mark.parametrize("moment", ["before SIGTERM", "after SIGTERM", "after the end"])
def test_a_job_that_the_old_process_accepts_after_the_upgrade_has_begun_runs_once(
    upgrade: Upgrade, moment: str
) -> None:
    """A client that stays connected submits to the old process, which must ask the new one first."""
    staying = upgrade.stay_connected()
    upgrade.start_new_process()
    upgrade.submit(staying)
    upgrade.wait_until_run(JOB_ID)
    MOMENTS[moment](upgrade)
    staying.close()
    again = upgrade.submit()
    upgrade.finish_job()
    check_result(again)
    assert upgrade.runs() == 2


def test_a_job_that_the_new_process_runs_is_joined_from_the_old_one(upgrade: Upgrade) -> None:
    """A client that stays connected to the old process submits a job that the new one runs."""
    staying = upgrade.stay_connected()
    upgrade.start_new_process()
    first = upgrade.submit_and_wait_until_it_runs()
    upgrade.submit(staying)
    upgrade.finish_job()
    check_result(first)
    assert {answer_to(staying).args[1], answer_to(staying).args[1]} == {b"ran club-7", b"ran club-8"}
    assert upgrade.runs() == 2


def test_a_job_by_http_joins_a_gearman_job_of_the_old_process(upgrade: Upgrade) -> None:
    """Submitted by the other front, it must wait for the same run."""
    upgrade.submit_and_wait_until_it_runs()
    upgrade.start_new_process()
    with caller(upgrade.new.http_address) as sock:
        sock.sendall(ASK.replace(b"time-lookup", b"result-post") % JOB_ID)
        wait_for(lambda: upgrade.new.counters().get("in.joined_at_peer"), "the job to be joined")
        upgrade.finish_job()
        assert answer(sock).endswith(b"ran club-7")
    assert upgrade.runs() == 1


def test_a_job_whose_old_process_is_killed_does_not_run_again(upgrade: Upgrade) -> None:
    """Nobody can tell how it ended: its client is told that it failed."""
    first = upgrade.submit_and_wait_until_it_runs()
    upgrade.start_new_process()
    waiting = upgrade.submit()
    upgrade.old.process.kill()
    assert answer_to(waiting).kind is Kind.WORK_FAIL
    first.close()
    assert answer_to(upgrade.submit()).kind is Kind.WORK_FAIL
    assert upgrade.runs() == 1


def test_a_repeatable_job_whose_old_process_is_killed_runs_again(upgrade: Upgrade) -> None:
    """It may run any number of times, so its client gets a result."""
    upgrade.submit(cls=b"time-lookup")
    upgrade.wait_until_run(JOB_ID)
    upgrade.start_new_process()
    waiting = upgrade.submit(cls=b"time-lookup")
    upgrade.old.process.kill()
    wait_for(lambda: upgrade.runs() == 2, "the job to run again")
    upgrade.finish_job()
    check_result(waiting)


def test_a_job_runs_once_over_two_upgrades(upgrade: Upgrade) -> None:
    """The third process must know of the first one's job, with whom it has no link."""
    first = upgrade.submit_and_wait_until_it_runs()
    upgrade.start_new_process()
    second = upgrade.new
    at = {"gearman": upgrade.old.at["gearman"]}
    keeps_second_alive = upgrade.stay_connected()
    upgrade.site.serving(fronts=at)
    said(second, TOOK)
    first.close()
    again = upgrade.submit()
    upgrade.finish_job()
    check_result(again)
    assert answer_to(keeps_second_alive).args[1] == b"ran club-8"
    assert upgrade.runs() == 2
