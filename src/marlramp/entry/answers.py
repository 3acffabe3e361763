"""Answers to callers: errors with their kind, and streamed events."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Generator
import math
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from starlette import responses

from marlramp import clock
from marlramp import errors
from marlramp.entry import call as call_module

if TYPE_CHECKING:
    from starlette import types

    from marlramp.entry import dispatcher

REQUEST_ID_HEADER = "x-request-id"
RUN_TOKEN_HEADER = "marlramp-run-token"
RAN_HEADER = "marlramp-ran"
VERSION_HEADER = "marlramp-version"
ERROR_KIND_HEADER = "marlramp-error"

KEPT_BYTES_MAX = 1024 * 1024
"""Most data kept for a caller that reads more slowly than it is answered."""


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON form of an error.

    Attributes:
      kind: one of `errors.ErrorKind`.
      message: explanation.
      ran: whether the request ran: no, yes or unknown.
      retry_after_ms: when to come back, None if a retry cannot help.
      request_id: the caller's request id.
      run_token: a token to send the request again with, if one was made.
      addresses: entries to use instead, if others are better.
    """

    kind: errors.ErrorKind
    message: str
    ran: errors.Ran
    retry_after_ms: int | None
    request_id: str
    run_token: str | None = None
    addresses: list[str] = []


class ErrorDocument(msgspec.Struct, frozen=True):
    """Outermost object of an error answer."""

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
    """Returns the event that ends a stream which is not whole."""
    data = msgspec.json.encode(ErrorDocument(body))
    return b"event: error\ndata: " + data + b"\n\n"


class StreamedAnswer:
    """ASGI response that relays the answer of a call as it arrives.

    Nothing is sent before the first part, so that a call that fails early
    gets an error status. A stream that fails later ends with an error event
    and without the event that marks a whole answer.
    """

    def __init__(
        self,
        call: call_module.Call,
        owner: dispatcher.Dispatcher,
        headers: dict[str, str],
    ) -> None:
        """Relays `call`, which the dispatcher `owner` drives."""
        self._call = call
        self._owner = owner
        self._headers = headers

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the answer; the call is abandoned if the caller goes away."""
        watcher = asyncio.create_task(self._watch(receive))
        try:
            await self._relay(scope, receive, send)
        finally:
            watcher.cancel()
            self._owner.abandon(self._call)

    async def _relay(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        call = self._call
        request_id = call.spec.call_id
        try:
            data = await call.next_data()
        except errors.CallError as failure:
            response = error_response(error_body(failure, request_id))
            await response(scope, receive, send)
            return
        await send(self._start())
        await send(_body(data, more=True))
        writer = _DirectWriter(send, lambda: self._owner.abandon(call))
        call.attach(writer.write)
        try:
            await call.whole()
        except errors.CallError as failure:
            writer.write(error_event(error_body(failure, request_id)))
        await writer.flush()
        await send(_body(b"", more=False))

    def _start(self) -> dict[str, object]:
        call = self._call
        version = call.state.assembly.version or ""
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

    async def _watch(self, receive: types.Receive) -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self._owner.abandon(self._call)
                return


class _DirectWriter:
    """Writes to a caller in the step of the loop that brought the data.

    The ASGI server's `send` only waits when the caller reads too slowly, so
    it is run without a task; when it does wait, a task takes over and further
    data is kept until it is done.
    """

    def __init__(
        self, send: types.Send, on_too_slow: Callable[[], None]
    ) -> None:
        """Calls `on_too_slow` when too much data is kept."""
        self._send = send
        self._on_too_slow = on_too_slow
        self._task: asyncio.Task[None] | None = None
        self._kept: list[bytes] = []
        self._kept_bytes = 0

    def write(self, data: bytes) -> None:
        """Writes now, or keeps data for a caller that reads slowly."""
        if self._task is not None:
            self._keep(data)
            return
        sending = self._send(_body(data, more=True)).__await__()
        try:
            waited = next(sending)
        except StopIteration:
            return
        self._task = asyncio.create_task(self._drain(sending, waited))

    async def flush(self) -> None:
        """Returns when everything has been written."""
        while self._task is not None:
            await self._task

    def _keep(self, data: bytes) -> None:
        self._kept.append(data)
        self._kept_bytes += len(data)
        if self._kept_bytes > KEPT_BYTES_MAX:
            self._on_too_slow()

    async def _drain(
        self,
        sending: Generator[Any, None, None],
        waited: Awaitable[object],
    ) -> None:
        """Finishes a write that had to wait, then writes what was kept."""
        try:
            await _finish(sending, waited)
            while self._kept:
                data = b"".join(self._kept)
                self._kept.clear()
                self._kept_bytes = 0
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
