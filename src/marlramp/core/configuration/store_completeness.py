"""Revisions up to which the platform's store was known complete, and when.

A change of a later revision happened after that reading. What one response of
the store did not contain therefore bounds the age of a change in the next
response.
"""

from __future__ import annotations

import collections
import math

import msgspec

from marlramp import clock
from marlramp.core.configuration import event_time

REPORTS_KEPT = 16
"""Maximum number of reports from other readers kept, the newest ones."""


class CompleteRevision(msgspec.Struct, frozen=True):
    """The revision that the store had reached at a reading of the own clock.

    Attributes:
      revision: revision of the store's last change.
      at_ms: reading at which the store had no later change, minus infinity if
        that is not known. The reading is the time at which the request was
        sent; the store produced the response after that.
    """

    revision: int = 0
    at_ms: float = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether the reading is known."""
        return not math.isinf(self.at_ms)

    def lacked_ms(self, revision: int) -> float:
        """Returns when the store lacked a change, minus infinity if unknown."""
        return self.at_ms if revision > self.revision else float("-inf")


class StoreCompleteness:
    """What this process and other readers know of the store's revisions."""

    def __init__(self) -> None:
        """Starts without any known revision."""
        self.own = CompleteRevision()
        self._reported: collections.deque[CompleteRevision] = collections.deque(
            maxlen=REPORTS_KEPT
        )

    @property
    def latest(self) -> CompleteRevision:
        """The revision with the latest reading, of this or another reader."""
        return max([self.own, *self._reported], key=lambda each: each.at_ms)

    def record_read(self, revision: int, requested_ms: float) -> None:
        """Records a response that held all changes up to a revision.

        Args:
          revision: the revision.
          requested_ms: when the request was sent.
        """
        self.own = CompleteRevision(revision, requested_ms)

    def record_empty_watch(
        self, revision: int, requested_ms: float, wait_ms: float
    ) -> None:
        """Records that a watch returned no change during its whole wait.

        Args:
          revision: the revision after which the watch waited for changes.
          requested_ms: when the watch was sent.
          wait_ms: how long the store waited for a change.
        """
        self.own = CompleteRevision(revision, requested_ms + wait_ms)

    def record_report(self, complete: CompleteRevision) -> None:
        """Records the revision that another reader reported."""
        self._reported.append(complete)

    def ages(
        self, revision: int, now_ms: clock.Millis
    ) -> event_time.Ages | None:
        """Returns the ages of a change read now, None if they are unknown."""
        known = [self.own, *self._reported]
        lacked_ms = max(each.lacked_ms(revision) for each in known)
        if math.isinf(lacked_ms):
            return None
        return event_time.Ages(0.0, now_ms - lacked_ms)
