"""Sends callers' requests to replicas: admission, retries, resumption."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp import logs
from marlramp.core import admission_rule
from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.core import replica_table
from marlramp.core import retries
from marlramp.core import retry_share
from marlramp.core import route_table
from marlramp.core import upstream_choice
from marlramp.core import weights_gate
from marlramp.direct import attempts
from marlramp.direct import own_answers
from marlramp.direct import wire
from marlramp.settings import node
from marlramp.shell import http1_client
from marlramp.shell import http1_server

SENDS_MAX = 4
"""Replicas that one request is sent to, counting those that refused it."""

CHOICE_POLL_MS = 20.0
"""Between two looks for a replica while none takes work: agents report a
change as soon."""

HOLD_SHARE_MAX = 0.22
"""Part of its objective that a request waits for a replica to open; beyond a
quarter a wait without an offer costs more than an early refusal."""

STALL_FLOOR_MS = 900.0
"""A stream that brought nothing for this long is taken to another replica:
more than twice the longest pause that counts as on time."""

STALL_FACTOR = 2.5
"""A first event is late at this multiple of its predicted time."""

PLAIN_STALL_SHARE = 0.4
"""Part of the caller's time after which a plain idempotent request is tried
elsewhere."""

FRESH_IDLE_SHARE = 0.5
"""Part of a connection's idle time within which it takes a request that may
run only once: a close on the way would leave its outcome unknown."""

HINT_FACTOR = 1.6
"""Margin on a caller's estimate of its output: half of all are too low."""

EVENTS_LEFT_MIN = 3.0
"""Events still expected of a stream that has outrun its estimate."""

RESUMED_PRIORITY = 1
"""Rank of a stream that goes on: its caller sees the gap."""

RETURNING_PRIORITY = 3
"""Rank of a request whose caller was refused before; others have 5."""

RETRY_AFTER_DEFAULT_MS = 500.0
"""When to come back if nothing better is known."""

USUAL_PROMPT_TOKENS = 1_000.0
"""Tokens of a usual prompt."""

_MS = clock.MILLIS_PER_SECOND


class Surroundings(Protocol):
    """What the forwarder asks the process that it belongs to."""

    @property
    def routes(self) -> route_table.RouteTable | None:
        """The configuration in force, None before the first."""
        ...

    @property
    def entries(self) -> int:
        """The most entries known lately."""
        ...

    def refuses(self) -> bool:
        """Whether this entry takes no new requests."""
        ...


class _Call:
    """A request under way."""

    def __init__(
        self,
        request: http1_server.Request,
        said: wire.CallerCall,
        route: fleet.Route,
        service: fleet.Service,
        customer: fleet.Customer | None,
        responder: http1_server.Responder,
    ) -> None:
        self.request = request
        self.said = said
        self.route = route
        self.service = service
        self.customer = customer
        self.responder = responder
        self.relay = attempts.StreamRelay(responder)
        wait_ms = route.timeout_ms
        if said.wait_ms is not None:
            wait_ms = min(wait_ms, said.wait_ms)
        self.ends_ms = request.received_ms + wait_ms
        self.sends = 0
        self.runs = 0
        self.maybe_ran = False
        self.failed: set[str] = set()

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


class _Try(msgspec.Struct):
    """What became of one send."""

    outcome: attempts.Outcome
    stalled: bool = False
    first_event_ms: float | None = None


class _ReplicaObserver:
    """Keeps a replica's view in step with one attempt there."""

    def __init__(
        self,
        choice: upstream_choice.Choice,
        prompt_tokens: int,
        time: clock.Clock,
    ) -> None:
        view = choice.view
        self._view = view
        self._unbiased_ms = choice.unbiased_ms
        self._tokens = prompt_tokens
        self._clock = time
        self._sent_ms = time.now_ms()
        self._first_ms: float | None = None
        self.first_event_ms: float | None = None
        view.note_sent(prompt_tokens, time.now_ms())

    def on_answer(self, answer: wire.ReplicaAnswer) -> None:
        """Takes the load and the weights that the answer tells."""
        now_ms = self._clock.now_ms()
        view = self._view
        view.heard_ms = now_ms
        if answer.load is not None:
            view.note_load(answer.load.running, answer.load.waiting, now_ms)
        if answer.weights is not None:
            view.seen_weights = answer.weights
            view.seen_ms = now_ms

    def on_first(self) -> None:
        """Takes the prompt as read."""
        self._first_ms = self._clock.now_ms()
        self._view.heard_ms = self._first_ms
        taken_ms = self._first_ms - self._sent_ms
        self.first_event_ms = taken_ms
        self._view.note_first(taken_ms, self._unbiased_ms)
        self._read()

    def ended(self, outcome: attempts.Outcome, events: int | None) -> None:
        """Takes the end of the attempt.

        Args:
          outcome: how it ended.
          events: events that a stream brought, None for a plain request.
        """
        now_ms = self._clock.now_ms()
        self._read()
        self._view.note_ended()
        failure = outcome.failure
        if failure is None:
            self._view.note_good()
            if events is not None and self._first_ms is not None:
                self._view.note_run(now_ms - self._first_ms, events)
            elif events is None:
                self._view.note_answered(now_ms - self._sent_ms)
        elif failure.ran is errors.Ran.NO:
            self._spare(outcome, now_ms)
        elif outcome.answer is not None:
            self._view.note_error()
        else:
            self._view.note_broken(now_ms)

    def left(self) -> None:
        """The caller left before the attempt ended."""
        self._read()
        self._view.note_ended()

    def _read(self) -> None:
        self._view.note_read(self._tokens)
        self._tokens = 0

    def _spare(self, outcome: attempts.Outcome, now_ms: clock.Millis) -> None:
        """Leaves a replica alone that refused or was not reached."""
        if outcome.answer is None:
            self._view.note_broken(now_ms)
            return
        wait_ms = replica_table.BUSY_BACKOFF_MS
        if outcome.answer.status == errors.MISDIRECTED:
            wait_ms = replica_table.MISDIRECTED_BACKOFF_MS
            self._view.seen_weights = None
        self._view.not_before_ms = now_ms + wait_ms


class Forwarder:
    """Serves the requests of callers on the direct path."""

    def __init__(
        self,
        surroundings: Surroundings,
        known: catalog.Catalog,
        table: replica_table.ReplicaTable,
        codec: wire.CallCodec,
        settings: node.NodeSettings,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Chooses replicas from `table` and reads headers through `codec`."""
        self._surroundings = surroundings
        self._catalog = known
        self._table = table
        self._codec = codec
        self._settings = settings
        self._totals = totals
        self._clock = time
        self._started_ms = time.now_ms()
        self._rng = random.Random()
        self._near: Collection[str] = frozenset(
            name
            for name, region in settings.regions.items()
            if region == settings.region
        )
        self._pools: dict[str, http1_client.ConnectionPool] = {}
        self._budgets: dict[ids.ServiceId, retry_share.RetryShare] = {}
        self.active = 0

    async def handle(
        self,
        request: http1_server.Request,
        responder: http1_server.Responder,
    ) -> None:
        """Answers one request."""
        self.active += 1
        request_id = ""
        try:
            said = self._codec.read(request)
            request_id = said.request_id
            call = self._admit(request, said, responder)
            await self._run(call)
        except errors.CallError as failure:
            self._fail(request_id, failure, responder)
        except Exception as error:
            self._totals.add(counters.CounterName.INTERNAL_ERRORS, "forwarder")
            logs.log_exception("internal_error", error, request=request_id)
            responder.abort()
        finally:
            self.active -= 1

    def set_settings(self, settings: node.NodeSettings) -> None:
        """Takes changed bounds; repeats already spent stay counted."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.configure(
                settings.bounds.retry_ratio, settings.bounds.retry_slack
            )

    def tick(self) -> None:
        """Closes connections that were idle for too long."""
        for pool in self._pools.values():
            pool.drop_stale()

    def forget(self, replica_ids: list[str]) -> None:
        """Drops connections to replicas that are gone."""
        for replica_id in replica_ids:
            pool = self._pools.pop(replica_id, None)
            if pool is not None:
                pool.close()

    # Admission.

    def _admit(
        self,
        request: http1_server.Request,
        said: wire.CallerCall,
        responder: http1_server.Responder,
    ) -> _Call:
        routes = self._surroundings.routes
        if self._surroundings.refuses():
            raise errors.CallError(errors.ErrorKind.ENTRY_LEAVING)
        if routes is None:
            raise errors.CallError(errors.ErrorKind.SETTINGS_MISSING)
        route = routes.find(said.host, said.path)
        customer = routes.customer(route, said.authorization)
        service_id = routes.service_of(route, said.request_id)
        service = routes.services.get(service_id)
        if service is None:
            raise errors.CallError(errors.ErrorKind.NO_UPSTREAM)
        self._totals.add(counters.CounterName.REQUESTS, route.kind.value)
        self._budget(service_id).record_request(self._clock.now_ms())
        return _Call(request, said, route, service, customer, responder)

    def _budget(self, service_id: ids.ServiceId) -> retry_share.RetryShare:
        budget = self._budgets.get(service_id)
        if budget is None:
            bounds = self._settings.bounds
            budget = retry_share.RetryShare(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
            )
            self._budgets[service_id] = budget
        return budget

    # The loop over attempts.

    async def _run(self, call: _Call) -> None:
        while True:
            choice = await self._choose(call)
            tried = await self._try(call, choice)
            failure = tried.outcome.failure
            if failure is None:
                self._succeed(call, tried, choice)
                return
            self._note_failure(call, choice, failure)
            step = self._may_retry(call, failure)
            if step is None:
                self._give_up(call, tried.outcome)
                return
            self._totals.add(counters.CounterName.RETRIES, step.value)

    async def _choose(self, call: _Call) -> upstream_choice.Choice:
        """Returns the best replica, waiting a little while none is open.

        Raises:
          CallError: if none can take the request in time.
        """
        hold_ms = HOLD_SHARE_MAX * call.route.objective_ms
        give_up_ms = min(call.request.received_ms + hold_ms, call.ends_ms)
        while True:
            now_ms = self._clock.now_ms()
            ranked = self._rank(call, now_ms)
            if ranked:
                self._check_lateness(call, ranked[0], now_ms)
                return ranked[0]
            if now_ms >= give_up_ms:
                raise self._no_upstream(call)
            await asyncio.sleep(CHOICE_POLL_MS / _MS)

    def _rank(
        self, call: _Call, now_ms: clock.Millis
    ) -> list[upstream_choice.Choice]:
        wanted = upstream_choice.Wanted(
            engine=call.service.engine,
            prompt_tokens=call.said.prompt_tokens,
            events=call.expected_events(),
            oldest_weights=self._oldest_weights(call.service, now_ms),
            failed=call.failed,
        )
        views = self._table.of(call.service.service_id)
        return upstream_choice.rank(views, wanted, self._near, now_ms)

    def _check_lateness(
        self, call: _Call, choice: upstream_choice.Choice, now_ms: float
    ) -> None:
        """Refuses a request that would begin too late even at the best engine.

        Raises:
          CallError: if it is refused.
        """
        engine = call.service.engine
        if engine is None or call.relay.started or call.maybe_ran:
            return
        returning = admission_rule.is_returning(
            call.said.wait_ms, call.route.timeout_ms
        )
        late_ms = admission_rule.lateness_ms(
            choice.predicted_ms,
            call.said.prompt_tokens / engine.read_tokens_per_ms,
            USUAL_PROMPT_TOKENS / engine.read_tokens_per_ms,
            now_ms - call.request.received_ms,
            call.route.objective_ms,
            returning=returning,
        )
        if late_ms <= 0.0:
            return
        raise errors.CallError(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            f"would begin {round(late_ms)} ms too late",
            ran=errors.Ran.NO,
            retry_after_ms=int(
                admission_rule.retry_after_ms(late_ms, self._rng)
            ),
        )

    def _oldest_weights(
        self, service: fleet.Service, now_ms: clock.Millis
    ) -> int:
        if service.engine is None:
            return 0
        target = self._catalog.targets.get(service.engine.model)
        if target is None:
            return 1
        bound_ms = self._settings.bounds.version_ms
        return weights_gate.oldest_allowed(
            target, bound_ms, self._started_ms, now_ms
        )

    def _no_upstream(self, call: _Call) -> errors.CallError:
        ran = errors.Ran.UNKNOWN if call.maybe_ran else errors.Ran.NO
        return errors.CallError(
            errors.ErrorKind.NO_UPSTREAM,
            ran=ran,
            retry_after_ms=int(RETRY_AFTER_DEFAULT_MS),
        )

    def _may_retry(
        self, call: _Call, failure: errors.CallError
    ) -> retries.RetryReason | None:
        repeatable = call.route.repeatable
        reason = retries.retry_reason(failure, idempotent=repeatable)
        now_ms = self._clock.now_ms()
        if reason is None or call.sends >= SENDS_MAX:
            return None
        if call.runs >= call.route.attempts_max and call.maybe_ran:
            return None
        if call.left_ms(now_ms) <= 0:
            return None
        budget = self._budget(call.service.service_id)
        if not budget.try_spend(self._surroundings.entries, now_ms):
            self._totals.add(counters.CounterName.REFUSALS, "retry_budget")
            return None
        return reason

    def _note_failure(
        self,
        call: _Call,
        choice: upstream_choice.Choice,
        failure: errors.CallError,
    ) -> None:
        call.failed.add(choice.view.replica.replica_id)
        if failure.ran is not errors.Ran.NO:
            call.runs += 1
            call.maybe_ran = True
        logs.log(
            "attempt_failed",
            request=call.said.request_id,
            replica=choice.view.replica.replica_id,
            kind=failure.kind.value,
            detail=failure.detail,
            ran=failure.ran.value,
            sends=call.sends,
            predicted_ms=round(choice.predicted_ms),
        )

    # One attempt.

    async def _try(self, call: _Call, choice: upstream_choice.Choice) -> _Try:
        view = choice.view
        call.sends += 1
        observer = _ReplicaObserver(
            choice, call.said.prompt_tokens, self._clock
        )
        connection: http1_client.ReplicaConnection | None = None
        try:
            pool = self._pool(view.replica)
            connection = await self._connect(call, pool)
            if connection is None:
                outcome = attempts.Outcome(
                    failure=errors.CallError(
                        errors.ErrorKind.UPSTREAM_LOST,
                        "no connection",
                        ran=errors.Ran.NO,
                    )
                )
                observer.ended(outcome, None)
                return _Try(outcome)
            tried = await self._exchange(call, choice, connection, observer)
        except asyncio.CancelledError:
            observer.left()
            if connection is not None:
                connection.abort()
            logs.log("caller_left", request=call.said.request_id)
            raise
        events = call.relay.splitter.events if call.route.streaming else None
        observer.ended(tried.outcome, events)
        tried.first_event_ms = observer.first_event_ms
        if tried.stalled:
            connection.abort()
        pool.give_back(connection)
        return tried

    async def _connect(
        self, call: _Call, pool: http1_client.ConnectionPool
    ) -> http1_client.ReplicaConnection | None:
        share = 1.0 if call.route.repeatable else FRESH_IDLE_SHARE
        connection = pool.take_idle(share)
        if connection is not None:
            return connection
        try:
            return await pool.open()
        except OSError as error:
            logs.log(
                "connect_failed", request=call.said.request_id, error=error
            )
            return None

    async def _exchange(
        self,
        call: _Call,
        choice: upstream_choice.Choice,
        connection: http1_client.ReplicaConnection,
        observer: _ReplicaObserver,
    ) -> _Try:
        attempt = self._attempt(call, observer)
        dispatch = self._dispatch(call, choice.view)
        head = self._codec.head(call.request, dispatch)
        call.responder.on_pressure(connection.pause, connection.resume)
        connection.send(call.request.method, head, call.request.body, attempt)
        while True:
            limit_ms = self._limit_ms(call, choice, attempt)
            wait_ms = limit_ms - self._clock.now_ms()
            if wait_ms > 0:
                await asyncio.wait([attempt.finished], timeout=wait_ms / _MS)
            if attempt.finished.done():
                return _Try(attempt.finished.result())
            if self._clock.now_ms() >= self._limit_ms(call, choice, attempt):
                return _Try(self._stalled(call, attempt), stalled=True)

    def _attempt(
        self, call: _Call, observer: _ReplicaObserver
    ) -> attempts.Attempt:
        if call.route.streaming:
            call.relay.splitter.reset()
            return attempts.StreamAttempt(
                self._codec, call.said, observer, self._clock, call.relay
            )
        return attempts.Attempt(self._codec, call.said, observer, self._clock)

    def _dispatch(
        self, call: _Call, view: replica_table.ReplicaView
    ) -> wire.Dispatch:
        now_ms = self._clock.now_ms()
        engine = call.service.engine
        return wire.Dispatch(
            replica_id=view.replica.replica_id,
            wait_ms=call.left_ms(now_ms),
            customer_id=None
            if call.customer is None
            else call.customer.customer_id,
            weights=None if engine is None else view.weights(now_ms),
            priority=self._priority(call),
            resume_after=call.relay.splitter.last_id,
        )

    def _priority(self, call: _Call) -> int | None:
        """Returns the rank in the replica's queue, None for the default."""
        if call.relay.started:
            return RESUMED_PRIORITY
        if call.service.engine is not None and admission_rule.is_returning(
            call.said.wait_ms, call.route.timeout_ms
        ):
            return RETURNING_PRIORITY
        return None

    def _limit_ms(
        self,
        call: _Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> float:
        """Returns until when the attempt is waited for."""
        if not call.route.repeatable or call.runs + 1 > (
            call.route.attempts_max - 1
        ):
            return call.ends_ms
        if not call.route.streaming:
            wait_ms = call.ends_ms - call.request.received_ms
            stall_ms = PLAIN_STALL_SHARE * wait_ms
        elif attempt.begun:
            stall_ms = STALL_FLOOR_MS
        else:
            stall_ms = max(STALL_FLOOR_MS, STALL_FACTOR * choice.predicted_ms)
        return min(call.ends_ms, attempt.progress_ms + stall_ms)

    def _stalled(
        self, call: _Call, attempt: attempts.Attempt
    ) -> attempts.Outcome:
        late = self._clock.now_ms() >= call.ends_ms
        kind = errors.ErrorKind.UPSTREAM_LOST
        if late:
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
        return attempts.Outcome(
            failure=errors.CallError(
                kind, "no answer in time", ran=errors.Ran.UNKNOWN
            )
        )

    def _pool(self, replica: fleet.Replica) -> http1_client.ConnectionPool:
        pool = self._pools.get(replica.replica_id)
        if pool is None:
            host, _, port = replica.address.rpartition(":")
            pool = http1_client.ConnectionPool(host, int(port), self._clock)
            self._pools[replica.replica_id] = pool
        return pool

    # Ends.

    def _succeed(
        self,
        call: _Call,
        tried: _Try,
        choice: upstream_choice.Choice,
    ) -> None:
        answer = tried.outcome.answer
        if answer is not None and not call.responder.ended:
            body = tried.outcome.body
            call.responder.answer(answer.status, answer.headers, body)
        logs.log(
            "request_served",
            request=call.said.request_id,
            replica=choice.view.replica.replica_id,
            status=0 if answer is None else answer.status,
            sends=call.sends,
            predicted_ms=round(choice.predicted_ms),
            first_ms=round(tried.first_event_ms or 0.0),
            taken_ms=round(self._clock.now_ms() - call.request.received_ms),
        )

    def _give_up(self, call: _Call, outcome: attempts.Outcome) -> None:
        """Ends a call that failed, with the replica's own answer if it ran."""
        answer = outcome.answer
        if call.relay.started:
            logs.log("stream_broken", request=call.said.request_id)
            self._totals.add(counters.CounterName.REFUSALS, "stream_broken")
            call.responder.abort()
            return
        if answer is not None and not answer.not_run:
            call.responder.answer(answer.status, answer.headers, outcome.body)
            return
        failure = outcome.failure
        if failure is None:
            raise ValueError("the outcome is no failure")
        raise errors.CallError(
            failure.kind,
            failure.detail,
            ran=errors.Ran.UNKNOWN if call.maybe_ran else errors.Ran.NO,
            retry_after_ms=int(RETRY_AFTER_DEFAULT_MS),
        )

    def _fail(
        self,
        request_id: str,
        failure: errors.CallError,
        responder: http1_server.Responder,
    ) -> None:
        self._totals.add(counters.CounterName.REFUSALS, failure.kind.value)
        logs.log(
            "request_failed",
            request=request_id,
            kind=failure.kind.value,
            detail=failure.detail,
            ran=failure.ran.value,
            status=own_answers.status_of(failure),
            retry_after_ms=failure.retry_after_ms,
        )
        if responder.started:
            responder.abort()
            return
        own_answers.give(responder, failure, request_id)
