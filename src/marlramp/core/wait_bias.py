"""How far the waits of requests that yield to others exceed what is predicted.

Load pattern: engines are full without an end. A prediction counts those that
are ahead now, not those that will come and go in front; how many do is seen
only in the waits themselves.
"""

from __future__ import annotations

import math

from marlramp import clock

SMOOTHING = 0.2
"""Weight of the newest wait: five of them show that engines are full."""

RATIO_MIN = 0.5
RATIO_MAX = 3.0
"""Bounds of one observation, so that one stall does not close an engine."""

RELEASE_MS = 3_000.0
"""Time in which a bias that no wait confirms falls to a third: with a large one
nothing is sent, so that nothing would show that the load has gone."""


class WaitBias:
    """Ratio of actual to predicted waits, nearly 1 when nothing was seen."""

    def __init__(self) -> None:
        """Starts without a bias."""
        self._excess = 0.0
        self._noted_ms = float("-inf")

    def factor(self, now_ms: clock.Millis) -> float:
        """Returns by what a predicted wait is to be multiplied."""
        age_ms = now_ms - self._noted_ms
        return 1.0 + self._excess * math.exp(-age_ms / RELEASE_MS)

    def note(
        self, taken_ms: float, predicted_ms: float, now_ms: clock.Millis
    ) -> None:
        """Takes a wait that has ended, or has lasted so long without an end."""
        ratio = taken_ms / max(1.0, predicted_ms)
        ratio = min(RATIO_MAX, max(RATIO_MIN, ratio))
        before = self.factor(now_ms)
        self._excess = before + SMOOTHING * (ratio - before) - 1.0
        self._noted_ms = now_ms
