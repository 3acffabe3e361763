"""Fixtures that build types of the direct path."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet

ENGINE = fleet.EngineSpec(
    model="m",
    batch=16,
    step_ms=9.27,
    per_request_ms=0.0232,
    per_context_token_ms=0.0000322,
    steps_per_pass=5,
    read_tokens_per_ms=20.7,
    memory_tokens=317_000,
    layers=16,
    load_ms=300.0,
    pieces=64,
    piece_bytes=32_768,
)

ROUTE = fleet.Route(
    name="r",
    host="a.example",
    path_prefix="/a/",
    kind=fleet.RouteKind.IDEMPOTENT,
    targets=[fleet.ServiceShare(ids.ServiceId("s"), 1.0)],
    timeout_ms=6_000.0,
    objective_ms=400.0,
    pause_objective_ms=400.0,
    priority=1,
    attempts_max=2,
    public=False,
    resumable=False,
)

REPLICA = fleet.Replica(
    replica_id="i-1",
    service_id=ids.ServiceId("s"),
    address="127.0.0.1:1",
    data_centre=ids.DataCentreId("dc-1"),
    slots=16,
    state=fleet.ReplicaState.HEALTHY,
    weights=1,
)


@pytest.fixture
def engine() -> fleet.EngineSpec:
    """An engine that runs 16 requests at once."""
    return ENGINE


@pytest.fixture
def make_route() -> Callable[..., fleet.Route]:
    """Makes variants of an idempotent route."""
    return lambda **changes: msgspec.structs.replace(ROUTE, **changes)


@pytest.fixture
def make_replica() -> Callable[..., fleet.Replica]:
    """Makes variants of a healthy replica."""
    return lambda **changes: msgspec.structs.replace(REPLICA, **changes)


@pytest.fixture
def make_config() -> Callable[..., fleet.FleetConfig]:
    """Makes configurations with one service and one customer."""

    def make(
        version: int = 1, routes: list[fleet.Route] | None = None
    ) -> fleet.FleetConfig:
        return fleet.FleetConfig(
            version=version,
            routes=[ROUTE] if routes is None else routes,
            services=[
                fleet.Service(service_id=ids.ServiceId("s"), connections_max=64)
            ],
            customers=[
                fleet.Customer(
                    customer_id=ids.CustomerId("c"), keys=["key"], priority=1
                )
            ],
            limits=fleet.CallerLimits(),
        )

    return make


@pytest.fixture
def known() -> catalog.Catalog:
    """An empty catalog."""
    return catalog.Catalog()
