"""Tests of the command line, the log formats, the static list of workers, the settings of durable jobs, and
that features which are off are not imported."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from eiderpin import configuration, logs
from eiderpin.configuration import ConfigError
from eiderpin.net.static_list import read_workers
from eiderpin.parts import durable as durable_options
from tests.standins import (
    ROOT,
    SETTINGS,
    Discovery,
    HttpWorker,
    Program,
    http_call,
    running_program,
    wait_for,
)


def eiderpin(*args: str, **env: str) -> subprocess.CompletedProcess[str]:
    """Run the `eiderpin` command with no settings in the environment but those in `env`."""
    clean = {name: value for name, value in os.environ.items() if not name.startswith(("GW_", "EIDERPIN_"))}
    return subprocess.run(
        [sys.executable, "-m", "eiderpin", *args], cwd=ROOT, env={**clean, **env}, capture_output=True,
        text=True, timeout=60,
    )  # fmt: skip


class Commands(unittest.TestCase):
    def test_start_without_configuration_names_what_to_set_and_the_demonstration_runs(self) -> None:
        """Guards against a first start that fails without naming the setting to make, the example file and
        the demonstration, and against a demonstration that does not finish."""
        unconfigured = eiderpin()
        self.assertEqual((unconfigured.returncode, len(unconfigured.stderr.splitlines())), (2, 1))
        for word in ("GW_CONFIG", "deploy/example.toml", "eiderpin try"):
            self.assertIn(word, unconfigured.stderr)
        demonstration = eiderpin("try", "--jobs", "3")
        self.assertEqual(demonstration.returncode, 0, demonstration.stderr)
        self.assertEqual(
            len(re.findall(r"answered 200 after \d+ ms", demonstration.stdout)), 3, demonstration.stdout
        )
        self.assertIn("ended, exit code 0", demonstration.stdout)

    def test_version_is_printed_and_check_accepts_only_valid_files(self) -> None:
        """Guards against a check that rejects the example file, and against a traceback or a wrong exit code
        for a file that is missing or is not a configuration."""
        self.assertRegex(eiderpin("--version").stdout, r"eiderpin, version \d+\.\d+")
        good = eiderpin("check", "deploy/example.toml")
        self.assertEqual(good.returncode, 0, good.stderr)
        self.assertIn("workers from 2 listed workers", good.stdout)
        for name in ("nowhere.json", "README.md"):
            bad = eiderpin("check", name)
            self.assertEqual((bad.returncode, len(bad.stderr.splitlines())), (2, 1))

    def test_example_file_mentions_every_setting(self) -> None:
        """Guards against a setting that is read but not documented in the example file, as happens when one
        is added to the code alone."""
        text = (ROOT / "deploy/example.toml").read_text()
        source = (ROOT / "eiderpin/wire.py").read_text()
        parsing_code = source[source.index("def decode_settings(") : source.index("# ---- events")]
        keys = set(re.findall(r'_(?:get|word)\(\w+, "(\w+)"', parsing_code))
        self.assertGreater(len(keys), 40)
        self.assertEqual({key for key in keys if not re.search(rf"\b{key}\b", text)}, set())


class Logs(unittest.TestCase):
    def test_each_event_is_one_line_in_both_formats(self) -> None:
        """Guards against lines of the logfmt and JSON formats that lack a field or that programs cannot
        read."""
        with running_program([HttpWorker("h1")]) as (program, _):
            program.reload_config("nonsense")
            wait_for(lambda: len(program.lines) == 1, "the line that reports the failed reload")
            self.assertRegex(
                program.lines[0], r'^time="\S+ \S+" level=WARNING msg="not reloaded.*" dispatcher=t1$'
            )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.json"
            config = {"name": "j1", "listen": "127.0.0.1:0", "workers": [], "settings": SETTINGS}
            path.write_text(json.dumps(config))
            process = subprocess.Popen(
                [sys.executable, "-m", "eiderpin", "run", "--config", str(path), "--log-format", "json",
                 "--log-level", "debug"],
                cwd=ROOT, stderr=subprocess.PIPE, text=True,
            )  # fmt: skip
            assert process.stderr is not None
            line = json.loads(process.stderr.readline())
            process.terminate()
            process.communicate()
        self.assertEqual((line["level"], line["msg"], line["dispatcher"]), ("INFO", "listens", "j1"))
        self.assertIn("time", line)
        self.assertIn("edge", line)

    def test_jobs_are_logged_at_level_debug_only(self) -> None:
        """Guards against a line for each job at level info, which would fill the log under load, and against
        its absence at level debug."""
        for level, expected_count in (("debug", 1), ("info", 0)):
            with self.subTest(level=level):
                os.environ["EIDERPIN_LOG_LEVEL"] = level
                try:
                    with running_program([HttpWorker("h1")]) as (program, _):
                        http_call(program.http_address, "POST", "/time-lookup", Req_Id="a1")
                        program.counters()  # returns once all earlier lines have been written
                        ended_lines = [
                            line
                            for line in program.lines
                            if "a request has ended" in line and "request=a1" in line
                        ]
                        self.assertEqual(len(ended_lines), expected_count)
                finally:
                    del os.environ["EIDERPIN_LOG_LEVEL"]

    def test_unknown_log_format_or_level_is_rejected(self) -> None:
        """Guards against a misspelt format or level that is ignored at the start."""
        for log_format, level in (("xml", ""), ("", "loud")):
            with self.assertRaisesRegex(ValueError, "is expected"):
                logs.set_up("n", log_format, level)


class StaticWorkers(unittest.TestCase):
    def test_listed_workers_serve_drain_and_leave_independently_of_discovery(self) -> None:
        """Guards against two sources of workers that interfere: a reload that drains one listed worker and
        drops the other must leave the discovered one serving, and a reload that is rejected must change
        nothing."""
        workers = [HttpWorker("s1"), HttpWorker("s2"), HttpWorker("d1")]
        rows = [{"name": worker.name, "address": f"127.0.0.1:{worker.port}"} for worker in workers[:2]]
        discovery = Discovery()
        discovery.list("d1", workers[2].port)
        program = Program(discovery, workers=rows)
        try:
            for worker in workers:
                worker.callback_address = program.http_address

            def serving_workers(series: int) -> set[str]:
                """The names of the workers that answer 30 jobs, whose ids begin with `series`."""
                answers = [
                    http_call(program.http_address, "POST", "/time-lookup", Req_Id=f"{series}-{i}")
                    for i in range(30)
                ]
                self.assertEqual({answer[0] for answer in answers}, {200})
                return {answer[1].decode().split()[0] for answer in answers}

            wait_for(lambda: discovery.served_generation, "the answer of discovery")
            program.ready()
            wait_for(lambda: serving_workers(0) == {"s1", "s2", "d1"}, "all three to serve")
            program.reload_config(workers=[{**rows[0], "state": "draining"}])  # s2 is no longer listed
            wait_for(lambda: workers and serving_workers(1) == {"d1"}, "the listed workers to get no jobs")
            program.reload_config(workers=[{"name": "x"}])
            wait_for(lambda: any("workers[0].address" in line for line in program.lines), "the rejection")
            self.assertEqual(serving_workers(2), {"d1"})
        finally:
            program.stop()
            discovery.stop()
            for worker in workers:
                worker.stop()

    def test_invalid_rows_are_rejected_with_their_place_and_reason(self) -> None:
        """Guards against a mistake in the list of workers that is accepted, or reported without the row, the
        field and what is expected."""
        good = {"name": "a", "address": "h:1"}
        cases: list[tuple[Any, str]] = [
            ({}, "workers: a list"),
            ([7], r"workers\[0\]: an object"),
            ([{}], r"workers\[0\]\.name: None"),
            ([good, good], r"workers\[1\]\.name: 'a'"),
            ([{**good, "adress": 1}], r"workers\[0\]\.adress: there is no"),
            ([{**good, "address": "h"}], r"workers\[0\]\.address: .*host:port"),
            ([{**good, "state": "Ready"}], r"workers\[0\]\.state: 'Ready'; one of in_service, draining"),
            ([{**good, "slots": 0}], r"workers\[0\]\.slots: 0"),
            ([{**good, "slots": True}], r"\.slots: True"),
            ([{**good, "classes": ["x"]}], r"workers\[0\]\.classes: \['x'\]; some of c"),
        ]
        for rows, text in cases:
            with self.subTest(rows=rows), self.assertRaisesRegex(ValueError, text):
                read_workers(rows, ["c"])


class OptionalFeatures(unittest.TestCase):
    def test_invalid_settings_of_durable_jobs_are_rejected(self) -> None:
        """Guards against a wrong setting of durable jobs that is accepted or reported without its name, and
        checks the units of the values that are read."""
        good = {"directory": "/x", "classes": ["c"]}
        cases: list[tuple[Any, str]] = [
            (7, "an object"), ({**good, "dir": 1}, "durable.dir: there is no such setting"),
            ({"directory": 7}, "7 is no path"), ({"directory": "/x"}, "a list of classes"),
            ({**good, "classes": ["x"]}, "no class 'x'; there are c"),
            ({**good, "silence_ms": 10}, "durable.silence_ms: 10; a number from 1500"),
            ({**good, "keep_s": "1h"}, "durable.keep_s: '1h'"), ({**good, "keep_mb": True}, "keep_mb: True"),
        ]  # fmt: skip
        for settings, text in cases:
            with self.subTest(settings=settings), self.assertRaisesRegex(ValueError, text):
                durable_options.read_options(settings, ["c"])
        self.assertIsNone(durable_options.read_options({"directory": ""}, ["c"]))
        options = durable_options.read_options({**good, "keep_s": 5}, ["c"])
        assert options is not None
        self.assertEqual((options.keep_ms, options.folder), (5000.0, "/x"))

    def test_features_that_are_off_are_not_imported(self) -> None:
        """Guards against an import that makes a dispatcher without optional features need their packages, or
        those of the command line."""
        absent = (
            "eiderpin.jobs", "eiderpin.durable", "eiderpin.cli", "eiderpin.net.static", "click", "msgspec",
            "crc32c", "zstandard", "tomllib",
        )  # fmt: skip
        imported = f"[m for m in sys.modules if m.startswith({absent})]"
        code = f"import sys, eiderpin.service; print({imported})"
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)

    def test_invalid_toml_is_a_configuration_error(self) -> None:
        """Guards against a traceback, in place of one line, for a file with a syntax error or with bytes that
        are not UTF-8."""
        for text in (b"a = ", b"\xff"):
            with self.assertRaisesRegex(ConfigError, "is not TOML"):
                configuration.read_config(text, toml=True)


if __name__ == "__main__":
    unittest.main()
