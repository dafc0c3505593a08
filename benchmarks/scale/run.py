"""One run with many dispatchers: changes are made, faults happen, and promises are checked from outside.

A script of steps follows from the seed and the name of the fault, so the same run can be played again.
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
from eiderpin.store.client import Failed
from eiderpin.store.names import OBSERVERS
from eiderpin.store.presence import read as read_presence

IN_FORCE_WITHIN = 6.0  # s, everywhere, of when there was a leader to make the change
LAG_LIMIT = 50.0  # ms of a hollow loop at p99, above which the run says nothing
BYTES_LIMIT = 12_000.0  # a second, each dispatcher
CPU_LIMIT = 0.017  # of a core, each dispatcher
MEMORY_LIMIT = 256.0  # MB, each dispatcher
STEADY_FACTOR, STEADY_SECONDS = 2.0, 5  # a member may use this much of its steady load for longer than this
LEASE = 11.0  # s in which presence is right again after any change
DAY_RATE = 840.0 / 86_400.0  # changes a second
# A member begins so many snapshots a second; with one preferred by its whole region and little else it may
# have nearly all dispatchers, and a margin for waits and rounds.
MOST_SNAPSHOTS_PER_S, RESTART_MARGIN = SNAPSHOTS_PER_SECOND, 5.0
MOST_MEMORY_MB = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2 / (1 << 20)
CHANGE_WITHIN = 20.0  # s in which a change must find a leader
FAULTS = ("none", "burst", "member-killed", "leader-killed", "member-frozen", "all-restarted", "region-cut",
          "replaced", "bad-input")  # fmt: skip


@dataclass
class Change:
    """One change of the shared configuration: when it was asked for and acknowledged."""

    version: int
    asked_at: float
    done_at: float


@dataclass
class Sample:
    """Figures of one second."""

    at: float
    members: dict[str, float]  # processor seconds used so far
    figures: dict[str, Any]


@dataclass
class Run:
    """A run under way."""

    fleet: ScaleFleet
    rng: random.Random
    fault: str
    untimed: bool = False
    changes: list[Change] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    notes: dict[str, Any] = field(default_factory=dict)
    over: threading.Event = field(default_factory=threading.Event)
    status: str = ""
    starts: list[float] = field(default_factory=list)  # when dispatchers began anew or were healed

    def excused(self, change: Change, at: float) -> bool:
        """Whether a dispatcher applied a change at its own start, or at the end of a cut, which came after
        the change; that is judged by how long the start or the return took."""
        return any(change.done_at < start <= at for start in self.starts)

    # -- watching

    def watch(self) -> None:
        """Take a sample a second, and show it on a terminal; end all where memory grows too large."""
        while not self.over.wait(1.0):
            if self.memory_mb() > MOST_MEMORY_MB:
                self.broken.append(f"all processes together use over {MOST_MEMORY_MB:.0f} MB")
                self.fleet.end()
                return
            members = {}
            for name, pid in self.fleet.pids().items():
                with contextlib.suppress(OSError):
                    members[name] = cpu(pid)
            self.samples.append(Sample(time.monotonic(), members, self.fleet.figures()))
            if sys.stderr.isatty():
                said = self.samples[-1].figures
                line = f"{self.status}: {said.get('current')} of {said.get('dispatchers')} current"
                print(f"\r{line:78}", end="", file=sys.stderr, flush=True)

    def memory_mb(self) -> float:
        """Resident memory of all that was started."""
        pids = [*self.fleet.pids().values(), *(host.process.pid for host in self.fleet.hosts)]
        total = 0.0
        for pid in pids:
            with contextlib.suppress(OSError):
                total += memory_mb(pid)
        return total

    def load(self, since: float, until: float) -> dict[str, float]:
        """Each member's processor time as a share of a core, between two times."""
        inside = [s for s in self.samples if since <= s.at <= until]
        if len(inside) < 2:
            return {}
        first, last = inside[0], inside[-1]
        return {
            name: (last.members[name] - first.members[name]) / (last.at - first.at)
            for name in first.members
            if name in last.members and last.members[name] >= first.members[name]
        }

    def bytes_per_dispatcher(self, since: float, until: float) -> float:
        """Bytes a second in and out, of one dispatcher."""
        inside = [s for s in self.samples if since <= s.at <= until and s.figures]
        if len(inside) < 2:
            return 0.0
        first, last = inside[0], inside[-1]
        moved = sum(last.figures[key] - first.figures[key] for key in ("received", "sent"))
        return float(moved / (last.at - first.at) / last.figures["dispatchers"])

    def hollow_cpu(self, since: float, until: float) -> float:
        """Processor time of one dispatcher's control-plane client, as a share of a core."""
        inside = [s for s in self.samples if since <= s.at <= until and s.figures]
        if len(inside) < 2:
            return 0.0
        first, last = inside[0], inside[-1]
        used = last.figures["cpu_s"] - first.figures["cpu_s"]
        return float(used / (last.at - first.at) / last.figures["dispatchers"])

    # -- steps

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        time.sleep(seconds)

    def change(self) -> None:
        """Make the next version of the shared configuration, at whichever member takes it."""
        asked = time.monotonic()
        text = configuration(len(self.changes) + 1)
        while True:
            try:
                with contextlib.closing(self.fleet.cluster.store_client(2.0)) as store:
                    version = publish_config(store, text)
                break
            except Failed as error:
                if time.monotonic() > asked + CHANGE_WITHIN:
                    self.broken.append(f"no member took a change within {CHANGE_WITHIN:g} s: {error}")
                    return
        self.changes.append(Change(version, asked, time.monotonic()))

    def change_every(self, gap: float, count: int) -> None:
        """So many changes, so far apart."""
        for _ in range(count):
            begun = time.monotonic()
            self.change()
            time.sleep(max(0.0, begun + gap - time.monotonic()))

    def leader(self) -> str:
        """The name of the leader."""
        return self.fleet.cluster.leader()

    def follower(self) -> str:
        """The name of some other member."""
        lead = self.leader()
        return self.rng.choice(sorted(set(self.fleet.cluster.all) - {lead}))

    def names_announced(self) -> list[str]:
        """The names of all observers, as often as members announce them."""
        with contextlib.closing(self.fleet.cluster.store_client(10.0)) as store:
            rows = store.ask("range", prefix=OBSERVERS, most=100)["documents"]
        found = []
        for row in rows:
            found += [entry.name for entry in read_presence(base64.b64decode(row["value"]))]
        return found

    def await_presence(self, names: set[str], within: float) -> None:
        """Wait until just these are announced, each once, and all dispatchers count them so."""
        begun = time.monotonic()
        found: list[str] = []
        total = len(names) + len(self.fleet.cluster.all)
        while time.monotonic() < begun + within:
            found = self.names_announced()
            if sorted(found) == sorted(names) and self.fleet.figures()["instances"] == [total]:
                self.notes["presence_right_s"] = round(time.monotonic() - begun, 1)
                return
            time.sleep(0.2)
        extra, missing = len(found) - len(set(found)), len(names - set(found))
        counts = self.fleet.figures()["instances"]
        self.broken.append(
            f"presence is not right {within:g} s later: {missing} missing, {extra} twice, "
            f"{len(set(found) - names)} too many; {total} expected, dispatchers count {counts}"
        )


def configuration(number: int) -> bytes:
    """A text of the shared configuration that differs with each number."""
    rows = [
        {"name": f"w{n}", "address": f"127.0.0.1:{20_000 + n}", "slots": 4 + (n + number) % 3}
        for n in range(16)
    ]
    return json.dumps({"settings": settings(), "workers": rows}).encode()


# -- scripts, one a fault


def steady(run: Run, seconds: float) -> None:
    """No fault: changes ten times as often as the plan's, over the whole time."""
    gap = 0.1 / DAY_RATE
    run.change_every(gap, max(2, int(seconds / gap)))


def burst(run: Run, seconds: float) -> None:
    """Sixty changes in a minute."""
    run.change_every(1.0, max(10, min(60, int(seconds))))


def kill_and_restart(run: Run, name: str, seconds: float) -> None:
    """A member is killed, and started again at the end; changes before, meanwhile and after."""
    run.change_every(2.0, 2)
    run.fleet.cluster.all[name].kill()
    run.notes["killed"] = name
    run.change_every(2.0, max(3, int(seconds / 4)))
    run.fleet.cluster.all[name].start()
    run.change_every(2.0, max(3, int(seconds / 4)))


def member_killed(run: Run, seconds: float) -> None:
    """A follower is killed."""
    kill_and_restart(run, run.follower(), seconds)


def leader_killed(run: Run, seconds: float) -> None:
    """The leader is killed."""
    kill_and_restart(run, run.leader(), seconds)


def member_frozen(run: Run, seconds: float) -> None:
    """A member is stopped for 10 s, and wakes."""
    name = run.follower()
    process = run.fleet.cluster.all[name].process
    assert process is not None
    run.change_every(2.0, 2)
    process.send_signal(signal.SIGSTOP)
    run.notes["frozen"] = name
    begun = time.monotonic()
    while time.monotonic() < begun + 10.0:
        run.change_every(2.0, 1)
    process.send_signal(signal.SIGCONT)
    run.change_every(2.0, max(3, int(seconds / 4)))


def all_restarted(run: Run, seconds: float) -> None:
    """All dispatchers begin anew at once."""
    run.change_every(2.0, 2)
    before = run.samples[-1].figures
    begun = time.monotonic()
    run.starts.append(begun)
    used = {name: cpu(pid) for name, pid in run.fleet.pids().items()}
    took = run.fleet.restart()
    run.notes["all_current_s"] = round(took, 1)
    spent = {name: cpu(pid) - used[name] for name, pid in run.fleet.pids().items()}
    run.notes["members_cpu_s_of_restart"] = {name: round(s, 2) for name, s in spent.items()}
    if not run.untimed and took > run.fleet.dispatchers / MOST_SNAPSHOTS_PER_S + RESTART_MARGIN:
        run.broken.append(f"all dispatchers were current only {took:.1f} s after a restart of all")
    moved = run.fleet.figures()["received"] - before["received"]
    run.notes["bytes_to_restart_each"] = round(moved / run.fleet.dispatchers)
    run.change_every(2.0, max(3, int(seconds / 4)))


def replaced(run: Run, seconds: float) -> None:
    """Three in ten dispatchers are replaced while changes are made: half of them by new names."""
    names = {name for host in run.fleet.hosts for name in host.options.names}
    run.change_every(1.0, 2)
    run.starts.append(time.monotonic())
    for number, host in enumerate(run.fleet.hosts):
        own = host.options.names
        chosen = run.rng.sample(range(len(own)), max(1, round(0.3 * len(own))))
        new = {}
        for turn, place in enumerate(chosen):
            new[str(place)] = own[place] if turn % 2 else f"n{number}-{place:04d}"
            names = (names - {own[place]}) | {new[str(place)]}
        host.command(do="replace", names=new)
    run.change_every(1.0, max(3, int(seconds / 6)))
    run.await_presence(names, LEASE)
    run.change_every(2.0, 2)


def region_cut(run: Run, seconds: float) -> None:
    """One region cannot reach any member for a while; then it can again. See `links`."""
    links: list[subprocess.Popen[str]] = run.notes.pop("links")
    run.change_every(2.0, 2)
    for link in links:
        _say(link, "cut")
    run.notes["cut_s"] = max(8.0, seconds / 3)
    begun = time.monotonic()
    during = []
    while time.monotonic() < begun + run.notes["cut_s"]:
        run.change_every(2.0, 1)
        during.append(run.changes[-1].version)
    run.notes["oldest_while_cut_ms"] = round(run.fleet.figures()["oldest_ms"])
    for link in links:
        _say(link, "heal")
    healed = time.monotonic()
    run.starts.append(healed)
    run.change_every(2.0, max(3, int(seconds / 4)))
    last = f"version {during[-1]}"
    late = [at - healed for at in run.fleet.times(last) if at > healed]
    run.notes["caught_up_after_heal_s"] = round(max(late, default=0.0), 2)
    if not late:
        run.broken.append("nobody was cut off")
    elif max(late) > IN_FORCE_WITHIN:
        run.broken.append(f"the region had caught up {max(late):.1f} s after the cut only")


def bad_input_script(run: Run, seconds: float) -> None:
    """Malformed and hostile clients at one member's port for observers."""
    run.change_every(2.0, 2)
    name = run.follower()
    host, port = run.fleet.addresses[name]
    before = run.load(time.monotonic() - 4.0, time.monotonic())
    cases = bad_input.play(host, port)
    run.notes["bad_input"] = cases
    for what, case in cases.items():
        if case["ended_s"] is None or case["ended_s"] > 3.0:
            run.broken.append(f"{what}: not ended within 3 s")
    run.notes["member_before"] = before.get(name)
    run.change_every(2.0, max(3, int(seconds / 4)))


SCRIPTS: dict[str, Callable[[Run, float], None]] = {
    "none": steady, "burst": burst, "member-killed": member_killed, "leader-killed": leader_killed,
    "member-frozen": member_frozen, "all-restarted": all_restarted, "region-cut": region_cut,
    "replaced": replaced, "bad-input": bad_input_script,
}  # fmt: skip


# -- judging


def judge_changes(run: Run) -> dict[str, Any]:
    """Each change must be in force everywhere in time; a later version in force stands for an earlier one.
    Times are from the acknowledgement (`ack`) and from when the change was asked for (`ask`)."""
    since_ask: list[float] = []
    since_ack: list[float] = []
    slowest: list[float] = []
    seen = {change.version: run.fleet.times(f"version {change.version}") for change in run.changes}
    for place, change in enumerate(run.changes):
        reached = max(len(seen[later.version]) for later in run.changes[place:])
        if reached < run.fleet.dispatchers:
            run.broken.append(f"version {change.version} is in force at {reached} of {run.fleet.dispatchers}")
        prompt = [at for at in seen[change.version] if not run.excused(change, at)]
        late = [at for at in prompt if at > change.done_at + IN_FORCE_WITHIN]
        if late and not run.untimed:
            took = max(late) - change.done_at
            run.broken.append(f"version {change.version} came into force after {took:.1f} s at {len(late)}")
        since_ask += [at - change.asked_at for at in prompt]
        since_ack += [max(0.0, at - change.done_at) for at in prompt]
        if prompt:
            slowest.append(max(prompt) - change.asked_at)
    versions = run.fleet.figures()["versions"]
    if run.changes and versions != [run.changes[-1].version]:
        run.broken.append(f"versions {versions} are in force at the end")
    return {
        "changes": len(run.changes),
        "ask_p50_ms": round(percentile(since_ask, 0.5) * 1000.0, 1),
        "ask_p99_ms": round(percentile(since_ask, 0.99) * 1000.0, 1),
        "ask_max_ms": round(max(since_ask, default=0.0) * 1000.0, 1),
        "ack_p99_ms": round(percentile(since_ack, 0.99) * 1000.0, 1),
        "ack_max_ms": round(max(since_ack, default=0.0) * 1000.0, 1),
        "everywhere_median_ms": round(statistics.median(slowest) * 1000.0, 1) if slowest else 0.0,
    }


def judge(run: Run, steady_since: float, steady_until: float) -> dict[str, Any]:
    """Check what must hold in any run, and collect its figures."""
    lags = [lag for host in run.fleet.hosts for lag in host.lags]
    lag = percentile(lags, 0.99)
    for host in run.fleet.hosts:
        run.broken += [f"{said['went_back']} went back a revision" for said in host.went_back]
    if run.fault != "replaced" and run.fleet.figures().get("fenced"):
        run.broken.append("a dispatcher was fenced")
    if run.untimed:
        return {"void": False, "lag_p99_ms": round(lag, 1)}
    moved = run.bytes_per_dispatcher(steady_since, steady_until)
    share = run.hollow_cpu(steady_since, steady_until)
    if moved > BYTES_LIMIT:
        run.broken.append(f"{moved:.0f} bytes a second at a dispatcher")
    if share > CPU_LIMIT:
        run.broken.append(f"{100 * share:.2f}% of a core for the control of a dispatcher")
    steady_load = run.load(steady_since, steady_until)
    over = members_over(run, steady_load)
    run.broken += over
    memory = {name: round(memory_mb(pid), 1) for name, pid in run.fleet.pids().items()}
    hollow = [memory_mb(host.process.pid) for host in run.fleet.hosts]
    return {
        "void": lag > LAG_LIMIT,
        "lag_p99_ms": round(lag, 1),
        "bytes_per_s": round(moved, 1),
        "control_share": round(share, 5),
        "hollow_memory_mb_each": round(sum(hollow) / run.fleet.dispatchers, 2),
        "members_share": {name: round(value, 4) for name, value in steady_load.items()},
        "members_memory_mb": memory,
    }


def members_over(run: Run, steady_load: dict[str, float]) -> list[str]:
    """Members that used over twice what the busiest one uses steadily, for over five seconds on end. A
    restart of all dispatchers is bounded by the rate of admission instead, and told with its own figures."""
    if run.fault in ("all-restarted", "burst") or not steady_load:
        return []
    limit = STEADY_FACTOR * max(*steady_load.values(), 0.02)
    found = []
    for name in steady_load:
        row, most = 0, 0
        for before, after in zip(run.samples, run.samples[1:], strict=False):
            used = after.members.get(name, 0.0) - before.members.get(name, 0.0)
            row = row + 1 if used / (after.at - before.at) > limit else 0
            most = max(most, row)
        if most > STEADY_SECONDS:
            found.append(f"{name} used over {100 * limit:.1f}% of a core for {most} s")
    return found


# -- the whole


def _say(link: subprocess.Popen[str], word: str) -> None:
    assert link.stdin is not None
    link.stdin.write(word + "\n")
    link.stdin.flush()


def play(
    dispatchers: int, seed: int, fault: str, seconds: float, members: int, untimed: bool = False
) -> dict[str, Any]:
    """One run; its result. `broken` names the promises that did not hold; `untimed`: of those that name no
    time."""
    rng = random.Random(f"{seed} {fault}")
    with tempfile.TemporaryDirectory() as folder:
        fleet = ScaleFleet(Path(folder), dispatchers, members, seed)
        run = Run(fleet, rng, fault, untimed)
        watcher = threading.Thread(target=run.watch, daemon=True)
        try:
            fleet.cluster.start()
            with contextlib.ExitStack() as stack:
                routes: dict[str, dict[str, tuple[str, int]]] = {}
                if fault == "region-cut":
                    started, routes = start_links(fleet)
                    for link in started:
                        stack.callback(end_link, link)
                    run.notes["links"] = started
                fleet.start_hollow(routes)
                run.status = "starting"
                watcher.start()
                run.notes["first_start_s"] = round(fleet.wait_current(), 1)
                fleet.wait_current(30.0, dispatchers + members)
                time.sleep(3.0)  # what the start has cost is over
                since = time.monotonic()
                run.status = "steady"
                time.sleep(8.0)
                until = time.monotonic()
                run.status = fault
                SCRIPTS[fault](run, seconds)
                run.status = "settling"
                time.sleep(IN_FORCE_WITHIN if run.fault != "none" else 2.0)
                fleet.wait_current(30.0)
                if run.fault == "burst":
                    since, until = run.changes[0].asked_at, run.changes[-1].done_at
                figures = {**judge_changes(run), **judge(run, since, until)}
        finally:
            run.over.set()
            fleet.end()
    return {
        "dispatchers": dispatchers, "members": members, "seed": seed, "fault": fault, **figures,
        **run.notes, "broken": run.broken,
    }  # fmt: skip


def start_links(
    fleet: ScaleFleet,
) -> tuple[list[subprocess.Popen[str]], dict[str, dict[str, tuple[str, int]]]]:
    """Forwarders between the dispatchers of the first region and each member, and their addresses."""
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
    """End a forwarder."""
    link.kill()
    link.wait()
