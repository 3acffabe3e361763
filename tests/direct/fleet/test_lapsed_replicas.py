"""Replicas whose records expired in an outage of the store, in virtual time."""

from __future__ import annotations

import pytest

from marlramp.core.configuration import catalog
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import store_fleet

START_MS = 6_000.0
"""Time after which the entries that started together know each other."""


@pytest.mark.parametrize("count", [1, 3, 42])
@pytest.mark.parametrize("outage_ms", [4_000.0, 20_000.0])
def test_replicas_that_lapsed_in_an_outage_are_kept_by_all_entries(
    outage_ms: float, count: int
) -> None:
    """A drop at the store's return would leave live replicas without work."""

    async def run() -> None:
        fleet = store_fleet.StoreFleet(count, replicas=3)
        await fleet.sleep(START_MS)
        lapsed = dict(fleet.store.changes)
        fleet.store.cut = set(fleet.entries)
        await fleet.sleep(outage_ms)
        for _, replica_id in lapsed:
            removal = catalog.ReplicaChange(0, replica_id, None)
            fleet.store.put_replica(removal)
        fleet.store.cut.clear()
        for _ in range(50):
            await fleet.sleep(40.0)
            for entry in fleet.store_entries():
                assert len(entry.known.replicas()) == len(lapsed)
        for change in lapsed.values():
            assert isinstance(change, catalog.ReplicaChange)
            fleet.store.put_replica(change)
        await fleet.sleep(5_000.0)
        for entry in fleet.store_entries():
            assert len(entry.known.replicas()) == len(lapsed)

    limited_fleet.play(run)
