"""Connects the parts of an entry that exchange state with other processes."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core import rendezvous
from marlramp.core.configuration import catalog
from marlramp.core.configuration import outage_detector
from marlramp.core.configuration import store_completeness
from marlramp.core.crashes import crash_record
from marlramp.core.membership import fleet_size
from marlramp.core.membership import members
from marlramp.core.membership import reader_election
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.direct.fleet import agent_coordinator
from marlramp.direct.fleet import catalog_sync
from marlramp.direct.fleet import crash_sync
from marlramp.direct.fleet import engine_digests
from marlramp.direct.fleet import entry_limits
from marlramp.direct.fleet import load_exchange
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.direct.fleet import relay_context
from marlramp.direct.fleet import store_reader
from marlramp.direct.fleet import version_ages
from marlramp.direct.weights import piece_relay
from marlramp.direct.weights import version_digests
from marlramp.protocol import fleet_messages
from marlramp.settings import node

STANDBY_QUERY_MS = 500.0
"""Interval between two queries of an entry that is a standby of a reader."""

OnChanges: TypeAlias = Callable[[list[catalog.Change]], None]
OnGone: TypeAlias = Callable[[list[str]], None]
OnCell: TypeAlias = Callable[[list[str]], None]
OnLeaving: TypeAlias = Callable[[replica_view.ReplicaView], None]


class EntryFleet:
    """Dispatches the messages between this entry and other processes."""

    def __init__(
        self,
        own: members.Member,
        incarnation: int,
        settings: node.NodeSettings,
        known: catalog.Catalog,
        table: replica_table.ReplicaTable,
        crashes: crash_record.CrashRecord,
        on_changes: OnChanges,
        on_gone: OnGone,
        on_cell: OnCell,
        on_leaving: OnLeaving,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Starts without links; `attach` sets them.

        Args:
          own: this entry.
          incarnation: its incarnation, see `core.membership.roster`.
          settings: the settings in force.
          known: the catalog.
          table: the replicas.
          crashes: the record of requests that crash replicas.
          on_changes: called with changes of the catalog.
          on_gone: called with the ids of replicas that are gone or restarted.
          on_cell: called with the addresses of the VMs whose engines belong
            to the cell, when they changed.
          on_leaving: called with a replica whose agent reports that it is
            leaving.
          totals: counters.
          time: the clock.
          rng: picks the receivers of messages at random.
        """
        self._rng = rng or random.Random()
        self._own = own
        self._version_bound_ms = settings.bounds.version_ms
        self._catalog = known
        self._table = table
        self._on_changes = on_changes
        self._on_gone = on_gone
        self._on_cell = on_cell
        self._on_leaving = on_leaving
        self._clock = time
        self._reader: store_reader.StoreReader | None = None
        self._beacon_ms = float("-inf")
        self._beacon_failing = False
        self._election = reader_election.ReaderElection(
            own.vm_id,
            own.data_centre,
            time.now_ms(),
            is_seed=node.Address(own.host, own.port) in settings.seeds,
        )
        self.sync = member_sync.MemberSync(
            own,
            incarnation,
            settings.seeds,
            settings.near_data_centres,
            fleet_size.FleetSize(settings.regions, time),
            self,
            time,
            self._rng,
        )
        self._ages = version_ages.VersionAges(
            known, self.sync.send, self._age_peers, time
        )
        self._standby_query_ms = float("-inf")
        self._outage_detector = outage_detector.OutageDetector()
        self._catalog_sync = catalog_sync.CatalogSync(
            known,
            self.sync,
            self._changed,
            time,
            self._ages.on_version_announced,
            settings.bounds.evacuate_ms,
            self._rng,
        )
        self._placed = placement.Placement(settings.regions, self.sync, time)
        self._crash_sync = crash_sync.CrashSync(
            crashes,
            self.sync,
            self._placed.own_agents,
            totals,
            time,
            self._rng,
        )
        self.limits = entry_limits.EntryLimits(
            self.sync,
            table,
            settings.regions,
            totals,
            time,
            self._rng,
            data_centres_lost=settings.fault_tolerance.data_centres,
        )
        self._coordinator = agent_coordinator.AgentCoordinator(
            known, self._placed, self.sync, time
        )
        self._load_exchange = load_exchange.LoadExchange(
            self._placed, self.sync, table, totals, time
        )
        self._relay_context = relay_context.RelayContext(
            known, self._placed, self.sync, time
        )
        self._relay = piece_relay.PieceRelay(
            own.vm_id,
            self._relay_context,
            settings.link_bytes_per_s,
            totals,
            time,
        )
        self._origin = ""
        self._digests = engine_digests.EngineDigests(
            self._placed, self.sync, self._on_engine, time
        )

    def attach(
        self,
        links: member_sync.Links,
        reader: store_reader.StoreReader,
        make_origin: Callable[[str], version_digests.Origin],
    ) -> None:
        """Sets the links, the store reader and the origin's clients.

        Args:
          links: the links to send messages on.
          reader: reads the store.
          make_origin: returns a client of an origin at "host:port".
        """
        self._make_origin = make_origin
        self.sync.attach(links)
        self._reader = reader

    def set_settings(self, settings: node.NodeSettings) -> None:
        """Applies changed bounds and seeds."""
        self._version_bound_ms = settings.bounds.version_ms
        self._catalog_sync.configure(settings.bounds.evacuate_ms)
        self.sync.set_seeds(settings.seeds)

    async def exchange_loads(self) -> None:
        """Sends changed loads to the entries of the cell; never returns."""
        await self._load_exchange.run()

    async def relay_pieces(self) -> None:
        """Relays pieces of target weights to near agents; never returns."""
        await self._relay.run()

    @property
    def entry_count(self) -> int:
        """Number of entries by which bounds over the fleet are divided."""
        return self.sync.estimated_entries()

    @property
    def entry_count_is_provisional(self) -> bool:
        """Whether a better `entry_count` is due soon."""
        return self.sync.estimate_is_provisional

    def known_entries(self) -> list[str]:
        """Returns the VMs of all entries known recently, with this one."""
        return self.sync.roster.remembered(members.MemberKind.ENTRY)

    def is_near_vm(self, vm_id: str) -> bool:
        """Returns whether a process is known to be in the own region."""
        record = self.sync.roster.get(vm_id)
        return record is not None and self.sync.is_near(record.update.member)

    def holds_requests(self) -> bool:
        """Returns whether requests wait until missed changes have arrived."""
        return self._catalog_sync.holds_requests()

    def ready_entries(self) -> list[members.Member]:
        """Returns the other entries that accept callers."""
        return self.sync.entries_in_state(members.MemberState.READY)

    def forget(self, replica_ids: list[str]) -> None:
        """Drops the state of replicas that are gone."""
        self._load_exchange.forget(replica_ids)
        self.limits.forget(replica_ids)

    # Reading the store.

    def is_reader(self) -> bool:
        """Returns whether this entry is elected to watch the store."""
        if self.sync.roster.own.state is members.MemberState.LEAVING:
            return False
        return self._election.is_reader(self._staying(), self._clock.now_ms())

    def was_store_failure_reported(self) -> bool:
        """Returns whether another entry reported that the store failed it."""
        return self._election.was_failure_reported(self._clock.now_ms())

    def publish(self, after: int, changes: list[catalog.Change]) -> None:
        """Sends changes that were read from the store to the other entries.

        Args:
          after: revision of the catalog before the changes.
          changes: the changes, already in the catalog.
        """
        self._catalog_sync.publish(after, changes)

    def _staying(self) -> dict[str, str]:
        """Returns the data centre of each other entry that is not leaving."""
        leaving = {
            member.vm_id
            for member in self.sync.entries_in_state(
                members.MemberState.LEAVING
            )
        }
        alive = self.sync.alive(members.MemberKind.ENTRY)
        return {
            member.vm_id: member.data_centre
            for member in alive
            if member.vm_id not in leaving
        }

    def _changed(self, changes: list[catalog.Change]) -> None:
        self._on_changes(changes)
        concern_weights = catalog.ConfigChange | catalog.TargetChange
        if any(isinstance(c, concern_weights) for c in changes):
            self._coordinator.send_weights_to_all()
            self._apply_origin()
            self._relay.wake()

    def _apply_origin(self) -> None:
        """Applies the origin of the configuration if it changed."""
        address = self._relay_context.origin()
        if address and address != self._origin:
            self._origin = address
            self._relay.set_origin(self._make_origin(address))

    # Times at which versions were announced.

    def _age_peers(self) -> list[str]:
        """Returns an entry to query for the ages of versions.

        The readers query each other, because the knowledge of both gives
        tighter bounds than that of one.
        """
        now_ms = self._clock.now_ms()
        names = self._election.working_readers(now_ms)
        reading = self._reader is not None and self._reader.reading
        if not reading or not names:
            alive = self.sync.alive(members.MemberKind.ENTRY)
            near = [entry.vm_id for entry in alive if self.sync.is_near(entry)]
            names = near or [entry.vm_id for entry in alive]
        return [self._rng.choice(names)] if names else []

    def _answer_ages(
        self, name: str, request: fleet_messages.VersionAgesRequest
    ) -> None:
        answer = self._ages.answer_to(request)
        complete = store_completeness.CompleteRevision()
        if self._reader is not None:
            complete = self._reader.completeness.latest
        if complete.is_known:
            answer = msgspec.structs.replace(
                answer,
                complete_revision=complete.revision,
                complete_age_ms=self._clock.now_ms() - complete.at_ms,
            )
        self.sync.send(name, answer)

    def _handle_ages(
        self, name: str, answer: fleet_messages.VersionAges
    ) -> None:
        requested_ms = self._ages.on_answer(name, answer)
        if requested_ms is not None:
            self._outage_detector.record_answer(
                requested_ms, self._clock.now_ms()
            )
        age_ms = answer.complete_age_ms
        if requested_ms is None or age_ms is None or self._reader is None:
            return
        if not age_ms >= 0.0:
            return
        complete = store_completeness.CompleteRevision(
            answer.complete_revision, requested_ms - age_ms
        )
        self._reader.completeness.record_report(complete)

    def _query_readers(self) -> None:
        """Queries the readers whose standby this entry is."""
        now_ms = self._clock.now_ms()
        if now_ms - self._standby_query_ms < STANDBY_QUERY_MS:
            return
        self._standby_query_ms = now_ms
        for name in self._election.readers_to_query(self._staying()):
            self._ages.query(name)

    # Messages.

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        """Handles a message from another process."""
        if self.sync.on_message(name, message):
            return
        if isinstance(message, fleet_messages.FromAgentPeer):
            self._relay.on_message(name, message)
            return
        if isinstance(message, fleet_messages.AboutLimits):
            self.limits.on_message(name, message)
            return
        match message:
            case fleet_messages.StoreBeacon():
                now_ms = self._clock.now_ms()
                self._election.record_beacon(
                    name, message.store_age_ms, now_ms, served=message.served
                )
                self.on_revision(name, message.revision)
            case fleet_messages.CatalogNews():
                self._catalog_sync.on_updates(name, message)
            case fleet_messages.CatalogRequest():
                self._catalog_sync.send_changes(
                    name, message.after, message.query
                )
            case fleet_messages.VersionAgesRequest():
                self._answer_ages(name, message)
            case fleet_messages.VersionAges():
                self._handle_ages(name, message)
            case fleet_messages.CrashNews():
                self._crash_sync.on_updates(message)
            case fleet_messages.CrashRequest():
                self._crash_sync.on_request(name, message)
            case fleet_messages.CrashDigest():
                self._crash_sync.on_agent_digest(name, message.digest)
            case fleet_messages.OwnLoads():
                self._load_exchange.on_message(name, message)
            case fleet_messages.EngineNews():
                self._digests.on_own_report(name, message.report)
                if message.report is not None:
                    self._on_engine(message.report, self._clock.now_ms())
            case fleet_messages.EngineDigest():
                self._digests.on_digest(message)
            case fleet_messages.NeighboursRequest():
                self._coordinator.send_full_update(name)

    def _on_engine(
        self, report: replica_view.LoadReport, reported_ms: float
    ) -> None:
        restarted = self._table.handle_report(report, clock.Millis(reported_ms))
        for replica_id in restarted:
            logs.log(
                "replica_restarted",
                replica=replica_id,
                born_ms=report.born_ms,
                source="agent",
            )
        self._on_gone(restarted)
        if report.leaving:
            for view in self._table.at(report.address):
                if view.born_ms == report.born_ms:
                    self._on_leaving(view)

    def makes_trial(self, part: ids.PartFingerprint) -> bool:
        """Returns whether this entry makes the trials of a condemned part."""
        entries = [self._own.vm_id, *self._staying()]
        return rendezvous.subset(part, entries, 1) == [self._own.vm_id]

    def announce_crashes(self) -> None:
        """Announces a crash that this entry noticed."""
        self._crash_sync.schedule_send()

    # Interface for `MemberSync`.

    @property
    def revision(self) -> int:
        """Revision up to which this entry's catalog is complete."""
        return self._catalog.revision

    @property
    def crash_digest(self) -> int:
        """Digest of the crashes that this entry knows."""
        return self._crash_sync.digest

    def on_crash_digest(self, name: str, digest: int) -> None:
        """Handles the digest of the crashes that another entry knows."""
        self._crash_sync.on_digest(name, digest)

    @property
    def limit_digest(self) -> int:
        """Digest of the rate limits that this entry knows."""
        return self.limits.digest

    def on_limit_digest(self, name: str, digest: int) -> None:
        """Handles the digest of the rate limits that another entry knows."""
        self.limits.on_digest(name, digest)

    def on_member(self, member: members.Member) -> None:
        """Sends an agent that introduced itself what it needs to know."""
        if member.kind is members.MemberKind.AGENT:
            self._coordinator.send_full_update(member.vm_id)

    def on_revision(self, name: str, revision: int) -> None:
        """Handles the revision of another entry's catalog."""
        reading = self._reader is not None and self._reader.keeps_up
        self._catalog_sync.on_revision(name, revision, reading=reading)

    # Regular work.

    def tick(self) -> None:
        """Does all periodic work that is due."""
        self._catalog_sync.tick()
        self.sync.tick()
        self._record_store_state()
        self._query_while_store_silent()
        self._ages.tick(self._version_bound_ms)
        self._query_readers()
        divided = self._placed.refresh()
        if divided:
            self._on_cell(self._placed.cell_hosts())
        self._coordinator.tick(divided=divided)
        self._digests.tick()
        self._crash_sync.tick()
        self.limits.tick()
        self._send_beacon()

    def _record_store_state(self) -> None:
        served_since_ms = self._election.served_since_ms(self._clock.now_ms())
        self._catalog.record_service(served_since_ms)
        call = None if self._reader is None else self._reader.silent_call
        silent_ms = self._outage_detector.outage_sign_ms(call)
        if silent_ms is not None:
            alive = self.sync.alive(members.MemberKind.ENTRY)
            others = {member.vm_id for member in alive}
            now_ms = self._clock.now_ms()
            if not self._election.store_serves_none(others, now_ms):
                silent_ms = None
        self._catalog_sync.record_store_state(self._version_bound_ms, silent_ms)

    def _query_while_store_silent(self) -> None:
        """Queries another entry while the store does not respond.

        The answer shows whether this entry's own link works. An entry in
        another region is preferred, because the link of the whole own region
        may be saturated.
        """
        requested_ms = (
            None if self._reader is None else self._reader.retry_requested_ms
        )
        now_ms = self._clock.now_ms()
        if not self._outage_detector.is_query_due(requested_ms, now_ms):
            return
        alive = self.sync.alive(members.MemberKind.ENTRY)
        far = [each for each in alive if not self.sync.is_near(each)]
        candidates = far or alive
        if candidates:
            self._ages.query(self._rng.choice(candidates).vm_id)

    def _send_beacon(self) -> None:
        """Sends all entries a beacon while this entry watches the store.

        A failure of the store is reported immediately, so that standbys take
        over.
        """
        reader = self._reader
        now_ms = self._clock.now_ms()
        if reader is None or not reader.reading or reader.age_ms is None:
            return
        if reader.age_ms >= reader_election.READER_STORE_AGE_MS:
            return
        since_ms = now_ms - self._beacon_ms
        same = reader.failing is self._beacon_failing
        if same and since_ms < reader_election.BEACON_MS:
            return
        self._beacon_ms = now_ms
        self._beacon_failing = reader.failing
        beacon = fleet_messages.StoreBeacon(
            revision=self._catalog.revision,
            store_age_ms=reader.age_ms,
            served=not reader.failing,
        )
        alive = self.sync.alive(members.MemberKind.ENTRY)
        self.sync.send_all([member.vm_id for member in alive], beacon)
