"""Tests of where requests run: allowed regions and evacuated data centres.

Without a constraint the replica in dc-3 is chosen first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.core.replicas import upstream_choice
from marlramp.shell import http1_client
from standins import raw_http
from tests.direct import conftest
from tests.direct.calls import test_forwarder

RunEntry = conftest.RunEntry
Replica = test_forwarder.Replica
Change = Callable[[conftest.Entry], None]

NORTH = ("north",)
HOLD_OBJECTIVE_MS = 8_000.0
"""Objective whose hold time is 0.96 s, so that a wait shows in a test."""


def place(entry: conftest.Entry, *data_centres: str) -> None:
    """Moves the replicas into data centres; those in dc-3 are the best."""
    changes: list[catalog.Change] = []
    for view, data_centre in zip(entry.table, data_centres, strict=True):
        replica = msgspec.structs.replace(
            view.replica, data_centre=ids.DataCentreId(data_centre)
        )
        changes.append(catalog.ReplicaChange(50, replica.replica_id, replica))
    entry.catalog.apply(changes, entry.time.now_ms())
    entry.table.sync(entry.catalog, entry.time.now_ms())
    for view in entry.table:
        if view.replica.data_centre != "dc-3":
            # More than the cost of another region.
            view.answer_ms += 5.0 * upstream_choice.REMOTE_PENALTY_MS


def allow(entry: conftest.Entry, *regions: str) -> None:
    """Configures the regions that all routes allow."""
    routes = [
        msgspec.structs.replace(
            route, allowed_regions=regions, objective_ms=HOLD_OBJECTIVE_MS
        )
        for route in conftest.CONFIG.routes
    ]
    config = msgspec.structs.replace(conftest.CONFIG, routes=routes)
    entry.routes = route_table.RouteTable(config)


def evacuate(entry: conftest.Entry, *data_centres: str) -> None:
    """Starts evacuations."""
    entry.catalog.apply(
        [
            catalog.EvacuationChange(60, ids.DataCentreId(name), active=True)
            for name in data_centres
        ],
        entry.time.now_ms(),
    )


def remove_routes(entry: conftest.Entry) -> None:
    """Configures no route."""
    config = msgspec.structs.replace(conftest.CONFIG, routes=[])
    entry.routes = route_table.RouteTable(config)


def widen(entry: conftest.Entry) -> None:
    """Allows all regions."""
    allow(entry)


def narrow(entry: conftest.Entry) -> None:
    """Allows one region."""
    allow(entry, *NORTH)


def evacuate_south(entry: conftest.Entry) -> None:
    """Evacuates the data centre of the south."""
    evacuate(entry, "dc-3")


@pytest.mark.parametrize(
    ("path", "first", "second"),
    [
        ("/safe/x", Replica.serve, Replica.serve),
        ("/safe/x", Replica.reset, Replica.serve),
        ("/safe/x", Replica.refuse, Replica.serve),
        ("/safe/x", Replica.reset, Replica.reset),
        ("/stream/x", Replica.cut_events, Replica.complete_events),
        ("/stream/x", Replica.cut_events, Replica.cut_events),
    ],
)
@pytest.mark.parametrize("bind", [narrow, evacuate_south])
def test_no_send_of_a_request_leaves_its_places(
    bind: Change,
    path: str,
    first: Callable[..., raw_http.Script],
    second: Callable[..., raw_http.Script],
    run_entry: RunEntry,
) -> None:
    """Guards against a first send, retry or resumed stream elsewhere."""
    elsewhere, one, other = Replica(), Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-3", "dc-1", "dc-4")
        bind(entry)
        answer = await entry.call(path)
        assert elsewhere.seen == []
        assert len(one.seen) == 1
        if second in (Replica.serve, Replica.complete_events):
            assert test_forwarder.status_of(answer) == 200
        if first is Replica.cut_events:
            assert other.seen[0].headers["last-event-id"] == "3"

    run_entry(
        use,
        elsewhere.complete_events if path == "/stream/x" else elsewhere.serve,
        first.__get__(one),
        second.__get__(other),
    )


@pytest.mark.parametrize(
    ("change", "sends"),
    [(widen, 1), (narrow, 0), (evacuate_south, 0), (remove_routes, 0)],
)
def test_change_while_a_request_waits_is_respected(
    change: Change, sends: int, run_entry: RunEntry
) -> None:
    """Guards against places that were read when the request arrived.

    The request waits for a replica that is paused, after one in the north has
    failed.
    """
    failing, paused = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-1", "dc-3")
        allow(entry, *(NORTH if change is remove_routes else ()))
        view = entry.table.get("i-1")
        assert view is not None
        view.availability.record_pause(150.0, 0.0, entry.time.now_ms())
        call = asyncio.create_task(entry.call("/safe/x"))
        while not failing.seen:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.03)
        change(entry)
        answer = await call
        assert len(paused.seen) == sends
        assert test_forwarder.status_of(answer) == (200 if sends else 502)

    run_entry(use, failing.reset, paused.serve)


@pytest.mark.parametrize("change", [narrow, evacuate_south])
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
def test_change_after_the_selection_keeps_a_request_unwritten(
    path: str,
    change: Change,
    run_entry: RunEntry,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request whose connection opened too late."""
    selected, other = Replica(), Replica()
    connect = http1_client.connect

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-3", "dc-1")
        connected: list[int] = []

        async def connect_late(
            host: str, port: int, time: clock.Clock
        ) -> http1_client.ReplicaConnection:
            if not connected:
                await asyncio.sleep(0.05)
                change(entry)
            connected.append(port)
            return await connect(host, port, time)

        monkeypatch.setattr(http1_client, "connect", connect_late)
        answer = await entry.call(path, "POST")
        assert test_forwarder.status_of(answer) == 200
        assert len(connected) == 2
        assert selected.seen == []
        assert len(other.seen) == 1

    run_entry(use, selected.serve, other.serve)


@pytest.mark.parametrize("is_cut", [False, True])
def test_running_stream_is_not_interrupted_by_an_evacuation(
    is_cut: bool, run_entry: RunEntry
) -> None:
    """Guards against a cut at the start, and against a resume in the place."""
    running, beside, elsewhere = Replica(), Replica(), Replica()
    evacuated = asyncio.Event()

    async def stream(peer: raw_http.Peer) -> None:
        request = await peer.read()
        assert request is not None
        running.seen.append(request)
        await peer.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            b"content-type: text/event-stream\r\n"
            b"x-replica-signature: s\r\nx-attempt-id: id-1\r\n\r\n"
        )
        for number in range(1, 7):
            event = f"id: {number}\ndata: e{number}\n\n".encode()
            await peer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if number == 2:
                await evacuated.wait()
                if is_cut:
                    peer.reset()
                    return
        await peer.write(b"0\r\n\r\n")

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-3", "dc-3", "dc-1")
        call = asyncio.create_task(entry.call("/stream/x"))
        while not running.seen:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        evacuate(entry, "dc-3")
        await asyncio.sleep(0.05)
        evacuated.set()
        answer = await call
        assert [answer.count(b"data: e%d\n" % n) for n in range(1, 7)] == [
            1
        ] * 6
        assert beside.seen == []
        assert len(elsewhere.seen) == is_cut

    run_entry(use, stream, beside.complete_events, elsewhere.complete_events)


@pytest.mark.parametrize(
    ("regions", "evacuated", "kind"),
    [
        (("north",), (), "regions_unavailable"),
        ((), ("dc-3",), "upstreams_evacuated"),
        (("south",), ("dc-1", "dc-4", "dc-3"), "upstreams_evacuated"),
    ],
)
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_request_without_a_permitted_replica_is_refused_at_once(
    path: str,
    regions: tuple[str, ...],
    evacuated: tuple[str, ...],
    kind: str,
    run_entry: RunEntry,
) -> None:
    """Guards against a held request and against a refusal without a reason."""
    replica = Replica()

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-3")
        allow(entry, *regions)
        evacuate(entry, *evacuated)
        started_ms = entry.time.now_ms()
        answer = await entry.call(path, "POST")
        assert entry.time.now_ms() - started_ms < 500.0
        assert test_forwarder.status_of(answer) == 503
        body = json.loads(answer.split(b"\r\n\r\n", 1)[1])
        assert (body["ran"], body["error"]) == ("no", kind)
        head = test_forwarder.headers_of(answer).lower()
        (line,) = [x for x in head.split(b"\r\n") if b"retry-after" in x]
        assert 1.2 <= float(line.partition(b":")[2]) <= 1.8
        assert replica.seen == []

    run_entry(use, replica.serve)


def test_request_whose_region_drains_is_refused_at_once(
    run_entry: RunEntry,
) -> None:
    """Guards against a held request: replicas elsewhere never become usable."""
    draining, elsewhere = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-1", "dc-3")
        narrow(entry)
        view = entry.table.get("i-0")
        assert view is not None
        view.replica = msgspec.structs.replace(
            view.replica, state=fleet.ReplicaState.DRAINING
        )
        started_ms = entry.time.now_ms()
        answer = await entry.call("/safe/x")
        assert entry.time.now_ms() - started_ms < 500.0
        assert test_forwarder.status_of(answer) == 503
        assert b"no_upstream" in answer
        assert b"filter draining leaves no replica" in answer
        assert elsewhere.seen == []

    run_entry(use, draining.serve, elsewhere.serve)


def test_customer_without_a_common_region_is_served_nowhere(
    run_entry: RunEntry,
) -> None:
    """Guards against two lists with nothing in common that allow a region."""
    replica = Replica()

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-3")
        customer = fleet.Customer(
            customer_id=ids.CustomerId("c"),
            keys=["key"],
            priority=None,
            allowed_regions=NORTH,
        )
        routes = [
            msgspec.structs.replace(
                route, public=False, allowed_regions=("south",)
            )
            for route in conftest.CONFIG.routes
        ]
        entry.routes = route_table.RouteTable(
            msgspec.structs.replace(
                conftest.CONFIG, routes=routes, customers=[customer]
            )
        )
        answer = await entry.call("/safe/x", authorization="Bearer key")
        assert test_forwarder.status_of(answer) == 503
        assert b"regions_unavailable" in answer
        assert replica.seen == []

    run_entry(use, replica.serve)


@pytest.mark.parametrize("is_chosen", [False, True])
def test_request_waits_while_a_resumed_entry_learns_of_an_evacuation(
    is_chosen: bool, run_entry: RunEntry
) -> None:
    """Guards against a send on what was known before a suspension."""
    elsewhere, here = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        place(entry, "dc-3", "dc-1")
        pool = entry.forwarder._sender._pool(entry.table.get("i-0").replica)
        if is_chosen:
            opening = pool.open

            async def resume_while_opening() -> http1_client.ReplicaConnection:
                entry.holding = True
                return await opening()

            pool.open = resume_while_opening
        entry.holding = not is_chosen
        call = asyncio.create_task(entry.call("/safe/x"))
        await asyncio.sleep(0.1)
        assert not call.done()
        evacuate_south(entry)
        entry.holding = False
        assert test_forwarder.status_of(await call) == 200
        assert (len(elsewhere.seen), len(here.seen)) == (0, 1)

    run_entry(use, elsewhere.serve, here.serve)
