"""Counters and latency histograms of one process.

The exporter is loaded when the metrics are first requested.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import enum
from typing import Protocol
from typing import TypeAlias

from marlramp import counters

PENDING_MAX = 10_000
"""Most latencies kept until the metrics are first requested. Older ones are
missing from the histograms."""


class Latency(enum.Enum):
    """Name of a latency's histogram, in milliseconds.

    Attributes:
      FIRST_EVENT: from a send to the first event of a stream.
      ANSWER: from a request to the end of its answer.
    """

    FIRST_EVENT = "marlramp_first_event"
    ANSWER = "marlramp_answer"


class Gauge(enum.Enum):
    """Name of a value that is read when the metrics are requested.

    Attributes:
      EVACUATED_DATA_CENTRES: number of data centres that are evacuated.
      COLD_REPLICAS: number of replicas that are cold.
    """

    EVACUATED_DATA_CENTRES = "marlramp_evacuated_data_centres"
    COLD_REPLICAS = "marlramp_cold_replicas"


Gauges: TypeAlias = Mapping[Gauge, Callable[[], int]]
"""The gauges of a process, with the functions that return their values."""


class Exporter(Protocol):
    """Exports metrics as text."""

    def record(self, latency: Latency, elapsed_ms: float) -> None:
        """Adds a latency to its histogram."""
        ...

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        ...


class Metrics:
    """All metrics of one process on the direct path.

    The import of the exporter's libraries takes 0.05 s of processor time and
    6 MB. A process therefore imports them when its metrics are first requested:
    it starts to serve callers sooner, and a process whose metrics are never
    read does without them.
    """

    def __init__(
        self, totals: counters.Counters, gauges: Gauges | None = None
    ) -> None:
        """Creates metrics without loading the exporter.

        Args:
          totals: the counters to export.
          gauges: the gauges to export, None if there are none.
        """
        self._gauges = gauges or {}
        self._totals = totals
        self._exporter: Exporter | None = None
        self._load_lock = asyncio.Lock()
        self._pending: collections.deque[tuple[Latency, float]] = (
            collections.deque(maxlen=PENDING_MAX)
        )

    def record_first_event(self, elapsed_ms: float) -> None:
        """Records the time from a send to the first event of a stream."""
        self._record(Latency.FIRST_EVENT, elapsed_ms)

    def record_answer(self, elapsed_ms: float) -> None:
        """Records the time from a request to the end of its answer."""
        self._record(Latency.ANSWER, elapsed_ms)

    async def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        async with self._load_lock:
            if self._exporter is None:
                # A thread imports it, so that the event loop is not blocked.
                self._exporter = await asyncio.to_thread(self._load_exporter)
                for latency, elapsed_ms in self._pending:
                    self._exporter.record(latency, elapsed_ms)
                self._pending.clear()
        return self._exporter.text()

    def _record(self, latency: Latency, elapsed_ms: float) -> None:
        if self._exporter is None:
            self._pending.append((latency, elapsed_ms))
        else:
            self._exporter.record(latency, elapsed_ms)

    def _load_exporter(self) -> Exporter:
        from marlramp.direct import metrics_exporter

        return metrics_exporter.MetricsExporter(self._totals, self._gauges)
