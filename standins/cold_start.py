"""For how long a stand-in of a replica is cold after a restart."""

from __future__ import annotations

import time


class ColdStart:
    """The cold periods of one replica.

    Attributes:
      begun_s: when each of them began, readings of the monotonic clock.
    """

    def __init__(self, duration_s: float) -> None:
        """Creates a replica that is not cold.

        Args:
          duration_s: how long it is cold after a restart, 0 for never.
        """
        self._duration_s = duration_s
        self.begun_s: list[float] = []

    def begin(self) -> None:
        """Begins a cold period."""
        if self._duration_s:
            self.begun_s.append(time.monotonic())

    def left_ms(self) -> int:
        """Returns how much longer the replica is cold, 0 if it is not."""
        if not self.begun_s:
            return 0
        left_s = self.begun_s[-1] + self._duration_s - time.monotonic()
        return max(0, round(left_s * 1_000))
