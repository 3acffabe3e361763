"""Entries together keep the rate limits of replicas, in virtual time."""

from __future__ import annotations

import pytest

from standins import named_limit
from tests.direct.fleet import limited_fleet

USED_SHARE_MIN = 0.8
"""Least used share of each limit while there are more requests."""

FREE_AGAIN_MS = 4_500.0
"""Time after which a replica that no longer announces a limit is used freely. A
replica with a limit of at most one request in four seconds gets requests that
rarely, and only an answer shows that the limit has ended."""

CONTROL_BYTES_PER_S = 10_000.0
RATE_PER_S = 40.0


def announce_all(
    fleet: limited_fleet.LimitedFleet, per_s: float | None
) -> None:
    for replica in fleet.replicas.values():
        replica.name(per_s)


async def fleet_with_limits(
    count: int, per_s: float, replicas: int = 12, seed: int = 1
) -> limited_fleet.LimitedFleet:
    """Returns a fleet in which all replicas have announced a limit."""
    fleet = limited_fleet.LimitedFleet(count, replicas, seed=seed)
    await fleet.sleep(6_000.0)
    await fleet.load(RATE_PER_S, 1_000.0)
    announce_all(fleet, per_s)
    await fleet.load(RATE_PER_S, limited_fleet.CONTACT_MS)
    return fleet


def assert_kept(
    fleet: limited_fleet.LimitedFleet, per_s: float, *excluded: str
) -> None:
    for name, replica in fleet.replicas.items():
        most = replica.need.most_in_window(excluded)
        assert most <= named_limit.allowed_in_window(per_s), name


@pytest.mark.parametrize("per_s", [0.5, 1.0, 1.6, 2.5])
@pytest.mark.parametrize("count", [3, 8, 44])
def test_limit_is_kept_and_used_over_all_entries(
    count: int, per_s: float
) -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(count, per_s)
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 12_000.0)
        assert_kept(fleet, per_s)
        for replica in fleet.replicas.values():
            used = replica.requests_between(start_ms, start_ms + 12_000.0)
            assert used >= USED_SHARE_MIN * 12.0 * per_s - 1

    limited_fleet.play(run)


def test_limit_is_kept_when_a_limiter_ends() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 1.0)
        await fleet.load(RATE_PER_S, 3_000.0)
        fleet.stop("entry-2")
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 8_000.0)
        assert_kept(fleet, 1.0)
        for replica in fleet.replicas.values():
            assert replica.requests_between(start_ms, start_ms + 8_000.0) >= 5

    limited_fleet.play(run)


def test_limit_is_kept_while_entries_join_and_restart() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 1.0)
        for number in range(8, 16):
            fleet.start(number)
            await fleet.load(RATE_PER_S, 700.0)
        fleet.stop("entry-3")
        await fleet.load(RATE_PER_S, 800.0)
        fleet.start(3, incarnation=2_000)
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, 1.0, "entry-3")

    limited_fleet.play(run)


def test_limit_is_kept_when_a_suspended_entry_resumes() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 1.0)
        fleet.entries["entry-5"].suspended = True
        await fleet.load(RATE_PER_S, 5_000.0)
        fleet.entries["entry-5"].suspended = False
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, 1.0, "entry-5")

    limited_fleet.play(run)


@pytest.mark.parametrize("per_s", [1.0, 4.0])
def test_limit_is_kept_while_half_the_entries_are_cut_from_the_others(
    per_s: float,
) -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, per_s)
        one = {f"entry-{n}" for n in range(4)}
        other = set(fleet.entries) - one
        fleet.cut = {(a, b) for a in one for b in other}
        fleet.cut |= {(b, a) for a, b in fleet.cut}
        await fleet.load(RATE_PER_S, 10_000.0)
        fleet.cut.clear()
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, per_s)

    limited_fleet.play(run)


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_limit_is_kept_though_messages_are_lost(loss: float) -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 1.6)
        fleet.loss = loss
        await fleet.load(RATE_PER_S, 12_000.0)
        assert_kept(fleet, 1.6)

    limited_fleet.play(run)


def test_limit_that_falls_and_rises_is_followed() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 3.0)
        await fleet.load(RATE_PER_S, 2_000.0)
        announce_all(fleet, 1.0)
        await fleet.load(RATE_PER_S, 2_000.0)
        for replica in fleet.replicas.values():
            replica.need.arrivals.clear()
        await fleet.load(RATE_PER_S, 6_000.0)
        assert_kept(fleet, 1.0)
        announce_all(fleet, 3.0)
        await fleet.load(RATE_PER_S, 2_000.0)
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 6_000.0)
        for replica in fleet.replicas.values():
            used = replica.requests_between(start_ms, start_ms + 6_000.0)
            assert used >= USED_SHARE_MIN * 6.0 * 3.0

    limited_fleet.play(run)


@pytest.mark.parametrize("per_s", [0.0, 0.1, 1.0])
def test_replica_that_no_longer_announces_a_limit_is_used_freely(
    per_s: float,
) -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, per_s)
        await fleet.load(RATE_PER_S, 2_000.0)
        announce_all(fleet, None)
        await fleet.load(RATE_PER_S, FREE_AGAIN_MS)
        refused = fleet.refused
        await fleet.load(RATE_PER_S, 3_000.0)
        assert fleet.refused == refused
        for entry in fleet.running():
            assert entry.limits.known.in_force() == {}

    limited_fleet.play(run)


def test_replica_with_a_limit_of_zero_is_rarely_sent_requests() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 0.0)
        await fleet.load(RATE_PER_S, 12_000.0)
        assert_kept(fleet, 0.0)

    limited_fleet.play(run)


def test_limit_messages_stay_within_the_control_budget() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(44, 2.0)
        before = {
            entry.name: limited_fleet.limit_bytes(entry)
            for entry in fleet.running()
        }
        await fleet.load(RATE_PER_S, 10_000.0)
        for entry in fleet.running():
            sent = limited_fleet.limit_bytes(entry) - before[entry.name]
            assert sent / 10.0 < CONTROL_BYTES_PER_S

    limited_fleet.play(run)


def test_starting_entry_learns_limits_from_other_entries() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 1.0)
        entry = fleet.start(8)
        await fleet.sleep(2_000.0)
        assert len(entry.limits.known.in_force()) == len(fleet.replicas)

    limited_fleet.play(run)


def test_limits_are_used_though_one_entry_gets_all_requests() -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, 1.6)
        await fleet.load(RATE_PER_S, 2_000.0, ["entry-6"])
        start_ms = fleet.virtual.now_ms()
        await fleet.load(RATE_PER_S, 8_000.0, ["entry-6"])
        assert_kept(fleet, 1.6)
        for replica in fleet.replicas.values():
            used = replica.requests_between(start_ms, start_ms + 8_000.0)
            assert used >= USED_SHARE_MIN * 8.0 * 1.6

    limited_fleet.play(run)


def test_nothing_is_refused_while_a_replica_has_no_limit() -> None:
    async def run() -> None:
        fleet = limited_fleet.LimitedFleet(8, 12)
        await fleet.sleep(6_000.0)
        for replica in list(fleet.replicas.values())[:-1]:
            replica.name(0.5)
        await fleet.load(RATE_PER_S, 8_000.0)
        assert fleet.refused == 0

    limited_fleet.play(run)


def cut_apart(fleet: limited_fleet.LimitedFleet, parts: int) -> None:
    """Partitions the entries into parts that do not reach each other."""
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
    async def run() -> None:
        fleet = await fleet_with_limits(9, 4.0, seed=seed)
        for _ in range(3):
            cut_apart(fleet, parts)
            await fleet.load(RATE_PER_S, 4_000.0)
            fleet.cut.clear()
            await fleet.load(RATE_PER_S, 3_000.0)
        assert_kept(fleet, 4.0)

    limited_fleet.play(run)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [1.0, 6.0])
def test_limit_is_kept_while_entries_end_start_and_stall(
    per_s: float, seed: int
) -> None:
    async def run() -> None:
        fleet = await fleet_with_limits(8, per_s, seed=seed)
        disturbed = set()
        for step in range(12):
            number = fleet.rng.randrange(8)
            entry = fleet.entries[f"entry-{number}"]
            disturbed.add(entry.name)
            if step % 2:
                entry.suspended = True
                await fleet.load(RATE_PER_S, fleet.rng.uniform(300, 3_000))
                entry.suspended = False
            else:
                fleet.stop(entry.name)
                await fleet.load(RATE_PER_S, fleet.rng.uniform(300, 3_000))
                fleet.start(number, incarnation=2_000 + step)
        # Each entry may have been disturbed; the requests of one at a time are
        # excluded.
        await fleet.load(RATE_PER_S, 5_000.0)
        for name in disturbed:
            assert_kept(fleet, per_s, name)

    limited_fleet.play(run)
