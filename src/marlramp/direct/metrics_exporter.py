"""Exports counters and latency histograms as Prometheus text.

The instruments are OpenTelemetry's.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_sdk
import prometheus_client

from marlramp import counters
from marlramp import logs
from marlramp.direct import metrics


class MetricsExporter:
    """OpenTelemetry instruments of one process on the direct path."""

    def __init__(
        self, totals: counters.Counters, gauges: metrics.Gauges
    ) -> None:
        """Creates the instruments and the reader that collects them.

        Args:
          totals: the counters to export.
          gauges: the gauges to export.
        """
        self._totals = totals
        reader = otel_prometheus.PrometheusMetricReader()
        provider = otel_sdk.MeterProvider(metric_readers=[reader])
        meter = provider.get_meter("marlramp")
        for name in counters.CounterName:
            meter.create_observable_counter(
                name.value, callbacks=[self._observer(name)]
            )
        for gauge, value in gauges.items():
            meter.create_observable_gauge(
                gauge.value, callbacks=[_gauge_observer(value)]
            )
        self._histograms = {
            latency: meter.create_histogram(latency.value, unit="ms")
            for latency in metrics.Latency
        }

    def record(self, latency: metrics.Latency, elapsed_ms: float) -> None:
        """Adds a latency to its histogram."""
        self._histograms[latency].record(elapsed_ms)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def _observer(self, name: counters.CounterName) -> otel.CallbackT:
        def observe(_: otel.CallbackOptions) -> Iterable[otel.Observation]:
            if name is counters.CounterName.LOG_LINES_DROPPED:
                yield otel.Observation(
                    logs.lines_dropped(), {"reason": "queue"}
                )
                return
            for value in self._totals.values():
                if value.name is name:
                    yield otel.Observation(
                        value.total, {"reason": value.reason}
                    )

        return observe


def _gauge_observer(value: Callable[[], int]) -> otel.CallbackT:
    def observe(_: otel.CallbackOptions) -> Iterable[otel.Observation]:
        yield otel.Observation(value())

    return observe
