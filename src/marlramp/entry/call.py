"""A call in progress, shared by the dispatcher and the caller's task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import grant_pool
from marlramp.core.grant_calls import queueing
from marlramp.core.grant_calls import run_tokens


class Call:
    """One call and the answer data that is buffered for its caller.

    Attributes:
      state: attempts and delivered parts.
      waiting: the request as the queue holds it.
      token: the run token, which names the grant that the call must use, or
        None if the dispatcher chooses a grant.
      grant: the agent's single-use permission for the current attempt, or
        None.
      attempt_id: request id of the current attempt.
      started_ms: when the current attempt started.
      sent: whether the current attempt was passed to a socket.
      answering: whether headers or parts of the current attempt have arrived.
      progress_ms: when the last headers or parts of the current attempt
        arrived, or when it started.
      queried_ms: when the agent was last queried about the current attempt,
        or when the attempt started.
      admitted_ms: when the call was admitted.
      first_part_ms: when the first part of the current attempt arrived, or
        None.
      status: HTTP status of the answer, or None until it is known.
      content_type: media type of the answer.
      failure: why the call failed, or None.
    """

    def __init__(
        self,
        state: calls.CallState,
        waiting: queueing.WaitingRequest,
        token: run_tokens.RunToken | None,
        admitted_ms: float,
    ) -> None:
        """Creates a call without an attempt."""
        self.state = state
        self.waiting = waiting
        self.token = token
        self.grant: grant_pool.HeldGrant | None = None
        self.attempt_id = ids.RequestId("")
        self.admitted_ms = admitted_ms
        self.started_ms = 0.0
        self.progress_ms = 0.0
        self.queried_ms = 0.0
        self.first_part_ms: float | None = None
        self.sent = False
        self.answering = False
        self.status: int | None = None
        self.content_type = ""
        self.failure: errors.CallError | None = None
        self._ready: list[bytes] = []
        self._sink: Callable[[bytes], None] | None = None
        self._ended = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def spec(self) -> calls.CallSpec:
        """The request as its caller sent it."""
        return self.state.spec

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or the call has failed."""
        return self._ended

    def deliver(self, parts: list[assembly.Part]) -> None:
        """Passes consecutive parts of the answer to the caller."""
        if not parts:
            return
        if self._sink is not None:
            self._sink(b"".join(part.data for part in parts))
            return
        self._ready.extend(part.data for part in parts)
        self._wake()

    def attach(self, sink: Callable[[bytes], None]) -> None:
        """Passes buffered and later data to `sink` without waking a task."""
        self._sink = sink
        if self._ready:
            data = b"".join(self._ready)
            self._ready.clear()
            sink(data)

    def end(self, failure: errors.CallError | None) -> None:
        """Ends the call; the answer is complete if `failure` is None."""
        if self._ended:
            return
        self._ended = True
        self.failure = failure
        self._wake()

    async def next_data(self) -> bytes:
        """Returns the next bytes of the answer, empty once it is complete.

        Raises:
          errors.CallError: if the call failed.
        """
        while not self._ready:
            if self._ended:
                self._raise_failure()
                return b""
            await self._wait()
        data = b"".join(self._ready)
        self._ready.clear()
        return data

    async def wait_complete(self) -> None:
        """Waits until an answer that is passed to a sink is complete.

        Raises:
          errors.CallError: if the call failed.
        """
        while not self._ended:
            await self._wait()
        self._raise_failure()

    def _raise_failure(self) -> None:
        if self.failure is not None:
            raise self.failure

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
