"""Detects runs whose request or answer was lost on the link to the agent.

A link that breaks, for example because a VM was suspended, loses the messages
that were sent on it. Without a query the entry would wait until the deadline of
the call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import grants
from marlramp.entry import agent_queries
from marlramp.entry import call as call_module
from marlramp.protocol import messages

RUN_SILENCE_MAX_MS = 1_000.0
"""Time without any message about a run after which its agent is queried."""

_ENDED_STATES = frozenset({grants.RunState.SUCCEEDED, grants.RunState.FAILED})


class LostRunDetector:
    """Queries agents about silent runs, and resends or fails lost ones."""

    def __init__(
        self,
        queries: agent_queries.AgentQueries,
        sender: agent_queries.AgentSender,
        resend: Callable[[call_module.Call], None],
        fail_attempt: Callable[[call_module.Call, errors.CallError], None],
    ) -> None:
        """Sends no query before `check` is called.

        Args:
          queries: matches replies to queries.
          sender: sends queries to agents.
          resend: sends the run of a call's current attempt again.
          fail_attempt: fails the current attempt of a call.
        """
        self._queries = queries
        self._sender = sender
        self._resend = resend
        self._fail_attempt = fail_attempt

    def check(self, call: call_module.Call, now_ms: clock.Millis) -> None:
        """Queries the agent if the current attempt is silent for too long."""
        silent_ms = now_ms - call.queried_ms
        if (
            call.answering
            or call.grant is None
            or silent_ms < RUN_SILENCE_MAX_MS
        ):
            return
        call.queried_ms = now_ms
        query = messages.RunQuery(
            request_id=self._queries.new_id(),
            incarnation=call.grant.incarnation,
            number=call.grant.number,
        )
        if self._sender.send(call.grant.vm_id, query):
            task = asyncio.create_task(self._handle_status(call, query))
            task.add_done_callback(lambda done: done.exception())

    async def _handle_status(
        self, call: call_module.Call, query: messages.RunQuery
    ) -> None:
        attempt_id = call.attempt_id
        reply = await self._queries.wait_for_reply(
            ids.RequestId(query.request_id), agent_queries.REPLY_TIMEOUT_MS
        )
        superseded = call.grant is None or call.attempt_id != attempt_id
        if superseded or call.answering:
            return
        if not isinstance(reply, messages.RunStatus):
            return
        not_started = reply.state is grants.RunState.NOT_STARTED
        answer_lost = reply.state in _ENDED_STATES
        if not_started or (answer_lost and call.token is not None):
            # A resend is safe: a grant starts one run only, and the agent
            # keeps the answer of a run token.
            self._resend(call)
        elif reply.state is not grants.RunState.RUNNING:
            kind = errors.ErrorKind.UPSTREAM_LOST
            self._fail_attempt(call, errors.CallError(kind, ran=reply.ran))
