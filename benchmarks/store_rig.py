"""A cluster of dispatcher processes with a store, on loopback, for tests and measurements."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.rig import ROOT, free_port, settings
from eiderpin.store.client import StoreClient, StoreRequestError


class Process:
    """One dispatcher process with its member of the store. Its addresses stay the same over restarts."""

    def __init__(
        self, folder: Path, name: str, members: dict[str, str], listen: str, join: bool = False,
        cluster: str = "c1", **parts: Any,
    ) -> None:  # fmt: skip
        self.name, self.folder = name, folder / name
        self.folder.mkdir(exist_ok=True)
        self.directory = self.folder / "store"
        self.http_port, self.management_address = free_port(), f"127.0.0.1:{free_port()}"
        self.listen = listen
        rows: list[Any] = []
        config = {"name": name, "listen": f"127.0.0.1:{self.http_port}", "management":
                  self.management_address, "workers": rows, "settings": settings(),
                  "limits": {"sockets": 512, "memory_mb": 64}}  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))
        self.parts: dict[str, Any] = {
            "store": {"directory": str(self.directory), "name": name, "cluster": cluster, "listen": listen,
                      "members": members, "join": join},
            **parts,
        }  # fmt: skip
        self.errors = self.folder / "stderr"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, prelude: str = "") -> None:
        """Start the process; its log is appended to the file `errors`.

        `prelude`: Python code that runs in the process before the program, to break it at a chosen point.
        """
        (self.folder / "parts.json").write_text(json.dumps(self.parts))
        args = ["run", "--config", str(self.folder / "config.json"), "--parts",
                str(self.folder / "parts.json"), "--log-format", "json"]  # fmt: skip
        code = f"{prelude}\nimport sys\nfrom eiderpin.cli import main\nsys.argv[1:] = {args!r}\nmain()"
        command = [sys.executable, "-O", *(["-c", code] if prelude else ["-m", "eiderpin", *args])]
        with self.errors.open("ab") as errors:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=errors)

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def kill(self, number: signal.Signals = signal.SIGKILL) -> int:
        """Send the signal, wait for the process to end and return its exit code; 0 if it never started."""
        if self.process is None:
            return 0
        self.process.send_signal(number)
        return self.process.wait()

    def status(self) -> dict[str, Any]:
        """Return what the management call `status` gives. Raises `StoreRequestError`."""
        return StoreClient([self.management_address], 1.0)._call_once(
            self.management_address, {"op": "status"}, 2.0
        )

    def log(self) -> str:
        """Return the log since the first start."""
        return self.errors.read_text() if self.errors.exists() else ""


class Cluster:
    """The members of one store. Each serves up to `observer_limit` observers."""

    def __init__(self, folder: Path, size: int = 3, observer_limit: int = 0, **parts: Any) -> None:
        self.folder, self.parts = folder, parts
        self.members = {f"m{i}": f"127.0.0.1:{free_port()}" for i in range(size)}
        self.all = {
            name: Process(folder, name, self.members, address, **parts)
            for name, address in self.members.items()
        }
        self.observer_limit = observer_limit
        self.observer_addresses: dict[str, str] = {}  # by member: where it serves observers
        for name in self.members if observer_limit else ():
            self.serve_observers(name)

    def serve_observers(self, name: str) -> None:
        """Have a member serve observers from its next start on."""
        address = self.observer_addresses[name] = f"127.0.0.1:{free_port()}"
        self.all[name].parts["store"]["observers"] = {"listen": address, "limit": self.observer_limit}

    def observer(self, name: str, folder: Path | None = None, **options: Any) -> Process:
        """Return a dispatcher that observes the store, not yet started. It is not among `all`, the members.

        `options` are added to its options for the store.
        """
        process = Process(folder or self.folder, name, {}, "")
        follow = {"follow": self.observer_addresses, "name": name, "cluster": "c1", **options}
        process.parts["store"] = follow
        return process

    def start(self) -> None:
        """Start all members and wait for a leader. Raises `TimeoutError`."""
        for process in self.all.values():
            process.start()
        self.leader()

    def join(self, name: str) -> Process:
        """Start a further process, which waits to be added as a member."""
        address = f"127.0.0.1:{free_port()}"
        process = self.all[name] = Process(self.folder, name, {}, address, join=True, **self.parts)
        process.start()
        return process

    def store_client(self, within: float = 15.0, *names: str) -> StoreClient:
        """Return a client of these members, or of all; its calls fail after `within` seconds."""
        return StoreClient([self.all[name].management_address for name in names or self.all], within)

    def statuses(self) -> dict[str, dict[str, Any]]:
        """Return the status of each member that answers."""
        statuses = {}
        for name, process in self.all.items():
            if process.alive:
                try:
                    statuses[name] = process.status()
                except StoreRequestError:
                    continue
        return statuses

    def leader(self, within: float = 20.0, other_than: str = "") -> str:
        """Wait until a member leads, other than `other_than`; return its name. Raises `TimeoutError`."""
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            leaders = [
                status
                for status in self.statuses().values()
                if status["role"] == "leader" and status["name"] != other_than
            ]
            if leaders:
                return str(max(leaders, key=lambda status: status["term"])["name"])
            time.sleep(0.02)
        raise TimeoutError("there is no leader")

    def wait_until_in_sync(self, within: float = 20.0) -> dict[str, dict[str, Any]]:
        """Wait until all running members hold the same state; return their statuses.

        Raises `TimeoutError`.
        """
        deadline = time.monotonic() + within
        statuses: dict[str, dict[str, Any]] = {}
        while time.monotonic() < deadline:
            statuses = self.statuses()
            states = {
                (status["commit"], status["applied"], status["revision"], status["documents"])
                for status in statuses.values()
            }
            if len(states) == 1 and len(statuses) == sum(process.alive for process in self.all.values()):
                return statuses
            time.sleep(0.02)
        raise TimeoutError(f"the members do not reach one state: {statuses}")

    def stop(self) -> None:
        """Kill all members that run."""
        for process in self.all.values():
            if process.alive:
                process.kill()
