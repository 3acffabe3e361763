"""Tests of the pages and commands that show where requests may run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.console import application
from marlramp.console import exit_codes
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.direct import cold_pages
from marlramp.direct import page_server
from marlramp.direct import placement_pages
from marlramp.experiments import processes
from marlramp.settings import node
from tests.direct import conftest

REGIONS = {"dc-1": "north", "dc-2": "south"}

Run: TypeAlias = Callable[..., tuple[int, str]]


def routes() -> route_table.RouteTable:
    """Routes of two hosts; the customer and one host allow one region."""
    (route, *_) = conftest.CONFIG.routes
    config = msgspec.structs.replace(
        conftest.CONFIG,
        routes=[
            msgspec.structs.replace(route, public=False),
            msgspec.structs.replace(
                route, host="b.example", allowed_regions=("south",)
            ),
        ],
        customers=[
            fleet.Customer(
                customer_id=ids.CustomerId("c"),
                keys=["key"],
                priority=None,
                allowed_regions=("north",),
            )
        ],
    )
    return route_table.RouteTable(config)


@pytest.fixture
def run(
    cold_fleet: conftest.ColdFleet,
    time: clock.ManualClock,
    capsys: pytest.CaptureFixture[str],
) -> Run:
    """Runs a command against an entry's pages; dc-1 is evacuated."""
    change = catalog.EvacuationChange(9, ids.DataCentreId("dc-1"), active=True)
    cold_fleet.apply(change)

    def run(
        name: str, *options: str, configured: bool = True
    ) -> tuple[int, str]:
        pages = {
            **cold_pages.build(cold_fleet.table, time),
            **placement_pages.build(
                lambda: routes() if configured else None,
                cold_fleet.known,
                cold_fleet.table,
                REGIONS,
            ),
        }
        (port,) = processes.free_ports(1)
        server = page_server.PageServer(
            pages,
            {"pages": node.Address("127.0.0.1", port)},
            counters.Counters(),
            clock.SystemClock(),
        )

        def call() -> int:
            url = f"http://127.0.0.1:{port}"
            with pytest.raises(SystemExit) as ended:
                application.app([name, url, *options])
            return int(ended.value.code or 0)

        async def main() -> int:
            (opening,) = server.openings()
            await opening.start(opening.host, opening.port)
            code = await asyncio.to_thread(call)
            server.stop()
            return code

        code = asyncio.run(main())
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    return run


def test_evacuated_data_centres_are_shown(run: Run) -> None:
    code, printed = run("evacuations", "--json")
    assert code == exit_codes.ExitCode.OK
    assert msgspec.json.decode(printed) == [
        {
            "data_centre": "dc-1",
            "region": "north",
            "revision": 9,
            "replicas": 1,
            "in_flight": 0,
        }
    ]
    assert "dc-1" in run("evacuations")[1]


def test_cold_replicas_are_shown_with_the_share_of_the_entry(run: Run) -> None:
    code, printed = run("cold", "--json")
    assert code == exit_codes.ExitCode.OK
    assert msgspec.json.decode(printed) == [
        {
            "replica": "i-1",
            "service": "s",
            "data_centre": "dc-1",
            "tolerated_per_s": 17.0,
            "share_per_s": 4,
            "left_ms": 5_000,
            "room_in_ms": 0,
            "reason": "listed",
        }
    ]
    assert "i-1" in run("cold")[1]


@pytest.mark.parametrize(
    ("options", "restricted", "replicas", "evacuated"),
    [
        (["--host", "A.example"], False, {"north": 1, "south": 1}, 1),
        (["--host", "a.example", "--customer", "c"], True, {"north": 1}, 1),
        # A request to a public route carries no customer.
        (["--host", "b.example", "--customer", "c"], True, {"south": 1}, 0),
    ],
)
def test_allowed_regions_are_those_that_requests_use(
    run: Run,
    options: list[str],
    restricted: bool,
    replicas: dict[str, int],
    evacuated: int,
) -> None:
    code, printed = run("regions", *options, "--json")
    assert code == exit_codes.ExitCode.OK
    (row,) = msgspec.json.decode(printed)
    assert row["regions"] == list(replicas)
    assert (row["restricted"], row["service"]) == (restricted, "s")
    assert (row["replicas"], row["evacuated"]) == (replicas, evacuated)
    assert "north=1" in run("regions", "--host", "a.example")[1]


@pytest.mark.parametrize(
    ("options", "text"),
    [
        (["--host", "x.example"], "no route has the host x.example"),
        (["--host", ""], "the host is missing"),
        (
            ["--host", "a.example", "--customer", "d"],
            "the customer d is not configured",
        ),
    ],
)
def test_unknown_host_or_customer_is_named(
    run: Run, options: list[str], text: str
) -> None:
    code, printed = run("regions", *options)
    assert code == exit_codes.ExitCode.USAGE
    assert text in printed


def test_regions_before_the_first_configuration(run: Run) -> None:
    code, printed = run("regions", "--host", "a.example", configured=False)
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert "no configuration is in force yet" in printed
