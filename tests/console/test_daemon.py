"""How the daemon starts."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

SOURCES = pathlib.Path(__file__).parents[2] / "src"


NEVER_LOADED = (
    "import signal, sys\n"
    "sys.modules['marlramp.console'] = None\n"
    "sys.modules['marlramp.direct'] = None\n"
    "import marlrampd\n"
    "try:\n"
    "    marlrampd.main()\n"
    "except ImportError:\n"
    "    signal.raise_signal(signal.{signal})\n"
    "    print('still there')\n"
)
"""Stands for the time that loading the daemon takes: it never ends here."""


def run_script(
    script: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", script, *arguments],
        cwd=SOURCES,
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )


@pytest.mark.parametrize("arguments", [[], ["--settings", "none.toml"]])
def test_reload_while_the_process_starts_does_not_end_it(
    arguments: list[str],
) -> None:
    ended = run_script(NEVER_LOADED.format(signal="SIGHUP"), *arguments)
    assert ended.stdout == "still there\n", ended


def test_process_that_is_stopped_while_it_starts_ends_well() -> None:
    ended = run_script(NEVER_LOADED.format(signal="SIGTERM"))
    assert (ended.returncode, ended.stdout) == (0, ""), ended


HEAVY = (
    "aiosonic",
    "cyclopts",
    "opentelemetry",
    "prometheus_client",
    "starlette",
    "uvicorn",
    "zmq",
)
"""Libraries that serving on the direct path does not need: together they take
half of a process's start."""


@pytest.mark.parametrize("role", ["entry_daemon", "agent_daemon"])
def test_daemon_starts_without_what_serving_does_not_need(role: str) -> None:
    ended = run_script(
        "import sys\n"
        "from marlramp.direct import launch\n"
        f"from marlramp.direct import {role}\n"
        f"print([m for m in {HEAVY} if m in sys.modules])\n"
    )
    assert ended.stdout == "[]\n", ended
