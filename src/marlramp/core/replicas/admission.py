"""Admission control: sends a request to a replica or refuses it.

Load pattern: more requests than the engines can begin in time, either for
seconds (a burst, engines that load weights, callers that all retry after an
outage) or permanently. An overloaded engine delays every request, so that all
answers are late, and it stays late after the excess load has ended.

Admission therefore distinguishes three cases. A request that can still begin
within its objective goes to the front of the engine's queue. A request that
misses its objective in any case goes behind those and is served when the
engine has spare capacity. A request that would wait longer than its caller
does is refused immediately, with a time after which to retry.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum
import math
import random

import msgspec

from marlramp import clock
from marlramp.core.configuration import fleet
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice

TYPICAL_PROMPT_TOKENS = 1_000.0
"""Prompt length, in tokens, up to which a request's predicted time counts in
full towards its lateness."""

BEHIND_WAIT_SHARE = 0.4
"""Longest predicted wait of a request in the back of the queue, as a part of
the time that its caller waits. Requests that arrive later in front of it make
the real wait longer. At 1.3 times capacity, 6 of 100 callers leave without an
answer; with 0.7 instead, 14 of 100 do, and no more are served (replayed load,
three seeds)."""

RANK_ALL_MAX = 64
"""Number of engines up to which every request ranks all of them, which takes
10 us of processor time per engine. Ranking all finds the least loaded engine:
with 20 engines, 1,990 callers were served in time, against 1,940 where the
engines of the entry's own cell were preferred."""

OWN_CELL_SHARE = 0.5
"""Part of the objective within which an engine of the entry's own cell must
begin a request to be chosen without ranking the engines of other cells."""

RETRY_AFTER_MIN_MS = 1_200.0
"""Least time after which a refused caller retries. Its answer is late however
soon it retries, and a caller that is refused twice is lost. So the time is long
enough for the overload to have ended, and for the retry to be distinguished
from a first attempt."""

RETRY_AFTER_MAX_MS = 1_900.0
"""Longest time after which a refused caller is asked to retry. Callers honour
a time of up to a third of what they have left."""

RETRY_AFTER_LIMITED_MS = 500.0
"""Least retry time for plain replicas whose limits are used up."""

RETURN_JITTER_MS = 750.0
"""Time over which callers return to replicas whose pause has ended."""

JITTER = 0.5
"""Largest random increase of a retry time, as a part of it, so that callers
that were refused together do not return together."""


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a request that decide its admission and its replica.

    Attributes:
      wanted: what the request needs of a replica.
      elapsed_ms: time since the caller's first attempt, as far as is known.
      wait_max_ms: how long the caller waits for the answer to begin.
      objective_ms: time within which the answer should begin.
      oldest_behind: oldest weights version that the request may begin on if it
        goes to the back of the queue and so begins later.
      begun: whether the caller has received a part of the answer.
      maybe_ran: whether a replica may have run the request, in which case it
        must not be refused as one that has not run.
    """

    wanted: replica_filters.RequestNeeds
    elapsed_ms: float
    wait_max_ms: float
    objective_ms: float
    oldest_behind: int = 0
    begun: bool = False
    maybe_ran: bool = False


class RefusalReason(enum.Enum):
    """Why a request is refused.

    Attributes:
      LATE: it would begin too late.
      LIMITED: the rate limits of all replicas are used up.
      PAUSED: all replicas are closed, and at least one is paused or leaves.
      REGIONS: no replica is in an allowed region.
      EVACUATED: all replicas in allowed regions are in evacuated data centres.
      DRAINING: all replicas in permitted data centres are listed as draining,
        and other data centres are not permitted.
      COLD: the replicas that are left are cold and take no more requests from
        this entry now.
    """

    LATE = "late"
    LIMITED = "limited"
    PAUSED = "paused"
    REGIONS = "regions"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    COLD = "cold"


_REASONS = {
    replica_filters.Filter.REGIONS: RefusalReason.REGIONS,
    replica_filters.Filter.EVACUATED: RefusalReason.EVACUATED,
    replica_filters.Filter.DRAINING: RefusalReason.DRAINING,
    replica_filters.Filter.COLD: RefusalReason.COLD,
}
"""Refusals that follow from the filter that leaves no replica alone."""


class Refusal(msgspec.Struct, frozen=True):
    """A request is refused without being sent.

    Attributes:
      late_ms: by how much it would begin too late; for replicas that are
        closed, the time until the first opens, infinite if that is not known.
      retry_after_ms: time after which the caller should retry.
      reason: why the request is refused.
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
    """Returns the replica for a request, or the refusal of the request.

    With more than `RANK_ALL_MAX` replicas, the engines of the entry's own cell
    are ranked first, and the others only if none of those begins the request
    soon.

    Args:
      views: replicas of the request's service.
      request: the request.
      places: locations of the replicas that the entry prefers.
      now_ms: the time.
      rng: source of the jitter in retry times.

    Returns:
      The chosen replica with the position in its queue, a refusal, or None if
      no replica may receive the request now.
    """
    wanted = request.wanted
    if len(views) > RANK_ALL_MAX and wanted.engine is not None:
        own = [view for view in views if places.in_cell(view)]
        ranked = upstream_choice.rank(own, wanted, places, now_ms)
        if ranked and _begins_soon(request, ranked[0], now_ms):
            return ranked[0]
    ranked = upstream_choice.rank(views, wanted, places, now_ms, rng)
    if not ranked:
        return _filter_refusal(views, request, now_ms, rng) or _closed_refusal(
            views, request, now_ms, rng
        )
    front = ranked[0]
    if wanted.engine is None or request.begun:
        return front
    late_ms = _lateness_ms(request, wanted.engine, front.predicted_ms)
    if late_ms <= 0.0:
        return front
    for choice in ranked:
        # Being out of contact only makes a replica the second choice.
        if (
            choice.view.is_out_of_contact(now_ms)
            and _lateness_ms(request, wanted.engine, choice.predicted_ms) <= 0.0
        ):
            return choice
    yielding = msgspec.structs.replace(
        wanted,
        position=queue_position.QueuePosition.BEHIND,
        oldest_weights=max(wanted.oldest_weights, request.oldest_behind),
    )
    ranked_behind = upstream_choice.rank(views, yielding, places, now_ms)
    if not ranked_behind:
        return front if request.maybe_ran else _late_refusal(late_ms, 0.0, rng)
    behind = ranked_behind[0]
    excess_ms = behind.predicted_ms - BEHIND_WAIT_SHARE * request.wait_max_ms
    if excess_ms <= 0.0 or request.maybe_ran:
        return behind
    return _late_refusal(late_ms, excess_ms, rng)


def _filter_refusal(
    views: Sequence[replica_view.ReplicaView],
    request: Request,
    now_ms: clock.Millis,
    rng: random.Random,
) -> Refusal | None:
    """Returns the refusal of a request that no replica passes the filters for.

    Returns:
      None if another filter leaves no replica, or if the request has begun or
      may have run.
    """
    wanted = request.wanted
    emptying = replica_filters.emptying_filter(views, wanted, now_ms)
    if emptying not in _REASONS or request.begun or request.maybe_ran:
        return None
    if (
        emptying is replica_filters.Filter.DRAINING
        and wanted.placement.excludes_none
    ):
        # Successors of a draining service may be listed within the hold time.
        return None
    open_ms = float("inf")
    if emptying is replica_filters.Filter.COLD:
        open_ms = min(
            view.cold_wait_ms(now_ms)
            for view in views
            if replica_filters.exclusion(view, wanted, now_ms) is emptying
        )
    retry_ms = retry_after_pause_ms(open_ms, rng)
    return Refusal(open_ms, retry_ms, _REASONS[emptying])


def _closed_refusal(
    views: Sequence[replica_view.ReplicaView],
    request: Request,
    now_ms: clock.Millis,
    rng: random.Random,
) -> Refusal | None:
    """Returns the refusal of a request that replicas' own limits exclude.

    The replicas name a time after which they accept requests, so the caller
    retries then. Waiting at the entry would only occupy room that other
    requests need. Replicas in data centres that are not permitted don't count.

    Returns:
      None if a replica is not closed by a pause, its leaving or a limit, or if
      the request has begun or may have run.
    """
    placement = request.wanted.placement
    views = [
        view
        for view in views
        if placement.exclusion(view.replica.data_centre) is None
    ]
    open_ms = upstream_choice.opens_in_ms(views, request.wanted, now_ms)
    if open_ms is None or request.begun or request.maybe_ran:
        return None
    if any(view.availability.closed_ms(now_ms) > 0.0 for view in views):
        retry_ms = retry_after_pause_ms(open_ms, rng)
        return Refusal(open_ms, retry_ms, RefusalReason.PAUSED)
    least_ms = RETRY_AFTER_LIMITED_MS
    if request.wanted.engine is not None:
        least_ms = RETRY_AFTER_MIN_MS
    retry_ms = jittered_ms(max(least_ms, open_ms), rng)
    return Refusal(open_ms, retry_ms, RefusalReason.LIMITED)


def _late_refusal(
    late_ms: float, excess_ms: float, rng: random.Random
) -> Refusal:
    return Refusal(late_ms, retry_after_ms(excess_ms, rng))


def _begins_soon(
    request: Request, choice: upstream_choice.Choice, now_ms: clock.Millis
) -> bool:
    """Returns whether a choice is good enough to skip other cells' engines."""
    if choice.view.is_out_of_contact(now_ms):
        return False
    soon_ms = OWN_CELL_SHARE * request.objective_ms
    return choice.predicted_ms + request.elapsed_ms <= soon_ms


def _lateness_ms(
    request: Request, engine: fleet.EngineSpec, predicted_ms: float
) -> float:
    """Returns by how much a request would begin too late, 0 if it would not.

    A prompt longer than `TYPICAL_PROMPT_TOKENS` counts as one of that length,
    so that large requests are not refused more often than small ones.

    Args:
      request: the request.
      engine: specification of the engines.
      predicted_ms: predicted time to the first event.
    """
    tokens = request.wanted.prompt_tokens
    excess_tokens = max(0.0, tokens - TYPICAL_PROMPT_TOKENS)
    begins_ms = predicted_ms - excess_tokens / engine.read_tokens_per_ms
    return max(0.0, begins_ms + request.elapsed_ms - request.objective_ms)


def retry_after_ms(excess_ms: float, rng: random.Random) -> float:
    """Returns the time after which a refused caller should retry.

    Args:
      excess_ms: by how much it would have waited too long.
      rng: source of the jitter.
    """
    return jittered_ms(max(RETRY_AFTER_MIN_MS, excess_ms), rng)


def jittered_ms(base_ms: float, rng: random.Random) -> float:
    """Returns a retry time with jitter, at most `RETRY_AFTER_MAX_MS`.

    Args:
      base_ms: the time without jitter.
      rng: source of the jitter.
    """
    wait_ms = base_ms * (1.0 + JITTER * rng.random())
    return min(RETRY_AFTER_MAX_MS, wait_ms)


def retry_after_pause_ms(open_ms: float, rng: random.Random) -> float:
    """Returns the time after which a caller should retry at closed replicas.

    Args:
      open_ms: time until the first replica accepts requests, infinite if that
        is not known: new replicas must start first, or an evacuation must end.
      rng: source of the jitter.
    """
    if math.isinf(open_ms):
        return jittered_ms(RETRY_AFTER_MIN_MS, rng)
    return open_ms + RETURN_JITTER_MS * rng.random()
