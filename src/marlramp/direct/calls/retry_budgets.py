"""The retry budgets of all services, and the calls that wait for a retry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core import rendezvous
from marlramp.core.requests import retry_share
from marlramp.core.requests import retry_wait
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import retry_log
from marlramp.settings import node

POLL_MS = 20.0
"""Time between two checks for a retry while calls wait for one."""

WAIT_SHARE_MAX = 0.5
"""Part of the caller's remaining wait for which a request waits for a retry."""


NOT_RUN_WAIT_SHARE = 0.5
"""Part of its objective for which a request that has not run waits for a retry.
It can be refused, and its caller may come back as soon as that."""


PROVISIONAL_WAITS_MAX = 3
"""Most requests of a service that wait while the number of entries is not known
yet. More of them show that too few retries are earned in any case."""


class EntryCount(Protocol):
    """The number of entries, as this one knows it."""

    @property
    def entries(self) -> int:
        """Number of entries by which bounds over the fleet are divided."""
        ...

    @property
    def entries_are_provisional(self) -> bool:
        """Whether a better number of entries is due soon."""
        ...


class _Service(msgspec.Struct):
    """The budget of one service.

    Attributes:
      share: this entry's part of the budget.
      waits: the calls that wait for a retry.
    """

    share: retry_share.RetryShare
    waits: retry_wait.RetryWaits


class RetryBudgets:
    """Spends the retries of this entry, for each service by itself."""

    def __init__(
        self,
        settings: node.NodeSettings,
        count: EntryCount,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Starts without any service.

        Args:
          settings: settings of the entry.
          count: the number of entries that share the budgets.
          totals: counters.
          time: the clock.
        """
        self._settings = settings
        self._count = count
        self._clock = time
        self._started_ms = time.now_ms()
        self._services: dict[ids.ServiceId, _Service] = {}
        self._log = retry_log.RetryLog(totals, time)

    def set_settings(self, settings: node.NodeSettings) -> None:
        """Applies changed settings; retries already spent stay counted."""
        self._settings = settings
        bounds = settings.bounds
        for service in self._services.values():
            service.share.configure(bounds.retry_ratio, bounds.retry_slack)

    def share_of(self, service_id: ids.ServiceId) -> retry_share.RetryShare:
        """Returns this entry's part of the budget of a service."""
        return self._of(service_id).share

    def record_request(self, service_id: ids.ServiceId) -> None:
        """Counts a request that a caller sent."""
        self.share_of(service_id).record_request(self._clock.now_ms())
        self._log.record_request(service_id)

    def has_retry(self, call: call_module.Call) -> bool:
        """Returns whether the next send of a call is covered now."""
        if call.has_unsent_retry:
            return True
        service = self._of(call.service.service_id)
        now_ms = self._clock.now_ms()
        if not service.waits and service.share.has_retry(
            self._count.entries, now_ms
        ):
            return True
        self._log.record_denied(call.service.service_id)
        return False

    def try_spend(self, call: call_module.Call) -> bool:
        """Spends a retry on a call; returns whether there was one."""
        if call.has_unsent_retry:
            return True
        service_id = call.service.service_id
        share = self.share_of(service_id)
        source = share.try_spend(self._count.entries, self._clock.now_ms())
        if source is None:
            return False
        call.retries_spent += 1
        self._log.record_spent(service_id, source)
        return True

    async def spend(
        self, call: call_module.Call, has_replica: Callable[[], bool]
    ) -> bool:
        """Spends a retry on a call, and waits for one that is earned in time.

        Args:
          call: the call.
          has_replica: returns whether any replica could take the call now. A
            call without one does not wait.

        Returns:
          Whether a retry was spent; False as soon as none is expected in time.
        """
        if call.has_unsent_retry:
            return True
        service_id = call.service.service_id
        service = self._of(service_id)
        now_ms = self._clock.now_ms()
        service.share.record_demand(now_ms)
        wait = retry_wait.RetryWait(
            begun=call.relay.started,
            objective_until_ms=now_ms + _objective_left_ms(call, now_ms),
            give_up_ms=now_ms + self._wait_max_ms(call, service, now_ms),
            since_ms=now_ms,
        )
        service.waits.add(wait)
        try:
            while not self._try_spend_next(call, service.waits, wait):
                expected_ms = self._expected_ms(service, wait)
                if expected_ms > wait.give_up_ms or not has_replica():
                    self._log.record_denied(service_id)
                    return False
                await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        finally:
            service.waits.remove(wait)
        self._log.record_wait(service_id, self._clock.now_ms() - now_ms)
        return True

    def _try_spend_next(
        self,
        call: call_module.Call,
        waits: retry_wait.RetryWaits,
        wait: retry_wait.RetryWait,
    ) -> bool:
        if waits.ahead_of(wait, self._clock.now_ms()):
            return False
        return self.try_spend(call)

    def _expected_ms(
        self, service: _Service, wait: retry_wait.RetryWait
    ) -> float:
        """Returns the clock reading at which a call is expected to be next.

        While this entry does not know the others yet, it may be next as soon as
        it does.
        """
        now_ms = self._clock.now_ms()
        if self._count.entries_are_provisional:
            return now_ms
        count = service.waits.ahead_of(wait, now_ms) + 1
        return now_ms + service.share.wait_ms(
            count, self._count.entries, now_ms
        )

    def _wait_max_ms(
        self,
        call: call_module.Call,
        service: _Service,
        now_ms: clock.Millis,
    ) -> float:
        """Returns how long a call may wait for a retry.

        While more retries are needed than are earned, each one that is waited
        for is missing for a request that would not have to wait. A stream that
        has begun waits all the same, since it would be cut.
        """
        wait_max_ms = WAIT_SHARE_MAX * call.caller_wait_ms(now_ms)
        if call.relay.started:
            return wait_max_ms
        if self._count.entries_are_provisional:
            few = len(service.waits) < PROVISIONAL_WAITS_MAX
            return wait_max_ms if few else 0.0
        if not service.share.covers_demand(self._count.entries, now_ms):
            return 0.0
        if not call.maybe_ran:
            objective_ms = call.route.objective_ms
            wait_max_ms = min(wait_max_ms, NOT_RUN_WAIT_SHARE * objective_ms)
        return wait_max_ms

    def refund_unsent(self, call: call_module.Call) -> None:
        """Takes back the retries of a call that no replica can have received.

        The call must not run at any replica.
        """
        while call.has_unsent_retry and call.retries_spent:
            call.retries_spent -= 1
            self.share_of(call.service.service_id).refund()
            self._log.record_refunded(call.service.service_id)

    def tick(self) -> None:
        """Writes the lines that are due."""
        self._log.tick(self._count.entries)

    def _of(self, service_id: ids.ServiceId) -> _Service:
        service = self._services.get(service_id)
        if service is None:
            bounds = self._settings.bounds
            share = retry_share.RetryShare(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_ms,
                self._started_ms,
                rendezvous.fraction(f"{service_id}\0{self._settings.vm_id}"),
            )
            service = _Service(share, retry_wait.RetryWaits())
            self._services[service_id] = service
        return service


def _objective_left_ms(call: call_module.Call, now_ms: clock.Millis) -> float:
    return max(0.0, call.route.objective_ms - call.elapsed_ms(now_ms))
