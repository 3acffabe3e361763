from __future__ import annotations

import collections
from collections.abc import Callable
from typing import TypeAlias

import pytest

from marlramp import errors
from marlramp import ids
from marlramp.core import fleet
from marlramp.core import route_table

MakeRoute: TypeAlias = Callable[..., fleet.Route]
MakeConfig: TypeAlias = Callable[..., fleet.FleetConfig]


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
