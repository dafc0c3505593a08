"""The library example in README.md runs without changes."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

from eiderpin import explain


def test_the_library_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    """A change of the library interface must not leave an example that fails or prints other fields."""
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    scope: dict[str, Any] = {}
    exec(example, scope)
    printed = capsys.readouterr().out
    assert scope["sent"].worker in ("w0", "w1", "w2")
    assert "'height'" in printed
    assert "'may_refuse': True" in printed
    assert explain.request(scope["dispatcher"], 1) == {"open": False}
    assert explain.worker(scope["dispatcher"], "nobody") == {"known": False}
