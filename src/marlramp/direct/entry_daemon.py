"""The entry on the direct path: one process on each entry VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core import catalog
from marlramp.core import crash_record
from marlramp.core import fleet
from marlramp.core import lifecycle
from marlramp.core import lookup_share
from marlramp.core import members
from marlramp.core import replica_table
from marlramp.core import replica_view
from marlramp.core import route_table
from marlramp.direct import crash_pages
from marlramp.direct import limit_pages
from marlramp.direct import metrics
from marlramp.direct import pause_pages
from marlramp.direct import settings_watch
from marlramp.direct import side_server
from marlramp.direct.calls import crash_watch
from marlramp.direct.calls import forwarder
from marlramp.direct.fleet import entry_fleet
from marlramp.direct.fleet import store_reader
from marlramp.platform import headers
from marlramp.platform import lookup_pages
from marlramp.platform import replica_api
from marlramp.platform import store
from marlramp.protocol import codec
from marlramp.settings import node
from marlramp.shell import address_probe
from marlramp.shell import http1_call
from marlramp.shell import http1_server
from marlramp.shell import member_links
from marlramp.shell import port_opener
from marlramp.shell import safely

TICK_MS = 100.0
LOOKUP_TTL_MS = 2_000.0
"""How long callers keep addresses: short, so that they leave a VM that went
down; each caller asks again that often."""

LEAVE_ACCEPT_MS = 2_800.0
"""After SIGTERM requests are taken this long. A stream may run for 6 s and the
process ends 7.3 s after the signal, so that what is taken later could be cut;
it is refused at once instead, and its caller goes to another entry."""

LEAVE_IDLE_CLOSE_MS = 2_800.0
LEAVE_MARGIN_MS = 700.0
"""The process ends this long before it would be killed."""

_MS = clock.MILLIS_PER_SECOND


class EntryDaemon:
    """Wires the entry's parts together."""

    def __init__(
        self,
        settings: node.NodeSettings,
        load: Callable[[], node.NodeSettings],
    ) -> None:
        """Creates the parts that need no event loop.

        Args:
          settings: the settings in force.
          load: reads them anew.

        Raises:
          ValueError: if the settings are not those of an entry.
        """
        if settings.entry is None:
            raise ValueError("an entry needs its addresses")
        self._settings = settings
        self._watch = settings_watch.SettingsWatch(
            load, settings, self._apply_settings
        )
        self._addresses = settings.entry
        self._clock = clock.SystemClock()
        self._totals = counters.Counters()
        self._lifecycle = lifecycle.Lifecycle()
        self._stopping = asyncio.Event()
        self._catalog = catalog.Catalog()
        self._table = replica_table.ReplicaTable()
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
        self._fleet = entry_fleet.EntryFleet(
            self._own,
            clock.unix_ms(),
            settings,
            self._catalog,
            self._table,
            self._crashes,
            self._changed,
            self._forget,
            self._set_cell,
            self._note_leaving,
            self._totals,
            self._clock,
        )
        self._metrics = metrics.Metrics(self._totals)
        self._forwarder = forwarder.Forwarder(
            self,
            self._catalog,
            self._table,
            headers.PlatformCallCodec(),
            settings,
            crash_watch.CrashWatch(
                self._crashes,
                address_probe.probe,
                self._fleet.announce_crashes,
                self._totals,
                self._clock,
            ),
            self._fleet.limits,
            self._totals,
            self._metrics,
            self._clock,
        )
        self._callers = http1_server.CallerServer(
            self._forwarder.handle, self, self._clock
        )
        self._side = self._build_side()
        self._left_ms: float | None = None

    def reload(self, reason: str) -> None:
        """Reads the settings anew."""
        self._watch.check(reason)

    def drain(self, reason: str) -> None:
        """Leaves the addresses, finishes what runs, then stops."""
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            return
        logs.log("draining", reason=reason)
        self._lifecycle.drain()
        self._left_ms = self._clock.now_ms()
        self._stopping.set()

    async def run(self) -> None:
        """Runs until drained."""
        self._build_shell()
        await self._ports.open_free()
        logs.log("entry_started", callers=self._addresses.callers)
        async with asyncio.TaskGroup() as group:
            works = {
                "store_reader": self._reader.run,
                "entry_ticks": self._tick_all,
                "settings_watch": self._watch.run,
                "load_exchange": self._fleet.exchange_loads,
                "piece_relay": self._fleet.relay_pieces,
                "ports": self._ports.run,
            }
            tasks = safely.start_all(group, works, self._totals, self._clock)
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
            store.StoreClient(self._caller, self._settings.store, self._totals),
            self._catalog,
            self._fleet.is_reader,
            self._fleet.publish,
            self._totals,
            self._clock,
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
                *self._side.openings(),
                port_opener.Opening(
                    "callers", callers.host, callers.port, self._callers.start
                ),
            ],
            self._totals,
        )

    def _build_side(self) -> side_server.SideServer:
        ttl_ms = min(LOOKUP_TTL_MS, self._settings.bounds.lookup_ttl_max_ms)
        pages = {
            **lookup_pages.build(self._lookup, ttl_ms / _MS, self._is_ready),
            **side_server.metrics_pages(self._metrics.text),
            **crash_pages.build(self._crashes, self._fleet.announce_crashes),
            **limit_pages.build(self._fleet.limits, self._table, self._clock),
            **pause_pages.build(self._table, self._clock),
        }
        addresses = {
            "lookup": self._addresses.lookup,
            "ready": self._addresses.ready,
            "metrics": side_server.metrics_address(self._settings),
        }
        return side_server.SideServer(pages, addresses, self._clock)

    async def _leave(self) -> None:
        """Lets callers go elsewhere and finishes their requests."""
        start_ms = self._clock.now_ms()
        end_ms = start_ms + self._settings.bounds.grace_ms - LEAVE_MARGIN_MS
        while self._clock.now_ms() < end_ms:
            now_ms = self._clock.now_ms()
            if now_ms - start_ms > LEAVE_IDLE_CLOSE_MS:
                self._callers.close_idle()
            if self.refuses() and not self._callers.busy:
                break
            await asyncio.sleep(TICK_MS / _MS)
        self._side.stop()
        self._callers.stop_listening()
        self._callers.close_idle()

    def _apply_settings(self, settings: node.NodeSettings) -> None:
        """Takes changed bounds and seeds; addresses need a restart."""
        self._settings = settings
        self._fleet.set_settings(settings)
        self._forwarder.set_settings(settings)

    # What the forwarder and the caller server ask for.

    @property
    def routes(self) -> route_table.RouteTable | None:
        """The configuration in force, None before the first."""
        return self._routes

    @property
    def entries(self) -> int:
        """The most entries known lately."""
        return self._fleet.entry_count

    def refuses(self) -> bool:
        """Whether this entry takes no new requests."""
        return (
            self._left_ms is not None
            and self._clock.now_ms() - self._left_ms > LEAVE_ACCEPT_MS
        )

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their answer."""
        return self._left_ms is not None

    def limits(self) -> fleet.CallerLimits:
        """Returns the bounds on callers in force."""
        if self._catalog.config is None:
            return fleet.CallerLimits()
        return self._catalog.config.limits

    def refused(self, error: errors.CallError) -> None:
        """Counts and logs a request that could not be read."""
        self._totals.add(counters.CounterName.REFUSALS, error.kind.value)
        logs.log("request_unreadable", kind=error.kind.value)

    # Addresses.

    def _is_ready(self) -> bool:
        return self._state() is members.MemberState.READY

    def _state(self) -> members.MemberState:
        if self._left_ms is not None:
            return members.MemberState.LEAVING
        if self._routes is None or not self._callers.listening:
            return members.MemberState.STARTING
        return members.MemberState.READY

    def _lookup(self, data_centre: str) -> list[str]:
        """Returns the entries for callers of a data centre, else this one."""
        found = self._fleet.ready_entries()
        if self._is_ready() or not found:
            found.append(self._own)
        data_centres = list(self._settings.regions)
        named = lookup_share.entries_for(data_centre, data_centres, found)
        return sorted(entry.callers for entry in named)

    # What changed.

    def _changed(self, changes: list[catalog.Change]) -> None:
        """Takes over what changed in the catalog."""
        now_ms = self._clock.now_ms()
        self._forget(self._table.sync(self._catalog, now_ms))
        configured = any(isinstance(c, catalog.ConfigChange) for c in changes)
        if configured and self._catalog.config is not None:
            self._routes = route_table.RouteTable(self._catalog.config)
            self._lifecycle.serve()

    def _set_cell(self, hosts: list[str]) -> None:
        """Takes the addresses of the VMs whose engines belong to the cell."""
        self._forwarder.set_cell(hosts)

    def _note_leaving(self, view: replica_view.ReplicaView) -> None:
        """Takes a replica that its agent reports to leave."""
        self._forwarder.note_leaving(view)

    def _forget(self, replica_ids: list[str]) -> None:
        """Drops what is kept of replicas that are gone."""
        self._forwarder.forget(replica_ids)
        self._fleet.forget(replica_ids)

    # Regular work.

    async def _tick_all(self) -> None:
        while True:
            safely.run_safely(self._tick, "entry_tick", self._totals)
            await asyncio.sleep(TICK_MS / _MS)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._fleet.sync.set_state(self._state())
        self._fleet.tick()
        self._links.close_idle()
        gone = self._catalog.tick(now_ms)
        for replica_id in gone:
            logs.log("replica_gone", replica=replica_id)
        if gone:
            self._forget(self._table.sync(self._catalog, now_ms))
        self._forwarder.tick()
