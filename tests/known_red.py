"""Faults that are known and not mended yet, by `KNOWN-RED.txt` at the root.

A line each: `what | seed | seen | issue`.

`what` shows the fault: a test's node id, `python -m MODULE ...`, or `not in CI: COMMAND` for one that needs
programs which CI does not have. The tests among them are expected to fail; one that passes has to leave the
file."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
NOT_IN_CI = "not in CI: "
MODULE = re.compile(r"python -m ([\w.]+)(?: .*)?")
SEED = re.compile(r"seed \d+(, \d+)*")
NO_SEED = "no seed"
ISSUE = re.compile(r"issue \d+")
LONGEST = 400  # characters of a line


class BadKnownRed(ValueError):
    """The file names a test or a command that is not there, or says too little of one."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One line. `what` is a node id of pytest, or a command."""

    what: str
    seed: str
    seen: str
    issue: str

    @property
    def test(self) -> str | None:
        """The node id of a test, None for a command."""
        return self.what if "::" in self.what else None


def read(text: str) -> list[KnownRed]:
    """Raises `BadKnownRed`."""
    return [_read_line(line) for line in filter(None, map(str.strip, text.splitlines()))]


def load() -> list[KnownRed]:
    """What the file says; nothing where there is none. Raises `BadKnownRed`."""
    return read(FILE.read_text()) if FILE.exists() else []


def _read_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 4 or not all(parts):
        raise BadKnownRed(f"KNOWN-RED.txt: {line!r}; `what | seed | seen | issue` is expected")
    if len(line) > LONGEST:
        raise BadKnownRed(f"KNOWN-RED.txt: {line!r} has over {LONGEST} characters")
    known = KnownRed(*parts)
    if not ISSUE.fullmatch(known.issue):
        raise BadKnownRed(f"KNOWN-RED.txt: {known.issue!r}; `issue N` is expected")
    if known.seed != NO_SEED and not SEED.fullmatch(known.seed):
        raise BadKnownRed(f"KNOWN-RED.txt: {known.seed!r}; `seed N` or `{NO_SEED}` is expected")
    if _takes_seed(known) and known.seed == NO_SEED:
        raise BadKnownRed(f"KNOWN-RED.txt: {known.what!r} takes a seed")
    return known


def _takes_seed(known: KnownRed) -> bool:
    """Whether the fault's test or command, which has to be there, plays by a seed."""
    if known.test is not None:
        file, _, name = known.test.partition("::")
        path = ROOT / file
        if not path.is_file() or f"def {name.rpartition('::')[2]}(" not in path.read_text():
            raise BadKnownRed(f"KNOWN-RED.txt: there is no test {known.test}")
        return False
    if known.what.startswith(NOT_IN_CI):
        for word in known.what.split():
            if word.startswith("deploy/") and not (ROOT / word).is_file():
                raise BadKnownRed(f"KNOWN-RED.txt: there is no file {word}")
        return True
    command = MODULE.fullmatch(known.what)
    if command is None:
        raise BadKnownRed(f"KNOWN-RED.txt: {known.what!r} is no test and no command")
    path = ROOT / command[1].replace(".", "/")
    sources = [p for p in (path.with_suffix(".py"), path / "__main__.py") if p.is_file()]
    if not sources:
        raise BadKnownRed(f"KNOWN-RED.txt: there is no module {command[1]}")
    package = path.glob("*.py") if path.is_dir() else sources
    return any('"--seed' in source.read_text() for source in package)
