"""Selects a replica for one request on the direct path.

The replicas that may receive the request are ranked by their predicted time to
the first event, plus penalties for failures, distance, planned closing and
missing reports.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import random
from typing import NamedTuple

import msgspec

from marlramp import clock
from marlramp.core.configuration import fleet
from marlramp.core.replicas import engine_load
from marlramp.core.replicas import path_latency
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import routing

FAILURE_WEIGHT = 4.0
"""Factor by which the share of failures lengthens the predicted time."""

OVERRUN_WEIGHT = 0.5
"""Cost per millisecond for which a request runs past the time at which the
replica closes. Such a request is likely to be cut off, and its prompt is then
read again on another replica."""

REMOTE_PENALTY_MS = 40.0
"""Cost of a replica in another region: the round trip between regions takes
5.6 ms longer, and bandwidth between regions is scarce."""

OTHER_CELL_PENALTY_MS = 20.0
"""Cost of an engine of another cell in the entry's region: its load is known
with a delay of up to a second, that of an engine in the entry's cell with a
delay of 20 ms."""

OUT_OF_CONTACT_PENALTY_MS = 400.0
"""Cost of a replica whose agent's reports stopped and which has answered
nothing since: about eight engine steps."""

NEAR_BEST_SHARE = 0.25
"""Relative difference in cost within which idle plain replicas count as equal:
the smoothed answer times of identical replicas differ by as much."""

ISOLATION_COST_MS = 1_000.0
"""Cost of each request at a replica for an isolated request, which goes to the
replica with the fewest requests. It outweighs any difference in time."""


class PreferredLocations(msgspec.Struct, frozen=True):
    """The locations that an entry prefers.

    Attributes:
      near: data centres of the entry's region.
      cell_hosts: addresses of the VMs whose engines belong to the entry's
        cell; empty if the entry knows none.
    """

    near: Collection[str]
    cell_hosts: Collection[str] = frozenset()

    def in_cell(self, view: replica_view.ReplicaView) -> bool:
        """Returns whether a replica belongs to the entry's cell."""
        host, _, _ = view.replica.address.rpartition(":")
        return host in self.cell_hosts

    def penalty_ms(self, view: replica_view.ReplicaView) -> float:
        """Returns the cost of a replica's location."""
        if view.replica.data_centre not in self.near:
            return REMOTE_PENALTY_MS
        if not self.cell_hosts or self.in_cell(view):
            return 0.0
        return OTHER_CELL_PENALTY_MS


class Choice(msgspec.Struct, frozen=True):
    """A replica and its predicted time to answer a request.

    Attributes:
      view: the replica.
      predicted_ms: predicted time to the answer or its first event.
      unbiased_ms: predicted time to the answer or its first event, without the
        correction by observed waits and without the wait for a rate limit.
      load: estimated number of requests at the replica.
      load_age_ms: age of the last load report, infinite without one.
      unread_tokens: prompt tokens at the replica that are read before those of
        the request.
      position: position in the engine's queue.
      weights: version that the replica was believed to hold.
      begins_until_ms: clock reading at which the request is withdrawn from a
        replica with a low path latency if it has not begun there.
      sent_until_ms: clock reading from which the request may no longer be
        written to a replica with a low path latency.
      begins_within_ms: time from the choice until the request is withdrawn if
        it has not begun, infinite while no newer version is announced.
      limit_per_s: rate limit that the replica announced, in requests per
        second; None for none.
      limit_wait_max_ms: longest time that the request may wait for the rate
        limit.
    """

    view: replica_view.ReplicaView
    predicted_ms: float
    unbiased_ms: float
    load: float
    load_age_ms: float
    unread_tokens: int
    position: queue_position.QueuePosition
    weights: int = 0
    begins_until_ms: float = float("inf")
    sent_until_ms: float = float("inf")
    begins_within_ms: float = float("inf")
    limit_per_s: float | None = None
    limit_wait_max_ms: float = 0.0

    def withdrawal_ms(self, now_ms: clock.Millis) -> float:
        """Returns when the request is withdrawn if it has not begun.

        The result is a clock reading. It depends on the path latency that is
        known at `now_ms`.
        """
        return self.begins_until_ms - self.view.latency_beyond_margin_ms(now_ms)

    def needs_latency(self, now_ms: clock.Millis) -> bool:
        """Returns whether the path latency must be measured before writing.

        A link may have become congested since the last measurement. A request
        that travels for longer than the margins allow for begins too late.
        """
        if now_ms < self.sent_until_ms - path_latency.FRESH_BEFORE_CUTOFF_MS:
            return False
        return self.view.latency.age_ms(now_ms) > path_latency.OWN_FRESH_MS

    def may_be_written(self, now_ms: clock.Millis) -> bool:
        """Returns whether the request may still be sent to this version."""
        beyond_ms = self.view.latency_beyond_margin_ms(now_ms)
        return now_ms < self.sent_until_ms - beyond_ms


def _last_resort(
    views: Sequence[replica_view.ReplicaView],
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
) -> list[replica_view.ReplicaView]:
    """Returns the replica to retry when this entry backs off from all of them.

    A single request at a time, over all replicas, checks whether one serves
    again, so that callers are not refused for long after a replica recovers.
    """
    backing_off = [
        view
        for view in views
        if view.replica.replica_id not in needs.failed
        and view.availability.is_backing_off(now_ms)
        and replica_filters.is_compatible(view, needs, now_ms)
        and view.is_reported_open(now_ms)
        # The sender would not write the trial, which would still count as one.
        and view.cold_wait_ms(now_ms) <= 0.0
    ]
    if any(view.availability.in_trial(now_ms) for view in backing_off):
        return []
    backing_off.sort(key=lambda view: view.availability.backoff_ms(now_ms))
    return backing_off[:1]


def predicted_ms(
    view: replica_view.ReplicaView,
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
    least_ms: float = float("inf"),
) -> float:
    """Returns the predicted time to the answer or its first event.

    Args:
      view: the replica.
      needs: what the request requires.
      now_ms: the time.
      least_ms: least smoothed answer time of the plain replicas that may
        receive the request.
    """
    if needs.engine is None:
        least_ms = min(least_ms, view.answer_ms)
        answer_ms = view.likely_answer_ms(least_ms, now_ms)
        ahead = max(0.0, view.load(now_ms) + 1 - view.replica.slots)
        return answer_ms * (1.0 + ahead / max(1, view.replica.slots))
    load = view.load_ahead(needs.position, now_ms)
    slots = needs.engine.batch
    believed = engine_load.EngineLoad(
        running=min(load, slots),
        waiting=max(0.0, load - slots),
        unread_tokens=view.unread_ahead(needs.position),
        pace=1.0 if view.report is None else max(1.0, view.report.pace),
    )
    return engine_load.first_token_ms(
        needs.engine, believed, needs.prompt_tokens, view.run_ms
    )


def _overrun_ms(
    choice_ms: float,
    view: replica_view.ReplicaView,
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
) -> float:
    """Returns for how long the request would run after the replica closes.

    An engine that changes its weights waits for running requests. Requests
    that end in time may use it until then; others should run elsewhere.

    Args:
      choice_ms: predicted time to the first event.
      view: the replica.
      needs: what the request requires.
      now_ms: the time.
    """
    run_ms = choice_ms + needs.events * view.event_ms
    return max(0.0, run_ms - view.closes_in_ms(now_ms))


def limit_wait_max_ms(
    view: replica_view.ReplicaView,
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
) -> float:
    """Returns how long a request may wait for a replica's rate limit."""
    answer_ms = predicted_ms(view, needs, now_ms)
    return max(0.0, needs.limit_wait_max_ms - answer_ms)


def _limit_admits(
    view: replica_view.ReplicaView,
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
) -> bool:
    """Returns whether a replica's rate limit may admit the request in time."""
    if view.limit is None:
        return True
    wait_max_ms = limit_wait_max_ms(view, needs, now_ms)
    return view.limit.may_reserve(now_ms, wait_max_ms)


def opens_in_ms(
    views: Sequence[replica_view.ReplicaView],
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
) -> float | None:
    """Returns the time until the first replica accepts the request.

    Only rate limits, pauses and drains that replicas announced are considered.

    Returns:
      The time in ms, infinite if all replicas drain. None if a replica without
      a rate limit is neither paused nor drained, because whatever else keeps
      the request from it may end soon. None also if no replica qualifies.
    """
    waits_ms = []
    for view in views:
        if view.replica.replica_id in needs.failed:
            continue
        if view.replica.state is not fleet.ReplicaState.HEALTHY:
            continue
        closed_ms = view.availability.closed_ms(now_ms)
        if closed_ms > 0.0:
            waits_ms.append(closed_ms)
        elif view.limit is None:
            return None
        elif replica_filters.admits(
            view, needs, now_ms
        ) and view.breaker.allows(now_ms):
            waits_ms.append(view.limit_wait_ms(now_ms))
    return min(waits_ms, default=None)


def rank(
    views: Sequence[replica_view.ReplicaView],
    needs: replica_filters.RequestNeeds,
    locations: PreferredLocations,
    now_ms: clock.Millis,
    rng: random.Random | None = None,
) -> list[Choice]:
    """Returns the replicas that may receive the request, the best first.

    Circuit breakers are ignored when they exclude most replicas, because the
    fault is then unlikely to lie with the replicas. Replicas that are likely
    lost stay excluded, also from trials while their agents may still report
    their return. For a request that avoids these, no breaker is ignored.

    Args:
      views: replicas of the service.
      needs: what the request requires.
      locations: the locations that the entry prefers.
      now_ms: the time.
      rng: spreads requests over plain replicas of nearly equal cost; None to
        rank by cost alone.
    """
    able = [
        view for view in views if replica_filters.admits(view, needs, now_ms)
    ]
    able = able or _last_resort(views, needs, now_ms)
    # Rate limits apply even when breakers are ignored below.
    able = [view for view in able if _limit_admits(view, needs, now_ms)]
    allowed = [
        view
        for view in able
        if view.breaker.allows(now_ms) and not view.awaits_report(now_ms)
    ]
    if needs.avoids_lost:
        allowed = [v for v in allowed if not v.is_likely_lost(now_ms)]
    elif routing.panics(len(allowed), len(able)):
        allowed = [
            view
            for view in able
            if view in allowed or not view.is_likely_lost(now_ms)
        ]
    fresh = [v for v in allowed if v.replica.replica_id not in needs.failed]
    # Draining replicas serve until their drain time ends if no other is left.
    fresh = [v for v in fresh if not v.availability.is_leaving] or fresh
    least_ms = min((view.answer_ms for view in fresh), default=0.0)
    choices = [_predict(view, needs, now_ms, least_ms) for view in fresh]
    costs = [_cost_of(choice, needs, locations, now_ms) for choice in choices]
    costs.sort(key=lambda cost: (cost.total_ms, cost.replica_id))
    if rng is None or needs.engine is not None:
        return [cost.choice for cost in costs]
    near: list[Choice] = []
    others: list[Choice] = []
    for cost in costs:
        part = near if _is_near_best(cost, costs[0]) else others
        part.append(cost.choice)
    return _shuffle(near, rng) + others


class _Cost(NamedTuple):
    """The cost of a choice; the choice with the least total is the best.

    Attributes:
      replica_id: the replica.
      time_ms: the cost of the predicted time.
      location_ms: the cost of the replica's location.
      choice: the choice.
    """

    replica_id: str
    time_ms: float
    location_ms: float
    choice: Choice

    @property
    def total_ms(self) -> float:
        """Sum of the costs of time and location."""
        return self.time_ms + self.location_ms


def _cost_of(
    choice: Choice,
    needs: replica_filters.RequestNeeds,
    locations: PreferredLocations,
    now_ms: clock.Millis,
) -> _Cost:
    return _Cost(
        choice.view.replica.replica_id,
        _time_cost_ms(choice, needs, now_ms),
        locations.penalty_ms(choice.view),
        choice,
    )


def _is_near_best(cost: _Cost, best: _Cost) -> bool:
    """Returns whether the cost of a plain replica is near that of the best.

    Without this tolerance the smallest difference between smoothed times would
    send all requests to one of many idle replicas.
    """
    if cost is best:
        return True
    is_full = cost.choice.view.replica.slots < cost.choice.load + 1
    if is_full or cost.location_ms > best.location_ms:
        return False
    return cost.time_ms <= best.time_ms * (1.0 + NEAR_BEST_SHARE)


def _shuffle(near: list[Choice], rng: random.Random) -> list[Choice]:
    """Returns replicas of nearly equal cost in a random order.

    Of the first two, the one that was idle for longer goes first, so that no
    replica is passed over for long by chance.
    """
    shuffled = rng.sample(near, len(near))
    first = sorted(shuffled[:2], key=lambda c: c.view.availability.sent_ms)
    return first + shuffled[2:]


def _predict(
    view: replica_view.ReplicaView,
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
    least_ms: float,
) -> Choice:
    """Returns the prediction for a request at one replica."""
    unbiased_ms = predicted_ms(view, needs, now_ms, least_ms)
    time_ms = unbiased_ms * _bias_of(view, needs, now_ms)
    return Choice(
        view,
        time_ms + view.limit_wait_ms(now_ms),
        unbiased_ms,
        load=view.load(now_ms),
        load_age_ms=now_ms - view.load_ms,
        unread_tokens=view.unread_ahead(needs.position),
        position=needs.position,
        limit_per_s=None if view.limit is None else view.limit.per_s,
        limit_wait_max_ms=limit_wait_max_ms(view, needs, now_ms),
    )


def _bias_of(
    view: replica_view.ReplicaView,
    needs: replica_filters.RequestNeeds,
    now_ms: clock.Millis,
) -> float:
    """Returns the factor that corrects a predicted time.

    For a plain replica the prediction uses its own measured time. A factor for
    that replica would count the measurement twice, so only the factor that all
    replicas share applies.
    """
    if needs.engine is None:
        return view.shared_bias_of(needs.position, now_ms)
    return view.bias_of(needs.position, now_ms)


def _time_cost_ms(
    choice: Choice, needs: replica_filters.RequestNeeds, now_ms: clock.Millis
) -> float:
    """Returns the cost of the predicted time of a request at a replica."""
    view = choice.view
    cost_ms = choice.predicted_ms
    failed_share = view.failure_share(now_ms) + view.availability.refusal_share(
        now_ms
    )
    cost_ms *= 1.0 + FAILURE_WEIGHT * failed_share
    over_ms = _overrun_ms(choice.predicted_ms, view, needs, now_ms)
    cost_ms += OVERRUN_WEIGHT * over_ms
    if view.is_out_of_contact(now_ms):
        cost_ms += OUT_OF_CONTACT_PENALTY_MS
    if needs.isolated:
        cost_ms += ISOLATION_COST_MS * choice.load
    return cost_ms
