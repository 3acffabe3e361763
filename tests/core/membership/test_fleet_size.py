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
    known = list(DATA_CENTRES)
    large = fleet_size.ENTRIES_ASSUMED
    assert size.estimate(known, 3, expects_others=True) == large
    time.advance(fleet_size.START_MS)
    assert size.estimate(known, 3, expects_others=True) == 3


def test_starting_entry_takes_the_estimate_of_another_one(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    size.record_report(0)
    assert not size.is_settled
    size.record_report(43)
    assert size.is_settled
    assert size.estimate(["dc-1", "dc-2"], 2, expects_others=True) == 43
    time.advance(fleet_size.START_MS)
    assert size.estimate(list(DATA_CENTRES) * 2, 6, expects_others=True) == 6


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
    known = ["dc-1"]
    found = size.estimate(known, 1, expects_others=expects_others)
    assert found == entries


def test_data_centres_that_were_never_heard_count_as_large_as_the_others(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    # Regions that restart while cut off each took the whole bound.
    time.advance(fleet_size.START_MS)
    assert size.estimate(["dc-1"] * 14, 14, expects_others=True) == 42


def test_forgotten_entries_keep_their_shares(
    size: fleet_size.FleetSize, time: clock.ManualClock
) -> None:
    time.advance(fleet_size.START_MS)
    assert size.estimate(["dc-1"] * 2, 43, expects_others=True) == 43
