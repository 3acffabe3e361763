"""Rollouts that stood still though all weights were there."""

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

    async def whole() -> None:
        fleet = replicas.Fleet(members, entries)
        fleet.roll_out("v1", "v1")
        assert await fleet.until_served("v1", 5.0)
        fleet.out_most = 0
        await scenario(fleet)
        await fleet.close()

    asyncio.run(whole())


def test_rollout_that_comes_back_while_its_weights_are_loaded_ends() -> None:
    # The target was dropped and never set again: "fetching weights" for good.
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
def test_permits_that_come_late_each_time_count(late_entries: int) -> None:
    # Answers after 150 ms never counted: "waiting for permits" for good.
    async def scenario(fleet: replicas.Fleet) -> None:
        for entry in fleet.entries[:late_entries]:
            entry.answer_ms = 300.0
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 15.0)
        assert fleet.out_most == 1

    run(scenario)


def test_replicas_that_are_first_at_different_entries_all_swap() -> None:
    # Each kept the permit of another entry, and renewed it, for good.
    async def scenario(fleet: replicas.Fleet) -> None:
        for number, member in enumerate(fleet.members):
            fleet.entries[number % 2].ask_ms[member.vm_id] = 100.0
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 20.0)
        assert fleet.out_most == 1

    run(scenario)


def test_lost_question_holds_no_rollout_up() -> None:
    # An entry that never heard the question was never asked in that round.
    async def scenario(fleet: replicas.Fleet) -> None:
        fleet.entries[0].lost = 3
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 20.0)
        assert fleet.out_most == 1

    run(scenario)


def test_entry_that_never_answers_and_leaves_holds_no_rollout_up() -> None:
    # Its place in the round ends when it is no longer heard.
    async def scenario(fleet: replicas.Fleet) -> None:
        fleet.entries[1].lost = 1_000
        fleet.roll_out("v2", "v1")
        assert not await fleet.until_served("v2", 2.0)
        assert fleet.served("v2") == 0
        fleet.entries.pop()
        assert await fleet.until_served("v2", 20.0)
        assert fleet.out_most == 1

    run(scenario)


def test_agent_paused_after_its_permits_came_asks_anew() -> None:
    # It stopped serving on permits that its entries had ended meanwhile.
    async def scenario(fleet: replicas.Fleet) -> None:
        member = fleet.members[0]
        member.pauses_ms = 5_000.0
        fleet.roll_out("v2", "v1")
        assert await fleet.until_served("v2", 20.0)
        assert member.engine.loads == ["v2"]
        assert member.suspended == 2

    run(scenario)
