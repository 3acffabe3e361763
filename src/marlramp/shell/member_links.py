"""Links between the members of the direct path.

Each process listens and opens links to the members it needs. A member that
is linked both ways is answered on the link that it opened itself, since that
one is known to work.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core import members
from marlramp.protocol import codec
from marlramp.shell import links
from marlramp.shell import safely


class _Inbound(msgspec.Struct):
    """A link that another process opened."""

    routing_id: bytes
    heard_ms: float


class _Outbound:
    """A link that this process opened."""

    def __init__(self, connector: links.Connector, address: str) -> None:
        self.connector = connector
        self.address = address
        self.task: asyncio.Task[None] | None = None


class MemberLinks[MessageT]:
    """All links of one process that carry one set of messages."""

    def __init__(
        self,
        context: links.LinkContext,
        listener: links.Listener,
        link_id: links.LinkId,
        decoder: codec.Decoder[MessageT],
        on_message: Callable[[str, MessageT], None],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Hands the messages of both kinds of link to `on_message`."""
        self._context = context
        self._listener = listener
        self._link_id = link_id
        self._decoder = decoder
        self._on_message = on_message
        self._totals = totals
        self._clock = time
        self._inbound: dict[str, _Inbound] = {}
        self._outbound: dict[str, _Outbound] = {}

    def open(self, name: str, host: str, port: int) -> bool:
        """Opens a link under a name; returns False if it is open already."""
        address = f"{host}:{port}"
        known = self._outbound.get(name)
        if known is not None and known.address == address:
            return False
        self.close(name)
        connector = links.Connector(self._context, self._link_id, host, port)
        outbound = _Outbound(connector, address)
        outbound.task = asyncio.get_running_loop().create_task(
            self._receive_from(name, connector)
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
        outbound.connector.close()

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends to a member; returns False if no link takes the message."""
        return self.send_bytes(name, codec.encode(message))

    def send_bytes(self, name: str, data: bytes) -> bool:
        """Sends an encoded message; see `send`."""
        inbound = self._inbound.get(name)
        now_ms = self._clock.now_ms()
        if inbound is not None and (
            now_ms - inbound.heard_ms < members.ALIVE_MS
            or name not in self._outbound
        ):
            if self._listener.send(inbound.routing_id, data):
                return True
            del self._inbound[name]
        outbound = self._outbound.get(name)
        return outbound is not None and outbound.connector.send(data)

    async def run(self) -> None:
        """Receives on the links that others opened, for ever."""
        while True:
            for received in await self._listener.receive():
                link_id = links.LinkId.decode(received.routing_id)
                if link_id is None:
                    self._drop("identity")
                    continue
                self._inbound[link_id.vm_id] = _Inbound(
                    received.routing_id, self._clock.now_ms()
                )
                self._take(link_id.vm_id, received.data)

    async def _receive_from(
        self, name: str, connector: links.Connector
    ) -> None:
        while True:
            for data in await connector.receive():
                self._take(name, data)

    def _take(self, name: str, data: bytes) -> None:
        try:
            message = self._decoder.decode(data)
        except codec.DecodeError as error:
            self._drop(error.reason)
            return
        safely.run_safely(
            lambda: self._on_message(name, message),
            type(message).__name__,
            self._totals,
        )

    def _drop(self, reason: str) -> None:
        self._totals.add(counters.CounterName.MESSAGES_DROPPED, reason)
        logs.log("message_dropped", reason=reason)
