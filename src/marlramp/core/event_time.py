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
      assumed: whether that rests on a longest way that was assumed.
    """

    least_ms: float
    most_ms: float
    assumed: bool = False

    @property
    def is_sound(self) -> bool:
        """Whether they are ages at all."""
        return 0.0 <= self.least_ms <= self.most_ms


class EventTime(msgspec.Struct, frozen=True):
    """Between which readings of the own clock an event happened.

    Attributes:
      earliest_ms: it did not happen before.
      latest_ms: it did not happen later.
      assumed: whether the early end rests on a longest way that was assumed.
    """

    earliest_ms: float
    latest_ms: float
    assumed: bool = False

    @property
    def doubt_ms(self) -> float:
        """How far the two ends are apart."""
        return self.latest_ms - self.earliest_ms

    def ages(self, now_ms: clock.Millis) -> Ages:
        """Returns the same as ages, to be told now."""
        return Ages(
            now_ms - self.latest_ms, now_ms - self.earliest_ms, self.assumed
        )

    def narrowed(self, other: EventTime) -> EventTime:
        """Returns what this and another word on the same event allow.

        Two that exclude each other can't both be right; then the one that has
        the event earlier holds. An early end that was assumed gives way to
        one that was not. Of two that were assumed the earlier one holds: the
        other may rest on a way that was longer than assumed.
        """
        latest_ms = min(self.latest_ms, other.latest_ms)
        if self.assumed is not other.assumed:
            shown = other if self.assumed else self
            return EventTime(
                shown.earliest_ms, max(shown.earliest_ms, latest_ms)
            )
        if self.assumed:
            earliest_ms = min(self.earliest_ms, other.earliest_ms)
            return EventTime(
                earliest_ms, max(earliest_ms, latest_ms), assumed=True
            )
        earliest_ms = max(self.earliest_ms, other.earliest_ms)
        if earliest_ms > latest_ms:
            return min(self, other, key=lambda each: each.earliest_ms)
        return EventTime(earliest_ms, latest_ms)


class Hearing(msgspec.Struct, frozen=True):
    """How this process heard of something that has an age.

    Attributes:
      after_ms: reading after which the age was told.
      now_ms: reading at which it was heard.
      assumed: whether the first rests on a longest way that was assumed.
    """

    after_ms: float
    now_ms: float
    assumed: bool = False

    def dated(self, ages: Ages) -> EventTime:
        """Returns when that happened."""
        return EventTime(
            self.after_ms - ages.most_ms,
            self.now_ms - ages.least_ms,
            self.assumed or ages.assumed,
        )


def news(way_max_ms: float, now_ms: clock.Millis) -> Hearing:
    """Returns how something was heard of without a question.

    Args:
      way_max_ms: longest time that it is assumed to have been on its way.
      now_ms: the time.
    """
    return Hearing(now_ms - way_max_ms, now_ms, assumed=True)
