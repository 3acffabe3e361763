"""Draws pieces from the origin."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import TypeAlias

from marlramp import clock
from marlramp import logs
from marlramp.direct.weights import version_digests
from marlramp.platform import clients

UNREACHED_RETRY_MIN_MS = 60.0
UNREACHED_RETRY_MAX_MS = 120.0
"""Pause after a draw that found no origin, drawn between the two: those that
go first look for it, one draw at a time each, and all engines wait for it."""

OnDrawn: TypeAlias = Callable[[version_digests.Wanted, int, bytes], None]
OnFailed: TypeAlias = Callable[[version_digests.Wanted, int, float], None]
"""Takes the version, the index and when to try again, in ms."""


class PieceDraws:
    """Draws under way.

    Attributes:
      origin: the origin, None until it is known.
    """

    def __init__(
        self, on_drawn: OnDrawn, on_failed: OnFailed, time: clock.Clock
    ) -> None:
        """Reports each draw by one of the two calls."""
        self._on_drawn = on_drawn
        self._on_failed = on_failed
        self._clock = time
        self._tasks: set[asyncio.Task[None]] = set()
        self.origin: version_digests.Origin | None = None

    def start(self, wanted: version_digests.Wanted, index: int) -> None:
        """Starts to draw a piece."""
        task = asyncio.create_task(self._draw(wanted, index))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _draw(self, wanted: version_digests.Wanted, index: int) -> None:
        started_ms = self._clock.now_ms()
        try:
            if self.origin is None:
                raise clients.PlatformError("the origin is not known")
            data = await self.origin.piece(wanted.model, wanted.version, index)
        except clients.PlatformError as error:
            logs.log("piece_unavailable", index=index, detail=error)
            self._on_failed(wanted, index, _pause_ms(error))
            return
        taken_ms = self._clock.now_ms() - started_ms
        logs.log("piece_drawn", index=index, taken_ms=round(taken_ms))
        self._on_drawn(wanted, index, data)


def _pause_ms(error: clients.PlatformError) -> float:
    """Returns when to draw again after an error."""
    if isinstance(error, clients.UnreachedError):
        return random.uniform(UNREACHED_RETRY_MIN_MS, UNREACHED_RETRY_MAX_MS)
    return error.retry_after_ms
