"""Local clocks in milliseconds, from which all durations are computed.

Readings of `SystemClock` count from the start of the VM: readings of different
VMs, or from before and after a reboot, are not comparable. The clock keeps
counting while the VM is suspended, so that a process that is resumed sees that
its leases have expired.
"""

from __future__ import annotations

import time
from typing import NewType
from typing import Protocol

Millis = NewType("Millis", float)

MILLIS_PER_SECOND = 1000.0
_NANOS_PER_MILLI = 1_000_000.0


class Clock(Protocol):
    """Source of the current time."""

    def now_ms(self) -> Millis:
        """Returns milliseconds since an arbitrary fixed point."""
        ...


class SystemClock:
    """Clock that keeps counting while the VM is suspended."""

    def now_ms(self) -> Millis:
        """Returns milliseconds since the VM booted."""
        return Millis(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOS_PER_MILLI
        )


class ManualClock:
    """Clock that only advances when a test advances it."""

    def __init__(self, start_ms: float = 0.0) -> None:
        """Starts the clock at `start_ms`."""
        self._now_ms = start_ms

    def now_ms(self) -> Millis:
        """Returns the time that was set by the test."""
        return Millis(self._now_ms)

    def advance(self, step_ms: float) -> None:
        """Moves the clock forward by `step_ms`."""
        self._now_ms += step_ms


def unix_ms() -> int:
    """Returns Unix time in milliseconds.

    It is for starting values that normally increase across restarts of a
    process. They can repeat or decrease, since the wall clock can be set back;
    for the same reason no duration may be computed from them.
    """
    return time.time_ns() // 1_000_000
