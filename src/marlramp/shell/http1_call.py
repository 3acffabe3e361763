"""Whole HTTP calls on kept connections, each answer for its own request.

A connection whose call timed out is never used again: an answer that a cut
link held back for seconds would be taken for the answer to the next call, and
a watch's empty answer read as an empty list of replicas.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import urllib.parse

import msgspec

from marlramp import clock
from marlramp.shell import http1_client

_BODYLESS = ("GET", "HEAD", "DELETE")


class CallError(Exception):
    """A call that brought no whole answer.

    Attributes:
      sent: whether the request may have reached the server.
      answering: whether the head of an answer had come.
    """

    def __init__(
        self, detail: str, *, sent: bool, answering: bool = False
    ) -> None:
        """Records the detail and how far the call got."""
        super().__init__(detail)
        self.sent = sent
        self.answering = answering


class Arrival(msgspec.Struct, frozen=True):
    """How long a call goes on while its answer arrives.

    A long answer behind a narrow link is no silence. One that trickles ends
    all the same: what has arrived must have come at the least rate.

    Attributes:
      silence_ms: longest time between two parts of the body.
      least_per_s: bytes a second, on the mean, beyond the time of the call.
    """

    silence_ms: float
    least_per_s: float

    def ends_s(
        self, now_s: float, limit_s: float, received_bytes: int
    ) -> float:
        """Returns when the call is to end unless more arrives.

        Args:
          now_s: the reading at which something arrived.
          limit_s: when it would end had nothing arrived.
          received_bytes: what has arrived of the body.
        """
        silent_s = now_s + self.silence_ms / clock.MILLIS_PER_SECOND
        return min(silent_s, limit_s + received_bytes / self.least_per_s)


class WholeAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    head: http1_client.ResponseHead
    body: bytes


class _Collector:
    """Collects one answer."""

    def __init__(self, on_part: Callable[[int], None] | None) -> None:
        """Tells `on_part` how much of the body has arrived, with each part."""
        self._on_part = on_part
        self._received_bytes = 0
        self._head: http1_client.ResponseHead | None = None
        self._parts: list[bytes] = []
        self.done: asyncio.Future[WholeAnswer] = (
            asyncio.get_running_loop().create_future()
        )

    def on_head(self, head: http1_client.ResponseHead) -> None:
        self._head = head

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)
        self._received_bytes += len(data)
        if self._on_part is not None:
            self._on_part(self._received_bytes)

    def on_complete(self) -> None:
        if self._head is not None and not self.done.done():
            self.done.set_result(WholeAnswer(self._head, b"".join(self._parts)))

    @property
    def answering(self) -> bool:
        return self._head is not None

    def on_lost(self, kind: http1_client.LossKind) -> None:
        if not self.done.done():
            error = CallError(kind.value, sent=True, answering=self.answering)
            self.done.set_exception(error)


class HttpCaller:
    """Makes calls, with a pool of connections for each server."""

    def __init__(self, time: clock.Clock) -> None:
        """Opens connections on use."""
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
    ) -> WholeAnswer:
        """Makes a call and returns the whole answer.

        Args:
          method: HTTP method.
          url: what is called.
          body: the body, empty for none.
          headers: beside those that every call has.
          timeout_ms: how long the whole call may take.
          keeps: whether the connection is kept for further calls.
          arrival: how long it may go on beyond that while its answer arrives,
            None for no longer.

        Raises:
          CallError: if there is no whole answer in time.
        """
        parts = urllib.parse.urlsplit(url)
        pool = self._pool(parts.hostname or "", parts.port or 80)
        limit = asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND)
        collector = _Collector(_extension(limit, timeout_ms, arrival))
        try:
            async with limit:
                connection = pool.take_idle(1.0) or await self._open(pool)
                head = _head(method, parts, body, headers)
                answer = await self._exchange(
                    connection, method, head, body, collector
                )
        except TimeoutError as error:
            # Idle connections there may have gone silent with this one.
            pool.close()
            raise CallError(
                "no answer in time", sent=True, answering=collector.answering
            ) from error
        if keeps:
            pool.give_back(connection)
        else:
            connection.abort()
        return answer

    async def _open(
        self, pool: http1_client.ConnectionPool
    ) -> http1_client.ReplicaConnection:
        try:
            return await pool.open()
        except OSError as error:
            raise CallError(f"no connection: {error}", sent=False) from error

    async def _exchange(
        self,
        connection: http1_client.ReplicaConnection,
        method: str,
        head: bytes,
        body: bytes,
        collector: _Collector,
    ) -> WholeAnswer:
        connection.send(method, head, body, collector)
        try:
            return await collector.done
        except BaseException:
            connection.abort()
            raise

    def _pool(self, host: str, port: int) -> http1_client.ConnectionPool:
        pool = self._pools.get((host, port))
        if pool is None:
            pool = http1_client.ConnectionPool(host, port, self._clock)
            self._pools[host, port] = pool
        return pool


def _extension(
    limit: asyncio.Timeout, timeout_ms: float, arrival: Arrival | None
) -> Callable[[int], None] | None:
    """Returns what moves a limit when a part of the answer has arrived."""
    if arrival is None:
        return None
    time = asyncio.get_running_loop().time
    limit_s = time() + timeout_ms / clock.MILLIS_PER_SECOND

    def extend(received_bytes: int) -> None:
        # A limit that has been reached can't be moved.
        if not limit.expired():
            limit.reschedule(arrival.ends_s(time(), limit_s, received_bytes))

    return extend


def _head(
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
    if body or method not in _BODYLESS:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
