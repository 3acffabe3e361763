"""Queries from an entry to agents, matched with the replies."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Protocol
from typing import TypeAlias

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import run_tokens
from marlramp.entry import agent_table
from marlramp.protocol import messages

REPLY_TIMEOUT_MS = 500.0
"""Time to wait for an agent's reply to a query."""

RESERVE_AGENTS_MAX = 3
"""Most agents that are requested to reserve a grant for one run token."""

Reply: TypeAlias = messages.Reserved | messages.RunStatus
"""Messages with which agents reply to queries."""


class AgentSender(Protocol):
    """Sends messages to agents."""

    def send(self, vm_id: ids.VmId, message: messages.FromEntry) -> bool:
        """Sends a message; returns False if the agent is unreachable."""
        ...


class AgentQueries:
    """Sends queries to agents and matches the replies by request id."""

    def __init__(
        self,
        entry_id: ids.VmId,
        table: agent_table.AgentTable,
        sender: AgentSender,
        rng: random.Random,
    ) -> None:
        """Starts without pending queries."""
        self._entry_id = entry_id
        self._table = table
        self._sender = sender
        self._rng = rng
        self._numbers = itertools.count(1)
        self._pending: dict[ids.RequestId, asyncio.Future[Reply]] = {}

    def new_id(self) -> ids.RequestId:
        """Returns a request id that this entry has not used before."""
        return ids.RequestId(f"{self._entry_id}.{next(self._numbers)}")

    def handle_reply(self, message: Reply) -> None:
        """Passes a reply to the waiting task; ignores a late reply."""
        future = self._pending.pop(ids.RequestId(message.request_id), None)
        if future is not None and not future.done():
            future.set_result(message)

    async def wait_for_reply(
        self, request_id: ids.RequestId, wait_ms: float
    ) -> Reply | None:
        """Waits for the reply to a query; returns None after `wait_ms`."""
        future: asyncio.Future[Reply]
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            async with asyncio.timeout(wait_ms / clock.MILLIS_PER_SECOND):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending.pop(request_id, None)

    async def reserve(
        self, service_id: ids.ServiceId, customer_id: ids.CustomerId
    ) -> run_tokens.RunToken:
        """Reserves a grant at an agent and returns a run token for it.

        Agents with the fewest attempts in flight are queried first.

        Raises:
          errors.CallError: if no agent serves the service, or none of the
            queried agents reserves a grant.
        """
        agents = self._table.serving(service_id)
        if not agents:
            raise errors.CallError(errors.ErrorKind.NO_UPSTREAM)
        self._rng.shuffle(agents)
        agents.sort(key=lambda info: info.in_flight)
        for info in agents[:RESERVE_AGENTS_MAX]:
            request_id = self.new_id()
            query = messages.Reserve(request_id=request_id)
            reply = await self._request(info.vm_id, request_id, query)
            if isinstance(reply, messages.Reserved) and reply.number:
                return run_tokens.RunToken(
                    info.vm_id,
                    reply.incarnation,
                    reply.number,
                    service_id,
                    customer_id,
                )
        raise errors.CallError(errors.ErrorKind.UPSTREAM_BUSY)

    async def query_run(
        self, token: run_tokens.RunToken
    ) -> messages.RunStatus | None:
        """Returns the state of a run token's run, None without a reply."""
        request_id = self.new_id()
        query = messages.RunQuery(
            request_id=request_id,
            incarnation=token.incarnation,
            number=token.number,
        )
        reply = await self._request(ids.VmId(token.vm_id), request_id, query)
        return reply if isinstance(reply, messages.RunStatus) else None

    async def _request(
        self,
        vm_id: ids.VmId,
        request_id: ids.RequestId,
        query: messages.Reserve | messages.RunQuery,
    ) -> Reply | None:
        if not self._sender.send(vm_id, query):
            return None
        return await self.wait_for_reply(request_id, REPLY_TIMEOUT_MS)
