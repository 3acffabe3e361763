"""What an entry believes of the limit of one replica when it chooses."""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core import send_meter

_MS = clock.MILLIS_PER_SECOND

WAIT_SHARE_MIN = 0.25
"""Least part of its time that a request may wait for a replica's limit."""


class SendLimit(msgspec.Struct):
    """The limit of one replica, and when a request may be sent there.

    Attributes:
      per_s: requests a second that it takes from all entries together.
      next_ms: when the next request may be sent, as last told.
      ask_ms: nothing is reserved before this time.
      pending: own requests for which a reservation is being asked.
    """

    per_s: float
    next_ms: float = float("-inf")
    ask_ms: float = float("-inf")
    pending: int = 0

    def wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long a request is expected to wait before it is sent."""
        rate = max(send_meter.TRIAL_PER_S, self.per_s)
        ahead_ms = self.pending * _MS / rate
        return max(0.0, self.next_ms - now_ms, self.ask_ms - now_ms) + ahead_ms

    def opens(self, now_ms: clock.Millis, wait_max_ms: float) -> bool:
        """Returns whether it is worth asking for a reservation."""
        if now_ms < self.ask_ms:
            return False
        return self.wait_ms(now_ms) <= wait_max_ms


def wait_max_ms(left_ms: float, rank: int) -> float:
    """Returns how long a request may wait for replicas' limits.

    Less urgent requests wait for less of their time, so that the times further
    ahead are left to the more urgent ones.

    Args:
      left_ms: time until its answer would be late.
      rank: its priority, 0 first.
    """
    share = max(WAIT_SHARE_MIN, 1.0 / (1.0 + max(0, rank)))
    return max(0.0, left_ms * share)
