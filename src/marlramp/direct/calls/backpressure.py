"""Stops reading from replicas while a caller reads its answer too slowly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marlramp import clock


class Caller(Protocol):
    """The connection that the answer is written to."""

    def on_pressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Registers callbacks for a caller that reads too slowly."""
        ...


class Source(Protocol):
    """A connection to a replica."""

    def pause(self) -> None:
        """Stops reading."""
        ...

    def resume(self) -> None:
        """Resumes reading."""
        ...


class Backpressure:
    """The connections that the answer to one request is read from."""

    def __init__(self, caller: Caller, time: clock.Clock) -> None:
        """Starts without connections.

        Args:
          caller: notices that the caller reads too slowly.
          time: the clock.
        """
        self._clock = time
        self._sources: list[Source] = []
        self._paused = False
        self._resumed_ms = float("-inf")
        caller.on_pressure(self._pause, self._resume)

    def add(self, source: Source) -> None:
        """Adds a connection that an answer is read from."""
        self._sources.append(source)
        if self._paused:
            source.pause()

    def remove(self, source: Source) -> None:
        """Removes a connection, which is read again."""
        self._sources.remove(source)
        if self._paused:
            source.resume()

    def progress_ms(self, received_ms: float) -> float:
        """Returns from when a replica that sends nothing counts as silent.

        A replica is not silent while nothing is read from it.

        Args:
          received_ms: clock reading when data was last received from it.
        """
        if self._paused:
            return self._clock.now_ms()
        return max(received_ms, self._resumed_ms)

    def was_read_since(self, since_ms: float) -> bool:
        """Returns whether the connections were read all the time since.

        Args:
          since_ms: clock reading.
        """
        return not self._paused and self._resumed_ms < since_ms

    def _pause(self) -> None:
        self._paused = True
        for source in self._sources:
            source.pause()

    def _resume(self) -> None:
        self._paused = False
        self._resumed_ms = self._clock.now_ms()
        for source in self._sources:
            source.resume()
