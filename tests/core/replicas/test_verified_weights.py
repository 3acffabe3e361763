"""Tests that only verified weights of an engine receive requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import pytest

from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view

MakeReplica: TypeAlias = Callable[..., fleet.Replica]

SILENT_MS = replica_view.WEIGHTS_KNOWN_MS + 1.0


def report(
    weights: int, order_number: int, *, verified: bool = True
) -> replica_view.LoadReport:
    return replica_view.LoadReport(
        address="127.0.0.1:1",
        weights=weights,
        running=0,
        waiting=0,
        pace=1.0,
        opens=True,
        order_number=order_number,
        verified=verified,
    )


@pytest.fixture
def table(make_replica: MakeReplica) -> replica_table.ReplicaTable:
    """A table whose engine is listed with version 2, loaded by its order 1."""
    known = catalog.Catalog()
    replica = make_replica(weights=2, order_number=1)
    known.apply([catalog.ReplicaChange(1, "i-1", replica)], 0.0)
    found = replica_table.ReplicaTable()
    found.sync(known, 0.0)
    return found


def weights(table: replica_table.ReplicaTable, now_ms: float) -> int:
    view = table.get("i-1")
    assert view is not None
    return view.weights(now_ms)


def test_listed_version_of_a_silent_agent_is_not_used_unverified(
    table: replica_table.ReplicaTable,
) -> None:
    """Guards against an agent that is suspended after its order."""
    assert weights(table, 0.0) == 0
    table.handle_report(report(1, 0), 1.0)
    assert weights(table, SILENT_MS) == 0
    table.handle_report(report(2, 1), SILENT_MS)
    assert weights(table, 2.0 * SILENT_MS) == 2


def test_answer_does_not_bring_back_weights_that_are_reported_corrupt(
    table: replica_table.ReplicaTable,
) -> None:
    table.handle_report(report(2, 1), 1.0)
    view = table.get("i-1")
    assert view is not None
    table.handle_report(report(0, 1, verified=False), 2.0)
    view.seen_weights, view.seen_ms = 2, 3.0
    assert weights(table, 4.0) == 0
    assert weights(table, SILENT_MS) == 0


@pytest.mark.parametrize(
    ("before", "usable"),
    [
        ([], 2),
        ([report(2, 1)], 2),
        ([report(1, 0)], 0),
        ([report(1, 0), report(0, 1, verified=False)], 0),
    ],
    ids=["no report", "verified", "not verified", "loading"],
)
def test_load_that_a_new_agent_finds_is_used_unless_it_was_not_verified(
    table: replica_table.ReplicaTable,
    before: list[replica_view.LoadReport],
    usable: int,
) -> None:
    for number, each in enumerate(before):
        table.handle_report(each, 1.0 + number)
    table.handle_report(report(2, 1, verified=False), 10.0)
    assert weights(table, 11.0) == usable
    table.handle_report(report(2, 1), 12.0)
    assert weights(table, 13.0) == 2


def test_engine_without_orders_serves_what_it_is_listed_with(
    make_replica: MakeReplica,
) -> None:
    known = catalog.Catalog()
    replica = make_replica(weights=1, order_number=0)
    known.apply([catalog.ReplicaChange(1, "i-1", replica)], 0.0)
    table = replica_table.ReplicaTable()
    table.sync(known, 0.0)
    assert weights(table, 0.0) == 1


@pytest.mark.parametrize(
    "reported", [report(1, 0), report(0, 1, verified=False)]
)
def test_answer_with_an_unverified_version_is_not_used_while_the_list_lags(
    make_replica: MakeReplica, reported: replica_view.LoadReport
) -> None:
    """Guards against an answer that names a version before the list does."""
    known = catalog.Catalog()
    replica = make_replica(weights=1, order_number=0)
    known.apply([catalog.ReplicaChange(1, "i-1", replica)], 0.0)
    table = replica_table.ReplicaTable()
    table.sync(known, 0.0)
    table.handle_report(reported, 1.0)
    view = table.get("i-1")
    assert view is not None
    view.seen_weights, view.seen_ms = 2, 2.0
    assert weights(table, 3.0) != 2
    assert weights(table, SILENT_MS + 1.0) != 2


@pytest.mark.parametrize("weights_then", [0, 1], ids=["none", "older"])
def test_load_that_was_verified_while_it_ran_counts_once_it_has_ended(
    table: replica_table.ReplicaTable, weights_then: int
) -> None:
    """Guards against a sound engine without requests beside a silent agent."""
    table.handle_report(report(weights_then, 1), 1.0)
    assert weights(table, SILENT_MS + 1.0) == 2
