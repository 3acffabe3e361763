"""Builds install all dependencies, whatever the state of an earlier build.

Guards against partial installs that pass as complete. An install that was
killed while it moved packages into target/deps left 63 of 76 entries. Later
builds only checked that the directory was newer than the lock file, so that
they exited with code 0 after 1 ms, and each process then failed at its first
import, on every VM and at every restart, until the directory was removed by
hand:

    ModuleNotFoundError: No module named 'pyrsistent'
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
"""Module `sitecustomize`, loaded by each interpreter of a build. Kills the one
that moves packages into target/deps after the first package."""

HIDE_INSTALLED_PACKAGES = """
import sys
sys.path[:] = [path for path in sys.path if "-packages" not in path]
"""
"""Module `sitecustomize`, loaded by each interpreter of a build. Hides the
installed packages, also pip."""


def test_build_after_a_killed_one_is_complete(
    checkout: conftest.Checkout, tmp_path: pathlib.Path
) -> None:
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(KILL_AT_SECOND_MOVE)
    assert checkout.build({"PYTHONPATH": str(hook)}) != 0
    assert checkout.build() == 0
    assert checkout.missing() == []


def test_build_replaces_packages_of_another_lock_file(
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


def test_build_restores_a_deleted_file(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    (checkout.dependencies / "beta" / "__init__.py").unlink()
    assert checkout.build() == 0
    assert checkout.missing() == []


def test_concurrent_builds_remove_no_installed_package(
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


def test_failed_build_exits_nonzero_and_keeps_installed_packages(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    lock = checkout.root / "deploy" / "requirements.lock"
    lock.write_text(lock.read_text().replace("beta==1.0", "beta==2.0"))
    assert checkout.build() != 0
    assert checkout.missing() == []


def test_build_without_changes_keeps_the_folder(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    before = checkout.dependencies.stat().st_ino
    assert checkout.build() == 0
    assert checkout.dependencies.stat().st_ino == before


def test_installed_packages_are_readable_by_other_users(
    checkout: conftest.Checkout,
) -> None:
    assert checkout.build() == 0
    assert checkout.dependencies.stat().st_mode & 0o555 == 0o555


def test_build_without_pip_fails_with_a_one_line_message(
    checkout: conftest.Checkout, tmp_path: pathlib.Path
) -> None:
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(HIDE_INSTALLED_PACKAGES)
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
