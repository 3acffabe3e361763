"""The list of tests that fail because of a known fault."""

from __future__ import annotations

import pathlib

FILE = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
"""One test per line, written as `test | cause | issue`."""

_PARTS = 3


def read(file: pathlib.Path) -> dict[str, str]:
    """Returns the cause of each listed test; empty if there is no file.

    Raises:
      ValueError: if a line has another number of parts; it names the line.
    """
    if not file.exists():
        return {}
    known = {}
    for number, line in enumerate(file.read_text().splitlines(), start=1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != _PARTS or not all(parts):
            raise ValueError(
                f"{file.name}, line {number}: expected 'test | cause | issue',"
                f" got {line!r}"
            )
        known[parts[0]] = parts[1]
    return known
