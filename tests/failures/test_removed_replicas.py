"""Real daemons beside a store that turns one entry away."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from standins import direct_fleet
from standins import fault_proxy
from tests.failures import direct_runs

ENTRIES = 2
DESKS = 3
TURNED_AWAY_S = 4.0
"""Time for which the calls of the entry fail before the removal."""

DRAIN_S = 2.0
CALL_EVERY_S = 0.03


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    return direct_runs.runner(
        tmp_path, ENTRIES, 0, DESKS, group=94, proxied=True
    )


def test_entry_that_the_store_turns_away_stops_using_a_removed_replica(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """It sent requests there for as long as its own calls failed."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        removed, loop = fleet.desks[0], asyncio.get_running_loop()
        calls: list[asyncio.Task[bytes]] = []

        async def call_for(duration_s: float) -> None:
            end_s = loop.time() + duration_s
            while loop.time() < end_s:
                call = fleet.call(
                    fleet.entry_hosts[0], "/order/x", f"s-{len(calls)}"
                )
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(CALL_EVERY_S)

        await asyncio.sleep(1.0)
        store = fleet.proxies["store:entry-0"]
        store.set_fault(fault_proxy.Fault.RESET)
        await call_for(TURNED_AWAY_S)
        assert removed.arrivals
        fleet.store.delete(f"servers/{removed.replica_id}")
        removed_s = loop.time()
        await call_for(DRAIN_S + 2.0)
        await asyncio.gather(*calls)
        late = [
            arrival
            for arrival in removed.arrivals
            if arrival.at_s > removed_s + DRAIN_S and not arrival.misdirected
        ]
        assert not late

    run_fleet(scenario)
