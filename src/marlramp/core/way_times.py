"""How long the way to a replica is now, by what opening connections took.

Load pattern: links that fill for seconds, as when engines fetch new weights,
so that what is sent to a replica waits behind what its link carries.
"""

from __future__ import annotations

import math

import msgspec

from marlramp import clock

KEPT_MS = 2_500.0
"""The least time for which a way that was measured counts; it counts for twice
as long at most."""

OWN_FRESH_MS = 500.0
"""Age within which ways measured to a replica itself are enough to know its
way; with older ones or none those to its data centre count too."""

MEASURED_BEFORE_MS = 1_000.0
"""Time before a version is left in which requests go there only over a way
that was measured lately."""

SHORT_WAY_MS = 9.0
"""The longest way that fixed margins have room for beside the pass of an
engine."""


class WayTimes(msgspec.Struct):
    """The longest of the ways that were measured lately.

    Two spans of `KEPT_MS` are kept, the one that runs and the one before it, so
    that what is kept does not grow with the number of measurements.

    Attributes:
      span: number of the span that runs.
      latest_ms: longest way measured in it, 0 for none.
      before_ms: the same of the span before.
      noted_ms: when a way was measured last.
    """

    span: float = -math.inf
    latest_ms: float = 0.0
    before_ms: float = 0.0
    noted_ms: float = -math.inf

    def note(self, way_ms: float, now_ms: clock.Millis) -> None:
        """Takes a way that was measured now."""
        self._move(now_ms)
        self.latest_ms = max(self.latest_ms, way_ms)
        self.noted_ms = now_ms

    def note_at_least(self, way_ms: float, now_ms: clock.Millis) -> None:
        """Takes that the way is at least so long; how long is not known yet."""
        self._move(now_ms)
        self.latest_ms = max(self.latest_ms, way_ms)

    def longest_ms(self, now_ms: clock.Millis) -> float:
        """Returns the longest way measured lately, 0 if none was."""
        self._move(now_ms)
        return max(self.latest_ms, self.before_ms)

    def age_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long ago a way was measured last, infinite if never."""
        return now_ms - self.noted_ms

    def _move(self, now_ms: clock.Millis) -> None:
        """Begins another span if the one that ran is over."""
        span = now_ms // KEPT_MS
        if span <= self.span:
            return
        adjoins = span == self.span + 1
        self.before_ms = self.latest_ms if adjoins else 0.0
        self.latest_ms = 0.0
        self.span = span


def way_ms(own: WayTimes, centre: WayTimes, now_ms: clock.Millis) -> float:
    """Returns the way to a replica that is to be reckoned with now.

    An entry among many opens few connections to one replica, while links of a
    data centre fill together: engines there fetch the same weights at once.

    Args:
      own: ways measured to the replica.
      centre: ways measured to all replicas of its data centre.
      now_ms: the time.
    """
    longest_ms = own.longest_ms(now_ms)
    if own.age_ms(now_ms) <= OWN_FRESH_MS:
        return longest_ms
    return max(longest_ms, centre.longest_ms(now_ms))


def beyond_short_ms(way_ms: float) -> float:
    """Returns by how much a way is longer than fixed margins have room for."""
    return max(0.0, way_ms - SHORT_WAY_MS)
