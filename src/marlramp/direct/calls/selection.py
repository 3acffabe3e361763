"""Selects the replica for a call, or refuses the call.

A call waits for a short time if no replica is open, and for the rate limit of
the selected replica.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import math
import random

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.core.configuration import version_cutoff
from marlramp.core.replicas import admission
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import rate_limits
from marlramp.settings import node

CHOICE_POLL_MS = 20.0
"""Time between two checks for a replica while none accepts requests. Agents
report changes as quickly."""

HOLD_SHARE_MAX = 0.12
"""Part of its objective for which a request waits for a replica to open. It is
long enough for a replica in a short backoff, and short enough that the caller
loses nothing if no replica opens."""

BEGUN_HOLD_SHARE = 0.5
"""Part of the caller's remaining wait for which a request that may have run
waits for a replica to open. It can't be refused as a request that has not run,
and a stream would be cut."""

RETRY_AFTER_OPEN_MS = 60.0
"""Time after which a caller should retry if a replica could accept the request
and only the permitted retries are used up."""

RETRY_AFTER_PLAIN_MS = 500.0
"""Time after which a caller should retry at a plain service if no replica has a
known opening time."""

RETRY_AFTER_ENGINE_MS = 1_400.0
"""Time after which a caller should retry at a model engine if no replica has a
known opening time. An engine that starts loads staged weights within 1.3 s; a
caller that retries sooner is refused again."""

_ERROR_KINDS = {
    admission.RefusalReason.LATE: errors.ErrorKind.DEADLINE_UNREACHABLE,
    admission.RefusalReason.LIMITED: errors.ErrorKind.UPSTREAMS_LIMITED,
    admission.RefusalReason.PAUSED: errors.ErrorKind.UPSTREAMS_PAUSED,
    admission.RefusalReason.REGIONS: errors.ErrorKind.REGIONS_UNAVAILABLE,
    admission.RefusalReason.EVACUATED: errors.ErrorKind.UPSTREAMS_EVACUATED,
    admission.RefusalReason.DRAINING: errors.ErrorKind.NO_UPSTREAM,
    admission.RefusalReason.COLD: errors.ErrorKind.UPSTREAMS_COLD,
}
_MS = clock.MILLIS_PER_SECOND


class Selector:
    """Selects the replicas that run calls."""

    def __init__(
        self,
        known: catalog.Catalog,
        table: replica_table.ReplicaTable,
        settings: node.NodeSettings,
        limits: rate_limits.RateLimits,
        routes: Callable[[], route_table.RouteTable | None],
        holds_requests: Callable[[], bool],
        time: clock.Clock,
    ) -> None:
        """Creates a selector.

        Args:
          known: the announced versions of the weights, and the evacuations.
          table: the replicas.
          settings: settings of the entry.
          limits: rate limits of replicas.
          routes: returns the routes in force.
          holds_requests: returns whether requests wait because this entry may
            lack changes that were made while it was suspended.
          time: the clock.
        """
        self._limits = limits
        self._catalog = known
        self._table = table
        self._routes = routes
        self._holds_requests = holds_requests
        self._regions = settings.regions
        self._clock = time
        self._started_ms = time.now_ms()
        self._rng = random.Random()
        self._version_bound_ms = settings.bounds.version_ms
        self._locations = upstream_choice.PreferredLocations(
            settings.near_data_centres
        )

    def set_settings(self, settings: node.NodeSettings) -> None:
        """Applies changed settings."""
        self._version_bound_ms = settings.bounds.version_ms

    def set_cell(self, hosts: Collection[str]) -> None:
        """Sets the addresses of the VMs whose engines belong to the cell."""
        near = self._locations.near
        self._locations = upstream_choice.PreferredLocations(
            near, frozenset(hosts)
        )

    async def choose(self, call: call_module.Call) -> upstream_choice.Choice:
        """Returns the best replica; waits for a short time if none is open.

        A request that may have run goes to no replica whose breaker is open
        while it waits, and then to any that is not likely lost.

        Raises:
          CallError: if no replica can accept the request in time.
        """
        while self._holds_requests():
            await asyncio.sleep(CHOICE_POLL_MS / _MS)
        give_up_ms = self._give_up_ms(call)
        while True:
            now_ms = self._clock.now_ms()
            avoids_lost = call.may_have_run and now_ms < give_up_ms
            decision = self._decide(call, now_ms, avoids_lost=avoids_lost)
            if isinstance(decision, upstream_choice.Choice):
                if await self._wait_for_limit(call, decision):
                    return self._with_withdrawal(
                        call, decision, self._clock.now_ms()
                    )
                continue
            if decision is not None and not _opens_by(
                decision, now_ms, give_up_ms
            ):
                raise _refused(decision)
            if now_ms >= give_up_ms:
                raise self._no_upstream(call)
            await asyncio.sleep(CHOICE_POLL_MS / _MS)

    def has_replica(self, call: call_module.Call) -> bool:
        """Returns whether a replica could receive a call now."""
        decision = self._decide(call, self._clock.now_ms())
        return isinstance(decision, upstream_choice.Choice)

    def _give_up_ms(self, call: call_module.Call) -> float:
        """Returns until when a call waits for a replica, a clock reading."""
        if call.may_have_run:
            now_ms = self._clock.now_ms()
            return now_ms + BEGUN_HOLD_SHARE * call.caller_wait_ms(now_ms)
        wait_ms = HOLD_SHARE_MAX * call.route.objective_ms
        return min(call.request.received_ms + wait_ms, call.ends_ms)

    async def _wait_for_limit(
        self, call: call_module.Call, choice: upstream_choice.Choice
    ) -> bool:
        """Waits until the selected replica's rate limit permits the call.

        Returns:
          False if the call would wait too long, or if the replica no longer
          accepts it after the wait.
        """
        view = choice.view
        if view.limit is None:
            return True
        wait_ms = await self._limits.reserve(view, choice.limit_wait_max_ms)
        if wait_ms is None:
            return False
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / _MS)
        now_ms = self._clock.now_ms()
        needs = self._needs(call, now_ms)
        return replica_filters.still_admits(view, needs, now_ms)

    def _decide(
        self,
        call: call_module.Call,
        now_ms: clock.Millis,
        failed: Collection[str] | None = None,
        *,
        avoids_lost: bool = False,
    ) -> upstream_choice.Choice | admission.Refusal | None:
        """Returns the replica for a call, or why there is none.

        Args:
          call: the call.
          now_ms: the time.
          failed: ids of the replicas to exclude; by default, those at which
            the call has failed.
          avoids_lost: whether to exclude replicas that are likely lost.

        Returns:
          The choice, or the refusal; None if no replica may receive the call
          now.
        """
        caller_wait_ms = call.caller_wait_ms(now_ms)
        needs = msgspec.structs.replace(
            self._needs(call, now_ms), avoids_lost=avoids_lost
        )
        if failed is not None:
            needs = msgspec.structs.replace(needs, failed=failed)
        request = admission.Request(
            wanted=needs,
            elapsed_ms=call.elapsed_ms(now_ms),
            wait_max_ms=caller_wait_ms,
            oldest_behind=self._oldest_weights(
                call.service, caller_wait_ms, now_ms
            ),
            objective_ms=call.route.objective_ms,
            begun=call.relay.started,
            maybe_ran=call.maybe_ran,
        )
        views = self._table.of(call.service.service_id)
        return admission.decide(
            views, request, self._locations, now_ms, self._rng
        )

    def _needs(
        self, call: call_module.Call, now_ms: clock.Millis
    ) -> replica_filters.RequestNeeds:
        return replica_filters.RequestNeeds(
            engine=call.service.engine,
            prompt_tokens=call.info.prompt_tokens,
            events=call.expected_events(),
            oldest_weights=self._oldest_weights(
                call.service, version_cutoff.QUEUE_MARGIN_MS, now_ms
            ),
            cutoffs=self._cutoffs(call.service, now_ms),
            failed=call.failed,
            isolated=call.suspected,
            limit_wait_max_ms=call.limit_wait_max_ms(now_ms),
            placement=self._placement(call),
        )

    def _placement(self, call: call_module.Call) -> replica_filters.Placement:
        """Returns the data centres in which a call may run now.

        The configuration may have changed since the call arrived.
        """
        routes = self._routes()
        if routes is not None:
            customer = call.customer
            call.allowed_regions = routes.allowed_regions(
                call.info.host,
                call.info.path,
                None if customer is None else customer.customer_id,
                call.allowed_regions,
            )
        evacuated = self._catalog.evacuated
        if call.allowed_regions is None and not evacuated:
            return replica_filters.ANYWHERE
        return replica_filters.Placement(
            self._regions, call.allowed_regions, evacuated
        )

    def has_started_again(self, view: replica_view.ReplicaView) -> bool:
        """Returns whether a later start is known at a replica's address."""
        return any(
            replica_view.is_newer_start(other.born_ms, view.born_ms)
            for other in self._table.at(view.replica.address)
        )

    def may_write(
        self, call: call_module.Call, view: replica_view.ReplicaView
    ) -> bool:
        """Returns whether a call may be written to the selected replica now.

        Checks what may have changed since the choice: allowed regions,
        evacuations, the share of this entry in a cold replica, and whether this
        entry was suspended.
        """
        if self._holds_requests():
            return False
        data_centre = view.replica.data_centre
        if self._placement(call).exclusion(data_centre) is not None:
            return False
        return view.cold_wait_ms(self._clock.now_ms()) <= 0.0

    def _with_withdrawal(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        now_ms: clock.Millis,
    ) -> upstream_choice.Choice:
        """Returns a choice with the time until the request is withdrawn."""
        weights = choice.view.weights(now_ms)
        chosen = msgspec.structs.replace(choice, weights=weights)
        current = self.with_cutoffs(call, chosen)
        left_ms = current.withdrawal_ms(now_ms) - now_ms
        return msgspec.structs.replace(current, begins_within_ms=left_ms)

    def with_cutoffs(
        self, call: call_module.Call, choice: upstream_choice.Choice
    ) -> upstream_choice.Choice:
        """Returns a choice with the cutoffs that are known now.

        Versions are announced, or their ages become known, while a request
        waits.
        """
        target = self._target(call.service)
        if target is None:
            return choice
        bound_ms = self._version_bound_ms
        return msgspec.structs.replace(
            choice,
            begins_until_ms=version_cutoff.begins_until_ms(
                target, bound_ms, choice.weights, self._started_ms
            ),
            sent_until_ms=version_cutoff.sent_until_ms(
                target, bound_ms, choice.weights, self._started_ms
            ),
        )

    def _cutoffs(
        self, service: fleet.Service, now_ms: clock.Millis
    ) -> list[version_cutoff.VersionCutoff]:
        target = self._target(service)
        if target is None:
            return []
        return version_cutoff.upcoming_cutoffs(
            target, self._version_bound_ms, now_ms
        )

    def _target(self, service: fleet.Service) -> catalog.KnownTarget | None:
        if service.engine is None:
            return None
        return self._catalog.targets.get(service.engine.model)

    def _oldest_weights(
        self, service: fleet.Service, wait_ms: float, now_ms: clock.Millis
    ) -> int:
        if service.engine is None:
            return 0
        target = self._target(service)
        if target is None:
            return 1
        bound_ms = self._version_bound_ms
        return version_cutoff.oldest_allowed(
            target, bound_ms, self._started_ms, now_ms, wait_ms
        )

    def _no_upstream(self, call: call_module.Call) -> errors.CallError:
        ran = errors.Ran.UNKNOWN if call.maybe_ran else errors.Ran.NO
        return errors.CallError(
            errors.ErrorKind.NO_UPSTREAM,
            ran=ran,
            retry_after_ms=self.retry_after_ms(call),
        )

    def retry_after_ms(self, call: call_module.Call) -> int:
        """Returns the time in ms after which a refused caller should retry.

        Replicas at which the call failed count as well, since the retry is
        another request.
        """
        now_ms = self._clock.now_ms()
        decision = self._decide(call, now_ms, failed=())
        if isinstance(decision, upstream_choice.Choice):
            return int(admission.jittered_ms(RETRY_AFTER_OPEN_MS, self._rng))
        if decision is not None:
            return int(decision.retry_after_ms)
        if call.service.engine is None:
            return int(RETRY_AFTER_PLAIN_MS)
        return int(admission.jittered_ms(RETRY_AFTER_ENGINE_MS, self._rng))


def _opens_by(
    refusal: admission.Refusal, now_ms: clock.Millis, until_ms: float
) -> bool:
    """Returns whether a replica opens by the clock reading `until_ms`."""
    opens = refusal.reason in (
        admission.RefusalReason.PAUSED,
        admission.RefusalReason.COLD,
    )
    return opens and now_ms + refusal.late_ms < until_ms


def _refused(refusal: admission.Refusal) -> errors.CallError:
    kind = _ERROR_KINDS[refusal.reason]
    return errors.CallError(
        kind,
        _detail(refusal),
        ran=errors.Ran.NO,
        retry_after_ms=int(refusal.retry_after_ms),
    )


def _detail(refusal: admission.Refusal) -> str:
    if refusal.reason in (
        admission.RefusalReason.REGIONS,
        admission.RefusalReason.EVACUATED,
        admission.RefusalReason.DRAINING,
    ):
        return f"filter {refusal.reason.value} leaves no replica"
    if math.isinf(refusal.late_ms):
        return "all leave"
    late_ms = round(refusal.late_ms)
    match refusal.reason:
        case admission.RefusalReason.LATE:
            return f"would begin {late_ms} ms too late"
        case admission.RefusalReason.LIMITED:
            return f"room in {late_ms} ms"
        case admission.RefusalReason.PAUSED:
            return f"the first one opens in {late_ms} ms"
        case _:
            return f"the next send is possible in {late_ms} ms"
