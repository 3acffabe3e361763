"""Synchronises the catalogs of the entries.

The entries that read the store send each change to the other entries. An entry
that missed changes requests them from an entry that has them.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import rendezvous
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import resume_guard
from marlramp.core.membership import members
from marlramp.direct.fleet import catalog_codec
from marlramp.direct.fleet import catalog_log
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import version_ages
from marlramp.protocol import fleet_messages

REQUEST_MS = 500.0
"""Minimum interval between two requests for missed changes."""

FIRST_REQUEST_MS = 150.0
"""Minimum interval between two requests while the catalog is empty. Without a
limit, each starting entry would be sent the complete catalog by every entry
that it meets."""

RELAYS_PER_DATA_CENTRE = 1
"""Number of entries in each data centre of another region that a reader sends a
change to, and that forward it to the other entries there. The two readers
choose different ones."""

QUERIED_ENTRIES = 3
"""Number of random entries that this entry queries after it was suspended, so
that one that is gone or was suspended as well delays the answer little."""


class CatalogSync:
    """Distributes catalog changes between this entry and the others."""

    def __init__(
        self,
        known: catalog.Catalog,
        sync: member_sync.MemberSync,
        on_changed: Callable[[list[catalog.Change]], None],
        time: clock.Clock,
        on_version_announced: Callable[[str], None] = lambda _: None,
        evacuate_ms: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a synchroniser that applies received changes to `known`.

        Args:
          known: the catalog of this entry.
          sync: the other members.
          on_changed: called with the changes that were new to the catalog.
          time: the clock.
          on_version_announced: called with the name of an entry that sent a
            change of target weights.
          evacuate_ms: time within which an evacuation is in force, 0 if the
            deployment has no evacuations.
          rng: picks the entries to query.
        """
        self._catalog = known
        self._sync = sync
        self._on_changed = on_changed
        self._on_version_announced = on_version_announced
        self._clock = time
        self._guard = resume_guard.ResumeGuard(evacuate_ms, time)
        self._rng = rng or random.Random()
        self._requested_ms = float("-inf")
        self._store_down = False
        self._near_sent_revision = 0

    def publish(self, after: int, changes: list[catalog.Change]) -> None:
        """Sends changes that were read from the store to the other entries.

        Args:
          after: revision of the catalog before the changes.
          changes: the changes, already in the catalog.
        """
        self._handle_changes(changes, "store")
        update = self._make_update(after, self._completed(after, changes))
        self._send_near(update)
        forwarded = msgspec.structs.replace(update, pass_on=True)
        self._sync.send_all(self._relays_elsewhere(), forwarded)

    def on_revision(self, name: str, revision: int, *, reading: bool) -> None:
        """Requests changes from an entry whose catalog is newer.

        Args:
          name: the entry.
          revision: revision of the entry's catalog.
          reading: whether this entry's reader will read the changes itself.
        """
        if revision > self._catalog.revision and not reading:
            self._request_changes(name)

    def on_updates(self, name: str, update: fleet_messages.CatalogNews) -> None:
        """Applies changes from another entry, and forwards them if requested.

        If the update does not follow the own revision without a gap, requests
        the missing changes from its sender.
        """
        now_ms = self._clock.now_ms()
        before = self._catalog.revision
        changes = [
            *catalog_codec.unpack(update.changes),
            *update.evacuations,
        ]
        receipt = event_time.unsolicited(
            version_ages.PATH_LATENCY_MAX_MS, now_ms
        )
        new = self._catalog.apply(changes, now_ms, receipt)
        new += self._catalog.apply_listing(
            frozenset(update.listed), update.listed_revision, now_ms
        )
        if update.after <= before:
            self._catalog.advance(update.revision)
            self._record_answer(name, update.query)
        else:
            self._request_changes(name)
        if new:
            self._handle_changes(new, name)
        if update.pass_on:
            self._forward(update, changes)
        if update.told_near:
            self._near_sent_revision = max(
                self._near_sent_revision, update.revision
            )
        if any(isinstance(c, catalog.TargetChange) for c in new):
            self._on_version_announced(name)

    def _forward(
        self, update: fleet_messages.CatalogNews, changes: list[catalog.Change]
    ) -> None:
        """Forwards changes to the entries of the own region.

        Changes are forwarded even if this entry already had them, unless
        another entry has sent them to the whole region.
        """
        if all(
            change.revision <= self._near_sent_revision for change in changes
        ):
            return
        packed = catalog_codec.pack(self._aged(changes))
        self._send_near(
            msgspec.structs.replace(update, changes=packed, pass_on=False)
        )

    def _send_near(self, update: fleet_messages.CatalogNews) -> None:
        self._near_sent_revision = max(
            self._near_sent_revision, update.revision
        )
        sent = msgspec.structs.replace(update, told_near=True)
        self._sync.send_all(self._near_entries(), sent)

    def send_changes(self, name: str, after: int, query: int = 0) -> None:
        """Sends an entry the changes after a revision.

        Args:
          name: the entry.
          after: the revision.
          query: number of the entry's query. It is not repeated while this
            entry may itself lack changes that were made while it was
            suspended.
        """
        changes = self._catalog.changes_after(after, self._clock.now_ms())
        update = self._make_update(after, changes)
        if not self._guard.holds:
            update.query = query
        self._sync.send(name, update)

    def configure(self, evacuate_ms: float) -> None:
        """Applies a changed time within which an evacuation is in force."""
        self._guard.configure(evacuate_ms)

    def holds_requests(self) -> bool:
        """Returns whether requests wait until changes have arrived.

        They do after this process was suspended; see
        `core.configuration.resume_guard`.
        """
        if self._guard.observe():
            logs.log("entry_resumed", revision=self._catalog.revision)
        return self._guard.holds

    def tick(self) -> None:
        """Queries other entries for changes after a suspension."""
        if not self.holds_requests():
            return
        query = self._guard.next_query()
        if query is None:
            return
        request = fleet_messages.CatalogRequest(
            after=self._catalog.revision, query=query
        )
        alive = self._sync.alive(members.MemberKind.ENTRY)
        count = min(QUERIED_ENTRIES, len(alive))
        queried = self._rng.sample(alive, count)
        self._sync.send_all([entry.vm_id for entry in queried], request)

    def _record_answer(self, name: str, query: int) -> None:
        if query and self._guard.record_answer(query):
            logs.log(
                "resumed_entry_is_current",
                revision=self._catalog.revision,
                source=name,
            )

    def record_store_state(
        self, bound_ms: float, silent_ms: float | None
    ) -> None:
        """Records whether the store serves any entry.

        Args:
          bound_ms: time after its announcement from which a version is
            mandatory.
          silent_ms: when the last unanswered call to the store was sent,
            None if the store serves an entry.
        """
        down = silent_ms is not None
        if silent_ms is not None:
            now_ms = self._clock.now_ms()
            self._catalog.record_outage_sign(bound_ms, silent_ms, now_ms)
        if down is not self._store_down:
            self._store_down = down
            logs.log("store_serves_none" if down else "store_serves")

    def _near_entries(self) -> list[str]:
        return [
            entry.vm_id
            for entry in self._sync.alive(members.MemberKind.ENTRY)
            if self._sync.is_near(entry)
        ]

    def _relays_elsewhere(self) -> list[str]:
        """Returns the entries that forward changes in other regions."""
        by_data_centre: dict[str, list[str]] = {}
        for entry in self._sync.alive(members.MemberKind.ENTRY):
            if not self._sync.is_near(entry):
                by_data_centre.setdefault(entry.data_centre, []).append(
                    entry.vm_id
                )
        key = f"relay\0{self._sync.roster.own.vm_id}"
        return [
            relay
            for vm_ids in by_data_centre.values()
            for relay in rendezvous.subset(key, vm_ids, RELAYS_PER_DATA_CENTRE)
        ]

    def _handle_changes(
        self, changes: list[catalog.Change], source: str
    ) -> None:
        for change in changes:
            catalog_log.log_change(
                change, source, self._catalog, self._clock.now_ms()
            )
        self._on_changed(changes)

    def _completed(
        self, after: int, changes: list[catalog.Change]
    ) -> list[catalog.Change]:
        """Returns changes with current ages, and all others after a revision.

        Changes that other entries sent from beyond a gap are already in the
        catalog, so that the store reader does not report them as new.
        """
        sent = {catalog.item_of(change) for change in changes}
        others = self._catalog.changes_after(after, self._clock.now_ms())
        return self._aged(changes) + [
            change for change in others if catalog.item_of(change) not in sent
        ]

    def _aged(self, changes: list[catalog.Change]) -> list[catalog.Change]:
        """Returns changes with the current ages of their versions."""
        now_ms = self._clock.now_ms()
        return [
            self._catalog.aged_change(change, now_ms)
            if isinstance(change, catalog.TargetChange)
            else change
            for change in changes
        ]

    def _request_changes(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        first = self._catalog.revision == 0
        pause_ms = FIRST_REQUEST_MS if first else REQUEST_MS
        if now_ms - self._requested_ms < pause_ms:
            return
        self._requested_ms = now_ms
        after = self._catalog.revision
        self._sync.send(name, fleet_messages.CatalogRequest(after=after))

    def _make_update(
        self, after: int, changes: list[catalog.Change]
    ) -> fleet_messages.CatalogNews:
        update = fleet_messages.CatalogNews(
            after=after,
            revision=self._catalog.revision,
            changes=catalog_codec.pack(changes),
            evacuations=catalog_codec.evacuations_of(changes),
        )
        if after < self._catalog.listed_revision:
            update.listed_revision = self._catalog.listed_revision
            update.listed = self._catalog.listed()
        return update
