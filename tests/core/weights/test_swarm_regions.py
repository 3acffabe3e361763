from __future__ import annotations

import random

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import swarm

CHUNKS = [f"{n:064x}" for n in range(64)]
POLICY = swarm.SwarmPolicy(
    1.0,
    700.0,
    in_flight_max=12,
    credits_per_peer=2,
    takeover_max_ms=1_200.0,
    origin_in_flight_max=1,
)
OWN = ids.VmId("vm-0")
NEAR = [ids.VmId("vm-1"), ids.VmId("vm-2")]
FAR = ids.VmId("far")


def make(time: clock.ManualClock, rng: random.Random) -> swarm.Swarm:
    vm_swarm = swarm.Swarm(OWN, CHUNKS, set(), POLICY, time.now_ms(), rng, 1e9)
    vm_swarm.set_members([*NEAR, FAR])
    vm_swarm.set_region_members(NEAR)
    return vm_swarm


def peer_fetches(
    vm_swarm: swarm.Swarm, time: clock.ManualClock
) -> dict[int, str]:
    return {
        action.index: action.peer_id
        for action in vm_swarm.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromPeer)
    }


def test_one_vm_of_a_region_imports_a_chunk(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(FAR, range(64), [])
    imported: set[int] = set()
    for _ in range(80):
        for index in peer_fetches(vm_swarm, time):
            imported.add(index)
            vm_swarm.record_chunk(index, FAR, valid=True, now_ms=time.now_ms())
    assert 10 < len(imported) < 32


def test_chunk_held_in_the_region_is_not_imported(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(FAR, range(64), [])
    vm_swarm.record_holdings(NEAR[0], range(64), [])
    assert set(peer_fetches(vm_swarm, time).values()) == {NEAR[0]}


def test_import_is_taken_over_when_its_vm_is_gone(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(FAR, range(64), [])
    for index in peer_fetches(vm_swarm, time):
        vm_swarm.record_chunk(index, FAR, valid=True, now_ms=time.now_ms())
    time.advance(2 * POLICY.import_takeover_ms)
    missing = set(range(64)) - vm_swarm.held
    while missing:
        imports = peer_fetches(vm_swarm, time)
        assert imports, missing
        for index in imports:
            vm_swarm.record_chunk(index, FAR, valid=True, now_ms=time.now_ms())
        missing -= set(imports)


def test_failed_first_fetcher_is_replaced_during_a_stall(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = swarm.Swarm(
        OWN, CHUNKS, set(range(57)), POLICY, time.now_ms(), rng
    )
    vm_swarm.set_members([ids.VmId("dead")])
    fetched: set[int] = set()
    for _ in range(300):
        time.advance(50.0)
        for action in vm_swarm.next_actions(time.now_ms()):
            if isinstance(action, swarm.FetchFromOrigin):
                fetched.add(action.index)
                vm_swarm.record_chunk(
                    action.index, None, valid=True, now_ms=time.now_ms()
                )
    assert fetched == set(range(57, 64))


def test_no_more_chunks_are_requested_than_the_policy_allows(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    for peer in [ids.VmId(f"vm-{n}") for n in range(1, 12)]:
        vm_swarm.record_holdings(peer, range(64), [])
    vm_swarm.set_region_members([ids.VmId(f"vm-{n}") for n in range(1, 12)])
    assert len(peer_fetches(vm_swarm, time)) == POLICY.in_flight_max


def origin_fetches(vm_swarm: swarm.Swarm, time: clock.ManualClock) -> list[int]:
    time.advance(swarm.ORIGIN_CHECK_MS)
    return [
        action.index
        for action in vm_swarm.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromOrigin)
    ]


def test_last_chunks_are_fetched_together_after_an_outage_of_the_origin(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = swarm.Swarm(OWN, CHUNKS, set(), POLICY, time.now_ms(), rng)
    assert len(origin_fetches(vm_swarm, time)) == 1
    vm_swarm.record_holdings(FAR, range(4, 64), [])
    assert len(origin_fetches(vm_swarm, time)) == 3
    vm_swarm.record_origin_failure(0, 200.0, time.now_ms())
    time.advance(200.0)
    assert origin_fetches(vm_swarm, time) == [0]
