"""Tests of replicas that restart under an unchanged id."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec
import pytest

from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view

MakeReplica: TypeAlias = Callable[..., fleet.Replica]

EARLIER_MS = 1_774_684_600_190
LATER_MS = EARLIER_MS + 5_000


@pytest.fixture
def known(make_replica: MakeReplica) -> catalog.Catalog:
    """A catalog with one engine that holds version 1."""
    found = catalog.Catalog()
    replica = make_replica(weights=1, born_ms=EARLIER_MS)
    found.apply([catalog.ReplicaChange(1, "i-1", replica)], 0.0)
    return found


@pytest.fixture
def table(known: catalog.Catalog) -> replica_table.ReplicaTable:
    """A table that holds state about that engine: requests, failures."""
    found = replica_table.ReplicaTable()
    found.sync(known, 0.0)
    view = found.get("i-1")
    assert view is not None
    view.seen_weights = 1
    view.seen_ms = 10.0
    view.record_sent(500, 10.0)
    for _ in range(replica_view.FAILURES_MAX):
        view.record_incomplete(10.0)
    return found


def report(born_ms: int | None, weights: int) -> replica_view.LoadReport:
    return replica_view.LoadReport(
        address="127.0.0.1:1",
        weights=weights,
        running=0,
        waiting=0,
        pace=1.0,
        opens=True,
        born_ms=born_ms,
    )


def assert_unknown(table: replica_table.ReplicaTable) -> None:
    view = table.get("i-1")
    assert view is not None
    assert table.of(view.replica.service_id) == [view]
    assert view.weights(20.0) == 0
    assert (view.in_flight, view.unread, view.load(20.0)) == (0, 0, 0.0)
    assert view.failure_share(20.0) == 0.0


def test_new_record_of_a_restarted_replica_discards_its_state(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    make_replica: MakeReplica,
) -> None:
    before = table.get("i-1")
    again = make_replica(weights=0, born_ms=LATER_MS)
    known.apply([catalog.ReplicaChange(2, "i-1", again)], 20.0)
    assert table.sync(known, 20.0) == ["i-1"]
    assert_unknown(table)
    assert before is not None
    before.record_ended()
    assert_unknown(table)


def test_report_of_a_new_start_overrides_the_list(
    known: catalog.Catalog, table: replica_table.ReplicaTable
) -> None:
    assert table.handle_report(report(LATER_MS, 0), 20.0) == ["i-1"]
    assert_unknown(table)
    assert table.sync(known, 21.0) == []
    late_ms = 21.0 + 2 * replica_view.REPORT_FRESH_MS
    view = table.get("i-1")
    assert view is not None
    assert view.weights(late_ms) == 0


def test_late_report_of_an_earlier_start_is_ignored(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    make_replica: MakeReplica,
) -> None:
    assert table.handle_report(report(LATER_MS, 0), 20.0) == ["i-1"]
    assert table.handle_report(report(EARLIER_MS, 1), 21.0) == []
    assert_unknown(table)
    again = make_replica(weights=0, born_ms=LATER_MS)
    known.apply([catalog.ReplicaChange(2, "i-1", again)], 22.0)
    late = make_replica(weights=1, born_ms=EARLIER_MS)
    assert known.apply([catalog.ReplicaChange(3, "i-1", late)], 23.0) == []
    assert table.sync(known, 23.0) == []
    assert_unknown(table)


def test_platform_that_reports_no_start_time_keeps_the_state(
    known: catalog.Catalog, table: replica_table.ReplicaTable
) -> None:
    assert table.handle_report(report(None, 1), 20.0) == []
    view = table.get("i-1")
    assert view is not None
    assert (view.in_flight, view.weights(20.0)) == (1, 1)
    (held,) = known.replicas()
    without_start = msgspec.structs.replace(held, born_ms=None)
    known.apply([catalog.ReplicaChange(2, "i-1", without_start)], 21.0)
    assert table.sync(known, 21.0) == []


def remove_and_add(
    table: replica_table.ReplicaTable,
    known: catalog.Catalog,
    replica: fleet.Replica,
) -> replica_view.ReplicaView:
    """Removes a replica from the list and adds it again."""
    known.apply([catalog.ReplicaChange(5, "i-1", None)], 1_000.0)
    table.sync(known, 1_000.0)
    assert table.get("i-1") is None
    known.apply([catalog.ReplicaChange(6, "i-1", replica)], 1_500.0)
    table.sync(known, 1_500.0)
    view = table.get("i-1")
    assert view is not None
    return view


def test_leaving_replica_stays_closed_when_the_list_lacks_it_for_a_moment(
    table: replica_table.ReplicaTable,
    known: catalog.Catalog,
    make_replica: MakeReplica,
) -> None:
    view = table.get("i-1")
    assert view is not None
    view.availability.record_leaving(2_000.0, 500.0)
    view.availability.record_pause(60_000.0, 0.0, 500.0)
    replica = make_replica(weights=1, born_ms=EARLIER_MS)
    back = remove_and_add(table, known, replica)
    assert back.availability.is_leaving
    assert back.availability.is_paused(10_000.0)


@pytest.mark.parametrize("born_ms", [LATER_MS, None])
def test_restarted_replica_is_not_leaving(
    table: replica_table.ReplicaTable,
    known: catalog.Catalog,
    make_replica: MakeReplica,
    born_ms: int | None,
) -> None:
    view = table.get("i-1")
    assert view is not None
    view.availability.record_leaving(2_000.0, 500.0)
    replica = make_replica(weights=1, born_ms=born_ms)
    back = remove_and_add(table, known, replica)
    assert not back.availability.is_leaving


def test_answer_of_an_earlier_start_does_not_close_a_later_one(
    table: replica_table.ReplicaTable,
) -> None:
    earlier = table.get("i-1")
    assert earlier is not None
    table.handle_report(report(LATER_MS, 1), 1_000.0)
    earlier.availability.record_leaving(2_000.0, 1_100.0)
    earlier.availability.record_pause(3_000.0, 0.0, 1_100.0)
    later = table.get("i-1")
    assert later is not None
    assert later.accepts_new(1_200.0)
