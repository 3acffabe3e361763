"""Constraints on where requests may run, before real daemons that fail."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from standins import direct_documents
from standins import direct_fleet
from standins import direct_replicas
from standins import fault_proxy
from tests.failures import crowds
from tests.failures import direct_runs

ENTRIES = 3
DESKS = 6
REGIONS = {"dc-1": "north", "dc-2": "south", "dc-3": "west"}
EVACUATED = "dc-2"
SERVING = "dc-1"
BOUND_S = direct_documents.EVACUATE_MS / 1_000.0
SEEN_S = 2.0
"""Time for which requests are sent after a bound has passed."""

WATCH_S = 1.5
"""Interval in which an entry that watches the store calls it at least once."""

PER_S = 40.0
SUSPENDED_S = 6.0
HOLDING_LIMIT = "3"
"""Limit of each replica per second at which most requests wait at the entry."""

HOLDING_OBJECTIVE_MS = 6_000
WRITTEN_S = 0.1
"""Time within which a request that was already written reaches its replica."""


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a test with entries and plain replicas in three regions."""
    return direct_runs.runner(
        tmp_path,
        ENTRIES,
        0,
        DESKS,
        group=61,
        proxied=True,
        regions=REGIONS,
        constraints=direct_documents.Constraints(),
    )


def arrivals(
    fleet: direct_fleet.Fleet, since_s: float, data_centre: str = EVACUATED
) -> list[direct_replicas.Arrival]:
    """Returns the requests that reached a data centre since some time."""
    return [
        arrival
        for desk in fleet.desks
        if desk.data_centre == data_centre
        for arrival in desk.arrivals
        if arrival.at_s > since_s
    ]


def now_s() -> float:
    return asyncio.get_running_loop().time()


def evacuate(fleet: direct_fleet.Fleet) -> float:
    """Moves the requests from one data centre to another.

    Returns:
      When the store acknowledged the evacuation.
    """
    fleet.store.evacuate(EVACUATED)
    fleet.store.end_evacuation(SERVING)
    return now_s()


async def assert_avoided(
    fleet: direct_fleet.Fleet, crowd: crowds.Crowd, put_s: float
) -> None:
    """Sends to all entries until after the bound, and checks it."""
    left_s = put_s + BOUND_S + SEEN_S - now_s()
    await crowd.send_for(range(ENTRIES), left_s)
    assert arrivals(fleet, put_s + BOUND_S) == []
    assert crowd.served_share(put_s + BOUND_S) == 1.0


async def send_there(fleet: direct_fleet.Fleet, crowd: crowds.Crowd) -> None:
    """Leaves one data centre; checks that all entries send to it.

    Entries prefer replicas nearby, so that one which has not heard of an
    evacuation would otherwise seldom be seen.
    """
    for data_centre in REGIONS:
        if data_centre != EVACUATED:
            fleet.store.evacuate(data_centre)
    fleet.store.end_evacuation(EVACUATED)
    await crowd.send_for(range(ENTRIES), SEEN_S)
    entries = {
        arrival.request_id.partition("/")[0]
        for arrival in arrivals(fleet, now_s() - SEEN_S / 2.0)
    }
    assert len(entries) == ENTRIES


async def warmed_up(fleet: direct_fleet.Fleet) -> crowds.Crowd:
    """Returns a crowd whose requests all reach one data centre."""
    crowd = crowds.Crowd(fleet, "/stock/x", PER_S)
    await send_there(fleet, crowd)
    return crowd


def test_evacuation_is_in_force_though_its_readers_are_killed(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against an evacuation that is lost with those that read it."""

    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = await warmed_up(fleet)
        readers = [
            number
            for number in range(ENTRIES)
            if fleet.proxies[f"store:entry-{number}"].called_s
            > now_s() - WATCH_S
        ]
        assert 0 < len(readers) < ENTRIES
        put_s = evacuate(fleet)
        for number in readers:
            fleet.processes[f"entry-{number}"].kill()
            await fleet.processes[f"entry-{number}"].wait()
        for number in readers:
            await fleet.start_entry(number)
            await fleet.wait_ready(fleet.entry_hosts[number])
        await assert_avoided(fleet, crowd, put_s)

    run_fleet(use)


def test_evacuation_holds_and_ends_after_the_store_reset_connections(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against a put that is missed between two watches."""

    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = await warmed_up(fleet)
        links = [
            proxy
            for name, proxy in fleet.proxies.items()
            if name.startswith("store:")
        ]
        for link in links:
            link.set_fault(fault_proxy.Fault.RESET)
        put_s = evacuate(fleet)
        await crowd.send_for(range(ENTRIES), 1.5)
        for link in links:
            link.set_fault(fault_proxy.Fault.NONE)
        await assert_avoided(fleet, crowd, put_s)
        await send_there(fleet, crowd)

    run_fleet(use)


def test_evacuation_that_is_put_again_at_once_holds(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against the end of the first one that outlives the second put."""

    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = await warmed_up(fleet)
        fleet.store.evacuate(EVACUATED)
        await asyncio.sleep(0.3)
        fleet.store.end_evacuation(EVACUATED)
        await asyncio.sleep(0.3)
        await assert_avoided(fleet, crowd, evacuate(fleet))
        await send_there(fleet, crowd)

    run_fleet(use)


def test_entry_suspended_across_the_put_sends_nothing_there(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against waiting requests that are sent on outdated knowledge."""

    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = await warmed_up(fleet)
        fleet.processes["entry-0"].send_signal(signal.SIGSTOP)
        put_s = evacuate(fleet)
        async with asyncio.TaskGroup() as group:
            group.create_task(crowd.send_for(range(ENTRIES), SUSPENDED_S))
            await asyncio.sleep(SUSPENDED_S)
            fleet.processes["entry-0"].send_signal(signal.SIGCONT)
        await crowd.send_for(range(ENTRIES), SEEN_S)
        assert arrivals(fleet, put_s + BOUND_S) == []

    run_fleet(use)


def test_entry_that_restarts_without_the_store_learns_of_the_evacuation(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against a start that takes replicas but no evacuations."""

    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = await warmed_up(fleet)
        put_s = evacuate(fleet)
        await assert_avoided(fleet, crowd, put_s)
        fleet.store.down = True
        for number in range(ENTRIES - 1):
            fleet.processes[f"entry-{number}"].kill()
            await fleet.processes[f"entry-{number}"].wait()
            await fleet.start_entry(number)
            await fleet.wait_ready(fleet.entry_hosts[number])
        restarted_s = now_s()
        await crowd.send_for(range(ENTRIES), SEEN_S)
        assert arrivals(fleet, put_s + BOUND_S) == []
        assert crowd.served_share(restarted_s) == 1.0

    run_fleet(use)


def test_waiting_requests_follow_regions_that_are_narrowed(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against regions that are read only when a request arrives."""

    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = crowds.Crowd(fleet, "/stock/x", PER_S)
        publish_regions(fleet, 2, [])
        for desk in fleet.desks:
            desk.need.name(HOLDING_LIMIT)
        await crowd.send_for([0], 2.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(crowd.send_for([0], 4.0))
            await asyncio.sleep(1.0)
            publish_regions(fleet, 3, ["west"])
            applied_s = await until_key_is_revoked(fleet)
        after = crowd.since(applied_s)
        before = [s for s in crowd.sent if s.at_s < applied_s]
        assert any(s.at_s + s.taken_s > applied_s + WRITTEN_S for s in before)
        assert any(s.served for s in after)
        for data_centre in ("dc-1", "dc-2"):
            since_s = applied_s + WRITTEN_S
            assert arrivals(fleet, since_s, data_centre) == []

    run_fleet(use)


def publish_regions(
    fleet: direct_fleet.Fleet, version: int, regions: list[str]
) -> None:
    """Publishes regions of a route, and a spare key while there are none."""
    keys = [direct_documents.KEY, *([] if regions else ["spare"])]
    config = direct_documents.configuration(
        fleet.origin_address,
        version,
        keys,
        direct_documents.Constraints(route_regions={"stock": regions}),
    )
    routes = config["route_table"]
    assert isinstance(routes, list)
    for route in routes:
        route["target_latency_ms"] = HOLDING_OBJECTIVE_MS
    fleet.store.put("op/config", config)


async def until_key_is_revoked(fleet: direct_fleet.Fleet) -> float:
    """Returns when the first entry was seen to have the configuration."""
    host = fleet.entry_hosts[0]
    while b" 401 " not in await fleet.call(
        host, "/chat/x", "entry-0/probe", key="spare"
    ):
        await asyncio.sleep(0.01)
    return now_s()
