"""State that survives the loss of a data centre, in virtual time."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from marlramp import ids
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import possible_causes
from standins import named_limit
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import store_fleet

LAYOUTS = [(3, 6), (3, 3)]
"""Regions and data centres: as in the new deployments, and with one in each
region, so that standbys are in other regions."""

START_MS = 6_000.0
RATE_PER_S = 40.0
KNOWN_MS = 2_000.0
"""Time within which all entries know a change of the store. A configuration
must be in force within it."""

CRASHES_KNOWN_MS = 3_000.0
LEFT_MS = 10.0
"""Time between a crash and the loss of the data centre that noticed it."""

SUSPECT = possible_causes.PossibleCauses(ids.Fingerprint("f" * 16), ())


def play(
    run: Callable[[store_fleet.StoreFleet], Awaitable[None]],
    layout: tuple[int, int],
    seed: int = 1,
) -> None:
    """Runs a test with twelve entries and replicas."""

    async def start() -> None:
        regions, data_centres = layout
        fleet = store_fleet.StoreFleet(
            12, 12, regions=regions, data_centres=data_centres, seed=seed
        )
        await fleet.sleep(START_MS)
        assert fleet.agreed()
        await run(fleet)

    limited_fleet.play(start)


async def limit_all(fleet: store_fleet.StoreFleet, per_s: float) -> None:
    """Lets all replicas name a limit until all entries know it."""
    await fleet.load(RATE_PER_S, 1_000.0)
    for replica in fleet.replicas.values():
        replica.name(per_s)
    await fleet.load(RATE_PER_S, limited_fleet.CONTACT_MS)


def limiters(fleet: store_fleet.StoreFleet, replica_id: str) -> list[str]:
    """Returns the data centres of a replica's limiters, the primary first."""
    entry = fleet.store_entries()[0]
    view = entry.table.get(replica_id)
    assert view is not None
    return [
        fleet.entries[name].member.data_centre
        for name in entry.limits.limiters_of(view)
    ]


def assert_limits_kept(
    fleet: store_fleet.StoreFleet, per_s: float, *lost: str
) -> None:
    """Checks the replicas outside the data centres that were lost."""
    for name, replica in fleet.replicas.items():
        if replica.listed.data_centre not in lost:
            most = replica.need.most_in_window(())
            assert most <= named_limit.allowed_in_window(per_s), name


@pytest.mark.parametrize("per_s", [1.0, 6.0])
@pytest.mark.parametrize("layout", LAYOUTS)
def test_limit_is_kept_and_used_when_the_primary_limiters_are_lost(
    layout: tuple[int, int], per_s: float
) -> None:
    # A standby that is lost with the primary leaves entries that know none of
    # the reservations.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        await limit_all(fleet, per_s)
        places = {name: limiters(fleet, name) for name in fleet.replicas}
        assert all(len(set(each)) == 2 for each in places.values())
        home = {
            name: replica.listed.data_centre
            for name, replica in fleet.replicas.items()
        }
        # With one data centre in each region, none is limited from elsewhere.
        far = [name for name in home if places[name][0] != home[name]]
        lost = places[far[0]][0] if far else "dc-0"
        assert far or layout == (3, 3)
        affected = [name for name in far if places[name][0] == lost]
        await fleet.load(4.0 * RATE_PER_S, 2_000.0)
        fleet.kill_data_centre(lost)
        start_ms = fleet.virtual.now_ms()
        await fleet.load(4.0 * RATE_PER_S, 8_000.0)
        assert_limits_kept(fleet, per_s, lost)
        for name in affected:
            used = fleet.replicas[name].requests_between(
                start_ms, start_ms + 8_000.0
            )
            assert used >= 0.6 * 8.0 * per_s

    play(run, layout)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("per_s", [1.0, 6.0])
@pytest.mark.parametrize("layout", LAYOUTS)
def test_limit_is_kept_while_two_data_centres_reach_only_a_third(
    layout: tuple[int, int], per_s: float, seed: int
) -> None:
    # Neither data centre is down to the others, so that each limiter would
    # reserve the whole limit for the entries that reach it.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        await limit_all(fleet, per_s)
        fleet.cut_between(
            fleet.in_data_centre("dc-0"), fleet.in_data_centre("dc-1")
        )
        await fleet.load(4.0 * RATE_PER_S, 12_000.0)
        fleet.cut.clear()
        await fleet.load(4.0 * RATE_PER_S, 6_000.0)
        assert_limits_kept(fleet, per_s)

    play(run, layout, seed)


def test_catalog_reaches_all_when_the_data_centre_of_a_reader_is_lost() -> None:
    # A change that only the lost reader had read must not be missed.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        lost = fleet.readers()[0].member.data_centre
        assert any(e.member.data_centre != lost for e in fleet.readers())
        fleet.readers()[0].kill_before_publishing = True
        fleet.store.evacuate("dc-5", active=True)
        await fleet.sleep(20.0)
        fleet.kill_data_centre(lost)
        await fleet.until_known(KNOWN_MS, "dc-5")
        for _ in range(3):
            fleet.store.evacuate("dc-5", active=False)
            await fleet.until_known(KNOWN_MS)
            fleet.store.evacuate("dc-5", active=True)
            await fleet.until_known(KNOWN_MS, "dc-5")
            await fleet.sleep(1_000.0)
        assert len({e.member.data_centre for e in fleet.readers()}) == 2

    play(run, (3, 6))


def test_catalog_reaches_all_while_two_data_centres_reach_only_a_third() -> (
    None
):
    # Entries that are cut off from a reader must learn of its changes from the
    # other one, or from an entry that both reach.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        one, other = (e.member.data_centre for e in fleet.readers())
        fleet.cut_between(
            fleet.in_data_centre(one), fleet.in_data_centre(other)
        )
        for reader in fleet.readers():
            fleet.store.cut = {reader.name}
            for active in (True, False):
                fleet.store.evacuate("dc-1", active=active)
                await fleet.until_known(KNOWN_MS, *["dc-1"] * active)
                await fleet.sleep(1_000.0)

    for layout in LAYOUTS:
        play(run, layout)


def record_crash(fleet: store_fleet.StoreFleet, name: str) -> None:
    """Lets an entry notice a crash of a request that only it had sent."""
    entry = fleet.entry(name)
    crash_id = crash_reports.crash_id("i-0", 1)
    entry.crashes.add_suspect(
        crash_id, SUSPECT.content, begun=True, now_ms=fleet.time.now_ms()
    )
    entry.parts.announce_crashes()


def entries_without_crash(fleet: store_fleet.StoreFleet) -> list[str]:
    """Returns the entries that do not know the crash."""
    return [
        entry.name
        for entry in fleet.store_entries()
        if SUSPECT.content not in entry.crashes.ledger.suspects()
    ]


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("layout", LAYOUTS)
def test_crash_is_known_when_the_data_centre_that_noticed_it_is_lost(
    layout: tuple[int, int], loss: float
) -> None:
    # A crash that only the lost data centre knew would be caused again.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        fleet.loss = loss
        record_crash(fleet, "entry-0")
        await fleet.sleep(LEFT_MS)
        fleet.kill_data_centre("dc-0")
        await fleet.sleep(CRASHES_KNOWN_MS)
        assert entries_without_crash(fleet) == []

    play(run, layout)


@pytest.mark.parametrize("layout", LAYOUTS)
def test_crash_is_known_while_two_data_centres_reach_only_a_third(
    layout: tuple[int, int],
) -> None:
    # The entry that noticed the crash cannot tell the cut-off data centre.
    async def run(fleet: store_fleet.StoreFleet) -> None:
        fleet.cut_between(
            fleet.in_data_centre("dc-0"), fleet.in_data_centre("dc-1")
        )
        await fleet.sleep(2_000.0)
        record_crash(fleet, "entry-0")
        await fleet.sleep(CRASHES_KNOWN_MS)
        assert entries_without_crash(fleet) == []

    play(run, layout)
