"""How long callers wait for the next event of a stream before they leave.

The platform's word: a caller gives a stream up, also before its first event,
after a gap of two seconds, of four times the objective, or of eight times the
longest pause that is on time, whichever is longest.
"""

from __future__ import annotations

from marlramp.core import fleet

GAP_MIN_MS = 2_000.0
OBJECTIVE_FACTOR = 4.0
PAUSE_FACTOR = 8.0

LEAVING_MARGIN_MS = 200.0
"""A gap that is shorter by no more than this may be over at the caller: the
request travelled and waited to be read, as will the word that it has left."""


def gap_max_ms(route: fleet.Route) -> float:
    """Returns the gap after which callers of a stream leave."""
    return max(
        GAP_MIN_MS,
        OBJECTIVE_FACTOR * route.objective_ms,
        PAUSE_FACTOR * route.pause_objective_ms,
    )


def may_have_left(route: fleet.Route, gap_ms: float) -> bool:
    """Returns whether a caller may have left though no word of it came.

    Args:
      route: the route of its request.
      gap_ms: time since its request, or the last event it was sent.
    """
    return route.streaming and gap_ms > gap_max_ms(route) - LEAVING_MARGIN_MS
