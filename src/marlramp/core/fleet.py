"""What an entry needs to know of the fleet: routes, customers and replicas.

These are the product's own types. An adapter of a platform decodes what that
platform publishes into them; nothing else reads the platform's documents.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import ids

FIRST_VERSION = 1
"""Version of the weights in force until another is named; engines that are
added hold none at all."""


class RouteKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(msgspec.Struct, frozen=True):
    """One target of a route and its weight among the route's targets."""

    service_id: ids.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host and path prefix are handled.

    Attributes:
      name: name given by the operator.
      host: host that callers ask for, in lower case.
      path_prefix: prefix of the path, with a slash at both ends.
      kind: what may be repeated.
      targets: services that run the requests, with their weights.
      timeout_ms: longest time a request is kept waiting.
      objective_ms: time to the answer, or to a stream's first event, within
        which the answer has its full worth.
      pause_objective_ms: longest pause between events of a stream.
      priority: rank among routes, 0 first.
      attempts_max: replicas to which one request may be sent.
      public: whether no key is needed.
      resumable: whether a stream may be continued at another replica.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind is RouteKind.STREAMING


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How the model engines of a service work.

    Attributes:
      model: name of the model they serve.
      batch: requests that run at once.
      step_ms: time of one token step.
      per_request_ms: further time per running request and step.
      per_context_token_ms: further time per token of context and step.
      steps_per_pass: token steps between two looks at waiting prompts.
      read_tokens_per_ms: prompt tokens read in a millisecond.
      memory_tokens: tokens that fit into the memory for requests.
      layers: layers of the model.
      load_ms: time to load all layers.
      pieces: pieces that the weights consist of.
      piece_bytes: size of a piece.
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
    """One service.

    Attributes:
      service_id: its name.
      connections_max: connections that a replica accepts in all.
      engine: how its engines work, None for a plain service.
      origin: "host:port" of the weights if this service is their origin.
      origin_bytes_per_s: rate of the origin's link, 0 if it is not known.
    """

    service_id: ids.ServiceId
    connections_max: int
    engine: EngineSpec | None = None
    origin: str = ""
    origin_bytes_per_s: float = 0.0


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer.

    Attributes:
      customer_id: its id.
      keys: the keys that its requests bear.
      priority: its rank, 0 first, which goes before that of a route; None if
        it has none.
    """

    customer_id: ids.CustomerId
    keys: list[str]
    priority: int | None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted configuration, replaced as a whole by the next."""

    version: int
    routes: list[Route]
    services: list[Service]
    customers: list[Customer] | None
    limits: CallerLimits


class ReplicaState(enum.Enum):
    """What a replica says of itself in the replica list."""

    HEALTHY = "healthy"
    DRAINING = "draining"


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """A replica as last listed.

    Attributes:
      replica_id: its id, which it may keep when it starts again.
      service_id: the service that it belongs to.
      address: "host:port".
      data_centre: where it is.
      slots: requests that it runs at once.
      state: whether it takes new work.
      weights: version of the weights that all its layers hold, 0 if it holds
        none or not all, None for a plain service.
      born_ms: Unix time of its start, which tells two starts under one id
        apart; None where the platform does not say.
    """

    replica_id: str
    service_id: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    state: ReplicaState
    weights: int | None
    born_ms: int | None = None


class WeightsTarget(msgspec.Struct, frozen=True, kw_only=True):
    """The version of a model that every replica is to serve."""

    model: str
    version: int
