"""Parses callers' HTTP requests into call specifications."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
import uuid

import msgspec

from marlramp import clock
from marlramp import decoding
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import queueing
from marlramp.core.weights import manifest
from marlramp.entry import answers
from marlramp.protocol import messages

if TYPE_CHECKING:
    from starlette import requests

CUSTOMER_HEADER = "marlramp-customer"
PRIORITY_HEADER = "marlramp-priority"
TIMEOUT_HEADER = "marlramp-timeout-ms"
IDEMPOTENT_HEADER = "marlramp-idempotent"

COMPLETION_PATH = "/v1/completions"

TOKENS_DEFAULT = 16
"""Value of `max_tokens` for a completion request without it."""

PREFIX_CHARACTERS = 256
"""Length of the start of a prompt that `prefix_digest` covers."""

TIMEOUT_MAX_MS = 3_600_000.0
"""Longest timeout that a caller may set, 1 h."""

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
_REQUEST_ID = re.compile(r"^[\x21-\x7e]{1,128}$")
_BOOLEANS = {"true": True, "false": False}


class CompletionRequest(msgspec.Struct):
    """The fields of a completion request that the entry reads.

    Attributes:
      model: id of the service.
      prompt: the prompt; only a text has a prefix digest.
      max_tokens: largest number of tokens to generate.
      stream: whether the caller wants a streamed answer; the entry receives
        a stream from the engine in any case.
    """

    model: str
    prompt: str | list[object] = ""
    max_tokens: int = TOKENS_DEFAULT
    stream: bool = False


class CallerRequest(msgspec.Struct, frozen=True):
    """Values from the headers of a caller's request.

    Attributes:
      request_id: the caller's request id, or a generated one.
      customer_id: the customer.
      priority: priority of the request.
      timeout_ms: time until the deadline, None for the default.
      idempotent: whether the request may be repeated. None for the default:
        yes for a completion, else by the HTTP method.
      run_token: the run token of the request, empty for none.
    """

    request_id: ids.RequestId
    customer_id: ids.CustomerId
    priority: queueing.Priority
    timeout_ms: float | None
    idempotent: bool | None
    run_token: str


def request_id_of(request: requests.Request) -> ids.RequestId:
    """Returns the caller's request id, or a new one if it has no valid id."""
    given = request.headers.get(answers.REQUEST_ID_HEADER, "")
    if _REQUEST_ID.match(given):
        return ids.RequestId(given)
    return ids.RequestId(uuid.uuid4().hex)


def read_headers(
    request: requests.Request, request_id: ids.RequestId
) -> CallerRequest:
    """Returns the values of the headers.

    Raises:
      errors.CallError: if the customer is missing or a value is invalid.
    """
    headers = request.headers
    customer = headers.get(CUSTOMER_HEADER, "")
    if not customer:
        raise _invalid(f"header {CUSTOMER_HEADER} is missing")
    return CallerRequest(
        request_id,
        ids.CustomerId(customer),
        _priority(headers.get(PRIORITY_HEADER, "normal")),
        _timeout_ms(headers.get(TIMEOUT_HEADER)),
        _idempotent(headers.get(IDEMPOTENT_HEADER)),
        headers.get(answers.RUN_TOKEN_HEADER, ""),
    )


async def read_body(
    request: requests.Request, bytes_max: int = messages.BODY_BYTES_MAX
) -> bytes:
    """Returns the body of a request.

    Raises:
      errors.CallError: if the body exceeds `bytes_max`.
    """
    declared = request.headers.get("content-length", "0")
    if declared.isdigit() and int(declared) > bytes_max:
        raise errors.CallError(errors.ErrorKind.BODY_TOO_LARGE)
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > bytes_max:
            raise errors.CallError(errors.ErrorKind.BODY_TOO_LARGE)
    return bytes(body)


def completion_spec(
    caller: CallerRequest,
    body: bytes,
    default_timeout_ms: float,
    now_ms: clock.Millis,
) -> tuple[calls.CallSpec, bool]:
    """Returns the call for a completion and whether the caller wants a stream.

    The call itself always receives a stream from the engine.

    Raises:
      errors.CallError: if the body is not a completion request.
    """
    try:
        completion = msgspec.json.decode(body, type=CompletionRequest)
    except decoding.MALFORMED as error:
        raise _invalid(f"body: {error}") from error
    if completion.max_tokens < 1:
        raise _invalid("body: max_tokens must be at least 1")
    timeout_ms = caller.timeout_ms or default_timeout_ms
    spec = calls.CallSpec(
        call_id=caller.request_id,
        customer_id=caller.customer_id,
        service_id=ids.ServiceId(completion.model),
        priority=caller.priority,
        deadline_ms=now_ms + timeout_ms,
        idempotent=caller.idempotent is not False,
        method="POST",
        path=COMPLETION_PATH,
        content_type="application/json",
        body=body,
        stream=True,
        tokens=completion.max_tokens,
        prefix=prefix_digest(completion.prompt),
    )
    return spec, completion.stream


def plain_spec(
    caller: CallerRequest,
    request: requests.Request,
    service: str,
    path: str,
    body: bytes,
    default_timeout_ms: float,
    now_ms: clock.Millis,
) -> calls.CallSpec:
    """Returns the call for a request other than a completion."""
    idempotent = caller.idempotent
    if idempotent is None:
        idempotent = request.method in _IDEMPOTENT_METHODS
    query = request.url.query
    return calls.CallSpec(
        call_id=caller.request_id,
        customer_id=caller.customer_id,
        service_id=ids.ServiceId(service),
        priority=caller.priority,
        deadline_ms=now_ms + (caller.timeout_ms or default_timeout_ms),
        idempotent=idempotent,
        method=request.method,
        path=f"/{path}?{query}" if query else f"/{path}",
        content_type=request.headers.get(
            "content-type", "application/octet-stream"
        ),
        body=body,
        stream=False,
        tokens=0,
        prefix="",
    )


def prefix_digest(prompt: str | list[object]) -> str:
    """Returns the digest of the first `PREFIX_CHARACTERS` of a prompt.

    Agents report the digests of prompt starts that engines have cached. The
    digest is empty for a prompt that is not a text.
    """
    if not isinstance(prompt, str):
        return ""
    return manifest.digest_of(prompt[:PREFIX_CHARACTERS].encode())[:16]


def _priority(text: str) -> queueing.Priority:
    try:
        return queueing.Priority[text.upper()]
    except KeyError as error:
        raise _invalid(
            f"header {PRIORITY_HEADER}: expected low, normal or high"
        ) from error


def _timeout_ms(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not 0 < value <= TIMEOUT_MAX_MS:
        raise _invalid(
            f"header {TIMEOUT_HEADER}: expected milliseconds up to "
            f"{TIMEOUT_MAX_MS:.0f}"
        )
    return value


def _idempotent(text: str | None) -> bool | None:
    if text is None:
        return None
    try:
        return _BOOLEANS[text.lower()]
    except KeyError as error:
        raise _invalid(
            f"header {IDEMPOTENT_HEADER}: expected true or false"
        ) from error


def _invalid(detail: str) -> errors.CallError:
    return errors.CallError(errors.ErrorKind.INVALID_REQUEST, detail)
