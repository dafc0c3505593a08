"""One run with many dispatchers: configuration changes, an injected fault, and checks of the guarantees.

The steps of a run follow from the seed and the name of the fault, so that it can be repeated.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.durable import cpu
from benchmarks.rig import ROOT, free_port, settings
from benchmarks.scale import bad_input
from benchmarks.scale.fleet import ScaleFleet, percentile
from benchmarks.store import memory_mb
from eiderpin.cli.config import publish_config
from eiderpin.store.admission import SNAPSHOTS_PER_SECOND
from eiderpin.store.client import StoreRequestError
from eiderpin.store.names import OBSERVERS
from eiderpin.store.presence import read as read_presence

IN_FORCE_LIMIT_SECONDS = 6.0  # after a leader has acknowledged it, a change must be in force everywhere
LAG_LIMIT_MS = 50.0  # p99 of the lag of hollow dispatchers' loops, above which the run is void
BYTES_PER_SECOND_LIMIT = 12_000.0  # of each dispatcher's control-plane traffic
CPU_SHARE_LIMIT = 0.017  # of a core, for each dispatcher's control-plane client
MEMORY_LIMIT_MB = 256.0  # of each dispatcher
# No member may use more than this multiple of the steady load for longer than this.
STEADY_LOAD_FACTOR, MAX_OVERLOAD_SECONDS = 2.0, 5
PRESENCE_LIMIT_SECONDS = 11.0  # after any change, the list of announced observers must be right again
PLANNED_CHANGES_PER_SECOND = 840.0 / 86_400.0  # 840 changes a day
# A restart of all dispatchers is bounded by the snapshots that one member begins per second, as nearly all
# dispatchers may be at one member that their whole region prefers. The margin is for waits and rounds.
MAX_SNAPSHOTS_PER_SECOND, RESTART_MARGIN_SECONDS = SNAPSHOTS_PER_SECOND, 5.0
# Half of the machine's memory, for all processes of a run together.
MAX_TOTAL_MEMORY_MB = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2 / (1 << 20)
CHANGE_TIMEOUT_SECONDS = 20.0  # within which a leader must accept a change
FAULTS = ("none", "burst", "member-killed", "leader-killed", "member-frozen", "all-restarted", "region-cut",
          "replaced", "bad-input")  # fmt: skip


@dataclass
class ConfigChange:
    """One change of the shared configuration; times are on the monotonic clock, in seconds."""

    version: int
    requested_at: float
    acknowledged_at: float


@dataclass
class Sample:
    """Figures taken once per second."""

    taken_at: float
    member_cpu_seconds: dict[str, float]  # CPU time since the member's start
    figures: dict[str, Any]


@dataclass
class Run:
    """The state of a run in progress. With `untimed`, most limits on time and load are not checked."""

    fleet: ScaleFleet
    rng: random.Random
    fault: str
    untimed: bool = False
    changes: list[ConfigChange] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    extra_results: dict[str, Any] = field(default_factory=dict)
    finished: threading.Event = field(default_factory=threading.Event)
    status: str = ""
    start_times: list[float] = field(
        default_factory=list
    )  # when dispatchers restarted or could reach members again

    def is_excused(self, change: ConfigChange, at: float) -> bool:
        """Whether a dispatcher applied a change only because it started, or its network was restored, later.

        How long the start or the recovery takes is checked separately.
        """
        return any(change.acknowledged_at < start <= at for start in self.start_times)

    # -- sampling

    def collect_samples(self) -> None:
        """Take a sample per second and show it on a terminal; stop all processes if memory grows too much."""
        while not self.finished.wait(1.0):
            if self.memory_mb() > MAX_TOTAL_MEMORY_MB:
                self.violations.append(f"all processes together use over {MAX_TOTAL_MEMORY_MB:.0f} MB")
                self.fleet.stop()
                return
            members = {}
            for name, pid in self.fleet.pids().items():
                with contextlib.suppress(OSError):
                    members[name] = cpu(pid)
            self.samples.append(Sample(time.monotonic(), members, self.fleet.figures()))
            if sys.stderr.isatty():
                figures = self.samples[-1].figures
                line = f"{self.status}: {figures.get('current')} of {figures.get('dispatchers')} current"
                print(f"\r{line:78}", end="", file=sys.stderr, flush=True)

    def memory_mb(self) -> float:
        """Return the resident memory of all processes that were started."""
        pids = [*self.fleet.pids().values(), *(host.process.pid for host in self.fleet.hosts)]
        total = 0.0
        for pid in pids:
            with contextlib.suppress(OSError):
                total += memory_mb(pid)
        return total

    def member_loads(self, since: float, until: float) -> dict[str, float]:
        """Return each member's CPU time between two times, as a share of a core."""
        window_samples = [s for s in self.samples if since <= s.taken_at <= until]
        if len(window_samples) < 2:
            return {}
        first, last = window_samples[0], window_samples[-1]
        return {
            name: (last.member_cpu_seconds[name] - first.member_cpu_seconds[name])
            / (last.taken_at - first.taken_at)
            for name in first.member_cpu_seconds
            if name in last.member_cpu_seconds
            and last.member_cpu_seconds[name] >= first.member_cpu_seconds[name]
        }

    def bytes_per_dispatcher(self, since: float, until: float) -> float:
        """Return the bytes per second that one dispatcher sent and received between two times."""
        window_samples = [s for s in self.samples if since <= s.taken_at <= until and s.figures]
        if len(window_samples) < 2:
            return 0.0
        first, last = window_samples[0], window_samples[-1]
        byte_count = sum(last.figures[key] - first.figures[key] for key in ("received", "sent"))
        return float(byte_count / (last.taken_at - first.taken_at) / last.figures["dispatchers"])

    def cpu_share_per_dispatcher(self, since: float, until: float) -> float:
        """Return the CPU time of one dispatcher's control-plane client, as a share of a core."""
        window_samples = [s for s in self.samples if since <= s.taken_at <= until and s.figures]
        if len(window_samples) < 2:
            return 0.0
        first, last = window_samples[0], window_samples[-1]
        used = last.figures["cpu_s"] - first.figures["cpu_s"]
        return float(used / (last.taken_at - first.taken_at) / last.figures["dispatchers"])

    # -- steps

    def sleep(self, seconds: float) -> None:
        """Wait without doing anything."""
        time.sleep(seconds)

    def make_change(self) -> None:
        """Publish the next version of the shared configuration, retried until a member accepts it."""
        requested_at = time.monotonic()
        text = build_configuration(len(self.changes) + 1)
        while True:
            try:
                with contextlib.closing(self.fleet.cluster.store_client(2.0)) as store:
                    version = publish_config(store, text)
                break
            except StoreRequestError as error:
                if time.monotonic() > requested_at + CHANGE_TIMEOUT_SECONDS:
                    self.violations.append(
                        f"no member took a change within {CHANGE_TIMEOUT_SECONDS:g} s: {error}"
                    )
                    return
        self.changes.append(ConfigChange(version, requested_at, time.monotonic()))

    def make_changes(self, interval_seconds: float, count: int) -> None:
        """Make `count` changes, one every `interval_seconds`."""
        for _ in range(count):
            started_at = time.monotonic()
            self.make_change()
            time.sleep(max(0.0, started_at + interval_seconds - time.monotonic()))

    def leader(self) -> str:
        """Return the name of the leader."""
        return self.fleet.cluster.leader()

    def follower(self) -> str:
        """Draw the name of a member that is not the leader."""
        lead = self.leader()
        return self.rng.choice(sorted(set(self.fleet.cluster.all) - {lead}))

    def list_announced_names(self) -> list[str]:
        """Return the names of all observers that members announce; twice if two members announce one."""
        with contextlib.closing(self.fleet.cluster.store_client(10.0)) as store:
            rows = store.ask("range", prefix=OBSERVERS, most=100)["documents"]
        found = []
        for row in rows:
            found += [entry.name for entry in read_presence(base64.b64decode(row["value"]))]
        return found

    def await_presence(self, names: set[str], timeout_seconds: float) -> None:
        """Wait until exactly these observers are announced, each once, and all dispatchers count them.

        A violation is recorded if that takes longer than `timeout_seconds`.
        """
        started_at = time.monotonic()
        found: list[str] = []
        total = len(names) + len(self.fleet.cluster.all)
        while time.monotonic() < started_at + timeout_seconds:
            found = self.list_announced_names()
            if sorted(found) == sorted(names) and self.fleet.figures()["instances"] == [total]:
                self.extra_results["presence_right_s"] = round(time.monotonic() - started_at, 1)
                return
            time.sleep(0.2)
        extra, missing = len(found) - len(set(found)), len(names - set(found))
        counts = self.fleet.figures()["instances"]
        self.violations.append(
            f"presence is not right {timeout_seconds:g} s later: {missing} missing, {extra} twice, "
            f"{len(set(found) - names)} too many; {total} expected, dispatchers count {counts}"
        )


def build_configuration(number: int) -> bytes:
    """Return a text of the shared configuration that differs for each number."""
    rows = [
        {"name": f"w{n}", "address": f"127.0.0.1:{20_000 + n}", "slots": 4 + (n + number) % 3}
        for n in range(16)
    ]
    return json.dumps({"settings": settings(), "workers": rows}).encode()


# -- scripts, one for each fault


def make_steady_changes(run: Run, seconds: float) -> None:
    """Inject no fault; make changes ten times as often as planned, for the whole time."""
    interval_seconds = 0.1 / PLANNED_CHANGES_PER_SECOND
    run.make_changes(interval_seconds, max(2, int(seconds / interval_seconds)))


def change_in_burst(run: Run, seconds: float) -> None:
    """Make a change every second, up to sixty."""
    run.make_changes(1.0, max(10, min(60, int(seconds))))


def kill_and_restart(run: Run, name: str, seconds: float) -> None:
    """Kill a member and restart it later; make changes before, in between and after."""
    run.make_changes(2.0, 2)
    run.fleet.cluster.all[name].kill()
    run.extra_results["killed"] = name
    run.make_changes(2.0, max(3, int(seconds / 4)))
    run.fleet.cluster.all[name].start()
    run.make_changes(2.0, max(3, int(seconds / 4)))


def kill_follower(run: Run, seconds: float) -> None:
    """Kill a follower and restart it later."""
    kill_and_restart(run, run.follower(), seconds)


def kill_leader(run: Run, seconds: float) -> None:
    """Kill the leader and restart it later."""
    kill_and_restart(run, run.leader(), seconds)


def freeze_member(run: Run, seconds: float) -> None:
    """Suspend a follower for 10 s by SIGSTOP."""
    name = run.follower()
    process = run.fleet.cluster.all[name].process
    assert process is not None
    run.make_changes(2.0, 2)
    process.send_signal(signal.SIGSTOP)
    run.extra_results["frozen"] = name
    started_at = time.monotonic()
    while time.monotonic() < started_at + 10.0:
        run.make_changes(2.0, 1)
    process.send_signal(signal.SIGCONT)
    run.make_changes(2.0, max(3, int(seconds / 4)))


def restart_all(run: Run, seconds: float) -> None:
    """Restart all dispatchers at once."""
    run.make_changes(2.0, 2)
    before = run.samples[-1].figures
    started_at = time.monotonic()
    run.start_times.append(started_at)
    used = {name: cpu(pid) for name, pid in run.fleet.pids().items()}
    took = run.fleet.restart()
    run.extra_results["all_current_s"] = round(took, 1)
    spent = {name: cpu(pid) - used[name] for name, pid in run.fleet.pids().items()}
    run.extra_results["members_cpu_s_of_restart"] = {name: round(s, 2) for name, s in spent.items()}
    if not run.untimed and took > run.fleet.dispatchers / MAX_SNAPSHOTS_PER_SECOND + RESTART_MARGIN_SECONDS:
        run.violations.append(f"all dispatchers were current only {took:.1f} s after a restart of all")
    byte_count = run.fleet.figures()["received"] - before["received"]
    run.extra_results["bytes_to_restart_each"] = round(byte_count / run.fleet.dispatchers)
    run.make_changes(2.0, max(3, int(seconds / 4)))


def replace_dispatchers(run: Run, seconds: float) -> None:
    """Replace three in ten dispatchers by new ones while changes are made; half of them get new names."""
    names = {name for host in run.fleet.hosts for name in host.options.names}
    run.make_changes(1.0, 2)
    run.start_times.append(time.monotonic())
    for number, host in enumerate(run.fleet.hosts):
        own = host.options.names
        chosen = run.rng.sample(range(len(own)), max(1, round(0.3 * len(own))))
        new = {}
        for turn, place in enumerate(chosen):
            new[str(place)] = own[place] if turn % 2 else f"n{number}-{place:04d}"
            names = (names - {own[place]}) | {new[str(place)]}
        host.send_command(do="replace", names=new)
    run.make_changes(1.0, max(3, int(seconds / 6)))
    run.await_presence(names, PRESENCE_LIMIT_SECONDS)
    run.make_changes(2.0, 2)


def cut_region(run: Run, seconds: float) -> None:
    """Cut one region off from all members for a while, by the forwarders of `start_links`."""
    links: list[subprocess.Popen[str]] = run.extra_results.pop("links")
    run.make_changes(2.0, 2)
    for link in links:
        _send_command(link, "cut")
    run.extra_results["cut_s"] = max(8.0, seconds / 3)
    started_at = time.monotonic()
    during = []
    while time.monotonic() < started_at + run.extra_results["cut_s"]:
        run.make_changes(2.0, 1)
        during.append(run.changes[-1].version)
    run.extra_results["oldest_while_cut_ms"] = round(run.fleet.figures()["oldest_ms"])
    for link in links:
        _send_command(link, "heal")
    healed = time.monotonic()
    run.start_times.append(healed)
    run.make_changes(2.0, max(3, int(seconds / 4)))
    last = f"version {during[-1]}"
    late = [at - healed for at in run.fleet.applied_times(last) if at > healed]
    run.extra_results["caught_up_after_heal_s"] = round(max(late, default=0.0), 2)
    if not late:
        run.violations.append("nobody was cut off")
    elif max(late) > IN_FORCE_LIMIT_SECONDS:
        run.violations.append(f"the region had caught up {max(late):.1f} s after the cut only")


def send_bad_input(run: Run, seconds: float) -> None:
    """Connect malformed and hostile clients to one member's port for observers."""
    run.make_changes(2.0, 2)
    name = run.follower()
    host, port = run.fleet.addresses[name]
    before = run.member_loads(time.monotonic() - 4.0, time.monotonic())
    cases = bad_input.run_cases(host, port)
    run.extra_results["bad_input"] = cases
    for what, case in cases.items():
        if case["ended_s"] is None or case["ended_s"] > 3.0:
            run.violations.append(f"{what}: not ended within 3 s")
    run.extra_results["member_before"] = before.get(name)
    run.make_changes(2.0, max(3, int(seconds / 4)))


SCRIPTS: dict[str, Callable[[Run, float], None]] = {
    "none": make_steady_changes, "burst": change_in_burst, "member-killed": kill_follower,
    "leader-killed": kill_leader, "member-frozen": freeze_member, "all-restarted": restart_all,
    "region-cut": cut_region, "replaced": replace_dispatchers, "bad-input": send_bad_input,
}  # fmt: skip


# -- checks


def check_changes(run: Run) -> dict[str, Any]:
    """Check that each change came into force at all dispatchers in time, and return the figures.

    A dispatcher at which a later version is in force counts for the earlier ones. Times are counted from the
    acknowledgement of a change (`ack`) and from its request (`ask`).
    """
    since_ask: list[float] = []
    since_ack: list[float] = []
    slowest: list[float] = []
    seen = {change.version: run.fleet.applied_times(f"version {change.version}") for change in run.changes}
    for place, change in enumerate(run.changes):
        reached = max(len(seen[later.version]) for later in run.changes[place:])
        if reached < run.fleet.dispatchers:
            run.violations.append(
                f"version {change.version} is in force at {reached} of {run.fleet.dispatchers}"
            )
        checked_times = [at for at in seen[change.version] if not run.is_excused(change, at)]
        late = [at for at in checked_times if at > change.acknowledged_at + IN_FORCE_LIMIT_SECONDS]
        if late and not run.untimed:
            took = max(late) - change.acknowledged_at
            run.violations.append(
                f"version {change.version} came into force after {took:.1f} s at {len(late)}"
            )
        since_ask += [at - change.requested_at for at in checked_times]
        since_ack += [max(0.0, at - change.acknowledged_at) for at in checked_times]
        if checked_times:
            slowest.append(max(checked_times) - change.requested_at)
    versions = run.fleet.figures()["versions"]
    if run.changes and versions != [run.changes[-1].version]:
        run.violations.append(f"versions {versions} are in force at the end")
    return {
        "changes": len(run.changes),
        "ask_p50_ms": round(percentile(since_ask, 0.5) * 1000.0, 1),
        "ask_p99_ms": round(percentile(since_ask, 0.99) * 1000.0, 1),
        "ask_max_ms": round(max(since_ask, default=0.0) * 1000.0, 1),
        "ack_p99_ms": round(percentile(since_ack, 0.99) * 1000.0, 1),
        "ack_max_ms": round(max(since_ack, default=0.0) * 1000.0, 1),
        "everywhere_median_ms": round(statistics.median(slowest) * 1000.0, 1) if slowest else 0.0,
    }


def check_run(run: Run, steady_since: float, steady_until: float) -> dict[str, Any]:
    """Check what must hold in any run, and return its figures; loads are those between the two times."""
    lags = [lag for host in run.fleet.hosts for lag in host.lags]
    lag = percentile(lags, 0.99)
    for host in run.fleet.hosts:
        run.violations += [f"{message['went_back']} went back a revision" for message in host.went_back]
    if run.fault != "replaced" and run.fleet.figures().get("fenced"):
        run.violations.append("a dispatcher was fenced")
    if run.untimed:
        return {"void": False, "lag_p99_ms": round(lag, 1)}
    bytes_per_second = run.bytes_per_dispatcher(steady_since, steady_until)
    share = run.cpu_share_per_dispatcher(steady_since, steady_until)
    if bytes_per_second > BYTES_PER_SECOND_LIMIT:
        run.violations.append(f"{bytes_per_second:.0f} bytes a second at a dispatcher")
    if share > CPU_SHARE_LIMIT:
        run.violations.append(f"{100 * share:.2f}% of a core for the control of a dispatcher")
    steady_loads = run.member_loads(steady_since, steady_until)
    overloaded = find_overloaded_members(run, steady_loads)
    run.violations += overloaded
    memory = {name: round(memory_mb(pid), 1) for name, pid in run.fleet.pids().items()}
    hollow = [memory_mb(host.process.pid) for host in run.fleet.hosts]
    return {
        "void": lag > LAG_LIMIT_MS,
        "lag_p99_ms": round(lag, 1),
        "bytes_per_s": round(bytes_per_second, 1),
        "control_share": round(share, 5),
        "hollow_memory_mb_each": round(sum(hollow) / run.fleet.dispatchers, 2),
        "members_share": {name: round(value, 4) for name, value in steady_loads.items()},
        "members_memory_mb": memory,
    }


def find_overloaded_members(run: Run, steady_loads: dict[str, float]) -> list[str]:
    """Return a violation for each member whose load was too high for too long.

    That is more than `STEADY_LOAD_FACTOR` times the highest steady load of a member, for more than
    `MAX_OVERLOAD_SECONDS` samples in a row. A burst and a restart of all dispatchers aren't checked: the
    admission rate bounds a restart instead, and its load is reported in figures of its own.
    """
    if run.fault in ("all-restarted", "burst") or not steady_loads:
        return []
    limit = STEADY_LOAD_FACTOR * max(*steady_loads.values(), 0.02)
    found = []
    for name in steady_loads:
        streak, longest = 0, 0
        for before, after in zip(run.samples, run.samples[1:], strict=False):
            used = after.member_cpu_seconds.get(name, 0.0) - before.member_cpu_seconds.get(name, 0.0)
            streak = streak + 1 if used / (after.taken_at - before.taken_at) > limit else 0
            longest = max(longest, streak)
        if longest > MAX_OVERLOAD_SECONDS:
            found.append(f"{name} used over {100 * limit:.1f}% of a core for {longest} s")
    return found


# -- running


def _send_command(link: subprocess.Popen[str], word: str) -> None:
    assert link.stdin is not None
    link.stdin.write(word + "\n")
    link.stdin.flush()


def run_fault(
    dispatchers: int, seed: int, fault: str, seconds: float, members: int, untimed: bool = False
) -> dict[str, Any]:
    """Run one script and return its result.

    Its key `broken` lists the guarantees that did not hold; with `untimed`, most limits on time and load are
    not checked.
    """
    rng = random.Random(f"{seed} {fault}")
    with tempfile.TemporaryDirectory() as folder:
        fleet = ScaleFleet(Path(folder), dispatchers, members, seed)
        run = Run(fleet, rng, fault, untimed)
        watcher = threading.Thread(target=run.collect_samples, daemon=True)
        try:
            fleet.cluster.start()
            with contextlib.ExitStack() as stack:
                routes: dict[str, dict[str, tuple[str, int]]] = {}
                if fault == "region-cut":
                    started, routes = start_links(fleet)
                    for link in started:
                        stack.callback(end_link, link)
                    run.extra_results["links"] = started
                fleet.start_hollow(routes)
                run.status = "starting"
                watcher.start()
                run.extra_results["first_start_s"] = round(fleet.wait_until_current(), 1)
                fleet.wait_until_current(30.0, dispatchers + members)
                time.sleep(3.0)  # until the load of the start is over
                since = time.monotonic()
                run.status = "steady"
                time.sleep(8.0)
                until = time.monotonic()
                run.status = fault
                SCRIPTS[fault](run, seconds)
                run.status = "settling"
                time.sleep(IN_FORCE_LIMIT_SECONDS if run.fault != "none" else 2.0)
                fleet.wait_until_current(30.0)
                if run.fault == "burst":
                    since, until = run.changes[0].requested_at, run.changes[-1].acknowledged_at
                figures = {**check_changes(run), **check_run(run, since, until)}
        finally:
            run.finished.set()
            fleet.stop()
    return {
        "dispatchers": dispatchers, "members": members, "seed": seed, "fault": fault, **figures,
        **run.extra_results, "broken": run.violations,
    }  # fmt: skip


def start_links(
    fleet: ScaleFleet,
) -> tuple[list[subprocess.Popen[str]], dict[str, dict[str, tuple[str, int]]]]:
    """Start forwarders from the dispatchers of the first region to each member.

    Returns the processes and, by region, the addresses to use for the members.
    """
    started = []
    at = {}
    for member, (_, port) in fleet.addresses.items():
        listen = free_port()
        command = [sys.executable, "-m", "benchmarks.scale.link", str(listen), str(port)]
        link = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert link.stdout is not None
        link.stdout.readline()
        started.append(link)
        at[member] = ("127.0.0.1", listen)
    return started, {"region-0": at}


def end_link(link: subprocess.Popen[str]) -> None:
    """Kill a forwarder."""
    link.kill()
    link.wait()
