"""What `KNOWN-RED.txt` may say."""

from __future__ import annotations

import pytest

from tests.known_red import BadKnownRed, load, read

HERE = "tests/test_known_red.py::test_the_file_itself_is_good"


def test_the_file_itself_is_good() -> None:
    load()


@pytest.mark.parametrize(
    ("text", "why"),
    [
        (f"{HERE} | cause", "is expected"),
        (f"{HERE} | | issue 1", "is expected"),
        ("tests/test_none.py::test_x | cause | issue 1", "there is no test"),
        ("tests/test_known_red.py::test_gone | cause | issue 1", "there is no test"),
        (f"{HERE} | cause | issue 1\n" * 4, "3 at most"),
    ],
)
def test_what_it_may_not_say(text: str, why: str) -> None:
    with pytest.raises(BadKnownRed, match=why):
        read(text)


def test_three_good_lines_are_taken() -> None:
    assert len(read(f"{HERE} | cause | issue 1\n\n" * 3)) == 3
