"""Shows the direct path: new weights reach engines under live requests."""

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
    """Sends streams until the weights are loaded; returns whole and all."""
    whole = 0
    sent = 0
    while not loaded.done():
        host = fleet.entry_hosts[sent % ENTRIES]
        answer = await fleet.stream(host, f"demo-{sent}")
        sent += 1
        whole += answer.endswith(b"0\r\n\r\n")
        await asyncio.sleep(PAUSE_S)
    return whole, sent


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
        whole, sent = await _serve_until(fleet, loaded)
        await loaded
        taken_s = time.monotonic() - started_s
    copies = fleet.origin.sent / direct_documents.PIECES
    print(f"version 2 on every engine after {taken_s:.1f} s")
    print(f"{whole} of {sent} streams whole meanwhile")
    print(f"{copies:.1f} copies left the origin")
    return 0 if whole == sent else 1


def main() -> int:
    """Runs the demonstration; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_show(pathlib.Path(folder)))


if __name__ == "__main__":
    raise SystemExit(main())
