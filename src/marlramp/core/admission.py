"""Whether a request is sent to an engine now, in front or behind, or refused.

Load pattern: more requests than the engines can begin in time, for seconds (a
burst, engines that load, callers that all come back after an outage) or
without an end. An engine that is sent more than it can serve delays every
request, so that all come late, and goes on doing so after the excess has
gone. So a request that can still begin within its objective goes in front; one
that is late whatever happens yields to those, and is served in the gaps; one
that would wait for longer than its caller does is refused at once and told
when there should be room.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum
import math
import random

import msgspec

from marlramp import clock
from marlramp.core import fleet
from marlramp.core import queue_position
from marlramp.core import replica_view
from marlramp.core import upstream_choice

USUAL_PROMPT_TOKENS = 1_000.0
"""Tokens of a usual prompt."""

BEHIND_WAIT_SHARE = 0.4
"""Part of the time that its caller stays which a request that yields to others
may be predicted to wait: requests in front come in between. At 1.3 times
capacity 6 in 100 callers leave in vain, with 0.7 as many as 14, and as many are
served (replayed load, three seeds)."""

WEIGHED_MAX = 64
"""Engines that are all weighed for each request, 10 us of processor time each.
With fewer, a look at all finds the least loaded one: own engines first served
1,940 callers in time where all weighed served 1,990 (20 engines)."""

OWN_CELL_SHARE = 0.5
"""Part of the objective within which an engine of the own cell takes a request
without a look at the others."""

RETRY_AFTER_MIN_MS = 1_200.0
"""A refused caller is late however soon it comes back, and one that is refused
again is lost: so it comes back when what overloads the engines is likely over,
and late enough to be told from callers that have not come before."""

RETRY_AFTER_MAX_MS = 1_900.0
"""Callers honour a time of up to a third of what they have left."""

RETRY_AFTER_LIMITED_MS = 500.0
"""Least time to come back to plain replicas whose limits are used up."""

RETURN_SPREAD_MS = 750.0
"""Time over which callers return to replicas that end a pause."""

SPREAD = 0.5
"""Part by which the times to come back differ, so that callers that were
refused together do not come back together."""


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """What decides whether and where a request goes.

    Attributes:
      wanted: what it needs of a replica.
      elapsed_ms: time since its caller first tried, as far as is known.
      stays_ms: how long its caller waits for the answer to begin.
      objective_ms: time within which it should begin.
      oldest_behind: oldest version that it may begin on if it yields to
        others, and so begins later.
      begun: whether its caller has got a part of the answer.
      maybe_ran: whether a replica may have run it, so that it can't be refused
        as one that has not run.
    """

    wanted: upstream_choice.RequestNeeds
    elapsed_ms: float
    stays_ms: float
    objective_ms: float
    oldest_behind: int = 0
    begun: bool = False
    maybe_ran: bool = False


class RefusalReason(enum.Enum):
    """Why a request is not sent."""

    LATE = "late"
    LIMITED = "limited"
    PAUSED = "paused"


class Refusal(msgspec.Struct, frozen=True):
    """The request is not sent.

    Attributes:
      late_ms: by how much it would begin too late, infinite if the replicas
        that there are don't take it any more.
      retry_after_ms: when its caller should come back.
      reason: why it is not sent.
    """

    late_ms: float
    retry_after_ms: float
    reason: RefusalReason = RefusalReason.LATE


def decide(
    views: Sequence[replica_view.ReplicaView],
    request: Request,
    places: upstream_choice.PreferredLocations,
    now_ms: clock.Millis,
    rng: random.Random,
) -> upstream_choice.Choice | Refusal | None:
    """Returns where a request goes, or that it is refused.

    Of very many engines those of the entry's own cell are weighed first, and
    the others only if none of those can begin the request soon.

    Args:
      views: replicas of its service.
      request: the request.
      places: where the replicas are that the entry prefers.
      now_ms: the time.
      rng: spreads callers that are refused.

    Returns:
      None if no replica may get it at all.
    """
    wanted = request.wanted
    if len(views) > WEIGHED_MAX and wanted.engine is not None:
        own = [view for view in views if places.in_cell(view)]
        ranked = upstream_choice.rank(own, wanted, places, now_ms)
        if ranked and _begins_soon(request, ranked[0]):
            return ranked[0]
    ranked = upstream_choice.rank(views, wanted, places, now_ms, rng)
    if not ranked:
        return _closed(views, request, now_ms, rng)
    front = ranked[0]
    if wanted.engine is None or request.begun:
        return front
    late_ms = _lateness_ms(request, wanted.engine, front.predicted_ms)
    if late_ms <= 0.0:
        return front
    yielding = msgspec.structs.replace(
        wanted,
        position=queue_position.QueuePosition.BEHIND,
        oldest_weights=max(wanted.oldest_weights, request.oldest_behind),
    )
    ranked_behind = upstream_choice.rank(views, yielding, places, now_ms)
    if not ranked_behind:
        return front if request.maybe_ran else _refusal(late_ms, 0.0, rng)
    behind = ranked_behind[0]
    excess_ms = behind.predicted_ms - BEHIND_WAIT_SHARE * request.stays_ms
    if excess_ms <= 0.0 or request.maybe_ran:
        return behind
    return _refusal(late_ms, excess_ms, rng)


def _closed(
    views: Sequence[replica_view.ReplicaView],
    request: Request,
    now_ms: clock.Millis,
    rng: random.Random,
) -> Refusal | None:
    """Returns the refusal of a request that the replicas' own words keep away.

    Its caller comes back when they take requests again: they say when, and
    waiting here would only take the place of others.
    """
    open_ms = upstream_choice.opens_in_ms(views, request.wanted, now_ms)
    if open_ms is None or request.begun or request.maybe_ran:
        return None
    if any(view.availability.closed_ms(now_ms) > 0.0 for view in views):
        retry_ms = return_ms(open_ms, rng)
        return Refusal(open_ms, retry_ms, RefusalReason.PAUSED)
    least_ms = RETRY_AFTER_LIMITED_MS
    if request.wanted.engine is not None:
        least_ms = RETRY_AFTER_MIN_MS
    retry_ms = spread_ms(max(least_ms, open_ms), rng)
    return Refusal(open_ms, retry_ms, RefusalReason.LIMITED)


def _refusal(late_ms: float, excess_ms: float, rng: random.Random) -> Refusal:
    return Refusal(late_ms, retry_after_ms(excess_ms, rng))


def _begins_soon(request: Request, choice: upstream_choice.Choice) -> bool:
    """Returns whether no look at other cells' engines is worth its time."""
    soon_ms = OWN_CELL_SHARE * request.objective_ms
    return choice.predicted_ms + request.elapsed_ms <= soon_ms


def _lateness_ms(
    request: Request, engine: fleet.EngineSpec, predicted_ms: float
) -> float:
    """Returns by how much a request would begin too late, 0 if it would not.

    A long prompt counts as one of usual length, so that large requests are
    not refused more often than small ones.

    Args:
      request: the request.
      engine: the engines.
      predicted_ms: predicted time to the first event.
    """
    tokens = request.wanted.prompt_tokens
    excess_tokens = max(0.0, tokens - USUAL_PROMPT_TOKENS)
    begins_ms = predicted_ms - excess_tokens / engine.read_tokens_per_ms
    return max(0.0, begins_ms + request.elapsed_ms - request.objective_ms)


def retry_after_ms(excess_ms: float, rng: random.Random) -> float:
    """Returns when a refused caller should come back.

    Args:
      excess_ms: by how much it would have waited too long.
      rng: spreads callers.
    """
    return spread_ms(max(RETRY_AFTER_MIN_MS, excess_ms), rng)


def spread_ms(base_ms: float, rng: random.Random) -> float:
    """Returns a time to come back that differs between callers."""
    longest_ms = base_ms * (1.0 + SPREAD * rng.random())
    return min(RETRY_AFTER_MAX_MS, longest_ms)


def return_ms(open_ms: float, rng: random.Random) -> float:
    """Returns when a caller should come back to replicas that open then.

    Args:
      open_ms: time until the first of them takes requests, infinite if they
        leave: then others have to come first.
      rng: spreads callers.
    """
    if math.isinf(open_ms):
        return spread_ms(RETRY_AFTER_MIN_MS, rng)
    return open_ms + RETURN_SPREAD_MS * rng.random()
