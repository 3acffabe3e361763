"""Tests which chunks a VM requests while entries relay them."""

from __future__ import annotations

import random

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import swarm

CHUNKS = [f"{n:064x}" for n in range(64)]
POLICY = swarm.SwarmPolicy(2.0, 700.0, in_flight_max=12, credits_per_peer=2)
NEAR = ids.VmId("vm-1")
FAR = ids.VmId("far")
RELAYS = [ids.VmId(f"entry-{n}") for n in range(4)]


def make(time: clock.ManualClock, rng: random.Random) -> swarm.Swarm:
    vm_swarm = swarm.Swarm(
        ids.VmId("vm-0"), CHUNKS, set(), POLICY, time.now_ms(), rng
    )
    vm_swarm.set_members([NEAR, FAR])
    vm_swarm.set_region_members([NEAR])
    vm_swarm.set_relays(RELAYS)
    return vm_swarm


def peer_requests(vm_swarm: swarm.Swarm, time: clock.ManualClock) -> list[str]:
    return [
        action.peer_id
        for action in vm_swarm.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromPeer)
    ]


def origin_fetches(vm_swarm: swarm.Swarm, time: clock.ManualClock) -> list[int]:
    return [
        action.index
        for action in vm_swarm.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromOrigin)
    ]


def test_neighbours_get_no_requests_while_relays_fill_the_link(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    for relay in RELAYS:
        vm_swarm.record_holdings(relay, range(64), [])
    vm_swarm.record_holdings(NEAR, range(64), [])
    names = peer_requests(vm_swarm, time)
    assert len(names) == swarm.RELAY_IN_FLIGHT_MAX
    # Each relay gets at most one request.
    assert set(names) <= set(RELAYS)
    assert max(names.count(relay) for relay in RELAYS) == 1


def test_chunks_that_relays_lack_are_requested_from_neighbours(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(RELAYS[0], [0], [])
    vm_swarm.record_holdings(NEAR, [1, 2], [])
    assert sorted(peer_requests(vm_swarm, time)) == [RELAYS[0], NEAR, NEAR]


def test_chunk_that_a_relay_refuses_is_requested_from_a_neighbour(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(RELAYS[0], [0], [])
    vm_swarm.record_holdings(NEAR, [0], [])
    assert peer_requests(vm_swarm, time) == [RELAYS[0]]
    vm_swarm.record_refusal(0, RELAYS[0], time.now_ms())
    assert peer_requests(vm_swarm, time) == [NEAR]


def test_origin_and_other_regions_are_left_to_relays(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(FAR, range(64), [])
    assert peer_requests(vm_swarm, time) == []
    time.advance(swarm.RELAY_TIMEOUT_MS - 1.0)
    assert origin_fetches(vm_swarm, time) == []


def test_vm_without_relays_fetches_from_the_origin(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.set_relays([])
    assert origin_fetches(vm_swarm, time) != []


def test_vm_fetches_from_the_origin_after_the_relays_time_out(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    time.advance(swarm.RELAY_TIMEOUT_MS)
    assert origin_fetches(vm_swarm, time) != []


def test_vm_settles_although_relays_hold_only_a_part(
    time: clock.ManualClock, rng: random.Random
) -> None:
    vm_swarm = make(time, rng)
    vm_swarm.record_holdings(RELAYS[0], [0], [])
    for index in range(64):
        vm_swarm.record_chunk(index, None, valid=True, now_ms=time.now_ms())
    assert vm_swarm.settled
