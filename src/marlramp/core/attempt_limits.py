"""Until when an attempt at a replica is waited for.

Load pattern: replicas that hang or fall silent, engines whose queues are long,
and versions that bind while requests wait there.
"""

from __future__ import annotations

import msgspec

STALL_FLOOR_MS = 900.0
"""A stream that brought nothing for this long is taken to another replica:
more than twice the longest pause that counts as on time. Before its first
event this counts from when the replica was last heard on any request: one that
serves others has it in its queue, and to send it elsewhere would have its
prompt read twice just when engines are full (130 of 520 requests in the two
seconds after a loss of all power)."""

UNBEGUN_SHARE = 0.7
"""A request that brought nothing for this part of the time that its caller
stays is taken elsewhere though its replica serves others: it may hang there."""

UNBEGUN_FACTOR = 2.5
"""The same as a multiple of the predicted time to the first event."""

PLAIN_STALL_SHARE = 0.4
"""Part of the caller's time after which a plain idempotent request is tried
elsewhere."""


class Waiting(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that is waited for.

    Attributes:
      streaming: whether the answer is a stream.
      begun: whether a first event has arrived.
      may_repeat: whether the request may be sent to another replica.
      received_ms: when the caller's request arrived.
      ends_ms: when its caller or its route has waited long enough.
      progress_ms: when anything arrived last, or when it was sent.
      heard_ms: when the replica was last heard on any request.
      gap_max_ms: longest time that the caller waits without an event.
      predicted_ms: predicted time to the first event.
      begins_until_ms: from when it may not begin at that replica any more.
    """

    streaming: bool
    begun: bool
    may_repeat: bool
    received_ms: float
    ends_ms: float
    progress_ms: float
    heard_ms: float
    gap_max_ms: float
    predicted_ms: float
    begins_until_ms: float


def limit_ms(waiting: Waiting) -> float:
    """Returns until when an attempt is waited for.

    One that has not begun is taken away before it may not begin any more,
    whether it can be sent elsewhere or not: at a replica on the old version it
    would break the promise that the new one is in force.
    """
    ends_ms = waiting.ends_ms
    if not waiting.begun:
        ends_ms = min(ends_ms, waiting.begins_until_ms)
    if not waiting.may_repeat:
        return ends_ms
    return min(ends_ms, waiting.progress_ms + _stall_ms(waiting))


def _stall_ms(waiting: Waiting) -> float:
    """Returns how long nothing may arrive."""
    if not waiting.streaming:
        return PLAIN_STALL_SHARE * (waiting.ends_ms - waiting.received_ms)
    if waiting.begun:
        return STALL_FLOOR_MS
    longest_ms = max(
        UNBEGUN_SHARE * waiting.gap_max_ms,
        UNBEGUN_FACTOR * waiting.predicted_ms,
    )
    heard_after_ms = max(0.0, waiting.heard_ms - waiting.progress_ms)
    return min(longest_ms, heard_after_ms + STALL_FLOOR_MS)
