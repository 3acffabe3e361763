"""Demonstrates the direct path: a weight update under live requests."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import time

from standins import direct_documents
from standins import direct_fleet

ENTRIES = 2
ENGINES = 4
GROUP = 9
TIMEOUT_S = 60.0
PAUSE_S = 0.02


async def _serve_until(
    fleet: direct_fleet.Fleet, loaded: asyncio.Task[None]
) -> tuple[int, int]:
    """Sends streams until `loaded` is done.

    Returns:
      The number of complete streams and of all streams sent.
    """
    succeeded = 0
    sent = 0
    while not loaded.done():
        host = fleet.entry_hosts[sent % ENTRIES]
        answer = await fleet.stream(host, f"demo-{sent}")
        sent += 1
        succeeded += answer.endswith(b"0\r\n\r\n")
        await asyncio.sleep(PAUSE_S)
    return succeeded, sent


async def _until_loaded(fleet: direct_fleet.Fleet, version: int) -> None:
    while any(engine.weights != version for engine in fleet.engines):
        await asyncio.sleep(PAUSE_S)


async def _show(folder: pathlib.Path) -> int:
    fleet = direct_fleet.Fleet(folder, ENTRIES, ENGINES, GROUP)
    async with asyncio.timeout(TIMEOUT_S), fleet:
        print(f"{ENTRIES} entries and {ENGINES} agents are up")
        first = asyncio.create_task(asyncio.sleep(1.0))
        await _serve_until(fleet, first)
        started_s = time.monotonic()
        target = {"model_name": direct_documents.MODEL, "version": 2}
        fleet.store.put(f"op/version/{direct_documents.MODEL}", target)
        loaded = asyncio.create_task(_until_loaded(fleet, 2))
        succeeded, sent = await _serve_until(fleet, loaded)
        await loaded
        taken_s = time.monotonic() - started_s
    copies = fleet.origin.sent / direct_documents.PIECES
    print(f"version 2 loaded on every engine after {taken_s:.1f} s")
    print(f"{succeeded} of {sent} streams complete during the update")
    print(f"{copies:.1f} copies of the weights sent by the origin")
    return 0 if succeeded == sent else 1


def main() -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_show(pathlib.Path(folder)))


if __name__ == "__main__":
    raise SystemExit(main())
