"""Decodes the documents of the platform's store into the project's types."""

from __future__ import annotations

from collections.abc import Collection
import enum
import ipaddress
from typing import Annotated
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import decoding
from marlramp import ids
from marlramp.core.configuration import fleet
from marlramp.settings import node

CONFIG_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
REPLICAS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"

_EXCERPT_LENGTH_MAX = 40
_DETAIL_LENGTH_MAX = 200
"""Limits, in characters, of what is logged of a refused document and of its
error. Other programs write to the store and must not fill the log."""

_TOKENS_PER_CONTEXT_UNIT = 1000.0
"""`context_per_k` is a time per thousand tokens."""


_BYTES_PER_S_PER_MEGABIT = 125_000.0

_COUNT_MAX = 2**53
"""Largest integer that every JSON parser represents exactly. A larger one could
not be sent to other processes."""

_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]
_Positive: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_COUNT_MAX)]
_Rate: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
_Duration: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: _Duration = 30_000.0
    target_latency_ms: _Duration = 1_000.0
    priority: _Count = 5
    service: str = ""
    split: list[_Split] = []
    max_attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    # Inter-token latency: the objective for the pause between two events.
    target_itl_ms: float = 0.0
    allowed_regions: list[str] = []


class _Model(msgspec.Struct):
    name: str
    # Time to load all layers, in seconds. `load_time_s` does not apply to
    # engines that load their weights from staged pieces.
    warmup_s: float = 0.0


class _Runtime(msgspec.Struct):
    slots: _Positive = 1
    kv_capacity: _Count = 0
    pass_steps: _Positive = 1
    model_list: list[_Model] = []
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    # Prompt tokens processed per second.
    read_per_s: float = 1_000.0
    layers: _Positive = 1
    blocks: _Count = 0
    block_bytes: _Count = 0


class _Service(msgspec.Struct):
    name: str
    max_conns: _Count = 64
    # Address of the origin of weights. A service with an origin only serves
    # requests for weights.
    upstream: str = ""
    link_mbps: _Rate = 0.0
    runtime: _Runtime | None = None
    cold_start_s: _Duration = 0.0
    cold_per_s: _Rate = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Duration = 3_000.0
    idle_timeout_ms: _Duration = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Count | None = None
    allowed_regions: list[str] = []


class _Config(msgspec.Struct):
    version: _Count
    route_table: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class HeldLayers(msgspec.Struct):
    """Layers that a replica holds, from `source` up to, excluding, `target`."""

    source: _Count = 0
    target: _Count = 0
    version: _Count = 0


class HeldModel(msgspec.Struct):
    """Model that a replica holds completely or in part."""

    name: str
    version: _Count = 0


def held_weights(
    layers: HeldLayers | None, models: list[HeldModel] | None
) -> int | None:
    """Returns the version of the weights that a replica holds.

    Returns:
      The version, 0 if it holds no weights, None if it is not a model engine.
    """
    if layers is not None:
        return layers.version if layers.target > layers.source else 0
    if models is not None:
        return models[0].version if models else 0
    return None


def is_whole(layers: HeldLayers | None, layers_total: int | None) -> bool:
    """Returns whether a range of layers has all layers of the model.

    Args:
      layers: the range, None if the replica reports none.
      layers_total: number of layers of the model, None if it is unknown.
    """
    if layers is None or layers_total is None:
        return True
    return layers.source == 0 and layers.target >= layers_total


class _ListedReplica(msgspec.Struct):
    service: str
    address: str
    zone: str
    # Version of the replica's software, not of its weights.
    version: str
    slots: _Positive
    state: str
    cold_left_ms: _Duration
    # Orders accepted since the replica's start.
    call_seq: _Count
    # Start of the replica in Unix milliseconds, which some platforms omit.
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    model_list: list[HeldModel] | None = None
    layers: HeldLayers | None = None


class _WeightsVersion(msgspec.Struct):
    model_name: str
    version: _Count


_config_decoder = msgspec.json.Decoder(_Config)
_replica_decoder = msgspec.json.Decoder(_ListedReplica)
_version_decoder = msgspec.json.Decoder(_WeightsVersion)


class DocumentFault(enum.Enum):
    """Reason for which a document is refused."""

    BYTES = "bytes"
    FIELD = "field"
    ADDRESS = "address"
    STATE = "state"
    REGION = "region"
    DATA_CENTRE = "data_centre"


class DocumentError(Exception):
    """A document of the store can't be used.

    Attributes:
      fault: reason for which it can't be used.
    """

    def __init__(self, fault: DocumentFault, detail: str) -> None:
        """Records the fault and, for the log, its details."""
        super().__init__(detail)
        self.fault = fault


def decode_config(data: bytes, regions: Collection[str]) -> fleet.FleetConfig:
    """Returns the configuration in a document.

    Args:
      data: the document.
      regions: the regions of the deployment.

    Raises:
      DocumentError: if the document is malformed or allows an unknown region.
    """
    try:
        raw = _config_decoder.decode(data)
        _check_regions(raw, regions)
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
    except decoding.MALFORMED as error:
        raise _decode_error("configuration", error) from error


def _check_regions(raw: _Config, regions: Collection[str]) -> None:
    restricted: list[_Route | _Tenant] = [
        *raw.route_table,
        *(raw.tenants or []),
    ]
    for item in restricted:
        for region in item.allowed_regions:
            if region not in regions:
                name = item.name[:_EXCERPT_LENGTH_MAX]
                raise DocumentError(
                    DocumentFault.REGION,
                    f"configuration: {name!r} allows the unknown region"
                    f" {region[:_EXCERPT_LENGTH_MAX]!r}",
                )


def decode_evacuated(
    key: str, data_centres: Collection[str]
) -> ids.DataCentreId:
    """Returns the data centre in the key of an evacuation.

    The value of the key is ignored: the evacuation lasts while the key exists.

    Raises:
      DocumentError: if the deployment has no data centre of that name.
    """
    name = key.removeprefix(EVACUATIONS_PREFIX)
    if name not in data_centres:
        raise DocumentError(
            DocumentFault.DATA_CENTRE,
            f"evacuation: unknown data centre {name[:_EXCERPT_LENGTH_MAX]!r}",
        )
    return ids.DataCentreId(name)


def decode_replica(replica_id: str, data: bytes) -> fleet.Replica:
    """Returns the replica in a record of the replica list.

    Every field that replicas write must be present with the right type. A
    record that lacks one was written by another program and does not describe a
    replica that can be sent requests.

    Raises:
      DocumentError: if the record is malformed or has an unknown state.
    """
    try:
        raw = _replica_decoder.decode(data)
    except decoding.MALFORMED as error:
        raise _decode_error("replica", error) from error
    return fleet.Replica(
        replica_id=replica_id,
        service_id=ids.ServiceId(raw.service),
        address=_replica_address(raw.address),
        data_centre=ids.DataCentreId(raw.zone),
        slots=raw.slots,
        state=_replica_state(raw.state),
        weights=held_weights(raw.layers, raw.model_list),
        born_ms=None if raw.born is msgspec.UNSET else raw.born,
        cold_left_ms=raw.cold_left_ms,
        order_number=raw.call_seq,
    )


def _replica_address(text: str) -> str:
    try:
        address = node.Address.parse(text)
        ipaddress.IPv4Address(address.host)
    except ValueError as error:
        detail = f"replica: address {text[:_EXCERPT_LENGTH_MAX]!r}: {error}"
        raise DocumentError(DocumentFault.ADDRESS, detail) from error
    return text


def _replica_state(text: str) -> fleet.ReplicaState:
    try:
        return fleet.ReplicaState(text)
    except ValueError as error:
        detail = f"replica: state {text[:_EXCERPT_LENGTH_MAX]!r}"
        raise DocumentError(DocumentFault.STATE, detail) from error


def _decode_error(document_kind: str, error: Exception) -> DocumentError:
    """Returns the error for a document that can't be decoded."""
    undecodable = isinstance(error, (msgspec.DecodeError, RecursionError))
    if isinstance(error, msgspec.ValidationError):
        undecodable = False
    fault = DocumentFault.BYTES if undecodable else DocumentFault.FIELD
    return DocumentError(
        fault, f"{document_kind}: {error}"[:_DETAIL_LENGTH_MAX]
    )


def decode_target(data: bytes) -> fleet.WeightsTarget:
    """Returns the weights version that a document requires.

    Raises:
      DocumentError: if the document is malformed.
    """
    try:
        raw = _version_decoder.decode(data)
    except decoding.MALFORMED as error:
        raise _decode_error("weights version", error) from error
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
        allowed_regions=tuple(raw.allowed_regions),
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
        origin_bytes_per_s=raw.link_mbps * _BYTES_PER_S_PER_MEGABIT,
        cold_start_ms=raw.cold_start_s * clock.MILLIS_PER_SECOND,
        cold_per_s=raw.cold_per_s,
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
            allowed_regions=tuple(tenant.allowed_regions),
        )
        for tenant in raw
    ]
