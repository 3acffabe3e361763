"""Tests that limits merge alike whatever the order of the updates."""

from __future__ import annotations

import itertools

import pytest

from marlramp import clock
from marlramp.core.replicas import replica_limits

REPLICA = "i-1"


def at(ms: float) -> clock.Millis:
    return clock.Millis(ms)


def update(
    per_s: float | None, age_ms: float = 0.0, born_ms: int | None = 1
) -> replica_limits.LimitUpdate:
    return replica_limits.LimitUpdate(REPLICA, born_ms, per_s, age_ms)


def test_limit_is_named_changed_and_ended() -> None:
    limits = replica_limits.ReplicaLimits()
    change = replica_limits.Change
    assert limits.record_limit(REPLICA, 1, 2.0, at(100)) is change.NAMED
    assert limits.record_limit(REPLICA, 1, 2.1, at(200)) is change.NONE
    assert limits.per_s(REPLICA) == 2.1
    assert limits.record_limit(REPLICA, 1, 4.0, at(300)) is change.CHANGED
    assert limits.record_no_limit(REPLICA, 1, at(400)) is change.ENDED
    assert limits.in_force() == {}


def test_answer_to_a_request_sent_before_does_not_end_a_limit() -> None:
    limits = replica_limits.ReplicaLimits()
    limits.record_limit(REPLICA, 1, 2.0, at(100))
    limits.record_no_limit(REPLICA, 1, at(99))
    assert limits.per_s(REPLICA) == 2.0


def test_small_changes_are_announced_once_they_add_up() -> None:
    limits = replica_limits.ReplicaLimits()
    limits.record_limit(REPLICA, 1, 2.0, at(0))
    changes = [
        limits.record_limit(REPLICA, 1, 2.0 + 0.09 * n, at(n))
        for n in range(1, 4)
    ]
    assert changes[:2] == [replica_limits.Change.NONE] * 2
    assert changes[2] is replica_limits.Change.CHANGED


def test_update_older_than_the_known_limit_is_ignored() -> None:
    limits = replica_limits.ReplicaLimits()
    limits.record_limit(REPLICA, 1, 2.0, at(1_000))
    assert (
        limits.merge(update(5.0, age_ms=900), at(1_100))
        is replica_limits.Change.NONE
    )
    limits.record_no_limit(REPLICA, 1, at(1_200))
    limits.merge(update(5.0, age_ms=500), at(1_300))
    assert limits.per_s(REPLICA) is None


def test_limit_from_before_a_restart_is_not_restored() -> None:
    limits = replica_limits.ReplicaLimits()
    limits.record_limit(REPLICA, 2, 1.0, at(100))
    limits.merge(update(9.0, born_ms=1), at(500))
    assert limits.per_s(REPLICA) == 1.0
    limits.merge(update(3.0, age_ms=450.0, born_ms=3), at(500))
    assert limits.per_s(REPLICA) == 3.0


def test_updates_merge_in_any_order_to_equal_limits() -> None:
    updates = [update(1.0, 900.0), update(2.0, 600.0), update(None, 300.0)]
    for order in itertools.permutations(updates):
        limits = replica_limits.ReplicaLimits()
        for each in order:
            limits.merge(each, at(1_000))
        assert limits.per_s(REPLICA) is None


def test_digests_agree_where_the_same_replicas_name_limits() -> None:
    one = replica_limits.ReplicaLimits()
    other = replica_limits.ReplicaLimits()
    for number in range(20):
        one.record_limit(f"i-{number}", 1, 1.0, at(number))
        other.record_limit(f"i-{number}", None, 1.05, at(500))
    assert one.digest() == other.digest()
    other.record_no_limit("i-7", 1, at(900))
    assert one.digest() != other.digest()
    assert "i-7" in one.differing(other.digests())
    assert "i-7" in other.differing(one.digests())
    other.tick(at(60_000))
    assert other.get("i-7") is None
    one.forget(["i-7"])
    assert one.digest() == other.digest()


@pytest.mark.parametrize("excess", [0, 5])
def test_limits_remembered_are_bounded(
    excess: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica_limits, "LIMITS_MAX", 10)
    limits = replica_limits.ReplicaLimits()
    for number in range(10 + excess):
        limits.record_limit(f"i-{number}", 1, 1.0, at(number))
    limits.tick(at(100))
    assert len(limits.in_force()) == 10
    assert "i-14" in limits.in_force() or not excess
