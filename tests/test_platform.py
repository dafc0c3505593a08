"""The program as the platform starts it: the deploy file's `run` line through `/bin/sh -c`.

The fleet bench refuses fork, other programs, io_uring, splice and sendfile, and nobody answers on a Unix
socket there; a thread that never waits is a crash. So `run` must end in one process, of one interpreter, that
holds TCP sockets over IPv4 and no other kind, and what is off on the platform (the ledger, the store, the
further fronts) must be absent from it: no module, no thread, no descriptor, no figure.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import unittest

from tests.standins import ROOT, SETTINGS, HttpWorker, http_call, running, wait_for

OFF = ("store.", "durable.", "ledger.", "gearman.", "agent_check.", "handover.", "outcomes.")


def _inodes(table: str) -> set[str]:
    """Socket inodes of one of the kernel's tables under /proc/net."""
    with open(f"/proc/net/{table}") as file:
        rows = file.read().splitlines()[1:]
    column = 6 if table == "unix" else 9
    return {row.split()[column] for row in rows if len(row.split()) > column}


def sockets_of(pid: int) -> dict[str, int]:
    """How many of the process's descriptors are sockets of each kind: tcp, tcp6, udp, udp6, unix, other."""
    kinds = {t: _inodes(t) for t in ("tcp", "tcp6", "udp", "udp6", "unix")}
    found: dict[str, int] = {}
    for fd in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{fd}")
        except FileNotFoundError:
            continue  # closed while we looked
        if not target.startswith("socket:["):
            continue
        inode = target[8:-1]
        kind = next((k for k, inodes in kinds.items() if inode in inodes), "other")
        found[kind] = found.get(kind, 0) + 1
    return found


def children_of(pid: int) -> list[str]:
    """The pids of the process's children, over all of its threads."""
    kids: list[str] = []
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/children") as file:
            kids += file.read().split()
    return kids


def thread_states(pid: int) -> dict[str, str]:
    """Each thread's state letter (R running, S waiting, ...)."""
    states = {}
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/stat") as file:
            states[task] = file.read().rsplit(")", 1)[1].split()[0]
    return states


class AsThePlatformRunsIt(unittest.TestCase):
    def test_run_ends_in_one_process_with_tcp_sockets_alone(self) -> None:
        worker = HttpWorker("w1")
        with running([worker], platform=True) as (program, discovery):
            pid = program.process.pid
            # `exec`: the shell's pid is the interpreter's now, and nothing was started beside it.
            self.assertEqual(os.path.realpath(f"/proc/{pid}/exe"), os.path.realpath(sys.executable))
            for i in range(20):
                status, body, _ = http_call(program.edge, "POST", "/time-lookup", b"x", Req_Id=f"p{i}")
                self.assertEqual(status, 200, body)
            program.process.send_signal(signal.SIGHUP)  # reading the file again starts nothing either
            http_call(program.edge, "GET", "/_health")
            self.assertEqual(children_of(pid), [])
            kinds = sockets_of(pid)
            self.assertEqual(set(kinds) - {"tcp"}, set(), kinds)
            self.assertGreaterEqual(kinds.get("tcp", 0), 2, kinds)  # the listener and discovery's watch
            counters = program.counters()
            self.assertEqual([n for n in counters if n.startswith(OFF)], [])
            self.assertEqual(children_of(pid), [])
            # Every thread waits while nothing comes: one that never did would be taken for a crash.
            for task in thread_states(pid):
                wait_for(
                    lambda task=task: thread_states(pid).get(task, "S") in "SD" or time.sleep(0.01),  # type: ignore[misc]
                    f"thread {task} to wait",
                )
            self.assertEqual(len(thread_states(pid)), 1, thread_states(pid))
            del discovery

    def test_what_is_off_on_the_platform_is_not_in_the_process(self) -> None:
        """Built from the repository's own fronts file and served a while: no module of what is off."""
        code = """
import sys, json, time, eiderpin.service as s, eiderpin.configuration as c
service = s.Service(c.load(sys.argv[1]), sys.argv[1])
until = time.monotonic() + 0.3
while time.monotonic() < until:
    service.run_turn()
import threading
off = ("eiderpin.jobs", "eiderpin.durable", "eiderpin.store", "eiderpin.fleet", "eiderpin.parts",
       "eiderpin.net.gearman", "eiderpin.net.agent_check", "eiderpin.net.handover",
       "eiderpin.net.management", "eiderpin.net.static_list", "eiderpin.cli", "msgspec", "zstandard",
       "crc32c", "click")
print(sorted(m for m in sys.modules if m.startswith(off)), threading.active_count())
"""
        folder = os.environ.get("TMPDIR", "/tmp")
        path = os.path.join(folder, f"platform-{os.getpid()}.json")
        env = {k: v for k, v in os.environ.items() if k != "EIDERPIN_FRONTS"}
        said = {"name": "p", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1f",
                "limits": {"sockets": 1024, "memory_mb": 192}, "settings": SETTINGS}  # fmt: skip
        with open(path, "w") as file:
            json.dump(said, file)
        try:
            done = subprocess.run(
                [sys.executable, "-O", "-c", code, path], cwd=ROOT, env=env, capture_output=True, text=True
            )
        finally:
            if os.path.exists(path):
                os.remove(path)
        self.assertEqual(done.stdout.strip(), "[] 1", done.stderr)


if __name__ == "__main__":
    unittest.main()
