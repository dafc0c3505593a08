"""Load reports: the forms in which workers write them, and the probes that fetch them."""

from __future__ import annotations

import threading
import unittest
from types import SimpleNamespace
from typing import Any, cast

from eiderpin import interface as api
from eiderpin import wire
from eiderpin.net import reports
from eiderpin.net.workers import HttpWorkers
from tests.standins import SETTINGS, HttpWorker, http_call, running, wait_for

CONF: dict[str, Any] = {
    **SETTINGS,
    "family_info": {**SETTINGS["family_info"], "report_x0": "free slots", "report_x1": "free memory"},
    "report": {"names": ["recent_ms", "backlog", "x0", "x1"], "source": "pull"},
    "limits": {**SETTINGS["limits"], "probes": True},
}
NAMES = wire.decode_settings(CONF)[0].report_names
WHOLE = api.Report(queued=2.0, free_slots=2.38, free_memory=3.5)


class Forms(unittest.TestCase):
    """The forms of a report."""

    def test_each_form_of_a_complete_report_is_parsed(self) -> None:
        """Text and JSON, with and without an enclosing `load`, give the same report."""
        for body in (
            b"recent_ms=0,backlog=2,x0=2.380,x1=3.5", b"x1=3.5, x0=2.38 ,queue=2,recent_ms=1e2",
            b'{"backlog":2,"x0":2.38,"x1":3.5,"recent_ms":7}', b'{"load":{"backlog":2,"x0":2.38,"x1":3.5}}',
        ):  # fmt: skip
            self.assertEqual(reports.parse_body(body, NAMES), WHOLE, body)
        self.assertEqual(reports.parse_text("inflight=7,queue=2,util=0.61", NAMES), api.Report(7.0, 2.0))

    def test_invalid_fields_are_ignored_and_the_others_kept(self) -> None:
        """Reports come from many versions of workers: one bad field must not cost the whole report."""
        for body, report in (
            (b"", None), (b"ok", None), (b"[1,2]", None), (b"7", None), (b"{", None), (b"\xff\xfe=1", None),
            (b'{"x0":"3","x1":true,"backlog":null}', None), (b"x0=nan,x1=inf,backlog=1e300", None),
            (b"x0=2,x0,=,x1=two,backlog", api.Report(free_slots=2.0)),
            (b"x0=-0.4", api.Report(free_slots=0.0)),  # measurement noise around zero
        ):  # fmt: skip
            self.assertEqual(reports.parse_body(body, NAMES), report, body)

    def test_a_callback_may_contain_a_report(self) -> None:
        """Its `load` is parsed if it is an object, and ignored otherwise."""
        core = SimpleNamespace(settings=SimpleNamespace(report_names=NAMES))
        workers = cast(Any, SimpleNamespace(core=core))
        self.assertEqual(HttpWorkers.parse_load(workers, {"load": {"x0": 1}}), api.Report(free_slots=1.0))
        self.assertIsNone(HttpWorkers.parse_load(workers, {"load": "x0=1"}))
        self.assertIsNone(HttpWorkers.parse_load(workers, {}))


class Probes(unittest.TestCase):
    """Reports that probes fetch."""

    def test_probes_request_load_reports_where_the_settings_say_so(self) -> None:
        """Probes must go to /_load, and an invalid or empty report must still count as an answer."""
        for load in (b"recent_ms=0,backlog=0,x0=4,x1=4", b"{", b""):
            go = threading.Event()

            def run(worker: HttpWorker, request_id: str, go: threading.Event = go) -> None:
                worker.tell(request_id, "started")
                worker.ran[request_id] += 1
                go.wait(20)
                worker.tell(request_id, "done", result="ran")

            def slow(worker: HttpWorker, request_id: str, handler: Any, run: Any = run) -> None:
                handler.say(202)
                threading.Thread(target=run, args=(worker, request_id), daemon=True).start()

            worker = HttpWorker("h1", slow)
            worker.load = load
            with self.subTest(load=load), running([worker], settings=CONF) as (program, _):
                clients = []
                for i in range(3):  # one after the other, so that the last one finds the others running
                    headers = {"Req_Id": f"a{i}"}
                    call = (program.edge, "POST", "/time-lookup")
                    clients.append(threading.Thread(target=http_call, args=call, kwargs=headers))
                    clients[-1].start()
                    wait_for(lambda worker=worker, i=i: worker.ran[f"a{i}"], "the job to have started")
                wait_for(lambda: program.counters().get("out.probe.answered"), "an answer to a probe")
                go.set()
                for thread in clients:
                    thread.join(20)
                self.assertEqual({path for method, path, _, _ in worker.seen if method == "GET"}, {"/_load"})
