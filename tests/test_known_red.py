"""The format of `KNOWN-RED.txt`, the list of known faults, and the file itself."""

from __future__ import annotations

import pytest

from tests.known_red import MAX_LINE_LENGTH, BadKnownRed, KnownRed, load, parse

EXISTING_TEST = "tests/test_known_red.py::test_the_file_is_valid"
MODULE_WITH_SEED = "python -m benchmarks.soak"
NOT_IN_CI = "not in CI: program deploy/sites/parcel-yard.toml"


def test_the_file_is_valid() -> None:
    """A line that names a renamed or deleted test would hide that its fault is no longer checked."""
    load()


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (f"{EXISTING_TEST} | no seed | seen", "is expected"),
        (f"{EXISTING_TEST} | no seed | | issue 1", "is expected"),
        (f"{EXISTING_TEST} | | seen | issue 1", "is expected"),
        (f"{EXISTING_TEST} | no seed | seen | 1", "`issue N` is expected"),
        (f"{EXISTING_TEST} | no seed | seen | issue", "`issue N` is expected"),
        (f"{EXISTING_TEST} | 3 | seen | issue 1", "`seed N` or"),
        (f"{EXISTING_TEST} | seed x | seen | issue 1", "`seed N` or"),
        ("tests/test_none.py::test_x | no seed | seen | issue 1", "there is no test"),
        ("tests/test_known_red.py::test_gone | no seed | seen | issue 1", "there is no test"),
        ("python -m benchmarks.gone | seed 1 | seen | issue 1", "there is no module"),
        ("make it fall | seed 1 | seen | issue 1", "no test and no command"),
        (f"{MODULE_WITH_SEED} --seeds 1 | no seed | seen | issue 1", "takes a seed"),
        (f"{NOT_IN_CI} | no seed | seen | issue 1", "takes a seed"),
        ("not in CI: program deploy/sites/none.toml | seed 1 | seen | issue 1", "there is no file"),
        (f"{EXISTING_TEST} | no seed | {'x' * MAX_LINE_LENGTH} | issue 1", "characters"),
    ],
)
def test_an_invalid_line_is_rejected(text: str, error: str) -> None:
    """A fault without a reproducible test or command, a seed or an issue could not be followed up."""
    with pytest.raises(BadKnownRed, match=error):
        parse(text)


def test_any_number_of_valid_lines_is_accepted() -> None:
    """Blank lines between them are ignored."""
    assert len(parse(f"{EXISTING_TEST} | no seed | seen | issue 1\n\n" * 9)) == 9


def test_only_a_test_has_a_node_id() -> None:
    """Only tests are marked as expected failures; a command taken for a test would not be matched."""
    lines = (f"{EXISTING_TEST} | seed 3, 4", f"{MODULE_WITH_SEED} | seed 7", f"{NOT_IN_CI} | seed 8")
    parsed = parse("\n".join(f"{line} | seen | issue 1" for line in lines))
    assert [red.test for red in parsed] == [EXISTING_TEST, None, None]
    assert parsed[1] == KnownRed(MODULE_WITH_SEED, "seed 7", "seen", "issue 1")
