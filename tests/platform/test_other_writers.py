"""Malformed records that other programs write among those of replicas."""

from __future__ import annotations

import base64
import json

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marlramp.core.configuration import catalog
from marlramp.platform import documents
from tests.platform import test_store

VALID_RECORD = test_store.REPLICA | {"born": 1_774_684_600_190}

any_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=4,
)


@strategies.composite
def records_with_wrong_field(draw: strategies.DrawFn) -> bytes:
    """Returns a record with one field missing or of another type."""
    name = draw(strategies.sampled_from(sorted(VALID_RECORD)))
    kind = str if name in ("service", "address", "zone", "version") else int
    entry = dict(VALID_RECORD)
    if name != "born" and draw(strategies.booleans()):
        del entry[name]
    else:
        values = any_json.filter(
            lambda value: type(value) not in (kind, int, float)
        )
        entry[name] = draw(values)
    return json.dumps(entry).encode()


records_with_unknown_state = (
    strategies.text(max_size=12)
    .filter(lambda state: state not in ("healthy", "draining"))
    .map(lambda state: json.dumps(VALID_RECORD | {"state": state}).encode())
)
records_with_wrong_address = strategies.sampled_from(
    ["", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "a:80", ":80", "1:1:1"]
).map(lambda address: json.dumps(VALID_RECORD | {"address": address}).encode())

invalid_records = (
    strategies.binary(max_size=64)
    | records_with_wrong_field()
    | records_with_unknown_state
    | records_with_wrong_address
    | strategies.sampled_from(
        [
            b"[" * 100_000,
            json.dumps(VALID_RECORD | {"slots": 10**30}).encode(),
            json.dumps(VALID_RECORD | {"slots": 0}).encode(),
            json.dumps(VALID_RECORD | {"born": 1.5}).encode(),
            json.dumps(VALID_RECORD | {"born": None}).encode(),
        ]
    )
)


def snapshot_of(entries: dict[str, bytes]) -> catalog.Snapshot:
    items = [
        {
            "key": documents.REPLICAS_PREFIX + name,
            "revision": number,
            "data": base64.b64encode(data).decode(),
        }
        for number, (name, data) in enumerate(entries.items(), start=1)
    ]
    return test_store.read([{"entries": items, "at": len(items)}])


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    bad=strategies.lists(invalid_records, max_size=4),
    good=strategies.integers(1, 3),
)
def test_only_valid_records_describe_replicas(
    bad: list[bytes], good: int
) -> None:
    """Guards against a bad record that hides others or adds a replica."""
    entries = {f"bad-{n}": data for n, data in enumerate(bad)}
    entries |= {f"good-{n}": _valid_record(n) for n in range(good)}
    known = catalog.Catalog()
    known.apply_snapshot(snapshot_of(entries), 0.0)
    names = {replica.replica_id for replica in known.replicas()}
    assert names == {f"good-{n}" for n in range(good)}


def _valid_record(number: int) -> bytes:
    return json.dumps(
        VALID_RECORD | {"address": f"10.0.1.{number}:80"}
    ).encode()


@pytest.mark.parametrize("store_fails", [False, True])
def test_replica_is_removed_while_its_record_is_unreadable(
    store_fails: bool,
) -> None:
    """Guards against requests to the address of an overwritten record."""
    known = catalog.Catalog()
    known.apply_snapshot(snapshot_of({"i-1": _valid_record(1)}), 0.0)
    if store_fails:
        known.record_store_failure(10.0)
    (change,) = snapshot_of({"i-1": b"\xff"}).changes
    known.apply([msgspec.structs.replace(change, revision=5)], 20.0)
    assert known.replicas() == []
    (forwarded,) = known.changes_after(0, 20.0)
    other_catalog = catalog.Catalog()
    other_catalog.apply_snapshot(snapshot_of({"i-1": _valid_record(1)}), 0.0)
    other_catalog.record_store_failure(10.0)
    other_catalog.apply([forwarded], 20.0)
    assert other_catalog.replicas() == []
    (change,) = snapshot_of({"i-1": _valid_record(1)}).changes
    known.apply([msgspec.structs.replace(change, revision=6)], 30.0)
    assert len(known.replicas()) == 1


def test_malformed_items_do_not_affect_other_items() -> None:
    item = test_store.item("servers/i-1", 3, VALID_RECORD)
    entries = [7, {"key": 5}, {"revision": "x"}, None, item]
    snapshot = test_store.read([{"entries": entries, "at": 4}])
    assert len(snapshot.changes) == 1
