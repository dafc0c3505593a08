"""The figures of docs/CAPACITY.md, from a kept run of `slopes` and `run`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from benchmarks.scale.measurement import Run, Series

BEGIN = "<!-- figures: python -m benchmarks.scale page --from docs/capacity/run.json -->"
END = "<!-- end of figures -->"

# The operators' plan.
WORKERS, RUNNING = 1000, 13_000
STARTS_PER_SECOND = 570.0
CHANGES_PER_DAY, REPLACED_PER_DAY = 840, 230
CPU_BUDGET, BYTES_BUDGET, MEMORY_BUDGET = 0.017, 12_000.0, 256
FLEETS = (50, 200, 1000)  # the plan does not say how many dispatchers there are
DAY = 86_400.0

CONFIGURATION_BYTES = 4_000  # of the shared text; an assumption


@dataclass(slots=True)
class Row:
    """One cost of one role: how it is worked out, and its value for each of `FLEETS`."""

    role: str
    cost: str
    formula: str
    value: Callable[[float], str]
    budget: str
    mechanism: str


def percent(share: float) -> str:
    """A share of a core."""
    return f"{100 * max(0.0, share):.2f}%"


def count(value: float) -> str:
    """A number with three digits."""
    if value == 0 or not np.isfinite(value):
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def interpolated(series: Series, size: float) -> float:
    """The value at a size, between the two measured sizes beside it."""
    medians = [float(np.median(values)) for values in series.values]
    return float(np.interp(size, series.sizes, medians))


def rows(run: Run) -> list[Row]:
    """The costs of the roles at the plan's size."""
    return [*request_path(run), *control_plane(run), *members(run)]


def request_path(run: Run) -> list[Row]:
    """A dispatcher as it serves requests."""
    path, listing = "dispatcher, request path", "dispatcher, list of workers"
    decided = run.get("decisions.instances.start_ms")
    opened = run.get("decisions.instances.opened")
    memory = run.get("decisions.instances.memory_mb")
    job = interpolated(run.get("network.job_ms"), 1.0)
    list_bytes = interpolated(run.get("membership.list_bytes"), WORKERS)
    list_ms = interpolated(run.get("membership.list_ms"), WORKERS)
    change_ms = interpolated(run.get("membership.change_ms"), WORKERS)
    zone_ms = interpolated(run.get("membership.zone_ms"), WORKERS)

    def share(d: float) -> str:
        return percent(STARTS_PER_SECOND / d * (interpolated(decided, d) + job) / 1000.0)

    def opens(d: float) -> str:
        return count(STARTS_PER_SECOND / d * interpolated(opened, d))

    return [
        Row(path, "state: workers; running attempts", f"{WORKERS:,}; {RUNNING:,} / D",
            lambda d: f"{WORKERS:,}; {RUNNING / d:,.0f}", "", "`core`, `decide`"),
        Row(path, "memory of the decisions", "decisions.instances.memory_mb",
            lambda d: f"{interpolated(memory, d):.1f} MB", f"{MEMORY_BUDGET} MB", "`decide`"),
        Row(path, "starts a second at the peak", "570 / D",
            lambda d: count(STARTS_PER_SECOND / d), "", ""),
        Row(path, "processor at the peak", f"570 / D x (decisions.instances.start_ms + {job:.2f} ms a job)",
            share, "a core", "`decide`, `net`"),
        Row(path, "connections opened a second", "570 / D x decisions.instances.opened",
            opens, "1,024 at once", "`net/workers`"),
        Row(listing, "a whole list", f"membership.list_bytes, list_ms at {WORKERS:,}",
            lambda d: f"{list_bytes / 1000:.0f} KB, {list_ms:.1f} ms", "1 MiB", "`net/discovery`"),
        Row(listing, "230 replacements a day", "230 x 2 x membership.change_ms",
            lambda d: f"{2 * REPLACED_PER_DAY * change_ms:.0f} ms a day", "", "`net/discovery`"),
        Row(listing, "a zone of 100 returns", "membership.zone_ms",
            lambda d: f"{zone_ms:.1f} ms", "", "`net/discovery`"),
    ]  # fmt: skip


def control_plane(run: Run) -> list[Row]:
    """A dispatcher as a client of the control plane."""
    role = "dispatcher, control plane"
    client = run.get("observers.client_share")
    moved = run.get("observers.client_bytes_per_s")
    restart = run.get("observers.restart_s")
    changes = CHANGES_PER_DAY / DAY

    def traffic(d: float) -> str:
        return count(interpolated(moved, d) + changes * CONFIGURATION_BYTES)

    return [
        Row(role, "messages a second", "a ping and its answer, and two a change",
            lambda d: f"{2 + 2 * changes:.2f}", "", "`fleet/observer`"),
        Row(role, "processor", "observers.client_share",
            lambda d: percent(interpolated(client, d)), percent(CPU_BUDGET), "`fleet/observer`"),
        Row(role, "bytes a second",
            f"observers.client_bytes_per_s + 840 a day x {CONFIGURATION_BYTES:,}", traffic,
            f"{BYTES_BUDGET:,.0f}", "`fleet/subscription`"),
        Row("all dispatchers", "begin at once, until all are current", "observers.restart_s",
            lambda d: f"{interpolated(restart, d):.1f} s", "", "`store/admission`"),
    ]  # fmt: skip


def members(run: Run) -> list[Row]:
    """The members of the store, three of them."""
    leader, follower = run.get("observers.leader_share"), run.get("observers.follower_share")
    memory, commit = run.get("observers.memory_mb"), run.get("commits.leader_ms")
    log = run.get("commits.log_bytes")
    commit_ms = interpolated(commit, commit.sizes[-1])
    return [
        Row("voter", "observers, of D", "D / 3, by rendezvous hashing",
            lambda d: count(d / 3), "1,000, `observers.limit`", "`fleet/member_choice`"),
        Row("voter that leads", "processor", "observers.leader_share",
            lambda d: percent(interpolated(leader, d)), "a core", "`store/raft`, `store/observer_server`"),
        Row("voter that follows, standby", "processor", "observers.follower_share",
            lambda d: percent(interpolated(follower, d)), "a core", "`store/observer_server`"),
        Row("voter", "memory", "observers.memory_mb",
            lambda d: f"{interpolated(memory, d):.0f} MB", f"{MEMORY_BUDGET} MB", "`store`"),
        Row("voter that leads", "840 changes a day", "840 x commits.leader_ms",
            lambda d: f"{CHANGES_PER_DAY * commit_ms / 1000:.1f} s a day", "", "`store/raft`"),
        Row("voter", "log on disk", "commits.log_bytes, after the last series",
            lambda d: f"{interpolated(log, log.sizes[-1]) / 1e6:.1f} MB", "", "`durable`"),
        Row("operator's command", "all", "not a slope", lambda d: "not run", "", "`cli`"),
        Row("owner of a durable ledger", "all", "see `benchmarks.durable`",
            lambda d: "not run", "", "`jobs`"),
    ]  # fmt: skip


def role_table(run: Run) -> list[str]:
    """The table of roles."""
    head = " | ".join(f"D = {d:,}" for d in FLEETS)
    lines = [f"| role | cost | worked out as | {head} | budget | carried by |"]
    lines.append("| --- | --- | --- | " + "--- | " * len(FLEETS) + "--- | --- |")
    for row in rows(run):
        values = " | ".join(row.value(d) for d in FLEETS)
        lines.append(
            f"| {row.role} | {row.cost} | {row.formula} | {values} | {row.budget or '-'} | "
            f"{row.mechanism or '-'} |"
        )
    return lines


def slope_table(run: Run) -> list[str]:
    """The table of slopes."""
    lines = ["| series | against | medians | slope for 1,000 more (lowest to highest of the repeats) |"]
    lines.append("| --- | --- | --- | --- |")
    for series in run.series:
        medians = [float(np.median(values)) for values in series.values]
        points = ", ".join(f"{size:g}: {count(m)}" for size, m in zip(series.sizes, medians, strict=True))
        slope = "-"
        if len(series.sizes) > 1:
            low, high = count(1000 * series.slope_low), count(1000 * series.slope_high)
            slope = f"{count(1000 * series.slope)} ({low} to {high})"
        unit = f", {series.unit}" if series.unit else ""
        lines.append(f"| {series.name}{unit} | {series.against} | {points} | {slope} |")
    return lines


def scale_table(run: Run) -> list[str]:
    """The table of runs with many dispatchers."""
    lines = ["| fault | D | changes | p50, p99, max from asking (ms) | max from acknowledgement (ms) | "
             "bytes a second | control | members | broken |"]  # fmt: skip
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for said in run.scale:
        lines.append(scale_row(dict(said)))
    return lines


def scale_row(said: dict[str, Any]) -> str:
    """One run."""
    times = f"{said['ask_p50_ms']:.0f}, {said['ask_p99_ms']:.0f}, {said['ask_max_ms']:.0f}"
    members = ", ".join(percent(share) for share in said["members_share"].values())
    broken = "void" if said["void"] else "; ".join(said["broken"]) or "nothing"
    return (
        f"| {said['fault']} | {said['dispatchers']:,} | {said['changes']} | {times} | "
        f"{said['ack_max_ms']:.0f} | {said['bytes_per_s']:.0f} | {percent(said['control_share'])} | "
        f"{members} | {broken} |"
    )


def render(run: Run) -> str:
    """All that stands between the marks of the page."""
    machine = run.machine
    lines = [
        BEGIN,
        "",
        f"Machine: {machine.cores} cores, {machine.memory_gb:g} GB, Python {machine.python}, "
        f"{machine.system}; {run.repeats} repeats of each point.",
        "",
        "### The roles at the plan's size",
        "",
        *role_table(run),
        "",
        "### Runs",
        "",
        *scale_table(run),
        "",
        "### Slopes",
        "",
        *slope_table(run),
        "",
        END,
    ]
    return "\n".join(lines)


def replaced(page: str, run: Run) -> str:
    """The page with its figures as the run has them. Raises `ValueError` where the marks are missing."""
    head, found, rest = page.partition(BEGIN)
    _, ended, tail = rest.partition(END)
    if not found or not ended:
        raise ValueError("the page has no marks for its figures")
    return head + render(run) + tail
