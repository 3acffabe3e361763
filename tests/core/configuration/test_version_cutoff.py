"""Tests of the cutoffs of an old version by path latency.

They cover the time until which requests are sent to a replica on an old
version, and the time at which waiting requests are withdrawn from it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.core.configuration import version_cutoff
from marlramp.core.replicas import path_latency
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice

MakeReplica: TypeAlias = Callable[..., fleet.Replica]

BOUND_MS = 8_000.0
ANYWHERE = upstream_choice.PreferredLocations(frozenset())


@pytest.fixture
def known(
    make_replica: MakeReplica, time: clock.ManualClock
) -> catalog.Catalog:
    """Two engines in one data centre and one in another, on version 1.

    Version 2 is announced now.
    """
    found = catalog.Catalog()
    centres = {"i-1": "dc-1", "i-2": "dc-1", "i-3": "dc-2"}
    changes: list[catalog.Change] = [
        catalog.ReplicaChange(
            number + 1,
            replica_id,
            make_replica(
                replica_id=replica_id,
                address=f"127.0.0.1:{number + 1}",
                data_centre=ids.DataCentreId(centre),
            ),
        )
        for number, (replica_id, centre) in enumerate(centres.items())
    ]
    target = fleet.WeightsTarget(model="m", version=2)
    changes.append(catalog.TargetChange(9, target, event_time.Ages(0.0, 0.0)))
    found.apply(changes, time.now_ms())
    return found


@pytest.fixture
def table(
    known: catalog.Catalog, time: clock.ManualClock
) -> replica_table.ReplicaTable:
    """A table with the engines of `known`."""
    found = replica_table.ReplicaTable()
    found.sync(known, time.now_ms())
    return found


def view_of(
    table: replica_table.ReplicaTable, replica_id: str
) -> replica_view.ReplicaView:
    view = table.get(replica_id)
    assert view is not None
    return view


def needs_of(
    known: catalog.Catalog, engine: fleet.EngineSpec, now_ms: clock.Millis
) -> replica_filters.RequestNeeds:
    target = known.targets["m"]
    return replica_filters.RequestNeeds(
        engine=engine,
        prompt_tokens=900,
        events=18.0,
        oldest_weights=version_cutoff.oldest_allowed(
            target, BOUND_MS, now_ms - 60_000.0, now_ms
        ),
        cutoffs=version_cutoff.upcoming_cutoffs(target, BOUND_MS, now_ms),
        failed=(),
    )


def select(
    known: catalog.Catalog,
    view: replica_view.ReplicaView,
    engine: fleet.EngineSpec,
    now_ms: clock.Millis,
) -> upstream_choice.Choice:
    target = known.targets["m"]
    (choice,) = upstream_choice.rank(
        [view], needs_of(known, engine, now_ms), ANYWHERE, now_ms
    )
    return msgspec.structs.replace(
        choice,
        begins_until_ms=version_cutoff.begins_until_ms(target, BOUND_MS, 1),
        sent_until_ms=version_cutoff.sent_until_ms(target, BOUND_MS, 1),
    )


@pytest.mark.parametrize("latency_ms", [0.0, 3.0, 9.0, 9.5, 63.0, 150.0, 400.0])
def test_replica_is_selected_while_requests_may_be_written_to_it(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    time: clock.ManualClock,
    latency_ms: float,
) -> None:
    view = view_of(table, "i-1")
    choice = select(known, view, engine, time.now_ms())
    announced_ms = time.now_ms()
    until_ms = announced_ms
    time.advance(BOUND_MS - 1_000.0)
    while time.now_ms() < announced_ms + BOUND_MS:
        now_ms = time.now_ms()
        view.record_latency(latency_ms, now_ms)
        written = choice.may_be_written(now_ms)
        request = needs_of(known, engine, now_ms)
        assert replica_filters.admits(view, request, now_ms) == written
        assert replica_filters.still_admits(view, request, now_ms) == written
        if written:
            until_ms = now_ms
            # The request has as much time to begin as with a low latency.
            wait_ms = choice.withdrawal_ms(now_ms) - now_ms
            assert wait_ms > (
                version_cutoff.QUEUE_MARGIN_MS
                - version_cutoff.WITHDRAWAL_MARGIN_MS
            )
        time.advance(1.0)
    margin_ms = version_cutoff.QUEUE_MARGIN_MS + max(
        0.0, latency_ms - path_latency.MARGIN_LATENCY_MS
    )
    left_ms = announced_ms + BOUND_MS - until_ms
    assert margin_ms < left_ms <= margin_ms + 1.0


@pytest.mark.parametrize(
    "latency_ms", [0.0, 3.0, path_latency.MARGIN_LATENCY_MS]
)
def test_low_path_latency_leaves_the_margins_at_their_least(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    time: clock.ManualClock,
    latency_ms: float,
) -> None:
    view = view_of(table, "i-1")
    view.record_latency(latency_ms, time.now_ms())
    choice = select(known, view, engine, time.now_ms())
    withdrawal_ms = choice.withdrawal_ms(time.now_ms())
    assert withdrawal_ms == (
        time.now_ms() + BOUND_MS - version_cutoff.WITHDRAWAL_MARGIN_MS
    )


def test_withdrawal_time_uses_the_highest_latency_of_the_data_centre(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    time: clock.ManualClock,
) -> None:
    view_of(table, "i-1").record_latency(150.0, time.now_ms())
    mandatory_ms = time.now_ms() + BOUND_MS
    for replica_id, least_ms in (("i-1", 150.0), ("i-2", 150.0), ("i-3", 0.0)):
        view = view_of(table, replica_id)
        choice = select(known, view, engine, time.now_ms())
        margin_ms = mandatory_ms - choice.withdrawal_ms(time.now_ms())
        assert margin_ms > least_ms + 50.0
        assert (margin_ms == version_cutoff.WITHDRAWAL_MARGIN_MS) == (
            replica_id == "i-3"
        )


def test_old_version_with_a_high_path_latency_is_cut_off_before_others(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    time: clock.ManualClock,
) -> None:
    time.advance(BOUND_MS - version_cutoff.QUEUE_MARGIN_MS - 100.0)
    now_ms = time.now_ms()
    view_of(table, "i-1").record_latency(150.0, now_ms)
    request = needs_of(known, engine, now_ms)
    ranked = upstream_choice.rank(list(table), request, ANYWHERE, now_ms)
    assert [c.view.replica.replica_id for c in ranked] == ["i-3"]
    newer = view_of(table, "i-1")
    newer.seen_weights = 2
    assert replica_filters.admits(newer, request, now_ms)
