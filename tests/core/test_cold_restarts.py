"""Tests of replicas that are cold after a restart under an unchanged id."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.core import replica_table

BORN_MS = 1_774_684_600_190
START_MS = 4_000.0
HEARTBEAT_MS = 1_200.0


class OneEach:
    """Grants this entry one request per second to each cold replica."""

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        return 1


@pytest.mark.parametrize(
    ("cold_left_ms", "left_ms"),
    [
        (0.0, START_MS + HEARTBEAT_MS),
        (START_MS, START_MS + HEARTBEAT_MS),
        (9_000.0, 9_000.0),
    ],
)
def test_record_of_a_later_start_makes_a_replica_cold(
    make_replica: Callable[..., fleet.Replica],
    make_config: Callable[..., fleet.FleetConfig],
    cold_left_ms: float,
    left_ms: float,
) -> None:
    """Guards against a restart whose first record still reports 0.

    The entry's share also counts what it sent just before the restart.
    """
    config = make_config()
    service = msgspec.structs.replace(
        config.services[0], cold_start_ms=START_MS, cold_per_s=3.0
    )
    config = msgspec.structs.replace(config, services=[service])
    known = catalog.Catalog()
    table = replica_table.ReplicaTable(OneEach(), HEARTBEAT_MS)

    def listed(revision: int, now_ms: float, **fields: float) -> None:
        replica = make_replica(**fields)
        known.apply([catalog.ReplicaChange(revision, "i-1", replica)], now_ms)
        table.sync(known, now_ms)

    known.apply([catalog.ConfigChange(1, config)], 0.0)
    listed(2, 0.0, born_ms=BORN_MS)
    before = table.get("i-1")
    assert before is not None and before.cold is not None
    assert before.cold.left_ms(0.0) == 0.0
    before.record_written(9_900.0)
    listed(3, 10_000.0, born_ms=BORN_MS + 1, cold_left_ms=cold_left_ms)
    after = table.get("i-1")
    assert after is not None and after is not before
    assert after.cold is not None
    assert after.cold.left_ms(10_000.0) == left_ms
    assert after.cold_wait_ms(10_000.0) > 0.0
    listed(4, 10_000.0 + HEARTBEAT_MS, born_ms=BORN_MS + 1)
    assert after.cold.left_ms(10_000.0 + HEARTBEAT_MS) == 0.0
