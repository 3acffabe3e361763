"""Keeps a process running after unexpected exceptions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from marlramp import clock
from marlramp import counters
from marlramp import logs

RESTART_MIN_MS = 100.0
RESTART_MAX_MS = 2_000.0
"""Bounds of the delay before a failed task is restarted, doubled on each
failure, so that a task that always fails at once leaves the processor to the
others."""

STABLE_RUN_MS = 10_000.0
"""A task that ran this long before it failed restarts at the minimum delay."""

_MS = clock.MILLIS_PER_SECOND


def run_safely(
    handler: Callable[[], None], name: str, totals: counters.Counters
) -> bool:
    """Calls a handler; logs and counts an unexpected exception.

    The process keeps running: a fault triggered by one message must not stop
    its other work.

    Returns:
      Whether the handler raised no exception.
    """
    try:
        handler()
    except Exception as error:
        _report(error, name, totals)
        return False
    return True


async def keep_running(
    work: Callable[[], Awaitable[None]],
    name: str,
    totals: counters.Counters,
    time: clock.Clock,
) -> None:
    """Runs a task until it returns, restarting it after each failure.

    The tasks of a process share a task group, in which one failure cancels all
    others. A fault triggered by data that every process reads would otherwise
    stop the whole system, and stop it again after each restart.

    Args:
      work: called for each start; it must support being called repeatedly.
      name: name of the task in counters and logs.
      totals: counters.
      time: the clock.
    """
    delay_ms = RESTART_MIN_MS
    while True:
        started_ms = time.now_ms()
        try:
            await work()
        except Exception as error:
            _report(error, name, totals)
        else:
            return
        if time.now_ms() - started_ms >= STABLE_RUN_MS:
            delay_ms = RESTART_MIN_MS
        await asyncio.sleep(delay_ms / _MS)
        delay_ms = min(RESTART_MAX_MS, 2 * delay_ms)


def start_all(
    group: asyncio.TaskGroup,
    works: Mapping[str, Callable[[], Awaitable[None]]],
    totals: counters.Counters,
    time: clock.Clock,
) -> list[asyncio.Task[None]]:
    """Starts the tasks of a process, each with `keep_running`."""
    return [
        group.create_task(keep_running(work, name, totals, time))
        for name, work in works.items()
    ]


def _report(error: Exception, name: str, totals: counters.Counters) -> None:
    totals.add(counters.CounterName.INTERNAL_ERRORS, name)
    logs.log_exception("internal_error", error, where=name)
