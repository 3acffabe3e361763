"""Sends a call to one replica and waits for what comes of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp import logs
from marlramp.core import attempt_timeouts
from marlramp.core import caller_timeout
from marlramp.core import fleet
from marlramp.core import queue_position
from marlramp.core import upstream_choice
from marlramp.direct.calls import attempts
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import named_limits
from marlramp.direct.calls import replica_observer
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import way_probes
from marlramp.direct.calls import wire
from marlramp.shell import http1_client

FRESH_IDLE_SHARE = 0.5
"""Part of a connection's idle time within which it takes a request that may
run only once: a close on the way would leave its outcome unknown."""

RESUMED_PRIORITY = 1
"""Rank of a stream that goes on: its caller sees the gap."""

BEHIND_PRIORITY = 8
"""Rank of a request that is late whatever happens; others have 5."""

LOOK_MS = 500.0
"""Longest wait before the clock is read again: timers of the event loop stand
still while the VM is suspended, deadlines do not."""

UNBEGUN_LOOK_MS = 50.0
"""The same of a request that waits at an engine, whose version may end."""
LEAVING_MS = 1_000.0
"""Time before a request is taken back from an old version in which the way to
the replica is looked at more often: more than a way can grow by."""

WAY_POLL_MS = 20.0
"""Between two such looks."""

CONDEMNED_POLL_MS = 20.0
"""Between two looks whether a request that is suspected of crashes has been
condemned while it waits at a replica."""

_CRASH_LOSSES = frozenset(
    {http1_client.LossKind.CLOSED, http1_client.LossKind.RESET}
)
_MS = clock.MILLIS_PER_SECOND


class Sent(msgspec.Struct):
    """What became of one send.

    Attributes:
      outcome: how the attempt ended.
      stalled: whether it was given up while the replica was at work.
      withdrawn: whether it was taken back from a replica that goes on.
      unsent: whether the replica closed, or its version could no longer begin
        the request, before that was written.
      first_event_ms: time to the first event, None if none came.
      way_ms: way to the replica that was reckoned with, the longer one of
        when the request was written and when it was given up.
    """

    outcome: attempts.Outcome
    stalled: bool = False
    withdrawn: bool = False
    unsent: bool = False
    first_event_ms: float | None = None
    way_ms: float = 0.0

    @property
    def may_have_crashed(self) -> bool:
        """Whether the replica may have crashed while it ran the call."""
        failure = self.outcome.failure
        lost = self.outcome.loss in _CRASH_LOSSES
        return lost and failure is not None and failure.ran is not errors.Ran.NO


class VersionEnds(Protocol):
    """Until when requests may begin on a version."""

    def dated(
        self, call: call_module.Call, choice: upstream_choice.Choice
    ) -> upstream_choice.Choice:
        """Returns a choice with its ends as they are known now."""
        ...


class Sender:
    """Owns the connections to replicas."""

    def __init__(
        self,
        codec: wire.CallCodec,
        is_condemned: Callable[[ids.Fingerprint], bool],
        limits: named_limits.NamedLimits,
        signals: replica_signals.ReplicaSignals,
        ends: VersionEnds,
        time: clock.Clock,
    ) -> None:
        """Owns no connection yet.

        Args:
          codec: writes and reads headers.
          is_condemned: tells whether a request is not to be run again.
          limits: takes the limits that answers name.
          signals: takes what else answers say of their replica.
          ends: tells until when a call may begin where it was sent.
          time: the clock.
        """
        self._codec = codec
        self._is_condemned = is_condemned
        self._limits = limits
        self._signals = signals
        self._ends = ends
        self._clock = time
        self._pools: dict[str, http1_client.ConnectionPool] = {}
        self._probes = way_probes.WayProbes(time)

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

    async def send(
        self, call: call_module.Call, choice: upstream_choice.Choice
    ) -> Sent:
        """Sends a call to the chosen replica; returns when that has ended."""
        view = choice.view
        call.sends += 1
        observer = replica_observer.ReplicaObserver(
            choice,
            call.said.prompt_tokens,
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
                observer.ended(outcome, None)
                return Sent(outcome)
            now_ms = self._clock.now_ms()
            # What it asks for is what limits it, whatever it was chosen as.
            weights = view.weights(now_ms)
            choice = msgspec.structs.replace(choice, weights=weights)
            choice = self._ends.dated(call, choice)
            if not view.accepts_assigned(now_ms) or not choice.may_be_written(
                now_ms
            ):
                call.sends -= 1
                observer.left()
                pool.give_back(connection)
                return Sent(_unsent(), unsent=True)
            way_ms = view.path_latency_ms(now_ms)
            tried = await self._exchange(call, choice, connection, observer)
            tried.way_ms = max(tried.way_ms, way_ms)
        except asyncio.CancelledError:
            observer.left()
            if connection is not None:
                connection.abort()
            logs.log("caller_left", request=call.said.request_id)
            raise
        if tried.withdrawn:
            observer.left()
            connection.abort()
            return tried
        events = call.relay.splitter.events if call.route.streaming else None
        observer.ended(tried.outcome, events)
        tried.first_event_ms = observer.first_event_ms
        if tried.stalled:
            connection.abort()
            # Idle connections there may have gone silent with this one.
            pool.close()
        pool.give_back(connection)
        return tried

    async def _connect(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        pool: http1_client.ConnectionPool,
    ) -> http1_client.ReplicaConnection | None:
        view = choice.view
        share = 1.0 if call.route.repeatable else FRESH_IDLE_SHARE
        asked_ms = self._clock.now_ms()
        # Opening one measures the way, before an old version gets the request.
        if not choice.needs_latency(asked_ms):
            connection = pool.take_idle(share)
            if connection is not None:
                return connection
        try:
            connection = await pool.open()
        except OSError as error:
            logs.log(
                "connect_failed", request=call.said.request_id, error=error
            )
            return None
        now_ms = self._clock.now_ms()
        view.record_latency(now_ms - asked_ms, now_ms)
        return connection

    async def _exchange(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        connection: http1_client.ReplicaConnection,
        observer: replica_observer.ReplicaObserver,
    ) -> Sent:
        attempt = self._attempt(call, observer)
        dispatch = self._dispatch(call, choice)
        head = self._codec.head(call.request, dispatch)
        call.responder.on_pressure(connection.pause, connection.resume)
        connection.send(call.request.method, head, call.request.body, attempt)
        while True:
            choice = self._ends.dated(call, choice)
            if self._is_leaving(call, choice, attempt):
                pool = self._pool(choice.view.replica)
                self._probes.look(choice.view, pool)
            limit_ms = self._limit_ms(call, choice, attempt)
            wait_ms = limit_ms - self._clock.now_ms()
            wait_ms = min(wait_ms, self._look_ms(call, choice, attempt))
            if wait_ms > 0:
                await asyncio.wait([attempt.finished], timeout=wait_ms / _MS)
            if attempt.finished.done():
                return Sent(attempt.finished.result())
            if self._clock.now_ms() >= self._limit_ms(call, choice, attempt):
                return Sent(
                    self._stalled(call, attempt),
                    stalled=True,
                    way_ms=choice.view.path_latency_ms(self._clock.now_ms()),
                )
            # One that has begun may yet end well and clear itself.
            if not attempt.begun and self._is_condemned(call.fingerprint):
                return Sent(_condemned(), withdrawn=True)

    def _look_ms(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> float:
        """Returns after how long the attempt is looked at again."""
        if call.suspected:
            return CONDEMNED_POLL_MS
        if call.service.engine is None or attempt.begun:
            return LOOK_MS
        leaving = self._is_leaving(call, choice, attempt)
        return WAY_POLL_MS if leaving else UNBEGUN_LOOK_MS

    def _is_leaving(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> bool:
        """Returns whether it waits for a version that is left soon."""
        if call.service.engine is None or attempt.begun:
            return False
        left_ms = choice.begins_until_ms - self._clock.now_ms()
        return left_ms < LEAVING_MS

    def _attempt(
        self, call: call_module.Call, observer: replica_observer.ReplicaObserver
    ) -> attempts.Attempt:
        if call.route.streaming:
            call.relay.splitter.reset()
            return attempts.StreamAttempt(
                self._codec, call.said, observer, self._clock, call.relay
            )
        return attempts.Attempt(self._codec, call.said, observer, self._clock)

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
            resume_after=call.relay.splitter.last_id,
        )

    def _limit_ms(
        self,
        call: call_module.Call,
        choice: upstream_choice.Choice,
        attempt: attempts.Attempt,
    ) -> float:
        """Returns until when the attempt is waited for."""
        route = call.route
        sends_left = call.runs + 1 <= route.attempts_max - 1
        gap_timeout_ms = caller_timeout.gap_timeout_ms(route)
        waiting = attempt_timeouts.PendingAttempt(
            streaming=route.streaming,
            begun=attempt.begun,
            may_repeat=route.repeatable and sends_left,
            received_ms=call.request.received_ms,
            ends_ms=call.ends_ms,
            progress_ms=attempt.progress_ms,
            heard_ms=choice.view.heard_ms,
            gap_timeout_ms=gap_timeout_ms if route.streaming else 0.0,
            predicted_ms=choice.predicted_ms,
            begins_until_ms=choice.withdrawal_ms(self._clock.now_ms()),
        )
        return attempt_timeouts.deadline_ms(waiting)

    def _stalled(
        self, call: call_module.Call, attempt: attempts.Attempt
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


def _unsent() -> attempts.Outcome:
    failure = errors.CallError(
        errors.ErrorKind.UPSTREAM_BUSY,
        "closed before the request was written",
        ran=errors.Ran.NO,
    )
    return attempts.Outcome(failure=failure)


def _condemned() -> attempts.Outcome:
    kind = errors.ErrorKind.CRASHES_UPSTREAMS
    failure = errors.CallError(kind, ran=errors.Ran.UNKNOWN)
    return attempts.Outcome(failure=failure)


def _priority(
    call: call_module.Call, place: queue_position.QueuePosition
) -> int | None:
    """Returns the rank in the replica's queue, None for the default."""
    if call.relay.started:
        return RESUMED_PRIORITY
    if place is queue_position.QueuePosition.BEHIND:
        return BEHIND_PRIORITY
    return None
