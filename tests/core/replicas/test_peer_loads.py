from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import pytest

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import peer_loads
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import upstream_choice

MakeReplica: TypeAlias = Callable[..., fleet.Replica]

PEERS = 15
"""Number of other entries in a full cell."""

ANYWHERE = upstream_choice.PreferredLocations(frozenset())


@pytest.fixture
def table(
    make_replica: MakeReplica, time: clock.ManualClock
) -> replica_table.ReplicaTable:
    """A table with two identical engines, i-1 and i-2."""
    known = catalog.Catalog()
    changes = [
        catalog.ReplicaChange(
            number,
            name,
            make_replica(replica_id=name, address=f"127.0.0.1:{number}"),
        )
        for number, name in enumerate(("i-1", "i-2"), start=1)
    ]
    known.apply(changes, time.now_ms())
    found = replica_table.ReplicaTable()
    found.sync(known, time.now_ms())
    return found


def best(
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    now_ms: clock.Millis,
) -> str:
    needs = replica_filters.RequestNeeds(
        engine=engine,
        prompt_tokens=900,
        events=18.0,
        oldest_weights=1,
        failed=(),
    )
    ranked = upstream_choice.rank(list(table), needs, ANYWHERE, now_ms)
    return ranked[0].view.replica.replica_id


def test_entries_do_not_choose_the_same_engine_at_once(
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    time: clock.ManualClock,
) -> None:
    loads = peer_loads.PeerLoads(table)
    first = best(table, engine, time.now_ms())
    loads.update("entry-2", [peer_loads.OwnLoad(first, 1, 900)])
    assert best(table, engine, time.now_ms()) != first
    loads.update("entry-2", [peer_loads.OwnLoad(first, 0, 0)])
    assert best(table, engine, time.now_ms()) == first


def test_loads_of_a_silent_entry_are_dropped(
    table: replica_table.ReplicaTable,
) -> None:
    loads = peer_loads.PeerLoads(table)
    for peer in ("entry-2", "entry-3"):
        loads.update(peer, [peer_loads.OwnLoad("i-1", 2, 700)])
    view = table.get("i-1")
    assert view is not None
    assert (view.others_in_flight, view.others_unread) == (4, 1_400)
    loads.drop("entry-2")
    assert (view.others_in_flight, view.others_unread) == (2, 700)


def test_load_includes_changes_since_the_last_report(
    table: replica_table.ReplicaTable, time: clock.ManualClock
) -> None:
    view = table.get("i-1")
    assert view is not None
    view.record_sent(900, time.now_ms())
    view.record_load(5, 0, time.now_ms())
    view.record_sent(900, time.now_ms())
    assert view.load(time.now_ms()) == 6.0
    view.record_ended()
    view.record_ended()
    assert view.load(time.now_ms()) == 4.0


def test_only_changes_are_reported(
    table: replica_table.ReplicaTable, time: clock.ManualClock
) -> None:
    updates = peer_loads.LoadUpdates(table)
    assert updates.changed(PEERS, time.now_ms()) == []
    view = table.get("i-1")
    assert view is not None
    view.record_sent(900, time.now_ms())
    sent = peer_loads.OwnLoad("i-1", 1, 900)
    assert updates.changed(PEERS, time.now_ms()) == [sent]
    time.advance(peer_loads.decreases_pause_ms(PEERS))
    assert updates.changed(PEERS, time.now_ms()) == []
    view.record_prompt_read(900)
    read = peer_loads.OwnLoad("i-1", 1, 0)
    assert updates.changed(PEERS, time.now_ms()) == [read]


def test_increase_is_reported_at_once_with_pending_decreases(
    table: replica_table.ReplicaTable, time: clock.ManualClock
) -> None:
    first, second = table.get("i-1"), table.get("i-2")
    assert first is not None
    assert second is not None
    updates = peer_loads.LoadUpdates(table)
    first.record_sent(900, time.now_ms())
    updates.changed(PEERS, time.now_ms())
    first.record_prompt_read(900)
    assert updates.changed(PEERS, time.now_ms()) == []
    second.record_sent(700, time.now_ms())
    assert updates.changed(PEERS, time.now_ms()) == [
        peer_loads.OwnLoad("i-1", 1, 0),
        peer_loads.OwnLoad("i-2", 1, 700),
    ]


def test_decrease_is_reported_after_the_pause(
    table: replica_table.ReplicaTable, time: clock.ManualClock
) -> None:
    view = table.get("i-1")
    assert view is not None
    updates = peer_loads.LoadUpdates(table)
    view.record_sent(900, time.now_ms())
    updates.changed(PEERS, time.now_ms())
    view.record_prompt_read(900)
    view.record_ended()
    assert updates.has_pending
    assert updates.changed(PEERS, time.now_ms()) == []
    time.advance(peer_loads.decreases_pause_ms(PEERS))
    ended = peer_loads.OwnLoad("i-1", 0, 0)
    assert updates.changed(PEERS, time.now_ms()) == [ended]
    assert not updates.has_pending


def test_rate_of_decrease_reports_from_all_peers_is_limited() -> None:
    for peers in (1, 5, 15):
        per_second = peers * 1_000.0 / peer_loads.decreases_pause_ms(peers)
        assert per_second <= peer_loads.DECREASES_PER_S_MAX


def test_complete_report_lists_used_replicas_and_replaces_earlier_loads(
    table: replica_table.ReplicaTable, time: clock.ManualClock
) -> None:
    first, second = table.get("i-1"), table.get("i-2")
    assert first is not None
    assert second is not None
    loads = peer_loads.PeerLoads(table)
    loads.update("entry-2", [peer_loads.OwnLoad("i-1", 2, 700)])
    second.record_sent(900, time.now_ms())
    reported = peer_loads.LoadUpdates(table).all(time.now_ms())
    assert reported == [peer_loads.OwnLoad("i-2", 1, 900)]
    loads.replace("entry-2", reported)
    assert (first.others_in_flight, second.others_in_flight) == (0, 1)


def test_unread_prompts_of_other_entries_lengthen_the_prediction(
    table: replica_table.ReplicaTable,
    engine: fleet.EngineSpec,
    time: clock.ManualClock,
) -> None:
    view = table.get("i-1")
    assert view is not None
    needs = replica_filters.RequestNeeds(
        engine=engine,
        prompt_tokens=900,
        events=18.0,
        oldest_weights=1,
        failed=(),
    )
    now_ms = time.now_ms()
    before_ms = upstream_choice.predicted_ms(view, needs, now_ms)
    loads = peer_loads.PeerLoads(table)
    loads.update("entry-2", [peer_loads.OwnLoad("i-1", 4, 4_000)])
    after_ms = upstream_choice.predicted_ms(view, needs, now_ms)
    assert after_ms - before_ms >= 4_000 / engine.read_tokens_per_ms
