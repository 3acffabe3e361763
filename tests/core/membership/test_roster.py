from __future__ import annotations

import random

import pytest

from marlramp import clock
from marlramp.core.membership import members
from marlramp.core.membership import roster

OWN = members.Member("own", members.MemberKind.ENTRY, "dc-1", "10.0.0.1", 1)
STATES = (
    members.MemberState.STARTING,
    members.MemberState.READY,
    members.MemberState.LEAVING,
    members.MemberState.SUSPECT,
)


def make_update(
    number: int, incarnation: int, state: members.MemberState
) -> members.MemberUpdate:
    member = members.Member(
        f"vm-{number}", members.MemberKind.ENTRY, "dc-1", "10.0.0.2", 1
    )
    return members.MemberUpdate(member, incarnation, state)


def make() -> roster.Roster:
    return roster.Roster(OWN, 1)


@pytest.mark.parametrize("seed", range(20))
def test_updates_in_any_order_and_number_give_an_identical_roster(
    seed: int, time: clock.ManualClock
) -> None:
    rng = random.Random(seed)
    updates = [
        make_update(rng.randrange(12), rng.randrange(4), rng.choice(STATES))
        for _ in range(60)
    ]
    one, two = make(), make()
    for each in updates:
        one.apply(each, time.now_ms())
    again = updates + rng.choices(updates, k=30)
    rng.shuffle(again)
    for each in again:
        two.apply(each, time.now_ms())
    assert one.digests() == two.digests()
    assert one.digest() == two.digest()
    for record in one.records():
        other = two.get(record.update.vm_id)
        assert other is not None
        assert other.update == record.update


@pytest.mark.parametrize("seed", range(5))
def test_exchange_of_differing_buckets_makes_two_rosters_equal(
    seed: int, time: clock.ManualClock
) -> None:
    rng = random.Random(seed)
    one, two = make(), make()
    for number in range(40):
        each = make_update(number, 1, members.MemberState.READY)
        for known in (one, two):
            if rng.random() < 0.7:
                known.apply(each, time.now_ms())
    for receiver, sender in ((one, two), (two, one)):
        for each in sender.in_buckets(sender.differing(receiver.digests())):
            receiver.apply(each, time.now_ms())
    assert one.digests() == two.digests()


def test_state_down_is_neither_sent_nor_accepted(
    time: clock.ManualClock,
) -> None:
    known = make()
    known.apply(make_update(1, 1, members.MemberState.READY), time.now_ms())
    assert (
        known.apply(make_update(1, 1, members.MemberState.DOWN), time.now_ms())
        is None
    )
    known.suspect("vm-1", time.now_ms())
    time.advance(roster.SUSPECT_MS)
    known.tick(time.now_ms())
    record = known.get("vm-1")
    assert record is not None
    assert record.update.state is members.MemberState.DOWN
    names = [each.vm_id for each in known.in_buckets(range(roster.BUCKETS))]
    assert names == ["own"]


def test_process_contradicts_a_suspicion_of_itself(
    time: clock.ManualClock,
) -> None:
    known = make()
    suspicion = members.MemberUpdate(OWN, 7, members.MemberState.SUSPECT)
    answer = known.apply(suspicion, time.now_ms())
    assert answer is not None
    assert answer.incarnation == 8
    assert answer.state is members.MemberState.STARTING
    assert known.apply(suspicion, time.now_ms()) is None


def test_forgotten_process_is_remembered_by_name(
    time: clock.ManualClock,
) -> None:
    """Guards against a half of a partition that takes over the other's share.

    Also guards against a name that is listed twice after its return, or kept
    for ever.
    """
    known = make()
    ready = make_update(1, 1, members.MemberState.READY)

    def forget() -> None:
        known.apply(ready, time.now_ms())
        known.suspect("vm-1", time.now_ms())
        for pause_ms in (roster.SUSPECT_MS, roster.FORGET_MS):
            time.advance(pause_ms)
            known.tick(time.now_ms())

    forget()
    assert known.get("vm-1") is None
    assert known.remembered(members.MemberKind.ENTRY) == ["own", "vm-1"]
    assert known.remembered(members.MemberKind.AGENT) == []
    forget()
    assert known.remembered(members.MemberKind.ENTRY) == ["own", "vm-1"]
    changes = known.changes
    time.advance(roster.REMEMBER_MS)
    known.tick(time.now_ms())
    assert known.remembered(members.MemberKind.ENTRY) == ["own"]
    assert known.changes > changes


def test_roster_does_not_grow_without_end(
    time: clock.ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(roster, "MEMBERS_MAX", 16, raising=False)
    known = make()
    ready = members.MemberState.READY
    for start in range(0, 200, 50):
        for number in range(start, start + 50):
            update = make_update(number, 1, ready)
            known.apply(update, time.now_ms())
            known.apply_direct(update, time.now_ms())
            known.suspect(update.vm_id, time.now_ms())
        assert len(known.records()) <= 16
        for _ in range(2):
            time.advance(roster.FORGET_MS)
            known.tick(time.now_ms())
    assert len(known.remembered(members.MemberKind.ENTRY)) <= 17
