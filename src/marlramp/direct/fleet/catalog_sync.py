"""Keeps the catalogs of the entries in step with one another."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import catalog
from marlramp.core import event_time
from marlramp.core import members
from marlramp.core import rendezvous
from marlramp.direct.fleet import catalog_log
from marlramp.direct.fleet import catalog_news
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import version_ages
from marlramp.protocol import fleet_messages

REQUEST_NEWS_MS = 500.0
"""Between two requests for changes that were missed."""

FIRST_REQUEST_NEWS_MS = 150.0
"""The same while nothing is known yet: all that start would otherwise have
all of the catalog sent by each entry that they meet."""

RELAYS = 1
"""Entries of each data centre elsewhere that are told of a change and tell the
others there. The two readers choose two different ones."""


class CatalogSync:
    """This entry's part in passing on what was read from the store."""

    def __init__(
        self,
        known: catalog.Catalog,
        sync: member_sync.MemberSync,
        on_changed: Callable[[list[catalog.Change]], None],
        time: clock.Clock,
        on_named: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Applies what others tell to `known`.

        Args:
          known: the catalog of this entry.
          sync: the other members.
          on_changed: called with changes that were new.
          time: the clock.
          on_named: called with the entry that told of a version.
        """
        self._catalog = known
        self._sync = sync
        self._on_changed = on_changed
        self._on_named = on_named
        self._clock = time
        self._requested_ms = float("-inf")
        self._store_down = False
        self._near_told = 0

    def publish(self, after: int, changes: list[catalog.Change]) -> None:
        """Takes changes read from the store and tells the others.

        Args:
          after: revision before them.
          changes: the changes, already in the catalog.
        """
        self._take(changes, "store")
        news = self._news(after, self._completed(after, changes))
        self._tell_near(news)
        onward = msgspec.structs.replace(news, pass_on=True)
        self._sync.send_all(self._relays(), onward)

    def on_revision(self, name: str, revision: int, *, reading: bool) -> None:
        """Asks an entry that knows more, unless the own reader will see it."""
        if revision > self._catalog.revision and not reading:
            self._request_news(name)

    def on_news(self, name: str, news: fleet_messages.CatalogNews) -> None:
        """Takes changes that another entry tells."""
        now_ms = self._clock.now_ms()
        before = self._catalog.revision
        changes = catalog_news.unpack(news.changes)
        hearing = event_time.unsolicited(version_ages.WAY_MAX_MS, now_ms)
        new = self._catalog.apply(changes, now_ms, hearing)
        if news.after <= before:
            self._catalog.advance(news.revision)
        else:
            self._request_news(name)
        if new:
            self._take(new, name)
        if news.pass_on:
            self._pass_on(news, changes)
        if news.told_near:
            self._near_told = max(self._near_told, news.revision)
        if any(isinstance(c, catalog.TargetChange) for c in new):
            self._on_named(name)

    def _pass_on(
        self, news: fleet_messages.CatalogNews, changes: list[catalog.Change]
    ) -> None:
        """Tells the entries near, also of what was heard elsewhere before.

        Not of what another one told all of them.
        """
        if all(change.revision <= self._near_told for change in changes):
            return
        packed = catalog_news.pack(self._aged(changes))
        self._tell_near(
            msgspec.structs.replace(news, changes=packed, pass_on=False)
        )

    def _tell_near(self, news: fleet_messages.CatalogNews) -> None:
        self._near_told = max(self._near_told, news.revision)
        told = msgspec.structs.replace(news, told_near=True)
        self._sync.send_all(self._near_entries(), told)

    def tell(self, name: str, after: int) -> None:
        """Tells an entry what changed after a revision."""
        changes = self._catalog.changes_after(after, self._clock.now_ms())
        self._sync.send(name, self._news(after, changes))

    def note_store(self, bound_ms: float, silent_ms: float | None) -> None:
        """Notices a store that serves no entry.

        Args:
          bound_ms: time after its naming from which a version binds.
          silent_ms: when the last call was sent that it gave no answer to,
            None if it serves one.
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

    def _relays(self) -> list[str]:
        """Returns the entries that pass changes on elsewhere."""
        by_place: dict[str, list[str]] = {}
        for entry in self._sync.alive(members.MemberKind.ENTRY):
            if not self._sync.is_near(entry):
                by_place.setdefault(entry.data_centre, []).append(entry.vm_id)
        key = f"relay\0{self._sync.roster.own.vm_id}"
        return [
            relay
            for vm_ids in by_place.values()
            for relay in rendezvous.subset(key, vm_ids, RELAYS)
        ]

    def _take(self, changes: list[catalog.Change], source: str) -> None:
        for change in changes:
            catalog_log.log_change(
                change, source, self._catalog, self._clock.now_ms()
            )
        self._on_changed(changes)

    def _completed(
        self, after: int, changes: list[catalog.Change]
    ) -> list[catalog.Change]:
        """Returns changes as of now, and what else changed after a revision.

        What others told of beyond a gap is known here and not new.
        """
        told = {catalog.item_of(change) for change in changes}
        others = self._catalog.changes_after(after, self._clock.now_ms())
        return self._aged(changes) + [
            change for change in others if catalog.item_of(change) not in told
        ]

    def _aged(self, changes: list[catalog.Change]) -> list[catalog.Change]:
        """Returns changes in which named weights have their ages as of now."""
        now_ms = self._clock.now_ms()
        return [
            self._catalog.aged_change(change, now_ms)
            if isinstance(change, catalog.TargetChange)
            else change
            for change in changes
        ]

    def _request_news(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        first = self._catalog.revision == 0
        pause_ms = FIRST_REQUEST_NEWS_MS if first else REQUEST_NEWS_MS
        if now_ms - self._requested_ms < pause_ms:
            return
        self._requested_ms = now_ms
        after = self._catalog.revision
        self._sync.send(name, fleet_messages.CatalogRequest(after=after))

    def _news(
        self, after: int, changes: list[catalog.Change]
    ) -> fleet_messages.CatalogNews:
        return fleet_messages.CatalogNews(
            after=after,
            revision=self._catalog.revision,
            changes=catalog_news.pack(changes),
        )
