"""For how long a stand-in of a replica is cold after a restart."""

from __future__ import annotations

import time
from typing import NamedTuple


class Start(NamedTuple):
    """A start after which a replica is cold.

    Attributes:
      at_s: reading of the monotonic clock.
      replica_id: id under which it started.
    """

    at_s: float
    replica_id: str


class ColdStarts:
    """The cold starts of one replica.

    Attributes:
      starts: the starts after which it was cold.
    """

    def __init__(self, duration_s: float) -> None:
        """Creates a replica that is not cold.

        Args:
          duration_s: how long it is cold after a restart, 0 for never.
        """
        self._duration_s = duration_s
        self.starts: list[Start] = []

    def begin(self, replica_id: str) -> None:
        """Records a start."""
        if self._duration_s:
            self.starts.append(Start(time.monotonic(), replica_id))

    def left_ms(self) -> int:
        """Returns how much longer the replica is cold, 0 if it is not."""
        if not self.starts:
            return 0
        left_s = self.starts[-1].at_s + self._duration_s - time.monotonic()
        return max(0, round(left_s * 1_000))
