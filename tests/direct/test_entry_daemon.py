from __future__ import annotations

import asyncio

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import route_table
from marlramp.core.membership import members
from marlramp.direct import entry_daemon
from marlramp.experiments import processes
from marlramp.platform import lookup_pages
from marlramp.settings import node
from marlramp.shell import http1_server
from tests.direct import conftest

LATE_MS = 3_000.0
"""Time after SIGTERM from which a request has to be finished or refused; the
users accept cuts only of requests that were sent earlier."""


@pytest.fixture
def daemon() -> entry_daemon.EntryDaemon:
    """An entry that is not running."""
    address = node.Address("127.0.0.1", 1)
    addresses = node.EntryAddresses(
        callers=address, ready=address, lookup=address, control=address
    )
    settings = msgspec.structs.replace(conftest.SETTINGS, entry=addresses)
    return entry_daemon.EntryDaemon(settings, lambda: settings)


def test_draining_entry_refuses_requests_that_it_may_not_finish(
    daemon: entry_daemon.EntryDaemon, time: clock.ManualClock
) -> None:
    daemon._clock = time  # type: ignore[assignment]
    assert not daemon.refuses()
    daemon.drain("SIGTERM")
    time.advance(LATE_MS / 2)
    assert not daemon.refuses()
    assert daemon.closing
    time.advance(LATE_MS / 2)
    assert daemon.refuses()


def test_configuration_beyond_a_gap_is_not_served_alone(
    daemon: entry_daemon.EntryDaemon,
) -> None:
    """Guards against a start that knows no evacuation and no version."""
    config = catalog.ConfigChange(7, conftest.CONFIG)
    daemon._apply_changes(daemon._catalog.apply([config], clock.Millis(0.0)))
    assert daemon.routes is None
    assert daemon._state() is members.MemberState.STARTING
    daemon._catalog.advance(7)
    assert daemon.routes is not None


def test_request_beyond_the_grace_period_is_answered(
    daemon: entry_daemon.EntryDaemon,
) -> None:
    """Guards against a whole request that ends with the process."""

    async def stuck(
        _: http1_server.Request, __: http1_server.Responder
    ) -> None:
        await asyncio.sleep(60)

    async def answer_of_a_leaving_entry() -> bytes:
        bounds = msgspec.structs.replace(
            daemon._settings.bounds,
            grace_ms=entry_daemon.LEAVE_MARGIN_MS + 2 * entry_daemon.TICK_MS,
        )
        daemon._settings = msgspec.structs.replace(
            daemon._settings, bounds=bounds
        )
        daemon._callers = http1_server.CallerServer(
            stuck, daemon, daemon._clock
        )
        (port,) = processes.free_ports(1)
        await daemon._callers.start("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        daemon.drain("SIGTERM")
        await daemon._leave()
        async with asyncio.timeout(1):
            answer = await reader.read()
        writer.close()
        return answer

    answer = asyncio.run(answer_of_a_leaving_entry())
    assert answer.startswith(b"HTTP/1.1 500")


@pytest.mark.parametrize(
    ("host", "region", "data_centre", "expected"),
    [
        ("a.example", "south", "dc-3", {"dc-4", "dc-3"}),
        ("a.example", "south", "", {"dc-4", "dc-3"}),
        ("a.example", "north", "dc-1", {"dc-4"}),
        ("a.example", "", "", {"dc-4"}),
        ("b.example", "", "", {"dc-4", "dc-3"}),
        ("", "", "", {"dc-4", "dc-3"}),
    ],
)
def test_lookup_of_a_bound_host_names_entries_of_its_regions(
    host: str,
    region: str,
    data_centre: str,
    expected: set[str],
    daemon: entry_daemon.EntryDaemon,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that connect to an entry of another region."""
    ready = [
        members.Member(
            name, members.MemberKind.ENTRY, name, "127.0.0.1", 1, name
        )
        for name in ("dc-4", "dc-3")
    ]
    monkeypatch.setattr(daemon._fleet, "ready_entries", lambda: list(ready))
    routes = [
        msgspec.structs.replace(route, allowed_regions=("north",))
        for route in conftest.CONFIG.routes
    ]
    config = msgspec.structs.replace(conftest.CONFIG, routes=routes)
    daemon._routes = route_table.RouteTable(config)
    daemon._catalog.advance(1)
    lookup = lookup_pages.Lookup(host, region, data_centre)
    assert set(daemon._lookup(lookup)) == expected
    if host == "a.example":
        del ready[0]
        assert set(daemon._lookup(lookup)) == {"dc-3"}


def test_entry_shows_evacuations_and_cold_replicas(
    daemon: entry_daemon.EntryDaemon,
    cold_fleet: conftest.ColdFleet,
    logged: list[tuple[str, dict[str, object]]],
) -> None:
    """Metrics, pages and the periodic log read the state of the entry."""
    change = catalog.EvacuationChange(9, ids.DataCentreId("dc-2"), active=True)
    cold_fleet.apply(change)

    async def metrics_after_a_tick() -> str:
        daemon._build_shell()
        changes = cold_fleet.known.changes_after(0, clock.Millis(0.0))
        daemon._catalog.apply(changes, daemon._clock.now_ms())
        daemon._apply_changes(changes)
        daemon._tick()
        return (await daemon._metrics.text()).decode()

    text = asyncio.run(metrics_after_a_tick())
    values = {
        line.partition("{")[0]: line.split()[-1] for line in text.splitlines()
    }
    assert values["marlramp_evacuated_data_centres"] == "1.0"
    # The replica in dc-2 may have restarted during the evacuation.
    assert values["marlramp_cold_replicas"] == "2.0"
    events = [event for event, _ in logged]
    assert events.count("replica_cold") == 2
    paths = {"/evacuations", "/cold-replicas", "/regions"}
    assert paths <= set(daemon._page_server._pages)
