"""Reads `KNOWN-RED.txt` at the root, the list of known faults that are not fixed yet.

There is a line for each: `what | seed | seen | issue`.

`what` shows the fault: a test's node id, `python -m MODULE ...`, or `not in CI: COMMAND` for a command that
needs programs which CI does not have. Listed tests are expected to fail; one that passes must be removed from
the file.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
NOT_IN_CI_PREFIX = "not in CI: "
MODULE_COMMAND = re.compile(r"python -m ([\w.]+)(?: .*)?")
SEED_FIELD = re.compile(r"seed \d+(, \d+)*")
NO_SEED = "no seed"
ISSUE_FIELD = re.compile(r"issue \d+")
MAX_LINE_LENGTH = 400  # characters


class BadKnownRed(ValueError):
    """A line is malformed, or names a test, module or file that does not exist."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One line of the file. `what` is a node id of pytest or a command."""

    what: str
    seed: str
    seen: str
    issue: str

    @property
    def test(self) -> str | None:
        """The node id of the test, or None for a command."""
        return self.what if "::" in self.what else None


def parse(text: str) -> list[KnownRed]:
    """Parse the text of the file. Raises `BadKnownRed`."""
    return [_parse_line(line) for line in filter(None, map(str.strip, text.splitlines()))]


def load() -> list[KnownRed]:
    """Return the lines of the file, none if it does not exist. Raises `BadKnownRed`."""
    return parse(FILE.read_text()) if FILE.exists() else []


def _parse_line(line: str) -> KnownRed:
    """Parse one line. Raises `BadKnownRed`."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 4 or not all(parts):
        raise BadKnownRed(f"KNOWN-RED.txt: {line!r}; `what | seed | seen | issue` is expected")
    if len(line) > MAX_LINE_LENGTH:
        raise BadKnownRed(f"KNOWN-RED.txt: {line!r} has over {MAX_LINE_LENGTH} characters")
    known = KnownRed(*parts)
    if not ISSUE_FIELD.fullmatch(known.issue):
        raise BadKnownRed(f"KNOWN-RED.txt: {known.issue!r}; `issue N` is expected")
    if known.seed != NO_SEED and not SEED_FIELD.fullmatch(known.seed):
        raise BadKnownRed(f"KNOWN-RED.txt: {known.seed!r}; `seed N` or `{NO_SEED}` is expected")
    if _takes_seed(known) and known.seed == NO_SEED:
        raise BadKnownRed(f"KNOWN-RED.txt: {known.what!r} takes a seed")
    return known


def _takes_seed(known: KnownRed) -> bool:
    """Return whether the test or command takes a seed. Raises `BadKnownRed` if it does not exist."""
    if known.test is not None:
        file, _, name = known.test.partition("::")
        path = ROOT / file
        if not path.is_file() or f"def {name.rpartition('::')[2]}(" not in path.read_text():
            raise BadKnownRed(f"KNOWN-RED.txt: there is no test {known.test}")
        return False
    if known.what.startswith(NOT_IN_CI_PREFIX):
        for word in known.what.split():
            if word.startswith("deploy/") and not (ROOT / word).is_file():
                raise BadKnownRed(f"KNOWN-RED.txt: there is no file {word}")
        return True
    command = MODULE_COMMAND.fullmatch(known.what)
    if command is None:
        raise BadKnownRed(f"KNOWN-RED.txt: {known.what!r} is no test and no command")
    path = ROOT / command[1].replace(".", "/")
    sources = [source for source in (path.with_suffix(".py"), path / "__main__.py") if source.is_file()]
    if not sources:
        raise BadKnownRed(f"KNOWN-RED.txt: there is no module {command[1]}")
    module_files = path.glob("*.py") if path.is_dir() else sources
    return any('"--seed' in source.read_text() for source in module_files)
