"""Logs which pieces are missing while none arrives."""

from __future__ import annotations

from marlramp import clock
from marlramp import logs
from marlramp.core.weights import swarm

STALL_MS = 1_000.0
"""Time without a new piece after which the missing pieces are logged."""

LISTED_MAX = 8
"""Maximum number of missing pieces in a log line, each with the number of
neighbours that hold it."""


class StallMonitor:
    """Detects that a swarm receives no pieces; monitors one swarm at a time."""

    def __init__(self, time: clock.Clock) -> None:
        """Starts without a swarm."""
        self._clock = time
        self._held = -1
        self._changed_ms = float("-inf")

    def check(self, current: swarm.Swarm) -> None:
        """Logs the missing pieces if none arrived within `STALL_MS`."""
        now_ms = self._clock.now_ms()
        if current.complete or len(current.held) != self._held:
            self._held = len(current.held)
            self._changed_ms = now_ms
            return
        if now_ms - self._changed_ms < STALL_MS:
            return
        self._changed_ms = now_ms
        stuck = [
            f"{index}:{holders}"
            for index, holders in current.missing()[:LISTED_MAX]
        ]
        logs.log("pieces_stand_still", held=self._held, missing=stuck)
