"""Measures whether the memory that the decisions hold grows with the jobs that have ended.

    python -m benchmarks.growth [--jobs 8000] [--seed 1] [--reporting none|answers|probes|ratings] [--rejects]
                                [--list-changes]

Prints one JSON object: the memory held after the first and after the second half of the jobs, and the growth
in bytes for each job. Exit code 1 where it has grown by more than the noise of the measurement.
"""

from __future__ import annotations

import argparse
import json
import sys

from benchmarks.growth.decisions import Reporting, Scenario, measure
from benchmarks.growth.trend import find_trend


def main() -> int:
    """Run the scenario of the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.growth")
    parser.add_argument("--jobs", type=int, default=8000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reporting", choices=[kind.value for kind in Reporting], default="none")
    parser.add_argument("--rejects", action="store_true")
    parser.add_argument("--list-changes", action="store_true")
    arguments = parser.parse_args()
    scenario = Scenario(
        Reporting(arguments.reporting), arguments.rejects, arguments.list_changes, arguments.seed
    )
    trend = find_trend(measure(scenario, arguments.jobs))
    print(
        json.dumps({
            "jobs": arguments.jobs, "seed": arguments.seed, "reporting": arguments.reporting,
            "rejects": arguments.rejects, "list_changes": arguments.list_changes,
            "held_bytes": [round(trend.first_half), round(trend.second_half)],
            "noise_bytes": round(trend.noise),
            "bytes_per_job": round(trend.bytes_per_job, 2), "grows": trend.grows,
        })
    )  # fmt: skip
    return int(trend.grows)


if __name__ == "__main__":
    sys.exit(main())
