r"""The build and both roles run with only PATH, HOME and LANG set.

Guards against a dependency on the developers' environment. There, a version
manager came first on the path and chose a python3 newer than the
distribution's 3.11 for the build and for each start. On other machines each
process ended at its start with

    event=process_failed error="SyntaxError(\"expected '('\\",
"""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
import tomllib

import pytest

from standins import direct_documents

ROOT = pathlib.Path(__file__).parents[2]
SYSTEM_PATH = "/usr/bin:/bin"
BUILD_TIMEOUT_S = 300.0
START_TIMEOUT_S = 20.0
HOST = f"127.23.{os.getpid() % 250}.{os.getpid() // 250 % 250 + 1}"
"""Loopback address of this run, so that concurrent runs don't share ports."""

PORTS = {"entry": 8_005, "agent": 9_464}
"""Port that a role opens once it is running: callers, metrics."""


def own_interpreter() -> str:
    """Returns the base interpreter of the current virtual environment."""
    return os.path.realpath(sys.executable)


def system_interpreter() -> str:
    """Returns the distribution's interpreter; skips if it can't build."""
    found = shutil.which("python3", path=SYSTEM_PATH)
    if found is None:
        pytest.skip("the distribution has no python3")
    command = [found, "-m", "pip", "--version"]
    if subprocess.run(command, check=False).returncode:
        pytest.skip("the python3 of the distribution has no pip")
    return os.path.realpath(found)


class CleanMachine:
    """A checkout and an environment of only three variables.

    Attributes:
      checkout: directory of the checkout.
      environment: the environment of the build.
    """

    def __init__(self, root: pathlib.Path, interpreter: str) -> None:
        programs = root / "bin"
        programs.mkdir()
        (programs / "python3").symlink_to(interpreter)
        self.checkout = root / "checkout"
        for folder in ("src", "deploy"):
            shutil.copytree(ROOT / folder, self.checkout / folder)
        self.environment = {
            "PATH": f"{programs}:{SYSTEM_PATH}",
            "HOME": str(root / "no-such-home"),
            "LANG": "C",
        }
        self._deploy = tomllib.loads(
            (self.checkout / "deploy" / "system.toml").read_text()
        )

    def build(self) -> subprocess.CompletedProcess[str]:
        """Runs the build command with a umask that denies access to others."""
        return subprocess.run(
            self._deploy["build"],
            shell=True,
            cwd=self.checkout,
            env=self.environment,
            umask=0o077,
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
            check=False,
        )

    def start(self, role: str) -> subprocess.Popen[str]:
        """Starts a role as the platform does."""
        settings = self.checkout.parent / f"{role}.conf"
        settings.write_text(
            direct_documents.settings_text(
                role,
                HOST,
                seeds=[HOST],
                store=f"{HOST}:9",
                entry=role == "entry",
                replica_port=direct_documents.REPLICA_PORT,
            )
        )
        return subprocess.Popen(
            self._deploy["roles"][role]["run"].split(),
            cwd=self.checkout,
            env={
                **self.environment,
                "MARLRAMP_SETTINGS": str(settings),
                "PYTHONPATH": str(self.checkout / "target" / "deps"),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )


def _listens(port: int, process: subprocess.Popen[str]) -> bool:
    end_s = time.monotonic() + START_TIMEOUT_S
    while process.poll() is None and time.monotonic() < end_s:
        with contextlib.suppress(OSError):
            socket.create_connection((HOST, port), timeout=1.0).close()
            return True
        time.sleep(0.05)
    return False


@pytest.mark.parametrize("find", [own_interpreter, system_interpreter])
def test_build_and_both_roles_run_in_a_minimal_environment(
    find: Callable[[], str], tmp_path: pathlib.Path
) -> None:
    machine = CleanMachine(tmp_path, find())
    built = machine.build()
    assert built.returncode == 0, built.stdout + built.stderr
    assert not [
        path
        for path in (machine.checkout / "target" / "deps").rglob("*")
        if path.stat().st_mode & 0o444 != 0o444
    ]
    for role, port in PORTS.items():
        process = machine.start(role)
        try:
            is_listening = _listens(port, process)
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=START_TIMEOUT_S)
        finally:
            process.kill()
        assert is_listening, output
        assert process.returncode == 0, output


def test_dependencies_of_another_release_are_named_in_one_line(
    tmp_path: pathlib.Path,
) -> None:
    machine = CleanMachine(tmp_path, own_interpreter())
    dependencies = machine.checkout / "target" / "deps"
    dependencies.mkdir(parents=True)
    (dependencies / ".installed-from").write_text(
        "lock\ncpython-39\nplatform\n"
    )
    process = machine.start("entry")
    output, _ = process.communicate(timeout=START_TIMEOUT_S)
    assert process.returncode == 1
    assert len(output.splitlines()) == 1
    assert output.startswith("event=process_failed error=")
    assert "cpython-39" in output
    assert str(sys.implementation.cache_tag) in output
    assert "build" in output
