"""Whether a replica is cold, and when this entry may send to it.

A cold replica has started a short time ago and is slow. The platform reports
for how much longer it stays cold, with the delay of the replica list. A replica
that may have restarted in the meantime counts as cold until a later report.
"""

from __future__ import annotations

import collections
import enum
from typing import Protocol

import msgspec

from marlramp import clock

WINDOW_MS = 1_000.0
"""Period in which the requests to a cold replica are counted."""

WINDOW_MARGIN_MS = 20.0
"""Time by which the period is extended, since the times at which a request is
written and leaves the VM differ."""


class Reason(enum.Enum):
    """Source of what is known about a replica's cold state.

    Attributes:
      LISTED: the replica's record.
      ANSWER: an answer of the replica.
      SUSPECTED: the replica may have restarted since its last record or answer.
    """

    LISTED = "listed"
    ANSWER = "answer"
    SUSPECTED = "suspected"


class Shares(Protocol):
    """The share of this entry in the requests to cold replicas."""

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        """Returns how many requests this entry may send within any second."""
        ...


class ColdReplica(msgspec.Struct):
    """The cold state of one start of a replica.

    Attributes:
      replica_id: the replica.
      tolerated_per_s: requests per second that it tolerates while it is cold,
        from all entries together.
      start_ms: time for which a replica is cold after a start.
      heartbeat_ms: interval at which the replica updates its record.
      shares: the share of this entry.
    """

    replica_id: str
    tolerated_per_s: float
    start_ms: float
    heartbeat_ms: float
    shares: Shares
    _reported_by: Reason = Reason.LISTED
    _until_ms: float = float("-inf")
    _suspected_ms: float = float("-inf")
    _answered_ms: float = float("-inf")
    _sent_ms: collections.deque[float] = msgspec.field(
        default_factory=collections.deque
    )

    def record_listed(self, left_ms: float, now_ms: clock.Millis) -> None:
        """Records what the replica's record says.

        A record that was written before the replica may have restarted does not
        end the suspicion, nor a cold state that a later answer reported. The
        replica updates its record at each heartbeat.

        Args:
          left_ms: how much longer the replica is cold, 0 if it is not.
          now_ms: when the record arrived.
        """
        until_ms = now_ms + left_ms
        answered = now_ms < self._answered_ms + self.heartbeat_ms
        if not answered or until_ms >= self._until_ms:
            self._until_ms = until_ms
            self._reported_by = Reason.LISTED
        if now_ms >= self._suspected_ms + self.heartbeat_ms:
            self._suspected_ms = float("-inf")

    def record_answer(self, left_ms: float, now_ms: clock.Millis) -> None:
        """Records what an answer of the replica says, as `record_listed`."""
        self._until_ms = now_ms + left_ms
        self._reported_by = Reason.ANSWER
        self._answered_ms = now_ms if left_ms > 0.0 else float("-inf")
        self._suspected_ms = float("-inf")

    def suspect(self, now_ms: clock.Millis) -> None:
        """Records that the replica may have restarted.

        Without a later record or answer it counts as cold for as long as a
        replica is after a start, and the time until a record would say so.
        """
        self._suspected_ms = now_ms

    def left_ms(self, now_ms: clock.Millis) -> float:
        """Returns how much longer the replica counts as cold, 0 if not."""
        until_ms = max(self._until_ms, self._suspected_until_ms)
        return max(0.0, until_ms - now_ms)

    def is_cold(self, now_ms: clock.Millis) -> bool:
        """Returns whether the replica counts as cold."""
        return (
            self._until_ms > now_ms
            or self._suspected_ms > now_ms - self.start_ms - self.heartbeat_ms
        )

    @property
    def reason(self) -> Reason:
        """What determines the end of the cold state, also after that end."""
        if self._suspected_until_ms > self._until_ms:
            return Reason.SUSPECTED
        return self._reported_by

    @property
    def suspected_ms(self) -> float:
        """When the replica may have restarted, -inf if it hasn't since."""
        return self._suspected_ms

    @property
    def _suspected_until_ms(self) -> float:
        return self._suspected_ms + self.start_ms + self.heartbeat_ms

    def record_sent(self, now_ms: clock.Millis) -> None:
        """Counts a request that is written now."""
        self.sent_count(now_ms)
        self._sent_ms.append(now_ms)

    def sent_count(self, now_ms: clock.Millis) -> int:
        """Returns the number of requests sent within the last period."""
        first_ms = now_ms - WINDOW_MS - WINDOW_MARGIN_MS
        while self._sent_ms and self._sent_ms[0] <= first_ms:
            self._sent_ms.popleft()
        return len(self._sent_ms)

    def share_per_s(self) -> int:
        """Returns how many requests this entry may send within any second."""
        return self.shares.per_s(self.replica_id, self.tolerated_per_s)

    def wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time until this entry may send a request.

        It is 0 for a replica that is not cold, and at most the time until the
        replica is no longer cold.
        """
        cold_ms = self.left_ms(now_ms)
        if cold_ms <= 0.0:
            return 0.0
        share = self.share_per_s()
        if share <= 0:
            return cold_ms
        if self.sent_count(now_ms) < share:
            return 0.0
        free_ms = self._sent_ms[-share] + WINDOW_MS + WINDOW_MARGIN_MS
        return min(cold_ms, max(0.0, free_ms - now_ms))
