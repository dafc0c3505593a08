"""Deployments with different settings, one after another or side by side, must not influence each other."""

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

OTHER_SETTINGS: dict[str, Any] = {
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


def module_containers() -> dict[str, Any]:
    """Every mutable container at the level of a module of the program, by its full name."""
    containers = {}
    for found in pkgutil.walk_packages(eiderpin.__path__, "eiderpin."):
        if found.name.endswith("__main__"):
            continue
        module = importlib.import_module(found.name)
        for name, value in vars(module).items():
            if isinstance(value, dict | list | set | bytearray) and not name.startswith("__"):
                containers[f"{found.name}.{name}"] = value
    return containers


def run_decisions(settings: dict[str, Any], seed: int) -> list[tuple[Any, ...]]:
    """The attempts, as request and worker, that a dispatcher decides on in a random run of 120 requests."""
    document = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings}
    parsed = read_config(json.dumps(document).encode()).settings
    dispatcher, rng, attempts = Dispatcher(parsed, seed), random.Random(seed), []
    dispatcher.handle(1000.0, [listed([entry(f"w{i}", zone=parsed.zone) for i in range(6)])])
    for request in range(120):
        now = 1001.0 + 12 * request
        spec = parsed.classes[rng.randrange(len(parsed.classes))]
        events: list[api.Event] = [
            api.Request(request, spec.name, spec.deadline), api.TimerFired(dispatcher.timer_handle)
        ]  # fmt: skip
        for sent in sends(dispatcher.handle(now, events)):
            outcome = rng.choice(list(api.Outcome))
            number = dispatcher.jobs[sent.request].sends - 1
            attempts.append((sent.request, sent.worker))
            dispatcher.handle(now, [api.AttemptEnded(sent.request, number, sent.worker, outcome, 5.0,
                                                     outcome is api.Outcome.DONE)])  # fmt: skip
    return attempts


class Isolation(unittest.TestCase):
    def test_decisions_do_not_depend_on_dispatchers_that_ran_before(self) -> None:
        """Learned figures kept outside the dispatcher would make a run depend on earlier ones."""
        alone = run_decisions(OTHER_SETTINGS, 3)
        self.assertGreater(len(alone), 30)
        for seed in range(5):
            run_decisions(SETTINGS, seed)
        self.assertEqual(run_decisions(OTHER_SETTINGS, 3), alone)

    def test_no_module_level_container_changes(self) -> None:
        """State of a deployment in a module's container would show up in the next one of the same process."""
        before = {k: copy.copy(v) for k, v in module_containers().items() if "bytearray" not in str(type(v))}
        for settings in (SETTINGS, OTHER_SETTINGS):
            with running_harness(settings={**settings, "discovery": "pushed"}) as harness:
                client = harness.client()
                client.send(job_request("result-post", "a", 3000))
                harness.run_until(lambda s=harness: s.core.outstanding, "the job")
                harness.advance_clock(40)
                harness.run_until(harness.begun, "it to begin")
                name = next(w.name for w in harness.workers if w.begun())
                harness.client().send(callback_request("a", name, "done", result="x"))
                harness.run_until(client.read_available, "its answer")
        after = module_containers()
        self.assertEqual({k: after[k] for k in before}, before)

    def test_defaults_are_not_shared_between_configurations(self) -> None:
        """A mutable default that configurations share would carry changes from one to the next."""

        def read() -> Any:
            document = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
                        "settings": {"classes": [{"name": "x"}]}}  # fmt: skip
            return read_config(json.dumps(document).encode()).settings

        first = read()
        first.report_names["odd"] = "in_flight"
        first.tenants.append(None)
        first.classes[0].aim = 1.0
        self.assertEqual((read().report_names.get("odd"), read().tenants), (None, []))
        self.assertNotEqual(read().classes[0].aim, 1.0)


class Rejections(unittest.TestCase):
    def test_every_rejection_follows_the_settings_for_retry_after(self) -> None:
        """Three places reject jobs: the decisions, the HTTP front at its limit of connections, and the core
        when its table of requests is full. Each must keep to `retry_after` and `max_retry_after`."""
        for advises, most in ((True, 1500.0), (True, 100.0), (False, 1500.0), (False, 0.0)):
            limits = {**SETTINGS["limits"], "retry_after": advises, "max_retry_after": most}
            with (
                self.subTest(advises=advises, most=most),
                running_harness(workers=0, settings={"limits": limits}) as harness,
            ):
                by_decisions, by_front, by_core = (harness.client() for _ in range(3))
                by_decisions.send(job_request("time-lookup", "a", 300))
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
                for client in (by_decisions, by_front, by_core):
                    got = harness.run_until(client.read_available, "the answer")
                    self.assertIn(b" 503 ", got)
                    retry_after = got.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]
                    self.assertEqual(bool(retry_after), advises)
                    if advises:
                        self.assertTrue(0 < float(retry_after) <= most / 1000)


class Reloads(unittest.TestCase):
    def test_a_reload_with_other_settings_changes_only_the_discovery_address(self) -> None:
        """Settings that need a restart are named in the log. Until then the old ones stay in force: a partly
        applied configuration would serve the wrong classes."""
        worker, other = HttpWorker("h1"), Discovery()
        discovery = Discovery()
        discovery.list("h1", worker.port)
        other.list("h1", worker.port)
        program = Program(discovery)
        try:
            worker.callback_address = program.http_address
            program.ready()
            program.reload_config(
                discovery=other.address, settings=OTHER_SETTINGS, limits={"sockets": 200, "memory_mb": 20}
            )
            wait_for(lambda: other.served_generation, "the watch to move")
            wait_for(lambda: any("restart" in line for line in program.lines), "what takes a restart")
            line = next(line for line in program.lines if "restart" in line)
            for name in ("settings", "sockets", "memory_mb"):
                self.assertIn(name, line)
            self.assertEqual(http_call(program.http_address, "POST", "/time-lookup", Req_Id="a")[0], 200)
            self.assertEqual(http_call(program.http_address, "POST", "/label", Req_Id="b")[0], 404)
        finally:
            program.stop()
            for server in (worker, other, discovery):
                server.stop()


class SimultaneousStarts(unittest.TestCase):
    def test_processes_that_start_together_are_ready_within_10_s(self) -> None:
        """Eight processes start at once, half of them with a known list of workers, and are asked for their
        health from the first moment; then all are killed and start again. They must not delay each other."""
        worker, discovery = HttpWorker("h1"), Discovery()
        discovery.list("h1", worker.port)
        entries = list(discovery.entries.values())
        known = {"generation": 1, "reset": True, "instances": entries}

        def start(number: int) -> tuple[float, Program]:
            started_at = time.monotonic()
            program = Program(discovery, known=known if number % 2 else None, name=f"d{number}")
            wait_for(lambda: http_call(program.http_address, "GET", "/_health")[0] == 200, "it to be ready")
            return time.monotonic() - started_at, program

        programs: list[Program] = []
        try:
            for _ in range(2):
                with ThreadPoolExecutor(8) as pool:
                    started = list(pool.map(start, range(8)))
                programs = [program for _, program in started]
                durations = sorted(seconds for seconds, _ in started)
                self.assertLess(durations[int(0.9 * len(durations))], 10.0, durations)
                worker.callback_address = programs[0].http_address
                self.assertEqual(
                    http_call(programs[0].http_address, "POST", "/time-lookup", Req_Id="a")[0], 200
                )
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
