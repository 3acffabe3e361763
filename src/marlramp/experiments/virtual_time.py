"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors

from marlramp import clock


class _InstantSelector(selectors.SelectSelector):
    """Adds up the time that the loop would wait, without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "no timer is left, so virtual time cannot advance"
            )
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers and tasks in virtual time; sockets are never ready."""

    def __init__(self) -> None:
        """Starts at time 0."""
        self._instant_selector = _InstantSelector()
        super().__init__(self._instant_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._instant_selector.now_s


class VirtualClock:
    """Clock that reads the time of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        """Creates a clock of `loop`."""
        self._loop = loop

    def now_ms(self) -> clock.Millis:
        """Returns milliseconds since the loop began."""
        return clock.Millis(self._loop.time() * clock.MILLIS_PER_SECOND)
