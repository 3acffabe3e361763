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

import pathlib

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


def test_build_after_one_that_was_killed_is_whole(
    checkout: conftest.Checkout, tmp_path: pathlib.Path
) -> None:
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(KILL_AT_SECOND_MOVE)
    assert checkout.build({"PYTHONPATH": str(hook)}) != 0
    assert checkout.build() == 0
    assert checkout.missing() == []
