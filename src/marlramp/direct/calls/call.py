"""The state of a request that is in progress on the direct path."""

from __future__ import annotations

import functools

from marlramp import clock
from marlramp.core.configuration import fleet
from marlramp.core.crashes import possible_causes
from marlramp.core.replicas import send_limit
from marlramp.core.requests import caller_timeout
from marlramp.core.requests import request_fingerprint
from marlramp.core.requests import retries
from marlramp.direct.calls import attempts
from marlramp.direct.calls import backpressure
from marlramp.direct.calls import wire
from marlramp.shell import http1_server

HINT_FACTOR = 1.6
"""Factor on a caller's estimate of its output tokens: half of all estimates are
too low."""

BEGUN_WAIT_SHARE = 0.5
"""Part of the caller's remaining wait for which a request that has begun or may
have run may wait for the rate limit of another replica. The request can no
longer be refused."""

EVENTS_LEFT_MIN = 3.0
"""Least number of events that a stream is still expected to have, also when it
has exceeded its estimate."""


class Call:
    """A request that is in progress.

    Attributes:
      request: the request as the caller sent it.
      info: what the request's headers say.
      route: the request's route.
      service: the service that runs the request.
      customer: the request's customer, None if there is none.
      responder: writes the answer to the caller.
      spent_ms: least time that the caller has spent on earlier attempts at
        the request.
      relay: forwards the events of a stream to the caller.
      backpressure: stops reading from replicas while the caller can't keep up.
      ends_ms: clock reading at which the request times out, for its caller or
        its route.
      sends: number of replicas that the request was sent to.
      pauses: number of these that refused it and are paused since.
      written: number of replicas that may have received the request.
      retries_spent: number of retries of the budget that were spent on it.
      runs: number of replicas that may have run the request.
      maybe_ran: whether any replica may have run the request.
      failed_outcome: the last failure that a replica itself answered, None
        without one.
      retry_denial: why the request was not retried after its last failure,
        None if it was, or if it has not failed.
      failed: ids of the replicas at which the request failed.
      suspected: whether the request is suspected of a crash.
      allowed_regions: regions in which the request may run, None if all are
        allowed; as of the last choice of a replica.
      on_trial: whether the current attempt is a trial of a condemned part of
        prompts.
    """

    def __init__(
        self,
        request: http1_server.Request,
        info: wire.RequestInfo,
        route: fleet.Route,
        service: fleet.Service,
        customer: fleet.Customer | None,
        responder: http1_server.Responder,
        spent_ms: float,
        time: clock.Clock,
    ) -> None:
        """Creates the state of a request that was not sent yet."""
        self.request = request
        self.info = info
        self.route = route
        self.service = service
        self.customer = customer
        self.responder = responder
        self.spent_ms = spent_ms
        self.relay = attempts.StreamRelay(responder, time)
        self.backpressure = backpressure.Backpressure(responder, time)
        wait_ms = route.timeout_ms
        if info.wait_ms is not None:
            wait_ms = min(wait_ms, info.wait_ms)
        self.ends_ms = request.first_byte_ms + wait_ms
        self.sends = 0
        self.pauses = 0
        self.written = 0
        self.retries_spent = 0
        self.runs = 0
        self.maybe_ran = False
        self.failed_outcome: attempts.Outcome | None = None
        self.retry_denial: retries.RetryDenial | None = None
        self.failed: set[str] = set()
        self.suspected = False
        self.on_trial = False
        self.allowed_regions: frozenset[str] | None = None

    @functools.cached_property
    def causes(self) -> possible_causes.PossibleCauses:
        """What of the request may be the cause of a crash."""
        customer = self.customer
        content = request_fingerprint.fingerprint(
            self.request.method,
            self.info.host,
            self.request.target,
            None if customer is None else customer.customer_id,
            self.request.body,
        )
        engine = self.service.engine
        scope = self.service.service_id if engine is None else engine.model
        return possible_causes.PossibleCauses(
            content,
            tuple(
                possible_causes.part_fingerprint(scope, part)
                for part in self.info.shared_parts
            ),
        )

    def expected_events(self) -> float:
        """Returns how many more events the answer is expected to have."""
        engine = self.service.engine
        if engine is None:
            return 1.0
        tokens = float(self.info.output_tokens_max)
        if self.info.output_tokens_hint:
            tokens = min(tokens, HINT_FACTOR * self.info.output_tokens_hint)
        expected = tokens / engine.steps_per_pass - self.relay.events
        return max(EVENTS_LEFT_MIN, expected)

    def left_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time until the request times out."""
        return self.ends_ms - now_ms

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request."""
        return self.relay.started or self.maybe_ran

    @property
    def has_unsent_retry(self) -> bool:
        """Whether the budget already covers another send.

        The first send that a replica may have received needs no retry, and
        neither does one in place of a retry that was not written.
        """
        return self.written <= self.retries_spent

    def caller_wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns how much longer the caller waits for the next data.

        For a stream, the timeout between two events counts as well.
        """
        left_ms = self.left_ms(now_ms)
        if not self.route.streaming:
            return left_ms
        gap_timeout_ms = caller_timeout.gap_timeout_ms(self.route)
        return min(left_ms, gap_timeout_ms - self._gap_ms(now_ms))

    def limit_wait_max_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long the request may wait for replicas' rate limits."""
        if self.relay.started or self.maybe_ran:
            return self.caller_wait_ms(now_ms) * BEGUN_WAIT_SHARE
        left_ms = self.route.objective_ms - self.elapsed_ms(now_ms)
        return send_limit.wait_max_ms(left_ms, self._priority())

    def _priority(self) -> int:
        """Returns the priority of the request, 0 for the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def may_have_left(self, now_ms: clock.Millis) -> bool:
        """Returns whether the caller may have left unnoticed."""
        return caller_timeout.may_have_left(self.route, self._gap_ms(now_ms))

    def _gap_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time since the caller last sent or received data."""
        return now_ms - max(self.request.received_ms, self.relay.forwarded_ms)

    def elapsed_ms(self, now_ms: clock.Millis) -> float:
        """Returns the least time since the caller's first attempt."""
        return self.spent_ms + now_ms - self.request.first_byte_ms
