"""Exchanges messages with the agents that are linked to an entry."""

from __future__ import annotations

from collections.abc import Callable

from marlramp import counters
from marlramp import ids
from marlramp.protocol import codec
from marlramp.protocol import messages
from marlramp.shell import links

ROUTES_MAX = 65_536
"""Most agents whose routes are kept; the oldest are forgotten."""


class AgentLinks:
    """Receives messages from all agents, and sends to each, on one socket."""

    def __init__(
        self,
        listener: links.Listener,
        totals: counters.Counters,
        on_message: Callable[[links.LinkId, messages.FromAgent], None],
        on_unreachable: Callable[[ids.VmId], None],
    ) -> None:
        """Creates the links.

        Args:
          listener: the socket.
          totals: counts dropped messages.
          on_message: receives each message that can be decoded.
          on_unreachable: is called when sending to an agent fails.
        """
        self._listener = listener
        self._totals = totals
        self._on_message = on_message
        self._on_unreachable = on_unreachable
        self._decoder = codec.agent_decoder()
        self._routes: dict[ids.VmId, bytes] = {}

    def send(self, vm_id: ids.VmId, message: messages.FromEntry) -> bool:
        """Sends a message; returns False if the agent is unreachable."""
        routing_id = self._routes.get(vm_id)
        if routing_id is None:
            return False
        if self._listener.send(routing_id, codec.encode(message)):
            return True
        self._drop("agent_link")
        self._routes.pop(vm_id, None)
        self._on_unreachable(vm_id)
        return False

    def forget(self, vm_id: ids.VmId) -> None:
        """Sends nothing more to an agent until a message from it arrives."""
        self._routes.pop(vm_id, None)

    async def run(self) -> None:
        """Receives messages until cancelled."""
        while True:
            for received in await self._listener.receive():
                self._on_received(received)

    def _on_received(self, received: links.Received) -> None:
        link_id = links.LinkId.decode(received.routing_id)
        if link_id is None:
            self._drop("identity")
            return
        try:
            message = self._decoder.decode(received.data)
        except codec.DecodeError as error:
            self._drop(error.reason)
            return
        if self._identity_differs(link_id, message):
            self._drop("identity")
            return
        self._routes[ids.VmId(link_id.vm_id)] = received.routing_id
        if len(self._routes) > ROUTES_MAX:
            del self._routes[next(iter(self._routes))]
        self._on_message(link_id, message)

    def _identity_differs(
        self, link_id: links.LinkId, message: messages.FromAgent
    ) -> bool:
        """Returns whether a report names another process than its link does."""
        return isinstance(message, messages.AgentReport) and (
            message.vm_id != link_id.vm_id
            or message.incarnation != link_id.incarnation
        )

    def _drop(self, reason: str) -> None:
        self._totals.add(counters.CounterName.MESSAGES_DROPPED, reason)
