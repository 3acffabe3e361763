"""Stream gap timeout of callers.

The platform specifies that a caller gives up a stream, also before its first
event, after a gap of two seconds, of four times the objective, or of eight
times the longest pause that is on time, whichever is longest.
"""

from __future__ import annotations

from marlramp.core.configuration import fleet

GAP_MIN_MS = 2_000.0
OBJECTIVE_FACTOR = 4.0
PAUSE_FACTOR = 8.0

LEAVING_MARGIN_MS = 200.0
"""Time before the gap timeout from which a caller may already have left. The
caller's clock starts earlier than the entry's, since the request travels and
waits to be read, and the notice that the caller has left is delayed likewise.
"""


def gap_timeout_ms(route: fleet.Route) -> float:
    """Returns the gap, in milliseconds, after which a stream's caller leaves.

    Args:
      route: the route of the request.
    """
    return max(
        GAP_MIN_MS,
        OBJECTIVE_FACTOR * route.objective_ms,
        PAUSE_FACTOR * route.pause_objective_ms,
    )


def may_have_left(route: fleet.Route, gap_ms: float) -> bool:
    """Returns whether a caller may have left without the entry's knowledge.

    Args:
      route: the route of the caller's request.
      gap_ms: time since the request or the last event sent to the caller.
    """
    return (
        route.streaming and gap_ms > gap_timeout_ms(route) - LEAVING_MARGIN_MS
    )
