"""All entries know which data centres are evacuated, in virtual time."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.direct.fleet import catalog_codec
from marlramp.protocol import fleet_messages
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import store_fleet

EVACUATE_MS = 5_000.0
"""The bound `bounds.evacuate_ms` of both deployments."""

CONTROL_BYTES_PER_S = 10_000.0
"""Bytes of control messages that a daemon may send per second."""

CHANGES = 20

START_MS = 6_000.0
"""Time after which the entries that started together know each other."""


def play(
    run: Callable[[store_fleet.StoreFleet], Awaitable[None]], count: int = 7
) -> None:
    """Runs a test with entries that know each other and read the store."""

    async def start() -> None:
        fleet = store_fleet.StoreFleet(count, replicas=3)
        await fleet.sleep(START_MS)
        assert fleet.agreed()
        await run(fleet)

    limited_fleet.play(start)


def evacuated(active: bool) -> list[str]:
    """Returns the evacuated data centres of tests with only one of them."""
    return ["dc-1"] if active else []


def evacuation(
    revision: int, data_centre: str, *, active: bool
) -> fleet_messages.CatalogNews:
    """Returns an update about one evacuation that arrives late."""
    change = catalog.EvacuationChange(
        revision, ids.DataCentreId(data_centre), active
    )
    return fleet_messages.CatalogNews(
        after=revision - 1,
        revision=revision,
        changes=catalog_codec.pack([]),
        evacuations=[change],
    )


@pytest.mark.parametrize("count", [3, 7, 42])
def test_start_and_end_are_known_in_time_though_messages_are_lost(
    count: int,
) -> None:
    # A lost message must not leave an entry sending to an evacuated data
    # centre, or sending nothing to one that has returned.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        fleet.loss = 0.2
        for _ in range(4):
            fleet.store.evacuate("dc-1", active=True)
            await fleet.until_known(EVACUATE_MS, "dc-1")
            fleet.store.evacuate("dc-1", active=False)
            await fleet.until_known(EVACUATE_MS)

    play(run, count)


def test_control_bytes_stay_in_their_budget_while_evacuations_change() -> None:
    # One change a second for 20 s must not displace other messages.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        before = {each.name: each.sent_bytes for each in fleet.running()}
        for number in range(CHANGES):
            fleet.store.evacuate("dc-1", active=number % 2 == 0)
            await fleet.sleep(1_000.0)
        most = max(
            each.sent_bytes - before[each.name] for each in fleet.running()
        )
        assert most / CHANGES <= CONTROL_BYTES_PER_S

    play(run, 42)


@pytest.mark.parametrize("active", [True, False])
def test_reader_that_is_killed_before_publishing_delays_no_entry(
    active: bool,
) -> None:
    # The change is lost if only the killed reader had read it.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        fleet.store.evacuate("dc-1", active=not active)
        await fleet.until_known(EVACUATE_MS, *evacuated(not active))
        killed = fleet.readers()[0]
        killed.kill_before_publishing = True
        fleet.store.evacuate("dc-1", active=active)
        await fleet.until_known(EVACUATE_MS, *evacuated(active))
        assert not killed.running

    play(run)


def test_both_readers_that_are_killed_before_publishing_are_replaced() -> None:
    # No entry may depend on the two readers alone.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        for reader in fleet.readers():
            reader.kill_before_publishing = True
        fleet.store.evacuate("dc-1", active=True)
        await fleet.until_known(EVACUATE_MS, "dc-1")
        assert len(fleet.running()) == 5

    play(run)


def test_end_that_the_store_has_forgotten_is_known_after_a_full_read() -> None:
    # The watch names no deletion that the store has forgotten, so that the
    # evacuation would last for ever.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        fleet.store.evacuate("dc-1", active=True)
        fleet.store.evacuate("dc-2", active=True)
        await fleet.until_known(EVACUATE_MS, "dc-1", "dc-2")
        fleet.store.cut = set(fleet.entries)
        await fleet.sleep(3_000.0)
        fleet.store.evacuate("dc-1", active=False)
        fleet.store.forget_history()
        fleet.store.cut.clear()
        await fleet.until_known(EVACUATE_MS, "dc-2")

    play(run)


def test_end_that_a_starting_entry_reads_first_is_known_to_all() -> None:
    # The first read of a new entry lacks the key of an evacuation that it never
    # knew. The others took its revision as theirs and missed the end for ever.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        fleet.store.evacuate("dc-1", active=True)
        await fleet.until_known(EVACUATE_MS, "dc-1")
        fleet.store.cut = set(fleet.entries)
        await fleet.sleep(3_000.0)
        fleet.store.evacuate("dc-1", active=False)
        fleet.stop("entry-0")
        fleet.cut_between(["entry-0"], fleet.entries)
        fleet.start(0, incarnation=2_000)
        fleet.store.cut.discard("entry-0")
        while fleet.entry("entry-0").known.revision == 0:
            await fleet.sleep(10.0)
        fleet.cut.clear()
        await fleet.sleep(3_000.0)
        fleet.store.cut.clear()
        await fleet.until_known(EVACUATE_MS)

    play(run)


def test_removal_that_a_starting_entry_reads_first_is_known_to_all() -> None:
    # The new entry never knew the replica. The others took its revision as
    # theirs, and still listed the replica 70 s later.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        removed, *_ = fleet.replicas
        fleet.store.cut = set(fleet.entries)
        await fleet.sleep(3_000.0)
        fleet.store.put_replica(catalog.ReplicaChange(0, removed, None))
        fleet.stop("entry-0")
        fleet.cut_between(["entry-0"], fleet.entries)
        fleet.start(0, incarnation=2_000)
        fleet.store.cut.discard("entry-0")
        while fleet.entry("entry-0").known.revision == 0:
            await fleet.sleep(10.0)
        fleet.cut.clear()
        await fleet.sleep(3_000.0)
        fleet.store.cut.clear()
        await fleet.sleep(catalog.REPLICA_RETURN_MS + 5_000.0)
        for entry in fleet.store_entries():
            known = {each.replica_id for each in entry.known.replicas()}
            assert known == set(fleet.replicas) - {removed}

    play(run)


def test_news_of_an_earlier_evacuation_change_nothing() -> None:
    # A start that arrives after its end must not empty a data centre, and an
    # end that arrives after a second start must not fill it.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        late = []
        for active in (True, False):
            fleet.store.evacuate("dc-1", active=active)
            revision = fleet.store.revision
            late.append(evacuation(revision, "dc-1", active=active))
            await fleet.until_known(EVACUATE_MS, *evacuated(active))
        start, end = late
        for entry in fleet.store_entries():
            entry.on_message("entry-1", start)
        assert fleet.without_evacuation() == []
        fleet.store.evacuate("dc-1", active=True)
        await fleet.until_known(EVACUATE_MS, "dc-1")
        for entry in fleet.store_entries():
            entry.on_message("entry-1", end)
            entry.on_message("entry-1", start)
        assert fleet.without_evacuation("dc-1") == []

    play(run)


def test_old_snapshot_after_newer_changes_ends_no_evacuation() -> None:
    # A slow full read lacks the key of an evacuation that started meanwhile.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        old = await fleet.store.read_all("entry-0")
        fleet.store.evacuate("dc-1", active=True)
        await fleet.until_known(EVACUATE_MS, "dc-1")
        for entry in fleet.store_entries():
            entry.known.apply_snapshot(old, fleet.time.now_ms())
        await fleet.sleep(3_000.0)
        assert fleet.without_evacuation("dc-1") == []

    play(run)


@pytest.mark.parametrize("active", [True, False])
def test_entry_that_was_cut_off_learns_of_evacuations_on_its_return(
    active: bool,
) -> None:
    # It keeps its last state meanwhile, and must not keep it on its return.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        before, after = evacuated(not active), evacuated(active)
        fleet.store.evacuate("dc-1", active=not active)
        await fleet.until_known(EVACUATE_MS, *before)
        fleet.cut_between(["entry-4"], fleet.entries)
        fleet.store.cut.add("entry-4")
        await fleet.sleep(70_000.0)
        fleet.store.evacuate("dc-1", active=active)
        await fleet.sleep(EVACUATE_MS)
        assert fleet.without_evacuation(*after) == ["entry-4"]
        assert fleet.entry("entry-4").known.evacuated == set(before)
        fleet.cut.clear()
        await fleet.until_known(EVACUATE_MS, *after)

    play(run)
