"""The entry daemon: one process on each entry VM, on the grants path."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import resource

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core import rendezvous
from marlramp.core.grant_calls import run_tokens
from marlramp.core.membership import entry_choice
from marlramp.core.membership import lifecycle
from marlramp.core.weights import swap
from marlramp.entry import admin_app
from marlramp.entry import admission
from marlramp.entry import agent_links
from marlramp.entry import agent_queries
from marlramp.entry import agent_table
from marlramp.entry import application
from marlramp.entry import caller_app
from marlramp.entry import caller_protocol
from marlramp.entry import crash_guard
from marlramp.entry import dispatcher
from marlramp.entry import http_server
from marlramp.entry import metrics
from marlramp.entry import unanswered
from marlramp.platform import clients
from marlramp.platform import http_clients
from marlramp.protocol import messages
from marlramp.settings import node
from marlramp.settings import process
from marlramp.settings import schema
from marlramp.settings import store
from marlramp.shell import caller_bounds
from marlramp.shell import http
from marlramp.shell import links
from marlramp.shell import membership
from marlramp.shell import safely
from marlramp.shell import settings_sync

HEARTBEAT_MS = 2_000.0
"""Interval of heartbeats to an agent while the demand does not change."""

HEARTBEAT_CHANGE_MS = 500.0
"""Interval at which the demand is checked and a change is sent to agents."""

TICK_MS = 100.0
"""Interval of the dispatcher's tick and of the check for lost agents."""

READERS_PER_DATA_CENTRE = 3
"""Entries of a data centre that watch the configuration service."""

LINK_BYTES_MAX = messages.BODY_BYTES_MAX * 2
"""Largest message that the entry accepts on a link; the link of an agent that
sends a larger one is closed."""

CLOSE_GRACE_S = 5
"""Time that the HTTP server gives open connections when it shuts down."""


PROCESS_BYTES = 70_000_000
"""Memory of the program and of its state of the fleet."""

FILE_DESCRIPTORS = 200
"""Descriptors that are left to files."""

_BYTES_PER_MEGABYTE = 1_000_000


def _vm_limits(limits: process.Limits) -> node.VmLimits:
    """Returns what the process may use, in part by the operating system."""
    sockets_max = limits.sockets_max
    if sockets_max is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets_max = max(1, descriptors - FILE_DESCRIPTORS)
    return node.VmLimits(
        memory_bytes=limits.memory_mb * _BYTES_PER_MEGABYTE,
        sockets_max=sockets_max,
    )


class _SentHeartbeat(msgspec.Struct, frozen=True):
    """Demand and time of the last heartbeat to an agent."""

    demand: int
    at_ms: float


class EntryDaemon:
    """Creates and runs the components of an entry."""

    def __init__(self, settings: process.ProcessSettings) -> None:
        """Creates all components; nothing is sent before `run`."""
        if settings.entry is None:
            raise ValueError("an entry needs [entry] settings")
        self._settings = settings
        self._entry = settings.entry
        self._entry_id = ids.VmId(settings.identity.vm_id)
        self._clock = clock.SystemClock()
        self._totals = counters.Counters()
        self._lifecycle = lifecycle.Lifecycle()
        self._stopping = asyncio.Event()
        self._client = http.HttpClient()
        self._context = links.LinkContext(
            links.Keys.of(settings.links), self._totals
        )
        self._store = store.SettingsStore(
            process.document_keys(settings.identity)
        )
        self._table = agent_table.AgentTable(self._settings_of)
        self._permit_issuer = swap.PermitIssuer(self._clock.now_ms())
        self._revisions: dict[ids.VmId, list[int]] = {}
        self._heartbeats: dict[ids.VmId, _SentHeartbeat] = {}
        self._build_shell()
        rng = random.Random()
        self._admission = admission.Admission(self._store, self._table)
        self._queries = agent_queries.AgentQueries(
            self._entry_id, self._table, self._links, rng
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._store,
            self._table,
            self._admission,
            self._queries,
            self._links,
            crash_guard.CrashGuard(self._totals, self._clock),
            self._totals,
            self._clock,
            rng,
        )
        self._server = self._build_server()

    def _build_shell(self) -> None:
        platform = self._settings.platform
        own = self._settings.links
        listener = links.Listener(
            self._context, own.host, own.port, LINK_BYTES_MAX
        )
        self._links = agent_links.AgentLinks(
            listener, self._totals, self._on_agent_message, self._agent_lost
        )
        self._members = membership.Membership(
            http_clients.HttpVmListClient(self._client, platform.vm_list_url),
            process.vm_list_interval_ms(self._settings),
            self._totals,
            self._members_changed,
        )
        self._sync = settings_sync.SettingsSync(
            self._store,
            http_clients.HttpConfigurationClient(
                self._client, platform.configuration_url
            ),
            self._totals,
            self._settings_accepted,
        )

    def _build_server(self) -> http_server.Server:
        signer = run_tokens.TokenSigner(self._entry.token_key)
        exporter = metrics.MetricsExporter(
            self._totals, self._table, self._dispatcher
        )
        self._dispatcher.on_first_part = exporter.first_part.record
        unanswered_calls = unanswered.UnansweredCalls(self._totals)
        self._caller_bounds = caller_bounds.CallerBounds(
            _vm_limits(self._settings.limits),
            self._totals,
            self._clock,
            PROCESS_BYTES,
        )
        callers = caller_app.CallerApp(
            self._dispatcher,
            self._queries,
            self._store,
            signer,
            self,
            unanswered_calls,
            self._clock,
        )
        admin = admin_app.AdminApp(
            self._entry.admin_key,
            self._entry_id,
            self._store,
            self._table,
            self._dispatcher,
            self._admission,
            self._totals,
            self,
            self._clock,
        )
        routes = [*callers.routes(), *admin.routes(), *exporter.routes()]
        return http_server.build(
            application.build(routes, self._totals),
            self._entry.http_host,
            self._entry.http_port,
            caller_protocol.Limits(),
            unanswered_calls,
            CLOSE_GRACE_S,
            self._caller_bounds,
        )

    def reload(self, reason: str) -> None:
        """Logs that changed process settings apply only after a restart."""
        logs.log("reload_ignored", reason=reason)

    def drain(self, reason: str) -> None:
        """Withdraws the address, completes the running calls, then stops."""
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            return
        logs.log("draining", reason=reason)
        self._lifecycle.drain()
        self._heartbeats.clear()
        self._send_heartbeats()
        self._stopping.set()

    async def run(self) -> None:
        """Runs until the entry has drained."""
        logs.log("entry_started", port=self._entry.http_port)
        async with asyncio.TaskGroup() as group:
            tasks_by_name: dict[str, Callable[[], Awaitable[None]]] = {
                "members": self._members.run,
                "settings_sync": functools.partial(
                    self._sync.run, reads_without_need=True
                ),
                "links": self._links.run,
                "heartbeats": self._heartbeat_all,
                "entry_ticks": self._tick_all,
            }
            tasks = safely.start_all(
                group, tasks_by_name, self._totals, self._clock
            )
            server = group.create_task(self._server.serve())
            await self._stopping.wait()
            await self._wait_for_calls()
            self._server.should_exit = True
            await server
            for task in tasks:
                task.cancel()
        self._lifecycle.stop()
        self._context.close()
        logs.log("entry_stopped")

    async def _wait_for_calls(self) -> None:
        """Waits until callers' address lists expire, then until calls end."""
        lifetime_ms = self._store.tree.effective().address_lifetime_ms
        await asyncio.sleep(lifetime_ms / clock.MILLIS_PER_SECOND)
        self._admission.draining = True
        while self._dispatcher.active:
            await asyncio.sleep(TICK_MS / clock.MILLIS_PER_SECOND)

    # Interface for the HTTP applications.

    @property
    def leaving(self) -> bool:
        """Whether this entry is shutting down."""
        return self._lifecycle.phase is lifecycle.Phase.DRAINING

    def entries(self) -> list[clients.ListedVm]:
        """Returns the live entries, without this one while it shuts down."""
        listed = self._members.find(clients.VmRole.ENTRY)
        return [
            vm
            for vm in listed
            if vm.state is clients.VmState.LIVE
            and not (self.leaving and vm.vm_id == self._entry_id)
        ]

    def entries_of(self, vm_id: ids.VmId) -> list[clients.ListedVm]:
        """Returns the entries that an agent links to, if it is listed."""
        vm = self._members.vms.get(vm_id)
        if vm is None:
            return []
        entries = {
            ids.VmId(e.vm_id): e
            for e in self._members.find(clients.VmRole.ENTRY)
        }
        count = self._store.tree.effective().entries_per_agent
        chosen = entry_choice.choose_entries(
            vm_id,
            vm.data_centre,
            {entry_id: e.data_centre for entry_id, e in entries.items()},
            count,
        )
        return [entries[entry_id] for entry_id in chosen]

    def is_among(self, entries: list[clients.ListedVm]) -> bool:
        """Returns whether this entry is one of `entries`."""
        return any(vm.vm_id == self._entry_id for vm in entries)

    def vms(self) -> list[clients.ListedVm]:
        """Returns the platform's VM list as last read."""
        return list(self._members.vms.values())

    def drain_vm(self, vm_id: ids.VmId, reason: str) -> bool:
        """Makes this entry or an agent drain; False if it is unreachable."""
        if vm_id == self._entry_id:
            asyncio.get_running_loop().call_later(0.1, self.drain, reason)
            return True
        return self._links.send(vm_id, messages.DrainOrder(reason=reason))

    # Messages from agents.

    def _on_agent_message(
        self, link_id: links.LinkId, message: messages.FromAgent
    ) -> None:
        safely.run_safely(
            lambda: self._handle(link_id, message),
            type(message).__name__,
            self._totals,
        )

    def _handle(
        self, link_id: links.LinkId, message: messages.FromAgent
    ) -> None:
        vm_id = ids.VmId(link_id.vm_id)
        self._table.record_message(vm_id, self._clock.now_ms())
        match message:
            case messages.PartsBatch():
                self._dispatcher.handle_parts(message)
            case messages.RunHeaders():
                self._dispatcher.handle_headers(message)
            case messages.RunEnded():
                self._dispatcher.handle_run_ended(message)
            case messages.EngineCrashed():
                self._dispatcher.handle_crash(message)
            case messages.GrantsIssued():
                self._dispatcher.handle_grants(vm_id, message)
            case messages.Reserved() | messages.RunStatus():
                self._queries.handle_reply(message)
            case messages.AgentReport():
                self._on_report(vm_id, message)
            case messages.AgentHeartbeat():
                self._on_heartbeat(vm_id, message)
            case messages.AgentCounters():
                self._on_counters(vm_id, message)
            case messages.CachedPrefixes():
                self._on_prefixes(vm_id, message)
            case messages.SwapRequest():
                self._on_swap_request(link_id, message)
            case messages.SwapWithdrawal():
                self._permit_issuer.release(
                    vm_id,
                    ids.Incarnation(link_id.incarnation),
                    message.round_number,
                )
            case messages.SettingsOffer():
                self._sync.offer(message.documents, vm_id)

    def _on_report(
        self, vm_id: ids.VmId, message: messages.AgentReport
    ) -> None:
        known = self._table.get(vm_id) is not None
        restarted = self._table.handle_report(message, self._clock.now_ms())
        if restarted:
            logs.log("agent_restarted", vm=vm_id)
            self._permit_issuer.drop(vm_id)
            self._dispatcher.handle_agent_lost(vm_id)
        if message.state is messages.AgentState.READY and (
            message.version == message.target_version
        ):
            self._permit_issuer.drop(vm_id)
        self._mark_listed(vm_id)
        if restarted or not known:
            self._send_heartbeat(vm_id)

    def _on_heartbeat(
        self, vm_id: ids.VmId, message: messages.AgentHeartbeat
    ) -> None:
        if self._table.get(vm_id) is None:
            self._links.send(vm_id, messages.ReportRequest())
            return
        self._table.handle_heartbeat(vm_id, message, self._clock.now_ms())
        self._revisions[vm_id] = message.revisions
        self._compare_settings(vm_id)
        self._offer_settings(vm_id)

    def _on_counters(
        self, vm_id: ids.VmId, message: messages.AgentCounters
    ) -> None:
        info = self._table.get(vm_id)
        if info is not None:
            agent_table.merge_counters(info.counters, message.values)

    def _on_prefixes(
        self, vm_id: ids.VmId, message: messages.CachedPrefixes
    ) -> None:
        info = self._table.get(vm_id)
        if info is not None:
            info.prefixes = set(message.digests[: agent_table.PREFIXES_MAX])

    def _on_swap_request(
        self, link_id: links.LinkId, message: messages.SwapRequest
    ) -> None:
        vm_id = ids.VmId(link_id.vm_id)
        info = self._table.get(vm_id)
        if info is None or info.report.incarnation != link_id.incarnation:
            self._links.send(vm_id, messages.ReportRequest())
            return
        service_id = ids.ServiceId(info.report.service_id)
        values = self._store.tree.effective(service_id)
        now_ms = self._clock.now_ms()
        permit_request = swap.PermitRequest(
            vm_id,
            service_id,
            ids.Incarnation(link_id.incarnation),
            message.round_number,
            message.hold_ms,
        )
        granted = self._permit_issuer.try_issue(
            permit_request,
            self._table.replicas(service_id, now_ms),
            values.swap_out_fraction,
            allow_sole=values.swap_sole_replica,
            now_ms=now_ms,
        )
        answer = messages.SwapAnswer(
            version=message.version,
            round_number=message.round_number,
            granted=granted,
            ttl_ms=min(message.hold_ms, swap.HOLD_MAX_MS),
        )
        self._links.send(vm_id, answer)

    def _agent_lost(self, vm_id: ids.VmId) -> None:
        self._links.forget(vm_id)
        if self._table.get(vm_id) is None:
            return
        logs.log("agent_lost", vm=vm_id)
        # Its permit stays until it expires: the agent may be alive and use it.
        self._table.remove(vm_id)
        self._revisions.pop(vm_id, None)
        self._heartbeats.pop(vm_id, None)
        self._dispatcher.handle_agent_lost(vm_id)

    # Changes of the VM list and the settings.

    def _members_changed(self) -> None:
        entries = self._members.find(clients.VmRole.ENTRY)
        self._admission.entry_count = max(1, len(entries))
        self._admission.apply_settings(self._clock.now_ms())
        data_centre = self._settings.identity.data_centre
        near = [vm.vm_id for vm in entries if vm.data_centre == data_centre]
        readers = rendezvous.subset(data_centre, near, READERS_PER_DATA_CENTRE)
        self._sync.set_watching(self._entry_id in readers or not near)
        for info in self._table:
            self._mark_listed(info.vm_id)
        own = self._members.vms.get(self._entry_id)
        if own is not None and own.state is clients.VmState.LEAVING:
            self.drain("platform list")

    def _mark_listed(self, vm_id: ids.VmId) -> None:
        info = self._table.get(vm_id)
        listed = self._members.vms.get(vm_id)
        if info is not None:
            info.listed_leaving = (
                listed is not None and listed.state is clients.VmState.LEAVING
            )

    def _settings_of(self, service_id: ids.ServiceId) -> schema.Settings:
        return self._store.tree.effective(service_id)

    def _settings_accepted(self) -> None:
        self._dispatcher.apply_settings()
        self._admission.apply_settings(self._clock.now_ms())
        self._table.apply_settings()
        for vm_id in list(self._revisions):
            self._compare_settings(vm_id)
            self._offer_settings(vm_id)
        self._heartbeats.clear()
        self._send_heartbeats()

    def _compare_settings(self, vm_id: ids.VmId) -> None:
        """Sends no work to an agent while its settings are newer."""
        info = self._table.get(vm_id)
        if info is None or vm_id not in self._revisions:
            return
        was_ahead = info.settings_ahead
        info.settings_ahead = self._store.behind(self._revisions[vm_id])
        if was_ahead and not info.settings_ahead:
            self._dispatcher.dispatch(ids.ServiceId(info.report.service_id))

    def _offer_settings(self, vm_id: ids.VmId) -> None:
        newer = self._store.newer_than(self._revisions.get(vm_id, []))
        if newer:
            offer = messages.SettingsOffer(documents=newer)
            self._links.send(vm_id, offer)

    # Periodic work.

    async def _heartbeat_all(self) -> None:
        while True:
            safely.run_safely(self._send_heartbeats, "heartbeats", self._totals)
            await asyncio.sleep(HEARTBEAT_CHANGE_MS / clock.MILLIS_PER_SECOND)

    async def _tick_all(self) -> None:
        while True:
            safely.run_safely(self._tick, "tick", self._totals)
            await asyncio.sleep(TICK_MS / clock.MILLIS_PER_SECOND)

    def _tick(self) -> None:
        self._lifecycle.serve()
        # The limit on descriptors may change while the process runs.
        self._caller_bounds.set_limits(_vm_limits(self._settings.limits))
        self._dispatcher.tick()
        for vm_id in self._table.timed_out(self._clock.now_ms()):
            self._agent_lost(vm_id)

    def _send_heartbeats(self) -> None:
        demands: dict[ids.ServiceId, int] = {}
        for info in list(self._table):
            service_id = ids.ServiceId(info.report.service_id)
            if service_id not in demands:
                demands[service_id] = self._demand_per_replica(service_id)
            demand = max(demands[service_id], info.in_flight)
            if self._heartbeat_due(info.vm_id, demand):
                self._send_heartbeat_to(info, demand)

    def _heartbeat_due(self, vm_id: ids.VmId, demand: int) -> bool:
        sent = self._heartbeats.get(vm_id)
        now_ms = self._clock.now_ms()
        return (
            sent is None
            or sent.demand != demand
            or now_ms - sent.at_ms >= HEARTBEAT_MS
        )

    def _send_heartbeat(self, vm_id: ids.VmId) -> None:
        info = self._table.get(vm_id)
        if info is not None:
            service_id = ids.ServiceId(info.report.service_id)
            demand = self._demand_per_replica(service_id)
            self._send_heartbeat_to(info, max(demand, info.in_flight))

    def _demand_per_replica(self, service_id: ids.ServiceId) -> int:
        replicas = max(1, len(self._table.serving(service_id)))
        return -(-self._dispatcher.demand(service_id) // replicas)

    def _send_heartbeat_to(
        self, info: agent_table.AgentInfo, demand: int
    ) -> None:
        heartbeat = messages.EntryHeartbeat(
            demand=demand,
            leaving=self.leaving,
            revisions=self._store.revisions(),
        )
        self._heartbeats[info.vm_id] = _SentHeartbeat(
            demand, self._clock.now_ms()
        )
        self._links.send(info.vm_id, heartbeat)
