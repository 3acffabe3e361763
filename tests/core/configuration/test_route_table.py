from __future__ import annotations

import collections
from collections.abc import Callable
from typing import TypeAlias

import msgspec
import pytest

from marlramp import errors
from marlramp import ids
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table

MakeRoute: TypeAlias = Callable[..., fleet.Route]
MakeConfig: TypeAlias = Callable[..., fleet.FleetConfig]

CUSTOMER = ids.CustomerId("c")


def test_longest_prefix_of_the_host_wins(
    make_route: MakeRoute, make_config: MakeConfig
) -> None:
    routes = [
        make_route(name="short", path_prefix="/a/"),
        make_route(name="long", path_prefix="/a/b/"),
        make_route(name="other", host="b.example", path_prefix="/a/b/c/"),
    ]
    table = route_table.RouteTable(make_config(routes=routes))
    assert table.find("a.example", "/a/b/c/d").name == "long"
    assert table.find("a.example", "/a/x").name == "short"


@pytest.mark.parametrize("path", ["/", "/ab", "/b/a/", "/a"])
def test_path_without_route_is_refused(
    path: str, make_config: MakeConfig
) -> None:
    table = route_table.RouteTable(make_config())
    with pytest.raises(errors.CallError) as caught:
        table.find("a.example", path)
    assert caught.value.status == 404


@pytest.mark.parametrize("sent", ["", "Bearer wrong", "key", "Basic key"])
def test_unknown_key_is_refused(
    sent: str, make_route: MakeRoute, make_config: MakeConfig
) -> None:
    table = route_table.RouteTable(make_config())
    with pytest.raises(errors.CallError) as caught:
        table.customer(make_route(), sent)
    assert caught.value.status == 401


def test_public_route_needs_no_key(
    make_route: MakeRoute, make_config: MakeConfig
) -> None:
    table = route_table.RouteTable(make_config())
    assert table.customer(make_route(public=True), "") is None
    found = table.customer(make_route(), "bearer key")
    assert found is not None
    assert found.customer_id == "c"


def test_split_follows_the_weights(
    make_route: MakeRoute, make_config: MakeConfig
) -> None:
    shares = [
        fleet.ServiceShare(ids.ServiceId("s"), 90.0),
        fleet.ServiceShare(ids.ServiceId("t"), 10.0),
    ]
    route = make_route(targets=shares)
    table = route_table.RouteTable(make_config(routes=[route]))
    chosen = collections.Counter(
        table.service_of(route, f"request-{n}") for n in range(2_000)
    )
    assert 120 < chosen[ids.ServiceId("t")] < 290


def bound_table(
    make_route: MakeRoute,
    make_config: MakeConfig,
    route_regions: tuple[str, ...],
    customer_regions: tuple[str, ...],
) -> route_table.RouteTable:
    config = make_config(routes=[make_route(allowed_regions=route_regions)])
    customers = [
        msgspec.structs.replace(customer, allowed_regions=customer_regions)
        for customer in config.customers or []
    ]
    config = msgspec.structs.replace(config, customers=customers)
    return route_table.RouteTable(config)


@pytest.mark.parametrize(
    ("of_route", "of_customer", "expected"),
    [
        ((), (), None),
        (("west",), (), {"west"}),
        ((), ("west", "east"), {"west", "east"}),
        (("west", "east"), ("east", "south"), {"east"}),
        (("west",), ("east",), set()),
    ],
)
def test_route_and_customer_must_both_allow_a_region(
    of_route: tuple[str, ...],
    of_customer: tuple[str, ...],
    expected: set[str] | None,
    make_route: MakeRoute,
    make_config: MakeConfig,
) -> None:
    """Guards against lists with nothing in common that allow all regions."""
    table = bound_table(make_route, make_config, of_route, of_customer)
    found = table.allowed_regions("a.example", "/a/x", CUSTOMER)
    assert found == expected


def test_request_without_a_customer_is_bound_by_its_route_alone(
    make_route: MakeRoute, make_config: MakeConfig
) -> None:
    """Guards against a customer's list that binds other callers."""
    table = bound_table(make_route, make_config, ("west",), ("east",))
    assert table.allowed_regions("a.example", "/a/x", None) == {"west"}


@pytest.mark.parametrize(
    ("path", "customer", "expected"),
    [
        ("/gone/x", CUSTOMER, {"east"}),
        ("/a/x", ids.CustomerId("gone"), {"west"}),
        ("/gone/x", ids.CustomerId("gone"), {"west", "east"}),
    ],
)
def test_removed_route_or_customer_allows_no_further_region(
    path: str,
    customer: ids.CustomerId,
    expected: set[str],
    make_route: MakeRoute,
    make_config: MakeConfig,
) -> None:
    """Guards against a removal that frees a waiting request of its list."""
    table = bound_table(
        make_route, make_config, ("west", "south"), ("east", "south")
    )
    last = frozenset({"west", "east"})
    found = table.allowed_regions("a.example", path, customer, last)
    assert found == expected


@pytest.mark.parametrize(
    ("lists", "expected"),
    [
        ([(), ()], None),
        ([("west", "east"), ()], {"west", "east"}),
        ([("west", "east"), ("east",)], {"east"}),
        ([("west",), ("east",)], set()),
    ],
)
def test_host_allows_what_all_its_routes_allow(
    lists: list[tuple[str, ...]],
    expected: set[str] | None,
    make_route: MakeRoute,
    make_config: MakeConfig,
) -> None:
    """Guards against a lookup that follows one route of several."""
    routes = [
        make_route(path_prefix=f"/{number}/", allowed_regions=regions)
        for number, regions in enumerate(lists)
    ]
    routes.append(make_route(host="b.example", allowed_regions=("south",)))
    table = route_table.RouteTable(make_config(routes=routes))
    assert table.allowed_regions_of_host("a.example") == expected
    assert table.allowed_regions_of_host("unknown.example") is None
