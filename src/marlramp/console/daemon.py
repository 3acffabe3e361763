"""The daemon `marlrampd`: entry or agent, depending on its settings."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import cyclopts

from marlramp import __version__
from marlramp import logs
from marlramp import process_failure
from marlramp.direct import launch
from marlramp.settings import process

app = cyclopts.App(
    name="marlrampd", help="Entry or agent of marlramp.", version=__version__
)


def create(settings: process.ProcessSettings) -> launch.Daemon:
    """Returns the daemon for the role in the settings.

    The role's modules are imported here, so that an agent uses no memory for
    modules that only an entry needs.
    """
    if settings.role is process.Role.ENTRY:
        from marlramp.entry import daemon as entry_daemon

        return entry_daemon.EntryDaemon(settings)
    from marlramp.agent import daemon as agent_daemon

    return agent_daemon.AgentDaemon(settings)


@app.default
def run(*, settings: pathlib.Path | None = None) -> int:
    """Runs until SIGTERM, then drains and exits.

    Args:
      settings: TOML file with this process's settings. If omitted, the
        platform's settings file is read, whose path is in the environment
        variable MARLRAMP_SETTINGS.

    Returns:
      The process's exit code, `launch.EXIT_SETTINGS_REFUSED` at once if the
      settings are invalid.
    """
    if settings is None:
        return launch.run_on_platform()
    try:
        parsed = process.read(settings)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(f"marlrampd: {error}", file=sys.stderr)
        return launch.EXIT_SETTINGS_REFUSED
    logs.start_logging(parsed.identity.vm_id)
    try:
        asyncio.run(launch.run(lambda: create(parsed)))
    finally:
        logs.stop_logging()
    return launch.EXIT_OK


def main() -> None:
    """Entry point of `marlrampd`."""
    process_failure.run_reported(lambda: sys.exit(app()))


if __name__ == "__main__":
    main()
