"""How long runs of one service take, from those that ended lately."""

from __future__ import annotations

SMOOTHING = 0.1
FIRST_DEFAULT_MS = 50.0


class RunPace:
    """Smoothed time to the first part and between parts."""

    def __init__(self) -> None:
        """Starts with a guess that the first runs replace."""
        self._first_ms = FIRST_DEFAULT_MS
        self._per_part_ms = 0.0
        self._runs = 0

    def record(self, first_ms: float, total_ms: float, parts: int) -> None:
        """Takes the times of a run that ended well."""
        per_part_ms = (total_ms - first_ms) / max(1, parts - 1)
        weight = SMOOTHING if self._runs else 1.0
        self._first_ms += weight * (first_ms - self._first_ms)
        self._per_part_ms += weight * (per_part_ms - self._per_part_ms)
        self._runs += 1

    def expected_ms(self, parts: float) -> float:
        """Returns the expected time of a run with that many parts."""
        return self._first_ms + max(0.0, parts - 1) * self._per_part_ms
