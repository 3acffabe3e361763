"""Entries of the store by other writers, among those of replicas."""

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

GOOD = test_store.REPLICA | {"born": 1_774_684_600_190}

anything = strategies.recursive(
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
def other_types(draw: strategies.DrawFn) -> bytes:
    """An entry with one field missing or of another type."""
    name = draw(strategies.sampled_from(sorted(GOOD)))
    kind = str if name in ("service", "address", "zone", "version") else int
    entry = dict(GOOD)
    if name != "born" and draw(strategies.booleans()):
        del entry[name]
    else:
        values = anything.filter(
            lambda value: type(value) not in (kind, int, float)
        )
        entry[name] = draw(values)
    return json.dumps(entry).encode()


unnamed_states = (
    strategies.text(max_size=12)
    .filter(lambda state: state not in ("healthy", "draining"))
    .map(lambda state: json.dumps(GOOD | {"state": state}).encode())
)
wrong_addresses = strategies.sampled_from(
    ["", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "a:80", ":80", "1:1:1"]
).map(lambda address: json.dumps(GOOD | {"address": address}).encode())

bad_entries = (
    strategies.binary(max_size=64)
    | other_types()
    | unnamed_states
    | wrong_addresses
    | strategies.sampled_from(
        [
            b"[" * 100_000,
            json.dumps(GOOD | {"slots": 10**30}).encode(),
            json.dumps(GOOD | {"slots": 0}).encode(),
            json.dumps(GOOD | {"born": 1.5}).encode(),
            json.dumps(GOOD | {"born": None}).encode(),
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
    bad=strategies.lists(bad_entries, max_size=4),
    good=strategies.integers(1, 3),
)
def test_exactly_the_good_entries_among_others_name_replicas(
    bad: list[bytes], good: int
) -> None:
    entries = {f"bad-{n}": data for n, data in enumerate(bad)}
    entries |= {f"good-{n}": _good(n) for n in range(good)}
    known = catalog.Catalog()
    known.apply_snapshot(snapshot_of(entries), 0.0)
    names = {replica.replica_id for replica in known.replicas()}
    assert names == {f"good-{n}" for n in range(good)}


def _good(number: int) -> bytes:
    return json.dumps(GOOD | {"address": f"10.0.1.{number}:80"}).encode()


@pytest.mark.parametrize("store_fails", [False, True])
def test_entry_that_turns_unreadable_names_no_replica_until_it_is_right(
    store_fails: bool,
) -> None:
    known = catalog.Catalog()
    known.apply_snapshot(snapshot_of({"i-1": _good(1)}), 0.0)
    if store_fails:
        known.record_store_failure(10.0)
    (change,) = snapshot_of({"i-1": b"\xff"}).changes
    known.apply([msgspec.structs.replace(change, revision=5)], 20.0)
    assert known.replicas() == []
    (told,) = known.changes_after(0, 20.0)
    other = catalog.Catalog()
    other.apply_snapshot(snapshot_of({"i-1": _good(1)}), 0.0)
    other.record_store_failure(10.0)
    other.apply([told], 20.0)
    assert other.replicas() == []
    (change,) = snapshot_of({"i-1": _good(1)}).changes
    known.apply([msgspec.structs.replace(change, revision=6)], 30.0)
    assert len(known.replicas()) == 1


def test_items_that_are_no_items_hide_no_others() -> None:
    item = test_store.item("servers/i-1", 3, GOOD)
    entries = [7, {"key": 5}, {"revision": "x"}, None, item]
    snapshot = test_store.read([{"entries": entries, "at": 4}])
    assert len(snapshot.changes) == 1
