"""One attempt to have a replica answer a request, and its outcome."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.core.requests import event_stream
from marlramp.direct.calls import wire
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import http1_client
from marlramp.shell import http1_server
from marlramp.shell import shared_bytes

PLAIN_BODY_BYTES_MAX = 8_388_608
"""Largest plain answer; it is buffered until it is complete."""

BUFFERED_BYTES_MAX = 67_108_864
"""Largest size of all plain answers that an entry buffers at the same time,
however much memory its VM has."""

BUFFERED_BYTES_MIN = 2 * PLAIN_BODY_BYTES_MAX
"""That size on a VM with little memory."""

BUFFERED_SHARE = 0.25
"""Part of the memory beside that of the program for these answers."""

_SUCCESS = range(200, 300)
_SERVER_ERROR_MIN = 500
_IMPLY_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that imply to a caller that its request did not run."""

_EVENT_STREAM = b"text/event-stream"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended.

    Attributes:
      failure: why there is no answer to forward to the caller, None if there
        is one.
      answer: head of the answer, None if none arrived.
      body: complete body of a plain answer, empty for a stream.
      loss: how the connection was lost, None if it was not lost.
      streamed: whether the answer is a stream, whose events were forwarded.
      overtaken: whether another attempt at the request has forwarded events
        since, so that this one has no more use.
    """

    failure: errors.CallError | None
    answer: wire.ReplicaAnswer | None = None
    body: bytes = b""
    loss: http1_client.LossKind | None = None
    streamed: bool = False
    overtaken: bool = False

    @property
    def has_answer(self) -> bool:
        """Whether the replica answered a request that it ran."""
        return self.answer is not None and not self.answer.not_run


class Observer(Protocol):
    """Is notified of what a running attempt receives from its replica."""

    def on_answer(self, answer: wire.ReplicaAnswer) -> None:
        """Handles the head of the answer."""
        ...

    def on_first_event(self) -> None:
        """Handles the first event, or a plain answer that is no failure."""
        ...

    def on_event(self) -> None:
        """Handles events of a stream."""
        ...


def broken_off() -> Outcome:
    """Returns the outcome of an answer that ended early as if it were whole."""
    kind = http1_client.LossKind.CLOSED
    failure = errors.CallError(
        errors.ErrorKind.ANSWER_INCOMPLETE, kind.value, ran=errors.Ran.UNKNOWN
    )
    return Outcome(failure=failure, loss=kind)


def overtaken() -> Outcome:
    """Returns the outcome of an attempt that another one has overtaken."""
    failure = errors.CallError(
        errors.ErrorKind.CANCELLED,
        "another attempt has taken the request",
        ran=errors.Ran.UNKNOWN,
    )
    return Outcome(failure=failure, overtaken=True)


def _failure(kind: errors.ErrorKind, detail: str, ran: errors.Ran) -> Outcome:
    return Outcome(failure=errors.CallError(kind, detail, ran=ran))


def answer_buffers(
    limits: node.VmLimits,
) -> shared_bytes.SharedBytes[Attempt]:
    """Returns the buffers of the plain answers that are being received.

    The attempt with the largest answer is refused if all of them together are
    too large.

    Args:
      limits: what the process may use.
    """
    return shared_bytes.SharedBytes(
        buffered_bytes_max(limits),
        lambda attempt: attempt.buffered_bytes,
        lambda attempt: attempt.refuse(),
    )


def buffered_bytes_max(limits: node.VmLimits) -> int:
    """Returns the largest size of all plain answers on a VM, in bytes."""
    free_bytes = limits.memory_bytes - caller_bounds.PROCESS_BYTES
    share_bytes = int(free_bytes * BUFFERED_SHARE)
    return max(BUFFERED_BYTES_MIN, min(BUFFERED_BYTES_MAX, share_bytes))


class Attempt:
    """An attempt that buffers a plain answer, and the base of streams.

    Attributes:
      finished: receives the outcome, once.
      progress_ms: clock reading when data last arrived from the replica; at
        first, when the attempt was created.
      begun: whether a first event or a plain answer that is no failure has
        arrived.
      overtaken: whether another attempt has forwarded events since; False for
        a plain request.
    """

    def __init__(
        self,
        codec: wire.CallCodec,
        call: wire.RequestInfo,
        observer: Observer,
        time: clock.Clock,
        buffers: shared_bytes.SharedBytes[Attempt],
    ) -> None:
        """Creates an attempt whose request is about to be sent."""
        self._codec = codec
        self._call = call
        self._observer = observer
        self._clock = time
        self._answer: wire.ReplicaAnswer | None = None
        self._buffers = buffers
        self._body = bytearray()
        self.finished: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.progress_ms = time.now_ms()
        self.begun = False
        self.overtaken = False

    @property
    def answer(self) -> wire.ReplicaAnswer | None:
        """Head of the answer, None until it has arrived."""
        return self._answer

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the answer that are buffered."""
        return len(self._body)

    def on_head(self, head: http1_client.ResponseHead) -> None:
        """Checks that the answer belongs to the request, and reports it."""
        self.progress_ms = self._clock.now_ms()
        answer = self._codec.answer(head, self._call)
        if not answer.matches_request:
            self._finish(
                _failure(
                    errors.ErrorKind.ANSWER_INVALID,
                    "the answer belongs to another request",
                    errors.Ran.UNKNOWN,
                )
            )
            return
        self._answer = answer
        self._observer.on_answer(answer)

    def on_body(self, data: bytes) -> None:
        """Buffers a part of the body, up to `PLAIN_BODY_BYTES_MAX`."""
        self.progress_ms = self._clock.now_ms()
        if self.finished.done():
            return
        if len(self._body) + len(data) > PLAIN_BODY_BYTES_MAX:
            self.refuse()
            return
        self._body += data
        self._buffers.record(self)

    def refuse(self) -> None:
        """Finishes the attempt because its answer is too large."""
        self._finish(
            _failure(
                errors.ErrorKind.ANSWER_INVALID,
                "the answer is too large",
                errors.Ran.YES,
            )
        )

    def release(self) -> None:
        """Drops what is buffered; nothing more is received."""
        self._body = bytearray()
        self._buffers.forget(self)

    def leave(self) -> None:
        """Drops what the attempt shares with others at the same request."""

    def on_complete(self) -> None:
        """Finishes the attempt with the outcome of a complete answer."""
        answer = self._answer
        if answer is None:
            self.on_lost(http1_client.LossKind.MALFORMED)
            return
        outcome = _outcome_of(answer, bytes(self._body))
        if outcome.failure is None:
            # A refusal or failure must not count as a fast first event.
            self._record_first()
        self._finish(outcome)

    def on_lost(self, kind: http1_client.LossKind) -> None:
        """Finishes the attempt because the connection was lost."""
        ran = errors.Ran.UNKNOWN
        if self._answer is not None and self._answer.not_run:
            ran = errors.Ran.NO
        error_kind = (
            errors.ErrorKind.UPSTREAM_LOST
            if self._answer is None
            else errors.ErrorKind.ANSWER_INCOMPLETE
        )
        failure = errors.CallError(error_kind, kind.value, ran=ran)
        self._finish(Outcome(failure=failure, loss=kind))

    def _record_first(self) -> None:
        if not self.begun:
            self.begun = True
            self._observer.on_first_event()

    def _finish(self, outcome: Outcome) -> None:
        if not self.finished.done():
            self.finished.set_result(outcome)
            self.release()


def _outcome_of(answer: wire.ReplicaAnswer, body: bytes) -> Outcome:
    """Returns the outcome of a complete plain answer."""
    if answer.not_run:
        return Outcome(
            failure=errors.CallError(
                errors.ErrorKind.UPSTREAM_BUSY,
                f"refused with {answer.status}",
                ran=errors.Ran.NO,
            ),
            answer=answer,
            body=body,
        )
    if answer.status in _SUCCESS and (not answer.signed or answer.encoded):
        return _failure(
            errors.ErrorKind.ANSWER_INVALID,
            "the answer bears no proof of its replica",
            errors.Ran.YES,
        )
    if answer.status in _IMPLY_NOT_RUN:
        return _failure(
            errors.ErrorKind.UPSTREAM_FAILED,
            f"status {answer.status} without a word that it did not run",
            errors.Ran.UNKNOWN,
        )
    if answer.status >= _SERVER_ERROR_MIN:
        return Outcome(
            failure=errors.CallError(
                errors.ErrorKind.UPSTREAM_FAILED,
                f"status {answer.status}",
                ran=errors.Ran.YES,
            ),
            answer=answer,
            body=body,
        )
    return Outcome(failure=None, answer=answer, body=body)


class StreamRelay:
    """Forwards the events of a stream to its caller, over all attempts.

    Several attempts may run at the same time. The first one that has the next
    events forwards them; the others are overtaken and end.

    Attributes:
      events: number of events with an id that were forwarded.
      last_id: id of the last event that was forwarded, "" before the first.
      forwarded_ms: clock reading when events were last forwarded, minus
        infinity before the first.
      longest_gap_ms: longest time between two times at which events were
        forwarded.
    """

    def __init__(
        self, responder: http1_server.Responder, time: clock.Clock
    ) -> None:
        """Creates a relay that writes events to `responder`."""
        self._responder = responder
        self._clock = time
        self._attempts: list[StreamAttempt] = []
        self.events = 0
        self.last_id = ""
        self.forwarded_ms = float("-inf")
        self.longest_gap_ms = 0.0

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent to the caller."""
        return self._responder.started

    @property
    def contested(self) -> bool:
        """Whether several attempts run."""
        return len(self._attempts) > 1

    def join(self, attempt: StreamAttempt) -> None:
        """Adds an attempt that continues after the last forwarded event."""
        self._attempts.append(attempt)

    def leave(self, attempt: StreamAttempt) -> None:
        """Removes an attempt that has ended."""
        if attempt in self._attempts:
            self._attempts.remove(attempt)

    def forward(
        self,
        source: StreamAttempt,
        answer: wire.ReplicaAnswer,
        events: event_stream.Events,
    ) -> None:
        """Forwards complete events of an attempt that was not overtaken.

        The head is sent with the first event, so that a stream that fails
        before its first event can start again at another replica.
        """
        if not self._responder.started:
            self._responder.start(answer.status, answer.headers, None)
        self._responder.write(events.data)
        self.events += events.count
        self.last_id = events.last_id or self.last_id
        self._record_forwarded(self._clock.now_ms())
        self.overtake_others(source)

    def end(self, source: Attempt, answer: wire.ReplicaAnswer) -> None:
        """Ends the stream; sends the head if there were no events."""
        if not self._responder.started:
            self._responder.start(answer.status, answer.headers, None)
        self._responder.end()
        self.overtake_others(source)

    def overtake_others(self, source: Attempt) -> None:
        """Ends all attempts but one, which has the answer or its next part."""
        others = [other for other in self._attempts if other is not source]
        self._attempts = [each for each in self._attempts if each is source]
        for other in others:
            other.overtake()

    def _record_forwarded(self, now_ms: clock.Millis) -> None:
        if self.forwarded_ms > float("-inf"):
            gap_ms = now_ms - self.forwarded_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.forwarded_ms = now_ms


class StreamAttempt(Attempt):
    """An attempt that forwards events to the caller as they arrive."""

    def __init__(
        self,
        codec: wire.CallCodec,
        call: wire.RequestInfo,
        observer: Observer,
        time: clock.Clock,
        buffers: shared_bytes.SharedBytes[Attempt],
        relay: StreamRelay,
    ) -> None:
        """Creates an attempt that continues the stream of `relay`."""
        super().__init__(codec, call, observer, time, buffers)
        self._relay = relay
        self._splitter = event_stream.EventSplitter()
        # Comments, and events without an id, received beside other attempts.
        self._held = bytearray()
        self._streams = False
        relay.join(self)

    def leave(self) -> None:
        """Leaves the relay, which refers to its attempts."""
        self._relay.leave(self)

    def overtake(self) -> None:
        """Ends the attempt, since another one has forwarded events."""
        self.overtaken = True
        self._finish(overtaken())

    def on_head(self, head: http1_client.ResponseHead) -> None:
        """Detects whether the answer is a stream or plain, as a refusal is."""
        super().on_head(head)
        answer = self._answer
        if answer is None:
            return
        kind = head.header(b"content-type") or b""
        good = answer.status in _SUCCESS and answer.signed
        self._streams = (
            good and not answer.encoded and kind.startswith(_EVENT_STREAM)
        )

    def on_body(self, data: bytes) -> None:
        """Forwards complete events, or buffers a plain answer."""
        if not self._streams or self._answer is None:
            super().on_body(data)
            return
        if self.finished.done():
            return
        self.progress_ms = self._clock.now_ms()
        try:
            events = self._splitter.feed(data)
        except event_stream.EventTooLargeError:
            self._finish(
                _failure(
                    errors.ErrorKind.ANSWER_INVALID,
                    "an event is too large",
                    errors.Ran.YES,
                )
            )
            return
        if events.data:
            self._handle_events(self._answer, events)

    def _handle_events(
        self, answer: wire.ReplicaAnswer, events: event_stream.Events
    ) -> None:
        """Forwards events, or holds back those that prove no progress.

        A comment beside another attempt would end that one, though its replica
        may be the first to have the next event.
        """
        if not events.count and self._relay.contested:
            self._held += events.data
            if len(self._held) > event_stream.EVENT_BYTES_MAX:
                self._finish(
                    _failure(
                        errors.ErrorKind.ANSWER_INVALID,
                        "too much without an event id",
                        errors.Ran.YES,
                    )
                )
            return
        self._forward(answer, events)

    def _forward(
        self, answer: wire.ReplicaAnswer, events: event_stream.Events
    ) -> None:
        if self._held:
            data = bytes(self._held) + events.data
            events = msgspec.structs.replace(events, data=data)
            self._held.clear()
        self._relay.forward(self, answer, events)
        self._record_first()
        self._observer.on_event()

    def on_complete(self) -> None:
        """Finishes the attempt, as lost if the last event is partial.

        So is an attempt that has no event, and no marked end either.
        """
        if not self._streams or self._answer is None:
            super().on_complete()
            return
        empty = not self._answer.delimited and not self.begun
        if self._splitter.partial or empty:
            self.on_lost(http1_client.LossKind.CLOSED)
            return
        if self.finished.done():
            return
        if self._held:
            self._forward(self._answer, event_stream.Events())
        self._finish(Outcome(failure=None, answer=self._answer, streamed=True))

    def _finish(self, outcome: Outcome) -> None:
        if self.finished.done():
            return
        if outcome.failure is None and not outcome.streamed:
            outcome = self._checked_plain(outcome)
        if outcome.failure is not None:
            self._relay.leave(self)
        elif outcome.answer is not None and outcome.answer.delimited:
            # While the end of any other answer is verified, another attempt
            # may go on.
            self._relay.overtake_others(self)
        super()._finish(outcome)

    def _checked_plain(self, outcome: Outcome) -> Outcome:
        """Returns a plain outcome, as a failure if the stream has begun."""
        if not self._relay.started:
            return outcome
        return _failure(
            errors.ErrorKind.ANSWER_INVALID,
            "the answer does not continue the stream",
            errors.Ran.YES,
        )
