"""Tests of the cold state of replicas that restart, leave and return."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from tests.core.replicas import test_replica_restarts as restarts

HEARTBEAT_MS = 2_000.0
START_MS = 20_000.0
FIRST, SECOND = restarts.EARLIER_MS, restarts.LATER_MS


class OnePerSecond:
    """Permits one request per second for each replica."""

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        return 1


def at(ms: float) -> clock.Millis:
    return clock.Millis(ms)


class ListedReplica:
    """A replica of a service with cold starts, as an entry knows it."""

    def __init__(
        self, config: fleet.FleetConfig, make: restarts.MakeReplica
    ) -> None:
        service = msgspec.structs.replace(
            config.services[0], cold_start_ms=START_MS, cold_per_s=17.0
        )
        config = msgspec.structs.replace(config, services=[service])
        self._make = make
        self._known = catalog.Catalog()
        self._known.apply([catalog.ConfigChange(1, config)], at(0))
        self._revision = 1
        self.table = replica_table.ReplicaTable(OnePerSecond(), HEARTBEAT_MS)

    def list(
        self, now_ms: float, born_ms: int | None, left_ms: float = 0.0
    ) -> None:
        """Applies a record of the replica, or its removal without `born_ms`."""
        record = None
        if born_ms is not None:
            record = self._make(born_ms=born_ms, cold_left_ms=left_ms)
        self._revision += 1
        change = catalog.ReplicaChange(self._revision, "i-1", record)
        self._known.apply([change], at(now_ms))
        self.table.sync(self._known, at(now_ms))

    def view(self) -> replica_view.ReplicaView:
        found = self.table.get("i-1")
        assert found is not None
        return found

    def left_ms(self, now_ms: float) -> float:
        cold = self.view().cold
        assert cold is not None
        return cold.left_ms(at(now_ms))


@pytest.fixture
def listed(
    make_config: Callable[..., fleet.FleetConfig],
    make_replica: restarts.MakeReplica,
) -> ListedReplica:
    """A replica that is first seen with a record that says it is not cold."""
    found = ListedReplica(make_config(), make_replica)
    found.list(0.0, FIRST)
    return found


def test_replica_first_seen_with_zero_is_not_cold(
    listed: ListedReplica,
) -> None:
    """Guards against a starting entry that takes all replicas for cold."""
    assert listed.left_ms(0.0) == 0.0


def test_record_counts_from_its_arrival_only(listed: ListedReplica) -> None:
    """Guards against a table update that prolongs an older record."""
    listed.list(100.0, FIRST, 5_000.0)
    listed.table.sync(listed._known, at(4_000.0))
    assert listed.left_ms(4_000.0) == 1_100.0


@pytest.mark.parametrize("by_report", [False, True])
def test_later_start_is_cold_until_a_record_after_a_heartbeat(
    listed: ListedReplica, by_report: bool
) -> None:
    """Guards against a restart whose first record does not say cold yet."""
    if by_report:
        listed.table.handle_report(restarts.report(SECOND, 1), at(100.0))
    listed.list(100.0, SECOND)
    assert listed.left_ms(100.0) == START_MS + HEARTBEAT_MS
    listed.list(100.0 + HEARTBEAT_MS, SECOND)
    assert listed.left_ms(100.0 + HEARTBEAT_MS) == 0.0


def test_unreachable_replica_is_cold(listed: ListedReplica) -> None:
    """Guards against a refused connection that raises no suspicion."""
    listed.view().record_unreachable(at(100.0))
    assert listed.left_ms(100.0) == START_MS + HEARTBEAT_MS


def test_ended_evacuation_makes_replicas_cold(listed: ListedReplica) -> None:
    """Guards against a data centre that returns with unlimited sends."""
    centre = listed.view().replica.data_centre
    listed.table.suspect_cold(centre, at(100.0))
    assert listed.left_ms(100.0) == START_MS + HEARTBEAT_MS


@pytest.mark.parametrize("removed", [False, True])
def test_request_assigned_before_a_restart_sees_the_cold_state(
    listed: ListedReplica, removed: bool
) -> None:
    """Guards against an entry that resumes with requests for the old start."""
    before = listed.view()
    if removed:
        listed.list(50.0, None)
    listed.list(100.0, SECOND, START_MS)
    assert before.cold_wait_ms(at(100.0)) == 0.0
    before.record_written(at(100.0))
    assert before.cold_wait_ms(at(101.0)) > 900.0
    assert listed.view().cold_wait_ms(at(101.0)) > 900.0


def test_requests_before_a_removal_count_after_the_return(
    listed: ListedReplica,
) -> None:
    """Guards against a second share for a replica that returns at once."""
    listed.list(10.0, FIRST, START_MS)
    listed.view().record_written(at(20.0))
    listed.list(30.0, None)
    listed.list(40.0, FIRST, START_MS)
    assert listed.view().cold_wait_ms(at(40.0)) > 900.0
