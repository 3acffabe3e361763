"""Whole HTTP calls on kept connections, each answer for its own request.

A connection whose call timed out is never used again: an answer that a cut
link held back for seconds would be taken for the answer to the next call, and
a watch's empty answer read as an empty list of replicas.
"""

from __future__ import annotations

import asyncio
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


class WholeAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    head: http1_client.ResponseHead
    body: bytes


class _Collector:
    """Collects one answer."""

    def __init__(self) -> None:
        self._head: http1_client.ResponseHead | None = None
        self._parts: list[bytes] = []
        self.done: asyncio.Future[WholeAnswer] = (
            asyncio.get_running_loop().create_future()
        )

    def on_head(self, head: http1_client.ResponseHead) -> None:
        self._head = head

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)

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
    ) -> WholeAnswer:
        """Makes a call and returns the whole answer.

        Args:
          method: HTTP method.
          url: what is called.
          body: the body, empty for none.
          headers: beside those that every call has.
          timeout_ms: how long the whole call may take.
          keeps: whether the connection is kept for further calls.

        Raises:
          CallError: if there is no whole answer within `timeout_ms`.
        """
        parts = urllib.parse.urlsplit(url)
        pool = self._pool(parts.hostname or "", parts.port or 80)
        collector = _Collector()
        try:
            async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
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
