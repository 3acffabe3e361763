"""Choice of the replica for one request on the direct path."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import random
from typing import NamedTuple

import msgspec

from marlramp import clock
from marlramp.core import engine_load
from marlramp.core import fleet
from marlramp.core import queue_place
from marlramp.core import replica_view
from marlramp.core import routing
from marlramp.core import way_times
from marlramp.core import weights_gate

FAILURE_WEIGHT = 4.0
"""How much a share of failures lengthens the predicted time."""

OVERRUN_WEIGHT = 0.5
"""Cost of running on beyond the time at which the replica closes: what runs
then is cut with some likelihood, and read again elsewhere."""

REMOTE_PENALTY_MS = 40.0
"""Advantage of a replica in the own region: the way there and back takes
5.6 ms longer from another region, and bytes between regions are scarce."""

OTHER_CELL_PENALTY_MS = 20.0
"""Advantage of an engine of the own cell over others in the region: its load
is known to 20 ms, theirs to a second."""

NEAR_SHARE = 0.25
"""Part of the least cost by which those of idle plain replicas may differ and
still count as equal: smoothed times of equal replicas differ by as much."""

ALONE_COST_MS = 1_000.0
"""Cost of each other request at a replica for one that goes where few run: far
more than any difference in time."""


class Places(msgspec.Struct, frozen=True):
    """Where the replicas are that an entry prefers.

    Attributes:
      near: data centres of its region.
      cell_hosts: addresses of the VMs whose engines belong to its cell; empty
        if it knows of none.
    """

    near: Collection[str]
    cell_hosts: Collection[str] = frozenset()

    def in_cell(self, view: replica_view.ReplicaView) -> bool:
        """Returns whether a replica belongs to the entry's cell."""
        host, _, _ = view.replica.address.rpartition(":")
        return host in self.cell_hosts

    def penalty_ms(self, view: replica_view.ReplicaView) -> float:
        """Returns what the place of a replica adds to its cost."""
        if view.replica.data_centre not in self.near:
            return REMOTE_PENALTY_MS
        if not self.cell_hosts or self.in_cell(view):
            return 0.0
        return OTHER_CELL_PENALTY_MS


class Wanted(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs of a replica.

    Attributes:
      engine: the service's engine, None for a plain service.
      prompt_tokens: tokens of the prompt.
      events: events that the answer is expected to have.
      oldest_weights: oldest version that the request may begin on.
      leaves: until when it may be sent to older ones, sooner behind long ways.
      failed: ids of replicas that this request already failed at.
      place: where it would wait in an engine's queue.
      alone: whether it goes where the fewest others run, since it may crash
        the replica.
      limit_wait_max_ms: how long its answer may come later for the limits that
        replicas name.
    """

    engine: fleet.EngineSpec | None
    prompt_tokens: int
    events: float
    oldest_weights: int
    failed: Collection[str]
    place: queue_place.QueuePlace = queue_place.QueuePlace.FRONT
    alone: bool = False
    limit_wait_max_ms: float = 0.0
    leaves: Sequence[weights_gate.Leave] = ()


class Choice(msgspec.Struct, frozen=True):
    """A replica and when it is predicted to answer.

    Attributes:
      view: the replica.
      predicted_ms: time to the answer or its first event.
      unbiased_ms: the same by the engine's figures alone.
      load: requests believed to be there.
      load_age_ms: age of the last word on its load, infinite without one.
      unread_tokens: prompt tokens there that are read before its own.
      place: where it waits in an engine's queue.
      weights: version that the replica was believed to hold.
      begins_until_ms: a reading of the clock, at which it is taken back from a
        replica behind a short way if it has not begun there.
      sent_until_ms: a reading of the clock, from which it may not be written to
        such a replica any more.
      begins_within_ms: time from the choice until then, infinite while no newer
        version is named.
      limit_per_s: limit that the replica is known to name, None for none.
      limit_wait_max_ms: how long it may wait for that limit.
    """

    view: replica_view.ReplicaView
    predicted_ms: float
    unbiased_ms: float
    load: float
    load_age_ms: float
    unread_tokens: int
    place: queue_place.QueuePlace
    weights: int = 0
    begins_until_ms: float = float("inf")
    sent_until_ms: float = float("inf")
    begins_within_ms: float = float("inf")
    limit_per_s: float | None = None
    limit_wait_max_ms: float = 0.0

    def taken_back_ms(self, now_ms: clock.Millis) -> float:
        """Returns when it is taken back if it has not begun, as of now."""
        return self.begins_until_ms - self.view.way_beyond_short_ms(now_ms)

    def needs_way(self, now_ms: clock.Millis) -> bool:
        """Returns whether the way is to be measured before it is written.

        A link may have filled since a way was measured, and a request that is
        under way for longer than margins have room for begins too late.
        """
        if now_ms < self.sent_until_ms - way_times.MEASURED_BEFORE_MS:
            return False
        return self.view.ways.age_ms(now_ms) > way_times.OWN_FRESH_MS

    def may_be_written(self, now_ms: clock.Millis) -> bool:
        """Returns whether its version may still be sent the request."""
        beyond_ms = self.view.way_beyond_short_ms(now_ms)
        return now_ms < self.sent_until_ms - beyond_ms


def usable(
    view: replica_view.ReplicaView, wanted: Wanted, now_ms: clock.Millis
) -> bool:
    """Returns whether a replica may get the request, its limit apart."""
    return _fits(view, wanted, now_ms) and view.opens(now_ms)


def still_usable(
    view: replica_view.ReplicaView, wanted: Wanted, now_ms: clock.Millis
) -> bool:
    """Returns whether a replica that was chosen may still get the request."""
    open_now = view.takes(now_ms) and view.is_reported_open(now_ms)
    return open_now and _fits(view, wanted, now_ms)


def _fits(
    view: replica_view.ReplicaView, wanted: Wanted, now_ms: clock.Millis
) -> bool:
    """Returns whether a replica can run the request, open or not."""
    if view.replica.state is not fleet.ReplicaState.HEALTHY:
        return False
    if wanted.engine is not None:
        weights = view.weights(now_ms)
        if weights == 0 or weights < wanted.oldest_weights:
            return False
        if wanted.leaves:
            leaves_ms = weights_gate.leaves_ms(wanted.leaves, weights)
            return now_ms < leaves_ms - view.way_beyond_short_ms(now_ms)
    return True


def _last_resort(
    views: Sequence[replica_view.ReplicaView],
    wanted: Wanted,
    now_ms: clock.Millis,
) -> list[replica_view.ReplicaView]:
    """Returns the replica to ask again when only own backoffs close all.

    One request at a time finds out, over all of them, so that callers are not
    refused for long beside a replica that serves again.
    """
    backing_off = [
        view
        for view in views
        if view.replica.replica_id not in wanted.failed
        and view.availability.is_backing_off(now_ms)
        and _fits(view, wanted, now_ms)
        and view.is_reported_open(now_ms)
    ]
    if any(view.availability.in_trial(now_ms) for view in backing_off):
        return []
    backing_off.sort(key=lambda view: view.availability.backoff_ms(now_ms))
    return backing_off[:1]


def predicted_ms(
    view: replica_view.ReplicaView,
    wanted: Wanted,
    now_ms: clock.Millis,
    least_ms: float = float("inf"),
) -> float:
    """Returns the predicted time to the answer or its first event.

    Args:
      view: the replica.
      wanted: what the request needs.
      now_ms: the time.
      least_ms: least smoothed time of the plain replicas that may get it.
    """
    if wanted.engine is None:
        least_ms = min(least_ms, view.answer_ms)
        answer_ms = view.likely_answer_ms(least_ms, now_ms)
        ahead = max(0.0, view.load(now_ms) + 1 - view.replica.slots)
        return answer_ms * (1.0 + ahead / max(1, view.replica.slots))
    load = view.load_ahead(wanted.place, now_ms)
    slots = wanted.engine.batch
    believed = engine_load.EngineLoad(
        running=min(load, slots),
        waiting=max(0.0, load - slots),
        unread_tokens=view.unread_ahead(wanted.place),
        pace=1.0 if view.report is None else max(1.0, view.report.pace),
    )
    return engine_load.first_token_ms(
        wanted.engine, believed, wanted.prompt_tokens, view.run_ms
    )


def overrun_ms(
    choice_ms: float,
    view: replica_view.ReplicaView,
    wanted: Wanted,
    now_ms: clock.Millis,
) -> float:
    """Returns how long the request would still run when the replica closes.

    An engine that changes its weights waits for what runs there; requests
    that end in time keep it busy until then, and the others go elsewhere.

    Args:
      choice_ms: predicted time to the first event.
      view: the replica.
      wanted: what the request needs.
      now_ms: the time.
    """
    run_ms = choice_ms + wanted.events * view.event_ms
    return max(0.0, run_ms - view.closes_in_ms(now_ms))


def limit_wait_max_ms(
    view: replica_view.ReplicaView, wanted: Wanted, now_ms: clock.Millis
) -> float:
    """Returns how long a request may wait for the limit of a replica."""
    answer_ms = predicted_ms(view, wanted, now_ms)
    return max(0.0, wanted.limit_wait_max_ms - answer_ms)


def limit_opens(
    view: replica_view.ReplicaView, wanted: Wanted, now_ms: clock.Millis
) -> bool:
    """Returns whether the limit of a replica may let the request through."""
    if view.limit is None:
        return True
    wait_max_ms = limit_wait_max_ms(view, wanted, now_ms)
    return view.limit.may_reserve(now_ms, wait_max_ms)


def opens_in_ms(
    views: Sequence[replica_view.ReplicaView],
    wanted: Wanted,
    now_ms: clock.Millis,
) -> float | None:
    """Returns when the first replica takes the request, by their own words.

    Returns:
      Infinite if all of them leave; None if something else than limits, pauses
      and leaving keeps the request from a replica, which may change soon.
    """
    waits_ms = []
    for view in views:
        if view.replica.replica_id in wanted.failed:
            continue
        if view.replica.state is not fleet.ReplicaState.HEALTHY:
            continue
        closed_ms = view.availability.closed_ms(now_ms)
        if closed_ms > 0.0:
            waits_ms.append(closed_ms)
        elif view.limit is None:
            return None
        elif usable(view, wanted, now_ms) and view.breaker.allows(now_ms):
            waits_ms.append(view.limit_wait_ms(now_ms))
    return min(waits_ms, default=None)


def rank(
    views: Sequence[replica_view.ReplicaView],
    wanted: Wanted,
    places: Places,
    now_ms: clock.Millis,
    rng: random.Random | None = None,
) -> list[Choice]:
    """Returns the replicas that may get the request, the best first.

    Breakers are ignored when they exclude most replicas: then something else
    is wrong than the replicas.

    Args:
      views: replicas of the service.
      wanted: what the request needs.
      places: where the replicas are that the entry prefers.
      now_ms: the time.
      rng: spreads requests over plain replicas that are as good as each other.
    """
    able = [view for view in views if usable(view, wanted, now_ms)]
    able = able or _last_resort(views, wanted, now_ms)
    # Before breakers are ignored: no panic opens a limit.
    able = [view for view in able if limit_opens(view, wanted, now_ms)]
    allowed = [view for view in able if view.breaker.allows(now_ms)]
    if routing.panics(len(allowed), len(able)):
        allowed = able
    fresh = [v for v in allowed if v.replica.replica_id not in wanted.failed]
    # The last ones of a service serve until their drain time is over.
    fresh = [v for v in fresh if not v.availability.is_leaving] or fresh
    least_ms = min((view.answer_ms for view in fresh), default=0.0)
    choices = [_choice(view, wanted, now_ms, least_ms) for view in fresh]
    costs = [_cost_of(choice, wanted, places, now_ms) for choice in choices]
    costs.sort(key=lambda cost: (cost.total_ms, cost.replica_id))
    if rng is None or wanted.engine is not None:
        return [cost.choice for cost in costs]
    near: list[Choice] = []
    others: list[Choice] = []
    for cost in costs:
        part = near if _is_near(cost, costs[0]) else others
        part.append(cost.choice)
    return _spread(near, rng) + others


class _Cost(NamedTuple):
    """What a choice costs; the least total is the best.

    Attributes:
      replica_id: the replica.
      time_ms: the cost of what is predicted there.
      place_ms: the cost of where it is.
      choice: the choice.
    """

    replica_id: str
    time_ms: float
    place_ms: float
    choice: Choice

    @property
    def total_ms(self) -> float:
        """Both costs together."""
        return self.time_ms + self.place_ms


def _cost_of(
    choice: Choice, wanted: Wanted, places: Places, now_ms: clock.Millis
) -> _Cost:
    return _Cost(
        choice.view.replica.replica_id,
        _time_cost_ms(choice, wanted, now_ms),
        places.penalty_ms(choice.view),
        choice,
    )


def _is_near(cost: _Cost, best: _Cost) -> bool:
    """Returns whether a plain replica is as good as the best one.

    Among many idle replicas the least difference between smoothed times would
    otherwise decide which of them gets all requests.
    """
    if cost is best:
        return True
    is_full = cost.choice.view.replica.slots < cost.choice.load + 1
    if is_full or cost.place_ms > best.place_ms:
        return False
    return cost.time_ms <= best.time_ms * (1.0 + NEAR_SHARE)


def _spread(near: list[Choice], rng: random.Random) -> list[Choice]:
    """Returns replicas that are as good as each other in a drawn order.

    Of the first two the one that was left alone for longer goes first, so that
    none is missed for long by chance.
    """
    drawn = rng.sample(near, len(near))
    first = sorted(drawn[:2], key=lambda c: c.view.availability.sent_ms)
    return first + drawn[2:]


def _choice(
    view: replica_view.ReplicaView,
    wanted: Wanted,
    now_ms: clock.Millis,
    least_ms: float,
) -> Choice:
    """Returns what is predicted of a request at one replica."""
    unbiased_ms = predicted_ms(view, wanted, now_ms, least_ms)
    time_ms = unbiased_ms * _bias_of(view, wanted, now_ms)
    return Choice(
        view,
        time_ms + view.limit_wait_ms(now_ms),
        unbiased_ms,
        load=view.load(now_ms),
        load_age_ms=now_ms - view.load_ms,
        unread_tokens=view.unread_ahead(wanted.place),
        place=wanted.place,
        limit_per_s=None if view.limit is None else view.limit.per_s,
        limit_wait_max_ms=limit_wait_max_ms(view, wanted, now_ms),
    )


def _bias_of(
    view: replica_view.ReplicaView, wanted: Wanted, now_ms: clock.Millis
) -> float:
    """Returns by what the predicted time is wrong, as far as is known.

    The time of a plain replica is its own measured one, which a factor of its
    own would count twice.
    """
    if wanted.engine is None:
        return view.shared_bias_of(wanted.place, now_ms)
    return view.bias_of(wanted.place, now_ms)


def _time_cost_ms(
    choice: Choice, wanted: Wanted, now_ms: clock.Millis
) -> float:
    """Returns the cost of what is predicted of a request at a replica."""
    view = choice.view
    cost_ms = choice.predicted_ms
    failed_share = view.failure_share(now_ms) + view.availability.refusal_share(
        now_ms
    )
    cost_ms *= 1.0 + FAILURE_WEIGHT * failed_share
    over_ms = overrun_ms(choice.predicted_ms, view, wanted, now_ms)
    cost_ms += OVERRUN_WEIGHT * over_ms
    if wanted.alone:
        cost_ms += ALONE_COST_MS * choice.load
    return cost_ms
