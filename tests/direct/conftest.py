"""Fixtures that run an entry's forwarder against scripted replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp import logs
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.core.crashes import crash_record
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.direct import metrics
from marlramp.direct.calls import crash_detector
from marlramp.direct.calls import forwarder
from marlramp.direct.calls import rate_limits
from marlramp.platform import headers
from marlramp.settings import node
from marlramp.shell import address_probe
from marlramp.shell import http1_server
from standins import raw_http

SETTINGS = node.NodeSettings(
    vm_id=ids.VmId("vm-1"),
    role=node.NodeRole.ENTRY,
    host="127.0.0.1",
    data_centre=ids.DataCentreId("dc-1"),
    region="north",
    regions={"dc-1": "north", "dc-3": "south", "dc-4": "north"},
    seeds=[],
    own_ports=(0, 0),
    store=node.Address("127.0.0.1", 1),
    heartbeat_ms=1_200.0,
    link_bytes_per_s=1e9,
    bounds=node.Bounds(
        drain_ms=2_000.0,
        grace_ms=8_000.0,
        config_apply_ms=2_000.0,
        version_ms=8_000.0,
        retry_ratio=0.2,
        retry_window_ms=10_000.0,
        retry_slack=104.0,
        lookup_ttl_max_ms=5_000.0,
    ),
)


def route(kind: fleet.RouteKind, name: str) -> fleet.Route:
    """Returns a route from the path prefix /NAME/ to service "s"."""
    return fleet.Route(
        name=name,
        host="a.example",
        path_prefix=f"/{name}/",
        kind=kind,
        targets=[fleet.ServiceShare(ids.ServiceId("s"), 1.0)],
        timeout_ms=1_500.0,
        objective_ms=400.0,
        pause_objective_ms=400.0,
        priority=1,
        attempts_max=2,
        public=True,
        resumable=True,
    )


CONFIG = fleet.FleetConfig(
    version=1,
    routes=[
        route(fleet.RouteKind.IDEMPOTENT, "safe"),
        route(fleet.RouteKind.NON_IDEMPOTENT, "once"),
        route(fleet.RouteKind.STREAMING, "stream"),
        msgspec.structs.replace(
            route(fleet.RouteKind.STREAMING, "whole"), resumable=False
        ),
    ],
    services=[fleet.Service(service_id=ids.ServiceId("s"), connections_max=64)],
    customers=None,
    limits=fleet.CallerLimits(),
)


ENGINE = fleet.EngineSpec(
    model="m",
    batch=16,
    step_ms=1.0,
    per_request_ms=0.01,
    per_context_token_ms=0.0,
    steps_per_pass=5,
    read_tokens_per_ms=100.0,
    memory_tokens=317_000,
    layers=16,
    load_ms=300.0,
    pieces=64,
    piece_bytes=32_768,
)


class FixedShares:
    """Shares of an entry that may send 4 requests per second everywhere."""

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        """Returns the share."""
        return 4


class ColdFleet:
    """A table of one cold replica in dc-1 and one warm replica in dc-2."""

    def __init__(self, time: clock.Clock) -> None:
        """Creates the catalog and the table.

        Args:
          time: the clock.
        """
        self.time = time
        self.known = catalog.Catalog()
        (service,) = CONFIG.services
        service = msgspec.structs.replace(
            service, cold_start_ms=6_000.0, cold_per_s=17.0
        )
        config = msgspec.structs.replace(CONFIG, services=[service])
        self.known.apply([catalog.ConfigChange(1, config)], time.now_ms())
        self.table = replica_table.ReplicaTable(
            FixedShares(), SETTINGS.heartbeat_ms
        )
        self.list_replica("i-1", "dc-1", 5_000.0)
        self.list_replica("i-2", "dc-2", 0.0)

    def list_replica(
        self, replica_id: str, data_centre: str, cold_left_ms: float
    ) -> replica_view.ReplicaView:
        """Applies a new record of a replica and returns the replica's view."""
        replica = fleet.Replica(
            replica_id=replica_id,
            service_id=ids.ServiceId("s"),
            address=replica_id,
            data_centre=ids.DataCentreId(data_centre),
            slots=8,
            state=fleet.ReplicaState.HEALTHY,
            weights=None,
            cold_left_ms=cold_left_ms,
        )
        self.apply(
            catalog.ReplicaChange(self.known.revision + 1, replica_id, replica)
        )
        view = self.table.get(replica_id)
        assert view is not None
        return view

    def apply(self, change: catalog.Change) -> None:
        """Applies a change of the catalog."""
        self.known.apply([change], self.time.now_ms())
        self.known.advance(change.revision)
        self.table.sync(self.known, self.time.now_ms())


@pytest.fixture
def cold_fleet(time: clock.ManualClock) -> ColdFleet:
    """A table of one cold and one warm replica."""
    return ColdFleet(time)


@pytest.fixture
def logged(
    monkeypatch: pytest.MonkeyPatch,
) -> list[tuple[str, dict[str, object]]]:
    """Events and fields that are logged during the test."""
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        logs, "log", lambda event, **fields: lines.append((event, fields))
    )
    return lines


class SuspendedClock:
    """The system's clock plus a suspended time that tests set."""

    def __init__(self) -> None:
        """Starts without suspended time."""
        self._clock = clock.SystemClock()
        self.suspended_ms = 0.0

    def now_ms(self) -> clock.Millis:
        """Returns the system's time plus the suspended time."""
        return clock.Millis(self._clock.now_ms() + self.suspended_ms)


class Entry:
    """A caller server and a forwarder that sends to the given replicas."""

    def __init__(self, addresses: list[str]) -> None:
        """Creates an entry that knows one replica at each address."""
        self.leaving = False
        self.holding = False
        self.routes: route_table.RouteTable | None = route_table.RouteTable(
            CONFIG
        )
        self.entries = 1
        self.entries_are_provisional = False
        self.closing = False
        self.unanswered_reasons: list[http1_server.UnansweredReason] = []
        self.catalog = catalog.Catalog()
        self.table = replica_table.ReplicaTable()
        self.time = SuspendedClock()
        time = self.time
        changes: list[catalog.Change] = [
            catalog.ReplicaChange(
                number + 1,
                f"i-{number}",
                fleet.Replica(
                    replica_id=f"i-{number}",
                    service_id=ids.ServiceId("s"),
                    address=address,
                    data_centre=ids.DataCentreId("dc-1"),
                    slots=8,
                    state=fleet.ReplicaState.HEALTHY,
                    weights=None,
                ),
            )
            for number, address in enumerate(addresses)
        ]
        self.catalog.apply(changes, time.now_ms())
        self.table.sync(self.catalog, time.now_ms())
        # The first script runs on the fastest replica, which is picked first.
        for number, view in enumerate(self.table):
            view.answer_ms *= 2.0**number
            view.answers = replica_view.ANSWERS_MAX
            view.answered_ms = time.now_ms()
        self.totals = counters.Counters()
        self.crashes = crash_record.CrashRecord()
        self.presence: address_probe.Presence | None = None
        self.forwarder = forwarder.Forwarder(
            self,
            self.catalog,
            self.table,
            headers.PlatformCallCodec(),
            SETTINGS,
            crash_detector.CrashDetector(
                self.crashes,
                self._probe,
                lambda: None,
                lambda _: True,
                self.totals,
                time,
            ),
            rate_limits.Unlimited(),
            self.totals,
            metrics.Metrics(self.totals),
            time,
        )
        self.server = http1_server.CallerServer(
            self.forwarder.handle, self, time
        )

    def refuses(self) -> bool:
        """Returns whether new requests are refused."""
        return self.leaving

    def holds_requests(self) -> bool:
        """Returns whether requests wait for missed changes."""
        return self.holding

    def limits(self) -> fleet.CallerLimits:
        """Returns the limits on callers in force."""
        return CONFIG.limits

    def refused(
        self, error: errors.CallError, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Ignores requests that could not be parsed."""

    def unanswered(
        self,
        request: http1_server.Request,
        reason: http1_server.UnansweredReason,
    ) -> None:
        """Collects why requests got no complete answer."""
        self.unanswered_reasons.append(reason)

    async def _probe(self, address: str) -> address_probe.Presence:
        """Probes a replica, or returns what the test has set."""
        if self.presence is not None:
            return self.presence
        return await address_probe.probe(address)

    def serve_engines(self) -> None:
        """Configures the replicas as model engines."""
        (service,) = CONFIG.services
        services = [msgspec.structs.replace(service, engine=ENGINE)]
        config = msgspec.structs.replace(CONFIG, services=services)
        self.routes = route_table.RouteTable(config)

    def name_version(self, version: int, age_ms: float) -> None:
        """Adds a version of the weights that was announced `age_ms` ago."""
        target = fleet.WeightsTarget(model=ENGINE.model, version=version)
        ages = event_time.Ages(age_ms, age_ms)
        change = catalog.TargetChange(100 + version, target, ages)
        self.catalog.apply([change], self.time.now_ms())

    async def call(
        self,
        path: str,
        method: str = "GET",
        wait_ms: int = 1_000,
        parts: str = "",
        authorization: str = "",
    ) -> bytes:
        """Sends one request and returns all bytes of the answer."""
        reader, writer = await self.connect(
            path, method, wait_ms, parts, authorization
        )
        data = b""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(65_536):
                data += part
        writer.close()
        return data

    async def connect(
        self,
        path: str,
        method: str = "GET",
        wait_ms: int = 1_000,
        parts: str = "",
        authorization: str = "",
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends one request and returns its connection."""
        assert self.server._server is not None
        port = self.server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: a.example\r\n"
            f"x-attempt-id: id-1\r\nx-deadline-ms: {wait_ms}\r\n"
            f"x-prefix-hash: {parts}\r\nauthorization: {authorization}\r\n"
            "connection: close\r\ncontent-length: 0\r\n\r\n".encode()
        )
        return reader, writer


EntryTest: TypeAlias = Callable[[Entry], Awaitable[None]]
RunEntry: TypeAlias = Callable[..., None]


@pytest.fixture
def run_entry() -> RunEntry:
    """Returns a function that runs a test against scripted replicas."""

    def run(test: EntryTest, *scripts: raw_http.Script) -> None:
        async def main() -> None:
            async with contextlib.AsyncExitStack() as stack:
                servers = [
                    await stack.enter_async_context(
                        raw_http.ScriptedServer(script)
                    )
                    for script in scripts
                ]
                entry = Entry([server.address for server in servers])
                await entry.server.start("127.0.0.1", 0)
                async with asyncio.timeout(5):
                    await test(entry)
                entry.server.stop_listening()

        asyncio.run(main())

    return run
