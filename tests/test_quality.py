"""The linters, and the limits that the module keeps."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
DOCUMENTED = ("eiderpin/store", "eiderpin/fleet", "eiderpin/parts/observer.py", "benchmarks/scale")


def run(*command: str) -> None:
    done = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr


def test_ruff() -> None:
    run("ruff", "check", "--no-cache", ".")


def test_the_formatter_would_change_nothing() -> None:
    run("ruff", "format", "--check", "--no-cache", ".")


def test_public_items_say_what_they_are() -> None:
    """Where work has been done since this is asked for; further packages are added as they are touched."""
    run("ruff", "check", "--no-cache", "--select", "D1", *DOCUMENTED)


def test_mypy() -> None:
    run("mypy", "--cache-dir", "/dev/null")


def test_the_module_keeps_its_limits() -> None:
    lines = (ROOT / "eiderpin/decide.py").read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 1200
    assert max(map(len, lines)) <= 110


def test_the_core_holds_without_assertions_too() -> None:
    done = subprocess.run(
        [sys.executable, "-O", "-m", "unittest", "tests.test_core"], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
