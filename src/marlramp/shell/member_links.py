"""Links between the members of the direct path: length-prefixed frames on TCP.

Each process listens and opens links to the members it needs; a link carries
frames both ways. Sending never blocks: what a link can't take is dropped,
since every protocol on top repeats or times out. libzmq ended processes by an
assertion when links were reset on them, see docs/design/platform.md; a plain
protocol of asyncio also tells at once that a peer is gone.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import struct
from typing import Generic
from typing import TypeVar

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core.membership import members
from marlramp.protocol import codec
from marlramp.shell import safely
from marlramp.shell import silence

MessageT = TypeVar("MessageT")

FRAME_BYTES_MAX = 16_777_216
NAME_BYTES_MAX = 256
BUFFER_BYTES_MAX = 2_097_152
"""Bytes that wait on a link before more messages are dropped."""

UNACKNOWLEDGED_MAX_MS = 2_500
"""Bytes that stay unacknowledged this long end a link, which is then opened
anew: a link that hung through a cut would come back seconds later."""

CONNECT_TIMEOUT_MS = 700.0
RECONNECT_MIN_MS = 100.0
RECONNECT_MAX_MS = 500.0
"""Pause before a link is opened again, doubled up to the longest."""

IDLE_MAX_MS = 4_000.0
"""A link that was opened here and carried nothing this long is closed: entries
ask each of the others now and then, and probes of idle connections to all of
them would cost more bytes between regions than the questions."""

PENDING_MAX = 64
PENDING_AGE_MAX_MS = 1_500.0
"""Messages kept while a link is being opened; older ones are out of date."""

_LENGTH = struct.Struct(">I")
_MS = clock.MILLIS_PER_SECOND


class _Pending(msgspec.Struct, frozen=True):
    """A message that waits for a link to open."""

    message: codec.Encoded
    queued_ms: float


class _Connection(asyncio.Protocol):
    """One end of a link; the first frame of the opening end is its name."""

    def __init__(
        self,
        on_frame: Callable[[_Connection, bytes], None],
        on_lost: Callable[[_Connection], None],
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.name = ""
        self.heard_ms = float("-inf")
        self.lost = asyncio.Event()

    def send(self, data: bytes) -> bool:
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > BUFFER_BYTES_MAX:
            return False
        transport.write(_LENGTH.pack(len(data)) + data)
        return True

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if not isinstance(transport, asyncio.Transport):
            raise TypeError("a stream transport is needed")
        self._transport = transport
        silence.bound(transport, UNACKNOWLEDGED_MAX_MS)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > FRAME_BYTES_MAX:
                logs.log("link_frame_too_large", size=size, name=self.name)
                self.abort()
                return
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            self._on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.lost.set()
        self._on_lost(self)


class _Outbound:
    """A link that this process opens, and opens again when it is lost."""

    def __init__(self, host: str, port: int, now_ms: clock.Millis) -> None:
        self.host = host
        self.port = port
        self.used_ms: float = now_ms
        self.connection: _Connection | None = None
        self.pending: collections.deque[_Pending] = collections.deque(
            maxlen=PENDING_MAX
        )
        self.task: asyncio.Task[None] | None = None


class MemberLinks(Generic[MessageT]):
    """All links of one process that carry one set of messages."""

    def __init__(
        self,
        own_name: str,
        decoder: codec.Decoder[MessageT],
        on_message: Callable[[str, MessageT], None],
        totals: counters.Counters,
        time: clock.Clock,
        is_near: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Hands the messages of all links to `on_message`.

        Args:
          own_name: name of this process.
          decoder: decodes the messages.
          on_message: takes the sender's name and the message.
          totals: counters of bytes by kind of message.
          time: the clock.
          is_near: tells whether a member is in the own region, for counters.
        """
        self._own_name = own_name
        self._decoder = decoder
        self._on_message = on_message
        self._totals = totals
        self._clock = time
        self._is_near = is_near
        self._inbound: dict[str, _Connection] = {}
        self._outbound: dict[str, _Outbound] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Takes links that others open.

        Raises:
          OSError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self._take_inbound, self._lost_inbound),
            host,
            port,
            reuse_address=True,
            backlog=256,
        )

    def open(self, name: str, host: str, port: int) -> bool:
        """Opens a link under a name; returns False if it is open already."""
        known = self._outbound.get(name)
        if known is not None and (known.host, known.port) == (host, port):
            return False
        self.close(name)
        outbound = _Outbound(host, port, self._clock.now_ms())
        outbound.task = asyncio.get_running_loop().create_task(
            self._keep_open(name, outbound)
        )
        self._outbound[name] = outbound
        return True

    def close(self, name: str) -> None:
        """Closes a link that this process opened."""
        outbound = self._outbound.pop(name, None)
        if outbound is None:
            return
        if outbound.task is not None:
            outbound.task.cancel()
        if outbound.connection is not None:
            outbound.connection.abort()

    def close_all(self) -> None:
        """Closes all links and stops listening."""
        if self._server is not None:
            self._server.close()
        for name in list(self._outbound):
            self.close(name)
        for connection in list(self._inbound.values()):
            connection.abort()

    def close_idle(self) -> None:
        """Closes links opened here that carried nothing for long."""
        horizon_ms = self._clock.now_ms() - IDLE_MAX_MS
        for name, outbound in list(self._outbound.items()):
            connection = outbound.connection
            heard_ms = (
                float("-inf") if connection is None else connection.heard_ms
            )
            if max(outbound.used_ms, heard_ms) < horizon_ms:
                self.close(name)

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends to a member; returns False if no link takes the message."""
        return self.send_encoded(name, codec.encode_once(message))

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        """Sends an encoded message; see `send`.

        A link that the member opened and spoke on lately goes first: it is
        known to work.
        """
        now_ms = self._clock.now_ms()
        inbound = self._inbound.get(name)
        outbound = self._outbound.get(name)
        inbound_works = inbound is not None and (
            outbound is None or now_ms - inbound.heard_ms < members.ALIVE_MS
        )
        if inbound is not None and inbound_works and inbound.send(message.data):
            self._count("sent", name, message.kind, message.data)
            return True
        if outbound is None:
            return False
        outbound.used_ms = now_ms
        if outbound.connection is None:
            outbound.pending.append(_Pending(message, now_ms))
            return True
        sent = outbound.connection.send(message.data)
        if sent:
            self._count("sent", name, message.kind, message.data)
        return sent

    async def _keep_open(self, name: str, outbound: _Outbound) -> None:
        wait_ms = RECONNECT_MIN_MS
        while True:
            connection = await self._connect(name, outbound)
            if connection is not None:
                wait_ms = RECONNECT_MIN_MS
                await connection.lost.wait()
                outbound.connection = None
            await asyncio.sleep(wait_ms / _MS)
            wait_ms = min(RECONNECT_MAX_MS, 2 * wait_ms)

    async def _connect(
        self, name: str, outbound: _Outbound
    ) -> _Connection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / _MS):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._take_outbound, lambda _: None),
                    outbound.host,
                    outbound.port,
                )
        except OSError:
            # The peer is down or cut off, which the members' silence tells;
            # a line for each try would say nothing more.
            self._totals.add(counters.CounterName.MESSAGES_DROPPED, "connect")
            return None
        connection.name = name
        connection.send(self._own_name.encode())
        outbound.connection = connection
        horizon_ms = self._clock.now_ms() - PENDING_AGE_MAX_MS
        while outbound.pending:
            pending = outbound.pending.popleft()
            if pending.queued_ms < horizon_ms:
                continue
            message = pending.message
            if connection.send(message.data):
                self._count("sent", name, message.kind, message.data)
        return connection

    def _take_inbound(self, connection: _Connection, frame: bytes) -> None:
        connection.heard_ms = self._clock.now_ms()
        if connection.name:
            self._take(connection.name, frame)
            return
        name = frame[:NAME_BYTES_MAX].decode("utf-8", "replace")
        connection.name = name
        self._inbound[name] = connection

    def _lost_inbound(self, connection: _Connection) -> None:
        if self._inbound.get(connection.name) is connection:
            del self._inbound[connection.name]

    def _take_outbound(self, connection: _Connection, frame: bytes) -> None:
        connection.heard_ms = self._clock.now_ms()
        self._take(connection.name, frame)

    def _take(self, name: str, data: bytes) -> None:
        try:
            message = self._decoder.decode(data)
        except codec.DecodeError as error:
            reason = error.reason
            self._count("received", name, reason, data)
            self._totals.add(counters.CounterName.MESSAGES_DROPPED, reason)
            logs.log("message_dropped", sender=name, reason=reason)
            return
        kind = type(message).__name__
        self._count("received", name, kind, data)
        safely.run_safely(
            lambda: self._on_message(name, message), kind, self._totals
        )

    def _count(self, direction: str, name: str, kind: str, data: bytes) -> None:
        """Counts a message and its bytes by kind and by way."""
        way = "near" if self._is_near(name) else "far"
        label = f"{direction}_{kind}_{way}"
        size = _LENGTH.size + len(data)
        self._totals.add(counters.CounterName.LINK_MESSAGES, label)
        self._totals.add(counters.CounterName.LINK_BYTES, label, size)
