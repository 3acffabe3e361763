"""Links between members of the direct path: length-prefixed frames over TCP.

Each process listens and opens links to the members that it needs; a link
carries frames in both directions. Sending never blocks: messages that don't
fit into the buffers are dropped, since every protocol on top retries or times
out. ZeroMQ is not used here because libzmq aborted processes with an assertion
failure when links were reset, see docs/design/platform.md. An asyncio protocol
also reports a closed connection at once.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp.core.membership import members
from marlramp.protocol import codec
from marlramp.shell import member_connection
from marlramp.shell import safely

MessageT = TypeVar("MessageT")

UNNAMED_MAX = 256
"""Limit of the inbound connections that have not sent their names; beyond it
the oldest one is closed. Sound peers send their names at once."""

INBOUND_MAX = 2_048
"""Limit of the inbound connections; beyond it the one that was silent for the
longest time is closed. It is twice the number of VMs."""

CONNECT_TIMEOUT_MS = 700.0
RECONNECT_MIN_MS = 100.0
RECONNECT_MAX_MS = 500.0
"""Bounds of the delay before a link is reopened, doubled on each failure."""

IDLE_MAX_MS = 4_000.0
"""Links opened by this process are closed after this time without traffic.
Entries query each other rarely, and keepalive probes on idle connections to all
of them would cost more bytes between regions than the queries."""

REPLACED_IDLE_MAX_MS = 5_000.0
REPLACED_CHECK_MS = 1_000.0
"""An inbound connection of a member that has opened a newer one is closed after
this time without a frame, and checked at this interval."""

INBOUND_PER_NAME_MAX = 2
"""Limit of the inbound connections of one member. A member opens a second one
for a moment while it contacts a seed that it already has a link to."""

PENDING_MAX = 64
PENDING_AGE_MAX_MS = 1_500.0
"""Bounds of the messages queued while a link opens; older ones are outdated."""

_MS = clock.MILLIS_PER_SECOND


class _QueuedMessage(msgspec.Struct, frozen=True):
    """A message queued until its link is open."""

    message: codec.Encoded
    queued_ms: float


class _OutboundLink:
    """A link that this process opens, and reopens after a failure."""

    def __init__(self, host: str, port: int, now_ms: clock.Millis) -> None:
        self.host = host
        self.port = port
        self.last_used_ms: float = now_ms
        self.connection: member_connection.Connection | None = None
        self.pending: collections.deque[_QueuedMessage] = collections.deque(
            maxlen=PENDING_MAX
        )
        self.task: asyncio.Task[None] | None = None


class MemberLinks(Generic[MessageT]):
    """All links of one process for one set of message types."""

    def __init__(
        self,
        own_name: str,
        decoder: codec.Decoder[MessageT],
        on_message: Callable[[str, MessageT], None],
        totals: counters.Counters,
        time: clock.Clock,
        is_near: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Passes the messages of all links to `on_message`.

        Args:
          own_name: name of this process.
          decoder: decodes received messages.
          on_message: called with the sender's name and the message.
          totals: counters, which include the bytes per message type.
          time: the clock.
          is_near: returns whether a member is in the same region; used as a
            label of the counters.
        """
        self._own_name = own_name
        self._decoder = decoder
        self._on_message = on_message
        self._totals = totals
        self._clock = time
        self._is_near = is_near
        self._inbound: dict[str, list[member_connection.Connection]] = {}
        self._outbound: dict[str, _OutboundLink] = {}
        self._unnamed: dict[member_connection.Connection, None] = {}
        self._accepted: dict[member_connection.Connection, None] = {}
        self._partial_frames = member_connection.PartialFrames()
        self._fault_log = member_connection.FaultLog(totals, time)
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts accepting links from other members.

        Raises:
          OSError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: member_connection.Connection(
                self._on_inbound_frame,
                self._forget_inbound,
                self._partial_frames,
                self._fault_log,
                self._on_inbound_made,
            ),
            host,
            port,
            reuse_address=True,
            backlog=256,
        )

    def open(self, name: str, host: str, port: int) -> bool:
        """Opens a link to a member; returns False if it already exists."""
        link = self._outbound.get(name)
        if link is not None and (link.host, link.port) == (host, port):
            return False
        self.close(name)
        outbound = _OutboundLink(host, port, self._clock.now_ms())
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
        for connection in list(self._accepted):
            connection.abort()

    def close_idle(self) -> None:
        """Closes links opened by this process that have been idle too long."""
        cutoff_ms = self._clock.now_ms() - IDLE_MAX_MS
        for name, outbound in list(self._outbound.items()):
            connection = outbound.connection
            last_received_ms = (
                float("-inf")
                if connection is None
                else connection.last_received_ms
            )
            if max(outbound.last_used_ms, last_received_ms) < cutoff_ms:
                self.close(name)

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends to a member; returns False if no link accepts the message."""
        return self.send_encoded(name, codec.encode_once(message))

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        """Sends an encoded message; see `send`.

        A link that the member opened and has used recently is preferred, since
        it is known to work.
        """
        now_ms = self._clock.now_ms()
        inbound = self._newest_inbound(name)
        outbound = self._outbound.get(name)
        use_inbound = inbound is not None and (
            outbound is None
            or now_ms - inbound.last_received_ms < members.ALIVE_MS
        )
        if inbound is not None and use_inbound and inbound.send(message.data):
            self._count("sent", name, message.kind, message.data)
            return True
        if outbound is None:
            return False
        outbound.last_used_ms = now_ms
        if outbound.connection is None:
            outbound.pending.append(_QueuedMessage(message, now_ms))
            return True
        sent = outbound.connection.send(message.data)
        if sent:
            self._count("sent", name, message.kind, message.data)
        return sent

    async def _keep_open(self, name: str, outbound: _OutboundLink) -> None:
        delay_ms = RECONNECT_MIN_MS
        while True:
            connection = await self._connect(name, outbound)
            if connection is not None:
                await connection.lost.wait()
                outbound.connection = None
                if connection.unusable == 0:
                    delay_ms = RECONNECT_MIN_MS
            await asyncio.sleep(delay_ms / _MS)
            delay_ms = min(RECONNECT_MAX_MS, 2 * delay_ms)

    async def _connect(
        self, name: str, outbound: _OutboundLink
    ) -> member_connection.Connection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / _MS):
                _, connection = await loop.create_connection(
                    lambda: member_connection.Connection(
                        self._on_outbound_frame,
                        lambda _: None,
                        self._partial_frames,
                        self._fault_log,
                        name=name,
                    ),
                    outbound.host,
                    outbound.port,
                )
        except OSError:
            # The peer is down or unreachable, which member tracking detects
            # by missing messages; a log line per attempt would add nothing.
            self._totals.add(counters.CounterName.MESSAGES_DROPPED, "connect")
            return None
        connection.send(self._own_name.encode())
        outbound.connection = connection
        cutoff_ms = self._clock.now_ms() - PENDING_AGE_MAX_MS
        while outbound.pending:
            pending = outbound.pending.popleft()
            if pending.queued_ms < cutoff_ms:
                continue
            message = pending.message
            if connection.send(message.data):
                self._count("sent", name, message.kind, message.data)
        return connection

    def _on_inbound_made(
        self, connection: member_connection.Connection
    ) -> None:
        self._accepted[connection] = None
        self._unnamed[connection] = None
        if len(self._unnamed) > UNNAMED_MAX:
            self._close_inbound(next(iter(self._unnamed)), "too_many_unnamed")
        if len(self._accepted) > INBOUND_MAX:
            named = self._accepted.keys() - self._unnamed.keys()
            silent = min(named, key=lambda each: each.last_received_ms)
            self._close_inbound(silent, "too_many_links")

    def _close_inbound(
        self, connection: member_connection.Connection, reason: str
    ) -> None:
        """Closes an inbound connection, which counts no longer from now on."""
        self._forget_inbound(connection)
        connection.close(reason)

    def _on_inbound_frame(
        self, connection: member_connection.Connection, frame: bytes
    ) -> None:
        connection.last_received_ms = self._clock.now_ms()
        if connection.name:
            self._handle_message(connection, frame)
            return
        name = frame.decode("utf-8", "replace")
        if not name:
            connection.close("no_name")
            return
        connection.name = name
        self._unnamed.pop(connection, None)
        connections = self._inbound.setdefault(name, [])
        if connections:
            self._close_if_replaced(connections[-1])
        connections.append(connection)
        if len(connections) > INBOUND_PER_NAME_MAX:
            self._close_inbound(connections[0], "replaced")

    def _newest_inbound(self, name: str) -> member_connection.Connection | None:
        connections = self._inbound.get(name)
        return connections[-1] if connections else None

    def _close_if_replaced(
        self, connection: member_connection.Connection
    ) -> None:
        """Closes a connection that has a newer one, once it is silent.

        A peer that still uses it would have closed it when it became idle.
        """
        if connection not in self._accepted:
            return
        silent_ms = self._clock.now_ms() - connection.last_received_ms
        newest = self._newest_inbound(connection.name)
        if newest is not connection and silent_ms >= REPLACED_IDLE_MAX_MS:
            self._close_inbound(connection, "replaced")
            return
        wait_ms = max(REPLACED_CHECK_MS, REPLACED_IDLE_MAX_MS - silent_ms)
        asyncio.get_running_loop().call_later(
            wait_ms / _MS, self._close_if_replaced, connection
        )

    def _forget_inbound(self, connection: member_connection.Connection) -> None:
        self._accepted.pop(connection, None)
        self._unnamed.pop(connection, None)
        connections = self._inbound.get(connection.name, [])
        if connection in connections:
            connections.remove(connection)
            if not connections:
                del self._inbound[connection.name]

    def _on_outbound_frame(
        self, connection: member_connection.Connection, frame: bytes
    ) -> None:
        connection.last_received_ms = self._clock.now_ms()
        self._handle_message(connection, frame)

    def _handle_message(
        self, connection: member_connection.Connection, data: bytes
    ) -> None:
        name = connection.name
        try:
            message = self._decoder.decode(data)
        except codec.DecodeError as error:
            reason = error.reason
            self._count("received", name, reason, data)
            self._fault_log.record("message_dropped", reason, sender=name)
            connection.record_usable(usable=False)
            return
        kind = type(message).__name__
        self._count("received", name, kind, data)
        handled = safely.run_safely(
            lambda: self._on_message(name, message), kind, self._totals
        )
        connection.record_usable(usable=handled)

    def _count(self, direction: str, name: str, kind: str, data: bytes) -> None:
        """Counts a message and its bytes by direction, type and distance."""
        distance = "near" if self._is_near(name) else "far"
        label = f"{direction}_{kind}_{distance}"
        size = member_connection.LENGTH_PREFIX.size + len(data)
        self._totals.add(counters.CounterName.LINK_MESSAGES, label)
        self._totals.add(counters.CounterName.LINK_BYTES, label, size)
