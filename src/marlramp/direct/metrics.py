"""Counters and latency histograms, exported when they are first asked for."""

from __future__ import annotations

import asyncio
import collections
import enum
from typing import Protocol

from marlramp import counters

WAITING_MAX = 10_000
"""Latencies kept until the metrics are first asked for; older ones are left
out of the histograms then."""


class Latency(enum.Enum):
    """What is measured, by the name of its histogram, in milliseconds."""

    FIRST_EVENT = "marlramp_first_event"
    ANSWER = "marlramp_answer"


class Exporter(Protocol):
    """Gives metrics as text."""

    def record(self, latency: Latency, taken_ms: float) -> None:
        """Takes a latency."""
        ...

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        ...


class Metrics:
    """All metrics of one process on the direct path.

    The exporter's libraries take 0.05 s of processor time to import and 6 MB:
    a process that starts serves callers sooner without them, and one whose
    metrics nobody reads never pays for them.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Exports `totals` and the latencies that are recorded."""
        self._totals = totals
        self._exporter: Exporter | None = None
        self._loading = asyncio.Lock()
        self._waiting: collections.deque[tuple[Latency, float]] = (
            collections.deque(maxlen=WAITING_MAX)
        )

    def record_first_event(self, taken_ms: float) -> None:
        """Takes the time from a send to the first event of a stream."""
        self._record(Latency.FIRST_EVENT, taken_ms)

    def record_answer(self, taken_ms: float) -> None:
        """Takes the time from a request to the end of its answer."""
        self._record(Latency.ANSWER, taken_ms)

    async def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        async with self._loading:
            if self._exporter is None:
                # In a thread, so that requests go on meanwhile.
                self._exporter = await asyncio.to_thread(self._load)
                for latency, taken_ms in self._waiting:
                    self._exporter.record(latency, taken_ms)
                self._waiting.clear()
        return self._exporter.text()

    def _record(self, latency: Latency, taken_ms: float) -> None:
        if self._exporter is None:
            self._waiting.append((latency, taken_ms))
        else:
            self._exporter.record(latency, taken_ms)

    def _load(self) -> Exporter:
        from marlramp.direct import metrics_exporter

        return metrics_exporter.MetricsExporter(self._totals)
