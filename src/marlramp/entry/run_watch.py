"""Asks agents about runs that give no sign.

A link that breaks, as when a VM was suspended, loses what was sent on it; the
entry would wait for the deadline of the call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core import grants
from marlramp.entry import call as call_module
from marlramp.entry import questions
from marlramp.protocol import messages

SILENT_RUN_MS = 1_000.0
"""Time without a sign of a run after which its agent is asked about it."""

_ENDED_STATES = frozenset({grants.RunState.SUCCEEDED, grants.RunState.FAILED})


class RunWatch:
    """Finds runs that their links have lost."""

    def __init__(
        self,
        asked: questions.Questions,
        sender: questions.AgentSender,
        send_again: Callable[[call_module.Call], None],
        fail_try: Callable[[call_module.Call, errors.CallError], None],
    ) -> None:
        """Asks nothing before `look`.

        Args:
          asked: matches answers to questions.
          sender: sends questions.
          send_again: sends the run of a call's current try once more.
          fail_try: ends the current try of a call.
        """
        self._questions = asked
        self._sender = sender
        self._send_again = send_again
        self._fail_try = fail_try

    def look(self, call: call_module.Call, now_ms: clock.Millis) -> None:
        """Asks about a current try that has been silent for too long."""
        begun = call.status is not None or call.first_part_ms is not None
        silent_ms = now_ms - call.asked_ms
        if begun or call.grant is None or silent_ms < SILENT_RUN_MS:
            return
        call.asked_ms = now_ms
        question = messages.RunQuery(
            request_id=self._questions.new_id(),
            incarnation=call.grant.incarnation,
            number=call.grant.number,
        )
        if self._sender.send(call.grant.vm_id, question):
            task = asyncio.create_task(self._judge(call, question))
            task.add_done_callback(lambda done: done.exception())

    async def _judge(
        self, call: call_module.Call, question: messages.RunQuery
    ) -> None:
        try_id = call.try_id
        reply = await self._questions.reply(
            ids.RequestId(question.request_id), questions.ANSWER_WAIT_MS
        )
        gone = call.grant is None or call.try_id != try_id
        if gone or call.status is not None:
            return
        if not isinstance(reply, messages.RunStatus):
            return
        not_started = reply.state is grants.RunState.NOT_STARTED
        answer_lost = reply.state in _ENDED_STATES
        if not_started or (answer_lost and call.token is not None):
            # A grant starts one run only, and a token's answer is kept.
            self._send_again(call)
        elif reply.state is not grants.RunState.RUNNING:
            kind = errors.ErrorKind.UPSTREAM_LOST
            self._fail_try(call, errors.CallError(kind, ran=reply.ran))
