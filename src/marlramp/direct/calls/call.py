"""A request under way on the direct path."""

from __future__ import annotations

import functools

from marlramp import clock
from marlramp import ids
from marlramp.core import caller_timeout
from marlramp.core import fleet
from marlramp.core import request_fingerprint
from marlramp.core import send_limit
from marlramp.direct.calls import attempts
from marlramp.direct.calls import wire
from marlramp.shell import http1_server

HINT_FACTOR = 1.6
"""Margin on a caller's estimate of its output: half of all are too low."""

BEGUN_WAIT_SHARE = 0.5
"""Part of its caller's time that a request that has begun may wait for the
limit of another replica; it can't be refused any more."""

EVENTS_LEFT_MIN = 3.0
"""Events still expected of a stream that has outrun its estimate."""


class Call:
    """A request under way.

    Attributes:
      request: as the caller sent it.
      said: what the caller says of it.
      route: its route.
      service: the service that runs it.
      customer: its customer, None if there is none.
      responder: writes the answer.
      spent_ms: least time that the caller has spent on attempts before.
      relay: what the caller got of a stream.
      ends_ms: when its caller or its route has waited long enough.
      sends: replicas that it was sent to.
      runs: replicas that may have run it.
      maybe_ran: whether any replica may have run it.
      failed: ids of replicas that it failed at.
      suspected: whether it is suspected of a crash.
    """

    def __init__(
        self,
        request: http1_server.Request,
        said: wire.CallerCall,
        route: fleet.Route,
        service: fleet.Service,
        customer: fleet.Customer | None,
        responder: http1_server.Responder,
        spent_ms: float,
        time: clock.Clock,
    ) -> None:
        """Starts before the first send."""
        self.request = request
        self.said = said
        self.route = route
        self.service = service
        self.customer = customer
        self.responder = responder
        self.spent_ms = spent_ms
        self.relay = attempts.StreamRelay(responder, time)
        wait_ms = route.timeout_ms
        if said.wait_ms is not None:
            wait_ms = min(wait_ms, said.wait_ms)
        self.ends_ms = request.first_byte_ms + wait_ms
        self.sends = 0
        self.runs = 0
        self.maybe_ran = False
        self.failed: set[str] = set()
        self.suspected = False

    @functools.cached_property
    def fingerprint(self) -> ids.Fingerprint:
        """What recognises the request when it comes again."""
        customer = self.customer
        return request_fingerprint.fingerprint(
            self.request.method,
            self.said.host,
            self.request.target,
            None if customer is None else customer.customer_id,
            self.request.body,
        )

    def expected_events(self) -> float:
        """Returns the events that the answer is expected to have."""
        engine = self.service.engine
        if engine is None:
            return 1.0
        tokens = float(self.said.output_tokens_max)
        if self.said.output_tokens_hint:
            tokens = min(tokens, HINT_FACTOR * self.said.output_tokens_hint)
        expected = tokens / engine.steps_per_pass - self.relay.splitter.events
        return max(EVENTS_LEFT_MIN, expected)

    def left_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long there is left."""
        return self.ends_ms - now_ms

    def stays_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long the caller waits for the answer to begin."""
        left_ms = self.left_ms(now_ms)
        if not self.route.streaming:
            return left_ms
        gap_timeout_ms = caller_timeout.gap_timeout_ms(self.route)
        return min(left_ms, gap_timeout_ms - self._gap_ms(now_ms))

    def limit_wait_max_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long the answer may wait for the limits of replicas."""
        if self.relay.started or self.maybe_ran:
            return self.stays_ms(now_ms) * BEGUN_WAIT_SHARE
        left_ms = self.route.objective_ms - self.elapsed_ms(now_ms)
        return send_limit.wait_max_ms(left_ms, self._rank())

    def _rank(self) -> int:
        """Returns how urgent the call is, 0 first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def may_have_left(self, now_ms: clock.Millis) -> bool:
        """Returns whether the caller may be gone though no word of it came."""
        return caller_timeout.may_have_left(self.route, self._gap_ms(now_ms))

    def _gap_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time since the caller sent or got anything."""
        return now_ms - max(self.request.received_ms, self.relay.passed_ms)

    def elapsed_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time since the caller first tried, as far as it says."""
        return self.spent_ms + now_ms - self.request.first_byte_ms
