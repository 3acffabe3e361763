"""Divides the time of the event loop among work that is done in steps."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import TypeAlias

from marlramp import clock

TURN_MS = 5.0
"""Time after which timers and other connections are handled in between."""

Step: TypeAlias = Callable[[], bool]
"""Does a part of some work and returns whether more is left."""


class Turns:
    """Runs the steps of all work in turn, a few milliseconds at a time."""

    def __init__(self, time: clock.Clock) -> None:
        """Starts without work."""
        self._clock = time
        self._steps: collections.deque[Step] = collections.deque()
        self._scheduled = False

    def add(self, step: Step) -> None:
        """Adds work, whose first step runs in the next turn."""
        self._steps.append(step)
        self._schedule()

    def _schedule(self) -> None:
        if self._steps and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        end_ms = self._clock.now_ms() + TURN_MS
        try:
            while self._steps:
                step = self._steps.popleft()
                if step():
                    self._steps.append(step)
                if self._clock.now_ms() >= end_ms:
                    break
        finally:
            self._schedule()
