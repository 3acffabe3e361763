"""Entries together spare cold replicas, in virtual time.

All replicas of a data centre are cold and look idle, and the entries have three
times the requests that they tolerate.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from marlramp.core.membership import members
from marlramp.core.membership import roster
from tests.direct.fleet import cold_fleet
from tests.direct.fleet import limited_fleet

COUNTS = pytest.mark.parametrize("count", [3, 7, 42, 150])
SETTLE_MS = 3_000.0
USED_SHARE_MIN = 0.5
"""Least used share of what the replicas tolerate while there is more load."""


def play(
    count: int, disturb: Callable[[cold_fleet.ColdFleet], Awaitable[None]]
) -> cold_fleet.ColdFleet:
    """Loads a settled fleet, disturbs it, and asserts the bound."""
    fleets: list[cold_fleet.ColdFleet] = []

    async def run() -> None:
        fleet = cold_fleet.ColdFleet(count)
        fleets.append(fleet)
        await fleet.sleep(SETTLE_MS)
        assert fleet.agreed()
        await fleet.load(cold_fleet.LOAD_PER_S, 1_000.0)
        await disturb(fleet)
        await fleet.load(cold_fleet.LOAD_PER_S, 1_500.0)

    limited_fleet.play(run)
    assert fleets[0].most_in_a_second() < cold_fleet.BOUND
    return fleets[0]


@COUNTS
def test_suspended_entry_checks_its_share_when_it_resumes(count: int) -> None:
    """Guards against a burst of requests that were selected before."""

    async def suspend(fleet: cold_fleet.ColdFleet) -> None:
        entries = fleet.running()[: max(1, count // 10)]
        others = set(fleet.entries) - {entry.name for entry in entries}
        # The share of the entries is unused when they select replicas.
        await fleet.load(cold_fleet.LOAD_PER_S, 1_100.0, others)
        for entry in entries:
            for _ in range(100):
                fleet.spawn(entry)
        # The requests select replicas but are not written yet.
        await fleet.sleep(0.5)
        for entry in entries:
            entry.suspended = True
        await fleet.load(cold_fleet.LOAD_PER_S, 1_000.0)
        for entry in entries:
            entry.suspended = False

    play(count, suspend)


@COUNTS
def test_bound_holds_while_entries_are_cut_in_two_halves(count: int) -> None:
    """Guards against shares that grow on both sides of a partition."""

    async def cut(fleet: cold_fleet.ColdFleet) -> None:
        one = {f"entry-{n}" for n in range(count // 2)}
        other = set(fleet.entries) - one
        fleet.cut = {(a, b) for a in one for b in other}
        fleet.cut |= {(b, a) for a, b in fleet.cut}
        await fleet.load(cold_fleet.LOAD_PER_S, 4_000.0)
        fleet.cut.clear()

    play(count, cut)


@COUNTS
def test_bound_holds_though_messages_are_lost(count: int) -> None:
    """Guards against shares that depend on the arrival of messages."""

    async def lose(fleet: cold_fleet.ColdFleet) -> None:
        fleet.loss = 0.2
        await fleet.load(cold_fleet.LOAD_PER_S, 3_000.0)

    fleet = play(count, lose)
    assert fleet.used_share(SETTLE_MS) >= USED_SHARE_MIN


@COUNTS
def test_bound_holds_while_a_tenth_of_the_entries_restarts(count: int) -> None:
    """Guards against restarted entries that send beside their old shares."""

    async def restart(fleet: cold_fleet.ColdFleet) -> None:
        numbers = range(0, count, 10)
        for number in numbers:
            fleet.stop(f"entry-{number}")
        await fleet.load(cold_fleet.LOAD_PER_S, 300.0)
        for number in numbers:
            fleet.start(number, incarnation=2_000)
        await fleet.load(cold_fleet.LOAD_PER_S, 2_000.0)

    play(count, restart)


@COUNTS
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_bound_holds_when_all_entries_start_at_once(
    count: int, loss: float
) -> None:
    """Guards against entries that do not know yet how many there are."""
    most = []

    async def run() -> None:
        fleet = cold_fleet.ColdFleet(count)
        fleet.loss = loss
        await fleet.load(cold_fleet.LOAD_PER_S, 4_000.0)
        most.append(fleet.most_in_a_second())

    limited_fleet.play(run)
    assert most[0] < cold_fleet.BOUND


def test_bound_holds_after_a_partition_of_more_than_a_minute() -> None:
    """Guards against shares of the other half that are taken over later."""

    async def cut(fleet: cold_fleet.ColdFleet) -> None:
        one = {f"entry-{n}" for n in range(3)}
        other = set(fleet.entries) - one
        fleet.cut = {(a, b) for a in one for b in other}
        fleet.cut |= {(b, a) for a, b in fleet.cut}
        await fleet.sleep(3.0 * roster.FORGET_MS)
        # A change of the membership has shares computed again.
        for entry in fleet.running():
            entry.state = members.MemberState.LEAVING
        await fleet.sleep(1_000.0)

    play(7, cut)


def test_entry_that_starts_without_reaching_others_is_not_alone() -> None:
    """Guards against the whole rate for an entry that reaches no seed."""

    async def restart(fleet: cold_fleet.ColdFleet) -> None:
        fleet.stop("entry-5")
        others = {name for name in fleet.entries if name != "entry-5"}
        fleet.cut = {(name, "entry-5") for name in others}
        fleet.cut |= {("entry-5", name) for name in others}
        await fleet.load(cold_fleet.LOAD_PER_S, 300.0)
        entry = fleet.start(5, incarnation=2_000)
        await fleet.load(cold_fleet.LOAD_PER_S, 1_500.0)
        for _ in range(500):
            fleet.spawn(entry)
        await fleet.load(cold_fleet.LOAD_PER_S, 1_000.0)

    play(42, restart)
