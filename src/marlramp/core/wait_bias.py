"""How far the waits for a first event exceed what is predicted.

Load pattern: engines are full without an end, and many entries share them. A
prediction counts those that are known to be ahead now: not those that will
come and go in front, nor those that other entries sent and nobody has told of
yet. How many there are is seen only in the waits themselves.
"""

from __future__ import annotations

import math

from marlramp import clock

RISE = 0.3
"""Weight of a wait that is longer than expected: three of them show that
engines are full."""

FALL = 0.1
"""Weight of a shorter one. Slower than the rise, since who is let in too early
comes late and delays all others: of 43 entries before 20 engines at 1.6 times
what these serve 0.39 of the callers come in time, 0.37 with 0.2 both ways, and
0.22 without a bias over all engines (replayed load, two seeds)."""

RATIO_MIN = 0.5
RATIO_MAX = 2.6
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
        weight = RISE if ratio > before else FALL
        self._excess = before + weight * (ratio - before) - 1.0
        self._noted_ms = now_ms
