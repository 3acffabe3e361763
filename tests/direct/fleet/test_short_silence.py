"""Processes that fall silent for about a second and go on are not lost."""

from __future__ import annotations

import pytest

from marlramp.core.membership import members
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import test_send_reservations
from tests.direct.fleet import virtual_fleet

RUN_MS = 50.0


@pytest.mark.parametrize("silence_ms", [1_000.0, 1_300.0])
@pytest.mark.parametrize("silent", [1, 4, 12])
@pytest.mark.parametrize("seed", range(1, 6))
def test_entries_that_are_silent_for_a_second_are_not_lost(
    seed: int, silent: int, silence_ms: float
) -> None:
    fleet = virtual_fleet.VirtualFleet(12, seed=seed)
    fleet.run_until_agreed(5_000.0)
    paused = fleet.running()[:silent]
    for entry in paused:
        entry.suspended = True
    start_ms = fleet.time.now_ms()
    while fleet.time.now_ms() < start_ms + silence_ms + 4_000.0:
        if fleet.time.now_ms() >= start_ms + silence_ms:
            for entry in paused:
                entry.suspended = False
        fleet.run(RUN_MS)
        for entry in fleet.running():
            for record in entry.sync.roster.records():
                assert record.update.state is not members.MemberState.DOWN
    assert fleet.agreed()
    for entry in fleet.running():
        ready = entry.sync.entries_in_state(members.MemberState.READY)
        assert len(ready) == 11


@pytest.mark.parametrize("silent", [1, 4])
def test_silent_limiters_cause_no_refusal(silent: int) -> None:
    async def run() -> None:
        fleet = await test_send_reservations.fleet_with_limits(8, 8.0)
        await fleet.load(40.0, 3_000.0)
        paused = fleet.running()[:silent]
        for entry in paused:
            entry.suspended = True
        served = fleet.served
        await fleet.load(40.0, 1_300.0)
        assert fleet.served - served >= 30
        for entry in paused:
            entry.suspended = False
        await fleet.load(40.0, 3_000.0)
        assert fleet.refused == 0

    limited_fleet.play(run)
