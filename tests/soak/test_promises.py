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
