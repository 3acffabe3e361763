r"""All programs run with the oldest Python release that is supported, 3.11.

The sources once used the syntax for type parameters that 3.12 introduced. On
VMs with Python 3.11 the build passed, but no process started:

    event=process_failed error="SyntaxError(\"expected '('\\",
    ('.../src/marlramp/platform/settings.py', 75, 15, '    def parsed[Value]('

All libraries support 3.11; only 23 files of this project needed more. The tests
did not detect it, since a version manager selected 3.13 for every run.
"""

from __future__ import annotations

import ast
import pathlib
import re
import shutil
import subprocess
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[1]
OLDEST = (3, 11)
"""Oldest release that all libraries support; stable distributions have it."""

OLDEST_REPORTED = (3, 7)
"""Oldest release that can parse the check for releases that are too old."""

FOLDERS = ("src", "deploy", "standins", "models", "soak", "tests")
PARSED_FIRST = (
    "src/marlrampd.py",
    "src/marlramp/__init__.py",
    "src/marlramp/interpreter.py",
    "deploy/install_dependencies.py",
)
"""Files that an interpreter parses before it has checked its release."""

FAKE_OLD_RELEASE = """
import runpy, sys
class Version(tuple):
    major, minor, micro = 3, 10, 13
sys.version_info = Version((3, 10, 13, "final", 0))
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""
"""Runs a program with an interpreter that reports release 3.10.13."""


def sources() -> list[pathlib.Path]:
    return [
        path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py")
    ]


def can_be_parsed(path: pathlib.Path, version: tuple[int, int]) -> bool:
    try:
        ast.parse(path.read_text(), feature_version=version)
    except SyntaxError:
        return False
    return True


def test_oldest_interpreter_can_parse_every_source() -> None:
    unparseable = [
        path for path in sources() if not can_be_parsed(path, OLDEST)
    ]
    assert unparseable == []


@pytest.mark.parametrize("name", PARSED_FIRST)
def test_unsupported_interpreters_can_parse_the_check(name: str) -> None:
    assert can_be_parsed(ROOT / name, OLDEST_REPORTED)


@pytest.mark.parametrize(
    "program", ["src/marlrampd.py", "deploy/install_dependencies.py"]
)
def test_too_old_interpreter_is_reported_in_one_line(program: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-c", FAKE_OLD_RELEASE, str(ROOT / program)],
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert completed.returncode == 1
    assert len(completed.stderr.splitlines()) == 1
    assert "3.10.13" in completed.stderr
    assert sys.executable in completed.stderr
    assert "3.11 or newer is needed" in completed.stderr


def test_oldest_release_is_the_same_everywhere() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    oldest = ".".join(map(str, OLDEST))
    assert project["project"]["requires-python"] == f">={oldest}"
    # The linter uses `requires-python`; the type checker needs its own setting.
    assert "target-version" not in project["tool"]["ruff"]
    assert project["tool"]["mypy"]["python_version"] == oldest
    readme = (ROOT / "README.md").read_text()
    assert re.findall(r"Python (3\.\d+)", readme) == [oldest]
    makefile = (ROOT / "Makefile").read_text()
    assert re.findall(r"3[., ]+1\d", makefile) == []
    assert not (ROOT / ".python-version").exists()


def test_lock_files_are_made_for_the_oldest_release() -> None:
    for name in ("requirements.lock", "deploy/requirements.lock"):
        head = (ROOT / name).read_text()[:400]
        assert f"Python {'.'.join(map(str, OLDEST))}" in head


def test_tests_use_the_oldest_release_if_installed() -> None:
    found = shutil.which(f"python{'.'.join(map(str, OLDEST))}")
    if found is None:
        pytest.skip("the oldest release is not installed")
    usable = subprocess.run([found, "-c", ""], check=False, capture_output=True)
    if usable.returncode:
        pytest.skip("the installed oldest release can't be started")
    selected = subprocess.run(
        ["make", "--silent", "interpreter"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert ".".join(map(str, OLDEST)) in selected.stdout
