"""When requests may be sent to a replica that names a limit.

Load pattern: more requests at all entries together than the replica takes. One
entry reserves the times at which any of them may send, in even steps, and turns
away whoever would wait longer than it can. What is reserved elsewhere moves the
next time all the same, so that a second entry that stands in grants no more.
"""

from __future__ import annotations

from marlramp import clock

BURST_MS = 250.0
"""Time whose requests may be sent at once after a pause, one at least."""

TRIAL_PER_S = 0.25
"""Least rate: only the answer to a request says that a limit has ended."""

APART_FACTOR = 1.25
"""What the entries that reach one another may use together of their equal part
of a limit. With it no two parts of a divided fleet use more than half as much
again as the limit."""

RESERVED_MAX_MS = 2_000.0
"""Longest time ahead for which a request is reserved."""

_MS = clock.MILLIS_PER_SECOND


def rate_here(per_s: float, alive: int, known: int) -> float:
    """Returns the part of a limit that may be used on this side of a cut.

    Args:
      per_s: the limit.
      alive: entries that this one reaches, itself too.
      known: entries known lately, itself too.
    """
    share = min(1.0, APART_FACTOR * alive / max(1, known))
    return max(TRIAL_PER_S, per_s * share)


class SendMeter:
    """Times at which requests may be sent to one replica."""

    def __init__(self, now_ms: clock.Millis, per_s: float) -> None:
        """Has just reserved one: what was sent before is not known."""
        self._due_ms = now_ms + _MS / per_s

    def next_in_ms(self, now_ms: clock.Millis, per_s: float) -> float:
        """Returns the time until the next request may be sent."""
        burst_ms = max(0.0, BURST_MS - _MS / per_s)
        return max(0.0, self._due_ms - burst_ms - now_ms)

    def reserve(
        self, now_ms: clock.Millis, per_s: float, wait_max_ms: float
    ) -> float | None:
        """Returns in how many milliseconds a request may be sent.

        Args:
          now_ms: the time.
          per_s: requests a second.
          wait_max_ms: how long the request can wait.

        Returns:
          None if it can't wait so long; then nothing is reserved.
        """
        wait_ms = self.next_in_ms(now_ms, per_s)
        if wait_ms > min(wait_max_ms, RESERVED_MAX_MS):
            return None
        self.note(now_ms, per_s)
        return wait_ms

    def note(self, now_ms: clock.Millis, per_s: float) -> None:
        """Counts a request, also one that another entry reserved."""
        self._due_ms = max(now_ms, self._due_ms) + _MS / per_s
