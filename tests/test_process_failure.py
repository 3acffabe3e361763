from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

from marlramp import process_failure

SOURCES = pathlib.Path(__file__).parents[1] / "src"


def test_error_in_nested_groups_is_reported_with_its_place() -> None:
    def fail() -> None:
        raise ValueError("no slots here")

    def fail_in_groups() -> None:
        try:
            fail()
        except ValueError as error:
            group = ExceptionGroup("tasks", [error, KeyError("later")])
            raise ExceptionGroup("outer", [group]) from error

    with pytest.raises(ExceptionGroup) as raised:
        fail_in_groups()
    line = process_failure.describe(raised.value, 1.5)
    assert line.startswith("event=process_failed error=\"ValueError('no ")
    assert f"place={__file__}:" in line
    assert "uptime_s=1.5" in line


def test_first_line_of_a_failed_start_has_the_cause(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "eliot.py").write_text("import a_library_that_is_missing\n")
    completed = subprocess.run(
        [sys.executable, str(SOURCES / "marlrampd.py")],
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    first_line = completed.stderr.splitlines()[0]
    assert completed.returncode == 1
    assert first_line.startswith("event=process_failed error=")
    assert "a_library_that_is_missing" in first_line
    assert "Traceback (most recent call last):" in completed.stderr
