"""A call in progress at an entry, between the dispatcher and its caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import errors
from marlramp import ids
from marlramp.core import assembly
from marlramp.core import calls
from marlramp.core import grant_pool
from marlramp.core import queueing
from marlramp.core import run_tokens


class Call:
    """State of one call and the answer collected for its caller.

    Attributes:
      state: tries and delivered parts.
      waiting: its place in the queue.
      token: the run token it carries, or None.
      grant: the grant of the current try, or None.
      try_id: id of the current try.
      started_ms: when the current try was sent.
      sent: whether the current try was handed to a socket.
      progress_ms: when anything last arrived for it.
      asked_ms: when its agent was last asked what became of it.
      admitted_ms: when the call was admitted.
      first_part_ms: when the first part arrived, None before.
      status: HTTP status of the answer, None before it is known.
      content_type: type of the answer.
    """

    def __init__(
        self,
        state: calls.CallState,
        waiting: queueing.WaitingRequest,
        token: run_tokens.RunToken | None,
        admitted_ms: float,
    ) -> None:
        """Starts before the first try."""
        self.state = state
        self.waiting = waiting
        self.token = token
        self.grant: grant_pool.HeldGrant | None = None
        self.try_id = ids.RequestId("")
        self.admitted_ms = admitted_ms
        self.started_ms = 0.0
        self.progress_ms = 0.0
        self.asked_ms = 0.0
        self.first_part_ms: float | None = None
        self.sent = False
        self.status: int | None = None
        self.content_type = ""
        self.failure: errors.CallError | None = None
        self._ready: list[bytes] = []
        self._sink: Callable[[bytes], None] | None = None
        self._ended = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def spec(self) -> calls.CallSpec:
        """What the caller asked for."""
        return self.state.spec

    @property
    def ended(self) -> bool:
        """Whether the answer is whole or has failed."""
        return self._ended

    def deliver(self, parts: list[assembly.Part]) -> None:
        """Hands parts that are in order to the caller."""
        if not parts:
            return
        if self._sink is not None:
            self._sink(b"".join(part.data for part in parts))
            return
        self._ready.extend(part.data for part in parts)
        self._wake()

    def attach(self, sink: Callable[[bytes], None]) -> None:
        """Sends all further data to `sink`, without waking a task for it."""
        self._sink = sink
        if self._ready:
            data = b"".join(self._ready)
            self._ready.clear()
            sink(data)

    def end(self, failure: errors.CallError | None) -> None:
        """Ends the answer, whole if there is no failure."""
        if self._ended:
            return
        self._ended = True
        self.failure = failure
        self._wake()

    async def next_data(self) -> bytes:
        """Returns the next bytes of the answer, empty at its whole end.

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

    async def whole(self) -> None:
        """Returns at the whole end of an answer that goes to a sink.

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
