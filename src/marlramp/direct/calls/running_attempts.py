"""The attempts at one request that run at the same time.

Load pattern: replicas that send nothing for a second or more, with or without
going on. A request whose replica is silent is sent to a second replica as well,
if it may be repeated. The silent one keeps it until another one has answered,
since a replica that was only slow may be the first to go on, and the second one
may refuse.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import TypeVar

from marlramp import clock
from marlramp.core.replicas import upstream_choice
from marlramp.direct.calls import attempts
from marlramp.direct.calls import sender

ResultT = TypeVar("ResultT")


class RunningAttempt:
    """One attempt, from the choice of its replica to its result.

    Attributes:
      choice: the replica.
      counted: whether the call counts the replica as one that may have run it.
      silence_reported: whether its silence was logged and counted.
      task: sends the request and returns the result.
    """

    def __init__(
        self, choice: upstream_choice.Choice, on_silence: Callable[[], None]
    ) -> None:
        """Creates an attempt that is not started.

        Args:
          choice: the replica.
          on_silence: called each time the replica has fallen silent.
        """
        self.choice = choice
        self.counted = False
        self.silence_reported = False
        self.task: asyncio.Task[sender.SendResult]
        self._on_silence = on_silence
        self._attempt: attempts.Attempt | None = None
        self._silent_ms: float | None = None

    @property
    def silent(self) -> bool:
        """Whether the replica was silent for too long and still is."""
        if self._silent_ms is None or self._attempt is None:
            return False
        return self._attempt.progress_ms < self._silent_ms

    def release(self) -> None:
        """Drops the task, whose exception may refer to the attempt."""
        del self.task

    # Called by the sender.

    def begin(self, attempt: attempts.Attempt) -> None:
        """Records that the request is being written."""
        self._attempt = attempt

    def record_silence(self, now_ms: clock.Millis) -> None:
        """Records that the replica has sent nothing for too long."""
        self._silent_ms = now_ms
        self._on_silence()


class RunningAttempts:
    """The attempts at one call; ends all of them when the call ends."""

    def __init__(self) -> None:
        """Starts without attempts."""
        self._started: list[RunningAttempt] = []
        self._running: list[RunningAttempt] = []
        self._changed = asyncio.Event()

    async def __aenter__(self) -> RunningAttempts:
        """Returns the attempts."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends the attempts that still run."""
        tasks = [attempt.task for attempt in self._running]
        for task in tasks:
            task.cancel()
        try:
            if tasks:
                await asyncio.wait(tasks)
        finally:
            for attempt in self._started:
                attempt.release()

    def __bool__(self) -> bool:
        """Returns whether any attempt runs or has a result."""
        return bool(self._running)

    @property
    def silent(self) -> list[RunningAttempt]:
        """The attempts whose replicas are silent."""
        return [attempt for attempt in self._running if attempt.silent]

    @property
    def all_silent(self) -> bool:
        """Whether no attempt has a result or makes progress."""
        return all(
            attempt.silent and not attempt.task.done()
            for attempt in self._running
        )

    def start(
        self,
        choice: upstream_choice.Choice,
        send: Callable[
            [RunningAttempt], Coroutine[object, object, sender.SendResult]
        ],
    ) -> None:
        """Starts an attempt at a replica.

        Args:
          choice: the replica.
          send: sends the request.
        """
        attempt = RunningAttempt(choice, self._changed.set)
        attempt.task = asyncio.create_task(send(attempt))
        attempt.task.add_done_callback(lambda _: self._changed.set())
        self._started.append(attempt)
        self._running.append(attempt)

    async def wait(self) -> RunningAttempt | None:
        """Waits until an attempt has a result or falls silent.

        Returns:
          The attempt that has a result, None if one has fallen silent.

        Raises:
          RuntimeError: if no attempt runs; the wait would not end.
        """
        if not self._running:
            raise RuntimeError("no attempt is running")
        await self._changed.wait()
        for attempt in self._running:
            if attempt.task.done():
                self._running.remove(attempt)
                return attempt
        self._changed.clear()
        return None

    async def first(
        self, action: Coroutine[object, object, ResultT]
    ) -> ResultT | None:
        """Performs an action unless an attempt has a result before.

        Returns:
          The result of the action, None if an attempt has a result.
        """
        task = asyncio.ensure_future(action)
        try:
            await asyncio.wait(
                {task, *(attempt.task for attempt in self._running)},
                return_when=asyncio.FIRST_COMPLETED,
            )
            return task.result() if task.done() else None
        finally:
            task.cancel()
