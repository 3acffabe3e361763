from __future__ import annotations

from marlramp import clock
from marlramp.core.requests import retry_wait


def wait(
    since_ms: float, *, begun: bool = False, in_time: bool = True
) -> retry_wait.RetryWait:
    """Returns a request that waits for a retry at the time 1,000 ms."""
    return retry_wait.RetryWait(
        begun=begun,
        objective_until_ms=2_000.0 if in_time else 500.0,
        give_up_ms=3_000.0,
        since_ms=clock.Millis(since_ms),
    )


def test_order_in_which_waiting_requests_get_a_retry() -> None:
    waits = retry_wait.RetryWaits()
    expected = [
        wait(300.0, begun=True, in_time=False),
        wait(200.0),
        wait(400.0),
        wait(100.0, in_time=False),
    ]
    for each in reversed(expected):
        waits.add(each)
    now_ms = clock.Millis(1_000.0)
    assert [waits.ahead_of(each, now_ms) for each in expected] == [0, 1, 2, 3]
    waits.remove(expected[0])
    assert waits.ahead_of(expected[1], now_ms) == 0
    assert waits
