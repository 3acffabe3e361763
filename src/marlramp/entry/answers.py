"""HTTP answers to callers: error documents and streamed answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Generator
import math
import re
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from starlette import responses

from marlramp import clock
from marlramp import errors
from marlramp.entry import call as call_module
from marlramp.entry import unanswered

if TYPE_CHECKING:
    from starlette import types

    from marlramp.entry import dispatcher

REQUEST_ID_HEADER = "x-request-id"
RUN_TOKEN_HEADER = "marlramp-run-token"
RAN_HEADER = "marlramp-ran"
VERSION_HEADER = "marlramp-version"
ERROR_KIND_HEADER = "marlramp-error"

BUFFERED_BYTES_MAX = 1024 * 1024
"""Most data buffered for a caller that reads slowly; beyond it the call is
abandoned."""


_HEADER_VALUE = re.compile(r"[\x20-\x7e\t]*")


def header_value(text: str) -> str:
    """Returns a text of an upstream if a header may hold it, else ""."""
    return text if _HEADER_VALUE.fullmatch(text) else ""


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON form of an error.

    Attributes:
      kind: one of `errors.ErrorKind`.
      message: explanation for people.
      ran: whether the request ran: no, yes or unknown.
      retry_after_ms: recommended wait before a retry, None if a retry cannot
        help.
      request_id: the caller's request id.
      run_token: a run token to send the request again with, or None.
      addresses: addresses of entries to use instead, empty for none.
    """

    kind: errors.ErrorKind
    message: str
    ran: errors.Ran
    retry_after_ms: int | None
    request_id: str
    run_token: str | None = None
    addresses: list[str] = []


class ErrorDocument(msgspec.Struct, frozen=True):
    """Top-level JSON object of an error answer."""

    error: ErrorBody


def error_body(
    failure: errors.CallError,
    request_id: str,
    run_token: str | None = None,
    addresses: list[str] | None = None,
) -> ErrorBody:
    """Returns the JSON form of a failure."""
    return ErrorBody(
        failure.kind,
        failure.detail,
        failure.ran,
        failure.retry_after_ms,
        request_id,
        run_token,
        addresses or [],
    )


def error_response(body: ErrorBody) -> responses.Response:
    """Returns the HTTP answer for an error."""
    headers = {
        REQUEST_ID_HEADER: body.request_id,
        RAN_HEADER: body.ran.value,
        ERROR_KIND_HEADER: body.kind.value,
    }
    if body.retry_after_ms is not None:
        seconds = math.ceil(body.retry_after_ms / clock.MILLIS_PER_SECOND)
        headers["retry-after"] = str(seconds)
    if body.run_token is not None:
        headers[RUN_TOKEN_HEADER] = body.run_token
    return responses.Response(
        msgspec.json.encode(ErrorDocument(body)),
        status_code=errors.ANSWERS[body.kind].status,
        headers=headers,
        media_type="application/json",
    )


def error_event(body: ErrorBody) -> bytes:
    """Returns the event that ends an incomplete stream."""
    data = msgspec.json.encode(ErrorDocument(body))
    return b"event: error\ndata: " + data + b"\n\n"


class CallerWatch:
    """Abandons a call when its caller disconnects; an async context manager.

    Attributes:
      left: whether the caller has disconnected.
    """

    def __init__(
        self,
        call: call_module.Call,
        call_dispatcher: dispatcher.Dispatcher,
        receive: types.Receive,
    ) -> None:
        """Watches the caller of `call` within the context."""
        self._call = call
        self._dispatcher = call_dispatcher
        self._receive = receive
        self._task: asyncio.Task[None] | None = None
        self.left = False

    async def __aenter__(self) -> CallerWatch:
        """Starts to watch."""
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends the watch, and the call if it goes on."""
        if self._task is not None:
            self._task.cancel()
        self._dispatcher.abandon(self._call)

    async def _watch(self) -> None:
        while not self.left:
            message = await self._receive()
            self.left = message["type"] == "http.disconnect"
        self._dispatcher.abandon(self._call)


class StreamedAnswer:
    """ASGI response that streams the answer of a call as it arrives.

    Nothing is sent before the first part, so that a call that fails before it
    is answered with an error status. A stream that fails later ends with an
    error event and without the event that marks a complete answer.
    """

    def __init__(
        self,
        call: call_module.Call,
        call_dispatcher: dispatcher.Dispatcher,
        unanswered_calls: unanswered.UnansweredCalls,
        headers: dict[str, str],
    ) -> None:
        """Streams the answer of `call`."""
        self._call = call
        self._dispatcher = call_dispatcher
        self._unanswered = unanswered_calls
        self._headers = headers

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the answer; abandons the call if the caller disconnects."""
        watch = CallerWatch(self._call, self._dispatcher, receive)
        async with watch:
            reason = await self._relay(scope, receive, send)
        if watch.left:
            reason = unanswered.UnansweredReason.CALLER_LEFT
        if reason is not None:
            self._unanswered.record(self._call.spec.call_id, reason)

    async def _relay(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> unanswered.UnansweredReason | None:
        """Sends the answer; returns why it is not complete, else None."""
        call = self._call
        request_id = call.spec.call_id
        try:
            data = await call.next_data()
        except errors.CallError as failure:
            response = error_response(error_body(failure, request_id))
            await response(scope, receive, send)
            return None
        await send(self._start())
        await send(_body(data, more=True))
        reason = None
        writer = _DirectWriter(send, lambda: self._dispatcher.abandon(call))
        call.attach(writer.write)
        try:
            await call.wait_complete()
        except errors.CallError as failure:
            reason = unanswered.UnansweredReason.BROKEN_OFF
            if writer.overflowed:
                reason = unanswered.UnansweredReason.CALLER_SLOW
            writer.write(error_event(error_body(failure, request_id)))
        await writer.flush()
        await send(_body(b"", more=False))
        return reason

    def _start(self) -> dict[str, object]:
        call = self._call
        version = header_value(call.state.assembly.version or "")
        headers = {
            "content-type": call.content_type or "text/event-stream",
            "cache-control": "no-store",
            VERSION_HEADER: version,
            **self._headers,
        }
        return {
            "type": "http.response.start",
            "status": call.status or 200,
            "headers": [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers.items()
            ],
        }


class _DirectWriter:
    """Writes to a caller in the event loop step in which the data arrived.

    The ASGI server's `send` waits only if the caller reads too slowly, so it is
    called without a task. If it does wait, a task completes the write, and
    later data is buffered until then.

    Attributes:
      overflowed: whether too much data was buffered.
    """

    def __init__(
        self, send: types.Send, on_overflow: Callable[[], None]
    ) -> None:
        """Calls `on_overflow` when too much data is buffered."""
        self._send = send
        self._on_overflow = on_overflow
        self._task: asyncio.Task[None] | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self.overflowed = False

    def write(self, data: bytes) -> None:
        """Writes data at once, or buffers it while an earlier write waits."""
        if self._task is not None:
            self._buffer(data)
            return
        sending = self._send(_body(data, more=True)).__await__()
        try:
            waited = next(sending)
        except StopIteration:
            return
        self._task = asyncio.create_task(self._drain(sending, waited))

    async def flush(self) -> None:
        """Waits until all data has been written."""
        while self._task is not None:
            await self._task

    def _buffer(self, data: bytes) -> None:
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > BUFFERED_BYTES_MAX and not self.overflowed:
            self.overflowed = True
            self._on_overflow()

    async def _drain(
        self,
        sending: Generator[Any, None, None],
        waited: Awaitable[object],
    ) -> None:
        """Completes a write that waits, then writes the buffered data."""
        try:
            await _finish(sending, waited)
            while self._buffered:
                data = b"".join(self._buffered)
                self._buffered.clear()
                self._buffered_bytes = 0
                await self._send(_body(data, more=True))
        finally:
            self._task = None


async def _finish(
    sending: Generator[Any, None, None], waited: Awaitable[object]
) -> None:
    while True:
        await waited
        try:
            waited = next(sending)
        except StopIteration:
            return


def _body(data: bytes, *, more: bool) -> dict[str, object]:
    return {"type": "http.response.body", "body": data, "more_body": more}
