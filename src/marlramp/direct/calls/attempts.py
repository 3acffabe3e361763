"""One request at one replica, and what came of it."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.core import event_stream
from marlramp.direct.calls import wire
from marlramp.shell import http1_client
from marlramp.shell import http1_server

PLAIN_BODY_BYTES_MAX = 8_388_608
"""A plain answer is held back until it is whole, up to this size."""

_SUCCESS = range(200, 300)
_FAILURE_FIRST = 500
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run."""

_EVENT_STREAM = b"text/event-stream"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended.

    Attributes:
      failure: why it brought no answer to pass on, None if it did.
      answer: head of the answer, None if there was none.
      body: whole body of a plain answer.
      loss: how its connection was lost, None if it was not.
    """

    failure: errors.CallError | None
    answer: wire.ReplicaAnswer | None = None
    body: bytes = b""
    loss: http1_client.LossKind | None = None


class Observer(Protocol):
    """Hears what an attempt learns of its replica while it runs."""

    def on_answer(self, answer: wire.ReplicaAnswer) -> None:
        """The head of the answer has arrived."""
        ...

    def on_first(self) -> None:
        """The first event, or a good plain answer, has arrived."""
        ...

    def on_event(self) -> None:
        """An event of a stream has arrived."""
        ...


def _failure(kind: errors.ErrorKind, detail: str, ran: errors.Ran) -> Outcome:
    return Outcome(failure=errors.CallError(kind, detail, ran=ran))


class Attempt:
    """Base of attempts: checks the head and reports the outcome once.

    Attributes:
      progress_ms: when anything arrived last.
      begun: whether a first event or a good answer has arrived.
    """

    def __init__(
        self,
        codec: wire.CallCodec,
        call: wire.CallerCall,
        observer: Observer,
        time: clock.Clock,
    ) -> None:
        """Starts before the request is sent."""
        self._codec = codec
        self._call = call
        self._observer = observer
        self._clock = time
        self._answer: wire.ReplicaAnswer | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.finished: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.progress_ms = time.now_ms()
        self.begun = False

    @property
    def answer(self) -> wire.ReplicaAnswer | None:
        """Head of the answer, None before it arrived."""
        return self._answer

    def on_head(self, head: http1_client.ResponseHead) -> None:
        """Checks whose answer this is."""
        self.progress_ms = self._clock.now_ms()
        answer = self._codec.answer(head, self._call)
        if not answer.mine:
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
        """Collects a part of the body."""
        self.progress_ms = self._clock.now_ms()
        self._body_bytes += len(data)
        if self._body_bytes > PLAIN_BODY_BYTES_MAX:
            self._finish(
                _failure(
                    errors.ErrorKind.ANSWER_INVALID,
                    "the answer is too large",
                    errors.Ran.YES,
                )
            )
            return
        self._body.append(data)

    def on_complete(self) -> None:
        """Judges a whole answer."""
        answer = self._answer
        if answer is None:
            self.on_lost(http1_client.LossKind.MALFORMED)
            return
        outcome = _judge(answer, b"".join(self._body))
        if outcome.failure is None:
            # A replica that refuses or fails at once is no quick replica.
            self._begin()
        self._finish(outcome)

    def on_lost(self, kind: http1_client.LossKind) -> None:
        """Reports that no whole answer came."""
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

    def _begin(self) -> None:
        if not self.begun:
            self.begun = True
            self._observer.on_first()

    def _finish(self, outcome: Outcome) -> None:
        if not self.finished.done():
            self.finished.set_result(outcome)


def _judge(answer: wire.ReplicaAnswer, body: bytes) -> Outcome:
    """Returns what a whole answer means for the call."""
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
    if answer.status in _PROMISES_NOT_RUN:
        return _failure(
            errors.ErrorKind.UPSTREAM_FAILED,
            f"status {answer.status} without a word that it did not run",
            errors.Ran.UNKNOWN,
        )
    if answer.status >= _FAILURE_FIRST:
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
    """What a caller got of a stream, over all attempts.

    Attributes:
      splitter: whole events passed on so far.
      passed_ms: when the last event was passed on, minus infinity before.
      longest_pause_ms: longest time between two events passed on.
    """

    def __init__(
        self, responder: http1_server.Responder, time: clock.Clock
    ) -> None:
        """Passes events on to `responder`."""
        self._responder = responder
        self._clock = time
        self.passed_ms = float("-inf")
        self.longest_pause_ms = 0.0
        self.splitter = event_stream.EventSplitter()

    @property
    def started(self) -> bool:
        """Whether the caller got the head and an event."""
        return self._responder.started

    def pass_on(self, answer: wire.ReplicaAnswer, data: bytes) -> bool:
        """Passes whole events on; returns whether there were any.

        The head waits for the first event, so that a stream that fails before
        it may start afresh elsewhere.
        """
        whole = self.splitter.feed(data)
        if not whole:
            return False
        if not self._responder.started:
            self._responder.start(answer.status, answer.headers, None)
        self._responder.write(whole)
        self._note_passed(self._clock.now_ms())
        return True

    def _note_passed(self, now_ms: clock.Millis) -> None:
        if self.passed_ms > float("-inf"):
            pause_ms = now_ms - self.passed_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.passed_ms = now_ms

    def end(self, answer: wire.ReplicaAnswer) -> None:
        """Completes the stream."""
        if not self._responder.started:
            self._responder.start(answer.status, answer.headers, None)
        self._responder.end()


class StreamAttempt(Attempt):
    """An attempt whose events go on to the caller as they arrive."""

    def __init__(
        self,
        codec: wire.CallCodec,
        call: wire.CallerCall,
        observer: Observer,
        time: clock.Clock,
        relay: StreamRelay,
    ) -> None:
        """Goes on where `relay` stands."""
        super().__init__(codec, call, observer, time)
        self._relay = relay
        self._streams = False

    def on_head(self, head: http1_client.ResponseHead) -> None:
        """Tells events from a plain answer, such as a refusal."""
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
        """Passes whole events on."""
        if not self._streams or self._answer is None:
            super().on_body(data)
            return
        if self.finished.done():
            return
        self.progress_ms = self._clock.now_ms()
        try:
            passed = self._relay.pass_on(self._answer, data)
        except event_stream.EventTooLargeError:
            self._finish(
                _failure(
                    errors.ErrorKind.ANSWER_INVALID,
                    "an event is too large",
                    errors.Ran.YES,
                )
            )
            return
        if passed:
            self._begin()
            self._observer.on_event()

    def on_complete(self) -> None:
        """Ends the stream if it ended with a whole event."""
        if not self._streams or self._answer is None:
            super().on_complete()
            return
        if self._relay.splitter.partial:
            self.on_lost(http1_client.LossKind.CLOSED)
            return
        if self.finished.done():
            return
        self._relay.end(self._answer)
        self._finish(Outcome(failure=None, answer=self._answer))
