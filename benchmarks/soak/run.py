"""One run of the soak: real dispatchers, their signals, and what is made of the books."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path

from benchmarks.rig import CONNECTION_ERRORS, ROOT, free_port, http_request
from benchmarks.soak import shim
from benchmarks.soak.books import Books, Process, crossed, judge
from benchmarks.soak.scenario import SERVERS, Scenario, draw
from benchmarks.soak.world import SoakClient, SoakServer, crowd, steady, watch_lag

DISPATCHERS = ("d0", "d1")
READY_WITHIN = 10.0  # s; the operators' term for a restart
SOCKETS = 192  # descriptors of a dispatcher
MOST_TIME = 60.0  # s that one seed may take
AFTER_RESTART = 1.0  # s for which one that was started again serves before its end
START = (
    "import benchmarks.soak.shim as shim; shim.install(); import sys, eiderpin.service; "
    "sys.exit(eiderpin.service.main())"
)


@dataclass(slots=True)
class Result:
    """What one seed came to."""

    seed: int
    broken: list[str]
    requests: int
    attempts: int
    exited: int  # processes that ended by themselves before SIGKILL
    killed: int
    crossed: int  # requests that met the end of their connection, unread
    lag_ms: float
    answers: dict[int, int] = field(default_factory=dict)


class Dispatcher:
    """One dispatcher, and the processes that are it one after another."""

    def __init__(self, name: str, folder: Path, scenario: Scenario, books: Books, servers: list[SoakServer]):
        """Nothing is started yet."""
        self.name, self.scenario, self.books, self.servers = name, scenario, books, servers
        self.port = free_port()
        self.config, self.errors = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.lives = 0

    def configure(self, servers: list[SoakServer]) -> None:
        """Write the configuration, with these servers in its list."""
        settings = {
            **self.scenario.settings(),
            "slot_no": DISPATCHERS.index(self.name),
            "n_instances": len(DISPATCHERS),
        }
        rows = [{"name": s.name, "address": f"127.0.0.1:{s.port}", "slots": 8} for s in servers]
        said = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "workers": rows, "settings": settings,
                "limits": {"sockets": SOCKETS, "memory_mb": 64}}  # fmt: skip
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(said))
        new.rename(self.config)

    def start(self) -> None:
        """Start the next process of this dispatcher."""
        self.lives += 1
        faults = {**asdict(self.scenario.faults), "seed": f"{self.scenario.seed} {self.name} {self.lives}"}
        env = {**os.environ, "GW_CONFIG": str(self.config), "EIDERPIN_LOG_FORMAT": "logfmt",
               shim.VARIABLE: json.dumps(faults), "SOAK_PORT": str(self.port)}  # fmt: skip
        env["EIDERPIN_FRONTS"] = os.devnull + ".none"
        with self.errors.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-c", START], cwd=ROOT, env=env, stderr=errors
            )

    async def ready(self) -> None:
        """Raises `TimeoutError`."""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    if (await http_request(self.port, "GET", "/_health"))[0] == 200:
                        return
                await asyncio.sleep(0.02)

    def kill(self) -> None:
        """Leave nothing behind, whatever has happened."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, where the process is there."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def hold(self, seconds: float) -> None:
        """Stop the process for a while."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)

    async def end(self) -> None:
        """SIGTERM, and SIGKILL at its earliest."""
        assert self.process is not None
        life = Process(self.name, steady())
        self.books.processes.append(life)
        self.send(signal.SIGTERM)
        while steady() < life.told_at + self.scenario.kill_after:
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.005)
        if self.process.poll() is None:
            self.process.kill()
            life.killed_at = steady()
        life.exit_code = self.process.wait()
        life.log = self.errors.read_text(errors="replace").splitlines()


class Run:
    """Plays one scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Nothing is started yet."""
        self.scenario, self.folder = scenario, folder
        self.books = Books()
        self.begun = 0.0
        self.back: dict[str, int] = {}

    def is_bad(self) -> bool:
        """Whether the servers' bad time has come."""
        return bool(self.begun) and steady() > self.begun + self.scenario.bad_from

    async def play(self) -> Result:
        """Play it to the end. Raises `TimeoutError` where that takes too long."""
        names = [f"s{i}" for i in range(SERVERS)]
        servers = [SoakServer(n, self.scenario, self.books, self.is_bad, self.back) for n in names]
        for server in servers:
            await server.start()
        made = [Dispatcher(name, self.folder, self.scenario, self.books, servers) for name in DISPATCHERS]
        self.back |= {d.name: d.port for d in made}
        try:
            async with asyncio.timeout(MOST_TIME):
                await self.play_on(made, servers)
        finally:
            for dispatcher in made:
                dispatcher.kill()
        for server in servers:
            if server.server is not None:
                server.server.close()
            server.close_connections()
        return self.result()

    async def play_on(self, made: list[Dispatcher], servers: list[SoakServer]) -> None:
        """From the start of all dispatchers to the end of the last."""
        for dispatcher in made:
            dispatcher.configure(servers)
            dispatcher.start()
        await asyncio.gather(*(d.ready() for d in made))
        lag = asyncio.create_task(watch_lag(self.books))
        self.begun = steady()
        await asyncio.gather(*(self.trouble(d) for d in made))
        lag.cancel()

    async def trouble(self, dispatcher: Dispatcher) -> None:
        """One dispatcher's clients and signals, up to its last end."""
        clients = [
            SoakClient(i, dispatcher.name, self.scenario, self.books, dispatcher.port)
            for i in range(self.scenario.clients)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        idle = await crowd(dispatcher.port, self.scenario.crowd)
        signals = asyncio.create_task(self.signals(dispatcher))
        holds = asyncio.create_task(self.holds(dispatcher))
        await self.until(self.scenario.term_at)
        await dispatcher.end()
        signals.cancel()
        holds.cancel()
        if self.scenario.restarts:
            dispatcher.start()
            await dispatcher.ready()
            await asyncio.sleep(AFTER_RESTART)
            await dispatcher.end()
        for client in clients:
            client.going = False
        await asyncio.gather(*tasks)
        for writer in idle:
            writer.close()

    async def until(self, at: float) -> None:
        """Wait until so many seconds have passed since the begin."""
        await asyncio.sleep(max(0.0, self.begun + at - steady()))

    async def signals(self, dispatcher: Dispatcher) -> None:
        """The further signals; a configuration in between withdraws a server."""
        left = list(dispatcher.servers)
        for at, name in self.scenario.signals:
            await self.until(at)
            if name == "SIGHUP" and len(left) > 2:
                gone = left.pop()
                dispatcher.configure(left)
                dispatcher.send(signal.SIGHUP)
                self.books.withdrawn.setdefault((dispatcher.name, gone.name), steady())
            else:
                dispatcher.send(signal.Signals[name])

    async def holds(self, dispatcher: Dispatcher) -> None:
        """Stop the process now and then."""
        for at, seconds in self.scenario.holds:
            await self.until(at)
            await dispatcher.hold(seconds)

    def result(self) -> Result:
        """What the books come to."""
        killed = sum(p.killed_at is not None for p in self.books.processes)
        return Result(
            self.scenario.seed, judge(self.books), len(self.books.requests), len(self.books.attempts),
            len(self.books.processes) - killed, killed, crossed(self.books),
            round(self.books.lag * 1000, 1), self.books.answers,
        )  # fmt: skip


def play(seed: int, keep: Path | None = None) -> Result:
    """Play one seed. `keep`: where the dispatchers' logs stay; else they go."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Run(draw(seed), keep or Path(folder)).play())
