"""Start of the daemon."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

SOURCES = pathlib.Path(__file__).parents[2] / "src"


SIGNAL_WHILE_LOADING = (
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
"""Script that receives a signal at the point where the daemon's modules load.

The modules are blocked, so that loading never finishes.
"""


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
    ended = run_script(SIGNAL_WHILE_LOADING.format(signal="SIGHUP"), *arguments)
    assert ended.stdout == "still there\n", ended


def test_process_that_is_stopped_while_it_starts_exits_with_0() -> None:
    ended = run_script(SIGNAL_WHILE_LOADING.format(signal="SIGTERM"))
    assert (ended.returncode, ended.stdout) == (0, ""), ended


UNNEEDED_LIBRARIES = (
    "aiosonic",
    "cyclopts",
    "opentelemetry",
    "prometheus_client",
    "starlette",
    "uvicorn",
    "zmq",
)
"""Libraries that serving on the direct path does not need.

Importing them would take half of a process's start time.
"""


@pytest.mark.parametrize("role", ["entry_daemon", "agent_daemon"])
def test_daemon_starts_without_what_serving_does_not_need(role: str) -> None:
    ended = run_script(
        "import sys\n"
        "from marlramp.direct import launch\n"
        f"from marlramp.direct import {role}\n"
        f"print([m for m in {UNNEEDED_LIBRARIES} if m in sys.modules])\n"
    )
    assert ended.stdout == "[]\n", ended
