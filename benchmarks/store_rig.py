"""A cluster of real dispatchers with a store, on loopback: for tests and measurements."""

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
    """One dispatcher with its member, at the same addresses each time that it is started."""

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
        said = {"name": name, "listen": f"127.0.0.1:{self.http_port}", "management": self.management_address,
                "workers": rows, "settings": settings(),
                "limits": {"sockets": 512, "memory_mb": 64}}  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(said))
        self.parts: dict[str, Any] = {
            "store": {"directory": str(self.directory), "name": name, "cluster": cluster, "listen": listen,
                      "members": members, "join": join},
            **parts,
        }  # fmt: skip
        self.errors = self.folder / "stderr"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, prelude: str = "") -> None:
        (self.folder / "parts.json").write_text(json.dumps(self.parts))
        args = ["run", "--config", str(self.folder / "config.json"), "--parts",
                str(self.folder / "parts.json"), "--log-format", "json"]  # fmt: skip
        # A prelude breaks the program in a place of the caller's choice.
        what = f"{prelude}\nimport sys\nfrom eiderpin.cli import main\nsys.argv[1:] = {args!r}\nmain()"
        command = [sys.executable, "-O", *(["-c", what] if prelude else ["-m", "eiderpin", *args])]
        with self.errors.open("ab") as errors:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=errors)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self, number: signal.Signals = signal.SIGKILL) -> int:
        if self.process is None:
            return 0
        self.process.send_signal(number)
        return self.process.wait()

    def status(self) -> dict[str, Any]:
        """Raises `StoreRequestError`."""
        return StoreClient([self.management_address], 1.0)._call_once(
            self.management_address, {"op": "status"}, 2.0
        )

    def log(self) -> str:
        return self.errors.read_text() if self.errors.exists() else ""


class Cluster:
    """Members of one store. `observer_limit`: each serves so many observers; 0: none."""

    def __init__(self, folder: Path, size: int = 3, observer_limit: int = 0, **parts: Any) -> None:
        self.folder, self.parts = folder, parts
        self.members = {f"m{i}": f"127.0.0.1:{free_port()}" for i in range(size)}
        self.all = {
            name: Process(folder, name, self.members, at, **parts) for name, at in self.members.items()
        }
        self.observer_limit = observer_limit
        self.observer_addresses: dict[str, str] = {}  # where members serve observers
        for name in self.members if observer_limit else ():
            self.serve_observers(name)

    def serve_observers(self, name: str) -> None:
        """Have a member serve observers from its next start on."""
        at = self.observer_addresses[name] = f"127.0.0.1:{free_port()}"
        self.all[name].parts["store"]["observers"] = {"listen": at, "limit": self.observer_limit}

    def observer(self, name: str, folder: Path | None = None, **said: Any) -> Process:
        """A dispatcher that follows the store, not started yet; it is none of `all`, who are members."""
        process = Process(folder or self.folder, name, {}, "")
        follow = {"follow": self.observer_addresses, "name": name, "cluster": "c1", **said}
        process.parts["store"] = follow
        return process

    def start(self) -> None:
        for process in self.all.values():
            process.start()
        self.leader()

    def join(self, name: str) -> Process:
        """A further process that waits to be added."""
        at = f"127.0.0.1:{free_port()}"
        process = self.all[name] = Process(self.folder, name, {}, at, join=True, **self.parts)
        process.start()
        return process

    def store_client(self, within: float = 15.0, *names: str) -> StoreClient:
        return StoreClient([self.all[n].management_address for n in names or self.all], within)

    def statuses(self) -> dict[str, dict[str, Any]]:
        found = {}
        for name, process in self.all.items():
            if process.alive:
                try:
                    found[name] = process.status()
                except StoreRequestError:
                    continue
        return found

    def leader(self, within: float = 20.0, other_than: str = "") -> str:
        """Who leads. Raises `TimeoutError`."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            leads = [s for s in self.statuses().values() if s["role"] == "leader" and s["name"] != other_than]
            if leads:
                return str(max(leads, key=lambda s: s["term"])["name"])
            time.sleep(0.02)
        raise TimeoutError("nobody leads")

    def wait_until_in_sync(self, within: float = 20.0) -> dict[str, dict[str, Any]]:
        """Wait until all that are alive hold the same. Raises `TimeoutError`."""
        end = time.monotonic() + within
        said: dict[str, dict[str, Any]] = {}
        while time.monotonic() < end:
            said = self.statuses()
            marks = {(s["commit"], s["applied"], s["revision"], s["documents"]) for s in said.values()}
            if len(marks) == 1 and len(said) == sum(p.alive for p in self.all.values()):
                return said
            time.sleep(0.02)
        raise TimeoutError(f"they do not come together: {said}")

    def stop(self) -> None:
        for process in self.all.values():
            if process.alive:
                process.kill()
