from __future__ import annotations

from typing import TypeAlias

import pytest

from marlramp import clock
from marlramp import counters
from marlramp.direct import cold_log
from tests.direct import conftest

Logged: TypeAlias = list[tuple[str, dict[str, object]]]


@pytest.fixture
def totals() -> counters.Counters:
    """Counters of the process."""
    return counters.Counters()


@pytest.fixture
def log(
    cold_fleet: conftest.ColdFleet,
    totals: counters.Counters,
    time: clock.ManualClock,
) -> cold_log.ColdLog:
    """The log of a fleet in which i-1 is cold and i-2 is warm."""
    return cold_log.ColdLog(cold_fleet.table, totals, time)


def test_changes_are_logged_once_with_their_reason(
    log: cold_log.ColdLog,
    cold_fleet: conftest.ColdFleet,
    logged: Logged,
    time: clock.ManualClock,
) -> None:
    for _ in range(3):
        log.tick()
        time.advance(cold_log.CHECK_INTERVAL_MS)
    assert logged == [
        (
            "replica_cold",
            {
                "replica": "i-1",
                "service": "s",
                "data_centre": "dc-1",
                "left_ms": 5_000,
                "share_per_s": 4,
                "reason": "listed",
            },
        )
    ]
    logged.clear()
    warm = cold_fleet.table.get("i-1")
    suspected = cold_fleet.table.get("i-2")
    assert warm is not None
    assert suspected is not None
    warm.record_cold_answer(0.0, time.now_ms(), time.now_ms())
    suspected.suspect_cold(time.now_ms())
    log.tick()
    assert [
        (event, fields["replica"], fields["reason"]) for event, fields in logged
    ] == [
        ("replica_cold", "i-2", "suspected"),
        ("replica_warm", "i-1", "answer"),
    ]


def test_end_of_an_evacuation_does_not_flood_the_log(
    log: cold_log.ColdLog,
    cold_fleet: conftest.ColdFleet,
    logged: Logged,
    totals: counters.Counters,
    time: clock.ManualClock,
) -> None:
    for number in range(30):
        cold_fleet.list_replica(f"r-{number}", "dc-1", 900.0)
    log.tick()
    assert len(logged) == cold_log.LINES_PER_S_MAX
    time.advance(cold_log.CHECK_INTERVAL_MS)
    log.tick()
    assert len(logged) == 2 * cold_log.LINES_PER_S_MAX
    assert totals.total(counters.CounterName.COLD_STATES, "cold") == 31
    assert totals.total(counters.CounterName.COLD_STATES, "warm") == 30
