from __future__ import annotations

from marlramp import clock
from marlramp.core.grant_calls import limits


def test_refusal_returns_the_time_to_retry(time: clock.ManualClock) -> None:
    bucket = limits.TokenBucket(10.0, 1.0, time.now_ms())
    assert bucket.try_consume(1.0, time.now_ms()) == 0
    wait_ms = bucket.try_consume(1.0, time.now_ms())
    assert 99 <= wait_ms <= 101
    time.advance(wait_ms)
    assert bucket.try_consume(1.0, time.now_ms()) == 0


def test_shares_of_all_entries_sum_to_the_limit(
    time: clock.ManualClock,
) -> None:
    entries = 4
    shares = [
        limits.CustomerLimit(100.0, 1e9, 1.0, entries, time.now_ms())
        for _ in range(entries)
    ]
    admitted = 0
    for _ in range(200):
        time.advance(50.0)
        for share in shares:
            while share.admit(1, time.now_ms()) == 0:
                admitted += 1
    assert admitted <= 100.0 * 10.0 + 100.0


def test_unused_tokens_are_refunded(time: clock.ManualClock) -> None:
    limit = limits.CustomerLimit(1e6, 100.0, 1.0, 1, time.now_ms())
    assert limit.admit(100, time.now_ms()) == 0
    assert limit.admit(50, time.now_ms()) > 0
    limit.settle(100, 10, time.now_ms())
    assert limit.admit(50, time.now_ms()) == 0
