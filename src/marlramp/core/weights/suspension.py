"""Detects that this process was suspended, or starved of processor time."""

from __future__ import annotations

from marlramp import clock

SUSPENSION_MIN_MS = 1_000.0
"""Least time without a sign of life of this process that counts as a
suspension."""


class SuspensionDetector:
    """Detects suspensions, if it is called several times a second."""

    def __init__(self, time: clock.Clock) -> None:
        """Starts as a process that has not been suspended."""
        self._clock = time
        self._seen_ms = time.now_ms()
        self._resumed_ms = float("-inf")

    def resumed_ms(self) -> float:
        """Records that this process runs.

        Returns:
          The time at which the end of the last suspension was noticed, minus
          infinity if there was none.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._seen_ms >= SUSPENSION_MIN_MS:
            self._resumed_ms = now_ms
        self._seen_ms = now_ms
        return self._resumed_ms
