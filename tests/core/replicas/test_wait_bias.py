from __future__ import annotations

from marlramp import clock
from marlramp.core.replicas import wait_bias


def test_waits_beyond_the_prediction_raise_the_factor_quickly(
    time: clock.ManualClock,
) -> None:
    bias = wait_bias.WaitBias()
    assert bias.factor(time.now_ms()) == 1.0
    for _ in range(5):
        bias.record(2_000.0, 1_000.0, time.now_ms())
    assert bias.factor(time.now_ms()) > 1.6


def test_factor_falls_when_no_wait_confirms_it(
    time: clock.ManualClock,
) -> None:
    bias = wait_bias.WaitBias()
    for _ in range(20):
        bias.record(3_000.0, 1_000.0, time.now_ms())
    high = bias.factor(time.now_ms())
    time.advance(wait_bias.RELEASE_MS)
    assert bias.factor(time.now_ms()) - 1.0 < 0.4 * (high - 1.0)


def test_one_stall_does_not_close_an_engine(time: clock.ManualClock) -> None:
    bias = wait_bias.WaitBias()
    bias.record(60_000.0, 100.0, time.now_ms())
    assert bias.factor(time.now_ms()) < 1.5
