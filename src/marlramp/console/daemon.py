"""The daemon `marlrampd`: entry or agent by its settings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib
import signal
import sys
from typing import Protocol

import cyclopts

from marlramp import __version__
from marlramp import logs
from marlramp.platform import settings as platform_settings
from marlramp.settings import node
from marlramp.settings import process

EXIT_OK = 0
EXIT_SETTINGS_REFUSED = 3

app = cyclopts.App(
    name="marlrampd", help="Entry or agent of marlramp.", version=__version__
)


class _Daemon(Protocol):
    def drain(self, reason: str) -> None: ...

    def reload(self, reason: str) -> None: ...

    async def run(self) -> None: ...


def create(settings: process.ProcessSettings) -> _Daemon:
    """Returns the daemon for the role in the settings.

    Modules are imported here, so that an agent does not pay the memory of
    what only an entry needs.
    """
    if settings.role is process.Role.ENTRY:
        from marlramp.entry import daemon as entry_daemon

        return entry_daemon.EntryDaemon(settings)
    from marlramp.agent import daemon as agent_daemon

    return agent_daemon.AgentDaemon(settings)


def create_node(
    settings: node.NodeSettings, load: Callable[[], node.NodeSettings]
) -> _Daemon:
    """Returns the daemon of the direct path for the role in the settings."""
    if settings.role is node.NodeRole.ENTRY:
        from marlramp.direct import entry_daemon

        return entry_daemon.EntryDaemon(settings, load)
    from marlramp.direct import agent_daemon

    return agent_daemon.AgentDaemon(settings, load)


async def _run(make: Callable[[], _Daemon]) -> None:
    daemon = make()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        name = signal.Signals(number).name
        loop.add_signal_handler(number, daemon.drain, name)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload, "SIGHUP")
    await daemon.run()


@app.default
def run(*, settings: pathlib.Path | None = None) -> int:
    """Runs until SIGTERM, then drains and exits.

    Args:
      settings: TOML file with this process's settings; without it, the file
        that the platform names in the environment.
    """
    if settings is None:
        return _run_on_platform()
    try:
        parsed = process.read(settings)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(f"marlrampd: {error}", file=sys.stderr)
        return EXIT_SETTINGS_REFUSED
    logs.start_logging(parsed.identity.vm_id)
    asyncio.run(_run(lambda: create(parsed)))
    logs.stop_logging()
    return EXIT_OK


def _run_on_platform() -> int:
    path = platform_settings.settings_path()
    if path is None:
        print(
            "marlrampd: give --settings, or set "
            f"{platform_settings.SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        return EXIT_SETTINGS_REFUSED
    try:
        parsed = platform_settings.read(path)
    except node.NodeSettingsError as error:
        for problem in error.problems:
            print(f"marlrampd: {problem}", file=sys.stderr)
        return EXIT_SETTINGS_REFUSED
    logs.start_logging(parsed.vm_id, sys.stdout)
    asyncio.run(
        _run(lambda: create_node(parsed, lambda: platform_settings.read(path)))
    )
    return EXIT_OK


def main() -> None:
    """Entry point of `marlrampd`."""
    sys.exit(app())


if __name__ == "__main__":
    main()
