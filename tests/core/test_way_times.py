from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core import way_times


def test_way_is_0_while_nothing_is_known(time: clock.ManualClock) -> None:
    ways = way_times.WayTimes()
    assert ways.longest_ms(time.now_ms()) == 0.0
    assert way_times.way_ms(ways, ways, time.now_ms()) == 0.0


def test_longest_way_counts_for_some_time_beside_shorter_ones(
    time: clock.ManualClock,
) -> None:
    ways = way_times.WayTimes()
    ways.note(150.0, time.now_ms())
    until_ms = time.now_ms() + way_times.KEPT_MS
    while time.now_ms() <= until_ms:
        assert ways.longest_ms(time.now_ms()) == 150.0
        time.advance(100.0)
        ways.note(3.0, time.now_ms())
    time.advance(way_times.KEPT_MS)
    ways.note(3.0, time.now_ms())
    assert ways.longest_ms(time.now_ms()) == 3.0


def test_ways_are_forgotten_when_nothing_is_measured(
    time: clock.ManualClock,
) -> None:
    ways = way_times.WayTimes()
    ways.note(150.0, time.now_ms())
    time.advance(2.0 * way_times.KEPT_MS)
    assert ways.longest_ms(time.now_ms()) == 0.0


def test_what_is_known_of_the_data_centre_counts_if_own_ways_are_old(
    time: clock.ManualClock,
) -> None:
    own, centre = way_times.WayTimes(), way_times.WayTimes()
    centre.note(150.0, time.now_ms())
    assert way_times.way_ms(own, centre, time.now_ms()) == 150.0
    own.note(3.0, time.now_ms())
    assert way_times.way_ms(own, centre, time.now_ms()) == 3.0
    time.advance(way_times.OWN_FRESH_MS + 1.0)
    assert way_times.way_ms(own, centre, time.now_ms()) == 150.0


def test_own_long_way_counts_beside_a_short_one_in_the_data_centre(
    time: clock.ManualClock,
) -> None:
    own, centre = way_times.WayTimes(), way_times.WayTimes()
    own.note(150.0, time.now_ms())
    time.advance(way_times.OWN_FRESH_MS + 1.0)
    centre.note(3.0, time.now_ms())
    assert way_times.way_ms(own, centre, time.now_ms()) == 150.0


@pytest.mark.parametrize(
    ("way_ms", "beyond_ms"),
    [(0.0, 0.0), (way_times.SHORT_WAY_MS, 0.0), (150.0, 141.0)],
)
def test_short_ways_change_nothing(way_ms: float, beyond_ms: float) -> None:
    assert way_times.beyond_short_ms(way_ms) == beyond_ms
