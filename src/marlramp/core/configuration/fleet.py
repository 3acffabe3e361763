"""Types that describe the fleet to an entry: routes, customers and replicas.

The types do not depend on a platform. A platform adapter decodes the documents
that its platform publishes into them; no other code reads those documents.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import ids

FIRST_VERSION = 1
"""Version of the weights that is in force until another one is announced. An
engine that is added later starts without any weights."""


class RouteKind(enum.Enum):
    """Kind of a route's requests, which determines whether they are retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(msgspec.Struct, frozen=True):
    """A target service of a route and its weight among the route's targets."""

    service_id: ids.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host and path prefix are handled.

    Attributes:
      name: name that the operator gave to the route.
      host: host of the request, in lower case.
      path_prefix: prefix of the path, with a slash at both ends.
      kind: whether requests are idempotent, not idempotent, or streaming.
      targets: services that run the requests, with their weights.
      timeout_ms: longest time that a request may wait.
      objective_ms: time to the answer, or to a stream's first event, within
        which the answer has its full value.
      pause_objective_ms: longest pause between events of a stream.
      priority: rank among routes, where 0 is the highest.
      attempts_max: maximum number of replicas that one request may be sent to.
      public: whether requests need no key.
      resumable: whether a stream may be continued at another replica.
      allowed_regions: regions in which requests may be served; empty if all
        are allowed.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: list[ServiceShare]
    timeout_ms: float
    objective_ms: float
    pause_objective_ms: float
    priority: int
    attempts_max: int
    public: bool
    resumable: bool
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.kind is RouteKind.STREAMING


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Performance model of the engines of a service.

    Attributes:
      model: name of the model that the engines serve.
      batch: maximum number of requests that run concurrently.
      step_ms: base duration of one token step.
      per_request_ms: additional duration of a step per running request.
      per_context_token_ms: additional duration of a step per context token.
      steps_per_pass: number of token steps between two checks for waiting
        prompts.
      read_tokens_per_ms: number of prompt tokens read per millisecond.
      memory_tokens: number of tokens that fit into the memory for requests.
      layers: number of layers of the model.
      load_ms: time to load all layers.
      pieces: number of pieces that the weights consist of.
      piece_bytes: size of a piece in bytes.
    """

    model: str
    batch: int
    step_ms: float
    per_request_ms: float
    per_context_token_ms: float
    steps_per_pass: int
    read_tokens_per_ms: float
    memory_tokens: int
    layers: int
    load_ms: float
    pieces: int
    piece_bytes: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service that replicas run.

    Attributes:
      service_id: name of the service.
      connections_max: total number of connections that a replica accepts.
      engine: performance model of the service's engines, None for a service
        without model engines.
      origin: "host:port" of the weights if this service is their origin.
      origin_bytes_per_s: rate of the origin's link, 0 if it is not known.
      cold_start_ms: time for which a replica is cold after its start.
      cold_per_s: requests per second that a cold replica tolerates from all
        entries together, 0 if replicas of the service are never cold.
    """

    service_id: ids.ServiceId
    connections_max: int
    engine: EngineSpec | None = None
    origin: str = ""
    origin_bytes_per_s: float = 0.0
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0

    @property
    def has_cold_starts(self) -> bool:
        """Whether replicas of the service are cold after a start."""
        return self.cold_start_ms > 0.0 and self.cold_per_s > 0.0


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer, identified by the keys of its requests.

    Attributes:
      customer_id: id of the customer.
      keys: keys that the customer's requests carry.
      priority: rank of the customer, where 0 is the highest; it overrides the
        priority of a route. None if the customer has no rank.
      allowed_regions: regions in which requests may be served; empty if all
        are allowed.
    """

    customer_id: ids.CustomerId
    keys: list[str]
    priority: int | None
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of a caller's requests."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted configuration, which the next one replaces completely."""

    version: int
    routes: list[Route]
    services: list[Service]
    customers: list[Customer] | None
    limits: CallerLimits

    @property
    def by_id(self) -> dict[ids.ServiceId, Service]:
        """The services by their ids."""
        return {service.service_id: service for service in self.services}


class ReplicaState(enum.Enum):
    """State that a replica reports in the replica list."""

    HEALTHY = "healthy"
    DRAINING = "draining"


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """A replica as it was last listed.

    Attributes:
      replica_id: id of the replica, which may stay unchanged when it restarts.
      service_id: service that the replica belongs to.
      address: "host:port" of the replica.
      data_centre: data centre of the replica.
      slots: number of requests that the replica runs concurrently.
      state: whether the replica accepts new work.
      weights: version of the weights that all its layers hold, 0 if the
        replica holds no weights or only some layers of a version, None for a
        service without model engines.
      born_ms: Unix time of the replica's start, which distinguishes two starts
        under one id; None if the platform does not publish it.
      cold_left_ms: how much longer the replica is cold, as of this record.
      order_number: number of orders that a model engine has accepted since its
        start, as of this record.
    """

    replica_id: str
    service_id: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    state: ReplicaState
    weights: int | None
    born_ms: int | None = None
    cold_left_ms: float = 0.0
    order_number: int = 0


class WeightsTarget(msgspec.Struct, frozen=True, kw_only=True):
    """The version of a model that every replica must serve."""

    model: str
    version: int
