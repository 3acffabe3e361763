"""Keeps one bad message or moment from ending a process."""

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
"""Pause before a failed task starts again, doubled up to the longest, so that
one that fails at once each time takes no processor time from the others."""

STEADY_MS = 10_000.0
"""A task that ran this long before it failed starts from the least pause."""

_MS = clock.MILLIS_PER_SECOND


def run_safely(
    handler: Callable[[], None], name: str, totals: counters.Counters
) -> None:
    """Calls a handler; an unexpected exception is logged and counted.

    The process goes on: its other work must not end because one message
    showed a fault.
    """
    try:
        handler()
    except Exception as error:
        _tell(error, name, totals)


async def keep_running(
    work: Callable[[], Awaitable[None]],
    name: str,
    totals: counters.Counters,
    time: clock.Clock,
) -> None:
    """Runs a task until it ends by itself; one that fails starts again.

    Tasks of a process share a group, in which one that fails ends all of
    them: what fails by something that all processes read would end the whole
    system, and again at each restart.

    Args:
      work: starts the task anew each time; it must expect that.
      name: counted and logged with each failure.
      totals: counters.
      time: the clock.
    """
    pause_ms = RESTART_MIN_MS
    while True:
        started_ms = time.now_ms()
        try:
            await work()
        except Exception as error:
            _tell(error, name, totals)
        else:
            return
        if time.now_ms() - started_ms >= STEADY_MS:
            pause_ms = RESTART_MIN_MS
        await asyncio.sleep(pause_ms / _MS)
        pause_ms = min(RESTART_MAX_MS, 2 * pause_ms)


def start_all(
    group: asyncio.TaskGroup,
    works: Mapping[str, Callable[[], Awaitable[None]]],
    totals: counters.Counters,
    time: clock.Clock,
) -> list[asyncio.Task[None]]:
    """Starts the tasks of a process, each kept running under its name."""
    return [
        group.create_task(keep_running(work, name, totals, time))
        for name, work in works.items()
    ]


def _tell(error: Exception, name: str, totals: counters.Counters) -> None:
    totals.add(counters.CounterName.INTERNAL_ERRORS, name)
    logs.log_exception("internal_error", error, where=name)
