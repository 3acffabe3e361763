"""Decodes what the platform's store holds into the product's types."""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import fleet

CONFIG_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
REPLICAS_PREFIX = "servers/"

_TOKENS_PER_CONTEXT_UNIT = 1000.0
"""`context_per_k` counts thousands of tokens."""


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    priority: int = 5
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # ITL: inter-token latency; it bounds the pause between two events.
    target_itl_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str
    # Time to load all layers, in seconds; `load_time_s` is not used by
    # engines that take their weights from staged pieces.
    warmup_s: float = 0.0


class _Runtime(msgspec.Struct):
    slots: int = 1
    kv_capacity: int = 0
    pass_steps: int = 1
    model_list: list[_Model] = []
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    # Prompt tokens read in a second.
    read_per_s: float = 1_000.0
    layers: int = 1
    blocks: int = 0
    block_bytes: int = 0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 64
    # Address of the origin of weights; a service that has it runs requests
    # for weights only.
    upstream: str = ""
    runtime: _Runtime | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int = 5


class _Config(msgspec.Struct):
    version: int
    route_table: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class HeldLayers(msgspec.Struct):
    """Layers that a replica holds, from `source` up to, not with, `target`."""

    source: int = 0
    target: int = 0
    version: int = 0


class HeldModel(msgspec.Struct):
    """A model that a replica holds, wholly or in part."""

    name: str
    version: int = 0


def held_weights(
    layers: HeldLayers | None, models: list[HeldModel] | None
) -> int | None:
    """Returns the version that a replica holds.

    Returns:
      0 if it holds no weights, None if it is no model engine.
    """
    if layers is not None:
        return layers.version if layers.target > layers.source else 0
    if models is not None:
        return models[0].version if models else 0
    return None


class _ListedReplica(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "healthy"
    model_list: list[HeldModel] | None = None
    layers: HeldLayers | None = None


class _NamedVersion(msgspec.Struct):
    model_name: str
    version: int


_config_decoder = msgspec.json.Decoder(_Config)
_replica_decoder = msgspec.json.Decoder(_ListedReplica)
_version_decoder = msgspec.json.Decoder(_NamedVersion)


class DocumentError(Exception):
    """A document that can't be decoded."""


def decode_config(data: bytes) -> fleet.FleetConfig:
    """Returns the configuration in a document.

    Raises:
      DocumentError: if it is malformed.
    """
    try:
        raw = _config_decoder.decode(data)
        return fleet.FleetConfig(
            version=raw.version,
            routes=[_route(route) for route in raw.route_table],
            services=[_service(service) for service in raw.services],
            customers=_customers(raw.tenants),
            limits=fleet.CallerLimits(
                header_bytes_max=raw.limits.max_header_bytes,
                body_bytes_max=raw.limits.max_body_bytes,
                header_timeout_ms=raw.limits.header_timeout_ms,
                idle_timeout_ms=raw.limits.idle_timeout_ms,
            ),
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise DocumentError(f"configuration: {error}") from error


def decode_replica(replica_id: str, data: bytes) -> fleet.Replica:
    """Returns the replica in an entry of the replica list.

    Raises:
      DocumentError: if it is malformed.
    """
    try:
        raw = _replica_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise DocumentError(f"replica {replica_id}: {error}") from error
    draining = raw.state == fleet.ReplicaState.DRAINING.value
    return fleet.Replica(
        replica_id=replica_id,
        service_id=ids.ServiceId(raw.service),
        address=raw.address,
        data_centre=ids.DataCentreId(raw.zone),
        slots=raw.slots,
        state=fleet.ReplicaState.DRAINING
        if draining
        else fleet.ReplicaState.HEALTHY,
        weights=held_weights(raw.layers, raw.model_list),
    )


def decode_target(data: bytes) -> fleet.WeightsTarget:
    """Returns the weights that a document names.

    Raises:
      DocumentError: if it is malformed.
    """
    try:
        raw = _version_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise DocumentError(f"named version: {error}") from error
    return fleet.WeightsTarget(model=raw.model_name, version=raw.version)


def _route(raw: _Route) -> fleet.Route:
    shares = raw.split or [_Split(raw.service)]
    return fleet.Route(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        kind=fleet.RouteKind(raw.route_kind),
        targets=[
            fleet.ServiceShare(ids.ServiceId(s.service), s.weight)
            for s in shares
        ],
        timeout_ms=raw.timeout_ms,
        objective_ms=raw.target_latency_ms,
        pause_objective_ms=raw.target_itl_ms,
        priority=raw.priority,
        attempts_max=raw.max_attempts,
        public=raw.public,
        resumable=raw.resumable,
    )


def _service(raw: _Service) -> fleet.Service:
    engine = None
    if raw.runtime is not None and raw.runtime.model_list:
        engine = _engine(raw.runtime)
    return fleet.Service(
        service_id=ids.ServiceId(raw.name),
        connections_max=raw.max_conns,
        engine=engine,
        origin=raw.upstream,
    )


def _engine(raw: _Runtime) -> fleet.EngineSpec:
    model = raw.model_list[0]
    return fleet.EngineSpec(
        model=model.name,
        batch=raw.slots,
        step_ms=raw.step_ms,
        per_request_ms=raw.per_seq_ms,
        per_context_token_ms=raw.context_per_k / _TOKENS_PER_CONTEXT_UNIT,
        steps_per_pass=raw.pass_steps,
        read_tokens_per_ms=raw.read_per_s / clock.MILLIS_PER_SECOND,
        memory_tokens=raw.kv_capacity,
        layers=raw.layers,
        load_ms=model.warmup_s * clock.MILLIS_PER_SECOND,
        pieces=raw.blocks,
        piece_bytes=raw.block_bytes,
    )


def _customers(raw: list[_Tenant] | None) -> list[fleet.Customer] | None:
    if raw is None:
        return None
    return [
        fleet.Customer(
            customer_id=ids.CustomerId(tenant.name),
            keys=tenant.api_keys,
            priority=tenant.priority,
        )
        for tenant in raw
    ]
