"""Queues, routes, retries and ends the calls of one entry.

The dispatcher owns the state of all calls. Messages from agents, method calls
from callers' tasks and a regular tick drive it. It sends messages through an
`agent_queries.AgentSender`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp import logs
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import grant_pool
from marlramp.core.grant_calls import queueing
from marlramp.core.grant_calls import run_tokens
from marlramp.core.replicas import routing
from marlramp.core.requests import retries
from marlramp.entry import admission as admission_module
from marlramp.entry import agent_queries
from marlramp.entry import agent_table
from marlramp.entry import answers
from marlramp.entry import call as call_module
from marlramp.entry import crash_guard
from marlramp.entry import lost_run_detector
from marlramp.entry import service_state
from marlramp.protocol import messages
from marlramp.settings import schema
from marlramp.settings import store

CANCEL_WAIT_MS = 60.0
"""Longest wait for an agent's report whether a cancelled request ran."""

STATUSES = range(200, 600)
"""Status codes that an answer may have; others are no final answer."""


def _discard(value: float) -> None:
    """Discards a measurement; the default of `on_first_part`."""


class Dispatcher:
    """Starts, retries and ends all calls of one entry.

    Attributes:
      on_first_part: receives the time in milliseconds from the admission of a
        call to the first part of an attempt's answer.
    """

    def __init__(
        self,
        settings: store.SettingsStore,
        table: agent_table.AgentTable,
        admission: admission_module.Admission,
        queries: agent_queries.AgentQueries,
        sender: agent_queries.AgentSender,
        crashes: crash_guard.CrashGuard,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Starts without calls."""
        self._crashes = crashes
        self._settings = settings
        self._table = table
        self._admission = admission
        self._queries = queries
        self._sender = sender
        self._lost_runs = lost_run_detector.LostRunDetector(
            queries, sender, self._resend, self._attempt_failed
        )
        self._totals = totals
        self._clock = time
        self._rng = rng
        self._services: dict[ids.ServiceId, service_state.ServiceState] = {}
        self._queued: dict[ids.RequestId, call_module.Call] = {}
        self._attempts: dict[ids.RequestId, call_module.Call] = {}
        self._backing_off: set[call_module.Call] = set()
        self._choosers: dict[schema.Routing, routing.Chooser] = {
            schema.Routing.PREDICTED: routing.choose,
            schema.Routing.RANDOM: routing.choose_random,
            schema.Routing.ROUND_ROBIN: routing.RoundRobin(),
        }
        self.on_first_part: Callable[[float], None] = _discard

    @property
    def active(self) -> int:
        """Number of calls that are queued, running or waiting for a retry.

        Calls past their deadline that await an agent's report are not counted.
        Abandoned calls count until the retry that they waited for is due.
        """
        return len(self._queued) + len(self._attempts) + len(self._backing_off)

    def is_linked(self, vm_id: ids.VmId) -> bool:
        """Returns whether an agent is linked to this entry."""
        return self._table.get(vm_id) is not None

    def demand(self, service_id: ids.ServiceId) -> int:
        """Returns how many calls of a service run or wait at this entry."""
        service = self._services.get(service_id)
        if service is None:
            return 0
        return service.in_flight + len(service.queue)

    def queue_lengths(self) -> dict[ids.ServiceId, int]:
        """Returns the number of waiting calls of each service."""
        return {
            service_id: len(service.queue)
            for service_id, service in self._services.items()
        }

    def apply_settings(self) -> None:
        """Applies changed settings to the queues of all services."""
        for service_id, service in self._services.items():
            service.apply_settings(self._settings.tree.effective(service_id))

    # Methods for callers' tasks.

    def submit(
        self, spec: calls.CallSpec, token: run_tokens.RunToken | None
    ) -> call_module.Call:
        """Admits a call and starts or queues it.

        Raises:
          errors.CallError: if admission refuses the call; this entry has sent
            no run. A full queue ends the returned call instead.
        """
        now_ms = self._clock.now_ms()
        try:
            self._admission.check(spec, token)
            self._totals.add(counters.CounterName.REQUESTS, spec.service_id)
            service = self._service(spec.service_id)
            if token is None:
                self._admission.check_deadline(spec, service, now_ms)
            self._admission.charge(spec, now_ms)
        except errors.CallError as error:
            self._count_failure(error)
            raise
        values = self._settings.tree.effective(
            spec.service_id, spec.customer_id
        )
        state = calls.CallState(
            spec, values.retries_max, float(values.retry_backoff_ms)
        )
        waiting = queueing.WaitingRequest(
            self._queries.new_id(),
            spec.customer_id,
            spec.service_id,
            spec.priority,
            float(max(1, spec.tokens)),
            spec.deadline_ms,
        )
        call = call_module.Call(state, waiting, token, now_ms)
        service.retry_budget.record_request()
        refusal = self._crashes.refusal(state)
        if refusal is not None:
            self._fail(call, refusal)
        elif token is not None:
            self._start_token_attempt(call, token)
        else:
            self._enqueue(call, service)
            self.dispatch(spec.service_id)
        return call

    def abandon(self, call: call_module.Call) -> None:
        """Cancels a call whose caller has disconnected."""
        if call.ended:
            return
        self._remove(call)
        if call.grant is not None and call.token is None:
            self._send_cancel(call, self._queries.new_id(), stop=True)
        self._count_failure(errors.CallError(errors.ErrorKind.CANCELLED))
        call.end(errors.CallError(errors.ErrorKind.CANCELLED))

    # Messages from agents.

    def handle_grants(
        self, vm_id: ids.VmId, message: messages.GrantsIssued
    ) -> None:
        """Adds a known agent's grants to the pool and starts waiting calls."""
        info = self._table.get(vm_id)
        if info is None:
            return
        now_ms = self._clock.now_ms()
        self._table.grant_pool.add(
            vm_id,
            ids.Incarnation(message.incarnation),
            [
                ids.GrantNumber(message.first + offset)
                for offset in range(message.count)
            ],
            now_ms + message.ttl_ms,
        )
        self.dispatch(ids.ServiceId(info.report.service_id))

    def handle_headers(self, message: messages.RunHeaders) -> None:
        """Records the HTTP status and the media type of an answer."""
        call = self._attempts.get(ids.RequestId(message.request_id))
        if call is None:
            return
        call.answering = True
        call.progress_ms = self._clock.now_ms()
        if message.status not in STATUSES:
            self._send_cancel(call, self._queries.new_id(), stop=True)
            self._attempt_failed(
                call,
                errors.CallError(
                    errors.ErrorKind.UPSTREAM_FAILED,
                    f"status {message.status}",
                ),
            )
        elif call.status is None:
            call.status = message.status
            call.content_type = answers.header_value(message.content_type)

    def handle_parts(self, batch: messages.PartsBatch) -> None:
        """Delivers a batch of parts, which may belong to several answers."""
        now_ms = self._clock.now_ms()
        for answer in batch.answers:
            call = self._attempts.get(ids.RequestId(answer.request_id))
            if call is None:
                continue
            call.answering = True
            call.progress_ms = now_ms
            if call.first_part_ms is None:
                self._record_first_part(call, now_ms)
            try:
                for part in answer.parts:
                    call.deliver(call.state.assembly.add(part))
            except errors.CallError as error:
                self._attempt_failed(call, error)
                continue
            if call.state.assembly.complete:
                self._succeed(call)

    def handle_run_ended(self, message: messages.RunEnded) -> None:
        """Fails an attempt whose run ended before its answer was complete."""
        call = self._attempts.get(ids.RequestId(message.request_id))
        if call is None:
            return
        failure = errors.CallError(errors.ErrorKind.ANSWER_INCOMPLETE)
        if message.kind is not None:
            failure = errors.CallError(
                message.kind, message.detail, ran=message.ran
            )
        self._attempt_failed(call, failure)

    def handle_crash(self, message: messages.EngineCrashed) -> None:
        """Records the crash of an agent's upstream."""
        self._crashes.handle_crash(message)

    def handle_agent_lost(self, vm_id: ids.VmId) -> None:
        """Fails the attempts at an agent that is lost or has restarted."""
        for call in list(self._attempts.values()):
            if call.grant is not None and call.grant.vm_id == vm_id:
                self._attempt_failed(call, self._lost_error(call))

    def _lost_error(self, call: call_module.Call) -> errors.CallError:
        """Returns the failure of an attempt whose agent is unreachable."""
        # Another entry may have sent a run with the same token, so an unsent
        # run token does not prove that the request did not run.
        unsent = not call.sent and call.token is None
        ran = errors.Ran.NO if unsent else errors.Ran.UNKNOWN
        return errors.CallError(errors.ErrorKind.UPSTREAM_LOST, ran=ran)

    # Periodic work.

    def tick(self) -> None:
        """Ends calls past their deadline and starts waiting calls."""
        self._crashes.tick()
        now_ms = self._clock.now_ms()
        for service_id, service in self._services.items():
            for waiting in service.queue.pop_expired(now_ms):
                call = self._queued.pop(waiting.request_id)
                self._fail(
                    call,
                    errors.CallError(
                        errors.ErrorKind.DEADLINE_EXCEEDED,
                        "the deadline passed while waiting",
                        ran=self._ran_so_far(call),
                    ),
                )
            self.dispatch(service_id)
        for call in list(self._attempts.values()):
            self._check_progress(call, now_ms)

    def dispatch(self, service_id: ids.ServiceId) -> None:
        """Starts waiting calls of a service while grants are available."""
        service = self._services.get(service_id)
        if service is None:
            return
        now_ms = self._clock.now_ms()
        while len(service.queue):
            waiting = service.queue.pop()
            if waiting is None:
                return
            call = self._queued[waiting.request_id]
            refusal = self._crashes.refusal(call.state)
            if refusal is not None:
                del self._queued[waiting.request_id]
                self._fail(call, refusal)
                continue
            # `submit` has just checked a call that is admitted at this time.
            if call.admitted_ms != now_ms and self._admission.misses_deadline(
                call.spec, call.state.resume_from, service, now_ms
            ):
                del self._queued[waiting.request_id]
                self._fail(
                    call,
                    errors.CallError(
                        errors.ErrorKind.DEADLINE_UNREACHABLE,
                        ran=self._ran_so_far(call),
                    ),
                )
                continue
            grant = self._choose_grant(call, now_ms)
            if grant is None and self._is_version_unavailable(call):
                del self._queued[waiting.request_id]
                self._fail(
                    call, errors.CallError(errors.ErrorKind.VERSION_CHANGED)
                )
                continue
            if grant is None:
                service.queue.push_front(waiting)
                return
            del self._queued[waiting.request_id]
            self._start_attempt(call, grant)

    # Queue.

    def _enqueue(
        self, call: call_module.Call, service: service_state.ServiceState
    ) -> None:
        displaced = service.queue.push(call.waiting)
        if displaced is call.waiting:
            error = errors.CallError(
                errors.ErrorKind.QUEUE_FULL, ran=self._ran_so_far(call)
            )
            self._fail(call, error)
            return
        self._queued[call.waiting.request_id] = call
        if displaced is not None:
            evicted = self._queued.pop(displaced.request_id)
            error = errors.CallError(
                errors.ErrorKind.QUEUE_FULL, ran=self._ran_so_far(evicted)
            )
            self._fail(evicted, error)

    # Attempts.

    def _choose_grant(
        self, call: call_module.Call, now_ms: clock.Millis
    ) -> grant_pool.HeldGrant | None:
        candidates = self._table.candidates(
            call.spec.service_id,
            call.state.needed_version,
            call.spec.prefix,
            now_ms,
        )
        fresh = [c for c in candidates if c.vm_id not in call.state.failed_vms]
        values = self._settings.tree.effective(call.spec.service_id)
        chooser = self._choosers[values.routing]
        chosen = chooser(fresh or candidates, self._rng)
        if chosen is None:
            return None
        return self._table.grant_pool.use(chosen.vm_id, now_ms)

    def _is_version_unavailable(self, call: call_module.Call) -> bool:
        """Returns whether no agent serves the version that a stream needs."""
        needed = call.state.needed_version
        return needed != "" and not any(
            info.report.version == needed
            for info in self._table.serving(call.spec.service_id)
        )

    def _start_attempt(
        self, call: call_module.Call, grant: grant_pool.HeldGrant
    ) -> None:
        now_ms = self._clock.now_ms()
        call.grant = grant
        call.attempt_id = self._queries.new_id()
        call.started_ms = now_ms
        call.progress_ms = now_ms
        call.queried_ms = now_ms
        call.first_part_ms = None
        call.answering = False
        if call.state.resume_from == 0:
            call.status = None
            call.content_type = ""
        call.state.attempts += 1
        self._attempts[call.attempt_id] = call
        info = self._table.get(grant.vm_id)
        if info is not None:
            info.in_flight += 1
            info.breaker.record_start(now_ms)
        self._service(call.spec.service_id).in_flight += 1
        call.sent = False
        if self._sender.send(grant.vm_id, self._run_message(call, grant)):
            call.sent = True
            return
        self._attempt_failed(call, self._lost_error(call))

    def _start_token_attempt(
        self, call: call_module.Call, token: run_tokens.RunToken
    ) -> None:
        grant = grant_pool.HeldGrant(
            ids.VmId(token.vm_id),
            ids.Incarnation(token.incarnation),
            ids.GrantNumber(token.number),
            call.spec.deadline_ms,
        )
        self._start_attempt(call, grant)

    def _run_message(
        self, call: call_module.Call, grant: grant_pool.HeldGrant
    ) -> messages.Run:
        spec = call.spec
        return messages.Run(
            request_id=call.attempt_id,
            incarnation=grant.incarnation,
            number=grant.number,
            method=spec.method,
            path=spec.path,
            content_type=spec.content_type,
            body=spec.body,
            stream=spec.stream,
            priority=spec.priority,
            remaining_ms=max(0.0, spec.deadline_ms - self._clock.now_ms()),
            resume_from=call.state.resume_from,
            version=call.state.needed_version,
            caller_id=spec.call_id,
            from_token=call.token is not None,
            idempotent=spec.idempotent,
        )

    def _attempt_failed(
        self, call: call_module.Call, failure: errors.CallError
    ) -> None:
        """Retries a failed attempt if that is safe, else fails the call."""
        grant = call.grant
        self._release(call)
        if grant is None:
            return
        self._record_failure(grant.vm_id, failure)
        if call.token is not None:
            self._token_attempt_failed(call, failure)
            return
        service = self._service(call.spec.service_id)
        now_ms = self._clock.now_ms()
        step = call.state.next_step(
            failure, grant.vm_id, service.retry_budget, now_ms
        )
        if isinstance(step, errors.CallError):
            self._fail(call, step)
            return
        self._totals.add(counters.CounterName.RETRIES, step.reason.value)
        self._schedule_retry(call, step.delay_ms)

    def _token_attempt_failed(
        self, call: call_module.Call, failure: errors.CallError
    ) -> None:
        """Retries an attempt with a run token, or fails the call.

        The attempt is retried after 25 to 50 ms if the agent was busy, the
        request did not run and the deadline is later.
        """
        busy = failure.kind is errors.ErrorKind.UPSTREAM_BUSY
        if not busy or failure.ran is not errors.Ran.NO:
            self._fail(call, failure)
            return
        delay_ms = self._rng.uniform(0.5, 1.0) * 50.0
        if self._clock.now_ms() + delay_ms >= call.spec.deadline_ms:
            self._fail(call, failure)
            return
        reason = retries.RetryReason.UPSTREAM_BUSY
        self._totals.add(counters.CounterName.RETRIES, reason.value)
        self._schedule_retry(call, delay_ms)

    def _schedule_retry(self, call: call_module.Call, delay_ms: float) -> None:
        self._backing_off.add(call)
        asyncio.get_running_loop().call_later(
            delay_ms / clock.MILLIS_PER_SECOND, self._retry, call
        )

    def _retry(self, call: call_module.Call) -> None:
        self._backing_off.discard(call)
        if call.ended:
            return
        refusal = self._crashes.refusal(call.state)
        if refusal is not None:
            self._fail(call, refusal)
            return
        if call.token is not None:
            self._start_token_attempt(call, call.token)
            return
        service = self._service(call.spec.service_id)
        self._enqueue(call, service)
        self.dispatch(call.spec.service_id)

    def _record_failure(
        self, vm_id: ids.VmId, failure: errors.CallError
    ) -> None:
        info = self._table.get(vm_id)
        if info is not None and failure.kind in (
            errors.ErrorKind.UPSTREAM_FAILED,
            errors.ErrorKind.UPSTREAM_LOST,
            errors.ErrorKind.ANSWER_INCOMPLETE,
            errors.ErrorKind.VERSION_CHANGED,
        ):
            info.breaker.record_failure(self._clock.now_ms())

    def _record_first_part(
        self, call: call_module.Call, now_ms: clock.Millis
    ) -> None:
        call.first_part_ms = now_ms
        self.on_first_part(now_ms - call.admitted_ms)
        info = self._agent_of(call)
        if info is not None:
            info.record_first_token(now_ms - call.started_ms)
            info.breaker.record_success()

    def _check_progress(
        self, call: call_module.Call, now_ms: clock.Millis
    ) -> None:
        """Expires a call past its deadline and fails a stalled stream.

        A stream is stalled if no part follows its first one within
        `part_timeout_ms`. Attempts are also checked for lost runs.
        """
        if now_ms >= call.spec.deadline_ms:
            self._expire(call)
            return
        self._lost_runs.check(call, now_ms)
        if call.first_part_ms is None or not call.spec.stream:
            return
        values = self._settings.tree.effective(call.spec.service_id)
        if now_ms - call.progress_ms > values.part_timeout_ms:
            self._send_cancel(call, self._queries.new_id(), stop=True)
            self._attempt_failed(
                call,
                errors.CallError(
                    errors.ErrorKind.ANSWER_INCOMPLETE,
                    "no part arrived in time",
                ),
            )

    def _resend(self, call: call_module.Call) -> None:
        """Sends the run of a call's current attempt again."""
        if call.grant is not None:
            vm_id = call.grant.vm_id
            logs.log("run_sent_again", call=call.spec.call_id, vm=vm_id)
            self._sender.send(vm_id, self._run_message(call, call.grant))

    def _expire(self, call: call_module.Call) -> None:
        """Ends a call past its deadline and reports whether it ran.

        Stops the run, or only voids the grant if the call has a run token.
        Unless a part of the answer was delivered, the call ends when the agent
        has reported whether it ran, or after `CANCEL_WAIT_MS`.
        """
        request_id = self._queries.new_id()
        self._send_cancel(call, request_id, stop=call.token is None)
        started = call.state.resume_from > 0
        self._release(call)
        if started:
            error = errors.CallError(
                errors.ErrorKind.DEADLINE_EXCEEDED, ran=errors.Ran.YES
            )
            self._fail(call, error)
            return
        task = asyncio.create_task(self._end_after_cancel(call, request_id))
        task.add_done_callback(lambda done: done.exception())

    async def _end_after_cancel(
        self, call: call_module.Call, request_id: ids.RequestId
    ) -> None:
        reply = await self._queries.wait_for_reply(request_id, CANCEL_WAIT_MS)
        ran = errors.Ran.UNKNOWN
        if isinstance(reply, messages.RunStatus):
            ran = reply.ran
        self._fail(
            call,
            errors.CallError(errors.ErrorKind.DEADLINE_EXCEEDED, ran=ran),
        )

    def _send_cancel(
        self, call: call_module.Call, request_id: ids.RequestId, *, stop: bool
    ) -> None:
        if call.grant is None:
            return
        cancel = messages.Cancel(
            request_id=request_id,
            incarnation=call.grant.incarnation,
            number=call.grant.number,
            stop=stop,
        )
        self._sender.send(call.grant.vm_id, cancel)

    # Ends of calls.

    def _succeed(self, call: call_module.Call) -> None:
        now_ms = self._clock.now_ms()
        service = self._service(call.spec.service_id)
        self._crashes.record_success(call.spec)
        used = call.state.assembly.next_seq
        first_ms = (call.first_part_ms or now_ms) - call.started_ms
        service.run_duration.record(first_ms, now_ms - call.started_ms, used)
        if call.spec.stream:
            self._admission.settle(call.spec, used, now_ms)
        info = self._agent_of(call)
        if info is not None:
            info.breaker.record_success()
        self._release(call)
        call.end(None)

    def _fail(self, call: call_module.Call, failure: errors.CallError) -> None:
        self._count_failure(failure)
        if call.spec.stream:
            self._admission.settle(
                call.spec, call.state.resume_from, self._clock.now_ms()
            )
        logs.log(
            "call_failed",
            call=call.spec.call_id,
            kind=failure.kind.value,
            ran=failure.ran.value,
            attempts=call.state.attempts,
        )
        call.end(failure)

    def _release(self, call: call_module.Call) -> None:
        """Ends the current attempt without ending the call."""
        if self._attempts.pop(call.attempt_id, None) is None:
            return
        info = self._agent_of(call)
        if info is not None:
            info.in_flight = max(0, info.in_flight - 1)
        service = self._service(call.spec.service_id)
        service.in_flight -= 1
        call.grant = None

    def _remove(self, call: call_module.Call) -> None:
        """Removes a call from the queue or from the running attempts.

        The call keeps the grant of its attempt, which the agent needs to
        identify the run to cancel.
        """
        if self._queued.pop(call.waiting.request_id, None) is not None:
            service = self._service(call.spec.service_id)
            service.queue.remove(call.waiting)
        if call.attempt_id in self._attempts:
            grant = call.grant
            self._release(call)
            call.grant = grant

    def _count_failure(self, failure: errors.CallError) -> None:
        self._totals.add(counters.CounterName.REFUSALS, failure.kind.value)

    def _ran_so_far(self, call: call_module.Call) -> errors.Ran:
        if call.state.resume_from > 0:
            return errors.Ran.YES
        if call.state.attempts == 0 or not call.state.maybe_ran:
            return errors.Ran.NO
        return errors.Ran.UNKNOWN

    def _agent_of(self, call: call_module.Call) -> agent_table.AgentInfo | None:
        if call.grant is None:
            return None
        info = self._table.get(call.grant.vm_id)
        if info is None or info.report.incarnation != call.grant.incarnation:
            return None
        return info

    def _service(self, service_id: ids.ServiceId) -> service_state.ServiceState:
        service = self._services.get(service_id)
        if service is None:
            values = self._settings.tree.effective(service_id)
            service = service_state.ServiceState(values)
            self._services[service_id] = service
        return service
