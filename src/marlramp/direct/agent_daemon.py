"""The agent process of the direct path, one beside each model engine.

The agent keeps its engine at the named weights and reports the engine's load to
the entries. Requests do not pass through the agent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core.membership import lifecycle
from marlramp.core.membership import members
from marlramp.core.replicas import engine_state
from marlramp.core.replicas import loaded_weights
from marlramp.core.replicas import replica_view
from marlramp.core.weights import swap_schedule
from marlramp.direct import metrics
from marlramp.direct import page_server
from marlramp.direct import settings_watch
from marlramp.direct.fleet import crash_backup
from marlramp.direct.fleet import entry_contacts
from marlramp.direct.fleet import named_weights
from marlramp.direct.fleet import version_ages
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import version_digests
from marlramp.direct.weights import weights_loader
from marlramp.platform import clients
from marlramp.platform import replica_api
from marlramp.platform import store
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import http1_call
from marlramp.shell import member_links
from marlramp.shell import port_opener
from marlramp.shell import safely

TICK_MS = 100.0
REPORT_POLL_MS = 100.0
"""Time between two reads of the engine's report, half of the least time between
two reports to entries. An engine's report is about 200 ms old, so reading it
more often costs processor time and returns little that is new."""

NEAR_REPORT_MS = 200.0
"""Least time between two reports to the entries of the agent's region while
only the load changes.

Entries of other regions send requests to this engine only if their own engines
would start them later, and the number of reports to all entries would grow with
the square of the fleet's size."""

REPORT_MAX_MS = 500.0
"""Longest time between two reports to any entry, a third of the time for which
a report is valid."""

NEW_VERSION_MS = 2_000.0
"""Age of a version up to which no agent holds it completely, since fetching a
version takes twice as long."""

_MS = clock.MILLIS_PER_SECOND


class AgentDaemon:
    """Creates, connects and runs the parts of an agent."""

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
          ValueError: if the settings contain no replica address.
        """
        if settings.replica is None:
            raise ValueError(
                "an agent's settings must contain the address of its replica"
            )
        self._settings = settings
        self._watch = settings_watch.SettingsWatch(
            load, settings, self._apply_settings
        )
        self._replica = settings.replica
        self._clock = clock.SystemClock()
        self._totals = counters.Counters()
        self._lifecycle = lifecycle.Lifecycle()
        self._stopping = asyncio.Event()
        self._own = members.Member(
            vm_id=settings.vm_id,
            kind=members.MemberKind.AGENT,
            data_centre=settings.data_centre,
            host=settings.host,
            port=settings.own_ports[0],
        )
        self._contacts = entry_contacts.EntryContacts(
            self._own,
            clock.unix_ms(),
            settings.seeds,
            self._set_peers,
            self._set_relays,
            self._clock,
        )
        self._exchange = piece_exchange.PieceExchange(
            self._own, settings.link_bytes_per_s, self._totals, self._clock
        )
        self._caller_bounds = caller_bounds.CallerBounds(
            settings.vm_limits, self._totals, self._clock
        )
        self._page_server = page_server.PageServer(
            page_server.metrics_pages(metrics.Metrics(self._totals).text),
            {"metrics": page_server.metrics_address(settings)},
            self._totals,
            self._clock,
            self._caller_bounds,
        )
        self._weights = named_weights.NamedWeights(
            self._set_origin, self._clock
        )
        self._loading_order = swap_schedule.LoadingOrder(settings.vm_id)
        self._may_cut = False
        self._is_reached: bool | None = None
        self._reads = 0
        self._applied_read = 0
        self._report: engine_state.EngineReport | None = None
        self._last_sent: replica_view.LoadReport | None = None
        self._last_sent_ms = float("-inf")
        self._last_sent_all_ms = float("-inf")

    def reload(self, reason: str) -> None:
        """Reads the settings file again and applies what changed."""
        self._watch.check(reason)

    def drain(self, reason: str) -> None:
        """Stops the agent; the engine continues to serve without it."""
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            return
        logs.log("draining", reason=reason)
        self._lifecycle.drain()
        self._stopping.set()

    async def run(self) -> None:
        """Runs the agent until it is drained."""
        self._caller = http1_call.HttpCaller(self._clock)
        self._engine = replica_api.ReplicaApi(self._caller, self._replica)
        self._store = store.StoreClient(
            self._caller,
            self._settings.store,
            self._settings.regions,
            self._totals,
        )
        self._build_links()
        self._loader = weights_loader.WeightsLoader(
            self,
            self._engine,
            self._exchange,
            self._report_to_all,
            self._totals,
            self._clock,
        )
        await self._ports.open_free()
        logs.log("agent_started", replica=self._replica)
        async with asyncio.TaskGroup() as group:
            loops = {
                "piece_exchange": self._exchange.run,
                "engine_watch": self._watch_engine,
                "agent_ticks": self._tick_all,
                "settings_watch": self._watch.run,
                "weights_loader": self._loader.run,
                "store_reads": self._read_unguided,
                "ports": self._ports.run,
            }
            tasks = safely.start_all(group, loops, self._totals, self._clock)
            await self._stopping.wait()
            for task in tasks:
                task.cancel()
        self._page_server.stop()
        self._lifecycle.stop()
        self._entry_links.close_all()
        self._peer_links.close_all()
        logs.log("agent_stopped")

    def _build_links(self) -> None:
        self._entry_links = member_links.MemberLinks(
            self._settings.vm_id,
            codec.member_decoder(),
            self._on_entry_message,
            self._totals,
            self._clock,
        )
        self._peer_links = member_links.MemberLinks(
            self._settings.vm_id,
            codec.agent_peer_decoder(),
            self._exchange.on_message,
            self._totals,
            self._clock,
        )
        self._ports = port_opener.PortOpener(
            [
                port_opener.Opening(
                    "links",
                    self._own.host,
                    self._own.port,
                    self._peer_links.listen,
                ),
                *self._page_server.openings(),
            ],
            self._totals,
        )
        self._contacts.attach(self._entry_links)
        self._ages = version_ages.VersionAges(
            self._weights.catalog,
            self._entry_links.send,
            self._pick_coordinator,
            self._clock,
        )
        self._crashes = crash_backup.CrashBackup(
            self._contacts,
            self._entry_links.send,
            self._clock,
            random.Random(),
        )
        self._exchange.attach(self._peer_links)
        self._exchange.attach_relays(self._entry_links)

    def _apply_settings(self, settings: node.NodeSettings) -> None:
        """Applies changed bounds and seeds; new addresses need a restart."""
        self._settings = settings
        self._caller_bounds.set_limits(settings.vm_limits)
        self._contacts.set_seeds(settings.seeds)

    # Methods that the weights loader calls.

    def wanted(self) -> version_digests.ModelVersion | None:
        """Returns the weights to serve, None if they are unknown."""
        return self._weights.wanted()

    def report(self) -> engine_state.EngineReport | None:
        """Returns the engine's last report, None while it is unreachable."""
        return self._report

    async def read_report(self) -> engine_state.EngineReport | None:
        """Reads a report from the engine.

        A change of the weights, a restart of the engine and the start of its
        shutdown are reported to all entries at once.

        Returns:
          The report, None if the engine cannot be reached.
        """
        try:
            engine = self._weights.engine
            layers = None if engine is None else engine.layers
            self._reads += 1
            read = self._reads
            report = await self._engine.report(layers)
        except clients.PlatformError as error:
            if self._is_reached is not False:
                logs.log("engine_lost", detail=error)
            self._is_reached = False
            self._report = None
            return None
        if read < self._applied_read:
            # A read that was begun later has ended already.
            return self._report
        self._applied_read = read
        if not self._is_reached:
            logs.log("engine_reached", weights=report.weights)
        self._is_reached = True
        before = self._report
        changed = before is None or before.weights != report.weights
        if before is not None and before.born_ms != report.born_ms:
            logs.log("engine_restarted", born_ms=report.born_ms)
            changed = True
        if report.leaving and (before is None or not before.leaving):
            logs.log("engine_leaving", born_ms=report.born_ms)
            changed = True
        self._loader.record_report(report)
        self._report = report
        if changed:
            self._report_to_all()
        return report

    def load_start_ms(
        self, wanted: version_digests.ModelVersion, pieces_ready_ms: float
    ) -> float:
        """Returns when the engine may start to load a version.

        Args:
          wanted: the version.
          pieces_ready_ms: when the engine's pieces are complete.

        Returns:
          A time on the agent's clock, minus infinity if the engine may load at
          once.
        """
        position = self._loading_order.position(
            wanted.name,
            self._clock.now_ms(),
            peers_known=self._contacts.knows_neighbours,
        )
        return swap_schedule.load_start_ms(
            self._schedule(wanted), position, pieces_ready_ms
        )

    def drain_ms(
        self, wanted: version_digests.ModelVersion, pieces_ready_ms: float
    ) -> float:
        """Returns how long running requests may continue before they are cut.

        Args:
          wanted: the version that the engine is about to load.
          pieces_ready_ms: when the engine's pieces were complete.
        """
        schedule = self._schedule(wanted)
        return 0.0 if schedule is None else schedule.drain_ms(pieces_ready_ms)

    def _schedule(
        self, wanted: version_digests.ModelVersion
    ) -> swap_schedule.SwapSchedule | None:
        """Returns the schedule of a version, None if its age is unknown."""
        target = self._weights.target(wanted.model)
        held = 0 if self._report is None else self._report.weights
        named_ms = None if target is None else target.next_counts_from_ms(held)
        if named_ms is None:
            return None
        engine = self._weights.engine
        return swap_schedule.SwapSchedule(
            mandatory_ms=named_ms + self._settings.bounds.version_ms,
            spread_ms=self._spread_ms(),
            load_ms=0.0 if engine is None else engine.load_ms,
        )

    def _spread_ms(self) -> float:
        """Returns the time over which the engines start to load."""
        engine = self._weights.engine
        if engine is None:
            return swap_schedule.SPREAD_MIN_MS
        return swap_schedule.spread_ms(
            engine.pieces * engine.piece_bytes,
            self._settings.link_bytes_per_s,
            self._settings.bounds.version_ms,
        )

    def may_cut(self) -> bool:
        """Returns whether cut streams continue at another engine."""
        return self._may_cut

    def is_new(self, wanted: version_digests.ModelVersion) -> bool:
        """Returns whether a version is too new for any agent to hold it."""
        age_ms = self.age_ms(wanted)
        return age_ms is not None and age_ms < NEW_VERSION_MS

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        """Returns the least possible age of a version, None if unknown."""
        target = self._weights.target(wanted.model)
        if target is None or target.named_by_ms is None:
            return None
        return self._clock.now_ms() - target.named_by_ms

    def limit_ms(self) -> float | None:
        """Returns the least time in which this VM can fetch and load a version.

        Returns:
          The time that one copy takes on the VM's link plus the engine's load
          time, None while the engine's specification is unknown.
        """
        engine = self._weights.engine
        if engine is None:
            return None
        copy_bytes = engine.pieces * engine.piece_bytes
        rate = self._settings.link_bytes_per_s
        return copy_bytes / rate * _MS + engine.load_ms

    # Messages.

    def _on_entry_message(
        self, name: str, message: fleet_messages.FromMember
    ) -> None:
        self._contacts.on_message(name, message)
        self._crashes.on_message(name, message)
        if isinstance(message, fleet_messages.FromAgentPeer):
            self._exchange.on_message(name, message)
        if isinstance(message, fleet_messages.Guide):
            if self._weights.handle_guide(message):
                self._ages.on_version_announced(name)
            self._may_cut = message.streams_resume
        if isinstance(message, fleet_messages.VersionAges):
            self._ages.on_answer(name, message)

    def _pick_coordinator(self) -> list[str]:
        coordinators = self._contacts.coordinators
        return [random.choice(coordinators)] if coordinators else []

    def _set_origin(self, origin: str) -> None:
        self._exchange.set_origin(replica_api.OriginApi(self._caller, origin))

    def _set_relays(self, entries: dict[str, members.Member]) -> None:
        """Sets the linked entries of near data centres as relays of pieces."""
        near = self._settings.near_data_centres
        self._exchange.set_relays(
            [n for n, entry in entries.items() if entry.data_centre in near]
        )

    def _set_peers(self, peers: dict[str, members.Member]) -> None:
        """Sets the other agents with an engine, by VM."""
        self._loading_order.set_peers(peers, self._clock.now_ms())
        regions = self._settings.regions
        near = {
            name
            for name, peer in peers.items()
            if regions.get(peer.data_centre) == self._settings.region
        }
        self._exchange.set_peers(peers, near)

    # Periodic work.

    async def _watch_engine(self) -> None:
        while True:
            await self.read_report()
            self._contacts.set_engine(present=self._report is not None)
            self._report_if_due()
            await asyncio.sleep(REPORT_POLL_MS / _MS)

    def _report_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sent_all_ms >= REPORT_MAX_MS:
            self._report_to_all()
            return
        changed = _load_of(self._load_report()) != _load_of(self._last_sent)
        if changed and now_ms - self._last_sent_ms >= NEAR_REPORT_MS:
            self._send_report(self._is_near)

    def _report_to_all(self) -> None:
        """Sends a report to all entries.

        The entries are also notified if the engine cannot be reached.
        """
        self._last_sent_all_ms = self._clock.now_ms()
        self._send_report(lambda _: True)

    def _is_near(self, entry: members.Member) -> bool:
        return entry.data_centre in self._settings.near_data_centres

    def _send_report(
        self, is_receiver: Callable[[members.Member], bool]
    ) -> None:
        report = self._load_report()
        self._last_sent = report
        self._last_sent_ms = self._clock.now_ms()
        self._contacts.broadcast(
            fleet_messages.EngineNews(report=report), is_receiver
        )

    def _load_report(self) -> replica_view.LoadReport | None:
        report = self._report
        if report is None:
            return None
        loading = self._loader.state is weights_loader.LoaderState.LOADING
        return replica_view.LoadReport(
            address=str(self._replica),
            weights=self._loader.usable_weights(report),
            order_number=report.order_number,
            verified=self._loader.trust(report)
            is loaded_weights.LoadTrust.VERIFIED,
            running=report.running,
            waiting=report.waiting,
            pace=report.pace,
            opens=not loading and not report.busy,
            leaving=report.leaving,
            closes_in_ms=self._closes_in_ms(report),
            born_ms=report.born_ms,
        )

    def _closes_in_ms(self, report: engine_state.EngineReport) -> float | None:
        """Returns the time until the engine cuts its requests to load.

        Returns:
          A time in milliseconds, None if the engine is not about to load.
        """
        wanted = self.wanted()
        if wanted is None or report.weights in (0, wanted.version):
            return None
        arrives_in_ms = self._exchange.completes_in_ms(wanted)
        if arrives_in_ms is None:
            # A version that cannot be loaded must not keep requests away.
            return None
        now_ms = self._clock.now_ms()
        pieces_ready_ms = self._loader.pieces_ready_ms(wanted)
        if pieces_ready_ms is None:
            pieces_ready_ms = now_ms + arrives_in_ms
        cut_ms = self.load_start_ms(wanted, pieces_ready_ms)
        cut_ms += self.drain_ms(wanted, pieces_ready_ms)
        return max(0.0, cut_ms - now_ms)

    async def _tick_all(self) -> None:
        while True:
            safely.run_safely(self._tick, "agent_tick", self._totals)
            await asyncio.sleep(TICK_MS / _MS)

    def _tick(self) -> None:
        self._contacts.tick()
        self._ages.tick(self._settings.bounds.version_ms)
        self._crashes.tick()
        self._entry_links.close_idle()

    async def _read_unguided(self) -> None:
        await self._weights.read_store_uncoordinated(
            self._store, lambda: self._contacts.is_coordinated
        )


def _load_of(
    report: replica_view.LoadReport | None,
) -> tuple[int, int] | None:
    return None if report is None else (report.running, report.waiting)
