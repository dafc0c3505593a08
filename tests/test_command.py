"""The command line, logs, the static list of workers, and what is absent when it is off."""

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
from eiderpin.parts import durable as options
from tests.standins import ROOT, SETTINGS, Discovery, HttpWorker, Program, http_call, running, wait_for


def eiderpin(*args: str, **env: str) -> subprocess.CompletedProcess[str]:
    clean = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "EIDERPIN_"))}
    return subprocess.run(
        [sys.executable, "-m", "eiderpin", *args], cwd=ROOT, env={**clean, **env}, capture_output=True,
        text=True, timeout=60,
    )  # fmt: skip


class Commands(unittest.TestCase):
    def test_a_newcomer_is_told_what_to_set_and_sees_it_at_work(self) -> None:
        bare = eiderpin()
        self.assertEqual((bare.returncode, len(bare.stderr.splitlines())), (2, 1))
        for word in ("GW_CONFIG", "deploy/example.toml", "eiderpin try"):
            self.assertIn(word, bare.stderr)
        tried = eiderpin("try", "--jobs", "3")
        self.assertEqual(tried.returncode, 0, tried.stderr)
        self.assertEqual(len(re.findall(r"answered 200 after \d+ ms", tried.stdout)), 3, tried.stdout)
        self.assertIn("ended, exit code 0", tried.stdout)

    def test_version_and_check(self) -> None:
        self.assertRegex(eiderpin("--version").stdout, r"eiderpin, version \d+\.\d+")
        good = eiderpin("check", "deploy/example.toml")
        self.assertEqual(good.returncode, 0, good.stderr)
        self.assertIn("workers from 2 listed workers", good.stdout)
        for name in ("nowhere.json", "README.md"):
            bad = eiderpin("check", name)
            self.assertEqual((bad.returncode, len(bad.stderr.splitlines())), (2, 1))

    def test_the_example_names_every_setting(self) -> None:
        text = (ROOT / "deploy/example.toml").read_text()
        source = (ROOT / "eiderpin/wire.py").read_text()
        of_settings = source[source.index("def decode_settings(") : source.index("# ---- events")]
        keys = set(re.findall(r'_(?:get|word)\(\w+, "(\w+)"', of_settings))
        self.assertGreater(len(keys), 40)
        self.assertEqual({key for key in keys if not re.search(rf"\b{key}\b", text)}, set())


class Logs(unittest.TestCase):
    def test_one_event_a_line_in_either_form(self) -> None:
        with running([HttpWorker("h1")]) as (program, _):
            program.hang_up("nonsense")
            wait_for(lambda: len(program.lines) == 1, "the line that tells of it")
            self.assertRegex(
                program.lines[0], r'^time="\S+ \S+" level=WARNING msg="not reloaded.*" dispatcher=t1$'
            )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.json"
            said = {"name": "j1", "listen": "127.0.0.1:0", "workers": [], "settings": SETTINGS}
            path.write_text(json.dumps(said))
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

    def test_jobs_are_told_of_at_debug_alone(self) -> None:
        for level, lines in (("debug", 1), ("info", 0)):
            with self.subTest(level=level):
                os.environ["EIDERPIN_LOG_LEVEL"] = level
                try:
                    with running([HttpWorker("h1")]) as (program, _):
                        http_call(program.edge, "POST", "/time-lookup", Req_Id="a1")
                        program.counters()  # all before this has been written
                        told = [x for x in program.lines if "a request has ended" in x and "request=a1" in x]
                        self.assertEqual(len(told), lines)
                finally:
                    del os.environ["EIDERPIN_LOG_LEVEL"]

    def test_a_form_or_level_that_there_is_not(self) -> None:
        for form, level in (("xml", ""), ("", "loud")):
            with self.assertRaisesRegex(ValueError, "is expected"):
                logs.set_up("n", form, level)


class StaticWorkers(unittest.TestCase):
    def test_listed_workers_serve_drain_and_go_beside_discoverys(self) -> None:
        workers = [HttpWorker("s1"), HttpWorker("s2"), HttpWorker("d1")]
        rows = [{"name": w.name, "address": f"127.0.0.1:{w.port}"} for w in workers[:2]]
        discovery = Discovery()
        discovery.list("d1", workers[2].port)
        program = Program(discovery, workers=rows)
        try:
            for worker in workers:
                worker.back = program.edge

            def seen(count: int) -> set[str]:
                answers = [
                    http_call(program.edge, "POST", "/time-lookup", Req_Id=f"{count}-{i}") for i in range(30)
                ]
                self.assertEqual({a[0] for a in answers}, {200})
                return {a[1].decode().split()[0] for a in answers}

            wait_for(lambda: discovery.told, "discovery to be heard")
            program.ready()
            wait_for(lambda: seen(0) == {"s1", "s2", "d1"}, "all three to serve")
            program.hang_up(workers=[{**rows[0], "state": "draining"}])  # s2 is no longer named
            wait_for(lambda: workers and seen(1) == {"d1"}, "the listed ones to get nothing")
            program.hang_up(workers=[{"name": "x"}])
            wait_for(lambda: any("workers[0].address" in line for line in program.lines), "the refusal")
            self.assertEqual(seen(2), {"d1"})
        finally:
            program.stop()
            discovery.stop()
            for worker in workers:
                worker.stop()

    def test_rows_that_cannot_be_say_which_and_why(self) -> None:
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


class Parts(unittest.TestCase):
    def test_the_durable_part_is_checked(self) -> None:
        good = {"directory": "/x", "classes": ["c"]}
        cases: list[tuple[Any, str]] = [
            (7, "an object"), ({**good, "dir": 1}, "durable.dir: there is no such setting"),
            ({"directory": 7}, "7 is no path"), ({"directory": "/x"}, "a list of classes"),
            ({**good, "classes": ["x"]}, "no class 'x'; there are c"),
            ({**good, "silence_ms": 10}, "durable.silence_ms: 10; a number from 1500"),
            ({**good, "keep_s": "1h"}, "durable.keep_s: '1h'"), ({**good, "keep_mb": True}, "keep_mb: True"),
        ]  # fmt: skip
        for said, text in cases:
            with self.subTest(said=said), self.assertRaisesRegex(ValueError, text):
                options.read_options(said, ["c"])
        self.assertIsNone(options.read_options({"directory": ""}, ["c"]))
        read = options.read_options({**good, "keep_s": 5}, ["c"])
        assert read is not None
        self.assertEqual((read.keep_ms, read.folder), (5000.0, "/x"))

    def test_what_is_off_is_not_imported(self) -> None:
        absent = (
            "eiderpin.jobs", "eiderpin.durable", "eiderpin.cli", "eiderpin.net.static", "click", "msgspec",
            "crc32c", "zstandard", "tomllib",
        )  # fmt: skip
        said = f"[m for m in sys.modules if m.startswith({absent})]"
        code = f"import sys, eiderpin.service; print({said})"
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)

    def test_toml_that_cannot_be_read_is_one_line(self) -> None:
        for text in (b"a = ", b"\xff"):
            with self.assertRaisesRegex(ConfigError, "is not TOML"):
                configuration.read_config(text, toml=True)


if __name__ == "__main__":
    unittest.main()
