"""Linters, type checks and size limits of the source."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DOCUMENTED_PATHS = (
    "eiderpin/decide.py",
    "eiderpin/explain.py",
    "eiderpin/policy",
    "eiderpin/store",
    "eiderpin/fleet",
    "eiderpin/parts/observer.py",
    "benchmarks/scale",
    "benchmarks/soak",
)
# Statements of eiderpin/decide.py without docstrings. The file may only shrink: the limit is lowered with it
# and never raised.
DECIDE_STATEMENTS_MAX = 968


def run_module(*command: str) -> None:
    """Run `python -m` with these arguments; its exit code must be 0."""
    done = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr


def test_ruff_finds_nothing() -> None:
    """A fault that the linter knows must not be merged."""
    run_module("ruff", "check", "--no-cache", ".")


def test_the_formatter_would_change_nothing() -> None:
    """Unformatted code makes the next formatted change larger than it is."""
    run_module("ruff", "format", "--check", "--no-cache", ".")


def test_public_items_have_docstrings() -> None:
    """Undocumented items must not be added. Further packages are listed as their docstrings are completed."""
    run_module("ruff", "check", "--no-cache", "--select", "D1", *DOCUMENTED_PATHS)


def test_mypy_finds_nothing() -> None:
    """A type error must not be merged."""
    run_module("mypy", "--cache-dir", "/dev/null")


def count_statements(source: str) -> int:
    """Return the number of a module's statements at every depth, without docstrings."""
    nodes = list(ast.walk(ast.parse(source)))
    documentable = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    docstrings = sum(
        isinstance(node, documentable) and ast.get_docstring(node, clean=False) is not None for node in nodes
    )
    return sum(isinstance(node, ast.stmt) for node in nodes) - docstrings


def test_modules_of_the_decisions_keep_their_size_limits() -> None:
    """New decisions go to modules of their own, listed as `policy`, so that none grows too large to read."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        policy = tomllib.load(file)["policy"]
    assert "eiderpin/decide.py" in policy
    for name in policy:
        source = (ROOT / name).read_text()
        lines = source.splitlines()
        if name == "eiderpin/decide.py":
            assert count_statements(source) <= DECIDE_STATEMENTS_MAX, name
        else:
            assert len([line for line in lines if line.strip()]) <= 500, name
        assert max(map(len, lines)) <= 110, name


def test_the_core_passes_its_tests_without_assertions() -> None:
    """The program runs with -O, which drops assertions: none may have an effect that is needed."""
    done = subprocess.run(
        [sys.executable, "-O", "-m", "unittest", "tests.test_core"], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
