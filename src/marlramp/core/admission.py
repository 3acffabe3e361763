"""Whether a request is sent to an engine now or refused at once.

An engine that is sent more than it can serve delays every request, so that all
come late. Refusing what would begin late keeps the others on time; a refused
caller is told when there should be room.
"""

from __future__ import annotations

import random

LATE_FACTOR = 1.0
"""A request is sent if its first event is predicted within this multiple of
the objective: a late answer is worth a quarter of one on time, and delays
others."""

LATE_FACTOR_RETURNING = 2.5
"""The same for a caller that was refused before: to refuse it again would
cost more than a late answer."""

RETURNING_SHARE = 0.97
"""A caller that will wait for less than this part of its route's time has
spent some of it on an attempt before."""

RETRY_AFTER_MIN_MS = 300.0
RETRY_AFTER_MAX_MS = 1_900.0
"""Callers honour a time of up to a third of what they have left."""

SPREAD = 0.5
"""Part by which the times to come back differ, so that callers that were
refused together do not come back together."""


def is_returning(wait_ms: float | None, timeout_ms: float) -> bool:
    """Returns whether a caller seems to have been refused before.

    Args:
      wait_ms: how long the caller will wait, None if it does not say.
      timeout_ms: longest time that its route keeps a request waiting.
    """
    return wait_ms is not None and wait_ms < timeout_ms * RETURNING_SHARE


def lateness_ms(
    predicted_ms: float,
    own_read_ms: float,
    usual_read_ms: float,
    elapsed_ms: float,
    objective_ms: float,
    *,
    returning: bool,
) -> float:
    """Returns by how much a request would begin too late, 0 if it would not.

    A long prompt counts as one of usual length, so that large requests are
    not refused more often than small ones.

    Args:
      predicted_ms: predicted time to the first event.
      own_read_ms: time to read its prompt, part of the above.
      usual_read_ms: time to read a prompt of usual length.
      elapsed_ms: time since it arrived.
      objective_ms: time within which it should begin.
      returning: whether its caller was refused before.
    """
    begins_ms = predicted_ms - own_read_ms
    begins_ms += min(own_read_ms, usual_read_ms) + elapsed_ms
    factor = LATE_FACTOR_RETURNING if returning else LATE_FACTOR
    return max(0.0, begins_ms - factor * objective_ms)


def retry_after_ms(late_ms: float, rng: random.Random) -> float:
    """Returns when a refused caller should come back.

    Args:
      late_ms: by how much it would have begun too late.
      rng: spreads callers.
    """
    return spread_ms(RETRY_AFTER_MIN_MS + late_ms, rng)


def spread_ms(base_ms: float, rng: random.Random) -> float:
    """Returns a time to come back that differs between callers."""
    longest_ms = base_ms * (1.0 + SPREAD * rng.random())
    return min(RETRY_AFTER_MAX_MS, longest_ms)
