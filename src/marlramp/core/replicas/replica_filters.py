"""Filters that exclude replicas of a service from a request.

Load pattern: several filters leave few replicas or none at the same time, for
example an evacuated data centre beside engines that change their weights. The
filter that leaves no replica is the reason of a refusal, and its expected end
determines when the caller should retry.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import fleet
from marlramp.core.configuration import version_cutoff
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import replica_view


class Filter(enum.Enum):
    """The filters, in the order in which they apply.

    Attributes:
      REGIONS: the route or the customer does not allow the replica's region.
      EVACUATED: the replica's data centre is evacuated.
      DRAINING: the replica is listed as draining.
      WEIGHTS: the replica holds no version on which the request may begin.
      CLOSED: the replica refuses requests, leaves, or changes its weights.
      COLD: the replica is cold and takes no more requests from this entry.
    """

    REGIONS = "regions"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    WEIGHTS = "weights"
    CLOSED = "closed"
    COLD = "cold"


class Placement(msgspec.Struct, frozen=True):
    """The data centres in which a request may run.

    Attributes:
      regions: region of each data centre.
      allowed_regions: regions that the route and the customer allow, None if
        they allow all.
      evacuated: data centres that are evacuated.
    """

    regions: Mapping[str, str] = {}
    allowed_regions: frozenset[str] | None = None
    evacuated: frozenset[ids.DataCentreId] = frozenset()

    @property
    def excludes_none(self) -> bool:
        """Whether every data centre is permitted."""
        return self.allowed_regions is None and not self.evacuated

    def exclusion(self, data_centre: ids.DataCentreId) -> Filter | None:
        """Returns the filter that excludes a data centre, None if none does.

        A data centre without a known region is in no allowed region.
        """
        region = self.regions.get(data_centre)
        if (
            self.allowed_regions is not None
            and region not in self.allowed_regions
        ):
            return Filter.REGIONS
        if data_centre in self.evacuated:
            return Filter.EVACUATED
        return None


ANYWHERE = Placement()
"""Placement of a request that may run in every data centre."""


class RequestNeeds(msgspec.Struct, frozen=True, kw_only=True):
    """What a request requires of a replica.

    Attributes:
      engine: the service's engine, None for a plain service.
      prompt_tokens: number of tokens in the prompt.
      events: expected number of events in the answer.
      oldest_weights: oldest version that the request may begin on.
      cutoffs: the times until which replicas that hold older versions may be
        sent the request; for a replica with a high path latency the time is
        earlier.
      failed: ids of the replicas at which this request has failed already.
      position: position in the engine's queue.
      isolated: whether the request goes to the replica with the fewest
        requests, because it may crash the replica.
      limit_wait_max_ms: longest delay of the answer that the rate limits of
        replicas may cause.
      placement: the data centres in which the request may run.
      avoids_lost: whether replicas that are likely lost may not receive the
        request, because it has few attempts left.
    """

    engine: fleet.EngineSpec | None
    prompt_tokens: int
    events: float
    oldest_weights: int
    failed: Collection[str]
    position: queue_position.QueuePosition = queue_position.QueuePosition.FRONT
    isolated: bool = False
    limit_wait_max_ms: float = 0.0
    cutoffs: Sequence[version_cutoff.VersionCutoff] = ()
    placement: Placement = ANYWHERE
    avoids_lost: bool = False


def admits(
    view: replica_view.ReplicaView, needs: RequestNeeds, now_ms: clock.Millis
) -> bool:
    """Returns whether a replica may receive the request.

    The replica's rate limit isn't considered.
    """
    return exclusion(view, needs, now_ms) is None


def still_admits(
    view: replica_view.ReplicaView, needs: RequestNeeds, now_ms: clock.Millis
) -> bool:
    """Returns whether a replica that was selected may still get the request.

    Backoffs and trials after the selection are ignored.
    """
    open_now = view.accepts_assigned(now_ms) and view.is_reported_open(now_ms)
    return open_now and is_compatible(view, needs, now_ms)


def is_compatible(
    view: replica_view.ReplicaView, needs: RequestNeeds, now_ms: clock.Millis
) -> bool:
    """Returns whether a replica's place, state and version fit the request.

    Pauses and backoffs aren't considered, nor whether the agent reports the
    replica as open or the replica is cold.
    """
    return _incompatibility(view, needs, now_ms) is None


def exclusion(
    view: replica_view.ReplicaView, needs: RequestNeeds, now_ms: clock.Millis
) -> Filter | None:
    """Returns the first filter that excludes a replica, None if none does."""
    found = _incompatibility(view, needs, now_ms)
    if found is not None:
        return found
    if not view.accepts_new(now_ms):
        return Filter.CLOSED
    if view.cold_wait_ms(now_ms) > 0.0:
        return Filter.COLD
    return None


def _incompatibility(
    view: replica_view.ReplicaView, needs: RequestNeeds, now_ms: clock.Millis
) -> Filter | None:
    if not needs.placement.excludes_none:
        found = needs.placement.exclusion(view.replica.data_centre)
        if found is not None:
            return found
    if view.replica.state is not fleet.ReplicaState.HEALTHY:
        return Filter.DRAINING
    if needs.engine is None:
        return None
    weights = view.weights(now_ms)
    if weights == 0 or weights < needs.oldest_weights:
        return Filter.WEIGHTS
    if needs.cutoffs:
        cutoff_ms = version_cutoff.cutoff_ms(needs.cutoffs, weights)
        if now_ms >= cutoff_ms - view.latency_beyond_margin_ms(now_ms):
            return Filter.WEIGHTS
    return None


def emptying_filter(
    views: Sequence[replica_view.ReplicaView],
    needs: RequestNeeds,
    now_ms: clock.Millis,
) -> Filter | None:
    """Returns the filter that leaves no replica, applied in order.

    Returns:
      None if there are no replicas, or some pass all filters.
    """
    order = list(Filter)
    last = -1
    for view in views:
        found = exclusion(view, needs, now_ms)
        if found is None:
            return None
        last = max(last, order.index(found))
    return order[last] if last >= 0 else None
