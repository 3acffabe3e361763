"""All kinds of errors and the response that is sent for each of them."""

from __future__ import annotations

import enum

import msgspec

MISDIRECTED = 421
"""HTTP status of a replica that is not the addressee of the request."""


class Ran(enum.Enum):
    """Whether an upstream ran the request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Reasons for which a request or an order to a replica fails."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    HEADER_TIMEOUT = "header_timeout"
    RUN_TOKEN_REQUIRED = "run_token_required"
    RUN_TOKEN_INVALID = "run_token_invalid"
    RUN_TOKEN_VOID = "run_token_void"
    RUN_ALREADY_STARTED = "run_already_started"
    WRONG_ENTRY = "wrong_entry"
    CUSTOMER_LIMIT = "customer_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_BUSY = "upstream_busy"
    GRANT_VOID = "grant_void"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LOST = "upstream_lost"
    VERSION_CHANGED = "version_changed"
    VERSION_NOT_READY = "version_not_ready"
    ANSWER_INVALID = "answer_invalid"
    ANSWER_INCOMPLETE = "answer_incomplete"
    CANCELLED = "cancelled"
    ENTRY_LEAVING = "entry_leaving"
    ENTRY_OVERLOADED = "entry_overloaded"
    SETTINGS_MISSING = "settings_missing"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    UPSTREAMS_LIMITED = "upstreams_limited"
    UPSTREAMS_PAUSED = "upstreams_paused"
    REGIONS_UNAVAILABLE = "regions_unavailable"
    UPSTREAMS_EVACUATED = "upstreams_evacuated"
    UPSTREAMS_COLD = "upstreams_cold"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """How an error kind is reported to the caller.

    Attributes:
      status: HTTP status code.
      ran: whether the request ran, unless the `CallError` states otherwise.
      retry_after_ms: time until a retry is useful, None if no retry can help.
      text: short explanation.
    """

    status: int
    ran: Ran
    retry_after_ms: int | None
    text: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID_REQUEST: Answer(
        400, Ran.NO, None, "The request is malformed."
    ),
    ErrorKind.UNAUTHORIZED: Answer(
        401, Ran.NO, None, "The key is missing or wrong."
    ),
    ErrorKind.UNKNOWN_CUSTOMER: Answer(
        403, Ran.NO, None, "The customer is not configured."
    ),
    ErrorKind.UNKNOWN_SERVICE: Answer(
        404, Ran.NO, None, "The service is not configured."
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, Ran.NO, None, "The request body is too large."
    ),
    ErrorKind.UNKNOWN_ROUTE: Answer(
        404, Ran.NO, None, "No route fits this host and path."
    ),
    ErrorKind.HEADER_TOO_LARGE: Answer(
        431, Ran.NO, None, "The request header is too large."
    ),
    ErrorKind.HEADER_TIMEOUT: Answer(
        408, Ran.NO, 0, "The request header took too long."
    ),
    ErrorKind.RUN_TOKEN_REQUIRED: Answer(
        428,
        Ran.NO,
        0,
        "A non-idempotent request needs a run token; use the one given.",
    ),
    ErrorKind.RUN_TOKEN_INVALID: Answer(
        400, Ran.NO, None, "The run token was not issued by this fleet."
    ),
    ErrorKind.RUN_TOKEN_VOID: Answer(
        410, Ran.UNKNOWN, None, "The run token is no longer known."
    ),
    ErrorKind.RUN_ALREADY_STARTED: Answer(
        409, Ran.YES, None, "A request with this run token has started."
    ),
    ErrorKind.WRONG_ENTRY: Answer(
        421, Ran.NO, 0, "Another entry reaches the VM of this run token."
    ),
    ErrorKind.CUSTOMER_LIMIT: Answer(
        429, Ran.NO, 1000, "The customer's limit is used up."
    ),
    ErrorKind.QUEUE_FULL: Answer(503, Ran.NO, 500, "The queue is full."),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(
        503, Ran.NO, 1000, "The deadline cannot be met."
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504, Ran.UNKNOWN, 1000, "The deadline has passed."
    ),
    ErrorKind.NO_UPSTREAM: Answer(
        503, Ran.NO, 1000, "No upstream serves this service now."
    ),
    ErrorKind.UPSTREAM_BUSY: Answer(
        503, Ran.NO, 250, "The upstream has no free capacity."
    ),
    ErrorKind.GRANT_VOID: Answer(503, Ran.NO, 100, "The grant was void."),
    ErrorKind.UPSTREAM_LEAVING: Answer(
        503, Ran.NO, 100, "The upstream takes no new work."
    ),
    ErrorKind.UPSTREAM_FAILED: Answer(
        502, Ran.UNKNOWN, 500, "The upstream failed."
    ),
    ErrorKind.UPSTREAM_LOST: Answer(
        502, Ran.UNKNOWN, 500, "The upstream was lost during the request."
    ),
    ErrorKind.VERSION_CHANGED: Answer(
        502,
        Ran.YES,
        100,
        "The model version changed before the answer was complete.",
    ),
    ErrorKind.VERSION_NOT_READY: Answer(
        503, Ran.NO, 500, "The upstream's model version is not ready."
    ),
    ErrorKind.ANSWER_INVALID: Answer(
        502, Ran.UNKNOWN, 500, "The upstream's answer was not valid."
    ),
    ErrorKind.ANSWER_INCOMPLETE: Answer(
        502, Ran.YES, 500, "The answer ended before its last part."
    ),
    ErrorKind.CANCELLED: Answer(
        499, Ran.UNKNOWN, None, "The request was cancelled."
    ),
    ErrorKind.ENTRY_LEAVING: Answer(
        503, Ran.NO, 0, "This entry is shutting down; use another."
    ),
    ErrorKind.ENTRY_OVERLOADED: Answer(
        503, Ran.NO, 500, "This entry has too little memory; try again."
    ),
    ErrorKind.SETTINGS_MISSING: Answer(
        503, Ran.NO, 1000, "No settings have been received yet."
    ),
    ErrorKind.CRASHES_UPSTREAMS: Answer(
        503,
        Ran.NO,
        None,
        "Upstreams crashed when they ran this request; do not repeat it.",
    ),
    ErrorKind.UPSTREAMS_LIMITED: Answer(
        503, Ran.NO, 1000, "The upstreams take no more requests now."
    ),
    ErrorKind.UPSTREAMS_PAUSED: Answer(
        503, Ran.NO, 1000, "The upstreams want no requests for now."
    ),
    ErrorKind.REGIONS_UNAVAILABLE: Answer(
        503, Ran.NO, 1000, "No upstream is in a region that is allowed."
    ),
    ErrorKind.UPSTREAMS_EVACUATED: Answer(
        503, Ran.NO, 1000, "The data centres of all upstreams are evacuated."
    ),
    ErrorKind.UPSTREAMS_COLD: Answer(
        503, Ran.NO, 500, "The upstreams have just started."
    ),
    ErrorKind.INTERNAL: Answer(
        500, Ran.UNKNOWN, 1000, "The system failed; the event is logged."
    ),
}


class CallError(Exception):
    """A failure of one request, reported by its kind.

    Attributes:
      kind: the reason.
      ran: whether the request ran.
      retry_after_ms: time until a retry is useful, None if no retry can help.
      detail: explanation for the caller.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        """Creates an error; values that are not given come from `ANSWERS`."""
        answer = ANSWERS[kind]
        super().__init__(f"{kind.value}: {detail or answer.text}")
        self.kind = kind
        self.detail = detail or answer.text
        self.ran = answer.ran if ran is None else ran
        self.retry_after_ms = (
            answer.retry_after_ms if retry_after_ms is None else retry_after_ms
        )

    def without_traceback(self) -> CallError:
        """Returns the same error without its traceback and its cause.

        The frames of a traceback keep all that they refer to in memory.
        """
        return CallError(
            self.kind,
            self.detail,
            ran=self.ran,
            retry_after_ms=self.retry_after_ms,
        )

    @property
    def status(self) -> int:
        """HTTP status code of the response for this error."""
        return ANSWERS[self.kind].status
