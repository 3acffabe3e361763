"""Cold-start tracking for stand-in replicas."""

from __future__ import annotations

import time
from typing import NamedTuple


class Start(NamedTuple):
    """A replica start that is followed by a cold period.

    Attributes:
      at_s: time of the start on the monotonic clock.
      replica_id: id that the replica started under.
    """

    at_s: float
    replica_id: str


class ColdStarts:
    """The cold starts of one replica.

    Attributes:
      starts: starts that were followed by a cold period, in order.
    """

    def __init__(self, duration_s: float) -> None:
        """Initializes a replica that is not cold.

        Args:
          duration_s: length of the cold period after a restart, 0 for none.
        """
        self._duration_s = duration_s
        self.starts: list[Start] = []

    def begin(self, replica_id: str) -> None:
        """Records a start of the replica if starts are cold."""
        if self._duration_s:
            self.starts.append(Start(time.monotonic(), replica_id))

    def left_ms(self) -> int:
        """Returns the remaining cold time in milliseconds, 0 if warm."""
        if not self.starts:
            return 0
        left_s = self.starts[-1].at_s + self._duration_s - time.monotonic()
        return max(0, round(left_s * 1_000))
