"""Placement constraints of requests while real daemons fail."""

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
EVACUATION_BOUND_S = direct_documents.EVACUATE_MS / 1_000.0
OBSERVATION_S = 2.0
"""Time for which requests are observed after a bound has passed."""

WATCH_INTERVAL_S = 1.5
"""Interval within which an entry that watches the store calls it at least
once."""

RATE_PER_S = 40.0
SUSPENDED_S = 6.0
QUEUEING_LIMIT = "3"
"""Limit per replica and second at which most requests queue at the entry."""

QUEUEING_OBJECTIVE_MS = 6_000
DELIVERY_S = 0.1
"""Time within which a request already written to a connection reaches its
replica."""


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with entries and plain replicas in three regions."""
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
    """Returns the requests that reached a data centre since a time."""
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
    """Moves all requests from one data centre to another.

    Returns:
      Time at which the store acknowledged the evacuation.
    """
    fleet.store.evacuate(EVACUATED)
    fleet.store.end_evacuation(SERVING)
    return now_s()


async def assert_avoided(
    fleet: direct_fleet.Fleet, load: crowds.RequestLoad, put_s: float
) -> None:
    """Sends until after the bound; checks that the data centre is avoided."""
    left_s = put_s + EVACUATION_BOUND_S + OBSERVATION_S - now_s()
    await load.send_for(range(ENTRIES), left_s)
    assert arrivals(fleet, put_s + EVACUATION_BOUND_S) == []
    assert load.served_share(put_s + EVACUATION_BOUND_S) == 1.0


async def send_to_evacuated(
    fleet: direct_fleet.Fleet, load: crowds.RequestLoad
) -> None:
    """Evacuates all data centres but one; checks that all entries send to it.

    Entries prefer nearby replicas. Without this, an entry that missed an
    evacuation would rarely be noticed.
    """
    for data_centre in REGIONS:
        if data_centre != EVACUATED:
            fleet.store.evacuate(data_centre)
    fleet.store.end_evacuation(EVACUATED)
    await load.send_for(range(ENTRIES), OBSERVATION_S)
    entries = {
        arrival.request_id.partition("/")[0]
        for arrival in arrivals(fleet, now_s() - OBSERVATION_S / 2.0)
    }
    assert len(entries) == ENTRIES


async def start_load(fleet: direct_fleet.Fleet) -> crowds.RequestLoad:
    """Returns a load whose requests all reach the data centre to evacuate."""
    load = crowds.RequestLoad(fleet, "/stock/x", RATE_PER_S)
    await send_to_evacuated(fleet, load)
    return load


def test_evacuation_takes_effect_although_its_readers_are_killed(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against losing an evacuation with the entries that read it."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = await start_load(fleet)
        readers = [
            number
            for number in range(ENTRIES)
            if fleet.proxies[f"store:entry-{number}"].called_s
            > now_s() - WATCH_INTERVAL_S
        ]
        assert 0 < len(readers) < ENTRIES
        put_s = evacuate(fleet)
        for number in readers:
            fleet.processes[f"entry-{number}"].kill()
            await fleet.processes[f"entry-{number}"].wait()
        for number in readers:
            await fleet.start_entry(number)
            await fleet.wait_ready(fleet.entry_hosts[number])
        await assert_avoided(fleet, load, put_s)

    run_fleet(scenario)


def test_evacuation_holds_and_ends_after_the_store_resets_connections(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against missing a put between two watches."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = await start_load(fleet)
        links = [
            proxy
            for name, proxy in fleet.proxies.items()
            if name.startswith("store:")
        ]
        for link in links:
            link.set_fault(fault_proxy.Fault.RESET)
        put_s = evacuate(fleet)
        await load.send_for(range(ENTRIES), 1.5)
        for link in links:
            link.set_fault(fault_proxy.Fault.NONE)
        await assert_avoided(fleet, load, put_s)
        await send_to_evacuated(fleet, load)

    run_fleet(scenario)


def test_evacuation_repeated_right_after_its_end_holds(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against the end of the first evacuation cancelling the second."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = await start_load(fleet)
        fleet.store.evacuate(EVACUATED)
        await asyncio.sleep(0.3)
        fleet.store.end_evacuation(EVACUATED)
        await asyncio.sleep(0.3)
        await assert_avoided(fleet, load, evacuate(fleet))
        await send_to_evacuated(fleet, load)

    run_fleet(scenario)


def test_entry_suspended_across_the_put_sends_nothing_there(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against sending queued requests based on outdated state."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = await start_load(fleet)
        fleet.processes["entry-0"].send_signal(signal.SIGSTOP)
        put_s = evacuate(fleet)
        async with asyncio.TaskGroup() as group:
            group.create_task(load.send_for(range(ENTRIES), SUSPENDED_S))
            await asyncio.sleep(SUSPENDED_S)
            fleet.processes["entry-0"].send_signal(signal.SIGCONT)
        await load.send_for(range(ENTRIES), OBSERVATION_S)
        assert arrivals(fleet, put_s + EVACUATION_BOUND_S) == []

    run_fleet(scenario)


def test_entry_that_restarts_without_the_store_learns_of_the_evacuation(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against a start that learns of replicas but not of evacuations."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = await start_load(fleet)
        put_s = evacuate(fleet)
        await assert_avoided(fleet, load, put_s)
        fleet.store.down = True
        for number in range(ENTRIES - 1):
            fleet.processes[f"entry-{number}"].kill()
            await fleet.processes[f"entry-{number}"].wait()
            await fleet.start_entry(number)
            await fleet.wait_ready(fleet.entry_hosts[number])
        restarted_s = now_s()
        await load.send_for(range(ENTRIES), OBSERVATION_S)
        assert arrivals(fleet, put_s + EVACUATION_BOUND_S) == []
        assert load.served_share(restarted_s) == 1.0

    run_fleet(scenario)


def test_waiting_requests_follow_regions_that_are_narrowed(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against reading the regions only when a request arrives."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", RATE_PER_S)
        publish_regions(fleet, 2, [])
        for desk in fleet.desks:
            desk.need.name(QUEUEING_LIMIT)
        await load.send_for([0], 2.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(load.send_for([0], 4.0))
            await asyncio.sleep(1.0)
            publish_regions(fleet, 3, ["west"])
            applied_s = await wait_until_key_revoked(fleet)
        after = load.since(applied_s)
        before = [s for s in load.sent if s.at_s < applied_s]
        assert any(
            s.at_s + s.duration_s > applied_s + DELIVERY_S for s in before
        )
        assert any(s.served for s in after)
        for data_centre in ("dc-1", "dc-2"):
            since_s = applied_s + DELIVERY_S
            assert arrivals(fleet, since_s, data_centre) == []

    run_fleet(scenario)


def publish_regions(
    fleet: direct_fleet.Fleet, version: int, regions: list[str]
) -> None:
    """Publishes the regions of a route.

    Without regions, a spare key is valid too: its revocation shows that a
    later configuration with regions has been applied.
    """
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
        route["target_latency_ms"] = QUEUEING_OBJECTIVE_MS
    fleet.store.put("op/config", config)


async def wait_until_key_revoked(fleet: direct_fleet.Fleet) -> float:
    """Returns the time at which the first entry has applied the revocation."""
    host = fleet.entry_hosts[0]
    while b" 401 " not in await fleet.call(
        host, "/chat/x", "entry-0/probe", key="spare"
    ):
        await asyncio.sleep(0.01)
    return now_s()
