from __future__ import annotations

import asyncio
import base64
import json

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.configuration import catalog
from marlramp.platform import clients
from marlramp.platform import store
from marlramp.settings import node
from marlramp.shell import http1_call
from standins import raw_http

REGIONS = {"dc-1": "west", "dc-2": "east"}


def item(key: str, revision: int, value: object) -> dict[str, object]:
    data = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "revision": revision, "data": data}


def config_restricted_to(region: object, version: int = 7) -> dict[str, object]:
    """Returns a configuration whose only route allows one region."""
    route = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/",
        "route_kind": "idempotent",
        "service": "s",
        "allowed_regions": [region],
    }
    return {"version": version, "route_table": [route]}


def answers(bodies: list[object]) -> raw_http.Script:
    async def script(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            body = bodies.pop(0)
            if isinstance(body, int):
                await peer.answer(request, body)
            else:
                await peer.answer(request, 200, json.dumps(body).encode())

    return script


def read(
    store_of: raw_http.Script | list[object], *, watch: bool = False
) -> catalog.Snapshot:
    script = answers(store_of) if isinstance(store_of, list) else store_of

    async def run() -> catalog.Snapshot:
        async with raw_http.ScriptedServer(script) as server:
            client = store.StoreClient(
                http1_call.HttpCaller(clock.SystemClock()),
                node.Address("127.0.0.1", server.port),
                REGIONS,
                counters.Counters(),
            )
            if watch:
                return await client.watch(3, 50.0)
            return await client.read_all()

    return asyncio.run(run())


REPLICA = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "dc-1",
    "version": "v1",
    "slots": 6,
    "state": "healthy",
    "cold_left_ms": 0,
    "call_seq": 0,
}


def test_pages_are_combined_at_the_lowest_revision() -> None:
    """Guards against a change between two pages that no watch returns."""
    target = {"model_name": "m", "version": 2}
    snapshot = read(
        [
            {
                "entries": [item("op/version/m", 5, target)],
                "has_more": True,
                "at": 8,
            },
            {"entries": [item("servers/i-1", 6, REPLICA)], "at": 9},
        ]
    )
    assert snapshot.revision == 8
    assert len(snapshot.changes) == 2


def test_malformed_document_does_not_affect_the_others() -> None:
    snapshot = read(
        [
            {
                "entries": [
                    item("op/config", 5, {"version": "x"}),
                    item("servers/i-1", 6, REPLICA),
                    item("somebody/else", 7, {}),
                ],
                "at": 9,
            }
        ]
    )
    (change,) = snapshot.changes
    assert isinstance(change, catalog.ReplicaChange)


def test_watch_returns_the_removal_of_a_replica() -> None:
    snapshot = read(
        [
            {
                "events": [
                    {"key": "servers/i-1", "revision": 7, "deleted": True}
                ],
                "at": 7,
            }
        ],
        watch=True,
    )
    assert snapshot.changes == [catalog.ReplicaChange(7, "i-1", None)]


def test_missing_history_raises_a_separate_error() -> None:
    with pytest.raises(store.HistoryGoneError):
        read([410], watch=True)


@pytest.mark.parametrize("body", [503, {"events": [], "at": 14}, []])
def test_unexpected_answer_is_not_an_empty_list(body: object) -> None:
    """Guards against a failed read that removes all replicas."""
    with pytest.raises(clients.PlatformError):
        read([body])


def test_page_without_a_readable_item_does_not_end_the_list() -> None:
    """Guards against a removal of the replicas on pages that were not read."""
    with pytest.raises(clients.PlatformError):
        read([{"entries": [7], "has_more": True, "at": 8}])


@pytest.mark.parametrize("data", ["", "bm90IEpTT04=", "e30="])
def test_evacuation_lasts_while_its_key_exists(data: str) -> None:
    """Guards against an evacuation that depends on the value of its key."""
    start = {"key": "op/evacuate/dc-2", "revision": 5, "data": data}
    end = {"key": "op/evacuate/dc-2", "revision": 7, "deleted": True}
    data_centre = ids.DataCentreId("dc-2")
    assert read([{"entries": [start], "at": 9}]).changes == [
        catalog.EvacuationChange(5, data_centre, active=True)
    ]
    assert read([{"events": [end], "at": 9}], watch=True).changes == [
        catalog.EvacuationChange(7, data_centre, active=False)
    ]


@pytest.mark.parametrize(
    ("entry", "fault"),
    [
        (item("op/evacuate/", 8, {}), "data_centre"),
        (item("op/evacuate/dc-9", 8, {}), "data_centre"),
        (item("op/evacuate/dc-1/x", 8, {}), "data_centre"),
        (
            {"key": "op/evacuate/dc-9", "revision": 8, "deleted": True},
            "data_centre",
        ),
        (item("op/config", 8, config_restricted_to("south", 8)), "region"),
        (item("op/config", 8, config_restricted_to(7, 8)), "field"),
    ],
)
def test_refused_item_changes_nothing(
    entry: dict[str, object],
    fault: str,
    time: clock.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an invalid item that replaces the last valid state."""
    valid = [item("op/config", 3, config_restricted_to("west"))]
    valid.append(item("op/evacuate/dc-1", 4, {}))
    known = catalog.Catalog(REGIONS)
    known.apply_snapshot(read([{"entries": valid, "at": 5}]), time.now_ms())
    before = known.changes_after(0, time.now_ms())
    logged: list[tuple[str, object, object]] = []
    monkeypatch.setattr(
        logs,
        "log",
        lambda event, **fields: logged.append(
            (event, fields["key"], fields["fault"])
        ),
    )
    snapshot = read([{"events": [entry], "at": 8}], watch=True)
    assert known.apply(snapshot.changes, time.now_ms()) == []
    assert known.changes_after(0, time.now_ms()) == before
    assert known.config is not None
    assert known.config.routes[0].allowed_regions == ("west",)
    assert known.evacuated == {"dc-1"}
    assert logged == [("document_refused", entry["key"], fault)]


@pytest.mark.parametrize("watch", [False, True])
def test_store_that_is_silent_within_an_answer_is_waited_for(
    watch: bool,
) -> None:
    """Guards against an answer that is given up for a second of silence."""
    field = "events" if watch else "entries"
    body = json.dumps({field: [item("servers/i-1", 6, REPLICA)], "at": 9})

    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        head = f"HTTP/1.1 200 X\r\ncontent-length: {len(body)}\r\n\r\n"
        await peer.write((head + body[:50]).encode())
        await asyncio.sleep(1.3)
        await peer.write(body[50:].encode())

    (change,) = read(script, watch=watch).changes
    assert isinstance(change, catalog.ReplicaChange)
