"""Stages of a start: the rules, and real processes that restart all at once or without the others."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path

import pytest

from benchmarks.store_rig import Cluster
from eiderpin.fleet.comeback import STORE_WAIT_MS, RejoinProgress, Stage
from tests.standins import HttpWorker, wait_for
from tests.test_command import eiderpin
from tests.test_incarnation import call_management, set_worker_list


@pytest.mark.parametrize(
    ("listed", "caught_up", "known", "stage", "percent"),
    [
        (False, False, False, Stage.BLANK, 25),
        (False, True, True, Stage.BLANK, 25),  # workers of an earlier incarnation are no reason for more
        (True, False, False, Stage.LISTED, 50),
        (True, True, False, Stage.CAUGHT_UP, 75),
        (True, True, True, Stage.WHOLE, 100),
    ],
)
def test_completed_steps_determine_stage_and_traffic_share(
    listed: bool, caught_up: bool, known: bool, stage: Stage, percent: int
) -> None:
    """A dispatcher must not ask for more traffic than what it knows after its start justifies."""
    progress = RejoinProgress(1000.0)
    assert progress.record(1100.0, listed, caught_up, known) is (stage is Stage.WHOLE)
    assert (progress.stage(1100.0), progress.traffic_percent(1100.0)) == (stage, percent)


def test_full_traffic_is_served_when_the_store_stays_unreachable() -> None:
    """A dispatcher whose store has lost its quorum must not ask for less traffic for ever. When the store can
    be reached again, the start must still be able to complete."""
    progress = RejoinProgress(1000.0)
    progress.record(1100.0, True, False, False)
    assert progress.stage(999.0 + STORE_WAIT_MS) is Stage.LISTED
    assert (progress.stage(1000.0 + STORE_WAIT_MS), progress.traffic_percent(1000.0 + STORE_WAIT_MS)) == (
        Stage.ALONE,
        100,
    )
    # The overrides on the member's disk may be of any age.
    assert progress.max_age_ms("caught_up", 1000.0 + STORE_WAIT_MS) == float("inf")
    assert progress.record(20_000.0, True, True, True)  # the store is reached late


def test_step_times_are_of_the_first_time_and_completion_is_reported_once() -> None:
    """Steps are recorded again with each heartbeat. That must neither move their times nor log the completion
    of the start more than once."""
    progress = RejoinProgress(1000.0)
    progress.record(1100.0, True, False, False)
    progress.record(1300.0, True, True, False)
    assert progress.record(1400.0, True, True, True) and not progress.record(1500.0, True, True, True)
    assert progress.step_times_ms() == {"listed": 100, "caught_up": 300, "known": 400}
    assert progress.max_age_ms("listed", 1500.0) == 400.0


def test_three_members_restarted_at_once_each_get_a_new_incarnation() -> None:
    """When all members are killed and restarted together, none of them finds a running store. Each must claim
    its name anew, complete its start and be ready for full traffic."""
    worker = HttpWorker("w1")
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 3)
        try:
            for process in cluster.all.values():
                set_worker_list(process.folder / "config.json", worker)
            cluster.start()
            wait_for(
                lambda: all(completed_starts(p.log()) for p in cluster.all.values()),
                "all three starts to complete",
            )
            for process in cluster.all.values():
                process.kill()
            for process in cluster.all.values():
                process.start()
            wait_for(
                lambda: all(len(completed_starts(p.log())) == 2 for p in cluster.all.values()),
                "all three to start again",
            )
            incarnations = [name for p in cluster.all.values() for name in completed_starts(p.log())]
            assert len(set(incarnations)) == 6
            rows = eiderpin("dispatchers", "--door", cluster.all["m0"].management_address).stdout.splitlines()
            for name, process in cluster.all.items():
                assert call_management(process.management_address, "ready").startswith("ok up 100%")
                (line,) = [row for row in rows if row.startswith(name)]
                assert completed_starts(process.log())[-1].rpartition("/")[2] in line and "known" in line
            assert not [p.log() for p in cluster.all.values() if "Traceback" in p.log()]
        finally:
            cluster.stop()
            worker.stop()


def test_a_member_restarted_without_quorum_reports_its_stage_and_serves() -> None:
    """A member that starts while the others are down cannot reach the store. It must say so in its readiness,
    serve all the same, and complete its start once there is a quorum."""
    worker = HttpWorker("w1")
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 3)
        try:
            set_worker_list(cluster.all["m0"].folder / "config.json", worker)
            cluster.start()
            wait_for(lambda: completed_starts(cluster.all["m0"].log()), "the start to complete")
            for process in cluster.all.values():
                process.kill()
            cluster.all["m0"].start("from eiderpin.fleet import comeback\ncomeback.STORE_WAIT_MS = 1500.0")
            answer = wait_for(
                lambda: read_readiness(cluster.all["m0"].management_address), "an answer to `ready`"
            )
            assert re.match(r"ok up (25|50)%.*coming back: (blank|listed)", answer), answer
            wait_for(
                lambda: "alone" in read_readiness(cluster.all["m0"].management_address), "the stage alone"
            )
            assert read_readiness(cluster.all["m0"].management_address).startswith("ok up 100%")
            cluster.all["m1"].start()
            wait_for(
                lambda: len(completed_starts(cluster.all["m0"].log())) == 2, "the second start to complete"
            )
        finally:
            cluster.stop()
            worker.stop()


def completed_starts(log: str) -> list[str]:
    """The incarnations, NAME/INCARNATION, that have logged the end of their start."""
    return re.findall(r"store: (\S+/\S+) is whole: listed after \d+ ms, caught_up after \d+ ms", log)


def read_readiness(address: str) -> str:
    """The answer to the operators' `ready`; empty while the process does not listen."""
    try:
        return call_management(address, "ready").strip()
    except OSError:
        return ""
