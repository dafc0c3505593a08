"""The stages of a start: the rules, and real processes that all come back at once, or without the others."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path

import pytest

from benchmarks.store_rig import Cluster
from eiderpin.fleet.comeback import ALONE, RejoinProgress, Stage
from tests.standins import HttpWorker, wait_for
from tests.test_command import eiderpin
from tests.test_incarnation import door, list_worker


@pytest.mark.parametrize(
    ("listed", "caught_up", "known", "stage", "share"),
    [
        (False, False, False, Stage.BLANK, 25),
        (False, True, True, Stage.BLANK, 25),  # workers of a former life are no ground for more
        (True, False, False, Stage.LISTED, 50),
        (True, True, False, Stage.CAUGHT_UP, 75),
        (True, True, True, Stage.WHOLE, 100),
    ],
)
def test_what_is_known_says_what_is_asked_for(
    listed: bool, caught_up: bool, known: bool, stage: Stage, share: int
) -> None:
    start = RejoinProgress(1000.0)
    assert start.note(1100.0, listed, caught_up, known) is (stage is Stage.WHOLE)
    assert (start.stage(1100.0), start.traffic_percent(1100.0)) == (stage, share)


def test_serving_does_not_wait_for_the_store_for_ever() -> None:
    start = RejoinProgress(1000.0)
    start.note(1100.0, True, False, False)
    assert start.stage(999.0 + ALONE) is Stage.LISTED
    assert (start.stage(1000.0 + ALONE), start.traffic_percent(1000.0 + ALONE)) == (Stage.ALONE, 100)
    assert start.age("caught_up", 1000.0 + ALONE) == float("inf")  # its orders are of any age
    assert start.note(20_000.0, True, True, True)  # it comes in late


def test_each_step_counts_from_its_first_time_and_the_end_is_told_once() -> None:
    start = RejoinProgress(1000.0)
    start.note(1100.0, True, False, False)
    start.note(1300.0, True, True, False)
    assert start.note(1400.0, True, True, True) and not start.note(1500.0, True, True, True)
    assert start.took() == {"listed": 100, "caught_up": 300, "known": 400}
    assert start.age("listed", 1500.0) == 400.0


def test_all_three_come_back_at_once_each_as_a_new_life() -> None:
    worker = HttpWorker("w1")
    with tempfile.TemporaryDirectory() as folder:
        it = Cluster(Path(folder), 3)
        try:
            for process in it.all.values():
                list_worker(process.folder / "config.json", worker)
            it.start()
            wait_for(lambda: all(whole(p.log()) for p in it.all.values()), "all three to be whole")
            for process in it.all.values():
                process.kill()
            for process in it.all.values():
                process.start()
            wait_for(lambda: all(len(whole(p.log())) == 2 for p in it.all.values()), "all to be back")
            lives = [life for p in it.all.values() for life in whole(p.log())]
            assert len(set(lives)) == 6
            shown = eiderpin("dispatchers", "--door", it.all["m0"].door).stdout.splitlines()
            for name, process in it.all.items():
                assert door(process.door, "ready").startswith("ok up 100%")
                (line,) = [row for row in shown if row.startswith(name)]
                assert whole(process.log())[-1].rpartition("/")[2] in line and "known" in line
            assert not [p.log() for p in it.all.values() if "Traceback" in p.log()]
        finally:
            it.stop()
            worker.stop()


def test_one_that_comes_back_without_the_others_says_so_and_serves() -> None:
    worker = HttpWorker("w1")
    with tempfile.TemporaryDirectory() as folder:
        it = Cluster(Path(folder), 3)
        try:
            list_worker(it.all["m0"].folder / "config.json", worker)
            it.start()
            wait_for(lambda: whole(it.all["m0"].log()), "it to be whole")
            for process in it.all.values():
                process.kill()
            it.all["m0"].start("from eiderpin.fleet import comeback\ncomeback.ALONE = 1500.0")
            said = wait_for(lambda: ready(it.all["m0"].door), "it to answer")
            assert re.match(r"ok up (25|50)%.*coming back: (blank|listed)", said), said
            wait_for(lambda: "alone" in ready(it.all["m0"].door), "it to go on alone")
            assert ready(it.all["m0"].door).startswith("ok up 100%")
            it.all["m1"].start()
            wait_for(lambda: len(whole(it.all["m0"].log())) == 2, "the store to be caught up with")
        finally:
            it.stop()
            worker.stop()


def whole(log: str) -> list[str]:
    """The lives, NAME/INCARNATION, that have told of the end of their start."""
    return re.findall(r"store: (\S+/\S+) is whole: listed after \d+ ms, caught_up after \d+ ms", log)


def ready(address: str) -> str:
    try:
        return door(address, "ready").strip()
    except OSError:
        return ""
