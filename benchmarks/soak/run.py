"""One run of the soak test: starts, signals and stops real dispatchers, then checks the observations."""

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

from benchmarks.hostile.trial import memory_mb
from benchmarks.rig import CONNECTION_ERRORS, ROOT, free_port, http_request
from benchmarks.soak import shim
from benchmarks.soak.books import Observations, ProcessRecord, count_crossed_requests, find_violations
from benchmarks.soak.scenario import WORKER_COUNT, Scenario, draw_scenario
from benchmarks.soak.world import SoakClient, SoakWorker, monotonic_seconds, open_idle_connections, watch_lag

DISPATCHER_NAMES = ("d0", "d1")
READY_TIMEOUT_SECONDS = 10.0  # within which operators expect a restarted dispatcher to serve
MAX_SOCKETS = 192  # of a dispatcher
RUN_TIMEOUT_SECONDS = 60.0  # of one seed
RESTART_SERVING_SECONDS = 1.0  # for which a restarted dispatcher serves before it is stopped again
START_CODE = (
    "import benchmarks.soak.shim as shim; shim.install(); import sys, eiderpin.service; "
    "sys.exit(eiderpin.service.main())"
)


@dataclass(slots=True)
class Result:
    """The result of one seed; the fields are written out as JSON."""

    seed: int
    broken: list[str]
    requests: int
    attempts: int
    exited: int  # processes that exited after SIGTERM, before SIGKILL
    killed: int
    crossed: int  # requests that were not read because their connection was being closed
    lag_ms: float
    peak_mb: float  # of any of the processes
    answers: dict[int, int] = field(default_factory=dict)


class Dispatcher:
    """One dispatcher, which is run by one process after another."""

    def __init__(
        self,
        name: str,
        folder: Path,
        scenario: Scenario,
        observations: Observations,
        workers: list[SoakWorker],
    ):
        """Choose the port and the files; no process is started yet."""
        self.name, self.scenario, self.observations, self.workers = name, scenario, observations, workers
        self.port = free_port()
        self.config_path, self.log_path = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0

    def configure(self, workers: list[SoakWorker]) -> None:
        """Write the configuration file with these workers in its list; the file is replaced atomically."""
        settings = {
            **self.scenario.settings(),
            "slot_no": DISPATCHER_NAMES.index(self.name),
            "n_instances": len(DISPATCHER_NAMES),
        }
        rows = [{"name": s.name, "address": f"127.0.0.1:{s.port}", "slots": 8} for s in workers]
        configuration = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "workers": rows, "settings": settings,
            "limits": {"sockets": MAX_SOCKETS, "memory_mb": self.scenario.memory_mb},
        }  # fmt: skip
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(configuration))
        new_path.rename(self.config_path)

    def start(self) -> None:
        """Start the next process of this dispatcher, with faults installed in it."""
        self.start_count += 1
        faults = {
            **asdict(self.scenario.faults),
            "seed": f"{self.scenario.seed} {self.name} {self.start_count}",
        }
        env = {**os.environ, "GW_CONFIG": str(self.config_path), "EIDERPIN_LOG_FORMAT": "logfmt",
               shim.FAULTS_VARIABLE: json.dumps(faults), "SOAK_PORT": str(self.port)}  # fmt: skip
        env["EIDERPIN_FRONTS"] = os.devnull + ".none"
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-c", START_CODE], cwd=ROOT, env=env, stderr=log_file
            )

    async def wait_until_ready(self) -> None:
        """Wait until the dispatcher answers health checks. Raises `TimeoutError`."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    if (await http_request(self.port, "GET", "/_health"))[0] == 200:
                        return
                await asyncio.sleep(0.02)

    def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def pause(self, seconds: float) -> None:
        """Suspend the process for this long by SIGSTOP and SIGCONT."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL if the process is still running after `Scenario.kill_after`."""
        assert self.process is not None
        record = ProcessRecord(self.name, monotonic_seconds(), memory_limit_mb=float(self.scenario.memory_mb))
        self.observations.processes.append(record)
        self.send_signal(signal.SIGTERM)
        while monotonic_seconds() < record.sigterm_at + self.scenario.kill_after:
            if self.process.poll() is not None:
                break
            record.peak_mb = max(record.peak_mb, memory_mb(self.process.pid, "VmHWM"))
            await asyncio.sleep(0.005)
        if self.process.poll() is None:
            self.process.kill()
            record.killed_at = monotonic_seconds()
        record.exit_code = self.process.wait()
        record.log = self.log_path.read_text(errors="replace").splitlines()


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Prepare the run; nothing is started yet."""
        self.scenario, self.folder = scenario, folder
        self.observations = Observations()
        self.started_at = 0.0
        self.callback_ports: dict[str, int] = {}

    def workers_misbehave(self) -> bool:
        """Whether the time has come from which on workers misbehave."""
        return bool(self.started_at) and monotonic_seconds() > self.started_at + self.scenario.misbehaves_from

    async def run(self) -> Result:
        """Run the scenario to its end. Raises `TimeoutError` after `RUN_TIMEOUT_SECONDS`."""
        names = [f"s{i}" for i in range(WORKER_COUNT)]
        workers = [
            SoakWorker(n, self.scenario, self.observations, self.workers_misbehave, self.callback_ports)
            for n in names
        ]
        for worker in workers:
            await worker.start()
        dispatchers = [
            Dispatcher(name, self.folder, self.scenario, self.observations, workers)
            for name in DISPATCHER_NAMES
        ]
        self.callback_ports |= {d.name: d.port for d in dispatchers}
        try:
            async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
                await self.run_dispatchers(dispatchers, workers)
        finally:
            for dispatcher in dispatchers:
                dispatcher.kill()
        for worker in workers:
            if worker.server is not None:
                worker.server.close()
            worker.close_connections()
        return self.build_result()

    async def run_dispatchers(self, dispatchers: list[Dispatcher], workers: list[SoakWorker]) -> None:
        """Start all dispatchers and return once each has been stopped."""
        for dispatcher in dispatchers:
            dispatcher.configure(workers)
            dispatcher.start()
        await asyncio.gather(*(d.wait_until_ready() for d in dispatchers))
        lag_task = asyncio.create_task(watch_lag(self.observations))
        self.started_at = monotonic_seconds()
        await asyncio.gather(*(self.run_dispatcher(d) for d in dispatchers))
        lag_task.cancel()

    async def run_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Run the clients of one dispatcher and signal it, until it has been stopped for the last time."""
        clients = [
            SoakClient(i, dispatcher.name, self.scenario, self.observations, dispatcher.port)
            for i in range(self.scenario.clients)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        idle_writers = await open_idle_connections(dispatcher.port, self.scenario.idle_connections)
        attack = await self.start_attack(dispatcher)
        signal_task = asyncio.create_task(self.send_signals(dispatcher))
        pause_task = asyncio.create_task(self.pause_repeatedly(dispatcher))
        await self.sleep_until(self.scenario.sigterm_at)
        await dispatcher.stop()
        signal_task.cancel()
        pause_task.cancel()
        if self.scenario.restarts:
            dispatcher.start()
            await dispatcher.wait_until_ready()
            await asyncio.sleep(RESTART_SERVING_SECONDS)
            await dispatcher.stop()
        if attack is not None:
            attack.kill()
            await attack.wait()
        for client in clients:
            client.is_running = False
        await asyncio.gather(*tasks)
        for writer in idle_writers:
            writer.close()

    async def start_attack(self, dispatcher: Dispatcher) -> asyncio.subprocess.Process | None:
        """Start the hostile clients of one dispatcher, in a process of their own."""
        hostile = self.scenario.hostile
        if hostile is None:
            return None
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.hostile", "attack", f"127.0.0.1:{dispatcher.port}",
            hostile.attack, "--connections", str(hostile.connections), "--seconds",
            str(RUN_TIMEOUT_SECONDS), cwd=ROOT, stdout=subprocess.DEVNULL,
        )  # fmt: skip

    async def sleep_until(self, at: float) -> None:
        """Wait until this many seconds after the start of the run."""
        await asyncio.sleep(max(0.0, self.started_at + at - monotonic_seconds()))

    async def send_signals(self, dispatcher: Dispatcher) -> None:
        """Send the further signals; with a SIGHUP, one worker is removed from the configuration."""
        listed = list(dispatcher.workers)
        for at, name in self.scenario.signals:
            await self.sleep_until(at)
            if name == "SIGHUP" and len(listed) > 2:
                removed = listed.pop()
                dispatcher.configure(listed)
                dispatcher.send_signal(signal.SIGHUP)
                self.observations.withdrawn.setdefault((dispatcher.name, removed.name), monotonic_seconds())
            else:
                dispatcher.send_signal(signal.Signals[name])

    async def pause_repeatedly(self, dispatcher: Dispatcher) -> None:
        """Suspend the process at the times of the scenario."""
        for at, seconds in self.scenario.pauses:
            await self.sleep_until(at)
            await dispatcher.pause(seconds)

    def build_result(self) -> Result:
        """Check the observations and summarize them."""
        killed = sum(p.killed_at is not None for p in self.observations.processes)
        return Result(
            self.scenario.seed, find_violations(self.observations),
            len(self.observations.requests), len(self.observations.attempts),
            len(self.observations.processes) - killed, killed, count_crossed_requests(self.observations),
            round(self.observations.max_lag_seconds * 1000, 1),
            max((p.peak_mb for p in self.observations.processes), default=0.0), self.observations.answers,
        )  # fmt: skip


def play_scenario(seed: int, log_directory: Path | None = None) -> Result:
    """Run the scenario of one seed.

    The dispatchers' files, among them their logs, are kept in `log_directory` if it is given, else deleted.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Run(draw_scenario(seed), log_directory or Path(folder)).run())
