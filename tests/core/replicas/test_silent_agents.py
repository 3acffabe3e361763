"""An agent that falls silent for about a second keeps its engine in use."""

from __future__ import annotations

import msgspec
import pytest

from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view

LISTED = fleet.Replica(
    replica_id="i-1",
    service_id=ids.ServiceId("s"),
    address="127.0.0.1:1",
    data_centre=ids.DataCentreId("dc-1"),
    slots=16,
    state=fleet.ReplicaState.HEALTHY,
    weights=1,
)


def report(address: str, weights: int) -> replica_view.LoadReport:
    return replica_view.LoadReport(
        address=address,
        weights=weights,
        running=0,
        waiting=0,
        pace=1.0,
        opens=True,
    )


@pytest.fixture
def table() -> replica_table.ReplicaTable:
    known = catalog.Catalog()
    known.apply([catalog.ReplicaChange(1, "i-1", LISTED)], 0.0)
    found = replica_table.ReplicaTable()
    found.sync(known, 0.0)
    return found


@pytest.mark.parametrize("age_ms", [1_000.0, 1_600.0, 1_900.0, 2_500.0])
def test_version_stays_known_while_reports_are_late(
    table: replica_table.ReplicaTable, age_ms: float
) -> None:
    table.handle_report(report(LISTED.address, 2), 0.0)
    view = table.get("i-1")
    assert view is not None
    assert view.weights(age_ms) == 2
    assert view.accepts_new(age_ms)


@pytest.mark.parametrize("age_ms", [1_600.0, 2_500.0])
def test_late_report_does_not_hide_a_newer_version_in_the_list(
    table: replica_table.ReplicaTable, age_ms: float
) -> None:
    table.handle_report(report(LISTED.address, 0), 0.0)
    view = table.get("i-1")
    assert view is not None
    assert view.weights(1_000.0) == 0
    assert view.weights(age_ms) == LISTED.weights


def test_version_of_a_late_report_expires(
    table: replica_table.ReplicaTable,
) -> None:
    table.handle_report(report(LISTED.address, 2), 0.0)
    view = table.get("i-1")
    assert view is not None
    assert view.weights(5_000.0) == LISTED.weights


def test_version_that_the_engine_denies_is_not_taken_from_a_late_report(
    table: replica_table.ReplicaTable,
) -> None:
    table.handle_report(report(LISTED.address, 2), 0.0)
    view = table.get("i-1")
    assert view is not None
    view.record_misdirected(1_700.0, 1_710.0)
    assert view.weights(2_500.0) == LISTED.weights
    table.handle_report(report(LISTED.address, 2), 3_000.0)
    assert view.weights(3_100.0) == 2
    assert view.weights(5_000.0) == 2


def test_denial_of_a_request_sent_before_a_report_leaves_it_valid(
    table: replica_table.ReplicaTable,
) -> None:
    table.handle_report(report(LISTED.address, 2), 1_000.0)
    view = table.get("i-1")
    assert view is not None
    view.record_misdirected(990.0, 1_010.0)
    assert view.weights(2_600.0) == 2


def test_report_that_was_made_earlier_does_not_replace_a_newer_one(
    table: replica_table.ReplicaTable,
) -> None:
    table.handle_report(report(LISTED.address, 2), 1_000.0)
    table.handle_report(report(LISTED.address, 1), 400.0)
    view = table.get("i-1")
    assert view is not None
    assert view.weights(1_100.0) == 2
    assert view.weights(2_400.0) == 2
    assert not view.is_out_of_contact(2_400.0)


def test_report_of_a_newer_start_counts_though_it_was_made_earlier(
    table: replica_table.ReplicaTable,
) -> None:
    old = msgspec.structs.replace(report(LISTED.address, 2), born_ms=1)
    new = msgspec.structs.replace(report(LISTED.address, 1), born_ms=2)
    table.handle_report(old, 1_000.0)
    assert table.handle_report(new, 900.0) == ["i-1"]
    view = table.get("i-1")
    assert view is not None
    assert view.weights(1_100.0) == 1


def test_report_keeps_its_age_while_its_replica_is_not_listed() -> None:
    known = catalog.Catalog()
    found = replica_table.ReplicaTable()
    for revision, listed in enumerate([LISTED, None, LISTED], 1):
        known.apply([catalog.ReplicaChange(revision, "i-1", listed)], 0.0)
        found.sync(known, 1_600.0 if revision == 3 else 0.0)
        if revision == 1:
            found.handle_report(report(LISTED.address, 2), 0.0)
    view = found.get("i-1")
    assert view is not None
    assert view.weights(1_600.0) == 2
    assert view.is_out_of_contact(1_600.0)
    assert view.weights(4_000.0) == LISTED.weights


def test_reports_of_unknown_engines_are_bounded(
    table: replica_table.ReplicaTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica_table, "REPORTS_MAX", 16, raising=False)
    for number in range(100):
        table.handle_report(report(f"x:{number}", 1), 0.0)
        table.handle_report(report(LISTED.address, 2), 0.0)
    assert len(table._reports) <= 16
    assert LISTED.address in table._reports
