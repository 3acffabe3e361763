"""Replicas whose records are removed beside failed calls, in virtual time."""

from __future__ import annotations

import pytest

from marlramp.core.configuration import catalog
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import store_fleet

START_MS = 6_000.0
"""Time after which the entries that started together know each other."""

DRAIN_MS = 2_000.0
"""Time after a removal within which the last request may be sent."""


@pytest.mark.parametrize("count", [2, 3, 7])
@pytest.mark.parametrize("cut_ms", [1_000.0, 8_000.0])
def test_removed_replica_is_gone_at_an_entry_that_the_store_turns_away(
    cut_ms: float, count: int
) -> None:
    """It was used for as long as the calls of one entry failed, and 2.3 s."""

    async def run() -> None:
        fleet = store_fleet.StoreFleet(count, replicas=3)
        await fleet.sleep(START_MS)
        fleet.store.cut = {fleet.readers()[0].name}
        await fleet.sleep(cut_ms)
        removed = next(iter(fleet.replicas))
        fleet.store.put_replica(catalog.ReplicaChange(0, removed, None))
        await fleet.sleep(DRAIN_MS)
        for entry in fleet.store_entries():
            assert entry.known.replica(removed) is None, entry.name

    limited_fleet.play(run)
