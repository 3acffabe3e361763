"""Looks at pieces whenever something came, and regularly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import counters
from marlramp.shell import safely


async def run(
    wake: asyncio.Event,
    wait_ms: Callable[[], float],
    look: Callable[[], None],
    name: str,
    totals: counters.Counters,
) -> None:
    """Looks for ever; one look that fails does not end the others.

    Args:
      wake: set when something came, which ends the wait at once.
      wait_ms: gives the time to the next look.
      look: looks.
      name: counted and logged with each failure.
      totals: counters.
    """
    while True:
        try:
            async with asyncio.timeout(wait_ms() / clock.MILLIS_PER_SECOND):
                await wake.wait()
        except TimeoutError:
            pass
        wake.clear()
        safely.run_safely(look, name, totals)
