"""After a build every process can be started, whatever happened before it.

Operators saw systems of which no process ever listened: each one ended at its
first import, on every VM and at every restart. An install of the dependencies
had been killed while the packages were put in their place, one after the other.
It left target/deps with 63 of 76 entries, and that folder was newer than the
lock file, which was all that later builds asked before they called it ready:
the next build ended with code 0 after 1 ms, and each start after it with

    ModuleNotFoundError: No module named 'pyrsistent'

Nothing installed the rest until somebody removed the folder by hand.
"""

from __future__ import annotations

import os
import pathlib
import tomllib

from tests.deploy import conftest

KILL_AT_SECOND_MOVE = """
import os, shutil, signal
moved = []
move = shutil.move
def killed(*arguments, **options):
    if moved:
        os.kill(os.getpid(), signal.SIGKILL)
    moved.append(move(*arguments, **options))
shutil.move = killed
"""
"""Loaded by every interpreter of a build: ends the one that puts packages in
their place after the first of them."""

WITHOUT_INSTALLER = """
import sys
sys.path[:] = [path for path in sys.path if "-packages" not in path]
"""
"""Loaded by every interpreter of a build: takes its installed packages away."""


def test_build_after_one_that_was_killed_is_whole(
    checkout: conftest.Checkout, tmp_path: pathlib.Path
) -> None:
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(KILL_AT_SECOND_MOVE)
    assert checkout.build({"PYTHONPATH": str(hook)}) != 0
    assert checkout.build() == 0
    assert checkout.missing() == []


def test_build_replaces_what_was_installed_from_something_else(
    checkout: conftest.Checkout,
) -> None:
    checkout.lock(("alpha",))
    assert checkout.build() == 0
    assert checkout.missing() == ["beta"]
    checkout.lock(conftest.PACKAGES)
    newer_s = checkout.dependencies.stat().st_mtime + 60
    os.utime(checkout.dependencies, (newer_s, newer_s))
    assert checkout.build() == 0
    assert checkout.missing() == []


def test_build_restores_a_file_that_was_lost(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    (checkout.dependencies / "beta" / "__init__.py").unlink()
    assert checkout.build() == 0
    assert checkout.missing() == []


def test_builds_at_the_same_time_take_nothing_from_a_running_system(
    checkout: conftest.Checkout,
) -> None:
    builds = [checkout.start_build() for _ in range(3)]
    lost = []
    is_built = False
    while any(build.poll() is None for build in builds):
        missing = checkout.missing()
        is_built = is_built or not missing
        if is_built:
            lost += missing
    assert [build.wait() for build in builds] == [0, 0, 0]
    assert checkout.missing() == lost == []


def test_failed_build_says_so_and_leaves_what_there_was(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    lock = checkout.root / "deploy" / "requirements.lock"
    lock.write_text(lock.read_text().replace("beta==1.0", "beta==2.0"))
    assert checkout.build() != 0
    assert checkout.missing() == []


def test_build_with_nothing_to_do_leaves_the_folder_alone(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    before = checkout.dependencies.stat().st_ino
    assert checkout.build() == 0
    assert checkout.dependencies.stat().st_ino == before


def test_other_users_may_read_what_was_built(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    assert checkout.dependencies.stat().st_mode & 0o555 == 0o555


def test_build_without_an_installer_says_so_in_one_line(
    checkout: conftest.Checkout, tmp_path: pathlib.Path
) -> None:
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(WITHOUT_INSTALLER)
    build = checkout.start_build({"PYTHONPATH": str(hook)})
    output, _ = build.communicate(timeout=60)
    assert build.returncode == 1
    assert len(output.splitlines()) == 1
    assert "has no pip" in output


def test_packages_that_the_build_needs_are_listed(
    checkout: conftest.Checkout,
) -> None:
    text = (checkout.root / "deploy" / "system.toml").read_text()
    assert tomllib.loads(text)["packages"] == ["python3", "python3-pip"]


def test_build_replaces_dependencies_of_another_release_on_its_path(
    checkout: conftest.Checkout,
) -> None:
    checkout.dependencies.mkdir(parents=True)
    marker = checkout.dependencies / ".installed-from"
    marker.write_text("lock\ncpython-39\nplatform\n")
    path = {"PYTHONPATH": str(checkout.dependencies)}
    assert checkout.build(path) == 0
    assert checkout.missing() == []
