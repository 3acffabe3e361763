r"""Any interpreter that a stable distribution brings can run all programs.

On VMs whose python3 was 3.11 no process ever listened, at every start and on
every VM, though the build had passed there. The sources used a way to write
generic functions and type names that 3.12 brought; each start ended with

    event=process_failed error="SyntaxError(\"expected '('\\",
    ('.../src/marlramp/platform/settings.py', 75, 15, '    def parsed[Value]('

All libraries bear 3.11; nothing but 23 of our own files asked for more.
Nobody saw it here, since a version manager chose 3.13 for every run.
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
"""Oldest release that all libraries bear; a stable distribution brings it."""

OLDEST_THAT_IS_TOLD = (3, 7)
"""Interpreters from here on can read what tells them that they are too old."""

FOLDERS = ("src", "deploy", "standins", "models", "soak", "tests")
FIRST_READ = (
    "src/marlrampd.py",
    "src/marlramp/__init__.py",
    "src/marlramp/interpreter.py",
    "deploy/install_dependencies.py",
)
"""What an interpreter has read before it knows whether it is too old."""

PRETEND = """
import runpy, sys
class Version(tuple):
    major, minor, micro = 3, 10, 13
sys.version_info = Version((3, 10, 13, "final", 0))
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""
"""Runs a program under an interpreter that calls itself 3.10.13."""


def sources() -> list[pathlib.Path]:
    return [
        path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py")
    ]


def is_readable(path: pathlib.Path, version: tuple[int, int]) -> bool:
    try:
        ast.parse(path.read_text(), feature_version=version)
    except SyntaxError:
        return False
    return True


def test_oldest_interpreter_can_read_every_source() -> None:
    unreadable = [path for path in sources() if not is_readable(path, OLDEST)]
    assert unreadable == []


@pytest.mark.parametrize("name", FIRST_READ)
def test_old_interpreters_can_read_what_tells_them(name: str) -> None:
    assert is_readable(ROOT / name, OLDEST_THAT_IS_TOLD)


@pytest.mark.parametrize(
    "program", ["src/marlrampd.py", "deploy/install_dependencies.py"]
)
def test_interpreter_that_is_too_old_is_named_in_one_line(program: str) -> None:
    ended = subprocess.run(
        [sys.executable, "-c", PRETEND, str(ROOT / program)],
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert ended.returncode == 1
    assert len(ended.stderr.splitlines()) == 1
    assert "3.10.13" in ended.stderr
    assert sys.executable in ended.stderr
    assert "3.11 or newer is needed" in ended.stderr


def test_one_oldest_release_is_stated_everywhere() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    oldest = ".".join(map(str, OLDEST))
    assert project["project"]["requires-python"] == f">={oldest}"
    # The linter takes what the project requires; the type checker can't.
    assert "target-version" not in project["tool"]["ruff"]
    assert project["tool"]["mypy"]["python_version"] == oldest
    readme = (ROOT / "README.md").read_text()
    assert re.findall(r"Python (3\.\d+)", readme) == [oldest]
    makefile = (ROOT / "Makefile").read_text()
    assert re.findall(r"3[., ]+1\d", makefile) == []
    assert not (ROOT / ".python-version").exists()


def test_lock_files_are_those_of_the_oldest_release() -> None:
    for name in ("requirements.lock", "deploy/requirements.lock"):
        head = (ROOT / name).read_text()[:400]
        assert f"Python {'.'.join(map(str, OLDEST))}" in head


def test_tests_run_on_the_oldest_release_where_it_is() -> None:
    found = shutil.which(f"python{'.'.join(map(str, OLDEST))}")
    if found is None:
        pytest.skip("the oldest release is not on this machine")
    usable = subprocess.run([found, "-c", ""], check=False, capture_output=True)
    if usable.returncode:
        pytest.skip("the oldest release on this machine can't be started")
    chosen = subprocess.run(
        ["make", "--silent", "interpreter"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert ".".join(map(str, OLDEST)) in chosen.stdout
