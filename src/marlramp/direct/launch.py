"""Starts the daemon of the direct path, with as little as it needs to serve.

A process that starts serves nobody until its modules are loaded. Nothing here
imports the command line, the metrics exporter or the grants path.
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

from marlramp import clock
from marlramp import logs
from marlramp.platform import settings as platform_settings
from marlramp.settings import node

EXIT_OK = 0
EXIT_SETTINGS_REFUSED = 3

SETTINGS_WAIT_MS = 1_000.0
SETTINGS_RETRY_MS = 50.0
"""How long, and how often, a settings file that can't be used is read again at
the start: one that is being written is whole within milliseconds, and a process
that ends instead serves nothing until it is restarted."""


class Daemon(Protocol):
    """A process that runs until it is drained."""

    def drain(self, reason: str) -> None:
        """Finishes what runs, then stops."""
        ...

    def reload(self, reason: str) -> None:
        """Reads the settings anew."""
        ...

    async def run(self) -> None:
        """Runs until drained."""
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


async def run(make: Callable[[], Daemon]) -> None:
    """Runs a daemon until a signal drains it."""
    daemon = make()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        name = signal.Signals(number).name
        loop.add_signal_handler(number, daemon.drain, name)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload, "SIGHUP")
    await daemon.run()


def is_on_platform() -> bool:
    """Returns whether the platform names a settings file."""
    return bool(os.environ.get(platform_settings.SETTINGS_VARIABLE))


def run_on_platform() -> int:
    """Runs with the settings file that the platform names.

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
        settings = _read_settled(path, clock.SystemClock())
    except node.NodeSettingsError as error:
        for problem in error.problems:
            print(f"marlrampd: {problem}", file=sys.stderr)
        return EXIT_SETTINGS_REFUSED
    logs.start_logging(settings.vm_id, sys.stdout)
    try:
        asyncio.run(run(lambda: create(settings, _reader(path))))
    finally:
        logs.stop_logging()
    return EXIT_OK


def _read_settled(path: pathlib.Path, time: clock.Clock) -> node.NodeSettings:
    """Returns the settings in a file that may still be written.

    Raises:
      NodeSettingsError: if the file still can't be used after some time.
    """
    end_ms = time.now_ms() + SETTINGS_WAIT_MS
    while True:
        try:
            return platform_settings.read(path)
        except node.NodeSettingsError:
            if time.now_ms() >= end_ms:
                raise
        blocking_time.sleep(SETTINGS_RETRY_MS / clock.MILLIS_PER_SECOND)


def _reader(path: pathlib.Path) -> Callable[[], node.NodeSettings]:
    return lambda: platform_settings.read(path)
