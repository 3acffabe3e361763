"""Entries keep the limits that replicas name together, in virtual time."""

from __future__ import annotations

import pytest

from standins import named_limit
from tests.direct.fleet import limited_fleet

USED_SHARE_MIN = 0.8
"""Least part of each limit that is used while there are more requests."""

FREE_AGAIN_MS = 4_500.0
"""A replica that names no limit any more is used freely after this time: one
that took a request in four seconds is asked as seldom."""

CONTROL_BYTES_PER_S = 10_000.0
RATE_PER_S = 40.0


def name_all(fleet: limited_fleet.LimitedFleet, per_s: float | None) -> None:
    for replica in fleet.replicas.values():
        replica.name(per_s)


async def in_need(
    count: int, per_s: float, replicas: int = 12, seed: int = 1
) -> limited_fleet.LimitedFleet:
    """Returns a fleet all of whose replicas have named a limit for a while."""
    fleet = limited_fleet.LimitedFleet(count, replicas, seed=seed)
    await fleet.sleep(6_000.0)
    await fleet.load(RATE_PER_S, 1_000.0)
    name_all(fleet, per_s)
    await fleet.load(RATE_PER_S, limited_fleet.CONTACT_MS)
    return fleet


def assert_kept(
    fleet: limited_fleet.LimitedFleet, per_s: float, *excused: str
) -> None:
    for name, replica in fleet.replicas.items():
        most = replica.need.most_in_window(excused)
        assert most <= named_limit.allowed_in_window(per_s), name


@pytest.mark.parametrize("per_s", [0.5, 1.0, 1.6, 2.5])
@pytest.mark.parametrize("count", [3, 8, 44])
def test_limit_is_kept_and_used_over_all_entries(
    count: int, per_s: float
) -> None:
    async def use() -> None:
        fleet = await in_need(count, per_s)
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 12_000.0)
        assert_kept(fleet, per_s)
        for replica in fleet.replicas.values():
            used = replica.between(start_ms, start_ms + 12_000.0)
            assert used >= USED_SHARE_MIN * 12.0 * per_s - 1

    limited_fleet.play(use)


def test_limit_is_kept_when_the_entry_that_reserves_ends() -> None:
    async def use() -> None:
        fleet = await in_need(8, 1.0)
        await fleet.load(RATE_PER_S, 3_000.0)
        fleet.stop("entry-2")
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 8_000.0)
        assert_kept(fleet, 1.0)
        for replica in fleet.replicas.values():
            assert replica.between(start_ms, start_ms + 8_000.0) >= 5

    limited_fleet.play(use)


def test_limit_is_kept_while_entries_come_and_start_again() -> None:
    async def use() -> None:
        fleet = await in_need(8, 1.0)
        for number in range(8, 16):
            fleet.start(number)
            await fleet.load(RATE_PER_S, 700.0)
        fleet.stop("entry-3")
        await fleet.load(RATE_PER_S, 800.0)
        fleet.start(3, incarnation=2_000)
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, 1.0, "entry-3")

    limited_fleet.play(use)


def test_limit_is_kept_when_an_entry_that_was_suspended_goes_on() -> None:
    async def use() -> None:
        fleet = await in_need(8, 1.0)
        fleet.entries["entry-5"].suspended = True
        await fleet.load(RATE_PER_S, 5_000.0)
        fleet.entries["entry-5"].suspended = False
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, 1.0, "entry-5")

    limited_fleet.play(use)


@pytest.mark.parametrize("per_s", [1.0, 4.0])
def test_limit_is_kept_while_half_the_entries_are_cut_from_the_others(
    per_s: float,
) -> None:
    async def use() -> None:
        fleet = await in_need(8, per_s)
        one = {f"entry-{n}" for n in range(4)}
        other = set(fleet.entries) - one
        fleet.cut = {(a, b) for a in one for b in other}
        fleet.cut |= {(b, a) for a, b in fleet.cut}
        await fleet.load(RATE_PER_S, 10_000.0)
        fleet.cut.clear()
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, per_s)

    limited_fleet.play(use)


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_limit_is_kept_though_messages_are_lost(loss: float) -> None:
    async def use() -> None:
        fleet = await in_need(8, 1.6)
        fleet.loss = loss
        await fleet.load(RATE_PER_S, 12_000.0)
        assert_kept(fleet, 1.6)

    limited_fleet.play(use)


def test_limit_that_falls_and_rises_is_followed() -> None:
    async def use() -> None:
        fleet = await in_need(8, 3.0)
        await fleet.load(RATE_PER_S, 2_000.0)
        name_all(fleet, 1.0)
        await fleet.load(RATE_PER_S, 2_000.0)
        for replica in fleet.replicas.values():
            replica.need.arrivals.clear()
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, 1.0)
        name_all(fleet, 3.0)
        await fleet.load(RATE_PER_S, 2_000.0)
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 6_000.0)
        for replica in fleet.replicas.values():
            used = replica.between(start_ms, start_ms + 6_000.0)
            assert used >= USED_SHARE_MIN * 6.0 * 3.0

    limited_fleet.play(use)


@pytest.mark.parametrize("per_s", [0.0, 0.1, 1.0])
def test_replica_that_names_no_limit_any_more_is_used_freely(
    per_s: float,
) -> None:
    async def use() -> None:
        fleet = await in_need(8, per_s)
        await fleet.load(RATE_PER_S, 2_000.0)
        name_all(fleet, None)
        await fleet.load(RATE_PER_S, FREE_AGAIN_MS)
        refused = fleet.refused
        await fleet.load(RATE_PER_S, 3_000.0)
        assert fleet.refused == refused
        for entry in fleet.running():
            assert entry.limits.known.in_force() == {}

    limited_fleet.play(use)


def test_replica_that_takes_nothing_is_tried_seldom() -> None:
    async def use() -> None:
        fleet = await in_need(8, 0.0)
        await fleet.load(RATE_PER_S, 12_000.0)
        assert_kept(fleet, 0.0)

    limited_fleet.play(use)


def test_what_is_told_of_limits_stays_within_the_control_budget() -> None:
    async def use() -> None:
        fleet = await in_need(44, 2.0)
        before = {
            entry.name: limited_fleet.limit_bytes(entry)
            for entry in fleet.running()
        }
        await fleet.load(RATE_PER_S, 10_000.0)
        for entry in fleet.running():
            sent = limited_fleet.limit_bytes(entry) - before[entry.name]
            assert sent / 10.0 < CONTROL_BYTES_PER_S

    limited_fleet.play(use)


def test_entry_that_starts_knows_limits_before_it_is_told() -> None:
    async def use() -> None:
        fleet = await in_need(8, 1.0)
        entry = fleet.start(8)
        await fleet.sleep(2_000.0)
        assert len(entry.limits.known.in_force()) == len(fleet.replicas)

    limited_fleet.play(use)


def test_limits_are_used_though_one_entry_gets_all_requests() -> None:
    async def use() -> None:
        fleet = await in_need(8, 1.6)
        await fleet.load(RATE_PER_S, 2_000.0, ["entry-6"])
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 8_000.0, ["entry-6"])
        assert_kept(fleet, 1.6)
        for replica in fleet.replicas.values():
            used = replica.between(start_ms, start_ms + 8_000.0)
            assert used >= USED_SHARE_MIN * 8.0 * 1.6

    limited_fleet.play(use)


def test_nothing_is_refused_while_a_replica_names_no_limit() -> None:
    async def use() -> None:
        fleet = limited_fleet.LimitedFleet(8, 12)
        await fleet.sleep(6_000.0)
        for replica in list(fleet.replicas.values())[:-1]:
            replica.name(0.5)
        await fleet.load(RATE_PER_S, 8_000.0)
        assert fleet.refused == 0

    limited_fleet.play(use)


def cut_apart(fleet: limited_fleet.LimitedFleet, parts: int) -> None:
    """Cuts the entries into parts that don't reach one another."""
    names = sorted(fleet.entries)
    fleet.cut = {
        (one, other)
        for i, one in enumerate(names)
        for j, other in enumerate(names)
        if i % parts != j % parts
    }


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("parts", [3, 9])
def test_limit_is_kept_while_entries_are_cut_into_many_parts(
    parts: int, seed: int
) -> None:
    async def use() -> None:
        fleet = await in_need(9, 4.0, seed=seed)
        for _ in range(3):
            cut_apart(fleet, parts)
            await fleet.load(RATE_PER_S, 4_000.0)
            fleet.cut.clear()
            await fleet.load(RATE_PER_S, 3_000.0)
        assert_kept(fleet, 4.0)

    limited_fleet.play(use)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [1.0, 6.0])
def test_limit_is_kept_while_entries_end_start_and_stand_still(
    per_s: float, seed: int
) -> None:
    async def use() -> None:
        fleet = await in_need(8, per_s, seed=seed)
        struck = set()
        for step in range(12):
            number = fleet.rng.randrange(8)
            entry = fleet.entries[f"entry-{number}"]
            struck.add(entry.name)
            if step % 2:
                entry.suspended = True
                await fleet.load(RATE_PER_S, fleet.rng.uniform(300, 3_000))
                entry.suspended = False
            else:
                fleet.stop(entry.name)
                await fleet.load(RATE_PER_S, fleet.rng.uniform(300, 3_000))
                fleet.start(number, incarnation=2_000 + step)
        # Every entry was struck at some time; all but one are counted.
        await fleet.load(RATE_PER_S, 5_000.0)
        for name in struck:
            assert_kept(fleet, per_s, name)

    limited_fleet.play(use)
