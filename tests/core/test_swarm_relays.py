"""A VM's choice of chunks while entries relay them."""

from __future__ import annotations

import random

from marlramp import clock
from marlramp import ids
from marlramp.core import swarm

CHUNKS = [f"{n:064x}" for n in range(64)]
POLICY = swarm.SwarmPolicy(2.0, 700.0, in_flight_max=12, credits_per_peer=2)
NEAR = ids.VmId("vm-1")
FAR = ids.VmId("far")
RELAYS = [ids.VmId(f"entry-{n}") for n in range(4)]


def make(time: clock.ManualClock, rng: random.Random) -> swarm.Swarm:
    made = swarm.Swarm(
        ids.VmId("vm-0"), CHUNKS, set(), POLICY, time.now_ms(), rng
    )
    made.set_members([NEAR, FAR])
    made.set_near([NEAR])
    made.set_relays(RELAYS)
    return made


def asked(made: swarm.Swarm, time: clock.ManualClock) -> list[str]:
    return [
        action.peer_id
        for action in made.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromPeer)
    ]


def drawn(made: swarm.Swarm, time: clock.ManualClock) -> list[int]:
    return [
        action.index
        for action in made.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromOrigin)
    ]


def test_neighbours_are_spared_while_relays_fill_the_link(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    for relay in RELAYS:
        made.peer_holds(relay, range(64), [])
    made.peer_holds(NEAR, range(64), [])
    names = asked(made, time)
    assert len(names) == swarm.RELAY_IN_FLIGHT_MAX
    # By turns, each relay once.
    assert set(names) <= set(RELAYS)
    assert max(names.count(relay) for relay in RELAYS) == 1


def test_neighbours_bring_what_relays_can_not(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(RELAYS[0], [0], [])
    made.peer_holds(NEAR, [1, 2], [])
    assert sorted(asked(made, time)) == [RELAYS[0], NEAR, NEAR]


def test_relay_that_refuses_is_spared_and_neighbours_asked(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(RELAYS[0], [0], [])
    made.peer_holds(NEAR, [0], [])
    assert asked(made, time) == [RELAYS[0]]
    made.refused(0, RELAYS[0], time.now_ms())
    assert asked(made, time) == [NEAR]


def test_origin_and_other_regions_are_left_to_relays(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(FAR, range(64), [])
    assert asked(made, time) == []
    time.advance(swarm.RELAY_PATIENCE_MS - 1.0)
    assert drawn(made, time) == []


def test_vm_without_relays_draws_itself(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.set_relays([])
    assert drawn(made, time) != []


def test_relays_that_bring_nothing_are_left_in_the_end(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    time.advance(swarm.RELAY_PATIENCE_MS)
    assert drawn(made, time) != []


def test_relays_hold_a_part_and_keep_nobody_from_being_settled(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(RELAYS[0], [0], [])
    for index in range(64):
        made.received(index, None, valid=True, now_ms=time.now_ms())
    assert made.settled
