from __future__ import annotations

from collections.abc import Iterable
import random

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.membership import fleet_size
from marlramp.core.membership import members
from marlramp.core.membership import roster
from marlramp.core.replicas import peer_loads
from marlramp.core.replicas import replica_table
from marlramp.direct.fleet import load_exchange
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

REPLICA = fleet.Replica(
    replica_id="i-1",
    service_id=ids.ServiceId("s"),
    address="127.0.0.1:1",
    data_centre=ids.DataCentreId("dc-1"),
    slots=16,
    state=fleet.ReplicaState.HEALTHY,
    weights=1,
)


def entry(name: str, data_centre: str = "dc-1") -> members.Member:
    return members.Member(
        name, members.MemberKind.ENTRY, data_centre, "127.0.0.1", 1
    )


class RecordingSync(member_sync.MemberSync):
    """Records messages instead of sending them."""

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(
            entry("entry-1"),
            1,
            [],
            {"dc-1"},
            fleet_size.FleetSize((), time),
            virtual_fleet.Alone(),
            time,
            random.Random(1),
        )
        self.sent: list[tuple[set[str], fleet_messages.OwnLoads]] = []

    def send_all(self, vm_ids: Iterable[str], message: msgspec.Struct) -> None:
        assert isinstance(message, fleet_messages.OwnLoads)
        self.sent.append((set(vm_ids), message))


@pytest.fixture
def sync(time: clock.ManualClock) -> RecordingSync:
    found = RecordingSync(time)
    for member in (entry("entry-2"), entry("entry-3", "dc-2")):
        update = members.MemberUpdate(member, 1, members.MemberState.READY)
        found.roster.apply_direct(update, time.now_ms())
    return found


@pytest.fixture
def placed(sync: RecordingSync, time: clock.ManualClock) -> placement.Placement:
    found = placement.Placement({"dc-1": "north", "dc-2": "south"}, sync, time)
    found.refresh()
    return found


@pytest.fixture
def table(time: clock.ManualClock) -> replica_table.ReplicaTable:
    known = catalog.Catalog()
    known.apply([catalog.ReplicaChange(1, "i-1", REPLICA)], time.now_ms())
    found = replica_table.ReplicaTable()
    found.sync(known, time.now_ms())
    return found


@pytest.fixture
def exchange(
    placed: placement.Placement,
    sync: RecordingSync,
    table: replica_table.ReplicaTable,
    time: clock.ManualClock,
) -> load_exchange.LoadExchange:
    return load_exchange.LoadExchange(
        placed, sync, table, counters.Counters(), time
    )


def test_only_entries_of_the_cell_receive_loads(
    exchange: load_exchange.LoadExchange,
    sync: RecordingSync,
    table: replica_table.ReplicaTable,
    time: clock.ManualClock,
) -> None:
    view = table.get("i-1")
    assert view is not None
    view.record_sent(700, time.now_ms())
    exchange._report()
    loads = [peer_loads.OwnLoad("i-1", 1, 700)]
    whole = fleet_messages.OwnLoads(loads=loads, whole=True)
    assert sync.sent == [({"entry-2"}, whole)]
    time.advance(load_exchange.REPORT_INTERVAL_MS)
    exchange._report()
    assert len(sync.sent) == 1
    view.record_prompt_read(700)
    time.advance(load_exchange.REPORT_INTERVAL_MS)
    exchange._report()
    assert sync.sent[-1][1].loads == [peer_loads.OwnLoad("i-1", 1, 0)]


def test_loads_of_a_silent_entry_are_removed(
    exchange: load_exchange.LoadExchange,
    placed: placement.Placement,
    sync: RecordingSync,
    table: replica_table.ReplicaTable,
    time: clock.ManualClock,
) -> None:
    view = table.get("i-1")
    assert view is not None
    report = fleet_messages.OwnLoads(loads=[peer_loads.OwnLoad("i-1", 3, 900)])
    exchange.on_message("entry-2", report)
    assert view.others_in_flight == 3
    sync.roster.suspect("entry-2", time.now_ms())
    time.advance(members.ALIVE_MS + load_exchange.REFRESH_MS)
    assert sync.roster.tick(time.now_ms()) == []
    time.advance(roster.SUSPECT_MS)
    placed.refresh()
    exchange._report()
    assert (view.others_in_flight, view.others_unread) == (0, 0)


def test_loads_at_unknown_replicas_are_not_kept(
    exchange: load_exchange.LoadExchange,
) -> None:
    for whole in (True, False):
        loads = [peer_loads.OwnLoad(f"x-{n}", 1, 1) for n in range(100)]
        loads.append(peer_loads.OwnLoad("i-1", 1, 1))
        report = fleet_messages.OwnLoads(loads=loads, whole=whole)
        exchange.on_message("entry-2", report)
    assert list(exchange._loads._reported["entry-2"]) == ["i-1"]
