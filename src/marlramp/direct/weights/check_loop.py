"""Runs a check at regular intervals, and at once after a wake-up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import counters
from marlramp.shell import safely


async def run(
    wake: asyncio.Event,
    wait_ms: Callable[[], float],
    check: Callable[[], None],
    name: str,
    totals: counters.Counters,
) -> None:
    """Runs the check until cancelled; a check that fails does not end the loop.

    Args:
      wake: event that ends the wait at once.
      wait_ms: function that returns the time to the next check.
      check: the check to run.
      name: name of the check, with which failures are counted and logged.
      totals: counters that failures are added to.
    """
    while True:
        try:
            async with asyncio.timeout(wait_ms() / clock.MILLIS_PER_SECOND):
                await wake.wait()
        except TimeoutError:
            pass
        wake.clear()
        safely.run_safely(check, name, totals)
