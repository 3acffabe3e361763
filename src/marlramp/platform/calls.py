"""HTTP calls to the platform's services; failures raise `PlatformError`."""

from __future__ import annotations

from marlramp import clock
from marlramp.platform import clients
from marlramp.shell import http1_call
from marlramp.shell import http1_client
from marlramp.shell import retry_after

_OK = 200
_ACCEPTED = 202
_UNAVAILABLE = 503
_PAUSE_STATUSES = frozenset({429, _UNAVAILABLE})


class StatusError(clients.UselessAnswerError):
    """A service answered with a status that denotes a failure.

    Attributes:
      status: the HTTP status code.
    """

    def __init__(
        self, status: int, detail: str, asked_ms: float | None
    ) -> None:
        """Records the status and the retry time that the service asked for."""
        answering = status != _UNAVAILABLE
        super().__init__(detail, asked_ms, answering=answering)
        self.status = status


class PlatformCalls:
    """Makes calls to one service and waits for its complete answers.

    After a 429 or 503 with a `Retry-After` header, calls fail immediately until
    that time has passed, without being sent.
    """

    def __init__(
        self,
        caller: http1_call.HttpCaller,
        *,
        keeps: bool = True,
        time: clock.Clock | None = None,
    ) -> None:
        """Creates a client; nothing is sent before a call.

        Args:
          caller: makes the calls.
          keeps: whether connections are kept open for further calls.
          time: the clock, by default the system clock.
        """
        self._caller = caller
        self._keep_alive = keeps
        self._clock = time or clock.SystemClock()
        self._paused_until_ms = float("-inf")

    async def make(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        body: bytes = b"",
        arrival: http1_call.Arrival | None = None,
        answer_bytes_max: int = http1_call.BODY_BYTES_MAX,
    ) -> bytes:
        """Makes a call and returns the body of its answer.

        Args:
          method: HTTP method.
          url: URL of the request.
          timeout_ms: how long the call may take.
          body: body of the request, empty for none.
          arrival: see `http1_call.HttpCaller.call`.
          answer_bytes_max: largest body of the answer.

        Raises:
          StatusError: if the status denotes a failure.
          PlatformError: if no complete answer arrives in time.
        """
        answer = await self.make_whole(
            method, url, timeout_ms, body, arrival, answer_bytes_max
        )
        return answer.body

    async def make_whole(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        body: bytes = b"",
        arrival: http1_call.Arrival | None = None,
        answer_bytes_max: int = http1_call.BODY_BYTES_MAX,
    ) -> http1_call.WholeAnswer:
        """Makes a call like `make`, and returns the headers too."""
        paused_ms = self._paused_until_ms - self._clock.now_ms()
        if paused_ms > 0.0:
            raise clients.PausedError(
                "the service asked for a pause", paused_ms
            )
        headers = {"content-type": "application/json"} if body else {}
        try:
            answer = await self._caller.call(
                method,
                url,
                body,
                headers,
                timeout_ms,
                keeps=self._keep_alive,
                arrival=arrival,
                body_bytes_max=answer_bytes_max,
            )
        except http1_call.TooLargeError as error:
            raise clients.AnswerTooLargeError(
                str(error), answering=True
            ) from error
        except http1_call.CallError as error:
            if not error.sent:
                raise clients.UnreachedError(str(error)) from error
            raise clients.PlatformError(
                str(error), answering=error.answering
            ) from error
        status = answer.head.status
        if status not in (_OK, _ACCEPTED):
            asked_ms = self._record_retry_after(answer.head)
            detail = f"status {status} for {method} {url}"
            raise StatusError(status, detail, asked_ms)
        return answer

    def _record_retry_after(
        self, head: http1_client.ResponseHead
    ) -> float | None:
        """Returns an answer's retry time, and starts a pause if requested."""
        asked = retry_after.of_answer(head)
        if asked.wait_ms is not None and head.status in _PAUSE_STATUSES:
            until_ms = self._clock.now_ms() + asked.wait_ms
            self._paused_until_ms = max(self._paused_until_ms, until_ms)
        return asked.wait_ms
