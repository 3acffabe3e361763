"""Fixtures that start fleets of entries in virtual time."""

from __future__ import annotations

import pytest

from tests.direct.fleet import virtual_fleet


@pytest.fixture
def start_fleet() -> virtual_fleet.StartFleet:
    """Returns a function that starts entries and lets them find each other."""

    def start(
        count: int, regions: int = 3, seed: int = 1
    ) -> virtual_fleet.VirtualFleet:
        fleet = virtual_fleet.VirtualFleet(count, regions, seed)
        fleet.run_until_agreed(6_000.0)
        return fleet

    return start
