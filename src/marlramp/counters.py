"""Counters by name and reason; entries export them as OpenTelemetry metrics."""

from __future__ import annotations

import collections
import enum

import msgspec


class CounterName(enum.Enum):
    """Names of the counters that every process keeps."""

    REFUSALS = "marlramp_refusals"
    RETRIES = "marlramp_retries"
    MESSAGES_DROPPED = "marlramp_messages_dropped"
    SETTINGS_REFUSED = "marlramp_settings_refused"
    CHUNKS_REJECTED = "marlramp_chunks_rejected"
    CHUNKS_RECEIVED = "marlramp_chunks_received"
    ENGINE_ORDERS = "marlramp_engine_orders"
    LOADS_CHECKED = "marlramp_loads_checked"
    PLATFORM_READS = "marlramp_platform_reads"
    REQUESTS = "marlramp_requests"
    SILENCES = "marlramp_replica_silences"
    UNANSWERED = "marlramp_requests_unanswered"
    CONNECTIONS_EVICTED = "marlramp_connections_evicted"
    PAGES_UNANSWERED = "marlramp_pages_unanswered"
    LINK_BYTES = "marlramp_link_bytes"
    LINK_MESSAGES = "marlramp_link_messages"
    LOG_LINES_DROPPED = "marlramp_log_lines_dropped"
    INTERNAL_ERRORS = "marlramp_internal_errors"
    DOCUMENTS_REFUSED = "marlramp_documents_refused"
    PORTS_UNAVAILABLE = "marlramp_ports_unavailable"
    CRASHES = "marlramp_crashes"
    REPLICA_LIMITS = "marlramp_replica_limits"
    REPLICA_PAUSES = "marlramp_replica_pauses"
    COLD_STATES = "marlramp_cold_states"
    RETRY_BUDGET = "marlramp_retry_budget"


class CounterValue(msgspec.Struct, frozen=True, array_like=True):
    """Total of one counter since the process started."""

    name: CounterName
    reason: str
    total: int


class Counters:
    """Keeps the totals of all counters since the process started."""

    def __init__(self) -> None:
        """Creates an empty set of counters."""
        self._totals: collections.Counter[tuple[CounterName, str]] = (
            collections.Counter()
        )

    def add(self, name: CounterName, reason: str, amount: int = 1) -> None:
        """Adds `amount` to the counter of `name` and `reason`."""
        self._totals[name, reason] += amount

    def total(self, name: CounterName, reason: str) -> int:
        """Returns the total of one counter, 0 if it was never added to."""
        return self._totals[name, reason]

    def values(self) -> list[CounterValue]:
        """Returns all counters, ordered by name and reason."""
        keys = sorted(self._totals, key=lambda key: (key[0].value, key[1]))
        return [
            CounterValue(name, reason, self._totals[name, reason])
            for name, reason in keys
        ]
