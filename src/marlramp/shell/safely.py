"""Keeps one bad message or moment from ending a process."""

from __future__ import annotations

from collections.abc import Callable

from marlramp import counters
from marlramp import logs


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
        totals.add(counters.CounterName.INTERNAL_ERRORS, name)
        logs.log_exception("internal_error", error, where=name)
