"""HTTP client on top of aiosonic that raises a single exception type."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

import aiosonic
from aiosonic import connectors
from aiosonic import exceptions
from aiosonic import pools
from aiosonic import timeout
import msgspec

from marlramp import clock
from marlramp.shell import retry_after

CONNECTIONS_MAX = 512
IDLE_CONNECTION_MS = 2_000
"""Shorter than the idle timeout of servers, so that no connection is reused
while its server closes it: whether the request ran would be unknown."""

EVENT_BYTES_MAX = 1024 * 1024
_EVENT_END = b"\n\n"


_BODYLESS = frozenset({204, 304})


class HttpError(Exception):
    """A call that returned no usable response.

    Attributes:
      sent: whether the request may have reached the server.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Stores the detail and whether the request may have been sent."""
        super().__init__(detail)
        self.sent = sent


class Reply(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    content_type: str
    retry_after_ms: float | None
    body: bytes


class EventStream:
    """A response read as server-sent events.

    Attributes:
      status: HTTP status code.
      content_type: content type of the body.
      retry_after_ms: time of its `Retry-After` header, None without one.
    """

    def __init__(
        self,
        response: aiosonic.HttpResponse,
        single_use: aiosonic.HTTPClient | None,
    ) -> None:
        """Wraps a response whose body has not been read.

        Args:
          response: the response.
          single_use: client to close with the response, or None.
        """
        self._response = response
        self._single_use = single_use
        self.status: int = response.status_code
        self.content_type: str = response.headers.get("content-type", "")
        self.retry_after_ms = _retry_after_ms(response.headers)

    async def events(self) -> AsyncIterator[bytes]:
        """Yields each event, including the blank line that ends it.

        Raises:
          HttpError: if the connection ends before the response does.
        """
        buffer = b""
        with _translate_errors(sent=True):
            async for chunk in self._response.read_chunks():
                buffer += chunk
                while (end := buffer.find(_EVENT_END)) >= 0:
                    end += len(_EVENT_END)
                    yield buffer[:end]
                    buffer = buffer[end:]
                if len(buffer) > EVENT_BYTES_MAX:
                    raise HttpError("event exceeds the size limit", sent=True)
        if buffer:
            raise HttpError("response ended within an event", sent=True)

    async def body(self) -> bytes:
        """Returns the whole body.

        Raises:
          HttpError: if the body is incomplete.
        """
        with _translate_errors(sent=True):
            return await _read_body(self._response)

    async def close(self) -> None:
        """Closes the connection if the body was not read to its end."""
        with contextlib.suppress(Exception):
            await self._response.aclose()
            if self._single_use is not None:
                await self._single_use.aclose()


class HttpClient:
    """HTTP client with a connection pool."""

    def __init__(self) -> None:
        """Creates the pool; connections are opened on demand."""
        pool = pools.PoolConfig(
            size=CONNECTIONS_MAX, max_conn_idle_ms=IDLE_CONNECTION_MS
        )
        connector = connectors.TCPConnector(pool_configs={":default": pool})
        self._client = aiosonic.HTTPClient(connector)

    async def request(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: float,
    ) -> Reply:
        """Makes a call and returns the complete response.

        Raises:
          HttpError: if the response is not complete within `timeout_ms`.
        """
        with _translate_errors(sent=True):
            async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
                response = await self._send(
                    method, url, body, headers, timeout_ms, self._client
                )
                content = await _read_body(response)
        return Reply(
            response.status_code,
            response.headers.get("content-type", ""),
            _retry_after_ms(response.headers),
            content,
        )

    async def stream(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: float,
        at_most_once: bool = False,
    ) -> EventStream:
        """Makes a call and returns the response before its body is read.

        Args:
          method: HTTP method.
          url: URL to call.
          body: request body.
          headers: additional request headers.
          timeout_ms: longest wait for the response to start.
          at_most_once: opens a new connection, since the library retries some
            methods by itself when a reused connection was closed.

        Raises:
          HttpError: if the response does not start within `timeout_ms`.
        """
        client = aiosonic.HTTPClient() if at_most_once else self._client
        with _translate_errors(sent=True):
            async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
                response = await self._send(
                    method,
                    url,
                    body,
                    headers,
                    timeout_ms,
                    client,
                )
        return EventStream(response, client if at_most_once else None)

    async def _send(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        timeout_ms: float,
        client: aiosonic.HTTPClient,
    ) -> aiosonic.HttpResponse:
        seconds = timeout_ms / clock.MILLIS_PER_SECOND
        return await client.request(
            url,
            method=method,
            headers=dict(headers or {}),
            data=body or None,
            timeouts=timeout.Timeouts(
                sock_connect=min(2.0, seconds),
                sock_read=seconds,
                request_timeout=seconds,
            ),
            stream=True,
        )


async def _read_body(response: aiosonic.HttpResponse) -> bytes:
    """Returns the body of a response.

    Raises:
      HttpError: if the body is delimited only by the end of the connection.
        The client library treats such a body as empty.
    """
    headers = response.headers
    delimited = "content-length" in headers or "transfer-encoding" in headers
    if not delimited and response.status_code not in _BODYLESS:
        raise HttpError(
            "response has no content-length or transfer-encoding", sent=True
        )
    return bytes(await response.content())


def _retry_after_ms(headers: Mapping[str, str]) -> float | None:
    value = headers.get("retry-after")
    if value is None:
        return None
    return retry_after.read([value], headers.get("date", "")).wait_ms


@contextlib.contextmanager
def _translate_errors(*, sent: bool) -> Iterator[None]:
    """Converts all exceptions of the client library to `HttpError`."""
    try:
        yield
    except (ConnectionRefusedError, exceptions.ConnectTimeout) as error:
        raise HttpError(f"cannot connect: {error}", sent=False) from error
    except HttpError:
        raise
    except Exception as error:
        # The library raises many exception types, some of them by mistake when
        # a connection is dropped. Callers can't handle any of them differently.
        name = type(error).__name__
        raise HttpError(f"{name}: {error}", sent=sent) from error
