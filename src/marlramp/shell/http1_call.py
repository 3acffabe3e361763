"""HTTP calls with complete responses on pooled connections.

A connection whose call timed out is never reused: a response that a network
outage delayed for seconds would be taken for the response to the next request,
and the empty response of a watch for an empty list of replicas.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import urllib.parse

import msgspec

from marlramp import clock
from marlramp.shell import deadline
from marlramp.shell import http1_client

BODY_BYTES_MAX = 1_048_576
"""Largest body of a response, unless the call states another one. Reports,
orders and lists of pieces are smaller."""

_BODYLESS_METHODS = ("GET", "HEAD", "DELETE")


class CallError(Exception):
    """A call that returned no complete response.

    Attributes:
      sent: whether the request may have reached the server.
      answering: whether the head of a response was received.
    """

    def __init__(
        self, detail: str, *, sent: bool, answering: bool = False
    ) -> None:
        """Stores the detail and how far the call got."""
        super().__init__(detail)
        self.sent = sent
        self.answering = answering


class TooLargeError(CallError):
    """The body of a response exceeds the limit of its call."""

    def __init__(self) -> None:
        """Records that a response was being received."""
        super().__init__("the response is too large", sent=True, answering=True)


class Arrival(msgspec.Struct, frozen=True):
    """Extends the deadline of a call while its response is being received.

    A large response on a slow link must not time out as long as it makes
    progress. The minimum rate still ends a response that arrives too slowly.

    Attributes:
      silence_ms: longest time between two parts of the body.
      least_per_s: minimum mean rate in bytes per second; the deadline moves by
        one silence and the time that the received bytes take at this rate.
      longest_ms: longest time of the call in all.
    """

    silence_ms: float
    least_per_s: float
    longest_ms: float

    def ends_s(
        self,
        now_s: float,
        started_s: float,
        limit_s: float,
        received_bytes: int,
    ) -> float:
        """Returns the deadline of the call unless more data is received.

        Args:
          now_s: time of the event loop at which data was received.
          started_s: time of the event loop at which the call started.
          limit_s: the deadline without any extension.
          received_bytes: size of the body received so far.
        """
        silence_s = self.silence_ms / clock.MILLIS_PER_SECOND
        return min(
            now_s + silence_s,
            limit_s + silence_s + received_bytes / self.least_per_s,
            started_s + self.longest_ms / clock.MILLIS_PER_SECOND,
        )


class WholeAnswer(msgspec.Struct, frozen=True):
    """A complete response."""

    head: http1_client.ResponseHead
    body: bytes


class _ResponseCollector:
    """Collects one response, up to the largest body that the call takes.

    Attributes:
      done: receives the response, or why there is none.
    """

    def __init__(
        self, body_bytes_max: int, timeout_ms: float, arrival: Arrival | None
    ) -> None:
        """Starts the time of the call; see `HttpCaller.call`."""
        loop = asyncio.get_running_loop()
        self._time = loop.time
        self._body_bytes_max = body_bytes_max
        self._arrival = arrival
        self._started_s = loop.time()
        self._limit_s = self._started_s + timeout_ms / clock.MILLIS_PER_SECOND
        self._ends_s = self._limit_s
        self._head: http1_client.ResponseHead | None = None
        # Parts may be as small as one byte, so that a list of them takes many
        # times their size.
        self._body = bytearray()
        self.done: asyncio.Future[WholeAnswer] = loop.create_future()

    def ends_s(self) -> float:
        """Returns the deadline as time of the event loop."""
        return self._ends_s

    def on_head(self, head: http1_client.ResponseHead) -> None:
        self._head = head
        length = head.header(b"content-length") or b""
        if length.isdigit() and int(length) > self._body_bytes_max:
            self._refuse()
        else:
            self._extend()

    def on_body(self, data: bytes) -> None:
        if self.done.done():
            return
        if len(self._body) + len(data) > self._body_bytes_max:
            self._refuse()
            return
        self._body += data
        self._extend()

    def on_complete(self) -> None:
        if self._head is not None and not self.done.done():
            self.done.set_result(WholeAnswer(self._head, bytes(self._body)))

    def _extend(self) -> None:
        if self._arrival is not None:
            ends_s = self._arrival.ends_s(
                self._time(), self._started_s, self._limit_s, len(self._body)
            )
            self._ends_s = max(self._limit_s, ends_s)

    def _refuse(self) -> None:
        self.done.set_exception(TooLargeError())

    @property
    def answering(self) -> bool:
        return self._head is not None

    def on_lost(self, kind: http1_client.LossKind) -> None:
        if not self.done.done():
            error = CallError(kind.value, sent=True, answering=self.answering)
            self.done.set_exception(error)


class HttpCaller:
    """Makes calls, with one connection pool per server."""

    def __init__(self, time: clock.Clock) -> None:
        """Starts without connections; they are opened on demand."""
        self._clock = time
        self._pools: dict[tuple[str, int], http1_client.ConnectionPool] = {}

    async def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_ms: float,
        *,
        keeps: bool = True,
        arrival: Arrival | None = None,
        body_bytes_max: int = BODY_BYTES_MAX,
    ) -> WholeAnswer:
        """Makes a call and returns the complete response.

        Args:
          method: HTTP method.
          url: URL to call.
          body: request body, empty for none.
          headers: request headers in addition to those of every call.
          timeout_ms: time limit of the whole call.
          keeps: whether the connection is kept for further calls.
          arrival: how the time limit is extended while the response is
            received, None for no extension.
          body_bytes_max: largest body of the response.

        Raises:
          TooLargeError: if the body of the response is too large.
          CallError: if the response is not complete in time.
        """
        parts = urllib.parse.urlsplit(url)
        pool = self._pool(parts.hostname or "", parts.port or 80)
        collector = _ResponseCollector(body_bytes_max, timeout_ms, arrival)
        connection = pool.take_idle(1.0) or await self._connect(pool)
        head = _encode_head(method, parts, body, headers)
        connection.send(method, head, body, collector)
        try:
            late_s_max = timeout_ms / clock.MILLIS_PER_SECOND
            if not await deadline.wait_until(
                collector.done, collector.ends_s, late_s_max
            ):
                # Idle connections to this server may be dead as well.
                pool.close()
                raise CallError(
                    "timed out", sent=True, answering=collector.answering
                )
            answer = collector.done.result()
        except BaseException:
            connection.abort()
            raise
        if keeps:
            pool.give_back(connection)
        else:
            connection.abort()
        return answer

    async def _connect(
        self, pool: http1_client.ConnectionPool
    ) -> http1_client.ReplicaConnection:
        try:
            return await pool.open()
        except OSError as error:
            raise CallError(f"cannot connect: {error}", sent=False) from error

    def _pool(self, host: str, port: int) -> http1_client.ConnectionPool:
        pool = self._pools.get((host, port))
        if pool is None:
            pool = http1_client.ConnectionPool(host, port, self._clock)
            self._pools[host, port] = pool
        return pool


def _encode_head(
    method: str,
    parts: urllib.parse.SplitResult,
    body: bytes,
    headers: Mapping[str, str],
) -> bytes:
    target = parts.path or "/"
    if parts.query:
        target += "?" + parts.query
    lines = [f"{method} {target} HTTP/1.1", f"host: {parts.netloc}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    if body or method not in _BODYLESS_METHODS:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
