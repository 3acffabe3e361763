"""Stops reading from replicas while a caller reads its answer too slowly."""

from __future__ import annotations

from typing import Protocol

from marlramp.shell import http1_server


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

    def __init__(self, responder: http1_server.Responder) -> None:
        """Starts without connections.

        Args:
          responder: writes to the caller, and notices that it reads slowly.
        """
        self._sources: list[Source] = []
        self._paused = False
        responder.on_pressure(self._pause, self._resume)

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

    def _pause(self) -> None:
        self._paused = True
        for source in self._sources:
            source.pause()

    def _resume(self) -> None:
        self._paused = False
        for source in self._sources:
            source.resume()
