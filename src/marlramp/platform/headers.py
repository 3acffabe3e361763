"""Reads and writes the platform's request and response headers."""

from __future__ import annotations

import math
import string

from marlramp import errors
from marlramp import ids
from marlramp.direct.calls import wire
from marlramp.shell import http1_client
from marlramp.shell import http1_request_reader
from marlramp.shell import http1_server
from marlramp.shell import retry_after

_REQUEST_ID = b"x-attempt-id"
# Time for which the sender of a request still waits, not a point in time.
_WAIT_MS = b"x-deadline-ms"
_CUSTOMER = b"x-tenant"
_EXPECT_REPLICA = b"x-expect-replica"
_EXPECT_WEIGHTS = b"x-expect-version"
_PRIORITY = b"x-request-priority"
_RESUME = b"last-event-id"
# Number of prompt tokens and limit of output tokens, not the tokens used.
_TOKEN_COUNTS = b"x-token-usage"
_LENGTH_HINT = b"x-length-hint"
# Parts of the prompt in their order, as ID:TOKENS with a hexadecimal id.
_PROMPT_PARTS = b"x-prefix-hash"
_SIGNATURE = b"x-replica-signature"
_NOT_RUN = b"x-not-executed"
_LOAD = b"x-replica-load"
# Requests per second that a replica accepts from all callers together.
_RATE_LIMIT = b"server-limit"
# "1" in all answers of a replica that is leaving.
_LEAVING = b"server-leaving"
# Milliseconds until the replica is no longer cold.
_COLD_LEFT_MS = b"x-cold-ms"
_WEIGHTS = b"x-weight-versions"
_PIPELINE = b"path"

_MISDIRECTED = 421
_LOAD_FIELDS = 3
_PART_ID_LENGTH_MAX = 32
# A cold start takes seconds, so that a longer time is an error of the replica.
_COLD_LEFT_MS_MAX = 300_000.0

_HEX_DIGITS = frozenset(string.hexdigits)

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
_SET_BY_SYSTEM = frozenset(
    {
        b"authorization",
        b"expect",
        _WAIT_MS,
        _CUSTOMER,
        _EXPECT_REPLICA,
        _EXPECT_WEIGHTS,
        _PRIORITY,
        _PIPELINE,
    }
)


def request_id(request: http1_server.Request) -> ids.RequestId:
    """Returns the id of a caller's request, "" if it has none."""
    return request_id_in(request.headers)


def request_id_in(headers: list[tuple[bytes, bytes]]) -> ids.RequestId:
    """Returns the id among the headers of a request, "" if it is not there."""
    value = http1_request_reader.header_value(headers, _REQUEST_ID)
    return ids.RequestId(value)


class PlatformCallCodec:
    """Implements `CallCodec` for the platform's headers."""

    def read(self, request: http1_server.Request) -> wire.RequestInfo:
        """Returns the contents of the headers of a caller's request."""
        tokens = _integers(request.header(_TOKEN_COUNTS), "token counts")
        hint = _integers(request.header(_LENGTH_HINT), "length hint")
        wait = request.header(_WAIT_MS)
        path, _, _ = request.target.partition(b"?")
        return wire.RequestInfo(
            request_id=request_id(request),
            host=_host(request.header(b"host")),
            path=path.decode("latin-1"),
            authorization=request.header(b"authorization"),
            wait_ms=_wait_ms(wait) if wait else None,
            prompt_tokens=tokens[0] if tokens else 0,
            output_tokens_max=tokens[1] if len(tokens) > 1 else 0,
            output_tokens_hint=hint[0] if hint else 0,
            shared_parts=_shared_parts(request.header(_PROMPT_PARTS)),
        )

    def head(
        self, request: http1_server.Request, dispatch: wire.Dispatch
    ) -> bytes:
        """Returns the request line and headers of the request to a replica."""
        dropped = _HOP_BY_HOP | _SET_BY_SYSTEM | _named_in_connection(request)
        if dispatch.resume_after:
            dropped |= {_RESUME}
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in dropped
        ]
        headers.append((_WAIT_MS, b"%d" % max(1, int(dispatch.wait_ms))))
        headers.append((_EXPECT_REPLICA, dispatch.replica_id.encode()))
        if dispatch.customer_id is not None:
            headers.append((_CUSTOMER, dispatch.customer_id.encode()))
        if dispatch.weights is not None:
            headers.append((_EXPECT_WEIGHTS, b"%d" % dispatch.weights))
        if dispatch.priority is not None:
            headers.append((_PRIORITY, b"%d" % dispatch.priority))
        if dispatch.resume_after:
            headers.append((_RESUME, dispatch.resume_after.encode()))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        lines = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
        lines.extend(name + b": " + value for name, value in headers)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def answer(
        self, head: http1_client.ResponseHead, call: wire.RequestInfo
    ) -> wire.ReplicaAnswer:
        """Returns the contents of the headers of a replica's answer."""
        echo = head.header(_REQUEST_ID)
        not_run = head.header(_NOT_RUN) is not None
        weights = head.header(_WEIGHTS)
        matches_request = (
            echo is None or echo.decode("latin-1") == call.request_id
        )
        limit_per_s, limit_unreadable = _limit(head)
        asked = retry_after.of_answer(head)
        cold_left_ms, cold_unreadable = _cold_left_ms(head)
        return wire.ReplicaAnswer(
            status=head.status,
            matches_request=matches_request,
            signed=head.header(_SIGNATURE) is not None,
            not_run=not_run or head.status == _MISDIRECTED,
            encoded=head.header(b"content-encoding") is not None,
            weights=int(weights) if weights and weights.isdigit() else None,
            load=_load(head.header(_LOAD)),
            limit_per_s=limit_per_s,
            limit_unreadable=limit_unreadable,
            retry_after_ms=asked.wait_ms,
            retry_after_unreadable=asked.unreadable,
            leaving=says_leaving(head),
            cold_left_ms=cold_left_ms,
            cold_unreadable=cold_unreadable,
            delimited=head.delimited,
            proxied=head.header(b"via") is not None,
            headers=[
                (name, value)
                for name, value in head.headers
                if name not in _HOP_BY_HOP
            ],
        )


def says_leaving(head: http1_client.ResponseHead) -> bool:
    """Returns whether an answer announces that its replica is leaving."""
    value = head.header(_LEAVING)
    return value is not None and value.strip() == b"1"


def _host(value: str) -> str:
    host, colon, port = value.lower().rpartition(":")
    return host if colon and port.isdigit() else value.lower()


def _wait_ms(text: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise errors.CallError(
            errors.ErrorKind.INVALID_REQUEST, "the time to wait is not a number"
        ) from error
    return max(0.0, value)


def _integers(text: str, description: str) -> list[int]:
    if not text:
        return []
    try:
        return [int(part) for part in text.split(",")]
    except ValueError as error:
        raise errors.CallError(
            errors.ErrorKind.INVALID_REQUEST, f"malformed {description}"
        ) from error


def _shared_parts(text: str) -> tuple[str, ...]:
    """Returns the ids of all parts but the last, () if one is malformed."""
    parts = [part.partition(":")[0].strip().lower() for part in text.split(",")]
    if not all(_is_part_id(part) for part in parts):
        return ()
    return tuple(dict.fromkeys(parts[:-1]))[: wire.SHARED_PARTS_MAX]


def _is_part_id(text: str) -> bool:
    return 0 < len(text) <= _PART_ID_LENGTH_MAX and _HEX_DIGITS.issuperset(text)


def _named_in_connection(request: http1_server.Request) -> frozenset[bytes]:
    """Returns the headers that the caller's `Connection` header lists."""
    names = request.header(b"connection").encode().lower().split(b",")
    return frozenset(name.strip() for name in names) - {_REQUEST_ID}


def _load(value: bytes | None) -> wire.ReplicaLoad | None:
    parts = [] if value is None else value.split(b",")
    if len(parts) < _LOAD_FIELDS or not all(p.strip().isdigit() for p in parts):
        return None
    return wire.ReplicaLoad(running=int(parts[0]), waiting=int(parts[1]))


def _limit(head: http1_client.ResponseHead) -> tuple[float | None, str]:
    """Returns the lowest rate limit of an answer, and an unreadable value."""
    rates, unreadable = _numbers(head, _RATE_LIMIT)
    return min(rates, default=None), unreadable


def _cold_left_ms(
    head: http1_client.ResponseHead,
) -> tuple[float | None, str]:
    """Returns the longest remaining cold time that an answer reports.

    Returns:
      The time, None if there is none, and a value that can't be read or "".
    """
    times_ms, unreadable = _numbers(head, _COLD_LEFT_MS, _COLD_LEFT_MS_MAX)
    return max(times_ms, default=None), unreadable


def _numbers(
    head: http1_client.ResponseHead, name: bytes, number_max: float = math.inf
) -> tuple[list[float], str]:
    """Returns the numbers in a header, and a value that can't be read or ""."""
    numbers = []
    unreadable = ""
    for value in head.values(name):
        for part in value.split(","):
            number = _number(part)
            if number is None or number > number_max:
                unreadable = part.strip() or "empty"
            else:
                numbers.append(number)
    return numbers, unreadable


def _number(text: str) -> float | None:
    """Returns a finite number of at least 0, None if the text isn't one."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
