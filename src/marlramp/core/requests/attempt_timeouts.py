"""Timeouts of a single attempt at a replica.

A silent replica keeps its request: silence is the time to try another replica
as well, and ends nothing. An attempt ends with its request's time, or when its
replica may no longer begin it.

Load pattern: replicas that hang or stop sending, engines with long queues, and
versions that become mandatory while requests wait in such a queue.
"""

from __future__ import annotations

import msgspec

STALL_FLOOR_MS = 900.0
"""Time without an event after which a stream's replica counts as silent: more
than twice the longest pause that counts as on time. Before the first event, the
time counts from when the replica last answered any request. A replica that
serves others has the request in its queue, and a second attempt elsewhere would
have its prompt read twice just when engines are full (130 of 520 requests in
the two seconds after a loss of all power)."""

FIRST_EVENT_SHARE = 0.7
"""Part of the caller's stream gap timeout after which a replica without a
first event counts as silent, even if it serves other requests: the request may
hang there."""

FIRST_EVENT_FACTOR = 2.5
"""Multiple of the predicted time to the first event before which a request is
not considered to hang at a replica that serves other requests."""

PLAIN_STALL_SHARE = 0.4
"""Part of the caller's time after which the replica of a plain idempotent
request counts as silent."""


class PendingAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """State of an attempt whose answer is not complete.

    Attributes:
      streaming: whether the answer is a stream.
      begun: whether a first event has arrived.
      may_repeat: whether the request may run at another replica as well.
      received_ms: when the caller's request arrived.
      ends_ms: when the timeout of the caller or of the route expires.
      progress_ms: when data last arrived, or else when the request was sent.
      heard_ms: when the replica last answered any request.
      gap_timeout_ms: stream gap timeout of the caller, 0 if not streaming.
      predicted_ms: predicted time to the first event.
      begins_until_ms: when the answer must have begun, infinite if no other
        version becomes mandatory.
    """

    streaming: bool
    begun: bool
    may_repeat: bool
    received_ms: float
    ends_ms: float
    progress_ms: float
    heard_ms: float
    gap_timeout_ms: float
    predicted_ms: float
    begins_until_ms: float


def deadline_ms(attempt: PendingAttempt) -> float:
    """Returns the time at which an attempt is given up.

    An attempt that has not begun is given up at `begins_until_ms`, whether or
    not it can be retried: if it began later on a replica with the old version,
    the guarantee that the new version is in force would be broken.
    """
    if attempt.begun:
        return attempt.ends_ms
    return min(attempt.ends_ms, attempt.begins_until_ms)


def silent_from_ms(attempt: PendingAttempt) -> float:
    """Returns from when the replica counts as silent if it sends nothing.

    Returns:
      A clock reading, infinite if the request may not be repeated.
    """
    if not attempt.may_repeat:
        return float("inf")
    return attempt.progress_ms + _stall_ms(attempt)


def _stall_ms(attempt: PendingAttempt) -> float:
    """Returns how long an attempt may go without progress."""
    if not attempt.streaming:
        return PLAIN_STALL_SHARE * (attempt.ends_ms - attempt.received_ms)
    if attempt.begun:
        return STALL_FLOOR_MS
    longest_ms = max(
        FIRST_EVENT_SHARE * attempt.gap_timeout_ms,
        FIRST_EVENT_FACTOR * attempt.predicted_ms,
    )
    heard_after_ms = max(0.0, attempt.heard_ms - attempt.progress_ms)
    return min(longest_ms, heard_after_ms + STALL_FLOOR_MS)
