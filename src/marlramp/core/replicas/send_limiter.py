"""Rate limiter that reserves the times of requests to one replica.

Load pattern: all entries together have more requests for a replica than the
limit that it names. One entry, the limiter, reserves the times at which any
entry may send a request, at even intervals, and refuses a request that would
have to wait too long. Reservations that another limiter made also delay the
next time, so that a standby that takes over does not exceed the limit.
"""

from __future__ import annotations

from marlramp import clock

BURST_MS = 250.0
"""Length of a burst: after a pause, the requests of this time, at least one,
may be sent at once."""

TRIAL_PER_S = 0.25
"""Least rate in requests per second. Some requests must be sent even at a limit
of 0, since only the answer to a request shows that the limit has ended."""

PARTITION_FACTOR = 1.25
"""Multiple of its proportional part of a limit that one side of a network
partition may use. Two sides then use at most 1.5 times the limit."""

UNHEARD_PRIMARY_SHARE = PARTITION_FACTOR - 1.0
UNHEARD_PRIMARY_PER_S = 0.5
"""Share of a limit, and requests per second beyond it, that a standby may use
while it does not hear of the primary's reservations. Both then use at most the
share that the sides of a partition use, and two requests more in 4 s, of the
five that are allowed."""

RESERVED_MAX_MS = 2_000.0
"""How far ahead a send time may be reserved."""

_MS = clock.MILLIS_PER_SECOND


def partition_rate(per_s: float, alive: int, known: int) -> float:
    """Returns the rate that may be used on this side of a network partition.

    Args:
      per_s: the limit in requests per second.
      alive: number of entries that this one reaches, including itself.
      known: number of entries known recently, including this one.
    """
    share = min(1.0, PARTITION_FACTOR * alive / max(1, known))
    return max(TRIAL_PER_S, per_s * share)


def unheard_primary_rate(per_s: float, rate: float) -> float:
    """Returns the rate of a standby that does not hear of reservations.

    Args:
      per_s: the limit in requests per second.
      rate: the rate that the standby may use otherwise.
    """
    return min(rate, UNHEARD_PRIMARY_SHARE * per_s + UNHEARD_PRIMARY_PER_S)


class SendLimiter:
    """Reserves the times at which requests may be sent to one replica."""

    def __init__(self, now_ms: clock.Millis, per_s: float) -> None:
        """Starts as if one request had just been sent.

        The requests sent before are not known.

        Args:
          now_ms: the time.
          per_s: requests per second.
        """
        self._due_ms = now_ms + _MS / per_s

    def next_in_ms(self, now_ms: clock.Millis, per_s: float) -> float:
        """Returns the milliseconds until the next request may be sent."""
        burst_ms = max(0.0, BURST_MS - _MS / per_s)
        return max(0.0, self._due_ms - burst_ms - now_ms)

    def reserve(
        self, now_ms: clock.Millis, per_s: float, wait_max_ms: float
    ) -> float | None:
        """Reserves the next time at which a request may be sent.

        Args:
          now_ms: the time.
          per_s: requests per second.
          wait_max_ms: longest time that the request can wait.

        Returns:
          Milliseconds until the request may be sent, or None if that is longer
          than the request can wait; then nothing is reserved.
        """
        wait_ms = self.next_in_ms(now_ms, per_s)
        if wait_ms > min(wait_max_ms, RESERVED_MAX_MS):
            return None
        self.record_reservation(now_ms, per_s)
        return wait_ms

    def record_reservation(self, now_ms: clock.Millis, per_s: float) -> None:
        """Records a reservation, also one that another entry made."""
        self._due_ms = max(now_ms, self._due_ms) + _MS / per_s
