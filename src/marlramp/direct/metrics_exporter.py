"""Counters and latency histograms as Prometheus text, by OpenTelemetry."""

from __future__ import annotations

from collections.abc import Iterable

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_sdk
import prometheus_client

from marlramp import counters
from marlramp import logs
from marlramp.direct import metrics


class MetricsExporter:
    """All instruments of one process on the direct path."""

    def __init__(self, totals: counters.Counters) -> None:
        """Registers the counters with a reader of their own."""
        self._totals = totals
        reader = otel_prometheus.PrometheusMetricReader()
        provider = otel_sdk.MeterProvider(metric_readers=[reader])
        meter = provider.get_meter("marlramp")
        for name in counters.CounterName:
            meter.create_observable_counter(
                name.value, callbacks=[self._observer(name)]
            )
        self._histograms = {
            latency: meter.create_histogram(latency.value, unit="ms")
            for latency in metrics.Latency
        }

    def record(self, latency: metrics.Latency, taken_ms: float) -> None:
        """Takes a latency."""
        self._histograms[latency].record(taken_ms)

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
