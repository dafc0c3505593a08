"""What `KNOWN-RED.txt` may say."""

from __future__ import annotations

import pytest

from tests.known_red import LONGEST, BadKnownRed, KnownRed, load, read

HERE = "tests/test_known_red.py::test_the_file_itself_is_good"
SOAK = "python -m benchmarks.soak"
OUTSIDE = "not in CI: program deploy/sites/parcel-yard.toml"


def test_the_file_itself_is_good() -> None:
    load()


@pytest.mark.parametrize(
    ("text", "why"),
    [
        (f"{HERE} | no seed | seen", "is expected"),
        (f"{HERE} | no seed | | issue 1", "is expected"),
        (f"{HERE} | | seen | issue 1", "is expected"),
        (f"{HERE} | no seed | seen | 1", "`issue N` is expected"),
        (f"{HERE} | no seed | seen | issue", "`issue N` is expected"),
        (f"{HERE} | 3 | seen | issue 1", "`seed N` or"),
        (f"{HERE} | seed x | seen | issue 1", "`seed N` or"),
        ("tests/test_none.py::test_x | no seed | seen | issue 1", "there is no test"),
        ("tests/test_known_red.py::test_gone | no seed | seen | issue 1", "there is no test"),
        ("python -m benchmarks.gone | seed 1 | seen | issue 1", "there is no module"),
        ("make it fall | seed 1 | seen | issue 1", "no test and no command"),
        (f"{SOAK} --seeds 1 | no seed | seen | issue 1", "takes a seed"),
        (f"{OUTSIDE} | no seed | seen | issue 1", "takes a seed"),
        ("not in CI: program deploy/sites/none.toml | seed 1 | seen | issue 1", "there is no file"),
        (f"{HERE} | no seed | {'x' * LONGEST} | issue 1", "characters"),
    ],
)
def test_what_it_may_not_say(text: str, why: str) -> None:
    with pytest.raises(BadKnownRed, match=why):
        read(text)


def test_any_number_of_good_lines_is_taken() -> None:
    assert len(read(f"{HERE} | no seed | seen | issue 1\n\n" * 9)) == 9


def test_a_test_is_told_from_commands() -> None:
    lines = (f"{HERE} | seed 3, 4", f"{SOAK} | seed 7", f"{OUTSIDE} | seed 8")
    found = read("\n".join(f"{line} | seen | issue 1" for line in lines))
    assert [red.test for red in found] == [HERE, None, None]
    assert found[1] == KnownRed(SOAK, "seed 7", "seen", "issue 1")
