"""Builds the ASGI application of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Sequence
from typing import TYPE_CHECKING

from starlette import requests
from starlette import routing

from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.entry import unanswered

if TYPE_CHECKING:
    from starlette import types

_COUNTER_REASON = "http"


def build(
    routes: Sequence[routing.BaseRoute], totals: counters.Counters
) -> AnsweredApp:
    """Returns an application with the given routes.

    It is a bare router, because every part of a stream would pass through the
    middleware layers of a complete starlette application; see
    docs/design/relay.md.
    """
    return AnsweredApp(routing.Router(routes), totals)


class AnsweredApp:
    """Answers, or records, each request whose handler fails."""

    def __init__(self, app: types.ASGIApp, totals: counters.Counters) -> None:
        """Passes requests on to `app`."""
        self._app = app
        self._totals = totals
        self._unanswered = unanswered.UnansweredCalls(totals)

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Runs the handler of one request."""
        sent = _Sent(send)
        try:
            await self._app(scope, receive, sent.send)
        except requests.ClientDisconnect:
            # The caller left before its request was whole.
            return
        except asyncio.CancelledError:
            failure = errors.CallError(
                errors.ErrorKind.ENTRY_LEAVING, ran=errors.Ran.UNKNOWN
            )
            await self._end(
                scope,
                receive,
                sent,
                failure,
                unanswered.UnansweredReason.CLOSED,
            )
            raise
        except Exception as error:
            self._totals.add(
                counters.CounterName.INTERNAL_ERRORS, _COUNTER_REASON
            )
            logs.log_exception("internal_error", error, where=_COUNTER_REASON)
            await self._end(
                scope,
                receive,
                sent,
                errors.CallError(errors.ErrorKind.INTERNAL),
                unanswered.UnansweredReason.HANDLER_FAILED,
            )
            if sent.started:
                # The server closes the connection, so that the answer does
                # not look complete.
                raise

    async def _end(
        self,
        scope: types.Scope,
        receive: types.Receive,
        sent: _Sent,
        failure: errors.CallError,
        reason: unanswered.UnansweredReason,
    ) -> None:
        """Answers with `failure`, or records that an answer has begun."""
        request_id = caller_requests.request_id_of(requests.Request(scope))
        if sent.started:
            if not sent.complete:
                self._unanswered.record(request_id, reason)
            return
        body = answers.error_body(failure, request_id)
        await answers.error_response(body)(scope, receive, sent.send_first)


class _Sent:
    """What the handler of a request has passed to the server.

    `send` is no coroutine function: each part of a stream passes through it.
    """

    def __init__(self, send: types.Send) -> None:
        self.send_first = send
        self.started = False
        self.complete = False

    def send(self, message: types.Message) -> Awaitable[None]:
        """Passes a message on to the server."""
        if not self.started:
            self.started = True
        elif not message.get("more_body", False):
            self.complete = True
        return self.send_first(message)
