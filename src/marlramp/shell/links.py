"""CURVE-authenticated ZeroMQ links between the system's processes.

A listener (ROUTER) serves many connectors (DEALER). Sending never blocks: a
message that does not fit into the send queue is dropped and `send` returns
False, since every protocol on top retries or times out.

Sockets are polled through their file descriptors and read in batches, because
the futures of `zmq.asyncio` cost more than handling the messages, see
docs/design/links.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from marlramp import counters
from marlramp.protocol import messages

if TYPE_CHECKING:
    from marlramp.settings import process

QUEUE_MESSAGES_MAX = 10_000
"""Limit of each queue of a link.

A message that exceeds the limit of the send queue is dropped. While the
receive queue is full, the sender's messages wait in its send queue.
"""

CONNECTOR_BYTES_MAX = messages.MESSAGE_BYTES_MAX
"""Largest message that a connector accepts; the link to a listener that sends a
larger one is closed and opened again."""

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
HANDSHAKE_TIMEOUT_MS = 5_000
BATCH_MESSAGES_MAX = 256
"""Maximum number of messages that one call of `receive` returns."""

_SEPARATOR = "|"
_FRAME_COUNT = 2
_POLLIN = int(zmq.POLLIN)


class LinkId(msgspec.Struct, frozen=True):
    """Identity of one end of a link.

    Attributes:
      vm_id: the VM of the process.
      incarnation: number chosen at each start of the process.
    """

    vm_id: str
    incarnation: int

    def encode(self) -> bytes:
        """Returns the ZeroMQ routing id of this identity."""
        return f"{self.vm_id}{_SEPARATOR}{self.incarnation}".encode()

    @staticmethod
    def decode(data: bytes) -> LinkId | None:
        """Returns the identity of a routing id, None if it is malformed."""
        try:
            vm_id, _, number = data.decode().rpartition(_SEPARATOR)
            return LinkId(vm_id, int(number)) if vm_id else None
        except (UnicodeDecodeError, ValueError):
            return None


class Keys(msgspec.Struct, frozen=True):
    """The fleet's CURVE key pairs in Z85."""

    server_public: bytes
    server_secret: bytes
    client_public: bytes
    client_secret: bytes

    @staticmethod
    def of(settings: process.Links) -> Keys:
        """Returns the keys in the link settings of a process."""
        return Keys(
            settings.server_public_key.encode(),
            settings.server_secret_key.encode(),
            settings.client_public_key.encode(),
            settings.client_secret_key.encode(),
        )


class _FleetKeyProvider:
    """Accepts only the fleet's client key."""

    def __init__(self, public_key: bytes) -> None:
        self._public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a connecting client uses the fleet's key."""
        return key == self._public_key


class LinkContext:
    """Owns the ZeroMQ context and the authenticator of one process."""

    def __init__(self, keys: Keys, totals: counters.Counters) -> None:
        """Starts accepting clients that use the fleet's client key."""
        self.keys = keys
        self._totals = totals
        self._channels: set[_Channel] = set()
        async_context = zmq.asyncio.Context()
        self.context: zmq.Context[zmq.Socket[bytes]] = zmq.Context.shadow(
            async_context.underlying
        )
        self._async_context = async_context
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            async_context
        )
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            credentials_provider=_FleetKeyProvider(keys.client_public)
        )

    def watch(self, socket: zmq.Socket[bytes]) -> _Channel:
        """Returns the channel of a bound or connected socket."""
        channel = _Channel(socket, self._totals, self._channels.discard)
        self._channels.add(channel)
        return channel

    def close(self) -> None:
        """Closes all sockets, discarding queued messages."""
        self._authenticator.stop()
        for channel in list(self._channels):
            channel.close()
        self._async_context.destroy(linger=0)


def _configure(socket: zmq.Socket[bytes]) -> None:
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.SNDHWM, QUEUE_MESSAGES_MAX)
    socket.set(zmq.RCVHWM, QUEUE_MESSAGES_MAX)
    socket.set(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)


class _Channel:
    """A socket with non-blocking sends and batched reads."""

    def __init__(
        self,
        socket: zmq.Socket[bytes],
        totals: counters.Counters,
        on_close: Callable[[_Channel], None],
    ) -> None:
        """Registers a bound or connected socket with the event loop."""
        self._socket = socket
        self._totals = totals
        self._on_close = on_close
        self._readable = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._fd = int(socket.get(zmq.FD))
        self._loop.add_reader(self._fd, self._readable.set)

    async def receive(self) -> list[list[bytes]]:
        """Waits for messages and returns the frames of each.

        It does not suspend the task if messages are available.
        """
        while True:
            batch = self._read_batch()
            if batch:
                size = sum(len(frames[-1]) for frames in batch)
                self._totals.add(
                    counters.CounterName.LINK_BYTES, "received", size
                )
                return batch
            self._readable.clear()
            if not self._has_pending_input():
                await self._readable.wait()

    def send(self, frames: list[bytes]) -> bool:
        """Queues a message; returns False if it was dropped.

        It is dropped if the send queue is full, the routing id is unknown or
        the socket is closed.
        """
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._totals.add(
            counters.CounterName.LINK_BYTES, "sent", len(frames[-1])
        )
        # Sending may consume the socket's read notification, after which the
        # file descriptor does not become readable for a waiting message.
        if self._has_pending_input():
            self._readable.set()
        return True

    def close(self) -> None:
        """Closes the socket."""
        self._loop.remove_reader(self._fd)
        self._socket.close(linger=0)
        self._on_close(self)

    def _read_batch(self) -> list[list[bytes]]:
        batch: list[list[bytes]] = []
        try:
            while len(batch) < BATCH_MESSAGES_MAX:
                batch.append(self._socket.recv_multipart(zmq.NOBLOCK))
        except zmq.Again:
            pass
        return batch

    def _has_pending_input(self) -> bool:
        events = int(self._socket.get(zmq.EVENTS))
        return bool(events & _POLLIN)


class Received(msgspec.Struct, frozen=True):
    """A message received by a listener and its sender's routing id."""

    routing_id: bytes
    data: bytes


class Listener:
    """The listening end of links from many processes."""

    def __init__(
        self, links: LinkContext, host: str, port: int, bytes_max: int
    ) -> None:
        """Binds an address; peers that exceed `bytes_max` are disconnected."""
        socket = links.context.socket(zmq.ROUTER)
        _configure(socket)
        # Reports messages to unknown peers instead of dropping them silently.
        socket.set(zmq.ROUTER_MANDATORY, 1)
        # A peer that reconnects replaces its previous connection, which may
        # not be known to be broken yet.
        socket.set(zmq.ROUTER_HANDOVER, 1)
        socket.set(zmq.MAXMSGSIZE, bytes_max)
        socket.set(zmq.CURVE_SERVER, 1)
        socket.set(zmq.CURVE_SECRETKEY, links.keys.server_secret)
        socket.set(zmq.CURVE_PUBLICKEY, links.keys.server_public)
        socket.bind(f"tcp://{host}:{port}")
        self._channel = links.watch(socket)

    async def receive(self) -> list[Received]:
        """Waits for messages and returns those that are available.

        A message with another number of frames than a connector sends is
        returned without data.
        """
        return [
            Received(
                frames[0], frames[1] if len(frames) == _FRAME_COUNT else b""
            )
            for frames in await self._channel.receive()
        ]

    def send(self, routing_id: bytes, data: bytes) -> bool:
        """Queues a message; returns False if it was dropped."""
        return self._channel.send([routing_id, data])

    def close(self) -> None:
        """Closes the socket."""
        self._channel.close()


class Connector:
    """The connecting end of a link to one listener."""

    def __init__(
        self, links: LinkContext, link_id: LinkId, host: str, port: int
    ) -> None:
        """Connects in the background and reconnects automatically."""
        socket = links.context.socket(zmq.DEALER)
        _configure(socket)
        socket.set(zmq.MAXMSGSIZE, CONNECTOR_BYTES_MAX)
        socket.set(zmq.ROUTING_ID, link_id.encode())
        socket.set(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.set(zmq.CURVE_SERVERKEY, links.keys.server_public)
        socket.set(zmq.CURVE_PUBLICKEY, links.keys.client_public)
        socket.set(zmq.CURVE_SECRETKEY, links.keys.client_secret)
        socket.connect(f"tcp://{host}:{port}")
        self._channel = links.watch(socket)

    async def receive(self) -> list[bytes]:
        """Waits for messages and returns those that are available."""
        return [frames[-1] for frames in await self._channel.receive()]

    def send(self, data: bytes) -> bool:
        """Queues a message; returns False if it was dropped."""
        return self._channel.send([data])

    def close(self) -> None:
        """Closes the socket."""
        self._channel.close()
