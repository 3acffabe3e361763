"""Writes the entry's own answers to failed requests."""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.shell import http1_server

_CONTENT_TYPE = (b"content-type", b"application/json")


class _Body(msgspec.Struct):
    error: str
    detail: str
    ran: str
    request_id: str


def status_of(failure: errors.CallError) -> int:
    """Returns the HTTP status for a failure.

    A status that implies that the request did not run is returned only if that
    is certain.
    """
    status = failure.status
    if status in (429, 503) and failure.ran is not errors.Ran.NO:
        return 502
    if status in (502, 504) and failure.ran is errors.Ran.NO:
        return 503
    return status


def send(
    responder: http1_server.Responder,
    failure: errors.CallError,
    request_id: str,
) -> None:
    """Answers a request with a failure, as JSON.

    Status 429 or 503 carries a retry-after header if the failure has a time.
    """
    status = status_of(failure)
    headers = [_CONTENT_TYPE]
    if status in (429, 503) and failure.retry_after_ms is not None:
        seconds = failure.retry_after_ms / clock.MILLIS_PER_SECOND
        headers.append((b"retry-after", b"%.3f" % seconds))
    body = _Body(
        failure.kind.value, failure.detail, failure.ran.value, request_id
    )
    responder.answer(status, headers, msgspec.json.encode(body))
