"""JSON documents of the administration API, also used by the command line."""

from __future__ import annotations

import msgspec

from marlramp.settings import store


class Status(msgspec.Struct, frozen=True):
    """Answer of GET /admin/v1/status."""

    entry: str
    version: str
    leaving: bool
    settings_complete: bool
    revisions: list[int]
    refused_documents: list[store.Refusal]
    calls_active: int
    queues: dict[str, int]
    agents: int
    agents_ready: int


class VmStatus(msgspec.Struct, frozen=True):
    """One VM in the answer of GET /admin/v1/vms."""

    vm: str
    role: str
    data_centre: str
    service: str
    listed: str
    state: str
    version: str
    heard_ms_ago: float | None
    in_flight: int
    capacity: int
    breaker: str
    note: str


class RolloutStatus(msgspec.Struct, frozen=True):
    """One service in the answer of GET /admin/v1/rollouts."""

    service: str
    model: str
    version: str
    replicas: int
    replicas_serving: int
    chunks_held: int
    chunks_total: int
    origin_bytes: int
    sent_bytes: int
    sent_bytes_max: int
    waiting: dict[str, int]


class CounterStatus(msgspec.Struct, frozen=True):
    """One counter in the answer of GET /admin/v1/counters."""

    vm: str
    name: str
    reason: str
    total: int


class LimitStatus(msgspec.Struct, frozen=True):
    """One customer in the answer of GET /admin/v1/limits."""

    customer: str
    requests_per_s: float
    tokens_per_s: float
    share_requests_per_s: float
    share_tokens_per_s: float


class DrainRequest(msgspec.Struct, frozen=True):
    """Body of POST /admin/v1/drain."""

    vm: str
    reason: str = "operator"


class DrainAnswer(msgspec.Struct, frozen=True):
    """Answer of POST /admin/v1/drain."""

    vm: str
    draining: bool
    kept_in: str
