"""An entry's view of one replica's rate limit when it chooses a replica.

One entry, the limiter of the replica (`core.replicas.send_limiter`), reserves
the times at which entries may send requests to it.
"""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core.replicas import send_limiter

_MS = clock.MILLIS_PER_SECOND

WAIT_SHARE_MIN = 0.25
"""Lower limit of the share of its remaining time that a request may wait for a
replica's limit, whatever its priority."""


class SendLimit(msgspec.Struct):
    """Rate limit of one replica and the next time to send a request to it.

    Attributes:
      per_s: requests per second that the replica accepts from all entries
        together.
      next_ms: when the next request may be sent, as last reported by the
        limiter.
      reserve_from_ms: end of a pause, before which this entry requests no
        reservation.
      pending: this entry's requests that wait for the limiter's reply.
    """

    per_s: float
    next_ms: float = float("-inf")
    reserve_from_ms: float = float("-inf")
    pending: int = 0

    def wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns the expected wait of a request before it may be sent.

        The rate is at least `send_limiter.TRIAL_PER_S`, since some requests
        are sent even at a limit of 0.
        """
        rate = max(send_limiter.TRIAL_PER_S, self.per_s)
        ahead_ms = self.pending * _MS / rate
        return (
            max(0.0, self.next_ms - now_ms, self.reserve_from_ms - now_ms)
            + ahead_ms
        )

    def may_reserve(self, now_ms: clock.Millis, wait_max_ms: float) -> bool:
        """Returns whether a reservation in time is likely.

        It never is during the pause until `reserve_from_ms`.

        Args:
          now_ms: the time.
          wait_max_ms: longest time that the request can wait.
        """
        if now_ms < self.reserve_from_ms:
            return False
        return self.wait_ms(now_ms) <= wait_max_ms


def wait_max_ms(left_ms: float, rank: int) -> float:
    """Returns how long a request may wait for replicas' limits.

    Less urgent requests may wait for a smaller share of their remaining time.
    They reserve only early send times, and later ones remain free for more
    urgent requests.

    Args:
      left_ms: time until the answer would miss its latency objective.
      rank: the request's priority, 0 for the most urgent.
    """
    share = max(WAIT_SHARE_MIN, 1.0 / (1.0 + max(0, rank)))
    return max(0.0, left_ms * share)
