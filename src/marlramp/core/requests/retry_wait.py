"""The order in which requests that wait for a retry get one.

A retry that is not earned yet may be earned while the caller still waits.
Streams that have begun come first, since they would be cut, then requests that
can still be answered within their objective, then those that waited longest.
"""

from __future__ import annotations

import msgspec

from marlramp import clock


class RetryWait(msgspec.Struct, eq=False):
    """A request that waits for a retry.

    Attributes:
      begun: whether its caller has received a part of the answer.
      objective_until_ms: clock reading until which an answer is in time.
      give_up_ms: clock reading after which a retry is of no use.
      since_ms: when it began to wait.
    """

    begun: bool
    objective_until_ms: float
    give_up_ms: float
    since_ms: clock.Millis

    def rank(self, now_ms: clock.Millis) -> tuple[bool, bool, float]:
        """Returns the key by which waiting requests are ordered."""
        is_late = now_ms >= self.objective_until_ms
        return (not self.begun, is_late, self.since_ms)


class RetryWaits:
    """The requests that wait for a retry of one service."""

    def __init__(self) -> None:
        """Starts without any request."""
        self._waits: list[RetryWait] = []

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._waits)

    def add(self, wait: RetryWait) -> None:
        """Adds a request."""
        self._waits.append(wait)

    def remove(self, wait: RetryWait) -> None:
        """Removes a request that was added."""
        self._waits.remove(wait)

    def ahead_of(self, wait: RetryWait, now_ms: clock.Millis) -> int:
        """Returns how many requests get a retry before this one."""
        rank = wait.rank(now_ms)
        return sum(other.rank(now_ms) < rank for other in self._waits)
