"""Runs a review case: settings, record and exit status.

A case starts real daemons before the project's stand-ins on loopback, with the
figures of the users' small deployments.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import os
import pathlib
import signal
import sys
import tempfile
import time

from standins import direct_documents

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

CASE_S_MAX = 110.0
"""Time after which a case is ended; it may run for 120 s."""

PIECES = 64
LOAD_S = 0.3
VERSION_MS = 8_000
SIDE_LINK_MBPS = 3.8
EDGE_LINK_MBPS = 1_000


class CaseError(Exception):
    """The case could not be run, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts an empty record in the folder of the case."""
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        taken_s = time.monotonic() - self._started_s
        line = f"{taken_s:8.3f} s  {text}"
        print(line, flush=True)
        with self._path.open("a") as file:
            file.write(line + "\n")


def has_trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def use_small_deployment() -> None:
    """Gives the stand-ins the figures of the users' small deployments."""
    direct_documents.PIECES = PIECES
    direct_documents.LOAD_S = LOAD_S
    stand_in_text = direct_documents.settings_text

    def settings_text(
        name: str, host: str, *, entry: bool, **more: object
    ) -> str:
        text = stand_in_text(name, host, entry=entry, **more)  # type: ignore[arg-type]
        link_mbps = EDGE_LINK_MBPS if entry else SIDE_LINK_MBPS
        return text.replace(
            "bounds.version_ms=4000", f"bounds.version_ms={VERSION_MS}"
        ).replace("limits.link_mbps=1000", f"limits.link_mbps={link_mbps}")

    direct_documents.settings_text = settings_text


def run(
    file: str,
    case: Callable[[Record, pathlib.Path], Awaitable[bool]],
) -> None:
    """Runs a case and exits with its status.

    Args:
      file: path of the module of the case.
      case: returns whether the rule held. It gets the record and a temporary
        folder for settings and logs.
    """
    # Connections that end while a stand-in writes are part of a case.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(pathlib.Path(file).parent)
    use_small_deployment()
    record.write(f"disruption: {'on' if has_trouble() else 'off'}")
    with tempfile.TemporaryDirectory() as folder:
        status = asyncio.run(_run_bounded(record, pathlib.Path(folder), case))
    sys.exit(status)


async def _run_bounded(
    record: Record,
    folder: pathlib.Path,
    case: Callable[[Record, pathlib.Path], Awaitable[bool]],
) -> int:
    task = asyncio.current_task()
    assert task is not None
    # The processes of the case are ended as it is cancelled.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(CASE_S_MAX):
            held = await case(record, folder)
    except (Exception, asyncio.CancelledError) as error:
        # Whatever went wrong, the rule was not seen to be broken.
        record.write(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    record.write("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
