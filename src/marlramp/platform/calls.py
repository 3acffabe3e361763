"""Calls to the platform's services, with one kind of failure."""

from __future__ import annotations

from marlramp import clock
from marlramp.platform import clients
from marlramp.shell import http1_call

_OK = 200
_ACCEPTED = 202


class StatusError(clients.PlatformError):
    """A service answered with a status that means failure.

    Attributes:
      status: the HTTP status code.
    """

    def __init__(self, status: int, detail: str, retry_after_ms: float) -> None:
        """Records the status and when to come back."""
        super().__init__(detail, retry_after_ms)
        self.status = status


class PlatformCalls:
    """Makes calls whose body is the whole answer."""

    def __init__(
        self, caller: http1_call.HttpCaller, *, keeps: bool = True
    ) -> None:
        """Calls through `caller`.

        Args:
          caller: makes the calls.
          keeps: whether connections are kept for further calls.
        """
        self._caller = caller
        self._keeps = keeps

    async def make(
        self, method: str, url: str, timeout_ms: float, body: bytes = b""
    ) -> bytes:
        """Makes a call and returns the body of its answer.

        Raises:
          StatusError: if the status means failure.
          PlatformError: if there is no whole answer in time.
        """
        headers = {"content-type": "application/json"} if body else {}
        try:
            answer = await self._caller.call(
                method, url, body, headers, timeout_ms, keeps=self._keeps
            )
        except http1_call.CallError as error:
            if not error.sent:
                raise clients.UnreachedError(str(error)) from error
            raise clients.PlatformError(str(error)) from error
        status = answer.head.status
        if status not in (_OK, _ACCEPTED):
            raise StatusError(
                status,
                f"status {status} for {method} {url}",
                _retry_after_ms(answer.head.header(b"retry-after")),
            )
        return answer.body


def _retry_after_ms(value: bytes | None) -> float:
    try:
        if value is not None:
            return float(value) * clock.MILLIS_PER_SECOND
    except ValueError:
        pass
    return clients.UNAVAILABLE_RETRY_MS
