"""The agent on the grants path: one process beside each upstream.

It issues grants to entries, runs their requests at the upstream, reports load
and state to them, and brings the engine to the version in the rollout settings.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import urllib.parse

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.agent import engine_client
from marlramp.agent import engine_crashes
from marlramp.agent import entry_links
from marlramp.agent import rollout
from marlramp.agent import runs
from marlramp.agent import swap_permits
from marlramp.agent import swarm_node
from marlramp.agent import weight_sources
from marlramp.core.grant_calls import grants
from marlramp.core.membership import lifecycle
from marlramp.platform import clients
from marlramp.platform import http_clients
from marlramp.protocol import messages
from marlramp.settings import process
from marlramp.settings import schema
from marlramp.settings import store
from marlramp.shell import address_probe
from marlramp.shell import http
from marlramp.shell import links
from marlramp.shell import membership
from marlramp.shell import safely
from marlramp.shell import settings_sync

HEARTBEAT_MS = 2_000.0
"""Interval of heartbeats while nothing but their age changes."""

HEARTBEAT_CHANGE_MS = 1_000.0
"""Interval at which a changed heartbeat is sent."""

GRANT_TTL_MS = 5_000.0
GRANT_TICK_MS = 500.0
COUNTERS_INTERVAL_MS = 5_000.0
LOAD_INTERVAL_MS = 1_000.0
PACE_INTERVAL_MS = 1_000.0
PROGRESS_INTERVAL_MS = 500.0
HTTP_PORT = 80
DRAIN_LINGER_MS = 300.0
"""Wait after the last run, so that the last messages are sent before the
process exits."""

INCARNATION_BITS = 53


class AgentDaemon:
    """Creates the parts of the agent and connects them."""

    def __init__(self, settings: process.ProcessSettings) -> None:
        """Creates all parts; they send nothing until `run` is called.

        Raises:
          ValueError: if the settings have no [upstream] section.
        """
        if settings.upstream is None:
            raise ValueError(
                "the settings of an agent need an [upstream] section"
            )
        self._settings = settings
        self._upstream = settings.upstream
        self._vm_id = ids.VmId(settings.identity.vm_id)
        self._service_id = ids.ServiceId(settings.upstream.service)
        self._incarnation = ids.Incarnation(
            random.SystemRandom().getrandbits(INCARNATION_BITS)
        )
        self._clock = clock.SystemClock()
        self._totals = counters.Counters()
        self._lifecycle = lifecycle.Lifecycle()
        self._stopping = asyncio.Event()
        self._client = http.HttpClient()
        self._link_id = links.LinkId(self._vm_id, self._incarnation)
        self._context = links.LinkContext(
            links.Keys.of(settings.links), self._totals
        )
        self._store = store.SettingsStore(
            process.document_keys(settings.identity)
        )
        self._ledger = grants.GrantLedger(
            self._incarnation,
            self._upstream.capacity,
            GRANT_TTL_MS,
            schema.Settings().run_token_lifetime_ms,
        )
        self._build_shell()
        self._build_rollout()
        upstream = urllib.parse.urlsplit(self._upstream.url)
        self._crashes = engine_crashes.EngineCrashes(
            f"{self._vm_id}-{self._incarnation}",
            f"{upstream.hostname}:{upstream.port or HTTP_PORT}",
            address_probe.probe,
            self._entries.send_all,
            self._totals,
            self._clock,
        )
        self._runs = runs.RunService(
            self._ledger,
            self._client,
            self._upstream.url,
            self,
            self._entries,
            self._totals,
            self._clock,
            self._issue_grants,
            lambda run, begun: self._crashes.record_lost(run, begun=begun),
        )
        self._load: engine_client.LoadReport | None = None
        self._load_ms = self._clock.now_ms()
        self._sent_counters: dict[tuple[str, str], int] = {}
        self._sent_prefixes: list[str] = []
        self._sent_report: messages.AgentReport | None = None

    def _build_shell(self) -> None:
        platform = self._settings.platform
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
        self._entries = entry_links.EntryLinks(
            self._vm_id,
            self._link_id,
            self._context,
            self._totals,
            self._clock,
            self._on_entry_message,
            self._on_link_open,
        )

    def _build_rollout(self) -> None:
        platform = self._settings.platform
        own = self._settings.links
        listener = links.Listener(
            self._context, own.host, own.port, swarm_node.BYTES_MAX
        )
        self._node = swarm_node.SwarmNode(
            self._vm_id,
            self._link_id,
            self._context,
            listener,
            weight_sources.RatedSources(
                self._client, platform, self._totals, self._clock
            ),
            self._totals,
            self._clock,
            self._upstream.link_bytes_per_s,
        )
        self._engine = engine_client.HttpEngine(
            self._client, self._upstream.url
        )
        self._permits = swap_permits.SwapPermits(self._entries, self._clock)
        self._rollout = rollout.RolloutController(
            self._engine,
            self._node,
            self._permits,
            self,
            self._totals,
            self._clock,
            self._send_report,
            holds_two_versions=self._upstream.holds_two_versions,
        )

    def reload(self, reason: str) -> None:
        """Logs that a reload is ignored.

        Changed process settings take effect when the agent starts again.
        """
        logs.log("reload_ignored", reason=reason)

    def drain(self, reason: str) -> None:
        """Accepts no new runs, finishes those in progress, then stops."""
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            return
        logs.log("draining", reason=reason)
        self._lifecycle.drain()
        self._ledger.close(self._clock.now_ms())
        self._send_report()
        self._stopping.set()

    async def run(self) -> None:
        """Runs the agent until it has been drained."""
        logs.log("agent_started", incarnation=self._incarnation)
        jobs: dict[str, Callable[[], Awaitable[None]]] = {
            "members": self._members.run,
            "settings_sync": functools.partial(
                self._sync.run, reads_without_need=False
            ),
            "swarm": self._node.run,
            "heartbeats": self._send_heartbeats,
            "grants": self._renew_grants,
            "reports": self._send_changed_reports,
            "counters": self._send_counters,
            "pace": self._update_pace,
            "rollout": self._run_rollout,
        }
        if self._upstream.reports_load:
            jobs["load"] = self._poll_load
        async with asyncio.TaskGroup() as group:
            tasks = safely.start_all(group, jobs, self._totals, self._clock)
            await self._stopping.wait()
            await self._runs.wait_idle()
            await asyncio.sleep(DRAIN_LINGER_MS / 1000)
            for task in tasks:
                task.cancel()
        self._lifecycle.stop()
        self._context.close()
        logs.log("agent_stopped")

    # Called by the rollout controller and the run service.

    def serving_version(self) -> ids.VersionId | None:
        """Returns the verified version, None if none may be served.

        A plain service has no versions; its version is an empty text.
        """
        kind = self._store.tree.service_kind(self._service_id)
        if kind is schema.ServiceKind.PLAIN:
            return ids.VersionId("")
        return self._rollout.serving_version()

    def handle_unexpected_version(self, version: ids.VersionId) -> None:
        """Closes admission after an answer from an unexpected version."""
        self._rollout.handle_unexpected_version(version)

    def suspend(self) -> None:
        """Voids all grants and accepts no new runs."""
        self._lifecycle.suspend()
        if self._ledger.is_open:
            self._ledger.close(self._clock.now_ms())
            self._send_report()

    def resume(self) -> None:
        """Accepts runs again unless the agent is leaving."""
        if self._lifecycle.serve() and not self._ledger.is_open:
            self._ledger.open()
            self._send_report()
            self._issue_grants()

    async def wait_idle(self) -> None:
        """Returns when no run is in progress."""
        await self._runs.wait_idle()

    # Messages from entries.

    def _on_entry_message(
        self, entry_id: ids.VmId, message: messages.FromEntry
    ) -> None:
        safely.run_safely(
            lambda: self._handle(entry_id, message),
            type(message).__name__,
            self._totals,
        )

    def _handle(self, entry_id: ids.VmId, message: messages.FromEntry) -> None:
        match message:
            case messages.Run():
                self._runs.start(entry_id, message)
            case messages.Cancel():
                self._runs.cancel(entry_id, message)
            case messages.RunQuery():
                self._runs.query(entry_id, message)
            case messages.Reserve():
                self._reserve(entry_id, message)
            case messages.EntryHeartbeat():
                self._on_heartbeat(entry_id, message)
            case messages.SettingsOffer():
                self._sync.offer(message.documents, entry_id)
            case messages.SwapAnswer():
                self._permits.handle_answer(entry_id, message)
            case messages.ReportRequest():
                self._on_link_open(entry_id)
            case messages.DrainOrder():
                self.drain(message.reason)

    def _on_heartbeat(
        self, entry_id: ids.VmId, heartbeat: messages.EntryHeartbeat
    ) -> None:
        link = self._entries.links[entry_id]
        link.demand = heartbeat.demand
        link.leaving = heartbeat.leaving
        link.revisions = heartbeat.revisions
        newer = self._store.newer_than(heartbeat.revisions)
        if newer:
            offer = messages.SettingsOffer(documents=newer)
            self._entries.send(entry_id, offer)
        self._issue_grants()

    def _reserve(self, entry_id: ids.VmId, message: messages.Reserve) -> None:
        number = None
        if self.serving_version() is not None:
            number = self._ledger.reserve(entry_id, self._clock.now_ms())
        reply = messages.Reserved(
            request_id=message.request_id,
            incarnation=self._incarnation,
            number=number,
            ttl_ms=self._values().run_token_lifetime_ms,
        )
        self._entries.send(entry_id, reply)

    def _on_link_open(self, entry_id: ids.VmId) -> None:
        self._entries.send(entry_id, self._report())
        self._entries.send(entry_id, self._heartbeat())
        for crash in self._crashes.known():
            self._entries.send(entry_id, crash)

    # Changes of the VM list and the settings.

    def _members_changed(self) -> None:
        vms = self._members.vms
        own = vms.get(self._vm_id)
        if own is not None and own.state is clients.VmState.LEAVING:
            self.drain("platform list")
        tree = self._store.tree
        self._entries.choose(
            self._members.find(clients.VmRole.ENTRY),
            self._settings.identity.data_centre,
            tree.effective(self._service_id).entries_per_agent,
        )
        self._set_swarm_members()

    def _set_swarm_members(self) -> None:
        rollout_here = self._store.tree.rollout(self._service_id)
        if rollout_here is None:
            return
        tree = self._store.tree
        members = {
            ids.VmId(vm.vm_id): vm
            for vm in self._members.find(clients.VmRole.UPSTREAM)
            if tree.rollout(ids.ServiceId(vm.service)) == rollout_here
        }
        self._node.set_members(members)

    def _settings_accepted(self) -> None:
        tree = self._store.tree
        values = self._values()
        self._node.set_policy(values)
        self._ledger.set_reserved_ttl(values.run_token_lifetime_ms)
        for entry_id, link in self._entries.links.items():
            newer = self._store.newer_than(link.revisions)
            if newer and link.revisions:
                offer = messages.SettingsOffer(documents=newer)
                self._entries.send(entry_id, offer)
        self._entries.send_all(self._heartbeat())
        wanted = tree.rollout(self._service_id)
        if wanted != self._rollout.rollout:
            self._members.hurry()
        self._members_changed()
        self._rollout.set_rollout(wanted, max(self._store.revisions()))
        kind = tree.service_kind(self._service_id)
        if kind is schema.ServiceKind.PLAIN and self._store.complete:
            self.resume()

    def _values(self) -> schema.Settings:
        return self._store.tree.effective(self._service_id)

    # Periodic jobs.

    async def _run_rollout(self) -> None:
        while self._store.tree.service_kind(self._service_id) is None:
            await asyncio.sleep(GRANT_TICK_MS / 1000)
        kind = self._store.tree.service_kind(self._service_id)
        if kind is schema.ServiceKind.MODEL:
            await self._rollout.run()

    async def _send_heartbeats(self) -> None:
        sent: messages.AgentHeartbeat | None = None
        sent_ms = float("-inf")
        while True:
            heartbeat = self._heartbeat()
            now_ms = self._clock.now_ms()
            if (
                not _same_but_for_age(heartbeat, sent)
                or now_ms - sent_ms >= HEARTBEAT_MS
            ):
                self._entries.send_all(heartbeat)
                sent, sent_ms = heartbeat, now_ms
            await asyncio.sleep(HEARTBEAT_CHANGE_MS / 1000)

    async def _renew_grants(self) -> None:
        while True:
            safely.run_safely(self._issue_grants, "grants", self._totals)
            await asyncio.sleep(GRANT_TICK_MS / 1000)

    async def _send_changed_reports(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_MS / 1000)
            if self._report() != self._sent_report:
                self._send_report()

    async def _send_counters(self) -> None:
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL_MS / 1000)
            changed = [
                value
                for value in self._totals.values()
                if self._sent_counters.get((value.name.value, value.reason))
                != value.total
            ]
            for value in changed:
                key = (value.name.value, value.reason)
                self._sent_counters[key] = value.total
            if changed:
                self._entries.send_all(messages.AgentCounters(values=changed))

    async def _update_pace(self) -> None:
        """Reserves link capacity for live requests by their recent rate."""
        before = self._runs.relayed_bytes
        while True:
            await asyncio.sleep(PACE_INTERVAL_MS / 1000)
            now = self._runs.relayed_bytes
            live_bytes_per_s = (now - before) * 1000 / PACE_INTERVAL_MS
            self._node.set_live_rate(live_bytes_per_s)
            before = now

    async def _poll_load(self) -> None:
        while True:
            try:
                self._load = await self._engine.load_report()
                self._load_ms = self._clock.now_ms()
            except engine_client.EngineError:
                self._load = None
            if self._load and self._load.prefixes != self._sent_prefixes:
                self._sent_prefixes = self._load.prefixes
                self._entries.send_all(
                    messages.CachedPrefixes(digests=self._sent_prefixes)
                )
            await asyncio.sleep(LOAD_INTERVAL_MS / 1000)

    def _has_outdated_settings(self) -> bool:
        """Returns whether an entry that the agent hears has newer settings."""
        return any(
            self._store.behind(self._entries.links[entry_id].revisions)
            for entry_id in self._entries.heard()
        )

    def _issue_grants(self) -> None:
        if self._has_outdated_settings() or self._runs.paused:
            return
        demand = {
            entry_id: self._entries.links[entry_id].demand
            for entry_id in self._entries.heard()
            if self._entries.links[entry_id].can_use_grants
        }
        shares = grants.divide_capacity(self._ledger.capacity, demand)
        now_ms = self._clock.now_ms()
        for entry_id, target in shares.items():
            numbers = self._ledger.issue(entry_id, target, now_ms)
            if numbers:
                issued = messages.GrantsIssued(
                    incarnation=self._incarnation,
                    first=numbers[0],
                    count=len(numbers),
                    ttl_ms=GRANT_TTL_MS * grants.USABLE_FRACTION,
                )
                self._entries.send(entry_id, issued)

    def _heartbeat(self) -> messages.AgentHeartbeat:
        load = None
        if self._load is not None:
            load = float(self._load.running + self._load.waiting)
        return messages.AgentHeartbeat(
            running=self._ledger.running_count,
            reported_load=load,
            report_age_ms=self._clock.now_ms() - self._load_ms,
            revisions=self._store.revisions(),
        )

    def _send_report(self) -> None:
        self._sent_report = self._report()
        self._entries.send_all(self._sent_report)

    def _report(self) -> messages.AgentReport:
        held, total = self._node.progress()
        here = self._store.tree.rollout(self._service_id)
        target = "" if here is None else schema.version_id(here)
        return messages.AgentReport(
            vm_id=self._vm_id,
            data_centre_id=self._settings.identity.data_centre,
            incarnation=self._incarnation,
            service_id=self._service_id,
            state=self._state(),
            model="" if here is None else here.model,
            version=self._rollout.reported_version(),
            target_version=target,
            chunks_held=held,
            chunks_total=total,
            capacity=self._upstream.capacity,
            sent_bytes=self._node.sent_bytes,
            origin_bytes=self._node.origin_bytes,
            note=self._rollout.note,
        )

    def _state(self) -> messages.AgentState:
        phase = self._lifecycle.phase
        if phase in (lifecycle.Phase.DRAINING, lifecycle.Phase.STOPPED):
            return messages.AgentState.LEAVING
        if self._ledger.is_open:
            return messages.AgentState.READY
        if phase is lifecycle.Phase.SUSPENDED:
            return messages.AgentState.SUSPENDED
        return messages.AgentState.STARTING


def _same_but_for_age(
    heartbeat: messages.AgentHeartbeat, sent: messages.AgentHeartbeat | None
) -> bool:
    """Returns whether two heartbeats are equal but for the age of the load."""
    return sent is not None and (
        heartbeat.running,
        heartbeat.reported_load,
        heartbeat.revisions,
    ) == (sent.running, sent.reported_load, sent.revisions)
