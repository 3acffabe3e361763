"""HTTP API of an entry for callers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Protocol

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from marlramp import clock
from marlramp import decoding
from marlramp import errors
from marlramp import ids
from marlramp import logs
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import run_tokens
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.entry import unanswered

if TYPE_CHECKING:
    from starlette import types

    from marlramp.entry import agent_queries
    from marlramp.entry import call as call_module
    from marlramp.entry import dispatcher
    from marlramp.platform import clients
    from marlramp.settings import store

ANSWER_BYTES_MAX = 16 * 1024 * 1024
"""Most bytes of an answer that is passed on as one document."""

_PLAIN_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"


class EntryDirectory(Protocol):
    """Lists the entries of the fleet."""

    @property
    def leaving(self) -> bool:
        """Whether this entry is shutting down."""
        ...

    def entries(self) -> list[clients.ListedVm]:
        """Returns the entries that callers may use."""
        ...

    def entries_of(self, vm_id: ids.VmId) -> list[clients.ListedVm]:
        """Returns the entries that an agent links to."""
        ...

    def is_among(self, entries: list[clients.ListedVm]) -> bool:
        """Returns whether this entry is one of `entries`."""
        ...


class AddressList(msgspec.Struct, frozen=True):
    """Answer of GET /v1/addresses.

    Attributes:
      addresses: base URLs of the entries, in random order.
      lifetime_ms: time for which the list is valid.
    """

    addresses: list[str]
    lifetime_ms: int


class IssuedToken(msgspec.Struct, frozen=True):
    """Answer of POST /v1/run-tokens.

    Attributes:
      run_token: the signed run token.
      lifetime_ms: time for which the run token is valid.
    """

    run_token: str
    lifetime_ms: int


class TokenRequest(msgspec.Struct, frozen=True):
    """Body of POST /v1/run-tokens.

    Attributes:
      service: service that the run token is for.
    """

    service: str


class RunOutcome(msgspec.Struct, frozen=True):
    """Answer of GET /v1/runs/{token}.

    Attributes:
      state: state of the run at its agent.
      ran: whether the request ran.
    """

    state: str
    ran: errors.Ran


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _CompletionEvent(msgspec.Struct):
    choices: list[_Choice] = []
    id: str = ""
    system_fingerprint: str = ""


class CallerApp:
    """Endpoints that callers use."""

    def __init__(
        self,
        call_dispatcher: dispatcher.Dispatcher,
        queries: agent_queries.AgentQueries,
        settings: store.SettingsStore,
        signer: run_tokens.TokenSigner,
        directory: EntryDirectory,
        unanswered_calls: unanswered.UnansweredCalls,
        time: clock.Clock,
    ) -> None:
        """Creates endpoints that submit calls to the dispatcher."""
        self._dispatcher = call_dispatcher
        self._queries = queries
        self._settings = settings
        self._signer = signer
        self._directory = directory
        self._unanswered = unanswered_calls
        self._clock = time

    def routes(self) -> list[routing.Route]:
        """Returns the routes of this interface."""
        return [
            routing.Route("/v1/addresses", self.addresses),
            routing.Route(
                "/v1/run-tokens", self.issue_run_token, methods=["POST"]
            ),
            routing.Route("/v1/runs/{token}", self.run_outcome),
            routing.Route(
                caller_requests.COMPLETION_PATH,
                _CompletionEndpoint(self),
                methods=["POST"],
            ),
            routing.Route(
                "/v1/services/{service}/{path:path}",
                self.plain,
                methods=_PLAIN_METHODS,
            ),
            routing.Route("/healthz", self.health),
        ]

    async def health(self, request: requests.Request) -> responses.Response:
        """Answers 200 while this entry accepts calls, else 503."""
        ready = self._settings.complete and not self._directory.leaving
        return responses.PlainTextResponse(
            "ready" if ready else "not ready", 200 if ready else 503
        )

    async def addresses(self, request: requests.Request) -> responses.Response:
        """Returns the entries to use and how long the list is valid."""
        values = self._settings.tree.effective()
        answer = AddressList(self._addresses(), values.address_lifetime_ms)
        return _json(answer)

    async def issue_run_token(
        self, request: requests.Request
    ) -> responses.Response:
        """Issues a run token for a non-idempotent call."""
        request_id = caller_requests.request_id_of(request)
        try:
            caller = caller_requests.read_headers(request, request_id)
            body = await caller_requests.read_body(request)
            token_request = _decode_token_request(body)
            service_id = ids.ServiceId(token_request.service)
            text = await self._issue_token(service_id, caller.customer_id)
        except errors.CallError as failure:
            return self._error(failure, request_id)
        values = self._settings.tree.effective(service_id)
        return _json(IssuedToken(text, values.run_token_lifetime_ms))

    async def run_outcome(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the state of a run token's run and whether it ran."""
        request_id = caller_requests.request_id_of(request)
        try:
            token = self._signer.decode(request.path_params["token"])
        except errors.CallError as error:
            return self._error(error, request_id)
        status = await self._queries.query_run(token)
        if status is None:
            failure = errors.CallError(
                errors.ErrorKind.UPSTREAM_LOST,
                "the VM of this run token does not answer",
            )
            return self._error(failure, request_id)
        ran = status.ran
        return _json(RunOutcome(status.state.value, ran))

    async def completions(
        self, request: requests.Request
    ) -> responses.Response | answers.StreamedAnswer:
        """Runs a completion and answers with a stream or one document."""
        request_id = caller_requests.request_id_of(request)
        try:
            caller = caller_requests.read_headers(request, request_id)
            body = await caller_requests.read_body(request)
            values = self._settings.tree.effective()
            spec, streamed = caller_requests.completion_spec(
                caller, body, values.request_timeout_ms, self._clock.now_ms()
            )
            call = await self._submit(spec, caller)
        except _TokenNeededError as needed:
            return self._error(needed.failure, request_id, needed.text)
        except errors.CallError as failure:
            return self._error(failure, request_id)
        if streamed:
            headers = {answers.REQUEST_ID_HEADER: str(request_id)}
            return answers.StreamedAnswer(
                call, self._dispatcher, self._unanswered, headers
            )
        return await self._completion_response(call, request.receive)

    async def plain(self, request: requests.Request) -> responses.Response:
        """Forwards a request to a plain service."""
        request_id = caller_requests.request_id_of(request)
        service = request.path_params["service"]
        try:
            caller = caller_requests.read_headers(request, request_id)
            body = await caller_requests.read_body(request)
            values = self._settings.tree.effective(ids.ServiceId(service))
            spec = caller_requests.plain_spec(
                caller,
                request,
                service,
                request.path_params["path"],
                body,
                values.request_timeout_ms,
                self._clock.now_ms(),
            )
            call = await self._submit(spec, caller)
        except _TokenNeededError as needed:
            return self._error(needed.failure, request_id, needed.text)
        except errors.CallError as failure:
            return self._error(failure, request_id)
        return await self._plain_response(call, request.receive)

    async def _submit(
        self, spec: calls.CallSpec, caller: caller_requests.CallerRequest
    ) -> call_module.Call:
        if caller.run_token:
            return self._submit_token(spec, caller.run_token)
        if not spec.idempotent:
            values = self._settings.tree.effective(
                spec.service_id, spec.customer_id
            )
            if values.run_token_required:
                await self._require_token(spec)
        return self._dispatcher.submit(spec, None)

    def _submit_token(
        self, spec: calls.CallSpec, text: str
    ) -> call_module.Call:
        """Submits a call with a run token.

        A refusal does not prove that the request did not run: another entry
        may have run an earlier request with this token.
        """
        try:
            token = self._signer.decode(text)
            self._check_reachable(token)
            return self._dispatcher.submit(spec, token)
        except errors.CallError as error:
            raise errors.CallError(
                error.kind,
                error.detail,
                ran=errors.Ran.UNKNOWN,
                retry_after_ms=error.retry_after_ms,
            ) from error

    def _check_reachable(self, token: run_tokens.RunToken) -> None:
        if self._dispatcher.is_linked(ids.VmId(token.vm_id)):
            return
        elsewhere = self._directory.entries_of(ids.VmId(token.vm_id))
        if elsewhere and not self._directory.is_among(elsewhere):
            raise errors.CallError(
                errors.ErrorKind.WRONG_ENTRY, ids.VmId(token.vm_id)
            )
        raise errors.CallError(
            errors.ErrorKind.UPSTREAM_LOST,
            "the VM of this run token is not connected",
        )

    async def _require_token(self, spec: calls.CallSpec) -> None:
        """Refuses a non-idempotent call, with a run token for its retry."""
        text = await self._issue_token(spec.service_id, spec.customer_id)
        failure = errors.CallError(errors.ErrorKind.RUN_TOKEN_REQUIRED)
        raise _TokenNeededError(failure, text)

    async def _issue_token(
        self, service_id: ids.ServiceId, customer_id: ids.CustomerId
    ) -> str:
        token = await self._queries.reserve(service_id, customer_id)
        return self._signer.encode(token)

    async def _completion_response(
        self, call: call_module.Call, receive: types.Receive
    ) -> responses.Response:
        try:
            data = await self._collect(call, receive)
        except errors.CallError as failure:
            return self._error(failure, call.spec.call_id)
        events = [
            msgspec.json.decode(
                line[len(_DATA_PREFIX) :], type=_CompletionEvent
            )
            for line in data.split(b"\n\n")
            if line.startswith(_DATA_PREFIX) and not line.endswith(_DONE)
        ]
        texts = [choice.text for e in events for choice in e.choices[:1]]
        reasons = [c.finish_reason for e in events for c in e.choices[:1]]
        body = {
            "id": call.spec.call_id,
            "object": "text_completion",
            "model": call.spec.service_id,
            "system_fingerprint": call.state.assembly.version,
            "choices": [
                {
                    "index": 0,
                    "text": "".join(texts),
                    "finish_reason": reasons[-1] if reasons else None,
                }
            ],
        }
        response = _json(body)
        response.headers[answers.REQUEST_ID_HEADER] = call.spec.call_id
        version = answers.header_value(call.state.assembly.version or "")
        response.headers[answers.VERSION_HEADER] = version
        return response

    async def _plain_response(
        self, call: call_module.Call, receive: types.Receive
    ) -> responses.Response:
        try:
            data = await self._collect(call, receive)
        except errors.CallError as failure:
            return self._error(failure, call.spec.call_id)
        return responses.Response(
            data,
            status_code=call.status or 200,
            headers={answers.REQUEST_ID_HEADER: call.spec.call_id},
            media_type=call.content_type or None,
        )

    async def _collect(
        self, call: call_module.Call, receive: types.Receive
    ) -> bytes:
        collected = bytearray()
        watch = answers.CallerWatch(call, self._dispatcher, receive)
        try:
            async with watch:
                while data := await call.next_data():
                    collected += data
                    if len(collected) > ANSWER_BYTES_MAX:
                        raise errors.CallError(
                            errors.ErrorKind.ANSWER_INCOMPLETE,
                            "the answer exceeds the size limit",
                            ran=errors.Ran.YES,
                        )
        finally:
            if watch.left:
                self._unanswered.record(
                    call.spec.call_id, unanswered.UnansweredReason.CALLER_LEFT
                )
        return bytes(collected)

    def _addresses(self) -> list[str]:
        listed = self._directory.entries()
        random.shuffle(listed)
        return [f"http://{vm.host}:{vm.http_port}" for vm in listed]

    def _error(
        self,
        failure: errors.CallError,
        request_id: ids.RequestId,
        run_token: str | None = None,
    ) -> responses.Response:
        addresses: list[str] = []
        if failure.kind is errors.ErrorKind.ENTRY_LEAVING:
            addresses = self._addresses()
        if failure.kind is errors.ErrorKind.WRONG_ENTRY:
            entries = self._directory.entries_of(ids.VmId(failure.detail))
            addresses = [f"http://{e.host}:{e.http_port}" for e in entries]
        logs.log("call_refused", call=request_id, kind=failure.kind.value)
        body = answers.error_body(failure, request_id, run_token, addresses)
        return answers.error_response(body)


class _CompletionEndpoint:
    """ASGI endpoint for completions.

    It is a class because starlette wraps a function in two layers, which every
    part of a stream would pass through.
    """

    def __init__(self, app: CallerApp) -> None:
        self._app = app

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        request = requests.Request(scope, receive, send)
        response = await self._app.completions(request)
        await response(scope, receive, send)


class _TokenNeededError(Exception):
    """A non-idempotent call was sent without a run token."""

    def __init__(self, failure: errors.CallError, text: str) -> None:
        super().__init__(str(failure))
        self.failure = failure
        self.text = text


def _decode_token_request(body: bytes) -> TokenRequest:
    try:
        return msgspec.json.decode(body, type=TokenRequest)
    except decoding.MALFORMED as error:
        raise errors.CallError(
            errors.ErrorKind.INVALID_REQUEST, f"body: {error}"
        ) from error


def _json(value: object) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), media_type="application/json"
    )
