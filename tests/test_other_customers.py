"""One deployment after another, and beside it: nothing of one shows in the next."""

from __future__ import annotations

import copy
import importlib
import json
import pkgutil
import random
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import eiderpin
from eiderpin import interface as api
from eiderpin.configuration import read_config
from eiderpin.decide import Dispatcher
from tests.conftest import entry, listed, sends
from tests.crossing import callback_request, job_request, running_harness
from tests.standins import SETTINGS, Discovery, HttpWorker, Program, http_call, wait_for

OTHER: dict[str, Any] = {
    "classes": [
        {"name": "label", "aim": 90.0, "hard_limit": 1500.0, "importance": 2, "repeat": "guarded",
         "key_scope": "all", "memory_span": 700.0},
        {"name": "result-post", "aim": 400.0, "hard_limit": 900.0, "repeat": "free"},
    ],
    "family_info": {"tells_start": False, "queue_order": "backfill", "class_stretch": [2, 1]},
    "limits": {"may_cancel": False, "try_limit": 2, "connect_timeout": 80.0, "conn_idle": 900.0,
               "retry_after": False},
    "rules": {"drain_grace": 200.0, "cold_share": 0.5, "warm_up": 3000.0, "fall_multiple": 2.0,
              "fall": 700.0},
    "realms": [{"name": "north", "allowance_per_s": 5.0, "share": 0.5}],
    "zone": "b", "weights": "nominal", "discovery": "on_request", "n_instances": 3, "slot_no": 1,
}  # fmt: skip


def shared_state() -> dict[str, Any]:
    """Every container that a module of the program keeps for all who use it."""
    kept = {}
    for found in pkgutil.walk_packages(eiderpin.__path__, "eiderpin."):
        if found.name.endswith("__main__"):
            continue
        module = importlib.import_module(found.name)
        for name, value in vars(module).items():
            if isinstance(value, dict | list | set | bytearray) and not name.startswith("__"):
                kept[f"{found.name}.{name}"] = value
    return kept


def play(settings: dict[str, Any], seed: int) -> list[tuple[Any, ...]]:
    """What the decisions do with the same day under these settings."""
    said = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings}
    read = read_config(json.dumps(said).encode()).settings
    d, rng, did = Dispatcher(read, seed), random.Random(seed), []
    d.handle(1000.0, [listed([entry(f"w{i}", zone=read.zone) for i in range(6)])])
    for i in range(120):
        now = 1001.0 + 12 * i
        spec = read.classes[rng.randrange(len(read.classes))]
        events: list[api.Event] = [api.Request(i, spec.name, spec.deadline), api.TimerFired(d.timer_handle)]
        for sent in sends(d.handle(now, events)):
            outcome = rng.choice(list(api.Outcome))
            number = d.jobs[sent.request].sends - 1
            did.append((sent.request, sent.worker))
            d.handle(now, [api.AttemptEnded(sent.request, number, sent.worker, outcome, 5.0,
                                            outcome is api.Outcome.DONE)])  # fmt: skip
    return did


class OneAfterAnother(unittest.TestCase):
    def test_the_same_day_is_the_same_whatever_was_played_before_it(self) -> None:
        alone = play(OTHER, 3)
        self.assertGreater(len(alone), 30)
        for seed in range(5):
            play(SETTINGS, seed)
        self.assertEqual(play(OTHER, 3), alone)

    def test_no_module_keeps_anything_of_a_deployment(self) -> None:
        before = {k: copy.copy(v) for k, v in shared_state().items() if "bytearray" not in str(type(v))}
        for settings in (SETTINGS, OTHER):
            with running_harness(settings={**settings, "discovery": "pushed"}) as harness:
                client = harness.client()
                client.send(job_request("result-post", "a", 3000))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                harness.run_until(harness.begun, "it to begin")
                name = next(w.name for w in harness.workers if w.begun())
                harness.client().send(callback_request("a", name, "done", result="x"))
                harness.run_until(client.read_available, "its answer")
        after = shared_state()
        self.assertEqual({k: after[k] for k in before}, before)

    def test_defaults_are_each_configurations_own(self) -> None:
        def read() -> Any:
            said = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
                    "settings": {"classes": [{"name": "x"}]}}  # fmt: skip
            return read_config(json.dumps(said).encode()).settings

        first = read()
        first.report_names["odd"] = "in_flight"
        first.tenants.append(None)
        first.classes[0].aim = 1.0
        self.assertEqual((read().report_names.get("odd"), read().tenants), (None, []))
        self.assertNotEqual(read().classes[0].aim, 1.0)


class Refusals(unittest.TestCase):
    def test_who_may_come_back_when_is_the_settings_word_alone(self) -> None:
        """Whoever turns a job down: the decisions, the front for want of room, the core for want of slots."""
        for advises, most in ((True, 1500.0), (True, 100.0), (False, 1500.0), (False, 0.0)):
            limits = {**SETTINGS["limits"], "retry_after": advises, "max_retry_after": most}
            with (
                self.subTest(advises=advises, most=most),
                running_harness(workers=0, settings={"limits": limits}) as harness,
            ):
                by_module, by_front, by_core = (harness.client() for _ in range(3))
                by_module.send(job_request("time-lookup", "a", 300))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(400)
                harness.service.http_front.max_connections, room = (
                    0,
                    harness.service.http_front.max_connections,
                )
                by_front.send(job_request("time-lookup", "b"))
                harness.run_until(by_front.read_available, "the front's answer")
                harness.service.http_front.max_connections = room
                harness.core.requests._limit = len(harness.core.requests._items)
                harness.core.requests._free.clear()
                by_core.send(job_request("time-lookup", "c"))
                for client in (by_module, by_front, by_core):
                    got = harness.run_until(client.read_available, "the answer")
                    self.assertIn(b" 503 ", got)
                    told_wait = got.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]
                    self.assertEqual(bool(told_wait), advises)
                    if advises:
                        self.assertTrue(0 < float(told_wait) <= most / 1000)


class Reloads(unittest.TestCase):
    def test_another_customers_file_at_sighup_changes_the_watch_alone(self) -> None:
        """What takes a restart is named, and until then all goes on by the old settings."""
        worker, other = HttpWorker("h1"), Discovery()
        discovery = Discovery()
        discovery.list("h1", worker.port)
        other.list("h1", worker.port)
        program = Program(discovery)
        try:
            worker.back = program.edge
            program.ready()
            program.hang_up(discovery=other.address, settings=OTHER, limits={"sockets": 200, "memory_mb": 20})
            wait_for(lambda: other.told, "the watch to move")
            wait_for(lambda: any("restart" in line for line in program.lines), "what takes a restart")
            line = next(line for line in program.lines if "restart" in line)
            for name in ("settings", "sockets", "memory_mb"):
                self.assertIn(name, line)
            self.assertEqual(http_call(program.edge, "POST", "/time-lookup", Req_Id="a")[0], 200)
            self.assertEqual(http_call(program.edge, "POST", "/label", Req_Id="b")[0], 404)
        finally:
            program.stop()
            for server in (worker, other, discovery):
                server.stop()


class ManyAtOnce(unittest.TestCase):
    def test_those_that_begin_together_are_ready_within_10_s(self) -> None:
        """Eight processes, with clients at their doors from the first moment, before a discovery that answers
        nobody for a second; then all of them are killed and begin anew."""
        worker, discovery = HttpWorker("h1"), Discovery()
        discovery.list("h1", worker.port)
        entries = list(discovery.entries.values())
        known = {"generation": 1, "reset": True, "instances": entries}

        def begin(number: int) -> tuple[float, Program]:
            at = time.monotonic()
            program = Program(discovery, known=known if number % 2 else None, name=f"d{number}")
            wait_for(lambda: http_call(program.edge, "GET", "/_health")[0] == 200, "it to be ready")
            return time.monotonic() - at, program

        programs: list[Program] = []
        try:
            for _ in range(2):
                with ThreadPoolExecutor(8) as pool:
                    begun = list(pool.map(begin, range(8)))
                programs = [program for _, program in begun]
                took = sorted(t for t, _ in begun)
                self.assertLess(took[int(0.9 * len(took))], 10.0, took)
                worker.back = programs[0].edge
                self.assertEqual(http_call(programs[0].edge, "POST", "/time-lookup", Req_Id="a")[0], 200)
                for program in programs:
                    program.process.send_signal(signal.SIGKILL)
                    program.stop()
                programs = []
        finally:
            for program in programs:
                program.stop()
            worker.stop()
            discovery.stop()


if __name__ == "__main__":
    unittest.main()
