"""Model of an engine in virtual time, with passes, slots and a queue."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marlramp.core.configuration import fleet
from marlramp.core.replicas import engine_load
from marlramp.core.replicas import queue_position

CHUNK_TOKENS = 2_048
"""Most prompt tokens read in one pass, as the platform specifies."""

CONTEXT_TOKENS = 1_000.0
"""Context of a running request, in tokens."""


class Job(msgspec.Struct):
    """A request at an engine.

    Attributes:
      place: position in the queue.
      sent_ms: when the caller's entry sent the request.
      unread_tokens: prompt tokens that are not read yet.
      events_left: events that are not generated yet.
      on_first: called when the first event is generated.
      on_end: called when the last event is generated.
      begun: whether an event was generated.
      left: whether the caller has left.
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
    """A simulated engine; the caller of `next_pass` advances the time."""

    def __init__(self, spec: fleet.EngineSpec) -> None:
        """Creates an idle engine."""
        self._spec = spec
        self._waiting: list[Job] = []
        self._running: list[Job] = []
        self.open = True

    @property
    def running(self) -> int:
        """Number of requests that have a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether the engine has no requests."""
        return not self._running and not self._waiting

    def add(self, job: Job) -> None:
        """Adds a request to the queue."""
        self._waiting.append(job)

    def lose_all(self) -> list[Job]:
        """Drops all requests, as in a crash; returns them."""
        lost = self._running + self._waiting
        self._running, self._waiting = [], []
        return lost

    def next_pass(self) -> float:
        """Fills free slots from the queue; returns the duration of the pass."""
        self._waiting = [job for job in self._waiting if not job.left]
        self._running = [job for job in self._running if not job.left]
        self._waiting.sort(key=_sort_key)
        free = self._spec.batch - len(self._running)
        self._running.extend(self._waiting[:free])
        del self._waiting[:free]
        generating = sum(job.unread_tokens == 0 for job in self._running)
        return self._read_ms() + engine_load.generation_ms(
            self._spec, generating, CONTEXT_TOKENS
        )

    def end_pass(self) -> None:
        """Generates an event for each request whose prompt is read."""
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
        """Reads up to one chunk of the prompts; returns the time needed."""
        budget = CHUNK_TOKENS
        for job in self._running:
            taken = min(budget, job.unread_tokens)
            job.unread_tokens -= taken
            budget -= taken
        return (CHUNK_TOKENS - budget) / self._spec.read_tokens_per_ms


def _sort_key(job: Job) -> tuple[bool, float]:
    return job.place is queue_position.QueuePosition.BEHIND, job.sent_ms
