"""The entry process of the direct path, one on each entry VM.

The entry receives callers' requests and forwards them to replicas. It also
answers address lookups, readiness checks and the operators' pages.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.core.crashes import crash_record
from marlramp.core.membership import lifecycle
from marlramp.core.membership import lookup_share
from marlramp.core.membership import members
from marlramp.core.replicas import cold_shares
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.direct import cold_log
from marlramp.direct import cold_pages
from marlramp.direct import crash_pages
from marlramp.direct import limit_pages
from marlramp.direct import metrics
from marlramp.direct import page_server
from marlramp.direct import pause_pages
from marlramp.direct import placement_pages
from marlramp.direct import settings_watch
from marlramp.direct.calls import crash_detector
from marlramp.direct.calls import forwarder
from marlramp.direct.fleet import entry_fleet
from marlramp.direct.fleet import store_reader
from marlramp.platform import headers as platform_headers
from marlramp.platform import lookup_pages
from marlramp.platform import replica_api
from marlramp.platform import store
from marlramp.protocol import codec
from marlramp.settings import node
from marlramp.shell import address_probe
from marlramp.shell import caller_bounds
from marlramp.shell import http1_call
from marlramp.shell import http1_server
from marlramp.shell import member_links
from marlramp.shell import port_opener
from marlramp.shell import safely

TICK_MS = 100.0
LOOKUP_TTL_MS = 2_000.0
"""How long callers cache the addresses of a lookup. It is short, so that
callers leave a VM that is down; each caller repeats its lookup this often."""

LEAVE_ACCEPT_MS = 2_800.0
"""How long the entry accepts requests after SIGTERM. A stream may run for 6 s
and the process ends 7.3 s after the signal, so requests that are accepted later
could be cut. They are refused at once instead, and their callers go to another
entry."""

LEAVE_IDLE_CLOSE_MS = 2_800.0
"""Time after SIGTERM from which idle connections are closed."""

LEAVE_MARGIN_MS = 700.0
"""Time from the end of the process until it would be killed."""

_MS = clock.MILLIS_PER_SECOND


class EntryDaemon:
    """Creates, connects and runs the parts of an entry."""

    def __init__(
        self,
        settings: node.NodeSettings,
        load: Callable[[], node.NodeSettings],
    ) -> None:
        """Creates the parts that need no event loop.

        Args:
          settings: the settings in force.
          load: reads the settings file and returns its settings.

        Raises:
          ValueError: if the settings contain no addresses of an entry.
        """
        if settings.entry is None:
            raise ValueError("an entry's settings must contain its addresses")
        self._settings = settings
        self._watch = settings_watch.SettingsWatch(
            load, settings, self._apply_settings
        )
        self._addresses = settings.entry
        self._clock = clock.SystemClock()
        self._totals = counters.Counters()
        self._lifecycle = lifecycle.Lifecycle()
        self._stopping = asyncio.Event()
        self._catalog = catalog.Catalog(settings.regions)
        self._crashes = crash_record.CrashRecord()
        self._routes: route_table.RouteTable | None = None
        self._own = members.Member(
            vm_id=settings.vm_id,
            kind=members.MemberKind.ENTRY,
            data_centre=settings.data_centre,
            host=self._addresses.control.host,
            port=self._addresses.control.port,
            callers=str(self._addresses.callers),
        )
        self._table = replica_table.ReplicaTable(
            cold_shares.ColdShares(
                settings.vm_id,
                lambda: self._fleet.known_entries(),
                lambda: self._fleet.sync.roster.changes,
                lambda: bool(self._fleet.sync.other_seeds),
                self._clock,
            ),
            settings.heartbeat_ms,
        )
        self._fleet = entry_fleet.EntryFleet(
            self._own,
            clock.unix_ms(),
            settings,
            self._catalog,
            self._table,
            self._crashes,
            self._apply_changes,
            self._forget,
            self._set_cell,
            self._handle_leaving,
            self._totals,
            self._clock,
        )
        self._cold_log = cold_log.ColdLog(
            self._table, self._totals, self._clock
        )
        self._metrics = metrics.Metrics(
            self._totals,
            {
                metrics.Gauge.EVACUATED_DATA_CENTRES: lambda: len(
                    self._catalog.evacuated
                ),
                metrics.Gauge.COLD_REPLICAS: lambda: len(
                    cold_log.cold_views(self._table, self._clock.now_ms())
                ),
            },
        )
        self._forwarder = forwarder.Forwarder(
            self,
            self._catalog,
            self._table,
            platform_headers.PlatformCallCodec(),
            settings,
            crash_detector.CrashDetector(
                self._crashes,
                address_probe.probe,
                self._fleet.announce_crashes,
                self._fleet.makes_trial,
                self._totals,
                self._clock,
            ),
            self._fleet.limits,
            self._totals,
            self._metrics,
            self._clock,
        )
        self._caller_bounds = caller_bounds.CallerBounds(
            settings.vm_limits, self._totals, self._clock
        )
        self._callers = http1_server.CallerServer(
            self._forwarder.handle, self, self._clock, self._caller_bounds
        )
        self._page_server = self._build_page_server()
        self._leaving_since_ms: float | None = None

    def reload(self, reason: str) -> None:
        """Reads the settings file again and applies what changed."""
        self._watch.check(reason)

    def drain(self, reason: str) -> None:
        """Stops the entry after its running requests.

        The entry announces that it leaves and accepts requests for another
        LEAVE_ACCEPT_MS.
        """
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            return
        logs.log("draining", reason=reason)
        self._lifecycle.drain()
        self._leaving_since_ms = self._clock.now_ms()
        self._stopping.set()

    async def run(self) -> None:
        """Runs the entry until it is drained."""
        self._build_shell()
        await self._ports.open_free()
        logs.log("entry_started", callers=self._addresses.callers)
        async with asyncio.TaskGroup() as group:
            loops = {
                "store_reader": self._reader.run,
                "entry_ticks": self._tick_all,
                "settings_watch": self._watch.run,
                "load_exchange": self._fleet.exchange_loads,
                "piece_relay": self._fleet.relay_pieces,
                "ports": self._ports.run,
            }
            tasks = safely.start_all(group, loops, self._totals, self._clock)
            await self._stopping.wait()
            await self._leave()
            for task in tasks:
                task.cancel()
        self._lifecycle.stop()
        self._links.close_all()
        logs.log("entry_stopped")

    def _build_shell(self) -> None:
        self._links = member_links.MemberLinks(
            self._settings.vm_id,
            codec.member_decoder(),
            self._fleet.on_message,
            self._totals,
            self._clock,
            self._fleet.is_near_vm,
        )
        self._caller = http1_call.HttpCaller(self._clock)
        self._reader = store_reader.StoreReader(
            store.StoreClient(
                self._caller,
                self._settings.store,
                self._settings.regions,
                self._totals,
            ),
            self._catalog,
            self._fleet.is_reader,
            self._fleet.publish,
            self._totals,
            self._clock,
            self._fleet.was_store_failure_reported,
        )
        self._fleet.attach(
            self._links,
            self._reader,
            lambda address: replica_api.OriginApi(self._caller, address),
        )
        control = self._addresses.control
        callers = self._addresses.callers
        self._ports = port_opener.PortOpener(
            [
                port_opener.Opening(
                    "control", control.host, control.port, self._links.listen
                ),
                *self._page_server.openings(),
                port_opener.Opening(
                    "callers", callers.host, callers.port, self._callers.start
                ),
            ],
            self._totals,
        )

    def _build_page_server(self) -> page_server.PageServer:
        ttl_ms = min(LOOKUP_TTL_MS, self._settings.bounds.lookup_ttl_max_ms)
        pages = {
            **lookup_pages.build(self._lookup, ttl_ms / _MS, self._is_ready),
            **page_server.metrics_pages(self._metrics.text),
            **crash_pages.build(self._crashes, self._fleet.announce_crashes),
            **limit_pages.build(self._fleet.limits, self._table, self._clock),
            **pause_pages.build(self._table, self._clock),
            **cold_pages.build(self._table, self._clock),
            **placement_pages.build(
                lambda: self.routes,
                self._catalog,
                self._table,
                self._settings.regions,
            ),
        }
        addresses = {
            "lookup": self._addresses.lookup,
            "ready": self._addresses.ready,
            "metrics": page_server.metrics_address(self._settings),
        }
        return page_server.PageServer(
            pages, addresses, self._totals, self._clock, self._caller_bounds
        )

    async def _leave(self) -> None:
        """Finishes the running requests while callers go to other entries."""
        start_ms = self._clock.now_ms()
        end_ms = start_ms + self._settings.bounds.grace_ms - LEAVE_MARGIN_MS
        while self._clock.now_ms() < end_ms:
            now_ms = self._clock.now_ms()
            if now_ms - start_ms > LEAVE_IDLE_CLOSE_MS:
                self._callers.close_idle()
            if self.refuses() and not self._callers.busy:
                break
            await asyncio.sleep(TICK_MS / _MS)
        self._page_server.stop()
        await self._callers.finish()

    def _apply_settings(self, settings: node.NodeSettings) -> None:
        """Applies changed bounds and seeds; new addresses need a restart."""
        self._settings = settings
        self._caller_bounds.set_limits(settings.vm_limits)
        self._fleet.set_settings(settings)
        self._forwarder.set_settings(settings)

    # Methods that the forwarder and the caller server call.

    @property
    def routes(self) -> route_table.RouteTable | None:
        """The routes in force, None before the first configuration.

        An update beyond a gap may bring a configuration before this entry knows
        the versions of the weights and the evacuations.
        """
        return self._routes if self._catalog.revision > 0 else None

    @property
    def entries(self) -> int:
        """Number of entries by which bounds over the fleet are divided."""
        return self._fleet.entry_count

    @property
    def entries_are_provisional(self) -> bool:
        """Whether a better number of entries is due soon."""
        return self._fleet.entry_count_is_provisional

    def refuses(self) -> bool:
        """Returns whether this entry refuses new requests."""
        return (
            self._leaving_since_ms is not None
            and self._clock.now_ms() - self._leaving_since_ms > LEAVE_ACCEPT_MS
        )

    def holds_requests(self) -> bool:
        """Returns whether requests wait until missed changes have arrived."""
        return self._fleet.holds_requests()

    @property
    def closing(self) -> bool:
        """Whether each connection is closed after its current answer."""
        return self._leaving_since_ms is not None

    def limits(self) -> fleet.CallerLimits:
        """Returns the limits on callers in force."""
        if self._catalog.config is None:
            return fleet.CallerLimits()
        return self._catalog.config.limits

    def refused(
        self, error: errors.CallError, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Counts and logs a request that was rejected while being read."""
        self._totals.add(counters.CounterName.REFUSALS, error.kind.value)
        logs.log(
            "request_unreadable",
            request=platform_headers.request_id_in(headers),
            kind=error.kind.value,
        )

    def unanswered(
        self,
        request: http1_server.Request,
        reason: http1_server.UnansweredReason,
    ) -> None:
        """Counts and logs a request that gets no complete answer."""
        self._totals.add(counters.CounterName.UNANSWERED, reason.value)
        event = "request_unanswered"
        if reason is http1_server.UnansweredReason.CALLER_LEFT:
            # A routine event, whose lines are limited.
            event = "caller_left"
        waited_ms = self._clock.now_ms() - request.first_byte_ms
        logs.log(
            event,
            request=platform_headers.request_id(request),
            reason=reason.value,
            waited_ms=round(waited_ms),
        )

    # Addresses.

    def _is_ready(self) -> bool:
        return self._state() is members.MemberState.READY

    def _state(self) -> members.MemberState:
        if self._leaving_since_ms is not None:
            return members.MemberState.LEAVING
        if self.routes is None or not self._callers.listening:
            return members.MemberState.STARTING
        return members.MemberState.READY

    def _lookup(self, lookup: lookup_pages.Lookup) -> list[str]:
        """Returns the addresses of the entries for a caller.

        For a host whose routes allow only some regions, the entries are in
        these regions or in the caller's region. Without another ready entry
        this entry is included even if it is not ready itself.
        """
        found = self._fleet.ready_entries()
        if self._is_ready() or not found:
            found.append(self._own)
        regions = self._settings.regions
        allowed = None
        routes = self.routes
        if routes is not None:
            allowed = routes.allowed_regions_of_host(lookup.host)
        if allowed is not None:
            own = regions.get(lookup.data_centre, lookup.region)
            found = lookup_share.in_permitted_regions(
                found, allowed | {own}, regions
            )
        selected = lookup_share.entries_for(
            lookup.data_centre, list(regions), found
        )
        return sorted(entry.callers for entry in selected)

    # Changes of the fleet.

    def _apply_changes(self, changes: list[catalog.Change]) -> None:
        """Updates the replica table and the routes from the catalog."""
        now_ms = self._clock.now_ms()
        self._forget(self._table.sync(self._catalog, now_ms))
        for change in changes:
            if isinstance(change, catalog.EvacuationChange):
                self._table.suspect_cold(change.data_centre, now_ms)
        has_new_config = any(
            isinstance(c, catalog.ConfigChange) for c in changes
        )
        if has_new_config and self._catalog.config is not None:
            self._routes = route_table.RouteTable(self._catalog.config)
            self._lifecycle.serve()

    def _set_cell(self, hosts: list[str]) -> None:
        """Sets the hosts of the VMs whose engines belong to the cell."""
        self._forwarder.set_cell(hosts)

    def _handle_leaving(self, view: replica_view.ReplicaView) -> None:
        """Handles an agent's report that its replica leaves."""
        self._forwarder.record_leaving(view)

    def _forget(self, replica_ids: list[str]) -> None:
        """Drops the state that is kept of removed replicas."""
        self._forwarder.forget(replica_ids)
        self._fleet.forget(replica_ids)

    # Periodic work.

    async def _tick_all(self) -> None:
        while True:
            safely.run_safely(self._tick, "entry_tick", self._totals)
            await asyncio.sleep(TICK_MS / _MS)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._fleet.sync.set_state(self._state())
        self._fleet.tick()
        self._links.close_idle()
        removed = self._catalog.tick(now_ms)
        for replica_id in removed:
            logs.log("replica_gone", replica=replica_id)
        if removed:
            self._forget(self._table.sync(self._catalog, now_ms))
        self._forwarder.tick()
        self._cold_log.tick()
