"""A model engine in virtual time: passes, places, a queue with ranks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marlramp.core.configuration import fleet
from marlramp.core.replicas import engine_load
from marlramp.core.replicas import queue_position

CHUNK_TOKENS = 2_048
"""Prompt tokens read in one pass at most; the platform's figure."""

CONTEXT_TOKENS = 1_000.0
"""Context of a running request."""


class Job(msgspec.Struct):
    """A request at an engine.

    Attributes:
      place: where it waits.
      sent_ms: when it arrived.
      unread_tokens: tokens of its prompt still to be read.
      events_left: events still to be made.
      on_first: called when its first event is made.
      on_end: called when its last event is made.
      begun: whether it has made an event.
      left: whether its caller has gone.
    """

    place: queue_position.QueuePosition
    sent_ms: float
    unread_tokens: int
    events_left: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    begun: bool = False
    left: bool = False


class Engine:
    """One engine; the caller of `next_pass` keeps the time."""

    def __init__(self, spec: fleet.EngineSpec) -> None:
        """Starts idle."""
        self._spec = spec
        self._waiting: list[Job] = []
        self._running: list[Job] = []
        self.open = True

    @property
    def running(self) -> int:
        """Requests that have a place."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for one."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self._running and not self._waiting

    def add(self, job: Job) -> None:
        """Takes a request into the queue."""
        self._waiting.append(job)

    def lose_all(self) -> list[Job]:
        """Drops all requests, as in a crash; returns them."""
        lost = self._running + self._waiting
        self._running, self._waiting = [], []
        return lost

    def next_pass(self) -> float:
        """Gives places to waiting requests; returns how long the pass takes."""
        self._waiting = [job for job in self._waiting if not job.left]
        self._running = [job for job in self._running if not job.left]
        self._waiting.sort(key=_rank)
        free = self._spec.batch - len(self._running)
        self._running.extend(self._waiting[:free])
        del self._waiting[:free]
        writing = sum(job.unread_tokens == 0 for job in self._running)
        return self._read_ms() + engine_load.generation_ms(
            self._spec, writing, CONTEXT_TOKENS
        )

    def end_pass(self) -> None:
        """Makes an event for each request whose prompt is read."""
        for job in list(self._running):
            if job.unread_tokens or job.left:
                continue
            if not job.begun:
                job.begun = True
                job.on_first()
            job.events_left -= 1
            if job.events_left <= 0:
                self._running.remove(job)
                job.on_end()

    def _read_ms(self) -> float:
        """Reads prompts up to the chunk; returns how long that takes."""
        budget = CHUNK_TOKENS
        for job in self._running:
            taken = min(budget, job.unread_tokens)
            job.unread_tokens -= taken
            budget -= taken
        return (CHUNK_TOKENS - budget) / self._spec.read_tokens_per_ms


def _rank(job: Job) -> tuple[bool, float]:
    return job.place is queue_position.QueuePosition.BEHIND, job.sent_ms
