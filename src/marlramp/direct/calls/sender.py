"""Sends a call to one replica and waits for the outcome.

A request that waits at a replica is withdrawn before the replica's version of
the weights may no longer begin it. The path latency to the replica is checked
while the request waits, since the withdrawal takes as long to arrive.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp import logs
from marlramp.core.configuration import fleet
from marlramp.core.crashes import possible_causes
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice
from marlramp.core.requests import attempt_timeouts
from marlramp.core.requests import caller_timeout
from marlramp.direct.calls import attempts
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import latency_probes
from marlramp.direct.calls import rate_limits
from marlramp.direct.calls import replica_observer
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import wire
from marlramp.settings import node
from marlramp.shell import http1_client

FRESH_IDLE_SHARE = 0.5
"""Part of a connection's longest idle time up to which it may carry a request
that may run only once. If the replica closed the connection while the request
was in transit, the outcome would be unknown."""

RESUMED_PRIORITY = 1
"""Priority of a stream that continues at another replica: its caller notices
the gap."""

BEHIND_PRIORITY = 8
"""Priority of a request that is late in any case; others have 5."""

CHECK_INTERVAL_MS = 500.0
"""Longest wait before the clock is read again. Timers of the event loop stop
while the VM is suspended, but deadlines do not."""

UNBEGUN_CHECK_INTERVAL_MS = 50.0
"""Longest wait before the clock is read again for a request that waits at an
engine, since a newer version may become mandatory."""

WITHDRAWAL_NEAR_MS = 1_000.0
"""Time before the withdrawal of a request from an old version in which the path
latency to the replica is checked more often. A path latency grows by less."""

LATENCY_POLL_MS = 20.0
"""Time between two checks of the path latency before a withdrawal."""

BLOCKED_POLL_MS = 20.0
"""Time between two checks whether a request that is suspected of crashes was
blocked while it waits at a replica."""

SURVIVAL_MS = 1_000.0
"""Time from the first event to the latest one after which a run that goes on
counts as one that a part of its prompt did not end."""

END_SEEN_MAX_MS = 2_000.0
"""Longest time after an answer was last known to go on, up to which a probe of
its replica shows that it ended the answer itself. Later, another process may
have taken over the address."""

_CRASH_LOSSES = frozenset(
    {http1_client.LossKind.CLOSED, http1_client.LossKind.RESET}
)
_MS = clock.MILLIS_PER_SECOND


class SendResult(msgspec.Struct):
    """The result of one send.

    Attributes:
      outcome: how the attempt ended.
      stalled: whether the attempt timed out.
      overtaken: whether another attempt has forwarded events of the stream
        since; the replica is not at fault.
      withdrawn: whether the request was withdrawn because it was blocked; the
        replica is not at fault.
      unsent: whether the request was not written because the replica had
        closed, or its version could no longer begin the request.
      first_event_ms: time from the send to the first event, None without one.
      writing_ms: time from the first event to the end of the attempt, None
        without one.
      silent_ms: time without data from the replica up to a timeout, None if
        the attempt did not time out.
      unfinished_ms: clock reading when the answer was last known to go on.
      path_latency_ms: assumed path latency to the replica; the larger of the
        values when the request was written and when it timed out.
    """

    outcome: attempts.Outcome
    stalled: bool = False
    withdrawn: bool = False
    overtaken: bool = False
    unsent: bool = False
    first_event_ms: float | None = None
    writing_ms: float | None = None
    silent_ms: float | None = None
    unfinished_ms: float = float("-inf")
    path_latency_ms: float = 0.0

    @property
    def may_have_crashed(self) -> bool:
        """Whether the replica may have crashed while it ran the call."""
        failure = self.outcome.failure
        lost = self.outcome.loss in _CRASH_LOSSES
        return lost and failure is not None and failure.ran is not errors.Ran.NO


class SendRules(Protocol):
    """Rules that are checked again while a request is sent and answered."""

    def has_started_again(self, view: replica_view.ReplicaView) -> bool:
        """Returns whether a later start is known at a replica's address."""
        ...

    def may_write(
        self, call: call_module.Call, view: replica_view.ReplicaView
    ) -> bool:
        """Returns whether a call may be written to the selected replica."""
        ...

    def with_cutoffs(
        self, call: call_module.Call, choice: upstream_choice.Choice
    ) -> upstream_choice.Choice:
        """Returns a choice with the cutoffs that are known now."""
        ...


class CrashSuspicions(Protocol):
    """What is known of requests that crash replicas."""

    def is_blocked(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a request must not run again."""
        ...

    def begin_trial(self, causes: possible_causes.PossibleCauses) -> bool:
        """Begins a trial with a blocked request, unless it may not run."""
        ...

    def record_survival(
        self, causes: possible_causes.PossibleCauses, begun_ms: clock.Millis
    ) -> None:
        """Records that a run was not ended by a crash as it began."""
        ...

    async def answer_is_whole(self, view: replica_view.ReplicaView) -> bool:
        """Returns whether an answer whose end was not marked is whole."""
        ...


class AttemptMonitor(Protocol):
    """Is notified of the progress of one attempt."""

    @property
    def silent(self) -> bool:
        """Whether the replica was silent for too long and still is."""
        ...

    def begin(self, attempt: attempts.Attempt) -> None:
        """Records that the request is being written."""
        ...

    def record_silence(self, now_ms: clock.Millis) -> None:
        """Records that the replica has sent nothing for too long.

        It is called again while the silence lasts.
        """
        ...


class Sender:
    """Sends calls to replicas and owns the connections to them."""

    def __init__(
        self,
        codec: wire.CallCodec,
        crashes: CrashSuspicions,
        limits: rate_limits.RateLimits,
        signals: replica_signals.ReplicaSignals,
        rules: SendRules,
        vm_limits: node.VmLimits,
        time: clock.Clock,
    ) -> None:
        """Creates a sender without connections.

        Args:
          codec: writes and reads headers.
          crashes: knows the blocked requests, and learns which runs survive.
          limits: records the rate limits that answers announce.
          signals: records pauses, refusals and leaving replicas.
          rules: cutoffs of versions, and where requests may run.
          vm_limits: what the process may use.
          time: the clock.
        """
        self._codec = codec
        self._crashes = crashes
        self._limits = limits
        self._signals = signals
        self._rules = rules
        self._clock = time
        self._pools: dict[str, http1_client.ConnectionPool] = {}
        self._buffers = attempts.answer_buffers(vm_limits)
        self._probes = latency_probes.LatencyProbes(time)

    def set_vm_limits(self, limits: node.VmLimits) -> None:
        """Applies changed limits of the process."""
        self._buffers.set_limit(attempts.buffered_bytes_max(limits))

    def tick(self) -> None:
        """Closes connections that were idle too long."""
        for pool in self._pools.values():
            pool.drop_stale()

    def forget(self, replica_ids: list[str]) -> None:
        """Drops connections to replicas that are gone."""
        for replica_id in replica_ids:
            pool = self._pools.pop(replica_id, None)
            if pool is not None:
                pool.retire()

    async def send(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        monitor: AttemptMonitor,
    ) -> SendResult:
        """Sends a call to the selected replica and returns the result.

        Args:
          call: the call; other attempts at it may run at the same time.
          choice: the replica.
          monitor: is notified when the replica falls silent.
        """
        view = choice.view
        call.sends += 1
        observer = replica_observer.ReplicaObserver(
            choice,
            call.info.prompt_tokens,
            self._limits,
            self._signals,
            self._clock,
        )
        connection: http1_client.ReplicaConnection | None = None
        try:
            pool = self._pool(view.replica)
            connection = await self._connect(call, choice, pool)
            if connection is None:
                outcome = attempts.Outcome(
                    failure=errors.CallError(
                        errors.ErrorKind.UPSTREAM_LOST,
                        "no connection",
                        ran=errors.Ran.NO,
                    )
                )
                observer.record_end(outcome, None)
                return SendResult(outcome)
            now_ms = self._clock.now_ms()
            # The cutoffs are those of the version that the request names, even
            # if the replica was selected for another version.
            weights = view.weights(now_ms)
            choice = msgspec.structs.replace(choice, weights=weights)
            choice = self._rules.with_cutoffs(call, choice)
            if (
                not view.accepts_assigned(now_ms)
                or not choice.may_be_written(now_ms)
                or not self._rules.may_write(call, view)
                or self._withholds(call)
            ):
                call.sends -= 1
                observer.record_abandoned()
                pool.give_back(connection)
                return SendResult(_unsent(), unsent=True)
            view.record_written(now_ms)
            path_latency_ms = view.path_latency_ms(now_ms)
            result = await self._exchange(
                call, choice, connection, observer, monitor
            )
            result.path_latency_ms = max(
                result.path_latency_ms, path_latency_ms
            )
        except BaseException:
            observer.record_abandoned()
            if connection is not None:
                connection.abort()
            if monitor.silent:
                pool.close()
            raise
        if result.withdrawn or result.overtaken:
            observer.record_abandoned()
            connection.abort()
            if monitor.silent:
                pool.close()
            return result
        events = call.relay.events if call.route.streaming else None
        observer.record_end(result.outcome, events)
        result.first_event_ms = observer.first_event_ms
        result.writing_ms = observer.writing_ms
        if result.stalled:
            connection.abort()
            # Idle connections to the replica may be dead as well.
            pool.close()
        pool.give_back(connection)
        return result

    def _withholds(self, call: call_module.Call) -> bool:
        """Returns whether a request is blocked and can't be a trial either."""
        call.on_trial = False
        if not self._is_blocked(call):
            return False
        call.on_trial = self._crashes.begin_trial(call.causes)
        return not call.on_trial

    def _is_blocked(self, call: call_module.Call) -> bool:
        return not call.on_trial and self._crashes.is_blocked(call.causes)

    async def _connect(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        pool: http1_client.ConnectionPool,
    ) -> http1_client.ReplicaConnection | None:
        view = choice.view
        share = 1.0 if call.route.repeatable else FRESH_IDLE_SHARE
        started_ms = self._clock.now_ms()
        # Opening a connection measures the path latency before the request
        # goes to an old version.
        if not choice.needs_latency(started_ms):
            connection = pool.take_idle(share)
            if connection is not None:
                return connection
        try:
            connection = await pool.open()
        except OSError as error:
            logs.log(
                "connect_failed", request=call.info.request_id, error=error
            )
            return None
        now_ms = self._clock.now_ms()
        view.record_latency(now_ms - started_ms, now_ms)
        return connection

    async def _exchange(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        connection: http1_client.ReplicaConnection,
        observer: replica_observer.ReplicaObserver,
        monitor: AttemptMonitor,
    ) -> SendResult:
        attempt = self._new_attempt(call, observer)
        dispatch = self._dispatch(call, choice)
        head = self._codec.head(call.request, dispatch)
        call.backpressure.add(connection)
        try:
            monitor.begin(attempt)
            call.written += 1
            connection.send(
                call.request.method, head, call.request.body, attempt
            )
            result = await self._wait(call, choice, attempt, observer, monitor)
            await self._check_end(call, choice, attempt, result, observer)
        finally:
            attempt.release()
            attempt.leave()
            call.backpressure.remove(connection)
        return result

    async def _wait(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
        observer: replica_observer.ReplicaObserver,
        monitor: AttemptMonitor,
    ) -> SendResult:
        """Returns the result of an attempt whose request was written."""
        unfinished_ms = checked_ms = self._clock.now_ms()
        while True:
            choice = self._rules.with_cutoffs(call, choice)
            if self._nears_withdrawal(call, choice, attempt):
                pool = self._pool(choice.view.replica)
                self._probes.check(choice.view, pool)
            wait_ms = self._check_interval_ms(call, choice, attempt)
            pending = self._pending(call, choice, attempt)
            now_ms = self._clock.now_ms()
            # An end that arrived is not seen while nothing is read.
            if call.backpressure.was_read_since(checked_ms):
                unfinished_ms = now_ms
            checked_ms = now_ms
            for until_ms in (
                attempt_timeouts.deadline_ms(pending),
                attempt_timeouts.silent_from_ms(pending),
            ):
                if until_ms > now_ms:
                    wait_ms = min(wait_ms, until_ms - now_ms)
            await asyncio.wait([attempt.finished], timeout=wait_ms / _MS)
            if attempt.finished.done():
                outcome = attempt.finished.result()
                return SendResult(
                    outcome,
                    overtaken=outcome.overtaken,
                    unfinished_ms=max(unfinished_ms, attempt.progress_ms),
                )
            now_ms = self._clock.now_ms()
            pending = self._pending(call, choice, attempt)
            if now_ms >= attempt_timeouts.deadline_ms(pending):
                return SendResult(
                    self._timeout_outcome(call),
                    stalled=True,
                    silent_ms=now_ms - attempt.progress_ms,
                    path_latency_ms=choice.view.path_latency_ms(now_ms),
                )
            if now_ms >= attempt_timeouts.silent_from_ms(pending):
                if not monitor.silent:
                    observer.record_silence()
                monitor.record_silence(now_ms)
            # A request that has begun may still succeed and be cleared.
            if not attempt.begun and self._is_blocked(call):
                return SendResult(_blocked(), withdrawn=True)
            if (observer.writing_ms or 0.0) >= SURVIVAL_MS:
                self._record_survival(call, observer)

    async def _check_end(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
        result: SendResult,
        observer: replica_observer.ReplicaObserver,
    ) -> None:
        """Ends a stream whose answer is whole; breaks off one that isn't.

        Another attempt may have continued the stream meanwhile.
        """
        outcome = result.outcome
        answer = outcome.answer
        if outcome.failure is not None or answer is None:
            return
        if not await self._is_whole(choice.view, answer, result.unfinished_ms):
            result.outcome = attempts.broken_off()
            return
        if attempt.overtaken:
            result.outcome = attempts.overtaken()
            result.overtaken = True
            return
        if outcome.streamed:
            call.relay.end(attempt, answer)
        self._record_survival(call, observer)

    async def _is_whole(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        unfinished_ms: float,
    ) -> bool:
        """Returns whether anything shows that an answer that ended is whole.

        If only the end of its connection marked the end, the same start of the
        replica must still listen. Nothing shows it behind a proxy, which
        listens in any case.

        Args:
          view: the replica.
          answer: head of the answer.
          unfinished_ms: clock reading when the answer was last known to go on.
        """
        if answer.delimited:
            return True
        if answer.proxied or not await self._crashes.answer_is_whole(view):
            return False
        probed_late = self._clock.now_ms() - unfinished_ms > END_SEEN_MAX_MS
        return not probed_late and not self._rules.has_started_again(view)

    def _record_survival(
        self,
        call: call_module.Call,
        observer: replica_observer.ReplicaObserver,
    ) -> None:
        """Records once that the run of an attempt survived its begin."""
        if observer.begun_ms is not None and not observer.survived:
            observer.survived = True
            self._crashes.record_survival(call.causes, observer.begun_ms)

    def _check_interval_ms(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> float:
        """Returns the time until the attempt is checked again."""
        if call.suspected:
            return BLOCKED_POLL_MS
        if call.service.engine is None or attempt.begun:
            return CHECK_INTERVAL_MS
        nears_withdrawal = self._nears_withdrawal(call, choice, attempt)
        return (
            LATENCY_POLL_MS if nears_withdrawal else UNBEGUN_CHECK_INTERVAL_MS
        )

    def _nears_withdrawal(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> bool:
        """Returns whether an unbegun attempt is to be withdrawn soon."""
        if call.service.engine is None or attempt.begun:
            return False
        left_ms = choice.begins_until_ms - self._clock.now_ms()
        return left_ms < WITHDRAWAL_NEAR_MS

    def _new_attempt(
        self, call: call_module.Call, observer: replica_observer.ReplicaObserver
    ) -> attempts.Attempt:
        if call.route.streaming:
            return attempts.StreamAttempt(
                self._codec,
                call.info,
                observer,
                self._clock,
                self._buffers,
                call.relay,
            )
        return attempts.Attempt(
            self._codec, call.info, observer, self._clock, self._buffers
        )

    def _dispatch(
        self, call: call_module.Call, choice: upstream_choice.Choice
    ) -> wire.Dispatch:
        view = choice.view
        now_ms = self._clock.now_ms()
        engine = call.service.engine
        return wire.Dispatch(
            replica_id=view.replica.replica_id,
            wait_ms=call.left_ms(now_ms),
            customer_id=None
            if call.customer is None
            else call.customer.customer_id,
            weights=None if engine is None else choice.weights,
            priority=_priority(call, choice.position),
            resume_after=call.relay.last_id,
        )

    def _pending(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> attempt_timeouts.PendingAttempt:
        """Returns the state of an attempt that determines its timeouts."""
        route = call.route
        gap_timeout_ms = caller_timeout.gap_timeout_ms(route)
        return attempt_timeouts.PendingAttempt(
            streaming=route.streaming,
            begun=attempt.begun,
            may_repeat=route.repeatable,
            received_ms=call.request.received_ms,
            ends_ms=call.ends_ms,
            progress_ms=call.backpressure.progress_ms(attempt.progress_ms),
            heard_ms=choice.view.heard_ms,
            gap_timeout_ms=gap_timeout_ms if route.streaming else 0.0,
            predicted_ms=choice.predicted_ms,
            begins_until_ms=choice.withdrawal_ms(self._clock.now_ms()),
        )

    def _timeout_outcome(self, call: call_module.Call) -> attempts.Outcome:
        """Returns the outcome of an attempt whose deadline has passed."""
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
        detail = "no answer in time"
        if self._clock.now_ms() < call.ends_ms:
            kind = errors.ErrorKind.VERSION_CHANGED
            detail = "not begun before a newer version became mandatory"
        return attempts.Outcome(
            failure=errors.CallError(kind, detail, ran=errors.Ran.UNKNOWN)
        )

    def _pool(self, replica: fleet.Replica) -> http1_client.ConnectionPool:
        pool = self._pools.get(replica.replica_id)
        if pool is None:
            host, _, port = replica.address.rpartition(":")
            pool = http1_client.ConnectionPool(host, int(port), self._clock)
            self._pools[replica.replica_id] = pool
        return pool


def _unsent() -> attempts.Outcome:
    failure = errors.CallError(
        errors.ErrorKind.UPSTREAM_BUSY,
        "closed before the request was written",
        ran=errors.Ran.NO,
    )
    return attempts.Outcome(failure=failure)


def _blocked() -> attempts.Outcome:
    kind = errors.ErrorKind.CRASHES_UPSTREAMS
    failure = errors.CallError(kind, ran=errors.Ran.UNKNOWN)
    return attempts.Outcome(failure=failure)


def _priority(
    call: call_module.Call, position: queue_position.QueuePosition
) -> int | None:
    """Returns the priority in the replica's queue, None for the default."""
    if call.relay.started:
        return RESUMED_PRIORITY
    if position is queue_position.QueuePosition.BEHIND:
        return BEHIND_PRIORITY
    return None
