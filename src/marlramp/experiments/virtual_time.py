"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors

from marlramp import clock


class _NoWaiting(selectors.SelectSelector):
    """Counts the time that a loop would wait, and waits for nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is left that could ever happen")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers and tasks in virtual time; sockets are never ready."""

    def __init__(self) -> None:
        """Starts at time 0."""
        self._no_waiting = _NoWaiting()
        super().__init__(self._no_waiting)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._no_waiting.now_s


class VirtualClock:
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        """Reads the time of `loop`."""
        self._loop = loop

    def now_ms(self) -> clock.Millis:
        """Returns milliseconds since the loop began."""
        return clock.Millis(self._loop.time() * clock.MILLIS_PER_SECOND)
