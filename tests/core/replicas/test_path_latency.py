from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.replicas import path_latency


def test_latency_is_0_without_measurements(time: clock.ManualClock) -> None:
    latency = path_latency.PathLatency()
    assert latency.max_ms(time.now_ms()) == 0.0
    assert path_latency.expected_ms(latency, latency, time.now_ms()) == 0.0


def test_highest_latency_counts_for_its_window_despite_lower_ones(
    time: clock.ManualClock,
) -> None:
    latency = path_latency.PathLatency()
    latency.record(150.0, time.now_ms())
    until_ms = time.now_ms() + path_latency.WINDOW_MS
    while time.now_ms() <= until_ms:
        assert latency.max_ms(time.now_ms()) == 150.0
        time.advance(100.0)
        latency.record(3.0, time.now_ms())
    time.advance(path_latency.WINDOW_MS)
    latency.record(3.0, time.now_ms())
    assert latency.max_ms(time.now_ms()) == 3.0


def test_latency_expires_without_new_measurements(
    time: clock.ManualClock,
) -> None:
    latency = path_latency.PathLatency()
    latency.record(150.0, time.now_ms())
    time.advance(2.0 * path_latency.WINDOW_MS)
    assert latency.max_ms(time.now_ms()) == 0.0


def test_latency_of_the_data_centre_counts_if_the_replicas_is_old(
    time: clock.ManualClock,
) -> None:
    own, centre = path_latency.PathLatency(), path_latency.PathLatency()
    centre.record(150.0, time.now_ms())
    assert path_latency.expected_ms(own, centre, time.now_ms()) == 150.0
    own.record(3.0, time.now_ms())
    assert path_latency.expected_ms(own, centre, time.now_ms()) == 3.0
    time.advance(path_latency.OWN_FRESH_MS + 1.0)
    assert path_latency.expected_ms(own, centre, time.now_ms()) == 150.0


def test_high_latency_of_a_replica_exceeds_a_low_one_of_its_data_centre(
    time: clock.ManualClock,
) -> None:
    own, centre = path_latency.PathLatency(), path_latency.PathLatency()
    own.record(150.0, time.now_ms())
    time.advance(path_latency.OWN_FRESH_MS + 1.0)
    centre.record(3.0, time.now_ms())
    assert path_latency.expected_ms(own, centre, time.now_ms()) == 150.0


@pytest.mark.parametrize(
    ("latency_ms", "beyond_ms"),
    [(0.0, 0.0), (path_latency.MARGIN_LATENCY_MS, 0.0), (150.0, 141.0)],
)
def test_latency_within_the_margin_adds_nothing(
    latency_ms: float, beyond_ms: float
) -> None:
    assert path_latency.beyond_margin_ms(latency_ms) == beyond_ms
