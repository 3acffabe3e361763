"""Runs a test before a fleet of real daemons on the direct path."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import pathlib
from typing import TypeAlias

from standins import direct_documents
from standins import direct_fleet

TIMEOUT_S = 90.0

Use: TypeAlias = Callable[[direct_fleet.Fleet], Awaitable[None]]
RunFleet: TypeAlias = Callable[[Use], None]


def runner(
    folder: pathlib.Path,
    entries: int,
    engines: int,
    desks: int,
    *,
    group: int,
    proxied: bool = False,
    regions: Mapping[str, str] = direct_documents.REGIONS,
    constraints: direct_documents.Constraints | None = None,
) -> RunFleet:
    """Returns a function that runs a test with a fleet of its own.

    Args:
      folder: where settings files and logs go.
      entries: entries.
      engines: engines, each with an agent.
      desks: replicas of the plain service.
      group: number of the fleet's addresses.
      proxied: whether connections go through proxies that can fail them.
      regions: region of each data centre.
      constraints: where requests may run, None for everywhere.
    """

    def run(use: Use) -> None:
        async def main() -> None:
            fleet = direct_fleet.Fleet(
                folder,
                entries,
                engines,
                group=group,
                desks=desks,
                proxied=proxied,
                regions=regions,
                constraints=constraints,
            )
            async with asyncio.timeout(TIMEOUT_S), fleet:
                await use(fleet)

        asyncio.run(main())

    return run
