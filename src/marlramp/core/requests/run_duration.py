"""Expected duration of a service's runs, from runs that ended recently."""

from __future__ import annotations

SMOOTHING = 0.1
"""Weight of the newest run."""

FIRST_DEFAULT_MS = 50.0
"""Expected time to the first part before any run has ended."""


class RunDuration:
    """Smoothed time to the first part of an answer and between its parts."""

    def __init__(self) -> None:
        """Starts with a default, which the first recorded run replaces."""
        self._first_ms = FIRST_DEFAULT_MS
        self._per_part_ms = 0.0
        self._runs = 0

    def record(self, first_ms: float, total_ms: float, parts: int) -> None:
        """Records the times of a run that succeeded.

        Args:
          first_ms: time to the first part.
          total_ms: time to the last part.
          parts: number of parts.
        """
        per_part_ms = (total_ms - first_ms) / max(1, parts - 1)
        weight = SMOOTHING if self._runs else 1.0
        self._first_ms += weight * (first_ms - self._first_ms)
        self._per_part_ms += weight * (per_part_ms - self._per_part_ms)
        self._runs += 1

    def expected_ms(self, parts: float) -> float:
        """Returns the expected time, in milliseconds, of a run of `parts`."""
        return self._first_ms + max(0.0, parts - 1) * self._per_part_ms
