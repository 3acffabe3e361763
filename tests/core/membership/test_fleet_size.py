from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.membership import fleet_size

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")


@pytest.fixture
def size(time: clock.ManualClock) -> fleet_size.FleetSize:
    """The estimate of an entry that has just started."""
    return fleet_size.FleetSize(DATA_CENTRES, time)


def test_starting_entry_assumes_a_large_fleet(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    assert size.entries == fleet_size.ENTRIES_ASSUMED
    for count in range(1, 16):
        size.observe(list(DATA_CENTRES) * count, count, expects_others=True)
        assert size.entries == fleet_size.ENTRIES_ASSUMED
        time.advance(100.0)
    assert size.is_settled
    assert size.entries == 45


def test_starting_entry_knows_the_fleet_once_no_other_entry_appears(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    size.observe(DATA_CENTRES, 3, expects_others=True)
    assert not size.is_settled
    time.advance(fleet_size.QUIET_MS)
    assert size.is_settled
    assert size.entries == 3


def test_starting_entry_takes_the_estimate_of_another_one(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    size.observe(["dc-1", "dc-2"], 2, expects_others=True)
    size.record_report(0)
    assert not size.is_settled
    size.record_report(43)
    assert size.is_settled
    assert size.entries == 43
    time.advance(fleet_size.START_MS)
    size.observe(list(DATA_CENTRES) * 2, 6, expects_others=True)
    assert size.entries == 6


@pytest.mark.parametrize(
    ("expects_others", "entries"), [(True, 256), (False, 3)]
)
def test_entry_that_hears_no_other_one_is_not_the_only_one(
    size: fleet_size.FleetSize,
    time: clock.ManualClock,
    expects_others: bool,
    entries: int,
) -> None:
    time.advance(fleet_size.START_MS)
    size.observe(["dc-1"], 1, expects_others=expects_others)
    assert size.entries == entries


def test_data_centres_that_were_never_heard_count_as_large_as_the_others(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    # Regions that restart while cut off each took the whole bound.
    time.advance(fleet_size.START_MS)
    size.observe(["dc-1"] * 14, 14, expects_others=True)
    assert size.entries == 42


def test_forgotten_entries_keep_their_shares(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    time.advance(fleet_size.START_MS)
    size.observe(["dc-1"] * 2, 43, expects_others=True)
    assert size.entries == 43
