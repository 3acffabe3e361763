"""Simulated callers that look up entries and keep connections open."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Protocol

import httptools

from soak import promises
from standins import direct_documents

CALL_WAIT_MS = 6_000.0
"""Timeout of a caller for a stream."""

PLAIN_SHARE = 3.0
"""Ratio of that timeout to the one for a plain call."""

LOOKUP_TTL_MS = 2_000.0
CONNECT_TIMEOUT_S = 1.0
PAUSE_MS = (5.0, 120.0)
"""Range of a caller's pause between two calls."""

FIRST_PART = "5c1e07a2:800"
"""First prompt part of all streams, including those that crash replicas."""

OWN_PART = "e4402b7d:30"

_MS = 1_000.0
_READ_BYTES = 65_536


class Surroundings(Protocol):
    """Interface of a run that its callers use."""

    def now_ms(self) -> float:
        """Returns the time since the start of the calls."""
        ...

    def key(self, rng: random.Random) -> str:
        """Returns an API key for a call."""
        ...

    async def entries(self, rng: random.Random) -> list[str]:
        """Returns the entries found by a lookup, [] if it fails."""
        ...

    def lifetime(self, entry: str) -> int:
        """Returns the number of restarts of an entry's process."""
        ...

    def address(self, entry: str) -> tuple[str, int]:
        """Returns the host and port at which callers reach an entry."""
        ...


class _ResponseParser:
    """Parses the response to one call."""

    def __init__(self, call: promises.Call) -> None:
        self._call = call
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self.keep_alive = False
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
          HttpParserError: if they are not a valid response.
        """
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._call.retry_after = True
        if name.lower() == b"x-attempt-id":
            is_own = value == self._call.request_id.encode()
            self._call.foreign = self._call.foreign or not is_own

    def on_headers_complete(self) -> None:
        self._call.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._call.foreign = self._call.foreign or self.ended
        self.ended = True
        self.keep_alive = self._parser.should_keep_alive()

    def finish(self) -> None:
        """Stores the received response in the call."""
        self._call.whole = self.ended
        self._call.body = self._body
        self._call.events = [
            int(line.removeprefix(b"id: "))
            for line in self._body.split(b"\n")
            if line.startswith(b"id: ")
        ]


class Caller:
    """A caller that makes sequential calls on one connection at a time."""

    def __init__(self, name: str, seed: int, run: Surroundings) -> None:
        """Initializes a caller without a connection."""
        self._name = name
        self._rng = random.Random(f"{seed}:{name}")
        self._run = run
        self._entries: list[str] = []
        self._looked_up_ms = float("-inf")
        self._entry = ""
        self._lifetime = 0
        self._port = 0
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._count = 0
        self.calls: list[promises.Call] = []

    async def run(self) -> None:
        """Makes calls until cancelled."""
        while True:
            await self.call()
            await asyncio.sleep(self._rng.uniform(*PAUSE_MS) / _MS)

    async def call(self) -> promises.Call | None:
        """Makes one call; returns None if no entry accepts a connection."""
        if self._streams is not None and _is_closed(self._streams[0]):
            self.close()
        if self._streams is None and not await self._connect():
            await asyncio.sleep(0.1)
            return None
        self._count += 1
        kind = self._rng.choice(list(promises.CallKind))
        call = promises.Call(
            request_id=f"{self._entry}/{self._name}-{self._count}",
            kind=kind,
            key=self._run.key(self._rng),
            entry=self._entry,
            lifetime=self._lifetime,
            port=self._port,
            wait_ms=CALL_WAIT_MS
            if kind is promises.CallKind.STREAM
            else CALL_WAIT_MS / PLAIN_SHARE,
            sent_ms=self._run.now_ms(),
        )
        self.calls.append(call)
        keep_alive = False
        ending = promises.CallEnding.CUT
        try:
            keep_alive = await self._exchange(call)
        except TimeoutError:
            ending = promises.CallEnding.TIMED_OUT
        except OSError:
            # The connection was lost, so the call stays incomplete.
            pass
        except httptools.HttpParserError:
            call.foreign = True
        call.ending = promises.CallEnding.ANSWERED if call.whole else ending
        call.ended_ms = self._run.now_ms()
        if not keep_alive:
            self.close()
        return call

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None

    async def _connect(self) -> bool:
        now_ms = self._run.now_ms()
        if now_ms - self._looked_up_ms > LOOKUP_TTL_MS or not self._entries:
            self._entries = await self._run.entries(self._rng) or self._entries
            self._looked_up_ms = now_ms
        if not self._entries:
            return False
        self._entry = self._rng.choice(self._entries)
        self._lifetime = self._run.lifetime(self._entry)
        host, port = self._run.address(self._entry)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(host, port)
                own = self._streams[1].get_extra_info("sockname")
                self._port = own[1] if own else 0
        return self._streams is not None

    async def _exchange(self, call: promises.Call) -> bool:
        """Sends a call and reads the response.

        Returns:
          Whether the connection can be reused.

        Raises:
          OSError: if the connection is lost.
          HttpParserError: if the received bytes are not a valid response.
        """
        if self._streams is None:
            raise OSError("no connection is open")
        reader, writer = self._streams
        writer.write(_head(call))
        answer = _ResponseParser(call)
        try:
            async with asyncio.timeout(call.wait_ms / _MS + 1.0):
                while not answer.ended:
                    data = await reader.read(_READ_BYTES)
                    if not data:
                        return False
                    answer.feed(data)
        finally:
            answer.finish()
        return answer.keep_alive


def _is_closed(reader: asyncio.StreamReader) -> bool:
    """Returns whether a connection is known to have ended."""
    return reader.at_eof() or reader.exception() is not None


def _head(call: promises.Call) -> bytes:
    method = "GET" if call.kind is promises.CallKind.STOCK else "POST"
    lines = [
        f"{method} /{call.kind.value}/x HTTP/1.1",
        f"host: {direct_documents.HOST}",
        f"x-attempt-id: {call.request_id}",
        f"x-deadline-ms: {call.wait_ms:.0f}",
        f"authorization: Bearer {call.key}",
    ]
    if call.kind is promises.CallKind.STREAM:
        lines.append("x-token-usage: 100,30")
        lines.append(f"x-prefix-hash: {FIRST_PART},{OWN_PART}")
    if method == "POST":
        lines.append("content-length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
