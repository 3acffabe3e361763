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
from marlramp.shell import bounded_connection
from marlramp.shell import retry_after

CONNECTIONS_MAX = 512
IDLE_CONNECTION_MS = 2_000
"""Shorter than the idle timeout of servers, so that no connection is reused
while its server closes it: whether the request ran would be unknown."""

BODY_BYTES_MAX = 16 * 1024 * 1024
"""Most bytes of a body unless a call sets another limit."""

EVENT_BYTES_MAX = 1024 * 1024
CHUNK_OF_EVENTS_BYTES_MAX = 2 * EVENT_BYTES_MAX
"""Most bytes of a chunk of a response that is read as events."""

_EVENT_END = b"\n\n"
_CHUNK_END_BYTES = 2


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
        body_bytes_max: int,
    ) -> None:
        """Wraps a response whose body has not been read.

        Args:
          response: the response.
          single_use: client to close with the response, or None.
          body_bytes_max: limit of a body that is read as a whole.
        """
        self._response = response
        self._body_bytes_max = body_bytes_max
        self._single_use = single_use
        self.status: int = response.status_code
        self.content_type: str = response.headers.get("content-type", "")
        self.retry_after_ms = _retry_after_ms(response.headers)

    async def events(self) -> AsyncIterator[bytes]:
        """Yields each event, including the blank line that ends it.

        Raises:
          HttpError: if the connection ends before the response does, if only
            its end would delimit the response, or if an event exceeds
            `EVENT_BYTES_MAX`.
        """
        _check_delimited(self._response)
        if _is_empty(self._response):
            return
        buffer = bytearray()
        with _translate_errors(sent=True):
            async for chunk in self._response.read_chunks():
                searched = max(0, len(buffer) - len(_EVENT_END) + 1)
                buffer += chunk
                begin = 0
                while (end := buffer.find(_EVENT_END, searched)) >= 0:
                    searched = end + len(_EVENT_END)
                    yield bytes(buffer[begin:searched])
                    begin = searched
                del buffer[:begin]
                if len(buffer) > EVENT_BYTES_MAX:
                    raise HttpError("event exceeds the size limit", sent=True)
        if buffer:
            raise HttpError("response ended within an event", sent=True)

    async def body(self) -> bytes:
        """Returns the whole body.

        Raises:
          HttpError: if the body is incomplete or too large.
        """
        with _translate_errors(sent=True):
            return await _read_body(self._response, self._body_bytes_max)

    async def close(self) -> None:
        """Closes the connection if the body was not read to its end."""
        with contextlib.suppress(Exception):
            await self._response.aclose()
        if self._single_use is not None:
            await _close_client(self._single_use)


class HttpClient:
    """HTTP client with a connection pool."""

    def __init__(self) -> None:
        """Creates the pool; connections are opened on demand."""
        self._client = _client(CONNECTIONS_MAX)

    async def close(self) -> None:
        """Closes the idle connections, before the event loop ends."""
        await _close_client(self._client)

    async def request(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: float,
        body_bytes_max: int = BODY_BYTES_MAX,
    ) -> Reply:
        """Makes a call and returns the complete response.

        Raises:
          HttpError: if the response is not complete within `timeout_ms`, or
            its body exceeds `body_bytes_max`.
        """
        with _translate_errors(sent=True):
            async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
                bounded_connection.chunk_bytes_max.set(
                    body_bytes_max + _CHUNK_END_BYTES
                )
                response = await self._send(
                    method, url, body, headers, timeout_ms, self._client
                )
                try:
                    content = await _read_body(response, body_bytes_max)
                finally:
                    await response.aclose()
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
        body_bytes_max: int = BODY_BYTES_MAX,
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
          body_bytes_max: limit of a body that is read as a whole.

        Raises:
          HttpError: if the response does not start within `timeout_ms`.
        """
        client = _client(1) if at_most_once else self._client
        bounded_connection.chunk_bytes_max.set(
            max(body_bytes_max, CHUNK_OF_EVENTS_BYTES_MAX) + _CHUNK_END_BYTES
        )
        try:
            with _translate_errors(sent=True):
                async with asyncio.timeout(
                    timeout_ms / clock.MILLIS_PER_SECOND
                ):
                    response = await self._send(
                        method, url, body, headers, timeout_ms, client
                    )
        except BaseException:
            if at_most_once:
                await _close_client(client)
            raise
        return EventStream(
            response, client if at_most_once else None, body_bytes_max
        )

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


def _client(size: int) -> aiosonic.HTTPClient:
    """Returns a client with up to `size` connections."""
    pool = pools.PoolConfig(size=size, max_conn_idle_ms=IDLE_CONNECTION_MS)
    connector = connectors.TCPConnector(
        pool_configs={":default": pool},
        connection_cls=bounded_connection.BoundedConnection,
    )
    return aiosonic.HTTPClient(connector)


async def _close_client(client: aiosonic.HTTPClient) -> None:
    with contextlib.suppress(Exception):
        await client.aclose()


async def _read_body(response: aiosonic.HttpResponse, bytes_max: int) -> bytes:
    """Returns the body of a response.

    Raises:
      HttpError: if the body exceeds `bytes_max`, or if it is delimited only by
        the end of the connection. The client library treats such a body as
        empty.
    """
    _check_delimited(response)
    declared = response.headers.get("content-length", "")
    has_body = response.method.upper() != "HEAD"
    if has_body and declared.isdecimal() and int(declared) > bytes_max:
        raise HttpError("body exceeds the size limit", sent=True)
    response.max_decompressed_size = bytes_max
    body = bytearray()
    async with contextlib.aclosing(response.iter_bytes()) as pieces:
        async for piece in pieces:
            body += piece
            if len(body) > bytes_max:
                raise HttpError("body exceeds the size limit", sent=True)
    return bytes(body)


def _check_delimited(response: aiosonic.HttpResponse) -> None:
    """Checks that a response tells where its body ends.

    Raises:
      HttpError: if only the end of the connection delimits the body.
    """
    headers = response.headers
    delimited = "content-length" in headers or "transfer-encoding" in headers
    if not delimited and response.status_code not in _BODYLESS:
        raise HttpError(
            "response has no content-length or transfer-encoding", sent=True
        )


def _is_empty(response: aiosonic.HttpResponse) -> bool:
    """Returns whether a delimited response has no body.

    The library has given its connection back, so that to read on would take
    the bytes of another response.
    """
    headers = response.headers
    if response.status_code in _BODYLESS or response.method.upper() == "HEAD":
        return True
    if "transfer-encoding" in headers:
        return False
    return int(headers["content-length"]) == 0


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
