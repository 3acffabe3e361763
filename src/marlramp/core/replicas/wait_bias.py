"""Estimates by what factor waits for a first event exceed their prediction.

Load pattern: engines are full all the time and shared by many entries. A
prediction counts the requests that are known to be ahead now. It misses
requests that will arrive later and go in front, and requests that other entries
have sent but not reported yet. Their number shows only in the actual waits.
"""

from __future__ import annotations

import math

from marlramp import clock

RISE = 0.3
"""Weight of a wait that is longer than expected. Three long waits show that the
engines are full."""

FALL = 0.1
"""Weight of a wait that is shorter than expected. It is lower than `RISE`
because a request that is admitted too early is late and delays all others.
With 43 entries and 20 engines at 1.6 times the engines' capacity, 0.39 of the
callers are served in time; with 0.2 for both weights 0.37 are, and without a
bias over all engines 0.22 (replayed load, two seeds)."""

RATIO_MIN = 0.5
RATIO_MAX = 2.6
"""Bounds of one observed ratio, so that a single stall does not make engines
look too slow to receive requests."""

RELEASE_MS = 3_000.0
"""Time constant of the decay of a bias that no wait confirms: it falls to about
a third. With a large bias no request is sent, so no wait would show that the
load has ended."""


class WaitBias:
    """Smoothed ratio of actual to predicted waits.

    The ratio is 1 before the first wait and decays to 1 without new waits.
    """

    def __init__(self) -> None:
        """Starts with a ratio of 1."""
        self._excess = 0.0
        self._updated_ms = float("-inf")

    def factor(self, now_ms: clock.Millis) -> float:
        """Returns the factor by which to multiply a predicted wait."""
        age_ms = now_ms - self._updated_ms
        return 1.0 + self._excess * math.exp(-age_ms / RELEASE_MS)

    def record(
        self, taken_ms: float, predicted_ms: float, now_ms: clock.Millis
    ) -> None:
        """Records a wait that has ended or is still going on.

        Args:
          taken_ms: the wait so far.
          predicted_ms: the predicted wait.
          now_ms: the time.
        """
        ratio = taken_ms / max(1.0, predicted_ms)
        ratio = min(RATIO_MAX, max(RATIO_MIN, ratio))
        before = self.factor(now_ms)
        weight = RISE if ratio > before else FALL
        self._excess = before + weight * (ratio - before) - 1.0
        self._updated_ms = now_ms
