"""Requests that begin on old weights too long after a new target version."""

from __future__ import annotations

import asyncio
import json
import pathlib

import pytest

from standins import direct_documents
from standins import direct_fleet
from tests.failures import crowds
from tests.failures import direct_runs

ENTRIES = 3
ENGINES = 3
VERSION_MS = 4_000.0
"""Maximum switching time, as in the settings that the stand-in writes."""

UNUSED_ORIGIN = "127.0.0.1:1"
ROUTES = 1_280
CONFIG_TRANSFER_S = 0.6
BASE64_GROWTH = 4 / 3


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario whose connections to the store can be throttled."""
    return direct_runs.runner(
        tmp_path, ENTRIES, ENGINES, 0, group=83, proxied=True
    )


def large_configuration() -> dict[str, object]:
    config = direct_documents.configuration(UNUSED_ORIGIN, version=2)
    routes = config["route_table"]
    assert isinstance(routes, list)
    more = [
        {**routes[0], "name": f"more-{n}", "path_prefix": f"/more-{n}/"}
        for n in range(ROUTES)
    ]
    config["route_table"] = routes + more
    return config


def narrow_store(fleet: direct_fleet.Fleet, bytes_per_s: float) -> None:
    for name, proxy in fleet.proxies.items():
        if name.startswith("store:entry-"):
            proxy.narrow(bytes_per_s)


def begins_on_old(fleet: direct_fleet.Fleet, since_s: float) -> list[float]:
    """Returns the start times of requests on version 1, sorted.

    Times are in ms after `since_s`; earlier requests are left out.
    """
    return sorted(
        (begin.at_s - since_s) * 1_000
        for engine in fleet.engines
        for begin in engine.begins
        if begin.weights == 1 and begin.at_s > since_s
    )


def test_large_configuration_does_not_delay_the_switch_to_new_weights(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against a target version that is delayed by a large configuration.

    The configuration is sent first, over the same throttled connections.
    """

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/chat/x", per_s=40.0)
        await load.send_for(range(ENTRIES), 2.0)
        config = large_configuration()
        sent_bytes = len(json.dumps(config)) * BASE64_GROWTH
        narrow_store(fleet, sent_bytes / CONFIG_TRANSFER_S)
        fleet.store.put("op/config", config)
        await asyncio.sleep(0.05)
        target = {"model_name": direct_documents.MODEL, "version": 2}
        fleet.store.put(f"op/version/{direct_documents.MODEL}", target)
        named_s = asyncio.get_running_loop().time()
        await load.send_for(range(ENTRIES), VERSION_MS / 1_000 + 1.5)
        begins_ms = begins_on_old(fleet, named_s)
        assert any(at_ms > VERSION_MS / 2 for at_ms in begins_ms)
        late_ms = [at_ms for at_ms in begins_ms if at_ms > VERSION_MS]
        assert not late_ms, f"{len(late_ms)} late, last at {late_ms[-1]} ms"

    run_fleet(scenario)
