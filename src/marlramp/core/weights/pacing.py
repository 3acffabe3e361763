"""Paces the sends on a link at a rate in bytes per second."""

from __future__ import annotations

from marlramp import clock


class Pacer:
    """Schedules the pieces of a paced stream in the order of reservation.

    Pieces are sent back to back at the rate. A small credit lets a sender that
    wakes up late catch up instead of losing that time.

    Attributes:
      bytes_per_s: the rate.
    """

    def __init__(self, bytes_per_s: float, credit_ms: float = 50.0) -> None:
        """Starts idle.

        Args:
          bytes_per_s: the rate.
          credit_ms: idle time that a late sender may use afterwards.
        """
        self.bytes_per_s = bytes_per_s
        self._credit_ms = credit_ms
        self._free_ms = float("-inf")

    def reserve(self, size_bytes: int, now_ms: clock.Millis) -> float:
        """Reserves the link for a piece.

        Args:
          size_bytes: size of the piece.
          now_ms: the time.

        Returns:
          Milliseconds until the piece has been sent at the paced rate.
        """
        start_ms = max(self._free_ms, now_ms - self._credit_ms)
        cost_ms = size_bytes / self.bytes_per_s * clock.MILLIS_PER_SECOND
        self._free_ms = start_ms + cost_ms
        return max(0.0, self._free_ms - now_ms)

    def backlog_ms(self, now_ms: clock.Millis) -> float:
        """Returns the milliseconds for which the link is still reserved."""
        return max(0.0, self._free_ms - now_ms)
