from __future__ import annotations

import json

import pytest

from marlramp.core.configuration import fleet
from marlramp.platform import documents

REGIONS = {"west", "east"}
CONFIG = {
    "version": 7,
    "route_table": [
        {
            "name": "r",
            "host": "A.example",
            "path_prefix": "/a/",
            "route_kind": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 405,
            "priority": 1,
            "split": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "target_itl_ms": 400,
        }
    ],
    "services": [
        {
            "name": "s",
            "max_conns": 274,
            "runtime": {
                "slots": 16,
                "read_per_s": 20700.0,
                "context_per_k": 0.0322,
                "model_list": [{"name": "m", "warmup_s": 0.3}],
                "layers": 16,
                "blocks": 64,
                "block_bytes": 32768,
            },
        },
        {"name": "o", "upstream": "172.20.0.3:8006", "max_conns": 48},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "c", "api_keys": ["k"], "priority": 1}],
}


def replica(**changes: object) -> bytes:
    entry: dict[str, object] = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "dc-1",
        "version": "v1",
        "slots": 16,
        "state": "healthy",
        "cold_left_ms": 0,
        "call_seq": 0,
    }
    return json.dumps(entry | changes).encode()


def test_configuration_is_decoded() -> None:
    config = documents.decode_config(json.dumps(CONFIG).encode(), REGIONS)
    (route,) = config.routes
    assert route.host == "a.example"
    assert route.repeatable
    assert [share.weight for share in route.targets] == [90, 10]
    engine = config.services[0].engine
    assert engine is not None
    assert engine.read_tokens_per_ms == pytest.approx(20.7)
    assert engine.load_ms == 300.0
    assert config.services[1].origin == "172.20.0.3:8006"


@pytest.mark.parametrize(
    ("given", "expected"), [({"priority": 0}, 0), ({}, None)]
)
def test_customer_without_a_priority_has_none(
    given: dict[str, int], expected: int | None
) -> None:
    """Guards against a missing priority that is decoded as 0, the highest.

    None makes the priority of the route apply.
    """
    customers = [{"name": "c", "api_keys": ["k"], **given}]
    config = documents.decode_config(
        json.dumps(CONFIG | {"tenants": customers}).encode(), REGIONS
    )
    assert config.customers is not None
    assert config.customers[0].priority == expected


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b'{"version": "x"}', b'{"version": 1, "route_table": [{}]}'],
)
def test_malformed_configuration_is_refused(data: bytes) -> None:
    with pytest.raises(documents.DocumentError):
        documents.decode_config(data, REGIONS)


@pytest.mark.parametrize(
    ("held", "expected"),
    [
        ({}, None),
        ({"model_list": []}, 0),
        ({"model_list": [{"name": "m", "version": 3}]}, 3),
        ({"layers": {"source": 0, "target": 16, "version": 2}}, 2),
        ({"layers": {"source": 0, "target": 0, "version": 2}}, 0),
    ],
)
def test_version_that_a_replica_holds(
    held: dict[str, object], expected: int | None
) -> None:
    decoded = documents.decode_replica("i-1", replica(**held))
    assert decoded.weights == expected


def test_draining_replica_is_decoded() -> None:
    decoded = documents.decode_replica("i-1", replica(state="draining"))
    assert decoded.state is fleet.ReplicaState.DRAINING


def restricted_config(of_route: object, of_customer: object) -> bytes:
    (route,) = CONFIG["route_table"]  # type: ignore[misc, str-unpack]
    (customer,) = CONFIG["tenants"]  # type: ignore[misc, str-unpack]
    config = CONFIG | {
        "route_table": [route | {"allowed_regions": of_route}],
        "tenants": [customer | {"allowed_regions": of_customer}],
    }
    return json.dumps(config).encode()


def test_allowed_regions_of_routes_and_customers_are_decoded() -> None:
    """Guards against a list that gets lost, which would allow all regions."""
    data = restricted_config(["west"], ["east", "west"])
    config = documents.decode_config(data, REGIONS)
    assert config.routes[0].allowed_regions == ("west",)
    assert config.customers is not None
    assert config.customers[0].allowed_regions == ("east", "west")


@pytest.mark.parametrize(
    ("regions", "fault"),
    [
        (["west", "south"], documents.DocumentFault.REGION),
        ([""], documents.DocumentFault.REGION),
        (["West"], documents.DocumentFault.REGION),
        ("west", documents.DocumentFault.FIELD),
        ([1], documents.DocumentFault.FIELD),
        ({"west": True}, documents.DocumentFault.FIELD),
        (None, documents.DocumentFault.FIELD),
    ],
)
def test_configuration_with_wrong_regions_is_refused(
    regions: object, fault: documents.DocumentFault
) -> None:
    """Guards against an invalid list that is decoded as no restriction."""
    for data in (
        restricted_config(regions, []),
        restricted_config([], regions),
    ):
        with pytest.raises(documents.DocumentError) as raised:
            documents.decode_config(data, REGIONS)
        assert raised.value.fault is fault
