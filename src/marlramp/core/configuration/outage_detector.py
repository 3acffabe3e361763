"""Distinguishes an unavailable store from a congested link of this process.

In both cases a call receives no response. A link delivers data in the
order in which it was sent. If another process answered a query that was sent
after the call, well before the call was given up, then the call had left this
process, and a response of the store would have arrived too.
"""

from __future__ import annotations

import collections

import msgspec

from marlramp import clock

RESPONSE_SPREAD_MS = 200.0
"""Maximum time by which a response of the store may arrive later than one of a
process that was queried after it; the store usually responds within 4 ms."""

QUERY_INTERVAL_MS = 400.0
"""Interval between queries during one call. Every call lasts at least this
long, since the timeout for opening a connection is 400 ms."""

EXCHANGES_KEPT = 16
"""Maximum number of exchanges kept, the newest ones: those of 6 s."""


class SilentCall(msgspec.Struct, frozen=True):
    """A call to which the store did not respond.

    Attributes:
      requested_ms: when the call was sent.
      ended_ms: when the call timed out or failed.
    """

    requested_ms: float
    ended_ms: float


class _Exchange(msgspec.Struct, frozen=True):
    requested_ms: float
    answered_ms: float


class OutageDetector:
    """Decides whether calls without a response are a sign of an outage."""

    def __init__(self) -> None:
        """Starts without any recorded call or exchange."""
        self._exchanges: collections.deque[_Exchange] = collections.deque(
            maxlen=EXCHANGES_KEPT
        )
        self._query_ms = float("-inf")
        self._sign_ms: float | None = None

    def is_query_due(
        self, requested_ms: float | None, now_ms: clock.Millis
    ) -> bool:
        """Returns whether to query another process now, and records that it is.

        Args:
          requested_ms: when the call that follows a failed one was sent, None
            if no such call is in progress.
          now_ms: the time.
        """
        if requested_ms is None:
            return False
        queried = self._query_ms >= requested_ms
        if queried and now_ms - self._query_ms < QUERY_INTERVAL_MS:
            return False
        self._query_ms = now_ms
        return True

    def record_answer(self, requested_ms: float, now_ms: clock.Millis) -> None:
        """Records that another process answered a query.

        Args:
          requested_ms: when the query was sent.
          now_ms: the time.
        """
        self._exchanges.append(_Exchange(requested_ms, now_ms))

    def outage_sign_ms(self, call: SilentCall | None) -> float | None:
        """Returns a reading at which the store did not serve this process.

        Args:
          call: the last call, None if the store responded to it.

        Returns:
          The reading, None if there is no sign of an outage.
        """
        if call is None:
            self._sign_ms = None
        elif self._is_store_silent(call):
            self._sign_ms = call.requested_ms
        return self._sign_ms

    def _is_store_silent(self, call: SilentCall) -> bool:
        by_ms = call.ended_ms - RESPONSE_SPREAD_MS
        if by_ms <= call.requested_ms:
            # A call that ended this soon was refused or reset, and the link
            # delivered that at once.
            return True
        return any(
            call.requested_ms <= each.requested_ms and each.answered_ms <= by_ms
            for each in self._exchanges
        )
