"""The figures of docs/CAPACITY.md, from a stored run of `slopes` and `run`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from benchmarks.scale.measurement import Run, Series

BEGIN_MARK = "<!-- figures: python -m benchmarks.scale page --from docs/capacity/run.json -->"
END_MARK = "<!-- end of figures -->"

# The operators' plan.
WORKER_COUNT, RUNNING_ATTEMPTS = 1000, 13_000
STARTS_PER_SECOND = 570.0
CHANGES_PER_DAY, REPLACED_PER_DAY = 840, 230
CPU_SHARE_BUDGET, BYTES_PER_SECOND_BUDGET, MEMORY_BUDGET_MB = 0.017, 12_000.0, 256
DISPATCHER_COUNTS = (50, 200, 1000)  # several, as the plan does not say how many dispatchers there are
SECONDS_PER_DAY = 86_400.0

CONFIGURATION_BYTES = 4_000  # assumed size of the shared configuration


@dataclass(slots=True)
class Row:
    """One cost of one role: its formula, and its value for a number of dispatchers."""

    role: str
    cost: str
    formula: str
    value: Callable[[float], str]
    budget: str
    mechanism: str


def format_percent(share: float) -> str:
    """Format a share of a core as a percentage."""
    return f"{100 * max(0.0, share):.2f}%"


def format_number(value: float) -> str:
    """Format a number: from 1,000 on as an integer, below with three significant digits."""
    if value == 0 or not np.isfinite(value):
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def interpolate(series: Series, size: float) -> float:
    """Return the value at a size, interpolated between the medians at the nearest measured sizes."""
    medians = [float(np.median(values)) for values in series.values]
    return float(np.interp(size, series.sizes, medians))


def build_rows(run: Run) -> list[Row]:
    """Return the costs of all roles at the planned size."""
    return [*request_path_rows(run), *control_plane_rows(run), *member_rows(run)]


def request_path_rows(run: Run) -> list[Row]:
    """Return the costs of a dispatcher that serves requests."""
    path, listing = "dispatcher, request path", "dispatcher, list of workers"
    start_ms = run.get("decisions.instances.start_ms")
    opened = run.get("decisions.instances.opened")
    memory = run.get("decisions.instances.memory_mb")
    job_ms = interpolate(run.get("network.job_ms"), 1.0)
    list_bytes = interpolate(run.get("membership.list_bytes"), WORKER_COUNT)
    list_ms = interpolate(run.get("membership.list_ms"), WORKER_COUNT)
    change_ms = interpolate(run.get("membership.change_ms"), WORKER_COUNT)
    zone_ms = interpolate(run.get("membership.zone_ms"), WORKER_COUNT)

    def cpu_share(d: float) -> str:
        return format_percent(STARTS_PER_SECOND / d * (interpolate(start_ms, d) + job_ms) / 1000.0)

    def opened_per_second(d: float) -> str:
        return format_number(STARTS_PER_SECOND / d * interpolate(opened, d))

    return [
        Row(path, "state: workers; running attempts", f"{WORKER_COUNT:,}; {RUNNING_ATTEMPTS:,} / D",
            lambda d: f"{WORKER_COUNT:,}; {RUNNING_ATTEMPTS / d:,.0f}", "", "`core`, `decide`"),
        Row(path, "memory of the decisions", "decisions.instances.memory_mb",
            lambda d: f"{interpolate(memory, d):.1f} MB", f"{MEMORY_BUDGET_MB} MB", "`decide`"),
        Row(path, "starts a second at the peak", "570 / D",
            lambda d: format_number(STARTS_PER_SECOND / d), "", ""),
        Row(path, "processor at the peak",
            f"570 / D x (decisions.instances.start_ms + {job_ms:.2f} ms a job)",
            cpu_share, "a core", "`decide`, `net`"),
        Row(path, "connections opened a second", "570 / D x decisions.instances.opened",
            opened_per_second, "1,024 at once", "`net/workers`"),
        Row(listing, "a whole list", f"membership.list_bytes, list_ms at {WORKER_COUNT:,}",
            lambda d: f"{list_bytes / 1000:.0f} KB, {list_ms:.1f} ms", "1 MiB", "`net/discovery`"),
        Row(listing, "230 replacements a day", "230 x 2 x membership.change_ms",
            lambda d: f"{2 * REPLACED_PER_DAY * change_ms:.0f} ms a day", "", "`net/discovery`"),
        Row(listing, "a zone of 100 returns", "membership.zone_ms",
            lambda d: f"{zone_ms:.1f} ms", "", "`net/discovery`"),
    ]  # fmt: skip


def control_plane_rows(run: Run) -> list[Row]:
    """Return the costs of a dispatcher as a client of the control plane."""
    role = "dispatcher, control plane"
    client = run.get("observers.client_share")
    client_bytes = run.get("observers.client_bytes_per_s")
    restart = run.get("observers.restart_s")
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY

    def traffic(d: float) -> str:
        return format_number(interpolate(client_bytes, d) + changes * CONFIGURATION_BYTES)

    return [
        Row(role, "messages a second", "a ping and its answer, and two a change",
            lambda d: f"{2 + 2 * changes:.2f}", "", "`fleet/observer`"),
        Row(role, "processor", "observers.client_share",
            lambda d: format_percent(interpolate(client, d)), format_percent(CPU_SHARE_BUDGET),
            "`fleet/observer`"),
        Row(role, "bytes a second",
            f"observers.client_bytes_per_s + 840 a day x {CONFIGURATION_BYTES:,}", traffic,
            f"{BYTES_PER_SECOND_BUDGET:,.0f}", "`fleet/subscription`"),
        Row("all dispatchers", "begin at once, until all are current", "observers.restart_s",
            lambda d: f"{interpolate(restart, d):.1f} s", "", "`store/admission`"),
    ]  # fmt: skip


def member_rows(run: Run) -> list[Row]:
    """Return the costs of the three members of the store."""
    leader, follower = run.get("observers.leader_share"), run.get("observers.follower_share")
    memory, commit = run.get("observers.memory_mb"), run.get("commits.leader_ms")
    log = run.get("commits.log_bytes")
    commit_ms = interpolate(commit, commit.sizes[-1])
    return [
        Row("voter", "observers, of D", "D / 3, by rendezvous hashing",
            lambda d: format_number(d / 3), "1,000, `observers.limit`", "`fleet/member_choice`"),
        Row("voter that leads", "processor", "observers.leader_share",
            lambda d: format_percent(interpolate(leader, d)), "a core",
            "`store/raft`, `store/observer_server`"),
        Row("voter that follows, standby", "processor", "observers.follower_share",
            lambda d: format_percent(interpolate(follower, d)), "a core", "`store/observer_server`"),
        Row("voter", "memory", "observers.memory_mb",
            lambda d: f"{interpolate(memory, d):.0f} MB", f"{MEMORY_BUDGET_MB} MB", "`store`"),
        Row("voter that leads", "840 changes a day", "840 x commits.leader_ms",
            lambda d: f"{CHANGES_PER_DAY * commit_ms / 1000:.1f} s a day", "", "`store/raft`"),
        Row("voter", "log on disk", "commits.log_bytes, after the last series",
            lambda d: f"{interpolate(log, log.sizes[-1]) / 1e6:.1f} MB", "", "`durable`"),
        Row("operator's command", "all", "not a slope", lambda d: "not run", "", "`cli`"),
        Row("owner of a durable ledger", "all", "see `benchmarks.durable`",
            lambda d: "not run", "", "`jobs`"),
    ]  # fmt: skip


def format_role_table(run: Run) -> list[str]:
    """Format the table of roles."""
    head = " | ".join(f"D = {d:,}" for d in DISPATCHER_COUNTS)
    lines = [f"| role | cost | worked out as | {head} | budget | carried by |"]
    lines.append("| --- | --- | --- | " + "--- | " * len(DISPATCHER_COUNTS) + "--- | --- |")
    for row in build_rows(run):
        values = " | ".join(row.value(d) for d in DISPATCHER_COUNTS)
        lines.append(
            f"| {row.role} | {row.cost} | {row.formula} | {values} | {row.budget or '-'} | "
            f"{row.mechanism or '-'} |"
        )
    return lines


def format_slope_table(run: Run) -> list[str]:
    """Format the table of slopes."""
    lines = ["| series | against | medians | slope for 1,000 more (lowest to highest of the repeats) |"]
    lines.append("| --- | --- | --- | --- |")
    for series in run.series:
        medians = [float(np.median(values)) for values in series.values]
        points = ", ".join(
            f"{size:g}: {format_number(m)}" for size, m in zip(series.sizes, medians, strict=True)
        )
        slope = "-"
        if len(series.sizes) > 1:
            low, high = format_number(1000 * series.slope_low), format_number(1000 * series.slope_high)
            slope = f"{format_number(1000 * series.slope)} ({low} to {high})"
        unit = f", {series.unit}" if series.unit else ""
        lines.append(f"| {series.name}{unit} | {series.against} | {points} | {slope} |")
    return lines


def format_run_table(run: Run) -> list[str]:
    """Format the table of runs with many dispatchers."""
    lines = ["| fault | D | changes | p50, p99, max from asking (ms) | max from acknowledgement (ms) | "
             "bytes a second | control | members | broken |"]  # fmt: skip
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for result in run.scale:
        lines.append(format_run_row(dict(result)))
    return lines


def format_run_row(result: dict[str, Any]) -> str:
    """Format one run with many dispatchers as a row of the table."""
    times = f"{result['ask_p50_ms']:.0f}, {result['ask_p99_ms']:.0f}, {result['ask_max_ms']:.0f}"
    members = ", ".join(format_percent(share) for share in result["members_share"].values())
    broken = "void" if result["void"] else "; ".join(result["broken"]) or "nothing"
    return (
        f"| {result['fault']} | {result['dispatchers']:,} | {result['changes']} | {times} | "
        f"{result['ack_max_ms']:.0f} | {result['bytes_per_s']:.0f} | "
        f"{format_percent(result['control_share'])} | {members} | {broken} |"
    )


def render_figures(run: Run) -> str:
    """Return the generated section of the page, with the marks around it."""
    machine = run.machine
    lines = [
        BEGIN_MARK,
        "",
        f"Machine: {machine.cores} cores, {machine.memory_gb:g} GB, Python {machine.python}, "
        f"{machine.system}; {run.repeats} repeats of each point.",
        "",
        "### The roles at the plan's size",
        "",
        *format_role_table(run),
        "",
        "### Runs",
        "",
        *format_run_table(run),
        "",
        "### Slopes",
        "",
        *format_slope_table(run),
        "",
        END_MARK,
    ]
    return "\n".join(lines)


def replace_figures(page: str, run: Run) -> str:
    """Return the page with the figures of the run. Raises `ValueError` if the marks are missing."""
    head, found, rest = page.partition(BEGIN_MARK)
    _, ended, tail = rest.partition(END_MARK)
    if not found or not ended:
        raise ValueError("the page has no marks for its figures")
    return head + render_figures(run) + tail
