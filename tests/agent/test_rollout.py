"""Rollouts that stalled although all weights were available."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from tests.agent import replicas


def run(
    scenario: Callable[[replicas.Fleet], Coroutine[Any, Any, None]],
    members: int = 3,
    entries: int = 2,
) -> None:
    """Runs a scenario on a fleet that serves the first version."""

    async def scenario_with_fleet() -> None:
        fleet = replicas.Fleet(members, entries)
        fleet.roll_out("v1", "v1")
        assert await fleet.until_served("v1", 5.0)
        fleet.out_most = 0
        await scenario(fleet)
        await fleet.close()

    asyncio.run(scenario_with_fleet())


def test_rollout_restored_while_its_weights_load_completes() -> None:
    # The target was cleared and never set again, and the agent reported
    # "fetching weights" for ever.
    async def scenario(fleet: replicas.Fleet) -> None:
        engine = fleet.members[0].engine
        engine.may_load.clear()
        fleet.roll_out("v2", "v1")
        while engine.loads != ["v2"]:
            await asyncio.sleep(0.005)
        fleet.roll_out("v3", "v1")
        await asyncio.sleep(0.05)
        fleet.roll_out("v2", "v1")
        engine.may_load.set()
        assert await fleet.until_served("v2", 10.0)
        member = fleet.members[0]
        await asyncio.sleep(0.5)
        assert member.controller.target is not None
        assert member.controller.note == "serving target"

    run(scenario)


@pytest.mark.parametrize("late_entries", [1, 2])
def test_late_permits_count(late_entries: int) -> None:
    # Answers that took longer than 150 ms never counted, and the agent reported
    # "waiting for permits" for ever.
    async def scenario(fleet: replicas.Fleet) -> None:
        for entry in fleet.entries[:late_entries]:
            entry.answer_delay_ms = 300.0
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 15.0)
        assert fleet.out_most == 1

    run(scenario)


def test_replicas_first_at_different_entries_all_swap() -> None:
    # Each replica kept and renewed the permit of a different entry, so none had
    # the permits of all entries.
    async def scenario(fleet: replicas.Fleet) -> None:
        for number, member in enumerate(fleet.members):
            fleet.entries[number % 2].request_delay_ms[member.vm_id] = 100.0
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 20.0)
        assert fleet.out_most == 1

    run(scenario)


def test_lost_permit_request_does_not_stall_rollout() -> None:
    # An entry whose request was lost received no other in that attempt.
    async def scenario(fleet: replicas.Fleet) -> None:
        fleet.entries[0].lost = 3
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 20.0)
        assert fleet.out_most == 1

    run(scenario)


def test_silent_entry_that_leaves_does_not_stall_rollout() -> None:
    # An entry that is no longer heard is not waited for.
    async def scenario(fleet: replicas.Fleet) -> None:
        fleet.entries[1].lost = 1_000
        fleet.roll_out("v2", "v1")
        assert not await fleet.until_served("v2", 2.0)
        assert fleet.served("v2") == 0
        fleet.entries.pop()
        assert await fleet.until_served("v2", 20.0)
        assert fleet.out_most == 1

    run(scenario)


def test_agent_paused_after_permits_requests_new_ones() -> None:
    # The agent stopped serving on permits that expired at the entries during
    # its pause.
    async def scenario(fleet: replicas.Fleet) -> None:
        member = fleet.members[0]
        member.pauses_ms = 5_000.0
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 20.0)
        assert member.engine.loads == ["v2"]
        assert member.suspended == 2

    run(scenario)


def test_engine_that_is_silent_for_a_second_keeps_its_grants() -> None:
    # One late reading of the state voided all grants, and with one replica the
    # entries refused every call meanwhile.
    async def scenario(fleet: replicas.Fleet) -> None:
        member = fleet.members[0]
        suspended = member.suspended
        for _ in range(2):
            member.engine.fall_silent(1_200.0)
            for _ in range(150):
                await asyncio.sleep(0.01)
                assert member.controller.serving_version() == "v1"
        assert member.suspended == suspended

    run(scenario, members=1)


def test_engine_that_goes_on_after_a_silence_is_not_loaded_again() -> None:
    # While the weights were read the engine was back on its version; it got
    # them again and was ordered to load them.
    async def scenario(fleet: replicas.Fleet) -> None:
        member = fleet.members[0]
        fleet.node.fetch_ms = 1_200.0
        member.engine.fall_silent(2_000.0)
        await asyncio.sleep(4.0)
        assert member.controller.serving_version() == "v1"
        assert member.engine.loads == []

    run(scenario)


def test_engine_that_was_silent_while_staging_is_not_swapped_unpermitted() -> (
    None
):
    # The silence was taken for an engine that serves nothing, and so needs no
    # permit, although it served again before the order.
    async def scenario(fleet: replicas.Fleet) -> None:
        for entry in fleet.entries:
            entry.lost = 1_000
        member = fleet.members[0]
        member.engine.stage_ms = 2_200.0
        fleet.roll_out("v2", "v1")
        await asyncio.sleep(0.1)
        member.engine.fall_silent(2_400.0)
        await asyncio.sleep(3.5)
        assert member.engine.loads == []
        assert member.controller.serving_version() == "v1"
        for entry in fleet.entries:
            entry.lost = 0
        assert await fleet.until_served("v2", 20.0)

    run(scenario)


def test_swap_that_waits_for_its_runs_gives_no_order_for_a_former_target() -> (
    None
):
    # A rollout that was replaced while the runs of the agent ended was loaded
    # all the same.
    async def scenario(fleet: replicas.Fleet) -> None:
        member = fleet.members[0]
        member.idle.clear()
        fleet.roll_out("v2", "v1")
        while member.controller.note != "swapping":
            await asyncio.sleep(0.005)
        fleet.roll_out("v3", "v1")
        member.idle.set()
        assert await fleet.until_served("v3", 20.0)
        assert member.engine.loads == ["v3"]

    run(scenario, members=2)
