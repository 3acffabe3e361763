from __future__ import annotations

from marlramp import clock
from marlramp import ids
from marlramp.core import swap

A = ids.VmId("vm-a")
B = ids.VmId("vm-b")
ENTRIES = [ids.VmId("entry-0"), ids.VmId("entry-1")]
REPLICAS = [swap.Replica(vm, True) for vm in (A, B, ids.VmId("vm-c"))]


def ask(desk: swap.PermitDesk, vm_id: ids.VmId, now_ms: clock.Millis) -> bool:
    return desk.ask(vm_id, REPLICAS, 0.34, allow_sole=False, now_ms=now_ms)


def test_agents_that_hold_each_others_permits_come_through(
    time: clock.ManualClock,
) -> None:
    desks = [swap.PermitDesk(), swap.PermitDesk()]
    for _ in range(20):
        # Each is the first at another entry, again and again.
        assert ask(desks[0], A, time.now_ms())
        assert ask(desks[1], B, time.now_ms())
        assert not ask(desks[1], A, time.now_ms())
        assert not ask(desks[0], B, time.now_ms())
        for desk in desks:
            desk.release(A)
            desk.release(B)
        time.advance(swap.RETRY_MIN_MS)
    assert all(ask(desk, A, time.now_ms()) for desk in desks)


def test_answer_of_an_earlier_round_permits_nothing(
    time: clock.ManualClock,
) -> None:
    permits = swap.PermitRound()
    first = permits.begin(time.now_ms())
    permits.answered(ENTRIES[0], first, True, 3_000.0)
    permits.reset()
    second = permits.begin(time.now_ms())
    for entry_id in ENTRIES:
        permits.answered(entry_id, first, True, 3_000.0)
    assert not permits.permitted(ENTRIES, time.now_ms())
    for entry_id in ENTRIES:
        permits.answered(entry_id, second, True, 3_000.0)
    assert permits.permitted(ENTRIES, time.now_ms())


def test_permit_counts_from_the_question(time: clock.ManualClock) -> None:
    permits = swap.PermitRound()
    number = permits.begin(time.now_ms())
    time.advance(2_900.0)
    for entry_id in ENTRIES:
        permits.answered(entry_id, number, True, 3_000.0)
    assert permits.permitted(ENTRIES, time.now_ms())
    time.advance(200.0)
    assert not permits.permitted(ENTRIES, time.now_ms())
