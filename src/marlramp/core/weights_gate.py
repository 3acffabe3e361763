"""Which version of the weights a request may begin on.

A newly named version binds after some time; until then the one before it
still serves. A request begins with its first token, which may come a while
after it was sent, so the old version is left earlier than the bound says.
"""

from __future__ import annotations

from marlramp import clock
from marlramp.core import catalog

QUEUE_MARGIN_MS = 700.0
"""Longest wait of a request at a replica that is taken into account."""

FIRST_READ_GRACE_MS = 2_000.0
"""A process that finds a version at its first read does not know when it was
named; it serves the version before for no longer than this."""


def oldest_allowed(
    target: catalog.KnownTarget,
    bound_ms: float,
    started_ms: float,
    now_ms: clock.Millis,
) -> int:
    """Returns the oldest version that a request sent now may begin on.

    Args:
      target: the versions named.
      bound_ms: time after its naming from which a version binds.
      started_ms: when this process started.
      now_ms: the time.
    """
    oldest = 1
    for named in target.named:
        if named.named_ms is None:
            binds_ms = started_ms + FIRST_READ_GRACE_MS
        else:
            binds_ms = named.named_ms + bound_ms - QUEUE_MARGIN_MS
        if now_ms >= binds_ms:
            oldest = max(oldest, named.version)
    return oldest
