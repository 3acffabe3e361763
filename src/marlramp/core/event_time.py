"""When an event in another process happened, as far as is known here.

No two processes share a clock, and no constant bounds how long a message is on
its way. So what is known of such an event is an interval of readings of the
own clock. An answer tells how things were at some moment after its question
was sent: however long it took, the reading at which the own question was sent
bounds what the answer tells. A bound that must not be kept too late runs from
the early end of the interval, a wait that must not be too short from the late
one.
"""

from __future__ import annotations

import msgspec

from marlramp import clock


class Ages(msgspec.Struct, frozen=True, array_like=True):
    """How long ago an event was, as one process tells another.

    Attributes:
      least_ms: it was at least so long ago.
      most_ms: it was at most so long ago, infinite if that is not known.
    """

    least_ms: float
    most_ms: float


class EventTime(msgspec.Struct, frozen=True):
    """Between which readings of the own clock an event happened.

    Attributes:
      earliest_ms: it did not happen before.
      latest_ms: it did not happen later.
    """

    earliest_ms: float
    latest_ms: float

    @property
    def doubt_ms(self) -> float:
        """How far the two ends are apart."""
        return self.latest_ms - self.earliest_ms

    def ages(self, now_ms: clock.Millis) -> Ages:
        """Returns the same as ages, to be told now."""
        return Ages(now_ms - self.latest_ms, now_ms - self.earliest_ms)

    def narrowed(self, other: EventTime) -> EventTime:
        """Returns what this and another word on the same event allow.

        Two that exclude each other can't both be right; then the one that has
        the event earlier holds.
        """
        earliest_ms = max(self.earliest_ms, other.earliest_ms)
        latest_ms = min(self.latest_ms, other.latest_ms)
        if earliest_ms > latest_ms:
            return min(self, other, key=lambda each: each.earliest_ms)
        return EventTime(earliest_ms, latest_ms)


def told(ages: Ages, after_ms: float, now_ms: clock.Millis) -> EventTime:
    """Returns the time of an event whose age another process told.

    Args:
      ages: its age when that was told.
      after_ms: reading after which it was told: when the own question was
        sent, or the longest way before now.
      now_ms: reading at which it was heard.
    """
    return EventTime(after_ms - ages.most_ms, now_ms - ages.least_ms)
