"""Estimates the path latency to a replica from connection setup times.

Load pattern: links are congested for seconds, as when engines fetch new
weights, so that data sent to a replica queues behind other traffic on its link.
"""

from __future__ import annotations

import math

import msgspec

from marlramp import clock

WINDOW_MS = 2_500.0
"""Least time for which a measured latency counts. It counts for at most twice
as long."""

OWN_FRESH_MS = 500.0
"""Age up to which the latencies measured to a replica itself are sufficient.
If they are older or missing, latencies to its data centre count as well."""

FRESH_BEFORE_CUTOFF_MS = 1_000.0
"""Time before the cutoff of a version in which requests are sent to it only
over a path whose latency was measured within `OWN_FRESH_MS`."""

MARGIN_LATENCY_MS = 9.0
"""Highest path latency that the fixed margins allow for in addition to one
engine step."""


class PathLatency(msgspec.Struct):
    """Maximum of the recently measured path latencies.

    The maximum is kept for two windows of `WINDOW_MS`, the current one and the
    previous one, so that memory does not grow with the number of measurements.

    Attributes:
      window: number of the current window.
      current_max_ms: highest latency in the current window, 0 for none.
      previous_max_ms: highest latency in the previous window, 0 for none.
      measured_ms: clock reading of the last complete measurement.
    """

    window: float = -math.inf
    current_max_ms: float = 0.0
    previous_max_ms: float = 0.0
    measured_ms: float = -math.inf

    def record(self, latency_ms: float, now_ms: clock.Millis) -> None:
        """Records a latency that was measured now."""
        self._advance_window(now_ms)
        self.current_max_ms = max(self.current_max_ms, latency_ms)
        self.measured_ms = now_ms

    def record_at_least(self, latency_ms: float, now_ms: clock.Millis) -> None:
        """Records a lower bound of the latency while it is being measured."""
        self._advance_window(now_ms)
        self.current_max_ms = max(self.current_max_ms, latency_ms)

    def max_ms(self, now_ms: clock.Millis) -> float:
        """Returns the highest latency of both windows, 0 for none."""
        self._advance_window(now_ms)
        return max(self.current_max_ms, self.previous_max_ms)

    def age_ms(self, now_ms: clock.Millis) -> float:
        """Returns the age of the last measurement, infinite if none."""
        return now_ms - self.measured_ms

    def _advance_window(self, now_ms: clock.Millis) -> None:
        """Starts a new window if the current one is over."""
        window = now_ms // WINDOW_MS
        if window <= self.window:
            return
        adjoins = window == self.window + 1
        self.previous_max_ms = self.current_max_ms if adjoins else 0.0
        self.current_max_ms = 0.0
        self.window = window


def expected_ms(
    own: PathLatency, centre: PathLatency, now_ms: clock.Millis
) -> float:
    """Returns the path latency to a replica to allow for now.

    An entry among many opens few connections to one replica, whereas the links
    of a data centre become congested together: engines there fetch the same
    weights at once.

    Args:
      own: latencies measured to the replica.
      centre: latencies measured to all replicas of its data centre.
      now_ms: the time.
    """
    max_ms = own.max_ms(now_ms)
    if own.age_ms(now_ms) <= OWN_FRESH_MS:
        return max_ms
    return max(max_ms, centre.max_ms(now_ms))


def beyond_margin_ms(latency_ms: float) -> float:
    """Returns by how much a path latency exceeds the fixed margins."""
    return max(0.0, latency_ms - MARGIN_LATENCY_MS)
