from __future__ import annotations

import random

from marlramp import clock
from marlramp import ids
from marlramp.core import swarm

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
    made = swarm.Swarm(OWN, CHUNKS, set(), POLICY, time.now_ms(), rng, 1e9)
    made.set_members([*NEAR, FAR])
    made.set_near(NEAR)
    return made


def fetched(made: swarm.Swarm, time: clock.ManualClock) -> dict[int, str]:
    return {
        action.index: action.peer_id
        for action in made.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromPeer)
    }


def test_one_vm_of_a_region_imports_a_chunk(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(FAR, range(64), [])
    wanted: set[int] = set()
    for _ in range(80):
        for index in fetched(made, time):
            wanted.add(index)
            made.received(index, FAR, valid=True, now_ms=time.now_ms())
    assert 10 < len(wanted) < 32


def test_chunk_held_near_is_not_imported(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(FAR, range(64), [])
    made.peer_holds(NEAR[0], range(64), [])
    assert set(fetched(made, time).values()) == {NEAR[0]}


def test_import_is_taken_over_when_its_vm_is_away(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    made.peer_holds(FAR, range(64), [])
    for index in fetched(made, time):
        made.received(index, FAR, valid=True, now_ms=time.now_ms())
    time.advance(2 * POLICY.import_takeover_ms)
    missing = set(range(64)) - made.held
    while missing:
        got = fetched(made, time)
        assert got, missing
        for index in got:
            made.received(index, FAR, valid=True, now_ms=time.now_ms())
        missing -= set(got)


def test_dead_first_fetcher_is_replaced_though_the_pass_stands_still(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = swarm.Swarm(OWN, CHUNKS, set(range(57)), POLICY, time.now_ms(), rng)
    made.set_members([ids.VmId("dead")])
    drawn: set[int] = set()
    for _ in range(300):
        time.advance(50.0)
        for action in made.next_actions(time.now_ms()):
            if isinstance(action, swarm.FetchFromOrigin):
                drawn.add(action.index)
                made.received(
                    action.index, None, valid=True, now_ms=time.now_ms()
                )
    assert drawn == set(range(57, 64))


def test_no_more_chunks_are_asked_for_than_the_policy_says(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = make(time, rng)
    for peer in [ids.VmId(f"vm-{n}") for n in range(1, 12)]:
        made.peer_holds(peer, range(64), [])
    made.set_near([ids.VmId(f"vm-{n}") for n in range(1, 12)])
    assert len(fetched(made, time)) == POLICY.in_flight_max


def draws(made: swarm.Swarm, time: clock.ManualClock) -> list[int]:
    time.advance(swarm.ORIGIN_CHECK_MS)
    return [
        action.index
        for action in made.next_actions(time.now_ms())
        if isinstance(action, swarm.FetchFromOrigin)
    ]


def test_last_chunks_are_drawn_together_once_the_origin_is_back(
    time: clock.ManualClock, rng: random.Random
) -> None:
    made = swarm.Swarm(OWN, CHUNKS, set(), POLICY, time.now_ms(), rng)
    assert len(draws(made, time)) == 1
    made.peer_holds(FAR, range(4, 64), [])
    assert len(draws(made, time)) == 3
    made.origin_failed(0, 200.0, time.now_ms())
    time.advance(200.0)
    assert draws(made, time) == [0]
