"""Starts the daemon of the direct path with as few imports as possible.

A process serves no request until its modules are loaded. This module therefore
does not import the command line, the metrics exporter or the grants path, on
which agents hand out permissions for single requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import time as blocking_time
from typing import Protocol

from marlramp import build_info
from marlramp import clock
from marlramp import interpreter
from marlramp import logs
from marlramp.platform import settings as platform_settings
from marlramp.settings import node

EXIT_OK = 0
EXIT_SETTINGS_REFUSED = 3
"""Exit code if no settings file is named or the file is unusable."""

SETTINGS_WAIT_MS = 1_000.0
"""How long reading is retried at the start if the settings file is unusable. A
file that is being written is complete within milliseconds, and a process that
exits instead serves nothing until it is restarted."""

SETTINGS_RETRY_MS = 50.0
"""Time between two reads of an unusable settings file at the start."""


class Daemon(Protocol):
    """A process that runs until it is drained."""

    def drain(self, reason: str) -> None:
        """Finishes the running requests, then stops."""
        ...

    def reload(self, reason: str) -> None:
        """Reads the settings file again and applies what changed."""
        ...

    async def run(self) -> None:
        """Runs the process until it is drained."""
        ...


def create(
    settings: node.NodeSettings, load: Callable[[], node.NodeSettings]
) -> Daemon:
    """Returns the daemon for the role in the settings."""
    if settings.role is node.NodeRole.ENTRY:
        from marlramp.direct import entry_daemon

        return entry_daemon.EntryDaemon(settings, load)
    from marlramp.direct import agent_daemon

    return agent_daemon.AgentDaemon(settings, load)


async def run(create_daemon: Callable[[], Daemon]) -> None:
    """Runs a daemon until a signal drains it.

    Args:
      create_daemon: creates the daemon inside the running event loop.
    """
    daemon = create_daemon()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        name = signal.Signals(number).name
        loop.add_signal_handler(number, daemon.drain, name)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload, "SIGHUP")
    await daemon.run()


def is_on_platform() -> bool:
    """Returns whether the environment names the platform's settings file."""
    return bool(os.environ.get(platform_settings.SETTINGS_VARIABLE))


def run_on_platform() -> int:
    """Runs a daemon with the settings file that the platform names.

    Returns:
      The process's exit code.
    """
    path = platform_settings.settings_path()
    if path is None:
        print(
            "marlrampd: give --settings, or set "
            f"{platform_settings.SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        return EXIT_SETTINGS_REFUSED
    try:
        settings = _read_with_retry(path, clock.SystemClock())
    except node.NodeSettingsError as error:
        for problem in error.problems:
            print(f"marlrampd: {problem}", file=sys.stderr)
        return EXIT_SETTINGS_REFUSED
    logs.start_logging(settings.vm_id, sys.stdout)
    logs.log(
        "process_started",
        source_digest=build_info.source_digest(),
        interpreter=interpreter.found(),
        machine=os.uname().machine,
    )
    try:
        asyncio.run(run(lambda: create(settings, _settings_loader(path))))
    finally:
        logs.stop_logging()
    return EXIT_OK


def _read_with_retry(
    path: pathlib.Path, time: clock.Clock
) -> node.NodeSettings:
    """Returns the settings in a file that may still be being written.

    Raises:
      NodeSettingsError: if the file is still unusable after SETTINGS_WAIT_MS.
    """
    end_ms = time.now_ms() + SETTINGS_WAIT_MS
    while True:
        try:
            return platform_settings.read(path)
        except node.NodeSettingsError:
            if time.now_ms() >= end_ms:
                raise
        blocking_time.sleep(SETTINGS_RETRY_MS / clock.MILLIS_PER_SECOND)


def _settings_loader(path: pathlib.Path) -> Callable[[], node.NodeSettings]:
    return lambda: platform_settings.read(path)
