"""What the platform's store is known to have held in all, and when.

A change that came after that came later than that reading. So what one answer
of the store lacked tells how old a change in the next one may be.
"""

from __future__ import annotations

import collections
import math

import msgspec

from marlramp import clock
from marlramp.core import event_time

HEARD_KEPT = 16
"""Words of other readers that are kept, the newest ones."""


class Complete(msgspec.Struct, frozen=True):
    """All that the store held at some moment.

    Attributes:
      revision: revision of the last change.
      at_ms: reading at which the store had no later one, minus infinity if
        that is not known. It is early by the way of the answer that shows it:
        that was made after its question had been sent.
    """

    revision: int = 0
    at_ms: float = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether there is such a reading."""
        return not math.isinf(self.at_ms)

    def lacked_ms(self, revision: int) -> float:
        """Returns when the store lacked a change, minus infinity if unknown."""
        return self.at_ms if revision > self.revision else float("-inf")


class StoreCompleteness:
    """What this process knows of it, by own answers and others' words."""

    def __init__(self) -> None:
        """Knows nothing."""
        self.own = Complete()
        self._heard: collections.deque[Complete] = collections.deque(
            maxlen=HEARD_KEPT
        )

    @property
    def latest(self) -> Complete:
        """The latest that is known."""
        return max([self.own, *self._heard], key=lambda each: each.at_ms)

    def note_read(self, revision: int, asked_ms: float) -> None:
        """Takes an answer that held everything up to a revision."""
        self.own = Complete(revision, asked_ms)

    def note_waited(
        self, revision: int, asked_ms: float, wait_ms: float
    ) -> None:
        """Takes that a watch brought nothing for the whole of its wait."""
        self.own = Complete(revision, asked_ms + wait_ms)

    def note_heard(self, complete: Complete) -> None:
        """Takes what another reader knows."""
        self._heard.append(complete)

    def ages(
        self, revision: int, now_ms: clock.Millis
    ) -> event_time.Ages | None:
        """Returns the ages of a change read now, None if they are unknown."""
        known = [self.own, *self._heard]
        lacked_ms = max(each.lacked_ms(revision) for each in known)
        if math.isinf(lacked_ms):
            return None
        return event_time.Ages(0.0, now_ms - lacked_ms)
