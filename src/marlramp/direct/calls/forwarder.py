"""Serves the requests of callers: admission, retries and final answers."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import math
import random
from typing import Protocol

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice
from marlramp.core.requests import caller_wait_estimate
from marlramp.core.requests import retries
from marlramp.direct.calls import attempts
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import crash_detector
from marlramp.direct.calls import own_answers
from marlramp.direct.calls import rate_limits
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import retry_budgets
from marlramp.direct.calls import running_attempts
from marlramp.direct.calls import selection
from marlramp.direct.calls import sender
from marlramp.direct.calls import wire
from marlramp.settings import node
from marlramp.shell import http1_server

SENDS_MAX = 4
"""Most replicas that one request is sent to, including those that refuse it,
without those that ask for a pause."""

SENDS_WITH_PAUSES_MAX = 8
"""Most replicas that one request is sent to. A replica that asks for a pause is
sent nothing more meanwhile, so that each pause is met once, by this request or
by a later one. With 4 sends in all, one of 495 first requests after a third of
12 replicas paused met 4 of these and was refused."""


class EntryState(Protocol):
    """The state of the entry that the forwarder belongs to."""

    @property
    def routes(self) -> route_table.RouteTable | None:
        """The routes in force, None before the first configuration."""
        ...

    @property
    def entries(self) -> int:
        """Number of entries by which bounds over the fleet are divided."""
        ...

    @property
    def entries_are_provisional(self) -> bool:
        """Whether a better number of entries is due soon."""
        ...

    def refuses(self) -> bool:
        """Returns whether this entry refuses new requests."""
        ...

    def holds_requests(self) -> bool:
        """Returns whether requests wait until missed changes have arrived."""
        ...


class Latencies(Protocol):
    """Histograms of the latencies that callers see."""

    def record_first_event(self, elapsed_ms: float) -> None:
        """Records the time from a send to the first event of a stream."""
        ...

    def record_answer(self, elapsed_ms: float) -> None:
        """Records the time from a request to the end of its answer."""
        ...


class Forwarder:
    """Serves the requests of callers on the direct path."""

    def __init__(
        self,
        state: EntryState,
        known: catalog.Catalog,
        table: replica_table.ReplicaTable,
        codec: wire.CallCodec,
        settings: node.NodeSettings,
        crashes: crash_detector.CrashDetector,
        limits: rate_limits.RateLimits,
        totals: counters.Counters,
        latencies: Latencies,
        time: clock.Clock,
    ) -> None:
        """Creates a forwarder without requests.

        Args:
          state: state of the entry.
          known: the announced versions of the weights.
          table: the replicas.
          codec: reads and writes request headers.
          settings: settings of the entry.
          crashes: detects crashes, and knows the blocked requests.
          limits: rate limits of replicas.
          totals: counters.
          latencies: histograms.
          time: the clock.
        """
        self._state = state
        self._crashes = crashes
        self._codec = codec
        self._settings = settings
        self._totals = totals
        self._latencies = latencies
        self._clock = time
        self._selector = selection.Selector(
            known,
            table,
            settings,
            limits,
            lambda: state.routes,
            state.holds_requests,
            time,
        )
        self._signals = replica_signals.ReplicaSignals(
            settings.bounds.drain_ms, totals, time, random.Random()
        )
        self._sender = sender.Sender(
            codec,
            crashes,
            limits,
            self._signals,
            self._selector,
            settings.vm_limits,
            time,
        )
        self.retry_budgets = retry_budgets.RetryBudgets(
            settings, state, totals, time
        )
        self._wait_estimates: dict[
            tuple[str, float], caller_wait_estimate.CallerWaitEstimate
        ] = {}
        self.active = 0

    async def handle(
        self,
        request: http1_server.Request,
        responder: http1_server.Responder,
    ) -> None:
        """Answers one request, also if it fails."""
        self.active += 1
        request_id = ""
        call: call_module.Call | None = None
        try:
            info = self._codec.read(request)
            request_id = info.request_id
            call = self._admit(request, info, responder)
            await self._run(call)
        except errors.CallError as failure:
            self._fail(request_id, call, failure, responder)
        except Exception as error:
            self._totals.add(counters.CounterName.INTERNAL_ERRORS, "forwarder")
            logs.log_exception("internal_error", error, request=request_id)
            internal = errors.CallError(errors.ErrorKind.INTERNAL)
            self._fail(request_id, call, internal, responder)
        finally:
            if call is not None:
                self.retry_budgets.refund_unsent(call)
            self.active -= 1

    def set_settings(self, settings: node.NodeSettings) -> None:
        """Applies changed settings; retries already spent stay counted."""
        self._settings = settings
        self._selector.set_settings(settings)
        self._sender.set_vm_limits(settings.vm_limits)
        self._signals.set_drain(settings.bounds.drain_ms)
        self.retry_budgets.set_settings(settings)

    def set_cell(self, hosts: Collection[str]) -> None:
        """Sets the addresses of the VMs whose engines belong to the cell."""
        self._selector.set_cell(hosts)

    def tick(self) -> None:
        """Closes connections that were idle too long; writes lines due."""
        self._sender.tick()
        self._signals.tick()
        self.retry_budgets.tick()

    def forget(self, replica_ids: list[str]) -> None:
        """Forgets replicas that are gone or were restarted."""
        self._sender.forget(replica_ids)
        self._signals.forget(replica_ids)
        self._crashes.handle_gone(replica_ids)

    def record_leaving(self, view: replica_view.ReplicaView) -> None:
        """Records that a replica leaves, as reported by its agent."""
        self._signals.record_leaving(view, "agent")

    # Admission.

    def _admit(
        self,
        request: http1_server.Request,
        info: wire.RequestInfo,
        responder: http1_server.Responder,
    ) -> call_module.Call:
        routes = self._state.routes
        if self._state.refuses():
            raise errors.CallError(errors.ErrorKind.ENTRY_LEAVING)
        if routes is None:
            raise errors.CallError(errors.ErrorKind.SETTINGS_MISSING)
        route = routes.find(info.host, info.path)
        customer = routes.customer(route, info.authorization)
        service_id = routes.service_of(route, info.request_id)
        service = routes.services.get(service_id)
        if service is None:
            raise errors.CallError(errors.ErrorKind.NO_UPSTREAM)
        self._totals.add(counters.CounterName.REQUESTS, route.kind.value)
        self.retry_budgets.record_request(service_id)
        spent_ms = self._wait_estimate(route).spent_ms(info.wait_ms)
        return call_module.Call(
            request,
            info,
            route,
            service,
            customer,
            responder,
            spent_ms,
            self._clock,
        )

    def _wait_estimate(
        self, route: fleet.Route
    ) -> caller_wait_estimate.CallerWaitEstimate:
        key = (route.name, route.timeout_ms)
        return self._wait_estimates.setdefault(
            key, caller_wait_estimate.CallerWaitEstimate(route.timeout_ms)
        )

    # Attempts and retries.

    async def _run(self, call: call_module.Call) -> None:
        last_failure: sender.SendResult | None = None
        async with running_attempts.RunningAttempts() as running:
            await self._start_attempt(call, running)
            while True:
                ended = await running.wait()
                if ended is None:
                    await self._relieve_silent(call, running)
                    continue
                result = ended.task.result()
                if result.overtaken:
                    self._count_silence(ended, "taken_over")
                    self._count_run(call, ended)
                    if running or last_failure is None:
                        continue
                    # The attempt that overtook this one was lost before.
                    if not await self._go_on(call, running, last_failure):
                        return
                    continue
                if result.outcome.failure is None:
                    self._count_silence(ended, "resumed")
                    self._succeed(call, result, ended.choice)
                    return
                if not result.unsent:
                    last_failure = result
                if not await self._continue_after(call, running, ended, result):
                    return

    async def _start_attempt(
        self,
        call: call_module.Call,
        running: running_attempts.RunningAttempts,
    ) -> None:
        """Sends the request to a replica.

        Raises:
          CallError: if no replica can accept it in time.
        """
        self._refuse_blocked(call)
        call.suspected = self._crashes.runs_alone(call.causes)
        choice = await self._selector.choose(call)
        self._start_at(call, running, choice)

    def _start_at(
        self,
        call: call_module.Call,
        running: running_attempts.RunningAttempts,
        choice: upstream_choice.Choice,
    ) -> None:
        running.start(
            choice, lambda monitor: self._sender.send(call, choice, monitor)
        )

    async def _continue_after(
        self,
        call: call_module.Call,
        running: running_attempts.RunningAttempts,
        ended: running_attempts.RunningAttempt,
        result: sender.SendResult,
    ) -> bool:
        """Goes on after an attempt without an answer for the caller.

        Returns:
          Whether any attempt runs; otherwise, the call has ended.

        Raises:
          CallError: if the call ends without an answer by a replica.
        """
        failure = result.outcome.failure
        if result.unsent:
            self._totals.add(counters.CounterName.REPLICA_PAUSES, "unsent")
        elif failure is not None:
            self._record_failure(call, ended, failure, result)
            if result.outcome.has_answer:
                call.failed_outcome = result.outcome
            await self._check_for_crash(call, result, ended.choice)
        # Lets the cancellation by a caller that has left take effect first.
        await asyncio.sleep(0)
        if running:
            if result.unsent:
                self.retry_budgets.refund_unsent(call)
            await self._relieve_silent(call, running)
            return True
        return await self._go_on(call, running, result)

    async def _go_on(
        self,
        call: call_module.Call,
        running: running_attempts.RunningAttempts,
        result: sender.SendResult,
    ) -> bool:
        """Sends a request again of which no attempt runs any more.

        Args:
          call: the call.
          running: its attempts, of which none is left.
          result: the last result that decides whether the call may go on.

        Returns:
          Whether an attempt runs; otherwise, the call has ended.

        Raises:
          CallError: if the call ends without an answer by a replica.
        """
        failure = result.outcome.failure
        if result.unsent or failure is None:
            await self._start_attempt(call, running)
            return True
        reason = await self._try_retry(call, failure)
        if isinstance(reason, retries.RetryDenial):
            self._end_failed(call, result.outcome, reason)
            return False
        self._totals.add(counters.CounterName.RETRIES, reason.value)
        try:
            await self._start_attempt(call, running)
        except errors.CallError:
            if call.relay.started or call.failed_outcome is None:
                raise
            self._end_failed(
                call, result.outcome, retries.RetryDenial.NO_UPSTREAM
            )
            return False
        return True

    async def _relieve_silent(
        self,
        call: call_module.Call,
        running: running_attempts.RunningAttempts,
    ) -> None:
        """Sends a request to another replica while all that have it are silent.

        The silent replicas keep the request. Nothing changes if no other
        replica may or can take it.
        """
        if not running.all_silent:
            return
        for attempt in running.silent:
            self._count_silent(call, attempt)
        reason = retries.RetryReason.UPSTREAM_SILENT
        if self._retry_denial(call) or self._crashes.is_blocked(call.causes):
            return
        # A choice may reserve a send at a replica with a rate limit.
        if not self.retry_budgets.has_retry(call):
            return
        try:
            choice = await running.first(self._selector.choose(call))
        except errors.CallError as refusal:
            logs.log(
                "silent_request_refused",
                request=call.info.request_id,
                kind=refusal.kind.value,
                detail=refusal.detail,
            )
            return
        # The replica may have gone on meanwhile.
        if choice is None or not running.all_silent:
            return
        if self.retry_budgets.try_spend(call):
            self._totals.add(counters.CounterName.RETRIES, reason.value)
            self._start_at(call, running, choice)

    def _count_silent(
        self,
        call: call_module.Call,
        attempt: running_attempts.RunningAttempt,
    ) -> None:
        """Counts and logs a silent replica once."""
        if attempt.silence_reported:
            return
        attempt.silence_reported = True
        replica_id = attempt.choice.view.replica.replica_id
        self._count_run(call, attempt)
        self._totals.add(counters.CounterName.SILENCES, "began")
        logs.log(
            "replica_silent",
            request=call.info.request_id,
            replica=replica_id,
            events=call.relay.events,
            left_ms=round(call.left_ms(self._clock.now_ms())),
        )

    def _count_run(
        self,
        call: call_module.Call,
        attempt: running_attempts.RunningAttempt,
    ) -> None:
        """Counts a replica, once, as one that may have run the request."""
        call.failed.add(attempt.choice.view.replica.replica_id)
        call.maybe_ran = True
        if not attempt.counted:
            attempt.counted = True
            call.runs += 1

    def _count_silence(
        self, attempt: running_attempts.RunningAttempt, end: str
    ) -> None:
        """Counts how the attempt at a replica that was silent has ended."""
        if attempt.silence_reported:
            self._totals.add(counters.CounterName.SILENCES, end)

    async def _try_retry(
        self, call: call_module.Call, failure: errors.CallError
    ) -> retries.RetryReason | retries.RetryDenial:
        """Spends a retry, or returns why the request is not retried."""
        reason = retries.retry_reason(failure, idempotent=call.route.repeatable)
        if reason is None:
            late = call.left_ms(self._clock.now_ms()) <= 0
            return (
                retries.RetryDenial.TIME if late else retries.RetryDenial.UNSAFE
            )
        denial = self._retry_denial(call)
        if denial is not None:
            return denial
        if not await self.retry_budgets.spend(
            call, lambda: self._selector.has_replica(call)
        ):
            denial = retries.RetryDenial.BUDGET
            self._totals.add(counters.CounterName.REFUSALS, denial.value)
            return denial
        # The call may have waited.
        return self._retry_denial(call) or reason

    def _retry_denial(
        self, call: call_module.Call
    ) -> retries.RetryDenial | None:
        """Returns why a request is not retried whatever the retry budget."""
        now_ms = self._clock.now_ms()
        if (
            call.sends >= SENDS_WITH_PAUSES_MAX
            or call.sends - call.pauses >= SENDS_MAX
        ):
            return retries.RetryDenial.SENDS
        if call.runs >= call.route.attempts_max and call.maybe_ran:
            return retries.RetryDenial.SENDS
        if call.left_ms(now_ms) <= 0 or call.may_have_left(now_ms):
            return retries.RetryDenial.TIME
        if call.maybe_ran and self._crashes.runs_once(call.causes):
            denial = retries.RetryDenial.SUSPECTED
            self._totals.add(counters.CounterName.REFUSALS, denial.value)
            return denial
        return None

    def _record_failure(
        self,
        call: call_module.Call,
        attempt: running_attempts.RunningAttempt,
        failure: errors.CallError,
        result: sender.SendResult,
    ) -> None:
        choice = attempt.choice
        answer = result.outcome.answer
        call.failed.add(choice.view.replica.replica_id)
        self._count_silence(attempt, "lost")
        if failure.ran is not errors.Ran.NO:
            self._count_run(call, attempt)
        elif choice.view.availability.is_paused(self._clock.now_ms()):
            call.pauses += 1
        logs.log(
            "attempt_failed",
            request=call.info.request_id,
            fingerprint=call.causes.content,
            replica=choice.view.replica.replica_id,
            kind=failure.kind.value,
            detail=failure.detail,
            ran=failure.ran.value,
            parts=",".join(call.info.shared_parts),
            sends=call.sends,
            first_ms=_rounded_or_none(result.first_event_ms),
            silent_ms=_rounded_or_none(result.silent_ms),
            retry_after_ms=None if answer is None else answer.retry_after_ms,
            leaving=answer is not None and answer.leaving,
            predicted_ms=round(choice.predicted_ms),
            unbiased_ms=round(choice.unbiased_ms),
            load=choice.load,
            load_age_ms=_rounded(choice.load_age_ms),
            limit_per_s=choice.limit_per_s,
            begins_within_ms=_rounded(choice.begins_within_ms),
            way_ms=round(result.path_latency_ms),
        )

    # Requests that crash replicas.

    def _refuse_blocked(self, call: call_module.Call) -> None:
        if self._crashes.is_blocked(call.causes) and not self._crashes.may_try(
            call.causes
        ):
            ran = errors.Ran.UNKNOWN if call.maybe_ran else errors.Ran.NO
            raise errors.CallError(errors.ErrorKind.CRASHES_UPSTREAMS, ran=ran)

    async def _check_for_crash(
        self,
        call: call_module.Call,
        result: sender.SendResult,
        choice: upstream_choice.Choice,
    ) -> None:
        """Records whether a failed attempt may have crashed its replica."""
        if result.may_have_crashed:
            await self._crashes.handle_loss(
                call.causes,
                choice.view,
                writing_ms=result.writing_ms,
            )
        elif (
            result.outcome.answer is not None
            and not result.outcome.answer.not_run
        ):
            # A failure that the replica itself reports is not a crash.
            self._crashes.record_success(call.causes)

    # Final answers.

    def _succeed(
        self,
        call: call_module.Call,
        result: sender.SendResult,
        choice: upstream_choice.Choice,
    ) -> None:
        self._crashes.record_success(call.causes)
        answer = result.outcome.answer
        if answer is not None and not call.responder.ended:
            body = result.outcome.body
            call.responder.answer(answer.status, answer.headers, body)
        taken_ms = self._clock.now_ms() - call.request.received_ms
        self._latencies.record_answer(taken_ms)
        if call.route.streaming and result.first_event_ms is not None:
            self._latencies.record_first_event(result.first_event_ms)
        logs.log(
            "request_served",
            request=call.info.request_id,
            fingerprint=call.causes.content,
            replica=choice.view.replica.replica_id,
            parts=",".join(call.info.shared_parts),
            events=call.relay.events,
            delimited=answer is None or answer.delimited,
            status=0 if answer is None else answer.status,
            sends=call.sends,
            predicted_ms=round(choice.predicted_ms),
            load=choice.load,
            load_age_ms=_rounded(choice.load_age_ms),
            unread_tokens=choice.unread_tokens,
            limit_per_s=choice.limit_per_s,
            begins_within_ms=_rounded(choice.begins_within_ms),
            way_ms=round(result.path_latency_ms),
            place=choice.position.value,
            spent_ms=round(call.spent_ms),
            first_ms=round(result.first_event_ms or 0.0),
            pause_ms=round(call.relay.longest_gap_ms),
            taken_ms=round(taken_ms),
        )

    def _end_failed(
        self,
        call: call_module.Call,
        outcome: attempts.Outcome,
        denial: retries.RetryDenial,
    ) -> None:
        """Ends a failed call.

        The caller receives a replica's own answer if the request ran there. A
        stream that has begun is broken off.
        """
        call.retry_denial = denial
        if call.relay.started:
            logs.log(
                "stream_broken",
                request=call.info.request_id,
                events=call.relay.events,
                left_ms=round(call.left_ms(self._clock.now_ms())),
                not_retried=denial.value,
            )
            self._totals.add(counters.CounterName.REFUSALS, "stream_broken")
            call.responder.abort()
            return
        last = call.failed_outcome
        if last is not None and last.answer is not None:
            answer = last.answer
            call.responder.answer(answer.status, answer.headers, last.body)
            return
        failure = outcome.failure
        if failure is None:
            raise ValueError(
                f"the outcome of request {call.info.request_id!r} is no failure"
            )
        raise errors.CallError(
            failure.kind,
            failure.detail,
            ran=errors.Ran.UNKNOWN if call.maybe_ran else errors.Ran.NO,
            retry_after_ms=self._selector.retry_after_ms(call),
        )

    def _fail(
        self,
        request_id: str,
        call: call_module.Call | None,
        failure: errors.CallError,
        responder: http1_server.Responder,
    ) -> None:
        """Logs and answers a failed request; `call` is None if not admitted."""
        self._totals.add(counters.CounterName.REFUSALS, failure.kind.value)
        customer = None if call is None else call.customer
        denial = None if call is None else call.retry_denial
        logs.log(
            "request_failed",
            request=request_id,
            kind=failure.kind.value,
            detail=failure.detail,
            ran=failure.ran.value,
            status=own_answers.status_of(failure),
            retry_after_ms=failure.retry_after_ms,
            not_retried=None if denial is None else denial.value,
            host=None if call is None else call.route.host,
            route=None if call is None else call.route.name,
            customer=None if customer is None else customer.customer_id,
        )
        if responder.started:
            responder.abort()
            return
        own_answers.send(responder, failure, request_id)


def _rounded_or_none(value_ms: float | None) -> int | None:
    return None if value_ms is None else round(value_ms)


def _rounded(value_ms: float) -> int | None:
    """Returns rounded milliseconds for a log line, None if infinite."""
    return round(value_ms) if math.isfinite(value_ms) else None
