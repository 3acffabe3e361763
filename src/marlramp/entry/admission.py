"""Admits or refuses calls by the settings, their deadlines and rate limits."""

from __future__ import annotations

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import limits
from marlramp.core.grant_calls import run_tokens
from marlramp.entry import agent_table
from marlramp.entry import service_state
from marlramp.settings import store

RETRY_AFTER_MAX_MS = 3_600_000
"""Longest wait before a retry that a refusal recommends, 1 h."""


class Admission:
    """Refuses calls that cannot or must not be served, before they are sent.

    Attributes:
      entry_count: number of listed entries, among which each customer's limit
        is divided.
      draining: whether this entry refuses all calls because it shuts down.
    """

    def __init__(
        self, settings: store.SettingsStore, table: agent_table.AgentTable
    ) -> None:
        """Starts without limits; a customer's first call creates its limit."""
        self._settings = settings
        self._table = table
        self._limits: dict[ids.CustomerId, limits.CustomerLimit] = {}
        self.entry_count = 1
        self.draining = False

    def apply_settings(self, now_ms: clock.Millis) -> None:
        """Applies changed settings or a changed `entry_count` to the limits."""
        for customer_id, limit in self._limits.items():
            values = self._settings.tree.effective(None, customer_id)
            limit.update(
                values.requests_per_s,
                values.tokens_per_s,
                values.burst_s,
                self.entry_count,
                now_ms,
            )

    def check(
        self, spec: calls.CallSpec, token: run_tokens.RunToken | None
    ) -> None:
        """Checks a call against the settings and its run token, if any.

        Raises:
          errors.CallError: if the call is refused.
        """
        if self.draining:
            raise errors.CallError(errors.ErrorKind.ENTRY_LEAVING)
        tree = self._settings.tree
        if not self._settings.complete:
            raise errors.CallError(errors.ErrorKind.SETTINGS_MISSING)
        if tree.service_kind(spec.service_id) is None:
            raise errors.CallError(errors.ErrorKind.UNKNOWN_SERVICE)
        if not tree.knows_customer(spec.customer_id):
            raise errors.CallError(errors.ErrorKind.UNKNOWN_CUSTOMER)
        requested = (spec.service_id, spec.customer_id)
        if token is not None and requested != (
            token.service_id,
            token.customer_id,
        ):
            raise errors.CallError(
                errors.ErrorKind.RUN_TOKEN_INVALID,
                "the run token is for another service or customer",
            )

    def check_deadline(
        self,
        spec: calls.CallSpec,
        service: service_state.ServiceState,
        now_ms: clock.Millis,
    ) -> None:
        """Checks that a call can end before its deadline.

        The expected wait is the expected duration of the requests ahead of
        the call in the queue, divided by the attempts in flight.

        Raises:
          errors.CallError: if no upstream serves the service, or if the
            deadline has passed or is expected to pass.
        """
        if not self._table.serving(spec.service_id):
            raise errors.CallError(errors.ErrorKind.NO_UPSTREAM)
        left_ms = spec.deadline_ms - now_ms
        if left_ms <= 0:
            raise errors.CallError(
                errors.ErrorKind.DEADLINE_EXCEEDED, ran=errors.Ran.NO
            )
        ahead = service.queue.ahead(spec.priority, spec.customer_id)
        if not ahead or not self._refuses_unreachable(spec):
            return
        work_ms = sum(service.run_duration.expected_ms(w.cost) for w in ahead)
        wait_ms = work_ms / max(1, service.in_flight)
        wait_ms += service.run_duration.expected_ms(spec.tokens)
        if wait_ms > left_ms:
            raise errors.CallError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                f"expected wait {wait_ms:.0f} ms",
                retry_after_ms=int(wait_ms - left_ms) + 1,
            )

    def misses_deadline(
        self,
        spec: calls.CallSpec,
        parts_delivered: int,
        service: service_state.ServiceState,
        now_ms: clock.Millis,
    ) -> bool:
        """Returns whether a call that starts now would end after its deadline.

        `parts_delivered` parts of the answer have been delivered and are not
        generated again.
        """
        if not self._refuses_unreachable(spec):
            return False
        expected_ms = service.run_duration.expected_ms(
            spec.tokens - parts_delivered
        )
        return now_ms + expected_ms > spec.deadline_ms

    def charge(self, spec: calls.CallSpec, now_ms: clock.Millis) -> None:
        """Charges a call to its customer's rate limit.

        Raises:
          errors.CallError: if the call exceeds the limit.
        """
        limit = self._limits.get(spec.customer_id)
        if limit is None:
            values = self._settings.tree.effective(None, spec.customer_id)
            limit = limits.CustomerLimit(
                values.requests_per_s,
                values.tokens_per_s,
                values.burst_s,
                self.entry_count,
                now_ms,
            )
            self._limits[spec.customer_id] = limit
        wait_ms = limit.admit(spec.tokens, now_ms)
        if wait_ms > 0:
            raise errors.CallError(
                errors.ErrorKind.CUSTOMER_LIMIT,
                retry_after_ms=min(int(wait_ms) + 1, RETRY_AFTER_MAX_MS),
            )

    def settle(
        self, spec: calls.CallSpec, tokens: int, now_ms: clock.Millis
    ) -> None:
        """Refunds the tokens that were charged but not generated."""
        limit = self._limits.get(spec.customer_id)
        if limit is not None:
            limit.settle(spec.tokens, min(tokens, spec.tokens), now_ms)

    def _refuses_unreachable(self, spec: calls.CallSpec) -> bool:
        values = self._settings.tree.effective(spec.service_id)
        return values.refuse_unreachable
