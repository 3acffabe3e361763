"""Fetches pieces from the origin."""

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
"""Bounds of the random delay before a retry when the origin was unreachable.
The first agents in the order probe for the origin with one fetch at a time
each, and all engines wait until it is found."""

OnFetched: TypeAlias = Callable[
    [version_digests.ModelVersion, int, bytes], None
]
OnFailed: TypeAlias = Callable[[version_digests.ModelVersion, int, float], None]
"""Receives the version, the index of the piece and the delay before a retry in
ms."""


class OriginFetches:
    """Fetches from the origin that are in progress.

    Attributes:
      origin: the origin, None while it is unknown; fetches then fail.
    """

    def __init__(
        self, on_fetched: OnFetched, on_failed: OnFailed, time: clock.Clock
    ) -> None:
        """Starts without an origin.

        Args:
          on_fetched: called with each piece that was fetched, not verified.
          on_failed: called after each fetch that failed.
          time: the clock.
        """
        self._on_fetched = on_fetched
        self._on_failed = on_failed
        self._clock = time
        self._tasks: set[asyncio.Task[None]] = set()
        self.origin: version_digests.Origin | None = None

    def start(
        self,
        wanted: version_digests.ModelVersion,
        index: int,
        bytes_max: int,
    ) -> None:
        """Starts to fetch a piece of at most `bytes_max`."""
        task = asyncio.create_task(self._fetch(wanted, index, bytes_max))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(
        self,
        wanted: version_digests.ModelVersion,
        index: int,
        bytes_max: int,
    ) -> None:
        started_ms = self._clock.now_ms()
        try:
            if self.origin is None:
                raise clients.PlatformError("the origin is not known")
            data = await self.origin.piece(
                wanted.model, wanted.version, index, bytes_max
            )
        except clients.PlatformError as error:
            logs.log("piece_unavailable", index=index, detail=error)
            self._on_failed(wanted, index, _pause_ms(error))
            return
        taken_ms = self._clock.now_ms() - started_ms
        logs.log("piece_drawn", index=index, taken_ms=round(taken_ms))
        self._on_fetched(wanted, index, data)


def _pause_ms(error: clients.PlatformError) -> float:
    """Returns the delay before a retry after an error, in ms."""
    if isinstance(error, clients.UnreachedError):
        return random.uniform(UNREACHED_RETRY_MIN_MS, UNREACHED_RETRY_MAX_MS)
    return error.retry_after_ms
