"""The program as the platform starts it: the deploy file's `run` line through `/bin/sh -c`.

The fleet bench refuses fork, other programs, io_uring, splice and sendfile, doesn't serve Unix sockets, and
takes a thread that never waits for a crash. So `run` must result in one process of one interpreter, with IPv4
TCP sockets only. Features that are off on the platform (the ledger, the store, the further fronts) must leave
no module, thread, descriptor or counter in it.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import unittest

from tests.standins import ROOT, SETTINGS, HttpWorker, http_call, running_program, wait_for

DISABLED_FEATURES = ("store.", "durable.", "ledger.", "gearman.", "agent_check.", "handover.", "outcomes.")


def _socket_inodes(table: str) -> set[str]:
    """The socket inodes in one of the kernel's tables under /proc/net."""
    with open(f"/proc/net/{table}") as file:
        rows = file.read().splitlines()[1:]
    column = 6 if table == "unix" else 9
    return {row.split()[column] for row in rows if len(row.split()) > column}


def count_sockets_by_kind(pid: int) -> dict[str, int]:
    """Count the process's sockets of each kind: tcp, tcp6, udp, udp6, unix, other."""
    inodes_by_kind = {t: _socket_inodes(t) for t in ("tcp", "tcp6", "udp", "udp6", "unix")}
    counts: dict[str, int] = {}
    for descriptor in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{descriptor}")
        except FileNotFoundError:
            continue  # closed meanwhile
        if not target.startswith("socket:["):
            continue
        inode = target[8:-1]
        kind = next((k for k, inodes in inodes_by_kind.items() if inode in inodes), "other")
        counts[kind] = counts.get(kind, 0) + 1
    return counts


def child_pids(pid: int) -> list[str]:
    """The pids of the process's children, over all of its threads."""
    pids: list[str] = []
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/children") as file:
            pids += file.read().split()
    return pids


def thread_states(pid: int) -> dict[str, str]:
    """Each thread's state letter (R running, S waiting, ...)."""
    states = {}
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/stat") as file:
            states[task] = file.read().rsplit(")", 1)[1].split()[0]
    return states


class PlatformProcess(unittest.TestCase):
    def test_a_dispatcher_is_one_process_with_only_tcp_sockets(self) -> None:
        """A child process, a Unix socket or a busy thread would be refused on the fleet bench, or count as a
        crash, whether at the start, under load or in a reload."""
        worker = HttpWorker("w1")
        with running_program([worker], platform=True) as (program, discovery):
            pid = program.process.pid
            # Through `exec`, the interpreter has replaced the shell under the same pid.
            self.assertEqual(os.path.realpath(f"/proc/{pid}/exe"), os.path.realpath(sys.executable))
            for i in range(20):
                status, body, _ = http_call(
                    program.http_address, "POST", "/time-lookup", b"x", Req_Id=f"p{i}"
                )
                self.assertEqual(status, 200, body)
            program.process.send_signal(signal.SIGHUP)  # a reload must start no process either
            http_call(program.http_address, "GET", "/_health")
            self.assertEqual(child_pids(pid), [])
            kinds = count_sockets_by_kind(pid)
            self.assertEqual(set(kinds) - {"tcp"}, set(), kinds)
            self.assertGreaterEqual(kinds.get("tcp", 0), 2, kinds)  # the listener and the watch on discovery
            counters = program.counters()
            self.assertEqual([n for n in counters if n.startswith(DISABLED_FEATURES)], [])
            self.assertEqual(child_pids(pid), [])
            # Each thread must be seen waiting while there is no work.
            for task in thread_states(pid):
                wait_for(
                    lambda task=task: thread_states(pid).get(task, "S") in "SD" or time.sleep(0.01),  # type: ignore[misc]
                    f"thread {task} to wait",
                )
            self.assertEqual(len(thread_states(pid)), 1, thread_states(pid))
            del discovery

    def test_modules_of_disabled_features_are_not_imported(self) -> None:
        """An import that isn't deferred brings a disabled feature's module or its packages into the process.
        The service runs for 0.3 s with the repository's own file of optional features."""
        code = """
import sys, json, time, eiderpin.service as s, eiderpin.configuration as c
service = s.Service(c.load(sys.argv[1]), sys.argv[1])
until = time.monotonic() + 0.3
while time.monotonic() < until:
    service.turn()
import threading
off = ("eiderpin.jobs", "eiderpin.durable", "eiderpin.store", "eiderpin.fleet", "eiderpin.parts",
       "eiderpin.net.gearman", "eiderpin.net.agent_check", "eiderpin.net.handover",
       "eiderpin.net.management", "eiderpin.net.static_list", "eiderpin.cli", "msgspec", "zstandard",
       "crc32c", "click", "_hashlib")
print(sorted(m for m in sys.modules if m.startswith(off)), threading.active_count())
"""
        folder = os.environ.get("TMPDIR", "/tmp")
        path = os.path.join(folder, f"platform-{os.getpid()}.json")
        environment = {k: v for k, v in os.environ.items() if k != "EIDERPIN_FRONTS"}
        config = {"name": "p", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1f",
                  "limits": {"sockets": 1024, "memory_mb": 192}, "settings": SETTINGS}  # fmt: skip
        with open(path, "w") as file:
            json.dump(config, file)
        try:
            done = subprocess.run(
                [sys.executable, "-O", "-c", code, path],
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
            )
        finally:
            if os.path.exists(path):
                os.remove(path)
        self.assertEqual(done.stdout.strip(), "[] 1", done.stderr)


if __name__ == "__main__":
    unittest.main()
