"""Records whole requests that end without a complete answer."""

from __future__ import annotations

import enum

from marlramp import counters
from marlramp import ids
from marlramp import logs


class UnansweredReason(enum.Enum):
    """Why a whole request got no complete answer.

    Attributes:
      CALLER_LEFT: the caller closed the connection.
      CALLER_SLOW: the caller read so slowly that too much data was buffered.
      BROKEN_OFF: the answer had begun and could not be completed; it ended
        with an error event.
      HANDLER_FAILED: the answer had begun when the handler failed.
      CLOSED: the entry shut down.
    """

    CALLER_LEFT = "caller_left"
    CALLER_SLOW = "caller_slow"
    BROKEN_OFF = "broken_off"
    HANDLER_FAILED = "handler_failed"
    CLOSED = "closed"


class UnansweredCalls:
    """Logs and counts requests without a complete answer."""

    def __init__(self, totals: counters.Counters) -> None:
        """Counts in `totals`."""
        self._totals = totals

    def record(
        self, request_id: ids.RequestId, reason: UnansweredReason
    ) -> None:
        """Logs and counts one request."""
        self._totals.add(counters.CounterName.UNANSWERED, reason.value)
        logs.log("request_unanswered", call=request_id, reason=reason.value)
