"""Says which pieces are missing while none arrives."""

from __future__ import annotations

from marlramp import clock
from marlramp import logs
from marlramp.core import swarm

STANDSTILL_MS = 1_000.0
LISTED_MAX = 8
"""After this long without a piece a line lists up to so many missing ones,
each with the number of neighbours that hold it."""


class Standstill:
    """Watches one swarm at a time."""

    def __init__(self, time: clock.Clock) -> None:
        """Has seen nothing yet."""
        self._clock = time
        self._held = -1
        self._changed_ms = float("-inf")

    def check(self, current: swarm.Swarm) -> None:
        """Logs what is missing if nothing arrived for a while."""
        now_ms = self._clock.now_ms()
        if current.complete or len(current.held) != self._held:
            self._held = len(current.held)
            self._changed_ms = now_ms
            return
        if now_ms - self._changed_ms < STANDSTILL_MS:
            return
        self._changed_ms = now_ms
        stuck = [
            f"{index}:{holders}"
            for index, holders in current.missing()[:LISTED_MAX]
        ]
        logs.log("pieces_stand_still", held=self._held, missing=stuck)
