"""Times of events in other processes, as intervals of this process's clock.

No two processes share a clock, and no constant bounds the latency of a
message. What a process knows about a remote event is therefore an interval of
readings of its own clock. A response describes a state at some moment after its
request was sent: however long the exchange took, the reading at which the
request was sent is a lower bound for the time of that state. A deadline that
must not be missed counts from the early end of the interval; a wait that must
not be too short counts from the late end. For a message that was sent without a
request, a maximum path latency is assumed instead, and the interval is marked
as assumed.
"""

from __future__ import annotations

import msgspec

from marlramp import clock


class Ages(msgspec.Struct, frozen=True, array_like=True):
    """Bounds on the age of an event, as one process sends them to another.

    Attributes:
      least_ms: minimum age of the event.
      most_ms: maximum age of the event, infinite if it is not known.
      assumed: whether the maximum age rests on an assumed maximum path latency.
    """

    least_ms: float
    most_ms: float
    assumed: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the bounds are non-negative and in order."""
        return 0.0 <= self.least_ms <= self.most_ms


class EventTime(msgspec.Struct, frozen=True):
    """Readings of this process's clock between which an event happened.

    Attributes:
      earliest_ms: the event did not happen before this reading.
      latest_ms: the event did not happen after this reading.
      assumed: whether `earliest_ms` rests on an assumed maximum path latency.
    """

    earliest_ms: float
    latest_ms: float
    assumed: bool = False

    @property
    def uncertainty_ms(self) -> float:
        """Width of the interval in milliseconds."""
        return self.latest_ms - self.earliest_ms

    def ages(self, now_ms: clock.Millis) -> Ages:
        """Returns the interval as ages, to be sent at `now_ms`."""
        return Ages(
            now_ms - self.latest_ms, now_ms - self.earliest_ms, self.assumed
        )

    def narrowed(self, other: EventTime) -> EventTime:
        """Returns this interval combined with another one for the event.

        The late end is the earlier of the two late ends, but not before the
        early end of the result. The early end depends on the assumptions:

        - If neither early end is assumed, the result is the intersection. If
          the intervals are disjoint, one of them is wrong, and the earlier one
          is returned.
        - If one early end is assumed, the other one is used.
        - If both are assumed, the earlier one is used and stays assumed,
          because the message that gave the later one may have travelled for
          longer than assumed.
        """
        latest_ms = min(self.latest_ms, other.latest_ms)
        if self.assumed is not other.assumed:
            proven = other if self.assumed else self
            return EventTime(
                proven.earliest_ms, max(proven.earliest_ms, latest_ms)
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


class Receipt(msgspec.Struct, frozen=True):
    """Readings of this process's clock around the transfer of an age.

    Attributes:
      sent_after_ms: reading after which the sender computed the age.
      received_ms: reading at which this process received the age.
      assumed: whether `sent_after_ms` rests on an assumed maximum path latency.
    """

    sent_after_ms: float
    received_ms: float
    assumed: bool = False

    def dated(self, ages: Ages) -> EventTime:
        """Returns the interval in which an event with these ages happened."""
        return EventTime(
            self.sent_after_ms - ages.most_ms,
            self.received_ms - ages.least_ms,
            self.assumed or ages.assumed,
        )


def unsolicited(path_latency_max_ms: float, now_ms: clock.Millis) -> Receipt:
    """Returns the receipt of a message that was sent without a request.

    Args:
      path_latency_max_ms: assumed maximum path latency of the message.
      now_ms: the time at which the message arrived.
    """
    return Receipt(now_ms - path_latency_max_ms, now_ms, assumed=True)
