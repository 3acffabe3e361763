"""Exports an entry's OpenTelemetry metrics to Prometheus at /metrics."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_sdk
import prometheus_client
from starlette import responses
from starlette import routing

from marlramp import counters

if TYPE_CHECKING:
    from starlette import requests

    from marlramp.entry import agent_table
    from marlramp.entry import dispatcher


class MetricsExporter:
    """Exports the counters of this entry and of its agents.

    Attributes:
      first_part: histogram of the time to the first part, in milliseconds.
    """

    def __init__(
        self,
        totals: counters.Counters,
        table: agent_table.AgentTable,
        call_dispatcher: dispatcher.Dispatcher,
    ) -> None:
        """Registers all instruments with a separate reader."""
        self._totals = totals
        self._table = table
        self._dispatcher = call_dispatcher
        reader = otel_prometheus.PrometheusMetricReader()
        provider = otel_sdk.MeterProvider(metric_readers=[reader])
        meter = provider.get_meter("marlramp")
        for name in counters.CounterName:
            meter.create_observable_counter(
                name.value, callbacks=[self._observer(name)]
            )
        meter.create_observable_gauge(
            "marlramp_queue_length", callbacks=[self._queue_lengths]
        )
        meter.create_observable_gauge(
            "marlramp_agents_ready", callbacks=[self._agents_ready]
        )
        self.first_part = meter.create_histogram(
            "marlramp_first_part", unit="ms"
        )

    def routes(self) -> list[routing.Route]:
        """Returns the route that Prometheus scrapes."""
        return [routing.Route("/metrics", self.read)]

    async def read(self, request: requests.Request) -> responses.Response:
        """Returns all metrics in the Prometheus text format."""
        return responses.Response(
            prometheus_client.generate_latest(),
            media_type="text/plain; version=0.0.4",
        )

    def _observer(self, name: counters.CounterName) -> otel.CallbackT:
        def observe(_: otel.CallbackOptions) -> Iterable[otel.Observation]:
            yield from self._entry_totals(name)
            yield from self._agent_totals(name)

        return observe

    def _entry_totals(
        self, name: counters.CounterName
    ) -> Iterable[otel.Observation]:
        for value in self._totals.values():
            if value.name is name:
                labels = {"reason": value.reason, "vm": ""}
                yield otel.Observation(value.total, labels)

    def _agent_totals(
        self, name: counters.CounterName
    ) -> Iterable[otel.Observation]:
        for info in self._table:
            for (counter, reason), total in info.counters.items():
                if counter is name:
                    labels = {"reason": reason, "vm": info.vm_id}
                    yield otel.Observation(total, labels)

    def _queue_lengths(
        self, _: otel.CallbackOptions
    ) -> Iterable[otel.Observation]:
        for service_id, length in self._dispatcher.queue_lengths().items():
            yield otel.Observation(length, {"service": service_id})

    def _agents_ready(
        self, _: otel.CallbackOptions
    ) -> Iterable[otel.Observation]:
        ready = sum(1 for info in self._table if info.accepts_work)
        yield otel.Observation(ready)
