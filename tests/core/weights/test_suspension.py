"""Tests the detection of suspensions."""

from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.weights import suspension


@pytest.fixture
def time() -> clock.ManualClock:
    return clock.ManualClock()


def test_only_a_long_gap_between_two_calls_is_a_suspension(
    time: clock.ManualClock,
) -> None:
    detector = suspension.SuspensionDetector(time)
    for _ in range(5):
        time.advance(suspension.SUSPENSION_MIN_MS - 1.0)
        assert detector.resumed_ms() == float("-inf")
    time.advance(suspension.SUSPENSION_MIN_MS)
    resumed_ms = time.now_ms()
    assert detector.resumed_ms() == resumed_ms
    time.advance(100.0)
    assert detector.resumed_ms() == resumed_ms
