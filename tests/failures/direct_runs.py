"""Runs test scenarios against a fleet of real daemons (direct path)."""

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

Scenario: TypeAlias = Callable[[direct_fleet.Fleet], Awaitable[None]]
RunFleet: TypeAlias = Callable[[Scenario], None]


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
    vm_limits: direct_documents.VmLimits = direct_documents.VM_LIMITS,
    caller_limits: Mapping[str, int] | None = None,
) -> RunFleet:
    """Returns a function that runs a scenario against a new fleet.

    Args:
      folder: directory for settings files and logs.
      entries: number of entries.
      engines: number of engines, each with an agent.
      desks: number of replicas of the plain service.
      group: the fleet's address group, 0 to 255.
      proxied: whether connections pass through fault-injecting proxies.
      regions: region of each data centre.
      constraints: placement constraints of requests, None for none.
      vm_limits: what each daemon may use on its VM.
      caller_limits: limits on callers that differ from the defaults.
    """

    def run(scenario: Scenario) -> None:
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
                vm_limits=vm_limits,
                caller_limits=caller_limits,
            )
            async with asyncio.timeout(TIMEOUT_S), fleet:
                await scenario(fleet)

        asyncio.run(main())

    return run
