"""Waits with a deadline that a pause of the own process does not use up.

While the event loop is held up or the process is stopped, nothing is read. Its
timers are due at once afterwards, before the peer's bytes have been handled.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

SETTLE_S = 0.02
"""Least time after a deadline in which bytes that have arrived are handled."""


@contextlib.asynccontextmanager
async def timeout(timeout_s: float) -> AsyncIterator[None]:
    """Cancels the block like `asyncio.timeout`.

    If the timeout is noticed late, the block may go on for as long, at most for
    another `timeout_s`.

    Raises:
      TimeoutError: if the block did not end in time.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    async with asyncio.timeout(None) as limit:

        def settle() -> None:
            now_s = loop.time()
            limit.reschedule(now_s + _rest_s(now_s - end_s, timeout_s))

        timer = loop.call_at(end_s, settle)
        try:
            yield
        finally:
            timer.cancel()


async def wait_until(
    awaited: asyncio.Future[Any], ends_s: Callable[[], float], late_s_max: float
) -> bool:
    """Waits for a future until a deadline that may move.

    If the deadline is noticed late, the wait goes on for as long.

    Args:
      awaited: the future, which is not cancelled.
      ends_s: returns the deadline as time of the event loop.
      late_s_max: longest time in seconds for which the wait goes on after the
        deadline.

    Returns:
      Whether the future is done.
    """
    time = asyncio.get_running_loop().time
    passed_s: float | None = None
    while not awaited.done():
        end_s = ends_s()
        left_s = end_s - time()
        if left_s <= 0.0:
            if end_s == passed_s:
                return False
            passed_s = end_s
            left_s = _rest_s(-left_s, late_s_max)
        await asyncio.wait([awaited], timeout=left_s)
    return True


def _rest_s(late_s: float, late_s_max: float) -> float:
    """Returns for how long a wait goes on after a deadline noticed late."""
    return max(SETTLE_S, min(late_s, late_s_max))
