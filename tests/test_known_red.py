"""Tests of the list of known failures."""

from __future__ import annotations

import pathlib

import pytest

from tests import known_red


def test_causes_are_read_by_test(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text("a::b | the cause | issue 1\n\n")
    assert known_red.read(file) == {"a::b": "the cause"}
    assert known_red.read(tmp_path / "missing") == {}


@pytest.mark.parametrize("line", ["a::b", "a | b", "a | b | c | d", "a |  | c"])
def test_malformed_line_is_named(tmp_path: pathlib.Path, line: str) -> None:
    """Guards against an internal error that ends the whole run."""
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(f"a::b | the cause | issue 1\n{line}\n")
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt, line 2: expected"):
        known_red.read(file)
