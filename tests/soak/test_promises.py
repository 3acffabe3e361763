"""Each promise is found broken where it is broken, and only there."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from soak import promises


def call(kind: promises.CallKind, **fields: Any) -> promises.Call:
    """Returns a call that was served."""
    given: dict[str, Any] = {
        "request_id": "a-1",
        "kind": kind,
        "key": "k",
        "entry": "entry-0",
        "lifetime": 0,
        "sent_ms": 100.0,
        "ended_ms": 200.0,
        "status": 200,
        "whole": True,
        "events": [1, 2] if kind is promises.CallKind.STREAM else [],
        "body": b"a-1",
    }
    return promises.Call(**{**given, **fields})


ORDER = promises.CallKind.ORDER
STREAM = promises.CallKind.STREAM
GOOD = promises.Evidence(
    calls=[call(ORDER), call(STREAM, request_id="a-2")],
    runs={"a-1": 1, "a-2": 2},
    mixed_loads=0,
    unexpected_exits=[],
    stops=[
        promises.Stop(
            process="entry-0", exit_code=0, ran_ms=9_000.0, taken_ms=100.0
        )
    ],
    revoked={"old": 50.0},
    attempts_max=2,
    events=2,
    last_calls=[call(ORDER), call(ORDER, key="old", status=401)],
)


def arrival(**fields: Any) -> promises.Arrival:
    """Returns the arrival of the first call in an allowed region."""
    given: dict[str, Any] = {
        "at_ms": 150.0,
        "request_id": "a-1",
        "replica_id": "d-0",
        "data_centre": "dc-1",
        "proxy": "desk-0",
        "misdirected": False,
    }
    return promises.Arrival(**{**given, **fields})


EVACUATION = promises.Evacuation(
    data_centre="dc-1", from_ms=1_000.0, until_ms=9_000.0
)
COLD_START = promises.ColdStart(
    replica_id="d-0", from_ms=100.0, until_ms=4_100.0
)
PLACEMENT = promises.Placement(
    regions={"dc-1": "north", "dc-2": "south"},
    route_regions={ORDER: frozenset({"north"})},
    key_regions={"bound": frozenset({"south"})},
    cold_per_s=3.0,
    arrivals=[arrival()],
    evacuations=[EVACUATION],
    cold_starts=[COLD_START],
    network_faults=[],
)
CALLS = [
    call(ORDER),
    call(STREAM, request_id="a-2", key="bound"),
    call(ORDER, request_id="a-3", key="bound", body=b"a-3"),
]


def broken(**changes: Any) -> set[str]:
    """Returns the placement promises that a run with changes breaks."""
    placement = msgspec.structs.replace(PLACEMENT, **changes)
    seen = msgspec.structs.replace(GOOD, calls=CALLS, placement=placement)
    return {violation.promise for violation in promises.check(seen)}


def spread(count: int, from_ms: float) -> list[promises.Arrival]:
    """Returns arrivals within a second."""
    return [arrival(at_ms=from_ms + 990.0 * n / count) for n in range(count)]


@pytest.mark.parametrize(
    "arrivals",
    [
        [arrival(at_ms=EVACUATION.from_ms + 4_999.0)],
        [arrival(at_ms=EVACUATION.until_ms)],
        [arrival(at_ms=EVACUATION.from_ms + 5_001.0, misdirected=True)],
        [arrival(request_id="a-2", data_centre="dc-2")],
        spread(9, COLD_START.from_ms),
        spread(10, COLD_START.until_ms),
        spread(10, EVACUATION.until_ms + 1_200.0),
        [arrival(misdirected=True), *spread(9, COLD_START.from_ms)],
    ],
)
def test_kept_placement_is_not_reported(
    arrivals: list[promises.Arrival],
) -> None:
    """Guards against reports of what the bounds allow."""
    assert broken(arrivals=arrivals) == set()


@pytest.mark.parametrize(
    ("promise", "arrivals"),
    [
        ("evacuations", [arrival(at_ms=EVACUATION.from_ms + 5_001.0)]),
        ("evacuations", [arrival(at_ms=EVACUATION.until_ms - 1.0)]),
        ("regions", [arrival(data_centre="dc-2")]),
        ("regions", [arrival(data_centre="dc-2", misdirected=True)]),
        ("regions", [arrival(request_id="a-2")]),
        ("regions", [arrival(request_id="a-3")]),
        ("regions", [arrival(request_id="a-3", data_centre="dc-2")]),
        ("cold_replicas", spread(10, COLD_START.from_ms)),
        ("cold_replicas", spread(10, EVACUATION.until_ms)),
    ],
)
def test_broken_placement_is_reported(
    promise: str, arrivals: list[promises.Arrival]
) -> None:
    """Guards against a check that overlooks what it is there for."""
    assert broken(arrivals=arrivals) == {promise}


def test_requests_that_the_network_held_back_break_no_bound() -> None:
    """Guards against faults of the network that are taken for late sends."""
    late = arrival(at_ms=EVACUATION.from_ms + 5_001.0)
    for target, found in (("desk-0", set()), ("desk-1", {"evacuations"})):
        fault = promises.NetworkFault(
            target=target, from_ms=500.0, until_ms=4_000.0
        )
        assert broken(arrivals=[late], network_faults=[fault]) == found


def stopped(exit_code: int | None, ran_ms: float) -> list[promises.Stop]:
    return [
        promises.Stop(
            process="entry-0",
            exit_code=exit_code,
            ran_ms=ran_ms,
            taken_ms=100.0,
        )
    ]


def test_kept_promises_are_not_reported() -> None:
    assert promises.check(GOOD) == []
    early = msgspec.structs.replace(GOOD, stops=stopped(-15, 500.0))
    assert promises.check(early) == []


@pytest.mark.parametrize(
    ("promise", "changes"),
    [
        ("at_most_once", {"runs": {"a-1": 2}}),
        ("attempts", {"runs": {"a-2": 3}}),
        ("not_run", {"calls": [call(ORDER, status=503)]}),
        ("own_answer", {"calls": [call(ORDER, foreign=True)]}),
        ("own_answer", {"calls": [call(ORDER, body=b"b-7")]}),
        ("order", {"calls": [call(STREAM, events=[1, 1, 2])]}),
        ("order", {"calls": [call(STREAM, events=[1])]}),
        ("denied", {"calls": [call(ORDER, status=401)]}),
        ("denied", {"calls": [call(ORDER, status=404)]}),
        (
            "forward_only",
            {
                "calls": [
                    call(ORDER, key="old", status=401),
                    call(ORDER, key="old", sent_ms=300.0),
                ]
            },
        ),
        ("config_applies", {"last_calls": [call(ORDER, key="old")]}),
        ("whole_weights", {"mixed_loads": 1}),
        ("stays_up", {"unexpected_exits": ["agent-0"]}),
        ("stops_in_grace", {"stops": stopped(None, 9_000.0)}),
        ("stops_in_grace", {"stops": stopped(-15, 9_000.0)}),
        ("recovery", {"last_calls": [call(ORDER, status=503)] * 3}),
    ],
)
def test_broken_promise_is_reported(
    promise: str, changes: dict[str, Any]
) -> None:
    seen = msgspec.structs.replace(GOOD, **changes)
    found = {violation.promise for violation in promises.check(seen)}
    assert promise in found
